//! Sequential probability ratio test of two versions that serve the same route at the same time.

use std::time::Duration;

use tokio::time::Instant;

/// Time between two new beginnings of the test, so that a late fault does not have to outweigh
/// the evidence of a long healthy time.
const RESTART_EVERY: Duration = Duration::from_secs(10);

/// Chance of a false alarm per rollout, over all routes, hosts and looks.
const FALSE_ALARMS: f64 = 1e-4;

/// Number of alternatives that are tested side by side.
const ALTERNATIVES: usize = 4;

/// Which ratios of bad responses between the versions are told apart.
#[derive(Debug, Clone, Copy)]
pub struct Hypotheses {
    /// Ratio up to which the new version is good.
    null: f64,
    /// Ratios of a faulty version.
    alternatives: [f64; ALTERNATIVES],
    /// Largest logarithm of evidence from one second.
    cap_per_s: f64,
}

impl Hypotheses {
    /// Ratios of failures; 25% more than the old version has are tolerated.
    pub const FAILURES: Self =
        Self { null: 1.25, alternatives: [3.0, 10.0, 50.0, 300.0], cap_per_s: f64::INFINITY };

    /// Ratios of slow responses, of which the old version has 5%.
    ///
    /// One pause of one instance makes a burst of slow responses that are not independent; the cap
    /// makes an alarm need slow responses in at least two different seconds, later on three.
    pub const SLOW_RESPONSES: Self =
        Self { null: 2.0, alternatives: [4.0, 10.0, 25.0, 100.0], cap_per_s: 8.0 };
}

/// Tests whether bad responses come from the new version more often than its share explains.
///
/// Given that a response is bad, it comes from the new version with probability `r w / (r w + 1 - w)`
/// where `w` is the new version's share of requests and `r` the ratio of the bad fractions. The rate
/// of bad responses itself cancels out, so a dependency that hurts both versions, at any time and to
/// any degree, is no evidence. The capital below is a supermartingale while `r <= null`; by Ville's
/// inequality it ever exceeds `1 / p` with probability `p` at most, however often it is looked at.
#[derive(Debug, Clone)]
pub struct SequentialTest {
    /// What is told apart.
    ratios: Hypotheses,
    /// Logarithm of the capital of each alternative.
    capital: [f64; ALTERNATIVES],
    /// Logarithm of the capital above which the version is faulty.
    threshold: f64,
    /// Weight of each later beginning; all beginnings together weigh 1.
    restart_weight: f64,
    /// Beginnings left.
    restarts: u64,
    /// When the test begins anew.
    next_restart: Instant,
    /// Start of the present second.
    second: Instant,
    /// Evidence of each alternative in the present second.
    gain: [f64; ALTERNATIVES],
}

impl SequentialTest {
    /// A test that takes `part` of the allowed false alarms of a rollout.
    pub fn new(ratios: Hypotheses, part: f64, duration_ms: u64, now: Instant) -> Self {
        // Half as many again, since outages can make a rollout end after its deadline.
        let restarts = (duration_ms * 3 / 2 / RESTART_EVERY.as_millis() as u64).max(1);
        Self {
            ratios,
            capital: [0.5f64.ln(); ALTERNATIVES],
            threshold: -(FALSE_ALARMS * part).ln(),
            restart_weight: 0.5 / restarts as f64,
            restarts,
            next_restart: now + RESTART_EVERY,
            second: now,
            gain: [0.0; ALTERNATIVES],
        }
    }

    /// Adds bad responses that came while `share` of the requests went to the new version.
    pub fn observe(&mut self, share: f64, new_bad: u64, old_bad: u64, now: Instant) {
        self.restart(now);
        if now.saturating_duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.gain = [0.0; ALTERNATIVES];
        }
        if share <= 0.0 || share >= 1.0 || new_bad + old_bad == 0 {
            return;
        }
        let from_new = |ratio: f64| ratio * share / (ratio * share + 1.0 - share);
        let null = from_new(self.ratios.null);
        for (at, ratio) in self.ratios.alternatives.into_iter().enumerate() {
            let alternative = from_new(ratio);
            let gain = new_bad as f64 * (alternative / null).ln()
                + old_bad as f64 * ((1.0 - alternative) / (1.0 - null)).ln();
            let capped = (self.gain[at] + gain).min(self.ratios.cap_per_s);
            self.capital[at] += capped - self.gain[at];
            self.gain[at] = capped;
        }
    }

    /// Whether the evidence suffices.
    pub fn is_faulty(&self) -> bool {
        self.log_evidence() >= self.threshold
    }

    /// Logarithm of the capital over all alternatives.
    pub fn log_evidence(&self) -> f64 {
        let largest = self.capital.into_iter().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = self.capital.iter().map(|it| (it - largest).exp()).sum();
        largest + (sum / ALTERNATIVES as f64).ln()
    }

    /// Adds the beginnings that are due.
    fn restart(&mut self, now: Instant) {
        if now < self.next_restart {
            return;
        }
        let late = now.saturating_duration_since(self.next_restart).as_millis();
        let due = (late / RESTART_EVERY.as_millis()) as u64 + 1;
        self.next_restart += RESTART_EVERY * due as u32;
        let due = due.min(self.restarts);
        self.restarts -= due;
        let added = (due as f64 * self.restart_weight).ln();
        for capital in &mut self.capital {
            let largest = capital.max(added);
            if due > 0 {
                *capital = largest + ((*capital - largest).exp() + (added - largest).exp()).ln();
            }
        }
    }
}
