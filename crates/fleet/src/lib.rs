//! Membership, heartbeats and documents whose versions only increase.

mod beat;
mod digest;
mod document;
mod fleet;
mod link;
mod member;
mod message;
mod receive;
mod roster;
mod settings;
mod view;

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
