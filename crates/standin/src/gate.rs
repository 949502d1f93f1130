//! Accepts connections and can drop them, as a server that crashes or is overloaded does.

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

/// Time between two attempts to listen again after a crash.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Connections of one stand-in.
#[derive(Debug)]
pub(crate) struct Gate {
    /// What changes while it runs.
    state: Mutex<GateState>,
    /// Wakes the acceptor after a crash.
    crashed: Notify,
}

/// The changing part of a [`Gate`].
#[derive(Debug)]
struct GateState {
    /// Open connections by the address of the client.
    connections: Vec<(SocketAddr, CancellationToken)>,
    /// Connections held at most; further ones are closed at once.
    max_connections: usize,
    /// Time the acceptor is busy with each new connection.
    open_cost: Duration,
    /// End of the downtime after a crash.
    listen_again_at: Option<Instant>,
    /// Counts since the start.
    counts: GateCounts,
}

/// Counts of connections.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct GateCounts {
    /// Connections accepted.
    pub(crate) opened: u64,
    /// Connections closed at once because of the limit.
    pub(crate) refused: u64,
}

impl Gate {
    /// A gate with a connection limit and a cost of opening.
    pub(crate) fn new(max_connections: usize, open_cost: Duration) -> Arc<Self> {
        let state = GateState {
            connections: Vec::new(),
            max_connections,
            open_cost,
            listen_again_at: None,
            counts: GateCounts::default(),
        };
        Arc::new(Self { state: Mutex::new(state), crashed: Notify::new() })
    }

    /// Counts since the start.
    pub(crate) fn counts(&self) -> GateCounts {
        self.state.lock().counts
    }

    /// Number of open connections.
    pub(crate) fn open_connections(&self) -> usize {
        self.state.lock().connections.len()
    }

    /// Cancelled when the connection of `peer` ends.
    pub(crate) fn token(&self, peer: Option<SocketAddr>) -> CancellationToken {
        let state = self.state.lock();
        let found = state.connections.iter().find(|it| Some(it.0) == peer);
        found.map(|it| it.1.clone()).unwrap_or_default()
    }

    /// Drops every connection and stops listening for `downtime`.
    pub(crate) fn crash(&self, downtime: Duration) {
        self.state.lock().listen_again_at = Some(Instant::now() + downtime);
        self.crashed.notify_one();
        self.drop_all();
    }

    /// Drops every connection.
    pub(crate) fn drop_all(&self) {
        for (_, token) in &self.state.lock().connections {
            token.cancel();
        }
    }

    /// Admits a connection, unless the limit is reached or a crash has begun.
    fn admit(&self, peer: SocketAddr) -> Option<CancellationToken> {
        let mut state = self.state.lock();
        if state.listen_again_at.is_some() {
            // It was accepted while the crash began.
            return None;
        }
        if state.connections.len() >= state.max_connections {
            state.counts.refused += 1;
            return None;
        }
        state.counts.opened += 1;
        let token = CancellationToken::new();
        state.connections.push((peer, token.clone()));
        Some(token)
    }
}

/// Listens on behalf of a [`Gate`].
pub(crate) struct GateAcceptor {
    /// The gate.
    gate: Arc<Gate>,
    /// The address, kept over crashes.
    address: SocketAddr,
    /// Absent while crashed.
    listener: Option<TcpListener>,
}

impl GateAcceptor {
    /// Starts to listen.
    pub(crate) async fn bind(address: SocketAddr, gate: Arc<Gate>) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        Ok(Self { gate, address: listener.local_addr()?, listener: Some(listener) })
    }

    /// The bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts a connection below the limit, listening again after a crash.
    async fn next(&mut self) -> io::Result<GatedStream> {
        loop {
            let until = self.gate.state.lock().listen_again_at.take();
            if let Some(until) = until {
                self.listener = None;
                sleep_until(until).await;
            }
            let Some(listener) = &self.listener else {
                match TcpListener::bind(self.address).await {
                    Ok(it) => self.listener = Some(it),
                    Err(_) => sleep(REBIND_INTERVAL).await,
                }
                continue;
            };
            let (stream, peer) = tokio::select! {
                biased;
                () = self.gate.crashed.notified() => continue,
                accepted = listener.accept() => accepted?,
            };
            let Some(token) = self.gate.admit(peer) else { continue };
            let gate = Arc::clone(&self.gate);
            let dropped = Box::pin(token.clone().cancelled_owned());
            let stream = GatedStream { stream, peer, token, dropped, gate };
            stream.stream.set_nodelay(true)?;
            let open_cost = self.gate.state.lock().open_cost;
            if !open_cost.is_zero() {
                sleep(open_cost).await;
            }
            return Ok(stream);
        }
    }
}

impl Acceptor for GateAcceptor {
    type Io = GatedStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(Addr::from(self.address))]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let stream = self.next().await?;
        let local = LocalAddr(Addr::from(self.address));
        let remote = RemoteAddr(Addr::from(stream.peer));
        Ok((stream, local, remote, Scheme::HTTP))
    }
}

/// A connection that the gate can drop.
pub(crate) struct GatedStream {
    /// The connection.
    stream: TcpStream,
    /// Address of the client.
    peer: SocketAddr,
    /// Cancelled when the client leaves or the gate drops the connection.
    token: CancellationToken,
    /// Ready once the token is cancelled.
    dropped: Pin<Box<WaitForCancellationFutureOwned>>,
    /// The gate.
    gate: Arc<Gate>,
}

impl GatedStream {
    /// Fails when the gate has dropped the connection.
    fn check(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        match self.dropped.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::ConnectionReset.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check(cx)?;
        let filled = buf.filled().len();
        let res = Pin::new(&mut self.stream).poll_read(cx, buf);
        // The server goes on with a request whose client has left, so the end is passed on here.
        let ended = match &res {
            Poll::Ready(Ok(())) => buf.remaining() > 0 && buf.filled().len() == filled,
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        };
        if ended {
            self.token.cancel();
        }
        res
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(cx)?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for GatedStream {
    fn drop(&mut self) {
        self.gate.state.lock().connections.retain(|it| it.0 != self.peer);
    }
}

/// A running server; dropping it stops it.
#[derive(Debug)]
pub(crate) struct Running {
    /// Where it listens.
    address: SocketAddr,
    /// Its connections.
    gate: Arc<Gate>,
    /// The server's task.
    task: JoinHandle<()>,
}

impl Running {
    /// Serves `endpoint` on the acceptor.
    pub(crate) fn spawn<E>(acceptor: GateAcceptor, gate: Arc<Gate>, endpoint: E) -> Self
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
        Self { address, gate, task }
    }

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops all connections.
    pub(crate) async fn stop(&mut self) {
        self.task.abort();
        // The listener is closed only once the aborted task was dropped.
        let _ = (&mut self.task).await;
        self.gate.drop_all();
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
        self.gate.drop_all();
    }
}
