//! Rollouts over loopback sockets.

use std::time::Duration;

use kingcupford_demo::{Deployment, DeploymentSettings};
use kingcupford_platform::{CallOutcome, Condition, ObjectStore as _, WriteOutcome};
use kingcupford_rollout::{Rollout, StartRequest, State, start};
use kingcupford_standin::{UpstreamFaults, VersionFault};
use reqwest::Client;
use tokio::time::{Instant, sleep};

/// Maximum number of requests that may reach the faulty version: 1% of the requests that arrive
/// until its fault is detected.
const MAX_EXPOSED_REQUESTS: u64 = 40;

/// Guards against responses that the fault detector does not count, so that a faulty version passes
/// every stage of its rollout.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rollout_bad_version_is_rolled_back() {
    let deployment =
        Deployment::start(DeploymentSettings::default()).await.expect("deployment starts");
    let (key, version) = deployment.issue_key("load", "school-1").await.expect("key is issued");
    deployment.wait_until_active(version).await.expect("key is active on all hosts");
    let fault = VersionFault { failure_rate: 0.5, ..VersionFault::default() };
    let is_new_version = |name: &str| name.starts_with("ledger-view-v2");
    let settings = DeploymentSettings::default();
    for (spec, upstream) in settings.upstreams.iter().zip(&deployment.upstreams) {
        if is_new_version(&spec.name) {
            let faults = UpstreamFaults { version: vec![fault.clone()], ..Default::default() };
            upstream.set_faults(faults);
        }
    }
    start_rollout(&deployment).await;
    let traffic =
        tokio::spawn(send_requests(deployment.url(0).expect("host runs"), key.reveal().to_owned()));
    let started = Instant::now();
    let rollout = loop {
        let rollout = read_rollout(&deployment).await;
        if matches!(rollout.state, State::RollingBack | State::RolledBack) {
            break rollout;
        }
        assert!(
            started.elapsed() < Duration::from_secs(100),
            "no rollback after 100 s: {rollout:?}"
        );
        sleep(Duration::from_millis(200)).await;
    };
    traffic.abort();
    let upstreams = settings.upstreams.iter().zip(&deployment.upstreams);
    let exposed: u64 =
        upstreams.filter(|it| is_new_version(&it.0.name)).map(|it| it.1.counts().started).sum();
    assert!(
        exposed <= MAX_EXPOSED_REQUESTS,
        "{exposed} requests reached the faulty version: {rollout:?}",
    );
}

/// Writes a rollout of `ledger-view` from v1 to v2 to the store.
async fn start_rollout(deployment: &Deployment) {
    let now_unix_ms = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("after 1970")
        .as_millis() as u64;
    let request = StartRequest {
        service: "ledger-view".to_owned(),
        from: "v1".to_owned(),
        to: "v2".to_owned(),
        now_unix_ms,
        deadline_unix_ms: now_unix_ms + 600_000,
        write_id: 1,
    };
    let rollout = start(None, &request).expect("request is valid");
    let bytes = serde_json::to_vec(&rollout).expect("rollout is serializable");
    let outcome =
        deployment.store.write("rollout/ledger-view", bytes.into(), Condition::Absent).await;
    assert!(matches!(outcome, WriteOutcome::Written { .. }), "{outcome:?}");
}

/// Reads the rollout of `ledger-view` from the store.
async fn read_rollout(deployment: &Deployment) -> Rollout {
    let outcome = deployment.store.read("rollout/ledger-view").await;
    let CallOutcome::Value(Some(object)) = outcome else {
        panic!("rollout was not read: {outcome:?}")
    };
    serde_json::from_slice(&object.bytes).expect("stored rollout is valid")
}

/// Sends about 200 requests per second until the task is aborted.
async fn send_requests(base: String, key: String) {
    let client = Client::builder().no_proxy().build().expect("client is created");
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    loop {
        ticks.tick().await;
        let request = client.get(format!("{base}/ledger-view/balances/1")).bearer_auth(&key);
        tokio::spawn(async move {
            if let Ok(response) = request.send().await {
                let _ = response.bytes().await;
            }
        });
    }
}
