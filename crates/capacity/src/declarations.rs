//! Generated declarations for a given deployment size.

use std::net::{Ipv4Addr, SocketAddr};

use kingcupford_config::{
    BlockDecl, Declarations, InstanceDecl, IsolationPolicy, LinkDecl, PresetDecl, RegionDecl,
    RouteDecl, ServiceDecl, SiteDecl, TeamDecl, VersionDecl,
};

use crate::report::Shape;

/// Number of sites at the target size, spread evenly over the zones.
const SITE_COUNT: usize = 150;

pub(crate) fn zone_name(shape: &Shape, zone_index: usize) -> String {
    format!("region{}-{}", zone_index / shape.zones_per_region, zone_index % shape.zones_per_region)
}

/// Generates sorted declarations of the given size. All instances have the address
/// `upstream_address`.
pub(crate) fn generate_declarations(shape: &Shape, upstream_address: SocketAddr) -> Declarations {
    let zones: Vec<String> = (0..shape.zones).map(|it| zone_name(shape, it)).collect();
    let mut res = Declarations { initial_preset: Some("day".to_owned()), ..Default::default() };
    for (region, zones) in zones.chunks(shape.zones_per_region).enumerate() {
        res.regions.push(RegionDecl { name: format!("region{region}"), zones: zones.to_vec() });
        for other in 0..region {
            res.links.push(LinkDecl {
                between: [format!("region{other}"), format!("region{region}")],
                latency_ms: 35.0,
                capacity_mbit_per_s: 4_000.0,
            });
        }
    }
    for site in 0..SITE_COUNT {
        let zone = zones[site % zones.len()].clone();
        res.sites.push(SiteDecl { name: format!("site{site}"), zone });
    }
    for block in 0..shape.blocks {
        // Adjacent networks of 256 addresses from 16.0.0.0 on; 160,000 networks end at 18.113.0.0.
        let network = Ipv4Addr::from((16 << 24) + ((block as u32) << 8));
        let cidr = format!("{network}/24").parse().expect("block is a valid network");
        res.blocks.push(BlockDecl { cidr, site: format!("site{}", block * 7 % SITE_COUNT) });
    }
    let route = RouteDecl {
        path_prefix: "/".to_owned(),
        methods: Vec::new(),
        open: false,
        idempotent: true,
        timeout_ms: 5_000,
    };
    let instances = (0..shape.instances).map(|it| InstanceDecl {
        name: format!("ledger-view-{it}"),
        site: format!("site{}", it % SITE_COUNT),
        address: upstream_address,
        slots: 9,
        connections: 330,
    });
    let version = VersionDecl { name: "v1".to_owned(), instances: instances.collect() };
    res.services.push(ServiceDecl {
        name: "ledger-view".to_owned(),
        routes: vec![route],
        versions: vec![version],
        active_version: "v1".to_owned(),
    });
    for team in 0..shape.teams {
        res.teams.push(TeamDecl {
            name: format!("tenant-{team}"),
            rate_per_s: 100.0,
            burst: 200.0,
            when_isolated: IsolationPolicy::Serve,
        });
    }
    res.presets.push(PresetDecl { name: "day".to_owned(), ..PresetDecl::default() });
    res.sort();
    res
}
