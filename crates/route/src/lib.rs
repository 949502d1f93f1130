//! Choice of entry host, upstream and instance, retries, request ids and quarantine.

mod balance;
mod block;
mod budget;
mod host;
mod observe;
mod quarantine;
mod request_id;
mod retry;

pub use crate::{
    balance::{AllowedRegion, Balancer, ChoiceQuery, ServiceCapacity},
    block::BlockTable,
    budget::RetryBudget,
    host::{HostCandidate, HostTable, LocalityLevel, rank_hosts},
    observe::LoadReport,
    quarantine::{Fingerprint, Quarantine, QuarantineStatus, QuarantineUpdate},
    request_id::{BeginResult, RequestIdTable, RunHandle, RunResult},
    retry::{
        AttemptOutcome, DEFAULT_MAX_ATTEMPTS, Outcome, RetryContext, RetryDecision, RetryPolicy,
    },
};
