//! Intervals and bounds of the membership protocol.

/// Intervals and bounds; the defaults are those of the design page.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time between heartbeats inside a zone; between speakers of two zones it is twice this.
    pub heartbeat_ms: u64,
    /// Silence after which a member of the own zone is suspected.
    pub suspect_ms: u64,
    /// Silence after which a member of another zone is suspected; more than two of its heartbeat
    /// intervals, so that one lost heartbeat does not cause a suspicion.
    pub suspect_remote_ms: u64,
    /// Silence after which a member is gone.
    pub gone_ms: u64,
    /// Time between heartbeats to members that are gone, by which a healed partition is noticed.
    pub probe_ms: u64,
    /// Time without the platform and every other zone after which the host is isolated.
    pub isolated_ms: u64,
    /// Lateness of a tick from which the process counts as paused.
    pub pause_ms: u64,
    /// Time after which a pending request for a document or chunk goes to another peer.
    pub retry_ms: u64,
    /// Time during which membership counts as changing after a change.
    pub changing_ms: u64,
    /// Longest time between two complete digests of a zone.
    pub digest_ms: u64,
    /// Time for which the word of a speaker about a host of another zone is believed.
    pub vouch_ms: u64,
    /// Time after which a member that is gone and not listed by the platform is forgotten.
    pub forget_ms: u64,
    /// Speakers of each zone.
    pub speakers_per_zone: usize,
    /// Size of the chunk store; chunks of the newest head may exceed it.
    pub chunk_store_bytes: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            suspect_ms: 2_000,
            suspect_remote_ms: 2_500,
            gone_ms: 10_000,
            probe_ms: 5_000,
            isolated_ms: 10_000,
            pause_ms: 1_000,
            retry_ms: 500,
            changing_ms: 5_000,
            digest_ms: 20_000,
            vouch_ms: 45_000,
            forget_ms: 1_800_000,
            speakers_per_zone: 2,
            chunk_store_bytes: 32 * 1024 * 1024,
        }
    }
}
