//! Changes of the configuration: what is asked for and how it ends.

use kingcupford_config::{ChunkKind, Declarations, Head, KeyDecl, ValidationError, diff};

/// Identifies a change of the declarations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Random identifier; a repeat is recognised while the change is the newest one, or when it
    /// directly follows `expected_version`.
    pub id: String,
    /// Revision of the declarations in version control.
    pub source_revision: String,
    /// The version that the operator planned against, the current one when `None`.
    pub expected_version: Option<u64>,
}

/// How a change ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is the configuration, or was until a later change.
    Applied {
        /// Its version number.
        version: u64,
    },
    /// Another change came first; this one took no effect.
    LostRace(LostRace),
    /// The deadline passed before it was known whether it took effect.
    Undetermined,
    /// The platform could not be used up to the deadline; it took no effect.
    Unavailable,
    /// It would make the configuration faulty; it took no effect.
    Rejected(Vec<ValidationError>),
}

/// The change that came first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRace {
    /// Version number of the winner.
    pub version: u64,
    /// Revision of the winner's declarations in version control.
    pub source_revision: String,
    /// Whether both change the same entry, or this could not be found out.
    pub overlaps: bool,
}

/// One change to be applied to whatever head is current.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Edit<'a> {
    /// Replaces everything that operators declare in folders.
    Declare {
        /// The wanted declarations.
        declarations: &'a Declarations,
        /// Their revision.
        source_revision: &'a str,
    },
    /// Adds a key.
    IssueKey(&'a KeyDecl),
    /// Removes the key with this identifier.
    RevokeKey(&'a str),
    /// Makes this preset the active one.
    SwitchPreset(&'a str),
}

impl Edit<'_> {
    /// Whether changes at other `places` leave the edit as it was meant.
    pub(crate) fn may_rebase(&self, places: &[String]) -> bool {
        match self {
            // A folder would revert every other declared change.
            Self::Declare { .. } => {
                places.iter().all(|it| it.starts_with("keys.") || it == "active_preset")
            }
            Self::IssueKey(key) => !has(places, &format!("keys.{}", key.id)),
            Self::RevokeKey(id) => !has(places, &format!("keys.{id}")),
            Self::SwitchPreset(name) => {
                !has(places, "active_preset") && !has(places, &format!("presets.{name}"))
            }
        }
    }

    /// The kinds of chunks in which other changes matter.
    pub(crate) fn relevant_kinds(&self) -> &'static [ChunkKind] {
        match self {
            Self::Declare { .. } => &[
                ChunkKind::Topology,
                ChunkKind::Blocks,
                ChunkKind::Services,
                ChunkKind::Tenants,
                ChunkKind::Keys,
                ChunkKind::Presets,
            ],
            Self::IssueKey(_) | Self::RevokeKey(_) => &[ChunkKind::Keys],
            Self::SwitchPreset(_) => &[ChunkKind::Presets],
        }
    }
}

/// A head reduced to the chunks of some kinds that another head does not have.
pub(crate) fn only_in(head: &Head, other: &Head, kinds: &[ChunkKind]) -> Head {
    let chunks = head.chunks.iter();
    let chunks = chunks.filter(|it| kinds.contains(&it.kind) && !other.chunks.contains(it));
    Head { chunks: chunks.cloned().collect(), ..head.clone() }
}

/// The places in which two partial configurations differ.
pub(crate) fn places(old: (&Head, &Declarations), new: (&Head, &Declarations)) -> Vec<String> {
    let mut res: Vec<String> = diff(old.1, new.1).into_iter().map(|it| it.place).collect();
    let differs = |it: &&KeyDecl, others: &[KeyDecl]| !others.contains(it);
    let removed = old.1.keys.iter().filter(|it| differs(it, &new.1.keys));
    let added = new.1.keys.iter().filter(|it| differs(it, &old.1.keys));
    res.extend(removed.chain(added).map(|it| format!("keys.{}", it.id)));
    if old.0.active_preset != new.0.active_preset {
        res.push("active_preset".to_owned());
    }
    res.sort();
    res.dedup();
    res
}

/// A fault in one place.
pub(crate) fn fault(place: &str, problem: &str, hint: &str) -> ValidationError {
    ValidationError { place: place.to_owned(), problem: problem.to_owned(), hint: hint.to_owned() }
}

/// Whether a place is listed.
fn has(places: &[String], place: &str) -> bool {
    places.iter().any(|it| it == place)
}
