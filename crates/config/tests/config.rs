//! Tests of declarations, validation, chunks, differences, keys and snapshots.

use expect_test::expect;
use kingcupford_config::{
    BlockDecl, CallerKey, ConfigVersion, Declarations, Head, KeyDecl, KeyParseError, Snapshot,
    assemble_chunks, diff, split_into_chunks, validate,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// Two regions, a service with overlapping routes, and two teams.
const DECLARATIONS: &str = "
regions:
  - { name: alpen, zones: [alpen-a] }
  - { name: jura, zones: [jura-a] }
links: [{ between: [jura, alpen], latency_ms: 55, capacity_mbit_per_s: 4000 }]
sites: [{ name: s1, zone: alpen-a }, { name: s2, zone: jura-a }]
blocks: [{ cidr: 10.0.0.0/8, site: s1 }, { cidr: 10.1.0.0/16, site: s2 }]
services:
  - name: katalog
    routes:
      - { path_prefix: /, timeout_ms: 5000, idempotent: true }
      - { path_prefix: /admin, timeout_ms: 5000, methods: [POST] }
      - { path_prefix: /status, timeout_ms: 100, open: true }
    versions: [{ name: v1, instances: [{ name: k1, site: s1, address: '127.0.0.1:1', slots: 4 }] }]
    active_version: v1
tenants:
  - { name: hof, rate_per_s: 10, burst: 20 }
  - { name: zwinger, rate_per_s: 100, burst: 200, when_isolated: refuse }
presets: [{ name: ordinary }, { name: maintenance, drains: [{ target: site, name: s1 }] }]
initial_preset: ordinary
";

fn declarations() -> Declarations {
    Declarations::from_yaml(DECLARATIONS).expect("valid")
}

fn compile(declarations: &Declarations, preset: &str, previous: Option<&Snapshot>) -> Snapshot {
    let version = ConfigVersion(previous.map_or(1, |it| it.version.0 + 1));
    Snapshot::compile(declarations, version, preset, "test", previous).expect("compiles")
}

/// Guards against a validation that stops at the first error, and against errors without a hint.
#[test]
fn validate_reports_every_error() {
    let mut invalid = declarations();
    invalid.sites[0].zone = "alpen-z".to_owned();
    invalid.blocks.push(BlockDecl { cidr: "10.1.0.1/16".parse().unwrap(), site: "s9".to_owned() });
    invalid.services[0].active_version = "v9".to_owned();
    invalid.services[0].routes[0].timeout_ms = 0;
    invalid.teams[0].rate_per_s = -1.0;
    invalid.teams[1].name = "hof".to_owned();
    invalid.presets[1].drains[0].name = "s9".to_owned();
    let errors: Vec<String> = validate(&invalid).iter().map(ToString::to_string).collect();
    expect![[r#"
        sites.s1: names the unknown zone `alpen-z` (hint: declare the zone in its region or correct the name)
        blocks.10.1.0.1/16: names the unknown site `s9` (hint: declare the site or correct the name)
        blocks.10.1.0.1/16: has bits set behind its prefix length (hint: write 10.1.0.0/16)
        services.katalog: active version `v9` is not declared (hint: declare the version or correct `active_version`)
        services.katalog.routes./: `timeout_ms` is 0 (hint: use a number from 1 to 86400000)
        tenants.hof: is declared twice (hint: keep one declaration of the name)
        tenants.hof: `rate_per_s` is -1 (hint: use a number from 0.001 to 10000000)
        presets.maintenance.drains.s9: names the unknown site `s9` (hint: correct the name or remove the drain)"#]]
    .assert_eq(&errors.join("\n"));
    assert_eq!(validate(&declarations()), []);
}

/// Guards against misspelt fields that are silently ignored.
#[test]
fn from_yaml_rejects_unknown_field() {
    let error = Declarations::from_yaml("tenants: [{ name: a, rate_per_s: 1, brust: 2 }]");
    assert!(error.expect_err("an unknown field").to_string().contains("brust"));
}

/// Guards against requests that get another route's key check or timeout, because the method is
/// ignored, a prefix matches part of a path segment or a shorter prefix is preferred.
#[test]
fn route_matches_longest_prefix_of_whole_segments() {
    let snapshot = compile(&declarations(), "ordinary", None);
    let katalog = snapshot.services.id("katalog").expect("declared");
    let prefix = |method: &str, path: &str| {
        let route = snapshot.route(katalog, method, path);
        route.map(|it| snapshot.routes[it].path_prefix.clone())
    };
    assert_eq!(prefix("POST", "/admin/x").as_deref(), Some("/admin"));
    assert_eq!(prefix("GET", "/admin/x").as_deref(), Some("/"), "the method does not match");
    assert_eq!(prefix("GET", "/status").as_deref(), Some("/status"));
    assert_eq!(prefix("GET", "/statusx").as_deref(), Some("/"), "not a whole segment");
}

/// Guards against arena ids that refer to another entry after a configuration change.
#[test]
fn compile_keeps_ids_of_names() {
    let first = compile(&declarations(), "ordinary", None);
    let mut changed = declarations();
    changed.teams.remove(0);
    changed.teams.insert(0, changed.teams[0].clone());
    changed.teams[0].name = "adler".to_owned();
    let second = compile(&changed, "ordinary", Some(&first));
    assert_eq!(first.teams.id("zwinger"), second.teams.id("zwinger"));
    assert_eq!(second.teams.id("hof"), None);
    let hof = first.teams.id("hof").expect("declared");
    assert!(second.teams.value(hof).is_none(), "the id of a removed name has a value");
}

/// Guards against drains that cover instances outside their target.
#[test]
fn compile_marks_drained_instances() {
    let ordinary = compile(&declarations(), "ordinary", None);
    let maintenance = compile(&declarations(), "maintenance", Some(&ordinary));
    let draining = |it: &Snapshot| it.instances.iter().filter(|it| it.1.draining).count();
    assert_eq!((draining(&ordinary), draining(&maintenance)), (0, 1));
}

/// Guards against keys accepted with a wrong secret, and against secrets in debug output.
#[test]
fn authenticate_checks_secret() {
    let key = CallerKey::new("my_key", [7; 24]);
    let mut declared = declarations();
    let (id, team) = ("my_key".to_owned(), "zwinger".to_owned());
    declared.keys.push(KeyDecl { id, team, sha256: key.hash() });
    let snapshot = compile(&declared, "ordinary", None);
    let parsed = CallerKey::parse(key.reveal()).expect("valid key");
    assert_eq!(snapshot.authenticate(&parsed), snapshot.teams.id("zwinger"));
    let wrong_secret = CallerKey::new("my_key", [8; 24]);
    assert_eq!(snapshot.authenticate(&wrong_secret), None);
    assert_eq!(format!("{parsed:?}"), "CallerKey(my_key)");
    assert_eq!(CallerKey::parse("kc_x"), Err(KeyParseError::Malformed));
    assert_eq!(CallerKey::parse("x"), Err(KeyParseError::MissingPrefix));
}

/// Guards against differences that miss a change or report an unchanged entry.
#[test]
fn diff_reports_changes() {
    let mut desired = declarations();
    desired.teams[0].burst = 30.0;
    desired.sites.remove(1);
    desired.blocks[1].site = "s1".to_owned();
    let changes: Vec<String> =
        diff(&declarations(), &desired).iter().map(ToString::to_string).collect();
    expect![[r#"
        remove sites.s2
        update blocks.10.1.0.0/16
        update tenants.hof"#]]
    .assert_eq(&changes.join("\n"));
    assert_eq!(diff(&declarations(), &declarations()), []);
}

/// Guards against a configuration that contains a corrupted chunk.
#[test]
fn assemble_chunks_rejects_corrupted_chunk() {
    let chunks = split_into_chunks(&declarations()).expect("splits");
    let head = head(&chunks);
    let mut bytes: Vec<Vec<u8>> = chunks.iter().map(|it| it.bytes.clone()).collect();
    bytes[0][3] ^= 1;
    let mut fetched = 0;
    let result = assemble_chunks(&head, |_| {
        fetched += 1;
        Some(bytes[fetched - 1].as_slice())
    });
    assert!(result.expect_err("a corrupted chunk").to_string().contains("does not match its hash"));
}

/// Returns a head that refers to `chunks`.
fn head(chunks: &[kingcupford_config::Chunk]) -> Head {
    Head {
        version: 1,
        change_id: "c".to_owned(),
        source_revision: "r".to_owned(),
        active_preset: "ordinary".to_owned(),
        chunks: chunks.iter().map(|it| it.reference.clone()).collect(),
    }
}

proptest! {
    #![proptest_config(Config { cases: 24, failure_persistence: None, rng_seed: RngSeed::Fixed(3), ..Config::default() })]

    /// Guards against declarations that differ after being split into chunks and assembled, and
    /// against a change to one block that replaces more than two chunks.
    #[test]
    fn split_and_assemble_round_trip(networks in proptest::collection::btree_set(0_u32..1 << 24, 1..6_000), position: prop::sample::Index) {
        let mut original = declarations();
        original.blocks = networks
            .iter()
            .map(|it| BlockDecl { cidr: format!("{}/32", std::net::Ipv4Addr::from(it << 4)).parse().unwrap(), site: "s1".to_owned() })
            .collect();
        original.sort();
        let chunks = split_into_chunks(&original).expect("splits");
        let mut unread = chunks.iter();
        let assembled = assemble_chunks(&head(&chunks), |_| unread.next().map(|it| it.bytes.as_slice()));
        prop_assert_eq!(&assembled.expect("assembles"), &original);
        let changed_block = position.index(original.blocks.len());
        original.blocks[changed_block].site = "s2".to_owned();
        let changed = split_into_chunks(&original).expect("splits");
        let replaced = changed.iter().filter(|it| !chunks.contains(it)).count();
        prop_assert!(replaced <= 2, "{} chunks replaced", replaced);
    }
}
