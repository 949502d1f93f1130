//! Inputs and results of the engine's decisions about a request.

use std::{net::IpAddr, time::Duration};

use kingcupford_config::{CallerKey, InstanceId, RegionId, RouteId, ServiceId, TeamId, VersionId};
use kingcupford_rollout::VersionPick;
use kingcupford_route::{AttemptOutcome, Fingerprint, Outcome};
use strum::{Display, EnumIter, IntoStaticStr};
use tokio::time::Instant;

/// Parts of a request on which admission depends.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Name of the service, the first segment of the path.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Path after the service segment, with its query; starts with `/`.
    pub path: String,
    /// IP address of the caller.
    pub client: IpAddr,
    /// API key that came with the request.
    pub key: PresentedKey,
    /// Text of the request id header.
    pub request_id: Option<String>,
    /// Declared length of the body in bytes.
    pub content_length: Option<u64>,
    /// First bytes of a small body, which are part of the fingerprint.
    pub first_bytes: Vec<u8>,
    /// Time from the arrival to the caller's deadline; the timeout of the route applies as well.
    pub timeout: Option<Duration>,
    /// Time of the request's arrival.
    pub arrived: Instant,
}

/// API key that came with a request.
#[derive(Debug, Clone)]
pub enum PresentedKey {
    /// The request has no key.
    Missing,
    /// The header does not hold a key.
    Malformed,
    /// A well-formed key, which may be unknown or revoked.
    Key(CallerKey),
}

/// Identifies an admitted request until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(
    /// Sequence number of the request on this host; never reused by a process.
    pub u64,
);

/// Result of [`Engine::admit`](crate::Engine::admit).
#[derive(Debug)]
pub enum Admission {
    /// The request is admitted and can be started.
    Admitted(Ticket),
    /// The team's tokens are exhausted or the host is catching up after a pause; the call must be
    /// repeated.
    Wait {
        /// Time of the next call.
        until: Instant,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Result of [`Engine::start_attempt`](crate::Engine::start_attempt).
#[derive(Debug)]
pub enum StartOutcome {
    /// The request must be sent to an instance.
    Attempt(Attempt),
    /// No slot is free. The call must be repeated when
    /// [`Engine::ready_tickets`](crate::Engine::ready_tickets) yields the ticket.
    Wait {
        /// Time at which the call must be repeated at the latest.
        until: Instant,
    },
    /// The request is refused and its ticket is no longer valid.
    Refused(Refusal),
}

/// Attempt to run a request on one instance.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Instance to which the request is sent.
    pub instance: InstanceId,
    /// Version that the instance runs.
    pub version: VersionId,
    /// Service of the request.
    pub service: ServiceId,
    /// Route of the request.
    pub route: RouteId,
    /// Team of the request, `None` on open routes.
    pub team: Option<TeamId>,
    /// Region of the instance.
    pub region: RegionId,
    /// Time at which the whole request must have ended.
    pub deadline: Instant,
    /// Whether the request may be sent again after a byte of it may have reached an upstream.
    pub idempotent: bool,
    /// Fingerprint of the request, equal for repeated requests with the same content.
    pub fingerprint: Fingerprint,
    /// Choice between the old and the new version, `None` without a rollout and for retries.
    pub pick: Option<VersionPick>,
}

/// Result of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// HTTP status of the response, `None` if no response head arrived.
    pub status: Option<u16>,
    /// Whether a byte of the request may have reached the upstream.
    pub byte_sent: bool,
    /// Whether the upstream reported that it is draining.
    pub draining: bool,
    /// Time until the response head arrived or the attempt failed.
    pub latency: Duration,
}

/// Result of [`Engine::finish_attempt`](crate::Engine::finish_attempt).
#[derive(Debug)]
pub enum FinishOutcome {
    /// The request has ended.
    Done,
    /// The request must be started again with the same ticket, on another instance.
    Retry(Ticket),
    /// The request has ended with a failure that is reported to the caller.
    Failed(Refusal),
}

/// Reason for which a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The first segment of the path names no service.
    UnknownService,
    /// No route of the service matches the method and the path.
    UnknownRoute,
    /// The route requires a key and the request has none.
    KeyMissing,
    /// The key is malformed, unknown or revoked.
    KeyInvalid,
    /// This host is isolated, and the team's setting refuses requests then.
    KeyUnconfirmed,
    /// The tokens of the team's rate cap are exhausted.
    #[strum(serialize = "tenant-rate")]
    TeamRate,
    /// The team has too many waiting requests.
    #[strum(serialize = "tenant-queue-full")]
    TeamQueueFull,
    /// No slot became free in time, or the upstream shed the request.
    ServiceBusy,
    /// The service has no healthy instance that accepts work.
    NoUpstream,
    /// The fingerprint of the request is quarantined because upstreams were lost while they ran it.
    Quarantined,
    /// The route requires a request id and the request has none.
    RequestIdMissing,
    /// The request id is malformed.
    RequestIdMalformed,
    /// A request with this id is running.
    RequestIdRunning,
    /// An earlier request with this id ran.
    RequestIdExecuted,
    /// An earlier request with this id may have run.
    RequestIdUnknown,
    /// The request id is bound to another host.
    RequestIdElsewhere,
    /// The binding of the request id has expired or belongs to another start of the process.
    RequestIdVoid,
    /// The table of request ids has no capacity left.
    RequestIdsFull,
    /// The deadline of the request passed.
    DeadlinePassed,
    /// The connection to the upstream failed.
    UpstreamFailed,
    /// This host has no configuration yet or is catching up after a pause of its process.
    NotReady,
    /// This host ends before the deadline of the request.
    ShuttingDown,
    /// The request is malformed.
    BadRequest,
}

/// Refusal or failure of a request, as reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason of the refusal, reported by its kebab-case name.
    pub reason: RefusalReason,
    /// Time after which a repeated request may succeed.
    pub retry_after: Option<Duration>,
    /// Name and addresses of the host to use instead, HTTP status of the earlier execution, or what
    /// is wrong with a malformed request.
    pub detail: Option<String>,
    /// Binding with which the caller can form new request ids.
    pub binding: Option<String>,
}

impl Refusal {
    /// Creates the refusal of a request that did not run.
    pub fn new(reason: RefusalReason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: None, detail: None, binding: None }
    }

    /// Sets whether the request ran.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the time after which a repeated request may succeed.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Sets the detail.
    pub fn with_detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Sets the binding with which the caller can form new request ids.
    pub fn with_binding(mut self, binding: String) -> Self {
        self.binding = Some(binding);
        self
    }
}
