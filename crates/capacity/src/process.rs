//! An entry process and what it costs.

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

/// Ticks of processor time in a second, fixed by the kernel's interface for all architectures.
const TICKS_PER_S: f64 = 100.0;

/// A running entry process; dropping it ends it.
pub(crate) struct EntryProcess {
    /// The process.
    child: Child,
    /// Where the status is served.
    admin: SocketAddr,
}

/// Costs of a process since its start.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Costs {
    /// Processor time.
    pub(crate) cpu_s: f64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
    /// Control bytes received.
    pub(crate) in_bytes: f64,
    /// Control bytes sent.
    pub(crate) out_bytes: f64,
    /// Platform calls.
    pub(crate) platform_calls: f64,
}

impl EntryProcess {
    /// Starts a process with its files in a folder.
    pub(crate) fn start(folder: &Path, settings: &Settings) -> anyhow::Result<Self> {
        let program = env::current_exe()?.with_file_name("kingcupford-entry");
        ensure!(
            program.exists(),
            "{} is missing (hint: cargo build --release -p kingcupford-entry)",
            program.display(),
        );
        let file = folder.join(format!("{}.yaml", settings.name));
        fs::write(&file, settings_text(settings))?;
        let log = log_file(folder, &settings.name);
        let child = Command::new(program)
            .arg("--settings")
            .arg(file)
            .stdout(Stdio::null())
            .stderr(File::create(log)?)
            .spawn()?;
        Ok(Self { child, admin: settings.admin_listen })
    }

    /// What operators see.
    pub(crate) async fn status(&self, client: &Client) -> anyhow::Result<Value> {
        let url = format!("http://{}/status", self.admin);
        Ok(client.get(url).send().await?.json().await?)
    }

    /// Costs since the start.
    pub(crate) async fn costs(&self, client: &Client) -> anyhow::Result<Costs> {
        let id = self.child.id();
        let stat = fs::read_to_string(format!("/proc/{id}/stat"))?;
        // The second field is the program's name in parentheses and may hold spaces.
        let rest = stat.rsplit_once(')').context("no end of the name")?.1;
        let fields: Vec<&str> = rest.split_whitespace().collect();
        let ticks = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        let status = fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find(|it| it.starts_with("VmRSS:")).context("no VmRSS")?;
        let kib: u64 = line.split_whitespace().nth(1).context("no value")?.parse()?;
        let url = format!("http://{}/metrics", self.admin);
        let metrics = client.get(url).send().await?.text().await?;
        Ok(Costs {
            cpu_s: ticks / TICKS_PER_S,
            resident_bytes: kib * 1024,
            in_bytes: metric(&metrics, "kingcupford_control_traffic_bytes_total{direction=\"in\"}"),
            out_bytes: metric(
                &metrics,
                "kingcupford_control_traffic_bytes_total{direction=\"out\"}",
            ),
            platform_calls: metric(&metrics, "kingcupford_platform_calls_total"),
        })
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A client for many short calls to loopback addresses.
pub(crate) fn client() -> anyhow::Result<Client> {
    Ok(Client::builder().no_proxy().timeout(Duration::from_secs(5)).build()?)
}

/// Where the log of a host is written.
pub(crate) fn log_file(folder: &Path, host: &str) -> PathBuf {
    folder.join(format!("{host}.log"))
}

/// Value of a sample, 0 when it was never counted.
fn metric(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter_map(|it| it.strip_prefix(name));
    lines.filter_map(|it| it.trim().parse().ok()).next().unwrap_or(0.0)
}

/// Settings as the text of a file; JSON is valid YAML.
fn settings_text(it: &Settings) -> String {
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
