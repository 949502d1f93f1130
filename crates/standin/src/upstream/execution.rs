//! A running request, and the responses of the instance.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, StatusCode};
use poem::{Body, Request, Response};
use tokio::{sync::OwnedSemaphorePermit, time::Instant};

use crate::{
    http_util::{self, error_response},
    upstream::{
        api::Api,
        execution_log::{ExecutionRecord, ExecutionState},
    },
};

/// Size of one chunk of a streamed response.
const CHUNK_BYTES: u64 = 16 * 1024;

/// Period of the byte pattern in streamed responses. A prime period makes a chunk at a wrong offset
/// differ from the expected bytes.
const PATTERN_PERIOD_BYTES: u64 = 251;

/// A running request. Dropping it before its end is recorded counts as a cancellation.
pub(super) struct Execution {
    api: Arc<Api>,
    pub(super) sequence: u64,
    ended: bool,
    /// Slot that the request occupies until it ends.
    slot: Option<OwnedSemaphorePermit>,
}

impl Execution {
    /// Counts and logs a request that starts to run.
    pub(super) fn start(api: Arc<Api>, slot: OwnedSemaphorePermit, request: &Request) -> Self {
        let header = |name| http_util::header(request, name).map(str::to_owned);
        let record = ExecutionRecord {
            sequence: 0,
            tag: header("x-request-tag"),
            team: header("kingcupford-tenant"),
            method: request.method().to_string(),
            path: request.uri().to_string(),
            state: ExecutionState::Running,
        };
        let sequence = {
            let state = &mut *api.state.lock();
            state.counts.started += 1;
            state.counts.in_flight += 1;
            state.counts.max_in_flight = state.counts.max_in_flight.max(state.counts.in_flight);
            state.record_sample(Instant::now());
            state.execution_log.record_start(record)
        };
        Self { api, sequence, ended: false, slot: Some(slot) }
    }

    /// Records the final state and frees the slot, unless the request has already ended.
    pub(super) fn end(&mut self, final_state: ExecutionState) {
        if self.ended {
            return;
        }
        self.ended = true;
        self.slot = None;
        let state = &mut *self.api.state.lock();
        state.counts.in_flight -= 1;
        match final_state {
            ExecutionState::Executed => state.counts.executed += 1,
            ExecutionState::Failed => state.counts.failed += 1,
            ExecutionState::Cancelled => state.counts.cancelled += 1,
            ExecutionState::DeadlineExceeded => state.counts.stopped_late += 1,
            ExecutionState::Crashed | ExecutionState::Running => {}
        }
        state.execution_log.set_state(self.sequence, final_state);
        state.record_sample(Instant::now());
    }

    /// Ends the request and crashes the instance.
    pub(super) fn crash(&mut self) -> Response {
        self.end(ExecutionState::Crashed);
        let downtime_ms = self.api.state.lock().faults.crash_downtime_ms;
        self.api.crash(Duration::from_millis(downtime_ms));
        // The connection is dropped, so this response is never sent.
        StatusCode::SERVICE_UNAVAILABLE.into()
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.end(ExecutionState::Cancelled);
    }
}

/// Counts a request as queued until it is dropped.
pub(super) struct QueuedGuard<'a> {
    pub(super) api: &'a Api,
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        let state = &mut *self.api.state.lock();
        state.queued -= 1;
        state.record_sample(Instant::now());
    }
}

/// Creates a streamed response of `length` bytes. The execution ends with the last chunk.
pub(super) fn pattern_response(length: u64, execution: Execution) -> Response {
    let chunks = stream::unfold((0, execution), move |(sent, mut execution)| async move {
        let end = length.min(sent + CHUNK_BYTES);
        if end == length {
            execution.end(ExecutionState::Executed);
        }
        let chunk: Bytes = (sent..end).map(|it| (it % PATTERN_PERIOD_BYTES) as u8).collect();
        (sent < end).then(|| (Ok::<_, std::io::Error>(chunk), (end, execution)))
    });
    Response::builder()
        .content_type("application/octet-stream")
        .header(http::header::CONTENT_LENGTH, length)
        .body(Body::from_bytes_stream(chunks))
}

/// Creates the response to a request that was refused and did not run.
pub(super) fn not_run_response(message: &str) -> Response {
    let mut res = error_response(StatusCode::SERVICE_UNAVAILABLE, message);
    set_outcome(&mut res, "not-run");
    res
}

/// Sets the header with the outcome of the request.
pub(super) fn set_outcome(response: &mut Response, outcome: &'static str) {
    response.headers_mut().insert("kingcupford-outcome", HeaderValue::from_static(outcome));
}
