//! The way of a request through its host, in the order of calls of the entry process.

use std::time::Duration;

use kingcupford_engine::{
    Admission, Attempt, AttemptResult, FinishOutcome, Refusal, RefusalReason, RequestHead,
    StartOutcome, Ticket,
};
use kingcupford_route::{AttemptOutcome, Outcome};

use crate::{
    event::{Event, OpId, Process, SendingId, SendingResult, UpstreamEnd},
    upstream::{Execution, ExecutionId, ExecutionState},
    world::World,
};

/// Time to open a connection to an instance.
const CONNECT_US: u64 = 1_000;

/// Time after which an unanswered connection attempt counts as failed.
const CONNECT_TIMEOUT_US: u64 = 500_000;

/// One sending of an operation to an entry host.
#[derive(Debug)]
pub(crate) struct Sending {
    /// The operation.
    pub(crate) op: OpId,
    /// Where it went.
    pub(crate) to: Process,
    /// What the host sees.
    pub(crate) head: RequestHead,
    /// When it reached its host.
    pub(crate) arrived_us: u64,
    /// When it was admitted.
    pub(crate) admitted_us: u64,
    /// Whether the reference bucket of its tenant had a token.
    pub(crate) within_rate: bool,
    /// Its ticket.
    pub(crate) ticket: Option<Ticket>,
    /// Whether it waited to be admitted.
    pub(crate) waited: bool,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// The present attempt.
    pub(crate) attempt: Option<(Attempt, ExecutionId, u64)>,
    /// Times that it ran.
    pub(crate) executions: u32,
    /// Whether its caller was told that it did not run.
    pub(crate) told_not_run: bool,
    /// Whether the host has answered it.
    pub(crate) closed: bool,
    /// Whether the caller has an answer or gave up.
    pub(crate) settled: bool,
}

impl World {
    /// A sending reaches its host.
    pub(crate) fn at_host(&mut self, to: Process, sending: SendingId) {
        let now = self.clock.now();
        let now_us = self.clock.now_us();
        let Some(process) = self.process(to.host) else { return };
        if !process.listens {
            return self.refuse_connection(to, sending);
        }
        process.open.push(sending);
        let op = self.sendings[sending].op;
        let within = self.observer.arrived(self.callers.ops[op].tenant, now_us);
        let state = &mut self.sendings[sending];
        state.within_rate = within;
        state.arrived_us = now_us;
        state.head.arrived = now;
        self.admit(to, sending);
    }

    /// Asks the policy whether a request may run.
    pub(crate) fn admit(&mut self, to: Process, sending: SendingId) {
        let now = self.clock.now();
        if self.sendings[sending].closed {
            return;
        }
        let waited = self.sendings[sending].waited;
        let head = &self.sendings[sending].head;
        let Some(process) = self.hosts[to.host].process.as_mut() else { return };
        let admission = process.policy.admit(head, waited, now);
        self.tick_shares_if_needed(to);
        match admission {
            Admission::Admitted(ticket) => {
                let now_us = self.clock.now_us();
                let state = &mut self.sendings[sending];
                state.ticket = Some(ticket);
                state.admitted_us = now_us;
                if let Some(it) = self.process(to.host) {
                    it.insert(ticket, sending);
                }
                self.start(to, sending);
            }
            Admission::Wait { until } => {
                self.sendings[sending].waited = true;
                let at_us = self.clock.us_of(until).max(self.clock.now_us() + 1);
                self.clock.at(at_us, Event::Admit { to, sending });
            }
            Admission::Refused(refusal) => self.answer(sending, SendingResult::Refused(refusal)),
        }
    }

    /// Asks the policy for an instance.
    pub(crate) fn start(&mut self, to: Process, sending: SendingId) {
        let state = &self.sendings[sending];
        let (Some(ticket), None, false) = (state.ticket, &state.attempt, state.closed) else {
            return;
        };
        let now = self.clock.now();
        let Some(process) = self.process(to.host) else { return };
        match process.policy.start(ticket, now) {
            StartOutcome::Attempt(attempt) => self.send_attempt(to, sending, attempt),
            StartOutcome::Wait { until } => {
                let at_us = self.clock.us_of(until).max(self.clock.now_us() + 1);
                self.clock.at(at_us, Event::Start { to, sending });
            }
            StartOutcome::Refused(refusal) => self.answer(sending, SendingResult::Refused(refusal)),
        }
        self.wake(to);
    }

    /// Continues requests that were placed while they waited.
    pub(crate) fn wake(&mut self, to: Process) {
        self.tick_shares_if_needed(to);
        let Some(process) = self.process(to.host) else { return };
        for ticket in process.policy.ready() {
            let Some(process) = self.process(to.host) else { return };
            if let Some(sending) = process.sending(ticket) {
                let now = self.clock.now();
                let Some(process) = self.process(to.host) else { return };
                match process.policy.start(ticket, now) {
                    StartOutcome::Attempt(attempt) => self.send_attempt(to, sending, attempt),
                    StartOutcome::Wait { .. } => {}
                    StartOutcome::Refused(it) => self.answer(sending, SendingResult::Refused(it)),
                }
            }
        }
    }

    /// Sends a request to an instance.
    fn send_attempt(&mut self, to: Process, sending: SendingId, attempt: Attempt) {
        let now_us = self.clock.now_us();
        let deadline_us = self.clock.us_of(attempt.deadline);
        let instance = attempt.instance.0 as usize;
        let state = &mut self.sendings[sending];
        state.attempts += 1;
        let number = state.attempts;
        let execution = self.executions.len();
        state.attempt = Some((attempt, execution, now_us));
        let zone = self.upstreams[instance].zone;
        let host_zone = self.hosts[to.host].zone;
        self.executions.push(Execution {
            instance,
            start: self.upstreams[instance].start,
            from: to,
            sending,
            attempt: number,
            deadline_us,
            state: ExecutionState::Sent,
            failed: false,
        });
        let end = |end| Event::AttemptEnds { to, sending, attempt: number, end };
        self.clock.at(deadline_us, end(UpstreamEnd::TimedOut));
        if !self.network.connected(host_zone, zone) {
            self.clock.after(CONNECT_TIMEOUT_US, end(UpstreamEnd::Refused));
            return;
        }
        let way_us = self.network.latency_us(host_zone, zone);
        // Requests that may not be repeated open a connection of their own.
        let connect_us = if attempt.idempotent { 0 } else { CONNECT_US + 2 * way_us };
        self.clock.after(connect_us + way_us, Event::AtUpstream { execution });
    }

    /// The end of an attempt reaches its host.
    pub(crate) fn attempt_ends(
        &mut self,
        to: Process,
        sending: SendingId,
        number: u32,
        end: UpstreamEnd,
    ) {
        let state = &self.sendings[sending];
        let Some((attempt, execution, sent_us)) = state.attempt else { return };
        if state.attempts != number || state.closed {
            return;
        }
        if let (UpstreamEnd::Answered { .. }, Some(wait_us)) = (end, self.pace(to, &attempt)) {
            let event = Event::AttemptEnds { to, sending, attempt: number, end };
            self.clock.after(wait_us.max(1), event);
            return;
        }
        if end == UpstreamEnd::TimedOut {
            self.send_cancel(to, execution);
        }
        let now = self.clock.now();
        let (outcome, byte_sent, draining) = match end {
            UpstreamEnd::Answered { failed, draining } => {
                (AttemptOutcome::Answered { failed }, true, draining)
            }
            UpstreamEnd::Shed { draining } => (AttemptOutcome::Shed, false, draining),
            UpstreamEnd::Refused => (AttemptOutcome::Unreachable, false, false),
            UpstreamEnd::Broken => {
                (AttemptOutcome::Broken { response_started: false }, true, false)
            }
            UpstreamEnd::TimedOut => (AttemptOutcome::TimedOut, true, false),
        };
        let status = match end {
            UpstreamEnd::Answered { failed: true, .. } => Some(500),
            UpstreamEnd::Answered { .. } => Some(200),
            _ => None,
        };
        let latency = Duration::from_micros(self.clock.now_us() - sent_us);
        let end = AttemptResult { outcome, status, byte_sent, draining, latency };
        let state = &mut self.sendings[sending];
        state.attempt = None;
        let Some(ticket) = state.ticket else { return };
        let Some(process) = self.process(to.host) else { return };
        let next = process.policy.finish(ticket, end, now);
        match next {
            FinishOutcome::Done => {
                let failed = status == Some(500);
                let result = match outcome {
                    AttemptOutcome::Answered { .. } => SendingResult::Executed { failed },
                    _ => {
                        let refusal = Refusal::new(RefusalReason::UpstreamFailed);
                        SendingResult::Refused(refusal.with_outcome(Outcome::Unknown))
                    }
                };
                self.answer(sending, result);
            }
            FinishOutcome::Retry(_) => {
                self.observer.retried();
                self.start(to, sending);
            }
            FinishOutcome::Failed(refusal) => self.answer(sending, SendingResult::Refused(refusal)),
        }
        self.wake(to);
    }

    /// How long an answer has to wait for the bandwidth between regions.
    fn pace(&mut self, to: Process, attempt: &Attempt) -> Option<u64> {
        let zone = kingcupford_config::ZoneId(self.hosts[to.host].zone as u16);
        let home = self.snapshot.region_of(zone);
        if home == attempt.region {
            return None;
        }
        let bytes = self.upstreams[attempt.instance.0 as usize].model.answer_bytes;
        let now = self.clock.now();
        self.process(to.host)?.policy.spend_link(attempt.region, home, bytes, now)
    }

    /// Answers a caller and closes the sending at its host.
    pub(crate) fn answer(&mut self, sending: SendingId, result: SendingResult) {
        let state = &mut self.sendings[sending];
        if state.closed {
            return;
        }
        state.closed = true;
        let (to, ticket, op) = (state.to, state.ticket, state.op);
        if let SendingResult::Refused(refusal) = &result {
            state.told_not_run = refusal.outcome == Outcome::NotRun;
            let ran = state.executions > 0;
            self.observer.refused(refusal, state.within_rate, ran && state.told_not_run);
        }
        if let Some(process) = self.process(to.host) {
            process.close(ticket, sending);
        }
        let host_zone = self.hosts[to.host].zone;
        let caller_zone = self.callers.ops[op].zone;
        if self.network.reaches(caller_zone, host_zone) {
            let way_us = self.network.client_us(caller_zone, host_zone);
            self.clock.after(way_us, Event::AtCaller { sending, result });
        }
    }

    /// A caller's connection reaches a host without a listener.
    pub(crate) fn refuse_connection(&mut self, to: Process, sending: SendingId) {
        let state = &mut self.sendings[sending];
        state.closed = true;
        let caller_zone = self.callers.ops[state.op].zone;
        let way_us = self.network.client_us(caller_zone, self.hosts[to.host].zone);
        let result = SendingResult::NotSent;
        self.clock.after(way_us, Event::AtCaller { sending, result });
    }

    /// The caller's cancellation reaches the host, which ends the request in the policy.
    pub(crate) fn cancel_at_host(&mut self, to: Process, sending: SendingId) {
        self.close_unanswered(to, sending);
        self.wake(to);
    }

    /// Ends a request whose caller went away.
    pub(crate) fn close_unanswered(&mut self, to: Process, sending: SendingId) {
        let now = self.clock.now();
        let state = &mut self.sendings[sending];
        if state.closed {
            return;
        }
        state.closed = true;
        let (ticket, attempt) = (state.ticket, state.attempt.take());
        if let Some((_, execution, _)) = attempt {
            self.send_cancel(to, execution);
        }
        let now_us = self.clock.now_us();
        let Some(process) = self.process(to.host) else { return };
        process.close(ticket, sending);
        let Some(ticket) = ticket else { return };
        match attempt {
            Some((_, _, sent_us)) => {
                let end = AttemptResult {
                    outcome: AttemptOutcome::Cancelled,
                    status: None,
                    byte_sent: true,
                    draining: false,
                    latency: Duration::from_micros(now_us - sent_us),
                };
                process.policy.finish(ticket, end, now);
            }
            None => process.policy.abandon(ticket, now),
        }
    }

    /// Sends a cancellation to an instance.
    fn send_cancel(&mut self, to: Process, execution: ExecutionId) {
        let zone = self.upstreams[self.executions[execution].instance].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.connected(host_zone, zone) {
            let way_us = self.network.latency_us(host_zone, zone);
            self.clock.after(way_us, Event::ExecutionCancelled { execution });
        }
    }
}
