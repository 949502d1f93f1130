//! Deletion of unused chunks and old archived heads.

use kingcupford_config::Head;

use crate::{
    chunk_store::{CHUNK_PREFIX, chunk_name},
    config_store::{StoredHead, parse_head},
    head_write::{HISTORY_PREFIX, history_name},
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
};

/// Number of heads, including the current one, whose chunks are retained for hosts that are still
/// fetching them.
const HEADS_WITH_CHUNKS: u64 = 3;

/// Number of archived heads that are retained, so that a slow writer can still determine whether
/// its change took effect.
const ARCHIVED_HEADS: u64 = 16;

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
    let Some(needed) = needed_chunk_names(store, current, base).await else { return 0 };
    let CallOutcome::Value(chunks) = store.list(CHUNK_PREFIX).await else { return 0 };
    let mut unused: Vec<_> = chunks.objects;
    unused.retain(|it| {
        it.age_ms >= unused_chunk_retention_ms && needed.binary_search(&it.name).is_err()
    });
    if let CallOutcome::Value(history) = store.list(HISTORY_PREFIX).await {
        let oldest_retained = history_name(current.version.saturating_sub(ARCHIVED_HEADS));
        unused.extend(history.objects.into_iter().filter(|it| it.name < oldest_retained));
    }
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
) -> Option<Vec<String>> {
    let mut heads = vec![current.clone()];
    heads.extend(base.map(|it| it.head.clone()));
    let oldest = (current.version + 1).saturating_sub(HEADS_WITH_CHUNKS).max(1);
    for version in oldest..current.version.saturating_sub(1) {
        let CallOutcome::Value(archived) = store.read(&history_name(version)).await else {
            return None;
        };
        heads.push(parse_head(&archived?.bytes)?);
    }
    let chunks = heads.iter().flat_map(|it| &it.chunks);
    let mut res: Vec<String> = chunks.map(|it| chunk_name(&it.sha256)).collect();
    res.sort();
    res.dedup();
    Some(res)
}
