//! HTTP interface of the upstream stand-in.

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
    connections::ConnectionTracker,
    http_util::{self, error_response, json_response},
    upstream::{
        execution::{Execution, QueuedGuard, not_run_response, pattern_response, set_outcome},
        execution_log::{ExecutionLog, ExecutionRecord, ExecutionState},
        settings::{UpstreamCounts, UpstreamFaults, UpstreamSettings},
        state_history::{StateHistory, StateSample},
    },
};

/// Time limit of a request without the header `kingcupford-deadline-ms`.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3600);

/// Served state of an upstream stand-in.
pub(crate) struct Api {
    pub(super) settings: UpstreamSettings,
    pub(super) started_at: Instant,
    /// Free slots.
    pub(super) slots: Arc<Semaphore>,
    pub(super) state: Mutex<State>,
    pub(super) tracker: Arc<ConnectionTracker>,
}

/// Mutable part of an [`Api`].
pub(super) struct State {
    pub(super) faults: UpstreamFaults,
    pub(super) faults_set_at: Instant,
    pub(super) draining_since: Option<Instant>,
    /// Source of random service times and failures.
    pub(super) rng: SmallRng,
    /// Number of requests that wait for a slot.
    pub(super) queued: usize,
    pub(super) execution_log: ExecutionLog,
    pub(super) history: StateHistory,
    pub(super) counts: UpstreamCounts,
}

/// Query of the execution log.
#[derive(Debug, Deserialize)]
struct ExecutionsQuery {
    /// Last sequence number known to the client.
    #[serde(default)]
    after: u64,
}

/// Length and hash of a request's body.
struct BodyDigest {
    length_bytes: u64,
    /// SHA-256 in hexadecimal.
    sha256: String,
}

/// Reason why a body was not read to its end.
enum BodyError {
    /// The connection ended.
    Disconnected,
    /// The body contains the crash marker.
    CrashMarker,
}

impl Api {
    /// Creates an idle instance.
    pub(crate) fn new(settings: UpstreamSettings, tracker: Arc<ConnectionTracker>) -> Self {
        let now = Instant::now();
        let state = State {
            faults: settings.faults.clone(),
            faults_set_at: now,
            draining_since: settings.faults.draining.then_some(now),
            rng: SmallRng::seed_from_u64(settings.seed),
            queued: 0,
            execution_log: ExecutionLog::default(),
            history: StateHistory::new(now),
            counts: UpstreamCounts::default(),
        };
        let slots = Arc::new(Semaphore::new(settings.slots));
        Self { settings, started_at: now, slots, state: Mutex::new(state), tracker }
    }

    /// Replaces all faults. A drain that has begun keeps its start when `draining` stays set.
    pub(crate) fn set_faults(&self, faults: UpstreamFaults) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        state.draining_since = faults.draining.then(|| state.draining_since.unwrap_or(now));
        state.faults_set_at = now;
        state.faults = faults;
        state.record_sample(now);
    }

    /// Counts a crash, drops all connections and stops listening for `downtime`.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.state.lock().counts.crashes += 1;
        self.tracker.crash(downtime);
    }

    /// Returns all records of the execution log, oldest first.
    pub(crate) fn executions(&self) -> Vec<ExecutionRecord> {
        self.state.lock().execution_log.after(0)
    }

    /// Returns the numbers of requests and connections since the start.
    pub(crate) fn counts(&self) -> UpstreamCounts {
        let connections = self.tracker.counts();
        UpstreamCounts {
            connections_opened: connections.opened,
            connections_refused: connections.refused,
            ..self.state.lock().counts.clone()
        }
    }

    /// Runs a request and returns its response, or refuses it before it starts.
    async fn run(self: &Arc<Self>, request: &mut Request) -> Response {
        let deadline_ms = http_util::header(request, "kingcupford-deadline-ms");
        let time_left = deadline_ms.and_then(|it| it.parse().ok()).map(Duration::from_millis);
        let deadline = Instant::now() + time_left.unwrap_or(DEFAULT_DEADLINE);
        let slot = match self.admit(deadline).await {
            Ok(it) => it,
            Err(response) => return response,
        };
        let mut execution = Execution::start(Arc::clone(self), slot, request);
        let path = request.uri().path().to_owned();
        let crash_marker = self.state.lock().faults.crash_marker.clone();
        if crash_marker.as_deref().is_some_and(|it| !it.is_empty() && path.contains(it)) {
            return execution.crash();
        }
        let body = request.take_body();
        let work = async {
            let body = self.read_body(body, crash_marker.as_deref().unwrap_or_default()).await?;
            let (service_time, fails) = self.draw_service(&path);
            sleep(service_time).await;
            Ok((body, fails))
        };
        let (body, fails) = match timeout_at(deadline, work).await {
            Ok(Ok(it)) => it,
            Ok(Err(BodyError::CrashMarker)) => return execution.crash(),
            Ok(Err(BodyError::Disconnected)) => {
                // The connection has ended, so this response is never sent.
                return error_response(StatusCode::BAD_REQUEST, "the body ended early");
            }
            Err(_) => {
                execution.end(ExecutionState::DeadlineExceeded);
                let message = "the deadline passed while the request ran";
                let mut res = error_response(StatusCode::GATEWAY_TIMEOUT, message);
                set_outcome(&mut res, "unknown");
                return res;
            }
        };
        if fails {
            execution.end(ExecutionState::Failed);
            let mut res =
                error_response(StatusCode::INTERNAL_SERVER_ERROR, "the version is faulty");
            set_outcome(&mut res, "executed");
            return res;
        }
        let streamed_bytes = path.strip_prefix("/bytes/").and_then(|it| it.parse().ok());
        let mut res = match streamed_bytes {
            Some(length) => pattern_response(length, execution),
            None => {
                let report = self.request_report(request, &execution, &body);
                execution.end(ExecutionState::Executed);
                json_response(StatusCode::OK, &report)
            }
        };
        set_outcome(&mut res, "executed");
        res
    }

    /// Waits for a slot. Fails with the response to a refused request.
    async fn admit(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Response> {
        let queued_guard = {
            let state = &mut *self.state.lock();
            let now = Instant::now();
            if state.drain_grace_ended(self.settings.drain_grace_ms, now) {
                state.counts.refused_draining += 1;
                return Err(not_run_response("the instance drains"));
            }
            if deadline <= now {
                state.counts.refused_late += 1;
                return Err(not_run_response("the deadline has passed"));
            }
            if state.faults.shedding {
                state.counts.shed += 1;
                return Err(not_run_response("the instance sheds load"));
            }
            if let Ok(slot) = Arc::clone(&self.slots).try_acquire_owned() {
                return Ok(slot);
            }
            if state.queued >= self.settings.queue {
                state.counts.shed += 1;
                return Err(not_run_response("all slots are taken"));
            }
            state.queued += 1;
            state.record_sample(now);
            QueuedGuard { api: self }
        };
        let slot = timeout_at(deadline, Arc::clone(&self.slots).acquire_owned()).await;
        drop(queued_guard);
        match slot {
            Ok(slot) => Ok(slot.expect("the slots are never closed")),
            Err(_) => {
                self.state.lock().counts.refused_late += 1;
                Err(not_run_response("the deadline passed while the request waited"))
            }
        }
    }

    /// Reads a body to its end at the configured speed, without storing it.
    async fn read_body(&self, body: Body, crash_marker: &str) -> Result<BodyDigest, BodyError> {
        let started_at = Instant::now();
        let mut chunks = std::pin::pin!(body.into_bytes_stream());
        let mut hash = Sha256::new();
        let mut length_bytes = 0;
        // End of the bytes read so far, for a marker that spans two chunks.
        let mut tail = Vec::new();
        while let Some(chunk) = chunks.next().await {
            let chunk: Bytes = chunk.map_err(|_| BodyError::Disconnected)?;
            hash.update(&chunk);
            length_bytes += chunk.len() as u64;
            if !crash_marker.is_empty() {
                tail.extend_from_slice(&chunk);
                if tail.windows(crash_marker.len()).any(|it| it == crash_marker.as_bytes()) {
                    return Err(BodyError::CrashMarker);
                }
                tail.drain(..tail.len().saturating_sub(crash_marker.len() - 1));
            }
            if self.settings.upload_bytes_per_s > 0 {
                let due_s = length_bytes as f64 / self.settings.upload_bytes_per_s as f64;
                sleep_until(started_at + Duration::from_secs_f64(due_s)).await;
            }
        }
        let sha256 = hash.finalize().iter().map(|it| format!("{it:02x}")).collect();
        Ok(BodyDigest { length_bytes, sha256 })
    }

    /// Draws the service time of a request, and whether the request fails.
    fn draw_service(&self, path: &str) -> (Duration, bool) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        let settings = &self.settings;
        let sigma = settings.service_time_sigma;
        let mut service_time_ms = settings.service_time_ms;
        if sigma > 0.0 {
            service_time_ms *=
                (sigma * standard_normal(&mut state.rng) - sigma * sigma / 2.0).exp();
        }
        let uptime = now.duration_since(self.started_at);
        let is_cold = uptime < Duration::from_millis(settings.cold_ms)
            || state.counts.started <= settings.cold_requests;
        if is_cold {
            service_time_ms *= settings.cold_factor;
        }
        let faults_age = now.duration_since(state.faults_set_at);
        let mut fails = false;
        for fault in &state.faults.version {
            let is_active = faults_age >= Duration::from_millis(fault.after_ms)
                && state.counts.in_flight as usize >= fault.min_in_flight
                && path.starts_with(&fault.path_prefix);
            if is_active {
                service_time_ms += fault.added_latency_ms;
                fails |= state.rng.random_bool(fault.failure_rate.clamp(0.0, 1.0));
            }
        }
        (Duration::from_secs_f64(service_time_ms.max(0.0) / 1000.0), fails)
    }

    /// Describes the request as the instance received it, for the response.
    fn request_report(
        &self,
        request: &Request,
        execution: &Execution,
        body: &BodyDigest,
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
            "tenant": http_util::header(request, "kingcupford-tenant"),
            "tag": http_util::header(request, "x-request-tag"),
            "body_bytes": body.length_bytes,
            "body_sha256": body.sha256,
        })
    }

    /// Returns the state that `/health` and `/load` report.
    fn reported_sample(&self) -> StateSample {
        let state = self.state.lock();
        let lag = Duration::from_millis(state.faults.report_lag_ms);
        let mut sample = state.history.sample_at_lag(Instant::now(), lag);
        let scale = |it: usize| (it as f64 * state.faults.report_factor.max(0.0)).round() as usize;
        sample.in_flight = scale(sample.in_flight);
        sample.queued = scale(sample.queued);
        sample.healthy = state.faults.report_healthy.unwrap_or(sample.healthy);
        sample
    }

    /// Serves `/health`.
    fn health(&self) -> Response {
        let healthy = self.reported_sample().healthy;
        let status = if healthy { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        json_response(status, &json!({ "healthy": healthy, "name": self.settings.name }))
    }

    /// Serves `/load`.
    fn load(&self) -> Response {
        let sample = self.reported_sample();
        let body = json!({
            "name": self.settings.name,
            "version": self.settings.version,
            "slots": self.settings.slots,
            "in_flight": sample.in_flight,
            "queued": sample.queued,
            "draining": !sample.healthy,
        });
        json_response(StatusCode::OK, &body)
    }

    /// Serves the endpoints with which tests set faults and read counters and the execution log.
    async fn admin(&self, path: &str, request: &mut Request) -> Response {
        match path {
            "faults" if request.method() == Method::PUT => {
                let body = request.take_body().into_bytes().await.unwrap_or_default();
                match serde_json::from_slice(&body) {
                    Ok(faults) => {
                        self.set_faults(faults);
                        StatusCode::OK.into()
                    }
                    Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            "executions" => {
                let after = request.params::<ExecutionsQuery>().map_or(0, |it| it.after);
                json_response(StatusCode::OK, &self.state.lock().execution_log.after(after))
            }
            "state" => {
                let body = json!({
                    "settings": self.settings,
                    "faults": self.state.lock().faults,
                    "counts": self.counts(),
                    "connections": self.tracker.open_connections(),
                });
                json_response(StatusCode::OK, &body)
            }
            _ => StatusCode::NOT_FOUND.into(),
        }
    }
}

impl State {
    /// Whether the grace time of a drain has ended, so that new work is refused.
    fn drain_grace_ended(&self, grace_ms: u64, now: Instant) -> bool {
        let grace = Duration::from_millis(grace_ms);
        self.draining_since.is_some_and(|it| now.duration_since(it) >= grace)
    }

    /// Records the current state for lagging reports.
    pub(super) fn record_sample(&mut self, now: Instant) {
        let sample = StateSample {
            in_flight: self.counts.in_flight as usize,
            queued: self.queued,
            healthy: self.draining_since.is_none(),
        };
        self.history.record(sample, now);
    }
}

/// HTTP endpoint of an [`Api`].
pub(crate) struct ApiEndpoint(pub(crate) Arc<Api>);

impl Endpoint for ApiEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let api = &self.0;
        let path = request.uri().path().to_owned();
        let attempt_id = request.headers().get("kingcupford-attempt-id").cloned();
        let connection_token = api.tracker.connection_token(http_util::client_address(&request));
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
        // The end of a connection stops its request. The 503 response is never sent.
        let mut response = tokio::select! {
            biased;
            () = connection_token.cancelled() => return Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
            response = served => response,
        };
        if let Some(it) = attempt_id {
            response.headers_mut().insert("kingcupford-attempt-id", it);
        }
        if api.state.lock().draining_since.is_some() {
            let value = HeaderValue::from_static("true");
            response.headers_mut().insert("kingcupford-draining", value);
        }
        Ok(response)
    }
}

/// Draws a number from the standard normal distribution with the Box-Muller transform.
fn standard_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
