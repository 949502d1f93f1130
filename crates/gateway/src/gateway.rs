//! Life cycle of the process: start, settings reload, graceful shutdown.

use std::{pin::pin, rc::Rc, sync::Arc, time::Duration};

use anyhow::Context as _;
use kingcupford_platform::ObjectStore;
use kingcupford_steer::{MemberChange, SteeringEvent};
use kingcupford_telemetry::{Event, report_suppressed_lines};
use tokio::{
    signal::unix::{SignalKind, signal},
    task::JoinHandle,
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    caller_connections::CallerConnections,
    endpoints, heartbeats, listener,
    platform_sync::{ObjectCodec, PlatformSync},
    relay,
    settings::{GatewaySettings, SettingsSource},
    shutdown::ShutdownSchedule,
    state::{Phase, State},
};

/// Interval between updates of everything that depends on time: shares, rollouts, silent hosts.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Ticks between two sweeps of idle connections and reports of dropped log lines.
const TICKS_PER_SWEEP: u32 = 10;

/// Interval between checks for changed settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks for running requests during a shutdown.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the process until SIGTERM; must be called inside a `LocalSet`.
///
/// Returns an error if a signal handler cannot be installed or an address cannot be bound.
pub async fn run<S: ObjectStore, C: ObjectCodec>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    store: Arc<S>,
    codec: C,
) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("cannot install the SIGTERM handler")?;
    let terminated = async move {
        terminate.recv().await;
    };
    run_until(settings, source, store, codec, terminated).await
}

/// Runs the process until `terminated` resolves, and then shuts it down; must be called inside a
/// `LocalSet`.
///
/// Returns an error if a signal handler cannot be installed or an address cannot be bound.
pub async fn run_until<S: ObjectStore, C: ObjectCodec>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    store: Arc<S>,
    codec: C,
    terminated: impl Future<Output = ()>,
) -> anyhow::Result<()> {
    let mut hang_up = signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?;
    let state = State::new(settings);
    let caller_connections = Rc::new(CallerConnections::default());
    let listen = state.settings().listen;
    let bind =
        |address| listener::listen(address).with_context(|| format!("cannot listen on {address}"));
    let caller_listener = bind(listen.callers)?;
    let mut endpoint_addresses = vec![listen.readiness, listen.lookup, listen.metrics];
    endpoint_addresses.sort();
    endpoint_addresses.dedup();
    for address in endpoint_addresses {
        let serving =
            endpoints::serve(bind(address)?, Rc::clone(&state), Rc::clone(&caller_connections));
        tokio::task::spawn_local(serving);
    }
    let socket = heartbeats::bind(listen.peers).await;
    let socket = socket.with_context(|| format!("cannot listen on {} (UDP)", listen.peers))?;
    tokio::task::spawn_local(heartbeats::send(Rc::clone(&socket), Rc::clone(&state)));
    tokio::task::spawn_local(heartbeats::receive(socket, Rc::clone(&state)));
    tokio::task::spawn_local(relay::serve(bind(listen.peers)?, Rc::clone(&state)));
    let sync = PlatformSync::new(store, Rc::new(codec), Rc::clone(&state));
    sync.start();
    let accepting = tokio::task::spawn_local(
        Rc::clone(&caller_connections).accept(caller_listener, Rc::clone(&state)),
    );
    tokio::task::spawn_local(run_ticks(
        Rc::clone(&state),
        Rc::clone(&caller_connections),
        sync.clone(),
    ));
    let version = env!("CARGO_PKG_VERSION");
    let incarnation = state.settings().steering.incarnation;
    Event::ProcessStarted.log(format_args!(
        "version={version} incarnation={incarnation} settings=\"{}\"",
        state.settings().summary
    ));
    let mut reloads = interval(RELOAD_INTERVAL);
    let mut terminated = pin!(terminated);
    loop {
        tokio::select! {
            () = terminated.as_mut() => break,
            _ = hang_up.recv() => reload_settings(&state, &source, "signal"),
            _ = reloads.tick() => reload_settings(&state, &source, "change"),
        }
    }
    shut_down(&state, &caller_connections, &sync, accepting).await;
    Ok(())
}

/// Updates everything that depends on time until the future is dropped.
async fn run_ticks<S: ObjectStore, C: ObjectCodec>(
    state: Rc<State>,
    caller_connections: Rc<CallerConnections>,
    sync: PlatformSync<S, C>,
) {
    let mut ticks = interval(TICK_INTERVAL);
    let mut tick_count = 0u32;
    let mut was_confirmed = false;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        state.check_suspension(now);
        let events = state.steering.borrow_mut().tick(now);
        for event in events {
            handle_event(&sync, event);
        }
        sync.update_source(now);
        let is_confirmed = state.steering.borrow().has_confirmed_view(now);
        if is_confirmed != was_confirmed {
            was_confirmed = is_confirmed;
            let steering = state.steering.borrow();
            let version = steering.manifest().map_or(0, |it| it.version());
            let age_ms = steering.freshness.age(now).map_or(-1, |it| it.as_millis() as i64);
            let event = if is_confirmed { Event::ViewConfirmed } else { Event::ViewStale };
            event.log(format_args!("manifest={version} view_age_ms={age_ms}"));
        }
        tick_count = tick_count.wrapping_add(1);
        if tick_count.is_multiple_of(TICKS_PER_SWEEP) {
            caller_connections.close_idle(&state, now);
            state.pool.close_expired(now);
            report_suppressed_lines();
        }
    }
}

/// Logs a steering event; a due rollout status is written to the platform.
fn handle_event<S: ObjectStore, C: ObjectCodec>(sync: &PlatformSync<S, C>, event: SteeringEvent) {
    match event {
        SteeringEvent::Member(MemberChange::Live(name)) => {
            Event::MemberJoined.log(format_args!("member={name} reason=\"heard\""));
        }
        SteeringEvent::Member(MemberChange::Silent(name)) => {
            Event::MemberGone.log(format_args!("member={name} reason=\"silent\""));
        }
        SteeringEvent::InstanceExpired { id } => {
            Event::InstanceGone.log(format_args!("instance={id} reason=\"not registered again\""));
        }
        SteeringEvent::RolloutFaulty { service, version, reason } => {
            Event::RolloutStopped
                .log(format_args!("service={service} version={version} reason=\"{reason}\""));
        }
        SteeringEvent::WriteStatus { service, version, state } => {
            sync.write_rollout_status(service, version, state);
        }
    }
}

/// Applies changed settings; invalid settings are rejected and the active ones stay.
fn reload_settings(state: &State, source: &impl SettingsSource, cause: &str) {
    let settings = match source.load() {
        Ok(it) => it,
        Err(error) => {
            Event::SettingsRejected.log(format_args!("cause={cause} reason=\"{error:#}\""));
            return;
        }
    };
    let current = state.settings();
    if settings.summary == current.summary {
        if cause == "signal" {
            Event::SettingsReloaded.log(format_args!("cause={cause} changed=false"));
        }
        return;
    }
    Event::SettingsReloaded
        .log(format_args!("cause={cause} changed=true settings=\"{}\"", settings.summary));
    let mut steering = settings.steering;
    steering.incarnation = current.steering.incarnation;
    state.steering.borrow_mut().apply_settings(steering.clone());
    // Listen addresses change only when the process restarts.
    let listen = current.listen;
    let settings = GatewaySettings { steering, listen, ..settings };
    *state.settings.borrow_mut() = Rc::new(settings);
}

/// Shuts down: stops accepting connections once callers have had time to look up other hosts, then
/// waits for running requests until shortly before the grace period ends.
async fn shut_down<S: ObjectStore, C: ObjectCodec>(
    state: &State,
    caller_connections: &CallerConnections,
    sync: &PlatformSync<S, C>,
    accepting: JoinHandle<()>,
) {
    let settings = state.settings();
    let schedule =
        ShutdownSchedule::new(Instant::now(), settings.shutdown_grace, settings.lookup_ttl);
    let ShutdownSchedule { started_at, closes_at, exits_at } = schedule;
    state.shutdown.set(Some(schedule));
    state.phase.set(Phase::Draining);
    let in_flight = state.in_flight.get();
    Event::DrainStarted.log(format_args!(
        "in_flight={in_flight} connections={} grace_ms={}",
        caller_connections.len(),
        settings.shutdown_grace.as_millis()
    ));
    sleep_until(closes_at).await;
    state.phase.set(Phase::Closing);
    Event::DrainClosing.log(format_args!(
        "in_flight={} connections={} after_ms={}",
        state.in_flight.get(),
        caller_connections.len(),
        started_at.elapsed().as_millis()
    ));
    caller_connections.stop_accepting();
    if let Err(error) = accepting.await {
        log::warn!("accepting connections failed: {error}");
    }
    caller_connections.close_all();
    tokio::select! {
        () = sync.deregister_host() => {}
        () = sleep_until(exits_at) => {}
    }
    while (state.in_flight.get() > 0 || caller_connections.len() > 0) && Instant::now() < exits_at {
        sleep(DRAIN_POLL_INTERVAL).await;
        // Connections on which a request was arriving were left open.
        caller_connections.close_all();
    }
    state.phase.set(Phase::Ended);
    let cut = state.in_flight.get();
    let event = if cut > 0 { Event::RequestsCut } else { Event::DrainFinished };
    event.log(format_args!(
        "cut={cut} connections={} took_ms={}",
        caller_connections.len(),
        started_at.elapsed().as_millis()
    ));
    Event::ProcessStopped.log(format_args!("reason=\"SIGTERM\""));
}
