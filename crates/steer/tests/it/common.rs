//! A small deployment for the tests: two regions with two zones each, one service.

use std::{net::SocketAddr, time::Duration};

use kingcupford_steer::{
    CallerLimits, CanarySettings, Heartbeat, HostState, InstanceRegistration, KeyDigest, Manifest,
    Member, PROTOCOL_VERSION, RateLimitSettings, RepeatPolicy, Route, RouteTarget, Service,
    ServingState, Steering, SteeringSettings, Team, ZoneMap,
};
use tokio::time::Instant;

/// Incarnation of the host under test.
pub(crate) const INCARNATION: u64 = 7;

/// Zones of the deployment, seen from a host in `a1`.
pub(crate) fn zone_map() -> ZoneMap {
    let zones = [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")];
    let zones: Vec<(String, String)> =
        zones.iter().map(|it| (it.0.to_owned(), it.1.to_owned())).collect();
    ZoneMap::new(&zones, "a1").unwrap()
}

pub(crate) fn member(name: &str, zone: &str, port: u16) -> Member {
    Member {
        name: name.to_owned(),
        locality: zone_map().locality(zone).unwrap(),
        peer_address: address(port),
        caller_address: address(port + 1),
    }
}

pub(crate) fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Settings of the host `own` in `a1`.
pub(crate) fn settings() -> SteeringSettings {
    SteeringSettings {
        own_host: member("own", "a1", 1000),
        incarnation: INCARNATION,
        zone_map: zone_map(),
        link_mbps: 100,
        max_revocation_delay: Some(Duration::from_secs(5)),
        max_config_delay: Duration::from_millis(2500),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        rate_limit: RateLimitSettings {
            window_s: 5.0,
            overage_fraction: 0.1,
            slack_requests: 20.0,
        },
        canary: CanarySettings { exposure_share: 0.1 },
        seed: 1,
    }
}

/// Host with an active manifest of version 1 and a confirmed view.
pub(crate) fn steering(now: Instant) -> Steering {
    let mut res = Steering::new(settings(), Duration::ZERO, now);
    res.apply_manifest(manifest(1), now);
    res.freshness.confirm(now);
    res
}

/// Route to `svc` at `host.example/p/`.
pub(crate) fn route() -> Route {
    Route {
        name: "r".to_owned(),
        host: "host.example".to_owned(),
        path_prefix: "/p/".to_owned(),
        repeat: RepeatPolicy::Idempotent,
        timeout: Some(Duration::from_millis(1200)),
        target_latency: Duration::from_millis(250),
        priority: 1,
        targets: vec![RouteTarget { service: "svc".to_owned(), weight: 1.0 }],
        max_attempts: 2,
        open: false,
        affinity: true,
        home_regions: Vec::new(),
    }
}

/// Team with one key, `key-NAME`.
pub(crate) fn team(name: &str, rate_per_s: f64) -> Team {
    Team {
        name: name.to_owned(),
        keys: vec![KeyDigest::of(format!("key-{name}").as_bytes())],
        priority: None,
        rate_per_s,
        burst: rate_per_s,
        home_regions: Vec::new(),
    }
}

pub(crate) fn service(name: &str) -> Service {
    Service { name: name.to_owned(), max_connections: 100, cold_rate_per_s: 20.0 }
}

pub(crate) fn limits() -> CallerLimits {
    CallerLimits {
        max_header_bytes: 16_384,
        max_body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
    }
}

/// Manifest with the route, the service, the limited team `one` and the unlimited team `two`.
pub(crate) fn manifest(version: u64) -> Manifest {
    let teams = vec![team("one", 100.0), team("two", 0.0)];
    Manifest::new(version, vec![route()], vec![service("svc")], teams, limits()).unwrap()
}

/// Ready instance with four slots.
pub(crate) fn instance(id: &str, zone: &str) -> InstanceRegistration {
    InstanceRegistration {
        id: id.to_owned(),
        service: "svc".to_owned(),
        address: address(2000),
        locality: zone_map().locality(zone).unwrap(),
        version: "v1".to_owned(),
        slots: 4,
        state: ServingState::Ready,
        cold_remaining: Duration::ZERO,
        started_unix_ms: Some(1),
        sequence: None,
    }
}

/// Heartbeat of a serving host with a fresh view and nothing else to report.
pub(crate) fn heartbeat(sender: &str, sequence: u64) -> Heartbeat {
    Heartbeat {
        protocol_version: PROTOCOL_VERSION,
        sender: sender.to_owned(),
        incarnation: 1,
        sequence,
        ack: None,
        state: HostState::Serving,
        link_mbps: 100,
        manifest_version: 1,
        view_age_ms: Some(0),
        platform_age_ms: None,
        team_demand: Vec::new(),
        service_loads: Vec::new(),
        rollout_tallies: Vec::new(),
        quarantine_updates: Vec::new(),
    }
}
