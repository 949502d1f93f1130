//! One host's policy without peers.

use std::{net::IpAddr, sync::Arc, time::Duration};

use kingcupford_config::{CallerKey, ConfigVersion, Declarations, KeyDecl, Snapshot};
use kingcupford_engine::{
    Admission, AttemptResult, Engine, EngineSettings, FinishOutcome, PresentedKey, RefusalReason,
    RequestHead, StartOutcome,
};
use kingcupford_fleet::HostIdentity;
use kingcupford_quota::WriteOutcome;
use kingcupford_route::{AttemptOutcome, Outcome};
use tokio::time::Instant;

/// One zone with one instance of an idempotent and one of another service.
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

/// An engine with the whole share and full buckets.
struct Bench {
    engine: Engine,
    key: CallerKey,
    now: Instant,
}

impl Bench {
    /// Installs the declarations as version 1 and fills the buckets.
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

    /// Installs a version with or without the key.
    fn install(&mut self, version: u64, preset: &str, with_key: bool) -> bool {
        let mut declarations = Declarations::from_yaml(DECLARATIONS).expect("valid");
        if with_key {
            let (id, tenant) = ("k".to_owned(), "hof".to_owned());
            declarations.keys.push(KeyDecl { id, tenant, sha256: self.key.hash() });
        }
        let previous = Arc::clone(self.engine.snapshot());
        let version = ConfigVersion(version);
        let snapshot = Snapshot::compile(&declarations, version, preset, "test", Some(&previous));
        self.engine.install(Arc::new(snapshot.expect("compiles")), self.now)
    }

    /// Ticks for a time.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(50);
            self.engine.tick(self.now, 0);
        }
    }

    /// Asks to admit a request of a service.
    fn admit(&mut self, service: &str, request_id: Option<&str>) -> Admission {
        let head = RequestHead {
            service: service.to_owned(),
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            client: IpAddr::from([10, 0, 0, 1]),
            key: PresentedKey::Key(self.key.clone()),
            request_id: request_id.map(str::to_owned),
            content_length: None,
            first_bytes: Vec::new(),
            timeout: None,
            arrived: self.now,
        };
        self.engine.admit(&head, false, self.now)
    }

    /// The reason and outcome of a refused request.
    fn refusal(&mut self, service: &str, request_id: Option<&str>) -> (RefusalReason, Outcome) {
        match self.admit(service, request_id) {
            Admission::Refused(it) => (it.reason, it.outcome),
            other => panic!("{other:?}"),
        }
    }

    /// Runs a request up to its first attempt and ends that.
    fn attempt(
        &mut self,
        service: &str,
        request_id: Option<&str>,
        end: AttemptResult,
    ) -> FinishOutcome {
        let admission = self.admit(service, request_id);
        let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
        let start = self.engine.start_attempt(ticket, self.now);
        let StartOutcome::Attempt(attempt) = start else { panic!("{start:?}") };
        self.engine.finish_attempt(attempt.ticket, end, self.now)
    }

    /// A request id that this host runs.
    fn request_id(&mut self, unique: &str) -> String {
        match self.admit("bestellung", None) {
            Admission::Refused(it) => format!("{}.{unique}", it.binding.expect("a binding")),
            other => panic!("{other:?}"),
        }
    }
}

/// An end without an answer.
fn ended(outcome: AttemptOutcome, byte_sent: bool) -> AttemptResult {
    let latency = Duration::from_millis(5);
    AttemptResult { outcome, status: None, byte_sent, draining: false, latency }
}

/// Guards against requests that run before a host has any configuration.
#[test]
fn admit_without_configuration() {
    let mut bench = Bench::new();
    let identity = HostIdentity {
        name: "entry-2".to_owned(),
        zone: "jura-a".to_owned(),
        incarnation: 1,
        peer_address: "127.0.0.1:7401".parse().expect("an address"),
        public_addresses: Vec::new(),
    };
    bench.engine = Engine::new(identity, EngineSettings::default(), 1, bench.now);
    assert_eq!(bench.refusal("katalog", None), (RefusalReason::NotReady, Outcome::NotRun));
}

/// Guards against a process that wakes up and admits a request whose key was revoked meanwhile.
#[test]
fn admit_after_pause() {
    let mut bench = Bench::new();
    assert!(matches!(bench.admit("katalog", None), Admission::Admitted(_)));
    bench.now += Duration::from_secs(5);
    assert!(matches!(bench.admit("katalog", None), Admission::Wait { .. }));
    bench.run(Duration::from_millis(50));
    assert!(matches!(bench.admit("katalog", None), Admission::Wait { .. }), "no peer confirmed");
    // A host that hears nobody goes on serving after a while.
    bench.run(Duration::from_millis(2_500));
    let refresh = bench.engine.propose_ledger(bench.now).expect("a refresh is due");
    bench.engine.record_proposal_outcome(&refresh, WriteOutcome::Written(2), bench.now);
    bench.run(Duration::from_secs(1));
    let admission = bench.admit("katalog", None);
    assert!(matches!(admission, Admission::Admitted(_)), "{admission:?}");
}

/// Guards against a version that replaces a newer one.
#[test]
fn install_older_version() {
    let mut bench = Bench::new();
    assert!(bench.install(3, "ordinary", false));
    assert!(!bench.install(2, "ordinary", true), "an older version was installed");
    assert_eq!(bench.refusal("katalog", None), (RefusalReason::KeyInvalid, Outcome::NotRun));
}

/// Guards against a drain by a preset that cannot be taken back.
#[test]
fn install_drain_and_back() {
    let mut bench = Bench::new();
    bench.install(2, "maintenance", true);
    assert!(bench.engine.is_draining());
    bench.install(3, "ordinary", true);
    bench.run(Duration::from_millis(100));
    assert!(!bench.engine.is_draining());
    let status = bench.engine.status(bench.now);
    assert_eq!(status.members[0].2, "live");
}

/// Guards against an id that is spent by a request which certainly did not run.
#[test]
fn finish_refused_connection_keeps_id() {
    let mut bench = Bench::new();
    let id = bench.request_id("1");
    let next = bench.attempt("bestellung", Some(&id), ended(AttemptOutcome::Unreachable, false));
    match next {
        FinishOutcome::Retry(ticket) => bench.engine.abandon(ticket, bench.now),
        FinishOutcome::Failed(it) => assert_eq!(it.outcome, Outcome::NotRun),
        FinishOutcome::Done => panic!("a refused connection is no answer"),
    }
    assert!(matches!(bench.admit("bestellung", Some(&id)), Admission::Admitted(_)));
}

/// Guards against a second run after a connection that broke when a byte may have been sent.
#[test]
fn finish_broken_connection_spends_id() {
    let mut bench = Bench::new();
    let id = bench.request_id("1");
    let broken = ended(AttemptOutcome::Broken { response_started: false }, true);
    let FinishOutcome::Failed(refusal) = bench.attempt("bestellung", Some(&id), broken) else {
        panic!("the request was sent again");
    };
    assert_eq!(refusal.outcome, Outcome::Unknown);
    let repeat = bench.refusal("bestellung", Some(&id));
    assert_eq!(repeat, (RefusalReason::RequestIdUnknown, Outcome::Unknown));
}

/// Guards against slots that stay taken after a caller has left.
#[test]
fn abandon_frees_slots() {
    let mut bench = Bench::new();
    for _ in 0..20 {
        let admission = bench.admit("katalog", None);
        let Admission::Admitted(ticket) = admission else { panic!("{admission:?}") };
        let start = bench.engine.start_attempt(ticket, bench.now);
        assert!(matches!(start, StartOutcome::Attempt(_)), "{start:?}");
        bench.engine.abandon(ticket, bench.now);
        bench.run(Duration::from_millis(50));
    }
    assert_eq!(bench.engine.in_flight(), 0);
}
