//! Messages between hosts and their binary encoding.

use std::net::SocketAddr;

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};

use crate::member::MemberState;

/// Size limit of an encoded message; a frame between hosts contains at most one megabyte.
pub const MAX_MESSAGE_BYTES: usize = 1_000_000;

/// Encoding of all messages. The limit also bounds allocations for length prefixes in received
/// data.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// A message between two hosts; the transport carries it as kind and payload.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Periodic liveness message with all frequently changing state.
    Heartbeat(Heartbeat),
    /// Requests a document that is newer than the requester's version.
    DocumentRequest(DocumentRequest),
    /// Answers a document request.
    DocumentReply(DocumentReply),
    /// Requests a chunk.
    ChunkRequest(ChunkRequest),
    /// Answers a chunk request.
    ChunkReply(ChunkReply),
    /// Names and versions of the sender's documents, sent on request and after changes.
    DocumentVersions(Vec<(String, u64)>),
    /// Requests [`Message::DocumentVersions`].
    DocumentVersionsRequest,
    /// Answers a digest request with the full digest of a speaker.
    Digest(Digest),
    /// Requests a full digest from a speaker.
    DigestRequest,
    /// Requests the profiles of all known hosts.
    RosterRequest,
    /// Answers a roster request with the profiles of the hosts that the sender knows.
    Roster(Vec<Profile>),
}

/// Heartbeat of one host to one peer.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// Number of the heartbeat round, the same for all receivers of one round.
    pub sequence: u64,
    /// State that the sender reports about itself.
    pub state: MemberState,
    /// Whether the heartbeat only replies to another one and requires no reply itself.
    pub is_reply: bool,
    /// Load of the sender; 1,000 means fully used.
    pub load_permille: u16,
    /// Incarnation of the receiver's process from which the sender last received a heartbeat, 0
    /// for none.
    pub ack_incarnation: u64,
    /// Sequence of the last heartbeat from the receiver, which is acknowledged with it.
    pub ack_sequence: u64,
    /// Whether the sender itself reached the platform within the isolation timeout.
    pub reaches_platform: bool,
    /// Number of other zones from which the sender itself received a heartbeat within the isolation
    /// timeout.
    pub reachable_zones: u16,
    /// Hash of the names and versions of the sender's documents.
    pub documents_hash: u64,
    /// Names and versions of the sender's documents, empty while the receiver's hash is equal.
    pub document_versions: Vec<(String, u64)>,
    /// Hosts of the sender's zone to which a stream failed since their last heartbeat; empty for
    /// receivers in other zones.
    pub unreachable_peers: Vec<String>,
    /// Constant data about the sender, `None` once the receiver has it.
    pub profile: Option<Profile>,
    /// Small payloads of other crates as pairs of kind and content, sorted by kind.
    pub sections: Vec<(u16, Vec<u8>)>,
    /// A speaker's digest entries of hosts in zones other than the receiver's: changes, and
    /// periodically all entries. Part of the heartbeat because the overhead of a separate frame
    /// exceeds the size of the entries.
    pub digest: Vec<DigestEntry>,
}

/// Data about a host that does not change during the life of its process.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Profile {
    /// Name of the host.
    pub name: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Incarnation of the host's process.
    pub incarnation: u64,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers connect to.
    pub public_addresses: Vec<String>,
}

/// Request for a document.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRequest {
    /// Name of the document.
    pub name: String,
    /// Version that the requester already has, 0 for none.
    pub newer_than: u64,
}

/// Reply to a document request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DocumentReply {
    /// Name of the document.
    pub name: String,
    /// Version that the sender has, 0 for none.
    pub version: u64,
    /// Content, `None` if the sender has no version newer than the requester's.
    pub bytes: Option<Vec<u8>>,
}

/// Request for a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ChunkRequest {
    /// SHA-256 of the chunk in hexadecimal.
    pub sha256: String,
}

/// Reply to a chunk request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ChunkReply {
    /// SHA-256 of the chunk in hexadecimal.
    pub sha256: String,
    /// Content, `None` if the sender does not have the chunk.
    pub bytes: Option<Vec<u8>>,
}

/// States of hosts in zones other than the receiver's.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// One entry per host whose process the sender knows.
    pub entries: Vec<DigestEntry>,
}

/// State of one host in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DigestEntry {
    /// Hash of name and incarnation, short because a digest may contain hundreds of entries.
    pub id: u32,
    /// State of the host as the sender evaluates it.
    pub state: MemberState,
    /// Load in percent, quantized so that small changes do not cause updates.
    pub load_percent: u8,
}

impl Message {
    /// Kinds of this crate's messages; the transport passes frames of these kinds to
    /// [`Message::decode`].
    pub const KINDS: std::ops::RangeInclusive<u16> = 1..=11;

    /// Returns the kind number in frames, which is fixed for all versions of the system.
    pub fn kind(&self) -> u16 {
        match self {
            Self::Heartbeat(_) => 1,
            Self::DocumentRequest(_) => 2,
            Self::DocumentReply(_) => 3,
            Self::ChunkRequest(_) => 4,
            Self::ChunkReply(_) => 5,
            Self::DocumentVersions(_) => 6,
            Self::DocumentVersionsRequest => 7,
            Self::Digest(_) => 8,
            Self::RosterRequest => 9,
            Self::Roster(_) => 10,
            Self::DigestRequest => 11,
        }
    }

    /// Whether a later message of the same kind to the same host replaces this one.
    pub fn is_superseded_by_next(&self) -> bool {
        matches!(self, Self::Heartbeat(_))
    }

    /// Encodes the payload. Fails if it exceeds [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        let payload = match self {
            Self::Heartbeat(it) => bincode::encode_to_vec(it, CODEC),
            Self::DocumentRequest(it) => bincode::encode_to_vec(it, CODEC),
            Self::DocumentReply(it) => bincode::encode_to_vec(it, CODEC),
            Self::ChunkRequest(it) => bincode::encode_to_vec(it, CODEC),
            Self::ChunkReply(it) => bincode::encode_to_vec(it, CODEC),
            Self::DocumentVersions(it) => bincode::encode_to_vec(it, CODEC),
            Self::Digest(it) => bincode::encode_to_vec(it, CODEC),
            Self::Roster(it) => bincode::encode_to_vec(it, CODEC),
            Self::DocumentVersionsRequest | Self::RosterRequest | Self::DigestRequest => {
                Ok(Vec::new())
            }
        }?;
        if payload.len() > MAX_MESSAGE_BYTES {
            return Err(EncodeError::Other("encoded message exceeds 1 MB"));
        }
        Ok(payload)
    }

    /// Decodes a payload. Returns `None` for kinds of later versions. Trailing bytes are ignored,
    /// so that later versions can append fields.
    pub fn decode(kind: u16, payload: &[u8]) -> Result<Option<Self>, DecodeError> {
        let message = match kind {
            1 => Self::Heartbeat(decode_prefix(payload)?),
            2 => Self::DocumentRequest(decode_prefix(payload)?),
            3 => Self::DocumentReply(decode_prefix(payload)?),
            4 => Self::ChunkRequest(decode_prefix(payload)?),
            5 => Self::ChunkReply(decode_prefix(payload)?),
            6 => Self::DocumentVersions(decode_prefix(payload)?),
            7 => Self::DocumentVersionsRequest,
            8 => Self::Digest(decode_prefix(payload)?),
            9 => Self::RosterRequest,
            10 => Self::Roster(decode_prefix(payload)?),
            11 => Self::DigestRequest,
            _ => return Ok(None),
        };
        Ok(Some(message))
    }
}

/// Decodes a value from the start of a payload.
fn decode_prefix<T: Decode<()>>(payload: &[u8]) -> Result<T, DecodeError> {
    bincode::decode_from_slice(payload, CODEC).map(|it| it.0)
}
