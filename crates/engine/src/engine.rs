//! One host's policy for requests: admission, placement, retries and outcomes.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{RegionId, RouteId, ServiceId, Snapshot, TenantId, ZoneId};
use kingcupford_fleet::{Fleet, FleetSettings, HostIdentity, ListedHost, MemberState};
use kingcupford_quota::{FairQueue, Holder};
use kingcupford_route::{
    Balancer, BlockTable, Fingerprint, HostTable, Quarantine, RequestIdTable, RetryBudget,
    RunHandle,
};
use tokio::time::Instant;

use crate::{
    caps, lookup::LookupHost, notice::Told, place::Placement, request::Ticket, rollouts::Rollouts,
};

/// Tenant key of requests on open routes in fair queues.
pub(crate) const OPEN_TENANT: TenantId = TenantId(u16::MAX);

/// Bounds of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Request ids that are remembered at the same time.
    pub request_id_capacity: usize,
    /// Waiting requests of one tenant for one service.
    pub max_waiting_per_tenant: usize,
    /// Longest wait for a slot.
    pub max_slot_wait: Duration,
    /// Intervals and bounds of membership.
    pub fleet: FleetSettings,
    /// Periods and bounds of shares.
    pub quota: kingcupford_quota::Settings,
    /// Hosts to start from while the platform is unavailable.
    pub seeds: Vec<ListedHost>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            request_id_capacity: 1_000_000,
            max_waiting_per_tenant: 256,
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
    pub(crate) request_ids: RequestIdTable,
    /// Rollouts of all services.
    pub(crate) rollouts: Rollouts,
    /// Client blocks of the active configuration.
    pub(crate) blocks: BlockTable,
    /// Hosts in the order of zones, for lookups.
    pub(crate) hosts: HostTable,
    /// The hosts that lookups may name, by the keys in `hosts`.
    pub(crate) named: Vec<LookupHost>,
    /// Admitted requests, sorted by ticket.
    pub(crate) requests: Vec<Running>,
    /// Per service, by its key.
    pub(crate) services: Vec<ServiceState>,
    /// Credit of each shift by its key, in requests.
    pub(crate) shift_credit: Vec<f64>,
    /// Ticket of the next request.
    pub(crate) next_ticket: u64,
    /// When the table of hosts was built last.
    pub(crate) hosts_refreshed: Option<Instant>,
    /// Whether this host shuts down; a drain by the active preset can be taken back instead.
    pub(crate) draining: bool,
    /// Evidence of rollouts is sent again at this time.
    pub(crate) next_evidence: Instant,
    /// What operators were told last.
    pub(crate) told: Told,
    /// Newest process heard of each peer, sorted by name.
    pub(crate) incarnations: Vec<(String, u64)>,
    /// Time of the last tick, from which a pause of the process is noticed.
    pub(crate) last_tick: Instant,
    /// Time of the start.
    pub(crate) started: Instant,
    /// Set after a pause until a peer has confirmed that this host's documents are compared again.
    pub(crate) resync: Option<Resync>,
}

/// A pause after which decisions wait for newer documents.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Resync {
    /// Heartbeat that a peer has to confirm.
    pub(crate) sequence: u64,
    /// Whether a peer has, so that what it told of its documents is newer than the pause.
    pub(crate) confirmed: bool,
    /// When decisions are taken without a confirmation, since a partitioned host goes on serving.
    pub(crate) until: Instant,
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
    /// When a waiting request was counted as demand last.
    pub(crate) counted: Option<Instant>,
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
    pub(crate) key: Option<RunHandle>,
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
    /// The choice between old and new version, `None` without a rollout.
    pub(crate) pick: Option<kingcupford_rollout::VersionPick>,
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
    /// Units of 1,000,000 that this host holds of every cap.
    pub share_units: u32,
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
            request_ids: RequestIdTable::new(
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
            told: Told::default(),
            incarnations: Vec::new(),
            last_tick: now,
            started: now,
            resync: None,
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
                queue: FairQueue::new(self.settings.max_waiting_per_tenant),
                head: None,
                counted: None,
            });
        }
        self.shift_credit.resize(self.snapshot.shifts.slot_count(), 0.0);
        self.balancer.install(&self.snapshot, now);
        self.rollouts.install(&self.snapshot, now);
        self.install_caps(now);
        self.hosts_refreshed = None;
        self.fleet.set_live(now);
        if self.is_drained_by_preset() {
            self.fleet.set_draining(now);
        } else if !self.draining {
            self.fleet.cancel_drain(now);
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

    /// Where a request stands in the sorted list.
    pub(crate) fn position(&self, ticket: Ticket) -> Option<usize> {
        self.requests.binary_search_by_key(&ticket, |it| it.ticket).ok()
    }

    /// Zone and region of this host, `None` when the configuration lacks its zone.
    pub(crate) fn home(&self) -> Option<(ZoneId, RegionId)> {
        let zone = self.snapshot.zones.id(&self.fleet.identity().zone)?;
        Some((zone, self.snapshot.region_of(zone)))
    }

    /// Whether this host takes no new work.
    pub fn is_draining(&self) -> bool {
        self.draining || self.is_drained_by_preset()
    }

    /// What each tick reports to metrics and logs.
    pub fn health(&self, now: Instant) -> Health {
        let members = self.fleet.members().iter();
        Health {
            isolated: self.fleet.is_isolated(now),
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
        let preset = self.snapshot.preset();
        Status {
            config_version: self.snapshot.version.0,
            preset: preset.map_or_else(String::new, |it| it.name.clone()),
            draining: self.is_draining(),
            isolated: self.fleet.is_isolated(now),
            platform: self.fleet.reachability(now).platform,
            main_share: self.holder.is_main_lease_valid(now),
            share_units: {
                let (floor, main) = self.holder.share_units();
                floor + main
            },
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
