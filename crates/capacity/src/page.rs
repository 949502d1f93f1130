//! Tables of the capacity page, which stand between markers.

use std::{fmt::Write as _, fs, path::Path};

use anyhow::{Context as _, ensure};

use crate::{
    fit::non_negative_least_squares,
    report::{HostSample, Report, Run, Shape},
};

/// Number of other hosts in the zone of a host at the target size, 550 hosts in 25 zones.
const TARGET_ZONE_PEERS: f64 = 21.0;

const TARGET_HOSTS: f64 = 550.0;

/// Number of speakers of other zones at the target size, two in each of 24 zones.
const TARGET_REMOTE_SPEAKERS: f64 = 48.0;

/// Mean number of instances in a region at the target size, 20 in each of 150 sites in 7 regions.
const TARGET_REGION_INSTANCES: f64 = 150.0 * 20.0 / 7.0;

/// Mean number of hosts in a region at the target size.
const TARGET_REGION_HOSTS: f64 = 550.0 / 7.0;

/// Interval at which a host refreshes its lease in the platform while all other share holders
/// confirm its heartbeats.
const CONFIRMED_REFRESH_S: f64 = 60.0;

/// Interval at which a host refreshes its lease in the platform while some share holder exchanges
/// no heartbeats with the host and therefore confirms none.
const UNCONFIRMED_REFRESH_S: f64 = 3.0;

/// Name of a figure and its value for one host.
type Figure = (&'static str, fn(&HostSample) -> f64);

/// Replaces every marked table of the page in the given file. Returns an error if a marker is
/// missing.
pub fn write_page(page: &Path, report: &Report) -> anyhow::Result<()> {
    let mut text = fs::read_to_string(page).with_context(|| page.display().to_string())?;
    let sections = [
        ("today", hosts_table(report, "today")),
        ("zones", hosts_table(report, "zones")),
        ("blocks", blocks_table(report)),
        ("tenants", sizes_table(report, "tenants", |it| it.shape.teams)),
        ("instances", sizes_table(report, "instances", |it| it.shape.instances)),
        ("platform", platform_table(report)),
        ("start", start_table(report)),
        ("fit", fit_table(report)),
    ];
    for (name, table) in sections {
        text = replace_section(&text, name, &table)?;
    }
    fs::write(page, text).with_context(|| page.display().to_string())
}

/// Returns `text` with the text between the markers of section `name` replaced by `table`. Returns
/// an error if a marker is missing or a begin marker of another section lies in between.
pub fn replace_section(text: &str, name: &str, table: &str) -> anyhow::Result<String> {
    let begin = format!("<!-- measured:begin {name} -->");
    let end = format!("<!-- measured:end {name} -->");
    let (before, rest) = text
        .split_once(&begin)
        .with_context(|| format!("the page has no `{begin}` (hint: add it and `{end}`)"))?;
    let end_offset = rest.find(&end).with_context(|| format!("the page has no `{end}`"))?;
    ensure!(
        !rest[..end_offset].contains("<!-- measured:begin"),
        "the page has another begin marker before `{end}`"
    );
    Ok(format!("{before}{begin}\n\n{}\n\n{}", table.trim_end(), &rest[end_offset..]))
}

/// Returns the table of idle cost, configuration changes and platform faults by number of hosts.
fn hosts_table(report: &Report, series: &str) -> String {
    let mut res = String::from(
        "| hosts | zones | processor % mean / most | memory MB | in KB/s mean / most | out KB/s mean / most | change s | platform slow s | fresh without platform s | main shares after 15 s without platform | all at once s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in report.series(series) {
        let _ = writeln!(
            res,
            "| {} | {} | {:.2} / {:.2} | {:.1} | {} | {} | {:.2} | {} | {} | {} | {:.1} |",
            it.shape.hosts,
            it.shape.zones,
            it.mean(|it| it.cpu_percent),
            it.max(|it| it.cpu_percent),
            it.max(|it| it.resident_bytes as f64) / 1e6,
            mean_and_max(it, |it| it.in_bytes_per_s / 1e3),
            mean_and_max(it, |it| it.out_bytes_per_s / 1e3),
            it.change_s,
            format_optional(it.change_slow_s),
            format_optional(it.fresh_without_platform_s),
            it.main_share_without_platform.map_or_else(|| "-".to_owned(), |it| it.to_string()),
            it.all_settled_s,
        );
    }
    res
}

/// Returns the table of memory, compile time and the cost of one changed block by number of blocks.
fn blocks_table(report: &Report) -> String {
    let mut res = String::from(
        "| blocks | chunks | MB of chunks | memory MB | compile and install ms | change s | KB in per host in 6 s | most KB out in 6 s | processor ms per host in 6 s | platform reads | platform slow s | fresh without platform s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in report.series("blocks") {
        let _ = writeln!(
            res,
            "| {} | {} | {:.2} | {:.1} | {:.0} | {:.2} | {:.0} | {:.0} | {:.0} | {} | {} | {} |",
            it.shape.blocks,
            it.chunks,
            it.chunk_bytes as f64 / 1e6,
            it.max(|it| it.resident_bytes as f64) / 1e6,
            it.compile_ms,
            it.change_s,
            it.change_in_bytes / 1e3,
            it.change_out_max_bytes / 1e3,
            it.change_cpu_ms,
            it.change_reads,
            format_optional(it.change_slow_s),
            format_optional(it.fresh_without_platform_s),
        );
    }
    res
}

/// Returns the table of idle cost by the size that `series` varies.
fn sizes_table(report: &Report, series: &str, size: impl Fn(&Run) -> usize) -> String {
    let mut res = format!(
        "| {series} | processor % mean / most | memory MB | in KB/s mean / most | out KB/s mean / most | change s |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in report.series(series) {
        let _ = writeln!(
            res,
            "| {} | {} | {:.1} | {} | {} | {:.2} |",
            size(it),
            mean_and_max(it, |it| it.cpu_percent),
            it.max(|it| it.resident_bytes as f64) / 1e6,
            mean_and_max(it, |it| it.in_bytes_per_s / 1e3),
            mean_and_max(it, |it| it.out_bytes_per_s / 1e3),
            it.change_s,
        );
    }
    res
}

/// Returns the table of platform calls by all hosts while idle.
fn platform_table(report: &Report) -> String {
    let mut res = String::from(
        "| series | hosts | zones | reads/s | writes/s | lists/s | watches/s | host lists/s | announcements/s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in report.series("today").chain(report.series("zones")) {
        let calls: Vec<String> = it.idle_calls_per_s.iter().map(|it| format!("{it:.2}")).collect();
        let shape = &it.shape;
        let _ = writeln!(
            res,
            "| {} | {} | {} | {} |",
            shape.series,
            shape.hosts,
            shape.zones,
            calls.join(" | "),
        );
    }
    res
}

/// Returns the table of starting all processes at once.
fn start_table(report: &Report) -> String {
    let mut res = String::from(
        "| series | hosts | blocks | platform reads/s | all have a configuration s | all settled s | reads per host | writes per host | refused calls |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in &report.runs {
        let _ = writeln!(
            res,
            "| {} | {} | {} | {:.0} | {:.1} | {:.1} | {:.1} | {:.1} | {} |",
            it.shape.series,
            it.shape.hosts,
            it.shape.blocks,
            it.shape.platform_part * 2_000.0,
            it.all_started_s,
            it.all_settled_s,
            it.start_reads_per_host,
            it.start_writes_per_host,
            it.start_throttled,
        );
    }
    res
}

/// Returns the table of fitted coefficients and the figures that they predict at the target size.
fn fit_table(report: &Report) -> String {
    let mut res = String::from(
        "| figure | fixed | per other host of the zone | per speaker of another zone | per other host of the region | per instance of the region | per ledger record received a second | target, plain host / speaker | the same with a ledger for each zone |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let figures: [Figure; 4] = [
        ("processor %", |it| it.cpu_percent),
        ("memory MB, few blocks", |it| it.resident_bytes as f64 / 1e6),
        ("in KB/s", |it| it.in_bytes_per_s / 1e3),
        ("out KB/s", |it| it.out_bytes_per_s / 1e3),
    ];
    for (name, value) in figures {
        let (mut rows, mut values) = (Vec::new(), Vec::new());
        let runs = report.runs.iter().filter(|it| it.shape.blocks < 1_000 && it.shape.teams == 8);
        for run in runs {
            for host in &run.idle {
                // Measurement errors grow with the value, so relative errors are minimized. With
                // absolute errors the largest runs alone would determine small coefficients.
                let weight = 1.0 / value(host).max(1e-3);
                rows.push(predictors(&run.shape, host).map(|it| it * weight).to_vec());
                values.push(value(host) * weight);
            }
        }
        let coefficients = non_negative_least_squares(&rows, &values);
        if coefficients.is_empty() {
            continue;
        }
        let predict_at_target = |remote_speakers: f64, records_per_s: f64| {
            let predictors = [
                1.0,
                TARGET_ZONE_PEERS,
                remote_speakers,
                TARGET_REGION_HOSTS - 1.0,
                TARGET_REGION_INSTANCES,
                records_per_s,
            ];
            predictors
                .iter()
                .zip(&coefficients)
                .map(|(predictor, coefficient)| predictor * coefficient)
                .sum::<f64>()
        };
        let fleet_records_per_s = TARGET_HOSTS * TARGET_HOSTS / UNCONFIRMED_REFRESH_S;
        let zone_records_per_s = (TARGET_ZONE_PEERS + 1.0).powi(2) / CONFIRMED_REFRESH_S;
        let columns: Vec<String> = coefficients.iter().map(|it| format!("{it:.4}")).collect();
        let _ = writeln!(
            res,
            "| {name} | {} | {:.1} / {:.1} | {:.1} / {:.1} |",
            columns.join(" | "),
            predict_at_target(0.0, fleet_records_per_s),
            predict_at_target(TARGET_REMOTE_SPEAKERS, fleet_records_per_s),
            predict_at_target(0.0, zone_records_per_s),
            predict_at_target(TARGET_REMOTE_SPEAKERS, zone_records_per_s),
        );
    }
    let _ = writeln!(
        res,
        "\nTarget: {TARGET_ZONE_PEERS} other hosts in the zone, {TARGET_REMOTE_SPEAKERS} speakers \
         of other zones, {TARGET_REGION_HOSTS:.0} hosts and {TARGET_REGION_INSTANCES:.0} \
         instances in the region.",
    );
    res
}

/// Returns the sizes on which the cost of one host depends: 1 for the fixed cost, other hosts of
/// the zone, speakers of other zones, other hosts and instances of the region, and ledger records
/// received per second.
fn predictors(shape: &Shape, host: &HostSample) -> [f64; 6] {
    let hosts = shape.hosts as f64;
    let regions = shape.zones.div_ceil(shape.zones_per_region) as f64;
    let remote_speakers = if host.is_speaker { 2.0 * (shape.zones as f64 - 1.0) } else { 0.0 };
    // Hosts confirm heartbeats only to hosts with which they exchange them. All pairs of hosts do so
    // in a single zone, and also if no zone has more than two hosts, because all hosts are speakers
    // then.
    let is_full_mesh = shape.zones == 1 || shape.hosts <= 2 * shape.zones;
    let refresh_s = if is_full_mesh { CONFIRMED_REFRESH_S } else { UNCONFIRMED_REFRESH_S };
    [
        1.0,
        host.mates as f64,
        remote_speakers,
        hosts / regions - 1.0,
        shape.instances as f64 / regions,
        // The model is that each refresh of a host sends the ledger with a record per host to all
        // hosts.
        hosts * hosts / refresh_s,
    ]
}

/// Formats the mean and the maximum of a value over the hosts of a run.
fn mean_and_max(run: &Run, value: impl Fn(&HostSample) -> f64) -> String {
    format!("{:.2} / {:.2}", run.mean(&value), run.max(&value))
}

/// Formats a time in seconds, or `-` if the run did not measure the time.
fn format_optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| format!("{it:.2}"))
}
