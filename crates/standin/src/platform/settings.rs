//! Settings, faults and counters of the platform stand-in.

use serde::{Deserialize, Serialize};

/// Initial limits and faults of a platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Limits at the start.
    pub limits: PlatformLimits,
    /// Faults at the start.
    pub faults: PlatformFaults,
}

/// Limits and delays of the platform in normal operation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformLimits {
    /// Reads, lists and watches per second. Each waiting watch lowers the rate by 1 per second.
    pub reads_per_s: f64,
    /// Writes, deletions and announcements per second.
    pub writes_per_s: f64,
    /// Size of the largest value.
    pub max_value_bytes: usize,
    /// Number of latest changes in the log. A watch after an older revision has to list again.
    pub kept_changes: usize,
    /// Longest wait of a watch.
    pub max_watch_ms: u64,
    /// Lag of the host list behind the announcements.
    pub host_lag_ms: u64,
    /// Time after its last announcement until a host is removed from the list.
    pub host_expiry_ms: u64,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        Self {
            reads_per_s: 2000.0,
            writes_per_s: 400.0,
            max_value_bytes: 1_000_000,
            kept_changes: 10_000,
            max_watch_ms: 60_000,
            host_lag_ms: 1000,
            host_expiry_ms: 15_000,
        }
    }
}

/// Injected faults of the platform, which are always replaced as a whole.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether and how all calls fail.
    pub outage: OutageMode,
    /// Delay before each call is served. A write takes effect after the delay, even when its client
    /// has disconnected by then.
    pub delay_ms: u64,
    /// Number of next writes and deletions that are carried out without a response.
    pub lose_next_write_answers: u64,
    /// Fraction of writes and deletions that are carried out without a response.
    pub lose_write_answer_fraction: f64,
    /// Number of next writes and deletions that neither take effect nor get a response.
    pub lose_next_writes: u64,
    /// Seed of the random choice of lost responses.
    pub seed: u64,
    /// Whether the host list ignores announcements and expiry from now on.
    pub host_list_frozen: bool,
    /// Lag of the host list instead of the lag in [`PlatformLimits`].
    pub host_lag_ms: Option<u64>,
    /// Whether watches neither report changes nor end at their timeout.
    pub watches_hang: bool,
}

/// Whether and how all calls fail.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// Calls are served.
    #[default]
    None,
    /// Each call fails with status 503.
    Unavailable,
    /// Open connections are dropped, and each new connection at its first call.
    Dropped,
}

/// Numbers of calls since the start. A call refused by an outage or a rate limit also counts as a
/// call of its kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes of one object.
    pub writes: u64,
    /// Deletions of one object.
    pub deletions: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Watches, including those that have ended.
    pub watches: u64,
    /// Lists of hosts.
    pub host_lists: u64,
    /// Announcements of hosts.
    pub announcements: u64,
    /// Calls refused by a rate limit.
    pub throttled: u64,
    /// Writes refused because the value is too large.
    pub too_large: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Calls that were refused, or dropped with their connection, during an outage.
    pub outage_calls: u64,
    /// Writes and deletions that were carried out and whose response was withheld.
    pub lost_answers: u64,
    /// Total size of the written values.
    pub bytes_written: u64,
    /// Total size of the read values.
    pub bytes_read: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
}
