//! Commands `plan`, `apply` and `show`.

use expect_test::expect;

use crate::harness::{DECLARATIONS, Harness, TempFolder};

/// Guards against a plan that stops at the first error, so that operators have to correct errors
/// one at a time.
#[tokio::test]
async fn plan_of_an_invalid_folder_lists_every_error() {
    let harness = Harness::with_config().await;
    let text = DECLARATIONS
        .replace("rate_per_s: 10,", "rate_per_s: -1,")
        .replace("site: jura-a, address", "site: nowhere, address")
        .replace("10.1.0.0/16", "10.1.2.0/16")
        .replace("name: ordinary", "name: usual");
    let folder = TempFolder::new(&text);
    expect![[r#"
        exit 3
        --- out
        add blocks.10.1.2.0/16
        remove blocks.10.1.0.0/16
        update services.katalog
        update tenants.kennel-1
        add presets.usual
        remove presets.ordinary
        6 changes from version 1 of revision rev-1
        --- err
        error: blocks.10.1.2.0/16: has bits set behind its prefix length (hint: write 10.1.0.0/16)
        error: services.katalog.instances.katalog-2: names the unknown site `nowhere` (hint: declare the site or correct the name)
        error: tenants.kennel-1: `rate_per_s` is -1 (hint: use a number from 0.001 to 10000000)
        error: initial_preset: names the unknown preset `ordinary` (hint: declare the preset or correct the name)
        error: presets: the active preset `ordinary` is not declared (hint: switch to another preset before removing it)
    "#]].assert_eq(&harness.ctl(&["plan", folder.arg()]).await.normalized());
    let json = harness.ctl(&["--format", "json", "plan", folder.arg()]).await;
    assert_eq!(json.json()["faults"].as_array().map(Vec::len), Some(5), "{json:?}");
    let applied = harness.ctl(&["apply", folder.arg(), "--revision", "rev-2"]).await;
    assert_eq!(applied.code, 3, "{applied:?}");
    assert_eq!(harness.read_json("config/head").await["version"], 1);
}

/// Guards against a syntax error that hides the syntax errors of later files.
#[tokio::test]
async fn plan_with_two_unreadable_files_names_both() {
    let harness = Harness::new().await;
    let folder = TempFolder::with_files(&[
        ("a.yaml", "regions: 7\n"),
        ("b.yaml", "tenants:\n  - { name: kennel-1, rate: 3 }\n"),
        ("c.yaml", "presets: []\n"),
    ]);
    let run = harness.ctl(&["plan", folder.arg()]).await;
    let text = run.normalized().replace(folder.arg(), "FOLDER");
    expect![[r#"
        exit 2
        --- out
        --- err
        error: FOLDER/a.yaml: regions: invalid type: integer `7`, expected a sequence at line 1 column 10 (hint: docs/configuration.md lists every field)
        error: FOLDER/b.yaml: tenants[0]: unknown field `rate`, expected one of `name`, `rate_per_s`, `burst`, `when_isolated` at line 2 column 23 (hint: docs/configuration.md lists every field) (hint: correct the files and plan again)
    "#]].assert_eq(&text);
}

/// Guards against keys in folders, from where they would get into version control.
#[tokio::test]
async fn plan_of_a_folder_with_keys_is_rejected() {
    let harness = Harness::new().await;
    let hash = "0".repeat(64);
    let text = format!("keys:\n  - {{ id: k1, tenant: kennel-1, sha256: '{hash}' }}\n");
    let folder = TempFolder::new(&text);
    let run = harness.ctl(&["plan", folder.arg()]).await;
    assert_eq!(run.code, 2);
    assert!(run.err.contains("use `kingcupford-ctl key issue`"), "{run:?}");
}

/// Guards against a plan that changes the configuration, and against a wrong list of changes.
#[tokio::test]
async fn plan_shows_changes_and_changes_nothing() {
    let harness = Harness::with_config().await;
    let folder =
        TempFolder::new(&DECLARATIONS.replace("burst: 20", "burst: 30").replace("10.1.", "10.9."));
    expect![[r#"
        exit 0
        --- out
        add blocks.10.9.0.0/16
        remove blocks.10.1.0.0/16
        update tenants.kennel-1
        3 changes from version 1 of revision rev-1
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["plan", folder.arg()]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        {
          "result": "done",
          "active_version": 1,
          "active_revision": "rev-1",
          "changes": [
            {
              "kind": "add",
              "place": "blocks.10.9.0.0/16"
            },
            {
              "kind": "remove",
              "place": "blocks.10.1.0.0/16"
            },
            {
              "kind": "update",
              "place": "tenants.kennel-1"
            }
          ],
          "faults": []
        }
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["--format", "json", "plan", folder.arg()]).await.normalized());
    assert_eq!(harness.read_json("config/head").await["version"], 1);
}

/// Guards against configuration versions without a revision in version control.
#[tokio::test]
async fn apply_records_the_revision() {
    let harness = Harness::new().await;
    let folder = TempFolder::new(DECLARATIONS);
    let run = harness.ctl(&["apply", folder.arg(), "--revision", "4f2a"]).await;
    expect![[r#"
        exit 0
        --- out
        add regions.alpen
        add regions.jura
        add links.alpen-jura
        add sites.alpen-a
        add sites.jura-a
        add blocks.10.1.0.0/16
        add services.katalog
        add tenants.kennel-1
        add presets.dawn
        add presets.ordinary
        revision 4f2a is the configuration in version 1
        no zone has entry hosts yet
        --- err
    "#]]
    .assert_eq(&run.normalized());
    expect![[r#"
        exit 0
        --- out
        version        1
        revision       4f2a
        change         apply-<hex>
        active preset  ordinary
        topology       2 regions, 3 zones, 1 links, 2 sites, 1 client blocks
        services       1 with 3 instances
        tenants        1 with 0 keys
        presets        2
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["show"]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        {
          "version": 1,
          "revision": "4f2a",
          "change_id": "apply-<hex>",
          "active_preset": "ordinary",
          "counts": {
            "regions": 2,
            "zones": 3,
            "links": 1,
            "sites": 2,
            "blocks": 1,
            "services": 1,
            "instances": 3,
            "tenants": 1,
            "keys": 0,
            "presets": 2
          }
        }
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["--format", "json", "show"]).await.normalized());
    let empty = harness.ctl(&["apply", folder.arg(), "--revision", " "]).await;
    assert_eq!(empty.code, 2, "{empty:?}");
}

/// Guards against a folder that reverts another operator's change without notice, and against an
/// error that does not name the other change.
#[tokio::test]
async fn apply_after_another_change_names_the_winner() {
    let harness = Harness::with_config().await;
    let other = TempFolder::new(&DECLARATIONS.replace("burst: 20", "burst: 30"));
    assert_eq!(harness.ctl(&["apply", other.arg(), "--revision", "rev-other"]).await.code, 0);

    let args = ["--planned-version", "1"];
    let overlapping = TempFolder::new(&DECLARATIONS.replace("burst: 20", "burst: 40"));
    let overlapping_args =
        [&["apply", overlapping.arg(), "--revision", "mine"], &args[..]].concat();
    let run = harness.ctl(&overlapping_args);
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-other came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&run.await.normalized());

    let disjoint = TempFolder::new(&DECLARATIONS.replace("10.1.", "10.9."));
    let args = [&["--format", "json", "apply", disjoint.arg(), "--revision", "mine"], &args[..]];
    let run = harness.ctl(&args.concat()).await;
    assert_eq!(run.code, 4, "{run:?}");
    expect![[r#"{"overlaps":false,"revision":"rev-other","version":2}"#]]
        .assert_eq(&run.json()["winner"].to_string());
}

/// Guards against a mistake in a folder that sends all traffic to a new version at once.
#[tokio::test]
async fn apply_of_a_new_active_version_needs_a_rollout() {
    let harness = Harness::with_config().await;
    let folder = TempFolder::new(&DECLARATIONS.replace("active_version: v1", "active_version: v2"));
    let args = ["apply", folder.arg(), "--revision", "rev-2"];
    expect![[r#"
        exit 3
        --- out
        --- err
        error: services.katalog: `active_version` goes from v1 to v2 at once (hint: start a rollout, or use `apply --without-rollout`)
    "#]].assert_eq(&harness.ctl(&args).await.normalized());
    let forced = harness.ctl(&[&args[..], &["--without-rollout"]].concat()).await;
    assert_eq!(forced.code, 0, "{forced:?}");
}
