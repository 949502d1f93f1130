//! The fault test on evidence that is given directly.

use std::time::Duration;

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    Evidence, FalseAlarmBudget, FaultDetector, FaultKind, RequestOutcome, Rollout, Side,
    StartRequest, Verdict, VersionPick, start,
};
use rand::{SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use tokio::time::Instant;

/// A running rollout.
fn running() -> Rollout {
    let request = StartRequest {
        service: "bestellung".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: 0,
        deadline_unix_ms: 600_000,
        write_id: 1,
    };
    start(None, &request).expect("valid request")
}

/// The test of one host among eight.
fn test(host: &str, incarnation: u64, now: Instant) -> FaultDetector {
    let mut res = FaultDetector::new(host, incarnation, FalseAlarmBudget { hosts: 8 });
    res.set_routes([(RouteId(0), "/order"), (RouteId(1), "/stock")].into_iter());
    res.update_rollout(Some(&running()), now);
    res
}

/// Counts `old` good requests of the old version and `new` failures of the new one at 1%.
fn feed(test: &mut FaultDetector, route: u32, old: u32, new: u32, now: Instant) {
    let old = (0..old).map(|_| (Side::Old, RequestOutcome::Success));
    let new = (0..new).map(|_| (Side::New, RequestOutcome::Failure));
    for (side, outcome) in old.chain(new) {
        let pick = VersionPick { side, share_percent: 1, generation: 1 };
        test.observe(RouteId(route), pick, outcome, Duration::from_millis(20), now);
    }
}

/// Whether the verdict is a fault.
fn is_faulty(test: &FaultDetector, now: Instant) -> bool {
    matches!(test.verdict(now), Some(Verdict::Faulty { .. }))
}

/// Guards against thin traffic on eight hosts that never adds up to a verdict.
#[test]
fn merge_adds_up_thin_traffic() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    for host in 1..9 {
        let mut peer = test(&format!("host-{host}"), 1, now);
        feed(&mut peer, 0, 99, 1, now);
        assert!(!is_faulty(&peer, now), "one failure is no evidence");
        own.merge(&peer.evidence().expect("evidence"), now);
        assert!(host > 3 || !is_faulty(&own, now), "three failures are no evidence");
    }
    let wanted = Verdict::Faulty { route: "/order".into(), fault: FaultKind::Failures };
    assert_eq!(own.verdict(now), Some(wanted));
}

/// Guards against evidence that counts twice when messages are repeated or reordered.
#[test]
fn merge_tolerates_duplicates_and_reordering() {
    let now = Instant::now();
    let mut peer = test("host-1", 1, now);
    let mut messages = Vec::new();
    for _ in 0..3 {
        feed(&mut peer, 0, 99, 1, now);
        messages.push(peer.evidence().expect("evidence"));
    }
    let last = messages[2].clone();
    messages = messages.into_iter().cycle().take(300).collect();
    messages.shuffle(&mut SmallRng::seed_from_u64(1));
    let mut own = test("host-0", 1, now);
    for it in &messages {
        own.merge(it, now);
    }
    assert!(!is_faulty(&own, now), "three failures are no evidence");
    let exposure = own.assessment(now).expect("a rollout runs").exposure;
    assert_eq!((exposure.len(), exposure[0].new_requests, exposure[0].old_requests), (1, 3, 297));
    assert!(!own.merge(&last, now));
}

/// Guards against a restarted peer whose counters begin at zero and hide its new evidence, and
/// against a late message of its former process.
#[test]
fn merge_counts_restarted_peer() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    let mut before = test("host-1", 1, now);
    feed(&mut before, 0, 198, 2, now);
    let mut after = test("host-1", 2, now);
    feed(&mut after, 0, 99, 1, now);
    assert!(own.merge(&before.evidence().expect("evidence"), now));
    assert!(own.merge(&after.evidence().expect("evidence"), now));
    feed(&mut before, 0, 0, 50, now);
    assert!(!own.merge(&before.evidence().expect("evidence"), now));
    let exposure = own.assessment(now).expect("a rollout runs").exposure;
    assert_eq!((exposure[0].new_requests, exposure[0].old_requests), (3, 297));
}

/// Guards against evidence of an earlier generation that stops the present one.
#[test]
fn merge_ignores_other_generation() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    let mut peer = test("host-1", 1, now);
    feed(&mut peer, 0, 990, 50, now);
    let evidence = peer.evidence().expect("evidence");
    assert!(!own.merge(&Evidence { generation: 2, ..evidence.clone() }, now));
    assert!(!own.merge(&Evidence { service: "akten".into(), ..evidence }, now));
    assert!(!is_faulty(&own, now));
}

/// Guards against evidence that a peer cannot decode.
#[test]
fn evidence_round_trip() {
    let now = Instant::now();
    let mut peer = test("host-1", 1, now);
    feed(&mut peer, 0, 10, 1, now);
    let evidence = peer.evidence().expect("evidence");
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(&evidence, config).expect("encodable");
    let (back, _): (Evidence, _) = bincode::decode_from_slice(&bytes, config).expect("decodable");
    assert_eq!(back, evidence);
}

/// Guards against a rollback because a dependency makes both versions fail.
#[test]
fn verdict_both_fail() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    for at in 0..20_000u64 {
        let side = if at % 100 == 99 { Side::New } else { Side::Old };
        let pick = VersionPick { side, share_percent: 1, generation: 1 };
        let now = now + Duration::from_millis(10 * at);
        own.observe(RouteId(0), pick, RequestOutcome::Failure, Duration::from_millis(20), now);
        assert!(!is_faulty(&own, now), "after {at} requests");
    }
}

/// Guards against a healthy hour that hides a fault which comes afterwards.
#[test]
fn verdict_late_fault() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    let mut new = 0;
    for at in 0..60_000u64 {
        let now = now + Duration::from_millis(10 * at);
        let is_new = at % 100 == 99;
        let pick = VersionPick {
            side: if is_new { Side::New } else { Side::Old },
            share_percent: 1,
            generation: 1,
        };
        let is_bad = at % 331 == 0 || is_new && at > 50_000;
        let outcome = if is_bad { RequestOutcome::Failure } else { RequestOutcome::Success };
        own.observe(RouteId(0), pick, outcome, Duration::from_millis(20), now);
        new += u32::from(is_new && at > 50_000);
        if is_faulty(&own, now) {
            assert!((3..=12).contains(&new), "stopped after {new} failures");
            return;
        }
    }
    panic!("the fault was not found");
}

/// Guards against a slow test that calls a version faulty which is slower by a tenth.
#[test]
fn verdict_slightly_slower() {
    let now = Instant::now();
    let mut own = test("host-0", 1, now);
    for at in 0..50_000u64 {
        let now = now + Duration::from_millis(10 * at);
        let is_new = at % 100 == 99;
        let side = if is_new { Side::New } else { Side::Old };
        let pick = VersionPick { side, share_percent: 1, generation: 1 };
        // A spread from 10 ms to 30 ms in an order that both versions see alike.
        let latency_us = (10_000 + at * 7_919 % 20_000) * if is_new { 11 } else { 10 } / 10;
        let latency = Duration::from_micros(latency_us);
        own.observe(RouteId(0), pick, RequestOutcome::Success, latency, now);
    }
    assert!(!is_faulty(&own, now + Duration::from_secs(500)));
}
