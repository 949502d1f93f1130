//! The checks of the soak: each must find what it is for, and nothing else.

use std::time::Duration;

use kingcupford_soak::{Ending, LIMITED_TENANT, Ledger, Run, Sent, answer_body};
use tokio::time::{Instant, advance};

/// A request that succeeded.
fn sent(id: &str, path: &str) -> Sent {
    let now = Instant::now();
    Sent {
        id: id.to_owned(),
        path: path.to_owned(),
        body_bytes: 0,
        is_idempotent: path.starts_with("/read/"),
        key: "key".to_owned(),
        tenant: "steady",
        host: 0,
        at: now,
        ended_at: now,
        ending: answered(200, &answer_body(id, 0)),
    }
}

/// A sealed response.
fn answered(status: u16, body: &str) -> Ending {
    Ending::Answered { status, is_sealed: true, body: body.to_owned() }
}

/// Its run.
fn run(of: &Sent) -> Run {
    Run {
        id: of.id.clone(),
        instance: "i-1".to_owned(),
        service: if of.is_idempotent { "catalogue" } else { "orders" }.to_owned(),
        tenant: of.tenant.to_owned(),
        has_key: false,
        path: of.path.clone(),
        body_bytes: of.body_bytes,
        at: of.at,
    }
}

/// The promises that the ledger finds broken; none of its requests is late enough for recovery.
fn promises(ledger: &Ledger) -> Vec<&'static str> {
    let calm_from = Instant::now() + Duration::from_secs(1);
    let found = ledger.violations(calm_from);
    found.iter().map(|it| it.promise).filter(|it| *it != "recovery").collect()
}

/// Guards against a check that finds fault with a good exchange.
#[tokio::test(start_paused = true)]
async fn violations_none() {
    let ledger = Ledger::default();
    for it in [sent("a", "/read/1"), sent("b", "/order/1")] {
        ledger.ran(run(&it));
        ledger.ended(it);
    }
    assert!(promises(&ledger).is_empty());
}

/// Guards against a check of requests and runs that can never fail.
#[tokio::test(start_paused = true)]
async fn violations_of_requests() {
    type Harm = fn(&mut Sent, &mut Vec<Run>);
    let harms: [(&str, Harm); 9] = [
        ("at-most-once", |_, runs| runs.push(runs[0].clone())),
        ("not-run", |it, _| it.ending = answered(503, "")),
        ("own-answer", |it, _| it.ending = answered(200, "of another request")),
        ("key-hidden", |_, runs| runs[0].has_key = true),
        ("tenant", |_, runs| runs[0].tenant = "other".to_owned()),
        ("unchanged", |_, runs| runs[0].body_bytes = 7),
        ("unchanged", |_, runs| runs[0].path = "/order/2".to_owned()),
        ("route", |_, runs| runs[0].service = "catalogue".to_owned()),
        ("own-answer", |it, _| {
            it.ending =
                Ending::Answered { status: 200, is_sealed: false, body: answer_body("a", 0) };
        }),
    ];
    for (promise, harm) in harms {
        let ledger = Ledger::default();
        let mut it = sent("a", "/order/1");
        let mut runs = vec![run(&it)];
        harm(&mut it, &mut runs);
        runs.into_iter().for_each(|it| ledger.ran(it));
        ledger.ended(it);
        assert_eq!(promises(&ledger), [promise]);
    }
}

/// Guards against requests of revoked keys and to leaving instances that nobody notices.
#[tokio::test(start_paused = true)]
async fn violations_after_time() {
    let ledger = Ledger::default();
    ledger.revoked("key");
    ledger.leaves("i-1");
    advance(Duration::from_millis(2400)).await;
    let early = sent("a", "/read/1");
    ledger.ran(run(&early));
    ledger.ended(early);
    assert!(promises(&ledger).is_empty());
    advance(Duration::from_millis(200)).await;
    let late = sent("b", "/read/1");
    ledger.ran(run(&late));
    ledger.ended(late);
    assert_eq!(promises(&ledger), ["leaving"]);
    advance(Duration::from_secs(3)).await;
    let revoked = sent("c", "/read/1");
    ledger.ran(Run { instance: "i-2".to_owned(), ..run(&revoked) });
    ledger.ended(revoked);
    assert_eq!(promises(&ledger), ["leaving", "revoked-key"]);
}

/// Guards against a planned stop that cuts requests, and against one blamed for a disturbance.
#[tokio::test(start_paused = true)]
async fn violations_at_stop() {
    for (is_disturbed, expected) in [(false, &["planned-stop"][..]), (true, &[])] {
        let ledger = Ledger::default();
        let mut it = sent("a", "/order/1");
        ledger.stopped(0);
        advance(Duration::from_millis(100)).await;
        it.ended_at = Instant::now();
        it.ending = Ending::Broken;
        if is_disturbed {
            ledger.disturbed(it.at, it.ended_at);
        }
        ledger.ran(run(&it));
        ledger.ended(it);
        assert_eq!(promises(&ledger), expected);
    }
}

/// Guards against tenants over their rate, refusals of proper requests, and deployments that do
/// not recover.
#[tokio::test(start_paused = true)]
async fn violations_over_all() {
    let ledger = Ledger::default();
    for at in 0..153 {
        let mut it = sent(&format!("r{at}"), "/read/1");
        it.tenant = LIMITED_TENANT;
        ledger.ran(run(&it));
        ledger.ended(it);
        advance(Duration::from_millis(32)).await;
    }
    assert_eq!(promises(&ledger), ["rate"]);
    for at in 0..6 {
        let mut it = sent(&format!("d{at}"), "/read/1");
        it.ending = answered(404, "");
        ledger.ended(it);
    }
    assert_eq!(promises(&ledger), ["rate", "denied"]);
    let found = ledger.violations(Instant::now() - Duration::from_secs(1));
    assert!(found.iter().any(|it| it.promise == "recovery"), "{found:?}");
}
