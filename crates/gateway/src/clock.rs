//! Time that the runtime's clock does not count.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Total time for which the machine was suspended; 0 where the system cannot tell.
pub(crate) fn suspended() -> Duration {
    let read = |id| clock_gettime(id).map(Duration::from);
    match (read(ClockId::CLOCK_BOOTTIME), read(ClockId::CLOCK_MONOTONIC)) {
        (Ok(with), Ok(without)) => with.saturating_sub(without),
        (Err(error), _) | (_, Err(error)) => {
            log::debug!("suspended time cannot be read: {error}");
            Duration::ZERO
        }
    }
}
