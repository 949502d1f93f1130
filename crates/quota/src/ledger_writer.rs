//! Conditional updates of the ledger: joins, refreshes, moves of units and reclaims.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::Instant;

use crate::{
    Holder, Ledger, Proposal, ShareRecord, UNITS_PER_CAP, WriteOutcome,
    rebalance::{self, ShareKind},
    tracker::HolderTracker,
};

/// Time after the last sign of life for which a holder may be given units.
const LIVENESS_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval of checks whether a proposal is due.
const PROPOSAL_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum delay before a write whose outcome is unknown is repeated; the maximum is twice as long.
const MIN_UNKNOWN_RETRY_MS: u64 = 500;
/// Maximum random delay of a write after a conflict or a join, per holder in the ledger.
const WRITE_JITTER_PER_HOLDER_MS: u64 = 10;

/// The newest ledger that this process knows, and the state of its own writes.
#[derive(Debug)]
pub(crate) struct LedgerWriter {
    known_ledger: KnownLedger,
    /// Whether the platform has lost the known ledger and has no other one.
    is_lost: bool,
    /// Writes whose effect is not known yet, the one in flight included.
    unresolved: Vec<UnresolvedWrite>,
    /// Content of the proposal whose outcome has not been reported yet.
    in_flight: Option<Ledger>,
    /// Refresh counter of the last proposal.
    refresh_counter: u64,
    next_proposal_at: Instant,
    /// Time from which an unacknowledged generation makes a refresh due.
    acknowledge_after: Instant,
    /// Time of sending of the last refresh known to have been written.
    last_refresh_sent_at: Option<Instant>,
    /// Value of `reclaimed` in the record of this process when a ledger was last adopted.
    reclaimed_units: u64,
}

#[derive(Debug)]
enum KnownLedger {
    Unread,
    /// The platform has no ledger.
    Missing,
    /// Object version and content.
    Present(u64, Ledger),
}

/// A write that may have taken effect or may still take effect.
#[derive(Debug)]
struct UnresolvedWrite {
    refresh_counter: u64,
    /// Generation that the write acknowledges.
    acknowledged: u64,
    sent_at: Instant,
}

impl LedgerWriter {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            known_ledger: KnownLedger::Unread,
            is_lost: false,
            unresolved: Vec::new(),
            in_flight: None,
            refresh_counter: 0,
            next_proposal_at: now,
            acknowledge_after: now,
            last_refresh_sent_at: None,
            reclaimed_units: 0,
        }
    }

    /// Makes a refresh due immediately.
    pub(crate) fn force_refresh(&mut self, now: Instant) {
        self.next_proposal_at = self.next_proposal_at.min(now);
        self.last_refresh_sent_at = None;
    }

    fn ledger(&self) -> Option<&Ledger> {
        match &self.known_ledger {
            KnownLedger::Present(_, ledger) => Some(ledger),
            KnownLedger::Unread | KnownLedger::Missing => None,
        }
    }

    /// Time of sending of the latest heartbeat that every holder that may reclaim from `own` has
    /// acknowledged, or `now` when there is no such holder. Returns `None` when one of them has
    /// acknowledged no heartbeat.
    fn confirmed_since(
        &self,
        own: &ShareRecord,
        tracker: &HolderTracker,
        now: Instant,
    ) -> Option<Instant> {
        let unresolved = self.unresolved.iter().map(|it| it.acknowledged);
        let acknowledged = unresolved.fold(own.acknowledged, u64::max);
        let others = self.ledger()?.holders.iter();
        let others = others.filter(|it| it.key() != own.key() && it.joined <= acknowledged);
        others
            .map(|it| tracker.confirmed_sent_at(it, now))
            .try_fold(now, |earliest, it| Some(earliest.min(it?)))
    }
}

impl Holder {
    /// Adopts a ledger that was read from the platform or received from a peer.
    ///
    /// Ignores an inconsistent ledger and one whose version is not newer than the known one.
    pub fn adopt_ledger(&mut self, version: u64, ledger: Ledger, now: Instant) {
        let is_outdated =
            matches!(self.writer.known_ledger, KnownLedger::Present(known, _) if version <= known);
        if is_outdated || !ledger.is_consistent() {
            return;
        }
        self.advance_all(now);
        let is_restored = self.writer.ledger().is_some_and(|it| ledger.is_restored_from_before(it));
        let units_before = self.share_units();
        self.tracker.record_ledger(&ledger, now);
        let record = ledger.record(&self.name, self.incarnation);
        // Unresolved writes are conditional on an older version, so each of them has taken effect
        // by now or never will.
        for write in self.writer.unresolved.drain(..) {
            if record.is_some_and(|it| it.counter == write.refresh_counter) {
                self.share.extend(write.sent_at, true, &self.settings, now);
                self.writer.last_refresh_sent_at =
                    self.writer.last_refresh_sent_at.max(Some(write.sent_at));
            }
        }
        match record {
            Some(record) => {
                let newly_reclaimed = record.reclaimed.saturating_sub(self.writer.reclaimed_units);
                if newly_reclaimed > 0 {
                    let newly_reclaimed = u32::try_from(newly_reclaimed).unwrap_or(UNITS_PER_CAP);
                    let permit_hold_time = self.max_request_duration();
                    self.share.reclaimed.retain(|it| now < it.1 + permit_hold_time);
                    self.share.reclaimed.push((newly_reclaimed, now));
                }
                self.writer.reclaimed_units = record.reclaimed;
                self.writer.refresh_counter = self.writer.refresh_counter.max(record.counter);
                self.share.floor_units = record.floor;
                self.share.main_units = record.main;
            }
            None => {
                self.share.floor_units = 0;
                self.share.main_units = 0;
                self.writer.reclaimed_units = 0;
            }
        }
        if is_restored {
            self.withhold_restored_units(units_before, now);
        }
        let is_new_generation =
            self.writer.ledger().is_none_or(|it| it.generation < ledger.generation);
        if is_new_generation {
            let delay = self.write_jitter(ledger.holders.len());
            self.writer.acknowledge_after = now + delay;
            self.writer.next_proposal_at = self.writer.next_proposal_at.max(now + delay / 4);
        }
        self.writer.known_ledger = KnownLedger::Present(version, ledger);
        self.writer.is_lost = false;
        self.advance_all(now);
    }

    /// Withholds the units that a restored ledger adds to this share. Their holder in the lost
    /// ledger may use them until it learns of the restoration or its leases end.
    fn withhold_restored_units(&mut self, units_before: (u32, u32), now: Instant) {
        let (floor_before, main_before) = units_before;
        let settings = &self.settings;
        let floor_wait = settings.floor_lease + settings.floor_reclaim_margin;
        let main_wait = settings.main_lease + settings.main_reclaim_margin;
        let added_floor = self.share.floor_units.saturating_sub(floor_before);
        let added_main = self.share.main_units.saturating_sub(main_before);
        let added = [(added_floor, now + floor_wait), (added_main, now + main_wait)];
        self.share.reclaimed.extend(added.into_iter().filter(|it| it.0 > 0));
    }

    /// Records that the platform has no ledger yet, so that this holder may create one.
    pub fn ledger_missing(&mut self) {
        if matches!(self.writer.known_ledger, KnownLedger::Unread) {
            self.writer.known_ledger = KnownLedger::Missing;
        }
    }

    /// Records that the platform no longer has a ledger, although `version` was known when it was
    /// asked. This holder may then write the known ledger again.
    pub fn ledger_lost(&mut self, version: u64, now: Instant) {
        if matches!(self.writer.known_ledger, KnownLedger::Present(known, _) if known == version) {
            self.writer.is_lost = true;
            self.writer.force_refresh(now);
        }
    }

    /// Returns the conditional update that is due, if any: a join, a refresh, a rebalance, a
    /// reclaim or a handover.
    ///
    /// Leases count from `now`, so the write must not be sent earlier. The caller must report the
    /// outcome with [`Self::proposal_done`]; no further update is proposed before that.
    pub fn propose_ledger(&mut self, now: Instant) -> Option<Proposal> {
        self.extend_leases(now);
        if self.writer.in_flight.is_some() || now < self.writer.next_proposal_at {
            return None;
        }
        let (base_version, mut next) = match &self.writer.known_ledger {
            KnownLedger::Unread => return None,
            KnownLedger::Missing => (None, Ledger::default()),
            KnownLedger::Present(version, ledger) => {
                ((!self.writer.is_lost).then_some(*version), ledger.clone())
            }
        };
        let changed = match next.position(&self.name, self.incarnation) {
            Err(_) => self.join(&mut next),
            Ok(at) if self.handing_over => self.hand_over(&mut next, at, now),
            Ok(at) => {
                let reclaimed = self.reclaim(&mut next, at, now);
                let at = next.position(&self.name, self.incarnation).unwrap_or(at);
                self.rebalance(&mut next, at, now) || reclaimed
            }
        };
        if !changed && !self.refresh_is_due(now) {
            self.writer.next_proposal_at = now + PROPOSAL_CHECK_INTERVAL;
            return None;
        }
        Some(self.finalize_proposal(base_version, next, now))
    }

    /// Records the outcome of the last proposal.
    pub fn proposal_done(&mut self, outcome: WriteOutcome, now: Instant) {
        let Some(proposed) = self.writer.in_flight.take() else { return };
        match outcome {
            WriteOutcome::Written(version) => {
                self.adopt_ledger(version, proposed, now);
                self.writer.next_proposal_at = now;
            }
            WriteOutcome::Conflict(version, ledger) => {
                let holder_count = ledger.holders.len();
                self.adopt_ledger(version, ledger, now);
                self.writer.next_proposal_at = now + self.write_jitter(holder_count);
            }
            WriteOutcome::Unknown => {
                let delay_ms =
                    self.rng.random_range(MIN_UNKNOWN_RETRY_MS..2 * MIN_UNKNOWN_RETRY_MS);
                self.writer.next_proposal_at = now + Duration::from_millis(delay_ms);
            }
        }
    }

    /// Starts the handover of this holder's share for a graceful shutdown.
    ///
    /// The holder stops lending and borrowing, and its proposals move the units that no loan and no
    /// running request uses to the other live holders.
    pub fn start_handover(&mut self, now: Instant) {
        self.handing_over = true;
        self.writer.next_proposal_at = now;
    }

    /// Whether a handover is complete: the known ledger has no record of this process, and no write
    /// of this process may still take effect.
    pub fn is_handover_complete(&self) -> bool {
        let absent = |it: &Ledger| it.record(&self.name, self.incarnation).is_none();
        self.handing_over
            && self.writer.unresolved.is_empty()
            && self.writer.ledger().is_none_or(absent)
    }

    /// Object version and content of the newest known ledger.
    pub fn ledger(&self) -> Option<(u64, &Ledger)> {
        match &self.writer.known_ledger {
            KnownLedger::Present(version, ledger) => Some((*version, ledger)),
            KnownLedger::Unread | KnownLedger::Missing => None,
        }
    }

    /// Extends valid leases by the heartbeats that the other holders have acknowledged.
    pub(crate) fn extend_leases(&mut self, now: Instant) {
        let Some(ledger) = self.writer.ledger() else { return };
        let Some(own) = ledger.record(&self.name, self.incarnation) else { return };
        if let Some(sent) = self.writer.confirmed_since(own, &self.tracker, now) {
            self.share.extend(sent, false, &self.settings, now);
        }
    }

    /// Raises the refresh counter of this process in a proposal, and applies a decrease of its
    /// share before the proposal is sent.
    fn finalize_proposal(
        &mut self,
        base_version: Option<u64>,
        mut ledger: Ledger,
        now: Instant,
    ) -> Proposal {
        self.advance_all(now);
        self.writer.refresh_counter += 1;
        let (counter, acknowledged) = (self.writer.refresh_counter, ledger.generation);
        let (mut floor, mut main) = (0, 0);
        if let Ok(at) = ledger.position(&self.name, self.incarnation) {
            let own = &mut ledger.holders[at];
            own.counter = counter;
            own.acknowledged = acknowledged;
            (floor, main) = (own.floor, own.main);
        }
        // A decrease applies before the proposal is sent, an increase only once the ledger is
        // adopted.
        self.share.floor_units = self.share.floor_units.min(floor);
        self.share.main_units = self.share.main_units.min(main);
        let write = UnresolvedWrite { refresh_counter: counter, acknowledged, sent_at: now };
        self.writer.unresolved.push(write);
        self.writer.in_flight = Some(ledger.clone());
        self.advance_all(now);
        Proposal { base_version, ledger }
    }

    /// Adds a record for this process, with the units of its predecessor if there is one. Returns
    /// whether the ledger changed.
    fn join(&mut self, ledger: &mut Ledger) -> bool {
        let same_name = |it: &&ShareRecord| it.name == self.name;
        let has_successor =
            ledger.holders.iter().filter(same_name).any(|it| it.incarnation > self.incarnation);
        if has_successor || self.handing_over {
            return false;
        }
        let is_predecessor = |it: &ShareRecord| it.name == self.name && it.address == self.address;
        let predecessor = ledger.holders.iter().position(is_predecessor);
        let (floor, main) = match predecessor.map(|at| ledger.holders.remove(at)) {
            Some(predecessor) => {
                // Loans and requests of the predecessor may outlast its process.
                let loans_end =
                    self.created_at + self.settings.loan_duration + self.settings.loan_margin;
                self.share.predecessor_loans_end = loans_end;
                self.share.has_predecessor = true;
                (predecessor.floor, predecessor.main)
            }
            None if ledger.holders.is_empty() => {
                (UNITS_PER_CAP / 5, UNITS_PER_CAP - UNITS_PER_CAP / 5)
            }
            None => (0, 0),
        };
        ledger.generation += 1;
        let own = ShareRecord {
            name: self.name.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            floor,
            main,
            counter: 0,
            joined: ledger.generation,
            acknowledged: 0,
            reclaimed: 0,
        };
        let at = ledger.position(&self.name, self.incarnation).unwrap_or_else(|at| at);
        ledger.holders.insert(at, own);
        true
    }

    /// Moves the expired shares of silent holders to live ones. Returns whether the ledger changed.
    fn reclaim(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        let settings = &self.settings;
        let joined = ledger.holders[own].joined;
        let main_wait = settings.main_lease + settings.main_reclaim_margin + self.reclaim_jitter();
        let floor_wait =
            settings.floor_lease + settings.floor_reclaim_margin + self.reclaim_jitter();
        let is_expired = |it: &ShareRecord, wait: Duration| {
            let is_other = it.name != self.name || it.incarnation != self.incarnation;
            is_other && joined <= it.acknowledged && now >= self.tracker.silent_since(it) + wait
        };
        let live = self.live_holders(ledger, own, now);
        let (mut main, mut floor) = (0, 0);
        for record in &mut ledger.holders {
            if is_expired(record, main_wait) {
                main += std::mem::take(&mut record.main);
            }
            if is_expired(record, floor_wait) {
                floor += std::mem::take(&mut record.floor);
            }
        }
        for (kind, units) in [(ShareKind::Main, main), (ShareKind::Floor, floor)] {
            rebalance::distribute(ledger, &live, kind, units);
            rebalance::count_reclaimed(ledger, &live, units);
        }
        let count_before = ledger.holders.len();
        ledger.holders.retain(|it| it.floor + it.main > 0 || !is_expired(it, main_wait));
        main + floor > 0 || ledger.holders.len() < count_before
    }

    /// Moves units of this process to live holders that have far less than an even share. Returns
    /// whether the ledger changed.
    fn rebalance(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        if now >= self.share.main_lease_end {
            return false;
        }
        let live = self.live_holders(ledger, own, now);
        if live.len() < 2 {
            return false;
        }
        let own_units = ledger.holders[own].floor + ledger.holders[own].main;
        let in_use = self
            .share
            .formerly_held_units(self.max_request_duration(), now)
            .saturating_add(self.committed_units(now));
        let mut free = own_units.saturating_sub(in_use);
        let mut changed = false;
        for kind in [ShareKind::Main, ShareKind::Floor] {
            let given = rebalance::rebalance(ledger, &live, own, kind, free);
            free -= given;
            changed |= given > 0;
        }
        changed
    }

    /// Moves unused units of this process to the live holders and removes its record once that is
    /// empty. Returns whether the ledger changed.
    fn hand_over(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        let mut live = self.live_holders(ledger, own, now);
        live.retain(|at| *at != own);
        let record = &mut ledger.holders[own];
        let units = record.floor + record.main;
        if units > 0 && (live.is_empty() || now < self.share.predecessor_loans_end) {
            return false;
        }
        let retained = self.committed_units(now).min(units);
        let floor = record.floor - record.floor.min(retained);
        let main = units - retained - floor;
        record.floor -= floor;
        record.main -= main;
        rebalance::distribute(ledger, &live, ShareKind::Floor, floor);
        rebalance::distribute(ledger, &live, ShareKind::Main, main);
        // Requests of a former holder may still use the permits of some of the moved units.
        // Counting those units as reclaimed makes the receivers wait for such requests to end.
        let held = self.share.formerly_held_units(self.max_request_duration(), now);
        rebalance::count_reclaimed(ledger, &live, held.min(floor + main));
        if retained == 0 {
            ledger.holders.remove(own);
        }
        retained < units || retained == 0
    }

    /// Whether a refresh must be written to the platform.
    fn refresh_is_due(&self, now: Instant) -> bool {
        let Some(ledger) = self.writer.ledger() else { return false };
        let Some(own) = ledger.record(&self.name, self.incarnation) else { return false };
        let refresh_threshold = now + self.settings.main_lease - self.settings.refresh_interval;
        let next_confirmed_refresh = self
            .writer
            .last_refresh_sent_at
            .map(|it| it + self.settings.confirmed_refresh_interval);
        let is_unacknowledged = own.acknowledged < ledger.generation;
        self.share.main_lease_end < refresh_threshold
            || next_confirmed_refresh.is_none_or(|it| now >= it)
            || is_unacknowledged && now >= self.writer.acknowledge_after
    }

    /// Indices of the records of live processes, that of this process (`own`) included.
    fn live_holders(&self, ledger: &Ledger, own: usize, now: Instant) -> Vec<usize> {
        let is_live = |at: &usize| {
            *at == own || self.tracker.is_alive(&ledger.holders[*at], LIVENESS_TIMEOUT, now)
        };
        (0..ledger.holders.len()).filter(is_live).collect()
    }

    /// Units that loans or running requests use, as the maximum over all resources.
    fn committed_units(&self, now: Instant) -> u32 {
        self.limiters.iter().map(|it| it.committed_units(now)).max().unwrap_or_default()
    }

    /// Random delay that spreads the writes of `holder_count` processes over time.
    fn write_jitter(&mut self, holder_count: usize) -> Duration {
        let holder_count = u64::try_from(holder_count).unwrap_or(u64::MAX);
        let max_ms =
            WRITE_JITTER_PER_HOLDER_MS.saturating_mul(holder_count).max(WRITE_JITTER_PER_HOLDER_MS);
        Duration::from_millis(self.rng.random_range(1..=max_ms))
    }

    /// Fixed delay of 0 to 1023 ms, derived from the host name and the incarnation, so that one
    /// host reclaims before the others.
    fn reclaim_jitter(&self) -> Duration {
        let hash = self
            .name
            .bytes()
            .fold(self.incarnation, |hash, it| hash.wrapping_mul(31).wrapping_add(u64::from(it)));
        Duration::from_millis(hash.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 & 0x3FF)
    }
}
