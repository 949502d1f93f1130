//! Admin endpoints and faults of the platform stand-in. The tests of the platform client cover the
//! object API.

use std::time::Duration;

use kingcupford_standin::{PlatformFaults, PlatformSettings, PlatformStandin};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

async fn start_platform() -> PlatformStandin {
    let settings = PlatformSettings::default();
    PlatformStandin::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap()
}

/// Guards against faults that have no effect without an error, for example because of a misspelt
/// name.
#[tokio::test]
async fn admin_faults() {
    let platform = start_platform().await;
    let url = format!("http://{}", platform.address());
    let client = Client::new();
    let set_faults = async |faults: Value| {
        let request = client.put(format!("{url}/admin/faults")).json(&faults);
        request.send().await.unwrap().status()
    };
    let read_status =
        async || client.get(format!("{url}/v1/objects/a")).send().await.unwrap().status();
    assert_eq!(set_faults(json!({ "outage": "unavailable" })).await, StatusCode::OK);
    assert_eq!(read_status().await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(set_faults(json!({ "outrage": "unavailable" })).await, StatusCode::BAD_REQUEST);
    assert_eq!(
        read_status().await,
        StatusCode::SERVICE_UNAVAILABLE,
        "rejected faults replace nothing"
    );
    assert_eq!(set_faults(json!({})).await, StatusCode::OK);
    assert_eq!(read_status().await, StatusCode::NOT_FOUND);
    let get_json =
        async |path| client.get(format!("{url}{path}")).send().await.unwrap().json().await;
    let calls: Value = get_json("/admin/calls").await.unwrap();
    assert_eq!((&calls["reads"], &calls["outage_calls"]), (&Value::from(3), &Value::from(2)));
    let state: Value = get_json("/admin/state").await.unwrap();
    assert_eq!((&state["revision"], &state["faults"]["outage"]), (&0.into(), &"none".into()));
}

/// Guards against lost responses that differ between runs with the same seed.
#[tokio::test]
async fn lost_answers_repeat_with_seed() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let platform = start_platform().await;
        let lose_write_answer_fraction = 0.5;
        let faults =
            PlatformFaults { lose_write_answer_fraction, seed: 3, ..PlatformFaults::default() };
        platform.set_faults(faults);
        let client = Client::new();
        let mut answered = Vec::new();
        for _ in 0..20 {
            let url = format!("http://{}/v1/objects/a", platform.address());
            answered.push(client.put(url).body("1").send().await.is_ok());
        }
        assert_eq!(platform.call_counts().bytes_written, 20, "each write takes effect once");
        runs.push(answered);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].contains(&true) && runs[0].contains(&false));
}

/// Guards against a watch that still counts as waiting after its client has disconnected.
#[tokio::test]
async fn disconnected_watch_is_not_waiting() {
    let platform = start_platform().await;
    let url = format!("http://{}/v1/watch?after=0&timeout_ms=60000", platform.address());
    let watch = tokio::spawn(Client::new().get(url).send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(platform.call_counts().waiting_watches, 1);
    watch.abort();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(platform.call_counts().waiting_watches, 0);
}
