//! The policy of one entry host.

mod caps;
mod control;
mod engine;
mod lookup;
mod message;
mod place;
mod request;
mod rollouts;
mod status;

pub use crate::{
    control::{LEDGER, PendingConfig, ROLLOUT_PREFIX},
    engine::{Engine, EngineSettings, Health, Status},
    lookup::{LookupAnswer, LookupQuery, NamedHost},
    message::{Envelope, Message},
    request::{
        Admission, Attempt, AttemptEnd, Next, Reason, Refusal, RequestHead, ShownKey, Start, Ticket,
    },
    status::{HostLine, ServiceLine, StopLine, ZONE_STATUS_PREFIX, ZoneStatus},
};
