//! Benchmarks of an entry process over loopback: lookups, and forwarded calls against direct calls.

use std::{
    fs,
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::{Context as _, ensure};
use criterion::{Criterion, criterion_group, criterion_main};
use kingcupford_config::Declarations;
use kingcupford_demo::{Deployment, DeploymentSettings, HostSpec, UpstreamSpec};
use kingcupford_entry::Settings;
use kingcupford_standin::UpstreamSettings;
use reqwest::Client;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Number of connections of the lookup load.
const LOOKUP_CONNECTIONS: usize = 32;

/// Duration of the lookup load.
const LOOKUP_DURATION: Duration = Duration::from_secs(4);

/// Number of connections of the forwarding load.
const FORWARD_CONNECTIONS: usize = 16;

/// Number of rounds; direct and forwarded calls alternate, so that other load on the machine
/// affects both.
const FORWARD_ROUNDS: usize = 6;

/// Duration of the direct or forwarded calls of one round.
const FORWARD_DURATION: Duration = Duration::from_secs(1);

/// Mean service time of the upstream.
const SERVICE_TIME_MS: f64 = 4.0;

/// Entry process with stand-ins; dropping it ends the process.
struct BenchHost {
    /// Stand-in platform, stand-in upstream and certificates.
    deployment: Deployment,
    process: Child,
    /// Address for callers.
    caller: SocketAddr,
}

impl BenchHost {
    /// Starts the deployment and returns it with the `authorization` header of a team whose rate
    /// limit is too high to matter.
    async fn start() -> anyhow::Result<(Self, String)> {
        let zone = "fukuoka-a".to_owned();
        let slot = UpstreamSpec {
            name: "ledger-view-1".to_owned(),
            service: "ledger-view".to_owned(),
            version: "v1".to_owned(),
            site: zone.clone(),
            slots: 256,
            service_time_ms: SERVICE_TIME_MS,
        };
        let settings = DeploymentSettings {
            hosts: vec![HostSpec { name: "entry-1".to_owned(), zone }],
            upstreams: vec![slot],
            upstream: UpstreamSettings::default(),
            ..DeploymentSettings::default()
        };
        let deployment = Deployment::start_standins(settings).await?;
        let mut declarations: Declarations = deployment.declarations();
        for team in &mut declarations.teams {
            (team.rate_per_s, team.burst) = (1e6, 1e6);
        }
        deployment.apply(&declarations, "bench").await?;
        let (key, version) = deployment.issue_key("bench", "school-1").await?;
        let settings = deployment.host_settings(0)?;
        let file = deployment.folder().join("entry-1.yaml");
        fs::write(&file, settings_text(&settings))?;
        let process = Command::new(env!("CARGO_BIN_EXE_kingcupford-entry"))
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        let res = Self { deployment, process, caller: settings.listen };
        let url = format!("http://{}/status", settings.admin_listen);
        let client = Client::builder().no_proxy().build()?;
        let started = Instant::now();
        loop {
            let status: serde_json::Value = match client.get(&url).send().await {
                Ok(it) => it.json().await.unwrap_or_default(),
                Err(_) => serde_json::Value::Null,
            };
            if status["config_version"] == version && status["main_share"] == true {
                // The token bucket of a new share is empty at first.
                sleep(Duration::from_secs(1)).await;
                return Ok((res, format!("Bearer {}", key.reveal())));
            }
            ensure!(
                started.elapsed() < Duration::from_secs(20),
                "the host was not ready within 20 s: {status}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns the CPU time that the entry process has used.
    fn cpu_s(&self) -> anyhow::Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let rest = stat.rsplit_once(')').context("no process name in `stat`")?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        Ok((fields[11].parse::<f64>()? + fields[12].parse::<f64>()?) / 100.0)
    }

    /// Returns the number of lookups per second of CPU time of the entry process.
    async fn lookups_per_cpu_s(&self) -> anyhow::Result<f64> {
        let cpu_s_before = self.cpu_s()?;
        let until = Instant::now() + LOOKUP_DURATION;
        let mut tasks = JoinSet::new();
        for connection in 0..LOOKUP_CONNECTIONS {
            let caller = self.caller;
            tasks.spawn(async move {
                let mut lookups = LookupConnection::connect(caller).await?;
                let mut count = 0_u64;
                while Instant::now() < until {
                    lookups.send_lookup(connection as u64 * 1_000_003 + count).await?;
                    count += 1;
                }
                anyhow::Ok(count)
            });
        }
        let mut count = 0;
        while let Some(done) = tasks.join_next().await {
            count += done??;
        }
        Ok(count as f64 / (self.cpu_s()? - cpu_s_before))
    }
}

impl Drop for BenchHost {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Keep-alive connection that sends lookups with little overhead at the client.
struct LookupConnection {
    stream: TcpStream,
    /// Bytes received of the current response.
    buffer: Vec<u8>,
}

impl LookupConnection {
    async fn connect(caller: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(caller).await?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, buffer: Vec::new() })
    }

    /// Sends a lookup for a client address that depends on `number`, and reads the whole response.
    async fn send_lookup(&mut self, number: u64) -> anyhow::Result<()> {
        let [_, _, a, b] = (number as u32).to_be_bytes();
        let client = format!("10.{}.{a}.{b}", number % 6);
        let request = format!(
            "GET /v1/lookup?service=ledger-view&client={client} HTTP/1.1\r\nhost: entry-1\r\n\r\n"
        );
        self.stream.write_all(request.as_bytes()).await?;
        self.buffer.clear();
        loop {
            ensure!(self.stream.read_buf(&mut self.buffer).await? > 0, "the connection ended");
            if response_length(&self.buffer).is_some_and(|it| self.buffer.len() >= it) {
                ensure!(self.buffer.starts_with(b"HTTP/1.1 200"), "the lookup was refused");
                return Ok(());
            }
        }
    }
}

/// Latencies and throughput of calls over several connections.
#[derive(Default)]
struct CallStats {
    latencies: Vec<Duration>,
    /// Total duration of the load.
    elapsed: Duration,
}

impl CallStats {
    /// Sends calls for [`FORWARD_DURATION`], one after the other on each connection, and adds their
    /// latencies.
    async fn measure(&mut self, client: &Client, url: &str, key: &str) -> anyhow::Result<()> {
        let started = Instant::now();
        let mut tasks = JoinSet::new();
        for _ in 0..FORWARD_CONNECTIONS {
            let (client, url, key) = (client.clone(), url.to_owned(), key.to_owned());
            tasks.spawn(async move {
                let mut res = Vec::new();
                while started.elapsed() < FORWARD_DURATION {
                    let sent = Instant::now();
                    let response = client.get(&url).header("authorization", &key).send().await?;
                    ensure!(
                        response.status().is_success(),
                        "the call was answered with {}",
                        response.status()
                    );
                    response.bytes().await?;
                    res.push(sent.elapsed());
                }
                Ok(res)
            });
        }
        while let Some(done) = tasks.join_next().await {
            self.latencies.extend(done??);
        }
        self.elapsed += started.elapsed();
        Ok(())
    }

    /// Returns a percentile of the latencies.
    fn percentile_s(&mut self, percent: usize) -> f64 {
        self.latencies.sort_unstable();
        let index = (self.latencies.len() * percent / 100).min(self.latencies.len() - 1);
        self.latencies[index].as_secs_f64()
    }

    fn calls_per_s(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64()
    }
}

/// Prints the figures and benchmarks sequential lookups.
fn http(criterion: &mut Criterion) {
    let runtime = Runtime::new().expect("a runtime starts");
    let (host, key) = runtime.block_on(BenchHost::start()).expect("the deployment starts");
    let figures = async {
        let lookups = host.lookups_per_cpu_s().await?;
        println!("figure http_lookups_one_core {lookups:.0} per_second");
        let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let direct_url = format!("http://{}/balances/7", host.deployment.upstreams[0].address());
        let forward_url = format!("http://{}/ledger-view/balances/7", host.caller);
        let (mut direct, mut forward) = (CallStats::default(), CallStats::default());
        for _ in 0..FORWARD_ROUNDS {
            direct.measure(&client, &direct_url, &key).await?;
            forward.measure(&client, &forward_url, &key).await?;
        }
        let p50 = forward.percentile_s(50) / direct.percentile_s(50);
        let p99 = forward.percentile_s(99) / direct.percentile_s(99);
        println!("figure forward_latency_p50_ratio {p50:.3} ratio");
        println!("figure forward_latency_p99_ratio {p99:.3} ratio");
        let throughput = forward.calls_per_s() / direct.calls_per_s();
        println!("figure forward_throughput_ratio {throughput:.3} ratio");
        anyhow::Ok(())
    };
    runtime.block_on(figures).expect("every call is answered");
    let mut lookups = runtime.block_on(LookupConnection::connect(host.caller)).expect("connects");
    let mut number = 0;
    criterion.bench_function("http_lookup", |bencher| {
        bencher.iter(|| {
            number += 1;
            runtime.block_on(lookups.send_lookup(number)).expect("is answered");
        });
    });
    drop(host);
}

/// Returns the length of a response including the head, `None` if the head is incomplete or has no
/// `content-length`.
fn response_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|it| it == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let mut lengths = head.lines().filter_map(|it| it.strip_prefix("content-length: "));
    Some(end + lengths.next()?.parse::<usize>().ok()?)
}

/// Returns the text of a settings file. JSON is valid YAML.
fn settings_text(it: &Settings) -> String {
    json!({
        "name": it.name,
        "zone": it.zone,
        "listen": it.listen,
        "public_addresses": it.public_addresses,
        "admin_listen": it.admin_listen,
        "peer_listen": it.peer_listen,
        "peer_address": it.peer_address,
        "platform_url": it.platform_url,
        "peer_tls": {
            "certificate_file": it.peer_tls.certificate_file,
            "key_file": it.peer_tls.key_file,
            "ca_file": it.peer_tls.ca_file,
        },
        "log_level": "warn",
    })
    .to_string()
}

criterion_group! {
    name = benches;
    config = Criterion::default().measurement_time(Duration::from_secs(2)).warm_up_time(Duration::from_millis(500));
    targets = http
}
criterion_main!(benches);
