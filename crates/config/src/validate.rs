//! Validation of declarations before a version is accepted; one pass finds every error.

use std::fmt;

use crate::declare::{Declarations, DrainTarget};

/// Maximum rate, and maximum burst in requests; catches values in the wrong unit.
const MAX_RATE_PER_S: f64 = 10_000_000.0;

/// Maximum request timeout, one day; catches values in a smaller unit than milliseconds.
const MAX_TIMEOUT_MS: u64 = 86_400_000;

/// An error in declarations, with the entry that contains it and a hint to correct it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ValidationError {
    /// Path of the entry in the declarations, such as `teams.acme`.
    pub place: String,
    /// Description of the error, to be read after the path.
    pub problem: String,
    /// Suggested correction.
    pub hint: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (hint: {})", self.place, self.problem, self.hint)
    }
}

/// Returns every error in the declarations, in the order of the checks; empty when valid.
pub fn validate(declarations: &Declarations) -> Vec<ValidationError> {
    let mut validator = Validator { declarations, errors: Vec::new() };
    validator.validate_regions();
    validator.validate_sites_and_blocks();
    validator.validate_services();
    validator.validate_teams_and_keys();
    validator.validate_presets();
    validator.errors
}

struct Validator<'a> {
    declarations: &'a Declarations,
    errors: Vec<ValidationError>,
}

impl Validator<'_> {
    /// Validates regions, zones and links.
    fn validate_regions(&mut self) {
        let regions = &self.declarations.regions;
        self.require_unique("regions", regions.iter().map(|it| &it.name));
        self.require_unique("zones", regions.iter().flat_map(|it| &it.zones));
        if regions.is_empty() {
            self.report(
                "regions",
                "no region is declared",
                "declare at least one region with a zone",
            );
        }
        for region in regions {
            if region.zones.is_empty() {
                let place = format!("regions.{}", region.name);
                self.report(&place, "has no zone", "declare at least one availability zone");
            }
        }
        for link in &self.declarations.links {
            let place = format!("links.{}-{}", link.between[0], link.between[1]);
            for region in &link.between {
                self.require_region(&place, region);
            }
            self.require_in_range(&place, "latency_ms", link.latency_ms, 0.0, 10_000.0);
            self.require_in_range(
                &place,
                "capacity_mbit_per_s",
                link.capacity_mbit_per_s,
                0.001,
                10_000_000.0,
            );
        }
    }

    /// Validates sites and client blocks.
    fn validate_sites_and_blocks(&mut self) {
        let sites = &self.declarations.sites;
        self.require_unique("sites", sites.iter().map(|it| &it.name));
        for site in sites {
            self.require_zone(&format!("sites.{}", site.name), &site.zone);
        }
        let mut blocks: Vec<_> = self.declarations.blocks.iter().collect();
        blocks.sort_by_key(|a| a.cidr);
        for pair in blocks.windows(2) {
            if pair[0].cidr == pair[1].cidr {
                let place = format!("blocks.{}", pair[1].cidr);
                self.report(&place, "is declared twice", "keep one declaration of the block");
            }
        }
        let mut site_names: Vec<&str> = sites.iter().map(|it| it.name.as_str()).collect();
        site_names.sort_unstable();
        for block in blocks {
            let place = format!("blocks.{}", block.cidr);
            if site_names.binary_search(&block.site.as_str()).is_err() {
                let problem = format!("names the unknown site `{}`", block.site);
                self.report(&place, &problem, "declare the site or correct the name");
            }
            if block.cidr.trunc() != block.cidr {
                let hint = format!("write {}", block.cidr.trunc());
                self.report(&place, "has bits set behind its prefix length", &hint);
            }
        }
    }

    /// Validates services, routes, versions and instances.
    fn validate_services(&mut self) {
        let services = &self.declarations.services;
        self.require_unique("services", services.iter().map(|it| &it.name));
        let instances =
            services.iter().flat_map(|it| &it.versions).flat_map(|it| it.instances.iter());
        self.require_unique("instances", instances.map(|it| &it.name));
        for service in services {
            let place = format!("services.{}", service.name);
            let is_allowed = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
            // Names such as `v1` are reserved for the paths of the host's own API, such as
            // `/v1/lookup`.
            if !service.name.chars().all(is_allowed)
                || service.name.starts_with('v') && service.name.len() == 2
            {
                let problem = "name cannot be the first segment of a path";
                self.report(&place, problem, "use letters, digits, `-`, `_` and `.`, and not `v1`");
            }
            self.require_unique(
                &format!("{place}.versions"),
                service.versions.iter().map(|it| &it.name),
            );
            self.require_unique(
                &format!("{place}.routes"),
                service.routes.iter().map(|it| &it.path_prefix),
            );
            if service.routes.is_empty() {
                self.report(&place, "has no route", "declare at least one route, `/` matches all");
            }
            if !service.versions.iter().any(|it| it.name == service.active_version) {
                let problem =
                    format!("active version `{}` is not declared", service.active_version);
                self.report(&place, &problem, "declare the version or correct `active_version`");
            }
            for route in &service.routes {
                let place = format!("{place}.routes.{}", route.path_prefix);
                if !route.path_prefix.starts_with('/') {
                    self.report(&place, "prefix does not start with `/`", "start it with `/`");
                }
                self.require_in_range(
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
                    self.report(&place, &problem, "declare the site or correct the name");
                }
                self.require_in_range(&place, "slots", f64::from(instance.slots), 1.0, 100_000.0);
                self.require_in_range(
                    &place,
                    "connections",
                    f64::from(instance.connections),
                    1.0,
                    1_000_000.0,
                );
            }
        }
    }

    /// Validates teams and keys.
    fn validate_teams_and_keys(&mut self) {
        let teams = &self.declarations.teams;
        self.require_unique("tenants", teams.iter().map(|it| &it.name));
        for team in teams {
            let place = format!("tenants.{}", team.name);
            self.require_in_range(&place, "rate_per_s", team.rate_per_s, 0.001, MAX_RATE_PER_S);
            self.require_in_range(&place, "burst", team.burst, 1.0, MAX_RATE_PER_S);
        }
        self.require_unique("keys", self.declarations.keys.iter().map(|it| &it.id));
        for key in &self.declarations.keys {
            if !teams.iter().any(|it| it.name == key.team) {
                let problem = format!("belongs to the unknown team `{}`", key.team);
                let hint = "keep the team, or revoke its keys before removing it";
                self.report(&format!("keys.{}", key.id), &problem, hint);
            }
        }
    }

    /// Validates presets with their shifts, drains and limits.
    fn validate_presets(&mut self) {
        let presets = &self.declarations.presets;
        self.require_unique("presets", presets.iter().map(|it| &it.name));
        self.require_unique("shifts", presets.iter().flat_map(|it| &it.shifts).map(|it| &it.name));
        if presets.is_empty() {
            self.report("presets", "no preset is declared", "declare at least one preset");
        }
        if let Some(initial) = &self.declarations.initial_preset
            && !presets.iter().any(|it| it.name == *initial)
        {
            let problem = format!("names the unknown preset `{initial}`");
            self.report("initial_preset", &problem, "declare the preset or correct the name");
        }
        for preset in presets {
            for shift in &preset.shifts {
                let place = format!("presets.{}.shifts.{}", preset.name, shift.name);
                self.require_service(&place, &shift.service);
                self.require_region(&place, &shift.from_region);
                self.require_region(&place, &shift.to_region);
                self.require_in_range(&place, "share_percent", shift.share_percent, 0.0, 100.0);
                self.require_in_range(&place, "cap_per_s", shift.cap_per_s, 0.001, MAX_RATE_PER_S);
                self.require_in_range(&place, "burst", shift.burst, 1.0, MAX_RATE_PER_S);
                if shift.from_region == shift.to_region {
                    self.report(&place, "moves a region to itself", "name two different regions");
                }
            }
            for limit in &preset.region_limits {
                let place = format!(
                    "presets.{}.region_limits.{}-{}",
                    preset.name, limit.service, limit.region
                );
                self.require_service(&place, &limit.service);
                self.require_region(&place, &limit.region);
                let max_in_flight = f64::from(limit.max_in_flight);
                self.require_in_range(&place, "max_in_flight", max_in_flight, 1.0, 1_000_000.0);
            }
            for drain in &preset.drains {
                let place = format!("presets.{}.drains.{}", preset.name, drain.name);
                self.require_drain_target(&place, drain.target, &drain.name);
            }
        }
    }

    /// Reports a drain whose target is not declared. Hosts cannot be checked, since they are not
    /// part of the declarations.
    fn require_drain_target(&mut self, place: &str, target: DrainTarget, name: &str) {
        let services = &self.declarations.services;
        let is_declared = match target {
            DrainTarget::Region => return self.require_region(place, name),
            DrainTarget::Zone => return self.require_zone(place, name),
            DrainTarget::Site => self.declarations.sites.iter().any(|it| it.name == name),
            DrainTarget::Instance => services
                .iter()
                .flat_map(|it| &it.versions)
                .flat_map(|it| &it.instances)
                .any(|it| it.name == name),
            DrainTarget::Host => true,
        };
        if !is_declared {
            let problem = format!("names the unknown {target} `{name}`");
            self.report(place, &problem, "correct the name or remove the drain");
        }
    }

    /// Reports a region that is not declared.
    fn require_region(&mut self, place: &str, name: &str) {
        if !self.declarations.regions.iter().any(|it| it.name == name) {
            let problem = format!("names the unknown region `{name}`");
            self.report(place, &problem, "declare the region or correct the name");
        }
    }

    /// Reports a zone that is not declared.
    fn require_zone(&mut self, place: &str, name: &str) {
        if !self.declarations.regions.iter().flat_map(|it| &it.zones).any(|it| it == name) {
            let problem = format!("names the unknown zone `{name}`");
            self.report(place, &problem, "declare the zone in its region or correct the name");
        }
    }

    /// Reports a service that is not declared.
    fn require_service(&mut self, place: &str, name: &str) {
        if !self.declarations.services.iter().any(|it| it.name == name) {
            let problem = format!("names the unknown service `{name}`");
            self.report(place, &problem, "declare the service or correct the name");
        }
    }

    /// Reports names that are empty or occur more than once.
    fn require_unique<'n>(&mut self, place: &str, names: impl Iterator<Item = &'n String>) {
        let mut names: Vec<&String> = names.collect();
        names.sort_unstable();
        if names.first().is_some_and(|it| it.is_empty()) {
            self.report(place, "a name is empty", "give every entry a name");
        }
        for pair in names.windows(2) {
            if pair[0] == pair[1] {
                let place = format!("{place}.{}", pair[0]);
                self.report(&place, "is declared twice", "keep one declaration of the name");
            }
        }
    }

    /// Reports a number outside the inclusive range; NaN is outside every range.
    fn require_in_range(&mut self, place: &str, field: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            let problem = format!("`{field}` is {value}");
            let hint = format!("use a number from {min} to {max}");
            self.report(place, &problem, &hint);
        }
    }

    fn report(&mut self, place: &str, problem: &str, hint: &str) {
        self.errors.push(ValidationError {
            place: place.to_owned(),
            problem: problem.to_owned(),
            hint: hint.to_owned(),
        });
    }
}
