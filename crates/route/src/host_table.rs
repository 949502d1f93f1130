//! Ranking of entry hosts for lookup answers.

use std::{cmp::Ordering, ops::Range};

use kingcupford_config::{HostId, RegionId, Snapshot, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Multiple of a group's mean load above which a host is ranked after the others of the group.
const LOAD_BOUND_RATIO: f64 = 1.25;

/// Minimum load bound of a group, since small loads differ by chance.
const MIN_LOAD_BOUND: f64 = 0.25;

/// Distance of hosts in the caller's zone. The distance of other regions is the latency of the link
/// in ms, which is never below 0.
const SAME_ZONE_DISTANCE: f64 = -2.0;

/// Distance of hosts in the other zones of the caller's region.
const SAME_REGION_DISTANCE: f64 = -1.0;

/// An entry host that a lookup answer may contain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostCandidate {
    /// Id of the host, local to this process.
    pub host: HostId,
    /// Hash of the host's name, equal in all processes.
    pub name_hash: u64,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Reported utilization, 1 at full capacity.
    pub load: f64,
    /// Whether lookup answers may contain the host: live, neither draining nor suspected.
    pub eligible: bool,
}

impl HostCandidate {
    /// Creates an eligible candidate; `name_hash` is computed from `name`.
    pub fn new(host: HostId, name: &str, zone: ZoneId, load: f64) -> Self {
        Self { host, name_hash: xxh3_64(name.as_bytes()), zone, load, eligible: true }
    }
}

/// Eligible hosts indexed by region and zone.
///
/// The table is immutable and is rebuilt when membership, loads or links change.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    /// Sorted by region, zone and name hash.
    hosts: Vec<HostEntry>,
    /// Range in `groups` per zone, indexed by zone id; the last entry is for unknown zones.
    zone_groups: Vec<Range<usize>>,
    /// Groups of all zones; those of one zone are contiguous and sorted by distance.
    groups: Vec<HostGroup>,
}

#[derive(Debug, Clone, Copy)]
struct HostEntry {
    host: HostId,
    name_hash: u64,
    zone: ZoneId,
    /// The last region id if the zone is unknown.
    region: RegionId,
    load: f64,
}

/// Hosts at the same distance from a zone.
#[derive(Debug, Clone)]
struct HostGroup {
    /// Range in [`HostTable::hosts`].
    range: Range<usize>,
    /// Part of `range` that belongs to a nearer group and is skipped.
    skipped: Range<usize>,
    /// Load above which a host is ranked after the others.
    load_bound: f64,
    /// Distance from the zone; the order of groups at the same distance rotates by affinity.
    distance: f64,
}

/// Level at which hosts near the caller are ranked as one group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalityLevel {
    /// Hosts of the caller's zone are ranked before the others of its region.
    Zone,
    /// All hosts of the caller's region are ranked as one group, so that the callers of a small
    /// team are sent to the same host and its few tokens are not divided among several hosts.
    Region,
}

impl HostTable {
    /// Builds the table from the eligible candidates.
    pub fn new(candidates: &[HostCandidate], snapshot: &Snapshot) -> Self {
        let mut hosts: Vec<_> = candidates
            .iter()
            .filter(|it| it.eligible)
            .map(|it| HostEntry {
                host: it.host,
                name_hash: it.name_hash,
                zone: it.zone,
                region: region_of(snapshot, it.zone),
                // An absurd report must not raise the mean that all hosts are compared with.
                load: if it.load.is_finite() { it.load.clamp(0.0, 1.0) } else { 1.0 },
            })
            .collect();
        hosts.sort_by_key(|it| (it.region, it.zone, it.name_hash, it.host));
        let mut table = Self { hosts, zone_groups: Vec::new(), groups: Vec::new() };
        let mut regions: Vec<_> = table.hosts.iter().map(|it| it.region).collect();
        regions.dedup();
        // One entry more than there are zones, for callers whose zone is unknown.
        for index in 0..=snapshot.zones.slot_count() {
            let zone = ZoneId(u16::try_from(index).unwrap_or(u16::MAX));
            table.add_zone(zone, &regions, snapshot);
        }
        table
    }

    /// Returns at most `limit` hosts for callers in `zone`, the preferred one first.
    ///
    /// The hosts of the zone come first, then those of its region, then the other regions by
    /// latency. Inside each of these groups, hosts are ordered by rendezvous hashing of `affinity`,
    /// and hosts loaded above the bound come last. The order of regions at the same distance is
    /// rotated by `affinity`, so that the callers of a lost region do not all go to one of them.
    pub fn rank(
        &self,
        zone: ZoneId,
        level: LocalityLevel,
        affinity: u64,
        limit: usize,
    ) -> Vec<HostId> {
        let mut ranked = Vec::with_capacity(limit.min(self.hosts.len()));
        let Some(last) = self.zone_groups.len().checked_sub(1) else { return ranked };
        let zone_groups = self.zone_groups[usize::from(zone.0).min(last)].clone();
        let groups = &self.groups[zone_groups];
        let mut best: Vec<(bool, u64, HostId)> = Vec::with_capacity(limit.min(self.hosts.len()));
        let merged = match level {
            LocalityLevel::Zone => 0,
            LocalityLevel::Region => {
                groups.iter().take_while(|it| it.distance <= SAME_REGION_DISTANCE).count()
            }
        };
        best.clear();
        for group in &groups[..merged] {
            self.merge_best(group, affinity, limit, &mut best);
        }
        ranked.extend(best.iter().map(|it| it.2));
        for same_distance in groups[merged..].chunk_by(|a, b| a.distance == b.distance) {
            let first = (mix(affinity) % same_distance.len() as u64) as usize;
            for group in same_distance[first..].iter().chain(&same_distance[..first]) {
                let missing = limit - ranked.len();
                if missing == 0 {
                    return ranked;
                }
                best.clear();
                self.merge_best(group, affinity, missing, &mut best);
                ranked.extend(best.iter().map(|it| it.2));
            }
        }
        ranked
    }

    /// Merges the hosts of a group into `best`, which holds the `limit` best hosts so far as
    /// sorted tuples of overload, inverted hash weight and id.
    fn merge_best(
        &self,
        group: &HostGroup,
        affinity: u64,
        limit: usize,
        best: &mut Vec<(bool, u64, HostId)>,
    ) {
        let before = &self.hosts[group.range.start..group.skipped.start];
        let after = &self.hosts[group.skipped.end..group.range.end];
        for host in before.iter().chain(after) {
            let weight = mix(host.name_hash ^ affinity);
            let entry = (host.load > group.load_bound, !weight, host.host);
            if best.len() == limit && best.last().is_some_and(|it| *it <= entry) {
                continue;
            }
            let position = best.partition_point(|it| *it < entry);
            best.truncate(limit - 1);
            best.insert(position, entry);
        }
    }

    /// Adds the groups of one zone.
    fn add_zone(&mut self, zone: ZoneId, regions: &[RegionId], snapshot: &Snapshot) {
        let first = self.groups.len();
        let home = region_of(snapshot, zone);
        let region_range = self.region_range(home);
        let zone_range = self.equal_range(&region_range, |it| it.zone.cmp(&zone));
        self.add_group(zone_range.clone(), zone_range.end..zone_range.end, SAME_ZONE_DISTANCE);
        self.add_group(region_range, zone_range, SAME_REGION_DISTANCE);
        let mut other_regions: Vec<_> = regions.iter().filter(|it| **it != home).collect();
        let latency_ms = |region: RegionId| {
            snapshot.link(home, region).map_or(f64::INFINITY, |it| it.latency_ms)
        };
        other_regions.sort_by(|a, b| latency_ms(**a).total_cmp(&latency_ms(**b)));
        for region in other_regions {
            let range = self.region_range(*region);
            self.add_group(range.clone(), range.end..range.end, latency_ms(*region));
        }
        self.zone_groups.push(first..self.groups.len());
    }

    /// Adds a group unless it has no host.
    fn add_group(&mut self, range: Range<usize>, skipped: Range<usize>, distance: f64) {
        let before = &self.hosts[range.start..skipped.start];
        let after = &self.hosts[skipped.end..range.end];
        let count = before.len() + after.len();
        if count == 0 {
            return;
        }
        let sum: f64 = before.iter().chain(after).map(|it| it.load).sum();
        let load_bound = (LOAD_BOUND_RATIO * sum / count as f64).max(MIN_LOAD_BOUND);
        self.groups.push(HostGroup { range, skipped, load_bound, distance });
    }

    /// Returns the range of a region's hosts.
    fn region_range(&self, region: RegionId) -> Range<usize> {
        self.equal_range(&(0..self.hosts.len()), |it| it.region.cmp(&region))
    }

    /// Returns the range of the hosts in `within` for which `order` is `Equal`; `within` must be
    /// sorted by `order`.
    fn equal_range(
        &self,
        within: &Range<usize>,
        order: impl Fn(&HostEntry) -> Ordering,
    ) -> Range<usize> {
        let hosts = &self.hosts[within.clone()];
        let start = hosts.partition_point(|it| order(it) == Ordering::Less);
        let end = hosts.partition_point(|it| order(it) != Ordering::Greater);
        within.start + start..within.start + end
    }
}

/// Ranks hosts for a single lookup; to answer many lookups, build a [`HostTable`] once.
pub fn rank_hosts(
    candidates: &[HostCandidate],
    zone: ZoneId,
    snapshot: &Snapshot,
    affinity: u64,
    limit: usize,
) -> Vec<HostId> {
    HostTable::new(candidates, snapshot).rank(zone, LocalityLevel::Zone, affinity, limit)
}

/// Returns the region of a zone; zones missing from the snapshot share the last region id.
fn region_of(snapshot: &Snapshot, zone: ZoneId) -> RegionId {
    snapshot.zones.value(zone).map_or(RegionId(u16::MAX), |it| it.region)
}

/// Spreads the bits of a value over the whole word (the finalizer of SplitMix64).
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
