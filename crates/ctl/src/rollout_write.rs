//! The conditional write of a rollout's object, with lost answers resolved.

use std::time::Duration;

use bytes::Bytes;
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::{CallOutcome, Condition, ObjectStore as _, WriteOutcome};
use kingcupford_rollout::{Rollout, State};
use tokio::time::{Instant, sleep};

use crate::{console::Failure, session::Session};

/// Wait between two attempts.
const RETRY: Duration = Duration::from_millis(100);

/// How a change of a rollout ended.
#[derive(Debug)]
pub(crate) enum RolloutWrite {
    /// It took effect; the object as written.
    Written(Box<Rollout>),
    /// The edit was refused for the newest object, which was not the first one read.
    Lost(Box<Rollout>, String),
    /// The edit was refused for the first object read.
    Refused(String),
    /// It may have taken effect.
    Undetermined,
    /// It took no effect.
    Unavailable,
}

/// Applies an edit to the newest object of a service and repeats it when a controller was faster.
pub(crate) async fn change(
    session: &Session,
    service: &str,
    edit: impl Fn(Option<&Rollout>) -> Result<Rollout, String>,
) -> Result<RolloutWrite, Failure> {
    let name = format!("{ROLLOUT_PREFIX}{service}");
    let deadline = Instant::now() + session.timeout;
    let mut written: Option<Rollout> = None;
    let mut may_be_written = false;
    let mut is_first = true;
    loop {
        // After a lost answer only the object tells what happened.
        let read = session.store.read(&name).await;
        let wait = match read {
            CallOutcome::Value(object) => {
                let current = match &object {
                    None => None,
                    Some(it) => match serde_json::from_slice::<Rollout>(&it.bytes) {
                        Ok(it) => Some(it),
                        Err(error) => return Ok(RolloutWrite::Refused(format!("{name}: {error}"))),
                    },
                };
                if let (Some(mine), Some(current)) = (&written, &current)
                    && may_be_written
                    && follows(current, mine)
                {
                    return Ok(RolloutWrite::Written(Box::new(mine.clone())));
                }
                let next = match edit(current.as_ref()) {
                    Ok(it) => it,
                    Err(problem) => {
                        return Ok(match current {
                            Some(it) if !is_first => RolloutWrite::Lost(Box::new(it), problem),
                            _ => RolloutWrite::Refused(problem),
                        });
                    }
                };
                is_first = false;
                let condition =
                    object.as_ref().map_or(Condition::Absent, |it| Condition::Version(it.version));
                let bytes =
                    Bytes::from(serde_json::to_vec(&next).expect("rollouts are plain JSON"));
                written = Some(next.clone());
                match session.store.write(&name, bytes, condition).await {
                    WriteOutcome::Written { .. } => {
                        return Ok(RolloutWrite::Written(Box::new(next)));
                    }
                    WriteOutcome::Unknown => {
                        may_be_written = true;
                        Duration::ZERO
                    }
                    WriteOutcome::Conflict { .. } => Duration::ZERO,
                    WriteOutcome::Unavailable | WriteOutcome::TooLarge => RETRY,
                    WriteOutcome::Throttled { retry_after_ms } => {
                        Duration::from_millis(retry_after_ms)
                    }
                }
            }
            CallOutcome::Unavailable => RETRY,
            CallOutcome::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
        };
        let wait = wait.max(RETRY);
        if Instant::now() + wait >= deadline {
            return Ok(if may_be_written {
                RolloutWrite::Undetermined
            } else {
                RolloutWrite::Unavailable
            });
        }
        sleep(wait).await;
    }
}

/// Whether an object is `mine` or was made from it by controllers.
fn follows(current: &Rollout, mine: &Rollout) -> bool {
    if current.write_id == mine.write_id {
        return true;
    }
    let is_same = current.generation == mine.generation
        && current.to == mine.to
        && current.started_unix_ms == mine.started_unix_ms
        && current.duration_ms == mine.duration_ms;
    let is_rolled_back = |it: &Rollout| matches!(it.state, State::RollingBack | State::RolledBack);
    is_same && (!is_rolled_back(mine) || is_rolled_back(current) && current.reason == mine.reason)
}
