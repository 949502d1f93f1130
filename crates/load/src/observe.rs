//! What truly happened, as the fakes see it.

use std::{collections::BTreeMap, sync::Arc};

use hdrhistogram::Histogram;
use kingcupford_config::{DrainTarget, RegionId, ServiceId, Snapshot};
use kingcupford_engine::{Refusal, RefusalReason};
use kingcupford_rollout::{Rollout, State};
use kingcupford_scenario::{Measurements, Requirement, Scenario};

use crate::{
    caller::{Op, OpEnd},
    reference::Bucket,
    upstream::ExecutionId,
    world::World,
};

/// Time after its acceptance in which a revocation or a drain reaches every connected host.
const REACH_US: u64 = 5_000_000;

/// Time after its acceptance in which a configuration is active on every connected host.
const CONFIG_US: u64 = 6_000_000;

/// Time in which a preset's limit may be exceeded by requests that ran before the switch.
const LIMIT_GRACE_US: u64 = 10_000_000;

/// Faulty answers of a bad version by which its fault shows.
const SHOWN_FAULTS: u64 = 30;

/// Time after its fault shows in which a bad version still gets requests.
const STOP_US: u64 = 10_000_000;

/// Largest part of a service's requests that a bad version may spoil.
const MAX_SPOILT: f64 = 0.05;

/// Longest latency that is told apart.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Counts and times of one side of a run.
#[derive(Debug)]
pub(crate) struct Observer {
    /// Violations and figures so far.
    pub(crate) side: Measurements,
    /// Start of the measured time.
    pub(crate) measured_us: u64,
    /// Reference bucket of each tenant over arriving requests.
    arrivals: Vec<Bucket>,
    /// Refusals by reason.
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Refusals for the tenant's rate although the reference bucket had a token.
    pub(crate) refused_within_rate: u64,
    /// Attempts beyond the first ones.
    pub(crate) retries: u64,
    /// Offered operations by service.
    pub(crate) offered: Vec<u64>,
    /// Ended operations by service and end: done, failed, not run, unknown.
    pub(crate) ends: Vec<[u64; 4]>,
    /// Ended operations and done ones by tenant.
    pub(crate) by_tenant: Vec<[u64; 2]>,
    /// Latency of done operations by service.
    pub(crate) latency: Vec<Histogram<u64>>,
    /// The same by service and tenant.
    pub(crate) tenant_latency: Vec<Vec<Histogram<u64>>>,
    /// The same by second and service.
    pub(crate) latency_over_time: Vec<Vec<Vec<u64>>>,
    /// When requests were sent over each shift, by its key, while it was active at the host.
    pub(crate) shifted: BTreeMap<u16, Vec<u64>>,
    /// Revocations: tenant, time, and the last execution with the key.
    pub(crate) revoked: Vec<(usize, u64, u64)>,
    /// Since when each instance is drained.
    drained: Vec<Option<u64>>,
    /// Longest time from a drain to the end of the last request.
    pub(crate) drain_us: Option<u64>,
    /// Limits of presets by service and region, with the time since when they hold.
    limits: BTreeMap<(usize, usize), (usize, u64)>,
    /// Instances that a poison request crashed.
    pub(crate) lost_instances: u64,
    /// Last seen start and version of each host, and the newest version that it had late.
    versions: Vec<(u32, u64, u64)>,
    /// Rollouts.
    pub(crate) rollouts: Vec<RolloutSeen>,
}

/// What is seen of a rollout.
#[derive(Debug)]
pub(crate) struct RolloutSeen {
    /// The service.
    service: usize,
    /// Name of the service.
    name: String,
    /// The new version.
    version: usize,
    /// When it started.
    started_us: u64,
    /// When it must have ended.
    deadline_us: u64,
    /// Whether the new version is bad.
    pub(crate) is_bad: bool,
    /// Requests on the new version.
    pub(crate) requests: u64,
    /// Those that its fault spoilt.
    pub(crate) spoilt: u64,
    /// Requests of the service since the start.
    pub(crate) all: u64,
    /// When its fault first showed.
    pub(crate) first_us: Option<u64>,
    /// When enough faults had shown.
    shown_us: Option<u64>,
    /// The last request on the new version.
    pub(crate) last_us: u64,
    /// When it ended, and whether the new version replaced the old one.
    pub(crate) ended: Option<(u64, bool)>,
}

impl RolloutSeen {
    /// Time from the start to the end in seconds.
    pub(crate) fn time_s(&self) -> Option<f64> {
        self.ended.map(|it| (it.0 - self.started_us) as f64 / 1e6)
    }

    /// Whether it ended before its deadline.
    pub(crate) fn is_in_time(&self) -> bool {
        self.ended.is_some_and(|it| it.0 <= self.deadline_us)
    }
}

impl Observer {
    /// Nothing seen so far.
    pub(crate) fn new(scenario: &Scenario, snapshot: &Arc<Snapshot>, measured_us: u64) -> Self {
        let services = snapshot.services.slot_count();
        let tenants = snapshot.tenants.slot_count();
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid");
        let seconds = scenario.duration_s.ceil() as usize + 6;
        let buckets = snapshot.tenants.iter().map(|(_, it)| Bucket::new(it.rate_per_s, it.burst));
        Self {
            side: Measurements::new(),
            measured_us,
            arrivals: buckets.collect(),
            refusals: BTreeMap::new(),
            refused_within_rate: 0,
            retries: 0,
            offered: vec![0; services],
            ends: vec![[0; 4]; services],
            by_tenant: vec![[0; 2]; tenants],
            latency: (0..services).map(|_| histogram()).collect(),
            tenant_latency: (0..services)
                .map(|_| (0..tenants).map(|_| histogram()).collect())
                .collect(),
            latency_over_time: vec![vec![Vec::new(); services]; seconds],
            shifted: BTreeMap::new(),
            revoked: Vec::new(),
            drained: vec![None; snapshot.instances.slot_count()],
            drain_us: None,
            limits: BTreeMap::new(),
            lost_instances: 0,
            versions: vec![(0, 0, 0); scenario.entry_hosts as usize],
            rollouts: Vec::new(),
        }
    }

    /// A request reached a host; whether its tenant's reference bucket has a token for it.
    pub(crate) fn arrived(&mut self, tenant: Option<usize>, now_us: u64) -> bool {
        tenant.is_none_or(|it| self.arrivals[it].take(now_us))
    }

    /// A request was offered.
    pub(crate) fn offered(&mut self, service: usize) {
        self.offered[service] += 1;
    }

    /// A request went to a further instance.
    pub(crate) fn retried(&mut self) {
        self.retries += 1;
    }

    /// A host refused or failed a request; `ran` when it said `not-run` about one that ran.
    pub(crate) fn refused(&mut self, refusal: &Refusal, within_rate: bool, ran: bool) {
        *self.refusals.entry(refusal.reason.to_string()).or_default() += 1;
        self.refused_within_rate +=
            u64::from(within_rate && refusal.reason == RefusalReason::TenantRate);
        self.side.record_violations(Requirement::NotRunTruth, u64::from(ran));
    }

    /// An operation ended.
    pub(crate) fn ended(&mut self, op: &Op, end: OpEnd, now_us: u64) {
        self.ends[op.service][end as usize] += 1;
        if let Some(tenant) = op.tenant {
            self.by_tenant[tenant][0] += 1;
            self.by_tenant[tenant][1] += u64::from(end == OpEnd::Done);
        }
        if end != OpEnd::Done {
            return;
        }
        let latency_us = (now_us - op.started_us).clamp(1, MAX_LATENCY_US);
        self.latency[op.service].saturating_record(latency_us);
        if let Some(tenant) = op.tenant {
            self.tenant_latency[op.service][tenant].saturating_record(latency_us);
        }
        let second = (now_us.saturating_sub(self.measured_us) / 1_000_000) as usize;
        if let Some(it) = self.latency_over_time.get_mut(second) {
            it[op.service].push(latency_us);
        }
    }

    /// A tenant's first key was revoked.
    pub(crate) fn revoked(&mut self, tenant: usize, now_us: u64) {
        self.revoked.push((tenant, now_us, now_us));
    }

    /// A poison request crashed an instance.
    pub(crate) fn lost_to_poison(&mut self) {
        self.lost_instances += 1;
    }

    /// A graceful shutdown ended with requests that still ran.
    pub(crate) fn cut_by_shutdown(&mut self, count: u64) {
        self.side.record_violations(Requirement::GracefulShutdown, count);
    }
}

impl World {
    /// Since when a host could know the newest configuration, `None` when it could not.
    fn informed_since(&self, host: usize) -> Option<u64> {
        let version = self.hosts[host].process.as_ref()?.policy.snapshot().version.0;
        if version >= self.operator.version {
            return Some(0);
        }
        self.hosts[host].behind_since_us
    }

    /// A request begins to run.
    pub(crate) fn observe_execution(
        &mut self,
        instance: usize,
        execution: ExecutionId,
        spoilt: bool,
    ) {
        let now_us = self.clock.now_us();
        let attempt = &self.executions[execution];
        let (host, id) = (attempt.from.host, attempt.sending);
        let sending = &self.sendings[id];
        let op = &self.callers.ops[sending.op];
        let informed = self.informed_since(host);
        let mut violated = Vec::new();
        if sending.told_not_run {
            violated.push(Requirement::NotRunTruth);
        }
        let tenant = op.tenant;
        if let Some((attempt, _, sent_us)) = &sending.attempt {
            if attempt.tenant.map(|it| usize::from(it.0)) != tenant {
                violated.push(Requirement::TenantIsolation);
            }
            let zone = kingcupford_config::ZoneId(self.hosts[host].zone as u16);
            let home = self.snapshot.region_of(zone);
            if let Some(process) = &self.hosts[host].process {
                let mut shifts = process.policy.snapshot().active_shifts();
                let shift = shifts.find(|(_, it)| {
                    it.service == attempt.service && it.from == home && it.to == attempt.region
                });
                if let Some((key, _)) = shift {
                    self.observer.shifted.entry(key.0).or_default().push(*sent_us);
                }
            }
        }
        for (revoked, since_us, last_us) in &mut self.observer.revoked {
            if tenant == Some(*revoked) && op.key == 0 && op.poison.is_none() {
                *last_us = now_us;
                let reached = informed.map(|it| it.max(*since_us) + REACH_US);
                if reached.is_some_and(|it| now_us > it) {
                    violated.push(Requirement::RevokedKey);
                }
            }
        }
        if let Some(since_us) = self.observer.drained[instance] {
            let reached = informed.map(|it| it.max(since_us) + REACH_US);
            if reached.is_some_and(|it| now_us > it) {
                violated.push(Requirement::DrainedUpstream);
            }
        }
        let upstream = &self.upstreams[instance];
        for rollout in &mut self.observer.rollouts {
            if rollout.service != upstream.service || rollout.ended.is_some() {
                continue;
            }
            rollout.all += 1;
            if rollout.version != upstream.version {
                continue;
            }
            rollout.requests += 1;
            rollout.last_us = now_us;
            if spoilt {
                rollout.spoilt += 1;
                rollout.first_us.get_or_insert(now_us);
            }
            if rollout.spoilt >= SHOWN_FAULTS {
                let shown_us = *rollout.shown_us.get_or_insert(now_us);
                if rollout.is_bad && now_us > shown_us + STOP_US {
                    violated.push(Requirement::BadVersion);
                }
            }
        }
        for requirement in violated {
            self.observer.side.record_violations(requirement, 1);
        }
    }

    /// A request reached an instance: compares its region's requests with the region's slots.
    pub(crate) fn observe_region(&mut self, instance: usize) {
        let now_us = self.clock.now_us();
        let (service, region) = (self.upstreams[instance].service, self.upstreams[instance].region);
        let active = self.snapshot.services[ServiceId(service as u16)].active_version;
        let opened = self.observer.rollouts.iter().find(|it| it.service == service);
        let opened = opened.map(|it| it.version);
        let (mut slots, mut load) = (0, 0);
        for it in &self.upstreams {
            if it.service == service && it.region == region {
                let counts = it.version == active.0 as usize || Some(it.version) == opened;
                slots += if counts { it.slots } else { 0 };
                load += it.load();
            }
        }
        if let Some((limit, since_us)) = self.observer.limits.get(&(service, region))
            && now_us > since_us + LIMIT_GRACE_US
        {
            slots = slots.min(*limit);
        }
        if load > slots {
            self.observer.side.record_violations(Requirement::RegionOverload, 1);
        }
    }

    /// Operators changed drains or presets.
    pub(crate) fn observe_drains(&mut self) {
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
        for (at, (id, declared)) in self.snapshot.instances.iter().enumerate() {
            let is_drained = preset.drains.iter().any(|it| match it.target {
                DrainTarget::Region => self.snapshot.regions[declared.region].name == it.name,
                DrainTarget::Zone => self.snapshot.zones[declared.zone].name == it.name,
                DrainTarget::Site => self.snapshot.sites[declared.site].name == it.name,
                DrainTarget::Instance => declared.name == it.name,
                DrainTarget::Host => false,
            });
            let is_drained = is_drained || self.upstreams[at].drains_since_us.is_some();
            let since = &mut self.observer.drained[id.0 as usize];
            *since = if is_drained { since.or(Some(now_us)) } else { None };
        }
        self.observer.limits = limits;
    }

    /// A request ended at an instance, perhaps the last one of a drain.
    pub(crate) fn observe_drain(&mut self, instance: usize) {
        if self.upstreams[instance].load() > 0 {
            return;
        }
        if let Some(since_us) = self.observer.drained[instance] {
            let took_us = self.clock.now_us() - since_us;
            self.observer.drain_us = self.observer.drain_us.max(Some(took_us));
        }
    }

    /// A rollout starts.
    pub(crate) fn observe_rollout_start(
        &mut self,
        service: &str,
        to: &str,
        deadline_s: f64,
        is_bad: bool,
    ) {
        let now_us = self.clock.now_us();
        let service_key = self.snapshot.services.id(service);
        let version = self.version_key(service, to);
        let (Some(ServiceId(key)), Some(version)) = (service_key, version) else { return };
        self.observer.rollouts.push(RolloutSeen {
            service: usize::from(key),
            name: service.to_owned(),
            version,
            started_us: now_us,
            deadline_us: now_us + (deadline_s * 1e6) as u64,
            is_bad,
            requests: 0,
            spoilt: 0,
            all: 0,
            first_us: None,
            shown_us: None,
            last_us: now_us,
            ended: None,
        });
    }

    /// A rollout's object changed.
    pub(crate) fn observe_rollout(&mut self) {
        let now_us = self.clock.now_us();
        for seen in &mut self.observer.rollouts {
            let object = self.platform.object(&format!("rollout/{}", seen.name));
            let rollout = object.and_then(|it| serde_json::from_slice::<Rollout>(&it.bytes).ok());
            if let Some(rollout) = rollout.filter(|it| it.state.is_final()) {
                seen.ended.get_or_insert((now_us, rollout.state == State::Done));
            }
        }
    }

    /// Judges bad versions by the part of the requests that they spoilt.
    pub(crate) fn observe_spoilt(&mut self) {
        for seen in &self.observer.rollouts {
            let share = seen.spoilt as f64 / seen.all.max(1) as f64;
            if seen.is_bad && share > MAX_SPOILT {
                self.observer.side.record_violations(Requirement::BadVersion, 1);
            }
        }
    }

    /// Compares the hosts' configurations with the accepted one.
    pub(crate) fn observe_config(&mut self) {
        let now_us = self.clock.now_us();
        let newest = self.operator.version;
        let informed = self.informed_hosts();
        for (at, is_informed) in informed.into_iter().enumerate() {
            let host = &mut self.hosts[at];
            let version = host.process.as_ref().map(|it| it.policy.snapshot().version.0);
            let seen = &mut self.observer.versions[at];
            if seen.0 != host.start {
                *seen = (host.start, 0, 0);
            }
            let Some(version) = version else { continue };
            if version < seen.1 {
                self.observer.side.record_violations(Requirement::ConfigReverted, 1);
            }
            seen.1 = version;
            if version >= newest || !is_informed {
                host.behind_since_us = None;
                continue;
            }
            let since_us = *host.behind_since_us.get_or_insert(now_us);
            if now_us > since_us + CONFIG_US && seen.2 < newest {
                seen.2 = newest;
                self.observer.side.record_violations(Requirement::ConfigReverted, 1);
            }
        }
    }

    /// Hosts that reach the platform, or another host that has the newest configuration or
    /// reaches the platform, over any number of hosts.
    fn informed_hosts(&self) -> Vec<bool> {
        let runs = |at: usize| self.hosts[at].process.is_some() && !self.hosts[at].paused;
        let version = |at: usize| {
            self.hosts[at].process.as_ref().map_or(0, |it| it.policy.snapshot().version.0)
        };
        let hears =
            |at: usize| self.platform.is_up() && self.network.hears_platform(self.hosts[at].zone);
        let mut res: Vec<bool> = (0..self.hosts.len())
            .map(|at| runs(at) && (hears(at) || version(at) >= self.operator.version))
            .collect();
        if self.side == crate::world::Side::Baseline {
            return res;
        }
        loop {
            let next: Vec<bool> = (0..self.hosts.len())
                .map(|at| {
                    let zone = self.hosts[at].zone;
                    let linked = |it: usize| self.network.connected(zone, self.hosts[it].zone);
                    res[at] || runs(at) && (0..res.len()).any(|it| res[it] && linked(it))
                })
                .collect();
            if next == res {
                return res;
            }
            res = next;
        }
    }
}
