//! Control loops of an entry host: ticks, peers, the platform and new configurations.

use std::{sync::Arc, time::Duration};

use kingcupford_engine::{LEDGER, Message, ZONE_STATUS_PREFIX};
use kingcupford_fleet::Candidate;
use kingcupford_peer::PeerEvent;
use kingcupford_platform::{
    Answer, Condition, HostEntry, HostState, ObjectStore as _, Watched, WriteOutcome,
};
use kingcupford_quota::{Ledger, Proposal};
use kingcupford_rollout::Write;
use kingcupford_telemetry::{Event, TrafficLabels};
use tokio::{
    sync::mpsc::UnboundedReceiver,
    time::{Instant, MissedTickBehavior, interval, sleep, sleep_until},
};
use tokio_util::task::TaskTracker;

use crate::{
    host::{Host, unix_ms},
    reports,
};

/// Time between two ticks of the policy.
const TICK: Duration = Duration::from_millis(50);

/// Time between two checks for writes that are due.
const WRITE_CHECK: Duration = Duration::from_millis(200);

/// Time between two readings of the platform's list of hosts.
const HOSTS_EVERY: Duration = Duration::from_secs(2);

/// Time between two announcements of this host.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(5);

/// Time between two writes of the zone's state.
const STATUS_EVERY: Duration = Duration::from_secs(2);

/// Longest wait of one watch call.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// Least time between two watches. Every object's change ends a watch, also the states of zones,
/// so that without it the calls would grow with the square of the number of zones.
const WATCH_SPACING: Duration = Duration::from_millis(200);

/// Wait after a call that the platform did not answer.
const PLATFORM_RETRY: Duration = Duration::from_millis(500);

/// Time between two checks whether this host became a speaker.
const SPEAKER_CHECK: Duration = Duration::from_secs(1);

/// Prefixes of the objects that hosts follow.
const FOLLOWED: [&str; 3] = ["config/", "quota/", "rollout/"];

/// Starts all control loops.
pub(crate) fn spawn(host: &Arc<Host>, tasks: &TaskTracker, inbox: UnboundedReceiver<PeerEvent>) {
    spawn_loop(host, tasks, |it| async move { tick_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { peer_loop(&it, inbox).await });
    spawn_loop(host, tasks, |it| async move { watch_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { hosts_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { announce_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { write_loop(&it).await });
    spawn_loop(host, tasks, |it| async move { status_loop(&it).await });
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
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let (envelopes, status) = {
                    let mut engine = host.engine.lock();
                    let now = Instant::now();
                    let res = engine.tick(now, unix_ms());
                    host.wake_placed(&engine);
                    (res, engine.health(now))
                };
                host.send(envelopes);
                host.metrics.live_members.set(status.live_members as i64);
                host.metrics.isolated.set(i64::from(status.isolated));
                if status.isolated != was_isolated {
                    was_isolated = status.isolated;
                    let event = if was_isolated { Event::Isolated } else { Event::IsolationEnded };
                    event.log(format_args!("{} live hosts in view", status.live_members));
                }
                install_pending(host).await;
            }
            () = host.share_tick.notified() => {
                let envelopes = host.engine.lock().tick_shares(Instant::now());
                host.send(envelopes);
            }
        }
    }
}

/// Compiles and installs a configuration that became complete.
async fn install_pending(host: &Arc<Host>) {
    let pending = match host.engine.lock().pending_config() {
        Ok(Some(it)) => it,
        Ok(None) => return,
        Err(error) => {
            Event::ConfigRejected.log(format_args!("{error:#}"));
            return;
        }
    };
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
        Ok(Err(error)) => Event::ConfigRejected.log(format_args!("{error:#}")),
        Err(error) => Event::ConfigRejected.log(format_args!("{error}")),
    }
}

/// Handles what peers send.
async fn peer_loop(host: &Arc<Host>, mut inbox: UnboundedReceiver<PeerEvent>) {
    while let Some(event) = inbox.recv().await {
        match event {
            PeerEvent::Frame { from, frame } => {
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
            PeerEvent::Refused { peer, reason } => {
                host.engine.lock().stream_failed(&peer, Instant::now());
                Event::PeerRefused.log(format_args!("{peer}: {reason}"));
            }
            PeerEvent::Failed { peer, reason } => {
                host.engine.lock().stream_failed(&peer, Instant::now());
                Event::PeerFailed.log(format_args!("{peer}: {reason}"));
            }
        }
    }
}

/// Follows the platform's objects while this host is a speaker of its zone.
async fn watch_loop(host: &Arc<Host>) {
    let mut after = None;
    let mut available = true;
    loop {
        if !host.engine.lock().is_speaker() {
            after = None;
            sleep(SPEAKER_CHECK).await;
            continue;
        }
        let next_at = Instant::now() + WATCH_SPACING;
        let followed = match after {
            None => read_all(host).await,
            Some(revision) => watch_once(host, revision).await,
        };
        let is_available = followed.is_ok();
        if is_available != available {
            available = is_available;
            let event =
                if available { Event::PlatformAvailable } else { Event::PlatformUnavailable };
            event.log(format_args!("{}", host.settings.platform_url));
        }
        match followed {
            Ok(revision) => {
                after = revision;
                sleep_until(next_at).await;
            }
            Err(()) => sleep(PLATFORM_RETRY).await,
        }
    }
}

/// Reads every followed object and answers the revision to watch from.
async fn read_all(host: &Arc<Host>) -> Result<Option<u64>, ()> {
    let mut revision = u64::MAX;
    let mut has_ledger = false;
    for prefix in FOLLOWED {
        host.metrics.platform_calls.inc();
        let Answer::Value(listing) = host.store.list(prefix).await else { return Err(()) };
        revision = revision.min(listing.revision);
        for object in listing.objects {
            has_ledger |= object.name == LEDGER;
            read_document(host, &object.name).await?;
        }
    }
    host.engine.lock().platform_reachable(Instant::now());
    if !has_ledger {
        host.engine.lock().ledger_missing();
    }
    fetch_chunks(host).await?;
    Ok(Some(revision))
}

/// Waits for changes and reads the changed objects.
async fn watch_once(host: &Arc<Host>, after: u64) -> Result<Option<u64>, ()> {
    host.metrics.platform_calls.inc();
    let Answer::Value(watched) = host.store.watch("", after, WATCH_WAIT).await else {
        return Err(());
    };
    host.engine.lock().platform_reachable(Instant::now());
    let Watched::Changes { revision, changes } = watched else { return Ok(None) };
    for change in changes {
        if FOLLOWED.iter().any(|it| change.name.starts_with(it)) {
            read_document(host, &change.name).await?;
        }
    }
    fetch_chunks(host).await?;
    Ok(Some(revision))
}

/// Reads one followed object.
async fn read_document(host: &Arc<Host>, name: &str) -> Result<(), ()> {
    host.metrics.platform_calls.inc();
    let Answer::Value(object) = host.store.read(name).await else { return Err(()) };
    let Some(object) = object else { return Ok(()) };
    // The head carries its own number, which goes on when the platform's versions restart.
    let version = match name {
        "config/head" => serde_json::from_slice::<kingcupford_config::Head>(&object.bytes)
            .map(|it| it.version)
            .map_err(|error| Event::ConfigRejected.log(format_args!("{name}: {error}")))?,
        _ => object.version,
    };
    host.engine.lock().platform_document(name, version, &object.bytes, Instant::now());
    Ok(())
}

/// Reads the chunks that the newest head needs.
async fn fetch_chunks(host: &Arc<Host>) -> Result<(), ()> {
    let missing = host.engine.lock().missing_chunks();
    for chunk in missing {
        host.metrics.platform_calls.inc();
        match host.store.read(&format!("chunk/{chunk}")).await {
            Answer::Value(Some(object)) => host.engine.lock().insert_chunk(&object.bytes),
            Answer::Value(None) => Event::ChunkMissing.log(format_args!("{chunk}")),
            Answer::Unavailable | Answer::Throttled { .. } => return Err(()),
        }
    }
    Ok(())
}

/// Reads the platform's list of hosts.
async fn hosts_loop(host: &Arc<Host>) {
    let mut ticks = interval(HOSTS_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !host.engine.lock().is_speaker() {
            continue;
        }
        host.metrics.platform_calls.inc();
        let Answer::Value(entries) = host.store.hosts().await else { continue };
        let candidates: Vec<Candidate> = entries.into_iter().map(candidate).collect();
        host.engine.lock().platform_hosts(&candidates, Instant::now());
    }
}

/// Announces this host to the platform's list.
async fn announce_loop(host: &Arc<Host>) {
    let mut ticks = interval(ANNOUNCE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let draining = host.engine.lock().is_draining();
        let addresses = host.settings.public_addresses.iter();
        let entry = HostEntry {
            name: host.settings.name.clone(),
            zone: host.settings.zone.clone(),
            peer_address: host.settings.peer_address,
            public_addresses: addresses.filter_map(|it| it.parse().ok()).collect(),
            state: if draining { HostState::Leaving } else { HostState::Live },
        };
        host.metrics.platform_calls.inc();
        // A lost announcement is repeated with the next one.
        let _ = host.store.announce(&entry).await;
    }
}

/// Writes the state of this host's zone for operators.
async fn status_loop(host: &Arc<Host>) {
    let mut ticks = interval(STATUS_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let status = {
            let engine = host.engine.lock();
            if !engine.writes_zone_status() {
                continue;
            }
            engine.zone_status(Instant::now(), unix_ms())
        };
        let Ok(bytes) = serde_json::to_vec(&status) else { continue };
        let name = format!("{ZONE_STATUS_PREFIX}{}", status.zone);
        host.metrics.platform_calls.inc();
        // A lost write is repeated with the next one.
        let _ = host.store.write(&name, bytes.into(), Condition::Always).await;
    }
}

/// Writes what the policy wants to keep in the platform.
async fn write_loop(host: &Arc<Host>) {
    let mut ticks = interval(WRITE_CHECK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let proposal = host.engine.lock().propose_ledger(Instant::now());
        if let Some(proposal) = proposal {
            write_ledger(host, &proposal).await;
        }
        let writes = host.engine.lock().rollout_writes(Instant::now(), unix_ms());
        for write in writes {
            write_rollout(host, &write).await;
        }
    }
}

/// Writes the ledger and reports the outcome.
async fn write_ledger(host: &Arc<Host>, proposal: &Proposal) {
    use kingcupford_quota::WriteOutcome as Reported;
    let Ok(bytes) = serde_json::to_vec(&proposal.ledger) else { return };
    let condition = proposal.base_version.map_or(Condition::Absent, Condition::Version);
    host.metrics.platform_calls.inc();
    let outcome = host.store.write(LEDGER, bytes.into(), condition).await;
    let reported = match outcome {
        WriteOutcome::Written { version } => Reported::Written(version),
        WriteOutcome::Conflict { .. } => {
            host.metrics.platform_calls.inc();
            match host.store.read(LEDGER).await {
                Answer::Value(Some(object)) => {
                    match serde_json::from_slice::<Ledger>(&object.bytes) {
                        Ok(ledger) => Reported::Conflict(object.version, ledger),
                        Err(_) => Reported::Unknown,
                    }
                }
                _ => Reported::Unknown,
            }
        }
        _ => Reported::Unknown,
    };
    host.engine.lock().proposal_done(proposal, reported, Instant::now());
}

/// Writes a rollout and reports the outcome.
async fn write_rollout(host: &Arc<Host>, write: &Write) {
    use kingcupford_rollout::WriteOutcome as Reported;
    let Ok(bytes) = serde_json::to_vec(&write.rollout) else { return };
    let name = format!("{}{}", kingcupford_engine::ROLLOUT_PREFIX, write.rollout.service);
    let condition = Condition::Version(write.expected_version);
    host.metrics.platform_calls.inc();
    let outcome = host.store.write(&name, bytes.into(), condition).await;
    let reported = match outcome {
        WriteOutcome::Written { version } => Reported::Written { version },
        WriteOutcome::Conflict { .. } => Reported::Conflict,
        _ => Reported::Unknown,
    };
    if let Reported::Written { .. } = reported {
        Event::RolloutChanged.log(format_args!(
            "{} to {}: {} at {}%",
            write.rollout.service,
            write.rollout.to,
            write.rollout.state,
            write.rollout.share_percent(),
        ));
    }
    host.engine.lock().rollout_written(write, reported, Instant::now());
    if reported == Reported::Conflict {
        // The newer object also comes by the watch, but a controller must not wait for it.
        let _ = read_document(host, &name).await;
    }
}

/// An entry of the platform's list as membership takes it.
fn candidate(entry: HostEntry) -> Candidate {
    Candidate {
        name: entry.name,
        zone: entry.zone,
        peer_address: entry.peer_address,
        public_addresses: entry.public_addresses.iter().map(ToString::to_string).collect(),
        leaving: entry.state == HostState::Leaving,
    }
}

/// Counts control traffic.
pub(crate) fn count(host: &Host, direction: &str, bytes: usize) {
    let labels = TrafficLabels { direction: direction.to_owned() };
    host.metrics.control_bytes.get_or_create(&labels).inc_by(bytes as u64);
}
