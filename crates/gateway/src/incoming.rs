//! Bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::outgoing::ReadBody;

/// Bodies up to this length are kept until the response, so that an instance that did not run the
/// request can be replaced by another.
const KEPT_BODY_BYTES: usize = 512 * 1024;

/// Time for which the body of a refused request is read.
const DRAIN_TIME: Duration = Duration::from_secs(30);

/// Why a body could not be read.
pub(crate) enum BodyFault {
    /// It is longer than allowed.
    TooLarge,
    /// The caller broke it off.
    Broken,
}

/// Reads a body whole, or its start when it is too large to be kept.
pub(crate) async fn read(mut body: Incoming, max_bytes: u64) -> Result<ReadBody, BodyFault> {
    let mut chunks: Vec<Bytes> = Vec::new();
    let mut length = 0;
    loop {
        let frame = match body.frame().await {
            None => return Ok(ReadBody::Whole(chunks)),
            Some(Ok(it)) => it,
            Some(Err(_)) => return Err(BodyFault::Broken),
        };
        let Ok(data) = frame.into_data() else { continue };
        length += data.len();
        if length as u64 > max_bytes {
            return Err(BodyFault::TooLarge);
        }
        chunks.push(data);
        if length > KEPT_BODY_BYTES {
            return Ok(ReadBody::Streamed { start: chunks, rest: Some(body) });
        }
    }
}

/// Reads the rest of a refused request, so that closing does not reset the response away.
pub(crate) fn drain(mut body: Incoming) {
    if http_body::Body::is_end_stream(&body) {
        return;
    }
    tokio::task::spawn_local(async move {
        let until = Instant::now() + DRAIN_TIME;
        while let Ok(Some(Ok(_))) = timeout_at(until, body.frame()).await {}
    });
}
