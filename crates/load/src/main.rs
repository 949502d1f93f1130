//! `kingcupford-load`: runs scenarios and writes their summaries and reports.

use std::{path::Path, process::ExitCode};

mod flags {
    #![allow(missing_docs, unreachable_pub)]
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs scenarios over simulated hosts with the real policy.
        cmd kingcupford-load {
            /// Runs one scenario.
            cmd run {
                /// The scenario file.
                required scenario: PathBuf
                /// Seed; the one in the scenario when absent.
                optional --seed seed: u64
                /// Folder for `summary.json` and `report.html`.
                required --report folder: PathBuf
            }
        }
    }
}

/// Exit code when a violation was counted or a bound does not hold.
const EXIT_FAILED: u8 = 1;

/// Exit code when the scenario could not be read or run.
const EXIT_UNUSABLE: u8 = 2;

fn main() -> ExitCode {
    let flags = match flags::KingcupfordLoad::from_env() {
        Ok(it) => it,
        Err(error) if error.is_help() => {
            println!("{error}");
            return ExitCode::SUCCESS;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_UNUSABLE);
        }
    };
    let flags::KingcupfordLoadCmd::Run(run) = flags.subcommand;
    match run_one(&run.scenario, run.seed, &run.report) {
        Ok(failures) if failures.is_empty() => ExitCode::SUCCESS,
        Ok(failures) => {
            failures.iter().for_each(|it| eprintln!("{it}"));
            ExitCode::from(EXIT_FAILED)
        }
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::from(EXIT_UNUSABLE)
        }
    }
}

/// Runs a scenario, writes its report and returns the violated requirements and bounds.
fn run_one(scenario: &Path, seed: Option<u64>, folder: &Path) -> anyhow::Result<Vec<String>> {
    let report = kingcupford_load::run(scenario, seed)?;
    report.write(folder)?;
    Ok(report.failures())
}
