//! Tests of planned stops.

use std::{
    io::{ErrorKind, Write as _},
    net::{SocketAddr, TcpStream as StdTcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use kingcupford_gateway::GatewaySettings;
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use reqwest::Client;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    sync::oneshot,
    task::LocalSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    harness::{Harness, MemoryStore, listen_addresses, run_process_until, settings, wait_for},
    upstream::{Behaviour, EndlessPart, Upstream, header},
};

/// Number of connections that callers keep open.
const KEPT_CONNECTIONS: usize = 200;

/// Time from the stop until no connections are accepted: three lookup TTLs and the margin.
const DRAIN_TIME: Duration = Duration::from_millis(3 * 200 + 600);

/// Settings of a process that drains for [`DRAIN_TIME`], and whose view does not become stale.
fn stop_settings() -> GatewaySettings {
    let mut settings = settings("own", "z1", listen_addresses());
    settings.steering.max_revocation_delay = None;
    GatewaySettings {
        lookup_ttl: Duration::from_millis(200),
        shutdown_grace: Duration::from_secs(4),
        max_caller_connections: 1000,
        ..settings
    }
}

/// A process in the test's own `LocalSet`, and the sender that stops it.
async fn spawn_stoppable(upstream: &Upstream) -> (Harness, oneshot::Sender<()>) {
    let settings = stop_settings();
    let store = Arc::new(MemoryStore::default());
    let client = Client::builder().no_proxy().build().unwrap();
    let harness = Harness { store: Arc::clone(&store), listen: settings.listen, client };
    let (stop, stopped) = oneshot::channel::<()>();
    tokio::task::spawn_local(run_process_until(settings, store, async move {
        let _ = stopped.await;
    }));
    harness.store.put("config/main", "1 good");
    harness.register(upstream);
    harness.wait_until_ready().await;
    harness.wait_for_status("/read/1", 200).await;
    (harness, stop)
}

/// A process on a thread of its own, and the sender that stops it. Its sockets are closed at the end
/// of the runtime, as they are at the end of a process.
async fn spawn_thread(
    settings: GatewaySettings,
    upstream: &Upstream,
) -> (oneshot::Sender<()>, JoinHandle<()>) {
    let address = settings.listen.callers;
    let store = Arc::new(MemoryStore::default());
    store.put("config/main", "1 good");
    store.put("servers/i1", &format!("{} ready", upstream.address));
    let (stop, stopped) = oneshot::channel::<()>();
    let process = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(
            &runtime,
            run_process_until(settings, store, async move {
                let _ = stopped.await;
            }),
        );
    });
    wait_for(async || {
        let Ok(mut stream) = TcpStream::connect(address).await else { return false };
        let _ = stream.write_all(request_text("probe").as_bytes()).await;
        read_response(&mut stream).await.is_some_and(|it| it.contains(" 200 "))
    })
    .await;
    (stop, process)
}

fn request_text(id: &str) -> String {
    format!("POST /order/1 HTTP/1.1\r\nhost: host.example\r\nx-id: {id}\r\nx-key: good\r\n\r\n")
}

/// Opens a connection without waiting until the process accepts it.
fn connect_blocking(address: SocketAddr) -> StdTcpStream {
    let stream = StdTcpStream::connect(address).unwrap();
    stream.set_nonblocking(true).unwrap();
    stream
}

/// Reads until a complete head has arrived; `None` if the connection ends before.
async fn read_status(stream: StdTcpStream) -> Option<u16> {
    let mut stream = TcpStream::from_std(stream).unwrap();
    let head = read_response(&mut stream).await?;
    head.split(' ').nth(1)?.parse().ok()
}

/// Reads a response with its body; returns the head, or `None` if the connection ends before.
async fn read_response(stream: &mut TcpStream) -> Option<String> {
    let mut buffer = Vec::new();
    loop {
        if let Some(end) = buffer.windows(4).position(|it| it == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end + 4]).into_owned();
            let length = header(&head, "content-length").and_then(|it| it.parse().ok());
            if buffer.len() - (end + 4) >= length.unwrap_or(0) {
                return Some(head);
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => buffer.extend_from_slice(&chunk[..read]),
        }
    }
}

/// Guards against connections in the accept queue that are reset when the process stops accepting.
#[tokio::test]
async fn shut_down_accept_queue() {
    LocalSet::new()
        .run_until(async {
            let upstream = Upstream::start("i1", Behaviour::Echo).await;
            let (harness, stop) = spawn_stoppable(&upstream).await;
            let stopped_at = Instant::now();
            stop.send(()).unwrap();
            sleep_until(stopped_at + DRAIN_TIME - Duration::from_millis(100)).await;
            // The process shares this thread, so none of these is accepted before it stops.
            let connections: Vec<StdTcpStream> = (0..KEPT_CONNECTIONS)
                .map(|at| {
                    let mut stream = connect_blocking(harness.listen.callers);
                    stream.write_all(request_text(&format!("id-{at}")).as_bytes()).unwrap();
                    stream
                })
                .collect();
            std::thread::sleep(Duration::from_millis(150));
            let mut cut = 0;
            for it in connections {
                cut += usize::from(read_status(it).await.is_none());
            }
            assert_eq!(cut, 0, "of {KEPT_CONNECTIONS}");
        })
        .await;
}

/// Guards against requests on kept connections that the process has received but not yet read when
/// it closes idle connections.
#[tokio::test]
async fn shut_down_unread_requests() {
    LocalSet::new()
        .run_until(async {
            let upstream = Upstream::start("i1", Behaviour::Echo).await;
            let (harness, stop) = spawn_stoppable(&upstream).await;
            let mut idle = Vec::new();
            for at in 0..KEPT_CONNECTIONS {
                let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
                stream.write_all(request_text(&format!("first-{at}")).as_bytes()).await.unwrap();
                assert!(read_response(&mut stream).await.unwrap().contains(" 200 "));
                idle.push(stream.into_std().unwrap());
            }
            let stopped_at = Instant::now();
            stop.send(()).unwrap();
            let drained_at = stopped_at + DRAIN_TIME;
            // After the pause this task and the end of the drain time are due in one turn of the
            // event loop, in this order.
            tokio::task::spawn_local(async move {
                sleep_until(drained_at - Duration::from_millis(20)).await;
                std::thread::sleep(Duration::from_millis(40));
            });
            sleep_until(drained_at - Duration::from_millis(10)).await;
            for (at, it) in idle.iter_mut().enumerate() {
                it.write_all(request_text(&format!("id-{at}")).as_bytes()).unwrap();
            }
            let mut cut = 0;
            for it in idle {
                cut += usize::from(read_status(it).await.is_none());
            }
            assert_eq!(cut, 0, "of {KEPT_CONNECTIONS}");
        })
        .await;
}

/// Time for which a process that closes its connections waits for the rest of a head.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// A request that is sent in two parts around the time at which a process closes its connections.
struct SplitRequest {
    /// `None` until the caller connects.
    stream: Option<StdTcpStream>,
    /// Parts that are still to be sent, and their times from the stop; the next one is the last.
    parts: Vec<(Duration, Vec<u8>)>,
    /// Time at which the last part was sent, or the connection was opened for the request.
    sent_at: Option<Instant>,
    end: RequestEnd,
}

/// How a request ended before its caller waited for the response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    /// All parts were sent.
    Sent,
    /// The process did not accept connections any more, had closed the idle connection, or got the
    /// rest too late.
    NotAccepted,
    /// The connection was closed although a part of the request had been sent in time.
    Cut,
}

impl SplitRequest {
    /// Draws a request. Every second one uses `kept`, if there is one.
    fn draw(at: usize, kept: Option<StdTcpStream>, rng: &mut SmallRng) -> Self {
        let text = request_text(&format!("split-{at}"));
        let bytes = text.replace("\r\n\r\n", "\r\ncontent-length: 40\r\n\r\n") + &"b".repeat(40);
        let first = DRAIN_TIME - Duration::from_millis(350) + random_ms(rng, 550);
        let second = first + random_ms(rng, 400);
        // An empty first part only opens the connection.
        let split_at = match at % 4 {
            0 => bytes.len(),
            1 => rng.random_range(1..bytes.len() - 40),
            2 => bytes.len() - rng.random_range(1..=40),
            _ => 0,
        };
        let (start, rest) = bytes.as_bytes().split_at(split_at);
        let mut parts = vec![(second, rest.to_vec()), (first, start.to_vec())];
        let opens = |time| kept.is_none() && time == first;
        parts.retain(|it| !it.1.is_empty() || opens(it.0));
        Self { stream: kept, parts, sent_at: None, end: RequestEnd::Sent }
    }

    /// Sends the next part, unless the connection has ended.
    fn send_next(&mut self, address: SocketAddr) {
        let Some((_, bytes)) = self.parts.pop() else { return };
        if self.end != RequestEnd::Sent {
            return;
        }
        if self.stream.is_none() {
            match StdTcpStream::connect(address) {
                Ok(it) => it.set_nonblocking(true).map(|()| self.stream = Some(it)).unwrap(),
                Err(error) => {
                    assert_eq!(error.kind(), ErrorKind::ConnectionRefused);
                    self.end = RequestEnd::NotAccepted;
                    return;
                }
            }
        }
        let stream = self.stream.as_mut().unwrap();
        match stream.peek(&mut [0]) {
            // The request is refused before its body has arrived.
            Ok(1..) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            _ => {
                let is_cut = self.sent_at.is_some_and(|it| it.elapsed() < RECEIVE_TIMEOUT);
                self.end = if is_cut { RequestEnd::Cut } else { RequestEnd::NotAccepted };
                return;
            }
        }
        stream.write_all(&bytes).unwrap();
        self.sent_at = Some(Instant::now());
    }
}

fn random_ms(rng: &mut SmallRng, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(0..=max))
}

/// Guards against a planned stop that cuts requests which arrive in parts, or cross the closing of
/// their connection. The process shares the test's thread, so nothing arrives while it closes.
#[tokio::test]
async fn shut_down_split_requests() {
    let seeds = std::env::var("KINGCUPFORD_STOPS").ok().and_then(|it| it.parse().ok());
    for seed in 0..seeds.unwrap_or(3) {
        LocalSet::new().run_until(stop_with_split_requests(seed)).await;
    }
}

async fn stop_with_split_requests(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    let (harness, stop) = spawn_stoppable(&upstream).await;
    let address = harness.listen.callers;
    let mut requests = Vec::new();
    for at in 0..KEPT_CONNECTIONS {
        let mut kept = None;
        if at % 8 < 4 {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(request_text(&format!("first-{at}")).as_bytes()).await.unwrap();
            let head = read_response(&mut stream).await.unwrap();
            assert!(head.contains(" 200 "), "{at}: {head}");
            kept = Some(stream.into_std().unwrap());
        }
        requests.push(SplitRequest::draw(at, kept, &mut rng));
    }
    upstream.set_behaviour(Behaviour::Slow);
    let stopped_at = Instant::now();
    stop.send(()).unwrap();
    let next_part = |it: &SplitRequest| it.parts.last().map(|it| it.0);
    while let Some(due) = requests.iter().filter_map(next_part).min() {
        sleep_until(stopped_at + due).await;
        let next = requests.iter_mut().find(|it| next_part(it) == Some(due));
        next.unwrap().send_next(address);
    }
    let (mut answered, mut not_accepted, mut cut) = (0, 0, Vec::new());
    for (at, it) in requests.into_iter().enumerate() {
        match it.end {
            RequestEnd::NotAccepted => not_accepted += 1,
            RequestEnd::Cut => cut.push(at),
            RequestEnd::Sent => match read_status(it.stream.unwrap()).await {
                Some(200 | 408 | 503) => answered += 1,
                _ => cut.push(at),
            },
        }
    }
    println!("seed {seed}: {answered} answered, {not_accepted} not accepted, cut {cut:?}");
    assert!(cut.is_empty(), "seed {seed}: {cut:?} of {answered}");
    assert!(answered > KEPT_CONNECTIONS / 4, "seed {seed}: {answered}");
}

/// Outcomes of the requests that callers sent around a planned stop.
#[derive(Default)]
struct CallerCounts {
    /// Requests with a complete response.
    answered: AtomicU64,
    /// Ids of requests whose connection ended without a complete response.
    cut: Mutex<Vec<String>>,
}

/// Sends requests on kept connections until the process is gone.
async fn call_until_gone(address: SocketAddr, caller: usize, counts: Arc<CallerCounts>) {
    let mut next = 0;
    'connections: while let Ok(mut stream) = TcpStream::connect(address).await {
        loop {
            next += 1;
            let id = format!("id-{caller}-{next}");
            if stream.write_all(request_text(&id).as_bytes()).await.is_err() {
                continue 'connections;
            }
            let Some(head) = read_response(&mut stream).await else {
                counts.cut.lock().push(id);
                continue 'connections;
            };
            counts.answered.fetch_add(1, Ordering::SeqCst);
            if header(&head, "connection").is_some_and(|it| it == "close") {
                continue 'connections;
            }
            sleep(Duration::from_millis(5 + (caller as u64 * 7 + next) % 20)).await;
        }
    }
}

/// Guards against a planned stop that cuts requests while hundreds of connections are in use until
/// the process is gone. Every request that an instance got is answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_under_load() {
    let upstream = Upstream::start("i1", Behaviour::Slow).await;
    let settings = stop_settings();
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    let counts = Arc::new(CallerCounts::default());
    let callers: Vec<_> = (0..KEPT_CONNECTIONS)
        .map(|it| tokio::spawn(call_until_gone(address, it, Arc::clone(&counts))))
        .collect();
    sleep(Duration::from_secs(1)).await;
    let before = counts.answered.load(Ordering::SeqCst);
    assert!(before > 1000, "{before}");
    stop.send(()).unwrap();
    for it in callers {
        it.await.unwrap();
    }
    process.join().unwrap();
    let sent = upstream.requests();
    let cut = counts.cut.lock();
    let cut_at_instance = cut
        .iter()
        .filter(|id| sent.iter().any(|it| header(&it.head, "x-id").as_ref() == Some(*id)))
        .count();
    let answered = counts.answered.load(Ordering::SeqCst);
    println!("answered {before} before and {answered} in all, cut {}", cut.len());
    assert_eq!(cut_at_instance, 0, "{} cut of {answered}", cut.len());
    // A request that crosses the close of an idle connection cannot be answered.
    assert!(cut.len() <= 2, "{} cut of {answered}", cut.len());
}

/// Settings of a process that ends 1.7 s after the stop, half a second after its drain time.
fn short_grace_settings() -> GatewaySettings {
    GatewaySettings { shutdown_grace: Duration::from_millis(2000), ..stop_settings() }
}

/// Sends one order on a connection of its own, with a body of chunks if `is_chunked`.
async fn send_order(address: SocketAddr, id: &str, is_chunked: bool) -> Option<String> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let text = request_text(id);
    let chunked = text.replace("\r\n\r\n", "\r\ntransfer-encoding: chunked\r\n\r\n");
    let text = if is_chunked { chunked + "4\r\nbody\r\n0\r\n\r\n" } else { text };
    stream.write_all(text.as_bytes()).await.ok()?;
    read_response(&mut stream).await
}

/// Guards against requests that are taken late in a planned stop, run at an instance, and are cut by
/// the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_request_longer_than_grace() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    let settings = short_grace_settings();
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    upstream.set_behaviour(Behaviour::Takes(Duration::from_millis(780)));
    let stopped_at = Instant::now();
    stop.send(()).unwrap();
    let mut running = Vec::new();
    // At most as many as the instance has slots; the route's timeout is 0.8 s.
    for (at, after_ms) in [900, 940, 980, 1020, 1060, 1100, 1140].into_iter().enumerate() {
        sleep_until(stopped_at + Duration::from_millis(after_ms)).await;
        let id = format!("late-{at}");
        running.push(tokio::spawn(async move { send_order(address, &id, at % 2 == 0).await }));
    }
    let mut heads = Vec::new();
    for it in running {
        heads.push(it.await.unwrap());
    }
    process.join().unwrap();
    let requests = upstream.requests();
    for (at, head) in heads.iter().enumerate() {
        let id = format!("late-{at}");
        let ran = requests.iter().any(|it| header(&it.head, "x-id").as_ref() == Some(&id));
        let Some(head) = head else {
            assert!(!ran, "{id} was cut");
            continue;
        };
        // A response of the instance has its seal.
        let is_own = header(head, "x-seal").is_none();
        assert_eq!(is_own && head.contains(" 503 "), !ran, "{id}: {head}");
        assert!(!is_own || !ran, "{id}: {head}");
    }
    assert!(requests.iter().any(|it| it.head.contains("x-id: late-")), "all were refused");
}

/// Guards against a planned stop that refuses requests which end before the process does, though
/// their deadline does not.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_request_within_grace() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    let settings = short_grace_settings();
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    upstream.set_behaviour(Behaviour::Slow);
    let stopped_at = Instant::now();
    stop.send(()).unwrap();
    let mut heads = Vec::new();
    for (at, after_ms) in [100, 500, 900].into_iter().enumerate() {
        sleep_until(stopped_at + Duration::from_millis(after_ms)).await;
        heads.push(send_order(address, &format!("id-{at}"), false).await.unwrap_or_default());
    }
    assert!(heads.iter().all(|it| it.contains(" 200 ")), "{heads:?}");
    process.join().unwrap();
}

/// Guards against a request that is taken before a planned stop, whose body arrives after it, and
/// which is then passed on and cut by the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_body_after_stop() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    let settings =
        GatewaySettings { shutdown_grace: Duration::from_millis(700), ..stop_settings() };
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    let before = upstream.requests().len();
    upstream.set_behaviour(Behaviour::Takes(Duration::from_millis(600)));
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = request_text("id-1").replace("\r\n\r\n", "\r\ncontent-length: 4\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    stop.send(()).unwrap();
    sleep(Duration::from_millis(50)).await;
    stream.write_all(b"body").await.unwrap();
    let head = read_response(&mut stream).await;
    process.join().unwrap();
    assert!(head.is_some_and(|it| it.contains(" 503 ")), "the request was cut");
    assert_eq!(upstream.requests().len(), before);
}

/// Guards against a response that is cut by the end of the process and looks complete to a caller
/// that knows no chunks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_cuts_response_http_1_0() {
    let upstream = Upstream::start("i1", Behaviour::Endless(EndlessPart::Body)).await;
    let settings =
        GatewaySettings { shutdown_grace: Duration::from_millis(700), ..stop_settings() };
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = request_text("id-1").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut received = vec![0; 65_536];
    let read = stream.read(&mut received).await.unwrap();
    let head = String::from_utf8_lossy(&received[..read.min(12)]).into_owned();
    assert!(head.ends_with(" 200"), "{head}");
    // The process ends half a second later, before the route's timeout.
    stop.send(()).unwrap();
    let end = loop {
        match stream.read(&mut received).await {
            Ok(1..) => {}
            end => break end,
        }
    };
    assert!(end.is_err(), "an orderly end");
    process.join().unwrap();
}

/// Guards against callers that send a part of a head, and hold up the end of the process.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shut_down_incomplete_head() {
    let upstream = Upstream::start("i1", Behaviour::Echo).await;
    let settings = stop_settings();
    let address = settings.listen.callers;
    let (stop, process) = spawn_thread(settings, &upstream).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(b"GET /read/1 HTTP/1.1\r\nhost").await.unwrap();
    let stopped_at = Instant::now();
    stop.send(()).unwrap();
    let gone = tokio::task::spawn_blocking(move || process.join());
    gone.await.unwrap().unwrap();
    let took = stopped_at.elapsed();
    assert!(took < DRAIN_TIME + Duration::from_millis(1300), "{took:?}");
}

/// Guards against a refusal that is lost in a planned stop because the connection is closed while
/// the caller still sends the body.
#[tokio::test]
async fn shut_down_refused_upload() {
    LocalSet::new()
        .run_until(async {
            let upstream = Upstream::start("i1", Behaviour::Echo).await;
            let (harness, stop) = spawn_stoppable(&upstream).await;
            stop.send(()).unwrap();
            sleep(Duration::from_millis(50)).await;
            let mut stream = TcpStream::connect(harness.listen.callers).await.unwrap();
            let head =
                request_text("id-1").replace("good\r\n", "bad\r\ncontent-length: 400000\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            for _ in 0..8 {
                stream.write_all(&[7; 50_000]).await.unwrap();
                sleep(Duration::from_millis(20)).await;
            }
            let head = read_response(&mut stream).await;
            assert!(head.is_some_and(|it| it.contains(" 401 ")));
        })
        .await;
}
