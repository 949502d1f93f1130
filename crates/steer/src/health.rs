//! Ejection of instances on this process's own evidence.

use std::time::Duration;

use tokio::time::Instant;

/// First ejection; an instance that crashed is back after some seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection, so that a recovered instance is used again within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Weight of one response in the failure rate: about the last ten count.
const RATE_WEIGHT: f64 = 0.1;

/// Failure rate from which an instance is ejected; upstreams fail up to 1% of requests by
/// themselves.
const MAX_FAILURE_RATE: f64 = 0.3;

/// How an exchange showed that an instance is unwell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangeFailure {
    /// No connection could be opened.
    Connect,
    /// The connection broke, or what came was no response to the request.
    Broken,
    /// No response came in time.
    Silent,
    /// It answered with a failure.
    Status,
    /// It refused the request although it had room.
    Shed,
}

/// The health of one instance as this process sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Decaying share of exchanges that failed.
    failure_rate: f64,
    /// Ejections without a success in between.
    ejections: u32,
    /// End of the ejection.
    ejected_until: Option<Instant>,
}

impl Health {
    /// An instance without any exchange.
    pub(crate) fn new() -> Self {
        Self { failure_rate: 0.0, ejections: 0, ejected_until: None }
    }

    /// Counts a good exchange; answers whether it ends an ejection.
    pub(crate) fn record_success(&mut self) -> bool {
        self.failure_rate *= 1.0 - RATE_WEIGHT;
        self.ejections = 0;
        self.ejected_until.take().is_some()
    }

    /// Counts a failed exchange; answers whether the instance is ejected by it.
    pub(crate) fn record_failure(&mut self, failure: ExchangeFailure, now: Instant) -> bool {
        self.failure_rate = self.failure_rate * (1.0 - RATE_WEIGHT) + RATE_WEIGHT;
        let is_unusable = match failure {
            ExchangeFailure::Connect => true,
            ExchangeFailure::Broken
            | ExchangeFailure::Silent
            | ExchangeFailure::Status
            | ExchangeFailure::Shed => self.failure_rate > MAX_FAILURE_RATE,
        };
        if !is_unusable || self.is_ejected(now) {
            return false;
        }
        let time = FIRST_EJECTION * 2u32.pow(self.ejections.min(8));
        self.ejections += 1;
        // Half of the rate stays, so that a few more failures eject it again.
        self.failure_rate = MAX_FAILURE_RATE / 2.0;
        self.ejected_until = Some(now + time.min(MAX_EJECTION));
        true
    }

    /// Whether requests should go elsewhere.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|it| now < it)
    }

    /// Decaying share of exchanges that failed.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
