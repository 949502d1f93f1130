//! Rollouts of service versions, fault tests and the controller lease.

mod controller;
mod evidence;
mod fault_detector;
mod latency;
mod operator;
mod rollout;
mod run;
mod sequential;
mod splitter;
mod stage;
mod step;
mod suspicion;
mod timeline;

pub use crate::{
    controller::{
        Controller, ControllerInput, LEASE_DURATION, LEASE_MARGIN, RENEWAL_INTERVAL, RolloutWrite,
        WriteOutcome,
    },
    evidence::{Evidence, RouteEvidence, Tally},
    fault_detector::{Assessment, FalseAlarmBudget, FaultDetector, RequestOutcome, Verdict},
    operator::{RollBackError, StartError, StartRequest, roll_back, start},
    rollout::{FORMAT_VERSION, FaultKind, Reason, Rollout, RouteExposure, State},
    sequential::{Hypotheses, SequentialTest},
    splitter::{RouteRequestCounts, Side, TrafficSplitter, VersionPick},
    stage::Stage,
    timeline::{CLOCK_MARGIN_MS, MIN_DURATION_MS, MIN_WATCH_MS, ROLLBACK_RESERVE_MS, Timeline},
};
