//! Registrations and load reports of instances.

use std::{net::SocketAddr, time::Duration};

use crate::locality::Locality;

/// Key of an instance in an [`InstanceRegistry`](crate::InstanceRegistry).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceKey {
    /// Index of the registry's slot.
    pub slot: u32,
    /// Number of times that the slot has been used; distinguishes the instance from earlier ones in
    /// the same slot.
    pub generation: u32,
}

/// Whether an instance accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ServingState {
    /// The instance accepts new requests.
    Ready,
    /// The instance finishes its running requests and then shuts down.
    Draining,
}

/// Registration that an instance publishes.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceRegistration {
    /// Id, unique among the instances of all services.
    pub id: String,
    /// Name of the service.
    pub service: String,
    /// Address that accepts requests.
    pub address: SocketAddr,
    /// Zone and region of the instance.
    pub locality: Locality,
    /// Version of the instance's software.
    pub version: String,
    /// Number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Whether the instance accepts new requests.
    pub state: ServingState,
    /// Time for which the instance stays cold.
    pub cold_remaining: Duration,
    /// Start time, which distinguishes a restart under the same id.
    pub started_unix_ms: Option<u64>,
    /// Number that the instance raises with each registration since its start.
    pub sequence: Option<u64>,
}

/// Load that an instance reports with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that can run concurrently.
    pub slots: u32,
}
