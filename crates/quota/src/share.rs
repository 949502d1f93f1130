//! The share of this process and the leases under which it may be used.

use std::time::Duration;

use tokio::time::Instant;

use crate::Settings;

/// The share of this process, in units of every cap, and the leases under which it may be used.
#[derive(Debug)]
pub(crate) struct LocalShare {
    pub(crate) floor_units: u32,
    pub(crate) main_units: u32,
    pub(crate) main_lease_end: Instant,
    pub(crate) floor_lease_end: Instant,
    /// Time by which all loans of a predecessor of the same name have ended, before which no unit
    /// of the share is usable.
    pub(crate) predecessor_loans_end: Instant,
    /// Whether requests of a predecessor of the same name may still use permits after
    /// `predecessor_loans_end`.
    pub(crate) has_predecessor: bool,
    /// Units received from reclaimed shares, with the time of the reclaim, after which the former
    /// holder starts no requests.
    pub(crate) reclaimed: Vec<(u32, Instant)>,
}

impl LocalShare {
    /// Creates an empty share with expired leases.
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            floor_units: 0,
            main_units: 0,
            main_lease_end: now,
            floor_lease_end: now,
            predecessor_loans_end: now,
            has_predecessor: false,
            reclaimed: Vec::new(),
        }
    }

    /// Units of a cap that may be used at `at`.
    ///
    /// `permit_hold_time` is the time for which requests of a former holder may still use permits,
    /// zero for rates.
    pub(crate) fn usable_units(&self, permit_hold_time: Duration, at: Instant) -> u32 {
        self.usable_units_until(permit_hold_time, at, at + Duration::from_nanos(1))
    }

    /// Units of a cap that may be used at `now` and whose leases last until `until`.
    pub(crate) fn usable_units_until(
        &self,
        permit_hold_time: Duration,
        now: Instant,
        until: Instant,
    ) -> u32 {
        if now < self.usable_from(permit_hold_time) {
            return 0;
        }
        let floor = if until <= self.floor_lease_end { self.floor_units } else { 0 };
        let main = if until <= self.main_lease_end { self.main_units } else { 0 };
        (floor + main).saturating_sub(self.reclaimed_in_use(permit_hold_time, now))
    }

    /// Time from which a cap may be used whose requests hold a permit for up to `permit_hold_time`.
    fn usable_from(&self, permit_hold_time: Duration) -> Instant {
        if self.has_predecessor {
            self.predecessor_loans_end + permit_hold_time
        } else {
            self.predecessor_loans_end
        }
    }

    /// Reclaimed units whose permits requests of the former holder may still use.
    fn reclaimed_in_use(&self, permit_hold_time: Duration, now: Instant) -> u32 {
        self.reclaimed.iter().filter(|it| now < it.1 + permit_hold_time).map(|it| it.0).sum()
    }

    /// Units of this share whose permits requests of a former holder or predecessor may still use.
    pub(crate) fn formerly_held_units(&self, permit_hold_time: Duration, now: Instant) -> u32 {
        let own = self.floor_units + self.main_units;
        if now < self.usable_from(permit_hold_time) {
            own
        } else {
            self.reclaimed_in_use(permit_hold_time, now).min(own)
        }
    }

    /// Extends the leases from `sent`, the time at which a refresh or a confirmed heartbeat was
    /// sent; `written` says that it is a refresh known to have been written to the platform.
    ///
    /// Only a written refresh restores an expired lease: a peer's reclaim may be in flight to the
    /// platform, and only the conditional update decides which of the two comes first.
    pub(crate) fn extend(
        &mut self,
        sent: Instant,
        written: bool,
        settings: &Settings,
        now: Instant,
    ) {
        if written || now < self.main_lease_end {
            self.main_lease_end = self.main_lease_end.max(sent + settings.main_lease);
        }
        if written || now < self.floor_lease_end {
            self.floor_lease_end = self.floor_lease_end.max(sent + settings.floor_lease);
        }
    }

    /// Times at which the usable units of a rate cap change.
    pub(crate) fn change_times(&self) -> [Instant; 3] {
        [self.main_lease_end, self.floor_lease_end, self.predecessor_loans_end]
    }
}
