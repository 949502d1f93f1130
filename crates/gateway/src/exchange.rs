//! An HTTP exchange with one instance: the request and its response.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use kingcupford_steer::{InstanceKey, LoadReport};
use tokio::time::Instant;

use crate::{
    pool::{self, Connection},
    request_body::AttemptBody,
    settings::HeaderNames,
    state::State,
};

/// Maximum length of a response that is buffered before the caller gets the first byte, so that the
/// request can be repeated when the response breaks off.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 256 * 1024;

/// Maximum number of informational responses (1xx) before the response to a request.
const MAX_INFORMATIONAL_RESPONSES: u32 = 100;

/// A request that is ready to be sent to an instance.
pub(crate) struct UpstreamRequest {
    pub(crate) key: InstanceKey,
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AttemptBody,
    /// Set once the whole body was handed to the HTTP library.
    pub(crate) is_body_sent: Rc<std::cell::Cell<bool>>,
    /// Whether the request must not be sent on a pooled connection.
    pub(crate) needs_new_connection: bool,
    /// Maximum number of idle connections to keep in the pool for the instance.
    pub(crate) max_idle_connections: usize,
    pub(crate) request_id: Option<HeaderValue>,
    /// Time by which a response that is being sent to the caller must end.
    pub(crate) response_ends_by: Option<Instant>,
}

/// A valid response of the instance to the request.
pub(crate) struct UpstreamResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: UpstreamBody,
    pub(crate) instance_status: InstanceStatus,
}

pub(crate) enum UpstreamBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body whose rest is still arriving.
    Streamed(StreamedBody),
}

/// A body that is too large to be buffered.
pub(crate) struct StreamedBody {
    pub(crate) start: Bytes,
    pub(crate) rest: Incoming,
    /// Connection on which the rest arrives.
    pub(crate) connection: Connection,
    /// Time by which the body must end.
    pub(crate) ends_by: Option<Instant>,
}

/// Status of the instance from the headers of a response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct InstanceStatus {
    pub(crate) load: Option<LoadReport>,
    /// Time for which the instance stays cold.
    pub(crate) cold_remaining: Option<Duration>,
}

/// Why an exchange brought no usable response.
pub(crate) enum ExchangeError {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the response does not belong to the request; holds the reason.
    Broken(&'static str),
    /// The instance reported that it did not run the request.
    NotRun { status: StatusCode, instance_status: InstanceStatus },
}

/// Sends a request and waits for the response.
pub(crate) async fn exchange(
    state: &State,
    upstream_request: UpstreamRequest,
) -> Result<UpstreamResponse, ExchangeError> {
    let pooled = if upstream_request.needs_new_connection {
        None
    } else {
        state.pool.take(upstream_request.key, Instant::now())
    };
    let mut connection = match pooled {
        Some(it) => it,
        None => pool::connect(upstream_request.address).await.map_err(|error| {
            log::debug!("instance at {} cannot be reached: {error}", upstream_request.address);
            ExchangeError::Unreachable
        })?,
    };
    let mut request = Request::new(upstream_request.body);
    *request.method_mut() = upstream_request.method.clone();
    *request.uri_mut() = upstream_request.uri;
    *request.headers_mut() = upstream_request.headers;
    let (reset, informational_count) = (connection.reset_handle(), AtomicU32::new(0));
    hyper::ext::on_informational(&mut request, move |_| {
        if informational_count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL_RESPONSES {
            reset.abort();
        }
    });
    let response = connection.sender.send_request(request).await;
    let response = response.map_err(|error| {
        log::debug!("no response from the instance at {}: {error}", upstream_request.address);
        ExchangeError::Broken("no response")
    })?;
    let settings = state.settings();
    let (head, mut body) = response.into_parts();
    let instance_status = parse_instance_status(&settings.headers, &head.headers);
    validate_response(&settings.headers, &head, upstream_request.request_id.as_ref())?;
    // Every instance rejects a request without an id, so the caller must change it.
    let is_invalid_request =
        head.status == StatusCode::BAD_REQUEST && upstream_request.request_id.is_none();
    // With status 421, the instance at the address is another one than the target, and runs nothing.
    let not_run = !is_invalid_request
        && (head.headers.contains_key(&settings.headers.not_run)
            || head.status == StatusCode::MISDIRECTED_REQUEST);
    let reuse = reuse_timeout(&head.headers);
    let start = read_body_start(state, &mut body).await?;
    let body = match start {
        (start, true) => {
            // An instance that is still reading this request would take the next one for the rest
            // of the body.
            if let (Some(idle_timeout), true) = (reuse, upstream_request.is_body_sent.get()) {
                state.pool.put(
                    upstream_request.key,
                    connection,
                    idle_timeout,
                    upstream_request.max_idle_connections,
                );
            }
            UpstreamBody::Buffered(start)
        }
        (start, false) => UpstreamBody::Streamed(StreamedBody {
            start,
            rest: body,
            connection,
            ends_by: upstream_request.response_ends_by,
        }),
    };
    if not_run {
        return Err(ExchangeError::NotRun { status: head.status, instance_status });
    }
    Ok(UpstreamResponse { status: head.status, headers: head.headers, body, instance_status })
}

/// Reads a body up to the buffer limit, or until the host's budget is used up; returns the bytes and
/// whether they are the whole body. A first chunk alone is still in the connection's read buffer and
/// takes nothing from the budget.
async fn read_body_start(
    state: &State,
    body: &mut Incoming,
) -> Result<(Bytes, bool), ExchangeError> {
    let mut first_chunk: Option<Bytes> = None;
    let mut collected = BytesMut::new();
    let mut reservation = state.response_budget.reservation();
    loop {
        let frame = match body.frame().await {
            None => break,
            Some(Ok(it)) => it,
            Some(Err(error)) => {
                log::debug!("response body broke off: {error}");
                return Err(ExchangeError::Broken("response broke off"));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if collected.is_empty() && first_chunk.is_none() {
            first_chunk = Some(data);
            continue;
        }
        if let Some(it) = first_chunk.take() {
            collected.extend_from_slice(&it);
        }
        collected.extend_from_slice(&data);
        let max_total_bytes = state.settings().max_buffered_response_bytes;
        if collected.len() > MAX_BUFFERED_RESPONSE_BYTES
            || !reservation.grow_to(collected.len(), max_total_bytes)
        {
            return Ok((reservation.hold(collected), false));
        }
    }
    Ok((first_chunk.unwrap_or_else(|| reservation.hold(collected)), true))
}

/// Checks that a response belongs to the request and that an instance produced it.
fn validate_response(
    names: &HeaderNames,
    head: &http::response::Parts,
    request_id: Option<&HeaderValue>,
) -> Result<(), ExchangeError> {
    if head.status.is_informational() {
        return Err(ExchangeError::Broken("no final response"));
    }
    if let Some(request_id) = request_id {
        let mut ids = head.headers.get_all(&names.request_id).iter().peekable();
        if ids.peek().is_none() || ids.any(|it| it != request_id) {
            return Err(ExchangeError::Broken("response to another request"));
        }
    }
    if head.status.is_success() && !head.headers.contains_key(&names.seal) {
        return Err(ExchangeError::Broken("success without a seal"));
    }
    let is_encoded = |name, plain: &[u8]| {
        head.headers.get_all(name).iter().any(|it| !it.as_bytes().eq_ignore_ascii_case(plain))
    };
    // The HTTP library decodes chunks only, and the caller does not get the header.
    if is_encoded(header::CONTENT_ENCODING, b"identity")
        || is_encoded(header::TRANSFER_ENCODING, b"chunked")
    {
        return Err(ExchangeError::Broken("encoded body"));
    }
    Ok(())
}

/// Parses the load (`running,waiting,slots`) and the remaining cold time of an instance.
fn parse_instance_status(names: &HeaderNames, headers: &HeaderMap) -> InstanceStatus {
    let header_text = |name| headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok());
    let load = header_text(&names.load).and_then(|it| {
        let mut numbers = it.split(',').map(|it| it.trim().parse::<u32>().ok());
        Some(LoadReport {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    });
    let cold_ms = header_text(&names.cold_remaining_ms).and_then(|it| it.parse().ok());
    InstanceStatus { load, cold_remaining: cold_ms.map(Duration::from_millis) }
}

/// How long a connection may be idle before it is reused: `None` if the instance closes it,
/// `Some(None)` if the instance announces no timeout.
fn reuse_timeout(headers: &HeaderMap) -> Option<Option<Duration>> {
    let connection = headers.get_all(header::CONNECTION).iter();
    let closes = connection
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .any(|it| it.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let keep_alive = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let timeout_s = keep_alive.and_then(|it| {
        it.split(',').find_map(|it| it.trim().strip_prefix("timeout=")?.parse().ok())
    });
    Some(timeout_s.map(Duration::from_secs))
}
