//! Selection of an instance.

use std::time::Duration;

use kingcupford_steer::{
    ExchangeOutcome, ExchangeReport, InstanceKey, LoadReport, Refusal, RequestHead, RequestPlan,
    Selection, ServingState, Steering,
};
use tokio::time::{Instant, advance};

use crate::common::{instance, member, steering, zone_map};

/// Plan of a request with an affinity key.
fn plan(steering: &mut Steering, affinity_key: &str, now: Instant) -> RequestPlan {
    let head = RequestHead {
        host: "host.example",
        method: "GET",
        path: "/p/1",
        key: Some(b"key-two"),
        affinity_key: Some(affinity_key.as_bytes()),
        content_length: None,
    };
    steering.admit(&head, now).unwrap()
}

/// Key of the instance that is selected for an affinity key.
fn select_key(steering: &mut Steering, affinity_key: &str, now: Instant) -> Option<InstanceKey> {
    let mut plan = plan(steering, affinity_key, now);
    match steering.select_instance(&mut plan, &[], now) {
        Selection::Instance { key, .. } => Some(key),
        Selection::AtCapacity(_) | Selection::NoInstance => None,
    }
}

/// Host with a number of instances in its zone.
fn with_instances(count: usize, now: Instant) -> Steering {
    let mut res = steering(now);
    for at in 0..count {
        res.instances.register(instance(&format!("i{at}"), "a1"), now);
    }
    res
}

/// Report of a successful response.
fn successful(latency_ms: u64) -> ExchangeReport {
    let latency = Duration::from_millis(latency_ms);
    ExchangeReport {
        outcome: ExchangeOutcome::Answered { failed: false, latency },
        elapsed: latency,
        load: None,
        cold_remaining: None,
    }
}

/// Report of an outcome without load.
fn report(outcome: ExchangeOutcome) -> ExchangeReport {
    ExchangeReport { outcome, elapsed: Duration::ZERO, load: None, cold_remaining: None }
}

/// Guards against affinity keys that move between instances and lose their cached data.
#[tokio::test(start_paused = true)]
async fn select_is_stable_per_key() {
    let now = Instant::now();
    let mut steering = with_instances(6, now);
    let selected: Vec<_> =
        (0..50).map(|it| select_key(&mut steering, &it.to_string(), now)).collect();
    let again: Vec<_> = (0..50).map(|it| select_key(&mut steering, &it.to_string(), now)).collect();
    assert_eq!(selected, again);
    let removed = selected[0].unwrap();
    let id = steering.instances.get(removed).unwrap().registration.id.clone();
    steering.instances.deregister(&id, kingcupford_steer::Lapse::Gone, now);
    for (at, selected_key) in selected.iter().enumerate() {
        let selected_now = select_key(&mut steering, &at.to_string(), now);
        assert!(selected_now.is_some());
        assert!(
            *selected_key == Some(removed) || *selected_key == selected_now,
            "affinity key {at} moved"
        );
    }
}

/// Guards against requests to draining instances and to evacuated zones.
#[tokio::test(start_paused = true)]
async fn select_skips_draining_and_evacuated() {
    let now = Instant::now();
    let mut steering = steering(now);
    let mut draining = instance("i1", "a1");
    draining.state = ServingState::Draining;
    steering.instances.register(draining, now);
    assert_eq!(select_key(&mut steering, "x", now), None);
    steering.instances.register(instance("i2", "a2"), now);
    assert!(select_key(&mut steering, "x", now).is_some());
    steering.selector.set_evacuated_zones(vec![zone_map().locality("a2").unwrap().zone]);
    assert_eq!(select_key(&mut steering, "x", now), None);
}

/// Guards against queues that grow without bound: requests beyond the capacity are refused.
#[tokio::test(start_paused = true)]
async fn select_refuses_at_capacity() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let mut sent_requests = 0;
    loop {
        let mut plan = plan(&mut steering, "x", now);
        match steering.select_instance(&mut plan, &[], now) {
            Selection::Instance { key, .. } => steering.record_sent(&plan, key, now),
            Selection::AtCapacity(refusal) => {
                assert!(refusal.retry_after > Duration::ZERO);
                break;
            }
            Selection::NoInstance => panic!("instances are ready"),
        }
        sent_requests += 1;
        assert!(sent_requests < 100);
    }
    assert!(sent_requests >= 8, "{sent_requests} requests for 8 slots");
}

/// Guards against load of other hosts that is ignored.
#[tokio::test(start_paused = true)]
async fn select_considers_reported_load() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let selected_key = select_key(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    for _ in 0..4 {
        steering.record_sent(&plan, selected_key, now);
        let load = LoadReport { running: 4, waiting: 40, slots: 4 };
        let report = ExchangeReport { load: Some(load), ..successful(100) };
        steering.record_ended(&plan, selected_key, &report, now);
    }
    assert_ne!(select_key(&mut steering, "x", now), Some(selected_key));
}

/// Guards against an unreachable instance that stays in use or is never used again.
#[tokio::test(start_paused = true)]
async fn select_after_ejection() {
    let now = Instant::now();
    let mut steering = with_instances(2, now);
    let selected_key = select_key(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    steering.record_sent(&plan, selected_key, now);
    let ejected =
        steering.record_ended(&plan, selected_key, &report(ExchangeOutcome::Unreachable), now);
    assert_eq!(ejected, Some(true));
    assert_ne!(select_key(&mut steering, "x", now), Some(selected_key));
    advance(Duration::from_secs(4)).await;
    let now = Instant::now();
    assert_eq!(select_key(&mut steering, "x", now), Some(selected_key));
    steering.record_sent(&plan, selected_key, now);
    assert_eq!(steering.record_ended(&plan, selected_key, &successful(90), now), Some(false));
}

/// Guards against an instance that fails most requests and is preferred because it responds fast.
#[tokio::test(start_paused = true)]
async fn select_avoids_failing_instance() {
    let now = Instant::now();
    let mut steering = with_instances(3, now);
    let selected_key = select_key(&mut steering, "x", now).unwrap();
    let plan = plan(&mut steering, "x", now);
    let failed = ExchangeOutcome::Answered { failed: true, latency: Duration::from_millis(5) };
    for _ in 0..10 {
        steering.record_sent(&plan, selected_key, now);
        steering.record_ended(&plan, selected_key, &report(failed), now);
    }
    assert_ne!(select_key(&mut steering, "x", now), Some(selected_key));
}

/// Guards against more requests from all hosts to a cold instance than it accepts.
#[tokio::test(start_paused = true)]
async fn select_limits_cold_rate() {
    let start = Instant::now();
    let host_names = ["own", "n1", "n2", "n3", "n4", "n5", "n6", "n7"];
    let mut sent_requests = 0;
    for own in host_names {
        let mut settings = crate::common::settings();
        settings.own_host = member(own, "a1", 1000);
        let mut steering = Steering::new(settings, Duration::ZERO, start);
        steering.apply_manifest(crate::common::manifest(1), start);
        steering.freshness.confirm(start);
        let locality = zone_map().own_locality();
        for (at, name) in host_names.iter().enumerate().filter(|it| *it.1 != own) {
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
            if let Some(key) = select_key(&mut steering, "x", now) {
                let plan = plan(&mut steering, "x", now);
                steering.record_sent(&plan, key, now);
                steering.record_ended(&plan, key, &successful(1), now);
                sent_requests += 1;
            }
        }
    }
    // 20 per second with an overage factor of 1.5, plus a slack of 5.
    assert!(sent_requests <= 35, "{sent_requests}");
    assert!(sent_requests >= 10, "{sent_requests}");
}

/// Guards against a route or key that is refused as unknown by a host with an outdated view.
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
    // The key may have been revoked by now.
    assert_eq!(steering.admit(&head, Instant::now()).unwrap_err(), Refusal::StaleView);
}
