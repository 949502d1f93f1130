//! Routing decisions: ranking of entry hosts for lookups, load balancing over upstream instances,
//! retries, at-most-once request ids and quarantine of poison requests.

mod balancer;
mod block_table;
mod host_table;
mod instance_state;
mod quarantine;
mod request_id;
mod retry;
mod retry_budget;

pub use crate::{
    balancer::{AllowedRegion, Balancer, ChoiceQuery, ServiceCapacity},
    block_table::BlockTable,
    host_table::{HostCandidate, HostTable, LocalityLevel, rank_hosts},
    instance_state::LoadReport,
    quarantine::{Fingerprint, Quarantine, QuarantineStatus, QuarantineUpdate},
    request_id::{BeginResult, RequestIdTable, RunHandle, RunResult},
    retry::{
        AttemptOutcome, DEFAULT_MAX_ATTEMPTS, MIN_ATTEMPT_TIME, Outcome, RetryContext,
        RetryDecision, RetryPolicy,
    },
    retry_budget::RetryBudget,
};
