//! The order in which a lookup answer names entry hosts.

use std::{cmp::Ordering, ops::Range};

use kingcupford_config::{HostId, RegionId, Snapshot, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// A host above this multiple of its group's mean load is named after the others.
const LOAD_BOUND: f64 = 1.25;

/// Below this load no host counts as loaded, since small loads differ by chance.
const MIN_LOAD_BOUND: f64 = 0.25;

/// Distance of the hosts of a zone from it; other regions are at their latency, never below 0.
const ZONE: f64 = -2.0;

/// Distance of the other hosts of the region.
const REGION: f64 = -1.0;

/// An entry host that a lookup answer may name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct HostCandidate {
    /// The host.
    pub host: HostId,
    /// Hash of its name; equal on all hosts, unlike the process's own `host` key.
    pub name_hash: u64,
    /// Its zone.
    pub zone: ZoneId,
    /// Reported load, 1 when its capacity is used up.
    pub load: f64,
    /// Whether it may be named: live, neither draining nor suspected.
    pub eligible: bool,
}

impl HostCandidate {
    /// A candidate that may be named.
    pub fn new(host: HostId, name: &str, zone: ZoneId, load: f64) -> Self {
        Self { host, name_hash: xxh3_64(name.as_bytes()), zone, load, eligible: true }
    }
}

/// Candidates arranged by region and zone, built again when membership, loads or links change.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    /// Hosts that may be named, sorted by region, zone and name hash.
    hosts: Vec<Ranked>,
    /// By zone key, where its rows of `groups` stand.
    zones: Vec<Range<usize>>,
    /// Groups of hosts in the order in which a zone uses them, for all zones.
    groups: Vec<Group>,
}

/// A host of the table.
#[derive(Debug, Clone, Copy)]
struct Ranked {
    /// The host.
    host: HostId,
    /// Hash of its name.
    name_hash: u64,
    /// Its zone.
    zone: ZoneId,
    /// Its region, the last one when its zone is unknown.
    region: RegionId,
    /// Its load.
    load: f64,
}

/// Hosts that are equally near to a zone.
#[derive(Debug, Clone)]
struct Group {
    /// The hosts, as a part of the table.
    all: Range<usize>,
    /// Hosts of `all` that a nearer group already has.
    except: Range<usize>,
    /// Load above which a host is named after the others.
    load_bound: f64,
    /// Distance from the zone; groups of the same distance take turns to be first.
    distance: f64,
}

/// How near hosts have to be to be treated alike.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LocalityLevel {
    /// Hosts of the caller's zone come before the others of its region.
    Zone,
    /// All hosts of the caller's region are equally near, so that callers of one small tenant meet
    /// at the same host and need not share few tokens among several.
    Region,
}

impl HostTable {
    /// Arranges the candidates that may be named.
    pub fn new(candidates: &[HostCandidate], snapshot: &Snapshot) -> Self {
        let mut hosts: Vec<_> = candidates
            .iter()
            .filter(|it| it.eligible)
            .map(|it| Ranked {
                host: it.host,
                name_hash: it.name_hash,
                zone: it.zone,
                region: region_of(snapshot, it.zone),
                // One absurd report must not raise the mean that all are compared with.
                load: if it.load.is_finite() { it.load.clamp(0.0, 1.0) } else { 1.0 },
            })
            .collect();
        hosts.sort_by_key(|it| (it.region, it.zone, it.name_hash, it.host));
        let mut res = Self { hosts, zones: Vec::new(), groups: Vec::new() };
        let mut regions: Vec<_> = res.hosts.iter().map(|it| it.region).collect();
        regions.dedup();
        // One row more than zones, for callers whose zone is unknown.
        for index in 0..=snapshot.zones.slot_count() {
            let zone = ZoneId(u16::try_from(index).unwrap_or(u16::MAX));
            res.add_zone(zone, &regions, snapshot);
        }
        res
    }

    /// Hosts for callers near `zone`, the preferred one first.
    ///
    /// The zone's hosts come first, then those of its region, then the other regions by latency.
    /// Inside each of these groups, rendezvous hashing by `affinity` orders the hosts, and hosts
    /// loaded above the bound come last. Regions at the same distance take turns by `affinity`, so
    /// that the callers of a lost region do not all go to one of them.
    pub fn rank(
        &self,
        zone: ZoneId,
        nearness: LocalityLevel,
        affinity: u64,
        limit: usize,
    ) -> Vec<HostId> {
        let mut res = Vec::with_capacity(limit.min(self.hosts.len()));
        let Some(last) = self.zones.len().checked_sub(1) else { return res };
        let row = self.zones[usize::from(zone.0).min(last)].clone();
        let groups = &self.groups[row];
        let mut best: Vec<(bool, u64, HostId)> = Vec::with_capacity(limit.min(self.hosts.len()));
        let home = match nearness {
            LocalityLevel::Zone => 0,
            LocalityLevel::Region => groups.iter().take_while(|it| it.distance <= REGION).count(),
        };
        best.clear();
        for group in &groups[..home] {
            self.choose(group, affinity, limit, &mut best);
        }
        res.extend(best.iter().map(|it| it.2));
        for run in groups[home..].chunk_by(|a, b| a.distance == b.distance) {
            let first = (mix(affinity) % run.len() as u64) as usize;
            for group in run[first..].iter().chain(&run[..first]) {
                let wanted = limit - res.len();
                if wanted == 0 {
                    return res;
                }
                best.clear();
                self.choose(group, affinity, wanted, &mut best);
                res.extend(best.iter().map(|it| it.2));
            }
        }
        res
    }

    /// Merges the hosts of a group into the best ones so far.
    fn choose(
        &self,
        group: &Group,
        affinity: u64,
        wanted: usize,
        best: &mut Vec<(bool, u64, HostId)>,
    ) {
        let before = &self.hosts[group.all.start..group.except.start];
        let behind = &self.hosts[group.except.end..group.all.end];
        for host in before.iter().chain(behind) {
            let weight = mix(host.name_hash ^ affinity);
            let entry = (host.load > group.load_bound, !weight, host.host);
            if best.len() == wanted && best.last().is_some_and(|it| *it <= entry) {
                continue;
            }
            let at = best.partition_point(|it| *it < entry);
            best.truncate(wanted - 1);
            best.insert(at, entry);
        }
    }

    /// Adds the groups of one zone.
    fn add_zone(&mut self, zone: ZoneId, regions: &[RegionId], snapshot: &Snapshot) {
        let first = self.groups.len();
        let home = region_of(snapshot, zone);
        let region = self.region_range(home);
        let local = self.range(&region, |it| it.zone.cmp(&zone));
        self.add_group(local.clone(), local.end..local.end, ZONE);
        self.add_group(region, local, REGION);
        let mut others: Vec<_> = regions.iter().filter(|it| **it != home).collect();
        let latency =
            |it: RegionId| snapshot.link(home, it).map_or(f64::INFINITY, |it| it.latency_ms);
        others.sort_by(|a, b| latency(**a).total_cmp(&latency(**b)));
        for other in others {
            let range = self.region_range(*other);
            self.add_group(range.clone(), range.end..range.end, latency(*other));
        }
        self.zones.push(first..self.groups.len());
    }

    /// Adds a group unless it has no host.
    fn add_group(&mut self, all: Range<usize>, except: Range<usize>, distance: f64) {
        let before = &self.hosts[all.start..except.start];
        let behind = &self.hosts[except.end..all.end];
        let count = before.len() + behind.len();
        if count == 0 {
            return;
        }
        let sum: f64 = before.iter().chain(behind).map(|it| it.load).sum();
        let load_bound = (LOAD_BOUND * sum / count as f64).max(MIN_LOAD_BOUND);
        self.groups.push(Group { all, except, load_bound, distance });
    }

    /// Where the hosts of a region stand.
    fn region_range(&self, region: RegionId) -> Range<usize> {
        self.range(&(0..self.hosts.len()), |it| it.region.cmp(&region))
    }

    /// Where the hosts stand that `order` finds equal, inside a sorted part.
    fn range(&self, within: &Range<usize>, order: impl Fn(&Ranked) -> Ordering) -> Range<usize> {
        let hosts = &self.hosts[within.clone()];
        let start = hosts.partition_point(|it| order(it) == Ordering::Less);
        let end = hosts.partition_point(|it| order(it) != Ordering::Greater);
        within.start + start..within.start + end
    }
}

/// Ranks hosts once; a host that answers many lookups keeps a [`HostTable`] instead.
pub fn rank_hosts(
    candidates: &[HostCandidate],
    zone: ZoneId,
    snapshot: &Snapshot,
    affinity: u64,
    limit: usize,
) -> Vec<HostId> {
    HostTable::new(candidates, snapshot).rank(zone, LocalityLevel::Zone, affinity, limit)
}

/// The region of a zone; zones that the snapshot lacks share the last key.
fn region_of(snapshot: &Snapshot, zone: ZoneId) -> RegionId {
    snapshot.zones.value(zone).map_or(RegionId(u16::MAX), |it| it.region)
}

/// Spreads the bits of a value over the whole word.
fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}
