//! Tests of the balancer.

use std::time::Duration;

use kingcupford_config::{InstanceId, RegionId, Snapshot};
use kingcupford_route::{AllowedRegion, AttemptOutcome, Balancer, ChoiceQuery, LoadReport};
use tokio::time::Instant;

use crate::fleet::{instance, snapshot};

/// An answer without a fault.
const OK: AttemptOutcome = AttemptOutcome::Answered { failed: false };

/// A balancer in zone `north-1` with a clock.
struct Bench {
    /// The snapshot in force.
    snapshot: Snapshot,
    /// What is tested.
    balancer: Balancer,
    /// The time.
    now: Instant,
    /// Regions that may be used, in order.
    regions: Vec<AllowedRegion>,
    /// Whether requests may be repeated.
    idempotent: bool,
}

impl Bench {
    /// A balancer that was warm from the beginning.
    fn new(per_zone: usize, regions: &[&str]) -> Self {
        let (snapshot, now) = (snapshot(per_zone, &[], &[], None), Instant::now());
        let mut balancer = Balancer::new(3);
        balancer.install(&snapshot, now);
        let region = |name: &&str| snapshot.regions.key(name).unwrap();
        let regions = regions
            .iter()
            .map(|it| AllowedRegion { region: region(it), share_slots: u32::MAX })
            .collect();
        Self { snapshot, balancer, now, regions, idempotent: true }
    }

    /// Installs a snapshot.
    fn install(&mut self, per_zone: usize, removed: &[&str], drained: &[&str]) {
        self.snapshot = snapshot(per_zone, removed, drained, Some(&self.snapshot));
        self.balancer.install(&self.snapshot, self.now);
    }

    /// Chooses without starting.
    fn choose_except(&mut self, excluded: &[InstanceId]) -> Option<InstanceId> {
        let service = self.snapshot.services.key("shop").unwrap();
        let zone = self.snapshot.zones.key("north-1").unwrap();
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

    /// Chooses and starts.
    fn start(&mut self) -> Option<InstanceId> {
        let res = self.choose_except(&[])?;
        self.balancer.record_start(res, self.now);
        Some(res)
    }

    /// Starts as many requests as have room and answers where each went.
    fn fill(&mut self) -> Vec<InstanceId> {
        std::iter::from_fn(|| self.start()).collect()
    }

    /// Ends a request.
    fn end(&mut self, instance: InstanceId, outcome: AttemptOutcome, latency_ms: u64) {
        let latency = Duration::from_millis(latency_ms);
        self.balancer.record_end(instance, outcome, latency, self.now);
    }

    /// Sends one request to an instance, whose end is `outcome`.
    fn attempt(&mut self, instance: InstanceId, outcome: AttemptOutcome) {
        self.balancer.record_start(instance, self.now);
        self.end(instance, outcome, 5);
    }

    /// Requests of 1000 that go to an instance, each ended before the next.
    fn part(&mut self, of: InstanceId) -> usize {
        let mut count = 0;
        for _ in 0..1000 {
            let chosen = self.start().unwrap();
            self.end(chosen, OK, 5);
            count += usize::from(chosen == of);
        }
        count
    }

    /// The key of an instance.
    fn id(&self, name: &str) -> InstanceId {
        instance(&self.snapshot, name)
    }

    /// The region of a request's instance.
    fn region(&self, id: InstanceId) -> RegionId {
        self.snapshot.instances[id].region
    }

    /// Lets time pass.
    fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
    }
}

// Guards against more requests at an instance than its slots, and against slots left unused.
#[test]
fn choose_fills_slots_only() {
    let mut bench = Bench::new(3, &["north"]);
    let chosen = bench.fill();
    assert_eq!(chosen.len(), 6 * 4);
    for id in &chosen {
        assert_eq!(bench.balancer.in_flight(*id), 4);
    }
    bench.end(chosen[0], OK, 5);
    assert_eq!(bench.choose_except(&[]), Some(chosen[0]));
    assert_eq!(bench.choose_except(&[chosen[0]]), None);
}

// Guards against a cold region that gets its whole share of a shift at once.
#[test]
fn choose_ramps_up_cold_region() {
    let mut bench = Bench::new(5, &["north", "east"]);
    let east = bench.snapshot.regions.key("east").unwrap();
    bench.regions[1].share_slots = 20;
    let remote = |bench: &mut Bench| {
        let chosen = bench.fill();
        chosen.iter().filter(|it| bench.region(**it) == east).count()
    };
    assert_eq!(bench.regions[0].region, bench.snapshot.regions.key("north").unwrap());
    // 10% of 20 at first, 55% after half of the ramp-up, then all.
    assert_eq!(remote(&mut bench), 2);
    bench.pass(15_000);
    assert_eq!(remote(&mut bench), 11 - 2);
    bench.pass(15_000);
    assert_eq!(remote(&mut bench), 20 - 11);
}

// Guards against a full load on new and returned instances, whose caches are cold.
#[test]
fn install_ramps_up_new_and_returned() {
    let mut bench = Bench::new(1, &["north"]);
    bench.install(2, &[], &[]);
    let new = bench.id("north-1-1");
    let at_start = bench.part(new);
    bench.pass(30_000);
    let warm = bench.part(new);
    assert!(at_start * 4 < warm, "{at_start} at the start, {warm} when warm");
    bench.install(2, &["north-1-1"], &[]);
    assert_eq!(bench.part(new), 0);
    bench.install(2, &[], &[]);
    assert!(bench.part(new) * 4 < warm);
}

// Guards against new work for draining instances, whoever says that they drain.
#[test]
fn choose_never_draining() {
    let mut bench = Bench::new(2, &["north"]);
    bench.install(2, &[], &["north-1-0"]);
    let (announced, reported) = (bench.id("north-1-1"), bench.id("north-2-0"));
    bench.balancer.mark_draining(announced, bench.now + Duration::from_secs(60));
    let period = Duration::from_secs(1);
    let report = LoadReport { in_flight: 0, draining: true, period };
    bench.balancer.record_report(reported, report, bench.now, bench.now);
    let last = bench.id("north-2-1");
    assert!(bench.fill().iter().all(|it| *it == last));
    // The report expires after two periods, the announced drain at its time.
    bench.pass(2_001);
    assert!(bench.fill().contains(&reported));
    bench.pass(60_000);
    assert!(bench.fill().contains(&announced));
}

// Guards against requests to a dead instance, and against one that is never tried again.
#[test]
fn finished_ejects_and_probes() {
    let mut bench = Bench::new(2, &["north"]);
    let dead = bench.id("north-1-0");
    bench.attempt(dead, AttemptOutcome::Unreachable);
    assert!(bench.balancer.is_ejected(dead));
    let mut delay_ms = 200;
    for _ in 0..8 {
        bench.pass(delay_ms - 1);
        assert_eq!(bench.part(dead), 0);
        bench.pass(1);
        // Requests that must not be repeated leave the probe to others for as long again.
        bench.idempotent = false;
        assert_ne!(bench.choose_except(&[]), Some(dead));
        bench.idempotent = true;
        assert_eq!(bench.start(), Some(dead));
        assert_ne!(bench.choose_except(&[]), Some(dead));
        bench.end(dead, AttemptOutcome::TimedOut, 5);
        delay_ms = (delay_ms * 2).min(10_000);
    }
    bench.pass(2 * delay_ms);
    bench.idempotent = false;
    assert_eq!(bench.start(), Some(dead));
    bench.end(dead, OK, 5);
    assert!(!bench.balancer.is_ejected(dead));
    let returned = bench.part(dead);
    bench.pass(30_000);
    assert!(returned * 4 < bench.part(dead));
}

// Guards against an outage made by ejection: a fault of one route or of the whole service looks the
// same at all instances.
#[test]
fn finished_keeps_half_on_answers() {
    for outcome in [AttemptOutcome::Answered { failed: true }, AttemptOutcome::TimedOut] {
        let mut bench = Bench::new(2, &["north"]);
        let ids: Vec<_> =
            ["north-1-0", "north-1-1", "north-2-0", "north-2-1"].map(|it| bench.id(it)).into();
        for id in &ids {
            bench.attempt(*id, outcome);
            bench.attempt(*id, outcome);
        }
        assert!(ids.iter().all(|it| !bench.balancer.is_ejected(*it)));
        for id in &ids {
            bench.attempt(*id, outcome);
        }
        assert_eq!(ids.iter().filter(|it| bench.balancer.is_ejected(**it)).count(), 2);
    }
}

// Guards against reports that mislead: an old one counts nothing, a wrong one does not take an
// instance out, and an instance that claims to be idle gets no more than its slots.
#[test]
fn report_comes_second() {
    let mut bench = Bench::new(1, &["north"]);
    let (here, there) = (bench.id("north-1-0"), bench.id("north-2-0"));
    let fair = bench.part(here);
    let period = Duration::from_secs(1);
    let full = LoadReport { in_flight: 400, draining: false, period };
    bench.balancer.record_report(here, full, bench.now, bench.now);
    let reported_full = bench.part(here);
    assert!((1..fair / 2).contains(&reported_full), "{reported_full} of {fair}");
    let idle = LoadReport { in_flight: 0, draining: false, period };
    bench.balancer.record_report(there, idle, bench.now, bench.now);
    assert_eq!(bench.fill().iter().filter(|it| **it == there).count(), 4);
    let mut bench = Bench::new(1, &["north"]);
    bench.balancer.record_report(here, full, bench.now, bench.now + Duration::from_millis(2_001));
    bench.pass(2_001);
    assert!(bench.part(here).abs_diff(fair) < 100);
}

// Guards against a slow or shedding instance that gets as much as a healthy one.
#[test]
fn choose_prefers_fast_instances() {
    let mut bench = Bench::new(2, &["north"]);
    let slow = bench.id("north-1-0");
    let fair = bench.part(slow);
    for _ in 0..20 {
        bench.balancer.record_start(slow, bench.now);
        bench.end(slow, OK, 500);
    }
    assert!(bench.part(slow) * 2 < fair);
    let mut bench = Bench::new(2, &["north"]);
    bench.attempt(slow, AttemptOutcome::Shed);
    assert!(!bench.balancer.is_ejected(slow));
    assert!(bench.part(slow) * 2 < fair);
}

// Guards against room that is counted although nothing may be sent there.
#[test]
fn headroom_counts_usable_slots() {
    let mut bench = Bench::new(2, &["north"]);
    let service = bench.snapshot.services.key("shop").unwrap();
    let north = bench.snapshot.regions.key("north").unwrap();
    bench.install(2, &[], &["north-1-0"]);
    bench.attempt(bench.id("north-1-1"), AttemptOutcome::Unreachable);
    let busy = bench.id("north-2-0");
    bench.balancer.record_start(busy, bench.now);
    let report = LoadReport { in_flight: 3, draining: false, period: Duration::from_secs(1) };
    bench.balancer.record_report(busy, report, bench.now, bench.now);
    let room = bench.balancer.capacity(service, north, bench.now);
    assert_eq!((room.slots, room.free_slots), (8, 5));
    bench.pass(2_001);
    let room = bench.balancer.capacity(service, north, bench.now);
    assert_eq!((room.slots, room.free_slots), (8, 7));
}

// Guards against longer outages than the fault: requests from before an ejection that fail late
// must not delay the probe, and an instance that returned must not count as ejected.
#[test]
fn finished_late_failures() {
    let mut bench = Bench::new(1, &["north"]);
    let (here, there) = (bench.id("north-1-0"), bench.id("north-2-0"));
    for _ in 0..3 {
        bench.balancer.record_start(here, bench.now);
    }
    bench.attempt(here, AttemptOutcome::Unreachable);
    bench.pass(100);
    for _ in 0..3 {
        bench.end(here, AttemptOutcome::Broken { response_started: false }, 5);
    }
    bench.pass(100);
    assert_eq!(bench.start(), Some(here));
    bench.end(here, OK, 5);
    for _ in 0..3 {
        bench.attempt(there, AttemptOutcome::TimedOut);
    }
    assert!(bench.balancer.is_ejected(there));
    assert!(!bench.balancer.is_ejected(here));
}

// Guards against traffic between zones that the home zone could serve.
#[test]
fn choose_prefers_home_zone() {
    let mut bench = Bench::new(1, &["north"]);
    let here = bench.id("north-1-0");
    let part = bench.part(here);
    assert!((600..900).contains(&part), "{part} of 1000 stay in the zone");
}
