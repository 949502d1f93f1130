//! Admin endpoints and faults of the platform stand-in. The tests of the platform client cover the
//! object API.

use std::time::Duration;

use kingcupford_standin::{OutageMode, PlatformFaults, PlatformSettings, PlatformStandin};
use reqwest::{Client, Method, StatusCode};
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

/// Sends a call with an optional body; returns status, `store-era`, ETag and JSON body.
async fn call(method: Method, url: &str, body: Option<&str>) -> (StatusCode, u64, String, Value) {
    let request = Client::new().request(method, url).body(body.unwrap_or_default().to_owned());
    let response = request.send().await.unwrap();
    let header = |name| response.headers().get(name).map(|it| it.to_str().unwrap().to_owned());
    let era = header("store-era").expect("every response names the era").parse().unwrap();
    let (status, etag) = (response.status(), header("etag").unwrap_or_default());
    (status, era, etag, response.json().await.unwrap_or_default())
}

/// Guards against a restoration that keeps changes after the copy, loses older ones, or does not
/// give revisions out again.
#[tokio::test]
async fn restore_objects_and_revisions() {
    let platform = start_platform().await;
    let url = format!("http://{}", platform.address());
    let object = |name: &str| format!("{url}/v1/objects/{name}");
    for name in ["changed", "deleted", "kept"] {
        call(Method::PUT, &object(name), Some("old")).await;
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    call(Method::PUT, &object("changed"), Some("new")).await;
    call(Method::PUT, &object("changed"), Some("newer")).await;
    call(Method::DELETE, &object("deleted"), None).await;
    call(Method::PUT, &object("created"), Some("new")).await;
    platform.clear_change_log();
    let body = json!({ "age_ms": 300 }).to_string();
    let restored = call(Method::PUT, &format!("{url}/admin/restore"), Some(&body)).await;
    assert_eq!((restored.0, restored.1, &restored.3["era"]), (StatusCode::OK, 2, &2.into()));
    let list = call(Method::GET, &format!("{url}/v1/objects"), None).await.3;
    let versions: Vec<_> = list["objects"].as_array().unwrap().iter().collect();
    let versions: Vec<_> = versions.iter().map(|it| (&it["name"], &it["version"])).collect();
    let expected = [("changed", 1), ("deleted", 2), ("kept", 3)].map(|it| (it.0.into(), it.1));
    let expected: Vec<(Value, Value)> = expected.map(|it: (Value, u64)| (it.0, it.1.into())).into();
    assert_eq!(versions, expected.iter().map(|it| (&it.0, &it.1)).collect::<Vec<_>>());
    assert_eq!(list["revision"], 3);
    assert_eq!(call(Method::PUT, &object("new"), Some("1")).await.2, "\"4\"");
    assert_eq!(platform.restore(0).unwrap(), 3);
    assert_eq!(call(Method::GET, &object("new"), None).await.0, StatusCode::OK);
    assert_eq!(platform.restore(30_000).unwrap(), 4);
    assert_eq!(call(Method::GET, &object("kept"), None).await.0, StatusCode::NOT_FOUND);
    assert_eq!(call(Method::PUT, &object("kept"), Some("1")).await.2, "\"1\"");
}

/// Guards against a watch that waits on in a restored store, or that is served from a revision which
/// the store does not have.
#[tokio::test]
async fn restore_ends_watches() {
    let platform = start_platform().await;
    let url = format!("http://{}", platform.address());
    let watch = |prefix: &str, after: u64| {
        let url = format!("{url}/v1/watch?prefix={prefix}&after={after}&timeout_ms=20000");
        tokio::spawn(async move { call(Method::GET, &url, None).await })
    };
    let a = format!("{url}/v1/objects/a");
    call(Method::PUT, &a, Some("1")).await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    for it in ["2", "3"] {
        call(Method::PUT, &a, Some(it)).await;
    }
    for watches_hang in [false, true] {
        platform.set_faults(PlatformFaults { watches_hang, ..PlatformFaults::default() });
        let (gone, unchanged) = (watch("a", 3), watch("b", 1));
        tokio::time::sleep(Duration::from_millis(100)).await;
        let age_ms = if watches_hang { 0 } else { 400 };
        let era = platform.restore(age_ms).unwrap();
        let wait = Duration::from_secs(2);
        let gone = tokio::time::timeout(wait, gone).await.expect("the watch ends").unwrap();
        assert_eq!((gone.0, gone.1), (StatusCode::GONE, era));
        let it = tokio::time::timeout(wait, unchanged).await.expect("the watch ends").unwrap();
        assert_eq!((it.0, it.1, &it.3["revision"]), (StatusCode::OK, era, &1.into()));
        assert_eq!(it.3["changes"], json!([]));
    }
}

/// Guards against a host list that names hosts announced after the copy, or misses hosts that have
/// left since.
#[tokio::test]
async fn restore_host_list() {
    let mut settings = PlatformSettings::default();
    settings.limits.host_lag_ms = 0;
    settings.limits.host_expiry_ms = 60_000;
    let platform = PlatformStandin::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap();
    let url = format!("http://{}/v1/hosts", platform.address());
    let announce = async |name: &str, state: &str| {
        let body = json!({
            "name": name, "zone": "a", "peer_address": "127.0.0.1:1", "public_addresses": [],
            "state": state,
        });
        let url = format!("{url}/{name}");
        assert_eq!(call(Method::PUT, &url, Some(&body.to_string())).await.0, StatusCode::OK);
    };
    let list = async || {
        let hosts = call(Method::GET, &url, None).await.3["hosts"].clone();
        let hosts = hosts.as_array().unwrap().iter();
        hosts.map(|it| format!("{} {}", it["name"], it["state"])).collect::<Vec<_>>()
    };
    announce("one", "live").await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    announce("one", "leaving").await;
    announce("two", "live").await;
    assert_eq!(list().await, ["\"one\" \"leaving\"", "\"two\" \"live\""]);
    platform.restore(300).unwrap();
    assert_eq!(list().await, ["\"one\" \"live\""]);
}

/// Guards against a response without the era, and against an ignored mistake in the request.
#[tokio::test]
async fn restore_era_in_every_response() {
    let platform = start_platform().await;
    let url = format!("http://{}", platform.address());
    let calls = [
        (Method::GET, "/v1/objects", StatusCode::OK),
        (Method::GET, "/v1/objects/none", StatusCode::NOT_FOUND),
        (Method::POST, "/v1/objects/none", StatusCode::METHOD_NOT_ALLOWED),
        (Method::GET, "/v1/watch", StatusCode::BAD_REQUEST),
        (Method::GET, "/v1/watch?after=9", StatusCode::GONE),
        (Method::GET, "/v1/hosts", StatusCode::OK),
        (Method::GET, "/admin/state", StatusCode::OK),
        (Method::GET, "/elsewhere", StatusCode::NOT_FOUND),
    ];
    for (method, path, status) in calls {
        let response = call(method, &format!("{url}{path}"), None).await;
        assert_eq!((response.0, response.1), (status, 1), "{path}");
    }
    let restore =
        async |body: &str| call(Method::PUT, &format!("{url}/admin/restore"), Some(body)).await.0;
    for body in ["{\"age_s\":1}", "{}", "{\"age_ms\":30001}"] {
        assert_eq!(restore(body).await, StatusCode::BAD_REQUEST, "{body}");
    }
    let outage = OutageMode::Unavailable;
    platform.set_faults(PlatformFaults { outage, ..PlatformFaults::default() });
    assert_eq!(restore("{\"age_ms\":1}").await, StatusCode::OK);
    let refused = call(Method::GET, &format!("{url}/v1/objects"), None).await;
    assert_eq!((refused.0, refused.1), (StatusCode::SERVICE_UNAVAILABLE, 2));
}
