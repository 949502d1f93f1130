//! The policy of a simulated host: the real one or the baseline.

use std::sync::Arc;

use kingcupford_config::{RegionId, Snapshot};
use kingcupford_engine::{
    Admission, AttemptResult, Engine, FinishOutcome, LookupAnswer, LookupQuery, RequestHead,
    StartOutcome, Ticket,
};
use tokio::time::Instant;

use crate::baseline::Baseline;

/// What decides for a host.
#[derive(Debug)]
pub(crate) enum Policy {
    /// The real policy.
    System(Box<Engine>),
    /// The baseline.
    Baseline(Box<Baseline>),
}

impl Policy {
    /// The real policy, `None` on a host of the baseline.
    pub(crate) fn engine(&mut self) -> Option<&mut Engine> {
        match self {
            Self::System(it) => Some(it),
            Self::Baseline(_) => None,
        }
    }

    /// The active configuration.
    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        match self {
            Self::System(it) => it.snapshot(),
            Self::Baseline(it) => it.snapshot(),
        }
    }

    /// Makes a configuration the active one.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>, now: Instant) {
        match self {
            Self::System(it) => {
                it.install(snapshot, now);
            }
            Self::Baseline(it) => it.install(snapshot, now),
        }
    }

    /// Answers a lookup.
    pub(crate) fn lookup(&mut self, query: &LookupQuery, now: Instant) -> Option<LookupAnswer> {
        match self {
            Self::System(it) => it.lookup(query, now),
            Self::Baseline(_) => None,
        }
    }

    /// Decides whether a request may run.
    pub(crate) fn admit(&mut self, head: &RequestHead, waited: bool, now: Instant) -> Admission {
        match self {
            Self::System(it) => it.admit(head, waited, now),
            Self::Baseline(it) => it.admit(head, now),
        }
    }

    /// Chooses an instance.
    pub(crate) fn start(&mut self, ticket: Ticket, now: Instant) -> StartOutcome {
        match self {
            Self::System(it) => it.start_attempt(ticket, now),
            Self::Baseline(it) => it.start(ticket, now),
        }
    }

    /// Ends an attempt.
    pub(crate) fn finish(
        &mut self,
        ticket: Ticket,
        end: AttemptResult,
        now: Instant,
    ) -> FinishOutcome {
        match self {
            Self::System(it) => it.finish_attempt(ticket, end, now),
            Self::Baseline(it) => it.finish(ticket, end, now),
        }
    }

    /// Gives up a request that was not sent.
    pub(crate) fn abandon(&mut self, ticket: Ticket, now: Instant) {
        match self {
            Self::System(it) => it.abandon(ticket, now),
            Self::Baseline(it) => it.abandon(ticket),
        }
    }

    /// Waiting requests that were placed.
    pub(crate) fn ready(&self) -> Vec<Ticket> {
        match self {
            Self::System(it) => it.ready_tickets().collect(),
            Self::Baseline(_) => Vec::new(),
        }
    }

    /// Requests that are not finished.
    pub(crate) fn in_flight(&self) -> usize {
        match self {
            Self::System(it) => it.in_flight(),
            Self::Baseline(it) => it.in_flight(),
        }
    }

    /// Takes the bandwidth of an answer; how long it has to wait in microseconds.
    pub(crate) fn spend_link(
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
