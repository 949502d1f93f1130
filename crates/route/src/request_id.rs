//! Request ids, which make a non-idempotent request run at most once.

use std::{collections::BTreeMap, time::Duration};

use kingcupford_config::TeamId;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// Length of an epoch, the unit in which ids expire.
const EPOCH_DURATION: Duration = Duration::from_secs(5 * 60);

/// Number of epochs before the current one whose ids are retained.
const RETAINED_EPOCHS: u64 = 2;

/// Maximum length of the caller-chosen part of an id, which bounds the work for a hostile one.
const MAX_UNIQUE_BYTES: usize = 128;

/// Fraction of the table that one team may fill, so that it cannot lock out the others.
const MAX_TEAM_FRACTION: f64 = 0.75;

/// Table of the request ids that are bound to this process, with the state of their runs.
///
/// The text of an id is `<host>.<incarnation>.<epoch>.<unique>`. The first three parts are the
/// binding, which a process hands out with [`RequestIdTable::binding`]; the caller chooses the last
/// one. Ids are retained for the epoch of their binding and the two epochs after it.
#[derive(Debug)]
pub struct RequestIdTable {
    host: String,
    /// Number of this start of the host's process.
    incarnation: u64,
    /// Start of epoch 0.
    origin: Instant,
    /// Newest epoch seen; never decreases.
    current_epoch: u64,
    /// Maximum number of ids retained.
    capacity: usize,
    /// Retained epochs that have ids, oldest first.
    epochs: Vec<Epoch>,
    /// Number of the next run.
    next_run: u64,
}

/// Ids of one epoch.
#[derive(Debug)]
struct Epoch {
    number: u64,
    /// Runs by team and hash of the id's unique part. Ids arrive in random order, for which a
    /// sorted vector would move half of its entries on each insertion.
    runs: BTreeMap<(TeamId, u128), RunState>,
    /// Number of ids per team, indexed by team id.
    team_counts: Vec<usize>,
}

/// State of the run of an id.
#[derive(Debug, Clone, Copy)]
enum RunState {
    /// The run with this number has not ended.
    Running(u64),
    /// The request ran and was answered with this HTTP status.
    Executed(u16),
    /// The request may have run.
    Unknown,
}

/// Handle to one run of a request, with which its result is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunHandle {
    epoch: u64,
    team: TeamId,
    /// Hash of the id's unique part.
    unique_hash: u128,
    /// Number of the run; never used twice.
    run: u64,
}

/// Answer to a request that carries a request id.
#[derive(Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The request may run now; its result must be recorded with [`RequestIdTable::finish`].
    Run(RunHandle),
    /// An earlier request with this id is still running.
    Running,
    /// An earlier request with this id ran.
    Executed {
        /// HTTP status of its response.
        status: u16,
    },
    /// An earlier request with this id may have run.
    Unknown,
    /// The id is bound to another host; whether the request ran is unknown here.
    Elsewhere {
        /// Name of that host.
        host: String,
    },
    /// The binding has expired or belongs to another start of the process; whether the request ran
    /// is unknown.
    Void,
    /// The table has no capacity left; the request did not run.
    Full,
    /// The text is not an id that a process can have bound so far; the request did not run.
    Malformed,
}

/// Result of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// The request ran and was answered.
    Executed {
        /// HTTP status of the response.
        status: u16,
    },
    /// The request certainly did not run, so the id may be used again.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl RequestIdTable {
    /// Creates the table of one start of a host's process, which retains at most `capacity` ids.
    pub fn new(host: &str, incarnation: u64, capacity: usize, now: Instant) -> Self {
        Self {
            host: host.to_owned(),
            incarnation,
            origin: now,
            current_epoch: 0,
            capacity,
            epochs: Vec::new(),
            next_run: 0,
        }
    }

    /// Returns the binding for ids that callers form now: `<host>.<incarnation>.<epoch>`.
    pub fn binding(&self, now: Instant) -> String {
        format!("{}.{}.{}", self.host, self.incarnation, self.epoch(now))
    }

    /// Looks up the id of a team's request and starts a run if the id is new.
    pub fn begin(&mut self, text: &str, team: TeamId, now: Instant) -> BeginResult {
        self.advance(now);
        let Some(id) = ParsedId::parse(text) else { return BeginResult::Malformed };
        if id.host != self.host {
            return BeginResult::Elsewhere { host: id.host.to_owned() };
        }
        if id.incarnation != self.incarnation || id.epoch + RETAINED_EPOCHS < self.current_epoch {
            return BeginResult::Void;
        }
        if id.epoch > self.current_epoch {
            return BeginResult::Malformed;
        }
        let unique_hash = xxh3_128(id.unique.as_bytes());
        let position = self.epochs.binary_search_by_key(&id.epoch, |it| it.number);
        if let Ok(index) = position
            && let Some(state) = self.epochs[index].runs.get(&(team, unique_hash))
        {
            return match *state {
                RunState::Running(_) => BeginResult::Running,
                RunState::Executed(status) => BeginResult::Executed { status },
                RunState::Unknown => BeginResult::Unknown,
            };
        }
        if !self.has_capacity(team) {
            return BeginResult::Full;
        }
        let index = position.unwrap_or_else(|index| {
            let number = id.epoch;
            let epoch = Epoch { number, runs: BTreeMap::new(), team_counts: Vec::new() };
            self.epochs.insert(index, epoch);
            index
        });
        let run = self.next_run;
        self.next_run += 1;
        self.epochs[index].insert(team, unique_hash, run);
        BeginResult::Run(RunHandle { epoch: id.epoch, team, unique_hash, run })
    }

    /// Records the result of a run. Has no effect if the run already has a result or its epoch has
    /// expired.
    pub fn finish(&mut self, handle: RunHandle, result: RunResult, now: Instant) {
        self.advance(now);
        let position = self.epochs.binary_search_by_key(&handle.epoch, |it| it.number);
        let Ok(index) = position else { return };
        let epoch = &mut self.epochs[index];
        let Some(state) = epoch.runs.get_mut(&(handle.team, handle.unique_hash)) else { return };
        if !matches!(state, RunState::Running(run) if *run == handle.run) {
            return;
        }
        match result {
            RunResult::Executed { status } => *state = RunState::Executed(status),
            RunResult::Unknown => *state = RunState::Unknown,
            RunResult::NotRun => epoch.remove(handle.team, handle.unique_hash),
        }
    }

    /// Returns the number of ids retained.
    pub fn len(&self) -> usize {
        self.epochs.iter().map(|it| it.runs.len()).sum()
    }

    /// Returns whether no id is retained.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the epoch at `now`, at least the newest one seen.
    fn epoch(&self, now: Instant) -> u64 {
        let elapsed_epochs =
            now.saturating_duration_since(self.origin).as_secs() / EPOCH_DURATION.as_secs();
        elapsed_epochs.max(self.current_epoch)
    }

    /// Moves to the epoch at `now` and drops expired epochs, whose bindings become void.
    fn advance(&mut self, now: Instant) {
        self.current_epoch = self.epoch(now);
        let current_epoch = self.current_epoch;
        self.epochs.retain(|it| it.number + RETAINED_EPOCHS >= current_epoch);
    }

    /// Returns whether the table can hold one more id of a team.
    fn has_capacity(&self, team: TeamId) -> bool {
        let team_count: usize = self.epochs.iter().map(|it| it.team_count(team)).sum();
        let team_capacity = (self.capacity as f64 * MAX_TEAM_FRACTION).ceil() as usize;
        self.len() < self.capacity && team_count < team_capacity
    }
}

impl Epoch {
    /// Adds the run of a new id.
    fn insert(&mut self, team: TeamId, unique_hash: u128, run: u64) {
        let index = usize::from(team.0);
        if self.team_counts.len() <= index {
            self.team_counts.resize(index + 1, 0);
        }
        self.team_counts[index] += 1;
        self.runs.insert((team, unique_hash), RunState::Running(run));
    }

    /// Removes an id whose request did not run.
    fn remove(&mut self, team: TeamId, unique_hash: u128) {
        if self.runs.remove(&(team, unique_hash)).is_some() {
            self.team_counts[usize::from(team.0)] -= 1;
        }
    }

    fn team_count(&self, team: TeamId) -> usize {
        self.team_counts.get(usize::from(team.0)).copied().unwrap_or(0)
    }
}

/// Parts of a request id.
struct ParsedId<'a> {
    /// Name of the host that issued the binding.
    host: &'a str,
    /// Number of that host's process start.
    incarnation: u64,
    epoch: u64,
    /// Part chosen by the caller.
    unique: &'a str,
}

impl<'a> ParsedId<'a> {
    /// Splits an id from its end, because host names may contain dots.
    fn parse(text: &'a str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let unique = parts.next()?;
        let epoch = parse_number(parts.next()?)?;
        let incarnation = parse_number(parts.next()?)?;
        let host = parts.next().filter(|it| !it.is_empty())?;
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        let has_valid_length = (1..=MAX_UNIQUE_BYTES).contains(&unique.len());
        (has_valid_length && unique.bytes().all(is_allowed)).then_some(Self {
            host,
            incarnation,
            epoch,
            unique,
        })
    }
}

/// Parses a number written in ASCII digits only, the form that bindings use.
fn parse_number(text: &str) -> Option<u64> {
    let value = text.bytes().all(|it| it.is_ascii_digit()).then(|| text.parse().ok())??;
    // The bound keeps `epoch + RETAINED_EPOCHS` from overflowing.
    (value < u64::MAX - RETAINED_EPOCHS).then_some(value)
}
