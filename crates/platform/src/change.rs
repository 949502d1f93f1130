//! Requested changes of the configuration and their outcomes.

use kingcupford_config::{ChunkKind, Declarations, Head, KeyDecl, ValidationError, diff};

/// Identity and origin of a change of the declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Random identifier of the change. A repeated request is recognised while the change is the
    /// newest one, or when it directly follows `expected_version`.
    pub id: String,
    /// Revision of the declarations in version control.
    pub source_revision: String,
    /// Configuration version against which the operator planned the change, `None` for the current
    /// one.
    pub expected_version: Option<u64>,
}

/// Outcome of a change of the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change took effect. A later change may have replaced it since.
    Applied {
        /// Configuration version of the change.
        version: u64,
    },
    /// Another change took effect first; this one had no effect.
    LostRace(LostRace),
    /// The deadline passed before the outcome could be determined.
    Undetermined,
    /// The platform was unavailable until the deadline; the change had no effect.
    Unavailable,
    /// The resulting configuration would be invalid; the change had no effect.
    Rejected(Vec<ValidationError>),
}

/// The change that took effect first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRace {
    /// Configuration version of the winning change.
    pub version: u64,
    /// Revision of the winning change's declarations in version control.
    pub source_revision: String,
    /// Whether both changes affect the same entry; also `true` if this could not be determined.
    pub overlaps: bool,
}

/// A change that can be applied to any current head.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Edit<'a> {
    /// Replaces all declarations of the operators' folders, that is all except keys.
    ReplaceDeclarations { declarations: &'a Declarations, source_revision: &'a str },
    /// Adds a key.
    IssueKey(&'a KeyDecl),
    /// Removes the key with this identifier.
    RevokeKey(&'a str),
    /// Activates the preset with this name.
    SwitchPreset(&'a str),
}

impl Edit<'_> {
    /// Whether the edit can be applied on top of concurrent changes to `changed_places`.
    pub(crate) fn can_rebase_onto(&self, changed_places: &[String]) -> bool {
        match self {
            // The declarations would revert every concurrent change of other declarations.
            Self::ReplaceDeclarations { .. } => {
                changed_places.iter().all(|it| it.starts_with("keys.") || it == "active_preset")
            }
            Self::IssueKey(key) => !contains(changed_places, &format!("keys.{}", key.id)),
            Self::RevokeKey(id) => !contains(changed_places, &format!("keys.{id}")),
            Self::SwitchPreset(name) => {
                !contains(changed_places, "active_preset")
                    && !contains(changed_places, &format!("presets.{name}"))
            }
        }
    }

    /// Returns the kinds of chunks in which concurrent changes are compared with the edit.
    pub(crate) fn compared_kinds(&self) -> &'static [ChunkKind] {
        match self {
            Self::ReplaceDeclarations { .. } => &[
                ChunkKind::Topology,
                ChunkKind::Blocks,
                ChunkKind::Services,
                ChunkKind::Teams,
                ChunkKind::Keys,
                ChunkKind::Presets,
            ],
            Self::IssueKey(_) | Self::RevokeKey(_) => &[ChunkKind::Keys],
            Self::SwitchPreset(_) => &[ChunkKind::Presets],
        }
    }
}

/// Returns `head` with only the chunks of the given kinds that `other` does not refer to.
pub(crate) fn with_chunks_not_in(head: &Head, other: &Head, kinds: &[ChunkKind]) -> Head {
    let chunks = head.chunks.iter();
    let chunks = chunks.filter(|it| kinds.contains(&it.kind) && !other.chunks.contains(it));
    Head { chunks: chunks.cloned().collect(), ..head.clone() }
}

/// Returns the sorted places in which two partial configurations differ.
pub(crate) fn differing_places(
    old: (&Head, &Declarations),
    new: (&Head, &Declarations),
) -> Vec<String> {
    let mut res: Vec<String> = diff(old.1, new.1).into_iter().map(|it| it.place).collect();
    let is_missing = |it: &&KeyDecl, others: &[KeyDecl]| !others.contains(it);
    let removed = old.1.keys.iter().filter(|it| is_missing(it, &new.1.keys));
    let added = new.1.keys.iter().filter(|it| is_missing(it, &old.1.keys));
    res.extend(removed.chain(added).map(|it| format!("keys.{}", it.id)));
    if old.0.active_preset != new.0.active_preset {
        res.push("active_preset".to_owned());
    }
    res.sort();
    res.dedup();
    res
}

pub(crate) fn validation_error(place: &str, problem: &str, hint: &str) -> ValidationError {
    ValidationError { place: place.to_owned(), problem: problem.to_owned(), hint: hint.to_owned() }
}

fn contains(places: &[String], place: &str) -> bool {
    places.iter().any(|it| it == place)
}
