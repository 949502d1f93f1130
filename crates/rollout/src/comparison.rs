//! Tests of all routes in one rollout.

use tokio::time::Instant;

use crate::{
    anomaly::{AnomalyDetector, MAX_SLOW_LOG_EVIDENCE_PER_S, RecentTally},
    evidence::{Evidence, TalliesByShare, TallyPair},
    fault_detector::{FalseAlarmBudget, Verdict},
    rollout::{FaultKind, RolloutKey, RouteExposure, State},
    sequential::{Hypotheses, SequentialTest},
    slow_threshold::SlowThreshold,
    stage::Stage,
};

/// Fraction of bad responses below which a version is not rolled back, however strong the evidence.
const MIN_BAD_FRACTION: f64 = 0.001;

/// Lower bound of the expected fraction of failures while the new version has all traffic and
/// cannot be compared with the old one.
const MIN_EXPECTED_FAILURE_FRACTION: f64 = 0.004;

/// Lower bound of the expected fraction of slow responses while the new version has all traffic,
/// twice the 5% of the old version.
const MIN_EXPECTED_SLOW_FRACTION: f64 = 0.1;

/// Weight of the nominal share against the counted one, as a number of requests.
const SHARE_PRIOR_REQUESTS: f64 = 50.0;

/// Comparison of the two versions in one rollout.
#[derive(Debug)]
pub(crate) struct Comparison {
    pub(crate) service: String,
    pub(crate) rollout: RolloutKey,
    pub(crate) duration_ms: u64,
    pub(crate) stage: Stage,
    pub(crate) state: State,
    /// Number of routes known when the comparison started, at least 1, which share a quarter of the
    /// allowed false alarms.
    pub(crate) initial_route_count: usize,
    pub(crate) routes: Vec<RouteComparison>,
    /// Test for failures over all routes, which detects a fault of the whole version sooner.
    pub(crate) failure_test: SequentialTest,
    /// Test for slow responses over all routes.
    pub(crate) slow_test: SequentialTest,
    pub(crate) peers: Vec<PeerTallies>,
}

impl Comparison {
    /// Returns the index of a route's comparison, which is created if necessary.
    pub(crate) fn route_index(
        &mut self,
        name: &str,
        budget: FalseAlarmBudget,
        now: Instant,
    ) -> usize {
        if let Some(index) = self.routes.iter().position(|it| it.name == name) {
            return index;
        }
        let scope = match self.routes.len().checked_sub(self.initial_route_count) {
            None => TestScope::InitialRoute { routes: self.initial_route_count },
            Some(index) => TestScope::LaterRoute { index },
        };
        let budget_fraction = scope.budget_fraction(budget);
        self.routes.push(RouteComparison {
            name: name.to_owned(),
            own_tallies: TalliesByShare::default(),
            fleet_tallies: TalliesByShare::default(),
            failure_test: SequentialTest::new(
                Hypotheses::FAILURES,
                budget_fraction,
                self.duration_ms,
                now,
            ),
            slow_test: SequentialTest::new(
                Hypotheses::SLOW_RESPONSES,
                budget_fraction,
                self.duration_ms,
                now,
            ),
            slow_threshold: SlowThreshold::new(now),
            is_threshold_stale: false,
            failure_anomaly: AnomalyDetector::new(MIN_EXPECTED_FAILURE_FRACTION, f64::INFINITY),
            slow_anomaly: AnomalyDetector::new(
                MIN_EXPECTED_SLOW_FRACTION,
                MAX_SLOW_LOG_EVIDENCE_PER_S,
            ),
            recent: RecentTally::new(now),
            fault: None,
        });
        self.routes.len() - 1
    }

    /// Adds newly counted responses of one host to the tests; `host_total` is all that this host
    /// counted on the route at this share.
    pub(crate) fn record(
        &mut self,
        route_index: usize,
        share_percent: u8,
        delta: &TallyPair,
        host_total: &TallyPair,
        now: Instant,
    ) {
        let route = &mut self.routes[route_index];
        route.fleet_tallies.get_mut(share_percent).add(delta);
        route.recent.add(&delta.new, now);
        route.failure_anomaly.record_baseline(delta.old.requests, delta.old.failures);
        route.slow_anomaly.record_baseline(delta.old.timed, delta.old.slow);
        if share_percent == Stage::All.percent() {
            route.failure_anomaly.observe(delta.new.requests, delta.new.failures, now);
            route.slow_anomaly.observe(delta.new.timed, delta.new.slow, now);
            let depends_on_load =
                route.failure_anomaly.depends_on_load() || route.slow_anomaly.depends_on_load();
            if depends_on_load && route.fault.is_none() {
                route.fault = Some(FaultKind::UnderLoad);
            }
            return;
        }
        route.failure_anomaly.record_sample(delta.new.requests, delta.new.failures);
        route.slow_anomaly.record_sample(delta.new.timed, delta.new.slow);
        let share =
            conservative_share(share_percent, host_total.new.requests, host_total.old.requests);
        for test in [&mut route.failure_test, &mut self.failure_test] {
            test.observe(share, delta.new.failures, delta.old.failures, now);
        }
        let share = conservative_share(share_percent, host_total.new.timed, host_total.old.timed);
        for test in [&mut route.slow_test, &mut self.slow_test] {
            test.observe(share, delta.new.slow, delta.old.slow, now);
        }
        self.detect_fault(route_index);
    }

    /// Records a fault if the evidence suffices, after the route at `route_index` got new evidence.
    pub(crate) fn detect_fault(&mut self, route_index: usize) {
        for fault in [FaultKind::Failures, FaultKind::Slow] {
            let overall =
                if fault == FaultKind::Slow { &self.slow_test } else { &self.failure_test };
            // A fault detected over all routes is attributed to the route with the strongest
            // evidence.
            let strongest = self.routes.iter().enumerate().max_by(|a, b| {
                a.1.test(fault).log_evidence().total_cmp(&b.1.test(fault).log_evidence())
            });
            let faulty_index = if self.routes[route_index].test(fault).is_faulty() {
                route_index
            } else if let Some((index, _)) = strongest.filter(|_| overall.is_faulty()) {
                index
            } else {
                continue;
            };
            let route = &mut self.routes[faulty_index];
            if route.has_relevant_bad_fraction(fault) {
                route.fault.get_or_insert(fault);
            }
        }
    }

    /// Returns the verdict for the current stage.
    pub(crate) fn verdict(&self, now: Instant) -> Verdict {
        let faults = self.routes.iter().filter_map(|it| Some((it, it.fault?)));
        if let Some((route, fault)) = faults.min_by(|a, b| a.0.name.cmp(&b.0.name)) {
            return Verdict::Faulty { route: route.name.clone(), fault };
        }
        if self.thin_routes().next().is_some()
            || self.routes.iter().any(|it| it.has_unresolved_anomaly(now))
        {
            return Verdict::Undecided;
        }
        Verdict::Healthy
    }

    /// Returns the routes with traffic that have not sent the stage's required requests to the new
    /// version.
    pub(crate) fn thin_routes(&self) -> impl Iterator<Item = &RouteComparison> {
        let share_percent = self.stage.percent();
        let required = self.stage.required_requests();
        self.routes.iter().filter(move |it| {
            let tallies = it.fleet_tallies.get(share_percent);
            tallies.old.requests + tallies.new.requests > 0 && tallies.new.requests < required
        })
    }
}

/// Tests and counters of one route.
#[derive(Debug)]
pub(crate) struct RouteComparison {
    /// Path prefix of the route.
    pub(crate) name: String,
    /// Counters of this process.
    pub(crate) own_tallies: TalliesByShare,
    /// Counters of all hosts.
    pub(crate) fleet_tallies: TalliesByShare,
    pub(crate) failure_test: SequentialTest,
    pub(crate) slow_test: SequentialTest,
    /// Slow-response threshold of this host.
    pub(crate) slow_threshold: SlowThreshold,
    /// Whether the new version has had all traffic since the last response was added to the
    /// threshold.
    pub(crate) is_threshold_stale: bool,
    pub(crate) failure_anomaly: AnomalyDetector,
    pub(crate) slow_anomaly: AnomalyDetector,
    /// Responses of the new version in the last one to two minutes.
    pub(crate) recent: RecentTally,
    /// First fault detected in this rollout.
    pub(crate) fault: Option<FaultKind>,
}
impl RouteComparison {
    pub(crate) fn test(&self, fault: FaultKind) -> &SequentialTest {
        if fault == FaultKind::Slow { &self.slow_test } else { &self.failure_test }
    }

    /// Whether enough of the new version's recent responses are bad for a rollback.
    pub(crate) fn has_relevant_bad_fraction(&self, fault: FaultKind) -> bool {
        let recent = self.recent.sum();
        let (bad, count) = match fault {
            FaultKind::Slow => (recent.slow, recent.timed),
            FaultKind::Failures | FaultKind::UnderLoad => (recent.failures, recent.requests),
        };
        bad as f64 >= MIN_BAD_FRACTION * count as f64
    }

    /// Whether an anomaly keeps the rollout from being done.
    pub(crate) fn has_unresolved_anomaly(&self, now: Instant) -> bool {
        self.failure_anomaly.is_unresolved(now) || self.slow_anomaly.is_unresolved(now)
    }

    /// Returns the requests and faults over all hosts, `None` without any traffic.
    pub(crate) fn exposure(&self) -> Option<RouteExposure> {
        let sum = self.fleet_tallies.sum();
        if sum == TallyPair::default() {
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

/// Counters of one peer that the tests have already included.
#[derive(Debug)]
pub(crate) struct PeerTallies {
    pub(crate) host: String,
    /// Incarnation of the peer's process that the counters belong to.
    pub(crate) incarnation: u64,
    /// Largest counters received, by route name.
    pub(crate) routes: Vec<(String, TalliesByShare)>,
}

impl PeerTallies {
    pub(crate) fn new(evidence: &Evidence) -> Self {
        Self { host: evidence.host.clone(), incarnation: evidence.incarnation, routes: Vec::new() }
    }

    /// Returns the counters of a route, which are inserted if necessary.
    pub(crate) fn route_tallies(&mut self, route: &str) -> &mut TalliesByShare {
        let index = match self.routes.iter().position(|it| it.0 == route) {
            Some(index) => index,
            None => {
                self.routes.push((route.to_owned(), TalliesByShare::default()));
                self.routes.len() - 1
            }
        };
        &mut self.routes[index].1
    }
}

/// Which routes a test covers; decides on its fraction of the allowed false alarms.
#[derive(Debug, Clone, Copy)]
pub(crate) enum TestScope {
    /// Tests over all routes, which share one half.
    AllRoutes,
    /// Tests of a route that was known at the start; all such routes share a quarter.
    InitialRoute {
        /// Number of routes known at the start.
        routes: usize,
    },
    /// Tests of a route that was added later; all such routes share a quarter, whatever their
    /// number.
    LaterRoute {
        /// Number of routes added before this one.
        index: usize,
    },
}

impl TestScope {
    /// Returns the fraction of the allowed false alarms for a single test. Each scope has two
    /// tests, for failures and for slow responses, on every host.
    pub(crate) fn budget_fraction(self, budget: FalseAlarmBudget) -> f64 {
        let both_tests = match self {
            Self::AllRoutes => 0.5,
            Self::InitialRoute { routes } => 0.25 / routes as f64,
            Self::LaterRoute { index } => 0.25 / ((index + 1) * (index + 2)) as f64,
        };
        both_tests / 2.0 / f64::from(budget.hosts.max(1))
    }
}

/// Returns an upper estimate of the new version's share of requests.
///
/// A share that is too large only weakens the evidence, so the larger of the nominal and the
/// counted share is used. The counted share is larger when requests failed over from the old
/// version to the new one.
fn conservative_share(share_percent: u8, new_requests: u64, old_requests: u64) -> f64 {
    let nominal = f64::from(share_percent) / 100.0;
    let counted = (new_requests as f64 + SHARE_PRIOR_REQUESTS * nominal)
        / ((new_requests + old_requests) as f64 + SHARE_PRIOR_REQUESTS);
    nominal.max(counted)
}
