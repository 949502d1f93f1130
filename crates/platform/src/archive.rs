//! Archive of the heads that were stored, from which a writer learns whether its change took effect
//! although another change has replaced it since.

use kingcupford_config::Head;

use crate::{
    backoff::Backoff,
    config_store::{StoredHead, parse_head},
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

/// Reads an archived head without retries, `None` if it is missing or cannot be decoded.
pub(crate) async fn read_archived_head_once<S: ObjectStore>(
    store: &S,
    version: u64,
) -> CallOutcome<Option<Head>> {
    let object = store.read(&archive_name(version)).await;
    object.map(|it| it.and_then(|it| parse_head(&it.bytes)))
}

/// Archives the head that is about to be replaced; returns `false` if the deadline passed.
pub(crate) async fn archive_head<S: ObjectStore>(
    store: &S,
    base: &StoredHead,
    backoff: &mut Backoff,
) -> bool {
    let name = archive_name(base.head.version);
    loop {
        let min_delay_ms = match store.write(&name, base.bytes.clone(), Condition::Absent).await {
            WriteOutcome::Written { .. } | WriteOutcome::Conflict { .. } => return true,
            WriteOutcome::Throttled { retry_after_ms } => retry_after_ms,
            WriteOutcome::Unknown => match store.read(&name).await {
                CallOutcome::Value(Some(_)) => return true,
                CallOutcome::Throttled { retry_after_ms } => retry_after_ms,
                CallOutcome::Value(None) | CallOutcome::Unavailable => 0,
            },
            WriteOutcome::Unavailable | WriteOutcome::TooLarge => 0,
        };
        if !backoff.wait(min_delay_ms).await {
            return false;
        }
    }
}
