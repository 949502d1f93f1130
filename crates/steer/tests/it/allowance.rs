//! Tenants' rates over several hosts.

use std::time::Duration;

use kingcupford_steer::{AllowanceSettings, Allowances, DemandEntry, Members, name_hash};
use tokio::time::{Instant, advance};

use crate::common::{beat, manifest, member, places};

/// Settings of the deployments.
const SETTINGS: AllowanceSettings = AllowanceSettings { window_s: 5.0, overage: 0.1, slack: 20.0 };

/// Hosts that all know each other.
fn hosts(count: usize) -> Vec<Members> {
    let own = places().own();
    (0..count)
        .map(|at| {
            let mut members = Members::default();
            for other in (0..count).filter(|other| *other != at) {
                members.register(member(&name(other), "a1", port(other)), own);
            }
            members
        })
        .collect()
}

/// Name of a host.
fn name(at: usize) -> String {
    format!("host-{at}")
}

/// Port of a host.
fn port(at: usize) -> u16 {
    3000 + at as u16 * 10
}

/// Requests admitted in the busiest window of 5 s while each host gets `per_s` requests, and hosts
/// hear each other every 200 ms unless `partitioned` says no.
async fn busiest_window(count: usize, per_s: &[f64], partitioned: impl Fn(u64) -> bool) -> usize {
    let start = Instant::now();
    let mut members = hosts(count);
    let mut allowances: Vec<Allowances> = (0..count).map(|_| Allowances::new(SETTINGS)).collect();
    for at in 0..count {
        allowances[at].install(&manifest(1), &members[at], start);
    }
    let mut owed = vec![0.0; count];
    let mut admitted: Vec<u64> = Vec::new();
    for ms in (0..20_000u64).step_by(10) {
        advance(Duration::from_millis(10)).await;
        let now = Instant::now();
        if ms % 200 == 0 && !partitioned(ms) {
            for (from, own) in allowances.iter().enumerate() {
                let mut beat = beat(&name(from), ms + 1);
                beat.demand = own.demand(now);
                for to in (0..count).filter(|to| *to != from) {
                    let address = member(&name(from), "a1", port(from)).peer_address;
                    members[to].receive(beat.clone(), address, now);
                }
            }
        }
        for at in 0..count {
            if ms % 100 == 0 {
                allowances[at].divide(&members[at], now);
            }
            owed[at] += per_s[at] / 100.0;
            while owed[at] >= 1.0 {
                owed[at] -= 1.0;
                if allowances[at].admit("one", now).is_ok() {
                    admitted.push(ms);
                }
            }
        }
    }
    let in_window =
        |from: &u64| admitted.iter().filter(|it| (*from..from + 5000).contains(it)).count();
    admitted.iter().map(in_window).max().unwrap_or(0)
}

/// What the deployments allow a tenant of 100 requests per second and a burst of 100 in 5 s.
const ALLOWED: usize = 680;

/// Guards against hosts that admit more than the rate together, whichever host the demand is at.
#[tokio::test(start_paused = true)]
async fn admit_over_rate() {
    for per_s in [[100.0; 4], [400.0, 0.0, 0.0, 0.0], [1000.0, 10.0, 200.0, 0.0]] {
        let busiest = busiest_window(4, &per_s, |_| false).await;
        assert!(busiest <= ALLOWED, "{per_s:?}: {busiest}");
        assert!(busiest >= 450, "{per_s:?}: {busiest}");
    }
}

/// Guards against a partition in which each side takes the whole rate.
#[tokio::test(start_paused = true)]
async fn admit_partitioned() {
    let busiest = busiest_window(4, &[300.0; 4], |ms| ms > 8000).await;
    assert!(busiest <= ALLOWED, "{busiest}");
}

/// Guards against requests that are refused although the tenant is within its rate.
#[tokio::test(start_paused = true)]
async fn admit_within_rate() {
    let start = Instant::now();
    let mut members = hosts(2);
    let mut allowances = Allowances::new(SETTINGS);
    allowances.install(&manifest(1), &members[0], start);
    let address = member(&name(1), "a1", port(1)).peer_address;
    for step in 0..1000u64 {
        advance(Duration::from_millis(20)).await;
        let now = Instant::now();
        if step % 10 == 0 {
            let mut beat = beat(&name(1), step + 1);
            beat.demand = vec![DemandEntry { tenant: name_hash("one"), per_s: 12.0 }];
            members[0].receive(beat, address, now);
            allowances.divide(&members[0], now);
        }
        assert!(allowances.admit("one", now).is_ok(), "refused after {step} requests");
    }
}

/// Guards against a limit on tenants without one.
#[tokio::test(start_paused = true)]
async fn admit_unlimited() {
    let now = Instant::now();
    let members = Members::default();
    let mut allowances = Allowances::new(SETTINGS);
    allowances.install(&manifest(1), &members, now);
    assert!((0..10_000).all(|_| allowances.admit("two", now).is_ok()));
}
