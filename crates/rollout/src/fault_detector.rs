//! Comparison of two versions of a service by route, from the evidence of all hosts.

use std::time::Duration;

use kingcupford_config::RouteId;
use tokio::time::Instant;

use crate::{
    evidence::{Evidence, Pair, RouteEvidence, Tally},
    rollout::{FaultKind, Reason, Rollout, RouteExposure, State},
    run::{Part, Peer, RouteTest, Run},
    sequential::{Hypotheses, SequentialTest},
    splitter::{Side, VersionPick},
    stage::Stage,
};

/// Finds out on one host whether a service's new version is worse than its old one.
#[derive(Debug)]
pub struct FaultDetector {
    /// Name of the host.
    host: String,
    /// Number of the start of its process.
    incarnation: u64,
    /// What the bound on false alarms is divided by.
    plan: FalseAlarmBudget,
    /// Names of the known routes by key.
    names: Vec<(RouteId, String)>,
    /// The comparison in the present generation.
    run: Option<Run>,
}

/// What the bound on false alarms is divided by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FalseAlarmBudget {
    /// Hosts that run the test, each of which can stop the rollout.
    pub hosts: u32,
}

/// How a request ended, as far as the version is responsible for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
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
    pub has_unresolved_anomaly: bool,
    /// Exposure of every route over all hosts.
    pub exposure: Vec<RouteExposure>,
    /// Routes with traffic that have not reached the stage's exposure.
    pub thin_routes: Vec<String>,
}

impl FaultDetector {
    /// A test without a rollout.
    pub fn new(host: &str, incarnation: u64, plan: FalseAlarmBudget) -> Self {
        Self { host: host.to_owned(), incarnation, plan, names: Vec::new(), run: None }
    }

    /// Takes over the names of the service's routes; to be called before `update_rollout` and whenever a
    /// configuration is installed.
    pub fn set_routes<'a>(&mut self, routes: impl Iterator<Item = (RouteId, &'a str)>) {
        self.names = routes.map(|(id, name)| (id, name.to_owned())).collect();
        self.names.sort_by_key(|it| it.0);
    }

    /// Takes over the newest object; another generation begins with no evidence.
    pub fn update_rollout(&mut self, rollout: Option<&Rollout>, now: Instant) {
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
            failures: SequentialTest::new(Hypotheses::FAILURES, part, duration_ms, now),
            slow: SequentialTest::new(Hypotheses::SLOW_RESPONSES, part, duration_ms, now),
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
        pick: VersionPick,
        outcome: RequestOutcome,
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
            RequestOutcome::Success => {
                let is_stale = pick.share_percent == Stage::All.percent();
                test.limit.is_slow(latency, is_stale, now)
            }
            RequestOutcome::Failure => None,
        };
        let tally = Tally {
            requests: 1,
            failures: u64::from(outcome == RequestOutcome::Failure),
            timed: u64::from(slow.is_some()),
            slow: u64::from(slow == Some(true)),
        };
        let mut pair = Pair::default();
        match pick.side {
            Side::Old => pair.old = tally,
            Side::New => pair.new = tally,
        }
        if pick.share_percent == Stage::All.percent() {
            test.is_limit_stale = true;
        } else if pick.side == Side::Old && outcome == RequestOutcome::Success {
            if std::mem::take(&mut test.is_limit_stale) {
                test.limit.fade();
            }
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
    pub fn needs_control_sample(&mut self, now: Instant) -> bool {
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
            has_unresolved_anomaly: run.routes.iter().any(|it| it.is_doubtful(now)),
            exposure: run.routes.iter().filter_map(RouteTest::exposure).collect(),
            thin_routes: run.thin_routes().map(|it| it.name.clone()).collect(),
        })
    }
}
