//! The HTTP client of the object API over loopback sockets.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{object_store, object_store_with_timeout, start_platform, start_platform_with};
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, HttpObjectStore, HttpStoreSettings, ListedHostState,
    Listing, ObjectStore, StoreRevision, WatchResponse, WriteOutcome,
};
use kingcupford_standin::{OutageMode, PlatformFaults, PlatformLimits, PlatformSettings};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpListener,
    time::sleep,
};

/// Revision of a stand-in that was not restored, whose header has the value 1.
fn at(number: u64) -> StoreRevision {
    StoreRevision { era: 2, number }
}

const VALUE: Bytes = Bytes::from_static(b"value");

/// Guards against lost updates caused by writes whose condition does not hold.
#[tokio::test]
async fn write_condition() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let name = "a b/c?d#é";
    let WriteOutcome::Written { version } = store.write(name, VALUE, Condition::Absent).await
    else {
        panic!("object was not written");
    };
    let conflict = WriteOutcome::Conflict { current: Some(version) };
    assert_eq!(store.write(name, Bytes::new(), Condition::Absent).await, conflict);
    assert_eq!(store.write(name, Bytes::new(), Condition::Version(version + 1)).await, conflict);
    assert_eq!(store.delete(name, Condition::Version(version + 1)).await, conflict);
    let CallOutcome::Value(Some(object)) = store.read(name).await else {
        panic!("object cannot be read")
    };
    assert_eq!((object.version, object.bytes), (version, VALUE));
    let deleted = store.delete(name, Condition::Version(version)).await;
    assert!(matches!(deleted, WriteOutcome::Written { .. }));
    let missing = WriteOutcome::Conflict { current: None };
    assert_eq!(store.write(name, VALUE, Condition::Version(version)).await, missing);
    assert_eq!(store.read(name).await, CallOutcome::Value(None));
}

/// Guards against the deletion of an object that was written again with the same value.
#[tokio::test]
async fn delete_after_identical_write() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    store.write("chunk/a", VALUE, Condition::Absent).await;
    let CallOutcome::Value(listed) = store.list("chunk/").await else {
        panic!("objects cannot be listed")
    };
    store.write("chunk/a", VALUE, Condition::Always).await;
    let deleted = store.delete("chunk/a", Condition::Version(listed.objects[0].version)).await;
    assert!(matches!(deleted, WriteOutcome::Conflict { current: Some(_) }));
}

/// Guards against reporting a write as not executed although it may have taken effect.
#[tokio::test]
async fn write_lost_response() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let faults = PlatformFaults { lose_next_write_answers: 1, ..PlatformFaults::default() };
    platform.set_faults(faults);
    assert_eq!(store.write("a", VALUE, Condition::Absent).await, WriteOutcome::Unknown);
    assert!(matches!(store.read("a").await, CallOutcome::Value(Some(_))));
    platform.set_faults(PlatformFaults { lose_next_writes: 1, ..PlatformFaults::default() });
    assert_eq!(store.write("b", VALUE, Condition::Absent).await, WriteOutcome::Unknown);
    assert_eq!(store.read("b").await, CallOutcome::Value(None));
    let dropped = PlatformFaults { outage: OutageMode::Dropped, ..PlatformFaults::default() };
    platform.set_faults(dropped);
    assert_eq!(store.write("b", VALUE, Condition::Absent).await, WriteOutcome::Unknown);
    assert_eq!(store.read("b").await, CallOutcome::Unavailable);
}

/// Guards against reporting a write as possibly executed although it had no effect, which would
/// cause a needless read of the object.
#[tokio::test]
async fn write_platform_unavailable() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let unavailable =
        PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
    platform.set_faults(unavailable);
    assert_eq!(store.write("a", VALUE, Condition::Absent).await, WriteOutcome::Unavailable);
    assert_eq!(store.read("a").await, CallOutcome::Unavailable);
    let store = object_store(&platform);
    platform.stop().await;
    assert_eq!(store.write("a", VALUE, Condition::Absent).await, WriteOutcome::Unavailable);
}

/// Guards against calls without a timeout, and against reporting a write as not executed although
/// it takes effect after its timeout.
#[tokio::test]
async fn write_slow_platform() {
    let platform = start_platform().await;
    let store = object_store_with_timeout(&platform, 50);
    platform.set_faults(PlatformFaults { delay_ms: 200, ..PlatformFaults::default() });
    assert_eq!(store.read("a").await, CallOutcome::Unavailable);
    assert_eq!(store.write("a", VALUE, Condition::Absent).await, WriteOutcome::Unknown);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.read("a").await, CallOutcome::Value(None));
    tokio::time::sleep(Duration::from_millis(400)).await;
    assert!(matches!(store.read("a").await, CallOutcome::Value(Some(_))));
}

/// Guards against reporting a value above the size limit as an unavailable platform, which would
/// cause needless retries.
#[tokio::test]
async fn write_too_large() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    let fits = Bytes::from(vec![0; 1_000_000]);
    let exceeds = Bytes::from(vec![0; 1_000_001]);
    assert!(matches!(
        store.write("a", fits, Condition::Always).await,
        WriteOutcome::Written { .. }
    ));
    assert_eq!(store.write("a", exceeds, Condition::Always).await, WriteOutcome::TooLarge);
}

/// Guards against a client that ignores the platform's rate limits, and against a pending watch
/// that is not counted as a call.
#[tokio::test]
async fn calls_throttled() {
    let limits =
        PlatformLimits { reads_per_s: 1.0, writes_per_s: 1.0, ..PlatformLimits::default() };
    let platform =
        start_platform_with(PlatformSettings { limits, ..PlatformSettings::default() }).await;
    let store = object_store(&platform);
    assert!(matches!(
        store.write("a", VALUE, Condition::Always).await,
        WriteOutcome::Written { .. }
    ));
    let second = store.write("a", VALUE, Condition::Always).await;
    assert!(matches!(second, WriteOutcome::Throttled { retry_after_ms: 1..=1000 }), "{second:?}");
    let watch = tokio::spawn({
        let store = store.clone();
        async move { store.watch("b", at(1), Duration::from_secs(3)).await }
    });
    tokio::time::sleep(Duration::from_millis(1500)).await;
    assert!(matches!(store.read("a").await, CallOutcome::Throttled { .. }));
    watch.abort();
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert!(matches!(
        store.read("a").await,
        CallOutcome::Throttled { .. } | CallOutcome::Value(Some(_))
    ));
    assert_eq!(platform.call_counts().waiting_watches, 0);
}

/// Guards against missing changes that precede a watch, and against a gap that the client does not
/// detect.
#[tokio::test]
async fn watch_gap() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    for name in ["config/a", "other/a", "config/b"] {
        store.write(name, VALUE, Condition::Always).await;
    }
    store.delete("config/a", Condition::Always).await;
    let wait = Duration::from_millis(100);
    let CallOutcome::Value(WatchResponse::Changes { revision, changes, .. }) =
        store.watch("config/", at(0), wait).await
    else {
        panic!("no changes were returned");
    };
    let changes: Vec<_> = changes.into_iter().map(|it| (it.name, it.version)).collect();
    assert_eq!(revision, at(4));
    assert_eq!(changes, [("config/a".to_owned(), None), ("config/b".to_owned(), Some(3))]);
    let unchanged =
        WatchResponse::Changes { revision: at(4), changes: Vec::new(), staleness: Duration::ZERO };
    assert_eq!(store.watch("config/", at(4), wait).await, CallOutcome::Value(unchanged));
    platform.clear_change_log();
    assert_eq!(
        store.watch("config/", at(3), wait).await,
        CallOutcome::Value(WatchResponse::RevisionTooOld)
    );
    // Revision from before the platform lost its state, newer than the current one.
    assert_eq!(
        store.watch("config/", at(9), wait).await,
        CallOutcome::Value(WatchResponse::RevisionTooOld)
    );
}

/// Guards against a host list in which hosts never expire or announcements appear without delay.
#[tokio::test]
async fn hosts_lag_and_expire() {
    let limits =
        PlatformLimits { host_lag_ms: 200, host_expiry_ms: 600, ..PlatformLimits::default() };
    let platform =
        start_platform_with(PlatformSettings { limits, ..PlatformSettings::default() }).await;
    let store = object_store(&platform);
    let mut entry = HostEntry {
        name: "h1".to_owned(),
        zone: "north-1".to_owned(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        public_addresses: vec!["127.0.0.1:2".parse().unwrap()],
        state: ListedHostState::Live,
        seen_era: None,
    };
    assert_eq!(store.announce(&entry).await, CallOutcome::Value(()));
    assert_eq!(store.list_hosts().await, CallOutcome::Value(Vec::new()));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(store.list_hosts().await, CallOutcome::Value(vec![entry.clone()]));
    platform.set_faults(PlatformFaults { host_list_frozen: true, ..PlatformFaults::default() });
    let live = entry.clone();
    entry.state = ListedHostState::Draining;
    store.announce(&entry).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(store.list_hosts().await, CallOutcome::Value(vec![live]));
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.list_hosts().await, CallOutcome::Value(vec![entry]));
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(store.list_hosts().await, CallOutcome::Value(Vec::new()));
}

/// Guards against a response without end that is collected in memory until the timeout.
#[tokio::test]
async fn read_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let serving = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        let chunk = vec![b' '; 1 << 16];
        let mut sent = 0u64;
        while stream.write_all(&chunk).await.is_ok() {
            sent += chunk.len() as u64;
        }
        sent
    });
    let settings = HttpStoreSettings::new(&format!("http://{address}"));
    let settings = HttpStoreSettings { read_timeout_ms: 60_000, ..settings };
    let store = HttpObjectStore::new(settings).unwrap();
    assert_eq!(store.read("chunk/a").await, CallOutcome::Unavailable);
    // What fits into the buffers of both sockets was sent but not read.
    let sent = serving.await.unwrap();
    assert!(sent < 32 << 20, "{sent}");
}

/// Guards against a long list that never arrives over a slow link, since it takes longer than a
/// response may be waited for.
#[tokio::test]
async fn list_slow_link() {
    const CHUNKS: usize = 10;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request).await.unwrap();
        let padding = " ".repeat(20_000);
        let end = "{\"revision\":7,\"objects\":[]}";
        let length = CHUNKS * padding.len() + end.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        for _ in 0..CHUNKS {
            sleep(Duration::from_millis(100)).await;
            stream.write_all(padding.as_bytes()).await.unwrap();
        }
        stream.write_all(end.as_bytes()).await.unwrap();
    });
    let settings = HttpStoreSettings { read_timeout_ms: 300, ..HttpStoreSettings::new(&base_url) };
    let store = HttpObjectStore::new(settings).unwrap();
    let revision = StoreRevision { era: 0, number: 7 };
    let listing = Listing { revision, objects: Vec::new(), staleness: Duration::ZERO };
    assert_eq!(store.list("config/").await, CallOutcome::Value(listing));
}

/// Guards against a restoration that a writer does not notice in the response to its write.
#[tokio::test]
async fn newest_era_after_restoration() {
    let platform = start_platform().await;
    let store = object_store(&platform);
    assert_eq!(store.newest_era(), 0);
    let era = store.list("a").await.value().unwrap().revision.era;
    assert_eq!(store.newest_era(), era);
    platform.restore(0).unwrap();
    assert_eq!(store.newest_era(), era);
    assert!(store.write("a", "1".into(), Condition::Absent).await.is_answered());
    assert_eq!(store.newest_era(), era + 1);
}
