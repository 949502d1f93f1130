//! What a run reports as `summary.json`.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::{EnumIter, IntoEnumIterator as _, IntoStaticStr};

use crate::scenario::Bound;

/// Requirements whose violations a scenario counts, by their stable names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Requirement {
    /// A shift never exceeds its cap.
    ShiftCap,
    /// No region runs more requests than its slots.
    RegionOverload,
    /// Requests run only for the tenant of their key.
    TenantIsolation,
    /// A revoked key stops working within seconds.
    RevokedKey,
    /// No tenant gets more than its rate and burst.
    TenantRate,
    /// A bad version gets little traffic, and none soon after its fault shows.
    BadVersion,
    /// `not-run` is true.
    NotRunTruth,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A draining upstream gets no new work after a few seconds.
    DrainedUpstream,
    /// A planned stop cuts no request.
    GracefulShutdown,
    /// Configurations are active within seconds and never revert.
    ConfigReverted,
}

/// Result of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the scenario's file without its extension.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Violations by requirement.
    pub violations: BTreeMap<String, u64>,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
    /// The same for the baseline.
    pub baseline: Measurements,
}

/// Violations and figures of one side.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measurements {
    /// Violations by requirement.
    pub violations: BTreeMap<String, u64>,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
}

impl Measurements {
    /// A side without violations and figures.
    pub fn new() -> Self {
        let names = Requirement::iter().map(|it| (<&str>::from(it).to_owned(), 0));
        Self { violations: names.collect(), figures: BTreeMap::new() }
    }

    /// Counts violations of a requirement.
    pub fn record_violations(&mut self, requirement: Requirement, count: u64) {
        *self.violations.entry(<&str>::from(requirement).to_owned()).or_default() += count;
    }

    /// Sets a figure, rounded to three decimals.
    pub fn set_figure(&mut self, name: impl Into<String>, value: f64) {
        let rounded = (value * 1000.0).round() / 1000.0;
        self.figures.insert(name.into(), if rounded == 0.0 { 0.0 } else { rounded });
    }
}

impl Summary {
    /// Joins both sides of a run.
    pub fn new(scenario: &str, seed: u64, system: Measurements, baseline: Measurements) -> Self {
        let Measurements { violations, figures } = system;
        Self { scenario: scenario.to_owned(), seed, violations, figures, baseline }
    }

    /// JSON with a final newline; equal for equal runs.
    pub fn to_json(&self) -> serde_json::Result<String> {
        Ok(serde_json::to_string_pretty(self)? + "\n")
    }

    /// What does not hold: violations above 0 and figures out of their bounds.
    pub fn failures(&self, bounds: &[Bound]) -> Vec<String> {
        let violated = self.violations.iter().filter(|it| *it.1 > 0);
        let mut res: Vec<String> =
            violated.map(|(name, count)| format!("{name}: {count} violations")).collect();
        for bound in bounds {
            let Some(value) = self.figures.get(&bound.figure) else {
                res.push(format!("{}: not measured (hint: see `figures`)", bound.figure));
                continue;
            };
            if let Some(max) = bound.max.filter(|it| value > it) {
                res.push(format!("{} is {value}, more than {max}", bound.figure));
            }
            let baseline = self.baseline.figures.get(&bound.figure).copied().unwrap_or_default();
            let of_baseline = bound.max_of_baseline.map(|it| it * baseline);
            if let Some(max) = of_baseline.filter(|it| value > it) {
                res.push(format!("{} is {value}, more than {max} by the baseline", bound.figure));
            }
            if let Some(min) = bound.min.filter(|it| value < it) {
                res.push(format!("{} is {value}, less than {min}", bound.figure));
            }
        }
        res
    }
}
