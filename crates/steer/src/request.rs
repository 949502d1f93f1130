//! One request: what it says, how it is admitted, and how its attempts end.

use std::{sync::Arc, time::Duration};

use kingcupford_route::Fingerprint;

use crate::{
    instance::LoadReport,
    locality::RegionKey,
    manifest::{Route, Tenant},
    rate_limit::RateRefusal,
    versions::Side,
};

/// What a caller's request says before its body.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// The host that it names.
    pub host: &'a str,
    /// Its method.
    pub method: &'a str,
    /// Its path without the query.
    pub path: &'a str,
    /// The caller's key.
    pub key: Option<&'a [u8]>,
    /// The object that it concerns.
    pub affinity_key: Option<&'a [u8]>,
    /// Declared length of its body.
    pub content_length: Option<u64>,
}

/// Why a request is not sent anywhere.
#[derive(Debug, Clone, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// This host has no manifest yet.
    NoManifest,
    /// This host's view is too old to decide.
    StaleView,
    /// No route matches.
    UnknownRoute,
    /// No tenant holds the key, or none is shown.
    UnknownKey,
    /// The tenant is over its rate.
    OverRate {
        /// The tenant.
        tenant: Arc<Tenant>,
        /// What the tenant's bucket at this host says.
        refusal: RateRefusal,
    },
    /// Requests like it crashed instances.
    Quarantined,
}

/// An admitted request.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Its route.
    pub route: Arc<Route>,
    /// Its tenant, `None` on open routes.
    pub tenant: Option<Arc<Tenant>>,
    /// Its service.
    pub service: String,
    /// Hash of the object that it concerns.
    pub affinity_hash: u64,
    /// Whether it names an object that instances cache.
    pub has_affinity: bool,
    /// Rank, 0 first.
    pub priority: u32,
    /// The only regions that may serve it.
    pub home_regions: Option<Vec<RegionKey>>,
    /// By which requests that crash instances are recognised.
    pub fingerprint: Fingerprint,
    /// The manifest that decided.
    pub manifest_version: u64,
    /// Age of the view that decided.
    pub view_age: Option<Duration>,
    /// Version side that it was assigned to.
    pub side: Side,
}

/// How one exchange with an instance ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExchangeOutcome {
    /// A whole response came.
    Answered {
        /// Whether its status is a server error.
        failed: bool,
        /// Time from sending to the response.
        latency: Duration,
    },
    /// The instance said that it did not run the request.
    Shed,
    /// Another instance has the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke or brought something else than the response.
    Broken {
        /// Whether the instance's address refuses connections now.
        crashed: bool,
    },
    /// No response came in time.
    Silent,
    /// The caller left, or another instance was faster.
    Cancelled,
}

/// What an exchange showed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExchangeReport {
    /// How it ended.
    pub outcome: ExchangeOutcome,
    /// Load that the instance told.
    pub load: Option<LoadReport>,
    /// For how long the instance said it stays cold.
    pub cold_remaining: Option<Duration>,
}

/// What happens after an exchange.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAssessment {
    /// Whether another instance may get the request.
    pub may_retry: bool,
    /// Whether the request may have run.
    pub may_have_run: bool,
}

/// What is known of a request's attempts.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// Attempts made.
    pub made: u32,
    /// Whether an earlier one may have run.
    pub may_have_run: bool,
    /// Time until the caller's deadline.
    pub until_deadline: Duration,
}
