//! Passive health checks: ejection of instances based on this process's own exchanges.

use std::time::Duration;

use tokio::time::Instant;

/// Duration of the first ejection; it doubles with every further ejection before a success. An
/// instance that crashed is back after a few seconds.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Upper bound for an ejection, so that a recovered instance is used again within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(3);

/// Weight of a new exchange in the exponential moving average of the failure rate; about the last
/// ten exchanges count.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Failure rate above which an instance is ejected. Healthy upstreams fail up to 1% of their
/// requests.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Failure of an exchange that counts against the health of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum ExchangeFailure {
    /// No connection to the instance could be opened, or another instance has its address.
    Connect,
    /// The connection broke, or the received data was not a response to the request.
    Broken,
    /// No response arrived in time.
    Silent,
    /// The response had a server error status.
    Status,
    /// The instance refused the request although it had free slots.
    Shed,
}

/// Health of one instance as observed by this process.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Exponential moving average over the exchanges, 0 to 1.
    failure_rate: f64,
    ejections_since_success: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    pub(crate) fn new() -> Self {
        Self { failure_rate: 0.0, ejections_since_success: 0, ejected_until: None }
    }

    /// Records a successful exchange; returns whether it ends an ejection.
    pub(crate) fn record_success(&mut self) -> bool {
        self.failure_rate *= 1.0 - FAILURE_RATE_WEIGHT;
        self.ejections_since_success = 0;
        self.ejected_until.take().is_some()
    }

    /// Records a failed exchange; returns whether it ejects the instance.
    pub(crate) fn record_failure(&mut self, failure: ExchangeFailure, now: Instant) -> bool {
        self.failure_rate = self.failure_rate * (1.0 - FAILURE_RATE_WEIGHT) + FAILURE_RATE_WEIGHT;
        let must_eject = match failure {
            ExchangeFailure::Connect => true,
            ExchangeFailure::Broken
            | ExchangeFailure::Silent
            | ExchangeFailure::Status
            | ExchangeFailure::Shed => self.failure_rate > EJECTION_FAILURE_RATE,
        };
        if !must_eject || self.is_ejected(now) {
            return false;
        }
        let duration = FIRST_EJECTION * 2u32.pow(self.ejections_since_success.min(8));
        self.ejections_since_success += 1;
        // Keeps half of the threshold, so that a few more failures eject the instance again.
        self.failure_rate = EJECTION_FAILURE_RATE / 2.0;
        self.ejected_until = Some(now + duration.min(MAX_EJECTION));
        true
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|it| now < it)
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
