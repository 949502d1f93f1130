//! The compiled configuration that decisions use.

use std::{net::SocketAddr, sync::Arc};

use anyhow::Context as _;
use ipnet::IpNet;

use crate::{
    arena::{
        Arena, InstanceId, PresetId, RegionId, RouteId, ServiceId, ShiftId, SiteId, TenantId,
        VersionId, ZoneId,
    },
    declare::{Declarations, DrainDecl, IsolationPolicy, ServiceDecl},
    key::{CallerKey, KeyHash},
};

/// Number of a configuration version, only ever raised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct ConfigVersion(
    /// The number; 0 before any version was accepted.
    pub u64,
);

/// A region.
#[derive(Debug, Clone)]
pub struct Region {
    /// Unique name.
    pub name: String,
    /// Its zones.
    pub zones: Vec<ZoneId>,
}

/// An availability zone.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Unique name.
    pub name: String,
    /// The region it belongs to.
    pub region: RegionId,
}

/// A group of upstream instances in one zone.
#[derive(Debug, Clone)]
pub struct Site {
    /// Unique name.
    pub name: String,
    /// The zone it stands in.
    pub zone: ZoneId,
}

/// The path between two regions.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// The lower region key.
    pub lower_region: RegionId,
    /// The higher region key.
    pub higher_region: RegionId,
    /// One-way latency.
    pub latency_ms: f64,
    /// Bandwidth in each direction.
    pub capacity_bytes_per_s: f64,
}

/// A service.
#[derive(Debug, Clone)]
pub struct Service {
    /// Unique name, the first segment of the path.
    pub name: String,
    /// Routes, the longest prefix first.
    pub routes: Vec<RouteId>,
    /// Versions that may run side by side.
    pub versions: Vec<VersionId>,
    /// The version that takes all traffic while no rollout runs.
    pub active_version: VersionId,
}

/// Properties of requests below a path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// The service.
    pub service: ServiceId,
    /// Path prefix behind the service segment.
    pub path_prefix: String,
    /// Methods, all when empty.
    pub methods: Vec<String>,
    /// Whether requests need no key.
    pub open: bool,
    /// Whether a request may be repeated without harm.
    pub idempotent: bool,
    /// Longest time for a whole request.
    pub timeout_ms: u64,
}

/// One version of a service.
#[derive(Debug, Clone)]
pub struct Version {
    /// Name, unique inside the service.
    pub name: String,
    /// The service.
    pub service: ServiceId,
    /// Its instances.
    pub instances: Vec<InstanceId>,
}

/// One upstream instance.
#[derive(Debug, Clone)]
pub struct Instance {
    /// Unique name.
    pub name: String,
    /// The service.
    pub service: ServiceId,
    /// The version it runs.
    pub version: VersionId,
    /// The site it stands in.
    pub site: SiteId,
    /// The zone of the site.
    pub zone: ZoneId,
    /// The region of the zone.
    pub region: RegionId,
    /// IP address and port.
    pub address: SocketAddr,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Connections it holds at most.
    pub connections: u32,
    /// Whether the active preset drains it, its site, its zone or its region.
    pub draining: bool,
}

/// A tenant.
#[derive(Debug, Clone)]
pub struct Tenant {
    /// Unique name.
    pub name: String,
    /// Requests per second over the whole fleet.
    pub rate_per_s: f64,
    /// Requests that may come at once over the whole fleet.
    pub burst: f64,
    /// Whether an isolated host goes on serving its keys.
    pub when_isolated: IsolationPolicy,
}

/// A key's stored form.
#[derive(Debug, Clone)]
pub struct StoredKey {
    /// Public identifier.
    pub id: String,
    /// The tenant it belongs to.
    pub tenant: TenantId,
    /// Hash of the whole key.
    pub hash: KeyHash,
}

/// A named mode of operation.
#[derive(Debug, Clone)]
pub struct Preset {
    /// Unique name.
    pub name: String,
    /// Traffic moved between regions.
    pub shifts: Vec<ShiftId>,
    /// Parts that get no new work.
    pub drains: Vec<DrainDecl>,
    /// Concurrency limits.
    pub region_limits: Vec<RegionLimit>,
}

/// A limit on requests of a service in a region at the same time.
#[derive(Debug, Clone, Copy)]
pub struct RegionLimit {
    /// The service.
    pub service: ServiceId,
    /// The region.
    pub region: RegionId,
    /// Requests at the same time over all hosts.
    pub max_in_flight: u32,
}

/// A share of a service's traffic moved between regions, below a cap.
#[derive(Debug, Clone)]
pub struct Shift {
    /// Unique name.
    pub name: String,
    /// The service.
    pub service: ServiceId,
    /// Region whose callers are moved.
    pub from: RegionId,
    /// Region that serves them.
    pub to: RegionId,
    /// Wanted share of the traffic, 0 to 1.
    pub share: f64,
    /// Cap over all hosts.
    pub cap_per_s: f64,
    /// Requests that may exceed the cap's rate at once.
    pub burst: f64,
}

/// One configuration version, immutable after it is compiled.
#[derive(Debug, Clone, Default)]
pub struct Snapshot {
    /// The version number.
    pub version: ConfigVersion,
    /// Revision of the declarations in version control.
    pub source_revision: String,
    /// Regions.
    pub regions: Arena<RegionId, Region>,
    /// Zones.
    pub zones: Arena<ZoneId, Zone>,
    /// Sites.
    pub sites: Arena<SiteId, Site>,
    /// Services.
    pub services: Arena<ServiceId, Service>,
    /// Routes, named `service` and prefix.
    pub routes: Arena<RouteId, Route>,
    /// Versions, named `service/version`.
    pub versions: Arena<VersionId, Version>,
    /// Instances.
    pub instances: Arena<InstanceId, Instance>,
    /// Tenants.
    pub tenants: Arena<TenantId, Tenant>,
    /// Presets.
    pub presets: Arena<PresetId, Preset>,
    /// Shifts of all presets.
    pub shifts: Arena<ShiftId, Shift>,
    /// The active preset, `None` only in the empty snapshot.
    pub active_preset: Option<PresetId>,
    /// Links sorted by their two regions.
    pub links: Vec<Link>,
    /// Keys sorted by identifier.
    pub keys: Vec<StoredKey>,
    /// Client blocks sorted by network, shared with the previous snapshot when unchanged.
    pub blocks: Arc<Vec<(IpNet, SiteId)>>,
}

impl Snapshot {
    /// Compiles checked declarations; names known to `previous` keep their keys.
    pub fn compile(
        declarations: &Declarations,
        version: ConfigVersion,
        active_preset: &str,
        source_revision: &str,
        previous: Option<&Self>,
    ) -> anyhow::Result<Self> {
        let empty = Self::default();
        let previous = previous.unwrap_or(&empty);
        let mut res = Self {
            version,
            source_revision: source_revision.to_owned(),
            regions: Arena::with_ids_of(&previous.regions),
            zones: Arena::with_ids_of(&previous.zones),
            sites: Arena::with_ids_of(&previous.sites),
            services: Arena::with_ids_of(&previous.services),
            routes: Arena::with_ids_of(&previous.routes),
            versions: Arena::with_ids_of(&previous.versions),
            instances: Arena::with_ids_of(&previous.instances),
            tenants: Arena::with_ids_of(&previous.tenants),
            presets: Arena::with_ids_of(&previous.presets),
            shifts: Arena::with_ids_of(&previous.shifts),
            ..Self::default()
        };
        res.add_topology(declarations)?;
        res.add_blocks(declarations, previous)?;
        for service in &declarations.services {
            res.add_service(service)?;
        }
        res.add_tenants(declarations)?;
        res.add_presets(declarations)?;
        res.activate(active_preset)?;
        Ok(res)
    }

    /// The tenant that a shown key belongs to, `None` when it is unknown, revoked or wrong.
    pub fn authenticate(&self, key: &CallerKey) -> Option<TenantId> {
        let at = self.keys.binary_search_by(|it| it.id.as_str().cmp(key.id())).ok()?;
        let stored = &self.keys[at];
        stored.hash.matches(&key.hash()).then_some(stored.tenant)
    }

    /// The route of a request, by the longest matching prefix.
    pub fn route(&self, service: ServiceId, method: &str, path: &str) -> Option<RouteId> {
        let routes = &self.services.value(service)?.routes;
        routes.iter().copied().find(|it| self.routes[*it].matches(method, path))
    }

    /// The path between two regions, `None` inside one region or when none is declared.
    pub fn link(&self, a: RegionId, b: RegionId) -> Option<&Link> {
        let key = (a.min(b), a.max(b));
        let at =
            self.links.binary_search_by(|it| (it.lower_region, it.higher_region).cmp(&key)).ok()?;
        Some(&self.links[at])
    }

    /// The region of a zone.
    pub fn region_of(&self, zone: ZoneId) -> RegionId {
        self.zones[zone].region
    }

    /// The active preset, `None` only in the empty snapshot.
    pub fn preset(&self) -> Option<&Preset> {
        self.active_preset.and_then(|it| self.presets.value(it))
    }

    /// Shifts of the active preset.
    pub fn active_shifts(&self) -> impl Iterator<Item = (ShiftId, &Shift)> {
        let shifts = self.preset().map(|it| it.shifts.as_slice()).unwrap_or_default();
        shifts.iter().map(|it| (*it, &self.shifts[*it]))
    }

    /// The active preset's limit on requests of a service that run in a region at the same time.
    pub fn region_limit(&self, service: ServiceId, region: RegionId) -> Option<u32> {
        let limits = &self.preset()?.region_limits;
        let limit = limits.iter().find(|it| it.service == service && it.region == region)?;
        Some(limit.max_in_flight)
    }

    /// Adds regions, zones, links and sites.
    fn add_topology(&mut self, declarations: &Declarations) -> anyhow::Result<()> {
        for region in &declarations.regions {
            let id = self
                .regions
                .insert(&region.name, Region { name: region.name.clone(), zones: Vec::new() });
            let zones = region
                .zones
                .iter()
                .map(|name| self.zones.insert(name, Zone { name: name.clone(), region: id }));
            let zones = zones.collect();
            if let Some(it) = self.regions.value_mut(id) {
                it.zones = zones;
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

    /// Adds client blocks, shared with the previous snapshot when they are equal.
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
        let id = self.services.insert(&declared.name, service.clone());
        let mut routes: Vec<_> = declared.routes.iter().collect();
        routes.sort_by_key(|it| std::cmp::Reverse(it.path_prefix.len()));
        for route in routes {
            let name = format!("{}{}", declared.name, route.path_prefix);
            let route = Route {
                service: id,
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
            let mut value =
                Version { name: version.name.clone(), service: id, instances: Vec::new() };
            let key = self.versions.insert(&name, value.clone());
            for instance in &version.instances {
                let site = self.sites.id(&instance.site).context("unknown site of an instance")?;
                let zone = self.sites[site].zone;
                let compiled = Instance {
                    name: instance.name.clone(),
                    service: id,
                    version: key,
                    site,
                    zone,
                    region: self.zones[zone].region,
                    address: instance.address,
                    slots: instance.slots,
                    connections: instance.connections,
                    draining: false,
                };
                value.instances.push(self.instances.insert(&instance.name, compiled));
            }
            self.versions.insert(&name, value);
            service.versions.push(key);
        }
        let active = format!("{}/{}", declared.name, declared.active_version);
        service.active_version = self.versions.id(&active).context("unknown active version")?;
        self.services.insert(&declared.name, service);
        Ok(())
    }

    /// Adds tenants and keys.
    fn add_tenants(&mut self, declarations: &Declarations) -> anyhow::Result<()> {
        for tenant in &declarations.tenants {
            let value = Tenant {
                name: tenant.name.clone(),
                rate_per_s: tenant.rate_per_s,
                burst: tenant.burst,
                when_isolated: tenant.when_isolated,
            };
            self.tenants.insert(&tenant.name, value);
        }
        for key in &declarations.keys {
            let tenant = self.tenants.id(&key.tenant).context("key of an unknown tenant")?;
            self.keys.push(StoredKey { id: key.id.clone(), tenant, hash: key.sha256 });
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
                    service: self.services.id(&shift.service).context("unknown service")?,
                    from: self.regions.id(&shift.from_region).context("unknown region")?,
                    to: self.regions.id(&shift.to_region).context("unknown region")?,
                    share: shift.share_percent / 100.0,
                    cap_per_s: shift.cap_per_s,
                    burst: shift.burst,
                };
                preset.shifts.push(self.shifts.insert(&shift.name, value));
            }
            for limit in &declared.region_limits {
                preset.region_limits.push(RegionLimit {
                    service: self.services.id(&limit.service).context("unknown service")?,
                    region: self.regions.id(&limit.region).context("unknown region")?,
                    max_in_flight: limit.max_in_flight,
                });
            }
            self.presets.insert(&declared.name, preset);
        }
        Ok(())
    }

    /// Makes a preset the active one and marks what it drains.
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
            .filter(|(_, it)| drains.iter().any(|drain| self.drains(drain, it)))
            .map(|(id, _)| id)
            .collect();
        for id in draining {
            if let Some(it) = self.instances.value_mut(id) {
                it.draining = true;
            }
        }
        Ok(())
    }

    /// Whether a drain covers an instance.
    fn drains(&self, drain: &DrainDecl, instance: &Instance) -> bool {
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
    /// Whether a request belongs to the route.
    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches = self.methods.is_empty()
            || self.methods.iter().any(|it| it.eq_ignore_ascii_case(method));
        method_matches && has_path_prefix(path, &self.path_prefix)
    }
}

/// Whether `prefix` covers whole leading segments of `path`.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    prefix.ends_with('/') || rest.is_empty() || rest.starts_with('/') || rest.starts_with('?')
}
