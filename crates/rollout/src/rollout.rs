//! The rollout object as the platform stores it.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::stage::Stage;

/// Version of the object's format that this crate writes.
pub const FORMAT_VERSION: u32 = 1;

/// State of a service's rollout, stored as JSON under `rollout/<service>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version of the format; unknown fields are ignored.
    pub format: u32,
    /// Name of the service.
    pub service: String,
    /// Name of the version that is replaced.
    pub from: String,
    /// Name of the version that replaces it.
    pub to: String,
    /// Number of the rollout of this service, raised by each start.
    pub generation: u64,
    /// Unix time of the start by the operator's clock.
    pub started_unix_ms: u64,
    /// Time from start to deadline.
    pub duration_ms: u64,
    /// Time since the start as known at the last write; it never decreases within a generation.
    ///
    /// A controller adds its own monotonic time to it and takes the Unix clock when that is ahead,
    /// so a clock that is behind cannot delay a rollback.
    #[serde(default)]
    pub elapsed_ms: u64,
    /// Share of the new version while the rollout is running or watching.
    #[serde(rename = "stage_percent")]
    pub stage: Stage,
    /// Value of `elapsed_ms` when the stage or the state last changed.
    #[serde(default)]
    pub changed_at_ms: u64,
    /// State of the rollout.
    pub state: State,
    /// Why it was rolled back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Host that holds the controller's lease, or held it last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
    /// Raised by every write; a lease has expired when an observer sees it unchanged for too long.
    #[serde(default)]
    pub renewal: u64,
    /// Random identifier of the last write, by which a writer recognises its own after a lost answer.
    #[serde(default)]
    pub write_id: u64,
    /// Requests and faults of the new version by route over all hosts, as last known.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub exposure: Vec<RouteExposure>,
    /// Routes that a stage was left without their required requests, because their traffic is thin.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub thin_routes: Vec<String>,
}

impl Rollout {
    /// Unix time of the deadline.
    pub fn deadline_unix_ms(&self) -> u64 {
        self.started_unix_ms.saturating_add(self.duration_ms)
    }

    /// Percentage of the traffic that the object allows the new version.
    pub fn share_percent(&self) -> u8 {
        match self.state {
            State::Running | State::Watching => self.stage.percent(),
            State::Done => 100,
            State::RollingBack | State::RolledBack => 0,
        }
    }
}

/// States of a rollout, in the order in which they may follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// The new version's share rises by stages.
    Running,
    /// The new version has all traffic and the old one is kept.
    Watching,
    /// Final: the new version replaced the old one.
    Done,
    /// The new version gets no more requests.
    RollingBack,
    /// Final: the old version has all traffic.
    RolledBack,
}

impl State {
    /// Whether no further change within the generation is possible.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }
}

/// Why a rollout is rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Reason {
    /// The new version is worse than the old one on a route.
    Faulty {
        /// Path prefix of the route.
        route: String,
        /// In which way it is worse.
        fault: FaultKind,
    },
    /// The remaining stages and the watch time do not fit before the deadline.
    DeadlineOutOfReach,
    /// A suspicion about the new version was still open when the watch time had to end.
    Unproven,
    /// An operator asked for it.
    Operator {
        /// The operator's words.
        note: String,
    },
}

/// In which way a version is worse.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Encode,
    Decode,
    Display,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// More requests fail.
    Failures,
    /// More responses are slow.
    Slow,
    /// It is bad whenever it has all traffic, and good when it has half.
    UnderLoad,
}

/// What the new version got on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteExposure {
    /// Path prefix of the route.
    pub route: String,
    /// Requests sent to the new version.
    pub new_requests: u64,
    /// Those that failed.
    #[serde(default)]
    pub new_failures: u64,
    /// Those that succeeded slowly.
    #[serde(default)]
    pub new_slow: u64,
    /// Requests sent to the old version in the same time.
    #[serde(default)]
    pub old_requests: u64,
}
