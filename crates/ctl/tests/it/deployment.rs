//! Commands against a complete deployment that runs in this process.

use std::time::Duration;

use kingcupford_demo::{Deployment, DeploymentSettings};
use reqwest::{Client, StatusCode};

use crate::harness::{CommandOutput, TempFolder, run_at};

async fn ctl(deployment: &Deployment, args: &[&str]) -> CommandOutput {
    run_at(&format!("http://{}", deployment.platform.address()), args).await
}

/// Guards against a revoked key that is still accepted on an open connection after the revocation
/// was confirmed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn revoked_key_of_a_connected_caller_is_refused() {
    let deployment = Deployment::start(DeploymentSettings::default()).await.unwrap();
    let args = ["--format", "json", "key", "issue", "--tenant", "school-2", "--id", "k1"];
    let issued = ctl(&deployment, &args).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    let key = issued.json()["key"]["key"].as_str().unwrap().to_owned();
    let client = Client::builder().no_proxy().pool_max_idle_per_host(1).build().unwrap();
    let read = async |host: usize| {
        let url = format!("{}/ledger-view/balances/7", deployment.url(host).unwrap());
        let response = client.get(url).bearer_auth(&key).send().await.unwrap();
        let status = response.status();
        (status, response.text().await.unwrap())
    };
    for host in 0..4 {
        let (status, text) = read(host).await;
        assert_eq!(status, StatusCode::OK, "host {host}: {text}");
    }
    let revoked = ctl(&deployment, &["key", "revoke", "k1"]).await;
    assert_eq!(revoked.code, 0, "{revoked:?}");
    for host in 0..4 {
        let (status, text) = read(host).await;
        assert_eq!(status, StatusCode::UNAUTHORIZED, "host {host}: {text}");
    }
}

/// Guards against a change that counts as confirmed while a zone without recent status may still
/// serve requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_is_not_confirmed_by_a_lost_zone() {
    let mut deployment = Deployment::start(DeploymentSettings::default()).await.unwrap();
    // A change that all zones confirm shows that each of them has written its state.
    let first = ctl(&deployment, &["preset", "switch", "peak"]).await;
    assert_eq!(first.code, 0, "{first:?}");
    deployment.crash_host(3);
    let run = ctl(&deployment, &["--confirm-s", "6", "preset", "switch", "ordinary"]).await;
    assert_eq!(run.code, 7, "{run:?}");
    assert!(run.err.contains("zone kagoshima-a: "), "{run:?}");
    assert!(!run.err.contains("zone fukuoka-a: "), "{run:?}");
}

/// Guards against a zone that was shut down gracefully and still blocks the confirmation of
/// changes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn change_does_not_wait_for_a_zone_that_was_shut_down() {
    let mut deployment = Deployment::start(DeploymentSettings::default()).await.unwrap();
    let first = ctl(&deployment, &["preset", "switch", "peak"]).await;
    assert_eq!(first.code, 0, "{first:?}");
    deployment.stop_host(3).await.unwrap();
    let limits = kingcupford_standin::PlatformLimits::default();
    let expiry_ms = limits.host_expiry_ms + limits.host_lag_ms;
    tokio::time::sleep(Duration::from_millis(expiry_ms.max(10_500))).await;
    let run = ctl(&deployment, &["preset", "switch", "ordinary"]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("confirmed by 3 zones"), "{run:?}");
}

/// Guards against a rollback that no host executes, and against a watch that does not end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rollback_is_executed_and_watched() {
    let deployment = Deployment::start(DeploymentSettings::default()).await.unwrap();
    let start =
        ["rollout", "start", "--service", "ledger-view", "--to", "v2", "--deadline-s", "200"];
    let started = ctl(&deployment, &start).await;
    assert_eq!(started.code, 0, "{started:?}");
    let second_start = ctl(&deployment, &start).await;
    assert_eq!(second_start.code, 3, "{second_start:?}");
    let (watched, rolled_back) = tokio::join!(
        ctl(&deployment, &["rollout", "watch", "ledger-view"]),
        ctl(&deployment, &["rollout", "rollback", "--service", "ledger-view", "--note", "a trial"]),
    );
    assert_eq!(rolled_back.code, 0, "{rolled_back:?}");
    assert_eq!(watched.code, 8, "{watched:?}");
    assert!(watched.out.contains("an operator asked for it: a trial"), "{watched:?}");
}

/// Guards against declarations of the demo that a folder cannot express.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plan_of_the_same_folder_changes_nothing() {
    let deployment = Deployment::start(DeploymentSettings::default()).await.unwrap();
    let folder = TempFolder::with_declarations(&deployment.declarations());
    let run = ctl(&deployment, &["plan", folder.arg()]).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.starts_with("0 changes"), "{run:?}");
}
