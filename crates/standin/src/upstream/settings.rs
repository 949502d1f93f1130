//! Settings, faults and counters of the upstream stand-in.

use serde::{Deserialize, Serialize};

/// How an upstream stand-in starts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// Name in its responses.
    pub name: String,
    /// Version in its responses.
    pub version: String,
    /// Seed of service times and failures.
    pub seed: u64,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Requests that wait for a slot; further ones are refused.
    pub queue: usize,
    /// Mean service time.
    pub service_time_ms: f64,
    /// Standard deviation of the logarithm of the service time; 0 makes it constant.
    pub service_time_sigma: f64,
    /// Time after the start with a longer service time.
    pub cold_ms: u64,
    /// Number of first requests with a longer service time.
    pub cold_requests: u64,
    /// Factor of the service time while cold.
    pub cold_factor: f64,
    /// Time that opening each connection takes; connections are opened one at a time.
    pub connection_cost_ms: f64,
    /// Connections held at most; further ones are closed at once.
    pub max_connections: usize,
    /// Speed at which one request's body is read; 0 is unlimited.
    pub upload_bytes_per_s: u64,
    /// Time between the start of a drain and the refusal of new work.
    pub drain_grace_ms: u64,
    /// Faults from the start.
    pub faults: UpstreamFaults,
}

impl Default for UpstreamSettings {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            version: "v1".to_owned(),
            seed: 1,
            slots: 9,
            queue: 0,
            service_time_ms: 5.0,
            service_time_sigma: 0.0,
            cold_ms: 0,
            cold_requests: 0,
            cold_factor: 5.0,
            connection_cost_ms: 0.0,
            max_connections: 330,
            upload_bytes_per_s: 0,
            drain_grace_ms: 5000,
            faults: UpstreamFaults::default(),
        }
    }
}

/// Faults of an upstream, set as a whole while it runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// It announces that it drains, and refuses new work after the grace time.
    pub draining: bool,
    /// `/health` and `/load` answer the state of this long ago.
    pub report_lag_ms: u64,
    /// Factor of the reported load.
    pub report_factor: f64,
    /// Replaces the reported health.
    pub report_healthy: Option<bool>,
    /// It sheds all new work.
    pub shedding: bool,
    /// It crashes when this text occurs in a request's path or body.
    pub crash_marker: Option<String>,
    /// Downtime after a crash.
    pub crash_downtime_ms: u64,
    /// Faults of its version.
    pub version: Vec<VersionFault>,
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            draining: false,
            report_lag_ms: 0,
            report_factor: 1.0,
            report_healthy: None,
            shedding: false,
            crash_marker: None,
            crash_downtime_ms: 1000,
            version: Vec::new(),
        }
    }
}

/// A fault of a version, limited to some requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VersionFault {
    /// Fraction of requests that run and fail with 500.
    pub failure_rate: f64,
    /// Added service time.
    pub added_latency_ms: f64,
    /// Time after the fault was set at which it begins.
    pub after_ms: u64,
    /// It shows only while at least this many requests run.
    pub min_in_flight: usize,
    /// It shows only on paths with this start.
    pub path_prefix: String,
}

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Requests that started.
    pub started: u64,
    /// Requests that ran to their end.
    pub executed: u64,
    /// Requests that ran and failed because of a version fault.
    pub failed: u64,
    /// Requests refused because of load.
    pub shed: u64,
    /// Requests refused because of a drain.
    pub refused_draining: u64,
    /// Requests refused because their deadline had passed before they started.
    pub refused_late: u64,
    /// Requests stopped at their deadline.
    pub stopped_late: u64,
    /// Requests stopped because their connection was dropped.
    pub cancelled: u64,
    /// Crashes.
    pub crashes: u64,
    /// Requests that run now.
    pub in_flight: u64,
    /// Most requests that ran at the same time.
    pub max_in_flight: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// Connections closed at once because of the limit.
    pub connections_refused: u64,
}
