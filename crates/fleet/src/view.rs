//! Judgement of the evidence about members.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::Fleet,
    member::{Member, MemberState},
};

impl Fleet {
    /// Recomputes the states of all members.
    pub(crate) fn refresh(&mut self, now: Instant) {
        self.refreshed_at = now;
        self.update_interval();
        for at in 0..self.members.len() {
            self.refresh_member(at, now);
        }
    }

    /// Recomputes the state of one member.
    pub(crate) fn refresh_member(&mut self, at: usize, now: Instant) {
        let state = self.evaluated(at, now);
        if self.members[at].state == state {
            return;
        }
        self.members[at].state = state;
        self.changed_at = now;
        if state == MemberState::Suspected && self.members[at].zone != self.identity.zone {
            // It may only have ceased to be a speaker; those of its zone know.
            self.digest_due = true;
        }
        if state == MemberState::Gone {
            let name = self.members[at].name.clone();
            self.documents.forget_peer(&name);
            self.links[at].documents_hash = 0;
        }
    }

    /// The state that the evidence about a member supports.
    pub(crate) fn evaluated(&self, at: usize, now: Instant) -> MemberState {
        let (member, link) = (&self.members[at], &self.links[at]);
        if at == self.own {
            return member.state;
        }
        let zone_matches = member.zone == self.identity.zone;
        let settings = &self.settings;
        let suspect_ms =
            if zone_matches { self.suspect_mate_ms } else { settings.remote_suspect_timeout_ms };
        let suspect = Duration::from_millis(suspect_ms);
        // Silence while this process was paused is not the member's.
        let silent_since = member.last_heartbeat_at.unwrap_or(link.added_at).max(self.awake_since);
        let silence = now.saturating_duration_since(silent_since);
        if member.last_heartbeat_at.is_some() && silence < suspect && link.failed_at.is_none() {
            let draining = link.draining && link.announced == MemberState::Live;
            return if draining { MemberState::Draining } else { link.announced };
        }
        if let Some(state) = self.vouched_state(at, now) {
            return state;
        }
        let process_gone = link.failed_at.is_some() && link.lost_by_peer && zone_matches;
        if process_gone || silence >= Duration::from_millis(settings.gone_timeout_ms) {
            return MemberState::Gone;
        }
        MemberState::Suspected
    }

    /// The state that a speaker vouches for.
    fn vouched_state(&self, at: usize, now: Instant) -> Option<MemberState> {
        let by = self.voucher(at, now)?;
        let holds = self.heard_lately(by, now) || self.is_replaced(by, now);
        holds.then(|| self.links[at].vouched.as_ref().map(|it| it.state)).flatten()
    }

    /// The speaker whose word about a member is newer than the own evidence and not outdated.
    fn voucher(&self, at: usize, now: Instant) -> Option<&Member> {
        let (member, link) = (&self.members[at], &self.links[at]);
        let vouched = link.vouched.as_ref()?;
        let age = now.saturating_duration_since(vouched.at);
        // Word that is older than the own evidence says nothing new.
        let newer = member.last_heartbeat_at.is_none_or(|it| vouched.at > it)
            && link.failed_at.is_none_or(|it| vouched.at > it);
        let valid = newer && age < Duration::from_millis(self.settings.relayed_state_ttl_ms);
        let hinted = self.members.get(vouched.by_hint).filter(|it| it.name == vouched.by);
        let by = hinted.or_else(|| self.member(&vouched.by))?;
        (valid && member.zone != self.identity.zone).then_some(by)
    }

    /// Whether a speaker fell silent a short time ago while others of its zone are still heard. Its
    /// word holds until its successor repeats or corrects it; in a zone that is cut off, nobody is
    /// heard, and its hosts would otherwise count as live until the last digest is old.
    fn is_replaced(&self, speaker: &Member, now: Instant) -> bool {
        let zone = &speaker.zone;
        self.heard_within(speaker, self.settings.gone_timeout_ms, now)
            && self.members.iter().any(|it| self.heard_lately(it, now) && it.zone == *zone)
    }

    /// Whether a host of another zone is silent here and no speaker that is heard says anything
    /// about it.
    pub(crate) fn is_unvouched(&self, at: usize, now: Instant) -> bool {
        let member = &self.members[at];
        let silent = Duration::from_millis(self.settings.paired_speaker_timeout_ms);
        // A former partner is silent as expected: its zone is asked before it counts as suspected.
        let unpaired = |it: Instant| now.saturating_duration_since(it) >= silent;
        let left = self.links[at].sent_at.is_none_or(unpaired)
            && !self.heard_within(member, self.settings.paired_speaker_timeout_ms, now);
        member.zone != self.identity.zone
            && member.incarnation > 0
            && (left || !self.heard_lately(member, now))
            && self.voucher(at, now).is_none_or(|it| !self.heard_lately(it, now))
    }

    /// Whether a member was heard within the time after which its silence is suspicious.
    fn heard_lately(&self, member: &Member, now: Instant) -> bool {
        let settings = &self.settings;
        let time_ms = if member.zone == self.identity.zone {
            settings.remote_suspect_timeout_ms.max(self.suspect_mate_ms)
        } else {
            settings.remote_suspect_timeout_ms
        };
        self.heard_within(member, time_ms, now)
    }

    /// Beats from one heartbeat inside the own zone to the next.
    pub(crate) fn interval_beats(&self) -> u64 {
        let settings = &self.settings;
        let hosts = u64::try_from(self.zone_hosts).unwrap_or(u64::MAX);
        let dense = u64::try_from(settings.hosts_per_interval_step.max(1)).unwrap_or(u64::MAX);
        hosts.div_ceil(dense).clamp(1, settings.max_zone_interval_rounds)
    }

    /// Derives the interval inside the own zone, and the time of a suspicion there, from its size.
    fn update_interval(&mut self) {
        let zone = &self.identity.zone;
        let counted = |it: &&Member| it.state != MemberState::Gone && it.zone == *zone;
        self.zone_hosts = self.members.iter().filter(counted).count();
        self.suspect_mate_ms = self.settings.suspect_timeout_ms * self.interval_beats();
    }

    /// Members that this host heard lately and that are neither suspected nor gone.
    pub(crate) fn partners(&self, now: Instant) -> Vec<usize> {
        let usable = |at: &usize| {
            let member = &self.members[*at];
            *at != self.own
                && member.state < MemberState::Suspected
                && self.heard_lately(member, now)
        };
        (0..self.members.len()).filter(usable).collect()
    }

    /// Other zones of which this host itself heard a host lately.
    pub(crate) fn directly_reachable_zones(&self, now: Instant) -> usize {
        let recent = |it: &&Member| self.is_fresh(it.last_heartbeat_at, now);
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
    pub(crate) fn ranked(
        &self,
        zone: &str,
        turn: u64,
        qualifies: impl Fn(&&Member) -> bool,
    ) -> Vec<&str> {
        let of_zone = self.members.iter().filter(|it| it.zone == zone);
        let mut res: Vec<(u64, &str)> = of_zone
            .filter(qualifies)
            .map(|it| (xxh3_64(format!("{}/{turn}", it.name).as_bytes()), it.name.as_str()))
            .collect();
        res.sort_unstable();
        res.truncate(self.settings.speakers_per_zone);
        res.into_iter().map(|it| it.1).collect()
    }

    /// Whether a member is another host of the own zone.
    pub(crate) fn is_mate(&self, member: &Member) -> bool {
        member.zone == self.identity.zone && member.name != self.identity.name
    }

    /// Whether something happened within the time after which its absence means isolation.
    pub(crate) fn is_fresh(&self, at: Option<Instant>, now: Instant) -> bool {
        at.is_some_and(|it| now.saturating_duration_since(it) < self.isolated_after())
    }

    /// Whether a member was heard within a time.
    pub(crate) fn heard_within(&self, member: &Member, time_ms: u64, now: Instant) -> bool {
        let time = Duration::from_millis(time_ms);
        member
            .last_heartbeat_at
            .is_some_and(|it| now.saturating_duration_since(it.max(self.awake_since)) < time)
    }

    /// Time without news after which the host is isolated.
    pub(crate) fn isolated_after(&self) -> Duration {
        Duration::from_millis(self.settings.isolation_timeout_ms)
    }

    /// Where a host stands among the members.
    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|it| it.name.as_str().cmp(name)).ok()
    }
}
