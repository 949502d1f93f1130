//! Exit codes.

use serde::Serialize;
use strum::Display;

/// Result of a command.
///
/// The numbers are the exit codes of the process, on which scripts of operators depend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded; a change was confirmed by every zone if the command waited for it.
    Done = 0,
    /// An object of the platform could not be parsed, which points to a bug or a version mismatch.
    Internal = 1,
    /// The command line or an input file is invalid.
    Usage = 2,
    /// The request was rejected because it is invalid in the current state of the deployment.
    Rejected = 3,
    /// Another change took effect first, and this one was not made.
    LostRace = 4,
    /// An answer was lost, and the outcome could not be read back in time.
    Undetermined = 5,
    /// The platform was unavailable, and nothing was changed.
    Unavailable = 6,
    /// The change was accepted but not confirmed by every zone in time.
    Unconfirmed = 7,
    /// The watched rollout was rolled back.
    RolledBack = 8,
}

impl ExitStatus {
    /// Returns the exit code of the process, 0 for success.
    pub fn code(self) -> u8 {
        self as u8
    }
}
