//! Transitions of a rollout's state.

use crate::{
    fault_detector::{Assessment, Verdict},
    rollout::{Reason, Rollout, State},
    stage::Stage,
    timeline::{SETTLE_MS, Timeline},
};

/// The object that follows at `elapsed_ms`, `None` when nothing changes.
///
/// `assessment` must concern the object's generation and stage; without one only a stop and the
/// deadline have effects.
pub(crate) fn next(
    rollout: &Rollout,
    elapsed_ms: u64,
    assessment: Option<&Assessment>,
    stop: Option<&Reason>,
) -> Option<Rollout> {
    let assessment =
        assessment.filter(|it| it.generation == rollout.generation && it.stage == rollout.stage);
    let fault = stop.cloned().or_else(|| assessment.and_then(|it| it.verdict.reason()));
    let timeline = Timeline::new(rollout.duration_ms);
    let in_state_ms = elapsed_ms.saturating_sub(rollout.changed_at_ms);
    match rollout.state {
        State::Done | State::RolledBack => None,
        State::RollingBack => (in_state_ms >= SETTLE_MS)
            .then(|| changed(rollout, elapsed_ms, |it| it.state = State::RolledBack)),
        State::Running | State::Watching if fault.is_some() => {
            Some(rolling_back(rollout, elapsed_ms, fault?))
        }
        State::Running => {
            if !timeline.can_meet_deadline(rollout.stage, rollout.changed_at_ms, elapsed_ms) {
                return Some(rolling_back(rollout, elapsed_ms, Reason::DeadlineOutOfReach));
            }
            let assessment = assessment?;
            let is_ready = match assessment.verdict {
                Verdict::Healthy => in_state_ms >= timeline.min_stage_ms,
                Verdict::Undecided => {
                    !assessment.has_unresolved_anomaly && in_state_ms >= timeline.max_stage_ms
                }
                Verdict::Faulty { .. } => false,
            };
            if !is_ready {
                return None;
            }
            let stage = rollout.stage.next()?;
            Some(changed(rollout, elapsed_ms, |it| {
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
                    .then(|| rolling_back(rollout, elapsed_ms, Reason::Unproven));
            }
            (in_state_ms >= timeline.watch_ms)
                .then(|| changed(rollout, elapsed_ms, |it| it.state = State::Done))
        }
    }
}

/// The object with a rollback begun.
fn rolling_back(rollout: &Rollout, elapsed_ms: u64, reason: Reason) -> Rollout {
    changed(rollout, elapsed_ms, |it| {
        it.state = State::RollingBack;
        it.reason = Some(reason);
    })
}

/// The object with a change of stage or state.
fn changed(rollout: &Rollout, elapsed_ms: u64, change: impl FnOnce(&mut Rollout)) -> Rollout {
    let mut res = rollout.clone();
    res.changed_at_ms = elapsed_ms;
    change(&mut res);
    res
}
