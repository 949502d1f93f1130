//! Commands on keys of callers.

use kingcupford_config::{CallerKey, ChunkKind, KeyDecl};
use rand::Rng as _;
use serde::Serialize;

use crate::{
    change::{ChangeKind, ChangeReport, IssuedKey},
    console::{Console, Failure},
    exit::Exit,
    flags::KeyIssue,
    session::{Session, change_id},
    table::Table,
};

/// Longest identifier of a key.
const MAX_ID: usize = 64;

/// One issued key; its hash stays in the platform.
#[derive(Debug, Serialize)]
struct KeyLine {
    /// Public identifier.
    id: String,
    /// The tenant.
    tenant: String,
}

/// Issues a key.
pub(crate) async fn issue(
    session: &Session,
    console: &mut Console,
    flags: KeyIssue,
) -> Result<Exit, Failure> {
    let mut rng = rand::rng();
    let tenant = flags.tenant;
    let id = flags.id.unwrap_or_else(|| format!("{tenant}-{:08x}", rng.random::<u32>()));
    let is_plain = |it: char| it.is_ascii_alphanumeric() || "-.".contains(it);
    if id.is_empty() || id.len() > MAX_ID || !id.chars().all(is_plain) {
        let hint = format!("use up to {MAX_ID} letters, digits, `-` and `.`");
        return Err(Failure::new(Exit::Usage, format!("--id: `{id}` is no identifier"), hint));
    }
    let key = CallerKey::new(&id, rng.random());
    let stored = KeyDecl { id: id.clone(), tenant: tenant.clone(), sha256: key.hash() };
    let change = change_id("issue");
    let mut report = ChangeReport::new(&change);
    report.key =
        Some(IssuedKey { id: id.clone(), tenant: tenant.clone(), key: key.reveal().to_owned() });
    let kind = ChangeKind {
        done: format!("key {id} of tenant {tenant} is issued"),
        look_up: format!("if `key list` shows {id}, revoke it, then issue another key"),
        until_confirmed: "such a zone refuses the key until it hears of it; `status` shows when \
                          it has"
            .to_owned(),
    };
    let outcome = session.config.issue_key(&stored, &change).await;
    Ok(report.finish(session, console, &kind, outcome).await)
}

/// Revokes a key.
pub(crate) async fn revoke(
    session: &Session,
    console: &mut Console,
    id: &str,
) -> Result<Exit, Failure> {
    let change = change_id("revoke");
    let kind = ChangeKind {
        done: format!("key {id} is revoked"),
        look_up: format!("`key list` shows {id} if it is still valid"),
        until_confirmed: "such a zone still serves the key until it hears of the revocation, \
                          unless the tenant has `when_isolated: refuse` and the zone is cut off; \
                          `status` shows when it has heard"
            .to_owned(),
    };
    let outcome = session.config.revoke_key(id, &change).await;
    Ok(ChangeReport::new(&change).finish(session, console, &kind, outcome).await)
}

/// Lists the keys without their hashes.
pub(crate) async fn list(session: &Session, console: &mut Console) -> Result<Exit, Failure> {
    let head = session.required_head().await?.head;
    let all = session.declared(&head, &[ChunkKind::Keys]).await?;
    let keys = all.keys.into_iter().map(|it| KeyLine { id: it.id, tenant: it.tenant });
    let keys: Vec<_> = keys.collect();
    console.result(&keys, || {
        let mut table = Table::new(&["KEY", "TENANT"]);
        for it in &keys {
            table.row(vec![it.id.clone(), it.tenant.clone()]);
        }
        table.render()
    });
    Ok(Exit::Done)
}
