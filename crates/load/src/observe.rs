//! Ground truth of a run, recorded by the simulation independently of what the policy reports.

use std::{collections::BTreeMap, sync::Arc};

use hdrhistogram::Histogram;
use kingcupford_config::{DrainTarget, RegionId, ServiceId, Snapshot};
use kingcupford_engine::{Refusal, RefusalReason};
use kingcupford_rollout::{Rollout, State};
use kingcupford_scenario::{Measurements, Requirement, Scenario};

use crate::{
    caller::{Operation, OperationOutcome},
    reference::TokenBucket,
    upstream::ExecutionIndex,
    world::World,
};

/// Time in which a revocation or drain must take effect at every host that can receive it.
const CHANGE_PROPAGATION_LIMIT_US: u64 = 5_000_000;

/// Time in which a configuration must become active at every host that can receive it.
const CONFIG_ACTIVATION_LIMIT_US: u64 = 6_000_000;

/// Time after a preset switch in which requests from before may exceed the new region limit.
const REGION_LIMIT_GRACE_US: u64 = 10_000_000;

/// Number of spoilt requests after which the fault of a version counts as evident.
const EVIDENT_FAULT_REQUESTS: u64 = 30;

/// Time after the fault is evident in which a bad version may still get requests.
const BAD_VERSION_STOP_LIMIT_US: u64 = 10_000_000;

/// Largest fraction of a service's requests that a bad version may spoil.
const MAX_SPOILT_FRACTION: f64 = 0.05;

/// Upper bound of recorded latencies; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Recorded facts of a run under one policy.
#[derive(Debug)]
pub(crate) struct Observer {
    pub(crate) measurements: Measurements,
    pub(crate) measure_start_us: u64,
    /// Reference bucket of each team, which counts arriving requests.
    arrival_buckets: Vec<TokenBucket>,
    /// Number of refusals by reason.
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Number of refusals for the team's rate although the reference bucket had a token.
    pub(crate) refused_within_rate: u64,
    pub(crate) retries: u64,
    /// Number of offered operations by service.
    pub(crate) offered: Vec<u64>,
    /// Number of ended operations by service and [`OperationOutcome`].
    pub(crate) outcomes: Vec<[u64; 4]>,
    /// Number of ended and of successful operations by team.
    pub(crate) ended_and_done_by_team: Vec<[u64; 2]>,
    /// Latency of successful operations by service.
    pub(crate) latency_us: Vec<Histogram<u64>>,
    /// Latency of successful operations by service and team.
    pub(crate) team_latency_us: Vec<Vec<Histogram<u64>>>,
    /// Latencies of successful operations by second of their end and service.
    pub(crate) latencies_by_second_us: Vec<Vec<Vec<u64>>>,
    /// Times at which requests were sent along each traffic shift that was active at the host, by
    /// index of the shift.
    pub(crate) shifted_at_us: BTreeMap<u16, Vec<u64>>,
    /// Revocations: team, time of the revocation, and time of the last execution with the key.
    pub(crate) revocations: Vec<(usize, u64, u64)>,
    /// Time since which each instance is drained.
    drained_since_us: Vec<Option<u64>>,
    /// Longest time from the start of a drain to the end of the last request at an instance.
    pub(crate) max_drain_us: Option<u64>,
    /// Limits of the active preset by service and region, with the time of the last change of
    /// presets or drains.
    region_limits: BTreeMap<(usize, usize), (usize, u64)>,
    /// Number of instance crashes by poison requests.
    pub(crate) poison_crashes: u64,
    /// Process generation and configuration version of each host at the last sample, and the newest
    /// version for which a late activation was recorded.
    host_versions: Vec<(u32, u64, u64)>,
    pub(crate) rollouts: Vec<ObservedRollout>,
}

/// Recorded facts of a rollout.
#[derive(Debug)]
pub(crate) struct ObservedRollout {
    service: usize,
    service_name: String,
    /// Index of the new version.
    version: usize,
    started_us: u64,
    deadline_us: u64,
    /// Whether the scenario declares a fault of the new version.
    pub(crate) is_bad: bool,
    /// Requests that ran on the new version.
    pub(crate) requests: u64,
    /// Requests that failed or were slowed down by the fault of the new version.
    pub(crate) spoilt: u64,
    /// Requests of the service that ran since the start of the rollout.
    pub(crate) service_requests: u64,
    /// Time of the first spoilt request.
    pub(crate) first_spoilt_us: Option<u64>,
    /// Time at which the fault became evident, by `EVIDENT_FAULT_REQUESTS`.
    evident_since_us: Option<u64>,
    /// Time of the last request on the new version.
    pub(crate) last_request_us: u64,
    /// Time of the end, and whether the new version replaced the old one.
    pub(crate) ended: Option<(u64, bool)>,
}

impl ObservedRollout {
    /// Returns the time from the start to the end, `None` while the rollout runs.
    pub(crate) fn duration_s(&self) -> Option<f64> {
        self.ended.map(|it| (it.0 - self.started_us) as f64 / 1e6)
    }

    /// Whether the rollout ended by its deadline.
    pub(crate) fn is_in_time(&self) -> bool {
        self.ended.is_some_and(|it| it.0 <= self.deadline_us)
    }
}

impl Observer {
    /// Creates an observer without recorded facts.
    pub(crate) fn new(
        scenario: &Scenario,
        snapshot: &Arc<Snapshot>,
        measure_start_us: u64,
    ) -> Self {
        let services = snapshot.services.slot_count();
        let teams = snapshot.teams.slot_count();
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid");
        let seconds = scenario.duration_s.ceil() as usize + 6;
        let buckets =
            snapshot.teams.iter().map(|(_, it)| TokenBucket::new(it.rate_per_s, it.burst));
        Self {
            measurements: Measurements::new(),
            measure_start_us,
            arrival_buckets: buckets.collect(),
            refusals: BTreeMap::new(),
            refused_within_rate: 0,
            retries: 0,
            offered: vec![0; services],
            outcomes: vec![[0; 4]; services],
            ended_and_done_by_team: vec![[0; 2]; teams],
            latency_us: (0..services).map(|_| histogram()).collect(),
            team_latency_us: (0..services)
                .map(|_| (0..teams).map(|_| histogram()).collect())
                .collect(),
            latencies_by_second_us: vec![vec![Vec::new(); services]; seconds],
            shifted_at_us: BTreeMap::new(),
            revocations: Vec::new(),
            drained_since_us: vec![None; snapshot.instances.slot_count()],
            max_drain_us: None,
            region_limits: BTreeMap::new(),
            poison_crashes: 0,
            host_versions: vec![(0, 0, 0); scenario.entry_hosts as usize],
            rollouts: Vec::new(),
        }
    }

    /// Records the arrival of a request at a host. Returns whether the reference bucket of the
    /// team had a token for the request.
    pub(crate) fn record_arrival(&mut self, team: Option<usize>, now_us: u64) -> bool {
        team.is_none_or(|it| self.arrival_buckets[it].try_take(now_us))
    }

    /// Records an offered operation.
    pub(crate) fn record_offered(&mut self, service: usize) {
        self.offered[service] += 1;
    }

    /// Records a further attempt of a request.
    pub(crate) fn record_retry(&mut self) {
        self.retries += 1;
    }

    /// Records a refusal. `ran` marks a refusal with outcome `not-run` of a request that ran.
    pub(crate) fn record_refusal(&mut self, refusal: &Refusal, within_rate: bool, ran: bool) {
        *self.refusals.entry(refusal.reason.to_string()).or_default() += 1;
        self.refused_within_rate +=
            u64::from(within_rate && refusal.reason == RefusalReason::TeamRate);
        self.measurements.record_violations(Requirement::NotRunTruth, u64::from(ran));
    }

    /// Records the end of an operation.
    pub(crate) fn record_end(&mut self, op: &Operation, outcome: OperationOutcome, now_us: u64) {
        self.outcomes[op.service][outcome as usize] += 1;
        if let Some(team) = op.team {
            self.ended_and_done_by_team[team][0] += 1;
            self.ended_and_done_by_team[team][1] += u64::from(outcome == OperationOutcome::Done);
        }
        if outcome != OperationOutcome::Done {
            return;
        }
        let latency_us = (now_us - op.started_us).clamp(1, MAX_LATENCY_US);
        self.latency_us[op.service].saturating_record(latency_us);
        if let Some(team) = op.team {
            self.team_latency_us[op.service][team].saturating_record(latency_us);
        }
        let second = (now_us.saturating_sub(self.measure_start_us) / 1_000_000) as usize;
        if let Some(it) = self.latencies_by_second_us.get_mut(second) {
            it[op.service].push(latency_us);
        }
    }

    /// Records the revocation of a team's first key.
    pub(crate) fn record_revocation(&mut self, team: usize, now_us: u64) {
        self.revocations.push((team, now_us, now_us));
    }

    /// Records the crash of an instance by a poison request.
    pub(crate) fn record_poison_crash(&mut self) {
        self.poison_crashes += 1;
    }

    /// Records requests that still ran at the deadline of a graceful shutdown.
    pub(crate) fn record_shutdown_cuts(&mut self, count: u64) {
        self.measurements.record_violations(Requirement::GracefulShutdown, count);
    }
}

impl World {
    /// Returns the time since which a host could have received the newest configuration: 0 if the
    /// host has received it, `None` if the host does not run or could not receive it at the last
    /// sample, or if there was no sample since the change.
    fn update_available_since_us(&self, host: usize) -> Option<u64> {
        let version = self.hosts[host].process.as_ref()?.policy.snapshot().version.0;
        if version >= self.operator.config_version {
            return Some(0);
        }
        self.hosts[host].outdated_since_us
    }

    /// Records the start of an execution and checks the requirements on it.
    pub(crate) fn record_execution(
        &mut self,
        instance: usize,
        execution: ExecutionIndex,
        spoilt: bool,
    ) {
        let now_us = self.clock.now_us();
        let attempt = &self.executions[execution];
        let (host, id) = (attempt.from.host, attempt.request);
        let request = &self.requests[id];
        let op = &self.callers.ops[request.op];
        let available_since_us = self.update_available_since_us(host);
        let mut violated = Vec::new();
        if request.reported_not_run {
            violated.push(Requirement::NotRunTruth);
        }
        let team = op.team;
        if let Some((attempt, _, sent_us)) = &request.current_attempt {
            if attempt.team.map(|it| usize::from(it.0)) != team {
                violated.push(Requirement::TeamIsolation);
            }
            let zone = kingcupford_config::ZoneId(self.hosts[host].zone as u16);
            let host_region = self.snapshot.region_of(zone);
            if let Some(process) = &self.hosts[host].process {
                let mut shifts = process.policy.snapshot().active_shifts();
                let shift = shifts.find(|(_, it)| {
                    it.service == attempt.service
                        && it.from == host_region
                        && it.to == attempt.region
                });
                if let Some((shift_id, _)) = shift {
                    self.observer.shifted_at_us.entry(shift_id.0).or_default().push(*sent_us);
                }
            }
        }
        for (revoked_team, since_us, last_use_us) in &mut self.observer.revocations {
            if team == Some(*revoked_team) && op.key_index == 0 && op.poison_fault.is_none() {
                *last_use_us = now_us;
                let limit_us =
                    available_since_us.map(|it| it.max(*since_us) + CHANGE_PROPAGATION_LIMIT_US);
                if limit_us.is_some_and(|it| now_us > it) {
                    violated.push(Requirement::RevokedKey);
                }
            }
        }
        if let Some(since_us) = self.observer.drained_since_us[instance] {
            let limit_us =
                available_since_us.map(|it| it.max(since_us) + CHANGE_PROPAGATION_LIMIT_US);
            if limit_us.is_some_and(|it| now_us > it) {
                violated.push(Requirement::DrainedUpstream);
            }
        }
        let upstream = &self.upstreams[instance];
        for rollout in &mut self.observer.rollouts {
            if rollout.service != upstream.service || rollout.ended.is_some() {
                continue;
            }
            rollout.service_requests += 1;
            if rollout.version != upstream.version {
                continue;
            }
            rollout.requests += 1;
            rollout.last_request_us = now_us;
            if spoilt {
                rollout.spoilt += 1;
                rollout.first_spoilt_us.get_or_insert(now_us);
            }
            if rollout.spoilt >= EVIDENT_FAULT_REQUESTS {
                let evident_since_us = *rollout.evident_since_us.get_or_insert(now_us);
                if rollout.is_bad && now_us > evident_since_us + BAD_VERSION_STOP_LIMIT_US {
                    violated.push(Requirement::BadVersion);
                }
            }
        }
        for requirement in violated {
            self.observer.measurements.record_violations(requirement, 1);
        }
    }

    /// Compares the requests in a region with its slots, after a request arrived at an instance.
    pub(crate) fn check_region_load(&mut self, instance: usize) {
        let now_us = self.clock.now_us();
        let (service, region) = (self.upstreams[instance].service, self.upstreams[instance].region);
        let active = self.snapshot.services[ServiceId(service as u16)].active_version;
        let rollout_version = self.observer.rollouts.iter().find(|it| it.service == service);
        let rollout_version = rollout_version.map(|it| it.version);
        let (mut slots, mut load) = (0, 0);
        for it in &self.upstreams {
            if it.service == service && it.region == region {
                let has_traffic =
                    it.version == active.0 as usize || Some(it.version) == rollout_version;
                slots += if has_traffic { it.slots } else { 0 };
                load += it.load();
            }
        }
        if let Some((limit, since_us)) = self.observer.region_limits.get(&(service, region))
            && now_us > since_us + REGION_LIMIT_GRACE_US
        {
            slots = slots.min(*limit);
        }
        if load > slots {
            self.observer.measurements.record_violations(Requirement::RegionOverload, 1);
        }
    }

    /// Updates the drained instances and region limits after a change by operators or instances.
    pub(crate) fn update_drains(&mut self) {
        let now_us = self.clock.now_us();
        let declarations = self.operator.declarations();
        let preset = declarations.presets.iter().find(|it| it.name == self.operator.preset());
        let Some(preset) = preset else { return };
        let mut limits = BTreeMap::new();
        for limit in &preset.region_limits {
            let service = self.snapshot.services.id(&limit.service);
            let region = self.snapshot.regions.id(&limit.region);
            if let (Some(ServiceId(service)), Some(RegionId(region))) = (service, region) {
                let key = (usize::from(service), usize::from(region));
                limits.insert(key, (limit.max_in_flight as usize, now_us));
            }
        }
        for (index, (id, declared)) in self.snapshot.instances.iter().enumerate() {
            let is_drained = preset.drains.iter().any(|it| match it.target {
                DrainTarget::Region => self.snapshot.regions[declared.region].name == it.name,
                DrainTarget::Zone => self.snapshot.zones[declared.zone].name == it.name,
                DrainTarget::Site => self.snapshot.sites[declared.site].name == it.name,
                DrainTarget::Instance => declared.name == it.name,
                DrainTarget::Host => false,
            });
            let is_drained = is_drained || self.upstreams[index].draining_since_us.is_some();
            let since_us = &mut self.observer.drained_since_us[id.0 as usize];
            *since_us = if is_drained { since_us.or(Some(now_us)) } else { None };
        }
        self.observer.region_limits = limits;
    }

    /// Records the time that a drain took if the instance has no more requests.
    pub(crate) fn record_drain_end(&mut self, instance: usize) {
        if self.upstreams[instance].load() > 0 {
            return;
        }
        if let Some(since_us) = self.observer.drained_since_us[instance] {
            let drain_us = self.clock.now_us() - since_us;
            self.observer.max_drain_us = self.observer.max_drain_us.max(Some(drain_us));
        }
    }

    /// Records the start of a rollout.
    pub(crate) fn record_rollout_start(
        &mut self,
        service: &str,
        to: &str,
        deadline_s: f64,
        is_bad: bool,
    ) {
        let now_us = self.clock.now_us();
        let service_id = self.snapshot.services.id(service);
        let version = self.version_index(service, to);
        let (Some(service_id), Some(version)) = (service_id, version) else { return };
        self.observer.rollouts.push(ObservedRollout {
            service: usize::from(service_id.0),
            service_name: service.to_owned(),
            version,
            started_us: now_us,
            deadline_us: now_us + (deadline_s * 1e6) as u64,
            is_bad,
            requests: 0,
            spoilt: 0,
            service_requests: 0,
            first_spoilt_us: None,
            evident_since_us: None,
            last_request_us: now_us,
            ended: None,
        });
    }

    /// Records the end of rollouts whose objects are in a final state.
    pub(crate) fn record_rollout_ends(&mut self) {
        let now_us = self.clock.now_us();
        for observed in &mut self.observer.rollouts {
            let object = self.platform.object(&format!("rollout/{}", observed.service_name));
            let rollout = object.and_then(|it| serde_json::from_slice::<Rollout>(&it.bytes).ok());
            if let Some(rollout) = rollout.filter(|it| it.state.is_final()) {
                observed.ended.get_or_insert((now_us, rollout.state == State::Done));
            }
        }
    }

    /// Counts a violation for each bad version that spoilt too large a fraction of the requests.
    pub(crate) fn check_bad_versions(&mut self) {
        for rollout in &self.observer.rollouts {
            let fraction = rollout.spoilt as f64 / rollout.service_requests.max(1) as f64;
            if rollout.is_bad && fraction > MAX_SPOILT_FRACTION {
                self.observer.measurements.record_violations(Requirement::BadVersion, 1);
            }
        }
    }

    /// Checks that the configurations of hosts do not revert and become active in time.
    pub(crate) fn check_configs(&mut self) {
        let now_us = self.clock.now_us();
        let newest = self.operator.config_version;
        let has_update_path = self.hosts_with_update_path();
        for (index, has_update_path) in has_update_path.into_iter().enumerate() {
            let host = &mut self.hosts[index];
            let version = host.process.as_ref().map(|it| it.policy.snapshot().version.0);
            let last_sample = &mut self.observer.host_versions[index];
            if last_sample.0 != host.generation {
                *last_sample = (host.generation, 0, 0);
            }
            let Some(version) = version else { continue };
            if version < last_sample.1 {
                self.observer.measurements.record_violations(Requirement::ConfigReverted, 1);
            }
            last_sample.1 = version;
            if version >= newest || !has_update_path {
                host.outdated_since_us = None;
                continue;
            }
            let since_us = *host.outdated_since_us.get_or_insert(now_us);
            if now_us > since_us + CONFIG_ACTIVATION_LIMIT_US && last_sample.2 < newest {
                last_sample.2 = newest;
                self.observer.measurements.record_violations(Requirement::ConfigReverted, 1);
            }
        }
    }

    /// Returns for each host whether it can receive the newest configuration: the host runs, and it
    /// reaches the platform, has the newest configuration, or reaches such a host over any number
    /// of hosts. Under the baseline, hosts do not exchange configurations.
    fn hosts_with_update_path(&self) -> Vec<bool> {
        let is_running =
            |host: usize| self.hosts[host].process.is_some() && !self.hosts[host].is_paused;
        let version = |host: usize| {
            self.hosts[host].process.as_ref().map_or(0, |it| it.policy.snapshot().version.0)
        };
        let reaches_platform = |host: usize| {
            self.platform.is_up() && self.network.reaches_platform(self.hosts[host].zone)
        };
        let mut res: Vec<bool> = (0..self.hosts.len())
            .map(|host| {
                is_running(host)
                    && (reaches_platform(host) || version(host) >= self.operator.config_version)
            })
            .collect();
        if self.policy_kind == crate::world::PolicyKind::Baseline {
            return res;
        }
        loop {
            let next: Vec<bool> = (0..self.hosts.len())
                .map(|host| {
                    let zone = self.hosts[host].zone;
                    let is_connected =
                        |it: usize| self.network.are_connected(zone, self.hosts[it].zone);
                    res[host]
                        || is_running(host) && (0..res.len()).any(|it| res[it] && is_connected(it))
                })
                .collect();
            if next == res {
                return res;
            }
            res = next;
        }
    }
}
