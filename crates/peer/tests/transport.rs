//! Transports that communicate over loopback sockets.

mod pki;

use std::{fs, time::Duration};

use kingcupford_peer::{Frame, PeerEvent, Transport};
use pki::{Host, Pki, frame, wait};
use std::sync::atomic::Ordering;
use tokio::{net::TcpListener, time::sleep};

/// Guards against frames that are lost, altered, duplicated or reordered on a working connection,
/// with sizes up to near the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_carries_frames_both_ways() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    let payload = |number: u32| {
        let size_bytes = if number.is_multiple_of(50) { 1_000_000 } else { 100 + number as usize };
        vec![u8::try_from(number % 251).expect("below 251"); size_bytes]
    };
    for number in 0..200 {
        a.transport.send("host-b", b.address(), frame(&payload(number)));
        b.transport.send("host-a", a.address(), frame(&payload(number)));
    }
    let expected: Vec<Vec<u8>> = (0..200).map(payload).collect();
    a.wait_frames("host-b", 200).await;
    b.wait_frames("host-a", 200).await;
    for (host, from) in [(&a, "host-b"), (&b, "host-a")] {
        assert!(host.received(from) == expected, "frames from {from} differ");
        assert_eq!(host.count(|it| matches!(it, PeerEvent::Connected { .. })), 1);
        let traffic = host.transport.counters().traffic_by_kind();
        assert_eq!(traffic.len(), 1);
        let traffic = traffic[0];
        assert_eq!((traffic.kind, traffic.frames_received, traffic.frames_sent), (5, 200, 200));
        assert!(
            traffic.bytes_received > 4_000_000 && traffic.bytes_received == traffic.bytes_sent,
            "{traffic:?}"
        );
    }
}

/// Guards against a peer that is down or does not respond and delays frames to other peers, and
/// against a queue for such a peer that grows without bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_dead_peer_does_not_delay_others() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-a");
    settings.max_queue_frames = 10;
    let a = Host::start(settings).await;
    let b = Host::start(pki.settings("host-b")).await;
    // One peer refuses connections, one accepts them and never responds.
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let closed_address = closed.local_addr().expect("address");
    drop(closed);
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let silent_address = silent.local_addr().expect("address");
    let mut slowest = Duration::ZERO;
    for number in 0..100_u8 {
        let started_at = std::time::Instant::now();
        a.transport.send("host-dead", closed_address, frame(&[number; 1_000]));
        a.transport.send("host-silent", silent_address, frame(&[number; 1_000]));
        slowest = slowest.max(started_at.elapsed());
        a.transport.send("host-b", b.address(), frame(&[number]));
        sleep(Duration::from_millis(5)).await;
    }
    b.wait_frames("host-a", 100).await;
    assert!(slowest < Duration::from_millis(100), "`send` blocked for {slowest:?}");
    let counters = a.transport.counters();
    assert!(counters.frames_overflowed.load(Ordering::Relaxed) >= 100);
    wait("connection failures of both peers", || {
        ["host-dead", "host-silent"].iter().all(|name| {
            a.count(|it| matches!(it, PeerEvent::ConnectFailed { peer, .. } if peer == name)) > 0
        })
    })
    .await;
}

/// Guards against a process that is reported as ended although its address is bound, and against
/// one that has ended and is not reported so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_distinguishes_unbound_address_from_silent_peer() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-a");
    settings.handshake_timeout_ms = 300;
    let a = Host::start(settings).await;
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let closed_address = closed.local_addr().expect("address");
    drop(closed);
    // The kernel completes the TCP handshake of a listener whose process is paused.
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let silent_address = silent.local_addr().expect("address");
    // The process at this address has a certificate for another host.
    let other = Host::start(pki.settings("host-b")).await;
    for (name, address, expected) in [
        ("host-closed", closed_address, true),
        ("host-silent", silent_address, false),
        ("host-other", other.address(), false),
    ] {
        a.transport.send(name, address, frame(b"lost"));
        let is_failure =
            |it: &PeerEvent| matches!(it, PeerEvent::ConnectFailed { peer, .. } if peer == name);
        wait(name, || a.count(is_failure) >= 2).await;
        let is_expected = |it: &PeerEvent| matches!(it, PeerEvent::ConnectFailed { is_connection_refused, .. } if *is_connection_refused == expected);
        assert_eq!(a.count(|it| is_failure(it) && !is_expected(it)), 0, "{name}");
    }
}

/// Guards against a backlog of outdated heartbeats sent to a peer that comes back after an outage.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_sends_only_the_newest_heartbeat() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    let address = b.address();
    b.transport.close().await;
    for number in 0..50_u8 {
        a.transport.send("host-b", address, Frame::new(1, vec![number]));
    }
    a.transport.send("host-b", address, frame(b"kept"));
    let mut settings = pki.settings("host-b");
    settings.listen_address = address;
    let b = Host::start(settings).await;
    b.wait_frames("host-a", 2).await;
    assert_eq!(b.received("host-a"), [vec![49], b"kept".to_vec()]);
    assert_eq!(a.transport.counters().frames_superseded.load(Ordering::Relaxed), 49);
}

/// Guards against a host that does not reconnect to a peer that restarted, at the same or at a new
/// address.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_reconnects_after_a_restart() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    a.transport.send("host-b", b.address(), frame(b"first"));
    b.wait_frames("host-a", 1).await;
    let address = b.address();
    drop(b);
    wait("the loss of the connection", || {
        a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })) > 0
    })
    .await;
    let mut settings = pki.settings("host-b");
    settings.listen_address = address;
    let b = Host::start(settings).await;
    a.transport.send("host-b", address, frame(b"second"));
    b.wait_frames("host-a", 1).await;
    assert_eq!(b.received("host-a"), [b"second"]);
    let moved = Host::start(pki.settings("host-b")).await;
    a.transport.send("host-b", moved.address(), frame(b"third"));
    moved.wait_frames("host-a", 1).await;
    assert_eq!(moved.received("host-a"), [b"third"]);
}

/// Guards against queued frames that are lost at a graceful shutdown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_close_sends_queued_frames() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    for number in 0..100_u8 {
        a.transport.send("host-b", b.address(), frame(&[number; 5_000]));
    }
    let started_at = std::time::Instant::now();
    a.transport.close().await;
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "`close` took {:?}",
        started_at.elapsed()
    );
    b.wait_frames("host-a", 100).await;
    assert_eq!(
        b.transport.counters().inbound_rejections.load(Ordering::Relaxed),
        0,
        "a graceful close is no rejection"
    );
}

/// Guards against renewed certificates that take effect only after a restart, and against an
/// unusable file that breaks existing connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_reloads_certificates() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    let connected_count = || a.count(|it| matches!(it, PeerEvent::Connected { .. }));
    a.transport.send("host-b", b.address(), frame(b"old certificate"));
    b.wait_frames("host-a", 1).await;
    fs::write(pki.folder.join("host-a.pem"), "broken").expect("write");
    assert!(a.transport.reload_certificates().is_err());
    sleep(Duration::from_millis(300)).await;
    a.transport.send("host-b", b.address(), frame(b"still works"));
    b.wait_frames("host-a", 2).await;
    assert_eq!(connected_count(), 1);
    // Operators replace a CA in two steps: first all hosts trust both CAs, then the certificates
    // are renewed.
    let new_issuer = pki::new_issuer();
    let both_cas = format!("{}{}", pki.issuer.pem(), new_issuer.pem());
    fs::write(pki.folder.join("ca.pem"), both_cas).expect("write");
    pki.issue("host-a", "host-a");
    a.transport.reload_certificates().expect("files are valid again");
    b.transport.reload_certificates().expect("files are valid again");
    pki::write_certificate(&new_issuer, "host-a", &pki.folder, "host-a");
    // The periodic check finds the changed files without a call of `reload_certificates`.
    wait("a new connection", || connected_count() >= 3).await;
    a.transport.send("host-b", b.address(), frame(b"new certificate"));
    b.wait_frames("host-a", 3).await;
    assert_eq!(
        a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })),
        0,
        "a reload is no connection loss"
    );
}

/// Guards against a start with unusable certificate files.
#[tokio::test]
async fn transport_bind_rejects_unusable_files() {
    let pki = Pki::new();
    let bind_error = |settings| async {
        Transport::bind(settings, |_| {}).await.err().map(|it| format!("{it:#}"))
    };
    let mut settings = pki.settings("host-a");
    settings.host_name = "host-b".into();
    let message = bind_error(settings).await.expect("a certificate for another host is rejected");
    assert!(message.contains("host-b"), "{message}");
    let mut settings = pki.settings("host-a");
    settings.key_file = pki.folder.join("missing.key");
    let message = bind_error(settings).await.expect("a missing file is rejected");
    assert!(message.contains("missing.key"), "{message}");
    pki.issue("host-a", "other");
    let mut settings = pki.settings("host-a");
    settings.key_file = pki.folder.join("other.key");
    assert!(bind_error(settings).await.is_some(), "a key of another certificate is rejected");
}

/// Guards against idle connections that stay open, and against closing them as a failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_closes_idle_connections() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-a");
    settings.idle_timeout_ms = 200;
    let a = Host::start(settings).await;
    let b = Host::start(pki.settings("host-b")).await;
    for number in 1..=3 {
        a.transport.send("host-b", b.address(), frame(b"rare"));
        b.wait_frames("host-a", number).await;
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(a.count(|it| matches!(it, PeerEvent::Connected { .. })), 3);
    assert_eq!(a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })), 0);
    assert_eq!(b.transport.counters().inbound_rejections.load(Ordering::Relaxed), 0);
}
