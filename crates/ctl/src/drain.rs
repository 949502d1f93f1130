//! Commands on the drains of the active preset.

use kingcupford_config::{ChunkKind, Declarations, DrainDecl, DrainTarget, PresetDecl};
use kingcupford_platform::{ChangeOutcome, ChangeRequest, LostRace, ObjectStore as _};
use serde::Serialize;
use tokio::time::Instant;

use crate::{
    change::{ChangeMessages, ChangeReport},
    console::{CommandError, Console},
    exit::ExitStatus,
    session::{Session, new_change_id},
    table::Table,
};

// Marks versions whose drains differ from the revision in version control.
const DRAINS_REVISION_SUFFIX: &str = "+drains";

#[derive(Debug, Serialize)]
struct DrainStatus {
    active_preset: String,
    /// Drains of the active preset.
    drains: Vec<DrainRow>,
}

#[derive(Debug, Serialize)]
struct DrainRow {
    /// Kind of the drained target, such as `zone`.
    target: String,
    name: String,
    /// Names of the instances that get no new requests because of the drain.
    instances: Vec<String>,
}

/// Adds a drain to the active preset if `add` is set, otherwise removes it.
///
/// The edit is repeated after a lost race, unless the other change affects the same drain or the
/// choice of the active preset.
pub(crate) async fn edit(
    session: &Session,
    console: &mut Console,
    target: DrainTarget,
    name: &str,
    add: bool,
) -> Result<ExitStatus, CommandError> {
    let drain = DrainDecl { target, name: name.to_owned() };
    let change_kind = if add { "add-drain" } else { "remove-drain" };
    let new_state = if add { "drained" } else { "not drained any more" };
    let messages = ChangeMessages {
        success: format!("{target} {name} is {new_state}"),
        lookup_hint: "`drain status` shows the drains in force".to_owned(),
        unconfirmed_hint: "such a zone goes on with the former drains until it hears of this \
                          change; `status` shows when it has"
            .to_owned(),
    };
    if add && target == DrainTarget::Host {
        let hosts = session.read_with_retry(|| session.store.list_hosts()).await?;
        if !hosts.iter().any(|it| it.name == name) {
            console.print_error(&format!("warning: no host {name} is announced at the platform"));
        }
    }
    let deadline = Instant::now() + session.timeout;
    let mut first_state: Option<(String, bool)> = None;
    loop {
        let id = new_change_id(change_kind);
        let head = session.read_required_head().await?.head;
        let mut declarations = session.read_declarations(&head, &[]).await?;
        declarations.keys.clear();
        let Some(preset) = active_preset_mut(&mut declarations, &head.active_preset) else {
            return Err(CommandError::new(
                ExitStatus::Rejected,
                format!("presets.{}: the active preset is not declared", head.active_preset),
                "apply a folder that declares it",
            ));
        };
        let is_drained = preset.drains.contains(&drain);
        let current_state = (head.active_preset.clone(), is_drained);
        // Another operator changed the same drain or the active preset since the first read.
        if let Some(first_state) = &first_state
            && *first_state != current_state
        {
            let lost = LostRace {
                version: head.version,
                source_revision: head.source_revision,
                overlaps: true,
            };
            let report = ChangeReport::new(&id);
            return Ok(report
                .finish(session, console, &messages, ChangeOutcome::LostRace(lost))
                .await);
        }
        if is_drained == add {
            let problem = if add { "is drained already" } else { "is not drained" };
            return Err(CommandError::new(
                ExitStatus::Rejected,
                format!("presets.{}.drains.{name}: {target} {problem}", head.active_preset),
                "`drain status` shows the drains in force",
            ));
        }
        if add {
            preset.drains.push(drain.clone());
        } else {
            preset.drains.retain(|it| *it != drain);
        }
        first_state = Some(current_state);
        let base = head.source_revision.trim_end_matches(DRAINS_REVISION_SUFFIX);
        let request = ChangeRequest {
            id: id.clone(),
            source_revision: format!("{base}{DRAINS_REVISION_SUFFIX}"),
            expected_version: Some(head.version),
        };
        let outcome = session.config.apply(&declarations, &request).await;
        // The edit is repeated on the winner's version, since the other change may affect other
        // entries only.
        if matches!(outcome, ChangeOutcome::LostRace(_)) && Instant::now() < deadline {
            continue;
        }
        return Ok(ChangeReport::new(&id).finish(session, console, &messages, outcome).await);
    }
}

/// Prints the drains of the active preset with the instances that they take out of service.
pub(crate) async fn status(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let head = session.read_required_head().await?.head;
    let kinds = [ChunkKind::Topology, ChunkKind::Services, ChunkKind::Presets];
    let mut declarations = session.read_declarations(&head, &kinds).await?;
    let drains = match active_preset_mut(&mut declarations, &head.active_preset) {
        Some(it) => it.drains.clone(),
        None => Vec::new(),
    };
    let rows = drains.iter().map(|it| DrainRow {
        target: it.target.to_string(),
        name: it.name.clone(),
        instances: drained_instances(&declarations, it),
    });
    let report = DrainStatus { drains: rows.collect(), active_preset: head.active_preset.clone() };
    console.print_result(&report, || {
        let mut table = Table::new(&["TARGET", "NAME", "INSTANCES"]);
        for it in &report.drains {
            let instances = it.instances.len().to_string();
            table.add_row(vec![it.target.clone(), it.name.clone(), instances]);
        }
        format!("preset {}\n{}", report.active_preset, table.render())
    });
    Ok(ExitStatus::Done)
}

fn active_preset_mut<'d>(
    declarations: &'d mut Declarations,
    name: &str,
) -> Option<&'d mut PresetDecl> {
    declarations.presets.iter_mut().find(|it| it.name == name)
}

/// Returns the names of the instances that a drain takes out of service.
fn drained_instances(declarations: &Declarations, drain: &DrainDecl) -> Vec<String> {
    let is_site_in_zone = |site: &str, zone: &str| {
        declarations.sites.iter().any(|it| it.name == site && it.zone == zone)
    };
    let is_site_in_region = |site: &str| {
        let regions = declarations.regions.iter().filter(|it| it.name == drain.name);
        regions.flat_map(|it| &it.zones).any(|it| is_site_in_zone(site, it))
    };
    let instances =
        declarations.services.iter().flat_map(|it| &it.versions).flat_map(|it| &it.instances);
    let drained = instances.filter(|it| match drain.target {
        DrainTarget::Region => is_site_in_region(&it.site),
        DrainTarget::Zone => is_site_in_zone(&it.site, &drain.name),
        DrainTarget::Site => it.site == drain.name,
        DrainTarget::Instance => it.name == drain.name,
        DrainTarget::Host => false,
    });
    drained.map(|it| it.name.clone()).collect()
}
