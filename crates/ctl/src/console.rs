//! Where a command writes and in which format.

use std::io::Write;

use serde::Serialize;
use strum::{Display, EnumString};

use crate::exit::Exit;

/// Formats of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Text for people.
    #[default]
    Table,
    /// One JSON document, or one on each line for commands that follow something.
    Json,
}

/// Where a command writes.
pub struct Console {
    /// Results.
    out: Box<dyn Write + Send>,
    /// Errors.
    err: Box<dyn Write + Send>,
    /// The format of results.
    pub(crate) format: Format,
}

/// Why a command ended without its result.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Failure {
    /// How the command ended.
    #[serde(rename = "result")]
    pub(crate) exit: Exit,
    /// What is wrong, with its place.
    pub(crate) message: String,
    /// What to do.
    pub(crate) hint: String,
}

impl Console {
    /// A console that writes tables.
    pub fn new(out: Box<dyn Write + Send>, err: Box<dyn Write + Send>) -> Self {
        Self { out, err, format: Format::Table }
    }

    /// Writes a line of a result; a reader that went away ends nothing.
    pub(crate) fn line(&mut self, line: &str) {
        let _ = writeln!(self.out, "{line}");
        let _ = self.out.flush();
    }

    /// Writes a line of an error.
    pub(crate) fn error(&mut self, line: &str) {
        let _ = writeln!(self.err, "{line}");
    }

    /// Writes a whole result in the chosen format.
    pub(crate) fn result(&mut self, value: &impl Serialize, table: impl FnOnce() -> String) {
        match self.format {
            Format::Table => {
                let text = table();
                if !text.is_empty() {
                    self.line(text.trim_end());
                }
            }
            Format::Json => {
                let text = serde_json::to_string_pretty(value).expect("results are plain JSON");
                self.line(&text);
            }
        }
    }

    /// Writes one of several results, as one line of JSON.
    pub(crate) fn item(&mut self, value: &impl Serialize, table: impl FnOnce() -> String) {
        match self.format {
            Format::Table => {
                let text = table();
                self.line(text.trim_end());
            }
            Format::Json => {
                let text = serde_json::to_string(value).expect("results are plain JSON");
                self.line(&text);
            }
        }
    }

    /// Reports a failure and answers how the command ended.
    pub(crate) fn fail(&mut self, failure: &Failure) -> Exit {
        if self.format == Format::Json {
            let text = serde_json::to_string_pretty(failure).expect("failures are plain JSON");
            self.line(&text);
        }
        let mut lines = failure.message.lines().peekable();
        while let Some(line) = lines.next() {
            match lines.peek() {
                Some(_) => self.error(&format!("error: {line}")),
                None => self.error(&format!("error: {line} (hint: {})", failure.hint)),
            }
        }
        failure.exit
    }
}

impl Failure {
    /// A failure.
    pub(crate) fn new(exit: Exit, message: impl Into<String>, hint: impl Into<String>) -> Self {
        Self { exit, message: message.into(), hint: hint.into() }
    }

    /// The platform did not answer and nothing was changed.
    pub(crate) fn unavailable(platform: &str) -> Self {
        Self::new(
            Exit::Unavailable,
            format!("platform {platform} does not answer, nothing was changed"),
            "check the URL and the platform, then repeat the command",
        )
    }
}
