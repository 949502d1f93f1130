//! The marked tables of the capacity page.

use std::{fmt::Write as _, fs, path::Path};

use anyhow::{Context as _, ensure};

use crate::{
    fit::least_squares,
    report::{HostSample, Report, Run},
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
        "| hosts | zones | processor % mean / most | memory MB | in KB/s mean / most | out KB/s mean / most | change s | platform slow s | fresh without platform s | all at once s |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for it in report.series(series) {
        let _ = writeln!(
            res,
            "| {} | {} | {:.2} / {:.2} | {:.1} | {} | {} | {:.2} | {} | {} | {:.1} |",
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
        "| figure | fixed | per host of the zone | per speaker of another zone | per (host of the fleet)² | per instance of the region | non-speaker at the target | speaker at the target |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let figures: [(&str, fn(&HostSample) -> f64); 4] = [
        ("processor %", |it| it.cpu_percent),
        ("memory MB, few blocks", |it| it.resident_bytes as f64 / 1e6),
        ("in KB/s", |it| it.in_bytes_per_s / 1e3),
        ("out KB/s", |it| it.out_bytes_per_s / 1e3),
    ];
    for (name, value) in figures {
        // What a host sends of reports goes to all hosts of the region, what it receives comes
        // from the two readers of each instance.
        let reports = |run: &Run| {
            let regions = run.shape.zones.div_ceil(run.shape.zones_per_region) as f64;
            run.shape.instances as f64 / regions
        };
        let (mut rows, mut values) = (Vec::new(), Vec::new());
        let runs = report.runs.iter().filter(|it| it.shape.blocks < 1_000 && it.shape.tenants == 8);
        for run in runs {
            let hosts = run.shape.hosts as f64;
            for host in &run.idle {
                let remote =
                    if host.is_speaker { 2.0 * (run.shape.zones as f64 - 1.0) } else { 0.0 };
                rows.push(vec![1.0, host.mates as f64, remote, hosts * hosts, reports(run)]);
                values.push(value(host));
            }
        }
        let slopes = least_squares(&rows, &values);
        if slopes.len() != 5 {
            continue;
        }
        let at = |remote: f64| {
            let sizes =
                [1.0, TARGET_MATES, remote, TARGET_HOSTS * TARGET_HOSTS, TARGET_REGION_INSTANCES];
            sizes.iter().zip(&slopes).map(|(size, slope)| size * slope).sum::<f64>()
        };
        let _ = writeln!(
            res,
            "| {name} | {:.3} | {:.4} | {:.4} | {:.2e} | {:.4} | {:.1} | {:.1} |",
            slopes[0],
            slopes[1],
            slopes[2],
            slopes[3],
            slopes[4],
            at(0.0),
            at(TARGET_REMOTE),
        );
    }
    let _ = writeln!(
        res,
        "\nTarget: {TARGET_MATES} other hosts in the zone, {TARGET_REMOTE} speakers of other zones, \
         {TARGET_REGION_HOSTS:.0} hosts and {TARGET_REGION_INSTANCES:.0} instances in the region.",
    );
    res
}

/// Mean and largest value over the hosts.
fn mean_and_most(run: &Run, value: impl Fn(&HostSample) -> f64) -> String {
    format!("{:.2} / {:.2}", run.mean(&value), run.max(&value))
}

/// A time that was not measured in each run.
fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| format!("{it:.2}"))
}
