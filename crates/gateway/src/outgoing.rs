//! Bodies of requests to instances.

use std::{
    cell::Cell,
    collections::VecDeque,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

/// A request's body that was read so far: whole, or its start with the rest to come.
#[derive(Debug)]
pub(crate) enum ReadBody {
    /// The whole body; it can be sent again.
    Whole(Vec<Bytes>),
    /// A body that is too large to be kept.
    Streamed {
        /// What was read.
        start: Vec<Bytes>,
        /// What is to come, taken by the only attempt that may send it.
        rest: Option<Incoming>,
    },
}

impl ReadBody {
    /// Whether a further attempt can send it.
    pub(crate) fn can_send(&self) -> bool {
        match self {
            Self::Whole(_) => true,
            Self::Streamed { rest, .. } => rest.is_some(),
        }
    }

    /// The body for one attempt, with a flag that turns true once it was handed over whole.
    pub(crate) fn attempt(&mut self) -> (OutgoingBody, Rc<Cell<bool>>) {
        let (chunks, rest): (VecDeque<Bytes>, _) = match self {
            Self::Whole(chunks) => (chunks.iter().cloned().collect(), None),
            Self::Streamed { start, rest } => (start.drain(..).collect(), rest.take()),
        };
        let is_done = Rc::new(Cell::new(chunks.is_empty() && rest.is_none()));
        let left = chunks.iter().map(|it| it.len() as u64).sum();
        (OutgoingBody { chunks, left, rest, is_done: Rc::clone(&is_done) }, is_done)
    }
}

/// The body of one attempt.
pub(crate) struct OutgoingBody {
    /// Chunks that were read before.
    chunks: VecDeque<Bytes>,
    /// Bytes in `chunks`.
    left: u64,
    /// What is still to come from the caller.
    rest: Option<Incoming>,
    /// Turns true at the end.
    is_done: Rc<Cell<bool>>,
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            self.left -= chunk.len() as u64;
            if self.is_end_stream() {
                self.is_done.set(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(rest) = &mut self.rest else {
            self.is_done.set(true);
            return Poll::Ready(None);
        };
        let res = Pin::new(rest).poll_frame(context);
        if matches!(res, Poll::Ready(None)) {
            self.rest = None;
            self.is_done.set(true);
        }
        res
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.left),
            Some(rest) => match rest.size_hint().exact() {
                Some(it) => SizeHint::with_exact(self.left + it),
                None => SizeHint::default(),
            },
        }
    }
}
