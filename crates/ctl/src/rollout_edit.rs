//! Conditional writes of rollout objects. After a lost answer, the object is read back to find out
//! whether the write took effect.

use std::time::Duration;

use bytes::Bytes;
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::{CallOutcome, Condition, ObjectStore as _, WriteOutcome};
use kingcupford_rollout::{Rollout, State};
use tokio::time::{Instant, sleep};

use crate::{console::CommandError, session::Session};

const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of an edit of a rollout object.
#[derive(Debug)]
pub(crate) enum RolloutEditOutcome {
    /// The edit took effect; holds the rollout as written.
    Written(Box<Rollout>),
    /// The edit does not apply to the newest rollout, which replaced the one first read; holds the
    /// newest rollout and the problem.
    LostRace(Box<Rollout>, String),
    /// The edit does not apply to the rollout first read; holds the problem.
    Rejected(String),
    /// The edit may have taken effect.
    Undetermined,
    /// The edit did not take effect before the deadline.
    Unavailable,
}

/// Applies an edit to the newest rollout object of a service.
///
/// The edit is repeated if a controller or another operator wrote the object in between.
pub(crate) async fn edit_rollout(
    session: &Session,
    service: &str,
    edit: impl Fn(Option<&Rollout>) -> Result<Rollout, String>,
) -> Result<RolloutEditOutcome, CommandError> {
    let name = format!("{ROLLOUT_PREFIX}{service}");
    let deadline = Instant::now() + session.timeout;
    let mut last_write: Option<Rollout> = None;
    let mut may_have_taken_effect = false;
    let mut is_first_attempt = true;
    loop {
        // After a lost answer, only the stored object shows whether the write took effect.
        let read = session.store.read(&name).await;
        let wait = match read {
            CallOutcome::Value(object) => {
                let current = match &object {
                    None => None,
                    Some(it) => match serde_json::from_slice::<Rollout>(&it.bytes) {
                        Ok(it) => Some(it),
                        Err(error) => {
                            return Ok(RolloutEditOutcome::Rejected(format!("{name}: {error}")));
                        }
                    },
                };
                if let (Some(own_write), Some(current)) = (&last_write, &current)
                    && may_have_taken_effect
                    && includes_write(current, own_write)
                {
                    return Ok(RolloutEditOutcome::Written(Box::new(own_write.clone())));
                }
                let next = match edit(current.as_ref()) {
                    Ok(it) => it,
                    Err(problem) => {
                        return Ok(match current {
                            Some(it) if !is_first_attempt => {
                                RolloutEditOutcome::LostRace(Box::new(it), problem)
                            }
                            _ => RolloutEditOutcome::Rejected(problem),
                        });
                    }
                };
                is_first_attempt = false;
                let condition =
                    object.as_ref().map_or(Condition::Absent, |it| Condition::Version(it.version));
                let bytes =
                    Bytes::from(serde_json::to_vec(&next).expect("rollouts serialize to JSON"));
                last_write = Some(next.clone());
                match session.store.write(&name, bytes, condition).await {
                    WriteOutcome::Written { .. } => {
                        return Ok(RolloutEditOutcome::Written(Box::new(next)));
                    }
                    WriteOutcome::Unknown => {
                        may_have_taken_effect = true;
                        Duration::ZERO
                    }
                    WriteOutcome::Conflict { .. } => Duration::ZERO,
                    WriteOutcome::Unavailable | WriteOutcome::TooLarge => RETRY_INTERVAL,
                    WriteOutcome::Throttled { retry_after_ms } => {
                        Duration::from_millis(retry_after_ms)
                    }
                }
            }
            CallOutcome::Unavailable => RETRY_INTERVAL,
            CallOutcome::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
        };
        let wait = wait.max(RETRY_INTERVAL);
        if Instant::now() + wait >= deadline {
            return Ok(if may_have_taken_effect {
                RolloutEditOutcome::Undetermined
            } else {
                RolloutEditOutcome::Unavailable
            });
        }
        sleep(wait).await;
    }
}

/// Returns whether `current` is `own_write` or a later state of the same rollout that keeps the
/// effect of `own_write`.
pub(crate) fn includes_write(current: &Rollout, own_write: &Rollout) -> bool {
    if current.write_id == own_write.write_id {
        return true;
    }
    let is_same_rollout = current.key() == own_write.key()
        && current.to == own_write.to
        && current.duration_ms == own_write.duration_ms;
    let is_rolled_back = |it: &Rollout| matches!(it.state, State::RollingBack | State::RolledBack);
    is_same_rollout
        && (!is_rolled_back(own_write)
            || is_rolled_back(current) && current.reason == own_write.reason)
}
