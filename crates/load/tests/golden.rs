//! Golden test: compares the whole summary of a short session.

use std::path::Path;

use expect_test::expect_file;

/// Scenario with a host crash, a key revocation and a drain.
const SESSION_PATH: &str = "tests/golden/session.yaml";

/// Guards against unintended changes of the behaviour of a whole session, and against a summary
/// that depends on anything but scenario and seed.
#[test]
fn run_session() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(SESSION_PATH);
    let first = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let second = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let json = first.summary.to_json().expect("a summary is JSON");
    assert_eq!(json, second.summary.to_json().expect("a summary is JSON"));
    expect_file!["golden/session.json"].assert_eq(&json);
}

/// Guards against a seed without effect.
#[test]
fn run_other_seed() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(SESSION_PATH);
    let first = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let second = kingcupford_load::run(&path, Some(8)).expect("the session runs");
    assert_ne!(first.summary.figures, second.summary.figures);
}
