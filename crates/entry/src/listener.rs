//! Connections of callers: their ends are noticed, and idle ones are closed.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use http::uri::Scheme;
use parking_lot::Mutex;
use poem::{
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, interval},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Time between two sweeps for idle connections.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    /// Time without a request after which a connection is closed.
    idle_timeout: Duration,
    /// Connections at the same time.
    max_connections: usize,
    /// The connections, sorted by the caller's address.
    open: Mutex<Vec<Connection>>,
}

/// One connection of a caller.
#[derive(Debug)]
struct Connection {
    /// Address of the caller.
    caller: SocketAddr,
    /// Cancelled when the connection ends.
    ended: CancellationToken,
    /// Requests that run.
    in_flight: usize,
    /// Since when no request runs; bytes of an unfinished head do not count as progress.
    idle_since: Instant,
}

impl Connections {
    /// No connections.
    pub(crate) fn new(idle_timeout: Duration, max_connections: usize) -> Arc<Self> {
        Arc::new(Self { idle_timeout, max_connections, open: Mutex::new(Vec::new()) })
    }

    /// Notes the start of a request; the guard notes its end.
    pub(crate) fn request(self: &Arc<Self>, caller: Option<SocketAddr>) -> RequestGuard {
        let mut ended = CancellationToken::new();
        if let Some(caller) = caller {
            let mut open = self.open.lock();
            if let Ok(at) = open.binary_search_by_key(&caller, |it| it.caller) {
                open[at].in_flight += 1;
                ended = open[at].ended.clone();
            }
        }
        RequestGuard { connections: Arc::clone(self), caller, ended }
    }

    /// Closes idle connections until it is dropped.
    pub(crate) async fn sweep(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_EVERY);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            for connection in self.open.lock().iter() {
                let idle = now.saturating_duration_since(connection.idle_since);
                if connection.in_flight == 0 && idle >= self.idle_timeout {
                    connection.ended.cancel();
                }
            }
        }
    }

    /// Admits a connection below the limit.
    fn admit(&self, caller: SocketAddr) -> Option<CancellationToken> {
        let mut open = self.open.lock();
        if open.len() >= self.max_connections {
            return None;
        }
        let ended = CancellationToken::new();
        let connection =
            Connection { caller, ended: ended.clone(), in_flight: 0, idle_since: Instant::now() };
        match open.binary_search_by_key(&caller, |it| it.caller) {
            Ok(at) => open[at] = connection,
            Err(at) => open.insert(at, connection),
        }
        Some(ended)
    }

    /// Forgets a connection.
    fn remove(&self, caller: SocketAddr) {
        self.open.lock().retain(|it| it.caller != caller);
    }
}

/// A running request of a connection.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    /// The connections.
    connections: Arc<Connections>,
    /// Address of the caller.
    caller: Option<SocketAddr>,
    /// Cancelled when the connection ends.
    ended: CancellationToken,
}

impl RequestGuard {
    /// Cancelled when the caller's connection ends.
    pub(crate) fn ended(&self) -> &CancellationToken {
        &self.ended
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Some(caller) = self.caller else { return };
        let mut open = self.connections.open.lock();
        if let Ok(at) = open.binary_search_by_key(&caller, |it| it.caller) {
            open[at].in_flight = open[at].in_flight.saturating_sub(1);
            open[at].idle_since = Instant::now();
        }
    }
}

/// Accepts connections of callers and keeps track of them.
pub(crate) struct CallerAcceptor<A> {
    /// Accepts plain or encrypted connections.
    inner: A,
    /// The open connections.
    connections: Arc<Connections>,
}

impl<A> CallerAcceptor<A> {
    /// Keeps track of the connections that `inner` accepts.
    pub(crate) fn new(inner: A, connections: Arc<Connections>) -> Self {
        Self { inner, connections }
    }
}

impl<A: Acceptor> Acceptor for CallerAcceptor<A>
where
    A::Io: Unpin,
{
    type Io = CallerStream<A::Io>;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = self.inner.accept().await?;
            let Some(caller) = remote.0.as_socket_addr().copied() else { continue };
            let Some(ended) = self.connections.admit(caller) else { continue };
            let closed = Box::pin(ended.clone().cancelled_owned());
            let connections = Arc::clone(&self.connections);
            let stream = CallerStream { stream, caller, ended, closed, connections };
            return Ok((stream, local, remote, scheme));
        }
    }
}

/// A connection of a caller.
pub(crate) struct CallerStream<S> {
    /// The connection.
    stream: S,
    /// Address of the caller.
    caller: SocketAddr,
    /// Cancelled when the connection ends.
    ended: CancellationToken,
    /// Ready once the connection has to end.
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    /// The open connections.
    connections: Arc<Connections>,
}

impl<S> CallerStream<S> {
    /// Fails when the connection has to end.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CallerStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        let filled = buffer.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(context, buffer);
        // The HTTP server goes on with the request of a caller that left, so the end is noted here.
        let has_ended = match &res {
            Poll::Ready(Ok(())) => buffer.remaining() > 0 && buffer.filled().len() == filled,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if has_ended {
            self.ended.cancel();
        }
        res
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CallerStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl<S> Drop for CallerStream<S> {
    fn drop(&mut self) {
        self.ended.cancel();
        self.connections.remove(self.caller);
    }
}
