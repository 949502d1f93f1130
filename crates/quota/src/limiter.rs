//! Local limiter of one resource: token bucket or permits in use, demand, and loans in both
//! directions.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Cap, LoanId, ResourceName, UNITS_PER_CAP, demand::DemandEstimator, share::LocalShare};

/// Number of tokens by which rounding errors may overdraw a bucket.
const ROUNDING_TOLERANCE: f64 = 1e-9;
/// Number of requests that the bucket of a resource with recent demand should hold.
const BURST_RESERVE_REQUESTS: f64 = 4.0;
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Local limiter of one resource.
#[derive(Debug)]
pub(crate) struct Limiter {
    pub(crate) name: ResourceName,
    /// Fleet-wide limit, `None` after the resource was removed. Loans of a removed resource are
    /// still tracked.
    pub(crate) cap: Option<Cap>,
    /// Tokens in the bucket of a rate cap.
    pub(crate) tokens: f64,
    /// Time up to which refills are included in `tokens`.
    refilled_until: Instant,
    pub(crate) permits_in_use: u32,
    pub(crate) demand: DemandEstimator,
    pub(crate) borrowed: Vec<BorrowedLoan>,
    pub(crate) lent: Vec<LentLoan>,
    pub(crate) pending_requests: Vec<PendingRequest>,
    /// Peers that refused a request or granted too little, sorted by name.
    pub(crate) backoffs: Vec<Backoff>,
    /// Whether the limiter is in [`Holder::active_limiters`](crate::Holder).
    pub(crate) is_active: bool,
    /// Earliest time at which a request may ask for another tick outside the regular interval.
    pub(crate) next_urgent_tick_at: Instant,
}

#[derive(Debug)]
pub(crate) struct BorrowedLoan {
    pub(crate) id: LoanId,
    pub(crate) lender: String,
    pub(crate) units: u32,
    pub(crate) expires_at: Instant,
    pub(crate) renewal_declined: bool,
    /// Time until which an expired loan of permits is kept for an early return. From then on the
    /// lender uses the units again without a return.
    pub(crate) retained_until: Instant,
}

#[derive(Debug)]
pub(crate) struct LentLoan {
    pub(crate) id: LoanId,
    pub(crate) borrower: String,
    /// Units of each grant (the first one and its renewals) with the time from which the lender
    /// uses them again.
    ///
    /// The borrower may use any grant that was sent, so the largest one that has not expired counts
    /// as lent.
    pub(crate) grants: Vec<(u32, Instant)>,
    /// Tokens sent with the first grant, for an identical response to a repeated request.
    pub(crate) tokens: f64,
}

/// Loan request without a response.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) id: LoanId,
    pub(crate) peer: String,
    /// Loan to renew, `None` for a new loan.
    pub(crate) renews: Option<LoanId>,
    pub(crate) units: u32,
    /// Whether the request is for a new loan or for more units than the renewed loan has.
    pub(crate) is_increase: bool,
    /// Time of the first sending, from which the duration of the loan counts.
    pub(crate) sent_at: Instant,
    /// Time of the latest sending.
    pub(crate) last_sent_at: Instant,
}

/// Backoff of loan requests to a peer that refused a request or granted too little.
#[derive(Debug)]
pub(crate) struct Backoff {
    pub(crate) peer: String,
    pub(crate) retry_at: Instant,
    pub(crate) consecutive_refusals: u32,
}

impl Limiter {
    /// Creates a limiter without a cap and with an empty bucket.
    pub(crate) fn new(name: ResourceName, now: Instant) -> Self {
        Self {
            name,
            cap: None,
            tokens: 0.0,
            refilled_until: now,
            permits_in_use: 0,
            demand: DemandEstimator::new(now),
            borrowed: Vec::new(),
            lent: Vec::new(),
            pending_requests: Vec::new(),
            backoffs: Vec::new(),
            is_active: false,
            next_urgent_tick_at: now,
        }
    }

    /// Time for which permits may still be in use after a holder stops starting requests, zero for
    /// rate caps.
    pub(crate) fn permit_hold_time(&self) -> Duration {
        match self.cap {
            Some(Cap::Permits { max_request_duration, .. }) => max_request_duration,
            Some(Cap::Rate { .. }) | None => Duration::ZERO,
        }
    }

    pub(crate) fn has_permit_cap(&self) -> bool {
        matches!(self.cap, Some(Cap::Permits { .. }))
    }

    /// Refills the bucket up to `now`, with each lease and loan ending at its time, and drops
    /// expired loans.
    pub(crate) fn advance(&mut self, share: &LocalShare, now: Instant) {
        let Some(Cap::Rate { rate_per_s, burst }) = self.cap else {
            self.refilled_until = self.refilled_until.max(now);
            self.drop_expired_loans(now);
            return;
        };
        while self.refilled_until < now {
            let next = self.next_change(share, now);
            let fraction = self.usable_fraction(share, self.refilled_until);
            let elapsed = (next - self.refilled_until).as_secs_f64();
            let refilled = self.tokens + fraction * rate_per_s * elapsed;
            self.tokens = refilled.min(fraction * burst);
            self.refilled_until = next;
        }
        self.tokens = self.tokens.min(self.usable_fraction(share, now) * burst);
        self.drop_expired_loans(now);
    }

    /// Units that may be used at `at`: own and borrowed units without lent ones.
    pub(crate) fn usable_units(&self, share: &LocalShare, at: Instant) -> u32 {
        let borrowed: u32 =
            self.borrowed.iter().filter(|it| at < it.expires_at).map(|it| it.units).sum();
        let own = share.usable_units(self.permit_hold_time(), at) + borrowed;
        own.saturating_sub(self.lent_units(at))
    }

    /// Units lent to peers at `at`.
    pub(crate) fn lent_units(&self, at: Instant) -> u32 {
        self.lent.iter().map(|it| it.units_at(at)).sum()
    }

    /// Units that are lent or used by running requests, and so must not move to another holder.
    pub(crate) fn committed_units(&self, now: Instant) -> u32 {
        let in_use = if self.permits_in_use > 0 {
            self.units_for_amount(f64::from(self.permits_in_use))
        } else {
            0
        };
        self.lent_units(now).saturating_add(in_use)
    }

    /// Minimum number of units whose burst or permits reach an amount, at most [`UNITS_PER_CAP`].
    pub(crate) fn units_for_amount(&self, amount: f64) -> u32 {
        let whole = match self.cap {
            Some(Cap::Rate { burst, .. }) => burst,
            Some(Cap::Permits { permits, .. }) => f64::from(permits),
            None => 0.0,
        };
        fraction_to_units(amount / whole)
    }

    /// Units that cover the recent demand times `headroom`.
    pub(crate) fn demanded_units(&mut self, headroom: f64, now: Instant) -> u32 {
        if !self.demand.is_recent(now) {
            return if self.permits_in_use > 0 {
                self.units_for_amount(f64::from(self.permits_in_use))
            } else {
                0
            };
        }
        let unmet = self.demand.unmet(now);
        match self.cap {
            Some(Cap::Rate { rate_per_s, .. }) => {
                let by_rate = headroom * self.demand.rate_per_s(now) / rate_per_s;
                let by_amount = self.units_for_amount(self.demand.max_amount.max(unmet));
                fraction_to_units(by_rate).max(by_amount)
            }
            Some(Cap::Permits { .. }) => {
                let spare = (f64::from(self.permits_in_use) * (headroom - 1.0)).max(1.0);
                self.units_for_amount(f64::from(self.permits_in_use) + spare + unmet.ceil())
            }
            None => 0,
        }
    }

    /// Units whose bucket holds [`BURST_RESERVE_REQUESTS`] requests, because requests of a small
    /// team arrive in bursts.
    pub(crate) fn burst_reserve_units(&self) -> u32 {
        match self.cap {
            Some(Cap::Rate { .. }) => {
                self.units_for_amount(self.demand.max_amount * BURST_RESERVE_REQUESTS)
            }
            Some(Cap::Permits { .. }) | None => 0,
        }
    }

    /// Whether few tokens or permits are left.
    ///
    /// For a rate cap, the tokens must cover the part of the demand of the next `horizon` that the
    /// refill does not cover, and half of [`BURST_RESERVE_REQUESTS`]. For a concurrency cap, more
    /// than one permit must be left.
    pub(crate) fn is_low(&mut self, share: &LocalShare, horizon: Duration, now: Instant) -> bool {
        let units = self.usable_units(share, now);
        match self.cap {
            Some(Cap::Rate { rate_per_s, .. }) => {
                let refill = rate_per_s * f64::from(units) / f64::from(UNITS_PER_CAP);
                let deficit = (self.demand.rate_per_s(now) - refill).max(0.0);
                let min_tokens = self.demand.max_amount * BURST_RESERVE_REQUESTS / 2.0;
                self.tokens < min_tokens.max(deficit * horizon.as_secs_f64())
            }
            Some(Cap::Permits { .. }) => self.permits_in_use + 1 >= self.permits_for(units),
            None => false,
        }
    }

    /// Takes an amount from the bucket, or returns the time until the refill suffices as the error,
    /// at most [`MAX_RETRY_AFTER`].
    pub(crate) fn acquire_tokens(
        &mut self,
        share: &LocalShare,
        amount: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        if self.tokens + ROUNDING_TOLERANCE >= amount {
            self.tokens = (self.tokens - amount).max(0.0);
            return Ok(());
        }
        let Some(Cap::Rate { rate_per_s, .. }) = self.cap else { return Err(MAX_RETRY_AFTER) };
        let refill = rate_per_s * self.usable_fraction(share, now);
        let wait_s = (amount - self.tokens) / refill;
        if wait_s < MAX_RETRY_AFTER.as_secs_f64() {
            return Err(Duration::from_secs_f64(wait_s));
        }
        Err(MAX_RETRY_AFTER)
    }

    /// Takes a permit if one is free, and returns whether it did.
    pub(crate) fn acquire_permit(&mut self, share: &LocalShare, now: Instant) -> bool {
        let is_free = self.permits_in_use < self.permits_for(self.usable_units(share, now));
        self.permits_in_use += u32::from(is_free);
        is_free
    }

    /// Number of permits for `units`, rounded down.
    pub(crate) fn permits_for(&self, units: u32) -> u32 {
        let Some(Cap::Permits { permits, .. }) = self.cap else { return 0 };
        let res = u64::from(permits) * u64::from(units) / u64::from(UNITS_PER_CAP);
        u32::try_from(res).unwrap_or(u32::MAX)
    }

    /// Units that are not needed for local demand and can be lent until `until`.
    pub(crate) fn lendable_units(
        &mut self,
        share: &LocalShare,
        now: Instant,
        until: Instant,
    ) -> u32 {
        let lendable = share.usable_units_until(self.permit_hold_time(), now, until);
        let demanded = self.demanded_units(1.1, now);
        let spare = self.usable_units(share, now).saturating_sub(demanded);
        spare.min(lendable.saturating_sub(self.lent_units(now)))
    }

    /// Units that local demand needs beyond the usable ones.
    pub(crate) fn shortfall_units(&mut self, share: &LocalShare, now: Instant) -> u32 {
        self.demanded_units(1.1, now).saturating_sub(self.usable_units(share, now))
    }

    /// Whether a response to a request for more units is expected within `timeout` of its sending.
    pub(crate) fn awaits_loan(&self, timeout: Duration, now: Instant) -> bool {
        self.pending_requests.iter().any(|it| it.is_increase && now < it.last_sent_at + timeout)
    }

    /// Fraction of the cap that may be used at `at`.
    fn usable_fraction(&self, share: &LocalShare, at: Instant) -> f64 {
        f64::from(self.usable_units(share, at)) / f64::from(UNITS_PER_CAP)
    }

    /// Earliest time after `refilled_until` at which the usable units change, at most `now`.
    fn next_change(&self, share: &LocalShare, now: Instant) -> Instant {
        let borrowed = self.borrowed.iter().map(|it| it.expires_at);
        let lent = self.lent.iter().flat_map(|it| it.grants.iter().map(|it| it.1));
        let changes = borrowed.chain(lent).chain(share.change_times());
        changes.filter(|it| *it > self.refilled_until).fold(now, Instant::min)
    }

    fn drop_expired_loans(&mut self, now: Instant) {
        let has_permit_cap = self.has_permit_cap();
        self.borrowed.retain(|it| now < it.expires_at || has_permit_cap && now < it.retained_until);
        for lent in &mut self.lent {
            lent.grants.retain(|it| now < it.1);
        }
        self.lent.retain(|it| !it.grants.is_empty());
    }
}

impl LentLoan {
    pub(crate) fn units_at(&self, at: Instant) -> u32 {
        let valid = self.grants.iter().filter(|it| at < it.1).map(|it| it.0);
        valid.max().unwrap_or_default()
    }
}

/// Units of a fraction of the cap, rounded up, at most [`UNITS_PER_CAP`].
fn fraction_to_units(fraction: f64) -> u32 {
    if fraction.is_nan() {
        return UNITS_PER_CAP;
    }
    // The cast saturates. The tolerance of 1e-6 keeps exact fractions from being rounded up by one
    // unit.
    ((fraction * f64::from(UNITS_PER_CAP) - 1e-6).ceil().max(0.0) as u32).min(UNITS_PER_CAP)
}
