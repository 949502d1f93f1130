//! Sequential probability ratio test of two versions that serve the same route at the same time.

use std::time::Duration;

use tokio::time::Instant;

/// Time between restarts of the test. A fault that begins late must not have to outweigh the
/// evidence of a long healthy period.
const RESTART_INTERVAL: Duration = Duration::from_secs(10);

/// Bound on the probability of a false alarm per rollout, over all routes, hosts and evaluations.
const FALSE_ALARM_PROBABILITY: f64 = 1e-4;

/// Number of alternative hypotheses that are tested side by side.
const ALTERNATIVE_COUNT: usize = 4;

/// Ratios of the versions' bad fractions that a [`SequentialTest`] distinguishes.
#[derive(Debug, Clone, Copy)]
pub struct Hypotheses {
    /// Largest ratio at which the new version counts as healthy.
    null_ratio: f64,
    /// Ratios at which the new version counts as faulty.
    alternative_ratios: [f64; ALTERNATIVE_COUNT],
    /// Upper bound on the log evidence from one second of responses.
    max_log_evidence_per_s: f64,
}

impl Hypotheses {
    /// Ratios of failure fractions; up to 25% more failures than the old version's are tolerated.
    pub const FAILURES: Self = Self {
        null_ratio: 1.25,
        alternative_ratios: [3.0, 10.0, 50.0, 300.0],
        max_log_evidence_per_s: f64::INFINITY,
    };

    /// Ratios of slow fractions, where 5% of the old version's responses are slow.
    ///
    /// One pause of one instance causes a burst of slow responses that are not independent. With
    /// the bound per second, an alarm needs slow responses in at least two different seconds, later
    /// in the rollout in three.
    pub const SLOW_RESPONSES: Self = Self {
        null_ratio: 2.0,
        alternative_ratios: [4.0, 10.0, 25.0, 100.0],
        max_log_evidence_per_s: 8.0,
    };
}

/// Tests whether bad responses come from the new version more often than its share explains.
///
/// Given that a response is bad, it comes from the new version with probability
/// `r w / (r w + 1 - w)`, where `w` is the new version's share of requests and `r` is the ratio of
/// the bad fractions. The rate of bad responses cancels out, so a dependency that affects both
/// versions, at any time and to any degree, is no evidence. The wealth of the test, a mixture of
/// likelihood ratios over alternatives and restarts, is a supermartingale while `r` is at most the
/// null ratio. By Ville's inequality, the wealth ever exceeds `1 / p` with probability at most `p`,
/// however often the test is evaluated.
#[derive(Debug, Clone)]
pub struct SequentialTest {
    hypotheses: Hypotheses,
    /// Logarithm of the wealth of each alternative.
    log_wealth: [f64; ALTERNATIVE_COUNT],
    /// Logarithm of the wealth at which the version is considered faulty.
    log_threshold: f64,
    /// Weight of each restart; the weights of the first start and of all restarts add up to 1.
    restart_weight: f64,
    restarts_left: u64,
    next_restart: Instant,
    second_start: Instant,
    /// Log evidence for each alternative in the current second.
    second_log_gain: [f64; ALTERNATIVE_COUNT],
}

impl SequentialTest {
    /// Creates a test that gets `budget_fraction` of a rollout's allowed probability of a false
    /// alarm.
    pub fn new(
        hypotheses: Hypotheses,
        budget_fraction: f64,
        duration_ms: u64,
        now: Instant,
    ) -> Self {
        // Restarts are planned for 1.5 times the duration, since outages can delay the end of a
        // rollout past its deadline.
        let restarts_left =
            (duration_ms.saturating_mul(3) / 2 / RESTART_INTERVAL.as_millis() as u64).max(1);
        Self {
            hypotheses,
            log_wealth: [0.5f64.ln(); ALTERNATIVE_COUNT],
            log_threshold: -(FALSE_ALARM_PROBABILITY * budget_fraction).ln(),
            restart_weight: 0.5 / restarts_left as f64,
            restarts_left,
            next_restart: now + RESTART_INTERVAL,
            second_start: now,
            second_log_gain: [0.0; ALTERNATIVE_COUNT],
        }
    }

    /// Adds the bad responses of both versions from a time at which the fraction `share` of the
    /// requests went to the new version.
    pub fn observe(&mut self, share: f64, new_bad: u64, old_bad: u64, now: Instant) {
        self.restart_if_due(now);
        if now.saturating_duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.second_log_gain = [0.0; ALTERNATIVE_COUNT];
        }
        if share <= 0.0 || share >= 1.0 || new_bad + old_bad == 0 {
            return;
        }
        let probability_of_new = |ratio: f64| ratio * share / (ratio * share + 1.0 - share);
        let null = probability_of_new(self.hypotheses.null_ratio);
        for (index, ratio) in self.hypotheses.alternative_ratios.into_iter().enumerate() {
            let alternative = probability_of_new(ratio);
            let log_gain = new_bad as f64 * (alternative / null).ln()
                + old_bad as f64 * ((1.0 - alternative) / (1.0 - null)).ln();
            let capped_gain = (self.second_log_gain[index] + log_gain)
                .min(self.hypotheses.max_log_evidence_per_s);
            self.log_wealth[index] += capped_gain - self.second_log_gain[index];
            self.second_log_gain[index] = capped_gain;
        }
    }

    /// Whether the evidence suffices to consider the new version faulty.
    pub fn is_faulty(&self) -> bool {
        self.log_evidence() >= self.log_threshold
    }

    /// Returns the logarithm of the mean wealth over all alternatives.
    pub fn log_evidence(&self) -> f64 {
        let largest = self.log_wealth.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.log_wealth.iter().map(|it| (it - largest).exp()).sum();
        largest + (sum / ALTERNATIVE_COUNT as f64).ln()
    }

    /// Adds the weights of the restarts that are due.
    fn restart_if_due(&mut self, now: Instant) {
        if now < self.next_restart {
            return;
        }
        let overdue_ms = now.saturating_duration_since(self.next_restart).as_millis();
        let restarts_due = (overdue_ms / RESTART_INTERVAL.as_millis()) as u64 + 1;
        self.next_restart += RESTART_INTERVAL * restarts_due as u32;
        let restarts_due = restarts_due.min(self.restarts_left);
        self.restarts_left -= restarts_due;
        let log_added = (restarts_due as f64 * self.restart_weight).ln();
        for log_wealth in &mut self.log_wealth {
            let largest = log_wealth.max(log_added);
            if restarts_due > 0 {
                *log_wealth =
                    largest + ((*log_wealth - largest).exp() + (log_added - largest).exp()).ln();
            }
        }
    }
}
