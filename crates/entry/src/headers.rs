//! Which headers pass between callers and upstreams.

use http::{HeaderMap, HeaderName, header};

/// Prefix of the headers that belong to this system.
const OWN_PREFIX: &str = "kingcupford-";

/// Header with the outcome of a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("kingcupford-outcome");

/// Header with the id of a request that is not idempotent.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("kingcupford-request-id");

/// Header with a fresh binding for request ids.
pub(crate) const BINDING: HeaderName = HeaderName::from_static("kingcupford-binding");

/// Header with the time left for a request.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("kingcupford-deadline-ms");

/// Header with the tenant of a request.
pub(crate) const TENANT: HeaderName = HeaderName::from_static("kingcupford-tenant");

/// Header by which an upstream says that it drains.
pub(crate) const DRAINING: HeaderName = HeaderName::from_static("kingcupford-draining");

/// Headers that concern one connection only.
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

/// Headers of a request that pass to the upstream.
pub(crate) fn to_upstream(headers: &HeaderMap) -> HeaderMap {
    let mut res = end_to_end(headers);
    res.remove(header::AUTHORIZATION);
    res.remove(header::HOST);
    res.remove(header::EXPECT);
    res
}

/// Headers of an answer that pass to the caller.
pub(crate) fn to_caller(headers: &HeaderMap) -> HeaderMap {
    end_to_end(headers)
}

/// Headers without those of one connection and those of this system.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .map(|it| it.trim().to_ascii_lowercase())
        .collect();
    let mut res = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let text = name.as_str();
        let dropped = HOP_BY_HOP.contains(&text)
            || text.starts_with(OWN_PREFIX)
            || named.iter().any(|it| it == text);
        if !dropped {
            res.append(name, value.clone());
        }
    }
    res
}
