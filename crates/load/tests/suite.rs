//! Runs every scenario of `scenarios/` with its seed, and requires 0 violations and that all bounds
//! hold.
//!
//! Guards against faults of the policy that appear only when all of its parts interact.

use std::{fs, path::Path};

use libtest_mimic::{Arguments, Failed, Trial};

fn main() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = fs::read_dir(&folder).expect("the folder of scenarios exists");
    let paths = entries.filter_map(|it| Some(it.ok()?.path()));
    let mut trials: Vec<(String, Trial)> = paths
        .filter(|it| it.extension().is_some_and(|it| it == "yaml"))
        .map(|path| {
            let stem = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            let name = format!("{}::{stem}", topic(&path));
            (name.clone(), Trial::test(name, move || check(&path)))
        })
        .collect();
    trials.sort_by(|a, b| a.0.cmp(&b.0));
    let trials = trials.into_iter().map(|it| it.1).collect();
    libtest_mimic::run(&Arguments::from_args(), trials).exit();
}

/// Runs one scenario and fails with its violations and broken bounds.
fn check(path: &Path) -> Result<(), Failed> {
    let report = kingcupford_load::run(path, None).map_err(|error| format!("{error:#}"))?;
    let failures = report.failures();
    if failures.is_empty() {
        return Ok(());
    }
    Err(format!("seed {}:\n{}", report.summary.seed, failures.join("\n")).into())
}

/// Returns the topic that a scenario file declares, the prefix of its test name.
fn topic(path: &Path) -> String {
    let text = fs::read_to_string(path).unwrap_or_default();
    let line = text.lines().find_map(|it| it.strip_prefix("topic: "));
    line.unwrap_or("unreadable").trim().to_owned()
}
