//! Connections that peers open.

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
    tls::check_name,
    transport::{LOG, PeerEvent, Shared},
};

/// Wait after a failed accept, which is mostly a lack of file descriptors.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Most streams of one connection; peers use one.
const STREAMS: u32 = 2;

/// Bytes that a peer may send ahead on one stream.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Bytes that a peer may send ahead on all streams of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 512 * 1024;

/// Largest headers of a request; the only one of use is the host name.
const HEADER_BYTES: u32 = 4 * 1024;

/// Accepts connections until the transport closes.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            () = shared.closing.cancelled() => return,
            it = listener.accept() => it,
        };
        let (tcp, address) = match accepted {
            Ok(it) => it,
            Err(error) => {
                log::warn!(target: LOG, "accepting a connection failed: {error}");
                sleep(ACCEPT_RETRY).await;
                continue;
            }
        };
        let count = shared.inbound_count.fetch_add(1, Ordering::Relaxed);
        let slot = Slot(Arc::clone(&shared));
        if count >= shared.settings.max_inbound_connections {
            add(&shared.counters.inbound_rejections, 1);
            log::warn!(target: LOG, "connection from {address} closed: {count} are open");
            continue;
        }
        let task = serve(Arc::clone(&shared), tcp, address);
        shared.spawn(&shared.tasks, async move {
            let _slot = slot;
            task.await;
        });
    }
}

/// Serves one connection, and ends it with a log line when it breaks the protocol.
async fn serve(shared: Arc<Shared>, tcp: TcpStream, address: SocketAddr) {
    let ended = CancellationToken::new();
    let served = tokio::select! {
        it = serve_streams(&shared, tcp, &ended) => it,
        () = ended.cancelled() => Ok(()),
    };
    ended.cancel();
    if let Err(error) = served {
        add(&shared.counters.inbound_rejections, 1);
        log::warn!(target: LOG, "connection from {address} ended: {error:#}");
    }
}

/// Accepts the streams of one connection.
async fn serve_streams(
    shared: &Arc<Shared>,
    tcp: TcpStream,
    ended: &CancellationToken,
) -> anyhow::Result<()> {
    let handshake = Duration::from_millis(shared.settings.handshake_timeout_ms);
    tcp.set_nodelay(true)?;
    let acceptor = TlsAcceptor::from(Arc::clone(&shared.tls.borrow().server));
    let opened = async {
        let stream = acceptor.accept(tcp).await.context("TLS handshake")?;
        let chain = stream.get_ref().1.peer_certificates();
        let certificate = chain.and_then(|it| it.first()).context("peer has no certificate")?;
        let certificate = certificate.clone().into_owned();
        let connection = server::Builder::new()
            .max_concurrent_streams(STREAMS)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(HEADER_BYTES)
            .handshake::<_, Bytes>(stream)
            .await
            .context("HTTP/2 handshake")?;
        anyhow::Ok((certificate, connection))
    };
    let (certificate, mut connection) = timeout(handshake, opened)
        .await
        .with_context(|| format!("no handshake within {handshake:?}"))??;
    let mut first = true;
    loop {
        // A peer that connects but opens no stream holds a connection for nothing. Later ends are
        // up to the stream, which has its own idle time.
        let accepted = if std::mem::take(&mut first) {
            let accepted = timeout(handshake, connection.accept()).await;
            accepted.with_context(|| format!("no stream opened within {handshake:?}"))?
        } else {
            connection.accept().await
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (request, mut respond) = accepted.context("HTTP/2")?;
        let name = match announced_name(&request, &certificate) {
            Ok(it) => it,
            Err(error) => {
                let mut response = Response::new(());
                *response.status_mut() = StatusCode::FORBIDDEN;
                let _ = respond.send_response(response, true);
                connection.graceful_shutdown();
                // A broken connection reports its error at each call without ever being pending, so
                // only accepted streams continue the loop.
                let closed = async { while let Some(Ok(_)) = connection.accept().await {} };
                let _ = timeout(handshake, closed).await;
                return Err(error);
            }
        };
        let mut body = respond.send_response(Response::new(()), false).context("HTTP/2")?;
        register(shared, &name, ended);
        log::debug!(target: LOG, "`{name}` opened a stream");
        let (task_shared, ended) = (Arc::clone(shared), ended.clone());
        shared.spawn(&shared.tasks, async move {
            let received = tokio::select! {
                it = receive(&task_shared, &name, request.into_body()) => it,
                () = ended.cancelled() => Ok(()),
            };
            match received {
                Ok(()) => {
                    let _ = body.send_data(Bytes::new(), true);
                }
                Err(error) => {
                    add(&task_shared.counters.inbound_rejections, 1);
                    log::warn!(target: LOG, "connection of `{name}` ended: {error:#}");
                    body.send_reset(Reason::PROTOCOL_ERROR);
                    ended.cancel();
                }
            }
        });
    }
}

/// Reads the frames of one stream.
async fn receive(shared: &Shared, name: &str, mut body: RecvStream) -> anyhow::Result<()> {
    let idle = Duration::from_millis(shared.settings.idle_timeout_ms * 2);
    let mut decoder = FrameDecoder::default();
    loop {
        let data = timeout(idle, body.data()).await;
        let data = data.with_context(|| format!("no frame within {idle:?}"))?;
        let Some(data) = data else {
            decoder.finish()?;
            return Ok(());
        };
        let data = data.context("HTTP/2")?;
        decoder.push(&data);
        while let Some((frame, size_bytes)) = decoder.next_frame()? {
            shared.counters.count_in(frame.kind, size_bytes);
            (shared.on_event)(PeerEvent::FrameReceived { from: name.to_owned(), frame });
        }
        body.flow_control().release_capacity(data.len()).context("HTTP/2")?;
    }
}

/// The name that a peer announces, checked against its certificate.
fn announced_name(
    request: &Request<RecvStream>,
    certificate: &CertificateDer<'_>,
) -> anyhow::Result<String> {
    let name = request.headers().get(HOST_HEADER).context("peer announces no name")?;
    let name = name.to_str().context("peer announces a name that is not text")?;
    ensure!(!name.is_empty(), "peer announces an empty name");
    check_name(certificate, name)?;
    Ok(name.to_owned())
}

/// Remembers a connection of a peer, and ends its oldest one when it has too many.
fn register(shared: &Shared, name: &str, ended: &CancellationToken) {
    let mut inbound = shared.inbound.lock();
    inbound.retain(|it| !it.1.is_cancelled());
    inbound.push((name.to_owned(), ended.clone()));
    let count = inbound.iter().filter(|it| it.0 == name).count();
    if count > shared.settings.max_inbound_connections_per_peer
        && let Some(oldest) = inbound.iter().find(|it| it.0 == name)
    {
        log::info!(target: LOG, "oldest of {count} connections of `{name}` is closed");
        oldest.1.cancel();
    }
}

/// One counted inbound connection.
struct Slot(Arc<Shared>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.inbound_count.fetch_sub(1, Ordering::Relaxed);
    }
}
