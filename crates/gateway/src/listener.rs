//! TCP listeners for callers, for the HTTP endpoints and for other hosts.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::sleep,
};

/// Length of the queue of connections to be accepted; holds a burst of callers.
const ACCEPT_BACKLOG: u32 = 1024;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts connections until the future is dropped.
pub(crate) async fn accept_connections(
    listener: &TcpListener,
    mut on_connection: impl FnMut(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => on_connection(stream),
            Err(error) => {
                log::warn!("connection could not be accepted: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Accepts the connections that are queued, and closes the listener.
pub(crate) fn accept_queued(listener: TcpListener, mut on_connection: impl FnMut(TcpStream)) {
    let listener = match listener.into_std() {
        Ok(it) => it,
        Err(error) => {
            log::warn!("queued connections could not be accepted: {error}");
            return;
        }
    };
    // The listener does not block; without a queued connection, `accept` fails.
    while let Ok((stream, _)) = listener.accept() {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(it) => on_connection(it),
            Err(error) => log::warn!("queued connection could not be accepted: {error}"),
        }
    }
}

/// Serves HTTP requests on every connection until the future is dropped.
pub(crate) async fn serve_http<F>(
    listener: TcpListener,
    handler: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    accept_connections(&listener, |stream| {
        let handler = handler.clone();
        let service = service_fn(move |request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        });
        let connection = http1::Builder::new()
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection ended: {error}");
            }
        });
    })
    .await;
}
