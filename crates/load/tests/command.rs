//! Report files and exit codes of the command.

use std::{fs, path::PathBuf, process::Command};

/// Runs the command on a scenario text and returns exit code, error output and report folder.
fn run(name: &str, text: &str) -> (Option<i32>, String, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("the folder for test files can be written");
    let scenario = folder.join("scenario.yaml");
    fs::write(&scenario, text).expect("the scenario can be written");
    let report = folder.join("report");
    let output = Command::new(env!("CARGO_BIN_EXE_kingcupford-load"))
        .args(["run", scenario.to_str().unwrap_or_default(), "--seed", "3", "--report"])
        .arg(&report)
        .output()
        .expect("the command starts");
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned(), report)
}

/// Returns a short scenario with a bound on the number of finished requests.
fn scenario(bound: &str) -> String {
    let samples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../samples/huskfutter");
    format!(
        "topic: test\ntitle: A short run.\ndeployment: {samples}\nduration_s: 5\n\
         demand:\n  - service: katalog\n    path: /stock\n    tenants: [zwinger-bern]\n    \
         rate: [{{ at_s: 0, per_s: 20 }}]\nbounds:\n  - {{ figure: finished.katalog, {bound} }}\n"
    )
}

/// Guards against missing report files and against pages that load external resources.
#[test]
fn run_report() {
    let (code, stderr, report) = run("report", &scenario("min: 10"));
    assert_eq!(code, Some(0), "{stderr}");
    let summary = fs::read_to_string(report.join("summary.json")).expect("a summary");
    let summary: serde_json::Value = serde_json::from_str(&summary).expect("JSON");
    let keys: Vec<&String> = summary.as_object().expect("an object").keys().collect();
    assert_eq!(keys, ["baseline", "figures", "scenario", "seed", "violations"]);
    let page = fs::read_to_string(report.join("report.html")).expect("a page");
    assert!(page.contains("<svg") && !page.contains("src=") && !page.contains("href="));
}

/// Guards against a success exit code when a bound does not hold.
#[test]
fn run_bound_broken() {
    let (code, stderr, _) = run("bound", &scenario("max: 3"));
    assert_eq!(code, Some(1), "{stderr}");
    assert!(stderr.contains("finished.katalog"), "{stderr}");
}

/// Guards against a success exit code for an invalid scenario, and against an error message without
/// file name and hint.
#[test]
fn run_unreadable() {
    let (code, stderr, _) = run("unreadable", "topic: test\ntitle: x\nduration_sec: 5\n");
    assert_eq!(code, Some(2), "{stderr}");
    assert!(stderr.contains("scenario.yaml") && stderr.contains("hint"), "{stderr}");
}
