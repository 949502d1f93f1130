//! Maintenance of the set of known hosts from lists and profiles.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    fleet::Fleet,
    member::{ListedHost, Member, MemberState},
    message::{MAX_MESSAGE_BYTES, Profile},
    peer_state::PeerState,
};

/// Estimated size at which a roster ends; the other half of the message is a reserve for long
/// profiles.
const MAX_ROSTER_BYTES: usize = MAX_MESSAGE_BYTES / 2;

impl Fleet {
    /// Adds or updates a host named by the platform's list or the seeds.
    pub(crate) fn add_listed_host(&mut self, host: &ListedHost, now: Instant) {
        if host.name == self.identity.name {
            return;
        }
        let index = match self.index_of(&host.name) {
            Some(index) => index,
            None => self.insert_member(
                Member {
                    name: host.name.clone(),
                    zone: host.zone.clone(),
                    incarnation: 0,
                    state: MemberState::Suspected,
                    peer_address: host.peer_address,
                    public_addresses: host.public_addresses.clone(),
                    last_heartbeat_at: None,
                    load_permille: 0,
                },
                now,
            ),
        };
        self.peer_states[index].listed = true;
        self.peer_states[index].listed_as_draining = host.draining;
        let member = &mut self.members[index];
        // A host's own profile is newer than the list unless the host is gone.
        if member.incarnation == 0 || member.state == MemberState::Gone {
            member.peer_address = host.peer_address;
        }
    }

    /// Adds or replaces a host by its profile. Returns the host's index, or `None` if the profile
    /// is outdated or describes the local host.
    pub(crate) fn apply_profile(&mut self, profile: &Profile, now: Instant) -> Option<usize> {
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
        let Some(index) = self.index_of(&profile.name) else {
            return Some(self.insert_member(member, now));
        };
        if profile.incarnation < self.members[index].incarnation {
            return None;
        }
        if profile.incarnation > self.members[index].incarnation {
            // The new process keeps the old state until a heartbeat or digest changes it.
            let (state, peer) = (self.members[index].state, &self.peer_states[index]);
            let (listed, listed_as_draining) = (peer.listed, peer.listed_as_draining);
            self.documents.remove_peer(&profile.name);
            self.peer_states[index] =
                PeerState { listed, listed_as_draining, ..PeerState::new(&member, now) };
            self.members[index] = Member { state, ..member };
        }
        Some(index)
    }

    /// Inserts a member at its position by name and returns the index.
    pub(crate) fn insert_member(&mut self, member: Member, now: Instant) -> usize {
        let name = member.name.as_str();
        let index = self.members.partition_point(|it| it.name.as_str() < name);
        self.peer_states.insert(index, PeerState::new(&member, now));
        self.members.insert(index, member);
        self.local_index += usize::from(index <= self.local_index);
        self.membership_changed_at = now;
        index
    }

    /// Removes members that are gone, not listed and past their retention.
    pub(crate) fn remove_gone_members(&mut self, now: Instant) {
        let retention = Duration::from_millis(self.settings.gone_retention_ms);
        let mut index = 0;
        while index < self.members.len() {
            let (member, peer) = (&self.members[index], &self.peer_states[index]);
            let silent_since = member.last_heartbeat_at.unwrap_or(peer.added_at);
            let expired = now.saturating_duration_since(silent_since) >= retention;
            if member.state == MemberState::Gone && !peer.listed && expired {
                self.members.remove(index);
                self.peer_states.remove(index);
                self.local_index -= usize::from(index < self.local_index);
            } else {
                index += 1;
            }
        }
    }

    /// Returns the profiles of the members that are not gone, as many as fit into one message.
    pub(crate) fn roster(&self) -> Vec<Profile> {
        let mut size_bytes = 0;
        let known = self.members.iter().filter(|it| it.incarnation > 0);
        let profiles = known.filter(|it| it.state != MemberState::Gone).map(profile_of);
        let fits = |it: &Profile| {
            let addresses: usize = it.public_addresses.iter().map(|it| it.len() + 8).sum();
            size_bytes += it.name.len() + it.zone.len() + addresses + 64;
            size_bytes < MAX_ROSTER_BYTES
        };
        profiles.take_while(fits).collect()
    }
}

/// Extracts the data that does not change during the life of a process.
pub(crate) fn profile_of(member: &Member) -> Profile {
    Profile {
        name: member.name.clone(),
        zone: member.zone.clone(),
        incarnation: member.incarnation,
        peer_address: member.peer_address,
        public_addresses: member.public_addresses.clone(),
    }
}
