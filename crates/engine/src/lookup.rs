//! Lookups, by which callers find the entry hosts to use.

use std::{net::IpAddr, time::Duration};

use kingcupford_config::{DrainTarget, HostId, TeamId, ZoneId};
use kingcupford_fleet::MemberState;
use kingcupford_route::{HostCandidate, HostTable, LocalityLevel};
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{control::BINDING_SECTION, engine::Engine};

/// Maximum number of hosts in one answer.
const MAX_ANSWER_HOSTS: usize = 3;

/// Request rate of a team for which one host of a region is enough.
const TEAM_RATE_PER_HOST_PER_S: f64 = 50.0;

/// Maximum number of hosts on which the callers of a team are concentrated; teams that need
/// more are spread by the callers' networks.
const MAX_CONCENTRATED_HOSTS: f64 = 2.0;

/// Time to live of an answer while membership is stable.
const STABLE_TTL: Duration = Duration::from_secs(10);

/// Time to live of an answer while membership changes.
const CHANGING_TTL: Duration = Duration::from_secs(2);

/// Interval at which the host table is rebuilt with current loads and states.
const HOST_TABLE_REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Query of a caller for the entry hosts to use.
#[derive(Debug, Clone)]
pub struct LookupQuery {
    /// Name of the service.
    pub service: String,
    /// IP address of the caller, which determines its site.
    pub client: IpAddr,
    /// Team of the key that came with the query, if any.
    pub team: Option<TeamId>,
}

/// Entry hosts that a caller should use.
#[derive(Debug, Clone)]
pub struct LookupAnswer {
    /// Hosts in the order in which the caller should try them.
    pub hosts: Vec<LookupHost>,
    /// Time for which the caller may cache the answer.
    pub ttl: Duration,
    /// Name of the caller's site, `None` if no client block contains the caller's address.
    pub site: Option<String>,
    /// Version of the configuration from which the answer was derived.
    pub config_version: u64,
}

/// Entry host in a lookup answer.
#[derive(Debug, Clone)]
pub struct LookupHost {
    /// Name of the host.
    pub name: String,
    /// Addresses that callers use.
    pub addresses: Vec<String>,
    /// Binding with which callers form request ids for this host, if it is known.
    pub binding: Option<String>,
}

impl Engine {
    /// Returns the hosts that a caller should use, `None` for an unknown service.
    pub fn lookup(&mut self, query: &LookupQuery, now: Instant) -> Option<LookupAnswer> {
        self.snapshot.services.id(&query.service)?;
        self.refresh_host_table(now);
        let site = self.block_table.site(query.client).and_then(|it| self.snapshot.sites.value(it));
        let zone =
            site.map(|it| it.zone).or(self.home_locality().map(|it| it.0)).unwrap_or(ZoneId(0));
        let (level, affinity) = self.affinity(query);
        let ranked = self.host_table.rank(zone, level, affinity, MAX_ANSWER_HOSTS);
        let is_changing = self.fleet.is_membership_changing(now);
        Some(LookupAnswer {
            hosts: ranked.iter().map(|it| self.lookup_hosts[it.0 as usize].clone()).collect(),
            ttl: if is_changing { CHANGING_TTL } else { STABLE_TTL },
            site: site.map(|it| it.name.clone()),
            config_version: self.snapshot.version.0,
        })
    }

    /// Returns the level and the affinity by which hosts are ranked; callers with the same values
    /// get the same hosts.
    ///
    /// A small team's share on each host is a few tokens, so its callers of a region are directed
    /// to only as many hosts as its rate needs. The callers of larger teams and callers without a
    /// key are spread by their networks.
    fn affinity(&self, query: &LookupQuery) -> (LocalityLevel, u64) {
        let network_hash = network_hash(query.client);
        let Some(team) = query.team.and_then(|it| self.snapshot.teams.value(it)) else {
            return (LocalityLevel::Zone, network_hash);
        };
        let hosts = (team.rate_per_s / TEAM_RATE_PER_HOST_PER_S).ceil().max(1.0);
        if hosts > MAX_CONCENTRATED_HOSTS {
            return (LocalityLevel::Zone, network_hash);
        }
        let bucket = network_hash % hosts as u64;
        (LocalityLevel::Region, xxh3_64_with_seed(team.name.as_bytes(), bucket))
    }

    /// Rebuilds the host table if its refresh is due.
    pub(crate) fn refresh_host_table(&mut self, now: Instant) {
        if self.host_table_built_at.is_some_and(|it| now < it + HOST_TABLE_REFRESH_INTERVAL) {
            return;
        }
        self.host_table_built_at = Some(now);
        let mut candidates = Vec::new();
        self.lookup_hosts.clear();
        let own_binding = self.request_ids.binding(now);
        for member in self.fleet.members() {
            let Some(zone) = self.snapshot.zones.id(&member.zone) else { continue };
            let id = HostId(self.lookup_hosts.len() as u32);
            let load = f64::from(member.load_permille) / 1000.0;
            let mut candidate = HostCandidate::new(id, &member.name, zone, load);
            candidate.eligible = member.state == MemberState::Live
                && !member.public_addresses.is_empty()
                && !self.is_host_drained(&member.name);
            candidates.push(candidate);
            let binding = if member.name == self.fleet.identity().name {
                Some(own_binding.clone())
            } else {
                let section = self.fleet.section(&member.name, BINDING_SECTION);
                section.and_then(|it| String::from_utf8(it.to_vec()).ok())
            };
            self.lookup_hosts.push(LookupHost {
                name: member.name.clone(),
                addresses: member.public_addresses.clone(),
                binding,
            });
        }
        self.host_table = HostTable::new(&candidates, &self.snapshot);
    }

    /// Returns whether the active preset drains this host.
    pub(crate) fn is_drained_by_preset(&self) -> bool {
        self.is_host_drained(&self.fleet.identity().name)
    }

    /// Returns whether the active preset drains a host.
    fn is_host_drained(&self, name: &str) -> bool {
        let drains = self.snapshot.preset().map(|it| it.drains.as_slice()).unwrap_or_default();
        drains.iter().any(|it| it.target == DrainTarget::Host && it.name == name)
    }
}

/// Returns the hash of the caller's /24 (IPv4) or /48 (IPv6) network, whose callers get the same
/// hosts, so that their connections can be shared.
fn network_hash(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(it) => xxh3_64(&it.octets()[..3]),
        IpAddr::V6(it) => xxh3_64(&it.octets()[..6]),
    }
}
