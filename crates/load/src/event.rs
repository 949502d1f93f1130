//! What happens in a run.

use kingcupford_engine::{LookupAnswer, Message, Refusal};

use crate::{
    platform::{Answer, Call},
    upstream::ExecutionId,
};

/// Number of a caller's operation.
pub(crate) type OpId = usize;

/// Number of one sending of an operation to an entry host.
pub(crate) type SendingId = usize;

/// Number of an entry host.
pub(crate) type HostIndex = usize;

/// One start of a host's process; events for an earlier one are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Process {
    /// The host.
    pub(crate) host: HostIndex,
    /// Number of the start.
    pub(crate) start: u32,
}

/// Something that happens at a time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A demand produces its next operation.
    Demand {
        /// The demand.
        demand: usize,
        /// The tenant.
        tenant: usize,
    },
    /// A poison request is sent again.
    Poison {
        /// The fault that declares it.
        fault: usize,
    },
    /// A lookup reaches a host.
    LookupAtHost {
        /// Where.
        to: Process,
        /// The asking operation.
        op: OpId,
    },
    /// The answer of a lookup reaches its caller, `None` when there is none.
    LookupAnswered {
        /// The asking operation.
        op: OpId,
        /// The answer.
        answer: Option<LookupAnswer>,
    },
    /// An operation is sent again.
    Repeat {
        /// The operation.
        op: OpId,
    },
    /// A sending reaches its host.
    AtHost {
        /// Where.
        to: Process,
        /// The sending.
        sending: SendingId,
    },
    /// A sending asks again to be admitted.
    Admit {
        /// Where.
        to: Process,
        /// The sending.
        sending: SendingId,
    },
    /// A sending asks again for an instance.
    Start {
        /// Where.
        to: Process,
        /// The sending.
        sending: SendingId,
    },
    /// An attempt reaches its instance.
    AtUpstream {
        /// The execution to be.
        execution: ExecutionId,
    },
    /// An execution ends unless it was cancelled.
    ExecutionEnds {
        /// The execution.
        execution: ExecutionId,
    },
    /// The host's cancellation reaches the instance.
    ExecutionCancelled {
        /// The execution.
        execution: ExecutionId,
    },
    /// The end of an attempt reaches its host.
    AttemptEnds {
        /// Where.
        to: Process,
        /// The sending.
        sending: SendingId,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        end: UpstreamEnd,
    },
    /// A caller learns what became of a sending.
    AtCaller {
        /// The sending.
        sending: SendingId,
        /// What became of it.
        result: SendingResult,
    },
    /// A caller stops waiting for a sending.
    CallerGivesUp {
        /// The sending.
        sending: SendingId,
    },
    /// The caller's cancellation reaches the host.
    CancelAtHost {
        /// Where.
        to: Process,
        /// The sending.
        sending: SendingId,
    },
    /// A host's policy ticks.
    Tick {
        /// Where.
        to: Process,
    },
    /// A message reaches a host.
    Message {
        /// The sender.
        from: HostIndex,
        /// Where.
        to: Process,
        /// The message.
        message: Box<Message>,
    },
    /// A host learns that a connection to a peer failed.
    StreamFailed {
        /// Where.
        to: Process,
        /// The peer.
        peer: HostIndex,
    },
    /// A host checks for writes that are due.
    WriteCheck {
        /// Where.
        to: Process,
    },
    /// A host follows the platform's objects.
    Follow {
        /// Where.
        to: Process,
    },
    /// A host reads the list of hosts.
    ReadHosts {
        /// Where.
        to: Process,
    },
    /// A host announces itself.
    Announce {
        /// Where.
        to: Process,
    },
    /// A call reaches the platform.
    AtPlatform {
        /// The caller.
        from: Process,
        /// The call.
        call: Box<Call>,
    },
    /// A watch that saw no change ends.
    WatchEnds {
        /// The caller.
        from: Process,
        /// Number of the watch.
        watch: u64,
    },
    /// The platform's answer reaches a host.
    PlatformAnswers {
        /// Where.
        to: Process,
        /// The answer.
        answer: Box<Answer>,
    },
    /// A fault begins.
    FaultBegins {
        /// Its number.
        fault: usize,
    },
    /// A fault ends.
    FaultEnds {
        /// Its number.
        fault: usize,
    },
    /// A step of a rolling replacement.
    Replace {
        /// The fault that declares it.
        fault: usize,
        /// The host that is next.
        host: HostIndex,
    },
    /// A step of a graceful shutdown.
    Shutdown {
        /// Where.
        to: Process,
        /// What was done before.
        phase: ShutdownPhase,
        /// The replacement that goes on afterwards.
        fault: usize,
        /// When the rest is cut.
        cut_us: u64,
    },
    /// A host's process starts.
    HostStarts {
        /// The host.
        host: HostIndex,
    },
    /// An instance's process starts.
    InstanceStarts {
        /// The instance.
        instance: usize,
    },
    /// Operators try a change again that the platform did not take.
    OperatorRetries {
        /// The fault that declares it.
        fault: usize,
        /// Whether the fault ends.
        ends: bool,
    },
    /// The observer looks at all hosts.
    Sample,
}

/// Steps of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ShutdownPhase {
    /// Lookups stop naming the host.
    Notice,
    /// The listener is closed, running requests finish.
    Finish,
    /// The share is handed back.
    HandBack,
}

/// How an attempt ended at the instance or on the way to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamEnd {
    /// It was answered.
    Answered {
        /// Whether with a server error.
        failed: bool,
        /// Whether the instance said that it drains.
        draining: bool,
    },
    /// The instance refused it.
    Shed {
        /// Whether the instance said that it drains.
        draining: bool,
    },
    /// No connection could be opened.
    Refused,
    /// The connection broke.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// What a caller learns about a sending.
#[derive(Debug, Clone)]
pub(crate) enum SendingResult {
    /// The instance's answer.
    Executed {
        /// Whether with a server error.
        failed: bool,
    },
    /// The host refused or failed it.
    Refused(Refusal),
    /// No connection to the host could be opened.
    NotSent,
    /// The connection to the host broke.
    Broken,
}

impl Event {
    /// The process that handles the event, which waits while it is paused.
    pub(crate) fn process(&self) -> Option<Process> {
        match self {
            Self::LookupAtHost { to, .. }
            | Self::AtHost { to, .. }
            | Self::Admit { to, .. }
            | Self::Start { to, .. }
            | Self::AttemptEnds { to, .. }
            | Self::CancelAtHost { to, .. }
            | Self::Tick { to }
            | Self::Message { to, .. }
            | Self::StreamFailed { to, .. }
            | Self::WriteCheck { to }
            | Self::Follow { to }
            | Self::ReadHosts { to }
            | Self::Announce { to }
            | Self::PlatformAnswers { to, .. }
            | Self::Shutdown { to, .. } => Some(*to),
            _ => None,
        }
    }
}
