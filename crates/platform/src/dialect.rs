//! How calls of the object API look on the wire.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, de::DeserializeOwned};

use crate::object::{
    CallOutcome, Condition, HostEntry, ListedObject, Listing, Object, ObjectChange, WatchResponse,
    WriteOutcome,
};

/// Wait after a throttled call whose response names no time.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Longest wait that a throttled response may ask for.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Translates calls of the object API into HTTP requests and their responses back.
///
/// One client serves every platform; what differs between platforms is a dialect.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads one object.
    fn encode_read(&self, name: &str) -> ApiRequest;

    /// The object in the response to a read.
    fn decode_read(&self, reply: &ApiResponse) -> CallOutcome<Option<Object>>;

    /// Writes one object.
    fn encode_write(&self, name: &str, value: &Bytes, condition: Condition) -> ApiRequest;

    /// The call that creates an object, where an unconditional write replaces objects only.
    fn encode_create_fallback(
        &self,
        name: &str,
        value: &Bytes,
        condition: Condition,
        reply: &ApiResponse,
    ) -> Option<ApiRequest>;

    /// Deletes one object.
    fn encode_delete(&self, name: &str, condition: Condition) -> ApiRequest;

    /// The outcome in the response to a write or a deletion.
    fn decode_write(&self, reply: &ApiResponse) -> WriteOutcome;

    /// Lists one page of the objects whose name starts with `prefix`.
    fn encode_list(&self, prefix: &str, after: Option<&str>) -> ApiRequest;

    /// The page in the response to a list.
    fn decode_list(&self, prefix: &str, reply: &ApiResponse) -> CallOutcome<ListPage>;

    /// Waits for a change after a revision.
    fn encode_watch(&self, prefix: &str, after: u64, wait: Duration) -> ApiRequest;

    /// The changes in the response to a watch.
    fn decode_watch(&self, prefix: &str, reply: &ApiResponse) -> CallOutcome<WatchResponse>;

    /// Lists the announced hosts.
    fn encode_list_hosts(&self) -> ApiRequest;

    /// The hosts in the response to a host list.
    fn decode_list_hosts(&self, reply: &ApiResponse) -> CallOutcome<Vec<HostEntry>>;

    /// Announces a host, unless announcing is a write of the object that is answered.
    fn encode_announce(&self, entry: &HostEntry) -> Announcement;
}

/// How a host is announced.
#[derive(Debug, Clone)]
pub enum Announcement {
    /// By a call of its own.
    Request(ApiRequest),
    /// By an unconditional write.
    Write {
        /// Name of the object.
        name: String,
        /// Its value.
        value: Bytes,
    },
}

/// One request to the platform.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// The method.
    pub method: Method,
    /// Segments of the path, not yet escaped.
    pub path: Vec<String>,
    /// The query.
    pub query: Vec<(String, String)>,
    /// Headers beside those of HTTP itself.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Option<Bytes>,
}

/// One response of the platform, read to its end.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, `None` when the connection broke before its end.
    pub body: Option<Bytes>,
}

/// A part of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// The objects and the revision.
    pub listing: Listing,
    /// Name after which the next page begins.
    pub next_after: Option<String>,
}

impl ApiRequest {
    /// A call without a query, further headers or a body.
    pub fn new<S: Into<String>>(method: Method, path: impl IntoIterator<Item = S>) -> Self {
        let path = path.into_iter().map(Into::into).collect();
        Self { method, path, query: Vec::new(), headers: Vec::new(), body: None }
    }

    /// Adds a parameter to the query.
    pub fn with_query(mut self, name: &str, value: impl ToString) -> Self {
        self.query.push((name.to_owned(), value.to_string()));
        self
    }

    /// Adds a header; a value that HTTP does not allow is left out.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        self.headers.extend(HeaderValue::from_str(value).ok().map(|it| (name, it)));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = Some(body);
        self
    }
}

impl ApiResponse {
    /// The JSON body of a successful response.
    pub fn json<T: DeserializeOwned>(&self) -> CallOutcome<T> {
        if !self.status.is_success() {
            return CallOutcome::Unavailable;
        }
        match self.body.as_deref().map(serde_json::from_slice) {
            Some(Ok(it)) => CallOutcome::Value(it),
            Some(Err(error)) => {
                log::warn!("platform sent an unreadable response: {error}");
                CallOutcome::Unavailable
            }
            None => CallOutcome::Unavailable,
        }
    }

    /// When to repeat a throttled call: by its body, else by its header.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let seconds = self.headers.get(header::RETRY_AFTER);
        let seconds = seconds.and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
        let body = self.body.as_deref();
        let body = body.and_then(|it| serde_json::from_slice::<ThrottledBody>(it).ok());
        let wait_ms = body.map(|it| it.retry_after_ms);
        let wait_ms = wait_ms.or(seconds.map(|it| (it * 1000.0) as u64));
        wait_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS).min(MAX_RETRY_AFTER_MS)
    }
}

/// The dialect of `kingcupford-standin platform`.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainDialect;

impl PlainDialect {
    /// A call on an object.
    fn object(method: Method, name: &str) -> ApiRequest {
        ApiRequest::new(method, ["v1", "objects"].into_iter().chain(name.split('/')))
    }

    /// Adds the condition of a write.
    fn conditional(call: ApiRequest, condition: Condition) -> ApiRequest {
        match condition {
            Condition::Always => call,
            Condition::Absent => call.with_header(header::IF_NONE_MATCH, "*"),
            Condition::Version(it) => call.with_header(header::IF_MATCH, &format!("\"{it}\"")),
        }
    }
}

impl Dialect for PlainDialect {
    fn encode_read(&self, name: &str) -> ApiRequest {
        Self::object(Method::GET, name)
    }

    fn decode_read(&self, reply: &ApiResponse) -> CallOutcome<Option<Object>> {
        if reply.status == StatusCode::NOT_FOUND {
            return CallOutcome::Value(None);
        }
        let version = version(reply).filter(|_| reply.status.is_success());
        match (version, reply.body.clone()) {
            (Some(version), Some(bytes)) => CallOutcome::Value(Some(Object { version, bytes })),
            _ => CallOutcome::Unavailable,
        }
    }

    fn encode_write(&self, name: &str, value: &Bytes, condition: Condition) -> ApiRequest {
        let call = Self::object(Method::PUT, name).with_body(value.clone());
        Self::conditional(call, condition)
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

    fn encode_delete(&self, name: &str, condition: Condition) -> ApiRequest {
        Self::conditional(Self::object(Method::DELETE, name), condition)
    }

    fn decode_write(&self, reply: &ApiResponse) -> WriteOutcome {
        match reply.status {
            it if it.is_success() => match version(reply) {
                Some(version) => WriteOutcome::Written { version },
                None => WriteOutcome::Unknown,
            },
            StatusCode::PRECONDITION_FAILED => {
                // The condition failed even when the body that names the version was cut off.
                let body = reply.body.as_deref();
                let body = body.and_then(|it| serde_json::from_slice::<ConflictBody>(it).ok());
                WriteOutcome::Conflict { current: body.and_then(|it| it.current) }
            }
            StatusCode::PAYLOAD_TOO_LARGE => WriteOutcome::TooLarge,
            // The platform answers 503 only for calls that it did not begin.
            StatusCode::SERVICE_UNAVAILABLE => WriteOutcome::Unavailable,
            it if it.is_client_error() => WriteOutcome::Unavailable,
            _ => WriteOutcome::Unknown,
        }
    }

    fn encode_list(&self, prefix: &str, _: Option<&str>) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "objects"]).with_query("prefix", prefix)
    }

    fn decode_list(&self, _: &str, reply: &ApiResponse) -> CallOutcome<ListPage> {
        reply.json::<ListBody>().map(|it| {
            let objects = it.objects.into_iter().map(|it| ListedObject {
                name: it.name,
                version: it.version,
                age_ms: it.age_ms,
                value: None,
            });
            let listing = Listing {
                revision: it.revision,
                objects: objects.collect(),
                staleness: Duration::ZERO,
            };
            ListPage { listing, next_after: None }
        })
    }

    fn encode_watch(&self, prefix: &str, after: u64, wait: Duration) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "watch"])
            .with_query("prefix", prefix)
            .with_query("after", after)
            .with_query("timeout_ms", wait.as_millis())
    }

    fn decode_watch(&self, _: &str, reply: &ApiResponse) -> CallOutcome<WatchResponse> {
        if reply.status == StatusCode::GONE {
            return CallOutcome::Value(WatchResponse::RevisionTooOld);
        }
        reply.json::<WatchBody>().map(|it| {
            let changes = it.changes.into_iter().map(|it| ObjectChange {
                name: it.name,
                version: it.version,
                value: None,
            });
            WatchResponse::Changes {
                revision: it.revision,
                changes: changes.collect(),
                staleness: Duration::ZERO,
            }
        })
    }

    fn encode_list_hosts(&self) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "hosts"])
    }

    fn decode_list_hosts(&self, reply: &ApiResponse) -> CallOutcome<Vec<HostEntry>> {
        reply.json::<HostsBody>().map(|it| it.hosts)
    }

    fn encode_announce(&self, entry: &HostEntry) -> Announcement {
        let body = serde_json::to_vec(entry).unwrap_or_default();
        let call = ApiRequest::new(Method::PUT, ["v1", "hosts", &entry.name])
            .with_header(header::CONTENT_TYPE, "application/json")
            .with_body(body.into());
        Announcement::Request(call)
    }
}

/// Body of a response to a list.
#[derive(Debug, Deserialize)]
struct ListBody {
    /// Revision of the store.
    revision: u64,
    /// The objects by name.
    objects: Vec<ListedBody>,
}

/// One object of a list.
#[derive(Debug, Deserialize)]
struct ListedBody {
    /// Its name.
    name: String,
    /// Its version.
    version: u64,
    /// Time since its last change.
    age_ms: u64,
}

/// Body of a response to a watch.
#[derive(Debug, Deserialize)]
struct WatchBody {
    /// Revision from which to watch on.
    revision: u64,
    /// The changed objects.
    changes: Vec<ChangeBody>,
}

/// One changed object.
#[derive(Debug, Deserialize)]
struct ChangeBody {
    /// Its name.
    name: String,
    /// Its version, absent when it was deleted.
    version: Option<u64>,
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

/// Body of the host list.
#[derive(Debug, Deserialize)]
struct HostsBody {
    /// The hosts.
    hosts: Vec<HostEntry>,
}

/// The version in the `ETag` of a response.
fn version(reply: &ApiResponse) -> Option<u64> {
    let text = reply.headers.get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}
