//! Liveness and heartbeat confirmations of all holders of shares.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Ledger, ShareRecord};

/// Number of sent heartbeats to remember. Older heartbeats were sent before the start of any main
/// lease that is still valid.
const MAX_TRACKED_HEARTBEATS: usize = 128;

/// What this process has observed of the processes that hold shares.
#[derive(Debug)]
pub(crate) struct HolderTracker {
    /// Sorted by name and incarnation.
    holders: Vec<HolderState>,
    /// Sequence numbers of sent heartbeats with the time of sending, in ascending order.
    sent_heartbeats: Vec<(u64, Instant)>,
    /// Start of the observation, reset after a pause of this process.
    observed_since: Instant,
}

#[derive(Debug)]
struct HolderState {
    name: String,
    incarnation: u64,
    refresh_counter: u64,
    /// Time at which the current refresh counter was first seen in a ledger.
    counter_changed_at: Option<Instant>,
    last_heartbeat_at: Option<Instant>,
    /// Time of sending of the latest heartbeat of this process that the holder acknowledged.
    confirmed_sent_at: Option<Instant>,
    /// Whether the process is proven to have ended, not only silent.
    is_terminated: bool,
}

impl HolderTracker {
    pub(crate) fn new(now: Instant) -> Self {
        Self { holders: Vec::new(), sent_heartbeats: Vec::new(), observed_since: now }
    }

    /// Discards all observations that a pause of this process made stale.
    pub(crate) fn restart(&mut self, now: Instant) {
        let holders = std::mem::take(&mut self.holders);
        self.holders = holders.into_iter().filter(|it| it.is_terminated).collect();
        self.observed_since = now;
    }

    /// Records the refresh counters of a newer ledger.
    pub(crate) fn record_ledger(&mut self, ledger: &Ledger, now: Instant) {
        for record in &ledger.holders {
            let holder = self.holder_mut(&record.name, record.incarnation);
            if holder.counter_changed_at.is_none() || holder.refresh_counter != record.counter {
                holder.refresh_counter = record.counter;
                holder.counter_changed_at = Some(now);
            }
        }
        self.holders.retain(|it| {
            let recent = it.last_heartbeat_at.is_some_and(|at| now < at + Duration::from_secs(600));
            recent || ledger.record(&it.name, it.incarnation).is_some()
        });
    }

    pub(crate) fn record_heartbeat_sent(&mut self, sequence: u64, now: Instant) {
        if self.sent_heartbeats.len() == MAX_TRACKED_HEARTBEATS {
            self.sent_heartbeats.remove(0);
        }
        self.sent_heartbeats.push((sequence, now));
    }

    /// Records a received heartbeat and the heartbeat of this process that it acknowledges.
    pub(crate) fn record_heartbeat_received(
        &mut self,
        name: &str,
        incarnation: u64,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        // An acknowledgement covers all heartbeats up to its sequence number. Only an exact match
        // counts, because an unknown number may belong to a predecessor of this process.
        let sent = acknowledged.and_then(|sequence| {
            let at = self.sent_heartbeats.binary_search_by_key(&sequence, |it| it.0).ok()?;
            Some(self.sent_heartbeats[at].1)
        });
        let holder = self.holder_mut(name, incarnation);
        holder.last_heartbeat_at = Some(now);
        holder.is_terminated = false;
        holder.confirmed_sent_at = holder.confirmed_sent_at.max(sent);
    }

    pub(crate) fn record_termination(&mut self, name: &str, incarnation: u64) {
        self.holder_mut(name, incarnation).is_terminated = true;
    }

    /// Time of the last sign of life of a process (a heartbeat or a refresh in the ledger), or the
    /// start of the observation if that is later.
    pub(crate) fn silent_since(&self, record: &ShareRecord) -> Instant {
        let Some(holder) = self.holder(record) else { return self.observed_since };
        let seen = holder.counter_changed_at.max(holder.last_heartbeat_at);
        seen.map_or(self.observed_since, |it| it.max(self.observed_since))
    }

    /// Whether a process showed a sign of life within `timeout` and is not proven to have ended.
    pub(crate) fn is_alive(&self, record: &ShareRecord, timeout: Duration, now: Instant) -> bool {
        let Some(holder) = self.holder(record) else { return false };
        let seen = holder.counter_changed_at.max(holder.last_heartbeat_at);
        !holder.is_terminated && seen.is_some_and(|it| now < it + timeout)
    }

    /// Time of sending of the latest heartbeat that a process acknowledged, or `now` when the
    /// process has ended.
    pub(crate) fn confirmed_sent_at(&self, record: &ShareRecord, now: Instant) -> Option<Instant> {
        let holder = self.holder(record)?;
        if holder.is_terminated { Some(now) } else { holder.confirmed_sent_at }
    }

    fn holder(&self, record: &ShareRecord) -> Option<&HolderState> {
        let at = self.position(&record.name, record.incarnation).ok()?;
        Some(&self.holders[at])
    }

    /// State of a process, inserted if missing.
    fn holder_mut(&mut self, name: &str, incarnation: u64) -> &mut HolderState {
        let at = self.position(name, incarnation).unwrap_or_else(|at| {
            let holder = HolderState {
                name: name.to_owned(),
                incarnation,
                refresh_counter: 0,
                counter_changed_at: None,
                last_heartbeat_at: None,
                confirmed_sent_at: None,
                is_terminated: false,
            };
            self.holders.insert(at, holder);
            at
        });
        &mut self.holders[at]
    }

    /// Index of a process, or the index at which to insert it.
    fn position(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.holders
            .binary_search_by(|it| (it.name.as_str(), it.incarnation).cmp(&(name, incarnation)))
    }
}
