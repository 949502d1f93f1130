//! Graceful shutdown of entry processes.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use serde_json::Value;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, sleep_until},
};

use crate::support::{TestFleet, read_head, run_test, settings, wait_until};

/// The only site that has upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Time for which a draining host still accepts new callers.
const DRAIN_NOTICE: Duration = Duration::from_millis(3_000);

/// Guards against uploads and long responses that a planned shutdown cuts, callers that are
/// directed to a draining host, and new callers that are rejected before the drain notice ends.
#[test]
fn terminate_cuts_nothing() {
    run_test(async {
        let mut slow = settings(2, SITE, 16);
        slow.drain_notice_ms = DRAIN_NOTICE.as_millis() as u64;
        slow.upstream.upload_bytes_per_s = 200_000;
        let mut fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        assert!(lookup_names(&fleet, 1).await?.contains(&"entry-1".to_owned()));
        let mut work = Vec::new();
        for number in 0..4 {
            // The upload and the read take 5 s, longer than the drain notice.
            let upload = fleet.client.post(fleet.url(0, "/photo-drop/class"));
            let upload = upload.header("authorization", &key).body(vec![b'x'; 1_000_000]);
            let upload = upload.header("kingcupford-request-id", format!("{binding}.{number}"));
            work.push(tokio::spawn(async move { check_upload(upload.send().await?).await }));
            let read = fleet.get(0, "/ledger-view/bytes/40000000", &key).send().await?;
            work.push(tokio::spawn(read_slowly(read)));
        }
        wait_until("all requests run", Duration::from_secs(10), || async {
            fleet.in_flight(0).await == 8
        })
        .await?;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        wait_until("lookup answers stop naming the host", Duration::from_secs(2), || async {
            let names = lookup_names(&fleet, 1).await;
            names.is_ok_and(|it| !it.contains(&"entry-1".to_owned()))
        })
        .await?;
        let mut served_callers = 0;
        while signalled.elapsed() < DRAIN_NOTICE - Duration::from_millis(300) {
            // A new client opens a new connection.
            let client = reqwest::Client::builder().no_proxy().build()?;
            let read = client.get(fleet.url(0, "/ledger-view/open")).send().await?;
            ensure!(read.status() == 200, "a new caller got {}", read.status());
            served_callers += 1;
            sleep(Duration::from_millis(50)).await;
        }
        ensure!(served_callers > 0, "no new caller was sent within the notice");
        for it in work {
            it.await??;
        }
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against the loss of the end of a response that the upstream has sent completely and that
/// is still buffered in the host for a slow caller.
#[test]
fn terminate_delivers_buffered_end() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(1, SITE, 16)).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let address = fleet.host(0).caller;
        // Finds the longest response that the host buffers completely while the caller reads
        // nothing.
        let mut longest_buffered = None;
        for length in (1..200).map(|it| it * 60_000) {
            let caller = open_response(address, &key, length).await?;
            let buffered =
                wait_until("the response is buffered", Duration::from_millis(700), || async {
                    fleet.in_flight(0).await == 0
                });
            if buffered.await.is_err() {
                break;
            }
            longest_buffered = Some((caller, length));
        }
        let (mut caller, length) =
            longest_buffered.context("no response was buffered completely")?;
        wait_until("the other requests end", Duration::from_secs(5), || async {
            fleet.in_flight(0).await == 0
        })
        .await?;
        fleet.host(0).signal("TERM")?;
        sleep(Duration::from_secs(5)).await;
        read_head(&mut caller).await.context("no head")?;
        let mut body = vec![0; length];
        let read = caller.read_exact(&mut body).await;
        ensure!(read.is_ok(), "a response of {length} bytes was cut");
        drop(caller);
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against a planned shutdown under load that cuts requests, also those on connections that
/// were just accepted.
#[test]
fn terminate_under_load() {
    run_test(async {
        let mut busy = settings(1, SITE, 64);
        busy.drain_notice_ms = 500;
        let mut fleet = TestFleet::start(busy).await?;
        let address = fleet.host(0).caller;
        let callers: Vec<_> =
            (0..100).map(|it| tokio::spawn(call_until_refused(address, it))).collect();
        sleep(Duration::from_millis(500)).await;
        fleet.host(0).signal("TERM")?;
        let (mut answered, mut cut) = (0, Vec::new());
        for it in callers {
            let outcome = it.await?;
            answered += outcome.0;
            cut.extend(outcome.1);
        }
        println!("{answered} answered, cut {cut:?}");
        ensure!(answered > 200, "{answered} answered");
        // A later request may cross the closing of its connection, and a connection the closing of
        // the listener.
        cut.retain(|it| it.0 == 0 || !fleet.executions(&it.1).is_empty());
        ensure!(cut.len() <= 5, "cut: {cut:?}");
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against connections that were accepted right before the end of the drain notice, and are
/// closed although their request arrives.
#[test]
fn terminate_accepted_connections() {
    run_test(async {
        let mut short = settings(1, SITE, 64);
        short.drain_notice_ms = 500;
        let mut fleet = TestFleet::start(short).await?;
        let address = fleet.host(0).caller;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        sleep(Duration::from_millis(400)).await;
        let mut connections = Vec::new();
        for _ in 0..100 {
            connections.extend(TcpStream::connect(address).await);
        }
        sleep_until(signalled + Duration::from_millis(600)).await;
        let (mut answered, mut cut) = (0, 0);
        for stream in &mut connections {
            let request = b"GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n";
            let is_sent = stream.write_all(request).await.is_ok();
            // Later requests may arrive after the host has stopped waiting for them.
            if signalled.elapsed() > Duration::from_millis(750) {
                break;
            }
            match read_head(stream).await {
                Some(_) if is_sent => answered += 1,
                _ => cut += 1,
            }
        }
        println!("{answered} answered, {cut} cut");
        ensure!(cut == 0, "{cut} cut, {answered} answered");
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Length of the body that follows a head.
fn body_length(head: &str) -> usize {
    let length = head.lines().find_map(|it| it.strip_prefix("content-length: "));
    length.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// Sends requests on new and kept connections until the host accepts none. Returns the number of
/// answered requests, and of the others the number on the connection and the tag.
async fn call_until_refused(
    address: std::net::SocketAddr,
    caller: usize,
) -> (usize, Vec<(usize, String)>) {
    let (mut answered, mut cut) = (0, Vec::new());
    for connection in 0.. {
        let Ok(mut stream) = TcpStream::connect(address).await else { break };
        for at in 0..4 {
            let tag = format!("{caller}-{connection}-{at}");
            let head = format!(
                "GET /ledger-view/open HTTP/1.1\r\nhost: x\r\nx-request-tag: {tag}\r\n\r\n"
            );
            let sent = stream.write_all(head.as_bytes()).await;
            let response = match sent {
                Ok(()) => read_head(&mut stream).await,
                Err(_) => None,
            };
            let body = response.as_deref().map(body_length);
            let mut body = vec![0; body.unwrap_or_default()];
            let (Some(response), Ok(_)) = (response, stream.read_exact(&mut body).await) else {
                cut.push((at, tag));
                break;
            };
            answered += 1;
            if response.contains("connection: close") {
                break;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    (answered, cut)
}

/// Guards against a shutdown that idle connections of callers delay.
#[test]
fn terminate_with_idle_connections() {
    run_test(async {
        let mut fleet = TestFleet::start(settings(1, SITE, 16)).await?;
        let address = fleet.host(0).caller;
        let _silent = TcpStream::connect(address).await?;
        let mut incomplete = TcpStream::connect(address).await?;
        incomplete.write_all(b"GET /ledger-view/open HTT").await?;
        let mut idle = TcpStream::connect(address).await?;
        idle.write_all(b"GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n").await?;
        read_head(&mut idle).await.context("no head")?;
        fleet.host(0).signal("TERM")?;
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(10)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against a second signal that does not end the process at once, and against cut requests
/// that are neither counted nor logged.
#[test]
fn terminate_twice() {
    run_test(async {
        let mut slow = settings(1, SITE, 16);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 4_500.0);
        slow.drain_notice_ms = 20_000;
        let mut fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let work: Vec<_> =
            (0..3).map(|_| tokio::spawn(fleet.get(0, "/ledger-view/a", &key).send())).collect();
        wait_until("all requests run", Duration::from_secs(10), || async {
            fleet.in_flight(0).await == 3
        })
        .await?;
        fleet.host(0).signal("TERM")?;
        wait_until("the drain has started", Duration::from_secs(5), || async {
            fleet.host(0).log().contains("DrainStarted")
        })
        .await?;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(10)).await?;
        println!("the process ended {:?} after the second signal", signalled.elapsed());
        ensure!(signalled.elapsed() < Duration::from_secs(2), "{:?}", signalled.elapsed());
        assert_eq!(status.code(), Some(1));
        let log = host.log();
        assert!(log.contains("RequestsCut: 3 requests"), "{log}");
        for it in work {
            if let Ok(response) = it.await? {
                assert_ne!(response.headers()["kingcupford-outcome"], "not-run");
            }
        }
        Ok(())
    });
}

/// Guards against a request that a host takes late in a planned shutdown, passes on and cuts at the
/// shutdown deadline while an upstream runs it.
#[test]
fn terminate_request_longer_than_deadline() {
    run_test(async {
        let mut slow = settings(1, SITE, 64);
        slow.upstreams.iter_mut().filter(|it| it.service == "deposit-desk").for_each(|it| {
            it.service_time_ms = 2_500.0;
        });
        slow.drain_notice_ms = 2_000;
        slow.shutdown_deadline_ms = 3_500;
        let mut fleet = TestFleet::start(slow).await?;
        let key = fleet.issue_key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        let mut orders = Vec::new();
        for number in 0..8 {
            sleep_until(signalled + Duration::from_millis(1_300 + number * 60)).await;
            let tag = format!("late-{number}");
            let order = fleet.deposit(0, &key, &format!("{binding}.{number}"), &tag);
            orders.push((tag, tokio::spawn(order.send())));
            let read = fleet.get(0, "/ledger-view/a", &key);
            let read = read.header("kingcupford-deadline-ms", "1000").send().await?;
            ensure!(read.status() == 200, "a read that ends in time got {}", read.status());
        }
        for (tag, order) in orders {
            let response = order.await?.with_context(|| format!("{tag} was cut"))?;
            let (status, headers) = (response.status(), response.headers().clone());
            ensure!(headers["kingcupford-outcome"] == "not-run", "{tag}: {status} {headers:?}");
            assert_eq!((status.as_u16(), &headers["retry-after"]), (503, &"0".parse()?), "{tag}");
            let body: Value = response.json().await?;
            assert_eq!(
                (&body["reason"], &body["retry_after_ms"]),
                (&"shutting-down".into(), &0.into())
            );
            assert!(fleet.executions(&tag).is_empty(), "{tag} ran");
        }
        let mut host = fleet.hosts[0].take().context("the host is not running")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Returns the names of the hosts in the lookup response of a host.
async fn lookup_names(fleet: &TestFleet, index: usize) -> anyhow::Result<Vec<String>> {
    let url = fleet.url(index, "/v1/lookup?service=ledger-view&client=10.0.0.7");
    let body: Value = fleet.client.get(url).send().await?.json().await?;
    let hosts = body["hosts"].as_array().context("no hosts")?;
    Ok(hosts.iter().filter_map(|it| it["name"].as_str()).map(str::to_owned).collect())
}

/// Checks that an upload arrived completely.
async fn check_upload(response: reqwest::Response) -> anyhow::Result<()> {
    ensure!(response.status() == 200, "upload: {}", response.status());
    let report: Value = response.json().await?;
    ensure!(report["body_bytes"] == 1_000_000, "{report}");
    Ok(())
}

/// Reads a response of 40 MB over 5 s.
async fn read_slowly(mut response: reqwest::Response) -> anyhow::Result<()> {
    let started = Instant::now();
    let mut length = 0;
    while let Some(chunk) = response.chunk().await? {
        length += chunk.len();
        tokio::time::sleep_until(started + Duration::from_secs_f64(length as f64 / 8e6)).await;
    }
    ensure!(length == 40_000_000, "response: {length} bytes");
    Ok(())
}

/// Requests a response of a given length on a connection with a small receive buffer, without
/// reading the response.
async fn open_response(
    address: std::net::SocketAddr,
    key: &str,
    length: usize,
) -> anyhow::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    SockRef::from(&socket).set_recv_buffer_size(4096)?;
    let mut res = socket.connect(address).await?;
    let head = format!(
        "GET /ledger-view/bytes/{length} HTTP/1.1\r\nhost: x\r\nauthorization: {key}\r\n\r\n"
    );
    res.write_all(head.as_bytes()).await?;
    // The first bytes show that the request was admitted.
    res.readable().await?;
    Ok(res)
}
