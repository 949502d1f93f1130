//! Messages between the hosts and the platform of the simulation.

use kingcupford_quota::{Ledger, Message, Proposal, WriteOutcome};
use tokio::time::Instant;

/// A message in flight.
#[derive(Clone)]
pub(crate) enum Packet {
    /// A message between holders.
    Message {
        /// Index of the sending host.
        from: usize,
        message: Message,
    },
    /// A heartbeat.
    Heartbeat {
        /// Index of the sending host.
        from: usize,
        incarnation: u64,
        sequence: u64,
        /// Latest heartbeats received by the sender: host index, incarnation, sequence number.
        received: Vec<(usize, u64, u64)>,
        /// Version and content of the newest ledger known to the sender.
        ledger: Option<(u64, Ledger)>,
    },
    /// A conditional update of the ledger.
    Write {
        /// Index of the writing host.
        from: usize,
        incarnation: u64,
        sent_at: Instant,
        proposal: Proposal,
        response_lost: bool,
    },
    /// The response of the platform to an update.
    WriteResponse { incarnation: u64, outcome: WriteOutcome },
    /// A read of the ledger.
    ReadLedger,
}
