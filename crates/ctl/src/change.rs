//! The report of a change of the configuration.

use std::fmt::Write as _;

use kingcupford_config::{Change, ValidationError};
use kingcupford_platform::ChangeOutcome;
use serde::Serialize;

use crate::{confirm::Confirmation, console::Console, exit::Exit, session::Session};

/// What a change is called in messages and where its effect can be looked up.
#[derive(Debug, Clone)]
pub(crate) struct ChangeKind {
    /// What was asked for, such as `preset peak is active`.
    pub(crate) done: String,
    /// How to find out whether it took effect.
    pub(crate) look_up: String,
    /// What a zone without the change still does.
    pub(crate) until_confirmed: String,
}

/// How a change ended, in the order in which it is printed.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct ChangeReport {
    /// How the command ended.
    #[serde(rename = "result")]
    pub(crate) exit: Exit,
    /// Random identifier of the change.
    pub(crate) change_id: String,
    /// The version that has the change.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) version: Option<u64>,
    /// Whether an answer of the platform was lost on the way.
    pub(crate) answer_lost: bool,
    /// Entries that the change added, removed or updated, for folders.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) changes: Vec<Change>,
    /// The issued key; shown this once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) key: Option<IssuedKey>,
    /// Which zones confirmed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) confirmation: Option<Confirmation>,
    /// Why it was rejected.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(crate) faults: Vec<FaultLine>,
    /// The change that came first.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) winner: Option<Winner>,
    /// What to do.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) hint: Option<String>,
}

/// A key that was issued.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct IssuedKey {
    /// Public identifier.
    pub(crate) id: String,
    /// The tenant.
    pub(crate) tenant: String,
    /// The whole key.
    pub(crate) key: String,
}

/// One fault.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct FaultLine {
    /// The place.
    pub(crate) place: String,
    /// What is wrong.
    pub(crate) problem: String,
    /// What to do.
    pub(crate) hint: String,
}

/// The change that came first.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Winner {
    /// Its version.
    pub(crate) version: u64,
    /// Its revision.
    pub(crate) revision: String,
    /// Whether both change the same entry.
    pub(crate) overlaps: bool,
}

impl ChangeReport {
    /// A report of a change that is about to be made.
    pub(crate) fn new(change_id: &str) -> Self {
        Self {
            exit: Exit::Done,
            change_id: change_id.to_owned(),
            version: None,
            answer_lost: false,
            changes: Vec::new(),
            key: None,
            confirmation: None,
            faults: Vec::new(),
            winner: None,
            hint: None,
        }
    }

    /// Takes over the outcome, waits for the confirmation, prints the report and answers the exit.
    pub(crate) async fn finish(
        mut self,
        session: &Session,
        console: &mut Console,
        kind: &ChangeKind,
        outcome: ChangeOutcome,
    ) -> Exit {
        self.answer_lost = session.store.lost_answers() > 0;
        match outcome {
            ChangeOutcome::Applied { version } => {
                self.version = Some(version);
                if let Some(limit) = session.confirm {
                    let confirmation = Confirmation::wait(session, version, limit).await;
                    if !confirmation.confirmed {
                        self.exit = Exit::Unconfirmed;
                        self.hint = Some(kind.until_confirmed.clone());
                    }
                    self.confirmation = Some(confirmation);
                }
            }
            ChangeOutcome::LostRace(it) => {
                self.exit = Exit::LostRace;
                let (version, revision) = (it.version, it.source_revision);
                self.winner = Some(Winner { version, revision, overlaps: it.overlaps });
                self.hint = Some("look at the winner's change, then plan and repeat".to_owned());
            }
            ChangeOutcome::Undetermined => {
                self.exit = Exit::Undetermined;
                self.hint = Some(kind.look_up.clone());
            }
            ChangeOutcome::Unavailable => {
                self.exit = Exit::Unavailable;
                self.hint = Some("check the URL and the platform, then repeat".to_owned());
            }
            ChangeOutcome::Rejected(faults) => {
                self.exit = Exit::Rejected;
                self.faults = faults.into_iter().map(FaultLine::from).collect();
            }
        }
        if self.version.is_none() {
            self.changes.clear();
            self.key = None;
        }
        console.result(&self, || self.table(kind));
        for line in self.errors(session) {
            console.error(&line);
        }
        self.exit
    }

    /// The report for people, without what is wrong.
    fn table(&self, kind: &ChangeKind) -> String {
        let mut res = String::new();
        let Some(version) = self.version else { return res };
        for change in &self.changes {
            let _ = writeln!(res, "{change}");
        }
        let _ = writeln!(res, "{} in version {version}", kind.done);
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

    /// What is wrong, a line each.
    fn errors(&self, session: &Session) -> Vec<String> {
        let hint = self.hint.as_deref().unwrap_or_default();
        let mut res = Vec::new();
        for it in &self.faults {
            res.push(format!("error: {}: {} (hint: {})", it.place, it.problem, it.hint));
        }
        for host in self.confirmation.iter().flat_map(|it| &it.lost_hosts) {
            res.push(format!(
                "warning: host {host} is gone in the view of its zone but holds a share, so it may \
                 run cut off with an older version (hint: if its machine is lost, the share is \
                 reclaimed after 31 min)"
            ));
        }
        match self.exit {
            Exit::Unconfirmed => {
                let Some(it) = &self.confirmation else { return res };
                res.push(format!("error: not confirmed within {} ms (hint: {hint})", it.time_ms));
                for it in &it.unconfirmed {
                    res.push(format!("error: zone {}: {}", it.zone, it.problem));
                }
            }
            Exit::LostRace => {
                let Some(it) = &self.winner else { return res };
                let overlap = if it.overlaps { "overlap" } else { "do not overlap" };
                res.push(format!(
                    "error: version {} of revision {} came first and nothing was changed; \
                     the changes {overlap} (hint: {hint})",
                    it.version, it.revision
                ));
            }
            Exit::Undetermined => res.push(format!(
                "error: the answer to change {} was lost and it may have taken effect (hint: {hint})",
                self.change_id
            )),
            Exit::Unavailable => res.push(format!(
                "error: platform {} does not answer, nothing was changed (hint: {hint})",
                session.platform
            )),
            _ => {}
        }
        res
    }
}

impl From<ValidationError> for FaultLine {
    fn from(fault: ValidationError) -> Self {
        Self { place: fault.place, problem: fault.problem, hint: fault.hint }
    }
}
