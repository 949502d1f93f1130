//! Deletion of unused chunks and old archived heads.

use kingcupford_config::Head;

use crate::{
    archive::{Archive, ArchivedHead, read_archived_head_once},
    chunk_store::{CHUNK_PREFIX, chunk_name},
    config_store::StoredHead,
    object::{CallOutcome, Condition, ListedObject, ObjectStore, WriteOutcome},
};

/// Number of heads, including the current one, whose chunks are retained for hosts that are still
/// fetching them.
const HEADS_WITH_CHUNKS: usize = 3;

/// Number of archived heads that are retained, so that a slow writer can still determine whether
/// its change took effect.
const ARCHIVED_HEADS: usize = 16;

/// Maximum number of archived heads that are read after one change. No chunk is deleted while more
/// of them may be needed.
const MAX_READ_HEADS: usize = 32;

/// Maximum number of deletions after one change, which bounds its calls; later changes delete the
/// remaining objects.
const MAX_DELETIONS_PER_CHANGE: usize = 64;

/// Deletes chunks and archived heads that are no longer needed once `current` is the head; returns
/// the number of deletions.
///
/// Each deletion is conditional on the listed version, so that an object that was written again
/// since the list is retained. The platform may be restored before it executes a deletion: what the
/// heads of the last `retention_ms` refer to is retained, so that a copy of that age remains
/// complete.
pub(crate) async fn delete_unused<S: ObjectStore>(
    store: &S,
    current: &Head,
    base: Option<&StoredHead>,
    retention_ms: u64,
) -> usize {
    let CallOutcome::Value(archive) = Archive::list_once(store).await else { return 0 };
    let CallOutcome::Value(chunks) = store.list(CHUNK_PREFIX).await else { return 0 };
    let base_version = base.map_or(0, |it| it.head.version);
    let older_count = archive.heads.partition_point(|it| it.version < base_version);
    let recent_count = recent_head_count(&archive.heads, older_count, retention_ms);
    let mut unused: Vec<_> = chunks.objects;
    unused.retain(|it| it.age_ms >= retention_ms);
    remove_needed(&mut unused, current);
    if let Some(it) = base {
        remove_needed(&mut unused, &it.head);
    }
    let read_count = recent_count.max(HEADS_WITH_CHUNKS - 2);
    if read_count > MAX_READ_HEADS {
        unused.clear();
    }
    for archived in archive.heads[..older_count].iter().rev().take(read_count) {
        if unused.is_empty() {
            break;
        }
        match read_archived_head_once(store, archived.version).await {
            CallOutcome::Value(Some(it)) => remove_needed(&mut unused, &it),
            _ => return 0,
        }
    }
    let outdated_count = archive.heads.len().saturating_sub(ARCHIVED_HEADS);
    let outdated_count = outdated_count.min(older_count - recent_count);
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

/// Returns how many of the first `older_count` heads were replaced less than `retention_ms` ago.
///
/// A head is archived before it is replaced, and the next one at the earliest when it is stored.
fn recent_head_count(heads: &[ArchivedHead], older_count: usize, retention_ms: u64) -> usize {
    let is_young =
        |index: usize| heads.get(index).is_some_and(|it| it.object.age_ms < retention_ms);
    (0..older_count).rev().take_while(|it| is_young(*it) || is_young(*it + 1)).count()
}

/// Removes the chunks to which `head` refers.
fn remove_needed(unused: &mut Vec<ListedObject>, head: &Head) {
    let mut needed: Vec<String> = head.chunks.iter().map(|it| chunk_name(&it.sha256)).collect();
    needed.sort();
    unused.retain(|it| needed.binary_search(&it.name).is_err());
}
