//! Events of the simulation.

use kingcupford_engine::{LookupAnswer, Message, Refusal};

use crate::{
    platform::{Answer, Call},
    upstream::ExecutionIndex,
};

/// Index of a caller's operation.
pub(crate) type OperationIndex = usize;

/// Index of a request to an entry host.
pub(crate) type RequestIndex = usize;

/// Index of an entry host.
pub(crate) type HostIndex = usize;

/// Process of a host; events for an earlier process of the host are undeliverable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ProcessId {
    pub(crate) host: HostIndex,
    /// Number of the process start, from 1.
    pub(crate) generation: u32,
}

/// Scheduled event.
#[derive(Debug)]
pub(crate) enum Event {
    /// A demand starts its next operation.
    OperationDue { demand: usize, team: usize },
    /// The next poison request is due.
    PoisonDue {
        /// Index of the declaring fault.
        fault: usize,
    },
    /// A lookup arrives at a host.
    LookupArrived { to: ProcessId, op: OperationIndex },
    /// The answer of a lookup arrives at its caller.
    LookupAnswered {
        op: OperationIndex,
        /// Answer, `None` if the lookup failed.
        answer: Option<LookupAnswer>,
    },
    /// An operation is to be sent again.
    ResendDue { op: OperationIndex },
    /// A request arrives at its host.
    RequestArrived { to: ProcessId, request: RequestIndex },
    /// The admission of a waiting request is retried.
    AdmissionDue { to: ProcessId, request: RequestIndex },
    /// The selection of an instance for a waiting request is retried.
    SelectionDue { to: ProcessId, request: RequestIndex },
    /// An attempt arrives at its instance.
    AttemptArrived { execution: ExecutionIndex },
    /// An execution ends, unless it was cancelled before.
    ExecutionEnded { execution: ExecutionIndex },
    /// The cancellation of an execution arrives at the instance.
    ExecutionCancelled { execution: ExecutionIndex },
    /// The end of an attempt arrives at its host.
    AttemptEnded {
        to: ProcessId,
        request: RequestIndex,
        /// Number of the attempt within its request, from 1.
        attempt_number: u32,
        end: AttemptEnd,
    },
    /// The result of a request arrives at its caller.
    ResultArrived { request: RequestIndex, result: RequestResult },
    /// The timeout of a caller for a request expires.
    CallerTimedOut { request: RequestIndex },
    /// The cancellation of a request arrives at the host.
    CancellationArrived { to: ProcessId, request: RequestIndex },
    /// A tick of a host's engine is due.
    TickDue { to: ProcessId },
    /// A peer message arrives at a host.
    MessageArrived { from: HostIndex, to: ProcessId, message: Box<Message> },
    /// A host notices that a connection to a peer failed.
    StreamFailed { to: ProcessId, peer: HostIndex },
    /// A host checks for due writes to the platform.
    WriteCheckDue { to: ProcessId },
    /// A host reads or watches the platform's objects.
    FollowDue { to: ProcessId },
    /// A host reads the list of hosts.
    HostListDue { to: ProcessId },
    /// A host announces itself.
    AnnouncementDue { to: ProcessId },
    /// A call arrives at the platform.
    PlatformCallArrived { from: ProcessId, call: Box<Call> },
    /// A watch times out without a change.
    WatchTimedOut { from: ProcessId, watch: u64 },
    /// An answer of the platform arrives at a host.
    PlatformAnswered { to: ProcessId, answer: Box<Answer> },
    /// A fault begins.
    FaultStartDue { fault: usize },
    /// A fault ends.
    FaultEndDue { fault: usize },
    /// The next host of a rolling replacement is due.
    ReplacementDue {
        /// Index of the declaring fault.
        fault: usize,
        host: HostIndex,
    },
    /// The next step of a graceful shutdown is due.
    ShutdownStepDue {
        to: ProcessId,
        phase: ShutdownPhase,
        /// Index of the fault that declares the rolling replacement.
        fault: usize,
        /// Time at which the current phase ends at the latest.
        deadline_us: u64,
    },
    /// A host's process starts.
    HostStartDue { host: HostIndex },
    /// An instance's process starts.
    InstanceStartDue { instance: usize },
    /// Operators retry a change that the platform did not accept.
    OperatorRetryDue {
        /// Index of the declaring fault.
        fault: usize,
        /// Whether the change is the end of the fault instead of its start.
        is_end: bool,
    },
    /// The configurations of all hosts are checked.
    SampleDue,
}

/// Phases of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// Lookups no longer return the host, which still accepts requests.
    DrainNotice,
    /// The listener is closed while running requests finish.
    FinishRequests,
    /// Shares are handed over to other hosts.
    Handover,
}

/// End of an attempt as its host sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The instance sent a response.
    Answered {
        /// Whether the response is a server error.
        failed: bool,
        /// Whether the instance reported that it is draining.
        draining: bool,
    },
    /// The instance refused the request.
    Shed {
        /// Whether the instance reported that it is draining.
        draining: bool,
    },
    /// No connection to the instance could be opened.
    ConnectFailed,
    /// The connection to the instance was lost.
    ConnectionLost,
    /// The deadline passed.
    TimedOut,
}

/// Result of a request as its caller sees it.
#[derive(Debug, Clone)]
pub(crate) enum RequestResult {
    /// The instance's response.
    Executed {
        /// Whether the response is a server error.
        failed: bool,
    },
    /// The host refused the request, or failed to get a response.
    Refused(Refusal),
    /// No connection to the host could be opened.
    ConnectFailed,
    /// The connection to the host was lost.
    ConnectionLost,
}

impl Event {
    /// Returns the process that handles the event; while the process is paused, the event is
    /// deferred.
    pub(crate) fn process(&self) -> Option<ProcessId> {
        match self {
            Self::LookupArrived { to, .. }
            | Self::RequestArrived { to, .. }
            | Self::AdmissionDue { to, .. }
            | Self::SelectionDue { to, .. }
            | Self::AttemptEnded { to, .. }
            | Self::CancellationArrived { to, .. }
            | Self::TickDue { to }
            | Self::MessageArrived { to, .. }
            | Self::StreamFailed { to, .. }
            | Self::WriteCheckDue { to }
            | Self::FollowDue { to }
            | Self::HostListDue { to }
            | Self::AnnouncementDue { to }
            | Self::PlatformAnswered { to, .. }
            | Self::ShutdownStepDue { to, .. } => Some(*to),
            _ => None,
        }
    }
}
