//! Gateway process for upstreams that register themselves: forwards callers' requests to instances,
//! exchanges heartbeats with other hosts, and follows the platform's object store.

mod attempt;
mod buffer_budget;
mod caller_body;
mod caller_connections;
mod clock;
mod endpoints;
mod exchange;
mod forward;
mod gateway;
mod heartbeats;
mod listener;
mod mirror;
mod platform_sync;
mod pool;
mod relay;
mod request_body;
mod request_log;
mod response;
mod settings;
mod shutdown;
mod state;

pub use crate::{
    gateway::{run, run_until},
    platform_sync::{ObjectCodec, ObjectNames, RolloutObject, StoredRolloutStatus},
    settings::{GatewaySettings, HeaderNames, ListenAddresses, SettingsSource},
};
