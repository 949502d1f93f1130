//! Pool of connections to instances.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, time::Duration};

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use kingcupford_steer::InstanceKey;
use socket2::SockRef;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout},
};

use crate::request_body::AttemptBody;

/// Timeout for opening a connection: more than two round trips between the deployments' regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time for which sent bytes may stay unacknowledged: several retransmissions on a lossy
/// link.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(1200);

/// Idle timeout of a connection whose instance announces none; common servers keep idle connections
/// for 5 s or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum time for which an idle connection is kept, whatever the instance announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Time before the end of the instance's idle timeout at which a connection is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);

/// Maximum number of idle connections to one instance: a few concurrent requests of one host.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Fraction of an instance's connection limit that all hosts together may keep idle. The rest is
/// for connections in use, and an instance with a long queue accepts fewer connections.
const MAX_IDLE_FRACTION: f64 = 0.25;

/// Size of the HTTP library's read buffer for one connection.
const READ_BUFFER_BYTES: usize = 32 * 1024;

/// Maximum number of idle connections that each of `hosts` hosts keeps to an instance.
pub(crate) fn max_idle_connections(max_connections: u32, hosts: usize) -> usize {
    let share = f64::from(max_connections) * MAX_IDLE_FRACTION / hosts.max(1) as f64;
    (share as usize).clamp(1, MAX_IDLE_CONNECTIONS)
}

/// Idle connections by instance.
#[derive(Default)]
pub(crate) struct Pool {
    /// Connections of each instance, the most recently used last.
    idle: RefCell<HashMap<InstanceKey, Vec<IdleConnection>>>,
}

struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
}

/// A connection to an instance. Dropping it resets it, so that the instance cancels its work.
pub(crate) struct Connection {
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
    /// Takes the most recently used connection to an instance that can still be used.
    pub(crate) fn take(&self, key: InstanceKey, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(it) = connections.pop() {
            if now < it.usable_until && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete exchange. It is kept for the instance's
    /// idle timeout; if `max_idle_connections` are idle already, the oldest one is closed.
    pub(crate) fn put(
        &self,
        key: InstanceKey,
        connection: Connection,
        idle_timeout: Option<Duration>,
        max_idle_connections: usize,
    ) {
        let now = Instant::now();
        let idle_timeout = idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).min(MAX_IDLE_TIMEOUT);
        let retention = idle_timeout.saturating_sub(IDLE_TIMEOUT_MARGIN);
        if connection.sender.is_closed() || retention.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() >= max_idle_connections {
            connections.remove(0);
        }
        connections.push(IdleConnection { connection, usable_until: now + retention });
    }

    /// Closes the idle connections to an instance.
    pub(crate) fn remove(&self, key: InstanceKey) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Closes idle connections that have expired or were closed by the instance.
    pub(crate) fn close_expired(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|it| now < it.usable_until && !it.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Number of idle connections to all instances.
    pub(crate) fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}

/// Opens a connection to an instance.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    // A graceful close would be queued behind bytes that the instance has not read yet.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to the instance at {address} ended: {error}");
        }
    });
    Ok(Connection { sender, task: task.abort_handle() })
}
