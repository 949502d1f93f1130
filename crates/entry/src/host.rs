//! Entry host: start, shared state, listeners and graceful shutdown.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use anyhow::Context as _;
use arc_swap::ArcSwap;
use kingcupford_config::Snapshot;
use kingcupford_engine::{Engine, EngineSettings, Envelope, Status, Ticket};
use kingcupford_fleet::{HostIdentity, ListedHost};
use kingcupford_peer::{Frame, Transport, TransportSettings};
use kingcupford_platform::{HttpObjectStore, HttpStoreSettings};
use kingcupford_telemetry::{Event, Metrics};
use parking_lot::Mutex;
use poem::{
    Server,
    listener::{Acceptor, AcceptorExt as _, Listener, TcpListener},
};
use rand::Rng as _;
use tokio::{
    sync::{Notify, mpsc, watch},
    time::Instant,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    admin::AdminApi,
    api::CallerApi,
    certificate, control,
    era::EraDialect,
    listener::{CallerListener, Connections},
    settings::Settings,
    upstream::UpstreamClient,
};

/// Time after the listener for callers is closed within which requests on accepted connections must
/// begin to arrive.
const RECEIVE_TIME: Duration = Duration::from_millis(500);

/// State that the listeners and control loops of one host share.
pub(crate) struct Host {
    pub(crate) settings: Settings,
    pub(crate) engine: Mutex<Engine>,
    /// Active configuration, readable without the lock of the engine.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) metrics: Metrics,
    pub(crate) upstreams: UpstreamClient,
    pub(crate) store: Arc<HttpObjectStore<EraDialect>>,
    pub(crate) transport: Transport,
    /// Wakes requests that wait for a slot. The value is the last ticket that was placed.
    pub(crate) placed_ticket: watch::Sender<Ticket>,
    /// Wakes the tick loop after a request found a resource short, so that loans are requested
    /// immediately.
    pub(crate) share_tick: Notify,
    pub(crate) connections: Arc<Connections>,
    /// Cancelled to end the control loops, the sweep of connections and the admin server.
    pub(crate) loops_stopped: CancellationToken,
    /// Cancelled to cut requests that still run.
    pub(crate) requests_cancelled: CancellationToken,
}

impl Host {
    /// Sends messages of the engine to peers; messages to unknown hosts are dropped.
    pub(crate) fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let address = self.engine.lock().peer_address(&envelope.to);
            let Some(address) = address else { continue };
            match envelope.message.encode() {
                Ok(payload) => {
                    control::record_traffic(self, "out", payload.len());
                    let frame = Frame::new(envelope.message.kind(), payload);
                    self.transport.send(&envelope.to, address, frame);
                }
                Err(error) => {
                    Event::PeerFailed.log(format_args!("message is not encodable: {error}"));
                }
            }
        }
    }

    /// Wakes requests that were placed by the last call of the engine, and the tick loop if a
    /// resource is short.
    pub(crate) fn wake_waiters(&self, engine: &Engine) {
        if let Some(ticket) = engine.ready_tickets().last() {
            self.placed_ticket.send_replace(ticket);
        }
        if engine.needs_share_tick() {
            self.share_tick.notify_one();
        }
    }
}

/// A running entry host.
pub struct EntryHost {
    host: Arc<Host>,
    caller_address: SocketAddr,
    admin_address: SocketAddr,
    /// Cancelled to close the listener for callers.
    listener_closed: CancellationToken,
    /// Cancelled when idle connections of callers are to be closed.
    callers_stopped: CancellationToken,
    /// Tasks of the servers and control loops.
    tasks: TaskTracker,
}

/// Result of [`EntryHost::shutdown`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Number of requests that were cut before their response was delivered completely.
    pub cut_requests: usize,
}

impl EntryHost {
    /// Opens the listeners and starts to serve.
    ///
    /// Fails if a listener cannot be bound or a certificate is unusable. Without the platform the
    /// host starts and serves once a peer has sent it a configuration.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let identity = HostIdentity {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: unix_ms(),
            peer_address: settings.peer_address,
            public_addresses: settings.public_addresses.clone(),
        };
        let (peer_events, peer_inbox) = mpsc::unbounded_channel();
        let transport = Transport::bind(transport_settings(&settings), move |event| {
            // Sending fails only after the host has stopped.
            let _ = peer_events.send(event);
        })
        .await?;
        let engine_settings =
            EngineSettings { seeds: seed_hosts(&settings), ..EngineSettings::default() };
        let seed = rand::rng().random();
        let engine = Engine::new(identity, engine_settings, seed, Instant::now());
        let store_settings = HttpStoreSettings::new(&settings.platform_url);
        let store = HttpObjectStore::with_dialect(store_settings, EraDialect::default())?;
        let host = Arc::new(Host {
            engine: Mutex::new(engine),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            metrics: Metrics::new(),
            upstreams: UpstreamClient::new()?,
            store: Arc::new(store),
            transport,
            placed_ticket: watch::Sender::new(Ticket(0)),
            share_tick: Notify::new(),
            connections: Connections::new(
                settings.limits.idle_timeout(),
                settings.limits.max_connections,
            ),
            loops_stopped: CancellationToken::new(),
            requests_cancelled: CancellationToken::new(),
            settings,
        });
        let tasks = TaskTracker::new();
        let listener_closed = CancellationToken::new();
        let callers_stopped = CancellationToken::new();
        let caller_address =
            serve_callers(&host, &tasks, &listener_closed, &callers_stopped).await?;
        let admin_address = serve_admin(&host, &tasks).await?;
        control::spawn(&host, &tasks, peer_inbox);
        Event::HostStarted.log(format_args!(
            "{} in zone {} serves callers at {caller_address} and peers at {}",
            host.settings.name,
            host.settings.zone,
            host.transport.local_address(),
        ));
        Ok(Self { host, caller_address, admin_address, listener_closed, callers_stopped, tasks })
    }

    /// Returns the address at which callers are accepted.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address at which health, readiness, status and metrics are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the status that operators read at `/status`.
    pub fn status(&self) -> Status {
        self.host.engine.lock().status(Instant::now())
    }

    /// Shuts down gracefully.
    ///
    /// This host is marked as draining, so that lookup answers stop naming it, and refuses requests
    /// whose deadline lies beyond `shutdown_deadline_ms`. After `drain_notice_ms` the listener for
    /// callers is closed, running requests are finished, and the share of this host is handed over to
    /// the other hosts. Requests that still run at `shutdown_deadline_ms` are cut. Completion of
    /// `abort_wait`, for example at a second signal, cuts them early.
    pub async fn shutdown(self, abort_wait: impl Future<Output = ()>) -> ShutdownReport {
        let host = &self.host;
        let deadline = Duration::from_millis(host.settings.shutdown_deadline_ms);
        let in_flight = host.engine.lock().in_flight();
        Event::DrainStarted.log(format_args!("{in_flight} requests run, deadline {deadline:?}"));
        let started_at = Instant::now();
        {
            let mut engine = host.engine.lock();
            engine.set_draining(started_at);
            engine.set_cut_at(started_at + deadline);
        }
        // Requests that wait for a slot and may run beyond the deadline are refused now.
        host.placed_ticket.send_modify(|_| ());
        let drained = async {
            // Callers with a cached lookup answer may still connect and are served until the notice
            // ends.
            tokio::time::sleep(Duration::from_millis(host.settings.drain_notice_ms)).await;
            self.listener_closed.cancel();
            // The HTTP server closes connections whose request it has not begun to read.
            tokio::time::sleep(RECEIVE_TIME).await;
            self.callers_stopped.cancel();
            // The end of a response can still be buffered for a slow caller after its request has
            // ended.
            while host.engine.lock().in_flight() > 0 || host.connections.undelivered() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let is_drained = tokio::select! {
            biased;
            () = drained => true,
            () = abort_wait => false,
            () = tokio::time::sleep(deadline) => false,
        };
        let running = host.engine.lock().in_flight();
        let undelivered =
            if self.callers_stopped.is_cancelled() { host.connections.undelivered() } else { 0 };
        let cut_requests = if is_drained { 0 } else { running + undelivered };
        if cut_requests > 0 {
            host.metrics.requests_cut.inc_by(cut_requests as u64);
            Event::RequestsCut.log(format_args!("{cut_requests} requests"));
        }
        self.listener_closed.cancel();
        self.callers_stopped.cancel();
        host.requests_cancelled.cancel();
        host.engine.lock().start_handover(Instant::now());
        self.wait_for_handover().await;
        host.loops_stopped.cancel();
        self.tasks.close();
        // A server that waits for idle connections must not delay the end of the process.
        let _ = tokio::time::timeout(Duration::from_secs(2), self.tasks.wait()).await;
        if cut_requests == 0 {
            Event::DrainFinished.log(format_args!("no request was cut"));
        }
        ShutdownReport { cut_requests }
    }

    /// Stops the host immediately, without a drain or a handover of the share, as a crash would.
    pub fn abort(self) {
        self.listener_closed.cancel();
        self.callers_stopped.cancel();
        self.host.requests_cancelled.cancel();
        self.host.loops_stopped.cancel();
    }

    /// Waits up to 1 s for the handover of the share.
    async fn wait_for_handover(&self) {
        let completed = async {
            while !self.host.engine.lock().is_handover_complete() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        // Without the platform, the other hosts reclaim the share after the lease has expired.
        let _ = tokio::time::timeout(Duration::from_secs(1), completed).await;
    }
}

/// Returns the time in milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Returns the settings of the transport between hosts.
fn transport_settings(settings: &Settings) -> TransportSettings {
    let tls = &settings.peer_tls;
    TransportSettings::new(
        &settings.name,
        settings.peer_listen,
        tls.ca_file.clone().into(),
        tls.certificate_file.clone().into(),
        tls.key_file.clone().into(),
    )
}

/// Returns the seeds as hosts from which the membership view starts.
fn seed_hosts(settings: &Settings) -> Vec<ListedHost> {
    let seeds = settings.seeds.iter();
    seeds
        .map(|it| ListedHost {
            name: it.name.clone(),
            zone: it.zone.clone(),
            peer_address: it.peer_address,
            public_addresses: Vec::new(),
            draining: false,
        })
        .collect()
}

/// Starts the server for callers and returns the address of its listener.
async fn serve_callers(
    host: &Arc<Host>,
    tasks: &TaskTracker,
    listener_closed: &CancellationToken,
    callers_stopped: &CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let connections = Arc::clone(&host.connections);
    let listener = CallerListener::new(
        host.settings.listen,
        Arc::clone(&connections),
        listener_closed.clone(),
    );
    let acceptor = match &host.settings.tls {
        None => listener.into_acceptor().await?.boxed(),
        Some(tls) => {
            let tls_configs = Box::pin(certificate::tls_configs(tls)?);
            listener.rustls(tls_configs).into_acceptor().await?.boxed()
        }
    };
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|it| it.as_socket_addr().copied())
        .context("listener has no IP address")?;
    let loops_stopped = host.loops_stopped.clone();
    let sweep = connections.sweep();
    tasks.spawn(async move { loops_stopped.run_until_cancelled(sweep).await });
    let server = Server::new_with_acceptor(acceptor);
    let api = CallerApi::new(Arc::clone(host));
    let callers_stopped = callers_stopped.clone();
    let deadline = Duration::from_millis(host.settings.shutdown_deadline_ms);
    tasks.spawn(async move {
        let signal = callers_stopped.cancelled();
        let _ = server.run_with_graceful_shutdown(api, signal, Some(deadline)).await;
    });
    Ok(address)
}

/// Starts the server for operators and returns the address of its listener.
async fn serve_admin(host: &Arc<Host>, tasks: &TaskTracker) -> anyhow::Result<SocketAddr> {
    let acceptor = TcpListener::bind(host.settings.admin_listen).into_acceptor().await?;
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|it| it.as_socket_addr().copied())
        .context("listener has no IP address")?;
    let api = AdminApi::new(Arc::clone(host));
    let loops_stopped = host.loops_stopped.clone();
    tasks.spawn(async move {
        let server = Server::new_with_acceptor(acceptor);
        let signal = loops_stopped.cancelled();
        let timeout = Some(Duration::from_millis(200));
        let _ = server.run_with_graceful_shutdown(api, signal, timeout).await;
    });
    Ok(address)
}
