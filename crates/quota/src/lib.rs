//! Divides fleet-wide limits (caps) among hosts by shares under leases, loans between hosts and
//! local token buckets.

mod demand;
mod fair_queue;
mod holder;
mod ledger;
mod ledger_writer;
mod limiter;
mod loan;
mod message;
mod rebalance;
mod resource;
mod settings;
mod share;
mod tracker;

pub use crate::{
    fair_queue::FairQueue,
    holder::{AcquireOutcome, Holder},
    ledger::{Ledger, Proposal, ShareRecord, UNITS_PER_CAP, WriteOutcome},
    message::{LoanId, Message},
    resource::{Cap, Resource, ResourceName},
    settings::Settings,
};
