//! The entry host: lookups and forwarding.

mod admin;
mod answer;
mod api;
mod body;
mod certificate;
mod control;
mod forward;
mod headers;
mod host;
mod listener;
mod path;
mod platform;
mod reports;
mod respond;
mod settings;
mod upstream;

pub use crate::{
    host::{EntryHost, ShutdownReport},
    settings::{CallerTls, Limits, PeerTls, Seed, Settings, SettingsError},
};
