//! The object API over HTTP.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use reqwest::{Client, Method, RequestBuilder, Response, StatusCode, Url, header};
use serde::{Deserialize, de::DeserializeOwned};

use crate::object::{
    Answer, Condition, HostEntry, Listing, Object, ObjectChange, ObjectStore, Watched, WriteOutcome,
};

/// Wait after a throttled call whose response names no time.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Longest wait that a throttled response may ask for.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

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
pub struct HttpObjectStore {
    /// The HTTP client.
    client: Client,
    /// Base of all URLs.
    base: Url,
    /// Timeouts.
    settings: HttpStoreSettings,
}

impl HttpObjectStore {
    /// A client that opens connections on demand.
    pub fn new(settings: HttpStoreSettings) -> anyhow::Result<Self> {
        let place = format!("platform URL `{}`", settings.base_url);
        let base = Url::parse(&settings.base_url)
            .with_context(|| format!("{place} cannot be read (hint: use http://HOST:PORT)"))?;
        ensure!(!base.cannot_be_a_base(), "{place} is no base (hint: use http://HOST:PORT)");
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(Duration::from_millis(settings.connect_timeout_ms))
            .build()?;
        Ok(Self { client, base, settings })
    }

    /// A request to the path made of `segments`, which are escaped.
    fn request<'s>(
        &self,
        method: Method,
        segments: impl IntoIterator<Item = &'s str>,
    ) -> RequestBuilder {
        let mut url = self.base.clone();
        if let Ok(mut path) = url.path_segments_mut() {
            path.pop_if_empty().push("v1").extend(segments);
        }
        self.client.request(method, url)
    }

    /// A request to an object.
    fn object_request(&self, method: Method, name: &str) -> RequestBuilder {
        self.request(method, std::iter::once("objects").chain(name.split('/')))
    }

    /// Sends a call that has no lasting effect and reads its JSON response.
    async fn call<T: DeserializeOwned>(
        &self,
        request: RequestBuilder,
        timeout: Duration,
    ) -> Answer<T> {
        let response = match self.send(request, timeout).await {
            Answer::Value(it) if it.status().is_success() => it,
            Answer::Value(_) | Answer::Unavailable => return Answer::Unavailable,
            Answer::Throttled { retry_after_ms } => return Answer::Throttled { retry_after_ms },
        };
        match response.json().await {
            Ok(it) => Answer::Value(it),
            Err(error) => {
                log::warn!("platform sent an unreadable response: {error}");
                Answer::Unavailable
            }
        }
    }

    /// Sends a call that has no lasting effect.
    async fn send(&self, request: RequestBuilder, timeout: Duration) -> Answer<Response> {
        match request.timeout(timeout).send().await {
            Ok(it) if it.status() == StatusCode::TOO_MANY_REQUESTS => {
                Answer::Throttled { retry_after_ms: retry_after_ms(it).await }
            }
            Ok(it) => Answer::Value(it),
            Err(error) => {
                log::debug!("platform call failed: {error:#}");
                Answer::Unavailable
            }
        }
    }

    /// Sends a write or a deletion.
    async fn change(&self, request: RequestBuilder, condition: Condition) -> WriteOutcome {
        let request = match condition {
            Condition::Always => request,
            Condition::Absent => request.header(header::IF_NONE_MATCH, "*"),
            Condition::Version(it) => request.header(header::IF_MATCH, format!("\"{it}\"")),
        };
        let timeout = Duration::from_millis(self.settings.write_timeout_ms);
        let response = match request.timeout(timeout).send().await {
            Ok(it) => it,
            // Without a connection no byte of the request was sent.
            Err(error) if error.is_connect() => return WriteOutcome::Unavailable,
            Err(error) => {
                log::debug!("platform write got no response: {error:#}");
                return WriteOutcome::Unknown;
            }
        };
        match response.status() {
            it if it.is_success() => match version(&response) {
                Some(version) => WriteOutcome::Written { version },
                None => WriteOutcome::Unknown,
            },
            StatusCode::PRECONDITION_FAILED => {
                // The condition failed even when the body that names the version was cut off.
                let body = response.json::<ConflictBody>().await;
                WriteOutcome::Conflict { current: body.ok().and_then(|it| it.current) }
            }
            StatusCode::PAYLOAD_TOO_LARGE => WriteOutcome::TooLarge,
            StatusCode::TOO_MANY_REQUESTS => {
                WriteOutcome::Throttled { retry_after_ms: retry_after_ms(response).await }
            }
            // The platform answers 503 only for calls that it did not begin.
            StatusCode::SERVICE_UNAVAILABLE => WriteOutcome::Unavailable,
            it if it.is_client_error() => WriteOutcome::Unavailable,
            _ => WriteOutcome::Unknown,
        }
    }

    /// Time for a call that reads.
    fn read_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.read_timeout_ms)
    }
}

impl ObjectStore for HttpObjectStore {
    async fn read(&self, name: &str) -> Answer<Option<Object>> {
        let request = self.object_request(Method::GET, name);
        let response = match self.send(request, self.read_timeout()).await {
            Answer::Value(it) => it,
            Answer::Unavailable => return Answer::Unavailable,
            Answer::Throttled { retry_after_ms } => return Answer::Throttled { retry_after_ms },
        };
        if response.status() == StatusCode::NOT_FOUND {
            return Answer::Value(None);
        }
        let version = version(&response).filter(|_| response.status().is_success());
        match (version, response.bytes().await) {
            (Some(version), Ok(bytes)) => Answer::Value(Some(Object { version, bytes })),
            _ => Answer::Unavailable,
        }
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        self.change(self.object_request(Method::PUT, name).body(value), condition).await
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        self.change(self.object_request(Method::DELETE, name), condition).await
    }

    async fn list(&self, prefix: &str) -> Answer<Listing> {
        let request = self.request(Method::GET, ["objects"]).query(&[("prefix", prefix)]);
        self.call(request, self.read_timeout()).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        let wait_ms = wait.as_millis().to_string();
        let query = [("prefix", prefix), ("after", &after.to_string()), ("timeout_ms", &wait_ms)];
        let request = self.request(Method::GET, ["watch"]).query(&query);
        let timeout = wait + Duration::from_millis(self.settings.watch_margin_ms);
        let response = match self.send(request, timeout).await {
            Answer::Value(it) => it,
            Answer::Unavailable => return Answer::Unavailable,
            Answer::Throttled { retry_after_ms } => return Answer::Throttled { retry_after_ms },
        };
        if response.status() == StatusCode::GONE {
            return Answer::Value(Watched::TooOld);
        }
        if !response.status().is_success() {
            return Answer::Unavailable;
        }
        match response.json::<WatchBody>().await {
            Ok(WatchBody { revision, changes }) => {
                Answer::Value(Watched::Changes { revision, changes })
            }
            Err(_) => Answer::Unavailable,
        }
    }

    async fn hosts(&self) -> Answer<Vec<HostEntry>> {
        let request = self.request(Method::GET, ["hosts"]);
        self.call::<HostsBody>(request, self.read_timeout()).await.map(|it| it.hosts)
    }

    async fn announce(&self, entry: &HostEntry) -> Answer<()> {
        let request = self.request(Method::PUT, ["hosts", &entry.name]).json(entry);
        match self.send(request, self.read_timeout()).await {
            Answer::Value(it) if it.status().is_success() => Answer::Value(()),
            Answer::Value(it) => {
                log::warn!("platform refused the announcement of {}: {}", entry.name, it.status());
                Answer::Unavailable
            }
            Answer::Unavailable => Answer::Unavailable,
            Answer::Throttled { retry_after_ms } => Answer::Throttled { retry_after_ms },
        }
    }
}

/// Body of a response to a write whose condition did not hold.
#[derive(Debug, Deserialize)]
struct ConflictBody {
    /// Version of the object.
    current: Option<u64>,
}

/// Body of a response to a throttled call.
#[derive(Debug, Deserialize)]
struct ThrottledBody {
    /// Time after which to repeat the call.
    retry_after_ms: u64,
}

/// Body of a response to a watch.
#[derive(Debug, Deserialize)]
struct WatchBody {
    /// Revision from which to watch on.
    revision: u64,
    /// The changed objects.
    changes: Vec<ObjectChange>,
}

/// Body of the host list.
#[derive(Debug, Deserialize)]
struct HostsBody {
    /// The hosts.
    hosts: Vec<HostEntry>,
}

/// The version in the `ETag` of a response.
fn version(response: &Response) -> Option<u64> {
    let text = response.headers().get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}

/// When to repeat a throttled call: by its body, else by its header.
async fn retry_after_ms(response: Response) -> u64 {
    let seconds = response.headers().get(header::RETRY_AFTER);
    let seconds = seconds.and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    let body = response.json::<ThrottledBody>().await.ok().map(|it| it.retry_after_ms);
    let wait_ms = body.or(seconds.map(|it| it.saturating_mul(1000)));
    wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS).min(MAX_RETRY_AFTER_MS)
}
