//! HTTP responses for refusals.

use http::{HeaderValue, StatusCode, header};
use kingcupford_engine::{Refusal, RefusalReason};
use kingcupford_route::Outcome;
use poem::{Body, Response};
use serde::Serialize;

use crate::headers;

/// JSON body of a refused or failed request.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    /// Whether the request ran: `executed`, `not-run` or `unknown`.
    outcome: &'a str,
    /// Reason in kebab-case; clients may match it.
    reason: &'a str,
    message: &'a str,
    /// Advice to the caller.
    hint: &'a str,
    /// Time after which a repeated request may succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    /// Name and addresses of the host to use instead, HTTP status of the earlier execution, or what
    /// is wrong with a malformed request.
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    /// Binding with which the caller can form new request ids.
    #[serde(skip_serializing_if = "Option::is_none")]
    binding: Option<&'a str>,
}

/// Returns the HTTP response for a refusal or failure.
pub(crate) fn to_response(refusal: &Refusal) -> Response {
    let (message, hint) = explain(refusal.reason);
    // Another host may run the request immediately; other refusals need a wait.
    let min_ms = u64::from(refusal.reason != RefusalReason::ShuttingDown);
    let retry_after_ms =
        refusal.retry_after.map(|it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX).max(min_ms));
    let outcome = refusal.outcome.to_string();
    let body = RefusalBody {
        outcome: &outcome,
        reason: refusal.reason.into(),
        message,
        hint,
        retry_after_ms,
        detail: refusal.detail.as_deref(),
        binding: refusal.binding.as_deref(),
    };
    let mut res = Response::builder()
        .status(status(refusal.reason, refusal.outcome))
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::OUTCOME, &outcome)
        .body(Body::from_json(&body).unwrap_or_else(|_| Body::empty()));
    if let Some(ms) = retry_after_ms {
        res.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
    }
    if let Some(binding) = &refusal.binding
        && let Ok(value) = HeaderValue::from_str(binding)
    {
        res.headers_mut().insert(headers::BINDING, value);
    }
    res
}

/// Returns the HTTP status of a refusal.
fn status(reason: RefusalReason, outcome: Outcome) -> StatusCode {
    match reason {
        RefusalReason::UnknownService | RefusalReason::UnknownRoute => StatusCode::NOT_FOUND,
        RefusalReason::KeyMissing | RefusalReason::KeyInvalid => StatusCode::UNAUTHORIZED,
        RefusalReason::TeamRate | RefusalReason::TeamQueueFull => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::RequestIdMissing => StatusCode::PRECONDITION_REQUIRED,
        RefusalReason::RequestIdMalformed | RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::RequestIdRunning
        | RefusalReason::RequestIdExecuted
        | RefusalReason::RequestIdUnknown => StatusCode::CONFLICT,
        RefusalReason::RequestIdElsewhere => StatusCode::MISDIRECTED_REQUEST,
        RefusalReason::RequestIdVoid => StatusCode::GONE,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::UpstreamFailed if outcome == Outcome::Unknown => StatusCode::BAD_GATEWAY,
        RefusalReason::UpstreamFailed
        | RefusalReason::KeyUnconfirmed
        | RefusalReason::ServiceBusy
        | RefusalReason::NoUpstream
        | RefusalReason::RequestIdsFull
        | RefusalReason::NotReady
        | RefusalReason::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

/// Returns the message and the hint for a reason.
fn explain(reason: RefusalReason) -> (&'static str, &'static str) {
    match reason {
        RefusalReason::UnknownService => {
            ("no service has this name", "the first segment of the path names the service")
        }
        RefusalReason::UnknownRoute => ("no route matches the method and path", "check the path"),
        RefusalReason::KeyMissing => {
            ("the route needs a key", "send `authorization: Bearer <key>`")
        }
        RefusalReason::KeyInvalid => ("the key is not valid", "ask your operator for a new key"),
        RefusalReason::KeyUnconfirmed => {
            ("this host cannot confirm that the key is still valid", "ask another host")
        }
        RefusalReason::TeamRate => ("the tenant's rate is spent", "wait and send fewer requests"),
        RefusalReason::TeamQueueFull => {
            ("the team has too many waiting requests", "wait and repeat")
        }
        RefusalReason::ServiceBusy => ("no slot became free in time", "wait and repeat"),
        RefusalReason::NoUpstream => ("no healthy upstream can be reached", "wait and repeat"),
        RefusalReason::Quarantined => {
            ("a request with this content made upstreams fail", "change the request")
        }
        RefusalReason::RequestIdMissing => (
            "the route is not idempotent and needs a request id",
            "send `kingcupford-request-id: <binding>.<unique>` with the binding given here",
        ),
        RefusalReason::RequestIdMalformed => {
            ("the request id has the wrong form", "send `<binding>.<unique>`")
        }
        RefusalReason::RequestIdRunning => {
            ("a request with this id runs now", "wait for its answer")
        }
        RefusalReason::RequestIdExecuted => {
            ("a request with this id ran before", "do not repeat it")
        }
        RefusalReason::RequestIdUnknown => {
            ("a request with this id may have run before", "look up its result before repeating")
        }
        RefusalReason::RequestIdElsewhere => {
            ("another host owns this request id", "ask the host named in `detail`")
        }
        RefusalReason::RequestIdVoid => (
            "the request id has ended, the request may have run before",
            "look up its result before repeating it with a new id",
        ),
        RefusalReason::RequestIdsFull => {
            ("this host cannot remember more request ids", "use another host")
        }
        RefusalReason::DeadlinePassed => ("the deadline passed", "allow more time"),
        RefusalReason::UpstreamFailed => ("the connection to the upstream failed", "see `outcome`"),
        RefusalReason::NotReady => ("this host has no configuration yet", "use another host"),
        RefusalReason::ShuttingDown => (
            "this host ends before the deadline of the request",
            "use another host, with a request id of its binding",
        ),
        RefusalReason::BadRequest => {
            ("the request is malformed", "check the request line and headers")
        }
    }
}
