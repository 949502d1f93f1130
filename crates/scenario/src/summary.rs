//! Result of a run, written as `summary.json`.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::{EnumIter, IntoEnumIterator as _, IntoStaticStr};

use crate::scenario::Bound;

/// Requirements whose violations are counted; their snake-case names are keys of `summary.json`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Requirement {
    /// A traffic shift never exceeds its cap.
    ShiftCap,
    /// No region holds more requests of a service than it has slots.
    RegionOverload,
    /// A request runs only for the team of its key.
    #[strum(serialize = "tenant_isolation")]
    TeamIsolation,
    /// A revoked key is refused within seconds.
    RevokedKey,
    /// No team exceeds its rate and burst.
    #[strum(serialize = "tenant_rate")]
    TeamRate,
    /// A faulty version gets a small fraction of the traffic, and none soon after its fault
    /// appears.
    BadVersion,
    /// A request that was answered with `not-run` has not run.
    NotRunTruth,
    /// A request that is not idempotent runs at most once.
    AtMostOnce,
    /// A drained upstream gets no new requests after a few seconds.
    DrainedUpstream,
    /// A graceful shutdown interrupts no request.
    GracefulShutdown,
    /// A configuration becomes active within seconds and never reverts to an older version.
    ConfigReverted,
}

/// Violations and figures of one run, for the system and for the baseline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// Name of the scenario's file without its extension.
    pub scenario: String,
    /// Random seed of the run.
    pub seed: u64,
    /// Number of violations of the system by requirement.
    pub violations: BTreeMap<String, u64>,
    /// Figures of the system by name.
    pub figures: BTreeMap<String, f64>,
    /// Violations and figures of the baseline policy under the same scenario and seed.
    pub baseline: Measurements,
}

/// Violations and figures of one policy.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Measurements {
    /// Number of violations by requirement.
    pub violations: BTreeMap<String, u64>,
    /// Figures by name.
    pub figures: BTreeMap<String, f64>,
}

impl Measurements {
    /// Creates measurements without figures, and with 0 violations of each requirement.
    pub fn new() -> Self {
        let violations = Requirement::iter().map(|it| (<&str>::from(it).to_owned(), 0));
        Self { violations: violations.collect(), figures: BTreeMap::new() }
    }

    /// Adds to the violations of a requirement.
    pub fn record_violations(&mut self, requirement: Requirement, count: u64) {
        *self.violations.entry(<&str>::from(requirement).to_owned()).or_default() += count;
    }

    /// Sets a figure, rounded to three decimal places.
    pub fn set_figure(&mut self, name: impl Into<String>, value: f64) {
        let rounded = (value * 1000.0).round() / 1000.0;
        self.figures.insert(name.into(), if rounded == 0.0 { 0.0 } else { rounded });
    }
}

impl Summary {
    /// Combines the measurements of the system and of the baseline.
    pub fn new(scenario: &str, seed: u64, system: Measurements, baseline: Measurements) -> Self {
        let Measurements { violations, figures } = system;
        Self { scenario: scenario.to_owned(), seed, violations, figures, baseline }
    }

    /// Serializes to JSON with a final newline; runs with the same results give the same text.
    pub fn to_json(&self) -> serde_json::Result<String> {
        Ok(serde_json::to_string_pretty(self)? + "\n")
    }

    /// Describes each violated requirement and each figure that is missing or out of bounds.
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
            let max_of_baseline = bound.max_of_baseline.map(|it| it * baseline);
            if let Some(max) = max_of_baseline.filter(|it| value > it) {
                res.push(format!(
                    "{} is {value}, more than {max}, the bound relative to the baseline",
                    bound.figure
                ));
            }
            if let Some(min) = bound.min.filter(|it| value < it) {
                res.push(format!("{} is {value}, less than {min}", bound.figure));
            }
        }
        res
    }
}
