//! The caps that a snapshot declares.

use std::time::Duration;

use kingcupford_config::{RegionId, ServiceId, Snapshot, VersionId};
use kingcupford_quota::{Cap, Resource};

/// Bytes that may be sent over a link at once, as seconds of its rate.
const LINK_BURST_S: f64 = 0.25;

/// The versions of a service that get traffic, with the new one's share.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Split {
    /// The version that gets the rest.
    pub(crate) old: VersionId,
    /// The version that gets `new_share`, when a rollout runs.
    pub(crate) new: Option<VersionId>,
    /// Share of the new version, 0 to 1.
    pub(crate) new_share: f64,
}

/// Every cap of the snapshot; `split` answers which versions of a service get traffic.
pub(crate) fn caps(
    snapshot: &Snapshot,
    split: impl Fn(ServiceId) -> Split,
) -> Vec<(Resource, Cap)> {
    let mut res = Vec::new();
    for (id, tenant) in snapshot.tenants.iter() {
        let cap = Cap::Rate { rate_per_s: tenant.rate_per_s, burst: tenant.burst };
        res.push((Resource::TenantRate(id), cap));
    }
    for (service, _) in snapshot.services.iter() {
        for (region, _) in snapshot.regions.iter() {
            let permits = region_permits(snapshot, service, region, split(service));
            let cap =
                Cap::Permits { permits, max_request_duration: longest_request(snapshot, service) };
            res.push((Resource::RegionSlots(service, region), cap));
        }
    }
    for link in &snapshot.links {
        let cap = Cap::Rate {
            rate_per_s: link.capacity_bytes_per_s,
            burst: link.capacity_bytes_per_s * LINK_BURST_S,
        };
        res.push((Resource::Link { from: link.lower_region, to: link.higher_region }, cap));
        res.push((Resource::Link { from: link.higher_region, to: link.lower_region }, cap));
    }
    for (id, shift) in snapshot.active_shifts() {
        let cap = Cap::Rate { rate_per_s: shift.cap_per_s, burst: shift.burst };
        res.push((Resource::Shift(id), cap));
    }
    res
}

/// Longest time that a request of a service may run.
fn longest_request(snapshot: &Snapshot, service: ServiceId) -> Duration {
    let routes = snapshot.services[service].routes.iter();
    let longest_ms = routes.map(|it| snapshot.routes[*it].timeout_ms).max().unwrap_or_default();
    Duration::from_millis(longest_ms)
}

/// Requests of a service that a region runs at the same time, as the versions' shares allow.
fn region_permits(snapshot: &Snapshot, service: ServiceId, region: RegionId, split: Split) -> u32 {
    let slots = |version: VersionId| -> f64 {
        let Some(version) = snapshot.versions.value(version) else { return 0.0 };
        let instances = version.instances.iter().map(|it| &snapshot.instances[*it]);
        instances
            .filter(|it| it.region == region && !it.draining)
            .map(|it| f64::from(it.slots))
            .sum()
    };
    let old = slots(split.old);
    let new = split.new.map_or(0.0, slots);
    // A version whose share exceeds its part of the slots fills up first and bounds the whole.
    let by_old = if split.new_share < 1.0 { old / (1.0 - split.new_share) } else { f64::INFINITY };
    let by_new = if split.new_share > 0.0 { new / split.new_share } else { f64::INFINITY };
    let permits = by_old.min(by_new).min(old + new) as u32;
    let limit = snapshot.region_limit(service, region);
    limit.map_or(permits, |it| permits.min(it))
}
