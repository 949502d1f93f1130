//! Changes of presets and keys: confirmation by zones, races and usage errors.

use expect_test::expect;
use kingcupford_standin::PlatformFaults;
use serde_json::{Value, json};

use crate::harness::Harness;

/// Guards against changes that count as done while a zone still uses the old version, and against
/// an error that does not name the zone.
#[tokio::test]
async fn switch_names_zones_that_have_not_confirmed() {
    let harness = Harness::with_config().await;
    harness.write_zone_status("alpen-a", "entry-1", 2).await;
    harness.write_zone_status("alpen-b", "entry-2", 1).await;
    harness.announce_host("jura-a", "entry-3").await;
    // The stand-in's list of hosts shows a new host only after a delay.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let run = harness.ctl(&["--confirm-s", "1", "preset", "switch", "dawn"]).await;
    expect![[r#"
        exit 7
        --- out
        preset dawn is active in version 2
        --- err
        error: not confirmed within <n> ms (hint: such a zone goes on with the former preset until it hears of this one; `status` shows when it has)
        error: zone alpen-b: host entry-2 (live) has version 1
        error: zone jura-a: has written no state yet
    "#]].assert_eq(&run.normalized());
    let run =
        harness.ctl(&["--confirm-s", "1", "--format", "json", "preset", "switch", "ordinary"]);
    expect![[r#"
        exit 7
        --- out
        {
          "result": "unconfirmed",
          "change_id": "preset-<hex>",
          "version": 3,
          "answer_lost": false,
          "confirmation": {
            "confirmed": false,
            "time_ms": <n>,
            "zones": [],
            "unconfirmed": [
              {
                "zone": "alpen-a",
                "problem": "host entry-1 (live) has version 2"
              },
              {
                "zone": "alpen-b",
                "problem": "host entry-2 (live) has version 1"
              },
              {
                "zone": "jura-a",
                "problem": "has written no state yet"
              }
            ],
            "lost_hosts": []
          },
          "hint": "such a zone goes on with the former preset until it hears of this one; `status` shows when it has"
        }
        --- err
        error: not confirmed within <n> ms (hint: such a zone goes on with the former preset until it hears of this one; `status` shows when it has)
        error: zone alpen-a: host entry-1 (live) has version 2
        error: zone alpen-b: host entry-2 (live) has version 1
        error: zone jura-a: has written no state yet
    "#]].assert_eq(&run.await.normalized());
}

/// Guards against a revocation that looks complete although a zone still serves the key.
#[tokio::test]
async fn revoke_says_what_an_unconfirmed_zone_does() {
    let harness = Harness::with_config().await;
    let issued = harness.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k1"]).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    harness.write_zone_status("alpen-a", "entry-1", 2).await;
    let run = harness.ctl(&["--confirm-s", "1", "key", "revoke", "k1"]).await;
    expect![[r#"
        exit 7
        --- out
        key k1 is revoked in version 3
        --- err
        error: not confirmed within <n> ms (hint: such a zone still serves the key until it hears of the revocation, unless the team has `when_isolated: refuse` and the zone is cut off; `status` shows when it has heard)
        error: zone alpen-a: host entry-1 (live) has version 2
    "#]].assert_eq(&run.normalized());
}

/// Guards against a wait that fails although every zone has confirmed the version.
#[tokio::test]
async fn switch_is_confirmed_by_zones_with_the_version() {
    let harness = Harness::with_config().await;
    harness.write_zone_status("alpen-a", "entry-1", 2).await;
    harness.write_zone_status("alpen-b", "entry-2", 2).await;
    expect![[r#"
        exit 0
        --- out
        preset dawn is active in version 2
        confirmed by 2 zones after <n> ms
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["preset", "switch", "dawn"]).await.normalized());
    let run = harness.ctl(&["--no-wait", "preset", "switch", "ordinary"]).await;
    expect![[r#"
        exit 0
        --- out
        preset ordinary is active in version 3
        --- err
    "#]]
    .assert_eq(&run.normalized());
}

/// Guards against a revocation that counts as confirmed although a cut-off host still holds a
/// share: the only host of a silent zone, which is draining, or a host that is gone in the view of
/// its zone.
#[tokio::test]
async fn revoke_waits_for_silent_holders_and_warns_of_lost_hosts() {
    let harness = Harness::with_config().await;
    let issued = harness.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k1"]).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    let host = |name: &str, state: &str, config_version: u64| {
        json!({
            "name": name, "state": state, "config_version": config_version, "load_permille": 0
        })
    };
    let zone_status = |zone: &str, hosts: Vec<Value>| {
        json!({
            "format": 1, "zone": zone, "writer": "entry-1", "written_unix_ms": 0, "hosts": hosts,
            "services": []
        })
    };
    let silent_zone = zone_status("alpen-b", vec![host("entry-2", "draining", 2)]);
    harness.write_json("status/zone/alpen-b", &silent_zone).await;
    let share_record = |name: &str| {
        json!({
            "name": name, "address": "127.0.0.1:7400", "incarnation": 7, "floor": 100, "main": 0,
            "counter": 1, "joined": 1, "acknowledged": 1, "reclaimed": 0
        })
    };
    let holders = [share_record("entry-2"), share_record("entry-3")];
    harness.write_json("quota/ledger", &json!({ "generation": 2, "holders": holders })).await;
    tokio::time::sleep(std::time::Duration::from_millis(10_300)).await;
    let current_zone =
        zone_status("alpen-a", vec![host("entry-1", "live", 3), host("entry-3", "gone", 0)]);
    harness.write_json("status/zone/alpen-a", &current_zone).await;
    let run = harness.ctl(&["--confirm-s", "1", "key", "revoke", "k1"]).await;
    let text = run.normalized();
    expect![[r#"
        exit 7
        --- out
        key k1 is revoked in version 3
        --- err
        warning: host entry-3 is gone in the view of its zone but holds a share, so it may run cut off with an older version (hint: if its machine is lost, the share is reclaimed after 31 min)
        error: not confirmed within <n> ms (hint: such a zone still serves the key until it hears of the revocation, unless the team has `when_isolated: refuse` and the zone is cut off; `status` shows when it has heard)
        error: zone alpen-b: silent for <n> s, host entry-2 (draining) has version 2
    "#]].assert_eq(&text);
}

/// Guards against output that shows a key again after it was issued, or a key's hash at any time.
#[tokio::test]
async fn key_is_printed_once_and_its_hash_never() {
    let harness = Harness::with_config().await;
    let args = ["--format", "json", "key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let issued = harness.ctl(&args).await;
    expect![[r#"
        exit 0
        --- out
        {
          "result": "done",
          "change_id": "issue-<hex>",
          "version": 2,
          "answer_lost": false,
          "key": {
            "id": "k1",
            "tenant": "kennel-1",
            "key": "kc_k1_<hex>"
          },
          "confirmation": {
            "confirmed": true,
            "time_ms": <n>,
            "zones": [],
            "unconfirmed": [],
            "lost_hosts": []
          }
        }
        --- err
    "#]]
    .assert_eq(&issued.normalized());
    let key = issued.json()["key"]["key"].as_str().unwrap().to_owned();
    let secret = key.rsplit('_').next().unwrap();
    for args in [
        &["key", "list"][..],
        &["--format", "json", "key", "list"],
        &["show"],
        &["--format", "json", "show"],
    ] {
        let run = harness.ctl(args).await;
        let text = format!("{}{}", run.out, run.err);
        assert!(!text.contains(secret), "{text}");
        assert!(!text.contains("sha256"), "{text}");
        let longest_hex = text.split(|it: char| !it.is_ascii_hexdigit()).map(str::len).max();
        assert!(longest_hex < Some(64), "a hash is printed: {text}");
    }
    expect![[r#"
        exit 0
        --- out
        KEY  TENANT
        k1   kennel-1
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["key", "list"]).await.normalized());
    let table = harness.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k2"]).await;
    expect![[r#"
        exit 0
        --- out
        key k2 of team kennel-1 is issued in version 3
        kc_k2_<hex>
        this key is shown once and cannot be shown again
        no zone has entry hosts yet
        --- err
    "#]]
    .assert_eq(&table.normalized());
}

/// Guards against a key that is printed although it was not accepted.
#[tokio::test]
async fn issue_that_is_rejected_prints_no_key() {
    let harness = Harness::with_config().await;
    for format in ["table", "json"] {
        let args = ["--format", format, "key", "issue", "--tenant", "nobody", "--id", "k1"];
        let run = harness.ctl(&args).await;
        assert_eq!(run.code, 3, "{run:?}");
        assert!(!format!("{run:?}").contains("kc_"), "{run:?}");
    }
    let run = harness.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "a b"]).await;
    expect![[r#"
        exit 2
        --- out
        --- err
        error: --id: `a b` is no identifier (hint: use up to 64 letters, digits, `-` and `.`)
    "#]]
    .assert_eq(&run.normalized());
}

/// Guards against a lost update when two operators switch presets at the same moment.
#[tokio::test]
async fn racing_switches_have_one_winner() {
    let harness = Harness::with_config().await;
    let delayed = PlatformFaults { delay_ms: 100, ..PlatformFaults::default() };
    harness.platform.set_faults(delayed);
    let dawn = ["--format", "json", "preset", "switch", "dawn"];
    let (first, second) = tokio::join!(harness.ctl(&dawn), harness.ctl(&dawn));
    // Both commands ask for the same preset, so the second one may succeed instead of reporting a
    // lost race.
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert!(codes == [0, 0] || codes == [0, 4], "{first:?} {second:?}");
    assert_eq!(harness.read_json("config/head").await["version"], 2);

    let issue = |id: &'static str| {
        let harness = &harness;
        async move { harness.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", id]).await }
    };
    let switch_back = ["preset", "switch", "ordinary"];
    let (a, b, c) = tokio::join!(issue("k1"), issue("k2"), harness.ctl(&switch_back));
    assert_eq!([a.code, b.code, c.code], [0, 0, 0], "{a:?} {b:?} {c:?}");
    harness.platform.set_faults(PlatformFaults::default());
    expect![[r#"
        exit 0
        --- out
        KEY  TENANT
        k1   kennel-1
        k2   kennel-1
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["key", "list"]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        PRESET    ACTIVE  SHIFTS  DRAINS  LIMITS
        dawn      no      0       1       0
        ordinary  yes     0       0       0
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["preset", "list"]).await.normalized());
}

/// Guards against a race in which two commands both report that they issued the same key
/// identifier.
#[tokio::test]
async fn racing_issues_of_one_id_have_one_winner() {
    let harness = Harness::with_config().await;
    let delayed = PlatformFaults { delay_ms: 100, ..PlatformFaults::default() };
    harness.platform.set_faults(delayed);
    let args = ["key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (first, second) = tokio::join!(harness.ctl(&args), harness.ctl(&args));
    let loser = if first.code == 0 { &second } else { &first };
    assert_eq!(first.code.min(second.code), 0, "{first:?} {second:?}");
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-1 came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&loser.normalized());
}

/// Guards against invalid command lines that are accepted, and against usage errors without a hint.
#[tokio::test]
async fn usage_errors_have_their_own_exit_code() {
    let harness = Harness::new().await;
    for args in [
        &[][..],
        &["preset"],
        &["preset", "switch"],
        &["drain", "add", "--target", "galaxy", "--name", "x"],
        &["--format", "xml", "show"],
        &["--timeout-s", "0", "show"],
        &["key", "issue"],
    ] {
        let run = harness.ctl(args).await;
        assert_eq!(run.code, 2, "{args:?}: {run:?}");
        assert!(run.err.starts_with("error: ") && run.err.contains("(hint: "), "{run:?}");
    }
    let run = crate::harness::run_at("platform", &["show"]).await;
    assert_eq!(run.code, 2, "{run:?}");
    let help = harness.ctl(&["--help"]).await;
    assert_eq!(help.code, 0);
    assert!(help.out.contains("kingcupford-ctl rollout start\n"), "{}", help.out);
    assert!(help.out.contains("8 the watched rollout was rolled back"), "{}", help.out);
}
