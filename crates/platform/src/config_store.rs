//! Reads and changes of the configuration stored in the platform.

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
    archive::{
        Archive, ArchiveOutcome, archive_head, read_archived_bytes_once, read_archived_head_once,
    },
    backoff::Backoff,
    change::{
        ChangeOutcome, ChangeRequest, Edit, LostRace, differing_places, validation_error,
        with_chunks_not_in,
    },
    chunk_store::{ChunkError, ChunkStore},
    head_write::{HeadWriteOutcome, encode_head, read_head_once, write_head},
    object::{CallOutcome, Condition, ObjectStore},
    retention::delete_unused,
};

/// Name of the head object.
pub const HEAD_NAME: &str = "config/head";

/// Settings of a [`ConfigStore`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigStoreSettings {
    /// Timeout of one change or of one read of declarations, after which no attempt starts.
    pub timeout_ms: u64,
    /// Minimum age at which an unused chunk is deleted; younger ones may belong to a writer that
    /// has not written its head yet. Chunks of heads that were replaced more recently are retained
    /// as well, in case the platform is restored from a copy.
    pub unused_chunk_retention_ms: u64,
}

impl Default for ConfigStoreSettings {
    fn default() -> Self {
        Self { timeout_ms: 30_000, unused_chunk_retention_ms: 600_000 }
    }
}

/// A head as read from the platform.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredHead {
    /// Version of the head object, on which the next write is conditional.
    pub object_version: u64,
    /// Decoded head.
    pub head: Head,
    /// Encoded head, which is archived unchanged when the head is replaced.
    pub bytes: Bytes,
}

/// Result of reading the head object.
#[derive(Debug, Clone, PartialEq)]
pub enum HeadRead {
    /// The head exists and was decoded.
    Found(StoredHead),
    /// No head exists, because no configuration was ever applied.
    Missing,
    /// The head object exists but cannot be decoded.
    Unreadable,
}

/// Reads and changes the configuration stored in the platform.
#[derive(Debug)]
pub struct ConfigStore<S> {
    store: Arc<S>,
    settings: ConfigStoreSettings,
    /// Source of the seeds for the backoff of each operation.
    rng: Mutex<SmallRng>,
}

/// An edit with the identity of the change.
#[derive(Clone, Copy)]
struct EditRequest<'a> {
    edit: Edit<'a>,
    change_id: &'a str,
    /// Configuration version against which the change was planned, `None` for the current one.
    expected_version: Option<u64>,
}

/// State of a change over its attempts.
#[derive(Default)]
struct Progress {
    /// Head against which the change was planned. The inner value is `None` if there was no head or
    /// the head is no longer archived.
    planned: Option<Option<Head>>,
    /// Whether an earlier attempt may have taken effect.
    may_be_applied: bool,
    /// Head that the newest attempt wrote, and the head that it replaced.
    written: Option<(Head, Option<StoredHead>)>,
}

impl Progress {
    /// Returns the outcome of the change if the platform is unavailable until the deadline.
    fn unavailable_outcome(&self) -> ChangeOutcome {
        if self.may_be_applied { ChangeOutcome::Undetermined } else { ChangeOutcome::Unavailable }
    }
}

/// Result of applying an edit to the current head.
enum EditResult {
    /// The next head, with chunks of which some may not be stored yet.
    Changed(Head, Vec<Chunk>),
    /// The edit does not change the configuration.
    Unchanged,
}

impl<S: ObjectStore> ConfigStore<S> {
    /// Creates a client for the configuration in `store`; `seed` determines the jitter of retries.
    pub fn new(store: Arc<S>, settings: ConfigStoreSettings, seed: u64) -> Self {
        Self { store, settings, rng: Mutex::new(SmallRng::seed_from_u64(seed)) }
    }

    /// Reads the head without retries.
    pub async fn read_head(&self) -> CallOutcome<HeadRead> {
        read_head_once(&*self.store).await
    }

    /// Reads the declarations in the chunks of a head, `None` if a chunk is missing or damaged or
    /// the timeout passes.
    pub async fn read_declarations(&self, head: &Head) -> Option<Declarations> {
        let (mut chunk_store, _) = self.begin_operation();
        chunk_store.read_declarations(head).await.ok()
    }

    /// Replaces the declarations; keys and the active preset are retained.
    ///
    /// The change loses a race against any concurrent change, except one that affects only keys or
    /// the active preset.
    pub async fn apply(
        &self,
        declarations: &Declarations,
        change: &ChangeRequest,
    ) -> ChangeOutcome {
        let source_revision = &change.source_revision;
        let edit = Edit::ReplaceDeclarations { declarations, source_revision };
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

    /// Activates a declared preset.
    pub async fn switch_preset(&self, preset: &str, change_id: &str) -> ChangeOutcome {
        self.change(Edit::SwitchPreset(preset), change_id, None).await
    }

    /// Applies an edit to the current head, and again after each lost race against a change that
    /// does not conflict with the edit.
    ///
    /// A restored store may lack chunks of the change, and a condition on a version that it gave out
    /// again may hold by chance. The outcome of an attempt therefore counts only if the store was
    /// not restored since its beginning.
    async fn change(
        &self,
        edit: Edit<'_>,
        change_id: &str,
        expected_version: Option<u64>,
    ) -> ChangeOutcome {
        let (mut chunk_store, mut backoff) = self.begin_operation();
        let request = EditRequest { edit, change_id, expected_version };
        let mut progress = Progress::default();
        loop {
            let Some(archive) = Archive::list(&*self.store, &mut backoff).await else {
                return progress.unavailable_outcome();
            };
            let attempt =
                self.attempt(request, &archive, &mut progress, &mut chunk_store, &mut backoff);
            let outcome = match attempt.await {
                Ok(Some(version)) => ChangeOutcome::Applied { version },
                Ok(None) if backoff.wait(0).await => continue,
                Ok(None) | Err(ChangeOutcome::Unavailable) => {
                    return progress.unavailable_outcome();
                }
                // The change is not known to have had no effect.
                Err(ChangeOutcome::LostRace(_) | ChangeOutcome::Rejected(_))
                    if progress.may_be_applied =>
                {
                    ChangeOutcome::Undetermined
                }
                Err(it) => it,
            };
            // No response was of a later era than the newest one.
            let era = match self.store.newest_era() {
                0 => match Archive::list(&*self.store, &mut backoff).await {
                    Some(it) => it.era,
                    None if outcome == ChangeOutcome::Undetermined => return outcome,
                    None => return progress.unavailable_outcome(),
                },
                it => it,
            };
            if era != archive.era {
                log::warn!("platform was restored during change {change_id}, which is repeated");
                if !backoff.wait(0).await {
                    return progress.unavailable_outcome();
                }
                continue;
            }
            if let (ChangeOutcome::Applied { .. }, Some((head, base))) =
                (&outcome, &progress.written)
            {
                if archive.is_restored() {
                    match self.read_current_head(&mut backoff).await {
                        Ok(Some(it)) if it.head == *head || it.head.version > head.version => {}
                        // A write from before a restoration overwrote the head.
                        Ok(_) if backoff.wait(0).await => continue,
                        _ => return progress.unavailable_outcome(),
                    }
                }
                let retention_ms = self.settings.unused_chunk_retention_ms;
                delete_unused(&*self.store, head, base.as_ref(), retention_ms).await;
            }
            return outcome;
        }
    }

    /// Applies an edit to the current head once. Returns the configuration version of the change,
    /// `None` if the attempt lost a race.
    async fn attempt(
        &self,
        EditRequest { edit, change_id, expected_version }: EditRequest<'_>,
        archive: &Archive,
        progress: &mut Progress,
        chunk_store: &mut ChunkStore<S>,
        backoff: &mut Backoff,
    ) -> Result<Option<u64>, ChangeOutcome> {
        progress.written = None;
        let base = self.read_current_head(backoff).await?;
        let current = base.as_ref().map(|it| &it.head);
        if let Some(it) = archive.overwritten_version(current.map_or(0, |it| it.version)) {
            if let CallOutcome::Value(Some(bytes)) =
                read_archived_bytes_once(&*self.store, it).await
            {
                self.restore_head(base.as_ref(), bytes).await;
            }
            return Ok(None);
        }
        // A head that an earlier attempt wrote before or during a restoration is replaced, because
        // its version and its chunks may belong to what the store has lost.
        let is_own = current.is_some_and(|it| it.change_id == change_id);
        let is_of_current_era = current.is_some_and(|it| archive.is_of_current_era(it.version));
        progress.may_be_applied |= is_own;
        if let Some(base) = base.as_ref().filter(|_| is_own && is_of_current_era) {
            let is_archived = !archive.is_restored() || self.ensure_archived(base, backoff).await?;
            return Ok(is_archived.then_some(base.head.version));
        }
        if !is_own {
            if progress.planned.is_none() {
                progress.planned = Some(match expected_version {
                    Some(it) if current.map(|it| it.version) != Some(it) => {
                        self.read_planned_head(it, change_id, archive, backoff).await?
                    }
                    _ => current.cloned(),
                });
            }
            if let (Some(planned), Some(current)) = (&progress.planned, current)
                && planned.as_ref() != Some(current)
            {
                let planned = planned.as_ref();
                match self.detect_lost_race(edit, planned, current, chunk_store).await {
                    Ok(None) => {}
                    Ok(Some(it)) => return Err(ChangeOutcome::LostRace(it)),
                    Err(_) => return Err(ChangeOutcome::Unavailable),
                }
            }
        }
        let is_repeated = progress.may_be_applied;
        let result =
            self.apply_edit(edit, current, archive, change_id, is_repeated, chunk_store).await;
        let (next, next_chunks) = match result? {
            EditResult::Changed(next, next_chunks) => (next, next_chunks),
            EditResult::Unchanged => return Ok(Some(current.map_or(0, |it| it.version))),
        };
        let is_base_stored = current.is_none() || is_of_current_era;
        let written = chunk_store.write(&next, next_chunks, current, is_base_stored).await;
        written.map_err(chunk_error_outcome)?;
        if let Some(base) = &base
            && !self.ensure_archived(base, backoff).await?
        {
            return Ok(None);
        }
        let version = next.version;
        let bytes = encode_head(&next);
        match write_head(&*self.store, base.as_ref(), &next, &bytes, backoff).await {
            HeadWriteOutcome::Applied => {
                progress.may_be_applied = true;
                progress.written = Some((next, base));
                if !archive.is_restored() {
                    return Ok(Some(version));
                }
                match archive_head(&*self.store, version, &bytes, backoff).await {
                    ArchiveOutcome::Archived => Ok(Some(version)),
                    ArchiveOutcome::Differs(_) => Ok(None),
                    ArchiveOutcome::Unavailable => Err(ChangeOutcome::Unavailable),
                }
            }
            HeadWriteOutcome::Undetermined => {
                progress.may_be_applied = true;
                Err(ChangeOutcome::Undetermined)
            }
            HeadWriteOutcome::Unavailable => Err(ChangeOutcome::Unavailable),
            HeadWriteOutcome::TooLarge => Err(chunk_error_outcome(ChunkError::TooLarge)),
            HeadWriteOutcome::LostRace => Ok(None),
        }
    }

    /// Archives a stored head. Returns `false` if it overwrote another one of its version, which is
    /// stored again.
    async fn ensure_archived(
        &self,
        stored: &StoredHead,
        backoff: &mut Backoff,
    ) -> Result<bool, ChangeOutcome> {
        let version = stored.head.version;
        match archive_head(&*self.store, version, &stored.bytes, backoff).await {
            ArchiveOutcome::Archived => Ok(true),
            ArchiveOutcome::Differs(bytes) => {
                self.restore_head(Some(stored), bytes).await;
                Ok(false)
            }
            ArchiveOutcome::Unavailable => Err(ChangeOutcome::Unavailable),
        }
    }

    /// Replaces `stored` with an archived head that it overwrote. The next attempt reads the result.
    async fn restore_head(&self, stored: Option<&StoredHead>, archived: Bytes) {
        let condition =
            stored.map_or(Condition::Absent, |it| Condition::Version(it.object_version));
        let outcome = self.store.write(HEAD_NAME, archived, condition).await;
        log::warn!("stored head overwrote an archived one, which is stored again: {outcome:?}");
    }

    /// Returns the chunk store and the backoff of one operation, which share the deadline.
    fn begin_operation(&self) -> (ChunkStore<S>, Backoff) {
        let deadline = Instant::now() + Duration::from_millis(self.settings.timeout_ms);
        let (chunk_seed, seed) = self.rng.lock().random();
        let chunk_store = ChunkStore::new(Arc::clone(&self.store), deadline, chunk_seed);
        (chunk_store, Backoff::until(deadline, seed))
    }

    /// Reads the head with retries, `None` if no head exists.
    async fn read_current_head(
        &self,
        backoff: &mut Backoff,
    ) -> Result<Option<StoredHead>, ChangeOutcome> {
        loop {
            let min_delay_ms = match self.read_head().await {
                CallOutcome::Value(HeadRead::Found(it)) => return Ok(Some(it)),
                CallOutcome::Value(HeadRead::Missing) => return Ok(None),
                CallOutcome::Value(HeadRead::Unreadable) => {
                    let hint = "restore the object or use the newest version of this program";
                    let error = validation_error(HEAD_NAME, "the stored head cannot be read", hint);
                    return Err(ChangeOutcome::Rejected(vec![error]));
                }
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !backoff.wait(min_delay_ms).await {
                return Err(ChangeOutcome::Unavailable);
            }
        }
    }

    /// Reads the archived head against which a change was planned, `None` if it is no longer
    /// archived. Returns the outcome as an error if the change is already applied to that head.
    async fn read_planned_head(
        &self,
        version: u64,
        change_id: &str,
        archive: &Archive,
        backoff: &mut Backoff,
    ) -> Result<Option<Head>, ChangeOutcome> {
        if let Some(next_version) = archive.version_after(version) {
            let successor = self.read_archived_head(next_version, backoff).await?;
            if successor.is_some_and(|it| it.change_id == change_id) {
                return Err(ChangeOutcome::Applied { version: next_version });
            }
        }
        self.read_archived_head(version, backoff).await
    }

    /// Reads an archived head with retries, `None` if it is missing or cannot be decoded.
    async fn read_archived_head(
        &self,
        version: u64,
        backoff: &mut Backoff,
    ) -> Result<Option<Head>, ChangeOutcome> {
        loop {
            let min_delay_ms = match read_archived_head_once(&*self.store, version).await {
                CallOutcome::Value(it) => return Ok(it),
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !backoff.wait(min_delay_ms).await {
                return Err(ChangeOutcome::Unavailable);
            }
        }
    }

    /// Returns the lost race if the changes from `planned` to `current` conflict with the edit,
    /// `None` if the edit can still be applied to `current`.
    async fn detect_lost_race(
        &self,
        edit: Edit<'_>,
        planned: Option<&Head>,
        current: &Head,
        chunk_store: &mut ChunkStore<S>,
    ) -> Result<Option<LostRace>, ChunkError> {
        let mut lost_race = LostRace {
            version: current.version,
            source_revision: current.source_revision.clone(),
            overlaps: true,
        };
        let Some(planned) = planned else { return Ok(Some(lost_race)) };
        let kinds = edit.compared_kinds();
        let their_places = match read_differing_places(planned, current, kinds, chunk_store).await {
            Ok(it) => it,
            // The chunks of an older head may be deleted, so the difference cannot be determined.
            Err(ChunkError::Missing) => return Ok(Some(lost_race)),
            Err(it) => return Err(it),
        };
        if edit.can_rebase_onto(&their_places) {
            return Ok(None);
        }
        if let Edit::ReplaceDeclarations { declarations, .. } = edit {
            let version = planned.version + 1;
            let built = build_head(declarations, Some(planned), version, "", "");
            let (head, head_chunks) = match built {
                Ok(it) => it,
                Err(_) => return Ok(Some(lost_race)),
            };
            chunk_store.cache_chunks(head_chunks);
            let kinds: Vec<_> = kinds.iter().copied().filter(|it| *it != ChunkKind::Keys).collect();
            let own_places = read_differing_places(planned, &head, &kinds, chunk_store).await?;
            lost_race.overlaps = own_places.iter().any(|it| their_places.contains(it));
        }
        Ok(Some(lost_race))
    }

    /// Builds the head that results from applying an edit to the current head.
    ///
    /// A head of an earlier era gets a new version even if the edit changes nothing, because hosts
    /// may have another configuration, which the store lost. `is_repeated` specifies whether the
    /// current head may already contain the edit.
    async fn apply_edit(
        &self,
        edit: Edit<'_>,
        current: Option<&Head>,
        archive: &Archive,
        change_id: &str,
        is_repeated: bool,
        chunk_store: &mut ChunkStore<S>,
    ) -> Result<EditResult, ChangeOutcome> {
        let version = archive.next_version(current);
        let is_of_current_era = current.is_some_and(|it| archive.is_of_current_era(it.version));
        if let Edit::ReplaceDeclarations { declarations, source_revision } = edit {
            let mut merged = declarations.clone();
            merged.keys = match current {
                Some(it) => read_kinds(it, &[ChunkKind::Keys], chunk_store).await?.keys,
                None => Vec::new(),
            };
            let (next, next_chunks) =
                build_head(&merged, current, version, source_revision, change_id)
                    .map_err(ChangeOutcome::Rejected)?;
            let is_unchanged = current.is_some_and(|it| {
                it.chunks == next.chunks && it.source_revision == next.source_revision
            });
            return Ok(if is_unchanged && is_of_current_era {
                EditResult::Unchanged
            } else {
                EditResult::Changed(next, next_chunks)
            });
        }
        let Some(current) = current else {
            let hint = "apply a folder of declarations first";
            return Err(rejected("config", "no configuration was accepted yet", hint));
        };
        let mut next = Head { version, change_id: change_id.to_owned(), ..current.clone() };
        let mut subset = read_kinds(
            current,
            &[ChunkKind::Teams, ChunkKind::Keys, ChunkKind::Presets],
            chunk_store,
        )
        .await?;
        match edit {
            Edit::IssueKey(key) if is_repeated && subset.keys.contains(key) => {
                if is_of_current_era {
                    return Ok(EditResult::Unchanged);
                }
            }
            Edit::IssueKey(key) => subset.keys.push(key.clone()),
            Edit::RevokeKey(id) => {
                let key_count = subset.keys.len();
                subset.keys.retain(|it| it.id != id);
                let is_issued = subset.keys.len() < key_count;
                if !is_issued && is_repeated && is_of_current_era {
                    return Ok(EditResult::Unchanged);
                }
                if !is_issued && !is_repeated {
                    let hint = "list the keys; the key may already be revoked";
                    return Err(rejected(&format!("keys.{id}"), "no such key is issued", hint));
                }
            }
            Edit::SwitchPreset(name) if current.active_preset == name && is_of_current_era => {
                return Ok(EditResult::Unchanged);
            }
            Edit::SwitchPreset(name) => {
                if !subset.presets.iter().any(|it| it.name == name) {
                    let hint = "declare the preset or correct the name";
                    return Err(rejected("active_preset", "names an unknown preset", hint));
                }
                next.active_preset = name.to_owned();
                return Ok(EditResult::Changed(next, Vec::new()));
            }
            Edit::ReplaceDeclarations { .. } => unreachable!("handled above"),
        }
        let errors: Vec<ValidationError> =
            validate(&subset).into_iter().filter(|it| it.place.starts_with("keys")).collect();
        if !errors.is_empty() {
            return Err(ChangeOutcome::Rejected(errors));
        }
        let mut key_chunks = split_into_chunks(&subset).map_err(|it| rejected_split(&it))?;
        key_chunks.retain(|it| it.reference.kind == ChunkKind::Keys);
        replace_chunks_of_kind(&mut next.chunks, ChunkKind::Keys, &key_chunks);
        Ok(EditResult::Changed(next, key_chunks))
    }
}

/// Decodes a stored head; logs an error and returns `None` if it is invalid.
pub(crate) fn parse_head(bytes: &[u8]) -> Option<Head> {
    match serde_json::from_slice(bytes) {
        Ok(it) => Some(it),
        Err(error) => {
            log::error!("stored head cannot be decoded: {error}");
            None
        }
    }
}

/// Builds the head that follows `current` and the chunks for `declarations`. Fails with all
/// validation errors if the declarations are invalid or the active preset is not declared.
fn build_head(
    declarations: &Declarations,
    current: Option<&Head>,
    version: u64,
    source_revision: &str,
    change_id: &str,
) -> Result<(Head, Vec<Chunk>), Vec<ValidationError>> {
    let mut errors = validate(declarations);
    let is_declared = |name: &str| declarations.presets.iter().any(|it| it.name == name);
    let initial_preset = declarations.initial_preset.as_ref().or(match &declarations.presets[..] {
        [only] => Some(&only.name),
        _ => None,
    });
    let active_preset = current.map(|it| &it.active_preset).or(initial_preset);
    match active_preset {
        None => {
            let hint = "name the preset to start with";
            errors.push(validation_error("initial_preset", "no preset is chosen", hint));
        }
        Some(it) if current.is_some() && !is_declared(it) => {
            let problem = format!("the active preset `{it}` is not declared");
            let hint = "switch to another preset before removing it";
            errors.push(validation_error("presets", &problem, hint));
        }
        Some(_) => {}
    }
    let Some(active_preset) = active_preset.filter(|_| errors.is_empty()) else {
        return Err(errors);
    };
    let chunks = split_into_chunks(declarations).map_err(|it| vec![split_error(&it)])?;
    let head = Head {
        version,
        change_id: change_id.to_owned(),
        source_revision: source_revision.to_owned(),
        active_preset: active_preset.clone(),
        chunks: chunks.iter().map(|it| it.reference.clone()).collect(),
    };
    Ok((head, chunks))
}

/// Reads the declarations in the chunks of the given kinds.
async fn read_kinds<S: ObjectStore>(
    head: &Head,
    kinds: &[ChunkKind],
    chunk_store: &mut ChunkStore<S>,
) -> Result<Declarations, ChangeOutcome> {
    let refs = head.chunks.iter().filter(|it| kinds.contains(&it.kind)).cloned().collect();
    let partial_head = Head { chunks: refs, ..head.clone() };
    chunk_store.read_declarations(&partial_head).await.map_err(chunk_error_outcome)
}

/// Returns the places in which two heads differ; reads only the chunks that differ.
async fn read_differing_places<S: ObjectStore>(
    old: &Head,
    new: &Head,
    kinds: &[ChunkKind],
    chunk_store: &mut ChunkStore<S>,
) -> Result<Vec<String>, ChunkError> {
    let old_subset = chunk_store.read_declarations(&with_chunks_not_in(old, new, kinds)).await?;
    let new_subset = chunk_store.read_declarations(&with_chunks_not_in(new, old, kinds)).await?;
    Ok(differing_places((old, &old_subset), (new, &new_subset)))
}

/// Replaces the references to chunks of one kind, which come before those of the presets.
fn replace_chunks_of_kind(refs: &mut Vec<ChunkRef>, kind: ChunkKind, chunks: &[Chunk]) {
    refs.retain(|it| it.kind != kind);
    let position = refs.iter().position(|it| it.kind == ChunkKind::Presets).unwrap_or(refs.len());
    refs.splice(position..position, chunks.iter().map(|it| it.reference.clone()));
}

/// Returns the outcome of a change whose chunks could not be read or written.
fn chunk_error_outcome(error: ChunkError) -> ChangeOutcome {
    match error {
        ChunkError::Unavailable => ChangeOutcome::Unavailable,
        ChunkError::Missing => {
            let hint = "apply the complete folder of declarations again";
            rejected("chunk", "a stored chunk is missing or damaged", hint)
        }
        ChunkError::TooLarge => {
            let hint = "raise the platform's size limit or declare fewer entries";
            rejected("config", "a value exceeds the platform's size limit", hint)
        }
    }
}

/// Returns a rejection with one validation error.
fn rejected(place: &str, problem: &str, hint: &str) -> ChangeOutcome {
    ChangeOutcome::Rejected(vec![validation_error(place, problem, hint)])
}

/// Returns the rejection of declarations that cannot be split into chunks.
fn rejected_split(error: &anyhow::Error) -> ChangeOutcome {
    ChangeOutcome::Rejected(vec![split_error(error)])
}

/// Returns the validation error for declarations that cannot be split into chunks.
fn split_error(error: &anyhow::Error) -> ValidationError {
    validation_error("config", &format!("{error:#}"), "shorten names or remove unused entries")
}
