//! Commands on rollouts.

use expect_test::expect;
use kingcupford_standin::PlatformFaults;
use serde_json::json;

use crate::harness::{DECLARATIONS, Harness, TempFolder};

/// Arguments that start a rollout of the service in `DECLARATIONS`.
const START_ARGS: [&str; 9] =
    ["--no-wait", "rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"];

/// Guards against a second rollout that replaces a running one.
#[tokio::test]
async fn start_during_a_running_rollout_is_rejected() {
    let harness = Harness::with_config().await;
    assert_eq!(harness.ctl(&START_ARGS).await.code, 0);
    let before = harness.read_json("rollout/katalog").await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: rollout/katalog: a rollout to `v2` is running (hint: wait until it ends or roll it back)
    "#]].assert_eq(&harness.ctl(&START_ARGS).await.normalized());
    let json = harness.ctl(&[&["--format", "json"], &START_ARGS[..]].concat()).await;
    expect![[r#"
        exit 3
        --- out
        {
          "result": "rejected",
          "message": "rollout/katalog: a rollout to `v2` is running",
          "hint": "wait until it ends or roll it back"
        }
        --- err
        error: rollout/katalog: a rollout to `v2` is running (hint: wait until it ends or roll it back)
    "#]].assert_eq(&json.normalized());
    assert_eq!(harness.read_json("rollout/katalog").await, before);
}

/// Guards against a race in which two commands both report that they started a rollout.
#[tokio::test]
async fn racing_starts_have_one_winner() {
    let harness = Harness::with_config().await;
    harness.platform.set_faults(PlatformFaults { delay_ms: 60, ..PlatformFaults::default() });
    let (first, second) = tokio::join!(harness.ctl(&START_ARGS), harness.ctl(&START_ARGS));
    assert_eq!(first.code.min(second.code), 0, "{first:?} {second:?}");
    let loser = if first.code == 0 { second } else { first };
    expect![[r#"
        exit 4
        --- out
        --- err
        error: rollout/katalog: another change came first (generation 1, to v2, running): a rollout to `v2` is running (hint: wait until it ends or roll it back)
    "#]].assert_eq(&loser.normalized());
    assert_eq!(harness.read_json("rollout/katalog").await["generation"], 1);
}

/// Guards against rollouts to versions that cannot serve traffic, and against deadlines that leave
/// no time for a rollback.
#[tokio::test]
async fn invalid_start_is_rejected() {
    let harness = Harness::with_config().await;
    let mut text = String::new();
    for (service, to, deadline) in [
        ("katalog", "v3", "300"),
        ("katalog", "v1", "300"),
        ("katalog", "v2", "20"),
        ("nothing", "v2", "300"),
    ] {
        let args = ["rollout", "start", "--service", service, "--to", to, "--deadline-s", deadline];
        let run = harness.ctl(&args).await;
        assert_eq!(run.code, 3, "{run:?}");
        text.push_str(&run.err);
    }
    expect![[r#"
        error: services.katalog: version `v3` is not declared (hint: declare it with its instances and apply the folder)
        error: rollout/katalog: the old and the new version are the same (hint: name two versions)
        error: rollout/katalog: the deadline is 20000 ms away (hint: leave at least 120000 ms for stages, watch time and rollback)
        error: services.nothing: no such service (hint: correct the name)
    "#]].assert_eq(&text);
}

/// Guards against a rollout that counts as confirmed although no host controls it.
#[tokio::test]
async fn start_without_hosts_is_not_confirmed() {
    let harness = Harness::with_config().await;
    let args = [&["--confirm-s", "1"], &START_ARGS[1..]].concat();
    let run = harness.ctl(&args).await;
    expect![[r#"
        exit 7
        --- out
        katalog to v2: running at 1%, new version got 0 requests, 0 failed, 0 slow; <n> s left
        --- err
        error: rollout/katalog: accepted, but no host took it over within <n> ms (hint: `status` shows whether hosts reach the platform)
    "#]].assert_eq(&run.normalized());
}

/// Guards against a start or a rollback that counts as confirmed because a controller writes
/// another rollout, or the same one without the rollback, after the platform was restored.
#[tokio::test]
async fn change_lost_in_restoration_is_not_confirmed() {
    let harness = Harness::with_config().await;
    let take_over = |state: &'static str, renewal: u64, started_unix_ms: Option<u64>| {
        let harness = &harness;
        async move {
            let mut rollout = harness.wait_for_rollout(state).await;
            rollout["state"] = json!("running");
            rollout["reason"] = json!(null);
            rollout["controller"] = json!("entry-1");
            rollout["renewal"] = json!(renewal);
            rollout["write_id"] = json!(renewal);
            if let Some(started_unix_ms) = started_unix_ms {
                rollout["started_unix_ms"] = json!(started_unix_ms);
            }
            harness.write_json("rollout/katalog", &rollout).await;
        }
    };
    let start = [&["--confirm-s", "2"], &START_ARGS[1..]].concat();
    let (run, ()) = tokio::join!(harness.ctl(&start), take_over("running", 5, Some(1_000)));
    assert_eq!((run.code, run.out.contains("taken over")), (7, false), "{run:?}");
    let rollback = ["--confirm-s", "2", "rollout", "rollback", "--service", "katalog"];
    let rollback = [&rollback[..], &["--note", "errors seen"]].concat();
    let (run, ()) = tokio::join!(harness.ctl(&rollback), take_over("rolling-back", 9, None));
    assert_eq!((run.code, run.out.contains("taken over")), (7, false), "{run:?}");
}

/// Guards against a watch that does not show the end, the reason or the exposure of a rollout.
#[tokio::test]
async fn watch_reports_done_and_rolled_back() {
    let harness = Harness::with_config().await;
    assert_eq!(harness.ctl(&START_ARGS).await.code, 0);
    let mut rollout = harness.read_json("rollout/katalog").await;
    rollout["state"] = json!("rolled-back");
    rollout["reason"] = json!({ "kind": "faulty", "route": "/", "fault": "failures" });
    rollout["controller"] = json!("entry-1");
    rollout["exposure"] = json!([
        { "route": "/", "new_requests": 61, "new_failures": 9, "new_slow": 2, "old_requests": 5000 }
    ]);
    rollout["a_field_of_a_later_version"] = json!(1);
    harness.write_json("rollout/katalog", &rollout).await;
    expect![[r#"
        exit 8
        --- out
        katalog to v2: rolled-back at 0%, new version got 61 requests, 9 failed, 2 slow; the new version is worse on / (failures)
        --- err
    "#]].assert_eq(&harness.ctl(&["rollout", "watch", "katalog"]).await.normalized());
    let json = harness.ctl(&["--format", "json", "rollout", "watch", "katalog"]).await;
    expect![[r#"
        exit 8
        --- out
        {"service":"katalog","generation":1,"from":"v1","to":"v2","state":"rolled-back","share_percent":0,"time_left_ms":0,"controller":"entry-1","reason":"the new version is worse on / (failures)","exposure":[{"route":"/","new_requests":61,"new_failures":9,"new_slow":2,"old_requests":5000}],"thin_routes":[]}
        --- err
    "#]].assert_eq(&json.normalized());
    expect![[r#"
        exit 0
        --- out
        SERVICE  FROM  TO  STATE        SHARE  TIME LEFT  CONTROLLER  NEW VERSION GOT
        katalog  v1    v2  rolled-back  0%     <n> s        entry-1     61 requests, 9 failed, 2 slow
        katalog was rolled back: the new version is worse on / (failures)
        --- err
    "#]].assert_eq(&harness.ctl(&["rollout", "list"]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        no rollout is open
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["rollout", "watch"]).await.normalized());

    rollout["state"] = json!("done");
    rollout["stage_percent"] = json!(100);
    rollout["reason"] = json!(null);
    harness.write_json("rollout/katalog", &rollout).await;
    expect![[r#"
        exit 0
        --- out
        katalog to v2: done at 100%, new version got 61 requests, 9 failed, 2 slow
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["rollout", "watch", "katalog"]).await.normalized());
    let late_rollback = ["rollout", "rollback", "--service", "katalog", "--note", "late"];
    expect![[r#"
        exit 3
        --- out
        --- err
        error: rollout/katalog: the rollout is done (hint: start a rollout in the other direction instead)
    "#]].assert_eq(&harness.ctl(&late_rollback).await.normalized());
    let unknown = harness.ctl(&["rollout", "watch", "nothing"]).await;
    expect![[r#"
        exit 2
        --- out
        --- err
        error: rollout/nothing: no rollout was ever started (hint: `rollout list` shows all of them)
    "#]]
    .assert_eq(&unknown.normalized());
}

/// Guards against a start that replaces a finished but undeclared rollout, which would send traffic
/// back to the old version, and against a finished rollout whose version cannot be declared.
#[tokio::test]
async fn start_after_a_finished_rollout_needs_the_declared_version() {
    let harness = Harness::with_config().await;
    assert_eq!(harness.ctl(&START_ARGS).await.code, 0);
    let mut rollout = harness.read_json("rollout/katalog").await;
    rollout["state"] = json!("done");
    rollout["stage_percent"] = json!(100);
    harness.write_json("rollout/katalog", &rollout).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: rollout/katalog: the finished rollout to `v2` is not declared yet (hint: set `active_version: v2` and apply the folder)
    "#]].assert_eq(&harness.ctl(&START_ARGS).await.normalized());
    let folder = TempFolder::new(&DECLARATIONS.replace("active_version: v1", "active_version: v2"));
    let applied = harness.ctl(&["apply", folder.arg(), "--revision", "rev-2"]).await;
    assert_eq!(applied.code, 0, "{applied:?}");
}

/// Guards against a folder that removes a version while a rollout sends traffic to it.
#[tokio::test]
async fn apply_keeps_the_versions_of_an_open_rollout() {
    let harness = Harness::with_config().await;
    assert_eq!(harness.ctl(&START_ARGS).await.code, 0);
    let text = DECLARATIONS.replace("- name: v2", "- name: v3");
    let folder = TempFolder::new(&text);
    let run = harness.ctl(&["apply", folder.arg(), "--revision", "rev-2"]).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: services.katalog: an open rollout uses version `v2` (hint: keep the version until the rollout ends)
    "#]].assert_eq(&run.normalized());
}
