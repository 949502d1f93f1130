//! Commands during outages of the platform and after lost answers.

use expect_test::expect;
use kingcupford_standin::{OutageMode, PlatformFaults};

use crate::harness::{Harness, TempFolder, run_at};

fn unavailable_platform() -> PlatformFaults {
    PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() }
}

/// Guards against commands that report a change or print a key while the platform is unavailable.
#[tokio::test]
async fn unavailable_platform_changes_nothing() {
    let harness = Harness::with_config().await;
    harness.platform.set_faults(unavailable_platform());
    let folder = TempFolder::new(crate::harness::DECLARATIONS);
    let commands = [
        &["show"][..],
        &["status"],
        &["plan", folder.arg()],
        &["apply", folder.arg(), "--revision", "rev-2"],
        &["preset", "switch", "dawn"],
        &["key", "issue", "--tenant", "kennel-1"],
        &["drain", "add", "--target", "zone", "--name", "jura-a"],
        &["rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"],
        &["rollout", "rollback", "--service", "katalog", "--note", "x"],
    ];
    for args in commands {
        let run = harness.ctl(&[&["--timeout-s", "1"], args].concat()).await;
        assert_eq!(run.code, 6, "{args:?}: {run:?}");
        assert!(run.err.contains("nothing was changed (hint: "), "{run:?}");
        assert!(!format!("{run:?}").contains("kc_"), "{run:?}");
    }
    let json = harness.ctl(&["--timeout-s", "1", "--format", "json", "show"]).await;
    assert_eq!(json.json()["result"], "unavailable");
    harness.platform.set_faults(PlatformFaults::default());
    assert_eq!(harness.read_json("config/head").await["version"], 1);
}

/// Guards against a command that hangs when nothing listens at the platform's address.
#[tokio::test]
async fn unreachable_platform_ends_the_command() {
    let run = run_at("http://127.0.0.1:1", &["--timeout-s", "1", "show"]).await;
    expect![[r#"
        exit 6
        --- out
        --- err
        error: platform http://127.0.0.1:1 does not answer, nothing was changed (hint: check the URL and the platform, then repeat the command)
    "#]].assert_eq(&run.normalized());
}

/// Guards against a change that is reported as failed, or made twice, because an answer was lost.
#[tokio::test]
async fn switch_with_a_lost_answer_reads_the_outcome_back() {
    let harness = Harness::with_config().await;
    let delay_ms = 200;
    harness.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let writes = harness.platform.call_counts().writes;
    let lose_head = async {
        // The first write stores a copy of the current head, the second one replaces the head.
        harness.wait_for_calls(|it| it.writes == writes + 1).await;
        harness.platform.set_faults(PlatformFaults {
            delay_ms,
            lose_next_write_answers: 1,
            ..PlatformFaults::default()
        });
    };
    let (run, ()) = tokio::join!(harness.ctl(&["preset", "switch", "dawn"]), lose_head);
    assert_eq!(harness.platform.call_counts().lost_answers, 1);
    expect![[r#"
        exit 0
        --- out
        preset dawn is active in version 2
        an answer was lost; reading back showed that it took effect
        no zone has entry hosts yet
        --- err
    "#]]
    .assert_eq(&run.normalized());
    let head = harness.read_json("config/head").await;
    assert_eq!((&head["version"], &head["active_preset"]), (&2.into(), &"dawn".into()));
}

/// Guards against a definite result when an answer was lost and the platform stays unavailable.
#[tokio::test]
async fn issue_with_a_lost_answer_and_no_platform_is_undetermined() {
    let harness = Harness::with_config().await;
    let delay_ms = 200;
    harness.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let writes = harness.platform.call_counts().writes;
    let lose_platform = async {
        // The first write stores a chunk and the second one a copy of the current head; the third
        // one replaces the head and so makes the change.
        harness.wait_for_calls(|it| it.writes == writes + 2).await;
        harness.platform.set_faults(PlatformFaults {
            delay_ms,
            lose_next_write_answers: 1,
            ..PlatformFaults::default()
        });
        harness.wait_for_calls(|it| it.lost_answers == 1).await;
        harness.platform.set_faults(unavailable_platform());
    };
    let args = ["--timeout-s", "3", "key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (run, ()) = tokio::join!(harness.ctl(&args), lose_platform);
    expect![[r#"
        exit 5
        --- out
        --- err
        error: the answer to change issue-<hex> was lost and it may have taken effect (hint: if `key list` shows k1, revoke it, then issue another key)
    "#]].assert_eq(&run.normalized());
    harness.platform.set_faults(PlatformFaults::default());
    let list = harness.ctl(&["key", "list"]).await;
    assert!(list.out.contains("k1"), "the change took effect: {list:?}");
}

/// Guards against a rollout that is reported as rejected because the command reads back the object
/// of its own write.
#[tokio::test]
async fn rollout_with_a_lost_answer_reads_the_outcome_back() {
    let harness = Harness::with_config().await;
    let lost_answer = PlatformFaults { lose_next_write_answers: 1, ..PlatformFaults::default() };
    harness.platform.set_faults(lost_answer);
    let args = ["rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"];
    let run = harness.ctl(&[&["--no-wait"], &args[..]].concat()).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("reading back showed that it took effect"), "{run:?}");

    harness
        .platform
        .set_faults(PlatformFaults { lose_next_writes: 1, ..PlatformFaults::default() });
    let args = ["rollout", "rollback", "--service", "katalog", "--note", "lost"];
    let run = harness.ctl(&[&["--no-wait"], &args[..]].concat()).await;
    assert_eq!(run.code, 0, "a write that never arrived is repeated: {run:?}");
    assert_eq!(harness.read_json("rollout/katalog").await["state"], "rolling-back");
}

/// Guards against a rollout that runs although the command reported that nothing was changed.
#[tokio::test]
async fn rollout_with_a_lost_answer_and_no_platform_is_undetermined() {
    let harness = Harness::with_config().await;
    let lost_answer =
        PlatformFaults { lose_next_write_answers: 1, delay_ms: 100, ..unavailable_platform() };
    harness.platform.set_faults(PlatformFaults { outage: OutageMode::None, ..lost_answer });
    let lose_platform = async {
        harness.wait_for_calls(|it| it.lost_answers == 1).await;
        harness.platform.set_faults(unavailable_platform());
    };
    let args = ["rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"];
    let args = [&["--timeout-s", "2"], &args[..]].concat();
    let (run, ()) = tokio::join!(harness.ctl(&args), lose_platform);
    expect![[r#"
        exit 5
        --- out
        --- err
        error: rollout/katalog: the answer was lost and the change may have taken effect (hint: `rollout list` shows whether it did)
    "#]].assert_eq(&run.normalized());
}

/// Guards against a change that is reported as not made because the confirmation cannot be read.
#[tokio::test]
async fn switch_before_an_outage_is_applied_but_not_confirmed() {
    let harness = Harness::with_config().await;
    harness.write_zone_status("alpen-a", "entry-1", 1).await;
    harness.platform.set_faults(PlatformFaults { delay_ms: 20, ..PlatformFaults::default() });
    let lose_platform = async {
        while harness.read_json("config/head").await["version"] != 2 {}
        harness.platform.set_faults(unavailable_platform());
    };
    let args = ["--timeout-s", "1", "--confirm-s", "1", "preset", "switch", "dawn"];
    let (run, ()) = tokio::join!(harness.ctl(&args), lose_platform);
    expect![[r#"
        exit 7
        --- out
        preset dawn is active in version 2
        --- err
        error: not confirmed within <n> ms (hint: such a zone goes on with the former preset until it hears of this one; `status` shows when it has)
        error: zone all: the platform does not tell the zones' states
    "#]].assert_eq(&run.normalized());
}
