//! Objects with versions, and the log of changes that watches read.

use std::collections::{BTreeMap, VecDeque};

use bytes::Bytes;
use tokio::time::Instant;

/// Objects by name under one store-wide revision.
#[derive(Debug)]
pub(crate) struct Store {
    /// The objects.
    objects: BTreeMap<String, Object>,
    /// Number of the last change of any object.
    revision: u64,
    /// The last changes, oldest first.
    changes: VecDeque<Change>,
    /// Changes kept for watches.
    kept_changes: usize,
}

/// A stored value.
#[derive(Debug, Clone)]
pub(crate) struct Object {
    /// Revision of its last change.
    pub(crate) version: u64,
    /// The value.
    pub(crate) bytes: Bytes,
    /// Time of its last change.
    pub(crate) changed_at: Instant,
}

/// One change of an object.
#[derive(Debug, Clone)]
struct Change {
    /// Revision of the change.
    revision: u64,
    /// Name of the object.
    name: String,
    /// Whether the object was deleted.
    deleted: bool,
}

/// On what a write depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    /// Nothing.
    Always,
    /// No object of that name.
    Absent,
    /// An object with this version.
    Version(u64),
}

/// What a watch sees.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    /// Nothing changed.
    Nothing,
    /// These names changed; a deleted one has no version.
    Changes(Vec<(String, Option<u64>)>),
    /// The changes since then are no longer known.
    TooOld,
}

impl Store {
    /// An empty store.
    pub(crate) fn new(kept_changes: usize) -> Self {
        Self { objects: BTreeMap::new(), revision: 0, changes: VecDeque::new(), kept_changes }
    }

    /// Number of the last change.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// The object of a name.
    pub(crate) fn read(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// The objects whose name starts with `prefix`.
    pub(crate) fn list(&self, prefix: &str) -> impl Iterator<Item = (&String, &Object)> {
        let from = self.objects.range(prefix.to_owned()..);
        from.take_while(move |it| it.0.starts_with(prefix))
    }

    /// Writes a value, or deletes it when `None`; fails with the current version.
    pub(crate) fn write(
        &mut self,
        name: &str,
        value: Option<Bytes>,
        condition: Condition,
        now: Instant,
    ) -> Result<u64, Option<u64>> {
        let current = self.objects.get(name).map(|it| it.version);
        let holds = match condition {
            Condition::Always => true,
            Condition::Absent => current.is_none(),
            Condition::Version(wanted) => current == Some(wanted),
        };
        if !holds {
            return Err(current);
        }
        if value.is_none() && current.is_none() {
            return Ok(self.revision);
        }
        self.revision += 1;
        let revision = self.revision;
        let deleted = value.is_none();
        self.changes.push_back(Change { revision, name: name.to_owned(), deleted });
        if self.changes.len() > self.kept_changes {
            self.changes.pop_front();
        }
        match value {
            Some(bytes) => {
                let object = Object { version: revision, bytes, changed_at: now };
                self.objects.insert(name.to_owned(), object);
            }
            None => {
                self.objects.remove(name);
            }
        }
        Ok(revision)
    }

    /// What changed under `prefix` after a revision.
    pub(crate) fn changes_after(&self, prefix: &str, after: u64) -> Seen {
        let forgotten = self.revision - self.changes.len() as u64;
        if after < forgotten || after > self.revision {
            return Seen::TooOld;
        }
        let newer = self.changes.iter().filter(|it| it.revision > after);
        let mut latest = BTreeMap::new();
        for it in newer.filter(|it| it.name.starts_with(prefix)) {
            latest.insert(it.name.clone(), (!it.deleted).then_some(it.revision));
        }
        if latest.is_empty() { Seen::Nothing } else { Seen::Changes(latest.into_iter().collect()) }
    }

    /// Forgets all logged changes, so that every watch must list again.
    pub(crate) fn clear_change_log(&mut self) {
        self.changes.clear();
    }
}
