//! Settings, faults and counters of the platform stand-in.

use serde::{Deserialize, Serialize};

/// How the platform stand-in starts.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformSettings {
    /// Limits that the platform enforces.
    pub limits: PlatformLimits,
    /// Faults from the start.
    pub faults: PlatformFaults,
}

/// Limits that the platform enforces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformLimits {
    /// Reads, lists and watches per second; a waiting watch takes one per second.
    pub reads_per_s: f64,
    /// Writes, deletions and announcements per second.
    pub writes_per_s: f64,
    /// Largest value.
    pub max_value_bytes: usize,
    /// Changes that watches can catch up with.
    pub kept_changes: usize,
    /// Longest wait of a watch.
    pub max_watch_ms: u64,
    /// How far the host list lags behind announcements.
    pub host_lag_ms: u64,
    /// Time after its last announcement at which a host leaves the list.
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

/// Faults of the platform, set as a whole while it runs.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaults {
    /// Whether calls are served at all.
    pub outage: OutageMode,
    /// Added before each call; a write takes effect after it even if the client has left.
    pub delay_ms: u64,
    /// Number of next writes that take effect but get no response.
    pub lose_next_write_answers: u64,
    /// Fraction of writes that take effect but get no response.
    pub lose_write_answer_fraction: f64,
    /// Number of next writes that neither take effect nor get a response.
    pub lose_next_writes: u64,
    /// Seed of the generator that picks lost responses.
    pub seed: u64,
    /// Keeps the host list as it is.
    pub host_list_frozen: bool,
    /// Replaces the lag of the host list.
    pub host_lag_ms: Option<u64>,
    /// Watches neither see changes nor end.
    pub watches_hang: bool,
}

/// Whether the platform serves calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OutageMode {
    /// It serves.
    #[default]
    None,
    /// Each call is refused with 503.
    Unavailable,
    /// Each connection is dropped at its first call.
    Dropped,
}

/// Calls since the start, by kind.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub reads: u64,
    /// Writes of one object.
    pub writes: u64,
    /// Deletions.
    pub deletions: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Watches.
    pub watches: u64,
    /// Lists of hosts.
    pub host_lists: u64,
    /// Announcements of hosts.
    pub announcements: u64,
    /// Calls refused by a limit on calls per second.
    pub throttled: u64,
    /// Writes refused because the value is too large.
    pub too_large: u64,
    /// Writes and deletions whose condition did not hold.
    pub conflicts: u64,
    /// Calls refused or dropped by an outage.
    pub outage_calls: u64,
    /// Writes whose response was withheld.
    pub lost_answers: u64,
    /// Bytes of values written.
    pub bytes_written: u64,
    /// Bytes of values read.
    pub bytes_read: u64,
    /// Watches that wait now.
    pub waiting_watches: u64,
}
