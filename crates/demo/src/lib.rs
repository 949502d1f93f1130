//! Complete deployment in one process on loopback: entry hosts and stand-ins of the platform and of
//! upstreams.

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
