//! Exit codes.

use serde::Serialize;
use strum::Display;

/// How a command ended; the numbers are part of the public interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum Exit {
    /// Done, and confirmed by every zone where a confirmation was asked for.
    Done = 0,
    /// A fault of the program itself.
    Internal = 1,
    /// The command line or an input file cannot be used.
    Usage = 2,
    /// The change was rejected because of faults.
    Rejected = 3,
    /// Another change came first.
    LostRace = 4,
    /// The answer was lost and what happened was not found out in time.
    Undetermined = 5,
    /// The platform could not be used, and nothing was changed.
    Unavailable = 6,
    /// The change is accepted, and not every zone confirmed it in time.
    Unconfirmed = 7,
    /// The rollout that was watched was rolled back.
    RolledBack = 8,
}

impl Exit {
    /// The process's exit code.
    pub fn code(self) -> u8 {
        self as u8
    }
}
