//! What speakers tell about hosts that the receiver does not hear itself.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::Fleet,
    link::Vouched,
    member::MemberState,
    message::{Digest, DigestEntry, Message},
};

/// What a speaker tells with one beat.
#[derive(Debug, Default)]
pub(crate) struct DueEntries {
    /// For hosts of other zones.
    pub(crate) for_remote: Vec<DigestEntry>,
    /// For hosts of the own zone that are no speakers.
    pub(crate) for_zone: Vec<DigestEntry>,
    /// The speakers of the own zone.
    pub(crate) speakers: Vec<String>,
}

/// The last entries of a zone that were sent.
#[derive(Debug)]
pub(crate) struct SentDigest {
    /// The zone.
    pub(crate) zone: String,
    /// The entries.
    pub(crate) entries: Vec<DigestEntry>,
    /// When all of them were last sent.
    pub(crate) complete_at: Instant,
}

impl Fleet {
    /// What a speaker adds to the heartbeats of one beat, for other zones and for its own: entries
    /// that changed since they were last sent, and from time to time all.
    pub(crate) fn due_entries(
        &mut self,
        to_remote: bool,
        to_zone: bool,
        now: Instant,
    ) -> DueEntries {
        let mut res = DueEntries::default();
        let own_zone = self.identity.zone.clone();
        let Some(rank) = self.rank() else {
            self.digests_sent.clear();
            return res;
        };
        let speakers = self.speakers(&own_zone).into_iter();
        let speakers: Vec<String> = speakers.map(str::to_owned).collect();
        if to_remote {
            res.for_remote = self.changed_entries(&own_zone, now);
        }
        if !to_zone {
            return res;
        }
        // The speakers share the work: each relays every second one of the other zones.
        let zones = self.zones().into_iter().filter(|it| *it != own_zone);
        for (number, zone) in zones.enumerate() {
            if number % speakers.len() == rank {
                res.for_zone.extend(self.changed_entries(&zone, now));
            } else {
                self.digests_sent.retain(|it| it.zone != zone);
            }
        }
        res.speakers = speakers;
        res
    }

    /// Takes the word of a speaker; whether it names a host that is not known here.
    pub(crate) fn take_digest(
        &mut self,
        from: usize,
        entries: &[DigestEntry],
        now: Instant,
    ) -> bool {
        let (by, from_zone) = (self.members[from].name.clone(), self.members[from].zone.clone());
        let own_zone = self.identity.zone.clone();
        // A speaker hears the speakers of other zones itself and needs no relayed word.
        if from_zone == own_zone && self.is_speaker() {
            return false;
        }
        let mut ids: Vec<(u32, usize)> =
            self.links.iter().enumerate().map(|(at, it)| (it.digest_id, at)).collect();
        ids.sort_unstable();
        let mut unknown = false;
        for entry in entries {
            let Ok(found) = ids.binary_search_by_key(&entry.id, |it| it.0) else {
                unknown |= entry.state != MemberState::Gone;
                continue;
            };
            let at = ids[found].1;
            let zone = &self.members[at].zone;
            let authoritative =
                if from_zone == own_zone { *zone != own_zone } else { *zone == from_zone };
            if authoritative && at != from {
                let by = by.clone();
                self.links[at].vouched =
                    Some(Vouched { at: now, state: entry.state, by, by_hint: from });
                if self.members[at].last_heartbeat_at.is_none_or(|it| !self.is_recent(it, now)) {
                    self.members[at].load_permille = u16::from(entry.load_percent) * 10;
                }
            }
        }
        self.refresh(now);
        unknown
    }

    /// What this host tells a peer as a speaker: its own zone to another one, the others to its own.
    pub(crate) fn digest_for(&self, peer: &str) -> Option<Digest> {
        let zone = &self.members[self.position(peer)?].zone;
        if !self.is_speaker() {
            return None;
        }
        let own_zone = &self.identity.zone;
        if zone != own_zone {
            return Some(self.digest(own_zone));
        }
        let others = self.zones().into_iter().filter(|it| it != own_zone);
        Some(Digest { entries: others.flat_map(|it| self.digest(&it).entries).collect() })
    }

    /// Asks speakers about hosts that ceased to be heard: those of this host's own zone, or when
    /// this host is a speaker, one of each zone concerned.
    pub(crate) fn ask_for_digests(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        if !std::mem::take(&mut self.digest_due) {
            return;
        }
        let own_zone = self.identity.zone.as_str();
        let unvouched = (0..self.members.len()).filter(|at| self.is_unvouched(*at, now));
        let mut zones: Vec<&str> = if self.is_speaker() {
            unvouched.map(|at| self.members[at].zone.as_str()).collect()
        } else {
            vec![own_zone]
        };
        zones.sort_unstable();
        zones.dedup();
        let partners = self.partners(now);
        let heard = |it: &&str| partners.iter().any(|at| self.members[*at].name == **it);
        let asked = zones.iter().filter_map(|it| self.speakers(it).into_iter().find(heard));
        res.extend(asked.map(|it| (it.to_owned(), Message::DigestRequest)));
    }

    /// Entries of a zone that changed since they were last sent, all when that is long ago.
    fn changed_entries(&mut self, zone: &str, now: Instant) -> Vec<DigestEntry> {
        let interval = Duration::from_millis(self.settings.full_digest_interval_ms);
        let entries = self.digest(zone).entries;
        let Some(sent) = self.digests_sent.iter_mut().find(|it| it.zone == zone) else {
            let (zone, sent) = (zone.to_owned(), entries.clone());
            self.digests_sent.push(SentDigest { zone, entries: sent, complete_at: now });
            return entries;
        };
        let former = std::mem::replace(&mut sent.entries, entries.clone());
        if now.saturating_duration_since(sent.complete_at) >= interval {
            sent.complete_at = now;
            return entries;
        }
        entries.into_iter().filter(|it| !former.contains(it)).collect()
    }

    /// The states of the hosts of a zone in this host's view.
    fn digest(&self, zone: &str) -> Digest {
        let known = self.members.iter().zip(&self.links);
        let known = known.filter(|it| it.0.zone == zone && it.0.incarnation > 0);
        let entries = known.map(|(member, link)| DigestEntry {
            id: link.digest_id,
            state: member.state,
            load_percent: coarse_percent(member.load_permille),
        });
        Digest { entries: entries.collect() }
    }

    /// Whether an instant lies within the time of a suspicion.
    fn is_recent(&self, at: Instant, now: Instant) -> bool {
        let time = Duration::from_millis(self.settings.remote_suspect_timeout_ms);
        now.saturating_duration_since(at) < time
    }
}

/// Identifier of one process in digests.
pub(crate) fn digest_id(name: &str, incarnation: u64) -> u32 {
    let hash = xxh3_64(format!("{name}/{incarnation}").as_bytes());
    u32::try_from(hash >> 32).expect("the upper half fits")
}

/// Load in steps of 20 percent: finer steps would send a digest at most beats of a busy zone.
fn coarse_percent(load_permille: u16) -> u8 {
    let steps = (u32::from(load_permille.min(2_000)) + 100) / 200;
    u8::try_from(steps * 20).expect("at most 200")
}
