//! Report on a change of the configuration.

use std::fmt::Write as _;

use kingcupford_config::{Change, ValidationError};
use kingcupford_platform::ChangeOutcome;
use serde::Serialize;

use crate::{confirm::Confirmation, console::Console, exit::ExitStatus, session::Session};

/// Message texts that depend on the kind of a change.
#[derive(Debug, Clone)]
pub(crate) struct ChangeMessages {
    /// Effect of the change, such as `preset peak is active`.
    pub(crate) success: String,
    /// Advice on finding out whether the change took effect, after a lost answer.
    pub(crate) lookup_hint: String,
    /// Behaviour of a zone that has not confirmed the change.
    pub(crate) unconfirmed_hint: String,
}

/// Report on a change; JSON output has the order of the fields.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ChangeReport {
    #[serde(rename = "result")]
    pub(crate) exit_status: ExitStatus,
    pub(crate) change_id: String,
    /// Configuration version that the change created, `None` if the change was not made.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
    /// Whether the answer to any write was lost.
    pub(crate) answer_lost: bool,
    /// Entries that were added, removed or updated by an applied folder.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) changes: Vec<Change>,
    /// Issued key, which is not shown again.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) key: Option<IssuedKey>,
    /// Confirmation by the zones, `None` if the command did not wait for it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) confirmation: Option<Confirmation>,
    /// Reasons for a rejection.
    #[serde(rename = "faults", skip_serializing_if = "Vec::is_empty")]
    pub(crate) validation_errors: Vec<ReportedError>,
    /// Change that won a race against this one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) winner: Option<Winner>,
    /// Advice for the operator.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) hint: Option<String>,
}

#[derive(Debug, Clone, Serialize)]
pub(crate) struct IssuedKey {
    pub(crate) id: String,
    #[serde(rename = "tenant")]
    pub(crate) team: String,
    /// Complete key, including the secret.
    pub(crate) key: String,
}

/// Validation error as printed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ReportedError {
    /// Path of the invalid entry.
    pub(crate) place: String,
    pub(crate) problem: String,
    /// Advice for the operator.
    pub(crate) hint: String,
}

/// Change that took effect first.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Winner {
    pub(crate) version: u64,
    /// Revision in version control.
    pub(crate) revision: String,
    /// Whether both changes affect the same entry; also `true` if this could not be determined.
    pub(crate) overlaps: bool,
}

impl ChangeReport {
    /// Creates the report of a change that has not been made yet.
    pub(crate) fn new(change_id: &str) -> Self {
        Self {
            exit_status: ExitStatus::Done,
            change_id: change_id.to_owned(),
            version: None,
            answer_lost: false,
            changes: Vec::new(),
            key: None,
            confirmation: None,
            validation_errors: Vec::new(),
            winner: None,
            hint: None,
        }
    }

    /// Records the outcome, waits for the confirmation if requested, prints the report and returns
    /// the exit status.
    pub(crate) async fn finish(
        mut self,
        session: &Session,
        console: &mut Console,
        messages: &ChangeMessages,
        outcome: ChangeOutcome,
    ) -> ExitStatus {
        self.answer_lost = session.store.lost_answers() > 0;
        match outcome {
            ChangeOutcome::Applied { version } => {
                self.version = Some(version);
                if let Some(limit) = session.confirm_timeout {
                    let confirmation = Confirmation::wait(session, version, limit).await;
                    if !confirmation.confirmed {
                        self.exit_status = ExitStatus::Unconfirmed;
                        self.hint = Some(messages.unconfirmed_hint.clone());
                    }
                    self.confirmation = Some(confirmation);
                }
            }
            ChangeOutcome::LostRace(it) => {
                self.exit_status = ExitStatus::LostRace;
                let (version, revision) = (it.version, it.source_revision);
                self.winner = Some(Winner { version, revision, overlaps: it.overlaps });
                self.hint = Some("look at the winner's change, then plan and repeat".to_owned());
            }
            ChangeOutcome::Undetermined => {
                self.exit_status = ExitStatus::Undetermined;
                self.hint = Some(messages.lookup_hint.clone());
            }
            ChangeOutcome::Unavailable => {
                self.exit_status = ExitStatus::Unavailable;
                self.hint = Some("check the URL and the platform, then repeat".to_owned());
            }
            ChangeOutcome::Rejected(validation_errors) => {
                self.exit_status = ExitStatus::Rejected;
                self.validation_errors =
                    validation_errors.into_iter().map(ReportedError::from).collect();
            }
        }
        if self.version.is_none() {
            self.changes.clear();
            self.key = None;
        }
        console.print_result(&self, || self.format_table(messages));
        for line in self.error_lines(session) {
            console.print_error(&line);
        }
        self.exit_status
    }

    /// Formats the report for the table format, without errors and warnings.
    fn format_table(&self, messages: &ChangeMessages) -> String {
        let mut res = String::new();
        let Some(version) = self.version else { return res };
        for change in &self.changes {
            let _ = writeln!(res, "{change}");
        }
        let _ = writeln!(res, "{} in version {version}", messages.success);
        if let Some(key) = &self.key {
            let _ = writeln!(res, "{}", key.key);
            let _ = writeln!(res, "this key is shown once and cannot be shown again");
        }
        if self.answer_lost {
            let _ = writeln!(res, "an answer was lost; reading back showed that it took effect");
        }
        match &self.confirmation {
            Some(it) if it.confirmed && it.zones.is_empty() => {
                let _ = writeln!(res, "no zone has entry hosts yet");
            }
            Some(it) if it.confirmed => {
                let zones = it.zones.len();
                let _ = writeln!(res, "confirmed by {zones} zones after {} ms", it.time_ms);
            }
            _ => {}
        }
        res
    }

    /// Returns errors and warnings, one per line.
    fn error_lines(&self, session: &Session) -> Vec<String> {
        let hint = self.hint.as_deref().unwrap_or_default();
        let mut res = Vec::new();
        for it in &self.validation_errors {
            res.push(format!("error: {}: {} (hint: {})", it.place, it.problem, it.hint));
        }
        for host in self.confirmation.iter().flat_map(|it| &it.lost_hosts) {
            res.push(format!(
                "warning: host {host} is gone in the view of its zone but holds a share, so it may \
                 run cut off with an older version (hint: if its machine is lost, the share is \
                 reclaimed after 31 min)"
            ));
        }
        match self.exit_status {
            ExitStatus::Unconfirmed => {
                let Some(it) = &self.confirmation else { return res };
                res.push(format!("error: not confirmed within {} ms (hint: {hint})", it.time_ms));
                for it in &it.unconfirmed {
                    res.push(format!("error: zone {}: {}", it.zone, it.problem));
                }
            }
            ExitStatus::LostRace => {
                let Some(it) = &self.winner else { return res };
                let overlap = if it.overlaps { "overlap" } else { "do not overlap" };
                res.push(format!(
                    "error: version {} of revision {} came first and nothing was changed; \
                     the changes {overlap} (hint: {hint})",
                    it.version, it.revision
                ));
            }
            ExitStatus::Undetermined => res.push(format!(
                "error: the answer to change {} was lost and it may have taken effect (hint: {hint})",
                self.change_id
            )),
            ExitStatus::Unavailable => res.push(format!(
                "error: platform {} does not answer, nothing was changed (hint: {hint})",
                session.platform
            )),
            _ => {}
        }
        res
    }
}

impl From<ValidationError> for ReportedError {
    fn from(error: ValidationError) -> Self {
        Self { place: error.place, problem: error.problem, hint: error.hint }
    }
}
