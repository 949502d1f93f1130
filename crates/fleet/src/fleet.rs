//! Membership view of one host, with the periodic work that maintains it.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    digest::SentDigest,
    document::{ApplyOutcome, Document, Documents},
    member::{HostIdentity, ListedHost, Member, MemberState},
    message::Message,
    peer_state::PeerState,
    settings::FleetSettings,
};

/// Longest time between two evaluations of all members; short against the suspicion timeouts.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Membership view and documents of one host.
///
/// Performs no I/O and reads no clock: the caller passes received messages and the current time,
/// and sends the returned messages.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) identity: HostIdentity,
    pub(crate) settings: FleetSettings,
    /// Source of randomness for the choice among equivalent peers and the spread of rounds in time.
    pub(crate) rng: SmallRng,
    /// All known hosts including the local one, sorted by name.
    pub(crate) members: Vec<Member>,
    /// Index of the local host in `members`, cached because a search for each use is expensive.
    pub(crate) local_index: usize,
    /// Number of hosts in the local zone that are not gone, including the local one.
    pub(crate) zone_host_count: usize,
    /// Silence after which a member of the local zone is suspected; by default four of the
    /// heartbeat intervals inside the zone.
    pub(crate) zone_suspect_timeout_ms: u64,
    /// Time of the last evaluation of all members.
    pub(crate) refreshed_at: Instant,
    /// Internal state about each member, in the order of `members`.
    pub(crate) peer_states: Vec<PeerState>,
    pub(crate) documents: Documents,
    /// Names of documents that were updated since the last call of `take_updated_documents`.
    pub(crate) updated_documents: Vec<String>,
    /// Whether the next messages announce the document versions.
    pub(crate) announcement_due: bool,
    /// Sections of the next heartbeats, sorted by kind.
    pub(crate) sections: Vec<(u16, Vec<u8>)>,
    /// Sequence number of the last heartbeat round.
    pub(crate) sequence: u64,
    /// Sequence numbers and times of the last heartbeat rounds, in ascending order.
    pub(crate) sent_rounds: Vec<(u64, Instant)>,
    pub(crate) next_round_at: Instant,
    /// Rounds since the last one that included the local zone, `None` if the next one must.
    pub(crate) rounds_since_local_zone: Option<u64>,
    pub(crate) last_tick: Instant,
    /// Start of the process or end of its last pause. Silence of peers before it is no evidence.
    pub(crate) running_since: Instant,
    /// Whether a pause was detected since the last call of `take_pause_detected`.
    pub(crate) pause_detected: bool,
    /// Time at which this host last reached the platform itself.
    pub(crate) platform_reached_at: Option<Instant>,
    pub(crate) membership_changed_at: Instant,
    /// Last sent digest entries of each zone.
    pub(crate) sent_digests: Vec<SentDigest>,
    /// Whether to request digests about silent hosts of other zones.
    pub(crate) digest_request_due: bool,
    /// Peer to request a roster from as soon as the last request is old enough.
    pub(crate) pending_roster_request: Option<String>,
    pub(crate) roster_requested_at: Option<Instant>,
    /// Time of the last request for document versions since `running_since`.
    pub(crate) versions_requested_at: Option<Instant>,
    /// Whether a peer has sent its document versions since `running_since`.
    pub(crate) versions_received: bool,
}

/// Connectivity of a host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reachability {
    /// Whether this host or a peer of its zone reached the platform within the isolation timeout.
    pub platform: bool,
    /// Number of other zones from which this host, or a peer of its zone, received a heartbeat
    /// within the isolation timeout; the largest number reported by one of them.
    pub reachable_zones: usize,
}

/// Latest heartbeat round of this process that a peer acknowledged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AckedHeartbeat {
    /// Sequence number of the round.
    pub sequence: u64,
    /// Time at which the round was sent, not the time of the acknowledgement.
    pub sent_at: Instant,
}

impl Fleet {
    /// Creates a view that contains only the local host, in state [`MemberState::Starting`]. `seed`
    /// initializes the random number generator.
    pub fn new(identity: HostIdentity, seed: u64, now: Instant) -> Self {
        let settings = FleetSettings::default();
        let documents = empty_documents(&settings);
        let local = Member {
            name: identity.name.clone(),
            zone: identity.zone.clone(),
            incarnation: identity.incarnation,
            state: MemberState::Starting,
            peer_address: identity.peer_address,
            public_addresses: identity.public_addresses.clone(),
            last_heartbeat_at: None,
            load_permille: 0,
        };
        let local_peer_state = PeerState::new(&local, now);
        Self {
            identity,
            zone_suspect_timeout_ms: settings.suspect_timeout_ms,
            settings,
            rng: SmallRng::seed_from_u64(seed),
            members: vec![local],
            local_index: 0,
            zone_host_count: 1,
            refreshed_at: now,
            peer_states: vec![local_peer_state],
            documents,
            updated_documents: Vec::new(),
            announcement_due: false,
            sections: Vec::new(),
            sequence: 0,
            sent_rounds: Vec::new(),
            next_round_at: now,
            rounds_since_local_zone: None,
            last_tick: now,
            running_since: now,
            pause_detected: false,
            platform_reached_at: None,
            membership_changed_at: now,
            sent_digests: Vec::new(),
            digest_request_due: false,
            pending_roster_request: None,
            roster_requested_at: None,
            versions_requested_at: None,
            versions_received: false,
        }
    }

    /// Replaces the settings. Must be called before the first use because it clears the documents.
    pub fn with_settings(mut self, settings: FleetSettings) -> Self {
        self.documents = empty_documents(&settings);
        self.zone_suspect_timeout_ms = settings.suspect_timeout_ms;
        self.settings = settings;
        self
    }

    /// Adds the seeds of the settings, which are contacted even if the platform is unavailable.
    pub fn with_seeds(mut self, seeds: &[ListedHost], now: Instant) -> Self {
        for seed in seeds {
            self.add_listed_host(seed, now);
        }
        self
    }

    /// Returns the identity of the local host.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Changes the local host's state from starting to live; a draining host remains draining.
    pub fn set_live(&mut self, now: Instant) {
        if self.local_state() == MemberState::Starting {
            self.set_local_state(MemberState::Live, now);
        }
    }

    /// Changes the local host's state from draining back to live.
    pub fn cancel_drain(&mut self, now: Instant) {
        if self.local_state() == MemberState::Draining {
            self.set_local_state(MemberState::Live, now);
        }
    }

    /// Changes the local host's state to draining.
    pub fn set_draining(&mut self, now: Instant) {
        self.set_local_state(MemberState::Draining, now);
    }

    /// Sets the load that heartbeats report; 1,000 means fully used.
    pub fn set_load(&mut self, load_permille: u16) {
        let local = self.local_index;
        self.members[local].load_permille = load_permille;
    }

    /// Sets the content of a heartbeat section, which heartbeats contain until it is replaced.
    /// Empty content removes the section.
    pub fn set_section(&mut self, kind: u16, bytes: Vec<u8>) {
        self.sections.retain(|it| it.0 != kind);
        if !bytes.is_empty() {
            self.sections.push((kind, bytes));
            self.sections.sort_unstable();
        }
    }

    /// Applies the platform's list of hosts. The list adds hosts and marks draining ones, but does
    /// not remove a host from which heartbeats arrive, since the list may be outdated.
    pub fn apply_platform_hosts(&mut self, list: &[ListedHost], now: Instant) {
        for peer in &mut self.peer_states {
            peer.listed = false;
            peer.listed_as_draining = false;
        }
        for host in list {
            self.add_listed_host(host, now);
        }
        self.refresh_members(now);
    }

    /// Records that the platform responded to this host.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.platform_reached_at = Some(now);
    }

    /// Records that a stream to a host failed or was refused.
    pub fn record_stream_failure(&mut self, host: &str, now: Instant) {
        if let Some(index) = self.index_of(host).filter(|it| *it != self.local_index) {
            self.peer_states[index].stream_failed_at = Some(now);
            self.peer_states[index].has_local_profile = false;
            self.refresh_members(now);
        }
    }

    /// Performs all due work and returns the messages to send as pairs of receiver and message. To
    /// be called every 50 ms.
    pub fn tick(&mut self, now: Instant) -> Vec<(String, Message)> {
        self.detect_pause(now);
        self.last_tick = now;
        if now >= self.next_round_at
            || now.saturating_duration_since(self.refreshed_at) >= REFRESH_INTERVAL
        {
            self.refresh_members(now);
        }
        let mut res = Vec::new();
        if now >= self.next_round_at {
            self.send_heartbeats(now, &mut res);
            let interval = Duration::from_millis(self.settings.heartbeat_interval_ms);
            // The first interval is shortened at random, so that hosts started together do not
            // send their heartbeats simultaneously.
            let spread = if self.sequence == 1 { self.rng.random_range(0.5..1.0) } else { 1.0 };
            let next = self.next_round_at + interval.mul_f64(spread);
            self.next_round_at = if next > now { next } else { now + interval };
            self.remove_gone_members(now);
        }
        self.request_digests(now, &mut res);
        if let Some(peer) = self.pending_roster_request.take() {
            self.request_roster(&peer, now, &mut res);
        }
        self.synchronize_documents(now, &mut res);
        res
    }

    /// Returns all known hosts including the local one, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with a name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.index_of(name).map(|index| &self.members[index])
    }

    /// Returns the content of a section in the latest heartbeat of a host.
    pub fn section(&self, host: &str, kind: u16) -> Option<&[u8]> {
        let sections = &self.peer_states[self.index_of(host)?].sections;
        sections.iter().find(|it| it.0 == kind).map(|it| it.1.as_slice())
    }

    /// Returns the sequence number of the last heartbeat round, 0 before the first one. Sections
    /// that are set now have reached a host once it acknowledges a higher number.
    pub fn heartbeat_sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the latest heartbeat round that a host acknowledged, among those sent since the
    /// process started or was last paused.
    pub fn last_acked_heartbeat(&self, host: &str) -> Option<AckedHeartbeat> {
        self.peer_states[self.index_of(host)?].last_ack
    }

    /// Whether membership changed within the last `membership_change_window_ms`.
    pub fn is_membership_changing(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.membership_changed_at);
        age < Duration::from_millis(self.settings.membership_change_window_ms)
    }

    /// Returns the speakers of a zone in order of rank: the hosts that exchange heartbeats and
    /// digests with other zones. Draining hosts are speakers only if the zone has no live or
    /// starting host.
    pub fn speakers(&self, zone: &str) -> Vec<&str> {
        let is_usable =
            |it: &&Member| matches!(it.state, MemberState::Live | MemberState::Starting);
        let ranked = self.ranked_members(zone, 0, is_usable);
        if !ranked.is_empty() {
            return ranked;
        }
        self.ranked_members(zone, 0, |it| it.state == MemberState::Draining)
    }

    /// Whether this host is a speaker of its zone.
    pub fn is_speaker(&self) -> bool {
        self.speaker_rank().is_some()
    }

    /// Returns the rank of this host among the speakers of its zone, from 0.
    pub(crate) fn speaker_rank(&self) -> Option<usize> {
        self.speakers(&self.identity.zone).iter().position(|it| *it == self.identity.name)
    }

    /// Returns what this host reaches itself or through peers of its zone.
    pub fn reachability(&self, now: Instant) -> Reachability {
        let is_recent = |time: Option<Instant>| self.is_within_isolation_timeout(time, now);
        let zone_peers =
            || self.peer_states.iter().zip(&self.members).filter(|it| self.is_zone_peer(it.1));
        let platform = is_recent(self.platform_reached_at)
            || zone_peers().any(|it| is_recent(it.0.platform_reached_at));
        let reported =
            zone_peers().filter_map(|it| it.0.reachable_zones).filter(|it| is_recent(Some(it.0)));
        let reported = reported.map(|it| usize::from(it.1)).max().unwrap_or(0);
        Reachability { platform, reachable_zones: reported.max(self.directly_reachable_zones(now)) }
    }

    /// Whether neither the platform nor any other zone was reachable for the isolation timeout,
    /// from this host or a peer of its zone, and the process was running all that time.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let running_time = now.saturating_duration_since(self.running_since);
        let reachability = self.reachability(now);
        running_time >= self.isolation_timeout()
            && !reachability.platform
            && reachability.reachable_zones == 0
    }

    /// Returns whether the process was paused since the last call. State derived before the pause
    /// may be outdated.
    pub fn take_pause_detected(&mut self) -> bool {
        std::mem::take(&mut self.pause_detected)
    }

    /// Whether a peer has sent its document versions since the process started or was last paused,
    /// and no peer has a newer version. Remains false without peers; in that case the documents
    /// come from the platform.
    pub fn is_caught_up(&self) -> bool {
        self.versions_received && !self.documents.is_behind()
    }

    /// Applies a document from the platform or from a write of this host. A newer version is
    /// announced to peers with the next messages.
    pub fn apply_document(&mut self, name: &str, version: u64, bytes: &[u8]) -> ApplyOutcome {
        let outcome = self.documents.apply(name, version, bytes);
        self.record_document_update(name, outcome);
        outcome
    }

    /// Returns the latest known version of a document.
    pub fn document(&self, name: &str) -> Option<&Document> {
        self.documents.document(name)
    }

    /// Returns the names of documents that were updated since the last call.
    pub fn take_updated_documents(&mut self) -> Vec<String> {
        std::mem::take(&mut self.updated_documents)
    }

    /// Returns the documents and chunks.
    pub fn documents(&self) -> &Documents {
        &self.documents
    }

    /// Returns the documents and chunks for modification. Documents must be changed with
    /// [`Fleet::apply_document`], which announces them.
    pub fn documents_mut(&mut self) -> &mut Documents {
        &mut self.documents
    }

    /// Schedules the announcement of a document that was updated.
    pub(crate) fn record_document_update(&mut self, name: &str, outcome: ApplyOutcome) {
        if outcome == ApplyOutcome::Applied {
            self.announcement_due = true;
            if !self.updated_documents.iter().any(|it| it == name) {
                self.updated_documents.push(name.to_owned());
            }
        }
    }

    /// Sets the local host's state. A change makes the next tick start a heartbeat round that includes
    /// the local zone.
    fn set_local_state(&mut self, state: MemberState, now: Instant) {
        let local = self.local_index;
        if self.members[local].state != state {
            self.members[local].state = state;
            self.membership_changed_at = now;
            self.next_round_at = now;
            self.rounds_since_local_zone = None;
        }
    }

    fn local_state(&self) -> MemberState {
        self.members[self.local_index].state
    }
}

/// Creates an empty document store with the limits of the settings.
fn empty_documents(settings: &FleetSettings) -> Documents {
    Documents::new(settings.chunk_store_bytes, Duration::from_millis(settings.request_timeout_ms))
}
