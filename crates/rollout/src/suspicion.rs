//! Suspicion about a version that has all traffic, so that nothing can be compared.

use std::time::Duration;

use tokio::time::Instant;

use crate::evidence::Tally;

/// How long half of the traffic goes to the old version for comparison.
const SAMPLE: Duration = Duration::from_secs(30);

/// Time without suspicion before the watch time may end.
const CLEAR: Duration = Duration::from_secs(30);

/// Logarithm of the evidence for a suspicion; a false one costs only a control sample.
const THRESHOLD: f64 = 6.0;

/// Responses of the old version after which older ones count half.
const MEMORY: f64 = 2_000.0;

/// Compares the new version with what the old one did before, by a cumulative sum.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    /// Least fraction of bad responses that is expected.
    floor: f64,
    /// Recent responses of the old version.
    old: f64,
    /// Bad ones among them.
    old_bad: f64,
    /// Logarithm of the evidence.
    evidence: f64,
    /// End of the control sample.
    sample_until: Option<Instant>,
}

impl Suspicion {
    /// No suspicion; `floor` is the fraction of bad responses that is always expected.
    pub(crate) fn new(floor: f64) -> Self {
        Self { floor, old: 0.0, old_bad: 0.0, evidence: 0.0, sample_until: None }
    }

    /// Learns responses of the old version.
    pub(crate) fn learn(&mut self, count: u64, bad: u64) {
        self.old += count as f64;
        self.old_bad += bad as f64;
        self.shrink(MEMORY);
    }

    /// Adds responses of the new version that came while it had all traffic.
    pub(crate) fn observe(&mut self, count: u64, bad: u64, now: Instant) {
        if self.is_open(now) {
            return;
        }
        let expected = 1.5 * (self.old_bad + 0.5) / (self.old + 100.0);
        let null = expected.max(self.floor).min(0.6);
        let alternative = (5.0 * null).clamp(0.05, 0.95);
        let good = count.saturating_sub(bad) as f64;
        let gain = bad as f64 * (alternative / null).ln()
            + good * ((1.0 - alternative) / (1.0 - null)).ln();
        self.evidence = (self.evidence + gain).max(0.0);
        if self.evidence >= THRESHOLD {
            self.evidence = 0.0;
            self.sample_until = Some(now + SAMPLE);
            // The sample shall outweigh what the old version did under other conditions.
            self.shrink(100.0);
        }
    }

    /// Whether a control sample is being taken.
    pub(crate) fn is_open(&self, now: Instant) -> bool {
        self.sample_until.is_some_and(|it| now < it)
    }

    /// Whether the last suspicion ended long enough ago.
    pub(crate) fn is_clear(&self, now: Instant) -> bool {
        self.sample_until.is_none_or(|it| now >= it + CLEAR)
    }

    /// Lowers the weight of the old version's responses.
    fn shrink(&mut self, to: f64) {
        if self.old > to {
            let factor = to / self.old / if to == MEMORY { 2.0 } else { 1.0 };
            self.old *= factor;
            self.old_bad *= factor;
        }
    }
}

/// Counts and bad ones of one version over the last one to two minutes.
#[derive(Debug, Clone)]
pub(crate) struct Recent {
    /// Start of the present minute.
    start: Instant,
    /// Counters of the present and the previous minute.
    minutes: [Tally; 2],
}

impl Recent {
    /// No responses.
    pub(crate) fn new(now: Instant) -> Self {
        Self { start: now, minutes: [Tally::default(); 2] }
    }

    /// Adds responses.
    pub(crate) fn add(&mut self, tally: &Tally, now: Instant) {
        if now.saturating_duration_since(self.start) >= Duration::from_secs(60) {
            self.start = now;
            self.minutes = [Tally::default(), self.minutes[0]];
        }
        self.minutes[0].add(tally);
    }

    /// The counters.
    pub(crate) fn sum(&self) -> Tally {
        let mut res = self.minutes[0];
        res.add(&self.minutes[1]);
        res
    }
}
