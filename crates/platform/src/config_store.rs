//! The configuration in the platform: reading its head and changing it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use kingcupford_config::{
    Chunk, ChunkKind, ChunkRef, Declarations, Head, KeyDecl, ValidationError, split_into_chunks,
    validate,
};
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    change::{ChangeOutcome, ChangeRequest, Edit, LostRace, fault, only_in, places},
    chunk_store::{ChunkFault, ChunkStore},
    head_write::{HeadWrite, archive, history_name, read_head_once, write_head},
    object::{CallOutcome, ObjectStore},
    retention::delete_unused,
    retry::Retry,
};

/// Name of the head's object.
pub const HEAD_NAME: &str = "config/head";

/// How changes are made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigStoreSettings {
    /// Time for one change; no attempt begins after it.
    pub timeout_ms: u64,
    /// Age below which an unused chunk is kept, for writers that have not written their head yet.
    pub unused_chunk_retention_ms: u64,
}

impl Default for ConfigStoreSettings {
    fn default() -> Self {
        Self { timeout_ms: 30_000, unused_chunk_retention_ms: 600_000 }
    }
}

/// The head with its place in the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredHead {
    /// Version of the object, on which the next update depends.
    pub object_version: u64,
    /// The head.
    pub head: Head,
    /// The head as stored.
    pub bytes: Bytes,
}

/// What stands at the head's name.
#[derive(Debug, Clone, PartialEq)]
pub enum HeadRead {
    /// A head.
    Found(StoredHead),
    /// Nothing; no configuration was ever accepted.
    Missing,
    /// A value that is no head.
    Unreadable,
}

/// Reads and changes the configuration in the platform.
#[derive(Debug)]
pub struct ConfigStore<S> {
    /// The platform.
    store: Arc<S>,
    /// How changes are made.
    settings: ConfigStoreSettings,
    /// Seeds of waits.
    rng: Mutex<SmallRng>,
}

/// A change that is ready to be written.
enum Built {
    /// A new head with the chunks that it may need.
    Next(Head, Vec<Chunk>),
    /// The configuration is already as wanted.
    Same,
}

impl<S: ObjectStore> ConfigStore<S> {
    /// A configuration in the given platform.
    pub fn new(store: Arc<S>, settings: ConfigStoreSettings, seed: u64) -> Self {
        Self { store, settings, rng: Mutex::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Reads the head once.
    pub async fn read_head(&self) -> CallOutcome<HeadRead> {
        read_head_once(&*self.store).await
    }

    /// Reads everything that a head declares, `None` when chunks are missing or the deadline passes.
    pub async fn read_declarations(&self, head: &Head) -> Option<Declarations> {
        let (mut chunks, _) = self.begin();
        chunks.declarations(head).await.ok()
    }

    /// Makes `declarations` the configuration; keys and the active preset stay as they are.
    ///
    /// A race is lost unless the other change touched only keys or the active preset.
    pub async fn apply(
        &self,
        declarations: &Declarations,
        change: &ChangeRequest,
    ) -> ChangeOutcome {
        let source_revision = &change.source_revision;
        let edit = Edit::Declare { declarations, source_revision };
        self.change(edit, &change.id, change.expected_version).await
    }

    /// Adds a key.
    pub async fn issue_key(&self, key: &KeyDecl, change_id: &str) -> ChangeOutcome {
        self.change(Edit::IssueKey(key), change_id, None).await
    }

    /// Removes a key.
    pub async fn revoke_key(&self, key_id: &str, change_id: &str) -> ChangeOutcome {
        self.change(Edit::RevokeKey(key_id), change_id, None).await
    }

    /// Makes a preset the active one.
    pub async fn switch_preset(&self, preset: &str, change_id: &str) -> ChangeOutcome {
        self.change(Edit::SwitchPreset(preset), change_id, None).await
    }

    /// Applies an edit to the current head, again after each race that it does not overlap with.
    async fn change(
        &self,
        edit: Edit<'_>,
        change_id: &str,
        expected_version: Option<u64>,
    ) -> ChangeOutcome {
        let (mut chunks, mut retry) = self.begin();
        let mut planned: Option<Option<Head>> = None;
        loop {
            let base = match self.current(&mut retry).await {
                Ok(it) => it,
                Err(it) => return it,
            };
            let current = base.as_ref().map(|it| &it.head);
            if let Some(it) = current.filter(|it| it.change_id == change_id) {
                return ChangeOutcome::Applied { version: it.version };
            }
            if planned.is_none() {
                planned = Some(match expected_version {
                    Some(it) if current.map(|it| it.version) != Some(it) => {
                        match self.planned_head(it, change_id, &mut retry).await {
                            Ok(it) => it,
                            Err(it) => return it,
                        }
                    }
                    _ => current.cloned(),
                });
            }
            if let (Some(planned), Some(current)) = (&planned, current)
                && planned.as_ref() != Some(current)
            {
                match self.lost_race(edit, planned.as_ref(), current, &mut chunks).await {
                    Ok(None) => {}
                    Ok(Some(it)) => return ChangeOutcome::LostRace(it),
                    Err(_) => return ChangeOutcome::Unavailable,
                }
            }
            let built = self.build(edit, current, change_id, &mut chunks).await;
            let (next, parts) = match built {
                Ok(Built::Next(next, parts)) => (next, parts),
                Ok(Built::Same) => {
                    let version = current.map_or(0, |it| it.version);
                    return ChangeOutcome::Applied { version };
                }
                Err(it) => return it,
            };
            if let Err(it) = chunks.write(parts, current).await {
                return chunk_failure(it);
            }
            if let Some(base) = &base
                && !archive(&*self.store, base, &mut retry).await
            {
                return ChangeOutcome::Unavailable;
            }
            match write_head(&*self.store, base.as_ref(), &next, &mut retry).await {
                HeadWrite::Applied => {
                    let min_age_ms = self.settings.unused_chunk_retention_ms;
                    delete_unused(&*self.store, &next, base.as_ref(), min_age_ms).await;
                    return ChangeOutcome::Applied { version: next.version };
                }
                HeadWrite::Undetermined => return ChangeOutcome::Undetermined,
                HeadWrite::Unavailable => return ChangeOutcome::Unavailable,
                HeadWrite::TooLarge => return chunk_failure(ChunkFault::TooLarge),
                HeadWrite::Lost => {
                    if !retry.pause(0).await {
                        return ChangeOutcome::Unavailable;
                    }
                }
            }
        }
    }

    /// The transfers and waits of one change.
    fn begin(&self) -> (ChunkStore<S>, Retry) {
        let deadline = Instant::now() + Duration::from_millis(self.settings.timeout_ms);
        let (chunk_seed, seed) = self.rng.lock().random();
        let chunks = ChunkStore::new(Arc::clone(&self.store), deadline, chunk_seed);
        (chunks, Retry::until(deadline, seed))
    }

    /// Reads the head up to the deadline.
    async fn current(&self, retry: &mut Retry) -> Result<Option<StoredHead>, ChangeOutcome> {
        loop {
            let wait_ms = match self.read_head().await {
                CallOutcome::Value(HeadRead::Found(it)) => return Ok(Some(it)),
                CallOutcome::Value(HeadRead::Missing) => return Ok(None),
                CallOutcome::Value(HeadRead::Unreadable) => {
                    let hint = "restore the object from a newer version of this program";
                    let fault = fault(HEAD_NAME, "the stored head cannot be read", hint);
                    return Err(ChangeOutcome::Rejected(vec![fault]));
                }
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !retry.pause(wait_ms).await {
                return Err(ChangeOutcome::Unavailable);
            }
        }
    }

    /// The replaced head against which a change was planned, `None` when it is no longer kept.
    async fn planned_head(
        &self,
        version: u64,
        change_id: &str,
        retry: &mut Retry,
    ) -> Result<Option<Head>, ChangeOutcome> {
        let following = self.kept_head(version + 1, retry).await?;
        if following.is_some_and(|it| it.change_id == change_id) {
            return Err(ChangeOutcome::Applied { version: version + 1 });
        }
        self.kept_head(version, retry).await
    }

    /// Reads a replaced head.
    async fn kept_head(
        &self,
        version: u64,
        retry: &mut Retry,
    ) -> Result<Option<Head>, ChangeOutcome> {
        loop {
            let wait_ms = match self.store.read(&history_name(version)).await {
                CallOutcome::Value(it) => return Ok(it.and_then(|it| parse_head(&it.bytes))),
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !retry.pause(wait_ms).await {
                return Err(ChangeOutcome::Unavailable);
            }
        }
    }

    /// What to report about the change from `planned` to `current`, `None` when the edit can be
    /// applied to `current` as it was meant.
    async fn lost_race(
        &self,
        edit: Edit<'_>,
        planned: Option<&Head>,
        current: &Head,
        chunks: &mut ChunkStore<S>,
    ) -> Result<Option<LostRace>, ChunkFault> {
        let mut lost = LostRace {
            version: current.version,
            source_revision: current.source_revision.clone(),
            overlaps: true,
        };
        let Some(planned) = planned else { return Ok(Some(lost)) };
        let kinds = edit.relevant_kinds();
        let theirs = match places_between(planned, current, kinds, chunks).await {
            Ok(it) => it,
            // The chunks of an older head are deleted, so what changed cannot be found out.
            Err(ChunkFault::Missing) => return Ok(Some(lost)),
            Err(it) => return Err(it),
        };
        if edit.may_rebase(&theirs) {
            return Ok(None);
        }
        if let Edit::Declare { declarations, .. } = edit {
            let (head, parts) = match declared(declarations, Some(planned), "", "") {
                Ok(it) => it,
                Err(_) => return Ok(Some(lost)),
            };
            chunks.remember(parts);
            let kinds: Vec<_> = kinds.iter().copied().filter(|it| *it != ChunkKind::Keys).collect();
            let mine = places_between(planned, &head, &kinds, chunks).await?;
            lost.overlaps = mine.iter().any(|it| theirs.contains(it));
        }
        Ok(Some(lost))
    }

    /// Builds the head that an edit makes of the current one.
    async fn build(
        &self,
        edit: Edit<'_>,
        current: Option<&Head>,
        change_id: &str,
        chunks: &mut ChunkStore<S>,
    ) -> Result<Built, ChangeOutcome> {
        if let Edit::Declare { declarations, source_revision } = edit {
            let mut all = declarations.clone();
            all.keys = match current {
                Some(it) => of_kinds(it, &[ChunkKind::Keys], chunks).await?.keys,
                None => Vec::new(),
            };
            let (next, parts) = declared(&all, current, source_revision, change_id)
                .map_err(ChangeOutcome::Rejected)?;
            let same = current.is_some_and(|it| {
                it.chunks == next.chunks && it.source_revision == next.source_revision
            });
            return Ok(if same { Built::Same } else { Built::Next(next, parts) });
        }
        let Some(current) = current else {
            let hint = "apply a folder of declarations first";
            return Err(rejected("config", "no configuration was accepted yet", hint));
        };
        let mut next = Head {
            version: current.version + 1,
            change_id: change_id.to_owned(),
            ..current.clone()
        };
        let mut part =
            of_kinds(current, &[ChunkKind::Tenants, ChunkKind::Keys, ChunkKind::Presets], chunks)
                .await?;
        match edit {
            Edit::IssueKey(key) => part.keys.push(key.clone()),
            Edit::RevokeKey(id) => {
                let keys = part.keys.len();
                part.keys.retain(|it| it.id != id);
                if part.keys.len() == keys {
                    let hint = "list the keys, it may already be revoked";
                    return Err(rejected(&format!("keys.{id}"), "no such key is issued", hint));
                }
            }
            Edit::SwitchPreset(name) if current.active_preset == name => return Ok(Built::Same),
            Edit::SwitchPreset(name) => {
                if !part.presets.iter().any(|it| it.name == name) {
                    let hint = "declare the preset or correct the name";
                    return Err(rejected("active_preset", "names an unknown preset", hint));
                }
                next.active_preset = name.to_owned();
                return Ok(Built::Next(next, Vec::new()));
            }
            Edit::Declare { .. } => unreachable!("handled above"),
        }
        let faults: Vec<ValidationError> =
            validate(&part).into_iter().filter(|it| it.place.starts_with("keys")).collect();
        if !faults.is_empty() {
            return Err(ChangeOutcome::Rejected(faults));
        }
        let mut parts = split_into_chunks(&part).map_err(|it| too_large(&it))?;
        parts.retain(|it| it.reference.kind == ChunkKind::Keys);
        replace_kind(&mut next.chunks, ChunkKind::Keys, &parts);
        Ok(Built::Next(next, parts))
    }
}

/// Reads a head from its stored form.
pub(crate) fn parse_head(bytes: &[u8]) -> Option<Head> {
    match serde_json::from_slice(bytes) {
        Ok(it) => Some(it),
        Err(error) => {
            log::error!("stored head cannot be read: {error}");
            None
        }
    }
}

/// The head and chunks that make `declarations` the configuration, or their faults.
fn declared(
    declarations: &Declarations,
    current: Option<&Head>,
    source_revision: &str,
    change_id: &str,
) -> Result<(Head, Vec<Chunk>), Vec<ValidationError>> {
    let mut faults = validate(declarations);
    let is_declared = |name: &str| declarations.presets.iter().any(|it| it.name == name);
    let first = declarations.initial_preset.as_ref().or(match &declarations.presets[..] {
        [only] => Some(&only.name),
        _ => None,
    });
    let active_preset = current.map(|it| &it.active_preset).or(first);
    match active_preset {
        None => {
            let hint = "name the preset to start with";
            faults.push(fault("initial_preset", "no preset is chosen", hint));
        }
        Some(it) if current.is_some() && !is_declared(it) => {
            let problem = format!("the active preset `{it}` is not declared");
            faults.push(fault("presets", &problem, "switch to another preset before removing it"));
        }
        Some(_) => {}
    }
    let Some(active_preset) = active_preset.filter(|_| faults.is_empty()) else {
        return Err(faults);
    };
    let parts = split_into_chunks(declarations).map_err(|it| vec![size_fault(&it)])?;
    let head = Head {
        version: current.map_or(0, |it| it.version) + 1,
        change_id: change_id.to_owned(),
        source_revision: source_revision.to_owned(),
        active_preset: active_preset.clone(),
        chunks: parts.iter().map(|it| it.reference.clone()).collect(),
    };
    Ok((head, parts))
}

/// Reads what the chunks of some kinds declare.
async fn of_kinds<S: ObjectStore>(
    head: &Head,
    kinds: &[ChunkKind],
    chunks: &mut ChunkStore<S>,
) -> Result<Declarations, ChangeOutcome> {
    let refs = head.chunks.iter().filter(|it| kinds.contains(&it.kind)).cloned().collect();
    let part = Head { chunks: refs, ..head.clone() };
    chunks.declarations(&part).await.map_err(chunk_failure)
}

/// The places in which two heads differ, by reading only the chunks that differ.
async fn places_between<S: ObjectStore>(
    old: &Head,
    new: &Head,
    kinds: &[ChunkKind],
    chunks: &mut ChunkStore<S>,
) -> Result<Vec<String>, ChunkFault> {
    let old_part = chunks.declarations(&only_in(old, new, kinds)).await?;
    let new_part = chunks.declarations(&only_in(new, old, kinds)).await?;
    Ok(places((old, &old_part), (new, &new_part)))
}

/// Replaces the chunks of one kind, which stand before the presets.
fn replace_kind(refs: &mut Vec<ChunkRef>, kind: ChunkKind, parts: &[Chunk]) {
    refs.retain(|it| it.kind != kind);
    let at = refs.iter().position(|it| it.kind == ChunkKind::Presets).unwrap_or(refs.len());
    refs.splice(at..at, parts.iter().map(|it| it.reference.clone()));
}

/// The outcome of a change whose chunks could not be transferred.
fn chunk_failure(failure: ChunkFault) -> ChangeOutcome {
    match failure {
        ChunkFault::Unavailable => ChangeOutcome::Unavailable,
        ChunkFault::Missing => {
            let hint = "apply the whole folder of declarations again";
            rejected("chunk", "a stored chunk is missing or damaged", hint)
        }
        ChunkFault::TooLarge => {
            let hint = "raise the platform's limit or declare less";
            rejected("config", "the platform refuses values of this size", hint)
        }
    }
}

/// A rejection with one fault.
fn rejected(place: &str, problem: &str, hint: &str) -> ChangeOutcome {
    ChangeOutcome::Rejected(vec![fault(place, problem, hint)])
}

/// A rejection of declarations that do not fit into chunks.
fn too_large(error: &anyhow::Error) -> ChangeOutcome {
    ChangeOutcome::Rejected(vec![size_fault(error)])
}

/// The fault of declarations that do not fit into chunks.
fn size_fault(error: &anyhow::Error) -> ValidationError {
    fault("config", &format!("{error:#}"), "shorten names or remove unused entries")
}
