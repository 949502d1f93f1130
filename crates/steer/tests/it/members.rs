//! Membership and the choice of readers.

use std::time::Duration;

use kingcupford_steer::{
    HeartbeatAck, HeartbeatScope, HeartbeatTiming, HostState, Members, StoreSource,
};
use tokio::time::{Instant, advance};

use crate::common::{INCARNATION, address, heartbeat, member, zone_map};

const ALL_HOSTS: HeartbeatScope = HeartbeatScope { local: true, remote: true };

const NO_HOSTS: HeartbeatScope = HeartbeatScope { local: false, remote: false };

/// Guards against heartbeats whose number per host grows with the number of hosts.
#[test]
fn heartbeats_per_host_are_bounded() {
    for hosts in [30, 100, 195, 300, 550] {
        let (local, remote) = (HeartbeatTiming::local(hosts / 3), HeartbeatTiming::remote(hosts));
        let local_hosts = (hosts / 3 - 1) as f64;
        let remote_hosts = (hosts - hosts / 3) as f64;
        let sent_per_s = local_hosts / local.interval.as_secs_f64()
            + remote_hosts / remote.interval.as_secs_f64();
        assert!(sent_per_s <= 130.0, "{hosts} hosts: {sent_per_s}");
        // Lookups must not name a dead host of the region for more than 7 s.
        assert!(local.silence_timeout <= Duration::from_secs(7), "{hosts} hosts: {local:?}");
    }
}

/// Guards against a new process that hears of the others only after their intervals.
#[tokio::test(start_paused = true)]
async fn begin_heartbeat_to_new_process() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    let now = Instant::now();
    members.register(member("peer", "b1", 1100), own, now);
    assert_eq!(members.begin_heartbeat(1, NO_HOSTS, now).len(), 1);
    assert!(members.begin_heartbeat(2, NO_HOSTS, now).is_empty());
    members.receive(heartbeat("peer", 1), address(1100), now);
    assert!(members.begin_heartbeat(3, NO_HOSTS, now).is_empty());
    let mut restarted = heartbeat("peer", 1);
    restarted.incarnation = 2;
    members.receive(restarted, address(1100), now);
    assert_eq!(members.begin_heartbeat(4, NO_HOSTS, now).len(), 1);
    assert_eq!(members.begin_heartbeat(5, ALL_HOSTS, now).len(), 1);
}

/// Guards against lookups that name dead hosts, hosts of other zones although the requested zone
/// has one, or no host at all.
#[tokio::test(start_paused = true)]
async fn lookup_addresses_close_and_live() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a2", 1100), own.locality, Instant::now());
    members.register(member("far", "b1", 1200), own.locality, Instant::now());
    let now = Instant::now();
    let b1 = zone_map().locality("b1");
    let lookup = |members: &Members, preferred| {
        members.lookup_addresses(&own, HostState::Serving, preferred, Instant::now())
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

/// Guards against lookups that send callers to a host that is shutting down.
#[tokio::test(start_paused = true)]
async fn lookup_addresses_draining() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a1", 1100), own.locality, Instant::now());
    let now = Instant::now();
    let mut draining = heartbeat("near", 1);
    draining.state = HostState::Draining;
    members.receive(draining, address(1100), now);
    assert_eq!(members.lookup_addresses(&own, HostState::Serving, None, now), [own.caller_address]);
    assert_eq!(members.lookup_addresses(&own, HostState::Unready, None, now), [own.caller_address]);
}

/// Guards against heartbeats that are forged, repeated, or from a previous process.
#[tokio::test(start_paused = true)]
async fn receive_ignores_invalid() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let now = Instant::now();
    assert!(members.receive(heartbeat("peer", 5), address(1999), now).is_none());
    assert!(members.receive(heartbeat("other", 5), address(1100), now).is_none());
    assert!(members.receive(heartbeat("peer", 5), address(1100), now).is_some());
    assert!(members.receive(heartbeat("peer", 5), address(1100), now).is_none());
    let mut other_version = heartbeat("peer", 6);
    other_version.protocol_version += 1;
    assert!(members.receive(other_version, address(1100), now).is_none());
    let mut restarted = heartbeat("peer", 1);
    restarted.incarnation = 2;
    assert!(members.receive(restarted, address(1100), now).is_some());
    assert!(members.receive(heartbeat("peer", 9), address(1100), now).is_none());
}

/// Guards against a view that counts as younger than it is because a heartbeat was delayed in the
/// network.
#[tokio::test(start_paused = true)]
async fn view_confirmed_at_delayed_heartbeat() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let sent_at = Instant::now();
    members.begin_heartbeat(3, ALL_HOSTS, sent_at);
    advance(Duration::from_secs(10)).await;
    let mut delayed = heartbeat("peer", 1);
    delayed.ack = Some(HeartbeatAck { incarnation: INCARNATION, sequence: 3, ack_delay_ms: 40 });
    delayed.view_age_ms = Some(15);
    members.receive(delayed, address(1100), Instant::now());
    let expected = sent_at + Duration::from_millis(25);
    assert_eq!(members.view_confirmed_at("peer", INCARNATION), Some((1, expected)));
    // An acknowledgement for a previous process of this host confirms nothing.
    assert_eq!(members.view_confirmed_at("peer", INCARNATION + 1), None);
}

/// Guards against every host reading the platform, and against a region without a reader.
#[tokio::test(start_paused = true)]
async fn store_source_one_reader_per_region() {
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

/// Guards against hosts that keep following a reader to which the platform no longer responds.
#[tokio::test(start_paused = true)]
async fn store_source_replaces_reader() {
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
/// that never try although the platform may respond only to them.
#[tokio::test(start_paused = true)]
async fn store_source_turns_in_outage() {
    let names: Vec<String> = (0..12).map(|it| format!("n{it}")).collect();
    let port = |at: usize| 1100 + 10 * at as u16;
    let now = Instant::now();
    let mut tried = vec![false; names.len()];
    for tenth_s in 0..100u32 {
        let idle = Duration::from_millis(100) * tenth_s;
        let mut reading = 0;
        for (at, name) in names.iter().enumerate() {
            let own = member(name, "a1", port(at));
            let mut members = Members::default();
            for (other, name) in names.iter().enumerate().filter(|it| it.0 != at) {
                members.register(member(name, "a1", port(other)), own.locality, now);
                members.receive(heartbeat(name, 1), address(port(other)), now);
            }
            if members.store_source((&own, 100), None, None, idle, now) == StoreSource::Platform {
                reading += 1;
                tried[at] = true;
            }
        }
        assert!((1..=2).contains(&reading), "{reading} hosts read the platform after {idle:?}");
    }
    assert!(tried.iter().all(|it| *it), "{tried:?}");
}

/// Guards against a region whose view stops because the platform responds only in other regions.
#[tokio::test(start_paused = true)]
async fn store_source_in_other_region() {
    let now = Instant::now();
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    for (name, zone, port) in [("n1", "a1", 1100), ("n2", "a2", 1200), ("far", "b1", 1300)] {
        members.register(member(name, zone, port), own.locality, now);
        let mut heartbeat = heartbeat(name, 1);
        heartbeat.platform_age_ms = (zone == "b1").then_some(100);
        members.receive(heartbeat, address(port), now);
    }
    let follows_remote = (0..30u32).any(|tenth_s| {
        let source = members.store_source(
            (&own, 100),
            None,
            None,
            Duration::from_millis(100) * tenth_s,
            now,
        );
        matches!(
            source,
            StoreSource::Host { address: followed, is_reader: true, .. }
                if followed == address(1300)
        )
    });
    assert!(follows_remote);
}

/// Guards against a reader with a slow link: the lists for its followers occupy the link until its
/// own view is outdated.
#[tokio::test(start_paused = true)]
async fn store_source_prefers_bandwidth() {
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
    let with_low_bandwidth = members.store_source((&own, 10), fresh, None, Duration::ZERO, now);
    assert!(
        matches!(
            with_low_bandwidth,
            StoreSource::Host { address: followed, .. } if followed == address(1200)
        ),
        "{with_low_bandwidth:?}"
    );
    let with_high_bandwidth = members.store_source((&own, 1000), fresh, None, Duration::ZERO, now);
    assert_eq!(with_high_bandwidth, StoreSource::Platform);
}

/// Guards against a restarted host that its peers never hear again, because its clock went back and
/// the number of its process is lower than the one before.
#[tokio::test(start_paused = true)]
async fn receive_restarted_clock_went_back() {
    let own = zone_map().own_locality();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let of_process = |incarnation, sequence| {
        let mut res = heartbeat("peer", sequence);
        res.incarnation = incarnation;
        res
    };
    assert!(members.receive(of_process(7, 5), address(1100), Instant::now()).is_some());
    // A delayed heartbeat of an earlier process.
    assert!(members.receive(of_process(6, 9), address(1100), Instant::now()).is_none());
    advance(Duration::from_secs(3)).await;
    assert_eq!(members.live_count(Instant::now()), 1);
    assert!(members.receive(of_process(6, 1), address(1100), Instant::now()).is_some());
    assert_eq!(members.live_count(Instant::now()), 2);
    assert!(members.receive(of_process(6, 1), address(1100), Instant::now()).is_none());
}
