//! Lost answers and an unavailable platform.

use expect_test::expect;
use kingcupford_standin::{OutageMode, PlatformFaults};

use crate::bench::{Bench, Folder, run_at};

/// Faults that keep the platform away.
fn away() -> PlatformFaults {
    PlatformFaults { outage: OutageMode::Unavailable, ..PlatformFaults::default() }
}

/// Guards against commands that claim or suggest a change while the platform is away.
#[tokio::test]
async fn platform_that_is_away_changes_nothing() {
    let bench = Bench::with_config().await;
    bench.platform.set_faults(away());
    let folder = Folder::new(crate::bench::FOLDER);
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
        let run = bench.ctl(&[&["--timeout-s", "1"], args].concat()).await;
        assert_eq!(run.code, 6, "{args:?}: {run:?}");
        assert!(run.err.contains("nothing was changed (hint: "), "{run:?}");
        assert!(!format!("{run:?}").contains("kc_"), "{run:?}");
    }
    let json = bench.ctl(&["--timeout-s", "1", "--format", "json", "show"]).await;
    assert_eq!(json.json()["result"], "unavailable");
    bench.platform.set_faults(PlatformFaults::default());
    assert_eq!(bench.get("config/head").await["version"], 1);
}

/// Guards against a command that hangs when nothing listens at the platform's address.
#[tokio::test]
async fn platform_that_is_not_there_ends_the_command() {
    let run = run_at("http://127.0.0.1:1", &["--timeout-s", "1", "show"]).await;
    expect![[r#"
        exit 6
        --- out
        --- err
        error: platform http://127.0.0.1:1 does not answer, nothing was changed (hint: check the URL and the platform, then repeat the command)
    "#]].assert_eq(&run.golden());
}

/// Guards against a change that is reported as failed, or made twice, because its answer was lost.
#[tokio::test]
async fn switch_with_a_lost_answer_finds_out_what_happened() {
    let bench = Bench::with_config().await;
    let delay_ms = 200;
    bench.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let writes = bench.platform.call_counts().writes;
    let lose_head = async {
        // The first write keeps the replaced head, the second one replaces it.
        bench.until(|it| it.writes == writes + 1).await;
        bench.platform.set_faults(PlatformFaults {
            delay_ms,
            lose_next_write_answers: 1,
            ..PlatformFaults::default()
        });
    };
    let (run, ()) = tokio::join!(bench.ctl(&["preset", "switch", "dawn"]), lose_head);
    assert_eq!(bench.platform.call_counts().lost_answers, 1);
    expect![[r#"
        exit 0
        --- out
        preset dawn is active in version 2
        an answer was lost; reading back showed that it took effect
        no zone has entry hosts yet
        --- err
    "#]]
    .assert_eq(&run.golden());
    let head = bench.get("config/head").await;
    assert_eq!((&head["version"], &head["active_preset"]), (&2.into(), &"dawn".into()));
}

/// Guards against a guess when the answer is lost and the platform stays away.
#[tokio::test]
async fn issue_with_a_lost_answer_and_no_platform_is_undetermined() {
    let bench = Bench::with_config().await;
    let delay_ms = 200;
    bench.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let writes = bench.platform.call_counts().writes;
    let lose_platform = async {
        // A new chunk, then the replaced head; the third write is the one that matters.
        bench.until(|it| it.writes == writes + 2).await;
        bench.platform.set_faults(PlatformFaults {
            delay_ms,
            lose_next_write_answers: 1,
            ..PlatformFaults::default()
        });
        bench.until(|it| it.lost_answers == 1).await;
        bench.platform.set_faults(away());
    };
    let args = ["--timeout-s", "3", "key", "issue", "--tenant", "kennel-1", "--id", "k1"];
    let (run, ()) = tokio::join!(bench.ctl(&args), lose_platform);
    expect![[r#"
        exit 5
        --- out
        --- err
        error: the answer to change issue-<hex> was lost and it may have taken effect (hint: if `key list` shows k1, revoke it, then issue another key)
    "#]].assert_eq(&run.golden());
    bench.platform.set_faults(PlatformFaults::default());
    let list = bench.ctl(&["key", "list"]).await;
    assert!(list.out.contains("k1"), "the change took effect: {list:?}");
}

/// Guards against a rollout that is reported as refused because its own object is found there.
#[tokio::test]
async fn rollout_with_a_lost_answer_finds_out_what_happened() {
    let bench = Bench::with_config().await;
    let lost = PlatformFaults { lose_next_write_answers: 1, ..PlatformFaults::default() };
    bench.platform.set_faults(lost);
    let args = ["rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"];
    let run = bench.ctl(&[&["--no-wait"], &args[..]].concat()).await;
    assert_eq!(run.code, 0, "{run:?}");
    assert!(run.out.contains("reading back showed that it took effect"), "{run:?}");

    bench.platform.set_faults(PlatformFaults { lose_next_writes: 1, ..PlatformFaults::default() });
    let args = ["rollout", "rollback", "--service", "katalog", "--note", "lost"];
    let run = bench.ctl(&[&["--no-wait"], &args[..]].concat()).await;
    assert_eq!(run.code, 0, "a write that never arrived is repeated: {run:?}");
    assert_eq!(bench.get("rollout/katalog").await["state"], "rolling-back");
}

/// Guards against a rollout that runs although its operator was told that nothing was changed.
#[tokio::test]
async fn rollout_with_a_lost_answer_and_no_platform_is_undetermined() {
    let bench = Bench::with_config().await;
    let lost = PlatformFaults { lose_next_write_answers: 1, delay_ms: 100, ..away() };
    bench.platform.set_faults(PlatformFaults { outage: OutageMode::None, ..lost });
    let lose_platform = async {
        bench.until(|it| it.lost_answers == 1).await;
        bench.platform.set_faults(away());
    };
    let args = ["rollout", "start", "--service", "katalog", "--to", "v2", "--deadline-s", "300"];
    let args = [&["--timeout-s", "2"], &args[..]].concat();
    let (run, ()) = tokio::join!(bench.ctl(&args), lose_platform);
    expect![[r#"
        exit 5
        --- out
        --- err
        error: rollout/katalog: the answer was lost and the change may have taken effect (hint: `rollout list` shows whether it did)
    "#]].assert_eq(&run.golden());
}

/// Guards against a change that is reported as not made because its confirmation cannot be read.
#[tokio::test]
async fn switch_before_an_outage_is_changed_and_not_confirmed() {
    let bench = Bench::with_config().await;
    bench.zone("alpen-a", "entry-1", 1).await;
    bench.platform.set_faults(PlatformFaults { delay_ms: 20, ..PlatformFaults::default() });
    let lose_platform = async {
        while bench.get("config/head").await["version"] != 2 {}
        bench.platform.set_faults(away());
    };
    let args = ["--timeout-s", "1", "--confirm-s", "1", "preset", "switch", "dawn"];
    let (run, ()) = tokio::join!(bench.ctl(&args), lose_platform);
    expect![[r#"
        exit 7
        --- out
        preset dawn is active in version 2
        --- err
        error: not confirmed within <n> ms (hint: such a zone goes on with the former preset until it hears of this one; `status` shows when it has)
        error: zone all: the platform does not tell the zones' states
    "#]].assert_eq(&run.golden());
}
