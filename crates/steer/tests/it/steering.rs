//! Retries, and requests that crash instances.

use std::time::Duration;

use kingcupford_steer::{
    Attempts, ExchangeOutcome, ExchangeReport, Heartbeat, Manifest, Refusal, RepeatPolicy,
    RequestHead, RequestPlan, Route, Selection, Steering,
};
use tokio::time::{Instant, advance};

use crate::common::{heartbeat, instance, limits, member, route, service, steering, team};

const HEAD: RequestHead<'static> = RequestHead {
    host: "host.example",
    method: "POST",
    path: "/p/1",
    key: Some(b"key-two"),
    affinity_key: None,
    content_length: Some(10),
};

/// Host with three instances and a route of a repeat policy, and the plan of a request.
fn with_repeat(repeat: RepeatPolicy, now: Instant) -> (Steering, RequestPlan) {
    let mut steering = steering(now);
    let mut route = route();
    route.repeat = repeat;
    let teams = vec![team("two", 0.0)];
    let manifest = Manifest::new(2, vec![route], vec![service("svc")], teams, limits());
    steering.apply_manifest(manifest.unwrap(), now);
    for id in ["i1", "i2", "i3"] {
        steering.instances.register(instance(id, "a1"), now);
    }
    let plan = steering.admit(&HEAD, now).unwrap();
    (steering, plan)
}

/// First attempt of a request.
const FIRST: Attempts =
    Attempts { made: 1, may_have_run: false, until_deadline: Duration::from_secs(1) };

/// Guards against a deposit or an upload that runs twice.
#[tokio::test(start_paused = true)]
async fn assess_retry_at_most_once() {
    let now = Instant::now();
    for repeat in [RepeatPolicy::Once, RepeatPolicy::Upload] {
        let (mut steering, plan) = with_repeat(repeat, now);
        let failed = ExchangeOutcome::Answered { failed: true, latency: Duration::ZERO };
        for outcome in [ExchangeOutcome::Broken { crashed: false }, ExchangeOutcome::Silent, failed]
        {
            let assessment = steering.assess_retry(&plan, &outcome, &FIRST, now);
            assert!(!assessment.may_retry, "{repeat} {outcome:?}");
            assert!(assessment.may_have_run, "{repeat} {outcome:?}");
        }
        for outcome in
            [ExchangeOutcome::Shed, ExchangeOutcome::Misdirected, ExchangeOutcome::Unreachable]
        {
            let assessment = steering.assess_retry(&plan, &outcome, &FIRST, now);
            assert!(assessment.may_retry, "{repeat} {outcome:?}");
            assert!(!assessment.may_have_run, "{repeat} {outcome:?}");
        }
    }
}

/// Guards against failures that reach callers although another instance would have responded.
#[tokio::test(start_paused = true)]
async fn assess_retry_idempotent() {
    let now = Instant::now();
    let (mut steering, plan) = with_repeat(RepeatPolicy::Idempotent, now);
    let failed = ExchangeOutcome::Answered { failed: true, latency: Duration::ZERO };
    for outcome in [ExchangeOutcome::Broken { crashed: false }, ExchangeOutcome::Silent, failed] {
        assert!(steering.assess_retry(&plan, &outcome, &FIRST, now).may_retry, "{outcome:?}");
    }
    let second = Attempts { made: 2, ..FIRST };
    assert!(!steering.assess_retry(&plan, &ExchangeOutcome::Shed, &second, now).may_retry);
}

/// Guards against retries that amplify an overload.
#[tokio::test(start_paused = true)]
async fn consume_retry_within_budget() {
    let now = Instant::now();
    let (mut steering, plan) = with_repeat(RepeatPolicy::Idempotent, now);
    for _ in 0..999 {
        steering.admit(&HEAD, now).unwrap();
    }
    let retries = (0..1000).filter(|_| steering.consume_retry(&plan, now)).count();
    // Over all hosts, retries for 0.2 of the requests are allowed.
    assert!((100..=200).contains(&retries), "{retries}");
    assert!(!steering.assess_retry(&plan, &ExchangeOutcome::Shed, &FIRST, now).may_retry);
}

/// Guards against a request that crashes one instance after the other.
#[tokio::test(start_paused = true)]
async fn record_ended_after_crash() {
    let now = Instant::now();
    let (mut steering, mut plan) = with_repeat(RepeatPolicy::Idempotent, now);
    let mut crashed = Vec::new();
    for _ in 0..2 {
        let Selection::Instance { key, .. } = steering.select_instance(&mut plan, &crashed, now)
        else {
            panic!("no instance");
        };
        steering.record_sent(&plan, key, now);
        let report = ExchangeReport {
            outcome: ExchangeOutcome::Broken { crashed: true },
            elapsed: Duration::ZERO,
            load: None,
            cold_remaining: None,
        };
        steering.record_ended(&plan, key, &report, now);
        crashed.push(key);
    }
    assert_eq!(steering.admit(&HEAD, now).unwrap_err(), Refusal::Quarantined);
    let other = RequestHead { path: "/p/2", ..HEAD };
    assert!(steering.admit(&other, now).is_ok());
}

/// Guards against a new process that accepts revoked keys by the older manifest of a restored
/// platform, although other hosts have a newer one, and against a process that is late for a moment
/// and refuses at once.
#[tokio::test(start_paused = true)]
async fn admit_outdated_after_start() {
    for has_caught_up in [false, true] {
        let now = Instant::now();
        let mut steering = steering(now);
        let (peer, own) = (member("peer", "a1", 2000), steering.settings().own_host.locality);
        let from = peer.peer_address;
        steering.members.register(peer, own, now);
        let manifest = |version| {
            let (teams, services) = (vec![team("two", 0.0)], vec![service("svc")]);
            Manifest::new(version, vec![route()], services, teams, limits()).unwrap()
        };
        steering.apply_manifest(manifest(2), now);
        if has_caught_up {
            steering.receive_heartbeat(
                Heartbeat { manifest_version: 2, ..heartbeat("peer", 1) },
                from,
                now,
            );
            steering.tick(now);
        }
        steering.receive_heartbeat(
            Heartbeat { manifest_version: 3, ..heartbeat("peer", 2) },
            from,
            now,
        );
        steering.tick(now);
        assert_eq!(steering.admit(&HEAD, now).is_ok(), has_caught_up);
        steering.apply_manifest(manifest(3), now);
        assert!(steering.admit(&HEAD, now).is_ok());
    }
}

/// Guards against a new process that counts as up to date by the first peer that it hears, which may
/// have started after the restoration too.
#[tokio::test(start_paused = true)]
async fn admit_outdated_peer_unheard() {
    let now = Instant::now();
    let mut steering = steering(now);
    let own = steering.settings().own_host.locality;
    let peers = [(member("new", "a1", 2000), 2), (member("old", "a1", 2001), 3)];
    for (peer, _) in &peers {
        steering.members.register(peer.clone(), own, now);
    }
    let (teams, services) = (vec![team("two", 0.0)], vec![service("svc")]);
    let manifest = Manifest::new(2, vec![route()], services, teams, limits()).unwrap();
    steering.apply_manifest(manifest, now);
    for (peer, manifest_version) in peers {
        let heartbeat = Heartbeat { manifest_version, ..heartbeat(&peer.name, 1) };
        steering.receive_heartbeat(heartbeat, peer.peer_address, now);
        steering.tick(now);
    }
    assert_eq!(steering.admit(&HEAD, now).unwrap_err(), Refusal::OutdatedManifest);
}

/// Guards against a host that goes on by its manifest after a pause, although its peers have got a
/// newer one meanwhile.
#[tokio::test(start_paused = true)]
async fn admit_outdated_after_pause() {
    let now = Instant::now();
    let mut steering = steering(now);
    let (peer, own) = (member("peer", "a1", 2000), steering.settings().own_host.locality);
    let from = peer.peer_address;
    steering.members.register(peer, own, now);
    let manifest = |version| {
        let route = Route { open: true, ..route() };
        Manifest::new(version, vec![route], vec![service("svc")], Vec::new(), limits()).unwrap()
    };
    let hear = |steering: &mut Steering, manifest_version, sequence| {
        let heartbeat = Heartbeat { manifest_version, ..heartbeat("peer", sequence) };
        steering.receive_heartbeat(heartbeat, from, Instant::now());
        steering.tick(Instant::now());
    };
    steering.apply_manifest(manifest(2), now);
    hear(&mut steering, 2, 1);
    let mut paused = Duration::from_millis(500);
    assert_eq!(steering.record_suspension(paused, now), Some(paused));
    assert!(steering.admit(&HEAD, now).is_ok(), "after a short pause");
    paused += Duration::from_secs(8);
    steering.record_suspension(paused, now);
    steering.tick(now);
    assert_eq!(steering.admit(&HEAD, now).unwrap_err(), Refusal::OutdatedManifest, "unheard");
    advance(Duration::from_millis(200)).await;
    hear(&mut steering, 3, 2);
    let now = Instant::now();
    assert_eq!(steering.admit(&HEAD, now).unwrap_err(), Refusal::OutdatedManifest, "newer heard");
    steering.apply_manifest(manifest(3), now);
    assert!(steering.admit(&HEAD, now).is_ok());
    paused += Duration::from_secs(8);
    steering.record_suspension(paused, now);
    assert_eq!(steering.admit(&HEAD, now).unwrap_err(), Refusal::OutdatedManifest, "unheard");
    advance(Duration::from_secs(1)).await;
    assert!(steering.admit(&HEAD, Instant::now()).is_ok(), "peer is silent");
}
