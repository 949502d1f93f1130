//! Set-up of logs with `fern`.

use std::{io, str::FromStr as _, time::SystemTime};

use anyhow::Context as _;
use log::LevelFilter;

use crate::{budget, writer::LineWriter};

/// Where logs go and how much is written.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Lowest level that is written: `error`, `warn`, `info`, `debug` or `trace`.
    pub level: String,
    /// Name of this process, written on each line.
    pub source: String,
}

/// Sends logs to standard error, one line for each record.
pub fn init_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("log level `{}` is not known (hint: use info)", settings.level))?;
    let source = settings.source.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_ms = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |it| it.as_millis());
            let text = escape(&message.to_string());
            out.finish(format_args!("{unix_ms} {} {source} {text}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("kingcupford", level)
        .chain(io::stderr())
        .apply()
        .context("logs are set up twice")
}

/// Sends logs to standard output as lines of `key=value`, limited for each event and written by a
/// thread of its own.
pub fn init_stdout_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("log level `{}` is not known (hint: use info)", settings.level))?;
    let source = settings.source.clone();
    let writer = LineWriter::start(io::stdout()).context("thread for logs")?;
    let output = fern::Output::call(move |record| writer.push(&record.args().to_string()));
    budget::enable();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_ms = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |it| it.as_millis());
            let text = structured(&escape(&message.to_string()));
            out.finish(format_args!(
                "ts_ms={unix_ms} level={} host={source} {text}",
                record.level()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("kingcupford", level)
        .chain(output)
        .apply()
        .context("logs are set up twice")
}

/// A message as `key=value` fields: those of an event follow its number and name.
fn structured(text: &str) -> String {
    let event = text.split_once(": ").and_then(|(head, details)| {
        let (code, name) = head.split_once(' ')?;
        code.starts_with("KC").then(|| format!("event={code} name={name} {details}"))
    });
    event.unwrap_or_else(|| format!("message=\"{}\"", text.replace('"', "'")))
}

/// Replaces control characters, so that text from the network cannot start a new log line.
fn escape(text: &str) -> String {
    text.chars()
        .flat_map(|it| {
            let escaped = it.is_control().then(|| it.escape_default());
            let plain = escaped.is_none().then_some(it);
            escaped.into_iter().flatten().chain(plain)
        })
        .collect()
}
