//! The scenario language and its reports.

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
