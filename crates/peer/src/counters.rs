//! Counters that metrics read.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds that are counted one by one; higher ones share the last counter.
const COUNTED_KINDS: usize = 64;

/// Counters of one transport; reads and writes are relaxed, since no decision depends on them.
#[derive(Debug)]
pub struct TransportCounters {
    /// Traffic by kind.
    kinds: Vec<KindCounters>,
    /// Frames dropped because a newer one of their kind was queued.
    pub frames_superseded: AtomicU64,
    /// Frames dropped because a queue was full.
    pub frames_overflowed: AtomicU64,
    /// Frames dropped because they waited too long.
    pub frames_expired: AtomicU64,
    /// Outbound connections that were established.
    pub connections_established: AtomicU64,
    /// Outbound connection attempts that did not succeed.
    pub connect_failures: AtomicU64,
    /// Outbound connections that broke.
    pub connections_lost: AtomicU64,
    /// Inbound connections ended for breaking the protocol or a limit.
    pub inbound_rejections: AtomicU64,
}

/// Traffic of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindTraffic {
    /// The kind; the highest one stands for itself and all above.
    pub kind: u16,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Frames sent.
    pub frames_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
}

/// Counters of one kind.
#[derive(Debug, Default)]
struct KindCounters {
    /// Frames received.
    frames_received: AtomicU64,
    /// Bytes received.
    bytes_received: AtomicU64,
    /// Frames sent.
    frames_sent: AtomicU64,
    /// Bytes sent.
    bytes_sent: AtomicU64,
}

impl TransportCounters {
    /// Counters at zero.
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

    /// Traffic of all kinds that occurred.
    pub fn traffic_by_kind(&self) -> Vec<KindTraffic> {
        let counts = self.kinds.iter().enumerate().map(|(kind, it)| KindTraffic {
            kind: u16::try_from(kind).expect("few kinds are counted"),
            frames_received: it.frames_received.load(Ordering::Relaxed),
            bytes_received: it.bytes_received.load(Ordering::Relaxed),
            frames_sent: it.frames_sent.load(Ordering::Relaxed),
            bytes_sent: it.bytes_sent.load(Ordering::Relaxed),
        });
        counts.filter(|it| it.frames_received + it.frames_sent > 0).collect()
    }

    /// Counts a received frame.
    pub(crate) fn count_in(&self, kind: u16, size_bytes: usize) {
        let counters = self.of_kind(kind);
        add(&counters.frames_received, 1);
        add(&counters.bytes_received, size_bytes as u64);
    }

    /// Counts a sent frame.
    pub(crate) fn count_out(&self, kind: u16, size_bytes: usize) {
        let counters = self.of_kind(kind);
        add(&counters.frames_sent, 1);
        add(&counters.bytes_sent, size_bytes as u64);
    }

    /// The counters of a kind.
    fn of_kind(&self, kind: u16) -> &KindCounters {
        &self.kinds[usize::from(kind).min(COUNTED_KINDS - 1)]
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, count: u64) {
    counter.fetch_add(count, Ordering::Relaxed);
}
