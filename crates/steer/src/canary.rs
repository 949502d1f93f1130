//! Canary rollout of a service's new version. Every host evaluates the summed responses of all
//! hosts, so that all of them reach the same decision.

use std::time::Duration;

use kingcupford_rollout::{
    Hypotheses, LatencyHistogram, RouteTest, SequentialTest, VersionSample, VersionTally,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cache_affinity::mix,
    heartbeat::{RolloutTally, name_hash},
    members::Members,
    versions::Side,
};

/// Fraction of the allowed exposure that the canary uses, so that hosts that decide on their own
/// stay within the limit together.
const CANARY_EXPOSURE_FRACTION: f64 = 0.8;

/// Fraction of the rollout's duration in which only the canary share is exposed. Faults that begin
/// late show in this phase.
const CANARY_PHASE_FRACTION: f64 = 0.45;

/// Log evidence on a route at which the new version is faulty.
const FAULTY_LOG_EVIDENCE: f64 = 8.0;

/// Log evidence on a route at which the new version is faulty late in the rollout. A good version
/// that is rolled back costs less than a bad one that is completed.
const LATE_FAULTY_LOG_EVIDENCE: f64 = 4.5;

/// Fraction of the rollout's duration after which [`LATE_FAULTY_LOG_EVIDENCE`] suffices.
const LATE_FRACTION: f64 = 0.65;

/// Log evidence against the new version from which its share does not follow the ramp.
const SUSPICIOUS_LOG_EVIDENCE: f64 = 2.0;

/// Log evidence on a route at which the new version is faulty when there is no time left to collect
/// more. About four slow responses in a row.
const LAST_FAULTY_LOG_EVIDENCE: f64 = 3.5;

/// Fraction of the rollout's duration after which [`LAST_FAULTY_LOG_EVIDENCE`] suffices.
const LAST_FRACTION: f64 = 0.8;

/// Share of a suspicious version while its exposure is within the limit, so that a few more
/// responses settle the suspicion.
const SUSPICIOUS_SHARE: f64 = 0.3;

/// Weight of the planned share against the counted one, as a number of exchanges.
const SHARE_PRIOR_EXCHANGES: f64 = 50.0;

/// Fraction of the rollout's duration after which all requests go to the new version.
const FULL_EXPOSURE_FRACTION: f64 = 0.75;

/// Fraction of the rollout's duration after which a healthy version is declared complete. The rest
/// is a reserve for a slow platform.
const COMPLETION_FRACTION: f64 = 0.85;

/// Responses of the new version that are required before the ramp.
const MIN_RAMP_RESPONSES: u64 = 30;

/// Fraction of the rollout's duration after which the ramp begins with fewer responses too, since a
/// service with few requests also has a deadline.
const MAX_RAMP_DELAY_FRACTION: f64 = 0.6;

/// Delay between the status writes of hosts with consecutive ranks, so that a host sees the write
/// of the one before it.
const STATUS_WRITE_STAGGER: Duration = Duration::from_millis(400);

/// Minimum interval between two attempts of one host to write a status.
const STATUS_WRITE_INTERVAL: Duration = Duration::from_millis(700);

/// Order of an operator to replace a service's version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Name of the service.
    pub service: String,
    /// Version that replaces the others.
    pub target_version: String,
    /// Time from the order to its deadline.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RolloutState {
    /// Requests are moving to the new version.
    Running,
    /// All requests go to the new version; final.
    Completed,
    /// No request goes to the new version; final.
    RolledBack,
}

/// Limits for the exposure of a rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CanarySettings {
    /// Fraction of the service's requests that a faulty version may receive, 0 to 1.
    pub exposure_share: f64,
}

/// Status of a rollout that this host should write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatusWrite {
    /// State to write.
    pub state: RolloutState,
}

/// Rollout as this host sees it.
#[derive(Debug)]
pub struct Canary {
    order: RolloutOrder,
    settings: CanarySettings,
    /// Newest state that the platform stored; `None` before the first status.
    state: Option<RolloutState>,
    /// State that the platform stores now. It is behind `state` when the platform was restored from
    /// a copy.
    stored_state: Option<RolloutState>,
    /// Time of the order, as far as this host knows.
    started_at: Instant,
    rollout_hash: u32,
    /// Exchanges that this process counted, by route.
    own_tallies: Vec<RolloutTally>,
    /// State of `own_tallies` up to which the tests have seen it.
    tested_own_tallies: Vec<RolloutTally>,
    /// Tallies of the peers that the tests have seen, by name, incarnation and route.
    tested_peer_tallies: Vec<(String, u64, Vec<RolloutTally>)>,
    /// Requests that this host sent to the old and to the new side.
    sent_requests: [u64; 2],
    /// Compares the failures of both sides over all routes, and finds versions that fail rarely.
    failure_test: SequentialTest,
    /// Tests of the routes by the hash of their names, sorted.
    route_tests: Vec<(u32, RouteTest)>,
    /// Exchanges with the old and the new side at all hosts.
    totals: [u64; 2],
    /// Progress at which the share began to rise.
    ramp_start: Option<f64>,
    /// Reason why the new version is considered faulty.
    fault: Option<&'static str>,
    /// Time at which this host last tried to write a status.
    status_written_at: Option<Instant>,
    /// State that is due to be written, and since when.
    due_status: Option<(RolloutState, Instant)>,
}

impl Canary {
    /// Rollout that was ordered `elapsed` ago.
    pub fn new(
        order: RolloutOrder,
        settings: CanarySettings,
        elapsed: Duration,
        now: Instant,
    ) -> Self {
        let duration_ms = u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX).max(1);
        let rollout_hash = name_hash(&format!("{}\n{}", order.service, order.target_version));
        Self {
            settings,
            state: None,
            stored_state: None,
            started_at: now.checked_sub(elapsed).unwrap_or(now),
            rollout_hash,
            own_tallies: Vec::new(),
            tested_own_tallies: Vec::new(),
            tested_peer_tallies: Vec::new(),
            sent_requests: [0; 2],
            failure_test: SequentialTest::new(Hypotheses::FAILURES, 0.5, duration_ms, now),
            route_tests: Vec::new(),
            totals: [0; 2],
            ramp_start: None,
            fault: None,
            status_written_at: None,
            due_status: None,
            order,
        }
    }

    /// Order that started the rollout.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// State that the platform stores; `None` before the first status.
    pub fn state(&self) -> Option<RolloutState> {
        self.state
    }

    /// Reason why the new version was found faulty, for logs.
    pub fn fault(&self) -> Option<&'static str> {
        self.fault
    }

    /// Exchanges that this process counted, for the heartbeats; one tally if there are none, so that
    /// a fault is reported. None after the completion, which the platform reports.
    pub fn tallies(&self) -> Vec<RolloutTally> {
        if self.state == Some(RolloutState::Completed) {
            return Vec::new();
        }
        let faulty = self.fault.is_some();
        let counted = self.own_tallies.iter().map(|it| RolloutTally { faulty, ..it.clone() });
        let mut res: Vec<RolloutTally> = counted.collect();
        if res.is_empty() {
            let rollout_hash = self.rollout_hash;
            res.push(RolloutTally { rollout_hash, faulty, ..RolloutTally::default() });
        }
        res
    }

    /// Records that the platform stores no state of the order any more.
    pub fn clear_stored_state(&mut self) {
        self.stored_state = None;
    }

    /// Records the state that the platform stores. A final state is replaced only by another final
    /// one, which a host wrote after the platform had lost the first one; it is written again if the
    /// platform stores none.
    pub fn set_state(&mut self, state: RolloutState) {
        self.stored_state = Some(state);
        if state != RolloutState::Running
            || matches!(self.state, None | Some(RolloutState::Running))
        {
            self.state = Some(state);
        }
    }

    /// Share of the requests that goes to the new version now, 0 to 1.
    pub fn new_version_share(&self, now: Instant) -> f64 {
        match self.state {
            Some(RolloutState::Completed) => return 1.0,
            Some(RolloutState::RolledBack) => return 0.0,
            Some(RolloutState::Running) | None => {}
        }
        if self.fault.is_some() {
            return 0.0;
        }
        let canary_share = self.settings.exposure_share * CANARY_EXPOSURE_FRACTION;
        let progress = self.progress(now);
        let Some(ramp_start) = self.ramp_start else { return canary_share };
        if self.is_suspicious() && progress < LAST_FRACTION {
            let [old_total, new_total] = self.totals.map(|it| it as f64);
            let is_within_limit = new_total < canary_share * (old_total + new_total);
            return if is_within_limit { SUSPICIOUS_SHARE } else { canary_share };
        }
        let ramp = (progress - ramp_start) / (FULL_EXPOSURE_FRACTION - ramp_start);
        let ramp = ramp.clamp(0.0, 1.0);
        // Rises slowly at first, since each response counts as evidence for the next steps.
        (canary_share + ramp * ramp * (1.0 - canary_share)).clamp(canary_share, 1.0)
    }

    /// Selects the side for a request by its affinity hash.
    pub fn pick_side(&mut self, affinity_hash: u64, now: Instant) -> Side {
        let share = self.new_version_share(now);
        let key_fraction = (mix(affinity_hash ^ xxh3_64(self.order.target_version.as_bytes()))
            >> 11) as f64
            / (1u64 << 53) as f64;
        if key_fraction >= share {
            return Side::Old;
        }
        let total = (self.sent_requests[0] + self.sent_requests[1]) as f64;
        let is_canary = share <= self.settings.exposure_share;
        // Popular affinity keys must not raise the canary's traffic above its share.
        if is_canary && (self.sent_requests[1] as f64 + 1.0) > share * (total + 1.0) + 1.0 {
            return Side::Old;
        }
        Side::New
    }

    /// Whether only a few instances of the new version are used, so that each of them sees load.
    pub fn uses_few_instances(&self, now: Instant) -> bool {
        self.new_version_share(now) <= self.settings.exposure_share
    }

    /// Counts a request that is being sent to a side.
    pub fn record_sent(&mut self, side: Side) {
        self.sent_requests[usize::from(side == Side::New)] += 1;
    }

    /// Counts an exchange on a route.
    pub fn record_sample(&mut self, side: Side, route_hash: u32, sample: VersionSample) {
        let tally = self.own_tally_mut(route_hash);
        match side {
            Side::New => tally.new.record(sample),
            Side::Old => tally.old.record(sample),
        }
    }

    /// Adds latencies of the old side from before the order.
    pub(crate) fn add_old_latencies(
        &mut self,
        route_hash: u32,
        [uncached, cached]: &[LatencyHistogram; 2],
    ) {
        let old = &mut self.own_tally_mut(route_hash).old;
        old.uncached.latencies.add(uncached);
        old.cached.latencies.add(cached);
    }

    fn own_tally_mut(&mut self, route_hash: u32) -> &mut RolloutTally {
        let at = match self.own_tallies.binary_search_by_key(&route_hash, |it| it.route_hash) {
            Ok(at) => at,
            Err(at) => {
                let rollout_hash = self.rollout_hash;
                let tally = RolloutTally { rollout_hash, route_hash, ..RolloutTally::default() };
                self.own_tallies.insert(at, tally);
                at
            }
        };
        &mut self.own_tallies[at]
    }

    /// Passes the exchanges that all hosts counted since the last call to the tests. Returns
    /// whether the new version has just been found faulty.
    pub fn evaluate(&mut self, members: &Members, now: Instant) -> bool {
        if matches!(self.state, Some(RolloutState::Completed | RolloutState::RolledBack)) {
            return false;
        }
        let was_faulty = self.fault.is_some();
        let mut deltas = Vec::new();
        for tally in &self.own_tallies {
            deltas.push(difference(tally, &self.tested_own_tallies));
        }
        self.tested_own_tallies.clone_from(&self.own_tallies);
        for (name, incarnation, tally) in members.rollout_tallies(self.rollout_hash) {
            if tally.faulty {
                self.fault.get_or_insert("found by a peer");
            }
            let at = match self.tested_peer_tallies.binary_search_by(|it| it.0.as_str().cmp(name)) {
                Ok(at) => at,
                Err(at) => {
                    let entry = (name.to_owned(), incarnation, Vec::new());
                    self.tested_peer_tallies.insert(at, entry);
                    at
                }
            };
            let tested = &mut self.tested_peer_tallies[at];
            if tested.1 != incarnation {
                *tested = (name.to_owned(), incarnation, Vec::new());
            }
            let delta = difference(tally, &tested.2);
            if delta.old == VersionTally::default() && delta.new == VersionTally::default() {
                continue;
            }
            match tested.2.binary_search_by_key(&tally.route_hash, |it| it.route_hash) {
                Ok(at) => tested.2[at] = tally.clone(),
                Err(at) => tested.2.insert(at, tally.clone()),
            }
            deltas.push(delta);
        }
        self.observe(&deltas, now);
        self.update_ramp(now);
        self.fault.is_some() && !was_faulty
    }

    /// Status that this host should write now. `rank` is the rank of this host among the live ones;
    /// the larger it is, the longer the host waits.
    pub fn due_status_write(&mut self, rank: usize, now: Instant) -> Option<StatusWrite> {
        let state = self.missing_status(now)?;
        let since = match self.due_status {
            Some((due_status, since)) if due_status == state => since,
            _ => {
                self.due_status = Some((state, now));
                now
            }
        };
        let turn_at =
            since + STATUS_WRITE_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX).min(64);
        let wrote_recently = self
            .status_written_at
            .is_some_and(|it| now.saturating_duration_since(it) < STATUS_WRITE_INTERVAL);
        if now < turn_at || wrote_recently {
            return None;
        }
        self.status_written_at = Some(now);
        Some(StatusWrite { state })
    }

    /// State that the platform should store but does not.
    fn missing_status(&self, now: Instant) -> Option<RolloutState> {
        match self.state {
            Some(state @ (RolloutState::Completed | RolloutState::RolledBack)) => {
                return (self.stored_state != Some(state)).then_some(state);
            }
            _ if self.fault.is_some() => return Some(RolloutState::RolledBack),
            None => return Some(RolloutState::Running),
            Some(RolloutState::Running) => {}
        }
        let is_complete =
            self.progress(now) >= COMPLETION_FRACTION && self.new_version_share(now) >= 1.0;
        if is_complete {
            return Some(RolloutState::Completed);
        }
        (self.stored_state != Some(RolloutState::Running)).then_some(RolloutState::Running)
    }

    /// Elapsed fraction of the rollout's duration; above 1 after the deadline.
    fn progress(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.started_at).as_secs_f64();
        elapsed / self.order.duration.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Whether there is some evidence against the new version.
    fn is_suspicious(&self) -> bool {
        let route_tests = self.route_tests.iter().map(|it| it.1.log_evidence());
        let strongest = route_tests.fold(self.failure_test.log_evidence(), f64::max);
        strongest >= SUSPICIOUS_LOG_EVIDENCE
    }

    /// Lets the share rise once the canary has had enough responses.
    fn update_ramp(&mut self, now: Instant) {
        let progress = self.progress(now);
        let has_responses = self.totals[1] >= MIN_RAMP_RESPONSES && !self.is_suspicious();
        let may_rise = has_responses || progress >= MAX_RAMP_DELAY_FRACTION;
        if self.ramp_start.is_none() && progress >= CANARY_PHASE_FRACTION && may_rise {
            self.ramp_start = Some(progress.min(MAX_RAMP_DELAY_FRACTION));
        }
    }

    /// Passes new exchanges of all hosts to the tests.
    fn observe(&mut self, deltas: &[RolloutTally], now: Instant) {
        let mut failed = [0; 2];
        let faulty_log_evidence = match self.progress(now) {
            it if it < LATE_FRACTION => FAULTY_LOG_EVIDENCE,
            it if it < LAST_FRACTION => LATE_FAULTY_LOG_EVIDENCE,
            _ => LAST_FAULTY_LOG_EVIDENCE,
        };
        for delta in deltas {
            for (at, tally) in [&delta.old, &delta.new].into_iter().enumerate() {
                self.totals[at] += tally.total;
                failed[at] += tally.failed;
            }
            let at = match self.route_tests.binary_search_by_key(&delta.route_hash, |it| it.0) {
                Ok(at) => at,
                Err(at) => {
                    self.route_tests.insert(at, (delta.route_hash, RouteTest::new(now)));
                    at
                }
            };
            let test = &mut self.route_tests[at].1;
            test.record(&delta.old, &delta.new, now);
            if test.log_evidence() >= faulty_log_evidence {
                self.fault.get_or_insert("failed or slow responses on one route");
            }
        }
        // A share that is too large only weakens the evidence. Few exchanges say little about it.
        let planned = self.new_version_share(now).clamp(0.02, 0.98);
        let [old_total, new_total] = self.totals.map(|it| it as f64);
        let counted = (new_total + SHARE_PRIOR_EXCHANGES * planned)
            / (old_total + new_total + SHARE_PRIOR_EXCHANGES);
        self.failure_test.observe(planned.max(counted), failed[1], failed[0], now);
        if self.failure_test.is_faulty() {
            self.fault.get_or_insert("failures");
        }
    }
}

/// Exchanges counted since the earlier tally of the same process and route, if there is one.
fn difference(new: &RolloutTally, earlier: &[RolloutTally]) -> RolloutTally {
    let at = earlier.binary_search_by_key(&new.route_hash, |it| it.route_hash);
    let Ok(at) = at else { return new.clone() };
    RolloutTally {
        new: new.new.since(&earlier[at].new),
        old: new.old.since(&earlier[at].old),
        ..new.clone()
    }
}
