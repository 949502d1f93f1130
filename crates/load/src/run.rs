//! Runs a scenario on both sides.

use std::{path::Path, sync::Arc};

use anyhow::Context as _;
use kingcupford_config::Declarations;
use kingcupford_scenario::{Measurements, Plot, Scenario, Summary, render_report};

use crate::world::{Side, World};

/// Result of a run.
#[derive(Debug)]
pub struct Report {
    /// The scenario that was run.
    pub scenario: Scenario,
    /// Violations and figures.
    pub summary: Summary,
    /// Plots of the system's side.
    pub plots: Vec<Plot>,
}

impl Report {
    /// Writes `summary.json` and `report.html` into a folder.
    pub fn write(&self, folder: &Path) -> anyhow::Result<()> {
        let place = || format!("{} (hint: name a folder that can be written)", folder.display());
        std::fs::create_dir_all(folder).with_context(place)?;
        std::fs::write(folder.join("summary.json"), self.summary.to_json()?).with_context(place)?;
        let page = render_report(&self.scenario, &self.summary, &self.plots);
        std::fs::write(folder.join("report.html"), page).with_context(place)
    }

    /// What does not hold.
    pub fn failures(&self) -> Vec<String> {
        self.summary.failures(&self.scenario.bounds)
    }
}

/// Runs a scenario file; the file's seed is used when none is given.
pub fn run(path: &Path, seed: Option<u64>) -> anyhow::Result<Report> {
    let (scenario, declarations) = Scenario::load(path)?;
    let seed = seed.unwrap_or(scenario.seed);
    let name = path.file_stem().map_or("scenario".into(), |it| it.to_string_lossy());
    let shared = Arc::new(scenario.clone());
    let (system, plots) = run_side(&shared, &declarations, seed, Side::System)?;
    let (baseline, _) = run_side(&shared, &declarations, seed, Side::Baseline)?;
    let summary = Summary::new(&name, seed, system, baseline);
    Ok(Report { scenario, summary, plots })
}

/// Runs one side under a paused clock of its own.
fn run_side(
    scenario: &Arc<Scenario>,
    declarations: &Declarations,
    seed: u64,
    side: Side,
) -> anyhow::Result<(Measurements, Vec<Plot>)> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .context("runtime")?;
    runtime.block_on(async {
        let mut world = World::new(Arc::clone(scenario), declarations, seed, side)?;
        world.run().await;
        let plots = if side == Side::System { world.plots() } else { Vec::new() };
        Ok((world.finish(), plots))
    })
}
