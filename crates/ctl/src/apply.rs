//! Commands `plan`, `apply` and `show`, which work on folders of declarations and on the active
//! configuration.

use std::{fmt::Write as _, fs, path::Path};

use kingcupford_config::{
    Change, Declarations, LoadError, ValidationError, diff, load_folder, validate,
};
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::ChangeRequest;
use kingcupford_rollout::{Rollout, State};
use serde::Serialize;

use crate::{
    change::{ChangeMessages, ChangeReport, ReportedError},
    console::{CommandError, Console},
    exit::ExitStatus,
    flags::Apply,
    session::{Session, new_change_id},
};

// Long enough for the revisions of every version control system.
const MAX_REVISION_BYTES: usize = 200;

#[derive(Debug, Serialize)]
struct PlanReport {
    result: ExitStatus,
    /// Active configuration version, 0 if there is none yet.
    active_version: u64,
    active_revision: String,
    /// Entries that applying the folder would add, remove or update.
    changes: Vec<Change>,
    /// Reasons for which the folder would be rejected.
    #[serde(rename = "faults")]
    validation_errors: Vec<ReportedError>,
}

/// Summary of the active configuration.
#[derive(Debug, Serialize)]
struct ShowReport {
    version: u64,
    /// Revision in version control.
    revision: String,
    /// Identifier of the change that created the version.
    change_id: String,
    active_preset: String,
    counts: Counts,
}

/// Number of entries of each kind.
#[derive(Debug, Serialize)]
struct Counts {
    regions: usize,
    zones: usize,
    links: usize,
    sites: usize,
    blocks: usize,
    services: usize,
    instances: usize,
    #[serde(rename = "tenants")]
    teams: usize,
    keys: usize,
    presets: usize,
}

/// Prints what applying a folder would change, and every validation error.
pub(crate) async fn plan(
    session: &Session,
    console: &mut Console,
    folder: &Path,
) -> Result<ExitStatus, CommandError> {
    let wanted = load(folder)?;
    let head = session.read_head().await?;
    let (active, version, revision, preset) = match &head {
        Some(it) => {
            let head = &it.head;
            let active = session.read_declarations(head, &[]).await?;
            (active, head.version, head.source_revision.clone(), Some(&head.active_preset))
        }
        None => (Declarations::default(), 0, String::new(), None),
    };
    let mut errors = validate(&Declarations { keys: active.keys.clone(), ..wanted.clone() });
    match preset {
        Some(it) if !wanted.presets.iter().any(|preset| preset.name == *it) => {
            let problem = format!("the active preset `{it}` is not declared");
            errors.push(validation_error(
                "presets",
                problem,
                "switch to another preset before removing it",
            ));
        }
        None if wanted.initial_preset.is_none() && wanted.presets.len() > 1 => {
            let problem = "no preset is chosen".to_owned();
            errors.push(validation_error(
                "initial_preset",
                problem,
                "name the preset to start with",
            ));
        }
        _ => {}
    }
    errors.extend(rollout_conflicts(session, &active, &wanted).await?);
    let report = PlanReport {
        result: if errors.is_empty() { ExitStatus::Done } else { ExitStatus::Rejected },
        active_version: version,
        active_revision: revision,
        changes: diff(&active, &wanted),
        validation_errors: errors.into_iter().map(ReportedError::from).collect(),
    };
    console.print_result(&report, || {
        let mut res = String::new();
        for it in &report.changes {
            let _ = writeln!(res, "{it}");
        }
        let count = report.changes.len();
        let noun = if count == 1 { "change" } else { "changes" };
        let _ = match version {
            0 => writeln!(res, "{count} {noun}, no version is active yet"),
            _ => writeln!(
                res,
                "{count} {noun} from version {version} of revision {}",
                report.active_revision
            ),
        };
        res
    });
    for it in &report.validation_errors {
        console.print_error(&format!("error: {}: {} (hint: {})", it.place, it.problem, it.hint));
    }
    Ok(report.result)
}

/// Replaces the configuration by the declarations in a folder.
pub(crate) async fn apply(
    session: &Session,
    console: &mut Console,
    flags: &Apply,
) -> Result<ExitStatus, CommandError> {
    let revision = flags.revision.trim();
    if revision.is_empty()
        || revision.len() > MAX_REVISION_BYTES
        || revision.contains(char::is_control)
    {
        let message = "--revision: is empty, too long or contains control characters";
        let hint = format!("give the commit of the folder, up to {MAX_REVISION_BYTES} bytes");
        return Err(CommandError::new(ExitStatus::Usage, message, hint));
    }
    let wanted = load(&flags.folder)?;
    let head = session.read_head().await?;
    let active = match &head {
        Some(it) => session.read_declarations(&it.head, &[]).await?,
        None => Declarations::default(),
    };
    let id = new_change_id("apply");
    let mut report = ChangeReport::new(&id);
    report.changes = diff(&active, &wanted);
    let messages = ChangeMessages {
        success: format!("revision {revision} is the configuration"),
        lookup_hint: format!("`show` prints change {id} when it took effect"),
        unconfirmed_hint: "such a zone uses an older version until it hears of this one; \
                          `status` shows when it has"
            .to_owned(),
    };
    if !flags.without_rollout {
        let errors = rollout_conflicts(session, &active, &wanted).await?;
        if !errors.is_empty() {
            let outcome = kingcupford_platform::ChangeOutcome::Rejected(errors);
            return Ok(report.finish(session, console, &messages, outcome).await);
        }
    }
    let current = head.as_ref().map(|it| it.head.version);
    let request = ChangeRequest {
        id,
        source_revision: revision.to_owned(),
        expected_version: flags.planned_version.or(current),
    };
    let outcome = session.config.apply(&wanted, &request).await;
    Ok(report.finish(session, console, &messages, outcome).await)
}

/// Prints a summary of the active configuration.
pub(crate) async fn show(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let head = session.read_required_head().await?.head;
    let declarations = session.read_declarations(&head, &[]).await?;
    let versions = declarations.services.iter().flat_map(|it| &it.versions);
    let report = ShowReport {
        version: head.version,
        revision: head.source_revision,
        change_id: head.change_id,
        active_preset: head.active_preset,
        counts: Counts {
            regions: declarations.regions.len(),
            zones: declarations.regions.iter().map(|it| it.zones.len()).sum(),
            links: declarations.links.len(),
            sites: declarations.sites.len(),
            blocks: declarations.blocks.len(),
            services: declarations.services.len(),
            instances: versions.map(|it| it.instances.len()).sum(),
            teams: declarations.teams.len(),
            keys: declarations.keys.len(),
            presets: declarations.presets.len(),
        },
    };
    console.print_result(&report, || {
        let counts = &report.counts;
        format!(
            "version        {}\nrevision       {}\nchange         {}\nactive preset  {}\n\
             topology       {} regions, {} zones, {} links, {} sites, {} client blocks\n\
             services       {} with {} instances\ntenants        {} with {} keys\n\
             presets        {}\n",
            report.version,
            report.revision,
            report.change_id,
            report.active_preset,
            counts.regions,
            counts.zones,
            counts.links,
            counts.sites,
            counts.blocks,
            counts.services,
            counts.instances,
            counts.teams,
            counts.keys,
            counts.presets,
        )
    });
    Ok(ExitStatus::Done)
}

/// Reads a folder. The error lists the syntax errors of all files.
fn load(folder: &Path) -> Result<Declarations, CommandError> {
    let error = match load_folder(folder) {
        Ok(it) => return Ok(it),
        Err(it) => it,
    };
    let mut problems = vec![error.to_string()];
    if matches!(error, LoadError::Syntax { .. }) {
        problems = syntax_errors(folder);
    }
    let hint = "correct the files and plan again";
    Err(CommandError::new(ExitStatus::Usage, problems.join("\n"), hint))
}

/// Returns the syntax errors of all YAML files in a folder, sorted by path.
fn syntax_errors(folder: &Path) -> Vec<String> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    let mut paths: Vec<_> = entries.filter_map(|it| Some(it.ok()?.path())).collect();
    paths.retain(|it| it.extension().is_some_and(|it| it == "yaml" || it == "yml"));
    paths.sort();
    let mut res = Vec::new();
    for path in paths {
        let Ok(text) = fs::read_to_string(&path) else { continue };
        if let Err(error) = Declarations::from_yaml(&text) {
            let path = path.display().to_string();
            res.push(LoadError::Syntax { path, error }.to_string());
        }
    }
    res
}

/// Returns an error for each change that would end or bypass a rollout: a new active version
/// without a finished rollout to that version, and a removed service or version that an open
/// rollout uses.
async fn rollout_conflicts(
    session: &Session,
    active: &Declarations,
    wanted: &Declarations,
) -> Result<Vec<ValidationError>, CommandError> {
    let mut res = Vec::new();
    for old in &active.services {
        let new = wanted.services.iter().find(|it| it.name == old.name);
        if new == Some(old) {
            continue;
        }
        let place = format!("services.{}", old.name);
        let name = format!("{ROLLOUT_PREFIX}{}", old.name);
        let rollout = session.read_json::<Rollout>(&name).await?.map(|it| it.1);
        let open = rollout.as_ref().filter(|it| !it.state.is_final());
        let Some(new) = new else {
            if let Some(it) = open {
                let problem = format!("a rollout to `{}` is {}", it.to, it.state);
                res.push(validation_error(&place, problem, "wait until it ends or roll it back"));
            }
            continue;
        };
        if let Some(it) = open {
            for version in [&it.from, &it.to] {
                if !new.versions.iter().any(|it| it.name == *version) {
                    let problem = format!("an open rollout uses version `{version}`");
                    res.push(validation_error(
                        &place,
                        problem,
                        "keep the version until the rollout ends",
                    ));
                }
            }
        }
        let to = &new.active_version;
        let is_finished =
            rollout.as_ref().is_some_and(|it| it.state == State::Done && it.to == *to);
        if old.active_version != *to && !is_finished {
            let problem =
                format!("`active_version` goes from {} to {to} at once", old.active_version);
            let hint = "start a rollout, or use `apply --without-rollout`";
            res.push(validation_error(&place, problem, hint));
        }
    }
    Ok(res)
}

fn validation_error(place: &str, problem: String, hint: &str) -> ValidationError {
    ValidationError { place: place.to_owned(), problem, hint: hint.to_owned() }
}
