//! Settings of the transport.

use std::{net::SocketAddr, path::PathBuf};

/// Addresses, files, times and bounds of the transport.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// Name of this host, which its certificate must contain.
    pub host: String,
    /// Address that peers connect to.
    pub bind: SocketAddr,
    /// PEM file with the certificates of the company's own CA.
    pub ca_file: PathBuf,
    /// PEM file with the certificate chain of this host.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of this host.
    pub key_file: PathBuf,
    /// Kinds of which only the newest queued frame of a peer is of use.
    pub superseded_kinds: Vec<u16>,
    /// Most frames that wait for one peer.
    pub queue_frames: usize,
    /// Most bytes of payload that wait for one peer.
    pub queue_bytes: usize,
    /// Age at which a waiting frame is dropped instead of sent.
    pub frame_age_ms: u64,
    /// Time for connecting, the TLS handshake and the first response together.
    pub handshake_ms: u64,
    /// Time without a frame after which an outbound connection is closed; inbound ones are closed
    /// after twice this, so that the sender ends them first.
    pub idle_ms: u64,
    /// Time in which a peer must take bytes or answer a ping.
    pub stall_ms: u64,
    /// Time between two pings on an outbound connection.
    pub ping_ms: u64,
    /// Shortest wait before a connection attempt is repeated.
    pub reconnect_min_ms: u64,
    /// Longest wait before a connection attempt is repeated.
    pub reconnect_max_ms: u64,
    /// Time between two looks at the certificate files.
    pub reload_ms: u64,
    /// Time for sending what is queued when the transport is closed.
    pub close_ms: u64,
    /// Most inbound connections.
    pub connections: usize,
    /// Most inbound connections of one peer; a further one closes the oldest.
    pub connections_per_peer: usize,
    /// Seed for the jitter of repeated attempts.
    pub seed: u64,
}

impl TransportSettings {
    /// Settings of a host with the default times and bounds.
    pub fn new(
        host: &str,
        bind: SocketAddr,
        ca: PathBuf,
        certificate: PathBuf,
        key: PathBuf,
    ) -> Self {
        Self {
            host: host.to_owned(),
            bind,
            ca_file: ca,
            certificate_file: certificate,
            key_file: key,
            superseded_kinds: vec![1],
            queue_frames: 1_024,
            queue_bytes: 8 * 1024 * 1024,
            frame_age_ms: 5_000,
            handshake_ms: 5_000,
            idle_ms: 30_000,
            stall_ms: 5_000,
            ping_ms: 10_000,
            reconnect_min_ms: 50,
            reconnect_max_ms: 2_000,
            reload_ms: 10_000,
            close_ms: 1_000,
            connections: 1_200,
            connections_per_peer: 2,
            seed: 0,
        }
    }
}
