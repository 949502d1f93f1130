//! Policy of a simulated host: the real engine or the baseline.

use std::sync::Arc;

use kingcupford_config::{RegionId, Snapshot};
use kingcupford_engine::{
    Admission, AttemptResult, Engine, FinishOutcome, LookupAnswer, LookupQuery, RequestHead,
    StartOutcome, Ticket,
};
use tokio::time::Instant;

use crate::baseline::Baseline;

/// Routing and admission policy of a host.
#[derive(Debug)]
pub(crate) enum Policy {
    /// The real policy of the system.
    System(Box<Engine>),
    /// The baseline for comparison.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// Returns the engine, or `None` for the baseline.
    pub(crate) fn engine(&mut self) -> Option<&mut Engine> {
        match self {
            Self::System(it) => Some(it),
            Self::Baseline(_) => None,
        }
    }

    /// Returns the active configuration.
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        match self {
            Self::System(it) => it.snapshot(),
            Self::Baseline(it) => it.snapshot(),
        }
    }

    /// Activates a configuration.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>, now: Instant) {
        match self {
            Self::System(it) => {
                it.install(snapshot, now);
            }
            Self::Baseline(it) => it.install(snapshot, now),
        }
    }

    /// Answers a lookup; the baseline answers none.
    pub(crate) fn lookup(&mut self, query: &LookupQuery, now: Instant) -> Option<LookupAnswer> {
        match self {
            Self::System(it) => it.lookup(query, now),
            Self::Baseline(_) => None,
        }
    }

    /// Decides whether a request is admitted. `waited` is set if an earlier decision for the
    /// request was to wait.
    pub(crate) fn admit(&mut self, head: &RequestHead, waited: bool, now: Instant) -> Admission {
        match self {
            Self::System(it) => it.admit(head, waited, now),
            Self::Baseline(it) => it.admit(head, now),
        }
    }

    /// Selects an instance for the next attempt of an admitted request.
    pub(crate) fn start_attempt(&mut self, ticket: Ticket, now: Instant) -> StartOutcome {
        match self {
            Self::System(it) => it.start_attempt(ticket, now),
            Self::Baseline(it) => it.start_attempt(ticket, now),
        }
    }

    /// Applies the result of an attempt and decides whether to retry.
    pub(crate) fn finish_attempt(
        &mut self,
        ticket: Ticket,
        result: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        match self {
            Self::System(it) => it.finish_attempt(ticket, result, now),
            Self::Baseline(it) => it.finish_attempt(ticket, result, now),
        }
    }

    /// Abandons an admitted request that has no running attempt.
    pub(crate) fn abandon(&mut self, ticket: Ticket, now: Instant) {
        match self {
            Self::System(it) => it.abandon(ticket, now),
            Self::Baseline(it) => it.abandon(ticket),
        }
    }

    /// Returns the waiting requests for which an instance became available.
    pub(crate) fn ready_tickets(&self) -> Vec<Ticket> {
        match self {
            Self::System(it) => it.ready_tickets().collect(),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Returns the number of unfinished requests.
    pub(crate) fn in_flight(&self) -> usize {
        match self {
            Self::System(it) => it.in_flight(),
            Self::Baseline(it) => it.in_flight(),
        }
    }

    /// Acquires link bandwidth for a response. Returns the time in microseconds to wait before
    /// trying again, or `None` if the bandwidth was available.
    pub(crate) fn acquire_link_bytes(
        &mut self,
        from: RegionId,
        to: RegionId,
        bytes: u64,
        now: Instant,
    ) -> Option<u64> {
        match self {
            Self::System(it) => {
                let wait = it.acquire_link_bytes(from, to, bytes as usize, now)?;
                Some(wait.as_micros() as u64)
            }
            Self::Baseline(_) => None,
        }
    }
}
