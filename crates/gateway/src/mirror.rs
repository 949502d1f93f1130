//! A copy of what the process follows, for hosts that follow it through this one.

use std::{cell::RefCell, collections::BTreeMap, time::Duration};

use bincode::{Decode, Encode};
use bytes::Bytes;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Deletions remembered for each kind; a host that missed more lists again.
const MAX_DELETIONS: usize = 1024;

/// The copies of all kinds.
#[derive(Default)]
pub(crate) struct Mirror {
    /// Copies by the start of their objects' names.
    kinds: RefCell<BTreeMap<String, Kind>>,
    /// Signalled at every change and every progress.
    changed: Notify,
}

/// The copy of one kind.
#[derive(Default)]
struct Kind {
    /// Versions and values by name.
    objects: BTreeMap<String, (u64, Bytes)>,
    /// Deletions with the revision up to which they were followed, oldest first.
    deletions: Vec<(u64, String)>,
    /// Deletions that no revision is known for yet.
    new_deletions: Vec<String>,
    /// Revision after which all deletions are remembered.
    complete_after: u64,
    /// Revision up to which everything was followed; `None` before the first list.
    revision: Option<u64>,
    /// A time at which the copy was current.
    confirmed_at: Option<Instant>,
    /// When the copy is too old to be passed on, unless it is confirmed before.
    stale_at: Option<Instant>,
}

/// An answer to a host that follows through this one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Relayed {
    /// Revision from which to go on.
    pub(crate) revision: u64,
    /// How much older than the answer the copy may be.
    pub(crate) age_ms: u64,
    /// Changed objects: name, version and value, or no version when it was deleted.
    pub(crate) objects: Vec<(String, Option<u64>, Vec<u8>)>,
}

/// Why a change cannot be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Missing {
    /// The copy is not complete yet.
    NotSynced,
    /// Nothing was heard of the platform for longer than a watch takes.
    Stale,
    /// Deletions since then are forgotten.
    TooOld,
}

impl Mirror {
    /// Takes a change in.
    pub(crate) fn change(&self, prefix: &str, name: &str, object: Option<(u64, Bytes)>) {
        let mut kinds = self.kinds.borrow_mut();
        let kind = kinds.entry(prefix.to_owned()).or_default();
        match object {
            Some(it) => {
                kind.objects.insert(name.to_owned(), it);
            }
            None => {
                if kind.objects.remove(name).is_some() {
                    kind.new_deletions.push(name.to_owned());
                }
            }
        }
    }

    /// Notes that everything up to a revision and a time was followed, and when the next word of it
    /// is overdue.
    pub(crate) fn progress(&self, prefix: &str, revision: u64, at: Instant, stale_at: Instant) {
        let mut kinds = self.kinds.borrow_mut();
        let kind = kinds.entry(prefix.to_owned()).or_default();
        let news = std::mem::take(&mut kind.new_deletions);
        kind.deletions.extend(news.into_iter().map(|it| (revision, it)));
        if kind.deletions.len() > MAX_DELETIONS {
            let dropped = kind.deletions.len() - MAX_DELETIONS;
            kind.complete_after = kind.deletions[dropped - 1].0;
            kind.deletions.drain(..dropped);
        }
        if kind.revision.is_none() {
            kind.complete_after = revision;
        }
        kind.revision = Some(revision);
        kind.confirmed_at = kind.confirmed_at.max(Some(at));
        kind.stale_at = Some(stale_at);
        drop(kinds);
        self.changed.notify_waiters();
    }

    /// The whole copy of a kind.
    pub(crate) fn list(&self, prefix: &str, now: Instant) -> Result<Relayed, Missing> {
        let kinds = self.kinds.borrow();
        let kind = kinds.get(prefix).ok_or(Missing::NotSynced)?;
        let revision = kind.current(now)?;
        let objects = kind.objects.iter();
        let objects = objects.map(|(name, it)| (name.clone(), Some(it.0), it.1.to_vec()));
        Ok(Relayed { revision, age_ms: kind.age_ms(now), objects: objects.collect() })
    }

    /// The changes after a revision, as soon as there is one or the wait is over.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Relayed, Missing> {
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let now = Instant::now();
            let answer = self.changes(prefix, after, now)?;
            if !answer.objects.is_empty() || now >= until {
                return Ok(answer);
            }
            // The wait ends with the next answer, or when the copy grows too old for one.
            let _ = timeout_at(until.min(self.stale_at(prefix)), changed).await;
        }
    }

    /// When the copy of a kind is too old to be passed on.
    fn stale_at(&self, prefix: &str) -> Instant {
        let stale_at = self.kinds.borrow().get(prefix).and_then(|it| it.stale_at);
        stale_at.unwrap_or_else(Instant::now)
    }

    /// The changes after a revision.
    fn changes(&self, prefix: &str, after: u64, now: Instant) -> Result<Relayed, Missing> {
        let kinds = self.kinds.borrow();
        let kind = kinds.get(prefix).ok_or(Missing::NotSynced)?;
        let revision = kind.current(now)?;
        if after < kind.complete_after {
            return Err(Missing::TooOld);
        }
        let deleted = kind.deletions.iter().filter(|it| it.0 > after);
        let deleted = deleted.map(|it| (it.1.clone(), None, Vec::new()));
        let changed = kind.objects.iter().filter(|it| it.1.0 > after);
        let changed = changed.map(|(name, it)| (name.clone(), Some(it.0), it.1.to_vec()));
        let objects = deleted.chain(changed).collect();
        // A reader that was behind this host's follower must not send it back.
        let revision = revision.max(after);
        Ok(Relayed { revision, age_ms: kind.age_ms(now), objects })
    }
}

impl Kind {
    /// The revision of a copy that may be passed on.
    fn current(&self, now: Instant) -> Result<u64, Missing> {
        let revision = self.revision.ok_or(Missing::NotSynced)?;
        if self.stale_at.is_some_and(|it| now >= it) {
            return Err(Missing::Stale);
        }
        Ok(revision)
    }

    /// How old the copy may be.
    fn age_ms(&self, now: Instant) -> u64 {
        self.confirmed_at.map_or(u64::MAX, |it| {
            u64::try_from(now.saturating_duration_since(it).as_millis()).unwrap_or(u64::MAX)
        })
    }
}
