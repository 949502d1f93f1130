//! Division of a service's requests between two versions on one host.

use kingcupford_config::{ArenaId, RouteId};
use tokio::time::Instant;

use crate::{
    rollout::{Reason, Rollout, RolloutKey, State},
    stage::Stage,
    timeline::{CLOCK_MARGIN_MS, ElapsedTime, Timeline},
};

/// Decides on one host which version of a service a request goes to.
#[derive(Debug)]
pub struct TrafficSplitter {
    /// Seed of the initial phase of every route.
    seed: u64,
    rollout: Option<Rollout>,
    document_version: u64,
    /// Why this host sends no more requests to the new version in this rollout.
    stop_reason: Option<Reason>,
    control_sample_active: bool,
    elapsed: Option<ElapsedTime>,
    /// Error diffusion by route, indexed by route id.
    routes: Vec<RouteSplit>,
}

/// One of the two versions that a rollout concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The version that is replaced.
    Old,
    /// The version that replaces the old one.
    New,
}

/// Version chosen for one request, which [`FaultDetector::observe`](crate::FaultDetector::observe)
/// takes together with the outcome of the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionPick {
    /// The version that gets the request.
    pub side: Side,
    /// Share of the new version in percent when the version was chosen.
    pub share_percent: u8,
    /// The rollout, `None` without one.
    pub rollout: Option<RolloutKey>,
}

/// Numbers of requests that this host sent on one route in the current rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRequestCounts {
    /// Route that the requests belong to.
    pub route: RouteId,
    /// Number of requests sent to the old version.
    pub old_requests: u64,
    /// Number of requests sent to the new version.
    pub new_requests: u64,
}

/// Error diffusion state and request counts of one route.
#[derive(Debug, Clone, Copy)]
struct RouteSplit {
    /// Accumulated share of the new version that has not been served yet, in percent of a request.
    accumulated_percent: u8,
    old_requests: u64,
    new_requests: u64,
}

impl TrafficSplitter {
    /// Creates a splitter without a rollout. Hosts must use different seeds, so that their first
    /// requests do not all go to the new version.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rollout: None,
            document_version: 0,
            stop_reason: None,
            control_sample_active: false,
            elapsed: None,
            routes: Vec::new(),
        }
    }

    /// Applies an object unless it is older than the current one. Returns whether it was applied.
    pub fn update_rollout(&mut self, rollout: Option<&Rollout>, document_version: u64) -> bool {
        if document_version < self.document_version {
            return false;
        }
        if self.key() != rollout.map(Rollout::key) {
            self.stop_reason = None;
            self.control_sample_active = false;
            self.elapsed = None;
            self.routes.clear();
        } else if let (Some(known), Some(rollout)) = (&self.rollout, rollout)
            && matches!(known.state, State::RollingBack | State::RolledBack)
            && matches!(rollout.state, State::Running | State::Watching)
        {
            // Only a restored platform returns to an earlier state of a rollout.
            self.stop_reason = known.reason.clone();
        }
        self.document_version = document_version;
        self.rollout = rollout.cloned();
        true
    }

    /// Chooses the version for a request by error diffusion.
    ///
    /// On every route, fewer requests go to the new version than the sum of the shares at which the
    /// route's requests were sent, plus one.
    pub fn pick(&mut self, route: RouteId) -> VersionPick {
        let share_percent = self.share_percent();
        let rollout = self.key();
        let generation = rollout.map_or(0, |it| it.generation);
        let index = route.index();
        while self.routes.len() <= index {
            let new_index = self.routes.len() as u64;
            let phase = splitmix64(self.seed ^ splitmix64(generation ^ splitmix64(new_index)));
            self.routes.push(RouteSplit {
                accumulated_percent: (phase % 100) as u8,
                old_requests: 0,
                new_requests: 0,
            });
        }
        let split = &mut self.routes[index];
        split.accumulated_percent += share_percent;
        let side = if split.accumulated_percent >= 100 {
            split.accumulated_percent -= 100;
            split.new_requests += 1;
            Side::New
        } else {
            split.old_requests += 1;
            Side::Old
        };
        VersionPick { side, share_percent, rollout }
    }

    /// Stops sending requests to the new version for the rest of a rollout.
    ///
    /// Returns whether the stop is new, in which case the host must report it to its peers.
    pub fn stop(&mut self, rollout: RolloutKey, reason: Reason) -> bool {
        let is_active = self.rollout.as_ref().is_some_and(|it| {
            it.key() == rollout && matches!(it.state, State::Running | State::Watching)
        });
        if !is_active || self.stop_reason.is_some() {
            return false;
        }
        self.stop_reason = Some(reason);
        true
    }

    /// Stops the rollout on this host if the deadline can no longer be met, which happens when the
    /// platform is unreachable. Returns the reason if the stop is new.
    ///
    /// A controller that can write to the platform decides first, because this limit is
    /// `CLOCK_MARGIN_MS` later than the controller's.
    pub fn check_deadline(&mut self, now: Instant, unix_ms: u64) -> Option<Reason> {
        let rollout = self.rollout.as_ref()?;
        let elapsed = self.elapsed.get_or_insert_with(|| ElapsedTime::new(rollout, now));
        let elapsed_ms = elapsed.update(rollout, now, unix_ms);
        let stop_after_ms =
            Timeline::new(rollout.duration_ms).last_stage_deadline_ms + CLOCK_MARGIN_MS;
        if rollout.state != State::Running || elapsed_ms <= stop_after_ms {
            return None;
        }
        let key = rollout.key();
        self.stop(key, Reason::DeadlineOutOfReach).then_some(Reason::DeadlineOutOfReach)
    }

    /// Sets whether half of the traffic goes to the old version for comparison while the new
    /// version's share is 100%.
    pub fn set_control_sample(&mut self, active: bool) {
        self.control_sample_active = active;
    }

    /// Returns the current share of the new version in percent; 0 after a stop, unless the rollout
    /// is done.
    pub fn share_percent(&self) -> u8 {
        let Some(rollout) = &self.rollout else { return 0 };
        // A stop holds until the rollout is rolled back or another one starts. A rollout
        // that is done nevertheless was completed by a controller that knew more hosts.
        if self.stop_reason.is_some() && rollout.state != State::Done {
            return 0;
        }
        let share_percent = rollout.share_percent();
        if self.control_sample_active && rollout.state == State::Watching {
            return share_percent.min(Stage::Fifty.percent());
        }
        share_percent
    }

    /// Returns why this host stopped sending requests to the new version, `None` if it did not.
    pub fn stop_reason(&self) -> Option<&Reason> {
        self.stop_reason.as_ref()
    }

    /// Returns the newest object, `None` without a rollout.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Returns the version of the platform object that `rollout` was read from.
    pub fn document_version(&self) -> u64 {
        self.document_version
    }

    /// Returns the requests sent by route since the start of the rollout or of this process,
    /// whichever is later.
    pub fn request_counts(&self) -> impl Iterator<Item = RouteRequestCounts> {
        self.routes.iter().enumerate().map(|(index, it)| RouteRequestCounts {
            route: RouteId::from_index(index),
            old_requests: it.old_requests,
            new_requests: it.new_requests,
        })
    }

    fn key(&self) -> Option<RolloutKey> {
        self.rollout.as_ref().map(Rollout::key)
    }
}

/// Hashes a number with SplitMix64.
fn splitmix64(value: u64) -> u64 {
    let mut res = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    res = (res ^ (res >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    res = (res ^ (res >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    res ^ (res >> 31)
}
