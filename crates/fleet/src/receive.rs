//! Handling of messages from other hosts.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    fleet::{AckedHeartbeat, Fleet},
    message::{Heartbeat, Message},
};

const MIN_ROSTER_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Handles a message from a host whose name the transport has authenticated. Returns the
    /// messages to send in response as pairs of receiver and message.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        now: Instant,
    ) -> Vec<(String, Message)> {
        self.detect_pause(now);
        let mut res = Vec::new();
        let mut reply = |it| res.push((from.to_owned(), it));
        match message {
            Message::Heartbeat(it) => self.apply_heartbeat(from, it, now, &mut res),
            Message::DocumentRequest(it) => {
                reply(Message::DocumentReply(self.documents.document_reply(&it)));
            }
            Message::DocumentReply(it) => {
                let outcome = self.documents.apply_document_reply(from, &it);
                self.documents.record_peer_versions(from, &[(it.name.clone(), it.version)]);
                self.record_document_update(&it.name, outcome);
                self.synchronize_documents(now, &mut res);
            }
            Message::ChunkRequest(it) => {
                reply(Message::ChunkReply(self.documents.chunk_reply(&it)));
            }
            Message::ChunkReply(it) => {
                self.documents.apply_chunk_reply(from, &it);
                self.synchronize_documents(now, &mut res);
            }
            Message::DocumentVersions(it) => {
                self.versions_received = true;
                self.documents.record_peer_versions(from, &it);
                self.synchronize_documents(now, &mut res);
            }
            Message::DocumentVersionsRequest => {
                reply(Message::DocumentVersions(self.documents.versions()))
            }
            Message::Digest(it) => {
                let has_unknown = self
                    .index_of(from)
                    .is_some_and(|index| self.apply_digest(index, &it.entries, now));
                if has_unknown {
                    self.request_roster(from, now, &mut res);
                }
            }
            Message::DigestRequest => {
                if let Some(digest) = self.digest_for(from) {
                    reply(Message::Digest(digest));
                }
            }
            Message::RosterRequest => {
                reply(Message::Roster(self.roster()));
                // The requester could not apply the last digest to hosts unknown to it.
                if let Some(digest) = self.digest_for(from) {
                    reply(Message::Digest(digest));
                }
            }
            Message::Roster(it) => {
                for profile in &it {
                    self.apply_profile(profile, now);
                }
                self.refresh_members(now);
            }
        }
        res
    }

    /// Applies a heartbeat unless it is a duplicate, out of order, or from an unknown process.
    fn apply_heartbeat(
        &mut self,
        from: &str,
        heartbeat: Heartbeat,
        now: Instant,
        res: &mut Vec<(String, Message)>,
    ) {
        let profile = heartbeat
            .profile
            .as_ref()
            .filter(|it| it.name == from && it.incarnation == heartbeat.incarnation);
        let index = match profile {
            Some(it) => self.apply_profile(it, now),
            None => self.index_of(from),
        };
        let Some(index) = index.filter(|it| *it != self.local_index) else { return };
        if heartbeat.incarnation != self.members[index].incarnation {
            // The heartbeat is from an unknown process and has no profile. A reply that does not
            // acknowledge this process makes the sender add the profile.
            let is_newer = heartbeat.incarnation > self.members[index].incarnation;
            self.peer_states[index].reply_due |= is_newer;
            return;
        }
        if heartbeat.sequence <= self.peer_states[index].last_sequence {
            return;
        }
        let is_first = self.members[index].last_heartbeat_at.is_none();
        self.members[index].last_heartbeat_at = Some(now);
        self.members[index].load_permille = heartbeat.load_permille;
        let local_incarnation = self.identity.incarnation;
        let acks_local_process = heartbeat.ack_incarnation == local_incarnation;
        let sent_at = self.heartbeat_sent_at(heartbeat.ack_sequence).filter(|_| acks_local_process);
        // A heartbeat sent before a pause proves nothing about the time after it.
        let sent_at = sent_at.filter(|it| *it >= self.running_since);
        let peer = &mut self.peer_states[index];
        peer.last_sequence = heartbeat.sequence;
        peer.reported_state = heartbeat.state;
        peer.stream_failed_at = None;
        peer.unreachable_for_zone_peer = false;
        peer.has_local_profile = acks_local_process;
        peer.reply_due |= !heartbeat.is_reply;
        peer.sections = heartbeat.sections;
        peer.documents_hash = heartbeat.documents_hash;
        if let Some(sent_at) = sent_at
            && peer.last_ack.is_none_or(|it| it.sequence < heartbeat.ack_sequence)
        {
            peer.last_ack = Some(AckedHeartbeat { sequence: heartbeat.ack_sequence, sent_at });
        }
        if heartbeat.reaches_platform {
            peer.platform_reached_at = Some(now);
        }
        peer.reachable_zones =
            (heartbeat.reachable_zones > 0).then_some((now, heartbeat.reachable_zones));
        if self.members[index].zone == self.identity.zone {
            for name in &heartbeat.unreachable_peers {
                if let Some(unreachable) = self.index_of(name) {
                    self.peer_states[unreachable].unreachable_for_zone_peer = true;
                    self.refresh_member(unreachable, now);
                }
            }
        }
        self.documents.record_peer_versions(from, &heartbeat.document_versions);
        self.refresh_member(index, now);
        let has_unknown =
            !heartbeat.digest.is_empty() && self.apply_digest(index, &heartbeat.digest, now);
        if is_first || has_unknown {
            self.request_roster(from, now, res);
        }
        self.synchronize_documents(now, res);
    }

    /// Requests the roster of a peer, or defers the request if the last one is too recent.
    pub(crate) fn request_roster(
        &mut self,
        from: &str,
        now: Instant,
        res: &mut Vec<(String, Message)>,
    ) {
        let is_recent =
            |it: Instant| now.saturating_duration_since(it) < MIN_ROSTER_REQUEST_INTERVAL;
        if self.roster_requested_at.is_some_and(is_recent) {
            self.pending_roster_request = Some(from.to_owned());
            return;
        }
        self.pending_roster_request = None;
        self.roster_requested_at = Some(now);
        res.push((from.to_owned(), Message::RosterRequest));
    }
}
