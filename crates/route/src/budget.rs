//! The retry budget of a service.

use std::time::Duration;

use tokio::time::Instant;

/// Seconds over which requests and retries are counted.
const WINDOW_S: u64 = 10;

/// Retries allowed per request of the window.
const RETRY_SHARE: f64 = 0.1;

/// Retries that the window always allows, so that quiet services can retry at all.
const MIN_RETRIES: u32 = 3;

/// Limits the retries of one service to a part of its recent requests.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// When second 0 began.
    origin: Instant,
    /// Retries allowed per request of the window.
    ratio: f64,
    /// Retries that the window always allows.
    min_retries: u32,
    /// The newest second counted.
    second: u64,
    /// First attempts in each of the last seconds, by second modulo the window.
    requests: [u32; WINDOW_S as usize],
    /// Retries in each of the last seconds.
    retries: [u32; WINDOW_S as usize],
}

impl RetryBudget {
    /// A budget without any request counted.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(RETRY_SHARE, MIN_RETRIES, now)
    }

    /// A budget of `ratio` retries per request, and of `min_retries` retries in any case.
    pub fn with_limits(ratio: f64, min_retries: u32, now: Instant) -> Self {
        Self {
            origin: now,
            ratio,
            min_retries,
            second: 0,
            requests: [0; WINDOW_S as usize],
            retries: [0; WINDOW_S as usize],
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        let slot = self.advance(now);
        self.requests[slot] = self.requests[slot].saturating_add(1);
    }

    /// Whether one more retry is allowed.
    pub fn allows_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests: u32 = self.requests.iter().fold(0, |sum, it| sum.saturating_add(*it));
        let retries: u32 = self.retries.iter().sum();
        retries < self.min_retries.max((f64::from(requests) * self.ratio) as u32)
    }

    /// Takes one retry if it is allowed.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if !self.allows_retry(now) {
            return false;
        }
        let slot = self.advance(now);
        self.retries[slot] += 1;
        true
    }

    /// Clears the seconds that left the window and answers the slot of the newest one.
    fn advance(&mut self, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.origin);
        let second = elapsed.as_secs().max(self.second);
        for passed in (self.second + 1..=second).rev().take(WINDOW_S as usize) {
            let slot = (passed % WINDOW_S) as usize;
            self.requests[slot] = 0;
            self.retries[slot] = 0;
        }
        self.second = second;
        (second % WINDOW_S) as usize
    }
}
