//! Series of runs, most of which vary one size.

use std::{path::Path, time::Duration};

use crate::{
    report::{Report, Shape},
    run::run,
};

/// Number of zones of today's deployments.
const ZONES_TODAY: usize = 6;

/// Number of hosts per zone in the series over zones, and in the single-zone series over blocks,
/// teams and instances.
const HOSTS_PER_ZONE: usize = 8;

/// Number of hosts per zone at the target size, 550 hosts in 25 zones.
const TARGET_HOSTS_PER_ZONE: usize = 22;

const TARGET_ZONES: f64 = 25.0;

/// Number of blocks in runs for which the number of blocks does not matter.
const BASE_BLOCKS: usize = 150;

/// Number of upstream instances of each company today.
const INSTANCES_TODAY: usize = 40;

/// Runs the series with the given names, or all series for `None`, and returns the report with
/// their results. `host_counts` are the numbers of hosts of the runs of the series `today` and
/// `zones`, and `idle_s` is the time for which idle hosts are measured.
///
/// The report is read from `report_file`, the runs of the same series in the report are replaced,
/// and the file is written after each run. The error of a failed run is printed and the run is left
/// out.
pub async fn measure(
    host_counts: &[usize],
    series_names: Option<&[String]>,
    idle_s: u64,
    report_file: &Path,
) -> anyhow::Result<Report> {
    let is_selected =
        |series: &str| series_names.is_none_or(|names| names.iter().any(|it| it == series));
    let shapes: Vec<Shape> =
        shapes(host_counts).into_iter().filter(|it| is_selected(&it.series)).collect();
    let mut report = Report::load(report_file)?;
    report.runs.retain(|it| !shapes.iter().any(|shape| shape.series == it.shape.series));
    for shape in shapes {
        eprintln!(
            "{}: {} hosts in {} zones, {} blocks, {} teams, {} instances",
            shape.series, shape.hosts, shape.zones, shape.blocks, shape.teams, shape.instances,
        );
        let with_faults = shape.series == "today" || shape.series == "blocks";
        match run(&shape, Duration::from_secs(idle_s), with_faults).await {
            Ok(it) => report.runs.push(it),
            // Runs of the other sizes are still valid; the page shows which runs are missing.
            Err(error) => eprintln!("  run failed: {error:#}"),
        }
        report.save(report_file)?;
    }
    Ok(report)
}

/// Returns the sizes of the runs of all series.
fn shapes(host_counts: &[usize]) -> Vec<Shape> {
    let base_shape = |series: &str, hosts: usize, zones: usize| Shape {
        series: series.to_owned(),
        hosts,
        zones,
        zones_per_region: 2,
        blocks: BASE_BLOCKS,
        teams: 8,
        instances: INSTANCES_TODAY,
        platform_part: 1.0,
    };
    let mut res = Vec::new();
    for &hosts in host_counts {
        res.push(base_shape("today", hosts, ZONES_TODAY));
    }
    for &hosts in host_counts {
        let zones = hosts.div_ceil(HOSTS_PER_ZONE);
        res.push(Shape { zones_per_region: 4, ..base_shape("zones", hosts, zones) });
    }
    for blocks in [10_000, 40_000, 160_000] {
        res.push(Shape { blocks, ..base_shape("blocks", HOSTS_PER_ZONE, 1) });
    }
    for teams in [8, 64, 512] {
        res.push(Shape { teams, ..base_shape("tenants", HOSTS_PER_ZONE, 1) });
    }
    for instances in [0, 160, 640] {
        res.push(Shape { instances, ..base_shape("instances", HOSTS_PER_ZONE, 1) });
    }
    // Starts all hosts of one zone of the target size at once, with one zone's share of the
    // platform's rate limits.
    res.push(Shape {
        blocks: 160_000,
        platform_part: 1.0 / TARGET_ZONES,
        ..base_shape("start", TARGET_HOSTS_PER_ZONE, 1)
    });
    res
}
