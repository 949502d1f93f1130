//! Entry host: answers lookups of callers and forwards their requests to upstreams.

mod admin;
mod api;
mod body;
mod certificate;
mod control;
mod era;
mod forward;
mod headers;
mod host;
mod listener;
mod path;
mod platform;
mod pool;
mod refusals;
mod reports;
mod response_stream;
mod settings;
mod upstream;

pub use crate::{
    era::EraDialect,
    host::{EntryHost, ShutdownReport},
    settings::{CallerTls, Limits, PeerTls, Seed, Settings, SettingsError},
};
