//! Estimate of the recent demand for one resource.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the estimate that follows a sudden rise.
const FAST: Duration = Duration::from_millis(100);
/// Time constant of the estimate that outlasts short gaps.
const SLOW: Duration = Duration::from_secs(1);
/// Time for which refused spends count as unmet.
const UNMET: Duration = Duration::from_millis(250);
/// A silence of this many mean gaps has a probability of 5% under random arrivals.
const UNLIKELY_GAPS: f64 = 3.0;
/// A silence of this many mean gaps has a probability below 0.1% under random arrivals.
const STOPPED_GAPS: f64 = 8.0;
/// Silence that does not yet mean that the demand has moved away.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// Demand is recent for this long after the last spend.
const RECENT: Duration = Duration::from_secs(2);

/// Estimate of the recent demand for one resource.
#[derive(Debug)]
pub(crate) struct Demand {
    /// Amount asked for, decaying by [`FAST`].
    fast: f64,
    /// Amount asked for, decaying by [`SLOW`].
    slow: f64,
    /// Amount refused, decaying by [`UNMET`].
    unmet: f64,
    /// Largest recent single amount.
    pub(crate) amount: f64,
    /// Time to which the sums are decayed.
    at: Instant,
    /// Time of the last spend.
    last: Option<Instant>,
}

impl Demand {
    /// No demand.
    pub(crate) fn new(now: Instant) -> Self {
        Self { fast: 0.0, slow: 0.0, unmet: 0.0, amount: 0.0, at: now, last: None }
    }

    /// Counts a spend.
    pub(crate) fn add(&mut self, amount: f64, now: Instant) {
        let recent = self.is_recent(now);
        self.decay(now);
        self.fast += amount;
        self.slow += amount;
        self.amount = if recent { self.amount.max(amount) } else { amount };
        self.last = Some(now);
    }

    /// Counts a refusal.
    pub(crate) fn add_unmet(&mut self, amount: f64, now: Instant) {
        self.decay(now);
        self.unmet += amount;
    }

    /// Amount per second; the fast sum without one amount, so that a single spend is no surge.
    ///
    /// A silence that is unlikely at the estimated rate lowers it, so that capacity is lent soon
    /// after the demand has moved to another host.
    pub(crate) fn rate_per_s(&mut self, now: Instant) -> f64 {
        if !self.is_recent(now) {
            return 0.0;
        }
        self.decay(now);
        let fast = (self.fast - self.amount).max(0.0) / FAST.as_secs_f64();
        let rate = fast.max(self.slow / SLOW.as_secs_f64());
        let silence = self.last.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        rate.min(UNLIKELY_GAPS * self.amount / silence.as_secs_f64())
    }

    /// Amount refused a short time ago.
    pub(crate) fn unmet(&mut self, now: Instant) -> f64 {
        self.decay(now);
        if self.unmet < 0.05 * self.amount { 0.0 } else { self.unmet }
    }

    /// Whether there was a spend a short time ago.
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        self.last.is_some_and(|it| now < it + RECENT)
    }

    /// Whether nothing was asked for during many mean gaps, so that the demand has moved away.
    pub(crate) fn has_stopped(&mut self, now: Instant) -> bool {
        let Some(last) = self.last else { return true };
        self.decay(now);
        let silence = now.saturating_duration_since(last);
        let rate_at_last =
            self.slow / SLOW.as_secs_f64() * (silence.as_secs_f64() / SLOW.as_secs_f64()).exp();
        let gap_s = self.amount / rate_at_last.max(f64::EPSILON);
        silence >= MIN_SILENCE && silence.as_secs_f64() > STOPPED_GAPS * gap_s
    }

    /// Decays the sums.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.fast *= (-elapsed / FAST.as_secs_f64()).exp();
        self.slow *= (-elapsed / SLOW.as_secs_f64()).exp();
        self.unmet *= (-elapsed / UNMET.as_secs_f64()).exp();
        self.at = now;
    }
}
