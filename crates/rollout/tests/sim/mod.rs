//! A fleet of hosts that runs one rollout against a simulated service and platform.
#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the simulation")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use kingcupford_config::RouteId;
use kingcupford_rollout::{
    Controller, ControllerInput, Evidence, FalseAlarmBudget, FaultDetector, Reason, RequestOutcome,
    Side, StartRequest, State, TrafficSplitter, VersionPick, WriteOutcome, start,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Step of the simulation, the period of the engine's tick.
const STEP_MS: u64 = 50;

/// Unix time of the start.
pub const START_UNIX_MS: u64 = 1_800_000_000_000;

/// Route names; the last has thin traffic.
pub const ROUTES: [&str; 4] = ["/balance", "/deposit", "/photo", "/report"];

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// A fraction of requests fails from a moment on.
    Fails { from_ms: u64, fraction: f64 },
    /// Latency is multiplied from a moment on.
    Slow { from_ms: u64, factor: f64 },
    /// Every request fails while the new version has at least this share.
    UnderLoad { from_percent: u8 },
    /// A fraction of requests fails on one route.
    OneRoute { route: usize, fraction: f64 },
    /// A dependency makes both versions fail for a time.
    Dependency { from_ms: u64, to_ms: u64, fraction: f64 },
    /// A dependency makes both versions slow for a time.
    SlowDependency { from_ms: u64, to_ms: u64, factor: f64 },
}

/// Who decides on a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The crate.
    Sequential,
    /// A rollback when over 5% of the requests of the last minute failed, over all routes, hosts
    /// and both versions, with at least 20 requests.
    FixedThreshold,
    /// The same over the new version's requests only.
    FixedThresholdNew,
}

/// One simulated rollout.
#[derive(Debug, Clone)]
pub struct Setting {
    /// Decides everything random.
    pub seed: u64,
    /// Entry hosts.
    pub hosts: usize,
    /// Requests per second and host, by route.
    pub rates_per_s: [f64; 4],
    /// Time from start to deadline.
    pub duration_ms: u64,
    /// What is wrong with the new version.
    pub fault: Fault,
    /// Failures of a good version.
    pub base_failures: f64,
    /// Whether single instances pause at random.
    pub pauses: bool,
    /// Time during which the platform does not answer.
    pub platform_away_ms: std::ops::Range<u64>,
    /// Fraction of writes whose answer is lost.
    pub lost_answers: f64,
    /// A host, and the time during which its process is paused.
    pub paused_host: Option<(usize, std::ops::Range<u64>)>,
    /// Error of each host's Unix clock, by host modulo length.
    pub clock_error_ms: Vec<i64>,
    /// Who decides.
    pub policy: Policy,
}

impl Setting {
    /// Eight hosts with 132 requests/s and a good version.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            hosts: 8,
            rates_per_s: [10.0, 4.0, 2.0, 0.5],
            duration_ms: 180_000,
            fault: Fault::None,
            base_failures: 0.005,
            pauses: true,
            platform_away_ms: 0..0,
            lost_answers: 0.0,
            paused_host: None,
            clock_error_ms: vec![0],
            policy: Policy::Sequential,
        }
    }
}

/// What happened in a simulated rollout.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Last state.
    pub state: State,
    /// Why it was rolled back.
    pub reason: Option<Reason>,
    /// Time from the start to the end, on the true clock.
    pub ended_ms: u64,
    /// Requests that the new version got.
    pub new_requests: u64,
    /// Those that a fault of the new version hurt.
    pub hurt: u64,
    /// Time of the first and the last hurt request.
    pub hurt_ms: Option<(u64, u64)>,
    /// Largest number of processes that believed to hold the lease at the same moment.
    pub most_holders: usize,
    /// Writes that took effect.
    pub writes: u64,
    /// Objects in the order in which they were written, without plain renewals.
    pub changes: Vec<(u64, State, u8)>,
}

/// One host.
struct Host {
    splitter: TrafficSplitter,
    test: FaultDetector,
    controller: Controller,
    /// When the host last asked for the newest object.
    seen_version: u64,
}

/// A finished request, ordered by the time of its response.
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
    /// End of the pause by instance.
    until_ms: Vec<u64>,
}

impl Pauses {
    /// Begins pauses, one per instance and minute on average, of 0.3 s to 1 s.
    fn advance(&mut self, now_ms: u64, random: &mut SmallRng) {
        for until in &mut self.until_ms {
            if *until <= now_ms && random.random_bool(STEP_MS as f64 / 60_000.0) {
                *until = now_ms + random.random_range(300..1_000);
            }
        }
    }

    /// Time that a request to a random instance is held up.
    fn delay_ms(&self, now_ms: u64, random: &mut SmallRng) -> u64 {
        let at = random.random_range(0..self.until_ms.len());
        self.until_ms[at].saturating_sub(now_ms)
    }
}

/// Runs a rollout to its end, or until twice its duration.
pub fn run(setting: &Setting) -> Report {
    let mut random = SmallRng::seed_from_u64(setting.seed);
    let zero = Instant::now();
    let request = StartRequest {
        service: "ledger-view".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: START_UNIX_MS,
        deadline_unix_ms: START_UNIX_MS + setting.duration_ms,
        write_id: 1,
    };
    let mut object = start(None, &request).expect("valid request");
    let mut version = 1;
    let mut written_ms = 0;
    let plan = FalseAlarmBudget { hosts: setting.hosts as u32 };
    let mut hosts: Vec<Host> = (0..setting.hosts)
        .map(|at| {
            let name = format!("host-{at}");
            let mut test = FaultDetector::new(&name, 1, plan);
            test.set_routes((0..).map(RouteId).zip(ROUTES));
            let seed = random.random();
            Host {
                splitter: TrafficSplitter::new(seed),
                test,
                controller: Controller::new(&name, seed),
                seen_version: 0,
            }
        })
        .collect();
    let mut report = Report {
        state: State::Running,
        reason: None,
        ended_ms: 0,
        new_requests: 0,
        hurt: 0,
        hurt_ms: None,
        most_holders: 0,
        writes: 0,
        changes: Vec::new(),
    };
    let mut finished = BinaryHeap::new();
    let mut pauses = [Pauses { until_ms: vec![0; 16] }, Pauses { until_ms: vec![0; 8] }];
    let mut stops: Vec<(u64, Reason)> = Vec::new();
    let mut evidence: Vec<(u64, Evidence)> = Vec::new();
    let mut fixed: Vec<(u64, bool)> = Vec::new();
    // Documents and messages between hosts take this long.
    let (document_ms, message_ms) = (400, 100);
    let mut now_ms = 0;
    while now_ms < 2 * setting.duration_ms && !object.state.is_final() {
        let now = zero + Duration::from_millis(now_ms);
        let reachable = !setting.platform_away_ms.contains(&now_ms);
        for it in &mut pauses {
            it.advance(now_ms, &mut random);
        }
        let is_paused = |at: usize| {
            setting.paused_host.as_ref().is_some_and(|it| it.0 == at && it.1.contains(&now_ms))
        };
        // Arrivals.
        for (at, host) in hosts.iter_mut().enumerate() {
            if is_paused(at) {
                continue;
            }
            for (route, rate) in setting.rates_per_s.iter().enumerate() {
                for _ in 0..poisson(rate * STEP_MS as f64 / 1_000.0, &mut random) {
                    let pick = host.splitter.pick(RouteId(route as u32));
                    let is_new = pick.side == Side::New;
                    let (failed, hurt, latency_us) = serve(
                        setting,
                        &pick,
                        route,
                        at,
                        now_ms,
                        &pauses[usize::from(is_new)],
                        &mut random,
                    );
                    report.new_requests += u64::from(is_new);
                    if hurt {
                        report.hurt += 1;
                        let first_ms = report.hurt_ms.map_or(now_ms, |it| it.0);
                        report.hurt_ms = Some((first_ms, now_ms));
                    }
                    let at_ms = now_ms + latency_us / 1_000;
                    let share_percent = pick.share_percent;
                    finished.push(Reverse(Finished {
                        at_ms,
                        host: at,
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
            if setting.policy != Policy::Sequential {
                if it.is_new || setting.policy == Policy::FixedThreshold {
                    fixed.push((now_ms, it.failed));
                }
                continue;
            }
            let side = if it.is_new { Side::New } else { Side::Old };
            let pick = VersionPick { side, share_percent: it.share_percent, generation: 1 };
            let outcome = if it.failed { RequestOutcome::Failure } else { RequestOutcome::Success };
            let latency = Duration::from_micros(it.latency_us);
            let route = RouteId(it.route as u32);
            hosts[it.host].test.observe(route, pick, outcome, latency, now);
        }
        let due = |it: &u64| it + message_ms <= now_ms;
        let arrived: Vec<Evidence> =
            evidence.extract_if(.., |it| due(&it.0)).map(|it| it.1).collect();
        let told: Vec<Reason> = stops.extract_if(.., |it| due(&it.0)).map(|it| it.1).collect();
        // Baseline.
        let fixed_reason = (setting.policy != Policy::Sequential).then(|| {
            fixed.retain(|it| it.0 + 60_000 > now_ms);
            let failures = fixed.iter().filter(|it| it.1).count();
            (fixed.len() >= 20 && failures * 20 > fixed.len()).then_some(Reason::Unproven)
        });
        let fixed_reason = fixed_reason.flatten();
        for (at, host) in hosts.iter_mut().enumerate() {
            if is_paused(at) {
                continue;
            }
            let clock_ms = setting.clock_error_ms[at % setting.clock_error_ms.len()];
            let unix_ms = (START_UNIX_MS + now_ms).saturating_add_signed(clock_ms);
            if reachable && host.seen_version < version && written_ms + document_ms <= now_ms {
                host.seen_version = version;
                host.splitter.update_rollout(Some(&object), version);
                host.test.update_rollout(Some(&object), now);
            }
            for it in &arrived {
                host.test.merge(it, now);
            }
            for it in &told {
                host.splitter.stop(1, it.clone());
            }
            if let Some(reason) = &fixed_reason {
                host.splitter.stop(1, reason.clone());
            }
            host.splitter.check_deadline(now, unix_ms);
            if let Some(reason) = host.test.verdict(now).and_then(|it| it.reason())
                && host.splitter.stop(1, reason.clone())
            {
                stops.push((now_ms, reason));
            }
            let wanted = host.test.needs_control_sample(now);
            host.splitter.set_control_sample(wanted);
            if now_ms.is_multiple_of(500)
                && let Some(it) = host.test.evidence()
            {
                evidence.push((now_ms, it));
            }
            if !now_ms.is_multiple_of(250) {
                continue;
            }
            let Some(seen) = host.splitter.rollout() else { continue };
            let seen = seen.clone();
            let assessment = host.test.assessment(now);
            let view = ControllerInput {
                rollout: &seen,
                document_version: host.splitter.document_version(),
                assessment: assessment.as_ref(),
                stop_reason: host.splitter.stop_reason(),
                platform_reachable: reachable,
            };
            let Some(write) = host.controller.tick(now, unix_ms, &view) else { continue };
            let write_id = write.rollout.write_id;
            let outcome = if !reachable {
                WriteOutcome::Unknown
            } else if write.expected_version != version {
                WriteOutcome::Conflict
            } else {
                version += 1;
                written_ms = now_ms;
                report.writes += 1;
                let previous = std::mem::replace(&mut object, write.rollout);
                if (previous.state, previous.stage) != (object.state, object.stage) {
                    report.changes.push((now_ms, object.state, object.stage.percent()));
                }
                match random.random_bool(setting.lost_answers) {
                    true => WriteOutcome::Unknown,
                    false => WriteOutcome::Written { version },
                }
            };
            host.controller.record_outcome(write_id, outcome, now);
        }
        let holders = hosts.iter().enumerate();
        let holders =
            holders.filter(|it| !is_paused(it.0) && it.1.controller.holds_lease(now)).count();
        report.most_holders = report.most_holders.max(holders);
        now_ms += STEP_MS;
    }
    report.state = object.state;
    report.reason = object.reason.clone();
    report.ended_ms = now_ms;
    report
}

/// Serves a request: whether it failed, whether a fault of the version hurt it, its latency.
fn serve(
    setting: &Setting,
    pick: &VersionPick,
    route: usize,
    host: usize,
    now_ms: u64,
    pauses: &Pauses,
    random: &mut SmallRng,
) -> (bool, bool, u64) {
    let is_new = pick.side == Side::New;
    // Routes and hosts differ in latency, and the whole service is slower at times.
    let normal: f64 = (0..6).map(|_| random.random_range(-1.0..1.0)).sum::<f64>() / 2f64.sqrt();
    let tide = 1.0 + 0.3 * (now_ms as f64 / 20_000.0).sin();
    let base_us = 8_000.0 * (1 + route) as f64 * (1.0 + 0.4 * (host % 3) as f64) * tide;
    let mut latency_us = base_us * (0.4 * normal).exp();
    let mut failed = random.random_bool(setting.base_failures);
    let mut hurt = false;
    match setting.fault {
        Fault::Fails { from_ms, fraction } if is_new && now_ms >= from_ms => {
            hurt = random.random_bool(fraction);
        }
        Fault::OneRoute { route: bad, fraction } if is_new && route == bad => {
            hurt = random.random_bool(fraction);
        }
        Fault::UnderLoad { from_percent } if is_new && pick.share_percent >= from_percent => {
            hurt = true;
        }
        Fault::Slow { from_ms, factor } if is_new && now_ms >= from_ms => {
            latency_us *= factor;
            return (failed, true, latency_us as u64);
        }
        Fault::Dependency { from_ms, to_ms, fraction } if (from_ms..to_ms).contains(&now_ms) => {
            failed |= random.random_bool(fraction);
        }
        Fault::SlowDependency { from_ms, to_ms, factor } if (from_ms..to_ms).contains(&now_ms) => {
            latency_us *= factor;
        }
        _ => {}
    }
    if setting.pauses {
        latency_us += pauses.delay_ms(now_ms, random) as f64 * 1_000.0;
    }
    (failed || hurt, hurt, latency_us as u64)
}

/// A Poisson-distributed number with a small mean.
fn poisson(mean: f64, random: &mut SmallRng) -> u32 {
    let limit = (-mean).exp();
    let mut product = random.random::<f64>();
    let mut res = 0;
    while product > limit {
        product *= random.random::<f64>();
        res += 1;
    }
    res
}
