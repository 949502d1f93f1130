//! Division of a rollout's duration into phases, and time since its start without synchronized
//! clocks.

use tokio::time::Instant;

use crate::{
    rollout::{Rollout, RolloutKey},
    stage::Stage,
};

/// Largest error of a host's Unix clock with which a rollout still meets its deadline.
pub const CLOCK_MARGIN_MS: u64 = 5_000;

/// Time reserved for a rollback: 10 s until every host has the object and 5 s for a slow platform.
pub const ROLLBACK_RESERVE_MS: u64 = 15_000;

/// Time from `RollingBack` to `RolledBack`, longer than the 6 s in which a change reaches all
/// hosts.
pub(crate) const ROLLBACK_PROPAGATION_MS: u64 = 10_000;

/// Shortest watch time, during which the new version has all traffic.
pub const MIN_WATCH_MS: u64 = 60_000;

/// Shortest time in a stage; it takes a few seconds to collect the evidence of all hosts.
const MIN_STAGE_MS: u64 = 5_000;

/// Shortest duration of a rollout: the watch time, a rollback, the clock margin and 10 s for each
/// of four stages.
pub const MIN_DURATION_MS: u64 = MIN_WATCH_MS + ROLLBACK_RESERVE_MS + CLOCK_MARGIN_MS + 40_000;

/// Limits of a rollout's phases, derived from its duration; deadlines are relative to its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timeline {
    /// Shortest time in each stage below 100%.
    pub min_stage_ms: u64,
    /// Time in a stage after which it no longer waits for routes with thin traffic.
    pub max_stage_ms: u64,
    /// Time for which the new version has all traffic before the rollout is done.
    pub watch_ms: u64,
    /// Latest time at which the last stage can start.
    pub last_stage_deadline_ms: u64,
    /// Latest time at which a rollback can start.
    pub rollback_deadline_ms: u64,
}

impl Timeline {
    /// Divides a rollout's duration into its phases.
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

    /// Whether the stages from `stage`, entered at `changed_at_ms`, still fit before the last stage
    /// must start.
    pub fn can_meet_deadline(&self, stage: Stage, changed_at_ms: u64, elapsed_ms: u64) -> bool {
        let remaining_stages =
            Stage::ORDER.iter().filter(|it| **it > stage && **it != Stage::All).count();
        let stage_end_ms = elapsed_ms.max(changed_at_ms.saturating_add(self.min_stage_ms));
        let remaining_ms = self.min_stage_ms.saturating_mul(remaining_stages as u64);
        stage_end_ms.saturating_add(remaining_ms) <= self.last_stage_deadline_ms
    }
}

/// Time since a rollout's start as known to one process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ElapsedTime {
    rollout: RolloutKey,
    /// Time since the start as of `updated_at`.
    base_ms: u64,
    updated_at: Instant,
}

impl ElapsedTime {
    pub(crate) fn new(rollout: &Rollout, now: Instant) -> Self {
        Self { rollout: rollout.key(), base_ms: rollout.elapsed_ms, updated_at: now }
    }

    /// Updates the time from a newer object and from both clocks, and returns the time since the
    /// start.
    ///
    /// Monotonic time since the last update counts even if the Unix clock is behind.
    pub(crate) fn update(&mut self, rollout: &Rollout, now: Instant, unix_ms: u64) -> u64 {
        if self.rollout != rollout.key() {
            *self = Self::new(rollout, now);
        }
        let passed_ms = now.saturating_duration_since(self.updated_at).as_millis() as u64;
        self.base_ms = self
            .base_ms
            .saturating_add(passed_ms)
            .max(rollout.elapsed_ms)
            .max(unix_ms.saturating_sub(rollout.started_unix_ms));
        // Keeps the sub-millisecond remainder, so that frequent calls lose no time.
        self.updated_at += std::time::Duration::from_millis(passed_ms);
        self.base_ms
    }
}
