//! Regions and availability zones.

use std::time::Duration;

/// Key of a region in [`Places`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionKey(pub u16);

/// Key of an availability zone in [`Places`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneKey(pub u16);

/// A zone with its region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// The zone.
    pub zone: ZoneKey,
    /// The region of the zone.
    pub region: RegionKey,
}

/// The zones and regions of a deployment and where this process runs.
#[derive(Debug, Clone)]
pub struct Places {
    /// Names of the regions, sorted.
    regions: Vec<String>,
    /// Names of the zones with their regions, sorted.
    zones: Vec<(String, RegionKey)>,
    /// Where this process runs.
    own: Place,
}

impl Places {
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
        let unplaced = Place { zone: ZoneKey(0), region: RegionKey(0) };
        let mut res = Self { regions, zones: keyed, own: unplaced };
        res.own = res.place(own_zone)?;
        Some(res)
    }

    /// Where this process runs.
    pub fn own(&self) -> Place {
        self.own
    }

    /// The place of a zone by its name.
    pub fn place(&self, zone: &str) -> Option<Place> {
        let at = self.zones.binary_search_by(|it| it.0.as_str().cmp(zone)).ok()?;
        Some(Place { zone: ZoneKey(at as u16), region: self.zones[at].1 })
    }

    /// The key of a region by its name.
    pub fn region(&self, name: &str) -> Option<RegionKey> {
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
    pub fn round_trip(&self, to: Place) -> Duration {
        if to.zone == self.own.zone {
            Self::IN_ZONE
        } else if to.region == self.own.region {
            Self::IN_REGION
        } else {
            Self::BETWEEN_REGIONS
        }
    }
}
