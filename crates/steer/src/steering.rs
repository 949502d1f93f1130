//! Everything one host decides, behind one type.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kingcupford_route::{
    AttemptOutcome, Quarantine, QuarantineStatus, QuarantineUpdate, RetryBudget, RetryContext,
    RetryDecision, RetryPolicy,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    canary::{CanarySettings, RolloutState},
    cold_pace::MAX_COLD_SENDERS,
    freshness::ViewFreshness,
    health::ExchangeFailure,
    heartbeat::{Heartbeat, HostState, PROTOCOL_VERSION},
    instance::InstanceKey,
    instance_registry::InstanceRegistry,
    locality::{RegionKey, ZoneMap},
    manifest::{Manifest, RepeatPolicy, Route, Tenant},
    members::{Member, MemberChange, Members, StoreSource},
    rate_limit::{RateLimitSettings, TenantRateLimiter},
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

/// Part of the allowed retries that hosts spend, since they count their windows separately.
const RETRY_PART: f64 = 0.8;

/// Age of the view from which a missing route or key is not taken as final: routes and keys may
/// have come meanwhile. Watches confirm the view every second.
const MAX_REJECTION_AGE: Duration = Duration::from_millis(1800);

/// Time left between the end of a view's validity and the bound on revoked keys.
const REVOCATION_MARGIN: Duration = Duration::from_millis(100);

/// Times an announcement is repeated, since beats get lost.
const ANNOUNCED_TIMES: u32 = 5;

/// Part of the target latency beyond which a response counts as slow in a rollout's evidence;
/// uncached work takes about one target latency.
const SLOW_TARGETS: u32 = 2;

/// Multiple of the usual latency after which a response is overdue.
const HEDGE_USUAL: u32 = 4;

/// Target latencies after which a response is overdue at the earliest: queues and uncached work
/// are usual below.
const HEDGE_TARGETS: u32 = 2;

/// Limits and identity of a host.
#[derive(Debug, Clone)]
pub struct SteeringSettings {
    /// This host.
    pub own_host: Member,
    /// Start of this process.
    pub incarnation: u64,
    /// Zones and regions.
    pub zone_map: ZoneMap,
    /// Bandwidth of this host's link.
    pub link_mbps: u32,
    /// Time within which a revoked key must be dead on every host; `None` when hosts may go on
    /// with an old view.
    pub max_revocation_delay: Option<Duration>,
    /// Retries allowed per request of a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed on top in each window, over all hosts.
    pub retry_slack: f64,
    /// Tolerated excess over tenants' rates.
    pub rate_limit: RateLimitSettings,
    /// Limits of rollouts.
    pub canary: CanarySettings,
    /// Seed of random choices.
    pub seed: u64,
}

/// Something that the view of the fleet changed, for logs and for the platform.
#[derive(Debug, Clone, PartialEq)]
pub enum SteeringEvent {
    /// A host is heard or silent.
    Member(MemberChange),
    /// An instance did not register again after an outage of the platform.
    InstanceExpired {
        /// Its id.
        id: String,
    },
    /// A new version was found faulty.
    RolloutFaulty {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// What was found.
        reason: &'static str,
    },
    /// A rollout's status is due.
    WriteStatus {
        /// The service.
        service: String,
        /// The version.
        version: String,
        /// The state.
        state: RolloutState,
    },
}

/// The decisions of one host.
#[derive(Debug)]
pub struct Steering {
    /// Limits and identity.
    settings: SteeringSettings,
    /// The manifest in force.
    manifest: Option<Arc<Manifest>>,
    /// The instances.
    pub instances: InstanceRegistry,
    /// Choice of instances.
    pub selector: InstanceSelector,
    /// Versions and rollouts.
    pub versions: ServiceVersions,
    /// The other hosts.
    pub members: Members,
    /// Tenants' rates.
    pub rate_limiter: TenantRateLimiter,
    /// Age of the view.
    pub freshness: ViewFreshness,
    /// Requests that crash instances.
    quarantine: Quarantine,
    /// Shares of split routes.
    splits: RouteSplits,
    /// Retry budgets by service, sorted.
    budgets: Vec<(String, RetryBudget)>,
    /// Announcements to repeat, with the times left.
    quarantine_updates: Vec<(QuarantineUpdate, u32)>,
    /// Number of the last beat.
    sequence: u64,
    /// When the platform itself last answered; `None` while another host reads for this one.
    platform_at: Option<Instant>,
    /// When another host of the region was last seen to read the platform.
    reader_seen_at: Instant,
}

impl Steering {
    /// A host that knows nothing yet; `suspended` is the suspended time up to now.
    pub fn new(settings: SteeringSettings, suspended: Duration, now: Instant) -> Self {
        Self {
            manifest: None,
            instances: InstanceRegistry::default(),
            selector: InstanceSelector::new(settings.seed),
            versions: ServiceVersions::default(),
            members: Members::default(),
            rate_limiter: TenantRateLimiter::new(settings.rate_limit),
            freshness: ViewFreshness::new(suspended),
            quarantine: Quarantine::new(),
            splits: RouteSplits::default(),
            budgets: Vec::new(),
            quarantine_updates: Vec::new(),
            sequence: 0,
            platform_at: None,
            reader_seen_at: now,
            settings,
        }
    }

    /// Limits and identity.
    pub fn settings(&self) -> &SteeringSettings {
        &self.settings
    }

    /// Takes changed limits over; identity and places stay.
    pub fn apply_settings(&mut self, settings: SteeringSettings) {
        self.rate_limiter.set_settings(settings.rate_limit);
        let (own_host, zone_map) = (self.settings.own_host.clone(), self.settings.zone_map.clone());
        self.settings = SteeringSettings { own_host, zone_map, ..settings };
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.manifest.as_ref()
    }

    /// Puts a manifest in force unless it is older than the one in force.
    pub fn apply_manifest(&mut self, manifest: Manifest, now: Instant) -> bool {
        let in_force = self.manifest.as_ref().map_or(0, |it| it.version());
        if self.manifest.is_some() && manifest.version() <= in_force {
            return false;
        }
        self.rate_limiter.apply_manifest(&manifest, &self.members, now);
        self.manifest = Some(Arc::new(manifest));
        true
    }

    /// Whether this host may decide on requests with keys.
    pub fn has_confirmed_view(&self, now: Instant) -> bool {
        self.manifest.is_some() && self.is_fresh(now)
    }

    /// Decides whether a request may run, and for which service and side.
    pub fn admit(&mut self, head: &RequestHead<'_>, now: Instant) -> Result<RequestPlan, Refusal> {
        let manifest = Arc::clone(self.manifest.as_ref().ok_or(Refusal::NoManifest)?);
        let view_age = self.freshness.age(now);
        let may_reject = view_age.is_some_and(|it| it <= MAX_REJECTION_AGE);
        let reject = |refusal| if may_reject { refusal } else { Refusal::StaleView };
        let route = manifest.route(head.host, head.path);
        let route = route.ok_or_else(|| reject(Refusal::UnknownRoute))?;
        let tenant = if route.open || !manifest.has_tenants() {
            None
        } else {
            if !self.is_fresh(now) {
                return Err(Refusal::StaleView);
            }
            let tenant = head.key.and_then(|it| manifest.tenant_for_key(it));
            Some(Arc::clone(tenant.ok_or_else(|| reject(Refusal::UnknownKey))?))
        };
        let tenant_name = tenant.as_ref().map_or("", |it| it.name.as_str());
        let fingerprint = Quarantine::fingerprint(
            tenant_name,
            head.method,
            head.path,
            head.content_length,
            head.affinity_key.unwrap_or_default(),
        );
        if let QuarantineStatus::Quarantined { .. } = self.quarantine.status(fingerprint, now) {
            return Err(Refusal::Quarantined);
        }
        if let Some(tenant) = &tenant
            && let Err(refusal) = self.rate_limiter.admit(&tenant.name, now)
        {
            return Err(Refusal::OverRate { tenant: Arc::clone(tenant), refusal });
        }
        let key_hash = head.affinity_key.map(xxh3_64);
        let service = self.splits.pick_service(route, key_hash).to_owned();
        let affinity_hash = key_hash.unwrap_or_else(|| xxh3_64(head.path.as_bytes()));
        let side = self.versions.pick_side(&service, affinity_hash, now);
        let home_regions = self.home_regions(route, tenant.as_deref());
        self.budget(&service, now).record_request(now);
        Ok(RequestPlan {
            route: Arc::clone(route),
            priority: tenant.as_ref().and_then(|it| it.priority).unwrap_or(route.priority),
            tenant,
            service,
            affinity_hash: affinity_hash,
            has_affinity: key_hash.is_some() && route.affinity,
            home_regions,
            fingerprint,
            manifest_version: manifest.version(),
            view_age,
            side,
        })
    }

    /// Gives back a request's allowance that was sent nowhere.
    pub fn refund(&mut self, plan: &RequestPlan) {
        if let Some(tenant) = &plan.tenant {
            self.rate_limiter.refund(&tenant.name);
        }
    }

    /// Chooses an instance for a request.
    pub fn select_instance(
        &mut self,
        plan: &mut RequestPlan,
        excluded: &[InstanceKey],
        now: Instant,
    ) -> Selection {
        let choice = self.selector(plan, excluded, now);
        if plan.side == Side::Old || matches!(choice, Selection::Instance { .. }) {
            return choice;
        }
        // A new version without room or instances must not cost requests while the old one stays.
        let is_running = self
            .versions
            .rollout(&plan.service)
            .is_some_and(|it| it.state() != Some(RolloutState::Completed));
        if !is_running {
            return choice;
        }
        plan.side = Side::Old;
        self.selector(plan, excluded, now)
    }

    /// Counts a request that is sent to an instance.
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

    /// Learns from an exchange; answers whether it ejected the instance or ended an ejection.
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
                return self.answered(plan, key, latency, report, now);
            }
            ExchangeOutcome::Answered { failed: true, .. } => ExchangeFailure::Status,
            ExchangeOutcome::Shed if load < f64::from(slots) => ExchangeFailure::Shed,
            ExchangeOutcome::Shed | ExchangeOutcome::Cancelled => return None,
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
        ) && let Some(it) = self.versions.rollout_mut(&plan.service)
        {
            it.record_response(plan.side, true, false);
        }
        self.selector.record_failure(key, failure, &mut self.instances, now).then_some(true)
    }

    /// Decides whether a request goes to another instance after an exchange.
    pub fn assess_retry(
        &mut self,
        plan: &RequestPlan,
        outcome: &ExchangeOutcome,
        attempts: &Attempts,
        now: Instant,
    ) -> RetryAssessment {
        let idempotent = plan.route.repeat == RepeatPolicy::Idempotent;
        let attempt_outcome = match outcome {
            // A failure of the instance is an answer, but one that may be asked for again.
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
        let arrived = !matches!(outcome, ExchangeOutcome::Unreachable);
        let budget = self.budget(&plan.service, now);
        let facts = RetryContext {
            outcome: attempt_outcome,
            idempotent,
            byte_sent: arrived,
            earlier_may_have_run: attempts.may_have_run,
            attempts: attempts.made,
            max_attempts: plan.route.max_attempts,
            budget_left: budget.allows_retry(now),
            remaining: attempts.until_deadline,
        };
        let may_have_run = facts.may_have_run();
        let may_retry = RetryPolicy::decide(&facts) == RetryDecision::Retry;
        RetryAssessment { may_retry, may_have_run }
    }

    /// Takes a retry from the budget when the request of the next attempt is about to be sent.
    pub fn consume_retry(&mut self, plan: &RequestPlan, now: Instant) -> bool {
        self.budget(&plan.service, now).try_take(now)
    }

    /// Whether the budget allows one more attempt beside a running one.
    pub fn may_hedge(&mut self, plan: &RequestPlan, now: Instant) -> bool {
        plan.route.repeat == RepeatPolicy::Idempotent
            && self.budget(&plan.service, now).allows_retry(now)
    }

    /// Time after which a request without a response is also sent to another instance.
    pub fn hedge_delay(&self, plan: &RequestPlan) -> Duration {
        let usual = self.selector.mean_service_time(&plan.route.name).unwrap_or_default();
        (usual * HEDGE_USUAL).max(plan.route.target_latency * HEDGE_TARGETS)
    }

    /// Takes a peer's beat in; answers whether it dates this host's view anew.
    pub fn receive_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> bool {
        let Some(heartbeat) = self.members.receive(heartbeat, from, now) else { return false };
        let name = heartbeat.sender.clone();
        for announcement in heartbeat.quarantine_updates.clone() {
            self.quarantine.apply_update(&announcement, now);
        }
        let confirmed = self.members.view_confirmed_at(&name, self.settings.incarnation);
        let own_version = self.manifest.as_ref().map_or(0, |it| it.version());
        match confirmed {
            // A peer vouches only for the version that it has in force itself.
            Some((version, at)) if version == own_version => self.freshness.confirm(at),
            _ => false,
        }
    }

    /// Notes that the platform itself answered this host.
    pub fn record_platform_answer(&mut self, at: Instant) {
        self.platform_at = self.platform_at.max(Some(at));
    }

    /// Notes that the platform is followed through another host from now on.
    pub fn record_following_host(&mut self) {
        self.platform_at = None;
    }

    /// Where this host follows the platform; `current` is the host through which it does now.
    pub fn store_source(&mut self, current: Option<SocketAddr>, now: Instant) -> StoreSource {
        let own = &self.settings.own_host;
        let own_age = self.platform_at.map(|it| now.saturating_duration_since(it));
        if self.members.has_reader(own.locality, now) {
            self.reader_seen_at = now;
        }
        let idle = now.saturating_duration_since(self.reader_seen_at);
        self.members.store_source((own, self.settings.link_mbps), own_age, current, idle, now)
    }

    /// The next beat, without the echo for its receiver.
    pub fn next_heartbeat(&mut self, state: HostState, now: Instant) -> Heartbeat {
        self.sequence += 1;
        let news = self.quarantine.take_updates();
        self.quarantine_updates.extend(news.into_iter().map(|it| (it, ANNOUNCED_TIMES)));
        let quarantine_updates = self.quarantine_updates.iter().map(|it| it.0.clone()).collect();
        self.quarantine_updates.iter_mut().for_each(|it| it.1 -= 1);
        self.quarantine_updates.retain(|it| it.1 > 0);
        let age = self.freshness.age(now);
        Heartbeat {
            protocol_version: PROTOCOL_VERSION,
            sender: self.settings.own_host.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            ack: None,
            state,
            link_mbps: self.settings.link_mbps,
            manifest_version: self.manifest.as_ref().map_or(0, |it| it.version()),
            view_age_ms: age.map(millis),
            platform_age_ms: self.platform_at.map(|it| millis(now.saturating_duration_since(it))),
            tenant_demand: self.rate_limiter.demand(now),
            service_loads: self.selector.service_loads(),
            rollout_tallies: self.versions.rollouts().map(|it| it.tally()).collect(),
            quarantine_updates,
        }
    }

    /// Brings everything that depends on time up to date.
    pub fn tick(&mut self, now: Instant) -> Vec<SteeringEvent> {
        let mut res: Vec<SteeringEvent> =
            self.members.liveness_changes(now).into_iter().map(SteeringEvent::Member).collect();
        let expired = self.instances.expire(now).into_iter();
        res.extend(expired.map(|it| SteeringEvent::InstanceExpired { id: it.registration.id }));
        self.rate_limiter.update_shares(&self.members, now);
        self.versions.update_base_versions(&self.instances);
        self.instances.estimate_loads(now);
        self.selector.tick(&self.instances, &self.members, &self.settings.zone_map, now);
        let own_name = self.settings.own_host.name.as_str();
        for canary in self.versions.rollouts_mut() {
            let is_news = canary.evaluate(&self.members, now);
            let service = canary.order().service.clone();
            let version = canary.order().target_version.clone();
            if is_news && let Some(reason) = canary.fault() {
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

    /// Chooses an instance on the request's side.
    fn selector(
        &mut self,
        plan: &RequestPlan,
        excluded: &[InstanceKey],
        now: Instant,
    ) -> Selection {
        let query = query(plan, excluded);
        let (members, own) = (&self.members, &self.settings.own_host);
        let view = SelectionContext {
            instances: &self.instances,
            versions: &self.versions,
            zone_map: &self.settings.zone_map,
            cold_sender_rank: &|id_hash, locality| members.cold_sender_rank(own, id_hash, locality),
            now,
        };
        self.selector.select(&query, &view)
    }

    /// Learns from a good response.
    fn answered(
        &mut self,
        plan: &RequestPlan,
        key: InstanceKey,
        latency: Duration,
        report: &ExchangeReport,
        now: Instant,
    ) -> Option<bool> {
        self.quarantine.record_success(plan.fingerprint, now);
        if let Some(it) = self.versions.rollout_mut(&plan.service) {
            let is_slow = latency > plan.route.target_latency * SLOW_TARGETS;
            it.record_response(plan.side, false, is_slow);
        }
        let was_queued = report.load.is_some_and(|it| it.waiting > 0);
        let query = query(plan, &[]);
        let observation = ResponseObservation { key, latency, was_queued };
        let (instances, zone_map) = (&mut self.instances, &self.settings.zone_map);
        let recovered =
            self.selector.record_success(&query, &observation, instances, zone_map, now);
        recovered.then_some(false)
    }

    /// Whether the view is young enough for keys.
    fn is_fresh(&self, now: Instant) -> bool {
        let Some(bound) = self.settings.max_revocation_delay else { return true };
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.freshness.age(now).is_some_and(|it| it < limit)
    }

    /// The only regions that may serve a request.
    fn home_regions(&self, route: &Route, tenant: Option<&Tenant>) -> Option<Vec<RegionKey>> {
        let of_tenant = tenant.map_or(&[][..], |it| &it.home_regions);
        if route.home_regions.is_empty() && of_tenant.is_empty() {
            return None;
        }
        let named = |home_regions: &[String], region: &String| {
            home_regions.is_empty() || home_regions.contains(region)
        };
        let both = route.home_regions.iter().chain(of_tenant);
        let mut res: Vec<RegionKey> = both
            .filter(|it| named(&route.home_regions, it) && named(of_tenant, it))
            .filter_map(|it| self.settings.zone_map.region_key(it))
            .collect();
        res.sort();
        res.dedup();
        Some(res)
    }

    /// The retry budget of a service.
    fn budget(&mut self, service: &str, now: Instant) -> &mut RetryBudget {
        let at = match self.budgets.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let hosts = self.members.known_count() as f64;
                let floor = self.settings.retry_slack * RETRY_PART / hosts;
                let ratio = self.settings.retry_ratio * RETRY_PART;
                let budget = RetryBudget::with_limits(ratio, floor as u32, now);
                self.budgets.insert(at, (service.to_owned(), budget));
                at
            }
        };
        &mut self.budgets[at].1
    }
}

/// The query for a request.
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

/// A time in whole milliseconds, as messages carry it.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
