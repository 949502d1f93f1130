//! Versions of the platform's objects that keep rising when the platform is restored from a copy.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use kingcupford_platform::{
    Announcement, ApiRequest, ApiResponse, CallOutcome, Condition, Dialect, HostEntry, ListPage,
    Object, PlainDialect, StoreRevision, WatchResponse, WriteOutcome,
};

/// Header with the era of the platform's store, which rises with each restoration.
const ERA_HEADER: &str = "store-era";

/// Bits of a version below those of its era.
const VERSION_BITS: u32 = 40;

/// [`PlainDialect`] whose versions contain the era of the store.
///
/// After a restoration the platform gives versions out again. With the era in the upper bits, a
/// version of an earlier era is lower than every version of a later one, and a condition that refers
/// to it fails.
#[derive(Debug, Clone, Default)]
pub struct EraDialect {
    plain: PlainDialect,
    /// Newest era in a response as [`ApiResponse::era`] counts it, 0 if the platform names none;
    /// shared by all clones.
    newest_era: Arc<AtomicU64>,
}

impl EraDialect {
    /// Returns the era of a response. One without the header is of the newest known era.
    fn era(&self, response: &ApiResponse) -> u64 {
        match response.era(ERA_HEADER) {
            0 => self.newest_era.load(Ordering::Relaxed),
            era => {
                self.newest_era.fetch_max(era, Ordering::Relaxed);
                era
            }
        }
    }

    /// Returns the version that the platform knows. A version of another era than the newest one
    /// remains as it is, so that it is higher than every version of the platform.
    fn plain_version(&self, version: u64) -> u64 {
        let era = self.newest_era.load(Ordering::Relaxed);
        let (version_era, number) = split_version(version);
        if version_era == era { number } else { version }
    }

    fn plain_condition(&self, condition: Condition) -> Condition {
        match condition {
            Condition::Version(it) => Condition::Version(self.plain_version(it)),
            Condition::Always | Condition::Absent => condition,
        }
    }
}

/// Returns the version with its era, counted as in [`ApiResponse::era`], in the upper bits.
fn version_in_era(era: u64, version: u64) -> u64 {
    era << VERSION_BITS | version
}

/// Returns the era of a version, counted as in [`ApiResponse::era`], and the number that the platform
/// gave it.
pub(crate) fn split_version(version: u64) -> (u64, u64) {
    (version >> VERSION_BITS, version & ((1 << VERSION_BITS) - 1))
}

impl Dialect for EraDialect {
    fn encode_read(&self, name: &str) -> ApiRequest {
        self.plain.encode_read(name)
    }

    fn decode_read(&self, response: &ApiResponse) -> CallOutcome<Option<Object>> {
        let era = self.era(response);
        self.plain.decode_read(response).map(|object| {
            object.map(|it| Object { version: version_in_era(era, it.version), ..it })
        })
    }

    fn encode_write(&self, name: &str, value: &Bytes, condition: Condition) -> ApiRequest {
        self.plain.encode_write(name, value, self.plain_condition(condition))
    }

    fn encode_create_fallback(
        &self,
        name: &str,
        value: &Bytes,
        condition: Condition,
        response: &ApiResponse,
    ) -> Option<ApiRequest> {
        let condition = self.plain_condition(condition);
        self.plain.encode_create_fallback(name, value, condition, response)
    }

    fn encode_delete(&self, name: &str, condition: Condition) -> ApiRequest {
        self.plain.encode_delete(name, self.plain_condition(condition))
    }

    fn decode_write(&self, response: &ApiResponse) -> WriteOutcome {
        let era = self.era(response);
        match self.plain.decode_write(response) {
            WriteOutcome::Written { version } => {
                WriteOutcome::Written { version: version_in_era(era, version) }
            }
            WriteOutcome::Conflict { current } => {
                WriteOutcome::Conflict { current: current.map(|it| version_in_era(era, it)) }
            }
            other => other,
        }
    }

    fn encode_list(&self, prefix: &str, after: Option<&str>) -> ApiRequest {
        self.plain.encode_list(prefix, after)
    }

    fn decode_list(&self, prefix: &str, response: &ApiResponse) -> CallOutcome<ListPage> {
        let era = self.era(response);
        self.plain.decode_list(prefix, response).map(|mut page| {
            for it in &mut page.listing.objects {
                it.version = version_in_era(era, it.version);
            }
            page
        })
    }

    fn encode_watch(&self, prefix: &str, after: StoreRevision, wait: Duration) -> ApiRequest {
        self.plain.encode_watch(prefix, after, wait)
    }

    fn decode_watch(&self, prefix: &str, response: &ApiResponse) -> CallOutcome<WatchResponse> {
        let era = self.era(response);
        self.plain.decode_watch(prefix, response).map(|mut response| {
            if let WatchResponse::Changes { changes, .. } = &mut response {
                for it in changes {
                    it.version = it.version.map(|it| version_in_era(era, it));
                }
            }
            response
        })
    }

    fn encode_list_hosts(&self) -> ApiRequest {
        self.plain.encode_list_hosts()
    }

    fn decode_list_hosts(&self, response: &ApiResponse) -> CallOutcome<Vec<HostEntry>> {
        self.plain.decode_list_hosts(response)
    }

    fn decode_era(&self, response: &ApiResponse) -> u64 {
        self.plain.decode_era(response)
    }

    fn encode_announce(&self, entry: &HostEntry) -> Announcement {
        self.plain.encode_announce(entry)
    }
}
