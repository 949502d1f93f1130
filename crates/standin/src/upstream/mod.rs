//! Stand-in for one instance of an upstream.

mod api;
mod execution;
mod execution_log;
mod settings;
mod state_history;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    connections::{ConnectionTracker, ServerHandle, TrackedAcceptor},
    upstream::api::{Api, ApiEndpoint},
};

pub use crate::upstream::{
    execution_log::{ExecutionRecord, ExecutionState},
    settings::{UpstreamCounts, UpstreamFaults, UpstreamSettings, VersionFault},
};

/// A running upstream stand-in. Dropping it stops the server.
pub struct UpstreamStandin {
    server: ServerHandle,
    api: Arc<Api>,
}

impl UpstreamStandin {
    /// Starts to serve on `address`. Port 0 selects a free port.
    ///
    /// Fails when the address cannot be bound.
    pub async fn bind(address: SocketAddr, settings: UpstreamSettings) -> io::Result<Self> {
        let open_cost = Duration::from_micros((settings.connection_cost_ms * 1000.0) as u64);
        let tracker = ConnectionTracker::new(settings.max_connections, open_cost);
        let acceptor = TrackedAcceptor::bind(address, Arc::clone(&tracker)).await?;
        let api = Arc::new(Api::new(settings, Arc::clone(&tracker)));
        let server = ServerHandle::spawn(acceptor, tracker, ApiEndpoint(Arc::clone(&api)));
        Ok(Self { server, api })
    }

    /// Returns the address of the server with its actual port.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all faults. A drain that has begun keeps its start when `draining` stays set.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.api.set_faults(faults);
    }

    /// Drops all connections and stops listening for `downtime`, like a process that crashes and
    /// starts again.
    pub fn crash(&self, downtime: Duration) {
        self.api.crash(downtime);
    }

    /// Returns the latest 100,000 requests that started to run, oldest first.
    pub fn executions(&self) -> Vec<ExecutionRecord> {
        self.api.executions()
    }

    /// Returns the numbers of requests and connections since the start.
    pub fn counts(&self) -> UpstreamCounts {
        self.api.counts()
    }

    /// Stops listening and drops all connections.
    pub async fn stop(mut self) {
        self.server.stop().await;
    }
}
