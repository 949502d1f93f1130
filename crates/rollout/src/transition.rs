//! State transitions of a rollout.

use crate::{
    fault_detector::{Assessment, Verdict},
    rollout::{Reason, Rollout, State},
    stage::Stage,
    timeline::{ROLLBACK_PROPAGATION_MS, Timeline},
};

/// Returns the object that follows at `elapsed_ms`, `None` if nothing changes.
///
/// An `assessment` of another rollout or stage is ignored. Without an assessment, only a stop,
/// the deadline and the end of a rollback cause a transition.
pub(crate) fn next_rollout(
    rollout: &Rollout,
    elapsed_ms: u64,
    assessment: Option<&Assessment>,
    stop_reason: Option<&Reason>,
) -> Option<Rollout> {
    let assessment =
        assessment.filter(|it| it.rollout == rollout.key() && it.stage == rollout.stage);
    let rollback_reason =
        stop_reason.cloned().or_else(|| assessment.and_then(|it| it.verdict.reason()));
    let timeline = Timeline::new(rollout.duration_ms);
    let since_change_ms = elapsed_ms.saturating_sub(rollout.changed_at_ms);
    match rollout.state {
        State::Done | State::RolledBack => None,
        State::RollingBack => (since_change_ms >= ROLLBACK_PROPAGATION_MS)
            .then(|| with_change(rollout, elapsed_ms, |it| it.state = State::RolledBack)),
        State::Running | State::Watching if rollback_reason.is_some() => {
            Some(with_rollback(rollout, elapsed_ms, rollback_reason?))
        }
        State::Running => {
            if !timeline.can_meet_deadline(rollout.stage, rollout.changed_at_ms, elapsed_ms) {
                return Some(with_rollback(rollout, elapsed_ms, Reason::DeadlineOutOfReach));
            }
            let assessment = assessment?;
            let is_ready = match assessment.verdict {
                Verdict::Healthy => since_change_ms >= timeline.min_stage_ms,
                Verdict::Undecided => {
                    !assessment.has_unresolved_anomaly && since_change_ms >= timeline.max_stage_ms
                }
                Verdict::Faulty { .. } => false,
            };
            if !is_ready {
                return None;
            }
            let stage = rollout.stage.next()?;
            Some(with_change(rollout, elapsed_ms, |it| {
                it.stage = stage;
                if stage == Stage::All {
                    it.state = State::Watching;
                }
                for route in &assessment.thin_routes {
                    if !it.thin_routes.contains(route) {
                        it.thin_routes.push(route.clone());
                    }
                }
            }))
        }
        State::Watching => {
            let assessment = assessment?;
            if assessment.has_unresolved_anomaly {
                return (elapsed_ms > timeline.rollback_deadline_ms)
                    .then(|| with_rollback(rollout, elapsed_ms, Reason::Unproven));
            }
            (since_change_ms >= timeline.watch_ms)
                .then(|| with_change(rollout, elapsed_ms, |it| it.state = State::Done))
        }
    }
}

/// Returns the object with its rollback begun.
fn with_rollback(rollout: &Rollout, elapsed_ms: u64, reason: Reason) -> Rollout {
    with_change(rollout, elapsed_ms, |it| {
        it.state = State::RollingBack;
        it.reason = Some(reason);
    })
}

/// Returns the object with a changed stage or state.
fn with_change(rollout: &Rollout, elapsed_ms: u64, change: impl FnOnce(&mut Rollout)) -> Rollout {
    let mut res = rollout.clone();
    res.changed_at_ms = elapsed_ms;
    change(&mut res);
    res
}
