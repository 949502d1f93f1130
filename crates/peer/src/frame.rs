//! Frames and their encoding on a stream.

use std::fmt;

use bincode::{
    Decode, Encode,
    config::{Configuration, Limit, LittleEndian, Varint},
};
use bytes::{Buf as _, BufMut as _, BytesMut};

/// Protocol version in the frames that this process sends.
pub const PROTOCOL_VERSION: u16 = 1;

/// Maximum size of an encoded frame, without its length prefix.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;

/// Size of the length prefix of a frame: a big-endian `u32`.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Encoding of frames. The limit also bounds what the decoder allocates for a length that a peer
/// declares.
const CODEC: Configuration<LittleEndian, Varint, Limit<MAX_FRAME_BYTES>> =
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>();

/// A message between two hosts. Receivers skip frames of an unknown kind and ignore trailing bytes
/// of payloads, so that hosts with different versions of the system can communicate.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Frame {
    /// Protocol version of the sender.
    pub protocol_version: u16,
    /// Type of the message in the payload.
    pub kind: u16,
    /// The encoded message.
    pub payload: Vec<u8>,
}

/// Splits the bytes of a stream into frames.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    /// Received bytes that are not decoded yet.
    buffer: BytesMut,
}

/// Error of encoding or decoding a frame. A stream cannot be decoded any further after an error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// A frame to be sent, or the length prefix of a received one, exceeds [`MAX_FRAME_BYTES`].
    TooLarge {
        /// Size of the frame; for a payload that exceeds the limit by itself, size of the payload.
        size_bytes: usize,
    },
    /// The codec failed on a frame.
    Malformed {
        /// Error message of the codec.
        reason: String,
    },
    /// The stream ended inside a frame.
    Truncated,
}

impl Frame {
    /// Creates a frame with this process's protocol version.
    pub fn new(kind: u16, payload: Vec<u8>) -> Self {
        Self { protocol_version: PROTOCOL_VERSION, kind, payload }
    }

    /// Appends the length prefix and the encoded frame to a buffer, and returns the number of bytes
    /// appended. Fails without a change to the buffer if the frame exceeds [`MAX_FRAME_BYTES`].
    pub fn encode_to(&self, buffer: &mut BytesMut) -> Result<usize, FrameError> {
        // The payload is checked before encoding, so that an oversized one is never copied.
        if self.payload.len() >= MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: self.payload.len() });
        }
        let bytes = bincode::encode_to_vec(self, CODEC)
            .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: bytes.len() });
        }
        let length = u32::try_from(bytes.len()).expect("MAX_FRAME_BYTES fits into u32");
        buffer.put_u32(length);
        buffer.put_slice(&bytes);
        Ok(LENGTH_PREFIX_BYTES + bytes.len())
    }
}

impl FrameDecoder {
    /// Appends bytes received from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next frame and returns it with its size on the stream in bytes, including the
    /// length prefix. Returns `None` while the frame is incomplete.
    pub fn next_frame(&mut self) -> Result<Option<(Frame, usize)>, FrameError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { size_bytes: length });
        }
        if self.buffer.len() < LENGTH_PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_PREFIX_BYTES);
        let bytes = self.buffer.split_to(length);
        let (frame, _) = bincode::decode_from_slice(&bytes, CODEC)
            .map_err(|error| FrameError::Malformed { reason: error.to_string() })?;
        Ok(Some((frame, LENGTH_PREFIX_BYTES + length)))
    }

    /// Checks at the end of the stream that no frame is incomplete.
    pub fn finish(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::Truncated) }
    }
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { size_bytes } => {
                write!(
                    f,
                    "frame of {size_bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"
                )
            }
            Self::Malformed { reason } => write!(f, "malformed frame: {reason}"),
            Self::Truncated => write!(f, "frame truncated by the end of the stream"),
        }
    }
}

impl std::error::Error for FrameError {}
