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

/// A request body as far as it was read from the caller.
#[derive(Debug)]
pub(crate) enum RequestBody {
    /// The whole body, which can be sent more than once.
    Buffered(Vec<Bytes>),
    /// A body that is too large to be buffered.
    Streamed {
        /// The chunks that were read.
        start: Vec<Bytes>,
        /// The unread rest; `None` once an attempt has taken it.
        rest: Option<Incoming>,
    },
}

impl RequestBody {
    /// Whether another attempt can send the body.
    pub(crate) fn can_send(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Streamed { rest, .. } => rest.is_some(),
        }
    }

    /// Returns the body for one attempt, and a flag that is set once the whole body was handed to
    /// the HTTP library.
    pub(crate) fn attempt_body(&mut self) -> (AttemptBody, Rc<Cell<bool>>) {
        let (chunks, rest): (VecDeque<Bytes>, _) = match self {
            Self::Buffered(chunks) => (chunks.iter().cloned().collect(), None),
            Self::Streamed { start, rest } => (start.drain(..).collect(), rest.take()),
        };
        let is_sent = Rc::new(Cell::new(chunks.is_empty() && rest.is_none()));
        let buffered_bytes = chunks.iter().map(|it| it.len() as u64).sum();
        (AttemptBody { chunks, buffered_bytes, rest, is_sent: Rc::clone(&is_sent) }, is_sent)
    }
}

/// The body of one attempt.
pub(crate) struct AttemptBody {
    chunks: VecDeque<Bytes>,
    /// Number of bytes in `chunks`.
    buffered_bytes: u64,
    /// Unread part of the body, still arriving from the caller.
    rest: Option<Incoming>,
    is_sent: Rc<Cell<bool>>,
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            self.buffered_bytes -= chunk.len() as u64;
            if self.is_end_stream() {
                self.is_sent.set(true);
            }
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(rest) = &mut self.rest else {
            self.is_sent.set(true);
            return Poll::Ready(None);
        };
        let res = Pin::new(rest).poll_frame(context);
        if matches!(res, Poll::Ready(None)) {
            self.rest = None;
            self.is_sent.set(true);
        }
        res
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.buffered_bytes),
            Some(rest) => match rest.size_hint().exact() {
                Some(it) => SizeHint::with_exact(self.buffered_bytes + it),
                None => SizeHint::default(),
            },
        }
    }
}
