//! Changes to a rollout that operators request, as functions from the stored object to the next
//! one.

use std::fmt;

use crate::{
    rollout::{FORMAT_VERSION, Reason, Rollout, State},
    stage::Stage,
    timeline::MIN_DURATION_MS,
};

/// Request of an operator to start a rollout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Name of the service whose version is replaced.
    pub service: String,
    /// Name of the version that is replaced.
    pub from: String,
    /// Name of the version that replaces `from`.
    pub to: String,
    /// Unix time of the start.
    pub now_unix_ms: u64,
    /// Unix time by which the rollout must be done or rolled back.
    pub deadline_unix_ms: u64,
    /// Random identifier by which the writer recognizes its own write.
    pub write_id: u64,
}

/// Reason why a rollout cannot be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// Another rollout of the service has not ended yet.
    Running {
        /// New version of that rollout.
        to: String,
        /// Current state of that rollout.
        state: State,
    },
    /// Less than [`MIN_DURATION_MS`] remains until the deadline.
    TooShort {
        /// Time from the start to the requested deadline.
        duration_ms: u64,
    },
    /// The old and the new version are the same.
    SameVersion,
    /// The stored object belongs to another service.
    OtherService {
        /// Name of the service that the object belongs to.
        service: String,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Running { to, state } => write!(
                f,
                "a rollout to `{to}` is {state} (hint: wait until it ends or roll it back)"
            ),
            Self::TooShort { duration_ms } => write!(
                f,
                "the deadline is {duration_ms} ms away \
                 (hint: leave at least {MIN_DURATION_MS} ms for stages, watch time and rollback)"
            ),
            Self::SameVersion => {
                f.write_str("the old and the new version are the same (hint: name two versions)")
            }
            Self::OtherService { service } => {
                write!(f, "the object belongs to service `{service}` (hint: read the right object)")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// Reason why a rollout cannot be rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollBackError {
    /// The rollout has already ended.
    Ended {
        /// Final state of the rollout.
        state: State,
    },
    /// The rollout is already being rolled back.
    AlreadyRollingBack,
}

impl fmt::Display for RollBackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ended { state } => write!(
                f,
                "the rollout is {state} (hint: start a rollout in the other direction instead)"
            ),
            Self::AlreadyRollingBack => {
                f.write_str("the rollout is already rolling back (hint: watch it until it ends)")
            }
        }
    }
}

impl std::error::Error for RollBackError {}

/// Returns the object of a new rollout. `current` is the stored object that the write must replace.
pub fn start(current: Option<&Rollout>, request: &StartRequest) -> Result<Rollout, StartError> {
    if let Some(it) = current {
        if it.service != request.service {
            return Err(StartError::OtherService { service: it.service.clone() });
        }
        if !it.state.is_final() {
            return Err(StartError::Running { to: it.to.clone(), state: it.state });
        }
    }
    if request.from == request.to {
        return Err(StartError::SameVersion);
    }
    let duration_ms = request.deadline_unix_ms.saturating_sub(request.now_unix_ms);
    if duration_ms < MIN_DURATION_MS {
        return Err(StartError::TooShort { duration_ms });
    }
    Ok(Rollout {
        format: FORMAT_VERSION,
        service: request.service.clone(),
        from: request.from.clone(),
        to: request.to.clone(),
        generation: current.map_or(1, |it| it.generation.saturating_add(1)),
        started_unix_ms: request.now_unix_ms,
        duration_ms,
        elapsed_ms: 0,
        stage: Stage::One,
        changed_at_ms: 0,
        state: State::Running,
        reason: None,
        controller: None,
        renewal: current.map_or(0, |it| it.renewal.saturating_add(1)),
        write_id: request.write_id,
        exposure: Vec::new(),
        thin_routes: Vec::new(),
    })
}

/// Returns the object after an operator's order to roll back; `note` is stored as the reason.
pub fn roll_back(
    current: &Rollout,
    note: &str,
    now_unix_ms: u64,
    write_id: u64,
) -> Result<Rollout, RollBackError> {
    if current.state.is_final() {
        return Err(RollBackError::Ended { state: current.state });
    }
    if current.state == State::RollingBack {
        return Err(RollBackError::AlreadyRollingBack);
    }
    let mut res = current.clone();
    res.elapsed_ms = res.elapsed_ms.max(now_unix_ms.saturating_sub(res.started_unix_ms));
    res.changed_at_ms = res.elapsed_ms;
    res.state = State::RollingBack;
    res.reason = Some(Reason::Operator { note: note.to_owned() });
    res.renewal = res.renewal.saturating_add(1);
    res.write_id = write_id;
    Ok(res)
}
