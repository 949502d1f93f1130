//! The choice of an instance.

use std::time::Duration;

use kingcupford_config::{InstanceId, RegionId, ServiceId, Snapshot, VersionId, ZoneId};
use tokio::time::Instant;

use crate::{observe::LoadReport, retry::AttemptOutcome};

/// A region that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedRegion {
    /// The region.
    pub region: RegionId,
    /// This host's share of the service's slots there, of which a cold region gets a part.
    pub share_slots: u32,
}

/// What an instance is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: ServiceId,
    /// The version, which belongs to the service.
    pub version: VersionId,
    /// Region of the choosing host; it is never treated as cold.
    pub home_region: RegionId,
    /// Zone of the choosing host, preferred inside its region.
    pub home_zone: ZoneId,
    /// Regions in the order of preference.
    pub regions: &'a [AllowedRegion],
    /// Instances that this request already tried.
    pub excluded: &'a [InstanceId],
    /// Whether the request may be repeated without harm; such requests probe ejected instances.
    pub idempotent: bool,
    /// The time.
    pub now: Instant,
}

/// Room of a service in a region as this host sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Headroom {
    /// Slots of instances that take requests.
    pub slots: u32,
    /// Slots of these that are free, by own counts and fresh reports.
    pub free: u32,
}

/// A host's observations of all instances and the choice among them.
#[derive(Debug)]
pub struct Balancer {}

impl Balancer {
    /// A balancer without instances; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        let _ = seed;
        Self {}
    }

    /// Takes over the instances of a snapshot; new ones ramp up, except with the first snapshot.
    pub fn install(&mut self, snapshot: &Snapshot, now: Instant) {
        let _ = (snapshot, now);
    }

    /// Chooses an instance, `None` when no allowed one has room.
    pub fn choose(&mut self, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        let _ = query;
        None
    }

    /// Counts a request sent to an instance.
    pub fn started(&mut self, instance: InstanceId, now: Instant) {
        let _ = (instance, now);
    }

    /// Counts the end of a request that was started.
    pub fn finished(
        &mut self,
        instance: InstanceId,
        outcome: AttemptOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let _ = (instance, outcome, latency, now);
    }

    /// Takes a load report that was measured at `measured_at`.
    pub fn report(
        &mut self,
        instance: InstanceId,
        report: LoadReport,
        measured_at: Instant,
        now: Instant,
    ) {
        let _ = (instance, report, measured_at, now);
    }

    /// Gives an instance no new work until a time.
    pub fn marked_draining(&mut self, instance: InstanceId, until: Instant) {
        let _ = (instance, until);
    }

    /// Room of all versions of a service in a region.
    pub fn headroom(&self, service: ServiceId, region: RegionId, now: Instant) -> Headroom {
        let _ = (service, region, now);
        Headroom::default()
    }

    /// Requests that this host has running at an instance.
    pub fn in_flight(&self, instance: InstanceId) -> u32 {
        let _ = instance;
        0
    }

    /// Whether failures keep an instance out of the choice.
    pub fn is_ejected(&self, instance: InstanceId) -> bool {
        let _ = instance;
        false
    }
}
