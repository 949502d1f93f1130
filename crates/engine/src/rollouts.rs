//! Rollouts of all services, as one host takes part in them.

use kingcupford_config::{InstanceId, RouteId, ServiceId, Snapshot};
use kingcupford_rollout::{
    Controller, ControllerInput, Evidence, FalseAlarmBudget, FaultDetector, Reason, RequestOutcome,
    Rollout, RolloutWrite, State, TrafficSplitter, Verdict, VersionPick, WriteOutcome,
};
use kingcupford_route::AttemptOutcome;
use tokio::time::{Duration, Instant};

use crate::{caps::VersionSplit, message::RolloutStop, request::AttemptResult};

/// Time after the loss of an instance during which further requests lost with it do not count as
/// failures, because one crash breaks all connections to the instance.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Division of the allowed probability of a false alarm among the 8 hosts of the present fleet.
const FALSE_ALARM_BUDGET: FalseAlarmBudget = FalseAlarmBudget { hosts: 8 };

/// Rollouts of all services.
#[derive(Debug)]
pub(crate) struct Rollouts {
    host: String,
    /// Incarnation of this host's process.
    incarnation: u64,
    /// Seed of the splitters' phases and of the controllers' delays.
    seed: u64,
    /// Indexed by service id.
    services: Vec<ServiceRollout>,
}

/// Rollout of one service.
#[derive(Debug)]
struct ServiceRollout {
    /// Name of the service.
    name: String,
    /// Newest rollout object.
    rollout: Option<Rollout>,
    /// Version of the newest object.
    document_version: u64,
    splitter: TrafficSplitter,
    fault_detector: FaultDetector,
    /// Advances the rollout while this host holds the lease.
    controller: Controller,
    /// Instances whose loss was counted as a failure, with the time, sorted by instance.
    counted_losses: Vec<(InstanceId, Instant)>,
}

/// Result of [`Rollouts::tick`].
#[derive(Debug, Default)]
pub(crate) struct RolloutTick {
    /// New stops, which must be sent to all peers.
    pub(crate) stops: Vec<RolloutStop>,
    /// Whether the share of a version changed, so that the caps must be derived again.
    pub(crate) shares_changed: bool,
}

impl Rollouts {
    /// Creates the state of a host without services.
    pub(crate) fn new(host: &str, incarnation: u64, seed: u64) -> Self {
        Self { host: host.to_owned(), incarnation, seed, services: Vec::new() }
    }

    /// Installs the services and routes of a configuration.
    pub(crate) fn install(&mut self, snapshot: &Snapshot, now: Instant) {
        for (id, service) in snapshot.services.iter() {
            while self.services.len() <= usize::from(id.0) {
                let seed = self.seed ^ (self.services.len() as u64) << 32;
                self.services.push(ServiceRollout {
                    name: String::new(),
                    rollout: None,
                    document_version: 0,
                    splitter: TrafficSplitter::new(seed),
                    fault_detector: FaultDetector::new(
                        &self.host,
                        self.incarnation,
                        FALSE_ALARM_BUDGET,
                    ),
                    controller: Controller::new(&self.host, seed),
                    counted_losses: Vec::new(),
                });
            }
            let state = &mut self.services[usize::from(id.0)];
            state.name.clone_from(&service.name);
            let routes = service.routes.iter();
            state
                .fault_detector
                .set_routes(routes.map(|it| (*it, snapshot.routes[*it].path_prefix.as_str())));
            let rollout = state.rollout.clone();
            state.fault_detector.update_rollout(rollout.as_ref(), now);
        }
    }

    /// Applies a rollout object if its service is known and it is newer than the known one. Returns
    /// whether it was applied.
    pub(crate) fn apply_rollout(&mut self, rollout: Rollout, version: u64, now: Instant) -> bool {
        let Some(state) = self.services.iter_mut().find(|it| it.name == rollout.service) else {
            return false;
        };
        if version <= state.document_version {
            return false;
        }
        state.document_version = version;
        state.splitter.update_rollout(Some(&rollout), version);
        state.fault_detector.update_rollout(Some(&rollout), now);
        state.rollout = Some(rollout);
        true
    }

    /// Returns the division of a service's traffic between its versions.
    pub(crate) fn split(&self, snapshot: &Snapshot, service: ServiceId) -> VersionSplit {
        let active = snapshot.services[service].active_version;
        let single = VersionSplit { old: active, new: None, new_share: 0.0 };
        let Some(state) = self.services.get(usize::from(service.0)) else { return single };
        let Some(rollout) = &state.rollout else { return single };
        let version = |name: &str| snapshot.versions.id(&format!("{}/{name}", rollout.service));
        let (Some(old), Some(new)) = (version(&rollout.from), version(&rollout.to)) else {
            return single;
        };
        // A configuration with another active version was accepted after the rollout.
        if active != old {
            return single;
        }
        if rollout.state == State::RolledBack {
            return single;
        }
        let new_share = f64::from(state.splitter.share_percent()) / 100.0;
        VersionSplit { old, new: Some(new), new_share }
    }

    /// Chooses the version for a request; returns `None` without an open rollout.
    pub(crate) fn pick(&mut self, service: ServiceId, route: RouteId) -> Option<VersionPick> {
        let state = self.services.get_mut(usize::from(service.0))?;
        let is_open = state.rollout.as_ref().is_some_and(|it| !it.state.is_final());
        is_open.then(|| state.splitter.pick(route))
    }

    /// Records the result of an attempt on one of the versions.
    pub(crate) fn record_attempt(
        &mut self,
        service: ServiceId,
        route: RouteId,
        instance: InstanceId,
        pick: VersionPick,
        result: &AttemptResult,
        now: Instant,
    ) {
        let Some(state) = self.services.get_mut(usize::from(service.0)) else { return };
        let outcome = match result.outcome {
            AttemptOutcome::Answered { failed: false } => RequestOutcome::Success,
            AttemptOutcome::Answered { failed: true }
            | AttemptOutcome::Broken { .. }
            | AttemptOutcome::TimedOut => RequestOutcome::Failure,
            AttemptOutcome::Shed | AttemptOutcome::Unreachable | AttemptOutcome::Cancelled => {
                return;
            }
        };
        if matches!(result.outcome, AttemptOutcome::Broken { .. })
            && !state.record_loss(instance, now)
        {
            return;
        }
        state.fault_detector.observe(route, pick, outcome, result.latency, now);
    }

    /// Stops rollouts whose new version is faulty or whose deadline can no longer be met.
    pub(crate) fn tick(&mut self, now: Instant, unix_ms: u64) -> RolloutTick {
        let mut res = RolloutTick::default();
        for state in &mut self.services {
            let Some(rollout) = state.rollout.as_ref().map(Rollout::key) else { continue };
            let previous_share = state.splitter.share_percent();
            let fault = state.fault_detector.verdict(now).and_then(|it: Verdict| it.reason());
            let stop_reason = match fault {
                Some(reason) => state.splitter.stop(rollout, reason.clone()).then_some(reason),
                None => state.splitter.check_deadline(now, unix_ms),
            };
            if let Some(reason) = stop_reason {
                let service = state.name.clone();
                res.stops.push(RolloutStop { service, rollout, reason });
            }
            state.splitter.set_control_sample(state.fault_detector.needs_control_sample(now));
            res.shares_changed |= previous_share != state.splitter.share_percent();
        }
        res
    }

    /// Returns the stops of open rollouts, which are sent to peers repeatedly because a restarted
    /// host no longer knows that it stopped.
    pub(crate) fn active_stops(&self) -> Vec<RolloutStop> {
        let stops = self.services.iter().filter_map(|it| {
            let rollout = it.rollout.as_ref().filter(|it| !it.state.is_final())?;
            Some(RolloutStop {
                service: it.name.clone(),
                rollout: rollout.key(),
                reason: it.splitter.stop_reason()?.clone(),
            })
        });
        stops.collect()
    }

    /// Applies the stop of a peer. Returns the stop if it is new to this host.
    pub(crate) fn apply_stop(&mut self, mut stop: RolloutStop) -> Option<RolloutStop> {
        let state = self.services.iter_mut().find(|it| it.name == stop.service)?;
        stop.rollout = stop.rollout.or_start_of(state.rollout.as_ref()?.key());
        state.splitter.stop(stop.rollout, stop.reason.clone()).then_some(stop)
    }

    /// Adds the request counters of a peer.
    pub(crate) fn merge_evidence(&mut self, mut evidence: Evidence, now: Instant) {
        if let Some(state) = self.services.iter_mut().find(|it| it.name == evidence.service)
            && let Some(rollout) = &state.rollout
        {
            evidence.rollout = evidence.rollout.or_start_of(rollout.key());
            state.fault_detector.merge(&evidence, now);
        }
    }

    /// Returns the request counters of this host in open rollouts.
    pub(crate) fn evidence(&self) -> Vec<Evidence> {
        let open = self
            .services
            .iter()
            .filter(|it| it.rollout.as_ref().is_some_and(|it| !it.state.is_final()));
        open.filter_map(|it| it.fault_detector.evidence()).collect()
    }

    /// Returns the writes of rollout objects that the controllers of this host have to make now.
    pub(crate) fn writes(
        &mut self,
        now: Instant,
        unix_ms: u64,
        platform_reachable: bool,
    ) -> Vec<RolloutWrite> {
        let mut res = Vec::new();
        for state in &mut self.services {
            let Some(rollout) = &state.rollout else { continue };
            let assessment = state.fault_detector.assessment(now);
            let input = ControllerInput {
                rollout,
                document_version: state.document_version,
                assessment: assessment.as_ref(),
                stop_reason: state.splitter.stop_reason(),
                platform_reachable,
            };
            res.extend(state.controller.tick(now, unix_ms, &input));
        }
        res
    }

    /// Records the outcome of a write.
    pub(crate) fn record_write_outcome(
        &mut self,
        rollout: &Rollout,
        outcome: WriteOutcome,
        now: Instant,
    ) {
        if let Some(it) = self.services.iter_mut().find(|it| it.name == rollout.service) {
            it.controller.record_outcome(rollout.write_id, outcome, now);
        }
    }

    /// Records that the platform has no object that a write could replace.
    pub(crate) fn record_lost(&mut self, write: &RolloutWrite) {
        if let Some(it) = self.services.iter_mut().find(|it| it.name == write.rollout.service)
            && let Some(version) = write.expected_version
        {
            it.controller.record_lost(version);
        }
    }

    /// Returns the names of services whose new version this host stopped, with the reason.
    pub(crate) fn stop_reasons(&self) -> impl Iterator<Item = (&str, &Reason)> {
        self.services.iter().filter_map(|it| Some((it.name.as_str(), it.splitter.stop_reason()?)))
    }
}

impl ServiceRollout {
    /// Records the loss of a connection to an instance. Returns whether it counts as a failure
    /// because it is the first one of a crash.
    fn record_loss(&mut self, instance: InstanceId, now: Instant) -> bool {
        match self.counted_losses.binary_search_by_key(&instance, |it| it.0) {
            Ok(index) if now < self.counted_losses[index].1 + CRASH_WINDOW => false,
            Ok(index) => {
                self.counted_losses[index].1 = now;
                true
            }
            Err(index) => {
                self.counted_losses.insert(index, (instance, now));
                true
            }
        }
    }
}
