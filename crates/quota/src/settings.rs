//! Durations and limits of the quota protocol.

use std::time::Duration;

/// Durations and limits of a [`Holder`](crate::Holder). All hosts of a fleet must use the same
/// values.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Time for which the main share may be used after the sending of a refresh, or of a heartbeat
    /// that the peers confirmed.
    pub main_lease: Duration,
    /// Time beyond `main_lease` that a host waits before it reclaims the main share of a silent
    /// host.
    pub main_reclaim_margin: Duration,
    /// Time for which the floor share may be used after the sending of a refresh, or of a heartbeat
    /// that the peers confirmed.
    pub floor_lease: Duration,
    /// Time beyond `floor_lease` that a host waits before it reclaims the floor share of a silent
    /// host.
    pub floor_reclaim_margin: Duration,
    /// Time for which a loan may be used, counted from the sending of the request.
    pub loan_duration: Duration,
    /// Time beyond `loan_duration` that a lender waits before it uses the lent units again.
    pub loan_margin: Duration,
    /// Interval of lease refreshes in the platform while some peer does not confirm heartbeats.
    pub refresh_interval: Duration,
    /// Interval of lease refreshes in the platform while all peers confirm heartbeats.
    pub confirmed_refresh_interval: Duration,
    /// Maximum number of concurrent requests for new or larger loans of one resource.
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
