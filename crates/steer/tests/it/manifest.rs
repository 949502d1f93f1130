//! Validation and lookups of manifests.

use kingcupford_steer::Manifest;
use tokio::time::Instant;

use crate::common::{limits, manifest, route, service, steering, team};

/// Guards against a shorter prefix that takes requests of a longer one.
#[test]
fn route_longest_prefix() {
    let mut long = route();
    long.name = "long".to_owned();
    long.path_prefix = "/p/q/".to_owned();
    let manifest =
        Manifest::new(1, vec![route(), long], vec![service("svc")], Vec::new(), limits()).unwrap();
    assert_eq!(manifest.route("host.example", "/p/q/1").unwrap().name, "long");
    assert_eq!(manifest.route("host.example", "/p/1").unwrap().name, "r");
    assert!(manifest.route("host.example", "/q/").is_none());
    assert!(manifest.route("other.example", "/p/1").is_none());
}

/// Guards against invalid manifests that are accepted, and against errors that do not name the
/// field.
#[test]
fn new_invalid() {
    let error_of = |change: fn(&mut kingcupford_steer::Route)| {
        let mut route = route();
        change(&mut route);
        let res = Manifest::new(1, vec![route], vec![service("svc")], Vec::new(), limits());
        res.unwrap_err().to_string()
    };
    assert!(error_of(|it| it.path_prefix = "/p".to_owned()).contains("path_prefix `/p`"));
    assert!(error_of(|it| it.max_attempts = 0).contains("max_attempts"));
    assert!(error_of(|it| it.targets.clear()).contains("service nor split"));
    assert!(error_of(|it| it.targets[0].service = "x".to_owned()).contains("`x` is not declared"));
    assert!(error_of(|it| it.targets[0].weight = 0.0).contains("add up to 0"));
}

/// Guards against a key that belongs to two teams.
#[test]
fn new_duplicate_key() {
    let mut second = team("two", 1.0);
    second.keys = team("one", 1.0).keys;
    let teams = vec![team("one", 1.0), second];
    let res = Manifest::new(1, vec![route()], vec![service("svc")], teams, limits());
    assert!(res.unwrap_err().to_string().contains("hold the same key"));
}

/// Guards against an older manifest that replaces a newer one.
#[tokio::test(start_paused = true)]
async fn apply_manifest_older() {
    let now = Instant::now();
    let mut steering = steering(now);
    assert!(steering.apply_manifest(manifest(5), now));
    assert!(!steering.apply_manifest(manifest(4), now));
    assert!(!steering.apply_manifest(manifest(5), now));
    assert_eq!(steering.manifest().unwrap().version(), 5);
}
