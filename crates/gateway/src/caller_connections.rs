//! Connections from callers.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    mem::MaybeUninit,
    net::Shutdown,
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::HeaderValue;
use http_body::{Body, Frame, SizeHint};
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use kingcupford_telemetry::Event;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::{Instant, sleep},
};

use crate::{
    forward,
    listener::{accept_connections, accept_queued},
    request_log::LoggedId,
    response::ResponseBody,
    state::State,
};

/// Maximum time for which sent bytes may stay unacknowledged before the kernel drops the
/// connection.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle timeout until the first manifest is active.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Time beyond the idle timeout before a connection is closed, since callers reuse connections
/// right up to the timeout.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// Minimum size of the HTTP library's read buffer; a larger header limit in the manifest raises it.
/// A request head must fit into the buffer.
const MIN_READ_BUFFER_BYTES: usize = 32 * 1024;

/// Time after the opening of a connection, or after the last bytes of an incomplete head, for which
/// the rest of the request is awaited before the connection is closed as idle.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(500);

/// The open connections from callers.
#[derive(Default)]
pub(crate) struct CallerConnections {
    open: RefCell<Vec<Rc<CallerConnection>>>,
    /// Ends the accepting of connections.
    stop_requested: Notify,
}

struct CallerConnection {
    stream: TcpStream,
    /// Whether a request is running, or its response is being sent.
    is_busy: Cell<bool>,
    /// Time since which no request has been running.
    idle_since: Cell<Instant>,
    /// Time at which the connection was opened, or at which bytes arrived after the last response.
    received_at: Cell<Option<Instant>>,
    /// Whether the end of the connection must be a reset.
    is_broken: Cell<bool>,
    /// Whether the caller closed the connection for sending.
    is_closed_by_caller: Cell<bool>,
    /// Id of the last request whose response began; `None` if there is none or it has no id.
    responded_id: RefCell<Option<HeaderValue>>,
    /// Requests a close as soon as no request is running on the connection.
    close_requested: Notify,
}

impl CallerConnection {
    fn new(stream: TcpStream, now: Instant) -> Self {
        Self {
            stream,
            is_busy: Cell::new(false),
            idle_since: Cell::new(now),
            received_at: Cell::new(Some(now)),
            is_broken: Cell::new(false),
            is_closed_by_caller: Cell::new(false),
            responded_id: RefCell::new(None),
            close_requested: Notify::new(),
        }
    }

    /// Whether a request is running or arriving.
    fn is_in_use(&self, now: Instant) -> bool {
        let receives = |it: Instant| now.saturating_duration_since(it) < RECEIVE_TIMEOUT;
        self.is_busy.get()
            || self.received_at.get().is_some_and(receives)
            || self.has_unread_bytes()
    }

    /// Whether the kernel has received bytes that were not read yet. The runtime learns of them only
    /// between two turns of its event loop.
    fn has_unread_bytes(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&self.stream).peek(&mut byte).is_ok_and(|it| it > 0)
    }

    /// Logs that the caller may not get the whole response to the last request.
    fn log_response_cut(&self, reason: &str) {
        let id = self.responded_id.borrow();
        if let Some(id) = id.as_ref() {
            let id = LoggedId::new(id.to_str().unwrap_or("-"));
            Event::ResponseCut.log(format_args!("id={id} reason=\"{reason}\""));
        }
    }

    /// Waits until the rest of a request that has begun to arrive is overdue.
    async fn stalls(&self) {
        loop {
            sleep(RECEIVE_TIMEOUT).await;
            if self.received_at.get().is_some() && !self.is_in_use(Instant::now()) {
                return;
            }
        }
    }
}

impl CallerConnections {
    /// Accepts connections until [`stop_accepting`](Self::stop_accepting) is called.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, state: Rc<State>) {
        let on_connection = |stream| {
            let limit = state.settings().max_caller_connections;
            if self.open.borrow().len() >= limit && !self.close_longest_idle() {
                log::debug!("connection of a caller refused: {limit} are open and none is idle");
                return;
            }
            let connection = Rc::new(CallerConnection::new(stream, Instant::now()));
            self.open.borrow_mut().push(Rc::clone(&connection));
            let (connections, state) = (Rc::clone(&self), Rc::clone(&state));
            tokio::task::spawn_local(async move {
                connections.serve(&connection, state).await;
                connections.open.borrow_mut().retain(|it| !Rc::ptr_eq(it, &connection));
            });
        };
        tokio::select! {
            () = accept_connections(&listener, on_connection) => {}
            () = self.stop_requested.notified() => {}
        }
        // The kernel resets the connections that are still queued when a listener is closed.
        accept_queued(listener, on_connection);
    }

    /// Makes [`accept`](Self::accept) return once it has accepted the queued connections.
    pub(crate) fn stop_accepting(&self) {
        self.stop_requested.notify_one();
    }

    /// Closes connections whose idle time exceeds the manifest's limit by the margin.
    pub(crate) fn close_idle(&self, state: &State, now: Instant) {
        let max_idle_time = state.steering.borrow().manifest().map(|it| it.limits().idle_timeout);
        let max_idle_time = max_idle_time.unwrap_or(DEFAULT_IDLE_TIMEOUT) + IDLE_TIMEOUT_MARGIN;
        for it in self.open.borrow().iter() {
            let idle_time = now.saturating_duration_since(it.idle_since.get());
            if !it.is_busy.get() && idle_time > max_idle_time {
                it.close_requested.notify_one();
            }
        }
    }

    /// Closes every connection after the request that is running on it.
    pub(crate) fn close_all(&self) {
        self.open.borrow().iter().for_each(|it| it.close_requested.notify_one());
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the connection with the longest idle time; returns whether there is an idle
    /// connection.
    fn close_longest_idle(&self) -> bool {
        let open = self.open.borrow();
        let idle = open.iter().filter(|it| !it.is_busy.get());
        let longest_idle = idle.min_by_key(|it| it.idle_since.get());
        longest_idle.inspect(|it| it.close_requested.notify_one()).is_some()
    }

    /// Serves one connection until it ends.
    async fn serve(&self, connection: &Rc<CallerConnection>, state: Rc<State>) {
        if let Err(error) = set_socket_options(&connection.stream) {
            log::debug!("connection of a caller lost before its socket options were set: {error}");
            return;
        }
        let max_header_bytes =
            state.steering.borrow().manifest().map(|it| it.limits().max_header_bytes);
        let buffer_bytes = max_header_bytes.unwrap_or_default().max(MIN_READ_BUFFER_BYTES);
        let tracked = Rc::clone(connection);
        let service = service_fn(move |request| {
            let state = Rc::clone(&state);
            let busy = BusyGuard::new(Rc::clone(&tracked));
            let id = request.headers().get(&state.settings().headers.request_id).cloned();
            tracked.responded_id.replace(None);
            let tracked = Rc::clone(&tracked);
            async move {
                let res = forward::handle(state, request).await;
                tracked.responded_id.replace(id);
                Ok::<_, Infallible>(res.map(|body| TrackedBody { body, _busy: busy }))
            }
        });
        let stream = CallerStream(Rc::clone(connection));
        let serving = http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let result = loop {
            tokio::select! {
                biased;
                res = serving.as_mut() => break res,
                () = connection.close_requested.notified() => {}
            }
            if !connection.is_in_use(Instant::now()) {
                serving.as_mut().graceful_shutdown();
                // The HTTP library waits for the rest of an incomplete head.
                break tokio::select! {
                    biased;
                    res = serving.as_mut() => res,
                    () = connection.stalls() => Ok(()),
                };
            }
        };
        if let Err(error) = result {
            log::debug!("connection of a caller ended: {error}");
            // Without a length and without chunks, as in HTTP/1.0, an orderly end would make the
            // part that was sent a complete response.
            connection.is_broken.set(error.is_user());
        }
    }
}

/// Marks a connection as busy until it is dropped.
struct BusyGuard(Rc<CallerConnection>);

impl BusyGuard {
    fn new(connection: Rc<CallerConnection>) -> Self {
        connection.is_busy.set(true);
        Self(connection)
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.is_busy.set(false);
        self.0.idle_since.set(Instant::now());
        self.0.received_at.set(None);
    }
}

/// Body of a response; the connection is busy until it was sent.
struct TrackedBody {
    body: ResponseBody,
    _busy: BusyGuard,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream of a connection that records when bytes arrive, and resets a broken connection.
struct CallerStream(Rc<CallerConnection>);

impl Drop for CallerStream {
    fn drop(&mut self) {
        let connection = &self.0;
        if connection.is_busy.get() {
            connection.log_response_cut("response incomplete");
        } else if !connection.is_closed_by_caller.get() && connection.has_unread_bytes() {
            connection.log_response_cut("bytes of the caller are unread");
        }
        // At the end of the process, a response may still be sent on the connection.
        let is_incomplete = connection.is_broken.get() || connection.is_busy.get();
        if is_incomplete
            && let Err(error) = SockRef::from(&connection.stream).set_linger(Some(Duration::ZERO))
        {
            log::debug!("connection of a caller could not be reset: {error}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &self.0;
        loop {
            ready!(connection.stream.poll_read_ready(context))?;
            match connection.stream.try_read(buffer.initialize_unfilled()) {
                Ok(length) => {
                    buffer.advance(length);
                    if length > 0 {
                        connection.received_at.set(Some(Instant::now()));
                    } else if buffer.remaining() > 0 {
                        connection.is_closed_by_caller.set(true);
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write_vectored(slices) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                res => return Poll::Ready(res),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
