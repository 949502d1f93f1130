//! Scenario language of load experiments: parsing and checking of scenario files, and the
//! summary and HTML report of a run.

mod check;
mod fault;
mod html;
mod plot;
mod scenario;
mod summary;

pub use crate::{
    fault::{DrainScope, Fault, FaultKind, VersionFault},
    html::render_report,
    plot::{FaultInterval, Plot, Series},
    scenario::{
        Bound, CallerModel, Demand, LoadError, NetworkLatencies, RatePoint, Scenario, ServiceModel,
        ZoneWeight,
    },
    summary::{Measurements, Requirement, Summary},
};
