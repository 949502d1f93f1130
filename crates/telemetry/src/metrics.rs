//! Metrics of an entry host in the Prometheus text format.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Registry, Unit},
};

/// Labels of requests by tenant and service; open routes have the tenant `open`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the service.
    pub service: String,
}

/// Labels of answered requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the service.
    pub service: String,
    /// `executed`, `not-run` or `unknown`.
    pub outcome: String,
}

/// Labels of refused requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Name of the tenant.
    pub tenant: String,
    /// The reason, as in the refusal's body.
    pub reason: String,
}

/// Labels of control traffic between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// `in` or `out`.
    pub direction: String,
}

/// Labels of calls to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// What was asked for: `list`, `watch`, `read`, `write`, `delete` or `announce`.
    pub operation: &'static str,
    /// Kind of the objects.
    pub kind: String,
    /// `answered` or `failed`.
    pub result: &'static str,
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    /// Writes the text format.
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Refusals by reason.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Time to the first byte of the answer.
    pub latency: Family<TenantLabels, Histogram>,
    /// Answered lookups.
    pub lookups: Counter,
    /// Requests that run now.
    pub in_flight: Gauge,
    /// Requests that a shutdown cut.
    pub requests_cut: Counter,
    /// Number of the active configuration version.
    pub config_version: Gauge,
    /// Hosts that are live in this host's view.
    pub live_members: Gauge,
    /// Whether this host is isolated.
    pub isolated: Gauge,
    /// Bytes of control traffic between hosts.
    pub control_bytes: Family<TrafficLabels, Counter>,
    /// Calls to the platform.
    pub platform_calls: Counter,
    /// Calls to the platform's store by operation, kind and result.
    pub store_calls: Family<CallLabels, Counter>,
    /// Known instances of upstreams.
    pub instances: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    /// Unused connections to instances.
    pub idle_upstream_connections: Gauge,
    /// Age of the view of the platform in milliseconds, -1 when it is not confirmed.
    pub view_age_ms: Gauge,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut res = Self {
            registry: Registry::with_prefix("kingcupford"),
            requests: Family::default(),
            refusals: Family::default(),
            latency: Family::new_with_constructor(|| {
                Histogram::new(exponential_buckets(0.001, 2.0, 16))
            }),
            lookups: Counter::default(),
            in_flight: Gauge::default(),
            requests_cut: Counter::default(),
            config_version: Gauge::default(),
            live_members: Gauge::default(),
            isolated: Gauge::default(),
            control_bytes: Family::default(),
            platform_calls: Counter::default(),
            store_calls: Family::default(),
            instances: Gauge::default(),
            caller_connections: Gauge::default(),
            idle_upstream_connections: Gauge::default(),
            view_age_ms: Gauge::default(),
        };
        res.register();
        res
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut res = String::new();
        match encode(&mut res, &self.registry) {
            Ok(()) => res,
            Err(error) => format!("# metrics could not be encoded: {error}\n"),
        }
    }

    /// Adds every metric to the registry.
    fn register(&mut self) {
        let it = &mut self.registry;
        it.register("requests", "Requests by outcome", self.requests.clone());
        it.register("refusals", "Refused requests by reason", self.refusals.clone());
        it.register_with_unit(
            "latency",
            "Time to the first byte of the answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        it.register("lookups", "Answered lookups", self.lookups.clone());
        it.register("in_flight", "Requests that run now", self.in_flight.clone());
        it.register("requests_cut", "Requests cut by a shutdown", self.requests_cut.clone());
        it.register("config_version", "Active configuration", self.config_version.clone());
        it.register("live_members", "Live hosts in this view", self.live_members.clone());
        it.register("isolated", "Whether this host is isolated", self.isolated.clone());
        it.register_with_unit(
            "control_traffic",
            "Control traffic between hosts",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        it.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        it.register("store_calls", "Calls to the store by kind", self.store_calls.clone());
        it.register("instances", "Known instances of upstreams", self.instances.clone());
        it.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        it.register(
            "idle_upstream_connections",
            "Unused connections to instances",
            self.idle_upstream_connections.clone(),
        );
        it.register("view_age_ms", "Age of the view, -1 if unconfirmed", self.view_age_ms.clone());
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
