//! The choice of an instance.

use std::time::Duration;

use kingcupford_steer::{
    ExchangeOutcome, ExchangeReport, InstanceKey, LoadReport, Refusal, RequestHead, RequestPlan,
    Selection, ServingState, Steering,
};
use tokio::time::{Instant, advance};

use crate::common::{instance, member, steering, zone_map};

/// A request for an object.
fn plan(steering: &mut Steering, object: &str, now: Instant) -> RequestPlan {
    let head = RequestHead {
        host: "host.example",
        method: "GET",
        path: "/p/1",
        key: Some(b"key-two"),
        affinity_key: Some(object.as_bytes()),
        content_length: None,
    };
    steering.admit(&head, now).unwrap()
}

/// The instance for an object.
fn chosen(steering: &mut Steering, object: &str, now: Instant) -> Option<InstanceKey> {
    let mut plan = plan(steering, object, now);
    match steering.select_instance(&mut plan, &[], now) {
        Selection::Instance { key, .. } => Some(key),
        Selection::AtCapacity(_) | Selection::NoInstance => None,
    }
}

/// A host with instances in its zone.
fn with_instances(count: usize, now: Instant) -> Steering {
    let mut res = steering(now);
    for at in 0..count {
        res.instances.register(instance(&format!("i{at}"), "a1"), now);
    }
    res
}

/// The outcome of a good response.
fn good(latency_ms: u64) -> ExchangeReport {
    let latency = Duration::from_millis(latency_ms);
    ExchangeReport {
        outcome: ExchangeOutcome::Answered { failed: false, latency },
        load: None,
        cold_remaining: None,
    }
}

/// A report of an outcome alone.
fn report(outcome: ExchangeOutcome) -> ExchangeReport {
    ExchangeReport { outcome, load: None, cold_remaining: None }
}

/// Guards against objects that wander, whose cached state is lost.
#[tokio::test(start_paused = true)]
async fn choose_stable() {
    let now = Instant::now();
    let mut steering = with_instances(6, now);
    let homes: Vec<_> = (0..50).map(|it| chosen(&mut steering, &it.to_string(), now)).collect();
    let again: Vec<_> = (0..50).map(|it| chosen(&mut steering, &it.to_string(), now)).collect();
    assert_eq!(homes, again);
    let lost = homes[0].unwrap();
    let id = steering.instances.get(lost).unwrap().registration.id.clone();
    steering.instances.deregister(&id, kingcupford_steer::Lapse::Gone);
    for (at, home) in homes.iter().enumerate() {
        let now_at = chosen(&mut steering, &at.to_string(), now);
        assert!(now_at.is_some());
        assert!(*home == Some(lost) || *home == now_at, "object {at} moved");
    }
}

/// Guards against requests to draining instances and to evacuated zones.
#[tokio::test(start_paused = true)]
async fn choose_leaves_out() {
    let now = Instant::now();
    let mut steering = steering(now);
    let mut draining = instance("i1", "a1");
    draining.state = ServingState::Draining;
    steering.instances.register(draining, now);
    assert_eq!(chosen(&mut steering, "x", now), None);
    steering.instances.register(instance("i2", "a2"), now);
    assert!(chosen(&mut steering, "x", now).is_some());
    steering.selector.set_evacuated_zones(vec![zone_map().locality("a2").unwrap().zone]);
    assert_eq!(chosen(&mut steering, "x", now), None);
}

/// Guards against queues that grow without bound: what fits nowhere is refused.
#[tokio::test(start_paused = true)]
async fn choose_full() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let mut sent = 0;
    loop {
        let mut plan = plan(&mut steering, "x", now);
        match steering.select_instance(&mut plan, &[], now) {
            Selection::Instance { key, .. } => steering.record_sent(&plan, key, now),
            Selection::AtCapacity(full) => {
                assert!(full.retry_after > Duration::ZERO);
                break;
            }
            Selection::NoInstance => panic!("instances are ready"),
        }
        sent += 1;
        assert!(sent < 100);
    }
    assert!(sent >= 8, "{sent} requests for 8 slots");
}

/// Guards against load of other hosts that is not seen.
#[tokio::test(start_paused = true)]
async fn choose_reported_load() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let home = chosen(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    for _ in 0..4 {
        steering.record_sent(&plan, home, now);
        let load = LoadReport { running: 4, waiting: 40, slots: 4 };
        let report = ExchangeReport { load: Some(load), ..good(100) };
        steering.record_ended(&plan, home, &report, now);
    }
    assert_ne!(chosen(&mut steering, "x", now), Some(home));
}

/// Guards against an instance that cannot be reached and stays in use, or never comes back.
#[tokio::test(start_paused = true)]
async fn choose_ejected() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let home = chosen(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    steering.record_sent(&plan, home, now);
    let ejected = steering.record_ended(&plan, home, &report(ExchangeOutcome::Unreachable), now);
    assert_eq!(ejected, Some(true));
    assert_ne!(chosen(&mut steering, "x", now), Some(home));
    advance(Duration::from_secs(4)).await;
    let now = Instant::now();
    assert_eq!(chosen(&mut steering, "x", now), Some(home));
    steering.record_sent(&plan, home, now);
    assert_eq!(steering.record_ended(&plan, home, &good(90), now), Some(false));
}

/// Guards against an instance that fails most requests while it answers at once.
#[tokio::test(start_paused = true)]
async fn choose_failing() {
    let now = Instant::now();
    let mut steering = with_instances(3, now);
    let home = chosen(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    let failed = ExchangeOutcome::Answered { failed: true, latency: Duration::from_millis(5) };
    for _ in 0..10 {
        steering.record_sent(&plan, home, now);
        steering.record_ended(&plan, home, &report(failed), now);
    }
    assert_ne!(chosen(&mut steering, "x", now), Some(home));
}

/// Guards against more requests to a cold instance than it takes, over all hosts together.
#[tokio::test(start_paused = true)]
async fn choose_cold() {
    let start = Instant::now();
    let names = ["own", "n1", "n2", "n3", "n4", "n5", "n6", "n7"];
    let mut sent = 0;
    for own in names {
        let mut settings = crate::common::settings();
        settings.own_host = member(own, "a1", 1000);
        let mut steering = Steering::new(settings, Duration::ZERO, start);
        steering.apply_manifest(crate::common::manifest(1), start);
        steering.freshness.confirm(start);
        let locality = zone_map().own_locality();
        for (at, name) in names.iter().enumerate().filter(|it| *it.1 != own) {
            steering.members.register(
                member(name, "a1", 1100 + at as u16),
                locality,
                Instant::now(),
            );
        }
        let mut cold = instance("i1", "a1");
        cold.cold_remaining = Duration::from_secs(60);
        steering.instances.register(cold, start);
        for ms in (0..1000u64).step_by(5) {
            let now = start + Duration::from_millis(ms);
            if let Some(key) = chosen(&mut steering, "x", now) {
                let plan = plan(&mut steering, "x", now);
                steering.record_sent(&plan, key, now);
                steering.record_ended(&plan, key, &good(1), now);
                sent += 1;
            }
        }
    }
    // 20 a second with an overage of 1.5, plus 5.
    assert!(sent <= 35, "{sent}");
    assert!(sent >= 10, "{sent}");
}

/// Guards against a route or key that is refused by a host that cannot know better.
#[tokio::test(start_paused = true)]
async fn admit_stale_view() {
    let now = Instant::now();
    let mut steering = with_instances(1, now);
    let mut head = RequestHead {
        host: "host.example",
        method: "GET",
        path: "/p/1",
        key: Some(b"unknown"),
        affinity_key: None,
        content_length: None,
    };
    assert_eq!(steering.admit(&head, now).unwrap_err(), Refusal::UnknownKey);
    advance(Duration::from_secs(3)).await;
    let now = Instant::now();
    assert_eq!(steering.admit(&head, now).unwrap_err(), Refusal::StaleView);
    head.key = Some(b"key-two");
    assert!(steering.admit(&head, now).is_ok());
    head.path = "/elsewhere/";
    assert_eq!(steering.admit(&head, now).unwrap_err(), Refusal::StaleView);
    advance(Duration::from_secs(2)).await;
    head.path = "/p/1";
    // A key may have been revoked by now.
    assert_eq!(steering.admit(&head, Instant::now()).unwrap_err(), Refusal::StaleView);
}
