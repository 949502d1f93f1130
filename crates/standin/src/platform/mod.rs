//! Stand-in for the platform: its object API and its host list.

mod api;
mod hosts;
mod rate_limiter;
mod settings;
mod store;
mod wire;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    connections::{ConnectionTracker, ServerHandle, TrackedAcceptor},
    platform::api::{Api, ApiEndpoint},
};

pub use crate::platform::{
    hosts::{HostEntry, ListedHostState},
    settings::{CallCounts, OutageMode, PlatformFaults, PlatformLimits, PlatformSettings},
};

/// A running platform stand-in, with its objects in memory only. Dropping it stops the server and
/// loses the objects.
pub struct PlatformStandin {
    server: ServerHandle,
    api: Arc<Api>,
}

impl PlatformStandin {
    /// Starts to serve on `address`. Port 0 selects a free port.
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let tracker = ConnectionTracker::new(usize::MAX, Duration::ZERO);
        let acceptor = TrackedAcceptor::bind(address, Arc::clone(&tracker)).await?;
        let api = Arc::new(Api::new(settings, Arc::clone(&tracker)));
        let server = ServerHandle::spawn(acceptor, tracker, ApiEndpoint(Arc::clone(&api)));
        Ok(Self { server, api })
    }

    /// Returns the address of the server with its actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults, and seeds the choice of lost responses again.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Replaces all limits except the length of the log of changes, which stays as at the start.
    pub fn set_limits(&self, limits: PlatformLimits) {
        self.api.set_limits(limits);
    }

    /// Empties the log of changes, so that a watch after an older revision than the current one has
    /// to list the objects again.
    pub fn clear_change_log(&self) {
        self.api.clear_change_log();
    }

    /// Restores the platform from a copy, so that everything written in the last `age_ms` is lost:
    /// objects, announcements and revisions, which later changes get again. Waiting watches end.
    /// Returns the new era, which all responses carry in the header `store-era`. Fails for an age of
    /// more than 30 s.
    pub fn restore(&self, age_ms: u64) -> anyhow::Result<u64> {
        self.api.restore(age_ms)
    }

    /// Returns the numbers of calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        self.api.call_counts()
    }

    /// Stops listening and drops all connections.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}
