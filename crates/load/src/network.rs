//! Latencies and partitions.

use kingcupford_config::{Snapshot, ZoneId};
use kingcupford_scenario::NetworkLatencies;

/// One-way latency inside a zone.
const INSIDE_ZONE_US: u64 = 200;

/// The paths between zones and to the platform.
#[derive(Debug)]
pub(crate) struct Network {
    /// One-way latency by zone and zone.
    latency_us: Vec<Vec<u64>>,
    /// Between a caller and its zone.
    client_us: u64,
    /// Zone of the platform.
    platform: usize,
    /// Cuts in force: the fault, one side, the other side, and whether the first side is cut off
    /// from the platform.
    cuts: Vec<(usize, Vec<usize>, Vec<usize>, bool)>,
    /// Zones whose machines are lost, by fault; their callers are elsewhere.
    lost: Vec<(usize, Vec<usize>)>,
}

impl Network {
    /// The paths of a deployment; the platform is in the first zone that is declared.
    pub(crate) fn new(snapshot: &Snapshot, latencies: NetworkLatencies, platform: usize) -> Self {
        let zones = snapshot.zones.slot_count();
        let us = |ms: f64| (ms * 1000.0) as u64;
        let latency = |a: usize, b: usize| {
            let key = |it: usize| ZoneId(it as u16);
            let (low, high) = (snapshot.region_of(key(a)), snapshot.region_of(key(b)));
            if a == b {
                INSIDE_ZONE_US
            } else if low == high {
                us(latencies.zone_latency_ms)
            } else {
                snapshot.link(low, high).map_or(100_000, |it| us(it.latency_ms))
            }
        };
        Self {
            latency_us: (0..zones).map(|a| (0..zones).map(|b| latency(a, b)).collect()).collect(),
            client_us: us(latencies.client_latency_ms),
            platform,
            cuts: Vec::new(),
            lost: Vec::new(),
        }
    }

    /// One-way latency between two zones.
    pub(crate) fn latency_us(&self, a: usize, b: usize) -> u64 {
        self.latency_us[a][b]
    }

    /// One-way latency between a caller of a zone and a host in another.
    pub(crate) fn client_us(&self, caller: usize, host: usize) -> u64 {
        self.client_us + self.latency_us[caller][host]
    }

    /// One-way latency to the platform.
    pub(crate) fn platform_us(&self, zone: usize) -> u64 {
        self.latency_us[zone][self.platform]
    }

    /// Whether the machines of two zones hear each other.
    pub(crate) fn connected(&self, a: usize, b: usize) -> bool {
        !self.is_lost(a) && !self.is_lost(b) && self.has_path(a, b)
    }

    /// Whether callers of a zone reach the machines of another.
    pub(crate) fn reaches(&self, caller: usize, host: usize) -> bool {
        !self.is_lost(host) && self.has_path(caller, host)
    }

    /// Whether the machines of a zone are lost.
    fn is_lost(&self, zone: usize) -> bool {
        self.lost.iter().any(|it| it.1.contains(&zone))
    }

    /// Whether no partition lies between two zones.
    fn has_path(&self, a: usize, b: usize) -> bool {
        let cuts = |(_, side, other, _): &(usize, Vec<usize>, Vec<usize>, bool)| {
            side.contains(&a) && other.contains(&b) || side.contains(&b) && other.contains(&a)
        };
        a == b || !self.cuts.iter().any(cuts)
    }

    /// Whether a zone hears the platform.
    pub(crate) fn hears_platform(&self, zone: usize) -> bool {
        !self.is_lost(zone)
            && !self.cuts.iter().any(|(_, side, _, platform)| *platform && side.contains(&zone))
    }

    /// Cuts zones off.
    pub(crate) fn cut(
        &mut self,
        fault: usize,
        side: Vec<usize>,
        other: Vec<usize>,
        platform: bool,
    ) {
        self.cuts.push((fault, side, other, platform));
    }

    /// Loses the machines of zones, without any sign to their peers.
    pub(crate) fn lose(&mut self, fault: usize, zones: Vec<usize>) {
        self.lost.push((fault, zones));
    }

    /// Ends the cuts and losses of a fault.
    pub(crate) fn heal(&mut self, fault: usize) {
        self.cuts.retain(|it| it.0 != fault);
        self.lost.retain(|it| it.0 != fault);
    }
}
