//! Follows the objects of the platform with a single pending watch.

use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use crate::{
    backoff::{Backoff, MAX_BACKOFF_MS},
    object::{Arrival, CallOutcome, Listing, Object, ObjectStore, StoreRevision, WatchResponse},
};

/// Maximum number of events that wait for the receiver.
const EVENT_CHANNEL_CAPACITY: usize = 64;

/// Time after a restoration of the platform for which an object that the copy lacks may be written
/// again. Its writers do so within about two seconds.
const REWRITE_GRACE: Duration = Duration::from_millis(2500);

/// Followed objects and timing of a [`Watcher`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherSettings {
    /// Prefixes of the names of the followed objects.
    pub prefixes: Vec<String>,
    /// Wait of one watch. If watches hang, a list detects changes after about this time.
    pub wait_ms: u64,
    /// Wait of a watch after one that failed or hung, until a watch succeeds again.
    pub recovery_wait_ms: u64,
    /// Minimum time between the starts of two watches, so that a burst of changes takes few calls.
    pub min_interval_ms: u64,
    /// Maximum backoff between two attempts during an outage.
    pub max_backoff_ms: u64,
}

impl Default for WatcherSettings {
    fn default() -> Self {
        Self {
            prefixes: ["config/", "rollout/", "quota/"].map(str::to_owned).to_vec(),
            wait_ms: 3000,
            recovery_wait_ms: 500,
            min_interval_ms: 200,
            max_backoff_ms: MAX_BACKOFF_MS,
        }
    }
}

/// Change of a followed object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Full name of the object, including the prefix.
    pub name: String,
    /// Current version and value of the object, `None` if it was deleted.
    pub object: Option<Object>,
    /// Whether and how the change comes from a restoration of the platform.
    pub restoration: Restoration,
    /// Era of the store to which the version belongs.
    pub era: u64,
    /// Newest outage that had ended when the change was received.
    pub last_outage: Option<Outage>,
}

/// Whether and how a change comes from a restoration of the platform from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Restoration {
    /// The object was written or deleted.
    None,
    /// The object is in the copy, and may be older than the state that was reported before.
    Copied,
    /// The object is not in the copy. Unless it is written again until this time, its deletion is
    /// reported.
    Missing(Instant),
}

/// Whether the platform responds to calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// No call has determined the reachability yet.
    Unknown,
    /// A call succeeded, and no list or read has failed since, apart from throttled ones.
    Reachable,
    /// A list or read failed, and no call has succeeded since.
    Unreachable {
        /// Time at which the first failed list or read ended.
        since: Instant,
    },
}

/// State up to which a watcher has reported all changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchProgress {
    /// Time before which all changes are reported: when the newest successful list or watch was
    /// sent, minus the staleness of the response.
    pub as_of: Instant,
    /// Revision up to which all changes are reported.
    pub revision: StoreRevision,
    /// Newest outage that has ended.
    pub last_outage: Option<Outage>,
}

/// Period in which calls failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// Time at which the last successful call before the outage ended.
    pub began_at: Instant,
    /// Time at which the first successful call after the outage ended.
    pub ended_at: Instant,
}

/// Handle of a running watcher task, which stops when the handle is dropped.
#[derive(Debug)]
pub struct Watcher {
    /// Changes of followed objects; each event has the newest state of its object.
    pub events: mpsc::Receiver<WatchEvent>,
    /// Whether the platform responds to calls.
    pub reachability: watch::Receiver<Reachability>,
    /// State up to which all changes are reported, `None` before the first list is reported.
    pub progress: watch::Receiver<Option<WatchProgress>>,
    /// Notified when a list should be compared beside the pending watch.
    check: Arc<Notify>,
    watch_arrival: Arc<Arrival>,
    list_arrival: Arc<Arrival>,
    task: JoinHandle<()>,
}

impl Watcher {
    /// Starts a task that follows the objects; the first events report the existing objects.
    ///
    /// `seed` determines the jitter of the backoff. Must be called within a Tokio runtime.
    pub fn start<S: ObjectStore>(store: Arc<S>, settings: WatcherSettings, seed: u64) -> Self {
        let (event_sender, events) = mpsc::channel(EVENT_CHANNEL_CAPACITY);
        let (reachability_sender, reachability) = watch::channel(Reachability::Unknown);
        let (progress_sender, progress) = watch::channel(None);
        let check = Arc::new(Notify::new());
        let (watch_arrival, list_arrival) = <(Arc<Arrival>, Arc<Arrival>)>::default();
        let backoff = Backoff::unlimited(settings.max_backoff_ms, seed);
        let watch_task = WatchTask {
            store,
            settings,
            events: event_sender,
            reachability: reachability_sender,
            progress: progress_sender,
            check: Arc::clone(&check),
            watch_arrival: Arc::clone(&watch_arrival),
            list_arrival: Arc::clone(&list_arrival),
            last_success_at: Instant::now(),
            is_failing: false,
            last_outage: None,
            reported_versions: BTreeMap::new(),
            era: 0,
            copied_until: 0,
            has_gap: false,
            missing: BTreeMap::new(),
            backoff,
        };
        let task = tokio::spawn(async move {
            // Returns when the receiver of the events is dropped.
            watch_task.run().await;
        });
        Self { events, reachability, progress, check, watch_arrival, list_arrival, task }
    }

    /// Whether the response to a list or a watch is arriving.
    pub fn is_receiving(&self) -> bool {
        self.watch_arrival.is_arriving() || self.list_arrival.is_arriving()
    }

    /// Lists the objects beside the pending watch, which may hang. Has no effect during a list, so
    /// that repeated calls cannot keep a slow one from ending, and while the response to the watch
    /// is arriving.
    pub fn check_for_changes(&self) {
        self.check.notify_waiters();
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reason why a step of a [`WatchTask`] ended early.
enum Interruption {
    /// A call failed or changes were missed; the next attempt follows after at least this delay.
    RetryAfterMs(u64),
    /// The receiver of the events was dropped.
    ReceiverDropped,
}

/// Response that a [`WatchTask`] acts on next.
enum NextResponse {
    Watch(CallOutcome<WatchResponse>),
    /// A list that was requested beside the watch, and the time at which it was sent.
    List(Listing, Instant),
}

/// State of a watcher's task.
struct WatchTask<S> {
    store: Arc<S>,
    settings: WatcherSettings,
    events: mpsc::Sender<WatchEvent>,
    reachability: watch::Sender<Reachability>,
    progress: watch::Sender<Option<WatchProgress>>,
    check: Arc<Notify>,
    /// Whether the response to the pending watch is arriving.
    watch_arrival: Arc<Arrival>,
    /// Whether the response to a list is arriving.
    list_arrival: Arc<Arrival>,
    /// Time at which the newest successful call ended; initially the start of the task.
    last_success_at: Instant,
    /// Whether the newest call failed.
    is_failing: bool,
    /// Newest outage that has ended.
    last_outage: Option<Outage>,
    /// Reported versions by object name.
    reported_versions: BTreeMap<String, u64>,
    /// Era of the store to which the reported versions belong; 0 if it is not known.
    era: u64,
    /// Revision of the first list of the current era, 0 without a restoration. Objects up to it may
    /// be in the copy, also if a host that relays changes withholds them at first.
    copied_until: u64,
    /// Whether the store lacks the changes after the reported revision.
    has_gap: bool,
    /// Objects that the copy of the current era lacks, with the time at which they count as deleted.
    missing: BTreeMap<String, Instant>,
    backoff: Backoff,
}

impl<S: ObjectStore> WatchTask<S> {
    /// Lists the objects and watches for changes since the list; lists them again after each gap
    /// or failure.
    async fn run(mut self) {
        let mut wait_ms = self.settings.wait_ms;
        loop {
            let interruption = match self.list_and_report().await {
                Ok(revision) => self.watch_and_report(revision, &mut wait_ms).await,
                Err(it) => it,
            };
            match interruption {
                Interruption::ReceiverDropped => return,
                Interruption::RetryAfterMs(min_delay_ms) => {
                    self.backoff.wait(min_delay_ms).await;
                }
            }
        }
    }

    /// Lists the objects and reports those whose state differs from the reported one; returns the
    /// revision from which to watch.
    async fn list_and_report(&mut self) -> Result<StoreRevision, Interruption> {
        let sent_at = Instant::now();
        let (store, prefixes) = (Arc::clone(&self.store), self.settings.prefixes.clone());
        let outcome = list_all(store, prefixes, &self.list_arrival).await;
        let outcome = outcome.and_then(|it| self.reject_outdated(it.revision, it));
        let listing = self.record_outcome(outcome)?;
        if let Some(it) = self.reported_revision_after(listing.revision) {
            return Ok(it);
        }
        self.report_listing(listing, sent_at).await
    }

    /// Revision of the reported changes if it is above that of a list, which comes from the copy of a
    /// host that is behind then. A store without eras, or one that lacks the reported revision, may
    /// have lost its state instead.
    fn reported_revision_after(&self, listed: StoreRevision) -> Option<StoreRevision> {
        let reported = (*self.progress.borrow())?.revision;
        let is_comparable = !self.has_gap && listed.era != 0 && listed.era == reported.era;
        (is_comparable && listed.is_before(reported)).then_some(reported)
    }

    /// Reports all objects whose state differs from the reported one, or all objects if the store
    /// was restored; returns the revision from which to watch.
    async fn report_listing(
        &mut self,
        mut listing: Listing,
        sent_at: Instant,
    ) -> Result<StoreRevision, Interruption> {
        listing.objects.sort_by(|a, b| a.name.cmp(&b.name));
        if self.is_restored(listing.revision) {
            self.begin_era(&listing).await?;
        }
        let listed = listing.objects;
        let reported_names: Vec<String> = self.reported_versions.keys().cloned().collect();
        for name in reported_names {
            if listed.binary_search_by(|it| it.name.cmp(&name)).is_err() {
                self.report(name, None).await?;
            }
        }
        for it in listed {
            self.report_if_changed(it.name, Some(it.version), it.value).await?;
        }
        self.has_gap = false;
        self.record_progress(sent_at, listing.staleness, listing.revision);
        Ok(listing.revision)
    }

    /// Takes over the era of a list. Versions of the former era say nothing about those of the new
    /// one; objects that are not listed are reported as missing.
    async fn begin_era(&mut self, listing: &Listing) -> Result<(), Interruption> {
        let (former_era, era) = (self.era, listing.revision.era);
        self.era = era;
        self.copied_until = listing.revision.number;
        let reported = std::mem::take(&mut self.reported_versions).into_keys();
        let until = Instant::now() + REWRITE_GRACE;
        let is_listed =
            |name: &str| listing.objects.binary_search_by(|it| it.name.as_str().cmp(name)).is_ok();
        self.missing = reported
            .chain(std::mem::take(&mut self.missing).into_keys())
            .filter(|it| !is_listed(it))
            .map(|it| (it, until))
            .collect();
        log::warn!(
            "platform was restored: era {era} after {former_era}, revision {}, {} of {:?} listed, \
             {} missing",
            listing.revision.number,
            listing.objects.len(),
            self.settings.prefixes,
            self.missing.len()
        );
        for name in self.missing.keys().cloned().collect::<Vec<_>>() {
            self.send(name, None, Restoration::Missing(until)).await?;
        }
        Ok(())
    }

    /// Reports the deletion of objects that were not written again in time after a restoration.
    async fn report_missing(&mut self) -> Result<(), Interruption> {
        let now = Instant::now();
        let overdue = self.missing.iter().filter(|it| *it.1 <= now);
        for name in overdue.map(|it| it.0.clone()).collect::<Vec<_>>() {
            self.report(name, None).await?;
        }
        Ok(())
    }

    /// Whether a response comes from a store that was restored since the last reported list.
    fn is_restored(&mut self, revision: StoreRevision) -> bool {
        if self.era == 0 {
            self.era = revision.era;
        }
        self.era < revision.era
    }

    /// Drops a response from before the restoration of the store, which a host that relays changes
    /// may send.
    fn reject_outdated<T>(&self, revision: StoreRevision, value: T) -> CallOutcome<T> {
        let StoreRevision { era, number } = revision;
        if era != 0 && era < self.era {
            log::warn!("revision {number} of era {era} is ignored in era {}", self.era);
            return CallOutcome::Unavailable;
        }
        CallOutcome::Value(value)
    }

    /// Watches for changes after a revision and reports them, until a call fails or changes were
    /// missed.
    async fn watch_and_report(
        &mut self,
        mut after: StoreRevision,
        wait_ms: &mut u64,
    ) -> Interruption {
        let min_interval = Duration::from_millis(self.settings.min_interval_ms);
        loop {
            if let Err(it) = self.report_missing().await {
                return it;
            }
            let sent_at = Instant::now();
            let next_at = sent_at + min_interval;
            // With several prefixes one watch covers all names, because every pending watch counts
            // as a call.
            let prefix = match self.settings.prefixes.as_slice() {
                [single] => single.clone(),
                _ => String::new(),
            };
            let mut wait = Duration::from_millis(*wait_ms);
            if let Some(it) = self.missing.values().min() {
                wait = wait.min(it.saturating_duration_since(sent_at));
            }
            let response = match self.next_response(&prefix, after, wait).await {
                NextResponse::Watch(it) => it.and_then(|it| match it {
                    WatchResponse::Changes { revision, .. } => self.reject_outdated(revision, it),
                    WatchResponse::RevisionTooOld => CallOutcome::Value(it),
                }),
                NextResponse::List(listing, sent_at) => {
                    self.record_success();
                    match self.report_listing(listing, sent_at).await {
                        Ok(it) => after = it,
                        Err(it) => return it,
                    }
                    continue;
                }
            };
            match response {
                // The changes after a revision of the former era are only some of the changes.
                CallOutcome::Value(WatchResponse::Changes { revision, .. })
                    if self.is_restored(revision) =>
                {
                    self.record_success();
                    return Interruption::RetryAfterMs(0);
                }
                CallOutcome::Value(WatchResponse::Changes { revision, changes, staleness }) => {
                    self.record_success();
                    *wait_ms = self.settings.wait_ms;
                    after = revision;
                    for change in changes {
                        if !self.is_followed(&change.name) {
                            continue;
                        }
                        let report =
                            self.report_if_changed(change.name, change.version, change.value);
                        if let Err(it) = report.await {
                            return it;
                        }
                    }
                    self.record_progress(sent_at, staleness, revision);
                }
                CallOutcome::Value(WatchResponse::RevisionTooOld) => {
                    self.record_success();
                    self.has_gap = true;
                    *wait_ms = self.settings.wait_ms;
                    return Interruption::RetryAfterMs(0);
                }
                // The reachability is left to the next list, because possibly only watches fail.
                CallOutcome::Unavailable => {
                    self.record_failure();
                    *wait_ms = self.settings.recovery_wait_ms;
                    return Interruption::RetryAfterMs(0);
                }
                CallOutcome::Throttled { retry_after_ms } => {
                    self.record_failure();
                    return Interruption::RetryAfterMs(retry_after_ms);
                }
            }
            sleep_until(next_at).await;
        }
    }

    /// Watches, and lists beside it when a check is requested. The watch goes on during the list; a
    /// watch that ends without changes waits for a list that has begun. Only one of the responses is
    /// received if both take a while to arrive, as they would slow each other down.
    async fn next_response(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> NextResponse {
        let mut watch =
            Box::pin(self.store.watch_with_arrival(prefix, after, wait, &self.watch_arrival));
        loop {
            tokio::select! {
                it = &mut watch => return NextResponse::Watch(it),
                () = self.check.notified() => {}
            }
            if self.watch_arrival.is_arriving() {
                continue;
            }
            let sent_at = Instant::now();
            let mut list = pin!(self.list_from(after));
            let listing = tokio::select! {
                biased;
                it = &mut list => it,
                response = &mut watch => {
                    if has_changes(&response) {
                        return NextResponse::Watch(response);
                    }
                    return match list.await {
                        Some(it) => NextResponse::List(it, sent_at),
                        None => NextResponse::Watch(response),
                    };
                }
                is_list_first = both_arrive(&self.list_arrival, &self.watch_arrival) => {
                    if !is_list_first {
                        continue;
                    }
                    drop(watch);
                    return match list.await {
                        Some(it) => NextResponse::List(it, sent_at),
                        None => NextResponse::Watch(CallOutcome::Unavailable),
                    };
                }
            };
            if let Some(it) = listing {
                return NextResponse::List(it, sent_at);
            }
        }
    }

    /// Lists the objects; `None` if that fails or if the list is from before `after`, as one of
    /// another host's copy may be.
    async fn list_from(&self, after: StoreRevision) -> Option<Listing> {
        let prefixes = self.settings.prefixes.clone();
        let outcome = list_all(Arc::clone(&self.store), prefixes, &self.list_arrival).await;
        outcome.value().filter(|it| !it.revision.is_before(after))
    }

    fn is_followed(&self, name: &str) -> bool {
        self.settings.prefixes.iter().any(|it| name.starts_with(it))
    }

    /// Reports an object if `version` differs from the reported one; reads the value if it is not
    /// given.
    async fn report_if_changed(
        &mut self,
        name: String,
        version: Option<u64>,
        value: Option<Bytes>,
    ) -> Result<(), Interruption> {
        if self.reported_versions.get(&name).copied() == version {
            return Ok(());
        }
        let Some(version) = version else { return self.report(name, None).await };
        if let Some(bytes) = value {
            // A delayed list may contain an older version than a watch has reported.
            if let Some(reported) = self.reported_versions.get(&name).filter(|it| **it > version) {
                log::warn!(
                    "version {version} of {name} is ignored, since version {reported} is known"
                );
                return Ok(());
            }
            return self.report(name, Some(Object { version, bytes })).await;
        }
        let outcome = self.store.read(&name).await;
        let object = self.record_outcome(outcome)?;
        self.report(name, object).await
    }

    /// Records the state of an object as reported and reports it.
    async fn report(&mut self, name: String, object: Option<Object>) -> Result<(), Interruption> {
        self.missing.remove(&name);
        let is_copied = object.as_ref().is_some_and(|it| it.version <= self.copied_until);
        let restoration = if is_copied { Restoration::Copied } else { Restoration::None };
        match &object {
            Some(it) => {
                self.reported_versions.insert(name.clone(), it.version);
            }
            None => {
                self.reported_versions.remove(&name);
            }
        }
        self.send(name, object, restoration).await
    }

    async fn send(
        &self,
        name: String,
        object: Option<Object>,
        restoration: Restoration,
    ) -> Result<(), Interruption> {
        let (era, last_outage) = (self.era, self.last_outage);
        self.events
            .send(WatchEvent { name, object, restoration, era, last_outage })
            .await
            .map_err(|_| Interruption::ReceiverDropped)
    }

    /// Records whether a read or a list succeeded, updates the reachability and returns the value.
    fn record_outcome<T>(&mut self, outcome: CallOutcome<T>) -> Result<T, Interruption> {
        match outcome {
            CallOutcome::Value(it) => {
                self.record_success();
                Ok(it)
            }
            CallOutcome::Unavailable => {
                self.record_failure();
                let since = Instant::now();
                self.set_reachability(Reachability::Unreachable { since });
                Err(Interruption::RetryAfterMs(0))
            }
            // A throttled call does not make the platform unreachable: this client exceeded the
            // rate limit.
            CallOutcome::Throttled { retry_after_ms } => {
                self.record_failure();
                Err(Interruption::RetryAfterMs(retry_after_ms))
            }
        }
    }

    /// Records that all changes up to a call that was sent at `sent_at` are reported.
    fn record_progress(&self, sent_at: Instant, staleness: Duration, revision: StoreRevision) {
        let as_of = sent_at.checked_sub(staleness).unwrap_or(sent_at);
        let last_outage = self.last_outage;
        self.progress.send_replace(Some(WatchProgress { as_of, revision, last_outage }));
    }

    fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Records a successful call, which ends a current outage.
    fn record_success(&mut self) {
        self.backoff.reset();
        let now = Instant::now();
        if std::mem::take(&mut self.is_failing) {
            self.last_outage = Some(Outage { began_at: self.last_success_at, ended_at: now });
        }
        self.last_success_at = now;
        self.set_reachability(Reachability::Reachable);
    }

    /// Reports a changed reachability; the start time of a current outage does not change.
    fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_if_modified(|it| {
            let is_same = *it == reachability
                || matches!(it, Reachability::Unreachable { .. })
                    && matches!(reachability, Reachability::Unreachable { .. });
            if !is_same {
                *it = reachability;
            }
            !is_same
        });
    }
}

/// Waits until the responses to a list and to a watch are both arriving; returns whether the one to
/// the list was first.
async fn both_arrive(list: &Arrival, watch: &Arrival) -> bool {
    list.wait_for(true).await;
    let is_list_first = !watch.is_arriving();
    watch.wait_for(true).await;
    is_list_first
}

/// Whether a response to a watch reports changes or that changes were missed.
fn has_changes(response: &CallOutcome<WatchResponse>) -> bool {
    match response {
        CallOutcome::Value(WatchResponse::Changes { changes, .. }) => !changes.is_empty(),
        CallOutcome::Value(WatchResponse::RevisionTooOld) => true,
        CallOutcome::Unavailable | CallOutcome::Throttled { .. } => false,
    }
}

/// Lists the objects with any of the prefixes. The revision is that of the first list, since later
/// ones may already contain changes that a watch from there returns again.
async fn list_all<S: ObjectStore>(
    store: Arc<S>,
    prefixes: Vec<String>,
    arrival: &Arrival,
) -> CallOutcome<Listing> {
    let mut res: Option<Listing> = None;
    for prefix in prefixes {
        let listing = match store.list_with_arrival(&prefix, arrival).await {
            CallOutcome::Value(it) => it,
            other => return other,
        };
        match &mut res {
            Some(it) if it.revision.era != listing.revision.era => {
                log::warn!("platform was restored before the list of `{prefix}`");
                return CallOutcome::Unavailable;
            }
            Some(it) => {
                it.staleness = it.staleness.max(listing.staleness);
                it.objects.extend(listing.objects);
            }
            None => res = Some(listing),
        }
    }
    res.map_or(CallOutcome::Unavailable, CallOutcome::Value)
}
