//! Changes of a rollout that operators make, as functions from one object to the next.

use std::fmt;

use crate::{
    rollout::{FORMAT_VERSION, Reason, Rollout, State},
    stage::Stage,
    timeline::MIN_DURATION_MS,
};

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Name of the service.
    pub service: String,
    /// Name of the version that is replaced.
    pub from: String,
    /// Name of the version that replaces it.
    pub to: String,
    /// Unix time of the start.
    pub now_unix_ms: u64,
    /// Unix time by which the rollout is done or rolled back.
    pub deadline_unix_ms: u64,
    /// Random identifier of the write.
    pub write_id: u64,
}

/// Why a rollout was not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartError {
    /// Another one runs.
    Running {
        /// Its new version.
        to: String,
        /// Its state.
        state: State,
    },
    /// The deadline is too early.
    TooShort {
        /// The time asked for.
        duration_ms: u64,
    },
    /// Both versions are the same.
    SameVersion,
    /// The object belongs to another service.
    OtherService {
        /// Its service.
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

/// Why a rollout was not rolled back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollBackError {
    /// It has ended.
    Ended {
        /// Its final state.
        state: State,
    },
    /// Its rollback has begun.
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

/// The object of a new rollout; `current` is the object as stored, which the write must replace.
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
        generation: current.map_or(1, |it| it.generation + 1),
        started_unix_ms: request.now_unix_ms,
        duration_ms,
        elapsed_ms: 0,
        stage: Stage::One,
        changed_at_ms: 0,
        state: State::Running,
        reason: None,
        controller: None,
        renewal: current.map_or(0, |it| it.renewal + 1),
        write_id: request.write_id,
        exposure: Vec::new(),
        thin_routes: Vec::new(),
    })
}

/// The object of a rollout that an operator rolls back.
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
    res.renewal += 1;
    res.write_id = write_id;
    Ok(res)
}
