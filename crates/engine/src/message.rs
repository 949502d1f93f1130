//! Messages between engines and their encoding.

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
    de::Decoder,
    enc::Encoder,
    error::{DecodeError, EncodeError},
};
use kingcupford_rollout::{Evidence, Reason, RolloutKey};

use crate::reports::InstanceReport;

/// Maximum encoded size of a message that is not a [`Message::Fleet`].
const MAX_MESSAGE_BYTES: usize = 1_000_000;

/// Encoding of all messages but [`Message::Fleet`]. The size limit also bounds the memory that is
/// allocated for a length stated in a payload.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> =
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>();

/// Message with its recipient.
#[derive(Debug, Clone)]
pub struct Envelope {
    /// Name of the host that receives the message.
    pub to: String,
    /// Content that the transport encodes.
    pub message: Message,
}

/// Message between the engines of two hosts; the transport carries its kind and its payload.
#[derive(Debug, Clone)]
pub enum Message {
    /// Membership and documents, encoded by `kingcupford_fleet`.
    Fleet(kingcupford_fleet::Message),
    /// Loans of shares between hosts.
    Quota(kingcupford_quota::Message),
    /// Suspected and quarantined fingerprints.
    Quarantine(Vec<kingcupford_route::QuarantineUpdate>),
    /// Load reports of instances that the sender polled.
    Reports(Vec<InstanceReport>),
    /// Request counters of a host, with which the receiver detects faults of a new version.
    RolloutEvidence(Evidence),
    /// A host stopped sending requests to a new version.
    RolloutStop(RolloutStop),
}

/// Notification that a host stopped sending requests to the new version of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStop {
    /// Name of the service.
    pub service: String,
    /// Rollout that was stopped.
    pub rollout: RolloutKey,
    /// Reason for the stop, on which the sender acted.
    pub reason: Reason,
}

// Earlier versions of the system end a message before the start of the rollout.
impl Encode for RolloutStop {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        let RolloutKey { generation, started_unix_ms } = self.rollout;
        (&self.service, generation, &self.reason, started_unix_ms).encode(encoder)
    }
}

impl<Context> Decode<Context> for RolloutStop {
    fn decode<D: Decoder<Context = Context>>(decoder: &mut D) -> Result<Self, DecodeError> {
        let (service, generation, reason) = Decode::decode(decoder)?;
        let rollout = RolloutKey::decode_start(generation, decoder)?;
        Ok(Self { service, rollout, reason })
    }
}

impl Message {
    /// Returns the number of the kind in frames, which is fixed for all versions of the system.
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

    /// Returns whether a later message of the same kind to the same host replaces this one.
    pub fn is_superseded_by_next(&self) -> bool {
        matches!(self, Self::Fleet(it) if it.is_superseded_by_next())
    }

    /// Encodes the payload of the message. Fails if the payload exceeds the size limit.
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

    /// Decodes a payload. Returns `None` for kinds of later versions of the system and ignores
    /// trailing bytes, so that later versions can append fields.
    pub fn decode(kind: u16, payload: &[u8]) -> Result<Option<Self>, DecodeError> {
        let message = match kind {
            20 => Self::Quota(decode_prefix(payload)?),
            21 => Self::Quarantine(decode_prefix(payload)?),
            22 => Self::Reports(decode_prefix(payload)?),
            30 => Self::RolloutEvidence(decode_prefix(payload)?),
            31 => Self::RolloutStop(decode_prefix(payload)?),
            _ => return Ok(kingcupford_fleet::Message::decode(kind, payload)?.map(Self::Fleet)),
        };
        Ok(Some(message))
    }
}

/// Decodes a value from the start of a payload.
fn decode_prefix<T: Decode<()>>(payload: &[u8]) -> Result<T, DecodeError> {
    bincode::decode_from_slice(payload, CODEC).map(|it| it.0)
}
