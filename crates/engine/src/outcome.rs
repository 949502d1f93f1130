//! Ends of attempts and requests.

use std::time::Duration;

use kingcupford_quota::Resource;
use kingcupford_route::{
    AttemptOutcome, DEFAULT_MAX_ATTEMPTS, Outcome, QuarantineStatus, RetryContext, RetryDecision,
    RetryPolicy, RunResult,
};
use tokio::time::Instant;

use crate::{
    engine::Engine,
    request::{AttemptResult, FinishOutcome, Refusal, RefusalReason, Ticket},
};

/// Time for which an instance that says it drains gets no new work.
const DRAIN_MARK: Duration = Duration::from_secs(10);

impl Engine {
    /// Ends an attempt and decides what follows.
    pub fn finish_attempt(
        &mut self,
        ticket: Ticket,
        end: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        let Some(at) = self.position(ticket) else { return FinishOutcome::Done };
        self.record_end(at, &end, now);
        let request = &self.requests[at];
        let was_suspect =
            self.quarantine.status(request.fingerprint, now) == QuarantineStatus::Suspected;
        self.record_fingerprint(at, &end, now);
        let request = &mut self.requests[at];
        let service = usize::from(request.service.0);
        let broke = matches!(end.outcome, AttemptOutcome::Broken { .. });
        let budget_left = self.services[service].retries.allows_retry(now);
        let facts = RetryContext {
            outcome: end.outcome,
            idempotent: request.idempotent,
            byte_sent: end.byte_sent,
            earlier_may_have_run: request.may_have_run,
            attempts: request.attempts,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            budget_left: budget_left && !(broke && was_suspect),
            remaining: request.deadline.saturating_duration_since(now),
        };
        request.may_have_run = facts.may_have_run();
        let decision = RetryPolicy::decide(&facts);
        let res = match decision {
            RetryDecision::Retry if self.services[service].retries.try_take(now) => {
                return self.retry(at, now);
            }
            RetryDecision::Done => FinishOutcome::Done,
            RetryDecision::Fail(outcome) => FinishOutcome::Failed(failure(&end, outcome)),
            RetryDecision::Retry => {
                let outcome = if facts.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
                FinishOutcome::Failed(failure(&end, outcome))
            }
        };
        self.close(at, &end, now);
        self.pump(now);
        res
    }

    /// Gives up an admitted request that was not sent, such as one whose caller went away.
    pub fn abandon(&mut self, ticket: Ticket, now: Instant) {
        let Some(at) = self.position(ticket) else { return };
        let latency = Duration::ZERO;
        let end = AttemptResult {
            outcome: AttemptOutcome::Cancelled,
            status: None,
            byte_sent: false,
            draining: false,
            latency,
        };
        if self.requests[at].placement.is_some() {
            self.record_end(at, &end, now);
        }
        self.close(at, &end, now);
        self.pump(now);
    }

    /// Frees what the present attempt used and records what it observed.
    fn record_end(&mut self, at: usize, end: &AttemptResult, now: Instant) {
        let request = &mut self.requests[at];
        let Some(placement) = request.placement.take() else { return };
        request.tried.push(placement.instance);
        let pick = request.pick;
        let (service, route) = (request.service, request.route);
        self.holder.release_permit(Resource::RegionSlots(service, placement.region), now);
        self.balancer.record_end(placement.instance, end.outcome, end.latency, now);
        if end.draining {
            self.balancer.mark_draining(placement.instance, now + DRAIN_MARK);
        }
        if let Some(pick) = pick {
            self.rollouts.observe(service, route, placement.instance, pick, end, now);
        }
    }

    /// Records whether the request's content coincided with a lost connection.
    fn record_fingerprint(&mut self, at: usize, end: &AttemptResult, now: Instant) {
        let request = &self.requests[at];
        match end.outcome {
            AttemptOutcome::Broken { .. } if end.byte_sent => {
                let Some(instance) = request.tried.last() else { return };
                let Some(instance) = self.snapshot.instances.value(*instance) else { return };
                let name = instance.name.clone();
                self.quarantine.record_loss(request.fingerprint, &name, now);
            }
            AttemptOutcome::Answered { .. } => {
                self.quarantine.record_success(request.fingerprint, now)
            }
            _ => {}
        }
    }

    /// Prepares a request for its next attempt.
    fn retry(&mut self, at: usize, now: Instant) -> FinishOutcome {
        let request = &mut self.requests[at];
        request.wait_until = None;
        request.ready = false;
        request.pick = None;
        let ticket = request.ticket;
        self.pump(now);
        FinishOutcome::Retry(ticket)
    }

    /// Removes a request and records what became of its id and its rate.
    pub(crate) fn close(&mut self, at: usize, end: &AttemptResult, now: Instant) {
        let request = self.requests.remove(at);
        if request.queued {
            let state = &mut self.services[usize::from(request.service.0)];
            state.queue.retain(|it| *it != request.ticket);
            if state.head == Some(request.ticket) {
                state.head = None;
            }
        }
        let ran = request.may_have_run || matches!(end.outcome, AttemptOutcome::Answered { .. });
        if let Some(key) = request.key {
            let record = match end.status {
                // The head of an answer came, so it ran, even if the caller or the body was lost.
                Some(status) => RunResult::Executed { status },
                _ if ran || end.byte_sent && request.attempts > 0 => RunResult::Unknown,
                _ => RunResult::NotRun,
            };
            self.request_ids.finish(key, record, now);
        }
        // A token that comes back later has not counted against the burst meanwhile, so that waiting
        // requests could add up to more than rate and burst and then run together.
        if let Some(tenant) = request.tenant
            && !ran
            && !end.byte_sent
            && now == request.admitted
        {
            self.holder.refund(Resource::TenantRate(tenant), 1.0, now);
        }
    }
}

/// The refusal for a request that failed after an attempt.
fn failure(end: &AttemptResult, outcome: Outcome) -> Refusal {
    let reason = match end.outcome {
        AttemptOutcome::TimedOut => RefusalReason::DeadlinePassed,
        AttemptOutcome::Shed => RefusalReason::ServiceBusy,
        _ => RefusalReason::UpstreamFailed,
    };
    let res = Refusal::new(reason).with_outcome(outcome);
    match outcome {
        Outcome::NotRun => res.with_retry_after(Duration::from_secs(1)),
        Outcome::Executed | Outcome::Unknown => res,
    }
}
