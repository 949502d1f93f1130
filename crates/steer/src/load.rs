//! Estimate of an instance's load from its reports and this process's own requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::instance::LoadReport;

/// Weight of a new report against the estimate so far; reports of 8 hosts alternate within
/// milliseconds, so one of them is half noise.
const REPORT_WEIGHT: f64 = 0.5;

/// Time after which half of what a report says is taken to be over: a few times the length of a
/// request.
const OTHERS_HALF_LIFE: Duration = Duration::from_secs(1);

/// Part of the mean over a service's instances to which an estimate returns when no report comes;
/// less than all of it, so that a load that nobody reports any more is forgotten within seconds.
const USUAL_PART: f64 = 0.8;

/// Time for which an instance counts in that mean after its last report.
const HEARD_LATELY: Duration = Duration::from_secs(5);

/// Requests that run or wait at an instance.
#[derive(Debug, Clone, Copy)]
pub struct LoadEstimate {
    /// Requests of this process.
    own: u32,
    /// Requests of other processes when last estimated.
    others: f64,
    /// When that was estimated.
    estimated_at: Instant,
    /// When the instance last reported.
    heard_at: Option<Instant>,
    /// What it usually is, to which the estimate returns: in a large deployment one host hears of an
    /// instance only every few seconds.
    usual_others: f64,
}

/// Mean load of a service's instances in one region, each counted alike however often it reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanLoad {
    /// Requests of other processes.
    others: f64,
    /// Slots of their instances.
    slots: f64,
}

impl MeanLoad {
    /// Counts an instance with its slots, if it was heard lately.
    pub(crate) fn add(&mut self, load: &LoadEstimate, slots: u32, now: Instant) {
        let heard = load.heard_at.map(|it| now.saturating_duration_since(it));
        if heard.is_some_and(|it| it < HEARD_LATELY) {
            self.others += load.others_at(now);
            self.slots += f64::from(slots);
        }
    }

    /// What an instance usually has of other processes.
    pub(crate) fn usual(&self, slots: u32) -> f64 {
        if self.slots > 0.0 {
            USUAL_PART * self.others / self.slots * f64::from(slots)
        } else {
            0.0
        }
    }
}

impl LoadEstimate {
    /// The load of an instance that has reported nothing.
    pub fn new(now: Instant) -> Self {
        Self { own: 0, others: 0.0, estimated_at: now, heard_at: None, usual_others: 0.0 }
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self) {
        self.own += 1;
    }

    /// Counts a request that ended.
    pub fn record_finished(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes a report in, before the request that brought it is counted as finished.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let total = f64::from(report.running + report.waiting);
        let own_besides = f64::from(self.own.saturating_sub(1));
        let others = (total - own_besides).max(0.0);
        self.others = self.others_at(now) * (1.0 - REPORT_WEIGHT) + others * REPORT_WEIGHT;
        self.estimated_at = now;
        self.heard_at = Some(now);
    }

    /// Sets to what the estimate returns when no report comes.
    pub(crate) fn set_usual(&mut self, others: f64, now: Instant) {
        // What was estimated so far stays.
        self.others = self.others_at(now);
        self.estimated_at = now;
        self.usual_others = others;
    }

    /// Requests of this process.
    pub fn own_requests(&self) -> u32 {
        self.own
    }

    /// Requests of all processes.
    pub fn total_requests(&self, now: Instant) -> f64 {
        f64::from(self.own) + self.others_at(now)
    }

    /// Requests of other processes that may still be there.
    fn others_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.estimated_at);
        let kept = 0.5f64.powf(age.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64());
        self.usual_others + (self.others - self.usual_others) * kept
    }
}
