//! The decision after an attempt.

use std::time::Duration;

use strum::{Display, EnumString};

/// Attempts of one request at most where its route sets no limit, the first one included.
pub const DEFAULT_MAX_ATTEMPTS: u32 = 3;

/// A retry with less time left would end at the deadline before an upstream could answer.
const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

/// What the answer to a caller says about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Outcome {
    /// It ran.
    Executed,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// How an attempt at one instance ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response came.
    Answered {
        /// Whether its status is a server error.
        failed: bool,
    },
    /// The upstream said that it did not run the request.
    Shed,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke.
    Broken {
        /// Whether a part of the response had come.
        response_started: bool,
    },
    /// The time for the attempt ran out.
    TimedOut,
    /// The caller gave up.
    Cancelled,
}

/// What is known about a request after an attempt.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext {
    /// How this attempt ended.
    pub outcome: AttemptOutcome,
    /// Whether the request may be repeated without harm.
    pub idempotent: bool,
    /// Whether a byte of this attempt may have reached the upstream.
    pub byte_sent: bool,
    /// Whether an earlier attempt may have run, as [`RetryContext::may_have_run`] said for it.
    pub earlier_may_have_run: bool,
    /// Attempts so far, this one included.
    pub attempts: u32,
    /// Attempts allowed, the first one included.
    pub max_attempts: u32,
    /// Whether the service's retry budget allows one more.
    pub budget_left: bool,
    /// Time until the caller's deadline.
    pub remaining: Duration,
}

/// What happens to the request next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// The response goes to the caller.
    Done,
    /// Another instance is tried.
    Retry,
    /// The caller gets a refusal with this outcome.
    Fail(Outcome),
}

impl RetryContext {
    /// Whether this attempt or an earlier one may have run the request.
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

/// The rule for retries.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryPolicy;

impl RetryPolicy {
    /// Decides after an attempt, from the facts alone.
    pub fn decide(facts: &RetryContext) -> RetryDecision {
        if matches!(facts.outcome, AttemptOutcome::Answered { .. }) {
            return RetryDecision::Done;
        }
        if Self::may_retry(facts) {
            return RetryDecision::Retry;
        }
        let outcome = if facts.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
        RetryDecision::Fail(outcome)
    }

    /// Whether another instance may get the request.
    fn may_retry(facts: &RetryContext) -> bool {
        let outcome_allows = match facts.outcome {
            AttemptOutcome::Answered { .. } | AttemptOutcome::Cancelled => false,
            // The caller already has a part of the response.
            AttemptOutcome::Broken { response_started: true } => false,
            AttemptOutcome::Broken { .. } | AttemptOutcome::TimedOut => {
                // A poison request loses at most this instance and one more.
                facts.attempts < 2 && (facts.idempotent || !facts.byte_sent)
            }
            AttemptOutcome::Shed | AttemptOutcome::Unreachable => true,
        };
        outcome_allows
            // A request whose earlier attempt broke went to its one further instance.
            && !facts.earlier_may_have_run
            && facts.attempts < facts.max_attempts
            && facts.budget_left
            && facts.remaining >= MIN_RETRY_TIME
    }
}
