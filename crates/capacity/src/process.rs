//! Entry processes and their resource usage.

use std::{
    env,
    fs::{self, File},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use anyhow::{Context as _, ensure};
use kingcupford_entry::Settings;
use reqwest::Client;
use serde_json::{Value, json};

/// Ticks per second of processor times in `/proc` (`USER_HZ`), fixed by the kernel's interface for
/// all architectures.
const CPU_TICKS_PER_S: f64 = 100.0;

/// Running entry process, which is killed when the handle is dropped.
pub(crate) struct EntryProcess {
    child: Child,
    admin_address: SocketAddr,
}

/// Resource usage of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ResourceUsage {
    /// User and system time.
    pub(crate) cpu_s: f64,
    /// Current size of resident memory.
    pub(crate) resident_bytes: u64,
    /// Control traffic received.
    pub(crate) in_bytes: f64,
    /// Control traffic sent.
    pub(crate) out_bytes: f64,
    pub(crate) platform_calls: f64,
}

impl EntryProcess {
    /// Starts the `kingcupford-entry` program next to the current executable, with its settings and
    /// log file in `folder`.
    pub(crate) fn start(folder: &Path, settings: &Settings) -> anyhow::Result<Self> {
        let program = env::current_exe()?.with_file_name("kingcupford-entry");
        ensure!(
            program.exists(),
            "program {} does not exist (hint: cargo build --release -p kingcupford-entry)",
            program.display(),
        );
        let settings_file = folder.join(format!("{}.yaml", settings.name));
        fs::write(&settings_file, settings_yaml(settings))?;
        let log = log_file(folder, &settings.name);
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings_file)
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        Ok(Self { child, admin_address: settings.admin_listen })
    }

    /// Reads the status document of the admin interface.
    pub(crate) async fn status(&self, client: &Client) -> anyhow::Result<Value> {
        let url = format!("http://{}/status", self.admin_address);
        Ok(client.get(url).send().await?.json().await?)
    }

    /// Reads the resource usage from `/proc` and the metrics of the process.
    pub(crate) async fn resource_usage(&self, client: &Client) -> anyhow::Result<ResourceUsage> {
        let process_id = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{process_id}/stat"))?;
        // The second field is the name of the program in parentheses and may contain spaces.
        let rest = stat.rsplit_once(')').context("no program name in /proc/<pid>/stat")?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{process_id}/status"))?;
        let rss_line = status
            .lines()
            .find(|it| it.starts_with("VmRSS:"))
            .context("no VmRSS in /proc/<pid>/status")?;
        let kib: u64 = rss_line.split_whitespace().nth(1).context("VmRSS has no value")?.parse()?;
        let url = format!("http://{}/metrics", self.admin_address);
        let metrics = client.get(url).send().await?.text().await?;
        Ok(ResourceUsage {
            cpu_s: ticks / CPU_TICKS_PER_S,
            resident_bytes: kib * 1024,
            in_bytes: metric_value(
                &metrics,
                "kingcupford_control_traffic_bytes_total{direction=\"in\"}",
            ),
            out_bytes: metric_value(
                &metrics,
                "kingcupford_control_traffic_bytes_total{direction=\"out\"}",
            ),
            platform_calls: metric_value(&metrics, "kingcupford_platform_calls_total"),
        })
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Creates a client for short calls to loopback addresses, with a timeout of 5 s.
pub(crate) fn loopback_client() -> anyhow::Result<Client> {
    Ok(Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?)
}

/// Returns the path of the log file of a host.
pub(crate) fn log_file(folder: &Path, host: &str) -> PathBuf {
    folder.join(format!("{host}.log"))
}

/// Returns the value of a metric in the Prometheus text format, or 0 if the metric is missing
/// because nothing was counted yet.
fn metric_value(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter_map(|it| it.strip_prefix(name));
    lines.filter_map(|it| it.trim().parse().ok()).next().unwrap_or(0.0)
}

/// Returns the text of a settings file. JSON is valid YAML.
fn settings_yaml(it: &Settings) -> String {
    let seeds = it
        .seeds
        .iter()
        .map(|it| json!({ "name": it.name, "zone": it.zone, "peer_address": it.peer_address }));
    json!({
        "name": it.name,
        "zone": it.zone,
        "listen": it.listen,
        "public_addresses": it.public_addresses,
        "admin_listen": it.admin_listen,
        "peer_listen": it.peer_listen,
        "peer_address": it.peer_address,
        "platform_url": it.platform_url,
        "seeds": seeds.collect::<Vec<_>>(),
        "peer_tls": {
            "certificate_file": it.peer_tls.certificate_file,
            "key_file": it.peer_tls.key_file,
            "ca_file": it.peer_tls.ca_file,
        },
        "log_level": it.log_level,
    })
    .to_string()
}
