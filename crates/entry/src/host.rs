//! One running entry host: its listeners, its control loops and its shutdown.

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
    listener::{CallerListener, Connections},
    settings::Settings,
    upstream::Upstreams,
};

/// What the parts of one host share.
pub(crate) struct Host {
    /// The settings.
    pub(crate) settings: Settings,
    /// The policy.
    pub(crate) engine: Mutex<Engine>,
    /// The active configuration, readable without the policy's lock.
    pub(crate) snapshot: ArcSwap<Snapshot>,
    /// Metrics.
    pub(crate) metrics: Metrics,
    /// Connections to upstreams.
    pub(crate) upstreams: Upstreams,
    /// The platform.
    pub(crate) store: Arc<HttpObjectStore>,
    /// Connections to peers.
    pub(crate) transport: Transport,
    /// Wakes requests that wait for a slot, with the last ticket that was placed.
    pub(crate) placed: watch::Sender<Ticket>,
    /// Wakes the control loop when a request found a resource short.
    pub(crate) share_tick: Notify,
    /// Connections of callers.
    pub(crate) connections: Arc<Connections>,
    /// Ends the control loops.
    pub(crate) stopped: CancellationToken,
    /// Cuts requests that still run.
    pub(crate) cut: CancellationToken,
}

impl Host {
    /// Sends messages of the policy to peers.
    pub(crate) fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let address = self.engine.lock().peer_address(&envelope.to);
            let Some(address) = address else { continue };
            match envelope.message.encode() {
                Ok(payload) => {
                    control::count(self, "out", payload.len());
                    let frame = Frame::new(envelope.message.kind(), payload);
                    self.transport.send(&envelope.to, address, frame);
                }
                Err(error) => {
                    Event::PeerFailed.log(format_args!("message is not encodable: {error}"));
                }
            }
        }
    }

    /// Wakes requests that were placed by the last change of the policy.
    pub(crate) fn wake_placed(&self, engine: &Engine) {
        if let Some(ticket) = engine.ready_tickets().last() {
            self.placed.send_replace(ticket);
        }
        if engine.needs_share_tick() {
            self.share_tick.notify_one();
        }
    }
}

/// A running entry host.
pub struct EntryHost {
    /// What its parts share.
    host: Arc<Host>,
    /// Where callers are accepted.
    caller_address: SocketAddr,
    /// Where health, readiness and metrics are served.
    admin_address: SocketAddr,
    /// Closes the callers' listener.
    listener: CancellationToken,
    /// Servers and control loops.
    tasks: TaskTracker,
}

/// How a shutdown ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that were cut.
    pub cut_requests: usize,
}

impl EntryHost {
    /// Opens the listeners and starts to serve.
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
            // The receiver ends only with the host.
            let _ = peer_events.send(event);
        })
        .await?;
        let engine_settings =
            EngineSettings { seeds: candidates(&settings), ..EngineSettings::default() };
        let seed = rand::rng().random();
        let engine = Engine::new(identity, engine_settings, seed, Instant::now());
        let host = Arc::new(Host {
            engine: Mutex::new(engine),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            metrics: Metrics::new(),
            upstreams: Upstreams::new()?,
            store: Arc::new(HttpObjectStore::new(HttpStoreSettings::new(&settings.platform_url))?),
            transport,
            placed: watch::Sender::new(Ticket(0)),
            share_tick: Notify::new(),
            connections: Connections::new(
                settings.limits.idle_timeout(),
                settings.limits.max_connections,
            ),
            stopped: CancellationToken::new(),
            cut: CancellationToken::new(),
            settings,
        });
        let tasks = TaskTracker::new();
        let listener = CancellationToken::new();
        let caller_address = serve_callers(&host, &tasks, &listener).await?;
        let admin_address = serve_admin(&host, &tasks).await?;
        control::spawn(&host, &tasks, peer_inbox);
        Event::HostStarted.log(format_args!(
            "{} in zone {} serves callers at {caller_address} and peers at {}",
            host.settings.name,
            host.settings.zone,
            host.transport.local_address(),
        ));
        Ok(Self { host, caller_address, admin_address, listener, tasks })
    }

    /// Where callers are accepted.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where health, readiness and metrics are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// What operators see.
    pub fn status(&self) -> Status {
        self.host.engine.lock().status(Instant::now())
    }

    /// Shuts down gracefully: takes no new work, finishes what runs, hands the share back.
    ///
    /// `hurry` ends the wait early, such as by a second signal.
    pub async fn shutdown(self, hurry: impl Future<Output = ()>) -> ShutdownReport {
        let host = &self.host;
        let deadline = Duration::from_millis(host.settings.shutdown_deadline_ms);
        let in_flight = host.engine.lock().in_flight();
        Event::DrainStarted.log(format_args!("{in_flight} requests run, deadline {deadline:?}"));
        host.engine.lock().set_draining(Instant::now());
        let finished = async {
            // Callers with a cached lookup answer still come and are served meanwhile.
            tokio::time::sleep(Duration::from_millis(host.settings.drain_notice_ms)).await;
            self.listener.cancel();
            // The end of an answer can wait for a slow caller after its request has ended.
            while host.engine.lock().in_flight() > 0 || host.connections.undelivered() > 0 {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let in_time = tokio::select! {
            biased;
            () = finished => true,
            () = hurry => false,
            () = tokio::time::sleep(deadline) => false,
        };
        let running = host.engine.lock().in_flight();
        let undelivered =
            if self.listener.is_cancelled() { host.connections.undelivered() } else { 0 };
        let cut_requests = if in_time { 0 } else { running + undelivered };
        if cut_requests > 0 {
            host.metrics.requests_cut.inc_by(cut_requests as u64);
            Event::RequestsCut.log(format_args!("{cut_requests} requests"));
        }
        self.listener.cancel();
        host.cut.cancel();
        host.engine.lock().start_handover(Instant::now());
        self.hand_back().await;
        host.stopped.cancel();
        self.tasks.close();
        // A server that waits for idle connections must not hold up the end of the process.
        let _ = tokio::time::timeout(Duration::from_secs(2), self.tasks.wait()).await;
        if cut_requests == 0 {
            Event::DrainFinished.log(format_args!("no request was cut"));
        }
        ShutdownReport { cut_requests }
    }

    /// Ends the host without any goodbye, as a crash would.
    pub fn abort(self) {
        self.listener.cancel();
        self.host.cut.cancel();
        self.host.stopped.cancel();
    }

    /// Waits a moment for the hand-back of the share.
    async fn hand_back(&self) {
        let done = async {
            while !self.host.engine.lock().is_handover_complete() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        // Without the platform the share is reclaimed after its lease instead.
        let _ = tokio::time::timeout(Duration::from_secs(1), done).await;
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}

/// Settings of the connections to peers.
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

/// The seeds as candidates for membership.
fn candidates(settings: &Settings) -> Vec<ListedHost> {
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

/// Starts the listener for callers and answers its address.
async fn serve_callers(
    host: &Arc<Host>,
    tasks: &TaskTracker,
    closed: &CancellationToken,
) -> anyhow::Result<SocketAddr> {
    let connections = Arc::clone(&host.connections);
    let listener = CallerListener::bind(host.settings.listen, Arc::clone(&connections));
    let acceptor = match &host.settings.tls {
        None => listener.into_acceptor().await?.boxed(),
        Some(tls) => {
            let configurations = Box::pin(certificate::configurations(tls)?);
            listener.rustls(configurations).into_acceptor().await?.boxed()
        }
    };
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|it| it.as_socket_addr().copied())
        .context("listener has no address")?;
    let stopped = host.stopped.clone();
    let sweep = connections.sweep();
    tasks.spawn(async move { stopped.run_until_cancelled(sweep).await });
    let server = Server::new_with_acceptor(acceptor);
    let api = CallerApi::new(Arc::clone(host));
    let closed = closed.clone();
    let deadline = Duration::from_millis(host.settings.shutdown_deadline_ms);
    tasks.spawn(async move {
        let signal = closed.cancelled();
        let _ = server.run_with_graceful_shutdown(api, signal, Some(deadline)).await;
    });
    Ok(address)
}

/// Starts the listener for health, readiness and metrics and answers its address.
async fn serve_admin(host: &Arc<Host>, tasks: &TaskTracker) -> anyhow::Result<SocketAddr> {
    let acceptor = TcpListener::bind(host.settings.admin_listen).into_acceptor().await?;
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|it| it.as_socket_addr().copied())
        .context("listener has no address")?;
    let api = AdminApi::new(Arc::clone(host));
    let stopped = host.stopped.clone();
    tasks.spawn(async move {
        let server = Server::new_with_acceptor(acceptor);
        let signal = stopped.cancelled();
        let limit = Some(Duration::from_millis(200));
        let _ = server.run_with_graceful_shutdown(api, signal, limit).await;
    });
    Ok(address)
}
