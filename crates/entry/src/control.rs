//! Control loops of an entry host: ticks, peers and new configurations.

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
    host::{Host, unix_ms},
    platform, reports,
};

/// Time between two ticks of the policy.
const TICK: Duration = Duration::from_millis(50);

/// Starts all control loops.
pub(crate) fn spawn(host: &Arc<Host>, tasks: &TaskTracker, inbox: UnboundedReceiver<PeerEvent>) {
    spawn_loop(host, tasks, |it| async move { tick_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { peer_loop(&it, inbox).await });
    for prefix in platform::FOLLOWED {
        spawn_loop(host, tasks, move |it| async move { platform::follow_loop(&it, prefix).await });
    }
    spawn_loop(host, tasks, |it| async move { platform::ledger_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::hosts_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::announce_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::write_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { platform::status_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { reports::poll_loop(&it).await });
}

/// Runs a loop until the host stops.
fn spawn_loop<F>(
    host: &Arc<Host>,
    tasks: &TaskTracker,
    run: impl FnOnce(Arc<Host>) -> F + Send + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let host = Arc::clone(host);
    let stopped = host.stopped.clone();
    tasks.spawn(async move { stopped.run_until_cancelled(run(host)).await });
}

/// Ticks the policy and installs new configurations.
async fn tick_loop(host: &Arc<Host>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_isolated = false;
    let mut rejected = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let (envelopes, notices, status) = {
                    let mut engine = host.engine.lock();
                    let now = Instant::now();
                    let res = engine.tick(now, unix_ms());
                    host.wake_placed(&engine);
                    (res, engine.take_events(), engine.health(now))
                };
                host.send(envelopes);
                notices.iter().for_each(log_notice);
                host.metrics.live_members.set(status.live_members as i64);
                host.metrics.isolated.set(i64::from(status.isolated));
                if status.isolated != was_isolated {
                    was_isolated = status.isolated;
                    let event = if was_isolated { Event::Isolated } else { Event::IsolationEnded };
                    event.log(format_args!("{} live hosts in view", status.live_members));
                }
                install_pending(host, &mut rejected).await;
            }
            () = host.share_tick.notified() => {
                let envelopes = host.engine.lock().tick_shares(Instant::now());
                host.send(envelopes);
            }
        }
    }
}

/// Compiles and installs a configuration that became complete; `rejected` is the version that was
/// found unusable, so that it is not tried again with each tick.
async fn install_pending(host: &Arc<Host>, rejected: &mut u64) {
    let pending = match host.engine.lock().pending_config() {
        Ok(Some(it)) if it.head.version > *rejected => it,
        Ok(_) => return,
        Err(error) => {
            Event::ConfigRejected.log(format_args!("{error:#}"));
            return;
        }
    };
    let pending_version = pending.head.version;
    let previous = host.snapshot.load_full();
    // A table of 160,000 blocks takes longer than a tick may.
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
            *rejected = pending_version;
            Event::ConfigRejected.log(format_args!("version {pending_version}: {error:#}"));
        }
        Err(error) => Event::ConfigRejected.log(format_args!("{error}")),
    }
}

/// Handles what peers send.
async fn peer_loop(host: &Arc<Host>, mut inbox: UnboundedReceiver<PeerEvent>) {
    while let Some(event) = inbox.recv().await {
        match event {
            PeerEvent::FrameReceived { from, frame } => {
                count(host, "in", frame.payload.len());
                match Message::decode(frame.kind, &frame.payload) {
                    Ok(Some(message)) => {
                        let envelopes = {
                            let mut engine = host.engine.lock();
                            let res = engine.receive(&from, message, Instant::now());
                            host.wake_placed(&engine);
                            res
                        };
                        host.send(envelopes);
                    }
                    // A kind of a later version of the system.
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

/// Logs a change that the policy reports.
fn log_notice(notice: &EngineEvent) {
    match notice {
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
            Event::LedgerChanged.log(format_args!("version {version}"))
        }
    }
}

/// Counts control traffic.
pub(crate) fn count(host: &Host, direction: &str, bytes: usize) {
    let labels = TrafficLabels { direction: direction.to_owned() };
    host.metrics.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
}
