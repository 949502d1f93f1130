//! One running request and its response.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, StatusCode};
use poem::{Body, Request, Response};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    http_parts::{self, refusal},
    upstream::{
        api::Api,
        executions::{ExecutionRecord, ExecutionState},
    },
};

/// Bytes of one part of a streamed response.
const PART_BYTES: u64 = 16 * 1024;

/// Period of the pattern in streamed responses, a prime so that a shifted part differs.
const PATTERN_PERIOD: u64 = 251;

/// A running request; dropping it early counts as a cancellation.
pub(super) struct Execution {
    /// Where it is counted.
    api: Arc<Api>,
    /// Its number.
    pub(super) sequence: u64,
    /// Whether its end was recorded.
    ended: bool,
    /// Its slot, free once it ends.
    slot: Option<OwnedSemaphorePermit>,
}

impl Execution {
    /// Records a start.
    pub(super) fn start(api: Arc<Api>, slot: OwnedSemaphorePermit, request: &Request) -> Self {
        let header = |name| http_parts::header(request, name).map(str::to_owned);
        let record = ExecutionRecord {
            sequence: 0,
            tag: header("x-request-tag"),
            tenant: header("kingcupford-tenant"),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            state: ExecutionState::Running,
        };
        let sequence = {
            let state = &mut *api.state.lock();
            state.counts.started += 1;
            state.counts.in_flight += 1;
            state.counts.max_in_flight = state.counts.max_in_flight.max(state.counts.in_flight);
            state.report(Instant::now());
            state.executions.start(record)
        };
        Self { api, sequence, ended: false, slot: Some(slot) }
    }

    /// Records the end.
    pub(super) fn end(&mut self, end: ExecutionState) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.slot = None;
        let state = &mut *self.api.state.lock();
        state.counts.in_flight -= 1;
        match end {
            ExecutionState::Executed => state.counts.executed += 1,
            ExecutionState::Failed => state.counts.failed += 1,
            ExecutionState::Cancelled => state.counts.cancelled += 1,
            ExecutionState::DeadlineExceeded => state.counts.stopped_late += 1,
            ExecutionState::Crashed | ExecutionState::Running => {}
        }
        state.executions.set(self.sequence, end);
        state.report(Instant::now());
    }

    /// Crashes the instance.
    pub(super) fn crash(&mut self) -> Response {
        self.end(ExecutionState::Crashed);
        let downtime_ms = self.api.state.lock().faults.crash_downtime_ms;
        self.api.crash(Duration::from_millis(downtime_ms));
        // Its connection is dropped, so nobody reads this response.
        StatusCode::SERVICE_UNAVAILABLE.into()
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.end(ExecutionState::Cancelled);
    }
}

/// A request that waits for a slot.
pub(super) struct Queued<'a> {
    /// Where it is counted.
    pub(super) api: &'a Api,
}

impl Drop for Queued<'_> {
    fn drop(&mut self) {
        let state = &mut *self.api.state.lock();
        state.queued -= 1;
        state.report(Instant::now());
    }
}

/// A response of `length` patterned bytes, which ends the execution with its last part.
pub(super) fn pattern(length: u64, execution: Execution) -> Response {
    let parts = stream::unfold((0, execution), move |(sent, mut execution)| async move {
        let end = length.min(sent + PART_BYTES);
        if end == length {
            execution.end(ExecutionState::Executed);
        }
        let part: Bytes = (sent..end).map(|it| (it % PATTERN_PERIOD) as u8).collect();
        (sent < end).then(|| (Ok::<_, std::io::Error>(part), (end, execution)))
    });
    Response::builder()
        .content_type("application/octet-stream")
        .header(http::header::CONTENT_LENGTH, length)
        .body(Body::from_bytes_stream(parts))
}

/// A refusal of a request that did not run.
pub(super) fn not_run(message: &str) -> Response {
    let mut res = refusal(StatusCode::SERVICE_UNAVAILABLE, message);
    set_outcome(&mut res, "not-run");
    res
}

/// Names the outcome of the request.
pub(super) fn set_outcome(response: &mut Response, outcome: &'static str) {
    response.headers_mut().insert("kingcupford-outcome", HeaderValue::from_static(outcome));
}
