//! Responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::{
    task::JoinHandle,
    time::{Instant, Sleep, sleep_until},
};

use crate::{
    exchange::{StreamedBody, UpstreamBody},
    pool::Connection,
};

/// Header of gateway responses that tells whether the request ran.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("kingcupford-outcome");

/// Headers that apply to a single connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// The whole body; `None` once it was sent.
    Buffered(Option<Bytes>),
    /// A body whose rest is still arriving from the instance.
    Streamed {
        /// The bytes that were read; `None` once they were sent.
        start: Option<Bytes>,
        rest: Incoming,
        time_limit: Option<TimeLimit>,
        /// Held so that the connection is reset when the caller disconnects.
        _connection: Connection,
    },
}

/// Limit for the time that a body takes.
pub(crate) struct TimeLimit {
    ends_by: Instant,
    /// Wakes the reader of the body at the end.
    sleep: Pin<Box<Sleep>>,
    /// Resets the instance's connection at the end, also while the caller reads nothing.
    reset: JoinHandle<()>,
}

impl TimeLimit {
    fn new(ends_by: Instant, connection: &Connection) -> Self {
        let handle = connection.reset_handle();
        let reset = tokio::task::spawn_local(async move {
            sleep_until(ends_by).await;
            handle.abort();
        });
        Self { ends_by, sleep: Box::pin(sleep_until(ends_by)), reset }
    }

    fn is_exceeded(&mut self, context: &mut Context<'_>) -> bool {
        self.sleep.as_mut().poll(context).is_ready() || Instant::now() >= self.ends_by
    }
}

impl Drop for TimeLimit {
    fn drop(&mut self) {
        self.reset.abort();
    }
}

/// Whether the request ran, as stated in a gateway response. The kebab-case names of the variants
/// are part of the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum ExecutionOutcome {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Creates a response of the gateway itself.
pub(crate) fn gateway_response(
    status: StatusCode,
    execution: ExecutionOutcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let outcome: &'static str = execution.into();
    let body = serde_json::json!({ "outcome": outcome, "reason": reason }).to_string();
    let mut res = Response::new(ResponseBody::Buffered(Some(Bytes::from(body))));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    res
}

/// Creates the response to the caller from the response of an instance.
pub(crate) fn upstream_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: UpstreamBody,
) -> Response<ResponseBody> {
    let body = match body {
        UpstreamBody::Buffered(it) => ResponseBody::Buffered(Some(it)),
        UpstreamBody::Streamed(StreamedBody { start, rest, connection, ends_by }) => {
            ResponseBody::Streamed {
                start: Some(start),
                rest,
                time_limit: ends_by.map(|it| TimeLimit::new(it, &connection)),
                _connection: connection,
            }
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = end_to_end_headers(headers);
    // The HTTP library sets the length from the buffered body, also if the instance declared none
    // and marked the end of the body in another way.
    if let ResponseBody::Buffered(_) = res.body() {
        res.headers_mut().remove(header::CONTENT_LENGTH);
    }
    res
}

/// Returns the headers without the hop-by-hop headers, including those that `connection` names.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    let mut res = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        res.remove(name);
    }
    for name in connection_options {
        res.remove(name.as_str());
    }
    res
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Box<dyn std::error::Error + Send + Sync>;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match &mut *self {
            Self::Buffered(it) => Poll::Ready(it.take().map(|it| Ok(Frame::data(it)))),
            Self::Streamed { start, rest, time_limit, .. } => {
                // The rest ends without an error once the connection was reset here.
                if time_limit.as_mut().is_some_and(|it| it.is_exceeded(context)) {
                    return Poll::Ready(Some(Err("response took too long".into())));
                }
                match start.take() {
                    Some(it) => Poll::Ready(Some(Ok(Frame::data(it)))),
                    None => Pin::new(rest).poll_frame(context).map_err(Into::into),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(it) => it.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(it) => SizeHint::with_exact(it.as_ref().map_or(0, |it| it.len() as u64)),
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
