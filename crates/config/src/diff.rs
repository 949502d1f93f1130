//! What applying declarations would change.

use std::fmt;

use serde::Serialize;
use strum::Display;

use crate::declare::Declarations;

/// One entry that differs between two declarations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// How it differs.
    pub kind: ChangeKind,
    /// The place, as a path through the declarations.
    pub place: String,
}

/// How an entry differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the wanted declarations have it.
    Add,
    /// Only the active declarations have it.
    Remove,
    /// Both have it with other content.
    Update,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.place)
    }
}

/// Answers what turns `active` into `wanted`, keys left out, since folders do not declare them.
pub fn diff(active: &Declarations, wanted: &Declarations) -> Vec<Change> {
    let mut res = Vec::new();
    diff_lists("regions", &active.regions, &wanted.regions, |it| it.name.clone(), &mut res);
    diff_lists("links", &active.links, &wanted.links, |it| it.between.join("-"), &mut res);
    diff_lists("sites", &active.sites, &wanted.sites, |it| it.name.clone(), &mut res);
    diff_lists("blocks", &active.blocks, &wanted.blocks, |it| it.cidr.to_string(), &mut res);
    diff_lists("services", &active.services, &wanted.services, |it| it.name.clone(), &mut res);
    diff_lists("tenants", &active.tenants, &wanted.tenants, |it| it.name.clone(), &mut res);
    diff_lists("presets", &active.presets, &wanted.presets, |it| it.name.clone(), &mut res);
    res
}

/// Compares two lists by name.
fn diff_lists<T: PartialEq>(
    list: &str,
    active: &[T],
    wanted: &[T],
    name: impl Fn(&T) -> String,
    res: &mut Vec<Change>,
) {
    let sorted = |items| {
        let mut named: Vec<(String, &T)> = <[T]>::iter(items).map(|it| (name(it), it)).collect();
        named.sort_by(|a, b| a.0.cmp(&b.0));
        named
    };
    let active = sorted(active);
    let wanted = sorted(wanted);
    let find = |items: &[(String, &T)], name: &str| {
        items.binary_search_by(|it| it.0.as_str().cmp(name)).ok()
    };
    for (name, it) in &wanted {
        let kind = match find(&active, name) {
            None => ChangeKind::Add,
            Some(at) if active[at].1 != *it => ChangeKind::Update,
            Some(_) => continue,
        };
        res.push(Change { kind, place: format!("{list}.{name}") });
    }
    for (name, _) in &active {
        if find(&wanted, name).is_none() {
            res.push(Change { kind: ChangeKind::Remove, place: format!("{list}.{name}") });
        }
    }
}
