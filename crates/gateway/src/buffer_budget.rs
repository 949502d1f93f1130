//! Budget for the bytes of bodies that are buffered in all exchanges together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::{Bytes, BytesMut};

/// Bytes that are buffered now, shared by all reservations.
#[derive(Debug, Clone, Default)]
pub(crate) struct BufferBudget {
    used_bytes: Arc<AtomicUsize>,
}

/// Part of the budget that one body takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: BufferBudget,
    bytes: usize,
}

/// Buffered bytes with their reservation.
struct ReservedBytes {
    bytes: BytesMut,
    _reservation: Reservation,
}

impl BufferBudget {
    /// Starts a reservation of no bytes.
    pub(crate) fn reservation(&self) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }
}

impl Reservation {
    /// Grows to `bytes`, unless all reservations together would exceed `max_bytes`. Returns whether
    /// it has grown.
    pub(crate) fn grow_to(&mut self, bytes: usize, max_bytes: usize) -> bool {
        let added_bytes = bytes.saturating_sub(self.bytes);
        let used_bytes = self.budget.used_bytes.load(Ordering::Relaxed);
        if added_bytes > max_bytes.saturating_sub(used_bytes) {
            return false;
        }
        self.budget.used_bytes.fetch_add(added_bytes, Ordering::Relaxed);
        self.bytes += added_bytes;
        true
    }

    /// Converts the bytes of the body; the reservation lasts until the last of them was sent.
    pub(crate) fn hold(self, bytes: BytesMut) -> Bytes {
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
