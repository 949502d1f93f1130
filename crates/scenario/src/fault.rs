//! Faults and operator changes in scenario files.

use kingcupford_config::DrainTarget;
use serde::{Deserialize, Serialize};
use strum::IntoStaticStr;

/// Fault or operator change with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start, since the start of the measured period.
    pub at_s: f64,
    /// End, since the start of the measured period; the end of the run when absent.
    #[serde(default)]
    pub until_s: Option<f64>,
    /// Kind of the fault or change with its parameters.
    pub what: FaultKind,
}

/// Kinds of faults and operator changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, IntoStaticStr)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
#[strum(serialize_all = "kebab-case")]
pub enum FaultKind {
    /// Crash of a host's process, which restarts at the end of the fault.
    HostCrash {
        /// Name of the host, such as `entry-1`.
        host: String,
    },
    /// Pause of a host's process, which resumes at the end of the fault.
    HostPause {
        /// Name of the host, such as `entry-1`.
        host: String,
    },
    /// Simultaneous crash of all hosts, which restart together at the end of the fault.
    AllHosts,
    /// Graceful shutdown and restart of all hosts, one after another.
    RollingReplacement {
        /// Delay between the restart of one host and the shutdown of the next.
        #[serde(default = "default_pause_s")]
        pause_s: f64,
    },
    /// Network partition between two groups of zones.
    Partition {
        /// Names of the zones on the first side; they remain connected to each other.
        zones: Vec<String>,
        /// Names of the zones on the second side; all other zones when empty.
        #[serde(default)]
        from: Vec<String>,
        /// Whether the first side loses the platform as well.
        #[serde(default)]
        platform: bool,
    },
    /// Network partition between zones and the platform.
    PlatformPartition {
        /// Names of the zones.
        zones: Vec<String>,
    },
    /// Outage of the platform: no call is answered.
    PlatformOutage,
    /// Additional latency of the platform.
    PlatformSlow {
        /// Delay added to each answer.
        delay_ms: u64,
    },
    /// Loss of the platform's answers after the call has taken effect.
    PlatformLostAnswers {
        /// Percentage of lost answers, 0 to 100.
        percent: f64,
    },
    /// Loss of all hosts and instances of a region, which restart at the end of the fault.
    RegionLoss {
        /// Name of the region.
        region: String,
    },
    /// Crash of an instance, which restarts at the end of the fault.
    InstanceCrash {
        /// Name of the instance.
        instance: String,
    },
    /// Slowdown of an instance.
    InstanceSlow {
        /// Name of the instance.
        instance: String,
        /// Factor on the service time of the instance.
        factor: f64,
    },
    /// Draining that an instance starts itself: it marks its responses as draining and refuses new
    /// requests after 2 s.
    InstanceDrains {
        /// Name of the instance.
        instance: String,
    },
    /// Poison request, sent periodically, which crashes each instance that runs it.
    Poison {
        /// Name of the service.
        service: String,
        /// Name of the caller's team.
        #[serde(rename = "tenant")]
        team: String,
        /// HTTP method of the poison request.
        #[serde(default = "default_method")]
        method: String,
        /// Request path after the service segment.
        #[serde(default = "default_poison_path")]
        path: String,
        /// Interval between two poison requests.
        #[serde(default = "default_every_ms")]
        every_ms: u64,
        /// Time until a crashed instance has restarted.
        #[serde(default = "default_restart_s")]
        restart_s: f64,
    },
    /// Revocation of the first key of a team, which its callers continue to use.
    KeyRevoked {
        /// Name of the team.
        #[serde(rename = "tenant")]
        team: String,
    },
    /// Start of a rollout.
    Rollout {
        /// Name of the service.
        service: String,
        /// Name of the version that replaces the active one.
        to: String,
        /// Time from the start of the rollout to its deadline.
        deadline_s: f64,
        /// Fault of the new version; none when absent.
        #[serde(default)]
        fault: Option<VersionFault>,
    },
    /// Drain, which is removed at the end of the fault.
    Drain {
        /// Scope of the drain.
        target: DrainScope,
    },
    /// Switch to another preset, which is reverted at the end of the fault.
    Preset {
        /// Name of the preset.
        name: String,
    },
}

/// Region, zone, site, instance or host that operators drain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainScope {
    /// Kind of the drained scope.
    pub kind: DrainTarget,
    /// Name of the region, zone, site, instance or host.
    pub name: String,
}

/// Fault of a service version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionFault {
    /// Percentage of requests that fail, 0 to 100.
    #[serde(default)]
    pub fail_percent: f64,
    /// Factor on the service time of the version.
    #[serde(default = "one")]
    pub slow_factor: f64,
    /// Time from the start of the rollout until the fault appears.
    #[serde(default)]
    pub after_s: f64,
    /// Utilization of the instance's slots, in percent, from which the fault appears.
    #[serde(default)]
    pub from_load_percent: f64,
    /// Path prefix of the affected requests; all requests when absent.
    #[serde(default)]
    pub route: Option<String>,
}

fn default_pause_s() -> f64 {
    5.0
}

fn default_method() -> String {
    "GET".to_owned()
}

fn default_poison_path() -> String {
    "/poison".to_owned()
}

fn default_every_ms() -> u64 {
    500
}

fn default_restart_s() -> f64 {
    5.0
}

fn one() -> f64 {
    1.0
}
