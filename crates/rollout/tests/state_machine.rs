//! Order of states, under any evidence and clock.

use std::time::Duration;

use kingcupford_rollout::{
    Assessment, Controller, ControllerInput, FaultKind, MIN_DURATION_MS, Reason, RollBackError,
    Rollout, Stage, StartError, StartRequest, State, Timeline, Verdict, WriteOutcome, roll_back,
    start,
};
use proptest::{prelude::*, test_runner::RngSeed};
use tokio::time::Instant;

/// A request for a rollout.
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

/// What happens before a tick.
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

/// Any event; faults, stops and operators are rare, so that most cases get far.
fn event() -> impl Strategy<Value = Event> {
    let when = (0..3usize, 0..5_000u64, 0..10_000u64);
    let what = (0..40u8, prop::bool::weighted(0.1), prop::bool::weighted(0.01), 0..6u8, 0..200u8);
    (when, what).prop_map(|((host, passed_ms, clock_error_ms), what)| {
        let (verdict, has_unresolved_anomaly, stop, outcome, operator) = what;
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

/// Whether the second object may follow the first.
fn follows(a: &Rollout, b: &Rollout) -> bool {
    if a.generation != b.generation {
        return a.state.is_final() && b.generation == a.generation + 1 && b.state == State::Running;
    }
    let later: &[State] = match a.state {
        State::Running => &[State::Running, State::Watching, State::RollingBack],
        State::Watching => &[State::Watching, State::Done, State::RollingBack],
        State::RollingBack => &[State::RollingBack, State::RolledBack],
        State::Done | State::RolledBack => &[],
    };
    let stage = a.stage == b.stage || a.state == State::Running && a.stage.next() == Some(b.stage);
    let has_reason = matches!(b.state, State::RollingBack | State::RolledBack);
    later.contains(&b.state)
        && stage
        && b.elapsed_ms >= a.elapsed_ms
        && b.renewal > a.renewal
        && b.reason.is_some() == has_reason
        && (b.state != State::Watching || b.stage == Stage::All)
        && (a.reason.is_none() || a.reason == b.reason)
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(2), ..ProptestConfig::with_cases(400) })]

    /// Guards against a state that moves backwards, a stage that is skipped, a final state that is
    /// left, and a stage that is entered too late to finish by the deadline.
    #[test]
    fn states_only_move_forward(events in prop::collection::vec(event(), 1..250)) {
        let mut object = start(None, &request(180_000)).expect("valid request");
        let mut version = 1;
        let zero = Instant::now();
        let mut passed_ms = 0;
        let names = ["a", "b", "c"];
        let mut controllers: Vec<_> =
            (0..).zip(names).map(|(seed, name)| Controller::new(name, seed)).collect();
        for event in events {
            passed_ms += event.passed_ms;
            let now = zero + Duration::from_millis(passed_ms);
            let unix_ms = 995_000 + passed_ms + event.clock_error_ms;
            if event.operator == 0 {
                if let Ok(next) = roll_back(&object, "asked for", unix_ms, 5) {
                    prop_assert!(follows(&object, &next));
                    (object, version) = (next, version + 1);
                }
            } else if event.operator == 1 {
                let again = start(Some(&object), &request(180_000));
                prop_assert_eq!(again.is_ok(), object.state.is_final());
            }
            let verdict = match event.verdict {
                0 => Verdict::Faulty { route: "/".into(), fault: FaultKind::Slow },
                1..15 => Verdict::Undecided,
                _ => Verdict::Healthy,
            };
            let assessment = Assessment {
                generation: object.generation,
                stage: object.stage,
                verdict,
                has_unresolved_anomaly: event.has_unresolved_anomaly,
                exposure: Vec::new(),
                thin_routes: Vec::new(),
            };
            let stop = event.stop.then_some(Reason::Unproven);
            let view = ControllerInput {
                rollout: &object,
                document_version: version,
                assessment: Some(&assessment),
                stop_reason: stop.as_ref(),
                platform_reachable: event.outcome != 5,
            };
            let controller = &mut controllers[event.host];
            let Some(write) = controller.tick(now, unix_ms, &view) else { continue };
            prop_assert!(!object.state.is_final());
            let next = write.rollout;
            let outcome = if write.expected_version != version {
                WriteOutcome::Conflict
            } else if event.outcome == 4 {
                // The write is lost on the way.
                WriteOutcome::Unknown
            } else {
                prop_assert!(follows(&object, &next), "{object:?} to {next:?}");
                let last_ms = Timeline::new(object.duration_ms).last_stage_deadline_ms;
                if next.stage != object.stage {
                    prop_assert!(next.elapsed_ms <= last_ms, "{next:?}");
                }
                (object, version) = (next.clone(), version + 1);
                if event.outcome == 3 { WriteOutcome::Unknown } else { WriteOutcome::Written { version } }
            };
            controller.record_outcome(next.write_id, outcome, now);
            let holders = controllers.iter().filter(|it| it.holds_lease(now)).count();
            prop_assert!(holders <= 1);
        }
    }

    /// Guards against a division of time that leaves no room for the stages or the rollback.
    #[test]
    fn timeline_fits(duration_ms in MIN_DURATION_MS..200_000_000) {
        let it = Timeline::new(duration_ms);
        prop_assert!(4 * it.max_stage_ms <= it.last_stage_deadline_ms);
        prop_assert!(it.min_stage_ms <= it.max_stage_ms);
        prop_assert!(it.watch_ms >= 60_000 && it.watch_ms >= duration_ms / 10);
        prop_assert!(it.last_stage_deadline_ms + it.watch_ms <= it.rollback_deadline_ms);
        prop_assert!(it.can_meet_deadline(Stage::One, 0, 0));
    }
}

/// Guards against a second rollout that starts while one runs.
#[test]
fn start_refused_while_running() {
    let mut object = start(None, &request(180_000)).expect("valid request");
    for state in [State::Running, State::Watching, State::RollingBack] {
        object.state = state;
        let refused = start(Some(&object), &request(180_000));
        assert_eq!(refused, Err(StartError::Running { to: "v2".into(), state }));
    }
    object.state = State::RolledBack;
    let next = start(Some(&object), &request(180_000)).expect("the former one has ended");
    assert_eq!((next.generation, next.state, next.stage), (2, State::Running, Stage::One));
    assert!(next.renewal > object.renewal);
}

/// Guards against rollouts that cannot be done by their deadline or change nothing.
#[test]
fn start_refused_for_bad_request() {
    let duration_ms = MIN_DURATION_MS - 1;
    assert_eq!(start(None, &request(duration_ms)), Err(StartError::TooShort { duration_ms }));
    let same = StartRequest { to: "v1".into(), ..request(180_000) };
    assert_eq!(start(None, &same), Err(StartError::SameVersion));
}

/// Guards against a rollback of a final outcome or one that hides the first reason.
#[test]
fn roll_back_refused_after_end() {
    let mut object = start(None, &request(180_000)).expect("valid request");
    let back = roll_back(&object, "asked for", 1_020_000, 5).expect("it runs");
    assert_eq!((back.elapsed_ms, back.changed_at_ms), (20_000, 20_000));
    assert_eq!(roll_back(&back, "again", 1_030_000, 6), Err(RollBackError::AlreadyRollingBack));
    object.state = State::Done;
    let refused = roll_back(&object, "too late", 1_030_000, 6);
    assert_eq!(refused, Err(RollBackError::Ended { state: State::Done }));
}
