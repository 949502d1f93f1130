//! Failure detection: evaluation of member states, and selection of speakers and responsive peers.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    fleet::Fleet,
    member::{Member, MemberState},
};

impl Fleet {
    /// Evaluates the states of all members again.
    pub(crate) fn refresh_members(&mut self, now: Instant) {
        self.refreshed_at = now;
        self.update_zone_interval();
        for index in 0..self.members.len() {
            self.refresh_member(index, now);
        }
    }

    /// Evaluates the state of one member again and records a change.
    pub(crate) fn refresh_member(&mut self, index: usize, now: Instant) {
        let state = self.evaluate_member(index, now);
        if self.members[index].state == state {
            return;
        }
        self.members[index].state = state;
        self.membership_changed_at = now;
        if state == MemberState::Suspected && self.members[index].zone != self.identity.zone {
            // The member may merely have lost its speaker role, which the speakers of its zone
            // know.
            self.digest_request_due = true;
        }
        if state == MemberState::Gone {
            let name = self.members[index].name.clone();
            self.documents.remove_peer(&name);
            self.peer_states[index].documents_hash = 0;
        }
    }

    /// Evaluates the state of a member: from its own report if a heartbeat is recent, otherwise
    /// from digests, otherwise from stream failures and silence.
    pub(crate) fn evaluate_member(&self, index: usize, now: Instant) -> MemberState {
        let (member, peer) = (&self.members[index], &self.peer_states[index]);
        if index == self.local_index {
            return member.state;
        }
        let is_in_local_zone = member.zone == self.identity.zone;
        let settings = &self.settings;
        let suspect_timeout_ms = if is_in_local_zone {
            self.zone_suspect_timeout_ms
        } else {
            settings.remote_suspect_timeout_ms
        };
        let suspect_timeout = Duration::from_millis(suspect_timeout_ms);
        // Time during which this process was paused does not count as silence of the member.
        let silent_since =
            member.last_heartbeat_at.unwrap_or(peer.added_at).max(self.running_since);
        let silence = now.saturating_duration_since(silent_since);
        if member.last_heartbeat_at.is_some()
            && silence < suspect_timeout
            && peer.stream_failed_at.is_none()
        {
            let is_draining = peer.listed_as_draining && peer.reported_state == MemberState::Live;
            return if is_draining { MemberState::Draining } else { peer.reported_state };
        }
        if let Some(state) = self.valid_relayed_state(index, now) {
            return state;
        }
        // Failed streams from this host and from a zone peer show that the process has ended, so
        // that the timeout need not be awaited.
        let has_ended =
            peer.stream_failed_at.is_some() && peer.unreachable_for_zone_peer && is_in_local_zone;
        if has_ended || silence >= Duration::from_millis(settings.gone_timeout_ms) {
            return MemberState::Gone;
        }
        MemberState::Suspected
    }

    /// Returns the state of a member that a speaker relayed, if it is still valid.
    fn valid_relayed_state(&self, index: usize, now: Instant) -> Option<MemberState> {
        let speaker = self.relaying_speaker(index, now)?;
        let is_valid =
            self.is_responsive(speaker, now) || self.is_recently_lost_speaker(speaker, now);
        is_valid
            .then(|| self.peer_states[index].relayed_state.as_ref().map(|it| it.state))
            .flatten()
    }

    /// Returns the speaker whose digest about a member of another zone is newer than this host's
    /// own evidence and not expired.
    fn relaying_speaker(&self, index: usize, now: Instant) -> Option<&Member> {
        let (member, peer) = (&self.members[index], &self.peer_states[index]);
        let relayed = peer.relayed_state.as_ref()?;
        let age = now.saturating_duration_since(relayed.received_at);
        let is_newer = member.last_heartbeat_at.is_none_or(|it| relayed.received_at > it)
            && peer.stream_failed_at.is_none_or(|it| relayed.received_at > it);
        let is_valid = is_newer && age < Duration::from_millis(self.settings.relayed_state_ttl_ms);
        let hinted =
            self.members.get(relayed.speaker_index_hint).filter(|it| it.name == relayed.speaker);
        let speaker = hinted.or_else(|| self.member(&relayed.speaker))?;
        (is_valid && member.zone != self.identity.zone).then_some(speaker)
    }

    /// Whether a speaker became silent less than `gone_timeout_ms` ago while another host of its
    /// zone is still responsive. The digests of such a speaker remain valid until its successor
    /// repeats or corrects them. In a zone that is cut off, no host is responsive; its hosts would
    /// otherwise count as live until the last digest expires.
    fn is_recently_lost_speaker(&self, speaker: &Member, now: Instant) -> bool {
        let zone = &speaker.zone;
        self.has_heartbeat_within(speaker, self.settings.gone_timeout_ms, now)
            && self.members.iter().any(|it| self.is_responsive(it, now) && it.zone == *zone)
    }

    /// Whether a host of another zone is silent and no responsive speaker reports its state.
    pub(crate) fn needs_digest(&self, index: usize, now: Instant) -> bool {
        let member = &self.members[index];
        let timeout = Duration::from_millis(self.settings.paired_speaker_timeout_ms);
        // Silence is expected from a host that no longer is the paired speaker. Its zone is asked
        // before the host is suspected.
        let is_overdue = |it: Instant| now.saturating_duration_since(it) >= timeout;
        let is_unpaired = self.peer_states[index].sent_at.is_none_or(is_overdue)
            && !self.has_heartbeat_within(member, self.settings.paired_speaker_timeout_ms, now);
        member.zone != self.identity.zone
            && member.incarnation > 0
            && (is_unpaired || !self.is_responsive(member, now))
            && self.relaying_speaker(index, now).is_none_or(|it| !self.is_responsive(it, now))
    }

    /// Whether a heartbeat of a member arrived within the suspicion timeout. For members of the
    /// local zone, the larger of the timeouts for the local and for other zones applies.
    fn is_responsive(&self, member: &Member, now: Instant) -> bool {
        let settings = &self.settings;
        let timeout_ms = if member.zone == self.identity.zone {
            settings.remote_suspect_timeout_ms.max(self.zone_suspect_timeout_ms)
        } else {
            settings.remote_suspect_timeout_ms
        };
        self.has_heartbeat_within(member, timeout_ms, now)
    }

    /// Returns the heartbeat interval inside the local zone in rounds.
    pub(crate) fn zone_interval_rounds(&self) -> u64 {
        let settings = &self.settings;
        let hosts = u64::try_from(self.zone_host_count).unwrap_or(u64::MAX);
        let hosts_per_step =
            u64::try_from(settings.hosts_per_interval_step.max(1)).unwrap_or(u64::MAX);
        hosts.div_ceil(hosts_per_step).clamp(1, settings.max_zone_interval_rounds)
    }

    /// Derives the heartbeat interval and the suspicion timeout inside the local zone from the
    /// number of its hosts.
    fn update_zone_interval(&mut self) {
        let zone = &self.identity.zone;
        let is_counted = |it: &&Member| it.state != MemberState::Gone && it.zone == *zone;
        self.zone_host_count = self.members.iter().filter(is_counted).count();
        self.zone_suspect_timeout_ms =
            self.settings.suspect_timeout_ms * self.zone_interval_rounds();
    }

    /// Returns the indices of the other members that are responsive and neither suspected nor gone.
    pub(crate) fn responsive_peers(&self, now: Instant) -> Vec<usize> {
        let is_usable = |index: &usize| {
            let member = &self.members[*index];
            *index != self.local_index
                && member.state < MemberState::Suspected
                && self.is_responsive(member, now)
        };
        (0..self.members.len()).filter(is_usable).collect()
    }

    /// Returns the number of other zones from which this host itself received a heartbeat within
    /// the isolation timeout.
    pub(crate) fn directly_reachable_zones(&self, now: Instant) -> usize {
        let is_recent = |it: &&Member| self.is_within_isolation_timeout(it.last_heartbeat_at, now);
        let remote = self.members.iter().filter(|it| it.zone != self.identity.zone);
        let mut zones: Vec<&str> = remote.filter(is_recent).map(|it| it.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        zones.len()
    }

    /// Returns the sorted names of all zones with a known host.
    pub(crate) fn zones(&self) -> Vec<String> {
        let mut res: Vec<String> = self.members.iter().map(|it| it.zone.clone()).collect();
        res.sort_unstable();
        res.dedup();
        res
    }

    /// Selects up to `speakers_per_zone` hosts of a zone among those that match, in the order of
    /// rendezvous hashing. The order depends on `turn`.
    pub(crate) fn ranked_members(
        &self,
        zone: &str,
        turn: u64,
        matches: impl Fn(&&Member) -> bool,
    ) -> Vec<&str> {
        let zone_members = self.members.iter().filter(|it| it.zone == zone);
        let mut res: Vec<(u64, &str)> = zone_members
            .filter(matches)
            .map(|it| (xxh3_64(format!("{}/{turn}", it.name).as_bytes()), it.name.as_str()))
            .collect();
        res.sort_unstable();
        res.truncate(self.settings.speakers_per_zone);
        res.into_iter().map(|it| it.1).collect()
    }

    /// Whether a member is another host of the local zone.
    pub(crate) fn is_zone_peer(&self, member: &Member) -> bool {
        member.zone == self.identity.zone && member.name != self.identity.name
    }

    pub(crate) fn is_within_isolation_timeout(&self, time: Option<Instant>, now: Instant) -> bool {
        time.is_some_and(|it| now.saturating_duration_since(it) < self.isolation_timeout())
    }

    /// Whether the silence of a member is shorter than a timeout. Time during which this process
    /// was paused does not count as silence.
    pub(crate) fn has_heartbeat_within(
        &self,
        member: &Member,
        timeout_ms: u64,
        now: Instant,
    ) -> bool {
        let timeout = Duration::from_millis(timeout_ms);
        member
            .last_heartbeat_at
            .is_some_and(|it| now.saturating_duration_since(it.max(self.running_since)) < timeout)
    }

    pub(crate) fn isolation_timeout(&self) -> Duration {
        Duration::from_millis(self.settings.isolation_timeout_ms)
    }

    /// Returns the index of a host among the members.
    pub(crate) fn index_of(&self, name: &str) -> Option<usize> {
        self.members.binary_search_by(|it| it.name.as_str().cmp(name)).ok()
    }
}
