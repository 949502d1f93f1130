//! Settings of the gateway process.

use std::{net::SocketAddr, time::Duration};

use http::HeaderName;
use kingcupford_steer::SteeringSettings;

/// Settings of a gateway process.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// Addresses that the process listens on; they do not change on a reload.
    pub listen: ListenAddresses,
    /// Names of the headers that callers, gateway and upstreams exchange.
    pub headers: HeaderNames,
    /// Limits and identity of the host.
    pub steering: SteeringSettings,
    /// Whether the whole deployment is starting for the first time.
    pub first_start: bool,
    /// Time from SIGTERM until the process is killed.
    pub shutdown_grace: Duration,
    /// Time for which callers may keep the response to a lookup.
    pub lookup_ttl: Duration,
    /// Maximum number of open connections from callers.
    pub max_caller_connections: usize,
    /// Maximum number of bytes of request bodies that are buffered at once; beyond it, bodies are
    /// streamed.
    pub max_buffered_request_bytes: usize,
    /// Maximum number of bytes of responses that are buffered at once; beyond it, responses are
    /// streamed.
    pub max_buffered_response_bytes: usize,
    /// All settings on one line, for the log; a reload applies settings only if this line differs.
    pub summary: String,
}

/// Addresses that a gateway process listens on. The HTTP endpoints may share one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// TCP address for callers' requests.
    pub callers: SocketAddr,
    /// TCP address for health checks.
    pub readiness: SocketAddr,
    /// TCP address for lookups.
    pub lookup: SocketAddr,
    /// TCP address for metrics.
    pub metrics: SocketAddr,
    /// Address for other hosts: heartbeats over UDP, relayed lists and watches over TCP.
    pub peers: SocketAddr,
}

/// Names of the headers that callers, gateway and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Id of one attempt of the caller; upstreams return it with the response.
    pub request_id: HeaderName,
    /// Time in milliseconds until the caller gives up.
    pub deadline_ms: HeaderName,
    /// Affinity key of a request; instances may have cached data for it.
    pub affinity_key: HeaderName,
    /// API key of the caller; it is not forwarded.
    pub api_key: HeaderName,
    /// Team that holds the API key, set by the gateway.
    pub team: HeaderName,
    /// Id of the only instance that may run the request, set by the gateway.
    pub target_instance: HeaderName,
    /// Present if the instance did not run the request.
    pub not_run: HeaderName,
    /// Marks a response that an instance produced; required of successful responses.
    pub seal: HeaderName,
    /// Load of the instance as `running,waiting,slots`.
    pub load: HeaderName,
    /// Time in milliseconds for which the instance stays cold.
    pub cold_remaining_ms: HeaderName,
}

/// Source of the settings, read again while the process runs.
pub trait SettingsSource: 'static {
    /// Reads the current settings; an error names what is invalid.
    fn load(&self) -> anyhow::Result<GatewaySettings>;
}
