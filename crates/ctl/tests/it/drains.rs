//! Drains of the active preset.

use expect_test::expect;
use kingcupford_standin::PlatformFaults;

use crate::bench::{Bench, FOLDER, Folder};

/// Guards against a drain that is lost when two operators drain different parts at once, or while
/// keys are issued.
#[tokio::test]
async fn racing_drains_of_different_parts_both_take_effect() {
    let bench = Bench::with_config().await;
    bench.platform.set_faults(PlatformFaults { delay_ms: 60, ..PlatformFaults::default() });
    let add = |target: &'static str, name: &'static str| {
        let bench = &bench;
        async move { bench.ctl(&["drain", "add", "--target", target, "--name", name]).await }
    };
    let issue = ["key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (a, b, c) =
        tokio::join!(add("zone", "alpen-b"), add("instance", "katalog-1"), bench.ctl(&issue));
    assert_eq!([a.code, b.code, c.code], [0, 0, 0], "{a:?} {b:?} {c:?}");
    bench.platform.set_faults(PlatformFaults::default());
    let status = bench.ctl(&["drain", "status"]).await;
    assert!(status.out.contains("alpen-b") && status.out.contains("katalog-1"), "{status:?}");
    assert!(bench.ctl(&["key", "list"]).await.out.contains("k1"), "the key was lost");
}

/// Guards against two operators who both believe to have drained the same part.
#[tokio::test]
async fn racing_drains_of_one_part_have_one_winner() {
    let bench = Bench::with_config().await;
    bench.platform.set_faults(PlatformFaults { delay_ms: 60, ..PlatformFaults::default() });
    let add = ["drain", "add", "--target", "region", "--name", "jura"];
    let (first, second) = tokio::join!(bench.ctl(&add), bench.ctl(&add));
    assert_eq!(first.code.min(second.code), 0, "{first:?} {second:?}");
    let loser = if first.code == 0 { second } else { first };
    expect![[r#"
        exit 4
        --- out
        --- err
        error: version 2 of revision rev-1+drains came first and nothing was changed; the changes overlap (hint: look at the winner's change, then plan and repeat)
    "#]].assert_eq(&loser.golden());
}

/// Guards against a drain of a part that does not exist, which would have no effect.
#[tokio::test]
async fn drain_of_an_unknown_part_is_rejected() {
    let bench = Bench::with_config().await;
    let run = bench.ctl(&["drain", "add", "--target", "zone", "--name", "jura-z"]).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: presets.ordinary.drains.jura-z: names the unknown zone `jura-z` (hint: declare the zone in its region or correct the name)
    "#]].assert_eq(&run.golden());
    let run = bench.ctl(&["drain", "remove", "--target", "zone", "--name", "jura-a"]).await;
    expect![[r#"
        exit 3
        --- out
        --- err
        error: presets.ordinary.drains.jura-a: zone is not drained (hint: `drain status` shows the drains in force)
    "#]].assert_eq(&run.golden());
    let run = bench.ctl(&["drain", "add", "--target", "host", "--name", "entry-9"]).await;
    expect![[r#"
        exit 0
        --- out
        host entry-9 is drained in version 2
        no zone has entry hosts yet
        --- err
        warning: no host entry-9 is announced at the platform
    "#]]
    .assert_eq(&run.golden());
}

/// Guards against drains whose effect operators cannot see, and against a folder that ends a drain
/// without notice.
#[tokio::test]
async fn drain_is_shown_and_planned_over() {
    let bench = Bench::with_config().await;
    let add = ["drain", "add", "--target", "region", "--name", "alpen"];
    assert_eq!(bench.ctl(&add).await.code, 0);
    expect![[r#"
        exit 0
        --- out
        preset ordinary
        TARGET  NAME   INSTANCES
        region  alpen  2
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["drain", "status"]).await.golden());
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
    .assert_eq(&bench.ctl(&["--format", "json", "drain", "status"]).await.golden());
    let folder = Folder::new(FOLDER);
    expect![[r#"
        exit 0
        --- out
        update presets.ordinary
        1 change from version 2 of revision rev-1+drains
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["plan", folder.arg()]).await.golden());
    let remove = ["drain", "remove", "--target", "region", "--name", "alpen"];
    assert_eq!(bench.ctl(&remove).await.code, 0);
    expect![[r#"
        exit 0
        --- out
        0 changes from version 3 of revision rev-1+drains
        --- err
    "#]]
    .assert_eq(&bench.ctl(&["plan", folder.arg()]).await.golden());
}
