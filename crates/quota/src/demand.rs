//! Estimation of the recent local demand for one resource.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the estimate that follows sudden increases.
const FAST_TIME_CONSTANT: Duration = Duration::from_millis(100);
/// Time constant of the estimate that bridges short gaps between requests.
const SLOW_TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Time constant with which refused amounts decay.
const UNMET_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Number of mean gaps between requests after which a silence lowers the estimated rate. Under
/// Poisson arrivals, a silence that long has a probability of 5%.
const MAX_EXPECTED_GAPS: f64 = 3.0;
/// Number of mean gaps between requests after which demand counts as stopped. Under Poisson
/// arrivals, a silence that long has a probability below 0.1%.
const STOPPED_GAPS: f64 = 8.0;
/// Shortest silence after which demand may count as stopped.
const MIN_STOPPED_SILENCE: Duration = Duration::from_millis(100);
/// Time after the last request for which demand counts as recent.
const DEMAND_RETENTION: Duration = Duration::from_secs(2);

/// Exponentially decaying estimates of the amounts that local requests ask for.
#[derive(Debug)]
pub(crate) struct DemandEstimator {
    /// Requested amount, decaying with [`FAST_TIME_CONSTANT`].
    fast_sum: f64,
    /// Requested amount, decaying with [`SLOW_TIME_CONSTANT`].
    slow_sum: f64,
    /// Refused amount, decaying with [`UNMET_TIME_CONSTANT`].
    unmet_sum: f64,
    /// Largest amount of a single recent request.
    pub(crate) max_amount: f64,
    /// Time of the last decay of the sums.
    decayed_at: Instant,
    last_request_at: Option<Instant>,
}

impl DemandEstimator {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            fast_sum: 0.0,
            slow_sum: 0.0,
            unmet_sum: 0.0,
            max_amount: 0.0,
            decayed_at: now,
            last_request_at: None,
        }
    }

    pub(crate) fn record_request(&mut self, amount: f64, now: Instant) {
        let recent = self.is_recent(now);
        self.decay(now);
        self.fast_sum += amount;
        self.slow_sum += amount;
        self.max_amount = if recent { self.max_amount.max(amount) } else { amount };
        self.last_request_at = Some(now);
    }

    pub(crate) fn record_unmet(&mut self, amount: f64, now: Instant) {
        self.decay(now);
        self.unmet_sum += amount;
    }

    /// Estimated demand in amount per second, 0 when there is no recent demand.
    ///
    /// The fast estimate leaves out one maximum amount, so that a single request does not count as
    /// a surge. A silence that is unlikely at the estimated rate lowers the result, so that
    /// capacity can be lent soon after demand has moved to another host.
    pub(crate) fn rate_per_s(&mut self, now: Instant) -> f64 {
        if !self.is_recent(now) {
            return 0.0;
        }
        self.decay(now);
        let fast = (self.fast_sum - self.max_amount).max(0.0) / FAST_TIME_CONSTANT.as_secs_f64();
        let rate = fast.max(self.slow_sum / SLOW_TIME_CONSTANT.as_secs_f64());
        let silence =
            self.last_request_at.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        rate.min(MAX_EXPECTED_GAPS * self.max_amount / silence.as_secs_f64())
    }

    /// Decayed sum of the refused amounts, 0 when below 5% of the largest recent amount.
    pub(crate) fn unmet(&mut self, now: Instant) -> f64 {
        self.decay(now);
        if self.unmet_sum < 0.05 * self.max_amount { 0.0 } else { self.unmet_sum }
    }

    /// Whether there was a request within [`DEMAND_RETENTION`].
    pub(crate) fn is_recent(&self, now: Instant) -> bool {
        self.last_request_at.is_some_and(|it| now < it + DEMAND_RETENTION)
    }

    /// Whether the silence since the last request is long enough, compared with the mean gap before
    /// it, to conclude that demand has moved to another host.
    pub(crate) fn has_stopped(&mut self, now: Instant) -> bool {
        let Some(last) = self.last_request_at else { return true };
        self.decay(now);
        let silence = now.saturating_duration_since(last);
        let rate_at_last = self.slow_sum / SLOW_TIME_CONSTANT.as_secs_f64()
            * (silence.as_secs_f64() / SLOW_TIME_CONSTANT.as_secs_f64()).exp();
        let gap_s = self.max_amount / rate_at_last.max(f64::EPSILON);
        silence >= MIN_STOPPED_SILENCE && silence.as_secs_f64() > STOPPED_GAPS * gap_s
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.decayed_at).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        self.fast_sum *= (-elapsed / FAST_TIME_CONSTANT.as_secs_f64()).exp();
        self.slow_sum *= (-elapsed / SLOW_TIME_CONSTANT.as_secs_f64()).exp();
        self.unmet_sum *= (-elapsed / UNMET_TIME_CONSTANT.as_secs_f64()).exp();
        self.decayed_at = now;
    }
}
