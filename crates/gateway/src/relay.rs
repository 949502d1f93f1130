//! Relay of the platform's objects between hosts, so that the number of platform calls does not
//! grow with the number of hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    rc::Rc,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use kingcupford_platform::{
    Announcement, ApiRequest, ApiResponse, Arrival, CallOutcome, Condition, Dialect, HostEntry,
    HttpObjectStore, HttpStoreSettings, ListPage, ListedObject, Listing, Object, ObjectChange,
    ObjectStore, StoreRevision, WatchResponse, WriteOutcome,
};
use kingcupford_steer::StoreSource;
use kingcupford_telemetry::{CallLabels, Counter, Family};
use tokio::{net::TcpListener, sync::watch, time::Instant};

use crate::{
    endpoints,
    listener::serve_http,
    mirror::{EraResponse, MirrorError, RelayResponse},
    state::State,
};

/// Maximum wait of a watch that another host may request.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);

/// Timeout for connecting to another host and for a list; hosts of a region are milliseconds apart.
const RELAY_CALL_TIMEOUT_MS: u64 = 500;

/// Time beyond the wait of a watch until the watch times out.
const WATCH_TIMEOUT_MARGIN_MS: u64 = 300;

/// Time for which readers must fail to answer before the platform is called directly. A reader
/// whose own watch hangs usually recovers or is replaced within this time.
const BYPASS_DELAY: Duration = Duration::from_millis(600);

/// Delay before the platform is called directly again after it did not answer either.
const BYPASS_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Maximum number of hosts to keep clients for: the followed host, two fallbacks, and the host that
/// was followed before.
const MAX_READER_CLIENTS: usize = 4;

/// Maximum size of a relayed response: several times a list of all registrations of the largest
/// deployments.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Without the limit, a declared length could make the decoder allocate any amount of memory.
const BINCODE_CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_RESPONSE_BYTES>> =
    standard().with_limit::<MAX_RESPONSE_BYTES>();

/// Name of the LZ4 block format with a prepended length, as content encoding between hosts.
const LZ4_ENCODING: &str = "lz4";

/// Header with the era of the store to which the revisions of a relayed response belong.
const ERA_HEADER: &str = "store-era";

/// Shorter responses fit into one packet and are not compressed.
const MIN_COMPRESSED_BYTES: usize = 1024;

/// The platform's object store, with lists and watches relayed by another host of the region while
/// there is a reader.
pub(crate) struct RelayedStore<S> {
    platform: Arc<S>,
    /// Where the platform is followed now.
    source: watch::Receiver<StoreSource>,
    /// Clients of the hosts that are or were recently followed, oldest first.
    clients: Mutex<Vec<(SocketAddr, HttpObjectStore<RelayDialect>)>>,
    /// Prefixes for which readers do not answer.
    reader_outages: Mutex<Vec<ReaderOutage>>,
    /// Newest eras of the store in responses, by prefix.
    newest_eras: Mutex<BTreeMap<String, u64>>,
    platform_calls: Family<CallLabels, Counter>,
}

/// Role of the reader that is called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReaderKind {
    /// The followed host.
    Primary,
    /// A further reader, called because the followed host did not answer.
    Fallback,
}

/// A prefix for which readers do not answer.
#[derive(Debug)]
struct ReaderOutage {
    prefix: String,
    began_at: Instant,
    /// Whether the platform was called before the delay, because a reader was behind.
    has_bypassed_early: bool,
    /// Time of the last direct call, if the platform did not answer it.
    platform_failed_at: Option<Instant>,
}

impl<S: ObjectStore> RelayedStore<S> {
    /// Creates a store whose lists and watches go to `source`.
    pub(crate) fn new(
        platform: Arc<S>,
        source: watch::Receiver<StoreSource>,
        platform_calls: Family<CallLabels, Counter>,
    ) -> Self {
        Self {
            platform,
            source,
            clients: Mutex::default(),
            reader_outages: Mutex::default(),
            newest_eras: Mutex::default(),
            platform_calls,
        }
    }

    /// Lists the objects with a prefix in the copy of another host, however old it is.
    pub(crate) async fn list_copy(&self, host: SocketAddr, prefix: &str) -> CallOutcome<Listing> {
        match Self::new_client(host, RelayDialect { any_age: true }) {
            Some(it) => it.list(prefix).await,
            None => CallOutcome::Unavailable,
        }
    }

    /// Returns the client of a host, creating it if there is none.
    fn reader_client(&self, host: SocketAddr) -> Option<HttpObjectStore<RelayDialect>> {
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(it) = clients.iter().find(|it| it.0 == host) {
            return Some(it.1.clone());
        }
        let client = Self::new_client(host, RelayDialect { any_age: false })?;
        if clients.len() >= MAX_READER_CLIENTS {
            clients.remove(0);
        }
        clients.push((host, client.clone()));
        Some(client)
    }

    fn new_client(
        host: SocketAddr,
        dialect: RelayDialect,
    ) -> Option<HttpObjectStore<RelayDialect>> {
        let settings = HttpStoreSettings {
            connect_timeout_ms: RELAY_CALL_TIMEOUT_MS,
            read_timeout_ms: RELAY_CALL_TIMEOUT_MS,
            watch_margin_ms: WATCH_TIMEOUT_MARGIN_MS,
            ..HttpStoreSettings::new(&format!("http://{host}"))
        };
        HttpObjectStore::with_dialect(settings, dialect)
            .inspect_err(|error| log::warn!("cannot create a client for {host}: {error:#}"))
            .ok()
    }

    /// Calls the followed host, then the fallbacks. Returns `None` when the platform must be called
    /// directly. An outage of the readers begins at `due_at` if they have not responded by then.
    async fn ask_readers<T, F: Future<Output = CallOutcome<T>>>(
        &self,
        prefix: &str,
        due_at: Instant,
        arrival: &Arrival,
        ask: impl Fn(HttpObjectStore<RelayDialect>, ReaderKind) -> F,
        revision: impl Fn(&T) -> StoreRevision,
    ) -> Option<CallOutcome<T>> {
        let mut is_behind = false;
        let mut accept = |value: Option<T>| {
            value.filter(|it| {
                let is_current = self.record_era(prefix, revision(it));
                is_behind |= !is_current;
                is_current
            })
        };
        let mut asked_hosts = Vec::new();
        let (mut value, is_reader, fallbacks) = loop {
            let StoreSource::Host { address: host, is_reader, fallbacks } =
                self.source.borrow().clone()
            else {
                return None;
            };
            asked_hosts.push(host);
            let value = tokio::select! {
                biased;
                it = async { ask(self.reader_client(host)?, ReaderKind::Primary).await.value() } => it,
                () = self.source_changed_from(&asked_hosts, arrival) => continue,
            };
            break (accept(value), is_reader, fallbacks);
        };
        for it in fallbacks {
            if value.is_some() {
                break;
            }
            let Some(client) = self.reader_client(it) else { continue };
            value = accept(ask(client, ReaderKind::Fallback).await.value());
        }
        if let Some(it) = value {
            self.reader_outages().retain(|it| it.prefix != prefix);
            return Some(CallOutcome::Value(it));
        }
        if is_reader && self.may_bypass_readers(prefix, due_at, is_behind) {
            None
        } else {
            Some(CallOutcome::Unavailable)
        }
    }

    /// Records the era of a response; returns whether it is not from before a restoration of the
    /// store that this host knows of.
    fn record_era(&self, prefix: &str, revision: StoreRevision) -> bool {
        let StoreRevision { era, number } = revision;
        let mut newest_eras = self.newest_eras.lock().unwrap_or_else(PoisonError::into_inner);
        let newest = newest_eras.entry(prefix.to_owned()).or_default();
        if era != 0 && era < *newest {
            log::warn!("response of revision {number} of era {era} is ignored in era {newest}");
            return false;
        }
        *newest = era.max(*newest);
        true
    }

    /// Whether a call that no reader answered may go to the platform directly. A reader that is
    /// behind in the era may stay so until its own watch ends, so that the first call does not wait;
    /// further ones do, since many hosts may follow the reader.
    fn may_bypass_readers(&self, prefix: &str, due_at: Instant, is_behind: bool) -> bool {
        let mut reader_outages = self.reader_outages();
        let at = reader_outages.iter().position(|it| it.prefix == prefix).unwrap_or_else(|| {
            reader_outages.push(ReaderOutage {
                prefix: prefix.to_owned(),
                began_at: due_at.min(Instant::now()),
                has_bypassed_early: false,
                platform_failed_at: None,
            });
            reader_outages.len() - 1
        });
        let outage = &mut reader_outages[at];
        let is_early = is_behind && !outage.has_bypassed_early;
        outage.has_bypassed_early |= is_early;
        (is_early || outage.began_at.elapsed() >= BYPASS_DELAY)
            && outage.platform_failed_at.is_none_or(|it| it.elapsed() >= BYPASS_RETRY_DELAY)
    }

    fn reader_outages(&self) -> MutexGuard<'_, Vec<ReaderOutage>> {
        self.reader_outages.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call to the platform, and records whether a direct call on a prefix was answered.
    fn record_platform_call(&self, operation: &'static str, name: &str, is_answered: bool) {
        let kind = name.split('/').next().unwrap_or_default().to_owned();
        let result = if is_answered { "answered" } else { "failed" };
        let labels = CallLabels { operation, kind, result };
        self.platform_calls.get_or_create(&labels).inc();
        if let Some(it) = self.reader_outages().iter_mut().find(|it| it.prefix == name) {
            it.platform_failed_at = (!is_answered).then(Instant::now);
        }
    }

    /// Waits until a source that was not asked yet is followed. The asked host may have old data
    /// then, but a response that is arriving is awaited: a long transfer would never end if each
    /// change began it again, and the receiver checks the age of the data.
    async fn source_changed_from(&self, asked_hosts: &[SocketAddr], arrival: &Arrival) {
        let mut source = self.source.clone();
        let is_other = |it: &StoreSource| match it {
            StoreSource::Platform => true,
            StoreSource::Host { address, .. } => !asked_hosts.contains(address),
        };
        loop {
            if source.wait_for(is_other).await.is_err() {
                // Without a sender the source cannot change any more.
                std::future::pending::<()>().await;
            }
            if !arrival.is_arriving() {
                return;
            }
            arrival.wait_for(false).await;
        }
    }
}

impl<S: ObjectStore> ObjectStore for RelayedStore<S> {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        let res = self.platform.read(name).await;
        self.record_platform_call("read", name, res.is_value());
        res
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        let res = self.platform.write(name, value, condition).await;
        self.record_platform_call("write", name, res.is_answered());
        res
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        let res = self.platform.delete(name, condition).await;
        self.record_platform_call("delete", name, res.is_answered());
        res
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        self.list_with_arrival(prefix, &Arrival::default()).await
    }

    async fn list_with_arrival(&self, prefix: &str, arrival: &Arrival) -> CallOutcome<Listing> {
        let ask = |client: HttpObjectStore<RelayDialect>, _| async move {
            client.list_with_arrival(prefix, arrival).await
        };
        let revision = |it: &Listing| it.revision;
        let sent_at = Instant::now();
        if let Some(it) = self.ask_readers(prefix, sent_at, arrival, ask, revision).await {
            return it;
        }
        let res = self.platform.list_with_arrival(prefix, arrival).await;
        if let CallOutcome::Value(it) = &res {
            self.record_era(prefix, it.revision);
        }
        self.record_platform_call("list", prefix, res.is_value());
        res
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> CallOutcome<WatchResponse> {
        self.watch_with_arrival(prefix, after, wait, &Arrival::default()).await
    }

    async fn watch_with_arrival(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        arrival: &Arrival,
    ) -> CallOutcome<WatchResponse> {
        let until = Instant::now() + wait;
        let ask = |client: HttpObjectStore<RelayDialect>, reader_kind| {
            let wait = match reader_kind {
                ReaderKind::Primary => until.saturating_duration_since(Instant::now()),
                // A fallback reports missed changes at once and does not wait for new ones.
                ReaderKind::Fallback => Duration::ZERO,
            };
            async move { client.watch_with_arrival(prefix, after, wait, arrival).await }
        };
        if let Some(it) = self.ask_readers(prefix, until, arrival, ask, watch_revision).await {
            return it;
        }
        let wait = match *self.source.borrow() {
            StoreSource::Platform => until.saturating_duration_since(Instant::now()),
            StoreSource::Host { .. } => Duration::ZERO,
        };
        let res = self.platform.watch_with_arrival(prefix, after, wait, arrival).await;
        if let CallOutcome::Value(it) = &res {
            self.record_era(prefix, watch_revision(it));
        }
        self.record_platform_call("watch", prefix, res.is_value());
        res
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        let res = self.platform.list_hosts().await;
        self.record_platform_call("list", "hosts", res.is_value());
        res
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        let res = self.platform.announce(entry).await;
        self.record_platform_call("announce", "hosts", res.is_value());
        res
    }
}

/// Dialect of the protocol between hosts: lists and watches of a [`Mirror`](crate::mirror::Mirror).
#[derive(Debug, Clone, Copy)]
pub(crate) struct RelayDialect {
    /// Whether lists may come from a copy that is stale.
    any_age: bool,
}

impl RelayDialect {
    fn decode_response(response: &ApiResponse) -> CallOutcome<RelayResponse> {
        let body = response.body.as_deref().filter(|_| response.status.is_success());
        let Some(body) = body else { return CallOutcome::Unavailable };
        let decompressed;
        let body = if names_lz4(&response.headers, header::CONTENT_ENCODING) {
            let Some(it) = decompress(body) else { return CallOutcome::Unavailable };
            decompressed = it;
            decompressed.as_slice()
        } else {
            body
        };
        match bincode::decode_from_slice::<RelayResponse, _>(body, BINCODE_CONFIG) {
            Ok((it, _)) => CallOutcome::Value(it),
            Err(error) => {
                log::warn!("response of a reader cannot be decoded: {error}");
                CallOutcome::Unavailable
            }
        }
    }
}

impl Dialect for RelayDialect {
    fn encode_read(&self, name: &str) -> ApiRequest {
        ApiRequest::new(Method::GET, ["objects", name])
    }

    fn decode_read(&self, _: &ApiResponse) -> CallOutcome<Option<Object>> {
        CallOutcome::Unavailable
    }

    fn encode_write(&self, name: &str, _: &Bytes, _: Condition) -> ApiRequest {
        ApiRequest::new(Method::PUT, ["objects", name])
    }

    fn encode_create_fallback(
        &self,
        _: &str,
        _: &Bytes,
        _: Condition,
        _: &ApiResponse,
    ) -> Option<ApiRequest> {
        None
    }

    fn encode_delete(&self, name: &str, _: Condition) -> ApiRequest {
        ApiRequest::new(Method::DELETE, ["objects", name])
    }

    fn decode_write(&self, _: &ApiResponse) -> WriteOutcome {
        // Hosts relay only lists and watches.
        WriteOutcome::Unavailable
    }

    fn encode_list(&self, prefix: &str, _: Option<&str>) -> ApiRequest {
        ApiRequest::new(Method::GET, ["list"])
            .with_query("prefix", prefix)
            .with_query("any_age", self.any_age)
            .with_header(header::ACCEPT_ENCODING, LZ4_ENCODING)
    }

    fn decode_list(&self, _: &str, response: &ApiResponse) -> CallOutcome<ListPage> {
        Self::decode_response(response).map(|it| {
            let objects = it.objects.into_iter().filter_map(|(name, version, value)| {
                let value = Some(Bytes::from(value));
                Some(ListedObject { name, version: version?, age_ms: 0, value })
            });
            let listing = Listing {
                revision: relayed_revision(response, it.revision),
                objects: objects.collect(),
                staleness: Duration::from_millis(it.age_ms),
            };
            ListPage { listing, next_after: None }
        })
    }

    fn encode_watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> ApiRequest {
        ApiRequest::new(Method::GET, ["watch"])
            .with_query("prefix", prefix)
            .with_query("after", after.number)
            .with_query("era", after.era)
            .with_query("wait_ms", wait.as_millis())
            .with_header(header::ACCEPT_ENCODING, LZ4_ENCODING)
    }

    fn decode_watch(&self, _: &str, response: &ApiResponse) -> CallOutcome<WatchResponse> {
        if response.status == StatusCode::GONE {
            return CallOutcome::Value(WatchResponse::RevisionTooOld);
        }
        Self::decode_response(response).map(|it| WatchResponse::Changes {
            revision: relayed_revision(response, it.revision),
            changes: it
                .objects
                .into_iter()
                .map(|(name, version, value)| {
                    let value = version.map(|_| Bytes::from(value));
                    ObjectChange { name, version, value }
                })
                .collect(),
            staleness: Duration::from_millis(it.age_ms),
        })
    }

    fn encode_list_hosts(&self) -> ApiRequest {
        ApiRequest::new(Method::GET, ["hosts"])
    }

    fn decode_list_hosts(&self, _: &ApiResponse) -> CallOutcome<Vec<HostEntry>> {
        CallOutcome::Unavailable
    }

    fn encode_announce(&self, _: &HostEntry) -> Announcement {
        Announcement::Request(ApiRequest::new(Method::PUT, ["hosts"]))
    }
}

/// Serves lists and watches to other hosts until the future is dropped.
pub(crate) async fn serve(listener: TcpListener, state: Rc<State>) {
    let handler = move |request: Request<Incoming>| {
        let state = Rc::clone(&state);
        async move { handle(&state, &request).await }
    };
    serve_http(listener, handler).await;
}

/// Handles a call of another host.
async fn handle(state: &State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let query = request.uri().query().unwrap_or_default();
    let query_parameter = |name| endpoints::query_parameter(query, name);
    // Prefixes end with a slash, which is percent-encoded in queries.
    let prefix = query_parameter("prefix").unwrap_or_default().replace("%2F", "/");
    let numeric_parameter = |name| query_parameter(name).and_then(|it| it.parse::<u64>().ok());
    let result = match request.uri().path() {
        "/list" => {
            let any_age = query_parameter("any_age").is_some_and(|it| it == "true");
            state.mirror.list(&prefix, any_age, Instant::now())
        }
        "/watch" => {
            let wait = Duration::from_millis(numeric_parameter("wait_ms").unwrap_or(0))
                .min(MAX_WATCH_WAIT);
            let after = StoreRevision {
                era: numeric_parameter("era").unwrap_or(0),
                number: numeric_parameter("after").unwrap_or(0),
            };
            state.mirror.watch(&prefix, after, wait).await
        }
        _ => return status_response(StatusCode::NOT_FOUND),
    };
    match result {
        Ok(EraResponse { era, response }) => {
            match bincode::encode_to_vec(&response, BINCODE_CONFIG) {
                Ok(it) => {
                    let accepts_lz4 = names_lz4(request.headers(), header::ACCEPT_ENCODING);
                    let mut res = encoded_response(it, accepts_lz4);
                    res.headers_mut().insert(ERA_HEADER, HeaderValue::from(era));
                    res
                }
                Err(error) => {
                    log::warn!("response to a host cannot be encoded: {error}");
                    status_response(StatusCode::INTERNAL_SERVER_ERROR)
                }
            }
        }
        Err(MirrorError::NotSynced | MirrorError::Stale) => {
            status_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Err(MirrorError::TooOld) => status_response(StatusCode::GONE),
    }
}

/// Response with an encoded list or watch. A manifest of thousands of routes fills a slow link for a
/// second, in which the heartbeats to the host are lost; compressed it is several times shorter.
fn encoded_response(encoded: Vec<u8>, accepts_lz4: bool) -> Response<Full<Bytes>> {
    if !accepts_lz4 || encoded.len() < MIN_COMPRESSED_BYTES {
        return Response::new(Full::new(Bytes::from(encoded)));
    }
    let compressed = lz4_flex::block::compress_prepend_size(&encoded);
    let mut res = Response::new(Full::new(Bytes::from(compressed)));
    res.headers_mut().insert(header::CONTENT_ENCODING, HeaderValue::from_static(LZ4_ENCODING));
    res
}

/// Revision of a response to a watch; of an unknown era if it names none.
fn watch_revision(response: &WatchResponse) -> StoreRevision {
    match response {
        WatchResponse::Changes { revision, .. } => *revision,
        WatchResponse::RevisionTooOld => StoreRevision::default(),
    }
}

fn relayed_revision(response: &ApiResponse, number: u64) -> StoreRevision {
    StoreRevision { era: response.header_number(ERA_HEADER).unwrap_or(0), number }
}

fn names_lz4(headers: &HeaderMap, name: header::HeaderName) -> bool {
    headers.get(name).is_some_and(|it| it == LZ4_ENCODING)
}

/// Decompresses a response; `None` if it is invalid or longer than any valid one.
fn decompress(body: &[u8]) -> Option<Vec<u8>> {
    let (length, block) = lz4_flex::block::uncompressed_size(body)
        .inspect_err(|error| log::warn!("response of a reader cannot be decompressed: {error}"))
        .ok()?;
    if length > MAX_RESPONSE_BYTES {
        log::warn!("response of a reader of {length} bytes is longer than {MAX_RESPONSE_BYTES}");
        return None;
    }
    lz4_flex::block::decompress(block, length)
        .inspect_err(|error| log::warn!("response of a reader cannot be decompressed: {error}"))
        .ok()
}

fn status_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
