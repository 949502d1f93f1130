//! State of an entry host's request policy, its settings and its status.

use std::{sync::Arc, time::Duration};

use kingcupford_config::{RegionId, RouteId, ServiceId, Snapshot, TeamId, ZoneId};
use kingcupford_fleet::{Fleet, FleetSettings, HostIdentity, ListedHost, MemberState};
use kingcupford_quota::{FairQueue, Holder};
use kingcupford_route::{
    Balancer, BlockTable, Fingerprint, HostTable, Quarantine, RequestIdTable, RetryBudget,
    RunHandle,
};
use tokio::time::Instant;

use crate::{
    caps, events::EventTracker, lookup::LookupHost, placement::Placement, request::Ticket,
    rollouts::Rollouts,
};

/// Team id that stands for requests on open routes in fair queues and in the request id table.
pub(crate) const OPEN_ROUTE_TEAM: TeamId = TeamId(u16::MAX);

/// Time beyond the deadline within which the body of a response whose head arrived before the
/// deadline may end. Otherwise the response of an upstream that answers right at the deadline would
/// be cut before the caller learns the outcome.
pub const MAX_RESPONSE_OVERRUN: Duration = Duration::from_millis(250);

/// Limits of an [`Engine`] and the settings of its components.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Maximum number of request ids retained at the same time.
    pub request_id_capacity: usize,
    /// Maximum number of waiting requests of one team for one service.
    pub max_waiting_per_team: usize,
    /// Maximum time that a request waits for a slot; a request with a long timeout may wait for a
    /// tenth of the time left until its deadline, if that is longer.
    pub max_slot_wait: Duration,
    /// Intervals and limits of the membership protocol.
    pub fleet: FleetSettings,
    /// Durations and limits of the quota protocol.
    pub quota: kingcupford_quota::Settings,
    /// Hosts that are known from the start, for starts while the platform is unavailable.
    pub seeds: Vec<ListedHost>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            request_id_capacity: 1_000_000,
            max_waiting_per_team: 256,
            max_slot_wait: Duration::from_secs(1),
            fleet: FleetSettings::default(),
            quota: kingcupford_quota::Settings::default(),
            seeds: Vec::new(),
        }
    }
}

/// Request policy of one entry host.
///
/// The engine does no I/O and reads no clock, so that simulations and real processes share it.
#[derive(Debug)]
pub struct Engine {
    /// The active configuration.
    pub(crate) snapshot: Arc<Snapshot>,
    pub(crate) settings: EngineSettings,
    /// Membership and documents.
    pub(crate) fleet: Fleet,
    /// Shares of all caps.
    pub(crate) holder: Holder,
    pub(crate) balancer: Balancer,
    pub(crate) quarantine: Quarantine,
    pub(crate) request_ids: RequestIdTable,
    pub(crate) rollouts: Rollouts,
    /// Client blocks of the active configuration.
    pub(crate) block_table: BlockTable,
    /// Hosts that lookup answers may contain; their ids are indexes into `lookup_hosts`.
    pub(crate) host_table: HostTable,
    pub(crate) lookup_hosts: Vec<LookupHost>,
    /// Admitted requests, sorted by ticket.
    pub(crate) requests: Vec<ActiveRequest>,
    /// Indexed by service id.
    pub(crate) services: Vec<ServiceState>,
    /// Error diffusion credit of each traffic shift in requests, indexed by shift id.
    pub(crate) shift_credit: Vec<f64>,
    /// Number of the next ticket.
    pub(crate) next_ticket: u64,
    pub(crate) host_table_built_at: Option<Instant>,
    /// Set by [`Engine::set_draining`] and never cleared, unlike a drain by the active preset.
    pub(crate) is_shutting_down: bool,
    /// Time at which a shutdown cuts the requests that still run, see [`Engine::set_cut_at`].
    pub(crate) cut_at: Option<Instant>,
    /// Time at which the evidence and the stops of rollouts are next sent to peers.
    pub(crate) next_evidence_at: Instant,
    pub(crate) events: EventTracker,
    /// Newest known incarnation of each peer, sorted by name.
    pub(crate) peer_incarnations: Vec<(String, u64)>,
    /// Time of the last tick, from which a pause of the process is detected.
    pub(crate) last_tick_at: Instant,
    pub(crate) started_at: Instant,
    /// Set after a pause until the documents of this host are known to be current.
    pub(crate) resync: Option<Resync>,
}

/// Synchronization with the peers after a pause of the process, during which no request is
/// admitted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Resync {
    /// Number of the heartbeat that a peer has to acknowledge.
    pub(crate) heartbeat_sequence: u64,
    /// Whether a peer acknowledged it, so that the document versions which it reported are newer
    /// than the pause.
    pub(crate) is_acknowledged: bool,
    /// Time at which requests are admitted without an acknowledgement, because a partitioned host
    /// continues to serve.
    pub(crate) expires_at: Instant,
}

/// State of one service on this host.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) retry_budget: RetryBudget,
    /// Requests that wait for a slot.
    pub(crate) queue: FairQueue<Ticket>,
    /// The request that was taken from the queue next but could not be placed yet.
    pub(crate) queue_head: Option<Ticket>,
    /// Time at which a waiting request was last counted as demand.
    pub(crate) demand_counted_at: Option<Instant>,
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) ticket: Ticket,
    pub(crate) service: ServiceId,
    pub(crate) route: RouteId,
    /// `None` on open routes.
    pub(crate) team: Option<TeamId>,
    pub(crate) idempotent: bool,
    pub(crate) fingerprint: Fingerprint,
    /// Run of the request id, `None` for idempotent requests.
    pub(crate) run_handle: Option<RunHandle>,
    /// Time of the admission, at which the team's rate was charged.
    pub(crate) admitted_at: Instant,
    pub(crate) deadline: Instant,
    /// Time at which the request first asked for a slot.
    pub(crate) slot_requested_at: Option<Instant>,
    /// Time until which the request waits for a slot.
    pub(crate) wait_until: Option<Instant>,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Whether an earlier attempt may have run.
    pub(crate) may_have_run: bool,
    pub(crate) tried_instances: Vec<kingcupford_config::InstanceId>,
    /// Placement of the current attempt.
    pub(crate) placement: Option<Placement>,
    /// Whether the request was placed while it waited and its attempt has not started yet.
    pub(crate) is_ready: bool,
    /// Whether the request waits in the queue of its service.
    pub(crate) is_queued: bool,
    /// Version chosen for the current attempt, `None` without a rollout.
    pub(crate) version_pick: Option<kingcupford_rollout::VersionPick>,
}

/// Health of the host, reported to metrics and logs after each tick.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Whether neither the platform nor any other zone was reachable within the isolation timeout.
    pub isolated: bool,
    /// Number of live hosts in this host's view, itself included.
    pub live_members: usize,
}

/// Status of an engine, for operators and tests.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Status {
    /// Version of the active configuration, 0 without one.
    pub config_version: u64,
    /// Name of the active preset, empty without one.
    pub preset: String,
    /// Whether the host accepts no new work.
    pub draining: bool,
    /// Whether neither the platform nor any other zone was reachable within the isolation timeout.
    pub isolated: bool,
    /// Whether this host or a peer of its zone reached the platform within the isolation timeout.
    pub platform: bool,
    /// Whether the lease of this host's main share is valid.
    pub main_share: bool,
    /// Units of every cap that this host holds, of 1,000,000 in total.
    pub share_units: u32,
    /// Number of requests that were admitted and have not ended.
    pub in_flight: usize,
    /// Names of services whose new version this host stopped, with the reason.
    pub stopped_rollouts: Vec<(String, String)>,
    /// Names, zones and states of the members in this host's view.
    pub members: Vec<(String, String, String)>,
}

impl Engine {
    /// Creates an engine without configuration, which refuses all requests until one is installed.
    ///
    /// `seed` determines all random choices.
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
            block_table: BlockTable::new(&[]),
            host_table: HostTable::default(),
            lookup_hosts: Vec::new(),
            requests: Vec::new(),
            services: Vec::new(),
            shift_credit: Vec::new(),
            next_ticket: 1,
            host_table_built_at: None,
            is_shutting_down: false,
            cut_at: None,
            next_evidence_at: now,
            events: EventTracker::default(),
            peer_incarnations: Vec::new(),
            last_tick_at: now,
            started_at: now,
            resync: None,
            settings,
        }
    }

    /// Makes a configuration the active one. Returns `false` and ignores it unless it is newer than
    /// the active one.
    pub fn install(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> bool {
        if snapshot.version <= self.snapshot.version {
            return false;
        }
        let blocks_changed = !Arc::ptr_eq(&snapshot.blocks, &self.snapshot.blocks);
        self.snapshot = snapshot;
        if blocks_changed {
            self.block_table = BlockTable::new(&self.snapshot.blocks);
        }
        while self.services.len() < self.snapshot.services.slot_count() {
            self.services.push(ServiceState {
                retry_budget: RetryBudget::new(now),
                queue: FairQueue::new(self.settings.max_waiting_per_team),
                queue_head: None,
                demand_counted_at: None,
            });
        }
        self.shift_credit.resize(self.snapshot.shifts.slot_count(), 0.0);
        self.balancer.install(&self.snapshot, now);
        self.rollouts.install(&self.snapshot, now);
        self.install_caps(now);
        self.host_table_built_at = None;
        self.fleet.set_live(now);
        if self.is_drained_by_preset() {
            self.fleet.set_draining(now);
        } else if !self.is_shutting_down {
            self.fleet.cancel_drain(now);
        }
        true
    }

    /// Derives the caps from the configuration and the version shares of the rollouts.
    pub(crate) fn install_caps(&mut self, now: Instant) {
        let caps = caps::derive_caps(&self.snapshot, |it| self.rollouts.split(&self.snapshot, it));
        self.holder.set_caps(caps, &self.snapshot, now);
    }

    /// Returns the active configuration, whose version is 0 before the first one is installed.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// Starts the drain of this host for a shutdown: lookup answers no longer contain it.
    pub fn set_draining(&mut self, now: Instant) {
        self.is_shutting_down = true;
        self.fleet.set_draining(now);
    }

    /// Sets the time at which a shutdown cuts the requests that still run. From now on no attempt
    /// starts whose request may run longer.
    pub fn set_cut_at(&mut self, cut_at: Instant) {
        self.cut_at = Some(cut_at);
    }

    /// Returns whether a request with this deadline may run beyond the end of a shutdown.
    pub(crate) fn may_be_cut(&self, deadline: Instant) -> bool {
        self.cut_at.is_some_and(|it| deadline + MAX_RESPONSE_OVERRUN > it)
    }

    /// Returns the index of a request in `requests`.
    pub(crate) fn request_index(&self, ticket: Ticket) -> Option<usize> {
        self.requests.binary_search_by_key(&ticket, |it| it.ticket).ok()
    }

    /// Returns the zone and region of this host, `None` if the configuration lacks its zone.
    pub(crate) fn home_locality(&self) -> Option<(ZoneId, RegionId)> {
        let zone = self.snapshot.zones.id(&self.fleet.identity().zone)?;
        Some((zone, self.snapshot.region_of(zone)))
    }

    /// Returns whether this host accepts no new work, because of a shutdown or the active preset.
    pub fn is_draining(&self) -> bool {
        self.is_shutting_down || self.is_drained_by_preset()
    }

    /// Returns the health of the host as of `now`.
    pub fn health(&self, now: Instant) -> Health {
        let members = self.fleet.members().iter();
        Health {
            isolated: self.fleet.is_isolated(now),
            live_members: members.filter(|it| it.state == MemberState::Live).count(),
        }
    }

    /// Returns the region of this host, `None` if the configuration lacks its zone.
    pub fn home_region(&self) -> Option<RegionId> {
        self.home_locality().map(|it| it.1)
    }

    /// Returns the number of requests that were admitted and have not ended.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Returns the status of the engine as of `now`.
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
                .stop_reasons()
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
