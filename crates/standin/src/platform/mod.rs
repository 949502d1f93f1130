//! Stand-in for the platform's object API and host list.

mod api;
mod hosts;
mod limit;
mod settings;
mod store;
mod wire;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    gate::{Gate, GateAcceptor, Running},
    platform::api::{Api, ApiEndpoint},
};

pub use crate::platform::{
    hosts::{HostEntry, HostState},
    settings::{CallCounts, OutageMode, PlatformFaults, PlatformLimits, PlatformSettings},
};

/// A running platform stand-in; dropping it stops it and loses its objects.
pub struct PlatformStandin {
    /// The server.
    running: Running,
    /// The served state.
    api: Arc<Api>,
}

impl PlatformStandin {
    /// Starts to serve on `address`, whose port may be 0.
    pub async fn bind(address: SocketAddr, settings: PlatformSettings) -> io::Result<Self> {
        let gate = Gate::new(usize::MAX, Duration::ZERO);
        let acceptor = GateAcceptor::bind(address, Arc::clone(&gate)).await?;
        let api = Arc::new(Api::new(settings, Arc::clone(&gate)));
        let running = Running::spawn(acceptor, gate, ApiEndpoint(Arc::clone(&api)));
        Ok(Self { running, api })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.running.address()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Replaces all limits.
    pub fn set_limits(&self, limits: PlatformLimits) {
        self.api.set_limits(limits);
    }

    /// Forgets the log of changes, so that every watch has to list again.
    pub fn clear_change_log(&self) {
        self.api.clear_change_log();
    }

    /// Calls since the start.
    pub fn call_counts(&self) -> CallCounts {
        self.api.call_counts()
    }

    /// Stops listening and drops all connections.
    pub async fn stop(mut self) {
        self.running.stop().await;
    }
}
