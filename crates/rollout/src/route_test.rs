//! Test of one route: whether the new version fails or is slow far more often than the old one.

use std::time::Duration;

use tokio::time::Instant;

use crate::version_tally::{TimedTally, VersionTally};

/// Responses of the old version that are required before the new one is judged.
const MIN_OLD_RESPONSES: u64 = 30;

/// Fraction of the old version's responses below the latency that counts as slow. Work on uncached
/// data, which is common at instances that have just started, must not count as slow, and may be
/// rare at the old ones.
const SLOW_QUANTILE: f64 = 0.97;

/// Buckets between the quantile and the latency that counts as slow for cached keys: a margin of 19%
/// to 41%.
const CACHED_MARGIN_BUCKETS: u8 = 1;

/// Buckets between the quantile and the latency that counts as slow for other keys: a margin of 41%
/// to 68%. Instances of the old version have cached some of these keys, those of the new one none.
const UNCACHED_MARGIN_BUCKETS: u8 = 1;

/// Fraction of bad responses that a healthy version may have in any case.
const MIN_HEALTHY_BAD_FRACTION: f64 = 0.1;

/// Factor on the old version's fraction of bad responses up to which the new one is healthy.
const HEALTHY_FACTOR: f64 = 1.5;

/// Difference between the fractions of bad responses of a healthy and of a faulty version.
const FAULTY_DIFFERENCE: f64 = 0.25;

/// Upper bound on the log evidence from one second, since one pause of one instance causes a burst
/// of slow responses.
const MAX_LOG_EVIDENCE_PER_S: f64 = 5.0;

/// Cumulative sum (CUSUM) of the evidence against the new version on one route.
///
/// What counts as slow follows from the old version's responses on the same route, so neither the
/// route's target latency nor the service's usual work matters. The test detects faults that
/// concern a large part of the responses, from any time on and at any share of the traffic.
#[derive(Debug, Clone)]
pub struct RouteTest {
    /// Exchanges with the old version since the rollout began.
    old: VersionTally,
    /// Exchanges with the new version that have not been judged.
    pending: VersionTally,
    log_evidence: f64,
    second_start: Instant,
    /// Log evidence added since `second_start`.
    second_log_gain: f64,
}

impl RouteTest {
    /// Creates a test without evidence.
    pub fn new(now: Instant) -> Self {
        Self {
            old: VersionTally::default(),
            pending: VersionTally::default(),
            log_evidence: 0.0,
            second_start: now,
            second_log_gain: 0.0,
        }
    }

    /// Adds newly counted exchanges with both versions.
    pub fn record(&mut self, old: &VersionTally, new: &VersionTally, now: Instant) {
        self.old.add(old);
        self.pending.add(new);
        if now.saturating_duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.second_log_gain = 0.0;
        }
        // Failures need no comparison of latencies.
        let failed = std::mem::take(&mut self.pending.failed);
        let old_failed_fraction = self.old.failed as f64 / self.old.total.max(1) as f64;
        let mut log_gain = log_evidence(failed, 0, old_failed_fraction);
        let classes = [
            (&self.old.cached, &mut self.pending.cached, CACHED_MARGIN_BUCKETS),
            (&self.old.uncached, &mut self.pending.uncached, UNCACHED_MARGIN_BUCKETS),
        ];
        for (old, pending, margin_buckets) in classes {
            let Some(slow_from) = slow_from(old, margin_buckets) else { continue };
            let (bad, good) = judge(&std::mem::take(pending), slow_from);
            let (old_bad, old_good) = judge(old, slow_from);
            let old_slow_fraction = old_bad as f64 / (old_bad + old_good).max(1) as f64;
            log_gain += log_evidence(bad, good, old_failed_fraction + old_slow_fraction);
        }
        let capped_gain = (self.second_log_gain + log_gain).min(MAX_LOG_EVIDENCE_PER_S);
        self.log_evidence = (self.log_evidence + capped_gain - self.second_log_gain).max(0.0);
        self.second_log_gain = capped_gain;
    }

    /// Logarithm of the evidence against the new version, at least 0.
    pub fn log_evidence(&self) -> f64 {
        self.log_evidence
    }
}

/// Bucket above which a response is slow; `None` with too few responses of the old version.
fn slow_from(old: &TimedTally, margin_buckets: u8) -> Option<u8> {
    if old.latencies.count() < MIN_OLD_RESPONSES {
        return None;
    }
    Some(old.latencies.quantile_bucket(SLOW_QUANTILE)? + margin_buckets)
}

/// Numbers of slow and of other exchanges. An exchange that was cut short is slow if it had already
/// lasted too long, and says nothing otherwise.
fn judge(tally: &TimedTally, slow_from: u8) -> (u64, u64) {
    let slow = tally.latencies.count_above(slow_from);
    (slow + tally.cut_short.count_above(slow_from), tally.latencies.count() - slow)
}

/// Log likelihood ratio of the new version's exchanges, given the old one's fraction of bad ones.
fn log_evidence(bad: u64, good: u64, old_bad_fraction: f64) -> f64 {
    let healthy = (old_bad_fraction * HEALTHY_FACTOR + 0.03)
        .clamp(MIN_HEALTHY_BAD_FRACTION, 0.95 - FAULTY_DIFFERENCE);
    let faulty = healthy + FAULTY_DIFFERENCE;
    bad as f64 * (faulty / healthy).ln() + good as f64 * ((1.0 - faulty) / (1.0 - healthy)).ln()
}
