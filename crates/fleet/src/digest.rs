//! What speakers tell about hosts that the receiver does not hear itself.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::Fleet,
    link::Vouched,
    member::{Member, MemberState},
    message::{Digest, DigestEntry, Message},
};

impl Fleet {
    /// Sends digests that changed or are due: of the own zone to the speakers of other zones, and
    /// by the first speaker of other zones to the own one.
    pub(crate) fn send_digests(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        if !self.is_speaker() {
            self.digests_sent.clear();
            return;
        }
        let own_zone = self.identity.zone.clone();
        if let Some(digest) = self.due_digest(&own_zone, now) {
            let partners = self.partners(now).into_iter();
            let remote = partners.filter(|at| self.members[*at].zone != own_zone);
            res.extend(
                remote.map(|at| (self.members[at].name.clone(), Message::Digest(digest.clone()))),
            );
        }
        let first = self.speakers(&own_zone).first() == Some(&self.identity.name.as_str());
        if !first {
            self.digests_sent.retain(|it| it.0 == own_zone);
            return;
        }
        let speakers: Vec<String> =
            self.speakers(&own_zone).into_iter().map(str::to_owned).collect();
        let mut entries = Vec::new();
        for zone in self.zones().into_iter().filter(|it| *it != own_zone) {
            entries.extend(self.due_digest(&zone, now).into_iter().flat_map(|it| it.entries));
        }
        if entries.is_empty() {
            return;
        }
        let mates = self.partners(now).into_iter().filter(|at| {
            let member = &self.members[*at];
            member.zone == own_zone && !speakers.contains(&member.name)
        });
        let digest = Digest { entries };
        res.extend(
            mates.map(|at| (self.members[at].name.clone(), Message::Digest(digest.clone()))),
        );
    }

    /// Takes the word of a speaker; whether it names a host that is not known here.
    pub(crate) fn take_digest(&mut self, from: usize, digest: &Digest, now: Instant) -> bool {
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
        for entry in &digest.entries {
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
                self.links[at].vouched = Some(Vouched { at: now, state: entry.state, by });
                if self.members[at].last_heard.is_none_or(|it| !self.is_recent(it, now)) {
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

    /// Asks speakers about hosts that ceased to be heard: this host's own first speaker, or when
    /// this host is a speaker, one of each zone concerned.
    pub(crate) fn ask_for_digests(&mut self, now: Instant, res: &mut Vec<(String, Message)>) {
        if !std::mem::take(&mut self.digest_due) {
            return;
        }
        let own_zone = self.identity.zone.as_str();
        let silent = |it: &&Member| it.state == MemberState::Suspected && it.zone != own_zone;
        let mut zones: Vec<&str> = if self.is_speaker() {
            self.members.iter().filter(silent).map(|it| it.zone.as_str()).collect()
        } else {
            vec![own_zone]
        };
        zones.dedup();
        zones.sort_unstable();
        zones.dedup();
        let partners = self.partners(now);
        let heard = |it: &&str| partners.iter().any(|at| self.members[*at].name == **it);
        let asked = zones.iter().filter_map(|it| self.speakers(it).into_iter().find(heard));
        res.extend(asked.map(|it| (it.to_owned(), Message::DigestRequest)));
    }

    /// The digest of a zone when it differs from the last one sent or that one is old.
    fn due_digest(&mut self, zone: &str, now: Instant) -> Option<Digest> {
        let interval = Duration::from_millis(self.settings.digest_ms);
        let digest = self.digest(zone);
        let hash = digest_hash(&digest);
        let last = self.digests_sent.iter_mut().find(|it| it.0 == zone);
        if let Some(last) = last {
            if last.1 == hash && now.saturating_duration_since(last.2) < interval {
                return None;
            }
            (last.1, last.2) = (hash, now);
        } else {
            self.digests_sent.push((zone.to_owned(), hash, now));
        }
        (!digest.entries.is_empty()).then_some(digest)
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
        let time = Duration::from_millis(self.settings.suspect_remote_ms);
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

/// Hash by which an unchanged digest is recognised.
fn digest_hash(digest: &Digest) -> u64 {
    let mut bytes = Vec::with_capacity(digest.entries.len() * 6);
    for it in &digest.entries {
        bytes.extend_from_slice(&it.id.to_le_bytes());
        bytes.extend_from_slice(&[it.state as u8, it.load_percent]);
    }
    xxh3_64(&bytes)
}
