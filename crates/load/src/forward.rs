//! Processing of requests at a simulated host. Calls the policy in the same order as the entry
//! process does.

use std::time::Duration;

use kingcupford_engine::{
    Admission, Attempt, AttemptResult, FinishOutcome, Refusal, RefusalReason, RequestHead,
    StartOutcome, Ticket,
};
use kingcupford_route::{AttemptOutcome, Outcome};

use crate::{
    event::{AttemptEnd, Event, OperationIndex, ProcessId, RequestIndex, RequestResult},
    upstream::{Execution, ExecutionIndex, ExecutionState},
    world::World,
};

/// Time to open a connection to an instance, in addition to the round trip.
const CONNECTION_SETUP_US: u64 = 1_000;

/// Connection timeout of a host.
const CONNECT_TIMEOUT_US: u64 = 500_000;

/// Request of an operation to an entry host.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) op: OperationIndex,
    pub(crate) to: ProcessId,
    pub(crate) head: RequestHead,
    pub(crate) arrived_us: u64,
    pub(crate) admitted_us: u64,
    /// Whether the reference bucket of the team had a token on arrival.
    pub(crate) is_within_rate: bool,
    pub(crate) ticket: Option<Ticket>,
    /// Whether an earlier admission decision was to wait.
    pub(crate) has_waited: bool,
    pub(crate) attempt_count: u32,
    /// Running attempt, its execution and the time at which it was sent.
    pub(crate) current_attempt: Option<(Attempt, ExecutionIndex, u64)>,
    /// Number of executions at instances.
    pub(crate) execution_count: u32,
    /// Whether the host answered that the request did not run.
    pub(crate) reported_not_run: bool,
    /// Whether the host has ended the request.
    pub(crate) is_closed: bool,
    /// Whether the caller has a result or gave up.
    pub(crate) is_settled: bool,
}

impl World {
    /// Handles the arrival of a request at a host.
    pub(crate) fn handle_request(&mut self, to: ProcessId, request: RequestIndex) {
        let now = self.clock.now();
        let now_us = self.clock.now_us();
        let Some(process) = self.process_mut(to.host) else { return };
        if !process.is_listening {
            return self.refuse_connection(to, request);
        }
        process.open_requests.push(request);
        let op = self.requests[request].op;
        let is_within_rate = self.observer.record_arrival(self.callers.ops[op].team, now_us);
        let state = &mut self.requests[request];
        state.is_within_rate = is_within_rate;
        state.arrived_us = now_us;
        state.head.arrived = now;
        self.admit(to, request);
    }

    /// Asks the policy to admit a request.
    pub(crate) fn admit(&mut self, to: ProcessId, request: RequestIndex) {
        let now = self.clock.now();
        if self.requests[request].is_closed {
            return;
        }
        let waited = self.requests[request].has_waited;
        let head = &self.requests[request].head;
        let Some(process) = self.hosts[to.host].process.as_mut() else { return };
        let admission = process.policy.admit(head, waited, now);
        self.tick_shares_if_needed(to);
        match admission {
            Admission::Admitted(ticket) => {
                let now_us = self.clock.now_us();
                let state = &mut self.requests[request];
                state.ticket = Some(ticket);
                state.admitted_us = now_us;
                if let Some(it) = self.process_mut(to.host) {
                    it.insert_ticket(ticket, request);
                }
                self.start_attempt(to, request);
            }
            Admission::Wait { until } => {
                self.requests[request].has_waited = true;
                let at_us = self.clock.us_of(until).max(self.clock.now_us() + 1);
                self.clock.at(at_us, Event::AdmissionDue { to, request });
            }
            Admission::Refused(refusal) => {
                self.answer_request(request, RequestResult::Refused(refusal))
            }
        }
    }

    /// Asks the policy to select an instance for an admitted request.
    pub(crate) fn start_attempt(&mut self, to: ProcessId, request: RequestIndex) {
        let state = &self.requests[request];
        let (Some(ticket), None, false) = (state.ticket, &state.current_attempt, state.is_closed)
        else {
            return;
        };
        let now = self.clock.now();
        let Some(process) = self.process_mut(to.host) else { return };
        match process.policy.start_attempt(ticket, now) {
            StartOutcome::Attempt(attempt) => self.send_attempt(to, request, attempt),
            StartOutcome::Wait { until } => {
                let at_us = self.clock.us_of(until).max(self.clock.now_us() + 1);
                self.clock.at(at_us, Event::SelectionDue { to, request });
            }
            StartOutcome::Refused(refusal) => {
                self.answer_request(request, RequestResult::Refused(refusal))
            }
        }
        self.start_ready_requests(to);
    }

    /// Starts waiting requests for which an instance became available.
    pub(crate) fn start_ready_requests(&mut self, to: ProcessId) {
        self.tick_shares_if_needed(to);
        let Some(process) = self.process_mut(to.host) else { return };
        for ticket in process.policy.ready_tickets() {
            let Some(process) = self.process_mut(to.host) else { return };
            if let Some(request) = process.request_of(ticket) {
                let now = self.clock.now();
                let Some(process) = self.process_mut(to.host) else { return };
                match process.policy.start_attempt(ticket, now) {
                    StartOutcome::Attempt(attempt) => self.send_attempt(to, request, attempt),
                    StartOutcome::Wait { .. } => {}
                    StartOutcome::Refused(it) => {
                        self.answer_request(request, RequestResult::Refused(it))
                    }
                }
            }
        }
    }

    /// Sends an attempt to its instance.
    fn send_attempt(&mut self, to: ProcessId, request: RequestIndex, attempt: Attempt) {
        let now_us = self.clock.now_us();
        let deadline_us = self.clock.us_of(attempt.deadline);
        let instance = attempt.instance.0 as usize;
        let state = &mut self.requests[request];
        state.attempt_count += 1;
        let attempt_number = state.attempt_count;
        let execution = self.executions.len();
        state.current_attempt = Some((attempt, execution, now_us));
        let zone = self.upstreams[instance].zone;
        let host_zone = self.hosts[to.host].zone;
        self.executions.push(Execution {
            instance,
            generation: self.upstreams[instance].generation,
            from: to,
            request,
            attempt_number,
            deadline_us,
            state: ExecutionState::Sent,
            failed: false,
        });
        let event = |end| Event::AttemptEnded { to, request, attempt_number, end };
        self.clock.at(deadline_us, event(AttemptEnd::TimedOut));
        if !self.network.are_connected(host_zone, zone) {
            self.clock.after(CONNECT_TIMEOUT_US, event(AttemptEnd::ConnectFailed));
            return;
        }
        let latency_us = self.network.latency_us(host_zone, zone);
        // Requests that are not idempotent use a new connection each.
        let connect_us = if attempt.idempotent { 0 } else { CONNECTION_SETUP_US + 2 * latency_us };
        self.clock.after(connect_us + latency_us, Event::AttemptArrived { execution });
    }

    /// Handles the end of an attempt at its host.
    pub(crate) fn handle_attempt_end(
        &mut self,
        to: ProcessId,
        request: RequestIndex,
        attempt_number: u32,
        end: AttemptEnd,
    ) {
        let state = &self.requests[request];
        let Some((attempt, execution, sent_us)) = state.current_attempt else { return };
        if state.attempt_count != attempt_number || state.is_closed {
            return;
        }
        if let (AttemptEnd::Answered { .. }, Some(wait_us)) =
            (end, self.acquire_response_bandwidth(to, &attempt))
        {
            let event = Event::AttemptEnded { to, request, attempt_number, end };
            self.clock.after(wait_us.max(1), event);
            return;
        }
        if end == AttemptEnd::TimedOut {
            self.send_cancellation(to, execution);
        }
        let now = self.clock.now();
        let (outcome, byte_sent, draining) = match end {
            AttemptEnd::Answered { failed, draining } => {
                (AttemptOutcome::Answered { failed }, true, draining)
            }
            AttemptEnd::Shed { draining } => (AttemptOutcome::Shed, false, draining),
            AttemptEnd::ConnectFailed => (AttemptOutcome::Unreachable, false, false),
            AttemptEnd::ConnectionLost => {
                (AttemptOutcome::Broken { response_started: false }, true, false)
            }
            AttemptEnd::TimedOut => (AttemptOutcome::TimedOut, true, false),
        };
        let status = match end {
            AttemptEnd::Answered { failed: true, .. } => Some(500),
            AttemptEnd::Answered { .. } => Some(200),
            _ => None,
        };
        let latency = Duration::from_micros(self.clock.now_us() - sent_us);
        let attempt_result = AttemptResult { outcome, status, byte_sent, draining, latency };
        let state = &mut self.requests[request];
        state.current_attempt = None;
        let Some(ticket) = state.ticket else { return };
        let Some(process) = self.process_mut(to.host) else { return };
        let finish_outcome = process.policy.finish_attempt(ticket, attempt_result, now);
        match finish_outcome {
            FinishOutcome::Done => {
                let failed = status == Some(500);
                let result = match outcome {
                    AttemptOutcome::Answered { .. } => RequestResult::Executed { failed },
                    _ => {
                        let refusal = Refusal::new(RefusalReason::UpstreamFailed);
                        RequestResult::Refused(refusal.with_outcome(Outcome::Unknown))
                    }
                };
                self.answer_request(request, result);
            }
            FinishOutcome::Retry(_) => {
                self.observer.record_retry();
                self.start_attempt(to, request);
            }
            FinishOutcome::Failed(refusal) => {
                self.answer_request(request, RequestResult::Refused(refusal))
            }
        }
        self.start_ready_requests(to);
    }

    /// Acquires the bandwidth between regions for a response. Returns the time to wait in
    /// microseconds, or `None` if the response can be sent now.
    fn acquire_response_bandwidth(&mut self, to: ProcessId, attempt: &Attempt) -> Option<u64> {
        let zone = kingcupford_config::ZoneId(self.hosts[to.host].zone as u16);
        let host_region = self.snapshot.region_of(zone);
        if host_region == attempt.region {
            return None;
        }
        let bytes = self.upstreams[attempt.instance.0 as usize].model.answer_bytes;
        let now = self.clock.now();
        self.process_mut(to.host)?.policy.acquire_link_bytes(
            attempt.region,
            host_region,
            bytes,
            now,
        )
    }

    /// Ends a request at its host and sends the result to the caller.
    pub(crate) fn answer_request(&mut self, request: RequestIndex, result: RequestResult) {
        let state = &mut self.requests[request];
        if state.is_closed {
            return;
        }
        state.is_closed = true;
        let (to, ticket, op) = (state.to, state.ticket, state.op);
        if let RequestResult::Refused(refusal) = &result {
            state.reported_not_run = refusal.outcome == Outcome::NotRun;
            let ran = state.execution_count > 0;
            self.observer.record_refusal(
                refusal,
                state.is_within_rate,
                ran && state.reported_not_run,
            );
        }
        if let Some(process) = self.process_mut(to.host) {
            process.close_request(ticket, request);
        }
        let host_zone = self.hosts[to.host].zone;
        let caller_zone = self.callers.ops[op].zone;
        if self.network.caller_reaches(caller_zone, host_zone) {
            let latency_us = self.network.caller_latency_us(caller_zone, host_zone);
            self.clock.after(latency_us, Event::ResultArrived { request, result });
        }
    }

    /// Refuses a connection of a caller to a host without a listener.
    pub(crate) fn refuse_connection(&mut self, to: ProcessId, request: RequestIndex) {
        let state = &mut self.requests[request];
        state.is_closed = true;
        let caller_zone = self.callers.ops[state.op].zone;
        let latency_us = self.network.caller_latency_us(caller_zone, self.hosts[to.host].zone);
        let result = RequestResult::ConnectFailed;
        self.clock.after(latency_us, Event::ResultArrived { request, result });
    }

    /// Handles the cancellation of a request by its caller.
    pub(crate) fn handle_caller_cancellation(&mut self, to: ProcessId, request: RequestIndex) {
        self.cancel_request(to, request);
        self.start_ready_requests(to);
    }

    /// Cancels an unanswered request at its host, with its running attempt.
    pub(crate) fn cancel_request(&mut self, to: ProcessId, request: RequestIndex) {
        let now = self.clock.now();
        let state = &mut self.requests[request];
        if state.is_closed {
            return;
        }
        state.is_closed = true;
        let (ticket, attempt) = (state.ticket, state.current_attempt.take());
        if let Some((_, execution, _)) = attempt {
            self.send_cancellation(to, execution);
        }
        let now_us = self.clock.now_us();
        let Some(process) = self.process_mut(to.host) else { return };
        process.close_request(ticket, request);
        let Some(ticket) = ticket else { return };
        match attempt {
            Some((_, _, sent_us)) => {
                let attempt_result = AttemptResult {
                    outcome: AttemptOutcome::Cancelled,
                    status: None,
                    byte_sent: true,
                    draining: false,
                    latency: Duration::from_micros(now_us - sent_us),
                };
                process.policy.finish_attempt(ticket, attempt_result, now);
            }
            None => process.policy.abandon(ticket, now),
        }
    }

    /// Sends the cancellation of an execution to its instance.
    fn send_cancellation(&mut self, to: ProcessId, execution: ExecutionIndex) {
        let zone = self.upstreams[self.executions[execution].instance].zone;
        let host_zone = self.hosts[to.host].zone;
        if self.network.are_connected(host_zone, zone) {
            let latency_us = self.network.latency_us(host_zone, zone);
            self.clock.after(latency_us, Event::ExecutionCancelled { execution });
        }
    }
}
