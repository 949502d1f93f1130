//! The age of this process's view of the platform.

use std::time::Duration;

use tokio::time::Instant;

/// Pauses shorter than this are scheduling delays.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// When the view was last known to be current.
///
/// The runtime's clock stands still while the machine is suspended, so pauses are reported here
/// and void everything that was confirmed before them.
#[derive(Debug, Clone, Copy)]
pub struct ViewFreshness {
    /// A time at which the view was current.
    confirmed_at: Option<Instant>,
    /// Confirmations from before this time are void.
    void_before: Option<Instant>,
    /// Suspended time that was reported so far.
    suspended: Duration,
}

impl ViewFreshness {
    /// A view that was never confirmed; `suspended` is the suspended time up to now.
    pub fn new(suspended: Duration) -> Self {
        Self { confirmed_at: None, void_before: None, suspended }
    }

    /// Notes that the view was current at a time; answers whether that is news.
    pub fn confirm(&mut self, at: Instant) -> bool {
        let is_void = self.void_before.is_some_and(|it| at < it);
        let is_news = !is_void && self.confirmed_at.is_none_or(|it| it < at);
        if is_news {
            self.confirmed_at = Some(at);
        }
        is_news
    }

    /// Takes the total suspended time in; answers the length of a new pause.
    pub fn record_suspension(&mut self, total: Duration, now: Instant) -> Option<Duration> {
        let pause = total.saturating_sub(self.suspended);
        if pause < MIN_PAUSE {
            return None;
        }
        self.suspended = total;
        self.void_before = Some(now);
        self.confirmed_at = None;
        Some(pause)
    }

    /// The age of the view, `None` when it was not confirmed since the start or the last pause.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|it| now.saturating_duration_since(it))
    }
}
