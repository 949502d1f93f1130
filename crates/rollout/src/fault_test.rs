//! Comparison of two versions of a service by route, from the evidence of all hosts.

use std::time::Duration;

use kingcupford_config::RouteId;
use tokio::time::Instant;

use crate::{
    evidence::{ByShare, Evidence, Pair, RouteEvidence, Tally},
    latency::SlowLimit,
    rollout::{FaultKind, Reason, Rollout, RouteExposure, State},
    sequential::{Ratios, SequentialTest},
    splitter::{Pick, Side},
    stage::Stage,
    suspicion::{Recent, SLOW_CAP_PER_S, Suspicion},
};

/// Fraction of bad responses below which a version is not rolled back, however sure the test is.
const MIN_BAD_FRACTION: f64 = 0.001;

/// Fraction of failures that is always expected when nothing can be compared.
const FAILURE_FLOOR: f64 = 0.004;

/// Fraction of slow responses that is always expected, twice the 5% of the old version.
const SLOW_FLOOR: f64 = 0.1;

/// Requests as many as which the nominal share weighs against the counted one.
const SHARE_PRIOR: f64 = 50.0;

/// Finds out on one host whether a service's new version is worse than its old one.
#[derive(Debug)]
pub struct FaultTest {
    /// Name of the host.
    host: String,
    /// Number of the start of its process.
    incarnation: u64,
    /// What the bound on false alarms is divided by.
    plan: TestPlan,
    /// Names of the known routes by key.
    names: Vec<(RouteId, String)>,
    /// The comparison in the present generation.
    run: Option<Run>,
}

/// What the bound on false alarms is divided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TestPlan {
    /// Hosts that run the test, each of which can stop the rollout.
    pub hosts: u32,
}

/// How a request ended, as far as the version is responsible for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response that is no error of the upstream.
    Success,
    /// An error of the upstream, a lost connection or a timeout.
    Failure,
}

/// What the evidence says about the new version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence for the present stage.
    Undecided,
    /// Every route with traffic reached the stage's exposure without a fault.
    Healthy,
    /// The new version is worse; this holds for the rest of the generation.
    Faulty {
        /// Path prefix of the route.
        route: String,
        /// In which way it is worse.
        fault: FaultKind,
    },
}

impl Verdict {
    /// The reason for a rollback that follows from the verdict.
    pub fn reason(&self) -> Option<Reason> {
        let Self::Faulty { route, fault } = self else { return None };
        Some(Reason::Faulty { route: route.clone(), fault: *fault })
    }
}

/// What a controller needs to know of the evidence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assessment {
    /// Generation that was tested.
    pub generation: u64,
    /// Stage whose exposure was checked.
    pub stage: Stage,
    /// The verdict.
    pub verdict: Verdict,
    /// Whether the new version's recent responses are suspicious.
    pub is_suspicious: bool,
    /// Exposure of every route over all hosts.
    pub exposure: Vec<RouteExposure>,
    /// Routes with traffic that have not reached the stage's exposure.
    pub thin_routes: Vec<String>,
}

/// The comparison in one generation.
#[derive(Debug)]
struct Run {
    /// Name of the service.
    service: String,
    /// The generation.
    generation: u64,
    /// Time from start to deadline.
    duration_ms: u64,
    /// The present stage.
    stage: Stage,
    /// The present state.
    state: State,
    /// Number of routes that share the first half of the allowed false alarms.
    planned_routes: usize,
    /// The tests by route.
    routes: Vec<RouteTest>,
    /// Test for failures over all routes, which finds a fault of the whole version sooner.
    failures: SequentialTest,
    /// Test for slow responses over all routes.
    slow: SequentialTest,
    /// What was counted of each peer.
    peers: Vec<Peer>,
}

/// What was counted of one peer.
#[derive(Debug)]
struct Peer {
    /// Its name.
    host: String,
    /// The start of its process that the counters belong to.
    incarnation: u64,
    /// The largest counters seen, by route name.
    routes: Vec<(String, ByShare)>,
}

/// The tests of one route.
#[derive(Debug)]
struct RouteTest {
    /// Path prefix.
    name: String,
    /// What this process saw.
    own: ByShare,
    /// What all hosts saw.
    fleet: ByShare,
    /// Test for failures.
    failures: SequentialTest,
    /// Test for slow responses.
    slow: SequentialTest,
    /// Limit of slow responses on this host.
    limit: SlowLimit,
    /// Suspicion of failures.
    failure_suspicion: Suspicion,
    /// Suspicion of slow responses.
    slow_suspicion: Suspicion,
    /// The new version's responses of the last minutes.
    recent: Recent,
    /// The fault, once found.
    fault: Option<FaultKind>,
}

impl FaultTest {
    /// A test without a rollout.
    pub fn new(host: &str, incarnation: u64, plan: TestPlan) -> Self {
        Self { host: host.to_owned(), incarnation, plan, names: Vec::new(), run: None }
    }

    /// Takes over the names of the service's routes; to be called before `install` and whenever a
    /// configuration is installed.
    pub fn set_routes<'a>(&mut self, routes: impl Iterator<Item = (RouteId, &'a str)>) {
        self.names = routes.map(|(id, name)| (id, name.to_owned())).collect();
        self.names.sort_by_key(|it| it.0);
    }

    /// Takes over the newest object; another generation begins with no evidence.
    pub fn install(&mut self, rollout: Option<&Rollout>, now: Instant) {
        let Some(rollout) = rollout else {
            self.run = None;
            return;
        };
        if let Some(run) = &mut self.run
            && run.generation == rollout.generation
        {
            run.stage = rollout.stage;
            run.state = rollout.state;
            return;
        }
        let part = Part::AllRoutes.fraction(self.plan);
        let duration_ms = rollout.duration_ms;
        let mut run = Run {
            service: rollout.service.clone(),
            generation: rollout.generation,
            duration_ms,
            stage: rollout.stage,
            state: rollout.state,
            planned_routes: self.names.len().max(1),
            routes: Vec::new(),
            failures: SequentialTest::new(Ratios::FAILURES, part, duration_ms, now),
            slow: SequentialTest::new(Ratios::SLOW, part, duration_ms, now),
            peers: Vec::new(),
        };
        for (_, name) in &self.names {
            run.route(name, self.plan, now);
        }
        self.run = Some(run);
    }

    /// Counts a finished request of this host.
    ///
    /// A request without fault of the version must not be reported as a failure: cancellations by
    /// the caller, refusals that say `not-run`, and all but one of the requests lost with one
    /// instance.
    pub fn observe(
        &mut self,
        route: RouteId,
        pick: Pick,
        outcome: Outcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(run) = &mut self.run else { return };
        if pick.generation != run.generation {
            return;
        }
        let Ok(at) = self.names.binary_search_by_key(&route, |it| it.0) else { return };
        let at = run.route(&self.names[at].1, self.plan, now);
        let test = &mut run.routes[at];
        let slow = match outcome {
            Outcome::Success => {
                let is_stale = pick.share_percent == Stage::All.percent();
                test.limit.is_slow(latency, is_stale, now)
            }
            Outcome::Failure => None,
        };
        let tally = Tally {
            requests: 1,
            failures: u64::from(outcome == Outcome::Failure),
            timed: u64::from(slow.is_some()),
            slow: u64::from(slow == Some(true)),
        };
        let mut pair = Pair::default();
        match pick.side {
            Side::Old => pair.old = tally,
            Side::New => pair.new = tally,
        }
        if pick.side == Side::Old && outcome == Outcome::Success {
            test.limit.learn(latency);
        }
        let own = test.own.at_mut(pick.share_percent);
        own.add(&pair);
        let own = *own;
        run.apply(at, pick.share_percent, &pair, &own, now);
    }

    /// Takes over what a peer counted, and answers whether it was news.
    pub fn merge(&mut self, evidence: &Evidence, now: Instant) -> bool {
        let Some(run) = &mut self.run else { return false };
        if evidence.generation != run.generation
            || evidence.service != run.service
            || evidence.host == self.host
        {
            return false;
        }
        let at = match run.peers.binary_search_by(|it| it.host.cmp(&evidence.host)) {
            Ok(at) => at,
            Err(at) => {
                run.peers.insert(at, Peer::new(evidence));
                at
            }
        };
        if run.peers[at].incarnation > evidence.incarnation {
            return false;
        }
        if run.peers[at].incarnation < evidence.incarnation {
            run.peers[at] = Peer::new(evidence);
        }
        let mut is_news = false;
        for it in &evidence.routes {
            let told = Pair { old: it.old, new: it.new };
            let seen = run.peers[at].counters(&it.route).at_mut(it.share_percent);
            let delta = told.since(seen);
            if delta == Pair::default() {
                continue;
            }
            seen.add(&delta);
            let seen = *seen;
            is_news = true;
            let route = run.route(&it.route, self.plan, now);
            run.apply(route, it.share_percent, &delta, &seen, now);
        }
        is_news
    }

    /// What this process counted, for its peers; `None` while there is nothing to tell.
    pub fn evidence(&self) -> Option<Evidence> {
        let run = self.run.as_ref()?;
        let mut routes = Vec::new();
        for test in &run.routes {
            for (share_percent, pair) in &test.own.0 {
                routes.push(RouteEvidence {
                    route: test.name.clone(),
                    share_percent: *share_percent,
                    old: pair.old,
                    new: pair.new,
                });
            }
        }
        if routes.is_empty() {
            return None;
        }
        Some(Evidence {
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: run.service.clone(),
            generation: run.generation,
            routes,
        })
    }

    /// The verdict for the present stage; `None` without a rollout.
    pub fn verdict(&self, now: Instant) -> Option<Verdict> {
        self.run.as_ref().map(|it| it.verdict(now))
    }

    /// Whether half of the traffic should go to the old version for comparison.
    pub fn wants_control_sample(&mut self, now: Instant) -> bool {
        let Some(run) = &mut self.run else { return false };
        let mut res = false;
        for it in &mut run.routes {
            res |= it.failure_suspicion.is_open(now);
            res |= it.slow_suspicion.is_open(now);
        }
        res && run.state == State::Watching
    }

    /// Everything a controller needs; `None` without a rollout.
    pub fn assessment(&self, now: Instant) -> Option<Assessment> {
        let run = self.run.as_ref()?;
        Some(Assessment {
            generation: run.generation,
            stage: run.stage,
            verdict: run.verdict(now),
            is_suspicious: run.routes.iter().any(|it| it.is_doubtful(now)),
            exposure: run.routes.iter().filter_map(RouteTest::exposure).collect(),
            thin_routes: run.thin_routes().map(|it| it.name.clone()).collect(),
        })
    }
}

impl Run {
    /// Index of a route's test, which is made when it is new.
    fn route(&mut self, name: &str, plan: TestPlan, now: Instant) -> usize {
        if let Some(at) = self.routes.iter().position(|it| it.name == name) {
            return at;
        }
        let part = match self.routes.len().checked_sub(self.planned_routes) {
            None => Part::Planned { routes: self.planned_routes },
            Some(index) => Part::Later { index },
        };
        let part = part.fraction(plan);
        self.routes.push(RouteTest {
            name: name.to_owned(),
            own: ByShare::default(),
            fleet: ByShare::default(),
            failures: SequentialTest::new(Ratios::FAILURES, part, self.duration_ms, now),
            slow: SequentialTest::new(Ratios::SLOW, part, self.duration_ms, now),
            limit: SlowLimit::new(now),
            failure_suspicion: Suspicion::new(FAILURE_FLOOR, f64::INFINITY),
            slow_suspicion: Suspicion::new(SLOW_FLOOR, SLOW_CAP_PER_S),
            recent: Recent::new(now),
            fault: None,
        });
        self.routes.len() - 1
    }

    /// Adds responses of one host to the tests; `host` is what that host counted at this share.
    fn apply(&mut self, route: usize, share_percent: u8, delta: &Pair, host: &Pair, now: Instant) {
        let test = &mut self.routes[route];
        test.fleet.at_mut(share_percent).add(delta);
        test.recent.add(&delta.new, now);
        test.failure_suspicion.learn(delta.old.requests, delta.old.failures);
        test.slow_suspicion.learn(delta.old.timed, delta.old.slow);
        if share_percent == Stage::All.percent() {
            test.failure_suspicion.observe(delta.new.requests, delta.new.failures, now);
            test.slow_suspicion.observe(delta.new.timed, delta.new.slow, now);
            let depends_on_load =
                test.failure_suspicion.depends_on_load() || test.slow_suspicion.depends_on_load();
            if depends_on_load && test.fault.is_none() {
                test.fault = Some(FaultKind::UnderLoad);
            }
            return;
        }
        test.failure_suspicion.sample(delta.new.requests, delta.new.failures);
        test.slow_suspicion.sample(delta.new.timed, delta.new.slow);
        let share = real_share(share_percent, host.new.requests, host.old.requests);
        for it in [&mut test.failures, &mut self.failures] {
            it.observe(share, delta.new.failures, delta.old.failures, now);
        }
        let share = real_share(share_percent, host.new.timed, host.old.timed);
        for it in [&mut test.slow, &mut self.slow] {
            it.observe(share, delta.new.slow, delta.old.slow, now);
        }
        self.find_fault(route);
    }

    /// Records a fault when the evidence suffices, after `route` got new evidence.
    fn find_fault(&mut self, route: usize) {
        for fault in [FaultKind::Failures, FaultKind::Slow] {
            let all = if fault == FaultKind::Slow { &self.slow } else { &self.failures };
            // A fault found over all routes is put down to the route that shows it most.
            let strongest =
                self.routes.iter().enumerate().max_by(|a, b| {
                    a.1.test(fault).evidence().total_cmp(&b.1.test(fault).evidence())
                });
            let at = if self.routes[route].test(fault).is_faulty() {
                route
            } else if let Some((at, _)) = strongest.filter(|_| all.is_faulty()) {
                at
            } else {
                continue;
            };
            let test = &mut self.routes[at];
            if test.is_relevant(fault) {
                test.fault.get_or_insert(fault);
            }
        }
    }

    /// The verdict for the present stage.
    fn verdict(&self, now: Instant) -> Verdict {
        let faults = self.routes.iter().filter_map(|it| Some((it, it.fault?)));
        if let Some((test, fault)) = faults.min_by(|a, b| a.0.name.cmp(&b.0.name)) {
            return Verdict::Faulty { route: test.name.clone(), fault };
        }
        if self.thin_routes().next().is_some() || self.routes.iter().any(|it| it.is_doubtful(now)) {
            return Verdict::Undecided;
        }
        Verdict::Healthy
    }

    /// Routes with traffic that have not reached the stage's exposure.
    fn thin_routes(&self) -> impl Iterator<Item = &RouteTest> {
        let share_percent = self.stage.percent();
        let required = self.stage.required_requests();
        self.routes.iter().filter(move |it| {
            let pair = it.fleet.at(share_percent);
            pair.old.requests + pair.new.requests > 0 && pair.new.requests < required
        })
    }
}

impl RouteTest {
    /// The test for a kind of fault.
    fn test(&self, fault: FaultKind) -> &SequentialTest {
        if fault == FaultKind::Slow { &self.slow } else { &self.failures }
    }

    /// Whether enough of the new version's recent responses are bad to matter.
    fn is_relevant(&self, fault: FaultKind) -> bool {
        let recent = self.recent.sum();
        let (bad, count) = match fault {
            FaultKind::Slow => (recent.slow, recent.timed),
            FaultKind::Failures | FaultKind::UnderLoad => (recent.failures, recent.requests),
        };
        bad as f64 >= MIN_BAD_FRACTION * count as f64
    }

    /// Whether a suspicion keeps the rollout from being done.
    fn is_doubtful(&self, now: Instant) -> bool {
        self.failure_suspicion.is_doubtful(now) || self.slow_suspicion.is_doubtful(now)
    }

    /// What the new version got, `None` without any traffic.
    fn exposure(&self) -> Option<RouteExposure> {
        let sum = self.fleet.sum();
        if sum == Pair::default() {
            return None;
        }
        Some(RouteExposure {
            route: self.name.clone(),
            new_requests: sum.new.requests,
            new_failures: sum.new.failures,
            new_slow: sum.new.slow,
            old_requests: sum.old.requests,
        })
    }
}

impl Peer {
    /// A peer of which nothing was counted.
    fn new(evidence: &Evidence) -> Self {
        Self { host: evidence.host.clone(), incarnation: evidence.incarnation, routes: Vec::new() }
    }

    /// The counters of a route.
    fn counters(&mut self, route: &str) -> &mut ByShare {
        let at = match self.routes.iter().position(|it| it.0 == route) {
            Some(at) => at,
            None => {
                self.routes.push((route.to_owned(), ByShare::default()));
                self.routes.len() - 1
            }
        };
        &mut self.routes[at].1
    }
}

/// A test's part of the allowed false alarms.
#[derive(Debug, Clone, Copy)]
enum Part {
    /// The tests over all routes, which share a half.
    AllRoutes,
    /// The tests of a route that was known at the start; all of these share a quarter.
    Planned {
        /// Number of such routes.
        routes: usize,
    },
    /// The tests of a route that came later; all of these share a quarter, however many come.
    Later {
        /// Number of such routes before this one.
        index: usize,
    },
}

impl Part {
    /// The fraction for one test, of two for each route and on every host.
    fn fraction(self, plan: TestPlan) -> f64 {
        let both = match self {
            Self::AllRoutes => 0.5,
            Self::Planned { routes } => 0.25 / routes as f64,
            Self::Later { index } => 0.25 / ((index + 1) * (index + 2)) as f64,
        };
        both / 2.0 / f64::from(plan.hosts.max(1))
    }
}

/// The new version's share of requests, from above.
///
/// A share that is too large only makes evidence weaker, so the larger of the nominal share and the
/// counted one is used; the counted one is larger where the old version's requests failed over.
fn real_share(share_percent: u8, new: u64, old: u64) -> f64 {
    let nominal = f64::from(share_percent) / 100.0;
    let counted = (new as f64 + SHARE_PRIOR * nominal) / ((new + old) as f64 + SHARE_PRIOR);
    nominal.max(counted)
}
