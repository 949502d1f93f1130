//! Checks of declarations before a version is accepted; every fault is found in one pass.

use std::fmt;

use crate::declare::{Declarations, DrainTarget};

/// Highest rate or burst that a declaration may have, which catches a slipped unit.
const MAX_RATE_PER_S: f64 = 10_000_000.0;

/// Longest time for a request, one day, which catches seconds given as milliseconds.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// One fault in declarations, with its place and what to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// The place, as a path through the declarations.
    pub place: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub hint: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (hint: {})", self.place, self.problem, self.hint)
    }
}

/// Answers every fault in the declarations, none when they can be accepted.
pub fn validate(declarations: &Declarations) -> Vec<ValidationError> {
    let mut checker = Checker { declarations, faults: Vec::new() };
    checker.regions();
    checker.sites_and_blocks();
    checker.services();
    checker.tenants_and_keys();
    checker.presets();
    checker.faults
}

/// Collects faults while it walks through declarations.
struct Checker<'a> {
    /// What is checked.
    declarations: &'a Declarations,
    /// The faults so far.
    faults: Vec<ValidationError>,
}

impl Checker<'_> {
    /// Checks regions, zones and links.
    fn regions(&mut self) {
        let regions = &self.declarations.regions;
        self.unique("regions", regions.iter().map(|it| &it.name));
        self.unique("zones", regions.iter().flat_map(|it| &it.zones));
        if regions.is_empty() {
            self.fault(
                "regions",
                "no region is declared",
                "declare at least one region with a zone",
            );
        }
        for region in regions {
            if region.zones.is_empty() {
                let place = format!("regions.{}", region.name);
                self.fault(&place, "has no zone", "declare at least one availability zone");
            }
        }
        for link in &self.declarations.links {
            let place = format!("links.{}-{}", link.between[0], link.between[1]);
            for region in &link.between {
                self.known_region(&place, region);
            }
            self.range(&place, "latency_ms", link.latency_ms, 0.0, 10_000.0);
            self.range(
                &place,
                "capacity_mbit_per_s",
                link.capacity_mbit_per_s,
                0.001,
                10_000_000.0,
            );
        }
    }

    /// Checks sites and client blocks.
    fn sites_and_blocks(&mut self) {
        let sites = &self.declarations.sites;
        self.unique("sites", sites.iter().map(|it| &it.name));
        for site in sites {
            self.known_zone(&format!("sites.{}", site.name), &site.zone);
        }
        let mut blocks: Vec<_> = self.declarations.blocks.iter().collect();
        blocks.sort_by_key(|a| a.cidr);
        for pair in blocks.windows(2) {
            if pair[0].cidr == pair[1].cidr {
                let place = format!("blocks.{}", pair[1].cidr);
                self.fault(&place, "is declared twice", "keep one declaration of the block");
            }
        }
        let mut names: Vec<&str> = sites.iter().map(|it| it.name.as_str()).collect();
        names.sort_unstable();
        for block in blocks {
            let place = format!("blocks.{}", block.cidr);
            if names.binary_search(&block.site.as_str()).is_err() {
                let problem = format!("names the unknown site `{}`", block.site);
                self.fault(&place, &problem, "declare the site or correct the name");
            }
            if block.cidr.trunc() != block.cidr {
                let hint = format!("write {}", block.cidr.trunc());
                self.fault(&place, "has bits set behind its prefix length", &hint);
            }
        }
    }

    /// Checks services, routes, versions and instances.
    fn services(&mut self) {
        let services = &self.declarations.services;
        self.unique("services", services.iter().map(|it| &it.name));
        let instances =
            services.iter().flat_map(|it| &it.versions).flat_map(|it| it.instances.iter());
        self.unique("instances", instances.map(|it| &it.name));
        for service in services {
            let place = format!("services.{}", service.name);
            let is_segment = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
            if !service.name.chars().all(is_segment)
                || service.name.starts_with('v') && service.name.len() == 2
            {
                let problem = "name cannot be the first segment of a path";
                self.fault(&place, problem, "use letters, digits, `-`, `_` and `.`, and not `v1`");
            }
            self.unique(&format!("{place}.versions"), service.versions.iter().map(|it| &it.name));
            self.unique(
                &format!("{place}.routes"),
                service.routes.iter().map(|it| &it.path_prefix),
            );
            if service.routes.is_empty() {
                self.fault(&place, "has no route", "declare at least one route, `/` matches all");
            }
            if !service.versions.iter().any(|it| it.name == service.active_version) {
                let problem =
                    format!("active version `{}` is not declared", service.active_version);
                self.fault(&place, &problem, "declare the version or correct `active_version`");
            }
            for route in &service.routes {
                let place = format!("{place}.routes.{}", route.path_prefix);
                if !route.path_prefix.starts_with('/') {
                    self.fault(&place, "prefix does not start with `/`", "start it with `/`");
                }
                self.range(
                    &place,
                    "timeout_ms",
                    route.timeout_ms as f64,
                    1.0,
                    MAX_TIMEOUT_MS as f64,
                );
            }
            for instance in service.versions.iter().flat_map(|it| &it.instances) {
                let place = format!("{place}.instances.{}", instance.name);
                if !self.declarations.sites.iter().any(|it| it.name == instance.site) {
                    let problem = format!("names the unknown site `{}`", instance.site);
                    self.fault(&place, &problem, "declare the site or correct the name");
                }
                self.range(&place, "slots", f64::from(instance.slots), 1.0, 100_000.0);
                self.range(
                    &place,
                    "connections",
                    f64::from(instance.connections),
                    1.0,
                    1_000_000.0,
                );
            }
        }
    }

    /// Checks tenants and keys.
    fn tenants_and_keys(&mut self) {
        let tenants = &self.declarations.tenants;
        self.unique("tenants", tenants.iter().map(|it| &it.name));
        for tenant in tenants {
            let place = format!("tenants.{}", tenant.name);
            self.range(&place, "rate_per_s", tenant.rate_per_s, 0.001, MAX_RATE_PER_S);
            self.range(&place, "burst", tenant.burst, 1.0, MAX_RATE_PER_S);
        }
        self.unique("keys", self.declarations.keys.iter().map(|it| &it.id));
        for key in &self.declarations.keys {
            if !tenants.iter().any(|it| it.name == key.tenant) {
                let problem = format!("belongs to the unknown tenant `{}`", key.tenant);
                let hint = "keep the tenant, or revoke its keys before removing it";
                self.fault(&format!("keys.{}", key.id), &problem, hint);
            }
        }
    }

    /// Checks presets with their shifts, drains and limits.
    fn presets(&mut self) {
        let presets = &self.declarations.presets;
        self.unique("presets", presets.iter().map(|it| &it.name));
        self.unique("shifts", presets.iter().flat_map(|it| &it.shifts).map(|it| &it.name));
        if presets.is_empty() {
            self.fault("presets", "no preset is declared", "declare at least one preset");
        }
        if let Some(initial) = &self.declarations.initial_preset
            && !presets.iter().any(|it| it.name == *initial)
        {
            let problem = format!("names the unknown preset `{initial}`");
            self.fault("initial_preset", &problem, "declare the preset or correct the name");
        }
        for preset in presets {
            for shift in &preset.shifts {
                let place = format!("presets.{}.shifts.{}", preset.name, shift.name);
                self.known_service(&place, &shift.service);
                self.known_region(&place, &shift.from_region);
                self.known_region(&place, &shift.to_region);
                self.range(&place, "share_percent", shift.share_percent, 0.0, 100.0);
                self.range(&place, "cap_per_s", shift.cap_per_s, 0.001, MAX_RATE_PER_S);
                self.range(&place, "burst", shift.burst, 1.0, MAX_RATE_PER_S);
                if shift.from_region == shift.to_region {
                    self.fault(&place, "moves a region to itself", "name two different regions");
                }
            }
            for limit in &preset.region_limits {
                let place = format!(
                    "presets.{}.region_limits.{}-{}",
                    preset.name, limit.service, limit.region
                );
                self.known_service(&place, &limit.service);
                self.known_region(&place, &limit.region);
                let most = f64::from(limit.max_in_flight);
                self.range(&place, "max_in_flight", most, 1.0, 1_000_000.0);
            }
            for drain in &preset.drains {
                let place = format!("presets.{}.drains.{}", preset.name, drain.name);
                self.known_drain(&place, drain.target, &drain.name);
            }
        }
    }

    /// Checks that the part named by a drain exists; hosts are not declared and cannot be checked.
    fn known_drain(&mut self, place: &str, target: DrainTarget, name: &str) {
        let services = &self.declarations.services;
        let known = match target {
            DrainTarget::Region => return self.known_region(place, name),
            DrainTarget::Zone => return self.known_zone(place, name),
            DrainTarget::Site => self.declarations.sites.iter().any(|it| it.name == name),
            DrainTarget::Instance => services
                .iter()
                .flat_map(|it| &it.versions)
                .flat_map(|it| &it.instances)
                .any(|it| it.name == name),
            DrainTarget::Host => true,
        };
        if !known {
            let problem = format!("names the unknown {target} `{name}`");
            self.fault(place, &problem, "correct the name or remove the drain");
        }
    }

    /// Checks that a region exists.
    fn known_region(&mut self, place: &str, name: &str) {
        if !self.declarations.regions.iter().any(|it| it.name == name) {
            let problem = format!("names the unknown region `{name}`");
            self.fault(place, &problem, "declare the region or correct the name");
        }
    }

    /// Checks that a zone exists.
    fn known_zone(&mut self, place: &str, name: &str) {
        if !self.declarations.regions.iter().flat_map(|it| &it.zones).any(|it| it == name) {
            let problem = format!("names the unknown zone `{name}`");
            self.fault(place, &problem, "declare the zone in its region or correct the name");
        }
    }

    /// Checks that a service exists.
    fn known_service(&mut self, place: &str, name: &str) {
        if !self.declarations.services.iter().any(|it| it.name == name) {
            let problem = format!("names the unknown service `{name}`");
            self.fault(place, &problem, "declare the service or correct the name");
        }
    }

    /// Checks that names are not empty and occur once.
    fn unique<'n>(&mut self, place: &str, names: impl Iterator<Item = &'n String>) {
        let mut names: Vec<&String> = names.collect();
        names.sort_unstable();
        if names.first().is_some_and(|it| it.is_empty()) {
            self.fault(place, "a name is empty", "give every entry a name");
        }
        for pair in names.windows(2) {
            if pair[0] == pair[1] {
                let place = format!("{place}.{}", pair[0]);
                self.fault(&place, "is declared twice", "keep one declaration of the name");
            }
        }
    }

    /// Checks that a number lies in a range.
    fn range(&mut self, place: &str, field: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            let problem = format!("`{field}` is {value}");
            let hint = format!("use a number from {min} to {max}");
            self.fault(place, &problem, &hint);
        }
    }

    /// Records a fault.
    fn fault(&mut self, place: &str, problem: &str, hint: &str) {
        self.faults.push(ValidationError {
            place: place.to_owned(),
            problem: problem.to_owned(),
            hint: hint.to_owned(),
        });
    }
}
