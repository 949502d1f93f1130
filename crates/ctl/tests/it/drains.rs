//! Commands on the drains of the active preset.

use expect_test::expect;
use kingcupford_standin::PlatformFaults;

use crate::harness::{DECLARATIONS, Harness, TempFolder};

/// Guards against a lost drain or key when two operators drain different targets while a key is
/// issued.
#[tokio::test]
async fn racing_drains_of_different_targets_both_take_effect() {
    let harness = Harness::with_config().await;
    harness.platform.set_faults(PlatformFaults { delay_ms: 60, ..PlatformFaults::default() });
    let add = |target: &'static str, name: &'static str| {
        let harness = &harness;
        async move { harness.ctl(&["drain", "add", "--target", target, "--name", name]).await }
    };
    let issue = ["key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (a, b, c) =
        tokio::join!(add("zone", "alpen-b"), add("instance", "katalog-1"), harness.ctl(&issue));
    assert_eq!([a.code, b.code, c.code], [0, 0, 0], "{a:?} {b:?} {c:?}");
    harness.platform.set_faults(PlatformFaults::default());
    let status = harness.ctl(&["drain", "status"]).await;
    assert!(status.out.contains("alpen-b") && status.out.contains("katalog-1"), "{status:?}");
    assert!(harness.ctl(&["key", "list"]).await.out.contains("k1"), "the key was lost");
}

/// Guards against a race in which two commands both report that they drained the same target.
#[tokio::test]
async fn racing_drains_of_one_target_have_one_winner() {
    let harness = Harness::with_config().await;
    harness.platform.set_faults(PlatformFaults { delay_ms: 60, ..PlatformFaults::default() });
    let add = ["drain", "add", "--target", "region", "--name", "jura"];
    let (first, second) = tokio::join!(harness.ctl(&add), harness.ctl(&add));
    assert_eq!(first.code.min(second.code), 0, "{first:?} {second:?}");
    let loser = if first.code == 0 { second } else { first };
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-1+drains came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&loser.normalized());
}

/// Guards against drains of targets that do not exist, which would have no effect. A host may be
/// unknown to the platform, so draining one gives a warning only.
#[tokio::test]
async fn drain_of_an_unknown_target_is_rejected() {
    let harness = Harness::with_config().await;
    let run = harness.ctl(&["drain", "add", "--target", "zone", "--name", "jura-z"]).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: presets.ordinary.drains.jura-z: names the unknown zone `jura-z` (hint: declare the zone in its region or correct the name)
    "#]].assert_eq(&run.normalized());
    let run = harness.ctl(&["drain", "remove", "--target", "zone", "--name", "jura-a"]).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: presets.ordinary.drains.jura-a: zone is not drained (hint: `drain status` shows the drains in force)
    "#]].assert_eq(&run.normalized());
    let run = harness.ctl(&["drain", "add", "--target", "host", "--name", "entry-9"]).await;
    expect![[r#"
        exit 0
        --- out
        host entry-9 is drained in version 2
        no zone has entry hosts yet
        --- err
        warning: no host entry-9 is announced at the platform
    "#]]
    .assert_eq(&run.normalized());
}

/// Guards against drains whose effect operators cannot see, and against a plan that does not show
/// that a folder ends a drain.
#[tokio::test]
async fn drain_is_shown_by_status_and_plan() {
    let harness = Harness::with_config().await;
    let add = ["drain", "add", "--target", "region", "--name", "alpen"];
    assert_eq!(harness.ctl(&add).await.code, 0);
    expect![[r#"
        exit 0
        --- out
        preset ordinary
        TARGET  NAME   INSTANCES
        region  alpen  2
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["drain", "status"]).await.normalized());
    expect![[r#"
        exit 0
        --- out
        {
          "active_preset": "ordinary",
          "drains": [
            {
              "target": "region",
              "name": "alpen",
              "instances": [
                "katalog-1",
                "katalog-3"
              ]
            }
          ]
        }
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["--format", "json", "drain", "status"]).await.normalized());
    let folder = TempFolder::new(DECLARATIONS);
    expect![[r#"
        exit 0
        --- out
        update presets.ordinary
        1 change from version 2 of revision rev-1+drains
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["plan", folder.arg()]).await.normalized());
    let remove = ["drain", "remove", "--target", "region", "--name", "alpen"];
    assert_eq!(harness.ctl(&remove).await.code, 0);
    expect![[r#"
        exit 0
        --- out
        0 changes from version 3 of revision rev-1+drains
        --- err
    "#]]
    .assert_eq(&harness.ctl(&["plan", folder.arg()]).await.normalized());
}
