//! Complete deployment in one process on loopback: platform and upstream stand-ins and entry hosts.

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
