//! Requests to the upstream stand-in over loopback connections.

use std::time::Duration;

use kingcupford_standin::{
    ExecutionState, UpstreamFaults, UpstreamSettings, UpstreamStandin, VersionFault,
};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep},
};

async fn start_upstream(settings: UpstreamSettings) -> UpstreamStandin {
    UpstreamStandin::bind("127.0.0.1:0".parse().unwrap(), settings).await.unwrap()
}

fn url(upstream: &UpstreamStandin, path: &str) -> String {
    format!("http://{}{path}", upstream.address())
}

fn get(upstream: &UpstreamStandin, path: &str) -> RequestBuilder {
    Client::builder().no_proxy().build().unwrap().get(url(upstream, path))
}

fn outcome(response: &Response) -> Option<&str> {
    response.headers().get("kingcupford-outcome").map(|it| it.to_str().unwrap())
}

async fn json_body(request: RequestBuilder) -> Value {
    request.send().await.unwrap().json().await.unwrap()
}

fn capacity_settings(service_time_ms: f64, slots: usize, queue: usize) -> UpstreamSettings {
    UpstreamSettings { service_time_ms, slots, queue, ..UpstreamSettings::default() }
}

/// Guards against a response that omits parts of the received request, and against an execution
/// that cannot be found by its tag.
#[tokio::test]
async fn response_describes_request() {
    let upstream = start_upstream(UpstreamSettings::default()).await;
    let request = Client::new().put(url(&upstream, "/photos/1?size=2")).body("abc");
    let request = request.header("x-request-tag", "t1").header("kingcupford-tenant", "koala");
    let body = json_body(request.header("authorization", "Bearer x")).await;
    let sha256 = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
    assert_eq!(body["body_sha256"], sha256);
    assert_eq!((&body["body_bytes"], &body["sequence"]), (&Value::from(3), &Value::from(1)));
    assert_eq!((&body["tag"], &body["tenant"]), (&Value::from("t1"), &Value::from("koala")));
    assert_eq!((&body["method"], &body["path"]), (&"PUT".into(), &"/photos/1?size=2".into()));
    assert!(body["headers"].to_string().contains("authorization"));
    let log = json_body(get(&upstream, "/admin/executions?after=0")).await;
    assert_eq!((&log[0]["tag"], &log[0]["state"]), (&"t1".into(), &"executed".into()));
}

/// Guards against refused requests that ran, and against more running requests than slots.
#[tokio::test]
async fn shed_requests_do_not_run() {
    let upstream = start_upstream(capacity_settings(100.0, 2, 1)).await;
    let requests = (0..6).map(|_| tokio::spawn(get(&upstream, "/a").send()));
    let requests: Vec<_> = requests.collect();
    let mut executed = 0;
    for request in requests {
        let response = request.await.unwrap().unwrap();
        match outcome(&response) {
            Some("executed") => executed += 1,
            it => assert_eq!((it, response.status().as_u16()), (Some("not-run"), 503)),
        }
    }
    let counts = upstream.counts();
    assert_eq!((executed, counts.started, counts.shed), (3, 3, 3));
    assert_eq!((counts.max_in_flight, counts.in_flight), (2, 0));
}

/// Guards against a request that goes on running, and keeps counting as in flight, after its client
/// has disconnected.
#[tokio::test]
async fn disconnect_cancels_request() {
    let upstream = start_upstream(capacity_settings(60_000.0, 1, 0)).await;
    let request = tokio::spawn(get(&upstream, "/a").send());
    sleep(Duration::from_millis(200)).await;
    assert_eq!(upstream.counts().in_flight, 1);
    request.abort();
    sleep(Duration::from_millis(200)).await;
    let counts = upstream.counts();
    assert_eq!((counts.in_flight, counts.cancelled, counts.executed), (0, 1, 0));
    assert_eq!(upstream.executions()[0].state, ExecutionState::Cancelled);
}

/// Guards against an upload that ends early and counts as executed.
#[tokio::test]
async fn truncated_upload_counts_as_cancelled() {
    let upstream = start_upstream(UpstreamSettings::default()).await;
    let mut stream = TcpStream::connect(upstream.address()).await.unwrap();
    let head = "PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\nshort";
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    sleep(Duration::from_millis(200)).await;
    let counts = upstream.counts();
    assert_eq!((counts.started, counts.cancelled, counts.executed), (1, 1, 0));
}

/// Guards against requests that start or go on after their deadline.
#[tokio::test]
async fn deadline_limits_waiting_and_running() {
    let upstream = start_upstream(capacity_settings(5000.0, 1, 1)).await;
    let send_with_deadline_ms =
        |ms| get(&upstream, "/a").header("kingcupford-deadline-ms", ms).send();
    let late = send_with_deadline_ms("0").await.unwrap();
    assert_eq!(outcome(&late), Some("not-run"));
    let running = tokio::spawn(send_with_deadline_ms("300"));
    sleep(Duration::from_millis(50)).await;
    let waiting = send_with_deadline_ms("100").await.unwrap();
    assert_eq!(outcome(&waiting), Some("not-run"));
    let stopped = running.await.unwrap().unwrap();
    assert_eq!((outcome(&stopped), stopped.status().as_u16()), (Some("unknown"), 504));
    let counts = upstream.counts();
    assert_eq!((counts.started, counts.stopped_late, counts.refused_late), (1, 1, 2));
}

/// Guards against a crash that sends a response, keeps connections open or goes on listening, and
/// against a marker in a body that causes no crash.
#[tokio::test]
async fn crash_on_marker() {
    let upstream = start_upstream(capacity_settings(300.0, 9, 0)).await;
    let crash_marker = Some("poison".to_owned());
    upstream.set_faults(UpstreamFaults {
        crash_marker,
        crash_downtime_ms: 400,
        ..UpstreamFaults::default()
    });
    for cause in ["path", "body"] {
        let before = upstream.counts();
        let other = tokio::spawn(get(&upstream, "/other").send());
        sleep(Duration::from_millis(100)).await;
        let client = Client::new();
        let crashed = match cause {
            "path" => client.get(url(&upstream, "/a/poison/b")).send().await,
            _ => {
                // The marker spans two chunks of the body.
                let mut stream = TcpStream::connect(upstream.address()).await.unwrap();
                let head = "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\n__poi";
                stream.write_all(head.as_bytes()).await.unwrap();
                sleep(Duration::from_millis(50)).await;
                stream.write_all(b"son__").await.unwrap();
                let mut response = Vec::new();
                let _ = stream.read_to_end(&mut response).await;
                assert!(response.is_empty(), "a crashed process sends no response");
                client.get(url(&upstream, "/while-down")).send().await
            }
        };
        assert!(crashed.is_err());
        assert!(other.await.unwrap().is_err(), "a crash drops all connections");
        assert!(TcpStream::connect(upstream.address()).await.is_err(), "{cause}: still listens");
        sleep(Duration::from_millis(500)).await;
        assert_eq!(outcome(&get(&upstream, "/a").send().await.unwrap()), Some("executed"));
        let counts = upstream.counts();
        assert_eq!((counts.crashes, counts.in_flight), (before.crashes + 1, 0));
    }
}

/// Guards against load and health reports that ignore the configured lag, factor or health.
#[tokio::test]
async fn report_faults() {
    let upstream = start_upstream(capacity_settings(600.0, 4, 0)).await;
    let report_faults = |report_lag_ms, report_factor, report_healthy| UpstreamFaults {
        report_lag_ms,
        report_factor,
        report_healthy,
        ..UpstreamFaults::default()
    };
    let requests: Vec<_> = (0..3).map(|_| tokio::spawn(get(&upstream, "/a").send())).collect();
    sleep(Duration::from_millis(200)).await;
    let reported_in_flight = async || json_body(get(&upstream, "/load")).await["in_flight"].clone();
    assert_eq!(reported_in_flight().await, 3);
    upstream.set_faults(report_faults(0, 0.0, Some(false)));
    assert_eq!(reported_in_flight().await, 0);
    assert_eq!(get(&upstream, "/health").send().await.unwrap().status(), 503);
    upstream.set_faults(report_faults(300, 2.0, None));
    assert_eq!(reported_in_flight().await, 0, "the lagging report precedes the requests");
    sleep(Duration::from_millis(300)).await;
    assert_eq!(reported_in_flight().await, 6);
    for request in requests {
        request.await.unwrap().unwrap();
    }
    assert_eq!(
        reported_in_flight().await,
        6,
        "the lagging report precedes the end of the requests"
    );
}

/// Guards against a drain that stops running requests, is not announced, or accepts new work after
/// the grace time.
#[tokio::test]
async fn drain_refuses_after_grace() {
    let settings = UpstreamSettings { drain_grace_ms: 200, ..capacity_settings(400.0, 4, 0) };
    let upstream = start_upstream(settings).await;
    let running = tokio::spawn(get(&upstream, "/a").send());
    sleep(Duration::from_millis(50)).await;
    upstream.set_faults(UpstreamFaults { draining: true, ..UpstreamFaults::default() });
    let within_grace = tokio::spawn(get(&upstream, "/a").send());
    sleep(Duration::from_millis(250)).await;
    let refused = get(&upstream, "/a").send().await.unwrap();
    assert_eq!(outcome(&refused), Some("not-run"));
    for request in [running, within_grace] {
        let response = request.await.unwrap().unwrap();
        assert_eq!(outcome(&response), Some("executed"));
        assert_eq!(response.headers()["kingcupford-draining"], "true");
    }
    assert_eq!(get(&upstream, "/health").send().await.unwrap().status(), 503);
}

/// Guards against version faults on other paths, before their start or below their load.
#[tokio::test]
async fn version_fault_conditions() {
    let upstream = start_upstream(capacity_settings(1.0, 9, 0)).await;
    let fault = |path_prefix: &str, after_ms, min_in_flight| VersionFault {
        failure_rate: 1.0,
        path_prefix: path_prefix.to_owned(),
        after_ms,
        min_in_flight,
        ..VersionFault::default()
    };
    let version = vec![fault("/now", 0, 0), fault("/later", 300, 0), fault("/busy", 0, 3)];
    upstream.set_faults(UpstreamFaults { version, ..UpstreamFaults::default() });
    let status = async |path| get(&upstream, path).send().await.unwrap().status().as_u16();
    assert_eq!(status("/now/a").await, 500);
    assert_eq!((status("/other").await, status("/later").await), (200, 200));
    assert_eq!(status("/busy").await, 200);
    sleep(Duration::from_millis(350)).await;
    assert_eq!(status("/later").await, 500);
    let counts = upstream.counts();
    assert_eq!((counts.failed, counts.executed), (2, 3));
}

/// Guards against failures that differ between two runs with the same seed.
#[tokio::test]
async fn failures_repeat_with_seed() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let upstream = start_upstream(capacity_settings(0.0, 9, 0)).await;
        let fault = VersionFault { failure_rate: 0.5, ..VersionFault::default() };
        upstream.set_faults(UpstreamFaults { version: vec![fault], ..UpstreamFaults::default() });
        let mut statuses = Vec::new();
        for _ in 0..20 {
            statuses.push(get(&upstream, "/a").send().await.unwrap().status().as_u16());
        }
        runs.push(statuses);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].contains(&200) && runs[0].contains(&500));
}

/// Guards against a cold instance that is as fast as a warm one.
#[tokio::test]
async fn cold_start_is_slower() {
    let settings =
        UpstreamSettings { cold_requests: 1, cold_factor: 6.0, ..capacity_settings(50.0, 9, 0) };
    let upstream = start_upstream(settings).await;
    let started_at = Instant::now();
    get(&upstream, "/a").send().await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(300));
    let started_at = Instant::now();
    get(&upstream, "/a").send().await.unwrap();
    assert!(started_at.elapsed() < Duration::from_millis(300));
}

/// Guards against more connections than the limit, and against connections that cost no time.
#[tokio::test]
async fn connection_limit_and_cost() {
    let settings = UpstreamSettings {
        max_connections: 3,
        connection_cost_ms: 50.0,
        ..UpstreamSettings::default()
    };
    let upstream = start_upstream(settings).await;
    let started_at = Instant::now();
    let mut connections = Vec::new();
    for _ in 0..5 {
        connections.push(TcpStream::connect(upstream.address()).await.unwrap());
    }
    let mut closed = 0;
    for connection in &mut connections {
        connection.write_all(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    }
    for connection in &mut connections {
        let mut buffer = [0; 16];
        closed += usize::from(!matches!(connection.read(&mut buffer).await, Ok(1..)));
    }
    assert_eq!(closed, 2);
    assert!(started_at.elapsed() >= Duration::from_millis(150));
    let counts = upstream.counts();
    assert_eq!((counts.connections_opened, counts.connections_refused), (3, 2));
}

/// Guards against streamed responses that are truncated or shifted, and against uploads that are
/// read faster than configured.
#[tokio::test]
async fn streamed_response_and_upload_speed() {
    let settings =
        UpstreamSettings { upload_bytes_per_s: 1_000_000, ..capacity_settings(0.0, 9, 0) };
    let upstream = start_upstream(settings).await;
    let body = get(&upstream, "/bytes/100000").send().await.unwrap().bytes().await.unwrap();
    assert!(body.iter().copied().eq((0..100_000u32).map(|it| (it % 251) as u8)));
    let started_at = Instant::now();
    let upload = Client::new().post(url(&upstream, "/upload")).body(vec![1; 300_000]);
    assert_eq!(json_body(upload).await["body_bytes"], 300_000);
    assert!(started_at.elapsed() >= Duration::from_millis(300));
    let states: Vec<_> = upstream.executions().into_iter().map(|it| it.state).collect();
    assert_eq!(states, [ExecutionState::Executed; 2]);
}
