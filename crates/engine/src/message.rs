//! Messages between engines and their encoding.

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
    error::{DecodeError, EncodeError},
};
use kingcupford_rollout::{Evidence, Reason};

use crate::reports::InstanceReport;

/// Largest encoded message of this crate's own kinds.
const MAX_BYTES: usize = 1_000_000;

/// Encoding of this crate's own kinds; the limit also bounds allocations for announced lengths.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_BYTES>> =
    bincode::config::standard().with_limit::<MAX_BYTES>();

/// A message with its recipient.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Name of the receiving host.
    pub to: String,
    /// The message.
    pub message: Message,
}

/// A message between two engines; the transport carries it as kind and payload.
#[derive(Debug, Clone)]
pub enum Message {
    /// Membership and documents.
    Fleet(kingcupford_fleet::Message),
    /// Loans between holders of shares.
    Quota(kingcupford_quota::Message),
    /// Suspected and quarantined fingerprints.
    Quarantine(Vec<kingcupford_route::QuarantineUpdate>),
    /// Load reports of instances that the sender has read.
    Reports(Vec<InstanceReport>),
    /// Counters of a host's fault test.
    RolloutEvidence(Evidence),
    /// A host stopped sending requests to a new version.
    RolloutStop(RolloutStop),
}

/// Says that a host stopped sending requests to a new version.
#[derive(Debug, Clone, Encode, Decode)]
pub struct RolloutStop {
    /// Name of the service.
    pub service: String,
    /// The rollout.
    pub generation: u64,
    /// Why it stopped.
    pub reason: Reason,
}

impl Message {
    /// The kind number in frames, fixed for all versions of the system.
    pub fn kind(&self) -> u16 {
        match self {
            Self::Fleet(it) => it.kind(),
            Self::Quota(_) => 20,
            Self::Quarantine(_) => 21,
            Self::Reports(_) => 22,
            Self::RolloutEvidence(_) => 30,
            Self::RolloutStop(_) => 31,
        }
    }

    /// Whether a later message of the same kind to the same host makes this one superfluous.
    pub fn is_superseded_by_next(&self) -> bool {
        matches!(self, Self::Fleet(it) if it.is_superseded_by_next())
    }

    /// The payload of the message, an error when it is above the size limit.
    pub fn encode(&self) -> Result<Vec<u8>, EncodeError> {
        match self {
            Self::Fleet(it) => it.encode(),
            Self::Quota(it) => bincode::encode_to_vec(it, CODEC),
            Self::Quarantine(it) => bincode::encode_to_vec(it, CODEC),
            Self::Reports(it) => bincode::encode_to_vec(it, CODEC),
            Self::RolloutEvidence(it) => bincode::encode_to_vec(it, CODEC),
            Self::RolloutStop(it) => bincode::encode_to_vec(it, CODEC),
        }
    }

    /// The message of a payload, `None` for kinds of later versions; trailing bytes are ignored.
    pub fn decode(kind: u16, payload: &[u8]) -> Result<Option<Self>, DecodeError> {
        let message = match kind {
            20 => Self::Quota(decoded(payload)?),
            21 => Self::Quarantine(decoded(payload)?),
            22 => Self::Reports(decoded(payload)?),
            30 => Self::RolloutEvidence(decoded(payload)?),
            31 => Self::RolloutStop(decoded(payload)?),
            _ => return Ok(kingcupford_fleet::Message::decode(kind, payload)?.map(Self::Fleet)),
        };
        Ok(Some(message))
    }
}

/// Decodes a value from the start of a payload.
fn decoded<T: Decode<()>>(payload: &[u8]) -> Result<T, DecodeError> {
    bincode::decode_from_slice(payload, CODEC).map(|it| it.0)
}
