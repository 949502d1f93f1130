//! Client of the platform's object API, and the configuration kept in it.

mod change;
mod chunk_store;
mod config_store;
mod dialect;
mod head_write;
mod http;
mod object;
mod retention;
mod retry;
mod watcher;

pub use crate::{
    change::{ChangeOutcome, ChangeRequest, LostRace},
    config_store::{ConfigStore, ConfigStoreSettings, HEAD_NAME, HeadRead, StoredHead},
    dialect::{Announce, Call, Dialect, Page, PlainDialect, Reply},
    http::{HttpObjectStore, HttpStoreSettings},
    object::{
        Answer, Condition, HostEntry, HostState, ListedObject, Listing, Object, ObjectChange,
        ObjectStore, Watched, WriteOutcome,
    },
    watcher::{Outage, Progress, Reachability, WatchEvent, Watcher, WatcherSettings},
};
