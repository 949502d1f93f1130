//! Status of one zone, which the zone's first speaker writes to the platform for operators.

use kingcupford_fleet::MemberState;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{control::CONFIG_SECTION, engine::Engine};

/// Prefix of the names of zone status objects; the name of the zone follows.
pub const ZONE_STATUS_PREFIX: &str = "status/zone/";

/// Format version of the zone status objects that this crate writes.
const FORMAT_VERSION: u32 = 1;

/// Status of one zone, stored as JSON. Unknown fields are ignored, so that objects of later versions
/// of the system can be decoded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Version of the object's format.
    pub format: u32,
    /// Name of the zone.
    pub zone: String,
    /// Name of the speaker that wrote the object.
    pub writer: String,
    /// Unix time of the write by the writer's clock.
    pub written_unix_ms: u64,
    /// Entry hosts of the zone in the writer's view.
    pub hosts: Vec<HostStatus>,
    /// Capacity of each service in the zone's region, as observed by the writer.
    pub services: Vec<ServiceStatus>,
    /// Rollouts that the writer stopped.
    #[serde(default)]
    pub stopped_rollouts: Vec<StoppedRollout>,
}

/// Status of one entry host of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub name: String,
    /// Membership state in the writer's view.
    pub state: String,
    /// Version of the host's active configuration, 0 if unknown.
    pub config_version: u64,
    /// Load that the host reported, 1,000 at full utilization.
    pub load_permille: u16,
}

/// Capacity of one service in a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Name of the region.
    pub region: String,
    /// Number of slots of instances that accept requests.
    pub slots: u32,
    /// Number of free slots.
    pub free: u32,
}

/// Rollout whose new version gets no requests from the writer any more.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoppedRollout {
    /// Name of the service.
    pub service: String,
    /// Debug representation of the `kingcupford_rollout::Reason`.
    pub reason: String,
}

impl Engine {
    /// Returns the status of this host's zone.
    pub fn zone_status(&self, now: Instant, unix_ms: u64) -> ZoneStatus {
        let identity = self.fleet.identity();
        let members = self.fleet.members().iter().filter(|it| it.zone == identity.zone);
        let hosts = members.map(|it| HostStatus {
            name: it.name.clone(),
            state: it.state.to_string(),
            config_version: self.config_version_of(&it.name),
            load_permille: it.load_permille,
        });
        let mut services = Vec::new();
        if let Some(region) = self.home_region() {
            for (id, service) in self.snapshot.services.iter() {
                let capacity = self.balancer.capacity(id, region, now);
                services.push(ServiceStatus {
                    service: service.name.clone(),
                    region: self.snapshot.regions[region].name.clone(),
                    slots: capacity.slots,
                    free: capacity.free_slots,
                });
            }
        }
        let stop_reasons = self.rollouts.stop_reasons();
        ZoneStatus {
            format: FORMAT_VERSION,
            zone: identity.zone.clone(),
            writer: identity.name.clone(),
            written_unix_ms: unix_ms,
            hosts: hosts.collect(),
            services,
            stopped_rollouts: stop_reasons
                .map(|(service, reason)| StoppedRollout {
                    service: service.to_owned(),
                    reason: format!("{reason:?}"),
                })
                .collect(),
        }
    }

    /// Returns whether this host writes the status of its zone, as the zone's first speaker.
    pub fn writes_zone_status(&self) -> bool {
        let identity = self.fleet.identity();
        self.fleet.speakers(&identity.zone).first() == Some(&identity.name.as_str())
    }

    /// Returns the version of a host's active configuration, 0 if it is unknown or the host is
    /// gone.
    fn config_version_of(&self, host: &str) -> u64 {
        if host == self.fleet.identity().name {
            return self.snapshot.version.0;
        }
        let is_gone = self.fleet.member(host).is_none_or(|it| it.state == MemberState::Gone);
        let section = self.fleet.section(host, CONFIG_SECTION);
        match section.and_then(|it| it.try_into().ok()) {
            Some(bytes) if !is_gone => u64::from_le_bytes(bytes),
            _ => 0,
        }
    }
}
