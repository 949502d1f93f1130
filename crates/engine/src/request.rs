//! What the engine is told about a request and what it answers.

use std::{net::IpAddr, time::Duration};

use kingcupford_config::{
    CallerKey, InstanceId, RegionId, RouteId, ServiceId, TenantId, VersionId,
};
use kingcupford_rollout::VersionPick;
use kingcupford_route::{AttemptOutcome, Fingerprint, Outcome};
use strum::{Display, EnumIter, IntoStaticStr};
use tokio::time::Instant;

/// The parts of a request that decisions depend on.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// First segment of the path.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// The rest of the path with its query, starting with `/`.
    pub path: String,
    /// Address of the caller, which decides the home region.
    pub client: IpAddr,
    /// The key that came with the request.
    pub key: PresentedKey,
    /// Text of the request id header.
    pub request_id: Option<String>,
    /// Declared length of the body.
    pub content_length: Option<u64>,
    /// First bytes of a small body, part of the fingerprint.
    pub first_bytes: Vec<u8>,
    /// Time that the caller is willing to wait.
    pub timeout: Option<Duration>,
    /// When the request arrived.
    pub arrived: Instant,
}

/// The key that came with a request.
#[derive(Debug, Clone)]
pub enum PresentedKey {
    /// No key came.
    Missing,
    /// The header does not hold a key.
    Malformed,
    /// A key of the right form.
    Key(CallerKey),
}

/// Identifies an admitted request until it is finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(
    /// Number of the request on this host.
    pub u64,
);

/// Answer to a request that asks to be admitted.
#[derive(Debug)]
pub enum Admission {
    /// The request may be started.
    Admitted(Ticket),
    /// The tenant's bucket is empty and a loan is pending; ask again at the given time.
    Wait {
        /// When to ask again.
        until: Instant,
    },
    /// The request is refused.
    Refused(Refusal),
}

/// Answer to an admitted request that asks for an instance.
#[derive(Debug)]
pub enum StartOutcome {
    /// Send the request.
    Attempt(Attempt),
    /// No slot is free; ask again at the given time or when woken.
    Wait {
        /// When to ask again.
        until: Instant,
    },
    /// The request is refused; the ticket is void.
    Refused(Refusal),
}

/// One sending of a request to one instance.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    /// The request.
    pub ticket: Ticket,
    /// Where it is sent.
    pub instance: InstanceId,
    /// The version that the instance runs.
    pub version: VersionId,
    /// The service.
    pub service: ServiceId,
    /// The route.
    pub route: RouteId,
    /// The tenant, `None` on open routes.
    pub tenant: Option<TenantId>,
    /// The region of the instance.
    pub region: RegionId,
    /// When the whole request must be finished.
    pub deadline: Instant,
    /// Whether it may be sent again after a byte may have reached an upstream.
    pub idempotent: bool,
    /// Identifies repeated sendings of the same content.
    pub fingerprint: Fingerprint,
    /// The choice between old and new version, while a rollout runs.
    pub pick: Option<VersionPick>,
}

/// How a sending ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptResult {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// HTTP status, when an answer came.
    pub status: Option<u16>,
    /// Whether a byte may have reached the upstream.
    pub byte_sent: bool,
    /// Whether the upstream said that it drains.
    pub draining: bool,
    /// Time to the answer's head, or to the failure.
    pub latency: Duration,
}

/// What follows a sending.
#[derive(Debug)]
pub enum FinishOutcome {
    /// The request is finished.
    Done,
    /// Ask for another instance with the same ticket.
    Retry(Ticket),
    /// The request is finished and the caller gets a failure.
    Failed(Refusal),
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalReason {
    /// The first path segment names no service.
    UnknownService,
    /// No route of the service matches.
    UnknownRoute,
    /// The route needs a key and none came.
    KeyMissing,
    /// The key has the wrong form, is unknown or was revoked.
    KeyInvalid,
    /// This host is isolated and the tenant's setting says to refuse then.
    KeyUnconfirmed,
    /// The tenant's rate and burst are spent.
    TenantRate,
    /// The tenant has too many waiting requests.
    TenantQueueFull,
    /// No slot became free in time.
    ServiceBusy,
    /// No healthy instance can be reached.
    NoUpstream,
    /// The content crashed upstreams before.
    Quarantined,
    /// The route needs a request id and none came.
    RequestIdMissing,
    /// The request id has the wrong form.
    RequestIdMalformed,
    /// A request with this id runs now.
    RequestIdRunning,
    /// A request with this id ran before.
    RequestIdExecuted,
    /// A request with this id may have run before.
    RequestIdUnknown,
    /// Another host owns the request id.
    RequestIdElsewhere,
    /// The request id ended.
    RequestIdVoid,
    /// This host remembers as many request ids as it can.
    RequestIdsFull,
    /// The caller's deadline passed.
    DeadlinePassed,
    /// The connection to the upstream failed.
    UpstreamFailed,
    /// This host has no configuration yet.
    NotReady,
    /// The request itself is malformed.
    BadRequest,
}

/// A refusal or failure, as callers are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When a repeat makes sense.
    pub retry_after: Option<Duration>,
    /// A host to ask instead, or the status of a former execution.
    pub detail: Option<String>,
    /// A fresh binding for request ids.
    pub binding: Option<String>,
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn new(reason: RefusalReason) -> Self {
        Self { outcome: Outcome::NotRun, reason, retry_after: None, detail: None, binding: None }
    }

    /// Sets what became of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets when a repeat makes sense.
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Adds a detail.
    pub fn with_detail(mut self, detail: String) -> Self {
        self.detail = Some(detail);
        self
    }

    /// Adds a fresh binding for request ids.
    pub fn with_binding(mut self, binding: String) -> Self {
        self.binding = Some(binding);
        self
    }
}
