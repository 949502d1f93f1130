//! Frames and their encoding on a stream.

use std::fmt;

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
};
use bytes::{Buf as _, BufMut as _, BytesMut};

/// Version of the protocol that this process sends.
pub const PROTOCOL_VERSION: u16 = 1;

/// Largest encoded frame without its length.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size of the length in front of each frame.
const LENGTH_BYTES: usize = 4;

/// Encoding of frames; the limit also bounds allocations for announced lengths.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// One message between two hosts. Receivers skip unknown kinds and ignore trailing bytes of
/// payloads, so two versions of the system can run together.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Frame {
    /// Version of the sender's protocol.
    pub protocol_version: u16,
    /// What the payload is.
    pub kind: u16,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// Cuts the bytes of a stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// Bytes of frames that are not complete.
    buffer: BytesMut,
}

/// Why the bytes of a stream are not frames; the stream cannot be read on after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// A frame is announced or given that is larger than the limit.
    TooLarge {
        /// The size.
        size_bytes: usize,
    },
    /// The bytes of a frame do not decode.
    Malformed {
        /// What the codec reports.
        reason: String,
    },
    /// The stream ended inside a frame.
    Truncated,
}

impl Frame {
    /// A frame of this process's protocol.
    pub fn new(kind: u16, payload: Vec<u8>) -> Self {
        Self { protocol_version: PROTOCOL_VERSION, kind, payload }
    }

    /// Appends the frame with its length and answers the number of bytes.
    pub fn encode_to(&self, buffer: &mut BytesMut) -> Result<usize, FrameError> {
        // Checked first, so that a payload of any size is refused without being copied.
        if self.payload.len() >= MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: self.payload.len() });
        }
        let bytes = bincode::encode_to_vec(self, CODEC)
            .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: bytes.len() });
        }
        let length = u32::try_from(bytes.len()).expect("the limit is far below 4 GB");
        buffer.put_u32(length);
        buffer.put_slice(&bytes);
        Ok(LENGTH_BYTES + bytes.len())
    }
}

impl FrameDecoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next complete frame with its size on the stream, `None` while bytes are missing.
    pub fn next_frame(&mut self) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: length });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let bytes = self.buffer.split_to(length);
        let (frame, _) = bincode::decode_from_slice(&bytes, CODEC)
            .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;
        Ok(Some((frame, LENGTH_BYTES + length)))
    }

    /// Checks that the stream did not end inside a frame.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::Truncated) }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size_bytes } => {
                write!(f, "frame of {size_bytes} bytes is above the limit of {MAX_FRAME_BYTES}")
            }
            Self::Malformed { reason } => write!(f, "frame does not decode: {reason}"),
            Self::Truncated => write!(f, "stream ended inside a frame"),
        }
    }
}

impl std::error::Error for FrameError {}
