//! The units of one process and the leases under which it may spend them.

use std::time::Duration;

use tokio::time::Instant;

use crate::Settings;

/// The units of one process and the leases under which it may spend them.
#[derive(Debug)]
pub(crate) struct Shares {
    /// Units under the floor lease.
    pub(crate) floor: u32,
    /// Units under the main lease.
    pub(crate) main: u32,
    /// End of the main lease.
    pub(crate) main_until: Instant,
    /// End of the floor lease.
    pub(crate) floor_until: Instant,
    /// Start of spending rates; loans of a predecessor of the same name have ended by then.
    pub(crate) rates_from: Instant,
    /// Whether requests of a predecessor of the same name may still use permits after that time.
    pub(crate) has_predecessor: bool,
    /// Reclaimed units with the time of the reclaim, since when the former holder starts nothing.
    pub(crate) permit_holds: Vec<(u32, Instant)>,
}

impl Shares {
    /// No units, leases that have ended.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            floor: 0,
            main: 0,
            main_until: now,
            floor_until: now,
            rates_from: now,
            has_predecessor: false,
            permit_holds: Vec::new(),
        }
    }

    /// Units that may be spent on a cap at a time; `hold` is the time for which requests of a
    /// former holder may still use its permits, zero for rates.
    pub(crate) fn units(&self, hold: Duration, at: Instant) -> u32 {
        self.units_through(hold, at, at + Duration::from_nanos(1))
    }

    /// Units that may be spent on a cap now and whose leases last until `until`.
    pub(crate) fn units_through(&self, hold: Duration, now: Instant, until: Instant) -> u32 {
        if now < self.usable_from(hold) {
            return 0;
        }
        let floor = if until <= self.floor_until { self.floor } else { 0 };
        let main = if until <= self.main_until { self.main } else { 0 };
        (floor + main).saturating_sub(self.held(hold, now))
    }

    /// Start of using caps whose requests last up to `hold`.
    fn usable_from(&self, hold: Duration) -> Instant {
        if self.has_predecessor { self.rates_from + hold } else { self.rates_from }
    }

    /// Reclaimed units whose former holder may still run requests.
    fn held(&self, hold: Duration, now: Instant) -> u32 {
        self.permit_holds.iter().filter(|it| now < it.1 + hold).map(|it| it.0).sum()
    }

    /// Own units whose permits a former holder or predecessor may still use.
    pub(crate) fn held_permits(&self, hold: Duration, now: Instant) -> u32 {
        let own = self.floor + self.main;
        if now < self.usable_from(hold) { own } else { self.held(hold, now).min(own) }
    }

    /// Prolongs the leases by a refresh sent at `sent`.
    ///
    /// A lease that has ended is restored only by a refresh written to the platform: a reclaim may
    /// be on its way there, and only the conditional update decides which of the two comes first.
    pub(crate) fn extend(
        &mut self,
        sent: Instant,
        written: bool,
        settings: &Settings,
        now: Instant,
    ) {
        if written || now < self.main_until {
            self.main_until = self.main_until.max(sent + settings.main_lease);
        }
        if written || now < self.floor_until {
            self.floor_until = self.floor_until.max(sent + settings.floor_lease);
        }
    }

    /// Times between which the spendable units of a rate are constant.
    pub(crate) fn bounds(&self) -> [Instant; 3] {
        [self.main_until, self.floor_until, self.rates_from]
    }
}
