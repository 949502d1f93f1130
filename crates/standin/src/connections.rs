//! Accepts connections and can drop all of them, as a crashed or overloaded server does.

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
    Addr,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

/// Interval between attempts to listen again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Tracks, limits and drops the connections of one stand-in.
#[derive(Debug)]
pub(crate) struct ConnectionTracker {
    state: Mutex<TrackerState>,
    /// Wakes the acceptor when a crash begins.
    crash_begun: Notify,
}

#[derive(Debug)]
struct TrackerState {
    /// Open connections: the address of the client, and the token that drops the connection.
    connections: Vec<(SocketAddr, CancellationToken)>,
    /// Maximum number of open connections; connections above it are closed at once.
    max_connections: usize,
    /// Time for which the acceptor is busy with each new connection.
    open_cost: Duration,
    /// Time at which a crashed stand-in listens again.
    listen_again_at: Option<Instant>,
    counts: ConnectionCounts,
}

/// Numbers of connections since the start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ConnectionCounts {
    pub(crate) opened: u64,
    /// Connections closed at once because the maximum was reached.
    pub(crate) refused: u64,
}

impl ConnectionTracker {
    /// Creates a tracker. The acceptor is busy for `open_cost` with each new connection.
    pub(crate) fn new(max_connections: usize, open_cost: Duration) -> Arc<Self> {
        let state = TrackerState {
            connections: Vec::new(),
            max_connections,
            open_cost,
            listen_again_at: None,
            counts: ConnectionCounts::default(),
        };
        Arc::new(Self { state: Mutex::new(state), crash_begun: Notify::new() })
    }

    pub(crate) fn counts(&self) -> ConnectionCounts {
        self.state.lock().counts
    }

    pub(crate) fn open_connections(&self) -> usize {
        self.state.lock().connections.len()
    }

    /// Returns the token that is cancelled when the connection of `client` ends. Cancelling the
    /// token drops the connection. A client without an open connection gets a token of no effect.
    pub(crate) fn connection_token(&self, client: Option<SocketAddr>) -> CancellationToken {
        let state = self.state.lock();
        let found = state.connections.iter().find(|it| Some(it.0) == client);
        found.map(|it| it.1.clone()).unwrap_or_default()
    }

    /// Drops all connections and stops listening for `downtime`.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.state.lock().listen_again_at = Some(Instant::now() + downtime);
        self.crash_begun.notify_one();
        self.drop_all();
    }

    pub(crate) fn drop_all(&self) {
        for (_, token) in &self.state.lock().connections {
            token.cancel();
        }
    }

    /// Registers a new connection, unless the maximum is reached or a crash has begun.
    fn admit(&self, client: SocketAddr) -> Option<CancellationToken> {
        let mut state = self.state.lock();
        if state.listen_again_at.is_some() {
            // The crash began while the connection was accepted.
            return None;
        }
        if state.connections.len() >= state.max_connections {
            state.counts.refused += 1;
            return None;
        }
        state.counts.opened += 1;
        let token = CancellationToken::new();
        state.connections.push((client, token.clone()));
        Some(token)
    }
}

/// Accepts connections and registers them in a [`ConnectionTracker`].
pub(crate) struct TrackedAcceptor {
    tracker: Arc<ConnectionTracker>,
    /// Local address, the same before and after a crash.
    address: SocketAddr,
    /// `None` during the downtime after a crash.
    listener: Option<TcpListener>,
}

impl TrackedAcceptor {
    /// Starts to listen on `address`.
    pub(crate) async fn bind(
        address: SocketAddr,
        tracker: Arc<ConnectionTracker>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { tracker, address: listener.local_addr()?, listener: Some(listener) })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection that the tracker admits. After a crash, listens again first.
    async fn accept_admitted(&mut self) -> io::Result<TrackedStream> {
        loop {
            let listen_again_at = self.tracker.state.lock().listen_again_at.take();
            if let Some(listen_again_at) = listen_again_at {
                self.listener = None;
                sleep_until(listen_again_at).await;
            }
            let Some(listener) = &self.listener else {
                match TcpListener::bind(self.address).await {
                    Ok(it) => self.listener = Some(it),
                    Err(_) => sleep(REBIND_INTERVAL).await,
                }
                continue;
            };
            let (stream, client) = tokio::select! {
                biased;
                () = self.tracker.crash_begun.notified() => continue,
                accepted = listener.accept() => accepted?,
            };
            let Some(token) = self.tracker.admit(client) else { continue };
            let tracker = Arc::clone(&self.tracker);
            let cancelled = Box::pin(token.clone().cancelled_owned());
            let stream = TrackedStream { stream, client, token, cancelled, tracker };
            stream.stream.set_nodelay(true)?;
            let open_cost = self.tracker.state.lock().open_cost;
            if !open_cost.is_zero() {
                sleep(open_cost).await;
            }
            return Ok(stream);
        }
    }
}

impl Acceptor for TrackedAcceptor {
    type Io = TrackedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::from(self.address))]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let stream = self.accept_admitted().await?;
        let local = LocalAddr(Addr::from(self.address));
        let remote = RemoteAddr(Addr::from(stream.client));
        Ok((stream, local, remote, Scheme::HTTP))
    }
}

/// A connection that its [`ConnectionTracker`] can drop.
pub(crate) struct TrackedStream {
    stream: TcpStream,
    client: SocketAddr,
    /// Cancelled when the client closes the connection or the tracker drops it.
    token: CancellationToken,
    /// Completes once `token` is cancelled.
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
    tracker: Arc<ConnectionTracker>,
}

impl TrackedStream {
    /// Fails with a connection reset when the connection was dropped.
    fn check_open(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.cancelled.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(cx)?;
        let filled_before = buf.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        // The HTTP server goes on with a request whose client has disconnected. Cancelling the
        // token ends the request.
        let ended = match &res {
            Poll::Ready(Ok(())) => buf.remaining() > 0 && buf.filled().len() == filled_before,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended {
            self.token.cancel();
        }
        res
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for TrackedStream {
    fn drop(&mut self) {
        self.tracker.state.lock().connections.retain(|it| it.0 != self.client);
    }
}

/// A running server. Dropping the handle stops it.
#[derive(Debug)]
pub(crate) struct ServerHandle {
    address: SocketAddr,
    tracker: Arc<ConnectionTracker>,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Serves `endpoint` on the connections of `acceptor` in a new task.
    pub(crate) fn spawn<E>(
        acceptor: TrackedAcceptor,
        tracker: Arc<ConnectionTracker>,
        endpoint: E,
    ) -> Self
    where
        E: poem::IntoEndpoint,
        E::Endpoint: 'static,
    {
        let address = acceptor.address();
        let endpoint = endpoint.into_endpoint();
        let task = tokio::spawn(async move {
            if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
                log::error!("stand-in on {address} stopped: {error}");
            }
        });
        Self { address, tracker, task }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops all connections.
    pub(crate) async fn stop(&mut self) {
        self.task.abort();
        // The listener is closed only when the aborted task has been dropped.
        let _ = (&mut self.task).await;
        self.tracker.drop_all();
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
        self.tracker.drop_all();
    }
}
