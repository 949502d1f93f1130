//! Rate limits of teams over several hosts.

use std::time::Duration;

use kingcupford_steer::{
    HeartbeatScope, Manifest, Members, RateLimitSettings, Team, TeamDemand, TeamRateLimiter,
    name_hash,
};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

use crate::common::{
    heartbeat, limits, manifest, member, route, service, steering, team, zone_map,
};

/// Settings of the deployments.
const SETTINGS: RateLimitSettings =
    RateLimitSettings { window_s: 5.0, overage_fraction: 0.1, slack_requests: 20.0 };

const STEP_MS: u64 = 10;

const HEARTBEAT_INTERVAL_MS: u64 = 200;

/// Time that a heartbeat takes between two hosts.
const DELAY_MS: u64 = 40;

/// Hosts that all know each other, with the load and the faults that they get.
struct Fleet {
    hosts: usize,
    duration_ms: u64,
    /// Requests per second at a host at a time.
    per_s: Box<dyn Fn(usize, u64) -> f64>,
    /// Side of a partition on which a host is at a time; heartbeats reach hosts of the same side.
    side: Box<dyn Fn(usize, u64) -> usize>,
    /// Whether a host's process is replaced at a time.
    restarts: Box<dyn Fn(usize, u64) -> bool>,
    /// Changes of the team's rate and burst, with their times in milliseconds.
    limits: Vec<(u64, f64)>,
}

impl Fleet {
    fn new(per_s: &[f64]) -> Self {
        let rates = per_s.to_vec();
        Self {
            hosts: per_s.len(),
            duration_ms: 20_000,
            per_s: Box::new(move |host, _| rates[host]),
            side: Box::new(|_, _| 0),
            restarts: Box::new(|_, _| false),
            limits: Vec::new(),
        }
    }

    fn with_load(self, per_s: impl Fn(usize, u64) -> f64 + 'static) -> Self {
        Self { per_s: Box::new(per_s), ..self }
    }

    fn with_partition(self, side: impl Fn(usize, u64) -> usize + 'static) -> Self {
        Self { side: Box::new(side), ..self }
    }

    fn with_restarts(self, restarts: impl Fn(usize, u64) -> bool + 'static) -> Self {
        Self { restarts: Box::new(restarts), ..self }
    }

    fn with_limits(self, limits: Vec<(u64, f64)>) -> Self {
        Self { limits, ..self }
    }

    /// Times at which requests were admitted, in milliseconds.
    fn admitted(&self) -> Vec<u64> {
        let start = Instant::now();
        let now_at = |ms: u64| start + Duration::from_millis(ms);
        let mut members: Vec<Members> =
            (0..self.hosts).map(|it| self.members_of(it, start)).collect();
        let mut limiters = Vec::new();
        for members in &members {
            let mut limiter = TeamRateLimiter::new(SETTINGS);
            limiter.apply_manifest(&manifest(1), members, start);
            limiters.push(limiter);
        }
        let mut active = manifest(1);
        let mut pending = vec![0.0; self.hosts];
        let mut incarnations = vec![1u64; self.hosts];
        let mut in_transit: Vec<(u64, usize, usize, kingcupford_steer::Heartbeat)> = Vec::new();
        let mut res: Vec<u64> = Vec::new();
        for ms in (0..self.duration_ms).step_by(STEP_MS as usize) {
            let now = now_at(ms);
            if let Some((_, rate_per_s)) = self.limits.iter().find(|it| it.0 == ms) {
                active = limited_manifest(active.version() + 1, *rate_per_s);
                for (limiter, members) in limiters.iter_mut().zip(&members) {
                    limiter.apply_manifest(&active, members, now);
                }
            }
            for host in (0..self.hosts).filter(|it| (self.restarts)(*it, ms)) {
                incarnations[host] += 1;
                members[host] = self.members_of(host, now);
                limiters[host] = TeamRateLimiter::new(SETTINGS);
                limiters[host].apply_manifest(&active, &members[host], now);
            }
            if ms % HEARTBEAT_INTERVAL_MS == 0 {
                for from in 0..self.hosts {
                    let acknowledged = members[from].acknowledged_by_all(incarnations[from], now);
                    let mut beat = heartbeat(&name(from), ms + 1);
                    beat.incarnation = incarnations[from];
                    beat.team_demand = limiters[from].claim_demand(acknowledged, ms + 1, now);
                    let scope = HeartbeatScope { local: true, remote: true };
                    for (address, ack) in members[from].begin_heartbeat(ms + 1, scope, now) {
                        beat.ack = ack;
                        let to = usize::from((address.port() - port(0)) / 10);
                        if (self.side)(from, ms) == (self.side)(to, ms) {
                            in_transit.push((ms + DELAY_MS, from, to, beat.clone()));
                        }
                    }
                }
            }
            in_transit.retain(|(at, from, to, beat)| {
                if *at > ms {
                    return true;
                }
                let address = member(&name(*from), "a1", port(*from)).peer_address;
                members[*to].receive(beat.clone(), address, now);
                false
            });
            for host in 0..self.hosts {
                if ms % 100 == 0 {
                    limiters[host].update_shares(&members[host], now);
                }
                pending[host] += (self.per_s)(host, ms) * STEP_MS as f64 / 1000.0;
                while pending[host] >= 1.0 {
                    pending[host] -= 1.0;
                    if limiters[host].admit("one", now).is_ok() {
                        res.push(ms);
                    }
                }
            }
        }
        res
    }

    fn busiest_window(&self) -> usize {
        busiest_window(&self.admitted())
    }

    /// Membership of a process that has just started.
    fn members_of(&self, host: usize, now: Instant) -> Members {
        let own = zone_map().own_locality();
        let mut res = Members::default();
        for other in (0..self.hosts).filter(|it| *it != host) {
            res.register(member(&name(other), "a1", port(other)), own, now);
        }
        res
    }
}

/// Largest number of times in a window of 5 s; the times are sorted.
fn busiest_window(times: &[u64]) -> usize {
    let in_window = |from: usize| times[from..].partition_point(|it| *it < times[from] + 5000);
    (0..times.len()).map(in_window).max().unwrap_or(0)
}

/// Manifest whose team `one` has a rate and a burst of `rate_per_s`.
fn limited_manifest(version: u64, rate_per_s: f64) -> Manifest {
    let teams: Vec<Team> = vec![team("one", rate_per_s), team("two", 0.0)];
    Manifest::new(version, vec![route()], vec![service("svc")], teams, limits()).unwrap()
}

fn name(at: usize) -> String {
    format!("host-{at}")
}

fn port(at: usize) -> u16 {
    3000 + at as u16 * 10
}

/// Requests that the deployments allow within 5 s for a team with a rate of 100 per second and a
/// burst of 100.
const MAX_ADMITTED_PER_WINDOW: usize = 680;

/// Guards against hosts that together admit more than the rate, whichever hosts the demand is at.
#[test]
fn admit_over_rate() {
    for per_s in [[100.0; 4], [400.0, 0.0, 0.0, 0.0], [1000.0, 10.0, 200.0, 0.0]] {
        let busiest = Fleet::new(&per_s).busiest_window();
        assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{per_s:?}: {busiest}");
        assert!(busiest >= 450, "{per_s:?}: {busiest}");
    }
}

/// Guards against a partition in which each side uses the whole rate.
#[test]
fn admit_partitioned() {
    let isolated = |host: usize, ms: u64| if ms > 8000 { host } else { 0 };
    let busiest = Fleet::new(&[300.0; 4]).with_partition(isolated).busiest_window();
    assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{busiest}");
}

/// Guards against two sides of a partition that each divide the rate by the demand that they see,
/// while the team begins to ask for many times its rate.
#[test]
fn admit_over_rate_in_partition() {
    for first_side in [1, 2, 4] {
        let hot = |_: usize, ms: u64| if ms < 8500 { 10.0 } else { 100.0 };
        let cut = move |host: usize, ms: u64| {
            usize::from((8000..17_000).contains(&ms) && host < first_side)
        };
        let busiest = Fleet::new(&[0.0; 8]).with_load(hot).with_partition(cut).busiest_window();
        assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{first_side} hosts cut off: {busiest}");
    }
}

/// Guards against a partition in which the demand moves to one side, which then uses its own part
/// and what the other side has spent.
#[test]
fn admit_moved_demand_in_partition() {
    let moving = |host: usize, ms: u64| match (host < 4, ms < 8100) {
        (true, true) | (false, false) => 100.0,
        _ => 1.0,
    };
    let cut = |host: usize, ms: u64| usize::from(ms >= 8000 && host < 4);
    let busiest = Fleet::new(&[0.0; 8]).with_load(moving).with_partition(cut).busiest_window();
    assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{busiest}");
}

/// Guards against requests of an ended process that count no more once the host has deregistered.
#[test]
fn team_admitted_after_deregistration() {
    let now = Instant::now();
    let own = zone_map().own_locality();
    let peer = member(&name(1), "a1", port(1));
    let mut members = Members::default();
    members.register(peer.clone(), own, now);
    let mut beat = heartbeat(&name(1), 1);
    beat.team_demand = vec![TeamDemand {
        team_hash: name_hash("one"),
        requests_per_16_s: 160,
        claimed_per_16_s: 160,
        admitted: 40,
    }];
    members.receive(beat, peer.peer_address, now);
    members.deregister(&name(1), now + Duration::from_secs(1));
    members.register(peer, own, now + Duration::from_secs(2));
    let window = Duration::from_secs(5);
    let admitted = |after_s| {
        let at = now + Duration::from_secs(after_s);
        members.team_admitted(name_hash("one"), window, at)
    };
    assert_eq!(admitted(3), 40);
    assert_eq!(admitted(6), 0);
}

/// Guards against a host that is cut off for good and keeps the others from new claims.
#[test]
fn claims_after_lost_host() {
    let start = Instant::now();
    let mut steering = steering(start);
    let peer = member("peer", "a1", 1100);
    let own = zone_map().own_locality();
    steering.members.register(peer, own, start);
    let incarnation = steering.settings().incarnation;
    let acknowledged = |after_s| {
        steering.members.acknowledged_by_all(incarnation, start + Duration::from_secs(after_s))
    };
    assert_eq!(acknowledged(5), None);
    assert_eq!(acknowledged(11), Some(u64::MAX));
}

/// Guards against refusals although the team stays within its rate.
#[tokio::test(start_paused = true)]
async fn admit_within_rate() {
    let start = Instant::now();
    let mut members = Fleet::new(&[0.0; 2]).members_of(0, start);
    let mut rate_limiter = TeamRateLimiter::new(SETTINGS);
    rate_limiter.apply_manifest(&manifest(1), &members, start);
    let address = member(&name(1), "a1", port(1)).peer_address;
    for step in 0..1000u64 {
        advance(Duration::from_millis(20)).await;
        let now = Instant::now();
        if step % 10 == 0 {
            let mut heartbeat = heartbeat(&name(1), step + 1);
            heartbeat.team_demand = vec![TeamDemand {
                team_hash: name_hash("one"),
                requests_per_16_s: 192,
                claimed_per_16_s: 192,
                admitted: 60,
            }];
            members.receive(heartbeat, address, now);
            rate_limiter.claim_demand(Some(step), step + 1, now);
            rate_limiter.update_shares(&members, now);
        }
        assert!(rate_limiter.admit("one", now).is_ok(), "refused after {step} requests");
    }
}

/// Guards against a limit on teams that have none.
#[tokio::test(start_paused = true)]
async fn admit_unlimited() {
    let now = Instant::now();
    let members = Members::default();
    let mut rate_limiter = TeamRateLimiter::new(SETTINGS);
    rate_limiter.apply_manifest(&manifest(1), &members, now);
    assert!((0..10_000).all(|_| rate_limiter.admit("two", now).is_ok()));
}

/// Guards against refusals of a small team whose few requests arrive unevenly at many hosts.
#[test]
fn admit_small_team_at_many_hosts() {
    // Every host gets two requests within 200 ms every 1.6 s, which together is half of the rate.
    let bursts = |host: usize, ms: u64| {
        if (ms + host as u64 * 370) % 1600 < 200 { 10.0 } else { 0.0 }
    };
    let admitted = Fleet::new(&[0.0; 40]).with_load(bursts).admitted();
    let late = admitted.iter().filter(|it| **it >= 8000).count();
    assert!(late >= 588, "{late} of 600 requests in the last 12 s");
}

/// Guards against refusals although every window of the team stays within its rate and burst.
#[test]
fn admit_burst_of_each_window() {
    let admitted = Fleet::new(&[50.0, 30.0, 25.0, 10.0]).admitted();
    let late = admitted.iter().filter(|it| **it >= 10_000).count();
    assert!(late >= 1120, "{late} of 1150 requests in the last 10 s");
}

/// Guards against hosts that grant the rate a second time because they lost their counts in a
/// restart.
#[test]
fn admit_after_restart() {
    for restarted_hosts in [1, 3, 4] {
        let restarts = move |host: usize, ms: u64| ms == 9000 && host < restarted_hosts;
        let busiest = Fleet::new(&[300.0; 4]).with_restarts(restarts).busiest_window();
        assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{restarted_hosts} hosts: {busiest}");
    }
}

/// Load of one host: a rate and, from a time on, another one.
#[derive(Debug, Clone, Copy)]
struct HostLoad {
    before_per_s: f64,
    after_per_s: f64,
    changes_at_ms: u64,
}

fn host_load() -> impl Strategy<Value = HostLoad> {
    let rate = || prop_oneof![Just(0.0), 1.0..30.0f64, 50.0..400.0f64];
    (rate(), rate(), 0..18_000u64).prop_map(|(before_per_s, after_per_s, changes_at_ms)| HostLoad {
        before_per_s,
        after_per_s,
        changes_at_ms,
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against any mix of load, partition and restart in which the hosts of all sides
    /// together admit more than the deployments allow.
    #[test]
    fn admit_within_limit_under_faults(
        loads in proptest::collection::vec(host_load(), 2..9),
        cut_hosts in 1..8usize,
        cut_from_ms in 6_000..14_000u64,
        cut_for_ms in 0..9_000u64,
        restarts in proptest::collection::vec((0..8usize, 5_000..19_000u64), 0..2),
        lowered_at in proptest::option::of(500..1_900u64),
    ) {
        let hosts = loads.len();
        let load = move |host: usize, ms: u64| {
            let it: HostLoad = loads[host];
            if ms < it.changes_at_ms { it.before_per_s } else { it.after_per_s }
        };
        let cut = move |host: usize, ms: u64| {
            usize::from((cut_from_ms..cut_from_ms + cut_for_ms).contains(&ms) && host < cut_hosts)
        };
        let restarts = move |host: usize, ms: u64| {
            restarts.iter().any(|it| it.0 == host && it.1 / STEP_MS == ms / STEP_MS)
        };
        let limits = lowered_at.map(|it| vec![(it * STEP_MS, 50.0)]).unwrap_or_default();
        let busiest = Fleet::new(&vec![0.0; hosts])
            .with_load(load)
            .with_partition(cut)
            .with_restarts(restarts)
            .with_limits(limits)
            .busiest_window();
        prop_assert!(busiest <= MAX_ADMITTED_PER_WINDOW, "{busiest} admitted");
    }
}
