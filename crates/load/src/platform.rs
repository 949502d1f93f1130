//! Simulated platform: versioned objects with conditional writes, watches and a host list.

use std::{collections::BTreeMap, sync::Arc};

use kingcupford_fleet::ListedHost;
use kingcupford_quota::Proposal;
use kingcupford_rollout::RolloutWrite;

use crate::event::ProcessId;

/// Delay until a change of the host list becomes visible.
const HOST_LIST_LAG_US: u64 = 3_000_000;

/// Time for which a host stays listed after its last announcement.
const HOST_LISTING_TTL_US: u64 = 20_000_000;

/// Call of a host to the platform.
#[derive(Debug)]
pub(crate) enum Call {
    /// Reads all followed objects, or watches for changes after a revision.
    Follow { after: Option<u64> },
    /// Reads configuration chunks.
    Chunks {
        names: Vec<String>,
        /// Revision after which the host watches next.
        revision: u64,
    },
    /// Reads the list of hosts.
    Hosts,
    /// Announces the calling host.
    Announce(ListedHost),
    /// Writes the ledger.
    Ledger(Proposal),
    /// Writes a rollout.
    Rollout(RolloutWrite),
}

/// Answer of the platform to a call, or its absence.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Followed objects that changed.
    Documents {
        /// Revision after which the host watches next.
        revision: u64,
        /// Name, version and content of each object.
        documents: Vec<(String, u64, Arc<[u8]>)>,
        /// Whether all followed objects were read and the ledger does not exist.
        is_ledger_missing: bool,
    },
    /// Configuration chunks.
    Chunks {
        chunks: Vec<Arc<[u8]>>,
        /// Revision after which the host watches next.
        revision: u64,
    },
    /// List of hosts.
    Hosts(Vec<ListedHost>),
    /// Outcome of a write of the ledger.
    Ledger(Proposal, kingcupford_quota::WriteOutcome),
    /// Outcome of a write of a rollout, with the current object on a conflict.
    Rollout(RolloutWrite, kingcupford_rollout::WriteOutcome, Option<Object>),
    /// The call was not answered.
    Lost(Call),
}

/// Stored object.
#[derive(Debug, Clone)]
pub(crate) struct Object {
    pub(crate) version: u64,
    pub(crate) bytes: Arc<[u8]>,
}

/// Pending watch call.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Watch {
    pub(crate) id: u64,
    pub(crate) from: ProcessId,
    /// Revision after which any change ends the watch.
    pub(crate) after: u64,
}

/// State of the simulated platform.
#[derive(Debug, Default)]
pub(crate) struct Platform {
    objects: BTreeMap<String, Object>,
    pub(crate) revision: u64,
    /// Revision and object name of each change, in order.
    changes: Vec<(u64, String)>,
    /// Announced hosts with the time of the announcement.
    hosts: Vec<(u64, ListedHost)>,
    pub(crate) watches: Vec<Watch>,
    /// Number of the last added watch.
    last_watch_id: u64,
    /// Fault indices of the active outages.
    pub(crate) outages: Vec<usize>,
    /// Additional latency in microseconds by index of the fault.
    pub(crate) delays_us: Vec<(usize, u64)>,
    /// Percentage of lost answers by index of the fault.
    pub(crate) lost_answer_percents: Vec<(usize, f64)>,
}

impl Platform {
    /// Whether the platform answers calls.
    pub(crate) fn is_up(&self) -> bool {
        self.outages.is_empty()
    }

    /// Returns the additional latency of an answer, the sum over all faults.
    pub(crate) fn delay_us(&self) -> u64 {
        self.delays_us.iter().map(|it| it.1).sum()
    }

    /// Returns the fraction of lost answers, the maximum over all faults.
    pub(crate) fn lost_answer_fraction(&self) -> f64 {
        self.lost_answer_percents.iter().map(|it| it.1 / 100.0).fold(0.0, f64::max)
    }

    pub(crate) fn object(&self, name: &str) -> Option<&Object> {
        self.objects.get(name)
    }

    /// Writes an object if its current version is the expected one, `None` meaning that it does not
    /// exist. Returns the new version, or `None` on a conflict.
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

    /// Returns the followed objects that changed after a revision, or all of them, sorted by name.
    /// Chunks are not followed.
    pub(crate) fn changed_objects(&self, after: Option<u64>) -> Vec<(String, u64, Arc<[u8]>)> {
        let after = after.unwrap_or(0);
        let at = self.changes.partition_point(|it| it.0 <= after);
        let mut names: Vec<&String> = self.changes[at..].iter().map(|it| &it.1).collect();
        names.retain(|it| !it.starts_with("chunk/"));
        names.sort();
        names.dedup();
        let document = |name: &String| {
            let object = &self.objects[name];
            let version = match name.as_str() {
                // The version of the head object is the configuration version in its content.
                "config/head" => head_version(&object.bytes),
                _ => object.version,
            };
            (name.clone(), version, Arc::clone(&object.bytes))
        };
        names.into_iter().map(document).collect()
    }

    /// Adds a watch and returns its number.
    pub(crate) fn add_watch(&mut self, from: ProcessId, after: u64) -> u64 {
        self.last_watch_id += 1;
        self.watches.push(Watch { id: self.last_watch_id, from, after });
        self.last_watch_id
    }

    /// Removes and returns the watches that are ended by changes up to the current revision.
    pub(crate) fn take_woken_watches(&mut self) -> Vec<Watch> {
        let revision = self.revision;
        let (woken, pending) = self.watches.iter().partition(|it| it.after < revision);
        self.watches = pending;
        woken
    }

    /// Records an announcement of a host.
    pub(crate) fn record_announcement(&mut self, listed_host: ListedHost, now_us: u64) {
        // The time of an unchanged entry is set back by the lag, so that the host stays listed and
        // only changes are delayed.
        match self.hosts.iter_mut().find(|it| it.1 == listed_host) {
            Some(it) if now_us < it.0 + HOST_LIST_LAG_US => {}
            Some(it) => it.0 = now_us - HOST_LIST_LAG_US,
            None => self.hosts.push((now_us, listed_host)),
        }
    }

    /// Returns the list of hosts as visible after the lag, with the latest entry of each host,
    /// sorted by name.
    pub(crate) fn listed_hosts(&self, now_us: u64) -> Vec<ListedHost> {
        let visible = self.hosts.iter().filter(|it| {
            it.0 + HOST_LIST_LAG_US <= now_us
                && now_us <= it.0 + HOST_LIST_LAG_US + HOST_LISTING_TTL_US
        });
        let mut res: Vec<&(u64, ListedHost)> = visible.collect();
        res.sort_by(|a, b| a.1.name.cmp(&b.1.name).then(b.0.cmp(&a.0)));
        res.dedup_by(|a, b| a.1.name == b.1.name);
        res.into_iter().map(|it| it.1.clone()).collect()
    }
}

/// Returns the configuration version in the content of the head object, 0 if it is invalid.
fn head_version(bytes: &[u8]) -> u64 {
    serde_json::from_slice::<kingcupford_config::Head>(bytes).map_or(0, |it| it.version)
}
