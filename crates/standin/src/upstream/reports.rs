//! Health and load reports that can lag.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

/// Longest lag that can be reported.
const KEPT: Duration = Duration::from_secs(60);

/// Changes closer than this are kept as one, which bounds the history to 6,000 samples.
const RESOLUTION: Duration = Duration::from_millis(10);

/// The state of an instance at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Sample {
    /// Requests that run.
    pub(crate) in_flight: usize,
    /// Requests that wait for a slot.
    pub(crate) queued: usize,
    /// Whether it takes new work.
    pub(crate) healthy: bool,
}

/// Past states, so that reports can lag.
#[derive(Debug)]
pub(crate) struct Reports {
    /// Samples with the time from which they hold, oldest first.
    history: VecDeque<(Instant, Sample)>,
}

impl Reports {
    /// A history that starts idle and healthy.
    pub(crate) fn new(now: Instant) -> Self {
        let idle = Sample { in_flight: 0, queued: 0, healthy: true };
        Self { history: VecDeque::from([(now, idle)]) }
    }

    /// Records the state from `now` on.
    pub(crate) fn record(&mut self, sample: Sample, now: Instant) {
        // The first sample stays, so that a lagging report shows the idle start.
        let is_first = self.history.len() == 1;
        match self.history.back_mut() {
            Some((at, last)) if !is_first && now.duration_since(*at) < RESOLUTION => *last = sample,
            _ => self.history.push_back((now, sample)),
        }
        while self.history.len() > 1 && now.duration_since(self.history[1].0) > KEPT {
            self.history.pop_front();
        }
    }

    /// The state as it was `lag` ago, or the oldest one known.
    pub(crate) fn sample(&self, now: Instant, lag: Duration) -> Sample {
        let until = self.history.iter().rev().find(|it| it.0 + lag <= now);
        until.or(self.history.front()).expect("the history is never empty").1
    }
}
