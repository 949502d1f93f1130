//! Encoding of object API calls as HTTP requests.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};
use serde::{Deserialize, de::DeserializeOwned};

use crate::object::{
    CallOutcome, Condition, HostEntry, ListedObject, Listing, Object, ObjectChange, StoreRevision,
    WatchResponse, WriteOutcome,
};

/// Delay before a throttled call is repeated if the response specifies none.
const DEFAULT_RETRY_AFTER_MS: u64 = 1000;

/// Upper bound of the delay that a throttled response may request.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Encodes calls of the object API as HTTP requests and decodes the responses.
///
/// [`HttpObjectStore`](crate::HttpObjectStore) serves every platform; the differences between the
/// platforms' protocols are confined to their dialects.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Returns the request that reads an object.
    fn encode_read(&self, name: &str) -> ApiRequest;

    /// Decodes the response to a read, `None` if the object does not exist.
    fn decode_read(&self, response: &ApiResponse) -> CallOutcome<Option<Object>>;

    /// Returns the request that writes an object.
    fn encode_write(&self, name: &str, value: &Bytes, condition: Condition) -> ApiRequest;

    /// Returns a second request that creates the object, if `response` to the write shows that the
    /// platform's unconditional writes only replace existing objects.
    fn encode_create_fallback(
        &self,
        name: &str,
        value: &Bytes,
        condition: Condition,
        response: &ApiResponse,
    ) -> Option<ApiRequest>;

    /// Returns the request that deletes an object.
    fn encode_delete(&self, name: &str, condition: Condition) -> ApiRequest;

    /// Decodes the response to a write or a deletion.
    fn decode_write(&self, response: &ApiResponse) -> WriteOutcome;

    /// Returns the request for a page of a list: the first page if `after` is `None`, else the page
    /// that follows the one with this [`next_after`](ListPage::next_after).
    fn encode_list(&self, prefix: &str, after: Option<&str>) -> ApiRequest;

    /// Decodes the response to a list.
    fn decode_list(&self, prefix: &str, response: &ApiResponse) -> CallOutcome<ListPage>;

    /// Returns the request for changes after the revision `after`, to which the platform responds
    /// within `wait`.
    fn encode_watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> ApiRequest;

    /// Decodes the response to a watch.
    fn decode_watch(&self, prefix: &str, response: &ApiResponse) -> CallOutcome<WatchResponse>;

    /// Returns the request for the host list.
    fn encode_list_hosts(&self) -> ApiRequest;

    /// Decodes the response to a request for the host list.
    fn decode_list_hosts(&self, response: &ApiResponse) -> CallOutcome<Vec<HostEntry>>;

    /// Returns the era of the store that a response names, 0 if it names none.
    fn decode_era(&self, _response: &ApiResponse) -> u64 {
        0
    }

    /// Returns how a host is announced: by a dedicated request or by the write of an object.
    fn encode_announce(&self, entry: &HostEntry) -> Announcement;
}

/// Form of the announcement of a host.
#[derive(Debug, Clone)]
pub enum Announcement {
    /// A dedicated request.
    Request(ApiRequest),
    /// A write that replaces any existing object.
    Write {
        /// Name of the object.
        name: String,
        /// Value of the object.
        value: Bytes,
    },
}

/// HTTP request to the platform.
#[derive(Debug, Clone)]
pub struct ApiRequest {
    /// HTTP method.
    pub method: Method,
    /// Path segments, not percent-encoded.
    pub path: Vec<String>,
    /// Names and values of the query parameters, not percent-encoded.
    pub query: Vec<(String, String)>,
    /// Headers in addition to those that the HTTP client sets.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body, `None` for a request without one.
    pub body: Option<Bytes>,
}

/// Complete HTTP response of the platform.
#[derive(Debug, Clone)]
pub struct ApiResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// HTTP headers.
    pub headers: HeaderMap,
    /// Body, `None` if the connection broke or the timeout passed before the end of the body.
    pub body: Option<Bytes>,
}

/// One page of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// Objects of the page, and the store revision of the list.
    pub listing: Listing,
    /// Name after which the next page starts, in the form that the dialect expects as `after`;
    /// `None` on the last page.
    pub next_after: Option<String>,
}

impl ApiRequest {
    /// Creates a request without query parameters, additional headers or a body.
    pub fn new<S: Into<String>>(method: Method, path: impl IntoIterator<Item = S>) -> Self {
        let path = path.into_iter().map(Into::into).collect();
        Self { method, path, query: Vec::new(), headers: Vec::new(), body: None }
    }

    /// Adds a query parameter.
    pub fn with_query(mut self, name: &str, value: impl ToString) -> Self {
        self.query.push((name.to_owned(), value.to_string()));
        self
    }

    /// Adds a header; omits it if the value is not valid in HTTP.
    pub fn with_header(mut self, name: HeaderName, value: &str) -> Self {
        self.headers.extend(HeaderValue::from_str(value).ok().map(|it| (name, it)));
        self
    }

    /// Sets the request body.
    pub fn with_body(mut self, body: Bytes) -> Self {
        self.body = Some(body);
        self
    }
}

impl ApiResponse {
    /// Decodes the JSON body of a successful response; any other response counts as unavailable.
    pub fn json<T: DeserializeOwned>(&self) -> CallOutcome<T> {
        if !self.status.is_success() {
            return CallOutcome::Unavailable;
        }
        match self.body.as_deref().map(serde_json::from_slice) {
            Some(Ok(it)) => CallOutcome::Value(it),
            Some(Err(error)) => {
                log::warn!("platform response cannot be decoded: {error}");
                CallOutcome::Unavailable
            }
            None => CallOutcome::Unavailable,
        }
    }

    /// Returns the era of the store from a header that rises with each restoration, 0 if there is no
    /// such header. The first value of the header may be 0, which is a known era.
    pub fn era(&self, header: &str) -> u64 {
        self.header_number(header).map_or(0, |it| it.saturating_add(1))
    }

    /// Returns the value of a header that is a decimal number.
    pub fn header_number(&self, name: &str) -> Option<u64> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// Returns the delay before a throttled call may be repeated, from the body or else from the
    /// `Retry-After` header.
    pub(crate) fn retry_after_ms(&self) -> u64 {
        let header_s = self.headers.get(header::RETRY_AFTER);
        let header_s = header_s.and_then(|it| it.to_str().ok()?.parse::<f64>().ok());
        let body = self.body.as_deref();
        let body = body.and_then(|it| serde_json::from_slice::<ThrottledBody>(it).ok());
        let delay_ms = body.map(|it| it.retry_after_ms);
        let delay_ms = delay_ms.or(header_s.map(|it| (it * 1000.0) as u64));
        delay_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS).min(MAX_RETRY_AFTER_MS)
    }
}

/// Dialect of the platform that `kingcupford-standin platform` emulates.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainDialect;

impl PlainDialect {
    fn object_request(method: Method, name: &str) -> ApiRequest {
        ApiRequest::new(method, ["v1", "objects"].into_iter().chain(name.split('/')))
    }

    /// Adds the header for the condition of a write or a deletion.
    fn with_condition(request: ApiRequest, condition: Condition) -> ApiRequest {
        match condition {
            Condition::Always => request,
            Condition::Absent => request.with_header(header::IF_NONE_MATCH, "*"),
            Condition::Version(it) => request.with_header(header::IF_MATCH, &format!("\"{it}\"")),
        }
    }
}

impl Dialect for PlainDialect {
    fn encode_read(&self, name: &str) -> ApiRequest {
        Self::object_request(Method::GET, name)
    }

    fn decode_read(&self, response: &ApiResponse) -> CallOutcome<Option<Object>> {
        if response.status == StatusCode::NOT_FOUND {
            return CallOutcome::Value(None);
        }
        let version = etag_version(response).filter(|_| response.status.is_success());
        match (version, response.body.clone()) {
            (Some(version), Some(bytes)) => CallOutcome::Value(Some(Object { version, bytes })),
            _ => CallOutcome::Unavailable,
        }
    }

    fn encode_write(&self, name: &str, value: &Bytes, condition: Condition) -> ApiRequest {
        let request = Self::object_request(Method::PUT, name).with_body(value.clone());
        Self::with_condition(request, condition)
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
        Self::with_condition(Self::object_request(Method::DELETE, name), condition)
    }

    fn decode_write(&self, response: &ApiResponse) -> WriteOutcome {
        match response.status {
            it if it.is_success() => match etag_version(response) {
                Some(version) => WriteOutcome::Written { version },
                None => WriteOutcome::Unknown,
            },
            StatusCode::PRECONDITION_FAILED => {
                // The condition failed even if the body with the current version was truncated.
                let body = response.body.as_deref();
                let body = body.and_then(|it| serde_json::from_slice::<ConflictBody>(it).ok());
                WriteOutcome::Conflict { current: body.and_then(|it| it.current) }
            }
            StatusCode::PAYLOAD_TOO_LARGE => WriteOutcome::TooLarge,
            // The platform sends 503 only for calls that it did not start to process.
            StatusCode::SERVICE_UNAVAILABLE => WriteOutcome::Unavailable,
            it if it.is_client_error() => WriteOutcome::Unavailable,
            _ => WriteOutcome::Unknown,
        }
    }

    fn encode_list(&self, prefix: &str, _: Option<&str>) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "objects"]).with_query("prefix", prefix)
    }

    fn decode_list(&self, _: &str, response: &ApiResponse) -> CallOutcome<ListPage> {
        response.json::<ListBody>().map(|it| {
            let objects = it.objects.into_iter().map(|it| ListedObject {
                name: it.name,
                version: it.version,
                age_ms: it.age_ms,
                value: None,
            });
            let listing = Listing {
                revision: StoreRevision { era: store_era(response), number: it.revision },
                objects: objects.collect(),
                staleness: Duration::ZERO,
            };
            ListPage { listing, next_after: None }
        })
    }

    fn encode_watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "watch"])
            .with_query("prefix", prefix)
            .with_query("after", after.number)
            .with_query("timeout_ms", wait.as_millis())
    }

    fn decode_watch(&self, _: &str, response: &ApiResponse) -> CallOutcome<WatchResponse> {
        if response.status == StatusCode::GONE {
            return CallOutcome::Value(WatchResponse::RevisionTooOld);
        }
        response.json::<WatchBody>().map(|it| {
            let changes = it.changes.into_iter().map(|it| ObjectChange {
                name: it.name,
                version: it.version,
                value: None,
            });
            WatchResponse::Changes {
                revision: StoreRevision { era: store_era(response), number: it.revision },
                changes: changes.collect(),
                staleness: Duration::ZERO,
            }
        })
    }

    fn encode_list_hosts(&self) -> ApiRequest {
        ApiRequest::new(Method::GET, ["v1", "hosts"])
    }

    fn decode_list_hosts(&self, response: &ApiResponse) -> CallOutcome<Vec<HostEntry>> {
        response.json::<HostsBody>().map(|it| it.hosts)
    }

    fn decode_era(&self, response: &ApiResponse) -> u64 {
        store_era(response)
    }

    fn encode_announce(&self, entry: &HostEntry) -> Announcement {
        let body = serde_json::to_vec(entry).unwrap_or_default();
        let request = ApiRequest::new(Method::PUT, ["v1", "hosts", &entry.name])
            .with_header(header::CONTENT_TYPE, "application/json")
            .with_body(body.into());
        Announcement::Request(request)
    }
}

#[derive(Debug, Deserialize)]
struct ListBody {
    revision: u64,
    objects: Vec<ListedObjectBody>,
}

#[derive(Debug, Deserialize)]
struct ListedObjectBody {
    name: String,
    version: u64,
    age_ms: u64,
}

#[derive(Debug, Deserialize)]
struct WatchBody {
    revision: u64,
    changes: Vec<ObjectChangeBody>,
}

#[derive(Debug, Deserialize)]
struct ObjectChangeBody {
    name: String,
    /// Absent if the object was deleted.
    version: Option<u64>,
}

/// Body of the response to a write or a deletion whose condition did not hold.
#[derive(Debug, Deserialize)]
struct ConflictBody {
    current: Option<u64>,
}

/// Body of the response to a throttled call.
#[derive(Debug, Deserialize)]
struct ThrottledBody {
    retry_after_ms: u64,
}

#[derive(Debug, Deserialize)]
struct HostsBody {
    hosts: Vec<HostEntry>,
}

/// Returns the era of the store.
fn store_era(response: &ApiResponse) -> u64 {
    response.era("store-era")
}

/// Returns the object version in the `ETag` header.
fn etag_version(response: &ApiResponse) -> Option<u64> {
    let etag = response.headers.get(header::ETAG)?.to_str().ok()?;
    etag.trim_matches('"').parse().ok()
}
