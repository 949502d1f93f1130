//! The HTTP interface of the upstream stand-in.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::StreamExt as _;
use http::{HeaderValue, Method, StatusCode};
use parking_lot::Mutex;
use poem::{Body, Endpoint, Request, Response};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde::Deserialize;
use serde_json::json;
use sha2::{Digest as _, Sha256};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Instant, sleep, sleep_until, timeout_at},
};

use crate::{
    gate::Gate,
    http_parts::{self, json, refusal},
    upstream::{
        execution::{Execution, Queued, not_run, pattern, set_outcome},
        executions::{ExecutionRecord, ExecutionState, Executions},
        reports::{Reports, Sample},
        settings::{UpstreamCounts, UpstreamFaults, UpstreamSettings},
    },
};

/// Time for a request that names no deadline.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3600);

/// The served state of an upstream stand-in.
pub(crate) struct Api {
    /// How it was started.
    pub(super) settings: UpstreamSettings,
    /// Time of the start.
    pub(super) started_at: Instant,
    /// Free slots.
    pub(super) slots: Arc<Semaphore>,
    /// Everything that requests change.
    pub(super) state: Mutex<State>,
    /// The connections.
    pub(super) gate: Arc<Gate>,
}

/// The changing part of an [`Api`].
pub(super) struct State {
    /// Settable faults.
    pub(super) faults: UpstreamFaults,
    /// Time at which they were set.
    pub(super) faults_set_at: Instant,
    /// Start of the drain.
    pub(super) draining_since: Option<Instant>,
    /// Picks service times and failures.
    pub(super) rng: SmallRng,
    /// Requests that wait for a slot.
    pub(super) queued: usize,
    /// The log.
    pub(super) executions: Executions,
    /// Past states.
    pub(super) reports: Reports,
    /// Counters.
    pub(super) counts: UpstreamCounts,
}

/// Query of the log of executions.
#[derive(Debug, Deserialize)]
struct ExecutionsQuery {
    /// The last number that the client knows.
    #[serde(default)]
    after: u64,
}

/// A request's body after it was read.
struct ReadBody {
    /// Its length.
    length: u64,
    /// Its SHA-256 in hexadecimal.
    sha256: String,
}

/// Why a body was not read to its end.
enum BodyFault {
    /// The connection broke.
    Broken,
    /// The crash marker occurred.
    Marker,
}

impl Api {
    /// An idle upstream.
    pub(crate) fn new(settings: UpstreamSettings, gate: Arc<Gate>) -> Self {
        let now = Instant::now();
        let state = State {
            faults: settings.faults.clone(),
            faults_set_at: now,
            draining_since: settings.faults.draining.then_some(now),
            rng: SmallRng::seed_from_u64(settings.seed),
            queued: 0,
            executions: Executions::default(),
            reports: Reports::new(now),
            counts: UpstreamCounts::default(),
        };
        let slots = Arc::new(Semaphore::new(settings.slots));
        Self { settings, started_at: now, slots, state: Mutex::new(state), gate }
    }

    /// Replaces all faults.
    pub(crate) fn set_faults(&self, faults: UpstreamFaults) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        state.draining_since = faults.draining.then(|| state.draining_since.unwrap_or(now));
        state.faults_set_at = now;
        state.faults = faults;
        state.report(now);
    }

    /// Drops all connections and stops listening for a time.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.state.lock().counts.crashes += 1;
        self.gate.crash(downtime);
    }

    /// The log of executions.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.lock().executions.after(0)
    }

    /// Counts since the start.
    pub(crate) fn counts(&self) -> UpstreamCounts {
        let connections = self.gate.counts();
        UpstreamCounts {
            connections_opened: connections.opened,
            connections_refused: connections.refused,
            ..self.state.lock().counts.clone()
        }
    }

    /// Runs a request, or refuses it before it starts.
    async fn run(self: &Arc<Self>, request: &mut Request) -> Response {
        let deadline_ms = http_parts::header(request, "kingcupford-deadline-ms");
        let left = deadline_ms.and_then(|it| it.parse().ok()).map(Duration::from_millis);
        let deadline = Instant::now() + left.unwrap_or(DEFAULT_DEADLINE);
        let slot = match self.admit(deadline).await {
            Ok(it) => it,
            Err(response) => return response,
        };
        let mut execution = Execution::start(Arc::clone(self), slot, request);
        let path = request.uri().path().to_owned();
        let marker = self.state.lock().faults.crash_marker.clone();
        if marker.as_deref().is_some_and(|it| !it.is_empty() && path.contains(it)) {
            return execution.crash();
        }
        let body = request.take_body();
        let work = async {
            let body = self.read_body(body, marker.as_deref().unwrap_or_default()).await?;
            let (time, fails) = self.draw_service(&path);
            sleep(time).await;
            Ok((body, fails))
        };
        let (body, fails) = match timeout_at(deadline, work).await {
            Ok(Ok(it)) => it,
            Ok(Err(BodyFault::Marker)) => return execution.crash(),
            Ok(Err(BodyFault::Broken)) => {
                // The connection is gone, so nobody reads this response.
                return refusal(StatusCode::BAD_REQUEST, "the body ended early");
            }
            Err(_) => {
                execution.end(ExecutionState::DeadlineExceeded);
                let message = "the deadline passed while the request ran";
                let mut res = refusal(StatusCode::GATEWAY_TIMEOUT, message);
                set_outcome(&mut res, "unknown");
                return res;
            }
        };
        if fails {
            execution.end(ExecutionState::Failed);
            let mut res = refusal(StatusCode::INTERNAL_SERVER_ERROR, "the version is faulty");
            set_outcome(&mut res, "executed");
            return res;
        }
        let length = path.strip_prefix("/bytes/").and_then(|it| it.parse().ok());
        let mut res = match length {
            Some(length) => pattern(length, execution),
            None => {
                let report = self.report_of(request, &execution, &body);
                execution.end(ExecutionState::Executed);
                json(StatusCode::OK, &report)
            }
        };
        set_outcome(&mut res, "executed");
        res
    }

    /// Waits for a slot, or refuses the request.
    async fn admit(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Response> {
        let queued = {
            let state = &mut *self.state.lock();
            let now = Instant::now();
            if state.refuses_as_drained(self.settings.drain_grace_ms, now) {
                state.counts.refused_draining += 1;
                return Err(not_run("the instance drains"));
            }
            if deadline <= now {
                state.counts.refused_late += 1;
                return Err(not_run("the deadline has passed"));
            }
            if state.faults.shedding {
                state.counts.shed += 1;
                return Err(not_run("the instance sheds load"));
            }
            if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
                return Ok(slot);
            }
            if state.queued >= self.settings.queue {
                state.counts.shed += 1;
                return Err(not_run("all slots are taken"));
            }
            state.queued += 1;
            state.report(now);
            Queued { api: self }
        };
        let slot = timeout_at(deadline, Arc::clone(&self.slots).acquire_owned()).await;
        drop(queued);
        match slot {
            Ok(slot) => Ok(slot.expect("the slots are never closed")),
            Err(_) => {
                self.state.lock().counts.refused_late += 1;
                Err(not_run("the deadline passed while the request waited"))
            }
        }
    }

    /// Reads a body to its end without keeping it.
    async fn read_body(&self, body: Body, marker: &str) -> Result<ReadBody, BodyFault> {
        let started_at = Instant::now();
        let mut parts = std::pin::pin!(body.into_bytes_stream());
        let mut hash = Sha256::new();
        let mut length = 0;
        // The end of the last part, in which a marker may begin.
        let mut tail = Vec::new();
        while let Some(part) = parts.next().await {
            let part: Bytes = part.map_err(|_| BodyFault::Broken)?;
            hash.update(&part);
            length += part.len() as u64;
            if !marker.is_empty() {
                tail.extend_from_slice(&part);
                if tail.windows(marker.len()).any(|it| it == marker.as_bytes()) {
                    return Err(BodyFault::Marker);
                }
                tail.drain(..tail.len().saturating_sub(marker.len() - 1));
            }
            if self.settings.upload_bytes_per_s > 0 {
                let taken = length as f64 / self.settings.upload_bytes_per_s as f64;
                sleep_until(started_at + Duration::from_secs_f64(taken)).await;
            }
        }
        let sha256 = hash.finalize().iter().map(|it| format!("{it:02x}")).collect();
        Ok(ReadBody { length, sha256 })
    }

    /// Draws the service time of a request and whether it fails.
    fn draw_service(&self, path: &str) -> (Duration, bool) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        let settings = &self.settings;
        let sigma = settings.service_time_sigma;
        let mut time_ms = settings.service_time_ms;
        if sigma > 0.0 {
            time_ms *= (sigma * normal(&mut state.rng) - sigma * sigma / 2.0).exp();
        }
        let age = now.duration_since(self.started_at);
        let cold = age < Duration::from_millis(settings.cold_ms)
            || state.counts.started <= settings.cold_requests;
        if cold {
            time_ms *= settings.cold_factor;
        }
        let set_for = now.duration_since(state.faults_set_at);
        let mut fails = false;
        for fault in &state.faults.version {
            let shows = set_for >= Duration::from_millis(fault.after_ms)
                && state.counts.in_flight as usize >= fault.min_in_flight
                && path.starts_with(&fault.path_prefix);
            if shows {
                time_ms += fault.added_latency_ms;
                fails |= state.rng.random_bool(fault.failure_rate.clamp(0.0, 1.0));
            }
        }
        (Duration::from_secs_f64(time_ms.max(0.0) / 1000.0), fails)
    }

    /// What a caller is told about its request.
    fn report_of(
        &self,
        request: &Request,
        execution: &Execution,
        body: &ReadBody,
    ) -> serde_json::Value {
        let headers: Vec<_> = request
            .headers()
            .iter()
            .map(|(name, value)| (name.as_str(), String::from_utf8_lossy(value.as_bytes())))
            .collect();
        json!({
            "instance": self.settings.name,
            "version": self.settings.version,
            "sequence": execution.sequence,
            "method": request.method().as_str(),
            "path": request.uri().to_string(),
            "headers": headers,
            "tenant": http_parts::header(request, "kingcupford-tenant"),
            "tag": http_parts::header(request, "x-request-tag"),
            "body_bytes": body.length,
            "body_sha256": body.sha256,
        })
    }

    /// The state that the report endpoints show.
    fn shown(&self) -> Sample {
        let state = self.state.lock();
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        let mut sample = state.reports.sample(Instant::now(), lag);
        let scale = |it: usize| (it as f64 * state.faults.report_factor.max(0.0)).round() as usize;
        sample.in_flight = scale(sample.in_flight);
        sample.queued = scale(sample.queued);
        sample.healthy = state.faults.report_healthy.unwrap_or(sample.healthy);
        sample
    }

    /// Answers `/health`.
    fn health(&self) -> Response {
        let healthy = self.shown().healthy;
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json(status, &json!({ "healthy": healthy, "name": self.settings.name }))
    }

    /// Answers `/load`.
    fn load(&self) -> Response {
        let shown = self.shown();
        let body = json!({
            "name": self.settings.name,
            "version": self.settings.version,
            "slots": self.settings.slots,
            "in_flight": shown.in_flight,
            "queued": shown.queued,
            "draining": !shown.healthy,
        });
        json(StatusCode::OK, &body)
    }

    /// Serves the endpoints by which tests set faults and read counters.
    async fn admin(&self, path: &str, request: &mut Request) -> Response {
        match path {
            "faults" if request.method() == Method::PUT => {
                let body = request.take_body().into_bytes().await.unwrap_or_default();
                match serde_json::from_slice(&body) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        StatusCode::OK.into()
                    }
                    Err(error) => refusal(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            "executions" => {
                let after = request.params::<ExecutionsQuery>().map_or(0, |it| it.after);
                json(StatusCode::OK, &self.state.lock().executions.after(after))
            }
            "state" => {
                let body = json!({
                    "settings": self.settings,
                    "faults": self.state.lock().faults,
                    "counts": self.counts(),
                    "connections": self.gate.open_connections(),
                });
                json(StatusCode::OK, &body)
            }
            _ => StatusCode::NOT_FOUND.into(),
        }
    }
}

impl State {
    /// Whether a drain has begun so long ago that new work is refused.
    fn refuses_as_drained(&self, grace_ms: u64, now: Instant) -> bool {
        let grace = Duration::from_millis(grace_ms);
        self.draining_since.is_some_and(|it| now.duration_since(it) >= grace)
    }

    /// Records the state for lagging reports.
    pub(super) fn report(&mut self, now: Instant) {
        let sample = Sample {
            in_flight: self.counts.in_flight as usize,
            queued: self.queued,
            healthy: self.draining_since.is_none(),
        };
        self.reports.record(sample, now);
    }
}

/// Serves an [`Api`] to requests.
pub(crate) struct ApiEndpoint(
    /// The served state.
    pub(crate) Arc<Api>,
);

impl Endpoint for ApiEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let api = &self.0;
        let path = request.uri().path().to_owned();
        let dropped = api.gate.token(http_parts::peer(&request));
        let served = async {
            match path.as_str() {
                "/health" => api.health(),
                "/load" => api.load(),
                _ => match path.strip_prefix("/admin/") {
                    Some(rest) => api.admin(rest, &mut request).await,
                    None => api.run(&mut request).await,
                },
            }
        };
        // A dropped connection stops its request; the response below is never sent.
        let mut response = tokio::select! {
            biased;
            () = dropped.cancelled() => return Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
            response = served => response,
        };
        if api.state.lock().draining_since.is_some() {
            let draining = HeaderValue::from_static("true");
            response.headers_mut().insert("kingcupford-draining", draining);
        }
        Ok(response)
    }
}

/// A number of the standard normal distribution, by the method of Box and Muller.
fn normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
