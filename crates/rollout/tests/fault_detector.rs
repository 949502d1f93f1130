//! Fault detector on directly provided evidence.

use std::time::Duration;

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    Evidence, FalseAlarmBudget, FaultDetector, FaultKind, RequestOutcome, Rollout, RolloutKey,
    Side, StartRequest, Verdict, VersionPick, start,
};
use rand::{SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use tokio::time::Instant;

/// Returns a running rollout.
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

/// Returns the detector of one host among eight.
fn detector(host: &str, incarnation: u64, now: Instant) -> FaultDetector {
    let mut detector = FaultDetector::new(host, incarnation, FalseAlarmBudget { hosts: 8 });
    detector.set_routes([(RouteId(0), "/order"), (RouteId(1), "/stock")].into_iter());
    detector.update_rollout(Some(&running()), now);
    detector
}

/// Records `old` successful requests to the old version and `new` failed requests to the new one at
/// a share of 1%.
fn observe_requests(detector: &mut FaultDetector, route: u32, old: u32, new: u32, now: Instant) {
    let old = (0..old).map(|_| (Side::Old, RequestOutcome::Success));
    let new = (0..new).map(|_| (Side::New, RequestOutcome::Failure));
    for (side, outcome) in old.chain(new) {
        let pick = VersionPick { side, share_percent: 1, rollout: Some(running().key()) };
        detector.observe(RouteId(route), pick, outcome, Duration::from_millis(20), now);
    }
}

fn is_faulty(detector: &FaultDetector, now: Instant) -> bool {
    matches!(detector.verdict(now), Some(Verdict::Faulty { .. }))
}

/// Guards against thin traffic on eight hosts that is never combined into a verdict.
#[test]
fn merge_adds_up_thin_traffic() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    for host in 1..9 {
        let mut peer = detector(&format!("host-{host}"), 1, now);
        observe_requests(&mut peer, 0, 99, 1, now);
        assert!(!is_faulty(&peer, now), "one failure is no evidence");
        own.merge(&peer.evidence().expect("requests were counted"), now);
        assert!(host > 3 || !is_faulty(&own, now), "three failures are no evidence");
    }
    let expected = Verdict::Faulty { route: "/order".into(), fault: FaultKind::Failures };
    assert_eq!(own.verdict(now), Some(expected));
}

/// Guards against evidence that is counted twice when messages are repeated or reordered.
#[test]
fn merge_tolerates_duplicates_and_reordering() {
    let now = Instant::now();
    let mut peer = detector("host-1", 1, now);
    let mut messages = Vec::new();
    for _ in 0..3 {
        observe_requests(&mut peer, 0, 99, 1, now);
        messages.push(peer.evidence().expect("requests were counted"));
    }
    let last = messages[2].clone();
    messages = messages.into_iter().cycle().take(300).collect();
    messages.shuffle(&mut SmallRng::seed_from_u64(1));
    let mut own = detector("host-0", 1, now);
    for it in &messages {
        own.merge(it, now);
    }
    assert!(!is_faulty(&own, now), "three failures are no evidence");
    let exposure = own.assessment(now).expect("a rollout is running").exposure;
    assert_eq!((exposure.len(), exposure[0].new_requests, exposure[0].old_requests), (1, 3, 297));
    assert!(!own.merge(&last, now));
}

/// Guards against a restarted peer whose counters start at zero, so that its new evidence is
/// missed, and against a late message of its former process.
#[test]
fn merge_counts_restarted_peer() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    let mut former = detector("host-1", 1, now);
    observe_requests(&mut former, 0, 198, 2, now);
    let mut restarted = detector("host-1", 2, now);
    observe_requests(&mut restarted, 0, 99, 1, now);
    assert!(own.merge(&former.evidence().expect("requests were counted"), now));
    assert!(own.merge(&restarted.evidence().expect("requests were counted"), now));
    observe_requests(&mut former, 0, 0, 50, now);
    assert!(!own.merge(&former.evidence().expect("requests were counted"), now));
    let exposure = own.assessment(now).expect("a rollout is running").exposure;
    assert_eq!((exposure[0].new_requests, exposure[0].old_requests), (3, 297));
}

/// Guards against evidence of another generation or service that stops the current rollout.
#[test]
fn merge_ignores_other_generation() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    let mut peer = detector("host-1", 1, now);
    observe_requests(&mut peer, 0, 990, 50, now);
    let evidence = peer.evidence().expect("requests were counted");
    let rollout = RolloutKey { generation: 2, ..evidence.rollout };
    assert!(!own.merge(&Evidence { rollout, ..evidence.clone() }, now));
    assert!(!own.merge(&Evidence { service: "akten".into(), ..evidence }, now));
    assert!(!is_faulty(&own, now));
}

/// Guards against a fault of a rollout that the platform lost in a restoration, which stops the
/// next one because that got the same generation.
#[test]
fn fault_ends_with_lost_rollout() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    let mut peer = detector("host-1", 1, now);
    observe_requests(&mut own, 0, 990, 50, now);
    observe_requests(&mut peer, 0, 990, 50, now);
    assert!(is_faulty(&own, now));
    let lost = running();
    let started_unix_ms = lost.started_unix_ms + 5_000;
    own.update_rollout(Some(&Rollout { started_unix_ms, ..lost }), now);
    assert!(!is_faulty(&own, now));
    assert!(!own.merge(&peer.evidence().expect("requests were counted"), now));
    assert!(!is_faulty(&own, now));
}

/// Guards against evidence that a peer cannot decode.
#[test]
fn evidence_round_trip() {
    let now = Instant::now();
    let mut peer = detector("host-1", 1, now);
    observe_requests(&mut peer, 0, 10, 1, now);
    let evidence = peer.evidence().expect("requests were counted");
    let config = bincode::config::standard();
    let bytes = bincode::encode_to_vec(&evidence, config).expect("encodable");
    let (decoded, _): (Evidence, _) =
        bincode::decode_from_slice(&bytes, config).expect("decodable");
    assert_eq!(decoded, evidence);
}

/// Guards against a rollback because a dependency makes both versions fail.
#[test]
fn verdict_ignores_shared_failures() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    for index in 0..20_000u64 {
        let side = if index % 100 == 99 { Side::New } else { Side::Old };
        let pick = VersionPick { side, share_percent: 1, rollout: Some(running().key()) };
        let now = now + Duration::from_millis(10 * index);
        own.observe(RouteId(0), pick, RequestOutcome::Failure, Duration::from_millis(20), now);
        assert!(!is_faulty(&own, now), "after {index} requests");
    }
}

/// Guards against a long healthy period that hides a later fault.
#[test]
fn verdict_late_fault() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    let mut new_failures = 0;
    for index in 0..60_000u64 {
        let now = now + Duration::from_millis(10 * index);
        let is_new = index % 100 == 99;
        let pick = VersionPick {
            side: if is_new { Side::New } else { Side::Old },
            share_percent: 1,
            rollout: Some(running().key()),
        };
        let is_failure = index % 331 == 0 || is_new && index > 50_000;
        let outcome = if is_failure { RequestOutcome::Failure } else { RequestOutcome::Success };
        own.observe(RouteId(0), pick, outcome, Duration::from_millis(20), now);
        new_failures += u32::from(is_new && index > 50_000);
        if is_faulty(&own, now) {
            assert!((3..=12).contains(&new_failures), "stopped after {new_failures} failures");
            return;
        }
    }
    panic!("the fault was not found");
}

/// Guards against a version that is considered faulty because it is slower by a tenth.
#[test]
fn verdict_slightly_slower() {
    let now = Instant::now();
    let mut own = detector("host-0", 1, now);
    for index in 0..50_000u64 {
        let now = now + Duration::from_millis(10 * index);
        let is_new = index % 100 == 99;
        let side = if is_new { Side::New } else { Side::Old };
        let pick = VersionPick { side, share_percent: 1, rollout: Some(running().key()) };
        // Latencies between 10 ms and 30 ms, in an order that does not depend on the version.
        let latency_us = (10_000 + index * 7_919 % 20_000) * if is_new { 11 } else { 10 } / 10;
        let latency = Duration::from_micros(latency_us);
        own.observe(RouteId(0), pick, RequestOutcome::Success, latency, now);
    }
    assert!(!is_faulty(&own, now + Duration::from_secs(500)));
}
