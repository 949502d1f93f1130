//! The log of requests that ran, by which tests count executions.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Entries kept; tests of whole fleets read the log before it overflows.
const KEPT_EXECUTIONS: usize = 100_000;

/// One request that started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Number of the request on this instance, from 1.
    pub sequence: u64,
    /// Value of `x-request-tag`.
    pub tag: Option<String>,
    /// Value of `kingcupford-tenant`.
    pub tenant: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// How far it came.
    pub state: ExecutionState,
}

/// How far an execution came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionState {
    /// It still runs.
    Running,
    /// It ended and its whole response was handed to the connection.
    Executed,
    /// It ended with a failure of the version.
    Failed,
    /// It was stopped because its connection was dropped.
    Cancelled,
    /// It was stopped at its deadline.
    DeadlineExceeded,
    /// It crashed the instance.
    Crashed,
}

/// The newest executions.
#[derive(Debug, Default)]
pub(crate) struct Executions {
    /// Number of the last one.
    last: u64,
    /// The newest ones, oldest first, with consecutive numbers.
    records: VecDeque<ExecutionRecord>,
}

impl Executions {
    /// Records a start and answers its number.
    pub(crate) fn start(&mut self, mut record: ExecutionRecord) -> u64 {
        self.last += 1;
        record.sequence = self.last;
        self.records.push_back(record);
        if self.records.len() > KEPT_EXECUTIONS {
            self.records.pop_front();
        }
        self.last
    }

    /// Changes the state of an execution that is still kept.
    pub(crate) fn set(&mut self, sequence: u64, state: ExecutionState) {
        let first = self.last + 1 - self.records.len() as u64;
        let Some(at) = sequence.checked_sub(first) else { return };
        if let Some(record) = self.records.get_mut(at as usize) {
            record.state = state;
        }
    }

    /// The kept executions after a number.
    pub(crate) fn after(&self, sequence: u64) -> Vec<ExecutionRecord> {
        self.records.iter().filter(|it| it.sequence > sequence).cloned().collect()
    }
}
