//! Error messages for invalid scenario files, and interpolation of demand.

use std::{fs, path::PathBuf};

use expect_test::{Expect, expect};
use kingcupford_scenario::{Demand, Scenario};

/// Loads an invalid scenario and compares its error message, without the folder of the file.
fn check_load_error(name: &str, text: &str, expected: &Expect) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the scenario can be written");
    let error = Scenario::load(&path).expect_err("the scenario is invalid").to_string();
    let folder = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    let hint_on_own_line = error.replace(&folder, "").replace(" (hint", "\n(hint") + "\n";
    expected.assert_eq(&hint_on_own_line);
}

/// Returns a valid scenario header followed by `rest`.
fn scenario_with(rest: &str) -> String {
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/hinokuni");
    format!("topic: t\ntitle: t\ndeployment: {samples}\nduration_s: 5\n{rest}\n")
}

/// Guards against misspelt fields being silently ignored.
#[test]
fn load_unknown_field() {
    let text = scenario_with("demand: []\nfalts: []");
    check_load_error(
        "field.yaml",
        &text,
        &expect![[r#"
        field.yaml: unknown field `falts`, expected one of `topic`, `title`, `deployment`, `platform_zone`, `entry_hosts`, `duration_s`, `warm_up_s`, `seed`, `demand`, `services`, `network`, `callers`, `faults`, `bounds` at line 6 column 1
        (hint: docs/scenarios.md lists every field)
    "#]],
    );
}

/// Guards against faults on zones that the deployment lacks, which would have no effect.
#[test]
fn load_unknown_zone() {
    let text = scenario_with(
        "demand: []\nfaults:\n  - { at_s: 1, what: { kind: platform-partition, zones: [mars] } }",
    );
    check_load_error(
        "zone.yaml",
        &text,
        &expect![[r#"
        zone.yaml: faults[0]: names the unknown zone `mars`
        (hint: use a zone of the deployment)
    "#]],
    );
}

/// Guards against bounds without a limit, which can never fail.
#[test]
fn load_empty_bound() {
    let text = scenario_with("demand: []\nbounds:\n  - { figure: retries }");
    check_load_error(
        "bound.yaml",
        &text,
        &expect![[r#"
        bound.yaml: bounds[0]: `retries` has no limit
        (hint: add `max`, `min` or `max_of_baseline`)
    "#]],
    );
}

/// Guards against an unclear error for a deployment whose folder does not exist.
#[test]
fn load_unknown_deployment() {
    let text = "topic: t\ntitle: t\ndeployment: mars\nduration_s: 5\ndemand: []\n";
    check_load_error(
        "deployment.yaml",
        text,
        &expect![[r#"
        deployment.yaml: deployment: no folder of declarations for `mars`
        (hint: name a folder below `samples/` or give its path)
    "#]],
    );
}

/// Guards against rates that change in steps instead of being interpolated linearly.
#[test]
fn rate_at_points() {
    let text = "service: s\nrate: [{ at_s: 10, per_s: 2 }, { at_s: 20, per_s: 4 }]";
    let demand: Demand = serde_yaml_ng::from_str(text).expect("a demand");
    let rates = [0.0, 10.0, 15.0, 20.0, 30.0].map(|it| demand.rate_at(it));
    assert_eq!(rates, [2.0, 2.0, 3.0, 4.0, 4.0]);
}
