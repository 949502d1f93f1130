//! A fake of the platform: objects with versions, conditional updates, watches and a host list.

use std::{collections::BTreeMap, sync::Arc};

use kingcupford_fleet::ListedHost;
use kingcupford_quota::Proposal;
use kingcupford_rollout::RolloutWrite;

use crate::event::Process;

/// Time by which the list of hosts lags.
const LIST_LAG_US: u64 = 3_000_000;

/// Time after its last announcement in which a host is listed.
const LISTED_US: u64 = 20_000_000;

/// A call of a host.
#[derive(Debug)]
pub(crate) enum Call {
    /// Read all followed objects, or wait for changes after a revision.
    Follow {
        /// The revision.
        after: Option<u64>,
    },
    /// Read chunks.
    Chunks {
        /// Their names.
        names: Vec<String>,
        /// Revision from which to watch on.
        revision: u64,
    },
    /// Read the list of hosts.
    Hosts,
    /// Announce the calling host.
    Announce(ListedHost),
    /// Write the ledger.
    Ledger(Proposal),
    /// Write a rollout.
    Rollout(RolloutWrite),
}

/// The platform's answer, or its absence.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Documents that changed.
    Documents {
        /// Revision from which to watch on.
        revision: u64,
        /// Name, version and content.
        documents: Vec<(String, u64, Arc<[u8]>)>,
        /// Whether all followed objects were read and the ledger was not among them.
        lacks_ledger: bool,
    },
    /// Chunks.
    Chunks {
        /// The contents.
        chunks: Vec<Arc<[u8]>>,
        /// Revision from which to watch on.
        revision: u64,
    },
    /// The list of hosts.
    Hosts(Vec<ListedHost>),
    /// What became of a write of the ledger.
    Ledger(Proposal, kingcupford_quota::WriteOutcome),
    /// What became of a write of a rollout, with the object when it changed before.
    Rollout(RolloutWrite, kingcupford_rollout::WriteOutcome, Option<Object>),
    /// No answer came.
    Lost(Call),
}

/// An object with its version.
#[derive(Debug, Clone)]
pub(crate) struct Object {
    /// Its version.
    pub(crate) version: u64,
    /// Its content.
    pub(crate) bytes: Arc<[u8]>,
}

/// A pending watch.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Watch {
    /// Its number.
    pub(crate) id: u64,
    /// The watching process.
    pub(crate) from: Process,
    /// Changes after this revision end it.
    pub(crate) after: u64,
}

/// The platform.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    /// Objects by name.
    objects: BTreeMap<String, Object>,
    /// Revision of the last change.
    pub(crate) revision: u64,
    /// Revision and name of each change.
    changes: Vec<(u64, String)>,
    /// Listed hosts with the time of the announcement.
    hosts: Vec<(u64, ListedHost)>,
    /// Pending watches.
    pub(crate) watches: Vec<Watch>,
    /// Number of the next watch.
    next_watch: u64,
    /// Outages in force, by fault.
    pub(crate) outages: Vec<usize>,
    /// Additional time of answers, by fault.
    pub(crate) delays: Vec<(usize, u64)>,
    /// Share of lost answers, by fault.
    pub(crate) losses: Vec<(usize, f64)>,
}

impl Platform {
    /// Whether it answers.
    pub(crate) fn is_up(&self) -> bool {
        self.outages.is_empty()
    }

    /// Additional time of an answer.
    pub(crate) fn delay_us(&self) -> u64 {
        self.delays.iter().map(|it| it.1).sum()
    }

    /// Share of lost answers, 0 to 1.
    pub(crate) fn loss(&self) -> f64 {
        self.losses.iter().map(|it| it.1 / 100.0).fold(0.0, f64::max)
    }

    /// An object.
    pub(crate) fn object(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Writes an object on a condition; the new version, or `None` when the condition fails.
    pub(crate) fn write(
        &mut self,
        name: &str,
        bytes: &[u8],
        expected_version: Option<u64>,
    ) -> Option<u64> {
        if self.objects.get(name).map(|it| it.version) != expected_version {
            return None;
        }
        self.revision += 1;
        let object = Object { version: self.revision, bytes: bytes.into() };
        self.objects.insert(name.to_owned(), object);
        self.changes.push((self.revision, name.to_owned()));
        Some(self.revision)
    }

    /// Followed objects that changed after a revision, or all of them.
    pub(crate) fn changed(&self, after: Option<u64>) -> Vec<(String, u64, Arc<[u8]>)> {
        let after = after.unwrap_or(0);
        let at = self.changes.partition_point(|it| it.0 <= after);
        let mut names: Vec<&String> = self.changes[at..].iter().map(|it| &it.1).collect();
        names.retain(|it| !it.starts_with("chunk/"));
        names.sort();
        names.dedup();
        let document = |name: &String| {
            let object = &self.objects[name];
            let version = match name.as_str() {
                // The head carries its own number.
                "config/head" => head_version(&object.bytes),
                _ => object.version,
            };
            (name.clone(), version, Arc::clone(&object.bytes))
        };
        names.into_iter().map(document).collect()
    }

    /// Adds a watch and answers its number.
    pub(crate) fn watch(&mut self, from: Process, after: u64) -> u64 {
        self.next_watch += 1;
        self.watches.push(Watch { id: self.next_watch, from, after });
        self.next_watch
    }

    /// Takes the watches that the last changes end.
    pub(crate) fn woken(&mut self) -> Vec<Watch> {
        let revision = self.revision;
        let (woken, pending) = self.watches.iter().partition(|it| it.after < revision);
        self.watches = pending;
        woken
    }

    /// Notes an announcement.
    pub(crate) fn announce(&mut self, candidate: ListedHost, now_us: u64) {
        // An unchanged entry stays listed, so that only changes lag.
        match self.hosts.iter_mut().find(|it| it.1 == candidate) {
            Some(it) if now_us < it.0 + LIST_LAG_US => {}
            Some(it) => it.0 = now_us - LIST_LAG_US,
            None => self.hosts.push((now_us, candidate)),
        }
    }

    /// The list of hosts as it was some seconds ago.
    pub(crate) fn hosts(&self, now_us: u64) -> Vec<ListedHost> {
        let visible = self
            .hosts
            .iter()
            .filter(|it| it.0 + LIST_LAG_US <= now_us && now_us <= it.0 + LIST_LAG_US + LISTED_US);
        let mut res: Vec<&(u64, ListedHost)> = visible.collect();
        res.sort_by(|a, b| a.1.name.cmp(&b.1.name).then(b.0.cmp(&a.0)));
        res.dedup_by(|a, b| a.1.name == b.1.name);
        res.into_iter().map(|it| it.1.clone()).collect()
    }
}

/// Version of the head object's content.
fn head_version(bytes: &[u8]) -> u64 {
    serde_json::from_slice::<kingcupford_config::Head>(bytes).map_or(0, |it| it.version)
}
