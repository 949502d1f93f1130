//! Counters that metrics read.

use std::sync::atomic::{AtomicU64, Ordering};

/// Kinds that are counted one by one; higher ones share the last counter.
const COUNTED_KINDS: usize = 64;

/// Counters of one transport; reads and writes are relaxed, since no decision depends on them.
#[derive(Debug)]
pub struct Counters {
    /// Traffic by kind.
    kinds: Vec<KindCounters>,
    /// Frames dropped because a newer one of their kind was queued.
    pub superseded: AtomicU64,
    /// Frames dropped because a queue was full.
    pub overflowed: AtomicU64,
    /// Frames dropped because they waited too long.
    pub expired: AtomicU64,
    /// Outbound connections that were established.
    pub connected: AtomicU64,
    /// Outbound connection attempts that did not succeed.
    pub refused: AtomicU64,
    /// Outbound connections that broke.
    pub failed: AtomicU64,
    /// Inbound connections ended for breaking the protocol or a limit.
    pub rejected: AtomicU64,
}

/// Traffic of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindCount {
    /// The kind; the highest one stands for itself and all above.
    pub kind: u16,
    /// Frames received.
    pub frames_in: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Frames sent.
    pub frames_out: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

/// Counters of one kind.
#[derive(Debug, Default)]
struct KindCounters {
    /// Frames received.
    frames_in: AtomicU64,
    /// Bytes received.
    bytes_in: AtomicU64,
    /// Frames sent.
    frames_out: AtomicU64,
    /// Bytes sent.
    bytes_out: AtomicU64,
}

impl Counters {
    /// Counters at zero.
    pub(crate) fn new() -> Self {
        Self {
            kinds: (0..COUNTED_KINDS).map(|_| KindCounters::default()).collect(),
            superseded: AtomicU64::new(0),
            overflowed: AtomicU64::new(0),
            expired: AtomicU64::new(0),
            connected: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
        }
    }

    /// Traffic of all kinds that occurred.
    pub fn kinds(&self) -> Vec<KindCount> {
        let counts = self.kinds.iter().enumerate().map(|(kind, it)| KindCount {
            kind: u16::try_from(kind).expect("few kinds are counted"),
            frames_in: it.frames_in.load(Ordering::Relaxed),
            bytes_in: it.bytes_in.load(Ordering::Relaxed),
            frames_out: it.frames_out.load(Ordering::Relaxed),
            bytes_out: it.bytes_out.load(Ordering::Relaxed),
        });
        counts.filter(|it| it.frames_in + it.frames_out > 0).collect()
    }

    /// Counts a received frame.
    pub(crate) fn count_in(&self, kind: u16, size_bytes: usize) {
        let counters = self.of_kind(kind);
        add(&counters.frames_in, 1);
        add(&counters.bytes_in, size_bytes as u64);
    }

    /// Counts a sent frame.
    pub(crate) fn count_out(&self, kind: u16, size_bytes: usize) {
        let counters = self.of_kind(kind);
        add(&counters.frames_out, 1);
        add(&counters.bytes_out, size_bytes as u64);
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
