//! Share of one process in all fleet-wide caps.

use std::time::Duration;

use kingcupford_config::Snapshot;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Cap, Resource, ResourceName, Settings, ledger_writer::LedgerWriter, limiter::Limiter,
    share::LocalShare, tracker::HolderTracker,
};

/// Time for which the tokens left must cover the demand beyond the refill. A request that finds
/// fewer triggers a loan request.
pub(crate) const LOW_SUPPLY_HORIZON: Duration = Duration::from_millis(400);
/// Minimum interval of ticks outside the regular interval for one resource.
const MIN_URGENT_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a response to a loan request is expected.
pub(crate) const LOAN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Share of one process in all fleet-wide caps, with its leases, loans and token buckets.
///
/// At any time, the burst capacities of all holders of a fleet add up to at most the cap, and so do
/// their refill rates and permits. Methods take the current time and first advance the affected
/// state to it.
#[derive(Debug)]
pub struct Holder {
    pub(crate) name: String,
    /// Bound peer address of the process.
    pub(crate) address: String,
    pub(crate) incarnation: u64,
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) created_at: Instant,
    pub(crate) share: LocalShare,
    pub(crate) tracker: HolderTracker,
    pub(crate) writer: LedgerWriter,
    /// One limiter per resource that was ever configured. Limiters are never removed.
    pub(crate) limiters: Vec<Limiter>,
    /// Indices into `limiters`, sorted by resource.
    index_by_resource: Vec<(Resource, usize)>,
    /// Indices into `limiters`, sorted by resource name.
    index_by_name: Vec<(ResourceName, usize)>,
    /// Indices of the limiters with recent demand or borrowed units, which a tick visits.
    pub(crate) active_limiters: Vec<usize>,
    pub(crate) last_request_sequence: u64,
    /// Whether a request needs a loan before the next regular tick.
    pub(crate) urgent_tick_needed: bool,
    /// Whether the handover for a graceful shutdown has started.
    pub(crate) handing_over: bool,
}

/// Outcome of an attempt to acquire tokens or a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AcquireOutcome {
    /// The tokens or the permit were acquired.
    Acquired,
    /// Nothing was acquired.
    Exhausted {
        /// Time after which to try again. For a rate cap, the time until the local refill suffices,
        /// at most 60 s.
        retry_after: Duration,
        /// Whether a peer may grant a loan soon, so that waiting up to 250 ms is worthwhile.
        loan_pending: bool,
    },
}

impl Holder {
    /// Creates a holder without a share; `address` is the bound peer address, `seed` that of the
    /// random delays of writes.
    pub fn new(name: &str, address: &str, incarnation: u64, seed: u64, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            incarnation,
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(seed),
            created_at: now,
            share: LocalShare::new(now),
            tracker: HolderTracker::new(now),
            writer: LedgerWriter::new(now),
            limiters: Vec::new(),
            index_by_resource: Vec::new(),
            index_by_name: Vec::new(),
            active_limiters: Vec::new(),
            last_request_sequence: 0,
            urgent_tick_needed: false,
            handing_over: false,
        }
    }

    /// Replaces the default durations and limits.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Replaces all caps after a configuration change; `snapshot` has the names of the resources.
    ///
    /// Ignores a cap whose resource has no name in the snapshot.
    pub fn set_caps(&mut self, caps: Vec<(Resource, Cap)>, snapshot: &Snapshot, now: Instant) {
        self.advance_all(now);
        for limiter in &mut self.limiters {
            limiter.cap = None;
        }
        for (resource, cap) in caps {
            let Some(name) = ResourceName::new(resource, snapshot) else { continue };
            let index = self.limiter_index_or_insert(resource, name, now);
            self.limiters[index].cap = Some(cap);
        }
        for limiter in &mut self.limiters {
            if limiter.cap.is_none() {
                limiter.tokens = 0.0;
            }
        }
        self.advance_all(now);
    }

    /// Takes an amount of tokens of a rate cap.
    pub fn acquire_tokens(
        &mut self,
        resource: Resource,
        amount: f64,
        now: Instant,
    ) -> AcquireOutcome {
        self.acquire(resource, Some(amount), true, now)
    }

    /// Repeats [`Self::acquire_tokens`] for a waiting request without counting its demand again.
    pub fn retry_acquire_tokens(
        &mut self,
        resource: Resource,
        amount: f64,
        now: Instant,
    ) -> AcquireOutcome {
        self.acquire(resource, Some(amount), false, now)
    }

    /// Refunds tokens that were acquired but not used.
    pub fn refund(&mut self, resource: Resource, amount: f64, now: Instant) {
        let Some(index) = self.limiter_index(resource) else { return };
        let limiter = &mut self.limiters[index];
        limiter.advance(&self.share, now);
        limiter.tokens += amount.max(0.0);
        limiter.advance(&self.share, now);
    }

    /// Takes one permit of a concurrency cap.
    pub fn acquire_permit(&mut self, resource: Resource, now: Instant) -> AcquireOutcome {
        self.acquire(resource, None, true, now)
    }

    /// Repeats [`Self::acquire_permit`] for a waiting request without counting its demand again.
    pub fn retry_acquire_permit(&mut self, resource: Resource, now: Instant) -> AcquireOutcome {
        self.acquire(resource, None, false, now)
    }

    /// Releases one permit of a concurrency cap.
    pub fn release_permit(&mut self, resource: Resource, now: Instant) {
        let Some(index) = self.limiter_index(resource) else { return };
        let limiter = &mut self.limiters[index];
        limiter.advance(&self.share, now);
        limiter.permits_in_use = limiter.permits_in_use.saturating_sub(1);
    }

    /// Units of a resource that this holder could lend now.
    pub fn lendable_units(&mut self, resource: Resource, now: Instant) -> u32 {
        let Some(index) = self.limiter_index(resource) else { return 0 };
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let limiter = &mut self.limiters[index];
        limiter.advance(&self.share, now);
        if self.handing_over { 0 } else { limiter.lendable_units(&self.share, now, until) }
    }

    /// Limit of a resource that this holder may use now: burst capacity and refill rate per second
    /// of a rate cap, or permits and 0 of a concurrency cap.
    pub fn local_limit(&mut self, resource: Resource, now: Instant) -> (f64, f64) {
        let Some(index) = self.limiter_index(resource) else { return (0.0, 0.0) };
        let limiter = &mut self.limiters[index];
        limiter.advance(&self.share, now);
        let units = limiter.usable_units(&self.share, now);
        let fraction = f64::from(units) / f64::from(crate::UNITS_PER_CAP);
        match limiter.cap {
            Some(Cap::Rate { rate_per_s, burst }) => (burst * fraction, rate_per_s * fraction),
            Some(Cap::Permits { .. }) => (f64::from(limiter.permits_for(units)), 0.0),
            None => (0.0, 0.0),
        }
    }

    /// Number of permits of a resource in use on this host.
    pub fn permits_in_use(&self, resource: Resource) -> u32 {
        self.limiter_index(resource).map_or(0, |index| self.limiters[index].permits_in_use)
    }

    /// Whether a request since the last tick needs a loan, so that [`Self::tick`] should be called
    /// immediately.
    pub fn needs_tick(&self) -> bool {
        self.urgent_tick_needed
    }

    /// Records the sending of a heartbeat. Sequence numbers must increase.
    pub fn heartbeat_sent(&mut self, sequence: u64, now: Instant) {
        self.tracker.record_heartbeat_sent(sequence, now);
    }

    /// Records a heartbeat of a peer process; `acknowledged` is the highest heartbeat sequence
    /// number of this process and incarnation that the peer reports as received.
    ///
    /// Must be called before the heartbeat is acknowledged to its sender, because the sender relies
    /// on this holder not reclaiming its share for the whole lease.
    pub fn heartbeat_received(
        &mut self,
        peer: &str,
        incarnation: u64,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        self.tracker.record_heartbeat_received(peer, incarnation, acknowledged, now);
    }

    /// Records that a peer process is proven to have ended, not only silent.
    ///
    /// Leases no longer need acknowledgements of that peer. A wrong report lets the fleet exceed
    /// its caps, so proof is required: the peer's address refuses connections or was bound by a
    /// successor.
    pub fn peer_terminated(&mut self, peer: &str, incarnation: u64) {
        self.tracker.record_termination(peer, incarnation);
    }

    /// Ends all leases and borrowed loans and discards pending loan requests after the process was
    /// paused.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        self.advance_all(now);
        self.share.main_lease_end = self.share.main_lease_end.min(now);
        self.share.floor_lease_end = self.share.floor_lease_end.min(now);
        for limiter in &mut self.limiters {
            limiter.pending_requests.clear();
            for loan in &mut limiter.borrowed {
                loan.expires_at = loan.expires_at.min(now);
            }
        }
        self.tracker.restart(now);
        self.writer.force_refresh(now);
        self.advance_all(now);
    }

    /// Maximum time that a request holds a permit of any cap.
    pub(crate) fn max_request_duration(&self) -> Duration {
        self.limiters.iter().map(Limiter::permit_hold_time).max().unwrap_or_default()
    }

    /// Whether the main share may be used.
    pub fn is_main_lease_valid(&self, now: Instant) -> bool {
        now < self.share.main_lease_end
    }

    /// Whether the floor share may be used.
    pub fn is_floor_lease_valid(&self, now: Instant) -> bool {
        now < self.share.floor_lease_end
    }

    /// Units of the floor share and of the main share of this holder, lent ones included.
    pub fn share_units(&self) -> (u32, u32) {
        (self.share.floor_units, self.share.main_units)
    }

    /// Advances all limiters to `now`. Required before and after a change that affects the units
    /// usable at `now`.
    pub(crate) fn advance_all(&mut self, now: Instant) {
        for limiter in &mut self.limiters {
            limiter.advance(&self.share, now);
        }
    }

    pub(crate) fn limiter_index(&self, resource: Resource) -> Option<usize> {
        let at = self.index_by_resource.binary_search_by_key(&resource, |it| it.0).ok()?;
        Some(self.index_by_resource[at].1)
    }

    pub(crate) fn limiter_index_by_name(&self, name: &ResourceName) -> Option<usize> {
        let at = self.index_by_name.binary_search_by(|it| it.0.cmp(name)).ok()?;
        Some(self.index_by_name[at].1)
    }

    /// Takes an amount of a rate cap, or one permit when `amount` is `None`, and records whether a
    /// loan is needed.
    fn acquire(
        &mut self,
        resource: Resource,
        amount: Option<f64>,
        is_first_attempt: bool,
        now: Instant,
    ) -> AcquireOutcome {
        let Some(index) = self.limiter_index(resource) else {
            return AcquireOutcome::Exhausted {
                retry_after: Duration::from_secs(1),
                loan_pending: false,
            };
        };
        let limiter = &mut self.limiters[index];
        limiter.advance(&self.share, now);
        if is_first_attempt {
            limiter.demand.record_request(amount.unwrap_or(1.0), now);
        }
        let outcome = match amount {
            Some(amount) => limiter.acquire_tokens(&self.share, amount, now),
            None if limiter.acquire_permit(&self.share, now) => Ok(()),
            None => Err(LOAN_RESPONSE_TIMEOUT),
        };
        if outcome.is_err() && is_first_attempt {
            limiter.demand.record_unmet(amount.unwrap_or(1.0), now);
        }
        if !limiter.is_active {
            limiter.is_active = true;
            self.active_limiters.push(index);
        }
        let mut needs_loan = false;
        if now >= limiter.next_urgent_tick_at {
            let is_low = outcome.is_err() || limiter.is_low(&self.share, LOW_SUPPLY_HORIZON, now);
            needs_loan = is_low && limiter.shortfall_units(&self.share, now) > 0;
            if needs_loan {
                limiter.next_urgent_tick_at = now + MIN_URGENT_TICK_INTERVAL;
                self.urgent_tick_needed = true;
            }
        }
        match outcome {
            Ok(()) => AcquireOutcome::Acquired,
            Err(retry_after) => {
                let loan_pending = needs_loan || limiter.awaits_loan(LOAN_RESPONSE_TIMEOUT, now);
                AcquireOutcome::Exhausted { retry_after, loan_pending }
            }
        }
    }

    fn limiter_index_or_insert(
        &mut self,
        resource: Resource,
        name: ResourceName,
        now: Instant,
    ) -> usize {
        match self.index_by_resource.binary_search_by_key(&resource, |it| it.0) {
            Ok(at) => self.index_by_resource[at].1,
            Err(at) => {
                let index = self.limiters.len();
                self.limiters.push(Limiter::new(name.clone(), now));
                self.index_by_resource.insert(at, (resource, index));
                let at = self.index_by_name.partition_point(|it| it.0 < name);
                self.index_by_name.insert(at, (name, index));
                index
            }
        }
    }
}
