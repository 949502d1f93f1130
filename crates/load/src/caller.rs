//! Callers: demand over time, lookups with caching, and what they do with refusals.

mod answer;

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use kingcupford_config::{Declarations, ServiceId, Snapshot, TenantId};
use kingcupford_engine::{LookupAnswer, LookupQuery, PresentedKey, RequestHead};
use kingcupford_scenario::{Demand, FaultKind, Scenario};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    event::{Event, HostIndex, OpId, Process, SendingResult},
    forward::Sending,
    world::{Side, World},
};

/// Time after which a caller counts a silent connection attempt as failed.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

/// Lookups of one operation before it fails.
const MAX_LOOKUPS: u32 = 6;

/// Hosts that one operation tries before it fails.
const MAX_SENDINGS: u32 = 8;

/// Pause before a request goes to the next host or is sent again.
const REPEAT_US: u64 = 100_000;

/// Time that a caller waits beyond the route's limit for a request that it may not repeat.
const EXTRA_PATIENCE_US: u64 = 1_000_000;

/// Zone, network, service and tenant of the callers that share a lookup answer.
type CacheKey = (usize, u32, usize, Option<usize>);

/// All callers.
#[derive(Debug)]
pub(crate) struct Callers {
    /// Randomness of demand, the same for both sides of a run.
    rng: SmallRng,
    /// Operations.
    pub(crate) ops: Vec<Op>,
    /// Lookup answers.
    cache: BTreeMap<CacheKey, Cached>,
    /// First host of the next operation of the baseline.
    turn: usize,
    /// First three octets of a client network by zone.
    networks: Vec<[u8; 2]>,
}

/// A lookup answer that a caller keeps.
#[derive(Debug, Clone)]
struct Cached {
    /// End of its validity.
    until_us: u64,
    /// Hosts with their bindings.
    hosts: Vec<(HostIndex, Option<String>)>,
}

/// Something that a caller wants done.
#[derive(Debug)]
pub(crate) struct Op {
    /// The tenant, `None` on open routes.
    pub(crate) tenant: Option<usize>,
    /// The service.
    pub(crate) service: usize,
    /// HTTP method.
    method: String,
    /// Path behind the service segment.
    pub(crate) path: String,
    /// Length of the body.
    body_bytes: u64,
    /// Zone of the caller.
    pub(crate) zone: usize,
    /// Network of the caller in its zone.
    network: u32,
    /// Which of its tenant's keys it shows.
    pub(crate) key: usize,
    /// Whether it may be repeated.
    pub(crate) idempotent: bool,
    /// Longest time for the request.
    timeout_us: u64,
    /// When it began.
    pub(crate) started_us: u64,
    /// Times that it ran.
    pub(crate) executions: u32,
    /// How it ended.
    pub(crate) end: Option<OpEnd>,
    /// Repeats that are left.
    repeats: u32,
    /// Lookups so far.
    lookups: u32,
    /// Sendings so far.
    sendings: u32,
    /// Hosts to try, with their bindings.
    hosts: Vec<(HostIndex, Option<String>)>,
    /// The next of them.
    next: usize,
    /// Its request id.
    request_id: Option<String>,
    /// Whether an earlier sending may have run.
    uncertain: bool,
    /// Whether the caller resends requests whose outcome is unknown.
    resends: bool,
    /// Whether it resends them to another host.
    resends_elsewhere: bool,
    /// The fault that makes it crash instances.
    pub(crate) poison: Option<usize>,
    /// Time until an instance that it crashed runs again.
    pub(crate) poison_restart_us: u64,
}

/// How an operation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpEnd {
    /// It was executed and answered.
    Done,
    /// It was answered with a server error.
    Failed,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Callers {
    /// Callers without operations.
    pub(crate) fn new(
        _scenario: &Scenario,
        declarations: &Declarations,
        snapshot: &Arc<Snapshot>,
        seed: u64,
    ) -> Self {
        let network = |zone: usize| {
            let sites = &declarations.sites;
            let in_zone = |site: &String| {
                let site = sites.iter().find(|it| it.name == *site);
                let zone_key = site.and_then(|it| snapshot.zones.id(&it.zone));
                zone_key.is_some_and(|it| usize::from(it.0) == zone)
            };
            let v4 = declarations.blocks.iter().filter(|it| in_zone(&it.site));
            let first = v4.filter_map(|it| match it.cidr.network() {
                IpAddr::V4(it) => Some(it.octets()),
                IpAddr::V6(_) => None,
            });
            first.map(|it| [it[0], it[1]]).next().unwrap_or([192, 168])
        };
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0xca11),
            ops: Vec::new(),
            cache: BTreeMap::new(),
            turn: 0,
            networks: (0..snapshot.zones.slot_count()).map(network).collect(),
        }
    }

    /// Address of a caller.
    fn address(&self, zone: usize, network: u32) -> IpAddr {
        let [a, b] = self.networks[zone];
        IpAddr::from([a, b, network as u8, 7])
    }
}

impl World {
    /// Schedules the first operation of each demand.
    pub(crate) fn begin_demand(&mut self) {
        for (demand, declared) in self.scenario.clone().demand.iter().enumerate() {
            let tenants: Vec<usize> = match declared.tenants.as_slice() {
                [] => self.snapshot.tenants.iter().map(|it| usize::from(it.0.0)).collect(),
                names => {
                    let keys = names.iter().filter_map(|it| self.snapshot.tenants.id(it));
                    keys.map(|it| usize::from(it.0)).collect()
                }
            };
            for tenant in tenants {
                self.schedule_demand(demand, declared, tenant, self.measured_us);
            }
        }
    }

    /// Schedules the next operation of a demand after a time.
    fn schedule_demand(&mut self, demand: usize, declared: &Demand, tenant: usize, from_us: u64) {
        let scale = self.demand_scale(declared, tenant);
        let max_per_s = declared.max_rate() * scale;
        if max_per_s <= 0.0 {
            return;
        }
        let mut at_us = from_us;
        loop {
            let gap_s = -(1.0 - self.callers.rng.random::<f64>()).ln() / max_per_s;
            at_us += (gap_s * 1e6) as u64 + 1;
            if at_us >= self.end_us {
                return;
            }
            let at_s = (at_us - self.measured_us) as f64 / 1e6;
            let share = declared.rate_at(at_s) * scale / max_per_s;
            if self.callers.rng.random::<f64>() < share {
                self.clock.at(at_us, Event::Demand { demand, tenant });
                return;
            }
        }
    }

    /// Requests per second for one unit of a demand's points.
    fn demand_scale(&self, demand: &Demand, tenant: usize) -> f64 {
        match demand.of_tenant_rate {
            true => self.snapshot.tenants[TenantId(tenant as u16)].rate_per_s,
            false => 1.0,
        }
    }

    /// A demand produces an operation.
    pub(crate) fn demand(&mut self, demand: usize, tenant: usize) {
        let scenario = self.scenario.clone();
        let declared = &scenario.demand[demand];
        let now_us = self.clock.now_us();
        self.schedule_demand(demand, declared, tenant, now_us);
        let zone = self.caller_zone(declared);
        let rng = &mut self.callers.rng;
        let network = rng.random_range(0..scenario.callers.networks_per_zone);
        let path = format!("{}/{}", declared.path.trim_end_matches('/'), rng.random::<u32>());
        let resends = rng.random::<f64>() * 100.0 < scenario.callers.resend_percent;
        let resends_elsewhere = rng.random::<bool>();
        let op = self.new_op(&declared.service, &declared.method, &path, Some(tenant));
        let Some(op) = op else { return };
        let body_bytes = declared.body_bytes;
        self.callers.ops.push(Op { zone, network, key: network as usize % 2, ..op });
        let id = self.callers.ops.len() - 1;
        let op = &mut self.callers.ops[id];
        op.body_bytes = body_bytes;
        op.resends = resends;
        op.resends_elsewhere = resends_elsewhere;
        self.observer.offered(op.service);
        self.send(id);
    }

    /// An operation without a caller.
    fn new_op(&self, service: &str, method: &str, path: &str, tenant: Option<usize>) -> Option<Op> {
        let service = self.snapshot.services.id(service)?;
        let route = self.snapshot.route(service, method, path)?;
        let route = &self.snapshot.routes[route];
        Some(Op {
            tenant: tenant.filter(|_| !route.open),
            service: usize::from(service.0),
            method: method.to_owned(),
            path: path.to_owned(),
            body_bytes: 0,
            zone: 0,
            network: 0,
            key: 0,
            idempotent: route.idempotent,
            timeout_us: route.timeout_ms * 1000,
            started_us: self.clock.now_us(),
            executions: 0,
            end: None,
            repeats: self.scenario.callers.repeats,
            lookups: 0,
            sendings: 0,
            hosts: Vec::new(),
            next: 0,
            request_id: None,
            uncertain: false,
            resends: false,
            resends_elsewhere: false,
            poison: None,
            poison_restart_us: 0,
        })
    }

    /// Sends a poison request, the same one each time, to the caller's hosts in turn.
    pub(crate) fn send_poison(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let declared = &scenario.faults[fault];
        let FaultKind::Poison { service, tenant, method, path, every_ms, restart_s } =
            &declared.what
        else {
            return;
        };
        let now_us = self.clock.now_us();
        let until_s = declared.until_s.unwrap_or(scenario.duration_s);
        if now_us >= self.measured_us + (until_s * 1e6) as u64 {
            return;
        }
        self.clock.after(every_ms * 1000, Event::Poison { fault });
        let tenant = self.snapshot.tenants.id(tenant).map(|it| usize::from(it.0));
        let Some(op) = self.new_op(service, method, path, tenant) else { return };
        let sent = self.callers.ops.iter().filter(|it| it.poison.is_some()).count();
        let poison_restart_us = (restart_s * 1e6) as u64;
        self.callers.ops.push(Op {
            body_bytes: 512,
            next: sent,
            poison: Some(fault),
            poison_restart_us,
            ..op
        });
        self.send(self.callers.ops.len() - 1);
    }

    /// Zone of a demand's next caller.
    fn caller_zone(&mut self, demand: &Demand) -> usize {
        if demand.zones.is_empty() {
            return self.callers.rng.random_range(0..self.snapshot.zones.slot_count());
        }
        let total: f64 = demand.zones.iter().map(|it| it.weight).sum();
        let mut at = self.callers.rng.random::<f64>() * total;
        let last = &demand.zones[demand.zones.len() - 1];
        let chosen = demand.zones.iter().find(|it| {
            at -= it.weight;
            at < 0.0
        });
        let zone = self.snapshot.zones.id(&chosen.unwrap_or(last).zone);
        zone.map_or(0, |it| usize::from(it.0))
    }

    /// Sends an operation to its next host, after a lookup when it knows none.
    pub(crate) fn send(&mut self, id: OpId) {
        let now_us = self.clock.now_us();
        if self.callers.ops[id].end.is_some() {
            return;
        }
        if self.side == Side::Baseline && self.callers.ops[id].hosts.is_empty() {
            self.callers.turn += 1;
            let (turn, count) = (self.callers.turn, self.hosts.len());
            self.callers.ops[id].hosts = (0..count).map(|it| ((it + turn) % count, None)).collect();
        }
        let op = &self.callers.ops[id];
        let key = (op.zone, op.network, op.service, op.tenant);
        if op.hosts.is_empty() {
            match self.callers.cache.get(&key) {
                Some(it) if it.until_us > now_us => {
                    let hosts = it.hosts.clone();
                    let op = &mut self.callers.ops[id];
                    op.next %= hosts.len().max(1);
                    op.hosts = hosts;
                }
                _ => return self.ask(id),
            }
        }
        let op = &mut self.callers.ops[id];
        let Some((host, binding)) = op.hosts.get(op.next).cloned() else {
            // Every named host failed, so the answer is outdated.
            self.callers.cache.remove(&key);
            op.hosts.clear();
            op.next = 0;
            return self.ask(id);
        };
        op.sendings += 1;
        if op.sendings > MAX_SENDINGS {
            let end = if op.uncertain { OpEnd::Unknown } else { OpEnd::NotRun };
            return self.end_op(id, end);
        }
        if !op.idempotent && op.request_id.is_none() {
            op.request_id = binding.map(|it| format!("{it}.{id}"));
        }
        self.dispatch(id, host);
    }

    /// Puts a request on its way to a host.
    fn dispatch(&mut self, id: OpId, host: HostIndex) {
        let to = self.process_name(host);
        let op = &self.callers.ops[id];
        let key = match op.tenant {
            Some(tenant) => PresentedKey::Key(self.operator.key(tenant, op.key).clone()),
            None => PresentedKey::Missing,
        };
        let head = RequestHead {
            service: self.snapshot.services[ServiceId(op.service as u16)].name.clone(),
            method: op.method.clone(),
            path: op.path.clone(),
            client: self.callers.address(op.zone, op.network),
            key,
            request_id: op.request_id.clone(),
            content_length: Some(op.body_bytes),
            first_bytes: Vec::new(),
            timeout: None,
            arrived: self.clock.now(),
        };
        let sending = self.sendings.len();
        self.sendings.push(Sending {
            op: id,
            to,
            head,
            arrived_us: 0,
            admitted_us: 0,
            within_rate: false,
            ticket: None,
            waited: false,
            attempts: 0,
            attempt: None,
            executions: 0,
            told_not_run: false,
            closed: false,
            settled: false,
        });
        let host_zone = self.hosts[host].zone;
        if !self.network.reaches(op.zone, host_zone) {
            let result = SendingResult::NotSent;
            self.clock.after(CONNECT_TIMEOUT_US, Event::AtCaller { sending, result });
            return;
        }
        let patience_us = match op.idempotent {
            true => self.scenario.callers.patience_ms * 1000,
            false => op.timeout_us + EXTRA_PATIENCE_US,
        };
        let way_us = self.network.client_us(op.zone, host_zone);
        self.clock.after(way_us, Event::AtHost { to, sending });
        self.clock.after(patience_us, Event::CallerGivesUp { sending });
    }

    /// Asks a host which hosts to use.
    fn ask(&mut self, id: OpId) {
        let op = &mut self.callers.ops[id];
        op.lookups += 1;
        if op.lookups > MAX_LOOKUPS {
            let end = if op.uncertain { OpEnd::Unknown } else { OpEnd::NotRun };
            return self.end_op(id, end);
        }
        let (zone, tries) = (op.zone, op.lookups as usize - 1);
        // Callers know all hosts by name and ask the nearest first.
        let mut nearest: Vec<HostIndex> = (0..self.hosts.len()).collect();
        nearest.sort_by_key(|it| self.network.latency_us(zone, self.hosts[*it].zone));
        let host = nearest[tries % nearest.len()];
        let host_zone = self.hosts[host].zone;
        if !self.network.reaches(zone, host_zone) {
            let event = Event::LookupAnswered { op: id, answer: None };
            self.clock.after(CONNECT_TIMEOUT_US, event);
            return;
        }
        let to = self.process_name(host);
        let way_us = self.network.client_us(zone, host_zone);
        self.clock.after(way_us, Event::LookupAtHost { to, op: id });
    }

    /// A lookup reaches a host.
    pub(crate) fn lookup(&mut self, to: Process, id: OpId) {
        let now = self.clock.now();
        let op = &self.callers.ops[id];
        let service = self.snapshot.services[ServiceId(op.service as u16)].name.clone();
        let client = self.callers.address(op.zone, op.network);
        let tenant = op.tenant.map(|it| TenantId(it as u16));
        let query = LookupQuery { service, client, tenant };
        let zone = op.zone;
        let host_zone = self.hosts[to.host].zone;
        let Some(process) = self.process(to.host) else { return };
        let answer = if process.listens { process.policy.lookup(&query, now) } else { None };
        let way_us = self.network.client_us(zone, host_zone);
        self.clock.after(way_us, Event::LookupAnswered { op: id, answer });
    }

    /// A lookup's answer reaches its caller.
    pub(crate) fn looked_up(&mut self, id: OpId, answer: Option<LookupAnswer>) {
        let op = &mut self.callers.ops[id];
        if let Some(answer) = answer.filter(|it| !it.hosts.is_empty()) {
            let host = |name: &str| self.hosts.iter().position(|it| it.name == name);
            let hosts = answer.hosts.into_iter();
            let hosts: Vec<_> =
                hosts.filter_map(|it| Some((host(&it.name)?, it.binding))).collect();
            let ttl_us = answer.ttl.as_micros() as u64;
            let until_us = self.clock.now_us() + ttl_us;
            let key = (op.zone, op.network, op.service, op.tenant);
            op.next %= hosts.len().max(1);
            op.hosts.clone_from(&hosts);
            self.callers.cache.insert(key, Cached { until_us, hosts });
            return self.send(id);
        }
        self.clock.after(REPEAT_US, Event::Repeat { op: id });
    }
}
