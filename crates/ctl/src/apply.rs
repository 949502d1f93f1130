//! Commands on folders of declarations: plan, apply and show.

use std::{fmt::Write as _, fs, path::Path};

use kingcupford_config::{
    Change, Declarations, LoadError, ValidationError, diff, load_folder, validate,
};
use kingcupford_engine::ROLLOUT_PREFIX;
use kingcupford_platform::ChangeRequest;
use kingcupford_rollout::{Rollout, State};
use serde::Serialize;

use crate::{
    change::{ChangeKind, ChangeReport, FaultLine},
    console::{Console, Failure},
    exit::Exit,
    flags::Apply,
    session::{Session, change_id},
};

/// Characters of a revision, enough for every system of version control.
const MAX_REVISION: usize = 200;

/// What applying a folder would change.
#[derive(Debug, Serialize)]
struct PlanReport {
    /// How the command ended.
    result: Exit,
    /// The active version, 0 before the first one.
    active_version: u64,
    /// The revision of the active version.
    active_revision: String,
    /// What would change.
    changes: Vec<Change>,
    /// Why the folder would be rejected.
    faults: Vec<FaultLine>,
}

/// The active configuration in short.
#[derive(Debug, Serialize)]
struct ShowReport {
    /// Number of the version.
    version: u64,
    /// Its revision in version control.
    revision: String,
    /// Identifier of the change that made it.
    change_id: String,
    /// The active preset.
    active_preset: String,
    /// Number of entries of each kind.
    counts: Counts,
}

/// Number of entries of each kind.
#[derive(Debug, Serialize)]
struct Counts {
    /// Regions.
    regions: usize,
    /// Availability zones.
    zones: usize,
    /// Links between regions.
    links: usize,
    /// Sites.
    sites: usize,
    /// Client blocks.
    blocks: usize,
    /// Services.
    services: usize,
    /// Upstream instances.
    instances: usize,
    /// Tenants.
    tenants: usize,
    /// Keys.
    keys: usize,
    /// Presets.
    presets: usize,
}

/// Prints what applying a folder would change.
pub(crate) async fn plan(
    session: &Session,
    console: &mut Console,
    folder: &Path,
) -> Result<Exit, Failure> {
    let wanted = load(folder)?;
    let head = session.head().await?;
    let (active, version, revision, preset) = match &head {
        Some(it) => {
            let head = &it.head;
            let active = session.declared(head, &[]).await?;
            (active, head.version, head.source_revision.clone(), Some(&head.active_preset))
        }
        None => (Declarations::default(), 0, String::new(), None),
    };
    let mut faults = validate(&Declarations { keys: active.keys.clone(), ..wanted.clone() });
    match preset {
        Some(it) if !wanted.presets.iter().any(|preset| preset.name == *it) => {
            let problem = format!("the active preset `{it}` is not declared");
            faults.push(fault("presets", problem, "switch to another preset before removing it"));
        }
        None if wanted.initial_preset.is_none() && wanted.presets.len() > 1 => {
            let problem = "no preset is chosen".to_owned();
            faults.push(fault("initial_preset", problem, "name the preset to start with"));
        }
        _ => {}
    }
    faults.extend(skipped_rollouts(session, &active, &wanted).await?);
    let report = PlanReport {
        result: if faults.is_empty() { Exit::Done } else { Exit::Rejected },
        active_version: version,
        active_revision: revision,
        changes: diff(&active, &wanted),
        faults: faults.into_iter().map(FaultLine::from).collect(),
    };
    console.result(&report, || {
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
    for it in &report.faults {
        console.error(&format!("error: {}: {} (hint: {})", it.place, it.problem, it.hint));
    }
    Ok(report.result)
}

/// Makes a folder the configuration.
pub(crate) async fn apply(
    session: &Session,
    console: &mut Console,
    flags: &Apply,
) -> Result<Exit, Failure> {
    let revision = flags.revision.trim();
    if revision.is_empty() || revision.len() > MAX_REVISION || revision.contains(char::is_control) {
        let message = "--revision: is empty, too long or has control characters";
        let hint = format!("give the commit of the folder, up to {MAX_REVISION} bytes");
        return Err(Failure::new(Exit::Usage, message, hint));
    }
    let wanted = load(&flags.folder)?;
    let head = session.head().await?;
    let active = match &head {
        Some(it) => session.declared(&it.head, &[]).await?,
        None => Declarations::default(),
    };
    let id = change_id("apply");
    let mut report = ChangeReport::new(&id);
    report.changes = diff(&active, &wanted);
    let kind = ChangeKind {
        done: format!("revision {revision} is the configuration"),
        look_up: format!("`show` prints change {id} when it took effect"),
        until_confirmed: "such a zone uses an older version until it hears of this one; \
                          `status` shows when it has"
            .to_owned(),
    };
    if !flags.without_rollout {
        let faults = skipped_rollouts(session, &active, &wanted).await?;
        if !faults.is_empty() {
            let outcome = kingcupford_platform::ChangeOutcome::Rejected(faults);
            return Ok(report.finish(session, console, &kind, outcome).await);
        }
    }
    let current = head.as_ref().map(|it| it.head.version);
    let request = ChangeRequest {
        id,
        source_revision: revision.to_owned(),
        expected_version: flags.planned_version.or(current),
    };
    let outcome = session.config.apply(&wanted, &request).await;
    Ok(report.finish(session, console, &kind, outcome).await)
}

/// Prints the active configuration in short.
pub(crate) async fn show(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let head = session.required_head().await?.head;
    let all = session.declared(&head, &[]).await?;
    let versions = all.services.iter().flat_map(|it| &it.versions);
    let report = ShowReport {
        version: head.version,
        revision: head.source_revision,
        change_id: head.change_id,
        active_preset: head.active_preset,
        counts: Counts {
            regions: all.regions.len(),
            zones: all.regions.iter().map(|it| it.zones.len()).sum(),
            links: all.links.len(),
            sites: all.sites.len(),
            blocks: all.blocks.len(),
            services: all.services.len(),
            instances: versions.map(|it| it.instances.len()).sum(),
            tenants: all.tenants.len(),
            keys: all.keys.len(),
            presets: all.presets.len(),
        },
    };
    console.result(&report, || {
        let it = &report.counts;
        format!(
            "version        {}\nrevision       {}\nchange         {}\nactive preset  {}\n\
             topology       {} regions, {} zones, {} links, {} sites, {} client blocks\n\
             services       {} with {} instances\ntenants        {} with {} keys\n\
             presets        {}\n",
            report.version,
            report.revision,
            report.change_id,
            report.active_preset,
            it.regions,
            it.zones,
            it.links,
            it.sites,
            it.blocks,
            it.services,
            it.instances,
            it.tenants,
            it.keys,
            it.presets,
        )
    });
    Ok(Exit::Done)
}

/// Reads a folder, with the syntax faults of all files in one pass.
fn load(folder: &Path) -> Result<Declarations, Failure> {
    let error = match load_folder(folder) {
        Ok(it) => return Ok(it),
        Err(it) => it,
    };
    let mut messages = vec![error.to_string()];
    if matches!(error, LoadError::Syntax { .. }) {
        messages = syntax_faults(folder);
    }
    let hint = "correct the files and plan again";
    Err(Failure::new(Exit::Usage, messages.join("\n"), hint))
}

/// The syntax faults of all files of a folder.
fn syntax_faults(folder: &Path) -> Vec<String> {
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

/// Changes that would end or bypass rollouts: a new active version without a finished rollout to
/// it, and a removed version that an open rollout uses.
async fn skipped_rollouts(
    session: &Session,
    active: &Declarations,
    wanted: &Declarations,
) -> Result<Vec<ValidationError>, Failure> {
    let mut res = Vec::new();
    for old in &active.services {
        let new = wanted.services.iter().find(|it| it.name == old.name);
        if new == Some(old) {
            continue;
        }
        let place = format!("services.{}", old.name);
        let name = format!("{ROLLOUT_PREFIX}{}", old.name);
        let rollout = session.json::<Rollout>(&name).await?.map(|it| it.1);
        let open = rollout.as_ref().filter(|it| !it.state.is_final());
        let Some(new) = new else {
            if let Some(it) = open {
                let problem = format!("a rollout to `{}` is {}", it.to, it.state);
                res.push(fault(&place, problem, "wait until it ends or roll it back"));
            }
            continue;
        };
        if let Some(it) = open {
            for version in [&it.from, &it.to] {
                if !new.versions.iter().any(|it| it.name == *version) {
                    let problem = format!("an open rollout uses version `{version}`");
                    res.push(fault(&place, problem, "keep the version until the rollout ends"));
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
            res.push(fault(&place, problem, hint));
        }
    }
    Ok(res)
}

/// A fault in one place.
fn fault(place: &str, problem: String, hint: &str) -> ValidationError {
    ValidationError { place: place.to_owned(), problem, hint: hint.to_owned() }
}
