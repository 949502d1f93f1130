//! Deletion of chunks and replaced heads that nobody needs any more.

use kingcupford_config::Head;

use crate::{
    chunk_store::{CHUNK_PREFIX, chunk_name},
    config_store::{StoredHead, parse_head},
    head_write::{HISTORY_PREFIX, history_name},
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
};

/// Heads whose chunks are kept, the current one included, for hosts that are still fetching.
const KEPT_HEADS: u64 = 3;

/// Replaced heads that are kept, so that a slow writer still learns what became of its change.
const KEPT_HISTORY: u64 = 16;

/// Deletions after one change, which bounds its calls; the rest follows after later changes.
const MAX_DELETIONS: usize = 64;

/// Deletes what the heads up to `current` no longer need; answers the number of deletions.
///
/// Deletions depend on the listed version, so that an object written again meanwhile stays.
pub(crate) async fn delete_unused<S: ObjectStore>(
    store: &S,
    current: &Head,
    base: Option<&StoredHead>,
    min_age_ms: u64,
) -> usize {
    let Some(needed) = needed_chunks(store, current, base).await else { return 0 };
    let CallOutcome::Value(chunks) = store.list(CHUNK_PREFIX).await else { return 0 };
    let mut unused: Vec<_> = chunks.objects;
    unused.retain(|it| it.age_ms >= min_age_ms && needed.binary_search(&it.name).is_err());
    if let CallOutcome::Value(history) = store.list(HISTORY_PREFIX).await {
        let oldest = history_name(current.version.saturating_sub(KEPT_HISTORY));
        unused.extend(history.objects.into_iter().filter(|it| it.name < oldest));
    }
    let mut deleted = 0;
    for object in unused.iter().take(MAX_DELETIONS) {
        match store.delete(&object.name, Condition::Version(object.version)).await {
            WriteOutcome::Written { .. } => deleted += 1,
            WriteOutcome::Conflict { .. } | WriteOutcome::TooLarge => {}
            // Deletions can wait for a later change.
            _ => break,
        }
    }
    deleted
}

/// Names of the chunks of the newest heads in order, `None` when a head cannot be read.
async fn needed_chunks<S: ObjectStore>(
    store: &S,
    current: &Head,
    base: Option<&StoredHead>,
) -> Option<Vec<String>> {
    let mut heads = vec![current.clone()];
    heads.extend(base.map(|it| it.head.clone()));
    let oldest = (current.version + 1).saturating_sub(KEPT_HEADS).max(1);
    for version in oldest..current.version.saturating_sub(1) {
        let CallOutcome::Value(kept) = store.read(&history_name(version)).await else {
            return None;
        };
        heads.push(parse_head(&kept?.bytes)?);
    }
    let chunks = heads.iter().flat_map(|it| &it.chunks);
    let mut res: Vec<String> = chunks.map(|it| chunk_name(&it.sha256)).collect();
    res.sort();
    res.dedup();
    Some(res)
}
