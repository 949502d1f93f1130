//! Loans of units between holders: requests of the borrower and grants of the lender.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    Holder, LoanId, Message, UNITS_PER_CAP,
    holder::{LOAN_RESPONSE_TIMEOUT, LOW_SUPPLY_HORIZON},
    limiter::{Backoff, BorrowedLoan, LentLoan, Limiter, PendingRequest},
};

/// Factor by which a request exceeds an even division of the shortfall among the asked peers,
/// because some peers can lend less than others.
const REQUEST_OVERSUBSCRIPTION: u32 = 3;
/// Time before the expiry of a loan at which it is returned unless it is being renewed. Longer than
/// the latency to another region.
const EARLY_RETURN: Duration = Duration::from_millis(200);
/// Minimum number of requested units. Smaller loans cost more messages than they are worth.
const MIN_REQUEST_UNITS: u32 = UNITS_PER_CAP / 200;
/// Factor by which requested units exceed the estimated demand.
const DEMAND_HEADROOM: f64 = 1.25;
/// Backoff after the first refusal by a peer, doubled by each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Time after which a renewal without a response may be requested again.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(250);

impl Holder {
    /// Requests, renews and returns loans as demand requires. Returns messages with their
    /// recipients.
    ///
    /// `peers` are the names of hosts to request loans from, nearest first. Must be called every
    /// 50 ms, and immediately when [`Self::needs_tick`] returns true.
    pub fn tick<S: AsRef<str>>(&mut self, now: Instant, peers: &[S]) -> Vec<(String, Message)> {
        self.extend_leases(now);
        self.urgent_tick_needed = false;
        let mut res = Vec::new();
        let mut active = std::mem::take(&mut self.active_limiters);
        active.retain(|index| {
            self.limiters[*index].advance(&self.share, now);
            self.return_expired_permit_loans(*index, now, &mut res);
            self.return_unneeded_rate_loans(*index, now, &mut res);
            if !self.handing_over {
                self.renew_loans(*index, now, &mut res);
                self.request_loans(*index, now, peers, &mut res);
            }
            let limiter = &mut self.limiters[*index];
            limiter.is_active = limiter.demand.is_recent(now) || !limiter.borrowed.is_empty();
            limiter.is_active
        });
        self.active_limiters = active;
        res
    }

    /// Handles a message of the peer named `from` and returns messages with their recipients.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        now: Instant,
    ) -> Vec<(String, Message)> {
        let (Message::LoanRequest { resource, .. }
        | Message::LoanResponse { resource, .. }
        | Message::LoanReturn { resource, .. }) = &message;
        let Some(index) = self.limiter_index_by_name(resource) else { return Vec::new() };
        self.limiters[index].advance(&self.share, now);
        match message {
            Message::LoanRequest { id, renews, resource, units } => {
                let loan = match renews {
                    Some(loan_id) => self.renew(index, from, loan_id, units, now),
                    None => None,
                };
                let renewed = loan.is_some();
                let (units, tokens) =
                    loan.unwrap_or_else(|| self.lend(index, from, id, units, now));
                let duration_ms = u32::try_from(self.settings.loan_duration.as_millis());
                let duration_ms = duration_ms.unwrap_or(u32::MAX);
                let response =
                    Message::LoanResponse { id, renewed, resource, units, tokens, duration_ms };
                vec![(from.to_owned(), response)]
            }
            Message::LoanResponse { id, renewed, units, tokens, duration_ms, .. } => {
                let duration = Duration::from_millis(u64::from(duration_ms));
                let grant = Grant { renewed, units, tokens, duration };
                self.accept_loan(index, from, id, grant, now);
                Vec::new()
            }
            Message::LoanReturn { id, tokens, .. } => {
                self.end_returned_loan(index, from, id, tokens, now);
                Vec::new()
            }
        }
    }

    /// Lends units and tokens. A repeated request gets the first response again.
    fn lend(
        &mut self,
        index: usize,
        borrower: &str,
        id: LoanId,
        units: u32,
        now: Instant,
    ) -> (u32, f64) {
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let limiter = &mut self.limiters[index];
        if let Some(lent) = limiter.lent.iter().find(|it| it.id == id && it.borrower == borrower) {
            return (lent.grants[0].0, lent.tokens);
        }
        let usable = limiter.usable_units(&self.share, now);
        let lendable =
            if self.handing_over { 0 } else { limiter.lendable_units(&self.share, now, until) };
        let units = units.min(lendable);
        if units == 0 {
            return (0, 0.0);
        }
        let tokens = limiter.tokens * f64::from(units) / f64::from(usable);
        limiter.tokens -= tokens;
        let returned_at = until + limiter.permit_hold_time();
        let grants = vec![(units, returned_at)];
        limiter.lent.push(LentLoan { id, borrower: borrower.to_owned(), grants, tokens });
        (units, tokens)
    }

    /// Renews a loan for up to `units`. Returns the granted units and the tokens sent with them, or
    /// `None` if the loan has ended.
    fn renew(
        &mut self,
        index: usize,
        borrower: &str,
        id: LoanId,
        units: u32,
        now: Instant,
    ) -> Option<(u32, f64)> {
        let until = now + self.settings.loan_duration + self.settings.loan_margin;
        let limiter = &mut self.limiters[index];
        let at = limiter.lent.iter().position(|it| it.id == id && it.borrower == borrower)?;
        let held = limiter.lent[at].units_at(now);
        // Excludes units of other loans and units whose lease ends before the renewed loan.
        let leased = self.share.usable_units_until(limiter.permit_hold_time(), now, until);
        let lent_elsewhere = limiter.lent_units(now) - held;
        let spare = limiter.lendable_units(&self.share, now, until);
        let shortfall = limiter.shortfall_units(&self.share, now);
        let offer =
            (held + spare).saturating_sub(shortfall).min(leased.saturating_sub(lent_elsewhere));
        let granted = if self.handing_over { 0 } else { units.min(offer) };
        // A smaller grant would not free permits soon, since the permits of the larger grant stay
        // lent for the maximum request duration. They are free earlier if the loan expires and the
        // borrower returns it.
        if granted == 0 || limiter.has_permit_cap() && granted < held {
            return Some((0, 0.0));
        }
        let usable = limiter.usable_units(&self.share, now);
        let extra = granted.saturating_sub(held);
        let tokens = if extra == 0 {
            0.0
        } else {
            limiter.tokens * f64::from(extra) / f64::from(usable.max(extra))
        };
        limiter.tokens -= tokens;
        let returned_at = until + limiter.permit_hold_time();
        let grants = &mut limiter.lent[at].grants;
        grants.retain(|it| it.0 > granted || it.1 > returned_at);
        grants.push((granted, returned_at));
        Some((granted, tokens))
    }

    /// Accepts the response to a pending loan request.
    fn accept_loan(&mut self, index: usize, from: &str, id: LoanId, grant: Grant, now: Instant) {
        let limiter = &mut self.limiters[index];
        let pending = limiter.pending_requests.iter().position(|it| it.id == id && it.peer == from);
        let Some(at) = pending else { return };
        let pending = limiter.pending_requests.swap_remove(at);
        let held = limiter.borrowed.iter_mut().find(|it| Some(it.id) == pending.renews);
        let units_before = held.as_ref().map_or(0, |it| it.units);
        if let Some(loan) = held {
            loan.renewal_declined = grant.units == 0;
        }
        if pending.is_increase {
            limiter.record_response(
                from,
                grant.units >= pending.units,
                grant.units > units_before,
                now,
            );
        }
        let expires_at = pending.sent_at + grant.duration;
        if grant.units == 0 || expires_at <= now {
            return;
        }
        let retained_until = expires_at + limiter.permit_hold_time();
        let id = if grant.renewed { pending.renews.unwrap_or(id) } else { id };
        match limiter.borrowed.iter_mut().find(|it| it.id == id) {
            Some(loan) => {
                loan.units = grant.units;
                loan.expires_at = expires_at;
                loan.retained_until = loan.retained_until.max(retained_until);
            }
            None => {
                let lender = from.to_owned();
                let (units, renewal_declined) = (grant.units, false);
                limiter.borrowed.push(BorrowedLoan {
                    id,
                    lender,
                    units,
                    expires_at,
                    renewal_declined,
                    retained_until,
                });
            }
        }
        if grant.tokens.is_finite() {
            limiter.tokens += grant.tokens.max(0.0);
        }
        limiter.advance(&self.share, now);
        if !limiter.is_active {
            limiter.is_active = true;
            self.active_limiters.push(index);
        }
    }

    /// Returns expired loans of permits that no running request needs.
    fn return_expired_permit_loans(
        &mut self,
        index: usize,
        now: Instant,
        out: &mut Vec<(String, Message)>,
    ) {
        let limiter = &mut self.limiters[index];
        if !limiter.has_permit_cap() {
            return;
        }
        let expired = limiter.borrowed.iter().filter(|it| it.expires_at <= now).map(|it| it.units);
        let mut units = limiter.usable_units(&self.share, now) + expired.sum::<u32>();
        let mut at = 0;
        while at < limiter.borrowed.len() {
            let loan = &limiter.borrowed[at];
            let remaining = units.saturating_sub(loan.units);
            if now < loan.expires_at || limiter.permits_in_use > limiter.permits_for(remaining) {
                at += 1;
                continue;
            }
            units = remaining;
            let loan = limiter.borrowed.swap_remove(at);
            limiter.pending_requests.retain(|it| it.renews != Some(loan.id));
            let resource = limiter.name.clone();
            out.push((loan.lender, Message::LoanReturn { id: loan.id, resource, tokens: 0.0 }));
        }
    }

    /// Ends a loan that the borrower returned and adds its tokens to the bucket. A repeated return
    /// finds no loan and changes nothing.
    fn end_returned_loan(
        &mut self,
        index: usize,
        from: &str,
        id: LoanId,
        tokens: f64,
        now: Instant,
    ) {
        let limiter = &mut self.limiters[index];
        let count_before = limiter.lent.len();
        limiter.lent.retain(|it| it.id != id || it.borrower != from);
        if limiter.lent.len() < count_before && tokens.is_finite() {
            limiter.tokens += tokens.max(0.0);
            limiter.advance(&self.share, now);
        }
    }

    /// Returns loans of a rate cap that are not needed any more.
    ///
    /// When demand has moved to another host, returns all loans, so that the other host can borrow
    /// the units immediately. Otherwise returns loans that are about to expire, because the tokens
    /// of an expired loan are lost.
    fn return_unneeded_rate_loans(
        &mut self,
        index: usize,
        now: Instant,
        out: &mut Vec<(String, Message)>,
    ) {
        let limiter = &mut self.limiters[index];
        if limiter.has_permit_cap() || limiter.borrowed.is_empty() {
            return;
        }
        let has_stopped = limiter.demand.has_stopped(now);
        let mut at = 0;
        while at < limiter.borrowed.len() {
            let loan = &limiter.borrowed[at];
            let expires_soon =
                loan.expires_at < now + EARLY_RETURN && !limiter.is_renewing(loan.id);
            if now >= loan.expires_at || !(has_stopped || expires_soon) {
                at += 1;
                continue;
            }
            let units = limiter.usable_units(&self.share, now).max(1);
            let loan = limiter.borrowed.swap_remove(at);
            let fraction = f64::from(loan.units.min(units)) / f64::from(units);
            let tokens = limiter.tokens * fraction;
            limiter.tokens -= tokens;
            limiter.pending_requests.retain(|it| it.renews != Some(loan.id));
            let resource = limiter.name.clone();
            out.push((loan.lender, Message::LoanReturn { id: loan.id, resource, tokens }));
        }
        limiter.advance(&self.share, now);
    }

    /// Renews loans in the second half of their duration as far as demand needs them.
    fn renew_loans(&mut self, index: usize, now: Instant, out: &mut Vec<(String, Message)>) {
        let renewal_window = self.settings.loan_duration / 2;
        let limiter = &mut self.limiters[index];
        if limiter.borrowed.is_empty() || !limiter.demand.is_recent(now) {
            return;
        }
        let valid = limiter.borrowed.iter().filter(|it| now < it.expires_at);
        let borrowed: u32 = valid.map(|it| it.units).sum();
        let demanded =
            limiter.demanded_units(DEMAND_HEADROOM, now).max(limiter.burst_reserve_units());
        let own = limiter.usable_units(&self.share, now).saturating_sub(borrowed);
        let needed = u64::from(demanded.saturating_sub(own).min(borrowed));
        if needed == 0 || borrowed == 0 {
            return;
        }
        let mut covered = 0;
        for at in 0..limiter.borrowed.len() {
            let loan = &limiter.borrowed[at];
            let mut is_due = now < loan.expires_at && loan.expires_at < now + renewal_window;
            let mut units = loan.units;
            if limiter.has_permit_cap() {
                // A smaller grant would not free permits at the lender, so a loan is renewed with
                // all of its units.
                is_due &= covered < needed;
                covered += if now < loan.expires_at { u64::from(units) } else { 0 };
            } else {
                let scaled = u64::from(units) * needed;
                units =
                    u32::try_from(scaled.div_ceil(u64::from(borrowed))).unwrap_or(UNITS_PER_CAP);
            }
            if !is_due || loan.renewal_declined || limiter.has_pending_request(&loan.lender, now) {
                continue;
            }
            let (peer, renews) = (loan.lender.clone(), Some(loan.id));
            self.last_request_sequence += 1;
            let id = LoanId { incarnation: self.incarnation, sequence: self.last_request_sequence };
            out.push(limiter.create_request(id, &peer, renews, units, false, now));
        }
    }

    /// Requests loans from several peers at the same time when demand exceeds the usable units and
    /// few tokens or permits are left.
    fn request_loans<S: AsRef<str>>(
        &mut self,
        index: usize,
        now: Instant,
        peers: &[S],
        out: &mut Vec<(String, Message)>,
    ) {
        let loan_duration = self.settings.loan_duration;
        let limiter = &mut self.limiters[index];
        limiter.expire_requests(loan_duration, now);
        if !limiter.demand.is_recent(now) {
            return;
        }
        limiter.resend_requests(now, out);
        let demanded =
            limiter.demanded_units(DEMAND_HEADROOM, now).max(limiter.burst_reserve_units());
        let shortfall = demanded.saturating_sub(limiter.usable_units(&self.share, now));
        if shortfall == 0 || !limiter.is_low(&self.share, LOW_SUPPLY_HORIZON, now) {
            return;
        }
        let awaiting = limiter.pending_requests.iter().filter(|it| it.is_increase);
        let awaiting = awaiting.filter(|it| now < it.sent_at + LOAN_RESPONSE_TIMEOUT).count();
        let mut chosen = Vec::new();
        for peer in peers {
            let peer = peer.as_ref();
            if chosen.len() + awaiting >= self.settings.max_pending_requests {
                break;
            }
            if peer != self.name
                && !limiter.has_pending_request(peer, now)
                && !limiter.is_backing_off(peer, now)
            {
                chosen.push(peer);
            }
        }
        let asked = u32::try_from(chosen.len() + awaiting).unwrap_or(UNITS_PER_CAP).max(1);
        let units =
            (shortfall / asked).saturating_mul(REQUEST_OVERSUBSCRIPTION).max(MIN_REQUEST_UNITS);
        let units = units.min(shortfall.max(MIN_REQUEST_UNITS));
        for peer in chosen {
            // Requests more units on an existing loan of the peer, so that there are few loans to
            // renew.
            let is_extendable = |it: &&BorrowedLoan| {
                it.lender == peer && now < it.expires_at && !it.renewal_declined
            };
            let held = limiter.borrowed.iter().find(is_extendable).map(|it| (it.id, it.units));
            let units = units.saturating_add(held.map_or(0, |it| it.1)).min(UNITS_PER_CAP);
            self.last_request_sequence += 1;
            let id = LoanId { incarnation: self.incarnation, sequence: self.last_request_sequence };
            out.push(limiter.create_request(id, peer, held.map(|it| it.0), units, true, now));
        }
    }
}

/// Content of a loan response.
struct Grant {
    /// Whether the response renews a loan instead of starting a new one.
    renewed: bool,
    units: u32,
    tokens: f64,
    /// Time for which the units may be used, counted from the sending of the request.
    duration: Duration,
}

impl Limiter {
    /// Whether a renewal of the loan is pending.
    fn is_renewing(&self, id: LoanId) -> bool {
        self.pending_requests.iter().any(|it| it.renews == Some(id))
    }

    fn is_backing_off(&self, peer: &str, now: Instant) -> bool {
        let at = self.backoffs.binary_search_by(|it| it.peer.as_str().cmp(peer));
        at.is_ok_and(|at| now < self.backoffs[at].retry_at)
    }

    /// Updates the backoff of a peer: ends it when the request is fully granted, restarts it when
    /// some units are granted, and extends it after a refusal.
    fn record_response(
        &mut self,
        peer: &str,
        fully_granted: bool,
        partly_granted: bool,
        now: Instant,
    ) {
        let at = self.backoffs.binary_search_by(|it| it.peer.as_str().cmp(peer));
        if fully_granted {
            if let Ok(at) = at {
                self.backoffs.remove(at);
            }
            return;
        }
        let at = at.unwrap_or_else(|at| {
            let backoff = Backoff { peer: peer.to_owned(), retry_at: now, consecutive_refusals: 0 };
            self.backoffs.insert(at, backoff);
            at
        });
        let backoff = &mut self.backoffs[at];
        backoff.consecutive_refusals =
            if partly_granted { 1 } else { backoff.consecutive_refusals + 1 };
        let delay = INITIAL_BACKOFF * 2_u32.pow(backoff.consecutive_refusals.min(8) - 1);
        backoff.retry_at = now + delay.min(MAX_BACKOFF);
    }

    /// Whether a response of a peer to a pending request is still expected.
    fn has_pending_request(&self, peer: &str, now: Instant) -> bool {
        let mut pending = self.pending_requests.iter().filter(|it| it.peer == peer);
        pending.any(|it| it.renews.is_none() || now < it.sent_at + RENEWAL_TIMEOUT)
    }

    /// Creates a request that replaces a pending one to the same peer.
    fn create_request(
        &mut self,
        id: LoanId,
        peer: &str,
        renews: Option<LoanId>,
        units: u32,
        is_increase: bool,
        now: Instant,
    ) -> (String, Message) {
        self.pending_requests.retain(|it| it.peer != peer);
        let pending = PendingRequest {
            id,
            peer: peer.to_owned(),
            renews,
            units,
            is_increase,
            sent_at: now,
            last_sent_at: now,
        };
        self.pending_requests.push(pending);
        let resource = self.name.clone();
        (peer.to_owned(), Message::LoanRequest { id, renews, resource, units })
    }

    /// Resends requests for new loans that got no response.
    ///
    /// The lender sends the same response for a repeated id, so a lost response does not leave lent
    /// units unused.
    fn resend_requests(&mut self, now: Instant, out: &mut Vec<(String, Message)>) {
        for pending in &mut self.pending_requests {
            if pending.renews.is_some() || now < pending.last_sent_at + LOAN_RESPONSE_TIMEOUT {
                continue;
            }
            pending.last_sent_at = now;
            let (id, units, resource) = (pending.id, pending.units, self.name.clone());
            let request = Message::LoanRequest { id, renews: None, resource, units };
            out.push((pending.peer.clone(), request));
        }
    }

    /// Drops requests for which any loan would have expired by now, and counts those for more units
    /// as refusals.
    fn expire_requests(&mut self, loan_duration: Duration, now: Instant) {
        let expired: Vec<_> =
            self.pending_requests.extract_if(.., |it| now >= it.sent_at + loan_duration).collect();
        for pending in expired.iter().filter(|it| it.is_increase) {
            self.record_response(&pending.peer, false, false, now);
        }
    }
}
