//! Which instances handled an object lately.

use std::time::Duration;

use tokio::time::Instant;

use crate::instance::InstanceKey;

/// Places of the table; two entries that share one displace each other.
const TABLE_SLOTS: usize = 8192;

/// Time after which an instance is taken to have dropped an object from its cache.
const KEPT: Duration = Duration::from_secs(30);

/// Remembers pairs of instance and object in a table of fixed size.
#[derive(Debug)]
pub(crate) struct CacheAffinity {
    /// Hash of a pair and when the instance last answered for the object.
    entries: Vec<Option<(u64, Instant)>>,
}

impl CacheAffinity {
    /// A table without entries.
    pub(crate) fn new() -> Self {
        Self { entries: vec![None; TABLE_SLOTS] }
    }

    /// Whether an instance handled an object lately.
    pub(crate) fn is_warm(&self, instance: InstanceKey, affinity_hash: u64, now: Instant) -> bool {
        let hash = pair_hash(instance, affinity_hash);
        self.entries[slot(hash)]
            .is_some_and(|it| it.0 == hash && now.saturating_duration_since(it.1) < KEPT)
    }

    /// Notes that an instance answered for an object.
    pub(crate) fn handled(&mut self, instance: InstanceKey, affinity_hash: u64, now: Instant) {
        let hash = pair_hash(instance, affinity_hash);
        self.entries[slot(hash)] = Some((hash, now));
    }
}

/// The hash of a pair.
fn pair_hash(instance: InstanceKey, affinity_hash: u64) -> u64 {
    let key = u64::from(instance.generation) << 32 | u64::from(instance.slot);
    mix(affinity_hash ^ mix(key))
}

/// The place of a hash.
fn slot(hash: u64) -> usize {
    hash as usize % TABLE_SLOTS
}

/// Spreads the bits of a value (the finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let mut res = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    res = (res ^ res >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    res = (res ^ res >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    res ^ res >> 31
}
