//! Suspicion about a version that has all traffic, so that nothing can be compared.

use std::time::Duration;

use tokio::time::Instant;

use crate::evidence::Tally;

/// Least time in which half of the traffic goes to the old version for comparison.
const MIN_SAMPLE: Duration = Duration::from_secs(3);

/// Longest such time, for routes with thin traffic.
const MAX_SAMPLE: Duration = Duration::from_secs(60);

/// Time after which an open sample keeps a rollout from being done only if it supports the
/// suspicion; a route with thin traffic must not use up the time before the deadline.
const DOUBT: Duration = Duration::from_secs(10);

/// Requests to the new version that end a sample; 35 failures of 35 suffice for an alarm at 50%.
const SAMPLE_REQUESTS: u64 = 50;

/// Logarithm of the evidence in a sample that clears the new version with fewer requests.
const CLEARED: f64 = -3.0;

/// Time after a sample in which a new suspicion counts as a relapse.
const RELAPSE_WITHIN: Duration = Duration::from_secs(10);

/// Requests with all traffic after a sample in which a new suspicion counts as a relapse, whatever
/// time they took: samples of other routes can delay the return to all traffic.
const RELAPSE_REQUESTS: u64 = 50;

/// Consecutive relapses that keep a rollout from being done.
const DOUBTFUL_RELAPSES: u32 = 2;

/// Consecutive relapses that show a fault which only appears with all traffic.
const FAULTY_RELAPSES: u32 = 4;

/// Time without suspicion after which relapses are forgotten.
const CLEAR: Duration = Duration::from_secs(30);

/// Logarithm of the evidence for a suspicion; a false one costs only a control sample.
const THRESHOLD: f64 = 6.0;

/// Largest logarithm of evidence from one second of slow responses, since one pause of one instance
/// makes a burst of them.
pub(crate) const SLOW_CAP_PER_S: f64 = 3.5;

/// Responses of the old version after which older ones count half.
const MEMORY: f64 = 2_000.0;

/// Compares the new version with what the old one did before, by a cumulative sum.
///
/// A suspicion alone rolls nothing back, since a dependency may be the cause: it opens a control
/// sample, in which the sequential test compares both versions. A fault that vanishes during each
/// sample and is back right after it depends on the load.
#[derive(Debug, Clone)]
pub(crate) struct Suspicion {
    /// Least fraction of bad responses that is expected.
    floor: f64,
    /// Largest logarithm of evidence from one second.
    cap_per_s: f64,
    /// Start of the present second.
    second: Option<Instant>,
    /// Evidence of the present second.
    gain: f64,
    /// Recent responses of the old version.
    old: f64,
    /// Bad ones among them.
    old_bad: f64,
    /// Logarithm of the evidence.
    evidence: f64,
    /// Start of the last control sample.
    sample_start: Option<Instant>,
    /// Requests to the new version in the last control sample.
    sampled: u64,
    /// Logarithm of the evidence in the last control sample.
    sample_evidence: f64,
    /// End of the last control sample, `None` while it is open.
    sample_end: Option<Instant>,
    /// Requests with all traffic since the last control sample.
    after_sample: u64,
    /// Bad ones among them.
    after_sample_bad: u64,
    /// Consecutive relapses.
    relapses: u32,
}

impl Suspicion {
    /// No suspicion; `floor` is the fraction of bad responses that is always expected.
    pub(crate) fn new(floor: f64, cap_per_s: f64) -> Self {
        Self {
            floor,
            cap_per_s,
            second: None,
            gain: 0.0,
            old: 0.0,
            old_bad: 0.0,
            evidence: 0.0,
            sample_start: None,
            sampled: 0,
            sample_evidence: 0.0,
            sample_end: None,
            after_sample: 0,
            after_sample_bad: 0,
            relapses: 0,
        }
    }

    /// Learns responses of the old version.
    pub(crate) fn learn(&mut self, count: u64, bad: u64) {
        self.old += count as f64;
        self.old_bad += bad as f64;
        if self.old > MEMORY {
            self.weigh(MEMORY / 2.0);
        }
    }

    /// Adds responses of the new version that came while it had all traffic.
    pub(crate) fn observe(&mut self, count: u64, bad: u64, now: Instant) {
        if self.is_open(now) {
            return;
        }
        self.after_sample += count;
        self.after_sample_bad += bad;
        if self.second.is_none_or(|it| now >= it + Duration::from_secs(1)) {
            self.second = Some(now);
            self.gain = 0.0;
        }
        let capped = (self.gain + self.weight(count, bad)).min(self.cap_per_s);
        self.evidence = (self.evidence + capped - self.gain).max(0.0);
        self.gain = capped;
        if self.evidence < THRESHOLD {
            return;
        }
        let is_soon = self
            .sample_end
            .is_some_and(|it| now < it + RELAPSE_WITHIN || self.after_sample <= RELAPSE_REQUESTS);
        // A burst after many good responses is noise, not the return of the fault.
        let bad_fraction = self.after_sample_bad as f64 / self.after_sample.max(1) as f64;
        let is_relapse = is_soon && bad_fraction >= self.rates().1 / 2.0;
        self.relapses = if is_relapse { self.relapses + 1 } else { 0 };
        self.evidence = 0.0;
        self.sampled = 0;
        self.sample_evidence = 0.0;
        self.after_sample = 0;
        self.after_sample_bad = 0;
        self.sample_start = Some(now);
        self.sample_end = None;
        // The sample shall outweigh what the old version did under other conditions.
        self.weigh(100.0);
    }

    /// Adds responses of the new version during a control sample.
    pub(crate) fn sample(&mut self, count: u64, bad: u64) {
        self.sampled += count;
        self.sample_evidence += self.weight(count, bad);
    }

    /// Whether a control sample is being taken, which is ended here when it suffices.
    pub(crate) fn is_open(&mut self, now: Instant) -> bool {
        let Some(start) = self.sample_start else { return false };
        if self.sample_end.is_some() {
            return false;
        }
        let is_enough = self.sampled >= SAMPLE_REQUESTS || self.sample_evidence <= CLEARED;
        if is_enough && now >= start + MIN_SAMPLE || now >= start + MAX_SAMPLE {
            self.sample_end = Some(now);
            return false;
        }
        true
    }

    /// Whether a sample is open or the fault came back after samples.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        match (self.sample_start, self.sample_end) {
            (None, _) => false,
            (Some(start), None) => {
                now < start + DOUBT || self.sample_evidence > -CLEARED || self.is_chronic()
            }
            (Some(_), Some(end)) => self.is_chronic() && now < end + CLEAR,
        }
    }

    /// Whether the fault came back after more than one sample.
    fn is_chronic(&self) -> bool {
        self.relapses >= DOUBTFUL_RELAPSES
    }

    /// Whether the fault came back after so many samples that it depends on the load.
    pub(crate) fn depends_on_load(&self) -> bool {
        self.relapses >= FAULTY_RELAPSES
    }

    /// Logarithm of the evidence in responses of the new version.
    fn weight(&self, count: u64, bad: u64) -> f64 {
        let (null, alternative) = self.rates();
        let good = count.saturating_sub(bad) as f64;
        bad as f64 * (alternative / null).ln() + good * ((1.0 - alternative) / (1.0 - null)).ln()
    }

    /// Fractions of bad responses of a good and of a faulty version.
    fn rates(&self) -> (f64, f64) {
        // Few responses of the old version leave room for a higher rate than the counted one.
        let expected = 1.5 * (self.old_bad + 2.0) / (self.old + 40.0);
        let null = expected.max(self.floor).min(0.6);
        (null, (5.0 * null).clamp(0.05, 0.95))
    }

    /// Lowers the weight of the old version's responses to that of `to` responses.
    fn weigh(&mut self, to: f64) {
        if self.old > to {
            self.old_bad *= to / self.old;
            self.old = to;
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
