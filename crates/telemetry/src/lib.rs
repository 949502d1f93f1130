//! Numbered log events and metrics.

mod budget;
mod event;
mod logs;
mod metrics;
mod writer;

pub use crate::{
    budget::report_left_out,
    event::Event,
    logs::{LogSettings, init_logs, init_stdout_logs},
    metrics::{Metrics, OutcomeLabels, RefusalLabels, TenantLabels, TrafficLabels},
};
