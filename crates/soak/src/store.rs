//! An in-memory stand-in for the platform's object store, with faults.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use parking_lot::Mutex;
use poem::{
    IntoResponse as _, Request, Response, Server,
    http::{Method, StatusCode},
    listener::TcpListener,
};
use rand::{SeedableRng as _, rngs::SmallRng, seq::SliceRandom as _};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// Changes that are kept for watches.
const CHANGE_LOG_CAPACITY: usize = 2000;

/// Age of the oldest copy from which the store is restored.
pub(crate) const MAX_COPY_AGE: Duration = Duration::from_secs(9);

/// Time from a restoration until operators and instances have written everything again.
const REWRITE_TIME: Duration = Duration::from_secs(1);

/// Interval at which a program that isn't part of the deployment writes to the store. A store that
/// was restored therefore takes about the age of its copy to reach its old revision again.
const UNRELATED_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Header of all responses, whose value rises by one at each restoration.
const ERA_HEADER: &str = "Store-Era";

/// Misbehavior of the store towards its HTTP clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFault {
    /// The store behaves correctly.
    None,
    /// Every call is answered with status 503.
    Busy,
    /// Every call is processed after this delay.
    Slow(Duration),
    /// Writes take effect, but their responses come only after the clients have timed out.
    LosesAnswers,
}

/// Objects by kind and name.
type Objects = BTreeMap<(String, String), StoredObject>;

/// The store; its state is shared by all calls.
#[derive(Default)]
pub(crate) struct Store {
    state: Mutex<StoreState>,
    /// Wakes the waiting watches after a change.
    changed: Notify,
}

struct StoreState {
    objects: Objects,
    /// Specs as operators and instances last wrote them, `None` for removed objects.
    written_specs: BTreeMap<(String, String), Option<Value>>,
    /// Revision of the newest change.
    revision: u64,
    /// Revision, kind and event of each retained change, oldest first.
    change_log: VecDeque<(u64, String, Value)>,
    /// Revision up to which changes were dropped from the change log.
    compacted_revision: u64,
    fault: StoreFault,
    /// Whether every call is refused until a restoration.
    is_away: bool,
    /// Number of restorations, plus 1.
    era: u64,
    /// Objects and revision after each change, oldest first, from the newest copy that is at least
    /// [`MAX_COPY_AGE`] old. The first copy is the one with the first manifest.
    copies: VecDeque<(Instant, u64, Objects)>,
}

#[derive(Debug, Clone)]
struct StoredObject {
    /// Revision of the last change of the object.
    revision: u64,
    /// Content that the object's writer set.
    spec: Value,
    /// Content that the system set through the `status` path.
    status: Value,
}

/// Query parameters of a call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct QueryParams {
    /// Makes the call a watch of the changes after this revision.
    watch_after: Option<u64>,
    /// Time that a watch waits for a change.
    wait_ms: u64,
    /// Makes a write conditional on this revision of the object.
    revision: Option<u64>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            objects: Objects::new(),
            written_specs: BTreeMap::new(),
            revision: 1,
            change_log: VecDeque::new(),
            compacted_revision: 0,
            fault: StoreFault::None,
            is_away: false,
            era: 1,
            copies: VecDeque::new(),
        }
    }
}

impl Store {
    /// Serves HTTP calls until the task is dropped.
    pub(crate) async fn serve(self: Arc<Self>, address: SocketAddr) {
        let endpoint = poem::endpoint::make(move |request| {
            let store = Arc::clone(&self);
            async move { Ok::<_, poem::Error>(store.handle(request).await) }
        });
        let server = Server::new(TcpListener::bind(address.to_string()));
        if let Err(error) = server.run(endpoint).await {
            log::error!("server of the store at {address} failed: {error}");
        }
    }

    /// Writes an object of an unrelated kind at a fixed interval until the task is dropped.
    pub(crate) async fn write_unrelated_object(self: Arc<Self>) {
        for count in 0u64.. {
            self.put("usage", "total", json!(count));
            sleep(UNRELATED_WRITE_INTERVAL).await;
        }
    }

    /// Sets the fault of the calls that arrive from now on.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Discards the change log; watches after older revisions get status 410.
    pub(crate) fn compact(&self) {
        let mut state = self.state.lock();
        state.change_log.clear();
        state.compacted_revision = state.revision;
    }

    /// Refuses all calls for `away_time`, then goes back to a copy of age `copy_age` and returns
    /// once operators and instances have written their objects again. Does nothing if the store is
    /// away already.
    pub(crate) async fn restore(&self, away_time: Duration, copy_age: Duration) {
        if std::mem::replace(&mut self.state.lock().is_away, true) {
            return;
        }
        self.changed.notify_waiters();
        sleep(away_time).await;
        let mut keys: Vec<(String, String)> = {
            let mut state = self.state.lock();
            state.restore(copy_age);
            state.written_specs.keys().cloned().collect()
        };
        self.changed.notify_waiters();
        keys.shuffle(&mut SmallRng::seed_from_u64(copy_age.as_nanos() as u64));
        let interval = REWRITE_TIME / keys.len().max(1) as u32;
        for key in keys {
            sleep(interval).await;
            self.state.lock().write_spec(&key);
            self.changed.notify_waiters();
        }
    }

    /// Waits until the store is not away.
    pub(crate) async fn wait_until_back(&self) {
        loop {
            let changed = self.changed.notified();
            if !self.state.lock().is_away {
                return;
            }
            changed.await;
        }
    }

    /// Writes the spec of an object as operators and instances do; store faults don't apply, but
    /// while the store is away the write is left to the end of the restoration.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        self.set_spec(kind, name, Some(spec));
    }

    /// Removes an object, if it exists; store faults apply as to [`put`](Self::put).
    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.set_spec(kind, name, None);
    }

    fn set_spec(&self, kind: &str, name: &str, spec: Option<Value>) {
        let key = (kind.to_owned(), name.to_owned());
        let mut state = self.state.lock();
        state.written_specs.insert(key.clone(), spec);
        if !state.is_away {
            state.write_spec(&key);
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Names of all objects of a kind.
    pub(crate) fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    async fn handle(&self, request: Request) -> Response {
        let fault = self.state.lock().fault;
        let is_read = request.method() == Method::GET;
        if let StoreFault::Slow(delay) = fault {
            sleep(delay).await;
        }
        let mut response = match fault {
            StoreFault::Busy => empty_response(StatusCode::SERVICE_UNAVAILABLE),
            _ => self.process(request).await,
        };
        let era = self.state.lock().era;
        response.headers_mut().insert(ERA_HEADER, era.into());
        if fault == StoreFault::LosesAnswers && !is_read {
            // Exceeds the time-out of every client.
            sleep(Duration::from_secs(30)).await;
        }
        response
    }

    async fn process(&self, mut request: Request) -> Response {
        let query: QueryParams = request.params().unwrap_or_default();
        let path = request.uri().path().trim_matches('/').to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        let body = request.take_body().into_vec().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        if self.state.lock().is_away {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (&method, segments.as_slice()) {
            (&Method::GET, [kind]) => match query.watch_after {
                Some(after) => self.watch(kind, after, query.wait_ms).await,
                None => self.list(kind),
            },
            (&Method::GET, [kind, name]) => self.read(kind, name),
            _ => self.write(&method, &segments, &body, query.revision),
        }
    }

    /// Lists all objects of a kind.
    fn list(&self, kind: &str) -> Response {
        let state = self.state.lock();
        let items: Vec<Value> = state
            .objects
            .iter()
            .filter(|it| it.0.0 == kind)
            .map(|((_, name), it)| object_json(name, it))
            .collect();
        let body = json!({"items": items, "truncated": false, "store_revision": state.revision});
        json_response(&body)
    }

    /// Returns the changes of a kind after a revision, waiting up to `wait_ms` for the first one.
    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response {
        let wait_until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                if state.is_away {
                    return empty_response(StatusCode::SERVICE_UNAVAILABLE);
                }
                if after < state.compacted_revision || after > state.revision {
                    return empty_response(StatusCode::GONE);
                }
                let events = state.change_log.iter().filter(|it| it.0 > after && it.1 == kind);
                let events: Vec<&Value> = events.map(|it| &it.2).collect();
                if !events.is_empty() || Instant::now() >= wait_until {
                    let body = json!({"events": events, "store_revision": state.revision});
                    return json_response(&body);
                }
            }
            // The next iteration checks for events and for the end of the wait.
            let _ = timeout_at(wait_until, changed).await;
        }
    }

    /// Returns one object, or status 404.
    fn read(&self, kind: &str, name: &str) -> Response {
        let state = self.state.lock();
        match state.get(kind, name) {
            Some(it) => json_response(&object_json(name, it)),
            None => empty_response(StatusCode::NOT_FOUND),
        }
    }

    /// Creates (POST), updates or deletes (DELETE) an object. Creating an existing object or naming
    /// another revision than the current one is answered with status 409 and the current object.
    fn write(
        &self,
        method: &Method,
        segments: &[&str],
        body: &Value,
        query_revision: Option<u64>,
    ) -> Response {
        let body_name = body["metadata"]["name"].as_str().unwrap_or_default();
        let (kind, name) = match segments {
            [kind] => (*kind, body_name),
            [kind, name, ..] => (*kind, *name),
            [] => return empty_response(StatusCode::NOT_FOUND),
        };
        let mut state = self.state.lock();
        let current = state.get(kind, name).cloned();
        let expected_revision = body["metadata"]["revision"].as_u64().or(query_revision);
        let is_creation = *method == Method::POST;
        match &current {
            Some(it)
                if is_creation
                    || expected_revision.is_some_and(|expected| expected != it.revision) =>
            {
                let res = json_response(&object_json(name, it));
                return res.with_status(StatusCode::CONFLICT).into_response();
            }
            None if !is_creation => return empty_response(StatusCode::NOT_FOUND),
            _ => {}
        }
        let (old_spec, old_status) =
            current.map_or((Value::Null, Value::Null), |it| (it.spec, it.status));
        let value = match (method, segments) {
            (&Method::DELETE, _) => None,
            (_, [_, _, "status"]) => Some((old_spec, body["status"].clone())),
            _ => Some((body["spec"].clone(), old_status)),
        };
        state.apply_change(kind, name, value);
        let res = state.get(kind, name).map(|it| object_json(name, it));
        drop(state);
        self.changed.notify_waiters();
        json_response(&res.unwrap_or_else(|| json!({})))
    }
}

impl StoreState {
    fn get(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Goes back to the newest copy of at least this age, or to the oldest one.
    fn restore(&mut self, copy_age: Duration) {
        let is_young = |it: &mut (Instant, u64, Objects)| it.0.elapsed() < copy_age;
        while self.copies.len() > 1 && self.copies.pop_back_if(is_young).is_some() {}
        if let Some((_, revision, objects)) = self.copies.back().cloned() {
            (self.revision, self.objects) = (revision, objects);
        }
        while self.change_log.pop_back_if(|it| it.0 > self.revision).is_some() {}
        self.compacted_revision = self.compacted_revision.min(self.revision);
        self.era += 1;
        self.is_away = false;
    }

    /// Writes or removes an object as its operator or instance last did.
    fn write_spec(&mut self, key: &(String, String)) {
        let status = self.objects.get(key).map_or(Value::Null, |it| it.status.clone());
        let spec = self.written_specs.get(key).cloned().flatten();
        self.apply_change(&key.0, &key.1, spec.map(|it| (it, status)));
    }

    /// Sets the spec and status of an object, or removes it if `value` is `None`. A write that
    /// changes nothing creates no revision and no event.
    fn apply_change(&mut self, kind: &str, name: &str, value: Option<(Value, Value)>) {
        let key = (kind.to_owned(), name.to_owned());
        let event = match value {
            Some((spec, status)) => {
                let is_unchanged =
                    self.objects.get(&key).is_some_and(|it| it.spec == spec && it.status == status);
                if is_unchanged {
                    return;
                }
                self.revision += 1;
                let stored = StoredObject { revision: self.revision, spec, status };
                let event = json!({"removed": false, "object": object_json(name, &stored)});
                self.objects.insert(key, stored);
                event
            }
            None => {
                let Some(it) = self.objects.remove(&key) else { return };
                self.revision += 1;
                json!({"removed": true, "object": object_json(name, &it)})
            }
        };
        self.change_log.push_back((self.revision, kind.to_owned(), event));
        if self.change_log.len() > CHANGE_LOG_CAPACITY {
            self.compacted_revision = self.change_log.pop_front().map_or(0, |it| it.0);
        }
        if self.get("config", "main").is_some() {
            self.copies.push_back((Instant::now(), self.revision, self.objects.clone()));
        }
        while self.copies.get(1).is_some_and(|it| it.0.elapsed() > MAX_COPY_AGE) {
            self.copies.pop_front();
        }
    }
}

/// JSON representation of an object in responses and events.
fn object_json(name: &str, stored: &StoredObject) -> Value {
    let metadata = json!({"name": name, "revision": stored.revision});
    json!({"metadata": metadata, "spec": stored.spec, "status": stored.status})
}

fn json_response(body: &Value) -> Response {
    Response::builder().content_type("application/json").body(body.to_string())
}

fn empty_response(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}
