//! Load reports of instances: who reads them and who is told.

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

/// Hosts of a region that read the reports of one instance, so that the number of reads does not
/// grow with the fleet and one dead reader leaves another.
const READERS: usize = 2;

/// Time between two reads of one instance.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// An instance whose reports this host reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PollTarget {
    /// Name of the instance.
    pub instance: String,
    /// Its address.
    pub address: SocketAddr,
}

/// What one instance reported.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct InstanceReport {
    /// Name of the instance.
    pub instance: String,
    /// Requests that it runs for all hosts together.
    pub in_flight: u32,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Time since the report was read.
    pub age_ms: u32,
}

impl Engine {
    /// The instances whose reports this host reads.
    pub fn poll_targets(&self) -> Vec<PollTarget> {
        let Some((_, region)) = self.home() else { return Vec::new() };
        let readers = self.hosts_of_region(region);
        let own = self.fleet.identity().name.as_str();
        let instances = self.snapshot.instances.iter().filter(|(_, it)| it.region == region);
        let targets = instances.filter(|(_, instance)| {
            let rank = |host: &str| {
                xxh3_64_with_seed(instance.name.as_bytes(), xxh3_64_with_seed(host.as_bytes(), 0))
            };
            let own_rank = rank(own);
            readers.iter().filter(|it| **it != own && rank(it) > own_rank).count() < READERS
        });
        targets
            .map(|(_, it)| PollTarget { instance: it.name.clone(), address: it.address })
            .collect()
    }

    /// Takes reports that this host read and answers whom to tell.
    ///
    /// The hosts of the region get every report; the others, which send little there, get only
    /// those of draining instances.
    pub fn record_reports(&mut self, reports: Vec<InstanceReport>, now: Instant) -> Vec<Envelope> {
        self.receive_reports(&reports, now);
        let Some((_, region)) = self.home() else { return Vec::new() };
        let near = self.hosts_of_region(region);
        let draining: Vec<_> = reports.iter().filter(|it| it.draining).cloned().collect();
        let mut res = Vec::new();
        for to in self.peers_by_nearness() {
            let told = if near.contains(&to.as_str()) { &reports } else { &draining };
            if !told.is_empty() {
                res.push(Envelope { to, message: Message::Reports(told.clone()) });
            }
        }
        res
    }

    /// Takes reports that this host or a peer read.
    pub(crate) fn receive_reports(&mut self, reports: &[InstanceReport], now: Instant) {
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

    /// Names of the live hosts of a region, this one included.
    fn hosts_of_region(&self, region: RegionId) -> Vec<&str> {
        let members = self.fleet.members().iter();
        let live = members.filter(|it| it.state == MemberState::Live);
        let near = live.filter(|it| {
            let zone = self.snapshot.zones.id(&it.zone);
            zone.is_some_and(|it| self.snapshot.region_of(it) == region)
        });
        near.map(|it| it.name.as_str()).collect()
    }
}
