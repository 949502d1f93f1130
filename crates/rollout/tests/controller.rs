//! The lease, racing controllers, lost answers and the platform's outages.

mod sim;

use std::time::Duration;

use kingcupford_rollout::{
    Controller, ControllerInput, LEASE_DURATION, LEASE_MARGIN, Reason, Rollout, RolloutWrite,
    StartRequest, State, WriteOutcome, start,
};
use sim::{Fault, START_UNIX_MS, Setting, run};
use tokio::time::Instant;

/// A platform that holds one object.
struct Platform {
    /// The object.
    object: Rollout,
    /// Its version.
    version: u64,
    /// Start of the test.
    zero: Instant,
}

impl Platform {
    /// A started rollout of ten minutes.
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
        Self { object, version: 1, zero: Instant::now() }
    }

    /// A moment.
    fn at(&self, ms: u64) -> Instant {
        self.zero + Duration::from_millis(ms)
    }

    /// A controller's tick that sees the newest object.
    fn tick(&self, controller: &mut Controller, ms: u64) -> Option<RolloutWrite> {
        let view = ControllerInput {
            rollout: &self.object,
            document_version: self.version,
            assessment: None,
            stop_reason: None,
            platform_reachable: true,
        };
        controller.tick(self.at(ms), START_UNIX_MS + ms, &view)
    }

    /// Applies a conditional write.
    fn apply(&mut self, write: &RolloutWrite) -> WriteOutcome {
        if write.expected_version != self.version {
            return WriteOutcome::Conflict;
        }
        self.object = write.rollout.clone();
        self.version += 1;
        WriteOutcome::Written { version: self.version }
    }

    /// A tick whose write, if any, is applied and reported.
    fn step(&mut self, controller: &mut Controller, ms: u64) {
        if let Some(write) = self.tick(controller, ms) {
            let outcome = self.apply(&write);
            controller.record_outcome(write.rollout.write_id, outcome, self.at(ms));
        }
    }

    /// Lets a controller take the lease of a fresh object.
    fn take(&mut self, controller: &mut Controller) -> u64 {
        let mut ms = 0;
        while !controller.holds_lease(self.at(ms)) {
            self.step(controller, ms);
            ms += 100;
        }
        ms
    }
}

/// Guards against two hosts that both win when they write at the same moment.
#[test]
fn tick_race_has_one_winner() {
    let mut platform = Platform::new();
    let (mut a, mut b) = (Controller::new("a", 1), Controller::new("b", 2));
    assert!(platform.tick(&mut a, 0).is_none());
    assert!(platform.tick(&mut b, 0).is_none());
    let (from_a, from_b) = (platform.tick(&mut a, 3_000), platform.tick(&mut b, 3_000));
    let (from_a, from_b) = (from_a.expect("lease is free"), from_b.expect("lease is free"));
    let (won, lost) = (platform.apply(&from_a), platform.apply(&from_b));
    assert_eq!((won, lost), (WriteOutcome::Written { version: 2 }, WriteOutcome::Conflict));
    a.record_outcome(from_a.rollout.write_id, won, platform.at(3_010));
    b.record_outcome(from_b.rollout.write_id, lost, platform.at(3_010));
    platform.step(&mut b, 3_100);
    assert!(a.holds_lease(platform.at(3_100)) && !b.holds_lease(platform.at(3_100)));
}

/// Guards against a paused controller that believes on resuming that it still holds the lease, and
/// against an observer that takes the lease while its holder may still believe so.
#[test]
fn holds_lease_ends_in_pause() {
    let mut platform = Platform::new();
    let (mut a, mut b) = (Controller::new("a", 1), Controller::new("b", 2));
    let taken_ms = platform.take(&mut a);
    let stale_object = platform.object.clone();
    let mut ms = taken_ms;
    while !b.holds_lease(platform.at(ms)) {
        platform.step(&mut b, ms);
        assert!(
            !(a.holds_lease(platform.at(ms)) && b.holds_lease(platform.at(ms))),
            "both hold the lease at {ms} ms"
        );
        ms += 100;
    }
    let waited = Duration::from_millis(ms - taken_ms);
    assert!(waited >= LEASE_DURATION + LEASE_MARGIN - Duration::from_millis(200), "{waited:?}");
    assert!(waited <= LEASE_DURATION + LEASE_MARGIN + Duration::from_millis(2_200), "{waited:?}");
    assert!(!a.holds_lease(platform.at(ms)));
    // On resuming, the paused process still sees the object that it knew.
    let view = ControllerInput {
        rollout: &stale_object,
        document_version: 2,
        assessment: None,
        stop_reason: None,
        platform_reachable: true,
    };
    if let Some(write) = a.tick(platform.at(ms), START_UNIX_MS + ms, &view) {
        assert_eq!(platform.apply(&write), WriteOutcome::Conflict);
    }
    assert_eq!(platform.object.controller.as_deref(), Some("b"));
}

/// Guards against a write that is made twice, or a lease that is not recognised, when the answer is
/// lost after the write took effect.
#[test]
fn report_unknown_finds_own_write() {
    let mut platform = Platform::new();
    let mut a = Controller::new("a", 1);
    platform.tick(&mut a, 0);
    let write = platform.tick(&mut a, 3_000).expect("lease is free");
    let stale = platform.object.clone();
    platform.apply(&write);
    a.record_outcome(write.rollout.write_id, WriteOutcome::Unknown, platform.at(3_500));
    assert!(!a.holds_lease(platform.at(3_600)));
    // While the watch lags, the same write is repeated and cannot take effect again.
    let view = ControllerInput {
        rollout: &stale,
        document_version: 1,
        assessment: None,
        stop_reason: None,
        platform_reachable: true,
    };
    assert!(a.tick(platform.at(4_000), START_UNIX_MS, &view).is_none());
    let again = a.tick(platform.at(4_600), START_UNIX_MS, &view).expect("the write is repeated");
    assert_eq!(again, write);
    let refused = platform.apply(&again);
    assert_eq!(refused, WriteOutcome::Conflict);
    a.record_outcome(again.rollout.write_id, refused, platform.at(4_700));
    platform.tick(&mut a, 4_800);
    assert!(a.holds_lease(platform.at(4_800)));
    // The lease counts from the first time the write was sent.
    assert!(!a.holds_lease(platform.at(3_000) + LEASE_DURATION));
}

/// Guards against a late report on an earlier write that is taken for the present one's.
#[test]
fn report_ignores_earlier_write() {
    let platform = Platform::new();
    let mut a = Controller::new("a", 1);
    platform.tick(&mut a, 0);
    let write = platform.tick(&mut a, 3_000).expect("lease is free");
    a.record_outcome(
        write.rollout.write_id ^ 1,
        WriteOutcome::Written { version: 2 },
        platform.at(3_010),
    );
    assert!(!a.holds_lease(platform.at(3_010)));
}

/// Guards against an advance while the platform is away, and a rollout that cannot resume.
#[test]
fn outage_short_is_waited_out() {
    let report = run(&Setting { platform_away_ms: 25_000..40_000, ..Setting::new(3) });
    assert_eq!(report.state, State::Done, "{report:?}");
    assert!(report.changes.iter().all(|it| !(25_000..40_000).contains(&it.0)), "{report:?}");
    assert!(report.ended_ms <= 180_000, "{report:?}");
}

/// Guards against a rollout that resumes too late and misses its deadline.
#[test]
fn outage_long_rolls_back_by_deadline() {
    for seed in 0..10 {
        let clock_error_ms = vec![-5_000, 0, 5_000];
        let setting =
            Setting { platform_away_ms: 25_000..90_000, clock_error_ms, ..Setting::new(seed) };
        let report = run(&setting);
        assert_eq!(report.state, State::RolledBack, "{report:?}");
        assert_eq!(report.reason, Some(Reason::DeadlineOutOfReach), "{report:?}");
        assert!(report.ended_ms <= 180_000, "{report:?}");
    }
}

/// Guards against hosts that wait for the controller before they stop a bad version.
#[test]
fn outage_does_not_keep_bad_version() {
    let fault = Fault::Fails { from_ms: 30_000, fraction: 1.0 };
    let setting = Setting { fault, platform_away_ms: 25_000..100_000, ..Setting::new(5) };
    let report = run(&setting);
    assert_eq!(report.state, State::RolledBack, "{report:?}");
    let (first_ms, last_ms) = report.hurt_ms.expect("the fault shows");
    assert!(last_ms - first_ms <= 5_000, "{report:?}");
}

/// Guards against two lease holders, a missed deadline or a wrong outcome when answers are lost,
/// clocks differ and the controller is paused.
#[test]
fn lease_survives_disorder() {
    for seed in 0..20 {
        let bad = seed % 2 == 0;
        let setting = Setting {
            fault: if bad { Fault::Fails { from_ms: 50_000, fraction: 1.0 } } else { Fault::None },
            lost_answers: 0.3,
            paused_host: Some((seed as usize % 8, 12_000..35_000)),
            clock_error_ms: vec![0, 4_000, -4_000],
            ..Setting::new(seed)
        };
        let report = run(&setting);
        let wanted = if bad { State::RolledBack } else { State::Done };
        assert_eq!(report.state, wanted, "seed {seed}: {report:?}");
        assert!(report.most_holders <= 1, "seed {seed}: {report:?}");
        assert!(report.ended_ms <= 180_000, "seed {seed}: {report:?}");
    }
}

/// Guards against a rollout that is blocked by routes without traffic.
#[test]
fn no_traffic_does_not_block() {
    let report = run(&Setting { rates_per_s: [0.0; 4], ..Setting::new(1) });
    assert_eq!((report.state, report.new_requests), (State::Done, 0), "{report:?}");
    let report = run(&Setting { rates_per_s: [10.0, 0.0, 0.0, 0.01], ..Setting::new(1) });
    assert_eq!(report.state, State::Done, "{report:?}");
}
