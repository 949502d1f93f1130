//! Baseline policy: rates divided equally among the hosts, round robin over instances, and
//! unconditional retries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kingcupford_config::{InstanceId, ServiceId, Snapshot, VersionId};
use kingcupford_engine::{
    Admission, Attempt, AttemptResult, FinishOutcome, PresentedKey, Refusal, RefusalReason,
    RequestHead, StartOutcome, Ticket,
};
use kingcupford_rollout::Rollout;
use kingcupford_route::{AttemptOutcome, Outcome, Quarantine};
use tokio::time::Instant;

use crate::reference::TokenBucket;

/// Maximum attempts of one request: the first one and three retries.
const MAX_ATTEMPTS: u32 = 4;

/// Baseline policy of one host.
#[derive(Debug)]
pub(crate) struct Baseline {
    snapshot: Arc<Snapshot>,
    /// Number of hosts, each of which enforces an equal share of each team's rate.
    host_count: u32,
    /// Start of the process, the time origin of the buckets.
    started: Instant,
    /// Rate limiting buckets by team index.
    buckets: Vec<TokenBucket>,
    /// Round-robin counters by service index.
    round_robin_counters: Vec<usize>,
    /// Version under rollout by service name; receives traffic in addition to the active version.
    rollouts: BTreeMap<String, String>,
    /// Unfinished requests: current attempt and number of attempts so far.
    requests: BTreeMap<Ticket, (Attempt, u32)>,
    next_ticket: u64,
}

impl Baseline {
    /// Creates a policy without configuration; `first_turn` initializes the round-robin counters.
    pub(crate) fn new(host_count: u32, first_turn: usize, now: Instant) -> Self {
        Self {
            snapshot: Arc::new(Snapshot::default()),
            host_count,
            started: now,
            buckets: Vec::new(),
            round_robin_counters: vec![first_turn; 64],
            rollouts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// Returns the active configuration.
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Activates a configuration.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>, _now: Instant) {
        let host_count = f64::from(self.host_count);
        if self.buckets.len() != snapshot.teams.slot_count() {
            let teams = snapshot.teams.iter();
            self.buckets = teams
                .map(|(_, it)| TokenBucket::new(it.rate_per_s / host_count, it.burst / host_count))
                .collect();
        }
        self.snapshot = snapshot;
    }

    /// Adopts a rollout: its new version gets as much traffic per instance as the old one.
    pub(crate) fn adopt(&mut self, rollout: &Rollout) {
        self.rollouts.insert(rollout.service.clone(), rollout.to.clone());
    }

    /// Decides whether a request is admitted.
    pub(crate) fn admit(&mut self, head: &RequestHead, now: Instant) -> Admission {
        match self.check_request(head, now) {
            Ok(it) => Admission::Admitted(it),
            Err(reason) => {
                let retry_after = Duration::from_secs(1);
                Admission::Refused(Refusal::new(reason).with_retry_after(retry_after))
            }
        }
    }

    /// Authenticates a request, checks its team's rate and issues a ticket.
    fn check_request(&mut self, head: &RequestHead, now: Instant) -> Result<Ticket, RefusalReason> {
        let snapshot = Arc::clone(&self.snapshot);
        if snapshot.version.0 == 0 {
            return Err(RefusalReason::NotReady);
        }
        let service = snapshot.services.id(&head.service).ok_or(RefusalReason::UnknownService)?;
        let route = snapshot.route(service, &head.method, &head.path);
        let route = route.ok_or(RefusalReason::UnknownRoute)?;
        let team = match &head.key {
            PresentedKey::Key(key) => {
                Some(snapshot.authenticate(key).ok_or(RefusalReason::KeyInvalid)?)
            }
            PresentedKey::Missing | PresentedKey::Malformed => None,
        };
        if let Some(team) = team {
            let age_us = now.saturating_duration_since(self.started).as_micros() as u64;
            if !self.buckets[usize::from(team.0)].try_take(age_us) {
                return Err(RefusalReason::TeamRate);
            }
        }
        let declared = &snapshot.routes[route];
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let attempt = Attempt {
            ticket,
            instance: InstanceId(0),
            version: VersionId(0),
            service,
            route,
            team,
            region: kingcupford_config::RegionId(0),
            deadline: head.arrived + Duration::from_millis(declared.timeout_ms),
            idempotent: declared.idempotent,
            fingerprint: Quarantine::fingerprint("", "", "", None, &[]),
            pick: None,
        };
        self.requests.insert(ticket, (attempt, 0));
        Ok(ticket)
    }

    /// Selects the next instance in round-robin order.
    pub(crate) fn start_attempt(&mut self, ticket: Ticket, _now: Instant) -> StartOutcome {
        let Some((mut attempt, attempts)) = self.requests.get(&ticket).copied() else {
            return StartOutcome::Refused(Refusal::new(RefusalReason::BadRequest));
        };
        let instances = self.instances(attempt.service);
        let counter = &mut self.round_robin_counters[usize::from(attempt.service.0)];
        *counter += 1;
        let Some(instance) = instances.get(*counter % instances.len().max(1)) else {
            self.requests.remove(&ticket);
            return StartOutcome::Refused(Refusal::new(RefusalReason::NoUpstream));
        };
        attempt.instance = *instance;
        attempt.version = self.snapshot.instances[*instance].version;
        attempt.region = self.snapshot.instances[*instance].region;
        self.requests.insert(ticket, (attempt, attempts + 1));
        StartOutcome::Attempt(attempt)
    }

    /// Applies the result of an attempt. An unanswered request is retried until its deadline or
    /// `MAX_ATTEMPTS`, even if it may have run; a cancelled request is not retried.
    pub(crate) fn finish_attempt(
        &mut self,
        ticket: Ticket,
        result: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        let Some((attempt, attempts)) = self.requests.get(&ticket).copied() else {
            return FinishOutcome::Done;
        };
        let answered = matches!(result.outcome, AttemptOutcome::Answered { .. });
        let cancelled = result.outcome == AttemptOutcome::Cancelled;
        if !answered && !cancelled && attempts < MAX_ATTEMPTS && now < attempt.deadline {
            return FinishOutcome::Retry(ticket);
        }
        self.requests.remove(&ticket);
        if answered {
            return FinishOutcome::Done;
        }
        FinishOutcome::Failed(
            Refusal::new(RefusalReason::UpstreamFailed).with_outcome(Outcome::Unknown),
        )
    }

    /// Abandons a request.
    pub(crate) fn abandon(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
    }

    /// Returns the number of unfinished requests.
    pub(crate) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the instances of a service that receive traffic: those of the active version and of
    /// a version under rollout, unless they are draining.
    fn instances(&self, service: ServiceId) -> Vec<InstanceId> {
        let declared = &self.snapshot.services[service];
        let new_version = self.rollouts.get(&declared.name);
        let new_version = new_version
            .and_then(|it| self.snapshot.versions.id(&format!("{}/{it}", declared.name)));
        let versions = [Some(declared.active_version), new_version];
        let instances = versions.into_iter().flatten();
        let instances = instances.flat_map(|it| &self.snapshot.versions[it].instances).copied();
        instances.filter(|it| !self.snapshot.instances[*it].draining).collect()
    }
}
