//! Control work of one host: ticks, messages from peers, documents and writes to the platform.

use std::sync::Arc;

use anyhow::Context as _;
use kingcupford_config::{ConfigVersion, Head, Snapshot, assemble_chunks};
use kingcupford_fleet::{ApplyOutcome, ListedHost, MemberState};
use kingcupford_quota::{Ledger, Proposal, WriteOutcome};
use kingcupford_rollout::Rollout;
use tokio::time::{Duration, Instant};

use crate::{
    engine::{Engine, Resync},
    events::EngineEvent,
    message::{Envelope, Message},
};

/// Name of the document that holds the head of the configuration.
pub(crate) const HEAD_NAME: &str = "config/head";

/// Name of the document that holds the ledger, the division of shares among the hosts.
pub const LEDGER_NAME: &str = "quota/ledger";

/// Prefix of the names of documents that hold rollouts; the name of the service follows.
pub const ROLLOUT_PREFIX: &str = "rollout/";

/// Kind of the heartbeat section with the binding for request ids.
pub(crate) const BINDING_SECTION: u16 = 1;

/// Kind of the heartbeat section with the active configuration version.
pub(crate) const CONFIG_SECTION: u16 = 2;

/// Maximum time after a pause for which no request is admitted while no peer confirms that the
/// documents of this host are current.
const MAX_RESYNC_WAIT: Duration = Duration::from_secs(2);

/// Maximum time after the start for which a process waits for the document versions of its peers.
const MAX_PEER_VERSIONS_WAIT: Duration = Duration::from_secs(2);

/// Interval at which the evidence and the stops of open rollouts are sent to peers.
const EVIDENCE_INTERVAL: Duration = Duration::from_millis(500);

/// Configuration with all its chunks, ready to be compiled.
#[derive(Debug, Clone)]
pub struct PendingConfig {
    /// Head that lists the chunks.
    pub head: Head,
    /// Bytes of the chunks, in the order of the head.
    pub chunks: Vec<Arc<[u8]>>,
}

impl PendingConfig {
    /// Compiles the snapshot. Takes long for large tables, so it must not be called under a lock.
    ///
    /// Fails if the chunks do not match the head or the declarations are invalid.
    pub fn compile(&self, previous: &Snapshot) -> anyhow::Result<Snapshot> {
        let mut next_chunk = 0;
        let declarations = assemble_chunks(&self.head, |_| {
            next_chunk += 1;
            self.chunks.get(next_chunk - 1).map(AsRef::as_ref)
        })?;
        Snapshot::compile(
            &declarations,
            ConfigVersion(self.head.version),
            &self.head.active_preset,
            &self.head.source_revision,
            Some(previous),
        )
    }
}

impl Engine {
    /// Performs the periodic work and returns the messages to send. Must be called every 50 ms.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Envelope> {
        let mut res = Vec::new();
        let previous_sequence = self.fleet.heartbeat_sequence();
        self.fleet.set_load(self.load_permille());
        let binding = self.request_ids.binding(now).into_bytes();
        self.fleet.set_section(BINDING_SECTION, binding);
        let version = self.snapshot.version.0.to_le_bytes().to_vec();
        self.fleet.set_section(CONFIG_SECTION, version);
        let messages = self.fleet.tick(now);
        self.last_tick_at = now;
        if self.fleet.take_pause_detected() {
            self.events.pending.push(EngineEvent::ResumedAfterPause);
            self.holder.resumed_after_pause(now);
            self.resync = Some(Resync {
                heartbeat_sequence: self.fleet.heartbeat_sequence(),
                is_acknowledged: false,
                expires_at: now + MAX_RESYNC_WAIT,
            });
        }
        if self.fleet.heartbeat_sequence() != previous_sequence {
            self.holder.heartbeat_sent(self.fleet.heartbeat_sequence(), now);
        }
        res.extend(messages.into_iter().map(|it| to_envelope(it, Message::Fleet)));
        self.apply_updated_documents(now);
        self.end_resync();
        res.extend(self.tick_shares(now));
        res.extend(self.tick_rollouts(now, unix_ms));
        let updates = self.quarantine.take_updates();
        self.record_quarantines(&updates);
        self.detect_changes(now);
        if !updates.is_empty() {
            res.extend(self.broadcast(&Message::Quarantine(updates)));
        }
        self.dispatch_waiting(now);
        res
    }

    /// Returns messages that request, renew and return loans of shares; the nearest peers are asked
    /// first. Cheap while no resource is short.
    pub fn tick_shares(&mut self, now: Instant) -> Vec<Envelope> {
        let peers = self.peers_by_distance();
        let messages = self.holder.tick(now, &peers);
        messages.into_iter().map(|it| to_envelope(it, Message::Quota)).collect()
    }

    /// Returns whether a request found a resource short, so that [`Self::tick_shares`] should be
    /// called immediately.
    pub fn needs_share_tick(&self) -> bool {
        self.holder.needs_tick()
    }

    /// Handles a message of the peer named `from` and returns the messages to send.
    pub fn receive(&mut self, from: &str, message: Message, now: Instant) -> Vec<Envelope> {
        match message {
            Message::Fleet(it) => {
                if let kingcupford_fleet::Message::Heartbeat(heartbeat) = &it {
                    let own_incarnation = self.fleet.identity().incarnation;
                    let acked_sequence = (heartbeat.ack_incarnation == own_incarnation)
                        .then_some(heartbeat.ack_sequence);
                    self.record_incarnation(from, heartbeat.incarnation);
                    self.holder.heartbeat_received(
                        from,
                        heartbeat.incarnation,
                        acked_sequence,
                        now,
                    );
                    // A heartbeat that acknowledges one sent after the pause compares the peer's
                    // documents with the current ones of this host.
                    if let Some(resync) = &mut self.resync {
                        resync.is_acknowledged |= acked_sequence >= Some(resync.heartbeat_sequence);
                    }
                    if heartbeat.ack_incarnation != own_incarnation {
                        let quarantines = self.quarantine.active_quarantines(now);
                        self.receive_fleet(from, it, now, quarantines)
                    } else {
                        self.receive_fleet(from, it, now, Vec::new())
                    }
                } else {
                    self.receive_fleet(from, it, now, Vec::new())
                }
            }
            Message::Quota(it) => {
                let replies = self.holder.receive(from, it, now);
                self.dispatch_waiting(now);
                replies.into_iter().map(|it| to_envelope(it, Message::Quota)).collect()
            }
            Message::Quarantine(updates) => {
                for it in &updates {
                    self.quarantine.apply_update(it, now);
                }
                Vec::new()
            }
            Message::Reports(it) => {
                self.apply_reports(&it, now);
                Vec::new()
            }
            Message::RolloutEvidence(it) => {
                self.rollouts.merge_evidence(it, now);
                Vec::new()
            }
            Message::RolloutStop(it) => {
                let Some(stop) = self.rollouts.apply_stop(it) else { return Vec::new() };
                self.install_caps(now);
                self.broadcast(&Message::RolloutStop(stop))
            }
        }
    }

    /// Ends the synchronization after a pause once the newest configuration of the peers is active.
    fn end_resync(&mut self) {
        let head_version = self.fleet.document(HEAD_NAME).map_or(0, |it| it.version);
        let is_current = self.fleet.is_caught_up() && head_version <= self.snapshot.version.0;
        if is_current && self.resync.is_some_and(|it| it.is_acknowledged) {
            self.resync = None;
        }
    }

    /// Records the incarnation of a peer. A newer process has bound the peer's address, so the
    /// previous one has ended.
    fn record_incarnation(&mut self, peer: &str, incarnation: u64) {
        match self.peer_incarnations.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            Ok(index) if incarnation > self.peer_incarnations[index].1 => {
                self.holder.peer_terminated(peer, self.peer_incarnations[index].1);
                self.peer_incarnations[index].1 = incarnation;
            }
            Ok(_) => {}
            Err(index) => self.peer_incarnations.insert(index, (peer.to_owned(), incarnation)),
        }
    }

    /// Records that nothing listens at a peer's address any more. A process keeps its address bound
    /// for its whole life, so the peer's process has ended.
    pub fn record_peer_unbound(&mut self, peer: &str) {
        if let Ok(index) = self.peer_incarnations.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            self.holder.peer_terminated(peer, self.peer_incarnations[index].1);
        }
    }

    /// Handles a membership message and sends `quarantines`, which are empty unless the peer does
    /// not know this process yet.
    fn receive_fleet(
        &mut self,
        from: &str,
        message: kingcupford_fleet::Message,
        now: Instant,
        quarantines: Vec<kingcupford_route::QuarantineUpdate>,
    ) -> Vec<Envelope> {
        let replies = self.fleet.receive(from, message, now);
        let mut res: Vec<Envelope> =
            replies.into_iter().map(|it| to_envelope(it, Message::Fleet)).collect();
        if !quarantines.is_empty() {
            res.push(Envelope { to: from.to_owned(), message: Message::Quarantine(quarantines) });
        }
        self.apply_updated_documents(now);
        res
    }

    /// Applies a document that was read from the platform.
    pub fn apply_platform_document(
        &mut self,
        name: &str,
        version: u64,
        bytes: &[u8],
        now: Instant,
    ) {
        self.fleet.record_platform_contact(now);
        if self.fleet.apply_document(name, version, bytes) == ApplyOutcome::Applied {
            self.apply_updated_documents(now);
        }
    }

    /// Records that the platform answered this host.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.fleet.record_platform_contact(now);
    }

    /// Records that the platform has no ledger yet, so that this host may create one.
    pub fn record_ledger_missing(&mut self) {
        self.holder.ledger_missing();
    }

    /// Returns the version of the newest known ledger.
    pub fn ledger_version(&self) -> Option<u64> {
        self.holder.ledger().map(|it| it.0)
    }

    /// Records that the platform no longer has a ledger, although this host knew `version` when it
    /// asked.
    pub fn record_ledger_lost(&mut self, version: u64, now: Instant) {
        self.holder.ledger_lost(version, now);
    }

    /// Applies the platform's list of entry hosts.
    pub fn apply_platform_hosts(&mut self, list: &[ListedHost], now: Instant) {
        self.fleet.record_platform_contact(now);
        self.fleet.apply_platform_hosts(list, now);
    }

    /// Records that a connection to a peer failed.
    pub fn record_stream_failure(&mut self, host: &str, now: Instant) {
        self.fleet.record_stream_failure(host, now);
    }

    /// Returns the address at which a peer accepts messages, `None` for an unknown host.
    pub fn peer_address(&self, host: &str) -> Option<std::net::SocketAddr> {
        self.fleet.member(host).map(|it| it.peer_address)
    }

    /// Returns whether this host is a speaker of its zone and should follow the platform's watches.
    pub fn is_speaker(&self) -> bool {
        self.fleet.is_speaker()
    }

    /// Returns the SHA-256 hashes of the newest head's chunks that are not stored on this host.
    pub fn missing_chunks(&self) -> Vec<String> {
        self.fleet.documents().missing_chunks()
    }

    /// Stores the bytes of a chunk that was read from the platform.
    pub fn insert_chunk(&mut self, bytes: &[u8]) {
        self.fleet.documents_mut().insert_chunk(bytes);
    }

    /// Returns the newest configuration if it is newer than the active one and all its chunks are
    /// stored. Fails if the head cannot be parsed.
    pub fn pending_config(&self) -> anyhow::Result<Option<PendingConfig>> {
        let Some(document) = self.fleet.document(HEAD_NAME) else { return Ok(None) };
        if document.version <= self.snapshot.version.0 || self.is_waiting_for_peers() {
            return Ok(None);
        }
        let head: Head =
            serde_json::from_slice(&document.bytes).context("head of configuration")?;
        let documents = self.fleet.documents();
        let chunks = head.chunks.iter().map(|it| documents.chunk(&it.sha256).cloned());
        let Some(chunks) = chunks.collect::<Option<Vec<_>>>() else { return Ok(None) };
        Ok(Some(PendingConfig { head, chunks }))
    }

    /// Returns whether this process has just started and does not know yet if its peers have a
    /// newer configuration than the platform, which may serve an old state.
    fn is_waiting_for_peers(&self) -> bool {
        let uptime = self.last_tick_at.saturating_duration_since(self.started_at);
        self.snapshot.version.0 == 0
            && uptime < MAX_PEER_VERSIONS_WAIT
            && self.fleet.members().len() > 1
            && !self.fleet.is_caught_up()
    }

    /// Returns the conditional update of the ledger that is due, if any. The caller must pass its
    /// outcome to [`Self::record_proposal_outcome`].
    pub fn propose_ledger(&mut self, now: Instant) -> Option<Proposal> {
        self.holder.propose_ledger(now)
    }

    /// Records the outcome of a ledger update.
    pub fn record_proposal_outcome(
        &mut self,
        proposal: &Proposal,
        outcome: WriteOutcome,
        now: Instant,
    ) {
        let newest = match &outcome {
            WriteOutcome::Written(version) => Some((*version, &proposal.ledger)),
            WriteOutcome::Conflict(version, ledger) => Some((*version, ledger)),
            WriteOutcome::Unknown => None,
        };
        if let Some((version, ledger)) = newest
            && let Ok(bytes) = serde_json::to_vec(ledger)
        {
            self.fleet.record_platform_contact(now);
            self.fleet.apply_document(LEDGER_NAME, version, &bytes);
        }
        self.holder.proposal_done(outcome, now);
    }

    /// Returns the conditional writes of rollout objects that are due. The caller must pass their
    /// outcomes to [`Self::record_rollout_outcome`].
    pub fn rollout_writes(
        &mut self,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<kingcupford_rollout::RolloutWrite> {
        let platform_reachable = self.fleet.reachability(now).platform;
        self.rollouts.writes(now, unix_ms, platform_reachable)
    }

    /// Records the outcome of the write of a rollout object.
    pub fn record_rollout_outcome(
        &mut self,
        write: &kingcupford_rollout::RolloutWrite,
        outcome: kingcupford_rollout::WriteOutcome,
        now: Instant,
    ) {
        if let kingcupford_rollout::WriteOutcome::Written { version } = outcome
            && let Ok(bytes) = serde_json::to_vec(&write.rollout)
        {
            let name = format!("{ROLLOUT_PREFIX}{}", write.rollout.service);
            self.apply_platform_document(&name, version, &bytes, now);
        }
        self.rollouts.record_write_outcome(&write.rollout, outcome, now);
    }

    /// Records that the platform no longer has the rollout that a write should have replaced.
    pub fn record_rollout_lost(&mut self, write: &kingcupford_rollout::RolloutWrite) {
        self.rollouts.record_lost(write);
    }

    /// Starts the handover of this host's share to the other hosts, for a graceful shutdown.
    pub fn start_handover(&mut self, now: Instant) {
        self.holder.start_handover(now);
    }

    /// Returns whether the handover is complete and the process may end.
    pub fn is_handover_complete(&self) -> bool {
        self.holder.is_handover_complete()
    }

    /// Applies the documents that became newer since the last call.
    fn apply_updated_documents(&mut self, now: Instant) {
        for name in self.fleet.take_updated_documents() {
            let Some(document) = self.fleet.document(&name).cloned() else { continue };
            if name == HEAD_NAME {
                if let Ok(head) = serde_json::from_slice::<Head>(&document.bytes) {
                    let chunks = head.chunks.into_iter().map(|it| it.sha256).collect();
                    self.fleet.documents_mut().set_required_chunks(document.version, chunks);
                }
            } else if name == LEDGER_NAME {
                if let Ok(ledger) = serde_json::from_slice::<Ledger>(&document.bytes) {
                    self.holder.adopt_ledger(document.version, ledger, now);
                    self.events.pending.push(EngineEvent::LedgerChanged(document.version));
                }
            } else if name.starts_with(ROLLOUT_PREFIX)
                && let Ok(rollout) = serde_json::from_slice::<Rollout>(&document.bytes)
                && self.rollouts.apply_rollout(rollout, document.version, now)
            {
                self.install_caps(now);
            }
        }
    }

    /// Stops rollouts whose new version is faulty or whose deadline can no longer be met. Returns
    /// messages with the stops and, at their interval, with the evidence.
    fn tick_rollouts(&mut self, now: Instant, unix_ms: u64) -> Vec<Envelope> {
        let tick = self.rollouts.tick(now, unix_ms);
        if tick.shares_changed {
            self.install_caps(now);
        }
        let mut res = Vec::new();
        for stop in tick.stops {
            self.events.pending.push(EngineEvent::RolloutStopped {
                service: stop.service.clone(),
                reason: format!("{:?}", stop.reason),
            });
            res.extend(self.broadcast(&Message::RolloutStop(stop)));
        }
        if now >= self.next_evidence_at {
            self.next_evidence_at = now + EVIDENCE_INTERVAL;
            for stop in self.rollouts.active_stops() {
                res.extend(self.broadcast(&Message::RolloutStop(stop)));
            }
            for evidence in self.rollouts.evidence() {
                res.extend(self.broadcast(&Message::RolloutEvidence(evidence)));
            }
        }
        res
    }

    /// Addresses a message to all live and draining peers.
    fn broadcast(&self, message: &Message) -> Vec<Envelope> {
        let peers = self.peers_by_distance();
        peers.into_iter().map(|to| Envelope { to, message: message.clone() }).collect()
    }

    /// Returns the names of live and draining peers: those of this host's zone first, then those of
    /// its region, then the others.
    pub(crate) fn peers_by_distance(&self) -> Vec<String> {
        let identity = self.fleet.identity();
        let region = |zone: &str| {
            let zone = self.snapshot.zones.id(zone)?;
            Some(self.snapshot.region_of(zone))
        };
        let own_region = region(&identity.zone);
        let mut res: Vec<(u8, &str)> = self
            .fleet
            .members()
            .iter()
            .filter(|it| it.name != identity.name)
            .filter(|it| matches!(it.state, MemberState::Live | MemberState::Draining))
            .map(|it| {
                let distance = if it.zone == identity.zone {
                    0
                } else if region(&it.zone) == own_region {
                    1
                } else {
                    2
                };
                (distance, it.name.as_str())
            })
            .collect();
        res.sort_unstable();
        res.into_iter().map(|it| it.1.to_owned()).collect()
    }

    /// Returns the requests in flight relative to the home region's slots divided by the number of
    /// live hosts: 1,000 at full utilization, at most 10,000.
    fn load_permille(&self) -> u16 {
        let Some((_, region)) = self.home_locality() else { return 0 };
        let instances = self.snapshot.instances.iter().filter(|(_, it)| it.region == region);
        let slots: u32 = instances.map(|(_, it)| it.slots).sum();
        let live_hosts =
            self.fleet.members().iter().filter(|it| it.state == MemberState::Live).count();
        let slots_per_host = f64::from(slots) / live_hosts.max(1) as f64;
        (self.requests.len() as f64 / slots_per_host.max(1.0) * 1000.0).min(10_000.0) as u16
    }
}

/// Wraps a message of one kind with its recipient.
fn to_envelope<T>((to, message): (String, T), wrap: impl Fn(T) -> Message) -> Envelope {
    Envelope { to, message: wrap(message) }
}
