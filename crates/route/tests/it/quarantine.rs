//! Tests of the quarantine.

use std::time::Duration;

use kingcupford_route::{Fingerprint, Quarantine, QuarantineStatus, QuarantineUpdate};
use tokio::time::Instant;

/// The poison request.
const POISON: Fingerprint = Fingerprint(1);

/// A harmless request.
const INNOCENT: Fingerprint = Fingerprint(2);

/// Whether a fingerprint is blocked.
fn is_blocked(quarantine: &Quarantine, fingerprint: Fingerprint, now: Instant) -> bool {
    matches!(quarantine.status(fingerprint, now), QuarantineStatus::Quarantined { .. })
}

// Guards against a poison request that goes on to crash upstreams, and against an endless block.
#[test]
fn lost_blocks_after_two_instances() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(POISON, "i1", now);
    quarantine.record_loss(POISON, "i1", now);
    assert_eq!(quarantine.status(POISON, now), QuarantineStatus::Suspected);
    quarantine.record_loss(POISON, "i2", now);
    let until = now + Duration::from_secs(600);
    assert_eq!(quarantine.status(POISON, now), QuarantineStatus::Quarantined { until });
    assert_eq!(quarantine.status(POISON, until), QuarantineStatus::Suspected);
    // After the quarantine one more loss is enough.
    quarantine.record_loss(POISON, "i3", until);
    assert!(is_blocked(&quarantine, POISON, until));
    let forgotten = until + Duration::from_secs(1800);
    assert_eq!(quarantine.status(POISON, forgotten), QuarantineStatus::Clear);
}

// Guards against two hosts that lose two upstreams each, because they don't tell each other.
#[test]
fn receive_adds_up_coincidences() {
    let now = Instant::now();
    let mut hosts = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    hosts[0].record_loss(POISON, "i1", now);
    hosts[1].record_loss(POISON, "i2", now);
    for from in 0..2 {
        let config = bincode::config::standard();
        for message in hosts[from].take_updates() {
            let bytes = bincode::encode_to_vec(&message, config).unwrap();
            let (decoded, _): (QuarantineUpdate, _) =
                bincode::decode_from_slice(&bytes, config).unwrap();
            assert_eq!(decoded, message);
            for to in (0..3).filter(|it| *it != from) {
                hosts[to].apply_update(&decoded, now);
            }
        }
    }
    assert!(hosts.iter().all(|it| is_blocked(it, POISON, now)));
    let mut joined = Quarantine::new();
    let later = now + Duration::from_secs(100);
    for it in hosts[2].active_quarantines(later) {
        joined.apply_update(&it, later);
    }
    let until = now + Duration::from_secs(600);
    assert_eq!(joined.status(POISON, later), QuarantineStatus::Quarantined { until });
}

// Guards against announcements that hosts send back and forth for ever.
#[test]
fn receive_does_not_echo() {
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

// Guards against blocking a popular request that ran on two instances when they died.
#[test]
fn lost_spares_popular_requests() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    for _ in 0..100 {
        quarantine.record_success(INNOCENT, now);
    }
    for instance in ["i1", "i2", "i3"] {
        quarantine.record_loss(INNOCENT, instance, now);
    }
    assert!(!is_blocked(&quarantine, INNOCENT, now));
    // Past successes don't protect a request for ever: it may turn bad with a new version.
    let mut quarantine = Quarantine::new();
    for _ in 0..100 {
        quarantine.record_success(INNOCENT, now);
    }
    let later = now + Duration::from_secs(300);
    quarantine.record_loss(INNOCENT, "i1", later);
    quarantine.record_loss(INNOCENT, "i2", later);
    assert!(is_blocked(&quarantine, INNOCENT, later));
}

// Guards against blocking requests that ran beside a poison request at both crashes, whichever
// loss is seen first.
#[test]
fn lost_spares_neighbours_of_poison() {
    for poison_first in [false, true] {
        let now = Instant::now();
        let (mut quarantine, mut peer) = (Quarantine::new(), Quarantine::new());
        quarantine.record_success(INNOCENT, now);
        for instance in ["i1", "i2"] {
            let pair = if poison_first { [POISON, INNOCENT] } else { [INNOCENT, POISON] };
            pair.into_iter().for_each(|it| quarantine.record_loss(it, instance, now));
        }
        for it in quarantine.take_updates() {
            peer.apply_update(&it, now);
        }
        for it in [&quarantine, &peer] {
            assert!(is_blocked(it, POISON, now), "poison first: {poison_first}");
            assert!(!is_blocked(it, INNOCENT, now), "poison first: {poison_first}");
        }
    }
}

// Guards against growth without bound, and against a flood that pushes out running quarantines.
#[test]
fn lost_bounds_memory() {
    let now = Instant::now();
    let mut quarantine = Quarantine::new();
    quarantine.record_loss(POISON, "i1", now);
    quarantine.record_loss(POISON, "i2", now);
    for it in 10..20_000 {
        quarantine.record_loss(Fingerprint(it), "i1", now + Duration::from_millis(it));
    }
    assert!(quarantine.len() <= 4096);
    assert!(is_blocked(&quarantine, POISON, now));
    assert!(quarantine.take_updates().len() <= 2 * 4096);
}

// Guards against equal fingerprints of different requests, by which one tenant could block another.
#[test]
fn fingerprint_takes_in_all_parts() {
    let of = Quarantine::fingerprint;
    let base = of("t", "GET", "/a", Some(3), b"abc");
    assert_eq!(base, of("t", "GET", "/a", Some(3), b"abc"));
    let others = [
        of("u", "GET", "/a", Some(3), b"abc"),
        of("tG", "ET", "/a", Some(3), b"abc"),
        of("t", "GET/", "a", Some(3), b"abc"),
        of("t", "GET", "/b", Some(3), b"abc"),
        of("t", "GET", "/a", Some(4), b"abc"),
        of("t", "GET", "/a", None, b"abc"),
        of("t", "GET", "/a", Some(3), b"abd"),
    ];
    assert!(others.iter().all(|it| *it != base));
    let long = [7; 1000];
    assert_eq!(of("t", "GET", "/a", None, &long), of("t", "GET", "/a", None, &long[..256]));
}

// Guards against a peer that blocks a request although it runs well there, and against a block
// that stays after running requests showed it to be wrong.
#[test]
fn succeeded_outweighs_losses() {
    let now = Instant::now();
    let (mut a, mut b) = (Quarantine::new(), Quarantine::new());
    (0..3).for_each(|_| b.record_success(INNOCENT, now));
    a.record_loss(INNOCENT, "i1", now);
    a.record_loss(INNOCENT, "i2", now);
    (0..2).for_each(|_| a.record_success(INNOCENT, now));
    assert!(is_blocked(&a, INNOCENT, now), "succeeded as often as it was lost");
    let first = a.take_updates();
    first.iter().for_each(|it| b.apply_update(it, now));
    assert!(!is_blocked(&b, INNOCENT, now));
    let mut c = Quarantine::new();
    first.iter().for_each(|it| c.apply_update(it, now));
    assert!(is_blocked(&c, INNOCENT, now));
    a.record_success(INNOCENT, now);
    a.take_updates().iter().for_each(|it| c.apply_update(it, now));
    assert!(!is_blocked(&a, INNOCENT, now) && !is_blocked(&c, INNOCENT, now));
}
