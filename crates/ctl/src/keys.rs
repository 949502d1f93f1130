//! Commands on caller keys.

use kingcupford_config::{CallerKey, ChunkKind, KeyDecl};
use rand::Rng as _;
use serde::Serialize;

use crate::{
    change::{ChangeMessages, ChangeReport, IssuedKey},
    console::{CommandError, Console},
    exit::ExitStatus,
    flags::KeyIssue,
    session::{Session, new_change_id},
    table::Table,
};

const MAX_KEY_ID_BYTES: usize = 64;

/// Issued key as listed; the hash of the key is not shown.
#[derive(Debug, Serialize)]
struct KeyRow {
    id: String,
    #[serde(rename = "tenant")]
    team: String,
}

/// Issues a key and prints it.
pub(crate) async fn issue(
    session: &Session,
    console: &mut Console,
    flags: KeyIssue,
) -> Result<ExitStatus, CommandError> {
    let mut rng = rand::rng();
    let team = flags.tenant;
    let id = flags.id.unwrap_or_else(|| format!("{team}-{:08x}", rng.random::<u32>()));
    let is_allowed = |it: char| it.is_ascii_alphanumeric() || "-.".contains(it);
    if id.is_empty() || id.len() > MAX_KEY_ID_BYTES || !id.chars().all(is_allowed) {
        let hint = format!("use up to {MAX_KEY_ID_BYTES} letters, digits, `-` and `.`");
        return Err(CommandError::new(
            ExitStatus::Usage,
            format!("--id: `{id}` is no identifier"),
            hint,
        ));
    }
    let key = CallerKey::new(&id, rng.random());
    let declaration = KeyDecl { id: id.clone(), team: team.clone(), sha256: key.hash() };
    let change_id = new_change_id("issue");
    let mut report = ChangeReport::new(&change_id);
    report.key =
        Some(IssuedKey { id: id.clone(), team: team.clone(), key: key.reveal().to_owned() });
    let messages = ChangeMessages {
        success: format!("key {id} of team {team} is issued"),
        lookup_hint: format!("if `key list` shows {id}, revoke it, then issue another key"),
        unconfirmed_hint: "such a zone refuses the key until it hears of it; `status` shows when \
                          it has"
            .to_owned(),
    };
    let outcome = session.config.issue_key(&declaration, &change_id).await;
    Ok(report.finish(session, console, &messages, outcome).await)
}

pub(crate) async fn revoke(
    session: &Session,
    console: &mut Console,
    id: &str,
) -> Result<ExitStatus, CommandError> {
    let change_id = new_change_id("revoke");
    let messages = ChangeMessages {
        success: format!("key {id} is revoked"),
        lookup_hint: format!("`key list` shows {id} if it is still valid"),
        unconfirmed_hint: "such a zone still serves the key until it hears of the revocation, \
                          unless the team has `when_isolated: refuse` and the zone is cut off; \
                          `status` shows when it has heard"
            .to_owned(),
    };
    let outcome = session.config.revoke_key(id, &change_id).await;
    Ok(ChangeReport::new(&change_id).finish(session, console, &messages, outcome).await)
}

pub(crate) async fn list(
    session: &Session,
    console: &mut Console,
) -> Result<ExitStatus, CommandError> {
    let head = session.read_required_head().await?.head;
    let declarations = session.read_declarations(&head, &[ChunkKind::Keys]).await?;
    let keys = declarations.keys.into_iter().map(|it| KeyRow { id: it.id, team: it.team });
    let keys: Vec<_> = keys.collect();
    console.print_result(&keys, || {
        let mut table = Table::new(&["KEY", "TENANT"]);
        for it in &keys {
            table.add_row(vec![it.id.clone(), it.team.clone()]);
        }
        table.render()
    });
    Ok(ExitStatus::Done)
}
