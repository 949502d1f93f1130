//! Internal state that this host holds about each member.

use tokio::time::Instant;

use crate::{
    digest::digest_id,
    fleet::AckedHeartbeat,
    member::{Member, MemberState},
};

/// Internal state about one member, in addition to its public [`Member`].
#[derive(Debug, Clone)]
pub(crate) struct PeerState {
    pub(crate) added_at: Instant,
    /// Whether the platform's last list or the seeds name the member.
    pub(crate) listed: bool,
    pub(crate) listed_as_draining: bool,
    /// Sequence number of the latest heartbeat from the member.
    pub(crate) last_sequence: u64,
    /// State in the member's latest heartbeat.
    pub(crate) reported_state: MemberState,
    pub(crate) relayed_state: Option<RelayedState>,
    /// Time at which a stream to the member failed, cleared by the member's next heartbeat.
    pub(crate) stream_failed_at: Option<Instant>,
    /// Whether a peer of the local zone reports a failed stream to the member.
    pub(crate) unreachable_for_zone_peer: bool,
    pub(crate) last_ack: Option<AckedHeartbeat>,
    /// Hash of the member's document versions.
    pub(crate) documents_hash: u64,
    /// Whether the member acknowledged a heartbeat of this process and therefore has its profile.
    pub(crate) has_local_profile: bool,
    /// Whether the next round sends to the member even if it is not a regular target.
    pub(crate) reply_due: bool,
    /// Time at which the last heartbeat was sent to the member.
    pub(crate) sent_at: Option<Instant>,
    /// Time of the member's last report that it reaches the platform itself.
    pub(crate) platform_reached_at: Option<Instant>,
    /// Time and value of the member's last report of the other zones that it reaches itself.
    pub(crate) reachable_zones: Option<(Instant, u16)>,
    /// Sections of the member's latest heartbeat.
    pub(crate) sections: Vec<(u16, Vec<u8>)>,
    pub(crate) digest_id: u32,
}

/// State of a member in a speaker's digest.
#[derive(Debug, Clone)]
pub(crate) struct RelayedState {
    pub(crate) received_at: Instant,
    pub(crate) state: MemberState,
    /// Name of the speaker that sent the digest.
    pub(crate) speaker: String,
    /// Index of the speaker among the members on receipt; avoids a search while it is still valid.
    pub(crate) speaker_index_hint: usize,
}

impl PeerState {
    /// Creates the state of a member that was just added.
    pub(crate) fn new(member: &Member, now: Instant) -> Self {
        Self {
            added_at: now,
            listed: false,
            listed_as_draining: false,
            last_sequence: 0,
            reported_state: MemberState::Starting,
            relayed_state: None,
            stream_failed_at: None,
            unreachable_for_zone_peer: false,
            last_ack: None,
            documents_hash: 0,
            has_local_profile: false,
            reply_due: false,
            sent_at: None,
            platform_reached_at: None,
            reachable_zones: None,
            sections: Vec::new(),
            digest_id: digest_id(&member.name, member.incarnation),
        }
    }
}
