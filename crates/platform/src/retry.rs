//! Jittered backoff up to a deadline.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::{Instant, sleep};

/// Longest first wait.
const BASE_MS: u64 = 50;

/// Longest wait, so that the end of an outage is noticed within seconds.
pub(crate) const MAX_MS: u64 = 5000;

/// Waits between the attempts of one change.
#[derive(Debug)]
pub(crate) struct Retry {
    /// No attempt begins after this time, when there is one.
    deadline: Option<Instant>,
    /// Attempts that failed in a row.
    failures: u32,
    /// Longest wait.
    max_ms: u64,
    /// Spreads the attempts of many clients.
    rng: SmallRng,
}

impl Retry {
    /// Attempts up to a deadline.
    pub(crate) fn until(deadline: Instant, seed: u64) -> Self {
        Self { deadline: Some(deadline), ..Self::endless(MAX_MS, seed) }
    }

    /// Attempts without end.
    pub(crate) fn endless(max_ms: u64, seed: u64) -> Self {
        Self { deadline: None, failures: 0, max_ms, rng: SmallRng::seed_from_u64(seed) }
    }

    /// Starts from the shortest wait again.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// The next wait, at least `at_least_ms`.
    pub(crate) fn next_wait(&mut self, at_least_ms: u64) -> Duration {
        let longest_ms = (BASE_MS << self.failures.min(16)).min(self.max_ms);
        self.failures += 1;
        let jitter_ms = self.rng.random_range(longest_ms / 2..=longest_ms);
        Duration::from_millis(at_least_ms + jitter_ms)
    }

    /// Waits before the next attempt, or answers `false` when the deadline comes first.
    pub(crate) async fn pause(&mut self, at_least_ms: u64) -> bool {
        let wait = self.next_wait(at_least_ms);
        if self.deadline.is_some_and(|it| Instant::now() + wait >= it) {
            return false;
        }
        sleep(wait).await;
        true
    }
}
