//! The manifest: one version of the configuration with its routes, services, teams and keys.

use std::{sync::Arc, time::Duration};

use anyhow::ensure;
use sha2::{Digest as _, Sha256};

/// SHA-256 digest of a caller's key. The keys themselves are not stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// How often the instances may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatPolicy {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    Once,
    /// The request runs at most once and has a large body.
    Upload,
}

/// A service that receives requests of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: String,
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: f64,
}

/// Rule for the requests to one host below one path.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name, for logs and statistics.
    pub name: String,
    /// Host name that the requests carry.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// How often a request may run.
    pub repeat: RepeatPolicy,
    /// Longest time that a caller waits; `None` if the route sets no limit.
    pub timeout: Option<Duration>,
    /// Latency below which an even faster response has no value.
    pub target_latency: Duration,
    /// Priority of the requests, 0 is the highest.
    pub priority: u32,
    /// Services that receive the requests.
    pub targets: Vec<RouteTarget>,
    /// Maximum number of instances that one request may be sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub open: bool,
    /// Whether instances respond faster to affinity keys that they handled recently.
    pub affinity: bool,
    /// Names of the only regions that may serve the route; empty for all regions.
    pub home_regions: Vec<String>,
}

/// A service whose instances register themselves.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name, referenced by routes and registrations.
    pub name: String,
    /// Number of connections that one instance accepts in total.
    pub max_connections: u32,
    /// Requests per second that a cold instance accepts from all hosts together.
    pub cold_rate_per_s: f64,
}

/// A team with its keys and limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Team {
    /// Name, for logs, metrics and upstreams.
    pub name: String,
    /// Digests of the keys that identify the team.
    pub keys: Vec<KeyDigest>,
    /// Priority that replaces the one of the route.
    pub priority: Option<u32>,
    /// Rate limit over all hosts in requests per second, 0 for no limit.
    pub rate_per_s: f64,
    /// Requests that may arrive at once on top of the rate.
    pub burst: f64,
    /// Names of the only regions that may serve the team; empty for all regions.
    pub home_regions: Vec<String>,
}

/// Limits for the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body.
    pub max_body_bytes: u64,
    /// Time without a request after which a connection is closed.
    pub idle_timeout: Duration,
}

/// One version of the manifest, validated and indexed for lookups.
#[derive(Debug, Clone)]
pub struct Manifest {
    version: u64,
    /// Routes sorted by host, then by descending length of the prefix.
    routes: Vec<Arc<Route>>,
    /// Services sorted by name.
    services: Vec<Service>,
    /// Teams sorted by name.
    teams: Vec<Arc<Team>>,
    /// Digests of all keys with the index of their team, sorted.
    keys: Vec<(KeyDigest, usize)>,
    limits: CallerLimits,
}

impl Manifest {
    /// Validates and indexes a manifest. An error names the entry and the field.
    pub fn new(
        version: u64,
        mut routes: Vec<Route>,
        mut services: Vec<Service>,
        mut teams: Vec<Team>,
        limits: CallerLimits,
    ) -> anyhow::Result<Self> {
        services.sort_by(|a, b| a.name.cmp(&b.name));
        for route in &routes {
            validate_route(route, &services)?;
        }
        routes.sort_by(|a, b| {
            a.host.cmp(&b.host).then_with(|| b.path_prefix.len().cmp(&a.path_prefix.len()))
        });
        teams.sort_by(|a, b| a.name.cmp(&b.name));
        let mut keys = Vec::new();
        for (at, team) in teams.iter().enumerate() {
            let name = &team.name;
            ensure!(
                team.rate_per_s.is_finite() && team.rate_per_s >= 0.0,
                "tenant `{name}`: rate_per_s must be finite and at least 0"
            );
            keys.extend(team.keys.iter().map(|it| (*it, at)));
        }
        keys.sort();
        for neighbors in keys.windows(2) {
            ensure!(
                neighbors[0].0 != neighbors[1].0,
                "tenants `{}` and `{}` hold the same key",
                teams[neighbors[0].1].name,
                teams[neighbors[1].1].name
            );
        }
        let routes = routes.into_iter().map(Arc::new).collect();
        let teams = teams.into_iter().map(Arc::new).collect();
        Ok(Self { version, routes, services, teams, keys, limits })
    }

    /// Version number of the manifest.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Route of a request: among the routes of the host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let from = self.routes.partition_point(|it| it.host.as_str() < host);
        let mut of_host = self.routes[from..].iter().take_while(|it| it.host == host);
        of_host.find(|it| path.starts_with(&it.path_prefix))
    }

    /// Team that holds a key.
    pub fn team_for_key(&self, key: &[u8]) -> Option<&Arc<Team>> {
        let digest = KeyDigest::of(key);
        let at = self.keys.binary_search_by(|it| it.0.cmp(&digest)).ok()?;
        Some(&self.teams[self.keys[at].1])
    }

    /// Whether teams are declared; without any, callers need no keys.
    pub fn has_teams(&self) -> bool {
        !self.teams.is_empty()
    }

    /// Teams, sorted by name.
    pub fn teams(&self) -> &[Arc<Team>] {
        &self.teams
    }

    /// Service with a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let at = self.services.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        Some(&self.services[at])
    }

    /// Limits for the requests and connections of callers.
    pub fn limits(&self) -> &CallerLimits {
        &self.limits
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

fn validate_route(route: &Route, services: &[Service]) -> anyhow::Result<()> {
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
            "route `{name}`: weight of `{service}` must be finite and at least 0"
        );
    }
    let total_weight: f64 = route.targets.iter().map(|it| it.weight).sum();
    ensure!(total_weight > 0.0, "route `{name}`: the weights of its split add up to 0");
    Ok(())
}
