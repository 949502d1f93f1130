//! Derivation of the caps that a snapshot declares.

use std::time::Duration;

use kingcupford_config::{RegionId, ServiceId, Snapshot, VersionId};
use kingcupford_quota::{Cap, Resource};

use crate::engine::MAX_RESPONSE_OVERRUN;

/// Burst of a link, as the time in which its capacity transfers that many bytes.
const LINK_BURST_S: f64 = 0.25;

/// Division of a service's traffic between its versions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct VersionSplit {
    /// Active version of the configuration, which gets the traffic that the new version does not.
    pub(crate) old: VersionId,
    /// Version that gets `new_share`, `None` without a rollout.
    pub(crate) new: Option<VersionId>,
    /// Share of the traffic that the new version gets, 0 to 1.
    pub(crate) new_share: f64,
}

/// Returns all caps of a snapshot; `split` returns the division of a service's traffic between its
/// versions.
pub(crate) fn derive_caps(
    snapshot: &Snapshot,
    split: impl Fn(ServiceId) -> VersionSplit,
) -> Vec<(Resource, Cap)> {
    let mut res = Vec::new();
    for (id, team) in snapshot.teams.iter() {
        let cap = Cap::Rate { rate_per_s: team.rate_per_s, burst: team.burst };
        res.push((Resource::TeamRate(id), cap));
    }
    for (service, _) in snapshot.services.iter() {
        for (region, _) in snapshot.regions.iter() {
            let permits = region_permits(snapshot, service, region, split(service));
            let cap = Cap::Permits {
                permits,
                max_request_duration: max_request_duration(snapshot, service),
            };
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

/// Returns the maximum time that a request of a service may run: the longest timeout of its routes, and
/// the time in which the response may end after it.
fn max_request_duration(snapshot: &Snapshot, service: ServiceId) -> Duration {
    let routes = snapshot.services[service].routes.iter();
    let max_timeout_ms = routes.map(|it| snapshot.routes[*it].timeout_ms).max().unwrap_or_default();
    Duration::from_millis(max_timeout_ms) + MAX_RESPONSE_OVERRUN
}

/// Returns how many requests of a service a region may run at the same time.
///
/// The limit is the largest number at which each version's share of the requests fits into its
/// slots, and at most the configured limit of the region.
fn region_permits(
    snapshot: &Snapshot,
    service: ServiceId,
    region: RegionId,
    split: VersionSplit,
) -> u32 {
    let slots = |version: VersionId| -> f64 {
        let Some(version) = snapshot.versions.value(version) else { return 0.0 };
        let instances = version.instances.iter().map(|it| &snapshot.instances[*it]);
        instances
            .filter(|it| it.region == region && !it.draining)
            .map(|it| f64::from(it.slots))
            .sum()
    };
    let old_slots = slots(split.old);
    let new_slots = split.new.map_or(0.0, slots);
    // A version whose share of the traffic exceeds its fraction of the slots is full first and
    // limits the total.
    let old_limit =
        if split.new_share < 1.0 { old_slots / (1.0 - split.new_share) } else { f64::INFINITY };
    let new_limit = if split.new_share > 0.0 { new_slots / split.new_share } else { f64::INFINITY };
    let permits = old_limit.min(new_limit).min(old_slots + new_slots) as u32;
    let region_limit = snapshot.region_limit(service, region);
    region_limit.map_or(permits, |it| permits.min(it))
}
