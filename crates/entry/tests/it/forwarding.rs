//! Forwarding between callers and upstreams: streaming, cancellation, deadlines, headers and paths.

use std::{sync::Arc, time::Duration};

use anyhow::{Context as _, ensure};
use futures_util::StreamExt as _;
use kingcupford_standin::{ExecutionState, UpstreamFaults, VersionFault};
use reqwest::{RequestBuilder, Response};
use serde_json::Value;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    time::{Instant, sleep},
};

use crate::support::{
    RawUpstream, TestFleet, raw_exchange, read_head, read_outcome, run_test,
    set_instance_addresses, settings, wait_until,
};

/// The only site that has upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Length of a large body.
const LARGE_BYTES: usize = 64 * 1024 * 1024;

/// Maximum growth of a host's resident memory while it forwards a large body.
const MAX_GROWTH_BYTES: u64 = 16 * 1024 * 1024;

/// Guards against hosts that hold whole request or response bodies in memory.
#[test]
fn stream_memory() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 8)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        fleet.get(0, "/photo-drop/warm", &key).send().await?.bytes().await?;
        let resident_bytes_before = fleet.host(0).resident_bytes()?;
        let chunk = bytes::Bytes::from(vec![b'x'; 64 * 1024]);
        let chunks =
            (0..LARGE_BYTES / chunk.len()).map(move |_| Ok::<_, std::io::Error>(chunk.clone()));
        let body = reqwest::Body::wrap_stream(futures_util::stream::iter(chunks));
        let upload = fleet.client.post(fleet.url(0, "/photo-drop/class")).body(body);
        let upload = upload.header("authorization", &key);
        let upload = upload.header("kingcupford-request-id", format!("{binding}.1")).send();
        let upload = tokio::spawn(upload);
        let mut max_resident_bytes = 0;
        while !upload.is_finished() {
            max_resident_bytes = max_resident_bytes.max(fleet.host(0).resident_bytes()?);
            sleep(Duration::from_millis(2)).await;
        }
        let report: Value = upload.await??.json().await?;
        assert_eq!(report["body_bytes"], LARGE_BYTES);

        let path = format!("/ledger-view/bytes/{LARGE_BYTES}");
        let mut response = fleet.get(0, &path, &key).send().await?;
        let mut length = 0;
        while let Some(chunk) = response.chunk().await? {
            length += chunk.len();
            max_resident_bytes = max_resident_bytes.max(fleet.host(0).resident_bytes()?);
        }
        assert_eq!(length, LARGE_BYTES);
        let growth_bytes = max_resident_bytes.saturating_sub(resident_bytes_before);
        println!("resident memory grew by {growth_bytes} bytes");
        ensure!(growth_bytes < MAX_GROWTH_BYTES, "memory grew by {growth_bytes} bytes");
        Ok(())
    });
}

/// Guards against a host that reads an upload faster than the upstream does, which fills memory.
#[test]
fn back_pressure_upload() {
    run_test(async {
        let raw = RawUpstream::start(|stream, _| async move {
            std::future::pending::<()>().await;
            drop(stream);
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "photo-drop", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let mut caller = open_upload(&fleet, &key, &format!("{binding}.1")).await?;
        let sent_bytes = write_until_blocked(&mut caller).await?;
        println!("the caller could send {sent_bytes} bytes while the upstream read nothing");
        // The bytes fill two pairs of socket buffers; loopback sockets grow to a few MB each.
        ensure!(sent_bytes < LARGE_BYTES / 2, "{sent_bytes} bytes were sent");
        Ok(())
    });
}

/// Guards against a host that reads a response faster than the caller does.
#[test]
fn back_pressure_response() {
    run_test(async {
        let written = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let counter = Arc::clone(&written);
        let raw = RawUpstream::start(move |mut stream, _| {
            let counter = Arc::clone(&counter);
            async move {
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BYTES}\r\n\r\n");
                let _ = stream.write_all(head.as_bytes()).await;
                let chunk = vec![b'x'; 64 * 1024];
                while stream.write_all(&chunk).await.is_ok() {
                    counter.fetch_add(chunk.len(), std::sync::atomic::Ordering::SeqCst);
                }
            }
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "ledger-view", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let mut caller = TcpStream::connect(fleet.host(0).caller).await?;
        let head =
            format!("GET /ledger-view/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\r\n");
        caller.write_all(head.as_bytes()).await?;
        read_head(&mut caller).await.context("no head")?;
        let mut written_bytes = usize::MAX;
        while written_bytes != written.load(std::sync::atomic::Ordering::SeqCst) {
            written_bytes = written.load(std::sync::atomic::Ordering::SeqCst);
            sleep(Duration::from_millis(500)).await;
        }
        println!("the upstream could write {written_bytes} bytes while the caller read nothing");
        ensure!(written_bytes < LARGE_BYTES / 2, "the upstream wrote {written_bytes} bytes");
        Ok(())
    });
}

/// Guards against work that continues at an upstream, and slots that stay occupied, after the
/// caller disconnected before the head of the response.
#[test]
fn caller_disconnects_before_response() {
    run_test(async {
        let mut slow = settings(1, SITE, 1);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 4_000.0);
        let fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let read = fleet.get(0, "/ledger-view/a", &key).header("x-request-tag", "left");
        let caller = tokio::spawn(read.send());
        wait_for_state(&fleet, "left", ExecutionState::Running, Duration::from_secs(10)).await?;
        caller.abort();
        wait_for_state(&fleet, "left", ExecutionState::Cancelled, Duration::from_secs(1)).await?;
        wait_until("the slot is free", Duration::from_secs(1), || async {
            fleet.in_flight(0).await == 0
        })
        .await?;
        Ok(())
    });
}

/// Guards against an upstream that continues to send a response whose caller disconnected.
#[test]
fn caller_disconnects_during_response() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 1)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let path = format!("/ledger-view/bytes/{LARGE_BYTES}");
        let read = fleet.get(0, &path, &key).header("x-request-tag", "left");
        let mut response = read.send().await?;
        response.chunk().await?;
        drop(response);
        wait_for_state(&fleet, "left", ExecutionState::Cancelled, Duration::from_secs(1)).await?;
        wait_until("the slot is free", Duration::from_secs(1), || async {
            fleet.in_flight(0).await == 0
        })
        .await?;
        Ok(())
    });
}

/// Guards against an upload that stays open at the upstream after the caller disconnected.
#[test]
fn caller_disconnects_during_upload() {
    run_test(check_abandoned_upload(false));
}

/// Guards against a blocked upload that keeps its slot and its work at the upstream after the
/// caller reset the connection, because a host that cannot forward bytes does not read either.
#[test]
fn caller_resets_blocked_upload() {
    run_test(check_abandoned_upload(true));
}

/// Disconnects during an upload, and checks that the slot is freed and the work at the upstream is
/// cancelled.
async fn check_abandoned_upload(is_blocked: bool) -> anyhow::Result<()> {
    let mut slow = settings(1, SITE, 1);
    slow.upstream.upload_bytes_per_s = 100_000;
    let fleet = TestFleet::start(slow).await?;
    let key = fleet.issue_key("k", "school-1").await?;
    let id = format!("{}.1", fleet.binding(0, &key).await?);
    let mut caller = open_upload(&fleet, &key, &id).await?;
    caller.write_all(&[b'x'; 2000]).await?;
    if is_blocked {
        write_until_blocked(&mut caller).await?;
        // After an orderly close, the end of the stream would stay behind bytes that the host does
        // not read; with a linger time of 0 the connection is reset instead.
        SockRef::from(&caller).set_linger(Some(Duration::ZERO))?;
    }
    wait_for_state(&fleet, &id, ExecutionState::Running, Duration::from_secs(10)).await?;
    drop(caller);
    wait_until("the slot is free", Duration::from_secs(1), || async {
        fleet.in_flight(0).await == 0
    })
    .await?;
    wait_for_state(&fleet, &id, ExecutionState::Cancelled, Duration::from_secs(1)).await
}

/// Guards against requests that stay in the queue after the caller disconnected.
#[test]
fn caller_disconnects_in_queue() {
    run_test(async {
        let mut slow = settings(1, SITE, 1);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 3_000.0);
        let fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let first = fleet.deposit(0, &key, &format!("{binding}.1"), "first");
        let first = tokio::spawn(first.send());
        wait_for_state(&fleet, "first", ExecutionState::Running, Duration::from_secs(10)).await?;
        // The body is longer than what a host reads before it has selected an instance.
        let head = format!(
            "POST /deposit-desk/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\
             kingcupford-request-id: {binding}.2\r\nx-request-tag: second\r\n\
             content-length: 300000\r\n\r\n"
        );
        for has_body in [false, true] {
            let mut caller = TcpStream::connect(fleet.host(0).caller).await?;
            caller.write_all(head.as_bytes()).await?;
            if has_body {
                caller.write_all(&[b'x'; 100_000]).await?;
            }
            wait_until("the second deposit waits", Duration::from_secs(1), || async {
                fleet.in_flight(0).await == 2
            })
            .await?;
            drop(caller);
            let removed = wait_until(
                "the second deposit was removed from the queue",
                Duration::from_millis(800),
                || async { fleet.in_flight(0).await == 1 },
            );
            removed.await.with_context(|| format!("body sent: {has_body}"))?;
        }
        assert_eq!(first.await??.status(), 200);
        assert!(fleet.executions("second").is_empty());
        Ok(())
    });
}

/// Guards against work that continues after the caller's deadline, and against upstreams that do
/// not receive the time left.
#[test]
fn deadline_propagated() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 4)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let read = fleet.get(0, "/ledger-view/a", &key).header("kingcupford-deadline-ms", "900");
        let report: Value = read.send().await?.json().await?;
        let left_ms: u64 =
            received_header(&report, "kingcupford-deadline-ms").context("no deadline")?.parse()?;
        assert!((1..=900).contains(&left_ms), "{left_ms} ms left of 900 ms");
        let slow = VersionFault { added_latency_ms: 30_000.0, ..VersionFault::default() };
        for upstream in &fleet.deployment.upstreams {
            let faults =
                UpstreamFaults { version: vec![slow.clone()], ..UpstreamFaults::default() };
            upstream.set_faults(faults);
        }
        let started = Instant::now();
        let read = fleet.get(0, "/ledger-view/a", &key).header("kingcupford-deadline-ms", "500");
        let read = read.header("x-request-tag", "late");
        let (_, outcome, _) = read_outcome(read.send().await?).await?;
        assert_eq!(outcome, "unknown");
        assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
        wait_until("the work at the upstream ends", Duration::from_secs(1), || async {
            fleet.executions("late").iter().all(|it| it.state != ExecutionState::Running)
        })
        .await?;
        Ok(())
    });
}

/// Guards against hop-by-hop headers, keys and this system's headers that a host forwards in either
/// direction.
#[test]
fn headers_removed() {
    run_test(async {
        let raw = RawUpstream::start(|mut stream, _| async move {
            let response = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close, x-private\r\n\
                          x-private: 1\r\nkeep-alive: timeout=5\r\nproxy-authenticate: x\r\n\
                          kingcupford-tenant: school-9\r\nkingcupford-secret: 1\r\n\
                          x-public: 1\r\n\r\nok";
            let _ = stream.write_all(response.as_bytes()).await;
            let _ = stream.read_u8().await;
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "ledger-view", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let head = format!(
            "GET /ledger-view/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\
             connection: close, X-Hop\r\nconnection: x-other\r\nx-hop: 1\r\nx-other: 1\r\nte: trailers\r\n\
             keep-alive: 5\r\nproxy-authorization: {key}\r\nproxy-connection: close\r\n\
             upgrade: h2c\r\nkingcupford-tenant: school-2\r\nkingcupford-any: 1\r\n\
             KingCupford-Deadline-Ms: 800\r\nx-kept: 1\r\n\r\n"
        );
        let response = raw_exchange(fleet.host(0).caller, head.as_bytes()).await?;
        let received = raw.heads.lock().expect("the mutex is not poisoned")[0].to_ascii_lowercase();
        let secret = key.trim_start_matches("Bearer ").to_ascii_lowercase();
        for removed in [
            secret.as_str(),
            "authorization",
            "x-hop",
            "x-other",
            "te:",
            "keep-alive",
            "proxy-",
            "upgrade",
            "school-2",
            "kingcupford-any",
        ] {
            assert!(!received.contains(removed), "{removed} reached the upstream: {received}");
        }
        assert!(
            received.contains("x-kept: 1") && received.contains("kingcupford-tenant: school-1")
        );
        for removed in
            ["x-private", "keep-alive", "proxy-", "kingcupford-tenant", "kingcupford-secret"]
        {
            assert!(!response.contains(removed), "{removed} reached the caller: {response}");
        }
        assert!(response.contains("x-public: 1") && response.ends_with("ok"), "{response}");
        Ok(())
    });
}

/// Guards against request smuggling: if host and upstream delimit a request differently, a part of
/// the body becomes a second request at the upstream.
#[test]
fn framing_ambiguous() {
    run_test(async {
        let raw = RawUpstream::start(|mut stream, head| async move {
            // The body has five bytes in either framing; any further byte would start another
            // request.
            let body: &[u8] = match head.contains("transfer-encoding") {
                true => b"5\r\nhello\r\n0\r\n\r\n",
                false => b"hello",
            };
            let mut received = vec![0; body.len()];
            let _ = stream.read_exact(&mut received).await;
            let further = tokio::time::timeout(Duration::from_millis(300), stream.read_u8()).await;
            let verdict = if received == body && further.is_err() { "clear" } else { "smuggled" };
            let response =
                format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\nx-seen: {verdict}\r\n\r\n");
            let _ = stream.write_all(response.as_bytes()).await;
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "ledger-view", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let start = format!("POST /ledger-view/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n");
        let (length, chunked) = ("content-length: 4", "transfer-encoding: chunked");
        let chunks = "5\r\nhello\r\n0\r\n\r\n";
        for rest in [
            format!("{length}\r\n{chunked}\r\n\r\n{chunks}"),
            format!("{chunked}\r\n{length}\r\n\r\n{chunks}"),
            format!("{length}\r\ncontent-length: 5\r\n\r\nhello"),
            "content-length: 5\r\ncontent-length: 5\r\n\r\nhello".to_owned(),
            "content-length: 5, 5\r\n\r\nhello".to_owned(),
            format!("{chunked}, x\r\n\r\n{chunks}"),
        ] {
            let request = format!("{start}{rest}");
            let response = raw_exchange(fleet.host(0).caller, request.as_bytes()).await?;
            println!("{rest:?}: {:?}", response.lines().next());
            let refused = response.starts_with("HTTP/1.1 400");
            assert!(refused || response.contains("x-seen: clear"), "{rest:?}: {response}");
        }
        for head in raw.heads.lock().expect("the mutex is not poisoned").iter() {
            let framings = head.matches("content-length").count() + head.matches(chunked).count();
            assert_eq!(framings, 1, "{head}");
        }
        Ok(())
    });
}

/// Guards against paths that an upstream may resolve to a route other than the one that was
/// checked.
#[test]
fn path_dot_segments() {
    run_test(async {
        let fleet = TestFleet::start(settings(1, SITE, 8)).await?;
        for path in [
            "/open/../a",
            "/open/./a",
            "/open/%2e%2e/a",
            "/open/%2E./a",
            "/open/.%2e/a",
            "/open/..%2fa",
            "/open/..%5ca",
            "/open/..\\a",
            "/open/%2e%2e%2fa",
            "/open/..",
            "/open/..?x=1",
            "/open/%252e%252e/../a",
            "/open/..;/a",
            "/open/%2e%2e;x/a",
            "/open/..%00/a",
        ] {
            let head =
                format!("GET /ledger-view{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let response = raw_exchange(fleet.host(0).caller, head.as_bytes()).await?;
            let status = response.lines().next().unwrap_or_default();
            assert!(status.starts_with("HTTP/1.1 400"), "{path}: {response}");
        }
        // An upstream that decodes escapes or merges slashes would serve the open route, which was
        // not the one that was checked.
        let ambiguous = ["/%6fpen", "//open", "/%2fopen", "/\\open", "/%5copen"];
        for path in ambiguous {
            let head =
                format!("GET /ledger-view{path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
            let response = raw_exchange(fleet.host(0).caller, head.as_bytes()).await?;
            assert!(response.starts_with("HTTP/1.1 400"), "{path}: {response}");
        }
        let started: u64 = fleet.deployment.upstreams.iter().map(|it| it.counts().started).sum();
        assert_eq!(started, 0);
        let unambiguous =
            fleet.client.get(fleet.url(0, "/ledger-view/open/a%20b?c=../d%2F")).send().await?;
        assert_eq!(unambiguous.status(), 200);
        Ok(())
    });
}

/// Guards against responses that reach another caller or arrive incomplete when many requests share
/// connections and responses are delayed at random.
#[test]
fn responses_interleaved() {
    run_test(async {
        let mut varied = settings(2, &["fukuoka-a", "kumamoto-a"], 64);
        varied.upstream.service_time_sigma = 1.5;
        varied.upstreams.iter_mut().for_each(|it| it.service_time_ms = 40.0);
        let fleet = TestFleet::start(varied).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let requests = (0..200).map(|number| {
            let (fleet, key) = (&fleet, &key);
            async move {
                let tag = format!("tag-{number}");
                let path = format!("/ledger-view/balances/{number}");
                let read = fleet.get(number % 2, &path, key).header("x-request-tag", &tag);
                let response = send_within_rate(read).await?;
                let report: Value = response.json().await?;
                ensure!(report["tag"] == tag.as_str(), "{tag} got {report}");
                ensure!(report["path"] == format!("/balances/{number}"), "{tag} got {report}");
                let length = 10_000 + number * 251;
                let path = format!("/ledger-view/bytes/{length}");
                let response = send_within_rate(fleet.get(number % 2, &path, key)).await?;
                let response = response.bytes().await?;
                let is_intact =
                    response.iter().enumerate().all(|(index, it)| index % 251 == usize::from(*it));
                ensure!(response.len() == length && is_intact, "{tag}: {} bytes", response.len());
                Ok(())
            }
        });
        let results: Vec<anyhow::Result<()>> =
            futures_util::stream::iter(requests).buffer_unordered(50).collect().await;
        results.into_iter().collect()
    });
}

/// Repeats a read until the team's rate allows it. Token buckets are empty when hosts start.
async fn send_within_rate(request: RequestBuilder) -> anyhow::Result<Response> {
    loop {
        let attempt = request.try_clone().context("the request cannot be cloned")?;
        let response = attempt.send().await?;
        if response.status() != 429 {
            ensure!(response.status() == 200, "{}", response.status());
            return Ok(response);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// Opens an upload at the first host and sends its head.
async fn open_upload(fleet: &TestFleet, key: &str, id: &str) -> anyhow::Result<TcpStream> {
    let mut res = TcpStream::connect(fleet.host(0).caller).await?;
    let head = format!(
        "POST /photo-drop/a HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\
         kingcupford-request-id: {id}\r\nx-request-tag: {id}\r\n\
         content-length: {LARGE_BYTES}\r\n\r\n"
    );
    res.write_all(head.as_bytes()).await?;
    Ok(res)
}

/// Writes until nothing was accepted for 1 s, and returns the number of bytes written.
async fn write_until_blocked(stream: &mut TcpStream) -> anyhow::Result<usize> {
    let chunk = vec![b'x'; 64 * 1024];
    let mut res = 0;
    while res < LARGE_BYTES - chunk.len() {
        match tokio::time::timeout(Duration::from_secs(1), stream.write(&chunk)).await {
            Ok(written) => res += written?,
            Err(_) => break,
        }
    }
    Ok(res)
}

/// Waits until the newest execution with a tag has a state.
async fn wait_for_state(
    fleet: &TestFleet,
    tag: &str,
    state: ExecutionState,
    limit: Duration,
) -> anyhow::Result<()> {
    wait_until(&format!("{tag} is {state:?}"), limit, || async {
        fleet.executions(tag).last().is_some_and(|it| it.state == state)
    })
    .await?;
    Ok(())
}

/// Returns a header that the upstream received.
fn received_header<'a>(report: &'a Value, name: &str) -> Option<&'a str> {
    let headers = report["headers"].as_array()?;
    headers.iter().find(|it| it[0] == name)?[1].as_str()
}

/// Guards against a second copy of an earlier response, which arrives after the next request was sent
/// on the connection and reaches the next caller.
#[test]
fn response_duplicated_late() {
    run_test(check_duplicates(|_| String::new()));
}

/// Guards against the same from upstreams that return the id of the attempt, whose connections are
/// used again.
#[test]
fn response_duplicated_late_with_id() {
    run_test(check_duplicates(|head| {
        let id = head.lines().find(|it| it.starts_with("kingcupford-attempt-id: "));
        id.map(|it| format!("{it}\r\n")).unwrap_or_default()
    }));
}

/// Checks responses of an upstream that sends each response once more, in front of the next one on
/// the connection. `headers` returns headers for the response to a request's head.
async fn check_duplicates(
    headers: impl Fn(&str) -> String + Send + Sync + 'static,
) -> anyhow::Result<()> {
    let headers = Arc::new(headers);
    let raw = RawUpstream::start(move |mut stream, first_head| {
        let headers = Arc::clone(&headers);
        async move {
            let mut previous = String::new();
            let mut next_head = Some(first_head);
            while let Some(head) = next_head {
                let path = head.split(' ').nth(1).unwrap_or_default();
                let response = format!(
                    "HTTP/1.1 200 OK\r\n{}content-length: {}\r\n\r\n{path}",
                    headers(&head),
                    path.len()
                );
                let both = std::mem::replace(&mut previous, response.clone()) + &response;
                if stream.write_all(both.as_bytes()).await.is_err() {
                    return;
                }
                next_head = read_head(&mut stream).await;
            }
        }
    })
    .await?;
    let change = |it: &mut _| set_instance_addresses(it, "ledger-view", raw.address);
    let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
    let key = fleet.issue_key("k", "school-1").await?;
    let mut answered = 0;
    for at in 0..40 {
        let path = format!("/{at}");
        let response = fleet.get(0, &format!("/ledger-view{path}"), &key).send().await?;
        if response.status() == 200 {
            assert_eq!(response.text().await?, path);
            answered += 1;
        }
    }
    ensure!(answered > 10, "{answered} of 40 answered");
    Ok(())
}

/// Guards against a part of a response that looks complete to a caller that knows no chunks: its
/// only sign is how the connection ends.
#[test]
fn response_breaks_off_http_1_0() {
    run_test(async {
        let raw = RawUpstream::start(|mut stream, _| async move {
            let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n";
            let _ = stream.write_all(head.as_bytes()).await;
            sleep(Duration::from_millis(100)).await;
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "ledger-view", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        for version in ["1.0", "1.1"] {
            let mut caller = TcpStream::connect(fleet.host(0).caller).await?;
            let head = format!(
                "GET /ledger-view/a HTTP/{version}\r\nhost: x\r\nauthorization: {key}\r\n\r\n"
            );
            caller.write_all(head.as_bytes()).await?;
            let mut received = Vec::new();
            let end = caller.read_to_end(&mut received).await;
            let text = String::from_utf8_lossy(&received);
            ensure!(text.contains(" 200 "), "HTTP/{version}: {text}");
            let is_complete = end.is_ok() && (version == "1.0" || text.ends_with("0\r\n\r\n"));
            ensure!(!is_complete, "HTTP/{version}: {text}");
        }
        Ok(())
    });
}

/// Guards against bytes without end that are read for ever, are kept in memory, or reach the caller
/// as a response.
#[test]
fn response_without_end() {
    run_test(async {
        let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let parts = [
            (String::new(), "no response "),
            ("HTTP/1.1 200 OK\r\n".to_owned(), "x-more: of this\r\n"),
            (String::new(), "HTTP/1.1 100 Continue\r\n\r\n"),
            (format!("{chunked}2;"), "extension"),
            (format!("{chunked}2\r\nok\r\n0\r\n"), "x-more: of this\r\n"),
        ];
        let next_part = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let closed = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let sent_bytes = Arc::new(std::sync::atomic::AtomicUsize::new(0));
        let (part, closed_count) = (Arc::clone(&next_part), Arc::clone(&closed));
        let sent_count = Arc::clone(&sent_bytes);
        let all_parts = parts.clone();
        let raw = RawUpstream::start(move |mut stream, _| {
            let (start, repeated) =
                all_parts[part.load(std::sync::atomic::Ordering::SeqCst)].clone();
            let (closed_count, sent_count) = (Arc::clone(&closed_count), Arc::clone(&sent_count));
            async move {
                let _ = stream.write_all(start.as_bytes()).await;
                let repeated = repeated.repeat(500);
                while stream.write_all(repeated.as_bytes()).await.is_ok() {
                    sent_count.fetch_add(repeated.len(), std::sync::atomic::Ordering::SeqCst);
                }
                closed_count.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
            }
        })
        .await?;
        let change = |it: &mut _| set_instance_addresses(it, "photo-drop", raw.address);
        let fleet = TestFleet::start_with(settings(1, SITE, 8), change).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let resident_bytes_before = fleet.host(0).resident_bytes()?;
        for (at, part) in parts.iter().enumerate() {
            next_part.store(at, std::sync::atomic::Ordering::SeqCst);
            let upload = fleet.client.post(fleet.url(0, "/photo-drop/class")).body("x");
            let upload = upload.header("authorization", &key);
            let upload = upload.header("kingcupford-deadline-ms", "700");
            let upload = upload.header("kingcupford-request-id", format!("{binding}.{at}"));
            let sent_at = Instant::now();
            // A host that streams the body may have sent the head before the body breaks off.
            if let Ok(response) = upload.send().await {
                let status = response.status().as_u16();
                ensure!([200, 502, 504].contains(&status), "{part:?}: {status}");
                let is_complete = status == 200 && response.bytes().await.is_ok();
                ensure!(!is_complete, "{part:?}");
            }
            let took = sent_at.elapsed();
            ensure!(took < Duration::from_millis(3_000), "{part:?}: {took:?}");
            let received = raw.received_count();
            wait_until("the connection is closed", Duration::from_secs(5), || async {
                closed.load(std::sync::atomic::Ordering::SeqCst) == received
            })
            .await?;
            let sent_bytes = sent_bytes.swap(0, std::sync::atomic::Ordering::SeqCst);
            // Socket buffers hold most of it.
            ensure!(sent_bytes < 32 << 20, "{part:?}: {sent_bytes} bytes");
        }
        let growth_bytes = fleet.host(0).resident_bytes()?.saturating_sub(resident_bytes_before);
        println!("resident memory grew by {growth_bytes} bytes");
        ensure!(growth_bytes < MAX_GROWTH_BYTES, "memory grew by {growth_bytes} bytes");
        Ok(())
    });
}
