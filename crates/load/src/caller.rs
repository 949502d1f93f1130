//! Simulated callers: demand over time, cached lookups, and requests to hosts.

mod answer;

use std::{collections::BTreeMap, net::IpAddr, sync::Arc};

use kingcupford_config::{Declarations, ServiceId, Snapshot, TeamId};
use kingcupford_engine::{LookupAnswer, LookupQuery, PresentedKey, RequestHead};
use kingcupford_scenario::{Demand, FaultKind, Scenario};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};

use crate::{
    event::{Event, HostIndex, OperationIndex, ProcessId, RequestResult},
    forward::Request,
    world::{PolicyKind, World},
};

/// Connection timeout of a caller.
const CONNECT_TIMEOUT_US: u64 = 1_000_000;

const MAX_LOOKUPS_PER_OPERATION: u32 = 6;

const MAX_REQUESTS_PER_OPERATION: u32 = 8;

/// Delay before a failed lookup is repeated, or a request with unknown outcome is sent again.
const RESEND_DELAY_US: u64 = 100_000;

/// Time beyond the route's timeout for which a caller waits for a request that is not idempotent.
const NON_IDEMPOTENT_TIMEOUT_MARGIN_US: u64 = 1_000_000;

/// Zone, client network, service and team of the callers that share a lookup answer.
type LookupCacheKey = (usize, u32, usize, Option<usize>);

/// State of all callers.
#[derive(Debug)]
pub(crate) struct Callers {
    /// Random generator of demand, seeded equally for the system and the baseline.
    rng: SmallRng,
    pub(crate) ops: Vec<Operation>,
    lookup_cache: BTreeMap<LookupCacheKey, CachedLookup>,
    /// Round-robin counter of first hosts, for operations under the baseline.
    first_host_counter: usize,
    /// First two octets of the client addresses by zone.
    network_prefixes: Vec<[u8; 2]>,
}

/// Cached lookup answer.
#[derive(Debug, Clone)]
struct CachedLookup {
    valid_until_us: u64,
    hosts: Vec<(HostIndex, Option<String>)>,
}

/// Operation of a caller, carried out by one or more requests to hosts.
#[derive(Debug)]
pub(crate) struct Operation {
    /// Index of the team, `None` on open routes.
    pub(crate) team: Option<usize>,
    pub(crate) service: usize,
    method: String,
    /// Request path after the service segment.
    pub(crate) path: String,
    body_bytes: u64,
    pub(crate) zone: usize,
    /// Client network of the caller within its zone.
    network: u32,
    /// Index of the presented key among the keys of the team.
    pub(crate) key_index: usize,
    pub(crate) idempotent: bool,
    /// Timeout of the route.
    timeout_us: u64,
    pub(crate) started_us: u64,
    /// Number of executions at instances, over all requests of the operation.
    pub(crate) execution_count: u32,
    pub(crate) outcome: Option<OperationOutcome>,
    repeats_left: u32,
    lookup_count: u32,
    request_count: u32,
    /// Hosts to try in order, with their request id bindings.
    hosts: Vec<(HostIndex, Option<String>)>,
    /// Index in `hosts` of the next host to try.
    next_host: usize,
    request_id: Option<String>,
    /// Whether an earlier request of the operation may have run.
    may_have_run: bool,
    /// Whether the caller resends requests with unknown outcome.
    resends_unknown: bool,
    /// Whether requests with unknown outcome are resent to another host.
    resends_elsewhere: bool,
    /// Index of the fault that declares this operation as a poison request.
    pub(crate) poison_fault: Option<usize>,
    /// Time until an instance that the operation crashed has restarted.
    pub(crate) poison_restart_us: u64,
}

/// Outcome of an operation for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OperationOutcome {
    /// The operation was executed and answered.
    Done,
    /// The operation was answered with a server error.
    Failed,
    /// The operation certainly did not run.
    NotRun,
    /// The operation may have run.
    Unknown,
}

impl Callers {
    /// Creates callers without operations. The callers of a zone have addresses in the first IPv4
    /// block declared for the zone, or in 192.168.0.0/16 if there is none.
    pub(crate) fn new(
        _scenario: &Scenario,
        declarations: &Declarations,
        snapshot: &Arc<Snapshot>,
        seed: u64,
    ) -> Self {
        let network_prefix = |zone: usize| {
            let sites = &declarations.sites;
            let in_zone = |site: &String| {
                let site = sites.iter().find(|it| it.name == *site);
                let zone_id = site.and_then(|it| snapshot.zones.id(&it.zone));
                zone_id.is_some_and(|it| usize::from(it.0) == zone)
            };
            let in_zone_blocks = declarations.blocks.iter().filter(|it| in_zone(&it.site));
            let v4_networks = in_zone_blocks.filter_map(|it| match it.cidr.network() {
                IpAddr::V4(it) => Some(it.octets()),
                IpAddr::V6(_) => None,
            });
            v4_networks.map(|it| [it[0], it[1]]).next().unwrap_or([192, 168])
        };
        Self {
            rng: SmallRng::seed_from_u64(seed ^ 0xca11),
            ops: Vec::new(),
            lookup_cache: BTreeMap::new(),
            first_host_counter: 0,
            network_prefixes: (0..snapshot.zones.slot_count()).map(network_prefix).collect(),
        }
    }

    /// Returns the address of callers in a client network.
    fn address(&self, zone: usize, network: u32) -> IpAddr {
        let [a, b] = self.network_prefixes[zone];
        IpAddr::from([a, b, network as u8, 7])
    }
}

impl World {
    /// Schedules the first operation of each demand and team.
    pub(crate) fn schedule_demands(&mut self) {
        for (demand, declared) in self.scenario.clone().demand.iter().enumerate() {
            let teams: Vec<usize> = match declared.teams.as_slice() {
                [] => self.snapshot.teams.iter().map(|it| usize::from(it.0.0)).collect(),
                names => {
                    let ids = names.iter().filter_map(|it| self.snapshot.teams.id(it));
                    ids.map(|it| usize::from(it.0)).collect()
                }
            };
            for team in teams {
                self.schedule_demand(demand, declared, team, self.measure_start_us);
            }
        }
    }

    /// Schedules the next operation of a demand after `from_us`, by thinning a Poisson process at
    /// the maximum rate.
    fn schedule_demand(&mut self, demand: usize, declared: &Demand, team: usize, from_us: u64) {
        let scale = self.demand_scale(declared, team);
        let max_per_s = declared.max_rate() * scale;
        if max_per_s <= 0.0 {
            return;
        }
        let mut at_us = from_us;
        loop {
            let gap_s = -(1.0 - self.callers.rng.random::<f64>()).ln() / max_per_s;
            at_us += (gap_s * 1e6) as u64 + 1;
            if at_us >= self.measure_end_us {
                return;
            }
            let at_s = (at_us - self.measure_start_us) as f64 / 1e6;
            let acceptance = declared.rate_at(at_s) * scale / max_per_s;
            if self.callers.rng.random::<f64>() < acceptance {
                self.clock.at(at_us, Event::OperationDue { demand, team });
                return;
            }
        }
    }

    /// Returns the requests per second that correspond to the value 1 of a demand's rate points.
    fn demand_scale(&self, demand: &Demand, team: usize) -> f64 {
        match demand.of_team_rate {
            true => self.snapshot.teams[TeamId(team as u16)].rate_per_s,
            false => 1.0,
        }
    }

    /// Starts an operation of a demand and schedules the next one.
    pub(crate) fn start_operation(&mut self, demand: usize, team: usize) {
        let scenario = self.scenario.clone();
        let declared = &scenario.demand[demand];
        let now_us = self.clock.now_us();
        self.schedule_demand(demand, declared, team, now_us);
        let zone = self.draw_caller_zone(declared);
        let rng = &mut self.callers.rng;
        let network = rng.random_range(0..scenario.callers.networks_per_zone);
        let path = format!("{}/{}", declared.path.trim_end_matches('/'), rng.random::<u32>());
        let resends_unknown = rng.random::<f64>() * 100.0 < scenario.callers.resend_percent;
        let resends_elsewhere = rng.random::<bool>();
        let op = self.new_operation(&declared.service, &declared.method, &path, Some(team));
        let Some(op) = op else { return };
        let body_bytes = declared.body_bytes;
        self.callers.ops.push(Operation { zone, network, key_index: network as usize % 2, ..op });
        let id = self.callers.ops.len() - 1;
        let op = &mut self.callers.ops[id];
        op.body_bytes = body_bytes;
        op.resends_unknown = resends_unknown;
        op.resends_elsewhere = resends_elsewhere;
        self.observer.record_offered(op.service);
        self.send_operation(id);
    }

    /// Creates an operation that is not assigned to a caller; `None` if no route matches.
    fn new_operation(
        &self,
        service: &str,
        method: &str,
        path: &str,
        team: Option<usize>,
    ) -> Option<Operation> {
        let service = self.snapshot.services.id(service)?;
        let route = self.snapshot.route(service, method, path)?;
        let route = &self.snapshot.routes[route];
        Some(Operation {
            team: team.filter(|_| !route.open),
            service: usize::from(service.0),
            method: method.to_owned(),
            path: path.to_owned(),
            body_bytes: 0,
            zone: 0,
            network: 0,
            key_index: 0,
            idempotent: route.idempotent,
            timeout_us: route.timeout_ms * 1000,
            started_us: self.clock.now_us(),
            execution_count: 0,
            outcome: None,
            repeats_left: self.scenario.callers.repeats,
            lookup_count: 0,
            request_count: 0,
            hosts: Vec::new(),
            next_host: 0,
            request_id: None,
            may_have_run: false,
            resends_unknown: false,
            resends_elsewhere: false,
            poison_fault: None,
            poison_restart_us: 0,
        })
    }

    /// Sends the poison request of a fault, each time to the next host, and schedules the next one.
    pub(crate) fn send_poison(&mut self, fault: usize) {
        let scenario = self.scenario.clone();
        let declared = &scenario.faults[fault];
        let FaultKind::Poison { service, team, method, path, every_ms, restart_s } = &declared.what
        else {
            return;
        };
        let now_us = self.clock.now_us();
        let until_s = declared.until_s.unwrap_or(scenario.duration_s);
        if now_us >= self.measure_start_us + (until_s * 1e6) as u64 {
            return;
        }
        self.clock.after(every_ms * 1000, Event::PoisonDue { fault });
        let team = self.snapshot.teams.id(team).map(|it| usize::from(it.0));
        let Some(op) = self.new_operation(service, method, path, team) else { return };
        let sent_count = self.callers.ops.iter().filter(|it| it.poison_fault.is_some()).count();
        let poison_restart_us = (restart_s * 1e6) as u64;
        self.callers.ops.push(Operation {
            body_bytes: 512,
            next_host: sent_count,
            poison_fault: Some(fault),
            poison_restart_us,
            ..op
        });
        self.send_operation(self.callers.ops.len() - 1);
    }

    /// Draws the zone of the next caller from the zone weights of a demand.
    fn draw_caller_zone(&mut self, demand: &Demand) -> usize {
        if demand.zones.is_empty() {
            return self.callers.rng.random_range(0..self.snapshot.zones.slot_count());
        }
        let total: f64 = demand.zones.iter().map(|it| it.weight).sum();
        let mut remaining = self.callers.rng.random::<f64>() * total;
        let last = &demand.zones[demand.zones.len() - 1];
        let chosen = demand.zones.iter().find(|it| {
            remaining -= it.weight;
            remaining < 0.0
        });
        let zone = self.snapshot.zones.id(&chosen.unwrap_or(last).zone);
        zone.map_or(0, |it| usize::from(it.0))
    }

    /// Sends an operation to its next host, after a lookup if no host is known.
    pub(crate) fn send_operation(&mut self, id: OperationIndex) {
        let now_us = self.clock.now_us();
        if self.callers.ops[id].outcome.is_some() {
            return;
        }
        if self.policy_kind == PolicyKind::Baseline && self.callers.ops[id].hosts.is_empty() {
            self.callers.first_host_counter += 1;
            let (first, count) = (self.callers.first_host_counter, self.hosts.len());
            self.callers.ops[id].hosts =
                (0..count).map(|it| ((it + first) % count, None)).collect();
        }
        let op = &self.callers.ops[id];
        let key = (op.zone, op.network, op.service, op.team);
        if op.hosts.is_empty() {
            match self.callers.lookup_cache.get(&key) {
                Some(it) if it.valid_until_us > now_us => {
                    let hosts = it.hosts.clone();
                    let op = &mut self.callers.ops[id];
                    op.next_host %= hosts.len().max(1);
                    op.hosts = hosts;
                }
                _ => return self.send_lookup(id),
            }
        }
        let op = &mut self.callers.ops[id];
        let Some((host, binding)) = op.hosts.get(op.next_host).cloned() else {
            // All hosts of the lookup answer failed, so the answer is stale.
            self.callers.lookup_cache.remove(&key);
            op.hosts.clear();
            op.next_host = 0;
            return self.send_lookup(id);
        };
        op.request_count += 1;
        if op.request_count > MAX_REQUESTS_PER_OPERATION {
            let outcome =
                if op.may_have_run { OperationOutcome::Unknown } else { OperationOutcome::NotRun };
            return self.end_operation(id, outcome);
        }
        if !op.idempotent && op.request_id.is_none() {
            op.request_id = binding.map(|it| format!("{it}.{id}"));
        }
        self.send_request(id, host);
    }

    /// Sends one request of an operation to a host.
    fn send_request(&mut self, id: OperationIndex, host: HostIndex) {
        let to = self.process_id(host);
        let op = &self.callers.ops[id];
        let key = match op.team {
            Some(team) => PresentedKey::Key(self.operator.key(team, op.key_index).clone()),
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
        let request = self.requests.len();
        self.requests.push(Request {
            op: id,
            to,
            head,
            arrived_us: 0,
            admitted_us: 0,
            is_within_rate: false,
            ticket: None,
            has_waited: false,
            attempt_count: 0,
            current_attempt: None,
            execution_count: 0,
            reported_not_run: false,
            is_closed: false,
            is_settled: false,
        });
        let host_zone = self.hosts[host].zone;
        if !self.network.caller_reaches(op.zone, host_zone) {
            let result = RequestResult::ConnectFailed;
            self.clock.after(CONNECT_TIMEOUT_US, Event::ResultArrived { request, result });
            return;
        }
        let timeout_us = match op.idempotent {
            true => self.scenario.callers.patience_ms * 1000,
            false => op.timeout_us + NON_IDEMPOTENT_TIMEOUT_MARGIN_US,
        };
        let latency_us = self.network.caller_latency_us(op.zone, host_zone);
        self.clock.after(latency_us, Event::RequestArrived { to, request });
        self.clock.after(timeout_us, Event::CallerTimedOut { request });
    }

    /// Sends a lookup for an operation to the next host in order of latency.
    fn send_lookup(&mut self, id: OperationIndex) {
        let op = &mut self.callers.ops[id];
        op.lookup_count += 1;
        if op.lookup_count > MAX_LOOKUPS_PER_OPERATION {
            let outcome =
                if op.may_have_run { OperationOutcome::Unknown } else { OperationOutcome::NotRun };
            return self.end_operation(id, outcome);
        }
        let (zone, previous_lookups) = (op.zone, op.lookup_count as usize - 1);
        // Callers know the names of all hosts and ask the nearest first.
        let mut hosts_by_latency: Vec<HostIndex> = (0..self.hosts.len()).collect();
        hosts_by_latency.sort_by_key(|it| self.network.latency_us(zone, self.hosts[*it].zone));
        let host = hosts_by_latency[previous_lookups % hosts_by_latency.len()];
        let host_zone = self.hosts[host].zone;
        if !self.network.caller_reaches(zone, host_zone) {
            let event = Event::LookupAnswered { op: id, answer: None };
            self.clock.after(CONNECT_TIMEOUT_US, event);
            return;
        }
        let to = self.process_id(host);
        let latency_us = self.network.caller_latency_us(zone, host_zone);
        self.clock.after(latency_us, Event::LookupArrived { to, op: id });
    }

    /// Answers a lookup at a host.
    pub(crate) fn handle_lookup(&mut self, to: ProcessId, id: OperationIndex) {
        let now = self.clock.now();
        let op = &self.callers.ops[id];
        let service = self.snapshot.services[ServiceId(op.service as u16)].name.clone();
        let client = self.callers.address(op.zone, op.network);
        let team = op.team.map(|it| TeamId(it as u16));
        let query = LookupQuery { service, client, team };
        let zone = op.zone;
        let host_zone = self.hosts[to.host].zone;
        let Some(process) = self.process_mut(to.host) else { return };
        let answer = if process.is_listening { process.policy.lookup(&query, now) } else { None };
        let latency_us = self.network.caller_latency_us(zone, host_zone);
        self.clock.after(latency_us, Event::LookupAnswered { op: id, answer });
    }

    /// Handles the answer of a lookup at its caller. An empty answer is treated like no answer.
    pub(crate) fn handle_lookup_answer(
        &mut self,
        id: OperationIndex,
        answer: Option<LookupAnswer>,
    ) {
        let op = &mut self.callers.ops[id];
        if let Some(answer) = answer.filter(|it| !it.hosts.is_empty()) {
            let host = |name: &str| self.hosts.iter().position(|it| it.name == name);
            let hosts = answer.hosts.into_iter();
            let hosts: Vec<_> =
                hosts.filter_map(|it| Some((host(&it.name)?, it.binding))).collect();
            let ttl_us = answer.ttl.as_micros() as u64;
            let valid_until_us = self.clock.now_us() + ttl_us;
            let key = (op.zone, op.network, op.service, op.team);
            op.next_host %= hosts.len().max(1);
            op.hosts.clone_from(&hosts);
            self.callers.lookup_cache.insert(key, CachedLookup { valid_until_us, hosts });
            return self.send_operation(id);
        }
        self.clock.after(RESEND_DELAY_US, Event::ResendDue { op: id });
    }
}
