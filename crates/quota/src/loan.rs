//! Loans: requests of the borrower and grants of the lender.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    Holder, LoanId, Message, UNITS_PER_CAP,
    account::{Account, Borrowed, Lent, Pending, Refusal},
    holder::{ANSWER_PATIENCE, LOW_HORIZON},
};

/// Requests out of the expected even division, since some peers have less room than others.
const OVERASK: u32 = 3;
/// Time before its end at which a loan that is not renewed goes back, longer than the way to
/// another region.
const RETURN_AHEAD: Duration = Duration::from_millis(200);
/// Smallest requested part; smaller loans cost more messages than they help.
const MIN_REQUEST: u32 = UNITS_PER_CAP / 200;
/// Units needed beyond the measured demand.
const HEADROOM: f64 = 1.25;
/// Wait after the first refusal of a peer, doubled by each further one.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest wait after refusals of a peer.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time until an unanswered renewal is repeated.
const RENEWAL_PATIENCE: Duration = Duration::from_millis(250);

impl Holder {
    /// Asks peers, nearest first, for loans where demand exceeds supply; to be called every 50 ms,
    /// and at once when [`Self::needs_tick`] says so.
    pub fn tick<S: AsRef<str>>(&mut self, now: Instant, peers: &[S]) -> Vec<(String, Message)> {
        self.extend_leases(now);
        self.urgent = false;
        let mut res = Vec::new();
        let mut active = std::mem::take(&mut self.active);
        active.retain(|index| {
            self.accounts[*index].settle(&self.shares, now);
            self.return_permits(*index, now, &mut res);
            self.return_rates(*index, now, &mut res);
            if !self.leaving {
                self.renew_loans(*index, now, &mut res);
                self.request_loans(*index, now, peers, &mut res);
            }
            let account = &mut self.accounts[*index];
            account.active = account.demand.is_recent(now) || !account.borrowed.is_empty();
            account.active
        });
        self.active = active;
        res
    }

    /// Handles a message of a peer and returns messages with their recipients.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        now: Instant,
    ) -> Vec<(String, Message)> {
        let (Message::LoanRequest { resource, .. }
        | Message::LoanResponse { resource, .. }
        | Message::LoanReturn { resource, .. }) = &message;
        let Some(index) = self.index_of_name(resource) else { return Vec::new() };
        self.accounts[index].settle(&self.shares, now);
        match message {
            Message::LoanRequest { id, renews, resource, units } => {
                let loan = match renews {
                    Some(old) => self.renew(index, from, old, units, now),
                    None => None,
                };
                let renewed = loan.is_some();
                let (units, tokens) =
                    loan.unwrap_or_else(|| self.lend(index, from, id, units, now));
                let duration_ms = u32::try_from(self.settings.loan_duration.as_millis());
                let duration_ms = duration_ms.unwrap_or(u32::MAX);
                let answer =
                    Message::LoanResponse { id, renewed, resource, units, tokens, duration_ms };
                vec![(from.to_owned(), answer)]
            }
            Message::LoanResponse { id, renewed, units, tokens, duration_ms, .. } => {
                let duration = Duration::from_millis(u64::from(duration_ms));
                let grant = Grant { renewed, units, tokens, duration };
                self.borrow(index, from, id, grant, now);
                Vec::new()
            }
            Message::LoanReturn { id, tokens, .. } => {
                self.take_back(index, from, id, tokens, now);
                Vec::new()
            }
        }
    }

    /// Lends units and tokens; a repeated request gets the first answer again.
    fn lend(&mut self, index: usize, to: &str, id: LoanId, units: u32, now: Instant) -> (u32, f64) {
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let account = &mut self.accounts[index];
        if let Some(lent) = account.lent.iter().find(|it| it.id == id && it.borrower == to) {
            return (lent.grants[0].0, lent.tokens);
        }
        let before = account.units(&self.shares, now);
        let room = if self.leaving { 0 } else { account.room(&self.shares, now, until) };
        let units = units.min(room);
        if units == 0 {
            return (0, 0.0);
        }
        let tokens = account.tokens * f64::from(units) / f64::from(before);
        account.tokens -= tokens;
        let back = until + account.hold();
        let grants = vec![(units, back)];
        account.lent.push(Lent { id, borrower: to.to_owned(), grants, tokens });
        (units, tokens)
    }

    /// Prolongs a loan for up to `units`; `None` if it has ended.
    fn renew(
        &mut self,
        index: usize,
        to: &str,
        id: LoanId,
        units: u32,
        now: Instant,
    ) -> Option<(u32, f64)> {
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let account = &mut self.accounts[index];
        let at = account.lent.iter().position(|it| it.id == id && it.borrower == to)?;
        let held = account.lent[at].units(now);
        // Units that another grant keeps out anyway, or whose lease ends too early, stay out of it.
        let lendable = self.shares.units_through(account.hold(), now, until);
        let others = account.lent_units(now) - held;
        let room = account.room(&self.shares, now, until);
        let lacking = account.lacking_units(&self.shares, now);
        let offer = (held + room).saturating_sub(lacking).min(lendable.saturating_sub(others));
        let granted = if self.leaving { 0 } else { units.min(offer) };
        // Permits of a larger grant stay lent for the longest request, so a cut frees nothing soon;
        // they come back sooner when the loan ends and is returned.
        if granted == 0 || account.is_permits() && granted < held {
            return Some((0, 0.0));
        }
        let before = account.units(&self.shares, now);
        let extra = granted.saturating_sub(held);
        let tokens = if extra == 0 {
            0.0
        } else {
            account.tokens * f64::from(extra) / f64::from(before.max(extra))
        };
        account.tokens -= tokens;
        let back = until + account.hold();
        let grants = &mut account.lent[at].grants;
        grants.retain(|it| it.0 > granted || it.1 > back);
        grants.push((granted, back));
        Some((granted, tokens))
    }

    /// Takes a loan that answers a pending request.
    fn borrow(&mut self, index: usize, from: &str, id: LoanId, grant: Grant, now: Instant) {
        let account = &mut self.accounts[index];
        let pending = account.pending.iter().position(|it| it.id == id && it.peer == from);
        let Some(at) = pending else { return };
        let pending = account.pending.swap_remove(at);
        let held = account.borrowed.iter_mut().find(|it| Some(it.id) == pending.renews);
        let before = held.as_ref().map_or(0, |it| it.units);
        if let Some(loan) = held {
            loan.declined = grant.units == 0;
        }
        if pending.grows {
            account.note_answer(from, grant.units >= pending.units, grant.units > before, now);
        }
        let until = pending.sent + grant.duration;
        if grant.units == 0 || until <= now {
            return;
        }
        let forget_at = until + account.hold();
        let id = if grant.renewed { pending.renews.unwrap_or(id) } else { id };
        match account.borrowed.iter_mut().find(|it| it.id == id) {
            Some(loan) => {
                loan.units = grant.units;
                loan.until = until;
                loan.forget_at = loan.forget_at.max(forget_at);
            }
            None => {
                let lender = from.to_owned();
                let (units, declined) = (grant.units, false);
                account.borrowed.push(Borrowed { id, lender, units, until, declined, forget_at });
            }
        }
        if grant.tokens.is_finite() {
            account.tokens += grant.tokens.max(0.0);
        }
        account.settle(&self.shares, now);
        if !account.active {
            account.active = true;
            self.active.push(index);
        }
    }

    /// Returns ended loans of permits that the requests in progress do not need.
    fn return_permits(&mut self, index: usize, now: Instant, out: &mut Vec<(String, Message)>) {
        let account = &mut self.accounts[index];
        if !account.is_permits() {
            return;
        }
        let ended = account.borrowed.iter().filter(|it| it.until <= now).map(|it| it.units);
        let mut units = account.units(&self.shares, now) + ended.sum::<u32>();
        let mut at = 0;
        while at < account.borrowed.len() {
            let loan = &account.borrowed[at];
            let without = units.saturating_sub(loan.units);
            if now < loan.until || account.in_use > account.permits(without) {
                at += 1;
                continue;
            }
            units = without;
            let loan = account.borrowed.swap_remove(at);
            account.pending.retain(|it| it.renews != Some(loan.id));
            let resource = account.name.clone();
            out.push((loan.lender, Message::LoanReturn { id: loan.id, resource, tokens: 0.0 }));
        }
    }

    /// Takes units and tokens back; a repeated return finds no loan and changes nothing.
    fn take_back(&mut self, index: usize, from: &str, id: LoanId, tokens: f64, now: Instant) {
        let account = &mut self.accounts[index];
        let before = account.lent.len();
        account.lent.retain(|it| it.id != id || it.borrower != from);
        if account.lent.len() < before && tokens.is_finite() {
            account.tokens += tokens.max(0.0);
            account.settle(&self.shares, now);
        }
    }

    /// Returns loans of rates that are not needed any more: all of them when the demand has moved
    /// away, so that the host that it moved to can borrow the units at once, and those about to
    /// end, since tokens of a loan that ends are lost.
    fn return_rates(&mut self, index: usize, now: Instant, out: &mut Vec<(String, Message)>) {
        let account = &mut self.accounts[index];
        if account.is_permits() || account.borrowed.is_empty() {
            return;
        }
        let has_stopped = account.demand.has_stopped(now);
        let mut at = 0;
        while at < account.borrowed.len() {
            let loan = &account.borrowed[at];
            let ends_soon = loan.until < now + RETURN_AHEAD && !account.is_renewing(loan.id);
            if now >= loan.until || !(has_stopped || ends_soon) {
                at += 1;
                continue;
            }
            let units = account.units(&self.shares, now).max(1);
            let loan = account.borrowed.swap_remove(at);
            let part = f64::from(loan.units.min(units)) / f64::from(units);
            let tokens = account.tokens * part;
            account.tokens -= tokens;
            account.pending.retain(|it| it.renews != Some(loan.id));
            let resource = account.name.clone();
            out.push((loan.lender, Message::LoanReturn { id: loan.id, resource, tokens }));
        }
        account.settle(&self.shares, now);
    }

    /// Renews loans in the second half of their time, as far as the demand lasts.
    fn renew_loans(&mut self, index: usize, now: Instant, out: &mut Vec<(String, Message)>) {
        let renew_within = self.settings.loan_duration / 2;
        let account = &mut self.accounts[index];
        if account.borrowed.is_empty() || !account.demand.is_recent(now) {
            return;
        }
        let live = account.borrowed.iter().filter(|it| now < it.until);
        let borrowed: u32 = live.map(|it| it.units).sum();
        let wanted = account.wanted_units(HEADROOM, now).max(account.spare_units());
        let own = account.units(&self.shares, now).saturating_sub(borrowed);
        let needed = u64::from(wanted.saturating_sub(own).min(borrowed));
        if needed == 0 || borrowed == 0 {
            return;
        }
        let mut covered = 0;
        for at in 0..account.borrowed.len() {
            let loan = &account.borrowed[at];
            let mut due = now < loan.until && loan.until < now + renew_within;
            let mut units = loan.units;
            if account.is_permits() {
                // A smaller grant would not free permits at the lender, so a loan is renewed whole.
                due &= covered < needed;
                covered += if now < loan.until { u64::from(units) } else { 0 };
            } else {
                let part = u64::from(units) * needed;
                units = u32::try_from(part.div_ceil(u64::from(borrowed))).unwrap_or(UNITS_PER_CAP);
            }
            if !due || loan.declined || account.is_asked(&loan.lender, now) {
                continue;
            }
            let (peer, renews) = (loan.lender.clone(), Some(loan.id));
            self.last_request += 1;
            let id = LoanId { incarnation: self.incarnation, sequence: self.last_request };
            out.push(account.ask(id, &peer, renews, units, false, now));
        }
    }

    /// Asks several peers at once when the demand exceeds the units and little is left.
    fn request_loans<S: AsRef<str>>(
        &mut self,
        index: usize,
        now: Instant,
        peers: &[S],
        out: &mut Vec<(String, Message)>,
    ) {
        let loan = self.settings.loan_duration;
        let account = &mut self.accounts[index];
        account.drop_unanswered(loan, now);
        if !account.demand.is_recent(now) {
            return;
        }
        account.repeat_requests(now, out);
        let wanted = account.wanted_units(HEADROOM, now).max(account.spare_units());
        let lacking = wanted.saturating_sub(account.units(&self.shares, now));
        if lacking == 0 || !account.runs_low(&self.shares, LOW_HORIZON, now) {
            return;
        }
        let waiting = account.pending.iter().filter(|it| it.grows);
        let waiting = waiting.filter(|it| now < it.sent + ANSWER_PATIENCE).count();
        let mut chosen = Vec::new();
        for peer in peers {
            let peer = peer.as_ref();
            if chosen.len() + waiting >= self.settings.max_pending_requests {
                break;
            }
            if peer != self.name && !account.is_asked(peer, now) && !account.is_refusing(peer, now)
            {
                chosen.push(peer);
            }
        }
        let asked = u32::try_from(chosen.len() + waiting).unwrap_or(UNITS_PER_CAP).max(1);
        let units = (lacking / asked).saturating_mul(OVERASK).max(MIN_REQUEST);
        let units = units.min(lacking.max(MIN_REQUEST));
        for peer in chosen {
            // One loan for each peer grows, so that renewals stay few.
            let live = |it: &&Borrowed| it.lender == peer && now < it.until && !it.declined;
            let held = account.borrowed.iter().find(live).map(|it| (it.id, it.units));
            let units = units.saturating_add(held.map_or(0, |it| it.1)).min(UNITS_PER_CAP);
            self.last_request += 1;
            let id = LoanId { incarnation: self.incarnation, sequence: self.last_request };
            out.push(account.ask(id, peer, held.map(|it| it.0), units, true, now));
        }
    }
}

/// What a peer granted.
struct Grant {
    /// Whether it prolongs a loan.
    renewed: bool,
    /// Granted units.
    units: u32,
    /// Tokens that come with it.
    tokens: f64,
    /// Time to use it, from the sending of the request.
    duration: Duration,
}

impl Account {
    /// Whether an answer to the renewal of a loan is expected.
    fn is_renewing(&self, id: LoanId) -> bool {
        self.pending.iter().any(|it| it.renews == Some(id))
    }

    /// Whether a peer had too little a short time ago.
    fn is_refusing(&self, peer: &str, now: Instant) -> bool {
        let at = self.refusals.binary_search_by(|it| it.peer.as_str().cmp(peer));
        at.is_ok_and(|at| now < self.refusals[at].until)
    }

    /// Lengthens or ends the backoff of a peer.
    fn note_answer(&mut self, peer: &str, satisfied: bool, some: bool, now: Instant) {
        let at = self.refusals.binary_search_by(|it| it.peer.as_str().cmp(peer));
        if satisfied {
            if let Ok(at) = at {
                self.refusals.remove(at);
            }
            return;
        }
        let at = at.unwrap_or_else(|at| {
            let refusal = Refusal { peer: peer.to_owned(), until: now, count: 0 };
            self.refusals.insert(at, refusal);
            at
        });
        let refusal = &mut self.refusals[at];
        refusal.count = if some { 1 } else { refusal.count + 1 };
        let backoff = FIRST_BACKOFF * 2_u32.pow(refusal.count.min(8) - 1);
        refusal.until = now + backoff.min(MAX_BACKOFF);
    }

    /// Whether a request to a peer may still be answered.
    fn is_asked(&self, peer: &str, now: Instant) -> bool {
        let mut asked = self.pending.iter().filter(|it| it.peer == peer);
        asked.any(|it| it.renews.is_none() || now < it.sent + RENEWAL_PATIENCE)
    }

    /// Makes a request in place of an unanswered one to the same peer.
    fn ask(
        &mut self,
        id: LoanId,
        peer: &str,
        renews: Option<LoanId>,
        units: u32,
        grows: bool,
        now: Instant,
    ) -> (String, Message) {
        self.pending.retain(|it| it.peer != peer);
        let pending =
            Pending { id, peer: peer.to_owned(), renews, units, grows, sent: now, last_sent: now };
        self.pending.push(pending);
        let resource = self.name.clone();
        (peer.to_owned(), Message::LoanRequest { id, renews, resource, units })
    }

    /// Sends unanswered requests for new loans again; the lender answers a repeated id alike, so a
    /// lost answer does not leave the lent part unused.
    fn repeat_requests(&mut self, now: Instant, out: &mut Vec<(String, Message)>) {
        for pending in &mut self.pending {
            if pending.renews.is_some() || now < pending.last_sent + ANSWER_PATIENCE {
                continue;
            }
            pending.last_sent = now;
            let (id, units, resource) = (pending.id, pending.units, self.name.clone());
            let request = Message::LoanRequest { id, renews: None, resource, units };
            out.push((pending.peer.clone(), request));
        }
    }

    /// Drops requests whose answer would be of no use, and counts them as refusals.
    fn drop_unanswered(&mut self, loan: Duration, now: Instant) {
        let late: Vec<_> = self.pending.extract_if(.., |it| now >= it.sent + loan).collect();
        for pending in late.iter().filter(|it| it.grows) {
            self.note_answer(&pending.peer, false, false, now);
        }
    }
}
