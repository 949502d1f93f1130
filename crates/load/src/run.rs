//! Runs of a scenario under the system's policy and under the baseline.

use std::{path::Path, sync::Arc};

use anyhow::Context as _;
use kingcupford_config::Declarations;
use kingcupford_scenario::{Measurements, Plot, Scenario, Summary, render_report};

use crate::world::{PolicyKind, World};

/// Result of a scenario run.
#[derive(Debug)]
pub struct Report {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// Violations and figures of the system and of the baseline.
    pub summary: Summary,
    /// Plots of the run under the system's policy.
    pub plots: Vec<Plot>,
}

impl Report {
    /// Writes `summary.json` and `report.html` into a folder, which is created if missing.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        let context = || {
            format!(
                "cannot write the report to {} (hint: name a writable folder)",
                folder.display()
            )
        };
        std::fs::create_dir_all(folder).with_context(context)?;
        std::fs::write(folder.join("summary.json"), self.summary.to_json()?)
            .with_context(context)?;
        let page = render_report(&self.scenario, &self.summary, &self.plots);
        std::fs::write(folder.join("report.html"), page).with_context(context)
    }

    /// Describes the violated requirements and the figures that are out of bounds.
    pub fn failures(&self) -> Vec<String> {
        self.summary.failures(&self.scenario.bounds)
    }
}

/// Runs a scenario file with a random seed, by default the seed of the file.
pub fn run(path: &Path, seed: Option<u64>) -> anyhow::Result<Report> {
    let (scenario, declarations) = Scenario::load(path)?;
    let seed = seed.unwrap_or(scenario.seed);
    let name = path.file_stem().map_or("scenario".into(), |it| it.to_string_lossy());
    let shared = Arc::new(scenario.clone());
    let (system, plots) = run_with_policy(&shared, &declarations, seed, PolicyKind::System)?;
    let (baseline, _) = run_with_policy(&shared, &declarations, seed, PolicyKind::Baseline)?;
    let summary = Summary::new(&name, seed, system, baseline);
    Ok(Report { scenario, summary, plots })
}

/// Runs the scenario under one policy, in a runtime with a paused clock.
fn run_with_policy(
    scenario: &Arc<Scenario>,
    declarations: &Declarations,
    seed: u64,
    policy_kind: PolicyKind,
) -> anyhow::Result<(Measurements, Vec<Plot>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .context("runtime")?;
    runtime.block_on(async {
        let mut world = World::new(Arc::clone(scenario), declarations, seed, policy_kind)?;
        world.run().await;
        let plots = if policy_kind == PolicyKind::System { world.plots() } else { Vec::new() };
        Ok((world.evaluate(), plots))
    })
}
