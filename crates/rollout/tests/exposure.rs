//! Bad versions of every kind in a simulated fleet of 8 hosts with 132 requests/s.
//!
//! Bounds on exposure follow from the requirement `bad_version` as design section 3.5 reads it: a
//! version that is bad at 1% hurts at most 8 requests per host, and one that turns bad later hurts
//! callers for at most 5 s.

mod sim;

use kingcupford_rollout::{FaultKind, Reason, State};
use sim::{Fault, Policy, Report, Setting, run};

/// Requests that a version may hurt that is bad from the first one on, 8 per host.
const MAX_HURT_AT_ONCE: u64 = 64;

/// Time during which a version that turns bad later may hurt callers.
const MAX_HURT_MS: u64 = 5_000;

/// Runs ten seeds and asserts that all are rolled back for `fault` in time.
fn assert_stopped(name: &str, fault: Fault, kind: FaultKind) -> Vec<Report> {
    let reports: Vec<Report> =
        (0..10).map(|seed| run(&Setting { fault, ..Setting::new(seed) })).collect();
    let mut hurt: Vec<u64> = reports.iter().map(|it| it.hurt).collect();
    hurt.sort_unstable();
    let longest_ms =
        reports.iter().filter_map(|it| it.hurt_ms).map(|it| it.1 - it.0).max().unwrap_or(0);
    println!(
        "{name}: hurt requests median {} largest {}, hurt for at most {longest_ms} ms",
        hurt[5], hurt[9]
    );
    for (seed, it) in reports.iter().enumerate() {
        assert_eq!(it.state, State::RolledBack, "{name}, seed {seed}: {it:?}");
        assert!(
            matches!(&it.reason, Some(Reason::Faulty { fault, .. }) if *fault == kind),
            "{name}, seed {seed}: {it:?}"
        );
        assert!(it.ended_ms <= 180_000, "{name}, seed {seed}: {it:?}");
    }
    reports
}

/// Asserts the bound for versions that are bad from the first request on.
fn assert_few_hurt(reports: &[Report]) {
    for (seed, it) in reports.iter().enumerate() {
        assert!(it.hurt <= MAX_HURT_AT_ONCE, "seed {seed}: {it:?}");
    }
}

/// Asserts the bound for versions that turn bad later.
fn assert_short_hurt(reports: &[Report]) {
    for (seed, it) in reports.iter().enumerate() {
        let (first_ms, last_ms) = it.hurt_ms.expect("the fault shows");
        assert!(last_ms - first_ms <= MAX_HURT_MS, "seed {seed}: {it:?}");
    }
}

/// Guards against a version that fails every request and yet gets more than a handful.
#[test]
fn exposure_fails_at_once() {
    let fault = Fault::Fails { from_ms: 0, fraction: 1.0 };
    assert_few_hurt(&assert_stopped("fails at once", fault, FaultKind::Failures));
}

/// Guards against a version that fails one request in five and advances.
#[test]
fn exposure_fails_in_part() {
    let fault = Fault::Fails { from_ms: 0, fraction: 0.2 };
    assert_few_hurt(&assert_stopped("fails in part", fault, FaultKind::Failures));
}

/// Guards against healthy stages that outweigh a fault that comes at 25% or 50%.
#[test]
fn exposure_fails_later() {
    for from_ms in [20_000, 40_000] {
        let fault = Fault::Fails { from_ms, fraction: 1.0 };
        assert_short_hurt(&assert_stopped("fails later", fault, FaultKind::Failures));
    }
}

/// Guards against a fault in the watch time, when the old version gets no requests to compare.
#[test]
fn exposure_fails_at_full_share() {
    let fault = Fault::Fails { from_ms: 90_000, fraction: 1.0 };
    assert_short_hurt(&assert_stopped("fails at 100%", fault, FaultKind::Failures));
}

/// Guards against a version that only answers slowly.
#[test]
fn exposure_slow_at_once() {
    let fault = Fault::Slow { from_ms: 0, factor: 5.0 };
    assert_few_hurt(&assert_stopped("slow at once", fault, FaultKind::Slow));
}

/// Guards against a version that becomes slow at 25% or 50%.
#[test]
fn exposure_slow_later() {
    for from_ms in [20_000, 40_000] {
        let fault = Fault::Slow { from_ms, factor: 5.0 };
        assert_short_hurt(&assert_stopped("slow later", fault, FaultKind::Slow));
    }
}

/// Guards against a version that becomes slow in the watch time.
#[test]
fn exposure_slow_at_full_share() {
    let fault = Fault::Slow { from_ms: 90_000, factor: 5.0 };
    assert_short_hurt(&assert_stopped("slow at 100%", fault, FaultKind::Slow));
}

/// Guards against a version that only fails once it has half of the traffic.
#[test]
fn exposure_under_load() {
    let fault = Fault::UnderLoad { from_percent: 50 };
    assert_short_hurt(&assert_stopped("under load", fault, FaultKind::Failures));
}

/// Guards against an average over routes that hides a fault on one of them.
#[test]
fn exposure_one_route() {
    for route in 0..3 {
        let fault = Fault::OneRoute { route, fraction: 1.0 };
        let reports = assert_stopped("one route", fault, FaultKind::Failures);
        assert_few_hurt(&reports);
        let named = Some(sim::ROUTES[route]);
        for it in &reports {
            let Some(Reason::Faulty { route, .. }) = &it.reason else { panic!("{it:?}") };
            assert_eq!(Some(route.as_str()), named);
        }
    }
}

/// Guards against a version that only fails with all traffic, and recovers in each control sample.
#[test]
fn exposure_under_full_load() {
    let fault = Fault::UnderLoad { from_percent: 100 };
    let reports = assert_stopped("under full load", fault, FaultKind::UnderLoad);
    for (seed, it) in reports.iter().enumerate() {
        // As many requests as arrive in 5 s.
        assert!(it.hurt <= MAX_HURT_MS * 132 / 1_000, "seed {seed}: {it:?}");
    }
}

/// Guards against faults that a threshold of 5% over the whole service stops and the test does not,
/// and reports the exposure of both.
#[test]
fn exposure_compared_with_baseline() {
    let faults = [
        ("fails at once", Fault::Fails { from_ms: 0, fraction: 1.0 }),
        ("fails later", Fault::Fails { from_ms: 40_000, fraction: 0.3 }),
        ("slow at once", Fault::Slow { from_ms: 0, factor: 5.0 }),
        ("one route", Fault::OneRoute { route: 2, fraction: 0.5 }),
        ("fails a little", Fault::Fails { from_ms: 0, fraction: 0.04 }),
    ];
    for (name, fault) in faults {
        let total = |policy| {
            let runs = (0..5).map(|seed| run(&Setting { fault, policy, ..Setting::new(seed) }));
            runs.fold((0, 0), |sum, it| {
                (sum.0 + it.hurt, sum.1 + u32::from(it.state == State::RolledBack))
            })
        };
        let ours = total(Policy::Sequential);
        let whole = total(Policy::FixedThreshold);
        let new_only = total(Policy::FixedThresholdNew);
        println!(
            "{name}: (hurt, stopped of 5) {ours:?}, baseline {whole:?}, \
             baseline over the new version only {new_only:?}"
        );
        assert_eq!(ours.1, 5, "{name}");
    }
}
