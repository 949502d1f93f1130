//! What the parts of a process share; it runs on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use kingcupford_steer::{HostState, Steering};
use kingcupford_telemetry::{Event, Metrics};
use tokio::time::Instant;

use crate::{clock, mirror::Mirror, pool::Pool, settings::GatewaySettings};

/// Shared state of a process.
pub(crate) struct State {
    /// Settings in force.
    pub(crate) settings: RefCell<Rc<GatewaySettings>>,
    /// Decisions.
    pub(crate) steering: RefCell<Steering>,
    /// Connections to instances.
    pub(crate) pool: Pool,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// What the process does.
    pub(crate) phase: Cell<Phase>,
    /// Requests that run.
    pub(crate) in_flight: Cell<usize>,
    /// The newest manifest that a peer has and this process lacks, and since when.
    pub(crate) newer_manifest: Cell<Option<(u64, Instant)>>,
    /// What is followed, for other hosts.
    pub(crate) mirror: Mirror,
    /// Versions of the rollout objects by service, for conditional writes.
    pub(crate) rollout_versions: RefCell<BTreeMap<String, u64>>,
    /// Start of each rollout by service, as the platform holds it.
    pub(crate) rollout_starts: RefCell<BTreeMap<String, u64>>,
}

/// What the process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It serves.
    Serving,
    /// It shuts down and still serves; responses close their connections.
    Draining,
    /// It finishes what runs and refuses the rest.
    Closing,
}

impl State {
    /// The state of a process that has learned nothing.
    pub(crate) fn new(settings: GatewaySettings) -> Rc<Self> {
        let steering = Steering::new(settings.steering.clone(), clock::suspended(), Instant::now());
        Rc::new(Self {
            settings: RefCell::new(Rc::new(settings)),
            steering: RefCell::new(steering),
            pool: Pool::default(),
            metrics: Metrics::new(),
            phase: Cell::new(Phase::Serving),
            in_flight: Cell::new(0),
            newer_manifest: Cell::new(None),
            mirror: Mirror::default(),
            rollout_versions: RefCell::default(),
            rollout_starts: RefCell::default(),
        })
    }

    /// Settings in force.
    pub(crate) fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Voids the view after a pause; to be called before any decision that needs a fresh one.
    pub(crate) fn check_pause(&self, now: Instant) {
        let pause = self.steering.borrow_mut().freshness.record_suspension(clock::suspended(), now);
        if let Some(pause) = pause {
            Event::ResumedAfterPause.log(format_args!("pause_ms={}", pause.as_millis()));
        }
    }

    /// Notes the version of a peer's manifest.
    pub(crate) fn peer_manifest(&self, version: u64, now: Instant) {
        let known = self.steering.borrow().manifest().map_or(0, |it| it.version());
        match self.newer_manifest.get() {
            Some((newer, _)) if newer > known => {}
            _ => self.newer_manifest.set((version > known).then_some((version, now))),
        }
    }

    /// For how long a peer has had a manifest that this process lacks.
    pub(crate) fn behind_for(&self, now: Instant) -> Option<Duration> {
        let known = self.steering.borrow().manifest().map_or(0, |it| it.version());
        let (newer, since) = self.newer_manifest.get()?;
        (newer > known).then(|| now.saturating_duration_since(since))
    }

    /// What peers are told of this process.
    pub(crate) fn beat_state(&self, now: Instant) -> HostState {
        match self.phase.get() {
            Phase::Draining | Phase::Closing => HostState::Draining,
            Phase::Serving if self.steering.borrow().has_confirmed_view(now) => HostState::Serving,
            Phase::Serving => HostState::Unready,
        }
    }
}
