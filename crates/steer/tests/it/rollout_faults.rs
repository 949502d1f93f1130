//! Rollouts of versions that are slow or fail, with the caches, queues and timeouts of a deployment.

use std::{collections::BinaryHeap, time::Duration};

use kingcupford_steer::{
    Canary, ExchangeOutcome, ExchangeReport, InstanceKey, LoadReport, Manifest, RequestHead,
    RequestPlan, RolloutOrder, RolloutState, Route, Selection, Side, Steering, SteeringEvent,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::common::{instance, limits, route, service, settings, team};

/// Mean time that an instance works on a request for an uncached key.
const WORK_MS: f64 = 880.0;

/// Fraction of the work that remains for a cached key.
const CACHED_FRACTION: f64 = 0.3;

/// Standard deviation of the logarithm of the work.
const SPREAD: f64 = 0.15;

/// Affinity keys in use.
const KEY_COUNT: u64 = 40;

const SLOTS: u32 = 3;

const OLD_INSTANCES: usize = 16;

const NEW_INSTANCES: usize = 16;

const ROUTE_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time before the order, in which the old instances fill their caches.
const WARM_UP_MS: u64 = 4000;

const DURATION_MS: u64 = 16_000;

/// How the new version differs from the old one.
#[derive(Debug, Clone, Copy)]
struct NewVersion {
    /// Factor on the work of the affected requests.
    slow_factor: f64,
    /// Fraction of the requests that are affected.
    affected: f64,
    /// Time after the order from which requests are affected.
    affected_from_ms: u64,
    /// Path that is affected; empty for all.
    path: &'static str,
    /// Fraction of the requests that fail.
    failing: f64,
    spread: f64,
}

const GOOD: NewVersion = NewVersion {
    slow_factor: 1.0,
    affected: 1.0,
    affected_from_ms: 0,
    path: "",
    failing: 0.0,
    spread: SPREAD,
};

/// What became of a rollout.
#[derive(Debug)]
struct Outcome {
    state: Option<RolloutState>,
    /// Time of the final status after the order.
    ended_after_ms: u64,
    /// Requests that ran at the new version, and all requests of the service, up to the deadline.
    new_requests: usize,
    all_requests: usize,
}

/// A request at an instance; the first to end is the greatest.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends_at_ms: std::cmp::Reverse<u64>,
    index: usize,
}

/// Plays a rollout on a host with `per_s` requests per second whose routes have a target latency of
/// `target_ms`.
fn play(new_version: NewVersion, per_s: f64, target_ms: u64, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut steering = steering(target_ms, start);
    for at in 0..OLD_INSTANCES {
        let mut it = instance(&format!("old-{at}"), if at % 2 == 0 { "a1" } else { "a2" });
        it.slots = SLOTS;
        steering.instances.register(it, start);
    }
    let mut cached: Vec<(InstanceKey, u64)> = Vec::new();
    let mut busy: Vec<(InstanceKey, Vec<u64>)> = Vec::new();
    let mut requests: Vec<(RequestPlan, InstanceKey, u64, ExchangeReport)> = Vec::new();
    let mut running: BinaryHeap<Running> = BinaryHeap::new();
    let mut pending = 0.0;
    let mut res = Outcome { state: None, ended_after_ms: 0, new_requests: 0, all_requests: 0 };
    for ms in (0..WARM_UP_MS + DURATION_MS).step_by(10) {
        let now = start + Duration::from_millis(ms);
        steering.freshness.confirm(now);
        if ms == WARM_UP_MS {
            begin_rollout(&mut steering, now);
        }
        while running.peek().is_some_and(|it| it.ends_at_ms.0 <= ms) {
            let Some(ended) = running.pop() else { break };
            let (plan, key, _, report) = &requests[ended.index];
            steering.record_ended(plan, *key, report, now);
        }
        if ms % 100 == 0 {
            for event in steering.tick(now) {
                if let SteeringEvent::WriteStatus { service, state, .. } = event {
                    steering.versions.rollout_mut(&service).unwrap().set_state(state);
                    res.state = Some(state);
                    res.ended_after_ms = ms - WARM_UP_MS;
                }
            }
        }
        pending += per_s / 100.0;
        while pending >= 1.0 {
            pending -= 1.0;
            let affinity_key = rng.random_range(0..KEY_COUNT).to_string();
            // Every sixth request takes the second route.
            let path = if rng.random_range(0..6) == 0 { "/q/1" } else { "/p/1" };
            let head = RequestHead {
                host: "host.example",
                method: "GET",
                path,
                key: Some(b"key-two"),
                affinity_key: Some(affinity_key.as_bytes()),
                content_length: None,
            };
            let mut plan = steering.admit(&head, now).unwrap();
            let Selection::Instance { key, .. } = steering.select_instance(&mut plan, &[], now)
            else {
                continue;
            };
            steering.record_sent(&plan, key, now);
            let is_new = plan.side == Side::New;
            if ms >= WARM_UP_MS {
                res.all_requests += 1;
                res.new_requests += usize::from(is_new);
            }
            let is_affected = is_new
                && ms >= WARM_UP_MS + new_version.affected_from_ms
                && path.starts_with(new_version.path)
                && rng.random::<f64>() < new_version.affected;
            let spread = if is_new { new_version.spread } else { SPREAD };
            let mut work_ms = WORK_MS * log_normal(&mut rng, spread);
            let pair = (key, plan.affinity_hash);
            if cached.contains(&pair) {
                work_ms *= CACHED_FRACTION;
            } else {
                cached.push(pair);
            }
            if is_affected {
                work_ms *= new_version.slow_factor;
            }
            let failed = is_affected && rng.random::<f64>() < new_version.failing;
            // The instance works on as many requests as it has slots, in the order of arrival.
            let at = match busy.iter().position(|it| it.0 == key) {
                Some(it) => it,
                None => {
                    busy.push((key, vec![0; SLOTS as usize]));
                    busy.len() - 1
                }
            };
            let slots = &mut busy[at].1;
            slots.sort_unstable();
            let begins_at_ms = slots[0].max(ms);
            let ends_at_ms = begins_at_ms + work_ms as u64;
            let waiting = slots.iter().filter(|it| **it > ends_at_ms).count() as u32;
            slots[0] = ends_at_ms;
            let latency = Duration::from_millis(ends_at_ms - ms);
            let timed_out = latency > ROUTE_TIMEOUT;
            let outcome = if timed_out {
                ExchangeOutcome::Silent
            } else {
                ExchangeOutcome::Answered { failed, latency }
            };
            let load = LoadReport { running: SLOTS, waiting, slots: SLOTS };
            let elapsed = latency.min(ROUTE_TIMEOUT);
            let report = ExchangeReport {
                outcome,
                elapsed,
                load: Some(load).filter(|_| !timed_out),
                cold_remaining: None,
            };
            requests.push((plan, key, ms, report));
            let ends_at_ms = std::cmp::Reverse(ms + elapsed.as_millis() as u64);
            running.push(Running { ends_at_ms, index: requests.len() - 1 });
        }
    }
    res
}

/// Host with two routes to one service.
fn steering(target_ms: u64, now: Instant) -> Steering {
    let target_latency = Duration::from_millis(target_ms);
    let first = Route { target_latency, timeout: Some(ROUTE_TIMEOUT), ..route() };
    let second = Route { name: "q".to_owned(), path_prefix: "/q/".to_owned(), ..first.clone() };
    let teams = vec![team("two", 0.0)];
    let manifest =
        Manifest::new(1, vec![first, second], vec![service("svc")], teams, limits()).unwrap();
    let mut res = Steering::new(settings(), Duration::ZERO, now);
    res.apply_manifest(manifest, now);
    res
}

/// Starts the new instances, which are cold for a while, and orders the rollout.
fn begin_rollout(steering: &mut Steering, now: Instant) {
    for at in 0..NEW_INSTANCES {
        let mut it = instance(&format!("new-{at}"), "a1");
        it.version = "v2".to_owned();
        it.slots = SLOTS;
        it.cold_remaining = Duration::from_millis(500);
        steering.instances.register(it, now);
    }
    let order = RolloutOrder {
        service: "svc".to_owned(),
        target_version: "v2".to_owned(),
        duration: Duration::from_millis(DURATION_MS),
    };
    let canary = Canary::new(order, settings().canary, Duration::ZERO, now);
    steering.versions.insert_rollout(canary);
}

/// Factor with a mean of about 1 whose logarithm has a standard deviation of `spread`.
fn log_normal(rng: &mut SmallRng, spread: f64) -> f64 {
    // The sum of twelve uniform numbers is close to a normal distribution with a variance of 1.
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (normal * spread).exp()
}

/// Target latencies from 0.3 to 3 times the work.
const TARGETS_MS: [u64; 3] = [264, 880, 2640];

/// Guards against a slow or failing version that is completed, or that receives more than a tenth
/// of the requests and 50 more, whatever the relation of target latency and work.
#[test]
fn bad_version_is_found() {
    let slow = |slow_factor| NewVersion { slow_factor, ..GOOD };
    let cases = [
        ("twice as slow", slow(2.0)),
        ("three times as slow", slow(3.0)),
        ("half of the requests eight times as slow", NewVersion { affected: 0.46, ..slow(8.0) }),
        ("slow late", NewVersion { affected_from_ms: 3000, ..slow(3.0) }),
        ("half slow late", NewVersion { affected: 0.5, affected_from_ms: 3000, ..slow(8.0) }),
        ("failing", NewVersion { failing: 0.5, ..GOOD }),
        ("failing late", NewVersion { failing: 0.4, affected_from_ms: 3000, ..GOOD }),
    ];
    let mut missed = Vec::new();
    for (name, new_version) in cases {
        for target_ms in TARGETS_MS {
            for seed in 0..20 {
                let res = play(new_version, 60.0, target_ms, seed);
                let is_found = res.state == Some(RolloutState::RolledBack)
                    && res.new_requests <= res.all_requests / 10 + 50;
                if !is_found {
                    missed.push(format!("{name}, target {target_ms} ms, seed {seed}: {res:?}"));
                }
            }
        }
    }
    assert!(missed.is_empty(), "{} missed:\n{}", missed.len(), missed.join("\n"));
}

/// Guards against a version that is slow on one route of the service only.
#[test]
fn bad_version_on_one_route_is_found() {
    let new_version = NewVersion { slow_factor: 8.0, affected: 0.5, path: "/p/", ..GOOD };
    for target_ms in TARGETS_MS {
        let res = play(new_version, 60.0, target_ms, 5);
        assert_eq!(res.state, Some(RolloutState::RolledBack), "target {target_ms} ms: {res:?}");
        assert!(res.new_requests <= res.all_requests / 10 + 50, "target {target_ms} ms: {res:?}");
    }
}

/// Guards against a good version that is rolled back or late because its instances have empty
/// caches and work less evenly.
#[test]
fn good_version_completes() {
    let mut failed = Vec::new();
    for (spread, target_ms) in [(SPREAD, 264), (SPREAD, 880), (2.0 * SPREAD, 600), (SPREAD, 2640)] {
        for seed in 0..50 {
            let res = play(NewVersion { spread, ..GOOD }, 60.0, target_ms, seed);
            let completes =
                res.state == Some(RolloutState::Completed) && res.ended_after_ms < DURATION_MS;
            if !completes {
                failed.push(format!("spread {spread}, target {target_ms}, seed {seed}: {res:?}"));
            }
        }
    }
    assert!(failed.is_empty(), "{} failed:\n{}", failed.len(), failed.join("\n"));
}
