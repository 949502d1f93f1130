//! The stream of an answer from an upstream to its caller.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream::BoxStream};
use kingcupford_config::RegionId;
use kingcupford_engine::AttemptResult;
use kingcupford_route::AttemptOutcome;
use tokio::time::{Instant, Sleep, sleep, sleep_until};
use tokio_util::sync::WaitForCancellationFutureOwned;

use crate::{forward::TicketGuard, host::Host, listener::RequestGuard, upstream};

/// Longest time after which bytes that wait for a link's bandwidth ask again.
const LINK_RETRY: Duration = Duration::from_millis(10);

/// Time beyond the deadline for the body of an answer whose head came before it: an upstream that
/// answers just at the deadline would otherwise be cut before its caller is told the outcome.
const BODY_GRACE: Duration = Duration::from_millis(250);

/// The body of an answer on its way to the caller; holds the upstream's slot until it ends.
pub(crate) struct AnswerStream {
    /// The upstream's body.
    inner: BoxStream<'static, std::io::Result<Bytes>>,
    /// The host.
    host: Arc<Host>,
    /// Ends the request in the policy.
    guard: Option<TicketGuard>,
    /// How the request ended, when the body comes through.
    end: AttemptResult,
    /// Cuts the answer at the deadline.
    deadline: Pin<Box<Sleep>>,
    /// Ready when the caller's connection ends.
    ended: Pin<Box<WaitForCancellationFutureOwned>>,
    /// Keeps the caller's connection from counting as idle.
    _connection: RequestGuard,
    /// The link that the answer crosses.
    paced: Option<(RegionId, RegionId)>,
    /// Waits for the link's bandwidth.
    pause: Option<Pin<Box<Sleep>>>,
    /// A chunk that waits for the link's bandwidth.
    held: Option<Bytes>,
    /// Bytes of the body that were not passed on yet, when its length is known.
    remaining: Option<u64>,
}

impl AnswerStream {
    /// Passes on the body of an answer; `end` is how the request ends when it comes through.
    pub(crate) fn new(
        response: reqwest::Response,
        guard: TicketGuard,
        end: AttemptResult,
        deadline: Instant,
        connection: RequestGuard,
    ) -> Self {
        let remaining = response.content_length();
        Self {
            inner: upstream::answer_stream(response).boxed(),
            host: Arc::clone(&guard.host),
            guard: Some(guard),
            end,
            deadline: Box::pin(sleep_until(deadline + BODY_GRACE)),
            ended: Box::pin(connection.ended().clone().cancelled_owned()),
            _connection: connection,
            paced: None,
            pause: None,
            held: None,
            remaining,
        }
    }

    /// Sets the link that the answer crosses.
    pub(crate) fn with_link(mut self, link: Option<(RegionId, RegionId)>) -> Self {
        self.paced = link;
        self
    }

    /// Ends the request in the policy.
    fn finish(&mut self, end: AttemptResult) {
        if let Some(mut guard) = self.guard.take() {
            guard.finish(end);
        }
    }

    /// Takes the bandwidth for a chunk, or how long to wait for it.
    fn pace(&self, bytes: usize, waited: bool) -> Option<Duration> {
        let (from, to) = self.paced?;
        let mut engine = self.host.engine.lock();
        let now = Instant::now();
        let res = if waited {
            engine.retry_acquire_link_bytes(from, to, bytes, now)
        } else {
            engine.acquire_link_bytes(from, to, bytes, now)
        };
        if engine.needs_share_tick() {
            self.host.share_tick.notify_one();
        }
        // A loan can come long before the refill of a small share.
        res.map(|it| it.min(LINK_RETRY))
    }

    /// Passes a chunk on, or holds it until the link has room.
    fn pass(
        &mut self,
        chunk: Bytes,
        waited: bool,
        context: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Bytes>>> {
        let Some(wait) = self.pace(chunk.len(), waited) else {
            let length = chunk.len() as u64;
            self.remaining = self.remaining.map(|it| it.saturating_sub(length));
            return Poll::Ready(Some(Ok(chunk)));
        };
        self.held = Some(chunk);
        let mut pause = Box::pin(sleep(wait));
        let _ = pause.as_mut().poll(context);
        self.pause = Some(pause);
        Poll::Pending
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        // A body of known length is dropped after its last byte, without a poll for its end.
        let end = match self.remaining {
            Some(0) => self.end,
            _ => AttemptResult { outcome: AttemptOutcome::Cancelled, ..self.end },
        };
        self.finish(end);
    }
}

impl Stream for AnswerStream {
    type Item = std::io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended.as_mut().poll(context).is_ready() {
            let end = AttemptResult { outcome: AttemptOutcome::Cancelled, ..self.end };
            self.finish(end);
            let error = std::io::ErrorKind::ConnectionAborted.into();
            return Poll::Ready(Some(Err(error)));
        }
        if self.deadline.as_mut().poll(context).is_ready() || self.host.cut.is_cancelled() {
            let cut = AttemptResult { outcome: AttemptOutcome::TimedOut, ..self.end };
            self.finish(cut);
            let error = std::io::Error::new(std::io::ErrorKind::TimedOut, "deadline passed");
            return Poll::Ready(Some(Err(error)));
        }
        if let Some(pause) = &mut self.pause {
            if pause.as_mut().poll(context).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
            if let Some(chunk) = self.held.take() {
                return self.pass(chunk, true, context);
            }
        }
        match self.inner.poll_next_unpin(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => self.pass(chunk, false, context),
            Poll::Ready(Some(Err(error))) => {
                let outcome = AttemptOutcome::Broken { response_started: true };
                let end = AttemptResult { outcome, ..self.end };
                self.finish(end);
                Poll::Ready(Some(Err(error)))
            }
            Poll::Ready(None) => {
                let end = self.end;
                self.finish(end);
                Poll::Ready(None)
            }
        }
    }
}
