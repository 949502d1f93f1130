//! A small deployment for tests: three regions of two zones each, one service with one version.

use std::fmt::Write as _;

use kingcupford_config::{ConfigVersion, Declarations, InstanceId, Snapshot};
use proptest::test_runner::{Config, RngSeed};

/// Region names; `north` has the lowest latency to the other two.
pub(crate) const REGIONS: [&str; 3] = ["north", "west", "east"];

/// Compiles the deployment with `per_zone` instances of 4 slots in each zone, except the instances
/// in `removed`; the instances in `drained` are drained.
pub(crate) fn snapshot(
    per_zone: usize,
    removed: &[&str],
    drained: &[&str],
    previous: Option<&Snapshot>,
) -> Snapshot {
    let mut yaml = "regions:\n".to_owned();
    for region in REGIONS {
        writeln!(yaml, "  - {{ name: {region}, zones: [{region}-1, {region}-2] }}").unwrap();
    }
    yaml += "links:
  - { between: [north, west], latency_ms: 50, capacity_mbit_per_s: 4000 }
  - { between: [north, east], latency_ms: 20, capacity_mbit_per_s: 4000 }
  - { between: [west, east], latency_ms: 60, capacity_mbit_per_s: 4000 }
sites:\n";
    let zones: Vec<_> =
        REGIONS.iter().flat_map(|it| [format!("{it}-1"), format!("{it}-2")]).collect();
    for zone in &zones {
        writeln!(yaml, "  - {{ name: site-{zone}, zone: {zone} }}").unwrap();
    }
    yaml += "services:
  - name: shop
    active_version: v1
    routes: [{ path_prefix: /, timeout_ms: 1000 }]
    versions:
      - name: v1
        instances:\n";
    for zone in &zones {
        for index in 0..per_zone {
            let name = format!("{zone}-{index}");
            if removed.contains(&name.as_str()) {
                continue;
            }
            let port = 1000 + index;
            writeln!(
                yaml,
                "          - {{ name: {name}, site: site-{zone}, address: \"127.0.0.1:{port}\", slots: 4 }}"
            )
            .unwrap();
        }
    }
    yaml += "presets:\n  - name: day\n    drains:\n";
    for name in drained {
        writeln!(yaml, "      - {{ target: instance, name: {name} }}").unwrap();
    }
    if drained.is_empty() {
        yaml += "      []\n";
    }
    let declarations = Declarations::from_yaml(&yaml).unwrap();
    Snapshot::compile(&declarations, ConfigVersion(1), "day", "test", previous).unwrap()
}

/// Returns the id of an instance.
pub(crate) fn instance(snapshot: &Snapshot, name: &str) -> InstanceId {
    snapshot.instances.id(name).unwrap()
}

/// Settings of a property test that generates the same cases in each run.
pub(crate) fn fixed_seed(seed: u64, cases: u32) -> Config {
    Config { cases, rng_seed: RngSeed::Fixed(seed), failure_persistence: None, ..Config::default() }
}
