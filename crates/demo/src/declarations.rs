//! Declarations of a small deployment with the shape of the larger customer's.

use std::net::SocketAddr;

use kingcupford_config::{
    BlockDecl, Declarations, InstanceDecl, IsolationPolicy, LinkDecl, PresetDecl, RegionDecl,
    RouteDecl, ServiceDecl, ShiftDecl, SiteDecl, TenantDecl, VersionDecl,
};

use crate::deployment::UpstreamSpec;

/// Regions, each with two zones named `<region>-a` and `<region>-b`.
const REGIONS: [&str; 3] = ["fukuoka", "kumamoto", "kagoshima"];

/// Regions, sites, services, tenants and presets over the given upstreams.
pub fn demo_declarations(upstreams: &[(UpstreamSpec, SocketAddr)]) -> Declarations {
    let zones = |region: &str| ["a", "b"].map(|it| format!("{region}-{it}")).to_vec();
    let mut res = Declarations {
        regions: REGIONS.map(|it| RegionDecl { name: it.to_owned(), zones: zones(it) }).to_vec(),
        sites: REGIONS
            .iter()
            .flat_map(|it| zones(it))
            .map(|it| SiteDecl { name: it.clone(), zone: it })
            .collect(),
        services: vec![
            service("ledger-view", route("/", true, 5_000), upstreams),
            service("deposit-desk", route("/", false, 5_000), upstreams),
            service("photo-drop", route("/", false, 120_000), upstreams),
        ],
        tenants: tenants(),
        presets: presets(),
        initial_preset: Some("ordinary".to_owned()),
        ..Declarations::default()
    };
    for (at, low) in REGIONS.iter().enumerate() {
        for high in &REGIONS[at + 1..] {
            res.links.push(LinkDecl {
                between: [(*low).to_owned(), (*high).to_owned()],
                latency_ms: 35.0,
                capacity_mbit_per_s: 4_000.0,
            });
        }
    }
    for (at, site) in res.sites.iter().enumerate() {
        for cidr in [format!("10.{at}.0.0/16"), format!("2001:db8:{at}::/48")] {
            let cidr = cidr.parse().expect("a constant network is valid");
            res.blocks.push(BlockDecl { cidr, site: site.name.clone() });
        }
    }
    res.sort();
    res
}

/// A service with an open status route and the instances among the upstreams.
fn service(name: &str, route: RouteDecl, upstreams: &[(UpstreamSpec, SocketAddr)]) -> ServiceDecl {
    let open = RouteDecl { path_prefix: "/open".to_owned(), open: true, ..route.clone() };
    let versions = ["v1", "v2"].map(|version| VersionDecl {
        name: version.to_owned(),
        instances: upstreams
            .iter()
            .filter(|(it, _)| it.service == name && it.version == version)
            .map(|(it, address)| InstanceDecl {
                name: it.name.clone(),
                site: it.site.clone(),
                address: *address,
                slots: it.slots,
                connections: 330,
            })
            .collect(),
    });
    ServiceDecl {
        name: name.to_owned(),
        routes: vec![route, RouteDecl { idempotent: true, ..open }],
        versions: versions.to_vec(),
        active_version: "v1".to_owned(),
    }
}

/// A route that needs a key.
fn route(path_prefix: &str, idempotent: bool, timeout_ms: u64) -> RouteDecl {
    RouteDecl {
        path_prefix: path_prefix.to_owned(),
        methods: Vec::new(),
        open: false,
        idempotent,
        timeout_ms,
    }
}

/// Eight tenants, a few of them large.
fn tenants() -> Vec<TenantDecl> {
    let rates = [400.0, 200.0, 100.0, 20.0, 20.0, 20.0, 10.0, 10.0];
    let tenants = rates.iter().enumerate().map(|(at, rate_per_s)| TenantDecl {
        name: format!("school-{}", at + 1),
        rate_per_s: *rate_per_s,
        burst: rate_per_s * 2.0,
        when_isolated: IsolationPolicy::Serve,
    });
    tenants.collect()
}

/// Ordinary days, peaks and maintenance.
fn presets() -> Vec<PresetDecl> {
    let shift = ShiftDecl {
        name: "peak-ledger-kumamoto".to_owned(),
        service: "ledger-view".to_owned(),
        from_region: "kumamoto".to_owned(),
        to_region: "fukuoka".to_owned(),
        share_percent: 30.0,
        cap_per_s: 50.0,
        burst: 10.0,
    };
    let preset = |name: &str| PresetDecl { name: name.to_owned(), ..PresetDecl::default() };
    let maintenance = PresetDecl {
        drains: vec![kingcupford_config::DrainDecl {
            target: kingcupford_config::DrainTarget::Zone,
            name: "kagoshima-b".to_owned(),
        }],
        ..preset("maintenance")
    };
    vec![preset("ordinary"), PresetDecl { shifts: vec![shift], ..preset("peak") }, maintenance]
}
