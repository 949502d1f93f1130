//! Results of measurements, stored as JSON.

use std::{fs, path::Path};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// Results of all runs of one or more series.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Runs in the order in which they were measured.
    pub runs: Vec<Run>,
}

/// Size of the deployment in one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Name of the series that the run belongs to.
    pub series: String,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of availability zones over which the hosts are spread.
    pub zones: usize,
    /// Maximum number of zones in one region.
    pub zones_per_region: usize,
    /// Number of client blocks, each a network of 256 addresses.
    pub blocks: usize,
    /// Number of declared teams.
    #[serde(rename = "tenants")]
    pub teams: usize,
    /// Number of upstream instances, spread over the zones.
    pub instances: usize,
    /// Rate limit of the platform stand-in, as a fraction of 2,000 reads and 400 writes per second.
    pub platform_part: f64,
}

/// Results of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Size of the deployment.
    pub shape: Shape,
    /// Time from the start of all processes at once until the last one has a configuration.
    pub all_started_s: f64,
    /// Time from the start of all processes at once until every host counts all others as live and
    /// may use its main share.
    pub all_settled_s: f64,
    /// Mean number of reads, lists and watches per host until all hosts had settled, including
    /// refused calls.
    pub start_reads_per_host: f64,
    /// Mean number of writes and announcements per host until all hosts had settled, including
    /// refused calls.
    pub start_writes_per_host: f64,
    /// Number of calls refused by the rate limits of the platform until all hosts had settled.
    pub start_throttled: u64,
    /// Resource usage of each host while idle.
    pub idle: Vec<HostSample>,
    /// Platform calls of all hosts per second while idle: reads, writes, lists, watches, host lists
    /// and announcements.
    pub idle_calls_per_s: [f64; 6],
    /// Time from the accepted change of one block until the change is active on the last host.
    pub change_s: f64,
    /// Mean control traffic that a host received during the change window of at least 6 s,
    /// including idle traffic.
    pub change_in_bytes: f64,
    /// Maximum control traffic that one host sent during the change window of at least 6 s,
    /// including idle traffic.
    pub change_out_max_bytes: f64,
    /// Mean processor time of a host during the change window of at least 6 s, including idle work.
    pub change_cpu_ms: f64,
    /// Number of platform reads of all hosts during the change window of at least 6 s.
    pub change_reads: u64,
    /// Same as `change_s`, while each platform call is delayed by 300 ms.
    pub change_slow_s: Option<f64>,
    /// Time from the restart of a killed host until it has the configuration, while the platform is
    /// unavailable.
    pub fresh_without_platform_s: Option<f64>,
    /// Number of hosts that may use their main share after 15 s without the platform.
    #[serde(default)]
    pub main_share_without_platform: Option<usize>,
    /// Time to assemble, compile and install the configuration in an engine without a previous one.
    pub compile_ms: f64,
    /// Total size of the chunks of the configuration.
    pub chunk_bytes: usize,
    /// Number of chunks of the configuration.
    pub chunks: usize,
}

/// Resource usage of one idle host, which receives no requests of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostSample {
    /// Number of other hosts in the zone of the host.
    pub mates: usize,
    /// Whether the host exchanges messages with other zones, derived from its rate of platform
    /// calls.
    pub is_speaker: bool,
    /// Processor time in percent of one core.
    pub cpu_percent: f64,
    /// Size of resident memory at the end of the measurement.
    pub resident_bytes: u64,
    /// Rate of received control traffic.
    pub in_bytes_per_s: f64,
    /// Rate of sent control traffic.
    pub out_bytes_per_s: f64,
    /// Rate of platform calls as counted by the host.
    pub platform_calls_per_s: f64,
}

impl Report {
    /// Reads a report from a JSON file. Returns an empty report if the file does not exist, and an
    /// error if the file cannot be read or decoded.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        if !file.exists() {
            return Ok(Self::default());
        }
        let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
        serde_json::from_str(&text).with_context(|| file.display().to_string())
    }

    /// Writes the report to a JSON file, which is overwritten.
    pub fn save(&self, file: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(self)?;
        fs::write(file, text).with_context(|| file.display().to_string())
    }

    /// Returns the runs of the series `name`.
    pub fn series<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |it| it.shape.series == name)
    }
}

impl Run {
    /// Returns the mean of a value over the idle hosts, or 0 without hosts.
    pub fn mean(&self, value: impl Fn(&HostSample) -> f64) -> f64 {
        self.idle.iter().map(value).sum::<f64>() / self.idle.len().max(1) as f64
    }

    /// Returns the maximum of a value over the idle hosts, or 0 without hosts.
    pub fn max(&self, value: impl Fn(&HostSample) -> f64) -> f64 {
        self.idle.iter().map(value).fold(0.0, f64::max)
    }
}
