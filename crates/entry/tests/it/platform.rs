//! Hosts while the platform is unavailable, slow, or serves an outdated state.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use http::{HeaderName, HeaderValue, StatusCode, header};
use kingcupford_entry::EraDialect;
use kingcupford_platform::{
    ApiResponse, CallOutcome, ChangeOutcome, Condition, Dialect as _, HttpObjectStore,
    HttpStoreSettings, ObjectStore as _, StoreRevision, WatchResponse, WriteOutcome,
};
use kingcupford_quota::Ledger;
use kingcupford_rollout::{MIN_DURATION_MS, Rollout, StartRequest, start};
use kingcupford_standin::{OutageMode, PlatformFaults};
use tokio::time::{Instant, sleep};

use crate::support::{TestFleet, run_test, settings, wait_until};

/// Guards against a new host that cannot serve until the platform is available again.
#[test]
fn new_host_without_platform() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let outage = PlatformFaults { outage: OutageMode::Dropped, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        fleet.hosts[2].take().expect("the host is running").kill();
        fleet.start_host(2)?;
        let started = Instant::now();
        wait_until("the new host serves", Duration::from_secs(20), || async {
            let read = fleet.get(2, "/ledger-view/a", &key).send().await;
            read.is_ok_and(|it| it.status() == 200)
        })
        .await?;
        println!("a new host served {:?} after its start", started.elapsed());
        let status = fleet.status(fleet.host(2)).await?;
        assert_eq!(status["config_version"], 2);
        Ok(())
    });
}

/// Guards against a configuration that reverts to an older version, and a revoked key that works
/// again, when a host starts while the platform serves an outdated state.
#[test]
fn config_never_reverts() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let CallOutcome::Value(Some(old_head)) = fleet.deployment.store.read("config/head").await
        else {
            anyhow::bail!("the head was not read");
        };
        let revoked = fleet.deployment.config.revoke_key("k", "revoke-k").await;
        let ChangeOutcome::Applied { version } = revoked else { anyhow::bail!("{revoked:?}") };
        fleet.wait_until_active(version).await?;
        // Simulates a platform that was restored from a backup.
        fleet
            .deployment
            .store
            .write("config/head", old_head.bytes.clone(), Condition::Always)
            .await;
        for index in [0, 2] {
            fleet.hosts[index].take().expect("the host is running").kill();
            fleet.start_host(index)?;
            let started = Instant::now();
            let mut is_ready = false;
            while started.elapsed() < Duration::from_secs(4) {
                for other in 0..fleet.hosts.len() {
                    let read = fleet.get(other, "/ledger-view/a", &key).send().await;
                    let status = read.map_or(0, |it| it.status().as_u16());
                    ensure!(status != 200, "the revoked key works at host {other} again");
                    is_ready |= other == index && status == 401;
                }
                sleep(Duration::from_millis(5)).await;
            }
            ensure!(is_ready, "host {index} did not become ready");
            for host in fleet.hosts.iter().flatten() {
                let status = fleet.status(host).await?;
                let active = status["config_version"].as_u64().context("no version")?;
                ensure!(active >= version, "version {active} after {version}");
            }
        }
        Ok(())
    });
}

/// Guards against configuration changes that are not active at every host within 6 s because the
/// platform is slow.
#[test]
fn change_with_slow_platform() {
    run_test(async {
        let fleet = TestFleet::start(settings(4, &["fukuoka-a"], 16)).await?;
        let slow = PlatformFaults { delay_ms: 500, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(slow);
        let mut declarations = fleet.deployment.declarations();
        for number in 0..3 {
            declarations.teams[0].burst += 1.0;
            let revision = format!("slow-{number}");
            let version = fleet.deployment.apply(&declarations, &revision).await?;
            let elapsed = fleet.wait_until_active(version).await?;
            println!("version {version} was active everywhere after {elapsed:?}");
            ensure!(elapsed < Duration::from_secs(6), "active after {elapsed:?}");
        }
        Ok(())
    });
}

/// Guards against hosts that keep to a ledger which the platform has lost, so that no host can join
/// or change the division again.
#[test]
fn ledger_after_restoration() {
    run_test(async {
        let mut fleet = TestFleet::prepare(settings(3, &["fukuoka-a"], 16), |_| ()).await?;
        let prepared_at = Instant::now();
        sleep(Duration::from_millis(100)).await;
        for index in [0, 1] {
            fleet.start_host(index)?;
        }
        fleet.wait_until_settled(1).await?;
        sleep(Duration::from_secs(1)).await;
        let third_started_at = Instant::now();
        fleet.start_host(2)?;
        fleet.wait_until_settled(1).await?;
        // The first copy has no record of the third host, the second one has no ledger.
        for copied_at in [third_started_at, prepared_at] {
            let age_ms = copied_at.elapsed().as_millis() as u64;
            fleet.deployment.platform.restore(age_ms)?;
            let waited = wait_until("the ledger names all hosts", Duration::from_secs(20), || {
                let read = fleet.deployment.store.read("quota/ledger");
                async {
                    let object = read.await.value().flatten();
                    let ledger =
                        object.and_then(|it| serde_json::from_slice::<Ledger>(&it.bytes).ok());
                    ledger.is_some_and(|it| it.holders.len() == 3)
                }
            });
            println!("the ledger named all hosts {:?} after the restoration", waited.await?);
            fleet.wait_until_settled(1).await?;
        }
        Ok(())
    });
}

/// Guards against a rollout that stays at its stage, where no controller can advance it or roll it
/// back, because the platform is restored from a copy without it.
#[test]
fn rollout_after_restoration() {
    run_test(async {
        let fleet = TestFleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let store = &fleet.deployment.store;
        sleep(Duration::from_millis(500)).await;
        let copied_at = Instant::now();
        sleep(Duration::from_millis(100)).await;
        let now_unix_ms = std::time::UNIX_EPOCH.elapsed()?.as_millis() as u64;
        let request = StartRequest {
            service: "ledger-view".to_owned(),
            from: "v1".to_owned(),
            to: "v2".to_owned(),
            now_unix_ms,
            deadline_unix_ms: now_unix_ms + MIN_DURATION_MS,
            write_id: 1,
        };
        let bytes = serde_json::to_vec(&start(None, &request)?)?;
        store.write("rollout/ledger-view", bytes.into(), Condition::Absent).await;
        let is_controlled = || async {
            let object = store.read("rollout/ledger-view").await.value().flatten();
            let rollout = object.and_then(|it| serde_json::from_slice::<Rollout>(&it.bytes).ok());
            rollout.is_some_and(|it| it.started_unix_ms == now_unix_ms && it.controller.is_some())
        };
        wait_until("a host controls the rollout", Duration::from_secs(10), is_controlled).await?;
        // The other hosts learn of the controller's write.
        sleep(Duration::from_secs(1)).await;
        fleet.deployment.platform.restore(copied_at.elapsed().as_millis() as u64)?;
        ensure!(!is_controlled().await, "the copy has the rollout");
        let waited =
            wait_until("a host writes it again", Duration::from_secs(10), is_controlled).await?;
        println!("a host wrote the rollout again {waited:?} after the restoration");
        Ok(())
    });
}

/// Guards against a revocation after a restoration that hosts ignore because a configuration which
/// the platform lost had the same version.
#[test]
fn revoked_key_after_restoration() {
    run_test(async {
        let fleet = TestFleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        sleep(Duration::from_millis(500)).await;
        let copied_at = Instant::now();
        fleet.issue_key("lost", "school-1").await?;
        fleet.deployment.platform.restore(copied_at.elapsed().as_millis() as u64)?;
        let revoked = fleet.deployment.config.revoke_key("k", "revoke-k").await;
        ensure!(matches!(revoked, ChangeOutcome::Applied { .. }), "{revoked:?}");
        for index in 0..fleet.hosts.len() {
            wait_until("the revoked key is refused", Duration::from_secs(6), || async {
                let read = fleet.get(index, "/ledger-view/a", &key).send().await;
                read.is_ok_and(|it| it.status() == 401)
            })
            .await?;
        }
        Ok(())
    });
}

/// Guards against a version from before a restoration that is taken for one given out again.
#[test]
fn versions_rise_over_restoration() {
    run_test(async {
        let fleet = TestFleet::prepare(settings(1, &["fukuoka-a"], 16), |_| ()).await?;
        let platform = &fleet.deployment.platform;
        let store_settings = HttpStoreSettings::new(&format!("http://{}", platform.address()));
        let store = HttpObjectStore::with_dialect(store_settings, EraDialect::default())?;
        let write = async |condition| store.write("quota/a", "1".into(), condition).await;
        sleep(Duration::from_millis(500)).await;
        let WriteOutcome::Written { version: lost } = write(Condition::Always).await else {
            anyhow::bail!("not written");
        };
        platform.restore(300)?;
        ensure!(store.read("quota/a").await == CallOutcome::Value(None));
        let WriteOutcome::Written { version } = write(Condition::Always).await else {
            anyhow::bail!("not written");
        };
        ensure!(version > lost, "version {version} after {lost}");
        ensure!(
            write(Condition::Version(lost)).await
                == WriteOutcome::Conflict { current: Some(version) },
            "the version of the lost write has the same number in the platform"
        );
        // The watcher lists again after a response of a newer era than that of its revision.
        let after = StoreRevision { era: 2, number: 1 };
        let watch = store.watch("quota/", after, Duration::ZERO).await;
        let CallOutcome::Value(WatchResponse::Changes { revision, .. }) = watch else {
            anyhow::bail!("no changes: {watch:?}");
        };
        ensure!(revision.era > after.era, "{revision:?}");
        let next = write(Condition::Version(version)).await;
        ensure!(matches!(next, WriteOutcome::Written { .. }), "{next:?}");
        Ok(())
    });
}

/// Guards against a condition on a lost version that holds by chance, since the platform counts its
/// restorations from 0.
#[test]
fn condition_restored_first_era_zero() {
    let dialect = EraDialect::default();
    let version_in = |era: &'static str| {
        let headers = [("store-era", era), ("etag", "\"7\"")].into_iter();
        let headers = headers
            .map(|it| (HeaderName::from_static(it.0), HeaderValue::from_static(it.1)))
            .collect();
        let response = ApiResponse { status: StatusCode::OK, headers, body: Some("1".into()) };
        match dialect.decode_write(&response) {
            WriteOutcome::Written { version } => version,
            other => panic!("not written: {other:?}"),
        }
    };
    let condition = |version| {
        let condition = Condition::Version(version);
        let request = dialect.encode_write("quota/a", &"1".into(), condition);
        request.headers.into_iter().find(|it| it.0 == header::IF_MATCH).map(|it| it.1)
    };
    let lost = version_in("0");
    assert_eq!(condition(lost), Some(HeaderValue::from_static("\"7\"")));
    let version = version_in("1");
    assert!(version > lost, "version {version} after {lost}");
    assert_eq!(condition(version), Some(HeaderValue::from_static("\"7\"")));
    assert_ne!(condition(lost), Some(HeaderValue::from_static("\"7\"")));
}
