//! Division of fleet-wide caps into shares, loans and token buckets.

mod fair;
mod holder;
mod ledger;
mod message;
mod resource;

pub use crate::{
    fair::FairQueue,
    holder::{Holder, Settings, Take},
    ledger::{Ledger, Proposal, ShareRecord, UNITS, WriteOutcome},
    message::{LoanId, Message},
    resource::{Cap, Resource, ResourceName},
};
