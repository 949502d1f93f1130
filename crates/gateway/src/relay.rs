//! Following the platform through another host, so that calls do not grow with the hosts.

use std::{
    convert::Infallible,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bincode::config::{Configuration, standard};
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use kingcupford_platform::{
    Announce, Answer, Call, Condition, Dialect, HostEntry, HttpObjectStore, HttpStoreSettings,
    ListedObject, Listing, Object, ObjectChange, ObjectStore, Page, Reply, Watched, WriteOutcome,
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    control,
    mirror::{Missing, Relayed},
    state::State,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait that another host may ask for.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Time for opening a connection to another host and for a list: hosts of one region are
/// milliseconds apart.
const CALL_TIMEOUT_MS: u64 = 500;

/// Time for a watch beyond its wait.
const WATCH_MARGIN_MS: u64 = 300;

/// Pause after the platform itself did not answer before it is asked again past a reader.
const BYPASS_AGAIN: Duration = Duration::from_millis(800);

/// How answers are encoded.
const CODEC: Configuration = standard();

/// Where the platform is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// At the platform itself.
    Platform,
    /// Through another host.
    Reader(SocketAddr),
}

/// The platform, followed through another host where one reads for the region.
pub(crate) struct RelayedStore<S> {
    /// The platform.
    platform: Arc<S>,
    /// Where it is followed now.
    source: watch::Receiver<Source>,
    /// The client of the present reader.
    client: Mutex<Option<(SocketAddr, HttpObjectStore<RelayDialect>)>>,
    /// Kinds for which the platform itself did not answer, and since when.
    failed: Mutex<Vec<(String, Instant)>>,
}

impl<S: ObjectStore> RelayedStore<S> {
    /// A store that follows through whatever `source` says.
    pub(crate) fn new(platform: Arc<S>, source: watch::Receiver<Source>) -> Self {
        Self { platform, source, client: Mutex::new(None), failed: Mutex::default() }
    }

    /// The client of a reader; its connections are kept as long as the reader stays.
    fn client(&self, reader: SocketAddr) -> Option<HttpObjectStore<RelayDialect>> {
        let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((address, client)) = &*client
            && *address == reader
        {
            return Some(client.clone());
        }
        let settings = HttpStoreSettings {
            connect_timeout_ms: CALL_TIMEOUT_MS,
            read_timeout_ms: CALL_TIMEOUT_MS,
            watch_margin_ms: WATCH_MARGIN_MS,
            ..HttpStoreSettings::new(&format!("http://{reader}"))
        };
        match HttpObjectStore::with_dialect(settings, RelayDialect) {
            Ok(it) => Some(client.insert((reader, it)).1.clone()),
            Err(error) => {
                log::warn!("no client for the reader at {reader}: {error:#}");
                None
            }
        }
    }

    /// Whether a call that the reader did not answer well may go to the platform itself.
    fn may_bypass(&self, prefix: &str) -> bool {
        let failed = self.failed.lock().unwrap_or_else(PoisonError::into_inner);
        failed.iter().find(|it| it.0 == prefix).is_none_or(|it| it.1.elapsed() > BYPASS_AGAIN)
    }

    /// Notes whether the platform itself answered.
    fn platform_ended(&self, prefix: &str, is_answered: bool) {
        let mut failed = self.failed.lock().unwrap_or_else(PoisonError::into_inner);
        failed.retain(|it| it.0 != prefix);
        if !is_answered {
            failed.push((prefix.to_owned(), Instant::now()));
        }
    }

    /// Waits until another host reads than this one; what it still answers may be old.
    async fn replaced(&self, reader: SocketAddr) {
        let mut source = self.source.clone();
        if source.wait_for(|it| *it != Source::Reader(reader)).await.is_err() {
            // Without a sender the source stays what it is.
            std::future::pending::<()>().await;
        }
    }
}

impl<S: ObjectStore> ObjectStore for RelayedStore<S> {
    async fn read(&self, name: &str) -> Answer<Option<Object>> {
        self.platform.read(name).await
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        self.platform.write(name, value, condition).await
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        self.platform.delete(name, condition).await
    }

    async fn list(&self, prefix: &str) -> Answer<Listing> {
        let source = *self.source.borrow();
        if let Source::Reader(reader) = source
            && let Some(client) = self.client(reader)
        {
            let relayed = tokio::select! {
                res = client.list(prefix) => res,
                () = self.replaced(reader) => Answer::Unavailable,
            };
            if matches!(relayed, Answer::Value(_)) {
                return relayed;
            }
            if !self.may_bypass(prefix) {
                return Answer::Unavailable;
            }
        }
        let res = self.platform.list(prefix).await;
        self.platform_ended(prefix, matches!(res, Answer::Value(_)));
        res
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        let source = *self.source.borrow();
        if let Source::Reader(reader) = source
            && let Some(client) = self.client(reader)
        {
            let relayed = tokio::select! {
                res = client.watch(prefix, after, wait) => res,
                () = self.replaced(reader) => Answer::Unavailable,
            };
            if matches!(relayed, Answer::Value(_)) {
                return relayed;
            }
            if !self.may_bypass(prefix) {
                return Answer::Unavailable;
            }
            // What was missed meanwhile is told at once.
            let res = self.platform.watch(prefix, after, Duration::ZERO).await;
            self.platform_ended(prefix, matches!(res, Answer::Value(_)));
            return res;
        }
        self.platform.watch(prefix, after, wait).await
    }

    async fn hosts(&self) -> Answer<Vec<HostEntry>> {
        self.platform.hosts().await
    }

    async fn announce(&self, entry: &HostEntry) -> Answer<()> {
        self.platform.announce(entry).await
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
    loop {
        let stream = match listener.accept().await {
            Ok((it, _)) => it,
            Err(error) => {
                log::warn!("connection of a host could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let state = Rc::clone(&state);
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let state = Rc::clone(&state);
                async move { Ok::<_, Infallible>(answer(&state, &request).await) }
            });
            let connection = http1::Builder::new()
                .auto_date_header(false)
                .serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("connection of a host ended: {error}");
            }
        });
    }
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
