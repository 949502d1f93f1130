//! Rollouts over real sockets.

use std::time::Duration;

use kingcupford_demo::{Deployment, DeploymentSettings};
use kingcupford_platform::{CallOutcome, Condition, ObjectStore as _, WriteOutcome};
use kingcupford_rollout::{Rollout, StartRequest, State, start};
use kingcupford_standin::{UpstreamFaults, VersionFault};
use reqwest::Client;
use tokio::time::{Instant, sleep};

/// Requests that a bad version may get in all: a share of 1% of what arrives until its fault shows.
const MAX_EXPOSED: u64 = 40;

/// Guards against answers that the fault test does not count, which lets a bad version pass every
/// stage of its rollout.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rollout_bad_version_is_rolled_back() {
    let deployment = Deployment::start(DeploymentSettings::default()).await.expect("starts");
    let (key, version) = deployment.issue_key("load", "school-1").await.expect("issues");
    deployment.wait_until_active(version).await.expect("is active");
    let fault = VersionFault { failure_rate: 0.5, ..VersionFault::default() };
    let is_new = |name: &str| name.starts_with("ledger-view-v2");
    let settings = DeploymentSettings::default();
    for (slot, upstream) in settings.upstreams.iter().zip(&deployment.upstreams) {
        if is_new(&slot.name) {
            let faults = UpstreamFaults { version: vec![fault.clone()], ..Default::default() };
            upstream.set_faults(faults);
        }
    }
    start_rollout(&deployment).await;
    let traffic = tokio::spawn(drive(deployment.url(0).expect("runs"), key.reveal().to_owned()));
    let started = Instant::now();
    let rollout = loop {
        let rollout = read_rollout(&deployment).await;
        if matches!(rollout.state, State::RollingBack | State::RolledBack) {
            break rollout;
        }
        assert!(started.elapsed() < Duration::from_secs(100), "still {rollout:?}");
        sleep(Duration::from_millis(200)).await;
    };
    traffic.abort();
    let slots = settings.upstreams.iter().zip(&deployment.upstreams);
    let exposed: u64 = slots.filter(|it| is_new(&it.0.name)).map(|it| it.1.counts().started).sum();
    assert!(exposed <= MAX_EXPOSED, "{exposed} requests reached the bad version: {rollout:?}");
}

/// Starts a rollout from v1 to v2.
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
    let rollout = start(None, &request).expect("starts");
    let bytes = serde_json::to_vec(&rollout).expect("encodes");
    let written =
        deployment.store.write("rollout/ledger-view", bytes.into(), Condition::Absent).await;
    assert!(matches!(written, WriteOutcome::Written { .. }), "{written:?}");
}

/// The rollout as stored.
async fn read_rollout(deployment: &Deployment) -> Rollout {
    let object = deployment.store.read("rollout/ledger-view").await;
    let CallOutcome::Value(Some(object)) = object else { panic!("no rollout: {object:?}") };
    serde_json::from_slice(&object.bytes).expect("decodes")
}

/// Sends about 200 requests a second until it is aborted.
async fn drive(base: String, key: String) {
    let client = Client::builder().no_proxy().build().expect("client");
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
