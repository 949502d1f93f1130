//! Tests of the quarantine of poison requests.

use std::time::Duration;

use kingcupford_route::{Fingerprint, Quarantine, QuarantineStatus, QuarantineUpdate};
use tokio::time::Instant;

/// Fingerprint of a poison request.
const POISON: Fingerprint = Fingerprint(1);

/// Fingerprint of a harmless request.
const INNOCENT: Fingerprint = Fingerprint(2);

fn is_quarantined(quarantine: &Quarantine, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(quarantine.status(fingerprint, now), QuarantineStatus::Quarantined { .. })
}

// Guards against a poison request that keeps crashing upstreams, and against a quarantine that
// never ends.
#[test]
fn record_loss_quarantines_after_two_instances() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(POISON, "i1", now);
    quarantine.record_loss(POISON, "i1", now);
    assert_eq!(quarantine.status(POISON, now), QuarantineStatus::Suspected);
    quarantine.record_loss(POISON, "i2", now);
    let until = now + Duration::from_secs(600);
    assert_eq!(quarantine.status(POISON, now), QuarantineStatus::Quarantined { until });
    assert_eq!(quarantine.status(POISON, until), QuarantineStatus::Suspected);
    // After the quarantine, one more loss starts the next one.
    quarantine.record_loss(POISON, "i3", until);
    assert!(is_quarantined(&quarantine, POISON, until));
    let expiry = until + Duration::from_secs(1800);
    assert_eq!(quarantine.status(POISON, expiry), QuarantineStatus::Clear);
}

// Guards against two hosts that lose two upstreams each because they do not share their losses.
#[test]
fn apply_update_combines_losses_of_hosts() {
    let now = Instant::now();
    let mut hosts = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    hosts[0].record_loss(POISON, "i1", now);
    hosts[1].record_loss(POISON, "i2", now);
    for from in 0..2 {
        let config = bincode::config::standard();
        for update in hosts[from].take_updates() {
            let bytes = bincode::encode_to_vec(&update, config).unwrap();
            let (decoded, _): (QuarantineUpdate, _) =
                bincode::decode_from_slice(&bytes, config).unwrap();
            assert_eq!(decoded, update);
            for to in (0..3).filter(|it| *it != from) {
                hosts[to].apply_update(&decoded, now);
            }
        }
    }
    assert!(hosts.iter().all(|it| is_quarantined(it, POISON, now)));
    let mut joined = Quarantine::new();
    let later = now + Duration::from_secs(100);
    for update in hosts[2].active_quarantines(later) {
        joined.apply_update(&update, later);
    }
    let until = now + Duration::from_secs(600);
    assert_eq!(joined.status(POISON, later), QuarantineStatus::Quarantined { until });
}

// Guards against updates that two hosts send back and forth without end.
#[test]
fn apply_update_does_not_echo() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    a.record_loss(POISON, "i1", now);
    a.record_loss(POISON, "i2", now);
    let mut rounds = 0;
    loop {
        let (from_a, from_b) = (a.take_updates(), b.take_updates());
        if from_a.is_empty() && from_b.is_empty() {
            break;
        }
        from_a.iter().for_each(|it| b.apply_update(it, now));
        from_b.iter().for_each(|it| a.apply_update(it, now));
        rounds += 1;
        assert!(rounds < 4);
    }
}

// Guards against a quarantine of a popular request that ran on several instances when they crashed.
#[test]
fn record_loss_spares_popular_requests() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    for _ in 0..100 {
        quarantine.record_success(INNOCENT, now);
    }
    for instance in ["i1", "i2", "i3"] {
        quarantine.record_loss(INNOCENT, instance, now);
    }
    assert!(!is_quarantined(&quarantine, INNOCENT, now));
    // Past successes protect a request for a limited time only: it may turn bad with a new version.
    let mut quarantine = Quarantine::new();
    for _ in 0..100 {
        quarantine.record_success(INNOCENT, now);
    }
    let later = now + Duration::from_secs(300);
    quarantine.record_loss(INNOCENT, "i1", later);
    quarantine.record_loss(INNOCENT, "i2", later);
    assert!(is_quarantined(&quarantine, INNOCENT, later));
}

// Guards against a quarantine of requests that ran at the same time as a poison request at both
// crashes, whichever loss is recorded first.
#[test]
fn record_loss_spares_concurrent_requests() {
    for poison_first in [false, true] {
        let now = Instant::now();
        let (mut quarantine, mut peer) = (Quarantine::new(), Quarantine::new());
        quarantine.record_success(INNOCENT, now);
        for instance in ["i1", "i2"] {
            let pair = if poison_first { [POISON, INNOCENT] } else { [INNOCENT, POISON] };
            pair.into_iter().for_each(|it| quarantine.record_loss(it, instance, now));
        }
        for update in quarantine.take_updates() {
            peer.apply_update(&update, now);
        }
        for host in [&quarantine, &peer] {
            assert!(is_quarantined(host, POISON, now), "poison first: {poison_first}");
            assert!(!is_quarantined(host, INNOCENT, now), "poison first: {poison_first}");
        }
    }
}

// Guards against unbounded memory, and against a flood of fingerprints that evicts active
// quarantines.
#[test]
fn record_loss_bounds_memory() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(POISON, "i1", now);
    quarantine.record_loss(POISON, "i2", now);
    for value in 10..20_000 {
        let at = now + Duration::from_millis(value);
        quarantine.record_loss(Fingerprint(value), "i1", at);
    }
    assert!(quarantine.len() <= 4096);
    assert!(is_quarantined(&quarantine, POISON, now));
    assert!(quarantine.take_updates().len() <= 2 * 4096);
}

// Guards against equal fingerprints of different requests, with which one team could block the
// requests of another.
#[test]
fn fingerprint_covers_all_parts() {
    let fingerprint = Quarantine::fingerprint;
    let base = fingerprint("t", "GET", "/a", Some(3), b"abc");
    assert_eq!(base, fingerprint("t", "GET", "/a", Some(3), b"abc"));
    let others = [
        fingerprint("u", "GET", "/a", Some(3), b"abc"),
        fingerprint("tG", "ET", "/a", Some(3), b"abc"),
        fingerprint("t", "GET/", "a", Some(3), b"abc"),
        fingerprint("t", "GET", "/b", Some(3), b"abc"),
        fingerprint("t", "GET", "/a", Some(4), b"abc"),
        fingerprint("t", "GET", "/a", None, b"abc"),
        fingerprint("t", "GET", "/a", Some(3), b"abd"),
    ];
    assert!(others.iter().all(|it| *it != base));
    let long_body = [7; 1000];
    assert_eq!(
        fingerprint("t", "GET", "/a", None, &long_body),
        fingerprint("t", "GET", "/a", None, &long_body[..256])
    );
}

// Guards against a peer that quarantines a request although it succeeds there, and against a
// quarantine that stays after running requests showed it to be wrong.
#[test]
fn record_success_outweighs_losses() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    (0..3).for_each(|_| b.record_success(INNOCENT, now));
    a.record_loss(INNOCENT, "i1", now);
    a.record_loss(INNOCENT, "i2", now);
    (0..2).for_each(|_| a.record_success(INNOCENT, now));
    assert!(
        is_quarantined(&a, INNOCENT, now),
        "the request succeeded only as often as it was lost"
    );
    let updates = a.take_updates();
    updates.iter().for_each(|it| b.apply_update(it, now));
    assert!(!is_quarantined(&b, INNOCENT, now));
    let mut c = Quarantine::new();
    updates.iter().for_each(|it| c.apply_update(it, now));
    assert!(is_quarantined(&c, INNOCENT, now));
    a.record_success(INNOCENT, now);
    a.take_updates().iter().for_each(|it| c.apply_update(it, now));
    assert!(!is_quarantined(&a, INNOCENT, now) && !is_quarantined(&c, INNOCENT, now));
}
