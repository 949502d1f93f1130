//! Rollouts in the output of commands.

use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::ObjectStore as _;
use kingcupford_rollout::{Reason, Rollout, RouteExposure};
use serde::Serialize;

use crate::{
    console::CommandError,
    session::{Session, unix_ms},
    table::Table,
};

/// Rollout as printed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RolloutView {
    pub(crate) service: String,
    /// Sequence number of the service's rollout.
    pub(crate) generation: u64,
    /// Version that is replaced.
    pub(crate) from: String,
    /// Version that replaces `from`.
    pub(crate) to: String,
    pub(crate) state: String,
    /// Percentage of the traffic that the new version gets.
    pub(crate) share_percent: u8,
    /// Time until the deadline by the local clock, 0 if the deadline has passed or the rollout has
    /// ended.
    pub(crate) time_left_ms: u64,
    /// Host that is the rollout's controller, or was the last one.
    pub(crate) controller: Option<String>,
    /// Reason for the rollback in words.
    pub(crate) reason: Option<String>,
    /// Counts of requests and faults by route.
    pub(crate) exposure: Vec<RouteExposure>,
    /// Routes that had too little traffic for the requests that a stage requires.
    pub(crate) thin_routes: Vec<String>,
}

impl RolloutView {
    pub(crate) fn new(rollout: &Rollout) -> Self {
        let left_ms = rollout.deadline_unix_ms().saturating_sub(unix_ms());
        Self {
            service: rollout.service.clone(),
            generation: rollout.generation,
            from: rollout.from.clone(),
            to: rollout.to.clone(),
            state: rollout.state.to_string(),
            share_percent: rollout.share_percent(),
            time_left_ms: if rollout.state.is_final() { 0 } else { left_ms },
            controller: rollout.controller.clone(),
            reason: rollout.reason.as_ref().map(describe_reason),
            exposure: rollout.exposure.clone(),
            thin_routes: rollout.thin_routes.clone(),
        }
    }

    /// Returns how many requests the new version got, and how many of them failed or were slow.
    pub(crate) fn exposure_summary(&self) -> String {
        let sum = |count: fn(&RouteExposure) -> u64| self.exposure.iter().map(count).sum::<u64>();
        let (requests, failures) = (sum(|it| it.new_requests), sum(|it| it.new_failures));
        format!("{requests} requests, {failures} failed, {} slow", sum(|it| it.new_slow))
    }
}

/// Reads the last rollout of each service, sorted by object name as in the platform's listing.
pub(crate) async fn read_rollouts(session: &Session) -> Result<Vec<Rollout>, CommandError> {
    let listing = session.read_with_retry(|| session.store.list(ROLLOUT_PREFIX)).await?;
    let mut res = Vec::new();
    for object in listing.objects {
        if let Some((_, it)) = session.read_json::<Rollout>(&object.name).await? {
            res.push(it);
        }
    }
    Ok(res)
}

/// Formats rollouts as a table, followed by the reasons of rollbacks.
pub(crate) fn rollout_table(rollouts: &[RolloutView]) -> String {
    let columns =
        ["SERVICE", "FROM", "TO", "STATE", "SHARE", "TIME LEFT", "CONTROLLER", "NEW VERSION GOT"];
    let mut table = Table::new(&columns);
    for it in rollouts {
        table.add_row(vec![
            it.service.clone(),
            it.from.clone(),
            it.to.clone(),
            it.state.clone(),
            format!("{}%", it.share_percent),
            format!("{} s", it.time_left_ms / 1000),
            it.controller.clone().unwrap_or_else(|| "-".to_owned()),
            it.exposure_summary(),
        ]);
    }
    let mut res = table.render();
    for it in rollouts {
        if let Some(reason) = &it.reason {
            res.push_str(&format!("{} was rolled back: {reason}\n", it.service));
        }
    }
    res
}

/// Returns the reason of a rollback in words.
pub(crate) fn describe_reason(reason: &Reason) -> String {
    match reason {
        Reason::Faulty { route, fault } => format!("the new version is worse on {route} ({fault})"),
        Reason::DeadlineOutOfReach => "the deadline is out of reach".to_owned(),
        Reason::Unproven => "a suspicion about the new version stayed open".to_owned(),
        Reason::Operator { note } => format!("an operator asked for it: {note}"),
    }
}
