//! Simulated upstream instances.

use std::collections::VecDeque;

use kingcupford_scenario::{ServiceModel, VersionFault};

use crate::event::{ProcessId, RequestIndex};

/// Index of an execution in [`crate::world::World::executions`].
pub(crate) type ExecutionIndex = usize;

/// Time after the start of draining from which an instance refuses new requests.
pub(crate) const DRAIN_GRACE_US: u64 = 2_000_000;

/// Attempt of a host to run a request at an instance.
#[derive(Debug, Clone)]
pub(crate) struct Execution {
    /// Index of the instance.
    pub(crate) instance: usize,
    /// Process generation of the instance that received the attempt.
    pub(crate) generation: u32,
    pub(crate) from: ProcessId,
    pub(crate) request: RequestIndex,
    /// Number of the attempt within its request, from 1.
    pub(crate) attempt_number: u32,
    /// Time at which the instance abandons the execution.
    pub(crate) deadline_us: u64,
    pub(crate) state: ExecutionState,
    /// Whether the response is a server error.
    pub(crate) failed: bool,
}

/// State of an execution at its instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ExecutionState {
    /// Sent, but not received by the instance.
    Sent,
    /// Waiting in the queue of the instance.
    Queued,
    /// Occupying a slot.
    Running,
    /// Finished, cancelled or never run.
    Ended,
}

/// Simulated upstream instance.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) name: String,
    pub(crate) service: usize,
    pub(crate) version: usize,
    pub(crate) zone: usize,
    pub(crate) region: usize,
    /// Maximum concurrently running requests.
    pub(crate) slots: usize,
    pub(crate) model: ServiceModel,
    pub(crate) is_up: bool,
    /// Generation of the process, incremented by a crash.
    pub(crate) generation: u32,
    /// Time of the last process start, `None` for an instance that is warm from the beginning.
    pub(crate) started_us: Option<u64>,
    pub(crate) running: Vec<ExecutionIndex>,
    pub(crate) queue: VecDeque<ExecutionIndex>,
    /// Factor on the service time while an instance-slow fault is active, otherwise 1.
    pub(crate) slow_factor: f64,
    /// Time at which the instance started draining by itself.
    pub(crate) draining_since_us: Option<u64>,
    /// Fault of the version and the time from which it can appear.
    pub(crate) version_fault: Option<(VersionFault, u64)>,
}

impl Upstream {
    /// Returns the capacity of the queue in requests.
    pub(crate) fn queue_capacity(&self) -> usize {
        (self.slots as f64 * self.model.queue) as usize
    }

    /// Returns the number of running and queued requests.
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    /// Returns the version's fault if it affects a request on a path now.
    pub(crate) fn active_fault(&self, path: &str, now_us: u64) -> Option<&VersionFault> {
        let (fault, since_us) = self.version_fault.as_ref()?;
        let load_percent = self.running.len() as f64 * 100.0 / self.slots as f64;
        let is_active = now_us >= *since_us
            && load_percent >= fault.from_load_percent
            && fault.route.as_ref().is_none_or(|it| path.starts_with(it.as_str()));
        is_active.then_some(fault)
    }

    /// Returns the factor on the service time that decreases linearly to 1 after a process start.
    pub(crate) fn cold_factor(&self, now_us: u64) -> f64 {
        let Some(started_us) = self.started_us else { return 1.0 };
        let age_s = now_us.saturating_sub(started_us) as f64 / 1e6;
        let cold_fraction = (1.0 - age_s / self.model.cold_s.max(0.001)).max(0.0);
        1.0 + (self.model.cold_factor - 1.0) * cold_fraction
    }
}
