//! Validation of a scenario against the declarations of its deployment.

use kingcupford_config::Declarations;

use crate::{fault::FaultKind, scenario::Scenario};

/// Place, problem and hint.
type Problem = (String, String, String);

impl Scenario {
    /// Checks that names are declared and numbers are in range.
    pub(crate) fn validate(&self, declarations: &Declarations) -> Result<(), Problem> {
        let names = NameChecker { declarations };
        require_in_range("duration_s", self.duration_s, 1.0, 3_600.0)?;
        require_in_range("warm_up_s", self.warm_up_s, 0.0, 600.0)?;
        require_in_range("entry_hosts", f64::from(self.entry_hosts), 1.0, 64.0)?;
        if let Some(zone) = &self.platform_zone {
            names.require_zone("platform_zone", zone)?;
        }
        for (index, demand) in self.demand.iter().enumerate() {
            let place = format!("demand[{index}]");
            names.require_service(&place, &demand.service)?;
            demand.teams.iter().try_for_each(|it| names.require_team(&place, it))?;
            demand.zones.iter().try_for_each(|it| names.require_zone(&place, &it.zone))?;
            for zone in &demand.zones {
                require_in_range(&format!("{place}.zones.weight"), zone.weight, 0.0, 1e6)?;
            }
            for (point_index, point) in demand.rate.iter().enumerate() {
                require_in_range(
                    &format!("{place}.rate[{point_index}].per_s"),
                    point.per_s,
                    0.0,
                    100_000.0,
                )?;
            }
            if !demand.rate.is_sorted_by(|a, b| a.at_s < b.at_s) {
                let problem = "times are not in ascending order".to_owned();
                return Err((
                    format!("{place}.rate"),
                    problem,
                    "sort the points by time".to_owned(),
                ));
            }
        }
        for model in &self.services {
            names.require_service("services", &model.service)?;
            require_in_range("services.service_time_ms", model.service_time_ms, 0.01, 600_000.0)?;
            require_in_range("services.spread", model.spread, 0.0, 3.0)?;
        }
        require_in_range("callers.resend_percent", self.callers.resend_percent, 0.0, 100.0)?;
        require_in_range(
            "callers.networks_per_zone",
            f64::from(self.callers.networks_per_zone),
            1.0,
            250.0,
        )?;
        for (index, fault) in self.faults.iter().enumerate() {
            let place = format!("faults[{index}]");
            require_in_range(&format!("{place}.at_s"), fault.at_s, 0.0, self.duration_s)?;
            if let Some(until) = fault.until_s {
                require_in_range(
                    &format!("{place}.until_s"),
                    until,
                    fault.at_s,
                    2.0 * self.duration_s,
                )?;
            }
            self.validate_fault(&place, &fault.what, &names)?;
        }
        for (index, bound) in self.bounds.iter().enumerate() {
            if bound.max.or(bound.min).or(bound.max_of_baseline).is_none() {
                let problem = format!("`{}` has no limit", bound.figure);
                let hint = "add `max`, `min` or `max_of_baseline`".to_owned();
                return Err((format!("bounds[{index}]"), problem, hint));
            }
        }
        Ok(())
    }

    /// Checks the names and numbers of one fault.
    fn validate_fault(
        &self,
        place: &str,
        kind: &FaultKind,
        names: &NameChecker<'_>,
    ) -> Result<(), Problem> {
        match kind {
            FaultKind::HostCrash { host } | FaultKind::HostPause { host } => {
                let known = (1..=self.entry_hosts).any(|it| *host == format!("entry-{it}"));
                let hint = format!("hosts are `entry-1` to `entry-{}`", self.entry_hosts);
                require_known(place, "host", host, known, &hint)
            }
            FaultKind::Partition { zones, from, .. } => {
                zones.iter().chain(from).try_for_each(|it| names.require_zone(place, it))
            }
            FaultKind::PlatformPartition { zones } => {
                zones.iter().try_for_each(|it| names.require_zone(place, it))
            }
            FaultKind::PlatformLostAnswers { percent } => {
                require_in_range(&format!("{place}.percent"), *percent, 0.0, 100.0)
            }
            FaultKind::RegionLoss { region } => names.require_region(place, region),
            FaultKind::InstanceCrash { instance }
            | FaultKind::InstanceSlow { instance, .. }
            | FaultKind::InstanceDrains { instance } => names.require_instance(place, instance),
            FaultKind::Poison { service, team, .. } => {
                names.require_service(place, service)?;
                names.require_team(place, team)
            }
            FaultKind::KeyRevoked { team } => names.require_team(place, team),
            FaultKind::Rollout { service, to, .. } => {
                names.require_service(place, service)?;
                names.require_version(place, service, to)
            }
            FaultKind::Preset { name } => {
                let known = names.declarations.presets.iter().any(|it| it.name == *name);
                require_known(place, "preset", name, known, "declare it in the deployment")
            }
            FaultKind::AllHosts
            | FaultKind::RollingReplacement { .. }
            | FaultKind::PlatformOutage
            | FaultKind::PlatformSlow { .. }
            | FaultKind::Drain { .. } => Ok(()),
        }
    }
}

/// Checks that names are declared.
struct NameChecker<'d> {
    declarations: &'d Declarations,
}

impl NameChecker<'_> {
    fn require_service(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.services.iter().any(|it| it.name == name);
        require_known(place, "service", name, known, "use a service of the deployment")
    }

    fn require_version(&self, place: &str, service: &str, name: &str) -> Result<(), Problem> {
        let service = self.declarations.services.iter().find(|it| it.name == service);
        let known = service.is_some_and(|it| it.versions.iter().any(|it| it.name == name));
        require_known(place, "version", name, known, "declare it with its instances")
    }

    fn require_team(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.teams.iter().any(|it| it.name == name);
        require_known(place, "tenant", name, known, "use a team of the deployment")
    }

    fn require_zone(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.regions.iter().any(|it| it.zones.iter().any(|it| it == name));
        require_known(place, "zone", name, known, "use a zone of the deployment")
    }

    fn require_region(&self, place: &str, name: &str) -> Result<(), Problem> {
        let known = self.declarations.regions.iter().any(|it| it.name == name);
        require_known(place, "region", name, known, "use a region of the deployment")
    }

    fn require_instance(&self, place: &str, name: &str) -> Result<(), Problem> {
        let versions = self.declarations.services.iter().flat_map(|it| &it.versions);
        let known = versions.flat_map(|it| &it.instances).any(|it| it.name == name);
        require_known(place, "instance", name, known, "use an instance of the deployment")
    }
}

fn require_known(
    place: &str,
    kind: &str,
    name: &str,
    known: bool,
    hint: &str,
) -> Result<(), Problem> {
    if known {
        return Ok(());
    }
    Err((place.to_owned(), format!("names the unknown {kind} `{name}`"), hint.to_owned()))
}

fn require_in_range(place: &str, value: f64, min: f64, max: f64) -> Result<(), Problem> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err((
        place.to_owned(),
        format!("is out of range: {value}"),
        format!("use a number from {min} to {max}"),
    ))
}
