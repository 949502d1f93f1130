//! A randomized soak test: runs the node program as separate processes, injects faults from
//! outside, and checks the system's guarantees against what callers and instances observe.

mod caller;
mod fault;
mod history;
mod host;
mod instance;
mod manifest;
mod proxy;
mod run;
mod store;

pub use crate::{
    fault::{Fault, ScheduledFault},
    history::{CallerRequest, Execution, History, LIMITED_TEAM, RequestOutcome, Violation},
    instance::{InstanceFault, response_body},
    proxy::LinkFault,
    run::{RunConfig, RunReport, remove_run_dir, run_seed, time_limit},
    store::StoreFault,
};
