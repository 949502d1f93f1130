//! The connection to one peer.

use std::{future::poll_fn, io, sync::Arc, time::Duration};

use anyhow::{Context as _, bail, ensure};
use bytes::{Bytes, BytesMut};
use h2::{Ping, PingPong, RecvStream, SendStream, client};
use http::{Request, StatusCode};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::{
    net::TcpStream,
    task::JoinHandle,
    time::{Instant, sleep, timeout},
};
use tokio_rustls::TlsConnector;

use crate::{
    counters::add,
    queue::Queue,
    tls::server_name,
    transport::{LOG, PeerEvent, Shared},
};

/// Header by which a host announces its name.
pub(crate) const HOST_HEADER: &str = "kingcupford-host";

/// Size up to which queued frames are sent together.
const BATCH_BYTES: usize = 64 * 1024;

/// An established connection with its one stream.
struct Connection {
    /// The stream that carries frames.
    stream: SendStream<Bytes>,
    /// The empty answer, which ends when the peer has read all frames; dropping it earlier resets
    /// the stream and discards what the peer has not read.
    answer: RecvStream,
    /// Runs the connection.
    driver: JoinHandle<Result<(), h2::Error>>,
    /// Shows whether the peer is still there.
    pings: PingPong,
    /// Generation of the certificates in use.
    generation: u64,
}

/// How a connection ended in order.
enum Ended {
    /// The transport closes.
    Closing,
    /// Nothing was sent for long.
    Idle,
    /// The certificates or the address changed.
    Replaced,
}

/// Sends the frames of a queue until the transport closes or the queue stays empty.
pub(crate) async fn run(shared: Arc<Shared>, peer: String, queue: Arc<Queue>) {
    let seed =
        shared.settings.jitter_seed ^ peer.bytes().fold(0, |sum, it| sum * 31 + u64::from(it));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut attempts = 0_u32;
    loop {
        if queue.is_empty() && shared.closing.is_cancelled() {
            return;
        }
        let connected = connect(&shared, &peer, &queue).await;
        let failure = match connected {
            Ok(connection) => {
                attempts = 0;
                add(&shared.counters.connections_established, 1);
                (shared.on_event)(PeerEvent::Connected { peer: peer.clone() });
                match serve(&shared, &queue, connection).await {
                    Ok(Ended::Closing) => return,
                    Ok(Ended::Idle) if remove_idle(&shared, &peer, &queue) => return,
                    Ok(_) => continue,
                    Err(error) => {
                        add(&shared.counters.connections_lost, 1);
                        let reason = format!("{error:#}");
                        log::warn!(target: LOG, "connection to `{peer}` failed: {reason}");
                        PeerEvent::ConnectionLost { peer: peer.clone(), reason }
                    }
                }
            }
            Err(error) => {
                add(&shared.counters.connect_failures, 1);
                let reason = format!("{error:#}");
                // One line for a series of attempts; the counter tells how many there are.
                let level = if attempts == 0 { log::Level::Warn } else { log::Level::Debug };
                log::log!(target: LOG, level, "no connection to `{peer}`: {reason}");
                PeerEvent::ConnectFailed {
                    peer: peer.clone(),
                    reason,
                    is_connection_refused: is_connection_refused(&error),
                }
            }
        };
        (shared.on_event)(failure);
        let settings = &shared.settings;
        let wait_ms = settings.reconnect_backoff_min_ms.saturating_mul(1 << attempts.min(16));
        let wait_ms = wait_ms.min(settings.reconnect_backoff_max_ms).max(2);
        attempts += 1;
        let wait = Duration::from_millis(rng.random_range(wait_ms / 2..=wait_ms));
        tokio::select! {
            () = shared.closing.cancelled() => return,
            () = sleep(wait) => {}
        }
        let idle = Duration::from_millis(settings.idle_timeout_ms);
        // Frames too old to send are no reason to connect.
        while queue.is_empty() {
            let woken = timeout(idle, queue.changed.notified()).await.is_ok();
            if !woken && remove_idle(&shared, &peer, &queue) {
                return;
            }
        }
    }
}

/// Connects to a peer and opens the stream.
async fn connect(shared: &Arc<Shared>, peer: &str, queue: &Queue) -> anyhow::Result<Connection> {
    let time = Duration::from_millis(shared.settings.handshake_timeout_ms);
    timeout(time, open(shared, peer, queue))
        .await
        .with_context(|| format!("no answer within {time:?}"))?
}

/// Connects to a peer without a time limit.
async fn open(shared: &Arc<Shared>, peer: &str, queue: &Queue) -> anyhow::Result<Connection> {
    let tls = shared.tls.borrow().clone();
    let address = queue.address();
    let tcp = TcpStream::connect(address).await.with_context(|| format!("connect to {address}"))?;
    // Frames are small and urgent.
    tcp.set_nodelay(true)?;
    let connector = TlsConnector::from(Arc::clone(&tls.client));
    let stream = connector.connect(server_name(peer)?, tcp).await.context("TLS handshake")?;
    let (sender, mut connection) = client::Builder::new()
        .enable_push(false)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(stream)
        .await
        .context("HTTP/2 handshake")?;
    let pings = connection.ping_pong().expect("taken once");
    let driver = Driver(Some(tokio::spawn(connection)));
    let mut sender = sender.ready().await.context("HTTP/2 handshake")?;
    let request = Request::post("https://peer/frames")
        .header(HOST_HEADER, &shared.settings.host_name)
        .body(())
        .context("own host name is not a header value")?;
    let (response, stream) = sender.send_request(request, false).context("open the stream")?;
    let response = response.await.context("open the stream")?;
    ensure!(response.status() == StatusCode::OK, "peer answered {}", response.status());
    let driver = driver.into_inner();
    let answer = response.into_body();
    Ok(Connection { stream, answer, driver, pings, generation: tls.generation })
}

/// Sends frames over a connection until it ends.
async fn serve(
    shared: &Arc<Shared>,
    queue: &Queue,
    connection: Connection,
) -> anyhow::Result<Ended> {
    let Connection { mut stream, mut answer, driver, mut pings, generation } = connection;
    let settings = &shared.settings;
    let stall = Duration::from_millis(settings.stall_timeout_ms);
    let (idle, age) = (
        Duration::from_millis(settings.idle_timeout_ms),
        Duration::from_millis(settings.max_frame_age_ms),
    );
    let address = queue.address();
    let mut tls = shared.tls.subscribe();
    let mut driver = Driver(Some(driver));
    let ping_interval = Duration::from_millis(settings.ping_interval_ms);
    let keepalive = async {
        loop {
            sleep(ping_interval).await;
            match timeout(stall, pings.ping(Ping::opaque())).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return anyhow::Error::from(error).context("ping"),
                Err(_) => return anyhow::anyhow!("peer answered no ping within {stall:?}"),
            }
        }
    };
    tokio::pin!(keepalive);
    let mut sent_at = Instant::now();
    let ended = loop {
        if queue.address() != address || tls.borrow_and_update().generation != generation {
            break Ended::Replaced;
        }
        let batch = next_batch(shared, queue, age);
        if !batch.is_empty() {
            sent_at = Instant::now();
            tokio::select! {
                sent = send(&mut stream, batch, stall) => sent?,
                ended = driver.ended() => bail!("connection ended: {ended}"),
                error = &mut keepalive => return Err(error),
            }
            continue;
        }
        if shared.closing.is_cancelled() {
            break Ended::Closing;
        }
        tokio::select! {
            () = queue.changed.notified() => {}
            () = shared.closing.cancelled() => {}
            _ = tls.changed() => {}
            () = tokio::time::sleep_until(sent_at + idle) => break Ended::Idle,
            reset = poll_fn(|cx| stream.poll_reset(cx)) => {
                bail!("stream reset by the peer: {}", reset.map_or_else(|it| it.to_string(), |it| it.to_string()));
            }
            ended = driver.ended() => bail!("connection ended: {ended}"),
            error = &mut keepalive => return Err(error),
        }
    };
    stream.send_data(Bytes::new(), true).context("end the stream")?;
    // A reset stream reports its error at each call without ever being pending, so only data
    // continues the loop.
    let read = async { while let Some(Ok(_)) = answer.data().await {} };
    if timeout(Duration::from_millis(settings.close_timeout_ms), read).await.is_err() {
        log::info!(target: LOG, "a peer has not read all frames before its connection is closed");
    }
    Ok(ended)
}

/// Whether a connection attempt failed because nothing listens at the address. Only `open` connects
/// by TCP, and on an established connection this kind does not occur.
fn is_connection_refused(error: &anyhow::Error) -> bool {
    let mut causes = error.chain().filter_map(|it| it.downcast_ref::<io::Error>());
    causes.any(|it| it.kind() == io::ErrorKind::ConnectionRefused)
}

/// Encodes queued frames up to the size of a batch.
fn next_batch(shared: &Shared, queue: &Queue, age: Duration) -> Bytes {
    let mut batch = BytesMut::new();
    while batch.len() < BATCH_BYTES {
        let Some(frame) = queue.pop(age, &shared.counters, Instant::now()) else { break };
        match frame.encode_to(&mut batch) {
            Ok(size_bytes) => shared.counters.count_out(frame.kind, size_bytes),
            Err(error) => {
                log::error!(target: LOG, "frame of kind {} not sent: {error}", frame.kind)
            }
        }
    }
    batch.freeze()
}

/// Sends bytes as flow control allows.
async fn send(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    stall: Duration,
) -> anyhow::Result<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        if stream.capacity() == 0 {
            let capacity = timeout(stall, poll_fn(|cx| stream.poll_capacity(cx))).await;
            let capacity =
                capacity.with_context(|| format!("peer took no bytes within {stall:?}"))?;
            capacity.context("stream is closed")??;
        }
        let part = bytes.split_to(stream.capacity().min(bytes.len()));
        if !part.is_empty() {
            stream.send_data(part, false)?;
        }
    }
    Ok(())
}

/// Ends the task of a peer to which nothing is sent; false when a frame arrived meanwhile.
fn remove_idle(shared: &Shared, peer: &str, queue: &Arc<Queue>) -> bool {
    let mut queues = shared.queues.lock();
    if !queue.is_empty() {
        return false;
    }
    queues.retain(|it| it.0 != peer);
    true
}

/// The task that runs a connection; dropping it cuts the connection.
struct Driver(Option<JoinHandle<Result<(), h2::Error>>>);

impl Driver {
    /// Waits for the end and describes it.
    async fn ended(&mut self) -> String {
        let Some(handle) = &mut self.0 else { return "closed".to_owned() };
        let res = match handle.await {
            Ok(Ok(())) => "closed by the peer".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        self.0 = None;
        res
    }

    /// Hands the task over without cutting the connection.
    fn into_inner(mut self) -> JoinHandle<Result<(), h2::Error>> {
        self.0.take().expect("only `ended` takes the handle earlier")
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if let Some(it) = &self.0 {
            it.abort();
        }
    }
}
