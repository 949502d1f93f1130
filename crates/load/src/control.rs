//! Control work of simulated hosts: ticks, messages, platform calls and configurations.

use std::{sync::Arc, time::Duration};

use kingcupford_config::Head;
use kingcupford_engine::{Envelope, LEDGER_NAME, Message, ROLLOUT_PREFIX};
use kingcupford_fleet::ListedHost;
use kingcupford_quota::{Ledger, WriteOutcome};
use rand::Rng as _;

use crate::{
    event::{Event, HostIndex, Process},
    platform::{Answer, Call, Object},
    policy::Policy,
    world::World,
};

/// Time between two ticks of the policy.
const TICK_US: u64 = 50_000;

/// Time between two checks for writes that are due.
const WRITE_CHECK_US: u64 = 200_000;

/// Time between two readings of the list of hosts.
const HOSTS_EVERY_US: u64 = 2_000_000;

/// Time between two announcements.
const ANNOUNCE_EVERY_US: u64 = 5_000_000;

/// Longest wait of one watch call.
const WATCH_WAIT_US: u64 = 20_000_000;

/// Wait after a call that was not answered.
const PLATFORM_RETRY_US: u64 = 500_000;

/// Time between two checks whether a host became a speaker.
const SPEAKER_CHECK_US: u64 = 1_000_000;

/// Time after which a call counts as not answered.
const CALL_TIMEOUT_US: u64 = 2_000_000;

/// Time that the platform takes for a call.
const PLATFORM_WORK_US: u64 = 3_000;

/// Time after which an object change wakes watches.
const WATCH_LAG_US: u64 = 20_000;

/// Time between two readings of the configuration by a host of the baseline.
const BASELINE_READ_US: u64 = 5_000_000;

impl World {
    /// Ticks a policy, sends its messages and installs a configuration that became complete.
    pub(crate) fn tick(&mut self, to: Process) {
        self.clock.after(TICK_US, Event::Tick { to });
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let Some(engine) = self.process(to.host).and_then(|it| it.policy.engine()) else { return };
        let envelopes = engine.tick(now, unix_ms);
        let pending = engine.pending_config();
        let previous = Arc::clone(engine.snapshot());
        self.send_messages(to, envelopes);
        if let Ok(Some(pending)) = pending
            && let Ok(snapshot) = pending.compile(&previous)
            && let Some(process) = self.process(to.host)
        {
            process.policy.install(Arc::new(snapshot), now);
        }
        self.wake(to);
    }

    /// Asks for loans at once when a request found a resource short.
    pub(crate) fn tick_shares_if_needed(&mut self, to: Process) {
        let now = self.clock.now();
        let Some(engine) = self.process(to.host).and_then(|it| it.policy.engine()) else { return };
        if engine.needs_share_tick() {
            let envelopes = engine.tick_shares(now);
            self.send_messages(to, envelopes);
        }
    }

    /// Puts messages on their way.
    fn send_messages(&mut self, from: Process, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let Some(peer) = self.hosts.iter().position(|it| it.name == envelope.to) else {
                continue;
            };
            let (a, b) = (self.hosts[from.host].zone, self.hosts[peer].zone);
            if !self.network.connected(a, b) {
                continue;
            }
            let to = self.process_name(peer);
            let way_us = self.network.latency_us(a, b);
            let message = Box::new(envelope.message);
            self.clock.after(way_us, Event::Message { from: from.host, to, message });
        }
    }

    /// Hands a message to its policy.
    pub(crate) fn message(&mut self, from: HostIndex, to: Process, message: Message) {
        let now = self.clock.now();
        let name = self.hosts[from].name.clone();
        let Some(engine) = self.process(to.host).and_then(|it| it.policy.engine()) else { return };
        let envelopes = engine.receive(&name, message, now);
        self.send_messages(to, envelopes);
        self.wake(to);
    }

    /// Tells a policy that a connection failed.
    pub(crate) fn stream_failed(&mut self, to: Process, peer: HostIndex) {
        let now = self.clock.now();
        let name = self.hosts[peer].name.clone();
        if let Some(engine) = self.process(to.host).and_then(|it| it.policy.engine()) {
            engine.record_stream_failure(&name, now);
        }
    }

    /// Follows the platform's objects while the host is a speaker.
    pub(crate) fn follow(&mut self, to: Process) {
        let Some(process) = self.process(to.host) else { return };
        let follows = match &process.policy {
            Policy::System(it) => it.is_speaker(),
            Policy::Baseline(_) => true,
        };
        if !follows {
            process.after = None;
            self.clock.after(SPEAKER_CHECK_US, Event::Follow { to });
            return;
        }
        let after = process.after;
        self.call(to, Call::Follow { after });
    }

    /// Reads the list of hosts.
    pub(crate) fn read_hosts(&mut self, to: Process) {
        self.clock.after(HOSTS_EVERY_US, Event::ReadHosts { to });
        let engine = self.process(to.host).and_then(|it| it.policy.engine());
        if engine.is_some_and(|it| it.is_speaker()) {
            self.call(to, Call::Hosts);
        }
    }

    /// Announces a host.
    pub(crate) fn announce(&mut self, to: Process) {
        self.clock.after(ANNOUNCE_EVERY_US, Event::Announce { to });
        let mut candidate = self.candidate(to.host);
        if let Some(engine) = self.process(to.host).and_then(|it| it.policy.engine()) {
            candidate.draining = engine.is_draining();
            self.call(to, Call::Announce(candidate));
        }
    }

    /// A host as the list names it.
    pub(crate) fn candidate(&self, host: HostIndex) -> ListedHost {
        let host = &self.hosts[host];
        ListedHost {
            name: host.name.clone(),
            zone: host.zone_name.clone(),
            peer_address: host.address,
            public_addresses: vec![format!("{}:443", host.address.ip())],
            draining: false,
        }
    }

    /// Writes what the policy wants to keep.
    pub(crate) fn write_check(&mut self, to: Process) {
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let Some(process) = self.process(to.host) else { return };
        if process.writing > 0 {
            return;
        }
        let Some(engine) = process.policy.engine() else { return };
        let proposal = engine.propose_ledger(now);
        let writes = engine.rollout_writes(now, unix_ms);
        process.writing = writes.len() as u32 + u32::from(proposal.is_some());
        if process.writing == 0 {
            self.clock.after(WRITE_CHECK_US, Event::WriteCheck { to });
        }
        if let Some(it) = proposal {
            self.call(to, Call::Ledger(it));
        }
        for write in writes {
            self.call(to, Call::Rollout(write));
        }
    }

    /// A write was answered or given up.
    fn write_done(&mut self, to: Process) {
        let Some(process) = self.process(to.host) else { return };
        process.writing = process.writing.saturating_sub(1);
        if process.writing == 0 {
            self.clock.after(WRITE_CHECK_US, Event::WriteCheck { to });
        }
    }

    /// Puts a call on its way to the platform.
    fn call(&mut self, from: Process, call: Call) {
        let zone = self.hosts[from.host].zone;
        if !self.network.hears_platform(zone) {
            let answer = Box::new(Answer::Lost(call));
            self.clock.after(CALL_TIMEOUT_US, Event::PlatformAnswers { to: from, answer });
            return;
        }
        let way_us = self.network.platform_us(zone);
        self.clock.after(way_us, Event::AtPlatform { from, call: Box::new(call) });
    }

    /// A call reaches the platform.
    pub(crate) fn at_platform(&mut self, from: Process, call: Call) {
        if !self.platform.is_up() {
            return self.reply(from, Answer::Lost(call), 0);
        }
        let now_us = self.clock.now_us();
        match call {
            Call::Follow { after: Some(after) } if after >= self.platform.revision => {
                let watch = self.platform.watch(from, after);
                self.clock.after(WATCH_WAIT_US, Event::WatchEnds { from, watch });
            }
            Call::Follow { after } => self.reply_documents(from, after),
            Call::Chunks { names, revision } => {
                let object = |it: &String| self.platform.object(&format!("chunk/{it}"));
                let chunks = names.iter().filter_map(object).map(|it| Arc::clone(&it.bytes));
                let chunks = chunks.collect();
                let lost = Call::Chunks { names, revision };
                self.reply_or_lose(from, Answer::Chunks { chunks, revision }, lost, 1);
            }
            Call::Hosts => {
                let hosts = self.platform.hosts(now_us);
                self.reply_or_lose(from, Answer::Hosts(hosts), Call::Hosts, 1);
            }
            Call::Announce(candidate) => self.platform.announce(candidate, now_us),
            Call::Ledger(proposal) => {
                let bytes = serde_json::to_vec(&proposal.ledger).unwrap_or_default();
                let written = self.platform.write(LEDGER_NAME, &bytes, proposal.base_version);
                self.wake_watches();
                let (outcome, trips) = match written {
                    Some(version) => (WriteOutcome::Written(version), 1),
                    None => (self.ledger_conflict(), 2),
                };
                let lost = Call::Ledger(proposal.clone());
                self.reply_or_lose(from, Answer::Ledger(proposal, outcome), lost, trips);
            }
            Call::Rollout(write) => {
                use kingcupford_rollout::WriteOutcome as Reported;
                let name = format!("{ROLLOUT_PREFIX}{}", write.rollout.service);
                let bytes = serde_json::to_vec(&write.rollout).unwrap_or_default();
                let written = self.platform.write(&name, &bytes, Some(write.expected_version));
                self.observe_rollout();
                self.wake_watches();
                let newer = self.platform.object(&name).cloned();
                let (outcome, newer, trips) = match written {
                    Some(version) => (Reported::Written { version }, None, 1),
                    None => (Reported::Conflict, newer, 2),
                };
                let lost = Call::Rollout(write.clone());
                self.reply_or_lose(from, Answer::Rollout(write, outcome, newer), lost, trips);
            }
        }
    }

    /// What a writer of the ledger learns when its condition fails.
    fn ledger_conflict(&self) -> WriteOutcome {
        let object = self.platform.object(LEDGER_NAME);
        let ledger = object.and_then(|it| serde_json::from_slice::<Ledger>(&it.bytes).ok());
        match (object, ledger) {
            (Some(object), Some(ledger)) => WriteOutcome::Conflict(object.version, ledger),
            _ => WriteOutcome::Unknown,
        }
    }

    /// Sends changed documents; reading them takes another round trip after the watch.
    fn reply_documents(&mut self, to: Process, after: Option<u64>) {
        let documents = self.platform.changed(after);
        let lacks_ledger = after.is_none() && !documents.iter().any(|it| it.0 == LEDGER_NAME);
        let revision = self.platform.revision;
        let answer = Answer::Documents { revision, documents, lacks_ledger };
        self.reply_or_lose(to, answer, Call::Follow { after }, 2);
    }

    /// Sends an answer, unless it gets lost or comes too late.
    fn reply_or_lose(&mut self, to: Process, answer: Answer, lost: Call, round_trips: u64) {
        let loss = self.platform.loss();
        let is_lost = loss > 0.0 && self.rng.random::<f64>() < loss;
        let delay_us = self.platform.delay_us() + PLATFORM_WORK_US;
        if is_lost || delay_us >= CALL_TIMEOUT_US {
            return self.reply(to, Answer::Lost(lost), CALL_TIMEOUT_US);
        }
        let way_us = self.network.platform_us(self.hosts[to.host].zone);
        let further_us = (round_trips - 1) * (2 * way_us + delay_us);
        self.reply(to, answer, delay_us + further_us);
    }

    /// Sends an answer of the platform after a time.
    fn reply(&mut self, to: Process, answer: Answer, delay_us: u64) {
        let way_us = self.network.platform_us(self.hosts[to.host].zone);
        let answer = Box::new(answer);
        self.clock.after(delay_us + way_us, Event::PlatformAnswers { to, answer });
    }

    /// Answers the watches that a change ends.
    pub(crate) fn wake_watches(&mut self) {
        for watch in self.platform.woken() {
            let call = Box::new(Call::Follow { after: Some(watch.after) });
            self.clock.after(WATCH_LAG_US, Event::AtPlatform { from: watch.from, call });
        }
    }

    /// Breaks pending watches because the platform goes away.
    pub(crate) fn break_watches(&mut self) {
        for watch in std::mem::take(&mut self.platform.watches) {
            let call = Call::Follow { after: Some(watch.after) };
            self.reply(watch.from, Answer::Lost(call), 0);
        }
    }

    /// Ends a watch without changes.
    pub(crate) fn watch_ends(&mut self, from: Process, watch: u64) {
        let at = self.platform.watches.iter().position(|it| it.id == watch);
        if let Some(at) = at {
            let after = self.platform.watches.remove(at).after;
            let answer =
                Answer::Documents { revision: after, documents: Vec::new(), lacks_ledger: false };
            self.reply(from, answer, 0);
        }
    }

    /// Hands an answer of the platform to its policy.
    pub(crate) fn platform_answers(&mut self, to: Process, answer: Answer) {
        let zone = self.hosts[to.host].zone;
        let answer = match answer {
            Answer::Lost(call) => return self.call_lost(to, call),
            // An answer cannot cross a partition that began after the call.
            _ if !self.network.hears_platform(zone) => return self.answer_cut(to, answer),
            it => it,
        };
        let now = self.clock.now();
        let Some(process) = self.process(to.host) else { return };
        let engine = match &mut process.policy {
            Policy::System(it) => it,
            Policy::Baseline(_) => return self.baseline_answer(to, answer),
        };
        match answer {
            Answer::Documents { revision, documents, lacks_ledger } => {
                engine.record_platform_contact(now);
                for (name, version, bytes) in &documents {
                    engine.apply_platform_document(name, *version, bytes, now);
                }
                if lacks_ledger {
                    engine.record_ledger_missing();
                }
                let names = engine.missing_chunks();
                if names.is_empty() {
                    process.after = Some(revision);
                    self.follow(to);
                } else {
                    self.call(to, Call::Chunks { names, revision });
                }
                self.wake(to);
            }
            Answer::Chunks { chunks, revision } => {
                chunks.iter().for_each(|it| engine.insert_chunk(it));
                process.after = Some(revision);
                self.follow(to);
            }
            Answer::Hosts(list) => engine.apply_platform_hosts(&list, now),
            Answer::Ledger(proposal, outcome) => {
                engine.record_proposal_outcome(&proposal, outcome, now);
                self.write_done(to);
                self.wake(to);
            }
            Answer::Rollout(write, outcome, newer) => {
                engine.record_rollout_outcome(&write, outcome, now);
                if let Some(Object { version, bytes }) = newer {
                    let name = format!("{ROLLOUT_PREFIX}{}", write.rollout.service);
                    engine.apply_platform_document(&name, version, &bytes, now);
                }
                self.write_done(to);
            }
            Answer::Lost(_) => {}
        }
    }

    /// An answer was cut off on its way.
    fn answer_cut(&mut self, to: Process, answer: Answer) {
        let call = match answer {
            Answer::Documents { .. } | Answer::Chunks { .. } => {
                let after = self.process(to.host).and_then(|it| it.after);
                Call::Follow { after }
            }
            Answer::Ledger(proposal, _) => Call::Ledger(proposal),
            Answer::Rollout(write, _, _) => Call::Rollout(write),
            Answer::Hosts(_) | Answer::Lost(_) => return,
        };
        let answer = Box::new(Answer::Lost(call));
        self.clock.after(CALL_TIMEOUT_US, Event::PlatformAnswers { to, answer });
    }

    /// A call was not answered.
    fn call_lost(&mut self, to: Process, call: Call) {
        let now = self.clock.now();
        let Some(process) = self.process(to.host) else { return };
        match call {
            Call::Follow { .. } | Call::Chunks { .. } => {
                self.clock.after(PLATFORM_RETRY_US, Event::Follow { to });
            }
            Call::Ledger(proposal) => {
                if let Some(engine) = process.policy.engine() {
                    engine.record_proposal_outcome(&proposal, WriteOutcome::Unknown, now);
                }
                self.write_done(to);
            }
            Call::Rollout(write) => {
                if let Some(engine) = process.policy.engine() {
                    let outcome = kingcupford_rollout::WriteOutcome::Unknown;
                    engine.record_rollout_outcome(&write, outcome, now);
                }
                self.write_done(to);
            }
            Call::Hosts | Call::Announce(_) => {}
        }
    }

    /// A host of the baseline reads everything from the platform from time to time.
    fn baseline_answer(&mut self, to: Process, answer: Answer) {
        let Answer::Documents { documents, .. } = answer else { return };
        self.clock.after(BASELINE_READ_US, Event::Follow { to });
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

    /// Schedules the control loops of a new process.
    pub(crate) fn begin_control(&mut self, to: Process) {
        for event in [
            Event::Tick { to },
            Event::Follow { to },
            Event::Announce { to },
            Event::ReadHosts { to },
            Event::WriteCheck { to },
        ] {
            let spread = Duration::from_millis(50).as_micros() as u64;
            let delay_us = self.rng.random_range(0..spread);
            self.clock.after(delay_us, event);
        }
    }
}
