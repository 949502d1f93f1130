//! Faults and changes of a scenario.

use kingcupford_config::DrainTarget;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// Something that happens to the deployment at a time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, since the start of the measured time.
    pub at_s: f64,
    /// When it ends; without it, it lasts until the end of the run.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// What happens.
    pub what: FaultKind,
}

/// Kinds of faults and changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// A host's process dies, and starts again at the end.
    HostCrash {
        /// The host.
        host: String,
    },
    /// A host's process stands still, and goes on at the end.
    HostPause {
        /// The host.
        host: String,
    },
    /// All hosts die together, and start together at the end.
    AllHosts,
    /// All hosts are shut down gracefully and started again, one after the other.
    RollingReplacement {
        /// Time between the start of one host and the shutdown of the next.
        #[serde(default = "default_pause_s")]
        pause_s: f64,
    },
    /// Zones hear the other zones no more.
    Partition {
        /// The zones on one side, which hear each other.
        zones: Vec<String>,
        /// Zones on the other side, all others when empty.
        #[serde(default)]
        from: Vec<String>,
        /// Whether they are cut off from the platform as well.
        #[serde(default)]
        platform: bool,
    },
    /// Zones hear the platform no more.
    PlatformPartition {
        /// The zones.
        zones: Vec<String>,
    },
    /// The platform does not answer.
    PlatformOutage,
    /// The platform answers late.
    PlatformSlow {
        /// Additional time of each answer.
        delay_ms: u64,
    },
    /// Answers of the platform get lost after the write took effect.
    PlatformLostAnswers {
        /// Share of lost answers.
        percent: f64,
    },
    /// All hosts and instances of a region die, and start again at the end.
    RegionLoss {
        /// The region.
        region: String,
    },
    /// An instance dies, and starts again at the end.
    InstanceCrash {
        /// The instance.
        instance: String,
    },
    /// An instance takes longer.
    InstanceSlow {
        /// The instance.
        instance: String,
        /// Factor on its service time.
        factor: f64,
    },
    /// An instance marks its answers as draining and refuses new work after two seconds.
    InstanceDrains {
        /// The instance.
        instance: String,
    },
    /// A caller sends a request that crashes each instance that runs it, again and again.
    Poison {
        /// The service.
        service: String,
        /// The caller's tenant.
        tenant: String,
        /// HTTP method.
        #[serde(default = "default_method")]
        method: String,
        /// Path behind the service segment.
        #[serde(default = "default_poison_path")]
        path: String,
        /// Time between two sendings.
        #[serde(default = "default_every_ms")]
        every_ms: u64,
        /// Time until a crashed instance runs again.
        #[serde(default = "default_restart_s")]
        restart_s: f64,
    },
    /// Operators revoke the first key of a tenant, whose callers go on using it.
    KeyRevoked {
        /// The tenant.
        tenant: String,
    },
    /// Operators start a rollout.
    Rollout {
        /// The service.
        service: String,
        /// The version to replace the active one.
        to: String,
        /// Time from the start to the deadline.
        deadline_s: f64,
        /// What is wrong with the new version, nothing when absent.
        #[serde(default)]
        fault: Option<VersionFault>,
    },
    /// Operators drain a part of the system, and take it back at the end.
    Drain {
        /// The part.
        target: DrainScope,
    },
    /// Operators switch to another preset, and back at the end.
    Preset {
        /// The preset.
        name: String,
    },
}

/// What operators drain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainScope {
    /// Kind of the part.
    pub kind: DrainTarget,
    /// Its name.
    pub name: String,
}

/// What is wrong with a version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionFault {
    /// Share of its requests that fail.
    #[serde(default)]
    pub fail_percent: f64,
    /// Factor on its service time.
    #[serde(default = "one")]
    pub slow_factor: f64,
    /// Time from the start of the rollout until the fault begins.
    #[serde(default)]
    pub after_s: f64,
    /// Used share of the instance's slots from which on the fault shows.
    #[serde(default)]
    pub from_load_percent: f64,
    /// Path prefix of the only requests that it concerns.
    #[serde(default)]
    pub route: Option<String>,
}

/// Time between the replacements of two hosts.
fn default_pause_s() -> f64 {
    5.0
}

/// Method of a poison request that names none.
fn default_method() -> String {
    "GET".to_owned()
}

/// Path of a poison request that names none.
fn default_poison_path() -> String {
    "/poison".to_owned()
}

/// Time between two sendings of a poison request.
fn default_every_ms() -> u64 {
    500
}

/// Time until a crashed instance runs again.
fn default_restart_s() -> f64 {
    5.0
}

/// The factor that changes nothing.
fn one() -> f64 {
    1.0
}
