//! Tests of the balancer.

use std::time::Duration;

use kingcupford_config::{InstanceId, RegionId, Snapshot};
use kingcupford_route::{AllowedRegion, AttemptOutcome, Balancer, ChoiceQuery, LoadReport};
use tokio::time::Instant;

use crate::deployment::{instance, snapshot};

/// An answer without a server error.
const OK: AttemptOutcome = AttemptOutcome::Answered { failed: false };

/// A balancer of a host in zone `north-1`, with a simulated clock.
struct Fixture {
    snapshot: Snapshot,
    balancer: Balancer,
    now: Instant,
    /// Regions that may be used, in order of preference.
    regions: Vec<AllowedRegion>,
    /// Whether requests may be repeated.
    idempotent: bool,
}

impl Fixture {
    /// Creates a balancer whose `per_zone` instances in each zone are warm from the beginning.
    fn new(per_zone: usize, regions: &[&str]) -> Self {
        let (snapshot, now) = (snapshot(per_zone, &[], &[], None), Instant::now());
        let mut balancer = Balancer::new(3);
        balancer.install(&snapshot, now);
        let region = |name: &&str| snapshot.regions.id(name).unwrap();
        let regions = regions
            .iter()
            .map(|it| AllowedRegion { region: region(it), share_slots: u32::MAX })
            .collect();
        Self { snapshot, balancer, now, regions, idempotent: true }
    }

    /// Installs a new snapshot, see [`snapshot`].
    fn install(&mut self, per_zone: usize, removed: &[&str], drained: &[&str]) {
        self.snapshot = snapshot(per_zone, removed, drained, Some(&self.snapshot));
        self.balancer.install(&self.snapshot, self.now);
    }

    /// Chooses an instance that is not in `excluded`, without recording a start.
    fn choose_except(&mut self, excluded: &[InstanceId]) -> Option<InstanceId> {
        let service = self.snapshot.services.id("shop").unwrap();
        let zone = self.snapshot.zones.id("north-1").unwrap();
        self.balancer.choose(&ChoiceQuery {
            service,
            version: self.snapshot.services[service].active_version,
            home_region: self.snapshot.region_of(zone),
            home_zone: zone,
            regions: &self.regions,
            excluded,
            idempotent: self.idempotent,
            now: self.now,
        })
    }

    /// Chooses an instance and records the start of a request there.
    fn start(&mut self) -> Option<InstanceId> {
        let chosen = self.choose_except(&[])?;
        self.balancer.record_start(chosen, self.now);
        Some(chosen)
    }

    /// Starts requests until no slot is free, and returns the instance of each.
    fn fill(&mut self) -> Vec<InstanceId> {
        std::iter::from_fn(|| self.start()).collect()
    }

    /// Records the end of a request.
    fn end(&mut self, instance: InstanceId, outcome: AttemptOutcome, latency_ms: u64) {
        let latency = Duration::from_millis(latency_ms);
        self.balancer.record_end(instance, outcome, latency, self.now);
    }

    /// Sends one request to an instance, which ends with `outcome` and a latency of 5 ms.
    fn attempt(&mut self, instance: InstanceId, outcome: AttemptOutcome) {
        self.balancer.record_start(instance, self.now);
        self.end(instance, outcome, 5);
    }

    /// Sends 1000 requests one after the other and returns how many of them go to an instance.
    fn count_of_1000(&mut self, instance: InstanceId) -> usize {
        let mut count = 0;
        for _ in 0..1000 {
            let chosen = self.start().unwrap();
            self.end(chosen, OK, 5);
            count += usize::from(chosen == instance);
        }
        count
    }

    /// Returns the id of an instance.
    fn id(&self, name: &str) -> InstanceId {
        instance(&self.snapshot, name)
    }

    /// Returns the region of an instance.
    fn region(&self, id: InstanceId) -> RegionId {
        self.snapshot.instances[id].region
    }

    /// Advances the clock.
    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }
}

// Guards against more requests at an instance than it has slots, and against slots left unused.
#[test]
fn choose_fills_exactly_all_slots() {
    let mut fixture = Fixture::new(3, &["north"]);
    let chosen = fixture.fill();
    assert_eq!(chosen.len(), 6 * 4);
    for id in &chosen {
        assert_eq!(fixture.balancer.in_flight(*id), 4);
    }
    fixture.end(chosen[0], OK, 5);
    assert_eq!(fixture.choose_except(&[]), Some(chosen[0]));
    assert_eq!(fixture.choose_except(&[chosen[0]]), None);
}

// Guards against a cold region that gets its whole share of a traffic shift at once.
#[test]
fn choose_ramps_up_cold_region() {
    let mut fixture = Fixture::new(5, &["north", "east"]);
    let east = fixture.snapshot.regions.id("east").unwrap();
    fixture.regions[1].share_slots = 20;
    let start_remote = |fixture: &mut Fixture| {
        let chosen = fixture.fill();
        chosen.iter().filter(|it| fixture.region(**it) == east).count()
    };
    assert_eq!(fixture.regions[0].region, fixture.snapshot.regions.id("north").unwrap());
    // 10% of 20 slots at first, 55% after half of the ramp-up, then all.
    assert_eq!(start_remote(&mut fixture), 2);
    fixture.advance(15_000);
    assert_eq!(start_remote(&mut fixture), 11 - 2);
    fixture.advance(15_000);
    assert_eq!(start_remote(&mut fixture), 20 - 11);
}

// Guards against full load on new and returned instances, whose caches are cold.
#[test]
fn install_ramps_up_new_and_returned_instances() {
    let mut fixture = Fixture::new(1, &["north"]);
    fixture.install(2, &[], &[]);
    let new = fixture.id("north-1-1");
    let ramping_up = fixture.count_of_1000(new);
    fixture.advance(30_000);
    let warm = fixture.count_of_1000(new);
    assert!(ramping_up * 4 < warm, "{ramping_up} at the start of the ramp-up, {warm} when warm");
    fixture.install(2, &["north-1-1"], &[]);
    assert_eq!(fixture.count_of_1000(new), 0);
    fixture.install(2, &[], &[]);
    assert!(fixture.count_of_1000(new) * 4 < warm);
}

// Guards against new work for draining instances, whether the snapshot, the instance or its load
// report says that it drains.
#[test]
fn choose_skips_draining_instances() {
    let mut fixture = Fixture::new(2, &["north"]);
    fixture.install(2, &[], &["north-1-0"]);
    let (announced, reported) = (fixture.id("north-1-1"), fixture.id("north-2-0"));
    fixture.balancer.mark_draining(announced, fixture.now + Duration::from_secs(60));
    let period = Duration::from_secs(1);
    let report = LoadReport { in_flight: 0, draining: true, period };
    fixture.balancer.record_report(reported, report, fixture.now, fixture.now);
    let serving = fixture.id("north-2-1");
    assert!(fixture.fill().iter().all(|it| *it == serving));
    // The report expires after two periods, the announced drain after 60 s.
    fixture.advance(2_001);
    assert!(fixture.fill().contains(&reported));
    fixture.advance(60_000);
    assert!(fixture.fill().contains(&announced));
}

// Guards against requests to an unreachable instance, and against an ejection that never ends.
#[test]
fn record_end_ejects_and_probes() {
    let mut fixture = Fixture::new(2, &["north"]);
    let failing = fixture.id("north-1-0");
    fixture.attempt(failing, AttemptOutcome::Unreachable);
    assert!(fixture.balancer.is_ejected(failing));
    let mut delay_ms = 200;
    for _ in 0..8 {
        fixture.advance(delay_ms - 1);
        assert_eq!(fixture.count_of_1000(failing), 0);
        fixture.advance(1);
        // Requests that must not be repeated do not probe until twice the delay has passed.
        fixture.idempotent = false;
        assert_ne!(fixture.choose_except(&[]), Some(failing));
        fixture.idempotent = true;
        assert_eq!(fixture.start(), Some(failing));
        assert_ne!(fixture.choose_except(&[]), Some(failing));
        fixture.end(failing, AttemptOutcome::TimedOut, 5);
        delay_ms = (delay_ms * 2).min(10_000);
    }
    fixture.advance(2 * delay_ms);
    fixture.idempotent = false;
    assert_eq!(fixture.start(), Some(failing));
    fixture.end(failing, OK, 5);
    assert!(!fixture.balancer.is_ejected(failing));
    let ramping_up = fixture.count_of_1000(failing);
    fixture.advance(30_000);
    assert!(ramping_up * 4 < fixture.count_of_1000(failing));
}

// Guards against an outage caused by ejection: a fault of one route or of the whole service looks
// the same at all instances.
#[test]
fn record_end_keeps_half_of_failing_instances() {
    for outcome in [AttemptOutcome::Answered { failed: true }, AttemptOutcome::TimedOut] {
        let mut fixture = Fixture::new(2, &["north"]);
        let ids: Vec<_> =
            ["north-1-0", "north-1-1", "north-2-0", "north-2-1"].map(|it| fixture.id(it)).into();
        for id in &ids {
            fixture.attempt(*id, outcome);
            fixture.attempt(*id, outcome);
        }
        assert!(ids.iter().all(|it| !fixture.balancer.is_ejected(*it)));
        for id in &ids {
            fixture.attempt(*id, outcome);
        }
        assert_eq!(ids.iter().filter(|it| fixture.balancer.is_ejected(**it)).count(), 2);
    }
}

// Guards against misleading reports: a stale report is ignored, a report of full load does not
// exclude an instance, and an instance that reports no load gets no more requests than its slots.
#[test]
fn record_report_does_not_override_observations() {
    let mut fixture = Fixture::new(1, &["north"]);
    let (home, other) = (fixture.id("north-1-0"), fixture.id("north-2-0"));
    let expected = fixture.count_of_1000(home);
    let period = Duration::from_secs(1);
    let full = LoadReport { in_flight: 400, draining: false, period };
    fixture.balancer.record_report(home, full, fixture.now, fixture.now);
    let reported_full = fixture.count_of_1000(home);
    assert!((1..expected / 2).contains(&reported_full), "{reported_full} of {expected}");
    let idle = LoadReport { in_flight: 0, draining: false, period };
    fixture.balancer.record_report(other, idle, fixture.now, fixture.now);
    assert_eq!(fixture.fill().iter().filter(|it| **it == other).count(), 4);
    let mut fixture = Fixture::new(1, &["north"]);
    fixture.balancer.record_report(
        home,
        full,
        fixture.now,
        fixture.now + Duration::from_millis(2_001),
    );
    fixture.advance(2_001);
    assert!(fixture.count_of_1000(home).abs_diff(expected) < 100);
}

// Guards against a slow or shedding instance that gets as many requests as a healthy one.
#[test]
fn choose_prefers_healthy_instances() {
    let mut fixture = Fixture::new(2, &["north"]);
    let slow = fixture.id("north-1-0");
    let expected = fixture.count_of_1000(slow);
    for _ in 0..20 {
        fixture.balancer.record_start(slow, fixture.now);
        fixture.end(slow, OK, 500);
    }
    assert!(fixture.count_of_1000(slow) * 2 < expected);
    let mut fixture = Fixture::new(2, &["north"]);
    fixture.attempt(slow, AttemptOutcome::Shed);
    assert!(!fixture.balancer.is_ejected(slow));
    assert!(fixture.count_of_1000(slow) * 2 < expected);
}

// Guards against counting slots to which no request may be sent.
#[test]
fn capacity_counts_usable_slots() {
    let mut fixture = Fixture::new(2, &["north"]);
    let service = fixture.snapshot.services.id("shop").unwrap();
    let north = fixture.snapshot.regions.id("north").unwrap();
    fixture.install(2, &[], &["north-1-0"]);
    fixture.attempt(fixture.id("north-1-1"), AttemptOutcome::Unreachable);
    let busy = fixture.id("north-2-0");
    fixture.balancer.record_start(busy, fixture.now);
    let report = LoadReport { in_flight: 3, draining: false, period: Duration::from_secs(1) };
    fixture.balancer.record_report(busy, report, fixture.now, fixture.now);
    let capacity = fixture.balancer.capacity(service, north, fixture.now);
    assert_eq!((capacity.slots, capacity.free_slots), (8, 5));
    fixture.advance(2_001);
    let capacity = fixture.balancer.capacity(service, north, fixture.now);
    assert_eq!((capacity.slots, capacity.free_slots), (8, 7));
}

// Guards against ejections that outlast the fault: requests from before an ejection that fail late
// must not delay the probe, and an instance that returned must not count as ejected.
#[test]
fn record_end_ignores_late_failures() {
    let mut fixture = Fixture::new(1, &["north"]);
    let (home, other) = (fixture.id("north-1-0"), fixture.id("north-2-0"));
    for _ in 0..3 {
        fixture.balancer.record_start(home, fixture.now);
    }
    fixture.attempt(home, AttemptOutcome::Unreachable);
    fixture.advance(100);
    for _ in 0..3 {
        fixture.end(home, AttemptOutcome::Broken { response_started: false }, 5);
    }
    fixture.advance(100);
    assert_eq!(fixture.start(), Some(home));
    fixture.end(home, OK, 5);
    for _ in 0..3 {
        fixture.attempt(other, AttemptOutcome::TimedOut);
    }
    assert!(fixture.balancer.is_ejected(other));
    assert!(!fixture.balancer.is_ejected(home));
}

// Guards against traffic to other zones that the home zone could serve.
#[test]
fn choose_prefers_home_zone() {
    let mut fixture = Fixture::new(1, &["north"]);
    let home = fixture.id("north-1-0");
    let count = fixture.count_of_1000(home);
    assert!((600..900).contains(&count), "{count} of 1000 stay in the zone");
}
