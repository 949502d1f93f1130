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
    control::{LEDGER_NAME, PendingConfig, ROLLOUT_PREFIX},
    engine::{Engine, EngineSettings, Health, Status},
    lookup::{LookupAnswer, LookupHost, LookupQuery},
    message::{Envelope, Message},
    notice::EngineEvent,
    reports::{InstanceReport, POLL_INTERVAL, PollTarget},
    request::{
        Admission, Attempt, AttemptResult, FinishOutcome, PresentedKey, Refusal, RefusalReason,
        RequestHead, StartOutcome, Ticket,
    },
    status::{HostStatus, ServiceStatus, StoppedRollout, ZONE_STATUS_PREFIX, ZoneStatus},
};
