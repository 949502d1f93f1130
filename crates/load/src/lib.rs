//! Runs scenarios over simulated hosts with the real policy.

mod baseline;
mod caller;
mod clock;
mod control;
mod event;
mod execute;
mod faults;
mod forward;
mod host;
mod network;
mod observe;
mod operator;
mod platform;
mod policy;
mod reference;
mod report;
mod run;
mod upstream;
mod world;

pub use crate::run::{Report, run};
