//! The watcher during faults of the platform.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{object_store, object_store_with_timeout, start_platform};
use kingcupford_platform::{
    Arrival, CallOutcome, Condition, HostEntry, HttpObjectStore, ListedObject, Listing, Object,
    ObjectChange, ObjectStore, Reachability, StoreRevision, WatchResponse, Watcher,
    WatcherSettings, WriteOutcome,
};
use kingcupford_standin::{OutageMode, PlatformFaults};
use tokio::time::{Instant, sleep, timeout};

/// Maximum time until a change is reported, which is part of the 6 s until it must be active.
const MAX_REPORT_DELAY: Duration = Duration::from_secs(5);

async fn write(store: &HttpObjectStore, name: &str, value: &'static str) -> u64 {
    match store.write(name, Bytes::from_static(value.as_bytes()), Condition::Always).await {
        WriteOutcome::Written { version } => version,
        it => panic!("object was not written: {it:?}"),
    }
}

async fn next_event(watcher: &mut Watcher) -> (String, Option<u64>) {
    let event = timeout(MAX_REPORT_DELAY, watcher.events.recv()).await;
    let event = event.expect("event within the maximum delay").expect("watcher is running");
    (event.name, event.object.map(|it| it.version))
}

fn start_watcher(store: &HttpObjectStore) -> Watcher {
    Watcher::start(Arc::new(store.clone()), WatcherSettings::default(), 1)
}

/// Guards against changes that are missed or reported twice, against reports of objects that are
/// not followed, and against more than one pending watch.
#[tokio::test]
async fn watcher_reports_changes() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let version = write(&store, "config/head", "1").await;
    write(&store, "status/zone/a", "1").await;
    let mut watcher = start_watcher(&store);
    assert_eq!(next_event(&mut watcher).await, ("config/head".to_owned(), Some(version)));
    for name in ["rollout/ledger", "quota/ledger", "status/zone/a", "config/head"] {
        let version = write(&store, name, "2").await;
        if !name.starts_with("status") {
            assert_eq!(next_event(&mut watcher).await, (name.to_owned(), Some(version)));
        }
    }
    store.delete("rollout/ledger", Condition::Always).await;
    assert_eq!(next_event(&mut watcher).await, ("rollout/ledger".to_owned(), None));
    assert_eq!(*watcher.reachability.borrow(), Reachability::Reachable);
    sleep(Duration::from_millis(WatcherSettings::default().min_interval_ms * 2)).await;
    assert_eq!(platform.call_counts().waiting_watches, 1);
}

/// Guards against a burst of changes to other objects that causes one call per change.
#[tokio::test]
async fn watcher_burst() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let _watcher = start_watcher(&store);
    sleep(Duration::from_millis(300)).await;
    let before = platform.call_counts();
    let started_at = Instant::now();
    for _ in 0..100 {
        write(&store, "status/zone/a", "1").await;
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(250)).await;
    let max_calls = started_at.elapsed().as_millis() as u64 / 200 + 2;
    let after = platform.call_counts();
    let calls = after.watches - before.watches + after.reads - before.reads;
    assert!(calls <= max_calls, "{calls} calls, {max_calls} allowed");
}

/// Guards against changes that are lost in an outage, and against calls without backoff during it.
#[tokio::test]
async fn watcher_outage() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let mut watcher = start_watcher(&store);
    sleep(Duration::from_millis(100)).await;
    for outage in [OutageMode::Unavailable, OutageMode::Dropped] {
        let is_down = |it: &Reachability| matches!(it, Reachability::Unreachable { .. });
        let version = write(&store, "config/head", "1").await;
        assert_eq!(next_event(&mut watcher).await.1, Some(version));
        platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
        // The result holds a lock on the channel and must not be kept.
        let is_detected =
            timeout(MAX_REPORT_DELAY, watcher.reachability.wait_for(is_down)).await.is_ok();
        assert!(is_detected, "{outage:?} was not detected");
        let before = platform.call_counts().outage_calls;
        sleep(Duration::from_secs(2)).await;
        let calls = platform.call_counts().outage_calls - before;
        assert!(calls <= 10, "{calls} calls in two seconds of {outage:?}");
        platform.set_faults(PlatformFaults::default());
        let is_up = |it: &Reachability| *it == Reachability::Reachable;
        assert!(timeout(MAX_REPORT_DELAY, watcher.reachability.wait_for(is_up)).await.is_ok());
    }
}

/// Guards against changes that are missed because watches hang or the platform no longer has them.
#[tokio::test]
async fn watcher_gap_and_hang() {
    let platform = start_platform().await;
    let store = object_store_with_timeout(&platform, 500);
    let mut watcher = start_watcher(&store);
    sleep(Duration::from_millis(100)).await;
    platform.set_faults(PlatformFaults { watches_hang: true, ..PlatformFaults::default() });
    let version = write(&store, "config/head", "1").await;
    assert_eq!(next_event(&mut watcher).await.1, Some(version));
    assert_eq!(*watcher.reachability.borrow(), Reachability::Reachable);
    let version = write(&store, "config/head", "2").await;
    platform.clear_change_log();
    platform.set_faults(PlatformFaults::default());
    assert_eq!(next_event(&mut watcher).await.1, Some(version));
}

/// Guards against a watcher that compares with old versions after the platform lost its state.
#[tokio::test]
async fn watcher_platform_restart() {
    let first = start_platform().await;
    let address = first.address();
    let store = object_store(&first);
    for _ in 0..5 {
        write(&store, "config/head", "1").await;
    }
    let mut watcher = start_watcher(&store);
    assert_eq!(next_event(&mut watcher).await.1, Some(5));
    first.stop().await;
    let settings = kingcupford_standin::PlatformSettings::default();
    let _second = kingcupford_standin::PlatformStandin::bind(address, settings).await.unwrap();
    assert_eq!(next_event(&mut watcher).await, ("config/head".to_owned(), None));
    write(&store, "config/head", "1").await;
    assert_eq!(next_event(&mut watcher).await, ("config/head".to_owned(), Some(1)));
}

/// Store with a scripted course of lists and watches.
#[derive(Default)]
struct ScriptedStore {
    watches: AtomicUsize,
    lists: AtomicUsize,
    /// Time that every list but the first takes.
    list_delay: Duration,
    /// Whether the first watch returns a new object.
    has_change: bool,
    /// Whether further watches end without changes after their wait, instead of hanging.
    watches_end: bool,
    /// Objects that every list but the first returns.
    later_list: Vec<(&'static str, u64)>,
    /// Era of all revisions.
    era: u64,
    /// Whether all watches but the first fail.
    watches_fail: bool,
    /// Time after which the response to the first watch begins to arrive, if it is a transfer.
    watch_delay: Option<Duration>,
    transfers: Arc<Transfers>,
}

/// Responses that take a while to arrive.
#[derive(Default)]
struct Transfers {
    /// Time that each one takes.
    duration: Duration,
    started: AtomicUsize,
    running: AtomicUsize,
    max_running: AtomicUsize,
}

impl Transfers {
    async fn run(&self, arrival: &Arrival) {
        struct Running<'a>(&'a AtomicUsize);
        impl Drop for Running<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::Relaxed);
            }
        }
        if self.duration.is_zero() {
            return;
        }
        let _arriving = arrival.begin();
        // A transfer that is given up at its head does not count.
        sleep(Duration::from_millis(20)).await;
        self.started.fetch_add(1, Ordering::Relaxed);
        let running = self.running.fetch_add(1, Ordering::Relaxed) + 1;
        self.max_running.fetch_max(running, Ordering::Relaxed);
        let _running = Running(&self.running);
        sleep(self.duration).await;
    }
}

fn listed(era: u64, objects: &[(&str, u64)]) -> Listing {
    let object = |it: &(&str, u64)| ListedObject {
        name: it.0.to_owned(),
        version: it.1,
        age_ms: 0,
        value: Some(Bytes::from_static(b"value")),
    };
    Listing {
        revision: StoreRevision { era, number: objects.iter().map(|it| it.1).max().unwrap_or(0) },
        objects: objects.iter().map(object).collect(),
        staleness: Duration::ZERO,
    }
}

impl ObjectStore for ScriptedStore {
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
        self.list_with_arrival(prefix, &Arrival::default()).await
    }

    async fn list_with_arrival(&self, _: &str, arrival: &Arrival) -> CallOutcome<Listing> {
        if self.lists.fetch_add(1, Ordering::Relaxed) == 0 {
            return CallOutcome::Value(listed(self.era, &[("config/a", 5)]));
        }
        sleep(self.list_delay).await;
        self.transfers.run(arrival).await;
        CallOutcome::Value(listed(self.era, &self.later_list))
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> CallOutcome<WatchResponse> {
        self.watch_with_arrival(prefix, after, wait, &Arrival::default()).await
    }

    async fn watch_with_arrival(
        &self,
        _: &str,
        after: StoreRevision,
        wait: Duration,
        arrival: &Arrival,
    ) -> CallOutcome<WatchResponse> {
        let is_first = self.watches.fetch_add(1, Ordering::Relaxed) == 0;
        let changes = |revision, changes| {
            CallOutcome::Value(WatchResponse::Changes {
                revision,
                changes,
                staleness: Duration::ZERO,
            })
        };
        if let Some(it) = self.watch_delay.filter(|_| is_first) {
            sleep(it).await;
            self.transfers.run(arrival).await;
        }
        if is_first && self.has_change {
            let value = Some(Bytes::from_static(b"value"));
            let change = ObjectChange { name: "config/b".to_owned(), version: Some(9), value };
            return changes(StoreRevision { era: self.era, number: 9 }, vec![change]);
        }
        if self.watches_fail {
            return CallOutcome::Unavailable;
        }
        if !self.watches_end {
            std::future::pending::<()>().await;
        }
        sleep(wait).await;
        changes(after, Vec::new())
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        CallOutcome::Unavailable
    }

    async fn announce(&self, _: &HostEntry) -> CallOutcome<()> {
        CallOutcome::Unavailable
    }
}

fn follow_scripted(store: ScriptedStore) -> Watcher {
    let settings = WatcherSettings {
        prefixes: vec!["config/".to_owned()],
        wait_ms: 1000,
        ..WatcherSettings::default()
    };
    Watcher::start(Arc::new(store), settings, 1)
}

/// Guards against a list of an outdated copy, requested beside the watch, that deletes an object
/// which a watch has reported since.
#[tokio::test]
async fn check_list_outdated() {
    let mut watcher = follow_scripted(ScriptedStore {
        has_change: true,
        later_list: vec![("config/a", 5)],
        ..ScriptedStore::default()
    });
    assert_eq!(next_event(&mut watcher).await, ("config/a".to_owned(), Some(5)));
    assert_eq!(next_event(&mut watcher).await, ("config/b".to_owned(), Some(9)));
    sleep(Duration::from_millis(500)).await;
    watcher.check_for_changes();
    let event = timeout(Duration::from_secs(1), watcher.events.recv()).await;
    assert!(event.is_err(), "{event:?}");
}

/// Guards against a list beside the watch that is given up whenever the watch ends without changes.
#[tokio::test]
async fn check_list_slower_than_watch() {
    let mut watcher = follow_scripted(ScriptedStore {
        list_delay: Duration::from_millis(1200),
        watches_end: true,
        later_list: vec![("config/a", 7)],
        ..ScriptedStore::default()
    });
    assert_eq!(next_event(&mut watcher).await, ("config/a".to_owned(), Some(5)));
    let requested_until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < requested_until && watcher.events.is_empty() {
        watcher.check_for_changes();
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(next_event(&mut watcher).await, ("config/a".to_owned(), Some(7)));
}

/// Guards against a large object that is transferred twice at once, by the watch and by a list
/// beside it.
#[tokio::test]
async fn check_during_transfer() {
    // Times until the responses to the watch and to the list begin to arrive.
    for (watch_ms, list_ms) in [(100, 0), (300, 500), (600, 100)] {
        let duration = Duration::from_millis(1500);
        let transfers = Arc::new(Transfers { duration, ..Transfers::default() });
        let mut watcher = follow_scripted(ScriptedStore {
            list_delay: Duration::from_millis(list_ms),
            has_change: true,
            later_list: vec![("config/a", 5), ("config/b", 9)],
            watch_delay: Some(Duration::from_millis(watch_ms)),
            transfers: Arc::clone(&transfers),
            ..ScriptedStore::default()
        });
        assert_eq!(next_event(&mut watcher).await, ("config/a".to_owned(), Some(5)));
        sleep(Duration::from_millis(180)).await;
        let checked_at = Instant::now();
        while watcher.events.is_empty() && checked_at.elapsed() < MAX_REPORT_DELAY {
            watcher.check_for_changes();
            sleep(Duration::from_millis(200)).await;
        }
        assert_eq!(next_event(&mut watcher).await, ("config/b".to_owned(), Some(9)));
        let [started, most] =
            [&transfers.started, &transfers.max_running].map(|it| it.load(Ordering::Relaxed));
        assert_eq!(most, 1, "transfers at once with {watch_ms} and {list_ms} ms");
        assert!(started <= 2, "{started} transfers with {watch_ms} and {list_ms} ms");
        assert!(checked_at.elapsed() < Duration::from_millis(2200));
    }
}

/// Guards against a list of a reader that is behind, after a watch failed, that deletes an object
/// which a watch has reported since.
#[tokio::test]
async fn list_outdated_after_failed_watch() {
    let mut watcher = follow_scripted(ScriptedStore {
        era: 1,
        has_change: true,
        watches_fail: true,
        later_list: vec![("config/a", 5)],
        ..ScriptedStore::default()
    });
    assert_eq!(next_event(&mut watcher).await, ("config/a".to_owned(), Some(5)));
    assert_eq!(next_event(&mut watcher).await, ("config/b".to_owned(), Some(9)));
    let event = timeout(Duration::from_secs(1), watcher.events.recv()).await;
    assert!(event.is_err(), "{event:?}");
}
