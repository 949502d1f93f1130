//! Rollouts of service versions, fault tests and the controller lease.

mod controller;
mod evidence;
mod fault_test;
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
    controller::{Controller, LEASE, LEASE_MARGIN, RENEW_EVERY, View, Write, WriteOutcome},
    evidence::{Evidence, RouteEvidence, Tally},
    fault_test::{Assessment, FaultTest, Outcome, TestPlan, Verdict},
    operator::{RollBackError, StartError, StartRequest, roll_back, start},
    rollout::{FORMAT, FaultKind, Reason, Rollout, RouteExposure, State},
    sequential::{Ratios, SequentialTest},
    splitter::{Pick, Side, Splitter, SplitterExposure},
    stage::Stage,
    timeline::{CLOCK_MARGIN_MS, MIN_DURATION_MS, MIN_WATCH_MS, ROLLBACK_MS, Timeline},
};
