//! What one process needs to know before it starts.

use std::{net::SocketAddr, time::Duration};

use http::HeaderName;
use kingcupford_steer::SteeringSettings;

/// Settings of a process.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Where it listens.
    pub listen: ListenAddresses,
    /// Names of the headers between callers, this process and upstreams.
    pub headers: HeaderNames,
    /// Limits and identity.
    pub steering: SteeringSettings,
    /// Whether the whole deployment starts for the first time.
    pub first_start: bool,
    /// Time from the signal to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Time for which callers may keep the answer to a lookup.
    pub lookup_ttl: Duration,
    /// Open connections of callers at most.
    pub max_caller_connections: usize,
    /// All settings as one line, to notice changes and for the log.
    pub summary: String,
}

/// Addresses of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Checks of readiness.
    pub readiness: SocketAddr,
    /// Lookups.
    pub lookup: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
    /// Messages of other hosts.
    pub peers: SocketAddr,
}

/// Names of the headers between callers, this process and upstreams.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; upstreams echo it.
    pub request_id: HeaderName,
    /// Milliseconds until the caller gives up.
    pub deadline_ms: HeaderName,
    /// The object that a request concerns.
    pub affinity_key: HeaderName,
    /// The caller's key.
    pub api_key: HeaderName,
    /// The tenant that holds the key.
    pub tenant: HeaderName,
    /// The only instance that may run the request.
    pub target_instance: HeaderName,
    /// Says that the instance did not run the request.
    pub not_run: HeaderName,
    /// Vouches for a response of an instance.
    pub seal: HeaderName,
    /// Running requests, waiting requests and slots of the instance.
    pub load: HeaderName,
    /// Milliseconds for which the instance stays cold.
    pub cold_remaining_ms: HeaderName,
}

/// Reads the settings again while the process runs.
pub trait SettingsSource: 'static {
    /// The present settings; an error names the fault.
    fn load(&self) -> anyhow::Result<GatewaySettings>;
}
