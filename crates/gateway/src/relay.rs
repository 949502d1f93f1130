//! Following the platform through another host, so that calls do not grow with the hosts.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bincode::config::{Configuration, standard};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupford_platform::{
    Announce, Answer, Call, Condition, Dialect, HostEntry, HttpObjectStore, HttpStoreSettings,
    ListedObject, Listing, Object, ObjectChange, ObjectStore, Page, Reply, Watched, WriteOutcome,
};
use kingcupford_steer::StoreSource;
use kingcupford_telemetry::{CallLabels, Counter, Family};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::{
    control,
    listener::serve_each,
    mirror::{Missing, Relayed},
    state::State,
};

/// Longest wait that another host may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time for opening a connection to another host and for a list: hosts of one region are
/// milliseconds apart.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time for a watch beyond its wait.
const WATCH_MARGIN_MS: u64 = 300;

/// Time for which readers do not answer a call before the platform itself is asked: a reader whose
/// own watch hangs is replaced or recovers within it, as a rule.
const BYPASS_AFTER: Duration = Duration::from_millis(600);

/// Pause after the platform itself did not answer before it is asked again past readers.
const BYPASS_AGAIN: Duration = Duration::from_millis(800);

/// Hosts to which connections are kept: the one that is followed, two further readers, and the one
/// before.
const MAX_CLIENTS: usize = 4;

/// How answers are encoded.
const CODEC: Configuration = standard();

/// The platform, followed through another host where one reads for the region.
pub(crate) struct RelayedStore<S> {
    /// The platform.
    platform: Arc<S>,
    /// Where it is followed now.
    source: watch::Receiver<StoreSource>,
    /// Clients of the hosts that are or were followed lately.
    clients: Mutex<Vec<(SocketAddr, HttpObjectStore<RelayDialect>)>>,
    /// Kinds that readers do not answer.
    bypasses: Mutex<Vec<Bypass>>,
    /// Counts calls to the platform.
    calls: Family<CallLabels, Counter>,
}

/// Which reader is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Asked {
    /// The one that is followed.
    Followed,
    /// Another one, since that one did not answer.
    Further,
}

/// A kind that readers do not answer.
#[derive(Debug)]
struct Bypass {
    /// Start of the names of its objects.
    prefix: String,
    /// Since when.
    since: Instant,
    /// When the platform itself did not answer either.
    failed_at: Option<Instant>,
}

impl<S: ObjectStore> RelayedStore<S> {
    /// A store that follows through whatever `source` says.
    pub(crate) fn new(
        platform: Arc<S>,
        source: watch::Receiver<StoreSource>,
        calls: Family<CallLabels, Counter>,
    ) -> Self {
        Self { platform, source, clients: Mutex::default(), bypasses: Mutex::default(), calls }
    }

    /// The client of a host; its connections are kept for a while.
    fn client(&self, host: SocketAddr) -> Option<HttpObjectStore<RelayDialect>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = clients.iter().find(|it| it.0 == host) {
            return Some(it.1.clone());
        }
        let settings = HttpStoreSettings {
            connect_timeout_ms: CALL_TIMEOUT_MS,
            read_timeout_ms: CALL_TIMEOUT_MS,
            watch_margin_ms: WATCH_MARGIN_MS,
            ..HttpStoreSettings::new(&format!("http://{host}"))
        };
        match HttpObjectStore::with_dialect(settings, RelayDialect) {
            Ok(it) => {
                if clients.len() >= MAX_CLIENTS {
                    clients.remove(0);
                }
                clients.push((host, it.clone()));
                Some(it)
            }
            Err(error) => {
                log::warn!("no client for the reader at {host}: {error:#}");
                None
            }
        }
    }

    /// Asks the host that is followed, then further readers, which `ask` is told; `None` when the
    /// platform itself is to be asked.
    async fn relayed<T, F: Future<Output = Answer<T>>>(
        &self,
        prefix: &str,
        ask: impl Fn(HttpObjectStore<RelayDialect>, Asked) -> F,
    ) -> Option<Answer<T>> {
        let StoreSource::Host { address: host, is_reader: reads, fallbacks: others } =
            self.source.borrow().clone()
        else {
            return None;
        };
        let mut answer = tokio::select! {
            it = async { ask(self.client(host)?, Asked::Followed).await.value() } => it,
            // What a host that is no longer followed answers may be old.
            () = self.replaced(host) => None,
        };
        for it in others {
            if answer.is_some() {
                break;
            }
            let Some(client) = self.client(it) else { continue };
            answer = ask(client, Asked::Further).await.value();
        }
        if let Some(it) = answer {
            self.bypasses().retain(|it| it.prefix != prefix);
            return Some(Answer::Value(it));
        }
        if reads && self.may_bypass(prefix) { None } else { Some(Answer::Unavailable) }
    }

    /// Whether a call that no reader answered may go to the platform itself.
    fn may_bypass(&self, prefix: &str) -> bool {
        let mut bypasses = self.bypasses();
        match bypasses.iter().find(|it| it.prefix == prefix) {
            Some(it) => {
                it.since.elapsed() >= BYPASS_AFTER
                    && it.failed_at.is_none_or(|it| it.elapsed() >= BYPASS_AGAIN)
            }
            None => {
                let since = Instant::now();
                bypasses.push(Bypass { prefix: prefix.to_owned(), since, failed_at: None });
                false
            }
        }
    }

    /// Kinds that readers do not answer.
    fn bypasses(&self) -> MutexGuard<'_, Vec<Bypass>> {
        self.bypasses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call to the platform and notes whether it answered past readers.
    fn ended(&self, operation: &'static str, name: &str, is_answered: bool) {
        let kind = name.split('/').next().unwrap_or_default().to_owned();
        let result = if is_answered { "answered" } else { "failed" };
        let labels = CallLabels { operation, kind, result };
        self.calls.get_or_create(&labels).inc();
        if let Some(it) = self.bypasses().iter_mut().find(|it| it.prefix == name) {
            it.failed_at = (!is_answered).then(Instant::now);
        }
    }

    /// Waits until another host is followed than this one.
    async fn replaced(&self, host: SocketAddr) {
        let mut source = self.source.clone();
        let is_other =
            |it: &StoreSource| !matches!(it, StoreSource::Host { address: it, .. } if *it == host);
        if source.wait_for(is_other).await.is_err() {
            // Without a sender the source stays what it is.
            std::future::pending::<()>().await;
        }
    }
}

impl<S: ObjectStore> ObjectStore for RelayedStore<S> {
    async fn read(&self, name: &str) -> Answer<Option<Object>> {
        let res = self.platform.read(name).await;
        self.ended("read", name, res.is_value());
        res
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        let res = self.platform.write(name, value, condition).await;
        self.ended("write", name, res.is_answer());
        res
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        let res = self.platform.delete(name, condition).await;
        self.ended("delete", name, res.is_answer());
        res
    }

    async fn list(&self, prefix: &str) -> Answer<Listing> {
        let name = prefix.to_owned();
        let ask = move |client: HttpObjectStore<RelayDialect>, _| {
            let name = name.clone();
            async move { client.list(&name).await }
        };
        if let Some(it) = self.relayed(prefix, ask).await {
            return it;
        }
        let res = self.platform.list(prefix).await;
        self.ended("list", prefix, res.is_value());
        res
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        let name = prefix.to_owned();
        let ask = move |client: HttpObjectStore<RelayDialect>, asked| {
            let name = name.clone();
            let wait = match asked {
                Asked::Followed => wait,
                // What was missed meanwhile is told at once.
                Asked::Further => Duration::ZERO,
            };
            async move { client.watch(&name, after, wait).await }
        };
        if let Some(it) = self.relayed(prefix, ask).await {
            return it;
        }
        let is_followed = *self.source.borrow() == StoreSource::Platform;
        let wait = if is_followed { wait } else { Duration::ZERO };
        let res = self.platform.watch(prefix, after, wait).await;
        self.ended("watch", prefix, res.is_value());
        res
    }

    async fn hosts(&self) -> Answer<Vec<HostEntry>> {
        let res = self.platform.hosts().await;
        self.ended("list", "hosts", res.is_value());
        res
    }

    async fn announce(&self, entry: &HostEntry) -> Answer<()> {
        let res = self.platform.announce(entry).await;
        self.ended("announce", "hosts", res.is_value());
        res
    }
}

/// The dialect between hosts: lists and watches of a [`Mirror`](crate::mirror::Mirror).
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayDialect;

impl RelayDialect {
    /// The answer in a reply.
    fn relayed(reply: &Reply) -> Answer<Relayed> {
        let body = reply.body.as_deref().filter(|_| reply.status.is_success());
        let Some(body) = body else { return Answer::Unavailable };
        match bincode::decode_from_slice::<Relayed, _>(body, CODEC) {
            Ok((it, _)) => Answer::Value(it),
            Err(error) => {
                log::warn!("reader sent an unreadable answer: {error}");
                Answer::Unavailable
            }
        }
    }
}

impl Dialect for RelayDialect {
    fn read(&self, name: &str) -> Call {
        Call::new(Method::GET, ["objects", name])
    }

    fn read_reply(&self, _: &Reply) -> Answer<Option<Object>> {
        Answer::Unavailable
    }

    fn write(&self, name: &str, _: &Bytes, _: Condition) -> Call {
        Call::new(Method::PUT, ["objects", name])
    }

    fn create_after(&self, _: &str, _: &Bytes, _: Condition, _: &Reply) -> Option<Call> {
        None
    }

    fn delete(&self, name: &str, _: Condition) -> Call {
        Call::new(Method::DELETE, ["objects", name])
    }

    fn write_reply(&self, _: &Reply) -> WriteOutcome {
        // Hosts relay nothing but lists and watches.
        WriteOutcome::Unavailable
    }

    fn list(&self, prefix: &str, _: Option<&str>) -> Call {
        Call::new(Method::GET, ["list"]).with_query("prefix", prefix)
    }

    fn list_reply(&self, _: &str, reply: &Reply) -> Answer<Page> {
        Self::relayed(reply).map(|it| {
            let objects = it.objects.into_iter().filter_map(|(name, version, value)| {
                let value = Some(Bytes::from(value));
                Some(ListedObject { name, version: version?, age_ms: 0, value })
            });
            let listing = Listing {
                revision: it.revision,
                objects: objects.collect(),
                age: Duration::from_millis(it.age_ms),
            };
            Page { listing, next_after: None }
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Call {
        Call::new(Method::GET, ["watch"])
            .with_query("prefix", prefix)
            .with_query("after", after)
            .with_query("wait_ms", wait.as_millis())
    }

    fn watch_reply(&self, _: &str, reply: &Reply) -> Answer<Watched> {
        if reply.status == StatusCode::GONE {
            return Answer::Value(Watched::TooOld);
        }
        Self::relayed(reply).map(|it| Watched::Changes {
            revision: it.revision,
            changes: it
                .objects
                .into_iter()
                .map(|(name, version, value)| {
                    let value = version.map(|_| Bytes::from(value));
                    ObjectChange { name, version, value }
                })
                .collect(),
            age: Duration::from_millis(it.age_ms),
        })
    }

    fn hosts(&self) -> Call {
        Call::new(Method::GET, ["hosts"])
    }

    fn hosts_reply(&self, _: &Reply) -> Answer<Vec<HostEntry>> {
        Answer::Unavailable
    }

    fn announce(&self, _: &HostEntry) -> Announce {
        Announce::Call(Call::new(Method::PUT, ["hosts"]))
    }
}

/// Serves other hosts until it is dropped.
pub(crate) async fn serve(listener: TcpListener, state: Rc<State>) {
    let answer = move |request: Request<Incoming>| {
        let state = Rc::clone(&state);
        async move { answer(&state, &request).await }
    };
    serve_each(listener, answer).await;
}

/// Answers one call of another host.
async fn answer(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    let parameter = |name| control::parameter(query, name);
    // Names of kinds end with a slash, which queries escape.
    let prefix = parameter("prefix").unwrap_or_default().replace("%2F", "/");
    let number = |name| parameter(name).and_then(|it| it.parse::<u64>().ok());
    let result = match request.uri().path() {
        "/list" => state.mirror.list(&prefix, Instant::now()),
        "/watch" => {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
            state.mirror.watch(&prefix, number("after").unwrap_or(0), wait).await
        }
        _ => return status(StatusCode::NOT_FOUND),
    };
    match result {
        Ok(relayed) => match bincode::encode_to_vec(&relayed, CODEC) {
            Ok(it) => Response::new(Full::new(Bytes::from(it))),
            Err(error) => {
                log::warn!("answer to a host cannot be encoded: {error}");
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
        Err(Missing::NotSynced | Missing::Stale) => status(StatusCode::SERVICE_UNAVAILABLE),
        Err(Missing::TooOld) => status(StatusCode::GONE),
    }
}

/// A response without a body.
fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
