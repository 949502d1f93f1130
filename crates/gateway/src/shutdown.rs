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

/// Time before the exit by which a request must end, so that its response can be sent.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Time before the end of a shortened deadline by which an instance must end its work: a round trip
/// between regions, so that its own response arrives in time.
const INSTANCE_MARGIN: Duration = Duration::from_millis(200);

/// Ratio of the time that is left for a request to its expected latency above which it is taken
/// although its deadline lies after the exit.
const MIN_LATENCY_RATIO: u32 = 3;

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
        let drain_time = drain_time.min(grace.mul_f64(MAX_DRAIN_FRACTION));
        let exits_at = now + grace.saturating_sub(EXIT_MARGIN);
        Self { started_at: now, closes_at: exits_at.min(now + drain_time), exits_at }
    }

    /// Time by which a request must end.
    pub(crate) fn last_end(&self) -> Instant {
        self.exits_at - RESPONSE_MARGIN
    }

    /// Deadline of an attempt that begins now, so that it is not cut by the exit; `None` if the
    /// attempt must not begin. Instances stop their work at the deadline and respond.
    pub(crate) fn attempt_deadline(
        &self,
        now: Instant,
        deadline: Instant,
        expected_latency: Duration,
    ) -> Option<AttemptDeadline> {
        let last_end = self.last_end();
        if deadline <= last_end {
            return Some(AttemptDeadline { caller: deadline, instance: deadline });
        }
        let last_work = last_end - INSTANCE_MARGIN;
        let time_left = last_work.saturating_duration_since(now);
        (time_left >= expected_latency.saturating_mul(MIN_LATENCY_RATIO) && !time_left.is_zero())
            .then_some(AttemptDeadline { caller: last_end, instance: last_work })
    }
}

/// Times by which an attempt ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AttemptDeadline {
    /// Time at which the caller gets a response without the instance.
    pub(crate) caller: Instant,
    /// Time at which the instance stops its work.
    pub(crate) instance: Instant,
}
