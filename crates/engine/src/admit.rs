//! Admission of requests.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{IsolationPolicy, TenantId};
use kingcupford_fleet::MemberState;
use kingcupford_quota::{AcquireOutcome, Resource};
use kingcupford_route::{BeginResult, Outcome, Quarantine, QuarantineStatus, RunHandle};
use tokio::time::Instant;

use crate::{
    engine::{Engine, OPEN_TENANT, Running},
    request::{Admission, PresentedKey, Refusal, RefusalReason, RequestHead, Ticket},
};

/// Longest wait of a request for a loan of its tenant's rate.
const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Longest wait of a request that arrived around a pause.
const MAX_CATCH_UP: Duration = Duration::from_secs(3);

/// Time without a tick after which the process counts as paused.
const PAUSE: Duration = Duration::from_secs(1);

/// Time after which a request that arrived around a pause asks again.
const PAUSE_RETRY: Duration = Duration::from_millis(20);

/// Time after which a request that waits for a loan asks again.
const RATE_RETRY: Duration = Duration::from_millis(10);

/// Longest time told to a request whose tenant's rate is spent; a host's own refill may be slow
/// only because its share is lent, and other hosts may have tokens.
const MAX_RATE_RETRY: Duration = Duration::from_secs(1);

impl Engine {
    /// Decides whether a request may run; `waited` marks a repeated question after a wait.
    pub fn admit(&mut self, head: &RequestHead, waited: bool, now: Instant) -> Admission {
        match self.check(head, waited, now) {
            Ok(it) => it,
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Checks a request in the order in which refusals matter to the caller.
    fn check(
        &mut self,
        head: &RequestHead,
        waited: bool,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let snapshot = Arc::clone(&self.snapshot);
        if snapshot.version.0 == 0 {
            let retry = Duration::from_secs(1);
            return Err(Refusal::new(RefusalReason::NotReady).with_retry_after(retry));
        }
        if self.is_catching_up(now) {
            let give_up = head.arrived + head.timeout.unwrap_or(MAX_CATCH_UP).min(MAX_CATCH_UP);
            if now < give_up {
                return Ok(Admission::Wait { until: now + PAUSE_RETRY });
            }
            let retry = Duration::from_secs(1);
            return Err(Refusal::new(RefusalReason::NotReady).with_retry_after(retry));
        }
        let service = snapshot.services.id(&head.service);
        let service = service.ok_or(Refusal::new(RefusalReason::UnknownService))?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route_id = snapshot.route(service, &head.method, path);
        let route_id = route_id.ok_or(Refusal::new(RefusalReason::UnknownRoute))?;
        let route = &snapshot.routes[route_id];
        let tenant = if route.open { None } else { Some(self.authenticate(head, now)?) };
        let limit = Duration::from_millis(route.timeout_ms);
        let deadline = head.arrived + head.timeout.map_or(limit, |it| it.min(limit));
        if now >= deadline {
            return Err(Refusal::new(RefusalReason::DeadlinePassed));
        }
        let tenant_name = tenant.map_or("", |it| snapshot.tenants[it].name.as_str());
        let fingerprint = Quarantine::fingerprint(
            tenant_name,
            &head.method,
            &format!("{}{}", head.service, head.path),
            head.content_length,
            &head.first_bytes,
        );
        if let QuarantineStatus::Quarantined { until } = self.quarantine.status(fingerprint, now) {
            let retry = until.saturating_duration_since(now);
            return Err(Refusal::new(RefusalReason::Quarantined).with_retry_after(retry));
        }
        if let Some(tenant) = tenant
            && let Some(wait) = self.take_rate(tenant, head, waited, deadline, now)?
        {
            return Ok(wait);
        }
        let key = if route.idempotent {
            None
        } else {
            match self.begin(head, tenant.unwrap_or(OPEN_TENANT), now) {
                Ok(it) => Some(it),
                Err(refusal) => {
                    if let Some(tenant) = tenant {
                        self.holder.refund(Resource::TenantRate(tenant), 1.0, now);
                    }
                    return Err(refusal);
                }
            }
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.requests.push(Running {
            ticket,
            service,
            route: route_id,
            tenant,
            idempotent: route.idempotent,
            fingerprint,
            key,
            admitted: now,
            deadline,
            asked: None,
            wait_until: None,
            attempts: 0,
            may_have_run: false,
            tried: Vec::new(),
            placement: None,
            ready: false,
            queued: false,
            pick: None,
        });
        self.services[usize::from(service.0)].retries.record_request(now);
        Ok(Admission::Admitted(ticket))
    }

    /// Whether the process was paused and may have missed a revocation or a stop.
    fn is_catching_up(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick) > PAUSE
            || self.resync.is_some_and(|it| now < it.until)
    }

    /// Finds the tenant of the key that came with a request.
    fn authenticate(&self, head: &RequestHead, now: Instant) -> Result<TenantId, Refusal> {
        let key = match &head.key {
            PresentedKey::Missing => return Err(Refusal::new(RefusalReason::KeyMissing)),
            PresentedKey::Malformed => return Err(Refusal::new(RefusalReason::KeyInvalid)),
            PresentedKey::Key(it) => it,
        };
        let tenant =
            self.snapshot.authenticate(key).ok_or(Refusal::new(RefusalReason::KeyInvalid))?;
        let policy = self.snapshot.tenants[tenant].when_isolated;
        if policy == IsolationPolicy::Refuse && self.fleet.is_isolated(now) {
            return Err(Refusal::new(RefusalReason::KeyUnconfirmed));
        }
        Ok(tenant)
    }

    /// Takes one request from the tenant's rate; answers a wait while a loan is pending.
    fn take_rate(
        &mut self,
        tenant: TenantId,
        head: &RequestHead,
        waited: bool,
        deadline: Instant,
        now: Instant,
    ) -> Result<Option<Admission>, Refusal> {
        let resource = Resource::TenantRate(tenant);
        let take = if waited {
            self.holder.retry_acquire_tokens(resource, 1.0, now)
        } else {
            self.holder.acquire_tokens(resource, 1.0, now)
        };
        let AcquireOutcome::Exhausted { retry_after, loan_pending } = take else { return Ok(None) };
        let give_up = deadline.min(head.arrived + MAX_RATE_WAIT);
        let may_wait = loan_pending || now + retry_after <= give_up;
        if may_wait && now < give_up {
            let pause = if loan_pending { retry_after.min(RATE_RETRY) } else { retry_after };
            let until = (now + pause.max(Duration::from_millis(1))).min(give_up);
            return Ok(Some(Admission::Wait { until }));
        }
        let one_token = Duration::from_secs_f64(1.0 / self.snapshot.tenants[tenant].rate_per_s);
        let retry_after = retry_after.min(MAX_RATE_RETRY.max(one_token));
        Err(Refusal::new(RefusalReason::TenantRate).with_retry_after(retry_after))
    }

    /// Takes up the request id of a request that is not idempotent.
    fn begin(
        &mut self,
        head: &RequestHead,
        tenant: TenantId,
        now: Instant,
    ) -> Result<RunHandle, Refusal> {
        let binding = self.request_ids.binding(now);
        let Some(text) = &head.request_id else {
            return Err(Refusal::new(RefusalReason::RequestIdMissing).with_binding(binding));
        };
        Err(match self.request_ids.begin(text, tenant, now) {
            BeginResult::Run(key) => return Ok(key),
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
                .with_detail(self.describe_host(&host)),
            BeginResult::Void => Refusal::new(RefusalReason::RequestIdVoid)
                .with_outcome(Outcome::Unknown)
                .with_binding(binding),
            BeginResult::Full => Refusal::new(RefusalReason::RequestIdsFull),
            BeginResult::Malformed => {
                Refusal::new(RefusalReason::RequestIdMalformed).with_binding(binding)
            }
        })
    }

    /// Name and addresses of another host, as a caller needs them.
    fn describe_host(&self, name: &str) -> String {
        match self.fleet.member(name) {
            Some(it) if it.state != MemberState::Gone => {
                format!("{name} {}", it.public_addresses.join(" "))
            }
            _ => name.to_owned(),
        }
    }
}
