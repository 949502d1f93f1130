//! Simulated time and the queue of events.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::time::Instant;

use crate::event::Event;

/// Unix time of the start of every run, so that equal seeds give equal objects.
const UNIX_START_MS: u64 = 1_800_000_000_000;

/// The paused runtime clock with the events to come.
#[derive(Debug)]
pub(crate) struct Clock {
    /// Start of the run.
    start: Instant,
    /// Time since the start.
    now_us: u64,
    /// Number of the next event, which orders events of the same time.
    sequence: u64,
    /// Time, number and slot of each event, the earliest first.
    order: BinaryHeap<Reverse<(u64, u64, usize)>>,
    /// Events by slot.
    events: Vec<Option<Event>>,
    /// Free slots.
    free: Vec<usize>,
}

impl Clock {
    /// A clock that starts now.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            now_us: 0,
            sequence: 0,
            order: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
        }
    }

    /// Time since the start.
    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// The time as policies take it.
    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Time of an instant that a policy named.
    pub(crate) fn us_of(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_nanos().div_ceil(1000) as u64
    }

    /// The wall clock of all hosts.
    pub(crate) fn unix_ms(&self) -> u64 {
        UNIX_START_MS + self.now_us / 1000
    }

    /// Adds an event at a time, at once when the time has passed.
    pub(crate) fn at(&mut self, at_us: u64, event: Event) {
        let slot = match self.free.pop() {
            Some(it) => it,
            None => {
                self.events.push(None);
                self.events.len() - 1
            }
        };
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.order.push(Reverse((at_us.max(self.now_us), self.sequence, slot)));
    }

    /// Adds an event after a time.
    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    /// Advances the runtime's clock to the next event, `None` when it is after `end_us`.
    pub(crate) async fn next(&mut self, end_us: u64) -> Option<Event> {
        let Reverse((at_us, _, slot)) = *self.order.peek()?;
        if at_us > end_us {
            return None;
        }
        self.order.pop();
        if at_us > self.now_us {
            tokio::time::advance(Duration::from_micros(at_us - self.now_us)).await;
            self.now_us = at_us;
        }
        self.free.push(slot);
        self.events[slot].take()
    }
}
