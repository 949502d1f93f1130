//! Accepting connections, for callers, for control and for other hosts.

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

/// Connections that wait to be accepted: those of a burst of callers.
const BACKLOG: u32 = 1024;

/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Listens on an address.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Hands over every connection until it is dropped.
pub(crate) async fn accept_each(listener: TcpListener, mut take: impl FnMut(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => take(stream),
            Err(error) => {
                log::warn!("connection could not be accepted: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Answers every request on every connection until it is dropped.
pub(crate) async fn serve_each<F>(
    listener: TcpListener,
    answer: impl Fn(Request<Incoming>) -> F + Clone + 'static,
) where
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    accept_each(listener, |stream| {
        let answer = answer.clone();
        let service = service_fn(move |request| {
            let answering = answer(request);
            async move { Ok::<_, Infallible>(answering.await) }
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
