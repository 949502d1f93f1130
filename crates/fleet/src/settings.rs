//! Intervals and bounds of the membership protocol.

/// Intervals and bounds; the defaults are those of the design page.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time between heartbeats inside a zone; between speakers of two zones it is twice this.
    pub heartbeat_ms: u64,
    /// Hosts of a zone above which heartbeats inside it are sent at every second beat only, above
    /// twice this at every third, and so on: their number grows with the square of the hosts.
    pub dense_hosts: usize,
    /// Most beats of the interval between two heartbeats inside a zone, so that a silent host is
    /// suspected before it counts as gone.
    pub interval_beats_max: u64,
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
    /// Speakers of other zones up to which a speaker sends heartbeats to all of them; when there
    /// are more, it sends to the one of its own rank in each zone.
    pub speaker_links: usize,
    /// Silence of the speaker of the own rank after which heartbeats go to all speakers of its
    /// zone; more than one of its heartbeat intervals, and below the time of a suspicion.
    pub fallback_ms: u64,
    /// Size of the chunk store; chunks of the newest head may exceed it.
    pub chunk_store_bytes: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500,
            dense_hosts: 25,
            interval_beats_max: 4,
            suspect_ms: 2_000,
            suspect_remote_ms: 2_500,
            gone_ms: 10_000,
            probe_ms: 5_000,
            isolated_ms: 10_000,
            pause_ms: 1_000,
            retry_ms: 500,
            changing_ms: 5_000,
            digest_ms: 30_000,
            vouch_ms: 65_000,
            forget_ms: 1_800_000,
            speakers_per_zone: 2,
            speaker_links: 16,
            fallback_ms: 1_500,
            chunk_store_bytes: 32 * 1024 * 1024,
        }
    }
}
