//! Transfer of a configuration's chunks from and to the platform.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use kingcupford_config::{Chunk, ChunkRef, Declarations, Head, assemble_chunks};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    backoff::Backoff,
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
};

/// Maximum number of concurrent transfers, which hides latency and stays far below the platform's
/// rate limits.
const MAX_CONCURRENT_TRANSFERS: usize = 8;

/// Prefix of the names of chunk objects.
pub(crate) const CHUNK_PREFIX: &str = "chunk/";

/// Reason why a transfer of chunks failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkError {
    /// The platform was unavailable until the deadline.
    Unavailable,
    /// A chunk is missing, does not match its hash or cannot be decoded.
    Missing,
    /// A chunk exceeds the platform's size limit.
    TooLarge,
}

/// Reads and writes the chunks of one change and caches them for its duration.
#[derive(Debug)]
pub(crate) struct ChunkStore<S> {
    store: Arc<S>,
    /// Time after which no attempt starts.
    deadline: Instant,
    /// Seed of the next transfer's backoff.
    backoff_seed: u64,
    /// Content of the chunks by hash.
    cache: BTreeMap<String, Bytes>,
}

impl<S: ObjectStore> ChunkStore<S> {
    pub(crate) fn new(store: Arc<S>, deadline: Instant, backoff_seed: u64) -> Self {
        Self { store, deadline, backoff_seed, cache: BTreeMap::new() }
    }

    /// Writes `chunks`, except those that `base` refers to, and ensures that all chunks of `head`
    /// are stored.
    ///
    /// `is_base_stored` specifies whether the chunks of `base` are known to be stored. Otherwise
    /// they are listed, and those that the store lacks are written again if their content is known.
    pub(crate) async fn write(
        &mut self,
        head: &Head,
        chunks: Vec<Chunk>,
        base: Option<&Head>,
        is_base_stored: bool,
    ) -> Result<(), ChunkError> {
        let stored_names = if is_base_stored { None } else { Some(self.list_names().await?) };
        let mut missing = Vec::new();
        for chunk in chunks {
            let bytes = Bytes::from(chunk.bytes);
            if !base.is_some_and(|it| it.chunks.contains(&chunk.reference)) {
                missing.push((chunk.reference.sha256.clone(), bytes.clone()));
            }
            self.cache.insert(chunk.reference.sha256, bytes);
        }
        if let (Some(stored_names), Some(base)) = (stored_names, base) {
            let is_lost = |it: &&ChunkRef| {
                base.chunks.contains(it)
                    && stored_names.binary_search(&chunk_name(&it.sha256)).is_err()
            };
            for reference in head.chunks.iter().filter(is_lost) {
                let bytes = self.cache.get(&reference.sha256).ok_or(ChunkError::Missing)?;
                missing.push((reference.sha256.clone(), bytes.clone()));
            }
        }
        for batch in missing.chunks(MAX_CONCURRENT_TRANSFERS) {
            let mut tasks = JoinSet::new();
            for (hash, bytes) in batch.iter().cloned() {
                let backoff = self.new_backoff();
                tasks.spawn(write_chunk(Arc::clone(&self.store), hash, bytes, backoff));
            }
            while let Some(it) = tasks.join_next().await {
                it.expect("writing a chunk does not panic")?;
            }
        }
        Ok(())
    }

    /// Lists the sorted names of the stored chunks.
    async fn list_names(&mut self) -> Result<Vec<String>, ChunkError> {
        let mut backoff = self.new_backoff();
        loop {
            let min_delay_ms = match self.store.list(CHUNK_PREFIX).await {
                CallOutcome::Value(it) => {
                    let mut res: Vec<String> = it.objects.into_iter().map(|it| it.name).collect();
                    res.sort();
                    return Ok(res);
                }
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !backoff.wait(min_delay_ms).await {
                return Err(ChunkError::Unavailable);
            }
        }
    }

    /// Caches chunks without writing them.
    pub(crate) fn cache_chunks(&mut self, chunks: Vec<Chunk>) {
        let chunks = chunks.into_iter().map(|it| (it.reference.sha256, Bytes::from(it.bytes)));
        self.cache.extend(chunks);
    }

    /// Reads the declarations in the chunks of a head.
    pub(crate) async fn read_declarations(
        &mut self,
        head: &Head,
    ) -> Result<Declarations, ChunkError> {
        let uncached = head.chunks.iter().filter(|it| !self.cache.contains_key(&it.sha256));
        let uncached: Vec<ChunkRef> = uncached.cloned().collect();
        for batch in uncached.chunks(MAX_CONCURRENT_TRANSFERS) {
            let mut tasks = JoinSet::new();
            for reference in batch.iter().cloned() {
                let backoff = self.new_backoff();
                tasks.spawn(read_chunk(Arc::clone(&self.store), reference, backoff));
            }
            while let Some(it) = tasks.join_next().await {
                let (hash, bytes) = it.expect("reading a chunk does not panic")?;
                self.cache.insert(hash, bytes);
            }
        }
        assemble_chunks(head, |it| self.cache.get(&it.sha256).map(|it| &it[..])).map_err(|error| {
            log::warn!("configuration version {} cannot be decoded: {error:#}", head.version);
            ChunkError::Missing
        })
    }

    /// Returns the backoff of one transfer, each with a different seed.
    fn new_backoff(&mut self) -> Backoff {
        self.backoff_seed = self.backoff_seed.wrapping_add(1);
        Backoff::until(self.deadline, self.backoff_seed)
    }
}

/// Returns the object name of the chunk with this hash.
pub(crate) fn chunk_name(hash: &str) -> String {
    format!("{CHUNK_PREFIX}{hash}")
}

/// Writes one chunk; an existing chunk is written again to reset its age.
///
/// A concurrent writer may be about to delete an existing chunk that the current head does not
/// refer to. Writing the chunk again changes its version, so that a deletion conditional on the
/// previous version fails.
async fn write_chunk<S: ObjectStore>(
    store: Arc<S>,
    hash: String,
    bytes: Bytes,
    mut backoff: Backoff,
) -> Result<(), ChunkError> {
    let name = chunk_name(&hash);
    // Version of the existing chunk when it was last observed.
    let mut observed_version = None;
    loop {
        let condition = observed_version.map_or(Condition::Absent, Condition::Version);
        let mut min_delay_ms = 0;
        let current_version = match store.write(&name, bytes.clone(), condition).await {
            WriteOutcome::Written { .. } => return Ok(()),
            WriteOutcome::Conflict { current } => current,
            WriteOutcome::TooLarge => return Err(ChunkError::TooLarge),
            WriteOutcome::Unknown => match store.read(&name).await {
                CallOutcome::Value(it) => it.map(|it| it.version),
                CallOutcome::Unavailable | CallOutcome::Throttled { .. } => observed_version,
            },
            WriteOutcome::Throttled { retry_after_ms } => {
                min_delay_ms = retry_after_ms;
                observed_version
            }
            WriteOutcome::Unavailable => observed_version,
        };
        if observed_version.is_some()
            && current_version.is_some()
            && current_version != observed_version
        {
            // The chunk was written again since it was observed, by an attempt whose response was
            // lost or by another writer.
            return Ok(());
        }
        let is_first_observation = observed_version.is_none() && current_version.is_some();
        observed_version = current_version;
        if !is_first_observation && !backoff.wait(min_delay_ms).await {
            return Err(ChunkError::Unavailable);
        }
    }
}

/// Reads one chunk and verifies its hash.
async fn read_chunk<S: ObjectStore>(
    store: Arc<S>,
    reference: ChunkRef,
    mut backoff: Backoff,
) -> Result<(String, Bytes), ChunkError> {
    loop {
        let min_delay_ms = match store.read(&chunk_name(&reference.sha256)).await {
            CallOutcome::Value(Some(it)) if Chunk::verify(&reference, &it.bytes) => {
                return Ok((reference.sha256, it.bytes));
            }
            CallOutcome::Value(_) => return Err(ChunkError::Missing),
            CallOutcome::Unavailable => 0,
            CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
        };
        if !backoff.wait(min_delay_ms).await {
            return Err(ChunkError::Unavailable);
        }
    }
}
