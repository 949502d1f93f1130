//! Connections between hosts: HTTP/2 streams over mutual TLS.

mod counters;
mod frame;
mod inbound;
mod outbound;
mod queue;
mod settings;
mod tls;
mod transport;

pub use crate::{
    counters::{Counters, KindCount},
    frame::{Frame, FrameDecoder, FrameError, MAX_FRAME_BYTES, PROTOCOL},
    settings::TransportSettings,
    transport::{PeerEvent, Transport},
};
