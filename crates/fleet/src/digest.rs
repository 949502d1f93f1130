//! Digests: member states that speakers relay between zones.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::Fleet,
    member::MemberState,
    message::{Digest, DigestEntry, Message},
    peer_state::RelayedState,
};

/// Digest entries that a speaker adds to the heartbeats of one round.
#[derive(Debug, Default)]
pub(crate) struct DigestUpdates {
    pub(crate) for_other_zones: Vec<DigestEntry>,
    /// Entries for hosts of the local zone that are not speakers.
    pub(crate) for_local_zone: Vec<DigestEntry>,
    /// Names of the speakers of the local zone.
    pub(crate) speakers: Vec<String>,
}

/// Latest entries of a zone that were sent, from which changes are derived.
#[derive(Debug)]
pub(crate) struct SentDigest {
    pub(crate) zone: String,
    pub(crate) entries: Vec<DigestEntry>,
    /// Time at which all entries were last sent.
    pub(crate) full_digest_at: Instant,
}

impl Fleet {
    /// Returns the digest entries that a speaker adds to the heartbeats of this round, and records
    /// them as sent: entries that changed since the last time, or all of them if the last full
    /// digest is older than `full_digest_interval_ms`. Empty if this host is not a speaker.
    pub(crate) fn take_digest_updates(
        &mut self,
        to_other_zones: bool,
        to_local_zone: bool,
        now: Instant,
    ) -> DigestUpdates {
        let mut res = DigestUpdates::default();
        let local_zone = self.identity.zone.clone();
        let Some(rank) = self.speaker_rank() else {
            self.sent_digests.clear();
            return res;
        };
        let speakers = self.speakers(&local_zone).into_iter();
        let speakers: Vec<String> = speakers.map(str::to_owned).collect();
        if to_other_zones {
            res.for_other_zones = self.changed_entries(&local_zone, now);
        }
        if !to_local_zone {
            return res;
        }
        // The other zones are divided among the speakers, so that one speaker relays each.
        let zones = self.zones().into_iter().filter(|it| *it != local_zone);
        for (number, zone) in zones.enumerate() {
            if number % speakers.len() == rank {
                res.for_local_zone.extend(self.changed_entries(&zone, now));
            } else {
                self.sent_digests.retain(|it| it.zone != zone);
            }
        }
        res.speakers = speakers;
        res
    }

    /// Applies the digest entries of a speaker. Returns whether they contain a host that is not
    /// gone and not known here.
    pub(crate) fn apply_digest(
        &mut self,
        speaker_index: usize,
        entries: &[DigestEntry],
        now: Instant,
    ) -> bool {
        let (speaker, from_zone) =
            (self.members[speaker_index].name.clone(), self.members[speaker_index].zone.clone());
        let local_zone = self.identity.zone.clone();
        // Speakers receive the digests of other zones directly and need no relay.
        if from_zone == local_zone && self.is_speaker() {
            return false;
        }
        let mut ids: Vec<(u32, usize)> =
            self.peer_states.iter().enumerate().map(|(index, it)| (it.digest_id, index)).collect();
        ids.sort_unstable();
        let mut has_unknown = false;
        for entry in entries {
            let Ok(found) = ids.binary_search_by_key(&entry.id, |it| it.0) else {
                has_unknown |= entry.state != MemberState::Gone;
                continue;
            };
            let index = ids[found].1;
            let zone = &self.members[index].zone;
            let is_authoritative =
                if from_zone == local_zone { *zone != local_zone } else { *zone == from_zone };
            if is_authoritative && index != speaker_index {
                let speaker = speaker.clone();
                self.peer_states[index].relayed_state = Some(RelayedState {
                    received_at: now,
                    state: entry.state,
                    speaker,
                    speaker_index_hint: speaker_index,
                });
                if self.members[index]
                    .last_heartbeat_at
                    .is_none_or(|it| !self.is_within_remote_suspect_timeout(it, now))
                {
                    self.members[index].load_permille = u16::from(entry.load_percent) * 10;
                }
            }
        }
        self.refresh_members(now);
        has_unknown
    }

    /// Returns this host's full digest for a peer: the local zone for a peer in another zone, all
    /// other zones for a peer in the local zone. `None` if the peer is unknown or this host is not
    /// a speaker.
    pub(crate) fn digest_for(&self, peer: &str) -> Option<Digest> {
        let zone = &self.members[self.index_of(peer)?].zone;
        if !self.is_speaker() {
            return None;
        }
        let local_zone = &self.identity.zone;
        if zone != local_zone {
            return Some(self.zone_digest(local_zone));
        }
        let others = self.zones().into_iter().filter(|it| it != local_zone);
        Some(Digest { entries: others.flat_map(|it| self.zone_digest(&it).entries).collect() })
    }

    /// Requests digests about silent hosts of other zones: from a speaker of the local zone, or, if
    /// this host is a speaker, from one speaker of each zone concerned.
    pub(crate) fn request_digests(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        if !std::mem::take(&mut self.digest_request_due) {
            return;
        }
        let local_zone = self.identity.zone.as_str();
        let unreported = (0..self.members.len()).filter(|index| self.needs_digest(*index, now));
        let mut zones: Vec<&str> = if self.is_speaker() {
            unreported.map(|index| self.members[index].zone.as_str()).collect()
        } else {
            vec![local_zone]
        };
        zones.sort_unstable();
        zones.dedup();
        let peers = self.responsive_peers(now);
        let is_responsive = |it: &&str| peers.iter().any(|index| self.members[*index].name == **it);
        let targets =
            zones.iter().filter_map(|it| self.speakers(it).into_iter().find(is_responsive));
        res.extend(targets.map(|it| (it.to_owned(), Message::DigestRequest)));
    }

    /// Returns the entries of a zone that changed since they were last sent, or all of them if a
    /// full digest is due, and records them as sent.
    fn changed_entries(&mut self, zone: &str, now: Instant) -> Vec<DigestEntry> {
        let interval = Duration::from_millis(self.settings.full_digest_interval_ms);
        let entries = self.zone_digest(zone).entries;
        let Some(sent) = self.sent_digests.iter_mut().find(|it| it.zone == zone) else {
            let (zone, sent) = (zone.to_owned(), entries.clone());
            self.sent_digests.push(SentDigest { zone, entries: sent, full_digest_at: now });
            return entries;
        };
        let previous = std::mem::replace(&mut sent.entries, entries.clone());
        if now.saturating_duration_since(sent.full_digest_at) >= interval {
            sent.full_digest_at = now;
            return entries;
        }
        entries.into_iter().filter(|it| !previous.contains(it)).collect()
    }

    /// Creates the full digest of a zone from this host's evaluation of the members.
    fn zone_digest(&self, zone: &str) -> Digest {
        let known = self.members.iter().zip(&self.peer_states);
        let known = known.filter(|it| it.0.zone == zone && it.0.incarnation > 0);
        let entries = known.map(|(member, peer)| DigestEntry {
            id: peer.digest_id,
            state: member.state,
            load_percent: quantized_load_percent(member.load_permille),
        });
        Digest { entries: entries.collect() }
    }

    fn is_within_remote_suspect_timeout(&self, time: Instant, now: Instant) -> bool {
        let timeout = Duration::from_millis(self.settings.remote_suspect_timeout_ms);
        now.saturating_duration_since(time) < timeout
    }
}

/// Computes the identifier of one process in digests.
pub(crate) fn digest_id(name: &str, incarnation: u64) -> u32 {
    let hash = xxh3_64(format!("{name}/{incarnation}").as_bytes());
    u32::try_from(hash >> 32).expect("the upper half fits into 32 bits")
}

/// Quantizes a load to steps of 20 percent. With finer steps, a busy zone would send an update in
/// most rounds.
fn quantized_load_percent(load_permille: u16) -> u8 {
    let steps = (u32::from(load_permille.min(2_000)) + 100) / 200;
    u8::try_from(steps * 20).expect("at most 200")
}
