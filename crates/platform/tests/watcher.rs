//! The watcher against a platform with faults.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{object_store, platform, with_timeouts};
use kingcupford_platform::{
    Condition, HttpObjectStore, ObjectStore, Reachability, Watcher, WatcherSettings, WriteOutcome,
};
use kingcupford_standin::{OutageMode, PlatformFaults};
use tokio::time::{Instant, sleep, timeout};

/// The time within which a change must be noticed, a part of the 6 s until it is active.
const NOTICED_WITHIN: Duration = Duration::from_secs(5);

async fn write(store: &HttpObjectStore, name: &str, value: &'static str) -> u64 {
    match store.write(name, Bytes::from_static(value.as_bytes()), Condition::Always).await {
        WriteOutcome::Written { version } => version,
        it => panic!("not written: {it:?}"),
    }
}

async fn next(watcher: &mut Watcher) -> (String, Option<u64>) {
    let event = timeout(NOTICED_WITHIN, watcher.events.recv()).await;
    let event = event.expect("no event in time").expect("the watcher runs");
    (event.name, event.object.map(|it| it.version))
}

fn start(store: &HttpObjectStore) -> Watcher {
    Watcher::start(Arc::new(store.clone()), WatcherSettings::default(), 1)
}

/// Guards against missed or repeated changes, and against watches of names that nobody follows.
#[tokio::test]
async fn watcher_follows() {
    let platform = platform().await;
    let store = object_store(&platform);
    let version = write(&store, "config/head", "1").await;
    write(&store, "status/zone/a", "1").await;
    let mut watcher = start(&store);
    assert_eq!(next(&mut watcher).await, ("config/head".to_owned(), Some(version)));
    for name in ["rollout/ledger", "quota/ledger", "status/zone/a", "config/head"] {
        let version = write(&store, name, "2").await;
        if !name.starts_with("status") {
            assert_eq!(next(&mut watcher).await, (name.to_owned(), Some(version)));
        }
    }
    store.delete("rollout/ledger", Condition::Always).await;
    assert_eq!(next(&mut watcher).await, ("rollout/ledger".to_owned(), None));
    assert_eq!(*watcher.reachability.borrow(), Reachability::Reachable);
    sleep(Duration::from_millis(WatcherSettings::default().min_interval_ms * 2)).await;
    assert_eq!(platform.call_counts().waiting_watches, 1);
}

/// Guards against a burst of unrelated changes that costs a call each.
#[tokio::test]
async fn watcher_burst() {
    let platform = platform().await;
    let store = object_store(&platform);
    let _watcher = start(&store);
    sleep(Duration::from_millis(300)).await;
    let before = platform.call_counts();
    let started_at = Instant::now();
    for _ in 0..100 {
        write(&store, "status/zone/a", "1").await;
        sleep(Duration::from_millis(5)).await;
    }
    sleep(Duration::from_millis(250)).await;
    let allowed = started_at.elapsed().as_millis() as u64 / 200 + 2;
    let after = platform.call_counts();
    let calls = after.watches - before.watches + after.reads - before.reads;
    assert!(calls <= allowed, "{calls} calls, {allowed} allowed");
}

/// Guards against changes that are lost in an outage, and against a storm of calls during it.
#[tokio::test]
async fn watcher_outage() {
    let platform = platform().await;
    let store = object_store(&platform);
    let mut watcher = start(&store);
    sleep(Duration::from_millis(100)).await;
    for outage in [OutageMode::Unavailable, OutageMode::Dropped] {
        let is_down = |it: &Reachability| matches!(it, Reachability::Unreachable { .. });
        let version = write(&store, "config/head", "1").await;
        assert_eq!(next(&mut watcher).await.1, Some(version));
        platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
        // The answer is a lock on the channel, so only whether it came is kept.
        let noticed = timeout(NOTICED_WITHIN, watcher.reachability.wait_for(is_down)).await.is_ok();
        assert!(noticed, "{outage:?} was not noticed");
        let before = platform.call_counts().outage_calls;
        sleep(Duration::from_secs(2)).await;
        let calls = platform.call_counts().outage_calls - before;
        assert!(calls <= 10, "{calls} calls in two seconds of {outage:?}");
        platform.set_faults(PlatformFaults::default());
        let up = |it: &Reachability| *it == Reachability::Reachable;
        assert!(timeout(NOTICED_WITHIN, watcher.reachability.wait_for(up)).await.is_ok());
    }
}

/// Guards against changes that are missed because the platform forgot them or watches hang.
#[tokio::test]
async fn watcher_gap_and_hang() {
    let platform = platform().await;
    let store = with_timeouts(&platform, 500);
    let mut watcher = start(&store);
    sleep(Duration::from_millis(100)).await;
    platform.set_faults(PlatformFaults { watches_hang: true, ..PlatformFaults::default() });
    let version = write(&store, "config/head", "1").await;
    assert_eq!(next(&mut watcher).await.1, Some(version));
    assert_eq!(*watcher.reachability.borrow(), Reachability::Reachable);
    let version = write(&store, "config/head", "2").await;
    platform.clear_change_log();
    platform.set_faults(PlatformFaults::default());
    assert_eq!(next(&mut watcher).await.1, Some(version));
}

/// Guards against a watcher that goes on with the versions of a platform which lost its state.
#[tokio::test]
async fn watcher_platform_restart() {
    let first = platform().await;
    let address = first.address();
    let store = object_store(&first);
    for _ in 0..5 {
        write(&store, "config/head", "1").await;
    }
    let mut watcher = start(&store);
    assert_eq!(next(&mut watcher).await.1, Some(5));
    first.stop().await;
    let settings = kingcupford_standin::PlatformSettings::default();
    let _second = kingcupford_standin::PlatformStandin::bind(address, settings).await.unwrap();
    assert_eq!(next(&mut watcher).await, ("config/head".to_owned(), None));
    write(&store, "config/head", "1").await;
    assert_eq!(next(&mut watcher).await, ("config/head".to_owned(), Some(1)));
}
