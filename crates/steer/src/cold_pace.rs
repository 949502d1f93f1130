//! Pacing of requests to cold instances.

use std::time::Duration;

use tokio::time::Instant;

/// Hosts that feed one cold instance at most; the others leave it alone.
pub(crate) const MAX_COLD_SENDERS: usize = 4;

/// Part of an instance's cold rate that is used, so that two sets of feeders, which differ while
/// hosts are partitioned, stay below the rate and its overage together.
const USED_PART: f64 = 0.7;

/// Requests of this process to one cold instance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ColdPace {
    /// When the next request may go.
    next_at: Instant,
}

impl ColdPace {
    /// A pace that allows a request at once.
    pub(crate) fn new(now: Instant) -> Self {
        Self { next_at: now }
    }

    /// Whether a request may go now.
    pub(crate) fn allows(&self, now: Instant) -> bool {
        now >= self.next_at
    }

    /// Counts a request of one of `feeders` hosts to an instance that takes `rate_per_s`.
    pub(crate) fn sent(&mut self, rate_per_s: f64, cold_senders: usize, now: Instant) {
        let own_rate = rate_per_s * USED_PART / cold_senders.max(1) as f64;
        let gap = if own_rate > 0.0 { 1.0 / own_rate } else { f64::MAX };
        self.next_at = now + Duration::from_secs_f64(gap.min(MAX_GAP_S));
    }
}

/// Longest time between two requests, in seconds: instances stay cold for a few seconds.
const MAX_GAP_S: f64 = 60.0;
