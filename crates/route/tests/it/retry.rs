//! Tests of the retry rule and the retry budget.

use std::time::Duration;

use kingcupford_route::{
    AttemptOutcome, DEFAULT_MAX_ATTEMPTS, Outcome, RetryBudget, RetryContext, RetryDecision,
    RetryPolicy,
};
use tokio::time::Instant;

/// Every combination of facts.
fn all_facts() -> Vec<RetryContext> {
    let outcomes = [
        AttemptOutcome::Answered { failed: false },
        AttemptOutcome::Answered { failed: true },
        AttemptOutcome::Shed,
        AttemptOutcome::Unreachable,
        AttemptOutcome::Broken { response_started: false },
        AttemptOutcome::Broken { response_started: true },
        AttemptOutcome::TimedOut,
        AttemptOutcome::Cancelled,
    ];
    let mut res = Vec::new();
    for outcome in outcomes {
        for bits in 0..16 {
            for attempts in 1..=4 {
                for remaining_ms in [0, 1000] {
                    res.push(RetryContext {
                        outcome,
                        idempotent: bits & 1 != 0,
                        byte_sent: bits & 2 != 0,
                        earlier_may_have_run: bits & 4 != 0,
                        attempts,
                        max_attempts: DEFAULT_MAX_ATTEMPTS,
                        budget_left: bits & 8 != 0,
                        remaining: Duration::from_millis(remaining_ms),
                    });
                }
            }
        }
    }
    res
}

// Guards against a refusal that says `not-run` although an upstream may have run the request.
#[test]
fn decide_not_run_only_when_certain() {
    for facts in all_facts() {
        let certain = !facts.earlier_may_have_run
            && match facts.outcome {
                AttemptOutcome::Shed | AttemptOutcome::Unreachable => true,
                AttemptOutcome::Answered { .. } => false,
                AttemptOutcome::Broken { response_started } => {
                    !response_started && !facts.byte_sent
                }
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => !facts.byte_sent,
            };
        match RetryPolicy::decide(&facts) {
            RetryDecision::Fail(outcome) => {
                assert_eq!(outcome == Outcome::NotRun, certain, "{facts:?}");
                assert_ne!(outcome, Outcome::Executed, "{facts:?}");
            }
            RetryDecision::Done => assert!(!certain, "{facts:?}"),
            RetryDecision::Retry => assert!(certain || facts.idempotent, "{facts:?}"),
        }
    }
}

// Guards against retries past the deadline or the budget, against those of a request that must not
// be repeated, and against a poison request that gets a third instance.
#[test]
fn decide_bounds_retries() {
    let mut retries = 0;
    for facts in all_facts() {
        if RetryPolicy::decide(&facts) != RetryDecision::Retry {
            continue;
        }
        retries += 1;
        let broken = facts.may_have_run();
        assert!(facts.budget_left && !facts.remaining.is_zero(), "{facts:?}");
        assert!(facts.idempotent || !broken, "{facts:?}");
        assert!(!broken || facts.attempts == 1, "{facts:?}");
        assert!(!facts.earlier_may_have_run && facts.attempts < 3, "{facts:?}");
        assert_ne!(facts.outcome, AttemptOutcome::Cancelled);
    }
    // Shed and refused: 4 of 16 flags without an earlier run and with budget, at attempts 1 and 2.
    // Broken and timed out: 3 of 4 pairs of idempotence and sent bytes, at attempt 1 only.
    assert_eq!(retries, 2 * 4 * 2 + 2 * 3);
}

// Guards against retry storms: retries stay at 10% of the last 10 s and at least 3.
#[test]
fn budget_follows_requests() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut budget = RetryBudget::new(start);
    let taken =
        |budget: &mut RetryBudget, ms| (0..1000).filter(|_| budget.try_take(at(ms))).count();
    assert_eq!(taken(&mut budget, 0), 3);
    for ms in 0..1000 {
        budget.record_request(at(ms));
    }
    assert_eq!(taken(&mut budget, 1000), 97);
    assert_eq!(taken(&mut budget, 9_900), 0);
    // The requests of second 0 and the 3 retries left the window, the 97 retries did not.
    assert_eq!(taken(&mut budget, 10_000), 0);
    assert_eq!(taken(&mut budget, 11_000), 3);
    assert_eq!(taken(&mut budget, 10_000_000), 3);
}
