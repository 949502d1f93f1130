//! Prints the fraction of requests that are refused although the team is within its rate, when
//! the demand moves between hosts, compared with a static equal split; and the time of one
//! admission.

#[path = "../tests/model/mod.rs"]
mod model;

use std::time::Instant;

use kingcupford_quota::{AcquireOutcome, Settings};

use crate::model::Simulation;

/// Resource index of the rate of the large team (200/s, burst 100) in the simulation.
const LARGE: usize = 0;

/// One-way latency of 8 hosts in three regions of two zones each, as in the Huskfutter deployment.
fn latency_ms(a: usize, b: usize) -> u64 {
    let region = |host: usize| host * 3 / 8;
    let zone = |host: usize| host * 6 / 8;
    match (region(a) == region(b), zone(a) == zone(b)) {
        (_, true) => 0,
        (true, false) => 1,
        (false, _) => 55,
    }
}

/// Moves the demand of all hosts to the first one, and prints the refused fraction in the next 2 s
/// and in the 28 s after that.
fn print_refusals(load: f64, max_wait_ms: u64, loss: f64) {
    let mut sim = Simulation::settled(8, 1, Settings::default());
    sim.latency_ms = latency_ms;
    sim.loss_probability = loss;
    let demand = 200.0 * load;
    for host in &mut sim.hosts {
        host.max_wait = std::time::Duration::from_millis(max_wait_ms);
        host.demand_per_s[LARGE] = demand / 8.0;
    }
    sim.run(5_000);
    for host in &mut sim.hosts {
        host.demand_per_s[LARGE] = 0.0;
    }
    sim.hosts[0].demand_per_s[LARGE] = demand;
    sim.take_refused_fraction();
    sim.run(2_000);
    let first = sim.take_refused_fraction();
    sim.run(28_000);
    let later = sim.take_refused_fraction();
    let loan_requests = sim.loan_requests_sent;
    let static_split = (1.0 - (25.0 * 10.0 + 12.5) / (demand * 10.0)).max(0.0);
    println!(
        "load {load:.2} wait {max_wait_ms:3} ms loss {loss:.2}: refused {:.2}% in 2 s, {:.2}% in \
         the next 28 s, static split {:.1}%, {loan_requests} loan requests in all",
        first * 100.0,
        later * 100.0,
        static_split * 100.0
    );
}

/// Prints the time of one successful admission.
fn print_admission_time() {
    let mut sim = Simulation::settled(8, 1, Settings::default());
    let resource = sim.caps[LARGE].0;
    let (mut now, mut admitted) = (sim.now, 0);
    let holder = sim.hosts[0].holder.as_mut().expect("a running host");
    let start = Instant::now();
    for _ in 0..1_000_000 {
        now += std::time::Duration::from_micros(10);
        admitted +=
            u32::from(holder.acquire_tokens(resource, 0.0001, now) == AcquireOutcome::Acquired);
    }
    println!("admission: {:.0} ns, {admitted} admitted", start.elapsed().as_secs_f64() * 1e3);
}

fn main() {
    for load in [0.5, 0.9, 0.98] {
        print_refusals(load, 250, 0.0);
        print_refusals(load, 0, 0.0);
    }
    print_refusals(0.9, 250, 0.05);
    print_admission_time();
}
