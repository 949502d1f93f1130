//! Decisions for upstreams that register themselves: which requests run, where, and since when.
//!
//! Nothing here does I/O; time comes in as an argument, so that tests drive every rule directly.

mod allowance;
mod beat;
mod canary;
mod choose;
mod cold;
mod freshness;
mod health;
mod instance;
mod load;
mod manifest;
mod members;
mod place;
mod ready_set;
mod request;
mod shift;
mod split;
mod steering;
mod versions;
mod warmth;
mod window;

pub use crate::{
    allowance::{AllowanceSettings, Allowances, RateRefusal},
    beat::{Beat, BeatState, DemandEntry, Echo, PROTOCOL, RolloutTally, ServiceLoad, name_hash},
    canary::{Canary, CanarySettings, RolloutOrder, RolloutState, StatusWrite},
    choose::{Choice, Chooser, Full, Observation, Query, View},
    freshness::Freshness,
    health::Failure,
    instance::{InstanceKey, InstanceReport, LoadReport, ServingState},
    load::LoadEstimate,
    manifest::{CallerLimits, KeyDigest, Manifest, Repeat, Route, Service, Target, Tenant},
    members::{Member, MemberChange, Members, Source},
    place::{Place, Places, RegionKey, ZoneKey},
    ready_set::{Instance, Lapse, ReadySet, Registered},
    request::{Admission, Attempts, Denial, Outcome, Plan, Report, RequestHead},
    split::Splits,
    steering::{Steering, SteeringEvent, SteeringSettings},
    versions::{Side, Versions},
};
