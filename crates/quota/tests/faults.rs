//! Behaviour of shares under each fault on its own, with the leases of production.

mod model;

use std::time::Duration;

use kingcupford_quota::{AcquireOutcome, Cap, Settings};

use crate::model::World;

/// Index of the large tenant's rate in the model.
const LARGE: usize = 0;
/// Index of the region slots in the model.
const SLOTS: usize = 2;

/// Hosts with settled shares.
fn settled(hosts: usize) -> World {
    World::settled(hosts, 7, Settings::default())
}

/// Own units of a host, both parts.
fn units(world: &World, host: usize) -> u32 {
    let holder = world.hosts[host].holder.as_ref().expect("a running host");
    let (floor, main) = holder.share_units();
    floor + main
}

/// Whether a host takes one request of the large tenant now.
fn takes(world: &mut World, host: usize) -> bool {
    let (resource, now) = (world.caps[LARGE].0, world.now);
    let holder = world.hosts[host].holder.as_mut().expect("a running host");
    holder.acquire_tokens(resource, 1.0, now) == AcquireOutcome::Acquired
}

/// Burst capacity and rate of the large tenant that a host may use now.
fn allowance(world: &mut World, host: usize) -> (f64, f64) {
    let (resource, now) = (world.caps[LARGE].0, world.now);
    let holder = world.hosts[host].holder.as_mut().expect("a running host");
    holder.local_limit(resource, now)
}

/// Guards against joiners that get no share, and against units lost while they move.
#[test]
fn join_even_shares() {
    for hosts in [1, 2, 3, 8, 20] {
        let world = settled(hosts);
        let total: u32 = (0..hosts).map(|it| units(&world, it)).sum();
        assert_eq!(total, 1_000_000, "{hosts} hosts");
        let even = 1_000_000 / hosts as u32;
        for host in 0..hosts {
            let units = units(&world, host);
            assert!(units >= even / 4, "{hosts} hosts: {units} of an even {even}");
        }
    }
}

/// Guards against shares of a dead host that stay unused, or are used before its lease ended.
#[test]
fn death_main_part_back() {
    let mut world = settled(8);
    let lost = units(&world, 3);
    world.kill(3);
    world.run(9_900);
    let before: u32 = [0, 1, 2, 4, 5, 6, 7].map(|it| units(&world, it)).iter().sum();
    assert_eq!(before, 1_000_000 - lost, "reclaimed before the lease ended");
    world.run(5_000);
    let capacity = world.capacity(LARGE) / 100.0;
    let expected = 1.0 - 0.2 * f64::from(lost) / 1e6;
    assert!(capacity > expected - 0.001, "capacity {capacity} after 14.9 s, not {expected}");
}

/// Guards against a floor part that stays with a dead host for ever.
#[test]
fn death_floor_part_back() {
    let mut world = settled(3);
    world.kill(1);
    world.run(29 * 60_000);
    assert!(units(&world, 0) + units(&world, 2) < 1_000_000, "the floor lease still runs");
    world.run(4 * 60_000);
    assert_eq!(units(&world, 0) + units(&world, 2), 1_000_000);
}

/// Guards against an outage of the platform that costs a share although all hosts hear each other.
#[test]
fn platform_outage_costs_nothing() {
    let mut world = settled(8);
    world.platform_up = false;
    for _ in 0..40 {
        world.run(60_000);
        let capacity = world.capacity(LARGE);
        assert!(capacity > 99.9, "capacity {capacity} after {:?}", world.now - world.start);
    }
}

/// Guards against a host that dies during an outage of the platform and takes the leases of all
/// others with it.
#[test]
fn platform_outage_with_death() {
    let mut world = settled(8);
    world.platform_up = false;
    world.run(1_000);
    let lost = f64::from(units(&world, 2)) / 1e6;
    world.kill(2);
    for host in [0, 1, 3, 4, 5, 6, 7] {
        world.hosts[host].holder.as_mut().expect("a running host").peer_terminated("host-2", 1);
    }
    world.run(60_000);
    let capacity = world.capacity(LARGE) / 100.0;
    assert!(capacity > 1.0 - lost - 0.001, "capacity {capacity}");
}

/// Guards against a partitioned host that serves nothing, and against others that lack its part.
#[test]
fn partition_spends_floor() {
    let mut world = settled(8);
    let own = f64::from(units(&world, 5)) / 1e6;
    world.hosts[5].group = 1;
    world.run(60_000);
    let (capacity, rate) = allowance(&mut world, 5);
    assert!((rate - 0.2 * own * 200.0).abs() < 0.01, "rate {rate} of {}", own * 200.0);
    assert!(capacity > 0.0 && takes(&mut world, 5));
    assert!(world.capacity(LARGE) > 99.9, "the others did not reclaim the main part");
    world.hosts[5].group = 0;
    world.run(10_000);
    assert!(units(&world, 5) > 60_000, "no share after the partition");
    assert!(world.capacity(LARGE) > 99.9);
}

/// Guards against a process that spends after a pause what was reclaimed during it.
#[test]
fn pause_spends_nothing_reclaimed() {
    let mut world = settled(4);
    let own = f64::from(units(&world, 2)) / 1e6;
    world.hosts[2].paused_until = Some(world.now + Duration::from_secs(20));
    world.run(19_990);
    let others: u32 = [0, 1, 3].map(|it| units(&world, it)).iter().sum();
    assert!(f64::from(others) / 1e6 > 1.0 - 0.3 * own, "nothing was reclaimed");
    // The process spends before it handles any message or notices the pause.
    let taken = (0..100).filter(|_| takes(&mut world, 2)).count();
    assert!(taken as f64 <= 0.2 * own * 100.0 + 1e-6, "{taken} taken");
    world.run(10_000);
    assert!(world.capacity(LARGE) > 99.9);
}

/// Guards against a restarted host that spends twice, and against one that loses its share.
#[test]
fn restart_empty_bucket() {
    let mut world = settled(8);
    let own = units(&world, 4);
    world.kill(4);
    world.run(200);
    world.start(4);
    assert_eq!(allowance(&mut world, 4).0, 0.0, "a new process has no share");
    world.run(2_040);
    assert_eq!(units(&world, 4), own, "the share of the predecessor");
    assert_eq!(allowance(&mut world, 4).0, 0.0, "loans of the predecessor may still run");
    world.run(110);
    let (capacity, rate) = allowance(&mut world, 4);
    assert!(rate > 0.0);
    let taken = (0..100).filter(|_| takes(&mut world, 4)).count();
    assert!(
        taken as f64 <= rate * 0.1 + 1e-6,
        "{taken} of a bucket of {capacity} that began empty"
    );
}

/// Guards against a planned stop that leaves its share unused until leases end.
#[test]
fn leave_hands_back_at_once() {
    let mut world = settled(8);
    let now = world.now;
    world.hosts[6].holder.as_mut().expect("a running host").start_handover(now);
    world.run(500);
    assert!(
        world.hosts[6].holder.as_ref().is_some_and(kingcupford_quota::Holder::is_handover_complete)
    );
    world.kill(6);
    world.run(500);
    assert!(world.capacity(LARGE) > 99.9);
}

/// Guards against a lowered cap that borrowers go on exceeding until their loans end.
#[test]
fn lower_cap_at_once() {
    let mut world = settled(8);
    world.hosts[0].demand[LARGE] = 180.0;
    world.run(5_000);
    world.set_cap(LARGE, Cap::Rate { rate_per_s: 20.0, burst: 10.0 });
    assert!(world.capacity(LARGE) <= 10.0 + 1e-6);
    world.run(5_000);
}

/// Guards against refusals while the whole demand of a tenant moves to one host.
#[test]
fn move_of_demand_hardly_refused() {
    let mut world = settled(8);
    world.latency_ms = |a, b| if a / 2 == b / 2 { 1 } else { 55 };
    for host in &mut world.hosts {
        host.demand[LARGE] = 180.0 / 8.0;
    }
    world.run(5_000);
    world.refused_fraction();
    for host in &mut world.hosts {
        host.demand[LARGE] = 0.0;
    }
    world.hosts[0].demand[LARGE] = 180.0;
    world.run(10_000);
    let refused = world.refused_fraction();
    assert!(refused < 0.01, "{refused} refused although within the rate");
}

/// Guards against permits of a region that only their owner's host can use.
#[test]
fn permits_follow_demand() {
    let mut world = settled(8);
    world.hosts[1].demand[SLOTS] = 7.0;
    world.run(5_000);
    world.refused_fraction();
    world.run(20_000);
    let refused = world.refused_fraction();
    assert!(refused < 0.05, "{refused} refused with about 14 of 21 permits in use");
}

/// Guards against permits that are used by their new owner while requests of a partitioned host,
/// started before its lease ended, still run; the model checks the number of running requests.
#[test]
fn partition_running_requests() {
    let mut world = settled(3);
    // Many permits, so that rounding to whole ones does not hide a double use.
    world.set_cap(
        SLOTS,
        Cap::Permits { permits: 2_100, max_request_duration: Duration::from_secs(60) },
    );
    for host in &mut world.hosts {
        host.demand[SLOTS] = 200.0;
    }
    world.longest_ms = 20_000;
    world.run(20_000);
    world.hosts[1].group = 1;
    world.run(30_000);
    assert!(units(&world, 0) + units(&world, 2) > 800_000, "nothing was reclaimed");
}

/// Guards against holders of a new fleet that wait for requests of a predecessor they never had.
#[test]
fn join_permits_at_once() {
    let mut world = settled(3);
    let max_request_duration = Duration::from_secs(600);
    world.set_cap(SLOTS, Cap::Permits { permits: 2_100, max_request_duration });
    for host in 0..3 {
        let resource = world.caps[SLOTS].0;
        let now = world.now;
        let holder = world.hosts[host].holder.as_mut().expect("runs");
        assert!(holder.local_limit(resource, now).0 > 500.0, "host {host} has no permits");
    }
}

/// Guards against floods of loan requests when a tenant exceeds its rate on every host.
#[test]
fn exhausted_few_requests() {
    let mut world = settled(8);
    for host in &mut world.hosts {
        host.demand[LARGE] = 125.0;
    }
    world.run(5_000);
    let before = world.requests_sent;
    world.run(20_000);
    let per_host_s = (world.requests_sent - before) as f64 / 8.0 / 20.0;
    assert!(per_host_s < 10.0, "{per_host_s} loan requests per host and second");
    let refused = world.refused_fraction();
    assert!((0.78..0.82).contains(&refused), "{refused} refused at five times the rate");
}

/// Guards against writes that grow while nothing changes.
#[test]
fn idle_few_writes() {
    let mut world = settled(8);
    let before = world.writes;
    world.run(120_000);
    let per_s = (world.writes - before) as f64 / 120.0;
    assert!(per_s < 0.5, "{per_s} writes per second");
}
