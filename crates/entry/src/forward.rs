//! Forwarding of one request: admission, attempts, and the answer's stream.

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
use kingcupford_telemetry::{OutcomeLabels, RefusalLabels, TenantLabels};
use poem::{Body, Request, Response};
use tokio::time::{Instant, sleep_until};

use crate::{
    answer::AnswerStream,
    body::ReplayBody,
    headers,
    host::Host,
    listener::RequestGuard,
    path, respond,
    upstream::{self, SendFailure, Sending},
};

/// Bodies up to this length have their first bytes in the fingerprint.
const PEEK_BYTES: u64 = 16 * 1024;

/// The parts of a caller's request that attempts need.
struct Incoming {
    /// The method.
    method: Method,
    /// Path and query behind the service segment.
    path: String,
    /// The caller's headers.
    headers: HeaderMap,
    /// The body, `None` when there is none.
    body: Option<ReplayBody>,
}

/// Forwards a request and answers the caller.
pub(crate) async fn forward(
    host: &Arc<Host>,
    mut request: Request,
    client: IpAddr,
    connection: RequestGuard,
) -> Response {
    let arrived = Instant::now();
    let path = request.uri().path_and_query().map_or("/", |it| it.as_str()).to_owned();
    let rest = path.trim_start_matches('/');
    let (service, rest) = rest.split_at(rest.find(['/', '?']).unwrap_or(rest.len()));
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    if let Err(detail) = check_path(host, service, request.method(), &rest) {
        let refusal = Refusal::new(RefusalReason::BadRequest).with_detail(detail.to_owned());
        return respond::refusal(&refusal);
    }
    let length = upstream::content_length(request.headers());
    // HTTP/2 sends bodies without either header, so only an absent method body is known here.
    let has_body = length.map_or(!is_bodyless(request.method(), request.headers()), |it| it > 0);
    let body = has_body.then(|| ReplayBody::new(request.take_body().into_bytes_stream()));
    let incoming = Incoming {
        method: request.method().clone(),
        path: rest.clone(),
        headers: request.headers().clone(),
        body,
    };
    let mut head = RequestHead {
        service: service.to_owned(),
        method: incoming.method.as_str().to_owned(),
        path: rest,
        client,
        key: shown_key(&incoming.headers),
        request_id: text(&incoming.headers, &headers::REQUEST_ID),
        content_length: length,
        first_bytes: Vec::new(),
        timeout: text(&incoming.headers, &headers::DEADLINE_MS)
            .and_then(|it| it.parse().ok())
            .map(Duration::from_millis),
        arrived,
    };
    if let Some(body) = &incoming.body
        && length.is_some_and(|it| it <= PEEK_BYTES)
    {
        match body.first_bytes().await {
            Ok(it) => head.first_bytes = it.to_vec(),
            Err(_) => return refuse(host, &head, &Refusal::new(RefusalReason::BadRequest)),
        }
    }
    match admit(host, &head).await {
        Ok(ticket) => run(host, &incoming, &head, ticket, connection).await,
        Err(refusal) => refuse(host, &head, &refusal),
    }
}

/// Asks the policy whether the request may run, and waits while a loan is pending.
async fn admit(host: &Arc<Host>, head: &RequestHead) -> Result<Ticket, Refusal> {
    let most = host.settings.limits.max_in_flight as usize;
    if host.engine.lock().in_flight() >= most {
        let retry = Duration::from_secs(1);
        return Err(Refusal::new(RefusalReason::ServiceBusy).with_retry_after(retry));
    }
    let mut waited = false;
    loop {
        let admission = {
            let mut engine = host.engine.lock();
            let res = engine.admit(head, waited, Instant::now());
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
        waited = true;
    }
}

/// Runs an admitted request: attempts until one is answered or no further one is allowed.
async fn run(
    host: &Arc<Host>,
    incoming: &Incoming,
    head: &RequestHead,
    ticket: Ticket,
    connection: RequestGuard,
) -> Response {
    let mut guard = TicketGuard::new(Arc::clone(host), ticket);
    loop {
        let attempt = match place(host, ticket).await {
            Ok(it) => it,
            Err(refusal) => {
                guard.disarm();
                return refuse(host, head, &refusal);
            }
        };
        let failure = match send(host, incoming, &attempt, &guard).await {
            Ok(response) => return answer(host, head, response, &attempt, guard, connection),
            Err(it) => it,
        };
        let end = AttemptResult {
            outcome: failure.outcome,
            status: None,
            byte_sent: failure.byte_sent,
            draining: failure.draining,
            latency: guard.sent_at.elapsed(),
        };
        match guard.finish(end) {
            FinishOutcome::Retry(_)
                if incoming.body.as_ref().is_none_or(ReplayBody::can_replay) =>
            {
                guard.rearm();
            }
            FinishOutcome::Retry(_) => {
                guard.rearm();
                let outcome = if end.byte_sent { Outcome::Unknown } else { Outcome::NotRun };
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

/// Waits until the policy has found an instance.
async fn place(host: &Arc<Host>, ticket: Ticket) -> Result<Attempt, Refusal> {
    let mut placed = host.placed.subscribe();
    loop {
        placed.mark_unchanged();
        let start = {
            let mut engine = host.engine.lock();
            let res = engine.start_attempt(ticket, Instant::now());
            host.wake_placed(&engine);
            res
        };
        match start {
            StartOutcome::Attempt(attempt) => return Ok(attempt),
            StartOutcome::Refused(refusal) => return Err(refusal),
            StartOutcome::Wait { until } => {
                tokio::select! {
                    _ = placed.changed() => {}
                    () = sleep_until(until) => {}
                }
            }
        }
    }
}

/// Sends the request to the chosen instance and waits for the head of its answer.
async fn send(
    host: &Arc<Host>,
    incoming: &Incoming,
    attempt: &Attempt,
    guard: &TicketGuard,
) -> Result<reqwest::Response, SendFailure> {
    let snapshot = host.snapshot.load_full();
    let Some(instance) = snapshot.instances.value(attempt.instance) else {
        return Err(SendFailure {
            outcome: AttemptOutcome::Unreachable,
            byte_sent: false,
            draining: false,
        });
    };
    let mut headers = headers::to_upstream(&incoming.headers);
    let left = attempt.deadline.saturating_duration_since(Instant::now());
    headers.insert(headers::DEADLINE_MS, HeaderValue::from(left.as_millis() as u64));
    let tenant = attempt.tenant.and_then(|it| snapshot.tenants.value(it));
    if let Some(tenant) = tenant
        && let Ok(value) = HeaderValue::from_str(&tenant.name)
    {
        headers.insert(headers::TENANT, value);
    }
    let sending = Sending {
        method: incoming.method.clone(),
        url: format!("http://{}{}", instance.address, incoming.path),
        headers,
        body: incoming.body.clone(),
        idempotent: attempt.idempotent,
    };
    let failure = |outcome| SendFailure {
        outcome,
        byte_sent: guard.byte_sent.load(Ordering::Acquire),
        draining: false,
    };
    tokio::select! {
        biased;
        () = host.cut.cancelled() => Err(failure(AttemptOutcome::Cancelled)),
        res = host.upstreams.send(sending, &guard.byte_sent) => res,
        () = sleep_until(attempt.deadline) => Err(failure(AttemptOutcome::TimedOut)),
    }
}

/// Passes an upstream's answer to the caller as a stream.
fn answer(
    host: &Arc<Host>,
    head: &RequestHead,
    response: reqwest::Response,
    attempt: &Attempt,
    guard: TicketGuard,
    connection: RequestGuard,
) -> Response {
    let status = response.status();
    let mut headers = headers::to_caller(response.headers());
    // An upstream that stopped a request at its deadline knows only that it may have run.
    let outcome = if upstream::is_unknown(&response) { "unknown" } else { "executed" };
    headers.insert(headers::OUTCOME, HeaderValue::from_static(outcome));
    let latency = guard.sent_at.elapsed();
    record_answer(host, head, attempt, latency, outcome);
    let end = AttemptResult {
        outcome: AttemptOutcome::Answered { failed: status.is_server_error() },
        status: (outcome == "executed").then_some(status.as_u16()),
        byte_sent: true,
        draining: upstream::is_draining(response.headers()),
        latency,
    };
    let home = host.engine.lock().home_region();
    let paced = home.filter(|it| *it != attempt.region).map(|to| (attempt.region, to));
    let stream = AnswerStream::new(response, guard, end, attempt.deadline, connection);
    let stream = stream.with_link(paced);
    let mut res = Response::builder().status(status).body(Body::from_bytes_stream(stream));
    *res.headers_mut() = headers;
    res
}

/// Counts an answer.
fn record_answer(
    host: &Host,
    head: &RequestHead,
    attempt: &Attempt,
    latency: Duration,
    outcome: &str,
) {
    let snapshot = host.snapshot.load();
    let tenant = attempt.tenant.and_then(|it| snapshot.tenants.value(it));
    let tenant = tenant.map_or("open", |it| it.name.as_str()).to_owned();
    let service = head.service.clone();
    let labels = TenantLabels { tenant: tenant.clone(), service: service.clone() };
    host.metrics.latency.get_or_create(&labels).observe(latency.as_secs_f64());
    let labels = OutcomeLabels { tenant, service, outcome: outcome.to_owned() };
    host.metrics.requests.get_or_create(&labels).inc();
}

/// Answers a refusal or failure and counts it.
fn refuse(host: &Host, head: &RequestHead, refusal: &Refusal) -> Response {
    let snapshot = host.snapshot.load();
    let tenant = match &head.key {
        PresentedKey::Key(key) => {
            snapshot.authenticate(key).and_then(|it| snapshot.tenants.value(it))
        }
        PresentedKey::Missing | PresentedKey::Malformed => None,
    };
    // Only known tenants become labels, so that callers cannot create metrics without bound.
    let tenant = tenant.map_or("none", |it| it.name.as_str()).to_owned();
    let labels = RefusalLabels { tenant, reason: refusal.reason.to_string() };
    host.metrics.refusals.get_or_create(&labels).inc();
    respond::refusal(refusal)
}

/// Whether a request without a declared length has no body.
fn is_bodyless(method: &Method, headers: &HeaderMap) -> bool {
    let reads = matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS);
    reads && !headers.contains_key(header::TRANSFER_ENCODING)
}

/// The key in the `authorization` header.
pub(crate) fn shown_key(headers: &HeaderMap) -> PresentedKey {
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

/// Whether every reading of a path leads to the same route.
fn check_path(host: &Host, service: &str, method: &Method, path: &str) -> Result<(), &'static str> {
    let plain = path::plain(path)?;
    let snapshot = host.snapshot.load();
    let Some(service) = snapshot.services.id(service) else { return Ok(()) };
    let route = |path: &str| snapshot.route(service, method.as_str(), path);
    let path = path.split('?').next().unwrap_or_default();
    if route(path) != route(&plain) {
        return Err("the path can be read as another route's");
    }
    Ok(())
}

/// A header as text.
fn text(headers: &HeaderMap, name: &http::HeaderName) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

/// Ends a request in the policy exactly once, also when the caller goes away.
pub(crate) struct TicketGuard {
    /// The host.
    pub(crate) host: Arc<Host>,
    /// The request.
    ticket: Ticket,
    /// Whether the request is still open.
    armed: bool,
    /// Whether a byte of the present attempt may have reached the upstream.
    byte_sent: Arc<AtomicBool>,
    /// When the present attempt was sent.
    sent_at: Instant,
}

impl TicketGuard {
    /// Guards an admitted request.
    fn new(host: Arc<Host>, ticket: Ticket) -> Self {
        host.metrics.in_flight.inc();
        let byte_sent = Arc::new(AtomicBool::new(false));
        Self { host, ticket, armed: true, byte_sent, sent_at: Instant::now() }
    }

    /// Reports the end of an attempt.
    pub(crate) fn finish(&mut self, end: AttemptResult) -> FinishOutcome {
        self.armed = false;
        let mut engine = self.host.engine.lock();
        let res = engine.finish_attempt(self.ticket, end, Instant::now());
        self.host.wake_placed(&engine);
        res
    }

    /// Guards the request through a further attempt.
    fn rearm(&mut self) {
        self.armed = true;
        self.byte_sent.store(false, Ordering::Release);
        self.sent_at = Instant::now();
    }

    /// Forgets a request that the policy has closed.
    fn disarm(&mut self) {
        self.armed = false;
    }
}

impl Drop for TicketGuard {
    fn drop(&mut self) {
        self.host.metrics.in_flight.dec();
        if !self.armed {
            return;
        }
        let mut engine = self.host.engine.lock();
        let now = Instant::now();
        if self.byte_sent.load(Ordering::Acquire) {
            let end = AttemptResult {
                outcome: AttemptOutcome::Cancelled,
                status: None,
                byte_sent: true,
                draining: false,
                latency: now.saturating_duration_since(self.sent_at),
            };
            engine.finish_attempt(self.ticket, end, now);
        } else {
            engine.abandon(self.ticket, now);
        }
        self.host.wake_placed(&engine);
    }
}
