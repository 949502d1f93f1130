//! Shares of the new version on one host.

use std::time::Duration;

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    MIN_DURATION_MS, Reason, Rollout, Side, Stage, StartRequest, State, TrafficSplitter, roll_back,
    start,
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;

/// A running rollout at a stage.
fn running(stage: Stage) -> Rollout {
    let request = StartRequest {
        service: "ledger-view".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: 1_000_000,
        deadline_unix_ms: 1_000_000 + MIN_DURATION_MS,
        write_id: 7,
    };
    Rollout { stage, ..start(None, &request).expect("valid request") }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::with_cases(300) })]

    /// Guards against a share that exceeds the stage by more than one request per route, also
    /// when stages change between any two requests.
    #[test]
    fn pick_stays_within_share(seed: u64, steps in prop::collection::vec((0usize..5, 0u32..3), 1..400)) {
        let mut splitter = TrafficSplitter::new(seed);
        let (mut due, mut got) = ([0u32; 3], [0u32; 3]);
        for (version, (stage, route)) in steps.into_iter().enumerate() {
            let stage = Stage::ORDER[stage];
            splitter.update_rollout(Some(&running(stage)), version as u64);
            due[route as usize] += u32::from(stage.percent());
            let pick = splitter.pick(RouteId(route));
            got[route as usize] += u32::from(pick.side == Side::New);
            prop_assert!(got[route as usize] * 100 <= due[route as usize] + 99);
        }
        for it in splitter.request_counts() {
            prop_assert_eq!(it.new_requests, u64::from(got[it.route.0 as usize]));
        }
    }
}

/// Guards against many small hosts that all send their first request to the new version.
#[test]
fn pick_phases_differ() {
    let first = |seed| {
        let mut splitter = TrafficSplitter::new(seed);
        splitter.update_rollout(Some(&running(Stage::Five)), 1);
        splitter.pick(RouteId(0)).side == Side::New
    };
    let sent = (0..2_000).filter(|it| first(*it)).count();
    // The mean is 100 and four standard deviations are 39.
    assert!((61..=139).contains(&sent), "{sent} of 2000 first requests went to the new version");
}

/// Guards against a stopped host that resumes on a newer object of the same generation, and one
/// that never resumes.
#[test]
fn stop_lasts_for_generation() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Fifty);
    splitter.update_rollout(Some(&object), 1);
    assert!(!splitter.stop(object.generation + 1, Reason::Unproven));
    assert!(splitter.stop(object.generation, Reason::Unproven));
    assert!(!splitter.stop(object.generation, Reason::DeadlineOutOfReach));
    splitter.update_rollout(Some(&Rollout { stage: Stage::All, ..object.clone() }), 2);
    assert_eq!(splitter.share_percent(), 0);
    assert!((0..200).all(|_| splitter.pick(RouteId(0)).side == Side::Old));
    let next = Rollout { generation: object.generation + 1, ..object };
    splitter.update_rollout(Some(&next), 3);
    assert_eq!(splitter.share_percent(), 50);
}

/// Guards against an older object that revives a rolled back version.
#[test]
fn install_ignores_older_object() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Fifty);
    let back = roll_back(&object, "errors seen", 1_010_000, 8).expect("it runs");
    assert!(splitter.update_rollout(Some(&back), 5));
    assert!(!splitter.update_rollout(Some(&object), 4));
    assert_eq!((splitter.share_percent(), splitter.document_version()), (0, 5));
}

/// Guards against a host that keeps a share past the deadline while the platform is away.
#[test]
fn tick_stops_without_platform() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Five);
    splitter.update_rollout(Some(&object), 1);
    let now = Instant::now();
    assert_eq!(splitter.check_deadline(now, object.started_unix_ms), None);
    // The Unix clock stands still, so only monotonic time tells.
    let late = now + Duration::from_millis(object.duration_ms - 20_000);
    assert_eq!(
        splitter.check_deadline(late, object.started_unix_ms),
        Some(Reason::DeadlineOutOfReach)
    );
    assert_eq!(splitter.share_percent(), 0);
    assert!(late < now + Duration::from_millis(object.duration_ms));
}

/// Guards against an object that older and newer programs cannot exchange.
#[test]
fn rollout_json_ignores_unknown_fields() {
    let mut object = running(Stage::TwentyFive);
    object.state = State::RollingBack;
    object.reason = Some(Reason::Operator { note: "errors seen".into() });
    let mut json = serde_json::to_value(&object).expect("serializable");
    assert_eq!((&json["stage_percent"], &json["state"]), (&25.into(), &"rolling-back".into()));
    json["a_later_field"] = 1.into();
    let back: Rollout = serde_json::from_value(json).expect("unknown fields are ignored");
    assert_eq!(back, object);
}
