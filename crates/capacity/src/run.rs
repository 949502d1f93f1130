//! One run: a stand-in of the platform, real entry processes and what they cost.

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
    declarations::{declarations, zone_name},
    process::{Costs, EntryProcess, client, log_file},
    report::{HostSample, Run, Shape},
};

/// Longest wait for hosts to settle or to take a configuration.
const LIMIT: Duration = Duration::from_secs(120);

/// Wait between the last settled host and the measurement, in which membership and shares rest.
const REST: Duration = Duration::from_secs(12);

/// Time over which the cost of one change is counted.
const CHANGE_WINDOW: Duration = Duration::from_secs(6);

/// Time without the platform after which the main shares are counted, above the main lease of 10 s.
const OUTAGE: Duration = Duration::from_secs(15);

/// Calls per second by which a speaker differs from other hosts, which only announce themselves.
const SPEAKER_CALLS_PER_S: f64 = 0.4;

/// A deployment of entry processes.
struct Fleet {
    /// Its sizes.
    shape: Shape,
    /// The stand-ins, certificates and the operators' access.
    deployment: Deployment,
    /// The processes.
    hosts: Vec<EntryProcess>,
    /// Answers reads of load for every instance.
    upstream: UpstreamStandin,
    /// Calls to the hosts' admin addresses.
    client: Client,
}

/// Starts a deployment, measures it and ends it.
pub(crate) async fn run(shape: &Shape, idle: Duration, faults: bool) -> anyhow::Result<Run> {
    let mut fleet = Fleet::prepare(shape).await?;
    let mut wanted = declarations(shape, fleet.upstream.address());
    let (compile_ms, chunk_bytes, chunks) = compile(&wanted)?;
    fleet.deployment.apply(&wanted, "capacity").await?;
    let limits = PlatformLimits {
        reads_per_s: 2_000.0 * shape.platform_part,
        writes_per_s: 400.0 * shape.platform_part,
        ..PlatformLimits::default()
    };
    fleet.deployment.platform.set_limits(limits);
    let calls = fleet.deployment.platform.call_counts();
    let started_ms = unix_ms();
    for at in 0..shape.hosts {
        let host = fleet.start(at)?;
        fleet.hosts.push(host);
    }
    let all_started_s = fleet.active_everywhere(1, started_ms).await?;
    fleet.settle().await?;
    let all_settled_s = (unix_ms() - started_ms) as f64 / 1000.0;
    let start_calls = difference(&fleet.deployment.platform.call_counts(), &calls);
    sleep(REST).await;

    let (idle_samples, idle_calls_per_s) = fleet.idle(idle).await?;

    let before = fleet.costs().await?;
    let calls = fleet.deployment.platform.call_counts();
    let change_s = fleet.change(&mut wanted, 2).await?;
    sleep(CHANGE_WINDOW.saturating_sub(Duration::from_secs_f64(change_s))).await;
    let after = fleet.costs().await?;
    let change_reads = difference(&fleet.deployment.platform.call_counts(), &calls).reads;
    let hosts = shape.hosts as f64;
    let sum = |value: fn(&Costs) -> f64| {
        after.iter().map(value).sum::<f64>() - before.iter().map(value).sum::<f64>()
    };
    let out = after.iter().zip(&before).map(|it| it.0.out_bytes - it.1.out_bytes);

    let (mut change_slow_s, mut fresh_without_platform_s) = (None, None);
    let mut main_share_without_platform = None;
    if faults {
        let platform = &fleet.deployment.platform;
        platform.set_faults(PlatformFaults { delay_ms: 300, ..PlatformFaults::default() });
        change_slow_s = Some(fleet.change(&mut wanted, 3).await?);
        let outage =
            PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() };
        fleet.deployment.platform.set_faults(outage);
        sleep(OUTAGE).await;
        let mut shares = 0;
        for host in &fleet.hosts {
            shares += usize::from(host.status(&fleet.client).await?["main_share"] == true);
        }
        main_share_without_platform = Some(shares);
        // The former process of the host has ended before the new one binds its addresses.
        drop(fleet.hosts.pop());
        let started_ms = unix_ms();
        let host = fleet.start(shape.hosts - 1)?;
        fleet.hosts.push(host);
        let last = fleet.active_at(shape.hosts - 1, 3).await?;
        fresh_without_platform_s = Some((last - started_ms) as f64 / 1000.0);
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
        change_in_bytes: sum(|it| it.in_bytes) / hosts,
        change_out_max_bytes: out.fold(0.0, f64::max),
        change_cpu_ms: sum(|it| it.cpu_s) / hosts * 1000.0,
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
    /// Starts the stand-ins.
    async fn prepare(shape: &Shape) -> anyhow::Result<Self> {
        let hosts = (0..shape.hosts).map(|it| HostSpec {
            name: format!("entry-{it}"),
            zone: zone_name(shape, it % shape.zones),
        });
        let settings = DeploymentSettings {
            hosts: hosts.collect(),
            upstreams: Vec::new(),
            ..DeploymentSettings::default()
        };
        let any = (Ipv4Addr::LOCALHOST, 0).into();
        Ok(Self {
            shape: shape.clone(),
            deployment: Deployment::start_standins(settings).await?,
            hosts: Vec::new(),
            upstream: UpstreamStandin::bind(any, UpstreamSettings::default()).await?,
            client: client()?,
        })
    }

    /// Starts the process of a host.
    fn start(&self, at: usize) -> anyhow::Result<EntryProcess> {
        EntryProcess::start(self.deployment.folder(), &self.deployment.host_settings(at)?)
    }

    /// Waits until each host sees all others and may spend its share.
    async fn settle(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        for host in &self.hosts {
            loop {
                let status = host.status(&self.client).await.unwrap_or_default();
                let members = status["members"].as_array();
                let live = members.map_or(0, |it| it.iter().filter(|it| it[2] == "live").count());
                if live == self.shape.hosts && status["main_share"] == true {
                    break;
                }
                if started.elapsed() > LIMIT {
                    bail!("a host sees {live} of {} hosts: {status}", self.shape.hosts);
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
        Ok(())
    }

    /// When a host made a version active, told from its log, which costs the host nothing.
    async fn active_at(&self, at: usize, version: u64) -> anyhow::Result<u64> {
        let file = log_file(self.deployment.folder(), &format!("entry-{at}"));
        let started = Instant::now();
        let wanted = format!("version {version}, ");
        loop {
            let log = fs::read_to_string(&file)?;
            if let Some(line) = log.lines().rfind(|it| it.contains(&wanted)) {
                let time = line.split_whitespace().next().context("no time in the log")?;
                return Ok(time.parse()?);
            }
            if started.elapsed() > LIMIT {
                bail!("entry-{at} has no version {version}:\n{log}");
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the last host made a version active and answers the time from `since_ms` on.
    async fn active_everywhere(&self, version: u64, since_ms: u64) -> anyhow::Result<f64> {
        let mut last = since_ms;
        for at in 0..self.shape.hosts {
            last = last.max(self.active_at(at, version).await?);
        }
        Ok((last - since_ms) as f64 / 1000.0)
    }

    /// Moves one block to another site and answers the time to the last host.
    async fn change(&self, wanted: &mut Declarations, version: u64) -> anyhow::Result<f64> {
        if let Some(block) = wanted.blocks.first_mut() {
            block.site = format!("site{}", 10 + version);
        }
        let applied = self.deployment.apply(wanted, &format!("change-{version}")).await?;
        let accepted_ms = unix_ms();
        if applied != version {
            bail!("the change became version {applied} instead of {version}");
        }
        self.active_everywhere(version, accepted_ms).await
    }

    /// Measures idle control.
    async fn idle(&self, time: Duration) -> anyhow::Result<(Vec<HostSample>, [f64; 6])> {
        let calls = self.deployment.platform.call_counts();
        let started = Instant::now();
        let before = self.costs().await?;
        sleep(time).await;
        let elapsed_s = started.elapsed().as_secs_f64();
        let after = self.costs().await?;
        let calls = difference(&self.deployment.platform.call_counts(), &calls);
        let samples = after.iter().zip(&before).enumerate().map(|(at, (after, before))| {
            let zone = at % self.shape.zones;
            let in_zone = (0..self.shape.hosts).filter(|it| it % self.shape.zones == zone).count();
            let calls = (after.platform_calls - before.platform_calls) / elapsed_s;
            HostSample {
                mates: in_zone - 1,
                is_speaker: calls > SPEAKER_CALLS_PER_S,
                cpu_percent: (after.cpu_s - before.cpu_s) / elapsed_s * 100.0,
                resident_bytes: after.resident_bytes,
                in_bytes_per_s: (after.in_bytes - before.in_bytes) / elapsed_s,
                out_bytes_per_s: (after.out_bytes - before.out_bytes) / elapsed_s,
                platform_calls_per_s: calls,
            }
        });
        let rate = |count: u64| count as f64 / elapsed_s;
        let calls_per_s = [
            rate(calls.reads),
            rate(calls.writes),
            rate(calls.lists),
            rate(calls.watches),
            rate(calls.host_lists),
            rate(calls.announcements),
        ];
        Ok((samples.collect(), calls_per_s))
    }

    /// Costs of all hosts since their starts.
    async fn costs(&self) -> anyhow::Result<Vec<Costs>> {
        let mut res = Vec::new();
        for host in &self.hosts {
            res.push(host.costs(&self.client).await?);
        }
        Ok(res)
    }
}

/// Time to compile and install declarations without a former configuration, and their size and
/// number of chunks.
fn compile(declarations: &Declarations) -> anyhow::Result<(f64, usize, usize)> {
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
    let mut at = 0;
    let assembled = assemble_chunks(&head, |_| {
        at += 1;
        chunks.get(at - 1).map(|it| it.bytes.as_slice())
    })?;
    let snapshot = Snapshot::compile(&assembled, ConfigVersion(1), "day", "capacity", None)?;
    engine.install(Arc::new(snapshot), Instant::now());
    let elapsed_ms = started.elapsed().as_secs_f64() * 1000.0;
    Ok((elapsed_ms, chunks.iter().map(|it| it.bytes.len()).sum(), chunks.len()))
}

/// Calls between two readings of the counters.
fn difference(after: &CallCounts, before: &CallCounts) -> CallCounts {
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

/// Milliseconds since the Unix epoch, as in the hosts' logs.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |it| u64::try_from(it.as_millis()).unwrap_or(u64::MAX))
}
