//! Forwarding of requests: admission, attempts at upstreams and the response to the caller.

use std::{
    net::IpAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Method, header};
use kingcupford_config::CallerKey;
use kingcupford_engine::{
    Admission, Attempt, AttemptResult, FinishOutcome, PresentedKey, Refusal, RefusalReason,
    RequestHead, StartOutcome, Ticket,
};
use kingcupford_route::{AttemptOutcome, Outcome};
use kingcupford_telemetry::{OutcomeLabels, RefusalLabels, TeamLabels};
use poem::{Body, Request, Response};
use tokio::time::{Instant, sleep_until};

use crate::{
    body::ReplayBody,
    headers,
    host::Host,
    listener::RequestGuard,
    path, refusals,
    response_stream::ResponseStream,
    upstream::{self, SendFailure, UpstreamRequest, UpstreamResponse},
};

/// Maximum declared length of a body whose first bytes are part of the request's fingerprint.
const MAX_FINGERPRINT_BODY_BYTES: u64 = 16 * 1024;

/// Request of a caller, from which each attempt is built.
struct CallerRequest {
    method: Method,
    /// Path and query after the service segment.
    path: String,
    headers: HeaderMap,
    /// `None` if the request has no body.
    body: Option<ReplayBody>,
}

/// Forwards a request and returns the response for the caller.
pub(crate) async fn forward(
    host: &Arc<Host>,
    mut request: Request,
    client: IpAddr,
    request_guard: RequestGuard,
) -> Response {
    let arrived = Instant::now();
    let target = request.uri().path_and_query().map_or("/", |it| it.as_str()).to_owned();
    let target = target.trim_start_matches('/');
    let (service, path) = target.split_at(target.find(['/', '?']).unwrap_or(target.len()));
    let path = if path.starts_with('/') { path.to_owned() } else { format!("/{path}") };
    if let Err(detail) = check_path(host, service, request.method(), &path) {
        let refusal = Refusal::new(RefusalReason::BadRequest).with_detail(detail.to_owned());
        return refusals::to_response(&refusal);
    }
    let body_bytes = upstream::content_length(request.headers());
    // HTTP/2 sends bodies without `content-length` and `transfer-encoding`, so without them only
    // the method tells that there is no body.
    let has_body =
        body_bytes.map_or(!is_bodyless(request.method(), request.headers()), |it| it > 0);
    let body = has_body.then(|| ReplayBody::new(request.take_body().into_bytes_stream()));
    let caller_request = CallerRequest {
        method: request.method().clone(),
        path: path.clone(),
        headers: request.headers().clone(),
        body,
    };
    let mut head = RequestHead {
        service: service.to_owned(),
        method: caller_request.method.as_str().to_owned(),
        path,
        client,
        key: presented_key(&caller_request.headers),
        request_id: header_text(&caller_request.headers, &headers::REQUEST_ID),
        content_length: body_bytes,
        first_bytes: Vec::new(),
        timeout: header_text(&caller_request.headers, &headers::DEADLINE_MS)
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis),
        arrived,
    };
    if let Some(body) = &caller_request.body
        && body_bytes.is_some_and(|it| it <= MAX_FINGERPRINT_BODY_BYTES)
    {
        match body.first_bytes().await {
            Ok(it) => head.first_bytes = it.to_vec(),
            Err(_) => return refuse(host, &head, &Refusal::new(RefusalReason::BadRequest)),
        }
    }
    match admit(host, &head).await {
        Ok(ticket) => run(host, &caller_request, &head, ticket, request_guard).await,
        Err(refusal) => refuse(host, &head, &refusal),
    }
}

/// Asks the engine whether the request may run, and waits while a loan is pending.
async fn admit(host: &Arc<Host>, head: &RequestHead) -> Result<Ticket, Refusal> {
    let max_in_flight = host.settings.limits.max_in_flight as usize;
    if host.engine.lock().in_flight() >= max_in_flight {
        let retry_after = Duration::from_secs(1);
        return Err(Refusal::new(RefusalReason::ServiceBusy).with_retry_after(retry_after));
    }
    let mut has_waited = false;
    loop {
        let admission = {
            let mut engine = host.engine.lock();
            let res = engine.admit(head, has_waited, Instant::now());
            if engine.needs_share_tick() {
                host.share_tick.notify_one();
            }
            res
        };
        match admission {
            Admission::Admitted(ticket) => return Ok(ticket),
            Admission::Wait { until } => sleep_until(until).await,
            Admission::Refused(refusal) => return Err(refusal),
        }
        has_waited = true;
    }
}

/// Runs an admitted request: starts attempts until an upstream responds or the engine allows no
/// further attempt.
async fn run(
    host: &Arc<Host>,
    caller_request: &CallerRequest,
    head: &RequestHead,
    ticket: Ticket,
    request_guard: RequestGuard,
) -> Response {
    let mut ticket_guard = TicketGuard::new(Arc::clone(host), ticket);
    loop {
        let attempt = match start_attempt(host, ticket).await {
            Ok(it) => it,
            Err(refusal) => {
                ticket_guard.disarm();
                return refuse(host, head, &refusal);
            }
        };
        let failure = match send(host, caller_request, &attempt, &ticket_guard).await {
            Ok(response) => {
                return relay_response(host, head, response, &attempt, ticket_guard, request_guard);
            }
            Err(it) => it,
        };
        let result = AttemptResult {
            outcome: failure.outcome,
            status: None,
            byte_sent: failure.byte_sent,
            draining: failure.draining,
            latency: ticket_guard.latency_start.elapsed(),
        };
        match ticket_guard.finish(result) {
            FinishOutcome::Retry(_)
                if caller_request.body.as_ref().is_none_or(ReplayBody::can_replay) =>
            {
                ticket_guard.rearm();
            }
            FinishOutcome::Retry(_) => {
                ticket_guard.rearm();
                let outcome = if result.byte_sent { Outcome::Unknown } else { Outcome::NotRun };
                let refusal = Refusal::new(RefusalReason::UpstreamFailed).with_outcome(outcome);
                return refuse(host, head, &refusal);
            }
            FinishOutcome::Failed(refusal) => return refuse(host, head, &refusal),
            FinishOutcome::Done => {
                let refusal =
                    Refusal::new(RefusalReason::UpstreamFailed).with_outcome(Outcome::Unknown);
                return refuse(host, head, &refusal);
            }
        }
    }
}

/// Starts an attempt, after waiting until the engine has placed the request on an instance.
async fn start_attempt(host: &Arc<Host>, ticket: Ticket) -> Result<Attempt, Refusal> {
    let mut placed_ticket = host.placed_ticket.subscribe();
    loop {
        placed_ticket.mark_unchanged();
        let outcome = {
            let mut engine = host.engine.lock();
            let res = engine.start_attempt(ticket, Instant::now());
            host.wake_waiters(&engine);
            res
        };
        match outcome {
            StartOutcome::Attempt(attempt) => return Ok(attempt),
            StartOutcome::Refused(refusal) => return Err(refusal),
            StartOutcome::Wait { until } => {
                tokio::select! {
                    _ = placed_ticket.changed() => {}
                    () = sleep_until(until) => {}
                }
            }
        }
    }
}

/// Sends the request to the selected instance and waits for the head of the response.
async fn send(
    host: &Arc<Host>,
    caller_request: &CallerRequest,
    attempt: &Attempt,
    ticket_guard: &TicketGuard,
) -> Result<UpstreamResponse, SendFailure> {
    let snapshot = host.snapshot.load_full();
    let Some(instance) = snapshot.instances.value(attempt.instance) else {
        return Err(SendFailure::UNREACHABLE);
    };
    let mut headers = headers::filter_request(&caller_request.headers);
    let time_left = attempt.deadline.saturating_duration_since(Instant::now());
    headers.insert(headers::DEADLINE_MS, HeaderValue::from(time_left.as_millis() as u64));
    let team = attempt.team.and_then(|it| snapshot.teams.value(it));
    if let Some(team) = team
        && let Ok(value) = HeaderValue::from_str(&team.name)
    {
        headers.insert(headers::TEAM, value);
    }
    let request = UpstreamRequest {
        address: instance.address,
        method: caller_request.method.clone(),
        path: caller_request.path.clone(),
        headers,
        body: caller_request.body.clone(),
        idempotent: attempt.idempotent,
    };
    let failure = |outcome| SendFailure {
        outcome,
        byte_sent: ticket_guard.byte_sent.load(Ordering::Acquire),
        draining: false,
    };
    tokio::select! {
        biased;
        () = host.requests_cancelled.cancelled() => Err(failure(AttemptOutcome::Cancelled)),
        res = host.upstreams.send(request, &ticket_guard.byte_sent) => res,
        () = sleep_until(attempt.deadline) => Err(failure(AttemptOutcome::TimedOut)),
    }
}

/// Returns the response of an upstream for the caller; the body is streamed.
fn relay_response(
    host: &Arc<Host>,
    head: &RequestHead,
    response: UpstreamResponse,
    attempt: &Attempt,
    ticket_guard: TicketGuard,
    request_guard: RequestGuard,
) -> Response {
    let status = response.status;
    let mut headers = headers::filter_response(&response.headers);
    // An upstream that stopped a request at its deadline reports only that it may have run.
    let outcome =
        if upstream::is_outcome_unknown(&response.headers) { "unknown" } else { "executed" };
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    let latency = ticket_guard.latency_start.elapsed();
    record_response(host, head, attempt, latency, outcome);
    let result = AttemptResult {
        outcome: AttemptOutcome::Answered { failed: status.is_server_error() },
        status: (outcome == "executed").then_some(status.as_u16()),
        byte_sent: true,
        draining: upstream::is_draining(&response.headers),
        latency,
    };
    let home_region = host.engine.lock().home_region();
    let link = home_region.filter(|it| *it != attempt.region).map(|to| (attempt.region, to));
    let stream =
        ResponseStream::new(response.body, ticket_guard, result, attempt.deadline, request_guard);
    let stream = stream.with_link(link);
    let mut res = Response::builder().status(status).body(Body::from_bytes_stream(stream));
    *res.headers_mut() = headers;
    res
}

/// Records the latency and the outcome of a response in the metrics.
fn record_response(
    host: &Host,
    head: &RequestHead,
    attempt: &Attempt,
    latency: Duration,
    outcome: &str,
) {
    let snapshot = host.snapshot.load();
    let team = attempt.team.and_then(|it| snapshot.teams.value(it));
    let team = team.map_or("open", |it| it.name.as_str()).to_owned();
    let service = head.service.clone();
    let labels = TeamLabels { tenant: team.clone(), service: service.clone() };
    host.metrics.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    let labels = OutcomeLabels { tenant: team, service, outcome: outcome.to_owned() };
    host.metrics.requests.get_or_create(&labels).inc();
}

/// Counts a refusal or failure and returns the response for it.
fn refuse(host: &Host, head: &RequestHead, refusal: &Refusal) -> Response {
    let snapshot = host.snapshot.load();
    let team = match &head.key {
        PresentedKey::Key(key) => {
            snapshot.authenticate(key).and_then(|it| snapshot.teams.value(it))
        }
        PresentedKey::Missing | PresentedKey::Malformed => None,
    };
    // Only configured teams become labels, so that callers cannot create an unbounded number of
    // time series.
    let team = team.map_or("none", |it| it.name.as_str()).to_owned();
    let labels = RefusalLabels { tenant: team, reason: refusal.reason.to_string() };
    host.metrics.refusals.get_or_create(&labels).inc();
    refusals::to_response(refusal)
}

/// Returns whether a request without a declared length has no body.
fn is_bodyless(method: &Method, headers: &HeaderMap) -> bool {
    let is_read = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
    is_read && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// Returns the key in the `authorization` header; more than one such header is malformed.
pub(crate) fn presented_key(headers: &HeaderMap) -> PresentedKey {
    let mut values = headers.get_all(header::AUTHORIZATION).iter();
    let Some(value) = values.next() else { return PresentedKey::Missing };
    if values.next().is_some() {
        return PresentedKey::Malformed;
    }
    let key = value.to_str().ok().and_then(|it| it.strip_prefix("Bearer "));
    match key.map(|it| CallerKey::parse(it.trim())) {
        Some(Ok(key)) => PresentedKey::Key(key),
        _ => PresentedKey::Malformed,
    }
}

/// Checks that a path and its normalized form match the same route.
fn check_path(host: &Host, service: &str, method: &Method, path: &str) -> Result<(), &'static str> {
    let normalized = path::normalize(path)?;
    let snapshot = host.snapshot.load();
    let Some(service) = snapshot.services.id(service) else { return Ok(()) };
    let route = |path: &str| snapshot.route(service, method.as_str(), path);
    let path = path.split('?').next().unwrap_or_default();
    if route(path) != route(&normalized) {
        return Err("the path can be read as another route's");
    }
    Ok(())
}

/// Returns a header as text, `None` if it is absent or not visible ASCII.
fn header_text(headers: &HeaderMap, name: &http::HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Reports the end of an admitted request to the engine exactly once, also if the request is
/// dropped because the caller disconnected.
pub(crate) struct TicketGuard {
    pub(crate) host: Arc<Host>,
    ticket: Ticket,
    /// Whether dropping the guard must report the end.
    is_armed: bool,
    /// Whether a byte of the current attempt may have reached the upstream.
    byte_sent: Arc<AtomicBool>,
    /// Start of the latency of the current attempt: the admission of the request or the end of the
    /// previous attempt. The latency includes the wait for a slot.
    latency_start: Instant,
}

impl TicketGuard {
    /// Creates an armed guard for an admitted request.
    fn new(host: Arc<Host>, ticket: Ticket) -> Self {
        host.metrics.in_flight.inc();
        let byte_sent = Arc::new(AtomicBool::new(false));
        Self { host, ticket, is_armed: true, byte_sent, latency_start: Instant::now() }
    }

    /// Reports the result of an attempt.
    pub(crate) fn finish(&mut self, result: AttemptResult) -> FinishOutcome {
        self.is_armed = false;
        let mut engine = self.host.engine.lock();
        let res = engine.finish_attempt(self.ticket, result, Instant::now());
        self.host.wake_waiters(&engine);
        res
    }

    /// Arms the guard again for a further attempt.
    fn rearm(&mut self) {
        self.is_armed = true;
        self.byte_sent.store(false, Ordering::Release);
        self.latency_start = Instant::now();
    }

    /// Disarms the guard of a request that the engine has ended.
    fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.host.metrics.in_flight.dec();
        if !self.is_armed {
            return;
        }
        let mut engine = self.host.engine.lock();
        let now = Instant::now();
        if self.byte_sent.load(Ordering::Acquire) {
            let result = AttemptResult {
                outcome: AttemptOutcome::Cancelled,
                status: None,
                byte_sent: true,
                draining: false,
                latency: now.saturating_duration_since(self.latency_start),
            };
            engine.finish_attempt(self.ticket, result, now);
        } else {
            engine.abandon(self.ticket, now);
        }
        self.host.wake_waiters(&engine);
    }
}
