//! Load reports of instances: which host polls them and which peers receive them.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use kingcupford_config::RegionId;
use kingcupford_fleet::MemberState;
use kingcupford_route::LoadReport;
use tokio::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    engine::Engine,
    message::{Envelope, Message},
};

/// Number of hosts in a region that poll one instance. The number is fixed so that the polls of an
/// instance do not grow with the fleet, and above 1 so that a failed host leaves another one.
const POLLERS_PER_INSTANCE: usize = 2;

/// Interval at which one host polls one instance.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Instance whose load reports this host polls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollTarget {
    /// Name of the instance.
    pub instance: String,
    /// Address of the instance.
    pub address: SocketAddr,
}

/// Load report of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// Name of the instance.
    pub instance: String,
    /// Number of requests that the instance runs for all hosts together.
    pub in_flight: u32,
    /// Whether the instance reported that it is draining.
    pub draining: bool,
    /// Time since the report was polled.
    pub age_ms: u32,
}

impl Engine {
    /// Returns the instances that this host polls, which are chosen by rendezvous hashing among the
    /// live hosts of the region.
    pub fn poll_targets(&self) -> Vec<PollTarget> {
        let Some((_, region)) = self.home_locality() else { return Vec::new() };
        let hosts = self.live_hosts_in_region(region);
        let own_name = self.fleet.identity().name.as_str();
        let instances = self.snapshot.instances.iter().filter(|(_, it)| it.region == region);
        let targets = instances.filter(|(_, instance)| {
            let weight = |host: &str| {
                xxh3_64_with_seed(instance.name.as_bytes(), xxh3_64_with_seed(host.as_bytes(), 0))
            };
            let own_weight = weight(own_name);
            hosts.iter().filter(|it| **it != own_name && weight(it) > own_weight).count()
                < POLLERS_PER_INSTANCE
        });
        targets
            .map(|(_, it)| PollTarget { instance: it.name.clone(), address: it.address })
            .collect()
    }

    /// Records reports that this host polled and returns the messages that relay them to peers.
    ///
    /// The hosts of the region get every report. The hosts of other regions send little to the
    /// region's instances and get only the reports of draining ones.
    pub fn record_reports(&mut self, reports: Vec<InstanceReport>, now: Instant) -> Vec<Envelope> {
        self.apply_reports(&reports, now);
        let Some((_, region)) = self.home_locality() else { return Vec::new() };
        let local_hosts = self.live_hosts_in_region(region);
        let draining: Vec<_> = reports.iter().filter(|it| it.draining).cloned().collect();
        let mut res = Vec::new();
        for to in self.peers_by_distance() {
            let relayed = if local_hosts.contains(&to.as_str()) { &reports } else { &draining };
            if !relayed.is_empty() {
                res.push(Envelope { to, message: Message::Reports(relayed.clone()) });
            }
        }
        res
    }

    /// Passes reports that this host or a peer polled to the balancer.
    pub(crate) fn apply_reports(&mut self, reports: &[InstanceReport], now: Instant) {
        for report in reports {
            let Some(instance) = self.snapshot.instances.id(&report.instance) else { continue };
            let age = Duration::from_millis(u64::from(report.age_ms));
            let measured_at = now.checked_sub(age).unwrap_or(now);
            let report = LoadReport {
                in_flight: report.in_flight,
                draining: report.draining,
                period: POLL_INTERVAL,
            };
            self.balancer.record_report(instance, report, measured_at, now);
        }
    }

    /// Returns the names of the live hosts of a region; this host is included if it is one of them.
    fn live_hosts_in_region(&self, region: RegionId) -> Vec<&str> {
        let members = self.fleet.members().iter();
        let live = members.filter(|it| it.state == MemberState::Live);
        let in_region = live.filter(|it| {
            let zone = self.snapshot.zones.id(&it.zone);
            zone.is_some_and(|it| self.snapshot.region_of(it) == region)
        });
        in_region.map(|it| it.name.as_str()).collect()
    }
}
