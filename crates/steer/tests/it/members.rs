//! The view of the other hosts.

use std::time::Duration;

use kingcupford_steer::{HeartbeatAck, HostState, Members, StoreSource};
use tokio::time::{Instant, advance};

use crate::common::{INCARNATION, address, heartbeat, member, zone_map};

/// Guards against lookups that name dead hosts, hosts of other zones while the own zone has one,
/// or none at all.
#[tokio::test(start_paused = true)]
async fn lookup_near_and_live() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a2", 1100), own.locality, Instant::now());
    members.register(member("far", "b1", 1200), own.locality, Instant::now());
    let now = Instant::now();
    let b1 = zone_map().locality("b1");
    let lookup = |members: &Members, near| {
        members.lookup_addresses(&own, HostState::Serving, near, Instant::now())
    };
    assert_eq!(lookup(&members, b1), [own.caller_address]);
    members.receive(heartbeat("far", 1), address(1200), now);
    members.receive(heartbeat("near", 1), address(1100), now);
    assert_eq!(lookup(&members, b1), [address(1201)]);
    assert_eq!(lookup(&members, zone_map().locality("b2")), [address(1201)]);
    assert_eq!(lookup(&members, zone_map().locality("a2")), [address(1101)]);
    advance(Duration::from_secs(4)).await;
    assert_eq!(lookup(&members, b1), [own.caller_address]);
}

/// Guards against lookups that send callers to a host that shuts down or cannot serve.
#[tokio::test(start_paused = true)]
async fn lookup_draining() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a1", 1100), own.locality, Instant::now());
    let now = Instant::now();
    let mut leaving = heartbeat("near", 1);
    leaving.state = HostState::Draining;
    members.receive(leaving, address(1100), now);
    assert_eq!(members.lookup_addresses(&own, HostState::Serving, None, now), [own.caller_address]);
    assert_eq!(members.lookup_addresses(&own, HostState::Unready, None, now), [own.caller_address]);
}

/// Guards against beats that are forged, repeated, or of a former process.
#[tokio::test(start_paused = true)]
async fn receive_ignored() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let now = Instant::now();
    assert!(members.receive(heartbeat("peer", 5), address(1999), now).is_none());
    assert!(members.receive(heartbeat("other", 5), address(1100), now).is_none());
    assert!(members.receive(heartbeat("peer", 5), address(1100), now).is_some());
    assert!(members.receive(heartbeat("peer", 5), address(1100), now).is_none());
    let mut foreign = heartbeat("peer", 6);
    foreign.protocol_version += 1;
    assert!(members.receive(foreign, address(1100), now).is_none());
    let mut restarted = heartbeat("peer", 1);
    restarted.incarnation = 2;
    assert!(members.receive(restarted, address(1100), now).is_some());
    assert!(members.receive(heartbeat("peer", 9), address(1100), now).is_none());
}

/// Guards against a view that is taken to be younger than it is because a beat was long under way.
#[tokio::test(start_paused = true)]
async fn confirmed_at_delayed_beat() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let sent_at = Instant::now();
    members.begin_heartbeat(3, own, true, sent_at);
    advance(Duration::from_secs(10)).await;
    let mut late = heartbeat("peer", 1);
    late.ack = Some(HeartbeatAck { incarnation: INCARNATION, sequence: 3, ack_delay_ms: 40 });
    late.view_age_ms = Some(15);
    members.receive(late, address(1100), Instant::now());
    let expected = sent_at + Duration::from_millis(25);
    assert_eq!(members.view_confirmed_at("peer", INCARNATION), Some((1, expected)));
    // An echo for a former process of this host dates nothing.
    assert_eq!(members.view_confirmed_at("peer", INCARNATION + 1), None);
}

/// Guards against every host calling the platform, and against a region without a reader.
#[tokio::test(start_paused = true)]
async fn reader_one_per_region() {
    let now = Instant::now();
    let names = ["n1", "n2", "n3"];
    let fresh = Some(Duration::from_millis(100));
    let views: Vec<(Members, usize)> = (0..3)
        .map(|at| {
            let own = zone_map().own_locality();
            let mut members = Members::default();
            for other in (0..3).filter(|it| *it != at) {
                let port = 1000 + 100 * other as u16;
                members.register(member(names[other], "a1", port), own, Instant::now());
                let mut heartbeat = heartbeat(names[other], 1);
                heartbeat.platform_age_ms = Some(100);
                members.receive(heartbeat, address(port), now);
            }
            (members, at)
        })
        .collect();
    let readers: Vec<_> = views
        .iter()
        .map(|(members, at)| {
            let own = member(names[*at], "a1", 1000 + 100 * *at as u16);
            match members.store_source((&own, 100), fresh, None, Duration::ZERO, now) {
                StoreSource::Platform => own.peer_address,
                StoreSource::Host { address, .. } => address,
            }
        })
        .collect();
    assert_eq!(readers[0], readers[1]);
    assert_eq!(readers[1], readers[2]);
}

/// Guards against followers that stay with a reader that the platform no longer answers.
#[tokio::test(start_paused = true)]
async fn reader_replaced() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    for (name, port) in [("n1", 1100), ("n2", 1200)] {
        members.register(member(name, "a1", port), own.locality, Instant::now());
        let mut stale = heartbeat(name, 1);
        stale.platform_age_ms = Some(5000);
        members.receive(stale, address(port), Instant::now());
    }
    let idle = Duration::from_secs(3);
    let source = members.store_source((&own, 100), None, None, idle, Instant::now());
    assert!(!matches!(source, StoreSource::Host { is_reader: true, .. }), "{source:?}");
    let mut fresh = heartbeat("n2", 2);
    fresh.platform_age_ms = Some(10);
    members.receive(fresh, address(1200), Instant::now());
    let source = members.store_source((&own, 100), None, None, idle, Instant::now());
    let followed =
        StoreSource::Host { address: address(1200), is_reader: true, fallbacks: Vec::new() };
    assert_eq!(source, followed);
}

/// Guards against an outage in which all hosts of a region call the platform, and against hosts
/// that never try although it may answer only them.
#[tokio::test(start_paused = true)]
async fn source_turns_in_outage() {
    let names: Vec<String> = (0..12).map(|it| format!("n{it}")).collect();
    let port = |at: usize| 1100 + 10 * at as u16;
    let now = Instant::now();
    let mut tried = vec![false; names.len()];
    for tenth_s in 0..100u32 {
        let idle = Duration::from_millis(100) * tenth_s;
        let mut calling = 0;
        for (at, name) in names.iter().enumerate() {
            let own = member(name, "a1", port(at));
            let mut members = Members::default();
            for (other, name) in names.iter().enumerate().filter(|it| it.0 != at) {
                members.register(member(name, "a1", port(other)), own.locality, now);
                members.receive(heartbeat(name, 1), address(port(other)), now);
            }
            if members.store_source((&own, 100), None, None, idle, now) == StoreSource::Platform {
                calling += 1;
                tried[at] = true;
            }
        }
        assert!((1..=2).contains(&calling), "{calling} hosts call after {idle:?}");
    }
    assert!(tried.iter().all(|it| *it), "{tried:?}");
}

/// Guards against a region that stands still because the platform answers only other regions.
#[tokio::test(start_paused = true)]
async fn source_in_other_region() {
    let now = Instant::now();
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    for (name, zone, port) in [("n1", "a1", 1100), ("n2", "a2", 1200), ("far", "b1", 1300)] {
        members.register(member(name, zone, port), own.locality, now);
        let mut heartbeat = heartbeat(name, 1);
        heartbeat.platform_age_ms = (zone == "b1").then_some(100);
        members.receive(heartbeat, address(port), now);
    }
    let follows_far = (0..30u32).any(|tenth_s| {
        let source =
            members.store_source((&own, 100), None, None, Duration::from_millis(100) * tenth_s, now);
        matches!(source, StoreSource::Host { address: followed, is_reader: true, .. } if followed == address(1300))
    });
    assert!(follows_far);
}

/// Guards against a host with a slow link that reads for a region: its followers' lists hold the
/// link up until its own view is old.
#[tokio::test(start_paused = true)]
async fn source_strongest_reads() {
    let now = Instant::now();
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    for (name, port, link_mbps) in [("n1", 1100, 10), ("n2", 1200, 200), ("n3", 1300, 10)] {
        members.register(member(name, "a1", port), own.locality, now);
        let mut heartbeat = heartbeat(name, 1);
        heartbeat.link_mbps = link_mbps;
        heartbeat.platform_age_ms = Some(100);
        members.receive(heartbeat, address(port), now);
    }
    let fresh = Some(Duration::from_millis(100));
    let weak = members.store_source((&own, 10), fresh, None, Duration::ZERO, now);
    assert!(
        matches!(weak, StoreSource::Host { address: followed, .. } if followed == address(1200)),
        "{weak:?}"
    );
    let strong = members.store_source((&own, 1000), fresh, None, Duration::ZERO, now);
    assert_eq!(strong, StoreSource::Platform);
}
