//! One host's policy for requests: admission, placement, retries and outcomes.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{
    IsolationPolicy, RegionId, RouteId, ServiceId, Snapshot, TenantId, ZoneId,
};
use kingcupford_fleet::{Candidate, Fleet, FleetSettings, HostIdentity, MemberState};
use kingcupford_quota::{FairQueue, Holder, Resource, Take};
use kingcupford_route::{
    AttemptFacts, AttemptOutcome, Balancer, Begin, BlockTable, Check, End, Fingerprint, HostTable,
    Outcome, Quarantine, RequestIds, RequestKey, RetryBudget, RetryDecision, RetryRule,
};
use tokio::time::Instant;

use crate::{
    caps,
    lookup::NamedHost,
    place::Placement,
    request::{Admission, AttemptEnd, Next, Reason, Refusal, RequestHead, ShownKey, Ticket},
    rollouts::Rollouts,
};

/// Longest wait of a request for a loan of its tenant's rate.
const MAX_RATE_WAIT: Duration = Duration::from_millis(250);

/// Time after which a request that waits for a loan asks again.
const RATE_RETRY: Duration = Duration::from_millis(10);

/// Longest time told to a request whose tenant's rate is spent; a host's own refill may be slow
/// only because its share is lent, and other hosts may have tokens.
const MAX_RATE_RETRY: Duration = Duration::from_secs(1);

/// Tenant key of requests on open routes in fair queues.
pub(crate) const OPEN_TENANT: TenantId = TenantId(u16::MAX);

/// Bounds of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Request ids that are remembered at the same time.
    pub request_id_capacity: usize,
    /// Waiting requests of one tenant for one service.
    pub waiting_per_tenant: usize,
    /// Longest wait for a slot.
    pub max_slot_wait: Duration,
    /// Intervals and bounds of membership.
    pub fleet: FleetSettings,
    /// Periods and bounds of shares.
    pub quota: kingcupford_quota::Settings,
    /// Hosts to start from while the platform is unavailable.
    pub seeds: Vec<Candidate>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            request_id_capacity: 1_000_000,
            waiting_per_tenant: 256,
            max_slot_wait: Duration::from_secs(1),
            fleet: FleetSettings::default(),
            quota: kingcupford_quota::Settings::default(),
            seeds: Vec::new(),
        }
    }
}

/// The policy of one entry host; pure, so that simulations and processes share it.
#[derive(Debug)]
pub struct Engine {
    /// The active configuration.
    pub(crate) snapshot: Arc<Snapshot>,
    /// Bounds.
    pub(crate) settings: EngineSettings,
    /// Membership and documents.
    pub(crate) fleet: Fleet,
    /// Shares of all caps.
    pub(crate) holder: Holder,
    /// Observations of instances.
    pub(crate) balancer: Balancer,
    /// Fingerprints of poison requests.
    pub(crate) quarantine: Quarantine,
    /// Ids of requests that are not idempotent.
    pub(crate) request_ids: RequestIds,
    /// Rollouts of all services.
    pub(crate) rollouts: Rollouts,
    /// Client blocks of the active configuration.
    pub(crate) blocks: BlockTable,
    /// Hosts in the order of zones, for lookups.
    pub(crate) hosts: HostTable,
    /// The hosts that lookups may name, by the keys in `hosts`.
    pub(crate) named: Vec<NamedHost>,
    /// Admitted requests, sorted by ticket.
    pub(crate) requests: Vec<Running>,
    /// Per service, by its key.
    pub(crate) services: Vec<ServiceState>,
    /// Credit of each shift by its key, in requests.
    pub(crate) shift_credit: Vec<f64>,
    /// Ticket of the next request.
    next_ticket: u64,
    /// When each member was last told apart for lookups.
    pub(crate) hosts_refreshed: Option<Instant>,
    /// Whether this host takes no new work.
    pub(crate) draining: bool,
    /// Evidence of rollouts is sent again at this time.
    pub(crate) next_evidence: Instant,
}

/// State of one service on this host.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Budget for retries.
    pub(crate) retries: RetryBudget,
    /// Requests that wait for a slot.
    pub(crate) queue: FairQueue<Ticket>,
    /// The request that is next but found no instance.
    pub(crate) head: Option<Ticket>,
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Running {
    /// Its ticket.
    pub(crate) ticket: Ticket,
    /// The service.
    pub(crate) service: ServiceId,
    /// The route.
    pub(crate) route: RouteId,
    /// The tenant, `None` on open routes.
    pub(crate) tenant: Option<TenantId>,
    /// Whether it may be repeated.
    pub(crate) idempotent: bool,
    /// Its fingerprint.
    pub(crate) fingerprint: Fingerprint,
    /// Its run under a request id.
    pub(crate) key: Option<RequestKey>,
    /// When its tenant's rate was charged.
    pub(crate) admitted: Instant,
    /// When it must be finished.
    pub(crate) deadline: Instant,
    /// When it first asked for a slot.
    pub(crate) asked: Option<Instant>,
    /// When it gives up waiting for a slot.
    pub(crate) wait_until: Option<Instant>,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    /// Instances that were tried.
    pub(crate) tried: Vec<kingcupford_config::InstanceId>,
    /// Where the present attempt runs.
    pub(crate) placement: Option<Placement>,
    /// Whether it was placed while it waited.
    pub(crate) ready: bool,
    /// Whether it waits in its service's queue.
    pub(crate) queued: bool,
    /// Whether it may run on other regions' instances of the new version only by choice of the split.
    pub(crate) pick: Option<kingcupford_rollout::Pick>,
}

/// What each tick reports to metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether the host hears neither the platform nor another zone.
    pub isolated: bool,
    /// Live hosts in this host's view, itself included.
    pub live_members: usize,
}

/// What operators and tests see of an engine.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Status {
    /// Version of the active configuration.
    pub config_version: u64,
    /// Name of the active preset.
    pub preset: String,
    /// Whether the host takes no new work.
    pub draining: bool,
    /// Whether the host hears neither the platform nor another zone.
    pub isolated: bool,
    /// Whether the platform was reached lately.
    pub platform: bool,
    /// Whether the main part of this host's share may be spent.
    pub main_share: bool,
    /// Requests that were admitted and are not finished.
    pub in_flight: usize,
    /// Services whose new version this host stopped, with the reason.
    pub stopped_rollouts: Vec<(String, String)>,
    /// Names, zones and states of the members in this host's view.
    pub members: Vec<(String, String, String)>,
}

impl Engine {
    /// An engine without configuration, which refuses all requests until one is installed.
    pub fn new(identity: HostIdentity, settings: EngineSettings, seed: u64, now: Instant) -> Self {
        let holder = Holder::new(
            &identity.name,
            &identity.peer_address.to_string(),
            identity.incarnation,
            seed,
            now,
        );
        Self {
            snapshot: Arc::new(Snapshot::default()),
            holder: holder.with_settings(settings.quota.clone()),
            balancer: Balancer::new(seed),
            quarantine: Quarantine::new(),
            request_ids: RequestIds::new(
                &identity.name,
                identity.incarnation,
                settings.request_id_capacity,
                now,
            ),
            rollouts: Rollouts::new(&identity.name, identity.incarnation, seed),
            fleet: Fleet::new(identity, seed, now)
                .with_settings(settings.fleet.clone())
                .with_seeds(&settings.seeds, now),
            blocks: BlockTable::new(&[]),
            hosts: HostTable::default(),
            named: Vec::new(),
            requests: Vec::new(),
            services: Vec::new(),
            shift_credit: Vec::new(),
            next_ticket: 1,
            hosts_refreshed: None,
            draining: false,
            next_evidence: now,
            settings,
        }
    }

    /// Makes a configuration the active one; an older version is ignored.
    pub fn install(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> bool {
        if snapshot.version <= self.snapshot.version {
            return false;
        }
        let blocks_changed = !Arc::ptr_eq(&snapshot.blocks, &self.snapshot.blocks);
        self.snapshot = snapshot;
        if blocks_changed {
            self.blocks = BlockTable::new(&self.snapshot.blocks);
        }
        while self.services.len() < self.snapshot.services.slot_count() {
            self.services.push(ServiceState {
                retries: RetryBudget::new(now),
                queue: FairQueue::new(self.settings.waiting_per_tenant),
                head: None,
            });
        }
        self.shift_credit.resize(self.snapshot.shifts.slot_count(), 0.0);
        self.balancer.install(&self.snapshot, now);
        self.rollouts.install(&self.snapshot, now);
        self.install_caps(now);
        self.hosts_refreshed = None;
        self.fleet.set_live(now);
        if self.is_drained_by_preset() {
            self.set_draining(now);
        }
        true
    }

    /// Derives the caps from the configuration and the rollouts' shares.
    pub(crate) fn install_caps(&mut self, now: Instant) {
        let caps = caps::caps(&self.snapshot, |it| self.rollouts.split(&self.snapshot, it));
        self.holder.set_caps(caps, &self.snapshot, now);
    }

    /// The active configuration.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Stops taking new work: lookups stop naming this host.
    pub fn set_draining(&mut self, now: Instant) {
        self.draining = true;
        self.fleet.set_draining(now);
    }

    /// Decides whether a request may run; `waited` marks a repeated question after a wait.
    pub fn admit(&mut self, head: &RequestHead, waited: bool, now: Instant) -> Admission {
        match self.check(head, waited, now) {
            Ok(it) => it,
            Err(refusal) => Admission::Refused(refusal),
        }
    }

    /// Checks a request in the order in which refusals matter to the caller.
    fn check(
        &mut self,
        head: &RequestHead,
        waited: bool,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let snapshot = Arc::clone(&self.snapshot);
        if snapshot.version.0 == 0 {
            let retry = Duration::from_secs(1);
            return Err(Refusal::new(Reason::NotReady).with_retry_after(retry));
        }
        let service = snapshot.services.key(&head.service);
        let service = service.ok_or(Refusal::new(Reason::UnknownService))?;
        let path = head.path.split('?').next().unwrap_or_default();
        let route_id = snapshot.route(service, &head.method, path);
        let route_id = route_id.ok_or(Refusal::new(Reason::UnknownRoute))?;
        let route = &snapshot.routes[route_id];
        let tenant = if route.open { None } else { Some(self.authenticate(head, now)?) };
        let limit = Duration::from_millis(route.timeout_ms);
        let deadline = head.arrived + head.timeout.map_or(limit, |it| it.min(limit));
        if now >= deadline {
            return Err(Refusal::new(Reason::DeadlinePassed));
        }
        let tenant_name = tenant.map_or("", |it| snapshot.tenants[it].name.as_str());
        let fingerprint = Quarantine::fingerprint(
            tenant_name,
            &head.method,
            &format!("{}{}", head.service, head.path),
            head.content_length,
            &head.first_bytes,
        );
        if let Check::Quarantined { until } = self.quarantine.check(fingerprint, now) {
            let retry = until.saturating_duration_since(now);
            return Err(Refusal::new(Reason::Quarantined).with_retry_after(retry));
        }
        if let Some(tenant) = tenant
            && let Some(wait) = self.take_rate(tenant, head, waited, deadline, now)?
        {
            return Ok(wait);
        }
        let key = if route.idempotent {
            None
        } else {
            match self.begin(head, tenant.unwrap_or(OPEN_TENANT), now) {
                Ok(it) => Some(it),
                Err(refusal) => {
                    if let Some(tenant) = tenant {
                        self.holder.refund(Resource::TenantRate(tenant), 1.0, now);
                    }
                    return Err(refusal);
                }
            }
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.requests.push(Running {
            ticket,
            service,
            route: route_id,
            tenant,
            idempotent: route.idempotent,
            fingerprint,
            key,
            admitted: now,
            deadline,
            asked: None,
            wait_until: None,
            attempts: 0,
            may_have_run: false,
            tried: Vec::new(),
            placement: None,
            ready: false,
            queued: false,
            pick: None,
        });
        self.services[usize::from(service.0)].retries.request(now);
        Ok(Admission::Admitted(ticket))
    }

    /// Finds the tenant of the key that came with a request.
    fn authenticate(&self, head: &RequestHead, now: Instant) -> Result<TenantId, Refusal> {
        let key = match &head.key {
            ShownKey::Missing => return Err(Refusal::new(Reason::KeyMissing)),
            ShownKey::Malformed => return Err(Refusal::new(Reason::KeyInvalid)),
            ShownKey::Key(it) => it,
        };
        let tenant = self.snapshot.authenticate(key).ok_or(Refusal::new(Reason::KeyInvalid))?;
        let policy = self.snapshot.tenants[tenant].when_isolated;
        if policy == IsolationPolicy::Refuse && self.fleet.isolated(now) {
            return Err(Refusal::new(Reason::KeyUnconfirmed));
        }
        Ok(tenant)
    }

    /// Takes one request from the tenant's rate; answers a wait while a loan is pending.
    fn take_rate(
        &mut self,
        tenant: TenantId,
        head: &RequestHead,
        waited: bool,
        deadline: Instant,
        now: Instant,
    ) -> Result<Option<Admission>, Refusal> {
        let resource = Resource::TenantRate(tenant);
        let take = if waited {
            self.holder.retry_take(resource, 1.0, now)
        } else {
            self.holder.take(resource, 1.0, now)
        };
        let Take::Empty { retry_after, loan_pending } = take else { return Ok(None) };
        let give_up = deadline.min(head.arrived + MAX_RATE_WAIT);
        let may_wait = loan_pending || now + retry_after <= give_up;
        if may_wait && now < give_up {
            let pause = if loan_pending { retry_after.min(RATE_RETRY) } else { retry_after };
            let until = (now + pause.max(Duration::from_millis(1))).min(give_up);
            return Ok(Some(Admission::Wait { until }));
        }
        let one_token = Duration::from_secs_f64(1.0 / self.snapshot.tenants[tenant].rate_per_s);
        let retry_after = retry_after.min(MAX_RATE_RETRY.max(one_token));
        Err(Refusal::new(Reason::TenantRate).with_retry_after(retry_after))
    }

    /// Takes up the request id of a request that is not idempotent.
    fn begin(
        &mut self,
        head: &RequestHead,
        tenant: TenantId,
        now: Instant,
    ) -> Result<RequestKey, Refusal> {
        let binding = self.request_ids.binding(now);
        let Some(text) = &head.request_id else {
            return Err(Refusal::new(Reason::RequestIdMissing).with_binding(binding));
        };
        Err(match self.request_ids.begin(text, tenant, now) {
            Begin::Run(key) => return Ok(key),
            Begin::Running => Refusal::new(Reason::RequestIdRunning).with_outcome(Outcome::Unknown),
            Begin::Executed { status } => Refusal::new(Reason::RequestIdExecuted)
                .with_outcome(Outcome::Executed)
                .with_detail(status.to_string()),
            Begin::Unknown => Refusal::new(Reason::RequestIdUnknown).with_outcome(Outcome::Unknown),
            Begin::Elsewhere { host } => Refusal::new(Reason::RequestIdElsewhere)
                .with_outcome(Outcome::Unknown)
                .with_detail(self.describe_host(&host)),
            Begin::Void => Refusal::new(Reason::RequestIdVoid)
                .with_outcome(Outcome::Unknown)
                .with_binding(binding),
            Begin::Full => Refusal::new(Reason::RequestIdsFull),
            Begin::Malformed => Refusal::new(Reason::RequestIdMalformed).with_binding(binding),
        })
    }

    /// Name and addresses of another host, as a caller needs them.
    fn describe_host(&self, name: &str) -> String {
        match self.fleet.member(name) {
            Some(it) if it.state != MemberState::Gone => {
                format!("{name} {}", it.public_addresses.join(" "))
            }
            _ => name.to_owned(),
        }
    }

    /// Ends an attempt and decides what follows.
    pub fn finish(&mut self, ticket: Ticket, end: AttemptEnd, now: Instant) -> Next {
        let Some(at) = self.position(ticket) else { return Next::Done };
        self.record_end(at, &end, now);
        let request = &self.requests[at];
        let was_suspect = self.quarantine.check(request.fingerprint, now) == Check::Suspect;
        self.record_fingerprint(at, &end, now);
        let request = &mut self.requests[at];
        let service = usize::from(request.service.0);
        let broke = matches!(end.outcome, AttemptOutcome::Broken { .. });
        let budget_left = self.services[service].retries.allows(now);
        let facts = AttemptFacts {
            outcome: end.outcome,
            idempotent: request.idempotent,
            byte_sent: end.byte_sent,
            earlier_may_have_run: request.may_have_run,
            attempts: request.attempts,
            budget_left: budget_left && !(broke && was_suspect),
            remaining: request.deadline.saturating_duration_since(now),
        };
        request.may_have_run = facts.may_have_run();
        let decision = RetryRule::decide(&facts);
        let res = match decision {
            RetryDecision::Retry if self.services[service].retries.withdraw(now) => {
                return self.retry(at, now);
            }
            RetryDecision::Done => Next::Done,
            RetryDecision::Fail(outcome) => Next::Failed(failure(&end, outcome)),
            RetryDecision::Retry => {
                let outcome = if facts.may_have_run() { Outcome::Unknown } else { Outcome::NotRun };
                Next::Failed(failure(&end, outcome))
            }
        };
        self.close(at, &end, now);
        self.pump(now);
        res
    }

    /// Gives up an admitted request that was not sent, such as one whose caller went away.
    pub fn abandon(&mut self, ticket: Ticket, now: Instant) {
        let Some(at) = self.position(ticket) else { return };
        let latency = Duration::ZERO;
        let end = AttemptEnd {
            outcome: AttemptOutcome::Cancelled,
            status: None,
            byte_sent: false,
            draining: false,
            latency,
        };
        if self.requests[at].placement.is_some() {
            self.record_end(at, &end, now);
        }
        self.close(at, &end, now);
        self.pump(now);
    }

    /// Frees what the present attempt used and records what it observed.
    fn record_end(&mut self, at: usize, end: &AttemptEnd, now: Instant) {
        let request = &mut self.requests[at];
        let Some(placement) = request.placement.take() else { return };
        request.tried.push(placement.instance);
        let pick = request.pick;
        let (service, route) = (request.service, request.route);
        self.holder.release_permit(Resource::RegionSlots(service, placement.region), now);
        self.balancer.finished(placement.instance, end.outcome, end.latency, now);
        if end.draining {
            self.balancer.marked_draining(placement.instance, now + DRAIN_MARK);
        }
        if let Some(pick) = pick {
            self.rollouts.observe(service, route, placement.instance, pick, end, now);
        }
    }

    /// Records whether the request's content coincided with a lost connection.
    fn record_fingerprint(&mut self, at: usize, end: &AttemptEnd, now: Instant) {
        let request = &self.requests[at];
        match end.outcome {
            AttemptOutcome::Broken { .. } if end.byte_sent => {
                let Some(instance) = request.tried.last() else { return };
                let Some(instance) = self.snapshot.instances.value(*instance) else { return };
                let name = instance.name.clone();
                self.quarantine.lost(request.fingerprint, &name, now);
            }
            AttemptOutcome::Answered { .. } => self.quarantine.succeeded(request.fingerprint, now),
            _ => {}
        }
    }

    /// Prepares a request for its next attempt.
    fn retry(&mut self, at: usize, now: Instant) -> Next {
        let request = &mut self.requests[at];
        request.wait_until = None;
        request.ready = false;
        request.pick = None;
        let ticket = request.ticket;
        self.pump(now);
        Next::Retry(ticket)
    }

    /// Removes a request and records what became of its id and its rate.
    pub(crate) fn close(&mut self, at: usize, end: &AttemptEnd, now: Instant) {
        let request = self.requests.remove(at);
        if request.queued {
            let state = &mut self.services[usize::from(request.service.0)];
            state.queue.retain(|it| *it != request.ticket);
            if state.head == Some(request.ticket) {
                state.head = None;
            }
        }
        let ran = request.may_have_run || matches!(end.outcome, AttemptOutcome::Answered { .. });
        if let Some(key) = request.key {
            let record = match end.status {
                // The head of an answer came, so it ran, even if the caller or the body was lost.
                Some(status) => End::Executed { status },
                _ if ran || end.byte_sent && request.attempts > 0 => End::Unknown,
                _ => End::NotRun,
            };
            self.request_ids.end(key, record, now);
        }
        // A token that comes back later has not counted against the burst meanwhile, so that waiting
        // requests could add up to more than rate and burst and then run together.
        if let Some(tenant) = request.tenant
            && !ran
            && !end.byte_sent
            && now == request.admitted
        {
            self.holder.refund(Resource::TenantRate(tenant), 1.0, now);
        }
    }

    /// Where a request stands in the sorted list.
    pub(crate) fn position(&self, ticket: Ticket) -> Option<usize> {
        self.requests.binary_search_by_key(&ticket, |it| it.ticket).ok()
    }

    /// Zone and region of this host, `None` when the configuration lacks its zone.
    pub(crate) fn home(&self) -> Option<(ZoneId, RegionId)> {
        let zone = self.snapshot.zones.key(&self.fleet.identity().zone)?;
        Some((zone, self.snapshot.region_of(zone)))
    }

    /// Whether this host takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// What each tick reports to metrics and logs.
    pub fn health(&self, now: Instant) -> Health {
        let members = self.fleet.members().iter();
        Health {
            isolated: self.fleet.isolated(now),
            live_members: members.filter(|it| it.state == MemberState::Live).count(),
        }
    }

    /// Region of this host.
    pub fn home_region(&self) -> Option<RegionId> {
        self.home().map(|it| it.1)
    }

    /// Requests that were admitted and are not finished.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// What operators and tests see.
    pub fn status(&mut self, now: Instant) -> Status {
        let preset = self.snapshot.active_preset.and_then(|it| self.snapshot.presets.value(it));
        Status {
            config_version: self.snapshot.version.0,
            preset: preset.map_or_else(String::new, |it| it.name.clone()),
            draining: self.draining,
            isolated: self.fleet.isolated(now),
            platform: self.fleet.reach(now).platform,
            main_share: self.holder.main_valid(now),
            in_flight: self.requests.len(),
            stopped_rollouts: self
                .rollouts
                .stops()
                .map(|(service, reason)| (service.to_owned(), format!("{reason:?}")))
                .collect(),
            members: self
                .fleet
                .members()
                .iter()
                .map(|it| (it.name.clone(), it.zone.clone(), it.state.to_string()))
                .collect(),
        }
    }
}

/// Time for which an instance that says it drains gets no new work.
const DRAIN_MARK: Duration = Duration::from_secs(10);

/// The refusal for a request that failed after an attempt.
fn failure(end: &AttemptEnd, outcome: Outcome) -> Refusal {
    let reason = match end.outcome {
        AttemptOutcome::TimedOut => Reason::DeadlinePassed,
        AttemptOutcome::Shed => Reason::ServiceBusy,
        _ => Reason::UpstreamFailed,
    };
    let res = Refusal::new(reason).with_outcome(outcome);
    match outcome {
        Outcome::NotRun => res.with_retry_after(Duration::from_secs(1)),
        Outcome::Executed | Outcome::Unknown => res,
    }
}
