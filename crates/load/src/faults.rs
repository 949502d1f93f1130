//! Application of a scenario's faults and changes to the simulated deployment.

use kingcupford_engine::{Engine, EngineSettings};
use kingcupford_fleet::HostIdentity;
use kingcupford_scenario::FaultKind;
use rand::Rng as _;

use crate::{
    baseline::Baseline,
    event::{Event, HostIndex, ProcessId, RequestResult, ShutdownPhase},
    host::HostProcess,
    policy::Policy,
    world::{PolicyKind, World},
};

/// Time between the end of a replaced host's process and its restart.
const HOST_RESTART_DELAY_US: u64 = 1_000_000;

/// Time in which a draining host still accepts requests, as in the entry process.
const DRAIN_NOTICE_US: u64 = 3_000_000;

/// Time after which a graceful shutdown stops waiting for requests, as in the entry process.
const SHUTDOWN_DEADLINE_US: u64 = 60_000_000;

/// Time for handing shares over at the end of a shutdown, as in the entry process.
const HANDOVER_TIMEOUT_US: u64 = 1_000_000;

const SHUTDOWN_CHECK_INTERVAL_US: u64 = 20_000;

/// Delay before operators retry a change that the platform did not accept.
const OPERATOR_RETRY_DELAY_US: u64 = 500_000;

impl World {
    /// Starts a fault or change.
    pub(crate) fn begin_fault(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let what = &scenario.faults[fault].what;
        if self.needs_platform(what) && !self.platform.is_up() {
            let event = Event::OperatorRetryDue { fault, is_end: false };
            return self.clock.after(OPERATOR_RETRY_DELAY_US, event);
        }
        match what {
            FaultKind::HostCrash { host } => self.with_host(host, Self::crash_host),
            FaultKind::HostPause { host } => {
                self.with_host(host, |world, host| world.hosts[host].is_paused = true);
            }
            FaultKind::AllHosts => (0..self.hosts.len()).for_each(|it| self.crash_host(it)),
            FaultKind::RollingReplacement { .. } => self.replace_host(fault, 0),
            FaultKind::Partition { zones, from, platform } => {
                let side = self.zone_indices(zones);
                let mut other = self.zone_indices(from);
                if from.is_empty() {
                    let all = 0..self.snapshot.zones.slot_count();
                    other = all.filter(|it| !side.contains(it)).collect();
                }
                self.network.add_partition(fault, side, other, *platform);
            }
            FaultKind::PlatformPartition { zones } => {
                let side = self.zone_indices(zones);
                self.network.add_partition(fault, side, Vec::new(), true);
            }
            FaultKind::PlatformOutage => {
                self.platform.outages.push(fault);
                self.break_watches();
            }
            FaultKind::PlatformSlow { delay_ms } => {
                self.platform.delays_us.push((fault, delay_ms * 1000));
            }
            FaultKind::PlatformLostAnswers { percent } => {
                self.platform.lost_answer_percents.push((fault, *percent));
            }
            FaultKind::RegionLoss { region } => {
                let Some(region) = self.snapshot.regions.id(region) else { return };
                let zones = self.snapshot.regions[region].zones.iter();
                let zones = zones.map(|it| usize::from(it.0)).collect();
                // Zones are cut off before their processes crash, so that no peer notices a broken
                // connection.
                self.network.add_zone_loss(fault, zones);
                for host in self.hosts_in_region(usize::from(region.0)) {
                    self.crash_host(host);
                }
                for instance in self.instances_in_region(usize::from(region.0)) {
                    self.crash_instance(instance);
                }
            }
            FaultKind::InstanceCrash { instance } => {
                self.with_instance(instance, Self::crash_instance);
            }
            FaultKind::InstanceSlow { instance, factor } => {
                self.with_instance(instance, |world, it| world.upstreams[it].slow_factor = *factor);
            }
            FaultKind::InstanceDrains { instance } => {
                let now_us = self.clock.now_us();
                self.with_instance(instance, |world, it| {
                    world.upstreams[it].draining_since_us = Some(now_us);
                });
                self.update_drains();
            }
            FaultKind::Poison { .. } => self.send_poison(fault),
            FaultKind::KeyRevoked { team } => self.revoke_key(team),
            FaultKind::Rollout { service, to, deadline_s, fault: version_fault } => {
                let now_us = self.clock.now_us();
                if let (Some(version_fault), Some(version)) =
                    (version_fault, self.version_index(service, to))
                {
                    let since_us = now_us + (version_fault.after_s * 1e6) as u64;
                    for upstream in self.upstreams.iter_mut().filter(|it| it.version == version) {
                        upstream.version_fault = Some((version_fault.clone(), since_us));
                    }
                }
                self.record_rollout_start(service, to, *deadline_s, version_fault.is_some());
                self.start_rollout(service, to, *deadline_s);
            }
            FaultKind::Drain { target } => self.set_drain(target, true),
            FaultKind::Preset { name } => self.set_preset(fault, Some(name)),
        }
    }

    /// Ends a fault, or reverts a change.
    pub(crate) fn end_fault(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let what = &scenario.faults[fault].what;
        if self.needs_platform(what) && !self.platform.is_up() {
            let event = Event::OperatorRetryDue { fault, is_end: true };
            return self.clock.after(OPERATOR_RETRY_DELAY_US, event);
        }
        match what {
            FaultKind::HostCrash { host } => self.with_host(host, Self::start_host),
            FaultKind::HostPause { host } => self.with_host(host, Self::resume_host),
            FaultKind::AllHosts => (0..self.hosts.len()).for_each(|it| self.start_host(it)),
            FaultKind::Partition { .. } | FaultKind::PlatformPartition { .. } => {
                self.network.remove_fault(fault);
            }
            FaultKind::PlatformOutage => self.platform.outages.retain(|it| *it != fault),
            FaultKind::PlatformSlow { .. } => self.platform.delays_us.retain(|it| it.0 != fault),
            FaultKind::PlatformLostAnswers { .. } => {
                self.platform.lost_answer_percents.retain(|it| it.0 != fault);
            }
            FaultKind::RegionLoss { region } => {
                let Some(region) = self.snapshot.regions.id(region) else { return };
                self.network.remove_fault(fault);
                for host in self.hosts_in_region(usize::from(region.0)) {
                    self.start_host(host);
                }
                for instance in self.instances_in_region(usize::from(region.0)) {
                    self.start_instance(instance);
                }
            }
            FaultKind::InstanceCrash { instance } => {
                self.with_instance(instance, Self::start_instance);
            }
            FaultKind::InstanceSlow { instance, .. } => {
                self.with_instance(instance, |world, it| world.upstreams[it].slow_factor = 1.0);
            }
            FaultKind::InstanceDrains { instance } => {
                self.with_instance(instance, |world, it| {
                    world.upstreams[it].draining_since_us = None;
                });
                self.update_drains();
            }
            FaultKind::Drain { target } => self.set_drain(target, false),
            FaultKind::Preset { .. } => self.set_preset(fault, None),
            FaultKind::RollingReplacement { .. }
            | FaultKind::Poison { .. }
            | FaultKind::KeyRevoked { .. }
            | FaultKind::Rollout { .. } => {}
        }
    }

    /// Whether a change needs the platform.
    fn needs_platform(&self, what: &FaultKind) -> bool {
        matches!(
            what,
            FaultKind::KeyRevoked { .. }
                | FaultKind::Rollout { .. }
                | FaultKind::Drain { .. }
                | FaultKind::Preset { .. }
        )
    }

    /// Starts the graceful shutdown of the next host of a rolling replacement. A host without a
    /// process is skipped.
    pub(crate) fn replace_host(&mut self, fault: usize, host: HostIndex) {
        if host >= self.hosts.len() {
            return;
        }
        let to = self.process_id(host);
        let now = self.clock.now();
        let Some(process) = self.process_mut(host) else {
            return self.clock.after(0, Event::ReplacementDue { fault, host: host + 1 });
        };
        if let Some(engine) = process.policy.engine() {
            engine.set_draining(now);
            engine.start_handover(now);
        }
        let deadline_us = self.clock.now_us() + SHUTDOWN_DEADLINE_US;
        let phase = ShutdownPhase::DrainNotice;
        // The baseline answers no lookups that could stop returning the host, so it closes its
        // listener at once.
        let notice_us = if self.policy_kind == PolicyKind::System { DRAIN_NOTICE_US } else { 0 };
        self.clock.after(notice_us, Event::ShutdownStepDue { to, phase, fault, deadline_us });
    }

    /// Advances a graceful shutdown, and schedules the restart and the next replacement at its end.
    pub(crate) fn advance_shutdown(
        &mut self,
        to: ProcessId,
        phase: ShutdownPhase,
        fault: usize,
        deadline_us: u64,
    ) {
        let now_us = self.clock.now_us();
        let Some(process) = self.process_mut(to.host) else { return };
        match phase {
            ShutdownPhase::DrainNotice => {
                process.is_listening = false;
                let phase = ShutdownPhase::FinishRequests;
                self.clock.after(0, Event::ShutdownStepDue { to, phase, fault, deadline_us });
            }
            ShutdownPhase::FinishRequests
                if process.policy.in_flight() > 0 && now_us < deadline_us =>
            {
                self.clock.after(
                    SHUTDOWN_CHECK_INTERVAL_US,
                    Event::ShutdownStepDue { to, phase, fault, deadline_us },
                );
            }
            ShutdownPhase::FinishRequests => {
                let cut = process.policy.in_flight() as u64;
                self.observer.record_shutdown_cuts(cut);
                let phase = ShutdownPhase::Handover;
                let deadline_us = now_us + HANDOVER_TIMEOUT_US;
                self.clock.after(0, Event::ShutdownStepDue { to, phase, fault, deadline_us });
            }
            ShutdownPhase::Handover => {
                let is_handed_over =
                    process.policy.engine().is_none_or(|it| it.is_handover_complete());
                if !is_handed_over && now_us < deadline_us {
                    let event = Event::ShutdownStepDue { to, phase, fault, deadline_us };
                    return self.clock.after(SHUTDOWN_CHECK_INTERVAL_US, event);
                }
                let host = to.host;
                self.crash_host(host);
                self.clock.after(HOST_RESTART_DELAY_US, Event::HostStartDue { host });
                let FaultKind::RollingReplacement { pause_s } = self.scenario.faults[fault].what
                else {
                    return;
                };
                let pause_us = HOST_RESTART_DELAY_US + (pause_s * 1e6) as u64;
                self.clock.after(pause_us, Event::ReplacementDue { fault, host: host + 1 });
            }
        }
    }

    /// Crashes the process of a host, which breaks its connections.
    pub(crate) fn crash_host(&mut self, host: HostIndex) {
        let Some(process) = self.hosts[host].process.take() else { return };
        self.hosts[host].deferred_events.clear();
        self.hosts[host].is_paused = false;
        let host_zone = self.hosts[host].zone;
        for request in process.open_requests {
            let state = &mut self.requests[request];
            if std::mem::replace(&mut state.is_closed, true) {
                continue;
            }
            if let Some((_, execution, _)) = state.current_attempt.take() {
                let zone = self.upstreams[self.executions[execution].instance].zone;
                if self.network.are_connected(host_zone, zone) {
                    let latency_us = self.network.latency_us(host_zone, zone);
                    self.clock.after(latency_us, Event::ExecutionCancelled { execution });
                }
            }
            let caller_zone = self.callers.ops[state.op].zone;
            if !self.network.caller_reaches(caller_zone, host_zone) {
                continue;
            }
            let latency_us = self.network.caller_latency_us(caller_zone, host_zone);
            let result = RequestResult::ConnectionLost;
            self.clock.after(latency_us, Event::ResultArrived { request, result });
        }
        // Connected peers notice the broken connections.
        let zones: Vec<usize> = self.hosts.iter().map(|it| it.zone).collect();
        for (peer, zone) in zones.into_iter().enumerate().filter(|it| it.0 != host) {
            if self.network.are_connected(zone, host_zone) {
                let to = self.process_id(peer);
                let latency_us = self.network.latency_us(host_zone, zone);
                self.clock.after(latency_us, Event::StreamFailed { to, peer: host });
            }
        }
    }

    /// Starts the process of a host, unless it runs.
    pub(crate) fn start_host(&mut self, host: HostIndex) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let now = self.clock.now();
        let policy = match self.policy_kind {
            PolicyKind::System => {
                let seeds = (0..self.hosts.len()).filter(|it| *it != host);
                let seeds = seeds.map(|it| self.listed_host(it)).collect();
                let own = self.listed_host(host);
                let identity = HostIdentity {
                    name: own.name,
                    zone: own.zone,
                    incarnation: self.clock.unix_ms(),
                    peer_address: own.peer_address,
                    public_addresses: own.public_addresses,
                };
                let settings = EngineSettings { seeds, ..EngineSettings::default() };
                let seed = self.rng.random();
                Policy::System(Box::new(Engine::new(identity, settings, seed, now)))
            }
            PolicyKind::Baseline => {
                let hosts = self.hosts.len() as u32;
                Policy::Baseline(Box::new(Baseline::new(hosts, host * 2, now)))
            }
        };
        self.hosts[host].generation += 1;
        self.hosts[host].outdated_since_us = None;
        self.hosts[host].process = Some(HostProcess::new(policy));
        let to = self.process_id(host);
        self.start_control_loops(to);
    }

    /// Resumes a paused process and handles its deferred events.
    fn resume_host(&mut self, host: HostIndex) {
        self.hosts[host].is_paused = false;
        for event in std::mem::take(&mut self.hosts[host].deferred_events) {
            self.clock.after(0, event);
        }
    }

    /// Applies a function to the host with a name.
    fn with_host(&mut self, name: &str, apply: impl Fn(&mut Self, HostIndex)) {
        if let Some(host) = self.hosts.iter().position(|it| it.name == name) {
            apply(self, host);
        }
    }

    /// Applies a function to the instance with a name.
    fn with_instance(&mut self, name: &str, apply: impl Fn(&mut Self, usize)) {
        if let Some(instance) = self.upstreams.iter().position(|it| it.name == name) {
            apply(self, instance);
        }
    }

    /// Returns the indices of zones by name.
    fn zone_indices(&self, names: &[String]) -> Vec<usize> {
        let ids = names.iter().filter_map(|it| self.snapshot.zones.id(it));
        ids.map(|it| usize::from(it.0)).collect()
    }

    /// Returns the hosts in a region.
    fn hosts_in_region(&self, region: usize) -> Vec<HostIndex> {
        let zone = |it: usize| kingcupford_config::ZoneId(it as u16);
        let in_region = |it: &usize| {
            usize::from(self.snapshot.region_of(zone(self.hosts[*it].zone)).0) == region
        };
        (0..self.hosts.len()).filter(in_region).collect()
    }

    /// Returns the instances in a region.
    fn instances_in_region(&self, region: usize) -> Vec<usize> {
        (0..self.upstreams.len()).filter(|it| self.upstreams[*it].region == region).collect()
    }
}
