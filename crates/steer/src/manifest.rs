//! The manifest: routes, services, tenants and their keys in one version.

use std::{sync::Arc, time::Duration};

use anyhow::ensure;
use sha2::{Digest as _, Sha256};

/// SHA-256 of a caller's key; keys themselves are not kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatPolicy {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Runs at most once and has a large body.
    Upload,
}

/// One service that a route sends requests to.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Its part of the requests, relative to the other targets.
    pub weight: f64,
}

/// A rule for the requests of one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Value of the `host` header.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time that a caller waits.
    pub timeout: Option<Duration>,
    /// Time within which a response is as good as an instant one.
    pub target_latency: Duration,
    /// Rank of its requests, 0 first.
    pub priority: u32,
    /// Where requests go.
    pub targets: Vec<RouteTarget>,
    /// Instances that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether instances work faster on objects that they handled lately.
    pub affinity: bool,
    /// Names of the only regions that may serve it; all when empty.
    pub home_regions: Vec<String>,
}

/// A service whose instances register themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Connections that one instance takes from all callers.
    pub max_connections: u32,
    /// Requests per second that a cold instance takes.
    pub cold_rate_per_s: f64,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of the route's.
    pub priority: Option<u32>,
    /// Requests per second over all hosts, 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once on top of the rate.
    pub burst: f64,
    /// Names of the only regions that may serve it; all when empty.
    pub home_regions: Vec<String>,
}

/// What a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the manifest, ready for look-ups.
#[derive(Debug, Clone)]
pub struct Manifest {
    /// Its version.
    version: u64,
    /// Routes sorted by host, longest prefix first.
    routes: Vec<Arc<Route>>,
    /// Services sorted by name.
    services: Vec<Service>,
    /// Tenants sorted by name.
    tenants: Vec<Arc<Tenant>>,
    /// Digests of all keys with the position of their tenant, sorted.
    keys: Vec<(KeyDigest, usize)>,
    /// What callers may send.
    limits: CallerLimits,
}

impl Manifest {
    /// Checks and indexes a manifest; an error names the entry and the field.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        mut tenants: Vec<Tenant>,
        limits: CallerLimits,
    ) -> anyhow::Result<Self> {
        services.sort_by(|a, b| a.name.cmp(&b.name));
        for route in &routes {
            check_route(route, &services)?;
        }
        routes.sort_by(|a, b| {
            a.host.cmp(&b.host).then_with(|| b.path_prefix.len().cmp(&a.path_prefix.len()))
        });
        tenants.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys = Vec::new();
        for (at, tenant) in tenants.iter().enumerate() {
            let name = &tenant.name;
            ensure!(
                tenant.rate_per_s.is_finite() && tenant.rate_per_s >= 0.0,
                "tenant `{name}`: rate_per_s must be a number from 0 up"
            );
            keys.extend(tenant.keys.iter().map(|it| (*it, at)));
        }
        keys.sort();
        for pair in keys.windows(2) {
            ensure!(
                pair[0].0 != pair[1].0,
                "tenants `{}` and `{}` hold the same key",
                tenants[pair[0].1].name,
                tenants[pair[1].1].name
            );
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        let tenants = tenants.into_iter().map(Arc::new).collect();
        Ok(Self { version, routes, services, tenants, keys, limits })
    }

    /// Its version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The route of a request: of those of the host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let from = self.routes.partition_point(|it| it.host.as_str() < host);
        let mut of_host = self.routes[from..].iter().take_while(|it| it.host == host);
        of_host.find(|it| path.starts_with(&it.path_prefix))
    }

    /// The tenant that holds a key.
    pub fn tenant_for_key(&self, key: &[u8]) -> Option<&Arc<Tenant>> {
        let digest = KeyDigest::of(key);
        let at = self.keys.binary_search_by(|it| it.0.cmp(&digest)).ok()?;
        Some(&self.tenants[self.keys[at].1])
    }

    /// Whether callers show keys at all.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenants, sorted by name.
    pub fn tenants(&self) -> &[Arc<Tenant>] {
        &self.tenants
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// What callers may send.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

/// Checks one route.
fn check_route(route: &Route, services: &[Service]) -> anyhow::Result<()> {
    let Route { name, path_prefix, .. } = route;
    ensure!(!route.host.is_empty(), "route `{name}`: host is empty");
    ensure!(
        path_prefix.starts_with('/') && path_prefix.ends_with('/'),
        "route `{name}`: path_prefix `{path_prefix}` must begin and end with a slash"
    );
    ensure!(route.max_attempts > 0, "route `{name}`: max_attempts must be at least 1");
    ensure!(!route.target_latency.is_zero(), "route `{name}`: target_latency_ms must be above 0");
    ensure!(
        route.timeout.is_none_or(|it| !it.is_zero()),
        "route `{name}`: timeout_ms must be above 0"
    );
    ensure!(!route.targets.is_empty(), "route `{name}`: neither service nor split is given");
    for target in &route.targets {
        let service = &target.service;
        ensure!(
            services.binary_search_by(|it| it.name.cmp(service)).is_ok(),
            "route `{name}`: service `{service}` is not declared"
        );
        ensure!(
            target.weight.is_finite() && target.weight >= 0.0,
            "route `{name}`: weight of `{service}` must be a number from 0 up"
        );
    }
    let total: f64 = route.targets.iter().map(|it| it.weight).sum();
    ensure!(total > 0.0, "route `{name}`: the weights of its split add up to 0");
    Ok(())
}
