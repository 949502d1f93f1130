//! Request ids, by which a request that is not idempotent runs at most once.

use std::{collections::BTreeMap, time::Duration};

use kingcupford_config::TenantId;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// Length of an epoch.
const EPOCH: Duration = Duration::from_secs(5 * 60);

/// Epochs before the current one whose ids are kept.
const KEPT_EPOCHS: u64 = 2;

/// Longest unique part of an id, which bounds the work for a hostile one.
const MAX_UNIQUE_BYTES: usize = 128;

/// Part of the table that one tenant may fill, so that it cannot keep out the others.
const MAX_TENANT_SHARE: f64 = 0.75;

/// The record of the request ids bound to this process.
#[derive(Debug)]
pub struct RequestIdTable {
    /// Name of this host.
    host: String,
    /// Number of this start of the process.
    incarnation: u64,
    /// When epoch 0 began.
    origin: Instant,
    /// The newest epoch seen; never lowered.
    current: u64,
    /// Most ids kept.
    capacity: usize,
    /// The kept epochs that have ids, oldest first.
    epochs: Vec<Epoch>,
    /// Number of the next run.
    next_run: u64,
}

/// The ids of one epoch.
#[derive(Debug)]
struct Epoch {
    /// Its number.
    number: u64,
    /// Ids by tenant and hash of their unique part. Ids come in random order, for which a sorted
    /// vector would move half of its entries each time.
    ids: BTreeMap<(TenantId, u128), Record>,
    /// Ids per tenant, by tenant key.
    counts: Vec<usize>,
}

/// What is known of an id.
#[derive(Debug, Clone, Copy)]
enum Record {
    /// The run with this number has not ended.
    Running(u64),
    /// It ran and was answered with this HTTP status.
    Executed(u16),
    /// It may have run.
    Unknown,
}

/// Names one run of a request until its end is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunHandle {
    /// The epoch of the id.
    epoch: u64,
    /// The tenant.
    tenant: TenantId,
    /// Hash of the id's unique part.
    unique: u128,
    /// Number of the run, never used twice.
    run: u64,
}

/// What a request id allows.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request may run now; its end must be recorded.
    Run(RunHandle),
    /// An earlier sending is running.
    Running,
    /// An earlier sending ran.
    Executed {
        /// HTTP status of its response.
        status: u16,
    },
    /// An earlier sending may have run.
    Unknown,
    /// Another host records the id; whether the request ran is unknown here.
    Elsewhere {
        /// The name of that host.
        host: String,
    },
    /// The binding has ended; whether the request ran is unknown.
    Void,
    /// The table is full; the request did not run.
    Full,
    /// The text is no id that a process can have bound by now; the request did not run.
    Malformed,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// It ran and was answered.
    Executed {
        /// HTTP status of the response.
        status: u16,
    },
    /// It certainly did not run, so the id may be used again.
    NotRun,
    /// It may have run.
    Unknown,
}

impl RequestIdTable {
    /// A record for one start of a host's process that keeps at most `capacity` ids.
    pub fn new(host: &str, incarnation: u64, capacity: usize, now: Instant) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            origin: now,
            current: 0,
            capacity,
            epochs: Vec::new(),
            next_run: 0,
        }
    }

    /// The binding for ids that callers form now: host name, incarnation and epoch.
    pub fn binding(&self, now: Instant) -> String {
        format!("{}.{}.{}", self.host, self.incarnation, self.epoch(now))
    }

    /// Takes up a request id that came with a tenant's request.
    pub fn begin(&mut self, text: &str, tenant: TenantId, now: Instant) -> BeginResult {
        self.advance(now);
        let Some(id) = ParsedId::parse(text) else { return BeginResult::Malformed };
        if id.host != self.host {
            return BeginResult::Elsewhere { host: id.host.to_owned() };
        }
        if id.incarnation != self.incarnation || id.epoch + KEPT_EPOCHS < self.current {
            return BeginResult::Void;
        }
        if id.epoch > self.current {
            return BeginResult::Malformed;
        }
        let unique = xxh3_128(id.unique.as_bytes());
        let position = self.epochs.binary_search_by_key(&id.epoch, |it| it.number);
        if let Ok(at) = position
            && let Some(record) = self.epochs[at].ids.get(&(tenant, unique))
        {
            return match *record {
                Record::Running(_) => BeginResult::Running,
                Record::Executed(status) => BeginResult::Executed { status },
                Record::Unknown => BeginResult::Unknown,
            };
        }
        if !self.has_room(tenant) {
            return BeginResult::Full;
        }
        let at = position.unwrap_or_else(|at| {
            let epoch = Epoch { number: id.epoch, ids: BTreeMap::new(), counts: Vec::new() };
            self.epochs.insert(at, epoch);
            at
        });
        let run = self.next_run;
        self.next_run += 1;
        self.epochs[at].insert(tenant, unique, run);
        BeginResult::Run(RunHandle { epoch: id.epoch, tenant, unique, run })
    }

    /// Records how a run ended; a run that already ended, or whose epoch is over, stays as it is.
    pub fn finish(&mut self, key: RunHandle, end: RunResult, now: Instant) {
        self.advance(now);
        let Ok(at) = self.epochs.binary_search_by_key(&key.epoch, |it| it.number) else { return };
        let epoch = &mut self.epochs[at];
        let Some(record) = epoch.ids.get_mut(&(key.tenant, key.unique)) else { return };
        if !matches!(record, Record::Running(run) if *run == key.run) {
            return;
        }
        match end {
            RunResult::Executed { status } => *record = Record::Executed(status),
            RunResult::Unknown => *record = Record::Unknown,
            RunResult::NotRun => epoch.remove(key.tenant, key.unique),
        }
    }

    /// Ids kept.
    pub fn len(&self) -> usize {
        self.epochs.iter().map(|it| it.ids.len()).sum()
    }

    /// Whether no id is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The epoch of a time.
    fn epoch(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.origin).as_secs() / EPOCH.as_secs();
        passed.max(self.current)
    }

    /// Forgets the epochs that are over; their bindings are void from now on.
    fn advance(&mut self, now: Instant) {
        self.current = self.epoch(now);
        let current = self.current;
        self.epochs.retain(|it| it.number + KEPT_EPOCHS >= current);
    }

    /// Whether one more id of a tenant fits.
    fn has_room(&self, tenant: TenantId) -> bool {
        let of_tenant: usize = self.epochs.iter().map(|it| it.count(tenant)).sum();
        let tenant_capacity = (self.capacity as f64 * MAX_TENANT_SHARE).ceil() as usize;
        self.len() < self.capacity && of_tenant < tenant_capacity
    }
}

impl Epoch {
    /// Records a run of a new id.
    fn insert(&mut self, tenant: TenantId, unique: u128, run: u64) {
        let index = usize::from(tenant.0);
        if self.counts.len() <= index {
            self.counts.resize(index + 1, 0);
        }
        self.counts[index] += 1;
        self.ids.insert((tenant, unique), Record::Running(run));
    }

    /// Forgets an id that did not run.
    fn remove(&mut self, tenant: TenantId, unique: u128) {
        if self.ids.remove(&(tenant, unique)).is_some() {
            self.counts[usize::from(tenant.0)] -= 1;
        }
    }

    /// Ids of a tenant.
    fn count(&self, tenant: TenantId) -> usize {
        self.counts.get(usize::from(tenant.0)).copied().unwrap_or(0)
    }
}

/// The parts of a request id.
struct ParsedId<'a> {
    /// Name of the host that records it.
    host: &'a str,
    /// Number of that host's start.
    incarnation: u64,
    /// The epoch.
    epoch: u64,
    /// The caller's own part.
    unique: &'a str,
}

impl<'a> ParsedId<'a> {
    /// Splits an id from its end, because host names may contain dots.
    fn parse(text: &'a str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let unique = parts.next()?;
        let epoch = number(parts.next()?)?;
        let incarnation = number(parts.next()?)?;
        let host = parts.next().filter(|it| !it.is_empty())?;
        let is_allowed = |it: u8| it.is_ascii_alphanumeric() || it == b'-' || it == b'_';
        let is_unique = (1..=MAX_UNIQUE_BYTES).contains(&unique.len());
        (is_unique && unique.bytes().all(is_allowed)).then_some(Self {
            host,
            incarnation,
            epoch,
            unique,
        })
    }
}

/// A number written in digits only, as bindings have it.
fn number(text: &str) -> Option<u64> {
    let value = text.bytes().all(|it| it.is_ascii_digit()).then(|| text.parse().ok())??;
    // Leaves room for the comparison with later epochs.
    (value < u64::MAX - KEPT_EPOCHS).then_some(value)
}
