//! Commands on presets.

use kingcupford_config::ChunkKind;
use serde::Serialize;

use crate::{
    change::{ChangeKind, ChangeReport},
    console::{Console, Failure},
    exit::Exit,
    session::{Session, change_id},
    table::Table,
};

/// One preset.
#[derive(Debug, Serialize)]
struct PresetLine {
    /// Its name.
    name: String,
    /// Whether it is the active one.
    active: bool,
    /// Number of traffic shifts.
    shifts: usize,
    /// Number of drains.
    drains: usize,
    /// Number of limits on regions.
    region_limits: usize,
}

/// Lists the presets.
pub(crate) async fn list(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let head = session.required_head().await?.head;
    let all = session.declared(&head, &[ChunkKind::Presets]).await?;
    let lines = all.presets.iter().map(|it| PresetLine {
        name: it.name.clone(),
        active: it.name == head.active_preset,
        shifts: it.shifts.len(),
        drains: it.drains.len(),
        region_limits: it.region_limits.len(),
    });
    let lines: Vec<_> = lines.collect();
    console.result(&lines, || {
        let mut table = Table::new(&["PRESET", "ACTIVE", "SHIFTS", "DRAINS", "LIMITS"]);
        for it in &lines {
            table.row(vec![
                it.name.clone(),
                if it.active { "yes" } else { "no" }.to_owned(),
                it.shifts.to_string(),
                it.drains.to_string(),
                it.region_limits.to_string(),
            ]);
        }
        table.render()
    });
    Ok(Exit::Done)
}

/// Makes a preset the active one.
pub(crate) async fn switch(
    session: &Session,
    console: &mut Console,
    name: &str,
) -> Result<Exit, Failure> {
    let id = change_id("preset");
    let kind = ChangeKind {
        done: format!("preset {name} is active"),
        look_up: "`preset list` shows which preset is active".to_owned(),
        until_confirmed: "such a zone goes on with the former preset until it hears of this one; \
                          `status` shows when it has"
            .to_owned(),
    };
    let outcome = session.config.switch_preset(name, &id).await;
    Ok(ChangeReport::new(&id).finish(session, console, &kind, outcome).await)
}
