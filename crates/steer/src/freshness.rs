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

/// Tracks for how long other hosts have had a newer manifest than this one.
#[derive(Debug, Clone, Copy, Default)]
pub struct ManifestLag {
    /// `None` while no other host has a newer manifest.
    current: Option<Lag>,
}

#[derive(Debug, Clone, Copy)]
struct Lag {
    own_version: u64,
    newest_version: u64,
    /// Time at which another host first reported the newest version.
    newest_since: Instant,
    /// Time since which the own version has been outdated.
    began_at: Instant,
}

impl ManifestLag {
    /// Updates the own version and the newest one at other hosts.
    pub fn update(&mut self, own_version: u64, peer_version: Option<u64>, now: Instant) {
        let previous = self.current;
        let newer_version = peer_version.filter(|it| *it > own_version);
        self.current = newer_version.map(|newest_version| {
            let newest_since = previous
                .filter(|it| it.newest_version == newest_version)
                .map_or(now, |it| it.newest_since);
            let began_at = previous
                .filter(|it| it.own_version == own_version)
                .map_or(newest_since, |it| it.began_at);
            Lag { own_version, newest_version, newest_since, began_at }
        });
    }

    /// Newest version at the other hosts, if it is newer than the own one.
    pub fn newer_version(&self) -> Option<u64> {
        self.current.map(|it| it.newest_version)
    }

    /// Time for which the own version has been outdated; `None` if it is not.
    pub fn duration(&self, now: Instant) -> Option<Duration> {
        self.current.map(|it| now.saturating_duration_since(it.began_at))
    }
}
