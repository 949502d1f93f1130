//! Runs a stand-in for the platform or for an upstream instance as a process.

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
            /// Serves the object API and the host list of the platform.
            cmd platform {
                /// Address to listen on.
                required --listen listen: SocketAddr
                /// JSON file with settings.
                optional --settings file: PathBuf
                /// Reads, lists and watches per second.
                optional --reads-per-s rate: f64
                /// Writes, deletions and announcements per second.
                optional --writes-per-s rate: f64
                /// Lag of the host list behind the announcements.
                optional --host-lag-ms time: u64
                /// Time after its last announcement until a host is removed from the list.
                optional --host-expiry-ms time: u64
            }
            /// Serves as one upstream instance.
            cmd upstream {
                /// Address to listen on.
                required --listen listen: SocketAddr
                /// JSON file with settings.
                optional --settings file: PathBuf
                /// Name of the instance in its responses.
                optional --name name: String
                /// Version of the service in responses.
                optional --version version: String
                /// Seed of the random service times and failures.
                optional --seed seed: u64
                /// Maximum number of requests that run at the same time.
                optional --slots count: usize
                /// Maximum number of requests that wait for a slot.
                optional --queue count: usize
                /// Mean service time of a warm instance without faults.
                optional --service-time-ms time: f64
                /// Standard deviation of the logarithm of the service time.
                optional --service-time-sigma sigma: f64
                /// Time after the start during which the instance is cold.
                optional --cold-ms time: u64
                /// Number of first requests during which the instance is cold.
                optional --cold-requests count: u64
                /// Factor of the service time on a cold instance.
                optional --cold-factor factor: f64
                /// Time that the instance takes to open each connection.
                optional --connection-cost-ms time: f64
                /// Maximum number of open connections.
                optional --max-connections count: usize
                /// Speed at which the body of one request is read; 0 is unlimited.
                optional --upload-bytes-per-s rate: u64
                /// Time from the start of a drain until new work is refused.
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
        KingcupfordStandinCmd::Platform(it) => serve_platform(it).await,
        KingcupfordStandinCmd::Upstream(it) => serve_upstream(it).await,
    }
}

/// Serves the platform until a signal stops the process.
async fn serve_platform(flags: flags::Platform) -> anyhow::Result<()> {
    let mut settings: PlatformSettings = read_settings(flags.settings)?;
    let limits = &mut settings.limits;
    override_setting(&mut limits.reads_per_s, flags.reads_per_s);
    override_setting(&mut limits.writes_per_s, flags.writes_per_s);
    override_setting(&mut limits.host_lag_ms, flags.host_lag_ms);
    override_setting(&mut limits.host_expiry_ms, flags.host_expiry_ms);
    let standin = PlatformStandin::bind(flags.listen, settings)
        .await
        .with_context(|| format!("cannot listen on {}", flags.listen))?;
    println!("listening on {}", standin.address());
    wait_for_stop_signal().await?;
    standin.stop().await;
    Ok(())
}

/// Serves an upstream instance until a signal stops the process.
async fn serve_upstream(flags: flags::Upstream) -> anyhow::Result<()> {
    let mut settings: UpstreamSettings = read_settings(flags.settings)?;
    override_setting(&mut settings.name, flags.name);
    override_setting(&mut settings.version, flags.version);
    override_setting(&mut settings.seed, flags.seed);
    override_setting(&mut settings.slots, flags.slots);
    override_setting(&mut settings.queue, flags.queue);
    override_setting(&mut settings.service_time_ms, flags.service_time_ms);
    override_setting(&mut settings.service_time_sigma, flags.service_time_sigma);
    override_setting(&mut settings.cold_ms, flags.cold_ms);
    override_setting(&mut settings.cold_requests, flags.cold_requests);
    override_setting(&mut settings.cold_factor, flags.cold_factor);
    override_setting(&mut settings.connection_cost_ms, flags.connection_cost_ms);
    override_setting(&mut settings.max_connections, flags.max_connections);
    override_setting(&mut settings.upload_bytes_per_s, flags.upload_bytes_per_s);
    override_setting(&mut settings.drain_grace_ms, flags.drain_grace_ms);
    let standin = UpstreamStandin::bind(flags.listen, settings)
        .await
        .with_context(|| format!("cannot listen on {}", flags.listen))?;
    println!("listening on {}", standin.address());
    wait_for_stop_signal().await?;
    standin.stop().await;
    Ok(())
}

/// Reads settings from a JSON file. Returns the defaults when no file is given.
fn read_settings<T: DeserializeOwned + Default>(path: Option<PathBuf>) -> anyhow::Result<T> {
    let Some(path) = path else { return Ok(T::default()) };
    let bytes = std::fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_slice(&bytes)
        .with_context(|| format!("invalid settings in {}", path.display()))
}

/// Overrides a setting with the value of its flag, if the flag was given.
fn override_setting<T>(setting: &mut T, flag: Option<T>) {
    if let Some(it) = flag {
        *setting = it;
    }
}

/// Waits for SIGINT or SIGTERM.
async fn wait_for_stop_signal() -> anyhow::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        it = tokio::signal::ctrl_c() => it?,
        _ = terminate.recv() => {}
    }
    Ok(())
}
