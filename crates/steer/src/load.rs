//! Estimate of an instance's load from its reports and this process's own requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::instance::LoadReport;

/// Weight of a new report in the exponential moving average. The reports to 8 hosts alternate
/// within milliseconds, so about half of a single report is noise.
const REPORT_WEIGHT: f64 = 0.5;

/// Half-life of reported requests: a few times the duration of a request.
const OTHERS_HALF_LIFE: Duration = Duration::from_secs(1);

/// Fraction of the service's mean load to which an estimate returns without reports. Below 1, so
/// that a load that no instance reports any more disappears within seconds.
const BASELINE_FRACTION: f64 = 0.8;

/// Time after its last report for which an instance counts in the service's mean load.
const MEAN_RETENTION: Duration = Duration::from_secs(5);

/// Estimated number of requests that run or wait at an instance.
#[derive(Debug, Clone, Copy)]
pub struct LoadEstimate {
    own_requests: u32,
    /// Requests of other processes at `estimated_at`.
    other_requests: f64,
    estimated_at: Instant,
    reported_at: Option<Instant>,
    /// Requests of other processes to which the estimate returns between reports. In a large
    /// deployment one host receives a report of an instance only every few seconds.
    baseline: f64,
}

/// Mean load of a service's instances in one region. Every instance has the same weight, however
/// often it reports.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct MeanLoad {
    /// Requests of other processes at all counted instances.
    other_requests: f64,
    /// Slots of all counted instances.
    slots: f64,
}

impl MeanLoad {
    /// Counts an instance if it reported recently.
    pub(crate) fn add(&mut self, load: &LoadEstimate, slots: u32, now: Instant) {
        let report_age = load.reported_at.map(|it| now.saturating_duration_since(it));
        if report_age.is_some_and(|it| it < MEAN_RETENTION) {
            self.other_requests += load.other_requests_at(now);
            self.slots += f64::from(slots);
        }
    }

    /// Baseline for an instance with a number of slots.
    pub(crate) fn baseline(&self, slots: u32) -> f64 {
        if self.slots > 0.0 {
            BASELINE_FRACTION * self.other_requests / self.slots * f64::from(slots)
        } else {
            0.0
        }
    }
}

impl LoadEstimate {
    /// Estimate for an instance that has not reported yet.
    pub fn new(now: Instant) -> Self {
        Self {
            own_requests: 0,
            other_requests: 0.0,
            estimated_at: now,
            reported_at: None,
            baseline: 0.0,
        }
    }

    /// Counts a request of this process that is being sent.
    pub fn record_sent(&mut self) {
        self.own_requests += 1;
    }

    /// Counts the end of a request of this process.
    pub fn record_finished(&mut self) {
        self.own_requests = self.own_requests.saturating_sub(1);
    }

    /// Records a report. Must precede [`record_finished`](Self::record_finished) for the request
    /// whose response carried the report.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        let own_besides_response = f64::from(self.own_requests.saturating_sub(1));
        let other_requests = (total - own_besides_response).max(0.0);
        self.other_requests =
            self.other_requests_at(now) * (1.0 - REPORT_WEIGHT) + other_requests * REPORT_WEIGHT;
        self.estimated_at = now;
        self.reported_at = Some(now);
    }

    /// Changes the baseline without changing the current estimate.
    pub(crate) fn set_baseline(&mut self, other_requests: f64, now: Instant) {
        self.other_requests = self.other_requests_at(now);
        self.estimated_at = now;
        self.baseline = other_requests;
    }

    /// Number of unfinished requests of this process.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Estimated number of requests of all processes.
    pub fn total_requests(&self, now: Instant) -> f64 {
        f64::from(self.own_requests) + self.other_requests_at(now)
    }

    fn other_requests_at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.estimated_at);
        let decay = 0.5f64.powf(age.as_secs_f64() / OTHERS_HALF_LIFE.as_secs_f64());
        self.baseline + (self.other_requests - self.baseline) * decay
    }
}
