//! The marked tables of the capacity page.

use std::{fmt::Write as _, fs, path::Path};

use anyhow::{Context as _, ensure};

use crate::{
    fit::non_negative_least_squares,
    report::{HostSample, Report, Run, Shape},
};

/// Other hosts of a zone at the target, 550 hosts over 25 zones.
const TARGET_MATES: f64 = 21.0;

/// Hosts at the target.
const TARGET_HOSTS: f64 = 550.0;

/// Speakers of other zones at the target, two for each of 24.
const TARGET_REMOTE: f64 = 48.0;

/// Instances of a region at the target with 20 in each of 150 sites over 7 regions.
const TARGET_REGION_INSTANCES: f64 = 150.0 * 20.0 / 7.0;

/// Hosts of a region at the target.
const TARGET_REGION_HOSTS: f64 = 550.0 / 7.0;

/// Time between two refreshes of a host's share that all other owners confirm.
const CONFIRMED_REFRESH_S: f64 = 60.0;

/// The same when some owner exchanges no heartbeats with the host and so confirms nothing.
const UNCONFIRMED_REFRESH_S: f64 = 3.0;

/// A figure with the value of one host.
type Figure = (&'static str, fn(&HostSample) -> f64);

/// Replaces every marked table of a page.
pub fn write_page(page: &Path, report: &Report) -> anyhow::Result<()> {
    let mut text = fs::read_to_string(page).with_context(|| page.display().to_string())?;
    let sections = [
        ("today", hosts_table(report, "today")),
        ("zones", hosts_table(report, "zones")),
        ("blocks", blocks_table(report)),
        ("tenants", sizes_table(report, "tenants", |it| it.shape.tenants)),
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

/// Replaces what stands between the markers of a name.
pub fn replace_section(text: &str, name: &str, table: &str) -> anyhow::Result<String> {
    let begin = format!("<!-- measured:begin {name} -->");
    let end = format!("<!-- measured:end {name} -->");
    let (head, rest) = text
        .split_once(&begin)
        .with_context(|| format!("the page has no `{begin}` (hint: add it and `{end}`)"))?;
    let at = rest.find(&end).with_context(|| format!("the page has no `{end}`"))?;
    ensure!(!rest[..at].contains("<!-- measured:begin"), "a marker stands inside `{begin}`");
    Ok(format!("{head}{begin}\n\n{}\n\n{}", table.trim_end(), &rest[at..]))
}

/// Idle control and changes over the number of hosts.
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
            mean_and_most(it, |it| it.in_bytes_per_s / 1e3),
            mean_and_most(it, |it| it.out_bytes_per_s / 1e3),
            it.change_s,
            optional(it.change_slow_s),
            optional(it.fresh_without_platform_s),
            it.main_share_without_platform.map_or_else(|| "-".to_owned(), |it| it.to_string()),
            it.all_settled_s,
        );
    }
    res
}

/// Memory, compile time and the cost of one changed block.
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
            optional(it.change_slow_s),
            optional(it.fresh_without_platform_s),
        );
    }
    res
}

/// Idle control over another size.
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
            mean_and_most(it, |it| it.cpu_percent),
            it.max(|it| it.resident_bytes as f64) / 1e6,
            mean_and_most(it, |it| it.in_bytes_per_s / 1e3),
            mean_and_most(it, |it| it.out_bytes_per_s / 1e3),
            it.change_s,
        );
    }
    res
}

/// Calls to the platform while idle.
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

/// The start of all processes at once.
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

/// Slopes and the values at the target.
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
        let runs = report.runs.iter().filter(|it| it.shape.blocks < 1_000 && it.shape.tenants == 8);
        for run in runs {
            for host in &run.idle {
                // Errors grow with the value, so relative ones are minimised; otherwise the largest
                // runs alone would determine the small slopes.
                let weight = 1.0 / value(host).max(1e-3);
                rows.push(sizes(&run.shape, host).map(|it| it * weight).to_vec());
                values.push(value(host) * weight);
            }
        }
        let slopes = non_negative_least_squares(&rows, &values);
        if slopes.is_empty() {
            continue;
        }
        let at = |remote: f64, records_per_s: f64| {
            let sizes = [
                1.0,
                TARGET_MATES,
                remote,
                TARGET_REGION_HOSTS - 1.0,
                TARGET_REGION_INSTANCES,
                records_per_s,
            ];
            sizes.iter().zip(&slopes).map(|(size, slope)| size * slope).sum::<f64>()
        };
        let whole = TARGET_HOSTS * TARGET_HOSTS / UNCONFIRMED_REFRESH_S;
        let zone = (TARGET_MATES + 1.0).powi(2) / CONFIRMED_REFRESH_S;
        let slopes: Vec<String> = slopes.iter().map(|it| format!("{it:.4}")).collect();
        let _ = writeln!(
            res,
            "| {name} | {} | {:.1} / {:.1} | {:.1} / {:.1} |",
            slopes.join(" | "),
            at(0.0, whole),
            at(TARGET_REMOTE, whole),
            at(0.0, zone),
            at(TARGET_REMOTE, zone),
        );
    }
    let _ = writeln!(
        res,
        "\nTarget: {TARGET_MATES} other hosts in the zone, {TARGET_REMOTE} speakers of other zones, \
         {TARGET_REGION_HOSTS:.0} hosts and {TARGET_REGION_INSTANCES:.0} instances in the region.",
    );
    res
}

/// The sizes on which the cost of one host depends, in the order of the fit's columns.
fn sizes(shape: &Shape, host: &HostSample) -> [f64; 6] {
    let hosts = shape.hosts as f64;
    let regions = shape.zones.div_ceil(shape.zones_per_region) as f64;
    let remote = if host.is_speaker { 2.0 * (shape.zones as f64 - 1.0) } else { 0.0 };
    // Hosts that hear each other confirm each other's refreshes.
    let is_mesh = shape.zones == 1 || shape.hosts <= 2 * shape.zones;
    let refresh_s = if is_mesh { CONFIRMED_REFRESH_S } else { UNCONFIRMED_REFRESH_S };
    [
        1.0,
        host.mates as f64,
        remote,
        hosts / regions - 1.0,
        shape.instances as f64 / regions,
        hosts * hosts / refresh_s,
    ]
}

/// Mean and largest value over the hosts.
fn mean_and_most(run: &Run, value: impl Fn(&HostSample) -> f64) -> String {
    format!("{:.2} / {:.2}", run.mean(&value), run.max(&value))
}

/// A time that was not measured in each run.
fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| format!("{it:.2}"))
}
