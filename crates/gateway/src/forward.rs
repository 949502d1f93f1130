//! Forwarding of a request: admission, attempts, and the response.

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
    attempt::{Attempt, evaluate_exchange},
    caller_body::{BodyError, drain_body, read_body},
    exchange::{ExchangeError, UpstreamRequest, UpstreamResponse, exchange},
    pool,
    request_body::RequestBody,
    request_log::{AttemptLog, RefusalLog, RequestLog, RequestOutcome},
    response::{self, ExecutionOutcome, ResponseBody},
    shutdown::AttemptDeadline,
    state::{Phase, State},
};

/// Timeout of a request for which neither the caller nor the route sets one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of instances that one request is sent to, including those that could not be
/// reached.
const MAX_INSTANCES_TRIED: usize = 6;

/// Time after which a refused caller may retry, unless a better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time after which a caller that is refused because of a shutdown may retry: another host may take
/// the request at once.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::ZERO;

/// Time beyond the deadline within which a response that is being sent may end.
const MAX_RESPONSE_OVERRUN: Duration = Duration::from_millis(200);

/// Reason of refusals that a shutdown causes.
const SHUTTING_DOWN: &str = "shutting down";

/// Minimum time until the deadline for which an attempt is still started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(5);

/// The parts of a request that all attempts share.
struct ForwardedRequest {
    method: Method,
    /// Path and query.
    uri: Uri,
    /// Headers for instances, without those that differ between attempts.
    headers: HeaderMap,
    id: Option<HeaderValue>,
    body: RequestBody,
    /// Time after which a response is of no use to the caller.
    deadline: Instant,
    /// Time by which a response that is being sent to the caller must end.
    response_ends_by: Option<Instant>,
}

/// A running attempt; resolves to the index of its log entry, the attempt and its result.
type AttemptFuture =
    Pin<Box<dyn Future<Output = (usize, Attempt, Result<UpstreamResponse, ExchangeError>)>>>;

/// Handles a caller's request.
pub(crate) async fn handle(state: Rc<State>, request: Request<Incoming>) -> Response<ResponseBody> {
    let in_flight = InFlightGuard::new(Rc::clone(&state));
    let arrived = Instant::now();
    let id = request.headers().get(&state.settings().headers.request_id).cloned();
    let id_text = id.as_ref().and_then(|it| it.to_str().ok()).unwrap_or("-");
    let mut log_guard = RequestLogGuard {
        state: Rc::clone(&state),
        log: RequestLog::new(id_text, arrived),
        is_ended: false,
    };
    let mut res = forward(&state, request, id, arrived, &mut log_guard).await;
    if state.phase.get() != Phase::Serving {
        res.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    drop(in_flight);
    res
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<State>);

impl InFlightGuard {
    fn new(state: Rc<State>) -> Self {
        state.in_flight.set(state.in_flight.get() + 1);
        state.metrics.in_flight.inc();
        Self(state)
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
        self.0.metrics.in_flight.dec();
    }
}

/// Writes the log line of a request exactly once, also when the caller disconnects.
struct RequestLogGuard {
    state: Rc<State>,
    log: RequestLog,
    /// Whether the line was written.
    is_ended: bool,
}

impl RequestLogGuard {
    /// Finishes with the response of an instance, unless the caller would take it for the statement
    /// that the request did not run, which the instance did not make.
    fn finish_answered(&mut self, upstream_response: UpstreamResponse) -> Response<ResponseBody> {
        let is_sealed = upstream_response.headers.contains_key(&self.state.settings().headers.seal);
        let repeat = self.log.plan.as_ref().map(|it| it.route.repeat);
        if states_not_run(upstream_response.status)
            && !(is_sealed && repeat == Some(RepeatPolicy::Idempotent))
        {
            return self.finish_failed(
                StatusCode::BAD_GATEWAY,
                "refused by the instance, which may have run it",
            );
        }
        self.end(RequestOutcome::Answered(upstream_response.status));
        response::upstream_response(
            upstream_response.status,
            &upstream_response.headers,
            upstream_response.body,
        )
    }

    /// Finishes with a refusal: the request did not run.
    fn finish_refused(
        &mut self,
        status: StatusCode,
        reason: &'static str,
        retry_after: Option<Duration>,
    ) -> Response<ResponseBody> {
        self.end(RequestOutcome::Refused(status, reason));
        response::gateway_response(status, ExecutionOutcome::NotRun, reason, retry_after)
    }

    /// Finishes with a failure: the request may have run.
    fn finish_failed(
        &mut self,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<ResponseBody> {
        self.end(RequestOutcome::Failed(status, reason));
        response::gateway_response(status, ExecutionOutcome::Unknown, reason, None)
    }

    /// Writes the log line.
    fn end(&mut self, outcome: RequestOutcome) {
        self.is_ended = true;
        self.log.finish(&self.state, outcome);
    }
}

impl Drop for RequestLogGuard {
    fn drop(&mut self) {
        if !self.is_ended {
            let outcome = match self.state.phase.get() {
                Phase::Ended => RequestOutcome::Cut,
                Phase::Serving | Phase::Draining | Phase::Closing => RequestOutcome::Abandoned,
            };
            self.log.finish(&self.state, outcome);
        }
    }
}

/// Admits a request, reads its body and sends it.
async fn forward(
    state: &Rc<State>,
    request: Request<Incoming>,
    id: Option<HeaderValue>,
    arrived: Instant,
    log_guard: &mut RequestLogGuard,
) -> Response<ResponseBody> {
    let (head, body) = request.into_parts();
    if state.phase.get() == Phase::Closing {
        drain_body(body);
        return log_guard.finish_refused(
            StatusCode::SERVICE_UNAVAILABLE,
            SHUTTING_DOWN,
            Some(SHUTDOWN_RETRY_AFTER),
        );
    }
    state.check_suspension(arrived);
    let settings = state.settings();
    let names = &settings.headers;
    let host = request_host(&head.headers, &head.uri);
    let declared_bytes = content_length(&head.headers);
    let admitted = state.steering.borrow_mut().admit(
        &RequestHead {
            host,
            method: head.method.as_str(),
            path: head.uri.path(),
            key: head.headers.get(&names.api_key).map(HeaderValue::as_bytes),
            affinity_key: head.headers.get(&names.affinity_key).map(HeaderValue::as_bytes),
            content_length: declared_bytes,
        },
        arrived,
    );
    let plan = match admitted {
        Ok(it) => it,
        Err(refusal) => {
            drain_body(body);
            return refuse(state, refusal, arrived, log_guard);
        }
    };
    let max_body_bytes =
        state.steering.borrow().manifest().map_or(u64::MAX, |it| it.limits().max_body_bytes);
    log_guard.log.plan = Some(plan.clone());
    if declared_bytes.is_some_and(|it| it > max_body_bytes) {
        state.steering.borrow_mut().refund(&plan);
        return log_guard.finish_refused(StatusCode::PAYLOAD_TOO_LARGE, "body is too large", None);
    }
    // The HTTP library decodes chunks only, and instances do not get the header.
    let mut transfer_encodings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    if transfer_encodings.any(|it| !it.as_bytes().eq_ignore_ascii_case(b"chunked")) {
        state.steering.borrow_mut().refund(&plan);
        drain_body(body);
        return log_guard.finish_refused(StatusCode::NOT_IMPLEMENTED, "encoded body", None);
    }
    let caller_timeout = head.headers.get(&names.deadline_ms);
    let caller_timeout = caller_timeout.and_then(|it| it.to_str().ok()?.parse().ok());
    let caller_timeout = caller_timeout.map(Duration::from_millis);
    let timeouts = [caller_timeout, plan.route.timeout];
    let timeout = timeouts.into_iter().flatten().min();
    let response_ends_by = timeout.map(|it| arrived + it + MAX_RESPONSE_OVERRUN);
    let deadline = arrived + timeout.unwrap_or(DEFAULT_TIMEOUT);
    let read_by = state.shutdown.get().map_or(deadline, |it| deadline.min(it.last_end()));
    let body = match timeout_at(read_by, read_body(body, max_body_bytes)).await {
        Ok(Ok(it)) => it,
        Ok(Err(BodyError::TooLarge)) => {
            state.steering.borrow_mut().refund(&plan);
            return log_guard.finish_refused(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body is too large",
                None,
            );
        }
        Ok(Err(BodyError::Aborted)) => {
            state.steering.borrow_mut().refund(&plan);
            return log_guard.finish_refused(StatusCode::BAD_REQUEST, "body broke off", None);
        }
        Err(_) => {
            state.steering.borrow_mut().refund(&plan);
            return log_guard.finish_refused(
                StatusCode::REQUEST_TIMEOUT,
                "body took too long",
                None,
            );
        }
    };
    let mut headers = response::end_to_end_headers(&head.headers);
    headers.remove(&names.api_key);
    headers.remove(&names.team);
    headers.remove(&names.target_instance);
    headers.remove(header::EXPECT);
    let team = plan.team.as_ref().map(|it| HeaderValue::from_str(&it.name));
    if let Some(Ok(team)) = team {
        headers.insert(&names.team, team);
    }
    let uri =
        head.uri.path_and_query().map_or_else(|| Uri::from_static("/"), |it| Uri::from(it.clone()));
    let request = ForwardedRequest {
        method: head.method,
        uri,
        headers,
        id,
        body,
        deadline,
        response_ends_by,
    };
    run_attempts(state, request, plan, log_guard).await
}

/// Sends an admitted request until an instance answers or no further attempt is allowed.
async fn run_attempts(
    state: &Rc<State>,
    mut request: ForwardedRequest,
    mut plan: RequestPlan,
    log_guard: &mut RequestLogGuard,
) -> Response<ResponseBody> {
    let mut running: FuturesUnordered<AttemptFuture> = FuturesUnordered::new();
    let mut tried_instances: Vec<InstanceKey> = Vec::new();
    let mut attempts = Attempts { made: 0, may_have_run: false, until_deadline: Duration::ZERO };
    let mut failed_response: Option<UpstreamResponse> = None;
    let mut should_start_attempt = true;
    let mut hedge_at = None;
    let mut last_reason = "no instance can be reached";
    loop {
        let now = Instant::now();
        attempts.until_deadline = request.deadline.saturating_duration_since(now);
        if std::mem::take(&mut should_start_attempt) {
            let started = start_attempt(
                state,
                &mut request,
                &mut plan,
                &tried_instances,
                &mut attempts,
                log_guard,
            );
            match started {
                Ok((key, attempt)) => {
                    tried_instances.push(key);
                    running.push(attempt);
                    let hedge_delay = state.steering.borrow().hedge_delay(&plan);
                    hedge_at = Some(now + hedge_delay);
                }
                Err(refusal) if running.is_empty() => {
                    return finish_exhausted(
                        state,
                        &plan,
                        &attempts,
                        failed_response,
                        refusal,
                        last_reason,
                        log_guard,
                    );
                }
                Err(_) => {}
            }
        }
        let hedge = hedge_at.filter(|it| *it < request.deadline);
        tokio::select! {
            biased;
            ended = running.next() => {
                let Some((attempt_index, attempt, result)) = ended else {
                    return log_guard.finish_failed(StatusCode::BAD_GATEWAY, "no attempt is left");
                };
                let (outcome, upstream_response, reason) =
                    evaluate_exchange(&attempt, result, request.deadline).await;
                log_guard.log.attempts[attempt_index].outcome = reason;
                let assessment = {
                    let mut steering = state.steering.borrow_mut();
                    steering.assess_retry(&plan, &outcome, &attempts, Instant::now())
                };
                match (outcome, upstream_response) {
                    (ExchangeOutcome::Answered { failed: false, .. }, Some(it)) => {
                        return log_guard.finish_answered(it);
                    }
                    (ExchangeOutcome::Answered { .. }, Some(it)) => {
                        attempts.may_have_run = assessment.may_have_run;
                        if !assessment.may_retry && running.is_empty() {
                            return log_guard.finish_answered(it);
                        }
                        failed_response = Some(it);
                    }
                    _ => attempts.may_have_run = assessment.may_have_run,
                }
                last_reason = reason;
                let is_unreachable = matches!(outcome, ExchangeOutcome::Unreachable);
                should_start_attempt = (assessment.may_retry || is_unreachable)
                    && tried_instances.len() < MAX_INSTANCES_TRIED;
                if !should_start_attempt && running.is_empty() {
                    let refusal = AttemptRefusal { reason, retry_after: DEFAULT_RETRY_AFTER };
                    return finish_exhausted(
                        state,
                        &plan,
                        &attempts,
                        failed_response,
                        refusal,
                        reason,
                        log_guard,
                    );
                }
            }
            () = sleep_until(hedge.unwrap_or(request.deadline)), if hedge.is_some() => {
                hedge_at = None;
                let allowed = running.len() == 1
                    && attempts.made < plan.route.max_attempts
                    && state.steering.borrow_mut().may_hedge(&plan, Instant::now());
                should_start_attempt = allowed;
                attempts.may_have_run |= allowed;
            }
            () = sleep_until(request.deadline) => {
                for it in &mut log_guard.log.attempts {
                    if it.outcome == PENDING_OUTCOME {
                        it.outcome = "no response in time";
                    }
                }
                // Attempts that are still running are dropped here and report themselves.
                return finish_timed_out(&attempts, running.is_empty(), failed_response, log_guard);
            }
        }
    }
}

/// Log text of an attempt without an outcome.
const PENDING_OUTCOME: &str = "pending";

/// Why no attempt was started.
struct AttemptRefusal {
    /// Text for the response and the request log.
    reason: &'static str,
    retry_after: Duration,
}

/// Selects an instance and starts an attempt on it.
fn start_attempt(
    state: &Rc<State>,
    request: &mut ForwardedRequest,
    plan: &mut RequestPlan,
    tried_instances: &[InstanceKey],
    attempts: &mut Attempts,
    log_guard: &mut RequestLogGuard,
) -> Result<(InstanceKey, AttemptFuture), AttemptRefusal> {
    let now = Instant::now();
    if attempts.until_deadline < MIN_TIME_LEFT {
        return Err(AttemptRefusal { reason: "no time is left", retry_after: DEFAULT_RETRY_AFTER });
    }
    if !request.body.can_send() {
        return Err(AttemptRefusal {
            reason: "body cannot be sent again",
            retry_after: DEFAULT_RETRY_AFTER,
        });
    }
    let shutdown = state.shutdown.get();
    let mut steering = state.steering.borrow_mut();
    let (key, expected_latency) = match steering.select_instance(plan, tried_instances, now) {
        Selection::Instance { key, expected_latency, .. } => (key, expected_latency),
        Selection::AtCapacity(at_capacity) => {
            return Err(AttemptRefusal {
                reason: "all instances are full",
                retry_after: at_capacity.retry_after,
            });
        }
        Selection::NoInstance => {
            return Err(AttemptRefusal {
                reason: "no instance is ready",
                retry_after: DEFAULT_RETRY_AFTER,
            });
        }
    };
    let deadline = match shutdown {
        None => AttemptDeadline { caller: request.deadline, instance: request.deadline },
        Some(schedule) => {
            let deadline = schedule.attempt_deadline(now, request.deadline, expected_latency);
            deadline.ok_or(AttemptRefusal {
                reason: SHUTTING_DOWN,
                retry_after: SHUTDOWN_RETRY_AFTER,
            })?
        }
    };
    if attempts.made > 0 && !steering.consume_retry(plan, now) {
        return Err(AttemptRefusal {
            reason: "retry budget is spent",
            retry_after: DEFAULT_RETRY_AFTER,
        });
    }
    let Some((address, id)) = steering.instances.address_and_id(key) else {
        return Err(AttemptRefusal {
            reason: "no instance is ready",
            retry_after: DEFAULT_RETRY_AFTER,
        });
    };
    let id = id.to_owned();
    let service = steering.manifest().and_then(|it| it.service(&plan.service));
    let max_connections = service.map_or(u32::MAX, |it| it.max_connections);
    let max_idle_connections =
        pool::max_idle_connections(max_connections, steering.members.known_count());
    steering.record_sent(plan, key, now);
    drop(steering);
    request.deadline = deadline.caller;
    if let Some(it) = shutdown {
        let ends_by = request.response_ends_by.unwrap_or(it.exits_at);
        request.response_ends_by = Some(ends_by.min(it.exits_at));
    }
    attempts.made += 1;
    let attempt_index = log_guard.log.attempts.len();
    log_guard.log.attempts.push(AttemptLog {
        instance: id.clone(),
        expected_latency,
        sent_after: log_guard.log.arrived.elapsed(),
        outcome: PENDING_OUTCOME,
    });
    let attempt = Attempt::new(Rc::clone(state), plan.clone(), key, now);
    let settings = state.settings();
    let names = &settings.headers;
    let mut headers = request.headers.clone();
    if let Ok(id) = HeaderValue::from_str(&id) {
        headers.insert(&names.target_instance, id);
    }
    let remaining_ms = deadline.instance.saturating_duration_since(now).as_millis() as u64;
    headers.insert(&names.deadline_ms, HeaderValue::from(remaining_ms));
    let (body, is_body_sent) = request.body.attempt_body();
    let upstream_request = UpstreamRequest {
        key,
        address,
        method: request.method.clone(),
        uri: request.uri.clone(),
        headers,
        body,
        is_body_sent,
        // If the instance closed a pooled connection while the request is being sent, it would be
        // unknown whether the request ran. On a pooled connection a late copy of an earlier response
        // may arrive, which only the id distinguishes from the response to this request.
        needs_new_connection: plan.route.repeat != RepeatPolicy::Idempotent || request.id.is_none(),
        max_idle_connections,
        request_id: request.id.clone(),
        response_ends_by: request.response_ends_by,
    };
    let attempt_future = async move {
        let result = exchange(&attempt.state, upstream_request).await;
        (attempt_index, attempt, result)
    };
    Ok((key, Box::pin(attempt_future)))
}

/// Finishes a request whose deadline has passed.
fn finish_timed_out(
    attempts: &Attempts,
    no_attempt_running: bool,
    failed_response: Option<UpstreamResponse>,
    log_guard: &mut RequestLogGuard,
) -> Response<ResponseBody> {
    if let Some(it) = failed_response {
        return log_guard.finish_answered(it);
    }
    if attempts.made == 0 || (no_attempt_running && !attempts.may_have_run) {
        return log_guard.finish_refused(
            StatusCode::SERVICE_UNAVAILABLE,
            "no time is left",
            Some(DEFAULT_RETRY_AFTER),
        );
    }
    log_guard.finish_failed(StatusCode::GATEWAY_TIMEOUT, "no response in time")
}

/// Finishes a request for which no further attempt is started.
fn finish_exhausted(
    state: &State,
    plan: &RequestPlan,
    attempts: &Attempts,
    failed_response: Option<UpstreamResponse>,
    refusal: AttemptRefusal,
    last_reason: &'static str,
    log_guard: &mut RequestLogGuard,
) -> Response<ResponseBody> {
    if let Some(it) = failed_response {
        return log_guard.finish_answered(it);
    }
    if attempts.may_have_run {
        return log_guard.finish_failed(StatusCode::BAD_GATEWAY, last_reason);
    }
    if attempts.made == 0 {
        state.steering.borrow_mut().refund(plan);
    }
    let AttemptRefusal { reason, retry_after } = refusal;
    log_guard.finish_refused(StatusCode::SERVICE_UNAVAILABLE, reason, Some(retry_after))
}

/// Finishes a request that is not admitted.
fn refuse(
    state: &State,
    refusal: Refusal,
    now: Instant,
    log_guard: &mut RequestLogGuard,
) -> Response<ResponseBody> {
    let reason: &'static str = (&refusal).into();
    let (status, retry_after) = match &refusal {
        Refusal::NoManifest
        | Refusal::StaleView
        | Refusal::OutdatedManifest
        | Refusal::Quarantined => (StatusCode::SERVICE_UNAVAILABLE, Some(DEFAULT_RETRY_AFTER)),
        Refusal::UnknownRoute => (StatusCode::NOT_FOUND, None),
        Refusal::UnknownKey => (StatusCode::UNAUTHORIZED, None),
        Refusal::OverRate { refusal: rate_refusal, .. } => {
            (StatusCode::TOO_MANY_REQUESTS, Some(rate_refusal.retry_after))
        }
    };
    let steering = state.steering.borrow();
    let manifest_version = steering.manifest().map_or(0, |it| it.version());
    let view_age = steering.freshness.age(now);
    drop(steering);
    log_guard.log.refusal = Some(RefusalLog { refusal, manifest_version, view_age });
    log_guard.finish_refused(status, reason, retry_after)
}

/// Whether callers take a status for the statement that the request did not run and will not run.
fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Host name that a request is addressed to, without the port.
fn request_host<'a>(headers: &'a HeaderMap, uri: &'a Uri) -> &'a str {
    let name = headers.get(header::HOST).and_then(|it| it.to_str().ok()).or_else(|| uri.host());
    let name = name.unwrap_or_default();
    match name.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|it| it.is_ascii_digit()) => host,
        _ => name,
    }
}

/// Declared length of the body in bytes.
fn content_length(headers: &HeaderMap) -> Option<u64> {
    let name: HeaderName = header::CONTENT_LENGTH;
    headers.get(name)?.to_str().ok()?.parse().ok()
}
