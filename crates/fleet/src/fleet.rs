//! One host's view of the fleet, and what it sends to keep it.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    digest::SentDigest,
    document::{ApplyOutcome, Document, Documents},
    link::Link,
    member::{HostIdentity, ListedHost, Member, MemberState},
    message::Message,
    settings::FleetSettings,
};

/// Longest time between two looks at all members, a small part of the time of a suspicion.
const REFRESH: Duration = Duration::from_millis(100);

/// One host's membership view and documents; it does no I/O and takes the time as an argument.
#[derive(Debug)]
pub struct Fleet {
    /// This host.
    pub(crate) identity: HostIdentity,
    /// Intervals and bounds.
    pub(crate) settings: FleetSettings,
    /// Chooses among equal peers and spreads beats in time.
    pub(crate) rng: SmallRng,
    /// All known hosts, this one included, sorted by name.
    pub(crate) members: Vec<Member>,
    /// Position of this host among the members; a search for each use costs more than the uses.
    pub(crate) own: usize,
    /// Hosts of the own zone that are not gone, this one included.
    pub(crate) zone_hosts: usize,
    /// Silence after which a member of the own zone is suspected: four of its intervals.
    pub(crate) suspect_mate_ms: u64,
    /// When the states of all members were last recomputed.
    pub(crate) refreshed_at: Instant,
    /// What only this host knows about each member, in the same order.
    pub(crate) links: Vec<Link>,
    /// Documents and chunks.
    pub(crate) documents: Documents,
    /// Documents that became newer since they were last taken.
    pub(crate) newer: Vec<String>,
    /// Documents to announce with the next messages.
    pub(crate) announce: bool,
    /// Sections of the next heartbeats, sorted by kind.
    pub(crate) sections: Vec<(u16, Vec<u8>)>,
    /// Sequence of the last beat.
    pub(crate) sequence: u64,
    /// When the last beats were sent, newest last.
    pub(crate) beats: Vec<(u64, Instant)>,
    /// When the next beat is due.
    pub(crate) next_beat: Instant,
    /// Beats since the last one that went to the own zone, `None` when the next one must.
    pub(crate) beats_since_zone: Option<u64>,
    /// When `tick` last ran.
    pub(crate) last_tick: Instant,
    /// Start of the process or end of its last pause; silence before it says nothing.
    pub(crate) awake_since: Instant,
    /// Whether a pause was noticed that nobody asked about yet.
    pub(crate) resumed: bool,
    /// When this host last reached the platform.
    pub(crate) platform_at: Option<Instant>,
    /// When membership last changed.
    pub(crate) changed_at: Instant,
    /// Digests last sent, by zone.
    pub(crate) digests_sent: Vec<SentDigest>,
    /// Whether a host of another zone became suspected and its speakers are to be asked.
    pub(crate) digest_due: bool,
    /// The peer to ask for a roster as soon as the last request is old enough.
    pub(crate) roster_due: Option<String>,
    /// When this host last asked for a roster.
    pub(crate) roster_asked_at: Option<Instant>,
    /// When this host last asked a peer for its versions after it became awake.
    pub(crate) versions_asked_at: Option<Instant>,
    /// Whether some peer has told its versions since this host became awake.
    pub(crate) versions_heard: bool,
}

/// What a host can reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reachability {
    /// Whether this host or a peer of its zone reached the platform lately.
    pub platform: bool,
    /// Other zones that this host hears itself or through a peer of its zone.
    pub reachable_zones: usize,
}

/// The newest beat of this process that a peer confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AckedHeartbeat {
    /// Sequence of the beat.
    pub sequence: u64,
    /// When the beat was sent.
    pub sent_at: Instant,
}

impl Fleet {
    /// A fleet that knows only its own host, which is `Starting`.
    pub fn new(identity: HostIdentity, seed: u64, now: Instant) -> Self {
        let settings = FleetSettings::default();
        let documents = documents_for(&settings);
        let own = Member {
            name: identity.name.clone(),
            zone: identity.zone.clone(),
            incarnation: identity.incarnation,
            state: MemberState::Starting,
            peer_address: identity.peer_address,
            public_addresses: identity.public_addresses.clone(),
            last_heartbeat_at: None,
            load_permille: 0,
        };
        let link = Link::new(&own, now);
        Self {
            identity,
            suspect_mate_ms: settings.suspect_timeout_ms,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            members: vec![own],
            own: 0,
            zone_hosts: 1,
            refreshed_at: now,
            links: vec![link],
            documents,
            newer: Vec::new(),
            announce: false,
            sections: Vec::new(),
            sequence: 0,
            beats: Vec::new(),
            next_beat: now,
            beats_since_zone: None,
            last_tick: now,
            awake_since: now,
            resumed: false,
            platform_at: None,
            changed_at: now,
            digests_sent: Vec::new(),
            digest_due: false,
            roster_due: None,
            roster_asked_at: None,
            versions_asked_at: None,
            versions_heard: false,
        }
    }

    /// Replaces the settings; called before the first use, since it empties the documents.
    pub fn with_settings(mut self, settings: FleetSettings) -> Self {
        self.documents = documents_for(&settings);
        self.suspect_mate_ms = settings.suspect_timeout_ms;
        self.settings = settings;
        self
    }

    /// Adds hosts of the settings that are tried when the platform is away.
    pub fn with_seeds(mut self, seeds: &[ListedHost], now: Instant) -> Self {
        for seed in seeds {
            self.add_candidate(seed, now);
        }
        self
    }

    /// This host.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Declares this host ready for callers; a draining host stays draining.
    pub fn set_live(&mut self, now: Instant) {
        if self.own_state() == MemberState::Starting {
            self.set_own_state(MemberState::Live, now);
        }
    }

    /// Declares that a drain was taken back.
    pub fn cancel_drain(&mut self, now: Instant) {
        if self.own_state() == MemberState::Draining {
            self.set_own_state(MemberState::Live, now);
        }
    }

    /// Declares that this host finishes what it has.
    pub fn set_draining(&mut self, now: Instant) {
        self.set_own_state(MemberState::Draining, now);
    }

    /// Sets the load that heartbeats report, 1,000 for fully used.
    pub fn set_load(&mut self, load_permille: u16) {
        let own = self.own;
        self.members[own].load_permille = load_permille;
    }

    /// Sets a small sum that heartbeats carry until it is replaced; an empty one is left out.
    pub fn set_section(&mut self, kind: u16, bytes: Vec<u8>) {
        self.sections.retain(|it| it.0 != kind);
        if !bytes.is_empty() {
            self.sections.push((kind, bytes));
            self.sections.sort_unstable();
        }
    }

    /// Takes the platform's list, which lags: it adds candidates and marks draining hosts, but
    /// says nothing against a host that this one hears.
    pub fn apply_platform_hosts(&mut self, list: &[ListedHost], now: Instant) {
        for link in &mut self.links {
            link.listed = false;
            link.draining = false;
        }
        for candidate in list {
            self.add_candidate(candidate, now);
        }
        self.refresh(now);
    }

    /// Notes that the platform responded to this host.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.platform_at = Some(now);
    }

    /// Notes that a stream to a host failed or was refused.
    pub fn record_stream_failure(&mut self, host: &str, now: Instant) {
        if let Some(at) = self.position(host).filter(|it| *it != self.own) {
            self.links[at].failed_at = Some(now);
            self.links[at].has_profile = false;
            self.refresh(now);
        }
    }

    /// Does what is due, to be called every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(String, Message)> {
        self.notice_pause(now);
        self.last_tick = now;
        if now >= self.next_beat || now.saturating_duration_since(self.refreshed_at) >= REFRESH {
            self.refresh(now);
        }
        let mut res = Vec::new();
        if now >= self.next_beat {
            self.beat(now, &mut res);
            let interval = Duration::from_millis(self.settings.heartbeat_interval_ms);
            // The first interval is cut short at random, so that hosts started together do not
            // send all their heartbeats in the same instant.
            let spread = if self.sequence == 1 { self.rng.random_range(0.5..1.0) } else { 1.0 };
            let next = self.next_beat + interval.mul_f64(spread);
            self.next_beat = if next > now { next } else { now + interval };
            self.forget_members(now);
        }
        self.ask_for_digests(now, &mut res);
        if let Some(peer) = self.roster_due.take() {
            self.ask_for_roster(&peer, now, &mut res);
        }
        self.request_state(now, &mut res);
        res
    }

    /// All known hosts, this one included, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// A host by name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.position(name).map(|at| &self.members[at])
    }

    /// A section of the newest heartbeat of a host.
    pub fn section(&self, host: &str, kind: u16) -> Option<&[u8]> {
        let sections = &self.links[self.position(host)?].sections;
        sections.iter().find(|it| it.0 == kind).map(|it| it.1.as_slice())
    }

    /// Sequence of the last beat, by which the sections of the next one are confirmed.
    pub fn heartbeat_sequence(&self) -> u64 {
        self.sequence
    }

    /// The newest beat of this process that a host confirmed since this process last paused.
    pub fn last_acked_heartbeat(&self, host: &str) -> Option<AckedHeartbeat> {
        self.links[self.position(host)?].confirmed
    }

    /// Whether membership changed within the last seconds.
    pub fn is_membership_changing(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.changed_at);
        age < Duration::from_millis(self.settings.membership_change_window_ms)
    }

    /// The hosts of a zone that exchange messages with other zones, in order of preference.
    pub fn speakers(&self, zone: &str) -> Vec<&str> {
        let usable = |it: &&Member| matches!(it.state, MemberState::Live | MemberState::Starting);
        let ranked = self.ranked(zone, 0, usable);
        if !ranked.is_empty() {
            return ranked;
        }
        self.ranked(zone, 0, |it| it.state == MemberState::Draining)
    }

    /// Whether this host is a speaker of its zone.
    pub fn is_speaker(&self) -> bool {
        self.rank().is_some()
    }

    /// Place of this host among the speakers of its zone, `None` when it is not one of them.
    pub(crate) fn rank(&self) -> Option<usize> {
        self.speakers(&self.identity.zone).iter().position(|it| *it == self.identity.name)
    }

    /// What this host reaches itself or through peers of its zone.
    pub fn reachability(&self, now: Instant) -> Reachability {
        let fresh = |at: Option<Instant>| self.is_fresh(at, now);
        let mates = || self.links.iter().zip(&self.members).filter(|it| self.is_mate(it.1));
        let platform = fresh(self.platform_at) || mates().any(|it| fresh(it.0.platform_at));
        let through = mates().filter_map(|it| it.0.reachable_zones).filter(|it| fresh(Some(it.0)));
        let through = through.map(|it| usize::from(it.1)).max().unwrap_or(0);
        Reachability { platform, reachable_zones: through.max(self.directly_reachable_zones(now)) }
    }

    /// Whether neither the platform nor any other zone was heard for a while.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let awake = now.saturating_duration_since(self.awake_since);
        let reach = self.reachability(now);
        awake >= self.isolated_after() && !reach.platform && reach.reachable_zones == 0
    }

    /// Whether the process was paused since the last call; what it assumed before may be wrong.
    pub fn take_pause_detected(&mut self) -> bool {
        std::mem::take(&mut self.resumed)
    }

    /// Whether peers have told their versions since the process started or last paused, and none
    /// is ahead. Stays false without peers; then the platform is the source.
    pub fn is_caught_up(&self) -> bool {
        self.versions_heard && !self.documents.is_behind()
    }

    /// Takes a document from the platform or an own write; a newer one is announced at once.
    pub fn apply_document(&mut self, name: &str, version: u64, bytes: &[u8]) -> ApplyOutcome {
        let res = self.documents.apply(name, version, bytes);
        self.record_document_update(name, res);
        res
    }

    /// The newest known version of a document.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.documents.document(name)
    }

    /// Names of documents that became newer since the last call.
    pub fn take_updated_documents(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newer)
    }

    /// Documents and chunks.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Documents and chunks for changes; documents go through [`Fleet::apply_document`], which announces.
    pub fn documents_mut(&mut self) -> &mut Documents {
        &mut self.documents
    }

    /// Remembers a document that became newer.
    pub(crate) fn record_document_update(&mut self, name: &str, offered: ApplyOutcome) {
        if offered == ApplyOutcome::Applied {
            self.announce = true;
            if !self.newer.iter().any(|it| it == name) {
                self.newer.push(name.to_owned());
            }
        }
    }

    /// Sets the state of this host, which the next tick tells everybody.
    fn set_own_state(&mut self, state: MemberState, now: Instant) {
        let own = self.own;
        if self.members[own].state != state {
            self.members[own].state = state;
            self.changed_at = now;
            self.next_beat = now;
            self.beats_since_zone = None;
        }
    }

    /// State of this host.
    fn own_state(&self) -> MemberState {
        self.members[self.own].state
    }
}

/// The empty documents that settings ask for.
fn documents_for(settings: &FleetSettings) -> Documents {
    Documents::new(settings.chunk_store_bytes, Duration::from_millis(settings.request_timeout_ms))
}
