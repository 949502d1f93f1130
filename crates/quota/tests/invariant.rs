//! Property test: no combination of faults lets a fleet exceed a cap.
//!
//! The environment variable `KINGCUPFORD_CASES` sets the number of cases; the seed is fixed.

mod model;

use std::time::Duration;

use kingcupford_quota::Cap;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use crate::model::{Simulation, short_leases};

const HOSTS: usize = 5;

/// A step of a test case.
#[derive(Debug, Clone)]
enum Event {
    Run(u64),
    Demand { host: usize, resource: usize, per_s: f64 },
    Kill(usize),
    Start(usize),
    Pause { host: usize, ms: u64 },
    Partition { host: usize, partition: u32 },
    StartHandover(usize),
    Platform(bool),
    PlatformOf { host: usize, reachable: bool },
    Network { loss: f64, delay: f64, response_loss: f64 },
    SetCap(f64),
}

/// Strategy for any event.
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
        3 => (host.clone(), 0_u32..3)
            .prop_map(|(host, partition)| Event::Partition { host, partition }),
        1 => host.clone().prop_map(Event::StartHandover),
        2 => (host, any::<bool>())
            .prop_map(|(host, reachable)| Event::PlatformOf { host, reachable }),
        2 => any::<bool>().prop_map(Event::Platform),
        2 => (0.0..0.5, 0.0..0.5, 0.0..0.7)
            .prop_map(|(loss, delay, response_loss)| Event::Network { loss, delay, response_loss }),
        1 => (0.2..1.5).prop_map(Event::SetCap),
    ]
}

/// Runs a test case. The simulation checks the caps after every step.
fn run_case(seed: u64, events: &[Event]) {
    let mut sim = Simulation::settled(HOSTS, seed, short_leases());
    for host in &mut sim.hosts {
        host.demand_per_s = vec![60.0, 1.0, 15.0];
    }
    for event in events {
        match *event {
            Event::Run(ms) => sim.run(ms),
            Event::Demand { host, resource, per_s } => {
                sim.hosts[host].demand_per_s[resource] = per_s
            }
            Event::Kill(host) => sim.kill(host),
            Event::Start(host) => sim.start(host),
            Event::Pause { host, ms } => {
                sim.hosts[host].paused_until = Some(sim.now + Duration::from_millis(ms));
            }
            Event::Partition { host, partition } => sim.hosts[host].partition = partition,
            Event::StartHandover(host) => {
                let now = sim.now;
                if let Some(holder) = &mut sim.hosts[host].holder {
                    holder.start_handover(now);
                }
            }
            Event::PlatformOf { host, reachable } => sim.hosts[host].reaches_platform = reachable,
            Event::Platform(up) => sim.platform_up = up,
            Event::Network { loss, delay, response_loss } => {
                (sim.loss_probability, sim.delay_probability, sim.response_loss_probability) =
                    (loss, delay, response_loss);
            }
            Event::SetCap(factor) => {
                sim.set_cap(0, Cap::Rate { rate_per_s: 200.0 * factor, burst: 100.0 * factor });
            }
        }
    }
    sim.run(3000);
}

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

    /// Guards against shares that two hosts use at the same time while the shares are moved, lent,
    /// lost, reclaimed or restored.
    #[test]
    fn caps_hold_under_any_faults(
        seed in any::<u64>(),
        events in prop::collection::vec(event(), 10..60),
    ) {
        run_case(seed, &events);
    }
}
