//! Client of the platform's object API and of the configuration stored there.
//!
//! The platform is an external object store with conditional writes, watches and a host list.

mod archive;
mod backoff;
mod change;
mod chunk_store;
mod config_store;
mod dialect;
mod head_write;
mod http;
mod object;
mod retention;
mod watcher;

pub use crate::{
    change::{ChangeOutcome, ChangeRequest, LostRace},
    config_store::{ConfigStore, ConfigStoreSettings, HEAD_NAME, HeadRead, StoredHead},
    dialect::{Announcement, ApiRequest, ApiResponse, Dialect, ListPage, PlainDialect},
    http::{HttpObjectStore, HttpStoreSettings},
    object::{
        Arrival, ArrivalGuard, CallOutcome, Condition, HostEntry, ListedHostState, ListedObject,
        Listing, Object, ObjectChange, ObjectStore, SeenEra, StoreRevision, WatchResponse,
        WriteOutcome,
    },
    watcher::{
        Outage, Reachability, Restoration, WatchEvent, WatchProgress, Watcher, WatcherSettings,
    },
};
