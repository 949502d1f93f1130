//! Estimate of an instance's load from its reports and this process's own requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::instance::LoadReport;

/// Weight of a new report against the estimate so far; reports of 8 hosts alternate within
/// milliseconds, so one of them is half noise.
const REPORT_WEIGHT: f64 = 0.5;

/// Time after which half of what others had in flight is taken to have ended: a few times the
/// length of a request.
const OTHERS_HALF_LIFE: Duration = Duration::from_secs(1);

/// Requests that run or wait at an instance.
#[derive(Debug, Clone, Copy)]
pub struct LoadEstimate {
    /// Requests of this process.
    own: u32,
    /// Requests of other processes when last reported.
    others: f64,
    /// When that was.
    reported_at: Instant,
}

impl LoadEstimate {
    /// The load of an instance that has reported nothing.
    pub fn new(now: Instant) -> Self {
        Self { own: 0, others: 0.0, reported_at: now }
    }

    /// Counts a request that is sent.
    pub fn started(&mut self) {
        self.own += 1;
    }

    /// Counts a request that ended.
    pub fn finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report in, before the request that brought it is counted as finished.
    pub fn report(&mut self, report: LoadReport, now: Instant) {
        let total = f64::from(report.running + report.waiting);
        let own_besides = f64::from(self.own.saturating_sub(1));
        let others = (total - own_besides).max(0.0);
        self.others = self.others_at(now) * (1.0 - REPORT_WEIGHT) + others * REPORT_WEIGHT;
        self.reported_at = now;
    }

    /// Requests of this process.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Requests of all processes.
    pub fn total(&self, now: Instant) -> f64 {
        f64::from(self.own) + self.others_at(now)
    }

    /// Requests of other processes that may still be there.
    fn others_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at);
        self.others * 0.5f64.powf(age.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64())
    }
}
