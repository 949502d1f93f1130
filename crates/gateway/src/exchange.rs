//! One request to one instance and its response.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, Method, Request, StatusCode, Uri, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use kingcupford_steer::{InstanceKey, LoadReport};
use tokio::time::Instant;

use crate::{
    outgoing::OutgoingBody,
    pool::{self, Connection},
    settings::HeaderNames,
    state::State,
};

/// Responses up to this length are read whole before the caller gets the first byte, so that one
/// that breaks can be asked for again.
const WHOLE_BYTES: usize = 256 * 1024;

/// A request that is ready to be sent.
pub(crate) struct Sending {
    /// The instance.
    pub(crate) key: InstanceKey,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) uri: Uri,
    /// Headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: OutgoingBody,
    /// Turns true once the body was handed over whole.
    pub(crate) body_done: Rc<std::cell::Cell<bool>>,
    /// Whether a connection must be opened for it.
    pub(crate) fresh: bool,
    /// Unused connections that are kept to the instance.
    pub(crate) idle_limit: usize,
    /// The request's id.
    pub(crate) request_id: Option<HeaderValue>,
}

/// A response of the instance to the request.
pub(crate) struct Received {
    /// Its status.
    pub(crate) status: StatusCode,
    /// Its headers.
    pub(crate) headers: HeaderMap,
    /// Its body.
    pub(crate) body: ReceivedBody,
    /// What the instance told besides.
    pub(crate) notes: Notes,
}

/// The body of a response.
pub(crate) enum ReceivedBody {
    /// All of it.
    Whole(Bytes),
    /// Its start, the rest, and the connection on which it comes.
    Streamed(Bytes, Incoming, Connection),
}

/// What an instance tells beside its response.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Notes {
    /// Its load.
    pub(crate) load: Option<LoadReport>,
    /// For how long it stays cold.
    pub(crate) cold_remaining: Option<Duration>,
}

/// An exchange without a usable response.
pub(crate) enum Failed {
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or what came is not the response to the request.
    Broken(&'static str),
    /// The instance did not run the request.
    NotRun {
        /// Its status.
        status: StatusCode,
        /// What it told besides.
        notes: Notes,
    },
}

/// Sends a request and waits for its response.
pub(crate) async fn exchange(state: &State, sending: Sending) -> Result<Received, Failed> {
    let pooled = if sending.fresh { None } else { state.pool.take(sending.key, Instant::now()) };
    let mut connection = match pooled {
        Some(it) => it,
        None => pool::connect(sending.address).await.map_err(|error| {
            log::debug!("{} cannot be reached: {error}", sending.address);
            Failed::Unreachable
        })?,
    };
    let mut request = Request::new(sending.body);
    *request.method_mut() = sending.method.clone();
    *request.uri_mut() = sending.uri;
    *request.headers_mut() = sending.headers;
    let response = connection.sender.send_request(request).await;
    let response = response.map_err(|error| {
        log::debug!("no response from {}: {error}", sending.address);
        Failed::Broken("no response")
    })?;
    let settings = state.settings();
    let (head, mut body) = response.into_parts();
    let notes = notes(&settings.headers, &head.headers);
    check(&settings.headers, &head, sending.request_id.as_ref())?;
    let not_run = head.headers.contains_key(&settings.headers.not_run);
    let idle = reusable_for(&head.headers);
    let start = read_start(&mut body).await?;
    let body = match start {
        (start, true) => {
            // An instance that still reads the request would take the next one for its rest.
            if let (Some(idle), true) = (idle, sending.body_done.get()) {
                state.pool.put(sending.key, connection, idle, sending.idle_limit);
            }
            ReceivedBody::Whole(start)
        }
        (start, false) => ReceivedBody::Streamed(start, body, connection),
    };
    if not_run {
        return Err(Failed::NotRun { status: head.status, notes });
    }
    Ok(Received { status: head.status, headers: head.headers, body, notes })
}

/// Reads a body up to the length that is kept; answers whether it is whole.
async fn read_start(body: &mut Incoming) -> Result<(Bytes, bool), Failed> {
    let mut res: Option<Bytes> = None;
    let mut long = BytesMut::new();
    loop {
        let frame = match body.frame().await {
            None => break,
            Some(Ok(it)) => it,
            Some(Err(error)) => {
                log::debug!("response broke off: {error}");
                return Err(Failed::Broken("response broke off"));
            }
        };
        let Ok(data) = frame.into_data() else { continue };
        if long.is_empty() && res.is_none() {
            res = Some(data);
            continue;
        }
        if let Some(first) = res.take() {
            long.extend_from_slice(&first);
        }
        long.extend_from_slice(&data);
        if long.len() > WHOLE_BYTES {
            return Ok((long.freeze(), false));
        }
    }
    Ok((res.unwrap_or_else(|| long.freeze()), true))
}

/// Checks that a response belongs to the request and was made by an instance.
fn check(
    names: &HeaderNames,
    head: &http::response::Parts,
    request_id: Option<&HeaderValue>,
) -> Result<(), Failed> {
    if request_id.is_some() && head.headers.get(&names.request_id) != request_id {
        return Err(Failed::Broken("response to another request"));
    }
    if head.status.is_success() && !head.headers.contains_key(&names.seal) {
        return Err(Failed::Broken("success without a seal"));
    }
    let encoding = head.headers.get(header::CONTENT_ENCODING);
    if encoding.is_some_and(|it| it.as_bytes() != b"identity") {
        return Err(Failed::Broken("encoded body"));
    }
    Ok(())
}

/// What an instance tells beside its response.
fn notes(names: &HeaderNames, headers: &HeaderMap) -> Notes {
    let text = |name| headers.get(name).and_then(|it: &HeaderValue| it.to_str().ok());
    let load = text(&names.load).and_then(|it| {
        let mut numbers = it.split(',').map(|it| it.trim().parse::<u32>().ok());
        Some(LoadReport {
            running: numbers.next()??,
            waiting: numbers.next()??,
            slots: numbers.next()??,
        })
    });
    let cold_ms = text(&names.cold_remaining_ms).and_then(|it| it.parse().ok());
    Notes { load, cold_remaining: cold_ms.map(Duration::from_millis) }
}

/// Whether a connection may be used again, and for how long it may be idle before.
fn reusable_for(headers: &HeaderMap) -> Option<Option<Duration>> {
    let connection = headers.get_all(header::CONNECTION).iter();
    let closes = connection
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .any(|it| it.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let announced = headers.get("keep-alive").and_then(|it| it.to_str().ok());
    let seconds = announced.and_then(|it| {
        it.split(',').find_map(|it| it.trim().strip_prefix("timeout=")?.parse().ok())
    });
    Some(seconds.map(Duration::from_secs))
}
