//! Tests of the soak's checks: each check must report the violation that it is for, and only that.

use std::time::Duration;

use kingcupford_soak::{
    CallerRequest, Execution, History, LIMITED_TEAM, RequestOutcome, response_body,
};
use tokio::time::{Instant, advance};

/// A request that succeeded.
fn successful_request(id: &str, path: &str) -> CallerRequest {
    let now = Instant::now();
    CallerRequest {
        id: id.to_owned(),
        path: path.to_owned(),
        body_bytes: 0,
        is_idempotent: path.starts_with("/read/"),
        key: "key".to_owned(),
        team: "steady",
        host: 0,
        time_limit: Duration::from_millis(2500),
        sent_at: now,
        ended_at: now,
        outcome: sealed_response(200, &response_body(id, 0)),
    }
}

fn sealed_response(status: u16, body: &str) -> RequestOutcome {
    RequestOutcome::Answered { status, is_sealed: true, body: body.to_owned() }
}

/// The execution of a request by instance `i-1`, without any fault.
fn execution_of(request: &CallerRequest) -> Execution {
    Execution {
        request_id: request.id.clone(),
        instance: "i-1".to_owned(),
        service: if request.is_idempotent { "catalogue" } else { "orders" }.to_owned(),
        team: request.team.to_owned(),
        has_key: false,
        path: request.path.clone(),
        body_bytes: request.body_bytes,
        started_at: request.sent_at,
        finished_at: Some(request.ended_at),
    }
}

/// Names of the violated guarantees except `recovery`, which fails because no request is sent late
/// enough.
fn violated_guarantees(history: &History) -> Vec<&'static str> {
    let settled_at = Instant::now() + Duration::from_secs(1);
    let violations = history.violations(settled_at);
    violations.iter().map(|it| it.guarantee).filter(|it| *it != "recovery").collect()
}

/// Guards against a check that reports a correct exchange.
#[tokio::test(start_paused = true)]
async fn correct_exchange_has_no_violation() {
    let history = History::default();
    for it in [successful_request("a", "/read/1"), successful_request("b", "/order/1")] {
        history.record_execution(execution_of(&it));
        history.record_request(it);
    }
    assert!(violated_guarantees(&history).is_empty());
}

/// Guards against checks of single requests and executions that never report anything.
#[tokio::test(start_paused = true)]
async fn corrupted_exchange_is_reported() {
    type Corrupt = fn(&mut CallerRequest, &mut Vec<Execution>);
    let cases: [(&str, Corrupt); 9] = [
        ("at-most-once", |_, executions| executions.push(executions[0].clone())),
        ("not-run", |it, _| it.outcome = sealed_response(503, "")),
        ("own-answer", |it, _| it.outcome = sealed_response(200, "of another request")),
        ("key-hidden", |_, executions| executions[0].has_key = true),
        ("tenant", |_, executions| executions[0].team = "other".to_owned()),
        ("unchanged", |_, executions| executions[0].body_bytes = 7),
        ("unchanged", |_, executions| executions[0].path = "/order/2".to_owned()),
        ("route", |_, executions| executions[0].service = "catalogue".to_owned()),
        ("own-answer", |it, _| {
            it.outcome = RequestOutcome::Answered {
                status: 200,
                is_sealed: false,
                body: response_body("a", 0),
            };
        }),
    ];
    for (guarantee, corrupt) in cases {
        let history = History::default();
        let mut request = successful_request("a", "/order/1");
        let mut executions = vec![execution_of(&request)];
        corrupt(&mut request, &mut executions);
        for it in executions {
            history.record_execution(it);
        }
        history.record_request(request);
        assert_eq!(violated_guarantees(&history), [guarantee]);
    }
}

/// Guards against checks that miss requests with revoked keys or to draining instances, or that
/// report them before the permitted delay is over.
#[tokio::test(start_paused = true)]
async fn late_requests_are_reported() {
    let history = History::default();
    history.record_key_revocation("key");
    history.record_instance_drain("i-1");
    advance(Duration::from_millis(2400)).await;
    let permitted = successful_request("a", "/read/1");
    history.record_execution(execution_of(&permitted));
    history.record_request(permitted);
    assert!(violated_guarantees(&history).is_empty());
    advance(Duration::from_millis(200)).await;
    let to_draining = successful_request("b", "/read/1");
    history.record_execution(execution_of(&to_draining));
    history.record_request(to_draining);
    assert_eq!(violated_guarantees(&history), ["leaving"]);
    advance(Duration::from_secs(3)).await;
    let with_revoked_key = successful_request("c", "/read/1");
    history.record_execution(Execution {
        instance: "i-2".to_owned(),
        ..execution_of(&with_revoked_key)
    });
    history.record_request(with_revoked_key);
    assert_eq!(violated_guarantees(&history), ["leaving", "revoked-key"]);
}

/// A request to host 0 that fails; times are in milliseconds from the host's SIGTERM.
#[derive(Clone, Copy)]
struct FailedRequest {
    sent_ms: u64,
    ended_ms: u64,
    /// When its instance had the response; `u64::MAX` if it never had.
    finished_ms: u64,
    is_executed: bool,
    /// Status of a response of the host's own; reset if there is none.
    status: Option<u16>,
}

impl FailedRequest {
    /// A request that is reset while its instance is at work.
    fn new(sent_ms: u64, ended_ms: u64) -> Self {
        Self { sent_ms, ended_ms, finished_ms: u64::MAX, is_executed: true, status: None }
    }

    /// Records the request as one that begins at a time from the SIGTERM.
    fn record(self, history: &History, stopped_at: Instant) {
        let mut request = successful_request("a", "/order/1");
        request.sent_at = stopped_at + Duration::from_millis(self.sent_ms);
        request.ended_at = stopped_at + Duration::from_millis(self.ended_ms);
        request.outcome = match self.status {
            Some(status) => {
                RequestOutcome::Answered { status, is_sealed: false, body: String::new() }
            }
            None => RequestOutcome::Broken { is_reset: true },
        };
        if self.is_executed {
            let finished_at = (self.finished_ms < u64::MAX)
                .then(|| stopped_at + Duration::from_millis(self.finished_ms));
            history.record_execution(Execution { finished_at, ..execution_of(&request) });
        }
        history.record_request(request);
    }
}

/// Guards against a check that misses requests cut by a planned stop.
#[tokio::test(start_paused = true)]
async fn request_cut_by_planned_stop_is_reported() {
    let not_executed = |it| FailedRequest { is_executed: false, ..it };
    for it in [
        FailedRequest::new(0, 100),
        // The instance was still at work late in the grace, but the request was sent too late.
        FailedRequest::new(3001, 5000),
        FailedRequest::new(3450, 5700),
        FailedRequest::new(4600, 7000),
        // It was sent early enough, but cut before the last sixth of the grace.
        FailedRequest::new(2900, 4999),
        // The instance was no longer at work.
        FailedRequest { finished_ms: 5200, ..FailedRequest::new(2900, 5300) },
        FailedRequest { finished_ms: 3200, ..FailedRequest::new(3000, 3300) },
        not_executed(FailedRequest::new(3000, 4000)),
        FailedRequest { status: Some(502), ..FailedRequest::new(3450, 5600) },
        FailedRequest { status: Some(504), ..FailedRequest::new(3450, 5949) },
    ] {
        let history = History::default();
        history.record_host_stop(0);
        it.record(&history, Instant::now());
        let case = (it.sent_ms, it.ended_ms, it.status);
        assert_eq!(violated_guarantees(&history), ["planned-stop"], "{case:?}");
    }
    let history = History::default();
    let sent_before = Instant::now();
    advance(Duration::from_secs(2)).await;
    history.record_host_stop(0);
    FailedRequest::new(0, 2400).record(&history, sent_before);
    assert_eq!(violated_guarantees(&history), ["planned-stop"]);
}

/// Guards against a check that blames a planned stop for cuts that have another reason.
#[tokio::test(start_paused = true)]
async fn request_cut_for_another_reason_is_not_reported() {
    type Prepare = fn(&History);
    let nothing: Prepare = |_| {};
    let late = FailedRequest::new(3450, 5700);
    let cases: [(FailedRequest, Prepare); 9] = [
        (FailedRequest::new(3000, 5000), nothing),
        (FailedRequest::new(3450, 5950), nothing),
        (FailedRequest { status: Some(504), ..FailedRequest::new(3450, 5950) }, nothing),
        (FailedRequest::new(4600, 7001), nothing),
        (FailedRequest { is_executed: false, ..FailedRequest::new(3000, 3999) }, nothing),
        // The host answered after the instance had: its response was of no use.
        (
            FailedRequest {
                status: Some(502),
                finished_ms: 3900,
                ..FailedRequest::new(3450, 4000)
            },
            nothing,
        ),
        (late, |it| it.record_instance_end("i-1")),
        (late, |it| it.record_disturbance(Instant::now(), Instant::now())),
        (FailedRequest { status: Some(503), is_executed: false, ..late }, nothing),
    ];
    for (it, prepare) in cases {
        let history = History::default();
        let stopped_at = Instant::now();
        history.record_host_stop(0);
        advance(Duration::from_millis(3500)).await;
        prepare(&history);
        it.record(&history, stopped_at);
        let case = (it.sent_ms, it.ended_ms, it.status);
        assert!(violated_guarantees(&history).is_empty(), "{case:?}");
    }
    let history = History::default();
    history.record_host_stop(1);
    late.record(&history, Instant::now());
    assert!(violated_guarantees(&history).is_empty());
}

/// Guards against checks over all requests that never report anything: a team over its rate,
/// valid requests that are refused, and a deployment that does not recover.
#[tokio::test(start_paused = true)]
async fn aggregate_violations_are_reported() {
    let history = History::default();
    for index in 0..153 {
        let mut it = successful_request(&format!("r{index}"), "/read/1");
        it.team = LIMITED_TEAM;
        history.record_execution(execution_of(&it));
        history.record_request(it);
        advance(Duration::from_millis(32)).await;
    }
    assert_eq!(violated_guarantees(&history), ["rate"]);
    for index in 0..6 {
        let mut it = successful_request(&format!("d{index}"), "/read/1");
        it.outcome = sealed_response(404, "");
        history.record_request(it);
    }
    assert_eq!(violated_guarantees(&history), ["rate", "denied"]);
    let violations = history.violations(Instant::now() - Duration::from_secs(1));
    assert!(violations.iter().any(|it| it.guarantee == "recovery"), "{violations:?}");
}
