//! Numbered log events and metrics.

mod budget;
mod event;
mod logs;
mod metrics;
mod writer;

pub use crate::{
    budget::report_suppressed_lines,
    event::Event,
    logs::{LogSettings, init_logs, init_stdout_logs},
    metrics::{CallLabels, Metrics, OutcomeLabels, RefusalLabels, TenantLabels, TrafficLabels},
};
pub use prometheus_client::metrics::{counter::Counter, family::Family};
