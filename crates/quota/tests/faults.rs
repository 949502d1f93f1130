//! Tests of shares under single faults, with the lease durations of production.

mod model;

use std::time::Duration;

use kingcupford_quota::{AcquireOutcome, Cap, Settings};

use crate::model::Simulation;

/// Resource index of the rate of the large team in the simulation.
const LARGE: usize = 0;
/// Resource index of the region slots in the simulation.
const SLOTS: usize = 2;

fn settled(hosts: usize) -> Simulation {
    Simulation::settled(hosts, 7, Settings::default())
}

/// Units of the floor and the main share of a host.
fn units(sim: &Simulation, host: usize) -> u32 {
    let holder = sim.hosts[host].holder.as_ref().expect("a running host");
    let (floor, main) = holder.share_units();
    floor + main
}

/// Whether a host admits a request of the large team now.
fn admits(sim: &mut Simulation, host: usize) -> bool {
    let (resource, now) = (sim.caps[LARGE].0, sim.now);
    let holder = sim.hosts[host].holder.as_mut().expect("a running host");
    holder.acquire_tokens(resource, 1.0, now) == AcquireOutcome::Acquired
}

/// Burst capacity and rate of the large team that a host may use now.
fn local_limit(sim: &mut Simulation, host: usize) -> (f64, f64) {
    let (resource, now) = (sim.caps[LARGE].0, sim.now);
    let holder = sim.hosts[host].holder.as_mut().expect("a running host");
    holder.local_limit(resource, now)
}

/// Guards against joining hosts that get no share, and against units lost while they are moved.
#[test]
fn joining_hosts_get_even_shares() {
    for hosts in [1, 2, 3, 8, 20] {
        let sim = settled(hosts);
        let total: u32 = (0..hosts).map(|it| units(&sim, it)).sum();
        assert_eq!(total, 1_000_000, "{hosts} hosts");
        let even = 1_000_000 / hosts as u32;
        for host in 0..hosts {
            let units = units(&sim, host);
            assert!(units >= even / 4, "{hosts} hosts: {units} units, even share {even}");
        }
    }
}

/// Guards against a main share of a crashed host that is never reclaimed, or reclaimed before the
/// lease has ended.
#[test]
fn main_share_reclaimed_after_crash() {
    let mut sim = settled(8);
    let lost = units(&sim, 3);
    sim.kill(3);
    sim.run(9_900);
    let before: u32 = [0, 1, 2, 4, 5, 6, 7].map(|it| units(&sim, it)).iter().sum();
    assert_eq!(before, 1_000_000 - lost, "reclaimed before the lease ended");
    sim.run(5_000);
    let capacity = sim.total_capacity(LARGE) / 100.0;
    let expected = 1.0 - 0.2 * f64::from(lost) / 1e6;
    assert!(capacity > expected - 0.001, "capacity {capacity} after 14.9 s, not {expected}");
}

/// Guards against a floor share of a crashed host that is never reclaimed, or reclaimed before the
/// lease has ended.
#[test]
fn floor_share_reclaimed_after_crash() {
    let mut sim = settled(3);
    sim.kill(1);
    sim.run(29 * 60_000);
    assert!(units(&sim, 0) + units(&sim, 2) < 1_000_000, "the floor lease still runs");
    sim.run(4 * 60_000);
    assert_eq!(units(&sim, 0) + units(&sim, 2), 1_000_000);
}

/// Guards against shares lost by an outage of the platform although all hosts receive heartbeats of
/// each other.
#[test]
fn platform_outage_keeps_shares() {
    let mut sim = settled(8);
    sim.platform_up = false;
    for _ in 0..40 {
        sim.run(60_000);
        let capacity = sim.total_capacity(LARGE);
        assert!(capacity > 99.9, "capacity {capacity} after {:?}", sim.now - sim.start);
    }
}

/// Guards against leases of all other hosts lost by the crash of one host during an outage of the
/// platform.
#[test]
fn platform_outage_with_crash() {
    let mut sim = settled(8);
    sim.platform_up = false;
    sim.run(1_000);
    let lost = f64::from(units(&sim, 2)) / 1e6;
    sim.kill(2);
    for host in [0, 1, 3, 4, 5, 6, 7] {
        sim.hosts[host].holder.as_mut().expect("a running host").peer_terminated("host-2", 1);
    }
    sim.run(60_000);
    let capacity = sim.total_capacity(LARGE) / 100.0;
    assert!(capacity > 1.0 - lost - 0.001, "capacity {capacity}");
}

/// Guards against a partitioned host that admits no requests, and against other hosts that do not
/// reclaim the main share of the partitioned host.
#[test]
fn partitioned_host_uses_floor_share() {
    let mut sim = settled(8);
    let own = f64::from(units(&sim, 5)) / 1e6;
    sim.hosts[5].partition = 1;
    sim.run(60_000);
    let (capacity, rate) = local_limit(&mut sim, 5);
    assert!((rate - 0.2 * own * 200.0).abs() < 0.01, "rate {rate} of {}", own * 200.0);
    assert!(capacity > 0.0 && admits(&mut sim, 5));
    assert!(sim.total_capacity(LARGE) > 99.9, "the main share was not reclaimed");
    sim.hosts[5].partition = 0;
    sim.run(10_000);
    assert!(units(&sim, 5) > 60_000, "no share after the partition");
    assert!(sim.total_capacity(LARGE) > 99.9);
}

/// Guards against a process that, after a pause, uses a share that was reclaimed during the pause.
#[test]
fn resumed_process_uses_no_reclaimed_share() {
    let mut sim = settled(4);
    let own = f64::from(units(&sim, 2)) / 1e6;
    sim.hosts[2].paused_until = Some(sim.now + Duration::from_secs(20));
    sim.run(19_990);
    let others: u32 = [0, 1, 3].map(|it| units(&sim, it)).iter().sum();
    assert!(f64::from(others) / 1e6 > 1.0 - 0.3 * own, "nothing was reclaimed");
    // The process admits requests before it handles any message or notices the pause.
    let admitted = (0..100).filter(|_| admits(&mut sim, 2)).count();
    assert!(admitted as f64 <= 0.2 * own * 100.0 + 1e-6, "{admitted} admitted");
    sim.run(10_000);
    assert!(sim.total_capacity(LARGE) > 99.9);
}

/// Guards against a restarted host that uses the tokens of its predecessor again, and against one
/// that loses the share of its predecessor.
#[test]
fn restarted_host_has_empty_bucket() {
    let mut sim = settled(8);
    let own = units(&sim, 4);
    sim.kill(4);
    sim.run(200);
    sim.start(4);
    assert_eq!(local_limit(&mut sim, 4).0, 0.0, "a new process has no share");
    sim.run(2_040);
    assert_eq!(units(&sim, 4), own, "the share of the predecessor");
    assert_eq!(local_limit(&mut sim, 4).0, 0.0, "loans of the predecessor may still run");
    sim.run(110);
    let (capacity, rate) = local_limit(&mut sim, 4);
    assert!(rate > 0.0);
    let admitted = (0..100).filter(|_| admits(&mut sim, 4)).count();
    assert!(
        admitted as f64 <= rate * 0.1 + 1e-6,
        "{admitted} admitted from an initially empty bucket of {capacity}"
    );
}

/// Guards against a graceful shutdown that leaves a share unused until leases expire.
#[test]
fn graceful_shutdown_hands_over_immediately() {
    let mut sim = settled(8);
    let now = sim.now;
    sim.hosts[6].holder.as_mut().expect("a running host").start_handover(now);
    sim.run(500);
    assert!(
        sim.hosts[6].holder.as_ref().is_some_and(kingcupford_quota::Holder::is_handover_complete)
    );
    sim.kill(6);
    sim.run(500);
    assert!(sim.total_capacity(LARGE) > 99.9);
}

/// Guards against borrowers that exceed a lowered cap until the loans expire.
#[test]
fn lowered_cap_applies_immediately() {
    let mut sim = settled(8);
    sim.hosts[0].demand_per_s[LARGE] = 180.0;
    sim.run(5_000);
    sim.set_cap(LARGE, Cap::Rate { rate_per_s: 20.0, burst: 10.0 });
    assert!(sim.total_capacity(LARGE) <= 10.0 + 1e-6);
    sim.run(5_000);
}

/// Guards against refusals after the whole demand of a team has moved to one host.
#[test]
fn moved_demand_is_rarely_refused() {
    let mut sim = settled(8);
    sim.latency_ms = |a, b| if a / 2 == b / 2 { 1 } else { 55 };
    for host in &mut sim.hosts {
        host.demand_per_s[LARGE] = 180.0 / 8.0;
    }
    sim.run(5_000);
    sim.take_refused_fraction();
    for host in &mut sim.hosts {
        host.demand_per_s[LARGE] = 0.0;
    }
    sim.hosts[0].demand_per_s[LARGE] = 180.0;
    sim.run(10_000);
    let refused = sim.take_refused_fraction();
    assert!(refused < 0.01, "{refused} refused although within the rate");
}

/// Guards against permits of a region that cannot be lent to the host with the demand.
#[test]
fn permits_follow_demand() {
    let mut sim = settled(8);
    sim.hosts[1].demand_per_s[SLOTS] = 7.0;
    sim.run(5_000);
    sim.take_refused_fraction();
    sim.run(20_000);
    let refused = sim.take_refused_fraction();
    assert!(refused < 0.05, "{refused} refused with about 14 of 21 permits in use");
}

/// Guards against reclaimed permits that are used while requests of the partitioned host, started
/// before the lease ended, still run. The simulation checks the number of running requests.
#[test]
fn reclaimed_permits_wait_for_running_requests() {
    let mut sim = settled(3);
    // Many permits, so that rounding to whole permits does not hide a permit that is used twice.
    sim.set_cap(
        SLOTS,
        Cap::Permits { permits: 2_100, max_request_duration: Duration::from_secs(60) },
    );
    for host in &mut sim.hosts {
        host.demand_per_s[SLOTS] = 200.0;
    }
    sim.max_request_ms = 20_000;
    sim.run(20_000);
    sim.hosts[1].partition = 1;
    sim.run(30_000);
    assert!(units(&sim, 0) + units(&sim, 2) > 800_000, "nothing was reclaimed");
}

/// Guards against holders of a new fleet that wait for requests of predecessors that did not exist.
#[test]
fn new_fleet_uses_permits_immediately() {
    let mut sim = settled(3);
    let max_request_duration = Duration::from_secs(600);
    sim.set_cap(SLOTS, Cap::Permits { permits: 2_100, max_request_duration });
    for host in 0..3 {
        let resource = sim.caps[SLOTS].0;
        let now = sim.now;
        let holder = sim.hosts[host].holder.as_mut().expect("a running host");
        assert!(holder.local_limit(resource, now).0 > 500.0, "host {host} has no permits");
    }
}

/// Guards against floods of loan requests when a team exceeds its rate on every host.
#[test]
fn exhausted_rate_causes_few_loan_requests() {
    let mut sim = settled(8);
    for host in &mut sim.hosts {
        host.demand_per_s[LARGE] = 125.0;
    }
    sim.run(5_000);
    let before = sim.loan_requests_sent;
    sim.run(20_000);
    let per_host_s = (sim.loan_requests_sent - before) as f64 / 8.0 / 20.0;
    assert!(per_host_s < 10.0, "{per_host_s} loan requests per host and second");
    let refused = sim.take_refused_fraction();
    assert!((0.78..0.82).contains(&refused), "{refused} refused at five times the rate");
}

/// Guards against frequent writes to the platform while nothing changes.
#[test]
fn idle_fleet_writes_rarely() {
    let mut sim = settled(8);
    let before = sim.applied_writes;
    sim.run(120_000);
    let per_s = (sim.applied_writes - before) as f64 / 120.0;
    assert!(per_s < 0.5, "{per_s} writes per second");
}
