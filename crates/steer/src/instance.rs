//! What an instance of an upstream says of itself.

use std::{net::SocketAddr, time::Duration};

use crate::locality::Locality;

/// Key of an instance in a [`InstanceRegistry`](crate::InstanceRegistry).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey {
    /// Slot in the arena.
    pub slot: u32,
    /// Use of the slot, so that the key of a former instance finds nothing.
    pub generation: u32,
}

/// Whether an instance takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServingState {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// An instance's own registration.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceRegistration {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// Version of its software.
    pub version: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServingState,
    /// For how long it stays cold.
    pub cold_remaining: Duration,
    /// When it started, which tells a restart under the same id.
    pub started_unix_ms: Option<u64>,
}

/// Load that an instance tells with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at the same time.
    pub slots: u32,
}
