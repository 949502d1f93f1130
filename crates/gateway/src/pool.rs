//! Connections to instances.

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

use crate::outgoing::OutgoingBody;

/// Time for opening a connection: more than two round trips between the deployments' regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time for which sent bytes may stay unacknowledged: several retransmissions on a lossy link.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time for which an unused connection is kept where the instance names none; common servers keep
/// 5 s and more.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Time by which a connection is given up before the instance closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Unused connections kept for one instance at most: a few requests of one host at a time.
const MAX_IDLE: usize = 16;

/// Part of the connections that an instance takes which all hosts together keep unused; the rest is
/// for those in use, and an instance with a long queue takes fewer.
const IDLE_PART: f64 = 0.25;

/// Bytes that the HTTP library buffers for one connection.
const BUFFER_BYTES: usize = 32 * 1024;

/// Unused connections that one host of `hosts` keeps to an instance.
pub(crate) fn idle_limit(max_connections: u32, hosts: usize) -> usize {
    let part = f64::from(max_connections) * IDLE_PART / hosts.max(1) as f64;
    (part as usize).clamp(1, MAX_IDLE)
}

/// Unused connections by instance.
#[derive(Default)]
pub(crate) struct Pool {
    /// The connections, newest last.
    idle: RefCell<HashMap<InstanceKey, Vec<Idle>>>,
}

/// An unused connection.
struct Idle {
    /// The connection.
    connection: Connection,
    /// When it must not be used any more.
    until: Instant,
}

/// A connection to an instance; dropping it resets it, so that the instance stops working.
pub(crate) struct Connection {
    /// Sends requests.
    pub(crate) sender: SendRequest<OutgoingBody>,
    /// The task that drives it.
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Pool {
    /// An unused connection to an instance.
    pub(crate) fn take(&self, key: InstanceKey, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&key)?;
        while let Some(it) = connections.pop() {
            if now < it.until && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }

    /// Keeps a connection after a complete exchange for as long as the instance said, and at most
    /// `limit` of them.
    pub(crate) fn put(
        &self,
        key: InstanceKey,
        connection: Connection,
        announced: Option<Duration>,
        limit: usize,
    ) {
        let now = Instant::now();
        let kept = announced.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        if connection.sender.is_closed() || kept.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(key).or_default();
        if connections.len() >= limit {
            connections.remove(0);
        }
        connections.push(Idle { connection, until: now + kept });
    }

    /// Closes the unused connections to an instance.
    pub(crate) fn forget(&self, key: InstanceKey) {
        self.idle.borrow_mut().remove(&key);
    }

    /// Closes unused connections that are too old or closed by their instance.
    pub(crate) fn sweep(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|it| now < it.until && !it.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Unused connections.
    pub(crate) fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }
}

/// Opens a connection to an instance.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    // A close in order would stand behind the bytes that the instance has not read yet.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, task: task.abort_handle() })
}
