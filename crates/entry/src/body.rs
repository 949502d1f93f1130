//! Request bodies that stream to an upstream and can be sent again while they are small.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream::BoxStream};
use parking_lot::Mutex;

/// Bytes of a body that are kept for a further attempt.
const REPLAY_BYTES: usize = 16 * 1024;

/// The body of one request, shared by its attempts.
#[derive(Clone)]
pub(crate) struct ReplayBody {
    /// What was read and what is still to come.
    state: Arc<Mutex<State>>,
}

/// Progress of reading a body.
struct State {
    /// Chunks from the start of the body.
    kept: Vec<Bytes>,
    /// Bytes in `kept`.
    kept_bytes: usize,
    /// Whether more was read than is kept.
    overflowed: bool,
    /// The rest of the body.
    rest: BoxStream<'static, io::Result<Bytes>>,
}

impl ReplayBody {
    /// Wraps the body of a caller's request.
    pub(crate) fn new(body: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Self {
        let state =
            State { kept: Vec::new(), kept_bytes: 0, overflowed: false, rest: body.boxed() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Reads the first chunk without losing it.
    pub(crate) async fn first_bytes(&self) -> io::Result<Bytes> {
        std::future::poll_fn(|context| match self.state.lock().poll_next(context) {
            Poll::Ready(None) => Poll::Ready(Ok(Bytes::new())),
            Poll::Ready(Some(it)) => Poll::Ready(it),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Whether a further attempt can send the body from its start.
    pub(crate) fn can_replay(&self) -> bool {
        !self.state.lock().overflowed
    }

    /// The body from its start, for one attempt.
    pub(crate) fn attempt(&self) -> AttemptBody {
        AttemptBody { state: Arc::clone(&self.state), position: 0 }
    }
}

impl State {
    /// Reads the next chunk and keeps it while the limit allows.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let res = self.rest.as_mut().poll_next(context);
        if let Poll::Ready(Some(Ok(chunk))) = &res {
            // The first chunk is always kept, since `first_bytes` must not lose it.
            let fits = self.kept.is_empty() || self.kept_bytes + chunk.len() <= REPLAY_BYTES;
            if self.overflowed || !fits {
                self.overflowed = true;
                self.kept.clear();
            } else {
                self.kept_bytes += chunk.len();
                self.kept.push(chunk.clone());
            }
        }
        res
    }
}

/// Streams a body to one upstream.
pub(crate) struct AttemptBody {
    /// What was read and what is still to come.
    state: Arc<Mutex<State>>,
    /// Kept chunks that were already sent by this attempt.
    position: usize,
}

impl Stream for AttemptBody {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let state = Arc::clone(&self.state);
        let mut state = state.lock();
        if let Some(chunk) = state.kept.get(self.position) {
            self.position += 1;
            return Poll::Ready(Some(Ok(chunk.clone())));
        }
        let res = state.poll_next(context);
        if !state.overflowed {
            self.position = state.kept.len();
        }
        res
    }
}
