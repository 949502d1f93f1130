//! Benchmarks of the routing decisions for lookups and requests.

use std::{
    hint::black_box,
    net::{IpAddr, Ipv4Addr, Ipv6Addr},
    time::{Duration, Instant as WallClock},
};

use criterion::{Criterion, criterion_group, criterion_main};
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use kingcupford_config::{
    ConfigVersion, Declarations, HostId, InstanceDecl, LinkDecl, PresetDecl, RegionDecl, RouteDecl,
    ServiceDecl, SiteDecl, SiteId, Snapshot, VersionDecl,
};
use kingcupford_route::{
    AllowedRegion, AttemptOutcome, Balancer, BlockTable, ChoiceQuery, HostCandidate, HostTable,
    LocalityLevel,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Number of zones in each of the 7 regions, 25 in total.
const ZONES_PER_REGION: [usize; 7] = [4, 4, 4, 4, 3, 3, 3];

/// Number of sites, distributed evenly over the zones.
const SITES: usize = 150;

/// Number of instances of the service per site.
const INSTANCES_PER_SITE: usize = 20;

/// Number of entry hosts, distributed evenly over the zones.
const HOSTS: usize = 550;

/// Number of client blocks, one in eight of which is IPv6.
const BLOCKS: usize = 160_000;

/// Repetitions over which each printed figure is averaged.
const FIGURE_RUNS: u32 = 2_000_000;

/// Builds a deployment of the size expected in two years.
fn snapshot() -> Snapshot {
    let mut declarations = Declarations::default();
    let mut zones = Vec::new();
    for (region, count) in ZONES_PER_REGION.into_iter().enumerate() {
        let names: Vec<_> = (0..count).map(|it| format!("z{region}-{it}")).collect();
        zones.extend(names.clone());
        declarations.regions.push(RegionDecl { name: format!("r{region}"), zones: names });
        for other in 0..region {
            declarations.links.push(LinkDecl {
                between: [format!("r{other}"), format!("r{region}")],
                latency_ms: 10.0 + (region * 7 + other * 3) as f64,
                capacity_mbit_per_s: 4000.0,
            });
        }
    }
    let mut instances = Vec::new();
    for site in 0..SITES {
        declarations
            .sites
            .push(SiteDecl { name: format!("s{site}"), zone: zones[site % zones.len()].clone() });
        instances.extend((0..INSTANCES_PER_SITE).map(|it| InstanceDecl {
            name: format!("i{site}-{it}"),
            site: format!("s{site}"),
            address: ([10, 1, site as u8, it as u8], 80).into(),
            slots: 9,
            connections: 330,
        }));
    }
    let route = RouteDecl {
        path_prefix: "/".to_owned(),
        methods: Vec::new(),
        open: false,
        idempotent: true,
        timeout_ms: 1000,
    };
    declarations.services.push(ServiceDecl {
        name: "s".to_owned(),
        routes: vec![route],
        versions: vec![VersionDecl { name: "v".to_owned(), instances }],
        active_version: "v".to_owned(),
    });
    declarations.presets.push(PresetDecl { name: "day".to_owned(), ..PresetDecl::default() });
    Snapshot::compile(&declarations, ConfigVersion(1), "day", "bench", None)
        .expect("declarations are valid")
}

/// Generates random client blocks: /16 to /28 for IPv4, /32 to /56 for IPv6.
fn blocks(random: &mut SmallRng) -> Vec<(IpNet, SiteId)> {
    let mut blocks = Vec::new();
    while blocks.len() < BLOCKS {
        blocks.extend((blocks.len()..BLOCKS).map(|index| {
            let net = if index % 8 == 0 {
                let address = Ipv6Addr::from(0x2000_u128 << 112 | random.random::<u128>() >> 4);
                IpNet::from(
                    Ipv6Net::new(address, random.random_range(32..=56))
                        .expect("prefix length is valid"),
                )
            } else {
                let address = Ipv4Addr::from(random.random::<u32>());
                IpNet::from(
                    Ipv4Net::new(address, random.random_range(16..=28))
                        .expect("prefix length is valid"),
                )
            };
            (net.trunc(), SiteId(random.random_range(0..SITES as u16)))
        }));
        blocks.sort();
        blocks.dedup_by_key(|it| it.0);
    }
    blocks
}

/// Measures `decision` and prints its average duration as a figure.
fn figure_ns(name: &str, mut decision: impl FnMut()) {
    for _ in 0..FIGURE_RUNS / 10 {
        decision();
    }
    let start = WallClock::now();
    for _ in 0..FIGURE_RUNS {
        decision();
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(FIGURE_RUNS);
    println!("figure {name} {ns:.1} ns");
}

/// Benchmarks a lookup: the site of the client, then the ranking of the hosts.
fn lookup(criterion: &mut Criterion) {
    let mut random = SmallRng::seed_from_u64(1);
    let snapshot = snapshot();
    let blocks = blocks(&mut random);
    let table = BlockTable::new(&blocks);
    println!("figure lookup_table_160000_blocks {} bytes", table.size_bytes());
    let zones: Vec<_> = snapshot.zones.iter().map(|it| it.0).collect();
    let candidates: Vec<_> = (0..HOSTS)
        .map(|it| {
            let zone = zones[it % zones.len()];
            HostCandidate::new(HostId(it as u32), &format!("h{it}"), zone, random.random())
        })
        .collect();
    let hosts = HostTable::new(&candidates, &snapshot);
    // More clients than fit into the processor's caches, all inside blocks.
    let clients: Vec<IpAddr> = (0..1 << 20)
        .map(|_| match blocks[random.random_range(0..blocks.len())].0 {
            IpNet::V4(it) => {
                let host_bits = random.random::<u32>() & u32::from(it.hostmask());
                IpAddr::from(Ipv4Addr::from(u32::from(it.network()) | host_bits))
            }
            IpNet::V6(it) => {
                let host_bits = random.random::<u128>() & u128::from(it.hostmask());
                IpAddr::from(Ipv6Addr::from(u128::from(it.network()) | host_bits))
            }
        })
        .collect();
    let mut next = 0;
    let mut decision = || {
        next = (next + 1) % clients.len();
        let site = table.site(black_box(clients[next])).expect("client is in a block");
        black_box(hosts.rank(snapshot.sites[site].zone, LocalityLevel::Zone, next as u64, 3));
    };
    figure_ns("lookup_decision_160000_blocks", &mut decision);
    criterion.bench_function("lookup_decision", |bencher| bencher.iter(&mut decision));
    criterion.bench_function("block_table_site", |bencher| {
        bencher.iter(|| {
            next = (next + 1) % clients.len();
            table.site(black_box(clients[next]))
        });
    });
    criterion.bench_function("host_table_new", |bencher| {
        bencher.iter(|| HostTable::new(black_box(&candidates), &snapshot));
    });
}

/// Benchmarks a request: the choice of an instance and the records of its start and end.
fn route(criterion: &mut Criterion) {
    let snapshot = snapshot();
    let start = Instant::now();
    let mut balancer = Balancer::new(1);
    balancer.install(&snapshot, start);
    let zones: Vec<_> = snapshot.zones.iter().map(|it| it.0).collect();
    let service = snapshot.services.id("s").expect("service is declared");
    let version = snapshot.services[service].active_version;
    let mut running = std::collections::VecDeque::new();
    let mut step = 0;
    let mut decision = || {
        step += 1;
        let now = start + Duration::from_micros(step);
        let home_zone = zones[step as usize % zones.len()];
        let home_region = snapshot.region_of(home_zone);
        let regions = [AllowedRegion { region: home_region, share_slots: u32::MAX }];
        let query = ChoiceQuery {
            service,
            version,
            home_region,
            home_zone,
            regions: &regions,
            excluded: &[],
            idempotent: true,
            now,
        };
        let chosen = balancer.choose(black_box(&query)).expect("an instance has a free slot");
        balancer.record_start(chosen, now);
        running.push_back(chosen);
        // Keeps a third of all slots in use.
        if running.len() > SITES * INSTANCES_PER_SITE * 3 {
            let ended = running.pop_front().expect("a request is running");
            let outcome = AttemptOutcome::Answered { failed: false };
            balancer.record_end(ended, outcome, Duration::from_millis(5), now);
        }
    };
    figure_ns("route_decision_150_sites", &mut decision);
    criterion.bench_function("route_decision", |bencher| bencher.iter(&mut decision));
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = lookup, route
}
criterion_main!(benches);
