//! Retry policy: what happens to a request after an attempt.

use std::time::Duration;

use strum::{Display, EnumString};

/// Attempts per request, the first one included, where the route sets no limit.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// Minimum time left for an attempt; with less, the deadline would pass before an upstream answers,
/// and a request that need not have run would count as one that may have run.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Execution state of a request, as reported to the caller with the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// The request ran.
    Executed,
    /// The request certainly did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// How an attempt at one instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response arrived.
    Answered {
        /// Whether the status is a server error.
        failed: bool,
    },
    /// The upstream stated that it did not run the request.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke.
    Broken {
        /// Whether a part of the response had arrived.
        response_started: bool,
    },
    /// The time limit of the attempt expired.
    TimedOut,
    /// The caller cancelled the request.
    Cancelled,
}

/// What is known about a request after an attempt; the input of [`RetryPolicy::decide`].
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// How this attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the request may be repeated without harm.
    pub idempotent: bool,
    /// Whether a byte of this attempt may have reached the upstream.
    pub byte_sent: bool,
    /// Whether an earlier attempt may have run: [`RetryContext::may_have_run`] after that attempt.
    pub earlier_may_have_run: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Attempts allowed, the first one included.
    pub max_attempts: u32,
    /// Whether the retry budget of the service allows one more retry.
    pub budget_left: bool,
    /// Time left until the caller's deadline.
    pub remaining: Duration,
}

/// The next step for a request after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Pass the response to the caller.
    Done,
    /// Send the request to another instance.
    Retry,
    /// Refuse the request to the caller with this outcome.
    Fail(Outcome),
}

impl RetryContext {
    /// Returns whether this attempt or an earlier one may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.earlier_may_have_run
            || match self.outcome {
                AttemptOutcome::Answered { .. } => true,
                AttemptOutcome::Shed | AttemptOutcome::Unreachable => false,
                AttemptOutcome::Broken { response_started } => response_started || self.byte_sent,
                AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => self.byte_sent,
            }
    }
}

/// Decides whether a request is retried, answered or failed.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides the next step after an attempt. The decision is a pure function of `context`.
    pub fn decide(context: &RetryContext) -> RetryDecision {
        if matches!(context.outcome, AttemptOutcome::Answered { .. }) {
            return RetryDecision::Done;
        }
        if Self::may_retry(context) {
            return RetryDecision::Retry;
        }
        let outcome = if context.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
        RetryDecision::Fail(outcome)
    }

    fn may_retry(context: &RetryContext) -> bool {
        let outcome_allows = match context.outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Cancelled => false,
            // The caller already has a part of the response.
            AttemptOutcome::Broken { response_started: true } => false,
            AttemptOutcome::Broken { .. } | AttemptOutcome::TimedOut => {
                // A poison request must crash at most this instance and one more.
                context.attempts < 2 && (context.idempotent || !context.byte_sent)
            }
            AttemptOutcome::Shed | AttemptOutcome::Unreachable => true,
        };
        outcome_allows
            // After an earlier attempt that may have run, this attempt was the only retry allowed.
            && !context.earlier_may_have_run
            && context.attempts < context.max_attempts
            && context.budget_left
            && context.remaining >= MIN_ATTEMPT_TIME
    }
}
