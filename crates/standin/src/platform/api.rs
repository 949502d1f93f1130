//! HTTP interface of the platform stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use anyhow::ensure;
use bytes::Bytes;
use http::{HeaderName, Method, StatusCode, header};
use parking_lot::Mutex;
use poem::{Endpoint, Request, Response};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde_json::json;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    connections::ConnectionTracker,
    http_util::{self, error_response, json_response, percent_decode},
    platform::{
        hosts::{HostAnnouncements, HostEntry},
        rate_limiter::CallRateLimiter,
        settings::{CallCounts, OutageMode, PlatformFaults, PlatformLimits, PlatformSettings},
        store::{ChangesAfter, Condition, MAX_RESTORE_AGE, Store},
        wire::{
            CallKind, ListQuery, LostMessage, RestoreRequest, WatchQuery, parse_condition,
            throttled_response, watch_response,
        },
    },
};

/// Longest wait of a watch without `timeout_ms`.
const DEFAULT_WATCH_TIMEOUT_MS: u64 = 30_000;

/// Header with the era of the store, in every response.
const ERA_HEADER: HeaderName = HeaderName::from_static("store-era");

/// Served state of a platform stand-in.
pub(crate) struct Api {
    state: Mutex<State>,
    /// Revision of the store; wakes waiting watches.
    revision: watch::Sender<u64>,
    /// Notifies waiting watches of changed faults and restorations.
    faults_changed: watch::Sender<()>,
    tracker: Arc<ConnectionTracker>,
}

/// Mutable part of an [`Api`].
struct State {
    store: Store,
    /// Number of restorations from a copy, plus 1.
    era: u64,
    hosts: HostAnnouncements,
    /// Limiter of reads, lists and watches.
    read_limiter: CallRateLimiter,
    /// Limiter of writes, deletions and announcements.
    write_limiter: CallRateLimiter,
    limits: PlatformLimits,
    faults: PlatformFaults,
    /// Selects the writes whose response is lost.
    rng: SmallRng,
    call_counts: CallCounts,
}

impl Api {
    /// Creates a platform without any objects or hosts.
    pub(crate) fn new(settings: PlatformSettings, tracker: Arc<ConnectionTracker>) -> Self {
        let now = Instant::now();
        let PlatformSettings { limits, faults } = settings;
        let state = State {
            store: Store::new(limits.kept_changes),
            era: 1,
            hosts: HostAnnouncements::default(),
            read_limiter: CallRateLimiter::new(limits.reads_per_s, now),
            write_limiter: CallRateLimiter::new(limits.writes_per_s, now),
            rng: SmallRng::seed_from_u64(faults.seed),
            limits,
            faults,
            call_counts: CallCounts::default(),
        };
        let state = Mutex::new(state);
        Self {
            state,
            revision: watch::Sender::new(0),
            faults_changed: watch::Sender::new(()),
            tracker,
        }
    }

    /// Replaces all faults, and seeds the choice of lost responses again.
    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        let state = &mut *self.state.lock();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.hosts.set_frozen(faults.host_list_frozen, Instant::now());
        state.faults = faults;
        if state.faults.outage == OutageMode::Dropped {
            self.tracker.drop_all();
        }
        self.faults_changed.send_replace(());
    }

    /// Replaces all limits except the length of the log of changes, which stays as at the start.
    pub(crate) fn set_limits(&self, limits: PlatformLimits) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        state.read_limiter = CallRateLimiter::new(limits.reads_per_s, now);
        state.write_limiter = CallRateLimiter::new(limits.writes_per_s, now);
        state.limits = limits;
    }

    /// Empties the log of changes.
    pub(crate) fn clear_change_log(&self) {
        self.state.lock().store.clear_change_log();
    }

    /// Goes back to the objects, revision and announcements of `age_ms` ago, begins a new era and
    /// ends waiting watches. Returns the new era. Fails for more than [`MAX_RESTORE_AGE`].
    pub(crate) fn restore(&self, age_ms: u64) -> anyhow::Result<u64> {
        let age = Duration::from_millis(age_ms);
        ensure!(age <= MAX_RESTORE_AGE, "the oldest copy is {MAX_RESTORE_AGE:?} old");
        let mut state = self.state.lock();
        let now = Instant::now();
        state.store.restore(age, now);
        state.hosts.restore(age, now);
        state.era += 1;
        let (era, revision) = (state.era, state.store.revision());
        drop(state);
        self.revision.send_replace(revision);
        self.faults_changed.send_replace(());
        Ok(era)
    }

    /// Returns the numbers of calls since the start.
    pub(crate) fn call_counts(&self) -> CallCounts {
        self.state.lock().call_counts.clone()
    }

    /// Counts a call and applies an outage, the rate limits and the delay to it. Fails with the
    /// response to a call that is not served.
    async fn admit_call(&self, kind: CallKind, client: Option<SocketAddr>) -> Result<(), Response> {
        let delay = {
            let state = &mut *self.state.lock();
            *state.call_counts.counter(kind) += 1;
            if state.faults.outage != OutageMode::None {
                state.call_counts.outage_calls += 1;
            }
            match state.faults.outage {
                OutageMode::None => {}
                OutageMode::Unavailable => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    return Err(error_response(status, "the platform is unavailable"));
                }
                OutageMode::Dropped => {
                    self.tracker.connection_token(client).cancel();
                    return Err(StatusCode::SERVICE_UNAVAILABLE.into());
                }
            }
            let now = Instant::now();
            let waiting_watches = state.call_counts.waiting_watches as usize;
            let admitted = match kind {
                CallKind::Write | CallKind::Delete | CallKind::Announce => {
                    state.write_limiter.admit(0, now)
                }
                _ => state.read_limiter.admit(waiting_watches, now),
            };
            if let Err(retry_after) = admitted {
                state.call_counts.throttled += 1;
                return Err(throttled_response(retry_after));
            }
            Duration::from_millis(state.faults.delay_ms)
        };
        if !delay.is_zero() && !matches!(kind, CallKind::Write | CallKind::Delete) {
            sleep(delay).await;
        }
        Ok(())
    }

    /// Serves a read, write or deletion of one object.
    async fn object(self: &Arc<Self>, name: &str, request: &mut Request) -> Response {
        let client = http_util::client_address(request);
        let kind = match *request.method() {
            Method::GET => CallKind::Read,
            Method::PUT => CallKind::Write,
            Method::DELETE => CallKind::Delete,
            _ => return StatusCode::METHOD_NOT_ALLOWED.into(),
        };
        let Some(name) = percent_decode(name).filter(|it| !it.is_empty()) else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "the name of an object is empty or not UTF-8",
            );
        };
        if let Err(response) = self.admit_call(kind, client).await {
            return response;
        }
        if kind == CallKind::Read {
            return self.read(&name);
        }
        let Some(condition) = parse_condition(request) else {
            return error_response(
                StatusCode::BAD_REQUEST,
                "the condition is not a version or `*`",
            );
        };
        let mut value = None;
        if kind == CallKind::Write {
            let limit = self.state.lock().limits.max_value_bytes;
            match request.take_body().into_bytes_limit(limit).await {
                Ok(bytes) => value = Some(bytes),
                Err(poem::error::ReadBodyError::PayloadTooLarge) => {
                    self.state.lock().call_counts.too_large += 1;
                    let message = format!("the value exceeds {limit} bytes");
                    return error_response(StatusCode::PAYLOAD_TOO_LARGE, &message);
                }
                Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        // A received write takes effect even when its client disconnects during the delay.
        let api = Arc::clone(self);
        let write = tokio::spawn(async move { api.write(&name, value, condition, client).await });
        write.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into())
    }

    fn read(&self, name: &str) -> Response {
        let state = &mut *self.state.lock();
        let revision = state.store.revision();
        let Some(object) = state.store.read(name) else {
            let message = "no object has this name";
            return with_era(error_response(StatusCode::NOT_FOUND, message), state.era);
        };
        state.call_counts.bytes_read += object.bytes.len() as u64;
        let res = Response::builder()
            .header(header::ETAG, format!("\"{}\"", object.version))
            .header("kingcupford-revision", revision)
            .content_type("application/octet-stream")
            .body(object.bytes.clone());
        with_era(res, state.era)
    }

    /// Writes an object, or deletes it when `value` is `None`.
    async fn write(
        &self,
        name: &str,
        value: Option<Bytes>,
        condition: Condition,
        client: Option<SocketAddr>,
    ) -> Response {
        let (lost_message, delay) = {
            let state = &mut *self.state.lock();
            (state.next_lost_message(), Duration::from_millis(state.faults.delay_ms))
        };
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if lost_message == LostMessage::Request {
            self.tracker.connection_token(client).cancel();
            return StatusCode::SERVICE_UNAVAILABLE.into();
        }
        let response = {
            let state = &mut *self.state.lock();
            let bytes = value.as_ref().map_or(0, Bytes::len) as u64;
            let res = match state.store.write(name, value, condition, Instant::now()) {
                Ok(version) => {
                    state.call_counts.bytes_written += bytes;
                    self.revision.send_replace(state.store.revision());
                    let etag = format!("\"{version}\"");
                    Response::builder().header(header::ETAG, etag).finish()
                }
                Err(current) => {
                    state.call_counts.conflicts += 1;
                    let message = "the condition does not hold";
                    let body = json!({ "message": message, "current": current });
                    json_response(StatusCode::PRECONDITION_FAILED, &body)
                }
            };
            with_era(res, state.era)
        };
        if lost_message == LostMessage::Response {
            self.tracker.connection_token(client).cancel();
        }
        response
    }

    /// Serves a list of objects with their versions and ages.
    async fn list(&self, request: &Request) -> Response {
        if let Err(response) =
            self.admit_call(CallKind::List, http_util::client_address(request)).await
        {
            return response;
        }
        let Ok(query) = request.params::<ListQuery>() else {
            return error_response(StatusCode::BAD_REQUEST, "the query has no readable prefix");
        };
        let state = self.state.lock();
        let now = Instant::now();
        let objects = state.store.list(&query.prefix).map(|(name, object)| {
            let age_ms = now.duration_since(object.changed_at).as_millis() as u64;
            json!({ "name": name, "version": object.version, "age_ms": age_ms })
        });
        let objects: Vec<_> = objects.collect();
        let body = json!({ "revision": state.store.revision(), "objects": objects });
        with_era(json_response(StatusCode::OK, &body), state.era)
    }

    /// Serves a long poll for changes.
    async fn watch(&self, request: &Request) -> Response {
        if let Err(response) =
            self.admit_call(CallKind::Watch, http_util::client_address(request)).await
        {
            return response;
        }
        let Ok(query) = request.params::<WatchQuery>() else {
            let message = "the query needs `after`, and `prefix` and `timeout_ms` when given";
            return error_response(StatusCode::BAD_REQUEST, message);
        };
        let _waiting = WaitingWatchGuard::new(self);
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults_changed.subscribe();
        let timeout_ms = query.timeout_ms.unwrap_or(DEFAULT_WATCH_TIMEOUT_MS);
        let (first_era, max_watch_ms) = {
            let state = self.state.lock();
            (state.era, state.limits.max_watch_ms)
        };
        let timeout_ms = timeout_ms.min(max_watch_ms);
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        loop {
            revisions.borrow_and_update();
            faults.borrow_and_update();
            let hangs = {
                let state = self.state.lock();
                let (era, revision) = (state.era, state.store.revision());
                let is_restored = era != first_era;
                let hangs = state.faults.watches_hang && !is_restored;
                let response = match state.store.changes_after(&query.prefix, query.after) {
                    _ if hangs => None,
                    ChangesAfter::OutOfRange => {
                        let body = json!({ "message": "list again", "revision": revision });
                        Some(json_response(StatusCode::GONE, &body))
                    }
                    ChangesAfter::Changed(changes) => Some(watch_response(revision, &changes)),
                    ChangesAfter::None if is_restored || Instant::now() >= deadline => {
                        Some(watch_response(revision, &[]))
                    }
                    ChangesAfter::None => None,
                };
                if let Some(it) = response {
                    return with_era(it, era);
                }
                hangs
            };
            if hangs {
                // The result is always `Ok`: the sender lives as long as the stand-in.
                let _ = faults.changed().await;
                continue;
            }
            let changed = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = faults.changed() => {}
                }
            };
            // After the deadline, an iteration without changes returns an empty response.
            let _ = timeout_at(deadline, changed).await;
        }
    }

    /// Serves the host list.
    async fn hosts(&self, request: &Request) -> Response {
        if let Err(response) =
            self.admit_call(CallKind::HostList, http_util::client_address(request)).await
        {
            return response;
        }
        let state = &mut *self.state.lock();
        let lag =
            Duration::from_millis(state.faults.host_lag_ms.unwrap_or(state.limits.host_lag_ms));
        let expiry = Duration::from_millis(state.limits.host_expiry_ms);
        let hosts = state.hosts.list(Instant::now(), lag, expiry);
        with_era(json_response(StatusCode::OK, &json!({ "hosts": hosts })), state.era)
    }

    /// Serves the announcement of a host.
    async fn announce(&self, name: &str, request: &mut Request) -> Response {
        if let Err(response) =
            self.admit_call(CallKind::Announce, http_util::client_address(request)).await
        {
            return response;
        }
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let entry: HostEntry = match serde_json::from_slice(&body) {
            Ok(it) => it,
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if percent_decode(name).as_deref() != Some(&entry.name) {
            return error_response(
                StatusCode::BAD_REQUEST,
                "the path names another host than the body",
            );
        }
        let state = &mut *self.state.lock();
        state.hosts.record(entry, Instant::now());
        with_era(StatusCode::OK.into(), state.era)
    }

    /// Serves the endpoints with which tests set faults and limits and read counters.
    async fn admin(&self, path: &str, request: &mut Request) -> Response {
        let is_put = request.method() == Method::PUT;
        match path {
            "faults" | "limits" if is_put => {
                let body = request.take_body().into_bytes().await.unwrap_or_default();
                let result = match path {
                    "faults" => serde_json::from_slice(&body).map(|it| self.set_faults(it)),
                    _ => serde_json::from_slice(&body).map(|it| self.set_limits(it)),
                };
                match result {
                    Ok(()) => StatusCode::OK.into(),
                    Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            "restore" if is_put => {
                let body = request.take_body().into_bytes().await.unwrap_or_default();
                let request = serde_json::from_slice::<RestoreRequest>(&body);
                match request.map_err(anyhow::Error::from).and_then(|it| self.restore(it.age_ms)) {
                    Ok(era) => json_response(StatusCode::OK, &json!({ "era": era })),
                    Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            "forget-changes" if is_put => {
                self.clear_change_log();
                StatusCode::OK.into()
            }
            "calls" => json_response(StatusCode::OK, &self.call_counts()),
            "state" => {
                let state = self.state.lock();
                let objects: Vec<_> = state
                    .store
                    .list("")
                    .map(|(name, it)| {
                        json!({ "name": name, "version": it.version, "bytes": it.bytes.len() })
                    })
                    .collect();
                let body = json!({
                    "revision": state.store.revision(),
                    "era": state.era,
                    "objects": objects,
                    "faults": state.faults,
                    "limits": state.limits,
                    "connections": self.tracker.open_connections(),
                    "opened_connections": self.tracker.counts().opened,
                });
                json_response(StatusCode::OK, &body)
            }
            _ => StatusCode::NOT_FOUND.into(),
        }
    }
}

/// HTTP endpoint of an [`Api`].
pub(crate) struct ApiEndpoint(pub(crate) Arc<Api>);

impl Endpoint for ApiEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let api = &self.0;
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/admin/") {
            let res = api.admin(rest, &mut request).await;
            return Ok(with_era(res, api.state.lock().era));
        }
        let connection_token = api.tracker.connection_token(http_util::client_address(&request));
        let served = async {
            match path.as_str() {
                "/v1/objects" => api.list(&request).await,
                "/v1/watch" => api.watch(&request).await,
                "/v1/hosts" => api.hosts(&request).await,
                _ => {
                    if let Some(name) = path.strip_prefix("/v1/objects/") {
                        api.object(name, &mut request).await
                    } else if let Some(name) = path.strip_prefix("/v1/hosts/") {
                        api.announce(name, &mut request).await
                    } else {
                        StatusCode::NOT_FOUND.into()
                    }
                }
            }
        };
        // The end of a connection ends its request, except for a write that was received. The 503
        // response is never sent.
        tokio::select! {
            response = served => {
                let has_era = response.headers().contains_key(ERA_HEADER);
                Ok(if has_era { response } else { with_era(response, api.state.lock().era) })
            }
            () = connection_token.cancelled() => Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
        }
    }
}

/// Adds the era in which a response was determined.
fn with_era(mut response: Response, era: u64) -> Response {
    response.headers_mut().insert(ERA_HEADER, era.into());
    response
}

impl State {
    /// Returns which message of the next write is lost, and counts a lost response.
    fn next_lost_message(&mut self) -> LostMessage {
        let faults = &mut self.faults;
        if faults.lose_next_writes > 0 {
            faults.lose_next_writes -= 1;
            return LostMessage::Request;
        }
        let fraction = faults.lose_write_answer_fraction.clamp(0.0, 1.0);
        if faults.lose_next_write_answers > 0 {
            faults.lose_next_write_answers -= 1;
        } else if fraction == 0.0 || !self.rng.random_bool(fraction) {
            return LostMessage::None;
        }
        self.call_counts.lost_answers += 1;
        LostMessage::Response
    }
}

/// Counts a watch as waiting until it is dropped.
struct WaitingWatchGuard<'a> {
    api: &'a Api,
}

impl<'a> WaitingWatchGuard<'a> {
    fn new(api: &'a Api) -> Self {
        api.state.lock().call_counts.waiting_watches += 1;
        Self { api }
    }
}

impl Drop for WaitingWatchGuard<'_> {
    fn drop(&mut self) {
        self.api.state.lock().call_counts.waiting_watches -= 1;
    }
}
