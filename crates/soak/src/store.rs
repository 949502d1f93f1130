//! A stand-in for the platform's store, with faults.

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

/// Changes that watches can still be told.
const HISTORY: usize = 2000;

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum StoreFault {
    /// As it should.
    None,
    /// It answers 503 to everything.
    Busy,
    /// Its answers take longer.
    Slow(Duration),
    /// Writes of the system are done and not answered in time.
    LosesAnswers,
}

/// The store.
#[derive(Default)]
pub(crate) struct Store {
    /// Objects and history.
    state: Mutex<StoreState>,
    /// Signalled at every change.
    changed: Notify,
}

/// Objects and history.
struct StoreState {
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Stored>,
    /// Revision of the newest change.
    revision: u64,
    /// Changes with their revisions, oldest first.
    history: VecDeque<(u64, String, Value)>,
    /// Revision up to which history is forgotten.
    forgotten: u64,
    /// How the store behaves.
    fault: StoreFault,
}

/// A stored object.
#[derive(Debug, Clone)]
struct Stored {
    /// Revision of its last change.
    revision: u64,
    /// What its writer said.
    spec: Value,
    /// What the system said of it.
    status: Value,
}

/// The query of a call.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Query {
    /// Revision after which changes are asked for.
    watch_after: Option<u64>,
    /// How long to wait for one, in milliseconds.
    wait_ms: u64,
    /// Revision that an object must have.
    revision: Option<u64>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            objects: BTreeMap::new(),
            revision: 1,
            history: VecDeque::new(),
            forgotten: 0,
            fault: StoreFault::None,
        }
    }
}

impl Store {
    /// Serves the store until the task is dropped.
    pub(crate) async fn serve(self: Arc<Self>, address: SocketAddr) {
        let served = poem::endpoint::make(move |request| {
            let store = Arc::clone(&self);
            async move { Ok::<_, poem::Error>(store.answer(request).await) }
        });
        let server = Server::new(TcpListener::bind(address.to_string()));
        if let Err(error) = server.run(served).await {
            log::error!("store at {address} ended: {error}");
        }
    }

    /// Changes how the store behaves.
    pub(crate) fn set_fault(&self, fault: StoreFault) {
        self.state.lock().fault = fault;
    }

    /// Forgets the history.
    pub(crate) fn compact(&self) {
        let mut state = self.state.lock();
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Writes an object as operators and instances do, whatever the store's fault.
    pub(crate) fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock();
        let status = state.get(kind, name).map_or(Value::Null, |it| it.status.clone());
        state.change(kind, name, Some((spec, status)));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes an object.
    pub(crate) fn remove(&self, kind: &str, name: &str) {
        self.state.lock().change(kind, name, None);
        self.changed.notify_waiters();
    }

    /// Names of the objects of a kind.
    pub(crate) fn names(&self, kind: &str) -> Vec<String> {
        let state = self.state.lock();
        state.objects.keys().filter(|it| it.0 == kind).map(|it| it.1.clone()).collect()
    }

    /// Answers one call.
    async fn answer(&self, mut request: Request) -> Response {
        let fault = self.state.lock().fault;
        match fault {
            StoreFault::None | StoreFault::LosesAnswers => {}
            StoreFault::Busy => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreFault::Slow(time) => sleep(time).await,
        }
        let query: Query = request.params().unwrap_or_default();
        let path = request.uri().path().trim_matches('/').to_owned();
        let parts: Vec<&str> = path.split('/').skip(1).collect();
        let method = request.method().clone();
        let body = request.take_body().into_vec().await.unwrap_or_default();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let answer = match (&method, parts.as_slice()) {
            (&Method::GET, [kind]) => match query.watch_after {
                Some(after) => return self.watch(kind, after, query.wait_ms).await,
                None => return self.list(kind),
            },
            (&Method::GET, [kind, name]) => return self.read(kind, name),
            _ => self.write(&method, &parts, &body, query.revision),
        };
        if fault == StoreFault::LosesAnswers {
            // Longer than any client waits.
            sleep(Duration::from_secs(30)).await;
        }
        answer
    }

    /// Answers with all objects of a kind.
    fn list(&self, kind: &str) -> Response {
        let state = self.state.lock();
        let items: Vec<Value> = state
            .objects
            .iter()
            .filter(|it| it.0.0 == kind)
            .map(|((_, name), it)| object(name, it))
            .collect();
        let body = json!({"items": items, "truncated": false, "store_revision": state.revision});
        json_response(&body)
    }

    /// Answers with the changes of a kind, as soon as there is one or the wait is over.
    async fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Response {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                if after < state.forgotten {
                    return status(StatusCode::GONE);
                }
                let events = state.history.iter().filter(|it| it.0 > after && it.1 == kind);
                let events: Vec<&Value> = events.map(|it| &it.2).collect();
                if !events.is_empty() || Instant::now() >= until {
                    let body = json!({"events": events, "store_revision": state.revision});
                    return json_response(&body);
                }
            }
            // The wait ends at the next change or when it is over.
            let _ = timeout_at(until, changed).await;
        }
    }

    /// Answers with one object.
    fn read(&self, kind: &str, name: &str) -> Response {
        let state = self.state.lock();
        match state.get(kind, name) {
            Some(it) => json_response(&object(name, it)),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    /// Carries a write out.
    fn write(&self, method: &Method, parts: &[&str], body: &Value, query: Option<u64>) -> Response {
        let named = body["metadata"]["name"].as_str().unwrap_or_default();
        let (kind, name) = match parts {
            [kind] => (*kind, named),
            [kind, name, ..] => (*kind, *name),
            [] => return status(StatusCode::NOT_FOUND),
        };
        let mut state = self.state.lock();
        let present = state.get(kind, name).cloned();
        let wanted = body["metadata"]["revision"].as_u64().or(query);
        let is_creation = *method == Method::POST;
        match &present {
            Some(it) if is_creation || wanted.is_some_and(|wanted| wanted != it.revision) => {
                let res = json_response(&object(name, it));
                return res.with_status(StatusCode::CONFLICT).into_response();
            }
            None if !is_creation => return status(StatusCode::NOT_FOUND),
            _ => {}
        }
        let old = present.map_or((Value::Null, Value::Null), |it| (it.spec, it.status));
        let value = match (method, parts) {
            (&Method::DELETE, _) => None,
            (_, [_, _, "status"]) => Some((old.0, body["status"].clone())),
            _ => Some((body["spec"].clone(), old.1)),
        };
        state.change(kind, name, value);
        let res = state.get(kind, name).map(|it| object(name, it));
        drop(state);
        self.changed.notify_waiters();
        json_response(&res.unwrap_or_else(|| json!({})))
    }
}

impl StoreState {
    /// An object.
    fn get(&self, kind: &str, name: &str) -> Option<&Stored> {
        self.objects.get(&(kind.to_owned(), name.to_owned()))
    }

    /// Changes or removes an object; one that stays as it is makes no event.
    fn change(&mut self, kind: &str, name: &str, value: Option<(Value, Value)>) {
        let key = (kind.to_owned(), name.to_owned());
        let event = match value {
            Some((spec, status)) => {
                let is_same =
                    self.objects.get(&key).is_some_and(|it| it.spec == spec && it.status == status);
                if is_same {
                    return;
                }
                self.revision += 1;
                let stored = Stored { revision: self.revision, spec, status };
                let event = json!({"removed": false, "object": object(name, &stored)});
                self.objects.insert(key, stored);
                event
            }
            None => {
                let Some(it) = self.objects.remove(&key) else { return };
                self.revision += 1;
                json!({"removed": true, "object": object(name, &it)})
            }
        };
        self.history.push_back((self.revision, kind.to_owned(), event));
        if self.history.len() > HISTORY {
            self.forgotten = self.history.pop_front().map_or(0, |it| it.0);
        }
    }
}

/// An object as the store sends it.
fn object(name: &str, stored: &Stored) -> Value {
    let metadata = json!({"name": name, "revision": stored.revision});
    json!({"metadata": metadata, "spec": stored.spec, "status": stored.status})
}

/// A response with a JSON body.
fn json_response(body: &Value) -> Response {
    Response::builder().content_type("application/json").body(body.to_string())
}

/// A response without a body.
fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}
