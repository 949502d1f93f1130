//! What was measured, kept as JSON.

use std::{fs, path::Path};

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// All runs of one or more series.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The runs in the order in which they were made.
    pub runs: Vec<Run>,
}

/// Sizes of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Shape {
    /// Name of the series.
    pub series: String,
    /// Entry hosts.
    pub hosts: usize,
    /// Availability zones over which they are spread.
    pub zones: usize,
    /// Zones in one region.
    pub zones_per_region: usize,
    /// Client blocks.
    pub blocks: usize,
    /// Tenants.
    pub tenants: usize,
    /// Upstream instances, spread over the zones.
    pub instances: usize,
    /// Calls that the platform serves, as a part of 2,000 reads and 400 writes a second.
    pub platform_part: f64,
}

/// What one run showed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its sizes.
    pub shape: Shape,
    /// From the start of all processes at once to the last one with a configuration.
    pub all_started_s: f64,
    /// From the start of all processes at once to every host seeing all others with its share.
    pub all_settled_s: f64,
    /// Reads, lists and watches per host until all were settled, refused ones included.
    pub start_reads_per_host: f64,
    /// Writes and announcements per host until all were settled, refused ones included.
    pub start_writes_per_host: f64,
    /// Calls refused by the platform's limits until all were settled.
    pub start_throttled: u64,
    /// Idle control of each host.
    pub idle: Vec<HostSample>,
    /// Platform calls per second while idle: reads, writes, lists, watches, host lists and
    /// announcements.
    pub idle_calls_per_s: [f64; 6],
    /// From the accepted change of one block to the last host.
    pub change_s: f64,
    /// Control bytes that a host received on average for the change, idle traffic included.
    pub change_in_bytes: f64,
    /// Most control bytes that one host sent for the change, idle traffic included.
    pub change_out_max_bytes: f64,
    /// Processor time of one host for the change on average, idle work included.
    pub change_cpu_ms: f64,
    /// Platform reads of all hosts for the change.
    pub change_reads: u64,
    /// As `change_s` with 300 ms a platform call.
    pub change_slow_s: Option<f64>,
    /// A killed host started anew without the platform, until it has the configuration.
    pub fresh_without_platform_s: Option<f64>,
    /// Hosts that may spend their main share after 15 s without the platform.
    #[serde(default)]
    pub main_share_without_platform: Option<usize>,
    /// Time to compile and install the configuration in one process, without a former one.
    pub compile_ms: f64,
    /// Size of the chunks in the platform.
    pub chunk_bytes: usize,
    /// Number of chunks.
    pub chunks: usize,
}

/// Idle control of one host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostSample {
    /// Other hosts of its zone.
    pub mates: usize,
    /// Whether it exchanges messages with other zones, told from its calls to the platform.
    pub is_speaker: bool,
    /// Processor time, 100 for a core.
    pub cpu_percent: f64,
    /// Resident memory.
    pub resident_bytes: u64,
    /// Control bytes received per second.
    pub in_bytes_per_s: f64,
    /// Control bytes sent per second.
    pub out_bytes_per_s: f64,
    /// Platform calls per second.
    pub platform_calls_per_s: f64,
}

impl Report {
    /// Reads a report, an empty one when there is none.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        if !file.exists() {
            return Ok(Self::default());
        }
        let text = fs::read_to_string(file).with_context(|| file.display().to_string())?;
        serde_json::from_str(&text).with_context(|| file.display().to_string())
    }

    /// Writes the report.
    pub fn save(&self, file: &Path) -> anyhow::Result<()> {
        let text = serde_json::to_string_pretty(self)?;
        fs::write(file, text).with_context(|| file.display().to_string())
    }

    /// The runs of a series.
    pub fn series<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs.iter().filter(move |it| it.shape.series == name)
    }
}

impl Run {
    /// Mean of a value over the hosts, 0 without hosts.
    pub fn mean(&self, value: impl Fn(&HostSample) -> f64) -> f64 {
        self.idle.iter().map(value).sum::<f64>() / self.idle.len().max(1) as f64
    }

    /// Largest of a value over the hosts.
    pub fn max(&self, value: impl Fn(&HostSample) -> f64) -> f64 {
        self.idle.iter().map(value).fold(0.0, f64::max)
    }
}
