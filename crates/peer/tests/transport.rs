//! Transports over loopback sockets with certificates of their own.

mod pki;

use std::{fs, time::Duration};

use kingcupford_peer::{Frame, PeerEvent, Transport};
use pki::{Host, Pki, frame, wait};
use std::sync::atomic::Ordering;
use tokio::{net::TcpListener, time::sleep};

/// Guards against frames that are lost, changed, doubled or out of order on a sound connection,
/// up to the largest size.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_carries_frames_both_ways() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    let payload = |number: u32| {
        let size_bytes = if number.is_multiple_of(50) { 1_000_000 } else { 100 + number as usize };
        vec![u8::try_from(number % 251).expect("small"); size_bytes]
    };
    for number in 0..200 {
        a.transport.send("host-b", b.address(), frame(&payload(number)));
        b.transport.send("host-a", a.address(), frame(&payload(number)));
    }
    let expected: Vec<Vec<u8>> = (0..200).map(payload).collect();
    a.wait_frames("host-b", 200).await;
    b.wait_frames("host-a", 200).await;
    for (host, from) in [(&a, "host-b"), (&b, "host-a")] {
        assert!(host.received(from) == expected, "frames of {from} differ");
        assert_eq!(host.count(|it| matches!(it, PeerEvent::Connected { .. })), 1);
        let counts = host.transport.counters().traffic_by_kind();
        assert_eq!(counts.len(), 1);
        let count = counts[0];
        assert_eq!((count.kind, count.frames_received, count.frames_sent), (5, 200, 200));
        assert!(
            count.bytes_received > 4_000_000 && count.bytes_received == count.bytes_sent,
            "{count:?}"
        );
    }
}

/// Guards against a dead or silent peer that delays frames to others, and against a queue for it
/// that grows without bound.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_dead_peer_blocks_nobody() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-a");
    settings.max_queue_frames = 10;
    let a = Host::start(settings).await;
    let b = Host::start(pki.settings("host-b")).await;
    // One peer refuses connections, one accepts and never answers.
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let closed_address = closed.local_addr().expect("address");
    drop(closed);
    let silent = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let silent_address = silent.local_addr().expect("address");
    let mut slowest = Duration::ZERO;
    for number in 0..100_u8 {
        let begun = std::time::Instant::now();
        a.transport.send("host-dead", closed_address, frame(&[number; 1_000]));
        a.transport.send("host-silent", silent_address, frame(&[number; 1_000]));
        slowest = slowest.max(begun.elapsed());
        a.transport.send("host-b", b.address(), frame(&[number]));
        sleep(Duration::from_millis(5)).await;
    }
    b.wait_frames("host-a", 100).await;
    assert!(slowest < Duration::from_millis(100), "sending waited {slowest:?}");
    let counters = a.transport.counters();
    assert!(counters.frames_overflowed.load(Ordering::Relaxed) >= 100);
    wait("both refusals", || {
        ["host-dead", "host-silent"].iter().all(|name| {
            a.count(|it| matches!(it, PeerEvent::ConnectFailed { peer, .. } if peer == name)) > 0
        })
    })
    .await;
}

/// Guards against a process that is taken for ended although its address is bound, and against one
/// that has ended and is not recognised.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_tells_an_unbound_address_from_a_silent_peer() {
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
    // A process at the address, whose certificate names another host.
    let other = Host::start(pki.settings("host-b")).await;
    for (name, address, expected) in [
        ("host-closed", closed_address, true),
        ("host-silent", silent_address, false),
        ("host-other", other.address(), false),
    ] {
        a.transport.send(name, address, frame(b"lost"));
        let refused =
            |it: &PeerEvent| matches!(it, PeerEvent::ConnectFailed { peer, .. } if peer == name);
        wait(name, || a.count(refused) >= 2).await;
        let agrees = |it: &PeerEvent| matches!(it, PeerEvent::ConnectFailed { is_connection_refused, .. } if *is_connection_refused == expected);
        assert_eq!(a.count(|it| refused(it) && !agrees(it)), 0, "{name}");
    }
}

/// Guards against a backlog of old heartbeats that a peer gets when it comes back.
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

/// Guards against a host that never reaches a peer again after it restarted, at its old address
/// or at a new one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_reconnects_after_a_restart() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    a.transport.send("host-b", b.address(), frame(b"first"));
    b.wait_frames("host-a", 1).await;
    let address = b.address();
    drop(b);
    wait("the failure", || a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })) > 0).await;
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

/// Guards against queued frames that are lost at a planned stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_close_sends_what_is_queued() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    for number in 0..100_u8 {
        a.transport.send("host-b", b.address(), frame(&[number; 5_000]));
    }
    let begun = std::time::Instant::now();
    a.transport.close().await;
    assert!(begun.elapsed() < Duration::from_secs(2), "closing took {:?}", begun.elapsed());
    b.wait_frames("host-a", 100).await;
    assert_eq!(
        b.transport.counters().inbound_rejections.load(Ordering::Relaxed),
        0,
        "a clean end is no fault"
    );
}

/// Guards against a restart that a renewed certificate would need, and against a broken file that
/// ends what works.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_reloads_certificates() {
    let pki = Pki::new();
    let a = Host::start(pki.settings("host-a")).await;
    let b = Host::start(pki.settings("host-b")).await;
    let connected = || a.count(|it| matches!(it, PeerEvent::Connected { .. }));
    a.transport.send("host-b", b.address(), frame(b"old certificate"));
    b.wait_frames("host-a", 1).await;
    fs::write(pki.folder.join("host-a.pem"), "broken").expect("write");
    assert!(a.transport.reload_certificates().is_err());
    sleep(Duration::from_millis(300)).await;
    a.transport.send("host-b", b.address(), frame(b"still works"));
    b.wait_frames("host-a", 2).await;
    assert_eq!(connected(), 1);
    // A whole new CA: first both trust both, then the certificates change, as operators do it.
    let renewed = pki::issuer();
    let both = format!("{}{}", pki.issuer.pem(), renewed.pem());
    fs::write(pki.folder.join("ca.pem"), both).expect("write");
    pki.issue("host-a", "host-a");
    a.transport.reload_certificates().expect("files are good again");
    b.transport.reload_certificates().expect("files are good again");
    pki::issue(&renewed, "host-a", &pki.folder, "host-a");
    // Found by looking at the files, without a call.
    wait("a new connection", || connected() >= 3).await;
    a.transport.send("host-b", b.address(), frame(b"new certificate"));
    b.wait_frames("host-a", 3).await;
    assert_eq!(
        a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })),
        0,
        "a reload is no failure"
    );
}

/// Guards against a start with files that cannot work.
#[tokio::test]
async fn transport_bind_refuses_bad_files() {
    let pki = Pki::new();
    let error = |settings| async {
        Transport::bind(settings, |_| {}).await.err().map(|it| format!("{it:#}"))
    };
    let mut settings = pki.settings("host-a");
    settings.host_name = "host-b".into();
    let message = error(settings).await.expect("a certificate for another host is refused");
    assert!(message.contains("host-b"), "{message}");
    let mut settings = pki.settings("host-a");
    settings.key_file = pki.folder.join("missing.key");
    let message = error(settings).await.expect("a missing file is refused");
    assert!(message.contains("missing.key"), "{message}");
    pki.issue("host-a", "other");
    let mut settings = pki.settings("host-a");
    settings.key_file = pki.folder.join("other.key");
    assert!(error(settings).await.is_some(), "a key of another certificate is refused");
}

/// Guards against connections that stay open although nothing is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn transport_closes_idle_connections() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-a");
    settings.idle_timeout_ms = 200;
    let a = Host::start(settings).await;
    let b = Host::start(pki.settings("host-b")).await;
    for number in 1..=3 {
        a.transport.send("host-b", b.address(), frame(b"now and then"));
        b.wait_frames("host-a", number).await;
        sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(a.count(|it| matches!(it, PeerEvent::Connected { .. })), 3);
    assert_eq!(a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })), 0);
    assert_eq!(b.transport.counters().inbound_rejections.load(Ordering::Relaxed), 0);
}
