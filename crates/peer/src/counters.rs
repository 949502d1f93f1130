//! Counters of a transport for metrics.

use std::sync::atomic::{AtomicU64, Ordering};

/// Number of frame kinds with separate counters; the last one also counts all higher kinds.
const COUNTED_KINDS: usize = 64;

/// Counters of one transport. Reads and writes are relaxed, since no decision depends on them.
#[derive(Debug)]
pub struct TransportCounters {
    /// Traffic indexed by frame kind.
    kinds: Vec<KindCounters>,
    /// Queued frames replaced by a newer frame of the same kind.
    pub frames_superseded: AtomicU64,
    /// Frames dropped because a queue was full.
    pub frames_overflowed: AtomicU64,
    /// Frames dropped because they were queued for longer than the maximum age.
    pub frames_expired: AtomicU64,
    /// Established outbound connections.
    pub connections_established: AtomicU64,
    /// Failed attempts to establish an outbound connection.
    pub connect_failures: AtomicU64,
    /// Outbound connections that broke after they were established.
    pub connections_lost: AtomicU64,
    /// Inbound connections closed because of an error, a timeout or the limit on their number.
    pub inbound_rejections: AtomicU64,
}

/// Traffic of one frame kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindTraffic {
    /// Frame kind; the highest counted kind also stands for all higher ones.
    pub kind: u16,
    /// Number of frames received.
    pub frames_received: u64,
    /// Bytes received, including length prefixes.
    pub bytes_received: u64,
    /// Number of frames sent.
    pub frames_sent: u64,
    /// Bytes sent, including length prefixes.
    pub bytes_sent: u64,
}

#[derive(Debug, Default)]
struct KindCounters {
    frames_received: AtomicU64,
    bytes_received: AtomicU64,
    frames_sent: AtomicU64,
    bytes_sent: AtomicU64,
}

impl TransportCounters {
    pub(crate) fn new() -> Self {
        Self {
            kinds: (0..COUNTED_KINDS).map(|_| KindCounters::default()).collect(),
            frames_superseded: AtomicU64::new(0),
            frames_overflowed: AtomicU64::new(0),
            frames_expired: AtomicU64::new(0),
            connections_established: AtomicU64::new(0),
            connect_failures: AtomicU64::new(0),
            connections_lost: AtomicU64::new(0),
            inbound_rejections: AtomicU64::new(0),
        }
    }

    /// Traffic of each kind with at least one frame sent or received, sorted by kind.
    pub fn traffic_by_kind(&self) -> Vec<KindTraffic> {
        let traffic = self.kinds.iter().enumerate().map(|(kind, it)| KindTraffic {
            kind: u16::try_from(kind).expect("COUNTED_KINDS fits into u16"),
            frames_received: it.frames_received.load(Ordering::Relaxed),
            bytes_received: it.bytes_received.load(Ordering::Relaxed),
            frames_sent: it.frames_sent.load(Ordering::Relaxed),
            bytes_sent: it.bytes_sent.load(Ordering::Relaxed),
        });
        traffic.filter(|it| it.frames_received + it.frames_sent > 0).collect()
    }

    pub(crate) fn record_received(&self, kind: u16, size_bytes: usize) {
        let counters = self.kind_counters(kind);
        add(&counters.frames_received, 1);
        add(&counters.bytes_received, size_bytes as u64);
    }

    pub(crate) fn record_sent(&self, kind: u16, size_bytes: usize) {
        let counters = self.kind_counters(kind);
        add(&counters.frames_sent, 1);
        add(&counters.bytes_sent, size_bytes as u64);
    }

    fn kind_counters(&self, kind: u16) -> &KindCounters {
        &self.kinds[usize::from(kind).min(COUNTED_KINDS - 1)]
    }
}

pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
