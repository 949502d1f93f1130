//! Settings of the membership protocol and of the document store.

/// Intervals, timeouts and limits of the membership protocol.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSettings {
    /// Time between two heartbeat rounds. Speakers of different zones exchange heartbeats in every
    /// second round.
    pub heartbeat_interval_ms: u64,
    /// Hosts of a zone per round of the heartbeat interval inside the zone: up to this number a
    /// host sends in every round, up to twice this number in every second one, and so on. Without
    /// this limit the traffic inside a zone grows with the square of its size.
    pub hosts_per_interval_step: usize,
    /// Upper limit, in rounds, for the heartbeat interval inside a zone, so that a silent host is
    /// suspected before it is considered gone.
    pub max_zone_interval_rounds: u64,
    /// Silence after which a member of the local zone is suspected, for a heartbeat interval of one
    /// round; a longer interval extends the timeout in proportion. Four intervals by default.
    pub suspect_timeout_ms: u64,
    /// Silence after which a member of another zone is suspected. Exceeds two of the heartbeat
    /// intervals between zones, so that one lost heartbeat does not cause a suspicion.
    pub remote_suspect_timeout_ms: u64,
    /// Silence after which a member is considered gone.
    pub gone_timeout_ms: u64,
    /// Time between heartbeats to members that are gone, which detect a healed partition.
    pub probe_interval_ms: u64,
    /// Time without contact with the platform or any other zone after which the host is isolated.
    pub isolation_timeout_ms: u64,
    /// Time since the last tick above which the process is considered to have been paused.
    pub pause_threshold_ms: u64,
    /// Time after which a pending request for a document or chunk is sent to another peer.
    pub request_timeout_ms: u64,
    /// Time for which membership is reported as changing after a change.
    pub membership_change_window_ms: u64,
    /// Time between two full digests of a zone; digests in between contain changes only.
    pub full_digest_interval_ms: u64,
    /// Validity of a member state of another zone that a speaker relayed.
    pub relayed_state_ttl_ms: u64,
    /// Retention of a member that is gone and not listed by the platform.
    pub gone_retention_ms: u64,
    /// Number of speakers of each zone.
    pub speakers_per_zone: usize,
    /// Number of speakers in other zones up to which a speaker sends heartbeats to all of them.
    /// Above it, a speaker sends to the speaker of its own rank in each zone.
    pub max_full_mesh_speakers: usize,
    /// Silence of the speaker of the same rank after which heartbeats go to all speakers of that
    /// zone. Longer than one heartbeat interval between zones and shorter than
    /// `remote_suspect_timeout_ms`.
    pub paired_speaker_timeout_ms: u64,
    /// Size limit of the chunk store; required chunks may exceed it.
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
