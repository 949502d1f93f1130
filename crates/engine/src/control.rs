//! Control work of one host: ticks, messages of peers, documents and platform writes.

use std::sync::Arc;

use anyhow::Context as _;
use kingcupford_config::{ConfigVersion, Head, Snapshot, assemble_chunks};
use kingcupford_fleet::{ApplyOutcome, ListedHost, MemberState};
use kingcupford_quota::{Ledger, Proposal, WriteOutcome};
use kingcupford_rollout::Rollout;
use tokio::time::{Duration, Instant};

use crate::{
    engine::{Engine, Resync},
    message::{Envelope, Message},
    notice::EngineEvent,
};

/// Name of the document that holds the head of the configuration.
pub(crate) const HEAD: &str = "config/head";

/// Name of the document that holds the division of shares.
pub const LEDGER_NAME: &str = "quota/ledger";

/// Prefix of the documents that hold rollouts.
pub const ROLLOUT_PREFIX: &str = "rollout/";

/// Kind of the heartbeat section with the binding for request ids.
pub(crate) const BINDING_SECTION: u16 = 1;

/// Kind of the heartbeat section with the active configuration version.
pub(crate) const CONFIG_SECTION: u16 = 2;

/// Longest time without decisions after a pause, when no peer answers.
const MAX_RESYNC: Duration = Duration::from_secs(2);

/// Longest wait of a fresh process for the versions that its peers have.
const MAX_PEERS_WAIT: Duration = Duration::from_secs(2);

/// Time between two messages with the evidence of open rollouts.
const EVIDENCE_EVERY: Duration = Duration::from_millis(500);

/// A configuration whose chunks are complete and that waits to be compiled.
#[derive(Debug, Clone)]
pub struct PendingConfig {
    /// The head.
    pub head: Head,
    /// The chunks in the head's order.
    pub chunks: Vec<Arc<[u8]>>,
}

impl PendingConfig {
    /// Compiles the snapshot; takes long for large tables, so not under a lock.
    pub fn compile(&self, previous: &Snapshot) -> anyhow::Result<Snapshot> {
        let mut at = 0;
        let declarations = assemble_chunks(&self.head, |_| {
            at += 1;
            self.chunks.get(at - 1).map(AsRef::as_ref)
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
    /// Does what is due; to be called every 50 ms.
    pub fn tick(&mut self, now: Instant, unix_ms: u64) -> Vec<Envelope> {
        let mut res = Vec::new();
        let sequence = self.fleet.heartbeat_sequence();
        self.fleet.set_load(self.load_permille());
        let binding = self.request_ids.binding(now).into_bytes();
        self.fleet.set_section(BINDING_SECTION, binding);
        let version = self.snapshot.version.0.to_le_bytes().to_vec();
        self.fleet.set_section(CONFIG_SECTION, version);
        let messages = self.fleet.tick(now);
        self.last_tick = now;
        if self.fleet.take_pause_detected() {
            self.told.notices.push(EngineEvent::ResumedAfterPause);
            self.holder.resumed_after_pause(now);
            let sequence = self.fleet.heartbeat_sequence();
            self.resync = Some(Resync { sequence, confirmed: false, until: now + MAX_RESYNC });
        }
        if self.fleet.heartbeat_sequence() != sequence {
            self.holder.heartbeat_sent(self.fleet.heartbeat_sequence(), now);
        }
        res.extend(messages.into_iter().map(|it| envelope(it, Message::Fleet)));
        self.adopt_documents(now);
        self.end_resync();
        res.extend(self.tick_shares(now));
        res.extend(self.tick_rollouts(now, unix_ms));
        let announcements = self.quarantine.take_updates();
        self.note_quarantines(&announcements);
        self.compare_told(now);
        if !announcements.is_empty() {
            res.extend(self.to_all(&Message::Quarantine(announcements)));
        }
        self.pump(now);
        res
    }

    /// Asks peers for loans, nearest first; cheap when no resource is short.
    pub fn tick_shares(&mut self, now: Instant) -> Vec<Envelope> {
        let peers = self.peers_by_nearness();
        let messages = self.holder.tick(now, &peers);
        messages.into_iter().map(|it| envelope(it, Message::Quota)).collect()
    }

    /// Whether a request just found a resource short, so that shares should be ticked at once.
    pub fn needs_share_tick(&self) -> bool {
        self.holder.needs_tick()
    }

    /// Handles a message of a peer.
    pub fn receive(&mut self, from: &str, message: Message, now: Instant) -> Vec<Envelope> {
        match message {
            Message::Fleet(it) => {
                if let kingcupford_fleet::Message::Heartbeat(beat) = &it {
                    let own = self.fleet.identity().incarnation;
                    let heard = (beat.ack_incarnation == own).then_some(beat.ack_sequence);
                    self.note_incarnation(from, beat.incarnation);
                    self.holder.heartbeat_received(from, beat.incarnation, heard, now);
                    // A beat that confirms one sent after the pause compares the documents of now.
                    if let Some(resync) = &mut self.resync {
                        resync.confirmed |= heard >= Some(resync.sequence);
                    }
                    if beat.ack_incarnation != own {
                        let standing = self.quarantine.active_quarantines(now);
                        self.fleet_received(from, it, now, standing)
                    } else {
                        self.fleet_received(from, it, now, Vec::new())
                    }
                } else {
                    self.fleet_received(from, it, now, Vec::new())
                }
            }
            Message::Quota(it) => {
                let replies = self.holder.receive(from, it, now);
                self.pump(now);
                replies.into_iter().map(|it| envelope(it, Message::Quota)).collect()
            }
            Message::Quarantine(announcements) => {
                for it in &announcements {
                    self.quarantine.apply_update(it, now);
                }
                Vec::new()
            }
            Message::Reports(it) => {
                self.receive_reports(&it, now);
                Vec::new()
            }
            Message::RolloutEvidence(it) => {
                self.rollouts.merge(&it, now);
                Vec::new()
            }
            Message::RolloutStop(it) => {
                if !self.rollouts.stop(&it) {
                    return Vec::new();
                }
                self.install_caps(now);
                self.to_all(&Message::RolloutStop(it))
            }
        }
    }

    /// Ends the wait after a pause once the newest configuration of the peers is active.
    fn end_resync(&mut self) {
        let head = self.fleet.document(HEAD).map_or(0, |it| it.version);
        let is_current = self.fleet.is_caught_up() && head <= self.snapshot.version.0;
        if is_current && self.resync.is_some_and(|it| it.confirmed) {
            self.resync = None;
        }
    }

    /// Notes the process of a peer; a newer one has bound its address, so the former has ended.
    fn note_incarnation(&mut self, peer: &str, incarnation: u64) {
        match self.incarnations.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            Ok(at) if incarnation > self.incarnations[at].1 => {
                self.holder.peer_terminated(peer, self.incarnations[at].1);
                self.incarnations[at].1 = incarnation;
            }
            Ok(_) => {}
            Err(at) => self.incarnations.insert(at, (peer.to_owned(), incarnation)),
        }
    }

    /// Notes that nothing listens at a peer's address any more, which a process keeps bound for its
    /// whole life.
    pub fn record_peer_unbound(&mut self, peer: &str) {
        if let Ok(at) = self.incarnations.binary_search_by(|it| it.0.as_str().cmp(peer)) {
            self.holder.peer_terminated(peer, self.incarnations[at].1);
        }
    }

    /// Hands a message to membership; `standing` goes to a peer that does not know this process.
    fn fleet_received(
        &mut self,
        from: &str,
        message: kingcupford_fleet::Message,
        now: Instant,
        standing: Vec<kingcupford_route::QuarantineUpdate>,
    ) -> Vec<Envelope> {
        let replies = self.fleet.receive(from, message, now);
        let mut res: Vec<Envelope> =
            replies.into_iter().map(|it| envelope(it, Message::Fleet)).collect();
        if !standing.is_empty() {
            res.push(Envelope { to: from.to_owned(), message: Message::Quarantine(standing) });
        }
        self.adopt_documents(now);
        res
    }

    /// Notes a document that was read from the platform.
    pub fn apply_platform_document(
        &mut self,
        name: &str,
        version: u64,
        bytes: &[u8],
        now: Instant,
    ) {
        self.fleet.record_platform_contact(now);
        if self.fleet.apply_document(name, version, bytes) == ApplyOutcome::Applied {
            self.adopt_documents(now);
        }
    }

    /// Notes that the platform answered.
    pub fn record_platform_contact(&mut self, now: Instant) {
        self.fleet.record_platform_contact(now);
    }

    /// Notes that the platform has no ledger yet.
    pub fn record_ledger_missing(&mut self) {
        self.holder.ledger_missing();
    }

    /// Notes the platform's list of hosts.
    pub fn apply_platform_hosts(&mut self, list: &[ListedHost], now: Instant) {
        self.fleet.record_platform_contact(now);
        self.fleet.apply_platform_hosts(list, now);
    }

    /// Notes that a connection to a peer failed.
    pub fn record_stream_failure(&mut self, host: &str, now: Instant) {
        self.fleet.record_stream_failure(host, now);
    }

    /// Where a peer accepts messages.
    pub fn peer_address(&self, host: &str) -> Option<std::net::SocketAddr> {
        self.fleet.member(host).map(|it| it.peer_address)
    }

    /// Whether this host should follow the platform's watches.
    pub fn is_speaker(&self) -> bool {
        self.fleet.is_speaker()
    }

    /// Chunks of the newest head that are not stored here.
    pub fn missing_chunks(&self) -> Vec<String> {
        self.fleet.documents().missing_chunks()
    }

    /// Stores a chunk that was read from the platform.
    pub fn insert_chunk(&mut self, bytes: &[u8]) {
        self.fleet.documents_mut().insert_chunk(bytes);
    }

    /// The newest configuration when it is newer than the active one and complete.
    pub fn pending_config(&self) -> anyhow::Result<Option<PendingConfig>> {
        let Some(document) = self.fleet.document(HEAD) else { return Ok(None) };
        if document.version <= self.snapshot.version.0 || self.awaits_peers() {
            return Ok(None);
        }
        let head: Head =
            serde_json::from_slice(&document.bytes).context("head of configuration")?;
        let documents = self.fleet.documents();
        let chunks = head.chunks.iter().map(|it| documents.chunk(&it.sha256).cloned());
        let Some(chunks) = chunks.collect::<Option<Vec<_>>>() else { return Ok(None) };
        Ok(Some(PendingConfig { head, chunks }))
    }

    /// Whether this process has just started and peers may have a newer configuration than the
    /// platform, which may serve an old state.
    fn awaits_peers(&self) -> bool {
        let time = self.last_tick.saturating_duration_since(self.started);
        self.snapshot.version.0 == 0
            && time < MAX_PEERS_WAIT
            && self.fleet.members().len() > 1
            && !self.fleet.is_caught_up()
    }

    /// The conditional update of the ledger that is due.
    pub fn propose_ledger(&mut self, now: Instant) -> Option<Proposal> {
        self.holder.propose_ledger(now)
    }

    /// Reports what became of a ledger update.
    pub fn record_proposal_outcome(
        &mut self,
        proposal: &Proposal,
        outcome: WriteOutcome,
        now: Instant,
    ) {
        let known = match &outcome {
            WriteOutcome::Written(version) => Some((*version, &proposal.ledger)),
            WriteOutcome::Conflict(version, ledger) => Some((*version, ledger)),
            WriteOutcome::Unknown => None,
        };
        if let Some((version, ledger)) = known
            && let Ok(bytes) = serde_json::to_vec(ledger)
        {
            self.fleet.record_platform_contact(now);
            self.fleet.apply_document(LEDGER_NAME, version, &bytes);
        }
        self.holder.proposal_done(outcome, now);
    }

    /// Writes of rollout objects that are due.
    pub fn rollout_writes(
        &mut self,
        now: Instant,
        unix_ms: u64,
    ) -> Vec<kingcupford_rollout::RolloutWrite> {
        let reachable = self.fleet.reachability(now).platform;
        self.rollouts.writes(now, unix_ms, reachable)
    }

    /// Reports what became of a rollout write.
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
        self.rollouts.written(&write.rollout, outcome, now);
    }

    /// Starts the hand-back of this host's share.
    pub fn start_handover(&mut self, now: Instant) {
        self.holder.start_handover(now);
    }

    /// Whether the hand-back is complete.
    pub fn is_handover_complete(&self) -> bool {
        self.holder.is_handover_complete()
    }

    /// Takes over documents that became newer.
    fn adopt_documents(&mut self, now: Instant) {
        for name in self.fleet.take_updated_documents() {
            let Some(document) = self.fleet.document(&name).cloned() else { continue };
            if name == HEAD {
                if let Ok(head) = serde_json::from_slice::<Head>(&document.bytes) {
                    let chunks = head.chunks.into_iter().map(|it| it.sha256).collect();
                    self.fleet.documents_mut().set_required_chunks(document.version, chunks);
                }
            } else if name == LEDGER_NAME {
                if let Ok(ledger) = serde_json::from_slice::<Ledger>(&document.bytes) {
                    self.holder.adopt_ledger(document.version, ledger, now);
                    self.told.notices.push(EngineEvent::LedgerChanged(document.version));
                }
            } else if name.starts_with(ROLLOUT_PREFIX)
                && let Ok(rollout) = serde_json::from_slice::<Rollout>(&document.bytes)
                && self.rollouts.adopt(rollout, document.version, now)
            {
                self.install_caps(now);
            }
        }
    }

    /// Stops rollouts on evidence and tells peers.
    fn tick_rollouts(&mut self, now: Instant, unix_ms: u64) -> Vec<Envelope> {
        let tick = self.rollouts.tick(now, unix_ms);
        if tick.shares_changed {
            self.install_caps(now);
        }
        let mut res = Vec::new();
        for stop in tick.stops {
            self.told.notices.push(EngineEvent::RolloutStopped {
                service: stop.service.clone(),
                reason: format!("{:?}", stop.reason),
            });
            res.extend(self.to_all(&Message::RolloutStop(stop)));
        }
        if now >= self.next_evidence {
            self.next_evidence = now + EVIDENCE_EVERY;
            for stop in self.rollouts.standing_stops() {
                res.extend(self.to_all(&Message::RolloutStop(stop)));
            }
            for evidence in self.rollouts.evidence() {
                res.extend(self.to_all(&Message::RolloutEvidence(evidence)));
            }
        }
        res
    }

    /// One envelope for each peer that is not gone.
    fn to_all(&self, message: &Message) -> Vec<Envelope> {
        let peers = self.peers_by_nearness();
        peers.into_iter().map(|to| Envelope { to, message: message.clone() }).collect()
    }

    /// Peers that can answer, the own zone first, then the own region, then the others.
    pub(crate) fn peers_by_nearness(&self) -> Vec<String> {
        let own = self.fleet.identity();
        let region = |zone: &str| {
            let zone = self.snapshot.zones.id(zone)?;
            Some(self.snapshot.region_of(zone))
        };
        let own_region = region(&own.zone);
        let mut res: Vec<(u8, &str)> = self
            .fleet
            .members()
            .iter()
            .filter(|it| it.name != own.name)
            .filter(|it| matches!(it.state, MemberState::Live | MemberState::Draining))
            .map(|it| {
                let distance = if it.zone == own.zone {
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

    /// Running requests against the slots of this host's share of its own region.
    fn load_permille(&self) -> u16 {
        let Some((_, region)) = self.home() else { return 0 };
        let instances = self.snapshot.instances.iter().filter(|(_, it)| it.region == region);
        let slots: u32 = instances.map(|(_, it)| it.slots).sum();
        let hosts = self.fleet.members().iter().filter(|it| it.state == MemberState::Live).count();
        let share = f64::from(slots) / hosts.max(1) as f64;
        (self.requests.len() as f64 / share.max(1.0) * 1000.0).min(10_000.0) as u16
    }
}

/// Wraps a message with its recipient.
fn envelope<T>((to, message): (String, T), wrap: impl Fn(T) -> Message) -> Envelope {
    Envelope { to, message: wrap(message) }
}
