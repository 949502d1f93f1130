//! Scenario files that cannot be used, and what their authors are told.

use std::{fs, path::PathBuf};

use expect_test::{Expect, expect};
use kingcupford_scenario::{Demand, Scenario};

/// Loads a scenario text and compares the error behind the path.
fn check(name: &str, text: &str, expected: &Expect) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("the scenario can be written");
    let error = Scenario::load(&path).expect_err("the scenario is wrong").to_string();
    let folder = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    let hint_on_own_line = error.replace(&folder, "").replace(" (hint", "\n(hint") + "\n";
    expected.assert_eq(&hint_on_own_line);
}

/// A scenario that differs in its last lines.
fn with(rest: &str) -> String {
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/hinokuni");
    format!("topic: t\ntitle: t\ndeployment: {samples}\nduration_s: 5\n{rest}\n")
}

/// Guards against misspelt fields that are silently ignored.
#[test]
fn load_unknown_field() {
    let text = with("demand: []\nfalts: []");
    check(
        "field.yaml",
        &text,
        &expect![[r#"
        field.yaml: unknown field `falts`, expected one of `topic`, `title`, `deployment`, `platform_zone`, `entry_hosts`, `duration_s`, `warm_up_s`, `seed`, `demand`, `services`, `network`, `callers`, `faults`, `bounds` at line 6 column 1
        (hint: docs/scenarios.md lists every field)
    "#]],
    );
}

/// Guards against faults on parts that the deployment lacks, which would do nothing.
#[test]
fn load_unknown_zone() {
    let text = with(
        "demand: []\nfaults:\n  - { at_s: 1, what: { kind: platform-partition, zones: [mars] } }",
    );
    check(
        "zone.yaml",
        &text,
        &expect![[r#"
        zone.yaml: faults[0]: names the unknown zone `mars`
        (hint: use a zone of the deployment)
    "#]],
    );
}

/// Guards against bounds that cannot fail.
#[test]
fn load_empty_bound() {
    let text = with("demand: []\nbounds:\n  - { figure: retries }");
    check(
        "bound.yaml",
        &text,
        &expect![[r#"
        bound.yaml: bounds[0]: `retries` has no limit
        (hint: add `max`, `min` or `max_of_baseline`)
    "#]],
    );
}

/// Guards against a deployment that is looked for in the wrong place.
#[test]
fn load_unknown_deployment() {
    let text = "topic: t\ntitle: t\ndeployment: mars\nduration_s: 5\ndemand: []\n";
    check(
        "deployment.yaml",
        text,
        &expect![[r#"
        deployment.yaml: deployment: no folder of declarations for `mars`
        (hint: name a folder below `samples/` or give its path)
    "#]],
    );
}

/// Guards against rates that jump at points instead of changing linearly.
#[test]
fn rate_at_points() {
    let text = "service: s\nrate: [{ at_s: 10, per_s: 2 }, { at_s: 20, per_s: 4 }]";
    let demand: Demand = serde_yaml_ng::from_str(text).expect("a demand");
    let rates = [0.0, 10.0, 15.0, 20.0, 30.0].map(|it| demand.rate_at(it));
    assert_eq!(rates, [2.0, 2.0, 3.0, 4.0, 4.0]);
}
