//! What a fleet does with the messages of other hosts.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    fleet::{AckedHeartbeat, Fleet},
    message::{Heartbeat, Message},
};

/// Shortest time between two requests for a roster.
const ROSTER_INTERVAL: Duration = Duration::from_secs(1);

impl Fleet {
    /// Takes a message of a host, whose name the transport has verified.
    pub fn receive(
        &mut self,
        from: &str,
        message: Message,
        now: Instant,
    ) -> Vec<(String, Message)> {
        self.notice_pause(now);
        let mut res = Vec::new();
        let mut answer = |it| res.push((from.to_owned(), it));
        match message {
            Message::Heartbeat(it) => self.take_heartbeat(from, it, now, &mut res),
            Message::DocumentRequest(it) => {
                answer(Message::DocumentReply(self.documents.answer_document(&it)));
            }
            Message::DocumentReply(it) => {
                let offered = self.documents.take_document(from, &it);
                self.documents.note_versions(from, &[(it.name.clone(), it.version)]);
                self.record_document_update(&it.name, offered);
                self.request_state(now, &mut res);
            }
            Message::ChunkRequest(it) => {
                answer(Message::ChunkReply(self.documents.answer_chunk(&it)));
            }
            Message::ChunkReply(it) => {
                self.documents.take_chunk(from, &it);
                self.request_state(now, &mut res);
            }
            Message::DocumentVersions(it) => {
                self.versions_heard = true;
                self.documents.note_versions(from, &it);
                self.request_state(now, &mut res);
            }
            Message::DocumentVersionsRequest => {
                answer(Message::DocumentVersions(self.documents.versions()))
            }
            Message::Digest(it) => {
                let unknown =
                    self.position(from).is_some_and(|at| self.take_digest(at, &it.entries, now));
                if unknown {
                    self.ask_for_roster(from, now, &mut res);
                }
            }
            Message::DigestRequest => {
                if let Some(digest) = self.digest_for(from) {
                    answer(Message::Digest(digest));
                }
            }
            Message::RosterRequest => {
                answer(Message::Roster(self.roster()));
                // The asker could not apply the last digest to hosts it did not know.
                if let Some(digest) = self.digest_for(from) {
                    answer(Message::Digest(digest));
                }
            }
            Message::Roster(it) => {
                for profile in &it {
                    self.add_profile(profile, now);
                }
                self.refresh(now);
            }
        }
        res
    }

    /// Takes a sign of life.
    fn take_heartbeat(
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
        let at = match profile {
            Some(it) => self.add_profile(it, now),
            None => self.position(from),
        };
        let Some(at) = at.filter(|it| *it != self.own) else { return };
        if heartbeat.incarnation != self.members[at].incarnation {
            // A heartbeat of an unknown process without its profile; the answer, which does not
            // name the process as heard, makes the sender add the profile.
            let newer = heartbeat.incarnation > self.members[at].incarnation;
            self.links[at].answer_due |= newer;
            return;
        }
        if heartbeat.sequence <= self.links[at].sequence {
            return;
        }
        let first = self.members[at].last_heartbeat_at.is_none();
        self.members[at].last_heartbeat_at = Some(now);
        self.members[at].load_permille = heartbeat.load_permille;
        let own_incarnation = self.identity.incarnation;
        let confirms = heartbeat.ack_incarnation == own_incarnation;
        let sent_at = self.beat_sent_at(heartbeat.ack_sequence).filter(|_| confirms);
        // A beat that left before a pause confirms nothing about the time after it.
        let sent_at = sent_at.filter(|it| *it >= self.awake_since);
        let link = &mut self.links[at];
        link.sequence = heartbeat.sequence;
        link.announced = heartbeat.state;
        link.failed_at = None;
        link.lost_by_peer = false;
        link.has_profile = confirms;
        link.answer_due |= !heartbeat.is_reply;
        link.sections = heartbeat.sections;
        link.documents_hash = heartbeat.documents_hash;
        if let Some(sent_at) = sent_at
            && link.confirmed.is_none_or(|it| it.sequence < heartbeat.ack_sequence)
        {
            link.confirmed = Some(AckedHeartbeat { sequence: heartbeat.ack_sequence, sent_at });
        }
        if heartbeat.reaches_platform {
            link.platform_at = Some(now);
        }
        link.reachable_zones =
            (heartbeat.reachable_zones > 0).then_some((now, heartbeat.reachable_zones));
        if self.members[at].zone == self.identity.zone {
            for name in &heartbeat.unreachable_peers {
                if let Some(lost) = self.position(name) {
                    self.links[lost].lost_by_peer = true;
                    self.refresh_member(lost, now);
                }
            }
        }
        self.documents.note_versions(from, &heartbeat.document_versions);
        self.refresh_member(at, now);
        let unknown = !heartbeat.digest.is_empty() && self.take_digest(at, &heartbeat.digest, now);
        if first || unknown {
            self.ask_for_roster(from, now, res);
        }
        self.request_state(now, res);
    }

    /// Asks a peer for the hosts it knows, later when another was just asked.
    pub(crate) fn ask_for_roster(
        &mut self,
        from: &str,
        now: Instant,
        res: &mut Vec<(String, Message)>,
    ) {
        let recent = |it: Instant| now.saturating_duration_since(it) < ROSTER_INTERVAL;
        if self.roster_asked_at.is_some_and(recent) {
            self.roster_due = Some(from.to_owned());
            return;
        }
        self.roster_due = None;
        self.roster_asked_at = Some(now);
        res.push((from.to_owned(), Message::RosterRequest));
    }
}
