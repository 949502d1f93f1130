//! Reading of the request bodies that callers send.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::request_body::RequestBody;

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

/// Reads a whole body, or the start of one that is too large to be buffered.
pub(crate) async fn read_body(
    mut body: Incoming,
    max_bytes: u64,
) -> Result<RequestBody, BodyError> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut length_bytes = 0;
    loop {
        let frame = match body.frame().await {
            None => return Ok(RequestBody::Buffered(chunks)),
            Some(Ok(it)) => it,
            Some(Err(_)) => return Err(BodyError::Aborted),
        };
        let Ok(data) = frame.into_data() else { continue };
        length_bytes += data.len();
        if length_bytes as u64 > max_bytes {
            return Err(BodyError::TooLarge);
        }
        chunks.push(data);
        if length_bytes > MAX_BUFFERED_REQUEST_BYTES {
            return Ok(RequestBody::Streamed { start: chunks, rest: Some(body) });
        }
    }
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
