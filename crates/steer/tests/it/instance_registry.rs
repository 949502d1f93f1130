//! Registrations of instances.

use std::time::Duration;

use kingcupford_steer::{InstanceRegistry, Lapse, RegistrationChange, ServingState};
use tokio::time::{Instant, advance};

use crate::common::instance;

/// Guards against a restart under the same id that keeps the key, and with it the observations and
/// connections, of the former process.
#[tokio::test(start_paused = true)]
async fn register_restart() {
    let now = Instant::now();
    let mut set = InstanceRegistry::default();
    set.register(instance("i1", "a1"), now);
    let before = set.key("i1").unwrap();
    let mut report = instance("i1", "a1");
    report.started_unix_ms = Some(2);
    assert_eq!(set.register(report, now), RegistrationChange::Started);
    assert_ne!(set.key("i1").unwrap(), before);
    assert!(set.get(before).is_none());
    assert_eq!(set.len(), 1);
}

/// Guards against draining instances that stay in use.
#[tokio::test(start_paused = true)]
async fn register_draining() {
    let now = Instant::now();
    let mut set = InstanceRegistry::default();
    set.register(instance("i1", "a1"), now);
    let mut report = instance("i1", "a1");
    report.state = ServingState::Draining;
    assert_eq!(set.register(report, now), RegistrationChange::Draining);
}

/// Guards against living instances that are dropped because their entries lapsed while the platform
/// was away, and against dead ones that stay.
#[tokio::test(start_paused = true)]
async fn deregister_lapse() {
    let now = Instant::now();
    let mut set = InstanceRegistry::default();
    set.register(instance("back", "a1"), now);
    set.register(instance("gone", "a1"), now);
    let until = now + Duration::from_secs(2);
    assert!(set.deregister("back", Lapse::Until(until)).is_none());
    assert!(set.deregister("gone", Lapse::Until(until)).is_none());
    set.register(instance("back", "a1"), now);
    advance(Duration::from_secs(3)).await;
    let expired = set.expire(Instant::now());
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].registration.id, "gone");
    assert!(set.key("back").is_some());
}

/// Guards against indices that name removed instances.
#[tokio::test(start_paused = true)]
async fn deregister_gone() {
    let now = Instant::now();
    let mut set = InstanceRegistry::default();
    for id in ["i1", "i2", "i3"] {
        set.register(instance(id, "a1"), now);
    }
    set.deregister("i2", Lapse::Gone);
    let ids: Vec<&str> = set.of_service("svc").map(|it| it.1.registration.id.as_str()).collect();
    assert_eq!(ids, ["i1", "i3"]);
    set.register(instance("i4", "a2"), now);
    assert_eq!(set.len(), 3);
    assert_eq!(set.of_service("svc").count(), 3);
}
