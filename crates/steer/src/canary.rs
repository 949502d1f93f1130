//! Canary rollout of a service's new version. Every host evaluates the summed responses of all
//! hosts, so that all of them reach the same decision.

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

/// Fraction of the allowed exposure that the canary uses, so that hosts that decide on their own
/// stay within the limit together.
const CANARY_EXPOSURE_FRACTION: f64 = 0.8;

/// Fraction of the rollout's duration in which only the canary share is exposed. Faults that begin
/// late show in this phase.
const CANARY_PHASE_FRACTION: f64 = 0.45;

/// Fraction of the rollout's duration after which all requests go to the new version.
const FULL_EXPOSURE_FRACTION: f64 = 0.75;

/// Fraction of the rollout's duration after which a healthy version is declared complete. The rest
/// is a reserve for a slow platform.
const COMPLETION_FRACTION: f64 = 0.85;

/// Responses of the new version that are required before the ramp.
const MIN_RAMP_RESPONSES: u64 = 30;

/// Fraction of the rollout's duration after which the ramp begins with fewer responses too, since a
/// service with few requests also has a deadline.
const MAX_RAMP_DELAY_FRACTION: f64 = 0.6;

/// Delay between the status writes of hosts with consecutive ranks, so that a host sees the write
/// of the one before it.
const STATUS_WRITE_STAGGER: Duration = Duration::from_millis(400);

/// Minimum interval between two attempts of one host to write a status.
const STATUS_WRITE_INTERVAL: Duration = Duration::from_millis(700);

/// Order of an operator to replace a service's version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that replaces the others.
    pub target_version: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// Requests are moving to the new version.
    Running,
    /// All requests go to the new version; final.
    Completed,
    /// No request goes to the new version; final.
    RolledBack,
}

/// Limits for the exposure of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanarySettings {
    /// Fraction of the service's requests that a faulty version may receive, 0 to 1.
    pub exposure_share: f64,
}

/// Status of a rollout that this host should write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusWrite {
    /// State to write.
    pub state: RolloutState,
}

/// Rollout as this host sees it.
#[derive(Debug)]
pub struct Canary {
    order: RolloutOrder,
    settings: CanarySettings,
    /// State that the platform stores; `None` before the first status.
    state: Option<RolloutState>,
    /// Time of the order, as far as this host knows.
    started_at: Instant,
    /// Exchanges that this process counted.
    own_tally: RolloutTally,
    /// State of `own_tally` up to which the tests have seen it.
    tested_own_tally: RolloutTally,
    /// Tallies of the peers that the tests have seen, with name and incarnation.
    tested_peer_tallies: Vec<(String, u64, RolloutTally)>,
    /// Requests that this host sent to the old and to the new side.
    sent_requests: [u64; 2],
    /// Compares the failures of both sides.
    failure_test: SequentialTest,
    /// Compares the slow responses of both sides.
    slow_test: SequentialTest,
    /// Exchanges with the new version at all hosts.
    new_total: u64,
    /// Reason why the new version is considered faulty.
    fault: Option<&'static str>,
    /// Time at which this host last tried to write a status.
    status_written_at: Option<Instant>,
    /// State that is due to be written, and since when.
    due_status: Option<(RolloutState, Instant)>,
}

impl Canary {
    /// Rollout that was ordered `elapsed` ago.
    pub fn new(
        order: RolloutOrder,
        settings: CanarySettings,
        elapsed: Duration,
        now: Instant,
    ) -> Self {
        let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let rollout_hash = name_hash(&format!("{}\n{}", order.service, order.target_version));
        let own_tally = RolloutTally { rollout_hash, ..RolloutTally::default() };
        Self {
            settings,
            state: None,
            started_at: now.checked_sub(elapsed).unwrap_or(now),
            own_tally,
            tested_own_tally: own_tally,
            tested_peer_tallies: Vec::new(),
            sent_requests: [0; 2],
            failure_test: SequentialTest::new(Hypotheses::FAILURES, 0.5, duration_ms, now),
            slow_test: SequentialTest::new(Hypotheses::SLOW_RESPONSES, 0.5, duration_ms, now),
            new_total: 0,
            fault: None,
            status_written_at: None,
            due_status: None,
            order,
        }
    }

    /// Order that started the rollout.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// State that the platform stores; `None` before the first status.
    pub fn state(&self) -> Option<RolloutState> {
        self.state
    }

    /// Reason why the new version was found faulty, for logs.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Exchanges that this process counted, for the heartbeats.
    pub fn tally(&self) -> RolloutTally {
        RolloutTally { faulty: self.fault.is_some(), ..self.own_tally }
    }

    /// Records the state that the platform stores. A final state does not change any more.
    pub fn set_state(&mut self, state: RolloutState) {
        if matches!(self.state, None | Some(RolloutState::Running)) {
            self.state = Some(state);
        }
    }

    /// Share of the requests that goes to the new version now, 0 to 1.
    pub fn new_version_share(&self, now: Instant) -> f64 {
        match self.state {
            Some(RolloutState::Completed) => return 1.0,
            Some(RolloutState::RolledBack) => return 0.0,
            Some(RolloutState::Running) | None => {}
        }
        if self.fault.is_some() {
            return 0.0;
        }
        let canary_share = self.settings.exposure_share * CANARY_EXPOSURE_FRACTION;
        let progress = self.progress(now);
        let lacks_responses =
            self.new_total < MIN_RAMP_RESPONSES && progress < MAX_RAMP_DELAY_FRACTION;
        if progress < CANARY_PHASE_FRACTION || lacks_responses {
            return canary_share;
        }
        let ramp =
            (progress - CANARY_PHASE_FRACTION) / (FULL_EXPOSURE_FRACTION - CANARY_PHASE_FRACTION);
        (canary_share + ramp * (1.0 - canary_share)).clamp(canary_share, 1.0)
    }

    /// Selects the side for a request by its affinity hash.
    pub fn pick_side(&mut self, affinity_hash: u64, now: Instant) -> Side {
        let share = self.new_version_share(now);
        let key_fraction = (mix(affinity_hash ^ xxh3_64(self.order.target_version.as_bytes()))
            >> 11) as f64
            / (1u64 << 53) as f64;
        if key_fraction >= share {
            return Side::Old;
        }
        let total = (self.sent_requests[0] + self.sent_requests[1]) as f64;
        let is_canary = share <= self.settings.exposure_share;
        // Popular affinity keys must not raise the canary's traffic above its share.
        if is_canary && (self.sent_requests[1] as f64 + 1.0) > share * (total + 1.0) + 1.0 {
            return Side::Old;
        }
        Side::New
    }

    /// Whether only a few instances of the new version are used, so that each of them sees load.
    pub fn uses_few_instances(&self, now: Instant) -> bool {
        self.new_version_share(now) <= self.settings.exposure_share
    }

    /// Counts a request that is being sent to a side.
    pub fn record_sent(&mut self, side: Side) {
        self.sent_requests[usize::from(side == Side::New)] += 1;
    }

    /// Counts a response or a missing one. A failed exchange does not count as slow.
    pub fn record_response(&mut self, side: Side, failed: bool, slow: bool) {
        let (total, failures, slow_responses) = match side {
            Side::New => (
                &mut self.own_tally.new_total,
                &mut self.own_tally.new_failed,
                &mut self.own_tally.new_slow,
            ),
            Side::Old => (
                &mut self.own_tally.old_total,
                &mut self.own_tally.old_failed,
                &mut self.own_tally.old_slow,
            ),
        };
        *total += 1;
        *failures += u64::from(failed);
        *slow_responses += u64::from(slow && !failed);
    }

    /// Passes the exchanges that all hosts counted since the last call to the tests. Returns
    /// whether the new version has just been found faulty.
    pub fn evaluate(&mut self, members: &Members, now: Instant) -> bool {
        let was_faulty = self.fault.is_some();
        let own_tally = self.own_tally;
        let delta = tally_difference(&own_tally, &self.tested_own_tally);
        self.tested_own_tally = own_tally;
        self.observe_tally(&delta, now);
        let peers: Vec<(String, u64, RolloutTally)> = members
            .rollout_tallies(self.own_tally.rollout_hash)
            .map(|it| (it.0.to_owned(), it.1, *it.2))
            .collect();
        for (name, incarnation, tally) in peers {
            let known = self.tested_peer_tallies.iter().position(|it| it.0 == name);
            let seen = known
                .filter(|at| self.tested_peer_tallies[*at].1 == incarnation)
                .map_or(RolloutTally::default(), |at| self.tested_peer_tallies[at].2);
            let delta = tally_difference(&tally, &seen);
            match known {
                Some(at) => self.tested_peer_tallies[at] = (name, incarnation, tally),
                None => self.tested_peer_tallies.push((name, incarnation, tally)),
            }
            self.observe_tally(&delta, now);
            if tally.faulty {
                self.fault.get_or_insert("found by a peer");
            }
        }
        self.fault.is_some() && !was_faulty
    }

    /// Status that this host should write now. `rank` is the rank of this host among the live ones;
    /// the larger it is, the longer the host waits.
    pub fn due_status_write(&mut self, rank: usize, now: Instant) -> Option<StatusWrite> {
        let state = self.missing_status(now)?;
        let since = match self.due_status {
            Some((due_status, since)) if due_status == state => since,
            _ => {
                self.due_status = Some((state, now));
                now
            }
        };
        let turn_at =
            since + STATUS_WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX).min(64);
        let wrote_recently = self
            .status_written_at
            .is_some_and(|it| now.saturating_duration_since(it) < STATUS_WRITE_INTERVAL);
        if now < turn_at || wrote_recently {
            return None;
        }
        self.status_written_at = Some(now);
        Some(StatusWrite { state })
    }

    /// State that the platform should store but does not.
    fn missing_status(&self, now: Instant) -> Option<RolloutState> {
        match self.state {
            Some(RolloutState::Completed | RolloutState::RolledBack) => return None,
            _ if self.fault.is_some() => return Some(RolloutState::RolledBack),
            None => return Some(RolloutState::Running),
            Some(RolloutState::Running) => {}
        }
        let is_complete =
            self.progress(now) >= COMPLETION_FRACTION && self.new_version_share(now) >= 1.0;
        is_complete.then_some(RolloutState::Completed)
    }

    /// Elapsed fraction of the rollout's duration; above 1 after the deadline.
    fn progress(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        elapsed / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    fn observe_tally(&mut self, delta: &RolloutTally, now: Instant) {
        self.new_total += delta.new_total;
        let total = delta.new_total + delta.old_total;
        if total == 0 {
            return;
        }
        // If one side has no response in the batch, the planned share is used instead of the
        // observed one.
        let share = match (delta.new_total, delta.old_total) {
            (0, _) | (_, 0) => self.new_version_share(now).clamp(0.02, 0.98),
            (new, _) => new as f64 / total as f64,
        };
        self.failure_test.observe(share, delta.new_failed, delta.old_failed, now);
        self.slow_test.observe(share, delta.new_slow, delta.old_slow, now);
        if self.failure_test.is_faulty() {
            self.fault.get_or_insert("failures");
        } else if self.slow_test.is_faulty() {
            self.fault.get_or_insert("slow responses");
        }
    }
}

/// Exchanges counted since an earlier tally of the same process.
fn tally_difference(new: &RolloutTally, old: &RolloutTally) -> RolloutTally {
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
