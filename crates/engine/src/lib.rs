//! The policy of one entry host.

mod admit;
mod caps;
mod control;
mod engine;
mod lookup;
mod message;
mod notice;
mod outcome;
mod place;
mod reports;
mod request;
mod rollouts;
mod status;

pub use crate::{
    control::{LEDGER, PendingConfig, ROLLOUT_PREFIX},
    engine::{Engine, EngineSettings, Health, Status},
    lookup::{LookupAnswer, LookupQuery, NamedHost},
    message::{Envelope, Message},
    notice::Notice,
    reports::{InstanceReport, PollTarget, READ_EVERY},
    request::{
        Admission, Attempt, AttemptEnd, Next, Reason, Refusal, RequestHead, ShownKey, Start, Ticket,
    },
    status::{HostLine, ServiceLine, StopLine, ZONE_STATUS_PREFIX, ZoneStatus},
};
