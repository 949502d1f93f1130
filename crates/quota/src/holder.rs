//! One process's shares of all caps.

use std::time::Duration;

use kingcupford_config::Snapshot;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    Cap, Resource, ResourceName, Settings, account::Account, proposal::Writer, share::Shares,
    watch::Watch,
};

/// A spend that finds less than this much of its demand left asks for a loan.
pub(crate) const LOW_HORIZON: Duration = Duration::from_millis(400);
/// Least time between two ticks out of turn for one resource.
const QUIET: Duration = Duration::from_millis(20);
/// Time in which an answer to a loan request is expected.
pub(crate) const ANSWER_PATIENCE: Duration = Duration::from_millis(300);

/// One process's shares of all caps, with its leases, loans and buckets.
///
/// At every moment the capacities of all holders of a fleet add up to at most the cap, and so do
/// their refill rates. Each method takes the current time and brings the affected state up to it.
#[derive(Debug)]
pub struct Holder {
    /// Name of the host.
    pub(crate) name: String,
    /// Bound address of the process.
    pub(crate) address: String,
    /// The process of the host.
    pub(crate) incarnation: u64,
    /// Periods and bounds.
    pub(crate) settings: Settings,
    /// Source of jitter.
    pub(crate) rng: SmallRng,
    /// Time of the start.
    pub(crate) created: Instant,
    /// Own units and leases.
    pub(crate) shares: Shares,
    /// What is known of the other owners.
    pub(crate) watch: Watch,
    /// The known ledger and writes to it.
    pub(crate) writer: Writer,
    /// One account per resource that was ever configured, never removed.
    pub(crate) accounts: Vec<Account>,
    /// Indices of the accounts sorted by resource.
    by_resource: Vec<(Resource, usize)>,
    /// Indices of the accounts sorted by name.
    by_name: Vec<(ResourceName, usize)>,
    /// Accounts that a tick visits.
    pub(crate) active: Vec<usize>,
    /// Number of the last loan request.
    pub(crate) last_request: u64,
    /// Whether a spend needs a loan before the next regular tick.
    pub(crate) urgent: bool,
    /// Whether the hand-back has begun.
    pub(crate) leaving: bool,
}

/// Outcome of a spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AcquireOutcome {
    /// The amount was taken.
    Acquired,
    /// Nothing was taken.
    Exhausted {
        /// Time after which the own refill suffices, at most one minute.
        retry_after: Duration,
        /// Whether a peer may lend soon, so that waiting up to 250 ms makes sense.
        loan_pending: bool,
    },
}

impl Holder {
    /// A holder without any share; `address` is the bound peer address.
    pub fn new(name: &str, address: &str, incarnation: u64, seed: u64, now: Instant) -> Self {
        Self {
            name: name.to_owned(),
            address: address.to_owned(),
            incarnation,
            settings: Settings::default(),
            rng: SmallRng::seed_from_u64(seed),
            created: now,
            shares: Shares::new(now),
            watch: Watch::new(now),
            writer: Writer::new(now),
            accounts: Vec::new(),
            by_resource: Vec::new(),
            by_name: Vec::new(),
            active: Vec::new(),
            last_request: 0,
            urgent: false,
            leaving: false,
        }
    }

    /// Replaces the periods and bounds.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Replaces all caps after a new configuration; `snapshot` has the names of their resources.
    pub fn set_caps(&mut self, caps: Vec<(Resource, Cap)>, snapshot: &Snapshot, now: Instant) {
        self.settle_all(now);
        for account in &mut self.accounts {
            account.cap = None;
        }
        for (resource, cap) in caps {
            let Some(name) = ResourceName::new(resource, snapshot) else { continue };
            let index = self.index_or_insert(resource, name, now);
            self.accounts[index].cap = Some(cap);
        }
        for account in &mut self.accounts {
            if account.cap.is_none() {
                account.tokens = 0.0;
            }
        }
        self.settle_all(now);
    }

    /// Spends an amount of a rate cap.
    pub fn acquire_tokens(
        &mut self,
        resource: Resource,
        amount: f64,
        now: Instant,
    ) -> AcquireOutcome {
        self.spend(resource, Some(amount), true, now)
    }

    /// Repeats a spend of a waiting request without counting its demand again.
    pub fn retry_acquire_tokens(
        &mut self,
        resource: Resource,
        amount: f64,
        now: Instant,
    ) -> AcquireOutcome {
        self.spend(resource, Some(amount), false, now)
    }

    /// Gives back an amount that was taken but not used.
    pub fn refund(&mut self, resource: Resource, amount: f64, now: Instant) {
        let Some(index) = self.index(resource) else { return };
        let account = &mut self.accounts[index];
        account.settle(&self.shares, now);
        account.tokens += amount.max(0.0);
        account.settle(&self.shares, now);
    }

    /// Takes one permit of a concurrency cap.
    pub fn acquire_permit(&mut self, resource: Resource, now: Instant) -> AcquireOutcome {
        self.spend(resource, None, true, now)
    }

    /// Repeats [`Self::acquire_permit`] of a waiting request without counting its demand again.
    pub fn retry_acquire_permit(&mut self, resource: Resource, now: Instant) -> AcquireOutcome {
        self.spend(resource, None, false, now)
    }

    /// Gives one permit back.
    pub fn release_permit(&mut self, resource: Resource, now: Instant) {
        let Some(index) = self.index(resource) else { return };
        let account = &mut self.accounts[index];
        account.settle(&self.shares, now);
        account.in_use = account.in_use.saturating_sub(1);
    }

    /// Units that this holder could lend now.
    pub fn lendable_units(&mut self, resource: Resource, now: Instant) -> u32 {
        let Some(index) = self.index(resource) else { return 0 };
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let account = &mut self.accounts[index];
        account.settle(&self.shares, now);
        if self.leaving { 0 } else { account.room(&self.shares, now, until) }
    }

    /// Burst capacity and refill rate, or permits and 0, that this holder may use now.
    pub fn local_limit(&mut self, resource: Resource, now: Instant) -> (f64, f64) {
        let Some(index) = self.index(resource) else { return (0.0, 0.0) };
        let account = &mut self.accounts[index];
        account.settle(&self.shares, now);
        let units = account.units(&self.shares, now);
        let fraction = f64::from(units) / f64::from(crate::UNITS_PER_CAP);
        match account.cap {
            Some(Cap::Rate { rate_per_s, burst }) => (burst * fraction, rate_per_s * fraction),
            Some(Cap::Permits { .. }) => (f64::from(account.permits(units)), 0.0),
            None => (0.0, 0.0),
        }
    }

    /// Permits in use.
    pub fn permits_in_use(&self, resource: Resource) -> u32 {
        self.index(resource).map_or(0, |index| self.accounts[index].in_use)
    }

    /// Whether a spend since the last tick needs a loan, so that the caller ticks at once.
    pub fn needs_tick(&self) -> bool {
        self.urgent
    }

    /// Notes the sending of a heartbeat; sequences rise.
    pub fn heartbeat_sent(&mut self, sequence: u64, now: Instant) {
        self.watch.note_heartbeat(sequence, now);
    }

    /// Notes a sign of life of a peer process, with the highest heartbeat sequence of this process
    /// and incarnation that the peer says it has received.
    ///
    /// Must be called before a heartbeat is acknowledged to its sender, because the sender counts
    /// on this holder not reclaiming its share for the whole lease.
    pub fn heartbeat_received(
        &mut self,
        peer: &str,
        incarnation: u64,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        self.watch.note_heard(peer, incarnation, acknowledged, now);
    }

    /// Notes that a peer process is known to have ended, not only to be silent.
    ///
    /// Its confirmation is no longer needed. A wrong report breaks the cap, so proof is needed: its
    /// address refuses connections or was bound by a successor.
    pub fn peer_terminated(&mut self, peer: &str, incarnation: u64) {
        self.watch.note_gone(peer, incarnation);
    }

    /// Drops borrowed units and leases after the process was paused.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        self.settle_all(now);
        self.shares.main_until = self.shares.main_until.min(now);
        self.shares.floor_until = self.shares.floor_until.min(now);
        for account in &mut self.accounts {
            account.pending.clear();
            for loan in &mut account.borrowed {
                loan.until = loan.until.min(now);
            }
        }
        self.watch.restart(now);
        self.writer.refresh_soon(now);
        self.settle_all(now);
    }

    /// Longest time that a request holds a permit of any cap.
    pub(crate) fn longest_request(&self) -> Duration {
        self.accounts.iter().map(Account::hold).max().unwrap_or_default()
    }

    /// Whether the main part may be spent.
    pub fn is_main_lease_valid(&self, now: Instant) -> bool {
        now < self.shares.main_until
    }

    /// Whether the floor part may be spent.
    pub fn is_floor_lease_valid(&self, now: Instant) -> bool {
        now < self.shares.floor_until
    }

    /// Own floor and main units, lent ones included.
    pub fn share_units(&self) -> (u32, u32) {
        (self.shares.floor, self.shares.main)
    }

    /// Brings all accounts up to `now`, before leases or units change.
    pub(crate) fn settle_all(&mut self, now: Instant) {
        for account in &mut self.accounts {
            account.settle(&self.shares, now);
        }
    }

    /// The account of a resource.
    pub(crate) fn index(&self, resource: Resource) -> Option<usize> {
        let at = self.by_resource.binary_search_by_key(&resource, |it| it.0).ok()?;
        Some(self.by_resource[at].1)
    }

    /// The account of a named resource.
    pub(crate) fn index_of_name(&self, name: &ResourceName) -> Option<usize> {
        let at = self.by_name.binary_search_by(|it| it.0.cmp(name)).ok()?;
        Some(self.by_name[at].1)
    }

    /// Takes an amount of a rate cap or one permit, and notes whether a loan is needed.
    fn spend(
        &mut self,
        resource: Resource,
        amount: Option<f64>,
        first: bool,
        now: Instant,
    ) -> AcquireOutcome {
        let Some(index) = self.index(resource) else {
            return AcquireOutcome::Exhausted {
                retry_after: Duration::from_secs(1),
                loan_pending: false,
            };
        };
        let account = &mut self.accounts[index];
        account.settle(&self.shares, now);
        if first {
            account.demand.add(amount.unwrap_or(1.0), now);
        }
        let outcome = match amount {
            Some(amount) => account.take(&self.shares, amount, now),
            None if account.acquire(&self.shares, now) => Ok(()),
            None => Err(ANSWER_PATIENCE),
        };
        if outcome.is_err() && first {
            account.demand.add_unmet(amount.unwrap_or(1.0), now);
        }
        if !account.active {
            account.active = true;
            self.active.push(index);
        }
        let mut asking = false;
        if now >= account.quiet_until {
            let low = outcome.is_err() || account.runs_low(&self.shares, LOW_HORIZON, now);
            asking = low && account.lacking_units(&self.shares, now) > 0;
            if asking {
                account.quiet_until = now + QUIET;
                self.urgent = true;
            }
        }
        match outcome {
            Ok(()) => AcquireOutcome::Acquired,
            Err(retry_after) => {
                let loan_pending = asking || account.awaits_loan(ANSWER_PATIENCE, now);
                AcquireOutcome::Exhausted { retry_after, loan_pending }
            }
        }
    }

    /// The account of a resource, a new one if it is not known.
    fn index_or_insert(&mut self, resource: Resource, name: ResourceName, now: Instant) -> usize {
        match self.by_resource.binary_search_by_key(&resource, |it| it.0) {
            Ok(at) => self.by_resource[at].1,
            Err(at) => {
                let index = self.accounts.len();
                self.accounts.push(Account::new(name.clone(), now));
                self.by_resource.insert(at, (resource, index));
                let at = self.by_name.partition_point(|it| it.0 < name);
                self.by_name.insert(at, (name, index));
                index
            }
        }
    }
}
