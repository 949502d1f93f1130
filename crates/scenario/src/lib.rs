//! The scenario language and its reports.

mod check;
mod fault;
mod html;
mod plot;
mod scenario;
mod summary;

pub use crate::{
    fault::{DrainWhat, Fault, FaultKind, VersionFault},
    html::render,
    plot::{Line, Plot, Span},
    scenario::{
        Bound, Callers, Demand, LoadError, Network, RatePoint, Scenario, ServiceModel, ZoneShare,
    },
    summary::{Requirement, Side, Summary},
};
