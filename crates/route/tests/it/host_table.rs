//! Tests of the ranking of entry hosts.

use kingcupford_config::{HostId, Snapshot, ZoneId};
use kingcupford_route::{HostCandidate, rank_hosts};

use crate::deployment::{REGIONS, snapshot};

/// Creates `per_zone` idle hosts in each zone, with ids in the order of the zones.
fn candidates(snapshot: &Snapshot, per_zone: u32) -> Vec<HostCandidate> {
    let zones = REGIONS.iter().flat_map(|it| [format!("{it}-1"), format!("{it}-2")]);
    let hosts = zones.enumerate().flat_map(|(index, zone)| {
        (0..per_zone).map(move |it| (index as u32 * per_zone + it, zone.clone()))
    });
    hosts
        .map(|(id, zone)| {
            let zone = snapshot.zones.id(&zone).unwrap();
            HostCandidate::new(HostId(id), &format!("host-{id}"), zone, 0.0)
        })
        .collect()
}

/// Returns the zone names of ranked hosts.
fn zone_names(snapshot: &Snapshot, candidates: &[HostCandidate], ranked: &[HostId]) -> Vec<String> {
    let zone_of = |id: &HostId| candidates.iter().find(|it| it.host == *id).unwrap().zone;
    ranked.iter().map(|it| snapshot.zones[zone_of(it)].name.clone()).collect()
}

// Guards against rankings that pass over a nearer zone or region.
#[test]
fn rank_hosts_nearest_first() {
    let snapshot = snapshot(1, &[], &[], None);
    let hosts = candidates(&snapshot, 1);
    let zone = snapshot.zones.id("north-2").unwrap();
    let ranked = rank_hosts(&hosts, zone, &snapshot, 7, 10);
    let zones = zone_names(&snapshot, &hosts, &ranked);
    assert_eq!(zones[..2], ["north-2", "north-1"]);
    assert!(zones[2..4].iter().all(|it| it.starts_with("east")), "{zones:?}");
    assert!(zones[4..].iter().all(|it| it.starts_with("west")), "{zones:?}");
}

// Guards against empty rankings when the zone and the region of the callers have no host left.
#[test]
fn rank_hosts_falls_back_to_other_regions() {
    let snapshot = snapshot(1, &[], &[], None);
    let mut hosts = candidates(&snapshot, 2);
    for host in &mut hosts {
        host.eligible = snapshot.zones[host.zone].name == "west-1";
    }
    for zone in 0..=6 {
        assert_eq!(rank_hosts(&hosts, ZoneId(zone), &snapshot, 7, 3).len(), 2, "zone {zone}");
    }
}

// Guards against moving the callers of other hosts when one host restarts or drains.
#[test]
fn rank_hosts_moves_only_callers_of_lost_host() {
    let snapshot = snapshot(1, &[], &[], None);
    let mut hosts = candidates(&snapshot, 8);
    let zone = hosts[0].zone;
    let first_host =
        |hosts: &[HostCandidate], affinity| rank_hosts(hosts, zone, &snapshot, affinity, 1)[0];
    let before: Vec<_> = (0..800).map(|affinity| first_host(&hosts, affinity)).collect();
    hosts[3].eligible = false;
    let mut moved = 0;
    for (affinity, before) in before.iter().enumerate() {
        let after = first_host(&hosts, affinity as u64);
        assert_ne!(after, HostId(3));
        assert!(after == *before || *before == HostId(3));
        moved += u32::from(after != *before);
    }
    assert!((50..=150).contains(&moved), "{moved} of 800 callers belonged to one of 8 hosts");
}

// Guards against hashing that keeps ranking a host first although its load exceeds the bound. A
// load that is not a number counts as full.
#[test]
fn rank_hosts_bounds_load() {
    let snapshot = snapshot(1, &[], &[], None);
    let mut hosts = candidates(&snapshot, 4);
    let zone = hosts[0].zone;
    hosts[1].load = 0.9;
    hosts[2].load = f64::NAN;
    for affinity in 0..100 {
        let ranked = rank_hosts(&hosts, zone, &snapshot, affinity, 4);
        assert!(ranked[..2].iter().all(|it| [HostId(0), HostId(3)].contains(it)), "{ranked:?}");
    }
}

// Guards against rankings that depend on process-local ids, with which two hosts would answer
// differently.
#[test]
fn rank_hosts_independent_of_ids() {
    let snapshot = snapshot(1, &[], &[], None);
    let hosts = candidates(&snapshot, 8);
    let mut renumbered = hosts.clone();
    for host in &mut renumbered {
        host.host = HostId(1000 - host.host.0);
    }
    for affinity in 0..100 {
        let ranked = rank_hosts(&hosts, hosts[0].zone, &snapshot, affinity, 20);
        let other_ranked = rank_hosts(&renumbered, hosts[0].zone, &snapshot, affinity, 20);
        let other_ranked: Vec<_> = other_ranked.iter().map(|it| HostId(1000 - it.0)).collect();
        assert_eq!(ranked, other_ranked);
    }
}
