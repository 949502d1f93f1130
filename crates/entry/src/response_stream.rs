//! Relays a response body from an upstream to the caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _};
use kingcupford_config::RegionId;
use kingcupford_engine::{AttemptResult, MAX_RESPONSE_OVERRUN};
use kingcupford_route::AttemptOutcome;
use tokio::time::{Instant, Sleep, sleep, sleep_until};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::{forward::TicketGuard, host::Host, listener::RequestGuard, upstream::ResponseBody};

/// Maximum time after which a chunk that waits for a link's bandwidth tries again. A loan can
/// arrive long before this host's share of the cap has refilled.
const MAX_BANDWIDTH_WAIT: Duration = Duration::from_millis(10);

/// Response body on the way to the caller. The request holds the slot of the upstream until the
/// stream ends or is dropped.
pub(crate) struct ResponseStream {
    /// Body from the upstream.
    body: ResponseBody,
    host: Arc<Host>,
    /// `None` after the result was reported to the engine.
    ticket_guard: Option<TicketGuard>,
    /// Result to report if the body is relayed completely.
    result: AttemptResult,
    /// Ends at the deadline plus [`MAX_RESPONSE_OVERRUN`].
    deadline: Pin<Box<Sleep>>,
    caller_closed: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Prevents the caller's connection from counting as idle.
    request_guard: RequestGuard,
    /// Regions between which the response is sent, `None` within a region or if the region of this
    /// host is unknown.
    link: Option<(RegionId, RegionId)>,
    /// Wait for the link's bandwidth.
    bandwidth_wait: Option<Pin<Box<Sleep>>>,
    /// Chunk that waits for the link's bandwidth.
    delayed_chunk: Option<Bytes>,
    /// Bytes of the body that were not relayed yet, `None` if the length is unknown.
    remaining_bytes: Option<u64>,
}

impl ResponseStream {
    /// Creates the stream of a response body; `result` is reported to the engine if the body is
    /// relayed completely.
    pub(crate) fn new(
        body: ResponseBody,
        ticket_guard: TicketGuard,
        result: AttemptResult,
        deadline: Instant,
        request_guard: RequestGuard,
    ) -> Self {
        let remaining_bytes = body.remaining_bytes();
        Self {
            body,
            host: Arc::clone(&ticket_guard.host),
            ticket_guard: Some(ticket_guard),
            result,
            deadline: Box::pin(sleep_until(deadline + MAX_RESPONSE_OVERRUN)),
            caller_closed: Box::pin(request_guard.connection_closed().clone().cancelled_owned()),
            request_guard,
            link: None,
            bandwidth_wait: None,
            delayed_chunk: None,
            remaining_bytes,
        }
    }

    /// Sets the regions between which the response is sent; the link's bandwidth cap applies to it.
    pub(crate) fn with_link(mut self, link: Option<(RegionId, RegionId)>) -> Self {
        self.link = link;
        self
    }

    /// Ends a response that is incomplete. The HTTP server would end the chunks in order, or the
    /// connection of a caller that knows no chunks.
    fn break_off(&self, error: std::io::Error) -> Poll<Option<std::io::Result<Bytes>>> {
        self.request_guard.reset_connection();
        Poll::Ready(Some(Err(error)))
    }

    /// Reports the result to the engine, once.
    fn finish(&mut self, result: AttemptResult) {
        if let Some(mut ticket_guard) = self.ticket_guard.take() {
            ticket_guard.finish(result);
        }
    }

    /// Acquires the link's bandwidth for a chunk. Returns the time after which to try again if
    /// there is too little.
    fn acquire_bandwidth(&self, bytes: usize, has_waited: bool) -> Option<Duration> {
        let (from, to) = self.link?;
        let mut engine = self.host.engine.lock();
        let now = Instant::now();
        let res = if has_waited {
            engine.retry_acquire_link_bytes(from, to, bytes, now)
        } else {
            engine.acquire_link_bytes(from, to, bytes, now)
        };
        if engine.needs_share_tick() {
            self.host.share_tick.notify_one();
        }
        res.map(|it| it.min(MAX_BANDWIDTH_WAIT))
    }

    /// Yields a chunk, or delays it until the link has enough bandwidth.
    fn relay_chunk(
        &mut self,
        chunk: Bytes,
        has_waited: bool,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Bytes>>> {
        let Some(wait) = self.acquire_bandwidth(chunk.len(), has_waited) else {
            let length = chunk.len() as u64;
            self.remaining_bytes = self.remaining_bytes.map(|it| it.saturating_sub(length));
            return Poll::Ready(Some(Ok(chunk)));
        };
        self.delayed_chunk = Some(chunk);
        let mut bandwidth_wait = Box::pin(sleep(wait));
        let _ = bandwidth_wait.as_mut().poll(context);
        self.bandwidth_wait = Some(bandwidth_wait);
        Poll::Pending
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // The HTTP server drops a body of known length after the last byte, without polling for the
        // end.
        let result = match self.remaining_bytes {
            Some(0) => self.result,
            _ => AttemptResult { outcome: AttemptOutcome::Cancelled, ..self.result },
        };
        self.finish(result);
    }
}

impl Stream for ResponseStream {
    type Item = std::io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.caller_closed.as_mut().poll(context).is_ready() {
            let result = AttemptResult { outcome: AttemptOutcome::Cancelled, ..self.result };
            self.finish(result);
            let error = std::io::ErrorKind::ConnectionAborted.into();
            return Poll::Ready(Some(Err(error)));
        }
        if self.deadline.as_mut().poll(context).is_ready()
            || self.host.requests_cancelled.is_cancelled()
        {
            let result = AttemptResult { outcome: AttemptOutcome::TimedOut, ..self.result };
            self.finish(result);
            let error = std::io::Error::new(std::io::ErrorKind::TimedOut, "deadline passed");
            return self.break_off(error);
        }
        if let Some(bandwidth_wait) = &mut self.bandwidth_wait {
            if bandwidth_wait.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.bandwidth_wait = None;
            if let Some(chunk) = self.delayed_chunk.take() {
                return self.relay_chunk(chunk, true, context);
            }
        }
        match self.body.poll_next_unpin(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => self.relay_chunk(chunk, false, context),
            Poll::Ready(Some(Err(error))) => {
                let outcome = AttemptOutcome::Broken { response_started: true };
                let result = AttemptResult { outcome, ..self.result };
                self.finish(result);
                self.break_off(error)
            }
            Poll::Ready(None) => {
                let result = self.result;
                self.finish(result);
                Poll::Ready(None)
            }
        }
    }
}
