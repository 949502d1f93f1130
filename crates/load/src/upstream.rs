//! Fakes of upstream instances.

use std::collections::VecDeque;

use kingcupford_scenario::{ServiceModel, VersionFault};

use crate::event::{Process, SendingId};

/// Number of an execution.
pub(crate) type ExecutionId = usize;

/// Time after which a draining instance refuses new work.
pub(crate) const DRAIN_GRACE_US: u64 = 2_000_000;

/// One attempt at an instance, from its sending to its end.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    /// The instance.
    pub(crate) instance: usize,
    /// Start of the instance's process that got it.
    pub(crate) start: u32,
    /// The host that sent it.
    pub(crate) from: Process,
    /// The sending that it belongs to.
    pub(crate) sending: SendingId,
    /// Number of the attempt.
    pub(crate) attempt: u32,
    /// When the instance gives it up.
    pub(crate) deadline_us: u64,
    /// Its state.
    pub(crate) state: ExecutionState,
    /// Whether its answer is a server error.
    pub(crate) failed: bool,
}

/// State of an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    /// On its way.
    Sent,
    /// Waits at the instance.
    Queued,
    /// Runs.
    Running,
    /// Ended or was never run.
    Ended,
}

/// An instance.
#[derive(Debug)]
pub(crate) struct Upstream {
    /// Its name.
    pub(crate) name: String,
    /// Its service.
    pub(crate) service: usize,
    /// Its version.
    pub(crate) version: usize,
    /// Its zone.
    pub(crate) zone: usize,
    /// Its region.
    pub(crate) region: usize,
    /// Requests that it runs at the same time.
    pub(crate) slots: usize,
    /// How it behaves.
    pub(crate) model: ServiceModel,
    /// Whether its process runs.
    pub(crate) up: bool,
    /// Number of its process's start.
    pub(crate) start: u32,
    /// When its process started, `None` for one that is warm.
    pub(crate) started_us: Option<u64>,
    /// Running executions.
    pub(crate) running: Vec<ExecutionId>,
    /// Waiting executions.
    pub(crate) queue: VecDeque<ExecutionId>,
    /// Factor on the service time.
    pub(crate) slow_factor: f64,
    /// When it began to drain by itself.
    pub(crate) drains_since_us: Option<u64>,
    /// What is wrong with its version, and since when.
    pub(crate) fault: Option<(VersionFault, u64)>,
}

impl Upstream {
    /// Requests that may wait.
    pub(crate) fn queue_limit(&self) -> usize {
        (self.slots as f64 * self.model.queue) as usize
    }

    /// Running and waiting requests.
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Whether the version's fault shows on a path now.
    pub(crate) fn shows_fault(&self, path: &str, now_us: u64) -> Option<&VersionFault> {
        let (fault, since_us) = self.fault.as_ref()?;
        let load_percent = self.running.len() as f64 * 100.0 / self.slots as f64;
        let shows = now_us >= *since_us
            && load_percent >= fault.from_load_percent
            && fault.route.as_ref().is_none_or(|it| path.starts_with(it.as_str()));
        shows.then_some(fault)
    }

    /// Factor on the service time of a process that started lately.
    pub(crate) fn cold_factor(&self, now_us: u64) -> f64 {
        let Some(started_us) = self.started_us else { return 1.0 };
        let age_s = now_us.saturating_sub(started_us) as f64 / 1e6;
        let left = (1.0 - age_s / self.model.cold_s.max(0.001)).max(0.0);
        1.0 + (self.model.cold_factor - 1.0) * left
    }
}
