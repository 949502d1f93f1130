//! Forwarding of one request: admission, attempts, and the response.

use std::{future::Future, pin::Pin, rc::Rc, time::Duration};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
};
use hyper::body::Incoming;
use kingcupford_steer::{
    Attempts, ExchangeOutcome, InstanceKey, Refusal, RepeatPolicy, RequestHead, RequestPlan,
    Selection,
};
use tokio::time::{Instant, sleep_until, timeout_at};

use crate::{
    answer::{self, AnswerBody, Ran},
    attempt::{Attempt, judge},
    exchange::{Failed, Received, Sending, exchange},
    incoming::{BodyFault, drain, read},
    outgoing::ReadBody,
    pool,
    request_log::{AttemptLog, Denied, Ending, RequestLog},
    state::{Phase, State},
};

/// Time that a request may take whose caller and route name none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Instances that are tried at most, those that could not be reached included.
const MAX_TRIES: usize = 6;

/// What a refused caller waits where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time left below which a request is not sent any more.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// The parts of a request that all attempts use.
struct Incomings {
    /// Method.
    method: Method,
    /// Path and query.
    uri: Uri,
    /// Headers for instances, without those of single attempts.
    headers: HeaderMap,
    /// Its id.
    id: Option<HeaderValue>,
    /// Its body.
    body: ReadBody,
    /// End of the time in which a response is of use.
    deadline: Instant,
}

/// A running attempt.
type Running = Pin<Box<dyn Future<Output = (usize, Attempt, Result<Received, Failed>)>>>;

/// Answers a caller's request.
pub(crate) async fn handle(state: Rc<State>, request: Request<Incoming>) -> Response<AnswerBody> {
    let guard = InFlight::new(Rc::clone(&state));
    let arrived = Instant::now();
    let id = request.headers().get(&state.settings().headers.request_id).cloned();
    let text = id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-");
    let mut log =
        LogGuard { state: Rc::clone(&state), log: RequestLog::new(text, arrived), ended: false };
    let mut res = forward(&state, request, id, arrived, &mut log).await;
    if state.phase.get() != Phase::Serving {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    drop(guard);
    res
}

/// Counts a request while it runs.
struct InFlight(Rc<State>);

impl InFlight {
    /// Counts a request.
    fn new(state: Rc<State>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        state.metrics.in_flight.inc();
        Self(state)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Writes the line of a request exactly once, also when its caller leaves.
struct LogGuard {
    /// The process.
    state: Rc<State>,
    /// The line.
    log: RequestLog,
    /// Whether it was written.
    ended: bool,
}

impl LogGuard {
    /// Ends with a response of an instance.
    fn answered(&mut self, received: Received) -> Response<AnswerBody> {
        self.end(Ending::Answered(received.status));
        answer::forwarded(received.status, &received.headers, received.body)
    }

    /// Ends with a refusal: the request did not run.
    fn refused(
        &mut self,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Response<AnswerBody> {
        self.end(Ending::Refused(status, reason));
        answer::own(status, Ran::NotRun, reason, retry_after)
    }

    /// Ends with a failure: the request may have run.
    fn failed(&mut self, status: StatusCode, reason: &'static str) -> Response<AnswerBody> {
        self.end(Ending::Failed(status, reason));
        answer::own(status, Ran::Unknown, reason, None)
    }

    /// Writes the line.
    fn end(&mut self, ending: Ending) {
        self.ended = true;
        self.log.end(&self.state, ending);
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.log.end(&self.state, Ending::Abandoned);
        }
    }
}

/// Admits a request, reads its body and sends it.
async fn forward(
    state: &Rc<State>,
    request: Request<Incoming>,
    id: Option<HeaderValue>,
    arrived: Instant,
    log: &mut LogGuard,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    if state.phase.get() == Phase::Closing {
        drain(body);
        return log.refused(StatusCode::SERVICE_UNAVAILABLE, "shutting down", Some(RETRY_AFTER));
    }
    state.check_pause(arrived);
    let settings = state.settings();
    let names = &settings.headers;
    let host = host(&head.headers, &head.uri);
    let length = content_length(&head.headers);
    let admitted = state.steering.borrow_mut().admit(
        &RequestHead {
            host,
            method: head.method.as_str(),
            path: head.uri.path(),
            key: head.headers.get(&names.api_key).map(HeaderValue::as_bytes),
            affinity_key: head.headers.get(&names.affinity_key).map(HeaderValue::as_bytes),
            content_length: length,
        },
        arrived,
    );
    let plan = match admitted {
        Ok(it) => it,
        Err(denial) => {
            drain(body);
            return deny(state, denial, arrived, log);
        }
    };
    let max_body =
        state.steering.borrow().manifest().map_or(u64::MAX, |it| it.limits().max_body_bytes);
    log.log.plan = Some(plan.clone());
    if length.is_some_and(|it| it > max_body) {
        state.steering.borrow_mut().refund(&plan);
        return log.refused(StatusCode::PAYLOAD_TOO_LARGE, "body is too large", None);
    }
    let caller_time = head.headers.get(&names.deadline_ms);
    let caller_time = caller_time.and_then(|it| it.to_str().ok()?.parse().ok());
    let caller_time = caller_time.map(Duration::from_millis);
    let limits = [caller_time, plan.route.timeout];
    let allowed = limits.into_iter().flatten().min().unwrap_or(DEFAULT_DEADLINE);
    let deadline = arrived + allowed;
    let body = match timeout_at(deadline, read(body, max_body)).await {
        Ok(Ok(it)) => it,
        Ok(Err(BodyFault::TooLarge)) => {
            state.steering.borrow_mut().refund(&plan);
            return log.refused(StatusCode::PAYLOAD_TOO_LARGE, "body is too large", None);
        }
        Ok(Err(BodyFault::Broken)) => {
            state.steering.borrow_mut().refund(&plan);
            return log.refused(StatusCode::BAD_REQUEST, "body broke off", None);
        }
        Err(_) => {
            state.steering.borrow_mut().refund(&plan);
            return log.refused(StatusCode::REQUEST_TIMEOUT, "body took too long", None);
        }
    };
    let mut headers = answer::end_to_end(&head.headers);
    headers.remove(&names.api_key);
    headers.remove(&names.tenant);
    headers.remove(&names.target_instance);
    headers.remove(header::EXPECT);
    let tenant = plan.tenant.as_ref().map(|it| HeaderValue::from_str(&it.name));
    if let Some(Ok(tenant)) = tenant {
        headers.insert(&names.tenant, tenant);
    }
    let uri =
        head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()));
    let incomings = Incomings { method: head.method, uri, headers, id, body, deadline };
    run(state, incomings, plan, log).await
}

/// Sends an admitted request until an instance answers or no further attempt is allowed.
async fn run(
    state: &Rc<State>,
    mut incomings: Incomings,
    mut plan: RequestPlan,
    log: &mut LogGuard,
) -> Response<AnswerBody> {
    let mut running: FuturesUnordered<Running> = FuturesUnordered::new();
    let mut tried: Vec<InstanceKey> = Vec::new();
    let mut attempts = Attempts { made: 0, may_have_run: false, until_deadline: Duration::ZERO };
    let mut failed_answer: Option<Received> = None;
    let mut wants_attempt = true;
    let mut hedge_at = None;
    let mut last_reason = "no instance can be reached";
    loop {
        let now = Instant::now();
        attempts.until_deadline = incomings.deadline.saturating_duration_since(now);
        if std::mem::take(&mut wants_attempt) {
            let started = start(state, &mut incomings, &mut plan, &tried, &mut attempts, log);
            match started {
                Ok((key, attempt)) => {
                    tried.push(key);
                    running.push(attempt);
                    let overdue = state.steering.borrow().hedge_delay(&plan);
                    hedge_at = Some(now + overdue);
                }
                Err(refusal) if running.is_empty() => {
                    return give_up(
                        state,
                        &plan,
                        &attempts,
                        failed_answer,
                        refusal,
                        last_reason,
                        log,
                    );
                }
                Err(_) => {}
            }
        }
        let hedge = hedge_at.filter(|it| *it < incomings.deadline);
        tokio::select! {
            biased;
            ended = running.next() => {
                let Some((at, attempt, result)) = ended else {
                    return log.failed(StatusCode::BAD_GATEWAY, "no attempt is left");
                };
                let (outcome, received, reason) = judge(&attempt, result).await;
                log.log.attempts[at].outcome = reason;
                let decision = {
                    let mut steering = state.steering.borrow_mut();
                    steering.assess_retry(&plan, &outcome, &attempts, Instant::now())
                };
                match (outcome, received) {
                    (ExchangeOutcome::Answered { failed: false, .. }, Some(it)) => return log.answered(it),
                    (ExchangeOutcome::Answered { .. }, Some(it)) => {
                        attempts.may_have_run = decision.may_have_run;
                        if !decision.may_retry && running.is_empty() {
                            return log.answered(it);
                        }
                        failed_answer = Some(it);
                    }
                    _ => attempts.may_have_run = decision.may_have_run,
                }
                last_reason = reason;
                let is_free = matches!(outcome, ExchangeOutcome::Unreachable);
                wants_attempt = (decision.may_retry || is_free) && tried.len() < MAX_TRIES;
                if !wants_attempt && running.is_empty() {
                    let refusal = StartRefusal { reason, retry_after: RETRY_AFTER };
                    return give_up(state, &plan, &attempts, failed_answer, refusal, reason, log);
                }
            }
            () = sleep_until(hedge.unwrap_or(incomings.deadline)), if hedge.is_some() => {
                hedge_at = None;
                let allowed = running.len() == 1
                    && attempts.made < plan.route.max_attempts
                    && state.steering.borrow_mut().may_hedge(&plan, Instant::now());
                wants_attempt = allowed;
                attempts.may_have_run = true;
            }
            () = sleep_until(incomings.deadline) => {
                for it in &mut log.log.attempts {
                    if it.outcome == PENDING {
                        it.outcome = "no response in time";
                    }
                }
                // The attempts are dropped and report themselves.
                return timed_out(&attempts, running.is_empty(), failed_answer, log);
            }
        }
    }
}

/// Outcome of an attempt that has none yet, for the log.
const PENDING: &str = "pending";

/// Why no attempt was started.
struct StartRefusal {
    /// What is told and logged.
    reason: &'static str,
    /// When to come back.
    retry_after: Duration,
}

/// Chooses an instance and starts an attempt at it.
fn start(
    state: &Rc<State>,
    incomings: &mut Incomings,
    plan: &mut RequestPlan,
    tried: &[InstanceKey],
    attempts: &mut Attempts,
    log: &mut LogGuard,
) -> Result<(InstanceKey, Running), StartRefusal> {
    let now = Instant::now();
    if attempts.until_deadline < MIN_REMAINING {
        return Err(StartRefusal { reason: "no time is left", retry_after: RETRY_AFTER });
    }
    if !incomings.body.can_send() {
        return Err(StartRefusal { reason: "body cannot be sent again", retry_after: RETRY_AFTER });
    }
    let mut steering = state.steering.borrow_mut();
    let (key, expected) = match steering.select_instance(plan, tried, now) {
        Selection::Instance { key, expected_latency, .. } => (key, expected_latency),
        Selection::AtCapacity(full) => {
            return Err(StartRefusal {
                reason: "all instances are full",
                retry_after: full.retry_after,
            });
        }
        Selection::NoInstance => {
            return Err(StartRefusal { reason: "no instance is ready", retry_after: RETRY_AFTER });
        }
    };
    if attempts.made > 0 && !steering.consume_retry(plan, now) {
        return Err(StartRefusal { reason: "retry budget is spent", retry_after: RETRY_AFTER });
    }
    let Some((address, id)) = steering.instances.address_and_id(key) else {
        return Err(StartRefusal { reason: "no instance is ready", retry_after: RETRY_AFTER });
    };
    let id = id.to_owned();
    let service = steering.manifest().and_then(|it| it.service(&plan.service));
    let max_connections = service.map_or(u32::MAX, |it| it.max_connections);
    let idle_limit = pool::idle_limit(max_connections, steering.members.known_count());
    steering.record_sent(plan, key, now);
    drop(steering);
    attempts.made += 1;
    let at = log.log.attempts.len();
    log.log.attempts.push(AttemptLog {
        instance: id.clone(),
        expected,
        sent_after: log.log.arrived.elapsed(),
        outcome: PENDING,
    });
    let attempt = Attempt::new(Rc::clone(state), plan.clone(), key, now);
    let settings = state.settings();
    let names = &settings.headers;
    let mut headers = incomings.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(&names.target_instance, id);
    }
    let remaining_ms = attempts.until_deadline.as_millis() as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(remaining_ms));
    let (body, body_done) = incomings.body.attempt();
    let sending = Sending {
        key,
        address,
        method: incomings.method.clone(),
        uri: incomings.uri.clone(),
        headers,
        body,
        body_done,
        // On a kept connection, one that the instance closes at that moment would leave open
        // whether the request ran.
        fresh: plan.route.repeat != RepeatPolicy::Idempotent,
        idle_limit,
        request_id: incomings.id.clone(),
    };
    let running = async move {
        let result = exchange(&attempt.state, sending).await;
        (at, attempt, result)
    };
    Ok((key, Box::pin(running)))
}

/// Ends a request whose time is over.
fn timed_out(
    attempts: &Attempts,
    is_idle: bool,
    failed_answer: Option<Received>,
    log: &mut LogGuard,
) -> Response<AnswerBody> {
    if let Some(it) = failed_answer {
        return log.answered(it);
    }
    if attempts.made == 0 || (is_idle && !attempts.may_have_run) {
        return log.refused(StatusCode::SERVICE_UNAVAILABLE, "no time is left", Some(RETRY_AFTER));
    }
    log.failed(StatusCode::GATEWAY_TIMEOUT, "no response in time")
}

/// Ends a request that gets no further attempt.
fn give_up(
    state: &State,
    plan: &RequestPlan,
    attempts: &Attempts,
    failed_answer: Option<Received>,
    refusal: StartRefusal,
    last_reason: &'static str,
    log: &mut LogGuard,
) -> Response<AnswerBody> {
    if let Some(it) = failed_answer {
        return log.answered(it);
    }
    if attempts.may_have_run {
        return log.failed(StatusCode::BAD_GATEWAY, last_reason);
    }
    if attempts.made == 0 {
        state.steering.borrow_mut().refund(plan);
    }
    let StartRefusal { reason, retry_after } = refusal;
    log.refused(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
}

/// Ends a request that is not admitted.
fn deny(state: &State, denial: Refusal, now: Instant, log: &mut LogGuard) -> Response<AnswerBody> {
    let reason: &'static str = (&denial).into();
    let (status, retry_after) = match &denial {
        Refusal::NoManifest | Refusal::StaleView | Refusal::Quarantined => {
            (StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER))
        }
        Refusal::UnknownRoute => (StatusCode::NOT_FOUND, None),
        Refusal::UnknownKey => (StatusCode::UNAUTHORIZED, None),
        Refusal::OverRate { refusal, .. } => {
            (StatusCode::TOO_MANY_REQUESTS, Some(refusal.retry_after))
        }
    };
    let steering = state.steering.borrow();
    let manifest_version = steering.manifest().map_or(0, |it| it.version());
    let view_age = steering.freshness.age(now);
    drop(steering);
    log.log.denied = Some(Denied { denial, manifest_version, view_age });
    log.refused(status, reason, retry_after)
}

/// The host that a request names.
fn host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let name = headers.get(header::HOST).and_then(|it| it.to_str().ok()).or_else(|| uri.host());
    let name = name.unwrap_or_default();
    // A port is no part of the name.
    match name.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|it| it.is_ascii_digit()) => host,
        _ => name,
    }
}

/// The declared length of a body.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    let name: HeaderName = header::CONTENT_LENGTH;
    headers.get(name)?.to_str().ok()?.parse().ok()
}
