//! Commands on presets.

use kingcupford_config::ChunkKind;
use serde::Serialize;

use crate::{
    change::{ChangeMessages, ChangeReport},
    console::{CommandError, Console},
    exit::ExitStatus,
    session::{Session, new_change_id},
    table::Table,
};

#[derive(Debug, Serialize)]
struct PresetRow {
    name: String,
    active: bool,
    /// Number of traffic shifts.
    shifts: usize,
    /// Number of drains.
    drains: usize,
    /// Number of limits on regions.
    region_limits: usize,
}

pub(crate) async fn list(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let head = session.read_required_head().await?.head;
    let declarations = session.read_declarations(&head, &[ChunkKind::Presets]).await?;
    let rows = declarations.presets.iter().map(|it| PresetRow {
        name: it.name.clone(),
        active: it.name == head.active_preset,
        shifts: it.shifts.len(),
        drains: it.drains.len(),
        region_limits: it.region_limits.len(),
    });
    let rows: Vec<_> = rows.collect();
    console.print_result(&rows, || {
        let mut table = Table::new(&["PRESET", "ACTIVE", "SHIFTS", "DRAINS", "LIMITS"]);
        for it in &rows {
            table.add_row(vec![
                it.name.clone(),
                if it.active { "yes" } else { "no" }.to_owned(),
                it.shifts.to_string(),
                it.drains.to_string(),
                it.region_limits.to_string(),
            ]);
        }
        table.render()
    });
    Ok(ExitStatus::Done)
}

/// Activates a preset.
pub(crate) async fn switch(
    session: &Session,
    console: &mut Console,
    name: &str,
) -> Result<ExitStatus, CommandError> {
    let id = new_change_id("preset");
    let messages = ChangeMessages {
        success: format!("preset {name} is active"),
        lookup_hint: "`preset list` shows which preset is active".to_owned(),
        unconfirmed_hint: "such a zone goes on with the former preset until it hears of this one; \
                          `status` shows when it has"
            .to_owned(),
    };
    let outcome = session.config.switch_preset(name, &id).await;
    Ok(ChangeReport::new(&id).finish(session, console, &messages, outcome).await)
}
