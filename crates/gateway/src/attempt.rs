//! One attempt of a request at an instance.

use std::{cell::Cell, rc::Rc};

use http::StatusCode;
use kingcupford_steer::{ExchangeOutcome, ExchangeReport, InstanceKey, RequestPlan};
use kingcupford_telemetry::Event;
use tokio::time::Instant;

use crate::{
    exchange::{Failed, Notes, Received},
    pool,
    state::State,
};

/// One attempt, reported exactly once, also when it is dropped.
pub(crate) struct Attempt {
    /// The process.
    pub(crate) state: Rc<State>,
    /// The request.
    plan: RequestPlan,
    /// The instance.
    key: InstanceKey,
    /// When it was sent.
    sent_at: Instant,
    /// Whether it was reported.
    is_reported: Cell<bool>,
}

impl Attempt {
    /// An attempt that is sent now.
    pub(crate) fn new(state: Rc<State>, plan: RequestPlan, key: InstanceKey, now: Instant) -> Self {
        Self { state, plan, key, sent_at: now, is_reported: Cell::new(false) }
    }

    /// Reports the attempt.
    fn report(&self, report: ExchangeReport) {
        if self.is_reported.replace(true) {
            return;
        }
        let mut steering = self.state.steering.borrow_mut();
        let change = steering.record_ended(&self.plan, self.key, &report, Instant::now());
        let id = steering.instances.address_and_id(self.key).map_or("-", |it| it.1);
        match change {
            Some(true) => {
                Event::InstanceEjected
                    .log(format_args!("instance={id} outcome=\"{:?}\"", report.outcome));
            }
            Some(false) => Event::InstanceReturned.log(format_args!("instance={id}")),
            None => {}
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let overdue = self.state.steering.borrow().hedge_delay(&self.plan);
        let outcome = if self.sent_at.elapsed() >= overdue {
            ExchangeOutcome::Silent
        } else {
            ExchangeOutcome::Cancelled
        };
        self.report(ExchangeReport { outcome, load: None, cold_remaining: None });
    }
}

/// Reports how an attempt ended; answers what came of it and the response, if there is one.
pub(crate) async fn judge(
    attempt: &Attempt,
    result: Result<Received, Failed>,
) -> (ExchangeOutcome, Option<Received>, &'static str) {
    let latency = attempt.sent_at.elapsed();
    let (outcome, notes, received, reason) = match result {
        Ok(it) => {
            let failed = it.status.is_server_error();
            let reason = if failed { "failed by the instance" } else { "answered" };
            (ExchangeOutcome::Answered { failed, latency }, it.notes, Some(it), reason)
        }
        Err(Failed::NotRun { status: StatusCode::MISDIRECTED_REQUEST, notes }) => {
            (ExchangeOutcome::Misdirected, notes, None, "another instance has the address")
        }
        Err(Failed::NotRun { notes, .. }) => {
            (ExchangeOutcome::Shed, notes, None, "shed by the instance")
        }
        Err(Failed::Unreachable) => {
            (ExchangeOutcome::Unreachable, Notes::default(), None, "instance cannot be reached")
        }
        Err(Failed::Broken(reason)) => {
            let crashed = reason == "no response" && is_refused(attempt).await;
            (ExchangeOutcome::Broken { crashed }, Notes::default(), None, reason)
        }
    };
    attempt.report(ExchangeReport {
        outcome,
        load: notes.load,
        cold_remaining: notes.cold_remaining,
    });
    (outcome, received, reason)
}

/// Whether an instance's address refuses connections, as after a crash.
async fn is_refused(attempt: &Attempt) -> bool {
    let address =
        attempt.state.steering.borrow().instances.address_and_id(attempt.key).map(|it| it.0);
    let Some(address) = address else { return false };
    match pool::connect(address).await {
        Ok(_) => false,
        Err(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
    }
}
