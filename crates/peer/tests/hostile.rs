//! Hostile peers: each loses its connection and harms nothing else.

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

/// Log lines of the transport.
static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps log lines for the tests.
struct Recorder;

impl log::Log for Recorder {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        if record.target() == "kingcupford::peer" {
            LINES.lock().push(format!("{} {}", record.level(), record.args()));
        }
    }

    fn flush(&self) {}
}

/// Two honest hosts, of which the second is attacked.
struct Scene {
    pki: Pki,
    a: Host,
    b: Host,
}

impl Scene {
    async fn new() -> Self {
        static RECORDER: Recorder = Recorder;
        if log::set_logger(&RECORDER).is_ok() {
            log::set_max_level(log::LevelFilter::Info);
        }
        let pki = Pki::new();
        let a = Host::start(pki.settings("host-a")).await;
        let b = Host::start(pki.settings("host-b")).await;
        a.transport.send("host-b", b.address(), frame(b"before"));
        b.wait_frames("host-a", 1).await;
        Self { pki, a, b }
    }

    /// Checks that the honest connection still works and was never interrupted, and that the
    /// attack left a log line that names its reason.
    async fn finish(self, rejected: u64, reason: &str) {
        let counters = self.b.transport.counters();
        wait("the rejection", || counters.inbound_rejections.load(Ordering::Relaxed) >= rejected)
            .await;
        wait(reason, || LINES.lock().iter().any(|it| it.contains(reason))).await;
        self.a.transport.send("host-b", self.b.address(), frame(b"after"));
        self.b.wait_frames("host-a", 2).await;
        assert_eq!(self.a.count(|it| matches!(it, PeerEvent::ConnectionLost { .. })), 0);
        assert_eq!(self.a.count(|it| matches!(it, PeerEvent::Connected { .. })), 1);
    }

    /// A client with a certificate of a host, which is hostile above TLS.
    async fn attacker(&self, certificate_of: &str, announces: &str) -> Attacker {
        self.pki.issue(certificate_of, "attacker");
        connect(&self.pki, self.b.address(), announces).await
    }
}

/// A raw HTTP/2 stream.
struct Attacker {
    stream: h2::SendStream<Bytes>,
    response: h2::client::ResponseFuture,
    connection: tokio::task::JoinHandle<Result<(), h2::Error>>,
}

async fn tls(pki: &Pki, address: SocketAddr) -> tokio_rustls::client::TlsStream<TcpStream> {
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

async fn connect(pki: &Pki, address: SocketAddr, announces: &str) -> Attacker {
    let (sender, connection) = h2::client::handshake(tls(pki, address).await).await.expect("h2");
    let connection = tokio::spawn(connection);
    let mut sender = sender.ready().await.expect("ready");
    let request = http::Request::post("https://peer/frames")
        .header("kingcupford-host", announces)
        .body(())
        .expect("request");
    let (response, stream) = sender.send_request(request, false).expect("stream");
    Attacker { stream, response, connection }
}

impl Attacker {
    /// Sends bytes and waits for the end of the connection.
    async fn send(mut self, bytes: &[u8], end: bool) {
        let _ = self.stream.send_data(Bytes::copy_from_slice(bytes), end);
        let ended = timeout(Duration::from_secs(5), self.connection).await;
        assert!(ended.is_ok(), "the connection of an attacker stays open");
    }
}

/// Guards against a length that makes the receiver reserve or read too much.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_announces_an_oversized_frame() {
    let scene = Scene::new().await;
    scene.attacker("host-c", "host-c").await.send(&u32::MAX.to_be_bytes(), false).await;
    scene.finish(1, "connection of `host-c` ended: frame of 4294967295 bytes is above").await;
}

/// Guards against bytes that do not decode.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_sends_garbage() {
    let scene = Scene::new().await;
    let mut garbage = vec![0, 0, 0, 9];
    garbage.extend_from_slice(&[0xff; 9]);
    scene.attacker("host-d", "host-d").await.send(&garbage, false).await;
    scene.finish(1, "connection of `host-d` ended: frame does not decode").await;
}

/// Guards against a cut frame that is taken as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_truncates_a_frame() {
    let scene = Scene::new().await;
    let mut buffer = BytesMut::new();
    Frame::new(5, vec![1; 100]).encode_to(&mut buffer).expect("encodes");
    scene.attacker("host-e", "host-e").await.send(&buffer[..60], true).await;
    assert!(scene.b.received("host-e").is_empty());
    scene.finish(1, "connection of `host-e` ended: stream ended inside a frame").await;
}

/// Guards against a host that speaks in another's name.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_claims_another_name() {
    let scene = Scene::new().await;
    let attacker = scene.attacker("host-f", "host-a").await;
    let response = timeout(Duration::from_secs(5), attacker.response).await.expect("an answer");
    assert_eq!(response.expect("an answer").status(), http::StatusCode::FORBIDDEN);
    scene.finish(1, "certificate is not for host `host-a`").await;
}

/// Guards against a peer whose certificate another CA has signed, in both directions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_has_a_certificate_of_another_ca() {
    let scene = Scene::new().await;
    let foreign = Pki::new();
    let attacker = Host::start(foreign.settings("host-a")).await;
    // The attacker trusts the honest CA, so that only the honest side can refuse.
    let mut settings = foreign.settings("host-a");
    settings.ca_file = scene.pki.folder.join("ca.pem");
    let sender = Host::start(settings).await;
    sender.transport.send("host-b", scene.b.address(), frame(b"forged"));
    wait("a refusal", || sender.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0)
        .await;
    scene.b.transport.send("host-a", attacker.address(), frame(b"secret"));
    wait("a refusal", || scene.b.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0)
        .await;
    assert!(attacker.received("host-b").is_empty());
    assert_eq!(scene.b.received("host-a"), [b"before"]);
    scene.finish(1, "TLS handshake").await;
}

/// Guards against a server that has taken over the address of another host.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_answers_at_the_address_of_another() {
    let scene = Scene::new().await;
    let other = Host::start(scene.pki.settings("host-g")).await;
    scene.b.transport.send("host-h", other.address(), frame(b"for host-h only"));
    wait("a refusal", || scene.b.count(|it| matches!(it, PeerEvent::ConnectFailed { .. })) > 0)
        .await;
    assert!(other.received("host-b").is_empty());
    scene.finish(0, "no connection to `host-h`").await;
}

/// Guards against connections without a handshake that are held open, and bytes that are no TLS.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn attacker_never_finishes_the_handshake() {
    let scene = Scene::new().await;
    let silent = TcpStream::connect(scene.b.address()).await.expect("connect");
    let mut noise = TcpStream::connect(scene.b.address()).await.expect("connect");
    noise.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("write");
    // TLS and nothing behind it.
    scene.pki.issue("host-i", "attacker");
    let idle = tls(&scene.pki, scene.b.address()).await;
    scene.finish(3, "no handshake within 1s").await;
    drop((silent, noise, idle));
}

/// Guards against one peer that takes all connections, and against more connections than the host
/// can hold.
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
        let ended = timeout(Duration::from_secs(5), connection).await;
        assert!(ended.is_ok(), "the oldest connections of a peer are closed");
    }
    // The others stay open until the limit on all connections refuses more.
    let mut idle = Vec::new();
    for _ in 0..10 {
        idle.push(TcpStream::connect(b.address()).await.expect("connect"));
    }
    let counters = b.transport.counters();
    wait("the limit", || counters.inbound_rejections.load(Ordering::Relaxed) >= 4).await;
    drop((idle, attackers));
    let a = Host::start(pki.settings("host-a")).await;
    a.transport.send("host-b", b.address(), frame(b"room again"));
    b.wait_frames("host-a", 1).await;
}

/// Runs a test on a runtime of its own and fails when it does not end: a worker that loops without
/// yielding blocks its whole runtime, and with it each time limit inside and the runtime's end.
fn run_guarded(test: impl Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(2).enable_all().build().expect("runtime");
        runtime.block_on(async { tokio::spawn(test).await.expect("test") });
        drop(runtime);
        let _ = sender.send(());
    });
    let ended = receiver.recv_timeout(Duration::from_secs(20));
    assert_ne!(ended, Err(std::sync::mpsc::RecvTimeoutError::Timeout), "a worker is blocked");
    thread.join().expect("the test succeeds");
}

/// Guards against a worker that loops for ever, and a host that cannot stop, when a peer resets the
/// stream that the host has just ended.
#[test]
fn attacker_resets_the_stream_of_a_closing_host() {
    run_guarded(async {
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
                let answer = respond.send_response(http::Response::new(()), false);
                let (mut answer, mut body) = (answer.expect("answer"), request.into_body());
                tokio::spawn(async move {
                    while let Some(Ok(_)) = body.data().await {}
                    answer.send_reset(h2::Reason::INTERNAL_ERROR);
                });
            }
        });
        a.transport.send("host-k", address, frame(b"before"));
        let connected = || a.count(|it| matches!(it, PeerEvent::Connected { .. })) > 0;
        wait("the connection", connected).await;
        let closed = timeout(Duration::from_secs(5), a.transport.close()).await;
        assert!(closed.is_ok(), "the host does not stop");
    });
}

/// Guards against a worker that loops for ever when a peer that was rejected for its name breaks
/// the protocol before the connection is closed.
#[test]
fn attacker_breaks_the_protocol_after_its_rejection() {
    run_guarded(async {
        let scene = Scene::new().await;
        scene.pki.issue("host-l", "attacker");
        let mut stream = tls(&scene.pki, scene.b.address()).await;
        let frame = |kind: u8, flags: u8, stream: u8, payload: &[u8]| {
            let size = u8::try_from(payload.len()).expect("short");
            [&[0, 0, size, kind, flags, 0, 0, 0, stream], payload].concat()
        };
        // POST, https and literal fields, as HPACK encodes them without Huffman coding.
        let mut headers = b"\x83\x87\x04\x07/frames\x01\x04peer".to_vec();
        headers.extend_from_slice(b"\x00\x10kingcupford-host\x06host-a");
        let (settings, request) = (frame(4, 0, 0, &[]), frame(1, 4, 1, &headers));
        let hello = [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", &settings[..], &request].concat();
        stream.write_all(&hello).await.expect("write");
        let mut rejected = false;
        while !rejected {
            let mut head = [0; 9];
            stream.read_exact(&mut head).await.expect("read");
            let size = u32::from_be_bytes([0, head[0], head[1], head[2]]);
            let mut payload = vec![0; size as usize];
            stream.read_exact(&mut payload).await.expect("read");
            rejected = head[3] == 1;
        }
        // DATA outside a stream is an error of the whole connection.
        stream.write_all(&frame(0, 0, 0, b"data")).await.expect("write");
        let ended = timeout(Duration::from_secs(5), stream.read_to_end(&mut Vec::new())).await;
        assert!(ended.is_ok(), "the connection of an attacker stays open");
        scene.finish(1, "certificate is not for host `host-a`").await;
    });
}
