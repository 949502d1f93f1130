//! The ledger: the platform object that records how many units of every cap each host holds.

use serde::{Deserialize, Serialize};

/// Number of units into which every cap is divided.
pub const UNITS_PER_CAP: u32 = 1_000_000;

/// Content of the platform object `quota/ledger`.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Number of joins and restarts of processes so far.
    pub generation: u64,
    /// One record per process, sorted by name and incarnation.
    pub holders: Vec<ShareRecord>,
}

/// Share of one process, which is the same fraction of every cap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// Name of the host.
    pub name: String,
    /// Address on which the process accepts peer connections. Binding it proves that the previous
    /// process with this address has ended.
    pub address: String,
    /// Number that tells the processes of a host apart and rises with each start.
    pub incarnation: u64,
    /// Units of the floor share, which has the longer lease.
    pub floor: u32,
    /// Units of the main share, which has the shorter lease.
    pub main: u32,
    /// Refresh counter, raised by every proposal of the process.
    pub counter: u64,
    /// Generation of the ledger at which the process joined.
    pub joined: u64,
    /// Generation of the ledger at the last refresh. Only processes that joined at this generation
    /// or earlier may reclaim the units of this record.
    pub acknowledged: u64,
    /// Total number of units received that requests of a former holder may still use: units of
    /// reclaimed shares, and such units moved by a handover.
    pub reclaimed: u64,
}

/// Conditional update of the ledger that the caller must write to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Object version on which the write is conditional, `None` to create the object.
    pub base_version: Option<u64>,
    /// New content of the object.
    pub ledger: Ledger,
}

/// Outcome of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The update took effect as this object version.
    Written(u64),
    /// The update did not take effect; holds the newer object version and content.
    Conflict(u64, Ledger),
    /// The response was lost or the platform was unreachable, so the update may have taken effect.
    Unknown,
}

impl Ledger {
    /// Record of a process, `None` if the ledger has none. A record may have no units.
    pub fn record(&self, name: &str, incarnation: u64) -> Option<&ShareRecord> {
        Some(&self.holders[self.position(name, incarnation).ok()?])
    }

    /// Whether the records are sorted without duplicates and hold at most [`UNITS_PER_CAP`] units
    /// in total.
    pub fn is_consistent(&self) -> bool {
        let total: u64 =
            self.holders.iter().map(|it| u64::from(it.floor) + u64::from(it.main)).sum();
        total <= u64::from(UNITS_PER_CAP) && self.holders.is_sorted_by(|a, b| a.key() < b.key())
    }

    /// Whether this ledger lacks changes of `earlier`, which was known before, because the platform
    /// was restored from a copy. Otherwise generations and refresh counters never decrease.
    pub(crate) fn is_restored_from_before(&self, earlier: &Self) -> bool {
        let has_lower_counter = |it: &ShareRecord| {
            earlier.record(&it.name, it.incarnation).is_some_and(|known| it.counter < known.counter)
        };
        self.generation < earlier.generation || self.holders.iter().any(has_lower_counter)
    }

    /// Index of the record of a process, or the index at which to insert it.
    pub(crate) fn position(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.holders.binary_search_by(|it| it.key().cmp(&(name, incarnation)))
    }
}

impl ShareRecord {
    /// Sort key of the records.
    pub(crate) fn key(&self) -> (&str, u64) {
        (&self.name, self.incarnation)
    }
}
