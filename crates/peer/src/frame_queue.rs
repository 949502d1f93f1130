//! Queue of the frames to be sent to one peer.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::Notify, time::Instant};

use crate::{
    counters::{TransportCounters, add},
    frame::Frame,
    settings::TransportSettings,
};

/// Bounded queue that drops old frames in favor of new ones and never blocks the producer.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    state: Mutex<State>,
    /// Notified on each push, which may also have changed the address.
    pub(crate) changed: Notify,
}

#[derive(Debug)]
struct State {
    /// Frames with the time at which each was queued, oldest first.
    frames: VecDeque<(Instant, Frame)>,
    /// Total size of the payloads.
    payload_bytes: usize,
    /// Address of the peer at the last push.
    address: SocketAddr,
}

impl FrameQueue {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let state = State { frames: VecDeque::new(), payload_bytes: 0, address };
        Self { state: Mutex::new(state), changed: Notify::new() }
    }

    /// Appends a frame and updates the peer's address. A frame of a latest-only kind replaces the
    /// queued one of its kind. While the queue is above its limits, the oldest frame of a
    /// latest-only kind is dropped, or the oldest frame if there is none.
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
        let is_latest_only = |it: &Frame| settings.latest_only_kinds.contains(&it.kind);
        if is_latest_only(&frame)
            && let Some(index) = state.frames.iter().position(|it| it.1.kind == frame.kind)
        {
            state.remove(index);
            add(&counters.frames_superseded, 1);
        }
        state.payload_bytes += frame.payload.len();
        state.frames.push_back((now, frame));
        while state.frames.len() > settings.max_queue_frames
            || state.payload_bytes > settings.max_queue_bytes && state.frames.len() > 1
        {
            let index = state.frames.iter().position(|it| is_latest_only(&it.1)).unwrap_or(0);
            state.remove(index);
            add(&counters.frames_overflowed, 1);
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Removes and returns the oldest frame younger than `max_age`; drops the expired ones before
    /// it.
    pub(crate) fn pop(
        &self,
        max_age: Duration,
        counters: &TransportCounters,
        now: Instant,
    ) -> Option<Frame> {
        let mut state = self.state.lock();
        while let Some((queued_at, frame)) = state.remove(0) {
            if now.saturating_duration_since(queued_at) < max_age {
                return Some(frame);
            }
            add(&counters.frames_expired, 1);
        }
        None
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.state.lock().frames.is_empty()
    }

    /// Address of the peer at the last push.
    pub(crate) fn address(&self) -> SocketAddr {
        self.state.lock().address
    }
}

impl State {
    fn remove(&mut self, index: usize) -> Option<(Instant, Frame)> {
        let res = self.frames.remove(index)?;
        self.payload_bytes -= res.1.payload.len();
        Some(res)
    }
}
