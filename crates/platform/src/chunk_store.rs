//! Chunks of a configuration as objects.

use std::{collections::BTreeMap, sync::Arc};

use bytes::Bytes;
use kingcupford_config::{Chunk, ChunkRef, Declarations, Head, assemble_chunks};
use tokio::{task::JoinSet, time::Instant};

use crate::{
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
    retry::Retry,
};

/// Chunks transferred at the same time, which hides latency and stays far below the call limits.
const PARALLEL: usize = 8;

/// Start of the names of chunks.
pub(crate) const CHUNK_PREFIX: &str = "chunk/";

/// Why a transfer ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkFault {
    /// The platform could not be used up to the deadline.
    Unavailable,
    /// A chunk is missing or does not match its hash.
    Missing,
    /// The platform refuses a value of this size.
    TooLarge,
}

/// The chunks that one change has seen, and the way to the others.
#[derive(Debug)]
pub(crate) struct ChunkStore<S> {
    /// The platform.
    store: Arc<S>,
    /// No attempt begins after this time.
    deadline: Instant,
    /// Seed of waits.
    seed: u64,
    /// Bytes by hash.
    known: BTreeMap<String, Bytes>,
}

impl<S: ObjectStore> ChunkStore<S> {
    /// Knows no chunk yet.
    pub(crate) fn new(store: Arc<S>, deadline: Instant, seed: u64) -> Self {
        Self { store, deadline, seed, known: BTreeMap::new() }
    }

    /// Writes the chunks that `base` does not have.
    pub(crate) async fn write(
        &mut self,
        chunks: Vec<Chunk>,
        base: Option<&Head>,
    ) -> Result<(), ChunkFault> {
        let mut missing = Vec::new();
        for chunk in chunks {
            let is_stored = base.is_some_and(|it| it.chunks.contains(&chunk.reference));
            let bytes = Bytes::from(chunk.bytes);
            if !is_stored {
                missing.push((chunk.reference.sha256.clone(), bytes.clone()));
            }
            self.known.insert(chunk.reference.sha256, bytes);
        }
        for group in missing.chunks(PARALLEL) {
            let mut tasks = JoinSet::new();
            for (hash, bytes) in group.iter().cloned() {
                let retry = self.retry();
                tasks.spawn(write_chunk(Arc::clone(&self.store), hash, bytes, retry));
            }
            while let Some(it) = tasks.join_next().await {
                it.expect("writing a chunk does not panic")?;
            }
        }
        Ok(())
    }

    /// Makes chunks known without writing them.
    pub(crate) fn remember(&mut self, chunks: Vec<Chunk>) {
        let chunks = chunks.into_iter().map(|it| (it.reference.sha256, Bytes::from(it.bytes)));
        self.known.extend(chunks);
    }

    /// Reads what the chunks of a head declare.
    pub(crate) async fn declarations(&mut self, head: &Head) -> Result<Declarations, ChunkFault> {
        let unknown = head.chunks.iter().filter(|it| !self.known.contains_key(&it.sha256));
        let unknown: Vec<ChunkRef> = unknown.cloned().collect();
        for group in unknown.chunks(PARALLEL) {
            let mut tasks = JoinSet::new();
            for name in group.iter().cloned() {
                let retry = self.retry();
                tasks.spawn(read_chunk(Arc::clone(&self.store), name, retry));
            }
            while let Some(it) = tasks.join_next().await {
                let (hash, bytes) = it.expect("reading a chunk does not panic")?;
                self.known.insert(hash, bytes);
            }
        }
        assemble_chunks(head, |it| self.known.get(&it.sha256).map(|it| &it[..])).map_err(|error| {
            log::warn!("configuration {} cannot be read: {error:#}", head.version);
            ChunkFault::Missing
        })
    }

    /// Waits with a seed of their own.
    fn retry(&mut self) -> Retry {
        self.seed = self.seed.wrapping_add(1);
        Retry::until(self.deadline, self.seed)
    }
}

/// The name of a chunk's object.
pub(crate) fn chunk_name(hash: &str) -> String {
    format!("{CHUNK_PREFIX}{hash}")
}

/// Writes one chunk, or renews its age when it is there.
///
/// A chunk that the current head does not name may be about to be deleted as unused. Writing it
/// again changes its version, so that a deletion that was decided before fails.
async fn write_chunk<S: ObjectStore>(
    store: Arc<S>,
    hash: String,
    bytes: Bytes,
    mut retry: Retry,
) -> Result<(), ChunkFault> {
    let name = chunk_name(&hash);
    // The version of the chunk when it was first seen.
    let mut seen = None;
    loop {
        let condition = seen.map_or(Condition::Absent, Condition::Version);
        let mut wait_ms = 0;
        let current = match store.write(&name, bytes.clone(), condition).await {
            WriteOutcome::Written { .. } => return Ok(()),
            WriteOutcome::Conflict { current } => current,
            WriteOutcome::TooLarge => return Err(ChunkFault::TooLarge),
            WriteOutcome::Unknown => match store.read(&name).await {
                CallOutcome::Value(it) => it.map(|it| it.version),
                CallOutcome::Unavailable | CallOutcome::Throttled { .. } => seen,
            },
            WriteOutcome::Throttled { retry_after_ms } => {
                wait_ms = retry_after_ms;
                seen
            }
            WriteOutcome::Unavailable => seen,
        };
        if seen.is_some() && current.is_some() && current != seen {
            // It was written after it had been seen, by a lost attempt or by another writer.
            return Ok(());
        }
        let is_first_sight = seen.is_none() && current.is_some();
        seen = current;
        if !is_first_sight && !retry.pause(wait_ms).await {
            return Err(ChunkFault::Unavailable);
        }
    }
}

/// Reads one chunk and checks it against its hash.
async fn read_chunk<S: ObjectStore>(
    store: Arc<S>,
    name: ChunkRef,
    mut retry: Retry,
) -> Result<(String, Bytes), ChunkFault> {
    loop {
        let wait_ms = match store.read(&chunk_name(&name.sha256)).await {
            CallOutcome::Value(Some(it)) if Chunk::verify(&name, &it.bytes) => {
                return Ok((name.sha256, it.bytes));
            }
            CallOutcome::Value(_) => return Err(ChunkFault::Missing),
            CallOutcome::Unavailable => 0,
            CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
        };
        if !retry.pause(wait_ms).await {
            return Err(ChunkFault::Unavailable);
        }
    }
}
