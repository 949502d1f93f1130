//! Limits on calls per second.

use std::time::Duration;

use tokio::time::Instant;

/// Admits calls at a rate; calls that wait take their part of the rate away.
#[derive(Debug)]
pub(crate) struct CallLimit {
    /// Calls admitted per second; also the burst.
    rate_per_s: f64,
    /// Calls that may be admitted now.
    tokens: f64,
    /// Time of the last refill.
    refilled_at: Instant,
}

impl CallLimit {
    /// A limit that admits one second's calls at once.
    pub(crate) fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    /// Admits one call while `waiting` others are pending, or answers when to retry.
    pub(crate) fn admit(&mut self, waiting: usize, now: Instant) -> Result<(), Duration> {
        let rate = (self.rate_per_s - waiting as f64).max(0.0);
        let passed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + passed * rate).min(self.rate_per_s.max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let wait = if rate > 0.0 { (1.0 - self.tokens) / rate } else { 1.0 };
        Err(Duration::from_secs_f64(wait.clamp(0.001, 5.0)))
    }
}
