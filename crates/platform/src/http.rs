//! Client of the object API over HTTP.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use anyhow::{Context as _, ensure};
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use reqwest::{Client, Response, Url};
use tokio::time::{Instant, timeout_at};

use crate::{
    dialect::{Announcement, ApiRequest, ApiResponse, Dialect, PlainDialect},
    object::{
        Arrival, CallOutcome, Condition, HostEntry, Listing, Object, ObjectStore, StoreRevision,
        WatchResponse, WriteOutcome,
    },
};

/// Maximum number of pages of one list, so that the list ends even if the platform repeats a page.
const MAX_LIST_PAGES: usize = 200;

/// Maximum size of a response. Objects have at most 1 MB; a page of a list of 1 MB, and a relayed
/// list of all registrations, are longer by their encoding.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time for a response's body besides the time that its bytes take: a few retransmissions.
const BODY_TIMEOUT: Duration = Duration::from_millis(1000);

/// Minimum rate of a response's body in bytes per second, a twentieth of a link of 10 Mbit/s. The
/// call goes to another host if the body arrives more slowly.
const MIN_BODY_RATE: f64 = 62_500.0;

/// Maximum time for a response's body: one of 8 MB over a link of 10 Mbit/s.
const MAX_BODY_TIME: Duration = Duration::from_secs(7);

/// URL and timeouts of an [`HttpObjectStore`].
///
/// The timeouts of calls end with the head of the response. The body may take longer as long as
/// enough bytes arrive; a list that is given up and begun again never ends over a slow link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpStoreSettings {
    /// Base URL of the platform, for example `http://10.0.0.1:7000`.
    pub base_url: String,
    /// Timeout for opening a connection.
    pub connect_timeout_ms: u64,
    /// Timeout of a read, of one page of a list, of the host list and of an announcement request.
    pub read_timeout_ms: u64,
    /// Timeout of one request that writes or deletes.
    pub write_timeout_ms: u64,
    /// Timeout of a watch beyond its wait.
    pub watch_margin_ms: u64,
}

impl HttpStoreSettings {
    /// Creates settings with default timeouts.
    pub fn new(base_url: &str) -> Self {
        Self {
            base_url: base_url.to_owned(),
            connect_timeout_ms: 1000,
            read_timeout_ms: 2000,
            write_timeout_ms: 3000,
            watch_margin_ms: 1000,
        }
    }
}

/// HTTP client of the object API; clones share their connections.
#[derive(Debug, Clone)]
pub struct HttpObjectStore<D = PlainDialect> {
    client: Client,
    base_url: Url,
    settings: HttpStoreSettings,
    dialect: D,
    /// Newest era in a response, 0 if none named one; shared by all clones.
    newest_era: Arc<AtomicU64>,
}

/// Reason why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestError {
    /// No byte of the request was sent.
    NotSent,
    /// The platform may have received the request.
    NoResponse,
}

impl HttpObjectStore {
    /// Creates a client with [`PlainDialect`]; fails if the base URL is invalid.
    pub fn new(settings: HttpStoreSettings) -> anyhow::Result<Self> {
        Self::with_dialect(settings, PlainDialect)
    }
}

impl<D: Dialect> HttpObjectStore<D> {
    /// Creates a client, which opens connections on demand; fails if the base URL is invalid.
    pub fn with_dialect(settings: HttpStoreSettings, dialect: D) -> anyhow::Result<Self> {
        let subject = format!("platform URL `{}`", settings.base_url);
        let base_url = Url::parse(&settings.base_url)
            .with_context(|| format!("{subject} is invalid (hint: use http://HOST:PORT)"))?;
        ensure!(
            !base_url.cannot_be_a_base(),
            "{subject} cannot be a base URL (hint: use http://HOST:PORT)"
        );
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            .build()?;
        Ok(Self { client, base_url, settings, dialect, newest_era: Arc::default() })
    }

    /// Sends a request and receives the complete response. `timeout` is the time until its head.
    async fn send(
        &self,
        request: ApiRequest,
        timeout: Duration,
        arrival: &Arrival,
    ) -> Result<ApiResponse, RequestError> {
        let deadline = Instant::now() + timeout;
        let path = request.path.join("/");
        let mut url = self.base_url.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(&request.path);
        }
        let mut builder = self.client.request(request.method, url);
        if !request.query.is_empty() {
            builder = builder.query(&request.query);
        }
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        if let Some(body) = request.body {
            builder = builder.body(body);
        }
        let response = match timeout_at(deadline, builder.send()).await {
            Ok(Ok(it)) => it,
            // Without a connection no byte of the request was sent.
            Ok(Err(error)) if error.is_connect() => {
                log::debug!("cannot connect to the platform: {error:#}");
                return Err(RequestError::NotSent);
            }
            Ok(Err(error)) => {
                log::debug!("request to the platform failed: {error:#}");
                return Err(RequestError::NoResponse);
            }
            Err(_) => {
                log::debug!("platform did not respond within {} ms", timeout.as_millis());
                return Err(RequestError::NoResponse);
            }
        };
        let (status, headers) = (response.status(), response.headers().clone());
        let mut received = BytesMut::new();
        let arriving = arrival.begin();
        let is_complete = read_body(response, &mut received).await;
        drop(arriving);
        if !is_complete {
            log::warn!("response to {path} is incomplete: {} bytes received", received.len());
        }
        let res = ApiResponse { status, headers, body: is_complete.then(|| received.freeze()) };
        self.newest_era.fetch_max(self.dialect.decode_era(&res), Ordering::Relaxed);
        Ok(res)
    }

    /// Sends a request that can be repeated without harm.
    async fn send_repeatable(
        &self,
        request: ApiRequest,
        timeout: Duration,
        arrival: &Arrival,
    ) -> CallOutcome<ApiResponse> {
        match self.send(request, timeout, arrival).await {
            Ok(it) if it.status == StatusCode::TOO_MANY_REQUESTS => {
                CallOutcome::Throttled { retry_after_ms: it.retry_after_ms() }
            }
            Ok(it) => CallOutcome::Value(it),
            Err(_) => CallOutcome::Unavailable,
        }
    }

    /// Sends a write or a deletion.
    async fn send_write(&self, request: ApiRequest) -> Result<ApiResponse, WriteOutcome> {
        let timeout = Duration::from_millis(self.settings.write_timeout_ms);
        match self.send(request, timeout, &Arrival::default()).await {
            Ok(it) if it.status == StatusCode::TOO_MANY_REQUESTS => {
                Err(WriteOutcome::Throttled { retry_after_ms: it.retry_after_ms() })
            }
            Ok(it) => Ok(it),
            Err(RequestError::NotSent) => Err(WriteOutcome::Unavailable),
            Err(RequestError::NoResponse) => Err(WriteOutcome::Unknown),
        }
    }

    fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.read_timeout_ms)
    }
}

impl<D: Dialect> ObjectStore for HttpObjectStore<D> {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        let request = self.dialect.encode_read(name);
        let response =
            self.send_repeatable(request, self.read_timeout(), &Arrival::default()).await;
        response.and_then(|it| self.dialect.decode_read(&it))
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        let mut response =
            match self.send_write(self.dialect.encode_write(name, &value, condition)).await {
                Ok(it) => it,
                Err(it) => return it,
            };
        if let Some(request) =
            self.dialect.encode_create_fallback(name, &value, condition, &response)
        {
            response = match self.send_write(request).await {
                Ok(it) => it,
                Err(it) => return it,
            };
        }
        self.dialect.decode_write(&response)
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        match self.send_write(self.dialect.encode_delete(name, condition)).await {
            Ok(it) => self.dialect.decode_write(&it),
            Err(it) => it,
        }
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        self.list_with_arrival(prefix, &Arrival::default()).await
    }

    async fn list_with_arrival(&self, prefix: &str, arrival: &Arrival) -> CallOutcome<Listing> {
        let mut res: Option<Listing> = None;
        let mut after: Option<String> = None;
        for _ in 0..MAX_LIST_PAGES {
            let request = self.dialect.encode_list(prefix, after.as_deref());
            let response = self.send_repeatable(request, self.read_timeout(), arrival).await;
            let page = match response.and_then(|it| self.dialect.decode_list(prefix, &it)) {
                CallOutcome::Value(it) => it,
                CallOutcome::Unavailable => return CallOutcome::Unavailable,
                CallOutcome::Throttled { retry_after_ms } => {
                    return CallOutcome::Throttled { retry_after_ms };
                }
            };
            match &mut res {
                Some(listing) if listing.revision.era != page.listing.revision.era => {
                    log::warn!("platform was restored during a list of `{prefix}`");
                    return CallOutcome::Unavailable;
                }
                // The revision of the first page is kept: a watch from there may repeat changes
                // that later pages already contain, but misses none.
                Some(listing) => listing.objects.extend(page.listing.objects),
                None => res = Some(page.listing),
            }
            if page.next_after.is_some() && page.next_after == after {
                log::warn!("list of `{prefix}` does not go on after a page");
                return CallOutcome::Unavailable;
            }
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        if after.is_some() {
            log::warn!(
                "list of objects with prefix `{prefix}` has more than {MAX_LIST_PAGES} pages"
            );
            return CallOutcome::Unavailable;
        }
        res.map_or(CallOutcome::Unavailable, CallOutcome::Value)
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
        let timeout = wait + Duration::from_millis(self.settings.watch_margin_ms);
        let request = self.dialect.encode_watch(prefix, after, wait);
        let response = self.send_repeatable(request, timeout, arrival).await;
        response.and_then(|it| self.dialect.decode_watch(prefix, &it))
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        let request = self.dialect.encode_list_hosts();
        let response =
            self.send_repeatable(request, self.read_timeout(), &Arrival::default()).await;
        response.and_then(|it| self.dialect.decode_list_hosts(&it))
    }

    fn newest_era(&self) -> u64 {
        self.newest_era.load(Ordering::Relaxed)
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        let request = match self.dialect.encode_announce(entry) {
            Announcement::Request(it) => it,
            Announcement::Write { name, value } => {
                let mut outcome = self.write(&name, value.clone(), Condition::Absent).await;
                if let WriteOutcome::Conflict { .. } = outcome {
                    outcome = self.write(&name, value, Condition::Always).await;
                }
                return match outcome {
                    WriteOutcome::Written { .. } => CallOutcome::Value(()),
                    WriteOutcome::Throttled { retry_after_ms } => {
                        CallOutcome::Throttled { retry_after_ms }
                    }
                    other => {
                        log::warn!(
                            "announcement of host {} was not written: {other:?}",
                            entry.name
                        );
                        CallOutcome::Unavailable
                    }
                };
            }
        };
        let response =
            self.send_repeatable(request, self.read_timeout(), &Arrival::default()).await;
        response.and_then(|response| {
            if response.status.is_success() {
                return CallOutcome::Value(());
            }
            log::warn!(
                "platform rejected the announcement of host {}: {}",
                entry.name,
                response.status
            );
            CallOutcome::Unavailable
        })
    }
}

/// Appends the body of a response to `received`; returns whether it is complete and not longer than
/// any valid one.
async fn read_body(mut response: Response, received: &mut BytesMut) -> bool {
    let started_at = Instant::now();
    loop {
        let transfer_time = Duration::from_secs_f64(received.len() as f64 / MIN_BODY_RATE);
        let max_time = (BODY_TIMEOUT + transfer_time).min(MAX_BODY_TIME);
        match timeout_at(started_at + max_time, response.chunk()).await {
            Ok(Ok(Some(it))) if received.len() + it.len() <= MAX_RESPONSE_BYTES => {
                received.extend_from_slice(&it)
            }
            Ok(Ok(Some(_))) => {
                log::warn!("response is longer than {MAX_RESPONSE_BYTES} bytes and is dropped");
                return false;
            }
            Ok(Ok(None)) => return true,
            Ok(Err(error)) => {
                log::debug!("response broke off: {error:#}");
                return false;
            }
            Err(_) => return false,
        }
    }
}
