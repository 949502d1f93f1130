//! Metrics of an entry host, exposed in the Prometheus text format.

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

/// Labels of answered requests by team and service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TeamLabels {
    /// Name of the team; the field is the name of the label.
    pub tenant: String,
    /// Name of the service.
    pub service: String,
}

/// Labels of finished requests by outcome.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Name of the team; the field is the name of the label.
    pub tenant: String,
    /// Name of the service.
    pub service: String,
    /// `executed`, `not-run`, `unknown` or `abandoned`.
    pub outcome: String,
}

/// Labels of refused requests.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Name of the team; the field is the name of the label.
    pub tenant: String,
    /// Reason of the refusal, as in the response body.
    pub reason: String,
}

/// Label of control traffic between hosts.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// `in` for received, `out` for sent.
    pub direction: String,
}

/// Labels of calls to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// `list`, `watch`, `read`, `write`, `delete` or `announce`.
    pub operation: &'static str,
    /// First segment of the object name or prefix.
    pub kind: String,
    /// `answered` or `failed`.
    pub result: &'static str,
}

/// All metrics of one process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Finished requests by outcome.
    pub requests: Family<OutcomeLabels, Counter>,
    /// Refused requests by reason.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Time to the first byte of the response, in seconds.
    pub latency: Family<TeamLabels, Histogram>,
    /// Answered lookups.
    pub lookups: Counter,
    /// Requests in progress.
    pub in_flight: Gauge,
    /// Requests aborted by a shutdown.
    pub requests_cut: Counter,
    /// Number of the active configuration version.
    pub config_version: Gauge,
    /// Live hosts in this host's view of the membership.
    pub live_members: Gauge,
    /// 1 while this host is isolated, otherwise 0.
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
    /// Idle connections to instances of upstreams.
    pub idle_upstream_connections: Gauge,
    /// Age of the view of the platform in milliseconds; -1 while the view is not confirmed.
    pub view_age_ms: Gauge,
}

impl Metrics {
    /// Creates the metrics and registers them with the prefix `kingcupford`.
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

    /// Renders the metrics in the Prometheus text format. If encoding fails, the text is a comment
    /// with the error.
    pub fn render(&self) -> String {
        let mut res = String::new();
        match encode(&mut res, &self.registry) {
            Ok(()) => res,
            Err(error) => format!("# metrics could not be encoded: {error}\n"),
        }
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        registry.register("refusals", "Refused requests by reason", self.refusals.clone());
        registry.register_with_unit(
            "latency",
            "Time to the first byte of the answer",
            Unit::Seconds,
            self.latency.clone(),
        );
        registry.register("lookups", "Answered lookups", self.lookups.clone());
        registry.register("in_flight", "Requests that run now", self.in_flight.clone());
        registry.register("requests_cut", "Requests cut by a shutdown", self.requests_cut.clone());
        registry.register("config_version", "Active configuration", self.config_version.clone());
        registry.register("live_members", "Live hosts in this view", self.live_members.clone());
        registry.register("isolated", "Whether this host is isolated", self.isolated.clone());
        registry.register_with_unit(
            "control_traffic",
            "Control traffic between hosts",
            Unit::Bytes,
            self.control_bytes.clone(),
        );
        registry.register("platform_calls", "Calls to the platform", self.platform_calls.clone());
        registry.register("store_calls", "Calls to the store by kind", self.store_calls.clone());
        registry.register("instances", "Known instances of upstreams", self.instances.clone());
        registry.register(
            "caller_connections",
            "Open connections of callers",
            self.caller_connections.clone(),
        );
        registry.register(
            "idle_upstream_connections",
            "Unused connections to instances",
            self.idle_upstream_connections.clone(),
        );
        registry.register(
            "view_age_ms",
            "Age of the view, -1 if unconfirmed",
            self.view_age_ms.clone(),
        );
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
