//! Hosts while the platform is away, slow, or serves an old state.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use kingcupford_platform::{CallOutcome, ChangeOutcome, Condition, ObjectStore as _};
use kingcupford_standin::{OutageMode, PlatformFaults};
use tokio::time::{Instant, sleep};

use crate::support::{Fleet, run, settings, wait_until};

/// Guards against a fresh host that cannot serve until the platform is back.
#[test]
fn fresh_host_without_platform() {
    run(async {
        let mut fleet = Fleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let key = fleet.key("k", "school-1").await?;
        let outage = PlatformFaults { outage: OutageMode::Dropped, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        fleet.hosts[2].take().expect("it runs").kill();
        fleet.start_host(2)?;
        let started = Instant::now();
        wait_until("the fresh host serves", Duration::from_secs(20), || async {
            let read = fleet.get(2, "/ledger-view/a", &key).send().await;
            read.is_ok_and(|it| it.status() == 200)
        })
        .await?;
        println!("a fresh host served {:?} after its start", started.elapsed());
        let status = fleet.status(fleet.host(2)).await?;
        assert_eq!(status["config_version"], 2);
        Ok(())
    });
}

/// Guards against a configuration that goes back, and a revoked key that works again, when a host
/// starts while the platform serves an old state.
#[test]
fn config_forward_only() {
    run(async {
        let mut fleet = Fleet::start(settings(3, &["fukuoka-a"], 16)).await?;
        let key = fleet.key("k", "school-1").await?;
        let CallOutcome::Value(Some(old)) = fleet.deployment.store.read("config/head").await else {
            anyhow::bail!("the head was not read");
        };
        let revoked = fleet.deployment.config.revoke_key("k", "revoke-k").await;
        let ChangeOutcome::Applied { version } = revoked else { anyhow::bail!("{revoked:?}") };
        fleet.active_everywhere(version).await?;
        // A platform that was restored from a copy.
        fleet.deployment.store.write("config/head", old.bytes.clone(), Condition::Always).await;
        for at in [0, 2] {
            fleet.hosts[at].take().expect("it runs").kill();
            fleet.start_host(at)?;
            let started = Instant::now();
            let mut is_ready = false;
            while started.elapsed() < Duration::from_secs(4) {
                for other in 0..fleet.hosts.len() {
                    let read = fleet.get(other, "/ledger-view/a", &key).send().await;
                    let status = read.map_or(0, |it| it.status().as_u16());
                    ensure!(status != 200, "the revoked key works at host {other} again");
                    is_ready |= other == at && status == 401;
                }
                sleep(Duration::from_millis(5)).await;
            }
            ensure!(is_ready, "host {at} did not become ready");
            for host in fleet.hosts.iter().flatten() {
                let status = fleet.status(host).await?;
                let active = status["config_version"].as_u64().context("no version")?;
                ensure!(active >= version, "version {active} after {version}");
            }
        }
        Ok(())
    });
}

/// Guards against changes that a slow platform keeps from being active everywhere within 6 s.
#[test]
fn change_with_slow_platform() {
    run(async {
        let fleet = Fleet::start(settings(4, &["fukuoka-a"], 16)).await?;
        let slow = PlatformFaults { delay_ms: 500, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(slow);
        let mut declarations = fleet.deployment.declarations();
        for number in 0..3 {
            declarations.tenants[0].burst += 1.0;
            let revision = format!("slow-{number}");
            let version = fleet.deployment.apply(&declarations, &revision).await?;
            let time = fleet.active_everywhere(version).await?;
            println!("version {version} was active everywhere after {time:?}");
            ensure!(time < Duration::from_secs(6), "active after {time:?}");
        }
        Ok(())
    });
}
