//! The series of runs.

use std::{path::Path, time::Duration};

use crate::{
    report::{Report, Shape},
    run::run,
};

/// Zones of today's deployments.
const ZONES_TODAY: usize = 6;

/// Hosts of a zone in the series over zones.
const HOSTS_PER_ZONE: usize = 8;

/// Hosts of a zone at the target, 550 over 25 zones.
const TARGET_HOSTS_PER_ZONE: usize = 22;

/// Zones at the target.
const TARGET_ZONES: f64 = 25.0;

/// Blocks of runs in which their number does not matter.
const FEW_BLOCKS: usize = 150;

/// Upstream instances of each company today.
const INSTANCES_TODAY: usize = 40;

/// Runs the named series, all without names, and adds them to the report, in which they replace
/// former runs of the same series; the report is written after each run.
pub async fn measure(
    hosts: &[usize],
    names: Option<&[String]>,
    idle_s: u64,
    file: &Path,
) -> anyhow::Result<Report> {
    let wanted = |it: &str| names.is_none_or(|names| names.iter().any(|name| name == it));
    let shapes: Vec<Shape> = shapes(hosts).into_iter().filter(|it| wanted(&it.series)).collect();
    let mut report = Report::load(file)?;
    report.runs.retain(|it| !shapes.iter().any(|shape| shape.series == it.shape.series));
    for shape in shapes {
        eprintln!(
            "{}: {} hosts in {} zones, {} blocks, {} tenants, {} instances",
            shape.series, shape.hosts, shape.zones, shape.blocks, shape.tenants, shape.instances,
        );
        let faults = shape.series == "today" || shape.series == "blocks";
        match run(&shape, Duration::from_secs(idle_s), faults).await {
            Ok(it) => report.runs.push(it),
            // The other sizes still count; the page shows which are missing.
            Err(error) => eprintln!("  failed: {error:#}"),
        }
        report.save(file)?;
    }
    Ok(report)
}

/// The sizes of all series.
fn shapes(hosts: &[usize]) -> Vec<Shape> {
    let base = |series: &str, hosts: usize, zones: usize| Shape {
        series: series.to_owned(),
        hosts,
        zones,
        zones_per_region: 2,
        blocks: FEW_BLOCKS,
        tenants: 8,
        instances: INSTANCES_TODAY,
        platform_part: 1.0,
    };
    let mut res = Vec::new();
    for &count in hosts {
        res.push(base("today", count, ZONES_TODAY));
    }
    for &count in hosts {
        let zones = count.div_ceil(HOSTS_PER_ZONE);
        res.push(Shape { zones_per_region: 4, ..base("zones", count, zones) });
    }
    for blocks in [10_000, 40_000, 160_000] {
        res.push(Shape { blocks, ..base("blocks", HOSTS_PER_ZONE, 1) });
    }
    for tenants in [8, 64, 512] {
        res.push(Shape { tenants, ..base("tenants", HOSTS_PER_ZONE, 1) });
    }
    for instances in [0, 160, 640] {
        res.push(Shape { instances, ..base("instances", HOSTS_PER_ZONE, 1) });
    }
    // One zone of the target with its part of the platform's calls, all processes at once.
    res.push(Shape {
        blocks: 160_000,
        platform_part: 1.0 / TARGET_ZONES,
        ..base("start", TARGET_HOSTS_PER_ZONE, 1)
    });
    res
}
