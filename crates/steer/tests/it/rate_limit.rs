//! Rate limits of tenants over several hosts.

use std::time::Duration;

use kingcupford_steer::{Members, RateLimitSettings, TenantDemand, TenantRateLimiter, name_hash};
use tokio::time::{Instant, advance};

use crate::common::{heartbeat, manifest, member, zone_map};

/// Settings of the deployments.
const SETTINGS: RateLimitSettings =
    RateLimitSettings { window_s: 5.0, overage_fraction: 0.1, slack_requests: 20.0 };

/// Membership of each of several hosts that all know each other.
fn fully_connected_members(count: usize) -> Vec<Members> {
    let own = zone_map().own_locality();
    (0..count)
        .map(|at| {
            let mut members = Members::default();
            for other in (0..count).filter(|other| *other != at) {
                members.register(member(&name(other), "a1", port(other)), own, Instant::now());
            }
            members
        })
        .collect()
}

fn name(at: usize) -> String {
    format!("host-{at}")
}

fn port(at: usize) -> u16 {
    3000 + at as u16 * 10
}

/// Requests admitted in the busiest window of 5 s while each host receives `per_s` requests. Hosts
/// exchange heartbeats every 200 ms unless `partitioned` is true at that time.
async fn busiest_window(count: usize, per_s: &[f64], partitioned: impl Fn(u64) -> bool) -> usize {
    let admitted = admitted(count, per_s, partitioned, |_| 0).await;
    let in_window =
        |from: &u64| admitted.iter().filter(|it| (*from..from + 5000).contains(it)).count();
    admitted.iter().map(in_window).max().unwrap_or(0)
}

/// Times at which requests were admitted, in milliseconds. `restarted_hosts` is the number of
/// hosts, counted from the first, that restart at a time.
async fn admitted(
    count: usize,
    per_s: &[f64],
    partitioned: impl Fn(u64) -> bool,
    restarted_hosts: impl Fn(u64) -> usize,
) -> Vec<u64> {
    let start = Instant::now();
    let mut members = fully_connected_members(count);
    let mut rate_limiters: Vec<TenantRateLimiter> =
        (0..count).map(|_| TenantRateLimiter::new(SETTINGS)).collect();
    for at in 0..count {
        rate_limiters[at].apply_manifest(&manifest(1), &members[at], start);
    }
    let mut pending = vec![0.0; count];
    let mut incarnations = vec![1; count];
    let mut admitted: Vec<u64> = Vec::new();
    for ms in (0..20_000u64).step_by(10) {
        advance(Duration::from_millis(10)).await;
        let now = Instant::now();
        for at in 0..restarted_hosts(ms) {
            incarnations[at] += 1;
            rate_limiters[at] = TenantRateLimiter::new(SETTINGS);
            members[at] = fully_connected_members(count).swap_remove(at);
            rate_limiters[at].apply_manifest(&manifest(1), &members[at], now);
        }
        if ms % 200 == 0 && !partitioned(ms) {
            for (from, limiter) in rate_limiters.iter_mut().enumerate() {
                let mut heartbeat = heartbeat(&name(from), ms + 1);
                heartbeat.incarnation = incarnations[from];
                heartbeat.tenant_demand = limiter.demand(now);
                for to in (0..count).filter(|to| *to != from) {
                    let address = member(&name(from), "a1", port(from)).peer_address;
                    members[to].receive(heartbeat.clone(), address, now);
                }
            }
        }
        for at in 0..count {
            if ms % 100 == 0 {
                rate_limiters[at].update_shares(&members[at], now);
            }
            pending[at] += per_s[at] / 100.0;
            while pending[at] >= 1.0 {
                pending[at] -= 1.0;
                if rate_limiters[at].admit("one", now).is_ok() {
                    admitted.push(ms);
                }
            }
        }
    }
    admitted
}

/// Requests that the deployments allow within 5 s for a tenant with a rate of 100 per second and a
/// burst of 100.
const MAX_ADMITTED_PER_WINDOW: usize = 680;

/// Guards against hosts that together admit more than the rate, whichever hosts the demand is at.
#[tokio::test(start_paused = true)]
async fn admit_over_rate() {
    for per_s in [[100.0; 4], [400.0, 0.0, 0.0, 0.0], [1000.0, 10.0, 200.0, 0.0]] {
        let busiest = busiest_window(4, &per_s, |_| false).await;
        assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{per_s:?}: {busiest}");
        assert!(busiest >= 450, "{per_s:?}: {busiest}");
    }
}

/// Guards against a partition in which each side uses the whole rate.
#[tokio::test(start_paused = true)]
async fn admit_partitioned() {
    let busiest = busiest_window(4, &[300.0; 4], |ms| ms > 8000).await;
    assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{busiest}");
}

/// Guards against refusals although the tenant stays within its rate.
#[tokio::test(start_paused = true)]
async fn admit_within_rate() {
    let start = Instant::now();
    let mut members = fully_connected_members(2);
    let mut rate_limiter = TenantRateLimiter::new(SETTINGS);
    rate_limiter.apply_manifest(&manifest(1), &members[0], start);
    let address = member(&name(1), "a1", port(1)).peer_address;
    for step in 0..1000u64 {
        advance(Duration::from_millis(20)).await;
        let now = Instant::now();
        if step % 10 == 0 {
            let mut heartbeat = heartbeat(&name(1), step + 1);
            heartbeat.tenant_demand = vec![TenantDemand {
                tenant_hash: name_hash("one"),
                requests_per_s: 12.0,
                admitted: 60,
            }];
            members[0].receive(heartbeat, address, now);
            rate_limiter.update_shares(&members[0], now);
        }
        assert!(rate_limiter.admit("one", now).is_ok(), "refused after {step} requests");
    }
}

/// Guards against a limit on tenants that have none.
#[tokio::test(start_paused = true)]
async fn admit_unlimited() {
    let now = Instant::now();
    let members = Members::default();
    let mut rate_limiter = TenantRateLimiter::new(SETTINGS);
    rate_limiter.apply_manifest(&manifest(1), &members, now);
    assert!((0..10_000).all(|_| rate_limiter.admit("two", now).is_ok()));
}

/// Guards against refusals although every window of the tenant stays within its rate and burst.
#[tokio::test(start_paused = true)]
async fn admit_burst_of_each_window() {
    let per_s = [50.0, 30.0, 25.0, 10.0];
    let admitted = admitted(4, &per_s, |_| false, |_| 0).await;
    let late = admitted.iter().filter(|it| **it >= 10_000).count();
    assert!(late >= 1120, "{late} of 1150 requests in the last 10 s");
}

/// Guards against hosts that grant the rate a second time because they lost their counts in a
/// restart.
#[tokio::test(start_paused = true)]
async fn admit_after_restart() {
    for restarted_hosts in [1, 3, 4] {
        let at = |ms| if ms == 9000 { restarted_hosts } else { 0 };
        let admitted = admitted(4, &[300.0; 4], |_| false, at).await;
        let in_window =
            |from: &u64| admitted.iter().filter(|it| (*from..from + 5000).contains(it)).count();
        let busiest = admitted.iter().map(in_window).max().unwrap_or(0);
        assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{restarted_hosts} hosts: {busiest}");
    }
}
