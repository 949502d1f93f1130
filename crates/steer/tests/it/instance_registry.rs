//! Registrations of instances.

use std::time::Duration;

use kingcupford_steer::{
    InstanceRegistration, InstanceRegistry, Lapse, RegistrationChange, ServingState,
};
use tokio::time::{Instant, advance};

use crate::common::instance;

/// Guards against an instance that restarts under the same id but keeps the key, and thereby the
/// observations and connections, of its previous process.
#[tokio::test(start_paused = true)]
async fn register_restart() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.register(instance("i1", "a1"), now);
    let before = registry.key("i1").unwrap();
    let mut registration = instance("i1", "a1");
    registration.started_unix_ms = Some(2);
    assert_eq!(registry.register(registration, now), RegistrationChange::Started);
    assert_ne!(registry.key("i1").unwrap(), before);
    assert!(registry.get(before).is_none());
    assert_eq!(registry.len(), 1);
}

/// Guards against draining instances that stay in use.
#[tokio::test(start_paused = true)]
async fn register_draining() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.register(instance("i1", "a1"), now);
    let mut registration = instance("i1", "a1");
    registration.state = ServingState::Draining;
    assert_eq!(registry.register(registration, now), RegistrationChange::Draining);
}

/// Guards against running instances that are removed because their registrations expired during an
/// outage of the platform, and against stopped instances that stay registered.
#[tokio::test(start_paused = true)]
async fn deregister_lapse() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.register(instance("back", "a1"), now);
    registry.register(instance("gone", "a1"), now);
    let until = now + Duration::from_secs(2);
    assert!(registry.deregister("back", Lapse::Until(until), now).is_none());
    assert!(registry.deregister("gone", Lapse::Until(until), now).is_none());
    registry.register(instance("back", "a1"), now);
    advance(Duration::from_secs(3)).await;
    let expired = registry.expire(Instant::now());
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].registration.id, "gone");
    assert!(registry.key("back").is_some());
}

/// Guards against indices that refer to removed instances.
#[tokio::test(start_paused = true)]
async fn deregister_gone() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    for id in ["i1", "i2", "i3"] {
        registry.register(instance(id, "a1"), now);
    }
    registry.deregister("i2", Lapse::Gone, Instant::now());
    let ids: Vec<&str> =
        registry.of_service("svc").map(|it| it.1.registration.id.as_str()).collect();
    assert_eq!(ids, ["i1", "i3"]);
    registry.register(instance("i4", "a2"), now);
    assert_eq!(registry.len(), 3);
    assert_eq!(registry.of_service("svc").count(), 3);
}

/// Guards against an instance that restarted after the copy from which the platform was restored,
/// and is replaced by its former process.
#[tokio::test(start_paused = true)]
async fn is_outdated_former_process() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let started =
        |unix_ms| InstanceRegistration { started_unix_ms: Some(unix_ms), ..instance("i1", "a1") };
    registry.register(started(1), now);
    registry.register(started(2), now);
    assert!(registry.is_outdated(&started(1), true, now));
    assert!(!registry.is_outdated(&started(2), true, now));
}

/// Guards against an old report that the platform executes late and that brings back an instance
/// which is leaving or has left, and against a report that is ignored although it is new.
#[tokio::test(start_paused = true)]
async fn is_outdated_late_report() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    let report = |start: u64, sequence: u64, state: ServingState| InstanceRegistration {
        started_unix_ms: Some(start),
        sequence: Some(sequence),
        state,
        ..instance("i1", "a1")
    };
    registry.register(report(5, 13, ServingState::Draining), now);
    let is_outdated = |registry: &InstanceRegistry, start, sequence| {
        registry.is_outdated(&report(start, sequence, ServingState::Ready), false, now)
    };
    assert!(is_outdated(&registry, 5, 10));
    assert!(is_outdated(&registry, 4, 99));
    assert!(!is_outdated(&registry, 5, 14));
    assert!(!is_outdated(&registry, 6, 1));
    registry.deregister("i1", Lapse::Gone, now);
    assert!(is_outdated(&registry, 5, 10));
    assert!(!is_outdated(&registry, 5, 14));
    assert!(!is_outdated(&registry, 6, 1));
}

/// Guards against an instance that is removed within the grace of a second restoration.
#[tokio::test(start_paused = true)]
async fn deregister_lapse_extended() {
    let now = Instant::now();
    let mut registry = InstanceRegistry::default();
    registry.register(instance("i1", "a1"), now);
    let after = |ms| now + Duration::from_millis(ms);
    registry.deregister("i1", Lapse::Until(after(2500)), now);
    registry.deregister("i1", Lapse::Until(after(4500)), after(2000));
    assert!(registry.expire(after(2600)).is_empty());
    assert_eq!(registry.expire(after(4500)).len(), 1);
}
