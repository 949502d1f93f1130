//! Deletion of unused chunks and old archived heads.

use kingcupford_config::Head;

use crate::{
    archive::{Archive, read_archived_head_once},
    chunk_store::{CHUNK_PREFIX, chunk_name},
    config_store::StoredHead,
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
};

/// Number of heads, including the current one, whose chunks are retained for hosts that are still
/// fetching them.
const HEADS_WITH_CHUNKS: usize = 3;

/// Number of archived heads that are retained, so that a slow writer can still determine whether
/// its change took effect.
const ARCHIVED_HEADS: usize = 16;

/// Maximum number of deletions after one change, which bounds its calls; later changes delete the
/// remaining objects.
const MAX_DELETIONS_PER_CHANGE: usize = 64;

/// Deletes chunks and archived heads that are no longer needed once `current` is the head; returns
/// the number of deletions.
///
/// Each deletion is conditional on the listed version, so that an object that was written again
/// since the list is retained.
pub(crate) async fn delete_unused<S: ObjectStore>(
    store: &S,
    current: &Head,
    base: Option<&StoredHead>,
    unused_chunk_retention_ms: u64,
) -> usize {
    let CallOutcome::Value(archive) = Archive::list_once(store).await else { return 0 };
    let Some(needed) = needed_chunk_names(store, current, base, &archive).await else { return 0 };
    let CallOutcome::Value(chunks) = store.list(CHUNK_PREFIX).await else { return 0 };
    let mut unused: Vec<_> = chunks.objects;
    unused.retain(|it| {
        it.age_ms >= unused_chunk_retention_ms && needed.binary_search(&it.name).is_err()
    });
    let outdated_count = archive.heads.len().saturating_sub(ARCHIVED_HEADS);
    unused.extend(archive.heads.into_iter().take(outdated_count).map(|it| it.object));
    let mut deleted = 0;
    for object in unused.iter().take(MAX_DELETIONS_PER_CHANGE) {
        match store.delete(&object.name, Condition::Version(object.version)).await {
            WriteOutcome::Written { .. } => deleted += 1,
            WriteOutcome::Conflict { .. } | WriteOutcome::TooLarge => {}
            // A later change deletes the remaining objects.
            _ => break,
        }
    }
    deleted
}

/// Returns the sorted names of the chunks of the newest heads, `None` if a head cannot be read.
async fn needed_chunk_names<S: ObjectStore>(
    store: &S,
    current: &Head,
    base: Option<&StoredHead>,
    archive: &Archive,
) -> Option<Vec<String>> {
    let mut heads = vec![current.clone()];
    heads.extend(base.map(|it| it.head.clone()));
    let base_version = base.map_or(0, |it| it.head.version);
    let older = archive.heads.iter().rev().filter(|it| it.version < base_version);
    for archived in older.take(HEADS_WITH_CHUNKS - 2) {
        let CallOutcome::Value(head) = read_archived_head_once(store, archived.version).await
        else {
            return None;
        };
        heads.push(head?);
    }
    let chunks = heads.iter().flat_map(|it| &it.chunks);
    let mut res: Vec<String> = chunks.map(|it| chunk_name(&it.sha256)).collect();
    res.sort();
    res.dedup();
    Some(res)
}
