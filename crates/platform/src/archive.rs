//! Archive of the heads that were stored, from which a writer learns whether its change took effect
//! although another change has replaced it since.

use bytes::Bytes;
use kingcupford_config::Head;

use crate::{
    backoff::Backoff,
    config_store::parse_head,
    object::{CallOutcome, Condition, ListedObject, ObjectStore, WriteOutcome},
};

/// Prefix of the names of archived heads.
const ARCHIVE_PREFIX: &str = "history/head/";

/// Era of a store that was never restored. Stores count their eras from 1, and
/// [`StoreRevision::era`](crate::StoreRevision::era) is one more.
const FIRST_ERA: u64 = 2;

/// Maximum number of changes of the configuration in one era.
const VERSIONS_PER_ERA: u64 = 1_000_000_000;

/// The archived heads at the time of a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Archive {
    /// Era of the store, 0 if the store names none.
    pub(crate) era: u64,
    /// Archived heads, sorted by version.
    pub(crate) heads: Vec<ArchivedHead>,
}

/// An archived head in a list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ArchivedHead {
    /// Configuration version of the head.
    pub(crate) version: u64,
    /// The listed object.
    pub(crate) object: ListedObject,
}

/// Outcome of archiving a head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ArchiveOutcome {
    /// The head is archived.
    Archived,
    /// Another head, of which these are the bytes, is archived with the same version.
    Differs(Bytes),
    /// The deadline passed.
    Unavailable,
}

impl Archive {
    /// Lists the archived heads without retries.
    pub(crate) async fn list_once<S: ObjectStore>(store: &S) -> CallOutcome<Self> {
        store.list(ARCHIVE_PREFIX).await.map(|listing| {
            let mut heads: Vec<ArchivedHead> = listing
                .objects
                .into_iter()
                .filter_map(|object| {
                    let version = object.name.strip_prefix(ARCHIVE_PREFIX)?.parse().ok()?;
                    Some(ArchivedHead { version, object })
                })
                .collect();
            heads.sort_by_key(|it| it.version);
            Self { era: listing.revision.era, heads }
        })
    }

    /// Lists the archived heads with retries, `None` if the deadline passed.
    pub(crate) async fn list<S: ObjectStore>(store: &S, backoff: &mut Backoff) -> Option<Self> {
        loop {
            let min_delay_ms = match Self::list_once(store).await {
                CallOutcome::Value(it) => return Some(it),
                CallOutcome::Unavailable => 0,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
            };
            if !backoff.wait(min_delay_ms).await {
                return None;
            }
        }
    }

    /// Returns the version of the configuration that follows `current`.
    ///
    /// A restored store lacks the newest heads, which hosts may have. The versions of each era
    /// therefore begin above all of the earlier ones.
    pub(crate) fn next_version(&self, current: Option<&Head>) -> u64 {
        (current.map_or(0, |it| it.version) + 1).max(self.first_version())
    }

    /// Whether a configuration of this version was written in the current era.
    pub(crate) fn is_of_current_era(&self, version: u64) -> bool {
        version >= self.first_version()
    }

    /// Whether the store was restored. A head that is written before any restoration is archived
    /// only when it is replaced, because no write from an earlier era can overwrite it.
    pub(crate) fn is_restored(&self) -> bool {
        self.era > FIRST_ERA
    }

    /// Returns the highest archived version if it is above `version` and of the current era.
    ///
    /// A head is archived after it was stored, so that the stored head has a lower version only if a
    /// write from before a restoration overwrote it.
    pub(crate) fn overwritten_version(&self, version: u64) -> Option<u64> {
        let newest_version = self.heads.last()?.version;
        let is_overwritten = newest_version > version && self.is_of_current_era(newest_version);
        is_overwritten.then_some(newest_version)
    }

    /// Returns the lowest archived version above `version`.
    pub(crate) fn version_after(&self, version: u64) -> Option<u64> {
        let index = self.heads.partition_point(|it| it.version <= version);
        self.heads.get(index).map(|it| it.version)
    }

    /// Returns the lowest version of the current era.
    fn first_version(&self) -> u64 {
        self.era.saturating_sub(FIRST_ERA) * VERSIONS_PER_ERA + 1
    }
}

/// Returns the name of an archived head.
fn archive_name(version: u64) -> String {
    format!("{ARCHIVE_PREFIX}{version:012}")
}

/// Reads the bytes of an archived head without retries, `None` if it is missing.
pub(crate) async fn read_archived_bytes_once<S: ObjectStore>(
    store: &S,
    version: u64,
) -> CallOutcome<Option<Bytes>> {
    store.read(&archive_name(version)).await.map(|it| it.map(|it| it.bytes))
}

/// Reads an archived head without retries, `None` if it is missing or cannot be decoded.
pub(crate) async fn read_archived_head_once<S: ObjectStore>(
    store: &S,
    version: u64,
) -> CallOutcome<Option<Head>> {
    let bytes = read_archived_bytes_once(store, version).await;
    bytes.map(|it| it.and_then(|it| parse_head(&it)))
}

/// Archives a stored head.
///
/// The first archived head of a version counts: another stored head of this version overwrote it.
pub(crate) async fn archive_head<S: ObjectStore>(
    store: &S,
    version: u64,
    bytes: &Bytes,
    backoff: &mut Backoff,
) -> ArchiveOutcome {
    let name = archive_name(version);
    loop {
        let min_delay_ms = match store.write(&name, bytes.clone(), Condition::Absent).await {
            WriteOutcome::Written { .. } => return ArchiveOutcome::Archived,
            WriteOutcome::Throttled { retry_after_ms } => retry_after_ms,
            WriteOutcome::Conflict { .. } | WriteOutcome::Unknown => {
                match store.read(&name).await {
                    CallOutcome::Value(Some(it)) if it.bytes == *bytes => {
                        return ArchiveOutcome::Archived;
                    }
                    CallOutcome::Value(Some(it)) => return ArchiveOutcome::Differs(it.bytes),
                    CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
                    CallOutcome::Value(None) | CallOutcome::Unavailable => 0,
                }
            }
            WriteOutcome::Unavailable | WriteOutcome::TooLarge => 0,
        };
        if !backoff.wait(min_delay_ms).await {
            return ArchiveOutcome::Unavailable;
        }
    }
}
