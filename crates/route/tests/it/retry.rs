//! Tests of the retry policy and the retry budget.

use std::time::Duration;

use kingcupford_route::{
    AttemptOutcome, DEFAULT_MAX_ATTEMPTS, Outcome, RetryBudget, RetryContext, RetryDecision,
    RetryPolicy,
};
use tokio::time::Instant;

/// Returns every combination of outcome, flags, attempts and remaining time.
fn all_contexts() -> Vec<RetryContext> {
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
    let mut contexts = Vec::new();
    for outcome in outcomes {
        for bits in 0..16 {
            for attempts in 1..=4 {
                for remaining_ms in [0, 1000] {
                    contexts.push(RetryContext {
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
    contexts
}

// Guards against a refusal with `not-run` although an upstream may have run the request.
#[test]
fn decide_returns_not_run_only_when_certain() {
    for context in all_contexts() {
        let certainly_not_run = !context.earlier_may_have_run
            && match context.outcome {
                AttemptOutcome::Shed | AttemptOutcome::Unreachable => true,
                AttemptOutcome::Answered { .. } => false,
                AttemptOutcome::Broken { response_started } => {
                    !response_started && !context.byte_sent
                }
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => !context.byte_sent,
            };
        match RetryPolicy::decide(&context) {
            RetryDecision::Fail(outcome) => {
                assert_eq!(outcome == Outcome::NotRun, certainly_not_run, "{context:?}");
                assert_ne!(outcome, Outcome::Executed, "{context:?}");
            }
            RetryDecision::Done => assert!(!certainly_not_run, "{context:?}"),
            RetryDecision::Retry => assert!(certainly_not_run || context.idempotent, "{context:?}"),
        }
    }
}

// Guards against retries past the deadline or the budget, against repeating a non-idempotent
// request that may have run, and against sending a poison request to a third instance.
#[test]
fn decide_bounds_retries() {
    let mut retries = 0;
    for context in all_contexts() {
        if RetryPolicy::decide(&context) != RetryDecision::Retry {
            continue;
        }
        retries += 1;
        let may_have_run = context.may_have_run();
        assert!(context.budget_left && !context.remaining.is_zero(), "{context:?}");
        assert!(context.idempotent || !may_have_run, "{context:?}");
        assert!(!may_have_run || context.attempts == 1, "{context:?}");
        assert!(!context.earlier_may_have_run && context.attempts < 3, "{context:?}");
        assert_ne!(context.outcome, AttemptOutcome::Cancelled);
    }
    // Shed and unreachable: 4 of the 16 flag combinations have budget and no earlier run, at
    // attempts 1 and 2. Broken and timed out: 3 of the 4 pairs of `idempotent` and `byte_sent`, at
    // attempt 1 only.
    assert_eq!(retries, 2 * 4 * 2 + 2 * 3);
}

// Guards against retry storms: retries are limited to 10% of the requests of the last 10 s, but at
// least 3 are allowed.
#[test]
fn retry_budget_follows_requests() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut budget = RetryBudget::new(start);
    let take_all =
        |budget: &mut RetryBudget, ms| (0..1000).filter(|_| budget.try_take(at(ms))).count();
    assert_eq!(take_all(&mut budget, 0), 3);
    for ms in 0..1000 {
        budget.record_request(at(ms));
    }
    assert_eq!(take_all(&mut budget, 1000), 97);
    assert_eq!(take_all(&mut budget, 9_900), 0);
    // At 10 s, the requests of second 0 and the first 3 retries have left the window, but the 97
    // retries of second 1 have not.
    assert_eq!(take_all(&mut budget, 10_000), 0);
    assert_eq!(take_all(&mut budget, 11_000), 3);
    assert_eq!(take_all(&mut budget, 10_000_000), 3);
}
