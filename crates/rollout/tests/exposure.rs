//! Faulty versions of every kind in a simulated fleet of 8 hosts with 132 requests/s.
//!
//! The bounds on exposure follow from the requirement `bad_version` and section 3.5 of the design:
//! a version that is faulty at 1% affects at most 8 requests per host, and a version that becomes
//! faulty later affects callers for at most 5 s.

mod sim;

use kingcupford_rollout::{FaultKind, Reason, State};
use sim::{Fault, Policy, Report, SimConfig, run};

/// Largest number of requests affected by a version that is faulty from the start, 8 per host.
const MAX_AFFECTED_REQUESTS: u64 = 64;

/// Longest time during which a version that becomes faulty later affects callers.
const MAX_AFFECTED_MS: u64 = 5_000;

/// Runs ten seeds and asserts that all rollouts are rolled back for the expected fault by the
/// deadline.
fn assert_stopped(name: &str, fault: Fault, kind: FaultKind) -> Vec<Report> {
    let reports: Vec<Report> =
        (0..10).map(|seed| run(&SimConfig { fault, ..SimConfig::new(seed) })).collect();
    let mut affected: Vec<u64> = reports.iter().map(|it| it.affected_requests).collect();
    affected.sort_unstable();
    let longest_ms =
        reports.iter().filter_map(|it| it.affected_ms).map(|it| it.1 - it.0).max().unwrap_or(0);
    println!(
        "{name}: affected requests median {} largest {}, for at most {longest_ms} ms",
        affected[5], affected[9]
    );
    for (seed, report) in reports.iter().enumerate() {
        assert_eq!(report.state, State::RolledBack, "{name}, seed {seed}: {report:?}");
        assert!(
            matches!(&report.reason, Some(Reason::Faulty { fault, .. }) if *fault == kind),
            "{name}, seed {seed}: {report:?}"
        );
        assert!(report.ended_ms <= 180_000, "{name}, seed {seed}: {report:?}");
    }
    reports
}

/// Asserts the bound for versions that are faulty from the first request on.
fn assert_few_affected(reports: &[Report]) {
    for (seed, report) in reports.iter().enumerate() {
        assert!(report.affected_requests <= MAX_AFFECTED_REQUESTS, "seed {seed}: {report:?}");
    }
}

/// Asserts the bound for versions that become faulty later.
fn assert_briefly_affected(reports: &[Report]) {
    for (seed, report) in reports.iter().enumerate() {
        let (first_ms, last_ms) = report.affected_ms.expect("requests were affected");
        assert!(last_ms - first_ms <= MAX_AFFECTED_MS, "seed {seed}: {report:?}");
    }
}

/// Guards against a version that fails every request and still gets more than a few of them.
#[test]
fn exposure_fails_at_once() {
    let fault = Fault::Fails { from_ms: 0, fraction: 1.0 };
    assert_few_affected(&assert_stopped("fails at once", fault, FaultKind::Failures));
}

/// Guards against a version that fails one request in five and advances.
#[test]
fn exposure_fails_one_in_five() {
    let fault = Fault::Fails { from_ms: 0, fraction: 0.2 };
    assert_few_affected(&assert_stopped("fails one in five", fault, FaultKind::Failures));
}

/// Guards against healthy stages that outweigh a fault which begins at 25% or 50%.
#[test]
fn exposure_fails_later() {
    for from_ms in [20_000, 40_000] {
        let fault = Fault::Fails { from_ms, fraction: 1.0 };
        assert_briefly_affected(&assert_stopped("fails later", fault, FaultKind::Failures));
    }
}

/// Guards against an undetected fault in the watch time, when the old version gets no requests to
/// compare with.
#[test]
fn exposure_fails_at_full_share() {
    let fault = Fault::Fails { from_ms: 90_000, fraction: 1.0 };
    assert_briefly_affected(&assert_stopped("fails at 100%", fault, FaultKind::Failures));
}

/// Guards against an undetected version that only answers slowly.
#[test]
fn exposure_slow_at_once() {
    let fault = Fault::Slow { from_ms: 0, factor: 5.0 };
    assert_few_affected(&assert_stopped("slow at once", fault, FaultKind::Slow));
}

/// Guards against an undetected version that becomes slow at 25% or 50%.
#[test]
fn exposure_slow_later() {
    for from_ms in [20_000, 40_000] {
        let fault = Fault::Slow { from_ms, factor: 5.0 };
        assert_briefly_affected(&assert_stopped("slow later", fault, FaultKind::Slow));
    }
}

/// Guards against an undetected version that becomes slow in the watch time.
#[test]
fn exposure_slow_at_full_share() {
    let fault = Fault::Slow { from_ms: 90_000, factor: 5.0 };
    assert_briefly_affected(&assert_stopped("slow at 100%", fault, FaultKind::Slow));
}

/// Guards against an undetected version that only fails once it has half of the traffic.
#[test]
fn exposure_under_load() {
    let fault = Fault::UnderLoad { from_percent: 50 };
    assert_briefly_affected(&assert_stopped("under load", fault, FaultKind::Failures));
}

/// Guards against an average over all routes that hides a fault on one of them.
#[test]
fn exposure_one_route() {
    for route in 0..3 {
        let fault = Fault::OneRoute { route, fraction: 1.0 };
        let reports = assert_stopped("one route", fault, FaultKind::Failures);
        assert_few_affected(&reports);
        let expected_route = Some(sim::ROUTES[route]);
        for report in &reports {
            let Some(Reason::Faulty { route, .. }) = &report.reason else { panic!("{report:?}") };
            assert_eq!(Some(route.as_str()), expected_route);
        }
    }
}

/// Guards against an undetected version that only fails with all traffic and recovers in each
/// control sample.
#[test]
fn exposure_under_full_load() {
    let fault = Fault::UnderLoad { from_percent: 100 };
    let reports = assert_stopped("under full load", fault, FaultKind::UnderLoad);
    for (seed, report) in reports.iter().enumerate() {
        // Number of requests that arrive in 5 s.
        assert!(
            report.affected_requests <= MAX_AFFECTED_MS * 132 / 1_000,
            "seed {seed}: {report:?}"
        );
    }
}

/// Guards against faults that are stopped by a threshold of 5% over the whole service but not by
/// the sequential test. Prints the exposure under both.
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
            let runs = (0..5).map(|seed| run(&SimConfig { fault, policy, ..SimConfig::new(seed) }));
            runs.fold((0, 0), |sum, it| {
                (sum.0 + it.affected_requests, sum.1 + u32::from(it.state == State::RolledBack))
            })
        };
        let sequential = total(Policy::Sequential);
        let fixed = total(Policy::FixedThreshold);
        let fixed_new_only = total(Policy::FixedThresholdNewOnly);
        println!(
            "{name}: (affected, stopped of 5) {sequential:?}, baseline {fixed:?}, \
             baseline over the new version only {fixed_new_only:?}"
        );
        assert_eq!(sequential.1, 5, "{name}");
    }
}
