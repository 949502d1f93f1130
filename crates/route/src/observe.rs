//! What a host observes about one instance.

use std::time::Duration;

/// What an instance reports about its own load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that it runs for all hosts together.
    pub in_flight: u32,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Time between two reports; older than twice this, a report is ignored.
    pub period: Duration,
}
