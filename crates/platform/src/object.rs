//! Interface of the platform's object API, independent of the transport.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};
use tokio::sync::watch;

/// The platform's object store and host list. Implementations bound the time of every call.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object, `None` if no object has this name.
    fn read(&self, name: &str) -> impl Future<Output = CallOutcome<Option<Object>>> + Send;

    /// Writes an object if `condition` holds.
    fn write(
        &self,
        name: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = WriteOutcome> + Send;

    /// Deletes an object if `condition` holds.
    fn delete(&self, name: &str, condition: Condition)
    -> impl Future<Output = WriteOutcome> + Send;

    /// Lists the objects whose names start with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = CallOutcome<Listing>> + Send;

    /// Long-polls for changes after the revision `after` to objects whose names start with
    /// `prefix`; the platform responds without changes once `wait` has passed.
    fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = CallOutcome<WatchResponse>> + Send;

    /// Like [`list`](Self::list); `arrival` tells whether the response is arriving.
    fn list_with_arrival(
        &self,
        prefix: &str,
        arrival: &Arrival,
    ) -> impl Future<Output = CallOutcome<Listing>> + Send {
        let _ = arrival;
        self.list(prefix)
    }

    /// Like [`watch`](Self::watch); `arrival` tells whether the response is arriving.
    fn watch_with_arrival(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
        arrival: &Arrival,
    ) -> impl Future<Output = CallOutcome<WatchResponse>> + Send {
        let _ = arrival;
        self.watch(prefix, after, wait)
    }

    /// Lists the announced hosts. The list is eventually consistent with the announcements.
    fn list_hosts(&self) -> impl Future<Output = CallOutcome<Vec<HostEntry>>> + Send;

    /// Adds a host to the host list or updates its entry.
    fn announce(&self, entry: &HostEntry) -> impl Future<Output = CallOutcome<()>> + Send;

    /// Returns the newest era of the store that a response named, 0 if it is not known.
    fn newest_era(&self) -> u64 {
        0
    }
}

/// Whether the response to a call is arriving: its head was received, but not all of its body. Such a
/// call should go on, since a long transfer that is begun again and again never ends.
#[derive(Debug, Default)]
pub struct Arrival(watch::Sender<bool>);

/// Guard of a response that is arriving, until it is dropped.
#[derive(Debug)]
pub struct ArrivalGuard<'a>(&'a Arrival);

impl Drop for ArrivalGuard<'_> {
    fn drop(&mut self) {
        self.0.0.send_replace(false);
    }
}

impl Arrival {
    /// Records that the response is arriving as long as the guard exists.
    pub fn begin(&self) -> ArrivalGuard<'_> {
        self.0.send_replace(true);
        ArrivalGuard(self)
    }

    /// Whether the response is arriving.
    pub fn is_arriving(&self) -> bool {
        *self.0.borrow()
    }

    /// Waits until the response is arriving, or until it is not.
    pub async fn wait_for(&self, is_arriving: bool) {
        // The sender is not dropped during the wait.
        let _ = self.0.subscribe().wait_for(|it| *it == is_arriving).await;
    }
}

/// Outcome of a call that can be repeated without harm: a read, a list, a watch or an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome<T> {
    /// The platform responded with this value.
    Value(T),
    /// The platform rejected the call, sent an invalid response or did not respond in time.
    Unavailable,
    /// The platform rejected the call because its rate limit is exceeded.
    Throttled {
        /// Delay before the call may be repeated.
        retry_after_ms: u64,
    },
}

/// Outcome of a write or a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The call took effect.
    Written {
        /// Version that the store assigned to the call.
        version: u64,
    },
    /// The condition did not hold, so the call had no effect.
    Conflict {
        /// Current version of the object, `None` if it does not exist or the response names none.
        current: Option<u64>,
    },
    /// No conclusive response was received: the call may have taken effect, or may still take
    /// effect.
    Unknown,
    /// The platform did not receive the call or rejected it; the call had no effect.
    Unavailable,
    /// The value exceeds the platform's size limit; the call had no effect.
    TooLarge,
    /// The platform's rate limit is exceeded; the call had no effect.
    Throttled {
        /// Delay before the call may be repeated.
        retry_after_ms: u64,
    },
}

impl WriteOutcome {
    /// Whether the platform processed the call, either by executing it or by rejecting its
    /// condition or size.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Written { .. } | Self::Conflict { .. } | Self::TooLarge)
    }
}

/// Precondition of a write or a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// The call is unconditional; for objects with a single writer.
    Always,
    /// No object of that name may exist.
    Absent,
    /// The object must exist with this version.
    Version(u64),
}

/// A stored value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version assigned by the store, which changes with each write.
    pub version: u64,
    /// Stored value.
    pub bytes: Bytes,
}

/// Revision of the store. A store that is restored from a copy gives numbers out again, so that
/// numbers can be compared only within an era.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreRevision {
    /// Number that rises whenever the store is restored from a copy; 0 if it is not known.
    pub era: u64,
    /// Number that rises with each change.
    pub number: u64,
}

/// Response to a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision after which a watch can continue without missing a change.
    pub revision: StoreRevision,
    /// Listed objects, ordered by name.
    pub objects: Vec<ListedObject>,
    /// Maximum staleness of the list at the time of the response; zero from the platform itself.
    pub staleness: Duration,
}

/// One object of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// Full name of the object, including the prefix.
    pub name: String,
    /// Version of the object.
    pub version: u64,
    /// Time since the last change by the platform's clock, 0 if the platform does not report it.
    pub age_ms: u64,
    /// Stored value, if the platform includes values in lists.
    pub value: Option<Bytes>,
}

/// Response to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResponse {
    /// Objects changed, or the wait passed without a change.
    Changes {
        /// Revision after which the next watch continues.
        revision: StoreRevision,
        /// Changed objects, empty if the wait passed without a change.
        changes: Vec<ObjectChange>,
        /// Maximum staleness of the changes at the time of the response; zero from the platform
        /// itself.
        staleness: Duration,
    },
    /// The platform does not have all changes since the requested revision, which is too old or
    /// from before the platform lost its state. The objects must be listed again.
    RevisionTooOld,
}

/// Change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectChange {
    /// Full name of the object, including the prefix.
    pub name: String,
    /// New version, `None` if the object was deleted.
    pub version: Option<u64>,
    /// New value, if the platform includes values in changes.
    pub value: Option<Bytes>,
}

/// Entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name of the host.
    pub name: String,
    /// Name of the host's availability zone.
    pub zone: String,
    /// Address for connections from other hosts.
    pub peer_address: SocketAddr,
    /// Addresses for connections from callers.
    pub public_addresses: Vec<SocketAddr>,
    /// State that the host announced.
    pub state: ListedHostState,
    /// Era of the store in which the host registered; `None` if the host does not follow eras.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seen_era: Option<SeenEra>,
}

/// Era of the store, and the time since which a host has known it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenEra {
    /// Number of the era, 0 if the store has none.
    pub number: u64,
    /// Unix time in milliseconds at which a process of the host saw the era first.
    pub since_unix_ms: u64,
}

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ListedHostState {
    /// The host accepts traffic.
    Live,
    /// The host is shutting down; written as `leaving`.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    Draining,
}

impl StoreRevision {
    /// Whether this revision is older than another one. An unknown era counts as equal.
    pub fn is_before(self, other: Self) -> bool {
        if self.era == 0 || other.era == 0 || self.era == other.era {
            return self.number < other.number;
        }
        self.era < other.era
    }
}

impl<T> CallOutcome<T> {
    /// Returns the value of a successful call.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(it) => Some(it),
            Self::Unavailable | Self::Throttled { .. } => None,
        }
    }

    /// Whether the call succeeded.
    pub fn is_value(&self) -> bool {
        matches!(self, Self::Value(_))
    }

    /// Converts the value of a successful call.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> CallOutcome<U> {
        self.and_then(|it| CallOutcome::Value(convert(it)))
    }

    /// Converts the value of a successful call with a function that may fail.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> CallOutcome<U>) -> CallOutcome<U> {
        match self {
            Self::Value(it) => next(it),
            Self::Unavailable => CallOutcome::Unavailable,
            Self::Throttled { retry_after_ms } => CallOutcome::Throttled { retry_after_ms },
        }
    }
}
