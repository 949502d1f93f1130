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
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// Changes that are kept for watches.
const CHANGE_LOG_CAPACITY: usize = 2000;

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

/// The store; its state is shared by all calls.
#[derive(Default)]
pub(crate) struct Store {
    state: Mutex<StoreState>,
    /// Wakes the waiting watches after a change.
    changed: Notify,
}

struct StoreState {
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), StoredObject>,
    /// Revision of the newest change.
    revision: u64,
    /// Revision, kind and event of each retained change, oldest first.
    change_log: VecDeque<(u64, String, Value)>,
    /// Revision up to which changes were dropped from the change log.
    compacted_revision: u64,
    fault: StoreFault,
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
            objects: BTreeMap::new(),
            revision: 1,
            change_log: VecDeque::new(),
            compacted_revision: 0,
            fault: StoreFault::None,
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

    /// Writes the spec of an object as operators and instances do; store faults don't apply.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock();
        let status = state.get(kind, name).map_or(Value::Null, |it| it.status.clone());
        state.apply_change(kind, name, Some((spec, status)));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an object, if it exists; store faults don't apply.
    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.state.lock().apply_change(kind, name, None);
        self.changed.notify_waiters();
    }

    /// Names of all objects of a kind.
    pub(crate) fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    async fn handle(&self, mut request: Request) -> Response {
        let fault = self.state.lock().fault;
        match fault {
            StoreFault::None | StoreFault::LosesAnswers => {}
            StoreFault::Busy => return empty_response(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Slow(delay) => sleep(delay).await,
        }
        let query: QueryParams = request.params().unwrap_or_default();
        let path = request.uri().path().trim_matches('/').to_owned();
        let segments: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        let body = request.take_body().into_vec().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let response = match (&method, segments.as_slice()) {
            (&Method::GET, [kind]) => match query.watch_after {
                Some(after) => return self.watch(kind, after, query.wait_ms).await,
                None => return self.list(kind),
            },
            (&Method::GET, [kind, name]) => return self.read(kind, name),
            _ => self.write(&method, &segments, &body, query.revision),
        };
        if fault == StoreFault::LosesAnswers {
            // Exceeds the time-out of every client.
            sleep(Duration::from_secs(30)).await;
        }
        response
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
                if after < state.compacted_revision {
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
