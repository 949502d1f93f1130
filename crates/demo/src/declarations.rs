//! Declarations of a small deployment that is structured like the one of the larger customer.

use std::net::SocketAddr;

use kingcupford_config::{
    BlockDecl, Declarations, InstanceDecl, IsolationPolicy, LinkDecl, PresetDecl, RegionDecl,
    RouteDecl, ServiceDecl, ShiftDecl, SiteDecl, TeamDecl, VersionDecl,
};

use crate::deployment::UpstreamSpec;

/// Names of the regions, each of which has the zones `<region>-a` and `<region>-b`.
const REGIONS: [&str; 3] = ["fukuoka", "kumamoto", "kagoshima"];

/// Returns sorted declarations of three regions with one site per zone, three services, eight
/// teams and three presets. `upstreams` become the instances of the services at the given
/// addresses.
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
        teams: teams(),
        presets: presets(),
        initial_preset: Some("ordinary".to_owned()),
        ..Declarations::default()
    };
    for (index, region) in REGIONS.iter().enumerate() {
        for other in &REGIONS[index + 1..] {
            res.links.push(LinkDecl {
                between: [(*region).to_owned(), (*other).to_owned()],
                latency_ms: 35.0,
                capacity_mbit_per_s: 4_000.0,
            });
        }
    }
    for (index, site) in res.sites.iter().enumerate() {
        for cidr in [format!("10.{index}.0.0/16"), format!("2001:db8:{index}::/48")] {
            let cidr = cidr.parse().expect("network of a site is valid");
            res.blocks.push(BlockDecl { cidr, site: site.name.clone() });
        }
    }
    res.sort();
    res
}

/// Returns a service with a keyed route, an open route below `/open` and its instances among the
/// upstreams.
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

/// Returns a route for all methods that requires a key.
fn route(path_prefix: &str, idempotent: bool, timeout_ms: u64) -> RouteDecl {
    RouteDecl {
        path_prefix: path_prefix.to_owned(),
        methods: Vec::new(),
        open: false,
        idempotent,
        timeout_ms,
    }
}

/// Returns eight teams, a few of which have much larger rate limits than the others.
fn teams() -> Vec<TeamDecl> {
    let rates_per_s = [400.0, 200.0, 100.0, 20.0, 20.0, 20.0, 10.0, 10.0];
    let teams = rates_per_s.iter().enumerate().map(|(index, rate_per_s)| TeamDecl {
        name: format!("school-{}", index + 1),
        rate_per_s: *rate_per_s,
        burst: rate_per_s * 2.0,
        when_isolated: IsolationPolicy::Serve,
    });
    teams.collect()
}

/// Returns presets for ordinary days, for peaks with a traffic shift and for the maintenance of a
/// drained zone.
fn presets() -> Vec<PresetDecl> {
    let peak_shift = ShiftDecl {
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
    vec![preset("ordinary"), PresetDecl { shifts: vec![peak_shift], ..preset("peak") }, maintenance]
}
