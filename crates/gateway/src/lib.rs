//! The process in front of self-registering upstreams: callers in, requests out, and what the
//! hosts tell each other and the platform.

mod answer;
mod attempt;
mod callers;
mod clock;
mod control;
mod exchange;
mod feed;
mod forward;
mod gateway;
mod incoming;
mod listener;
mod mirror;
mod outgoing;
mod peers;
mod pool;
mod relay;
mod request_log;
mod settings;
mod state;

pub use crate::{
    feed::{ObjectCodec, ObjectNames, RolloutObject, StoredRolloutStatus},
    gateway::run,
    settings::{GatewaySettings, HeaderNames, ListenAddresses, SettingsSource},
};
