//! A rollout of one service's new version, decided on every host alike from summed evidence.

use std::time::Duration;

use kingcupford_rollout::{Hypotheses, SequentialTest};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cache_affinity::mix,
    heartbeat::{RolloutTally, name_hash},
    members::Members,
    versions::Side,
};

/// Part of the allowed exposure that the canary uses, so that hosts which decide by themselves
/// stay below it together.
const CANARY_PART: f64 = 0.8;

/// Part of the rollout's time in which only the canary share is exposed; faults that begin late
/// show in it.
const WATCH_PART: f64 = 0.45;

/// Part of the rollout's time at which all requests go to the new version.
const FULL_PART: f64 = 0.75;

/// Part of the rollout's time at which a healthy version is declared complete; the rest covers a
/// slow platform.
const COMPLETE_PART: f64 = 0.85;

/// Responses of the new version that a ramp needs.
const MIN_RESPONSES: u64 = 30;

/// Part of the time after which a ramp begins also on less evidence: a service with few requests
/// has a deadline too.
const THIN_PART: f64 = 0.6;

/// Time between two hosts' attempts to write a status, so that the first one's is seen.
const WRITE_STAGGER: Duration = Duration::from_millis(400);

/// Pause before the same host writes again after an attempt.
const WRITE_AGAIN: Duration = Duration::from_millis(700);

/// An operator's order to replace a service's version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: String,
    /// Its new version.
    pub target_version: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// Requests move to the new version.
    Running,
    /// All requests go to the new version, for good.
    Completed,
    /// No requests go to the new version, for good.
    RolledBack,
}

/// Limits of a rollout's exposure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanarySettings {
    /// Part of the service's requests that a bad version may get.
    pub exposure_share: f64,
}

/// A status that this host should write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusWrite {
    /// The state.
    pub state: RolloutState,
}

/// One rollout as this host sees it.
#[derive(Debug)]
pub struct Canary {
    /// The order.
    order: RolloutOrder,
    /// Limits.
    settings: CanarySettings,
    /// The state that the platform holds, `None` before the first status.
    state: Option<RolloutState>,
    /// When the order was given, as far as this host knows.
    started_at: Instant,
    /// What this process counted.
    own: RolloutTally,
    /// Part of `own` that the tests have seen.
    own_tested: RolloutTally,
    /// What peers told that the tests have seen, by name and incarnation.
    peers_tested: Vec<(String, u64, RolloutTally)>,
    /// Requests that this host sent to either side.
    sent: [u64; 2],
    /// Compares failures.
    failures: SequentialTest,
    /// Compares slow responses.
    slow: SequentialTest,
    /// Responses of the new version over all hosts.
    new_total: u64,
    /// Why the version is faulty.
    fault: Option<&'static str>,
    /// When this host last tried to write a status.
    wrote_at: Option<Instant>,
    /// Since when a status is due, with the state.
    due: Option<(RolloutState, Instant)>,
}

impl Canary {
    /// A rollout that was ordered `elapsed` ago.
    pub fn new(
        order: RolloutOrder,
        settings: CanarySettings,
        elapsed: Duration,
        now: Instant,
    ) -> Self {
        let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let rollout_hash = name_hash(&format!("{}\n{}", order.service, order.target_version));
        let own = RolloutTally { rollout_hash, ..RolloutTally::default() };
        Self {
            settings,
            state: None,
            started_at: now.checked_sub(elapsed).unwrap_or(now),
            own,
            own_tested: own,
            peers_tested: Vec::new(),
            sent: [0; 2],
            failures: SequentialTest::new(Hypotheses::FAILURES, 0.5, duration_ms, now),
            slow: SequentialTest::new(Hypotheses::SLOW_RESPONSES, 0.5, duration_ms, now),
            new_total: 0,
            fault: None,
            wrote_at: None,
            due: None,
            order,
        }
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// The state that the platform holds.
    pub fn state(&self) -> Option<RolloutState> {
        self.state
    }

    /// Why the version is faulty.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// What this process counted.
    pub fn tally(&self) -> RolloutTally {
        RolloutTally { faulty: self.fault.is_some(), ..self.own }
    }

    /// Takes the platform's state in; final states stay.
    pub fn set_state(&mut self, state: RolloutState) {
        if matches!(self.state, None | Some(RolloutState::Running)) {
            self.state = Some(state);
        }
    }

    /// Part of the requests that the new version gets now.
    pub fn new_version_share(&self, now: Instant) -> f64 {
        match self.state {
            Some(RolloutState::Completed) => return 1.0,
            Some(RolloutState::RolledBack) => return 0.0,
            Some(RolloutState::Running) | None => {}
        }
        if self.fault.is_some() {
            return 0.0;
        }
        let canary = self.settings.exposure_share * CANARY_PART;
        let progress = self.progress(now);
        let is_thin = self.new_total < MIN_RESPONSES && progress < THIN_PART;
        if progress < WATCH_PART || is_thin {
            return canary;
        }
        let ramp = (progress - WATCH_PART) / (FULL_PART - WATCH_PART);
        (canary + ramp * (1.0 - canary)).clamp(canary, 1.0)
    }

    /// The side that a request goes to, by its object where it names one.
    pub fn pick_side(&mut self, affinity_hash: u64, now: Instant) -> Side {
        let share = self.new_version_share(now);
        let unit = (mix(affinity_hash ^ xxh3_64(self.order.target_version.as_bytes())) >> 11)
            as f64
            / (1u64 << 53) as f64;
        if unit >= share {
            return Side::Old;
        }
        let total = (self.sent[0] + self.sent[1]) as f64;
        let is_canary = share <= self.settings.exposure_share;
        // Popular objects must not raise the canary's part above its share.
        if is_canary && (self.sent[1] as f64 + 1.0) > share * (total + 1.0) + 1.0 {
            return Side::Old;
        }
        Side::New
    }

    /// Whether only few instances of the new version are used, so that they see load.
    pub fn uses_few_instances(&self, now: Instant) -> bool {
        self.new_version_share(now) <= self.settings.exposure_share
    }

    /// Counts a request that was sent.
    pub fn record_sent(&mut self, side: Side) {
        self.sent[usize::from(side == Side::New)] += 1;
    }

    /// Counts a response or its absence.
    pub fn record_response(&mut self, side: Side, failed: bool, slow: bool) {
        let (total, failures, slows) = match side {
            Side::New => {
                (&mut self.own.new_total, &mut self.own.new_failed, &mut self.own.new_slow)
            }
            Side::Old => {
                (&mut self.own.old_total, &mut self.own.old_failed, &mut self.own.old_slow)
            }
        };
        *total += 1;
        *failures += u64::from(failed);
        *slows += u64::from(slow && !failed);
    }

    /// Adds the news of all hosts to the tests; answers whether the version was found faulty now.
    pub fn evaluate(&mut self, members: &Members, now: Instant) -> bool {
        let was_faulty = self.fault.is_some();
        let own = self.own;
        let delta = difference(&own, &self.own_tested);
        self.own_tested = own;
        self.test(&delta, now);
        let peers: Vec<(String, u64, RolloutTally)> = members
            .rollout_tallies(self.own.rollout_hash)
            .map(|it| (it.0.to_owned(), it.1, *it.2))
            .collect();
        for (name, incarnation, tally) in peers {
            let known = self.peers_tested.iter().position(|it| it.0 == name);
            let seen = known
                .filter(|at| self.peers_tested[*at].1 == incarnation)
                .map_or(RolloutTally::default(), |at| self.peers_tested[at].2);
            let delta = difference(&tally, &seen);
            match known {
                Some(at) => self.peers_tested[at] = (name, incarnation, tally),
                None => self.peers_tested.push((name, incarnation, tally)),
            }
            self.test(&delta, now);
            if tally.faulty {
                self.fault.get_or_insert("found by a peer");
            }
        }
        self.fault.is_some() && !was_faulty
    }

    /// The status that this host should write now; `rank` is its rank among the live hosts.
    pub fn due_status_write(&mut self, rank: usize, now: Instant) -> Option<StatusWrite> {
        let state = self.wanted_state(now)?;
        let since = match self.due {
            Some((due, since)) if due == state => since,
            _ => {
                self.due = Some((state, now));
                now
            }
        };
        let turn = since + WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX).min(64);
        let wrote_lately =
            self.wrote_at.is_some_and(|it| now.saturating_duration_since(it) < WRITE_AGAIN);
        if now < turn || wrote_lately {
            return None;
        }
        self.wrote_at = Some(now);
        Some(StatusWrite { state })
    }

    /// The state that the platform should hold and does not.
    fn wanted_state(&self, now: Instant) -> Option<RolloutState> {
        match self.state {
            Some(RolloutState::Completed | RolloutState::RolledBack) => return None,
            _ if self.fault.is_some() => return Some(RolloutState::RolledBack),
            None => return Some(RolloutState::Running),
            Some(RolloutState::Running) => {}
        }
        let is_complete = self.progress(now) >= COMPLETE_PART && self.new_version_share(now) >= 1.0;
        is_complete.then_some(RolloutState::Completed)
    }

    /// Part of the rollout's time that has passed.
    fn progress(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        elapsed / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Adds responses to the tests.
    fn test(&mut self, delta: &RolloutTally, now: Instant) {
        self.new_total += delta.new_total;
        let total = delta.new_total + delta.old_total;
        if total == 0 {
            return;
        }
        // Without any response of one side in the batch, the planned share stands for it.
        let share = match (delta.new_total, delta.old_total) {
            (0, _) | (_, 0) => self.new_version_share(now).clamp(0.02, 0.98),
            (new, _) => new as f64 / total as f64,
        };
        self.failures.observe(share, delta.new_failed, delta.old_failed, now);
        self.slow.observe(share, delta.new_slow, delta.old_slow, now);
        if self.failures.is_faulty() {
            self.fault.get_or_insert("failures");
        } else if self.slow.is_faulty() {
            self.fault.get_or_insert("slow responses");
        }
    }
}

/// What was counted since an earlier tally of the same process.
fn difference(new: &RolloutTally, old: &RolloutTally) -> RolloutTally {
    RolloutTally {
        rollout_hash: new.rollout_hash,
        new_total: new.new_total.saturating_sub(old.new_total),
        new_failed: new.new_failed.saturating_sub(old.new_failed),
        new_slow: new.new_slow.saturating_sub(old.new_slow),
        old_total: new.old_total.saturating_sub(old.old_total),
        old_failed: new.old_failed.saturating_sub(old.old_failed),
        old_slow: new.old_slow.saturating_sub(old.old_slow),
        faulty: new.faulty,
    }
}
