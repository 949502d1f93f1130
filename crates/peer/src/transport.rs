//! The transport of one host: its listener, its connections and their common state.

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
    inbound, outbound,
    queue::Queue,
    settings::TransportSettings,
    tls::{PemFiles, Tls},
};

/// Target of log lines.
pub(crate) const LOG: &str = "kingcupford::peer";

/// Sends frames to peers and receives theirs; dropping it ends all connections at once.
#[derive(Debug)]
pub struct Transport {
    /// What connections share.
    shared: Arc<Shared>,
    /// Address of the listener.
    local_address: SocketAddr,
}

/// What the transport reports to its owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerEvent {
    /// A frame arrived.
    FrameReceived {
        /// Verified name of the sender.
        from: String,
        /// The frame.
        frame: Frame,
    },
    /// An outbound connection was established.
    Connected {
        /// The peer.
        peer: String,
    },
    /// An outbound connection could not be established.
    ConnectFailed {
        /// The peer.
        peer: String,
        /// Why.
        reason: String,
        /// Whether the operating system answered that nothing listens at the peer's address. A
        /// process keeps its peer address bound for its whole life, so an unbound address proves
        /// that the process has ended; a timeout or a failed handshake does not.
        is_connection_refused: bool,
    },
    /// An established outbound connection broke.
    ConnectionLost {
        /// The peer.
        peer: String,
        /// Why.
        reason: String,
    },
}

/// What all connections of a transport share.
pub(crate) struct Shared {
    /// The settings.
    pub(crate) settings: TransportSettings,
    /// Called for each event, on the task of the connection; it must not block.
    pub(crate) on_event: Box<dyn Fn(PeerEvent) + Send + Sync>,
    /// Counters.
    pub(crate) counters: Arc<TransportCounters>,
    /// Queues of the peers with an outbound task, sorted by name.
    pub(crate) queues: Mutex<Vec<(String, Arc<Queue>)>>,
    /// Inbound connections by peer, oldest first.
    pub(crate) inbound: Mutex<Vec<(String, CancellationToken)>>,
    /// Number of inbound connections.
    pub(crate) inbound_count: AtomicUsize,
    /// Configurations for new connections.
    pub(crate) tls: watch::Sender<Tls>,
    /// Ends the listener and lets outbound tasks finish.
    pub(crate) closing: CancellationToken,
    /// Ends everything.
    pub(crate) ended: CancellationToken,
    /// Tasks that send, which a graceful close waits for.
    pub(crate) senders: TaskTracker,
    /// All other tasks.
    pub(crate) tasks: TaskTracker,
    /// The files that the newest configuration came from.
    files: Mutex<PemFiles>,
}

impl Transport {
    /// Opens the listener and starts to accept peers.
    pub async fn bind(
        settings: TransportSettings,
        on_event: impl Fn(PeerEvent) + Send + Sync + 'static,
    ) -> anyhow::Result<Self> {
        let files = PemFiles::read(&settings)?;
        let tls = Tls::new(&settings.host_name, &files, 0)?;
        let listener = TcpListener::bind(settings.listen_address)
            .await
            .with_context(|| format!("peer address {} cannot be bound", settings.listen_address))?;
        let local_address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            settings,
            on_event: Box::new(on_event),
            counters: Arc::new(TransportCounters::new()),
            queues: Mutex::new(Vec::new()),
            inbound: Mutex::new(Vec::new()),
            inbound_count: AtomicUsize::new(0),
            tls: watch::Sender::new(tls),
            closing: CancellationToken::new(),
            ended: CancellationToken::new(),
            senders: TaskTracker::new(),
            tasks: TaskTracker::new(),
            files: Mutex::new(files),
        });
        shared.spawn(&shared.tasks, inbound::listen(Arc::clone(&shared), listener));
        shared.spawn(&shared.tasks, watch_files(Arc::clone(&shared)));
        Ok(Self { shared, local_address })
    }

    /// Queues a frame for a peer; never waits. A changed address takes effect with the next
    /// connection, which is made at once.
    pub fn send(&self, peer: &str, address: SocketAddr, frame: Frame) {
        if self.shared.closing.is_cancelled() {
            return;
        }
        let shared = &self.shared;
        let mut queues = shared.queues.lock();
        let at = match queues.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            Ok(at) => at,
            Err(at) => {
                let queue = Arc::new(Queue::new(address));
                queues.insert(at, (peer.to_owned(), Arc::clone(&queue)));
                let task = outbound::run(Arc::clone(shared), peer.to_owned(), queue);
                shared.spawn(&shared.senders, task);
                at
            }
        };
        // Pushed under the lock, so that an idle task cannot end between look-up and push.
        let queue = &queues[at].1;
        queue.push(address, frame, &shared.settings, &shared.counters, Instant::now());
    }

    /// Reads the certificate files again; on an error the former certificates stay in use.
    pub fn reload_certificates(&self) -> anyhow::Result<()> {
        self.shared.reload_certificates()
    }

    /// Counters of the transport.
    pub fn counters(&self) -> Arc<TransportCounters> {
        Arc::clone(&self.shared.counters)
    }

    /// Address of the listener.
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Sends what is queued, ends the streams and closes all connections.
    pub async fn close(self) {
        self.shared.closing.cancel();
        self.shared.senders.close();
        self.shared.tasks.close();
        let time = Duration::from_millis(self.shared.settings.close_timeout_ms);
        // Inbound connections stay open meanwhile, so that peers can finish what they send.
        if timeout(time, self.shared.senders.wait()).await.is_err() {
            log::info!(target: LOG, "connections still open after {time:?} are cut");
        }
        self.shared.ended.cancel();
        self.shared.senders.wait().await;
        self.shared.tasks.wait().await;
    }
}

impl Drop for Transport {
    fn drop(&mut self) {
        self.shared.closing.cancel();
        self.shared.ended.cancel();
    }
}

impl Shared {
    /// Starts a task that ends with the transport.
    pub(crate) fn spawn(
        &self,
        tracker: &TaskTracker,
        task: impl Future<Output = ()> + Send + 'static,
    ) {
        let ended = self.ended.clone();
        tracker.spawn(async move {
            tokio::select! {
                () = ended.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Puts changed certificate files into use.
    fn reload_certificates(&self) -> anyhow::Result<()> {
        let files = PemFiles::read(&self.settings)?;
        let mut current = self.files.lock();
        if *current == files {
            return Ok(());
        }
        let generation = self.tls.borrow().generation + 1;
        let tls = Tls::new(&self.settings.host_name, &files, generation)?;
        *current = files;
        self.tls.send_replace(tls);
        log::info!(target: LOG, "certificates reloaded");
        Ok(())
    }
}

impl std::fmt::Debug for Shared {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Shared").field("settings", &self.settings).finish_non_exhaustive()
    }
}

/// Looks at the certificate files from time to time.
async fn watch_files(shared: Arc<Shared>) {
    let mut looks = interval(Duration::from_millis(shared.settings.certificate_reload_interval_ms));
    looks.tick().await;
    loop {
        tokio::select! {
            () = shared.closing.cancelled() => return,
            _ = looks.tick() => {}
        }
        if let Err(error) = shared.reload_certificates() {
            log::warn!(target: LOG, "certificates not reloaded, former ones stay in use: {error:#}");
        }
    }
}
