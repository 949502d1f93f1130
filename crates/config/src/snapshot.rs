//! Compiled configuration, which every routing and admission decision reads.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context as _;
use ipnet::IpNet;

use crate::{
    arena::{
        Arena, InstanceId, PresetId, RegionId, RouteId, ServiceId, ShiftId, SiteId, TeamId,
        VersionId, ZoneId,
    },
    declare::{Declarations, DrainDecl, IsolationPolicy, ServiceDecl},
    key::{CallerKey, KeyHash},
};

/// Number of a configuration version, which only increases.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigVersion(
    /// Version number, 0 before any version was accepted.
    pub u64,
);

/// A region.
#[derive(Debug, Clone)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Availability zones of the region.
    pub zones: Vec<ZoneId>,
}

/// An availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// Region that contains the zone.
    pub region: RegionId,
}

/// A group of upstream instances in one zone.
#[derive(Debug, Clone)]
pub struct Site {
    /// Unique name.
    pub name: String,
    /// Availability zone that contains the site.
    pub zone: ZoneId,
}

/// Network link between two regions, with the same properties in both directions.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Region with the lower id.
    pub lower_region: RegionId,
    /// Region with the higher id.
    pub higher_region: RegionId,
    /// One-way latency in milliseconds.
    pub latency_ms: f64,
    /// Bandwidth in each direction in bytes per second.
    pub capacity_bytes_per_s: f64,
}

/// A service that callers reach under `/name/`.
#[derive(Debug, Clone)]
pub struct Service {
    /// Unique name, which is the first segment of the request path.
    pub name: String,
    /// Routes by descending length of their path prefix.
    pub routes: Vec<RouteId>,
    /// Versions that are deployed, possibly several at the same time.
    pub versions: Vec<VersionId>,
    /// Version that receives all traffic while no rollout runs.
    pub active_version: VersionId,
}

/// Properties of the requests whose path has a given prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// Service of the route.
    pub service: ServiceId,
    /// Path prefix after the service segment.
    pub path_prefix: String,
    /// HTTP methods of the route; an empty list matches all methods.
    pub methods: Vec<String>,
    /// Whether requests are accepted without a key.
    pub open: bool,
    /// Whether executing a request more than once does no harm, so that it may be repeated.
    pub idempotent: bool,
    /// Timeout of a whole request in milliseconds.
    pub timeout_ms: u64,
}

/// One version of a service.
#[derive(Debug, Clone)]
pub struct Version {
    /// Name, unique within the service.
    pub name: String,
    /// Service of the version.
    pub service: ServiceId,
    /// Instances that run the version.
    pub instances: Vec<InstanceId>,
}

/// One upstream instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Name, unique across services.
    pub name: String,
    /// Service of the instance.
    pub service: ServiceId,
    /// Version that the instance runs.
    pub version: VersionId,
    /// Site that contains the instance.
    pub site: SiteId,
    /// Availability zone of the site.
    pub zone: ZoneId,
    /// Region of the zone.
    pub region: RegionId,
    /// IP address and port on which the instance serves requests.
    pub address: SocketAddr,
    /// Maximum number of requests that the instance runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the instance holds.
    pub connections: u32,
    /// Whether the active preset drains the instance, its site, its zone or its region.
    pub draining: bool,
}

/// A customer, whose requests share one rate limit.
#[derive(Debug, Clone)]
pub struct Team {
    /// Unique name.
    pub name: String,
    /// Rate limit in requests per second across the whole fleet.
    pub rate_per_s: f64,
    /// Capacity of the rate limit's token bucket in requests, across the whole fleet.
    pub burst: f64,
    /// Whether an isolated host, which receives nothing from the platform or any other zone, keeps
    /// serving the team's keys.
    pub when_isolated: IsolationPolicy,
}

/// Stored form of a key, without its secret.
#[derive(Debug, Clone)]
pub struct StoredKey {
    /// Unique identifier, the public part of the key.
    pub id: String,
    /// Team that owns the key.
    pub team: TeamId,
    /// SHA-256 of the whole key.
    pub hash: KeyHash,
}

/// A named set of traffic shifts, drains and limits, which operators activate as a whole.
#[derive(Debug, Clone)]
pub struct Preset {
    /// Unique name.
    pub name: String,
    /// Traffic shifts between regions.
    pub shifts: Vec<ShiftId>,
    /// Regions, zones, sites, instances and hosts that receive no new requests.
    pub drains: Vec<DrainDecl>,
    /// Concurrency limits per service and region.
    pub region_limits: Vec<RegionLimit>,
}

/// A limit on the concurrent requests of a service in a region.
#[derive(Debug, Clone, Copy)]
pub struct RegionLimit {
    /// Service whose requests are limited.
    pub service: ServiceId,
    /// Region that runs the requests.
    pub region: RegionId,
    /// Maximum number of concurrent requests across all hosts.
    pub max_in_flight: u32,
}

/// A traffic shift: a share of a service's requests served in another region, up to a rate cap.
#[derive(Debug, Clone)]
pub struct Shift {
    /// Name, unique across presets.
    pub name: String,
    /// Service whose requests are shifted.
    pub service: ServiceId,
    /// Region whose callers' requests are shifted.
    pub from: RegionId,
    /// Region that serves the shifted requests.
    pub to: RegionId,
    /// Target share of the traffic, 0 to 1.
    pub share: f64,
    /// Maximum rate of shifted requests per second, across all hosts.
    pub cap_per_s: f64,
    /// Capacity of the rate cap's token bucket in requests, across all hosts.
    pub burst: f64,
}

/// One compiled configuration version, immutable and complete.
///
/// Entries refer to each other by ids. A name keeps its id in every version that is compiled from
/// this one.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// Number of the configuration version.
    pub version: ConfigVersion,
    /// Revision of the declarations in the operators' version control.
    pub source_revision: String,
    /// Regions by name.
    pub regions: Arena<RegionId, Region>,
    /// Availability zones by name.
    pub zones: Arena<ZoneId, Zone>,
    /// Sites by name.
    pub sites: Arena<SiteId, Site>,
    /// Services by name.
    pub services: Arena<ServiceId, Service>,
    /// Routes by the service's name followed by the path prefix, such as `shop/cart`.
    pub routes: Arena<RouteId, Route>,
    /// Versions by `service/version`, such as `shop/v2`.
    pub versions: Arena<VersionId, Version>,
    /// Upstream instances by name.
    pub instances: Arena<InstanceId, Instance>,
    /// Teams by name.
    pub teams: Arena<TeamId, Team>,
    /// Presets by name.
    pub presets: Arena<PresetId, Preset>,
    /// Traffic shifts of all presets by name.
    pub shifts: Arena<ShiftId, Shift>,
    /// Id of the active preset, `None` only in the empty snapshot.
    pub active_preset: Option<PresetId>,
    /// Links sorted by the ids of their two regions, the lower id first.
    pub links: Vec<Link>,
    /// Issued keys sorted by identifier.
    pub keys: Vec<StoredKey>,
    /// Client networks with their nearest sites, sorted by network; shared with the previous
    /// snapshot when unchanged.
    pub blocks: Arc<Vec<(IpNet, SiteId)>>,
}

impl Snapshot {
    /// Compiles validated declarations; names known to `previous` keep their ids.
    ///
    /// Fails when the active preset or an entry that another one refers to is not declared. A drain
    /// of an undeclared target has no effect.
    pub fn compile(
        declarations: &Declarations,
        version: ConfigVersion,
        active_preset: &str,
        source_revision: &str,
        previous: Option<&Self>,
    ) -> anyhow::Result<Self> {
        let empty = Self::default();
        let previous = previous.unwrap_or(&empty);
        let mut snapshot = Self {
            version,
            source_revision: source_revision.to_owned(),
            regions: Arena::with_ids_of(&previous.regions),
            zones: Arena::with_ids_of(&previous.zones),
            sites: Arena::with_ids_of(&previous.sites),
            services: Arena::with_ids_of(&previous.services),
            routes: Arena::with_ids_of(&previous.routes),
            versions: Arena::with_ids_of(&previous.versions),
            instances: Arena::with_ids_of(&previous.instances),
            teams: Arena::with_ids_of(&previous.teams),
            presets: Arena::with_ids_of(&previous.presets),
            shifts: Arena::with_ids_of(&previous.shifts),
            ..Self::default()
        };
        snapshot.add_topology(declarations)?;
        snapshot.add_blocks(declarations, previous)?;
        for service in &declarations.services {
            snapshot.add_service(service)?;
        }
        snapshot.add_teams(declarations)?;
        snapshot.add_presets(declarations)?;
        snapshot.activate(active_preset)?;
        Ok(snapshot)
    }

    /// Returns the team that owns `key`, `None` when the key is unknown or revoked or its secret
    /// is wrong.
    pub fn authenticate(&self, key: &CallerKey) -> Option<TeamId> {
        let index = self.keys.binary_search_by(|it| it.id.as_str().cmp(key.id())).ok()?;
        let stored = &self.keys[index];
        stored.hash.matches(&key.hash()).then_some(stored.team)
    }

    /// Returns the route of a request: the one with the longest path prefix among those that match
    /// its method and path.
    pub fn route(&self, service: ServiceId, method: &str, path: &str) -> Option<RouteId> {
        let routes = &self.services.value(service)?.routes;
        routes.iter().copied().find(|it| self.routes[*it].matches(method, path))
    }

    /// Returns the link between two regions in either order, `None` when none is declared, as for a
    /// region and itself.
    pub fn link(&self, a: RegionId, b: RegionId) -> Option<&Link> {
        let pair = (a.min(b), a.max(b));
        let index = self
            .links
            .binary_search_by(|it| (it.lower_region, it.higher_region).cmp(&pair))
            .ok()?;
        Some(&self.links[index])
    }

    /// Returns the region that contains a zone.
    pub fn region_of(&self, zone: ZoneId) -> RegionId {
        self.zones[zone].region
    }

    /// Returns the active preset, `None` only in the empty snapshot.
    pub fn preset(&self) -> Option<&Preset> {
        self.active_preset.and_then(|it| self.presets.value(it))
    }

    /// Returns the traffic shifts of the active preset with their ids.
    pub fn active_shifts(&self) -> impl Iterator<Item = (ShiftId, &Shift)> {
        let shifts = self.preset().map(|it| it.shifts.as_slice()).unwrap_or_default();
        shifts.iter().map(|it| (*it, &self.shifts[*it]))
    }

    /// Returns the active preset's limit on concurrent requests of a service in a region, `None`
    /// when none is declared.
    pub fn region_limit(&self, service: ServiceId, region: RegionId) -> Option<u32> {
        let limits = &self.preset()?.region_limits;
        let limit = limits.iter().find(|it| it.service == service && it.region == region)?;
        Some(limit.max_in_flight)
    }

    /// Adds regions, zones, links and sites.
    fn add_topology(&mut self, declarations: &Declarations) -> anyhow::Result<()> {
        for region in &declarations.regions {
            let region_id = self
                .regions
                .insert(&region.name, Region { name: region.name.clone(), zones: Vec::new() });
            let zones = region.zones.iter().map(|name| {
                self.zones.insert(name, Zone { name: name.clone(), region: region_id })
            });
            let zones = zones.collect();
            if let Some(compiled) = self.regions.value_mut(region_id) {
                compiled.zones = zones;
            }
        }
        for link in &declarations.links {
            let a = self.regions.id(&link.between[0]).context("link names an unknown region")?;
            let b = self.regions.id(&link.between[1]).context("link names an unknown region")?;
            self.links.push(Link {
                lower_region: a.min(b),
                higher_region: a.max(b),
                latency_ms: link.latency_ms,
                capacity_bytes_per_s: link.capacity_mbit_per_s * 1_000_000.0 / 8.0,
            });
        }
        self.links.sort_by_key(|it| (it.lower_region, it.higher_region));
        for site in &declarations.sites {
            let zone = self.zones.id(&site.zone).context("site names an unknown zone")?;
            self.sites.insert(&site.name, Site { name: site.name.clone(), zone });
        }
        Ok(())
    }

    /// Adds client blocks; equal blocks share the vector of the previous snapshot.
    fn add_blocks(&mut self, declarations: &Declarations, previous: &Self) -> anyhow::Result<()> {
        let mut blocks = Vec::with_capacity(declarations.blocks.len());
        for block in &declarations.blocks {
            let site = self.sites.id(&block.site).context("block names an unknown site")?;
            blocks.push((block.cidr, site));
        }
        blocks.sort_unstable();
        let unchanged = *previous.blocks == blocks;
        self.blocks = if unchanged { Arc::clone(&previous.blocks) } else { Arc::new(blocks) };
        Ok(())
    }

    /// Adds a service with its routes, versions and instances.
    fn add_service(&mut self, declared: &ServiceDecl) -> anyhow::Result<()> {
        let mut service = Service {
            name: declared.name.clone(),
            routes: Vec::new(),
            versions: Vec::new(),
            active_version: VersionId(0),
        };
        let service_id = self.services.insert(&declared.name, service.clone());
        let mut routes: Vec<_> = declared.routes.iter().collect();
        routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        for route in routes {
            let name = format!("{}{}", declared.name, route.path_prefix);
            let route = Route {
                service: service_id,
                path_prefix: route.path_prefix.clone(),
                methods: route.methods.clone(),
                open: route.open,
                idempotent: route.idempotent,
                timeout_ms: route.timeout_ms,
            };
            service.routes.push(self.routes.insert(&name, route));
        }
        for version in &declared.versions {
            let name = format!("{}/{}", declared.name, version.name);
            let mut compiled_version =
                Version { name: version.name.clone(), service: service_id, instances: Vec::new() };
            let version_id = self.versions.insert(&name, compiled_version.clone());
            for instance in &version.instances {
                let site =
                    self.sites.id(&instance.site).context("instance names an unknown site")?;
                let zone = self.sites[site].zone;
                let compiled_instance = Instance {
                    name: instance.name.clone(),
                    service: service_id,
                    version: version_id,
                    site,
                    zone,
                    region: self.zones[zone].region,
                    address: instance.address,
                    slots: instance.slots,
                    connections: instance.connections,
                    draining: false,
                };
                compiled_version
                    .instances
                    .push(self.instances.insert(&instance.name, compiled_instance));
            }
            self.versions.insert(&name, compiled_version);
            service.versions.push(version_id);
        }
        let active_name = format!("{}/{}", declared.name, declared.active_version);
        service.active_version =
            self.versions.id(&active_name).context("service names an unknown active version")?;
        self.services.insert(&declared.name, service);
        Ok(())
    }

    /// Adds teams and keys.
    fn add_teams(&mut self, declarations: &Declarations) -> anyhow::Result<()> {
        for team in &declarations.teams {
            let value = Team {
                name: team.name.clone(),
                rate_per_s: team.rate_per_s,
                burst: team.burst,
                when_isolated: team.when_isolated,
            };
            self.teams.insert(&team.name, value);
        }
        for key in &declarations.keys {
            let team = self.teams.id(&key.team).context("key names an unknown tenant")?;
            self.keys.push(StoredKey { id: key.id.clone(), team, hash: key.sha256 });
        }
        self.keys.sort_by(|a, b| a.id.cmp(&b.id));
        Ok(())
    }

    /// Adds presets with their shifts and limits.
    fn add_presets(&mut self, declarations: &Declarations) -> anyhow::Result<()> {
        for declared in &declarations.presets {
            let mut preset = Preset {
                name: declared.name.clone(),
                shifts: Vec::new(),
                drains: declared.drains.clone(),
                region_limits: Vec::new(),
            };
            for shift in &declared.shifts {
                let value = Shift {
                    name: shift.name.clone(),
                    service: self
                        .services
                        .id(&shift.service)
                        .context("shift names an unknown service")?,
                    from: self
                        .regions
                        .id(&shift.from_region)
                        .context("shift names an unknown region")?,
                    to: self
                        .regions
                        .id(&shift.to_region)
                        .context("shift names an unknown region")?,
                    share: shift.share_percent / 100.0,
                    cap_per_s: shift.cap_per_s,
                    burst: shift.burst,
                };
                preset.shifts.push(self.shifts.insert(&shift.name, value));
            }
            for limit in &declared.region_limits {
                preset.region_limits.push(RegionLimit {
                    service: self
                        .services
                        .id(&limit.service)
                        .context("region limit names an unknown service")?,
                    region: self
                        .regions
                        .id(&limit.region)
                        .context("region limit names an unknown region")?,
                    max_in_flight: limit.max_in_flight,
                });
            }
            self.presets.insert(&declared.name, preset);
        }
        Ok(())
    }

    /// Activates a preset and marks the instances that it drains.
    fn activate(&mut self, name: &str) -> anyhow::Result<()> {
        let preset = self
            .presets
            .id(name)
            .with_context(|| format!("active preset `{name}` is not declared"))?;
        self.active_preset = Some(preset);
        let drains = self.presets[preset].drains.clone();
        let draining: Vec<InstanceId> = self
            .instances
            .iter()
            .filter(|(_, it)| drains.iter().any(|drain| self.covers(drain, it)))
            .map(|(id, _)| id)
            .collect();
        for id in draining {
            if let Some(instance) = self.instances.value_mut(id) {
                instance.draining = true;
            }
        }
        Ok(())
    }

    /// Returns whether a drain covers an instance. A drain of a host covers none.
    fn covers(&self, drain: &DrainDecl, instance: &Instance) -> bool {
        use crate::declare::DrainTarget;
        match drain.target {
            DrainTarget::Region => self.regions[instance.region].name == drain.name,
            DrainTarget::Zone => self.zones[instance.zone].name == drain.name,
            DrainTarget::Site => self.sites[instance.site].name == drain.name,
            DrainTarget::Instance => instance.name == drain.name,
            DrainTarget::Host => false,
        }
    }
}

impl Route {
    /// Returns whether the route covers a request's method and path; methods ignore case.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty()
            || self.methods.iter().any(|it| it.eq_ignore_ascii_case(method));
        method_matches && has_path_prefix(path, &self.path_prefix)
    }
}

/// Returns whether `path` starts with `prefix` and the prefix ends at a segment's end.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/') || rest.starts_with('?')
}
