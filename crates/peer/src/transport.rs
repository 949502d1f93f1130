//! Transport of a host: listener, connections to all peers and the state they share.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::AtomicUsize},
    time::Duration,
};

use anyhow::Context as _;
use parking_lot::Mutex;
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{Instant, interval, timeout},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    counters::TransportCounters,
    frame::Frame,
    frame_queue::FrameQueue,
    inbound, outbound,
    settings::TransportSettings,
    tls::{PemFiles, TlsConfigs},
};

/// Target of this crate's log lines.
pub(crate) const LOG_TARGET: &str = "kingcupford::peer";

/// Sends frames to peers and receives frames from them. Dropping the transport aborts all
/// connections at once; [`Transport::close`] closes them gracefully.
#[derive(Debug)]
pub struct Transport {
    shared: Arc<Shared>,
    local_address: SocketAddr,
}

/// Event that a transport reports through the callback given to [`Transport::bind`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerEvent {
    /// A frame was received.
    FrameReceived {
        /// Host name of the sender, verified against its certificate.
        from: String,
        /// Received frame, of any kind and protocol version.
        frame: Frame,
    },
    /// An outbound connection was established.
    Connected {
        /// Host name of the peer.
        peer: String,
    },
    /// An outbound connection could not be established.
    ConnectFailed {
        /// Host name of the peer.
        peer: String,
        /// Error message with its causes.
        reason: String,
        /// Whether the operating system refused the TCP connection because nothing listens at the
        /// peer's address. A process keeps its peer address bound for its whole lifetime, so a
        /// refusal proves that the process has ended; a timeout or a failed handshake does not.
        is_connection_refused: bool,
    },
    /// An established outbound connection broke.
    ConnectionLost {
        /// Host name of the peer.
        peer: String,
        /// Error message with its causes.
        reason: String,
    },
}

/// State shared by the transport and its tasks.
pub(crate) struct Shared {
    pub(crate) settings: TransportSettings,
    /// Called for each event on the task of the connection; must not block.
    pub(crate) on_event: Box<dyn Fn(PeerEvent) + Send + Sync>,
    pub(crate) counters: Arc<TransportCounters>,
    /// Queues of the peers that have an outbound task, sorted by host name.
    pub(crate) queues: Mutex<Vec<(String, Arc<FrameQueue>)>>,
    /// Host name of the peer and close token of each inbound connection, oldest first.
    pub(crate) inbound_connections: Mutex<Vec<(String, CancellationToken)>>,
    /// Number of accepted inbound connections, including those without a verified host name yet.
    pub(crate) inbound_count: AtomicUsize,
    /// TLS configurations for new connections.
    pub(crate) tls: watch::Sender<TlsConfigs>,
    /// Stops the listener and lets outbound tasks send their queued frames and end.
    pub(crate) closing: CancellationToken,
    /// Aborts all tasks.
    pub(crate) aborted: CancellationToken,
    /// Tasks of outbound connections, which a graceful close waits for.
    pub(crate) outbound_tasks: TaskTracker,
    /// Tasks of the listener, the inbound connections and the certificate files.
    pub(crate) background_tasks: TaskTracker,
    /// Contents of the files that `tls` was built from.
    pem_files: Mutex<PemFiles>,
}

impl Transport {
    /// Binds the listener and starts accepting connections. Events are reported to `on_event`,
    /// which is called on the tasks of the connections and must not block. Fails if the certificate
    /// files are unusable or the address cannot be bound.
    pub async fn bind(
        settings: TransportSettings,
        on_event: impl Fn(PeerEvent) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let pem_files = PemFiles::read(&settings)?;
        let tls = TlsConfigs::new(&settings.host_name, &pem_files, 0)?;
        let listener = TcpListener::bind(settings.listen_address)
            .await
            .with_context(|| format!("cannot bind the peer address {}", settings.listen_address))?;
        let local_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            on_event: Box::new(on_event),
            counters: Arc::new(TransportCounters::new()),
            queues: Mutex::new(Vec::new()),
            inbound_connections: Mutex::new(Vec::new()),
            inbound_count: AtomicUsize::new(0),
            tls: watch::Sender::new(tls),
            closing: CancellationToken::new(),
            aborted: CancellationToken::new(),
            outbound_tasks: TaskTracker::new(),
            background_tasks: TaskTracker::new(),
            pem_files: Mutex::new(pem_files),
        });
        shared.spawn(
            &shared.background_tasks,
            inbound::accept_connections(Arc::clone(&shared), listener),
        );
        shared.spawn(&shared.background_tasks, watch_certificate_files(Arc::clone(&shared)));
        Ok(Self { shared, local_address })
    }

    /// Queues a frame for a peer without blocking; does nothing once the transport is closing. If
    /// the address differs from that of the previous call, the connection to the peer is replaced
    /// at once by one to the new address.
    pub fn send(&self, peer: &str, address: SocketAddr, frame: Frame) {
        if self.shared.closing.is_cancelled() {
            return;
        }
        let shared = &self.shared;
        let mut queues = shared.queues.lock();
        let index = match queues.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            Ok(index) => index,
            Err(index) => {
                let queue = Arc::new(FrameQueue::new(address));
                queues.insert(index, (peer.to_owned(), Arc::clone(&queue)));
                let task = outbound::run(Arc::clone(shared), peer.to_owned(), queue);
                shared.spawn(&shared.outbound_tasks, task);
                index
            }
        };
        // The frame is pushed under the lock, so that an idle outbound task cannot remove its queue
        // between lookup and push.
        let queue = &queues[index].1;
        queue.push(address, frame, &shared.settings, &shared.counters, Instant::now());
    }

    /// Reloads the certificate files if they changed. On an error, the previous certificates stay
    /// in use.
    pub fn reload_certificates(&self) -> anyhow::Result<()> {
        self.shared.reload_certificates()
    }

    /// Counters of frames and connections since the start.
    pub fn counters(&self) -> Arc<TransportCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Address that the listener is bound to, with the actual port if the settings gave port 0.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Sends the queued frames, ends the streams and closes all connections. Aborts outbound
    /// connections that take longer than the close timeout.
    pub async fn close(self) {
        self.shared.closing.cancel();
        self.shared.outbound_tasks.close();
        self.shared.background_tasks.close();
        let close_timeout = Duration::from_millis(self.shared.settings.close_timeout_ms);
        // Inbound connections stay open meanwhile, so that peers can send their remaining frames.
        if timeout(close_timeout, self.shared.outbound_tasks.wait()).await.is_err() {
            log::info!(
                target: LOG_TARGET,
                "aborting connections still open after {close_timeout:?}"
            );
        }
        self.shared.aborted.cancel();
        self.shared.outbound_tasks.wait().await;
        self.shared.background_tasks.wait().await;
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.shared.closing.cancel();
        self.shared.aborted.cancel();
    }
}

impl Shared {
    /// Spawns a task that is aborted with the transport.
    pub(crate) fn spawn(
        &self,
        tracker: &TaskTracker,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let aborted = self.aborted.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = aborted.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Builds new TLS configurations if the certificate files changed.
    fn reload_certificates(&self) -> anyhow::Result<()> {
        let pem_files = PemFiles::read(&self.settings)?;
        let mut current = self.pem_files.lock();
        if *current == pem_files {
            return Ok(());
        }
        let generation = self.tls.borrow().generation + 1;
        let tls = TlsConfigs::new(&self.settings.host_name, &pem_files, generation)?;
        *current = pem_files;
        self.tls.send_replace(tls);
        log::info!(target: LOG_TARGET, "certificates reloaded");
        Ok(())
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Checks the certificate files for changes at regular intervals.
async fn watch_certificate_files(shared: Arc<Shared>) {
    let mut ticks = interval(Duration::from_millis(shared.settings.certificate_reload_interval_ms));
    ticks.tick().await;
    loop {
        tokio::select! {
            () = shared.closing.cancelled() => return,
            _ = ticks.tick() => {}
        }
        if let Err(error) = shared.reload_certificates() {
            log::warn!(
                target: LOG_TARGET,
                "cannot reload certificates, previous ones stay in use: {error:#}"
            );
        }
    }
}
