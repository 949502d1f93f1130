//! `kingcupford-soak`: runs the node program under random faults and checks the system's
//! guarantees.

use std::{
    process::{ExitCode, id},
    sync::Arc,
    time::Duration,
};

use anyhow::Context as _;
use kingcupford_soak::{RunConfig, RunReport, remove_run_dir, run_seed, time_limit};
use kingcupford_telemetry::{LogSettings, init_logs};
use tokio::{
    runtime::Builder,
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, timeout},
};

/// Seeds that run in parallel by default; each uses a fraction of a core.
const DEFAULT_PARALLEL_SEEDS: usize = 2;

/// Default length of the phase in which faults start.
const DEFAULT_FAULT_PHASE_S: u64 = 12;

const DEFAULT_HOSTS: usize = 4;

const DEFAULT_INSTANCES: usize = 8;

const DEFAULT_CALLERS: usize = 16;

mod flags {
    //! Command-line flags.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs deployments of real processes under random faults and checks the guarantees.
        cmd kingcupford-soak {
            /// Path of the node program.
            required --node path: PathBuf
            /// First seed; random by default.
            optional --seed seed: u64
            /// Number of consecutive seeds to run.
            optional --count count: u64
            /// Seeds that run in parallel.
            optional --jobs jobs: usize
            /// Length of the phase in which faults start, in seconds.
            optional --seconds seconds: u64
            /// Hosts per deployment.
            optional --hosts hosts: usize
            /// Instances per deployment.
            optional --instances instances: usize
            /// Callers per deployment.
            optional --callers callers: usize
            /// Schedules planned operations only, with stops of hosts in turn.
            optional --planned
        }
    }
}

/// Runs the seeds; the exit code is 0 if every run completed without a violation.
fn main() -> anyhow::Result<ExitCode> {
    let flags = flags::KingcupfordSoak::from_env_or_exit();
    init_logs(&LogSettings { level: "warn".to_owned(), source: "soak".to_owned() })?;
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let failed_seeds = runtime.block_on(run_seeds(&flags))?;
    Ok(if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs all seeds and returns how many had violations or did not complete.
async fn run_seeds(flags: &flags::KingcupfordSoak) -> anyhow::Result<usize> {
    let first_seed = flags.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let seed_count = flags.count.unwrap_or(1);
    let permits = Arc::new(Semaphore::new(flags.jobs.unwrap_or(DEFAULT_PARALLEL_SEEDS)));
    let parent_dir = std::env::temp_dir().join(format!("kingcupford-soak-{}", id()));
    let node_program = flags.node.canonicalize();
    let node_program =
        node_program.with_context(|| format!("no node program at {}", flags.node.display()))?;
    let mut tasks = JoinSet::new();
    for index in 0..seed_count {
        let seed = first_seed.wrapping_add(index);
        let config = RunConfig {
            seed,
            fault_phase: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_FAULT_PHASE_S)),
            hosts: flags.hosts.unwrap_or(DEFAULT_HOSTS),
            instances: flags.instances.unwrap_or(DEFAULT_INSTANCES),
            callers: flags.callers.unwrap_or(DEFAULT_CALLERS),
            planned_only: flags.planned,
            node_program: node_program.clone(),
            run_dir: parent_dir.join(seed.to_string()),
            // Separate loopback networks keep parallel seeds and soak processes apart.
            network_prefix: [127, (10 + id() % 200) as u8, (index % 250) as u8],
        };
        let permits = Arc::clone(&permits);
        tasks.spawn(async move {
            let _permit = permits.acquire_owned().await;
            let started_at = Instant::now();
            let report = timeout(time_limit(config.fault_phase), run_seed(&config)).await;
            let report = report.context("run exceeded its time limit").and_then(|it| it);
            print_report(&config, report, started_at.elapsed())
        });
    }
    let mut failed_seeds = 0;
    while let Some(passed) = tasks.join_next().await {
        failed_seeds += usize::from(!passed?);
    }
    println!("{seed_count} seeds from {first_seed}, {failed_seeds} with violations or errors");
    Ok(failed_seeds)
}

/// Prints the result of one seed; returns whether it completed without a violation.
fn print_report(config: &RunConfig, report: anyhow::Result<RunReport>, elapsed: Duration) -> bool {
    let seed = config.seed;
    let elapsed_s = elapsed.as_secs();
    let report = match report {
        Ok(it) => it,
        Err(error) => {
            println!("seed {seed}: failed after {elapsed_s} s: {error:#}; {}", log_hint(config));
            return false;
        }
    };
    let count = report.violations.len();
    println!("seed {seed}: {count} violations in {elapsed_s} s; {}", report.summary);
    if count == 0 {
        remove_run_dir(&config.run_dir);
        return true;
    }
    for it in report.violations.iter().take(20) {
        println!("  {}: {}", it.guarantee, it.observed);
    }
    for it in &report.faults {
        println!("  at {:.2?} for {:.2?}: {:?}", it.starts_after, it.duration, it.fault);
    }
    println!("  {}", log_hint(config));
    false
}

/// Message that tells where the logs of a run are.
fn log_hint(config: &RunConfig) -> String {
    format!("logs in {}", config.run_dir.display())
}
