//! Lists of several prefixes while the platform is restored from a copy.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, ListedObject, Listing, Object, ObjectStore, Restoration,
    StoreRevision, WatchResponse, Watcher, WatcherSettings, WriteOutcome,
};
use tokio::time::sleep;

/// Store that is restored before the fourth list, from a copy without `rollout/a`.
struct RestoredStore {
    lists: AtomicUsize,
}

impl ObjectStore for RestoredStore {
    async fn read(&self, _: &str) -> CallOutcome<Option<Object>> {
        CallOutcome::Unavailable
    }

    async fn write(&self, _: &str, _: Bytes, _: Condition) -> WriteOutcome {
        WriteOutcome::Unavailable
    }

    async fn delete(&self, _: &str, _: Condition) -> WriteOutcome {
        WriteOutcome::Unavailable
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        let is_restored = self.lists.fetch_add(1, Ordering::Relaxed) >= 3;
        let object = |name: &str| ListedObject {
            name: name.to_owned(),
            version: 5,
            age_ms: 0,
            value: Some(Bytes::from_static(b"value")),
        };
        let objects = match prefix {
            "config/" => vec![object("config/a")],
            _ if is_restored => Vec::new(),
            _ => vec![object("rollout/a")],
        };
        let revision = StoreRevision { era: 1 + u64::from(is_restored), number: 5 };
        CallOutcome::Value(Listing { revision, objects, staleness: Duration::ZERO })
    }

    async fn watch(&self, _: &str, _: StoreRevision, wait: Duration) -> CallOutcome<WatchResponse> {
        sleep(wait.min(Duration::from_millis(100))).await;
        CallOutcome::Value(WatchResponse::RevisionTooOld)
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        CallOutcome::Unavailable
    }

    async fn announce(&self, _: &HostEntry) -> CallOutcome<()> {
        CallOutcome::Unavailable
    }
}

/// Guards against an object that counts as deleted at once, although the platform lost it in a
/// restoration between the lists of two prefixes.
#[tokio::test(start_paused = true)]
async fn list_all_restored_between_prefixes() {
    let settings = WatcherSettings {
        prefixes: vec!["config/".to_owned(), "rollout/".to_owned()],
        ..WatcherSettings::default()
    };
    let store = RestoredStore { lists: AtomicUsize::new(0) };
    let mut watcher = Watcher::start(Arc::new(store), settings, 1);
    let mut restorations = Vec::new();
    while restorations.len() < 2 {
        let event = watcher.events.recv().await.unwrap();
        if event.name == "rollout/a" {
            restorations.push(event.restoration);
        }
    }
    assert!(
        matches!(restorations[..], [Restoration::None, Restoration::Missing(_)]),
        "{restorations:?}"
    );
}
