//! Admission of requests.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{IsolationPolicy, TeamId};
use kingcupford_fleet::MemberState;
use kingcupford_quota::{AcquireOutcome, Resource};
use kingcupford_route::{BeginResult, Outcome, Quarantine, QuarantineStatus, RunHandle};
use tokio::time::Instant;

use crate::{
    engine::{ActiveRequest, Engine, OPEN_ROUTE_TEAM},
    request::{Admission, PresentedKey, Refusal, RefusalReason, RequestHead, Ticket},
};

/// Maximum time from the arrival of a request for which it waits for tokens of its team's rate.
const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Maximum time from the arrival of a request for which it waits until the host has caught up after
/// a pause.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_secs(3);

/// Time without a tick after which the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Interval at which a request asks again while the host catches up after a pause.
const CATCH_UP_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum interval at which a request asks again while a loan is pending.
const MAX_LOAN_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum `retry_after` reported for an exhausted team rate, unless one token takes longer at
/// the team's full rate. The refill of this host may be slow only because its share is lent, and
/// other hosts may have tokens.
const MAX_RATE_RETRY_AFTER: Duration = Duration::from_secs(1);

impl Engine {
    /// Decides whether a request may run. `has_waited` must be set on calls that are repeated after
    /// [`Admission::Wait`], so that the request's demand is not counted again.
    pub fn admit(&mut self, head: &RequestHead, has_waited: bool, now: Instant) -> Admission {
        match self.try_admit(head, has_waited, now) {
            Ok(it) => it,
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Admits a request or returns the refusal that is most relevant to the caller, by the order of
    /// the checks.
    fn try_admit(
        &mut self,
        head: &RequestHead,
        has_waited: bool,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let snapshot = Arc::clone(&self.snapshot);
        if snapshot.version.0 == 0 {
            let retry_after = Duration::from_secs(1);
            return Err(Refusal::new(RefusalReason::NotReady).with_retry_after(retry_after));
        }
        if self.is_catching_up(now) {
            let max_wait = head.timeout.unwrap_or(MAX_CATCH_UP_WAIT).min(MAX_CATCH_UP_WAIT);
            let wait_limit = head.arrived + max_wait;
            if now < wait_limit {
                return Ok(Admission::Wait { until: now + CATCH_UP_RETRY_INTERVAL });
            }
            let retry_after = Duration::from_secs(1);
            return Err(Refusal::new(RefusalReason::NotReady).with_retry_after(retry_after));
        }
        let service = snapshot.services.id(&head.service);
        let service = service.ok_or(Refusal::new(RefusalReason::UnknownService))?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route_id = snapshot.route(service, &head.method, path);
        let route_id = route_id.ok_or(Refusal::new(RefusalReason::UnknownRoute))?;
        let route = &snapshot.routes[route_id];
        let team = if route.open { None } else { Some(self.authenticate(head, now)?) };
        let route_timeout = Duration::from_millis(route.timeout_ms);
        let deadline =
            head.arrived + head.timeout.map_or(route_timeout, |it| it.min(route_timeout));
        if now >= deadline {
            return Err(Refusal::new(RefusalReason::DeadlinePassed));
        }
        if self.may_be_cut(deadline) {
            let retry_after = Duration::ZERO;
            return Err(Refusal::new(RefusalReason::ShuttingDown).with_retry_after(retry_after));
        }
        let team_name = team.map_or("", |it| snapshot.teams[it].name.as_str());
        let fingerprint = Quarantine::fingerprint(
            team_name,
            &head.method,
            &format!("{}{}", head.service, head.path),
            head.content_length,
            &head.first_bytes,
        );
        if let QuarantineStatus::Quarantined { until } = self.quarantine.status(fingerprint, now) {
            let retry_after = until.saturating_duration_since(now);
            return Err(Refusal::new(RefusalReason::Quarantined).with_retry_after(retry_after));
        }
        if let Some(team) = team
            && let Some(wait) = self.acquire_team_token(team, head, has_waited, deadline, now)?
        {
            return Ok(wait);
        }
        let run_handle = if route.idempotent {
            None
        } else {
            match self.begin_run(head, team.unwrap_or(OPEN_ROUTE_TEAM), now) {
                Ok(it) => Some(it),
                Err(refusal) => {
                    if let Some(team) = team {
                        self.holder.refund(Resource::TeamRate(team), 1.0, now);
                    }
                    return Err(refusal);
                }
            }
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.requests.push(ActiveRequest {
            ticket,
            service,
            route: route_id,
            team,
            idempotent: route.idempotent,
            fingerprint,
            run_handle,
            admitted_at: now,
            deadline,
            slot_requested_at: None,
            wait_until: None,
            attempts: 0,
            may_have_run: false,
            tried_instances: Vec::new(),
            placement: None,
            is_ready: false,
            is_queued: false,
            version_pick: None,
        });
        self.services[usize::from(service.0)].retry_budget.record_request(now);
        Ok(Admission::Admitted(ticket))
    }

    /// Returns whether the process was paused and may have missed the revocation of a key or the
    /// stop of a rollout.
    fn is_catching_up(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick_at) > PAUSE_THRESHOLD
            || self.resync.is_some_and(|it| now < it.expires_at)
    }

    /// Returns the team of the key that came with a request.
    fn authenticate(&self, head: &RequestHead, now: Instant) -> Result<TeamId, Refusal> {
        let key = match &head.key {
            PresentedKey::Missing => return Err(Refusal::new(RefusalReason::KeyMissing)),
            PresentedKey::Malformed => return Err(Refusal::new(RefusalReason::KeyInvalid)),
            PresentedKey::Key(it) => it,
        };
        let team =
            self.snapshot.authenticate(key).ok_or(Refusal::new(RefusalReason::KeyInvalid))?;
        let policy = self.snapshot.teams[team].when_isolated;
        if policy == IsolationPolicy::Refuse && self.fleet.is_isolated(now) {
            return Err(Refusal::new(RefusalReason::KeyUnconfirmed));
        }
        Ok(team)
    }

    /// Takes one token of a team's rate. Returns [`Admission::Wait`] if a token is expected in
    /// time: from a pending loan or the refill of this host's share.
    fn acquire_team_token(
        &mut self,
        team: TeamId,
        head: &RequestHead,
        has_waited: bool,
        deadline: Instant,
        now: Instant,
    ) -> Result<Option<Admission>, Refusal> {
        let resource = Resource::TeamRate(team);
        let outcome = if has_waited {
            self.holder.retry_acquire_tokens(resource, 1.0, now)
        } else {
            self.holder.acquire_tokens(resource, 1.0, now)
        };
        let AcquireOutcome::Exhausted { retry_after, loan_pending } = outcome else {
            return Ok(None);
        };
        let wait_limit = deadline.min(head.arrived + MAX_RATE_WAIT);
        let may_wait = loan_pending || now + retry_after <= wait_limit;
        if may_wait && now < wait_limit {
            let delay =
                if loan_pending { retry_after.min(MAX_LOAN_RETRY_INTERVAL) } else { retry_after };
            let until = (now + delay.max(Duration::from_millis(1))).min(wait_limit);
            return Ok(Some(Admission::Wait { until }));
        }
        let token_interval = Duration::from_secs_f64(1.0 / self.snapshot.teams[team].rate_per_s);
        let retry_after = retry_after.min(MAX_RATE_RETRY_AFTER.max(token_interval));
        Err(Refusal::new(RefusalReason::TeamRate).with_retry_after(retry_after))
    }

    /// Starts the run of a request that is not idempotent under its request id.
    fn begin_run(
        &mut self,
        head: &RequestHead,
        team: TeamId,
        now: Instant,
    ) -> Result<RunHandle, Refusal> {
        let binding = self.request_ids.binding(now);
        let Some(text) = &head.request_id else {
            return Err(Refusal::new(RefusalReason::RequestIdMissing).with_binding(binding));
        };
        Err(match self.request_ids.begin(text, team, now) {
            BeginResult::Run(handle) => return Ok(handle),
            BeginResult::Running => {
                Refusal::new(RefusalReason::RequestIdRunning).with_outcome(Outcome::Unknown)
            }
            BeginResult::Executed { status } => Refusal::new(RefusalReason::RequestIdExecuted)
                .with_outcome(Outcome::Executed)
                .with_detail(status.to_string()),
            BeginResult::Unknown => {
                Refusal::new(RefusalReason::RequestIdUnknown).with_outcome(Outcome::Unknown)
            }
            BeginResult::Elsewhere { host } => Refusal::new(RefusalReason::RequestIdElsewhere)
                .with_outcome(Outcome::Unknown)
                .with_detail(self.host_with_addresses(&host)),
            BeginResult::Void => Refusal::new(RefusalReason::RequestIdVoid)
                .with_outcome(Outcome::Unknown)
                .with_binding(binding),
            BeginResult::Full => Refusal::new(RefusalReason::RequestIdsFull),
            BeginResult::Malformed => {
                Refusal::new(RefusalReason::RequestIdMalformed).with_binding(binding)
            }
        })
    }

    /// Returns the name of another host and, unless it is gone, the addresses that callers use.
    fn host_with_addresses(&self, name: &str) -> String {
        match self.fleet.member(name) {
            Some(it) if it.state != MemberState::Gone => {
                format!("{name} {}", it.public_addresses.join(" "))
            }
            _ => name.to_owned(),
        }
    }
}
