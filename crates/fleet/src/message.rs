//! Messages between fleets and their encoding.

use std::net::SocketAddr;

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};

use crate::member::MemberState;

/// Largest encoded message; a frame between hosts holds at most one megabyte.
pub const MAX_MESSAGE_BYTES: usize = 1_000_000;

/// Encoding of all messages; the limit also bounds allocations for announced lengths.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// A message between two fleets; the transport carries it as kind and payload.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Sign of life with everything that changes often.
    Heartbeat(Heartbeat),
    /// Asks for a document that is newer than the asker's.
    DocumentRequest(DocumentRequest),
    /// Answers a document request.
    DocumentReply(DocumentReply),
    /// Asks for a chunk.
    ChunkRequest(ChunkRequest),
    /// Answers a chunk request.
    ChunkReply(ChunkReply),
    /// Names the versions of documents that the sender has.
    DocumentVersions(Vec<(String, u64)>),
    /// Asks for `DocumentVersions`.
    DocumentVersionsRequest,
    /// Answers a digest request with a speaker's whole word.
    Digest(Digest),
    /// Asks a speaker for a digest.
    DigestRequest,
    /// Asks for the profiles of all known hosts.
    RosterRequest,
    /// Profiles of hosts.
    Roster(Vec<Profile>),
}

/// Sign of life of one host to one other.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Start of the sender's process.
    pub incarnation: u64,
    /// Number of the heartbeat, raised with each beat and equal for all receivers of one beat.
    pub sequence: u64,
    /// What the sender says about itself.
    pub state: MemberState,
    /// Whether the sender only answers a heartbeat; it asks for no answer then.
    pub is_reply: bool,
    /// Load of the sender, 1,000 for fully used.
    pub load_permille: u16,
    /// Start of the receiver's process that the sender heard last, 0 for none.
    pub ack_incarnation: u64,
    /// Sequence last heard from the receiver, by which it learns that it was heard.
    pub ack_sequence: u64,
    /// Whether the sender itself reached the platform lately.
    pub reaches_platform: bool,
    /// Other zones that the sender itself heard lately.
    pub reachable_zones: u16,
    /// Hash of all names and versions of documents.
    pub documents_hash: u64,
    /// Names and versions of documents, left out while the receiver's hash is equal.
    pub document_versions: Vec<(String, u64)>,
    /// Hosts of the sender's zone whose connection failed since they were heard.
    pub unreachable_peers: Vec<String>,
    /// Data about the sender that does not change, left out once the receiver has it.
    pub profile: Option<Profile>,
    /// Small sums of other crates, by kind.
    pub sections: Vec<(u16, Vec<u8>)>,
    /// A speaker's word about hosts that the receiver does not hear itself, where it changed; sent
    /// with heartbeats, since a frame of its own costs more than its content.
    pub digest: Vec<DigestEntry>,
}

/// What does not change during the life of a process.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Profile {
    /// Name of the host.
    pub name: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Start of its process.
    pub incarnation: u64,
    /// Address for messages between hosts.
    pub peer_address: SocketAddr,
    /// Addresses that callers use.
    pub public_addresses: Vec<String>,
}

/// Asks for a document.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DocumentRequest {
    /// Name of the document.
    pub name: String,
    /// Version that the asker has; only a newer one is of use.
    pub newer_than: u64,
}

/// Answers a document request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DocumentReply {
    /// Name of the document.
    pub name: String,
    /// Version of the content.
    pub version: u64,
    /// Content, `None` when the sender has none newer than the asked version.
    pub bytes: Option<Vec<u8>>,
}

/// Asks for a chunk.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ChunkRequest {
    /// SHA-256 of the chunk in hexadecimal.
    pub sha256: String,
}

/// Answers a chunk request.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ChunkReply {
    /// SHA-256 of the chunk in hexadecimal.
    pub sha256: String,
    /// Content, `None` when the sender does not have it.
    pub bytes: Option<Vec<u8>>,
}

/// States of hosts of other zones.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Digest {
    /// One entry for each host.
    pub entries: Vec<DigestEntry>,
}

/// State of one host in a digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub struct DigestEntry {
    /// Hash of name and incarnation, short because digests hold hundreds of them.
    pub id: u32,
    /// State in the sender's view.
    pub state: MemberState,
    /// Load in percent, coarse so that small changes cause no message.
    pub load_percent: u8,
}

impl Message {
    /// Kinds that the fleet uses; a transport hands frames of these kinds to [`Message::decode`].
    pub const KINDS: std::ops::RangeInclusive<u16> = 1..=11;

    /// The kind number in frames, fixed for all versions of the system.
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

    /// Whether a later message of the same kind to the same host makes this one superfluous.
    pub fn is_superseded_by_next(&self) -> bool {
        matches!(self, Self::Heartbeat(_))
    }

    /// The payload of the message, an error when it is above the size limit.
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
            return Err(EncodeError::Other("message is above the size limit"));
        }
        Ok(payload)
    }

    /// The message of a payload, `None` for kinds of later versions; trailing bytes are ignored.
    pub fn decode(kind: u16, payload: &[u8]) -> Result<Option<Self>, DecodeError> {
        let message = match kind {
            1 => Self::Heartbeat(decoded(payload)?),
            2 => Self::DocumentRequest(decoded(payload)?),
            3 => Self::DocumentReply(decoded(payload)?),
            4 => Self::ChunkRequest(decoded(payload)?),
            5 => Self::ChunkReply(decoded(payload)?),
            6 => Self::DocumentVersions(decoded(payload)?),
            7 => Self::DocumentVersionsRequest,
            8 => Self::Digest(decoded(payload)?),
            9 => Self::RosterRequest,
            10 => Self::Roster(decoded(payload)?),
            11 => Self::DigestRequest,
            _ => return Ok(None),
        };
        Ok(Some(message))
    }
}

/// Decodes a value from the start of a payload.
fn decoded<T: Decode<()>>(payload: &[u8]) -> Result<T, DecodeError> {
    bincode::decode_from_slice(payload, CODEC).map(|it| it.0)
}
