//! Log events with stable codes, log output and metrics.

mod event;
mod line_limit;
mod line_writer;
mod logs;
mod metrics;

pub use crate::{
    event::Event,
    line_limit::report_suppressed_lines,
    logs::{LogSettings, flush_stdout_logs, init_logs, init_stdout_logs},
    metrics::{CallLabels, Metrics, OutcomeLabels, RefusalLabels, TeamLabels, TrafficLabels},
};
pub use prometheus_client::metrics::{counter::Counter, family::Family};
