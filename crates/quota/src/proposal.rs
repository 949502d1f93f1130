//! The ledger as one holder knows it, and the conditional updates that the holder proposes.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::Instant;

use crate::{
    Holder, Ledger, Proposal, ShareRecord, UNITS_PER_CAP, WriteOutcome,
    division::{self, Part},
    watch::Watch,
};

/// Time after the last sign of life in which an owner counts as alive for receiving units.
const ALIVE: Duration = Duration::from_secs(5);
/// Time between two looks at whether a proposal is due.
const LOOK: Duration = Duration::from_millis(100);
/// Least time until a write whose outcome is unknown is repeated; up to twice as much.
const RETRY_UNKNOWN_MS: u64 = 500;
/// Time over which each owner spreads its writes after a conflict or a join.
const SPREAD_PER_OWNER_MS: u64 = 10;

/// The ledger as one holder knows it, and its writes.
#[derive(Debug)]
pub(crate) struct Writer {
    /// The newest known ledger.
    known: Known,
    /// Writes that may have taken effect or may still do so.
    unresolved: Vec<SentProposal>,
    /// Content of the proposal whose outcome was not reported yet.
    in_flight: Option<Ledger>,
    /// Counter of the last proposal.
    counter: u64,
    /// Time before which nothing is proposed.
    next_at: Instant,
    /// Time from which a new generation is acknowledged by a write of its own.
    acknowledge_at: Instant,
    /// Sending time of the last refresh known to have been written.
    refreshed: Option<Instant>,
    /// The own record's `reclaimed` at the last adoption.
    reclaimed: u64,
}

/// The newest known ledger.
#[derive(Debug)]
enum Known {
    /// Nothing was read yet.
    Nothing,
    /// The platform has no ledger.
    Missing,
    /// An object version and its content.
    Ledger(u64, Ledger),
}

/// A write that may have taken effect.
#[derive(Debug)]
struct SentProposal {
    /// The own refresh counter in it.
    counter: u64,
    /// The generation acknowledged by it.
    acknowledged: u64,
    /// Time of sending.
    sent: Instant,
}

impl Writer {
    /// Nothing known.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            known: Known::Nothing,
            unresolved: Vec::new(),
            in_flight: None,
            counter: 0,
            next_at: now,
            acknowledge_at: now,
            refreshed: None,
            reclaimed: 0,
        }
    }

    /// Makes a refresh due at once.
    pub(crate) fn refresh_soon(&mut self, now: Instant) {
        self.next_at = self.next_at.min(now);
        self.refreshed = None;
    }

    /// The known ledger.
    fn ledger(&self) -> Option<&Ledger> {
        match &self.known {
            Known::Ledger(_, ledger) => Some(ledger),
            Known::Nothing | Known::Missing => None,
        }
    }

    /// Sending time up to which every owner that may reclaim from `own` has confirmed heartbeats,
    /// `now` when there is no such owner.
    fn confirmed_since(&self, own: &ShareRecord, watch: &Watch, now: Instant) -> Option<Instant> {
        let unresolved = self.unresolved.iter().map(|it| it.acknowledged);
        let acknowledged = unresolved.fold(own.acknowledged, u64::max);
        let others = self.ledger()?.holders.iter();
        let others = others.filter(|it| it.key() != own.key() && it.joined <= acknowledged);
        others.map(|it| watch.confirmed(it, now)).try_fold(now, |least, it| Some(least.min(it?)))
    }
}

impl Holder {
    /// Takes over a ledger that was read from the platform or a peer; an older version is ignored.
    pub fn adopt_ledger(&mut self, version: u64, ledger: Ledger, now: Instant) {
        let older = matches!(self.writer.known, Known::Ledger(known, _) if version <= known);
        if older || !ledger.is_consistent() {
            return;
        }
        self.settle_all(now);
        self.watch.note_ledger(&ledger, now);
        let record = ledger.record(&self.name, self.incarnation);
        // The unresolved writes are conditional on an older version, so each has taken effect by now
        // or never will.
        for sent in self.writer.unresolved.drain(..) {
            if record.is_some_and(|it| it.counter == sent.counter) {
                self.shares.extend(sent.sent, true, &self.settings, now);
                self.writer.refreshed = self.writer.refreshed.max(Some(sent.sent));
            }
        }
        match record {
            Some(record) => {
                let added = record.reclaimed.saturating_sub(self.writer.reclaimed);
                if added > 0 {
                    let added = u32::try_from(added).unwrap_or(UNITS_PER_CAP);
                    let hold = self.longest_request();
                    self.shares.permit_holds.retain(|it| now < it.1 + hold);
                    self.shares.permit_holds.push((added, now));
                }
                self.writer.reclaimed = record.reclaimed;
                self.writer.counter = self.writer.counter.max(record.counter);
                self.shares.floor = record.floor;
                self.shares.main = record.main;
            }
            None => {
                self.shares.floor = 0;
                self.shares.main = 0;
                self.writer.reclaimed = 0;
            }
        }
        let grown = self.writer.ledger().is_none_or(|it| it.generation < ledger.generation);
        if grown {
            let spread = self.spread(ledger.holders.len());
            self.writer.acknowledge_at = now + spread;
            self.writer.next_at = self.writer.next_at.max(now + spread / 4);
        }
        self.writer.known = Known::Ledger(version, ledger);
        self.settle_all(now);
    }

    /// Notes that the platform has no ledger yet, so that this holder may create it.
    pub fn ledger_missing(&mut self) {
        if matches!(self.writer.known, Known::Nothing) {
            self.writer.known = Known::Missing;
        }
    }

    /// The conditional update that is due, for a join, refresh, move, reclaim or hand-back.
    ///
    /// The leases count from `now`, so the write must not be sent earlier. The caller must report
    /// the outcome by [`Self::proposal_done`]; until then there is no further proposal.
    pub fn propose_ledger(&mut self, now: Instant) -> Option<Proposal> {
        self.extend_leases(now);
        if self.writer.in_flight.is_some() || now < self.writer.next_at {
            return None;
        }
        let (base, mut next) = match &self.writer.known {
            Known::Nothing => return None,
            Known::Missing => (None, Ledger::default()),
            Known::Ledger(version, ledger) => (Some(*version), ledger.clone()),
        };
        let changed = match next.position(&self.name, self.incarnation) {
            Err(_) => self.join(&mut next),
            Ok(at) if self.leaving => self.hand_back(&mut next, at, now),
            Ok(at) => {
                let reclaimed = self.reclaim(&mut next, at, now);
                let at = next.position(&self.name, self.incarnation).unwrap_or(at);
                self.even_out(&mut next, at, now) || reclaimed
            }
        };
        if !changed && !self.refresh_is_due(now) {
            self.writer.next_at = now + LOOK;
            return None;
        }
        Some(self.sign(base, next, now))
    }

    /// Reports what became of the last proposal.
    pub fn proposal_done(&mut self, outcome: WriteOutcome, now: Instant) {
        let Some(proposed) = self.writer.in_flight.take() else { return };
        match outcome {
            WriteOutcome::Written(version) => {
                self.adopt_ledger(version, proposed, now);
                self.writer.next_at = now;
            }
            WriteOutcome::Conflict(version, ledger) => {
                let owners = ledger.holders.len();
                self.adopt_ledger(version, ledger, now);
                self.writer.next_at = now + self.spread(owners);
            }
            WriteOutcome::Unknown => {
                let wait_ms = self.rng.random_range(RETRY_UNKNOWN_MS..2 * RETRY_UNKNOWN_MS);
                self.writer.next_at = now + Duration::from_millis(wait_ms);
            }
        }
    }

    /// Starts the hand-back of a graceful shutdown: no more loans, then the units go to the others
    /// as far as no loan and no request uses them.
    pub fn start_handover(&mut self, now: Instant) {
        self.leaving = true;
        self.writer.next_at = now;
    }

    /// Whether the hand-back is complete.
    pub fn is_handover_complete(&self) -> bool {
        let absent = |it: &Ledger| it.record(&self.name, self.incarnation).is_none();
        self.leaving && self.writer.unresolved.is_empty() && self.writer.ledger().is_none_or(absent)
    }

    /// Object version and content of the newest known ledger.
    pub fn ledger(&self) -> Option<(u64, &Ledger)> {
        match &self.writer.known {
            Known::Ledger(version, ledger) => Some((*version, ledger)),
            Known::Nothing | Known::Missing => None,
        }
    }

    /// Prolongs valid leases as far as the confirmations of the other owners reach.
    pub(crate) fn extend_leases(&mut self, now: Instant) {
        let Some(ledger) = self.writer.ledger() else { return };
        let Some(own) = ledger.record(&self.name, self.incarnation) else { return };
        if let Some(sent) = self.writer.confirmed_since(own, &self.watch, now) {
            self.shares.extend(sent, false, &self.settings, now);
        }
    }

    /// Raises the own counter in a proposal, and lowers the own units before it is sent.
    fn sign(&mut self, base: Option<u64>, mut ledger: Ledger, now: Instant) -> Proposal {
        self.settle_all(now);
        self.writer.counter += 1;
        let (counter, acknowledged) = (self.writer.counter, ledger.generation);
        let (mut floor, mut main) = (0, 0);
        if let Ok(at) = ledger.position(&self.name, self.incarnation) {
            let own = &mut ledger.holders[at];
            own.counter = counter;
            own.acknowledged = acknowledged;
            (floor, main) = (own.floor, own.main);
        }
        // An increase counts when it is read back, a decrease already before it is sent.
        self.shares.floor = self.shares.floor.min(floor);
        self.shares.main = self.shares.main.min(main);
        let sent = SentProposal { counter, acknowledged, sent: now };
        self.writer.unresolved.push(sent);
        self.writer.in_flight = Some(ledger.clone());
        self.settle_all(now);
        Proposal { base_version: base, ledger }
    }

    /// Adds the own record, or takes over that of the predecessor; whether it may.
    fn join(&mut self, ledger: &mut Ledger) -> bool {
        let same_name = |it: &&ShareRecord| it.name == self.name;
        let newer =
            ledger.holders.iter().filter(same_name).any(|it| it.incarnation > self.incarnation);
        if newer || self.leaving {
            return false;
        }
        let is_predecessor = |it: &ShareRecord| it.name == self.name && it.address == self.address;
        let predecessor = ledger.holders.iter().position(is_predecessor);
        let (floor, main) = match predecessor.map(|at| ledger.holders.remove(at)) {
            Some(old) => {
                // The predecessor's loans and requests may outlast it.
                let loans_end =
                    self.created + self.settings.loan_duration + self.settings.loan_margin;
                self.shares.rates_from = loans_end;
                self.shares.has_predecessor = true;
                (old.floor, old.main)
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

    /// Moves the parts of lost owners to the live ones; whether there were any.
    fn reclaim(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        let settings = &self.settings;
        let joined = ledger.holders[own].joined;
        let main_wait = settings.main_lease + settings.main_reclaim_margin + self.jitter();
        let floor_wait = settings.floor_lease + settings.floor_reclaim_margin + self.jitter();
        let lost = |it: &ShareRecord, wait: Duration| {
            let other = it.name != self.name || it.incarnation != self.incarnation;
            other && joined <= it.acknowledged && now >= self.watch.silent_since(it) + wait
        };
        let live = self.live(ledger, own, now);
        let (mut main, mut floor) = (0, 0);
        for record in &mut ledger.holders {
            if lost(record, main_wait) {
                main += std::mem::take(&mut record.main);
            }
            if lost(record, floor_wait) {
                floor += std::mem::take(&mut record.floor);
            }
        }
        for (part, units) in [(Part::Main, main), (Part::Floor, floor)] {
            division::spread(ledger, &live, part, units);
            division::count_reclaimed(ledger, &live, units);
        }
        let before = ledger.holders.len();
        ledger.holders.retain(|it| it.floor + it.main > 0 || !lost(it, main_wait));
        main + floor > 0 || ledger.holders.len() < before
    }

    /// Gives own units to live owners that have far less than an even share; whether it did.
    fn even_out(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        if now >= self.shares.main_until {
            return false;
        }
        let live = self.live(ledger, own, now);
        if live.len() < 2 {
            return false;
        }
        let own_units = ledger.holders[own].floor + ledger.holders[own].main;
        let held = self
            .shares
            .held_permits(self.longest_request(), now)
            .saturating_add(self.retained_units(now));
        let mut free = own_units.saturating_sub(held);
        let mut changed = false;
        for part in [Part::Main, Part::Floor] {
            let given = division::even_out(ledger, &live, own, part, free);
            free -= given;
            changed |= given > 0;
        }
        changed
    }

    /// Gives own units to the live owners and removes the empty record; whether it did.
    fn hand_back(&self, ledger: &mut Ledger, own: usize, now: Instant) -> bool {
        let mut live = self.live(ledger, own, now);
        live.retain(|at| *at != own);
        let record = &mut ledger.holders[own];
        let units = record.floor + record.main;
        if units > 0 && (live.is_empty() || now < self.shares.rates_from) {
            return false;
        }
        let keep = self.retained_units(now).min(units);
        let floor = record.floor - record.floor.min(keep);
        let main = units - keep - floor;
        record.floor -= floor;
        record.main -= main;
        division::spread(ledger, &live, Part::Floor, floor);
        division::spread(ledger, &live, Part::Main, main);
        // Requests of a former holder may still use these; counted as reclaimed, they wait there.
        let held = self.shares.held_permits(self.longest_request(), now);
        division::count_reclaimed(ledger, &live, held.min(floor + main));
        if keep == 0 {
            ledger.holders.remove(own);
        }
        keep < units || keep == 0
    }

    /// Whether the leases need a refresh through the platform.
    fn refresh_is_due(&self, now: Instant) -> bool {
        let Some(ledger) = self.writer.ledger() else { return false };
        let Some(own) = ledger.record(&self.name, self.incarnation) else { return false };
        let fresh_until = now + self.settings.main_lease - self.settings.refresh_interval;
        let confirmed =
            self.writer.refreshed.map(|it| it + self.settings.confirmed_refresh_interval);
        let unacknowledged = own.acknowledged < ledger.generation;
        self.shares.main_until < fresh_until
            || confirmed.is_none_or(|it| now >= it)
            || unacknowledged && now >= self.writer.acknowledge_at
    }

    /// Indices of the live records, the own one included.
    fn live(&self, ledger: &Ledger, own: usize, now: Instant) -> Vec<usize> {
        let is_live =
            |at: &usize| *at == own || self.watch.is_alive(&ledger.holders[*at], ALIVE, now);
        (0..ledger.holders.len()).filter(is_live).collect()
    }

    /// Own units that a loan or a request uses.
    fn retained_units(&self, now: Instant) -> u32 {
        self.accounts.iter().map(|it| it.retained_units(now)).max().unwrap_or_default()
    }

    /// A random time over which writes of a number of owners are spread.
    fn spread(&mut self, owners: usize) -> Duration {
        let owners = u64::try_from(owners).unwrap_or(u64::MAX);
        let most_ms = SPREAD_PER_OWNER_MS.saturating_mul(owners).max(SPREAD_PER_OWNER_MS);
        Duration::from_millis(self.rng.random_range(1..=most_ms))
    }

    /// A fixed time below one second, different on each host, so that one reclaims first.
    fn jitter(&self) -> Duration {
        let sum = self
            .name
            .bytes()
            .fold(self.incarnation, |sum, it| sum.wrapping_mul(31).wrapping_add(u64::from(it)));
        Duration::from_millis(sum.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32 & 0x3FF)
    }
}
