//! Resources with a fleet-wide cap.

use std::time::Duration;

use bincode::{Decode, Encode};
use kingcupford_config::{RegionId, ServiceId, ShiftId, Snapshot, TeamId};

/// Resource with a cap that applies to all hosts of a fleet together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Request rate of a team.
    TeamRate(TeamId),
    /// Concurrent requests of a service in a region.
    RegionSlots(ServiceId, RegionId),
    /// Byte rate of the traffic from one region to another.
    Link {
        /// Sending region.
        from: RegionId,
        /// Receiving region.
        to: RegionId,
    },
    /// Rate of requests moved by a traffic shift.
    Shift(ShiftId),
}

/// Names of a [`Resource`], for messages between processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ResourceName {
    /// Request rate of the named team.
    TeamRate(String),
    /// Concurrent requests of a service (first name) in a region (second name).
    RegionSlots(String, String),
    /// Byte rate of the traffic from one region to another.
    Link {
        /// Sending region.
        from: String,
        /// Receiving region.
        to: String,
    },
    /// Rate of requests moved by the named traffic shift.
    Shift(String),
}

impl ResourceName {
    /// Looks up the names of a resource. Returns `None` when the snapshot lacks an id of the
    /// resource.
    pub fn new(resource: Resource, snapshot: &Snapshot) -> Option<Self> {
        let region = |id| Some(snapshot.regions.value(id)?.name.clone());
        Some(match resource {
            Resource::TeamRate(it) => Self::TeamRate(snapshot.teams.value(it)?.name.clone()),
            Resource::RegionSlots(service, it) => {
                Self::RegionSlots(snapshot.services.value(service)?.name.clone(), region(it)?)
            }
            Resource::Link { from, to } => Self::Link { from: region(from)?, to: region(to)? },
            Resource::Shift(it) => Self::Shift(snapshot.shifts.value(it)?.name.clone()),
        })
    }

    /// Looks up the resource with these names. Returns `None` when the snapshot lacks one of the
    /// names.
    pub fn resolve(&self, snapshot: &Snapshot) -> Option<Resource> {
        Some(match self {
            Self::TeamRate(it) => Resource::TeamRate(snapshot.teams.id(it)?),
            Self::RegionSlots(service, it) => {
                Resource::RegionSlots(snapshot.services.id(service)?, snapshot.regions.id(it)?)
            }
            Self::Link { from, to } => {
                Resource::Link { from: snapshot.regions.id(from)?, to: snapshot.regions.id(to)? }
            }
            Self::Shift(it) => Resource::Shift(snapshot.shifts.id(it)?),
        })
    }
}

/// Limit that applies to all hosts of a fleet together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cap {
    /// Token bucket.
    Rate {
        /// Tokens added per second.
        rate_per_s: f64,
        /// Capacity of the bucket in tokens.
        burst: f64,
    },
    /// Limit on concurrent requests.
    Permits {
        /// Maximum number of concurrent requests.
        permits: u32,
        /// Maximum time that a request holds a permit.
        max_request_duration: Duration,
    },
}
