//! Requests: their head, the routing plan of an admitted request, and the results of its exchanges.

use std::{sync::Arc, time::Duration};

use kingcupford_route::Fingerprint;

use crate::{
    instance::LoadReport,
    locality::RegionKey,
    manifest::{Route, Team},
    rate_limit::RateRefusal,
    versions::Side,
};

/// What is known of a caller's request before its body.
#[derive(Debug, Clone, Copy)]
pub struct RequestHead<'a> {
    /// Host name that the request carries.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Key of the caller.
    pub key: Option<&'a [u8]>,
    /// Affinity key, if the request carries one.
    pub affinity_key: Option<&'a [u8]>,
    /// Declared length of the body in bytes.
    pub content_length: Option<u64>,
}

/// Reason for refusing a request before it is sent to an instance.
#[derive(Debug, Clone, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// This host has no manifest yet.
    NoManifest,
    /// The view of this host is too old for a decision.
    StaleView,
    /// Other hosts have had a newer manifest for so long that the one of this host may not be acted
    /// on any more.
    OutdatedManifest,
    /// No route matches.
    UnknownRoute,
    /// The request carries no key, or one that no team holds.
    UnknownKey,
    /// The team exceeds its rate.
    OverRate {
        /// Team whose rate is exceeded.
        team: Arc<Team>,
        /// Details from the rate limiter of this host.
        refusal: RateRefusal,
    },
    /// Requests with the same fingerprint have crashed instances.
    Quarantined,
}

/// Routing plan of an admitted request.
#[derive(Debug, Clone)]
pub struct RequestPlan {
    /// Route that matched.
    pub route: Arc<Route>,
    /// Team that holds the request's key; `None` if the route needs no key or no team is
    /// declared.
    pub team: Option<Arc<Team>>,
    /// Name of the service that receives the request.
    pub service: String,
    /// Hash of the affinity key, or of the path if there is none.
    pub affinity_hash: u64,
    /// Whether the request carries an affinity key on a route with cache affinity.
    pub has_affinity: bool,
    /// Priority, 0 is the highest.
    pub priority: u32,
    /// The only regions that may serve the request; `None` for all regions.
    pub home_regions: Option<Vec<RegionKey>>,
    /// Fingerprint that identifies requests that crash instances.
    pub fingerprint: Fingerprint,
    /// Version of the manifest on which the plan is based.
    pub manifest_version: u64,
    /// Age of this host's view at admission; `None` if the view was not confirmed.
    pub view_age: Option<Duration>,
    /// Side of the service's rollout that the request goes to.
    pub side: Side,
}

/// How an exchange with an instance ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ExchangeOutcome {
    /// A complete response arrived.
    Answered {
        /// Whether the status is a server error.
        failed: bool,
        /// Time from sending the request to the response.
        latency: Duration,
    },
    /// The instance reported that it did not run the request.
    Shed,
    /// Another instance has the address.
    Misdirected,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke, or the received data was not the response.
    Broken {
        /// Whether the address of the instance refuses connections now.
        crashed: bool,
    },
    /// No response arrived in time.
    Silent,
    /// The caller disconnected, or another instance responded first.
    Cancelled,
}

/// Result of an exchange with an instance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExchangeReport {
    /// How the exchange ended.
    pub outcome: ExchangeOutcome,
    /// Time from sending the request to the end of the exchange.
    pub elapsed: Duration,
    /// Load that the instance reported.
    pub load: Option<LoadReport>,
    /// Time for which the instance reported to stay cold.
    pub cold_remaining: Option<Duration>,
}

/// What an exchange means for further attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetryAssessment {
    /// Whether the request may be sent to another instance.
    pub may_retry: bool,
    /// Whether this attempt or an earlier one may have run the request.
    pub may_have_run: bool,
}

/// Attempts of one request so far.
#[derive(Debug, Clone, Copy)]
pub struct Attempts {
    /// Number of attempts.
    pub made: u32,
    /// Whether an earlier attempt may have run the request.
    pub may_have_run: bool,
    /// Time left until the deadline of the caller.
    pub until_deadline: Duration,
}
