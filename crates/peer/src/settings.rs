//! Settings of the transport.

use std::{net::SocketAddr, path::PathBuf};

/// Addresses, files, times and bounds of the transport.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// Name of this host, which its certificate must contain.
    pub host_name: String,
    /// Address that peers connect to.
    pub listen_address: SocketAddr,
    /// PEM file with the certificates of the company's own CA.
    pub ca_file: PathBuf,
    /// PEM file with the certificate chain of this host.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of this host.
    pub key_file: PathBuf,
    /// Kinds of which only the newest queued frame of a peer is of use.
    pub latest_only_kinds: Vec<u16>,
    /// Most frames that wait for one peer.
    pub max_queue_frames: usize,
    /// Most bytes of payload that wait for one peer.
    pub max_queue_bytes: usize,
    /// Age at which a waiting frame is dropped instead of sent.
    pub max_frame_age_ms: u64,
    /// Time for connecting, the TLS handshake and the first response together.
    pub handshake_timeout_ms: u64,
    /// Time without a frame after which an outbound connection is closed; inbound ones are closed
    /// after twice this, so that the sender ends them first.
    pub idle_timeout_ms: u64,
    /// Time in which a peer must take bytes or answer a ping.
    pub stall_timeout_ms: u64,
    /// Time between two pings on an outbound connection.
    pub ping_interval_ms: u64,
    /// Shortest wait before a connection attempt is repeated.
    pub reconnect_backoff_min_ms: u64,
    /// Longest wait before a connection attempt is repeated.
    pub reconnect_backoff_max_ms: u64,
    /// Time between two looks at the certificate files.
    pub certificate_reload_interval_ms: u64,
    /// Time for sending what is queued when the transport is closed.
    pub close_timeout_ms: u64,
    /// Most inbound connections.
    pub max_inbound_connections: usize,
    /// Most inbound connections of one peer; a further one closes the oldest.
    pub max_inbound_connections_per_peer: usize,
    /// Seed for the jitter of repeated attempts.
    pub jitter_seed: u64,
}

impl TransportSettings {
    /// Settings of a host with the default times and bounds.
    pub fn new(
        host_name: &str,
        listen_address: SocketAddr,
        ca_file: PathBuf,
        certificate_file: PathBuf,
        key_file: PathBuf,
    ) -> Self {
        Self {
            host_name: host_name.to_owned(),
            listen_address,
            ca_file,
            certificate_file,
            key_file,
            latest_only_kinds: vec![1],
            max_queue_frames: 1_024,
            max_queue_bytes: 8 * 1024 * 1024,
            max_frame_age_ms: 5_000,
            handshake_timeout_ms: 5_000,
            idle_timeout_ms: 30_000,
            stall_timeout_ms: 5_000,
            ping_interval_ms: 10_000,
            reconnect_backoff_min_ms: 50,
            reconnect_backoff_max_ms: 2_000,
            certificate_reload_interval_ms: 10_000,
            close_timeout_ms: 1_000,
            max_inbound_connections: 1_200,
            max_inbound_connections_per_peer: 2,
            jitter_seed: 0,
        }
    }
}
