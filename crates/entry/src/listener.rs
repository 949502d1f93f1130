//! Listener for callers, which detects disconnected callers and closes idle connections.

use std::{
    collections::VecDeque,
    io,
    net::{Shutdown, SocketAddr},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use futures_util::FutureExt as _;
use http::{Version, uri::Scheme};
use parking_lot::Mutex;
use poem::{
    listener::{Acceptor, Listener},
    web::{LocalAddr, RemoteAddr},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, Interest, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Instant, interval},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Interval at which connections that are idle or whose caller disconnected are detected; the work
/// for a caller that disconnected has to end within 1 s.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Open connections of callers.
#[derive(Debug)]
pub(crate) struct Connections {
    /// Time without a running request after which a connection is closed.
    idle_timeout: Duration,
    max_connections: usize,
    /// Sorted by the caller's address.
    open: Mutex<Vec<Connection>>,
}

/// Connection of a caller.
#[derive(Debug)]
struct Connection {
    caller: SocketAddr,
    /// Socket on which the sweep detects that the caller disconnected.
    stream: Arc<TcpStream>,
    /// Cancelled when the connection ends or has to end.
    closed: CancellationToken,
    /// Number of running requests.
    in_flight: usize,
    has_carried_request: bool,
    /// Time at which the last request ended or the connection was accepted. Bytes of an incomplete
    /// head do not count as activity.
    idle_since: Instant,
}

impl Connections {
    pub(crate) fn new(idle_timeout: Duration, max_connections: usize) -> Arc<Self> {
        Arc::new(Self { idle_timeout, max_connections, open: Mutex::new(Vec::new()) })
    }

    /// Records the start of a request on the caller's connection. The end is recorded when the
    /// guard is dropped.
    pub(crate) fn begin_request(
        self: &Arc<Self>,
        caller: Option<SocketAddr>,
        version: Version,
    ) -> RequestGuard {
        let mut closed = CancellationToken::new();
        if let Some(caller) = caller {
            let mut open = self.open.lock();
            if let Ok(index) = open.binary_search_by_key(&caller, |it| it.caller) {
                open[index].in_flight += 1;
                open[index].has_carried_request = true;
                closed = open[index].closed.clone();
            }
        }
        let is_multiplexed = version >= Version::HTTP_2;
        RequestGuard { connections: Arc::clone(self), caller, is_multiplexed, closed }
    }

    /// Returns the number of connections without a running request whose last response may not be
    /// delivered completely.
    ///
    /// The number is valid only after the server was told to stop, because it then closes each
    /// connection as soon as the last response is written.
    pub(crate) fn undelivered(&self) -> usize {
        self.open.lock().iter().filter(|it| it.has_carried_request && it.in_flight == 0).count()
    }

    /// Closes idle connections and cancels the requests of callers that disconnected. Runs until
    /// the future is dropped.
    pub(crate) async fn sweep(self: Arc<Self>) {
        let mut ticks = interval(SWEEP_INTERVAL);
        loop {
            ticks.tick().await;
            let now = Instant::now();
            for connection in self.open.lock().iter() {
                let idle = now.saturating_duration_since(connection.idle_since);
                let must_close = match connection.in_flight {
                    0 => idle >= self.idle_timeout,
                    _ => connection.is_closed_by_caller(),
                };
                if must_close {
                    connection.closed.cancel();
                }
            }
        }
    }

    /// Registers a connection. Returns `None` at the limit of connections.
    fn insert(&self, caller: SocketAddr, stream: &Arc<TcpStream>) -> Option<CancellationToken> {
        let mut open = self.open.lock();
        if open.len() >= self.max_connections {
            return None;
        }
        let closed = CancellationToken::new();
        let connection = Connection {
            caller,
            stream: Arc::clone(stream),
            closed: closed.clone(),
            in_flight: 0,
            has_carried_request: false,
            idle_since: Instant::now(),
        };
        match open.binary_search_by_key(&caller, |it| it.caller) {
            Ok(index) => open[index] = connection,
            Err(index) => open.insert(index, connection),
        }
        Some(closed)
    }

    fn remove(&self, caller: SocketAddr) {
        self.open.lock().retain(|it| it.caller != caller);
    }
}

impl Connection {
    /// Returns whether the caller closed the connection.
    ///
    /// The HTTP server does not read while a request body waits for the upstream, so the end of the
    /// stream may follow bytes that are not read.
    fn is_closed_by_caller(&self) -> bool {
        let ready = self.stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|it| it.is_ok_and(|it| it.is_read_closed()))
    }
}

/// Running request of a connection, which counts as ended when the guard is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connections: Arc<Connections>,
    caller: Option<SocketAddr>,
    /// Whether the connection carries other requests, as in HTTP/2.
    is_multiplexed: bool,
    closed: CancellationToken,
}

impl RequestGuard {
    /// Returns a token that is cancelled when the caller's connection ends.
    pub(crate) fn connection_closed(&self) -> &CancellationToken {
        &self.closed
    }

    /// Ends the caller's connection by a reset, so that the part of a response that was sent does
    /// not look complete. In HTTP/2 only the response's stream is reset, by the HTTP server.
    pub(crate) fn reset_connection(&self) {
        let Some(caller) = self.caller.filter(|_| !self.is_multiplexed) else { return };
        let open = self.connections.open.lock();
        if let Ok(index) = open.binary_search_by_key(&caller, |it| it.caller)
            && let Err(error) = SockRef::from(&*open[index].stream).set_linger(Some(Duration::ZERO))
        {
            log::debug!("connection of a caller could not be reset: {error}");
        }
        drop(open);
        self.closed.cancel();
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let Some(caller) = self.caller else { return };
        let mut open = self.connections.open.lock();
        if let Ok(index) = open.binary_search_by_key(&caller, |it| it.caller) {
            open[index].in_flight = open[index].in_flight.saturating_sub(1);
            open[index].idle_since = Instant::now();
        }
    }
}

/// Listener for callers, whose connections are registered in [`Connections`].
pub(crate) struct CallerListener {
    address: SocketAddr,
    connections: Arc<Connections>,
    /// Cancelled when no further connections are to be queued.
    closing: CancellationToken,
}

impl CallerListener {
    /// Creates a listener; the address is bound by [`Listener::into_acceptor`]. Once `closing` is
    /// cancelled, it accepts the connections that are queued, and closes.
    pub(crate) fn new(
        address: SocketAddr,
        connections: Arc<Connections>,
        closing: CancellationToken,
    ) -> Self {
        Self { address, connections, closing }
    }
}

impl Listener for CallerListener {
    type Acceptor = CallerAcceptor;

    async fn into_acceptor(self) -> io::Result<CallerAcceptor> {
        let listener = TcpListener::bind(self.address).await?;
        let address = listener.local_addr()?;
        let Self { connections, closing, .. } = self;
        let (listener, queued) = (Some(listener), VecDeque::new());
        Ok(CallerAcceptor { listener, address, queued, connections, closing })
    }
}

/// Acceptor of [`CallerListener`]; TLS is layered on top of it.
pub(crate) struct CallerAcceptor {
    /// `None` once the listener is closed.
    listener: Option<TcpListener>,
    address: SocketAddr,
    /// Connections that were queued when the listener was closed.
    queued: VecDeque<(TcpStream, SocketAddr)>,
    connections: Arc<Connections>,
    closing: CancellationToken,
}

impl CallerAcceptor {
    /// Waits for the next connection; without a listener and a queued connection, for ever.
    async fn next_connection(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        if let Some(listener) = &self.listener {
            tokio::select! {
                biased;
                () = self.closing.cancelled() => self.close_listener(),
                res = listener.accept() => return res,
            }
        }
        match self.queued.pop_front() {
            Some(it) => Ok(it),
            None => std::future::pending().await,
        }
    }

    /// Accepts the queued connections, which the kernel resets when a listener is closed, and closes
    /// the listener.
    fn close_listener(&mut self) {
        let Some(listener) = self.listener.take() else { return };
        let listener = match listener.into_std() {
            Ok(it) => it,
            Err(error) => {
                log::warn!("queued connections could not be accepted: {error}");
                return;
            }
        };
        // The listener does not block; without a queued connection, `accept` fails.
        while let Ok((stream, caller)) = listener.accept() {
            match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                Ok(it) => self.queued.push_back((it, caller)),
                Err(error) => log::warn!("queued connection could not be accepted: {error}"),
            }
        }
    }
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, caller) = self.next_connection().await?;
            let stream = Arc::new(stream);
            let Some(closed) = self.connections.insert(caller, &stream) else { continue };
            let close_signal = Box::pin(closed.clone().cancelled_owned());
            let connections = Arc::clone(&self.connections);
            let stream = CallerStream { stream, caller, closed, close_signal, connections };
            let local = LocalAddr(self.address.into());
            return Ok((stream, local, RemoteAddr(caller.into()), Scheme::HTTP));
        }
    }
}

/// Byte stream of a caller's connection.
pub(crate) struct CallerStream {
    /// Shared with the sweep.
    stream: Arc<TcpStream>,
    caller: SocketAddr,
    /// Cancelled when the connection ends or has to end.
    closed: CancellationToken,
    /// Future of `closed`.
    close_signal: Pin<Box<WaitForCancellationFutureOwned>>,
    connections: Arc<Connections>,
}

impl CallerStream {
    /// Fails if the connection has to end.
    fn check_open(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.close_signal.as_mut().poll(context) {
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
        self.check_open(context)?;
        let res = loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                res => break res,
            }
        };
        // The HTTP server continues the request of a caller that disconnected, so the end of the
        // stream is detected here.
        if res.as_ref().map_or(true, |it| *it == 0 && buffer.remaining() > 0) {
            self.closed.cancel();
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
        self.check_open(context)?;
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

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // An orderly end would precede the reset of a connection.
        self.check_open(context)?;
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.closed.cancel();
        self.connections.remove(self.caller);
    }
}
