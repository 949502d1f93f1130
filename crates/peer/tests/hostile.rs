//! Hostile peers: the attacked host closes their connections, and other connections are unaffected.

mod pki;

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use kingcupford_peer::{Frame, PeerEvent};
use parking_lot::Mutex;
use pki::{Host, Pki, frame, wait};
use rustls::{
    ClientConfig, RootCertStore, ServerConfig,
    pki_types::{CertificateDer, PrivateKeyDer, ServerName, pem::PemObject as _},
};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

/// Captured log lines of the transport.
static LOG_LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Logger that captures the lines of the transport.
struct LogCapture;

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "kingcupford::peer" {
            LOG_LINES.lock().push(format!("{} {}", record.level(), record.args()));
        }
    }

    fn flush(&self) {}
}

/// Two connected hosts, of which `b` is attacked.
struct AttackedPair {
    pki: Pki,
    a: Host,
    b: Host,
}

impl AttackedPair {
    async fn new() -> Self {
        static LOG_CAPTURE: LogCapture = LogCapture;
        if log::set_logger(&LOG_CAPTURE).is_ok() {
            log::set_max_level(log::LevelFilter::Info);
        }
        let pki = Pki::new();
        let a = Host::start(pki.settings("host-a")).await;
        let b = Host::start(pki.settings("host-b")).await;
        a.transport.send("host-b", b.address(), frame(b"before"));
        b.wait_frames("host-a", 1).await;
        Self { pki, a, b }
    }

    /// Waits until `b` has rejected at least `min_rejections` connections and a log line contains
    /// `reason`, and checks that the connection from `a` to `b` still works and never broke.
    async fn assert_unaffected(self, min_rejections: u64, reason: &str) {
        let counters = self.b.transport.counters();
        wait("the rejections", || {
            counters.inbound_rejections.load(Ordering::Relaxed) >= min_rejections
        })
        .await;
        wait(reason, || LOG_LINES.lock().iter().any(|it| it.contains(reason))).await;
        self.a.transport.send("host-b", self.b.address(), frame(b"after"));
        self.b.wait_frames("host-a", 2).await;
        assert_eq!(self.a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })), 0);
        assert_eq!(self.a.count(|it| matches!(it, PeerEvent::Connected { .. })), 1);
    }

    /// Connects an attacker to `b`. The attacker has a valid certificate for `certificate_name` and
    /// claims to be `claimed_name`.
    async fn attacker(&self, certificate_name: &str, claimed_name: &str) -> Attacker {
        self.pki.issue(certificate_name, "attacker");
        connect(&self.pki, self.b.address(), claimed_name).await
    }
}

/// Client with a raw HTTP/2 stream.
struct Attacker {
    stream: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
    connection: tokio::task::JoinHandle<Result<(), h2::Error>>,
}

/// Connects to `host-b` over TLS with the certificate in `attacker.pem`.
async fn connect_tls(pki: &Pki, address: SocketAddr) -> tokio_rustls::client::TlsStream<TcpStream> {
    let mut roots = RootCertStore::empty();
    let ca = CertificateDer::from_pem_file(pki.folder.join("ca.pem")).expect("CA");
    roots.add(ca).expect("CA");
    let chain = vec![CertificateDer::from_pem_file(pki.folder.join("attacker.pem")).expect("PEM")];
    let key = PrivateKeyDer::from_pem_file(pki.folder.join("attacker.key")).expect("key");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("versions")
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .expect("certificate");
    config.alpn_protocols = vec![b"kingcupford-peer".to_vec()];
    let tcp = TcpStream::connect(address).await.expect("connect");
    let name = ServerName::try_from("host-b").expect("name");
    TlsConnector::from(Arc::new(config)).connect(name, tcp).await.expect("TLS")
}

/// Opens an HTTP/2 stream to `host-b` with a host name in its header.
async fn connect(pki: &Pki, address: SocketAddr, claimed_name: &str) -> Attacker {
    let (sender, connection) =
        h2::client::handshake(connect_tls(pki, address).await).await.expect("h2");
    let connection = tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("ready");
    let request = http::Request::post("https://peer/frames")
        .header("kingcupford-host", claimed_name)
        .body(())
        .expect("request");
    let (response, stream) = sender.send_request(request, false).expect("stream");
    Attacker { stream, response, connection }
}

impl Attacker {
    /// Sends bytes and waits until the connection is closed.
    async fn send(mut self, bytes: &[u8], end_of_stream: bool) {
        let _ = self.stream.send_data(Bytes::copy_from_slice(bytes), end_of_stream);
        let closed = timeout(Duration::from_secs(5), self.connection).await;
        assert!(closed.is_ok(), "the attacker's connection stays open");
    }
}

/// Guards against a declared length that makes the receiver allocate or read too much.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_declares_oversized_frame() {
    let hosts = AttackedPair::new().await;
    hosts.attacker("host-c", "host-c").await.send(&u32::MAX.to_be_bytes(), false).await;
    hosts
        .assert_unaffected(1, "connection from `host-c` ended: frame of 4294967295 bytes exceeds")
        .await;
}

/// Guards against malformed frames that are accepted.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_sends_garbage() {
    let hosts = AttackedPair::new().await;
    let mut garbage = vec![0, 0, 0, 9];
    garbage.extend_from_slice(&[0xff; 9]);
    hosts.attacker("host-d", "host-d").await.send(&garbage, false).await;
    hosts.assert_unaffected(1, "connection from `host-d` ended: malformed frame").await;
}

/// Guards against a truncated frame that is treated as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_truncates_a_frame() {
    let hosts = AttackedPair::new().await;
    let mut buffer = BytesMut::new();
    Frame::new(5, vec![1; 100]).encode_to(&mut buffer).expect("encodes");
    hosts.attacker("host-e", "host-e").await.send(&buffer[..60], true).await;
    assert!(hosts.b.received("host-e").is_empty());
    hosts
        .assert_unaffected(
            1,
            "connection from `host-e` ended: frame truncated by the end of the stream",
        )
        .await;
}

/// Guards against a host that impersonates another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_claims_another_name() {
    let hosts = AttackedPair::new().await;
    let attacker = hosts.attacker("host-f", "host-a").await;
    let response = timeout(Duration::from_secs(5), attacker.response).await.expect("a response");
    assert_eq!(response.expect("a response").status(), http::StatusCode::FORBIDDEN);
    hosts.assert_unaffected(1, "certificate is not valid for host `host-a`").await;
}

/// Guards against a peer whose certificate is signed by another CA, on inbound and outbound
/// connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_has_a_certificate_of_another_ca() {
    let hosts = AttackedPair::new().await;
    let other_pki = Pki::new();
    let attacker = Host::start(other_pki.settings("host-a")).await;
    // The sender trusts the CA of `b`, so that only `b` can reject the connection.
    let mut settings = other_pki.settings("host-a");
    settings.ca_file = hosts.pki.folder.join("ca.pem");
    let sender = Host::start(settings).await;
    sender.transport.send("host-b", hosts.b.address(), frame(b"forged"));
    wait("a connection failure", || {
        sender.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0
    })
    .await;
    hosts.b.transport.send("host-a", attacker.address(), frame(b"secret"));
    wait("a connection failure", || {
        hosts.b.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0
    })
    .await;
    assert!(attacker.received("host-b").is_empty());
    assert_eq!(hosts.b.received("host-a"), [b"before"]);
    hosts.assert_unaffected(1, "TLS handshake").await;
}

/// Guards against frames sent to a host that listens at the address of another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_listens_at_the_address_of_another_host() {
    let hosts = AttackedPair::new().await;
    let other = Host::start(hosts.pki.settings("host-g")).await;
    hosts.b.transport.send("host-h", other.address(), frame(b"for host-h only"));
    wait("a connection failure", || {
        hosts.b.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0
    })
    .await;
    assert!(other.received("host-b").is_empty());
    hosts.assert_unaffected(0, "cannot connect to `host-h`").await;
}

/// Guards against connections that stay open without a completed handshake or without a stream, and
/// against data that is not TLS.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_never_finishes_the_handshake() {
    let hosts = AttackedPair::new().await;
    let silent = TcpStream::connect(hosts.b.address()).await.expect("connect");
    let mut not_tls = TcpStream::connect(hosts.b.address()).await.expect("connect");
    not_tls.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("write");
    // Only the TLS handshake is performed.
    hosts.pki.issue("host-i", "attacker");
    let tls_only = connect_tls(&hosts.pki, hosts.b.address()).await;
    hosts.assert_unaffected(3, "no handshake within 1s").await;
    drop((silent, not_tls, tls_only));
}

/// Guards against one peer that occupies all connections, and against more inbound connections than
/// the limit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_opens_many_connections() {
    let pki = Pki::new();
    let mut settings = pki.settings("host-b");
    settings.max_inbound_connections = 8;
    let b = Host::start(settings).await;
    pki.issue("host-j", "attacker");
    let mut attackers = Vec::new();
    for _ in 0..6 {
        let attacker = connect(&pki, b.address(), "host-j").await;
        attackers.push((attacker.response.await.expect("accepted"), attacker.connection));
    }
    for (_, connection) in &mut attackers[..4] {
        let closed = timeout(Duration::from_secs(5), connection).await;
        assert!(closed.is_ok(), "an old connection of a peer stays open");
    }
    // The other two connections stay open, so that the limit on all connections is reached.
    let mut idle = Vec::new();
    for _ in 0..10 {
        idle.push(TcpStream::connect(b.address()).await.expect("connect"));
    }
    let counters = b.transport.counters();
    wait("rejections at the limit", || counters.inbound_rejections.load(Ordering::Relaxed) >= 4)
        .await;
    drop((idle, attackers));
    let a = Host::start(pki.settings("host-a")).await;
    a.transport.send("host-b", b.address(), frame(b"below the limit"));
    b.wait_frames("host-a", 1).await;
}

/// Runs a test on its own runtime in another thread, and fails if the test takes longer than 20 s.
/// A worker that loops without yielding blocks its whole runtime, including timeouts and shutdown,
/// so that a timeout within that runtime would not fire.
fn run_with_watchdog(test: impl Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().expect("runtime");
        runtime.block_on(async { tokio::spawn(test).await.expect("test") });
        drop(runtime);
        let _ = sender.send(());
    });
    let completion = receiver.recv_timeout(Duration::from_secs(20));
    assert_ne!(completion, Err(std::sync::mpsc::RecvTimeoutError::Timeout), "a worker is blocked");
    thread.join().expect("the test succeeds");
}

/// Guards against a worker that loops forever, so that the host cannot stop, when a peer resets a
/// stream that the host has just ended.
#[test]
fn attacker_resets_the_stream_of_a_closing_host() {
    run_with_watchdog(async {
        let pki = Pki::new();
        let a = Host::start(pki.settings("host-a")).await;
        pki.issue("host-k", "attacker");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let folder = pki.folder.clone();
        let chain = vec![CertificateDer::from_pem_file(folder.join("attacker.pem")).expect("PEM")];
        let key = PrivateKeyDer::from_pem_file(folder.join("attacker.key")).expect("key");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .expect("certificate");
        tokio::spawn(async move {
            let (tcp, _) = listener.accept().await.expect("accept");
            let tls = TlsAcceptor::from(Arc::new(config)).accept(tcp).await.expect("TLS");
            let mut connection = h2::server::handshake(tls).await.expect("h2");
            while let Some(Ok((request, mut respond))) = connection.accept().await {
                let response = respond.send_response(http::Response::new(()), false);
                let (mut response, mut body) = (response.expect("response"), request.into_body());
                tokio::spawn(async move {
                    while let Some(Ok(_)) = body.data().await {}
                    response.send_reset(h2::Reason::INTERNAL_ERROR);
                });
            }
        });
        a.transport.send("host-k", address, frame(b"before"));
        let is_connected = || a.count(|it| matches!(it, PeerEvent::Connected { .. })) > 0;
        wait("the connection", is_connected).await;
        let closed = timeout(Duration::from_secs(5), a.transport.close()).await;
        assert!(closed.is_ok(), "the host does not stop");
    });
}

/// Guards against a worker that loops forever when a peer that was rejected because of its host
/// name violates HTTP/2 before its connection is closed.
#[test]
fn attacker_violates_http2_after_its_rejection() {
    run_with_watchdog(async {
        let hosts = AttackedPair::new().await;
        hosts.pki.issue("host-l", "attacker");
        let mut stream = connect_tls(&hosts.pki, hosts.b.address()).await;
        let http2_frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
            let size = u8::try_from(payload.len()).expect("short");
            [&[0, 0, size, kind, flags, 0, 0, 0, stream], payload].concat()
        };
        // HPACK without Huffman coding: the indexed fields POST and https, then literal fields.
        let mut headers = b"\x83\x87\x04\x07/frames\x01\x04peer".to_vec();
        headers.extend_from_slice(b"\x00\x10kingcupford-host\x06host-a");
        let (settings, request) = (http2_frame(4, 0, 0, &[]), http2_frame(1, 4, 1, &headers));
        let preface = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", &settings[..], &request].concat();
        stream.write_all(&preface).await.expect("write");
        let mut is_rejected = false;
        while !is_rejected {
            let mut head = [0; 9];
            stream.read_exact(&mut head).await.expect("read");
            let size = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let mut payload = vec![0; size as usize];
            stream.read_exact(&mut payload).await.expect("read");
            is_rejected = head[3] == 1;
        }
        // DATA on stream 0 is a connection error.
        stream.write_all(&http2_frame(0, 0, 0, b"data")).await.expect("write");
        let closed = timeout(Duration::from_secs(5), stream.read_to_end(&mut Vec::new())).await;
        assert!(closed.is_ok(), "the attacker's connection stays open");
        hosts.assert_unaffected(1, "certificate is not valid for host `host-a`").await;
    });
}
