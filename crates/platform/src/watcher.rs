//! Follows objects of the platform by one pending watch.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{Instant, sleep_until},
};

use crate::{
    object::{CallOutcome, Object, ObjectStore, WatchResponse},
    retry::{MAX_MS, Retry},
};

/// Events that may wait for the receiver.
const EVENT_BUFFER: usize = 64;

/// What is followed and how often the platform is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherSettings {
    /// Starts of the names that are followed.
    pub prefixes: Vec<String>,
    /// Wait of one watch; a change is noticed within it even when watches hang.
    pub wait_ms: u64,
    /// Wait after a watch that hung, until one works again.
    pub recovery_wait_ms: u64,
    /// Least time between two watches, so that a burst of changes takes few calls.
    pub min_interval_ms: u64,
    /// Longest wait between two attempts during an outage.
    pub max_backoff_ms: u64,
}

impl Default for WatcherSettings {
    fn default() -> Self {
        Self {
            prefixes: ["config/", "rollout/", "quota/"].map(str::to_owned).to_vec(),
            wait_ms: 3000,
            recovery_wait_ms: 500,
            min_interval_ms: 200,
            max_backoff_ms: MAX_MS,
        }
    }
}

/// A change of a followed object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Name of the object.
    pub name: String,
    /// The object, `None` when it was deleted.
    pub object: Option<Object>,
    /// The newest outage that was over when the change was seen.
    pub last_outage: Option<Outage>,
}

/// Whether the platform answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// No call has ended yet.
    Unknown,
    /// The last call was answered.
    Reachable,
    /// Calls fail.
    Unreachable {
        /// End of the first call that failed.
        since: Instant,
    },
}

/// How far a watcher has followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchProgress {
    /// What was reported is at least as new as this: when the newest answered call was sent, less
    /// the age of its answer.
    pub as_of: Instant,
    /// Revision of the store up to which everything was reported.
    pub revision: u64,
    /// The newest time without answers that is over.
    pub last_outage: Option<Outage>,
}

/// A time in which calls failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Outage {
    /// End of the last call that was answered before it.
    pub began_at: Instant,
    /// End of the first call that was answered after it.
    pub ended_at: Instant,
}

/// A running watcher; dropping it stops it.
#[derive(Debug)]
pub struct Watcher {
    /// Changes of followed objects, the newest state of each.
    pub events: mpsc::Receiver<WatchEvent>,
    /// Whether the platform answers.
    pub reachability: watch::Receiver<Reachability>,
    /// How far it has followed, `None` before the first list is reported.
    pub progress: watch::Receiver<Option<WatchProgress>>,
    /// The task.
    task: JoinHandle<()>,
}

impl Watcher {
    /// Starts to follow; the first events tell the objects that exist.
    pub fn start<S: ObjectStore>(store: Arc<S>, settings: WatcherSettings, seed: u64) -> Self {
        let (sender, events) = mpsc::channel(EVENT_BUFFER);
        let (reach, reachability) = watch::channel(Reachability::Unknown);
        let (progress_sender, progress) = watch::channel(None);
        let retry = Retry::endless(settings.max_backoff_ms, seed);
        let follower = Follower {
            store,
            settings,
            events: sender,
            reach,
            progress: progress_sender,
            answered_at: Instant::now(),
            is_failing: false,
            last_outage: None,
            known: BTreeMap::new(),
            retry,
        };
        let task = tokio::spawn(async move {
            // Ends when the receiver of the events is gone.
            follower.run().await;
        });
        Self { events, reachability, progress, task }
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why a step of a [`Follower`] ended early.
enum Stop {
    /// A call failed; try again after at least this time.
    Failed(u64),
    /// Nobody receives events any more.
    Closed,
}

/// The state of a watcher's task.
struct Follower<S> {
    /// The platform.
    store: Arc<S>,
    /// What is followed.
    settings: WatcherSettings,
    /// Receiver of changes.
    events: mpsc::Sender<WatchEvent>,
    /// Receiver of the reachability.
    reach: watch::Sender<Reachability>,
    /// Receiver of the progress.
    progress: watch::Sender<Option<WatchProgress>>,
    /// End of the newest call that was answered.
    answered_at: Instant,
    /// Whether the newest call failed.
    is_failing: bool,
    /// The newest outage that is over.
    last_outage: Option<Outage>,
    /// Versions that were reported, by name.
    known: BTreeMap<String, u64>,
    /// Waits after failures.
    retry: Retry,
}

impl<S: ObjectStore> Follower<S> {
    /// Lists, then watches from there; lists again after each gap or failure.
    async fn run(mut self) {
        let mut wait_ms = self.settings.wait_ms;
        loop {
            let stop = match self.list().await {
                Ok(revision) => self.follow(revision, &mut wait_ms).await,
                Err(it) => it,
            };
            match stop {
                Stop::Closed => return,
                Stop::Failed(at_least_ms) => {
                    self.retry.pause(at_least_ms).await;
                }
            }
        }
    }

    /// Reports everything that differs from what is known; answers the revision to watch from.
    async fn list(&mut self) -> Result<u64, Stop> {
        let sent_at = Instant::now();
        let mut first_revision = None;
        let mut staleness = Duration::ZERO;
        let mut listed = Vec::new();
        for prefix in self.settings.prefixes.clone() {
            let answer = self.store.list(&prefix).await;
            let listing = self.value(answer)?;
            // Later lists may already show changes that the watch reports again.
            first_revision.get_or_insert(listing.revision);
            staleness = staleness.max(listing.staleness);
            listed.extend(listing.objects);
        }
        listed.sort_by(|a, b| a.name.cmp(&b.name));
        let known: Vec<String> = self.known.keys().cloned().collect();
        for name in known {
            if listed.binary_search_by(|it| it.name.cmp(&name)).is_err() {
                self.report(name, None).await?;
            }
        }
        for it in listed {
            self.update(it.name, Some(it.version), it.value).await?;
        }
        let revision = first_revision.unwrap_or(0);
        self.followed(sent_at, staleness, revision);
        Ok(revision)
    }

    /// Watches until a call fails or changes were missed.
    async fn follow(&mut self, mut after: u64, wait_ms: &mut u64) -> Stop {
        let spacing = Duration::from_millis(self.settings.min_interval_ms);
        loop {
            let sent_at = Instant::now();
            let next_at = sent_at + spacing;
            // One watch on all names counts as one pending call instead of one for each prefix.
            let prefix = match self.settings.prefixes.as_slice() {
                [single] => single.clone(),
                _ => String::new(),
            };
            let wait = Duration::from_millis(*wait_ms);
            match self.store.watch(&prefix, after, wait).await {
                CallOutcome::Value(WatchResponse::Changes { revision, changes, staleness }) => {
                    self.answered();
                    *wait_ms = self.settings.wait_ms;
                    after = revision;
                    for change in changes {
                        if !self.follows(&change.name) {
                            continue;
                        }
                        let update = self.update(change.name, change.version, change.value);
                        if let Err(it) = update.await {
                            return it;
                        }
                    }
                    self.followed(sent_at, staleness, revision);
                }
                CallOutcome::Value(WatchResponse::RevisionTooOld) => {
                    self.answered();
                    *wait_ms = self.settings.wait_ms;
                    return Stop::Failed(0);
                }
                // Only watches may be disturbed; the list that follows finds out.
                CallOutcome::Unavailable => {
                    self.failed();
                    *wait_ms = self.settings.recovery_wait_ms;
                    return Stop::Failed(0);
                }
                CallOutcome::Throttled { retry_after_ms } => {
                    self.failed();
                    return Stop::Failed(retry_after_ms);
                }
            }
            sleep_until(next_at).await;
        }
    }

    /// Whether a name is followed.
    fn follows(&self, name: &str) -> bool {
        self.settings.prefixes.iter().any(|it| name.starts_with(it))
    }

    /// Reads and reports an object whose version differs from the reported one.
    async fn update(
        &mut self,
        name: String,
        version: Option<u64>,
        value: Option<Bytes>,
    ) -> Result<(), Stop> {
        if self.known.get(&name).copied() == version {
            return Ok(());
        }
        let Some(version) = version else { return self.report(name, None).await };
        if let Some(bytes) = value {
            // A list that was answered late may show less than a watch did.
            if self.known.get(&name).is_some_and(|it| *it > version) {
                return Ok(());
            }
            return self.report(name, Some(Object { version, bytes })).await;
        }
        let answer = self.store.read(&name).await;
        let object = self.value(answer)?;
        self.report(name, object).await
    }

    /// Reports an object.
    async fn report(&mut self, name: String, object: Option<Object>) -> Result<(), Stop> {
        match &object {
            Some(it) => {
                self.known.insert(name.clone(), it.version);
            }
            None => {
                self.known.remove(&name);
            }
        }
        self.events
            .send(WatchEvent { name, object, last_outage: self.last_outage })
            .await
            .map_err(|_| Stop::Closed)
    }

    /// Takes the value of an answer and notes whether the platform is reachable.
    fn value<T>(&mut self, answer: CallOutcome<T>) -> Result<T, Stop> {
        match answer {
            CallOutcome::Value(it) => {
                self.answered();
                Ok(it)
            }
            CallOutcome::Unavailable => {
                self.failed();
                let since = Instant::now();
                self.set_reach(Reachability::Unreachable { since });
                Err(Stop::Failed(0))
            }
            // The platform is there, only this client asks too often.
            CallOutcome::Throttled { retry_after_ms } => {
                self.failed();
                Err(Stop::Failed(retry_after_ms))
            }
        }
    }

    /// Notes that everything up to a call's sending was reported.
    fn followed(&self, sent_at: Instant, staleness: Duration, revision: u64) {
        let as_of = sent_at.checked_sub(staleness).unwrap_or(sent_at);
        self.progress.send_replace(Some(WatchProgress {
            as_of,
            revision,
            last_outage: self.last_outage,
        }));
    }

    /// Notes that a call failed.
    fn failed(&mut self) {
        self.is_failing = true;
    }

    /// Notes that a call was answered.
    fn answered(&mut self) {
        self.retry.reset();
        let now = Instant::now();
        if std::mem::take(&mut self.is_failing) {
            self.last_outage = Some(Outage { began_at: self.answered_at, ended_at: now });
        }
        self.answered_at = now;
        self.set_reach(Reachability::Reachable);
    }

    /// Changes the reported reachability; an outage keeps the time of its start.
    fn set_reach(&self, reach: Reachability) {
        self.reach.send_if_modified(|it| {
            let is_same = *it == reach
                || matches!(it, Reachability::Unreachable { .. })
                    && matches!(reach, Reachability::Unreachable { .. });
            if !is_same {
                *it = reach;
            }
            !is_same
        });
    }
}
