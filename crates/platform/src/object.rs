//! The object API as the rest of the system sees it.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// The platform's object API and host list; every call ends within the timeout of its kind.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads an object, `None` when there is none.
    fn read(&self, name: &str) -> impl Future<Output = CallOutcome<Option<Object>>> + Send;

    /// Writes an object.
    fn write(
        &self,
        name: &str,
        value: Bytes,
        condition: Condition,
    ) -> impl Future<Output = WriteOutcome> + Send;

    /// Deletes an object.
    fn delete(&self, name: &str, condition: Condition)
    -> impl Future<Output = WriteOutcome> + Send;

    /// Lists the objects whose name starts with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = CallOutcome<Listing>> + Send;

    /// Waits until an object whose name starts with `prefix` changes after a revision.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = CallOutcome<WatchResponse>> + Send;

    /// Lists announced hosts; the list lags.
    fn list_hosts(&self) -> impl Future<Output = CallOutcome<Vec<HostEntry>>> + Send;

    /// Announces a host.
    fn announce(&self, entry: &HostEntry) -> impl Future<Output = CallOutcome<()>> + Send;
}

/// The end of a call that has no lasting effect, so that it may simply be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome<T> {
    /// The platform answered.
    Value(T),
    /// The platform refused the call or did not answer in time.
    Unavailable,
    /// Too many calls.
    Throttled {
        /// Time after which to repeat the call.
        retry_after_ms: u64,
    },
}

/// The end of a write or a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect.
    Written {
        /// The new version of the object.
        version: u64,
    },
    /// Its condition did not hold, so it took no effect.
    Conflict {
        /// The version of the object, `None` when there is none.
        current: Option<u64>,
    },
    /// The response was lost; it may have taken effect, or may still do so.
    Unknown,
    /// It certainly took no effect.
    Unavailable,
    /// The value exceeds the platform's limit; it took no effect.
    TooLarge,
    /// Too many calls; it took no effect.
    Throttled {
        /// Time after which to repeat the call.
        retry_after_ms: u64,
    },
}

impl WriteOutcome {
    /// Whether the platform carried the call out or said why not.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Written { .. } | Self::Conflict { .. } | Self::TooLarge)
    }
}

/// On what a write or a deletion depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Nothing, for objects of one writer.
    Always,
    /// No object of that name.
    Absent,
    /// An object with this version.
    Version(u64),
}

/// A stored value with its version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Changes with each write.
    pub version: u64,
    /// The value.
    pub bytes: Bytes,
}

/// Names and versions at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listing {
    /// Revision of the store, from which a watch can go on.
    pub revision: u64,
    /// The objects by name.
    pub objects: Vec<ListedObject>,
    /// How much older than the answer the list may be; zero from the platform itself.
    pub staleness: Duration,
}

/// One object of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedObject {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: u64,
    /// Time since its last change by the platform's clock; 0 where the platform does not say.
    pub age_ms: u64,
    /// Its value, where the platform lists values.
    pub value: Option<Bytes>,
}

/// What a watch answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResponse {
    /// These objects changed, none when the wait ended.
    Changes {
        /// Revision from which to watch on.
        revision: u64,
        /// The changed objects.
        changes: Vec<ObjectChange>,
        /// How much older than the answer the changes may be; zero from the platform itself.
        staleness: Duration,
    },
    /// The platform no longer knows all changes since then; list again.
    RevisionTooOld,
}

/// One changed object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectChange {
    /// Its name.
    pub name: String,
    /// Its version, `None` when it was deleted.
    pub version: Option<u64>,
    /// Its value, where the platform tells values with changes.
    pub value: Option<Bytes>,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub public_addresses: Vec<SocketAddr>,
    /// Whether it stays.
    pub state: ListedHostState,
}

/// Whether a host stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Display, EnumString)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ListedHostState {
    /// It takes traffic.
    Live,
    /// It shuts down.
    #[serde(rename = "leaving")]
    #[strum(serialize = "leaving")]
    Draining,
}

impl<T> CallOutcome<T> {
    /// The value, if there is one.
    pub fn value(self) -> Option<T> {
        match self {
            Self::Value(it) => Some(it),
            Self::Unavailable | Self::Throttled { .. } => None,
        }
    }

    /// Whether there is a value.
    pub fn is_value(&self) -> bool {
        matches!(self, Self::Value(_))
    }

    /// Converts the value.
    pub fn map<U>(self, convert: impl FnOnce(T) -> U) -> CallOutcome<U> {
        self.and_then(|it| CallOutcome::Value(convert(it)))
    }

    /// Goes on with the value.
    pub fn and_then<U>(self, next: impl FnOnce(T) -> CallOutcome<U>) -> CallOutcome<U> {
        match self {
            Self::Value(it) => next(it),
            Self::Unavailable => CallOutcome::Unavailable,
            Self::Throttled { retry_after_ms } => CallOutcome::Throttled { retry_after_ms },
        }
    }
}
