//! Control loops of simulated hosts: ticks, peer messages, platform calls and configurations.

use std::{sync::Arc, time::Duration};

use kingcupford_config::Head;
use kingcupford_engine::{Envelope, LEDGER_NAME, Message, ROLLOUT_PREFIX};
use kingcupford_fleet::ListedHost;
use kingcupford_quota::{Ledger, WriteOutcome};
use rand::Rng as _;

use crate::{
    event::{Event, HostIndex, ProcessId},
    platform::{Answer, Call, Object},
    policy::Policy,
    world::World,
};

const TICK_INTERVAL_US: u64 = 50_000;

const WRITE_CHECK_INTERVAL_US: u64 = 200_000;

const HOST_LIST_INTERVAL_US: u64 = 2_000_000;

const ANNOUNCE_INTERVAL_US: u64 = 5_000_000;

/// Time after which a watch call without changes ends.
const WATCH_TIMEOUT_US: u64 = 20_000_000;

/// Delay before a read that was not answered is retried.
const PLATFORM_RETRY_DELAY_US: u64 = 500_000;

/// Interval of checks whether a host has become a speaker.
const SPEAKER_CHECK_INTERVAL_US: u64 = 1_000_000;

const PLATFORM_CALL_TIMEOUT_US: u64 = 2_000_000;

const PLATFORM_SERVICE_TIME_US: u64 = 3_000;

/// Delay between a change of an object and the end of the watches for it.
const WATCH_NOTIFY_DELAY_US: u64 = 20_000;

/// Interval at which a host under the baseline reads the configuration.
const BASELINE_READ_INTERVAL_US: u64 = 5_000_000;

impl World {
    /// Runs a tick of the engine, sends its messages and activates a configuration whose chunks are
    /// complete.
    pub(crate) fn tick(&mut self, to: ProcessId) {
        self.clock.after(TICK_INTERVAL_US, Event::TickDue { to });
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let Some(engine) = self.process_mut(to.host).and_then(|it| it.policy.engine()) else {
            return;
        };
        let envelopes = engine.tick(now, unix_ms);
        let pending = engine.pending_config();
        let previous = Arc::clone(engine.snapshot());
        self.send_messages(to, envelopes);
        if let Ok(Some(pending)) = pending
            && let Ok(snapshot) = pending.compile(&previous)
            && let Some(process) = self.process_mut(to.host)
        {
            process.policy.install(Arc::new(snapshot), now);
        }
        self.start_ready_requests(to);
    }

    /// Requests loans immediately if a request found too little of a resource.
    pub(crate) fn tick_shares_if_needed(&mut self, to: ProcessId) {
        let now = self.clock.now();
        let Some(engine) = self.process_mut(to.host).and_then(|it| it.policy.engine()) else {
            return;
        };
        if engine.needs_share_tick() {
            let envelopes = engine.tick_shares(now);
            self.send_messages(to, envelopes);
        }
    }

    /// Sends messages to their hosts; messages to hosts that cannot be reached are dropped.
    fn send_messages(&mut self, from: ProcessId, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let Some(peer) = self.hosts.iter().position(|it| it.name == envelope.to) else {
                continue;
            };
            let (from_zone, to_zone) = (self.hosts[from.host].zone, self.hosts[peer].zone);
            if !self.network.are_connected(from_zone, to_zone) {
                continue;
            }
            let to = self.process_id(peer);
            let latency_us = self.network.latency_us(from_zone, to_zone);
            let message = Box::new(envelope.message);
            self.clock.after(latency_us, Event::MessageArrived { from: from.host, to, message });
        }
    }

    /// Delivers a message to the engine of a host.
    pub(crate) fn handle_message(&mut self, from: HostIndex, to: ProcessId, message: Message) {
        let now = self.clock.now();
        let name = self.hosts[from].name.clone();
        let Some(engine) = self.process_mut(to.host).and_then(|it| it.policy.engine()) else {
            return;
        };
        let envelopes = engine.receive(&name, message, now);
        self.send_messages(to, envelopes);
        self.start_ready_requests(to);
    }

    /// Reports the failure of a connection to a peer to the engine of a host.
    pub(crate) fn handle_stream_failure(&mut self, to: ProcessId, peer: HostIndex) {
        let now = self.clock.now();
        let name = self.hosts[peer].name.clone();
        if let Some(engine) = self.process_mut(to.host).and_then(|it| it.policy.engine()) {
            engine.record_stream_failure(&name, now);
        }
    }

    /// Reads or watches the platform's objects if the host is a speaker, or runs the baseline.
    pub(crate) fn follow_platform(&mut self, to: ProcessId) {
        let Some(process) = self.process_mut(to.host) else { return };
        let follows = match &process.policy {
            Policy::System(it) => it.is_speaker(),
            Policy::Baseline(_) => true,
        };
        if !follows {
            process.watch_revision = None;
            self.clock.after(SPEAKER_CHECK_INTERVAL_US, Event::FollowDue { to });
            return;
        }
        let after = process.watch_revision;
        self.call_platform(to, Call::Follow { after });
    }

    /// Reads the list of hosts periodically if the host is a speaker.
    pub(crate) fn read_hosts(&mut self, to: ProcessId) {
        self.clock.after(HOST_LIST_INTERVAL_US, Event::HostListDue { to });
        let engine = self.process_mut(to.host).and_then(|it| it.policy.engine());
        if engine.is_some_and(|it| it.is_speaker()) {
            self.call_platform(to, Call::Hosts);
        }
    }

    /// Announces a host to the platform periodically.
    pub(crate) fn announce(&mut self, to: ProcessId) {
        self.clock.after(ANNOUNCE_INTERVAL_US, Event::AnnouncementDue { to });
        let mut listed_host = self.listed_host(to.host);
        if let Some(engine) = self.process_mut(to.host).and_then(|it| it.policy.engine()) {
            listed_host.draining = engine.is_draining();
            self.call_platform(to, Call::Announce(listed_host));
        }
    }

    /// Returns the entry of a host in the host list.
    pub(crate) fn listed_host(&self, host: HostIndex) -> ListedHost {
        let host = &self.hosts[host];
        ListedHost {
            name: host.name.clone(),
            zone: host.zone_name.clone(),
            peer_address: host.address,
            public_addresses: vec![format!("{}:443", host.address.ip())],
            draining: false,
        }
    }

    /// Writes the ledger and the rollouts that are due to the platform, one batch at a time.
    pub(crate) fn check_writes(&mut self, to: ProcessId) {
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let Some(process) = self.process_mut(to.host) else { return };
        if process.pending_writes > 0 {
            return;
        }
        let Some(engine) = process.policy.engine() else { return };
        let proposal = engine.propose_ledger(now);
        let writes = engine.rollout_writes(now, unix_ms);
        process.pending_writes = writes.len() as u32 + u32::from(proposal.is_some());
        if process.pending_writes == 0 {
            self.clock.after(WRITE_CHECK_INTERVAL_US, Event::WriteCheckDue { to });
        }
        if let Some(it) = proposal {
            self.call_platform(to, Call::Ledger(it));
        }
        for write in writes {
            self.call_platform(to, Call::Rollout(write));
        }
    }

    /// Records that a write was answered or lost, and schedules the next check after the last one.
    fn finish_write(&mut self, to: ProcessId) {
        let Some(process) = self.process_mut(to.host) else { return };
        process.pending_writes = process.pending_writes.saturating_sub(1);
        if process.pending_writes == 0 {
            self.clock.after(WRITE_CHECK_INTERVAL_US, Event::WriteCheckDue { to });
        }
    }

    /// Sends a call to the platform; across a partition it times out.
    fn call_platform(&mut self, from: ProcessId, call: Call) {
        let zone = self.hosts[from.host].zone;
        if !self.network.reaches_platform(zone) {
            let answer = Box::new(Answer::Lost(call));
            self.clock
                .after(PLATFORM_CALL_TIMEOUT_US, Event::PlatformAnswered { to: from, answer });
            return;
        }
        let latency_us = self.network.platform_latency_us(zone);
        self.clock.after(latency_us, Event::PlatformCallArrived { from, call: Box::new(call) });
    }

    /// Handles a call at the platform.
    pub(crate) fn handle_platform_call(&mut self, from: ProcessId, call: Call) {
        if !self.platform.is_up() {
            return self.send_answer(from, Answer::Lost(call), 0);
        }
        let now_us = self.clock.now_us();
        match call {
            Call::Follow { after: Some(after) } if after >= self.platform.revision => {
                let watch = self.platform.add_watch(from, after);
                self.clock.after(WATCH_TIMEOUT_US, Event::WatchTimedOut { from, watch });
            }
            Call::Follow { after } => self.send_documents(from, after),
            Call::Chunks { names, revision } => {
                let object = |it: &String| self.platform.object(&format!("chunk/{it}"));
                let chunks = names.iter().filter_map(object).map(|it| Arc::clone(&it.bytes));
                let chunks = chunks.collect();
                let lost = Call::Chunks { names, revision };
                self.send_answer_or_lose(from, Answer::Chunks { chunks, revision }, lost, 1);
            }
            Call::Hosts => {
                let hosts = self.platform.listed_hosts(now_us);
                self.send_answer_or_lose(from, Answer::Hosts(hosts), Call::Hosts, 1);
            }
            Call::Announce(listed_host) => self.platform.record_announcement(listed_host, now_us),
            Call::Ledger(proposal) => {
                let bytes = serde_json::to_vec(&proposal.ledger).unwrap_or_default();
                let written = self.platform.write(LEDGER_NAME, &bytes, proposal.base_version);
                self.wake_watches();
                let (outcome, round_trips) = match written {
                    Some(version) => (WriteOutcome::Written(version), 1),
                    None => (self.ledger_conflict(), 2),
                };
                let lost = Call::Ledger(proposal.clone());
                self.send_answer_or_lose(
                    from,
                    Answer::Ledger(proposal, outcome),
                    lost,
                    round_trips,
                );
            }
            Call::Rollout(write) => {
                use kingcupford_rollout::WriteOutcome as RolloutWriteOutcome;
                let name = format!("{ROLLOUT_PREFIX}{}", write.rollout.service);
                let bytes = serde_json::to_vec(&write.rollout).unwrap_or_default();
                let written = self.platform.write(&name, &bytes, write.expected_version);
                self.record_rollout_ends();
                self.wake_watches();
                let newer = self.platform.object(&name).cloned();
                let (outcome, newer, round_trips) = match written {
                    Some(version) => (RolloutWriteOutcome::Written { version }, None, 1),
                    None => (RolloutWriteOutcome::Conflict, newer, 2),
                };
                let lost = Call::Rollout(write.clone());
                self.send_answer_or_lose(
                    from,
                    Answer::Rollout(write, outcome, newer),
                    lost,
                    round_trips,
                );
            }
        }
    }

    /// Returns the outcome of a ledger write whose expected version is outdated.
    fn ledger_conflict(&self) -> WriteOutcome {
        let object = self.platform.object(LEDGER_NAME);
        let ledger = object.and_then(|it| serde_json::from_slice::<Ledger>(&it.bytes).ok());
        match (object, ledger) {
            (Some(object), Some(ledger)) => WriteOutcome::Conflict(object.version, ledger),
            _ => WriteOutcome::Unknown,
        }
    }

    /// Sends the changed documents. Reading them takes a second round trip after the watch.
    fn send_documents(&mut self, to: ProcessId, after: Option<u64>) {
        let documents = self.platform.changed_objects(after);
        let is_ledger_missing = after.is_none() && !documents.iter().any(|it| it.0 == LEDGER_NAME);
        let revision = self.platform.revision;
        let answer = Answer::Documents { revision, documents, is_ledger_missing };
        self.send_answer_or_lose(to, answer, Call::Follow { after }, 2);
    }

    /// Sends an answer after a number of round trips, unless it is lost or exceeds the call
    /// timeout.
    fn send_answer_or_lose(&mut self, to: ProcessId, answer: Answer, lost: Call, round_trips: u64) {
        let loss = self.platform.lost_answer_fraction();
        let is_lost = loss > 0.0 && self.rng.random::<f64>() < loss;
        let delay_us = self.platform.delay_us() + PLATFORM_SERVICE_TIME_US;
        if is_lost || delay_us >= PLATFORM_CALL_TIMEOUT_US {
            return self.send_answer(to, Answer::Lost(lost), PLATFORM_CALL_TIMEOUT_US);
        }
        let latency_us = self.network.platform_latency_us(self.hosts[to.host].zone);
        let extra_round_trips_us = (round_trips - 1) * (2 * latency_us + delay_us);
        self.send_answer(to, answer, delay_us + extra_round_trips_us);
    }

    /// Sends an answer of the platform after a delay.
    fn send_answer(&mut self, to: ProcessId, answer: Answer, delay_us: u64) {
        let latency_us = self.network.platform_latency_us(self.hosts[to.host].zone);
        let answer = Box::new(answer);
        self.clock.after(delay_us + latency_us, Event::PlatformAnswered { to, answer });
    }

    /// Answers the watches that are ended by a change.
    pub(crate) fn wake_watches(&mut self) {
        for watch in self.platform.take_woken_watches() {
            let call = Box::new(Call::Follow { after: Some(watch.after) });
            self.clock.after(
                WATCH_NOTIFY_DELAY_US,
                Event::PlatformCallArrived { from: watch.from, call },
            );
        }
    }

    /// Breaks all pending watches at the start of a platform outage.
    pub(crate) fn break_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let call = Call::Follow { after: Some(watch.after) };
            self.send_answer(watch.from, Answer::Lost(call), 0);
        }
    }

    /// Ends a watch that timed out without changes.
    pub(crate) fn handle_watch_timeout(&mut self, from: ProcessId, watch: u64) {
        let at = self.platform.watches.iter().position(|it| it.id == watch);
        if let Some(at) = at {
            let after = self.platform.watches.remove(at).after;
            let answer = Answer::Documents {
                revision: after,
                documents: Vec::new(),
                is_ledger_missing: false,
            };
            self.send_answer(from, answer, 0);
        }
    }

    /// Handles an answer of the platform at a host.
    pub(crate) fn handle_platform_answer(&mut self, to: ProcessId, answer: Answer) {
        let zone = self.hosts[to.host].zone;
        let answer = match answer {
            Answer::Lost(call) => return self.handle_lost_call(to, call),
            // A partition that started after the call blocks the answer.
            _ if !self.network.reaches_platform(zone) => return self.drop_answer(to, answer),
            it => it,
        };
        let now = self.clock.now();
        let Some(process) = self.process_mut(to.host) else { return };
        let engine = match &mut process.policy {
            Policy::System(it) => it,
            Policy::Baseline(_) => return self.apply_baseline_answer(to, answer),
        };
        match answer {
            Answer::Documents { revision, documents, is_ledger_missing } => {
                engine.record_platform_contact(now);
                for (name, version, bytes) in &documents {
                    engine.apply_platform_document(name, *version, bytes, now);
                }
                if is_ledger_missing {
                    engine.record_ledger_missing();
                }
                let names = engine.missing_chunks();
                if names.is_empty() {
                    process.watch_revision = Some(revision);
                    self.follow_platform(to);
                } else {
                    self.call_platform(to, Call::Chunks { names, revision });
                }
                self.start_ready_requests(to);
            }
            Answer::Chunks { chunks, revision } => {
                chunks.iter().for_each(|it| engine.insert_chunk(it));
                process.watch_revision = Some(revision);
                self.follow_platform(to);
            }
            Answer::Hosts(list) => engine.apply_platform_hosts(&list, now),
            Answer::Ledger(proposal, outcome) => {
                engine.record_proposal_outcome(&proposal, outcome, now);
                self.finish_write(to);
                self.start_ready_requests(to);
            }
            Answer::Rollout(write, outcome, newer) => {
                engine.record_rollout_outcome(&write, outcome, now);
                if let Some(Object { version, bytes }) = newer {
                    let name = format!("{ROLLOUT_PREFIX}{}", write.rollout.service);
                    engine.apply_platform_document(&name, version, &bytes, now);
                }
                self.finish_write(to);
            }
            Answer::Lost(_) => {}
        }
    }

    /// Turns an answer that was blocked by a partition into a timeout of its call. A blocked host
    /// list is dropped, because the list is read again periodically.
    fn drop_answer(&mut self, to: ProcessId, answer: Answer) {
        let call = match answer {
            Answer::Documents { .. } | Answer::Chunks { .. } => {
                let after = self.process_mut(to.host).and_then(|it| it.watch_revision);
                Call::Follow { after }
            }
            Answer::Ledger(proposal, _) => Call::Ledger(proposal),
            Answer::Rollout(write, _, _) => Call::Rollout(write),
            Answer::Hosts(_) | Answer::Lost(_) => return,
        };
        let answer = Box::new(Answer::Lost(call));
        self.clock.after(PLATFORM_CALL_TIMEOUT_US, Event::PlatformAnswered { to, answer });
    }

    /// Handles a call that was not answered.
    fn handle_lost_call(&mut self, to: ProcessId, call: Call) {
        let now = self.clock.now();
        let Some(process) = self.process_mut(to.host) else { return };
        match call {
            Call::Follow { .. } | Call::Chunks { .. } => {
                self.clock.after(PLATFORM_RETRY_DELAY_US, Event::FollowDue { to });
            }
            Call::Ledger(proposal) => {
                if let Some(engine) = process.policy.engine() {
                    engine.record_proposal_outcome(&proposal, WriteOutcome::Unknown, now);
                }
                self.finish_write(to);
            }
            Call::Rollout(write) => {
                if let Some(engine) = process.policy.engine() {
                    let outcome = kingcupford_rollout::WriteOutcome::Unknown;
                    engine.record_rollout_outcome(&write, outcome, now);
                }
                self.finish_write(to);
            }
            Call::Hosts | Call::Announce(_) => {}
        }
    }

    /// Handles documents at a host under the baseline, which reads all of them periodically.
    fn apply_baseline_answer(&mut self, to: ProcessId, answer: Answer) {
        let Answer::Documents { documents, .. } = answer else { return };
        self.clock.after(BASELINE_READ_INTERVAL_US, Event::FollowDue { to });
        let now = self.clock.now();
        let head = documents.iter().find(|it| it.0 == "config/head");
        let head = head.and_then(|it| serde_json::from_slice::<Head>(&it.2).ok());
        let rollouts = documents.iter().filter(|it| it.0.starts_with(ROLLOUT_PREFIX));
        let rollouts: Vec<_> =
            rollouts.filter_map(|it| serde_json::from_slice(&it.2).ok()).collect();
        let Some(process) = self.hosts[to.host].process.as_mut() else { return };
        let Policy::Baseline(policy) = &mut process.policy else { return };
        rollouts.iter().for_each(|it| policy.adopt(it));
        let Some(head) = head.filter(|it| it.version > policy.snapshot().version.0) else { return };
        let chunks = head.chunks.iter();
        let chunks = chunks.filter_map(|it| self.platform.object(&format!("chunk/{}", it.sha256)));
        let chunks = chunks.map(|it| Arc::clone(&it.bytes)).collect();
        let pending = kingcupford_engine::PendingConfig { head, chunks };
        if let Ok(snapshot) = pending.compile(policy.snapshot()) {
            policy.install(Arc::new(snapshot), now);
        }
    }

    /// Starts the control loops of a new process with random offsets.
    pub(crate) fn start_control_loops(&mut self, to: ProcessId) {
        for event in [
            Event::TickDue { to },
            Event::FollowDue { to },
            Event::AnnouncementDue { to },
            Event::HostListDue { to },
            Event::WriteCheckDue { to },
        ] {
            let max_delay_us = Duration::from_millis(50).as_micros() as u64;
            let delay_us = self.rng.random_range(0..max_delay_us);
            self.clock.after(delay_us, event);
        }
    }
}
