//! Log output of the process, based on `fern`.

use std::{
    io,
    str::FromStr as _,
    sync::OnceLock,
    time::{Duration, SystemTime},
};

use anyhow::Context as _;
use log::LevelFilter;

use crate::{line_limit, line_writer::LineWriter};

/// Writer of the lines for standard output, once they are logged there.
static STDOUT_WRITER: OnceLock<LineWriter> = OnceLock::new();

/// Maximum size of the text of a line; several times that of the longest reason for a rejection.
const MAX_TEXT_BYTES: usize = 8192;

/// Log level and source name of a process.
#[derive(Debug, Clone)]
pub struct LogSettings {
    /// Least severe level that is written of records with the target `kingcupford`: `error`,
    /// `warn`, `info`, `debug`, `trace` or `off`. Other records are written from `warn` upwards.
    pub level: String,
    /// Name of this process or host, written on each line.
    pub source: String,
}

/// Installs a logger that writes one line per record to standard error. Returns an error if the
/// level is unknown or a logger is already installed.
pub fn init_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("unknown log level `{}` (hint: use info)", settings.level))?;
    let source = settings.source.clone();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_ms = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |it| it.as_millis());
            let text = escape_control_characters(&message.to_string());
            out.finish(format_args!("{unix_ms} {} {source} {text}", record.level()));
        })
        .level(LevelFilter::Warn)
        .level_for("kingcupford", level)
        .chain(io::stderr())
        .apply()
        .context("a logger is already installed")
}

/// Installs a logger that writes lines of `key=value` fields to standard output from a separate
/// thread, and limits the lines per second of each event. Returns an error if the level is unknown,
/// the thread cannot be started or a logger is already installed.
pub fn init_stdout_logs(settings: &LogSettings) -> anyhow::Result<()> {
    let level = LevelFilter::from_str(&settings.level)
        .with_context(|| format!("unknown log level `{}` (hint: use info)", settings.level))?;
    let source = settings.source.clone();
    let writer = LineWriter::start(io::stdout()).context("cannot start the log writer thread")?;
    let flushed_writer = writer.clone();
    let output = fern::Output::call(move |record| writer.push(&record.args().to_string()));
    line_limit::enable();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let unix_ms = SystemTime::now()
                .duration_since(SystemTime::UNIX_EPOCH)
                .map_or(0, |it| it.as_millis());
            let text = format_fields(&escape_control_characters(&message.to_string()));
            out.finish(format_args!(
                "ts_ms={unix_ms} level={} host={source} {text}",
                record.level()
            ));
        })
        .level(LevelFilter::Warn)
        .level_for("kingcupford", level)
        .chain(output)
        .apply()
        .context("a logger is already installed")?;
    STDOUT_WRITER.get_or_init(|| flushed_writer);
    Ok(())
}

/// Waits until the lines logged so far are handed to standard output, at most for `timeout`: a
/// process that ends loses the others. Returns whether they were, also if the output failed.
pub fn flush_stdout_logs(timeout: Duration) -> bool {
    STDOUT_WRITER.get().is_none_or(|it| it.flush(timeout))
}

/// Formats a message as `key=value` fields. The details of an event follow its code and name; any
/// other message becomes a quoted `message` field.
fn format_fields(text: &str) -> String {
    let event = text.split_once(": ").and_then(|(head, details)| {
        let (code, name) = head.split_once(' ')?;
        code.starts_with("KC").then(|| format!("event={code} name={name} {details}"))
    });
    event.unwrap_or_else(|| format!("message=\"{}\"", text.replace('"', "'")))
}

/// Escapes control characters, so that text from the network cannot start a new log line, and cuts a
/// long text, so that it does not displace other lines.
fn escape_control_characters(text: &str) -> String {
    let mut res = String::with_capacity(text.len().min(MAX_TEXT_BYTES));
    for it in text.chars() {
        if res.len() >= MAX_TEXT_BYTES {
            res.push('\u{2026}');
            // The last field may be quoted.
            if res.matches('"').count() % 2 == 1 {
                res.push('"');
            }
            break;
        }
        if it.is_control() {
            res.extend(it.escape_default());
        } else {
            res.push(it);
        }
    }
    res
}
