//! What a fleet sends by itself: heartbeats, announcements and requests.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    member::MemberState,
    message::{Heartbeat, Message},
    roster::profile,
};

/// Sent beats that are remembered to find out when a confirmed one was sent.
const REMEMBERED_BEATS: usize = 64;

impl Fleet {
    /// Starts over when the last tick is so long ago that the process must have been paused.
    /// Messages may be handled before the first tick after a pause, so both call it.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        let late = now.saturating_duration_since(self.last_tick);
        if late > Duration::from_millis(self.settings.pause_threshold_ms) {
            self.last_tick = now;
            self.resume(now);
        }
    }

    /// Forgets what a pause made doubtful.
    pub(crate) fn resume(&mut self, now: Instant) {
        self.resumed = true;
        self.awake_since = now;
        self.changed_at = now;
        self.next_beat = now;
        self.beats_since_zone = None;
        self.platform_at = None;
        self.versions_asked_at = None;
        self.versions_heard = false;
        for link in &mut self.links {
            link.confirmed = None;
            link.documents_hash = 0;
            link.platform_at = None;
            link.reachable_zones = None;
        }
    }

    /// Sends a heartbeat to every host that expects one.
    pub(crate) fn beat(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        self.sequence += 1;
        self.beats.push((self.sequence, now));
        if self.beats.len() > REMEMBERED_BEATS {
            self.beats.remove(0);
        }
        // Word that was lost, or sent while the sender took this host for a speaker, is asked for
        // again.
        self.digest_due |= (0..self.members.len()).any(|at| self.is_unvouched(at, now));
        let to_zone = self.beats_to_zone();
        self.beats_since_zone =
            Some(if to_zone { 1 } else { self.beats_since_zone.unwrap_or(0) + 1 });
        let due = self.due_entries(self.beats_to_zones(), to_zone, now);
        let common = self.common_heartbeat(now);
        for (at, is_reply) in self.targets(to_zone, now) {
            let mut heartbeat = self.heartbeat(at, is_reply, &common);
            let member = &self.members[at];
            if member.zone != self.identity.zone {
                heartbeat.digest.clone_from(&due.for_remote);
            } else if !due.speakers.contains(&member.name) {
                heartbeat.digest.clone_from(&due.for_zone);
            }
            self.links[at].sent_at = Some(now);
            res.push((self.members[at].name.clone(), Message::Heartbeat(heartbeat)));
        }
        for link in &mut self.links {
            link.answer_due = false;
        }
    }

    /// The members that the next beat goes to, and whether it is only an answer.
    pub(crate) fn targets(&self, to_zone: bool, now: Instant) -> Vec<(usize, bool)> {
        let probe = Duration::from_millis(self.settings.probe_interval_ms);
        let probe_due = |at: usize| {
            self.links[at].sent_at.is_none_or(|it| now.saturating_duration_since(it) >= probe)
        };
        let own_zone = &self.identity.zone;
        let mates = (0..self.members.len()).filter(|at| {
            let member = &self.members[*at];
            to_zone
                && member.zone == *own_zone
                && (member.state != MemberState::Gone || probe_due(*at))
        });
        let mut res: Vec<(usize, bool)> = mates.map(|it| (it, false)).collect();
        let mut remote = Vec::new();
        if let Some(rank) = self.rank() {
            let zones = self.zones().into_iter().filter(|it| it != own_zone);
            let zones: Vec<(String, Vec<usize>)> =
                zones.map(|it| (it.clone(), self.speaker_positions(&it))).collect();
            let count: usize = zones.iter().map(|it| it.1.len()).sum();
            let rank = (count > self.settings.max_full_mesh_speakers).then_some(rank);
            let targets = |(zone, speakers): (String, Vec<usize>)| match rank {
                Some(rank) if !speakers.is_empty() => self.paired(speakers, rank, now),
                None if !speakers.is_empty() => speakers,
                _ => self.tried_targets(&zone, probe_due),
            };
            remote.extend(zones.into_iter().flat_map(targets));
        }
        if self.beats_to_zones() {
            res.extend(remote.iter().map(|it| (*it, false)));
        }
        // Two hosts whose views of the speakers differ still hear each other.
        let answers = (0..self.links.len()).filter(|at| {
            self.links[*at].answer_due
                && self.members[*at].zone != *own_zone
                && !remote.contains(at)
        });
        res.extend(answers.map(|it| (it, true)));
        res.retain(|it| it.0 != self.own);
        res
    }

    /// The speaker of another zone that has the rank of this host, and all of them while that one
    /// is silent. A zone with fewer speakers has several of the other one at each.
    fn paired(&self, speakers: Vec<usize>, rank: usize, now: Instant) -> Vec<usize> {
        let partner = speakers[rank % speakers.len()];
        if self.heard_within(&self.members[partner], self.settings.paired_speaker_timeout_ms, now) {
            return vec![partner];
        }
        speakers
    }

    /// Members of another zone to send heartbeats to while nobody there is known to live:
    /// different ones in turn.
    fn tried_targets(&self, zone: &str, probe_due: impl Fn(usize) -> bool) -> Vec<usize> {
        let turn = self.sequence / 10;
        let tried = self.ranked(zone, turn, |_| true).into_iter();
        let mut tried: Vec<usize> = tried.filter_map(|it| self.position(it)).collect();
        tried.retain(|at| self.members[*at].state != MemberState::Gone || probe_due(*at));
        tried
    }

    /// Where the speakers of a zone stand among the members, in order of rank.
    fn speaker_positions(&self, zone: &str) -> Vec<usize> {
        self.speakers(zone).into_iter().filter_map(|it| self.position(it)).collect()
    }

    /// Whether the present beat goes to the own zone.
    fn beats_to_zone(&self) -> bool {
        self.beats_since_zone.is_none_or(|it| it >= self.interval_beats())
    }

    /// Whether the present beat goes to other zones: the interval is twice that inside one.
    fn beats_to_zones(&self) -> bool {
        self.sequence % 2 == 1
    }

    /// The part of a heartbeat that is equal for all members.
    fn common_heartbeat(&self, now: Instant) -> Heartbeat {
        let own = &self.members[self.own];
        Heartbeat {
            incarnation: own.incarnation,
            sequence: self.sequence,
            state: own.state,
            is_reply: false,
            load_permille: own.load_permille,
            ack_incarnation: 0,
            ack_sequence: 0,
            reaches_platform: self.is_fresh(self.platform_at, now),
            reachable_zones: u16::try_from(self.directly_reachable_zones(now)).unwrap_or(u16::MAX),
            documents_hash: self.documents.versions_hash(),
            document_versions: Vec::new(),
            unreachable_peers: Vec::new(),
            profile: None,
            sections: self.sections.clone(),
            digest: Vec::new(),
        }
    }

    /// The heartbeat for one member.
    fn heartbeat(&self, to: usize, is_reply: bool, common: &Heartbeat) -> Heartbeat {
        let (member, link) = (&self.members[to], &self.links[to]);
        let own = &self.members[self.own];
        let mut res = Heartbeat { is_reply, ..common.clone() };
        if member.last_heartbeat_at.is_some() {
            res.ack_incarnation = member.incarnation;
            res.ack_sequence = link.sequence;
        }
        if link.documents_hash != common.documents_hash {
            res.document_versions = self.documents.versions();
        }
        if member.zone == own.zone {
            let lost = self.links.iter().zip(&self.members).filter(|it| it.0.failed_at.is_some());
            let lost = lost.filter(|it| it.1.zone == own.zone);
            res.unreachable_peers = lost.map(|it| it.1.name.clone()).collect();
        }
        if !link.has_profile {
            res.profile = Some(profile(own));
        }
        res
    }

    /// Announces new versions and asks for what peers have and this host lacks.
    pub(crate) fn request_state(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        let has_requests = self.documents.has_requests();
        if !self.announce && self.versions_heard && !has_requests {
            return;
        }
        if std::mem::take(&mut self.announce) {
            let versions = self.documents.versions();
            let hash = self.documents.versions_hash();
            let partners = self.partners(now);
            let behind = partners.into_iter().filter(|it| self.links[*it].documents_hash != hash);
            res.extend(behind.map(|at| {
                (self.members[at].name.clone(), Message::DocumentVersions(versions.clone()))
            }));
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
        let retry = Duration::from_millis(self.settings.request_timeout_ms);
        let asked = self.versions_asked_at;
        let due = asked.is_none_or(|it| now.saturating_duration_since(it) >= retry);
        if !self.versions_heard && due && !peers.is_empty() {
            self.versions_asked_at = Some(now);
            let asked = peers.iter().take(2);
            res.extend(
                asked.map(|at| (self.members[*at].name.clone(), Message::DocumentVersionsRequest)),
            );
        }
        let names: Vec<&str> = peers.iter().map(|at| self.members[*at].name.as_str()).collect();
        res.extend(self.documents.requests(&names, now));
    }

    /// When an own beat was sent, `None` when it is too long ago.
    pub(crate) fn beat_sent_at(&self, sequence: u64) -> Option<Instant> {
        self.beats.iter().find(|it| it.0 == sequence).map(|it| it.1)
    }
}
