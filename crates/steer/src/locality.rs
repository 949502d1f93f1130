//! Regions and availability zones.

use std::time::Duration;

/// Key of a region in a [`ZoneMap`]: index in the sorted names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u16);

/// Key of an availability zone in a [`ZoneMap`]: index in the sorted names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u16);

/// An availability zone and its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Locality {
    /// Key of the zone.
    pub zone: ZoneKey,
    /// Key of the region that contains the zone.
    pub region: RegionKey,
}

/// Zones and regions of a deployment, with the locality of this process.
#[derive(Debug, Clone)]
pub struct ZoneMap {
    /// Names of the regions, sorted.
    regions: Vec<String>,
    /// Names of the zones with their regions, sorted.
    zones: Vec<(String, RegionKey)>,
    own: Locality,
}

impl ZoneMap {
    /// Assumed round trip within a zone.
    const ROUND_TRIP_IN_ZONE: Duration = Duration::from_millis(1);

    /// Assumed round trip between zones of a region.
    const ROUND_TRIP_IN_REGION: Duration = Duration::from_millis(3);

    /// Assumed round trip between regions; the deployments have 70 and 110 ms.
    const ROUND_TRIP_BETWEEN_REGIONS: Duration = Duration::from_millis(90);

    /// Builds the map from pairs of zone and region; `None` if `own_zone` is not among them.
    pub fn new(zones: &[(String, String)], own_zone: &str) -> Option<Self> {
        let mut regions: Vec<String> = zones.iter().map(|it| it.1.clone()).collect();
        regions.sort();
        regions.dedup();
        let mut keyed_zones: Vec<(String, RegionKey)> = Vec::with_capacity(zones.len());
        for (zone, region) in zones {
            let at = regions.binary_search(region).ok()?;
            keyed_zones.push((zone.clone(), RegionKey(at as u16)));
        }
        keyed_zones.sort();
        keyed_zones.dedup();
        let placeholder = Locality { zone: ZoneKey(0), region: RegionKey(0) };
        let mut res = Self { regions, zones: keyed_zones, own: placeholder };
        res.own = res.locality(own_zone)?;
        Some(res)
    }

    /// Locality of this process.
    pub fn own_locality(&self) -> Locality {
        self.own
    }

    /// Locality of a zone; `None` if the name is unknown.
    pub fn locality(&self, zone: &str) -> Option<Locality> {
        let at = self.zones.binary_search_by(|it| it.0.as_str().cmp(zone)).ok()?;
        Some(Locality { zone: ZoneKey(at as u16), region: self.zones[at].1 })
    }

    /// Key of a region; `None` if the name is unknown.
    pub fn region_key(&self, name: &str) -> Option<RegionKey> {
        self.regions
            .binary_search_by(|it| it.as_str().cmp(name))
            .ok()
            .map(|at| RegionKey(at as u16))
    }

    /// Name of a zone. The key must come from this map.
    pub fn zone_name(&self, zone: ZoneKey) -> &str {
        &self.zones[usize::from(zone.0)].0
    }

    /// Name of a region. The key must come from this map.
    pub fn region_name(&self, region: RegionKey) -> &str {
        &self.regions[usize::from(region.0)]
    }

    /// Assumed round trip from this process to a locality.
    pub fn expected_round_trip(&self, to: Locality) -> Duration {
        if to.zone == self.own.zone {
            Self::ROUND_TRIP_IN_ZONE
        } else if to.region == self.own.region {
            Self::ROUND_TRIP_IN_REGION
        } else {
            Self::ROUND_TRIP_BETWEEN_REGIONS
        }
    }
}
