//! Simulated clock and event queue.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use tokio::time::Instant;

use crate::event::Event;

/// Unix time at the start of every run; a constant, so that equal seeds give equal objects.
const UNIX_START_MS: u64 = 1_800_000_000_000;

/// Event queue that advances the paused clock of the runtime.
#[derive(Debug)]
pub(crate) struct Clock {
    start: Instant,
    now_us: u64,
    /// Number of the last added event; orders events at the same time by insertion.
    sequence: u64,
    /// Time, sequence number and slot of each pending event, the earliest first.
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: Vec<Option<Event>>,
    free_slots: Vec<usize>,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            now_us: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free_slots: Vec::new(),
        }
    }

    pub(crate) fn now_us(&self) -> u64 {
        self.now_us
    }

    /// Returns the current time as an instant of the runtime clock, which the policies take.
    pub(crate) fn now(&self) -> Instant {
        self.start + Duration::from_micros(self.now_us)
    }

    /// Converts an instant to microseconds since the start, rounded up.
    pub(crate) fn us_of(&self, at: Instant) -> u64 {
        at.saturating_duration_since(self.start).as_nanos().div_ceil(1000) as u64
    }

    /// Returns the Unix time, which is the same on all hosts.
    pub(crate) fn unix_ms(&self) -> u64 {
        UNIX_START_MS + self.now_us / 1000
    }

    /// Schedules an event at a time; a past time counts as now.
    pub(crate) fn at(&mut self, at_us: u64, event: Event) {
        let slot = match self.free_slots.pop() {
            Some(it) => it,
            None => {
                self.events.push(None);
                self.events.len() - 1
            }
        };
        self.events[slot] = Some(event);
        self.sequence += 1;
        self.queue.push(Reverse((at_us.max(self.now_us), self.sequence, slot)));
    }

    /// Schedules an event after a delay.
    pub(crate) fn after(&mut self, delay_us: u64, event: Event) {
        self.at(self.now_us + delay_us, event);
    }

    /// Removes the next event and advances the runtime clock to the time of the event. Returns
    /// `None` if there is no event until `end_us`.
    pub(crate) async fn next(&mut self, end_us: u64) -> Option<Event> {
        let Reverse((at_us, _, slot)) = *self.queue.peek()?;
        if at_us > end_us {
            return None;
        }
        self.queue.pop();
        if at_us > self.now_us {
            tokio::time::advance(Duration::from_micros(at_us - self.now_us)).await;
            self.now_us = at_us;
        }
        self.free_slots.push(slot);
        self.events[slot].take()
    }
}
