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
    balance::{AllowedRegion, Balancer, ChoiceQuery, Headroom},
    block::BlockTable,
    budget::RetryBudget,
    host::{HostCandidate, HostTable, Nearness, rank_hosts},
    observe::LoadReport,
    quarantine::{Announcement, Check, Fingerprint, Quarantine},
    request_id::{Begin, End, RequestIds, RequestKey},
    retry::{AttemptFacts, AttemptOutcome, MAX_ATTEMPTS, Outcome, RetryDecision, RetryRule},
};
