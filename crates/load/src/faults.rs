//! Faults and changes of a scenario as they happen to the deployment.

use kingcupford_engine::{Engine, EngineSettings};
use kingcupford_fleet::HostIdentity;
use kingcupford_scenario::FaultKind;
use rand::Rng as _;

use crate::{
    baseline::Baseline,
    event::{Event, HostIndex, Process, SendingResult, ShutdownPhase},
    host::HostProcess,
    policy::Policy,
    world::{Side, World},
};

/// Time between the end of a replaced host's process and the start of the next one.
const REPLACE_US: u64 = 1_000_000;

/// Time in which a draining host still answers, as in the entry process.
const DRAIN_NOTICE_US: u64 = 3_000_000;

/// Longest time of a graceful shutdown, as in the entry process.
const SHUTDOWN_DEADLINE_US: u64 = 60_000_000;

/// Time in which a host hands its share back, as in the entry process.
const HAND_BACK_US: u64 = 1_000_000;

/// Time between two checks of a shutdown.
const SHUTDOWN_CHECK_US: u64 = 20_000;

/// Time after which operators try a refused change again.
const OPERATOR_RETRY_US: u64 = 500_000;

impl World {
    /// A fault begins.
    pub(crate) fn fault_begins(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let what = &scenario.faults[fault].what;
        if self.needs_platform(what) && !self.platform.is_up() {
            let event = Event::OperatorRetries { fault, ends: false };
            return self.clock.after(OPERATOR_RETRY_US, event);
        }
        match what {
            FaultKind::HostCrash { host } => self.each_host(host, Self::crash_host),
            FaultKind::HostPause { host } => {
                self.each_host(host, |world, host| world.hosts[host].paused = true);
            }
            FaultKind::AllHosts => (0..self.hosts.len()).for_each(|it| self.crash_host(it)),
            FaultKind::RollingReplacement { .. } => self.replace(fault, 0),
            FaultKind::Partition { zones, from, platform } => {
                let side = self.zone_keys(zones);
                let mut other = self.zone_keys(from);
                if from.is_empty() {
                    let all = 0..self.snapshot.zones.slot_count();
                    other = all.filter(|it| !side.contains(it)).collect();
                }
                self.network.cut(fault, side, other, *platform);
            }
            FaultKind::PlatformPartition { zones } => {
                let side = self.zone_keys(zones);
                self.network.cut(fault, side, Vec::new(), true);
            }
            FaultKind::PlatformOutage => {
                self.platform.outages.push(fault);
                self.break_watches();
            }
            FaultKind::PlatformSlow { delay_ms } => {
                self.platform.delays.push((fault, delay_ms * 1000));
            }
            FaultKind::PlatformLostAnswers { percent } => {
                self.platform.losses.push((fault, *percent));
            }
            FaultKind::RegionLoss { region } => {
                let Some(region) = self.snapshot.regions.id(region) else { return };
                let zones = self.snapshot.regions[region].zones.iter();
                let zones = zones.map(|it| usize::from(it.0)).collect();
                // Before the processes end, so that no broken connection tells of it.
                self.network.lose(fault, zones);
                for host in self.hosts_in(usize::from(region.0)) {
                    self.crash_host(host);
                }
                for instance in self.instances_in(usize::from(region.0)) {
                    self.crash_instance(instance);
                }
            }
            FaultKind::InstanceCrash { instance } => {
                self.each_instance(instance, Self::crash_instance);
            }
            FaultKind::InstanceSlow { instance, factor } => {
                self.each_instance(instance, |world, it| world.upstreams[it].slow_factor = *factor);
            }
            FaultKind::InstanceDrains { instance } => {
                let now_us = self.clock.now_us();
                self.each_instance(instance, |world, it| {
                    world.upstreams[it].drains_since_us = Some(now_us);
                });
                self.observe_drains();
            }
            FaultKind::Poison { .. } => self.send_poison(fault),
            FaultKind::KeyRevoked { tenant } => self.revoke_key(tenant),
            FaultKind::Rollout { service, to, deadline_s, fault: wrong } => {
                let now_us = self.clock.now_us();
                if let (Some(wrong), Some(version)) = (wrong, self.version_key(service, to)) {
                    let since_us = now_us + (wrong.after_s * 1e6) as u64;
                    for upstream in self.upstreams.iter_mut().filter(|it| it.version == version) {
                        upstream.fault = Some((wrong.clone(), since_us));
                    }
                }
                self.observe_rollout_start(service, to, *deadline_s, wrong.is_some());
                self.start_rollout(service, to, *deadline_s);
            }
            FaultKind::Drain { target } => self.set_drain(target, true),
            FaultKind::Preset { name } => self.set_preset(fault, Some(name)),
        }
    }

    /// A fault ends.
    pub(crate) fn fault_ends(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let what = &scenario.faults[fault].what;
        if self.needs_platform(what) && !self.platform.is_up() {
            let event = Event::OperatorRetries { fault, ends: true };
            return self.clock.after(OPERATOR_RETRY_US, event);
        }
        match what {
            FaultKind::HostCrash { host } => self.each_host(host, Self::host_starts),
            FaultKind::HostPause { host } => self.each_host(host, Self::resume_host),
            FaultKind::AllHosts => (0..self.hosts.len()).for_each(|it| self.host_starts(it)),
            FaultKind::Partition { .. } | FaultKind::PlatformPartition { .. } => {
                self.network.heal(fault);
            }
            FaultKind::PlatformOutage => self.platform.outages.retain(|it| *it != fault),
            FaultKind::PlatformSlow { .. } => self.platform.delays.retain(|it| it.0 != fault),
            FaultKind::PlatformLostAnswers { .. } => {
                self.platform.losses.retain(|it| it.0 != fault);
            }
            FaultKind::RegionLoss { region } => {
                let Some(region) = self.snapshot.regions.id(region) else { return };
                self.network.heal(fault);
                for host in self.hosts_in(usize::from(region.0)) {
                    self.host_starts(host);
                }
                for instance in self.instances_in(usize::from(region.0)) {
                    self.instance_starts(instance);
                }
            }
            FaultKind::InstanceCrash { instance } => {
                self.each_instance(instance, Self::instance_starts);
            }
            FaultKind::InstanceSlow { instance, .. } => {
                self.each_instance(instance, |world, it| world.upstreams[it].slow_factor = 1.0);
            }
            FaultKind::InstanceDrains { instance } => {
                self.each_instance(instance, |world, it| {
                    world.upstreams[it].drains_since_us = None;
                });
                self.observe_drains();
            }
            FaultKind::Drain { target } => self.set_drain(target, false),
            FaultKind::Preset { .. } => self.set_preset(fault, None),
            FaultKind::RollingReplacement { .. }
            | FaultKind::Poison { .. }
            | FaultKind::KeyRevoked { .. }
            | FaultKind::Rollout { .. } => {}
        }
    }

    /// Whether operators need the platform for a change.
    fn needs_platform(&self, what: &FaultKind) -> bool {
        matches!(
            what,
            FaultKind::KeyRevoked { .. }
                | FaultKind::Rollout { .. }
                | FaultKind::Drain { .. }
                | FaultKind::Preset { .. }
        )
    }

    /// Replaces a host gracefully, then the next one.
    pub(crate) fn replace(&mut self, fault: usize, host: HostIndex) {
        if host >= self.hosts.len() {
            return;
        }
        let to = self.process_name(host);
        let now = self.clock.now();
        let Some(process) = self.process(host) else {
            return self.clock.after(0, Event::Replace { fault, host: host + 1 });
        };
        if let Some(engine) = process.policy.engine() {
            engine.set_draining(now);
            engine.start_handover(now);
        }
        let cut_us = self.clock.now_us() + SHUTDOWN_DEADLINE_US;
        let phase = ShutdownPhase::Notice;
        // A host of the baseline tells nobody, so that it closes its listener at once.
        let notice_us = if self.side == Side::System { DRAIN_NOTICE_US } else { 0 };
        self.clock.after(notice_us, Event::Shutdown { to, phase, fault, cut_us });
    }

    /// Takes the next step of a graceful shutdown.
    pub(crate) fn shutdown(
        &mut self,
        to: Process,
        phase: ShutdownPhase,
        fault: usize,
        cut_us: u64,
    ) {
        let now_us = self.clock.now_us();
        let Some(process) = self.process(to.host) else { return };
        match phase {
            ShutdownPhase::Notice => {
                process.listens = false;
                let phase = ShutdownPhase::Finish;
                self.clock.after(0, Event::Shutdown { to, phase, fault, cut_us });
            }
            ShutdownPhase::Finish if process.policy.in_flight() > 0 && now_us < cut_us => {
                self.clock.after(SHUTDOWN_CHECK_US, Event::Shutdown { to, phase, fault, cut_us });
            }
            ShutdownPhase::Finish => {
                let cut = process.policy.in_flight() as u64;
                self.observer.cut_by_shutdown(cut);
                let phase = ShutdownPhase::HandBack;
                let cut_us = now_us + HAND_BACK_US;
                self.clock.after(0, Event::Shutdown { to, phase, fault, cut_us });
            }
            ShutdownPhase::HandBack => {
                let has_left = process.policy.engine().is_none_or(|it| it.is_handover_complete());
                if !has_left && now_us < cut_us {
                    let event = Event::Shutdown { to, phase, fault, cut_us };
                    return self.clock.after(SHUTDOWN_CHECK_US, event);
                }
                let host = to.host;
                self.crash_host(host);
                self.clock.after(REPLACE_US, Event::HostStarts { host });
                let FaultKind::RollingReplacement { pause_s } = self.scenario.faults[fault].what
                else {
                    return;
                };
                let pause_us = REPLACE_US + (pause_s * 1e6) as u64;
                self.clock.after(pause_us, Event::Replace { fault, host: host + 1 });
            }
        }
    }

    /// A host's process dies; the connections of its callers break.
    pub(crate) fn crash_host(&mut self, host: HostIndex) {
        let Some(process) = self.hosts[host].process.take() else { return };
        self.hosts[host].deferred.clear();
        self.hosts[host].paused = false;
        let host_zone = self.hosts[host].zone;
        for sending in process.open {
            let state = &mut self.sendings[sending];
            if std::mem::replace(&mut state.closed, true) {
                continue;
            }
            if let Some((_, execution, _)) = state.attempt.take() {
                let zone = self.upstreams[self.executions[execution].instance].zone;
                if self.network.connected(host_zone, zone) {
                    let way_us = self.network.latency_us(host_zone, zone);
                    self.clock.after(way_us, Event::ExecutionCancelled { execution });
                }
            }
            let caller_zone = self.callers.ops[state.op].zone;
            if !self.network.reaches(caller_zone, host_zone) {
                continue;
            }
            let way_us = self.network.client_us(caller_zone, host_zone);
            let result = SendingResult::Broken;
            self.clock.after(way_us, Event::AtCaller { sending, result });
        }
        // Peers notice the broken connections.
        let zones: Vec<usize> = self.hosts.iter().map(|it| it.zone).collect();
        for (peer, zone) in zones.into_iter().enumerate().filter(|it| it.0 != host) {
            if self.network.connected(zone, host_zone) {
                let to = self.process_name(peer);
                let way_us = self.network.latency_us(host_zone, zone);
                self.clock.after(way_us, Event::StreamFailed { to, peer: host });
            }
        }
    }

    /// A host's process starts.
    pub(crate) fn host_starts(&mut self, host: HostIndex) {
        if self.hosts[host].process.is_some() {
            return;
        }
        let now = self.clock.now();
        let policy = match self.side {
            Side::System => {
                let seeds = (0..self.hosts.len()).filter(|it| *it != host);
                let seeds = seeds.map(|it| self.candidate(it)).collect();
                let own = self.candidate(host);
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
            Side::Baseline => {
                let hosts = self.hosts.len() as u32;
                Policy::Baseline(Box::new(Baseline::new(hosts, host * 2, now)))
            }
        };
        self.hosts[host].start += 1;
        self.hosts[host].behind_since_us = None;
        self.hosts[host].process = Some(HostProcess::new(policy));
        let to = self.process_name(host);
        self.begin_control(to);
    }

    /// A paused process goes on.
    fn resume_host(&mut self, host: HostIndex) {
        self.hosts[host].paused = false;
        for event in std::mem::take(&mut self.hosts[host].deferred) {
            self.clock.after(0, event);
        }
    }

    /// Does something to a host by its name.
    fn each_host(&mut self, name: &str, act: impl Fn(&mut Self, HostIndex)) {
        if let Some(host) = self.hosts.iter().position(|it| it.name == name) {
            act(self, host);
        }
    }

    /// Does something to an instance by its name.
    fn each_instance(&mut self, name: &str, act: impl Fn(&mut Self, usize)) {
        if let Some(instance) = self.upstreams.iter().position(|it| it.name == name) {
            act(self, instance);
        }
    }

    /// Keys of zones by name.
    fn zone_keys(&self, names: &[String]) -> Vec<usize> {
        let keys = names.iter().filter_map(|it| self.snapshot.zones.id(it));
        keys.map(|it| usize::from(it.0)).collect()
    }

    /// Hosts of a region.
    fn hosts_in(&self, region: usize) -> Vec<HostIndex> {
        let zone = |it: usize| kingcupford_config::ZoneId(it as u16);
        let in_region = |it: &usize| {
            usize::from(self.snapshot.region_of(zone(self.hosts[*it].zone)).0) == region
        };
        (0..self.hosts.len()).filter(in_region).collect()
    }

    /// Instances of a region.
    fn instances_in(&self, region: usize) -> Vec<usize> {
        (0..self.upstreams.len()).filter(|it| self.upstreams[*it].region == region).collect()
    }
}
