//! Simulated network: latencies, partitions and lost zones.

use kingcupford_config::{Snapshot, ZoneId};
use kingcupford_scenario::NetworkLatencies;

/// One-way latency within a zone.
const SAME_ZONE_LATENCY_US: u64 = 200;

/// Network between zones, callers and the platform.
#[derive(Debug)]
pub(crate) struct Network {
    /// One-way latency between each pair of zones.
    latency_us: Vec<Vec<u64>>,
    /// One-way latency between a caller and its zone.
    client_latency_us: u64,
    platform_zone: usize,
    /// Active partitions: index of the fault, zones of the first side, zones of the second side,
    /// and whether the first side is cut off from the platform.
    partitions: Vec<(usize, Vec<usize>, Vec<usize>, bool)>,
    /// Zones whose machines are lost, by index of the fault. The callers of a lost zone are
    /// elsewhere and keep their connectivity.
    lost_zones: Vec<(usize, Vec<usize>)>,
}

impl Network {
    /// Creates the network of a deployment with the platform in a zone.
    pub(crate) fn new(
        snapshot: &Snapshot,
        latencies: NetworkLatencies,
        platform_zone: usize,
    ) -> Self {
        let zones = snapshot.zones.slot_count();
        let to_us = |ms: f64| (ms * 1000.0) as u64;
        let latency = |a: usize, b: usize| {
            let zone_id = |it: usize| ZoneId(it as u16);
            let (region_a, region_b) =
                (snapshot.region_of(zone_id(a)), snapshot.region_of(zone_id(b)));
            if a == b {
                SAME_ZONE_LATENCY_US
            } else if region_a == region_b {
                to_us(latencies.zone_latency_ms)
            } else {
                snapshot.link(region_a, region_b).map_or(100_000, |it| to_us(it.latency_ms))
            }
        };
        Self {
            latency_us: (0..zones).map(|a| (0..zones).map(|b| latency(a, b)).collect()).collect(),
            client_latency_us: to_us(latencies.client_latency_ms),
            platform_zone,
            partitions: Vec::new(),
            lost_zones: Vec::new(),
        }
    }

    /// Returns the one-way latency between two zones.
    pub(crate) fn latency_us(&self, a: usize, b: usize) -> u64 {
        self.latency_us[a][b]
    }

    /// Returns the one-way latency between a caller in a zone and a host in a zone.
    pub(crate) fn caller_latency_us(&self, caller: usize, host: usize) -> u64 {
        self.client_latency_us + self.latency_us[caller][host]
    }

    /// Returns the one-way latency between a zone and the platform.
    pub(crate) fn platform_latency_us(&self, zone: usize) -> u64 {
        self.latency_us[zone][self.platform_zone]
    }

    /// Whether the machines of two zones can reach each other.
    pub(crate) fn are_connected(&self, a: usize, b: usize) -> bool {
        !self.is_lost(a) && !self.is_lost(b) && self.has_path(a, b)
    }

    /// Whether callers of a zone can reach the machines of a zone.
    pub(crate) fn caller_reaches(&self, caller: usize, host: usize) -> bool {
        !self.is_lost(host) && self.has_path(caller, host)
    }

    fn is_lost(&self, zone: usize) -> bool {
        self.lost_zones.iter().any(|it| it.1.contains(&zone))
    }

    /// Whether no partition separates two zones.
    fn has_path(&self, a: usize, b: usize) -> bool {
        let separates = |(_, side, other, _): &(usize, Vec<usize>, Vec<usize>, bool)| {
            side.contains(&a) && other.contains(&b) || side.contains(&b) && other.contains(&a)
        };
        a == b || !self.partitions.iter().any(separates)
    }

    /// Whether the machines of a zone can reach the platform.
    pub(crate) fn reaches_platform(&self, zone: usize) -> bool {
        !self.is_lost(zone)
            && !self
                .partitions
                .iter()
                .any(|(_, side, _, platform)| *platform && side.contains(&zone))
    }

    /// Starts a partition between `side` and `other`, and from the platform if `platform` is set.
    pub(crate) fn add_partition(
        &mut self,
        fault: usize,
        side: Vec<usize>,
        other: Vec<usize>,
        platform: bool,
    ) {
        self.partitions.push((fault, side, other, platform));
    }

    /// Makes the machines of zones unreachable without notifying their peers.
    pub(crate) fn add_zone_loss(&mut self, fault: usize, zones: Vec<usize>) {
        self.lost_zones.push((fault, zones));
    }

    /// Ends the partitions and zone losses of a fault.
    pub(crate) fn remove_fault(&mut self, fault: usize) {
        self.partitions.retain(|it| it.0 != fault);
        self.lost_zones.retain(|it| it.0 != fault);
    }
}
