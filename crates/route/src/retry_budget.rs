//! Retry budget of a service.

use std::time::Duration;

use tokio::time::Instant;

/// Length of the sliding window over which requests and retries are counted.
const WINDOW_S: u64 = 10;

/// Retries allowed per request of the window.
const DEFAULT_RETRY_RATIO: f64 = 0.1;

/// Retries that the window always allows, so that services with little traffic can retry at all.
const DEFAULT_MIN_RETRIES: u32 = 3;

/// Limits the retries of one service to a fraction of its recent requests.
///
/// Requests and retries are counted over a sliding window of 10 s.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Start of second 0.
    origin: Instant,
    /// Retries allowed per request of the window.
    ratio: f64,
    /// Retries that the window always allows.
    min_retries: u32,
    /// Newest second counted.
    current_second: u64,
    /// First attempts per second, indexed by second modulo the window.
    requests: [u32; WINDOW_S as usize],
    /// Retries per second, indexed by second modulo the window.
    retries: [u32; WINDOW_S as usize],
}

impl RetryBudget {
    /// Creates an empty budget of 0.1 retries per request and at least 3 retries per window.
    pub fn new(now: Instant) -> Self {
        Self::with_limits(DEFAULT_RETRY_RATIO, DEFAULT_MIN_RETRIES, now)
    }

    /// Creates an empty budget of `ratio` retries per request and at least `min_retries` retries
    /// per window.
    pub fn with_limits(ratio: f64, min_retries: u32, now: Instant) -> Self {
        Self {
            origin: now,
            ratio,
            min_retries,
            current_second: 0,
            requests: [0; WINDOW_S as usize],
            retries: [0; WINDOW_S as usize],
        }
    }

    /// Counts the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        let slot = self.advance(now);
        self.requests[slot] = self.requests[slot].saturating_add(1);
    }

    /// Returns whether one more retry is allowed, without taking it.
    pub fn allows_retry(&mut self, now: Instant) -> bool {
        self.advance(now);
        let requests: u32 = self.requests.iter().fold(0, |sum, it| sum.saturating_add(*it));
        let retries: u32 = self.retries.iter().sum();
        retries < self.min_retries.max((f64::from(requests) * self.ratio) as u32)
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_take(&mut self, now: Instant) -> bool {
        if !self.allows_retry(now) {
            return false;
        }
        let slot = self.advance(now);
        self.retries[slot] += 1;
        true
    }

    /// Clears the seconds that left the window and returns the slot of the newest one.
    fn advance(&mut self, now: Instant) -> usize {
        let elapsed: Duration = now.saturating_duration_since(self.origin);
        let newest = elapsed.as_secs().max(self.current_second);
        for second in (self.current_second + 1..=newest).rev().take(WINDOW_S as usize) {
            let slot = (second % WINDOW_S) as usize;
            self.requests[slot] = 0;
            self.retries[slot] = 0;
        }
        self.current_second = newest;
        (newest % WINDOW_S) as usize
    }
}
