//! One process's shares of all caps.

use std::time::Duration;

use kingcupford_config::Snapshot;
use tokio::time::Instant;

use crate::{Cap, Ledger, Message, Proposal, Resource, WriteOutcome};

/// One process's shares of all caps, with its leases, loans and buckets.
#[derive(Debug)]
pub struct Holder {
    /// Periods and bounds.
    settings: Settings,
}

/// Periods and bounds of a [`Holder`]; equal on all hosts of a fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time after a refresh in which the main part may be spent.
    pub main_lease: Duration,
    /// Wait of a reclaimer beyond the main lease.
    pub main_margin: Duration,
    /// Time after a refresh in which the floor part may be spent.
    pub floor_lease: Duration,
    /// Wait of a reclaimer beyond the floor lease.
    pub floor_margin: Duration,
    /// Length of a loan.
    pub loan: Duration,
    /// Wait of a lender beyond the loan.
    pub loan_margin: Duration,
    /// Longest time that a request holds a permit.
    pub longest_request: Duration,
    /// Time between two refreshes in the platform while peers do not confirm.
    pub refresh: Duration,
    /// Time between two refreshes in the platform while all peers confirm.
    pub confirmed_refresh: Duration,
    /// Loan requests of one resource that wait for an answer.
    pub fanout: usize,
}

/// Outcome of a spend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Take {
    /// The amount was taken.
    Taken,
    /// Nothing was taken.
    Empty {
        /// Time after which the own refill suffices.
        retry_after: Duration,
        /// Whether a peer may lend soon, so that waiting up to 250 ms makes sense.
        loan_pending: bool,
    },
}

impl Holder {
    /// A holder without any share; `address` is the bound peer address.
    pub fn new(name: &str, address: &str, incarnation: u64, seed: u64, now: Instant) -> Self {
        let _ = (name, address, incarnation, seed, now);
        Self { settings: Settings::default() }
    }

    /// Replaces the periods and bounds.
    pub fn with_settings(mut self, settings: Settings) -> Self {
        self.settings = settings;
        self
    }

    /// Replaces all caps after a new configuration; `snapshot` has the names of their resources.
    pub fn set_caps(&mut self, caps: Vec<(Resource, Cap)>, snapshot: &Snapshot, now: Instant) {
        let _ = (caps, snapshot, now);
    }

    /// Takes over a ledger that was read from the platform or a peer; an older version is ignored.
    pub fn adopt_ledger(&mut self, version: u64, ledger: Ledger, now: Instant) {
        let _ = (version, ledger, now);
    }

    /// Notes that the platform has no ledger yet, so that this holder may create it.
    pub fn ledger_missing(&mut self) {}

    /// Spends an amount of a rate cap.
    pub fn take(&mut self, resource: Resource, amount: f64, now: Instant) -> Take {
        let _ = (resource, amount, now);
        Take::Empty { retry_after: self.settings.loan, loan_pending: false }
    }

    /// Repeats a spend of a waiting request without counting its demand again.
    pub fn retry_take(&mut self, resource: Resource, amount: f64, now: Instant) -> Take {
        self.take(resource, amount, now)
    }

    /// Gives back an amount that was taken but not used.
    pub fn refund(&mut self, resource: Resource, amount: f64, now: Instant) {
        let _ = (resource, amount, now);
    }

    /// Takes one permit of a concurrency cap.
    pub fn acquire_permit(&mut self, resource: Resource, now: Instant) -> Take {
        self.take(resource, 1.0, now)
    }

    /// Repeats [`Self::acquire_permit`] of a waiting request without counting its demand again.
    pub fn retry_permit(&mut self, resource: Resource, now: Instant) -> Take {
        self.acquire_permit(resource, now)
    }

    /// Gives one permit back.
    pub fn release_permit(&mut self, resource: Resource, now: Instant) {
        let _ = (resource, now);
    }

    /// Units that this holder could lend.
    pub fn room(&mut self, resource: Resource, now: Instant) -> u32 {
        let _ = (resource, now);
        0
    }

    /// Handles a message of a peer and returns messages with their recipients.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        now: Instant,
    ) -> Vec<(String, Message)> {
        let _ = (from, message, now);
        Vec::new()
    }

    /// Asks peers, nearest first, for loans where demand exceeds supply; to be called every 50 ms.
    pub fn tick(&mut self, now: Instant, peers: &[String]) -> Vec<(String, Message)> {
        let _ = (now, peers);
        Vec::new()
    }

    /// Whether a spend since the last tick needs a loan, so that the caller ticks at once.
    pub fn needs_tick(&self) -> bool {
        false
    }

    /// Notes the sending of a heartbeat.
    pub fn heartbeat_sent(&mut self, sequence: u64, now: Instant) {
        let _ = (sequence, now);
    }

    /// Notes a sign of life of a peer process, with the highest heartbeat sequence of this process
    /// that the peer says it has received.
    pub fn heard(&mut self, peer: &str, incarnation: u64, acknowledged: Option<u64>, now: Instant) {
        let _ = (peer, incarnation, acknowledged, now);
    }

    /// Notes that a peer process is known to have ended, not only to be silent.
    pub fn peer_gone(&mut self, peer: &str, incarnation: u64, now: Instant) {
        let _ = (peer, incarnation, now);
    }

    /// The conditional update that is due, for a join, refresh, move, reclaim or hand-back.
    ///
    /// `now` must be the time just before the write is sent. The caller must report the outcome by
    /// [`Self::proposal_done`]; until then there is no further proposal.
    pub fn propose_ledger(&mut self, now: Instant) -> Option<Proposal> {
        let _ = now;
        None
    }

    /// Reports what became of the last proposal.
    pub fn proposal_done(&mut self, outcome: WriteOutcome, now: Instant) {
        let _ = (outcome, now);
    }

    /// Starts the hand-back of a graceful shutdown.
    pub fn leave(&mut self, now: Instant) {
        let _ = now;
    }

    /// Whether the hand-back is complete.
    pub fn has_left(&self) -> bool {
        false
    }

    /// Drops loans and leases after the process was paused.
    pub fn resumed_after_pause(&mut self, now: Instant) {
        let _ = now;
    }

    /// Whether the main part may be spent.
    pub fn main_valid(&self, now: Instant) -> bool {
        let _ = now;
        false
    }

    /// Burst capacity and refill rate, or permits and 0, that this holder may use now.
    pub fn allowance(&mut self, resource: Resource, now: Instant) -> (f64, f64) {
        let _ = (resource, now);
        (0.0, 0.0)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            main_lease: Duration::from_secs(10),
            main_margin: Duration::from_secs(2),
            floor_lease: Duration::from_secs(30 * 60),
            floor_margin: Duration::from_secs(60),
            loan: Duration::from_secs(2),
            loan_margin: Duration::from_millis(50),
            longest_request: Duration::from_secs(60),
            refresh: Duration::from_secs(3),
            confirmed_refresh: Duration::from_secs(60),
            fanout: 8,
        }
    }
}
