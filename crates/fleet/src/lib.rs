//! Cluster membership, heartbeats, and replicated documents with monotonic versions.
//!
//! The hosts of an availability zone exchange heartbeats directly. Between zones, only the speakers
//! of each zone do; digests in their heartbeats relay the member states of the other zones.

mod digest;
mod document;
mod failure_detector;
mod fleet;
mod heartbeat;
mod member;
mod message;
mod peer_state;
mod receive;
mod roster;
mod settings;

pub use crate::{
    document::{ApplyOutcome, Document, Documents, chunk_sha256},
    fleet::{AckedHeartbeat, Fleet, Reachability},
    member::{HostIdentity, ListedHost, Member, MemberState},
    message::{
        ChunkReply, ChunkRequest, Digest, DigestEntry, DocumentReply, DocumentRequest, Heartbeat,
        MAX_MESSAGE_BYTES, Message, Profile,
    },
    settings::FleetSettings,
};
