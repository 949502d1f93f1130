//! Rollouts of new versions.

use std::time::Duration;

use kingcupford_rollout::VersionSample;
use kingcupford_steer::{
    Canary, CanarySettings, Members, RolloutOrder, RolloutState, ServiceVersions, Side, name_hash,
};
use tokio::time::{Instant, advance};

use crate::common::{address, heartbeat, instance, member, zone_map};

/// Rollout of 16 s, as deployments order them.
fn canary(now: Instant) -> Canary {
    let order = RolloutOrder {
        service: "svc".to_owned(),
        target_version: "v2".to_owned(),
        duration: Duration::from_secs(16),
    };
    Canary::new(order, CanarySettings { exposure_share: 0.1 }, Duration::ZERO, now)
}

/// Result of a simulated rollout.
struct SimulatedRollout {
    /// Requests sent to the new version.
    new_requests: u64,
    all_requests: u64,
    /// Bad responses of the new version.
    bad_responses: u64,
    /// Requests sent to the new version after its 50th bad response.
    new_after_50_bad: u64,
    /// Status that was written last, with the time since the order.
    state: Option<(RolloutState, Duration)>,
}

/// Simulates a rollout with 600 requests per second. `is_bad` decides whether a response of the new
/// version is bad, given the seconds since the order and the number of the request.
async fn simulate_rollout(is_bad: impl Fn(f64, u64) -> bool) -> SimulatedRollout {
    let start = Instant::now();
    let members = Members::default();
    let mut canary = canary(start);
    let mut res = SimulatedRollout {
        new_requests: 0,
        all_requests: 0,
        bad_responses: 0,
        new_after_50_bad: 0,
        state: None,
    };
    for step in 0..1600u64 {
        advance(Duration::from_millis(10)).await;
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(start);
        for at in 0..6 {
            res.all_requests += 1;
            let side = canary.pick_side(affinity_hash(step * 6 + at), now);
            canary.record_sent(side);
            let is_bad_response =
                side == Side::New && is_bad(elapsed.as_secs_f64(), res.all_requests);
            // Instances of every version fail a few requests.
            let failed = is_bad_response || res.all_requests.is_multiple_of(400);
            let latency = Duration::from_millis(100);
            let sample = if failed {
                VersionSample::Failed
            } else {
                VersionSample::Answered { latency, is_cached: true }
            };
            canary.record_sample(side, name_hash("r"), sample);
            if side == Side::New {
                res.new_requests += 1;
                res.new_after_50_bad += u64::from(res.bad_responses >= 50);
                res.bad_responses += u64::from(is_bad_response);
            }
        }
        if step % 10 == 0 {
            canary.evaluate(&members, now);
            if let Some(write) = canary.due_status_write(0, now) {
                canary.set_state(write.state);
                res.state = Some((write.state, elapsed));
            }
        }
    }
    res
}

/// Name of a fault and the responses of the new version that are bad.
type BadVersion = (&'static str, fn(f64, u64) -> bool);

/// Affinity hash of a request: one of 150 values.
fn affinity_hash(request: u64) -> u64 {
    request.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 150
}

/// Guards against a good version that is not complete by its deadline.
#[tokio::test(start_paused = true)]
async fn good_version_completes() {
    let simulated = simulate_rollout(|_, _| false).await;
    let (state, elapsed) = simulated.state.unwrap();
    assert_eq!(state, RolloutState::Completed);
    assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
}

/// Guards against a bad version that receives more than a tenth of the requests, stays in use after
/// its fault shows, or is completed.
#[tokio::test(start_paused = true)]
async fn bad_version_rolls_back() {
    let cases: [BadVersion; 4] = [
        ("half of its requests", |_, at| at % 2 == 0),
        ("a third of its requests", |_, at| at % 3 == 0),
        ("late", |elapsed, at| elapsed > 3.0 && at % 2 == 0),
        ("while it gets most requests", |elapsed, at| elapsed > 8.0 && at % 2 == 0),
    ];
    for (name, is_bad) in cases {
        let simulated = simulate_rollout(is_bad).await;
        let state = simulated.state.unwrap().0;
        assert_eq!(state, RolloutState::RolledBack, "{name}");
        assert!(
            simulated.new_requests <= simulated.all_requests / 10 + 50,
            "{name}: {} of {}",
            simulated.new_requests,
            simulated.all_requests
        );
        assert_eq!(simulated.new_after_50_bad, 0, "{name}");
    }
}

/// Guards against a host that keeps a version in use that another host found faulty.
#[tokio::test(start_paused = true)]
async fn evaluate_peer_fault() {
    let now = Instant::now();
    let mut canary = canary(now);
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), zone_map().own_locality(), Instant::now());
    let mut heartbeat = heartbeat("peer", 1);
    heartbeat.rollout_tallies = canary.tallies();
    heartbeat.rollout_tallies[0].faulty = true;
    members.receive(heartbeat, address(1100), now);
    assert!(canary.evaluate(&members, now));
    assert_eq!(canary.new_version_share(now), 0.0);
}

/// Guards against a completed version that is reported as faulty, when there is no old version left
/// to compare it with.
#[tokio::test(start_paused = true)]
async fn evaluate_completed() {
    let now = Instant::now();
    let mut canary = canary(now);
    canary.set_state(RolloutState::Completed);
    for _ in 0..100 {
        canary.record_sample(Side::New, name_hash("r"), VersionSample::Failed);
    }
    assert!(!canary.evaluate(&Members::default(), now));
    assert_eq!(canary.fault(), None);
    assert!(canary.tallies().is_empty());
}

/// Guards against a final state that changes again.
#[tokio::test(start_paused = true)]
async fn set_state_final() {
    let now = Instant::now();
    let mut canary = canary(now);
    canary.set_state(RolloutState::RolledBack);
    canary.set_state(RolloutState::Running);
    assert_eq!(canary.state(), Some(RolloutState::RolledBack));
    assert_eq!(canary.new_version_share(now), 0.0);
}

/// Guards against requests to a new version before its order or after its rollback, and to the old
/// version after completion.
#[tokio::test(start_paused = true)]
async fn allows_by_state() {
    let now = Instant::now();
    let mut registry = kingcupford_steer::InstanceRegistry::default();
    registry.register(instance("old", "a1"), now);
    let mut versions = ServiceVersions::default();
    versions.update_active_versions(&registry);
    let mut new = instance("new", "a1");
    new.version = "v2".to_owned();
    registry.register(new, now);
    versions.update_active_versions(&registry);
    let old = registry.get(registry.key("old").unwrap()).unwrap();
    let new = registry.get(registry.key("new").unwrap()).unwrap();
    assert!(versions.allows(old, Side::Old));
    assert!(!versions.allows(new, Side::Old));
    versions.insert_rollout(canary(now));
    assert!(versions.allows(new, Side::New));
    assert!(!versions.allows(new, Side::Old));
    versions.rollout_mut("svc").unwrap().set_state(RolloutState::Completed);
    assert!(versions.allows(new, Side::Old));
    assert!(!versions.allows(old, Side::Old));
    let mut rolled_back = canary(now);
    rolled_back.set_state(RolloutState::RolledBack);
    versions.insert_rollout(rolled_back);
    assert!(!versions.allows(new, Side::New));
    assert!(versions.allows(old, Side::Old));
}

/// Guards against a final state that is lost when the platform is restored from a copy, and against
/// a rollout that goes on by the older state of the copy.
#[tokio::test(start_paused = true)]
async fn set_state_restored() {
    for copied in [Some(RolloutState::Running), None] {
        let now = Instant::now();
        let mut canary = canary(now);
        canary.set_state(RolloutState::Running);
        canary.set_state(RolloutState::Completed);
        assert_eq!(canary.due_status_write(0, now), None);
        match copied {
            Some(it) => canary.set_state(it),
            None => canary.clear_stored_state(),
        }
        assert_eq!(canary.state(), Some(RolloutState::Completed));
        let write = canary.due_status_write(0, now).unwrap();
        assert_eq!(write.state, RolloutState::Completed);
        canary.set_state(RolloutState::Completed);
        advance(Duration::from_secs(10)).await;
        assert_eq!(canary.due_status_write(0, Instant::now()), None);
    }
}

/// Guards against hosts that overwrite each other's final states for ever, because the one that only
/// some of them knew was lost in a restoration and the other one was written since.
#[tokio::test(start_paused = true)]
async fn set_state_other_final_state() {
    let now = Instant::now();
    let mut canary = canary(now);
    canary.set_state(RolloutState::Completed);
    canary.set_state(RolloutState::RolledBack);
    assert_eq!(canary.due_status_write(0, now), None);
    assert_eq!(canary.state(), Some(RolloutState::RolledBack));
    assert_eq!(canary.new_version_share(now), 0.0);
}

/// Guards against a new order that is ignored since it was written between a restoration of the
/// platform and its first list, and against a replaced or removed one that begins again.
#[tokio::test(start_paused = true)]
async fn is_superseded_restored() {
    let now = Instant::now();
    let first = canary(now).order().clone();
    let second = RolloutOrder { target_version: "v3".to_owned(), ..first.clone() };
    let third = RolloutOrder { target_version: "v4".to_owned(), ..first.clone() };
    let mut versions = ServiceVersions::default();
    for order in [&first, &second] {
        assert!(!versions.is_superseded(order));
        let canary =
            Canary::new(order.clone(), CanarySettings { exposure_share: 0.1 }, Duration::ZERO, now);
        versions.insert_rollout(canary);
    }
    assert!(versions.is_superseded(&first));
    assert!(!versions.is_superseded(&second));
    assert!(!versions.is_superseded(&third));
    versions.remove_rollout("svc");
    assert!(versions.is_superseded(&second));
    versions.insert_rollout(canary(now));
    assert!(!versions.is_superseded(&first));
}
