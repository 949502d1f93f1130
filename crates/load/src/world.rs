//! Simulated deployment and its event loop.

use std::sync::Arc;

use kingcupford_config::{ConfigVersion, Declarations, Snapshot, ZoneId};
use kingcupford_scenario::Scenario;
use rand::{SeedableRng as _, rngs::SmallRng};

use crate::{
    caller::Callers,
    clock::Clock,
    event::{Event, HostIndex, ProcessId},
    forward::Request,
    host::{Host, HostProcess},
    network::Network,
    observe::Observer,
    operator::Operator,
    platform::Platform,
    upstream::{Execution, Upstream},
};

const SAMPLE_INTERVAL_US: u64 = 500_000;

/// Time after the measured period in which running requests may finish.
const TAIL_US: u64 = 5_000_000;

/// Policy that the simulated hosts run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// The real policy of the engine.
    System,
    /// The policy of [`crate::baseline::Baseline`].
    Baseline,
}

/// State of the simulated deployment.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) scenario: Arc<Scenario>,
    pub(crate) policy_kind: PolicyKind,
    /// Seed of the run, from which the random generators and write ids derive.
    pub(crate) seed: u64,
    pub(crate) clock: Clock,
    /// Randomness of hosts, instances and the platform; demand has a generator of its own.
    pub(crate) rng: SmallRng,
    /// Compiled initial configuration; its ids are the indices of zones, services, teams and
    /// instances everywhere in the simulation.
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) network: Network,
    pub(crate) platform: Platform,
    pub(crate) hosts: Vec<Host>,
    /// Instances, indexed by their id in the snapshot.
    pub(crate) upstreams: Vec<Upstream>,
    pub(crate) executions: Vec<Execution>,
    pub(crate) callers: Callers,
    /// Requests of callers to hosts.
    pub(crate) requests: Vec<Request>,
    pub(crate) operator: Operator,
    pub(crate) observer: Observer,
    pub(crate) measure_start_us: u64,
    pub(crate) measure_end_us: u64,
}

impl World {
    /// Creates a deployment whose hosts have not started.
    pub(crate) fn new(
        scenario: Arc<Scenario>,
        declarations: &Declarations,
        seed: u64,
        policy_kind: PolicyKind,
    ) -> anyhow::Result<Self> {
        let operator = Operator::new(declarations, seed)?;
        let snapshot = Arc::new(Snapshot::compile(
            operator.declarations(),
            ConfigVersion(1),
            operator.preset(),
            "scenario",
            None,
        )?);
        let first_zone = declarations.regions.first().and_then(|it| it.zones.first());
        let platform_zone = scenario.platform_zone.as_ref().or(first_zone);
        let platform_zone = platform_zone.and_then(|it| snapshot.zones.id(it));
        let platform_zone = platform_zone.map_or(0, |it| usize::from(it.0));
        let measure_start_us = (scenario.warm_up_s * 1e6) as u64;
        let measure_end_us = measure_start_us + (scenario.duration_s * 1e6) as u64;
        let upstreams = snapshot.instances.iter().map(|(_, it)| Upstream {
            name: it.name.clone(),
            service: usize::from(it.service.0),
            version: it.version.0 as usize,
            zone: usize::from(it.zone.0),
            region: usize::from(it.region.0),
            slots: it.slots as usize,
            model: scenario.service_model(&snapshot.services[it.service].name),
            is_up: true,
            generation: 0,
            started_us: None,
            running: Vec::new(),
            queue: Default::default(),
            slow_factor: 1.0,
            draining_since_us: None,
            version_fault: None,
        });
        let upstreams = upstreams.collect();
        let mut zones: Vec<ZoneId> = snapshot.zones.iter().map(|it| it.0).collect();
        let platform_region = snapshot.region_of(ZoneId(platform_zone as u16));
        zones.sort_by_key(|it| (snapshot.region_of(*it) != platform_region, *it));
        let zones: Vec<usize> = zones.into_iter().map(|it| usize::from(it.0)).collect();
        let hosts = (0..scenario.entry_hosts as usize).map(|index| {
            let zone = zones[index % zones.len()];
            Host {
                name: format!("entry-{}", index + 1),
                zone,
                zone_name: snapshot.zones[ZoneId(zone as u16)].name.clone(),
                address: std::net::SocketAddr::from(([10, 250, 0, index as u8 + 1], 7000)),
                generation: 0,
                process: None,
                deferred_events: Vec::new(),
                is_paused: false,
                outdated_since_us: None,
            }
        });
        let hosts = hosts.collect();
        Ok(Self {
            network: Network::new(&snapshot, scenario.network, platform_zone),
            callers: Callers::new(&scenario, declarations, &snapshot, seed),
            observer: Observer::new(&scenario, &snapshot, measure_start_us),
            scenario,
            policy_kind,
            seed,
            clock: Clock::new(),
            rng: SmallRng::seed_from_u64(seed),
            snapshot,
            platform: Platform::default(),
            hosts,
            upstreams,
            executions: Vec::new(),
            requests: Vec::new(),
            operator,
            measure_start_us,
            measure_end_us,
        })
    }

    /// Runs the simulation until `TAIL_US` after the end of the measured period.
    pub(crate) async fn run(&mut self) {
        self.write_initial_config();
        for host in 0..self.hosts.len() {
            // Starts are staggered by 37 ms, because machines that boot together are not ready in
            // the same millisecond.
            self.clock.at(host as u64 * 37_000, Event::HostStartDue { host });
        }
        self.schedule_demands();
        for (fault, declared) in self.scenario.clone().faults.iter().enumerate() {
            let simulated_us = |at_s: f64| self.measure_start_us + (at_s * 1e6) as u64;
            self.clock.at(simulated_us(declared.at_s), Event::FaultStartDue { fault });
            if let Some(until_s) = declared.until_s {
                self.clock.at(simulated_us(until_s), Event::FaultEndDue { fault });
            }
        }
        self.clock.at(SAMPLE_INTERVAL_US, Event::SampleDue);
        while let Some(event) = self.clock.next(self.measure_end_us + TAIL_US).await {
            self.handle(event);
        }
    }

    /// Handles one event. Events for an ended process are undeliverable, and events for a paused
    /// process are deferred.
    fn handle(&mut self, event: Event) {
        if let Some(process) = event.process() {
            let host = &mut self.hosts[process.host];
            if host.generation != process.generation || host.process.is_none() {
                return self.handle_undeliverable(event);
            }
            if host.is_paused {
                host.deferred_events.push(event);
                return;
            }
        }
        match event {
            Event::OperationDue { demand, team } => self.start_operation(demand, team),
            Event::PoisonDue { fault } => self.send_poison(fault),
            Event::LookupArrived { to, op } => self.handle_lookup(to, op),
            Event::LookupAnswered { op, answer } => self.handle_lookup_answer(op, answer),
            Event::ResendDue { op } => self.send_operation(op),
            Event::RequestArrived { to, request } => self.handle_request(to, request),
            Event::AdmissionDue { to, request } => self.admit(to, request),
            Event::SelectionDue { to, request } => self.start_attempt(to, request),
            Event::AttemptArrived { execution } => self.handle_attempt(execution),
            Event::ExecutionEnded { execution } => self.handle_execution_end(execution),
            Event::ExecutionCancelled { execution } => self.cancel_execution(execution),
            Event::AttemptEnded { to, request, attempt_number, end } => {
                self.handle_attempt_end(to, request, attempt_number, end);
            }
            Event::ResultArrived { request, result } => self.handle_result(request, result),
            Event::CallerTimedOut { request } => self.handle_caller_timeout(request),
            Event::CancellationArrived { to, request } => {
                self.handle_caller_cancellation(to, request)
            }
            Event::TickDue { to } => self.tick(to),
            Event::MessageArrived { from, to, message } => self.handle_message(from, to, *message),
            Event::StreamFailed { to, peer } => self.handle_stream_failure(to, peer),
            Event::WriteCheckDue { to } => self.check_writes(to),
            Event::FollowDue { to } => self.follow_platform(to),
            Event::HostListDue { to } => self.read_hosts(to),
            Event::AnnouncementDue { to } => self.announce(to),
            Event::PlatformCallArrived { from, call } => self.handle_platform_call(from, *call),
            Event::WatchTimedOut { from, watch } => self.handle_watch_timeout(from, watch),
            Event::PlatformAnswered { to, answer } => self.handle_platform_answer(to, *answer),
            Event::FaultStartDue { fault } => self.begin_fault(fault),
            Event::FaultEndDue { fault } => self.end_fault(fault),
            Event::ReplacementDue { fault, host } => self.replace_host(fault, host),
            Event::ShutdownStepDue { to, phase, fault, deadline_us } => {
                self.advance_shutdown(to, phase, fault, deadline_us);
            }
            Event::HostStartDue { host } => self.start_host(host),
            Event::InstanceStartDue { instance } => self.start_instance(instance),
            Event::OperatorRetryDue { fault, is_end } => {
                if is_end {
                    self.end_fault(fault);
                } else {
                    self.begin_fault(fault);
                }
            }
            Event::SampleDue => self.sample(),
        }
    }

    /// Handles an event for a process that has ended. Lookups, requests and messages to the process
    /// fail; other events are dropped.
    fn handle_undeliverable(&mut self, event: Event) {
        match event {
            Event::LookupArrived { op, .. } => {
                self.clock.after(0, Event::LookupAnswered { op, answer: None });
            }
            Event::RequestArrived { to, request } => self.refuse_connection(to, request),
            Event::MessageArrived { from, to, .. } => {
                let peer = to.host;
                let return_latency_us =
                    self.network.latency_us(self.hosts[peer].zone, self.hosts[from].zone);
                let to = self.hosts[from].process_id(from);
                self.clock.after(return_latency_us, Event::StreamFailed { to, peer });
            }
            _ => {}
        }
    }

    /// Returns the running process of a host.
    pub(crate) fn process_mut(&mut self, host: HostIndex) -> Option<&mut HostProcess> {
        self.hosts[host].process.as_mut()
    }

    /// Returns the id of a host's current process.
    pub(crate) fn process_id(&self, host: HostIndex) -> ProcessId {
        self.hosts[host].process_id(host)
    }

    /// Checks the configurations of all hosts periodically.
    fn sample(&mut self) {
        self.check_configs();
        self.clock.after(SAMPLE_INTERVAL_US, Event::SampleDue);
    }
}
