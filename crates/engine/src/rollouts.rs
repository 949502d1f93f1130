//! Rollouts of all services on one host.

use kingcupford_config::{InstanceId, RouteId, ServiceId, Snapshot};
use kingcupford_rollout::{
    Controller, ControllerInput, Evidence, FalseAlarmBudget, FaultDetector, Reason, RequestOutcome,
    Rollout, RolloutWrite, State, TrafficSplitter, Verdict, VersionPick, WriteOutcome,
};
use kingcupford_route::AttemptOutcome;
use tokio::time::{Duration, Instant};

use crate::{caps::Split, message::RolloutStop, request::AttemptResult};

/// Requests lost with one instance within this time count as one failure, since one crash breaks
/// all of its connections.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Hosts among which the bound on false alarms is divided, as many as run today.
const TEST_PLAN: FalseAlarmBudget = FalseAlarmBudget { hosts: 8 };

/// The rollouts of all services, by service key.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// Name of this host.
    host: String,
    /// Start of this process.
    incarnation: u64,
    /// Determines phases and delays.
    seed: u64,
    /// One entry for each service key.
    services: Vec<ServiceRollout>,
}

/// The rollout of one service.
#[derive(Debug)]
struct ServiceRollout {
    /// Name of the service.
    name: String,
    /// The newest object.
    rollout: Option<Rollout>,
    /// Version of the newest object.
    document_version: u64,
    /// Divides requests between the versions.
    splitter: TrafficSplitter,
    /// Compares the versions.
    test: FaultDetector,
    /// Advances the rollout while this host holds the lease.
    controller: Controller,
    /// Instances whose loss was counted, with the time, sorted by instance.
    lost: Vec<(InstanceId, Instant)>,
}

/// What a tick of the rollouts asks for.
#[derive(Debug, Default)]
pub(crate) struct RolloutTick {
    /// Stops to tell all peers.
    pub(crate) stops: Vec<RolloutStop>,
    /// Whether a share changed, so that caps have to be derived again.
    pub(crate) shares_changed: bool,
}

impl Rollouts {
    /// No rollouts.
    pub(crate) fn new(host: &str, incarnation: u64, seed: u64) -> Self {
        Self { host: host.to_owned(), incarnation, seed, services: Vec::new() }
    }

    /// Takes over the services of a configuration.
    pub(crate) fn install(&mut self, snapshot: &Snapshot, now: Instant) {
        for (id, service) in snapshot.services.iter() {
            while self.services.len() <= usize::from(id.0) {
                let seed = self.seed ^ (self.services.len() as u64) << 32;
                self.services.push(ServiceRollout {
                    name: String::new(),
                    rollout: None,
                    document_version: 0,
                    splitter: TrafficSplitter::new(seed),
                    test: FaultDetector::new(&self.host, self.incarnation, TEST_PLAN),
                    controller: Controller::new(&self.host, seed),
                    lost: Vec::new(),
                });
            }
            let state = &mut self.services[usize::from(id.0)];
            state.name.clone_from(&service.name);
            let routes = service.routes.iter();
            state
                .test
                .set_routes(routes.map(|it| (*it, snapshot.routes[*it].path_prefix.as_str())));
            let rollout = state.rollout.clone();
            state.test.update_rollout(rollout.as_ref(), now);
        }
    }

    /// Takes over a rollout object, and answers whether it was newer.
    pub(crate) fn adopt(&mut self, rollout: Rollout, version: u64, now: Instant) -> bool {
        let Some(state) = self.services.iter_mut().find(|it| it.name == rollout.service) else {
            return false;
        };
        if version <= state.document_version {
            return false;
        }
        state.document_version = version;
        state.splitter.update_rollout(Some(&rollout), version);
        state.test.update_rollout(Some(&rollout), now);
        state.rollout = Some(rollout);
        true
    }

    /// The versions of a service that get traffic.
    pub(crate) fn split(&self, snapshot: &Snapshot, service: ServiceId) -> Split {
        let active = snapshot.services[service].active_version;
        let single = Split { old: active, new: None, new_share: 0.0 };
        let Some(state) = self.services.get(usize::from(service.0)) else { return single };
        let Some(rollout) = &state.rollout else { return single };
        let version = |name: &str| snapshot.versions.id(&format!("{}/{name}", rollout.service));
        let (Some(old), Some(new)) = (version(&rollout.from), version(&rollout.to)) else {
            return single;
        };
        // A configuration that names another version was accepted after the rollout.
        if active != old {
            return single;
        }
        if rollout.state == State::RolledBack {
            return single;
        }
        let new_share = f64::from(state.splitter.share_percent()) / 100.0;
        Split { old, new: Some(new), new_share }
    }

    /// Chooses the version for a request, `None` without a rollout.
    pub(crate) fn pick(&mut self, service: ServiceId, route: RouteId) -> Option<VersionPick> {
        let state = self.services.get_mut(usize::from(service.0))?;
        let is_open = state.rollout.as_ref().is_some_and(|it| !it.state.is_final());
        is_open.then(|| state.splitter.pick(route))
    }

    /// Records how a request on one of the versions ended.
    pub(crate) fn observe(
        &mut self,
        service: ServiceId,
        route: RouteId,
        instance: InstanceId,
        pick: VersionPick,
        end: &AttemptResult,
        now: Instant,
    ) {
        let Some(state) = self.services.get_mut(usize::from(service.0)) else { return };
        let outcome = match end.outcome {
            AttemptOutcome::Answered { failed: false } => RequestOutcome::Success,
            AttemptOutcome::Answered { failed: true }
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::TimedOut => RequestOutcome::Failure,
            AttemptOutcome::Shed | AttemptOutcome::Unreachable | AttemptOutcome::Cancelled => {
                return;
            }
        };
        if matches!(end.outcome, AttemptOutcome::Broken { .. }) && !state.count_loss(instance, now)
        {
            return;
        }
        state.test.observe(route, pick, outcome, end.latency, now);
    }

    /// Stops where the evidence says so.
    pub(crate) fn tick(&mut self, now: Instant, unix_ms: u64) -> RolloutTick {
        let mut res = RolloutTick::default();
        for state in &mut self.services {
            let Some(generation) = state.rollout.as_ref().map(|it| it.generation) else { continue };
            let before = state.splitter.share_percent();
            let found = state.test.verdict(now).and_then(|it: Verdict| it.reason());
            let stopped = match found {
                Some(reason) => state.splitter.stop(generation, reason.clone()).then_some(reason),
                None => state.splitter.check_deadline(now, unix_ms),
            };
            if let Some(reason) = stopped {
                let service = state.name.clone();
                res.stops.push(RolloutStop { service, generation, reason });
            }
            state.splitter.set_control_sample(state.test.needs_control_sample(now));
            res.shares_changed |= before != state.splitter.share_percent();
        }
        res
    }

    /// Stops that hold, to be repeated to peers, since a restarted host has forgotten its own.
    pub(crate) fn standing_stops(&self) -> Vec<RolloutStop> {
        let stopped = self.services.iter().filter_map(|it| {
            let rollout = it.rollout.as_ref().filter(|it| !it.state.is_final())?;
            Some(RolloutStop {
                service: it.name.clone(),
                generation: rollout.generation,
                reason: it.splitter.stop_reason()?.clone(),
            })
        });
        stopped.collect()
    }

    /// Stops because a peer did, and answers whether that is news.
    pub(crate) fn stop(&mut self, stop: &RolloutStop) -> bool {
        let state = self.services.iter_mut().find(|it| it.name == stop.service);
        state.is_some_and(|it| it.splitter.stop(stop.generation, stop.reason.clone()))
    }

    /// Adds what a peer counted.
    pub(crate) fn merge(&mut self, evidence: &Evidence, now: Instant) {
        if let Some(it) = self.services.iter_mut().find(|it| it.name == evidence.service) {
            it.test.merge(evidence, now);
        }
    }

    /// What this host counted in open rollouts.
    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        let open = self
            .services
            .iter()
            .filter(|it| it.rollout.as_ref().is_some_and(|it| !it.state.is_final()));
        open.filter_map(|it| it.test.evidence()).collect()
    }

    /// Writes that controllers of this host want to make.
    pub(crate) fn writes(
        &mut self,
        now: Instant,
        unix_ms: u64,
        reachable: bool,
    ) -> Vec<RolloutWrite> {
        let mut res = Vec::new();
        for state in &mut self.services {
            let Some(rollout) = &state.rollout else { continue };
            let assessment = state.test.assessment(now);
            let view = ControllerInput {
                rollout,
                document_version: state.document_version,
                assessment: assessment.as_ref(),
                stop_reason: state.splitter.stop_reason(),
                platform_reachable: reachable,
            };
            res.extend(state.controller.tick(now, unix_ms, &view));
        }
        res
    }

    /// Reports what became of a write.
    pub(crate) fn written(&mut self, rollout: &Rollout, outcome: WriteOutcome, now: Instant) {
        if let Some(it) = self.services.iter_mut().find(|it| it.name == rollout.service) {
            it.controller.record_outcome(rollout.write_id, outcome, now);
        }
    }

    /// Why this host stopped each service's rollout, for status.
    pub(crate) fn stops(&self) -> impl Iterator<Item = (&str, &Reason)> {
        self.services.iter().filter_map(|it| Some((it.name.as_str(), it.splitter.stop_reason()?)))
    }
}

impl ServiceRollout {
    /// Whether the loss of a connection to an instance is the first one of its crash.
    fn count_loss(&mut self, instance: InstanceId, now: Instant) -> bool {
        match self.lost.binary_search_by_key(&instance, |it| it.0) {
            Ok(at) if now < self.lost[at].1 + CRASH_WINDOW => false,
            Ok(at) => {
                self.lost[at].1 = now;
                true
            }
            Err(at) => {
                self.lost.insert(at, (instance, now));
                true
            }
        }
    }
}
