//! Conditional replacement of the head, including writes whose responses are lost.

use bytes::Bytes;
use kingcupford_config::Head;

use crate::{
    archive::read_archived_head_once,
    backoff::Backoff,
    config_store::{HEAD_NAME, HeadRead, StoredHead, parse_head},
    object::{CallOutcome, Condition, ObjectStore, WriteOutcome},
};

/// Outcome of a replacement of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HeadWriteOutcome {
    /// The new head was stored.
    Applied,
    /// The stored head is not the replaced one, so the new head never takes effect.
    LostRace,
    /// The new head may have been stored.
    Undetermined,
    /// The new head was not stored.
    Unavailable,
    /// The new head exceeds the platform's size limit.
    TooLarge,
}

/// Reads the head without retries.
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

/// Encodes a head.
pub(crate) fn encode_head(head: &Head) -> Bytes {
    serde_json::to_vec(head).expect("a head is plain JSON").into()
}

/// Replaces `base` with `next`, of which `bytes` is the encoding.
///
/// The write can be repeated without harm, because its condition holds for at most one attempt.
pub(crate) async fn write_head<S: ObjectStore>(
    store: &S,
    base: Option<&StoredHead>,
    next: &Head,
    bytes: &Bytes,
    backoff: &mut Backoff,
) -> HeadWriteOutcome {
    let condition = base.map_or(Condition::Absent, |it| Condition::Version(it.object_version));
    // Whether an earlier attempt may have taken effect, or may still take effect.
    let mut may_be_written = false;
    loop {
        let mut min_delay_ms = 0;
        let mut is_conflict = false;
        let must_resolve = match store.write(HEAD_NAME, bytes.clone(), condition).await {
            WriteOutcome::Written { .. } => return HeadWriteOutcome::Applied,
            WriteOutcome::TooLarge => return HeadWriteOutcome::TooLarge,
            WriteOutcome::Unknown => {
                may_be_written = true;
                true
            }
            WriteOutcome::Conflict { .. } if !may_be_written => return HeadWriteOutcome::LostRace,
            WriteOutcome::Conflict { .. } => {
                is_conflict = true;
                true
            }
            WriteOutcome::Unavailable => false,
            WriteOutcome::Throttled { retry_after_ms } => {
                min_delay_ms = retry_after_ms;
                false
            }
        };
        if must_resolve {
            match resolve_write(store, next, backoff).await {
                Some(it) => return it,
                // The store was restored and lost the head on which the write is conditional.
                None if is_conflict => return HeadWriteOutcome::Undetermined,
                None => {}
            }
        }
        if !backoff.wait(min_delay_ms).await {
            return if may_be_written {
                HeadWriteOutcome::Undetermined
            } else {
                HeadWriteOutcome::Unavailable
            };
        }
    }
}

/// Determines from the stored heads whether the write of `next` took effect, `None` if no head with
/// its version is stored yet.
async fn resolve_write<S: ObjectStore>(
    store: &S,
    next: &Head,
    backoff: &mut Backoff,
) -> Option<HeadWriteOutcome> {
    loop {
        let mut min_delay_ms = 0;
        match read_head_once(store).await {
            CallOutcome::Value(HeadRead::Found(it)) if it.head.version >= next.version => {
                if it.head.change_id == next.change_id {
                    return Some(HeadWriteOutcome::Applied);
                }
                if it.head.version == next.version {
                    return Some(HeadWriteOutcome::LostRace);
                }
                // Every writer archives the head that it replaces, so the head with the version of
                // `next` is in the archive.
                match read_archived_head_once(store, next.version).await {
                    CallOutcome::Value(archived) => {
                        return Some(match archived {
                            Some(it) if it.change_id == next.change_id => HeadWriteOutcome::Applied,
                            Some(_) => HeadWriteOutcome::LostRace,
                            None => HeadWriteOutcome::Undetermined,
                        });
                    }
                    CallOutcome::Unavailable => {}
                    CallOutcome::Throttled { retry_after_ms } => min_delay_ms = retry_after_ms,
                }
            }
            CallOutcome::Value(HeadRead::Found(_) | HeadRead::Missing) => return None,
            CallOutcome::Value(HeadRead::Unreadable) => {
                return Some(HeadWriteOutcome::Undetermined);
            }
            CallOutcome::Unavailable => {}
            CallOutcome::Throttled { retry_after_ms } => min_delay_ms = retry_after_ms,
        }
        if !backoff.wait(min_delay_ms).await {
            return Some(HeadWriteOutcome::Undetermined);
        }
    }
}
