//! Age of this process's view of the platform, and its lag behind other hosts.

use std::time::Duration;

use tokio::time::Instant;

/// Shorter suspensions are scheduling delays.
const MIN_SUSPENSION: Duration = Duration::from_millis(50);

/// Tracks when the view was last confirmed to be current.
///
/// The runtime's clock stops while the machine is suspended. Suspensions are therefore reported
/// through [`record_suspension`](Self::record_suspension), which invalidates all earlier
/// confirmations.
#[derive(Debug, Clone, Copy)]
pub struct ViewFreshness {
    /// Latest time at which the view is known to have been current.
    confirmed_at: Option<Instant>,
    /// Confirmations from before this time are ignored.
    invalid_before: Option<Instant>,
    reported_suspension: Duration,
}

impl ViewFreshness {
    /// Creates a view without confirmation. `total_suspended` is the time for which the machine has
    /// been suspended so far.
    pub fn new(total_suspended: Duration) -> Self {
        Self { confirmed_at: None, invalid_before: None, reported_suspension: total_suspended }
    }

    /// Records that the view was current at a time. Returns `false` if the confirmation is ignored
    /// because it is not newer than the last one, or because a suspension followed it.
    pub fn confirm(&mut self, at: Instant) -> bool {
        let is_invalid = self.invalid_before.is_some_and(|it| at < it);
        let is_newer = !is_invalid && self.confirmed_at.is_none_or(|it| it < at);
        if is_newer {
            self.confirmed_at = Some(at);
        }
        is_newer
    }

    /// Updates the time for which the machine has been suspended in total. Returns the length of a
    /// new suspension of 50 ms or more, which invalidates the view.
    pub fn record_suspension(
        &mut self,
        total_suspended: Duration,
        now: Instant,
    ) -> Option<Duration> {
        let suspension = total_suspended.saturating_sub(self.reported_suspension);
        if suspension < MIN_SUSPENSION {
            return None;
        }
        self.reported_suspension = total_suspended;
        self.invalid_before = Some(now);
        self.confirmed_at = None;
        Some(suspension)
    }

    /// Age of the view; `None` if it has not been confirmed since the start or the last suspension.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|it| now.saturating_duration_since(it))
    }
}

/// Time for which a newer version counts after the last host that had it was heard. Longer than the
/// silence after which a host of another region counts as gone, in deployments of 195 hosts.
const VERSION_RETENTION: Duration = Duration::from_secs(10);

/// Tracks for how long other hosts have had a newer manifest than this one.
#[derive(Debug, Clone, Default)]
pub struct ManifestLag {
    /// Versions above the own one that other hosts have or had, sorted.
    newer_versions: Vec<NewerVersion>,
}

#[derive(Debug, Clone, Copy)]
struct NewerVersion {
    version: u64,
    /// Time at which another host was first known to have it.
    since: Instant,
    /// Time at which a host was last known to have it or a newer one.
    confirmed_at: Instant,
}

impl ManifestLag {
    /// Updates the own version and the newest one at live hosts.
    pub fn update(&mut self, own_version: u64, peer_version: Option<u64>, now: Instant) {
        if let Some(version) = peer_version {
            if let Err(at) = self.newer_versions.binary_search_by_key(&version, |it| it.version) {
                let newer_version = NewerVersion { version, since: now, confirmed_at: now };
                self.newer_versions.insert(at, newer_version);
            }
            let confirmed = self.newer_versions.iter_mut().take_while(|it| it.version <= version);
            confirmed.for_each(|it| it.confirmed_at = now);
        }
        self.newer_versions.retain(|it| {
            it.version > own_version
                && now.saturating_duration_since(it.confirmed_at) < VERSION_RETENTION
        });
    }

    /// Newest version at the other hosts, if it is newer than the own one.
    pub fn newer_version(&self) -> Option<u64> {
        self.newer_versions.last().map(|it| it.version)
    }

    /// Time for which the own version has been outdated; `None` if it is not.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        let replaced_at = self.newer_versions.iter().map(|it| it.since).min();
        replaced_at.map(|it| now.saturating_duration_since(it))
    }
}
