//! Outgoing messages: heartbeat rounds, announcements and requests.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    member::MemberState,
    message::{Heartbeat, Message},
    roster::profile_of,
};

/// Maximum number of heartbeat rounds whose sending times are retained, so that an acknowledgement
/// can be matched with the time at which the acknowledged round was sent.
const MAX_SENT_ROUNDS: usize = 64;

impl Fleet {
    /// Resets the state if the time since the last tick shows that the process was paused. Called
    /// by `tick` and `receive`, since messages may be handled before the first tick after a pause.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let since_last_tick = now.saturating_duration_since(self.last_tick);
        if since_last_tick > Duration::from_millis(self.settings.pause_threshold_ms) {
            self.last_tick = now;
            self.reset_after_pause(now);
        }
    }

    /// Discards state that may be outdated after a pause of the process.
    pub(crate) fn reset_after_pause(&mut self, now: Instant) {
        self.pause_detected = true;
        self.running_since = now;
        self.membership_changed_at = now;
        self.next_round_at = now;
        self.rounds_since_local_zone = None;
        self.platform_reached_at = None;
        self.versions_requested_at = None;
        self.versions_received = false;
        for peer in &mut self.peer_states {
            peer.last_ack = None;
            peer.documents_hash = 0;
            peer.platform_reached_at = None;
            peer.reachable_zones = None;
        }
    }

    /// Sends the heartbeats of one round.
    pub(crate) fn send_heartbeats(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        self.sequence += 1;
        self.sent_rounds.push((self.sequence, now));
        if self.sent_rounds.len() > MAX_SENT_ROUNDS {
            self.sent_rounds.remove(0);
        }
        // Requests digests that were lost, or omitted because the sender took this host for a
        // speaker.
        self.digest_request_due |=
            (0..self.members.len()).any(|index| self.needs_digest(index, now));
        let to_local_zone = self.sends_to_local_zone();
        self.rounds_since_local_zone =
            Some(if to_local_zone { 1 } else { self.rounds_since_local_zone.unwrap_or(0) + 1 });
        let updates = self.take_digest_updates(self.sends_to_other_zones(), to_local_zone, now);
        let template = self.heartbeat_template(now);
        for (index, is_reply) in self.heartbeat_targets(to_local_zone, now) {
            let mut heartbeat = self.heartbeat_for(index, is_reply, &template);
            let member = &self.members[index];
            if member.zone != self.identity.zone {
                heartbeat.digest.clone_from(&updates.for_other_zones);
            } else if !updates.speakers.contains(&member.name) {
                heartbeat.digest.clone_from(&updates.for_local_zone);
            }
            self.peer_states[index].sent_at = Some(now);
            res.push((self.members[index].name.clone(), Message::Heartbeat(heartbeat)));
        }
        for peer in &mut self.peer_states {
            peer.reply_due = false;
        }
    }

    /// Returns the indices of the members that receive a heartbeat in this round, each with
    /// whether the heartbeat is only a reply.
    pub(crate) fn heartbeat_targets(
        &self,
        to_local_zone: bool,
        now: Instant,
    ) -> Vec<(usize, bool)> {
        let probe_interval = Duration::from_millis(self.settings.probe_interval_ms);
        let is_probe_due = |index: usize| {
            self.peer_states[index]
                .sent_at
                .is_none_or(|it| now.saturating_duration_since(it) >= probe_interval)
        };
        let local_zone = &self.identity.zone;
        let zone_peers = (0..self.members.len()).filter(|index| {
            let member = &self.members[*index];
            to_local_zone
                && member.zone == *local_zone
                && (member.state != MemberState::Gone || is_probe_due(*index))
        });
        let mut res: Vec<(usize, bool)> = zone_peers.map(|it| (it, false)).collect();
        let mut remote = Vec::new();
        if let Some(rank) = self.speaker_rank() {
            let zones = self.zones().into_iter().filter(|it| it != local_zone);
            let zones: Vec<(String, Vec<usize>)> =
                zones.map(|it| (it.clone(), self.speaker_indices(&it))).collect();
            let remote_speakers: usize = zones.iter().map(|it| it.1.len()).sum();
            let pair_rank =
                (remote_speakers > self.settings.max_full_mesh_speakers).then_some(rank);
            let targets = |(zone, speakers): (String, Vec<usize>)| match pair_rank {
                Some(rank) if !speakers.is_empty() => {
                    self.paired_speaker_targets(speakers, rank, now)
                }
                None if !speakers.is_empty() => speakers,
                _ => self.silent_zone_targets(&zone, is_probe_due),
            };
            remote.extend(zones.into_iter().flat_map(targets));
        }
        if self.sends_to_other_zones() {
            res.extend(remote.iter().map(|it| (*it, false)));
        }
        // Replies keep the exchange alive between two hosts whose views of the speakers differ.
        let replies = (0..self.peer_states.len()).filter(|index| {
            self.peer_states[*index].reply_due
                && self.members[*index].zone != *local_zone
                && !remote.contains(index)
        });
        res.extend(replies.map(|it| (it, true)));
        res.retain(|it| it.0 != self.local_index);
        res
    }

    /// Returns the speaker of another zone that has the rank of this host, or all speakers of the
    /// zone while that one is silent. In a zone with fewer speakers than the local one, each is
    /// paired with several speakers of the local zone.
    fn paired_speaker_targets(
        &self,
        speakers: Vec<usize>,
        rank: usize,
        now: Instant,
    ) -> Vec<usize> {
        let paired = speakers[rank % speakers.len()];
        let timeout_ms = self.settings.paired_speaker_timeout_ms;
        if self.has_heartbeat_within(&self.members[paired], timeout_ms, now) {
            return vec![paired];
        }
        speakers
    }

    /// Returns members of another zone to send heartbeats to while the zone has no known speaker.
    /// The selection changes every ten rounds.
    fn silent_zone_targets(&self, zone: &str, is_probe_due: impl Fn(usize) -> bool) -> Vec<usize> {
        let turn = self.sequence / 10;
        let ranked = self.ranked_members(zone, turn, |_| true).into_iter();
        let mut res: Vec<usize> = ranked.filter_map(|it| self.index_of(it)).collect();
        res.retain(|index| self.members[*index].state != MemberState::Gone || is_probe_due(*index));
        res
    }

    /// Returns the indices of the speakers of a zone in order of rank.
    fn speaker_indices(&self, zone: &str) -> Vec<usize> {
        self.speakers(zone).into_iter().filter_map(|it| self.index_of(it)).collect()
    }

    /// Whether the current round includes the local zone.
    fn sends_to_local_zone(&self) -> bool {
        self.rounds_since_local_zone.is_none_or(|it| it >= self.zone_interval_rounds())
    }

    /// Whether the current round includes other zones, which is every second one.
    fn sends_to_other_zones(&self) -> bool {
        self.sequence % 2 == 1
    }

    /// Creates a heartbeat with the fields that are equal for all receivers.
    fn heartbeat_template(&self, now: Instant) -> Heartbeat {
        let local = &self.members[self.local_index];
        Heartbeat {
            incarnation: local.incarnation,
            sequence: self.sequence,
            state: local.state,
            is_reply: false,
            load_permille: local.load_permille,
            ack_incarnation: 0,
            ack_sequence: 0,
            reaches_platform: self.is_within_isolation_timeout(self.platform_reached_at, now),
            reachable_zones: u16::try_from(self.directly_reachable_zones(now)).unwrap_or(u16::MAX),
            documents_hash: self.documents.versions_hash(),
            document_versions: Vec::new(),
            unreachable_peers: Vec::new(),
            profile: None,
            sections: self.sections.clone(),
            digest: Vec::new(),
        }
    }

    /// Completes the template for one receiver.
    fn heartbeat_for(&self, to: usize, is_reply: bool, template: &Heartbeat) -> Heartbeat {
        let (member, peer) = (&self.members[to], &self.peer_states[to]);
        let local = &self.members[self.local_index];
        let mut res = Heartbeat { is_reply, ..template.clone() };
        if member.last_heartbeat_at.is_some() {
            res.ack_incarnation = member.incarnation;
            res.ack_sequence = peer.last_sequence;
        }
        if peer.documents_hash != template.documents_hash {
            res.document_versions = self.documents.versions();
        }
        if member.zone == local.zone {
            let members = self.peer_states.iter().zip(&self.members);
            let unreachable = members.filter(|it| it.0.stream_failed_at.is_some());
            let unreachable = unreachable.filter(|it| it.1.zone == local.zone);
            res.unreachable_peers = unreachable.map(|it| it.1.name.clone()).collect();
        }
        if !peer.has_local_profile {
            res.profile = Some(profile_of(local));
        }
        res
    }

    /// Announces new document versions and requests the versions, documents and chunks that peers
    /// have and this host lacks.
    pub(crate) fn synchronize_documents(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        let has_missing_content = self.documents.has_missing_content();
        if !self.announcement_due && self.versions_received && !has_missing_content {
            return;
        }
        if std::mem::take(&mut self.announcement_due) {
            let versions = self.documents.versions();
            let hash = self.documents.versions_hash();
            let peers = self.responsive_peers(now);
            let differing =
                peers.into_iter().filter(|it| self.peer_states[*it].documents_hash != hash);
            res.extend(differing.map(|index| {
                (self.members[index].name.clone(), Message::DocumentVersions(versions.clone()))
            }));
        }
        // Peers in the local zone come first because they answer fastest.
        let mut peers = self.responsive_peers(now);
        peers.sort_by_key(|index| self.members[*index].zone != self.identity.zone);
        let zone_peer_count =
            peers.iter().filter(|index| self.members[**index].zone == self.identity.zone).count();
        if zone_peer_count > 1 {
            // The random start distributes the requests of hosts that learn of a change together.
            let start = self.rng.random_range(0..zone_peer_count);
            peers[..zone_peer_count].rotate_left(start);
        }
        let request_timeout = Duration::from_millis(self.settings.request_timeout_ms);
        let requested_at = self.versions_requested_at;
        let is_request_due =
            requested_at.is_none_or(|it| now.saturating_duration_since(it) >= request_timeout);
        if !self.versions_received && is_request_due && !peers.is_empty() {
            self.versions_requested_at = Some(now);
            let sources = peers.iter().take(2);
            res.extend(sources.map(|index| {
                (self.members[*index].name.clone(), Message::DocumentVersionsRequest)
            }));
        }
        let names: Vec<&str> =
            peers.iter().map(|index| self.members[*index].name.as_str()).collect();
        res.extend(self.documents.due_requests(&names, now));
    }

    /// Returns the time at which a heartbeat round was sent, or `None` if the round is older than
    /// the retained ones.
    pub(crate) fn heartbeat_sent_at(&self, sequence: u64) -> Option<Instant> {
        self.sent_rounds.iter().find(|it| it.0 == sequence).map(|it| it.1)
    }
}
