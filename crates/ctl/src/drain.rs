//! Commands on drains of the active preset.

use kingcupford_config::{ChunkKind, Declarations, DrainDecl, DrainTarget, PresetDecl};
use kingcupford_platform::{ChangeOutcome, ChangeRequest, LostRace, ObjectStore as _};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    change::{ChangeKind, ChangeReport},
    console::{Console, Failure},
    exit::Exit,
    session::{Session, change_id},
    table::Table,
};

/// Marks a version whose drains differ from its revision in version control.
const REVISION_MARK: &str = "+drains";

/// Drains in force.
#[derive(Debug, Serialize)]
struct DrainStatus {
    /// The active preset.
    active_preset: String,
    /// Its drains.
    drains: Vec<DrainLine>,
}

/// One drain.
#[derive(Debug, Serialize)]
struct DrainLine {
    /// Kind of the part.
    target: String,
    /// Name of the part.
    name: String,
    /// Instances that get no new work because of it.
    instances: Vec<String>,
}

/// Adds or removes a drain of the active preset.
pub(crate) async fn edit(
    session: &Session,
    console: &mut Console,
    target: DrainTarget,
    name: &str,
    add: bool,
) -> Result<Exit, Failure> {
    let wanted = DrainDecl { target, name: name.to_owned() };
    let verb = if add { "add-drain" } else { "remove-drain" };
    let now = if add { "drained" } else { "not drained any more" };
    let kind = ChangeKind {
        done: format!("{target} {name} is {now}"),
        look_up: "`drain status` shows the drains in force".to_owned(),
        until_confirmed: "such a zone goes on with the former drains until it hears of this \
                          change; `status` shows when it has"
            .to_owned(),
    };
    if add && target == DrainTarget::Host {
        let hosts = session.answered(|| session.store.list_hosts()).await?;
        if !hosts.iter().any(|it| it.name == name) {
            console.error(&format!("warning: no host {name} is announced at the platform"));
        }
    }
    let deadline = Instant::now() + session.timeout;
    let mut first: Option<(String, bool)> = None;
    loop {
        let id = change_id(verb);
        let head = session.required_head().await?.head;
        let mut all = session.declared(&head, &[]).await?;
        all.keys.clear();
        let Some(preset) = active(&mut all, &head.active_preset) else {
            return Err(Failure::new(
                Exit::Rejected,
                format!("presets.{}: the active preset is not declared", head.active_preset),
                "apply a folder that declares it",
            ));
        };
        let is_there = preset.drains.contains(&wanted);
        let seen = (head.active_preset.clone(), is_there);
        // Another operator changed the same drain or the active preset since the first reading.
        if let Some(first) = &first
            && *first != seen
        {
            let lost = LostRace {
                version: head.version,
                source_revision: head.source_revision,
                overlaps: true,
            };
            let report = ChangeReport::new(&id);
            return Ok(report.finish(session, console, &kind, ChangeOutcome::LostRace(lost)).await);
        }
        if is_there == add {
            let problem = if add { "is drained already" } else { "is not drained" };
            return Err(Failure::new(
                Exit::Rejected,
                format!("presets.{}.drains.{name}: {target} {problem}", head.active_preset),
                "`drain status` shows the drains in force",
            ));
        }
        if add {
            preset.drains.push(wanted.clone());
        } else {
            preset.drains.retain(|it| *it != wanted);
        }
        first = Some(seen);
        let base = head.source_revision.trim_end_matches(REVISION_MARK);
        let request = ChangeRequest {
            id: id.clone(),
            source_revision: format!("{base}{REVISION_MARK}"),
            expected_version: Some(head.version),
        };
        let outcome = session.config.apply(&all, &request).await;
        // The edit is repeated on the winner's version, which it may not overlap with.
        if matches!(outcome, ChangeOutcome::LostRace(_)) && Instant::now() < deadline {
            continue;
        }
        return Ok(ChangeReport::new(&id).finish(session, console, &kind, outcome).await);
    }
}

/// Prints the drains in force.
pub(crate) async fn status(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let head = session.required_head().await?.head;
    let kinds = [ChunkKind::Topology, ChunkKind::Services, ChunkKind::Presets];
    let mut all = session.declared(&head, &kinds).await?;
    let drains = match active(&mut all, &head.active_preset) {
        Some(it) => it.drains.clone(),
        None => Vec::new(),
    };
    let lines = drains.iter().map(|it| DrainLine {
        target: it.target.to_string(),
        name: it.name.clone(),
        instances: drained_instances(&all, it),
    });
    let report = DrainStatus { drains: lines.collect(), active_preset: head.active_preset.clone() };
    console.result(&report, || {
        let mut table = Table::new(&["TARGET", "NAME", "INSTANCES"]);
        for it in &report.drains {
            let instances = it.instances.len().to_string();
            table.row(vec![it.target.clone(), it.name.clone(), instances]);
        }
        format!("preset {}\n{}", report.active_preset, table.render())
    });
    Ok(Exit::Done)
}

/// The active preset.
fn active<'d>(all: &'d mut Declarations, name: &str) -> Option<&'d mut PresetDecl> {
    all.presets.iter_mut().find(|it| it.name == name)
}

/// Names of the instances that a drain takes out of service.
fn drained_instances(all: &Declarations, drain: &DrainDecl) -> Vec<String> {
    let is_in_zone =
        |site: &str, zone: &str| all.sites.iter().any(|it| it.name == site && it.zone == zone);
    let is_in_region = |site: &str| {
        let regions = all.regions.iter().filter(|it| it.name == drain.name);
        regions.flat_map(|it| &it.zones).any(|it| is_in_zone(site, it))
    };
    let instances = all.services.iter().flat_map(|it| &it.versions).flat_map(|it| &it.instances);
    let drained = instances.filter(|it| match drain.target {
        DrainTarget::Region => is_in_region(&it.site),
        DrainTarget::Zone => is_in_zone(&it.site, &drain.name),
        DrainTarget::Site => it.site == drain.name,
        DrainTarget::Instance => it.name == drain.name,
        DrainTarget::Host => false,
    });
    drained.map(|it| it.name.clone()).collect()
}
