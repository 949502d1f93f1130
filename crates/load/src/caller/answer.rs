//! What callers do with answers, refusals and silence.

use std::time::Duration;

use kingcupford_engine::{Refusal, RefusalReason};
use kingcupford_route::Outcome;

use super::{OpEnd, REPEAT_US};
use crate::{
    event::{Event, OpId, SendingId, SendingResult},
    world::World,
};

impl World {
    /// A caller learns what became of a sending.
    pub(crate) fn at_caller(&mut self, sending: SendingId, result: SendingResult) {
        let state = &mut self.sendings[sending];
        if std::mem::replace(&mut state.settled, true) {
            return;
        }
        let id = state.op;
        let op = &mut self.callers.ops[id];
        match result {
            SendingResult::Executed { failed } => {
                self.end_op(id, if failed { OpEnd::Failed } else { OpEnd::Done });
            }
            SendingResult::NotSent => {
                op.next += 1;
                if !op.uncertain {
                    op.request_id = None;
                }
                self.send(id);
            }
            SendingResult::Broken => self.unknown(id, true),
            SendingResult::Refused(refusal) => match refusal.outcome {
                Outcome::Executed => self.end_op(id, OpEnd::Done),
                Outcome::Unknown => self.refused_unknown(id, &refusal),
                Outcome::NotRun => self.not_run(id, &refusal),
            },
        }
    }

    /// A caller is told that its request did not run.
    fn not_run(&mut self, id: OpId, refusal: &Refusal) {
        let op = &mut self.callers.ops[id];
        if op.uncertain {
            return self.end_op(id, OpEnd::Unknown);
        }
        if let (
            RefusalReason::RequestIdMissing | RefusalReason::RequestIdMalformed,
            Some(binding),
        ) = (refusal.reason, &refusal.binding)
        {
            op.request_id = Some(format!("{binding}.{id}"));
            return self.send(id);
        }
        let is_final = matches!(
            refusal.reason,
            RefusalReason::KeyInvalid | RefusalReason::KeyMissing | RefusalReason::Quarantined
        );
        if is_final || op.repeats == 0 {
            return self.end_op(id, OpEnd::NotRun);
        }
        op.repeats -= 1;
        let retry = refusal.retry_after.unwrap_or(Duration::from_secs(1));
        self.clock.after(retry.as_micros() as u64, Event::Repeat { op: id });
    }

    /// A caller is told that its request may have run.
    fn refused_unknown(&mut self, id: OpId, refusal: &Refusal) {
        let op = &mut self.callers.ops[id];
        // A void id is never run, so the first sending of an operation under one did not run.
        if let (RefusalReason::RequestIdVoid, Some(binding), false) =
            (refusal.reason, &refusal.binding, op.uncertain)
        {
            op.request_id = Some(format!("{binding}.{id}"));
            return self.send(id);
        }
        self.unknown(id, false);
    }

    /// A caller does not know whether its request ran.
    fn unknown(&mut self, id: OpId, host_failed: bool) {
        let op = &mut self.callers.ops[id];
        if op.idempotent {
            if op.repeats == 0 || op.poison.is_some() {
                return self.end_op(id, OpEnd::Unknown);
            }
            op.repeats -= 1;
            op.next += 1;
        } else {
            op.uncertain = true;
            if !op.resends || op.repeats == 0 {
                return self.end_op(id, OpEnd::Unknown);
            }
            op.repeats -= 1;
            op.next += usize::from(op.resends_elsewhere || host_failed);
        }
        self.clock.after(REPEAT_US, Event::Repeat { op: id });
    }

    /// A caller stops waiting.
    pub(crate) fn caller_gives_up(&mut self, sending: SendingId) {
        let state = &mut self.sendings[sending];
        if std::mem::replace(&mut state.settled, true) {
            return;
        }
        let (to, id) = (state.to, state.op);
        let zone = self.callers.ops[id].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.reaches(zone, host_zone) {
            let way_us = self.network.client_us(zone, host_zone);
            self.clock.after(way_us, Event::CancelAtHost { to, sending });
        }
        self.unknown(id, true);
    }

    /// Ends an operation.
    pub(super) fn end_op(&mut self, id: OpId, end: OpEnd) {
        let now_us = self.clock.now_us();
        let op = &mut self.callers.ops[id];
        if op.end.is_some() {
            return;
        }
        op.end = Some(end);
        if op.poison.is_none() {
            self.observer.ended(op, end, now_us);
        }
    }
}
