//! Exponential backoff with jitter, optionally limited by a deadline.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::{Instant, sleep};

/// Initial backoff, before jitter.
const INITIAL_BACKOFF_MS: u64 = 50;

/// Default maximum backoff, with which the end of an outage is detected within seconds.
pub(crate) const MAX_BACKOFF_MS: u64 = 5000;

/// Delays between the attempts of one operation.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Time after which no attempt starts, `None` for an unlimited number of attempts.
    deadline: Option<Instant>,
    consecutive_failures: u32,
    max_backoff_ms: u64,
    /// Source of the jitter, which spreads the attempts of many clients.
    rng: SmallRng,
}

impl Backoff {
    /// Returns delays for attempts that start before `deadline`.
    pub(crate) fn until(deadline: Instant, seed: u64) -> Self {
        Self { deadline: Some(deadline), ..Self::unlimited(MAX_BACKOFF_MS, seed) }
    }

    /// Returns delays for attempts without a deadline.
    pub(crate) fn unlimited(max_backoff_ms: u64, seed: u64) -> Self {
        Self {
            deadline: None,
            consecutive_failures: 0,
            max_backoff_ms,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Resets the backoff to the initial delay after a success.
    pub(crate) fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Returns the next delay: `min_delay_ms` plus the jittered backoff.
    pub(crate) fn next_delay(&mut self, min_delay_ms: u64) -> Duration {
        let backoff_ms =
            (INITIAL_BACKOFF_MS << self.consecutive_failures.min(16)).min(self.max_backoff_ms);
        self.consecutive_failures += 1;
        let jittered_ms = self.rng.random_range(backoff_ms / 2..=backoff_ms);
        Duration::from_millis(min_delay_ms + jittered_ms)
    }

    /// Waits before the next attempt, or returns `false` at once if the deadline would pass first.
    pub(crate) async fn wait(&mut self, min_delay_ms: u64) -> bool {
        let delay = self.next_delay(min_delay_ms);
        if self.deadline.is_some_and(|it| Instant::now() + delay >= it) {
            return false;
        }
        sleep(delay).await;
        true
    }
}
