//! Output of results and errors in the selected format.

use std::io::Write;

use serde::Serialize;
use strum::{Display, EnumString};

use crate::exit::ExitStatus;

/// Output formats of results, parsed from their names on the command line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Aligned text for people.
    #[default]
    Table,
    /// One indented JSON document, or one JSON document per line for commands that watch something.
    Json,
}

/// Writers for the output of a command, with the output format.
pub struct Console {
    out: Box<dyn Write + Send>,
    err: Box<dyn Write + Send>,
    pub(crate) format: Format,
}

/// Error that ended a command before it had a result.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CommandError {
    #[serde(rename = "result")]
    pub(crate) exit_status: ExitStatus,
    /// Problem, preceded by the place of the problem.
    pub(crate) message: String,
    /// Advice for the operator.
    pub(crate) hint: String,
}

impl Console {
    /// Creates a console that writes results to `out` and errors to `err`, in table format.
    pub fn new(out: Box<dyn Write + Send>, err: Box<dyn Write + Send>) -> Self {
        Self { out, err, format: Format::Table }
    }

    /// Writes a line to the result output.
    ///
    /// Write errors are ignored, so that a closed pipe does not abort the command.
    pub(crate) fn print_line(&mut self, line: &str) {
        let _ = writeln!(self.out, "{line}");
        let _ = self.out.flush();
    }

    /// Writes a line to the error output.
    pub(crate) fn print_error(&mut self, line: &str) {
        let _ = writeln!(self.err, "{line}");
    }

    /// Writes the only result of a command in the selected format.
    pub(crate) fn print_result(&mut self, value: &impl Serialize, table: impl FnOnce() -> String) {
        match self.format {
            Format::Table => {
                let text = table();
                if !text.is_empty() {
                    self.print_line(text.trim_end());
                }
            }
            Format::Json => {
                let text = serde_json::to_string_pretty(value).expect("results serialize to JSON");
                self.print_line(&text);
            }
        }
    }

    /// Writes one of several results in the selected format; JSON takes one line.
    pub(crate) fn print_item(&mut self, value: &impl Serialize, table: impl FnOnce() -> String) {
        match self.format {
            Format::Table => {
                let text = table();
                self.print_line(text.trim_end());
            }
            Format::Json => {
                let text = serde_json::to_string(value).expect("results serialize to JSON");
                self.print_line(&text);
            }
        }
    }

    /// Writes an error in the selected format and returns the exit status of the command.
    pub(crate) fn print_command_error(&mut self, error: &CommandError) -> ExitStatus {
        if self.format == Format::Json {
            let text = serde_json::to_string_pretty(error).expect("errors serialize to JSON");
            self.print_line(&text);
        }
        let mut lines = error.message.lines().peekable();
        while let Some(line) = lines.next() {
            match lines.peek() {
                Some(_) => self.print_error(&format!("error: {line}")),
                None => self.print_error(&format!("error: {line} (hint: {})", error.hint)),
            }
        }
        error.exit_status
    }
}

impl CommandError {
    pub(crate) fn new(
        exit_status: ExitStatus,
        message: impl Into<String>,
        hint: impl Into<String>,
    ) -> Self {
        Self { exit_status, message: message.into(), hint: hint.into() }
    }

    /// Error of a command that changed nothing because the platform did not answer.
    pub(crate) fn unavailable(platform: &str) -> Self {
        Self::new(
            ExitStatus::Unavailable,
            format!("platform {platform} does not answer, nothing was changed"),
            "check the URL and the platform, then repeat the command",
        )
    }
}
