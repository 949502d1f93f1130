//! Checks that no combination of faults lets a fleet exceed a cap.
//!
//! `KINGCUPFORD_CASES` sets the number of cases; the seed is fixed.

mod model;

use std::time::Duration;

use kingcupford_quota::Cap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::model::{World, short_leases};

/// Number of hosts of a case.
const HOSTS: usize = 5;

/// An event of a case.
#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Demand { host: usize, resource: usize, per_s: f64 },
    Kill(usize),
    Start(usize),
    Pause { host: usize, ms: u64 },
    Isolate { host: usize, group: u32 },
    Leave(usize),
    Platform(bool),
    PlatformOf { host: usize, reachable: bool },
    Network { loss: f64, late: f64, answer_loss: f64 },
    SetCap(f64),
}

/// Any event.
fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    prop_oneof![
        12 => (100_u64..4000).prop_map(Event::Run),
        6 => (host.clone(), 0_usize..3, 0.0..400.0).prop_map(|(host, resource, per_s)| {
            let per_s = if resource == 0 { per_s } else { per_s / 10.0 };
            Event::Demand { host, resource, per_s }
        }),
        2 => host.clone().prop_map(Event::Kill),
        3 => host.clone().prop_map(Event::Start),
        2 => (host.clone(), 100_u64..5000).prop_map(|(host, ms)| Event::Pause { host, ms }),
        3 => (host.clone(), 0_u32..3).prop_map(|(host, group)| Event::Isolate { host, group }),
        1 => host.clone().prop_map(Event::Leave),
        2 => (host, any::<bool>())
            .prop_map(|(host, reachable)| Event::PlatformOf { host, reachable }),
        2 => any::<bool>().prop_map(Event::Platform),
        2 => (0.0..0.5, 0.0..0.5, 0.0..0.7)
            .prop_map(|(loss, late, answer_loss)| Event::Network { loss, late, answer_loss }),
        1 => (0.2..1.5).prop_map(Event::SetCap),
    ]
}

/// Runs a case; the world checks the caps after every step.
fn run_case(seed: u64, events: &[Event]) {
    let mut world = World::settled(HOSTS, seed, short_leases());
    for host in &mut world.hosts {
        host.demand = vec![60.0, 1.0, 15.0];
    }
    for event in events {
        match *event {
            Event::Run(ms) => world.run(ms),
            Event::Demand { host, resource, per_s } => world.hosts[host].demand[resource] = per_s,
            Event::Kill(host) => world.kill(host),
            Event::Start(host) => world.start(host),
            Event::Pause { host, ms } => {
                world.hosts[host].paused_until = Some(world.now + Duration::from_millis(ms));
            }
            Event::Isolate { host, group } => world.hosts[host].group = group,
            Event::Leave(host) => {
                let now = world.now;
                if let Some(holder) = &mut world.hosts[host].holder {
                    holder.start_handover(now);
                }
            }
            Event::PlatformOf { host, reachable } => world.hosts[host].reaches_platform = reachable,
            Event::Platform(up) => world.platform_up = up,
            Event::Network { loss, late, answer_loss } => {
                (world.loss, world.late, world.answer_loss) = (loss, late, answer_loss);
            }
            Event::SetCap(factor) => {
                world.set_cap(0, Cap::Rate { rate_per_s: 200.0 * factor, burst: 100.0 * factor });
            }
        }
    }
    world.run(3000);
}

/// Configuration with a fixed seed.
fn config() -> Config {
    let cases = std::env::var("KINGCUPFORD_CASES").ok().and_then(|it| it.parse().ok());
    let cases = cases.unwrap_or(48);
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x5EED),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against shares counted twice while they move, are lent, lost, reclaimed or restored.
    #[test]
    fn caps_any_faults(seed in any::<u64>(), events in prop::collection::vec(event(), 10..60)) {
        run_case(seed, &events);
    }
}
