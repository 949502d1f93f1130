//! The whole path in one process on loopback.

mod certificate_authority;
mod check;
mod declarations;
mod deployment;

pub use crate::{
    certificate_authority::CertificateAuthority,
    check::check_deployment,
    declarations::demo_declarations,
    deployment::{Deployment, DeploymentSettings, HostSpec, UpstreamSpec},
};
