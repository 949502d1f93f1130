//! Limit on calls per second.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket for calls. Each waiting call lowers the refill rate by one call per second.
#[derive(Debug)]
pub(crate) struct CallRateLimiter {
    /// Calls admitted per second, and the largest burst (at least 1).
    rate_per_s: f64,
    /// Calls that can be admitted at once.
    tokens: f64,
    refilled_at: Instant,
}

impl CallRateLimiter {
    /// Creates a full bucket that holds the calls of one second.
    pub(crate) fn new(rate_per_s: f64, now: Instant) -> Self {
        Self { rate_per_s, tokens: rate_per_s, refilled_at: now }
    }

    /// Admits one call while `waiting_calls` others wait. Fails with the time after which to retry.
    pub(crate) fn admit(&mut self, waiting_calls: usize, now: Instant) -> Result<(), Duration> {
        let refill_per_s = (self.rate_per_s - waiting_calls as f64).max(0.0);
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * refill_per_s).min(self.rate_per_s.max(1.0));
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let retry_after_s =
            if refill_per_s > 0.0 { (1.0 - self.tokens) / refill_per_s } else { 1.0 };
        Err(Duration::from_secs_f64(retry_after_s.clamp(0.001, 5.0)))
    }
}
