//! Counting over a sliding window.

use std::time::Duration;

use tokio::time::Instant;

/// Parts of a window; the oldest one that still counts makes the count at most this part too high.
const PARTS: usize = 20;

/// Requests of about the last window, never too few.
#[derive(Debug, Clone)]
pub(crate) struct WindowCount {
    /// Length of one part.
    part: Duration,
    /// Start of the newest part.
    newest_at: Instant,
    /// Counts by part, newest first.
    counts: [u32; PARTS + 1],
}

impl WindowCount {
    /// An empty window.
    pub(crate) fn new(window: Duration, now: Instant) -> Self {
        let part = (window / PARTS as u32).max(Duration::from_millis(1));
        Self { part, newest_at: now, counts: [0; PARTS + 1] }
    }

    /// Counts a request.
    pub(crate) fn add(&mut self, now: Instant) {
        self.advance(now);
        self.counts[0] += 1;
    }

    /// Takes back a request that was just counted.
    pub(crate) fn uncount(&mut self) {
        if let Some(it) = self.counts.iter_mut().find(|it| **it > 0) {
            *it -= 1;
        }
    }

    /// Requests in the window.
    pub(crate) fn total(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Begins the parts that have started since.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.newest_at);
        let parts = (passed.as_nanos() / self.part.as_nanos()).min(PARTS as u128 + 1) as usize;
        if parts == 0 {
            return;
        }
        self.counts.rotate_right(parts.min(PARTS));
        let begun = if parts > PARTS { PARTS + 1 } else { parts };
        self.counts[..begun].fill(0);
        self.newest_at =
            if parts > PARTS { now } else { self.newest_at + self.part * parts as u32 };
    }
}
