//! Copy of the followed platform objects, served to hosts that follow the platform through this
//! one.

use std::{cell::RefCell, cmp::Ordering, collections::BTreeMap, time::Duration};

use bincode::{Decode, Encode};
use bytes::Bytes;
use kingcupford_platform::StoreRevision;
use tokio::{
    sync::Notify,
    time::{Instant, timeout_at},
};

/// Number of deletions that are retained for each prefix; a host that missed more must list again.
const MAX_RETAINED_DELETIONS: usize = 1024;

/// Copies of the followed objects, by name prefix.
#[derive(Default)]
pub(crate) struct Mirror {
    prefixes: RefCell<BTreeMap<String, PrefixMirror>>,
    /// Notified whenever a prefix makes progress.
    updated: Notify,
}

/// Copy of the objects with one name prefix.
#[derive(Default)]
struct PrefixMirror {
    /// Era of the store to which revisions and versions belong.
    era: u64,
    /// Versions and values by name. The version is 0 for an object of a former era.
    objects: BTreeMap<String, (u64, Bytes)>,
    /// Names of deleted objects with the revision at which the deletion was confirmed, oldest
    /// first.
    deletions: Vec<(u64, String)>,
    /// Names of deleted objects whose revision is not known yet.
    new_deletions: Vec<String>,
    /// Revision after which all deletions are retained.
    deletions_complete_after: u64,
    /// Revision up to which the copy is complete; `None` before the first list.
    revision: Option<u64>,
    /// Latest time at which the copy is known to have been current.
    confirmed_at: Option<Instant>,
    /// Time from which the copy is too old to be served, unless it is confirmed before.
    stale_at: Option<Instant>,
}

/// Response to a list or watch, with the era of the store to which its revisions belong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EraResponse {
    pub(crate) era: u64,
    pub(crate) response: RelayResponse,
}

/// Response to a list or watch of a host that follows the platform through this one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub(crate) struct RelayResponse {
    /// Revision from which to continue watching.
    pub(crate) revision: u64,
    /// Upper bound for the age of the copy.
    pub(crate) age_ms: u64,
    /// Changed objects: name, version and value; the version is `None` for a deleted object.
    pub(crate) objects: Vec<(String, Option<u64>, Vec<u8>)>,
}

/// Why a list or watch cannot be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MirrorError {
    /// No list of the prefix is complete yet.
    NotSynced,
    /// The copy was not confirmed within the time that a watch takes.
    Stale,
    /// Deletions after the requested revision are no longer retained, or the revision is from before
    /// a restoration of the platform.
    TooOld,
}

impl Mirror {
    /// Applies a change to the copy; `None` deletes the object.
    pub(crate) fn apply_change(
        &self,
        prefix: &str,
        name: &str,
        object: Option<(u64, Bytes)>,
        era: u64,
    ) {
        let mut prefixes = self.prefixes.borrow_mut();
        let mirrored = prefixes.entry(prefix.to_owned()).or_default();
        mirrored.begin_era(era);
        match object {
            Some(it) => {
                mirrored.objects.insert(name.to_owned(), it);
            }
            None => {
                mirrored.objects.remove(name);
                // Hosts may have an object that this copy lacks from the platform or another copy.
                mirrored.new_deletions.push(name.to_owned());
            }
        }
    }

    /// Records that the copy is complete up to `revision` and was current at `at`. The copy is
    /// stale from `stale_at` on unless further progress is recorded.
    pub(crate) fn record_progress(
        &self,
        prefix: &str,
        revision: StoreRevision,
        at: Instant,
        stale_at: Instant,
    ) {
        let mut prefixes = self.prefixes.borrow_mut();
        let mirrored = prefixes.entry(prefix.to_owned()).or_default();
        mirrored.begin_era(revision.era);
        let revision = revision.number;
        let new_deletions = std::mem::take(&mut mirrored.new_deletions);
        mirrored.deletions.extend(new_deletions.into_iter().map(|it| (revision, it)));
        if mirrored.deletions.len() > MAX_RETAINED_DELETIONS {
            let dropped = mirrored.deletions.len() - MAX_RETAINED_DELETIONS;
            mirrored.deletions_complete_after = mirrored.deletions[dropped - 1].0;
            mirrored.deletions.drain(..dropped);
        }
        if mirrored.revision.is_none() {
            mirrored.deletions_complete_after = revision;
        }
        mirrored.revision = Some(revision);
        mirrored.confirmed_at = mirrored.confirmed_at.max(Some(at));
        mirrored.stale_at = Some(stale_at);
        drop(prefixes);
        self.updated.notify_waiters();
    }

    /// Returns all objects with a prefix, with `any_age` also if the copy is stale.
    pub(crate) fn list(
        &self,
        prefix: &str,
        any_age: bool,
        now: Instant,
    ) -> Result<EraResponse, MirrorError> {
        let prefixes = self.prefixes.borrow();
        let mirrored = prefixes.get(prefix).ok_or(MirrorError::NotSynced)?;
        let revision = if any_age {
            mirrored.revision.unwrap_or(0)
        } else {
            mirrored.current_revision(now)?
        };
        let objects = mirrored.objects.iter();
        let objects = objects.map(|(name, it)| (name.clone(), Some(it.0), it.1.to_vec()));
        let (age_ms, objects) = (mirrored.age_ms(now), objects.collect());
        Ok(EraResponse { era: mirrored.era, response: RelayResponse { revision, age_ms, objects } })
    }

    /// Returns the changes after a revision as soon as there are any, or none after the wait.
    pub(crate) async fn watch(
        &self,
        prefix: &str,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<EraResponse, MirrorError> {
        let deadline = Instant::now() + wait;
        loop {
            let updated = self.updated.notified();
            let now = Instant::now();
            let response = self.changes(prefix, after, now)?;
            if !response.response.objects.is_empty() || now >= deadline {
                return Ok(response);
            }
            // The wait ends at the deadline, with the next progress, or when the copy becomes
            // stale.
            let _ = timeout_at(deadline.min(self.stale_at(prefix)), updated).await;
        }
    }

    /// Whether the copy has an object.
    pub(crate) fn contains(&self, prefix: &str, name: &str) -> bool {
        self.prefixes.borrow().get(prefix).is_some_and(|it| it.objects.contains_key(name))
    }

    /// Time from which the copy of a prefix is too old to be served; now if it has none.
    fn stale_at(&self, prefix: &str) -> Instant {
        let stale_at = self.prefixes.borrow().get(prefix).and_then(|it| it.stale_at);
        stale_at.unwrap_or_else(Instant::now)
    }

    /// Returns the changes after a revision.
    fn changes(
        &self,
        prefix: &str,
        after: StoreRevision,
        now: Instant,
    ) -> Result<EraResponse, MirrorError> {
        let prefixes = self.prefixes.borrow();
        let mirrored = prefixes.get(prefix).ok_or(MirrorError::NotSynced)?;
        let revision = mirrored.current_revision(now)?;
        let era = mirrored.era;
        match after.era.cmp(&era) {
            // Hosts of earlier versions name no era.
            _ if after.era == 0 => {}
            Ordering::Less => return Err(MirrorError::TooOld),
            Ordering::Equal => {}
            Ordering::Greater => return Err(MirrorError::Stale),
        }
        let after = after.number;
        if after < mirrored.deletions_complete_after {
            return Err(MirrorError::TooOld);
        }
        let deleted = mirrored.deletions.iter().filter(|it| it.0 > after);
        let deleted = deleted.map(|it| (it.1.clone(), None, Vec::new()));
        let changed = mirrored.objects.iter().filter(|it| it.1.0 > after);
        let changed = changed.map(|(name, it)| (name.clone(), Some(it.0), it.1.to_vec()));
        let objects = deleted.chain(changed).collect();
        // This copy may be behind the requesting host, whose revision must not go back.
        let revision = revision.max(after);
        let age_ms = mirrored.age_ms(now);
        Ok(EraResponse { era, response: RelayResponse { revision, age_ms, objects } })
    }
}

impl PrefixMirror {
    /// Forgets revisions and versions if they belong to a former era. The copy is not served until
    /// it is complete in the new one.
    fn begin_era(&mut self, era: u64) {
        if era <= self.era {
            return;
        }
        if self.era != 0 {
            self.objects.values_mut().for_each(|it| it.0 = 0);
            self.deletions.clear();
            self.new_deletions.clear();
            self.revision = None;
        }
        self.era = era;
    }

    /// Revision of the copy; an error if the copy may not be served.
    fn current_revision(&self, now: Instant) -> Result<u64, MirrorError> {
        let revision = self.revision.ok_or(MirrorError::NotSynced)?;
        if self.stale_at.is_some_and(|it| now >= it) {
            return Err(MirrorError::Stale);
        }
        Ok(revision)
    }

    /// Upper bound for the age of the copy.
    fn age_ms(&self, now: Instant) -> u64 {
        self.confirmed_at.map_or(u64::MAX, |it| {
            u64::try_from(now.saturating_duration_since(it).as_millis()).unwrap_or(u64::MAX)
        })
    }
}
