//! State of one simulated host.

use std::time::Duration;

use kingcupford_quota::Holder;
use tokio::time::Instant;

pub(crate) struct Host {
    /// Name, which is also the peer address.
    pub(crate) name: String,
    /// Holder of the running process, `None` while the host is stopped.
    pub(crate) holder: Option<Holder>,
    pub(crate) incarnation: u64,
    pub(crate) paused_until: Option<Instant>,
    /// Network partition. Hosts in different partitions do not reach each other, and only hosts in
    /// partition 0 reach the platform.
    pub(crate) partition: u32,
    /// Whether the host reaches the platform while in partition 0.
    pub(crate) reaches_platform: bool,
    /// Requested rate by resource index.
    pub(crate) demand_per_s: Vec<f64>,
    /// Number of requests not offered yet, by resource index.
    pub(crate) due_requests: Vec<f64>,
    /// Number of requests admitted since the last read of the refused fraction.
    pub(crate) admitted: u64,
    /// Number of requests refused since the last read of the refused fraction.
    pub(crate) refused: u64,
    /// Resource index and end of the wait.
    pub(crate) waiting_requests: Vec<(usize, Instant)>,
    /// Maximum time that a request waits for capacity.
    pub(crate) max_wait: Duration,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) last_tick: Instant,
    /// Latest heartbeat per process: host index, incarnation, sequence number.
    pub(crate) received_heartbeats: Vec<(usize, u64, u64)>,
}
