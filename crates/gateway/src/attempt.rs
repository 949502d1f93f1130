//! A single attempt to run a request on one instance.

use std::{cell::Cell, rc::Rc};

use http::StatusCode;
use kingcupford_steer::{ExchangeOutcome, ExchangeReport, InstanceKey, RequestPlan};
use kingcupford_telemetry::Event;
use tokio::time::{Instant, timeout_at};

use crate::{
    exchange::{ExchangeError, InstanceStatus, UpstreamResponse},
    pool,
    state::State,
};

/// An attempt that was sent. The result is reported to steering exactly once; an attempt that is
/// dropped without a result reports itself as silent or cancelled.
pub(crate) struct Attempt {
    pub(crate) state: Rc<State>,
    plan: RequestPlan,
    key: InstanceKey,
    sent_at: Instant,
    is_reported: Cell<bool>,
}

impl Attempt {
    pub(crate) fn new(state: Rc<State>, plan: RequestPlan, key: InstanceKey, now: Instant) -> Self {
        Self { state, plan, key, sent_at: now, is_reported: Cell::new(false) }
    }

    fn report(&self, report: ExchangeReport) {
        if self.is_reported.replace(true) {
            return;
        }
        let mut steering = self.state.steering.borrow_mut();
        let health_change = steering.record_ended(&self.plan, self.key, &report, Instant::now());
        let id = steering.instances.address_and_id(self.key).map_or("-", |it| it.1);
        match health_change {
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
        let hedge_delay = self.state.steering.borrow().hedge_delay(&self.plan);
        let elapsed = self.sent_at.elapsed();
        let outcome = if elapsed >= hedge_delay {
            ExchangeOutcome::Silent
        } else {
            ExchangeOutcome::Cancelled
        };
        self.report(ExchangeReport { outcome, elapsed, load: None, cold_remaining: None });
    }
}

/// Reports the result of an attempt to steering. Returns the outcome, the response if there is a
/// usable one, and the text for the request log. Checks for a crash end at the deadline.
pub(crate) async fn evaluate_exchange(
    attempt: &Attempt,
    result: Result<UpstreamResponse, ExchangeError>,
    deadline: Instant,
) -> (ExchangeOutcome, Option<UpstreamResponse>, &'static str) {
    let latency = attempt.sent_at.elapsed();
    let (outcome, instance_status, upstream_response, reason) = match result {
        Ok(it) => {
            let failed = it.status.is_server_error();
            let reason = if failed { "failed by the instance" } else { "answered" };
            (ExchangeOutcome::Answered { failed, latency }, it.instance_status, Some(it), reason)
        }
        Err(ExchangeError::NotRun { status: StatusCode::MISDIRECTED_REQUEST, instance_status }) => {
            (
                ExchangeOutcome::Misdirected,
                instance_status,
                None,
                "another instance has the address",
            )
        }
        Err(ExchangeError::NotRun { instance_status, .. }) => {
            (ExchangeOutcome::Shed, instance_status, None, "shed by the instance")
        }
        Err(ExchangeError::Unreachable) => (
            ExchangeOutcome::Unreachable,
            InstanceStatus::default(),
            None,
            "instance cannot be reached",
        ),
        Err(ExchangeError::Broken(reason)) => {
            let crashed = reason == "no response" && refuses_connections(attempt, deadline).await;
            (ExchangeOutcome::Broken { crashed }, InstanceStatus::default(), None, reason)
        }
    };
    attempt.report(ExchangeReport {
        outcome,
        elapsed: latency,
        load: instance_status.load,
        cold_remaining: instance_status.cold_remaining,
    });
    (outcome, upstream_response, reason)
}

/// Whether the instance's address refuses connections, as it does after a crash.
async fn refuses_connections(attempt: &Attempt, deadline: Instant) -> bool {
    let address =
        attempt.state.steering.borrow().instances.address_and_id(attempt.key).map(|it| it.0);
    let Some(address) = address else { return false };
    match timeout_at(deadline, pool::connect(address)).await {
        Ok(Ok(_)) | Err(_) => false,
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
    }
}
