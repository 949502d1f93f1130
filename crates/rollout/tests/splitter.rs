//! Share of the new version on one host, and the stored form of a rollout.

use std::time::Duration;

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    MIN_DURATION_MS, Reason, Rollout, RolloutKey, Side, Stage, StartRequest, State,
    TrafficSplitter, roll_back, start,
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;

/// Returns a running rollout at a stage.
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

    /// Guards against a share that exceeds the stage by more than one request per route, also when
    /// the stage changes between requests.
    #[test]
    fn pick_stays_within_share(seed: u64, steps in prop::collection::vec((0usize..5, 0u32..3), 1..400)) {
        let mut splitter = TrafficSplitter::new(seed);
        let (mut sum_percent, mut new_counts) = ([0u32; 3], [0u32; 3]);
        for (version, (stage, route)) in steps.into_iter().enumerate() {
            let stage = Stage::ORDER[stage];
            splitter.update_rollout(Some(&running(stage)), version as u64);
            sum_percent[route as usize] += u32::from(stage.percent());
            let pick = splitter.pick(RouteId(route));
            new_counts[route as usize] += u32::from(pick.side == Side::New);
            prop_assert!(new_counts[route as usize] * 100 <= sum_percent[route as usize] + 99);
        }
        for counts in splitter.request_counts() {
            prop_assert_eq!(counts.new_requests, u64::from(new_counts[counts.route.0 as usize]));
        }
    }
}

/// Guards against many hosts with little traffic that all send their first request to the new
/// version.
#[test]
fn pick_phases_differ() {
    let first_is_new = |seed| {
        let mut splitter = TrafficSplitter::new(seed);
        splitter.update_rollout(Some(&running(Stage::Five)), 1);
        splitter.pick(RouteId(0)).side == Side::New
    };
    let new_count = (0..2_000).filter(|it| first_is_new(*it)).count();
    // The mean is 100, and four standard deviations are 39.
    assert!(
        (61..=139).contains(&new_count),
        "{new_count} of 2000 first requests went to the new version"
    );
}

/// Guards against a stopped host that resumes on a newer object of the same generation, or never
/// resumes.
#[test]
fn stop_lasts_for_generation() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Fifty);
    splitter.update_rollout(Some(&object), 1);
    let key = object.key();
    let other_generation = RolloutKey { generation: key.generation + 1, ..key };
    let other_start = RolloutKey { started_unix_ms: key.started_unix_ms + 1, ..key };
    assert!(!splitter.stop(other_generation, Reason::Unproven));
    assert!(!splitter.stop(other_start, Reason::Unproven));
    assert!(splitter.stop(key, Reason::Unproven));
    assert!(!splitter.stop(key, Reason::DeadlineOutOfReach));
    splitter.update_rollout(Some(&Rollout { stage: Stage::All, ..object.clone() }), 2);
    assert_eq!(splitter.share_percent(), 0);
    assert!((0..200).all(|_| splitter.pick(RouteId(0)).side == Side::Old));
    let next = Rollout { generation: object.generation + 1, ..object };
    splitter.update_rollout(Some(&next), 3);
    assert_eq!(splitter.share_percent(), 50);
}

/// Guards against a stop of a rollout that the platform lost in a restoration, which stops the next
/// one because that got the same generation.
#[test]
fn stop_ends_with_lost_rollout() {
    let mut splitter = TrafficSplitter::new(1);
    let lost = running(Stage::Fifty);
    splitter.update_rollout(Some(&lost), 1);
    assert!(splitter.stop(lost.key(), Reason::Unproven));
    let started_unix_ms = lost.started_unix_ms + 5_000;
    let next = Rollout { to: "v3".to_owned(), started_unix_ms, ..lost };
    splitter.update_rollout(Some(&next), 2);
    assert_eq!(splitter.share_percent(), 50);
}

/// Guards against a deadline that counts the time since the start of a rollout that the platform
/// lost in a restoration.
#[test]
fn deadline_ends_with_lost_rollout() {
    let mut splitter = TrafficSplitter::new(1);
    let lost = running(Stage::Fifty);
    splitter.update_rollout(Some(&lost), 1);
    let now = Instant::now();
    assert_eq!(splitter.check_deadline(now, lost.started_unix_ms), None);
    let passed_ms = lost.duration_ms - 20_000;
    let late = now + Duration::from_millis(passed_ms);
    let started_unix_ms = lost.started_unix_ms + passed_ms;
    splitter.update_rollout(Some(&Rollout { started_unix_ms, ..lost }), 2);
    assert_eq!(splitter.check_deadline(late, started_unix_ms), None);
    assert_eq!(splitter.share_percent(), 50);
}

/// Guards against a version that gets requests again after its rollback because the platform lost
/// the rollback in a restoration.
#[test]
fn rollback_outlasts_restoration() {
    let object = running(Stage::Fifty);
    let rolling_back = roll_back(&object, "errors seen", 1_010_000, 8).expect("rollout is running");
    let rolled_back = Rollout { state: State::RolledBack, ..rolling_back.clone() };
    for lost in [rolling_back, rolled_back] {
        let mut splitter = TrafficSplitter::new(1);
        splitter.update_rollout(Some(&lost), 5);
        assert!(splitter.update_rollout(Some(&object), 6));
        assert_eq!((splitter.share_percent(), splitter.stop_reason()), (0, lost.reason.as_ref()));
        let next = Rollout { started_unix_ms: object.started_unix_ms + 60_000, ..object.clone() };
        splitter.update_rollout(Some(&next), 7);
        assert_eq!((splitter.share_percent(), splitter.stop_reason()), (50, None));
    }
}

/// Guards against an older object that restores the share of a version that is being rolled back.
#[test]
fn update_rollout_ignores_older_object() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Fifty);
    let rolled_back = roll_back(&object, "errors seen", 1_010_000, 8).expect("rollout is running");
    assert!(splitter.update_rollout(Some(&rolled_back), 5));
    assert!(!splitter.update_rollout(Some(&object), 4));
    assert_eq!((splitter.share_percent(), splitter.document_version()), (0, 5));
}

/// Guards against a host that keeps sending requests to the new version past the deadline while the
/// platform is unreachable.
#[test]
fn check_deadline_stops_without_platform() {
    let mut splitter = TrafficSplitter::new(1);
    let object = running(Stage::Five);
    splitter.update_rollout(Some(&object), 1);
    let now = Instant::now();
    assert_eq!(splitter.check_deadline(now, object.started_unix_ms), None);
    // The Unix clock stands still, so only the monotonic clock shows the elapsed time.
    let late = now + Duration::from_millis(object.duration_ms - 20_000);
    assert_eq!(
        splitter.check_deadline(late, object.started_unix_ms),
        Some(Reason::DeadlineOutOfReach)
    );
    assert_eq!(splitter.share_percent(), 0);
    assert!(late < now + Duration::from_millis(object.duration_ms));
}

/// Guards against objects that older and newer programs cannot exchange.
#[test]
fn rollout_json_ignores_unknown_fields() {
    let mut object = running(Stage::TwentyFive);
    object.state = State::RollingBack;
    object.reason = Some(Reason::Operator { note: "errors seen".into() });
    let mut json = serde_json::to_value(&object).expect("serializable");
    assert_eq!((&json["stage_percent"], &json["state"]), (&25.into(), &"rolling-back".into()));
    json["a_later_field"] = 1.into();
    let decoded: Rollout = serde_json::from_value(json).expect("unknown fields are ignored");
    assert_eq!(decoded, object);
}
