//! Stand-in for one upstream instance.

mod api;
mod execution;
mod executions;
mod reports;
mod settings;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    gate::{Gate, GateAcceptor, Running},
    upstream::api::{Api, ApiEndpoint},
};

pub use crate::upstream::{
    executions::{ExecutionRecord, ExecutionState},
    settings::{UpstreamCounts, UpstreamFaults, UpstreamSettings, VersionFault},
};

/// A running upstream stand-in; dropping it stops it.
pub struct UpstreamStandin {
    /// The server.
    running: Running,
    /// The served state.
    api: Arc<Api>,
}

impl UpstreamStandin {
    /// Starts to serve on `address`, whose port may be 0.
    pub async fn bind(address: SocketAddr, settings: UpstreamSettings) -> io::Result<Self> {
        let open_cost = Duration::from_micros((settings.connection_cost_ms * 1000.0) as u64);
        let gate = Gate::new(settings.max_connections, open_cost);
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
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.api.set_faults(faults);
    }

    /// Drops all connections and stops listening for a time, as a crashed process does.
    pub fn crash(&self, downtime: Duration) {
        self.api.crash(downtime);
    }

    /// Requests that started, oldest first; only the newest are kept.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.api.executions()
    }

    /// Counts since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.api.counts()
    }

    /// Stops listening and drops all connections.
    pub async fn stop(mut self) {
        self.running.stop().await;
    }
}
