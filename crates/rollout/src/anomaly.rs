//! Anomaly detection for a version that has all traffic and cannot be compared with another one.

use std::time::Duration;

use tokio::time::Instant;

use crate::evidence::Tally;

/// Shortest control sample, in which half of the traffic goes to the old version for comparison.
const MIN_SAMPLE_DURATION: Duration = Duration::from_secs(3);

/// Longest control sample, for routes with thin traffic.
const MAX_SAMPLE_DURATION: Duration = Duration::from_secs(60);

/// Time for which an open sample always keeps a rollout from being done; afterwards it does so only
/// if its evidence supports the anomaly. A route with thin traffic must not use up the time before
/// the deadline.
const OPEN_SAMPLE_HOLD: Duration = Duration::from_secs(10);

/// Number of requests to the new version that completes a sample; 35 failures of 35 requests at a
/// share of 50% suffice for an alarm.
const SUFFICIENT_SAMPLE_REQUESTS: u64 = 50;

/// Log evidence of a sample at or below which the new version is cleared with fewer requests.
const CLEARED_LOG_EVIDENCE: f64 = -3.0;

/// Time after a sample within which a new anomaly counts as a recurrence.
const RECURRENCE_WINDOW: Duration = Duration::from_secs(10);

/// Number of requests after a sample, with all traffic at the new version, within which a new
/// anomaly counts as a recurrence, however long they took. Samples of other routes can delay the
/// return to all traffic.
const RECURRENCE_REQUESTS: u64 = 50;

/// Number of consecutive recurrences that keep a rollout from being done.
const BLOCKING_RECURRENCES: u32 = 2;

/// Number of consecutive recurrences that prove a fault which only appears with all traffic.
const FAULTY_RECURRENCES: u32 = 4;

/// Time after a sample for which recurrences keep a rollout from being done.
const RECURRENCE_RETENTION: Duration = Duration::from_secs(30);

/// Log evidence at which an anomaly is reported; a false one only costs a control sample.
const ANOMALY_LOG_THRESHOLD: f64 = 6.0;

/// Upper bound on the log evidence from one second of slow responses, since one pause of one
/// instance causes a burst of them.
pub(crate) const MAX_SLOW_LOG_EVIDENCE_PER_S: f64 = 3.5;

/// Number of the old version's responses at which their weight is halved, so that older responses
/// count less.
const MAX_BASELINE_RESPONSES: f64 = 2_000.0;

/// Compares the new version with the earlier behavior of the old one by a cumulative sum (CUSUM).
///
/// An anomaly alone does not cause a rollback, since a dependency may be the cause. It opens a
/// control sample, in which the sequential test compares both versions. A fault that disappears
/// during each sample and returns right afterwards depends on the load.
#[derive(Debug, Clone)]
pub(crate) struct AnomalyDetector {
    min_expected_fraction: f64,
    max_log_evidence_per_s: f64,
    second_start: Option<Instant>,
    second_log_gain: f64,
    /// Weighted number of the old version's recent responses.
    baseline_responses: f64,
    /// Weighted number of bad responses among `baseline_responses`.
    baseline_bad: f64,
    /// Cumulative sum of the log evidence, at least 0.
    log_evidence: f64,
    sample_start: Option<Instant>,
    sample_requests: u64,
    sample_log_evidence: f64,
    /// End of the last control sample, `None` while it is open.
    sample_end: Option<Instant>,
    /// Requests since the last control sample with all traffic at the new version.
    requests_after_sample: u64,
    bad_after_sample: u64,
    /// Consecutive anomalies that each followed shortly after a control sample.
    recurrences: u32,
}

impl AnomalyDetector {
    /// Creates a detector that expects at least the fraction `min_expected_fraction` of bad
    /// responses.
    pub(crate) fn new(min_expected_fraction: f64, max_log_evidence_per_s: f64) -> Self {
        Self {
            min_expected_fraction,
            max_log_evidence_per_s,
            second_start: None,
            second_log_gain: 0.0,
            baseline_responses: 0.0,
            baseline_bad: 0.0,
            log_evidence: 0.0,
            sample_start: None,
            sample_requests: 0,
            sample_log_evidence: 0.0,
            sample_end: None,
            requests_after_sample: 0,
            bad_after_sample: 0,
            recurrences: 0,
        }
    }

    /// Adds responses of the old version to the baseline.
    pub(crate) fn record_baseline(&mut self, count: u64, bad: u64) {
        self.baseline_responses += count as f64;
        self.baseline_bad += bad as f64;
        if self.baseline_responses > MAX_BASELINE_RESPONSES {
            self.limit_baseline(MAX_BASELINE_RESPONSES / 2.0);
        }
    }

    /// Adds responses of the new version from a time at which it had all traffic.
    pub(crate) fn observe(&mut self, count: u64, bad: u64, now: Instant) {
        if self.is_sample_open(now) {
            return;
        }
        self.requests_after_sample += count;
        self.bad_after_sample += bad;
        if self.second_start.is_none_or(|it| now >= it + Duration::from_secs(1)) {
            self.second_start = Some(now);
            self.second_log_gain = 0.0;
        }
        let capped_gain = (self.second_log_gain + self.log_evidence_of(count, bad))
            .min(self.max_log_evidence_per_s);
        self.log_evidence = (self.log_evidence + capped_gain - self.second_log_gain).max(0.0);
        self.second_log_gain = capped_gain;
        if self.log_evidence < ANOMALY_LOG_THRESHOLD {
            return;
        }
        let is_within_window = self.sample_end.is_some_and(|it| {
            now < it + RECURRENCE_WINDOW || self.requests_after_sample <= RECURRENCE_REQUESTS
        });
        // A burst after many good responses is noise, not a recurrence of the fault.
        let bad_fraction = self.bad_after_sample as f64 / self.requests_after_sample.max(1) as f64;
        let is_recurrence = is_within_window && bad_fraction >= self.expected_fractions().1 / 2.0;
        self.recurrences = if is_recurrence { self.recurrences + 1 } else { 0 };
        self.log_evidence = 0.0;
        self.sample_requests = 0;
        self.sample_log_evidence = 0.0;
        self.requests_after_sample = 0;
        self.bad_after_sample = 0;
        self.sample_start = Some(now);
        self.sample_end = None;
        // Lowers the baseline's weight, so that the sample outweighs the old version's responses
        // under earlier conditions.
        self.limit_baseline(100.0);
    }

    /// Adds responses of the new version from a control sample.
    pub(crate) fn record_sample(&mut self, count: u64, bad: u64) {
        self.sample_requests += count;
        self.sample_log_evidence += self.log_evidence_of(count, bad);
    }

    /// Whether a control sample is open; closes a sample that suffices.
    pub(crate) fn is_sample_open(&mut self, now: Instant) -> bool {
        let Some(start) = self.sample_start else { return false };
        if self.sample_end.is_some() {
            return false;
        }
        let is_enough = self.sample_requests >= SUFFICIENT_SAMPLE_REQUESTS
            || self.sample_log_evidence <= CLEARED_LOG_EVIDENCE;
        if is_enough && now >= start + MIN_SAMPLE_DURATION || now >= start + MAX_SAMPLE_DURATION {
            self.sample_end = Some(now);
            return false;
        }
        true
    }

    /// Whether the rollout must not be done yet, because a sample is open or the fault recurs after
    /// samples.
    pub(crate) fn is_unresolved(&self, now: Instant) -> bool {
        match (self.sample_start, self.sample_end) {
            (None, _) => false,
            (Some(start), None) => {
                now < start + OPEN_SAMPLE_HOLD
                    || self.sample_log_evidence > -CLEARED_LOG_EVIDENCE
                    || self.is_recurring()
            }
            (Some(_), Some(end)) => self.is_recurring() && now < end + RECURRENCE_RETENTION,
        }
    }

    fn is_recurring(&self) -> bool {
        self.recurrences >= BLOCKING_RECURRENCES
    }

    /// Whether the fault has recurred after so many samples that it depends on the load.
    pub(crate) fn depends_on_load(&self) -> bool {
        self.recurrences >= FAULTY_RECURRENCES
    }

    /// Returns the log likelihood ratio of the new version's responses.
    fn log_evidence_of(&self, count: u64, bad: u64) -> f64 {
        let (null, alternative) = self.expected_fractions();
        let good = count.saturating_sub(bad) as f64;
        bad as f64 * (alternative / null).ln() + good * ((1.0 - alternative) / (1.0 - null)).ln()
    }

    /// Returns the expected fractions of bad responses of a healthy and of a faulty version.
    fn expected_fractions(&self) -> (f64, f64) {
        // With few responses of the old version, its true rate can be higher than the counted one.
        let expected = 1.5 * (self.baseline_bad + 2.0) / (self.baseline_responses + 40.0);
        let null = expected.max(self.min_expected_fraction).min(0.6);
        (null, (5.0 * null).clamp(0.05, 0.95))
    }

    /// Scales the baseline down to the weight of `max_responses` responses.
    fn limit_baseline(&mut self, max_responses: f64) {
        if self.baseline_responses > max_responses {
            self.baseline_bad *= max_responses / self.baseline_responses;
            self.baseline_responses = max_responses;
        }
    }
}

/// Counters of one version over the last one to two minutes.
#[derive(Debug, Clone)]
pub(crate) struct RecentTally {
    minute_start: Instant,
    /// Counters of the current and the previous minute.
    minutes: [Tally; 2],
}

impl RecentTally {
    pub(crate) fn new(now: Instant) -> Self {
        Self { minute_start: now, minutes: [Tally::default(); 2] }
    }

    pub(crate) fn add(&mut self, tally: &Tally, now: Instant) {
        if now.saturating_duration_since(self.minute_start) >= Duration::from_secs(60) {
            self.minute_start = now;
            self.minutes = [Tally::default(), self.minutes[0]];
        }
        self.minutes[0].add(tally);
    }

    pub(crate) fn sum(&self) -> Tally {
        let mut res = self.minutes[0];
        res.add(&self.minutes[1]);
        res
    }
}
