//! The platform object that records which host holds how many units of every cap.

use serde::{Deserialize, Serialize};

/// Units of a whole cap.
pub const UNITS_PER_CAP: u32 = 1_000_000;

/// The content of `quota/ledger`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of joins and restarts so far; the latest one has this number.
    pub generation: u64,
    /// The records sorted by name and incarnation.
    pub holders: Vec<ShareRecord>,
}

/// The share of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Name of the host.
    pub name: String,
    /// Address on which the process accepts peers; binding it proves that its predecessor is gone.
    pub address: String,
    /// The process of the host.
    pub incarnation: u64,
    /// Units under the floor lease.
    pub floor: u32,
    /// Units under the main lease.
    pub main: u32,
    /// Raised by every refresh of the holder.
    pub counter: u64,
    /// The ledger's generation when the process joined.
    pub joined: u64,
    /// The ledger's generation at the last refresh; only owners that joined by then may reclaim.
    pub acknowledged: u64,
    /// Units ever received from reclaimed shares.
    pub reclaimed: u64,
}

/// A conditional update of the ledger that the caller has to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Object version that must be current for the write, `None` for a create.
    pub base_version: Option<u64>,
    /// The new content.
    pub ledger: Ledger,
}

/// What became of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect as this object version.
    Written(u64),
    /// It did not take effect; the newer object version and content.
    Conflict(u64, Ledger),
    /// The answer was lost, or the platform could not be reached.
    Unknown,
}

impl Ledger {
    /// The record of one process.
    pub fn record(&self, name: &str, incarnation: u64) -> Option<&ShareRecord> {
        Some(&self.holders[self.position(name, incarnation).ok()?])
    }

    /// Whether the records are sorted and hold no more than the whole cap.
    pub fn is_consistent(&self) -> bool {
        let total: u64 =
            self.holders.iter().map(|it| u64::from(it.floor) + u64::from(it.main)).sum();
        total <= u64::from(UNITS_PER_CAP) && self.holders.is_sorted_by(|a, b| a.key() < b.key())
    }

    /// Where the record of a process stands, or would stand.
    pub(crate) fn position(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.holders.binary_search_by(|it| it.key().cmp(&(name, incarnation)))
    }
}

impl ShareRecord {
    /// What the records are sorted by.
    pub(crate) fn key(&self) -> (&str, u64) {
        (&self.name, self.incarnation)
    }
}
