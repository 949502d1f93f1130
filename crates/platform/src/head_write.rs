//! The conditional update of the head, with lost responses resolved.

use bytes::Bytes;
use kingcupford_config::Head;

use crate::{
    config_store::{HEAD_NAME, HeadRead, StoredHead, parse_head},
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
    retry::Retry,
};

/// Start of the names under which replaced heads are kept.
pub(crate) const HISTORY_PREFIX: &str = "history/head/";

/// How an update of the head ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadWrite {
    /// It took effect.
    Applied,
    /// Another update took its place and it never takes effect.
    Lost,
    /// It may have taken effect.
    Undetermined,
    /// It took no effect.
    Unavailable,
    /// The head exceeds the platform's limit.
    TooLarge,
}

/// The name under which a replaced head is kept, sorted by version.
pub(crate) fn history_name(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// Reads the head once.
pub(crate) async fn read_head_once<S: ObjectStore>(store: &S) -> CallOutcome<HeadRead> {
    store.read(HEAD_NAME).await.map(|it| match it {
        None => HeadRead::Missing,
        Some(it) => match parse_head(&it.bytes) {
            Some(head) => {
                let bytes = it.bytes;
                HeadRead::Found(StoredHead { object_version: it.version, head, bytes })
            }
            None => HeadRead::Unreadable,
        },
    })
}

/// Keeps the head that is about to be replaced, which lets a later writer learn whether a change
/// took effect although another one has followed it.
pub(crate) async fn archive<S: ObjectStore>(
    store: &S,
    base: &StoredHead,
    retry: &mut Retry,
) -> bool {
    let name = history_name(base.head.version);
    loop {
        let wait_ms = match store.write(&name, base.bytes.clone(), Condition::Absent).await {
            WriteOutcome::Written { .. } | WriteOutcome::Conflict { .. } => return true,
            WriteOutcome::Throttled { retry_after_ms } => retry_after_ms,
            WriteOutcome::Unknown => match store.read(&name).await {
                CallOutcome::Value(Some(_)) => return true,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
                CallOutcome::Value(None) | CallOutcome::Unavailable => 0,
            },
            WriteOutcome::Unavailable | WriteOutcome::TooLarge => 0,
        };
        if !retry.pause(wait_ms).await {
            return false;
        }
    }
}

/// Replaces `base` by `next`; repeats are harmless because the condition holds at most once.
pub(crate) async fn write_head<S: ObjectStore>(
    store: &S,
    base: Option<&StoredHead>,
    next: &Head,
    retry: &mut Retry,
) -> HeadWrite {
    let bytes = Bytes::from(serde_json::to_vec(next).expect("a head is plain JSON"));
    let condition = base.map_or(Condition::Absent, |it| Condition::Version(it.object_version));
    // Whether an earlier attempt may have taken effect, or may still do so.
    let mut may_be_written = false;
    loop {
        let mut wait_ms = 0;
        let resolve = match store.write(HEAD_NAME, bytes.clone(), condition).await {
            WriteOutcome::Written { .. } => return HeadWrite::Applied,
            WriteOutcome::TooLarge => return HeadWrite::TooLarge,
            WriteOutcome::Unknown => {
                may_be_written = true;
                true
            }
            WriteOutcome::Conflict { .. } => true,
            WriteOutcome::Unavailable => false,
            WriteOutcome::Throttled { retry_after_ms } => {
                wait_ms = retry_after_ms;
                false
            }
        };
        if resolve {
            match resolved(store, next, retry).await {
                Some(HeadWrite::Undetermined) if !may_be_written => return HeadWrite::Unavailable,
                Some(it) => return it,
                None => {}
            }
        }
        if !retry.pause(wait_ms).await {
            return if may_be_written { HeadWrite::Undetermined } else { HeadWrite::Unavailable };
        }
    }
}

/// Finds out what became of the update to `next`, `None` when its place is still free.
async fn resolved<S: ObjectStore>(store: &S, next: &Head, retry: &mut Retry) -> Option<HeadWrite> {
    loop {
        let mut wait_ms = 0;
        match read_head_once(store).await {
            CallOutcome::Value(HeadRead::Found(it)) if it.head.version >= next.version => {
                if it.head.change_id == next.change_id {
                    return Some(HeadWrite::Applied);
                }
                if it.head.version == next.version {
                    return Some(HeadWrite::Lost);
                }
                // Each writer keeps the head that it replaces, so the one in question is kept.
                match store.read(&history_name(next.version)).await {
                    CallOutcome::Value(kept) => {
                        let kept = kept.and_then(|it| parse_head(&it.bytes));
                        return Some(match kept {
                            Some(it) if it.change_id == next.change_id => HeadWrite::Applied,
                            Some(_) => HeadWrite::Lost,
                            None => HeadWrite::Undetermined,
                        });
                    }
                    CallOutcome::Unavailable => {}
                    CallOutcome::Throttled { retry_after_ms } => wait_ms = retry_after_ms,
                }
            }
            CallOutcome::Value(HeadRead::Found(_) | HeadRead::Missing) => return None,
            CallOutcome::Value(HeadRead::Unreadable) => return Some(HeadWrite::Undetermined),
            CallOutcome::Unavailable => {}
            CallOutcome::Throttled { retry_after_ms } => wait_ms = retry_after_ms,
        }
        if !retry.pause(wait_ms).await {
            return Some(HeadWrite::Undetermined);
        }
    }
}
