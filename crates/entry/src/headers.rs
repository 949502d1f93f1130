//! Header names of this system and the filter for headers that are forwarded.

use http::{HeaderMap, HeaderName, header};

/// Prefix of this system's headers, which are not passed through in either direction.
const SYSTEM_PREFIX: &str = "kingcupford-";

/// Outcome of a request: `executed`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("kingcupford-outcome");

/// Id of a request that is not idempotent, in the form `<binding>.<unique>`.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("kingcupford-request-id");

/// Binding with which the caller can form new request ids.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("kingcupford-binding");

/// Time left until the deadline of a request in milliseconds.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("kingcupford-deadline-ms");

/// Id of an attempt; an upstream that returns it with the response may be sent further requests on
/// the connection.
pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("kingcupford-attempt-id");

/// Name of the team that sent a request.
pub(crate) const TEAM: HeaderName = HeaderName::from_static("kingcupford-tenant");

/// Set to `true` by an upstream that is draining.
pub(crate) const DRAINING: HeaderName = HeaderName::from_static("kingcupford-draining");

/// Hop-by-hop headers, which apply to a single connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the request headers that are forwarded to the upstream. The caller's key, the host name
/// and `expect` are removed in addition to what [`end_to_end`] removes.
pub(crate) fn filter_request(headers: &HeaderMap) -> HeaderMap {
    let mut res = end_to_end(headers);
    res.remove(header::AUTHORIZATION);
    res.remove(header::HOST);
    res.remove(header::EXPECT);
    res
}

/// Returns the response headers that are forwarded to the caller.
pub(crate) fn filter_response(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// Returns the headers without hop-by-hop headers, headers named by `connection` and headers of
/// this system.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    let mut res = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let is_removed = HOP_BY_HOP.contains(&text)
            || text.starts_with(SYSTEM_PREFIX)
            || connection_headers.iter().any(|it| it == text);
        if !is_removed {
            res.append(name, value.clone());
        }
    }
    res
}
