//! What one host knows about another beside its public part.

use tokio::time::Instant;

use crate::{
    digest::digest_id,
    fleet::AckedHeartbeat,
    member::{Member, MemberState},
};

/// What this host knows about one member beside its public part.
#[derive(Debug, Clone)]
pub(crate) struct Link {
    /// When the member became known.
    pub(crate) added_at: Instant,
    /// Whether the platform's last list or the seeds name it.
    pub(crate) listed: bool,
    /// Whether the platform marks it as draining.
    pub(crate) draining: bool,
    /// Sequence of its newest heartbeat.
    pub(crate) sequence: u64,
    /// What it says about itself.
    pub(crate) announced: MemberState,
    /// State that a speaker reported.
    pub(crate) vouched: Option<Vouched>,
    /// When a stream to it failed, until it is heard again.
    pub(crate) failed_at: Option<Instant>,
    /// Whether a peer of the zone reports a failed stream to it.
    pub(crate) lost_by_peer: bool,
    /// Newest own beat that it confirmed.
    pub(crate) confirmed: Option<AckedHeartbeat>,
    /// Hash of its documents.
    pub(crate) documents_hash: u64,
    /// Whether it confirmed a beat of this process, and so has the profile.
    pub(crate) has_profile: bool,
    /// Whether the next beat goes to it although this host would not choose it.
    pub(crate) answer_due: bool,
    /// When a beat was last sent to it.
    pub(crate) sent_at: Option<Instant>,
    /// When it last said that it reaches the platform itself.
    pub(crate) platform_at: Option<Instant>,
    /// When it last said that it hears other zones itself, and how many.
    pub(crate) reachable_zones: Option<(Instant, u16)>,
    /// Sections of its newest heartbeat.
    pub(crate) sections: Vec<(u16, Vec<u8>)>,
    /// Identifier in digests.
    pub(crate) digest_id: u32,
}

/// What a speaker said about a host.
#[derive(Debug, Clone)]
pub(crate) struct Vouched {
    /// When it said so.
    pub(crate) at: Instant,
    /// The state.
    pub(crate) state: MemberState,
    /// Name of the speaker.
    pub(crate) by: String,
    /// Where the speaker stood among the members, which mostly still holds and saves a search.
    pub(crate) by_hint: usize,
}

impl Link {
    /// Knowledge about a member that was just added.
    pub(crate) fn new(member: &Member, now: Instant) -> Self {
        Self {
            added_at: now,
            listed: false,
            draining: false,
            sequence: 0,
            announced: MemberState::Starting,
            vouched: None,
            failed_at: None,
            lost_by_peer: false,
            confirmed: None,
            documents_hash: 0,
            has_profile: false,
            answer_due: false,
            sent_at: None,
            platform_at: None,
            reachable_zones: None,
            sections: Vec::new(),
            digest_id: digest_id(&member.name, member.incarnation),
        }
    }
}
