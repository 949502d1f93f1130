//! What is limited over all hosts together, and by how much.

use std::time::Duration;

use bincode::{Decode, Encode};
use kingcupford_config::{RegionId, ServiceId, ShiftId, Snapshot, TenantId};

/// Something with a cap over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Resource {
    /// Requests of a tenant.
    TenantRate(TenantId),
    /// Requests of a service that run in a region at the same time.
    RegionSlots(ServiceId, RegionId),
    /// Bytes sent from one region to another.
    Link {
        /// The sending region.
        from: RegionId,
        /// The receiving region.
        to: RegionId,
    },
    /// Requests moved by a traffic shift.
    Shift(ShiftId),
}

/// A [`Resource`] by names, for messages between processes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum ResourceName {
    /// Requests of the named tenant.
    TenantRate(String),
    /// Requests of a service, named first, in a region.
    RegionSlots(String, String),
    /// Bytes between two regions.
    Link {
        /// The sending region.
        from: String,
        /// The receiving region.
        to: String,
    },
    /// Requests moved by the named traffic shift.
    Shift(String),
}

impl ResourceName {
    /// The names of a resource, `None` when the snapshot lacks one of its parts.
    pub fn new(resource: Resource, snapshot: &Snapshot) -> Option<Self> {
        let region = |id| Some(snapshot.regions.value(id)?.name.clone());
        Some(match resource {
            Resource::TenantRate(it) => Self::TenantRate(snapshot.tenants.value(it)?.name.clone()),
            Resource::RegionSlots(service, it) => {
                Self::RegionSlots(snapshot.services.value(service)?.name.clone(), region(it)?)
            }
            Resource::Link { from, to } => Self::Link { from: region(from)?, to: region(to)? },
            Resource::Shift(it) => Self::Shift(snapshot.shifts.value(it)?.name.clone()),
        })
    }

    /// The resource of the names, `None` when the snapshot lacks one of them.
    pub fn resolve(&self, snapshot: &Snapshot) -> Option<Resource> {
        Some(match self {
            Self::TenantRate(it) => Resource::TenantRate(snapshot.tenants.key(it)?),
            Self::RegionSlots(service, it) => {
                Resource::RegionSlots(snapshot.services.key(service)?, snapshot.regions.key(it)?)
            }
            Self::Link { from, to } => {
                Resource::Link { from: snapshot.regions.key(from)?, to: snapshot.regions.key(to)? }
            }
            Self::Shift(it) => Resource::Shift(snapshot.shifts.key(it)?),
        })
    }
}

/// A limit over all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cap {
    /// A token bucket.
    Rate {
        /// Tokens added per second.
        rate_per_s: f64,
        /// Most tokens kept.
        burst: f64,
    },
    /// A number of requests at the same time.
    Permits {
        /// The number.
        permits: u32,
        /// Longest time that a request holds a permit.
        max_request_duration: Duration,
    },
}
