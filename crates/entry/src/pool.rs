//! Pool of connections to upstreams.

use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout},
};

/// Timeout for opening a connection; upstreams usually accept within about 1 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Interval between two searches for expired connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Size of the read buffer, into which the head of a response must fit.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Time for which a connection may still be occupied after the response was read; its task only has
/// to be scheduled.
const READY_TIMEOUT: Duration = Duration::from_millis(50);

/// Body of a request to an upstream.
pub(crate) type AttemptBody = UnsyncBoxBody<Bytes, io::Error>;

/// Idle connections by upstream.
pub(crate) struct Pool {
    state: Mutex<PoolState>,
}

struct PoolState {
    /// Connections of each upstream, the most recently used last.
    idle: HashMap<SocketAddr, Vec<IdleConnection>>,
    swept_at: Instant,
}

struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
}

/// Connection to an upstream. Dropping it resets it, so that the upstream cancels its work.
pub(crate) struct Connection {
    pub(crate) address: SocketAddr,
    pub(crate) sender: SendRequest<AttemptBody>,
    /// Task that drives the connection.
    task: AbortHandle,
}

impl Connection {
    /// Handle that resets the connection.
    pub(crate) fn reset_handle(&self) -> AbortHandle {
        self.task.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    pub(crate) fn new() -> Self {
        let state = PoolState { idle: HashMap::new(), swept_at: Instant::now() };
        Self { state: Mutex::new(state) }
    }

    /// Takes the most recently used connection to an upstream that can still be used.
    pub(crate) async fn take(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let mut idle = self.state.lock().idle.get_mut(&address)?.pop()?;
            let is_ready = idle.idle_since.elapsed() < IDLE_TIMEOUT
                && timeout(READY_TIMEOUT, idle.connection.sender.ready())
                    .await
                    .is_ok_and(|it| it.is_ok());
            if is_ready {
                return Some(idle.connection);
            }
        }
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put(&self, connection: Connection) {
        let now = Instant::now();
        let mut state = self.state.lock();
        if now.saturating_duration_since(state.swept_at) >= SWEEP_INTERVAL {
            state.swept_at = now;
            state.idle.retain(|_, connections| {
                connections.retain(|it| {
                    now.saturating_duration_since(it.idle_since) < IDLE_TIMEOUT
                        && !it.connection.sender.is_closed()
                });
                !connections.is_empty()
            });
        }
        let connections = state.idle.entry(connection.address).or_default();
        if connections.len() >= MAX_IDLE_CONNECTIONS {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, idle_since: now });
    }
}

/// Opens a connection to an upstream.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    // A graceful close would be queued behind bytes that the upstream has not read yet.
    SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::spawn(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to the upstream at {address} ended: {error}");
        }
    });
    Ok(Connection { address, sender, task: task.abort_handle() })
}
