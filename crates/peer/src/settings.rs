//! Settings of a transport.

use std::{net::SocketAddr, path::PathBuf};

/// Listen address, certificate files, timeouts and limits of a transport.
#[derive(Debug, Clone)]
pub struct TransportSettings {
    /// Name of this host; a DNS name that its certificate must be valid for.
    pub host_name: String,
    /// Address of the listener for inbound connections.
    pub listen_address: SocketAddr,
    /// PEM file with the CA certificates that peers' certificates are verified against.
    pub ca_file: PathBuf,
    /// PEM file with the certificate chain of this host.
    pub certificate_file: PathBuf,
    /// PEM file with the private key of this host.
    pub key_file: PathBuf,
    /// Frame kinds of which only the newest queued frame is sent to a peer.
    pub latest_only_kinds: Vec<u16>,
    /// Maximum number of frames queued for one peer.
    pub max_queue_frames: usize,
    /// Maximum size of the payloads queued for one peer; a single frame may exceed it.
    pub max_queue_bytes: usize,
    /// Age at which a queued frame is dropped instead of sent.
    pub max_frame_age_ms: u64,
    /// Timeout for establishing a connection: TCP connect, TLS and HTTP/2 handshakes and the
    /// response to the request that opens the stream. For inbound connections, timeout for the
    /// handshakes and again for the first stream.
    pub handshake_timeout_ms: u64,
    /// Time without a sent frame after which an outbound connection is closed. Inbound streams time
    /// out after twice this time, so that the sender closes an idle connection first.
    pub idle_timeout_ms: u64,
    /// Time within which a peer must grant flow-control capacity or acknowledge a ping.
    pub stall_timeout_ms: u64,
    /// Interval of keep-alive pings on an outbound connection.
    pub ping_interval_ms: u64,
    /// Initial backoff between connection attempts, doubled after each failure. The actual delay
    /// is between half the backoff and the backoff.
    pub reconnect_backoff_min_ms: u64,
    /// Maximum backoff between connection attempts.
    pub reconnect_backoff_max_ms: u64,
    /// Interval at which the certificate files are checked for changes.
    pub certificate_reload_interval_ms: u64,
    /// Time for sending the queued frames when the transport is closed.
    pub close_timeout_ms: u64,
    /// Maximum number of open inbound connections.
    pub max_inbound_connections: usize,
    /// Maximum number of inbound connections from one peer; a further one closes the oldest.
    pub max_inbound_connections_per_peer: usize,
    /// Seed of the jitter of the reconnection backoff.
    pub jitter_seed: u64,
}

impl TransportSettings {
    /// Creates settings with the default timeouts and limits. Only frames of kind 1, the
    /// heartbeats, are latest-only.
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
