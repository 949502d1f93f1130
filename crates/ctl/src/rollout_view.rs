//! Rollouts as operators see them.

use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::ObjectStore as _;
use kingcupford_rollout::{Reason, Rollout, RouteExposure};
use serde::Serialize;

use crate::{
    console::Failure,
    session::{Session, unix_ms},
    table::Table,
};

/// One rollout.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct RolloutView {
    /// The service.
    pub(crate) service: String,
    /// Number of the rollout of this service.
    pub(crate) generation: u64,
    /// The version that is replaced.
    pub(crate) from: String,
    /// The version that replaces it.
    pub(crate) to: String,
    /// Its state.
    pub(crate) state: String,
    /// Share of the traffic that the new version gets.
    pub(crate) share_percent: u8,
    /// Time until the deadline by this machine's clock, 0 when it passed or the rollout ended.
    pub(crate) time_left_ms: u64,
    /// Host that advances it.
    pub(crate) controller: Option<String>,
    /// Why it was rolled back, in words.
    pub(crate) reason: Option<String>,
    /// Requests of the new version by route.
    pub(crate) exposure: Vec<RouteExposure>,
    /// Routes whose traffic was too thin for a stage's requests.
    pub(crate) thin_routes: Vec<String>,
}

impl RolloutView {
    /// The view of an object.
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
            reason: rollout.reason.as_ref().map(describe),
            exposure: rollout.exposure.clone(),
            thin_routes: rollout.thin_routes.clone(),
        }
    }

    /// Requests that the new version got, and how many of them failed or were slow.
    pub(crate) fn exposure_line(&self) -> String {
        let sum = |part: fn(&RouteExposure) -> u64| self.exposure.iter().map(part).sum::<u64>();
        let (requests, failures) = (sum(|it| it.new_requests), sum(|it| it.new_failures));
        format!("{requests} requests, {failures} failed, {} slow", sum(|it| it.new_slow))
    }
}

/// Reads all rollouts, sorted by service.
pub(crate) async fn read_all(session: &Session) -> Result<Vec<Rollout>, Failure> {
    let listing = session.answered(|| session.store.list(ROLLOUT_PREFIX)).await?;
    let mut res = Vec::new();
    for object in listing.objects {
        if let Some((_, it)) = session.json::<Rollout>(&object.name).await? {
            res.push(it);
        }
    }
    Ok(res)
}

/// A table of rollouts.
pub(crate) fn table(rollouts: &[RolloutView]) -> String {
    let columns =
        ["SERVICE", "FROM", "TO", "STATE", "SHARE", "TIME LEFT", "CONTROLLER", "NEW VERSION GOT"];
    let mut table = Table::new(&columns);
    for it in rollouts {
        table.row(vec![
            it.service.clone(),
            it.from.clone(),
            it.to.clone(),
            it.state.clone(),
            format!("{}%", it.share_percent),
            format!("{} s", it.time_left_ms / 1000),
            it.controller.clone().unwrap_or_else(|| "-".to_owned()),
            it.exposure_line(),
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

/// A reason in words.
pub(crate) fn describe(reason: &Reason) -> String {
    match reason {
        Reason::Faulty { route, fault } => format!("the new version is worse on {route} ({fault})"),
        Reason::DeadlineOutOfReach => "the deadline is out of reach".to_owned(),
        Reason::Unproven => "a suspicion about the new version stayed open".to_owned(),
        Reason::Operator { note } => format!("an operator asked for it: {note}"),
    }
}
