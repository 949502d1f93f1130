//! Everything one host decides, behind one type.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use kingcupford_route::{
    AttemptOutcome, Quarantine, QuarantineStatus, QuarantineUpdate, RetryBudget, RetryContext,
    RetryDecision, RetryPolicy,
};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    allowance::{AllowanceSettings, Allowances},
    beat::{Beat, BeatState, PROTOCOL},
    canary::{CanarySettings, RolloutState},
    choose::{Choice, Chooser, Observation, Query, View},
    cold::FEEDERS,
    freshness::Freshness,
    health::Failure,
    instance::InstanceKey,
    manifest::{Manifest, Repeat, Route, Tenant},
    members::{Member, MemberChange, Members, Source},
    place::{Places, RegionKey},
    ready_set::ReadySet,
    request::{Admission, Attempts, Denial, Outcome, Plan, Report, RequestHead},
    split::Splits,
    versions::{Side, Versions},
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
    pub own: Member,
    /// Start of this process.
    pub incarnation: u64,
    /// Zones and regions.
    pub places: Places,
    /// Bandwidth of this host's link.
    pub link_mbps: u32,
    /// Time within which a revoked key must be dead on every host; `None` when hosts may go on
    /// with an old view.
    pub revocation: Option<Duration>,
    /// Retries allowed per request of a service, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed on top in each window, over all hosts.
    pub retry_slack: f64,
    /// Tolerated excess over tenants' rates.
    pub allowance: AllowanceSettings,
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
    pub ready_set: ReadySet,
    /// Choice of instances.
    pub chooser: Chooser,
    /// Versions and rollouts.
    pub versions: Versions,
    /// The other hosts.
    pub members: Members,
    /// Tenants' rates.
    pub allowances: Allowances,
    /// Age of the view.
    pub freshness: Freshness,
    /// Requests that crash instances.
    quarantine: Quarantine,
    /// Shares of split routes.
    splits: Splits,
    /// Retry budgets by service, sorted.
    budgets: Vec<(String, RetryBudget)>,
    /// Announcements to repeat, with the times left.
    announcements: Vec<(QuarantineUpdate, u32)>,
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
            ready_set: ReadySet::default(),
            chooser: Chooser::new(settings.seed),
            versions: Versions::default(),
            members: Members::default(),
            allowances: Allowances::new(settings.allowance),
            freshness: Freshness::new(suspended),
            quarantine: Quarantine::new(),
            splits: Splits::default(),
            budgets: Vec::new(),
            announcements: Vec::new(),
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
    pub fn reload(&mut self, settings: SteeringSettings) {
        self.allowances.set_settings(settings.allowance);
        let (own, places) = (self.settings.own.clone(), self.settings.places.clone());
        self.settings = SteeringSettings { own, places, ..settings };
    }

    /// The manifest in force.
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.manifest.as_ref()
    }

    /// Puts a manifest in force unless it is older than the one in force.
    pub fn install(&mut self, manifest: Manifest, now: Instant) -> bool {
        let in_force = self.manifest.as_ref().map_or(0, |it| it.version());
        if self.manifest.is_some() && manifest.version() <= in_force {
            return false;
        }
        self.allowances.install(&manifest, &self.members, now);
        self.manifest = Some(Arc::new(manifest));
        true
    }

    /// Whether this host may decide on requests with keys.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.manifest.is_some() && self.is_fresh(now)
    }

    /// Decides whether a request may run, and for which service and side.
    pub fn admit(&mut self, head: &RequestHead<'_>, now: Instant) -> Result<Plan, Denial> {
        let manifest = Arc::clone(self.manifest.as_ref().ok_or(Denial::NoManifest)?);
        let view_age = self.freshness.age(now);
        let may_reject = view_age.is_some_and(|it| it <= MAX_REJECTION_AGE);
        let reject = |denial| if may_reject { denial } else { Denial::StaleView };
        let route = manifest.route(head.host, head.path);
        let route = route.ok_or_else(|| reject(Denial::UnknownRoute))?;
        let tenant = if route.open || !manifest.has_tenants() {
            None
        } else {
            if !self.is_fresh(now) {
                return Err(Denial::StaleView);
            }
            let tenant = head.key.and_then(|it| manifest.tenant_of(it));
            Some(Arc::clone(tenant.ok_or_else(|| reject(Denial::UnknownKey))?))
        };
        let tenant_name = tenant.as_ref().map_or("", |it| it.name.as_str());
        let fingerprint = Quarantine::fingerprint(
            tenant_name,
            head.method,
            head.path,
            head.content_length,
            head.object.unwrap_or_default(),
        );
        if let QuarantineStatus::Quarantined { .. } = self.quarantine.status(fingerprint, now) {
            return Err(Denial::Quarantined);
        }
        if let Some(tenant) = &tenant
            && let Err(refusal) = self.allowances.admit(&tenant.name, now)
        {
            return Err(Denial::OverRate { tenant: Arc::clone(tenant), refusal });
        }
        let object = head.object.map(xxh3_64);
        let service = self.splits.pick(route, object).to_owned();
        let object_hash = object.unwrap_or_else(|| xxh3_64(head.path.as_bytes()));
        let side = self.versions.pick(&service, object_hash, now);
        let homes = self.homes(route, tenant.as_deref());
        self.budget(&service, now).record_request(now);
        Ok(Plan {
            route: Arc::clone(route),
            priority: tenant.as_ref().and_then(|it| it.priority).unwrap_or(route.priority),
            tenant,
            service,
            object: object_hash,
            affinity: object.is_some() && route.affinity,
            homes,
            fingerprint,
            manifest_version: manifest.version(),
            view_age,
            side,
        })
    }

    /// Gives back a request's allowance that was sent nowhere.
    pub fn give_back(&mut self, plan: &Plan) {
        if let Some(tenant) = &plan.tenant {
            self.allowances.give_back(&tenant.name);
        }
    }

    /// Chooses an instance for a request.
    pub fn place(&mut self, plan: &mut Plan, exclude: &[InstanceKey], now: Instant) -> Choice {
        let choice = self.choose(plan, exclude, now);
        if plan.side == Side::Old || matches!(choice, Choice::Instance { .. }) {
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
        self.choose(plan, exclude, now)
    }

    /// Counts a request that is sent to an instance.
    pub fn started(&mut self, plan: &Plan, key: InstanceKey, now: Instant) {
        let manifest = self.manifest.as_ref();
        let rate = manifest.and_then(|it| it.service(&plan.service)).map(|it| it.cold_rate_per_s);
        let feeders = self.members.known().min(FEEDERS);
        let cold = (rate.unwrap_or(1.0), feeders);
        self.chooser.started(key, &mut self.ready_set, cold, &self.settings.places, now);
        if let Some(it) = self.versions.rollout_mut(&plan.service) {
            it.sent(plan.side);
        }
    }

    /// Learns from an exchange; answers whether it ejected the instance or ended an ejection.
    pub fn ended(
        &mut self,
        plan: &Plan,
        key: InstanceKey,
        report: &Report,
        now: Instant,
    ) -> Option<bool> {
        let slots = self.ready_set.get(key).map_or(0, |it| it.report.slots);
        let load = self.ready_set.get(key).map_or(0.0, |it| it.load.total(now));
        if let Some(load) = report.load {
            self.chooser.load_report(key, load, &mut self.ready_set, now);
        }
        if let Some(remaining) = report.cold_remaining {
            self.ready_set.cold(key, remaining, now);
        }
        self.chooser.finished(key, &mut self.ready_set);
        let failure = match report.outcome {
            Outcome::Answered { failed: false, latency } => {
                return self.answered(plan, key, latency, report, now);
            }
            Outcome::Answered { failed: true, .. } => Failure::Status,
            Outcome::Shed if load < f64::from(slots) => Failure::Shed,
            Outcome::Shed | Outcome::Cancelled => return None,
            Outcome::Misdirected | Outcome::Unreachable => Failure::Connect,
            Outcome::Broken { crashed } => {
                if crashed {
                    let id = self.ready_set.get(key).map_or("", |it| it.report.id.as_str());
                    self.quarantine.record_loss(plan.fingerprint, id, now);
                }
                Failure::Broken
            }
            Outcome::Silent => Failure::Silent,
        };
        if matches!(failure, Failure::Status | Failure::Broken | Failure::Silent)
            && let Some(it) = self.versions.rollout_mut(&plan.service)
        {
            it.observe(plan.side, true, false);
        }
        self.chooser.failed(key, failure, &mut self.ready_set, now).then_some(true)
    }

    /// Decides whether a request goes to another instance after an exchange.
    pub fn after(
        &mut self,
        plan: &Plan,
        outcome: &Outcome,
        attempts: &Attempts,
        now: Instant,
    ) -> Admission {
        let idempotent = plan.route.repeat == Repeat::Idempotent;
        let attempt_outcome = match outcome {
            // A failure of the instance is an answer, but one that may be asked for again.
            Outcome::Answered { failed: true, .. } if idempotent => AttemptOutcome::TimedOut,
            Outcome::Answered { failed, .. } => AttemptOutcome::Answered { failed: *failed },
            Outcome::Shed | Outcome::Misdirected => AttemptOutcome::Shed,
            Outcome::Unreachable => AttemptOutcome::Unreachable,
            Outcome::Broken { .. } => AttemptOutcome::Broken { response_started: false },
            Outcome::Silent => AttemptOutcome::TimedOut,
            Outcome::Cancelled => AttemptOutcome::Cancelled,
        };
        let arrived = !matches!(outcome, Outcome::Unreachable);
        let budget = self.budget(&plan.service, now);
        let facts = RetryContext {
            outcome: attempt_outcome,
            idempotent,
            byte_sent: arrived,
            earlier_may_have_run: attempts.may_have_run,
            attempts: attempts.made,
            max_attempts: plan.route.max_attempts,
            budget_left: budget.allows_retry(now),
            remaining: attempts.remaining,
        };
        let may_have_run = facts.may_have_run();
        let retry = RetryPolicy::decide(&facts) == RetryDecision::Retry;
        Admission { retry, may_have_run }
    }

    /// Takes a retry from the budget when the request of the next attempt is about to be sent.
    pub fn withdraw_retry(&mut self, plan: &Plan, now: Instant) -> bool {
        self.budget(&plan.service, now).try_take(now)
    }

    /// Whether the budget allows one more attempt beside a running one.
    pub fn may_hedge(&mut self, plan: &Plan, now: Instant) -> bool {
        plan.route.repeat == Repeat::Idempotent && self.budget(&plan.service, now).allows_retry(now)
    }

    /// Time after which a request without a response is also sent to another instance.
    pub fn hedge_after(&self, plan: &Plan) -> Duration {
        let usual = self.chooser.usual_latency(&plan.route.name).unwrap_or_default();
        (usual * HEDGE_USUAL).max(plan.route.target_latency * HEDGE_TARGETS)
    }

    /// Takes a peer's beat in; answers whether it dates this host's view anew.
    pub fn receive(&mut self, beat: Beat, from: SocketAddr, now: Instant) -> bool {
        let Some(beat) = self.members.receive(beat, from, now) else { return false };
        let name = beat.from.clone();
        for announcement in beat.announcements.clone() {
            self.quarantine.apply_update(&announcement, now);
        }
        let confirmed = self.members.confirmed_at(&name, self.settings.incarnation);
        let own_version = self.manifest.as_ref().map_or(0, |it| it.version());
        match confirmed {
            // A peer vouches only for the version that it has in force itself.
            Some((version, at)) if version == own_version => self.freshness.confirm(at),
            _ => false,
        }
    }

    /// Notes that the platform itself answered this host.
    pub fn platform_answered(&mut self, at: Instant) {
        self.platform_at = self.platform_at.max(Some(at));
    }

    /// Notes that the platform is followed through another host from now on.
    pub fn follows_host(&mut self) {
        self.platform_at = None;
    }

    /// Where this host follows the platform; `current` is the host through which it does now.
    pub fn source(&mut self, current: Option<SocketAddr>, now: Instant) -> Source {
        let own = &self.settings.own;
        let own_age = self.platform_at.map(|it| now.saturating_duration_since(it));
        if self.members.has_reader(own.place, now) {
            self.reader_seen_at = now;
        }
        let idle = now.saturating_duration_since(self.reader_seen_at);
        self.members.source((own, self.settings.link_mbps), own_age, current, idle, now)
    }

    /// The next beat, without the echo for its receiver.
    pub fn beat(&mut self, state: BeatState, now: Instant) -> Beat {
        self.sequence += 1;
        let news = self.quarantine.take_updates();
        self.announcements.extend(news.into_iter().map(|it| (it, ANNOUNCED_TIMES)));
        let announcements = self.announcements.iter().map(|it| it.0.clone()).collect();
        self.announcements.iter_mut().for_each(|it| it.1 -= 1);
        self.announcements.retain(|it| it.1 > 0);
        let age = self.freshness.age(now);
        Beat {
            protocol: PROTOCOL,
            from: self.settings.own.name.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            echo: None,
            state,
            link_mbps: self.settings.link_mbps,
            manifest_version: self.manifest.as_ref().map_or(0, |it| it.version()),
            view_age_ms: age.map(millis),
            platform_age_ms: self.platform_at.map(|it| millis(now.saturating_duration_since(it))),
            demand: self.allowances.demand(now),
            loads: self.chooser.loads(),
            rollouts: self.versions.rollouts().map(|it| it.tally()).collect(),
            announcements,
        }
    }

    /// Brings everything that depends on time up to date.
    pub fn tick(&mut self, now: Instant) -> Vec<SteeringEvent> {
        let mut res: Vec<SteeringEvent> =
            self.members.changes(now).into_iter().map(SteeringEvent::Member).collect();
        let expired = self.ready_set.expire(now).into_iter();
        res.extend(expired.map(|it| SteeringEvent::InstanceExpired { id: it.report.id }));
        self.allowances.divide(&self.members, now);
        self.versions.learn(&self.ready_set);
        self.ready_set.estimate_loads(now);
        self.chooser.tick(&self.ready_set, &self.members, &self.settings.places, now);
        let own_name = self.settings.own.name.as_str();
        for canary in self.versions.rollouts_mut() {
            let is_news = canary.judge(&self.members, now);
            let service = canary.order().service.clone();
            let version = canary.order().target_version.clone();
            if is_news && let Some(reason) = canary.fault() {
                let (service, version) = (service.clone(), version.clone());
                res.push(SteeringEvent::RolloutFaulty { service, version, reason });
            }
            let rank = self.members.rank(own_name, xxh3_64(service.as_bytes()), now);
            if let Some(write) = canary.status_write(rank, now) {
                res.push(SteeringEvent::WriteStatus { service, version, state: write.state });
            }
        }
        res
    }

    /// Chooses an instance on the request's side.
    fn choose(&mut self, plan: &Plan, exclude: &[InstanceKey], now: Instant) -> Choice {
        let query = query(plan, exclude);
        let (members, own) = (&self.members, &self.settings.own);
        let view = View {
            ready_set: &self.ready_set,
            versions: &self.versions,
            places: &self.settings.places,
            feeder_rank: &|id_hash, place| members.feeder_rank(own, id_hash, place),
            now,
        };
        self.chooser.choose(&query, &view)
    }

    /// Learns from a good response.
    fn answered(
        &mut self,
        plan: &Plan,
        key: InstanceKey,
        latency: Duration,
        report: &Report,
        now: Instant,
    ) -> Option<bool> {
        self.quarantine.record_success(plan.fingerprint, now);
        if let Some(it) = self.versions.rollout_mut(&plan.service) {
            let is_slow = latency > plan.route.target_latency * SLOW_TARGETS;
            it.observe(plan.side, false, is_slow);
        }
        let was_queued = report.load.is_some_and(|it| it.waiting > 0);
        let query = query(plan, &[]);
        let observation = Observation { key, latency, was_queued };
        let (ready_set, places) = (&mut self.ready_set, &self.settings.places);
        let recovered = self.chooser.succeeded(&query, &observation, ready_set, places, now);
        recovered.then_some(false)
    }

    /// Whether the view is young enough for keys.
    fn is_fresh(&self, now: Instant) -> bool {
        let Some(bound) = self.settings.revocation else { return true };
        let limit = bound.saturating_sub(REVOCATION_MARGIN);
        self.freshness.age(now).is_some_and(|it| it < limit)
    }

    /// The only regions that may serve a request.
    fn homes(&self, route: &Route, tenant: Option<&Tenant>) -> Option<Vec<RegionKey>> {
        let of_tenant = tenant.map_or(&[][..], |it| &it.homes);
        if route.homes.is_empty() && of_tenant.is_empty() {
            return None;
        }
        let named = |homes: &[String], region: &String| homes.is_empty() || homes.contains(region);
        let both = route.homes.iter().chain(of_tenant);
        let mut res: Vec<RegionKey> = both
            .filter(|it| named(&route.homes, it) && named(of_tenant, it))
            .filter_map(|it| self.settings.places.region(it))
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
                let hosts = self.members.known() as f64;
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
fn query<'a>(plan: &'a Plan, exclude: &'a [InstanceKey]) -> Query<'a> {
    Query {
        service: &plan.service,
        route: &plan.route.name,
        object: plan.object,
        affinity: plan.affinity,
        repeat: plan.route.repeat,
        priority: plan.priority,
        target_latency: plan.route.target_latency,
        homes: plan.homes.as_deref(),
        exclude,
        side: plan.side,
    }
}

/// A time in whole milliseconds, as messages carry it.
fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
