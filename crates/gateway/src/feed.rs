//! What the process learns from the platform and writes to it.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use kingcupford_platform::{
    Answer, Condition, HostEntry, HostState, ObjectStore, Outage, Progress, Reachability,
    WatchEvent, Watcher, WatcherSettings, WriteOutcome,
};
use kingcupford_steer::{
    Canary, InstanceRegistration, Lapse, Manifest, Member, RegistrationChange, RolloutOrder,
    RolloutState, StoreSource, ZoneMap, name_hash,
};
use kingcupford_telemetry::Event;
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::{
    relay::RelayedStore,
    state::{Phase, State},
};

/// Wait of one watch on the manifest: each that ends confirms the view.
const MANIFEST_WAIT_MS: u64 = 1000;

/// Wait of watches on registrations and evacuations, whose changes are bound to be heeded within
/// 2.5 s: a change is noticed at once, a watch that hangs after this time.
const BOUNDED_WAIT_MS: u64 = 1200;

/// Wait of watches on rollouts and hosts.
const OTHER_WAIT_MS: u64 = 3000;

/// Time beyond the wait of a watch after which its end is overdue: several round trips between
/// regions. Together with the waits for what has a bound this stays below the shortest one, 2.5 s.
const OVERDUE: Duration = Duration::from_millis(700);

/// Least time between two watches of a kind whose changes have a bound, so that a burst of changes
/// takes few calls.
const SPACING_MS: u64 = 100;

/// The same for rollouts and hosts.
const OTHER_SPACING_MS: u64 = 300;

/// Time over which the hosts of a deployment that starts for the first time spread their first
/// calls, so that most of them find a reader; callers come seconds later.
const FIRST_START_SPREAD: Duration = Duration::from_secs(2);

/// The same for a process that starts again: a reader is heard within a beat, if there is one.
const START_SPREAD: Duration = Duration::from_millis(300);

/// Time between two looks for a reader at the start.
const START_CHECK: Duration = Duration::from_millis(20);

/// Longest wait between two attempts to follow the manifest during an outage, so that its end is
/// noticed soon.
const MANIFEST_BACKOFF_MS: u64 = 300;

/// Longest wait between two attempts to follow another kind during an outage: what is missed costs
/// less than a view that cannot be confirmed.
const OTHER_BACKOFF_MS: u64 = 900;

/// Outages shorter than this cannot have let registrations lapse: instances register every 1.5 s,
/// and an entry ends after three silent intervals.
const LAPSING_OUTAGE: Duration = Duration::from_millis(2500);

/// Time after an outage in which living instances register again.
const REGISTER_AGAIN: Duration = Duration::from_millis(2200);

/// Time for which a peer may have a newer manifest before the own watch is taken to hang: several
/// round trips between regions, and short against the bound for new manifests.
const HANGING_WATCH: Duration = Duration::from_millis(800);

/// Time between two looks at the peers' manifests.
const BEHIND_CHECK: Duration = Duration::from_millis(200);

/// Time between two attempts to register this host.
const ANNOUNCE_AGAIN_MS: u64 = 300;

/// Kinds of objects in the platform.
#[derive(Debug, Clone, Copy)]
pub struct ObjectNames {
    /// Start of the manifest's name.
    pub manifest_prefix: &'static str,
    /// Start of the names of registrations.
    pub instance_prefix: &'static str,
    /// Start of the names of rollout orders.
    pub rollout_prefix: &'static str,
    /// End of the name under which a rollout's status is written.
    pub rollout_status_suffix: &'static str,
    /// Start of the names of evacuations.
    pub evacuation_prefix: &'static str,
    /// Start of the names of this system's hosts.
    pub host_prefix: &'static str,
}

/// Decodes the platform's objects into the product's types; an error names the field.
pub trait ObjectCodec: 'static {
    /// Kinds of objects.
    fn object_names(&self) -> ObjectNames;

    /// A manifest.
    fn decode_manifest(&self, value: &[u8]) -> anyhow::Result<Manifest>;

    /// A registration.
    fn decode_instance(
        &self,
        id: &str,
        value: &[u8],
        places: &ZoneMap,
    ) -> anyhow::Result<InstanceRegistration>;

    /// A rollout order with its status.
    fn decode_rollout(&self, service: &str, value: &[u8]) -> anyhow::Result<RolloutObject>;

    /// A host of this system.
    fn decode_host(&self, value: &[u8]) -> anyhow::Result<HostEntry>;

    /// The value of a rollout's status.
    fn encode_rollout_status(&self, status: &StoredRolloutStatus) -> Bytes;
}

/// A rollout as the platform holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutObject {
    /// The order.
    pub order: RolloutOrder,
    /// The status that was written last, which may be that of an earlier order.
    pub status: Option<StoredRolloutStatus>,
}

/// A rollout's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRolloutStatus {
    /// The version that it speaks of.
    pub target_version: String,
    /// The state.
    pub state: RolloutState,
    /// When the order was first seen.
    pub started_unix_ms: Option<u64>,
}

/// Follows the platform until it is dropped.
pub(crate) struct Feed<S, D> {
    /// The platform, followed through another host where one reads.
    store: Arc<RelayedStore<S>>,
    /// Where it is followed.
    source: Rc<watch::Sender<StoreSource>>,
    /// Decodes objects.
    decoder: Rc<D>,
    /// How the platform holds this host.
    registered: Rc<watch::Sender<Registration>>,
    /// The process.
    state: Rc<State>,
}

/// How the platform holds this host.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Registration {
    /// The hosts were not followed yet.
    Unknown,
    /// It does not.
    Absent,
    /// Like this.
    Present(HostEntry),
}

impl<S, D> Clone for Feed<S, D> {
    fn clone(&self) -> Self {
        Self {
            store: Arc::clone(&self.store),
            source: Rc::clone(&self.source),
            decoder: Rc::clone(&self.decoder),
            registered: Rc::clone(&self.registered),
            state: Rc::clone(&self.state),
        }
    }
}

impl<S: ObjectStore, D: ObjectCodec> Feed<S, D> {
    /// A feed that has not started.
    pub(crate) fn new(store: Arc<S>, decoder: Rc<D>, state: Rc<State>) -> Self {
        let (source, receiver) = watch::channel(StoreSource::Platform);
        let calls = state.metrics.store_calls.clone();
        let store = Arc::new(RelayedStore::new(store, receiver, calls));
        let registered = Rc::new(watch::Sender::new(Registration::Unknown));
        Self { store, source: Rc::new(source), decoder, registered, state }
    }

    /// Follows the platform where the view of the hosts says.
    pub(crate) fn choose_source(&self, now: Instant) {
        let mut steering = self.state.steering.borrow_mut();
        let present = self.source.borrow().clone();
        let current = match present {
            StoreSource::Platform => None,
            StoreSource::Host { address: host, .. } => Some(host),
        };
        let source = steering.store_source(current, now);
        if source == present {
            return;
        }
        match &source {
            StoreSource::Platform => Event::ReaderChanged.log(format_args!("reader=self")),
            StoreSource::Host { address: host, is_reader: reads, fallbacks: others } => {
                if current != Some(*host) {
                    let others = others.len();
                    Event::ReaderChanged
                        .log(format_args!("reader={host} reads={reads} others={others}"));
                }
                steering.record_following_host();
            }
        }
        drop(steering);
        self.source.send_replace(source);
    }

    /// Starts to follow every kind and to register this host.
    pub(crate) fn start(&self) {
        let names = self.decoder.object_names();
        let kinds = [
            (names.instance_prefix, BOUNDED_WAIT_MS),
            (names.evacuation_prefix, BOUNDED_WAIT_MS),
            (names.rollout_prefix, OTHER_WAIT_MS),
        ];
        for (prefix, wait_ms) in kinds {
            let feed = self.clone();
            tokio::task::spawn_local(async move {
                feed.find_reader().await;
                feed.follow(prefix, wait_ms).await;
            });
        }
        let feed = self.clone();
        tokio::task::spawn_local(
            async move { feed.follow(names.host_prefix, OTHER_WAIT_MS).await },
        );
        let feed = self.clone();
        tokio::task::spawn_local(async move {
            feed.find_reader().await;
            loop {
                tokio::select! {
                    () = feed.follow(names.manifest_prefix, MANIFEST_WAIT_MS) => {}
                    // A new watcher begins with a list.
                    () = feed.falls_behind() => {}
                }
            }
        });
        let feed = self.clone();
        tokio::task::spawn_local(async move { feed.announce().await });
    }

    /// Waits until another host is heard to read, but not for long.
    async fn find_reader(&self) {
        let settings = self.state.settings();
        let spread = if settings.first_start { FIRST_START_SPREAD } else { START_SPREAD };
        let part = f64::from(name_hash(&settings.steering.own_host.name)) / f64::from(u32::MAX);
        let until = Instant::now() + spread.mul_f64(part);
        let finds = || matches!(*self.source.borrow(), StoreSource::Host { is_reader: true, .. });
        while Instant::now() < until && !finds() {
            sleep(START_CHECK).await;
        }
    }

    /// Writes a rollout's status if nobody else changed it.
    pub(crate) fn write_status(&self, service: String, version: String, state: RolloutState) {
        let known = self.state.rollout_versions.borrow().get(&service).copied();
        let Some(object_version) = known else { return };
        let started = self.state.rollout_starts.borrow().get(&service).copied();
        let status = StoredRolloutStatus {
            target_version: version,
            state,
            started_unix_ms: Some(started.unwrap_or_else(unix_ms)),
        };
        let names = self.decoder.object_names();
        let name = format!("{}{service}{}", names.rollout_prefix, names.rollout_status_suffix);
        let value = self.decoder.encode_rollout_status(&status);
        let feed = self.clone();
        tokio::task::spawn_local(async move {
            let condition = Condition::Version(object_version);
            let outcome = feed.store.write(&name, value, condition).await;
            let version = &status.target_version;
            Event::RolloutStatusWritten.log(format_args!(
                "service={service} version={version} state={state} \
                 object_version={object_version} outcome=\"{outcome:?}\""
            ));
            if let WriteOutcome::Written { version } = outcome {
                let mut versions = feed.state.rollout_versions.borrow_mut();
                let known = versions.entry(service.clone()).or_insert(version);
                *known = version.max(*known);
                drop(versions);
                let mut steering = feed.state.steering.borrow_mut();
                if let Some(it) = steering.versions.rollout_mut(&service)
                    && it.order().target_version == status.target_version
                {
                    it.set_state(state);
                }
            }
        });
    }

    /// Ends the registration of this host.
    pub(crate) async fn retire(&self) {
        let own = self.state.settings().steering.own_host.name.clone();
        let name = format!("{}{own}", self.decoder.object_names().host_prefix);
        let outcome = self.store.delete(&name, Condition::Always).await;
        log::debug!("registration of {own} deleted: {outcome:?}");
    }

    /// Waits until a peer has had a newer manifest for so long that the own watch must hang.
    async fn falls_behind(&self) {
        // A list takes a round trip; a watcher that has just started gets the time for it.
        sleep(HANGING_WATCH).await;
        while self.state.behind_for(Instant::now()).is_none_or(|it| it < HANGING_WATCH) {
            sleep(BEHIND_CHECK).await;
        }
        let behind = self.state.newer_manifest.get().map_or(0, |it| it.0);
        log::warn!("watch of the manifest hangs: a peer has version {behind}");
    }

    /// Registers this host and keeps it registered; what is already stored is not written again.
    async fn announce(&self) {
        let mut registered = self.registered.subscribe();
        loop {
            let entry = self.own_entry();
            let present = registered.borrow_and_update().clone();
            let is_due = match present {
                // Once this host has retired it stays so.
                _ if self.state.phase.get() != Phase::Serving => return,
                Registration::Unknown => false,
                Registration::Absent => true,
                Registration::Present(it) => it != entry,
            };
            let again_ms = if !is_due {
                None
            } else {
                match self.store.announce(&entry).await {
                    Answer::Value(()) => None,
                    Answer::Unavailable => Some(ANNOUNCE_AGAIN_MS),
                    Answer::Throttled { retry_after_ms } => Some(retry_after_ms),
                }
            };
            match again_ms {
                Some(it) => sleep(Duration::from_millis(it)).await,
                None => {
                    if registered.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// The registration that this host should have.
    fn own_entry(&self) -> HostEntry {
        let settings = self.state.settings();
        let own = &settings.steering.own_host;
        HostEntry {
            name: own.name.clone(),
            zone: settings.steering.zone_map.zone_name(own.locality.zone).to_owned(),
            peer_address: own.peer_address,
            public_addresses: vec![own.caller_address],
            state: HostState::Live,
        }
    }

    /// Follows the objects of one kind.
    async fn follow(&self, prefix: &'static str, wait_ms: u64) {
        let names = self.decoder.object_names();
        let is_manifest = prefix == names.manifest_prefix;
        let is_bounded =
            is_manifest || [names.instance_prefix, names.evacuation_prefix].contains(&prefix);
        let settings = WatcherSettings {
            prefixes: vec![prefix.to_owned()],
            wait_ms,
            short_wait_ms: wait_ms.min(500),
            spacing_ms: if is_bounded { SPACING_MS } else { OTHER_SPACING_MS },
            max_backoff_ms: if is_manifest { MANIFEST_BACKOFF_MS } else { OTHER_BACKOFF_MS },
        };
        let seed = self.state.settings().steering.seed;
        let mut watcher = Watcher::start(Arc::clone(&self.store), settings, seed);
        loop {
            tokio::select! {
                biased;
                // Changes go first: progress says that all of them were told.
                event = watcher.events.recv() => match event {
                    Some(it) => self.apply(prefix, it),
                    None => return,
                },
                Ok(()) = watcher.progress.changed() => {
                    let progress = *watcher.progress.borrow_and_update();
                    if let Some(it) = progress {
                        self.progressed(prefix, wait_ms, it);
                    }
                }
                Ok(()) = watcher.reachability.changed() => {
                    let reach = *watcher.reachability.borrow_and_update();
                    match reach {
                        Reachability::Unknown => {}
                        Reachability::Reachable => {
                            Event::PlatformAvailable.log(format_args!("watch={prefix}"));
                        }
                        Reachability::Unreachable { .. } => {
                            Event::PlatformUnavailable.log(format_args!("watch={prefix}"));
                        }
                    }
                }
            }
        }
    }

    /// Notes that everything up to a time was told.
    fn progressed(&self, prefix: &str, wait_ms: u64, progress: Progress) {
        let now = Instant::now();
        let is_direct = *self.source.borrow() == StoreSource::Platform;
        let stale_at = now + Duration::from_millis(wait_ms) + OVERDUE;
        self.state.mirror.progress(prefix, progress.revision, progress.sent_at, stale_at);
        if prefix == self.decoder.object_names().host_prefix {
            self.registered.send_if_modified(|it| {
                let is_first = *it == Registration::Unknown;
                if is_first {
                    *it = Registration::Absent;
                }
                is_first
            });
        }
        if prefix == self.decoder.object_names().manifest_prefix {
            self.state.check_pause(now);
            let mut steering = self.state.steering.borrow_mut();
            steering.freshness.confirm(progress.sent_at);
            if is_direct {
                steering.record_platform_answer(now);
            }
        }
    }

    /// Takes a change in.
    fn apply(&self, prefix: &str, event: WatchEvent) {
        let names = self.decoder.object_names();
        let object = event.object.as_ref().map(|it| (it.version, it.bytes.clone()));
        self.state.mirror.change(prefix, &event.name, object);
        let name = event.name.strip_prefix(prefix).unwrap_or(&event.name).to_owned();
        if prefix == names.manifest_prefix {
            self.apply_manifest(&event);
        } else if prefix == names.instance_prefix {
            self.apply_instance(&name, event);
        } else if prefix == names.rollout_prefix {
            self.apply_rollout(&name, event);
        } else if prefix == names.evacuation_prefix {
            self.apply_evacuation(&name, event.object.is_some());
        } else {
            self.apply_host(&name, event);
        }
    }

    /// Takes a manifest in.
    fn apply_manifest(&self, event: &WatchEvent) {
        let Some(object) = &event.object else {
            let name = &event.name;
            Event::ConfigRejected.log(format_args!("object={name} reason=\"it was deleted\""));
            return;
        };
        let manifest = match self.decoder.decode_manifest(&object.bytes) {
            Ok(it) => it,
            Err(error) => {
                let (name, version) = (&event.name, object.version);
                Event::ConfigRejected.log(format_args!(
                    "object={name} object_version={version} reason=\"{error:#}\""
                ));
                return;
            }
        };
        let (version, routes) = (manifest.version(), manifest.route_count());
        let mut steering = self.state.steering.borrow_mut();
        let in_force = steering.manifest().map_or(0, |it| it.version());
        if steering.apply_manifest(manifest, Instant::now()) {
            Event::ConfigActive
                .log(format_args!("version={version} before={in_force} routes={routes}"));
        } else if version < in_force {
            Event::ConfigOlderIgnored.log(format_args!("version={version} in_force={in_force}"));
        }
    }

    /// Takes a registration or its end in.
    fn apply_instance(&self, id: &str, event: WatchEvent) {
        let now = Instant::now();
        let mut steering = self.state.steering.borrow_mut();
        let known = steering.instances.key(id);
        let Some(object) = event.object else {
            let lapse = lapse(event.outage, now);
            if lapse == Lapse::Gone
                && let Some(key) = known
            {
                self.state.pool.forget(key);
            }
            steering.instances.deregister(id, lapse);
            Event::InstanceGone.log(format_args!("instance={id} lapse=\"{lapse:?}\""));
            return;
        };
        let report = self.decoder.decode_instance(id, &object.bytes, &steering.settings().zone_map);
        let report = match report {
            Ok(it) => it,
            Err(error) => {
                let version = object.version;
                Event::InstanceRejected.log(format_args!(
                    "instance={id} object_version={version} reason=\"{error:#}\""
                ));
                steering.instances.deregister(id, Lapse::Gone);
                return;
            }
        };
        let details = format!(
            "instance={id} service={} address={} version={} slots={} state={} cold_ms={}",
            report.service,
            report.address,
            report.version,
            report.slots,
            report.state,
            report.cold_remaining.as_millis()
        );
        match steering.instances.register(report, now) {
            RegistrationChange::Started | RegistrationChange::Updated => {
                Event::InstanceRegistered.log(format_args!("{details}"));
            }
            RegistrationChange::Draining => {
                if let Some(key) = known {
                    self.state.pool.forget(key);
                }
                Event::InstanceDraining.log(format_args!("{details}"));
            }
            RegistrationChange::Unchanged => {}
        }
    }

    /// Takes a rollout order, its status, or its end in.
    fn apply_rollout(&self, service: &str, event: WatchEvent) {
        let Some(object) = event.object else {
            self.state.rollout_versions.borrow_mut().remove(service);
            self.state.rollout_starts.borrow_mut().remove(service);
            self.state.steering.borrow_mut().versions.remove_rollout(service);
            Event::RolloutChanged.log(format_args!("service={service} state=removed"));
            return;
        };
        let rollout = match self.decoder.decode_rollout(service, &object.bytes) {
            Ok(it) => it,
            Err(error) => {
                let version = object.version;
                Event::OrderRejected.log(format_args!(
                    "rollout={service} object_version={version} reason=\"{error:#}\""
                ));
                return;
            }
        };
        let now = Instant::now();
        let order = rollout.order;
        let status = rollout.status.filter(|it| it.target_version == order.target_version);
        let started = status.as_ref().and_then(|it| it.started_unix_ms);
        self.state.rollout_versions.borrow_mut().insert(service.to_owned(), object.version);
        let mut starts = self.state.rollout_starts.borrow_mut();
        let mut steering = self.state.steering.borrow_mut();
        let settings = steering.settings().canary;
        let known = steering.versions.rollout(service).map(Canary::order);
        if known != Some(&order) {
            let started_ms = started.unwrap_or_else(unix_ms);
            starts.insert(service.to_owned(), started_ms);
            let elapsed = Duration::from_millis(unix_ms().saturating_sub(started_ms));
            let canary = Canary::new(order.clone(), settings, elapsed, now);
            steering.versions.insert_rollout(canary);
        }
        let state = status.map(|it| it.state);
        if let (Some(state), Some(it)) = (state, steering.versions.rollout_mut(&order.service)) {
            it.set_state(state);
        }
        Event::RolloutChanged.log(format_args!(
            "service={service} version={} duration_ms={} state={} object_version={}",
            order.target_version,
            order.duration.as_millis(),
            state.map_or("ordered".to_owned(), |it| it.to_string()),
            object.version
        ));
    }

    /// Takes the evacuation of a zone or its end in.
    fn apply_evacuation(&self, zone: &str, is_ordered: bool) {
        let mut steering = self.state.steering.borrow_mut();
        let Some(place) = steering.settings().zone_map.locality(zone) else {
            Event::OrderRejected.log(format_args!("evacuation={zone} reason=\"unknown zone\""));
            return;
        };
        let mut zones = steering.selector.evacuated_zones().to_vec();
        zones.retain(|it| *it != place.zone);
        if is_ordered {
            zones.push(place.zone);
            Event::ZoneEvacuated.log(format_args!("zone={zone}"));
        } else {
            Event::ZoneReturned.log(format_args!("zone={zone}"));
        }
        steering.selector.set_evacuated_zones(zones);
    }

    /// Takes the registration of a host or its end in.
    fn apply_host(&self, name: &str, event: WatchEvent) {
        let mut steering = self.state.steering.borrow_mut();
        if name == steering.settings().own_host.name {
            let entry = event.object.and_then(|it| {
                let entry = self.decoder.decode_host(&it.bytes);
                entry
                    .inspect_err(|error| log::warn!("own registration is replaced: {error:#}"))
                    .ok()
            });
            self.registered.send_replace(entry.map_or(Registration::Absent, Registration::Present));
            return;
        }
        let Some(object) = event.object else {
            steering.members.deregister(name);
            Event::MemberGone.log(format_args!("member={name} reason=\"no longer registered\""));
            return;
        };
        let entry = self.decoder.decode_host(&object.bytes);
        let member = entry.and_then(|it| member(it, &steering.settings().zone_map));
        match member {
            Ok(it) => {
                let own = steering.settings().own_host.locality;
                steering.members.register(it, own, Instant::now());
            }
            Err(error) => {
                Event::PeerRefused.log(format_args!("member={name} reason=\"{error:#}\""));
            }
        }
    }
}

/// A host from its registration.
fn member(entry: HostEntry, places: &ZoneMap) -> anyhow::Result<Member> {
    let HostEntry { name, zone, peer_address, public_addresses, state: _ } = entry;
    let place = places.locality(&zone);
    let place = place.ok_or_else(|| anyhow::anyhow!("zone `{zone}` is not in the settings"))?;
    let address = public_addresses.first();
    let caller_address =
        *address.ok_or_else(|| anyhow::anyhow!("public_addresses of `{name}` is empty"))?;
    Ok(Member { name, locality: place, peer_address, caller_address })
}

/// What the end of a registration means after an outage.
fn lapse(outage: Option<Outage>, now: Instant) -> Lapse {
    let Some(outage) = outage else { return Lapse::Gone };
    let length = outage.ended_at.saturating_duration_since(outage.began_at);
    let until = outage.ended_at + REGISTER_AGAIN;
    if length >= LAPSING_OUTAGE && now < until { Lapse::Until(until) } else { Lapse::Gone }
}

/// The time of day.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
