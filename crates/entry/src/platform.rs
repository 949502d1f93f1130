//! Loops that read from the platform and write to it.

use std::{sync::Arc, time::Duration};

use kingcupford_config::Head;
use kingcupford_engine::{LEDGER_NAME, ZONE_STATUS_PREFIX};
use kingcupford_fleet::ListedHost;
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, ListedHostState, Object, ObjectStore as _, Watcher,
    WatcherSettings, WriteOutcome,
};
use kingcupford_quota::{Ledger, Proposal};
use kingcupford_rollout::RolloutWrite;
use kingcupford_telemetry::Event;
use rand::Rng as _;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep};

use crate::host::{Host, unix_ms};

/// Prefixes of the objects that speakers watch; these objects change rarely. The ledger, which
/// every host refreshes, and the zone statuses are not watched, because they would wake all watches
/// continually.
pub(crate) const WATCHED_PREFIXES: [&str; 2] = ["config/", "rollout/"];

/// Interval between two checks for due writes of the ledger and of rollouts.
const WRITE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two reads of the platform's host list.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between two announcements of this host.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two writes of the zone status.
const ZONE_STATUS_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum time that one watch call waits for a change.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(20);

/// Interval between two checks whether this host is a speaker.
const SPEAKER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two reads of the ledger.
const LEDGER_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the objects with a prefix while this host is a speaker of its zone.
pub(crate) async fn watch_loop(host: &Arc<Host>, prefix: &str) {
    loop {
        if host.engine.lock().is_speaker() {
            watch_prefix(host, prefix).await;
        }
        sleep(SPEAKER_CHECK_INTERVAL).await;
    }
}

/// Watches the objects with a prefix until this host is no longer a speaker.
async fn watch_prefix(host: &Arc<Host>, prefix: &str) {
    let settings = WatcherSettings {
        prefixes: vec![prefix.to_owned()],
        wait_ms: MAX_WATCH_WAIT.as_millis() as u64,
        ..WatcherSettings::default()
    };
    let mut watcher = Watcher::start(Arc::clone(&host.store), settings, rand::rng().random());
    let mut ticks = interval(SPEAKER_CHECK_INTERVAL);
    loop {
        tokio::select! {
            event = watcher.events.recv() => {
                let Some(event) = event else { return };
                if let Some(object) = event.object {
                    apply_object(host, &event.name, &object);
                }
            }
            _ = ticks.tick() => {
                if !host.engine.lock().is_speaker() {
                    return;
                }
            }
        }
        fetch_chunks(host).await;
    }
}

/// Applies an object of the platform to the engine.
fn apply_object(host: &Host, name: &str, object: &Object) {
    // The head carries its own version, which keeps increasing if the platform's object versions
    // restart.
    let version = match name {
        "config/head" => match serde_json::from_slice::<Head>(&object.bytes) {
            Ok(it) => it.version,
            Err(error) => {
                Event::ConfigRejected.log(format_args!("{name}: {error}"));
                return;
            }
        },
        _ => object.version,
    };
    host.engine.lock().apply_platform_document(name, version, &object.bytes, Instant::now());
}

/// Reads the chunks that the newest configuration head still needs.
async fn fetch_chunks(host: &Host) {
    let missing = host.engine.lock().missing_chunks();
    for chunk in missing {
        host.metrics.platform_calls.inc();
        match host.store.read(&format!("chunk/{chunk}")).await {
            CallOutcome::Value(Some(object)) => host.engine.lock().insert_chunk(&object.bytes),
            CallOutcome::Value(None) => Event::ChunkMissing.log(format_args!("{chunk}")),
            // A peer may send the chunk, and the next call tries again.
            CallOutcome::Unavailable | CallOutcome::Throttled { .. } => return,
        }
    }
}

/// Reads the ledger while this host is a speaker of its zone. The reads also detect outages of the
/// platform, which a pending watch reports only after its wait has ended.
pub(crate) async fn ledger_loop(host: &Arc<Host>) {
    let mut ticks = interval(LEDGER_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_available = true;
    loop {
        ticks.tick().await;
        if !host.engine.lock().is_speaker() {
            continue;
        }
        host.metrics.platform_calls.inc();
        let known_version = host.engine.lock().ledger_version();
        let response = host.store.read(LEDGER_NAME).await;
        let is_available = !matches!(response, CallOutcome::Unavailable);
        if is_available != std::mem::replace(&mut was_available, is_available) {
            let event =
                if is_available { Event::PlatformAvailable } else { Event::PlatformUnavailable };
            event.log(format_args!("{}", host.settings.platform_url));
        }
        match response {
            CallOutcome::Value(Some(object)) => apply_object(host, LEDGER_NAME, &object),
            CallOutcome::Value(None) => {
                let (mut engine, now) = (host.engine.lock(), Instant::now());
                engine.record_platform_contact(now);
                match known_version {
                    Some(version) => engine.record_ledger_lost(version, now),
                    None => engine.record_ledger_missing(),
                }
            }
            CallOutcome::Unavailable | CallOutcome::Throttled { .. } => {}
        }
    }
}

/// Reads the platform's host list while this host is a speaker of its zone.
pub(crate) async fn host_list_loop(host: &Arc<Host>) {
    let mut ticks = interval(HOST_LIST_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !host.engine.lock().is_speaker() {
            continue;
        }
        host.metrics.platform_calls.inc();
        let CallOutcome::Value(entries) = host.store.list_hosts().await else { continue };
        let hosts: Vec<ListedHost> = entries.into_iter().map(listed_host).collect();
        host.engine.lock().apply_platform_hosts(&hosts, Instant::now());
    }
}

/// Announces this host to the platform, which adds it to the host list.
pub(crate) async fn announce_loop(host: &Arc<Host>) {
    let mut ticks = interval(ANNOUNCE_INTERVAL);
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
            state: if draining { ListedHostState::Draining } else { ListedHostState::Live },
            seen_era: None,
        };
        host.metrics.platform_calls.inc();
        // The next announcement replaces one that was lost.
        if let CallOutcome::Value(()) = host.store.announce(&entry).await {
            host.engine.lock().record_platform_contact(Instant::now());
        }
    }
}

/// Writes the status of this host's zone for operators if this host is responsible for it.
pub(crate) async fn status_loop(host: &Arc<Host>) {
    let mut ticks = interval(ZONE_STATUS_INTERVAL);
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
        // The next write replaces one that was lost.
        let _ = host.store.write(&name, bytes.into(), Condition::Always).await;
    }
}

/// Writes the changes of the ledger and of rollouts that the engine proposes.
pub(crate) async fn write_loop(host: &Arc<Host>) {
    let mut ticks = interval(WRITE_CHECK_INTERVAL);
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

/// Writes the ledger and reports the outcome to the engine, with the current ledger after a
/// conflict.
async fn write_ledger(host: &Arc<Host>, proposal: &Proposal) {
    use kingcupford_quota::WriteOutcome as ReportedOutcome;
    let Ok(bytes) = serde_json::to_vec(&proposal.ledger) else { return };
    let condition = proposal.base_version.map_or(Condition::Absent, Condition::Version);
    host.metrics.platform_calls.inc();
    let outcome = host.store.write(LEDGER_NAME, bytes.into(), condition).await;
    let reported = match outcome {
        WriteOutcome::Written { version } => ReportedOutcome::Written(version),
        WriteOutcome::Conflict { .. } => {
            host.metrics.platform_calls.inc();
            match host.store.read(LEDGER_NAME).await {
                CallOutcome::Value(Some(object)) => {
                    match serde_json::from_slice::<Ledger>(&object.bytes) {
                        Ok(ledger) => ReportedOutcome::Conflict(object.version, ledger),
                        Err(_) => ReportedOutcome::Unknown,
                    }
                }
                _ => ReportedOutcome::Unknown,
            }
        }
        _ => ReportedOutcome::Unknown,
    };
    host.engine.lock().record_proposal_outcome(proposal, reported, Instant::now());
}

/// Writes a rollout and reports the outcome to the engine.
async fn write_rollout(host: &Arc<Host>, write: &RolloutWrite) {
    use kingcupford_rollout::WriteOutcome as ReportedOutcome;
    let Ok(bytes) = serde_json::to_vec(&write.rollout) else { return };
    let name = format!("{}{}", kingcupford_engine::ROLLOUT_PREFIX, write.rollout.service);
    let condition = write.expected_version.map_or(Condition::Absent, Condition::Version);
    host.metrics.platform_calls.inc();
    let outcome = host.store.write(&name, bytes.into(), condition).await;
    let reported = match outcome {
        WriteOutcome::Written { version } => ReportedOutcome::Written { version },
        WriteOutcome::Conflict { .. } => ReportedOutcome::Conflict,
        _ => ReportedOutcome::Unknown,
    };
    if let ReportedOutcome::Written { .. } = reported {
        Event::RolloutChanged.log(format_args!(
            "{} to {}: {} at {}%",
            write.rollout.service,
            write.rollout.to,
            write.rollout.state,
            write.rollout.share_percent(),
        ));
    }
    host.engine.lock().record_rollout_outcome(write, reported, Instant::now());
    if reported == ReportedOutcome::Conflict {
        // The watch also delivers the newer object, but the rollout controller must not wait for
        // it.
        match host.store.read(&name).await {
            CallOutcome::Value(Some(object)) => apply_object(host, &name, &object),
            CallOutcome::Value(None) => host.engine.lock().record_rollout_lost(write),
            CallOutcome::Unavailable | CallOutcome::Throttled { .. } => {}
        }
    }
}

/// Converts an entry of the platform's host list.
fn listed_host(entry: HostEntry) -> ListedHost {
    ListedHost {
        name: entry.name,
        zone: entry.zone,
        peer_address: entry.peer_address,
        public_addresses: entry.public_addresses.iter().map(ToString::to_string).collect(),
        draining: entry.state == ListedHostState::Draining,
    }
}
