//! Which hosts are known, from lists and profiles.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    link::Link,
    member::{ListedHost, Member, MemberState},
    message::{MAX_MESSAGE_BYTES, Profile},
};

/// Room that a roster leaves in a message for a long profile.
const ROSTER_BYTES: usize = MAX_MESSAGE_BYTES / 2;

impl Fleet {
    /// Adds a listed host.
    pub(crate) fn add_candidate(&mut self, candidate: &ListedHost, now: Instant) {
        if candidate.name == self.identity.name {
            return;
        }
        let at = match self.position(&candidate.name) {
            Some(at) => at,
            None => self.insert(
                Member {
                    name: candidate.name.clone(),
                    zone: candidate.zone.clone(),
                    incarnation: 0,
                    state: MemberState::Suspected,
                    peer_address: candidate.peer_address,
                    public_addresses: candidate.public_addresses.clone(),
                    last_heartbeat_at: None,
                    load_permille: 0,
                },
                now,
            ),
        };
        self.links[at].listed = true;
        self.links[at].draining = candidate.draining;
        let member = &mut self.members[at];
        // What a host says about itself is newer than the list, unless it is silent.
        if member.incarnation == 0 || member.state == MemberState::Gone {
            member.peer_address = candidate.peer_address;
        }
    }

    /// Adds or replaces a host by its profile; the position, `None` when the profile is outdated.
    pub(crate) fn add_profile(&mut self, profile: &Profile, now: Instant) -> Option<usize> {
        if profile.name == self.identity.name {
            return None;
        }
        let member = Member {
            name: profile.name.clone(),
            zone: profile.zone.clone(),
            incarnation: profile.incarnation,
            state: MemberState::Suspected,
            peer_address: profile.peer_address,
            public_addresses: profile.public_addresses.clone(),
            last_heartbeat_at: None,
            load_permille: 0,
        };
        let Some(at) = self.position(&profile.name) else {
            return Some(self.insert(member, now));
        };
        if profile.incarnation < self.members[at].incarnation {
            return None;
        }
        if profile.incarnation > self.members[at].incarnation {
            // The state is not announced as changed until a heartbeat or digest says so.
            let (state, link) = (self.members[at].state, &self.links[at]);
            let (listed, draining) = (link.listed, link.draining);
            self.documents.forget_peer(&profile.name);
            self.links[at] = Link { listed, draining, ..Link::new(&member, now) };
            self.members[at] = Member { state, ..member };
        }
        Some(at)
    }

    /// Adds a member and answers its position.
    pub(crate) fn insert(&mut self, member: Member, now: Instant) -> usize {
        let name = member.name.as_str();
        let at = self.members.partition_point(|it| it.name.as_str() < name);
        self.links.insert(at, Link::new(&member, now));
        self.members.insert(at, member);
        self.own += usize::from(at <= self.own);
        self.changed_at = now;
        at
    }

    /// Drops members that are gone for long and not listed.
    pub(crate) fn forget_members(&mut self, now: Instant) {
        let forget = Duration::from_millis(self.settings.gone_retention_ms);
        let mut at = 0;
        while at < self.members.len() {
            let (member, link) = (&self.members[at], &self.links[at]);
            let since = member.last_heartbeat_at.unwrap_or(link.added_at);
            let old = now.saturating_duration_since(since) >= forget;
            if member.state == MemberState::Gone && !link.listed && old {
                self.members.remove(at);
                self.links.remove(at);
                self.own -= usize::from(at < self.own);
            } else {
                at += 1;
            }
        }
    }

    /// Profiles of all members that are not gone, as many as one message holds.
    pub(crate) fn roster(&self) -> Vec<Profile> {
        let mut size_bytes = 0;
        let known = self.members.iter().filter(|it| it.incarnation > 0);
        let profiles = known.filter(|it| it.state != MemberState::Gone).map(profile);
        let fits = |it: &Profile| {
            let addresses: usize = it.public_addresses.iter().map(|it| it.len() + 8).sum();
            size_bytes += it.name.len() + it.zone.len() + addresses + 64;
            size_bytes < ROSTER_BYTES
        };
        profiles.take_while(fits).collect()
    }
}

/// The part of a member that does not change.
pub(crate) fn profile(member: &Member) -> Profile {
    Profile {
        name: member.name.clone(),
        zone: member.zone.clone(),
        incarnation: member.incarnation,
        peer_address: member.peer_address,
        public_addresses: member.public_addresses.clone(),
    }
}
