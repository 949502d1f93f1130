//! `kingcupford-soak`: runs the real programs under random faults and checks the promises.

use std::{
    process::{ExitCode, id},
    sync::Arc,
    time::Duration,
};

use anyhow::Context as _;
use kingcupford_soak::{Plan, Verdict, clean, run, time_limit};
use kingcupford_telemetry::{LogSettings, init_logs};
use tokio::{
    runtime::Builder,
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, timeout},
};

/// Seeds that run at the same time where the command line names no number; each takes a part of a
/// core.
const DEFAULT_JOBS: usize = 2;

/// Time in which faults begin where the command line names none.
const DEFAULT_SECONDS: u64 = 12;

/// Hosts of one deployment where the command line names no number.
const DEFAULT_HOSTS: usize = 4;

/// Instances of one deployment where the command line names no number.
const DEFAULT_INSTANCES: usize = 8;

/// Callers of one deployment where the command line names no number.
const DEFAULT_CALLERS: usize = 16;

mod flags {
    //! The command line.

    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs deployments of real processes under random faults and checks the promises.
        cmd kingcupford-soak {
            /// Program of a host.
            required --node path: PathBuf
            /// First seed; a fresh one by default.
            optional --seed seed: u64
            /// Seeds to run, counted up from the first.
            optional --count count: u64
            /// Seeds that run at the same time.
            optional --jobs jobs: usize
            /// Time in which faults begin, in seconds.
            optional --seconds seconds: u64
            /// Hosts.
            optional --hosts hosts: usize
            /// Instances.
            optional --instances instances: usize
            /// Callers.
            optional --callers callers: usize
        }
    }
}

/// Runs the seeds; the exit code is 0 when every promise held.
fn main() -> anyhow::Result<ExitCode> {
    let flags = flags::KingcupfordSoak::from_env_or_exit();
    init_logs(&LogSettings { level: "warn".to_owned(), source: "soak".to_owned() })?;
    let runtime = Builder::new_multi_thread().enable_all().build()?;
    let broken = runtime.block_on(run_seeds(&flags))?;
    Ok(if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs all seeds; answers how many broke a promise.
async fn run_seeds(flags: &flags::KingcupfordSoak) -> anyhow::Result<usize> {
    let first = flags.seed.unwrap_or_else(|| u64::from(rand::random::<u32>()));
    let count = flags.count.unwrap_or(1);
    let jobs = Arc::new(Semaphore::new(flags.jobs.unwrap_or(DEFAULT_JOBS)));
    let parent = std::env::temp_dir().join(format!("kingcupford-soak-{}", id()));
    let program = flags.node.canonicalize();
    let program = program.with_context(|| format!("no program at {}", flags.node.display()))?;
    let mut tasks = JoinSet::new();
    for at in 0..count {
        let seed = first.wrapping_add(at);
        let plan = Plan {
            seed,
            length: Duration::from_secs(flags.seconds.unwrap_or(DEFAULT_SECONDS)),
            hosts: flags.hosts.unwrap_or(DEFAULT_HOSTS),
            instances: flags.instances.unwrap_or(DEFAULT_INSTANCES),
            callers: flags.callers.unwrap_or(DEFAULT_CALLERS),
            program: program.clone(),
            folder: parent.join(seed.to_string()),
            // Addresses of their own keep the seeds of this and other processes apart.
            network: [127, (10 + id() % 200) as u8, (at % 250) as u8],
        };
        let jobs = Arc::clone(&jobs);
        tasks.spawn(async move {
            let _job = jobs.acquire_owned().await;
            let began = Instant::now();
            let verdict = timeout(time_limit(plan.length), run(&plan)).await;
            let verdict = verdict.context("the seed did not end in time").and_then(|it| it);
            report(&plan, verdict, began.elapsed())
        });
    }
    let mut broken = 0;
    while let Some(it) = tasks.join_next().await {
        broken += usize::from(!it?);
    }
    println!("{count} seeds from {first}, {broken} with broken promises");
    Ok(broken)
}

/// Prints what came of a seed; answers whether every promise held.
fn report(plan: &Plan, verdict: anyhow::Result<Verdict>, took: Duration) -> bool {
    let seed = plan.seed;
    let took_s = took.as_secs();
    let verdict = match verdict {
        Ok(it) => it,
        Err(error) => {
            println!("seed {seed}: failed after {took_s} s: {error:#}; {}", folder(plan));
            return false;
        }
    };
    let count = verdict.violations.len();
    println!("seed {seed}: {count} violations in {took_s} s; {}", verdict.summary);
    if count == 0 {
        clean(&plan.folder);
        return true;
    }
    for it in verdict.violations.iter().take(20) {
        println!("  {}: {}", it.promise, it.seen);
    }
    for it in &verdict.events {
        println!("  at {:.2?} for {:.2?}: {:?}", it.at, it.lasts, it.fault);
    }
    println!("  {}", folder(plan));
    false
}

/// Where a run's logs are.
fn folder(plan: &Plan) -> String {
    format!("logs in {}", plan.folder.display())
}
