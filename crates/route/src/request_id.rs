//! Request ids, by which a request that is not idempotent runs at most once.

use kingcupford_config::TenantId;
use tokio::time::Instant;

/// The record of the request ids bound to this process.
#[derive(Debug)]
pub struct RequestIds {
    /// Name of this host.
    host: String,
    /// Number of this start of the process.
    incarnation: u64,
}

/// Names one run of a request until its end is recorded.
#[derive(Debug, PartialEq, Eq)]
pub struct RequestKey {
    /// Number of the run, never used twice.
    run: u64,
}

/// What a request id allows.
#[derive(Debug, PartialEq, Eq)]
pub enum Begin {
    /// The request may run now; its end must be recorded.
    Run(RequestKey),
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
    /// The text is no id that this process can have bound; the request did not run.
    Malformed,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
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

impl RequestIds {
    /// A record for one start of a host's process that keeps at most `capacity` ids.
    pub fn new(host: &str, incarnation: u64, capacity: usize, now: Instant) -> Self {
        let _ = (capacity, now);
        Self { host: host.to_owned(), incarnation }
    }

    /// The binding for ids that callers form now: host name, incarnation and epoch.
    pub fn binding(&self, now: Instant) -> String {
        let _ = now;
        format!("{}.{}.0", self.host, self.incarnation)
    }

    /// Takes up a request id that came with a tenant's request.
    pub fn begin(&mut self, text: &str, tenant: TenantId, now: Instant) -> Begin {
        let _ = (text, tenant, now);
        Begin::Malformed
    }

    /// Records how a run ended.
    pub fn end(&mut self, key: RequestKey, end: End, now: Instant) {
        let _ = (key, end, now);
    }
}
