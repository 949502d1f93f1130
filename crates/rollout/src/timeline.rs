//! Division of a rollout's time, and time since its start without synchronised clocks.

use tokio::time::Instant;

use crate::{rollout::Rollout, stage::Stage};

/// Largest error of a host's Unix clock that cannot make a rollout miss its deadline.
pub const CLOCK_MARGIN_MS: u64 = 5_000;

/// Time reserved for a rollback: 10 s until every host has the object, 5 s for a slow platform.
pub const ROLLBACK_RESERVE_MS: u64 = 15_000;

/// Time from `RollingBack` to `RolledBack`, longer than the 6 s that a change takes to reach all hosts.
pub(crate) const SETTLE_MS: u64 = 10_000;

/// Shortest watch time.
pub const MIN_WATCH_MS: u64 = 60_000;

/// Shortest time in a stage; evidence of all hosts takes a few seconds to add up.
const MIN_STAGE_MS: u64 = 5_000;

/// Shortest duration: the watch time, a rollback, the clock margin and 10 s for each of four stages.
pub const MIN_DURATION_MS: u64 = MIN_WATCH_MS + ROLLBACK_RESERVE_MS + CLOCK_MARGIN_MS + 40_000;

/// The times of a rollout, as milliseconds since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Least time in each stage below 100%.
    pub min_stage_ms: u64,
    /// Time after which a stage no longer waits for routes with thin traffic.
    pub max_stage_ms: u64,
    /// Length of the watch time.
    pub watch_ms: u64,
    /// Latest moment at which the last stage can begin.
    pub last_stage_deadline_ms: u64,
    /// Latest moment at which a rollback can begin.
    pub rollback_deadline_ms: u64,
}

impl Timeline {
    /// Divides a duration.
    pub fn new(duration_ms: u64) -> Self {
        let watch_ms = (duration_ms / 10).max(MIN_WATCH_MS);
        let rollback_deadline_ms =
            duration_ms.saturating_sub(ROLLBACK_RESERVE_MS + CLOCK_MARGIN_MS);
        let last_stage_deadline_ms = rollback_deadline_ms.saturating_sub(watch_ms);
        Self {
            min_stage_ms: (last_stage_deadline_ms / 10).max(MIN_STAGE_MS),
            max_stage_ms: (last_stage_deadline_ms / 5).max(MIN_STAGE_MS),
            watch_ms,
            last_stage_deadline_ms,
            rollback_deadline_ms,
        }
    }

    /// Whether the stages from `stage`, entered at `changed_at_ms`, still fit.
    pub fn can_meet_deadline(&self, stage: Stage, changed_at_ms: u64, elapsed_ms: u64) -> bool {
        let later = Stage::ORDER.iter().filter(|it| **it > stage && **it != Stage::All).count();
        let leave_ms = elapsed_ms.max(changed_at_ms + self.min_stage_ms);
        leave_ms + later as u64 * self.min_stage_ms <= self.last_stage_deadline_ms
    }
}

/// Time since a rollout's start as one process knows it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Elapsed {
    /// The rollout's generation.
    generation: u64,
    /// Time known at `since`.
    base_ms: u64,
    /// When `base_ms` was known.
    since: Instant,
}

impl Elapsed {
    /// Starts from an object seen at `now`.
    pub(crate) fn new(rollout: &Rollout, now: Instant) -> Self {
        Self { generation: rollout.generation, base_ms: rollout.elapsed_ms, since: now }
    }

    /// Takes over what a newer object tells, and answers the time since the start.
    ///
    /// Monotonic time since the last object counts even where the Unix clock is behind.
    pub(crate) fn update(&mut self, rollout: &Rollout, now: Instant, unix_ms: u64) -> u64 {
        if self.generation != rollout.generation {
            *self = Self::new(rollout, now);
        }
        let passed_ms = now.saturating_duration_since(self.since).as_millis() as u64;
        self.base_ms = (self.base_ms + passed_ms)
            .max(rollout.elapsed_ms)
            .max(unix_ms.saturating_sub(rollout.started_unix_ms));
        // Keeps the sub-millisecond rest, so that frequent calls lose no time.
        self.since += std::time::Duration::from_millis(passed_ms);
        self.base_ms
    }
}
