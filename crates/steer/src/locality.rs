//! Regions and availability zones.

use std::time::Duration;

/// Key of a region in [`ZoneMap`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u16);

/// Key of an availability zone in [`ZoneMap`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u16);

/// A zone with its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Locality {
    /// The zone.
    pub zone: ZoneKey,
    /// The region of the zone.
    pub region: RegionKey,
}

/// The zones and regions of a deployment and where this process runs.
#[derive(Debug, Clone)]
pub struct ZoneMap {
    /// Names of the regions, sorted.
    regions: Vec<String>,
    /// Names of the zones with their regions, sorted.
    zones: Vec<(String, RegionKey)>,
    /// Where this process runs.
    own: Locality,
}

impl ZoneMap {
    /// Round trip between processes of one zone before any was measured.
    const IN_ZONE: Duration = Duration::from_millis(1);

    /// Round trip between zones of a region before any was measured.
    const IN_REGION: Duration = Duration::from_millis(3);

    /// Round trip between regions before any was measured; the deployments have 70 and 110 ms.
    const BETWEEN_REGIONS: Duration = Duration::from_millis(90);

    /// Places from pairs of zone and region; `None` when the own zone is not among them.
    pub fn new(zones: &[(String, String)], own_zone: &str) -> Option<Self> {
        let mut regions: Vec<String> = zones.iter().map(|it| it.1.clone()).collect();
        regions.sort();
        regions.dedup();
        let mut keyed: Vec<(String, RegionKey)> = Vec::with_capacity(zones.len());
        for (zone, region) in zones {
            let at = regions.binary_search(region).ok()?;
            keyed.push((zone.clone(), RegionKey(at as u16)));
        }
        keyed.sort();
        keyed.dedup();
        let placeholder = Locality { zone: ZoneKey(0), region: RegionKey(0) };
        let mut res = Self { regions, zones: keyed, own: placeholder };
        res.own = res.locality(own_zone)?;
        Some(res)
    }

    /// Where this process runs.
    pub fn own_locality(&self) -> Locality {
        self.own
    }

    /// The place of a zone by its name.
    pub fn locality(&self, zone: &str) -> Option<Locality> {
        let at = self.zones.binary_search_by(|it| it.0.as_str().cmp(zone)).ok()?;
        Some(Locality { zone: ZoneKey(at as u16), region: self.zones[at].1 })
    }

    /// The key of a region by its name.
    pub fn region_key(&self, name: &str) -> Option<RegionKey> {
        self.regions
            .binary_search_by(|it| it.as_str().cmp(name))
            .ok()
            .map(|at| RegionKey(at as u16))
    }

    /// The name of a zone.
    pub fn zone_name(&self, zone: ZoneKey) -> &str {
        &self.zones[usize::from(zone.0)].0
    }

    /// The name of a region.
    pub fn region_name(&self, region: RegionKey) -> &str {
        &self.regions[usize::from(region.0)]
    }

    /// Expected round trip from this process to a place.
    pub fn expected_round_trip(&self, to: Locality) -> Duration {
        if to.zone == self.own.zone {
            Self::IN_ZONE
        } else if to.region == self.own.region {
            Self::IN_REGION
        } else {
            Self::BETWEEN_REGIONS
        }
    }
}
