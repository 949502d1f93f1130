//! Kinds of calls with their queries and responses.

use std::time::Duration;

use http::{StatusCode, header};
use poem::{Request, Response};
use serde::Deserialize;
use serde_json::json;

use crate::{
    http_util::{self, json_response},
    platform::{settings::CallCounts, store::Condition},
};

/// Kind of a call, by which calls are limited and counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
    Delete,
    List,
    /// Long poll for changes of objects.
    Watch,
    HostList,
    Announce,
}

/// Which message of a write is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LostMessage {
    /// The write is carried out and its response is sent.
    None,
    /// The write is carried out and the connection is dropped.
    Response,
    /// The connection is dropped and the write takes no effect.
    Request,
}

/// Query of a list of objects.
#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    /// Prefix of the listed names.
    #[serde(default)]
    pub(super) prefix: String,
}

/// Query of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchQuery {
    /// Prefix of the watched names.
    #[serde(default)]
    pub(super) prefix: String,
    /// Last revision known to the client.
    pub(super) after: u64,
    /// Longest wait.
    pub(super) timeout_ms: Option<u64>,
}

/// Body of a request to restore the platform from a copy.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RestoreRequest {
    /// Age of the copy.
    pub(super) age_ms: u64,
}

impl CallCounts {
    /// Returns the counter of calls of a kind.
    pub(super) fn counter(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
            CallKind::Delete => &mut self.deletions,
            CallKind::List => &mut self.lists,
            CallKind::Watch => &mut self.watches,
            CallKind::HostList => &mut self.host_lists,
            CallKind::Announce => &mut self.announcements,
        }
    }
}

/// Creates the response of a watch. A change is a name with its version, `None` for a deletion.
pub(super) fn watch_response(revision: u64, changes: &[(String, Option<u64>)]) -> Response {
    let changes: Vec<_> =
        changes.iter().map(|(name, version)| json!({ "name": name, "version": version })).collect();
    json_response(StatusCode::OK, &json!({ "revision": revision, "changes": changes }))
}

/// Creates the response to a call above a rate limit.
pub(super) fn throttled_response(retry_after: Duration) -> Response {
    let retry_after_ms = retry_after.as_millis().max(1) as u64;
    let body = json!({ "message": "too many calls", "retry_after_ms": retry_after_ms });
    let mut res = json_response(StatusCode::TOO_MANY_REQUESTS, &body);
    let retry_after_s = retry_after_ms.div_ceil(1000);
    res.headers_mut().insert(header::RETRY_AFTER, retry_after_s.into());
    res
}

/// Parses the condition of a write from its headers. Returns `None` when they are invalid.
pub(super) fn parse_condition(request: &Request) -> Option<Condition> {
    match (http_util::header(request, "if-match"), http_util::header(request, "if-none-match")) {
        (None, None) => Some(Condition::Always),
        (None, Some("*")) => Some(Condition::Absent),
        (Some(version), None) => Some(Condition::Version(version.trim_matches('"').parse().ok()?)),
        _ => None,
    }
}
