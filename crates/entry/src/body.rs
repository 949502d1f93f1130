//! Request bodies that are streamed to an upstream and can be replayed while they are small.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures_util::{Stream, StreamExt as _, stream::BoxStream};
use parking_lot::Mutex;

/// Maximum number of body bytes buffered for a retry. A first chunk that is longer is buffered too.
const REPLAY_BUFFER_BYTES: usize = 16 * 1024;

/// Body of one request, shared by its attempts.
#[derive(Clone)]
pub(crate) struct ReplayBody {
    state: Arc<Mutex<BodyState>>,
}

/// Buffered start of a body and the stream of what follows.
struct BodyState {
    /// Chunks from the start of the body, empty after an overflow.
    buffered: Vec<Bytes>,
    buffered_bytes: usize,
    /// Whether more was read than the buffer may hold, so that the body cannot be replayed.
    has_overflowed: bool,
    /// Part of the body that was not read yet.
    unread: BoxStream<'static, io::Result<Bytes>>,
}

impl ReplayBody {
    /// Wraps the body of a request that a caller sends.
    pub(crate) fn new(body: impl Stream<Item = io::Result<Bytes>> + Send + 'static) -> Self {
        let state = BodyState {
            buffered: Vec::new(),
            buffered_bytes: 0,
            has_overflowed: false,
            unread: body.boxed(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Reads the first chunk and buffers it, so that the attempts still send it. Returns an empty
    /// chunk for an empty body.
    pub(crate) async fn first_bytes(&self) -> io::Result<Bytes> {
        std::future::poll_fn(|context| match self.state.lock().poll_next(context) {
            Poll::Ready(None) => Poll::Ready(Ok(Bytes::new())),
            Poll::Ready(Some(it)) => Poll::Ready(it),
            Poll::Pending => Poll::Pending,
        })
        .await
    }

    /// Returns whether a retry can send the body from its start.
    pub(crate) fn can_replay(&self) -> bool {
        !self.state.lock().has_overflowed
    }

    /// Returns a stream of the body from its start, for one attempt.
    pub(crate) fn attempt(&self) -> AttemptBody {
        AttemptBody { state: Arc::clone(&self.state), sent_chunks: 0 }
    }
}

impl BodyState {
    /// Reads the next chunk and buffers it while the limit allows.
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let res = self.unread.as_mut().poll_next(context);
        if let Poll::Ready(Some(Ok(chunk))) = &res {
            // The first chunk is always buffered, since `first_bytes` must not lose it.
            let fits = self.buffered.is_empty()
                || self.buffered_bytes + chunk.len() <= REPLAY_BUFFER_BYTES;
            if self.has_overflowed || !fits {
                self.has_overflowed = true;
                self.buffered.clear();
            } else {
                self.buffered_bytes += chunk.len();
                self.buffered.push(chunk.clone());
            }
        }
        res
    }
}

/// Stream of a body for one attempt.
pub(crate) struct AttemptBody {
    state: Arc<Mutex<BodyState>>,
    /// Number of buffered chunks that this attempt has sent.
    sent_chunks: usize,
}

impl Stream for AttemptBody {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let state = Arc::clone(&self.state);
        let mut state = state.lock();
        if let Some(chunk) = state.buffered.get(self.sent_chunks) {
            self.sent_chunks += 1;
            return Poll::Ready(Some(Ok(chunk.clone())));
        }
        let res = state.poll_next(context);
        if !state.has_overflowed {
            self.sent_chunks = state.buffered.len();
        }
        res
    }
}
