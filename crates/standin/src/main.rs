//! Runs a stand-in as a process.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::Context as _;
use kingcupford_standin::{PlatformSettings, PlatformStandin, UpstreamSettings, UpstreamStandin};
use serde::de::DeserializeOwned;

mod flags {
    #![allow(missing_docs)]

    use super::{PathBuf, SocketAddr};

    xflags::xflags! {
        /// Stand-ins for the platform and for upstreams.
        cmd kingcupford-standin {
            /// Serves the platform's object API and host list.
            cmd platform {
                /// Address to listen on.
                required --listen listen: SocketAddr
                /// JSON file with settings.
                optional --settings file: PathBuf
                /// Reads, lists and watches per second.
                optional --reads-per-s rate: f64
                /// Writes, deletions and announcements per second.
                optional --writes-per-s rate: f64
                /// Lag of the host list.
                optional --host-lag-ms time: u64
                /// Time after its last announcement at which a host leaves the list.
                optional --host-expiry-ms time: u64
            }
            /// Serves as one upstream instance.
            cmd upstream {
                /// Address to listen on.
                required --listen listen: SocketAddr
                /// JSON file with settings.
                optional --settings file: PathBuf
                /// Name in responses.
                optional --name name: String
                /// Version in responses.
                optional --version version: String
                /// Seed of service times and failures.
                optional --seed seed: u64
                /// Requests that run at the same time.
                optional --slots count: usize
                /// Requests that wait for a slot.
                optional --queue count: usize
                /// Mean service time.
                optional --service-time-ms time: f64
                /// Standard deviation of the logarithm of the service time.
                optional --service-time-sigma sigma: f64
                /// Time after the start with a longer service time.
                optional --cold-ms time: u64
                /// Number of first requests with a longer service time.
                optional --cold-requests count: u64
                /// Factor of the service time while cold.
                optional --cold-factor factor: f64
                /// Time that opening each connection takes.
                optional --connection-cost-ms time: f64
                /// Connections held at most.
                optional --max-connections count: usize
                /// Speed at which one body is read; 0 is unlimited.
                optional --upload-bytes-per-s rate: u64
                /// Time between the start of a drain and the refusal of new work.
                optional --drain-grace-ms time: u64
            }
        }
    }
}

use flags::{KingcupfordStandin, KingcupfordStandinCmd};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let flags = KingcupfordStandin::from_env_or_exit();
    fern::Dispatch::new().level(log::LevelFilter::Info).chain(std::io::stderr()).apply()?;
    match flags.subcommand {
        KingcupfordStandinCmd::Platform(it) => platform(it).await,
        KingcupfordStandinCmd::Upstream(it) => upstream(it).await,
    }
}

/// Serves the platform until the process is stopped.
async fn platform(flags: flags::Platform) -> anyhow::Result<()> {
    let mut settings: PlatformSettings = settings(flags.settings)?;
    let limits = &mut settings.limits;
    set(&mut limits.reads_per_s, flags.reads_per_s);
    set(&mut limits.writes_per_s, flags.writes_per_s);
    set(&mut limits.host_lag_ms, flags.host_lag_ms);
    set(&mut limits.host_expiry_ms, flags.host_expiry_ms);
    let standin = PlatformStandin::bind(flags.listen, settings)
        .await
        .with_context(|| format!("cannot listen on {}", flags.listen))?;
    println!("listening on {}", standin.address());
    stop_signal().await?;
    standin.stop().await;
    Ok(())
}

/// Serves an upstream instance until the process is stopped.
async fn upstream(flags: flags::Upstream) -> anyhow::Result<()> {
    let mut settings: UpstreamSettings = settings(flags.settings)?;
    set(&mut settings.name, flags.name);
    set(&mut settings.version, flags.version);
    set(&mut settings.seed, flags.seed);
    set(&mut settings.slots, flags.slots);
    set(&mut settings.queue, flags.queue);
    set(&mut settings.service_time_ms, flags.service_time_ms);
    set(&mut settings.service_time_sigma, flags.service_time_sigma);
    set(&mut settings.cold_ms, flags.cold_ms);
    set(&mut settings.cold_requests, flags.cold_requests);
    set(&mut settings.cold_factor, flags.cold_factor);
    set(&mut settings.connection_cost_ms, flags.connection_cost_ms);
    set(&mut settings.max_connections, flags.max_connections);
    set(&mut settings.upload_bytes_per_s, flags.upload_bytes_per_s);
    set(&mut settings.drain_grace_ms, flags.drain_grace_ms);
    let standin = UpstreamStandin::bind(flags.listen, settings)
        .await
        .with_context(|| format!("cannot listen on {}", flags.listen))?;
    println!("listening on {}", standin.address());
    stop_signal().await?;
    standin.stop().await;
    Ok(())
}

/// Reads settings from a JSON file, or answers the defaults.
fn settings<T: DeserializeOwned + Default>(path: Option<PathBuf>) -> anyhow::Result<T> {
    let Some(path) = path else { return Ok(T::default()) };
    let text = std::fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("{} is no settings", path.display()))
}

/// Replaces a setting that was given.
fn set<T>(setting: &mut T, given: Option<T>) {
    if let Some(it) = given {
        *setting = it;
    }
}

/// Waits for an interrupt or a request to terminate.
async fn stop_signal() -> anyhow::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        it = tokio::signal::ctrl_c() => it?,
        _ = terminate.recv() => {}
    }
    Ok(())
}
