//! The object API over HTTP.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use http::StatusCode;
use reqwest::{Client, Url};
use tokio::time::{Instant, timeout_at};

use crate::{
    dialect::{Announcement, ApiRequest, ApiResponse, Dialect, PlainDialect},
    object::{
        CallOutcome, Condition, HostEntry, Listing, Object, ObjectStore, WatchResponse,
        WriteOutcome,
    },
};

/// Pages of one list at most, so that a platform that repeats a page cannot hold a reader.
const MAX_PAGES: usize = 200;

/// Where the platform is and how long its calls may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpStoreSettings {
    /// Base URL, for example `http://10.0.0.1:7000`.
    pub base_url: String,
    /// Time for opening a connection.
    pub connect_timeout_ms: u64,
    /// Time for reads, lists and announcements.
    pub read_timeout_ms: u64,
    /// Time for writes and deletions.
    pub write_timeout_ms: u64,
    /// Time for the response to a watch beyond its wait.
    pub watch_margin_ms: u64,
}

impl HttpStoreSettings {
    /// Settings with default timeouts.
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

/// Client of the object API; clones share their connections.
#[derive(Debug, Clone)]
pub struct HttpObjectStore<D = PlainDialect> {
    /// The HTTP client.
    client: Client,
    /// Base of all URLs.
    base: Url,
    /// Timeouts.
    settings: HttpStoreSettings,
    /// What calls look like.
    dialect: D,
}

/// A call that brought no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFailure {
    /// No byte of it was sent.
    NotSent,
    /// It may have been received.
    NoReply,
}

impl HttpObjectStore {
    /// A client of the plain dialect that opens connections on demand.
    pub fn new(settings: HttpStoreSettings) -> anyhow::Result<Self> {
        Self::with_dialect(settings, PlainDialect)
    }
}

impl<D: Dialect> HttpObjectStore<D> {
    /// A client that opens connections on demand.
    pub fn with_dialect(settings: HttpStoreSettings, dialect: D) -> anyhow::Result<Self> {
        let place = format!("platform URL `{}`", settings.base_url);
        let base = Url::parse(&settings.base_url)
            .with_context(|| format!("{place} cannot be read (hint: use http://HOST:PORT)"))?;
        ensure!(!base.cannot_be_a_base(), "{place} is no base (hint: use http://HOST:PORT)");
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            .build()?;
        Ok(Self { client, base, settings, dialect })
    }

    /// Sends a call and reads its response.
    async fn call(&self, call: ApiRequest, timeout: Duration) -> Result<ApiResponse, CallFailure> {
        let deadline = Instant::now() + timeout;
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().extend(&call.path);
        }
        let mut request = self.client.request(call.method, url);
        if !call.query.is_empty() {
            request = request.query(&call.query);
        }
        for (name, value) in call.headers {
            request = request.header(name, value);
        }
        if let Some(body) = call.body {
            request = request.body(body);
        }
        let response = match timeout_at(deadline, request.send()).await {
            Ok(Ok(it)) => it,
            // Without a connection no byte of the request was sent.
            Ok(Err(error)) if error.is_connect() => {
                log::debug!("platform cannot be reached: {error:#}");
                return Err(CallFailure::NotSent);
            }
            Ok(Err(error)) => {
                log::debug!("platform call got no response: {error:#}");
                return Err(CallFailure::NoReply);
            }
            Err(_) => {
                log::debug!("platform call got no response in {} ms", timeout.as_millis());
                return Err(CallFailure::NoReply);
            }
        };
        let (status, headers) = (response.status(), response.headers().clone());
        let body = timeout_at(deadline, response.bytes()).await;
        Ok(ApiResponse { status, headers, body: body.ok().and_then(Result::ok) })
    }

    /// Sends a call that has no lasting effect.
    async fn fetch(&self, call: ApiRequest, timeout: Duration) -> CallOutcome<ApiResponse> {
        match self.call(call, timeout).await {
            Ok(it) if it.status == StatusCode::TOO_MANY_REQUESTS => {
                CallOutcome::Throttled { retry_after_ms: it.retry_after_ms() }
            }
            Ok(it) => CallOutcome::Value(it),
            Err(_) => CallOutcome::Unavailable,
        }
    }

    /// Sends a write or a deletion.
    async fn change(&self, call: ApiRequest) -> Result<ApiResponse, WriteOutcome> {
        let timeout = Duration::from_millis(self.settings.write_timeout_ms);
        match self.call(call, timeout).await {
            Ok(it) if it.status == StatusCode::TOO_MANY_REQUESTS => {
                Err(WriteOutcome::Throttled { retry_after_ms: it.retry_after_ms() })
            }
            Ok(it) => Ok(it),
            Err(CallFailure::NotSent) => Err(WriteOutcome::Unavailable),
            Err(CallFailure::NoReply) => Err(WriteOutcome::Unknown),
        }
    }

    /// Time for a call that reads.
    fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.read_timeout_ms)
    }
}

impl<D: Dialect> ObjectStore for HttpObjectStore<D> {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        let reply = self.fetch(self.dialect.encode_read(name), self.read_timeout()).await;
        reply.and_then(|it| self.dialect.decode_read(&it))
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        let mut reply = match self.change(self.dialect.encode_write(name, &value, condition)).await
        {
            Ok(it) => it,
            Err(it) => return it,
        };
        if let Some(call) = self.dialect.encode_create_fallback(name, &value, condition, &reply) {
            reply = match self.change(call).await {
                Ok(it) => it,
                Err(it) => return it,
            };
        }
        self.dialect.decode_write(&reply)
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        match self.change(self.dialect.encode_delete(name, condition)).await {
            Ok(it) => self.dialect.decode_write(&it),
            Err(it) => it,
        }
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        let mut res: Option<Listing> = None;
        let mut after: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let call = self.dialect.encode_list(prefix, after.as_deref());
            let reply = self.fetch(call, self.read_timeout()).await;
            let page = match reply.and_then(|it| self.dialect.decode_list(prefix, &it)) {
                CallOutcome::Value(it) => it,
                CallOutcome::Unavailable => return CallOutcome::Unavailable,
                CallOutcome::Throttled { retry_after_ms } => {
                    return CallOutcome::Throttled { retry_after_ms };
                }
            };
            match &mut res {
                // A watch from the first page's revision repeats what later pages already show.
                Some(listing) => listing.objects.extend(page.listing.objects),
                None => res = Some(page.listing),
            }
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        if after.is_some() {
            log::warn!("list of `{prefix}` has more than {MAX_PAGES} pages");
            return CallOutcome::Unavailable;
        }
        res.map_or(CallOutcome::Unavailable, CallOutcome::Value)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> CallOutcome<WatchResponse> {
        let timeout = wait + Duration::from_millis(self.settings.watch_margin_ms);
        let reply = self.fetch(self.dialect.encode_watch(prefix, after, wait), timeout).await;
        reply.and_then(|it| self.dialect.decode_watch(prefix, &it))
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        let reply = self.fetch(self.dialect.encode_list_hosts(), self.read_timeout()).await;
        reply.and_then(|it| self.dialect.decode_list_hosts(&it))
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        let call = match self.dialect.encode_announce(entry) {
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
                        log::warn!("announcement of {} was not written: {other:?}", entry.name);
                        CallOutcome::Unavailable
                    }
                };
            }
        };
        self.fetch(call, self.read_timeout()).await.and_then(|reply| {
            if reply.status.is_success() {
                return CallOutcome::Value(());
            }
            log::warn!("platform refused the announcement of {}: {}", entry.name, reply.status);
            CallOutcome::Unavailable
        })
    }
}
