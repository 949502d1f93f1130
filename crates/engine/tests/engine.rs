//! Request policy of one host without peers.

use std::{net::IpAddr, sync::Arc, time::Duration};

use kingcupford_config::{CallerKey, ConfigVersion, Declarations, KeyDecl, Snapshot};
use kingcupford_engine::{
    Admission, AttemptResult, Engine, EngineSettings, FinishOutcome, MAX_RESPONSE_OVERRUN, Message,
    PresentedKey, RefusalReason, RequestHead, RolloutStop, StartOutcome,
};
use kingcupford_fleet::HostIdentity;
use kingcupford_quota::{LoanId, Message as QuotaMessage, ResourceName, Settings, WriteOutcome};
use kingcupford_rollout::{MIN_DURATION_MS, Reason, RolloutKey, StartRequest, start};
use kingcupford_route::{AttemptOutcome, Outcome};
use tokio::time::Instant;

/// One zone with one instance of a service with idempotent requests and one of another service.
const DECLARATIONS: &str = "
regions: [{ name: jura, zones: [jura-a] }]
sites: [{ name: jura-a, zone: jura-a }]
services:
  - name: katalog
    routes: [{ path_prefix: /, idempotent: true, timeout_ms: 5000 }]
    versions: [{ name: v1, instances: [{ name: k1, site: jura-a, address: '127.0.0.1:1', slots: 4 }] }]
    active_version: v1
  - name: bestellung
    routes: [{ path_prefix: /, timeout_ms: 5000 }]
    versions: [{ name: v1, instances: [{ name: b1, site: jura-a, address: '127.0.0.1:2', slots: 4 }] }]
    active_version: v1
tenants: [{ name: hof, rate_per_s: 100, burst: 100 }]
presets:
  - { name: ordinary }
  - { name: maintenance, drains: [{ target: host, name: entry-1 }] }
";

/// An engine that holds the whole share of all caps, with full token buckets.
struct TestHost {
    engine: Engine,
    key: CallerKey,
    now: Instant,
}

impl TestHost {
    /// Installs the declarations as version 1, adopts the first ledger and waits until the buckets
    /// are full.
    fn new() -> Self {
        let now = Instant::now();
        let identity = HostIdentity {
            name: "entry-1".to_owned(),
            zone: "jura-a".to_owned(),
            incarnation: 1,
            peer_address: "127.0.0.1:7400".parse().expect("an address"),
            public_addresses: vec!["127.0.0.1:8400".to_owned()],
        };
        let engine = Engine::new(identity, EngineSettings::default(), 1, now);
        let mut res = Self { engine, key: CallerKey::new("k", [7; 24]), now };
        res.install(1, "ordinary", true);
        res.engine.record_ledger_missing();
        let proposal = res.engine.propose_ledger(now).expect("a first ledger");
        res.engine.record_proposal_outcome(&proposal, WriteOutcome::Written(1), now);
        res.run(Duration::from_secs(2));
        res
    }

    /// Installs a version of the configuration with or without the caller's key.
    fn install(&mut self, version: u64, preset: &str, with_key: bool) -> bool {
        let mut declarations = Declarations::from_yaml(DECLARATIONS).expect("valid");
        if with_key {
            let (id, team) = ("k".to_owned(), "hof".to_owned());
            declarations.keys.push(KeyDecl { id, team, sha256: self.key.hash() });
        }
        let previous = Arc::clone(self.engine.snapshot());
        let version = ConfigVersion(version);
        let snapshot = Snapshot::compile(&declarations, version, preset, "test", Some(&previous));
        self.engine.install(Arc::new(snapshot.expect("compiles")), self.now)
    }

    /// Advances the time and ticks the engine every 50 ms.
    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.engine.tick(self.now, 0);
        }
    }

    /// Calls the engine to admit a request of a service.
    fn admit(&mut self, service: &str, request_id: Option<&str>) -> Admission {
        self.admit_within(service, request_id, None)
    }

    /// Calls the engine to admit a request with a deadline.
    fn admit_within(
        &mut self,
        service: &str,
        request_id: Option<&str>,
        timeout: Option<Duration>,
    ) -> Admission {
        let head = RequestHead {
            service: service.to_owned(),
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            client: IpAddr::from([10, 0, 0, 1]),
            key: PresentedKey::Key(self.key.clone()),
            request_id: request_id.map(str::to_owned),
            content_length: None,
            first_bytes: Vec::new(),
            timeout,
            arrived: self.now,
        };
        self.engine.admit(&head, false, self.now)
    }

    /// Returns the reason and the outcome of a request that must be refused.
    fn refusal(&mut self, service: &str, request_id: Option<&str>) -> (RefusalReason, Outcome) {
        match self.admit(service, request_id) {
            Admission::Refused(it) => (it.reason, it.outcome),
            other => panic!("{other:?}"),
        }
    }

    /// Admits and starts a request, and finishes its first attempt with `result`.
    fn attempt(
        &mut self,
        service: &str,
        request_id: Option<&str>,
        result: AttemptResult,
    ) -> FinishOutcome {
        let admission = self.admit(service, request_id);
        let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
        let start = self.engine.start_attempt(ticket, self.now);
        let StartOutcome::Attempt(attempt) = start else { panic!("{start:?}") };
        self.engine.finish_attempt(attempt.ticket, result, self.now)
    }

    /// Returns a request id that is bound to this host.
    fn request_id(&mut self, unique: &str) -> String {
        match self.admit("bestellung", None) {
            Admission::Refused(it) => format!("{}.{unique}", it.binding.expect("a binding")),
            other => panic!("{other:?}"),
        }
    }
}

/// Returns the result of an attempt without a response.
fn failed_attempt(outcome: AttemptOutcome, byte_sent: bool) -> AttemptResult {
    let latency = Duration::from_millis(5);
    AttemptResult { outcome, status: None, byte_sent, draining: false, latency }
}

/// Guards against the admission of requests before a host has a configuration.
#[test]
fn admit_without_configuration() {
    let mut host = TestHost::new();
    let identity = HostIdentity {
        name: "entry-2".to_owned(),
        zone: "jura-a".to_owned(),
        incarnation: 1,
        peer_address: "127.0.0.1:7401".parse().expect("an address"),
        public_addresses: Vec::new(),
    };
    host.engine = Engine::new(identity, EngineSettings::default(), 1, host.now);
    assert_eq!(host.refusal("katalog", None), (RefusalReason::NotReady, Outcome::NotRun));
}

/// Guards against the admission of a request whose key was revoked while the process was paused.
#[test]
fn admit_after_pause() {
    let mut host = TestHost::new();
    assert!(matches!(host.admit("katalog", None), Admission::Admitted(_)));
    host.now += Duration::from_secs(5);
    assert!(matches!(host.admit("katalog", None), Admission::Wait { .. }));
    host.run(Duration::from_millis(50));
    assert!(matches!(host.admit("katalog", None), Admission::Wait { .. }), "no peer confirmed");
    // An isolated host serves again after the maximum wait.
    host.run(Duration::from_millis(2_500));
    let refresh = host.engine.propose_ledger(host.now).expect("a refresh is due");
    host.engine.record_proposal_outcome(&refresh, WriteOutcome::Written(2), host.now);
    host.run(Duration::from_secs(1));
    let admission = host.admit("katalog", None);
    assert!(matches!(admission, Admission::Admitted(_)), "{admission:?}");
}

/// Guards against a configuration that replaces a newer one.
#[test]
fn install_older_version() {
    let mut host = TestHost::new();
    assert!(host.install(3, "ordinary", false));
    assert!(!host.install(2, "ordinary", true), "an older version was installed");
    assert_eq!(host.refusal("katalog", None), (RefusalReason::KeyInvalid, Outcome::NotRun));
}

/// Guards against a drain by a preset that a later preset cannot cancel.
#[test]
fn install_cancels_drain_by_preset() {
    let mut host = TestHost::new();
    host.install(2, "maintenance", true);
    assert!(host.engine.is_draining());
    host.install(3, "ordinary", true);
    host.run(Duration::from_millis(100));
    assert!(!host.engine.is_draining());
    let status = host.engine.status(host.now);
    assert_eq!(status.members[0].2, "live");
}

/// Guards against a request id that is used up by a request that certainly did not run.
#[test]
fn finish_refused_connection_keeps_id() {
    let mut host = TestHost::new();
    let id = host.request_id("1");
    let next =
        host.attempt("bestellung", Some(&id), failed_attempt(AttemptOutcome::Unreachable, false));
    match next {
        FinishOutcome::Retry(ticket) => host.engine.abandon(ticket, host.now),
        FinishOutcome::Failed(it) => assert_eq!(it.outcome, Outcome::NotRun),
        FinishOutcome::Done => panic!("a refused connection is not a response"),
    }
    assert!(matches!(host.admit("bestellung", Some(&id)), Admission::Admitted(_)));
}

/// Guards against a second run of a request that is not idempotent, after the connection broke when
/// a byte may have been sent.
#[test]
fn finish_broken_connection_uses_up_id() {
    let mut host = TestHost::new();
    let id = host.request_id("1");
    let broken = failed_attempt(AttemptOutcome::Broken { response_started: false }, true);
    let FinishOutcome::Failed(refusal) = host.attempt("bestellung", Some(&id), broken) else {
        panic!("the request was sent again");
    };
    assert_eq!(refusal.outcome, Outcome::Unknown);
    let repeat = host.refusal("bestellung", Some(&id));
    assert_eq!(repeat, (RefusalReason::RequestIdUnknown, Outcome::Unknown));
}

/// Guards against an attempt that starts in a shutdown and is cut at its end: of a new request, of
/// one that waits for a slot and of one that has failed at another instance.
#[test]
fn start_attempt_beyond_shutdown() {
    let mut host = TestHost::new();
    let admitted = |host: &mut TestHost| match host.admit("katalog", None) {
        Admission::Admitted(it) => it,
        other => panic!("{other:?}"),
    };
    let tickets: Vec<_> = (0..6).map(|_| admitted(&mut host)).collect();
    let starts = tickets.iter().map(|it| host.engine.start_attempt(*it, host.now));
    let running = starts.filter(|it| matches!(it, StartOutcome::Attempt(_))).count();
    assert_eq!(running, 4);
    host.engine.set_draining(host.now);
    host.engine.set_cut_at(host.now + Duration::from_secs(5));
    assert_eq!(host.refusal("katalog", None), (RefusalReason::ShuttingDown, Outcome::NotRun));
    let assert_refused = |host: &mut TestHost, ticket| {
        let start = host.engine.start_attempt(ticket, host.now);
        let StartOutcome::Refused(it) = start else { panic!("{start:?}") };
        assert_eq!((it.reason, it.outcome), (RefusalReason::ShuttingDown, Outcome::NotRun));
        assert_eq!(it.retry_after, Some(Duration::ZERO));
    };
    // The end of a request places the first one that waits.
    host.engine.abandon(tickets[0], host.now);
    assert_eq!(host.engine.ready_tickets().collect::<Vec<_>>(), [tickets[4]]);
    assert_refused(&mut host, tickets[4]);
    assert_refused(&mut host, tickets[5]);
    assert_eq!(host.engine.in_flight(), 3);
    // The slot of a refused request is free for one that ends in time.
    host.engine.set_cut_at(host.now + Duration::from_secs(6));
    let ticket = admitted(&mut host);
    let start = host.engine.start_attempt(ticket, host.now);
    assert!(matches!(start, StartOutcome::Attempt(_)), "{start:?}");
    host.engine.set_cut_at(host.now + Duration::from_secs(5));
    let unreachable = failed_attempt(AttemptOutcome::Unreachable, false);
    let next = host.engine.finish_attempt(tickets[1], unreachable, host.now);
    assert!(matches!(next, FinishOutcome::Retry(_)), "{next:?}");
    assert_refused(&mut host, tickets[1]);
}

/// Guards against a request that waits for a slot, is sent right before its deadline and then may
/// have run.
#[test]
fn start_attempt_before_deadline() {
    let mut host = TestHost::new();
    let timeout = Some(Duration::from_millis(500));
    let ids: Vec<_> = (0..5).map(|it| host.request_id(&it.to_string())).collect();
    let mut tickets = Vec::new();
    for id in &ids {
        let admission = host.admit_within("bestellung", Some(id), timeout);
        let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
        host.engine.start_attempt(ticket, host.now);
        tickets.push(ticket);
    }
    host.now += Duration::from_millis(497);
    host.engine.abandon(tickets[0], host.now);
    assert_eq!(host.engine.ready_tickets().collect::<Vec<_>>(), [tickets[4]]);
    let start = host.engine.start_attempt(tickets[4], host.now);
    let StartOutcome::Refused(refusal) = start else { panic!("{start:?}") };
    let refused = (refusal.reason, refusal.outcome);
    assert_eq!(refused, (RefusalReason::DeadlinePassed, Outcome::NotRun));
    // Its slot is free again.
    let admission = host.admit("bestellung", Some(&ids[4]));
    let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
    let start = host.engine.start_attempt(ticket, host.now);
    assert!(matches!(start, StartOutcome::Attempt(_)), "{start:?}");
}

/// Guards against slots that a lender uses while the last responses of the borrower's requests,
/// which may end after the deadline, still arrive.
#[test]
fn lent_slots_wait_for_last_response() {
    let mut host = TestHost::new();
    let request = QuotaMessage::LoanRequest {
        id: LoanId { incarnation: 1, sequence: 1 },
        renews: None,
        resource: ResourceName::RegionSlots("katalog".to_owned(), "jura".to_owned()),
        units: 1_000_000,
    };
    let replies = host.engine.receive("entry-2", Message::Quota(request), host.now);
    let Message::Quota(QuotaMessage::LoanResponse { units, .. }) = &replies[0].message else {
        panic!("{replies:?}");
    };
    assert!(*units > 500_000, "{units} units lent");
    let attempts = |host: &mut TestHost| {
        let mut tickets = Vec::new();
        let mut res = 0;
        for _ in 0..4 {
            let admission = host.admit("katalog", None);
            let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
            let start = host.engine.start_attempt(ticket, host.now);
            res += usize::from(matches!(start, StartOutcome::Attempt(_)));
            tickets.push(ticket);
        }
        tickets.iter().rev().for_each(|it| host.engine.abandon(*it, host.now));
        res
    };
    // A request that starts right before the loan ends has 5 s.
    let last_deadline = Settings::default().loan_duration + Duration::from_secs(5);
    host.run(last_deadline + MAX_RESPONSE_OVERRUN - Duration::from_millis(50));
    let started = attempts(&mut host);
    assert!(started < 4, "{started} requests started while the borrower's may run");
    host.run(Duration::from_millis(150));
    assert_eq!(attempts(&mut host), 4, "the slots do not return");
}

/// Guards against slots that stay in use after the caller disconnected.
#[test]
fn abandon_releases_slots() {
    let mut host = TestHost::new();
    for _ in 0..20 {
        let admission = host.admit("katalog", None);
        let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
        let start = host.engine.start_attempt(ticket, host.now);
        assert!(matches!(start, StartOutcome::Attempt(_)), "{start:?}");
        host.engine.abandon(ticket, host.now);
        host.run(Duration::from_millis(50));
    }
    assert_eq!(host.engine.in_flight(), 0);
}

/// Guards against the stop of a peer for a rollout that the platform lost in a restoration, and
/// against stops of peers of earlier versions that are ignored.
#[test]
fn receive_stop_of_lost_rollout() {
    let mut host = TestHost::new();
    let request = StartRequest {
        service: "katalog".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        now_unix_ms: 1_000_000,
        deadline_unix_ms: 1_000_000 + MIN_DURATION_MS,
        write_id: 1,
    };
    let rollout = start(None, &request).expect("valid");
    let bytes = serde_json::to_vec(&rollout).expect("serializable");
    host.engine.apply_platform_document("rollout/katalog", 1, &bytes, host.now);
    let mut receive = |rollout| {
        let stop = RolloutStop { service: "katalog".to_owned(), rollout, reason: Reason::Unproven };
        host.engine.receive("entry-2", Message::RolloutStop(stop), host.now);
        host.engine.status(host.now).stopped_rollouts.len()
    };
    let lost = RolloutKey { started_unix_ms: 995_000, ..rollout.key() };
    assert_eq!(receive(lost), 0);
    assert_eq!(receive(RolloutKey { generation: 2, started_unix_ms: 0 }), 0);
    assert_eq!(receive(RolloutKey { started_unix_ms: 0, ..rollout.key() }), 1);
}
