//! Versioned objects, and the log of their changes, from which watches are served.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use tokio::time::Instant;

/// Age of the oldest state to which the platform can be restored.
pub(crate) const MAX_RESTORE_AGE: Duration = Duration::from_secs(30);

/// Objects by name, with one revision for the whole store.
#[derive(Debug)]
pub(crate) struct Store {
    objects: BTreeMap<String, Object>,
    /// Number of changes of any object so far.
    revision: u64,
    /// Log of the latest changes, oldest first, with consecutive revisions.
    change_log: VecDeque<Change>,
    max_logged_changes: usize,
    /// What the changes of the last [`MAX_RESTORE_AGE`] replaced, oldest first. Unlike the log of
    /// changes it is never emptied.
    undo_log: VecDeque<UndoEntry>,
}

/// A stored value.
#[derive(Debug, Clone)]
pub(crate) struct Object {
    /// Store revision of the last change of the object.
    pub(crate) version: u64,
    pub(crate) bytes: Bytes,
    pub(crate) changed_at: Instant,
}

/// A write or deletion of an object.
#[derive(Debug, Clone)]
struct Change {
    /// Store revision after the change.
    revision: u64,
    name: String,
    is_deletion: bool,
}

/// Object before a change.
#[derive(Debug)]
struct UndoEntry {
    changed_at: Instant,
    name: String,
    /// Replaced or deleted object, `None` if the change created it.
    previous: Option<Object>,
}

/// Precondition of a write or a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    /// No precondition.
    Always,
    /// No object has the name.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Result of a look-up in the log of changes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ChangesAfter {
    /// No object changed.
    None,
    /// Names of the changed objects with their versions, `None` for a deleted object.
    Changed(Vec<(String, Option<u64>)>),
    /// The log no longer holds the changes after the revision, or the store has not reached it.
    OutOfRange,
}

impl Store {
    /// Creates an empty store that logs up to `max_logged_changes` changes.
    pub(crate) fn new(max_logged_changes: usize) -> Self {
        Self {
            objects: BTreeMap::new(),
            revision: 0,
            change_log: VecDeque::new(),
            max_logged_changes,
            undo_log: VecDeque::new(),
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn read(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Returns the objects whose name starts with `prefix`, sorted by name.
    pub(crate) fn list(&self, prefix: &str) -> impl Iterator<Item = (&String, &Object)> {
        let from = self.objects.range(prefix.to_owned()..);
        from.take_while(move |it| it.0.starts_with(prefix))
    }

    /// Writes the object, or deletes it when `value` is `None`, and returns the revision of the
    /// store. Fails with the current version of the object when the condition does not hold.
    pub(crate) fn write(
        &mut self,
        name: &str,
        value: Option<Bytes>,
        condition: Condition,
        now: Instant,
    ) -> Result<u64, Option<u64>> {
        let current = self.objects.get(name).map(|it| it.version);
        let condition_holds = match condition {
            Condition::Always => true,
            Condition::Absent => current.is_none(),
            Condition::Version(expected) => current == Some(expected),
        };
        if !condition_holds {
            return Err(current);
        }
        if value.is_none() && current.is_none() {
            return Ok(self.revision);
        }
        self.revision += 1;
        let revision = self.revision;
        let is_deletion = value.is_none();
        self.change_log.push_back(Change { revision, name: name.to_owned(), is_deletion });
        if self.change_log.len() > self.max_logged_changes {
            self.change_log.pop_front();
        }
        let previous = match value {
            Some(bytes) => {
                let object = Object { version: revision, bytes, changed_at: now };
                self.objects.insert(name.to_owned(), object)
            }
            None => self.objects.remove(name),
        };
        self.undo_log.push_back(UndoEntry { changed_at: now, name: name.to_owned(), previous });
        let is_too_old = |it: &UndoEntry| now.duration_since(it.changed_at) > MAX_RESTORE_AGE;
        while self.undo_log.front().is_some_and(is_too_old) {
            self.undo_log.pop_front();
        }
        Ok(revision)
    }

    /// Looks up which objects whose name starts with `prefix` changed after revision `after`.
    pub(crate) fn changes_after(&self, prefix: &str, after: u64) -> ChangesAfter {
        let log_start = self.revision - self.change_log.len() as u64;
        if after < log_start || after > self.revision {
            return ChangesAfter::OutOfRange;
        }
        let newer = self.change_log.iter().filter(|it| it.revision > after);
        let mut latest = BTreeMap::new();
        for it in newer.filter(|it| it.name.starts_with(prefix)) {
            latest.insert(it.name.clone(), (!it.is_deletion).then_some(it.revision));
        }
        if latest.is_empty() {
            ChangesAfter::None
        } else {
            ChangesAfter::Changed(latest.into_iter().collect())
        }
    }

    /// Undoes all changes that are younger than `age`; later changes get their revisions again.
    pub(crate) fn restore(&mut self, age: Duration, now: Instant) {
        let is_younger = |it: &mut UndoEntry| now.duration_since(it.changed_at) < age;
        while let Some(it) = self.undo_log.pop_back_if(is_younger) {
            match it.previous {
                Some(object) => self.objects.insert(it.name, object),
                None => self.objects.remove(&it.name),
            };
            self.revision -= 1;
        }
        while self.change_log.pop_back_if(|it| it.revision > self.revision).is_some() {}
    }

    /// Empties the log of changes, so that a watch after an older revision than the current one has
    /// to list the objects again.
    pub(crate) fn clear_change_log(&mut self) {
        self.change_log.clear();
    }
}
