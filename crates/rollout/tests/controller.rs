//! Controller lease: races, lost answers, pauses and outages of the platform.

mod sim;

use std::time::Duration;

use kingcupford_rollout::{
    Controller, ControllerInput, LEASE_DURATION, LEASE_MARGIN, Reason, Rollout, RolloutWrite,
    StartRequest, State, WriteOutcome, start,
};
use sim::{Fault, START_UNIX_MS, SimConfig, run};
use tokio::time::Instant;

/// Platform that stores one rollout object.
struct Platform {
    object: Rollout,
    version: u64,
    start_time: Instant,
}

impl Platform {
    /// Creates a platform with a rollout of ten minutes that has just started.
    fn new() -> Self {
        let request = StartRequest {
            service: "deposit-desk".into(),
            from: "v1".into(),
            to: "v2".into(),
            now_unix_ms: START_UNIX_MS,
            deadline_unix_ms: START_UNIX_MS + 600_000,
            write_id: 1,
        };
        let object = start(None, &request).expect("valid request");
        Self { object, version: 1, start_time: Instant::now() }
    }

    fn instant(&self, ms: u64) -> Instant {
        self.start_time + Duration::from_millis(ms)
    }

    /// Runs a controller's tick on the newest object.
    fn tick(&self, controller: &mut Controller, ms: u64) -> Option<RolloutWrite> {
        let input = ControllerInput {
            rollout: &self.object,
            document_version: self.version,
            assessment: None,
            stop_reason: None,
            platform_reachable: true,
        };
        controller.tick(self.instant(ms), START_UNIX_MS + ms, &input)
    }

    fn apply(&mut self, write: &RolloutWrite) -> WriteOutcome {
        if write.expected_version != Some(self.version) {
            return WriteOutcome::Conflict;
        }
        self.object = write.rollout.clone();
        self.version += 1;
        WriteOutcome::Written { version: self.version }
    }

    /// Runs a tick, applies its write, if any, and reports the outcome.
    fn tick_and_apply(&mut self, controller: &mut Controller, ms: u64) {
        if let Some(write) = self.tick(controller, ms) {
            let outcome = self.apply(&write);
            controller.record_outcome(write.rollout.write_id, outcome, self.instant(ms));
        }
    }

    /// Lets a controller acquire the lease of a new object. Returns the time in milliseconds.
    fn acquire_lease(&mut self, controller: &mut Controller) -> u64 {
        let mut ms = 0;
        while !controller.holds_lease(self.instant(ms)) {
            self.tick_and_apply(controller, ms);
            ms += 100;
        }
        ms
    }
}

/// Guards against two hosts that both acquire the lease when they write at the same time.
#[test]
fn tick_race_has_one_winner() {
    let mut platform = Platform::new();
    let (mut a, mut b) = (Controller::new("a", 1), Controller::new("b", 2));
    assert!(platform.tick(&mut a, 0).is_none());
    assert!(platform.tick(&mut b, 0).is_none());
    let (from_a, from_b) = (platform.tick(&mut a, 3_000), platform.tick(&mut b, 3_000));
    let (from_a, from_b) = (from_a.expect("lease is free"), from_b.expect("lease is free"));
    let (outcome_a, outcome_b) = (platform.apply(&from_a), platform.apply(&from_b));
    assert_eq!(
        (outcome_a, outcome_b),
        (WriteOutcome::Written { version: 2 }, WriteOutcome::Conflict)
    );
    a.record_outcome(from_a.rollout.write_id, outcome_a, platform.instant(3_010));
    b.record_outcome(from_b.rollout.write_id, outcome_b, platform.instant(3_010));
    platform.tick_and_apply(&mut b, 3_100);
    assert!(a.holds_lease(platform.instant(3_100)) && !b.holds_lease(platform.instant(3_100)));
}

/// Guards against a rollout that no controller can write because the platform lost its object, and
/// against another object that is replaced by the lost one.
#[test]
fn tick_lost_object() {
    let mut platform = Platform::new();
    let mut a = Controller::new("a", 1);
    let ms = platform.acquire_lease(&mut a) + 3_000;
    let refused = platform.tick(&mut a, ms).expect("a renewal");
    a.record_outcome(refused.rollout.write_id, WriteOutcome::Conflict, platform.instant(ms));
    a.record_lost(platform.version - 1);
    assert_eq!(platform.tick(&mut a, ms), None, "an older read says nothing");
    a.record_lost(platform.version);
    let lost = platform.tick(&mut a, ms).expect("the lost object");
    assert_eq!((lost.expected_version, lost.rollout.key()), (None, platform.object.key()));
    let written = WriteOutcome::Written { version: 1_000 };
    a.record_outcome(lost.rollout.write_id, written, platform.instant(ms));
    (platform.object, platform.version) = (lost.rollout, 1_000);
    let next = platform.tick(&mut a, ms + 3_000).expect("a renewal");
    assert_eq!(next.expected_version, Some(1_000));
}

/// Guards against a controller that still assumes after a pause that it holds the lease, and
/// against an observer that acquires the lease before its holder considers it expired.
#[test]
fn holds_lease_ends_in_pause() {
    let mut platform = Platform::new();
    let (mut a, mut b) = (Controller::new("a", 1), Controller::new("b", 2));
    let acquired_ms = platform.acquire_lease(&mut a);
    let stale_object = platform.object.clone();
    let mut ms = acquired_ms;
    while !b.holds_lease(platform.instant(ms)) {
        platform.tick_and_apply(&mut b, ms);
        assert!(
            !(a.holds_lease(platform.instant(ms)) && b.holds_lease(platform.instant(ms))),
            "both hold the lease at {ms} ms"
        );
        ms += 100;
    }
    let waited = Duration::from_millis(ms - acquired_ms);
    assert!(waited >= LEASE_DURATION + LEASE_MARGIN - Duration::from_millis(200), "{waited:?}");
    assert!(waited <= LEASE_DURATION + LEASE_MARGIN + Duration::from_millis(2_200), "{waited:?}");
    assert!(!a.holds_lease(platform.instant(ms)));
    // After its pause, the process still sees the object that it knew before.
    let input = ControllerInput {
        rollout: &stale_object,
        document_version: 2,
        assessment: None,
        stop_reason: None,
        platform_reachable: true,
    };
    if let Some(write) = a.tick(platform.instant(ms), START_UNIX_MS + ms, &input) {
        assert_eq!(platform.apply(&write), WriteOutcome::Conflict);
    }
    assert_eq!(platform.object.controller.as_deref(), Some("b"));
}

/// Guards against a write that takes effect twice, or a lease that its holder does not recognize,
/// when the answer is lost after the write took effect.
#[test]
fn record_outcome_unknown_finds_own_write() {
    let mut platform = Platform::new();
    let mut a = Controller::new("a", 1);
    platform.tick(&mut a, 0);
    let write = platform.tick(&mut a, 3_000).expect("lease is free");
    let stale = platform.object.clone();
    platform.apply(&write);
    a.record_outcome(write.rollout.write_id, WriteOutcome::Unknown, platform.instant(3_500));
    assert!(!a.holds_lease(platform.instant(3_600)));
    // While the watch lags behind, the same write is repeated and cannot take effect again.
    let input = ControllerInput {
        rollout: &stale,
        document_version: 1,
        assessment: None,
        stop_reason: None,
        platform_reachable: true,
    };
    assert!(a.tick(platform.instant(4_000), START_UNIX_MS, &input).is_none());
    let repeated =
        a.tick(platform.instant(4_600), START_UNIX_MS, &input).expect("the write is repeated");
    assert_eq!(repeated, write);
    let refused = platform.apply(&repeated);
    assert_eq!(refused, WriteOutcome::Conflict);
    a.record_outcome(repeated.rollout.write_id, refused, platform.instant(4_700));
    platform.tick(&mut a, 4_800);
    assert!(a.holds_lease(platform.instant(4_800)));
    // The lease is counted from when the write was first sent.
    assert!(!a.holds_lease(platform.instant(3_000) + LEASE_DURATION));
}

/// Guards against a late report of an earlier write that is attributed to the pending one.
#[test]
fn record_outcome_ignores_earlier_write() {
    let platform = Platform::new();
    let mut a = Controller::new("a", 1);
    platform.tick(&mut a, 0);
    let write = platform.tick(&mut a, 3_000).expect("lease is free");
    a.record_outcome(
        write.rollout.write_id ^ 1,
        WriteOutcome::Written { version: 2 },
        platform.instant(3_010),
    );
    assert!(!a.holds_lease(platform.instant(3_010)));
}

/// Guards against a rollout that advances during an outage of the platform or does not resume after
/// it.
#[test]
fn outage_short_is_waited_out() {
    let report = run(&SimConfig { platform_outage_ms: 25_000..40_000, ..SimConfig::new(3) });
    assert_eq!(report.state, State::Done, "{report:?}");
    assert!(report.changes.iter().all(|it| !(25_000..40_000).contains(&it.0)), "{report:?}");
    assert!(report.ended_ms <= 180_000, "{report:?}");
}

/// Guards against a rollout that resumes too late after an outage and misses its deadline.
#[test]
fn outage_long_rolls_back_by_deadline() {
    for seed in 0..10 {
        let clock_errors_ms = vec![-5_000, 0, 5_000];
        let config = SimConfig {
            platform_outage_ms: 25_000..90_000,
            clock_errors_ms,
            ..SimConfig::new(seed)
        };
        let report = run(&config);
        assert_eq!(report.state, State::RolledBack, "{report:?}");
        assert_eq!(report.reason, Some(Reason::DeadlineOutOfReach), "{report:?}");
        assert!(report.ended_ms <= 180_000, "{report:?}");
    }
}

/// Guards against hosts that wait for the controller before they stop a faulty version.
#[test]
fn outage_does_not_keep_faulty_version() {
    let fault = Fault::Fails { from_ms: 30_000, fraction: 1.0 };
    let config = SimConfig { fault, platform_outage_ms: 25_000..100_000, ..SimConfig::new(5) };
    let report = run(&config);
    assert_eq!(report.state, State::RolledBack, "{report:?}");
    let (first_ms, last_ms) = report.affected_ms.expect("requests were affected");
    assert!(last_ms - first_ms <= 5_000, "{report:?}");
}

/// Guards against two lease holders, a missed deadline or a wrong final state when answers are
/// lost, clocks differ and the controller is paused.
#[test]
fn lease_unique_under_faults() {
    for seed in 0..20 {
        let is_faulty = seed % 2 == 0;
        let config = SimConfig {
            fault: if is_faulty {
                Fault::Fails { from_ms: 50_000, fraction: 1.0 }
            } else {
                Fault::None
            },
            lost_answer_fraction: 0.3,
            paused_host: Some((seed as usize % 8, 12_000..35_000)),
            clock_errors_ms: vec![0, 4_000, -4_000],
            ..SimConfig::new(seed)
        };
        let report = run(&config);
        let expected = if is_faulty { State::RolledBack } else { State::Done };
        assert_eq!(report.state, expected, "seed {seed}: {report:?}");
        assert!(report.max_lease_holders <= 1, "seed {seed}: {report:?}");
        assert!(report.ended_ms <= 180_000, "seed {seed}: {report:?}");
    }
}

/// Guards against a rollout that is blocked by routes with little or no traffic.
#[test]
fn no_traffic_does_not_block() {
    let report = run(&SimConfig { requests_per_s: [0.0; 4], ..SimConfig::new(1) });
    assert_eq!((report.state, report.new_requests), (State::Done, 0), "{report:?}");
    let report = run(&SimConfig { requests_per_s: [10.0, 0.0, 0.0, 0.01], ..SimConfig::new(1) });
    assert_eq!(report.state, State::Done, "{report:?}");
}
