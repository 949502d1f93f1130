//! Outbound connections, one to each peer.

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
    frame_queue::FrameQueue,
    tls::server_name,
    transport::{LOG_TARGET, PeerEvent, Shared},
};

/// Request header with the name of the sending host.
pub(crate) const HOST_HEADER: &str = "kingcupford-host";

/// Size at which a batch of frames is complete; the last frame may exceed it.
const BATCH_TARGET_BYTES: usize = 64 * 1024;

/// An established connection with its only stream.
struct Connection {
    /// Request body, which carries the frames.
    stream: SendStream<Bytes>,
    /// Empty response body, which ends when the peer has read all frames. Dropping it earlier
    /// resets the stream and discards the frames that the peer has not read.
    response_body: RecvStream,
    /// Task that drives the connection.
    driver: JoinHandle<Result<(), h2::Error>>,
    /// Keep-alive pings.
    ping_pong: PingPong,
    /// Generation of the TLS configuration that the connection was opened with.
    tls_generation: u64,
}

/// Why a connection was closed without an error.
enum CloseReason {
    TransportClosing,
    /// Nothing was sent within the idle timeout.
    Idle,
    /// The certificates or the peer's address changed, so that a new connection is needed.
    Outdated,
}

/// Sends the queued frames of a peer, and reconnects as needed, until the transport closes or the
/// queue stays empty for the idle timeout.
pub(crate) async fn run(shared: Arc<Shared>, peer: String, queue: Arc<FrameQueue>) {
    let seed =
        shared.settings.jitter_seed ^ peer.bytes().fold(0, |sum, it| sum * 31 + u64::from(it));
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut consecutive_failures = 0_u32;
    loop {
        if queue.is_empty() && shared.closing.is_cancelled() {
            return;
        }
        let connected = connect(&shared, &peer, &queue).await;
        let failure_event = match connected {
            Ok(connection) => {
                consecutive_failures = 0;
                add(&shared.counters.connections_established, 1);
                (shared.on_event)(PeerEvent::Connected { peer: peer.clone() });
                match send_frames(&shared, &queue, connection).await {
                    Ok(CloseReason::TransportClosing) => return,
                    Ok(CloseReason::Idle) if remove_idle_queue(&shared, &peer, &queue) => return,
                    Ok(_) => continue,
                    Err(error) => {
                        add(&shared.counters.connections_lost, 1);
                        let reason = format!("{error:#}");
                        log::warn!(target: LOG_TARGET, "connection to `{peer}` lost: {reason}");
                        PeerEvent::ConnectionLost { peer: peer.clone(), reason }
                    }
                }
            }
            Err(error) => {
                add(&shared.counters.connect_failures, 1);
                let reason = format!("{error:#}");
                // Only the first of a series of failures is a warning; the counters show the
                // number.
                let level =
                    if consecutive_failures == 0 { log::Level::Warn } else { log::Level::Debug };
                log::log!(target: LOG_TARGET, level, "cannot connect to `{peer}`: {reason}");
                PeerEvent::ConnectFailed {
                    peer: peer.clone(),
                    reason,
                    is_connection_refused: is_connection_refused(&error),
                }
            }
        };
        (shared.on_event)(failure_event);
        let settings = &shared.settings;
        let backoff_ms =
            settings.reconnect_backoff_min_ms.saturating_mul(1 << consecutive_failures.min(16));
        let backoff_ms = backoff_ms.min(settings.reconnect_backoff_max_ms).max(2);
        consecutive_failures += 1;
        let delay = Duration::from_millis(rng.random_range(backoff_ms / 2..=backoff_ms));
        tokio::select! {
            () = shared.closing.cancelled() => return,
            () = sleep(delay) => {}
        }
        let idle_timeout = Duration::from_millis(settings.idle_timeout_ms);
        // Reconnects only for a queued frame; sending may have emptied the queue, also by dropping
        // expired frames.
        while queue.is_empty() {
            let is_notified = timeout(idle_timeout, queue.changed.notified()).await.is_ok();
            if !is_notified && remove_idle_queue(&shared, &peer, &queue) {
                return;
            }
        }
    }
}

/// Connects to a peer and opens the stream, within the handshake timeout.
async fn connect(
    shared: &Arc<Shared>,
    peer: &str,
    queue: &FrameQueue,
) -> anyhow::Result<Connection> {
    let handshake_timeout = Duration::from_millis(shared.settings.handshake_timeout_ms);
    timeout(handshake_timeout, connect_unbounded(shared, peer, queue))
        .await
        .with_context(|| format!("not connected within {handshake_timeout:?}"))?
}

/// Connects to a peer and opens the stream, without a time limit.
async fn connect_unbounded(
    shared: &Arc<Shared>,
    peer: &str,
    queue: &FrameQueue,
) -> anyhow::Result<Connection> {
    let tls = shared.tls.borrow().clone();
    let address = queue.address();
    let tcp = TcpStream::connect(address).await.with_context(|| format!("connect to {address}"))?;
    // Frames are small and urgent, so Nagle's algorithm is disabled.
    tcp.set_nodelay(true)?;
    let connector = TlsConnector::from(Arc::clone(&tls.client));
    let stream = connector.connect(server_name(peer)?, tcp).await.context("TLS handshake")?;
    let (sender, mut connection) = client::Builder::new()
        .enable_push(false)
        .max_concurrent_streams(1)
        .handshake::<_, Bytes>(stream)
        .await
        .context("HTTP/2 handshake")?;
    let ping_pong = connection.ping_pong().expect("first call on this connection");
    let driver = Driver(Some(tokio::spawn(connection)));
    let mut sender = sender.ready().await.context("HTTP/2 handshake")?;
    let request = Request::post("https://peer/frames")
        .header(HOST_HEADER, &shared.settings.host_name)
        .body(())
        .context("own host name is not a valid header value")?;
    let (response, stream) = sender.send_request(request, false).context("open the stream")?;
    let response = response.await.context("open the stream")?;
    ensure!(
        response.status() == StatusCode::OK,
        "peer responded with status {}",
        response.status()
    );
    let driver = driver.into_inner();
    let response_body = response.into_body();
    Ok(Connection { stream, response_body, driver, ping_pong, tls_generation: tls.generation })
}

/// Sends queued frames over a connection until it is closed, and returns why it was closed. Returns
/// an error if the connection breaks.
async fn send_frames(
    shared: &Arc<Shared>,
    queue: &FrameQueue,
    connection: Connection,
) -> anyhow::Result<CloseReason> {
    let Connection { mut stream, mut response_body, driver, mut ping_pong, tls_generation } =
        connection;
    let settings = &shared.settings;
    let stall_timeout = Duration::from_millis(settings.stall_timeout_ms);
    let (idle_timeout, max_frame_age) = (
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
            match timeout(stall_timeout, ping_pong.ping(Ping::opaque())).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return anyhow::Error::from(error).context("ping"),
                Err(_) => return anyhow::anyhow!("ping not acknowledged within {stall_timeout:?}"),
            }
        }
    };
    tokio::pin!(keepalive);
    let mut last_sent_at = Instant::now();
    let close_reason = loop {
        if queue.address() != address || tls.borrow_and_update().generation != tls_generation {
            break CloseReason::Outdated;
        }
        let batch = next_batch(shared, queue, max_frame_age);
        if !batch.is_empty() {
            last_sent_at = Instant::now();
            tokio::select! {
                result = send_bytes(&mut stream, batch, stall_timeout) => result?,
                cause = driver.wait_closed() => bail!("connection ended: {cause}"),
                error = &mut keepalive => return Err(error),
            }
            continue;
        }
        if shared.closing.is_cancelled() {
            break CloseReason::TransportClosing;
        }
        tokio::select! {
            () = queue.changed.notified() => {}
            () = shared.closing.cancelled() => {}
            _ = tls.changed() => {}
            () = tokio::time::sleep_until(last_sent_at + idle_timeout) => break CloseReason::Idle,
            reset = poll_fn(|cx| stream.poll_reset(cx)) => {
                bail!("stream reset by the peer: {}", reset.map_or_else(|it| it.to_string(), |it| it.to_string()));
            }
            cause = driver.wait_closed() => bail!("connection ended: {cause}"),
            error = &mut keepalive => return Err(error),
        }
    };
    stream.send_data(Bytes::new(), true).context("end the stream")?;
    // `data` on a reset stream returns its error at once on each call, so that a loop that
    // continued after an error would never yield.
    let response_end = async { while let Some(Ok(_)) = response_body.data().await {} };
    if timeout(Duration::from_millis(settings.close_timeout_ms), response_end).await.is_err() {
        log::info!(target: LOG_TARGET, "closing a connection whose peer has not read all frames");
    }
    Ok(close_reason)
}

/// Whether a connection attempt failed because nothing listens at the address. `ConnectionRefused`
/// comes only from the TCP connect; it does not occur on an established connection.
fn is_connection_refused(error: &anyhow::Error) -> bool {
    let mut causes = error.chain().filter_map(|it| it.downcast_ref::<io::Error>());
    causes.any(|it| it.kind() == io::ErrorKind::ConnectionRefused)
}

/// Encodes queued frames, in their order, into one batch, which is empty if there is none to
/// send.
fn next_batch(shared: &Shared, queue: &FrameQueue, max_frame_age: Duration) -> Bytes {
    let mut batch = BytesMut::new();
    while batch.len() < BATCH_TARGET_BYTES {
        let Some(frame) = queue.pop(max_frame_age, &shared.counters, Instant::now()) else { break };
        match frame.encode_to(&mut batch) {
            Ok(size_bytes) => shared.counters.record_sent(frame.kind, size_bytes),
            Err(error) => {
                log::error!(target: LOG_TARGET, "frame of kind {} dropped: {error}", frame.kind)
            }
        }
    }
    batch.freeze()
}

/// Sends bytes as flow control permits. Fails if the peer grants no capacity within the stall
/// timeout.
async fn send_bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
    stall_timeout: Duration,
) -> anyhow::Result<()> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        if stream.capacity() == 0 {
            let capacity = timeout(stall_timeout, poll_fn(|cx| stream.poll_capacity(cx))).await;
            let capacity = capacity.with_context(|| {
                format!("peer granted no flow-control capacity within {stall_timeout:?}")
            })?;
            capacity.context("stream is closed")??;
        }
        let chunk = bytes.split_to(stream.capacity().min(bytes.len()));
        if !chunk.is_empty() {
            stream.send_data(chunk, false)?;
        }
    }
    Ok(())
}

/// Removes the queue of an idle peer, whose task must then end. Returns false and keeps the queue
/// if a frame was queued in the meantime.
fn remove_idle_queue(shared: &Shared, peer: &str, queue: &Arc<FrameQueue>) -> bool {
    let mut queues = shared.queues.lock();
    if !queue.is_empty() {
        return false;
    }
    queues.retain(|it| it.0 != peer);
    true
}

/// Task that drives a connection. Dropping it aborts the task and thus the connection.
struct Driver(Option<JoinHandle<Result<(), h2::Error>>>);

impl Driver {
    /// Waits for the end of the connection and returns its cause.
    async fn wait_closed(&mut self) -> String {
        let Some(handle) = &mut self.0 else { return "closed".to_owned() };
        let res = match handle.await {
            Ok(Ok(())) => "closed by the peer".to_owned(),
            Ok(Err(error)) => error.to_string(),
            Err(error) => error.to_string(),
        };
        self.0 = None;
        res
    }

    /// Returns the task without aborting the connection.
    fn into_inner(mut self) -> JoinHandle<Result<(), h2::Error>> {
        self.0.take().expect("only `wait_closed` removes the handle")
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        if let Some(it) = &self.0 {
            it.abort();
        }
    }
}
