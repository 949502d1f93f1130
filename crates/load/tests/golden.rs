//! Runs one short session and compares its whole summary.

use std::path::Path;

use expect_test::expect_file;

/// A short session with a crash, a revocation and a drain.
const SESSION: &str = "tests/golden/session.yaml";

/// Guards against unnoticed changes of what a whole session does, and against a summary that
/// depends on anything but scenario and seed.
#[test]
fn run_session() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(SESSION);
    let first = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let second = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let json = first.summary.to_json().expect("a summary is JSON");
    assert_eq!(json, second.summary.to_json().expect("a summary is JSON"));
    expect_file!["golden/session.json"].assert_eq(&json);
}

/// Guards against a seed that has no effect.
#[test]
fn run_other_seed() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(SESSION);
    let first = kingcupford_load::run(&path, Some(7)).expect("the session runs");
    let second = kingcupford_load::run(&path, Some(8)).expect("the session runs");
    assert_ne!(first.summary.figures, second.summary.figures);
}
