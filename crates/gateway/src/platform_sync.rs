//! Synchronization with the platform: follows objects, writes rollout statuses, registers this
//! host.

use std::{
    cell::Cell,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use kingcupford_platform::{
    CallOutcome, Condition, HostEntry, ListedHostState, ListedObject, Object, ObjectStore, Outage,
    Reachability, Restoration, SeenEra, StoreRevision, WatchEvent, WatchProgress, Watcher,
    WatcherSettings, WriteOutcome,
};
use kingcupford_steer::{
    Canary, InstanceRegistration, Lapse, Manifest, Member, RegistrationChange, RolloutOrder,
    RolloutState, StoreSource, ZoneMap, name_hash,
};
use kingcupford_telemetry::Event;
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep},
};

use crate::{
    relay::RelayedStore,
    state::{Phase, State},
};

/// Wait of a watch on the manifest. Every watch that ends confirms the view.
const MANIFEST_WATCH_WAIT_MS: u64 = 1000;

/// Wait of a watch on instances or evacuations, whose changes must take effect within 2.5 s. A
/// change ends the watch at once; a watch that hangs is noticed only after this time.
const BOUNDED_WATCH_WAIT_MS: u64 = 1200;

/// Wait of a watch on rollouts or hosts.
const OTHER_WATCH_WAIT_MS: u64 = 3000;

/// Time beyond the wait after which the end of a watch is overdue: several round trips between
/// regions. Together with the wait on a prefix whose changes have a time bound, it stays below the
/// shortest bound, 2.5 s.
const WATCH_OVERDUE_MARGIN: Duration = Duration::from_millis(700);

/// Minimum time between two watches on a prefix whose changes have a time bound, so that a burst of
/// changes takes few calls.
const BOUNDED_WATCH_SPACING_MS: u64 = 100;

/// Minimum time between two watches on rollouts or hosts.
const OTHER_WATCH_SPACING_MS: u64 = 300;

/// Time over which the hosts of a new deployment spread their first calls, so that most of them
/// find a reader; callers arrive seconds later.
const FIRST_START_SPREAD: Duration = Duration::from_secs(2);

/// Time over which restarted hosts spread their first calls. If there is a reader, its heartbeat
/// arrives within one heartbeat interval.
const RESTART_SPREAD: Duration = Duration::from_millis(300);

/// Time for which a restarted host waits for the first list of host registrations.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a restoration of the platform in which operators and instances write again what it
/// lost.
const RESTORATION_SETTLING_TIME: Duration = Duration::from_secs(10);

/// Interval between checks for peers and for a reader at the start.
const READER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum backoff between attempts to follow the manifest during an outage, so that the end of the
/// outage is noticed soon.
const MAX_MANIFEST_BACKOFF_MS: u64 = 300;

/// Maximum backoff between attempts to follow other prefixes during an outage; a missed change
/// costs less there than a view that cannot be confirmed.
const MAX_OTHER_BACKOFF_MS: u64 = 900;

/// Minimum outage that can make registrations lapse: instances register every 1.5 s, and the
/// platform deletes a registration after three missed intervals.
const MIN_LAPSE_OUTAGE: Duration = Duration::from_millis(2500);

/// Time after an outage within which running instances register again.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);

/// Time for which a peer may have a newer manifest before this host's own watch counts as hung:
/// several round trips between regions, and short against the time bound for new manifests.
const WATCH_HANG_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a list beside a hung watch may take to begin to arrive, before the manifest is
/// copied from a peer: the timeout of a call between hosts.
const CHECK_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks for newer manifests at peers.
const MANIFEST_LAG_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay before a failed registration of this host is repeated.
const ANNOUNCE_RETRY_DELAY_MS: u64 = 300;

/// Maximum size of the value of a rejected object that is sent to other hosts: several times that of
/// a valid registration, which hosts with other settings may accept.
const MAX_REJECTED_BYTES: usize = 4096;

/// Names of the platform's objects. Each prefix ends with a slash.
#[derive(Debug, Clone, Copy)]
pub struct ObjectNames {
    /// Name prefix of the manifest.
    pub manifest_prefix: &'static str,
    /// Name prefix of instance registrations, followed by the instance's id.
    pub instance_prefix: &'static str,
    /// Name prefix of rollout orders, followed by the service.
    pub rollout_prefix: &'static str,
    /// Suffix that turns a rollout order's name into the name under which the status is written.
    pub rollout_status_suffix: &'static str,
    /// Name prefix of zone evacuations, followed by the zone.
    pub evacuation_prefix: &'static str,
    /// Name prefix of host registrations, followed by the host's name.
    pub host_prefix: &'static str,
}

/// Decodes and encodes the values of the platform's objects. Decoding errors name the invalid
/// field.
pub trait ObjectCodec: 'static {
    /// Names under which the objects are stored.
    fn object_names(&self) -> ObjectNames;

    /// Decodes a manifest.
    fn decode_manifest(&self, value: &[u8]) -> anyhow::Result<Manifest>;

    /// Decodes the registration of the instance `id`; the instance's zone must be in `zone_map`.
    fn decode_instance(
        &self,
        id: &str,
        value: &[u8],
        zone_map: &ZoneMap,
    ) -> anyhow::Result<InstanceRegistration>;

    /// Decodes the rollout order for `service` together with its status.
    fn decode_rollout(&self, service: &str, value: &[u8]) -> anyhow::Result<RolloutObject>;

    /// Decodes the registration of a host of this system.
    fn decode_host(&self, value: &[u8]) -> anyhow::Result<HostEntry>;

    /// Encodes the status of a rollout.
    fn encode_rollout_status(&self, status: &StoredRolloutStatus) -> Bytes;
}

/// A rollout as the platform stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutObject {
    /// The operator's order.
    pub order: RolloutOrder,
    /// The status that was written last; it may belong to an earlier order.
    pub status: Option<StoredRolloutStatus>,
}

/// Status of a rollout as the platform stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRolloutStatus {
    /// The version that the status applies to.
    pub target_version: String,
    /// State of the rollout when the status was written.
    pub state: RolloutState,
    /// Unix time in milliseconds at which a host first saw the order; `None` if it was not stored.
    pub started_unix_ms: Option<u64>,
}

/// Follows the platform's objects, writes to them, and keeps this host registered.
pub(crate) struct PlatformSync<S, C> {
    /// The platform, followed through another host when there is a reader.
    store: Arc<RelayedStore<S>>,
    /// Where the platform is followed.
    source: Rc<watch::Sender<StoreSource>>,
    codec: Rc<C>,
    /// Registration of this host as the platform stores it.
    own_registration: Rc<watch::Sender<OwnRegistration>>,
    /// Era of the store of the newest list of host registrations, `None` before.
    seen_era: Rc<Cell<Option<SeenEra>>>,
    state: Rc<State>,
}

/// Registration of this host as the platform stores it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum OwnRegistration {
    /// Host registrations have not been listed yet.
    Unknown,
    Absent,
    Present(HostEntry),
}

impl<S, C> Clone for PlatformSync<S, C> {
    fn clone(&self) -> Self {
        Self {
            store: Arc::clone(&self.store),
            source: Rc::clone(&self.source),
            codec: Rc::clone(&self.codec),
            own_registration: Rc::clone(&self.own_registration),
            seen_era: Rc::clone(&self.seen_era),
            state: Rc::clone(&self.state),
        }
    }
}

impl<S: ObjectStore, C: ObjectCodec> PlatformSync<S, C> {
    /// Creates the synchronization without starting any task.
    pub(crate) fn new(store: Arc<S>, codec: Rc<C>, state: Rc<State>) -> Self {
        let (source, receiver) = watch::channel(StoreSource::Platform);
        let platform_calls = state.metrics.store_calls.clone();
        let store = Arc::new(RelayedStore::new(store, receiver, platform_calls));
        let own_registration = Rc::new(watch::Sender::new(OwnRegistration::Unknown));
        let seen_era = Rc::default();
        Self { store, source: Rc::new(source), codec, own_registration, seen_era, state }
    }

    /// Switches to the store source that steering chooses from the heartbeats of the other hosts.
    pub(crate) fn update_source(&self, now: Instant) {
        let mut steering = self.state.steering.borrow_mut();
        let previous = self.source.borrow().clone();
        let current = match previous {
            StoreSource::Platform => None,
            StoreSource::Host { address: host, .. } => Some(host),
        };
        let source = steering.store_source(current, now);
        if source == previous {
            return;
        }
        match &source {
            StoreSource::Platform => Event::ReaderChanged.log(format_args!("reader=self")),
            StoreSource::Host { address: host, is_reader, fallbacks } => {
                if current != Some(*host) {
                    let others = fallbacks.len();
                    Event::ReaderChanged
                        .log(format_args!("reader={host} reads={is_reader} others={others}"));
                }
                steering.record_following_host();
            }
        }
        drop(steering);
        self.source.send_replace(source);
    }

    /// Starts the tasks that follow each prefix and keep this host registered.
    pub(crate) fn start(&self) {
        let names = self.codec.object_names();
        let watched_prefixes = [
            (names.instance_prefix, BOUNDED_WATCH_WAIT_MS),
            (names.evacuation_prefix, BOUNDED_WATCH_WAIT_MS),
            (names.rollout_prefix, OTHER_WATCH_WAIT_MS),
        ];
        for (prefix, wait_ms) in watched_prefixes {
            let sync = self.clone();
            tokio::task::spawn_local(async move {
                sync.wait_for_peers().await;
                sync.wait_for_reader().await;
                sync.follow_prefix(prefix, wait_ms).await;
            });
        }
        let sync = self.clone();
        tokio::task::spawn_local(async move {
            sync.follow_prefix(names.host_prefix, OTHER_WATCH_WAIT_MS).await
        });
        let sync = self.clone();
        tokio::task::spawn_local(async move {
            sync.wait_for_peers().await;
            sync.wait_for_reader().await;
            sync.follow_prefix(names.manifest_prefix, MANIFEST_WATCH_WAIT_MS).await;
        });
        let sync = self.clone();
        tokio::task::spawn_local(async move { sync.maintain_registration().await });
    }

    /// Records the era of host registrations; returns whether it replaces another one. A new process
    /// takes over since when the process before, whose registration it finds, has known the era.
    fn record_era(&self, number: u64, registered: Option<SeenEra>) -> bool {
        let former = self.seen_era.get();
        if former.is_some_and(|it| it.number == number) {
            return false;
        }
        let registered = registered.filter(|it| former.is_none() && it.number == number);
        let since_now = SeenEra { number, since_unix_ms: unix_time_ms() };
        self.seen_era.set(Some(registered.unwrap_or(since_now)));
        former.is_some()
    }

    /// Whether this host has known the platform's era for so long that what a restoration lost is
    /// written again.
    fn is_platform_settled(&self) -> bool {
        self.seen_era.get().is_some_and(|it| {
            let known_ms = unix_time_ms().saturating_sub(it.since_unix_ms);
            it.number == 0 || Duration::from_millis(known_ms) >= RESTORATION_SETTLING_TIME
        })
    }

    /// Waits until a restarted host has heard from its peers. They may know of changes that a platform
    /// which was restored from a copy has lost, such as revoked keys and instances that left. Without
    /// a recent restoration there is nothing to hear, and the host serves again at once.
    async fn wait_for_peers(&self) {
        if self.state.settings().first_start {
            return;
        }
        let deadline = Instant::now() + HOST_LIST_TIMEOUT;
        loop {
            let now = Instant::now();
            let is_listed = *self.own_registration.borrow() != OwnRegistration::Unknown;
            let are_acquainted = self.state.steering.borrow().members.are_acquainted(None, now);
            let is_safe = are_acquainted || self.is_platform_settled();
            if (is_listed && is_safe) || (!is_listed && now >= deadline) {
                break;
            }
            sleep(READER_POLL_INTERVAL).await;
        }
        self.update_source(Instant::now());
    }

    /// Waits until another host is known to read the platform, for at most a fraction of the spread
    /// time that depends on the host's name.
    async fn wait_for_reader(&self) {
        let settings = self.state.settings();
        let spread = if settings.first_start { FIRST_START_SPREAD } else { RESTART_SPREAD };
        let fraction = f64::from(name_hash(&settings.steering.own_host.name)) / f64::from(u32::MAX);
        let deadline = Instant::now() + spread.mul_f64(fraction);
        let has_reader =
            || matches!(*self.source.borrow(), StoreSource::Host { is_reader: true, .. });
        while Instant::now() < deadline && !has_reader() {
            sleep(READER_POLL_INTERVAL).await;
        }
    }

    /// Writes the status of a rollout unless the object has changed since it was last read.
    pub(crate) fn write_rollout_status(
        &self,
        service: String,
        version: String,
        state: RolloutState,
    ) {
        let object_version = self.state.rollout_object_versions.borrow().get(&service).copied();
        let Some(object_version) = object_version else { return };
        let started_unix_ms = self.state.rollout_starts_unix_ms.borrow().get(&service).copied();
        let status = StoredRolloutStatus {
            target_version: version,
            state,
            started_unix_ms: Some(started_unix_ms.unwrap_or_else(unix_time_ms)),
        };
        let names = self.codec.object_names();
        let name = format!("{}{service}{}", names.rollout_prefix, names.rollout_status_suffix);
        let value = self.codec.encode_rollout_status(&status);
        let sync = self.clone();
        tokio::task::spawn_local(async move {
            let condition = Condition::Version(object_version.number);
            let outcome = sync.store.write(&name, value, condition).await;
            Event::RolloutStatusWritten.log(format_args!(
                "service={service} version={} state={state} object_version={} outcome=\"{outcome:?}\"",
                status.target_version, object_version.number
            ));
            if let WriteOutcome::Written { version } = outcome {
                let mut versions = sync.state.rollout_object_versions.borrow_mut();
                let known = versions.get_mut(&service).filter(|it| it.era == object_version.era);
                let Some(known) = known else {
                    // The platform was restored meanwhile, possibly to a state before the write.
                    return;
                };
                // An event may have reported a newer version meanwhile.
                if *known == object_version {
                    known.number = version;
                }
                drop(versions);
                let mut steering = sync.state.steering.borrow_mut();
                if let Some(it) = steering.versions.rollout_mut(&service)
                    && it.order().target_version == status.target_version
                {
                    it.set_state(state);
                }
            }
        });
    }

    /// Deletes the registration of this host.
    pub(crate) async fn deregister_host(&self) {
        let own = self.state.settings().steering.own_host.name.clone();
        let name = format!("{}{own}", self.codec.object_names().host_prefix);
        let outcome = self.store.delete(&name, Condition::Always).await;
        log::debug!("registration of {own} deleted: {outcome:?}");
    }

    /// Waits until a peer has had a newer manifest for so long that this host's watch must be hung,
    /// and for `min_wait` at least.
    async fn manifest_watch_hung(&self, min_wait: Duration) {
        sleep(min_wait).await;
        loop {
            let now = Instant::now();
            let lag = self.state.steering.borrow().manifest_lag().duration(now);
            if lag.is_some_and(|it| it >= WATCH_HANG_TIMEOUT) {
                break;
            }
            sleep(MANIFEST_LAG_POLL_INTERVAL).await;
        }
        let newer_version = self.state.steering.borrow().manifest_lag().newer_version();
        let newer_version = newer_version.unwrap_or_default();
        log::warn!("watch of the manifest hangs: a peer has version {newer_version}");
    }

    /// Applies the newest manifest of another host, also if neither of them reaches the platform. The
    /// view is not confirmed by that. Returns the task, `None` if no host has a newer manifest.
    fn copy_manifest_from_peer(&self) -> Option<JoinHandle<()>> {
        let own = self.state.settings().steering.own_host.clone();
        let host = self.state.steering.borrow().members.newest_manifest_host(&own, Instant::now());
        let host = host?;
        let prefix = self.codec.object_names().manifest_prefix;
        let sync = self.clone();
        let task = tokio::task::spawn_local(async move {
            let Some(listing) = sync.store.list_copy(host, prefix).await.value() else { return };
            for ListedObject { name, value, .. } in listing.objects {
                let Some(bytes) = value else { continue };
                // The version belongs to the other host's copy and says nothing about this one.
                let object = Object { version: 0, bytes: bytes.clone() };
                if sync.apply_manifest(&name, Some(&object)) {
                    sync.state.mirror.apply_change(prefix, &name, Some((0, bytes)), 0);
                }
            }
        });
        Some(task)
    }

    /// Registers this host and keeps the registration up to date; an equal registration is not
    /// written again.
    async fn maintain_registration(&self) {
        let mut own_registration = self.own_registration.subscribe();
        loop {
            let entry = self.own_host_entry();
            let present = own_registration.borrow_and_update().clone();
            let is_due = match present {
                // A host that shuts down deregisters and must not register again.
                _ if self.state.phase.get() != Phase::Serving => return,
                OwnRegistration::Unknown => false,
                OwnRegistration::Absent => true,
                OwnRegistration::Present(it) => it != entry,
            };
            let retry_ms = if !is_due {
                None
            } else {
                match self.store.announce(&entry).await {
                    CallOutcome::Value(()) => None,
                    CallOutcome::Unavailable => Some(ANNOUNCE_RETRY_DELAY_MS),
                    CallOutcome::Throttled { retry_after_ms } => Some(retry_after_ms),
                }
            };
            match retry_ms {
                Some(it) => sleep(Duration::from_millis(it)).await,
                None => {
                    if own_registration.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// The registration that this host should have.
    fn own_host_entry(&self) -> HostEntry {
        let settings = self.state.settings();
        let own = &settings.steering.own_host;
        HostEntry {
            name: own.name.clone(),
            zone: settings.steering.zone_map.zone_name(own.locality.zone).to_owned(),
            peer_address: own.peer_address,
            public_addresses: vec![own.caller_address],
            state: ListedHostState::Live,
            seen_era: self.seen_era.get(),
        }
    }

    /// Follows the objects with a prefix until the watcher ends.
    async fn follow_prefix(&self, prefix: &'static str, wait_ms: u64) {
        let names = self.codec.object_names();
        let is_manifest = prefix == names.manifest_prefix;
        let is_bounded =
            is_manifest || [names.instance_prefix, names.evacuation_prefix].contains(&prefix);
        let settings = WatcherSettings {
            prefixes: vec![prefix.to_owned()],
            wait_ms,
            recovery_wait_ms: wait_ms.min(500),
            min_interval_ms: if is_bounded {
                BOUNDED_WATCH_SPACING_MS
            } else {
                OTHER_WATCH_SPACING_MS
            },
            max_backoff_ms: if is_manifest {
                MAX_MANIFEST_BACKOFF_MS
            } else {
                MAX_OTHER_BACKOFF_MS
            },
        };
        let seed = self.state.settings().steering.seed;
        let mut watcher = Watcher::start(Arc::clone(&self.store), settings, seed);
        let mut hung = pin!(self.manifest_watch_hung(WATCH_HANG_TIMEOUT));
        let mut copy: Option<JoinHandle<()>> = None;
        // Whether the manifest was listed beside the watch since the last change.
        let mut has_checked = false;
        loop {
            tokio::select! {
                biased;
                // Changes are handled first, since progress confirms that all of them were
                // reported.
                event = watcher.events.recv() => match event {
                    Some(it) => {
                        has_checked = false;
                        self.apply_change(prefix, it);
                    }
                    None => return,
                },
                Ok(()) = watcher.progress.changed() => {
                    let progress = *watcher.progress.borrow_and_update();
                    if let Some(it) = progress {
                        self.record_progress(prefix, wait_ms, it);
                    }
                }
                () = &mut hung, if is_manifest => {
                    let is_unreachable =
                        matches!(*watcher.reachability.borrow(), Reachability::Unreachable { .. });
                    let is_copying = copy.as_ref().is_some_and(|it| !it.is_finished());
                    // Transfers that overlap on a slow link would delay each other.
                    if (is_unreachable || has_checked) && !is_copying && !watcher.is_receiving() {
                        copy = self.copy_manifest_from_peer();
                    }
                    watcher.check_for_changes();
                    let min_wait =
                        if has_checked { WATCH_HANG_TIMEOUT } else { CHECK_RESPONSE_TIMEOUT };
                    has_checked = true;
                    hung.set(self.manifest_watch_hung(min_wait));
                }
                Ok(()) = watcher.reachability.changed() => {
                    let reachability = *watcher.reachability.borrow_and_update();
                    match reachability {
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

    /// Records that the objects with a prefix are up to date; for the manifest this confirms the
    /// view.
    fn record_progress(&self, prefix: &str, wait_ms: u64, progress: WatchProgress) {
        let now = Instant::now();
        let is_direct = *self.source.borrow() == StoreSource::Platform;
        let stale_at = now + Duration::from_millis(wait_ms) + WATCH_OVERDUE_MARGIN;
        self.state.mirror.record_progress(prefix, progress.revision, progress.as_of, stale_at);
        if prefix == self.codec.object_names().host_prefix {
            let own = &self.state.settings().steering.own_host.name;
            if self.record_era(progress.revision.era, None) {
                if self.state.mirror.contains(prefix, &format!("{prefix}{own}")) {
                    // The registration names the era.
                    self.own_registration.send_modify(|_| {});
                } else {
                    // The registration may have been lost before it was reported.
                    self.own_registration.send_replace(OwnRegistration::Absent);
                }
            }
            self.own_registration.send_if_modified(|it| {
                let is_first = *it == OwnRegistration::Unknown;
                if is_first {
                    *it = OwnRegistration::Absent;
                }
                is_first
            });
        }
        if prefix == self.codec.object_names().manifest_prefix {
            self.state.check_suspension(now);
            let mut steering = self.state.steering.borrow_mut();
            steering.freshness.confirm(progress.as_of);
            if is_direct {
                steering.record_platform_answer(now);
            }
        }
    }

    /// Applies a change of an object.
    fn apply_change(&self, prefix: &str, event: WatchEvent) {
        let names = self.codec.object_names();
        let name = event.name.strip_prefix(prefix).unwrap_or(&event.name).to_owned();
        if let Restoration::Missing(until) = event.restoration {
            self.apply_missing(prefix, &name, &event, until);
            return;
        }
        if prefix == names.instance_prefix && self.is_outdated_registration(&name, &event) {
            if event.restoration == Restoration::Copied {
                // Hosts that start do not know that the instance left.
                self.state.mirror.apply_change(prefix, &event.name, None, event.era);
            }
            return;
        }
        if prefix == names.manifest_prefix
            && !self.apply_manifest(&event.name, event.object.as_ref())
        {
            // Hosts that start must not get what this one rejects.
            return;
        }
        let object = event.object.as_ref();
        let object = object.map(|it| (it.version, self.relayed_value(prefix, &name, &it.bytes)));
        self.state.mirror.apply_change(prefix, &event.name, object, event.era);
        if prefix == names.manifest_prefix {
            // Applied above.
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

    /// Value of an object for the hosts that follow this one. A large one that is rejected is left
    /// empty, which they reject as well: with a few of them no list would be short enough to be sent.
    fn relayed_value(&self, prefix: &str, name: &str, value: &Bytes) -> Bytes {
        if value.len() <= MAX_REJECTED_BYTES {
            return value.clone();
        }
        let names = self.codec.object_names();
        let is_valid = if prefix == names.instance_prefix {
            let steering = self.state.steering.borrow();
            self.codec.decode_instance(name, value, &steering.settings().zone_map).is_ok()
        } else if prefix == names.rollout_prefix {
            self.codec.decode_rollout(name, value).is_ok()
        } else if prefix == names.host_prefix {
            self.codec.decode_host(value).is_ok()
        } else {
            prefix == names.manifest_prefix
        };
        if is_valid { value.clone() } else { Bytes::new() }
    }

    /// Handles that an object is missing in the copy from which the platform was restored. Its writer
    /// may write it again until `until`, so that it is not treated as deleted before.
    fn apply_missing(&self, prefix: &str, name: &str, event: &WatchEvent, until: Instant) {
        let names = self.codec.object_names();
        if prefix != names.manifest_prefix {
            // Hosts that follow this one learn from the copy that the object is missing.
            self.state.mirror.apply_change(prefix, &event.name, None, event.era);
        }
        if prefix == names.instance_prefix {
            let lapse = Lapse::Until(until);
            let now = Instant::now();
            self.state.steering.borrow_mut().instances.deregister(name, lapse, now);
            Event::InstanceGone.log(format_args!("instance={name} lapse=\"{lapse:?}\""));
        } else if prefix == names.rollout_prefix {
            self.state.rollout_object_versions.borrow_mut().remove(name);
        } else if prefix == names.host_prefix
            && name == self.state.settings().steering.own_host.name
        {
            self.own_registration.send_replace(OwnRegistration::Absent);
        }
    }

    /// Applies a manifest. An invalid, deleted or older one leaves the active manifest in place.
    /// Returns whether the manifest is or was active.
    fn apply_manifest(&self, name: &str, object: Option<&Object>) -> bool {
        let Some(object) = object else {
            Event::ConfigRejected.log(format_args!("object={name} reason=\"it was deleted\""));
            return false;
        };
        let received_at = Instant::now();
        let manifest = match self.codec.decode_manifest(&object.bytes) {
            Ok(it) => it,
            Err(error) => {
                let version = object.version;
                Event::ConfigRejected.log(format_args!(
                    "object={name} object_version={version} reason=\"{error:#}\""
                ));
                return false;
            }
        };
        let (version, routes) = (manifest.version(), manifest.route_count());
        let mut steering = self.state.steering.borrow_mut();
        let active_version = steering.manifest().map_or(0, |it| it.version());
        if steering.apply_manifest(manifest, Instant::now()) {
            let (bytes, took_ms) = (object.bytes.len(), received_at.elapsed().as_millis());
            Event::ConfigActive.log(format_args!(
                "version={version} before={active_version} routes={routes} bytes={bytes} \
                 took_ms={took_ms}"
            ));
        } else if version < active_version {
            Event::ConfigOlderIgnored
                .log(format_args!("version={version} in_force={active_version}"));
        }
        version >= active_version
    }

    /// Whether the registration of an instance is older than what this host knows of the instance.
    fn is_outdated_registration(&self, id: &str, event: &WatchEvent) -> bool {
        let Some(object) = event.object.as_ref() else { return false };
        let steering = self.state.steering.borrow();
        let zone_map = &steering.settings().zone_map;
        let Ok(registration) = self.codec.decode_instance(id, &object.bytes, zone_map) else {
            return false;
        };
        let is_copied = event.restoration == Restoration::Copied;
        let is_outdated = steering.instances.is_outdated(&registration, is_copied, Instant::now());
        if is_outdated {
            let version = object.version;
            let reason = if is_copied { "it left after the platform's copy" } else { "outdated" };
            Event::InstanceRejected
                .log(format_args!("instance={id} object_version={version} reason=\"{reason}\""));
        }
        is_outdated
    }

    /// Applies the registration of an instance or the end of it.
    fn apply_instance(&self, id: &str, event: WatchEvent) {
        let now = Instant::now();
        let mut steering = self.state.steering.borrow_mut();
        let known_key = steering.instances.key(id);
        let Some(object) = event.object else {
            let lapse = registration_lapse(event.last_outage, now);
            if lapse == Lapse::Gone
                && let Some(key) = known_key
            {
                self.state.pool.remove(key);
            }
            steering.instances.deregister(id, lapse, now);
            Event::InstanceGone.log(format_args!("instance={id} lapse=\"{lapse:?}\""));
            return;
        };
        let registration =
            self.codec.decode_instance(id, &object.bytes, &steering.settings().zone_map);
        let registration = match registration {
            Ok(it) => it,
            Err(error) => {
                let version = object.version;
                Event::InstanceRejected.log(format_args!(
                    "instance={id} object_version={version} reason=\"{error:#}\""
                ));
                steering.instances.deregister(id, Lapse::Gone, now);
                return;
            }
        };
        let details = format!(
            "instance={id} service={} address={} version={} slots={} state={} cold_ms={}",
            registration.service,
            registration.address,
            registration.version,
            registration.slots,
            registration.state,
            registration.cold_remaining.as_millis()
        );
        match steering.instances.register(registration, now) {
            RegistrationChange::Started | RegistrationChange::Updated => {
                Event::InstanceRegistered.log(format_args!("{details}"));
            }
            RegistrationChange::Draining => {
                if let Some(key) = known_key {
                    self.state.pool.remove(key);
                }
                Event::InstanceDraining.log(format_args!("{details}"));
            }
            RegistrationChange::Unchanged => {}
        }
    }

    /// Applies a rollout order, a change of its status, or its deletion.
    fn apply_rollout(&self, service: &str, event: WatchEvent) {
        let Some(object) = event.object else {
            self.state.rollout_object_versions.borrow_mut().remove(service);
            self.state.rollout_starts_unix_ms.borrow_mut().remove(service);
            self.state.steering.borrow_mut().versions.remove_rollout(service);
            Event::RolloutChanged.log(format_args!("service={service} state=removed"));
            return;
        };
        let rollout = match self.codec.decode_rollout(service, &object.bytes) {
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
        let started_unix_ms = status.as_ref().and_then(|it| it.started_unix_ms);
        let object_version = StoreRevision { era: event.era, number: object.version };
        self.state.rollout_object_versions.borrow_mut().insert(service.to_owned(), object_version);
        let mut starts = self.state.rollout_starts_unix_ms.borrow_mut();
        let mut steering = self.state.steering.borrow_mut();
        let settings = steering.settings().canary;
        let known_order = steering.versions.rollout(service).map(Canary::order);
        if event.restoration == Restoration::Copied && steering.versions.is_superseded(&order) {
            // The operator changes it again. Until then no status is written.
            self.state.rollout_object_versions.borrow_mut().remove(service);
            return;
        }
        if known_order != Some(&order) {
            let started_unix_ms = started_unix_ms.unwrap_or_else(unix_time_ms);
            starts.insert(service.to_owned(), started_unix_ms);
            let elapsed = Duration::from_millis(unix_time_ms().saturating_sub(started_unix_ms));
            let canary = Canary::new(order.clone(), settings, elapsed, now);
            steering.versions.insert_rollout(canary);
        }
        let state = status.map(|it| it.state);
        if let Some(it) = steering.versions.rollout_mut(&order.service) {
            match state {
                Some(state) => it.set_state(state),
                None => it.clear_stored_state(),
            }
        }
        Event::RolloutChanged.log(format_args!(
            "service={service} version={} duration_ms={} state={} object_version={}",
            order.target_version,
            order.duration.as_millis(),
            state.map_or("ordered".to_owned(), |it| it.to_string()),
            object.version
        ));
    }

    /// Applies the evacuation of a zone or the end of it.
    fn apply_evacuation(&self, zone: &str, is_ordered: bool) {
        let mut steering = self.state.steering.borrow_mut();
        let Some(locality) = steering.settings().zone_map.locality(zone) else {
            Event::OrderRejected.log(format_args!("evacuation={zone} reason=\"unknown zone\""));
            return;
        };
        let mut zones = steering.selector.evacuated_zones().to_vec();
        zones.retain(|it| *it != locality.zone);
        if is_ordered {
            zones.push(locality.zone);
            Event::ZoneEvacuated.log(format_args!("zone={zone}"));
        } else {
            Event::ZoneReturned.log(format_args!("zone={zone}"));
        }
        steering.selector.set_evacuated_zones(zones);
    }

    /// Applies the registration of a host or the end of it.
    fn apply_host(&self, name: &str, event: WatchEvent) {
        let mut steering = self.state.steering.borrow_mut();
        if name == steering.settings().own_host.name {
            let entry = event.object.and_then(|it| {
                let entry = self.codec.decode_host(&it.bytes);
                entry
                    .inspect_err(|error| log::warn!("own registration is replaced: {error:#}"))
                    .ok()
            });
            self.record_era(event.era, entry.as_ref().and_then(|it| it.seen_era));
            self.own_registration
                .send_replace(entry.map_or(OwnRegistration::Absent, OwnRegistration::Present));
            return;
        }
        let Some(object) = event.object else {
            steering.members.deregister(name, Instant::now());
            Event::MemberGone.log(format_args!("member={name} reason=\"no longer registered\""));
            return;
        };
        let entry = self.codec.decode_host(&object.bytes);
        let member =
            entry.and_then(|it| member_from_entry(name, it, &steering.settings().zone_map));
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

/// Converts the registration of a host; an error names the invalid field.
fn member_from_entry(
    registered_name: &str,
    entry: HostEntry,
    zone_map: &ZoneMap,
) -> anyhow::Result<Member> {
    let HostEntry { name, zone, peer_address, public_addresses, state: _, seen_era: _ } = entry;
    anyhow::ensure!(name == registered_name, "name `{name}` differs from the object's name");
    let locality = zone_map.locality(&zone);
    let locality =
        locality.ok_or_else(|| anyhow::anyhow!("zone `{zone}` is not in the settings"))?;
    let address = public_addresses.first();
    let caller_address =
        *address.ok_or_else(|| anyhow::anyhow!("public_addresses of `{name}` is empty"))?;
    Ok(Member { name, locality, peer_address, caller_address })
}

/// Decides whether a deleted registration is gone or may have lapsed because of a platform outage.
fn registration_lapse(outage: Option<Outage>, now: Instant) -> Lapse {
    let Some(outage) = outage else { return Lapse::Gone };
    let duration = outage.ended_at.saturating_duration_since(outage.began_at);
    let until = outage.ended_at + REREGISTRATION_GRACE;
    if duration >= MIN_LAPSE_OUTAGE && now < until { Lapse::Until(until) } else { Lapse::Gone }
}

/// Unix time in milliseconds.
pub(crate) fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
