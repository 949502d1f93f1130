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

use crate::{exchange::ReceivedBody, pool::Connection};

/// Says whether a request ran, in responses that this process makes itself.
const OUTCOME: HeaderName = HeaderName::from_static("kingcupford-outcome");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// The body of a response to a caller.
pub(crate) enum AnswerBody {
    /// All of it, until it is sent.
    Whole(Option<Bytes>),
    /// Its start and the rest that still comes from the instance.
    Streamed {
        /// What was read, until it is sent.
        start: Option<Bytes>,
        /// The rest.
        rest: Incoming,
        /// The connection, which is reset when the caller leaves.
        _connection: Connection,
    },
}

/// What a response that this process makes says of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Ran {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// A response of this process itself.
pub(crate) fn own(
    status: StatusCode,
    ran: Ran,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<AnswerBody> {
    let outcome: &'static str = ran.into();
    let body = serde_json::json!({ "outcome": outcome, "reason": reason }).to_string();
    let mut res = Response::new(AnswerBody::Whole(Some(Bytes::from(body))));
    *res.status_mut() = status;
    let headers = res.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(wait) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", wait.as_secs_f64()))
    {
        headers.insert(header::RETRY_AFTER, value);
    }
    res
}

/// The response of an instance.
pub(crate) fn forwarded(
    status: StatusCode,
    headers: &HeaderMap,
    body: ReceivedBody,
) -> Response<AnswerBody> {
    let body = match body {
        ReceivedBody::Whole(it) => AnswerBody::Whole(Some(it)),
        ReceivedBody::Streamed(start, rest, connection) => {
            AnswerBody::Streamed { start: Some(start), rest, _connection: connection }
        }
    };
    let mut res = Response::new(body);
    *res.status_mut() = status;
    *res.headers_mut() = end_to_end(headers);
    // The body's own length holds; that of a body without one is found by its end.
    if let AnswerBody::Whole(_) = res.body() {
        res.headers_mut().remove(header::CONTENT_LENGTH);
    }
    res
}

/// The headers that concern more than one connection.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    let mut res = headers.clone();
    for name in HOP_BY_HOP {
        res.remove(name);
    }
    for name in listed {
        res.remove(name.as_str());
    }
    res
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match &mut *self {
            Self::Whole(it) => Poll::Ready(it.take().map(|it| Ok(Frame::data(it)))),
            Self::Streamed { start, rest, .. } => match start.take() {
                Some(it) => Poll::Ready(Some(Ok(Frame::data(it)))),
                None => Pin::new(rest).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(it) => it.as_ref().is_none_or(Bytes::is_empty),
            Self::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(it) => SizeHint::with_exact(it.as_ref().map_or(0, |it| it.len() as u64)),
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
