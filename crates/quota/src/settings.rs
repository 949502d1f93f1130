//! Periods and bounds of a holder.

use std::time::Duration;

/// Periods and bounds of a [`Holder`](crate::Holder); equal on all hosts of a fleet.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time after a refresh in which the main part may be spent.
    pub main_lease: Duration,
    /// Wait of a reclaimer beyond the main lease.
    pub main_reclaim_margin: Duration,
    /// Time after a refresh in which the floor part may be spent.
    pub floor_lease: Duration,
    /// Wait of a reclaimer beyond the floor lease.
    pub floor_reclaim_margin: Duration,
    /// Length of a loan.
    pub loan_duration: Duration,
    /// Wait of a lender beyond the loan.
    pub loan_margin: Duration,
    /// Time between two refreshes in the platform while peers do not confirm.
    pub refresh_interval: Duration,
    /// Time between two refreshes in the platform while all peers confirm.
    pub confirmed_refresh_interval: Duration,
    /// Loan requests of one resource that wait for an answer.
    pub max_pending_requests: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            main_lease: Duration::from_secs(10),
            main_reclaim_margin: Duration::from_secs(2),
            floor_lease: Duration::from_secs(30 * 60),
            floor_reclaim_margin: Duration::from_secs(60),
            loan_duration: Duration::from_secs(2),
            loan_margin: Duration::from_millis(50),
            refresh_interval: Duration::from_secs(3),
            confirmed_refresh_interval: Duration::from_secs(60),
            max_pending_requests: 8,
        }
    }
}
