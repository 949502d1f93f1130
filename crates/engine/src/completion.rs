//! Completion of attempts and requests.

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

/// Time for which an instance gets no new work after it reported that it is draining.
const DRAIN_MARK_DURATION: Duration = Duration::from_secs(10);

impl Engine {
    /// Records the result of an attempt and decides whether the request is retried.
    ///
    /// Returns [`FinishOutcome::Done`] for an unknown ticket.
    pub fn finish_attempt(
        &mut self,
        ticket: Ticket,
        result: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        let Some(index) = self.request_index(ticket) else { return FinishOutcome::Done };
        self.record_attempt_end(index, &result, now);
        let request = &self.requests[index];
        let was_suspect =
            self.quarantine.status(request.fingerprint, now) == QuarantineStatus::Suspected;
        self.record_fingerprint(index, &result, now);
        let request = &mut self.requests[index];
        let service = usize::from(request.service.0);
        let connection_broke = matches!(result.outcome, AttemptOutcome::Broken { .. });
        let budget_left = self.services[service].retry_budget.allows_retry(now);
        let context = RetryContext {
            outcome: result.outcome,
            idempotent: request.idempotent,
            byte_sent: result.byte_sent,
            earlier_may_have_run: request.may_have_run,
            attempts: request.attempts,
            max_attempts: DEFAULT_MAX_ATTEMPTS,
            budget_left: budget_left && !(connection_broke && was_suspect),
            remaining: request.deadline.saturating_duration_since(now),
        };
        request.may_have_run = context.may_have_run();
        let decision = RetryPolicy::decide(&context);
        let res = match decision {
            RetryDecision::Retry if self.services[service].retry_budget.try_take(now) => {
                return self.retry(index, now);
            }
            RetryDecision::Done => FinishOutcome::Done,
            RetryDecision::Fail(outcome) => {
                FinishOutcome::Failed(failure_refusal(&result, outcome))
            }
            RetryDecision::Retry => {
                let outcome =
                    if context.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
                FinishOutcome::Failed(failure_refusal(&result, outcome))
            }
        };
        self.close_request(index, &result, now);
        self.dispatch_waiting(now);
        res
    }

    /// Ends an admitted request that was not sent, such as one whose caller disconnected.
    pub fn abandon(&mut self, ticket: Ticket, now: Instant) {
        let Some(index) = self.request_index(ticket) else { return };
        let latency = Duration::ZERO;
        let result = AttemptResult {
            outcome: AttemptOutcome::Cancelled,
            status: None,
            byte_sent: false,
            draining: false,
            latency,
        };
        if self.requests[index].placement.is_some() {
            self.record_attempt_end(index, &result, now);
        }
        self.close_request(index, &result, now);
        self.dispatch_waiting(now);
    }

    /// Releases the permit of the current attempt and records its result.
    pub(crate) fn record_attempt_end(
        &mut self,
        index: usize,
        result: &AttemptResult,
        now: Instant,
    ) {
        let request = &mut self.requests[index];
        let Some(placement) = request.placement.take() else { return };
        request.tried_instances.push(placement.instance);
        let version_pick = request.version_pick;
        let (service, route) = (request.service, request.route);
        self.holder.release_permit(Resource::RegionSlots(service, placement.region), now);
        self.balancer.record_end(placement.instance, result.outcome, result.latency, now);
        if result.draining {
            self.balancer.mark_draining(placement.instance, now + DRAIN_MARK_DURATION);
        }
        if let Some(version_pick) = version_pick {
            self.rollouts.record_attempt(
                service,
                route,
                placement.instance,
                version_pick,
                result,
                now,
            );
        }
    }

    /// Records a lost connection or an answer for the request's fingerprint in the quarantine.
    fn record_fingerprint(&mut self, index: usize, result: &AttemptResult, now: Instant) {
        let request = &self.requests[index];
        match result.outcome {
            AttemptOutcome::Broken { .. } if result.byte_sent => {
                let Some(instance) = request.tried_instances.last() else { return };
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

    /// Prepares a request for its next attempt and returns the outcome that asks for it.
    fn retry(&mut self, index: usize, now: Instant) -> FinishOutcome {
        let request = &mut self.requests[index];
        request.wait_until = None;
        request.is_ready = false;
        request.version_pick = None;
        let ticket = request.ticket;
        self.dispatch_waiting(now);
        FinishOutcome::Retry(ticket)
    }

    /// Removes a request, records the result of its run under its request id and refunds its token
    /// if the request was not sent.
    pub(crate) fn close_request(&mut self, index: usize, result: &AttemptResult, now: Instant) {
        let request = self.requests.remove(index);
        if request.is_queued {
            let state = &mut self.services[usize::from(request.service.0)];
            state.queue.retain(|it| *it != request.ticket);
            if state.queue_head == Some(request.ticket) {
                state.queue_head = None;
            }
        }
        let may_have_run =
            request.may_have_run || matches!(result.outcome, AttemptOutcome::Answered { .. });
        if let Some(handle) = request.run_handle {
            let run_result = match result.status {
                // A response head arrived, so the request ran, even if the caller or the body was
                // lost.
                Some(status) => RunResult::Executed { status },
                _ if may_have_run || result.byte_sent && request.attempts > 0 => RunResult::Unknown,
                _ => RunResult::NotRun,
            };
            self.request_ids.finish(handle, run_result, now);
        }
        // A token refunded later than at admission would not have counted against the burst in the
        // meantime, so waiting requests could exceed rate and burst in total and then run at once.
        if let Some(team) = request.team
            && !may_have_run
            && !result.byte_sent
            && now == request.admitted_at
        {
            self.holder.refund(Resource::TeamRate(team), 1.0, now);
        }
    }
}

/// Returns the refusal for a request that failed after an attempt.
fn failure_refusal(result: &AttemptResult, outcome: Outcome) -> Refusal {
    let reason = match result.outcome {
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
