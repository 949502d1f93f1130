//! Connections from callers.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    pin::pin,
    rc::Rc,
    time::Duration,
};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Notify,
    time::Instant,
};

use crate::{forward, listener::accept_connections, state::State};

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

/// The open connections from callers.
#[derive(Default)]
pub(crate) struct CallerConnections {
    open: RefCell<Vec<Rc<CallerConnection>>>,
}

struct CallerConnection {
    /// Whether a request is running on the connection.
    is_busy: Cell<bool>,
    /// Time since which no request has been running.
    idle_since: Cell<Instant>,
    /// Requests a close as soon as no request is running on the connection.
    close_requested: Notify,
}

impl CallerConnections {
    /// Accepts connections until the future is dropped.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, state: Rc<State>) {
        accept_connections(listener, |stream| {
            let limit = state.settings().max_caller_connections;
            if self.open.borrow().len() >= limit && !self.close_longest_idle() {
                log::debug!("connection of a caller refused: {limit} are open and none is idle");
                return;
            }
            let (connections, state) = (Rc::clone(&self), Rc::clone(&state));
            tokio::task::spawn_local(connections.serve(stream, state));
        })
        .await;
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
    async fn serve(self: Rc<Self>, stream: TcpStream, state: Rc<State>) {
        if let Err(error) = set_socket_options(&stream) {
            log::debug!("connection of a caller lost before its socket options were set: {error}");
            return;
        }
        let connection = Rc::new(CallerConnection {
            is_busy: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            close_requested: Notify::new(),
        });
        self.open.borrow_mut().push(Rc::clone(&connection));
        let max_header_bytes =
            state.steering.borrow().manifest().map(|it| it.limits().max_header_bytes);
        let buffer_bytes = max_header_bytes.unwrap_or_default().max(MIN_READ_BUFFER_BYTES);
        let tracked = Rc::clone(&connection);
        let service = service_fn(move |request| {
            let (state, connection) = (Rc::clone(&state), Rc::clone(&tracked));
            async move {
                connection.is_busy.set(true);
                let res = forward::handle(state, request).await;
                connection.is_busy.set(false);
                connection.idle_since.set(Instant::now());
                Ok::<_, Infallible>(res)
            }
        });
        let serving = http1::Builder::new()
            .max_buf_size(buffer_bytes)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let result = tokio::select! {
            res = serving.as_mut() => res,
            () = connection.close_requested.notified() => {
                serving.as_mut().graceful_shutdown();
                serving.await
            }
        };
        if let Err(error) = result {
            log::debug!("connection of a caller ended: {error}");
        }
        self.open.borrow_mut().retain(|it| !Rc::ptr_eq(it, &connection));
    }
}

fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}
