//! One host's view of the fleet, and what it sends to keep it.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    document::{Document, Documents, Offered},
    member::{Candidate, HostIdentity, Member, MemberState},
    message::{Heartbeat, MAX_MESSAGE_BYTES, Message, Profile},
    settings::FleetSettings,
};

/// Sent beats that are remembered to find out when a confirmed one was sent.
const REMEMBERED_BEATS: usize = 64;

/// Room that a roster leaves in a message for a long profile.
const ROSTER_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// One host's membership view and documents; it does no I/O and takes the time as an argument.
#[derive(Debug)]
pub struct Fleet {
    /// This host.
    pub(crate) identity: HostIdentity,
    /// Intervals and bounds.
    pub(crate) settings: FleetSettings,
    /// Chooses among equal peers and spreads beats in time.
    rng: SmallRng,
    /// All known hosts, this one included, sorted by name.
    pub(crate) members: Vec<Member>,
    /// What only this host knows about each member, in the same order.
    pub(crate) links: Vec<Link>,
    /// Documents and chunks.
    pub(crate) documents: Documents,
    /// Documents that became newer since they were last taken.
    newer: Vec<String>,
    /// Documents to announce with the next messages.
    pub(crate) announce: bool,
    /// Sections of the next heartbeats, sorted by kind.
    sections: Vec<(u16, Vec<u8>)>,
    /// Sequence of the last beat.
    sequence: u64,
    /// When the last beats were sent, newest last.
    beats: Vec<(u64, Instant)>,
    /// When the next beat is due.
    next_beat: Instant,
    /// When `tick` last ran.
    last_tick: Instant,
    /// Start of the process or end of its last pause; silence before it says nothing.
    pub(crate) awake_since: Instant,
    /// Whether a pause was noticed that nobody asked about yet.
    resumed: bool,
    /// When this host last reached the platform.
    platform_at: Option<Instant>,
    /// When membership last changed.
    pub(crate) changed_at: Instant,
    /// What the last digests said and when they were sent, by zone.
    pub(crate) digests_sent: Vec<(String, u64, Instant)>,
    /// When this host last asked for a roster.
    pub(crate) roster_asked_at: Option<Instant>,
    /// When this host last asked a peer for its versions after it became awake.
    versions_asked_at: Option<Instant>,
    /// Whether some peer has told its versions since this host became awake.
    pub(crate) versions_heard: bool,
}

/// What a host can reach.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reach {
    /// Whether this host or a peer of its zone reached the platform lately.
    pub platform: bool,
    /// Other zones that this host hears itself or through a peer of its zone.
    pub zones_heard: usize,
}

/// The newest beat of this process that a peer confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Confirmation {
    /// Sequence of the beat.
    pub sequence: u64,
    /// When the beat was sent.
    pub sent_at: Instant,
}

/// What this host knows about one member beside its public part.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When the member became known.
    pub(crate) added_at: Instant,
    /// Whether the platform's last list or the seeds name it.
    pub(crate) listed: bool,
    /// Whether the platform marks it as leaving.
    pub(crate) leaving: bool,
    /// Sequence of its newest heartbeat.
    pub(crate) sequence: u64,
    /// What it says about itself.
    pub(crate) announced: MemberState,
    /// State that a speaker reported, and when.
    pub(crate) vouched: Option<(Instant, MemberState)>,
    /// When a stream to it failed, until it is heard again.
    pub(crate) failed_at: Option<Instant>,
    /// Whether a peer of the zone reports a failed stream to it.
    pub(crate) lost_by_peer: bool,
    /// Newest own beat that it confirmed.
    pub(crate) confirmed: Option<Confirmation>,
    /// Hash of its documents.
    pub(crate) documents_hash: u64,
    /// Whether it confirmed a beat of this process, and so has the profile.
    pub(crate) has_profile: bool,
    /// Whether the next beat goes to it although this host would not choose it.
    pub(crate) answer_due: bool,
    /// When a beat was last sent to it.
    pub(crate) sent_at: Option<Instant>,
    /// When it last said that it reaches the platform itself.
    pub(crate) platform_at: Option<Instant>,
    /// When it last said that it hears other zones itself, and how many.
    pub(crate) zones_heard: Option<(Instant, u16)>,
    /// Sections of its newest heartbeat.
    pub(crate) sections: Vec<(u16, Vec<u8>)>,
    /// Identifier in digests.
    pub(crate) digest_id: u32,
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
            last_heard: None,
            load_permille: 0,
        };
        let link = Link::new(&own, now);
        Self {
            identity,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            members: vec![own],
            links: vec![link],
            documents,
            newer: Vec::new(),
            announce: false,
            sections: Vec::new(),
            sequence: 0,
            beats: Vec::new(),
            next_beat: now,
            last_tick: now,
            awake_since: now,
            resumed: false,
            platform_at: None,
            changed_at: now,
            digests_sent: Vec::new(),
            roster_asked_at: None,
            versions_asked_at: None,
            versions_heard: false,
        }
    }

    /// Replaces the settings; called before the first use, since it empties the documents.
    pub fn with_settings(mut self, settings: FleetSettings) -> Self {
        self.documents = documents_for(&settings);
        self.settings = settings;
        self
    }

    /// Adds hosts of the settings that are tried when the platform is away.
    pub fn with_seeds(mut self, seeds: &[Candidate], now: Instant) -> Self {
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

    /// Declares that this host finishes what it has; it does not return from that.
    pub fn set_draining(&mut self, now: Instant) {
        self.set_own_state(MemberState::Draining, now);
    }

    /// Sets the load that heartbeats report, 1,000 for fully used.
    pub fn set_load(&mut self, load_permille: u16) {
        let own = self.own();
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

    /// Takes the platform's list, which lags: it adds candidates and marks leaving hosts, but
    /// says nothing against a host that this one hears.
    pub fn platform_hosts(&mut self, list: &[Candidate], now: Instant) {
        for link in &mut self.links {
            link.listed = false;
            link.leaving = false;
        }
        for candidate in list {
            self.add_candidate(candidate, now);
        }
        self.refresh(now);
    }

    /// Notes that the platform responded to this host.
    pub fn platform_reachable(&mut self, now: Instant) {
        self.platform_at = Some(now);
    }

    /// Notes that a stream to a host failed or was refused.
    pub fn stream_failed(&mut self, host: &str, now: Instant) {
        if let Some(at) = self.position(host).filter(|it| *it != self.own()) {
            self.links[at].failed_at = Some(now);
            self.links[at].has_profile = false;
            self.refresh(now);
        }
    }

    /// Does what is due, to be called every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(String, Message)> {
        let late = now.saturating_duration_since(self.last_tick);
        if late > Duration::from_millis(self.settings.pause_ms) {
            self.resume(now);
        }
        self.last_tick = now;
        self.refresh(now);
        let mut res = Vec::new();
        if now >= self.next_beat {
            self.beat(now, &mut res);
            let interval = Duration::from_millis(self.settings.heartbeat_ms);
            // The first interval is cut short at random, so that hosts started together do not
            // send all their heartbeats in the same instant.
            let spread = if self.sequence == 1 { self.rng.random_range(0.5..1.0) } else { 1.0 };
            let next = self.next_beat + interval.mul_f64(spread);
            self.next_beat = if next > now { next } else { now + interval };
            self.send_digests(now, &mut res);
            self.forget_members(now);
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
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The newest beat of this process that a host confirmed since this process last paused.
    pub fn confirmation(&self, host: &str) -> Option<Confirmation> {
        self.links[self.position(host)?].confirmed
    }

    /// Whether membership changed within the last seconds.
    pub fn changing(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.changed_at);
        age < Duration::from_millis(self.settings.changing_ms)
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
        self.speakers(&self.identity.zone).contains(&self.identity.name.as_str())
    }

    /// What this host reaches itself or through peers of its zone.
    pub fn reach(&self, now: Instant) -> Reach {
        let fresh = |at: Option<Instant>| self.is_fresh(at, now);
        let mates = || self.links.iter().zip(&self.members).filter(|it| self.is_mate(it.1));
        let platform = fresh(self.platform_at) || mates().any(|it| fresh(it.0.platform_at));
        let through = mates().filter_map(|it| it.0.zones_heard).filter(|it| fresh(Some(it.0)));
        let through = through.map(|it| usize::from(it.1)).max().unwrap_or(0);
        Reach { platform, zones_heard: through.max(self.own_zones_heard(now)) }
    }

    /// Whether neither the platform nor any other zone was heard for a while.
    pub fn isolated(&self, now: Instant) -> bool {
        let awake = now.saturating_duration_since(self.awake_since);
        let reach = self.reach(now);
        awake >= self.isolated_after() && !reach.platform && reach.zones_heard == 0
    }

    /// Whether the process was paused since the last call; what it assumed before may be wrong.
    pub fn resumed_after_pause(&mut self) -> bool {
        std::mem::take(&mut self.resumed)
    }

    /// Whether peers have told their versions since the process started or last paused, and none
    /// is ahead. Stays false without peers; then the platform is the source.
    pub fn caught_up(&self) -> bool {
        self.versions_heard && !self.documents.is_behind()
    }

    /// Takes a document from the platform or an own write; a newer one is announced at once.
    pub fn offer(&mut self, name: &str, version: u64, bytes: &[u8]) -> Offered {
        let res = self.documents.offer(name, version, bytes);
        self.note_offer(name, res);
        res
    }

    /// The newest known version of a document.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.documents.document(name)
    }

    /// Names of documents that became newer since the last call.
    pub fn take_newer(&mut self) -> Vec<String> {
        std::mem::take(&mut self.newer)
    }

    /// Documents and chunks.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Documents and chunks for changes; documents go through [`Fleet::offer`], which announces.
    pub fn documents_mut(&mut self) -> &mut Documents {
        &mut self.documents
    }

    /// Remembers a document that became newer.
    pub(crate) fn note_offer(&mut self, name: &str, offered: Offered) {
        if offered == Offered::Newer {
            self.announce = true;
            if !self.newer.iter().any(|it| it == name) {
                self.newer.push(name.to_owned());
            }
        }
    }

    /// Recomputes the states of all members.
    pub(crate) fn refresh(&mut self, now: Instant) {
        for at in 0..self.members.len() {
            let state = self.evaluated(at, now);
            if self.members[at].state == state {
                continue;
            }
            self.members[at].state = state;
            self.changed_at = now;
            if state == MemberState::Gone {
                let name = self.members[at].name.clone();
                self.documents.forget_peer(&name);
                self.links[at].documents_hash = 0;
            }
        }
    }

    /// The state that the evidence about a member supports.
    fn evaluated(&self, at: usize, now: Instant) -> MemberState {
        let (member, link) = (&self.members[at], &self.links[at]);
        if at == self.own() {
            return member.state;
        }
        let zone_matches = member.zone == self.identity.zone;
        let settings = &self.settings;
        let suspect_ms =
            if zone_matches { settings.suspect_ms } else { settings.suspect_remote_ms };
        let suspect = Duration::from_millis(suspect_ms);
        // Silence while this process was paused is not the member's.
        let silent_since = member.last_heard.unwrap_or(link.added_at).max(self.awake_since);
        let silence = now.saturating_duration_since(silent_since);
        if member.last_heard.is_some() && silence < suspect && link.failed_at.is_none() {
            let leaving = link.leaving && link.announced == MemberState::Live;
            return if leaving { MemberState::Draining } else { link.announced };
        }
        let vouch = Duration::from_millis(settings.vouch_ms);
        let heard_until = member.last_heard.map(|it| it + suspect);
        // Only word that is newer than the end of the host's own evidence says anything new.
        let vouched = link.vouched.filter(|it| {
            !zone_matches
                && now.saturating_duration_since(it.0) < vouch
                && heard_until.is_none_or(|heard| it.0 > heard)
                && link.failed_at.is_none_or(|failed| it.0 > failed)
        });
        if let Some((_, state)) = vouched {
            return state;
        }
        let process_gone = link.failed_at.is_some() && link.lost_by_peer && zone_matches;
        if process_gone || silence >= Duration::from_millis(settings.gone_ms) {
            return MemberState::Gone;
        }
        MemberState::Suspected
    }

    /// Forgets what a pause made doubtful.
    fn resume(&mut self, now: Instant) {
        self.resumed = true;
        self.awake_since = now;
        self.changed_at = now;
        self.next_beat = now;
        self.platform_at = None;
        self.versions_asked_at = None;
        self.versions_heard = false;
        for link in &mut self.links {
            link.confirmed = None;
            link.documents_hash = 0;
            link.platform_at = None;
            link.zones_heard = None;
        }
    }

    /// Sends a heartbeat to every host that expects one.
    fn beat(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        self.sequence += 1;
        self.beats.push((self.sequence, now));
        if self.beats.len() > REMEMBERED_BEATS {
            self.beats.remove(0);
        }
        for (at, is_answer) in self.targets(now) {
            let heartbeat = self.heartbeat(at, is_answer, now);
            self.links[at].sent_at = Some(now);
            res.push((self.members[at].name.clone(), Message::Heartbeat(heartbeat)));
        }
        for link in &mut self.links {
            link.answer_due = false;
        }
    }

    /// The members that the next beat goes to, and whether it is only an answer.
    fn targets(&self, now: Instant) -> Vec<(usize, bool)> {
        let probe = Duration::from_millis(self.settings.probe_ms);
        let probe_due = |at: usize| {
            self.links[at].sent_at.is_none_or(|it| now.saturating_duration_since(it) >= probe)
        };
        let own_zone = &self.identity.zone;
        let mates = (0..self.members.len()).filter(|at| {
            let member = &self.members[*at];
            member.zone == *own_zone && (member.state != MemberState::Gone || probe_due(*at))
        });
        let mut res: Vec<(usize, bool)> = mates.map(|it| (it, false)).collect();
        let mut remote = Vec::new();
        if self.is_speaker() {
            let zones = self.zones().into_iter().filter(|it| it != own_zone);
            remote.extend(zones.flat_map(|zone| self.remote_targets(&zone, probe_due)));
        }
        // Between zones only every second beat is sent: the interval is twice that inside one.
        if self.sequence % 2 == 1 {
            res.extend(remote.iter().map(|it| (*it, false)));
        }
        // Two hosts whose views of the speakers differ still hear each other.
        let answers = (0..self.links.len()).filter(|at| {
            self.links[*at].answer_due
                && self.members[*at].zone != *own_zone
                && !remote.contains(at)
        });
        res.extend(answers.map(|it| (it, true)));
        res.retain(|it| it.0 != self.own());
        res
    }

    /// The members of another zone that a speaker sends heartbeats to.
    fn remote_targets(&self, zone: &str, probe_due: impl Fn(usize) -> bool) -> Vec<usize> {
        let positions =
            |names: Vec<&str>| names.into_iter().filter_map(|it| self.position(it)).collect();
        let speakers: Vec<usize> = positions(self.speakers(zone));
        if !speakers.is_empty() {
            return speakers;
        }
        // Nobody of the zone is known to live, so different hosts are tried in turn.
        let turn = self.sequence / 10;
        let mut tried: Vec<usize> = positions(self.ranked(zone, turn, |_| true));
        tried.retain(|at| self.members[*at].state != MemberState::Gone || probe_due(*at));
        tried
    }

    /// The heartbeat for one member.
    fn heartbeat(&self, to: usize, is_answer: bool, now: Instant) -> Heartbeat {
        let (member, link) = (&self.members[to], &self.links[to]);
        let own = &self.members[self.own()];
        let documents_hash = self.documents.versions_hash();
        let known = link.documents_hash == documents_hash;
        let lost = self.links.iter().zip(&self.members).filter(|it| it.0.failed_at.is_some());
        let lost = lost.filter(|it| it.1.zone == member.zone).map(|it| it.1.name.clone());
        let heard = member.last_heard.is_some();
        Heartbeat {
            incarnation: own.incarnation,
            sequence: self.sequence,
            state: own.state,
            is_answer,
            load_permille: own.load_permille,
            heard_incarnation: if heard { member.incarnation } else { 0 },
            heard_sequence: link.sequence,
            reaches_platform: self.is_fresh(self.platform_at, now),
            zones_heard: u16::try_from(self.own_zones_heard(now)).unwrap_or(u16::MAX),
            documents_hash,
            documents: if known { Vec::new() } else { self.documents.versions() },
            lost: if member.zone == own.zone { lost.collect() } else { Vec::new() },
            profile: (!link.has_profile).then(|| profile(own)),
            sections: self.sections.clone(),
        }
    }

    /// Announces new versions and asks for what peers have and this host lacks.
    pub(crate) fn request_state(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        if std::mem::take(&mut self.announce) {
            let versions = self.documents.versions();
            let hash = self.documents.versions_hash();
            let partners = self.partners(now);
            let behind = partners.into_iter().filter(|it| self.links[*it].documents_hash != hash);
            res.extend(
                behind
                    .map(|at| (self.members[at].name.clone(), Message::Versions(versions.clone()))),
            );
        }
        // Peers in the own zone answer fastest, so they stand first.
        let mut peers = self.partners(now);
        peers.sort_by_key(|at| self.members[*at].zone != self.identity.zone);
        let near = peers.iter().filter(|at| self.members[**at].zone == self.identity.zone).count();
        if near > 1 {
            // A random start spreads the requests of many hosts that learn of a change together.
            let start = self.rng.random_range(0..near);
            peers[..near].rotate_left(start);
        }
        let retry = Duration::from_millis(self.settings.retry_ms);
        let asked = self.versions_asked_at;
        let due = asked.is_none_or(|it| now.saturating_duration_since(it) >= retry);
        if !self.versions_heard && due && !peers.is_empty() {
            self.versions_asked_at = Some(now);
            let asked = peers.iter().take(2);
            res.extend(asked.map(|at| (self.members[*at].name.clone(), Message::VersionsRequest)));
        }
        let names: Vec<&str> = peers.iter().map(|at| self.members[*at].name.as_str()).collect();
        res.extend(self.documents.requests(&names, now));
    }

    /// Members that this host heard lately and that are neither suspected nor gone.
    pub(crate) fn partners(&self, now: Instant) -> Vec<usize> {
        let usable = |at: &usize| {
            let member = &self.members[*at];
            *at != self.own()
                && member.state < MemberState::Suspected
                && self.heard_within(member, self.settings.suspect_remote_ms, now)
        };
        (0..self.members.len()).filter(usable).collect()
    }

    /// Other zones of which this host itself heard a host lately.
    pub(crate) fn own_zones_heard(&self, now: Instant) -> usize {
        let recent = |it: &&Member| self.is_fresh(it.last_heard, now);
        let other = self.members.iter().filter(|it| it.zone != self.identity.zone);
        let mut zones: Vec<&str> = other.filter(recent).map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Names of all zones with a known host.
    pub(crate) fn zones(&self) -> Vec<String> {
        let mut res: Vec<String> = self.members.iter().map(|it| it.zone.clone()).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// The first hosts of a zone by rendezvous hashing among those that qualify.
    fn ranked(&self, zone: &str, turn: u64, qualifies: impl Fn(&&Member) -> bool) -> Vec<&str> {
        let of_zone = self.members.iter().filter(|it| it.zone == zone);
        let mut res: Vec<(u64, &str)> = of_zone
            .filter(qualifies)
            .map(|it| (xxh3_64(format!("{}/{turn}", it.name).as_bytes()), it.name.as_str()))
            .collect();
        res.sort_unstable();
        res.truncate(self.settings.speakers_per_zone);
        res.into_iter().map(|it| it.1).collect()
    }

    /// Adds a listed host.
    fn add_candidate(&mut self, candidate: &Candidate, now: Instant) {
        if candidate.name == self.identity.name {
            return;
        }
        let at = match self.position(&candidate.name) {
            Some(at) => at,
            None => self.insert(
                Member {
                    name: candidate.name.clone(),
                    zone: candidate.zone.clone(),
                    incarnation: 0,
                    state: MemberState::Suspected,
                    peer_address: candidate.peer_address,
                    public_addresses: candidate.public_addresses.clone(),
                    last_heard: None,
                    load_permille: 0,
                },
                now,
            ),
        };
        self.links[at].listed = true;
        self.links[at].leaving = candidate.leaving;
        let member = &mut self.members[at];
        // What a host says about itself is newer than the list, unless it is silent.
        if member.incarnation == 0 || member.state == MemberState::Gone {
            member.peer_address = candidate.peer_address;
        }
    }

    /// Adds or replaces a host by its profile; the position, `None` when the profile is outdated.
    pub(crate) fn add_profile(&mut self, profile: &Profile, now: Instant) -> Option<usize> {
        if profile.name == self.identity.name {
            return None;
        }
        let member = Member {
            name: profile.name.clone(),
            zone: profile.zone.clone(),
            incarnation: profile.incarnation,
            state: MemberState::Suspected,
            peer_address: profile.peer_address,
            public_addresses: profile.public_addresses.clone(),
            last_heard: None,
            load_permille: 0,
        };
        let Some(at) = self.position(&profile.name) else {
            return Some(self.insert(member, now));
        };
        if profile.incarnation < self.members[at].incarnation {
            return None;
        }
        if profile.incarnation > self.members[at].incarnation {
            // The state is not announced as changed until a heartbeat or digest says so.
            let (state, link) = (self.members[at].state, &self.links[at]);
            let (listed, leaving) = (link.listed, link.leaving);
            self.documents.forget_peer(&profile.name);
            self.links[at] = Link { listed, leaving, ..Link::new(&member, now) };
            self.members[at] = Member { state, ..member };
        }
        Some(at)
    }

    /// Adds a member and answers its position.
    fn insert(&mut self, member: Member, now: Instant) -> usize {
        let name = member.name.as_str();
        let at = self.members.partition_point(|it| it.name.as_str() < name);
        self.links.insert(at, Link::new(&member, now));
        self.members.insert(at, member);
        self.changed_at = now;
        at
    }

    /// Drops members that are gone for long and not listed.
    fn forget_members(&mut self, now: Instant) {
        let forget = Duration::from_millis(self.settings.forget_ms);
        let mut at = 0;
        while at < self.members.len() {
            let (member, link) = (&self.members[at], &self.links[at]);
            let since = member.last_heard.unwrap_or(link.added_at);
            let old = now.saturating_duration_since(since) >= forget;
            if member.state == MemberState::Gone && !link.listed && old {
                self.members.remove(at);
                self.links.remove(at);
            } else {
                at += 1;
            }
        }
    }

    /// When an own beat was sent, `None` when it is too long ago.
    pub(crate) fn beat_sent_at(&self, sequence: u64) -> Option<Instant> {
        self.beats.iter().find(|it| it.0 == sequence).map(|it| it.1)
    }

    /// Sets the state of this host, which the next tick tells everybody.
    fn set_own_state(&mut self, state: MemberState, now: Instant) {
        let own = self.own();
        if self.members[own].state != state {
            self.members[own].state = state;
            self.changed_at = now;
            self.next_beat = now;
        }
    }

    /// State of this host.
    fn own_state(&self) -> MemberState {
        self.members[self.own()].state
    }

    /// Position of this host.
    pub(crate) fn own(&self) -> usize {
        self.position(&self.identity.name).expect("the own host is always a member")
    }

    /// Whether a member is another host of the own zone.
    fn is_mate(&self, member: &Member) -> bool {
        member.zone == self.identity.zone && member.name != self.identity.name
    }

    /// Whether something happened within the time after which its absence means isolation.
    fn is_fresh(&self, at: Option<Instant>, now: Instant) -> bool {
        at.is_some_and(|it| now.saturating_duration_since(it) < self.isolated_after())
    }

    /// Whether a member was heard within a time.
    fn heard_within(&self, member: &Member, time_ms: u64, now: Instant) -> bool {
        let time = Duration::from_millis(time_ms);
        member
            .last_heard
            .is_some_and(|it| now.saturating_duration_since(it.max(self.awake_since)) < time)
    }

    /// Time without news after which the host is isolated.
    fn isolated_after(&self) -> Duration {
        Duration::from_millis(self.settings.isolated_ms)
    }

    /// Where a host stands among the members.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|it| it.name.as_str().cmp(name)).ok()
    }

    /// Profiles of all members that are not gone, as many as one message holds.
    pub(crate) fn roster(&self) -> Vec<Profile> {
        let mut size_bytes = 0;
        let known = self.members.iter().filter(|it| it.incarnation > 0);
        let profiles = known.filter(|it| it.state != MemberState::Gone).map(profile);
        let fits = |it: &Profile| {
            let addresses: usize = it.public_addresses.iter().map(|it| it.len() + 8).sum();
            size_bytes += it.name.len() + it.zone.len() + addresses + 64;
            size_bytes < ROSTER_BYTES
        };
        profiles.take_while(fits).collect()
    }
}

impl Link {
    /// Knowledge about a member that was just added.
    pub(crate) fn new(member: &Member, now: Instant) -> Self {
        Self {
            added_at: now,
            listed: false,
            leaving: false,
            sequence: 0,
            announced: MemberState::Starting,
            vouched: None,
            failed_at: None,
            lost_by_peer: false,
            confirmed: None,
            documents_hash: 0,
            has_profile: false,
            answer_due: false,
            sent_at: None,
            platform_at: None,
            zones_heard: None,
            sections: Vec::new(),
            digest_id: crate::digest::digest_id(&member.name, member.incarnation),
        }
    }
}

/// The part of a member that does not change.
pub(crate) fn profile(member: &Member) -> Profile {
    Profile {
        name: member.name.clone(),
        zone: member.zone.clone(),
        incarnation: member.incarnation,
        peer_address: member.peer_address,
        public_addresses: member.public_addresses.clone(),
    }
}

/// The empty documents that settings ask for.
fn documents_for(settings: &FleetSettings) -> Documents {
    Documents::new(settings.chunk_store_bytes, Duration::from_millis(settings.retry_ms))
}
