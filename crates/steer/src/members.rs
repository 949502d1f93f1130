//! The hosts of the system as this process sees them.

use std::{cmp::Reverse, collections::VecDeque, net::SocketAddr, time::Duration};

use kingcupford_route::QuarantineUpdate;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cache_affinity::mix,
    heartbeat::{
        Heartbeat, HeartbeatAck, HostState, PROTOCOL_VERSION, RolloutTally, ServiceLoad,
        TenantDemand,
    },
    locality::Locality,
};

/// Silence after which a host is taken to be down: several beats, and below the time after which
/// naming a dead host to callers breaks the deployments' bound of 7 s.
const SILENT_AFTER: Duration = Duration::from_millis(2500);

/// Silence after which a host of the own region is taken to be down; hosts of a region hear each
/// other more often.
const SILENT_AFTER_NEAR: Duration = Duration::from_millis(1200);

/// Time without an answer of the platform after which a reader is replaced: watches of the manifest
/// end every second.
const READER_AGE: Duration = Duration::from_millis(1900);

/// Time after which the turn to try the platform passes on to the next host of a region that has no
/// reader.
const READER_STAGGER: Duration = Duration::from_millis(700);

/// Hosts of a region that try the platform at the same time while it answers none of them; more
/// would find out no sooner that it is back.
const READER_TURNS: usize = 2;

/// Further readers that are asked when one does not answer.
const MAX_OTHER_READERS: usize = 2;

/// Time for which a silent host's demand still counts, since it may serve behind a partition.
const DEMAND_KEPT: Duration = Duration::from_secs(30);

/// Sent beats remembered for each peer to date its echoes.
const SENT_KEPT: usize = 32;

/// Addresses in one answer to a lookup; callers use no more.
const MAX_ADDRESSES: usize = 64;

/// A host as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it runs.
    pub locality: Locality,
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
}

/// All hosts but this one.
#[derive(Debug, Default)]
pub struct Members {
    /// The hosts, sorted by name.
    peers: Vec<Peer>,
}

/// Another host.
#[derive(Debug)]
struct Peer {
    /// What it registered.
    member: Member,
    /// Its newest beat.
    heartbeat: Option<Heartbeat>,
    /// When that arrived.
    heard_at: Option<Instant>,
    /// When it was registered here.
    registered_at: Instant,
    /// What its former process last told of tenants, and when.
    former: Option<(Vec<TenantDemand>, Instant)>,
    /// Silence after which it counts as down.
    silent_after: Duration,
    /// Whether it was heard lately at the last look.
    was_live: bool,
    /// Beats sent to it with their times.
    sent: VecDeque<(u64, Instant)>,
}

/// Where a host follows the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreSource {
    /// At the platform itself.
    Platform,
    /// Through another host.
    Host {
        /// Its address for hosts.
        address: SocketAddr,
        /// Whether the platform answers it.
        is_reader: bool,
        /// Further hosts that the platform answers, for when this one does not answer.
        fallbacks: Vec<SocketAddr>,
    },
}

/// A change of the view of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// It is heard again, or for the first time.
    Live(String),
    /// It is silent.
    Silent(String),
}

impl Members {
    /// Takes a registration in.
    pub fn register(&mut self, member: Member, own: Locality, now: Instant) {
        let is_near = member.locality.region == own.region;
        match self.position(&member.name) {
            Ok(at) if self.peers[at].member == member => {}
            Ok(at) => self.peers[at] = Peer::new(member, is_near, now),
            Err(at) => self.peers.insert(at, Peer::new(member, is_near, now)),
        }
    }

    /// Forgets a host.
    pub fn deregister(&mut self, name: &str) {
        if let Ok(at) = self.position(name) {
            self.peers.remove(at);
        }
    }

    /// Takes a beat in; one from an unknown host or address is ignored.
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
        });
        if heartbeat.protocol_version != PROTOCOL_VERSION
            || peer.member.peer_address != from
            || !is_newer
        {
            return None;
        }
        if let Some(it) = peer.heartbeat.take_if(|it| it.incarnation != heartbeat.incarnation) {
            peer.former = Some((it.tenant_demand, peer.heard_at.unwrap_or(now)));
        }
        peer.heard_at = Some(now);
        Some(peer.heartbeat.insert(heartbeat))
    }

    /// A time at which a peer's view was current, from its newest beat.
    ///
    /// The peer sent the beat after it received the echoed one, so the time of sending that, plus
    /// the time for which the peer held it, is a lower bound that needs no common clock.
    pub fn view_confirmed_at(&self, name: &str, incarnation: u64) -> Option<(u64, Instant)> {
        let peer = &self.peers[self.position(name).ok()?];
        let heartbeat = peer.heartbeat.as_ref()?;
        let ack = heartbeat.ack.filter(|it| it.incarnation == incarnation)?;
        let (_, sent_at) = peer.sent.iter().find(|it| it.0 == ack.sequence)?;
        let held = Duration::from_millis(u64::from(ack.ack_delay_ms));
        let age = Duration::from_millis(u64::from(heartbeat.view_age_ms?));
        Some((heartbeat.manifest_version, (*sent_at + held).checked_sub(age)?))
    }

    /// The hosts to send beats to, with the echo for each; notes the sending. Hosts of other
    /// regions get one only when `far` is set.
    pub fn begin_heartbeat(
        &mut self,
        sequence: u64,
        own: Locality,
        far: bool,
        now: Instant,
    ) -> Vec<(SocketAddr, Option<HeartbeatAck>)> {
        self.peers
            .iter_mut()
            .filter(|it| far || it.member.locality.region == own.region)
            .map(|it| {
                if it.sent.len() == SENT_KEPT {
                    it.sent.pop_front();
                }
                it.sent.push_back((sequence, now));
                (it.member.peer_address, it.ack(now))
            })
            .collect()
    }

    /// Changes since the last call.
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

    /// Callers' addresses of hosts near a place, nearest kind first that has any: the zone, its
    /// region, anywhere; hosts that serve go before those that merely run.
    pub fn lookup_addresses(
        &self,
        own: &Member,
        own_state: HostState,
        near: Option<Locality>,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let live: Vec<(Locality, SocketAddr, HostState)> = self
            .peers
            .iter()
            .filter(|it| it.is_live(now))
            .map(|it| (it.member.locality, it.member.caller_address, it.state()))
            .chain([(own.locality, own.caller_address, own_state)])
            .collect();
        let locality = near.unwrap_or(own.locality);
        let is_near: [&dyn Fn(&Locality) -> bool; 3] =
            [&|it| it.zone == locality.zone, &|it| it.region == locality.region, &|_| true];
        for wanted in [HostState::Serving, HostState::Unready, HostState::Draining] {
            for is_near in is_near {
                let found = live.iter().filter(|it| it.2 == wanted && is_near(&it.0));
                let found: Vec<SocketAddr> = found.map(|it| it.1).take(MAX_ADDRESSES).collect();
                if !found.is_empty() {
                    return found;
                }
            }
        }
        Vec::new()
    }

    /// Known hosts, this one included, whether they are heard or not.
    pub fn known_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Part of the known hosts that run in a region, this one included.
    pub fn region_fraction(&self, own: Locality) -> f64 {
        let near = self.peers.iter().filter(|it| it.member.locality.region == own.region).count();
        (near + 1) as f64 / self.known_count() as f64
    }

    /// Hosts that are heard, this one included.
    pub fn live_count(&self, now: Instant) -> usize {
        self.peers.iter().filter(|it| it.is_live(now)).count() + 1
    }

    /// Where this host follows the platform.
    ///
    /// `own_age` is the time since the platform answered this host itself, `current` the host that
    /// it follows, which it keeps as long as that one reads, and `idle` the time for which no host
    /// of the region was seen to read.
    pub fn store_source(
        &self,
        (own, own_link_mbps): (&Member, u32),
        own_age: Option<Duration>,
        current: Option<SocketAddr>,
        idle: Duration,
        now: Instant,
    ) -> StoreSource {
        let near = self.ranked(own, now, |it| it.member.locality.region == own.locality.region);
        let far = self.ranked(own, now, |it| {
            it.member.locality.region != own.locality.region && it.is_reader(now)
        });
        let own_order = (own_link_mbps, score(&own.name));
        let rank = near.iter().filter(|it| it.reader_order() > own_order).count();
        let is_reading = own_age.is_some_and(|it| it < READER_AGE);
        let reading: Vec<&Peer> = near.iter().filter(|it| it.is_reader(now)).copied().collect();
        let better = near[..rank].iter().find(|it| it.is_reader(now));
        let kept = reading.iter().find(|it| Some(it.member.peer_address) == current);
        let fallbacks = |address: SocketAddr| {
            let all = reading.iter().chain(&far).map(|it| it.member.peer_address);
            all.filter(|it| *it != address).take(MAX_OTHER_READERS).collect()
        };
        let follow = |it: &Peer| {
            let address = it.member.peer_address;
            StoreSource::Host {
                address,
                is_reader: it.is_reader(now),
                fallbacks: fallbacks(address),
            }
        };
        if let Some(it) = kept.or(better).or(reading.first().filter(|_| !is_reading)) {
            return follow(it);
        }
        if is_reading || near.is_empty() || takes_turn(rank, near.len() + 1, idle) {
            return StoreSource::Platform;
        }
        // Answers tell their age, so that nothing old is taken for new.
        far.first().or(near.first()).map_or(StoreSource::Platform, |it| follow(it))
    }

    /// Live hosts that a duty may fall to, in the order in which it does.
    fn ranked(&self, own: &Member, now: Instant, filter: impl Fn(&Peer) -> bool) -> Vec<&Peer> {
        let is_usable = |it: &&Peer| {
            it.member.name != own.name
                && it.is_live(now)
                && it.state() != HostState::Draining
                && filter(it)
        };
        let mut res: Vec<&Peer> = self.peers.iter().filter(is_usable).collect();
        res.sort_by_key(|it| Reverse(it.reader_order()));
        res
    }

    /// Whether another host of the region reads the platform.
    pub fn has_reader(&self, own: Locality, now: Instant) -> bool {
        let near = self.peers.iter().filter(|it| it.member.locality.region == own.region);
        near.into_iter().any(|it| it.is_live(now) && it.is_reader(now))
    }

    /// Rank of this host among the live ones for a duty, 0 first.
    pub fn duty_rank(&self, own_name: &str, duty: u64, now: Instant) -> usize {
        let rank = |name: &str| mix(duty ^ xxh3_64(name.as_bytes()));
        let own = rank(own_name);
        let live = self.peers.iter().filter(|it| it.is_live(now));
        live.filter(|it| rank(&it.member.name) > own).count()
    }

    /// Rank of this host among all known ones for a cold instance; hosts in its zone go first.
    pub fn cold_sender_rank(&self, own: &Member, instance: u64, locality: Locality) -> usize {
        let score = |member: &Member| {
            let near = member.locality.zone == locality.zone;
            (near, mix(instance ^ xxh3_64(member.name.as_bytes())))
        };
        let own = score(own);
        self.peers.iter().filter(|it| score(&it.member) > own).count()
    }

    /// Demand of a tenant at the other hosts; `unheard` is assumed of hosts that never told.
    pub fn tenant_demand(&self, tenant_hash: u32, unheard: f64, now: Instant) -> f64 {
        self.peers.iter().map(|it| it.demand(tenant_hash, unheard, now)).sum()
    }

    /// Requests of a tenant that the other hosts admitted in the last `window`, as far as they were
    /// heard.
    pub fn tenant_admitted(&self, tenant_hash: u32, window: Duration, now: Instant) -> u32 {
        self.peers.iter().map(|it| it.admitted(tenant_hash, window, now)).sum()
    }

    /// Whether every host that may serve is heard, so that none admits requests unnoticed.
    pub fn all_hosts_reporting(&self, now: Instant) -> bool {
        self.peers.iter().all(|it| it.is_live(now) || it.is_given_up(now))
    }

    /// What the other hosts counted in a rollout, by name and incarnation.
    pub fn rollout_tallies(
        &self,
        rollout_hash: u32,
    ) -> impl Iterator<Item = (&str, u64, &RolloutTally)> {
        self.peers.iter().filter_map(move |it| {
            let heartbeat = it.heartbeat.as_ref()?;
            let tally =
                heartbeat.rollout_tallies.iter().find(|it| it.rollout_hash == rollout_hash)?;
            Some((it.member.name.as_str(), heartbeat.incarnation, tally))
        })
    }

    /// Load of a service as the live hosts see it in their regions.
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

    /// Announcements in a peer's newest beat.
    pub fn quarantine_updates(&self, name: &str) -> &[QuarantineUpdate] {
        let heartbeat = self.position(name).ok().and_then(|at| self.peers[at].heartbeat.as_ref());
        heartbeat.map_or(&[], |it| &it.quarantine_updates)
    }

    /// Where a host stands, or would stand.
    fn position(&self, name: &str) -> Result<usize, usize> {
        self.peers.binary_search_by(|it| it.member.name.as_str().cmp(name))
    }
}

impl Peer {
    /// A host that was not heard yet.
    fn new(member: Member, is_near: bool, now: Instant) -> Self {
        Self {
            silent_after: if is_near { SILENT_AFTER_NEAR } else { SILENT_AFTER },
            member,
            heartbeat: None,
            heard_at: None,
            registered_at: now,
            former: None,
            was_live: false,
            sent: VecDeque::new(),
        }
    }

    /// Whether it was heard lately.
    fn is_live(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|it| now.saturating_duration_since(it) < self.silent_after)
    }

    /// Whether the platform answers it.
    fn is_reader(&self, now: Instant) -> bool {
        let (Some(heartbeat), Some(heard_at)) = (&self.heartbeat, self.heard_at) else {
            return false;
        };
        let Some(age_ms) = heartbeat.platform_age_ms else { return false };
        let age =
            now.saturating_duration_since(heard_at) + Duration::from_millis(u64::from(age_ms));
        age < READER_AGE
    }

    /// Place in the order in which hosts read the platform, highest first: a follower's list of all
    /// registrations takes a slow link seconds.
    fn reader_order(&self) -> (u32, u64) {
        (self.heartbeat.as_ref().map_or(0, |it| it.link_mbps), score(&self.member.name))
    }

    /// What it does.
    fn state(&self) -> HostState {
        self.heartbeat.as_ref().map_or(HostState::Unready, |it| it.state)
    }

    /// The acknowledgement of its newest beat.
    fn ack(&self, now: Instant) -> Option<HeartbeatAck> {
        let heartbeat = self.heartbeat.as_ref()?;
        let held = now.saturating_duration_since(self.heard_at?);
        Some(HeartbeatAck {
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            ack_delay_ms: u32::try_from(held.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Whether it was silent for so long that it no longer serves.
    fn is_given_up(&self, now: Instant) -> bool {
        let since = self.heard_at.unwrap_or(self.registered_at);
        now.saturating_duration_since(since) > DEMAND_KEPT
    }

    /// Demand of a tenant at it.
    fn demand(&self, tenant_hash: u32, unheard: f64, now: Instant) -> f64 {
        if self.is_given_up(now) {
            return 0.0;
        }
        let Some(heartbeat) = &self.heartbeat else { return unheard };
        entry(&heartbeat.tenant_demand, tenant_hash)
            .map_or(0.0, |it| f64::from(it.requests_per_s.max(0.0)))
    }

    /// Requests of a tenant that it admitted in the last `window`, in a former process too.
    fn admitted(&self, tenant_hash: u32, window: Duration, now: Instant) -> u32 {
        let told = |entries: &[TenantDemand], at: Instant| {
            let counts = now.saturating_duration_since(at) < window;
            let entry = entry(entries, tenant_hash).filter(|_| counts);
            entry.map_or(0, |it| it.admitted)
        };
        let former = self.former.as_ref().map_or(0, |it| told(&it.0, it.1));
        let present = self.heartbeat.as_ref().zip(self.heard_at);
        former + present.map_or(0, |(heartbeat, at)| told(&heartbeat.tenant_demand, at))
    }
}

/// What was told of a tenant.
fn entry(entries: &[TenantDemand], tenant_hash: u32) -> Option<&TenantDemand> {
    let at = entries.binary_search_by_key(&tenant_hash, |it| it.tenant_hash).ok()?;
    Some(&entries[at])
}

/// The order in which hosts take on duties, highest first.
fn score(name: &str) -> u64 {
    mix(xxh3_64(name.as_bytes()))
}

/// Whether it is the turn of the host with a rank to try the platform, which answered none of
/// `hosts` for a time.
fn takes_turn(rank: usize, hosts: usize, idle: Duration) -> bool {
    let turn = (idle.as_millis() / READER_STAGGER.as_millis()) as usize;
    (0..READER_TURNS.min(turn + 1)).any(|back| (turn - back) % hosts == rank)
}
