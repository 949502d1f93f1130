//! Simulation of a fleet of hosts that runs one rollout, with its service and platform.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the simulation")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    Controller, ControllerInput, Evidence, FalseAlarmBudget, FaultDetector, Reason, RequestOutcome,
    Side, StartRequest, State, TrafficSplitter, VersionPick, WriteOutcome, start,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Step of the simulation, equal to the period of the engine's tick.
const STEP_MS: u64 = 50;

pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Names of the routes; the last one has thin traffic.
pub const ROUTES: [&str; 4] = ["/balance", "/deposit", "/photo", "/report"];

/// Fault of the new version or of a dependency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Healthy version and dependencies.
    None,
    /// A fraction of the requests to the new version fails from a given time on.
    Fails { from_ms: u64, fraction: f64 },
    /// The new version's latency is multiplied from a given time on.
    Slow { from_ms: u64, factor: f64 },
    /// Every request to the new version fails while its share is at least `from_percent`.
    UnderLoad { from_percent: u8 },
    /// A fraction of the requests to the new version fails on one route.
    OneRoute { route: usize, fraction: f64 },
    /// A dependency makes both versions fail for some time.
    Dependency { from_ms: u64, to_ms: u64, fraction: f64 },
    /// A dependency makes both versions slow for some time.
    SlowDependency { from_ms: u64, to_ms: u64, factor: f64 },
}

/// Rule by which a rollout is rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// Sequential tests of this crate.
    Sequential,
    /// Rollback when more than 5% of at least 20 requests of the last minute failed, over all
    /// routes, hosts and both versions.
    FixedThreshold,
    /// Rollback like `FixedThreshold`, but only over the requests to the new version.
    FixedThresholdNewOnly,
}

/// Parameters of one simulated rollout.
#[derive(Debug, Clone)]
pub struct SimConfig {
    pub seed: u64,
    pub hosts: usize,
    /// Request rate of each host, by route.
    pub requests_per_s: [f64; 4],
    /// Time from the start to the deadline.
    pub duration_ms: u64,
    pub fault: Fault,
    /// Fraction of requests that fail with a healthy version.
    pub base_failure_fraction: f64,
    /// Whether single instances pause at random.
    pub random_pauses: bool,
    /// Time during which the platform does not answer.
    pub platform_outage_ms: std::ops::Range<u64>,
    /// Fraction of writes whose answer is lost.
    pub lost_answer_fraction: f64,
    /// Index of a host and the time during which its process is paused.
    pub paused_host: Option<(usize, std::ops::Range<u64>)>,
    /// Errors of the hosts' Unix clocks, assigned in turn.
    pub clock_errors_ms: Vec<i64>,
    pub policy: Policy,
}

impl SimConfig {
    /// Returns a fleet of eight hosts with 132 requests/s in total and a healthy version.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            hosts: 8,
            requests_per_s: [10.0, 4.0, 2.0, 0.5],
            duration_ms: 180_000,
            fault: Fault::None,
            base_failure_fraction: 0.005,
            random_pauses: true,
            platform_outage_ms: 0..0,
            lost_answer_fraction: 0.0,
            paused_host: None,
            clock_errors_ms: vec![0],
            policy: Policy::Sequential,
        }
    }
}

/// Result of a simulated rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    pub state: State,
    pub reason: Option<Reason>,
    /// Time from the start to the end by the true clock.
    pub ended_ms: u64,
    /// Number of requests sent to the new version.
    pub new_requests: u64,
    /// Number of requests affected by the new version's fault.
    pub affected_requests: u64,
    /// Times of the first and the last affected request.
    pub affected_ms: Option<(u64, u64)>,
    /// Largest number of processes that considered themselves lease holders at the same time.
    pub max_lease_holders: usize,
    /// Number of writes that took effect.
    pub writes: u64,
    /// Time, state and share of every written object that changed the state or the stage.
    pub changes: Vec<(u64, State, u8)>,
}

struct Host {
    splitter: TrafficSplitter,
    detector: FaultDetector,
    controller: Controller,
    /// Version of the newest object that the host has received.
    known_version: u64,
}

/// Finished request; the field order sorts by the time of the response.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Finished {
    at_ms: u64,
    host: usize,
    route: usize,
    is_new: bool,
    share_percent: u8,
    failed: bool,
    latency_us: u64,
}

/// Pauses of single instances of one version.
struct Pauses {
    /// End of the last pause by instance.
    until_ms: Vec<u64>,
}

impl Pauses {
    /// Starts pauses of 0.3 s to 1 s, on average one per instance and minute.
    fn advance(&mut self, now_ms: u64, rng: &mut SmallRng) {
        for until in &mut self.until_ms {
            if *until <= now_ms && rng.random_bool(STEP_MS as f64 / 60_000.0) {
                *until = now_ms + rng.random_range(300..1_000);
            }
        }
    }

    /// Returns the time by which a pause delays a request to a random instance.
    fn delay_ms(&self, now_ms: u64, rng: &mut SmallRng) -> u64 {
        let index = rng.random_range(0..self.until_ms.len());
        self.until_ms[index].saturating_sub(now_ms)
    }
}

/// Runs a rollout to its end, or until twice its duration.
pub fn run(config: &SimConfig) -> Report {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    let sim_start = Instant::now();
    let request = StartRequest {
        service: "ledger-view".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: START_UNIX_MS,
        deadline_unix_ms: START_UNIX_MS + config.duration_ms,
        write_id: 1,
    };
    let mut object = start(None, &request).expect("valid request");
    let mut version = 1;
    let mut last_write_ms = 0;
    let budget = FalseAlarmBudget { hosts: config.hosts as u32 };
    let mut hosts: Vec<Host> = (0..config.hosts)
        .map(|at| {
            let name = format!("host-{at}");
            let mut detector = FaultDetector::new(&name, 1, budget);
            detector.set_routes((0..).map(RouteId).zip(ROUTES));
            let seed = rng.random();
            Host {
                splitter: TrafficSplitter::new(seed),
                detector,
                controller: Controller::new(&name, seed),
                known_version: 0,
            }
        })
        .collect();
    let mut report = Report {
        state: State::Running,
        reason: None,
        ended_ms: 0,
        new_requests: 0,
        affected_requests: 0,
        affected_ms: None,
        max_lease_holders: 0,
        writes: 0,
        changes: Vec::new(),
    };
    let mut finished = BinaryHeap::new();
    let mut pauses = [Pauses { until_ms: vec![0; 16] }, Pauses { until_ms: vec![0; 8] }];
    let mut sent_stops: Vec<(u64, Reason)> = Vec::new();
    let mut sent_evidence: Vec<(u64, Evidence)> = Vec::new();
    let mut baseline_responses: Vec<(u64, bool)> = Vec::new();
    // Propagation delays of rollout objects and of messages between hosts.
    let (document_delay_ms, message_delay_ms) = (400, 100);
    let mut now_ms = 0;
    while now_ms < 2 * config.duration_ms && !object.state.is_final() {
        let now = sim_start + Duration::from_millis(now_ms);
        let reachable = !config.platform_outage_ms.contains(&now_ms);
        for pause in &mut pauses {
            pause.advance(now_ms, &mut rng);
        }
        let is_paused = |at: usize| {
            config.paused_host.as_ref().is_some_and(|it| it.0 == at && it.1.contains(&now_ms))
        };
        // Request arrivals.
        for (host_index, host) in hosts.iter_mut().enumerate() {
            if is_paused(host_index) {
                continue;
            }
            for (route, rate) in config.requests_per_s.iter().enumerate() {
                for _ in 0..poisson(rate * STEP_MS as f64 / 1_000.0, &mut rng) {
                    let pick = host.splitter.pick(RouteId(route as u32));
                    let is_new = pick.side == Side::New;
                    let (failed, affected, latency_us) = serve(
                        config,
                        &pick,
                        route,
                        host_index,
                        now_ms,
                        &pauses[usize::from(is_new)],
                        &mut rng,
                    );
                    report.new_requests += u64::from(is_new);
                    if affected {
                        report.affected_requests += 1;
                        let first_ms = report.affected_ms.map_or(now_ms, |it| it.0);
                        report.affected_ms = Some((first_ms, now_ms));
                    }
                    let at_ms = now_ms + latency_us / 1_000;
                    let share_percent = pick.share_percent;
                    finished.push(Reverse(Finished {
                        at_ms,
                        host: host_index,
                        route,
                        is_new,
                        share_percent,
                        failed,
                        latency_us,
                    }));
                }
            }
        }
        // Responses.
        while let Some(Reverse(it)) = finished.peek()
            && it.at_ms <= now_ms
        {
            let Some(Reverse(it)) = finished.pop() else { break };
            if config.policy != Policy::Sequential {
                if it.is_new || config.policy == Policy::FixedThreshold {
                    baseline_responses.push((now_ms, it.failed));
                }
                continue;
            }
            let side = if it.is_new { Side::New } else { Side::Old };
            let rollout = Some(object.key());
            let pick = VersionPick { side, share_percent: it.share_percent, rollout };
            let outcome = if it.failed { RequestOutcome::Failure } else { RequestOutcome::Success };
            let latency = Duration::from_micros(it.latency_us);
            let route = RouteId(it.route as u32);
            hosts[it.host].detector.observe(route, pick, outcome, latency, now);
        }
        let due = |it: &u64| it + message_delay_ms <= now_ms;
        let received_evidence: Vec<Evidence> =
            sent_evidence.extract_if(.., |it| due(&it.0)).map(|it| it.1).collect();
        let received_stops: Vec<Reason> =
            sent_stops.extract_if(.., |it| due(&it.0)).map(|it| it.1).collect();
        // Rollback by the baseline's fixed threshold.
        let baseline_stop = (config.policy != Policy::Sequential).then(|| {
            baseline_responses.retain(|it| it.0 + 60_000 > now_ms);
            let failures = baseline_responses.iter().filter(|it| it.1).count();
            (baseline_responses.len() >= 20 && failures * 20 > baseline_responses.len())
                .then_some(Reason::Unproven)
        });
        let baseline_stop = baseline_stop.flatten();
        for (host_index, host) in hosts.iter_mut().enumerate() {
            if is_paused(host_index) {
                continue;
            }
            let clock_error_ms = config.clock_errors_ms[host_index % config.clock_errors_ms.len()];
            let unix_ms = (START_UNIX_MS + now_ms).saturating_add_signed(clock_error_ms);
            if reachable
                && host.known_version < version
                && last_write_ms + document_delay_ms <= now_ms
            {
                host.known_version = version;
                host.splitter.update_rollout(Some(&object), version);
                host.detector.update_rollout(Some(&object), now);
            }
            for evidence in &received_evidence {
                host.detector.merge(evidence, now);
            }
            for reason in &received_stops {
                host.splitter.stop(object.key(), reason.clone());
            }
            if let Some(reason) = &baseline_stop {
                host.splitter.stop(object.key(), reason.clone());
            }
            host.splitter.check_deadline(now, unix_ms);
            if let Some(reason) = host.detector.verdict(now).and_then(|it| it.reason())
                && host.splitter.stop(object.key(), reason.clone())
            {
                sent_stops.push((now_ms, reason));
            }
            let needs_sample = host.detector.needs_control_sample(now);
            host.splitter.set_control_sample(needs_sample);
            if now_ms.is_multiple_of(500)
                && let Some(it) = host.detector.evidence()
            {
                sent_evidence.push((now_ms, it));
            }
            if !now_ms.is_multiple_of(250) {
                continue;
            }
            let Some(rollout) = host.splitter.rollout() else { continue };
            let rollout = rollout.clone();
            let assessment = host.detector.assessment(now);
            let input = ControllerInput {
                rollout: &rollout,
                document_version: host.splitter.document_version(),
                assessment: assessment.as_ref(),
                stop_reason: host.splitter.stop_reason(),
                platform_reachable: reachable,
            };
            let Some(write) = host.controller.tick(now, unix_ms, &input) else { continue };
            let write_id = write.rollout.write_id;
            let outcome = if !reachable {
                WriteOutcome::Unknown
            } else if write.expected_version != Some(version) {
                WriteOutcome::Conflict
            } else {
                version += 1;
                last_write_ms = now_ms;
                report.writes += 1;
                let previous = std::mem::replace(&mut object, write.rollout);
                if (previous.state, previous.stage) != (object.state, object.stage) {
                    report.changes.push((now_ms, object.state, object.stage.percent()));
                }
                match rng.random_bool(config.lost_answer_fraction) {
                    true => WriteOutcome::Unknown,
                    false => WriteOutcome::Written { version },
                }
            };
            host.controller.record_outcome(write_id, outcome, now);
        }
        let holders = hosts.iter().enumerate();
        let holders =
            holders.filter(|it| !is_paused(it.0) && it.1.controller.holds_lease(now)).count();
        report.max_lease_holders = report.max_lease_holders.max(holders);
        now_ms += STEP_MS;
    }
    report.state = object.state;
    report.reason = object.reason.clone();
    report.ended_ms = now_ms;
    report
}

/// Simulates a request. Returns whether it failed, whether the version's fault affected it, and its
/// latency in microseconds.
fn serve(
    config: &SimConfig,
    pick: &VersionPick,
    route: usize,
    host: usize,
    now_ms: u64,
    pauses: &Pauses,
    rng: &mut SmallRng,
) -> (bool, bool, u64) {
    let is_new = pick.side == Side::New;
    // Routes and hosts differ in latency, and the latency of the whole service varies over time.
    let normal_sample: f64 = (0..6).map(|_| rng.random_range(-1.0..1.0)).sum::<f64>() / 2f64.sqrt();
    let slowdown = 1.0 + 0.3 * (now_ms as f64 / 20_000.0).sin();
    let base_latency_us = 8_000.0 * (1 + route) as f64 * (1.0 + 0.4 * (host % 3) as f64) * slowdown;
    let mut latency_us = base_latency_us * (0.4 * normal_sample).exp();
    let mut failed = rng.random_bool(config.base_failure_fraction);
    let mut affected = false;
    match config.fault {
        Fault::Fails { from_ms, fraction } if is_new && now_ms >= from_ms => {
            affected = rng.random_bool(fraction);
        }
        Fault::OneRoute { route: bad, fraction } if is_new && route == bad => {
            affected = rng.random_bool(fraction);
        }
        Fault::UnderLoad { from_percent } if is_new && pick.share_percent >= from_percent => {
            affected = true;
        }
        Fault::Slow { from_ms, factor } if is_new && now_ms >= from_ms => {
            latency_us *= factor;
            return (failed, true, latency_us as u64);
        }
        Fault::Dependency { from_ms, to_ms, fraction } if (from_ms..to_ms).contains(&now_ms) => {
            failed |= rng.random_bool(fraction);
        }
        Fault::SlowDependency { from_ms, to_ms, factor } if (from_ms..to_ms).contains(&now_ms) => {
            latency_us *= factor;
        }
        _ => {}
    }
    if config.random_pauses {
        latency_us += pauses.delay_ms(now_ms, rng) as f64 * 1_000.0;
    }
    (failed || affected, affected, latency_us as u64)
}

/// Returns a Poisson-distributed number, for a small mean.
fn poisson(mean: f64, rng: &mut SmallRng) -> u32 {
    let limit = (-mean).exp();
    let mut product = rng.random::<f64>();
    let mut res = 0;
    while product > limit {
        product *= rng.random::<f64>();
        res += 1;
    }
    res
}
