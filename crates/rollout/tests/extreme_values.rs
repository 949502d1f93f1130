//! Rollouts with extreme numbers, as another writer may leave them.

use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    time::Duration,
};

use kingcupford_rollout::{
    Controller, ControllerInput, Hypotheses, Rollout, SequentialTest, Stage, StartRequest, State,
    Timeline, TrafficSplitter, roll_back, start,
};
use tokio::time::Instant;

const UNIX_MS: u64 = 1_000_000;

/// Sets a field of a rollout.
type Setter = fn(&mut Rollout, u64);

/// Returns rollouts with extreme values in each numeric field.
fn extreme_rollouts() -> Vec<(String, Rollout)> {
    let request = StartRequest {
        service: "ledger-view".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: UNIX_MS,
        deadline_unix_ms: UNIX_MS + 600_000,
        write_id: 7,
    };
    let valid = start(None, &request).expect("valid request");
    let setters: [(&str, Setter); 6] = [
        ("generation", |it, value| it.generation = value),
        ("started_unix_ms", |it, value| it.started_unix_ms = value),
        ("duration_ms", |it, value| it.duration_ms = value),
        ("elapsed_ms", |it, value| it.elapsed_ms = value),
        ("changed_at_ms", |it, value| it.changed_at_ms = value),
        ("renewal", |it, value| it.renewal = value),
    ];
    let values = [0, 1, u64::MAX / 2, u64::MAX - 1, u64::MAX];
    let mut res = Vec::new();
    for (field, set) in setters {
        for value in values {
            let mut rollout = valid.clone();
            set(&mut rollout, value);
            res.push((format!("{field}={value}"), rollout));
        }
    }
    res
}

/// Lets a host follow a rollout until it has written it twice.
fn follow(rollout: &Rollout) {
    let now = Instant::now();
    let mut splitter = TrafficSplitter::new(1);
    splitter.update_rollout(Some(rollout), 1);
    SequentialTest::new(Hypotheses::FAILURES, 0.5, rollout.duration_ms, now);
    let mut controller = Controller::new("a", 1);
    for seconds in 0..30 {
        let (now, unix_ms) = (now + Duration::from_secs(seconds), UNIX_MS + seconds * 1000);
        splitter.check_deadline(now, unix_ms);
        let input = ControllerInput {
            rollout,
            document_version: 1,
            assessment: None,
            stop_reason: None,
            platform_reachable: true,
        };
        controller.tick(now, unix_ms, &input);
    }
    let _ = roll_back(rollout, "note", UNIX_MS, 8);
    let ended = Rollout { state: State::RolledBack, ..rollout.clone() };
    let request = StartRequest {
        service: "ledger-view".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: UNIX_MS,
        deadline_unix_ms: UNIX_MS + 600_000,
        write_id: 9,
    };
    let _ = start(Some(&ended), &request);
}

/// Guards against a rollout that ends the process.
#[test]
fn follow_extreme_rollout() {
    let failed: Vec<_> = extreme_rollouts()
        .into_iter()
        .filter(|it| catch_unwind(AssertUnwindSafe(|| follow(&it.1))).is_err())
        .map(|it| it.0)
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against a rollout that goes on past its deadline because a sum is out of range.
#[test]
fn deadline_after_extreme_change() {
    let timeline = Timeline::new(600_000);
    for changed_at_ms in [u64::MAX / 2, u64::MAX - 5_000, u64::MAX] {
        assert!(!timeline.can_meet_deadline(Stage::Five, changed_at_ms, 1));
        assert!(!timeline.can_meet_deadline(Stage::Five, 1, changed_at_ms));
    }
}
