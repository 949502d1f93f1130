//! State shared by the tasks of the process, all of which run on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use kingcupford_platform::StoreRevision;
use kingcupford_steer::{HostState, Steering};
use kingcupford_telemetry::{Event, Metrics};
use tokio::time::Instant;

use crate::{
    buffer_budget::BufferBudget, clock, mirror::Mirror, pool::Pool, settings::GatewaySettings,
    shutdown::ShutdownSchedule,
};

/// Shared state of the process.
pub(crate) struct State {
    pub(crate) settings: RefCell<Rc<GatewaySettings>>,
    pub(crate) steering: RefCell<Steering>,
    pub(crate) pool: Pool,
    /// Budget for buffered request bodies.
    pub(crate) request_budget: BufferBudget,
    /// Budget for buffered responses.
    pub(crate) response_budget: BufferBudget,
    pub(crate) metrics: Metrics,
    pub(crate) phase: Cell<Phase>,
    /// Schedule of the graceful shutdown, once it has started.
    pub(crate) shutdown: Cell<Option<ShutdownSchedule>>,
    /// Number of running requests.
    pub(crate) in_flight: Cell<usize>,
    /// Copy of the followed objects for other hosts.
    pub(crate) mirror: Mirror,
    /// Versions of the rollout objects by service, for conditional writes.
    pub(crate) rollout_object_versions: RefCell<BTreeMap<String, StoreRevision>>,
    /// Start of each rollout by service: the stored time, or the time at which this process first
    /// saw the order.
    pub(crate) rollout_starts_unix_ms: RefCell<BTreeMap<String, u64>>,
}

/// Phase in the life of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The process accepts requests.
    Serving,
    /// The process is shutting down but still accepts requests; responses close their connections.
    Draining,
    /// The process finishes running requests and refuses new ones.
    Closing,
    /// The process ends; requests that are still running are cut.
    Ended,
}

impl State {
    /// Creates the state of a process that has received nothing from the platform or a peer.
    pub(crate) fn new(settings: GatewaySettings) -> Rc<Self> {
        let steering =
            Steering::new(settings.steering.clone(), clock::suspended_time(), Instant::now());
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            steering: RefCell::new(steering),
            pool: Pool::default(),
            request_budget: BufferBudget::default(),
            response_budget: BufferBudget::default(),
            metrics: Metrics::new(),
            phase: Cell::new(Phase::Serving),
            shutdown: Cell::new(None),
            in_flight: Cell::new(0),
            mirror: Mirror::default(),
            rollout_object_versions: RefCell::default(),
            rollout_starts_unix_ms: RefCell::default(),
        })
    }

    /// The active settings.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Invalidates the view if the machine was suspended. Must be called before any decision that
    /// depends on a fresh view.
    pub(crate) fn check_suspension(&self, now: Instant) {
        let suspension = self.steering.borrow_mut().record_suspension(clock::suspended_time(), now);
        if let Some(suspension) = suspension {
            Event::ResumedAfterPause.log(format_args!("pause_ms={}", suspension.as_millis()));
        }
    }

    /// State of this host as peers and lookups see it.
    pub(crate) fn host_state(&self, now: Instant) -> HostState {
        match self.phase.get() {
            Phase::Draining | Phase::Closing | Phase::Ended => HostState::Draining,
            Phase::Serving if self.steering.borrow().has_confirmed_view(now) => HostState::Serving,
            Phase::Serving => HostState::Unready,
        }
    }
}
