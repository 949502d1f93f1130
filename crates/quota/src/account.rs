//! One resource of one holder: bucket or permits in use, demand, and loans in both directions.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Cap, LoanId, ResourceName, UNITS_PER_CAP, demand::Demand, share::Shares};

/// Rounding error that a spend may overdraw a bucket by.
const ROUNDING: f64 = 1e-9;
/// Requests that a bucket with recent demand should hold.
const SPARE_AMOUNTS: f64 = 4.0;
/// Longest time told to a refused spend.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// One resource of one holder.
#[derive(Debug)]
pub(crate) struct Account {
    /// Its names.
    pub(crate) name: ResourceName,
    /// The limit, `None` after the resource was removed; the loans of the account stay known.
    pub(crate) cap: Option<Cap>,
    /// Tokens of a rate cap.
    pub(crate) tokens: f64,
    /// Time up to which refill was added.
    settled: Instant,
    /// Permits in use.
    pub(crate) in_use: u32,
    /// Recent demand.
    pub(crate) demand: Demand,
    /// Loans from peers.
    pub(crate) borrowed: Vec<Borrowed>,
    /// Loans to peers.
    pub(crate) lent: Vec<Lent>,
    /// Requests without answer.
    pub(crate) pending: Vec<Pending>,
    /// Peers that had nothing to lend, sorted by name.
    pub(crate) refusals: Vec<Refusal>,
    /// Whether the account is in the list of those that a tick visits.
    pub(crate) active: bool,
    /// Time before which a spend does not call for a tick out of turn.
    pub(crate) quiet_until: Instant,
}

/// A loan from a peer.
#[derive(Debug)]
pub(crate) struct Borrowed {
    /// The loan.
    pub(crate) id: LoanId,
    /// The peer.
    pub(crate) lender: String,
    /// Its units.
    pub(crate) units: u32,
    /// End of its use.
    pub(crate) until: Instant,
    /// Whether the lender declined to renew it.
    pub(crate) declined: bool,
    /// Time at which an ended loan of permits is forgotten, as the lender takes it back then.
    pub(crate) forget_at: Instant,
}

/// A loan to a peer.
#[derive(Debug)]
pub(crate) struct Lent {
    /// The loan.
    pub(crate) id: LoanId,
    /// The peer.
    pub(crate) borrower: String,
    /// Units with the time at which they come back, one entry per grant.
    ///
    /// A borrower may use any grant that it was told of, so the largest one that has not ended
    /// counts as lent.
    pub(crate) grants: Vec<(u32, Instant)>,
    /// Tokens given with the first grant, repeated when the request is repeated.
    pub(crate) tokens: f64,
}

/// A loan request without answer.
#[derive(Debug)]
pub(crate) struct Pending {
    /// The request.
    pub(crate) id: LoanId,
    /// The asked peer.
    pub(crate) peer: String,
    /// The renewed loan.
    pub(crate) renews: Option<LoanId>,
    /// Requested units.
    pub(crate) units: u32,
    /// Whether it asks for more than the renewed loan has.
    pub(crate) grows: bool,
    /// Time of the first sending, from which a loan counts.
    pub(crate) sent: Instant,
    /// Time of the last sending.
    pub(crate) last_sent: Instant,
}

/// A peer that had too little to lend.
#[derive(Debug)]
pub(crate) struct Refusal {
    /// The peer.
    pub(crate) peer: String,
    /// Time before which it is not asked again.
    pub(crate) until: Instant,
    /// Refusals in a row.
    pub(crate) count: u32,
}

impl Account {
    /// An account with an empty bucket.
    pub(crate) fn new(name: ResourceName, now: Instant) -> Self {
        Self {
            name,
            cap: None,
            tokens: 0.0,
            settled: now,
            in_use: 0,
            demand: Demand::new(now),
            borrowed: Vec::new(),
            lent: Vec::new(),
            pending: Vec::new(),
            refusals: Vec::new(),
            active: false,
            quiet_until: now,
        }
    }

    /// Time for which a permit may be in use after its holder stops starting requests, zero for
    /// rates.
    pub(crate) fn hold(&self) -> Duration {
        match self.cap {
            Some(Cap::Permits { max_request_duration, .. }) => max_request_duration,
            Some(Cap::Rate { .. }) | None => Duration::ZERO,
        }
    }

    /// Whether the cap counts permits.
    pub(crate) fn is_permits(&self) -> bool {
        matches!(self.cap, Some(Cap::Permits { .. }))
    }

    /// Adds refill up to `now`, and ends loans and leases at their times on the way.
    pub(crate) fn settle(&mut self, shares: &Shares, now: Instant) {
        let Some(Cap::Rate { rate_per_s, burst }) = self.cap else {
            self.settled = self.settled.max(now);
            self.drop_ended(now);
            return;
        };
        while self.settled < now {
            let next = self.next_bound(shares, now);
            let fraction = self.fraction(shares, self.settled);
            let elapsed = (next - self.settled).as_secs_f64();
            let refilled = self.tokens + fraction * rate_per_s * elapsed;
            self.tokens = refilled.min(fraction * burst);
            self.settled = next;
        }
        self.tokens = self.tokens.min(self.fraction(shares, now) * burst);
        self.drop_ended(now);
    }

    /// Units that may be used at a time.
    pub(crate) fn units(&self, shares: &Shares, at: Instant) -> u32 {
        let borrowed: u32 =
            self.borrowed.iter().filter(|it| at < it.until).map(|it| it.units).sum();
        let own = shares.units(self.hold(), at) + borrowed;
        own.saturating_sub(self.lent_units(at))
    }

    /// Units lent to peers at a time.
    pub(crate) fn lent_units(&self, at: Instant) -> u32 {
        self.lent.iter().map(|it| it.units(at)).sum()
    }

    /// Units that neither a loan covers nor a request uses may leave the holder; these may not.
    pub(crate) fn retained_units(&self, now: Instant) -> u32 {
        let in_use = if self.in_use > 0 { self.units_for(f64::from(self.in_use)) } else { 0 };
        self.lent_units(now).saturating_add(in_use)
    }

    /// Least units whose capacity reaches an amount, the whole cap when it never does.
    pub(crate) fn units_for(&self, amount: f64) -> u32 {
        let whole = match self.cap {
            Some(Cap::Rate { burst, .. }) => burst,
            Some(Cap::Permits { permits, .. }) => f64::from(permits),
            None => 0.0,
        };
        fraction_to_units(amount / whole)
    }

    /// Units that the recent demand needs, times `headroom`.
    pub(crate) fn wanted_units(&mut self, headroom: f64, now: Instant) -> u32 {
        if !self.demand.is_recent(now) {
            return if self.in_use > 0 { self.units_for(f64::from(self.in_use)) } else { 0 };
        }
        let unmet = self.demand.unmet(now);
        match self.cap {
            Some(Cap::Rate { rate_per_s, .. }) => {
                let by_rate = headroom * self.demand.rate_per_s(now) / rate_per_s;
                let by_amount = self.units_for(self.demand.amount.max(unmet));
                fraction_to_units(by_rate).max(by_amount)
            }
            Some(Cap::Permits { .. }) => {
                let spare = (f64::from(self.in_use) * (headroom - 1.0)).max(1.0);
                self.units_for(f64::from(self.in_use) + spare + unmet.ceil())
            }
            None => 0,
        }
    }

    /// Units whose bucket holds a few requests, since those of a small tenant come in bunches.
    pub(crate) fn spare_units(&self) -> u32 {
        match self.cap {
            Some(Cap::Rate { .. }) => self.units_for(self.demand.amount * SPARE_AMOUNTS),
            Some(Cap::Permits { .. }) | None => 0,
        }
    }

    /// Whether what is left suffices for the demand of the next `horizon` only.
    pub(crate) fn runs_low(&mut self, shares: &Shares, horizon: Duration, now: Instant) -> bool {
        let units = self.units(shares, now);
        match self.cap {
            Some(Cap::Rate { rate_per_s, .. }) => {
                let refill = rate_per_s * f64::from(units) / f64::from(UNITS_PER_CAP);
                let deficit = (self.demand.rate_per_s(now) - refill).max(0.0);
                let low = self.demand.amount * SPARE_AMOUNTS / 2.0;
                self.tokens < low.max(deficit * horizon.as_secs_f64())
            }
            Some(Cap::Permits { .. }) => self.in_use + 1 >= self.permits(units),
            None => false,
        }
    }

    /// Takes an amount from the bucket, or answers the time until the refill suffices.
    pub(crate) fn take(
        &mut self,
        shares: &Shares,
        amount: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        if self.tokens + ROUNDING >= amount {
            self.tokens = (self.tokens - amount).max(0.0);
            return Ok(());
        }
        let Some(Cap::Rate { rate_per_s, .. }) = self.cap else { return Err(MAX_RETRY_AFTER) };
        let refill = rate_per_s * self.fraction(shares, now);
        let wait_s = (amount - self.tokens) / refill;
        if wait_s < MAX_RETRY_AFTER.as_secs_f64() {
            return Err(Duration::from_secs_f64(wait_s));
        }
        Err(MAX_RETRY_AFTER)
    }

    /// Takes a permit, if one is free.
    pub(crate) fn acquire(&mut self, shares: &Shares, now: Instant) -> bool {
        let free = self.in_use < self.permits(self.units(shares, now));
        self.in_use += u32::from(free);
        free
    }

    /// Whole permits of a number of units.
    pub(crate) fn permits(&self, units: u32) -> u32 {
        let Some(Cap::Permits { permits, .. }) = self.cap else { return 0 };
        let res = u64::from(permits) * u64::from(units) / u64::from(UNITS_PER_CAP);
        u32::try_from(res).unwrap_or(u32::MAX)
    }

    /// Units that could be lent for a loan that ends at `until`, beyond the own demand.
    pub(crate) fn room(&mut self, shares: &Shares, now: Instant, until: Instant) -> u32 {
        let lendable = shares.units_through(self.hold(), now, until);
        let wanted = self.wanted_units(1.1, now);
        let spare = self.units(shares, now).saturating_sub(wanted);
        spare.min(lendable.saturating_sub(self.lent_units(now)))
    }

    /// Units that the own demand lacks.
    pub(crate) fn lacking_units(&mut self, shares: &Shares, now: Instant) -> u32 {
        self.wanted_units(1.1, now).saturating_sub(self.units(shares, now))
    }

    /// Whether an answer of a peer may come soon.
    pub(crate) fn awaits_loan(&self, patience: Duration, now: Instant) -> bool {
        self.pending.iter().any(|it| it.grows && now < it.last_sent + patience)
    }

    /// Usable part of the cap.
    fn fraction(&self, shares: &Shares, at: Instant) -> f64 {
        f64::from(self.units(shares, at)) / f64::from(UNITS_PER_CAP)
    }

    /// The first time after `settled` at which a lease or loan ends, at most `now`.
    fn next_bound(&self, shares: &Shares, now: Instant) -> Instant {
        let borrowed = self.borrowed.iter().map(|it| it.until);
        let lent = self.lent.iter().flat_map(|it| it.grants.iter().map(|it| it.1));
        let bounds = borrowed.chain(lent).chain(shares.bounds());
        bounds.filter(|it| *it > self.settled).fold(now, Instant::min)
    }

    /// Drops ended loans.
    fn drop_ended(&mut self, now: Instant) {
        let permits = self.is_permits();
        self.borrowed.retain(|it| now < it.until || permits && now < it.forget_at);
        for lent in &mut self.lent {
            lent.grants.retain(|it| now < it.1);
        }
        self.lent.retain(|it| !it.grants.is_empty());
    }
}

impl Lent {
    /// Units lent at a time.
    pub(crate) fn units(&self, at: Instant) -> u32 {
        let live = self.grants.iter().filter(|it| at < it.1).map(|it| it.0);
        live.max().unwrap_or_default()
    }
}

/// Units of a fraction of the cap, rounded up, at most the whole.
fn fraction_to_units(fraction: f64) -> u32 {
    if fraction.is_nan() {
        return UNITS_PER_CAP;
    }
    // The cast saturates; a tolerance keeps exact fractions from being rounded up by one unit.
    ((fraction * f64::from(UNITS_PER_CAP) - 1e-6).ceil().max(0.0) as u32).min(UNITS_PER_CAP)
}
