//! Counters of one version on one route, which hosts exchange.

use std::time::Duration;

use bincode::{Decode, Encode};

/// Buckets per doubling of the latency; each spans 19%.
const BUCKETS_PER_OCTAVE: f64 = 4.0;

/// Lower bound of the first bucket.
const FIRST_BUCKET_MS: f64 = 1.0;

/// Index of the last bucket, which begins at 4.6 h.
const LAST_BUCKET: u8 = 95;

/// Exchanges with one version on one route; within a process the counters only increase.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct VersionTally {
    /// Responses and failures.
    pub total: u64,
    /// Failures among `total`.
    pub failed: u64,
    /// Exchanges for keys that the instance is known to have cached.
    pub cached: TimedTally,
    /// Exchanges for other keys; the instance may have some of them cached.
    pub uncached: TimedTally,
}

/// Durations of exchanges with one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct TimedTally {
    /// Successful responses by the time that the instance worked on the request.
    pub latencies: LatencyHistogram,
    /// Exchanges that the caller ended, by their duration.
    pub cut_short: LatencyHistogram,
}

/// How an exchange with a version ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionSample {
    /// A successful response.
    Answered {
        /// Time that the instance worked on the request.
        latency: Duration,
        /// Whether the instance is known to have cached the request's key.
        is_cached: bool,
    },
    /// A successful response of an instance that has just started, so that its latency says nothing
    /// about the version.
    AnsweredCold,
    /// An error of the instance, a lost connection or a missing response.
    Failed,
    /// The caller left, or another instance responded first.
    CutShort {
        /// Time for which the instance had not responded.
        after: Duration,
        /// Whether the instance is known to have cached the request's key.
        is_cached: bool,
    },
}

/// Counts by latency.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct LatencyHistogram {
    /// Counts by bucket, sorted by bucket, without empty ones.
    counts: Vec<(u8, u32)>,
}

impl VersionTally {
    /// Counts an exchange.
    pub fn record(&mut self, sample: VersionSample) {
        match sample {
            VersionSample::Answered { latency, is_cached } => {
                self.total += 1;
                self.timed_mut(is_cached).latencies.record(latency);
            }
            VersionSample::AnsweredCold => self.total += 1,
            VersionSample::Failed => {
                self.total += 1;
                self.failed += 1;
            }
            VersionSample::CutShort { after, is_cached } => {
                self.timed_mut(is_cached).cut_short.record(after);
            }
        }
    }

    /// Returns the exchanges counted since an earlier tally of the same process.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            total: self.total.saturating_sub(earlier.total),
            failed: self.failed.saturating_sub(earlier.failed),
            cached: self.cached.since(&earlier.cached),
            uncached: self.uncached.since(&earlier.uncached),
        }
    }

    /// Adds the counts of another tally.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.failed += other.failed;
        self.cached.add(&other.cached);
        self.uncached.add(&other.uncached);
    }

    fn timed_mut(&mut self, is_cached: bool) -> &mut TimedTally {
        if is_cached { &mut self.cached } else { &mut self.uncached }
    }
}

impl TimedTally {
    fn since(&self, earlier: &Self) -> Self {
        Self {
            latencies: self.latencies.since(&earlier.latencies),
            cut_short: self.cut_short.since(&earlier.cut_short),
        }
    }

    fn add(&mut self, other: &Self) {
        self.latencies.add(&other.latencies);
        self.cut_short.add(&other.cut_short);
    }
}

impl LatencyHistogram {
    /// Number of counted exchanges.
    pub fn count(&self) -> u64 {
        self.counts.iter().map(|it| u64::from(it.1)).sum()
    }

    /// Halves all counts, so that later latencies weigh more.
    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|it| it.1 /= 2);
        self.counts.retain(|it| it.1 > 0);
    }

    /// Adds the counts of another histogram.
    pub fn add(&mut self, other: &Self) {
        for (bucket, count) in &other.counts {
            self.add_count(*bucket, *count);
        }
    }

    /// Number of exchanges in buckets above `bucket`.
    pub(crate) fn count_above(&self, bucket: u8) -> u64 {
        let above = self.counts.partition_point(|it| it.0 <= bucket);
        self.counts[above..].iter().map(|it| u64::from(it.1)).sum()
    }

    /// Bucket below or at which the fraction `quantile` of the exchanges lies; `None` without any.
    pub(crate) fn quantile_bucket(&self, quantile: f64) -> Option<u8> {
        let rank = (self.count() as f64 * quantile).ceil() as u64;
        let mut cumulative_count = 0;
        let at_rank = self.counts.iter().find(|it| {
            cumulative_count += u64::from(it.1);
            cumulative_count >= rank
        });
        at_rank.map(|it| it.0)
    }

    /// Counts a latency.
    pub fn record(&mut self, latency: Duration) {
        let octaves = (latency.as_secs_f64() * 1000.0 / FIRST_BUCKET_MS).max(1.0).log2();
        let bucket = ((octaves * BUCKETS_PER_OCTAVE) as u8).min(LAST_BUCKET);
        self.add_count(bucket, 1);
    }

    fn add_count(&mut self, bucket: u8, count: u32) {
        match self.counts.binary_search_by_key(&bucket, |it| it.0) {
            Ok(at) => self.counts[at].1 = self.counts[at].1.saturating_add(count),
            Err(at) => self.counts.insert(at, (bucket, count)),
        }
    }

    fn since(&self, earlier: &Self) -> Self {
        let earlier_count = |bucket: u8| {
            let at = earlier.counts.binary_search_by_key(&bucket, |it| it.0).ok();
            at.map_or(0, |at| earlier.counts[at].1)
        };
        let counts = self.counts.iter().map(|it| (it.0, it.1.saturating_sub(earlier_count(it.0))));
        Self { counts: counts.filter(|it| it.1 > 0).collect() }
    }
}
