//! The simulated deployment and the loop over its events.

use std::sync::Arc;

use kingcupford_config::{ConfigVersion, Declarations, Snapshot, ZoneId};
use kingcupford_scenario::Scenario;
use rand::{SeedableRng as _, rngs::SmallRng};

use crate::{
    caller::Callers,
    clock::Clock,
    event::{Event, HostIndex, Process},
    forward::Sending,
    host::{Host, HostProcess},
    network::Network,
    observe::Observer,
    operator::Operator,
    platform::Platform,
    upstream::{Execution, Upstream},
};

/// Time between two looks at all hosts.
const SAMPLE_US: u64 = 500_000;

/// Time after the measured time in which running requests may finish.
const TAIL_US: u64 = 5_000_000;

/// Which policy the hosts have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Side {
    /// The real one.
    System,
    /// The baseline.
    Baseline,
}

/// The simulated deployment.
#[derive(Debug)]
pub(crate) struct World {
    /// What is run.
    pub(crate) scenario: Arc<Scenario>,
    /// Which policy the hosts have.
    pub(crate) side: Side,
    /// Determines seeds of parts.
    pub(crate) seed: u64,
    /// Time and events.
    pub(crate) clock: Clock,
    /// Randomness of instances and callers.
    pub(crate) rng: SmallRng,
    /// The declared deployment, whose keys number zones, services, tenants and instances.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Paths.
    pub(crate) network: Network,
    /// The platform.
    pub(crate) platform: Platform,
    /// Entry hosts.
    pub(crate) hosts: Vec<Host>,
    /// Instances by their keys.
    pub(crate) upstreams: Vec<Upstream>,
    /// Attempts at instances.
    pub(crate) executions: Vec<Execution>,
    /// Callers and their operations.
    pub(crate) callers: Callers,
    /// Sendings of operations to hosts.
    pub(crate) sendings: Vec<Sending>,
    /// Operators.
    pub(crate) operator: Operator,
    /// What truly happened.
    pub(crate) observer: Observer,
    /// Start of the measured time.
    pub(crate) measured_us: u64,
    /// End of the measured time.
    pub(crate) end_us: u64,
}

impl World {
    /// A deployment before its start.
    pub(crate) fn new(
        scenario: Arc<Scenario>,
        declarations: &Declarations,
        seed: u64,
        side: Side,
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
        let measured_us = (scenario.warm_up_s * 1e6) as u64;
        let end_us = measured_us + (scenario.duration_s * 1e6) as u64;
        let upstreams = snapshot.instances.iter().map(|(_, it)| Upstream {
            name: it.name.clone(),
            service: usize::from(it.service.0),
            version: it.version.0 as usize,
            zone: usize::from(it.zone.0),
            region: usize::from(it.region.0),
            slots: it.slots as usize,
            model: scenario.service_model(&snapshot.services[it.service].name),
            up: true,
            start: 0,
            started_us: None,
            running: Vec::new(),
            queue: Default::default(),
            slow_factor: 1.0,
            drains_since_us: None,
            fault: None,
        });
        let upstreams = upstreams.collect();
        let mut zones: Vec<ZoneId> = snapshot.zones.iter().map(|it| it.0).collect();
        let platform_region = snapshot.region_of(ZoneId(platform_zone as u16));
        zones.sort_by_key(|it| (snapshot.region_of(*it) != platform_region, *it));
        let zones: Vec<usize> = zones.into_iter().map(|it| usize::from(it.0)).collect();
        let hosts = (0..scenario.entry_hosts as usize).map(|at| {
            let zone = zones[at % zones.len()];
            Host {
                name: format!("entry-{}", at + 1),
                zone,
                zone_name: snapshot.zones[ZoneId(zone as u16)].name.clone(),
                address: std::net::SocketAddr::from(([10, 250, 0, at as u8 + 1], 7000)),
                start: 0,
                process: None,
                deferred: Vec::new(),
                paused: false,
                behind_since_us: None,
            }
        });
        let hosts = hosts.collect();
        Ok(Self {
            network: Network::new(&snapshot, scenario.network, platform_zone),
            callers: Callers::new(&scenario, declarations, &snapshot, seed),
            observer: Observer::new(&scenario, &snapshot, measured_us),
            scenario,
            side,
            seed,
            clock: Clock::new(),
            rng: SmallRng::seed_from_u64(seed),
            snapshot,
            platform: Platform::default(),
            hosts,
            upstreams,
            executions: Vec::new(),
            sendings: Vec::new(),
            operator,
            measured_us,
            end_us,
        })
    }

    /// Runs until the end of the measured time and a short tail.
    pub(crate) async fn run(&mut self) {
        self.write_first_config();
        for host in 0..self.hosts.len() {
            // Machines that boot together are not ready in the same millisecond.
            self.clock.at(host as u64 * 37_000, Event::HostStarts { host });
        }
        self.begin_demand();
        for (fault, declared) in self.scenario.clone().faults.iter().enumerate() {
            let us = |at_s: f64| self.measured_us + (at_s * 1e6) as u64;
            self.clock.at(us(declared.at_s), Event::FaultBegins { fault });
            if let Some(until_s) = declared.until_s {
                self.clock.at(us(until_s), Event::FaultEnds { fault });
            }
        }
        self.clock.at(SAMPLE_US, Event::Sample);
        while let Some(event) = self.clock.next(self.end_us + TAIL_US).await {
            self.handle(event);
        }
    }

    /// Handles one event, unless its process ended or stands still.
    fn handle(&mut self, event: Event) {
        if let Some(process) = event.process() {
            let host = &mut self.hosts[process.host];
            if host.start != process.start || host.process.is_none() {
                return self.missed(event);
            }
            if host.paused {
                host.deferred.push(event);
                return;
            }
        }
        match event {
            Event::Demand { demand, tenant } => self.demand(demand, tenant),
            Event::Poison { fault } => self.send_poison(fault),
            Event::LookupAtHost { to, op } => self.lookup(to, op),
            Event::LookupAnswered { op, answer } => self.looked_up(op, answer),
            Event::Repeat { op } => self.send(op),
            Event::AtHost { to, sending } => self.at_host(to, sending),
            Event::Admit { to, sending } => self.admit(to, sending),
            Event::Start { to, sending } => self.start(to, sending),
            Event::AtUpstream { execution } => self.at_upstream(execution),
            Event::ExecutionEnds { execution } => self.execution_ends(execution),
            Event::ExecutionCancelled { execution } => self.cancel_execution(execution),
            Event::AttemptEnds { to, sending, attempt, end } => {
                self.attempt_ends(to, sending, attempt, end);
            }
            Event::AtCaller { sending, result } => self.at_caller(sending, result),
            Event::CallerGivesUp { sending } => self.caller_gives_up(sending),
            Event::CancelAtHost { to, sending } => self.cancel_at_host(to, sending),
            Event::Tick { to } => self.tick(to),
            Event::Message { from, to, message } => self.message(from, to, *message),
            Event::StreamFailed { to, peer } => self.stream_failed(to, peer),
            Event::WriteCheck { to } => self.write_check(to),
            Event::Follow { to } => self.follow(to),
            Event::ReadHosts { to } => self.read_hosts(to),
            Event::Announce { to } => self.announce(to),
            Event::AtPlatform { from, call } => self.at_platform(from, *call),
            Event::WatchEnds { from, watch } => self.watch_ends(from, watch),
            Event::PlatformAnswers { to, answer } => self.platform_answers(to, *answer),
            Event::FaultBegins { fault } => self.fault_begins(fault),
            Event::FaultEnds { fault } => self.fault_ends(fault),
            Event::Replace { fault, host } => self.replace(fault, host),
            Event::Shutdown { to, phase, fault, cut_us } => {
                self.shutdown(to, phase, fault, cut_us);
            }
            Event::HostStarts { host } => self.host_starts(host),
            Event::InstanceStarts { instance } => self.instance_starts(instance),
            Event::OperatorRetries { fault, ends } => {
                if ends {
                    self.fault_ends(fault);
                } else {
                    self.fault_begins(fault);
                }
            }
            Event::Sample => self.sample(),
        }
    }

    /// An event reached a host whose process is not there any more.
    fn missed(&mut self, event: Event) {
        match event {
            Event::LookupAtHost { op, .. } => {
                self.clock.after(0, Event::LookupAnswered { op, answer: None });
            }
            Event::AtHost { to, sending } => self.refuse_connection(to, sending),
            Event::Message { from, to, .. } => {
                let peer = to.host;
                let back_us = self.network.latency_us(self.hosts[peer].zone, self.hosts[from].zone);
                let to = self.hosts[from].process_of(from);
                self.clock.after(back_us, Event::StreamFailed { to, peer });
            }
            _ => {}
        }
    }

    /// The running process of a host.
    pub(crate) fn process(&mut self, host: HostIndex) -> Option<&mut HostProcess> {
        self.hosts[host].process.as_mut()
    }

    /// A process as events name it.
    pub(crate) fn process_name(&self, host: HostIndex) -> Process {
        self.hosts[host].process_of(host)
    }

    /// Looks at all hosts.
    fn sample(&mut self) {
        self.observe_config();
        self.clock.after(SAMPLE_US, Event::Sample);
    }
}
