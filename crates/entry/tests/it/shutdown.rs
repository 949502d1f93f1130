//! Graceful shutdown of real processes.

use std::time::Duration;

use anyhow::{Context as _, ensure};
use serde_json::Value;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep},
};

use crate::support::{Fleet, read_head, run, settings, wait_until};

/// The only site with upstreams.
const SITE: &[&str] = &["fukuoka-a"];

/// Time in which the host still takes new callers.
const NOTICE: Duration = Duration::from_millis(3_000);

/// Guards against uploads and long answers that a planned stop cuts, callers that are sent to a
/// host that leaves, and new callers refused before the notice ends.
#[test]
fn terminate_cuts_nothing() {
    run(async {
        let mut slow = settings(2, SITE, 16);
        slow.drain_notice_ms = NOTICE.as_millis() as u64;
        slow.upstream.upload_bytes_per_s = 200_000;
        let mut fleet = Fleet::start(slow).await?;
        let key = fleet.key("k", "school-1").await?;
        let binding = fleet.binding(0, &key).await?;
        assert!(named(&fleet, 1).await?.contains(&"entry-1".to_owned()));
        let mut work = Vec::new();
        for number in 0..4 {
            // Both last 5 s, longer than the notice.
            let upload = fleet.client.post(fleet.url(0, "/photo-drop/class"));
            let upload = upload.header("authorization", &key).body(vec![b'x'; 1_000_000]);
            let upload = upload.header("kingcupford-request-id", format!("{binding}.{number}"));
            work.push(tokio::spawn(async move { check_upload(upload.send().await?).await }));
            let read = fleet.get(0, "/ledger-view/bytes/40000000", &key).send().await?;
            work.push(tokio::spawn(read_slowly(read)));
        }
        wait_until("all run", Duration::from_secs(10), || async { fleet.in_flight(0).await == 8 })
            .await?;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        wait_until("lookups stop naming the host", Duration::from_secs(2), || async {
            let named = named(&fleet, 1).await;
            named.is_ok_and(|it| !it.contains(&"entry-1".to_owned()))
        })
        .await?;
        let mut served = 0;
        while signalled.elapsed() < NOTICE - Duration::from_millis(300) {
            // A client of its own opens a new connection.
            let client = reqwest::Client::builder().no_proxy().build()?;
            let read = client.get(fleet.url(0, "/ledger-view/open")).send().await?;
            ensure!(read.status() == 200, "a new caller got {}", read.status());
            served += 1;
            sleep(Duration::from_millis(50)).await;
        }
        ensure!(served > 0, "no new caller was tried");
        for it in work {
            it.await??;
        }
        let mut host = fleet.hosts[0].take().context("it was started")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against the loss of the end of an answer that the upstream has sent whole and that still
/// waits in the host for its slow caller.
#[test]
fn terminate_delivers_buffered_end() {
    run(async {
        let mut fleet = Fleet::start(settings(1, SITE, 16)).await?;
        let key = fleet.key("k", "school-1").await?;
        let address = fleet.host(0).caller;
        // The largest answer that the host takes whole while its caller reads nothing.
        let mut waiting = None;
        for length in (1..200).map(|it| it * 60_000) {
            let caller = open_answer(address, &key, length).await?;
            let taken = wait_until("the answer is taken", Duration::from_millis(700), || async {
                fleet.in_flight(0).await == 0
            });
            if taken.await.is_err() {
                break;
            }
            waiting = Some((caller, length));
        }
        let (mut caller, length) = waiting.context("no answer was taken whole")?;
        wait_until("the others end", Duration::from_secs(5), || async {
            fleet.in_flight(0).await == 0
        })
        .await?;
        fleet.host(0).signal("TERM")?;
        sleep(Duration::from_secs(5)).await;
        read_head(&mut caller).await.context("no head")?;
        let mut body = vec![0; length];
        let read = caller.read_exact(&mut body).await;
        ensure!(read.is_ok(), "an answer of {length} bytes was cut");
        drop(caller);
        let mut host = fleet.hosts[0].take().context("it was started")?;
        let status = host.wait(Duration::from_secs(20)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against a stop that callers with idle connections hold up.
#[test]
fn terminate_with_idle_connections() {
    run(async {
        let mut fleet = Fleet::start(settings(1, SITE, 16)).await?;
        let address = fleet.host(0).caller;
        let _silent = TcpStream::connect(address).await?;
        let mut half = TcpStream::connect(address).await?;
        half.write_all(b"GET /ledger-view/open HTT").await?;
        let mut kept = TcpStream::connect(address).await?;
        kept.write_all(b"GET /ledger-view/open HTTP/1.1\r\nhost: x\r\n\r\n").await?;
        read_head(&mut kept).await.context("no head")?;
        fleet.host(0).signal("TERM")?;
        let mut host = fleet.hosts[0].take().context("it was started")?;
        let status = host.wait(Duration::from_secs(10)).await?;
        assert_eq!(status.code(), Some(0), "{}", host.log());
        Ok(())
    });
}

/// Guards against a second signal that does not end the process at once, and against cut requests
/// that are neither counted nor logged.
#[test]
fn terminate_twice() {
    run(async {
        let mut slow = settings(1, SITE, 16);
        slow.upstreams.iter_mut().for_each(|it| it.service_time_ms = 4_500.0);
        slow.drain_notice_ms = 20_000;
        let mut fleet = Fleet::start(slow).await?;
        let key = fleet.key("k", "school-1").await?;
        let work: Vec<_> =
            (0..3).map(|_| tokio::spawn(fleet.get(0, "/ledger-view/a", &key).send())).collect();
        wait_until("all run", Duration::from_secs(10), || async { fleet.in_flight(0).await == 3 })
            .await?;
        fleet.host(0).signal("TERM")?;
        wait_until("the drain starts", Duration::from_secs(5), || async {
            fleet.host(0).log().contains("DrainStarted")
        })
        .await?;
        let signalled = Instant::now();
        fleet.host(0).signal("TERM")?;
        let mut host = fleet.hosts[0].take().context("it was started")?;
        let status = host.wait(Duration::from_secs(10)).await?;
        println!("the process ended {:?} after the second signal", signalled.elapsed());
        ensure!(signalled.elapsed() < Duration::from_secs(2), "{:?}", signalled.elapsed());
        assert_eq!(status.code(), Some(1));
        let log = host.log();
        assert!(log.contains("RequestsCut: 3 requests"), "{log}");
        for it in work {
            if let Ok(answer) = it.await? {
                assert_ne!(answer.headers()["kingcupford-outcome"], "not-run");
            }
        }
        Ok(())
    });
}

/// Names of the hosts that a lookup at a host names.
async fn named(fleet: &Fleet, at: usize) -> anyhow::Result<Vec<String>> {
    let url = fleet.url(at, "/v1/lookup?service=ledger-view&client=10.0.0.7");
    let body: Value = fleet.client.get(url).send().await?.json().await?;
    let hosts = body["hosts"].as_array().context("no hosts")?;
    Ok(hosts.iter().filter_map(|it| it["name"].as_str()).map(str::to_owned).collect())
}

/// Checks that an upload arrived whole.
async fn check_upload(answer: reqwest::Response) -> anyhow::Result<()> {
    ensure!(answer.status() == 200, "upload: {}", answer.status());
    let report: Value = answer.json().await?;
    ensure!(report["body_bytes"] == 1_000_000, "{report}");
    Ok(())
}

/// Reads an answer of 40 MB over 5 s.
async fn read_slowly(mut answer: reqwest::Response) -> anyhow::Result<()> {
    let started = Instant::now();
    let mut length = 0;
    while let Some(chunk) = answer.chunk().await? {
        length += chunk.len();
        tokio::time::sleep_until(started + Duration::from_secs_f64(length as f64 / 8e6)).await;
    }
    ensure!(length == 40_000_000, "answer: {length} bytes");
    Ok(())
}

/// Asks for an answer on a connection with a small receive buffer and reads nothing of it.
async fn open_answer(
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
