//! The state of one zone as its speaker writes it to the platform for operators.

use kingcupford_fleet::MemberState;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{control::CONFIG_SECTION, engine::Engine};

/// Prefix of the objects with the state of each zone.
pub const ZONE_STATUS_PREFIX: &str = "status/zone/";

/// Version of the object's format that this crate writes.
const FORMAT: u32 = 1;

/// The state of one zone; unknown fields are ignored, so that two versions of the system agree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneStatus {
    /// Version of the format.
    pub format: u32,
    /// Name of the zone.
    pub zone: String,
    /// Name of the speaker that wrote the state.
    pub writer: String,
    /// When it was written, by the writer's clock.
    pub written_unix_ms: u64,
    /// Entry hosts of the zone in the writer's view.
    pub hosts: Vec<HostStatus>,
    /// Room of each service in the zone's region, as the writer sees it.
    pub services: Vec<ServiceStatus>,
    /// Rollouts that the writer stopped on evidence.
    #[serde(default)]
    pub stopped_rollouts: Vec<StoppedRollout>,
}

/// One entry host of a zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub name: String,
    /// State in the writer's view.
    pub state: String,
    /// Version of its active configuration, 0 when unknown.
    pub config_version: u64,
    /// Load that it reported, 1,000 for fully used.
    pub load_permille: u16,
}

/// Room of one service in a region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Name of the region.
    pub region: String,
    /// Slots of instances that take requests.
    pub slots: u32,
    /// Slots that are free.
    pub free: u32,
}

/// A rollout that was stopped on evidence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoppedRollout {
    /// Name of the service.
    pub service: String,
    /// Why.
    pub reason: String,
}

impl Engine {
    /// The state of this host's zone, to be written by the zone's first speaker.
    pub fn zone_status(&self, now: Instant, unix_ms: u64) -> ZoneStatus {
        let own = self.fleet.identity();
        let members = self.fleet.members().iter().filter(|it| it.zone == own.zone);
        let hosts = members.map(|it| HostStatus {
            name: it.name.clone(),
            state: it.state.to_string(),
            config_version: self.config_version_of(&it.name),
            load_permille: it.load_permille,
        });
        let mut services = Vec::new();
        if let Some(region) = self.home_region() {
            for (id, service) in self.snapshot.services.iter() {
                let headroom = self.balancer.capacity(id, region, now);
                services.push(ServiceStatus {
                    service: service.name.clone(),
                    region: self.snapshot.regions[region].name.clone(),
                    slots: headroom.slots,
                    free: headroom.free_slots,
                });
            }
        }
        let stops = self.rollouts.stops();
        ZoneStatus {
            format: FORMAT,
            zone: own.zone.clone(),
            writer: own.name.clone(),
            written_unix_ms: unix_ms,
            hosts: hosts.collect(),
            services,
            stopped_rollouts: stops
                .map(|(service, reason)| StoppedRollout {
                    service: service.to_owned(),
                    reason: format!("{reason:?}"),
                })
                .collect(),
        }
    }

    /// Whether this host writes the state of its zone.
    pub fn writes_zone_status(&self) -> bool {
        let own = self.fleet.identity();
        self.fleet.speakers(&own.zone).first() == Some(&own.name.as_str())
    }

    /// Version of a host's active configuration, 0 when it is not known or the host is gone.
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
