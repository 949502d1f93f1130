//! Kinds of calls, their queries and their responses.

use std::time::Duration;

use http::{StatusCode, header};
use poem::{Request, Response};
use serde::Deserialize;
use serde_json::json;

use crate::{
    http_parts::{self, json},
    platform::{settings::CallCounts, store::Condition},
};

/// Kinds of calls that are limited and counted apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Reads one object.
    Read,
    /// Writes one object.
    Write,
    /// Deletes one object.
    Delete,
    /// Lists objects.
    List,
    /// Waits for changes.
    Watch,
    /// Lists hosts.
    HostList,
    /// Announces a host.
    Announce,
}

/// What happens to the response of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    /// It is sent.
    Answered,
    /// The write takes effect and the connection is dropped.
    AnswerLost,
    /// The connection is dropped before the write takes effect.
    RequestLost,
}

/// Query of a list of objects.
#[derive(Debug, Deserialize)]
pub(super) struct ListQuery {
    /// Start of the names.
    #[serde(default)]
    pub(super) prefix: String,
}

/// Query of a watch.
#[derive(Debug, Deserialize)]
pub(super) struct WatchQuery {
    /// Start of the names.
    #[serde(default)]
    pub(super) prefix: String,
    /// The last revision that the client knows.
    pub(super) after: u64,
    /// Longest wait.
    pub(super) timeout_ms: Option<u64>,
}

impl CallCounts {
    /// The counter of a kind of calls.
    pub(super) fn counter(&mut self, kind: Kind) -> &mut u64 {
        match kind {
            Kind::Read => &mut self.reads,
            Kind::Write => &mut self.writes,
            Kind::Delete => &mut self.deletions,
            Kind::List => &mut self.lists,
            Kind::Watch => &mut self.watches,
            Kind::HostList => &mut self.host_lists,
            Kind::Announce => &mut self.announcements,
        }
    }
}

/// The response of a watch.
pub(super) fn watched(revision: u64, changes: &[(String, Option<u64>)]) -> Response {
    let changes: Vec<_> =
        changes.iter().map(|(name, version)| json!({ "name": name, "version": version })).collect();
    json(StatusCode::OK, &json!({ "revision": revision, "changes": changes }))
}

/// The response to a call above a limit.
pub(super) fn throttled(wait: Duration) -> Response {
    let retry_after_ms = wait.as_millis().max(1) as u64;
    let body = json!({ "message": "too many calls", "retry_after_ms": retry_after_ms });
    let mut res = json(StatusCode::TOO_MANY_REQUESTS, &body);
    let seconds = retry_after_ms.div_ceil(1000);
    res.headers_mut().insert(header::RETRY_AFTER, seconds.into());
    res
}

/// The condition of a write, `None` when it cannot be read.
pub(super) fn condition(request: &Request) -> Option<Condition> {
    match (http_parts::header(request, "if-match"), http_parts::header(request, "if-none-match")) {
        (None, None) => Some(Condition::Always),
        (None, Some("*")) => Some(Condition::Absent),
        (Some(version), None) => Some(Condition::Version(version.trim_matches('"').parse().ok()?)),
        _ => None,
    }
}
