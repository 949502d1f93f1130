//! Connections of callers: their ends are noticed, and idle ones are closed.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use futures_util::FutureExt as _;
use http::uri::Scheme;
use parking_lot::Mutex;
use poem::{
    listener::{Acceptor, Listener, TcpAcceptor, TcpListener},
    web::{LocalAddr, RemoteAddr},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::TcpStream,
    time::{Instant, interval},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Time between two sweeps for connections that are idle or whose caller left; work of a caller
/// that left has to end within a second.
const SWEEP_EVERY: Duration = Duration::from_millis(250);

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
    /// The socket, on which the sweep sees that the caller left.
    stream: Arc<TcpStream>,
    /// Cancelled when the connection ends.
    ended: CancellationToken,
    /// Requests that run.
    in_flight: usize,
    /// Whether it carried a request.
    was_used: bool,
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
                open[at].was_used = true;
                ended = open[at].ended.clone();
            }
        }
        RequestGuard { connections: Arc::clone(self), caller, ended }
    }

    /// Connections without a running request whose answers may not be delivered whole.
    ///
    /// This is so only once the server was told to stop: it then closes each connection as soon as
    /// its last answer is written.
    pub(crate) fn undelivered(&self) -> usize {
        self.open.lock().iter().filter(|it| it.was_used && it.in_flight == 0).count()
    }

    /// Closes idle connections and ends the work of callers that left, until it is dropped.
    pub(crate) async fn sweep(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_EVERY);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            for connection in self.open.lock().iter() {
                let idle = now.saturating_duration_since(connection.idle_since);
                let is_over = match connection.in_flight {
                    0 => idle >= self.idle_timeout,
                    _ => connection.has_left(),
                };
                if is_over {
                    connection.ended.cancel();
                }
            }
        }
    }

    /// Admits a connection below the limit.
    fn admit(&self, caller: SocketAddr, stream: &Arc<TcpStream>) -> Option<CancellationToken> {
        let mut open = self.open.lock();
        if open.len() >= self.max_connections {
            return None;
        }
        let ended = CancellationToken::new();
        let connection = Connection {
            caller,
            stream: Arc::clone(stream),
            ended: ended.clone(),
            in_flight: 0,
            was_used: false,
            idle_since: Instant::now(),
        };
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

impl Connection {
    /// Whether the caller closed the connection.
    ///
    /// The HTTP server does not read while a body waits for its upstream, so the end of the stream
    /// can stand behind bytes that nobody reads.
    fn has_left(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|it| it.is_ok_and(|it| it.is_read_closed()))
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

/// Listens for connections of callers and keeps track of them.
pub(crate) struct CallerListener {
    /// The address.
    address: SocketAddr,
    /// The open connections.
    connections: Arc<Connections>,
}

impl CallerListener {
    /// Listens on an address.
    pub(crate) fn bind(address: SocketAddr, connections: Arc<Connections>) -> Self {
        Self { address, connections }
    }
}

impl Listener for CallerListener {
    type Acceptor = CallerAcceptor;

    async fn into_acceptor(self) -> io::Result<CallerAcceptor> {
        let inner = TcpListener::bind(self.address).into_acceptor().await?;
        Ok(CallerAcceptor { inner, connections: self.connections })
    }
}

/// Accepts connections of callers and keeps track of them; encryption comes on top of it.
pub(crate) struct CallerAcceptor {
    /// Accepts connections.
    inner: TcpAcceptor,
    /// The open connections.
    connections: Arc<Connections>,
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        self.inner.local_addr()
    }

    async fn accept(&mut self) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, local, remote, scheme) = self.inner.accept().await?;
            let Some(caller) = remote.0.as_socket_addr().copied() else { continue };
            let stream = Arc::new(stream);
            let Some(ended) = self.connections.admit(caller, &stream) else { continue };
            let closed = Box::pin(ended.clone().cancelled_owned());
            let connections = Arc::clone(&self.connections);
            let stream = CallerStream { stream, caller, ended, closed, connections };
            return Ok((stream, local, remote, scheme));
        }
    }
}

/// A connection of a caller.
pub(crate) struct CallerStream {
    /// The connection, shared with the sweep.
    stream: Arc<TcpStream>,
    /// Address of the caller.
    caller: SocketAddr,
    /// Cancelled when the connection ends.
    ended: CancellationToken,
    /// Ready once the connection has to end.
    closed: Pin<Box<WaitForCancellationFutureOwned>>,
    /// The open connections.
    connections: Arc<Connections>,
}

impl CallerStream {
    /// Fails when the connection has to end.
    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.closed.as_mut().poll(context) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionAborted.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(context)?;
        let res = loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                res => break res,
            }
        };
        // The HTTP server goes on with the request of a caller that left, so the end is noted here.
        if res.as_ref().map_or(true, |it| *it == 0 && buffer.remaining() > 0) {
            self.ended.cancel();
        }
        buffer.advance(res?);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                res => return Poll::Ready(res),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.ended.cancel();
        self.connections.remove(self.caller);
    }
}
