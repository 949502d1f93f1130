//! Rollout controller; any host can become it by acquiring a lease.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    fault_detector::Assessment,
    rollout::{Reason, Rollout, RolloutKey, RouteExposure, State},
    timeline::ElapsedTime,
    transition,
};

/// Duration of the controller's lease, counted from when the write that acquired or renewed it was
/// first sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// Time that an observer waits beyond [`LEASE_DURATION`] before it acquires the lease, to allow for
/// clocks that run at different rates.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Interval between renewals, about a third of [`LEASE_DURATION`].
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Largest random delay before a host without the lease writes, so that hosts do not all write at
/// once.
const MAX_WRITE_JITTER: Duration = Duration::from_secs(2);

/// Delay before a write whose answer did not arrive is sent again.
const WRITE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Longest time that a host waits, after a refused write, to see the object that was written
/// instead.
const CONFLICT_TIMEOUT: Duration = Duration::from_secs(5);

/// Advances one service's rollout on behalf of one host.
#[derive(Debug)]
pub struct Controller {
    host: String,
    rng: SmallRng,
    /// Newest known object, which can be newer than the one that a watch delivered.
    known: Option<KnownRollout>,
    elapsed: Option<ElapsedTime>,
    /// Rollout and expiry of the lease that this process holds.
    held_lease: Option<(RolloutKey, Instant)>,
    last_write_at: Option<Instant>,
    /// Write whose effect is not known yet.
    pending_write: Option<PendingWrite>,
    /// Earliest time at which this host may report its stop without holding the lease.
    stop_report_at: Option<Instant>,
}

/// State that a controller decides on.
#[derive(Debug, Clone, Copy)]
pub struct ControllerInput<'a> {
    /// Rollout object as last seen by this host.
    pub rollout: &'a Rollout,
    /// Version of the platform object that holds `rollout`.
    pub document_version: u64,
    /// Result of the fault detector on the evidence of all hosts, if available.
    pub assessment: Option<&'a Assessment>,
    /// Why this host stopped sending requests to the new version, on its own or a peer's evidence.
    pub stop_reason: Option<&'a Reason>,
    /// Whether the platform answered recently; nothing is written while it is unreachable.
    pub platform_reachable: bool,
}

/// Conditional write of the rollout object to the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutWrite {
    /// Content of the object to write.
    pub rollout: Rollout,
    /// Version that the platform object must still have for the write to take effect, `None` if the
    /// platform must have no object.
    pub expected_version: Option<u64>,
}

/// Outcome of a conditional write as its sender knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect.
    Written {
        /// Version of the object that the write created.
        version: u64,
    },
    /// The platform refused the write because the object had another version.
    Conflict,
    /// No answer arrived, so the write may or may not have taken effect.
    Unknown,
}

#[derive(Debug)]
struct KnownRollout {
    rollout: Rollout,
    version: u64,
    /// Whether the platform has lost the object and has no other one.
    is_lost: bool,
    /// When this renewal was first seen.
    first_seen_at: Instant,
    /// How long the renewal must stay unchanged before this host acquires the lease.
    acquire_after: Duration,
}

#[derive(Debug)]
struct PendingWrite {
    write: RolloutWrite,
    /// Version of the object from which the write was derived.
    base_version: u64,
    /// When the write was first sent, from which the lease is counted.
    first_sent_at: Instant,
    state: PendingWriteState,
}

#[derive(Debug, Clone, Copy)]
enum PendingWriteState {
    /// The outcome has not been reported yet.
    Sent,
    /// No answer arrived. The write is repeated unchanged, so it cannot take effect twice.
    Unknown { retry_at: Instant },
    /// The platform refused the write. If the write was sent more than once, an earlier sending may
    /// have taken effect.
    Refused {
        /// When this host stops waiting for the newer object.
        until: Instant,
    },
}

impl Controller {
    /// Creates a controller without a lease; `seed` determines write identifiers and random delays.
    pub fn new(host: &str, seed: u64) -> Self {
        Self {
            host: host.to_owned(),
            rng: SmallRng::seed_from_u64(seed),
            known: None,
            elapsed: None,
            held_lease: None,
            last_write_at: None,
            pending_write: None,
            stop_report_at: None,
        }
    }

    /// Returns the write to make now, if any. The caller must pass its outcome to
    /// [`Self::record_outcome`] before another write is returned.
    pub fn tick(
        &mut self,
        now: Instant,
        unix_ms: u64,
        input: &ControllerInput<'_>,
    ) -> Option<RolloutWrite> {
        self.update_known(input.rollout, input.document_version, now);
        if let Some(retry) = self.resolve_pending_write(now, input.platform_reachable) {
            return Some(retry);
        }
        if self.pending_write.is_some() {
            return None;
        }
        let known = self.known.as_ref()?;
        let elapsed = self.elapsed.get_or_insert_with(|| ElapsedTime::new(&known.rollout, now));
        let elapsed_ms = elapsed.update(&known.rollout, now, unix_ms);
        if known.rollout.state.is_final() {
            self.held_lease = None;
            return None;
        }
        if !input.platform_reachable {
            return None;
        }
        let next = transition::next_rollout(
            &known.rollout,
            elapsed_ms,
            input.assessment,
            input.stop_reason,
        );
        if self.holds_lease(now) {
            let is_renewal_due = self.last_write_at.is_none_or(|it| now >= it + RENEWAL_INTERVAL);
            if next.is_none() && !is_renewal_due {
                return None;
            }
            let rollout = next.unwrap_or_else(|| known.rollout.clone());
            return Some(self.prepare_write(rollout, elapsed_ms, input, now));
        }
        if input.stop_reason.is_some()
            && matches!(known.rollout.state, State::Running | State::Watching)
        {
            // A host without the lease also reports its stop: a controller that does not receive
            // this host's messages would otherwise advance a faulty version.
            let delay = MAX_WRITE_JITTER.mul_f64(self.rng.random_range(0.25..1.0));
            if now < *self.stop_report_at.get_or_insert(now + delay) {
                return None;
            }
            return Some(self.prepare_write(next?, elapsed_ms, input, now));
        }
        self.stop_report_at = None;
        if now.saturating_duration_since(known.first_seen_at) < known.acquire_after {
            return None;
        }
        let mut rollout = known.rollout.clone();
        rollout.controller = Some(self.host.clone());
        Some(self.prepare_write(rollout, elapsed_ms, input, now))
    }

    /// Records the outcome of the write with `write_id`; outcomes of earlier writes are ignored.
    pub fn record_outcome(&mut self, write_id: u64, outcome: WriteOutcome, now: Instant) {
        if self.pending_write.as_ref().is_none_or(|it| it.write.rollout.write_id != write_id) {
            return;
        }
        match outcome {
            WriteOutcome::Written { version } => {
                let Some(pending) = self.pending_write.take() else { return };
                self.apply_written(pending, version, now);
            }
            WriteOutcome::Conflict => {
                self.set_pending_state(PendingWriteState::Refused { until: now + CONFLICT_TIMEOUT })
            }
            WriteOutcome::Unknown => self.set_pending_state(PendingWriteState::Unknown {
                retry_at: now + WRITE_RETRY_DELAY,
            }),
        }
    }

    /// Records that the platform no longer has the object, although `version` was known when it was
    /// asked, because it was restored from a copy. The next write then creates the object again.
    pub fn record_lost(&mut self, version: u64) {
        if let Some(known) = &mut self.known
            && known.version == version
        {
            known.is_lost = true;
            self.pending_write = None;
        }
    }

    /// Whether this process holds the lease at `now`; after a pause longer than the lease it does
    /// not.
    pub fn holds_lease(&self, now: Instant) -> bool {
        let Some((rollout, until)) = self.held_lease else { return false };
        self.known.as_ref().is_some_and(|it| {
            now < until
                && it.rollout.key() == rollout
                && it.rollout.controller.as_ref() == Some(&self.host)
        })
    }

    /// Records an object that is newer than the known one.
    fn update_known(&mut self, rollout: &Rollout, version: u64, now: Instant) {
        let is_unchanged = match &mut self.known {
            Some(known) if version < known.version => return,
            Some(known) => {
                let write_key = |it: &Rollout| (it.key(), it.renewal, it.write_id);
                let is_unchanged = write_key(&known.rollout) == write_key(rollout);
                known.is_lost &= version == known.version;
                known.version = version;
                is_unchanged
            }
            None => false,
        };
        if is_unchanged {
            return;
        }
        let jitter = MAX_WRITE_JITTER.mul_f64(self.rng.random());
        let acquire_after = match rollout.controller {
            Some(_) => LEASE_DURATION + LEASE_MARGIN + jitter,
            None => jitter,
        };
        self.known = Some(KnownRollout {
            rollout: rollout.clone(),
            version,
            is_lost: false,
            first_seen_at: now,
            acquire_after,
        });
    }

    /// Determines from newer objects whether the pending write took effect. Returns the write if it
    /// must be sent again.
    fn resolve_pending_write(
        &mut self,
        now: Instant,
        platform_reachable: bool,
    ) -> Option<RolloutWrite> {
        let known = self.known.as_ref()?;
        let pending = self.pending_write.as_mut()?;
        if known.version > pending.base_version {
            let version = known.version;
            let is_own_write = known.rollout.write_id == pending.write.rollout.write_id;
            let pending = self.pending_write.take()?;
            if is_own_write {
                self.apply_written(pending, version, now);
            }
            return None;
        }
        match pending.state {
            PendingWriteState::Sent if now < pending.first_sent_at + LEASE_DURATION => None,
            PendingWriteState::Unknown { retry_at }
                if now < pending.first_sent_at + LEASE_DURATION =>
            {
                if now < retry_at || !platform_reachable {
                    return None;
                }
                pending.state = PendingWriteState::Sent;
                Some(pending.write.clone())
            }
            PendingWriteState::Refused { until } if now < until => None,
            _ => {
                self.pending_write = None;
                None
            }
        }
    }

    /// Records a write that took effect.
    fn apply_written(&mut self, pending: PendingWrite, version: u64, now: Instant) {
        let rollout = pending.write.rollout;
        // A host that reports its stop without holding the lease does not acquire it.
        if rollout.controller.as_ref() == Some(&self.host) {
            self.held_lease = Some((rollout.key(), pending.first_sent_at + LEASE_DURATION));
        }
        self.last_write_at = Some(pending.first_sent_at);
        self.update_known(&rollout, version, now);
    }

    /// Fills in the fields that change with every write and records the write as pending.
    fn prepare_write(
        &mut self,
        mut rollout: Rollout,
        elapsed_ms: u64,
        input: &ControllerInput<'_>,
        now: Instant,
    ) -> RolloutWrite {
        rollout.elapsed_ms = elapsed_ms;
        rollout.renewal = rollout.renewal.saturating_add(1);
        rollout.write_id = self.rng.random();
        if let Some(it) = input.assessment
            && it.rollout == rollout.key()
        {
            raise_exposure_counters(&mut rollout.exposure, &it.exposure);
        }
        let base_version = self.known.as_ref().map_or(input.document_version, |it| it.version);
        let is_lost = self.known.as_ref().is_some_and(|it| it.is_lost);
        let expected_version = (!is_lost).then_some(base_version);
        let write = RolloutWrite { rollout, expected_version };
        self.pending_write = Some(PendingWrite {
            write: write.clone(),
            base_version,
            first_sent_at: now,
            state: PendingWriteState::Sent,
        });
        write
    }

    fn set_pending_state(&mut self, state: PendingWriteState) {
        if let Some(pending) = &mut self.pending_write {
            pending.state = state;
        }
    }
}

/// Raises stored counters to the counted values, but never lowers them: after a restart, a host may
/// have counted less than the object holds.
fn raise_exposure_counters(stored: &mut Vec<RouteExposure>, counted: &[RouteExposure]) {
    for route in counted {
        match stored.iter_mut().find(|stored| stored.route == route.route) {
            Some(stored) => {
                stored.new_requests = stored.new_requests.max(route.new_requests);
                stored.new_failures = stored.new_failures.max(route.new_failures);
                stored.new_slow = stored.new_slow.max(route.new_slow);
                stored.old_requests = stored.old_requests.max(route.old_requests);
            }
            None => stored.push(route.clone()),
        }
    }
}
