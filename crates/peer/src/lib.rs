//! Connections between hosts: frames on HTTP/2 streams over mutual TLS.

mod counters;
mod frame;
mod frame_queue;
mod inbound;
mod outbound;
mod settings;
mod tls;
mod transport;

pub use crate::{
    counters::{KindTraffic, TransportCounters},
    frame::{Frame, FrameDecoder, FrameError, MAX_FRAME_BYTES, PROTOCOL_VERSION},
    settings::TransportSettings,
    transport::{PeerEvent, Transport},
};
