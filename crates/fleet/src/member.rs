//! Hosts in the membership view of one process.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use strum::{Display, EnumString};
use tokio::time::Instant;

/// A host in the membership view.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name of the host, unique in the cluster.
    pub name: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Latest known incarnation of the host's process, 0 if the host is only known from a list.
    pub incarnation: u64,
    /// State of the member as this host evaluates it.
    pub state: MemberState,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers connect to.
    pub public_addresses: Vec<String>,
    /// Time at which this host received the member's last heartbeat, `None` for the local host and
    /// for hosts known only from lists and profiles.
    pub last_heartbeat_at: Option<Instant>,
    /// Load that the member reported; 1,000 means fully used.
    pub load_permille: u16,
}

/// Identity of the local host, as configured at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Name of the host, unique in the cluster.
    pub name: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Incarnation of the process, higher after each restart of the host.
    pub incarnation: u64,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers connect to.
    pub public_addresses: Vec<String>,
}

/// A host named by the platform's list or by the seeds in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedHost {
    /// Name of the host, unique in the cluster.
    pub name: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers connect to, empty if the list does not contain them.
    pub public_addresses: Vec<String>,
    /// Whether the platform is about to remove the host.
    pub draining: bool,
}

/// State of a member as one host evaluates it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberState {
    /// Running, but not ready for callers.
    Starting,
    /// Serving callers.
    Live,
    /// Finishing requests in progress and accepting no new callers.
    Draining,
    /// Silent for a short time, or the connection failed.
    Suspected,
    /// Silent for a long time, or the process is known to have ended.
    Gone,
}
