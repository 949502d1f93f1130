//! The baseline: rates split equally over the hosts, round robin over instances, blind retries.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use kingcupford_config::{InstanceId, ServiceId, Snapshot, VersionId};
use kingcupford_engine::{
    Admission, Attempt, AttemptResult, FinishOutcome, PresentedKey, Refusal, RefusalReason,
    RequestHead, StartOutcome, Ticket,
};
use kingcupford_rollout::Rollout;
use kingcupford_route::{AttemptOutcome, Outcome, Quarantine};
use tokio::time::Instant;

use crate::reference::Bucket;

/// Attempts of one request: the first one and three retries.
const MAX_ATTEMPTS: u32 = 4;

/// Policy of a host of the baseline.
#[derive(Debug)]
pub(crate) struct Baseline {
    /// The active configuration.
    snapshot: Arc<Snapshot>,
    /// Number of hosts, all of which get the same part of each rate.
    hosts: u32,
    /// Start of the process, from which buckets count.
    created: Instant,
    /// One bucket per tenant key.
    buckets: Vec<Bucket>,
    /// Next instance per service key.
    turns: Vec<usize>,
    /// Versions that get traffic beside the active one, by service name.
    rollouts: BTreeMap<String, String>,
    /// Requests that are not finished, with the attempts so far and the present attempt.
    requests: BTreeMap<Ticket, (Attempt, u32)>,
    /// Ticket of the next request.
    next_ticket: u64,
}

impl Baseline {
    /// A policy without configuration.
    pub(crate) fn new(hosts: u32, first_turn: usize, now: Instant) -> Self {
        Self {
            snapshot: Arc::new(Snapshot::default()),
            hosts,
            created: now,
            buckets: Vec::new(),
            turns: vec![first_turn; 64],
            rollouts: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_ticket: 1,
        }
    }

    /// The active configuration.
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Makes a configuration the active one.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>, _now: Instant) {
        let hosts = f64::from(self.hosts);
        if self.buckets.len() != snapshot.tenants.slot_count() {
            let tenants = snapshot.tenants.iter();
            self.buckets = tenants
                .map(|(_, it)| Bucket::new(it.rate_per_s / hosts, it.burst / hosts))
                .collect();
        }
        self.snapshot = snapshot;
    }

    /// Takes over a rollout: its new version gets as much traffic per instance as the old one.
    pub(crate) fn adopt(&mut self, rollout: &Rollout) {
        self.rollouts.insert(rollout.service.clone(), rollout.to.clone());
    }

    /// Decides whether a request may run.
    pub(crate) fn admit(&mut self, head: &RequestHead, now: Instant) -> Admission {
        match self.check(head, now) {
            Ok(it) => Admission::Admitted(it),
            Err(reason) => {
                let retry = Duration::from_secs(1);
                Admission::Refused(Refusal::new(reason).with_retry_after(retry))
            }
        }
    }

    /// Checks a request.
    fn check(&mut self, head: &RequestHead, now: Instant) -> Result<Ticket, RefusalReason> {
        let snapshot = Arc::clone(&self.snapshot);
        if snapshot.version.0 == 0 {
            return Err(RefusalReason::NotReady);
        }
        let service = snapshot.services.id(&head.service).ok_or(RefusalReason::UnknownService)?;
        let route = snapshot.route(service, &head.method, &head.path);
        let route = route.ok_or(RefusalReason::UnknownRoute)?;
        let tenant = match &head.key {
            PresentedKey::Key(key) => {
                Some(snapshot.authenticate(key).ok_or(RefusalReason::KeyInvalid)?)
            }
            PresentedKey::Missing | PresentedKey::Malformed => None,
        };
        if let Some(tenant) = tenant {
            let age_us = now.saturating_duration_since(self.created).as_micros() as u64;
            if !self.buckets[usize::from(tenant.0)].take(age_us) {
                return Err(RefusalReason::TenantRate);
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
            tenant,
            region: kingcupford_config::RegionId(0),
            deadline: head.arrived + Duration::from_millis(declared.timeout_ms),
            idempotent: declared.idempotent,
            fingerprint: Quarantine::fingerprint("", "", "", None, &[]),
            pick: None,
        };
        self.requests.insert(ticket, (attempt, 0));
        Ok(ticket)
    }

    /// Chooses the next instance in turn.
    pub(crate) fn start(&mut self, ticket: Ticket, _now: Instant) -> StartOutcome {
        let Some((mut attempt, attempts)) = self.requests.get(&ticket).copied() else {
            return StartOutcome::Refused(Refusal::new(RefusalReason::BadRequest));
        };
        let instances = self.instances(attempt.service);
        let turn = &mut self.turns[usize::from(attempt.service.0)];
        *turn += 1;
        let Some(instance) = instances.get(*turn % instances.len().max(1)) else {
            self.requests.remove(&ticket);
            return StartOutcome::Refused(Refusal::new(RefusalReason::NoUpstream));
        };
        attempt.instance = *instance;
        attempt.version = self.snapshot.instances[*instance].version;
        attempt.region = self.snapshot.instances[*instance].region;
        self.requests.insert(ticket, (attempt, attempts + 1));
        StartOutcome::Attempt(attempt)
    }

    /// Ends an attempt: whatever was not answered is sent again.
    pub(crate) fn finish(
        &mut self,
        ticket: Ticket,
        end: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        let Some((attempt, attempts)) = self.requests.get(&ticket).copied() else {
            return FinishOutcome::Done;
        };
        let answered = matches!(end.outcome, AttemptOutcome::Answered { .. });
        let cancelled = end.outcome == AttemptOutcome::Cancelled;
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

    /// Gives up a request.
    pub(crate) fn abandon(&mut self, ticket: Ticket) {
        self.requests.remove(&ticket);
    }

    /// Requests that are not finished.
    pub(crate) fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Instances of a service that get traffic.
    fn instances(&self, service: ServiceId) -> Vec<InstanceId> {
        let declared = &self.snapshot.services[service];
        let new = self.rollouts.get(&declared.name);
        let new = new.and_then(|it| self.snapshot.versions.id(&format!("{}/{it}", declared.name)));
        let versions = [Some(declared.active_version), new];
        let instances = versions.into_iter().flatten();
        let instances = instances.flat_map(|it| &self.snapshot.versions[it].instances).copied();
        instances.filter(|it| !self.snapshot.instances[*it].draining).collect()
    }
}
