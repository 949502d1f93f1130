//! Client of the platform's object API.

mod http;
mod object;

pub use crate::{
    http::{HttpObjectStore, HttpStoreSettings},
    object::{
        Answer, Condition, HostEntry, HostState, ListedObject, Listing, Object, ObjectChange,
        ObjectStore, Watched, WriteOutcome,
    },
};
