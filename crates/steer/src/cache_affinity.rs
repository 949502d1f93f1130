//! Cache affinity: which instances recently responded for an affinity key.

use std::time::Duration;

use tokio::time::Instant;

use crate::instance::InstanceKey;

/// Number of table slots. Two pairs that hash to the same slot evict each other.
const TABLE_SIZE: usize = 8192;

/// Time after which an instance is assumed to have evicted the data of a key from its cache.
const CACHE_RETENTION: Duration = Duration::from_secs(30);

/// Fixed-size table of recent pairs of instance and affinity key.
#[derive(Debug)]
pub(crate) struct CacheAffinity {
    entries: Vec<Option<Entry>>,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    pair_hash: u64,
    /// First of the responses that each followed the previous one within the cache retention.
    first_response_at: Instant,
    last_response_at: Instant,
}

impl CacheAffinity {
    pub(crate) fn new() -> Self {
        Self { entries: vec![None; TABLE_SIZE] }
    }

    /// Whether an instance responded for a key within the cache retention.
    pub(crate) fn is_warm(&self, instance: InstanceKey, affinity_hash: u64, now: Instant) -> bool {
        self.warm_since(instance, affinity_hash, now).is_some()
    }

    /// Time since which an instance has had the data of a key in its cache; `None` if it has not
    /// responded for the key within the cache retention.
    pub(crate) fn warm_since(
        &self,
        instance: InstanceKey,
        affinity_hash: u64,
        now: Instant,
    ) -> Option<Instant> {
        let hash = pair_hash(instance, affinity_hash);
        let entry = self.entries[table_slot(hash)].filter(|it| it.pair_hash == hash)?;
        let age = now.saturating_duration_since(entry.last_response_at);
        (age < CACHE_RETENTION).then_some(entry.first_response_at)
    }

    pub(crate) fn record_response(
        &mut self,
        instance: InstanceKey,
        affinity_hash: u64,
        now: Instant,
    ) {
        let first_response_at = self.warm_since(instance, affinity_hash, now).unwrap_or(now);
        let pair_hash = pair_hash(instance, affinity_hash);
        self.entries[table_slot(pair_hash)] =
            Some(Entry { pair_hash, first_response_at, last_response_at: now });
    }
}

fn pair_hash(instance: InstanceKey, affinity_hash: u64) -> u64 {
    let key = u64::from(instance.generation) << 32 | u64::from(instance.slot);
    mix(affinity_hash ^ mix(key))
}

fn table_slot(hash: u64) -> usize {
    hash as usize % TABLE_SIZE
}

/// Mixes the bits of a value (finalizer of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let mut res = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    res = (res ^ res >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    res = (res ^ res >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    res ^ res >> 31
}
