//! Routing decisions of one host for upstreams whose instances register themselves: admission,
//! instance selection, retries, rollouts, and the membership state that they are based on.
//!
//! The crate does no I/O. The current time is passed in as an argument, so that tests can drive
//! every rule directly.

mod cache_affinity;
mod canary;
mod cold_pace;
mod freshness;
mod health;
mod heartbeat;
mod instance;
mod instance_registry;
mod load;
mod locality;
mod manifest;
mod members;
mod rate_limit;
mod request;
mod selector;
mod shift;
mod split;
mod steering;
mod versions;
mod window;

pub use crate::{
    canary::{Canary, CanarySettings, RolloutOrder, RolloutState, StatusWrite},
    freshness::{ManifestLag, ViewFreshness},
    health::ExchangeFailure,
    heartbeat::{
        HEARTBEAT_INTERVAL, Heartbeat, HeartbeatAck, HeartbeatTiming, HostState, PROTOCOL_VERSION,
        RolloutTally, ServiceLoad, TeamDemand, name_hash,
    },
    instance::{InstanceKey, InstanceRegistration, LoadReport, ServingState},
    instance_registry::{Instance, InstanceRegistry, Lapse, RegistrationChange},
    load::LoadEstimate,
    locality::{Locality, RegionKey, ZoneKey, ZoneMap},
    manifest::{
        CallerLimits, KeyDigest, Manifest, RepeatPolicy, Route, RouteTarget, Service, Team,
    },
    members::{HeartbeatScope, Member, MemberChange, Members, OtherDemand, StoreSource},
    rate_limit::{RateLimitSettings, RateRefusal, TeamRateLimiter},
    request::{
        Attempts, ExchangeOutcome, ExchangeReport, Refusal, RequestHead, RequestPlan,
        RetryAssessment,
    },
    selector::{
        AtCapacity, InstanceSelector, ResponseObservation, Selection, SelectionContext,
        SelectionQuery,
    },
    split::RouteSplits,
    steering::{Steering, SteeringEvent, SteeringSettings},
    versions::{ServiceVersions, Side},
};
