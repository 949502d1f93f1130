//! The life of the process: start, reload, graceful shutdown.

use std::{rc::Rc, sync::Arc, time::Duration};

use anyhow::Context as _;
use kingcupford_platform::ObjectStore;
use kingcupford_steer::{MemberChange, SteeringEvent};
use kingcupford_telemetry::{Event, report_left_out};
use tokio::{
    signal::unix::{SignalKind, signal},
    time::{Instant, interval, sleep, sleep_until},
};

use crate::{
    callers::Callers,
    control,
    feed::{Feed, ObjectCodec},
    listener, peers, relay,
    settings::{GatewaySettings, SettingsSource},
    state::{Phase, State},
};

/// Time between two looks at everything that depends on time: shares, rollouts, silent hosts.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two sweeps of idle connections and reports of left-out lines.
const SWEEP_TICKS: u32 = 10;

/// Time between two looks at the settings, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(2);

/// Lifetimes of a lookup's answer for which callers may still connect during a shutdown; some keep
/// it for three.
const DRAIN_LIFETIMES: u32 = 3;

/// Time on top of that for requests under way.
const DRAIN_MARGIN: Duration = Duration::from_millis(600);

/// Time before the end of the grace at which the process ends in any case.
const EXIT_MARGIN: Duration = Duration::from_millis(300);

/// Part of the grace after which no connections are taken, however long answers are kept.
const MAX_DRAIN_PART: f64 = 0.7;

/// Time between two looks whether requests still run during a shutdown.
const DRAIN_TICK: Duration = Duration::from_millis(20);

/// Runs the process until it is told to stop; to be called inside a `LocalSet`.
pub async fn run<S: ObjectStore, D: ObjectCodec>(
    settings: GatewaySettings,
    source: impl SettingsSource,
    store: Arc<S>,
    decoder: D,
) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("handler of SIGTERM")?;
    let mut hang_up = signal(SignalKind::hangup()).context("handler of SIGHUP")?;
    let state = State::new(settings);
    let callers = Rc::new(Callers::default());
    let listen = state.settings().listen;
    let bind =
        |address| listener::listen(address).with_context(|| format!("cannot listen on {address}"));
    let caller_listener = bind(listen.callers)?;
    let mut control_addresses = vec![listen.readiness, listen.lookup, listen.metrics];
    control_addresses.sort();
    control_addresses.dedup();
    for address in control_addresses {
        let serving = control::serve(bind(address)?, Rc::clone(&state), Rc::clone(&callers));
        tokio::task::spawn_local(serving);
    }
    let socket = peers::bind(listen.peers).await;
    let socket = socket.with_context(|| format!("cannot listen on {} (UDP)", listen.peers))?;
    tokio::task::spawn_local(peers::send(Rc::clone(&socket), Rc::clone(&state)));
    tokio::task::spawn_local(peers::receive(socket, Rc::clone(&state)));
    tokio::task::spawn_local(relay::serve(bind(listen.peers)?, Rc::clone(&state)));
    let feed = Feed::new(store, Rc::new(decoder), Rc::clone(&state));
    feed.start();
    let accepting =
        tokio::task::spawn_local(Rc::clone(&callers).accept(caller_listener, Rc::clone(&state)));
    tokio::task::spawn_local(tick(Rc::clone(&state), Rc::clone(&callers), feed.clone()));
    let version = env!("CARGO_PKG_VERSION");
    let incarnation = state.settings().steering.incarnation;
    Event::ProcessStarted.log(format_args!(
        "version={version} incarnation={incarnation} settings=\"{}\"",
        state.settings().summary
    ));
    let mut reloads = interval(RELOAD_EVERY);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hang_up.recv() => reload(&state, &source, "signal"),
            _ = reloads.tick() => reload(&state, &source, "change"),
        }
    }
    shut_down(&state, &callers, &feed, || accepting.abort()).await;
    Ok(())
}

/// Keeps everything that depends on time up to date until it is dropped.
async fn tick<S: ObjectStore, D: ObjectCodec>(
    state: Rc<State>,
    callers: Rc<Callers>,
    feed: Feed<S, D>,
) {
    let mut ticks = interval(TICK);
    let mut count = 0u32;
    let mut was_confirmed = false;
    loop {
        ticks.tick().await;
        let now = Instant::now();
        state.check_pause(now);
        let events = state.steering.borrow_mut().tick(now);
        for event in events {
            apply(&feed, event);
        }
        feed.choose_source(now);
        let is_confirmed = state.steering.borrow().has_confirmed_view(now);
        if is_confirmed != was_confirmed {
            was_confirmed = is_confirmed;
            let steering = state.steering.borrow();
            let version = steering.manifest().map_or(0, |it| it.version());
            let age_ms = steering.freshness.age(now).map_or(-1, |it| it.as_millis() as i64);
            let event = if is_confirmed { Event::ViewConfirmed } else { Event::ViewStale };
            event.log(format_args!("manifest={version} view_age_ms={age_ms}"));
        }
        count = count.wrapping_add(1);
        if count.is_multiple_of(SWEEP_TICKS) {
            callers.sweep(&state, now);
            state.pool.sweep(now);
            report_left_out();
        }
    }
}

/// Logs a change of the view and writes what the platform must know.
fn apply<S: ObjectStore, D: ObjectCodec>(feed: &Feed<S, D>, event: SteeringEvent) {
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
            feed.write_status(service, version, state);
        }
    }
}

/// Takes changed settings over; faulty ones leave the present ones in force.
fn reload(state: &State, source: &impl SettingsSource, cause: &str) {
    let settings = match source.load() {
        Ok(it) => it,
        Err(error) => {
            Event::SettingsRejected.log(format_args!("cause={cause} reason=\"{error:#}\""));
            return;
        }
    };
    let present = state.settings();
    if settings.summary == present.summary {
        if cause == "signal" {
            Event::SettingsReloaded.log(format_args!("cause={cause} changed=false"));
        }
        return;
    }
    Event::SettingsReloaded
        .log(format_args!("cause={cause} changed=true settings=\"{}\"", settings.summary));
    let mut steering = settings.steering;
    steering.incarnation = present.steering.incarnation;
    state.steering.borrow_mut().apply_settings(steering.clone());
    // Sockets stay where they are until the process starts again.
    let listen = present.listen;
    let settings = GatewaySettings { steering, listen, ..settings };
    *state.settings.borrow_mut() = Rc::new(settings);
}

/// Ends the process without cutting a request.
async fn shut_down<S: ObjectStore, D: ObjectCodec>(
    state: &State,
    callers: &Callers,
    feed: &Feed<S, D>,
    stop_accepting: impl FnOnce(),
) {
    let settings = state.settings();
    let begun = Instant::now();
    state.phase.set(Phase::Draining);
    let in_flight = state.in_flight.get();
    Event::DrainStarted.log(format_args!(
        "in_flight={in_flight} connections={} grace_ms={}",
        callers.len(),
        settings.shutdown_grace.as_millis()
    ));
    let drain = settings.lookup_ttl * DRAIN_LIFETIMES + DRAIN_MARGIN;
    let drain = drain.min(settings.shutdown_grace.mul_f64(MAX_DRAIN_PART));
    sleep_until(begun + drain).await;
    stop_accepting();
    state.phase.set(Phase::Closing);
    callers.close_all();
    let end = begun + settings.shutdown_grace.saturating_sub(EXIT_MARGIN);
    tokio::select! {
        () = feed.retire() => {}
        () = sleep_until(end) => {}
    }
    while (state.in_flight.get() > 0 || callers.len() > 0) && Instant::now() < end {
        sleep(DRAIN_TICK).await;
    }
    let cut = state.in_flight.get();
    let event = if cut > 0 { Event::RequestsCut } else { Event::DrainFinished };
    event.log(format_args!("cut={cut} took_ms={}", begun.elapsed().as_millis()));
    Event::ProcessStopped.log(format_args!("reason=\"SIGTERM\""));
}
