//! Membership: the other hosts as this process sees them.

use std::{cmp::Reverse, collections::VecDeque, net::SocketAddr, time::Duration};

use kingcupford_route::QuarantineUpdate;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cache_affinity::mix,
    heartbeat::{
        Heartbeat, HeartbeatAck, HeartbeatTiming, HostState, PROTOCOL_VERSION, RolloutTally,
        ServiceLoad, TeamDemand,
    },
    locality::Locality,
};

/// Time without a response from the platform after which a reader is replaced. Watches of the
/// manifest end every second.
pub(crate) const READER_TIMEOUT: Duration = Duration::from_millis(1900);

/// Time after which the turn to try the platform passes to the next host of a region without a
/// reader.
const READER_TURN: Duration = Duration::from_millis(700);

/// Number of hosts of a region that try the platform at the same time while it responds to none of
/// them. More hosts would not detect the end of an outage sooner.
const MAX_CONCURRENT_READER_ATTEMPTS: usize = 2;

/// Number of further readers that are asked when the followed one does not respond.
const MAX_FALLBACK_READERS: usize = 2;

/// Time for which the demand of a silent host still counts, since the host may be serving behind a
/// partition.
const DEMAND_RETENTION: Duration = Duration::from_secs(30);

/// Time after which a host that has not sent a heartbeat since it was registered is no longer waited
/// for. Longer than the start of a host takes, shorter than the time in which a restarted
/// deployment must serve again.
const UNHEARD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a host that has not sent a heartbeat since it was registered, or since the end of
/// a suspension, no longer delays the decisions of this process: several intervals between
/// heartbeats of a region, and several round trips between regions.
const FIRST_HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of sent heartbeats that are retained per peer, to look up when an acknowledged one was
/// sent.
const MAX_SENT_HEARTBEATS: usize = 32;

/// Number of addresses in one response to a lookup. Callers use no more.
const MAX_LOOKUP_ADDRESSES: usize = 64;

/// A host as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name, unique among the hosts.
    pub name: String,
    /// Zone and region of the host.
    pub locality: Locality,
    /// Address for other hosts.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
}

/// Hosts that get a heartbeat, besides those that wait for a first one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeartbeatScope {
    /// Whether hosts of the own region are included.
    pub local: bool,
    /// Whether hosts of other regions are included.
    pub remote: bool,
}

/// All hosts but this one, with what they reported.
#[derive(Debug)]
pub struct Members {
    /// Peers sorted by name.
    peers: Vec<Peer>,
    /// Timing of heartbeats within the region.
    local_timing: HeartbeatTiming,
    /// Timing of heartbeats to and from other regions.
    remote_timing: HeartbeatTiming,
    /// Last reports of processes that ended, with the times of the reports.
    ended_processes: Vec<(Vec<TeamDemand>, Instant)>,
}

#[derive(Debug)]
struct Peer {
    member: Member,
    /// Newest heartbeat.
    heartbeat: Option<Heartbeat>,
    received_at: Option<Instant>,
    registered_at: Instant,
    /// Whether the peer is in the region of this host.
    is_local: bool,
    /// Timing of heartbeats from the peer.
    timing: HeartbeatTiming,
    /// Whether the peer's process has not got a heartbeat of this one.
    awaits_heartbeat: bool,
    /// Liveness at the last call of [`Members::liveness_changes`].
    was_live: bool,
    /// Sequence numbers and times of the heartbeats sent to the peer.
    sent_heartbeats: VecDeque<(u64, Instant)>,
}

/// Where this host follows the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// At the platform itself.
    Platform,
    /// Through another host.
    Host {
        /// Address for other hosts.
        address: SocketAddr,
        /// Whether the platform responds to that host.
        is_reader: bool,
        /// Further readers, to be asked when the host does not respond.
        fallbacks: Vec<SocketAddr>,
    },
}

/// Demand of a team at the other hosts, in requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct OtherDemand {
    /// Rates for which the hosts claim shares of the team's rate.
    pub claimed_per_s: f64,
    /// Rates of the callers' requests.
    pub current_per_s: f64,
}

/// Change of a host's liveness.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// The named host sent its first heartbeat, or one after a silence.
    Live(String),
    /// The named host has been silent for too long.
    Silent(String),
}

impl Default for Members {
    fn default() -> Self {
        Self {
            peers: Vec::new(),
            local_timing: HeartbeatTiming::local(1),
            remote_timing: HeartbeatTiming::remote(1),
            ended_processes: Vec::new(),
        }
    }
}

impl Members {
    /// Adds or updates a host; `own` is the locality of this host. What a host reported is dropped
    /// if its registration changes, except for the requests that it admitted.
    pub fn register(&mut self, member: Member, own: Locality, now: Instant) {
        let is_local = member.locality.region == own.region;
        match self.position(&member.name) {
            Ok(at) if self.peers[at].member == member => {}
            Ok(at) => {
                let old = std::mem::replace(&mut self.peers[at], Peer::new(member, is_local, now));
                self.record_ended_process(old.heartbeat, old.received_at, now);
            }
            Err(at) => self.peers.insert(at, Peer::new(member, is_local, now)),
        }
        self.update_timing();
    }

    /// Removes a host. The requests that it admitted still count.
    pub fn deregister(&mut self, name: &str, now: Instant) {
        if let Ok(at) = self.position(name) {
            let old = self.peers.remove(at);
            self.record_ended_process(old.heartbeat, old.received_at, now);
            self.update_timing();
        }
    }

    /// Timing of heartbeats within the region and between regions.
    pub fn heartbeat_timing(&self) -> (HeartbeatTiming, HeartbeatTiming) {
        (self.local_timing, self.remote_timing)
    }

    /// Records a heartbeat and returns it. Returns `None` and records nothing if the sender is
    /// unknown, if the format has another version, if `from` is not the registered address, or if
    /// the heartbeat is not newer than the last one.
    ///
    /// A process whose number is lower than the one before is that of a host whose clock went back
    /// once the process before is silent for longer than a heartbeat may be delayed.
    pub fn receive(
        &mut self,
        heartbeat: Heartbeat,
        from: SocketAddr,
        now: Instant,
    ) -> Option<&Heartbeat> {
        let at = self.position(&heartbeat.sender).ok()?;
        let peer = &mut self.peers[at];
        let is_newer = peer.heartbeat.as_ref().is_none_or(|it| {
            (it.incarnation, it.sequence) < (heartbeat.incarnation, heartbeat.sequence)
                || it.incarnation != heartbeat.incarnation && !peer.is_live(now)
        });
        if heartbeat.protocol_version != PROTOCOL_VERSION
            || peer.member.peer_address != from
            || !is_newer
        {
            return None;
        }
        let previous = peer.heartbeat.take_if(|it| it.incarnation != heartbeat.incarnation);
        peer.awaits_heartbeat |= previous.is_some();
        let previous_received_at = peer.received_at.replace(now);
        self.record_ended_process(previous, previous_received_at, now);
        Some(self.peers[at].heartbeat.insert(heartbeat))
    }

    /// Version of a peer's manifest and a time at which the peer's view was current, from the
    /// peer's newest heartbeat. `None` if the peer's view is not confirmed, or if the heartbeat
    /// does not acknowledge a recent one of this incarnation.
    ///
    /// The peer sent its heartbeat after it received the acknowledged one. The time at which the
    /// latter was sent, plus the acknowledgement delay, is therefore a lower bound for the time of
    /// the peer's heartbeat that needs no synchronized clocks. The age of the peer's view is
    /// subtracted from that bound.
    pub fn view_confirmed_at(&self, name: &str, incarnation: u64) -> Option<(u64, Instant)> {
        let peer = &self.peers[self.position(name).ok()?];
        let heartbeat = peer.heartbeat.as_ref()?;
        let ack = heartbeat.ack.filter(|it| it.incarnation == incarnation)?;
        let (_, sent_at) = peer.sent_heartbeats.iter().find(|it| it.0 == ack.sequence)?;
        let ack_delay = Duration::from_millis(u64::from(ack.ack_delay_ms));
        let age = Duration::from_millis(u64::from(heartbeat.view_age_ms?));
        Some((heartbeat.manifest_version, (*sent_at + ack_delay).checked_sub(age)?))
    }

    /// Returns the addresses that get the next heartbeat, with the acknowledgement for each, and
    /// records the time of sending. Processes that have not got a heartbeat of this one get it in
    /// any case, so that a new process need not wait for an interval.
    pub fn begin_heartbeat(
        &mut self,
        sequence: u64,
        scope: HeartbeatScope,
        now: Instant,
    ) -> Vec<(SocketAddr, Option<HeartbeatAck>)> {
        self.peers
            .iter_mut()
            .filter(|it| {
                let is_included = if it.is_local { scope.local } else { scope.remote };
                is_included || it.awaits_heartbeat
            })
            .map(|it| {
                it.awaits_heartbeat = false;
                if it.sent_heartbeats.len() == MAX_SENT_HEARTBEATS {
                    it.sent_heartbeats.pop_front();
                }
                it.sent_heartbeats.push_back((sequence, now));
                (it.member.peer_address, it.ack(now))
            })
            .collect()
    }

    /// Changes of liveness since the last call.
    pub fn liveness_changes(&mut self, now: Instant) -> Vec<MemberChange> {
        let mut res = Vec::new();
        for it in &mut self.peers {
            let is_live = it.is_live(now);
            if is_live != it.was_live {
                it.was_live = is_live;
                let name = it.member.name.clone();
                let change = if is_live { MemberChange::Live } else { MemberChange::Silent };
                res.push(change(name));
            }
        }
        res
    }

    /// Caller addresses of live hosts close to `preferred`, or to this host if that is `None`.
    /// Serving hosts come before unready ones, and those before draining ones. Within a state, the
    /// first of these groups that is not empty is returned: hosts of the zone, hosts of the region,
    /// all hosts.
    pub fn lookup_addresses(
        &self,
        own: &Member,
        own_state: HostState,
        preferred: Option<Locality>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let live: Vec<(Locality, SocketAddr, HostState)> = self
            .peers
            .iter()
            .filter(|it| it.is_live(now))
            .map(|it| (it.member.locality, it.member.caller_address, it.state()))
            .chain([(own.locality, own.caller_address, own_state)])
            .collect();
        let locality = preferred.unwrap_or(own.locality);
        let proximity_levels: [&dyn Fn(&Locality) -> bool; 3] =
            [&|it| it.zone == locality.zone, &|it| it.region == locality.region, &|_| true];
        for wanted_state in [HostState::Serving, HostState::Unready, HostState::Draining] {
            for is_within in proximity_levels {
                let found = live.iter().filter(|it| it.2 == wanted_state && is_within(&it.0));
                let found: Vec<SocketAddr> =
                    found.map(|it| it.1).take(MAX_LOOKUP_ADDRESSES).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }

    /// Number of known hosts, including this one and silent ones.
    pub fn known_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Fraction of the known hosts that run in the region of `own`, including this host; 0 to 1.
    pub fn region_fraction(&self, own: Locality) -> f64 {
        let local = self.peers.iter().filter(|it| it.member.locality.region == own.region).count();
        (local + 1) as f64 / self.known_count() as f64
    }

    /// Whether every other host has sent a heartbeat, after `since` if that is given, or failed to do
    /// so in time. This process then knows what the live ones report.
    pub fn are_acquainted(&self, since: Option<Instant>, now: Instant) -> bool {
        self.peers.iter().all(|it| {
            let awaited_since = since.max(Some(it.registered_at)).unwrap_or(now);
            it.received_at > since
                || now.saturating_duration_since(awaited_since) >= FIRST_HEARTBEAT_TIMEOUT
        })
    }

    /// Number of live hosts, including this one.
    pub fn live_count(&self, now: Instant) -> usize {
        self.peers.iter().filter(|it| it.is_live(now)).count() + 1
    }

    /// Selects where this host follows the store.
    ///
    /// `own_answer_age` is the time since the platform responded to this host itself. `current` is
    /// the host that is followed now; a host of the region stays followed while it is a reader.
    /// `idle` is the time for which no other host of the region has been a reader.
    pub fn store_source(
        &self,
        (own, own_link_mbps): (&Member, u32),
        own_answer_age: Option<Duration>,
        current: Option<SocketAddr>,
        idle: Duration,
        now: Instant,
    ) -> StoreSource {
        let local_candidates =
            self.reader_candidates(own, now, |it| it.member.locality.region == own.locality.region);
        let remote_readers = self.reader_candidates(own, now, |it| {
            it.member.locality.region != own.locality.region && it.is_reader(now)
        });
        let own_priority = (own_link_mbps, host_hash(&own.name));
        let rank = local_candidates.iter().filter(|it| it.reader_priority() > own_priority).count();
        let own_is_reader = own_answer_age.is_some_and(|it| it < READER_TIMEOUT);
        let local_readers: Vec<&Peer> =
            local_candidates.iter().filter(|it| it.is_reader(now)).copied().collect();
        let higher_priority_reader = local_candidates[..rank].iter().find(|it| it.is_reader(now));
        let current_reader =
            local_readers.iter().find(|it| Some(it.member.peer_address) == current);
        let fallbacks = |address: SocketAddr| {
            let all = local_readers.iter().chain(&remote_readers).map(|it| it.member.peer_address);
            all.filter(|it| *it != address).take(MAX_FALLBACK_READERS).collect()
        };
        let follow_peer = |it: &Peer| {
            let address = it.member.peer_address;
            StoreSource::Host {
                address,
                is_reader: it.is_reader(now),
                fallbacks: fallbacks(address),
            }
        };
        if let Some(it) = current_reader
            .or(higher_priority_reader)
            .or(local_readers.first().filter(|_| !own_is_reader))
        {
            return follow_peer(it);
        }
        if own_is_reader
            || local_candidates.is_empty()
            || has_reader_turn(rank, local_candidates.len() + 1, idle)
        {
            return StoreSource::Platform;
        }
        // The remaining hosts are readers of other regions, or hosts of this region that are no
        // readers. Responses of any followed host state the age of their data, so that outdated
        // data does not count as current.
        remote_readers
            .first()
            .or(local_candidates.first())
            .map_or(StoreSource::Platform, |it| follow_peer(it))
    }

    /// Live hosts that can read the platform for others, by descending priority.
    fn reader_candidates(
        &self,
        own: &Member,
        now: Instant,
        filter: impl Fn(&Peer) -> bool,
    ) -> Vec<&Peer> {
        let is_usable = |it: &&Peer| {
            it.member.name != own.name
                && it.is_live(now)
                && it.state() != HostState::Draining
                && filter(it)
        };
        let mut res: Vec<&Peer> = self.peers.iter().filter(is_usable).collect();
        res.sort_by_key(|it| Reverse(it.reader_priority()));
        res
    }

    /// Whether another host of the region reads the platform.
    pub fn has_reader(&self, own: Locality, now: Instant) -> bool {
        let local = self.peers.iter().filter(|it| it.member.locality.region == own.region);
        local.into_iter().any(|it| it.is_live(now) && it.is_reader(now))
    }

    /// Address of a live host that has the newest version of the manifest, if possible in the region of
    /// `own`. The choice depends on `own`, so that not all hosts ask the same one.
    pub fn newest_manifest_host(&self, own: &Member, now: Instant) -> Option<SocketAddr> {
        let newest_version = self.newest_manifest_version(now)?;
        let own_hash = xxh3_64(own.name.as_bytes());
        self.peers
            .iter()
            .filter(|it| it.is_live(now))
            .filter(|it| {
                it.heartbeat.as_ref().is_some_and(|it| it.manifest_version == newest_version)
            })
            .max_by_key(|it| (it.is_local, mix(own_hash ^ xxh3_64(it.member.name.as_bytes()))))
            .map(|it| it.member.peer_address)
    }

    /// Newest version of the manifest that is active at a live host; `None` if none reported one.
    pub fn newest_manifest_version(&self, now: Instant) -> Option<u64> {
        let live = self.peers.iter().filter(|it| it.is_live(now));
        let versions = live.filter_map(|it| Some(it.heartbeat.as_ref()?.manifest_version));
        versions.filter(|it| *it > 0).max()
    }

    /// Rank of this host among the live hosts for a duty, by rendezvous hashing; 0 is first.
    pub fn duty_rank(&self, own_name: &str, duty_hash: u64, now: Instant) -> usize {
        let duty_score = |name: &str| mix(duty_hash ^ xxh3_64(name.as_bytes()));
        let own_score = duty_score(own_name);
        let live = self.peers.iter().filter(|it| it.is_live(now));
        live.filter(|it| duty_score(&it.member.name) > own_score).count()
    }

    /// Rank of this host among all known hosts as sender to a cold instance, by rendezvous hashing;
    /// 0 is first. Hosts in the zone of the instance come before all others.
    pub fn cold_sender_rank(&self, own: &Member, instance_hash: u64, locality: Locality) -> usize {
        let sender_score = |member: &Member| {
            let is_same_zone = member.locality.zone == locality.zone;
            (is_same_zone, mix(instance_hash ^ xxh3_64(member.name.as_bytes())))
        };
        let own_score = sender_score(own);
        self.peers.iter().filter(|it| sender_score(&it.member) > own_score).count()
    }

    /// Demand of a team at the other hosts. `default_per_s` is assumed for hosts that have not sent a
    /// heartbeat yet.
    pub fn team_demand(&self, team_hash: u32, default_per_s: f64, now: Instant) -> OtherDemand {
        let mut res = OtherDemand::default();
        for it in self.peers.iter().filter(|it| !it.is_presumed_down(now)) {
            let Some(heartbeat) = &it.heartbeat else {
                res.claimed_per_s += default_per_s;
                res.current_per_s += default_per_s;
                continue;
            };
            if let Some(it) = demand_entry(&heartbeat.team_demand, team_hash) {
                res.claimed_per_s += f64::from(it.claimed_per_16_s) / 16.0;
                res.current_per_s += f64::from(it.requests_per_16_s) / 16.0;
            }
        }
        res
    }

    /// Requests of a team that the other hosts admitted within the last `window`, as far as they
    /// were reported. Includes processes that have ended since.
    pub fn team_admitted(&self, team_hash: u32, window: Duration, now: Instant) -> u32 {
        let running = self
            .peers
            .iter()
            .filter_map(|it| Some((&it.heartbeat.as_ref()?.team_demand, it.received_at?)));
        let ended = self.ended_processes.iter().map(|it| (&it.0, it.1));
        running
            .chain(ended)
            .filter(|it| now.saturating_duration_since(it.1) < window)
            .filter_map(|it| demand_entry(it.0, team_hash))
            .map(|it| it.admitted)
            .sum()
    }

    /// Whether all hosts that may be serving reported recently, so that no host admits requests
    /// unnoticed.
    pub fn all_hosts_reporting(&self, now: Instant) -> bool {
        self.peers.iter().all(|it| {
            it.report_age(now).is_some_and(|age| age < it.timing.max_report_age())
                || it.is_presumed_down(now)
        })
    }

    /// Largest age of a report that counts as recent; a partition is noticed within this time.
    pub fn max_report_age(&self) -> Duration {
        self.local_timing.max_report_age().max(self.remote_timing.max_report_age())
    }

    /// Sequence number up to which every other host that may be serving has received the heartbeats
    /// of this process; `None` if one of them has received none.
    pub fn acknowledged_by_all(&self, incarnation: u64, now: Instant) -> Option<u64> {
        let awaited = self.peers.iter().filter(|it| it.is_awaited(now));
        awaited.map(|it| it.acknowledged(incarnation)).min().unwrap_or(Some(u64::MAX))
    }

    /// Tallies of the other hosts for a rollout, one for each route, with the name and incarnation
    /// of each host.
    pub fn rollout_tallies(
        &self,
        rollout_hash: u32,
    ) -> impl Iterator<Item = (&str, u64, &RolloutTally)> {
        let reported = self.peers.iter().filter_map(|it| Some((it, it.heartbeat.as_ref()?)));
        reported.flat_map(move |(peer, heartbeat)| {
            let tallies = heartbeat.rollout_tallies.iter();
            let of_rollout = tallies.filter(move |it| it.rollout_hash == rollout_hash);
            of_rollout.map(|it| (peer.member.name.as_str(), heartbeat.incarnation, it))
        })
    }

    /// Load of a service as reported by the live hosts, with the locality of each host.
    pub fn service_loads(
        &self,
        service_hash: u32,
        now: Instant,
    ) -> impl Iterator<Item = (Locality, ServiceLoad)> {
        self.peers.iter().filter(move |it| it.is_live(now)).filter_map(move |it| {
            let loads = &it.heartbeat.as_ref()?.service_loads;
            let load = loads.iter().find(|it| it.service_hash == service_hash)?;
            Some((it.member.locality, *load))
        })
    }

    /// Quarantine updates in a peer's newest heartbeat.
    pub fn quarantine_updates(&self, name: &str) -> &[QuarantineUpdate] {
        let heartbeat = self.position(name).ok().and_then(|at| self.peers[at].heartbeat.as_ref());
        heartbeat.map_or(&[], |it| &it.quarantine_updates)
    }

    /// Adapts the timing of heartbeats to the number of hosts.
    fn update_timing(&mut self) {
        let local_count = self.peers.iter().filter(|it| it.is_local).count() + 1;
        self.local_timing = HeartbeatTiming::local(local_count);
        self.remote_timing = HeartbeatTiming::remote(self.known_count());
        for it in &mut self.peers {
            it.timing = if it.is_local { self.local_timing } else { self.remote_timing };
        }
    }

    /// Keeps the last report of a process that has ended for as long as it may count.
    fn record_ended_process(
        &mut self,
        heartbeat: Option<Heartbeat>,
        received_at: Option<Instant>,
        now: Instant,
    ) {
        self.ended_processes.retain(|it| now.saturating_duration_since(it.1) < DEMAND_RETENTION);
        let report = heartbeat.map(|it| it.team_demand).zip(received_at);
        self.ended_processes.extend(report);
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|it| it.member.name.as_str().cmp(name))
    }
}

impl Peer {
    fn new(member: Member, is_local: bool, now: Instant) -> Self {
        Self {
            is_local,
            timing: HeartbeatTiming::local(1),
            awaits_heartbeat: true,
            member,
            heartbeat: None,
            received_at: None,
            registered_at: now,
            was_live: false,
            sent_heartbeats: VecDeque::new(),
        }
    }

    fn is_live(&self, now: Instant) -> bool {
        self.report_age(now).is_some_and(|it| it < self.timing.silence_timeout)
    }

    /// Time since the newest heartbeat; `None` before the first one.
    fn report_age(&self, now: Instant) -> Option<Duration> {
        self.received_at.map(|it| now.saturating_duration_since(it))
    }

    /// Newest heartbeat of the incarnation that the peer has received, as far as it reported.
    fn acknowledged(&self, incarnation: u64) -> Option<u64> {
        let ack = self.heartbeat.as_ref()?.ack?;
        (ack.incarnation == incarnation).then_some(ack.sequence)
    }

    /// Whether the peer may be admitting requests.
    fn is_awaited(&self, now: Instant) -> bool {
        if self.received_at.is_some() {
            !self.is_presumed_down(now)
        } else {
            now.saturating_duration_since(self.registered_at) < UNHEARD_TIMEOUT
        }
    }

    /// Whether the platform responds to the peer.
    fn is_reader(&self, now: Instant) -> bool {
        let (Some(heartbeat), Some(received_at)) = (&self.heartbeat, self.received_at) else {
            return false;
        };
        let Some(age_ms) = heartbeat.platform_age_ms else { return false };
        let age =
            now.saturating_duration_since(received_at) + Duration::from_millis(u64::from(age_ms));
        age < READER_TIMEOUT
    }

    /// Priority as a reader, the highest first. The bandwidth decides, since a list of all
    /// registrations for a follower takes seconds on a slow link.
    fn reader_priority(&self) -> (u32, u64) {
        (self.heartbeat.as_ref().map_or(0, |it| it.link_mbps), host_hash(&self.member.name))
    }

    fn state(&self) -> HostState {
        self.heartbeat.as_ref().map_or(HostState::Unready, |it| it.state)
    }

    fn ack(&self, now: Instant) -> Option<HeartbeatAck> {
        let heartbeat = self.heartbeat.as_ref()?;
        let ack_delay = now.saturating_duration_since(self.received_at?);
        Some(HeartbeatAck {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            ack_delay_ms: u32::try_from(ack_delay.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Whether the peer has been silent for so long that it cannot be serving any more.
    fn is_presumed_down(&self, now: Instant) -> bool {
        let since = self.received_at.unwrap_or(self.registered_at);
        now.saturating_duration_since(since) > DEMAND_RETENTION
    }
}

fn demand_entry(entries: &[TeamDemand], team_hash: u32) -> Option<&TeamDemand> {
    let at = entries.binary_search_by_key(&team_hash, |it| it.team_hash).ok()?;
    Some(&entries[at])
}

/// Orders hosts that have the same bandwidth.
fn host_hash(name: &str) -> u64 {
    mix(xxh3_64(name.as_bytes()))
}

/// Whether the host with a rank may try the platform, which has responded to none of `hosts` hosts
/// for `idle`.
fn has_reader_turn(rank: usize, hosts: usize, idle: Duration) -> bool {
    let current_turn = (idle.as_millis() / READER_TURN.as_millis()) as usize;
    (0..MAX_CONCURRENT_READER_ATTEMPTS.min(current_turn + 1))
        .any(|turns_ago| (current_turn - turns_ago) % hosts == rank)
}
