//! Plans and applied folders.

use expect_test::expect;

use crate::bench::{Bench, FOLDER, Folder};

/// Guards against a plan that stops at the first fault, so that operators correct one at a time.
#[tokio::test]
async fn plan_of_a_faulty_folder_lists_every_fault() {
    let bench = Bench::with_config().await;
    let text = FOLDER
        .replace("rate_per_s: 10,", "rate_per_s: -1,")
        .replace("site: jura-a, address", "site: nowhere, address")
        .replace("10.1.0.0/16", "10.1.2.0/16")
        .replace("name: ordinary", "name: usual");
    let folder = Folder::new(&text);
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
    "#]].assert_eq(&bench.ctl(&["plan", folder.arg()]).await.golden());
    let json = bench.ctl(&["--format", "json", "plan", folder.arg()]).await;
    assert_eq!(json.json()["faults"].as_array().map(Vec::len), Some(5), "{json:?}");
    let applied = bench.ctl(&["apply", folder.arg(), "--revision", "rev-2"]).await;
    assert_eq!(applied.code, 3, "{applied:?}");
    assert_eq!(bench.get("config/head").await["version"], 1);
}

/// Guards against syntax faults of later files that are hidden by the first one.
#[tokio::test]
async fn plan_with_two_unreadable_files_names_both() {
    let bench = Bench::new().await;
    let folder = Folder::with_files(&[
        ("a.yaml", "regions: 7\n"),
        ("b.yaml", "tenants:\n  - { name: kennel-1, rate: 3 }\n"),
        ("c.yaml", "presets: []\n"),
    ]);
    let run = bench.ctl(&["plan", folder.arg()]).await;
    let text = run.golden().replace(folder.arg(), "FOLDER");
    expect![[r#"
        exit 2
        --- out
        --- err
        error: FOLDER/a.yaml: regions: invalid type: integer `7`, expected a sequence at line 1 column 10 (hint: docs/configuration.md lists every field)
        error: FOLDER/b.yaml: tenants[0]: unknown field `rate`, expected one of `name`, `rate_per_s`, `burst`, `when_isolated` at line 2 column 23 (hint: docs/configuration.md lists every field) (hint: correct the files and plan again)
    "#]].assert_eq(&text);
}

/// Guards against keys that reach version control by a folder.
#[tokio::test]
async fn plan_of_a_folder_with_keys_is_refused() {
    let bench = Bench::new().await;
    let hash = "0".repeat(64);
    let text = format!("keys:\n  - {{ id: k1, tenant: kennel-1, sha256: '{hash}' }}\n");
    let folder = Folder::new(&text);
    let run = bench.ctl(&["plan", folder.arg()]).await;
    assert_eq!(run.code, 2);
    assert!(run.err.contains("use `kingcupford-ctl key issue`"), "{run:?}");
}

/// Guards against a plan that changes anything, and against a wrong list of changes.
#[tokio::test]
async fn plan_shows_changes_and_changes_nothing() {
    let bench = Bench::with_config().await;
    let folder = Folder::new(&FOLDER.replace("burst: 20", "burst: 30").replace("10.1.", "10.9."));
    expect![[r#"
        exit 0
        --- out
        add blocks.10.9.0.0/16
        remove blocks.10.1.0.0/16
        update tenants.kennel-1
        3 changes from version 1 of revision rev-1
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["plan", folder.arg()]).await.golden());
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
    .assert_eq(&bench.ctl(&["--format", "json", "plan", folder.arg()]).await.golden());
    assert_eq!(bench.get("config/head").await["version"], 1);
}

/// Guards against versions without their revision in version control.
#[tokio::test]
async fn apply_records_the_revision() {
    let bench = Bench::new().await;
    let folder = Folder::new(FOLDER);
    let run = bench.ctl(&["apply", folder.arg(), "--revision", "4f2a"]).await;
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
    .assert_eq(&run.golden());
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
    .assert_eq(&bench.ctl(&["show"]).await.golden());
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
    .assert_eq(&bench.ctl(&["--format", "json", "show"]).await.golden());
    let empty = bench.ctl(&["apply", folder.arg(), "--revision", " "]).await;
    assert_eq!(empty.code, 2, "{empty:?}");
}

/// Guards against a folder that undoes another operator's change without notice, and against a
/// message that does not say whose change it is.
#[tokio::test]
async fn apply_after_another_change_names_the_winner() {
    let bench = Bench::with_config().await;
    let other = Folder::new(&FOLDER.replace("burst: 20", "burst: 30"));
    assert_eq!(bench.ctl(&["apply", other.arg(), "--revision", "rev-other"]).await.code, 0);

    let args = ["--planned-version", "1"];
    let overlapping = Folder::new(&FOLDER.replace("burst: 20", "burst: 40"));
    let mine = [&["apply", overlapping.arg(), "--revision", "mine"], &args[..]].concat();
    let run = bench.ctl(&mine);
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-other came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&run.await.golden());

    let apart = Folder::new(&FOLDER.replace("10.1.", "10.9."));
    let args = [&["--format", "json", "apply", apart.arg(), "--revision", "mine"], &args[..]];
    let run = bench.ctl(&args.concat()).await;
    assert_eq!(run.code, 4, "{run:?}");
    expect![[r#"{"overlaps":false,"revision":"rev-other","version":2}"#]]
        .assert_eq(&run.json()["winner"].to_string());
}

/// Guards against a new version that gets all traffic at once by a slip in a folder.
#[tokio::test]
async fn apply_of_a_new_active_version_needs_a_rollout() {
    let bench = Bench::with_config().await;
    let folder = Folder::new(&FOLDER.replace("active_version: v1", "active_version: v2"));
    let args = ["apply", folder.arg(), "--revision", "rev-2"];
    expect![[r#"
        exit 3
        --- out
        --- err
        error: services.katalog: `active_version` goes from v1 to v2 at once (hint: start a rollout, or use `apply --without-rollout`)
    "#]].assert_eq(&bench.ctl(&args).await.golden());
    let forced = bench.ctl(&[&args[..], &["--without-rollout"]].concat()).await;
    assert_eq!(forced.code, 0, "{forced:?}");
}
