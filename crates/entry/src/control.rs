//! Control loops of an entry host: engine ticks, messages of peers and new configurations.

use std::{sync::Arc, time::Duration};

use kingcupford_engine::{EngineEvent, Message};
use kingcupford_peer::PeerEvent;
use kingcupford_telemetry::{Event, TrafficLabels};
use tokio::{
    sync::mpsc::UnboundedReceiver,
    time::{Instant, MissedTickBehavior, interval},
};
use tokio_util::task::TaskTracker;

use crate::{
    era::split_version,
    host::{Host, unix_ms},
    platform, reports,
};

/// Interval between two ticks of the engine.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts all control loops; `inbox` receives the events of the transport.
pub(crate) fn spawn(host: &Arc<Host>, tasks: &TaskTracker, inbox: UnboundedReceiver<PeerEvent>) {
    spawn_loop(host, tasks, |it| async move { tick_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { peer_loop(&it, inbox).await });
    for prefix in platform::WATCHED_PREFIXES {
        spawn_loop(host, tasks, move |it| async move { platform::watch_loop(&it, prefix).await });
    }
    spawn_loop(host, tasks, |it| async move { platform::ledger_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::host_list_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::announce_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::write_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::status_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { reports::poll_loop(&it).await });
}

/// Spawns a loop that runs until the host stops.
fn spawn_loop<F>(
    host: &Arc<Host>,
    tasks: &TaskTracker,
    run: impl FnOnce(Arc<Host>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let host = Arc::clone(host);
    let loops_stopped = host.loops_stopped.clone();
    tasks.spawn(async move { loops_stopped.run_until_cancelled(run(host)).await });
}

/// Ticks the engine, publishes the events and health that it reports, and installs new
/// configurations.
async fn tick_loop(host: &Arc<Host>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_isolated = false;
    let mut rejected_version = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let (envelopes, events, health) = {
                    let mut engine = host.engine.lock();
                    let now = Instant::now();
                    let res = engine.tick(now, unix_ms());
                    host.wake_waiters(&engine);
                    (res, engine.take_events(), engine.health(now))
                };
                host.send(envelopes);
                events.iter().for_each(log_engine_event);
                host.metrics.live_members.set(health.live_members as i64);
                host.metrics.isolated.set(i64::from(health.isolated));
                if health.isolated != was_isolated {
                    was_isolated = health.isolated;
                    let event = if was_isolated { Event::Isolated } else { Event::IsolationEnded };
                    event.log(format_args!("{} live hosts in view", health.live_members));
                }
                install_pending(host, &mut rejected_version).await;
            }
            () = host.share_tick.notified() => {
                let envelopes = host.engine.lock().tick_shares(Instant::now());
                host.send(envelopes);
            }
        }
    }
}

/// Compiles and installs a pending configuration whose chunks are complete. `rejected_version` is
/// the newest version that failed to compile, which is not tried again at every tick.
async fn install_pending(host: &Arc<Host>, rejected_version: &mut u64) {
    let pending = match host.engine.lock().pending_config() {
        Ok(Some(it)) if it.head.version > *rejected_version => it,
        Ok(_) => return,
        Err(error) => {
            Event::ConfigRejected.log(format_args!("{error:#}"));
            return;
        }
    };
    let pending_version = pending.head.version;
    let previous = host.snapshot.load_full();
    // Compiling a table of 160,000 blocks would block the tick loop for too long.
    let compiled = tokio::task::spawn_blocking(move || pending.compile(&previous)).await;
    match compiled {
        Ok(Ok(snapshot)) => {
            let snapshot = Arc::new(snapshot);
            let version = snapshot.version.0;
            let revision = snapshot.source_revision.clone();
            if host.engine.lock().install(Arc::clone(&snapshot), Instant::now()) {
                host.snapshot.store(snapshot);
                host.metrics.config_version.set(version as i64);
                Event::ConfigActive.log(format_args!("version {version}, revision {revision}"));
            }
        }
        Ok(Err(error)) => {
            *rejected_version = pending_version;
            Event::ConfigRejected.log(format_args!("version {pending_version}: {error:#}"));
        }
        Err(error) => Event::ConfigRejected.log(format_args!("{error}")),
    }
}

/// Applies the messages of peers and the events of the connections to them.
async fn peer_loop(host: &Arc<Host>, mut inbox: UnboundedReceiver<PeerEvent>) {
    while let Some(event) = inbox.recv().await {
        match event {
            PeerEvent::FrameReceived { from, frame } => {
                record_traffic(host, "in", frame.payload.len());
                match Message::decode(frame.kind, &frame.payload) {
                    Ok(Some(message)) => {
                        let envelopes = {
                            let mut engine = host.engine.lock();
                            let res = engine.receive(&from, message, Instant::now());
                            host.wake_waiters(&engine);
                            res
                        };
                        host.send(envelopes);
                    }
                    // Message kind of a later software version.
                    Ok(None) => {}
                    Err(error) => {
                        Event::PeerFrameInvalid
                            .log(format_args!("kind {} from {from}: {error}", frame.kind));
                    }
                }
            }
            PeerEvent::Connected { peer } => Event::PeerConnected.log(format_args!("{peer}")),
            PeerEvent::ConnectFailed { peer, reason, is_connection_refused } => {
                let mut engine = host.engine.lock();
                engine.record_stream_failure(&peer, Instant::now());
                if is_connection_refused {
                    engine.record_peer_unbound(&peer);
                }
                drop(engine);
                Event::PeerRefused.log(format_args!("{peer}: {reason}"));
            }
            PeerEvent::ConnectionLost { peer, reason } => {
                host.engine.lock().record_stream_failure(&peer, Instant::now());
                Event::PeerFailed.log(format_args!("{peer}: {reason}"));
            }
        }
    }
}

/// Logs an event that the engine reports.
fn log_engine_event(event: &EngineEvent) {
    match event {
        EngineEvent::ResumedAfterPause => {
            Event::ResumedAfterPause.log(format_args!("leases count as expired"))
        }
        EngineEvent::MemberJoined(name) => Event::MemberJoined.log(format_args!("{name}")),
        EngineEvent::MemberSuspected(name) => Event::MemberSuspected.log(format_args!("{name}")),
        EngineEvent::MemberGone(name) => Event::MemberGone.log(format_args!("{name}")),
        EngineEvent::InstanceEjected(name) => Event::InstanceEjected.log(format_args!("{name}")),
        EngineEvent::InstanceReturned(name) => Event::InstanceReturned.log(format_args!("{name}")),
        EngineEvent::FingerprintQuarantined(instances) => {
            Event::FingerprintQuarantined.log(format_args!("lost: {}", instances.join(", ")));
        }
        EngineEvent::RolloutStopped { service, reason } => {
            Event::RolloutStopped.log(format_args!("{service}: {reason}"));
        }
        EngineEvent::LedgerChanged(version) => {
            let (era, number) = split_version(*version);
            // As the platform counts, from 0.
            let era = era.saturating_sub(1);
            Event::LedgerChanged.log(format_args!("version {number} of era {era}"))
        }
    }
}

/// Records bytes of control traffic; `direction` is `in` or `out`.
pub(crate) fn record_traffic(host: &Host, direction: &str, bytes: usize) {
    let labels = TrafficLabels { direction: direction.to_owned() };
    host.metrics.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
}
