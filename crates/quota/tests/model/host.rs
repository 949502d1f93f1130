//! One host of the model.

use std::time::Duration;

use kingcupford_quota::Holder;
use tokio::time::Instant;

/// One host.
pub(crate) struct Host {
    /// Name and peer address.
    pub(crate) name: String,
    /// The holder of a running process.
    pub(crate) holder: Option<Holder>,
    /// The process.
    pub(crate) incarnation: u64,
    /// End of a pause.
    pub(crate) paused_until: Option<Instant>,
    /// Hosts with different numbers do not reach each other; only group 0 reaches the platform.
    pub(crate) group: u32,
    /// Whether group 0 reaches the platform from this host.
    pub(crate) reaches_platform: bool,
    /// Requests per second by resource index.
    pub(crate) demand: Vec<f64>,
    /// Requests not yet offered by resource index.
    pub(crate) due: Vec<f64>,
    /// Admitted requests.
    pub(crate) taken: u64,
    /// Refused requests.
    pub(crate) refused: u64,
    /// Waiting requests: resource index and end of the wait.
    pub(crate) waiting: Vec<(usize, Instant)>,
    /// Longest wait of a request.
    pub(crate) patience: Duration,
    /// Sequence of the last heartbeat.
    pub(crate) sequence: u64,
    /// Time of the last tick.
    pub(crate) last_tick: Instant,
    /// Heartbeats received: host, incarnation, sequence.
    pub(crate) received: Vec<(usize, u64, u64)>,
}
