//! The HTTP interface of the platform stand-in.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, header};
use parking_lot::Mutex;
use poem::{Endpoint, Request, Response};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use serde_json::json;
use tokio::{
    sync::watch,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    gate::Gate,
    http_parts::{self, json, percent_decode, refusal},
    platform::{
        hosts::{HostEntry, Hosts},
        limit::CallLimit,
        settings::{CallCounts, OutageMode, PlatformFaults, PlatformLimits, PlatformSettings},
        store::{Condition, Seen, Store},
        wire::{Fate, Kind, ListQuery, WatchQuery, condition, throttled, watched},
    },
};

/// Wait of a watch that names none.
const DEFAULT_WATCH_MS: u64 = 30_000;

/// The served state of a platform stand-in.
pub(crate) struct Api {
    /// Everything that calls change.
    state: Mutex<State>,
    /// The store's revision, for waiting watches.
    revision: watch::Sender<u64>,
    /// Changes of the faults, for hanging watches.
    faults_changed: watch::Sender<()>,
    /// The connections.
    gate: Arc<Gate>,
}

/// The changing part of an [`Api`].
struct State {
    /// Objects.
    store: Store,
    /// Hosts.
    hosts: Hosts,
    /// Limit on reads, lists and watches.
    read_limit: CallLimit,
    /// Limit on writes, deletions and announcements.
    write_limit: CallLimit,
    /// Settable limits.
    limits: PlatformLimits,
    /// Settable faults.
    faults: PlatformFaults,
    /// Picks lost responses.
    rng: SmallRng,
    /// Counters.
    calls: CallCounts,
}

impl Api {
    /// An empty platform.
    pub(crate) fn new(settings: PlatformSettings, gate: Arc<Gate>) -> Self {
        let now = Instant::now();
        let PlatformSettings { limits, faults } = settings;
        let state = State {
            store: Store::new(limits.kept_changes),
            hosts: Hosts::default(),
            read_limit: CallLimit::new(limits.reads_per_s, now),
            write_limit: CallLimit::new(limits.writes_per_s, now),
            rng: SmallRng::seed_from_u64(faults.seed),
            limits,
            faults,
            calls: CallCounts::default(),
        };
        let state = Mutex::new(state);
        Self {
            state,
            revision: watch::Sender::new(0),
            faults_changed: watch::Sender::new(()),
            gate,
        }
    }

    /// Replaces all faults.
    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        let state = &mut *self.state.lock();
        state.rng = SmallRng::seed_from_u64(faults.seed);
        state.hosts.freeze(faults.host_list_frozen, Instant::now());
        state.faults = faults;
        if state.faults.outage == OutageMode::Dropped {
            self.gate.drop_all();
        }
        self.faults_changed.send_replace(());
    }

    /// Replaces all limits; the log of changes keeps its length.
    pub(crate) fn set_limits(&self, limits: PlatformLimits) {
        let state = &mut *self.state.lock();
        let now = Instant::now();
        state.read_limit = CallLimit::new(limits.reads_per_s, now);
        state.write_limit = CallLimit::new(limits.writes_per_s, now);
        state.limits = limits;
    }

    /// Forgets the log of changes.
    pub(crate) fn clear_change_log(&self) {
        self.state.lock().store.clear_change_log();
    }

    /// Calls since the start.
    pub(crate) fn call_counts(&self) -> CallCounts {
        self.state.lock().calls.clone()
    }

    /// Counts a call and applies outages, limits and delay before it is served.
    async fn enter(&self, kind: Kind, peer: Option<SocketAddr>) -> Result<(), Response> {
        let delay = {
            let state = &mut *self.state.lock();
            *state.calls.counter(kind) += 1;
            if state.faults.outage != OutageMode::None {
                state.calls.outage_calls += 1;
            }
            match state.faults.outage {
                OutageMode::None => {}
                OutageMode::Unavailable => {
                    let status = StatusCode::SERVICE_UNAVAILABLE;
                    return Err(refusal(status, "the platform is unavailable"));
                }
                OutageMode::Dropped => {
                    self.gate.token(peer).cancel();
                    return Err(StatusCode::SERVICE_UNAVAILABLE.into());
                }
            }
            let now = Instant::now();
            let waiting = state.calls.waiting_watches as usize;
            let admitted = match kind {
                Kind::Write | Kind::Delete | Kind::Announce => state.write_limit.admit(0, now),
                _ => state.read_limit.admit(waiting, now),
            };
            if let Err(wait) = admitted {
                state.calls.throttled += 1;
                return Err(throttled(wait));
            }
            Duration::from_millis(state.faults.delay_ms)
        };
        if !delay.is_zero() && !matches!(kind, Kind::Write | Kind::Delete) {
            sleep(delay).await;
        }
        Ok(())
    }

    /// Serves a call to one object.
    async fn object(self: &Arc<Self>, name: &str, request: &mut Request) -> Response {
        let peer = http_parts::peer(request);
        let kind = match *request.method() {
            Method::GET => Kind::Read,
            Method::PUT => Kind::Write,
            Method::DELETE => Kind::Delete,
            _ => return StatusCode::METHOD_NOT_ALLOWED.into(),
        };
        let Some(name) = percent_decode(name).filter(|it| !it.is_empty()) else {
            return refusal(StatusCode::BAD_REQUEST, "the name of an object is empty or not UTF-8");
        };
        if let Err(response) = self.enter(kind, peer).await {
            return response;
        }
        if kind == Kind::Read {
            return self.read(&name);
        }
        let Some(condition) = condition(request) else {
            return refusal(StatusCode::BAD_REQUEST, "the condition is not a version or `*`");
        };
        let mut value = None;
        if kind == Kind::Write {
            let limit = self.state.lock().limits.max_value_bytes;
            match request.take_body().into_bytes_limit(limit).await {
                Ok(bytes) => value = Some(bytes),
                Err(poem::error::ReadBodyError::PayloadTooLarge) => {
                    self.state.lock().calls.too_large += 1;
                    let message = format!("the value exceeds {limit} bytes");
                    return refusal(StatusCode::PAYLOAD_TOO_LARGE, &message);
                }
                Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        // A write that has arrived takes effect even when its client leaves during the delay.
        let api = Arc::clone(self);
        let write = tokio::spawn(async move { api.write(&name, value, condition, peer).await });
        write.await.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into())
    }

    /// Reads an object.
    fn read(&self, name: &str) -> Response {
        let state = &mut *self.state.lock();
        let revision = state.store.revision();
        let Some(object) = state.store.read(name) else {
            return refusal(StatusCode::NOT_FOUND, "no object has this name");
        };
        state.calls.bytes_read += object.bytes.len() as u64;
        Response::builder()
            .header(header::ETAG, format!("\"{}\"", object.version))
            .header("kingcupford-revision", revision)
            .content_type("application/octet-stream")
            .body(object.bytes.clone())
    }

    /// Writes or deletes an object.
    async fn write(
        &self,
        name: &str,
        value: Option<Bytes>,
        condition: Condition,
        peer: Option<SocketAddr>,
    ) -> Response {
        let (fate, delay) = {
            let state = &mut *self.state.lock();
            (state.fate(), Duration::from_millis(state.faults.delay_ms))
        };
        if !delay.is_zero() {
            sleep(delay).await;
        }
        if fate == Fate::RequestLost {
            self.gate.token(peer).cancel();
            return StatusCode::SERVICE_UNAVAILABLE.into();
        }
        let response = {
            let state = &mut *self.state.lock();
            let bytes = value.as_ref().map_or(0, Bytes::len) as u64;
            match state.store.write(name, value, condition, Instant::now()) {
                Ok(version) => {
                    state.calls.bytes_written += bytes;
                    self.revision.send_replace(state.store.revision());
                    let etag = format!("\"{version}\"");
                    Response::builder().header(header::ETAG, etag).finish()
                }
                Err(current) => {
                    state.calls.conflicts += 1;
                    let message = "the condition does not hold";
                    let body = json!({ "message": message, "current": current });
                    json(StatusCode::PRECONDITION_FAILED, &body)
                }
            }
        };
        if fate == Fate::AnswerLost {
            self.gate.token(peer).cancel();
        }
        response
    }

    /// Lists objects with their ages.
    async fn list(&self, request: &Request) -> Response {
        if let Err(response) = self.enter(Kind::List, http_parts::peer(request)).await {
            return response;
        }
        let Ok(query) = request.params::<ListQuery>() else {
            return refusal(StatusCode::BAD_REQUEST, "the query has no readable prefix");
        };
        let state = self.state.lock();
        let now = Instant::now();
        let objects = state.store.list(&query.prefix).map(|(name, object)| {
            let age_ms = now.duration_since(object.changed_at).as_millis() as u64;
            json!({ "name": name, "version": object.version, "age_ms": age_ms })
        });
        let objects: Vec<_> = objects.collect();
        json(StatusCode::OK, &json!({ "revision": state.store.revision(), "objects": objects }))
    }

    /// Waits for changes.
    async fn watch(&self, request: &Request) -> Response {
        if let Err(response) = self.enter(Kind::Watch, http_parts::peer(request)).await {
            return response;
        }
        let Ok(query) = request.params::<WatchQuery>() else {
            let message = "the query needs `after`, and `prefix` and `timeout_ms` when given";
            return refusal(StatusCode::BAD_REQUEST, message);
        };
        let _waiting = Waiting::new(self);
        let mut revisions = self.revision.subscribe();
        let mut faults = self.faults_changed.subscribe();
        let wait_ms = query.timeout_ms.unwrap_or(DEFAULT_WATCH_MS);
        let wait_ms = wait_ms.min(self.state.lock().limits.max_watch_ms);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            revisions.borrow_and_update();
            faults.borrow_and_update();
            let hangs = {
                let state = self.state.lock();
                let revision = state.store.revision();
                let hangs = state.faults.watches_hang;
                match state.store.changes_after(&query.prefix, query.after) {
                    _ if hangs => {}
                    Seen::TooOld => {
                        let body = json!({ "message": "list again", "revision": revision });
                        return json(StatusCode::GONE, &body);
                    }
                    Seen::Changes(changes) => return watched(revision, &changes),
                    Seen::Nothing if Instant::now() >= deadline => return watched(revision, &[]),
                    Seen::Nothing => {}
                }
                hangs
            };
            if hangs {
                // The sender lives as long as the stand-in.
                let _ = faults.changed().await;
                continue;
            }
            let changed = async {
                tokio::select! {
                    _ = revisions.changed() => {}
                    _ = faults.changed() => {}
                }
            };
            // At the deadline the loop ends with an empty response.
            let _ = timeout_at(deadline, changed).await;
        }
    }

    /// Lists hosts.
    async fn hosts(&self, request: &Request) -> Response {
        if let Err(response) = self.enter(Kind::HostList, http_parts::peer(request)).await {
            return response;
        }
        let state = &mut *self.state.lock();
        let lag =
            Duration::from_millis(state.faults.host_lag_ms.unwrap_or(state.limits.host_lag_ms));
        let expiry = Duration::from_millis(state.limits.host_expiry_ms);
        let hosts = state.hosts.list(Instant::now(), lag, expiry);
        json(StatusCode::OK, &json!({ "hosts": hosts }))
    }

    /// Announces a host.
    async fn announce(&self, name: &str, request: &mut Request) -> Response {
        if let Err(response) = self.enter(Kind::Announce, http_parts::peer(request)).await {
            return response;
        }
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let entry: HostEntry = match serde_json::from_slice(&body) {
            Ok(it) => it,
            Err(error) => return refusal(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        if percent_decode(name).as_deref() != Some(&entry.name) {
            return refusal(StatusCode::BAD_REQUEST, "the path names another host than the body");
        }
        self.state.lock().hosts.announce(entry, Instant::now());
        StatusCode::OK.into()
    }

    /// Serves the endpoints by which tests set faults and read counters.
    async fn admin(&self, path: &str, request: &mut Request) -> Response {
        let is_put = request.method() == Method::PUT;
        match path {
            "faults" | "limits" if is_put => {
                let body = request.take_body().into_bytes().await.unwrap_or_default();
                let set = match path {
                    "faults" => serde_json::from_slice(&body).map(|it| self.set_faults(it)),
                    _ => serde_json::from_slice(&body).map(|it| self.set_limits(it)),
                };
                match set {
                    Ok(()) => StatusCode::OK.into(),
                    Err(error) => refusal(StatusCode::BAD_REQUEST, &error.to_string()),
                }
            }
            "forget-changes" if is_put => {
                self.clear_change_log();
                StatusCode::OK.into()
            }
            "calls" => json(StatusCode::OK, &self.call_counts()),
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
                    "objects": objects,
                    "faults": state.faults,
                    "limits": state.limits,
                    "connections": self.gate.open_connections(),
                    "opened_connections": self.gate.counts().opened,
                });
                json(StatusCode::OK, &body)
            }
            _ => StatusCode::NOT_FOUND.into(),
        }
    }
}

/// Serves an [`Api`] to requests, which may outlive their connection.
pub(crate) struct ApiEndpoint(
    /// The served state.
    pub(crate) Arc<Api>,
);

impl Endpoint for ApiEndpoint {
    type Output = Response;

    async fn call(&self, mut request: Request) -> poem::Result<Response> {
        let api = &self.0;
        let path = request.uri().path().to_owned();
        if let Some(rest) = path.strip_prefix("/admin/") {
            return Ok(api.admin(rest, &mut request).await);
        }
        let dropped = api.gate.token(http_parts::peer(&request));
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
        // A dropped connection ends its request; the response below is never sent.
        tokio::select! {
            response = served => Ok(response),
            () = dropped.cancelled() => Ok(StatusCode::SERVICE_UNAVAILABLE.into()),
        }
    }
}

impl State {
    /// Decides what happens to the response of the next write.
    fn fate(&mut self) -> Fate {
        let faults = &mut self.faults;
        if faults.lose_next_writes > 0 {
            faults.lose_next_writes -= 1;
            return Fate::RequestLost;
        }
        let fraction = faults.lose_write_answer_fraction.clamp(0.0, 1.0);
        if faults.lose_next_write_answers > 0 {
            faults.lose_next_write_answers -= 1;
        } else if fraction == 0.0 || !self.rng.random_bool(fraction) {
            return Fate::Answered;
        }
        self.calls.lost_answers += 1;
        Fate::AnswerLost
    }
}

/// Counts a watch while it waits.
struct Waiting<'a> {
    /// Where it is counted.
    api: &'a Api,
}

impl<'a> Waiting<'a> {
    /// Starts to count.
    fn new(api: &'a Api) -> Self {
        api.state.lock().calls.waiting_watches += 1;
        Self { api }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.api.state.lock().calls.waiting_watches -= 1;
    }
}
