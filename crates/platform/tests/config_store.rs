//! Changes of the configuration against a platform with faults.

mod common;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use common::{
    change, config_store, declarations, head, key, object_store, platform, with_timeouts,
};
use kingcupford_config::{BlockDecl, Declarations, SiteDecl};
use kingcupford_platform::{
    CallOutcome, ChangeOutcome, ChangeRequest, Condition, ConfigStore, ConfigStoreSettings,
    HEAD_NAME, HostEntry, HttpObjectStore, Listing, LostRace, Object, ObjectStore, WatchResponse,
    WriteOutcome,
};
use kingcupford_standin::{OutageMode, PlatformFaults, PlatformStandin};

const fn applied(version: u64) -> ChangeOutcome {
    ChangeOutcome::Applied { version }
}

/// Loses the response to one head update, around which something else happens.
struct Interfered {
    inner: HttpObjectStore,
    other: ConfigStore<HttpObjectStore>,
    interference: Interference,
    armed: AtomicBool,
}

/// What happens around the lost update.
enum Interference {
    /// Another operator switches the preset in its place.
    OtherBefore,
    /// Another operator switches the preset after it.
    OtherAfter,
    /// It takes effect and an outage begins.
    OutageAfter(Arc<PlatformStandin>),
}

impl Interfered {
    fn new(inner: HttpObjectStore, interference: Interference) -> Self {
        let other = config_store(inner.clone(), 9);
        Self { inner, other, interference, armed: AtomicBool::new(true) }
    }

    async fn switch_by_other(&self) {
        let outcome = self.other.switch_preset("peak", "other").await;
        assert!(matches!(outcome, ChangeOutcome::Applied { .. }));
    }
}

impl ObjectStore for Interfered {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        self.inner.read(name).await
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        if name != HEAD_NAME || !self.armed.swap(false, Ordering::SeqCst) {
            return self.inner.write(name, value, condition).await;
        }
        match &self.interference {
            Interference::OtherBefore => {
                self.switch_by_other().await;
                self.inner.write(name, value, condition).await;
            }
            Interference::OtherAfter => {
                self.inner.write(name, value, condition).await;
                self.switch_by_other().await;
            }
            Interference::OutageAfter(platform) => {
                self.inner.write(name, value, condition).await;
                let outage = OutageMode::Unavailable;
                platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
            }
        }
        WriteOutcome::Unknown
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
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

fn moved_block(site: &str) -> Declarations {
    let mut res = declarations();
    res.blocks[0].site = site.to_owned();
    res
}

fn faster_tenant() -> Declarations {
    let mut res = declarations();
    res.tenants[0].rate_per_s = 99.0;
    res
}

/// Guards against two operators who both believe that their change is in force.
#[tokio::test]
async fn apply_race() {
    for (second, overlaps) in [(faster_tenant(), false), (moved_block_and_tenant(), true)] {
        let platform = platform().await;
        let (a, b) =
            (config_store(object_store(&platform), 1), config_store(object_store(&platform), 2));
        assert_eq!(a.apply(&declarations(), &change("base")).await, applied(1));
        platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
        let first = moved_block("s2");
        let (changes_a, changes_b) = (change("a"), change("b"));
        let outcomes = tokio::join!(a.apply(&first, &changes_a), b.apply(&second, &changes_b));
        let head = head(&a).await;
        assert_eq!(head.version, 2);
        let (winner, loser) = match outcomes {
            (ChangeOutcome::Applied { .. }, it) => ("a", it),
            (it, ChangeOutcome::Applied { .. }) => ("b", it),
            it => panic!("nobody won: {it:?}"),
        };
        assert_eq!(head.change_id, winner);
        let source_revision = format!("rev-{winner}");
        assert_eq!(
            loser,
            ChangeOutcome::LostRace(LostRace { version: 2, source_revision, overlaps })
        );
    }
}

/// Guards against an operator who overwrites a change made since the plan, and against a wrong
/// answer to whether both touch the same entry.
#[tokio::test]
async fn apply_after_plan() {
    let platform = platform().await;
    let store = config_store(object_store(&platform), 1);
    store.apply(&declarations(), &change("base")).await;
    assert_eq!(store.apply(&moved_block("s2"), &change("first")).await, applied(2));
    for (wanted, overlaps) in [(faster_tenant(), false), (moved_block_and_tenant(), true)] {
        let late = ChangeRequest { expected_version: Some(1), ..change("late") };
        let source_revision = "rev-first".to_owned();
        let lost = LostRace { version: 2, source_revision, overlaps };
        assert_eq!(store.apply(&wanted, &late).await, ChangeOutcome::LostRace(lost));
    }
    assert_eq!(head(&store).await.change_id, "first");
}

fn moved_block_and_tenant() -> Declarations {
    let mut res = faster_tenant();
    res.blocks.remove(0);
    res
}

/// Guards against a second operator who is refused although only keys changed, and against keys
/// that are lost when declarations are applied.
#[tokio::test]
async fn apply_race_with_keys() {
    let platform = platform().await;
    let a = config_store(object_store(&platform), 1);
    let b = config_store(object_store(&platform), 2);
    a.apply(&declarations(), &change("base")).await;
    platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
    let (first, key_1, key_2) = (moved_block("s2"), key("k1"), key("k2"));
    let apply_change = change("a");
    let outcomes = tokio::join!(
        a.apply(&first, &apply_change),
        b.issue_key(&key_1, "b1"),
        b.issue_key(&key_2, "b2"),
        b.switch_preset("peak", "b3"),
    );
    let is_applied = |it: &ChangeOutcome| matches!(it, ChangeOutcome::Applied { .. });
    assert!(is_applied(&outcomes.0), "{outcomes:?}");
    assert!(is_applied(&outcomes.1) && is_applied(&outcomes.2), "{outcomes:?}");
    assert!(is_applied(&outcomes.3), "{outcomes:?}");
    let head = head(&a).await;
    assert_eq!((head.version, head.active_preset.as_str()), (5, "peak"));
    let all = a.read_declarations(&head).await.unwrap();
    assert_eq!(all.keys, [key("k1"), key("k2")]);
    assert_eq!(all.blocks, first.blocks);
}

/// Guards against two preset switches of which the later silently undoes the earlier.
#[tokio::test]
async fn switch_preset_race() {
    let platform = platform().await;
    let a = config_store(object_store(&platform), 1);
    let mut three = declarations();
    three.presets.push(kingcupford_config::PresetDecl {
        name: "night".to_owned(),
        ..kingcupford_config::PresetDecl::default()
    });
    a.apply(&three, &change("base")).await;
    platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
    let outcomes = tokio::join!(a.switch_preset("peak", "a"), a.switch_preset("night", "b"));
    let overlapping = |it: &ChangeOutcome| {
        matches!(it, ChangeOutcome::LostRace(LostRace { version: 2, overlaps: true, .. }))
    };
    assert!(overlapping(&outcomes.0) != overlapping(&outcomes.1), "{outcomes:?}");
    assert_eq!(head(&a).await.version, 2);
}

/// Guards against a change that is applied twice or reported as failed when responses are lost.
#[tokio::test]
async fn apply_lost_answers() {
    for seed in 0..10 {
        let platform = platform().await;
        let store = config_store(object_store(&platform), seed);
        let lose_write_answer_fraction = 0.5;
        let faults =
            PlatformFaults { lose_write_answer_fraction, seed, ..PlatformFaults::default() };
        platform.set_faults(faults);
        assert_eq!(store.apply(&declarations(), &change("base")).await, applied(1));
        assert_eq!(store.issue_key(&key("k1"), "issue").await, applied(2));
        assert_eq!(store.revoke_key("k1", "revoke").await, applied(3));
        let head = head(&store).await;
        assert_eq!((head.version, head.change_id.as_str()), (3, "revoke"));
    }
}

/// Guards against a change reported as lost although another one was built on it.
#[tokio::test]
async fn apply_lost_answer_then_superseded() {
    let platform = platform().await;
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change("base")).await;
    let store = config_store(Interfered::new(inner, Interference::OtherAfter), 2);
    assert_eq!(store.apply(&moved_block("s2"), &change("a")).await, applied(2));
    let head = head(&store).await;
    assert_eq!((head.version, head.active_preset.as_str()), (3, "peak"));
    let all = store.read_declarations(&head).await.unwrap();
    assert_eq!(all.blocks[0].site, "s2");
}

/// Guards against a change reported as applied although another one took its place.
#[tokio::test]
async fn issue_key_lost_answer_and_race() {
    let platform = platform().await;
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change("base")).await;
    let store = config_store(Interfered::new(inner, Interference::OtherBefore), 2);
    assert_eq!(store.issue_key(&key("k1"), "a").await, applied(3));
    let head = head(&store).await;
    assert_eq!((head.version, head.active_preset.as_str()), (3, "peak"));
    assert_eq!(store.read_declarations(&head).await.unwrap().keys, [key("k1")]);
}

/// Guards against a write that takes effect after its timeout being followed by a second version.
#[tokio::test]
async fn apply_slow() {
    let platform = platform().await;
    let store = config_store(with_timeouts(&platform, 100), 1);
    store.apply(&declarations(), &change("base")).await;
    let end = tokio::spawn(async move {
        platform.set_faults(PlatformFaults { delay_ms: 400, ..PlatformFaults::default() });
        tokio::time::sleep(Duration::from_millis(1500)).await;
        platform.set_faults(PlatformFaults::default());
        platform
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(store.switch_preset("peak", "a").await, applied(2));
    let platform = end.await.unwrap();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let head = head(&store).await;
    assert_eq!((head.version, head.change_id.as_str()), (2, "a"));
    assert_eq!(platform.call_counts().waiting_watches, 0);
}

/// Guards against a change that never ends, or claims an unknown outcome, while the platform is
/// down or loses all writes.
#[tokio::test]
async fn change_down() {
    let platform = platform().await;
    let settings = ConfigStoreSettings { timeout_ms: 500, ..ConfigStoreSettings::default() };
    let store = ConfigStore::new(Arc::new(object_store(&platform)), settings, 1);
    store.apply(&declarations(), &change("base")).await;
    let down = PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
    platform.set_faults(down);
    assert_eq!(store.switch_preset("peak", "a").await, ChangeOutcome::Unavailable);
    // The replaced head cannot be kept, so that the head is never written.
    platform.set_faults(PlatformFaults { lose_next_writes: 1000, ..PlatformFaults::default() });
    assert_eq!(store.switch_preset("peak", "a").await, ChangeOutcome::Unavailable);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(head(&store).await.version, 1);
}

/// Guards against a claim of no effect when the outcome is unknown, and against a second version
/// when the operator repeats the change.
#[tokio::test]
async fn change_undetermined() {
    let platform = Arc::new(platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change("base")).await;
    let outage = Interference::OutageAfter(Arc::clone(&platform));
    let settings = ConfigStoreSettings { timeout_ms: 500, ..ConfigStoreSettings::default() };
    let store = ConfigStore::new(Arc::new(Interfered::new(inner, outage)), settings, 2);
    assert_eq!(store.issue_key(&key("k1"), "a").await, ChangeOutcome::Undetermined);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.issue_key(&key("k1"), "a").await, applied(2));
    assert_eq!(head(&store).await.version, 2);
}

/// Guards against keys that are lost, or stored without being reported, when many operators race
/// while responses are lost.
#[tokio::test]
async fn issue_key_many_operators() {
    let platform = platform().await;
    let first = config_store(object_store(&platform), 1);
    first.apply(&declarations(), &change("base")).await;
    let lose_write_answer_fraction = 0.2;
    let faults =
        PlatformFaults { delay_ms: 2, lose_write_answer_fraction, ..PlatformFaults::default() };
    platform.set_faults(faults);
    let mut operators = tokio::task::JoinSet::new();
    for operator in 0..8 {
        let store = Arc::new(object_store(&platform));
        operators.spawn(async move {
            let store = ConfigStore::new(store, ConfigStoreSettings::default(), operator);
            let mut outcomes = Vec::new();
            for at in 0..3 {
                let id = format!("k-{operator}-{at}");
                outcomes.push((id.clone(), store.issue_key(&key(&id), &id).await));
            }
            outcomes
        });
    }
    let outcomes: Vec<_> = operators.join_all().await.into_iter().flatten().collect();
    let head = head(&first).await;
    let stored = first.read_declarations(&head).await.unwrap().keys;
    let mut applied = 0;
    for (id, outcome) in outcomes {
        let is_applied = matches!(outcome, ChangeOutcome::Applied { .. });
        applied += u64::from(is_applied);
        assert_eq!(stored.iter().any(|it| it.id == id), is_applied, "{id}: {outcome:?}");
    }
    assert_eq!((head.version, stored.len() as u64), (1 + applied, applied));
    assert_eq!(applied, 24, "every change was possible");
}

/// Guards against faulty configurations and repeated identifiers being accepted.
#[tokio::test]
async fn change_rejected() {
    let platform = platform().await;
    let store = config_store(object_store(&platform), 1);
    let place = |outcome| match outcome {
        ChangeOutcome::Rejected(faults) => faults[0].place.clone(),
        it => panic!("not rejected: {it:?}"),
    };
    assert_eq!(place(store.issue_key(&key("k1"), "0").await), "config");
    let mut faulty = declarations();
    faulty.blocks[0].site = "nowhere".to_owned();
    assert_eq!(place(store.apply(&faulty, &change("a")).await), "blocks.10.0.0.0/24");
    store.apply(&declarations(), &change("base")).await;
    store.issue_key(&key("k1"), "1").await;
    assert_eq!(place(store.issue_key(&key("k1"), "2").await), "keys.k1");
    assert_eq!(place(store.revoke_key("k2", "3").await), "keys.k2");
    assert_eq!(place(store.switch_preset("night", "4").await), "active_preset");
    let mut without_tenant = declarations();
    without_tenant.tenants.remove(0);
    assert_eq!(place(store.apply(&without_tenant, &change("5")).await), "keys.k1");
    let mut without_preset = declarations();
    without_preset.presets.remove(0);
    without_preset.initial_preset = None;
    assert_eq!(place(store.apply(&without_preset, &change("6")).await), "presets");
    assert_eq!(head(&store).await.version, 2);
}

/// Guards against a small change that rewrites much of a large configuration, at the size of the
/// two-year target.
#[tokio::test]
async fn apply_one_block_of_160000() {
    let platform = platform().await;
    let store = config_store(object_store(&platform), 1);
    let mut large = declarations();
    large.sites.extend(
        (0..150).map(|it| SiteDecl { name: format!("site-{it}"), zone: "north-1".to_owned() }),
    );
    large.blocks = (0..160_000u32)
        .map(|it| BlockDecl {
            cidr: format!("{}.{}.{}.0/24", 11 + (it >> 16), (it >> 8) & 255, it & 255)
                .parse()
                .unwrap(),
            site: format!("site-{}", it % 150),
        })
        .collect();
    assert_eq!(store.apply(&large, &change("base")).await, applied(1));
    let first = platform.call_counts();
    large.blocks[77_777].site = "site-3".to_owned();
    assert_eq!(store.apply(&large, &change("one")).await, applied(2));
    let changed = platform.call_counts();
    let removed = large.blocks.remove(100_000);
    assert_eq!(store.apply(&large, &change("two")).await, applied(3));
    let second = platform.call_counts();
    large.blocks.push(removed);
    println!(
        "whole: {} writes, {} bytes; one block changed: {} writes, {} bytes; one removed: {} \
         writes, {} bytes",
        first.writes,
        first.bytes_written,
        changed.writes - first.writes,
        changed.bytes_written - first.bytes_written,
        second.writes - changed.writes,
        second.bytes_written - changed.bytes_written,
    );
    // Two chunks, the replaced head and the new head.
    assert!(changed.writes - first.writes <= 4);
    assert!(second.writes - changed.writes <= 4);
}

/// Guards against storage that grows without bound, and against the deletion of chunks that a
/// recent head or a concurrent writer needs.
#[tokio::test]
async fn apply_deletes_unused_chunks() {
    let platform = platform().await;
    let inner = object_store(&platform);
    let settings = |unused_chunk_retention_ms| ConfigStoreSettings {
        unused_chunk_retention_ms,
        ..ConfigStoreSettings::default()
    };
    let eager = ConfigStore::new(Arc::new(inner.clone()), settings(0), 1);
    let patient = config_store(inner.clone(), 2);
    let with_rate = |rate: u32| {
        let mut res = declarations();
        res.tenants[0].rate_per_s = f64::from(rate);
        res
    };
    let chunks = async || match inner.list("chunk/").await {
        CallOutcome::Value(it) => it.objects.len(),
        it => panic!("not listed: {it:?}"),
    };
    for rate in 1..=6 {
        patient.apply(&with_rate(rate), &change(&format!("p{rate}"))).await;
    }
    // Topology, blocks, service and presets, and the tenants of each version.
    assert_eq!(chunks().await, 4 + 6);
    eager.apply(&with_rate(7), &change("e7")).await;
    assert_eq!(chunks().await, 4 + 3);
    for (version, rate) in [(8, 6), (9, 1)] {
        // Goes back to chunks that exist and to chunks that were deleted.
        assert_eq!(
            eager.apply(&with_rate(rate), &change(&format!("b{rate}"))).await,
            applied(version)
        );
        let head = head(&eager).await;
        let read = eager.read_declarations(&head).await.unwrap();
        assert_eq!(read.tenants[1].rate_per_s, f64::from(rate));
    }
    for rate in 10..30 {
        eager.apply(&with_rate(rate), &change(&format!("e{rate}"))).await;
    }
    assert_eq!(chunks().await, 4 + 3);
    let CallOutcome::Value(history) = inner.list("history/head/").await else {
        panic!("not listed")
    };
    assert!(history.objects.len() <= 17, "{} heads are kept", history.objects.len());
}
