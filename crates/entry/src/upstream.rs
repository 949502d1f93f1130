//! HTTP client for upstreams and the classification of failed attempts.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use anyhow::Context as _;
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, TryStreamExt as _};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body::{Body as _, Frame};
use http_body_util::{BodyExt as _, Empty, StreamBody};
use hyper::body::Incoming;
use kingcupford_route::AttemptOutcome;
use reqwest::{Client, redirect};

use crate::{
    body::ReplayBody,
    headers,
    pool::{self, AttemptBody, Connection, Pool},
};

/// Timeout for opening a connection for a load report.
const REPORT_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection for load reports is closed.
const REPORT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum length of a load report.
const MAX_REPORT_BYTES: usize = 16 * 1024;

/// Maximum number of informational responses (1xx) before the response to a request.
const MAX_INFORMATIONAL_RESPONSES: u32 = 100;

/// HTTP clients for upstreams.
pub(crate) struct UpstreamClient {
    /// Connections for the requests of callers.
    pool: Arc<Pool>,
    /// Client for load reports.
    reports: Client,
}

/// Request of one attempt to one instance.
pub(crate) struct UpstreamRequest {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Option<ReplayBody>,
    pub(crate) idempotent: bool,
}

/// Response of an instance; the body is still arriving.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// Body of a response, as a stream of bytes.
pub(crate) struct ResponseBody {
    body: Incoming,
    /// Connection on which the body arrives; `None` once it was returned to the pool.
    connection: Option<Connection>,
    /// Pool for the connection if it may be used again.
    pool: Option<Arc<Pool>>,
}

/// Failure of an attempt that produced no response for the caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SendFailure {
    pub(crate) outcome: AttemptOutcome,
    /// Whether a byte of the request may have reached the upstream.
    pub(crate) byte_sent: bool,
    /// Whether the upstream reported that it is draining.
    pub(crate) draining: bool,
}

impl SendFailure {
    /// The upstream did not get the request.
    pub(crate) const UNREACHABLE: Self =
        Self { outcome: AttemptOutcome::Unreachable, byte_sent: false, draining: false };

    /// The upstream may have got the request, and sent no valid response.
    const BROKEN: Self = Self {
        outcome: AttemptOutcome::Broken { response_started: false },
        byte_sent: true,
        draining: false,
    };
}

impl UpstreamClient {
    /// Creates clients that open connections on demand and neither retry nor follow redirects.
    pub(crate) fn new() -> anyhow::Result<Self> {
        let reports = Client::builder()
            .no_proxy()
            .redirect(redirect::Policy::none())
            .retry(reqwest::retry::never())
            .connect_timeout(REPORT_CONNECT_TIMEOUT)
            .pool_idle_timeout(REPORT_IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .http1_only()
            .build();
        let reports = reports.context("cannot build the HTTP client for load reports")?;
        Ok(Self { pool: Arc::new(Pool::new()), reports })
    }

    /// Fetches a load report. Returns `None` if no successful response of at most
    /// [`MAX_REPORT_BYTES`] arrives within the timeout.
    pub(crate) async fn fetch_report(&self, url: &str, timeout: Duration) -> Option<Bytes> {
        let mut response = self.reports.get(url).timeout(timeout).send().await.ok()?;
        let mut res = BytesMut::new();
        while let Some(chunk) = response.chunk().await.ok()? {
            res.extend_from_slice(&chunk);
            if res.len() > MAX_REPORT_BYTES {
                return None;
            }
        }
        response.status().is_success().then(|| res.freeze())
    }

    /// Sends a request and returns the response as soon as the head has arrived. Sets `byte_sent`
    /// before sending, and clears it if the request was certainly not sent.
    pub(crate) async fn send(
        &self,
        upstream_request: UpstreamRequest,
        byte_sent: &AtomicBool,
    ) -> Result<UpstreamResponse, SendFailure> {
        let UpstreamRequest { address, idempotent, .. } = upstream_request;
        let attempt_id = attempt_id();
        let Some(mut request) = build_request(upstream_request, &attempt_id) else {
            return Err(SendFailure::UNREACHABLE);
        };
        // If the upstream closed a pooled connection at the moment of sending, it would be unknown
        // whether the request ran.
        if idempotent && let Some(mut connection) = self.pool.take(address).await {
            // Set before the call, because a future that is dropped may have sent bytes.
            byte_sent.store(true, Ordering::Release);
            limit_informational_responses(&mut request, &connection);
            match connection.sender.try_send_request(request).await {
                Ok(response) => {
                    return self.check_response(response, connection, &attempt_id, true);
                }
                Err(mut error) => match error.take_message() {
                    Some(it) => request = it,
                    None => return Err(SendFailure::BROKEN),
                },
            }
        }
        byte_sent.store(false, Ordering::Release);
        let mut connection = pool::connect(address).await.map_err(|error| {
            log::debug!("upstream at {address} cannot be reached: {error}");
            SendFailure::UNREACHABLE
        })?;
        byte_sent.store(true, Ordering::Release);
        limit_informational_responses(&mut request, &connection);
        match connection.sender.try_send_request(request).await {
            Ok(response) => self.check_response(response, connection, &attempt_id, false),
            Err(mut error) => {
                let is_sent = error.take_message().is_none();
                byte_sent.store(is_sent, Ordering::Release);
                log::debug!("no response from the upstream at {address}: {}", error.into_error());
                Err(if is_sent { SendFailure::BROKEN } else { SendFailure::UNREACHABLE })
            }
        }
    }

    /// Checks that a response belongs to the request. On a pooled connection a late copy of an
    /// earlier response may arrive, which only the id distinguishes from the response to the
    /// request; a connection without the id is therefore not used again.
    fn check_response(
        &self,
        response: Response<Incoming>,
        connection: Connection,
        attempt_id: &HeaderValue,
        is_pooled: bool,
    ) -> Result<UpstreamResponse, SendFailure> {
        let (head, body) = response.into_parts();
        let mut ids = head.headers.get_all(headers::ATTEMPT_ID).iter().peekable();
        let has_id = ids.peek().is_some();
        let address = connection.address;
        if ids.any(|it| it != attempt_id) || (is_pooled && !has_id) {
            log::warn!("response to another request from the upstream at {address}");
            return Err(SendFailure::BROKEN);
        }
        let mut transfer_encodings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
        // The HTTP library decodes chunks only, and the caller does not get the header.
        let is_encoded =
            transfer_encodings.any(|it| !it.as_bytes().eq_ignore_ascii_case(b"chunked"));
        if head.status.is_informational() || is_encoded {
            log::warn!("response from the upstream at {address} is not valid");
            return Err(SendFailure::BROKEN);
        }
        let pool = has_id.then(|| Arc::clone(&self.pool));
        let mut body = ResponseBody { body, connection: Some(connection), pool };
        body.release_connection();
        reject_shed(UpstreamResponse { status: head.status, headers: head.headers, body })
    }
}

impl ResponseBody {
    /// Length of the rest of the body in bytes, `None` if it is unknown.
    pub(crate) fn remaining_bytes(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Returns the connection to the pool if the body has ended.
    fn release_connection(&mut self) {
        if self.body.is_end_stream()
            && let (Some(connection), Some(pool)) = (self.connection.take(), &self.pool)
        {
            pool.put(connection);
        }
    }
}

impl Stream for ResponseBody {
    type Item = std::io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let frame = match ready!(Pin::new(&mut self.body).poll_frame(context)) {
                Some(Ok(it)) => it,
                Some(Err(error)) => return Poll::Ready(Some(Err(std::io::Error::other(error)))),
                None => {
                    if let (Some(connection), Some(pool)) = (self.connection.take(), &self.pool) {
                        pool.put(connection);
                    }
                    return Poll::Ready(None);
                }
            };
            if let Ok(data) = frame.into_data() {
                // The HTTP server drops a body of known length without polling for the end.
                self.release_connection();
                return Poll::Ready(Some(Ok(data)));
            }
        }
    }
}

/// Draws the id of an attempt.
fn attempt_id() -> HeaderValue {
    let text = format!("{:016x}", rand::random::<u64>());
    HeaderValue::try_from(text).expect("hexadecimal digits are valid")
}

/// Builds the request of an attempt; `None` if its path is not valid.
fn build_request(
    upstream_request: UpstreamRequest,
    attempt_id: &HeaderValue,
) -> Option<Request<AttemptBody>> {
    let body = match upstream_request.body {
        Some(it) => StreamBody::new(it.attempt().map_ok(Frame::data)).boxed_unsync(),
        None => Empty::new().map_err(|it| match it {}).boxed_unsync(),
    };
    let mut request = Request::new(body);
    *request.method_mut() = upstream_request.method;
    *request.uri_mut() = Uri::try_from(upstream_request.path).ok()?;
    *request.headers_mut() = upstream_request.headers;
    let host = HeaderValue::try_from(upstream_request.address.to_string()).ok()?;
    request.headers_mut().insert(header::HOST, host);
    request.headers_mut().insert(headers::ATTEMPT_ID, attempt_id.clone());
    Some(request)
}

/// Resets the connection after too many informational responses.
fn limit_informational_responses(request: &mut Request<AttemptBody>, connection: &Connection) {
    let (reset, count) = (connection.reset_handle(), AtomicU32::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            reset.abort();
        }
    });
}

/// Turns a response by which the upstream shed the request into a failure.
fn reject_shed(response: UpstreamResponse) -> Result<UpstreamResponse, SendFailure> {
    let not_run = HeaderValue::from_static("not-run");
    let is_shed = response.status == StatusCode::SERVICE_UNAVAILABLE
        && response.headers.get(headers::OUTCOME) == Some(&not_run);
    if !is_shed {
        return Ok(response);
    }
    let draining = is_draining(&response.headers);
    Err(SendFailure { outcome: AttemptOutcome::Shed, byte_sent: false, draining })
}

/// Returns whether the upstream reported that the request may have run only in part.
pub(crate) fn is_outcome_unknown(headers: &HeaderMap) -> bool {
    headers.get(headers::OUTCOME).is_some_and(|it| it.as_bytes() == b"unknown")
}

/// Returns whether the upstream reported that it is draining.
pub(crate) fn is_draining(headers: &HeaderMap) -> bool {
    headers.get(headers::DRAINING).is_some_and(|it| it.as_bytes() == b"true")
}

/// Returns the body length that `content-length` declares, `None` if it is absent or malformed.
pub(crate) fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
