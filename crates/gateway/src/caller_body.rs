//! Reading of the request bodies that callers send.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{request_body::RequestBody, state::State};

/// Maximum length of a request body that is buffered until the response, so that another instance
/// can get the request when the first one did not run it.
const MAX_BUFFERED_REQUEST_BYTES: usize = 512 * 1024;

/// Maximum time for which the body of a refused request is read.
const BODY_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) enum BodyError {
    /// The body exceeds the manifest's limit.
    TooLarge,
    /// The caller closed the connection or sent an invalid body.
    Aborted,
}

/// Reads a whole body, or the start of one that is too large to be buffered or for which the host's
/// budget is used up. A first chunk alone is still in the connection's read buffer and takes nothing
/// from the budget.
pub(crate) async fn read_body(
    state: &State,
    mut body: Incoming,
    max_bytes: u64,
) -> Result<RequestBody, BodyError> {
    let mut first_chunk: Option<Bytes> = None;
    // Small chunks that are kept would keep the read buffers with their framing.
    let mut collected = BytesMut::new();
    let mut reservation = state.request_budget.reservation();
    loop {
        let frame = match body.frame().await {
            None => break,
            Some(Ok(it)) => it,
            Some(Err(_)) => return Err(BodyError::Aborted),
        };
        let Ok(data) = frame.into_data() else { continue };
        let first_bytes = first_chunk.as_ref().map_or(0, Bytes::len);
        if (first_bytes + collected.len() + data.len()) as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if collected.is_empty() && first_chunk.is_none() {
            first_chunk = Some(data);
            continue;
        }
        if let Some(it) = first_chunk.take() {
            collected.extend_from_slice(&it);
        }
        collected.extend_from_slice(&data);
        let max_total_bytes = state.settings().max_buffered_request_bytes;
        if collected.len() > MAX_BUFFERED_REQUEST_BYTES
            || !reservation.grow_to(collected.len(), max_total_bytes)
        {
            let start = vec![reservation.hold(collected)];
            return Ok(RequestBody::Streamed { start, rest: Some(body) });
        }
    }
    let chunk = match first_chunk {
        Some(it) => it,
        None if collected.is_empty() => return Ok(RequestBody::Buffered(Vec::new())),
        None => reservation.hold(collected),
    };
    Ok(RequestBody::Buffered(vec![chunk]))
}

/// Reads and discards the body of a refused request. Closing the connection with unread bytes would
/// reset it, and the caller could lose the response.
pub(crate) fn drain_body(mut body: Incoming) {
    if http_body::Body::is_end_stream(&body) {
        return;
    }
    tokio::task::spawn_local(async move {
        let deadline = Instant::now() + BODY_DRAIN_TIMEOUT;
        while let Ok(Some(Ok(_))) = timeout_at(deadline, body.frame()).await {}
    });
}
