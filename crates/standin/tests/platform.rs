//! The platform stand-in's own endpoints; the client's tests cover the object API.

use std::time::Duration;

use kingcupford_standin::{PlatformFaults, PlatformSettings, PlatformStandin};
use reqwest::{Client, StatusCode};
use serde_json::{Value, json};

async fn platform() -> PlatformStandin {
    let settings = PlatformSettings::default();
    PlatformStandin::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap()
}

/// Guards against faults that a scenario sets in vain, by a wrong name or without an answer.
#[tokio::test]
async fn admin_faults() {
    let platform = platform().await;
    let url = format!("http://{}", platform.address());
    let client = Client::new();
    let set = async |faults: Value| {
        let request = client.put(format!("{url}/admin/faults")).json(&faults);
        request.send().await.unwrap().status()
    };
    let read = async || client.get(format!("{url}/v1/objects/a")).send().await.unwrap().status();
    assert_eq!(set(json!({ "outage": "unavailable" })).await, StatusCode::OK);
    assert_eq!(read().await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(set(json!({ "outrage": "unavailable" })).await, StatusCode::BAD_REQUEST);
    assert_eq!(read().await, StatusCode::SERVICE_UNAVAILABLE, "the faults stay as they were");
    assert_eq!(set(json!({})).await, StatusCode::OK);
    assert_eq!(read().await, StatusCode::NOT_FOUND);
    let text = async |path| client.get(format!("{url}{path}")).send().await.unwrap().json().await;
    let calls: Value = text("/admin/calls").await.unwrap();
    assert_eq!((&calls["reads"], &calls["outage_calls"]), (&Value::from(3), &Value::from(2)));
    let state: Value = text("/admin/state").await.unwrap();
    assert_eq!((&state["revision"], &state["faults"]["outage"]), (&0.into(), &"none".into()));
}

/// Guards against runs with the same seed that lose different responses.
#[tokio::test]
async fn lost_answers_repeat_with_seed() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let platform = platform().await;
        let lose_write_answer_fraction = 0.5;
        let faults =
            PlatformFaults { lose_write_answer_fraction, seed: 3, ..PlatformFaults::default() };
        platform.set_faults(faults);
        let client = Client::new();
        let mut run = Vec::new();
        for _ in 0..20 {
            let url = format!("http://{}/v1/objects/a", platform.address());
            run.push(client.put(url).body("1").send().await.is_ok());
        }
        assert_eq!(platform.call_counts().bytes_written, 20, "each write took effect once");
        runs.push(run);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].contains(&true) && runs[0].contains(&false));
}

/// Guards against a watch that is counted as waiting after its client has left.
#[tokio::test]
async fn watch_client_leaves() {
    let platform = platform().await;
    let url = format!("http://{}/v1/watch?after=0&timeout_ms=60000", platform.address());
    let watch = tokio::spawn(Client::new().get(url).send());
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(platform.call_counts().waiting_watches, 1);
    watch.abort();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(platform.call_counts().waiting_watches, 0);
}
