//! The view of the other hosts.

use std::time::Duration;

use kingcupford_steer::{BeatState, Echo, Members};
use tokio::time::{Instant, advance};

use crate::common::{INCARNATION, address, beat, member, places};

/// Guards against lookups that name dead hosts, hosts of other zones while the own zone has one,
/// or none at all.
#[tokio::test(start_paused = true)]
async fn lookup_near_and_live() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a2", 1100), own.place, Instant::now());
    members.register(member("far", "b1", 1200), own.place, Instant::now());
    let now = Instant::now();
    let b1 = places().place("b1");
    let lookup =
        |members: &Members, near| members.lookup(&own, BeatState::Serving, near, Instant::now());
    assert_eq!(lookup(&members, b1), [own.caller_address]);
    members.receive(beat("far", 1), address(1200), now);
    members.receive(beat("near", 1), address(1100), now);
    assert_eq!(lookup(&members, b1), [address(1201)]);
    assert_eq!(lookup(&members, places().place("b2")), [address(1201)]);
    assert_eq!(lookup(&members, places().place("a2")), [address(1101)]);
    advance(Duration::from_secs(4)).await;
    assert_eq!(lookup(&members, b1), [own.caller_address]);
}

/// Guards against lookups that send callers to a host that shuts down or cannot serve.
#[tokio::test(start_paused = true)]
async fn lookup_draining() {
    let own = member("own", "a1", 1000);
    let mut members = Members::default();
    members.register(member("near", "a1", 1100), own.place, Instant::now());
    let now = Instant::now();
    let mut leaving = beat("near", 1);
    leaving.state = BeatState::Draining;
    members.receive(leaving, address(1100), now);
    assert_eq!(members.lookup(&own, BeatState::Serving, None, now), [own.caller_address]);
    assert_eq!(members.lookup(&own, BeatState::Unready, None, now), [own.caller_address]);
}

/// Guards against beats that are forged, repeated, or of a former process.
#[tokio::test(start_paused = true)]
async fn receive_ignored() {
    let own = places().own();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let now = Instant::now();
    assert!(members.receive(beat("peer", 5), address(1999), now).is_none());
    assert!(members.receive(beat("other", 5), address(1100), now).is_none());
    assert!(members.receive(beat("peer", 5), address(1100), now).is_some());
    assert!(members.receive(beat("peer", 5), address(1100), now).is_none());
    let mut foreign = beat("peer", 6);
    foreign.protocol += 1;
    assert!(members.receive(foreign, address(1100), now).is_none());
    let mut restarted = beat("peer", 1);
    restarted.incarnation = 2;
    assert!(members.receive(restarted, address(1100), now).is_some());
    assert!(members.receive(beat("peer", 9), address(1100), now).is_none());
}

/// Guards against a view that is taken to be younger than it is because a beat was long under way.
#[tokio::test(start_paused = true)]
async fn confirmed_at_delayed_beat() {
    let own = places().own();
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), own, Instant::now());
    let sent_at = Instant::now();
    members.send(3, own, true, sent_at);
    advance(Duration::from_secs(10)).await;
    let mut late = beat("peer", 1);
    late.echo = Some(Echo { incarnation: INCARNATION, sequence: 3, held_ms: 40 });
    late.view_age_ms = Some(15);
    members.receive(late, address(1100), Instant::now());
    let expected = sent_at + Duration::from_millis(25);
    assert_eq!(members.confirmed_at("peer", INCARNATION), Some((1, expected)));
    // An echo for a former process of this host dates nothing.
    assert_eq!(members.confirmed_at("peer", INCARNATION + 1), None);
}

/// Guards against every host calling the platform, and against a region without a reader.
#[tokio::test(start_paused = true)]
async fn reader_one_per_region() {
    let now = Instant::now();
    let names = ["n1", "n2", "n3"];
    let fresh = Some(Duration::from_millis(100));
    let views: Vec<(Members, usize)> = (0..3)
        .map(|at| {
            let own = places().own();
            let mut members = Members::default();
            for other in (0..3).filter(|it| *it != at) {
                let port = 1000 + 100 * other as u16;
                members.register(member(names[other], "a1", port), own, Instant::now());
                let mut beat = beat(names[other], 1);
                beat.platform_age_ms = Some(100);
                members.receive(beat, address(port), now);
            }
            (members, at)
        })
        .collect();
    let readers: Vec<_> = views
        .iter()
        .map(|(members, at)| {
            let own = member(names[*at], "a1", 1000 + 100 * *at as u16);
            let reader = members.reader(&own, fresh, None, Duration::ZERO, now);
            reader.unwrap_or(own.peer_address)
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
        members.register(member(name, "a1", port), own.place, Instant::now());
        let mut stale = beat(name, 1);
        stale.platform_age_ms = Some(5000);
        members.receive(stale, address(port), Instant::now());
    }
    let idle = Duration::from_secs(3);
    assert_eq!(members.reader(&own, None, None, idle, Instant::now()), None);
    let mut fresh = beat("n2", 2);
    fresh.platform_age_ms = Some(10);
    members.receive(fresh, address(1200), Instant::now());
    assert_eq!(members.reader(&own, None, None, idle, Instant::now()), Some(address(1200)));
}
