//! Suspended time, which the runtime's clock does not count.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Total time for which the machine has been suspended since boot; zero if the clocks cannot be
/// read.
pub(crate) fn suspended_time() -> Duration {
    let read_clock = |id| clock_gettime(id).map(Duration::from);
    match (read_clock(ClockId::CLOCK_BOOTTIME), read_clock(ClockId::CLOCK_MONOTONIC)) {
        (Ok(boottime), Ok(monotonic)) => boottime.saturating_sub(monotonic),
        (Err(error), _) | (_, Err(error)) => {
            log::debug!("suspended time cannot be read: {error}");
            Duration::ZERO
        }
    }
}
