//! What hosts tell each other several times a second.

use bincode::{Decode, Encode};
use kingcupford_route::QuarantineUpdate;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the messages; beats of another version are ignored.
pub const PROTOCOL_VERSION: u16 = 2;

/// One message between two hosts.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Version of the messages.
    pub protocol_version: u16,
    /// Name of the sender.
    pub sender: String,
    /// Start of the sender's process.
    pub incarnation: u64,
    /// Number of the message in this process.
    pub sequence: u64,
    /// The newest message that the sender got from the receiver.
    pub ack: Option<HeartbeatAck>,
    /// What the sender does.
    pub state: HostState,
    /// How much the sender's machine can carry, in Mbit/s; the strongest hosts read the platform
    /// for the others.
    pub link_mbps: u32,
    /// Version of the manifest in force at the sender, 0 for none.
    pub manifest_version: u64,
    /// Age of the sender's view of the manifest, `None` when it is not confirmed.
    pub view_age_ms: Option<u32>,
    /// Time since the platform itself last answered the sender; `None` when another host reads for
    /// it.
    pub platform_age_ms: Option<u32>,
    /// Requests of tenants at the sender, sorted by tenant.
    pub tenant_demand: Vec<TenantDemand>,
    /// Load of the services in the sender's region.
    pub service_loads: Vec<ServiceLoad>,
    /// What the sender counted in running rollouts.
    pub rollout_tallies: Vec<RolloutTally>,
    /// News about requests that crash instances.
    pub quarantine_updates: Vec<QuarantineUpdate>,
}

/// Acknowledges a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatAck {
    /// The receiver's incarnation when it sent the message.
    pub incarnation: u64,
    /// Number of the message.
    pub sequence: u64,
    /// Time since the message arrived.
    pub ack_delay_ms: u32,
}

/// What a host does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// It has no confirmed view yet, or lost it.
    Unready,
    /// It takes requests.
    Serving,
    /// It shuts down.
    Draining,
}

/// A tenant's requests at one host.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct TenantDemand {
    /// Hash of the tenant's name.
    pub tenant_hash: u32,
    /// Requests per second that callers send.
    pub requests_per_s: f32,
    /// Requests admitted in the last window of the tenant's limit.
    pub admitted: u32,
}

/// A service in the sender's region, as the sender sees it.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct ServiceLoad {
    /// Hash of the service's name.
    pub service_hash: u32,
    /// Requests at the region's instances per slot.
    pub utilization: f32,
    /// Part of the region's objects that other regions handle; `None` before the sender's first
    /// request, when it follows from whichever instances have registered so far.
    pub shift_share: Option<f32>,
}

/// What a process counted in one rollout since it saw the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct RolloutTally {
    /// Hash of the service's name and the new version.
    pub rollout_hash: u32,
    /// Responses of the new version.
    pub new_total: u64,
    /// Failures among them.
    pub new_failed: u64,
    /// Slow ones among the others.
    pub new_slow: u64,
    /// Responses of the old versions.
    pub old_total: u64,
    /// Failures among them.
    pub old_failed: u64,
    /// Slow ones among the others.
    pub old_slow: u64,
    /// Whether the sender found the new version to be faulty.
    pub faulty: bool,
}

/// A name as messages carry it.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
