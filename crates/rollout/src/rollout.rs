//! Rollout object as stored by the platform.

use bincode::{Decode, Encode, de::Decoder, error::DecodeError};
use serde::{Deserialize, Serialize};
use strum::Display;

use crate::stage::Stage;

/// Version of the object's format that this crate writes.
pub const FORMAT_VERSION: u32 = 1;

/// Rollout of one service's version, stored as JSON under `rollout/<service>`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// Version of the object's format; unknown fields are ignored.
    pub format: u32,
    /// Name of the service that is rolled out.
    pub service: String,
    /// Name of the version that is replaced.
    pub from: String,
    /// Name of the version that replaces `from`.
    pub to: String,
    /// Sequence number of the service's rollout, increased by each start.
    pub generation: u64,
    /// Unix time of the start by the operator's clock.
    pub started_unix_ms: u64,
    /// Time from the start to the deadline.
    pub duration_ms: u64,
    /// Time since the start as known at the last write, never decreasing within a rollout.
    ///
    /// A controller adds its own monotonic time and uses the Unix clock when that is ahead, so a
    /// clock that is behind cannot delay a rollback.
    #[serde(default)]
    pub elapsed_ms: u64,
    /// Share of the new version while the rollout is running or watching.
    #[serde(rename = "stage_percent")]
    pub stage: Stage,
    /// Value of `elapsed_ms` when the stage or the state last changed.
    #[serde(default)]
    pub changed_at_ms: u64,
    /// Progress of the rollout; decides together with `stage` on the new version's share.
    pub state: State,
    /// Reason for the rollback, `None` before one has begun.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// Host that holds the controller's lease or held it last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
    /// Counter that every write increases. The lease has expired when an observer sees the counter
    /// unchanged for longer than the lease and its margin.
    #[serde(default)]
    pub renewal: u64,
    /// Random identifier of the last write, by which a writer recognizes its own write after a lost
    /// answer.
    #[serde(default)]
    pub write_id: u64,
    /// Requests and faults by route, summed over all hosts, as known at the last write.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub exposure: Vec<RouteExposure>,
    /// Path prefixes of routes with too little traffic for the required requests of a stage, after
    /// which the rollout still went on to the next stage.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub thin_routes: Vec<String>,
}

/// Names one rollout of a service for as long as any process remembers it.
///
/// A platform that was restored from a copy gives the generation of a rollout that it lost to the
/// next one, so the start belongs to the name. Neither changes after the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RolloutKey {
    /// Sequence number of the service's rollout, increased by each start.
    pub generation: u64,
    /// Unix time of the start by the operator's clock; 0 in messages of earlier versions of the
    /// system, which name the generation only.
    pub started_unix_ms: u64,
}

impl RolloutKey {
    /// Decodes the start, which messages of earlier versions of the system lack, from the end of a
    /// message.
    pub fn decode_start<D: Decoder>(generation: u64, decoder: &mut D) -> Result<Self, DecodeError> {
        let started_unix_ms = match u64::decode(decoder) {
            Err(DecodeError::UnexpectedEnd { .. }) => 0,
            other => other?,
        };
        Ok(Self { generation, started_unix_ms })
    }

    /// Returns the key with the start of `known` if a message did not name the start.
    pub fn or_start_of(self, known: Self) -> Self {
        let is_named = self.started_unix_ms != 0 || self.generation != known.generation;
        if is_named { self } else { known }
    }
}

impl Rollout {
    /// Returns the name of the rollout, which all its objects have in common.
    pub fn key(&self) -> RolloutKey {
        RolloutKey { generation: self.generation, started_unix_ms: self.started_unix_ms }
    }

    /// Returns the Unix time of the deadline.
    pub fn deadline_unix_ms(&self) -> u64 {
        self.started_unix_ms.saturating_add(self.duration_ms)
    }

    /// Returns the percentage of the traffic that the new version may get in the current stage and
    /// state.
    pub fn share_percent(&self) -> u8 {
        match self.state {
            State::Running | State::Watching => self.stage.percent(),
            State::Done => 100,
            State::RollingBack | State::RolledBack => 0,
        }
    }
}

/// States of a rollout, in the order in which they can follow each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum State {
    /// The new version's share increases from stage to stage.
    Running,
    /// The new version has all traffic, and the old version is kept available for a rollback.
    Watching,
    /// Final state: the new version has replaced the old one.
    Done,
    /// The new version gets no further requests, and the change is being distributed to all hosts.
    RollingBack,
    /// Final state: the old version has all traffic.
    RolledBack,
}

impl State {
    /// Whether the state of the rollout can no longer change.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::RolledBack)
    }
}

/// Reason for a rollback.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Reason {
    /// The new version is worse than the old one on a route.
    Faulty {
        /// Path prefix of the route.
        route: String,
        /// How the new version is worse.
        fault: FaultKind,
    },
    /// The remaining stages and the watch time do not fit before the deadline.
    DeadlineOutOfReach,
    /// An anomaly of the new version was still unresolved when the watch time had to end.
    Unproven,
    /// An operator ordered the rollback.
    Operator {
        /// Explanation given by the operator.
        note: String,
    },
}

/// How a version is worse than the one that it replaces.
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
    /// A larger fraction of requests fails.
    Failures,
    /// A larger fraction of responses is slow.
    Slow,
    /// The version is faulty whenever it has all traffic and healthy when it has half.
    UnderLoad,
}

/// Requests and faults on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteExposure {
    /// Path prefix of the route.
    pub route: String,
    /// Number of requests sent to the new version.
    pub new_requests: u64,
    /// Number of requests to the new version that failed.
    #[serde(default)]
    pub new_failures: u64,
    /// Number of requests to the new version that succeeded but were slow.
    #[serde(default)]
    pub new_slow: u64,
    /// Number of requests sent to the old version during the same time.
    #[serde(default)]
    pub old_requests: u64,
}
