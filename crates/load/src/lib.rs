//! Discrete-event simulation of load scenarios: simulated entry hosts run the real policy, or a
//! baseline policy for comparison.

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
