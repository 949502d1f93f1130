//! Changes of the configuration while the platform fails or other writers interfere.

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
    change_request, config_store, declarations, key, object_store, object_store_with_timeout,
    read_head, start_platform,
};
use kingcupford_config::{BlockDecl, Declarations, SiteDecl};
use kingcupford_platform::{
    CallOutcome, ChangeOutcome, ChangeRequest, Condition, ConfigStore, ConfigStoreSettings,
    HEAD_NAME, HostEntry, HttpObjectStore, Listing, LostRace, Object, ObjectStore, StoreRevision,
    WatchResponse, WriteOutcome,
};
use kingcupford_standin::{OutageMode, PlatformFaults, PlatformStandin};

const fn applied(version: u64) -> ChangeOutcome {
    ChangeOutcome::Applied { version }
}

/// Store that loses the response to the first write of the head and interferes with this write.
struct InterferingStore {
    inner: HttpObjectStore,
    other_operator: ConfigStore<HttpObjectStore>,
    interference: Interference,
    is_armed: AtomicBool,
}

/// Event immediately before or after the write whose response is lost.
enum Interference {
    /// Another operator switches the preset before the write, whose condition then fails.
    SwitchBefore,
    /// Another operator switches the preset after the write.
    SwitchAfter,
    /// The write takes effect and an outage begins.
    OutageAfter(Arc<PlatformStandin>),
    /// The platform is restored from a copy of [`COPY_AGE_MS`] before the write, whose response is
    /// not lost.
    RestoreBefore(Arc<PlatformStandin>),
    /// The write takes effect and the platform is restored from a copy of this age; its response is
    /// not lost.
    RestoreAfter(Arc<PlatformStandin>, u64),
    /// The write takes effect, the platform is restored from a copy that has it, and another
    /// operator applies another configuration; the response is not lost.
    RestoreAndApplyAfter(Arc<PlatformStandin>),
    /// The platform is restored from a copy of [`COPY_AGE_MS`] before the first deletion.
    RestoreBeforeDeletion(Arc<PlatformStandin>),
    /// As [`RestoreBefore`](Self::RestoreBefore), and then another operator issues a key.
    RestoreAndIssueBefore(Arc<PlatformStandin>),
}

/// Age of the copy from which the platform is restored.
const COPY_AGE_MS: u64 = 400;

/// Waits until the objects written so far are in the copy.
async fn wait_until_copied() {
    tokio::time::sleep(Duration::from_millis(COPY_AGE_MS + 200)).await;
}

impl InterferingStore {
    fn new(inner: HttpObjectStore, interference: Interference) -> Self {
        let other_operator = config_store(inner.clone(), 9);
        Self { inner, other_operator, interference, is_armed: AtomicBool::new(true) }
    }

    async fn switch_as_other_operator(&self) {
        let outcome = self.other_operator.switch_preset("peak", "other").await;
        assert!(matches!(outcome, ChangeOutcome::Applied { .. }));
    }
}

impl ObjectStore for InterferingStore {
    async fn read(&self, name: &str) -> CallOutcome<Option<Object>> {
        self.inner.read(name).await
    }

    async fn write(&self, name: &str, value: Bytes, condition: Condition) -> WriteOutcome {
        let is_at_deletion = matches!(self.interference, Interference::RestoreBeforeDeletion(_));
        if name != HEAD_NAME || is_at_deletion || !self.is_armed.swap(false, Ordering::SeqCst) {
            return self.inner.write(name, value, condition).await;
        }
        match &self.interference {
            Interference::SwitchBefore => {
                self.switch_as_other_operator().await;
                self.inner.write(name, value, condition).await;
            }
            Interference::SwitchAfter => {
                self.inner.write(name, value, condition).await;
                self.switch_as_other_operator().await;
            }
            Interference::OutageAfter(platform) => {
                self.inner.write(name, value, condition).await;
                let outage = OutageMode::Unavailable;
                platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
            }
            Interference::RestoreBefore(platform) => {
                platform.restore(COPY_AGE_MS).unwrap();
                return self.inner.write(name, value, condition).await;
            }
            Interference::RestoreAfter(platform, age_ms) => {
                let outcome = self.inner.write(name, value, condition).await;
                platform.restore(*age_ms).unwrap();
                return outcome;
            }
            Interference::RestoreAndApplyAfter(platform) => {
                let outcome = self.inner.write(name, value, condition).await;
                platform.restore(0).unwrap();
                let request = change_request("other");
                let declarations = declarations_with_faster_team();
                let applied = self.other_operator.apply(&declarations, &request).await;
                assert!(matches!(applied, ChangeOutcome::Applied { .. }));
                return outcome;
            }
            Interference::RestoreBeforeDeletion(_) => unreachable!("checked above"),
            Interference::RestoreAndIssueBefore(platform) => {
                platform.restore(COPY_AGE_MS).unwrap();
                let outcome = self.other_operator.issue_key(&key("other"), "other").await;
                assert!(matches!(outcome, ChangeOutcome::Applied { .. }));
                return self.inner.write(name, value, condition).await;
            }
        }
        WriteOutcome::Unknown
    }

    async fn delete(&self, name: &str, condition: Condition) -> WriteOutcome {
        if let Interference::RestoreBeforeDeletion(platform) = &self.interference
            && self.is_armed.swap(false, Ordering::SeqCst)
        {
            platform.restore(COPY_AGE_MS).unwrap();
        }
        self.inner.delete(name, condition).await
    }

    async fn list(&self, prefix: &str) -> CallOutcome<Listing> {
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> CallOutcome<WatchResponse> {
        self.inner.watch(prefix, after, wait).await
    }

    async fn list_hosts(&self) -> CallOutcome<Vec<HostEntry>> {
        self.inner.list_hosts().await
    }

    async fn announce(&self, entry: &HostEntry) -> CallOutcome<()> {
        self.inner.announce(entry).await
    }
}

fn declarations_with_block_at(site: &str) -> Declarations {
    let mut res = declarations();
    res.blocks[0].site = site.to_owned();
    res
}

fn declarations_with_faster_team() -> Declarations {
    let mut res = declarations();
    res.teams[0].rate_per_s = 99.0;
    res
}

/// Guards against reporting both of two concurrent changes as applied.
#[tokio::test]
async fn apply_race() {
    for (second, overlaps) in
        [(declarations_with_faster_team(), false), (faster_team_without_block(), true)]
    {
        let platform = start_platform().await;
        let (a, b) =
            (config_store(object_store(&platform), 1), config_store(object_store(&platform), 2));
        assert_eq!(a.apply(&declarations(), &change_request("base")).await, applied(1));
        platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
        let first = declarations_with_block_at("s2");
        let (request_a, request_b) = (change_request("a"), change_request("b"));
        let outcomes = tokio::join!(a.apply(&first, &request_a), b.apply(&second, &request_b));
        let head = read_head(&a).await;
        assert_eq!(head.version, 2);
        let (winner, loser) = match outcomes {
            (ChangeOutcome::Applied { .. }, it) => ("a", it),
            (it, ChangeOutcome::Applied { .. }) => ("b", it),
            it => panic!("no change was applied: {it:?}"),
        };
        assert_eq!(head.change_id, winner);
        let source_revision = format!("rev-{winner}");
        assert_eq!(
            loser,
            ChangeOutcome::LostRace(LostRace { version: 2, source_revision, overlaps })
        );
    }
}

/// Guards against a change that overwrites another one made since it was planned, and against a
/// wrong report of whether both affect the same entry.
#[tokio::test]
async fn apply_after_plan() {
    let platform = start_platform().await;
    let store = config_store(object_store(&platform), 1);
    store.apply(&declarations(), &change_request("base")).await;
    assert_eq!(
        store.apply(&declarations_with_block_at("s2"), &change_request("first")).await,
        applied(2)
    );
    for (desired, overlaps) in
        [(declarations_with_faster_team(), false), (faster_team_without_block(), true)]
    {
        let late = ChangeRequest { expected_version: Some(1), ..change_request("late") };
        let source_revision = "rev-first".to_owned();
        let lost = LostRace { version: 2, source_revision, overlaps };
        assert_eq!(store.apply(&desired, &late).await, ChangeOutcome::LostRace(lost));
    }
    assert_eq!(read_head(&store).await.change_id, "first");
}

fn faster_team_without_block() -> Declarations {
    let mut res = declarations_with_faster_team();
    res.blocks.remove(0);
    res
}

/// Guards against a change of declarations that is rejected because of concurrent changes to keys
/// and the active preset only, and against keys that are lost when declarations are applied.
#[tokio::test]
async fn apply_race_with_keys() {
    let platform = start_platform().await;
    let a = config_store(object_store(&platform), 1);
    let b = config_store(object_store(&platform), 2);
    a.apply(&declarations(), &change_request("base")).await;
    platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
    let (desired, key_1, key_2) = (declarations_with_block_at("s2"), key("k1"), key("k2"));
    let request = change_request("a");
    let outcomes = tokio::join!(
        a.apply(&desired, &request),
        b.issue_key(&key_1, "b1"),
        b.issue_key(&key_2, "b2"),
        b.switch_preset("peak", "b3"),
    );
    let is_applied = |it: &ChangeOutcome| matches!(it, ChangeOutcome::Applied { .. });
    assert!(is_applied(&outcomes.0), "{outcomes:?}");
    assert!(is_applied(&outcomes.1) && is_applied(&outcomes.2), "{outcomes:?}");
    assert!(is_applied(&outcomes.3), "{outcomes:?}");
    let head = read_head(&a).await;
    assert_eq!((head.version, head.active_preset.as_str()), (5, "peak"));
    let stored = a.read_declarations(&head).await.unwrap();
    assert_eq!(stored.keys, [key("k1"), key("k2")]);
    assert_eq!(stored.blocks, desired.blocks);
}

/// Guards against a preset switch that silently reverts a concurrent one.
#[tokio::test]
async fn switch_preset_race() {
    let platform = start_platform().await;
    let a = config_store(object_store(&platform), 1);
    let mut desired = declarations();
    desired.presets.push(kingcupford_config::PresetDecl {
        name: "night".to_owned(),
        ..kingcupford_config::PresetDecl::default()
    });
    a.apply(&desired, &change_request("base")).await;
    platform.set_faults(PlatformFaults { delay_ms: 30, ..PlatformFaults::default() });
    let outcomes = tokio::join!(a.switch_preset("peak", "a"), a.switch_preset("night", "b"));
    let is_overlapping = |it: &ChangeOutcome| {
        matches!(it, ChangeOutcome::LostRace(LostRace { version: 2, overlaps: true, .. }))
    };
    assert!(is_overlapping(&outcomes.0) != is_overlapping(&outcomes.1), "{outcomes:?}");
    assert_eq!(read_head(&a).await.version, 2);
}

/// Guards against a change that is applied twice or reported as failed because responses to writes
/// are lost.
#[tokio::test]
async fn change_lost_responses() {
    for seed in 0..10 {
        let platform = start_platform().await;
        let store = config_store(object_store(&platform), seed);
        let lose_write_answer_fraction = 0.5;
        let faults =
            PlatformFaults { lose_write_answer_fraction, seed, ..PlatformFaults::default() };
        platform.set_faults(faults);
        assert_eq!(store.apply(&declarations(), &change_request("base")).await, applied(1));
        assert_eq!(store.issue_key(&key("k1"), "issue").await, applied(2));
        assert_eq!(store.revoke_key("k1", "revoke").await, applied(3));
        let head = read_head(&store).await;
        assert_eq!((head.version, head.change_id.as_str()), (3, "revoke"));
    }
}

/// Guards against reporting a change as not applied if its response is lost and a later change
/// replaces it.
#[tokio::test]
async fn apply_lost_response_then_replaced() {
    let platform = start_platform().await;
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    let store = config_store(InterferingStore::new(inner, Interference::SwitchAfter), 2);
    assert_eq!(
        store.apply(&declarations_with_block_at("s2"), &change_request("a")).await,
        applied(2)
    );
    let head = read_head(&store).await;
    assert_eq!((head.version, head.active_preset.as_str()), (3, "peak"));
    let stored = store.read_declarations(&head).await.unwrap();
    assert_eq!(stored.blocks[0].site, "s2");
}

/// Guards against reporting a change as applied if its response is lost and another change took its
/// version.
#[tokio::test]
async fn issue_key_lost_response_and_race() {
    let platform = start_platform().await;
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    let store = config_store(InterferingStore::new(inner, Interference::SwitchBefore), 2);
    assert_eq!(store.issue_key(&key("k1"), "a").await, applied(3));
    let head = read_head(&store).await;
    assert_eq!((head.version, head.active_preset.as_str()), (3, "peak"));
    assert_eq!(store.read_declarations(&head).await.unwrap().keys, [key("k1")]);
}

/// Guards against a second configuration version for a change whose write takes effect only after
/// its timeout.
#[tokio::test]
async fn switch_preset_slow_platform() {
    let platform = start_platform().await;
    let store = config_store(object_store_with_timeout(&platform, 100), 1);
    store.apply(&declarations(), &change_request("base")).await;
    let slow_period = tokio::spawn(async move {
        platform.set_faults(PlatformFaults { delay_ms: 400, ..PlatformFaults::default() });
        tokio::time::sleep(Duration::from_millis(1500)).await;
        platform.set_faults(PlatformFaults::default());
        platform
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(store.switch_preset("peak", "a").await, applied(2));
    let platform = slow_period.await.unwrap();
    tokio::time::sleep(Duration::from_millis(600)).await;
    let head = read_head(&store).await;
    assert_eq!((head.version, head.change_id.as_str()), (2, "a"));
    assert_eq!(platform.call_counts().waiting_watches, 0);
}

/// Guards against a change that does not end, or is reported as undetermined, while the platform is
/// unavailable or loses all writes.
#[tokio::test]
async fn change_platform_unavailable() {
    let platform = start_platform().await;
    let settings = ConfigStoreSettings { timeout_ms: 500, ..ConfigStoreSettings::default() };
    let store = ConfigStore::new(Arc::new(object_store(&platform)), settings, 1);
    store.apply(&declarations(), &change_request("base")).await;
    let unavailable =
        PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
    platform.set_faults(unavailable);
    assert_eq!(store.switch_preset("peak", "a").await, ChangeOutcome::Unavailable);
    // The head is never written, because the replaced head cannot be archived.
    platform.set_faults(PlatformFaults { lose_next_writes: 1000, ..PlatformFaults::default() });
    assert_eq!(store.switch_preset("peak", "a").await, ChangeOutcome::Unavailable);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(read_head(&store).await.version, 1);
}

/// Guards against reporting a change as not applied if its outcome is unknown, and against a second
/// configuration version if the operator repeats the change.
#[tokio::test]
async fn change_undetermined() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    let interference = Interference::OutageAfter(Arc::clone(&platform));
    let settings = ConfigStoreSettings { timeout_ms: 500, ..ConfigStoreSettings::default() };
    let store = ConfigStore::new(Arc::new(InterferingStore::new(inner, interference)), settings, 2);
    assert_eq!(store.issue_key(&key("k1"), "a").await, ChangeOutcome::Undetermined);
    platform.set_faults(PlatformFaults::default());
    assert_eq!(store.issue_key(&key("k1"), "a").await, applied(2));
    assert_eq!(read_head(&store).await.version, 2);
}

/// Guards against keys that are reported as issued but not stored, or the reverse, while many
/// operators race and responses are lost.
#[tokio::test]
async fn issue_key_many_operators() {
    let platform = start_platform().await;
    let first = config_store(object_store(&platform), 1);
    first.apply(&declarations(), &change_request("base")).await;
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
            for index in 0..3 {
                let id = format!("k-{operator}-{index}");
                outcomes.push((id.clone(), store.issue_key(&key(&id), &id).await));
            }
            outcomes
        });
    }
    let outcomes: Vec<_> = operators.join_all().await.into_iter().flatten().collect();
    let head = read_head(&first).await;
    let stored = first.read_declarations(&head).await.unwrap().keys;
    let mut applied_count = 0;
    for (id, outcome) in outcomes {
        let is_applied = matches!(outcome, ChangeOutcome::Applied { .. });
        applied_count += u64::from(is_applied);
        assert_eq!(stored.iter().any(|it| it.id == id), is_applied, "{id}: {outcome:?}");
    }
    assert_eq!((head.version, stored.len() as u64), (1 + applied_count, applied_count));
    assert_eq!(applied_count, 24, "every change can be applied");
}

/// Guards against accepting invalid configurations and duplicate keys.
#[tokio::test]
async fn change_rejected() {
    let platform = start_platform().await;
    let store = config_store(object_store(&platform), 1);
    let rejected_place = |outcome| match outcome {
        ChangeOutcome::Rejected(errors) => errors[0].place.clone(),
        it => panic!("not rejected: {it:?}"),
    };
    assert_eq!(rejected_place(store.issue_key(&key("k1"), "0").await), "config");
    let mut invalid = declarations();
    invalid.blocks[0].site = "nowhere".to_owned();
    assert_eq!(
        rejected_place(store.apply(&invalid, &change_request("a")).await),
        "blocks.10.0.0.0/24"
    );
    store.apply(&declarations(), &change_request("base")).await;
    store.issue_key(&key("k1"), "1").await;
    assert_eq!(rejected_place(store.issue_key(&key("k1"), "2").await), "keys.k1");
    assert_eq!(rejected_place(store.revoke_key("k2", "3").await), "keys.k2");
    assert_eq!(rejected_place(store.switch_preset("night", "4").await), "active_preset");
    let mut without_team = declarations();
    without_team.teams.remove(0);
    assert_eq!(rejected_place(store.apply(&without_team, &change_request("5")).await), "keys.k1");
    let mut without_preset = declarations();
    without_preset.presets.remove(0);
    without_preset.initial_preset = None;
    assert_eq!(rejected_place(store.apply(&without_preset, &change_request("6")).await), "presets");
    assert_eq!(read_head(&store).await.version, 2);
}

/// Guards against a small change that rewrites a large part of the configuration, at the number of
/// client blocks of the two-year target.
#[tokio::test]
async fn apply_one_block_of_160000() {
    let platform = start_platform().await;
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
    assert_eq!(store.apply(&large, &change_request("base")).await, applied(1));
    let after_first = platform.call_counts();
    large.blocks[77_777].site = "site-3".to_owned();
    assert_eq!(store.apply(&large, &change_request("one")).await, applied(2));
    let after_update = platform.call_counts();
    let removed = large.blocks.remove(100_000);
    assert_eq!(store.apply(&large, &change_request("two")).await, applied(3));
    let after_removal = platform.call_counts();
    large.blocks.push(removed);
    println!(
        "complete configuration: {} writes, {} bytes; one block changed: {} writes, {} bytes; \
         one removed: {} writes, {} bytes",
        after_first.writes,
        after_first.bytes_written,
        after_update.writes - after_first.writes,
        after_update.bytes_written - after_first.bytes_written,
        after_removal.writes - after_update.writes,
        after_removal.bytes_written - after_update.bytes_written,
    );
    // At most two chunks, the archived head and the new head.
    assert!(after_update.writes - after_first.writes <= 4);
    assert!(after_removal.writes - after_update.writes <= 4);
}

/// Guards against storage that grows without limit, and against the deletion of chunks that a
/// recent head or a concurrent writer needs.
#[tokio::test]
async fn apply_deletes_unused_chunks() {
    let platform = start_platform().await;
    let inner = object_store(&platform);
    let settings = |unused_chunk_retention_ms| ConfigStoreSettings {
        unused_chunk_retention_ms,
        ..ConfigStoreSettings::default()
    };
    let without_retention = ConfigStore::new(Arc::new(inner.clone()), settings(0), 1);
    let with_retention = config_store(inner.clone(), 2);
    let declarations_with_rate = |rate: u32| {
        let mut res = declarations();
        res.teams[0].rate_per_s = f64::from(rate);
        res
    };
    let stored_chunk_count = async || match inner.list("chunk/").await {
        CallOutcome::Value(it) => it.objects.len(),
        it => panic!("chunks cannot be listed: {it:?}"),
    };
    for rate in 1..=6 {
        with_retention
            .apply(&declarations_with_rate(rate), &change_request(&format!("p{rate}")))
            .await;
    }
    // One chunk each for topology, blocks, service and presets, and one with the teams of each
    // version.
    assert_eq!(stored_chunk_count().await, 4 + 6);
    without_retention.apply(&declarations_with_rate(7), &change_request("e7")).await;
    assert_eq!(stored_chunk_count().await, 4 + 3);
    for (version, rate) in [(8, 6), (9, 1)] {
        // The teams return to a chunk that is still stored, then to one that was deleted.
        assert_eq!(
            without_retention
                .apply(&declarations_with_rate(rate), &change_request(&format!("b{rate}")))
                .await,
            applied(version)
        );
        let head = read_head(&without_retention).await;
        let stored = without_retention.read_declarations(&head).await.unwrap();
        assert_eq!(stored.teams[1].rate_per_s, f64::from(rate));
    }
    for rate in 10..30 {
        without_retention
            .apply(&declarations_with_rate(rate), &change_request(&format!("e{rate}")))
            .await;
    }
    assert_eq!(stored_chunk_count().await, 4 + 3);
    let CallOutcome::Value(history) = inner.list("history/head/").await else {
        panic!("archived heads cannot be listed")
    };
    assert!(history.objects.len() <= 17, "{} archived heads are stored", history.objects.len());
}

/// Guards against a head whose chunks were lost when the platform was restored between their write
/// and that of the head.
#[tokio::test]
async fn apply_restored_before_head() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    let interference = Interference::RestoreBefore(Arc::clone(&platform));
    let store = config_store(InterferingStore::new(inner, interference), 2);
    let change = declarations_with_block_at("s2");
    let outcome = store.apply(&change, &change_request("a")).await;
    assert!(matches!(outcome, ChangeOutcome::Applied { .. }), "{outcome:?}");
    let reader = config_store(object_store(&platform), 3);
    let stored = reader.read_declarations(&read_head(&reader).await).await;
    assert_eq!(stored.expect("all chunks are stored").blocks[0].site, "s2");
}

/// Guards against a change that overwrites another one because the version on which its write is
/// conditional was given out again after a restoration.
#[tokio::test]
async fn issue_key_restored_version_reused() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    config_store(inner.clone(), 3).issue_key(&key("lost"), "lost").await;
    let interference = Interference::RestoreAndIssueBefore(Arc::clone(&platform));
    let store = config_store(InterferingStore::new(inner, interference), 2);
    let outcome = store.issue_key(&key("k1"), "a").await;
    assert!(matches!(outcome, ChangeOutcome::Applied { .. }), "{outcome:?}");
    let keys = store.read_declarations(&read_head(&store).await).await.unwrap().keys;
    let ids: Vec<&str> = keys.iter().map(|it| it.id.as_str()).collect();
    assert!(ids.contains(&"other") && ids.contains(&"k1"), "keys of both operators: {ids:?}");
}

/// Guards against a configuration version that is given to two configurations, of which hosts that
/// have the lost one ignore the other.
#[tokio::test]
async fn issue_key_restored_config_version() {
    let platform = start_platform().await;
    let store = config_store(object_store(&platform), 1);
    store.apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    assert_eq!(store.issue_key(&key("lost"), "lost").await, applied(2));
    platform.restore(COPY_AGE_MS).unwrap();
    let outcome = config_store(object_store(&platform), 2).issue_key(&key("k1"), "a").await;
    let ChangeOutcome::Applied { version } = outcome else { panic!("{outcome:?}") };
    assert!(version > 2, "version {version} was given to a lost configuration");
}

/// Guards against a repeated folder or preset that gets no new version after a restoration, so that
/// hosts keep the configuration that the platform lost.
#[tokio::test]
async fn apply_restored_unchanged() {
    let platform = start_platform().await;
    let store = config_store(object_store(&platform), 1);
    store.apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    assert_eq!(store.switch_preset("peak", "lost").await, applied(2));
    platform.restore(COPY_AGE_MS).unwrap();
    let mut newest_version = 2;
    for round in 0..2 {
        let base_again =
            |id: &str| ChangeRequest { id: format!("{id}-{round}"), ..change_request("base") };
        let outcome = store.apply(&declarations(), &base_again("first")).await;
        let ChangeOutcome::Applied { version } = outcome else { panic!("{outcome:?}") };
        assert!(version > newest_version, "version {version} after {newest_version}");
        assert_eq!(store.apply(&declarations(), &base_again("second")).await, outcome);
        newest_version = version;
        platform.restore(0).unwrap();
    }
    let outcome = store.switch_preset("ordinary", "preset").await;
    let ChangeOutcome::Applied { version } = outcome else { panic!("{outcome:?}") };
    assert!(version > newest_version, "version {version} after {newest_version}");
}

/// Guards against a change that is reported as applied although the platform lost it before the
/// response, and against one that is applied twice because the platform did not lose it.
#[tokio::test]
async fn change_restored_after_head() {
    for age_ms in [0, COPY_AGE_MS] {
        let platform = Arc::new(start_platform().await);
        let inner = object_store(&platform);
        let base = config_store(inner.clone(), 1);
        base.apply(&declarations(), &change_request("base")).await;
        base.issue_key(&key("k1"), "base-key").await;
        wait_until_copied().await;
        let interfering = || {
            let interference = Interference::RestoreAfter(Arc::clone(&platform), age_ms);
            config_store(InterferingStore::new(inner.clone(), interference), 2)
        };
        let issued = interfering().issue_key(&key("k2"), "issue").await;
        assert!(matches!(issued, ChangeOutcome::Applied { .. }), "{issued:?}");
        wait_until_copied().await;
        let revoked = interfering().revoke_key("k1", "revoke").await;
        assert!(matches!(revoked, ChangeOutcome::Applied { .. }), "{revoked:?}");
        let head = read_head(&base).await;
        assert_eq!(revoked, applied(head.version), "copy of {age_ms} ms");
        let stored = base.read_declarations(&head).await.unwrap();
        assert_eq!(stored.keys, [key("k2")], "copy of {age_ms} ms");
    }
}

/// Guards against the loss of a key whose head was overwritten by a write from before a
/// restoration, which nobody has noticed yet.
#[tokio::test]
async fn issue_key_overwritten_head() {
    let platform = start_platform().await;
    let inner = object_store(&platform);
    let store = config_store(inner.clone(), 1);
    store.apply(&declarations(), &change_request("base")).await;
    let CallOutcome::Value(Some(old_head)) = inner.read(HEAD_NAME).await else {
        panic!("the head was not read")
    };
    platform.restore(0).unwrap();
    let ChangeOutcome::Applied { version } = store.issue_key(&key("k1"), "first").await else {
        panic!("the key was not issued")
    };
    inner.write(HEAD_NAME, old_head.bytes, Condition::Always).await;
    let writes_before = platform.call_counts().writes;
    assert_eq!(store.issue_key(&key("k2"), "second").await, applied(version + 1));
    let write_count = platform.call_counts().writes - writes_before;
    assert!(write_count <= 5, "{write_count} writes, among them a second head of a version");
    let keys = store.read_declarations(&read_head(&store).await).await.unwrap().keys;
    assert_eq!(keys, [key("k1"), key("k2")]);
}

/// Guards against a change that repeats a write until its deadline although the head on which the
/// write is conditional was lost.
#[tokio::test]
async fn issue_key_restored_older_head() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    config_store(inner.clone(), 3).issue_key(&key("lost"), "lost").await;
    let interference = Interference::RestoreBefore(Arc::clone(&platform));
    let store = config_store(InterferingStore::new(inner, interference), 2);
    let outcome = store.issue_key(&key("k1"), "a").await;
    let ChangeOutcome::Applied { version } = outcome else { panic!("{outcome:?}") };
    assert!(version > 3, "version {version} may be that of a lost configuration");
    let head = read_head(&store).await;
    assert!(store.read_declarations(&head).await.unwrap().keys.contains(&key("k1")));
}

/// Guards against the deletion of a chunk that the lost heads did not need, but that the head of the
/// copy refers to.
#[tokio::test]
async fn apply_restored_before_deletion() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    let other = config_store(inner.clone(), 1);
    other.apply(&declarations(), &change_request("base")).await;
    wait_until_copied().await;
    let with_rate = |rate: u32| {
        let mut res = declarations();
        res.teams[0].rate_per_s = f64::from(rate);
        res
    };
    other.apply(&with_rate(11), &change_request("first")).await;
    other.apply(&with_rate(12), &change_request("second")).await;
    let interference = Interference::RestoreBeforeDeletion(Arc::clone(&platform));
    let store = Arc::new(InterferingStore::new(inner.clone(), interference));
    let unused_chunk_retention_ms = COPY_AGE_MS;
    let settings =
        ConfigStoreSettings { unused_chunk_retention_ms, ..ConfigStoreSettings::default() };
    let deleting = ConfigStore::new(store, settings, 2);
    for rate in 13..=16 {
        let outcome = deleting.apply(&with_rate(rate), &change_request(&format!("{rate}"))).await;
        assert!(matches!(outcome, ChangeOutcome::Applied { .. }), "{outcome:?}");
        let head = read_head(&other).await;
        assert!(other.read_declarations(&head).await.is_some(), "{head:?} lacks a chunk");
        wait_until_copied().await;
    }
    let chunk_count = inner.list("chunk/").await.value().unwrap().objects.len();
    assert!(chunk_count < 4 + 7, "{chunk_count} chunks, none was deleted");
}

/// Guards against a report that a change had no effect although it took effect before a restoration
/// and another change replaced it.
#[tokio::test]
async fn apply_restored_after_head_then_replaced() {
    let platform = Arc::new(start_platform().await);
    let inner = object_store(&platform);
    config_store(inner.clone(), 1).apply(&declarations(), &change_request("base")).await;
    let interference = Interference::RestoreAndApplyAfter(Arc::clone(&platform));
    let store = config_store(InterferingStore::new(inner, interference), 2);
    let outcome = store.apply(&declarations_with_block_at("s2"), &change_request("a")).await;
    assert_eq!(outcome, ChangeOutcome::Undetermined);
    assert_eq!(read_head(&store).await.change_id, "other");
}
