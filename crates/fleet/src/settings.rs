//! Intervals and bounds of the membership protocol.

/// Intervals and bounds; the defaults are those of the design page.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time between heartbeats inside a zone; between speakers of two zones it is twice this.
    pub heartbeat_interval_ms: u64,
    /// Hosts of a zone above which heartbeats inside it are sent at every second beat only, above
    /// twice this at every third, and so on: their number grows with the square of the hosts.
    pub hosts_per_interval_step: usize,
    /// Most beats of the interval between two heartbeats inside a zone, so that a silent host is
    /// suspected before it counts as gone.
    pub max_zone_interval_rounds: u64,
    /// Silence after which a member of the own zone is suspected.
    pub suspect_timeout_ms: u64,
    /// Silence after which a member of another zone is suspected; more than two of its heartbeat
    /// intervals, so that one lost heartbeat does not cause a suspicion.
    pub remote_suspect_timeout_ms: u64,
    /// Silence after which a member is gone.
    pub gone_timeout_ms: u64,
    /// Time between heartbeats to members that are gone, by which a healed partition is noticed.
    pub probe_interval_ms: u64,
    /// Time without the platform and every other zone after which the host is isolated.
    pub isolation_timeout_ms: u64,
    /// Lateness of a tick from which the process counts as paused.
    pub pause_threshold_ms: u64,
    /// Time after which a pending request for a document or chunk goes to another peer.
    pub request_timeout_ms: u64,
    /// Time during which membership counts as changing after a change.
    pub membership_change_window_ms: u64,
    /// Longest time between two complete digests of a zone.
    pub full_digest_interval_ms: u64,
    /// Time for which the word of a speaker about a host of another zone is believed.
    pub relayed_state_ttl_ms: u64,
    /// Time after which a member that is gone and not listed by the platform is forgotten.
    pub gone_retention_ms: u64,
    /// Speakers of each zone.
    pub speakers_per_zone: usize,
    /// Speakers of other zones up to which a speaker sends heartbeats to all of them; when there
    /// are more, it sends to the one of its own rank in each zone.
    pub max_full_mesh_speakers: usize,
    /// Silence of the speaker of the own rank after which heartbeats go to all speakers of its
    /// zone; more than one of its heartbeat intervals, and below the time of a suspicion.
    pub paired_speaker_timeout_ms: u64,
    /// Size of the chunk store; chunks of the newest head may exceed it.
    pub chunk_store_bytes: usize,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval_ms: 500,
            hosts_per_interval_step: 25,
            max_zone_interval_rounds: 4,
            suspect_timeout_ms: 2_000,
            remote_suspect_timeout_ms: 2_500,
            gone_timeout_ms: 10_000,
            probe_interval_ms: 5_000,
            isolation_timeout_ms: 10_000,
            pause_threshold_ms: 1_000,
            request_timeout_ms: 500,
            membership_change_window_ms: 5_000,
            full_digest_interval_ms: 30_000,
            relayed_state_ttl_ms: 65_000,
            gone_retention_ms: 1_800_000,
            speakers_per_zone: 2,
            max_full_mesh_speakers: 16,
            paired_speaker_timeout_ms: 1_500,
            chunk_store_bytes: 32 * 1024 * 1024,
        }
    }
}
