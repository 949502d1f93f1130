//! Stand-ins for the platform and for upstreams, for tests and demos.
//!
//! A stand-in runs as a process of its own or inside a test, and its faults can be changed while it
//! runs.

mod connections;
mod http_util;
mod platform;
mod upstream;

pub use crate::{
    platform::{
        CallCounts, HostEntry, ListedHostState, OutageMode, PlatformFaults, PlatformLimits,
        PlatformSettings, PlatformStandin,
    },
    upstream::{
        ExecutionRecord, ExecutionState, UpstreamCounts, UpstreamFaults, UpstreamSettings,
        UpstreamStandin, VersionFault,
    },
};
