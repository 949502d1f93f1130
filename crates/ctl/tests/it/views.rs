//! Commands `status` and `watch`.

use std::time::Duration;

use expect_test::expect;
use serde_json::json;

use crate::harness::Harness;

/// Starts a platform with the status of two zones, one host without a configuration version, and a
/// ledger.
async fn deployment() -> Harness {
    let harness = Harness::with_config().await;
    harness.write_zone_status("alpen-a", "entry-1", 1).await;
    // The newest report on a region is shown; reports within one millisecond would be a tie.
    tokio::time::sleep(Duration::from_millis(50)).await;
    harness.write_zone_status("alpen-b", "entry-2", 0).await;
    let ledger = json!({
        "generation": 2,
        "holders": [
            {
                "name": "entry-1", "address": "127.0.0.1:7400", "incarnation": 7, "floor": 120000,
                "main": 480000, "counter": 1, "joined": 1, "acknowledged": 2, "reclaimed": 0
            },
            {
                "name": "entry-2", "address": "127.0.0.1:7401", "incarnation": 8, "floor": 80000,
                "main": 320000, "counter": 1, "joined": 2, "acknowledged": 2, "reclaimed": 0
            }
        ]
    });
    harness.write_json("quota/ledger", &ledger).await;
    harness
}

/// Guards against changes of columns or fields, on which scripts of operators depend.
#[tokio::test]
async fn status_has_the_documented_format() {
    let harness = deployment().await;
    expect![[r#"
        exit 0
        --- out
        version 1 of revision rev-1, preset ordinary

        ZONE     REGION  STATE     WRITER   AGE  PROBLEM
        alpen-a  alpen   current   entry-1  <n> s
        alpen-b  alpen   behind    entry-2  <n> s  host entry-2 (live) has told no version
        jura-a   jura    no-hosts  -        -

        entry hosts
        HOST     ZONE     STATE  VERSION  LOAD
        entry-1  alpen-a  live   1        25%
        entry-2  alpen-b  live   -        25%

        free slots
        SERVICE  REGION  FREE  SLOTS
        katalog  alpen   3     4

        rollouts
        none

        shares
        HOLDER   FLOOR   MAIN
        entry-1  12.00%  48.00%
        entry-2  8.00%   32.00%
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["status"]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        {
          "version": 1,
          "revision": "rev-1",
          "active_preset": "ordinary",
          "zones": [
            {
              "zone": "alpen-a",
              "region": "alpen",
              "state": "current",
              "writer": "entry-1",
              "age_ms": <n>,
              "problem": null
            },
            {
              "zone": "alpen-b",
              "region": "alpen",
              "state": "behind",
              "writer": "entry-2",
              "age_ms": <n>,
              "problem": "host entry-2 (live) has told no version"
            },
            {
              "zone": "jura-a",
              "region": "jura",
              "state": "no-hosts",
              "writer": null,
              "age_ms": null,
              "problem": null
            }
          ],
          "hosts": [
            {
              "host": "entry-1",
              "zone": "alpen-a",
              "state": "live",
              "config_version": 1,
              "load_permille": 250
            },
            {
              "host": "entry-2",
              "zone": "alpen-b",
              "state": "live",
              "config_version": 0,
              "load_permille": 250
            }
          ],
          "services": [
            {
              "service": "katalog",
              "region": "alpen",
              "free": 3,
              "slots": 4,
              "reported_by": "alpen-b"
            }
          ],
          "rollouts": [],
          "holders": [
            {
              "host": "entry-1",
              "incarnation": 7,
              "floor_percent": 12.0,
              "main_percent": 48.0
            },
            {
              "host": "entry-2",
              "incarnation": 8,
              "floor_percent": 8.0,
              "main_percent": 32.0
            }
          ]
        }
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["--format", "json", "status"]).await.normalized());
}

/// Guards against a silent zone that is shown as current because its last status was.
#[tokio::test]
async fn status_names_silent_zones() {
    let harness = deployment().await;
    tokio::time::sleep(Duration::from_millis(10_300)).await;
    harness.write_zone_status("alpen-a", "entry-1", 1).await;
    let run = harness.ctl(&["--format", "json", "status"]).await;
    let zones = run.json()["zones"].clone();
    let states: Vec<_> = zones.as_array().unwrap().iter().map(|it| &it["state"]).collect();
    assert_eq!(states, ["current", "silent", "no-hosts"], "{zones:#}");
}

/// Guards against a watch that prints indented JSON, which line-based tools cannot read.
#[tokio::test]
async fn watch_prints_a_line_for_each_read() {
    let harness = deployment().await;
    let args = ["--format", "json", "watch", "--every-s", "1", "--count", "2"];
    let run = harness.ctl(&args).await;
    assert_eq!((run.code, run.out.lines().count()), (0, 2), "{run:?}");
    for line in run.out.lines() {
        let value: serde_json::Value = serde_json::from_str(line).unwrap();
        assert_eq!(value["version"], 1);
    }
}

/// Guards against an unclear error on a platform without any configuration.
#[tokio::test]
async fn status_without_configuration_says_what_to_do() {
    let harness = Harness::new().await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: config/head: no configuration was accepted yet (hint: apply a folder of declarations first)
    "#]].assert_eq(&harness.ctl(&["status"]).await.normalized());
}
