//! The tests of all routes in one generation of a rollout.

use tokio::time::Instant;

use crate::{
    evidence::{ByShare, Evidence, Pair},
    fault_detector::{FalseAlarmBudget, Verdict},
    latency::SlowLimit,
    rollout::{FaultKind, RouteExposure, State},
    sequential::{Hypotheses, SequentialTest},
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

/// The comparison in one generation.
#[derive(Debug)]
pub(crate) struct Run {
    /// Name of the service.
    pub(crate) service: String,
    /// The generation.
    pub(crate) generation: u64,
    /// Time from start to deadline.
    pub(crate) duration_ms: u64,
    /// The present stage.
    pub(crate) stage: Stage,
    /// The present state.
    pub(crate) state: State,
    /// Number of routes that share the first half of the allowed false alarms.
    pub(crate) planned_routes: usize,
    /// The tests by route.
    pub(crate) routes: Vec<RouteTest>,
    /// Test for failures over all routes, which finds a fault of the whole version sooner.
    pub(crate) failures: SequentialTest,
    /// Test for slow responses over all routes.
    pub(crate) slow: SequentialTest,
    /// What was counted of each peer.
    pub(crate) peers: Vec<Peer>,
}

impl Run {
    /// Index of a route's test, which is made when it is new.
    pub(crate) fn route(&mut self, name: &str, plan: FalseAlarmBudget, now: Instant) -> usize {
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
            failures: SequentialTest::new(Hypotheses::FAILURES, part, self.duration_ms, now),
            slow: SequentialTest::new(Hypotheses::SLOW_RESPONSES, part, self.duration_ms, now),
            limit: SlowLimit::new(now),
            is_limit_stale: false,
            failure_suspicion: Suspicion::new(FAILURE_FLOOR, f64::INFINITY),
            slow_suspicion: Suspicion::new(SLOW_FLOOR, SLOW_CAP_PER_S),
            recent: Recent::new(now),
            fault: None,
        });
        self.routes.len() - 1
    }

    /// Adds responses of one host to the tests; `host` is what that host counted at this share.
    pub(crate) fn apply(
        &mut self,
        route: usize,
        share_percent: u8,
        delta: &Pair,
        host: &Pair,
        now: Instant,
    ) {
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
    pub(crate) fn find_fault(&mut self, route: usize) {
        for fault in [FaultKind::Failures, FaultKind::Slow] {
            let all = if fault == FaultKind::Slow { &self.slow } else { &self.failures };
            // A fault found over all routes is put down to the route that shows it most.
            let strongest = self.routes.iter().enumerate().max_by(|a, b| {
                a.1.test(fault).log_evidence().total_cmp(&b.1.test(fault).log_evidence())
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
    pub(crate) fn verdict(&self, now: Instant) -> Verdict {
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
    pub(crate) fn thin_routes(&self) -> impl Iterator<Item = &RouteTest> {
        let share_percent = self.stage.percent();
        let required = self.stage.required_requests();
        self.routes.iter().filter(move |it| {
            let pair = it.fleet.at(share_percent);
            pair.old.requests + pair.new.requests > 0 && pair.new.requests < required
        })
    }
}

/// The tests of one route.
#[derive(Debug)]
pub(crate) struct RouteTest {
    /// Path prefix.
    pub(crate) name: String,
    /// What this process saw.
    pub(crate) own: ByShare,
    /// What all hosts saw.
    pub(crate) fleet: ByShare,
    /// Test for failures.
    pub(crate) failures: SequentialTest,
    /// Test for slow responses.
    pub(crate) slow: SequentialTest,
    /// Limit of slow responses on this host.
    pub(crate) limit: SlowLimit,
    /// Whether the new version had all traffic since the limit was learned.
    pub(crate) is_limit_stale: bool,
    /// Suspicion of failures.
    pub(crate) failure_suspicion: Suspicion,
    /// Suspicion of slow responses.
    pub(crate) slow_suspicion: Suspicion,
    /// The new version's responses of the last minutes.
    pub(crate) recent: Recent,
    /// The fault, once found.
    pub(crate) fault: Option<FaultKind>,
}
impl RouteTest {
    /// The test for a kind of fault.
    pub(crate) fn test(&self, fault: FaultKind) -> &SequentialTest {
        if fault == FaultKind::Slow { &self.slow } else { &self.failures }
    }

    /// Whether enough of the new version's recent responses are bad to matter.
    pub(crate) fn is_relevant(&self, fault: FaultKind) -> bool {
        let recent = self.recent.sum();
        let (bad, count) = match fault {
            FaultKind::Slow => (recent.slow, recent.timed),
            FaultKind::Failures | FaultKind::UnderLoad => (recent.failures, recent.requests),
        };
        bad as f64 >= MIN_BAD_FRACTION * count as f64
    }

    /// Whether a suspicion keeps the rollout from being done.
    pub(crate) fn is_doubtful(&self, now: Instant) -> bool {
        self.failure_suspicion.is_doubtful(now) || self.slow_suspicion.is_doubtful(now)
    }

    /// What the new version got, `None` without any traffic.
    pub(crate) fn exposure(&self) -> Option<RouteExposure> {
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

/// What was counted of one peer.
#[derive(Debug)]
pub(crate) struct Peer {
    /// Its name.
    pub(crate) host: String,
    /// The start of its process that the counters belong to.
    pub(crate) incarnation: u64,
    /// The largest counters seen, by route name.
    pub(crate) routes: Vec<(String, ByShare)>,
}

impl Peer {
    /// A peer of which nothing was counted.
    pub(crate) fn new(evidence: &Evidence) -> Self {
        Self { host: evidence.host.clone(), incarnation: evidence.incarnation, routes: Vec::new() }
    }

    /// The counters of a route.
    pub(crate) fn counters(&mut self, route: &str) -> &mut ByShare {
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
pub(crate) enum Part {
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
    pub(crate) fn fraction(self, plan: FalseAlarmBudget) -> f64 {
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
