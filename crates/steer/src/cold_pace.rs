//! Pacing of requests to cold instances.

use std::time::Duration;

use tokio::time::Instant;

/// Number of hosts that may send to one cold instance.
pub(crate) const MAX_COLD_SENDERS: usize = 4;

/// Fraction of an instance's cold rate that is used. During a partition the sides may select
/// different cold senders, which together must stay below the rate and its tolerated overage.
const USED_RATE_FRACTION: f64 = 0.7;

/// Pacing of this process's requests to one cold instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPace {
    next_request_at: Instant,
}

impl ColdPace {
    /// Allows the first request immediately.
    pub(crate) fn new(now: Instant) -> Self {
        Self { next_request_at: now }
    }

    pub(crate) fn allows_request(&self, now: Instant) -> bool {
        now >= self.next_request_at
    }

    /// Schedules the next request. `rate_per_s` is the rate that the instance accepts from all
    /// hosts; it is divided among `cold_senders` hosts.
    pub(crate) fn record_sent(&mut self, rate_per_s: f64, cold_senders: usize, now: Instant) {
        let own_rate_per_s = rate_per_s * USED_RATE_FRACTION / cold_senders.max(1) as f64;
        let interval_s = if own_rate_per_s > 0.0 { 1.0 / own_rate_per_s } else { f64::MAX };
        self.next_request_at = now + Duration::from_secs_f64(interval_s.min(MAX_INTERVAL_S));
    }
}

/// Upper bound for the interval between two requests; instances stay cold for a few seconds only.
const MAX_INTERVAL_S: f64 = 60.0;
