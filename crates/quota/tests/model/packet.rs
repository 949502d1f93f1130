//! What the hosts and the platform of the model send each other.

use kingcupford_quota::{Ledger, Message, Proposal, WriteOutcome};
use tokio::time::Instant;

/// Something on its way.
#[derive(Clone)]
pub(crate) enum Packet {
    /// A message between holders.
    Quota {
        /// Sending host.
        from: usize,
        /// The message.
        message: Message,
    },
    /// A heartbeat.
    Heartbeat {
        /// Sending host.
        from: usize,
        /// Sending process.
        incarnation: u64,
        /// Its number.
        sequence: u64,
        /// Heartbeats that the sender received.
        received: Vec<(usize, u64, u64)>,
        /// The sender's ledger.
        ledger: Option<(u64, Ledger)>,
    },
    /// A conditional update on its way to the platform.
    Write {
        /// Writing host.
        from: usize,
        /// Writing process.
        incarnation: u64,
        /// Time of sending.
        sent: Instant,
        /// The update.
        proposal: Proposal,
        /// Whether the answer will be lost.
        lost: bool,
    },
    /// The platform's answer to an update.
    Answer {
        /// The writing process.
        incarnation: u64,
        /// The answer.
        outcome: WriteOutcome,
    },
    /// A read of the ledger.
    Read,
}
