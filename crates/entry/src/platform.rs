//! What an entry host reads from the platform and writes to it.

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

/// Prefixes of the objects that speakers watch. They change seldom; the ledger, which every host
/// refreshes, and the states of zones would wake all watches all the time.
pub(crate) const FOLLOWED: [&str; 2] = ["config/", "rollout/"];

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

/// Time between two checks whether this host became a speaker.
const SPEAKER_CHECK: Duration = Duration::from_secs(1);

/// Time between two readings of the ledger.
const LEDGER_EVERY: Duration = Duration::from_secs(2);

/// Follows the objects below a prefix while this host is a speaker of its zone.
pub(crate) async fn follow_loop(host: &Arc<Host>, prefix: &str) {
    loop {
        if host.engine.lock().is_speaker() {
            follow(host, prefix).await;
        }
        sleep(SPEAKER_CHECK).await;
    }
}

/// Follows the objects below a prefix until this host is no speaker any more.
async fn follow(host: &Arc<Host>, prefix: &str) {
    let settings = WatcherSettings {
        prefixes: vec![prefix.to_owned()],
        wait_ms: WATCH_WAIT.as_millis() as u64,
        ..WatcherSettings::default()
    };
    let mut watcher = Watcher::start(Arc::clone(&host.store), settings, rand::rng().random());
    let mut ticks = interval(SPEAKER_CHECK);
    loop {
        tokio::select! {
            event = watcher.events.recv() => {
                let Some(event) = event else { return };
                if let Some(object) = event.object {
                    adopt(host, &event.name, &object);
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

/// Hands an object to the policy.
fn adopt(host: &Host, name: &str, object: &Object) {
    // The head carries its own number, which goes on when the platform's versions restart.
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

/// Reads the chunks that the newest head needs.
async fn fetch_chunks(host: &Host) {
    let missing = host.engine.lock().missing_chunks();
    for chunk in missing {
        host.metrics.platform_calls.inc();
        match host.store.read(&format!("chunk/{chunk}")).await {
            CallOutcome::Value(Some(object)) => host.engine.lock().insert_chunk(&object.bytes),
            CallOutcome::Value(None) => Event::ChunkMissing.log(format_args!("{chunk}")),
            // Peers may have it, and the next call asks again.
            CallOutcome::Unavailable | CallOutcome::Throttled { .. } => return,
        }
    }
}

/// Reads the ledger while this host is a speaker of its zone, and notices outages by it: a pending
/// watch tells of one only when its wait ends.
pub(crate) async fn ledger_loop(host: &Arc<Host>) {
    let mut ticks = interval(LEDGER_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut was_available = true;
    loop {
        ticks.tick().await;
        if !host.engine.lock().is_speaker() {
            continue;
        }
        host.metrics.platform_calls.inc();
        let answer = host.store.read(LEDGER_NAME).await;
        let is_available = !matches!(answer, CallOutcome::Unavailable);
        if is_available != std::mem::replace(&mut was_available, is_available) {
            let event =
                if is_available { Event::PlatformAvailable } else { Event::PlatformUnavailable };
            event.log(format_args!("{}", host.settings.platform_url));
        }
        match answer {
            CallOutcome::Value(Some(object)) => adopt(host, LEDGER_NAME, &object),
            CallOutcome::Value(None) => {
                let mut engine = host.engine.lock();
                engine.record_platform_contact(Instant::now());
                engine.record_ledger_missing();
            }
            CallOutcome::Unavailable | CallOutcome::Throttled { .. } => {}
        }
    }
}

/// Reads the platform's list of hosts.
pub(crate) async fn hosts_loop(host: &Arc<Host>) {
    let mut ticks = interval(HOSTS_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !host.engine.lock().is_speaker() {
            continue;
        }
        host.metrics.platform_calls.inc();
        let CallOutcome::Value(entries) = host.store.list_hosts().await else { continue };
        let candidates: Vec<ListedHost> = entries.into_iter().map(candidate).collect();
        host.engine.lock().apply_platform_hosts(&candidates, Instant::now());
    }
}

/// Announces this host to the platform's list.
pub(crate) async fn announce_loop(host: &Arc<Host>) {
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
            state: if draining { ListedHostState::Draining } else { ListedHostState::Live },
        };
        host.metrics.platform_calls.inc();
        // A lost announcement is repeated with the next one.
        if let CallOutcome::Value(()) = host.store.announce(&entry).await {
            host.engine.lock().record_platform_contact(Instant::now());
        }
    }
}

/// Writes the state of this host's zone for operators.
pub(crate) async fn status_loop(host: &Arc<Host>) {
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
pub(crate) async fn write_loop(host: &Arc<Host>) {
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
    let outcome = host.store.write(LEDGER_NAME, bytes.into(), condition).await;
    let reported = match outcome {
        WriteOutcome::Written { version } => Reported::Written(version),
        WriteOutcome::Conflict { .. } => {
            host.metrics.platform_calls.inc();
            match host.store.read(LEDGER_NAME).await {
                CallOutcome::Value(Some(object)) => {
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
    host.engine.lock().record_proposal_outcome(proposal, reported, Instant::now());
}

/// Writes a rollout and reports the outcome.
async fn write_rollout(host: &Arc<Host>, write: &RolloutWrite) {
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
    host.engine.lock().record_rollout_outcome(write, reported, Instant::now());
    if reported == Reported::Conflict {
        // The newer object also comes by the watch, but a controller must not wait for it.
        if let CallOutcome::Value(Some(object)) = host.store.read(&name).await {
            adopt(host, &name, &object);
        }
    }
}

/// An entry of the platform's list as membership takes it.
fn candidate(entry: HostEntry) -> ListedHost {
    ListedHost {
        name: entry.name,
        zone: entry.zone,
        peer_address: entry.peer_address,
        public_addresses: entry.public_addresses.iter().map(ToString::to_string).collect(),
        draining: entry.state == ListedHostState::Draining,
    }
}
