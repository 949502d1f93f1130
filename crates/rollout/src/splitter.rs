//! Division of a service's requests between two versions on one host.

use kingcupford_config::{Key, RouteId};
use tokio::time::Instant;

use crate::{
    rollout::{Reason, Rollout, State},
    stage::Stage,
    timeline::{CLOCK_MARGIN_MS, Elapsed, Timeline},
};

/// Decides on one host which version of a service a request goes to.
#[derive(Debug)]
pub struct TrafficSplitter {
    /// Decides the phase of every route.
    seed: u64,
    /// The newest object.
    rollout: Option<Rollout>,
    /// Version of the newest object.
    document_version: u64,
    /// Why this host sends no more requests to the new version of this generation.
    stopped: Option<Reason>,
    /// Whether half of the traffic goes to the old version for comparison.
    control_sample: bool,
    /// Time since the rollout's start.
    elapsed: Option<Elapsed>,
    /// State of each route, indexed by its key.
    routes: Vec<RouteSplit>,
}

/// A version of the two that a rollout concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Side {
    /// The version that is replaced.
    Old,
    /// The version that replaces it.
    New,
}

/// Choice for one request, to be handed back to the fault test with the request's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct VersionPick {
    /// The version that gets the request.
    pub side: Side,
    /// The new version's share when the choice was made.
    pub share_percent: u8,
    /// The rollout's generation, 0 without a rollout.
    pub generation: u64,
}

/// Requests that a host sent on one route in the present generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RouteRequestCounts {
    /// The route.
    pub route: RouteId,
    /// Requests sent to the old version.
    pub old_requests: u64,
    /// Requests sent to the new version.
    pub new_requests: u64,
}

/// Error diffusion of one route.
#[derive(Debug, Clone, Copy)]
struct RouteSplit {
    /// Part of the next request that is due to the new version, in percent.
    due_percent: u8,
    /// Requests sent to the old version.
    old_requests: u64,
    /// Requests sent to the new version.
    new_requests: u64,
}

impl TrafficSplitter {
    /// A splitter without a rollout; hosts must use different seeds.
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            rollout: None,
            document_version: 0,
            stopped: None,
            control_sample: false,
            elapsed: None,
            routes: Vec::new(),
        }
    }

    /// Takes over an object unless it is older than the present one, and answers whether it did.
    pub fn update_rollout(&mut self, rollout: Option<&Rollout>, document_version: u64) -> bool {
        if document_version < self.document_version {
            return false;
        }
        let generation = rollout.map(|it| it.generation);
        if self.rollout.as_ref().map(|it| it.generation) != generation {
            self.stopped = None;
            self.control_sample = false;
            self.elapsed = None;
            self.routes.clear();
        }
        self.document_version = document_version;
        self.rollout = rollout.cloned();
        true
    }

    /// Chooses the version for a request.
    ///
    /// After any number of requests on a route, the new version got less than one request more than
    /// the sum of the shares that were in force.
    pub fn pick(&mut self, route: RouteId) -> VersionPick {
        let share_percent = self.share_percent();
        let generation = self.generation();
        let at = route.index();
        while self.routes.len() <= at {
            let index = self.routes.len() as u64;
            let phase = mix(self.seed ^ mix(generation ^ mix(index)));
            self.routes.push(RouteSplit {
                due_percent: (phase % 100) as u8,
                old_requests: 0,
                new_requests: 0,
            });
        }
        let split = &mut self.routes[at];
        split.due_percent += share_percent;
        let side = if split.due_percent >= 100 {
            split.due_percent -= 100;
            split.new_requests += 1;
            Side::New
        } else {
            split.old_requests += 1;
            Side::Old
        };
        VersionPick { side, share_percent, generation }
    }

    /// Sends no more requests to the new version of the present generation.
    ///
    /// Answers whether this is news, in which case the host tells its peers.
    pub fn stop(&mut self, generation: u64, reason: Reason) -> bool {
        let is_open = self.rollout.as_ref().is_some_and(|it| {
            it.generation == generation && matches!(it.state, State::Running | State::Watching)
        });
        if !is_open || self.stopped.is_some() {
            return false;
        }
        self.stopped = Some(reason);
        true
    }

    /// Stops by itself when the platform is away and the deadline cannot be met any more.
    ///
    /// It waits a clock margin longer than a controller, which decides first where it can write.
    pub fn check_deadline(&mut self, now: Instant, unix_ms: u64) -> Option<Reason> {
        let rollout = self.rollout.as_ref()?;
        let elapsed = self.elapsed.get_or_insert_with(|| Elapsed::new(rollout, now));
        let elapsed_ms = elapsed.update(rollout, now, unix_ms);
        let last_ms = Timeline::new(rollout.duration_ms).last_stage_deadline_ms + CLOCK_MARGIN_MS;
        if rollout.state != State::Running || elapsed_ms <= last_ms {
            return None;
        }
        let generation = rollout.generation;
        self.stop(generation, Reason::DeadlineOutOfReach).then_some(Reason::DeadlineOutOfReach)
    }

    /// Sends half of the traffic to the old version while the share is 100%, for comparison.
    pub fn set_control_sample(&mut self, wanted: bool) {
        self.control_sample = wanted;
    }

    /// The new version's share at present.
    pub fn share_percent(&self) -> u8 {
        let Some(rollout) = &self.rollout else { return 0 };
        // A stop holds until the object is rolled back or another generation begins; an object
        // that is done nevertheless was written by a controller that knew more hosts.
        if self.stopped.is_some() && rollout.state != State::Done {
            return 0;
        }
        let share_percent = rollout.share_percent();
        if self.control_sample && rollout.state == State::Watching {
            return share_percent.min(Stage::Fifty.percent());
        }
        share_percent
    }

    /// Why this host stopped.
    pub fn stop_reason(&self) -> Option<&Reason> {
        self.stopped.as_ref()
    }

    /// The newest object.
    pub fn rollout(&self) -> Option<&Rollout> {
        self.rollout.as_ref()
    }

    /// Version of the newest object.
    pub fn document_version(&self) -> u64 {
        self.document_version
    }

    /// Requests sent by route since the rollout's start or this process's start.
    pub fn request_counts(&self) -> impl Iterator<Item = RouteRequestCounts> {
        self.routes.iter().enumerate().map(|(index, it)| RouteRequestCounts {
            route: RouteId::from_index(index),
            old_requests: it.old_requests,
            new_requests: it.new_requests,
        })
    }

    /// The present generation, 0 without a rollout.
    fn generation(&self) -> u64 {
        self.rollout.as_ref().map_or(0, |it| it.generation)
    }
}

/// Spreads a number over all bits.
fn mix(value: u64) -> u64 {
    let mut res = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    res = (res ^ (res >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    res = (res ^ (res >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    res ^ (res >> 31)
}
