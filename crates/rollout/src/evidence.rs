//! Counters that hosts exchange about a running rollout.

use bincode::{Decode, Encode};

/// What one start of a host's process saw of a rollout; counters only rise.
///
/// A receiver keeps the largest value of each counter, so duplicates and reordering do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Evidence {
    /// Name of the host.
    pub host: String,
    /// Number of the start of its process.
    pub incarnation: u64,
    /// Name of the service.
    pub service: String,
    /// Generation of the rollout.
    pub generation: u64,
    /// Counters by route and share.
    pub routes: Vec<RouteEvidence>,
}

/// Counters of one route while one share was in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RouteEvidence {
    /// Path prefix of the route.
    pub route: String,
    /// The new version's share when the requests were sent.
    pub share_percent: u8,
    /// Requests to the old version.
    pub old: Tally,
    /// Requests to the new version.
    pub new: Tally,
}

/// Counters of one version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Encode, Decode)]
pub struct Tally {
    /// Finished requests.
    pub requests: u64,
    /// Failed ones.
    pub failures: u64,
    /// Successful ones while the limit of slow responses was known.
    pub timed: u64,
    /// Those above the limit.
    pub slow: u64,
}

impl Tally {
    /// What `self` counted beyond `seen`.
    pub(crate) fn since(&self, seen: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(seen.requests),
            failures: self.failures.saturating_sub(seen.failures),
            timed: self.timed.saturating_sub(seen.timed),
            slow: self.slow.saturating_sub(seen.slow),
        }
    }

    /// Adds the counters of `other`.
    pub(crate) fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failures += other.failures;
        self.timed += other.timed;
        self.slow += other.slow;
    }
}

/// Counters of both versions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Pair {
    /// The old version.
    pub(crate) old: Tally,
    /// The new version.
    pub(crate) new: Tally,
}

impl Pair {
    /// What `self` counted beyond `seen`.
    pub(crate) fn since(&self, seen: &Self) -> Self {
        Self { old: self.old.since(&seen.old), new: self.new.since(&seen.new) }
    }

    /// Adds the counters of `other`.
    pub(crate) fn add(&mut self, other: &Self) {
        self.old.add(&other.old);
        self.new.add(&other.new);
    }
}

/// Counters by share, sorted by share.
#[derive(Debug, Clone, Default)]
pub(crate) struct ByShare(pub(crate) Vec<(u8, Pair)>);

impl ByShare {
    /// The counters of a share.
    pub(crate) fn at(&self, share_percent: u8) -> Pair {
        self.0.iter().find(|it| it.0 == share_percent).map(|it| it.1).unwrap_or_default()
    }

    /// The counters of a share for changes.
    pub(crate) fn at_mut(&mut self, share_percent: u8) -> &mut Pair {
        let at = match self.0.binary_search_by_key(&share_percent, |it| it.0) {
            Ok(at) => at,
            Err(at) => {
                self.0.insert(at, (share_percent, Pair::default()));
                at
            }
        };
        &mut self.0[at].1
    }

    /// The sum over all shares.
    pub(crate) fn sum(&self) -> Pair {
        let mut res = Pair::default();
        for (_, pair) in &self.0 {
            res.add(pair);
        }
        res
    }
}
