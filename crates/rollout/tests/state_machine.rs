//! Order of a rollout's states, with any evidence and clock error.

use std::time::Duration;

use kingcupford_rollout::{
    Assessment, Controller, ControllerInput, FaultKind, MIN_DURATION_MS, Reason, RollBackError,
    Rollout, Stage, StartError, StartRequest, State, Timeline, Verdict, WriteOutcome, roll_back,
    start,
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;

/// Returns a request for a rollout that starts at Unix time 1,000 s.
fn request(duration_ms: u64) -> StartRequest {
    StartRequest {
        service: "katalog".into(),
        from: "v1".into(),
        to: "v2".into(),
        now_unix_ms: 1_000_000,
        deadline_unix_ms: 1_000_000 + duration_ms,
        write_id: 1,
    }
}

/// Conditions of one controller tick.
#[derive(Debug, Clone)]
struct Event {
    host: usize,
    passed_ms: u64,
    clock_error_ms: u64,
    verdict: u8,
    has_unresolved_anomaly: bool,
    stop: bool,
    outcome: u8,
    operator: u8,
}

/// Generates any event. Faults, stops and orders of operators are rare, so that most cases get far.
fn event() -> impl Strategy<Value = Event> {
    let timing = (0..3usize, 0..5_000u64, 0..10_000u64);
    let conditions =
        (0..40u8, prop::bool::weighted(0.1), prop::bool::weighted(0.01), 0..6u8, 0..200u8);
    (timing, conditions).prop_map(|((host, passed_ms, clock_error_ms), conditions)| {
        let (verdict, has_unresolved_anomaly, stop, outcome, operator) = conditions;
        Event {
            host,
            passed_ms,
            clock_error_ms,
            verdict,
            has_unresolved_anomaly,
            stop,
            outcome,
            operator,
        }
    })
}

/// Whether the second object may replace the first.
fn is_valid_transition(before: &Rollout, after: &Rollout) -> bool {
    if before.generation != after.generation {
        return before.state.is_final()
            && after.generation == before.generation + 1
            && after.state == State::Running;
    }
    let allowed_states: &[State] = match before.state {
        State::Running => &[State::Running, State::Watching, State::RollingBack],
        State::Watching => &[State::Watching, State::Done, State::RollingBack],
        State::RollingBack => &[State::RollingBack, State::RolledBack],
        State::Done | State::RolledBack => &[],
    };
    let is_valid_stage = before.stage == after.stage
        || before.state == State::Running && before.stage.next() == Some(after.stage);
    let has_reason = matches!(after.state, State::RollingBack | State::RolledBack);
    allowed_states.contains(&after.state)
        && is_valid_stage
        && after.elapsed_ms >= before.elapsed_ms
        && after.renewal > before.renewal
        && after.reason.is_some() == has_reason
        && (after.state != State::Watching || after.stage == Stage::All)
        && (before.reason.is_none() || before.reason == after.reason)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..ProptestConfig::with_cases(400) })]

    /// Guards against a state that moves backwards, a skipped stage, a final state that is left,
    /// and a stage that is entered too late to finish by the deadline.
    #[test]
    fn states_only_move_forward(events in prop::collection::vec(event(), 1..250)) {
        let mut object = start(None, &request(180_000)).expect("valid request");
        let mut version = 1;
        let start_time = Instant::now();
        let mut passed_ms = 0;
        let names = ["a", "b", "c"];
        let mut controllers: Vec<_> =
            (0..).zip(names).map(|(seed, name)| Controller::new(name, seed)).collect();
        for event in events {
            passed_ms += event.passed_ms;
            let now = start_time + Duration::from_millis(passed_ms);
            let unix_ms = 995_000 + passed_ms + event.clock_error_ms;
            if event.operator == 0 {
                if let Ok(next) = roll_back(&object, "asked for", unix_ms, 5) {
                    prop_assert!(is_valid_transition(&object, &next));
                    (object, version) = (next, version + 1);
                }
            } else if event.operator == 1 {
                let second = start(Some(&object), &request(180_000));
                prop_assert_eq!(second.is_ok(), object.state.is_final());
            }
            let verdict = match event.verdict {
                0 => Verdict::Faulty { route: "/".into(), fault: FaultKind::Slow },
                1..15 => Verdict::Undecided,
                _ => Verdict::Healthy,
            };
            let assessment = Assessment {
                rollout: object.key(),
                stage: object.stage,
                verdict,
                has_unresolved_anomaly: event.has_unresolved_anomaly,
                exposure: Vec::new(),
                thin_routes: Vec::new(),
            };
            let stop = event.stop.then_some(Reason::Unproven);
            let input = ControllerInput {
                rollout: &object,
                document_version: version,
                assessment: Some(&assessment),
                stop_reason: stop.as_ref(),
                platform_reachable: event.outcome != 5,
            };
            let controller = &mut controllers[event.host];
            let Some(write) = controller.tick(now, unix_ms, &input) else { continue };
            prop_assert!(!object.state.is_final());
            let next = write.rollout;
            let outcome = if write.expected_version != Some(version) {
                WriteOutcome::Conflict
            } else if event.outcome == 4 {
                // The write is lost before it reaches the platform.
                WriteOutcome::Unknown
            } else {
                prop_assert!(is_valid_transition(&object, &next), "{object:?} to {next:?}");
                let timeline = Timeline::new(object.duration_ms);
                if next.stage != object.stage {
                    prop_assert!(
                        next.elapsed_ms <= timeline.last_stage_deadline_ms,
                        "{next:?}"
                    );
                }
                (object, version) = (next.clone(), version + 1);
                if event.outcome == 3 { WriteOutcome::Unknown } else { WriteOutcome::Written { version } }
            };
            controller.record_outcome(next.write_id, outcome, now);
            let holders = controllers.iter().filter(|it| it.holds_lease(now)).count();
            prop_assert!(holders <= 1);
        }
    }

    /// Guards against a timeline that leaves too little time for the stages or the rollback.
    #[test]
    fn timeline_fits(duration_ms in MIN_DURATION_MS..200_000_000) {
        let timeline = Timeline::new(duration_ms);
        prop_assert!(4 * timeline.max_stage_ms <= timeline.last_stage_deadline_ms);
        prop_assert!(timeline.min_stage_ms <= timeline.max_stage_ms);
        prop_assert!(timeline.watch_ms >= 60_000 && timeline.watch_ms >= duration_ms / 10);
        prop_assert!(
            timeline.last_stage_deadline_ms + timeline.watch_ms <= timeline.rollback_deadline_ms
        );
        prop_assert!(timeline.can_meet_deadline(Stage::One, 0, 0));
    }
}

/// Guards against a second rollout that starts while one is running.
#[test]
fn start_refused_while_running() {
    let mut object = start(None, &request(180_000)).expect("valid request");
    for state in [State::Running, State::Watching, State::RollingBack] {
        object.state = state;
        let refused = start(Some(&object), &request(180_000));
        assert_eq!(refused, Err(StartError::Running { to: "v2".into(), state }));
    }
    object.state = State::RolledBack;
    let next = start(Some(&object), &request(180_000)).expect("the previous rollout has ended");
    assert_eq!((next.generation, next.state, next.stage), (2, State::Running, Stage::One));
    assert!(next.renewal > object.renewal);
}

/// Guards against rollouts that cannot be done by their deadline or that change nothing.
#[test]
fn start_refused_for_bad_request() {
    let duration_ms = MIN_DURATION_MS - 1;
    assert_eq!(start(None, &request(duration_ms)), Err(StartError::TooShort { duration_ms }));
    let same = StartRequest { to: "v1".into(), ..request(180_000) };
    assert_eq!(start(None, &same), Err(StartError::SameVersion));
}

/// Guards against a rollback after a final state and one that replaces the first reason.
#[test]
fn roll_back_refused_after_end() {
    let mut object = start(None, &request(180_000)).expect("valid request");
    let rolled_back = roll_back(&object, "asked for", 1_020_000, 5).expect("rollout is running");
    assert_eq!((rolled_back.elapsed_ms, rolled_back.changed_at_ms), (20_000, 20_000));
    assert_eq!(
        roll_back(&rolled_back, "again", 1_030_000, 6),
        Err(RollBackError::AlreadyRollingBack)
    );
    object.state = State::Done;
    let refused = roll_back(&object, "too late", 1_030_000, 6);
    assert_eq!(refused, Err(RollBackError::Ended { state: State::Done }));
}
