//! Answers to callers that ask which entry hosts to use.

use std::{net::IpAddr, time::Duration};

use kingcupford_config::{DrainTarget, HostId, TenantId, ZoneId};
use kingcupford_fleet::MemberState;
use kingcupford_route::{HostCandidate, HostTable, LocalityLevel};
use tokio::time::Instant;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{control::BINDING_SECTION, engine::Engine};

/// Hosts named in one answer.
const MAX_HOSTS: usize = 3;

/// Rate of a tenant for which one host of a region is enough.
const RATE_PER_HOST: f64 = 50.0;

/// Tenants that need more hosts than this are spread by the callers' networks.
const MAX_MEETING_HOSTS: f64 = 2.0;

/// Validity of an answer while membership is stable.
const TTL_STABLE: Duration = Duration::from_secs(10);

/// Validity of an answer while membership changes.
const TTL_CHANGING: Duration = Duration::from_secs(2);

/// Time between two refreshes of loads in the table of hosts.
const TABLE_REFRESH: Duration = Duration::from_millis(500);

/// A question for entry hosts.
#[derive(Debug, Clone)]
pub struct LookupQuery {
    /// Name of the service.
    pub service: String,
    /// Address of the caller.
    pub client: IpAddr,
    /// The tenant of the key that came with the question, if any.
    pub tenant: Option<TenantId>,
}

/// Which hosts a caller should use.
#[derive(Debug, Clone)]
pub struct LookupAnswer {
    /// Hosts in the order in which to try them.
    pub hosts: Vec<LookupHost>,
    /// How long the answer may be cached.
    pub ttl: Duration,
    /// Name of the caller's site, when a client block matches.
    pub site: Option<String>,
    /// Version of the configuration that was used.
    pub config_version: u64,
}

/// A host that lookups may name.
#[derive(Debug, Clone)]
pub struct LookupHost {
    /// Name of the host.
    pub name: String,
    /// Addresses that callers use.
    pub addresses: Vec<String>,
    /// Binding for request ids, when the host announced one.
    pub binding: Option<String>,
}

impl Engine {
    /// Answers which hosts a caller should use, `None` for an unknown service.
    pub fn lookup(&mut self, query: &LookupQuery, now: Instant) -> Option<LookupAnswer> {
        self.snapshot.services.id(&query.service)?;
        self.refresh_hosts(now);
        let site = self.blocks.site(query.client).and_then(|it| self.snapshot.sites.value(it));
        let zone = site.map(|it| it.zone).or(self.home().map(|it| it.0)).unwrap_or(ZoneId(0));
        let (nearness, affinity) = self.affinity(query);
        let ranked = self.hosts.rank(zone, nearness, affinity, MAX_HOSTS);
        let changing = self.fleet.is_membership_changing(now);
        Some(LookupAnswer {
            hosts: ranked.iter().map(|it| self.named[it.0 as usize].clone()).collect(),
            ttl: if changing { TTL_CHANGING } else { TTL_STABLE },
            site: site.map(|it| it.name.clone()),
            config_version: self.snapshot.version.0,
        })
    }

    /// Which callers meet at the same hosts.
    ///
    /// A small tenant's share on each host is a few tokens, so its callers of a region are brought
    /// to as many hosts as its rate needs. Without a key the caller's network decides.
    fn affinity(&self, query: &LookupQuery) -> (LocalityLevel, u64) {
        let network = network(query.client);
        let Some(tenant) = query.tenant.and_then(|it| self.snapshot.tenants.value(it)) else {
            return (LocalityLevel::Zone, network);
        };
        let hosts = (tenant.rate_per_s / RATE_PER_HOST).ceil().max(1.0);
        if hosts > MAX_MEETING_HOSTS {
            return (LocalityLevel::Zone, network);
        }
        let part = network % hosts as u64;
        (LocalityLevel::Region, xxh3_64_with_seed(tenant.name.as_bytes(), part))
    }

    /// Builds the table of hosts again after a while.
    pub(crate) fn refresh_hosts(&mut self, now: Instant) {
        if self.hosts_refreshed.is_some_and(|it| now < it + TABLE_REFRESH) {
            return;
        }
        self.hosts_refreshed = Some(now);
        let mut candidates = Vec::new();
        self.named.clear();
        let own_binding = self.request_ids.binding(now);
        for member in self.fleet.members() {
            let Some(zone) = self.snapshot.zones.id(&member.zone) else { continue };
            let id = HostId(self.named.len() as u32);
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
            self.named.push(LookupHost {
                name: member.name.clone(),
                addresses: member.public_addresses.clone(),
                binding,
            });
        }
        self.hosts = HostTable::new(&candidates, &self.snapshot);
    }

    /// Whether the active preset drains this host.
    pub(crate) fn is_drained_by_preset(&self) -> bool {
        self.is_host_drained(&self.fleet.identity().name)
    }

    /// Whether the active preset drains a host.
    fn is_host_drained(&self, name: &str) -> bool {
        let drains = self.snapshot.preset().map(|it| it.drains.as_slice()).unwrap_or_default();
        drains.iter().any(|it| it.target == DrainTarget::Host && it.name == name)
    }
}

/// Callers of one network get the same hosts, so that their connections can be shared.
fn network(client: IpAddr) -> u64 {
    match client.to_canonical() {
        IpAddr::V4(it) => xxh3_64(&it.octets()[..3]),
        IpAddr::V6(it) => xxh3_64(&it.octets()[..6]),
    }
}
