//! The controller of a rollout, which any host may be.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    fault_detector::Assessment,
    rollout::{Reason, Rollout, RouteExposure, State},
    step,
    timeline::Elapsed,
};

/// Life of the controller's lease, from the moment its write was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(10);

/// What an observer waits beyond the lease, for clocks that run at different speeds.
pub const LEASE_MARGIN: Duration = Duration::from_secs(2);

/// Time between two renewals, a third of the lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);

/// Largest random delay before a lease is taken, so that not all hosts write at once.
const TAKE_SPREAD: Duration = Duration::from_secs(2);

/// Time after which a write without an answer is sent again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time after which a host stops waiting for the object that won against its write.
const CONFLICT_WAIT: Duration = Duration::from_secs(5);

/// Advances one service's rollout from one host.
#[derive(Debug)]
pub struct Controller {
    /// Name of the host.
    host: String,
    /// Source of write identifiers and delays.
    random: SmallRng,
    /// The newest object known, which can be newer than the one a watch delivered.
    known: Option<Known>,
    /// Time since the rollout's start.
    elapsed: Option<Elapsed>,
    /// Generation and end of the lease that this process holds.
    held: Option<(u64, Instant)>,
    /// When the last own write was sent.
    last_write: Option<Instant>,
    /// A write whose effect is not known yet.
    pending: Option<Pending>,
    /// From when on this host may report its stop without the lease.
    stop_at: Option<Instant>,
}

/// What a controller sees at one moment.
#[derive(Debug, Clone, Copy)]
pub struct ControllerInput<'a> {
    /// The object as last seen.
    pub rollout: &'a Rollout,
    /// Version of the platform object.
    pub document_version: u64,
    /// The merged evidence.
    pub assessment: Option<&'a Assessment>,
    /// Why this host stopped, on its own or a peer's evidence.
    pub stop_reason: Option<&'a Reason>,
    /// Whether the platform answered recently.
    pub platform_reachable: bool,
}

/// A conditional write of the object.
#[derive(Debug, Clone, PartialEq)]
pub struct RolloutWrite {
    /// The object to write.
    pub rollout: Rollout,
    /// The version that the platform object must still have.
    pub expected_version: u64,
}

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written {
        /// The version it made.
        version: u64,
    },
    /// The platform refused it, since the object had another version.
    Conflict,
    /// No answer arrived.
    Unknown,
}

/// The newest object and when it was first seen.
#[derive(Debug)]
struct Known {
    /// The object.
    rollout: Rollout,
    /// Its version.
    version: u64,
    /// When this renewal was first seen.
    since: Instant,
    /// How long the renewal must stay unchanged before this host takes the lease.
    wait: Duration,
}

/// A write whose effect is not known yet.
#[derive(Debug)]
struct Pending {
    /// What was written.
    write: RolloutWrite,
    /// When it was sent first; a lease counts from here.
    sent: Instant,
    /// What is known about it.
    state: PendingState,
}

/// What is known about a pending write.
#[derive(Debug, Clone, Copy)]
enum PendingState {
    /// The caller has not reported yet.
    Sent,
    /// No answer arrived; it is repeated unchanged, which cannot take effect twice.
    Unknown {
        /// When it is repeated.
        retry_at: Instant,
    },
    /// It was refused; it may have taken effect before if it had been repeated.
    Refused {
        /// When this host stops waiting for the newer object.
        until: Instant,
    },
}

impl Controller {
    /// A controller that holds no lease.
    pub fn new(host: &str, seed: u64) -> Self {
        Self {
            host: host.to_owned(),
            random: SmallRng::seed_from_u64(seed),
            known: None,
            elapsed: None,
            held: None,
            last_write: None,
            pending: None,
            stop_at: None,
        }
    }

    /// Answers the write to make now, whose outcome must be reported before the next one.
    pub fn tick(
        &mut self,
        now: Instant,
        unix_ms: u64,
        view: &ControllerInput<'_>,
    ) -> Option<RolloutWrite> {
        self.see(view.rollout, view.document_version, now);
        if let Some(retry) = self.resolve_pending(now, view.platform_reachable) {
            return Some(retry);
        }
        if self.pending.is_some() {
            return None;
        }
        let known = self.known.as_ref()?;
        let elapsed = self.elapsed.get_or_insert_with(|| Elapsed::new(&known.rollout, now));
        let elapsed_ms = elapsed.update(&known.rollout, now, unix_ms);
        if known.rollout.state.is_final() {
            self.held = None;
            return None;
        }
        if !view.platform_reachable {
            return None;
        }
        let next = step::next(&known.rollout, elapsed_ms, view.assessment, view.stop_reason);
        if self.holds_lease(now) {
            let is_due = self.last_write.is_none_or(|it| now >= it + RENEWAL_INTERVAL);
            if next.is_none() && !is_due {
                return None;
            }
            let rollout = next.unwrap_or_else(|| known.rollout.clone());
            return Some(self.write(rollout, elapsed_ms, view, now));
        }
        if view.stop_reason.is_some()
            && matches!(known.rollout.state, State::Running | State::Watching)
        {
            // A controller that cannot hear this host would otherwise advance a faulty version.
            let delay = TAKE_SPREAD.mul_f64(self.random.random_range(0.25..1.0));
            if now < *self.stop_at.get_or_insert(now + delay) {
                return None;
            }
            return Some(self.write(next?, elapsed_ms, view, now));
        }
        self.stop_at = None;
        if now.saturating_duration_since(known.since) < known.wait {
            return None;
        }
        let mut rollout = known.rollout.clone();
        rollout.controller = Some(self.host.clone());
        Some(self.write(rollout, elapsed_ms, view, now))
    }

    /// Takes over what became of the write with `write_id`; a report on an earlier one is ignored.
    pub fn record_outcome(&mut self, write_id: u64, outcome: WriteOutcome, now: Instant) {
        if self.pending.as_ref().is_none_or(|it| it.write.rollout.write_id != write_id) {
            return;
        }
        match outcome {
            WriteOutcome::Written { version } => {
                let Some(pending) = self.pending.take() else { return };
                self.take_effect(pending, version, now);
            }
            WriteOutcome::Conflict => {
                self.set_pending(PendingState::Refused { until: now + CONFLICT_WAIT })
            }
            WriteOutcome::Unknown => {
                self.set_pending(PendingState::Unknown { retry_at: now + RETRY_AFTER })
            }
        }
    }

    /// Whether this process holds the lease at `now`; a paused process finds it ended.
    pub fn holds_lease(&self, now: Instant) -> bool {
        let Some((generation, until)) = self.held else { return false };
        self.known.as_ref().is_some_and(|it| {
            now < until
                && it.rollout.generation == generation
                && it.rollout.controller.as_ref() == Some(&self.host)
        })
    }

    /// Takes over an object that is newer than the known one.
    fn see(&mut self, rollout: &Rollout, version: u64, now: Instant) {
        let is_same = match &mut self.known {
            Some(known) if version < known.version => return,
            Some(known) => {
                let id = |it: &Rollout| (it.generation, it.renewal, it.write_id);
                let is_same = id(&known.rollout) == id(rollout);
                known.version = version;
                is_same
            }
            None => false,
        };
        if is_same {
            return;
        }
        let spread = TAKE_SPREAD.mul_f64(self.random.random());
        let wait = match rollout.controller {
            Some(_) => LEASE_DURATION + LEASE_MARGIN + spread,
            None => spread,
        };
        self.known = Some(Known { rollout: rollout.clone(), version, since: now, wait });
    }

    /// Finds out what became of a pending write, or answers it for repetition.
    fn resolve_pending(&mut self, now: Instant, platform_reachable: bool) -> Option<RolloutWrite> {
        let known = self.known.as_ref()?;
        let pending = self.pending.as_mut()?;
        if known.version > pending.write.expected_version {
            let version = known.version;
            let is_own = known.rollout.write_id == pending.write.rollout.write_id;
            let pending = self.pending.take()?;
            if is_own {
                self.take_effect(pending, version, now);
            }
            return None;
        }
        match pending.state {
            PendingState::Sent if now < pending.sent + LEASE_DURATION => None,
            PendingState::Unknown { retry_at } if now < pending.sent + LEASE_DURATION => {
                if now < retry_at || !platform_reachable {
                    return None;
                }
                pending.state = PendingState::Sent;
                Some(pending.write.clone())
            }
            PendingState::Refused { until } if now < until => None,
            _ => {
                self.pending = None;
                None
            }
        }
    }

    /// Takes over a write that took effect.
    fn take_effect(&mut self, pending: Pending, version: u64, now: Instant) {
        let rollout = pending.write.rollout;
        // A report of a stop by a host without the lease does not give it the lease.
        if rollout.controller.as_ref() == Some(&self.host) {
            self.held = Some((rollout.generation, pending.sent + LEASE_DURATION));
        }
        self.last_write = Some(pending.sent);
        self.see(&rollout, version, now);
    }

    /// Completes an object and remembers its write.
    fn write(
        &mut self,
        mut rollout: Rollout,
        elapsed_ms: u64,
        view: &ControllerInput<'_>,
        now: Instant,
    ) -> RolloutWrite {
        rollout.elapsed_ms = elapsed_ms;
        rollout.renewal += 1;
        rollout.write_id = self.random.random();
        if let Some(it) = view.assessment
            && it.generation == rollout.generation
        {
            raise_exposure(&mut rollout.exposure, &it.exposure);
        }
        let expected_version = self.known.as_ref().map_or(view.document_version, |it| it.version);
        let write = RolloutWrite { rollout, expected_version };
        self.pending = Some(Pending { write: write.clone(), sent: now, state: PendingState::Sent });
        write
    }

    /// Notes what is known about the pending write.
    fn set_pending(&mut self, state: PendingState) {
        if let Some(pending) = &mut self.pending {
            pending.state = state;
        }
    }
}

/// Raises counters to what was counted; a fresh host may have counted less than the object says.
fn raise_exposure(stored: &mut Vec<RouteExposure>, counted: &[RouteExposure]) {
    for it in counted {
        match stored.iter_mut().find(|stored| stored.route == it.route) {
            Some(stored) => {
                stored.new_requests = stored.new_requests.max(it.new_requests);
                stored.new_failures = stored.new_failures.max(it.new_failures);
                stored.new_slow = stored.new_slow.max(it.new_slow);
                stored.old_requests = stored.old_requests.max(it.old_requests);
            }
            None => stored.push(it.clone()),
        }
    }
}
