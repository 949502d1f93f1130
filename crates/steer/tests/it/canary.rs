//! Rollouts of new versions.

use std::time::Duration;

use kingcupford_steer::{
    Canary, CanarySettings, Members, RolloutOrder, RolloutState, ServiceVersions, Side,
};
use tokio::time::{Instant, advance};

use crate::common::{address, heartbeat, instance, member, zone_map};

/// A rollout of 16 s, as deployments order them.
fn canary(now: Instant) -> Canary {
    let order = RolloutOrder {
        service: "svc".to_owned(),
        target_version: "v2".to_owned(),
        duration: Duration::from_secs(16),
    };
    Canary::new(order, CanarySettings { exposure_share: 0.1 }, Duration::ZERO, now)
}

/// What a played rollout came to.
struct Played {
    /// Requests of the new version.
    new: u64,
    /// All requests.
    all: u64,
    /// Bad responses of the new version.
    bad: u64,
    /// Requests of the new version after its 50th bad response.
    after_fifty: u64,
    /// The status that was written last, with the time since the order.
    state: Option<(RolloutState, Duration)>,
}

/// Plays a rollout with 600 requests per second; `is_bad` tells bad responses of the new version
/// from the time since the order and the request's number.
async fn play(is_bad: impl Fn(f64, u64) -> bool) -> Played {
    let start = Instant::now();
    let members = Members::default();
    let mut canary = canary(start);
    let mut res = Played { new: 0, all: 0, bad: 0, after_fifty: 0, state: None };
    for step in 0..1600u64 {
        advance(Duration::from_millis(10)).await;
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(start);
        for at in 0..6 {
            res.all += 1;
            let side = canary.pick_side(object(step * 6 + at), now);
            canary.record_sent(side);
            let bad = side == Side::New && is_bad(elapsed.as_secs_f64(), res.all);
            // Upstreams fail a few requests of every version.
            canary.record_response(side, bad || res.all.is_multiple_of(400), false);
            if side == Side::New {
                res.new += 1;
                res.after_fifty += u64::from(res.bad >= 50);
                res.bad += u64::from(bad);
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

/// A kind of bad version: its name, and which of its responses are bad.
type Case = (&'static str, fn(f64, u64) -> bool);

/// One of 150 objects.
fn object(request: u64) -> u64 {
    request.wrapping_mul(0x9e37_79b9_7f4a_7c15) % 150
}

/// Guards against a good version that is not complete by its deadline.
#[tokio::test(start_paused = true)]
async fn status_good() {
    let played = play(|_, _| false).await;
    let (state, elapsed) = played.state.unwrap();
    assert_eq!(state, RolloutState::Completed);
    assert!(elapsed < Duration::from_secs(15), "{elapsed:?}");
}

/// Guards against a bad version that gets more than a tenth of the requests, goes on after its
/// fault shows, or is completed.
#[tokio::test(start_paused = true)]
async fn status_bad() {
    let cases: [Case; 4] = [
        ("half of its requests", |_, at| at % 2 == 0),
        ("a third of its requests", |_, at| at % 3 == 0),
        ("late", |elapsed, at| elapsed > 3.0 && at % 2 == 0),
        ("while it gets most requests", |elapsed, at| elapsed > 8.0 && at % 2 == 0),
    ];
    for (name, is_bad) in cases {
        let played = play(is_bad).await;
        let state = played.state.unwrap().0;
        assert_eq!(state, RolloutState::RolledBack, "{name}");
        assert!(played.new <= played.all / 10 + 50, "{name}: {} of {}", played.new, played.all);
        assert_eq!(played.after_fifty, 0, "{name}");
    }
}

/// Guards against a host that goes on with a version that another one found faulty.
#[tokio::test(start_paused = true)]
async fn evaluate_peer_fault() {
    let now = Instant::now();
    let mut canary = canary(now);
    let mut members = Members::default();
    members.register(member("peer", "a1", 1100), zone_map().own_locality(), Instant::now());
    let mut heartbeat = heartbeat("peer", 1);
    let mut tally = canary.tally();
    tally.faulty = true;
    heartbeat.rollout_tallies = vec![tally];
    members.receive(heartbeat, address(1100), now);
    assert!(canary.evaluate(&members, now));
    assert_eq!(canary.new_version_share(now), 0.0);
}

/// Guards against a final state that is taken back.
#[tokio::test(start_paused = true)]
async fn set_state_final() {
    let now = Instant::now();
    let mut canary = canary(now);
    canary.set_state(RolloutState::RolledBack);
    canary.set_state(RolloutState::Running);
    assert_eq!(canary.state(), Some(RolloutState::RolledBack));
    assert_eq!(canary.new_version_share(now), 0.0);
}

/// Guards against requests to a version before its order, after its rollback, or to the old one
/// after completion.
#[tokio::test(start_paused = true)]
async fn allows_by_state() {
    let now = Instant::now();
    let mut set = kingcupford_steer::InstanceRegistry::default();
    set.register(instance("old", "a1"), now);
    let mut versions = ServiceVersions::default();
    versions.update_active_versions(&set);
    let mut new = instance("new", "a1");
    new.version = "v2".to_owned();
    set.register(new, now);
    versions.update_active_versions(&set);
    let old = set.get(set.key("old").unwrap()).unwrap();
    let new = set.get(set.key("new").unwrap()).unwrap();
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
