//! Differences between the active declarations and those to be applied.

use std::fmt;

use serde::Serialize;
use strum::Display;

use crate::declare::Declarations;

/// One entry that differs between two sets of declarations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// How the entry differs.
    pub kind: ChangeKind,
    /// Path of the entry in the declarations, such as `teams.acme`.
    pub place: String,
}

/// How an entry differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the desired declarations contain the entry.
    Add,
    /// Only the active declarations contain the entry.
    Remove,
    /// Both contain the entry, with different content.
    Update,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.place)
    }
}

/// Returns the changes that turn `active` into `desired`.
///
/// Keys are not compared, since folders do not declare them.
pub fn diff(active: &Declarations, desired: &Declarations) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_lists("regions", &active.regions, &desired.regions, |it| it.name.clone(), &mut changes);
    diff_lists("links", &active.links, &desired.links, |it| it.between.join("-"), &mut changes);
    diff_lists("sites", &active.sites, &desired.sites, |it| it.name.clone(), &mut changes);
    diff_lists("blocks", &active.blocks, &desired.blocks, |it| it.cidr.to_string(), &mut changes);
    diff_lists("services", &active.services, &desired.services, |it| it.name.clone(), &mut changes);
    diff_lists("tenants", &active.teams, &desired.teams, |it| it.name.clone(), &mut changes);
    diff_lists("presets", &active.presets, &desired.presets, |it| it.name.clone(), &mut changes);
    changes
}

/// Compares two lists by the names of their entries and appends the changes.
///
/// Added and updated entries come first, then removed ones, both sorted by name.
fn diff_lists<T: PartialEq>(
    list: &str,
    active: &[T],
    desired: &[T],
    name_of: impl Fn(&T) -> String,
    changes: &mut Vec<Change>,
) {
    let sorted_by_name = |entries| {
        let mut named: Vec<(String, &T)> =
            <[T]>::iter(entries).map(|it| (name_of(it), it)).collect();
        named.sort_by(|a, b| a.0.cmp(&b.0));
        named
    };
    let active = sorted_by_name(active);
    let desired = sorted_by_name(desired);
    let find = |entries: &[(String, &T)], name: &str| {
        entries.binary_search_by(|it| it.0.as_str().cmp(name)).ok()
    };
    for (name, entry) in &desired {
        let kind = match find(&active, name) {
            None => ChangeKind::Add,
            Some(index) if active[index].1 != *entry => ChangeKind::Update,
            Some(_) => continue,
        };
        changes.push(Change { kind, place: format!("{list}.{name}") });
    }
    for (name, _) in &active {
        if find(&desired, name).is_none() {
            changes.push(Change { kind: ChangeKind::Remove, place: format!("{list}.{name}") });
        }
    }
}
