//! Object store wrapper that counts lost answers to writes, which commands report to the operator.

use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use bytes::Bytes;
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, HttpObjectStore, Listing, Object, ObjectStore,
    StoreRevision, WatchResponse, WriteOutcome,
};

#[derive(Debug)]
pub(crate) struct CountingStore {
    store: HttpObjectStore,
    lost_answers: AtomicU32,
}

impl CountingStore {
    pub(crate) fn new(store: HttpObjectStore) -> Self {
        Self { store, lost_answers: AtomicU32::new(0) }
    }

    /// Returns the number of writes so far whose answer was lost.
    pub(crate) fn lost_answers(&self) -> u32 {
        self.lost_answers.load(Ordering::Relaxed)
    }

    fn count_lost_answer(&self, outcome: WriteOutcome) -> WriteOutcome {
        if outcome == WriteOutcome::Unknown {
            self.lost_answers.fetch_add(1, Ordering::Relaxed);
        }
        outcome
    }
}

impl ObjectStore for CountingStore {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        self.store.read(name).await
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        self.count_lost_answer(self.store.write(name, value, condition).await)
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        // Only unused chunks are deleted, so a lost answer to a deletion does not matter to
        // operators.
        self.store.delete(name, condition).await
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        self.store.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> CallOutcome<WatchResponse> {
        self.store.watch(prefix, after, wait).await
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        self.store.list_hosts().await
    }

    fn newest_era(&self) -> u64 {
        self.store.newest_era()
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        self.store.announce(entry).await
    }
}
