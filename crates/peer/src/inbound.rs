//! Inbound connections, which peers open.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use anyhow::{Context as _, ensure};
use bytes::Bytes;
use h2::{Reason, RecvStream, server};
use http::{Request, Response, StatusCode};
use rustls::pki_types::CertificateDer;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use crate::{
    counters::add,
    frame::FrameDecoder,
    outbound::HOST_HEADER,
    tls::verify_host_name,
    transport::{LOG_TARGET, PeerEvent, Shared},
};

/// Delay after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of concurrent streams on one connection; peers use one.
const MAX_STREAMS: u32 = 2;

/// HTTP/2 flow-control window of one stream.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// HTTP/2 flow-control window of one connection, for all its streams.
const CONNECTION_WINDOW_BYTES: u32 = 512 * 1024;

/// Maximum size of the headers of a request; only [`HOST_HEADER`] is read.
const MAX_HEADER_LIST_BYTES: u32 = 4 * 1024;

/// Accepts connections until the transport closes.
pub(crate) async fn accept_connections(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.closing.cancelled() => return,
            it = listener.accept() => it,
        };
        let (tcp, address) = match accepted {
            Ok(it) => it,
            Err(error) => {
                log::warn!(target: LOG_TARGET, "cannot accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let open_count = shared.inbound_count.fetch_add(1, Ordering::Relaxed);
        let count_guard = InboundCountGuard(Arc::clone(&shared));
        if open_count >= shared.settings.max_inbound_connections {
            add(&shared.counters.inbound_rejections, 1);
            log::warn!(
                target: LOG_TARGET,
                "connection from {address} rejected: {open_count} inbound connections are open"
            );
            continue;
        }
        let connection = serve_connection(Arc::clone(&shared), tcp, address);
        shared.spawn(&shared.background_tasks, async move {
            let _count_guard = count_guard;
            connection.await;
        });
    }
}

/// Serves a connection until it ends or `register` closes it, and logs the error if it fails.
async fn serve_connection(shared: Arc<Shared>, tcp: TcpStream, address: SocketAddr) {
    let close_token = CancellationToken::new();
    let result = tokio::select! {
        it = serve_streams(&shared, tcp, &close_token) => it,
        () = close_token.cancelled() => Ok(()),
    };
    close_token.cancel();
    if let Err(error) = result {
        add(&shared.counters.inbound_rejections, 1);
        log::warn!(target: LOG_TARGET, "connection from {address} ended: {error:#}");
    }
}

/// Performs the handshakes of a connection and accepts its streams.
async fn serve_streams(
    shared: &Arc<Shared>,
    tcp: TcpStream,
    close_token: &CancellationToken,
) -> anyhow::Result<()> {
    let handshake_timeout = Duration::from_millis(shared.settings.handshake_timeout_ms);
    tcp.set_nodelay(true)?;
    let acceptor = TlsAcceptor::from(Arc::clone(&shared.tls.borrow().server));
    let handshakes = async {
        let stream = acceptor.accept(tcp).await.context("TLS handshake")?;
        let chain = stream.get_ref().1.peer_certificates();
        let certificate = chain.and_then(|it| it.first()).context("peer has no certificate")?;
        let certificate = certificate.clone().into_owned();
        let connection = server::Builder::new()
            .max_concurrent_streams(MAX_STREAMS)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .handshake::<_, Bytes>(stream)
            .await
            .context("HTTP/2 handshake")?;
        anyhow::Ok((certificate, connection))
    };
    let (certificate, mut connection) = timeout(handshake_timeout, handshakes)
        .await
        .with_context(|| format!("no handshake within {handshake_timeout:?}"))??;
    let mut is_first_stream = true;
    loop {
        // Only the first stream has a time limit, against a peer that occupies a connection without
        // using it. An open stream has its own idle timeout.
        let accepted = if std::mem::take(&mut is_first_stream) {
            let accepted = timeout(handshake_timeout, connection.accept()).await;
            accepted.with_context(|| format!("no stream opened within {handshake_timeout:?}"))?
        } else {
            connection.accept().await
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, mut respond) = accepted.context("HTTP/2")?;
        let name = match verified_host_name(&request, &certificate) {
            Ok(it) => it,
            Err(error) => {
                let mut response = Response::new(());
                *response.status_mut() = StatusCode::FORBIDDEN;
                let _ = respond.send_response(response, true);
                connection.graceful_shutdown();
                // `accept` on a broken connection returns its error at once on each call, so that a
                // loop that continued after an error would never yield.
                let closed = async { while let Some(Ok(_)) = connection.accept().await {} };
                let _ = timeout(handshake_timeout, closed).await;
                return Err(error);
            }
        };
        let mut response_body =
            respond.send_response(Response::new(()), false).context("HTTP/2")?;
        register(shared, &name, close_token);
        log::debug!(target: LOG_TARGET, "peer `{name}` opened a stream");
        let (task_shared, close_token) = (Arc::clone(shared), close_token.clone());
        shared.spawn(&shared.background_tasks, async move {
            let result = tokio::select! {
                it = receive_frames(&task_shared, &name, request.into_body()) => it,
                () = close_token.cancelled() => Ok(()),
            };
            match result {
                Ok(()) => {
                    let _ = response_body.send_data(Bytes::new(), true);
                }
                Err(error) => {
                    add(&task_shared.counters.inbound_rejections, 1);
                    log::warn!(target: LOG_TARGET, "connection from `{name}` ended: {error:#}");
                    response_body.send_reset(Reason::PROTOCOL_ERROR);
                    close_token.cancel();
                }
            }
        });
    }
}

/// Reads the frames of a stream and reports them, until the peer ends the stream.
async fn receive_frames(shared: &Shared, name: &str, mut body: RecvStream) -> anyhow::Result<()> {
    // Twice the timeout of the sending side, so that the sender closes an idle connection first.
    let idle_timeout = Duration::from_millis(shared.settings.idle_timeout_ms * 2);
    let mut decoder = FrameDecoder::default();
    loop {
        let data = timeout(idle_timeout, body.data()).await;
        let data = data.with_context(|| format!("no data received within {idle_timeout:?}"))?;
        let Some(data) = data else {
            decoder.finish()?;
            return Ok(());
        };
        let data = data.context("HTTP/2")?;
        decoder.push(&data);
        while let Some((frame, size_bytes)) = decoder.next_frame()? {
            shared.counters.record_received(frame.kind, size_bytes);
            (shared.on_event)(PeerEvent::FrameReceived { from: name.to_owned(), frame });
        }
        body.flow_control().release_capacity(data.len()).context("HTTP/2")?;
    }
}

/// Returns the host name in the header of a request if the peer's certificate is valid for it.
fn verified_host_name(
    request: &Request<RecvStream>,
    certificate: &CertificateDer<'_>,
) -> anyhow::Result<String> {
    let name = request.headers().get(HOST_HEADER).context("request has no host name header")?;
    let name = name.to_str().context("host name in the request is not visible ASCII")?;
    ensure!(!name.is_empty(), "host name in the request is empty");
    verify_host_name(certificate, name)?;
    Ok(name.to_owned())
}

/// Registers a connection of a peer, and closes the peer's oldest one if it has too many.
fn register(shared: &Shared, name: &str, close_token: &CancellationToken) {
    let mut connections = shared.inbound_connections.lock();
    connections.retain(|it| !it.1.is_cancelled());
    connections.push((name.to_owned(), close_token.clone()));
    let count = connections.iter().filter(|it| it.0 == name).count();
    if count > shared.settings.max_inbound_connections_per_peer
        && let Some(oldest) = connections.iter().find(|it| it.0 == name)
    {
        log::info!(target: LOG_TARGET, "closing the oldest of {count} connections from `{name}`");
        oldest.1.cancel();
    }
}

/// Counts an inbound connection as open until it is dropped.
struct InboundCountGuard(Arc<Shared>);

impl Drop for InboundCountGuard {
    fn drop(&mut self) {
        self.0.inbound_count.fetch_sub(1, Ordering::Relaxed);
    }
}
