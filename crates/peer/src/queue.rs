//! Frames that wait for one peer.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::Notify, time::Instant};

use crate::{
    counters::{TransportCounters, add},
    frame::Frame,
    settings::TransportSettings,
};

/// A bounded queue that prefers new frames to old ones, and never blocks its producer.
#[derive(Debug)]
pub(crate) struct Queue {
    /// The frames and the address.
    state: Mutex<State>,
    /// Wakes the consumer.
    pub(crate) changed: Notify,
}

/// What the lock of a queue protects.
#[derive(Debug)]
struct State {
    /// Frames with the time they were queued.
    frames: VecDeque<(Instant, Frame)>,
    /// Bytes of their payloads.
    size_bytes: usize,
    /// Address of the peer.
    address: SocketAddr,
}

impl Queue {
    /// An empty queue.
    pub(crate) fn new(address: SocketAddr) -> Self {
        let state = State { frames: VecDeque::new(), size_bytes: 0, address };
        Self { state: Mutex::new(state), changed: Notify::new() }
    }

    /// Adds a frame, and drops older ones where the bounds require it.
    pub(crate) fn push(
        &self,
        address: SocketAddr,
        frame: Frame,
        settings: &TransportSettings,
        counters: &TransportCounters,
        now: Instant,
    ) {
        let mut state = self.state.lock();
        state.address = address;
        let superseded = |it: &Frame| settings.latest_only_kinds.contains(&it.kind);
        if superseded(&frame)
            && let Some(at) = state.frames.iter().position(|it| it.1.kind == frame.kind)
        {
            state.remove(at);
            add(&counters.frames_superseded, 1);
        }
        state.size_bytes += frame.payload.len();
        state.frames.push_back((now, frame));
        while state.frames.len() > settings.max_queue_frames
            || state.size_bytes > settings.max_queue_bytes && state.frames.len() > 1
        {
            let at = state.frames.iter().position(|it| superseded(&it.1)).unwrap_or(0);
            state.remove(at);
            add(&counters.frames_overflowed, 1);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Takes the oldest frame that is not too old.
    pub(crate) fn pop(
        &self,
        age: Duration,
        counters: &TransportCounters,
        now: Instant,
    ) -> Option<Frame> {
        let mut state = self.state.lock();
        while let Some((queued_at, frame)) = state.remove(0) {
            if now.saturating_duration_since(queued_at) < age {
                return Some(frame);
            }
            add(&counters.frames_expired, 1);
        }
        None
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().frames.is_empty()
    }

    /// The address that the last frame was sent to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.state.lock().address
    }
}

impl State {
    /// Takes a frame out.
    fn remove(&mut self, at: usize) -> Option<(Instant, Frame)> {
        let res = self.frames.remove(at)?;
        self.size_bytes -= res.1.payload.len();
        Some(res)
    }
}
