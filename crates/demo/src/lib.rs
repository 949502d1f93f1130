//! The whole path in one process on loopback.

mod certificates;
mod check;
mod declarations;
mod deployment;

pub use crate::{
    certificates::Certificates,
    check::check,
    declarations::demo_declarations,
    deployment::{Deployment, DeploymentSettings, HostSlot, UpstreamSlot},
};
