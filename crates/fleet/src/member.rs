//! Hosts as one process sees them.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use strum::{Display, EnumString};
use tokio::time::Instant;

/// One host in the membership view.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name of the host.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Newest known start of its process, 0 while it was only listed.
    pub incarnation: u64,
    /// State in this host's view.
    pub state: MemberState,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers use.
    pub public_addresses: Vec<String>,
    /// When its last heartbeat arrived here, `None` for hosts known only from others.
    pub last_heartbeat_at: Option<Instant>,
    /// Load that it reported, 1,000 for fully used.
    pub load_permille: u16,
}

/// What this host knows about itself from its settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name of the host.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// The start of the process; a later start of the same host has a higher number.
    pub incarnation: u64,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers use.
    pub public_addresses: Vec<String>,
}

/// A host that the platform's list or the settings name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers use, empty when the list does not give them.
    pub public_addresses: Vec<String>,
    /// Whether the platform will take the host away.
    pub draining: bool,
}

/// State of a member in the view of one host.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Runs, but is not ready for callers.
    Starting,
    /// Serves callers.
    Live,
    /// Finishes what it has and takes no new callers.
    Draining,
    /// Silent for a short time, or its connection failed.
    Suspected,
    /// Silent for long, or its process is known to be gone.
    Gone,
}
