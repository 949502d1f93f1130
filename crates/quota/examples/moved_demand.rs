//! Refused part of a tenant's requests although within its rate, when its demand moves between
//! hosts, against a static equal split; and the time of one spend.

#[path = "../tests/model/mod.rs"]
mod model;

use std::time::Instant;

use kingcupford_quota::{AcquireOutcome, Settings};

use crate::model::World;

/// Index of the large tenant's rate (200/s, burst 100) in the model.
const LARGE: usize = 0;

/// One-way latency of 8 hosts in three regions of two zones, as Huskfutter has them.
fn latency_ms(a: usize, b: usize) -> u64 {
    let region = |host: usize| host * 3 / 8;
    let zone = |host: usize| host * 6 / 8;
    match (region(a) == region(b), zone(a) == zone(b)) {
        (_, true) => 0,
        (true, false) => 1,
        (false, _) => 55,
    }
}

/// Moves a demand from all hosts to the first one and prints the refused part of the next 10 s.
fn print_moved(load: f64, patience_ms: u64, loss: f64) {
    let mut world = World::settled(8, 1, Settings::default());
    world.latency_ms = latency_ms;
    world.loss = loss;
    let demand = 200.0 * load;
    for host in &mut world.hosts {
        host.patience = std::time::Duration::from_millis(patience_ms);
        host.demand[LARGE] = demand / 8.0;
    }
    world.run(5_000);
    for host in &mut world.hosts {
        host.demand[LARGE] = 0.0;
    }
    world.hosts[0].demand[LARGE] = demand;
    world.refused_fraction();
    world.run(2_000);
    let first = world.refused_fraction();
    world.run(28_000);
    let then = world.refused_fraction();
    let sent = world.requests_sent;
    let fixed = (1.0 - (25.0 * 10.0 + 12.5) / (demand * 10.0)).max(0.0);
    println!(
        "load {load:.2} wait {patience_ms:3} ms loss {loss:.2}: refused {:.2}% in 2 s, {:.2}% in \
         the next 28 s, static split {:.1}%, {sent} loan requests in all",
        first * 100.0,
        then * 100.0,
        fixed * 100.0
    );
}

/// Prints the time of one successful spend.
fn print_spend_time() {
    let mut world = World::settled(8, 1, Settings::default());
    let resource = world.caps[LARGE].0;
    let (mut now, mut taken) = (world.now, 0);
    let holder = world.hosts[0].holder.as_mut().expect("a running host");
    let start = Instant::now();
    for _ in 0..1_000_000 {
        now += std::time::Duration::from_micros(10);
        taken +=
            u32::from(holder.acquire_tokens(resource, 0.0001, now) == AcquireOutcome::Acquired);
    }
    println!("spend: {:.0} ns, {taken} taken", start.elapsed().as_secs_f64() * 1e3);
}

fn main() {
    for load in [0.5, 0.9, 0.98] {
        print_moved(load, 250, 0.0);
        print_moved(load, 0, 0.0);
    }
    print_moved(0.9, 250, 0.05);
    print_spend_time();
}
