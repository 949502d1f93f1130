//! Routing decisions of one host, combined from the other modules of the crate.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kingcupford_rollout::VersionSample;
use kingcupford_route::{
    AttemptOutcome, Quarantine, QuarantineStatus, QuarantineUpdate, RetryBudget, RetryContext,
    RetryDecision, RetryPolicy,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    canary::{Canary, CanarySettings, RolloutState},
    cold_pace::MAX_COLD_SENDERS,
    freshness::{ManifestLag, ViewFreshness},
    health::ExchangeFailure,
    heartbeat::{Heartbeat, HostState, PROTOCOL_VERSION, name_hash},
    instance::InstanceKey,
    instance_registry::InstanceRegistry,
    locality::{RegionKey, ZoneMap},
    manifest::{Manifest, RepeatPolicy, Route, Team},
    members::{Member, MemberChange, Members, READER_TIMEOUT, StoreSource},
    rate_limit::{RateLimitSettings, TeamRateLimiter},
    request::{
        Attempts, ExchangeOutcome, ExchangeReport, Refusal, RequestHead, RequestPlan,
        RetryAssessment,
    },
    selector::{
        InstanceSelector, ResponseObservation, Selection, SelectionContext, SelectionQuery,
    },
    split::RouteSplits,
    versions::{ServiceVersions, Side},
};

/// Fraction of the allowed retries that the hosts use, since each of them counts its own windows.
const RETRY_BUDGET_FRACTION: f64 = 0.8;

/// Age of the view up to which an unknown route or key is refused as unknown. In an older view the
/// route or key may be missing because it was added since. Watches confirm the view every second.
const MAX_UNKNOWN_REFUSAL_VIEW_AGE: Duration = Duration::from_millis(1800);

/// Margin between the end of a view's validity and the bound for revoked keys.
const REVOCATION_MARGIN: Duration = Duration::from_millis(100);

/// Time that may pass between the acknowledgement of a manifest to the operator and the first report
/// of a host that has it: an interval of a reader's heartbeats between regions.
const FIRST_REPORT_DELAY: Duration = Duration::from_millis(700);

/// Minimum time for which other hosts must have had a newer manifest before this one refuses
/// requests: the time after which its watch counts as hung, and a list.
const MIN_OUTDATED_LAG: Duration = Duration::from_millis(1200);

/// Number of heartbeats that carry a quarantine update, since heartbeats can get lost.
const UPDATE_REPETITIONS: u32 = 5;

/// Factor by which a queue of any length may have delayed a response. The queue when the request
/// arrived is unknown; it may have been longer than the one that the response reports.
const MIN_QUEUE_FACTOR: f64 = 1.5;

/// Multiple of the mean service time after which a response is overdue.
const HEDGE_MEAN_FACTOR: u32 = 4;

/// Multiple of the target latency before which no response is overdue. Queues and uncached keys
/// commonly cause latencies below it.
const HEDGE_TARGET_FACTOR: u32 = 2;

/// Identity and limits of a host.
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// Registration of this host.
    pub own_host: Member,
    /// Number of this process, from its start time; higher after every restart.
    pub incarnation: u64,
    /// Zones and regions of the deployment.
    pub zone_map: ZoneMap,
    /// Bandwidth of this host's network link in Mbit/s.
    pub link_mbps: u32,
    /// Time within which every host must refuse a revoked key; `None` if hosts may continue with an
    /// outdated view.
    pub max_revocation_delay: Option<Duration>,
    /// Time after the acknowledgement of a manifest within which every host must act by it.
    pub max_config_delay: Duration,
    /// Retries allowed per request of a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed in addition in each window, over all hosts.
    pub retry_slack: f64,
    /// Tolerated excess over the teams' rates.
    pub rate_limit: RateLimitSettings,
    /// Limits for the exposure of rollouts.
    pub canary: CanarySettings,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Event that [`Steering::tick`] found, for logs and for the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum SteeringEvent {
    /// The liveness of a host changed.
    Member(MemberChange),
    /// An instance did not register again after an outage of the platform.
    InstanceExpired {
        /// Id of the instance.
        id: String,
    },
    /// The new version of a rollout was found faulty.
    RolloutFaulty {
        /// Name of the service.
        service: String,
        /// Version that is faulty.
        version: String,
        /// Reason for the finding.
        reason: &'static str,
    },
    /// The status of a rollout should be written to the platform.
    WriteStatus {
        /// Name of the service.
        service: String,
        /// Target version of the rollout.
        version: String,
        /// State to write.
        state: RolloutState,
    },
}

/// Routing state of one host.
#[derive(Debug)]
pub struct Steering {
    settings: SteeringSettings,
    manifest: Option<Arc<Manifest>>,
    /// Registered instances of all services.
    pub instances: InstanceRegistry,
    /// Selection of instances.
    pub selector: InstanceSelector,
    /// Active versions and rollouts of the services.
    pub versions: ServiceVersions,
    /// Membership of the other hosts.
    pub members: Members,
    /// Rate limits of the teams.
    pub rate_limiter: TeamRateLimiter,
    /// Age of this host's view of the platform.
    pub freshness: ViewFreshness,
    manifest_lag: ManifestLag,
    /// Whether the own manifest was at least as new as those of all live hosts since the start or the
    /// last suspension.
    has_caught_up: bool,
    /// End of the last suspension in which the own manifest may have become outdated.
    resumed_at: Option<Instant>,
    /// Fingerprints of requests that crash instances.
    quarantine: Quarantine,
    splits: RouteSplits,
    /// Retry budgets sorted by service.
    retry_budgets: Vec<(String, RetryBudget)>,
    /// Updates for the next heartbeats, with the number of times still to be sent.
    quarantine_updates: Vec<(QuarantineUpdate, u32)>,
    last_sequence: u64,
    /// Version of the manifest at the last heartbeat.
    reported_manifest_version: u64,
    /// Number of faulty rollouts at the last heartbeat.
    reported_fault_count: usize,
    /// Time at which the platform last responded to this host; `None` while another host reads the
    /// platform for this one.
    platform_answered_at: Option<Instant>,
    /// Time at which another host of the region was last seen to read the platform.
    reader_seen_at: Instant,
}

impl Steering {
    /// Routing state without manifest, instances and other hosts. `suspended` is the time for which
    /// the machine has been suspended so far.
    pub fn new(settings: SteeringSettings, suspended: Duration, now: Instant) -> Self {
        Self {
            manifest: None,
            instances: InstanceRegistry::default(),
            selector: InstanceSelector::new(settings.seed),
            versions: ServiceVersions::default(),
            members: Members::default(),
            rate_limiter: TeamRateLimiter::new(settings.rate_limit),
            freshness: ViewFreshness::new(suspended),
            manifest_lag: ManifestLag::default(),
            has_caught_up: false,
            resumed_at: None,
            quarantine: Quarantine::new(),
            splits: RouteSplits::default(),
            retry_budgets: Vec::new(),
            quarantine_updates: Vec::new(),
            last_sequence: 0,
            reported_manifest_version: 0,
            reported_fault_count: 0,
            platform_answered_at: None,
            reader_seen_at: now,
            settings,
        }
    }

    /// Identity and limits of this host.
    pub fn settings(&self) -> &SteeringSettings {
        &self.settings
    }

    /// Applies changed settings. The own host and the zones stay as they are.
    pub fn apply_settings(&mut self, settings: SteeringSettings) {
        self.rate_limiter.set_settings(settings.rate_limit);
        let (own_host, zone_map) = (self.settings.own_host.clone(), self.settings.zone_map.clone());
        self.settings = SteeringSettings { own_host, zone_map, ..settings };
    }

    /// Active manifest.
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.manifest.as_ref()
    }

    /// Activates a manifest if it is newer than the active one; returns whether it was activated.
    pub fn apply_manifest(&mut self, manifest: Manifest, now: Instant) -> bool {
        if self.manifest.is_some() && manifest.version() <= self.manifest_version() {
            return false;
        }
        self.rate_limiter.apply_manifest(&manifest, &self.members, now);
        self.manifest = Some(Arc::new(manifest));
        self.update_manifest_lag(now);
        true
    }

    /// Version of the active manifest, 0 without one.
    pub fn manifest_version(&self) -> u64 {
        self.manifest.as_ref().map_or(0, |it| it.version())
    }

    /// Updates the time for which the machine has been suspended in total. Returns the length of a
    /// new suspension, which invalidates the view.
    pub fn record_suspension(&mut self, suspended: Duration, now: Instant) -> Option<Duration> {
        let suspension = self.freshness.record_suspension(suspended, now);
        if suspension.is_some_and(|it| it >= MIN_OUTDATED_LAG) {
            self.resumed_at = Some(now);
            self.has_caught_up = false;
        }
        suspension
    }

    /// For how long other hosts have had a newer manifest.
    pub fn manifest_lag(&self) -> &ManifestLag {
        &self.manifest_lag
    }

    /// Whether this host may decide on requests with keys: it has a manifest that is not outdated
    /// and a fresh view.
    pub fn has_confirmed_view(&self, now: Instant) -> bool {
        self.manifest.is_some() && self.has_fresh_view(now) && !self.is_manifest_outdated(now)
    }

    /// Admits a request and selects its service and side, or refuses it.
    pub fn admit(&mut self, head: &RequestHead<'_>, now: Instant) -> Result<RequestPlan, Refusal> {
        let manifest = Arc::clone(self.manifest.as_ref().ok_or(Refusal::NoManifest)?);
        if self.is_manifest_outdated(now) {
            return Err(Refusal::OutdatedManifest);
        }
        let view_age = self.freshness.age(now);
        let may_refuse_unknown = view_age.is_some_and(|it| it <= MAX_UNKNOWN_REFUSAL_VIEW_AGE);
        let refuse_unknown =
            |refusal| if may_refuse_unknown { refusal } else { Refusal::StaleView };
        let route = manifest.route(head.host, head.path);
        let route = route.ok_or_else(|| refuse_unknown(Refusal::UnknownRoute))?;
        let team = if route.open || !manifest.has_teams() {
            None
        } else {
            if !self.has_fresh_view(now) {
                return Err(Refusal::StaleView);
            }
            let team = head.key.and_then(|it| manifest.team_for_key(it));
            Some(Arc::clone(team.ok_or_else(|| refuse_unknown(Refusal::UnknownKey))?))
        };
        let team_name = team.as_ref().map_or("", |it| it.name.as_str());
        let fingerprint = Quarantine::fingerprint(
            team_name,
            head.method,
            head.path,
            head.content_length,
            head.affinity_key.unwrap_or_default(),
        );
        if let QuarantineStatus::Quarantined { .. } = self.quarantine.status(fingerprint, now) {
            return Err(Refusal::Quarantined);
        }
        if let Some(team) = &team
            && let Err(refusal) = self.rate_limiter.admit(&team.name, now)
        {
            return Err(Refusal::OverRate { team: Arc::clone(team), refusal });
        }
        let affinity_key_hash = head.affinity_key.map(xxh3_64);
        let service = self.splits.pick_service(route, affinity_key_hash).to_owned();
        let affinity_hash = affinity_key_hash.unwrap_or_else(|| xxh3_64(head.path.as_bytes()));
        let side = self.versions.pick_side(&service, affinity_hash, now);
        let home_regions = self.home_regions(route, team.as_deref());
        self.retry_budget(&service, now).record_request(now);
        Ok(RequestPlan {
            route: Arc::clone(route),
            priority: team.as_ref().and_then(|it| it.priority).unwrap_or(route.priority),
            team,
            service,
            affinity_hash,
            has_affinity: affinity_key_hash.is_some() && route.affinity,
            home_regions,
            fingerprint,
            manifest_version: manifest.version(),
            view_age,
            side,
        })
    }

    /// Refunds the rate limit token of a request that was not sent to an instance.
    pub fn refund(&mut self, plan: &RequestPlan) {
        if let Some(team) = &plan.team {
            self.rate_limiter.refund(&team.name);
        }
    }

    /// Selects an instance for a request. Moves the request to the old side if the new version of a
    /// running rollout has no instance for it.
    pub fn select_instance(
        &mut self,
        plan: &mut RequestPlan,
        excluded: &[InstanceKey],
        now: Instant,
    ) -> Selection {
        let selection = self.select_on_side(plan, excluded, now);
        if plan.side == Side::Old || matches!(selection, Selection::Instance { .. }) {
            return selection;
        }
        // A new version without capacity or instances must not fail requests that the old one can
        // still serve.
        let is_running = self
            .versions
            .rollout(&plan.service)
            .is_some_and(|it| it.state() != Some(RolloutState::Completed));
        if !is_running {
            return selection;
        }
        plan.side = Side::Old;
        self.select_on_side(plan, excluded, now)
    }

    /// Counts a request that is being sent to an instance.
    pub fn record_sent(&mut self, plan: &RequestPlan, key: InstanceKey, now: Instant) {
        let manifest = self.manifest.as_ref();
        let rate = manifest.and_then(|it| it.service(&plan.service)).map(|it| it.cold_rate_per_s);
        let cold_senders = self.members.known_count().min(MAX_COLD_SENDERS);
        let cold = (rate.unwrap_or(1.0), cold_senders);
        self.selector.record_sent(key, &mut self.instances, cold, &self.settings.zone_map, now);
        if let Some(it) = self.versions.rollout_mut(&plan.service) {
            it.record_sent(plan.side);
        }
    }

    /// Records the end of an exchange. Returns `Some(true)` if it ejected the instance, and
    /// `Some(false)` if it ended an ejection.
    pub fn record_ended(
        &mut self,
        plan: &RequestPlan,
        key: InstanceKey,
        report: &ExchangeReport,
        now: Instant,
    ) -> Option<bool> {
        let slots = self.instances.get(key).map_or(0, |it| it.registration.slots);
        let load = self.instances.get(key).map_or(0.0, |it| it.load.total_requests(now));
        if let Some(load) = report.load {
            self.selector.record_load(key, load, &mut self.instances, now);
        }
        if let Some(remaining) = report.cold_remaining {
            self.instances.set_cold(key, remaining, now);
        }
        self.selector.record_finished(key, &mut self.instances);
        let failure = match report.outcome {
            ExchangeOutcome::Answered { failed: false, latency } => {
                return self.record_answer(plan, key, latency, report, now);
            }
            ExchangeOutcome::Answered { failed: true, .. } => ExchangeFailure::Status,
            ExchangeOutcome::Shed if load < f64::from(slots) => ExchangeFailure::Shed,
            ExchangeOutcome::Cancelled => {
                if self.instances.get(key).is_some_and(|it| !it.is_cold(now)) {
                    let after = report.elapsed;
                    let is_cached = self.was_cached(plan, key, report, now);
                    self.record_version_sample(plan, VersionSample::CutShort { after, is_cached });
                }
                return None;
            }
            ExchangeOutcome::Shed => return None,
            ExchangeOutcome::Misdirected | ExchangeOutcome::Unreachable => ExchangeFailure::Connect,
            ExchangeOutcome::Broken { crashed } => {
                if crashed {
                    let id = self.instances.get(key).map_or("", |it| it.registration.id.as_str());
                    self.quarantine.record_loss(plan.fingerprint, id, now);
                }
                ExchangeFailure::Broken
            }
            ExchangeOutcome::Silent => ExchangeFailure::Silent,
        };
        if matches!(
            failure,
            ExchangeFailure::Status | ExchangeFailure::Broken | ExchangeFailure::Silent
        ) {
            self.record_version_sample(plan, VersionSample::Failed);
        }
        self.selector.record_failure(key, failure, &mut self.instances, now).then_some(true)
    }

    /// Assesses after an exchange whether the request may be sent to another instance.
    pub fn assess_retry(
        &mut self,
        plan: &RequestPlan,
        outcome: &ExchangeOutcome,
        attempts: &Attempts,
        now: Instant,
    ) -> RetryAssessment {
        let idempotent = plan.route.repeat == RepeatPolicy::Idempotent;
        let attempt_outcome = match outcome {
            // A server error is a response, but an idempotent request may be repeated after it.
            ExchangeOutcome::Answered { failed: true, .. } if idempotent => {
                AttemptOutcome::TimedOut
            }
            ExchangeOutcome::Answered { failed, .. } => {
                AttemptOutcome::Answered { failed: *failed }
            }
            ExchangeOutcome::Shed | ExchangeOutcome::Misdirected => AttemptOutcome::Shed,
            ExchangeOutcome::Unreachable => AttemptOutcome::Unreachable,
            ExchangeOutcome::Broken { .. } => AttemptOutcome::Broken { response_started: false },
            ExchangeOutcome::Silent => AttemptOutcome::TimedOut,
            ExchangeOutcome::Cancelled => AttemptOutcome::Cancelled,
        };
        let is_sent = !matches!(outcome, ExchangeOutcome::Unreachable);
        let retry_budget = self.retry_budget(&plan.service, now);
        let context = RetryContext {
            outcome: attempt_outcome,
            idempotent,
            byte_sent: is_sent,
            earlier_may_have_run: attempts.may_have_run,
            attempts: attempts.made,
            max_attempts: plan.route.max_attempts,
            budget_left: retry_budget.allows_retry(now),
            remaining: attempts.until_deadline,
        };
        let may_have_run = context.may_have_run();
        let may_retry = RetryPolicy::decide(&context) == RetryDecision::Retry;
        RetryAssessment { may_retry, may_have_run }
    }

    /// Takes a retry from the service's budget just before the next attempt is sent. Returns
    /// `false` if the budget is exhausted.
    pub fn consume_retry(&mut self, plan: &RequestPlan, now: Instant) -> bool {
        self.retry_budget(&plan.service, now).try_take(now)
    }

    /// Whether another attempt may start while one is running.
    pub fn may_hedge(&mut self, plan: &RequestPlan, now: Instant) -> bool {
        plan.route.repeat == RepeatPolicy::Idempotent
            && self.retry_budget(&plan.service, now).allows_retry(now)
    }

    /// Time without a response after which a request is sent to a second instance too.
    pub fn hedge_delay(&self, plan: &RequestPlan) -> Duration {
        let mean = self.selector.mean_service_time(&plan.route.name).unwrap_or_default();
        (mean * HEDGE_MEAN_FACTOR).max(plan.route.target_latency * HEDGE_TARGET_FACTOR)
    }

    /// Records a heartbeat of another host; returns whether it confirms this host's view for a
    /// later time.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        let Some(heartbeat) = self.members.receive(heartbeat, from, now) else { return false };
        let name = heartbeat.sender.clone();
        for update in heartbeat.quarantine_updates.clone() {
            self.quarantine.apply_update(&update, now);
        }
        let confirmed = self.members.view_confirmed_at(&name, self.settings.incarnation);
        let own_version = self.manifest_version();
        match confirmed {
            // A peer can confirm only the version that is active at the peer itself.
            Some((version, at)) if version == own_version => self.freshness.confirm(at),
            _ => false,
        }
    }

    /// Records that the platform itself responded to this host.
    pub fn record_platform_answer(&mut self, at: Instant) {
        self.platform_answered_at = self.platform_answered_at.max(Some(at));
    }

    /// Records that another host reads the platform for this one from now on.
    pub fn record_following_host(&mut self) {
        self.platform_answered_at = None;
    }

    /// Selects where this host follows the store; `current` is the host that is followed now.
    pub fn store_source(&mut self, current: Option<SocketAddr>, now: Instant) -> StoreSource {
        let own = &self.settings.own_host;
        let own_answer_age = self.platform_answered_at.map(|it| now.saturating_duration_since(it));
        if self.members.has_reader(own.locality, now) {
            self.reader_seen_at = now;
        }
        let idle = now.saturating_duration_since(self.reader_seen_at);
        self.members.store_source(
            (own, self.settings.link_mbps),
            own_answer_age,
            current,
            idle,
            now,
        )
    }

    /// Whether the next heartbeat should not wait for its interval, since it tells other hosts what
    /// they must act on.
    pub fn has_news(&mut self) -> bool {
        let new_updates = self.quarantine.take_updates();
        self.quarantine_updates.extend(new_updates.into_iter().map(|it| (it, UPDATE_REPETITIONS)));
        let fault_count = self.versions.rollouts().filter(|it| it.fault().is_some()).count();
        let has_new_fault = fault_count > self.reported_fault_count;
        self.reported_fault_count = fault_count;
        let manifest_version = self.manifest_version();
        let has_new_manifest = manifest_version > self.reported_manifest_version;
        self.reported_manifest_version = manifest_version;
        has_new_fault || has_new_manifest || !self.quarantine_updates.is_empty()
    }

    /// Whether the platform responds to this host, so that others may follow it.
    pub fn is_reader(&self, now: Instant) -> bool {
        let answered_at = self.platform_answered_at;
        answered_at.is_some_and(|it| now.saturating_duration_since(it) < READER_TIMEOUT)
    }

    /// Builds the next heartbeat, without the acknowledgement for its receiver.
    pub fn next_heartbeat(&mut self, state: HostState, now: Instant) -> Heartbeat {
        self.last_sequence += 1;
        let quarantine_updates = self.quarantine_updates.iter().map(|it| it.0.clone()).collect();
        self.quarantine_updates.iter_mut().for_each(|it| it.1 -= 1);
        self.quarantine_updates.retain(|it| it.1 > 0);
        let age = self.freshness.age(now);
        let acknowledged = self.members.acknowledged_by_all(self.settings.incarnation, now);
        let team_demand = self.rate_limiter.claim_demand(acknowledged, self.last_sequence, now);
        Heartbeat {
            protocol_version: PROTOCOL_VERSION,
            sender: self.settings.own_host.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.last_sequence,
            ack: None,
            state,
            link_mbps: self.settings.link_mbps,
            manifest_version: self.manifest_version(),
            view_age_ms: age.map(whole_ms),
            platform_age_ms: self
                .platform_answered_at
                .map(|it| whole_ms(now.saturating_duration_since(it))),
            team_demand,
            service_loads: self.selector.service_loads(),
            rollout_tallies: self.versions.rollouts().flat_map(Canary::tallies).collect(),
            quarantine_updates,
        }
    }

    /// Updates all time-dependent state and returns the events that follow from it.
    pub fn tick(&mut self, now: Instant) -> Vec<SteeringEvent> {
        let mut res: Vec<SteeringEvent> =
            self.members.liveness_changes(now).into_iter().map(SteeringEvent::Member).collect();
        let expired = self.instances.expire(now).into_iter();
        res.extend(expired.map(|it| SteeringEvent::InstanceExpired { id: it.registration.id }));
        self.update_manifest_lag(now);
        self.rate_limiter.update_shares(&self.members, now);
        self.versions.update_active_versions(&self.instances);
        self.instances.update_load_baselines(now);
        self.selector.tick(&self.instances, &self.members, &self.settings.zone_map, now);
        let own_name = self.settings.own_host.name.as_str();
        for canary in self.versions.rollouts_mut() {
            let is_new_fault = canary.evaluate(&self.members, now);
            let service = canary.order().service.clone();
            let version = canary.order().target_version.clone();
            if is_new_fault && let Some(reason) = canary.fault() {
                let (service, version) = (service.clone(), version.clone());
                res.push(SteeringEvent::RolloutFaulty { service, version, reason });
            }
            let rank = self.members.duty_rank(own_name, xxh3_64(service.as_bytes()), now);
            if let Some(write) = canary.due_status_write(rank, now) {
                res.push(SteeringEvent::WriteStatus { service, version, state: write.state });
            }
        }
        res
    }

    /// Selects an instance on the side of the request.
    fn select_on_side(
        &mut self,
        plan: &RequestPlan,
        excluded: &[InstanceKey],
        now: Instant,
    ) -> Selection {
        let query = query(plan, excluded);
        let (members, own) = (&self.members, &self.settings.own_host);
        let context = SelectionContext {
            instances: &self.instances,
            versions: &self.versions,
            zone_map: &self.settings.zone_map,
            cold_sender_rank: &|id_hash, locality| members.cold_sender_rank(own, id_hash, locality),
            now,
        };
        self.selector.select(&query, &context)
    }

    /// Learns from a successful response; returns `Some(false)` if it ended an ejection.
    fn record_answer(
        &mut self,
        plan: &RequestPlan,
        key: InstanceKey,
        latency: Duration,
        report: &ExchangeReport,
        now: Instant,
    ) -> Option<bool> {
        self.quarantine.record_success(plan.fingerprint, now);
        let is_cached = self.was_cached(plan, key, report, now);
        let sample = match self.service_time(key, latency, report, now) {
            Some(latency) => VersionSample::Answered { latency, is_cached },
            None => VersionSample::AnsweredCold,
        };
        self.record_version_sample(plan, sample);
        let was_queued = report.load.is_some_and(|it| it.waiting > 0);
        let query = query(plan, &[]);
        let observation = ResponseObservation { key, latency, was_queued };
        let (instances, zone_map) = (&mut self.instances, &self.settings.zone_map);
        let recovered =
            self.selector.record_success(&query, &observation, instances, zone_map, now);
        recovered.then_some(false)
    }

    fn record_version_sample(&mut self, plan: &RequestPlan, sample: VersionSample) {
        let route_hash = name_hash(&plan.route.name);
        self.versions.record_sample(&plan.service, route_hash, plan.side, sample);
    }

    /// Whether the instance was known to have cached the request's key when the request was sent.
    fn was_cached(
        &self,
        plan: &RequestPlan,
        key: InstanceKey,
        report: &ExchangeReport,
        now: Instant,
    ) -> bool {
        let sent_at = now.checked_sub(report.elapsed).unwrap_or(now);
        plan.has_affinity && self.selector.was_cached(key, plan.affinity_hash, sent_at, now)
    }

    /// Time that an instance worked on a request, estimated without the round trip and the wait in
    /// the instance's queue; `None` if the instance has just started and is slow for that reason.
    fn service_time(
        &self,
        key: InstanceKey,
        latency: Duration,
        report: &ExchangeReport,
        now: Instant,
    ) -> Option<Duration> {
        let instance = self.instances.get(key).filter(|it| !it.is_cold(now))?;
        let round_trip = self.settings.zone_map.expected_round_trip(instance.registration.locality);
        let queue_factor = report.load.filter(|it| it.waiting > 0).map_or(1.0, |it| {
            MIN_QUEUE_FACTOR + f64::from(it.waiting) / f64::from(it.slots.max(1))
        });
        Some(latency.saturating_sub(round_trip).div_f64(queue_factor))
    }

    fn update_manifest_lag(&mut self, now: Instant) {
        let newest = self.members.newest_manifest_version(now);
        self.manifest_lag.update(self.manifest_version(), newest, now);
        self.has_caught_up |= self.manifest.is_some()
            && newest.is_some_and(|it| it <= self.manifest_version())
            && self.members.are_acquainted(self.resumed_at, now);
    }

    /// Whether a newer manifest has been active elsewhere for so long that this host must not act
    /// by its own. What changed is unknown: it may be the regions that may serve a request.
    fn is_manifest_outdated(&self, now: Instant) -> bool {
        if !self.has_caught_up {
            let is_resumed = self.resumed_at.is_some();
            if is_resumed && !self.members.are_acquainted(self.resumed_at, now) {
                return true;
            }
            // A platform that was restored from a copy gives a new process an older manifest, which
            // may hold keys that were revoked since.
            return self.manifest_lag.newer_version().is_some();
        }
        let max_lag = self.settings.max_config_delay.saturating_sub(FIRST_REPORT_DELAY);
        let max_lag = max_lag.max(MIN_OUTDATED_LAG);
        self.manifest_lag.duration(now).is_some_and(|it| it >= max_lag)
    }

    /// Whether the view is fresh enough to decide on keys.
    fn has_fresh_view(&self, now: Instant) -> bool {
        let Some(bound) = self.settings.max_revocation_delay else { return true };
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.freshness.age(now).is_some_and(|it| it < limit)
    }

    /// The only regions that may serve a request; `None` for all regions.
    fn home_regions(&self, route: &Route, team: Option<&Team>) -> Option<Vec<RegionKey>> {
        let team_regions = team.map_or(&[][..], |it| &it.home_regions);
        if route.home_regions.is_empty() && team_regions.is_empty() {
            return None;
        }
        let permits = |home_regions: &[String], region: &String| {
            home_regions.is_empty() || home_regions.contains(region)
        };
        let all_regions = route.home_regions.iter().chain(team_regions);
        let mut res: Vec<RegionKey> = all_regions
            .filter(|it| permits(&route.home_regions, it) && permits(team_regions, it))
            .filter_map(|it| self.settings.zone_map.region_key(it))
            .collect();
        res.sort();
        res.dedup();
        Some(res)
    }

    fn retry_budget(&mut self, service: &str, now: Instant) -> &mut RetryBudget {
        let at = match self.retry_budgets.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let hosts = self.members.known_count() as f64;
                let min_retries = self.settings.retry_slack * RETRY_BUDGET_FRACTION / hosts;
                let ratio = self.settings.retry_ratio * RETRY_BUDGET_FRACTION;
                let retry_budget = RetryBudget::with_limits(ratio, min_retries as u32, now);
                self.retry_budgets.insert(at, (service.to_owned(), retry_budget));
                at
            }
        };
        &mut self.retry_budgets[at].1
    }
}

fn query<'a>(plan: &'a RequestPlan, excluded: &'a [InstanceKey]) -> SelectionQuery<'a> {
    SelectionQuery {
        service: &plan.service,
        route: &plan.route.name,
        affinity_hash: plan.affinity_hash,
        has_affinity: plan.has_affinity,
        repeat: plan.route.repeat,
        priority: plan.priority,
        target_latency: plan.route.target_latency,
        home_regions: plan.home_regions.as_deref(),
        excluded,
        side: plan.side,
    }
}

/// Whole milliseconds of a time, at most `u32::MAX`.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
