//! One run: starts a stand-in of the platform and real entry processes and measures their cost.

use std::{
    fs,
    net::Ipv4Addr,
    sync::Arc,
    time::{Duration, SystemTime},
};

use anyhow::{Context as _, bail};
use kingcupford_config::{
    ConfigVersion, Declarations, Head, Snapshot, assemble_chunks, split_into_chunks,
};
use kingcupford_demo::{Deployment, DeploymentSettings, HostSpec};
use kingcupford_engine::{Engine, EngineSettings};
use kingcupford_fleet::HostIdentity;
use kingcupford_standin::{
    CallCounts, OutageMode, PlatformFaults, PlatformLimits, UpstreamSettings, UpstreamStandin,
};
use reqwest::Client;
use tokio::time::{Instant, sleep};

use crate::{
    declarations::{generate_declarations, zone_name},
    process::{EntryProcess, ResourceUsage, log_file, loopback_client},
    report::{HostSample, Run, Shape},
};

/// Maximum time until all hosts have settled, or until one host has activated a configuration
/// version.
const HOST_TIMEOUT: Duration = Duration::from_secs(120);

/// Time between the settling of the last host and the measurement, in which membership and shares
/// stabilize.
const STABILIZATION_TIME: Duration = Duration::from_secs(12);

/// Minimum time from the acceptance of a configuration change over which its cost is measured.
const CHANGE_WINDOW: Duration = Duration::from_secs(6);

/// Time without the platform after which the main shares are counted; longer than the main lease of
/// 10 s.
const OUTAGE_DURATION: Duration = Duration::from_secs(15);

/// Rate of platform calls above which a host is a speaker; other hosts only announce themselves.
const SPEAKER_THRESHOLD_CALLS_PER_S: f64 = 0.4;

/// Deployment whose hosts are entry processes.
struct Fleet {
    shape: Shape,
    /// Stand-in of the platform, certificates and the operators' client; runs no hosts itself.
    deployment: Deployment,
    hosts: Vec<EntryProcess>,
    /// Upstream at the address of every declared instance, which answers the hosts' load reads.
    upstream: UpstreamStandin,
    /// Client for the hosts' admin interfaces.
    client: Client,
}

/// Starts a deployment of the given size, measures it and stops it. Idle hosts are measured for
/// `idle_duration`; `with_faults` adds the measurements with a slow and an unavailable platform.
pub(crate) async fn run(
    shape: &Shape,
    idle_duration: Duration,
    with_faults: bool,
) -> anyhow::Result<Run> {
    let mut fleet = Fleet::start_standins(shape).await?;
    let mut declarations = generate_declarations(shape, fleet.upstream.address());
    let (compile_ms, chunk_bytes, chunks) = measure_compile(&declarations)?;
    fleet.deployment.apply(&declarations, "capacity").await?;
    let limits = PlatformLimits {
        reads_per_s: 2_000.0 * shape.platform_part,
        writes_per_s: 400.0 * shape.platform_part,
        ..PlatformLimits::default()
    };
    fleet.deployment.platform.set_limits(limits);
    let calls_before = fleet.deployment.platform.call_counts();
    let started_ms = unix_ms();
    for host_index in 0..shape.hosts {
        let host = fleet.start_host(host_index)?;
        fleet.hosts.push(host);
    }
    let all_started_s = fleet.wait_until_active(1, started_ms).await?;
    fleet.wait_until_settled().await?;
    let all_settled_s = (unix_ms() - started_ms) as f64 / 1000.0;
    let start_calls =
        call_count_difference(&fleet.deployment.platform.call_counts(), &calls_before);
    sleep(STABILIZATION_TIME).await;

    let (idle_samples, idle_calls_per_s) = fleet.measure_idle(idle_duration).await?;

    let usage_before = fleet.resource_usage().await?;
    let calls_before = fleet.deployment.platform.call_counts();
    let change_s = fleet.measure_change(&mut declarations, 2).await?;
    sleep(CHANGE_WINDOW.saturating_sub(Duration::from_secs_f64(change_s))).await;
    let usage_after = fleet.resource_usage().await?;
    let change_reads =
        call_count_difference(&fleet.deployment.platform.call_counts(), &calls_before).reads;
    let hosts = shape.hosts as f64;
    let total_increase = |value: fn(&ResourceUsage) -> f64| {
        usage_after.iter().map(value).sum::<f64>() - usage_before.iter().map(value).sum::<f64>()
    };
    let out_bytes = usage_after.iter().zip(&usage_before).map(|it| it.0.out_bytes - it.1.out_bytes);

    let (mut change_slow_s, mut fresh_without_platform_s) = (None, None);
    let mut main_share_without_platform = None;
    if with_faults {
        let platform = &fleet.deployment.platform;
        platform.set_faults(PlatformFaults { delay_ms: 300, ..PlatformFaults::default() });
        change_slow_s = Some(fleet.measure_change(&mut declarations, 3).await?);
        let outage =
            PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        sleep(OUTAGE_DURATION).await;
        let mut hosts_with_main_share = 0;
        for host in &fleet.hosts {
            hosts_with_main_share +=
                usize::from(host.status(&fleet.client).await?["main_share"] == true);
        }
        main_share_without_platform = Some(hosts_with_main_share);
        // The old process must have ended before the new one binds the same addresses.
        drop(fleet.hosts.pop());
        let started_ms = unix_ms();
        let host = fleet.start_host(shape.hosts - 1)?;
        fleet.hosts.push(host);
        let active_ms = fleet.activation_time_ms(shape.hosts - 1, 3).await?;
        fresh_without_platform_s = Some((active_ms - started_ms) as f64 / 1000.0);
    }
    Ok(Run {
        shape: shape.clone(),
        all_started_s,
        all_settled_s,
        start_reads_per_host: (start_calls.reads + start_calls.lists + start_calls.watches) as f64
            / hosts,
        start_writes_per_host: (start_calls.writes + start_calls.announcements) as f64 / hosts,
        start_throttled: start_calls.throttled,
        idle: idle_samples,
        idle_calls_per_s,
        change_s,
        change_in_bytes: total_increase(|it| it.in_bytes) / hosts,
        change_out_max_bytes: out_bytes.fold(0.0, f64::max),
        change_cpu_ms: total_increase(|it| it.cpu_s) / hosts * 1000.0,
        change_reads,
        change_slow_s,
        fresh_without_platform_s,
        main_share_without_platform,
        compile_ms,
        chunk_bytes,
        chunks,
    })
}

impl Fleet {
    /// Starts the stand-ins without hosts.
    async fn start_standins(shape: &Shape) -> anyhow::Result<Self> {
        let hosts = (0..shape.hosts).map(|it| HostSpec {
            name: format!("entry-{it}"),
            zone: zone_name(shape, it % shape.zones),
        });
        let settings = DeploymentSettings {
            hosts: hosts.collect(),
            upstreams: Vec::new(),
            ..DeploymentSettings::default()
        };
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        Ok(Self {
            shape: shape.clone(),
            deployment: Deployment::start_standins(settings).await?,
            hosts: Vec::new(),
            upstream: UpstreamStandin::bind(any_port, UpstreamSettings::default()).await?,
            client: loopback_client()?,
        })
    }

    fn start_host(&self, host_index: usize) -> anyhow::Result<EntryProcess> {
        EntryProcess::start(self.deployment.folder(), &self.deployment.host_settings(host_index)?)
    }

    /// Waits until each host counts all others as live and may use its main share.
    async fn wait_until_settled(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        for host in &self.hosts {
            loop {
                let status = host.status(&self.client).await.unwrap_or_default();
                let members = status["members"].as_array();
                let live_hosts =
                    members.map_or(0, |it| it.iter().filter(|it| it[2] == "live").count());
                if live_hosts == self.shape.hosts && status["main_share"] == true {
                    break;
                }
                if started.elapsed() > HOST_TIMEOUT {
                    bail!(
                        "a host counts {live_hosts} of {} hosts as live: {status}",
                        self.shape.hosts,
                    );
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// Waits until a host has activated a configuration version and returns the time of the
    /// activation in milliseconds since the Unix epoch. Reading the time from the log costs the
    /// host nothing.
    async fn activation_time_ms(&self, host_index: usize, version: u64) -> anyhow::Result<u64> {
        let file = log_file(self.deployment.folder(), &format!("entry-{host_index}"));
        let started = Instant::now();
        let version_text = format!("version {version}, ");
        loop {
            let log = fs::read_to_string(&file)?;
            if let Some(line) = log.lines().rfind(|it| it.contains(&version_text)) {
                let time_ms = line.split_whitespace().next().context("log line without a time")?;
                return Ok(time_ms.parse()?);
            }
            if started.elapsed() > HOST_TIMEOUT {
                bail!("entry-{host_index} did not activate version {version}:\n{log}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until all hosts have activated a configuration version and returns the seconds from
    /// `since_ms` to the last activation.
    async fn wait_until_active(&self, version: u64, since_ms: u64) -> anyhow::Result<f64> {
        let mut last_ms = since_ms;
        for host_index in 0..self.shape.hosts {
            last_ms = last_ms.max(self.activation_time_ms(host_index, version).await?);
        }
        Ok((last_ms - since_ms) as f64 / 1000.0)
    }

    /// Moves one block to another site, which creates `version`, and returns the seconds until the
    /// last host has activated the change.
    async fn measure_change(
        &self,
        declarations: &mut Declarations,
        version: u64,
    ) -> anyhow::Result<f64> {
        if let Some(block) = declarations.blocks.first_mut() {
            block.site = format!("site{}", 10 + version);
        }
        let applied_version =
            self.deployment.apply(declarations, &format!("change-{version}")).await?;
        let accepted_ms = unix_ms();
        if applied_version != version {
            bail!("the change created version {applied_version} instead of {version}");
        }
        self.wait_until_active(version, accepted_ms).await
    }

    /// Measures the resource usage of each host and the calls per second of all hosts to the
    /// platform while idle.
    async fn measure_idle(
        &self,
        duration: Duration,
    ) -> anyhow::Result<(Vec<HostSample>, [f64; 6])> {
        let calls_before = self.deployment.platform.call_counts();
        let started = Instant::now();
        let usage_before = self.resource_usage().await?;
        sleep(duration).await;
        let elapsed_s = started.elapsed().as_secs_f64();
        let usage_after = self.resource_usage().await?;
        let calls = call_count_difference(&self.deployment.platform.call_counts(), &calls_before);
        let usages = usage_after.iter().zip(&usage_before).enumerate();
        let samples = usages.map(|(host_index, (after, before))| {
            let zone = host_index % self.shape.zones;
            let hosts_in_zone =
                (0..self.shape.hosts).filter(|it| it % self.shape.zones == zone).count();
            let platform_calls_per_s = (after.platform_calls - before.platform_calls) / elapsed_s;
            HostSample {
                mates: hosts_in_zone - 1,
                is_speaker: platform_calls_per_s > SPEAKER_THRESHOLD_CALLS_PER_S,
                cpu_percent: (after.cpu_s - before.cpu_s) / elapsed_s * 100.0,
                resident_bytes: after.resident_bytes,
                in_bytes_per_s: (after.in_bytes - before.in_bytes) / elapsed_s,
                out_bytes_per_s: (after.out_bytes - before.out_bytes) / elapsed_s,
                platform_calls_per_s,
            }
        });
        let per_s = |count: u64| count as f64 / elapsed_s;
        let calls_per_s = [
            per_s(calls.reads),
            per_s(calls.writes),
            per_s(calls.lists),
            per_s(calls.watches),
            per_s(calls.host_lists),
            per_s(calls.announcements),
        ];
        Ok((samples.collect(), calls_per_s))
    }

    /// Returns the resource usage of each host since its start.
    async fn resource_usage(&self) -> anyhow::Result<Vec<ResourceUsage>> {
        let mut res = Vec::new();
        for host in &self.hosts {
            res.push(host.resource_usage(&self.client).await?);
        }
        Ok(res)
    }
}

/// Measures the time to assemble, compile and install declarations in an engine without a previous
/// configuration. Returns the time in milliseconds, the total size of the chunks in bytes and the
/// number of chunks.
fn measure_compile(declarations: &Declarations) -> anyhow::Result<(f64, usize, usize)> {
    let chunks = split_into_chunks(declarations)?;
    let head = Head {
        version: 1,
        change_id: "capacity".to_owned(),
        source_revision: "capacity".to_owned(),
        active_preset: "day".to_owned(),
        chunks: chunks.iter().map(|it| it.reference.clone()).collect(),
    };
    let identity = HostIdentity {
        name: "entry-0".to_owned(),
        zone: declarations.regions[0].zones[0].clone(),
        incarnation: 1,
        peer_address: (Ipv4Addr::LOCALHOST, 1).into(),
        public_addresses: Vec::new(),
    };
    let mut engine = Engine::new(identity, EngineSettings::default(), 1, Instant::now());
    let started = Instant::now();
    let mut next_chunk = 0;
    let assembled_declarations = assemble_chunks(&head, |_| {
        next_chunk += 1;
        chunks.get(next_chunk - 1).map(|it| it.bytes.as_slice())
    })?;
    let snapshot =
        Snapshot::compile(&assembled_declarations, ConfigVersion(1), "day", "capacity", None)?;
    engine.install(Arc::new(snapshot), Instant::now());
    let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
    Ok((elapsed_ms, chunks.iter().map(|it| it.bytes.len()).sum(), chunks.len()))
}

/// Returns the calls between two readings of the counters. Kinds of calls that no run reports are
/// 0.
fn call_count_difference(after: &CallCounts, before: &CallCounts) -> CallCounts {
    CallCounts {
        reads: after.reads - before.reads,
        writes: after.writes - before.writes,
        lists: after.lists - before.lists,
        watches: after.watches - before.watches,
        host_lists: after.host_lists - before.host_lists,
        announcements: after.announcements - before.announcements,
        throttled: after.throttled - before.throttled,
        ..CallCounts::default()
    }
}

/// Returns the milliseconds since the Unix epoch, the unit of times in the hosts' logs.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
