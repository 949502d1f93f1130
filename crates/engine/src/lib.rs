//! Request policy of one entry host: admission, placement, retries, lookups, and the control work
//! that the host shares with its peers and the platform.

mod admission;
mod caps;
mod completion;
mod control;
mod engine;
mod events;
mod lookup;
mod message;
mod placement;
mod reports;
mod request;
mod rollouts;
mod status;

pub use crate::{
    control::{LEDGER_NAME, PendingConfig, ROLLOUT_PREFIX},
    engine::{Engine, EngineSettings, Health, MAX_RESPONSE_OVERRUN, Status},
    events::EngineEvent,
    lookup::{LookupAnswer, LookupHost, LookupQuery},
    message::{Envelope, Message, RolloutStop},
    reports::{InstanceReport, POLL_INTERVAL, PollTarget},
    request::{
        Admission, Attempt, AttemptResult, FinishOutcome, PresentedKey, Refusal, RefusalReason,
        RequestHead, StartOutcome, Ticket,
    },
    status::{HostStatus, ServiceStatus, StoppedRollout, ZONE_STATUS_PREFIX, ZoneStatus},
};
