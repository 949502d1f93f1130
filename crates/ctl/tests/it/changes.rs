//! Presets, keys, confirmation by zones and races.

use expect_test::expect;
use kingcupford_standin::PlatformFaults;
use serde_json::{Value, json};

use crate::bench::Bench;

/// Guards against changes that count as done while a zone still works with the old version, and
/// against a message that leaves out which zone it is.
#[tokio::test]
async fn switch_names_zones_that_have_not_confirmed() {
    let bench = Bench::with_config().await;
    bench.zone("alpen-a", "entry-1", 2).await;
    bench.zone("alpen-b", "entry-2", 1).await;
    bench.announce("jura-a", "entry-3").await;
    // The stand-in's list of hosts lags.
    tokio::time::sleep(std::time::Duration::from_secs(3)).await;
    let run = bench.ctl(&["--confirm-s", "1", "preset", "switch", "dawn"]).await;
    expect![[r#"
        exit 7
        --- out
        preset dawn is active in version 2
        --- err
        error: not confirmed within <n> ms (hint: such a zone goes on with the former preset until it hears of this one; `status` shows when it has)
        error: zone alpen-b: host entry-2 (live) has version 1
        error: zone jura-a: has written no state yet
    "#]].assert_eq(&run.golden());
    let run = bench.ctl(&["--confirm-s", "1", "--format", "json", "preset", "switch", "ordinary"]);
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
    "#]].assert_eq(&run.await.golden());
}

/// Guards against a revocation that looks complete although a zone still serves the key.
#[tokio::test]
async fn revoke_says_what_an_unconfirmed_zone_does() {
    let bench = Bench::with_config().await;
    let issued = bench.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k1"]).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    bench.zone("alpen-a", "entry-1", 2).await;
    let run = bench.ctl(&["--confirm-s", "1", "key", "revoke", "k1"]).await;
    expect![[r#"
        exit 7
        --- out
        key k1 is revoked in version 3
        --- err
        error: not confirmed within <n> ms (hint: such a zone still serves the key until it hears of the revocation, unless the tenant has `when_isolated: refuse` and the zone is cut off; `status` shows when it has heard)
        error: zone alpen-a: host entry-1 (live) has version 2
    "#]].assert_eq(&run.golden());
}

/// Guards against a wait that fails although every zone has the version.
#[tokio::test]
async fn switch_is_confirmed_by_zones_with_the_version() {
    let bench = Bench::with_config().await;
    bench.zone("alpen-a", "entry-1", 2).await;
    bench.zone("alpen-b", "entry-2", 2).await;
    expect![[r#"
        exit 0
        --- out
        preset dawn is active in version 2
        confirmed by 2 zones after <n> ms
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["preset", "switch", "dawn"]).await.golden());
    let run = bench.ctl(&["--no-wait", "preset", "switch", "ordinary"]).await;
    expect![[r#"
        exit 0
        --- out
        preset ordinary is active in version 3
        --- err
    "#]]
    .assert_eq(&run.golden());
}

/// Guards against a revocation that looks complete because the only host of a cut-off zone had been
/// drained, or had been given up by its zone.
#[tokio::test]
async fn revoke_waits_for_silent_holders_and_warns_of_lost_hosts() {
    let bench = Bench::with_config().await;
    let issued = bench.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k1"]).await;
    assert_eq!(issued.code, 0, "{issued:?}");
    let host = |name: &str, state: &str, config_version: u64| {
        json!({
            "name": name, "state": state, "config_version": config_version, "load_permille": 0
        })
    };
    let zone = |zone: &str, hosts: Vec<Value>| {
        json!({
            "format": 1, "zone": zone, "writer": "entry-1", "written_unix_ms": 0, "hosts": hosts,
            "services": []
        })
    };
    let silent = zone("alpen-b", vec![host("entry-2", "draining", 2)]);
    bench.put("status/zone/alpen-b", &silent).await;
    let record = |name: &str| {
        json!({
            "name": name, "address": "127.0.0.1:7400", "incarnation": 7, "floor": 100, "main": 0,
            "counter": 1, "joined": 1, "acknowledged": 1, "reclaimed": 0
        })
    };
    let holders = [record("entry-2"), record("entry-3")];
    bench.put("quota/ledger", &json!({ "generation": 2, "holders": holders })).await;
    tokio::time::sleep(std::time::Duration::from_millis(10_300)).await;
    let current = zone("alpen-a", vec![host("entry-1", "live", 3), host("entry-3", "gone", 0)]);
    bench.put("status/zone/alpen-a", &current).await;
    let run = bench.ctl(&["--confirm-s", "1", "key", "revoke", "k1"]).await;
    let text = run.golden();
    expect![[r#"
        exit 7
        --- out
        key k1 is revoked in version 3
        --- err
        warning: host entry-3 is gone in the view of its zone but holds a share, so it may run cut off with an older version (hint: if its machine is lost, the share is reclaimed after 31 min)
        error: not confirmed within <n> ms (hint: such a zone still serves the key until it hears of the revocation, unless the tenant has `when_isolated: refuse` and the zone is cut off; `status` shows when it has heard)
        error: zone alpen-b: silent for <n> s, host entry-2 (draining) has version 2
    "#]].assert_eq(&text);
}

/// Guards against keys or hashes that show up again after they were issued.
#[tokio::test]
async fn key_is_printed_once_and_its_hash_never() {
    let bench = Bench::with_config().await;
    let args = ["--format", "json", "key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let issued = bench.ctl(&args).await;
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
    .assert_eq(&issued.golden());
    let key = issued.json()["key"]["key"].as_str().unwrap().to_owned();
    let secret = key.rsplit('_').next().unwrap();
    for args in [
        &["key", "list"][..],
        &["--format", "json", "key", "list"],
        &["show"],
        &["--format", "json", "show"],
    ] {
        let run = bench.ctl(args).await;
        let text = format!("{}{}", run.out, run.err);
        assert!(!text.contains(secret), "{text}");
        assert!(!text.contains("sha256"), "{text}");
        let longest = text.split(|it: char| !it.is_ascii_hexdigit()).map(str::len).max();
        assert!(longest < Some(64), "a hash is printed: {text}");
    }
    expect![[r#"
        exit 0
        --- out
        KEY  TENANT
        k1   kennel-1
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["key", "list"]).await.golden());
    let table = bench.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "k2"]).await;
    expect![[r#"
        exit 0
        --- out
        key k2 of tenant kennel-1 is issued in version 3
        kc_k2_<hex>
        this key is shown once and cannot be shown again
        no zone has entry hosts yet
        --- err
    "#]]
    .assert_eq(&table.golden());
}

/// Guards against a key that is handed out although it was not accepted.
#[tokio::test]
async fn issue_that_is_rejected_prints_no_key() {
    let bench = Bench::with_config().await;
    for format in ["table", "json"] {
        let args = ["--format", format, "key", "issue", "--tenant", "nobody", "--id", "k1"];
        let run = bench.ctl(&args).await;
        assert_eq!(run.code, 3, "{run:?}");
        assert!(!format!("{run:?}").contains("kc_"), "{run:?}");
    }
    let run = bench.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", "a b"]).await;
    expect![[r#"
        exit 2
        --- out
        --- err
        error: --id: `a b` is no identifier (hint: use up to 64 letters, digits, `-` and `.`)
    "#]]
    .assert_eq(&run.golden());
}

/// Guards against a lost update when two operators switch presets at the same moment.
#[tokio::test]
async fn racing_switches_have_one_winner() {
    let bench = Bench::with_config().await;
    let delayed = PlatformFaults { delay_ms: 100, ..PlatformFaults::default() };
    bench.platform.set_faults(delayed);
    let dawn = ["--format", "json", "preset", "switch", "dawn"];
    let (first, second) = tokio::join!(bench.ctl(&dawn), bench.ctl(&dawn));
    // The same wish twice has the same effect, so that nobody has to be told of a race.
    let mut codes = [first.code, second.code];
    codes.sort_unstable();
    assert!(codes == [0, 0] || codes == [0, 4], "{first:?} {second:?}");
    assert_eq!(bench.get("config/head").await["version"], 2);

    let issue = |id: &'static str| {
        let bench = &bench;
        async move { bench.ctl(&["key", "issue", "--tenant", "kennel-1", "--id", id]).await }
    };
    let back = ["preset", "switch", "ordinary"];
    let (a, b, c) = tokio::join!(issue("k1"), issue("k2"), bench.ctl(&back));
    assert_eq!([a.code, b.code, c.code], [0, 0, 0], "{a:?} {b:?} {c:?}");
    bench.platform.set_faults(PlatformFaults::default());
    expect![[r#"
        exit 0
        --- out
        KEY  TENANT
        k1   kennel-1
        k2   kennel-1
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["key", "list"]).await.golden());
    expect![[r#"
        exit 0
        --- out
        PRESET    ACTIVE  SHIFTS  DRAINS  LIMITS
        dawn      no      0       1       0
        ordinary  yes     0       0       0
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["preset", "list"]).await.golden());
}

/// Guards against a race on one key identifier in which both operators believe to have issued it.
#[tokio::test]
async fn racing_issues_of_one_id_have_one_winner() {
    let bench = Bench::with_config().await;
    let delayed = PlatformFaults { delay_ms: 100, ..PlatformFaults::default() };
    bench.platform.set_faults(delayed);
    let args = ["key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (first, second) = tokio::join!(bench.ctl(&args), bench.ctl(&args));
    let loser = if first.code == 0 { &second } else { &first };
    assert_eq!(first.code.min(second.code), 0, "{first:?} {second:?}");
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-1 came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&loser.golden());
}

/// Guards against misread command lines and unclear messages about them.
#[tokio::test]
async fn usage_errors_have_their_own_exit() {
    let bench = Bench::new().await;
    for args in [
        &[][..],
        &["preset"],
        &["preset", "switch"],
        &["drain", "add", "--target", "galaxy", "--name", "x"],
        &["--format", "xml", "show"],
        &["--timeout-s", "0", "show"],
        &["key", "issue"],
    ] {
        let run = bench.ctl(args).await;
        assert_eq!(run.code, 2, "{args:?}: {run:?}");
        assert!(run.err.starts_with("error: ") && run.err.contains("(hint: "), "{run:?}");
    }
    let run = crate::bench::run_at("platform", &["show"]).await;
    assert_eq!(run.code, 2, "{run:?}");
    let help = bench.ctl(&["--help"]).await;
    assert_eq!(help.code, 0);
    assert!(help.out.contains("kingcupford-ctl rollout start\n"), "{}", help.out);
    assert!(help.out.contains("8 the watched rollout was rolled back"), "{}", help.out);
}
