//! Checks of a scenario against the declarations of its deployment.

use kingcupford_config::Declarations;

use crate::{fault::FaultKind, scenario::Scenario};

/// Place, problem and hint.
type Problem = (String, String, String);

impl Scenario {
    /// Checks names and numbers.
    pub(crate) fn check(&self, declarations: &Declarations) -> Result<(), Problem> {
        let names = Names { declarations };
        range("duration_s", self.duration_s, 1.0, 3_600.0)?;
        range("warm_up_s", self.warm_up_s, 0.0, 600.0)?;
        range("entry_hosts", f64::from(self.entry_hosts), 1.0, 64.0)?;
        if let Some(zone) = &self.platform_zone {
            names.zone("platform_zone", zone)?;
        }
        for (at, demand) in self.demand.iter().enumerate() {
            let place = format!("demand[{at}]");
            names.service(&place, &demand.service)?;
            demand.tenants.iter().try_for_each(|it| names.tenant(&place, it))?;
            demand.zones.iter().try_for_each(|it| names.zone(&place, &it.zone))?;
            for share in &demand.zones {
                range(&format!("{place}.zones.weight"), share.weight, 0.0, 1e6)?;
            }
            for (index, point) in demand.rate.iter().enumerate() {
                range(&format!("{place}.rate[{index}].per_s"), point.per_s, 0.0, 100_000.0)?;
            }
            if !demand.rate.is_sorted_by(|a, b| a.at_s < b.at_s) {
                let problem = "times do not rise".to_owned();
                return Err((format!("{place}.rate"), problem, "sort the points".to_owned()));
            }
        }
        for model in &self.services {
            names.service("services", &model.service)?;
            range("services.service_time_ms", model.service_time_ms, 0.01, 600_000.0)?;
            range("services.spread", model.spread, 0.0, 3.0)?;
        }
        range("callers.resend_percent", self.callers.resend_percent, 0.0, 100.0)?;
        range("callers.networks_per_zone", f64::from(self.callers.networks_per_zone), 1.0, 250.0)?;
        for (at, fault) in self.faults.iter().enumerate() {
            let place = format!("faults[{at}]");
            range(&format!("{place}.at_s"), fault.at_s, 0.0, self.duration_s)?;
            if let Some(until) = fault.until_s {
                range(&format!("{place}.until_s"), until, fault.at_s, 2.0 * self.duration_s)?;
            }
            self.check_fault(&place, &fault.what, &names)?;
        }
        for (at, bound) in self.bounds.iter().enumerate() {
            if bound.max.or(bound.min).or(bound.max_of_baseline).is_none() {
                let problem = format!("`{}` has no limit", bound.figure);
                let hint = "add `max`, `min` or `max_of_baseline`".to_owned();
                return Err((format!("bounds[{at}]"), problem, hint));
            }
        }
        Ok(())
    }

    /// Checks the names in one fault.
    fn check_fault(&self, place: &str, what: &FaultKind, names: &Names<'_>) -> Result<(), Problem> {
        match what {
            FaultKind::HostCrash { host } | FaultKind::HostPause { host } => {
                let known = (1..=self.entry_hosts).any(|it| *host == format!("entry-{it}"));
                let hint = format!("hosts are `entry-1` to `entry-{}`", self.entry_hosts);
                exists(place, "host", host, known, &hint)
            }
            FaultKind::Partition { zones, from, .. } => {
                zones.iter().chain(from).try_for_each(|it| names.zone(place, it))
            }
            FaultKind::PlatformPartition { zones } => {
                zones.iter().try_for_each(|it| names.zone(place, it))
            }
            FaultKind::PlatformLostAnswers { percent } => {
                range(&format!("{place}.percent"), *percent, 0.0, 100.0)
            }
            FaultKind::RegionLoss { region } => names.region(place, region),
            FaultKind::InstanceCrash { instance }
            | FaultKind::InstanceSlow { instance, .. }
            | FaultKind::InstanceDrains { instance } => names.instance(place, instance),
            FaultKind::Poison { service, tenant, .. } => {
                names.service(place, service)?;
                names.tenant(place, tenant)
            }
            FaultKind::KeyRevoked { tenant } => names.tenant(place, tenant),
            FaultKind::Rollout { service, to, .. } => {
                names.service(place, service)?;
                names.version(place, service, to)
            }
            FaultKind::Preset { name } => {
                let known = names.declarations.presets.iter().any(|it| it.name == *name);
                exists(place, "preset", name, known, "declare it in the deployment")
            }
            FaultKind::AllHosts
            | FaultKind::RollingReplacement { .. }
            | FaultKind::PlatformOutage
            | FaultKind::PlatformSlow { .. }
            | FaultKind::Drain { .. } => Ok(()),
        }
    }
}

/// Looks names up in declarations.
struct Names<'d> {
    /// The declarations.
    declarations: &'d Declarations,
}

impl Names<'_> {
    /// Checks that a service exists.
    fn service(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.services.iter().any(|it| it.name == name);
        exists(place, "service", name, known, "use a service of the deployment")
    }

    /// Checks that a version exists.
    fn version(&self, place: &str, service: &str, name: &str) -> Result<(), Problem> {
        let service = self.declarations.services.iter().find(|it| it.name == service);
        let known = service.is_some_and(|it| it.versions.iter().any(|it| it.name == name));
        exists(place, "version", name, known, "declare it with its instances")
    }

    /// Checks that a tenant exists.
    fn tenant(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.tenants.iter().any(|it| it.name == name);
        exists(place, "tenant", name, known, "use a tenant of the deployment")
    }

    /// Checks that a zone exists.
    fn zone(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.regions.iter().any(|it| it.zones.iter().any(|it| it == name));
        exists(place, "zone", name, known, "use a zone of the deployment")
    }

    /// Checks that a region exists.
    fn region(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.regions.iter().any(|it| it.name == name);
        exists(place, "region", name, known, "use a region of the deployment")
    }

    /// Checks that an instance exists.
    fn instance(&self, place: &str, name: &str) -> Result<(), Problem> {
        let versions = self.declarations.services.iter().flat_map(|it| &it.versions);
        let known = versions.flat_map(|it| &it.instances).any(|it| it.name == name);
        exists(place, "instance", name, known, "use an instance of the deployment")
    }
}

/// Reports a name that is not known.
fn exists(place: &str, what: &str, name: &str, known: bool, hint: &str) -> Result<(), Problem> {
    if known {
        return Ok(());
    }
    Err((place.to_owned(), format!("names the unknown {what} `{name}`"), hint.to_owned()))
}

/// Reports a number that is out of range.
fn range(place: &str, value: f64, min: f64, max: f64) -> Result<(), Problem> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err((place.to_owned(), format!("is {value}"), format!("use a number from {min} to {max}")))
}
