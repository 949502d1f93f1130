//! Reaction of callers to responses, refusals and timeouts.

use std::time::Duration;

use kingcupford_engine::{Refusal, RefusalReason};
use kingcupford_route::Outcome;

use super::{OperationOutcome, RESEND_DELAY_US};
use crate::{
    event::{Event, OperationIndex, RequestIndex, RequestResult},
    world::World,
};

impl World {
    /// Handles the result of a request at its caller.
    pub(crate) fn handle_result(&mut self, request: RequestIndex, result: RequestResult) {
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_settled, true) {
            return;
        }
        let id = state.op;
        let op = &mut self.callers.ops[id];
        match result {
            RequestResult::Executed { failed } => {
                let outcome =
                    if failed { OperationOutcome::Failed } else { OperationOutcome::Done };
                self.end_operation(id, outcome);
            }
            RequestResult::ConnectFailed => {
                op.next_host += 1;
                if !op.may_have_run {
                    op.request_id = None;
                }
                self.send_operation(id);
            }
            RequestResult::ConnectionLost => self.handle_unknown_outcome(id, true),
            RequestResult::Refused(refusal) => match refusal.outcome {
                Outcome::Executed => self.end_operation(id, OperationOutcome::Done),
                Outcome::Unknown => self.handle_unknown_refusal(id, &refusal),
                Outcome::NotRun => self.handle_not_run(id, &refusal),
            },
        }
    }

    /// Handles a refusal that says that the request did not run.
    fn handle_not_run(&mut self, id: OperationIndex, refusal: &Refusal) {
        let op = &mut self.callers.ops[id];
        if op.may_have_run {
            return self.end_operation(id, OperationOutcome::Unknown);
        }
        if let (
            RefusalReason::RequestIdMissing | RefusalReason::RequestIdMalformed,
            Some(binding),
        ) = (refusal.reason, &refusal.binding)
        {
            op.request_id = Some(format!("{binding}.{id}"));
            return self.send_operation(id);
        }
        let is_final = matches!(
            refusal.reason,
            RefusalReason::KeyInvalid | RefusalReason::KeyMissing | RefusalReason::Quarantined
        );
        if is_final || op.repeats_left == 0 {
            return self.end_operation(id, OperationOutcome::NotRun);
        }
        op.repeats_left -= 1;
        let retry_after = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        self.clock.after(retry_after.as_micros() as u64, Event::ResendDue { op: id });
    }

    /// Handles a refusal that says that the request may have run.
    fn handle_unknown_refusal(&mut self, id: OperationIndex, refusal: &Refusal) {
        let op = &mut self.callers.ops[id];
        // A request with a void id never runs. If no earlier request of the operation may have run,
        // the operation has not run either and can be sent under a new id.
        if let (RefusalReason::RequestIdVoid, Some(binding), false) =
            (refusal.reason, &refusal.binding, op.may_have_run)
        {
            op.request_id = Some(format!("{binding}.{id}"));
            return self.send_operation(id);
        }
        self.handle_unknown_outcome(id, false);
    }

    /// Handles a request of which the caller does not know whether it ran.
    fn handle_unknown_outcome(&mut self, id: OperationIndex, host_failed: bool) {
        let op = &mut self.callers.ops[id];
        if op.idempotent {
            if op.repeats_left == 0 || op.poison_fault.is_some() {
                return self.end_operation(id, OperationOutcome::Unknown);
            }
            op.repeats_left -= 1;
            op.next_host += 1;
        } else {
            op.may_have_run = true;
            if !op.resends_unknown || op.repeats_left == 0 {
                return self.end_operation(id, OperationOutcome::Unknown);
            }
            op.repeats_left -= 1;
            op.next_host += usize::from(op.resends_elsewhere || host_failed);
        }
        self.clock.after(RESEND_DELAY_US, Event::ResendDue { op: id });
    }

    /// Handles a caller's timeout: cancels the request at the host if the host can be reached. The
    /// outcome of the request is unknown.
    pub(crate) fn handle_caller_timeout(&mut self, request: RequestIndex) {
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.is_settled, true) {
            return;
        }
        let (to, id) = (state.to, state.op);
        let zone = self.callers.ops[id].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.caller_reaches(zone, host_zone) {
            let latency_us = self.network.caller_latency_us(zone, host_zone);
            self.clock.after(latency_us, Event::CancellationArrived { to, request });
        }
        self.handle_unknown_outcome(id, true);
    }

    /// Ends an operation, unless it has ended.
    pub(super) fn end_operation(&mut self, id: OperationIndex, outcome: OperationOutcome) {
        let now_us = self.clock.now_us();
        let op = &mut self.callers.ops[id];
        if op.outcome.is_some() {
            return;
        }
        op.outcome = Some(outcome);
        if op.poison_fault.is_none() {
            self.observer.record_end(op, outcome, now_us);
        }
    }
}
