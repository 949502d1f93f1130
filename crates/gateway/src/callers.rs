//! Connections of callers.

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

use crate::{forward, listener::accept_each, state::State};

/// Time for which sent bytes may stay unacknowledged before the caller is taken to be gone.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(5);

/// Idle time of connections before a manifest says otherwise.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Time beyond the idle limit before a connection is closed, since callers use it up to the limit.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// Bytes that the HTTP library buffers for one connection, above the limit of heads.
const MIN_BUFFER_BYTES: usize = 32 * 1024;

/// The open connections.
#[derive(Default)]
pub(crate) struct Callers {
    /// The connections.
    open: RefCell<Vec<Rc<CallerConnection>>>,
}

/// One connection.
struct CallerConnection {
    /// Whether a request runs.
    is_busy: Cell<bool>,
    /// Since when none runs.
    idle_since: Cell<Instant>,
    /// Signalled to close it after the request that runs.
    close: Notify,
}

impl Callers {
    /// Accepts connections until it is dropped.
    pub(crate) async fn accept(self: Rc<Self>, listener: TcpListener, state: Rc<State>) {
        accept_each(listener, |stream| {
            let most = state.settings().max_caller_connections;
            if self.open.borrow().len() >= most && !self.close_longest_idle() {
                log::debug!("connection refused: {most} are open");
                return;
            }
            let (callers, state) = (Rc::clone(&self), Rc::clone(&state));
            tokio::task::spawn_local(callers.serve(stream, state));
        })
        .await;
    }

    /// Closes connections that are idle for too long.
    pub(crate) fn sweep(&self, state: &State, now: Instant) {
        let limit = state.steering.borrow().manifest().map(|it| it.limits().idle_timeout);
        let limit = limit.unwrap_or(DEFAULT_IDLE) + IDLE_MARGIN;
        for it in self.open.borrow().iter() {
            let idle = now.saturating_duration_since(it.idle_since.get());
            if !it.is_busy.get() && idle > limit {
                it.close.notify_one();
            }
        }
    }

    /// Closes every connection after the request that runs on it.
    pub(crate) fn close_all(&self) {
        self.open.borrow().iter().for_each(|it| it.close.notify_one());
    }

    /// Open connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    /// Closes the connection that is idle for the longest time; answers whether there was one.
    fn close_longest_idle(&self) -> bool {
        let open = self.open.borrow();
        let idle = open.iter().filter(|it| !it.is_busy.get());
        let oldest = idle.min_by_key(|it| it.idle_since.get());
        oldest.inspect(|it| it.close.notify_one()).is_some()
    }

    /// Serves one connection.
    async fn serve(self: Rc<Self>, stream: TcpStream, state: Rc<State>) {
        if let Err(error) = prepare(&stream) {
            log::debug!("connection lost at once: {error}");
            return;
        }
        let connection = Rc::new(CallerConnection {
            is_busy: Cell::new(false),
            idle_since: Cell::new(Instant::now()),
            close: Notify::new(),
        });
        self.open.borrow_mut().push(Rc::clone(&connection));
        let max_head = state.steering.borrow().manifest().map(|it| it.limits().max_header_bytes);
        let buffer = max_head.unwrap_or_default().max(MIN_BUFFER_BYTES);
        let busy = Rc::clone(&connection);
        let service = service_fn(move |request| {
            let (state, connection) = (Rc::clone(&state), Rc::clone(&busy));
            async move {
                connection.is_busy.set(true);
                let res = forward::handle(state, request).await;
                connection.is_busy.set(false);
                connection.idle_since.set(Instant::now());
                Ok::<_, Infallible>(res)
            }
        });
        let serving = http1::Builder::new()
            .max_buf_size(buffer)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        let mut serving = pin!(serving);
        let result = tokio::select! {
            res = serving.as_mut() => res,
            () = connection.close.notified() => {
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

/// Sets the options of a caller's socket.
fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}
