//! The platform as a command uses it: lost answers are counted, so that the operator is told.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, HttpObjectStore, Listing, Object, ObjectStore,
    WatchResponse, WriteOutcome,
};

/// The platform's object API with a count of lost answers.
#[derive(Debug)]
pub(crate) struct CountingStore {
    /// The platform.
    inner: HttpObjectStore,
    /// Writes whose answer was lost.
    lost_answers: AtomicU32,
}

impl CountingStore {
    /// Counts from 0.
    pub(crate) fn new(inner: HttpObjectStore) -> Self {
        Self { inner, lost_answers: AtomicU32::new(0) }
    }

    /// Writes whose answer was lost so far.
    pub(crate) fn lost_answers(&self) -> u32 {
        self.lost_answers.load(Ordering::Relaxed)
    }

    /// Counts a write whose answer was lost.
    fn counted(&self, outcome: WriteOutcome) -> WriteOutcome {
        if outcome == WriteOutcome::Unknown {
            self.lost_answers.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }
}

impl ObjectStore for CountingStore {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        self.inner.read(name).await
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        self.counted(self.inner.write(name, value, condition).await)
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        // Only unused chunks are deleted, so a lost answer is of no interest to operators.
        self.inner.delete(name, condition).await
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        self.inner.list(prefix).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> CallOutcome<WatchResponse> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        self.inner.list_hosts().await
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        self.inner.announce(entry).await
    }
}
