//! History of the state of an instance, for lagging health and load reports.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Age up to which states are known, and so the longest lag of a report.
const RETENTION: Duration = Duration::from_secs(60);

/// Changes closer together are merged into one sample, which bounds the history to 6,000 samples.
const MIN_SAMPLE_INTERVAL: Duration = Duration::from_millis(10);

/// State of an instance at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct StateSample {
    /// Number of running requests.
    pub(crate) in_flight: usize,
    /// Number of requests that wait for a slot.
    pub(crate) queued: usize,
    /// Whether the instance is not draining. A draining instance still accepts new work during the
    /// grace time.
    pub(crate) healthy: bool,
}

/// Past states of an instance.
#[derive(Debug)]
pub(crate) struct StateHistory {
    /// Samples, each with the time since which it holds, oldest first.
    samples: VecDeque<(Instant, StateSample)>,
}

impl StateHistory {
    /// Creates the history of an instance that is idle and healthy at `now`.
    pub(crate) fn new(now: Instant) -> Self {
        let idle = StateSample { in_flight: 0, queued: 0, healthy: true };
        Self { samples: VecDeque::from([(now, idle)]) }
    }

    /// Records the state since `now`.
    pub(crate) fn record(&mut self, sample: StateSample, now: Instant) {
        // The first sample is not replaced, so that a lagging report shows the idle start.
        let is_first = self.samples.len() == 1;
        match self.samples.back_mut() {
            Some((since, last))
                if !is_first && now.duration_since(*since) < MIN_SAMPLE_INTERVAL =>
            {
                *last = sample;
            }
            _ => self.samples.push_back((now, sample)),
        }
        while self.samples.len() > 1 && now.duration_since(self.samples[1].0) > RETENTION {
            self.samples.pop_front();
        }
    }

    /// Returns the state as of `lag` ago, or the oldest known state.
    pub(crate) fn sample_at_lag(&self, now: Instant, lag: Duration) -> StateSample {
        let sample = self.samples.iter().rev().find(|it| it.0 + lag <= now);
        sample.or(self.samples.front()).expect("the history is never empty").1
    }
}
