//! A randomized soak: the real programs as separate processes, faults from outside them, and the
//! promises checked by what callers and instances see.

mod caller;
mod fault;
mod host;
mod instance;
mod ledger;
mod manifest;
mod proxy;
mod run;
mod store;

pub use crate::{
    fault::{Event, Fault},
    instance::{InstanceFault, answer_body},
    ledger::{Ending, LIMITED_TENANT, Ledger, Run, Sent, Violation},
    proxy::Link,
    run::{Plan, Verdict, clean, run, time_limit},
    store::StoreFault,
};
