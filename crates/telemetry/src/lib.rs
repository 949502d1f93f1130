//! Numbered log events and metrics.

mod event;
mod logs;
mod metrics;

pub use crate::{
    event::Event,
    logs::{LogSettings, init_logs},
    metrics::{Metrics, OutcomeLabels, RefusalLabels, TenantLabels, TrafficLabels},
};
