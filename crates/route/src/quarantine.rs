//! Quarantine of requests that crash the upstreams that run them.

use bincode::{Decode, Encode};
use tokio::time::Instant;

/// Bytes of the body that a fingerprint takes in.
pub(crate) const FIRST_BYTES: usize = 256;

/// A value by which equal requests are recognised on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(
    /// The value.
    pub u64,
);

/// What a host tells its peers about a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Announcement {
    /// It coincided with a lost connection at an instance.
    Suspicion {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Name of the instance.
        instance: String,
    },
    /// It is quarantined.
    Quarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Names of the instances that were lost.
        instances: Vec<String>,
        /// Time until the quarantine ends.
        remaining_ms: u64,
    },
    /// Its losses turned out to be those of another fingerprint.
    Cleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// Nothing against it.
    Clear,
    /// It coincided with one lost instance and must not be retried after a broken connection.
    Suspect,
    /// It must not run.
    Quarantined {
        /// When it may run again.
        until: Instant,
    },
}

/// Fingerprints that coincided with lost connections, and those that are blocked.
#[derive(Debug, Default)]
pub struct Quarantine {}

impl Quarantine {
    /// A quarantine without any fingerprint.
    pub fn new() -> Self {
        Self::default()
    }

    /// The fingerprint of a request; only the leading bytes of the body are taken in.
    pub fn fingerprint(
        tenant: &str,
        method: &str,
        path: &str,
        length: Option<u64>,
        first_bytes: &[u8],
    ) -> Fingerprint {
        let _ = (tenant, method, path, length, &first_bytes[..first_bytes.len().min(FIRST_BYTES)]);
        Fingerprint(0)
    }

    /// What is known of a fingerprint.
    pub fn check(&self, fingerprint: Fingerprint, now: Instant) -> Check {
        let _ = (fingerprint, now);
        Check::Clear
    }

    /// Records that the connection to an instance was lost while it ran the request.
    pub fn lost(&mut self, fingerprint: Fingerprint, instance: &str, now: Instant) {
        let _ = (fingerprint, instance, now);
    }

    /// Records that an instance answered the request.
    pub fn succeeded(&mut self, fingerprint: Fingerprint, now: Instant) {
        let _ = (fingerprint, now);
    }

    /// Takes a peer's announcement.
    pub fn receive(&mut self, announcement: &Announcement, now: Instant) {
        let _ = (announcement, now);
    }

    /// The announcements to send to all peers since the last call.
    pub fn drain_announcements(&mut self) -> Vec<Announcement> {
        Vec::new()
    }

    /// The running quarantines, for a peer that joined.
    pub fn standing(&self, now: Instant) -> Vec<Announcement> {
        let _ = now;
        Vec::new()
    }
}
