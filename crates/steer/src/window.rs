//! Request count over a sliding window.

use std::time::Duration;

use tokio::time::Instant;

/// Number of segments per window. The oldest segment counts as a whole, so that the count is too
/// high by at most one segment.
const WINDOW_SEGMENTS: usize = 20;

/// Count of the requests within about the last window; may be too high, but is never too low.
#[derive(Debug, Clone)]
pub(crate) struct WindowCount {
    /// Length of one segment.
    segment: Duration,
    /// Start of the newest segment.
    newest_segment_at: Instant,
    /// Counts by segment, newest first.
    counts: [u32; WINDOW_SEGMENTS + 1],
}

impl WindowCount {
    pub(crate) fn new(window: Duration, now: Instant) -> Self {
        let segment = (window / WINDOW_SEGMENTS as u32).max(Duration::from_millis(1));
        Self { segment, newest_segment_at: now, counts: [0; WINDOW_SEGMENTS + 1] }
    }

    pub(crate) fn add(&mut self, now: Instant) {
        self.advance(now);
        self.counts[0] += 1;
    }

    /// Removes a request that was just counted.
    pub(crate) fn uncount(&mut self) {
        if let Some(it) = self.counts.iter_mut().find(|it| **it > 0) {
            *it -= 1;
        }
    }

    pub(crate) fn total(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.counts.iter().sum()
    }

    /// Starts the segments that have begun since the last call.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.newest_segment_at);
        let segments = (elapsed.as_nanos() / self.segment.as_nanos())
            .min(WINDOW_SEGMENTS as u128 + 1) as usize;
        if segments == 0 {
            return;
        }
        self.counts.rotate_right(segments.min(WINDOW_SEGMENTS));
        let started = if segments > WINDOW_SEGMENTS { WINDOW_SEGMENTS + 1 } else { segments };
        self.counts[..started].fill(0);
        self.newest_segment_at = if segments > WINDOW_SEGMENTS {
            now
        } else {
            self.newest_segment_at + self.segment * segments as u32
        };
    }
}
