//! Division of fleet-wide caps into shares, loans and token buckets.

mod account;
mod demand;
mod division;
mod fair;
mod holder;
mod ledger;
mod loan;
mod message;
mod proposal;
mod resource;
mod settings;
mod share;
mod watch;

pub use crate::{
    fair::FairQueue,
    holder::{AcquireOutcome, Holder},
    ledger::{Ledger, Proposal, ShareRecord, UNITS_PER_CAP, WriteOutcome},
    message::{LoanId, Message},
    resource::{Cap, Resource, ResourceName},
    settings::Settings,
};
