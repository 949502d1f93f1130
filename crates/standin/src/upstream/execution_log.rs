//! Log of the requests that ran, from which tests count executions.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Length of the log, so that tests of whole fleets can read all records before the oldest are
/// dropped.
const MAX_RECORDS: usize = 100_000;

/// One request that started to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// Number of the request on this instance, starting at 1.
    pub sequence: u64,
    /// Value of the header `x-request-tag`.
    pub tag: Option<String>,
    /// Value of the header `kingcupford-team`.
    #[serde(rename = "tenant")]
    pub team: Option<String>,
    /// HTTP method.
    pub method: String,
    /// URI of the request, with its query.
    pub path: String,
    /// State of the execution when the record was read.
    pub state: ExecutionState,
}

/// State of an execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionState {
    /// The request still runs.
    Running,
    /// The request ended and its whole response was passed to the HTTP server.
    Executed,
    /// The request ran and failed because of a version fault.
    Failed,
    /// The request was stopped because its connection ended.
    Cancelled,
    /// The request was stopped at its deadline.
    DeadlineExceeded,
    /// The request crashed the instance.
    Crashed,
}

/// Latest executions of an instance.
#[derive(Debug, Default)]
pub(crate) struct ExecutionLog {
    last_sequence: u64,
    /// Latest records, oldest first, with consecutive sequence numbers.
    records: VecDeque<ExecutionRecord>,
}

impl ExecutionLog {
    /// Assigns the next sequence number to `record`, appends it and returns the number.
    pub(crate) fn record_start(&mut self, mut record: ExecutionRecord) -> u64 {
        self.last_sequence += 1;
        record.sequence = self.last_sequence;
        self.records.push_back(record);
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
        self.last_sequence
    }

    /// Sets the state of an execution that is still in the log.
    pub(crate) fn set_state(&mut self, sequence: u64, state: ExecutionState) {
        let first_sequence = self.last_sequence + 1 - self.records.len() as u64;
        let Some(index) = sequence.checked_sub(first_sequence) else { return };
        if let Some(record) = self.records.get_mut(index as usize) {
            record.state = state;
        }
    }

    /// Returns the records with a sequence number above `sequence`.
    pub(crate) fn after(&self, sequence: u64) -> Vec<ExecutionRecord> {
        self.records.iter().filter(|it| it.sequence > sequence).cloned().collect()
    }
}
