//! Comparison of two versions of a service by route, on the evidence of all hosts.

use std::time::Duration;

use kingcupford_config::RouteId;
use tokio::time::Instant;

use crate::{
    comparison::{Comparison, PeerTallies, RouteComparison, TestScope},
    evidence::{Evidence, RouteEvidence, Tally, TallyPair},
    rollout::{FaultKind, Reason, Rollout, RolloutKey, RouteExposure, State},
    sequential::{Hypotheses, SequentialTest},
    splitter::{Side, VersionPick},
    stage::Stage,
};

/// Detects on one host whether a service's new version is worse than its old one.
#[derive(Debug)]
pub struct FaultDetector {
    host: String,
    incarnation: u64,
    budget: FalseAlarmBudget,
    /// Names of the service's routes, sorted by id.
    route_names: Vec<(RouteId, String)>,
    /// Comparison in the current rollout, `None` without a rollout.
    comparison: Option<Comparison>,
}

/// Division of a rollout's allowed probability of a false alarm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FalseAlarmBudget {
    /// Number of hosts that run the tests. Each of them can stop the rollout, so each gets an equal
    /// fraction of the probability.
    pub hosts: u32,
}

/// Outcome of a request as far as the version is responsible for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A complete response that is not an error of the upstream.
    Success,
    /// An error of the upstream, a lost connection or a timeout.
    Failure,
}

/// Conclusion about the new version from the evidence so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence does not suffice for the current stage, or an anomaly is unresolved.
    Undecided,
    /// Every route with traffic has sent the stage's required requests, without a fault or an
    /// unresolved anomaly.
    Healthy,
    /// The new version is worse than the old one; this verdict holds for the rest of the
    /// rollout.
    Faulty {
        /// Path prefix of the route to which the fault was attributed.
        route: String,
        /// How the new version is worse.
        fault: FaultKind,
    },
}

impl Verdict {
    /// Returns the reason for a rollback if the verdict requires one.
    pub fn reason(&self) -> Option<Reason> {
        let Self::Faulty { route, fault } = self else { return None };
        Some(Reason::Faulty { route: route.clone(), fault: *fault })
    }
}

/// Result of the comparison that a controller decides on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assessment {
    /// Rollout that was compared.
    pub rollout: RolloutKey,
    /// Stage whose required requests were checked.
    pub stage: Stage,
    /// Conclusion for `stage`.
    pub verdict: Verdict,
    /// Whether an anomaly seen while the new version had all traffic is neither confirmed nor
    /// cleared.
    pub has_unresolved_anomaly: bool,
    /// Requests and faults of every route, summed over all hosts.
    pub exposure: Vec<RouteExposure>,
    /// Path prefixes of routes with traffic that have not sent the stage's required requests.
    pub thin_routes: Vec<String>,
}

impl FaultDetector {
    /// Creates a detector without a rollout; `incarnation` is the number of the process start.
    pub fn new(host: &str, incarnation: u64, budget: FalseAlarmBudget) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            budget,
            route_names: Vec::new(),
            comparison: None,
        }
    }

    /// Sets the names of the service's routes. Must be called before `update_rollout`, and whenever
    /// a configuration is installed.
    pub fn set_routes<'a>(&mut self, routes: impl Iterator<Item = (RouteId, &'a str)>) {
        self.route_names = routes.map(|(id, name)| (id, name.to_owned())).collect();
        self.route_names.sort_by_key(|it| it.0);
    }

    /// Applies the newest object; another rollout starts without evidence.
    pub fn update_rollout(&mut self, rollout: Option<&Rollout>, now: Instant) {
        let Some(rollout) = rollout else {
            self.comparison = None;
            return;
        };
        if let Some(comparison) = &mut self.comparison
            && comparison.rollout == rollout.key()
        {
            comparison.stage = rollout.stage;
            comparison.state = rollout.state;
            return;
        }
        let budget_fraction = TestScope::AllRoutes.budget_fraction(self.budget);
        let duration_ms = rollout.duration_ms;
        let mut comparison = Comparison {
            service: rollout.service.clone(),
            rollout: rollout.key(),
            duration_ms,
            stage: rollout.stage,
            state: rollout.state,
            initial_route_count: self.route_names.len().max(1),
            routes: Vec::new(),
            failure_test: SequentialTest::new(
                Hypotheses::FAILURES,
                budget_fraction,
                duration_ms,
                now,
            ),
            slow_test: SequentialTest::new(
                Hypotheses::SLOW_RESPONSES,
                budget_fraction,
                duration_ms,
                now,
            ),
            peers: Vec::new(),
        };
        for (_, name) in &self.route_names {
            comparison.route_index(name, self.budget, now);
        }
        self.comparison = Some(comparison);
    }

    /// Records a finished request of this host.
    ///
    /// Requests whose failure is not caused by the version must not be reported as failures:
    /// cancellations by the caller, refusals with `not-run`, and all but one of the requests lost
    /// with one instance.
    pub fn observe(
        &mut self,
        route: RouteId,
        pick: VersionPick,
        outcome: RequestOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(comparison) = &mut self.comparison else { return };
        if pick.rollout != Some(comparison.rollout) {
            return;
        }
        let Ok(name_index) = self.route_names.binary_search_by_key(&route, |it| it.0) else {
            return;
        };
        let route_index = comparison.route_index(&self.route_names[name_index].1, self.budget, now);
        let route_comparison = &mut comparison.routes[route_index];
        let slow = match outcome {
            RequestOutcome::Success => {
                let is_threshold_stale = pick.share_percent == Stage::All.percent();
                route_comparison.slow_threshold.is_slow(latency, is_threshold_stale, now)
            }
            RequestOutcome::Failure => None,
        };
        let tally = Tally {
            requests: 1,
            failures: u64::from(outcome == RequestOutcome::Failure),
            timed: u64::from(slow.is_some()),
            slow: u64::from(slow == Some(true)),
        };
        let mut tallies = TallyPair::default();
        match pick.side {
            Side::Old => tallies.old = tally,
            Side::New => tallies.new = tally,
        }
        if pick.share_percent == Stage::All.percent() {
            route_comparison.is_threshold_stale = true;
        } else if pick.side == Side::Old && outcome == RequestOutcome::Success {
            if std::mem::take(&mut route_comparison.is_threshold_stale) {
                route_comparison.slow_threshold.decay();
            }
            route_comparison.slow_threshold.record(latency);
        }
        let own_tallies = route_comparison.own_tallies.get_mut(pick.share_percent);
        own_tallies.add(&tallies);
        let own_tallies = *own_tallies;
        comparison.record(route_index, pick.share_percent, &tallies, &own_tallies, now);
    }

    /// Adds the counters of a peer. Returns whether they contained an increase.
    pub fn merge(&mut self, evidence: &Evidence, now: Instant) -> bool {
        let Some(comparison) = &mut self.comparison else { return false };
        if evidence.rollout != comparison.rollout
            || evidence.service != comparison.service
            || evidence.host == self.host
        {
            return false;
        }
        let peer_index = match comparison.peers.binary_search_by(|it| it.host.cmp(&evidence.host)) {
            Ok(index) => index,
            Err(index) => {
                comparison.peers.insert(index, PeerTallies::new(evidence));
                index
            }
        };
        if comparison.peers[peer_index].incarnation > evidence.incarnation {
            return false;
        }
        if comparison.peers[peer_index].incarnation < evidence.incarnation {
            comparison.peers[peer_index] = PeerTallies::new(evidence);
        }
        let mut is_update = false;
        for counted in &evidence.routes {
            let reported = TallyPair { old: counted.old, new: counted.new };
            let known = comparison.peers[peer_index]
                .route_tallies(&counted.route)
                .get_mut(counted.share_percent);
            let delta = reported.since(known);
            if delta == TallyPair::default() {
                continue;
            }
            known.add(&delta);
            let known = *known;
            is_update = true;
            let route_index = comparison.route_index(&counted.route, self.budget, now);
            comparison.record(route_index, counted.share_percent, &delta, &known, now);
        }
        is_update
    }

    /// Returns the counters of this process to send to peers, `None` if nothing was counted.
    pub fn evidence(&self) -> Option<Evidence> {
        let comparison = self.comparison.as_ref()?;
        let mut routes = Vec::new();
        for route in &comparison.routes {
            for (share_percent, tallies) in &route.own_tallies.0 {
                routes.push(RouteEvidence {
                    route: route.name.clone(),
                    share_percent: *share_percent,
                    old: tallies.old,
                    new: tallies.new,
                });
            }
        }
        if routes.is_empty() {
            return None;
        }
        Some(Evidence {
            host: self.host.clone(),
            incarnation: self.incarnation,
            service: comparison.service.clone(),
            rollout: comparison.rollout,
            routes,
        })
    }

    /// Returns the verdict for the current stage, `None` without a rollout.
    pub fn verdict(&self, now: Instant) -> Option<Verdict> {
        self.comparison.as_ref().map(|it| it.verdict(now))
    }

    /// Whether half of the traffic should go to the old version, so that the versions can be
    /// compared while the new one would get all traffic.
    pub fn needs_control_sample(&mut self, now: Instant) -> bool {
        let Some(comparison) = &mut self.comparison else { return false };
        let mut is_any_open = false;
        for route in &mut comparison.routes {
            is_any_open |= route.failure_anomaly.is_sample_open(now);
            is_any_open |= route.slow_anomaly.is_sample_open(now);
        }
        is_any_open && comparison.state == State::Watching
    }

    /// Returns the result of the comparison for a controller, `None` without a rollout.
    pub fn assessment(&self, now: Instant) -> Option<Assessment> {
        let comparison = self.comparison.as_ref()?;
        Some(Assessment {
            rollout: comparison.rollout,
            stage: comparison.stage,
            verdict: comparison.verdict(now),
            has_unresolved_anomaly: comparison
                .routes
                .iter()
                .any(|it| it.has_unresolved_anomaly(now)),
            exposure: comparison.routes.iter().filter_map(RouteComparison::exposure).collect(),
            thin_routes: comparison.thin_routes().map(|it| it.name.clone()).collect(),
        })
    }
}
