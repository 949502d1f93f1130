//! Staged rollouts of service versions: traffic splitting, fault detection and the controller.
//!
//! On every host, a [`TrafficSplitter`] divides requests between the old and the new version, and a
//! [`FaultDetector`] compares the two versions on the evidence of all hosts. One host at a time
//! holds the lease of the [`Controller`], which advances the rollout by conditional writes to the
//! platform.

mod anomaly;
mod comparison;
mod controller;
mod evidence;
mod fault_detector;
mod operator;
mod rollout;
mod route_test;
mod sequential;
mod slow_threshold;
mod splitter;
mod stage;
mod timeline;
mod transition;
mod version_tally;

pub use crate::{
    controller::{
        Controller, ControllerInput, LEASE_DURATION, LEASE_MARGIN, RENEWAL_INTERVAL, RolloutWrite,
        WriteOutcome,
    },
    evidence::{Evidence, RouteEvidence, Tally},
    fault_detector::{Assessment, FalseAlarmBudget, FaultDetector, RequestOutcome, Verdict},
    operator::{RollBackError, StartError, StartRequest, roll_back, start},
    rollout::{FORMAT_VERSION, FaultKind, Reason, Rollout, RolloutKey, RouteExposure, State},
    route_test::RouteTest,
    sequential::{Hypotheses, SequentialTest},
    splitter::{RouteRequestCounts, Side, TrafficSplitter, VersionPick},
    stage::Stage,
    timeline::{CLOCK_MARGIN_MS, MIN_DURATION_MS, MIN_WATCH_MS, ROLLBACK_RESERVE_MS, Timeline},
    version_tally::{LatencyHistogram, TimedTally, VersionSample, VersionTally},
};
