//! Settings, faults and counters of the upstream stand-in.

use serde::{Deserialize, Serialize};

/// Properties and initial faults of an upstream stand-in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamSettings {
    /// Name of the instance in its responses.
    pub name: String,
    /// Version of the service in responses.
    pub version: String,
    /// Seed of the random service times and failures.
    pub seed: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot. Further requests are refused.
    pub queue: usize,
    /// Mean service time of a warm instance without faults.
    pub service_time_ms: f64,
    /// Standard deviation of the logarithm of the log-normal service time. With 0 the service time
    /// is constant.
    pub service_time_sigma: f64,
    /// Time after the start during which the instance is cold.
    pub cold_ms: u64,
    /// Number of first requests during which the instance is cold.
    pub cold_requests: u64,
    /// Factor of the service time on a cold instance.
    pub cold_factor: f64,
    /// Time that the instance takes to open each connection, one connection at a time.
    pub connection_cost_ms: f64,
    /// Maximum number of open connections. Further connections are closed at once.
    pub max_connections: usize,
    /// Speed at which the body of one request is read; 0 is unlimited.
    pub upload_bytes_per_s: u64,
    /// Time from the start of a drain until new work is refused.
    pub drain_grace_ms: u64,
    /// Faults at the start.
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

/// Injected faults of an upstream, which are always replaced as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct UpstreamFaults {
    /// Whether the instance announces a drain, and refuses new work after the grace time.
    pub draining: bool,
    /// Lag of the state that `/health` and `/load` report, up to 60 s.
    pub report_lag_ms: u64,
    /// Factor of the load that `/load` reports.
    pub report_factor: f64,
    /// Reported health instead of the actual one.
    pub report_healthy: Option<bool>,
    /// Whether all new work is shed.
    pub shedding: bool,
    /// Text in the path or body of a request that crashes the instance. An empty text never does.
    pub crash_marker: Option<String>,
    /// Downtime after a crash that a request caused.
    pub crash_downtime_ms: u64,
    /// Faults of the version. All that apply to a request add up.
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

/// Fault of a version that affects some of the requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct VersionFault {
    /// Fraction of the affected requests that run and fail with status 500.
    pub failure_rate: f64,
    /// Increase of the service time.
    pub added_latency_ms: f64,
    /// Time from setting the faults until this fault begins.
    pub after_ms: u64,
    /// Minimum number of running requests, including the affected one, for the fault to apply.
    pub min_in_flight: usize,
    /// Prefix of the affected paths.
    pub path_prefix: String,
}

/// Numbers of requests and connections since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCounts {
    /// Requests that started to run.
    pub started: u64,
    /// Requests that ran to their end without a failure.
    pub executed: u64,
    /// Requests that ran and failed because of a version fault.
    pub failed: u64,
    /// Requests refused because of load or the fault `shedding`.
    pub shed: u64,
    /// Requests refused because of a drain.
    pub refused_draining: u64,
    /// Requests refused because their deadline passed before they started.
    pub refused_late: u64,
    /// Running requests stopped at their deadline.
    pub stopped_late: u64,
    /// Running requests stopped because their connection ended.
    pub cancelled: u64,
    /// Crashes of the instance.
    pub crashes: u64,
    /// Requests that run now.
    pub in_flight: u64,
    /// Largest number of requests that ran at the same time.
    pub max_in_flight: u64,
    /// Connections accepted.
    pub connections_opened: u64,
    /// Connections closed at once because of the limit.
    pub connections_refused: u64,
}
