//! What one holder knows of the other owners of shares.

use std::time::Duration;

use tokio::time::Instant;

use crate::{Ledger, ShareRecord};

/// Heartbeats whose sending times are kept; older ones are beyond the main lease.
const KEPT_HEARTBEATS: usize = 128;

/// What one holder knows of the other owners of shares.
#[derive(Debug)]
pub(crate) struct Watch {
    /// The owners, sorted by name and incarnation.
    owners: Vec<Owner>,
    /// Sequences of sent heartbeats with their sending times, in order.
    heartbeats: Vec<(u64, Instant)>,
    /// Start of the observation, moved forward by a pause.
    since: Instant,
}

/// What is known of one process.
#[derive(Debug)]
struct Owner {
    /// Its host.
    name: String,
    /// Its incarnation.
    incarnation: u64,
    /// The last seen refresh counter.
    counter: u64,
    /// Time at which that counter was first seen.
    counter_seen: Option<Instant>,
    /// Time of the last sign of life.
    heard: Option<Instant>,
    /// Sending time of the latest own heartbeat that it confirmed.
    confirmed: Option<Instant>,
    /// Whether its end is known for certain.
    gone: bool,
}

impl Watch {
    /// Nothing known.
    pub(crate) fn new(now: Instant) -> Self {
        Self { owners: Vec::new(), heartbeats: Vec::new(), since: now }
    }

    /// Forgets all observations, which a pause made stale.
    pub(crate) fn restart(&mut self, now: Instant) {
        let owners = std::mem::take(&mut self.owners);
        self.owners = owners.into_iter().filter(|it| it.gone).collect();
        self.since = now;
    }

    /// Notes the counters of a newer ledger.
    pub(crate) fn note_ledger(&mut self, ledger: &Ledger, now: Instant) {
        for record in &ledger.holders {
            let owner = self.owner_mut(&record.name, record.incarnation);
            if owner.counter_seen.is_none() || owner.counter != record.counter {
                owner.counter = record.counter;
                owner.counter_seen = Some(now);
            }
        }
        self.owners.retain(|it| {
            let recent = it.heard.is_some_and(|at| now < at + Duration::from_secs(600));
            recent || ledger.record(&it.name, it.incarnation).is_some()
        });
    }

    /// Notes the sending of a heartbeat.
    pub(crate) fn note_heartbeat(&mut self, sequence: u64, now: Instant) {
        if self.heartbeats.len() == KEPT_HEARTBEATS {
            self.heartbeats.remove(0);
        }
        self.heartbeats.push((sequence, now));
    }

    /// Notes a sign of life and the heartbeat that it confirms.
    pub(crate) fn note_heard(
        &mut self,
        name: &str,
        incarnation: u64,
        acknowledged: Option<u64>,
        now: Instant,
    ) {
        // An acknowledgement covers every heartbeat up to its sequence; only the exact one counts,
        // because an unknown sequence may belong to a predecessor of this process.
        let sent = acknowledged.and_then(|sequence| {
            let at = self.heartbeats.binary_search_by_key(&sequence, |it| it.0).ok()?;
            Some(self.heartbeats[at].1)
        });
        let owner = self.owner_mut(name, incarnation);
        owner.heard = Some(now);
        owner.gone = false;
        owner.confirmed = owner.confirmed.max(sent);
    }

    /// Notes that a process is known to have ended.
    pub(crate) fn note_gone(&mut self, name: &str, incarnation: u64) {
        self.owner_mut(name, incarnation).gone = true;
    }

    /// Start of the time in which a process showed no sign of life.
    pub(crate) fn silent_since(&self, record: &ShareRecord) -> Instant {
        let Some(owner) = self.owner(record) else { return self.since };
        let seen = owner.counter_seen.max(owner.heard);
        seen.map_or(self.since, |it| it.max(self.since))
    }

    /// Whether a process showed a sign of life in the last `period` and is not known to be gone.
    pub(crate) fn is_alive(&self, record: &ShareRecord, period: Duration, now: Instant) -> bool {
        let Some(owner) = self.owner(record) else { return false };
        let seen = owner.counter_seen.max(owner.heard);
        !owner.gone && seen.is_some_and(|it| now < it + period)
    }

    /// Sending time of the latest heartbeat that a process confirmed, `now` when it has ended.
    pub(crate) fn confirmed(&self, record: &ShareRecord, now: Instant) -> Option<Instant> {
        let owner = self.owner(record)?;
        if owner.gone { Some(now) } else { owner.confirmed }
    }

    /// What is known of the process of a record.
    fn owner(&self, record: &ShareRecord) -> Option<&Owner> {
        let at = self.position(&record.name, record.incarnation).ok()?;
        Some(&self.owners[at])
    }

    /// What is known of a process, for changes.
    fn owner_mut(&mut self, name: &str, incarnation: u64) -> &mut Owner {
        let at = self.position(name, incarnation).unwrap_or_else(|at| {
            let owner = Owner {
                name: name.to_owned(),
                incarnation,
                counter: 0,
                counter_seen: None,
                heard: None,
                confirmed: None,
                gone: false,
            };
            self.owners.insert(at, owner);
            at
        });
        &mut self.owners[at]
    }

    /// Where a process stands, or would stand.
    fn position(&self, name: &str, incarnation: u64) -> Result<usize, usize> {
        self.owners
            .binary_search_by(|it| (it.name.as_str(), it.incarnation).cmp(&(name, incarnation)))
    }
}
