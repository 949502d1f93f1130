//! Heartbeats: datagrams that hosts exchange several times per second.

use std::time::Duration;

use bincode::{Decode, Encode};
use kingcupford_rollout::VersionTally;
use kingcupford_route::QuarantineUpdate;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the heartbeat format. Heartbeats of other versions are ignored.
pub const PROTOCOL_VERSION: u16 = 3;

/// Minimum interval between heartbeats, and the interval at which hosts with news send them. Several
/// heartbeats fit into the time after which a host counts as silent, so that some may be lost.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between heartbeats within a region per host of the region, which bounds the heartbeats
/// that a host sends and receives per second.
const LOCAL_INTERVAL_PER_HOST: Duration = Duration::from_millis(12);

/// Interval between heartbeats to other regions per known host, which bounds the heartbeats per
/// second between regions.
const REMOTE_INTERVAL_PER_HOST: Duration = Duration::from_millis(16);

/// Interval between heartbeats of a host that reads the platform to other regions, whose hosts
/// follow it while their own region has no reader.
const READER_REMOTE_INTERVAL: Duration = Duration::from_millis(600);

/// Multiple of the interval after which a host of the own region counts as silent.
const LOCAL_SILENCE_INTERVALS: u32 = 3;

/// Multiple of the interval after which a host of another region counts as silent.
const REMOTE_SILENCE_INTERVALS: f64 = 2.5;

/// Minimum time without a heartbeat after which a host of another region counts as silent.
const MIN_REMOTE_SILENCE: Duration = Duration::from_millis(2500);

/// Minimum time without a heartbeat after which a host of the own region counts as silent.
const MIN_LOCAL_SILENCE: Duration = Duration::from_millis(1200);

/// Number of intervals after which a report is outdated. Covers two lost heartbeats.
const MAX_REPORT_INTERVALS: u32 = 4;

/// Intervals and timeouts of heartbeats between two hosts, which follow from the numbers of hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatTiming {
    /// Interval between heartbeats without news.
    pub interval: Duration,
    /// Time without a heartbeat after which the sender counts as silent. Short enough that lookups
    /// stop naming a dead host of the region within the deployments' bound of 7 s.
    pub silence_timeout: Duration,
}

impl HeartbeatTiming {
    /// Timing within a region of `region_hosts` hosts.
    pub fn local(region_hosts: usize) -> Self {
        let interval = LOCAL_INTERVAL_PER_HOST.saturating_mul(host_count(region_hosts));
        let interval = interval.max(HEARTBEAT_INTERVAL);
        let silence_timeout = MIN_LOCAL_SILENCE.max(interval * LOCAL_SILENCE_INTERVALS);
        Self { interval, silence_timeout }
    }

    /// Timing between regions of a deployment of `known_hosts` hosts.
    pub fn remote(known_hosts: usize) -> Self {
        let interval = REMOTE_INTERVAL_PER_HOST.saturating_mul(host_count(known_hosts));
        let interval = interval.max(HEARTBEAT_INTERVAL);
        let silence_timeout = MIN_REMOTE_SILENCE.max(interval.mul_f64(REMOTE_SILENCE_INTERVALS));
        Self { interval, silence_timeout }
    }

    /// Interval between heartbeats of a host that reads the platform.
    pub fn reader_interval(&self, is_local: bool) -> Duration {
        let longest = if is_local { HEARTBEAT_INTERVAL } else { READER_REMOTE_INTERVAL };
        self.interval.min(longest)
    }

    /// Largest age of a report that counts as recent.
    pub fn max_report_age(&self) -> Duration {
        (self.interval * MAX_REPORT_INTERVALS).min(self.silence_timeout)
    }
}

fn host_count(hosts: usize) -> u32 {
    u32::try_from(hosts).unwrap_or(u32::MAX)
}

/// State that one host reports to another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Heartbeat {
    /// Version of the format, see [`PROTOCOL_VERSION`].
    pub protocol_version: u16,
    /// Name of the sending host.
    pub sender: String,
    /// Number of the sender's process, from its start time; higher after every restart.
    pub incarnation: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Acknowledgement of the newest heartbeat that the sender received from the receiver.
    pub ack: Option<HeartbeatAck>,
    /// Serving state of the sender.
    pub state: HostState,
    /// Bandwidth of the sender's network link in Mbit/s. The hosts with the highest bandwidth read
    /// the platform for the others.
    pub link_mbps: u32,
    /// Version of the sender's active manifest, 0 without one.
    pub manifest_version: u64,
    /// Age of the sender's view of the manifest; `None` if the view is not confirmed.
    pub view_age_ms: Option<u32>,
    /// Time since the platform itself last answered the sender; `None` if another host reads the
    /// platform for the sender.
    pub platform_age_ms: Option<u32>,
    /// Demand of the rate-limited teams at the sender, sorted by team hash.
    pub team_demand: Vec<TeamDemand>,
    /// Load of the services in the sender's region.
    pub service_loads: Vec<ServiceLoad>,
    /// Exchanges that the sender counted in its rollouts.
    pub rollout_tallies: Vec<RolloutTally>,
    /// Updates about requests that crash instances.
    pub quarantine_updates: Vec<QuarantineUpdate>,
}

/// Acknowledgement of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct HeartbeatAck {
    /// Incarnation of the host that sent the acknowledged heartbeat.
    pub incarnation: u64,
    /// Sequence number of the acknowledged heartbeat.
    pub sequence: u64,
    /// Time between the arrival of the heartbeat and the sending of the acknowledgement.
    pub ack_delay_ms: u32,
}

/// Serving state of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum HostState {
    /// The host has no confirmed view: it has not received one yet, or has lost it.
    Unready,
    /// The host accepts requests.
    Serving,
    /// The host is shutting down.
    Draining,
}

/// Requests of one team at one host.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct TeamDemand {
    /// Hash of the team's name, see [`name_hash`].
    pub team_hash: u32,
    /// Rate of the callers' requests, including refused ones. The unit keeps the encoding short.
    pub requests_per_16_s: u32,
    /// Rate for which the host claims a share of the team's rate.
    pub claimed_per_16_s: u32,
    /// Requests admitted within the last window of the rate limit.
    pub admitted: u32,
}

/// Load of one service in the sender's region, as observed by the sender.
#[derive(Debug, Clone, Copy, PartialEq, Encode, Decode)]
pub struct ServiceLoad {
    /// Hash of the service's name, see [`name_hash`].
    pub service_hash: u32,
    /// Requests that run or wait at the region's instances, per slot.
    pub utilization: f32,
    /// Share of the affinity keys that is shifted to other regions, 0 to 1. `None` before the
    /// sender's first request, while the share only reflects which instances happen to have
    /// registered.
    pub shift_share: Option<f32>,
}

/// Exchanges that a process has counted on one route of a rollout since it received the order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct RolloutTally {
    /// Hash of the service's name and the target version, see [`name_hash`].
    pub rollout_hash: u32,
    /// Hash of the route's name, see [`name_hash`].
    pub route_hash: u32,
    /// Exchanges with the new version.
    pub new: VersionTally,
    /// Exchanges with the old versions.
    pub old: VersionTally,
    /// Whether the sender has found the new version to be faulty.
    pub faulty: bool,
}

/// Hash of a name in heartbeats: the lower 32 bits of its XXH3 hash.
pub fn name_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
