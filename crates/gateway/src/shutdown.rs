//! Schedule of a graceful shutdown.

use std::time::Duration;

use tokio::time::Instant;

/// Number of lookup TTLs for which callers may still connect during a shutdown; some callers keep a
/// lookup response for three TTLs.
const DRAIN_LOOKUP_TTLS: u32 = 3;

/// Time after the last lookup TTL for requests that are still on their way.
const DRAIN_MARGIN: Duration = Duration::from_millis(600);

/// Time before the end of the shutdown grace period at which the process exits even if requests are
/// running.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Fraction of the shutdown grace period after which no connections are accepted, whatever the
/// lookup TTL.
const MAX_DRAIN_FRACTION: f64 = 0.7;

/// Times of a graceful shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShutdownSchedule {
    pub(crate) started_at: Instant,
    /// Time from which no request is taken.
    pub(crate) closes_at: Instant,
    /// Time at which the process exits even if requests are running.
    pub(crate) exits_at: Instant,
}

impl ShutdownSchedule {
    /// Schedules a shutdown that starts now: callers get time to look up other hosts, and the
    /// process ends within the grace period.
    pub(crate) fn new(now: Instant, grace: Duration, lookup_ttl: Duration) -> Self {
        let drain_time = lookup_ttl * DRAIN_LOOKUP_TTLS + DRAIN_MARGIN;
        Self {
            started_at: now,
            closes_at: now + drain_time.min(grace.mul_f64(MAX_DRAIN_FRACTION)),
            exits_at: now + grace.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether a request whose response is sent by `ends_by` is not cut by the exit.
    pub(crate) fn allows(&self, ends_by: Instant) -> bool {
        ends_by <= self.exits_at
    }
}
