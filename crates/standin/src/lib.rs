//! Stand-ins for the platform and for upstreams, run as processes or inside tests.

mod gate;
mod http_parts;
mod platform;
mod upstream;

pub use crate::{
    platform::{
        CallCounts, HostEntry, HostState, OutageMode, PlatformFaults, PlatformLimits,
        PlatformSettings, PlatformStandin,
    },
    upstream::{
        ExecutionRecord, ExecutionState, UpstreamCounts, UpstreamFaults, UpstreamSettings,
        UpstreamStandin, VersionFault,
    },
};
