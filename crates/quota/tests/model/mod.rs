//! A small fleet for tests: holders, a lossy network, and a platform with conditional updates.

#![allow(dead_code, reason = "each test program uses a part of the model")]

mod host;
mod packet;

use std::time::Duration;

use kingcupford_config::{Region, Service, Snapshot, Tenant, VersionId};
use kingcupford_quota::{
    AcquireOutcome, Cap, Holder, Ledger, Message, Proposal, Resource, Settings, WriteOutcome,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::time::Instant;

use self::{host::Host, packet::Packet};

/// Length of a step of the model.
pub(crate) const STEP_MS: u64 = 10;

/// Holders, network and platform.
pub(crate) struct World {
    /// Current time.
    pub(crate) now: Instant,
    /// Time of the first step.
    pub(crate) start: Instant,
    /// Source of all randomness.
    pub(crate) rng: StdRng,
    /// Settings of all holders.
    pub(crate) settings: Settings,
    /// Names of the resources.
    pub(crate) snapshot: Snapshot,
    /// The caps by index.
    pub(crate) caps: Vec<(Resource, Cap)>,
    /// The hosts by index.
    pub(crate) hosts: Vec<Host>,
    /// One-way latency in ms between hosts by index.
    pub(crate) latency_ms: fn(usize, usize) -> u64,
    /// Longest time of a request that holds a permit.
    pub(crate) longest_ms: u64,
    /// Share of messages lost and of messages sent twice.
    pub(crate) loss: f64,
    /// Share of messages delayed by up to 3 s.
    pub(crate) late: f64,
    /// Share of platform answers lost.
    pub(crate) answer_loss: f64,
    /// Whether the platform answers.
    pub(crate) platform_up: bool,
    /// Version and content of the ledger.
    pub(crate) object: Option<(u64, Ledger)>,
    /// Loan requests sent so far.
    pub(crate) requests_sent: u64,
    /// Writes that took effect.
    pub(crate) writes: u64,
    /// Level of a leaky bucket of the cap's rate by resource, which must stay below the burst.
    level: Vec<(f64, Instant)>,
    /// Requests that still run on permits: end, resource index and host with incarnation.
    running: Vec<(Instant, usize, usize, u64)>,
    /// Messages on their way with arrival and recipient.
    packets: Vec<(Instant, usize, Packet)>,
}

impl World {
    /// Hosts that have not started, with a tenant's rate, a second rate and region slots.
    pub(crate) fn new(hosts: usize, seed: u64, settings: Settings) -> Self {
        let mut snapshot = Snapshot::default();
        let tenant = |name: &str| Tenant {
            name: name.to_owned(),
            rate_per_s: 0.0,
            burst: 0.0,
            when_isolated: kingcupford_config::IsolationPolicy::Serve,
        };
        let large = snapshot.tenants.insert("large", tenant("large"));
        let small = snapshot.tenants.insert("small", tenant("small"));
        let region = Region { name: "alpen".to_owned(), zones: Vec::new() };
        let region = snapshot.regions.insert("alpen", region);
        let service = Service {
            name: "katalog".to_owned(),
            routes: Vec::new(),
            versions: Vec::new(),
            active_version: VersionId(0),
        };
        let service = snapshot.services.insert("katalog", service);
        let caps = vec![
            (Resource::TenantRate(large), Cap::Rate { rate_per_s: 200.0, burst: 100.0 }),
            (Resource::TenantRate(small), Cap::Rate { rate_per_s: 10.0, burst: 7.0 }),
            (
                Resource::RegionSlots(service, region),
                Cap::Permits { permits: 21, max_request_duration: MAX_REQUEST_DURATION },
            ),
        ];
        let now = Instant::now();
        let host = |index: usize| Host {
            name: format!("host-{index}"),
            holder: None,
            incarnation: 0,
            paused_until: None,
            group: 0,
            reaches_platform: true,
            demand: vec![0.0; caps.len()],
            due: vec![0.0; caps.len()],
            taken: 0,
            refused: 0,
            waiting: Vec::new(),
            patience: Duration::from_millis(250),
            sequence: 0,
            last_tick: now,
            received: Vec::new(),
        };
        Self {
            longest_ms: MAX_REQUEST_DURATION.as_millis() as u64,
            now,
            start: now,
            rng: StdRng::seed_from_u64(seed),
            settings,
            snapshot,
            level: vec![(0.0, now); caps.len()],
            hosts: (0..hosts).map(host).collect(),
            caps,
            latency_ms: |_, _| 5,
            loss: 0.0,
            late: 0.0,
            answer_loss: 0.0,
            platform_up: true,
            object: None,
            requests_sent: 0,
            writes: 0,
            running: Vec::new(),
            packets: Vec::new(),
        }
    }

    /// A world whose hosts all run with settled shares and full buckets.
    pub(crate) fn settled(hosts: usize, seed: u64, settings: Settings) -> Self {
        let mut res = Self::new(hosts, seed, settings);
        for host in 0..hosts {
            res.start(host);
        }
        res.run(15_000);
        res
    }

    /// Starts a new process of a host.
    pub(crate) fn start(&mut self, index: usize) {
        let (now, seed) = (self.now, self.rng.random());
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.sequence = 0;
        host.received.clear();
        host.waiting.clear();
        host.paused_until = None;
        host.last_tick = now;
        let holder = Holder::new(&host.name, &host.name, host.incarnation, seed, now);
        let mut holder = holder.with_settings(self.settings.clone());
        holder.set_caps(self.caps.clone(), &self.snapshot, now);
        host.holder = Some(holder);
    }

    /// Ends the process of a host.
    pub(crate) fn kill(&mut self, index: usize) {
        self.hosts[index].holder = None;
    }

    /// Installs caps on all hosts.
    pub(crate) fn set_cap(&mut self, index: usize, cap: Cap) {
        self.caps[index].1 = cap;
        self.level[index] = (0.0, self.now);
        for host in &mut self.hosts {
            if let Some(holder) = &mut host.holder {
                holder.set_caps(self.caps.clone(), &self.snapshot, self.now);
            }
        }
        self.check();
    }

    /// Advances the time.
    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += Duration::from_millis(STEP_MS);
            self.step();
            self.check();
        }
    }

    /// Capacity, or permits, that all processes together may use.
    pub(crate) fn capacity(&mut self, index: usize) -> f64 {
        let (resource, now) = (self.caps[index].0, self.now);
        let holders = self.hosts.iter_mut().filter_map(|it| it.holder.as_mut());
        holders.map(|it| it.local_limit(resource, now).0).sum()
    }

    /// Refused part of the requests of all hosts since the last call.
    pub(crate) fn refused_fraction(&mut self) -> f64 {
        let (mut taken, mut refused) = (0, 0);
        for host in &mut self.hosts {
            taken += std::mem::take(&mut host.taken);
            refused += std::mem::take(&mut host.refused);
        }
        refused as f64 / (taken + refused).max(1) as f64
    }

    /// Checks that all processes together stay within each cap.
    pub(crate) fn check(&mut self) {
        for index in 0..self.caps.len() {
            let (resource, cap) = self.caps[index];
            let (mut capacity, mut rate) = (0.0, 0.0);
            for holder in self.hosts.iter_mut().filter_map(|it| it.holder.as_mut()) {
                let allowance = holder.local_limit(resource, self.now);
                capacity += allowance.0;
                rate += allowance.1;
            }
            let at = self.now - self.start;
            match cap {
                Cap::Rate { rate_per_s, burst } => {
                    assert!(
                        capacity <= burst + 1e-6,
                        "{resource:?}: capacity {capacity} at {at:?}"
                    );
                    assert!(rate <= rate_per_s + 1e-6, "{resource:?}: rate {rate} at {at:?}");
                }
                Cap::Permits { permits, .. } => {
                    let running = self.running.iter().filter(|it| it.1 == index).count();
                    assert!(capacity <= f64::from(permits), "{resource:?}: {capacity} at {at:?}");
                    assert!(running <= permits as usize, "{resource:?}: {running} run at {at:?}");
                }
            }
        }
    }

    /// One step: packets, then ticks, heartbeats, proposals and requests.
    fn step(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.packets.extract_if(.., |it| it.0 <= now).collect();
        due.sort_by_key(|it| it.0);
        for (_, to, packet) in due {
            self.deliver(to, packet);
        }
        let mut at = 0;
        while at < self.running.len() {
            let (end, resource, host, incarnation) = self.running[at];
            if now < end {
                at += 1;
                continue;
            }
            self.running.swap_remove(at);
            let host = &mut self.hosts[host];
            if host.incarnation == incarnation
                && let Some(holder) = &mut host.holder
            {
                holder.release_permit(self.caps[resource].0, now);
            }
        }
        for index in 0..self.hosts.len() {
            self.run_host(index);
        }
    }

    /// One step of one host.
    fn run_host(&mut self, index: usize) {
        let now = self.now;
        let millis = (now - self.start).as_millis() as u64;
        if self.hosts[index].holder.is_none() || self.is_paused(index) {
            return;
        }
        // Requests come first, so that a resumed process spends before it notices the pause.
        self.offer(index);
        let names: Vec<String> = self.peers(index);
        let host = &mut self.hosts[index];
        let Some(holder) = &mut host.holder else { return };
        if now - host.last_tick > Duration::from_secs(1) {
            holder.resumed_after_pause(now);
        }
        let mut out = Vec::new();
        if millis.is_multiple_of(50) || holder.needs_tick() {
            host.last_tick = now;
            out = holder.tick(now, &names);
        }
        let proposal = holder.propose_ledger(now);
        let incarnation = host.incarnation;
        for (to, message) in out {
            self.send_quota(index, &to, message);
        }
        if let Some(proposal) = proposal {
            let lost = self.rng.random_bool(self.answer_loss);
            let wait = Duration::from_millis(self.rng.random_range(1..10)) + self.lateness();
            let write = Packet::Write { from: index, incarnation, sent: now, proposal, lost };
            self.packets.push((now + wait, index, write));
        }
        if (millis + index as u64 * 70).is_multiple_of(500) {
            self.heartbeat(index);
        }
        if (millis + index as u64 * 30).is_multiple_of(200) {
            let wait = Duration::from_millis(3) + self.lateness();
            self.packets.push((now + wait, index, Packet::Read));
        }
    }

    /// Offers the due and waiting requests of a host.
    fn offer(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let mut offers = Vec::new();
        for (resource, end) in std::mem::take(&mut host.waiting) {
            offers.push((resource, end, false));
        }
        for resource in 0..self.caps.len() {
            host.due[resource] += host.demand[resource] * STEP_MS as f64 / 1000.0;
            while host.due[resource] >= 1.0 {
                host.due[resource] -= 1.0;
                offers.push((resource, now + host.patience, true));
            }
        }
        for (at, end, first) in offers {
            let (resource, cap) = self.caps[at];
            let permits = matches!(cap, Cap::Permits { .. });
            let host = &mut self.hosts[index];
            let Some(holder) = &mut host.holder else { return };
            let outcome = match (permits, first) {
                (true, true) => holder.acquire_permit(resource, now),
                (true, false) => holder.retry_acquire_permit(resource, now),
                (false, true) => holder.acquire_tokens(resource, 1.0, now),
                (false, false) => holder.retry_acquire_tokens(resource, 1.0, now),
            };
            match outcome {
                AcquireOutcome::Acquired => host.taken += 1,
                AcquireOutcome::Exhausted { retry_after, loan_pending } => {
                    let worthwhile = loan_pending || !first || now + retry_after < end;
                    if now < end && worthwhile {
                        host.waiting.push((at, end));
                    } else {
                        host.refused += 1;
                    }
                    continue;
                }
            }
            if permits {
                let length = Duration::from_millis(self.rng.random_range(20..self.longest_ms));
                self.running.push((now + length, at, index, host.incarnation));
            } else {
                self.count(at);
            }
        }
    }

    /// Counts an admission and checks that no window admitted more than `rate * T + burst`.
    fn count(&mut self, index: usize) {
        let (resource, Cap::Rate { rate_per_s, burst }) = self.caps[index] else { return };
        let (level, last) = self.level[index];
        let elapsed = (self.now - last).as_secs_f64();
        let level = (level - rate_per_s * elapsed).max(0.0) + 1.0;
        self.level[index] = (level, self.now);
        assert!(level <= burst + 1e-3, "{resource:?}: {level} above the rate's line");
    }

    /// Sends heartbeats with the document of the ledger.
    fn heartbeat(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(holder) = &mut host.holder else { return };
        host.sequence += 1;
        holder.heartbeat_sent(host.sequence, now);
        let ledger = holder.ledger().map(|it| (it.0, it.1.clone()));
        let packet = Packet::Heartbeat {
            from: index,
            incarnation: host.incarnation,
            sequence: host.sequence,
            received: host.received.clone(),
            ledger,
        };
        for to in 0..self.hosts.len() {
            if to != index {
                self.send(index, to, packet.clone());
            }
        }
    }

    /// Handles a packet.
    fn deliver(&mut self, to: usize, packet: Packet) {
        let now = self.now;
        if let Packet::Write { from, incarnation, sent, proposal, lost } = packet {
            return self.write(from, incarnation, sent, proposal, lost);
        }
        if self.is_paused(to) {
            // The packet waits in a buffer until the process runs again.
            self.packets.push((now + Duration::from_millis(STEP_MS), to, packet));
            return;
        }
        let reaches = self.reaches_platform(to);
        let object = self.object.clone();
        let host = &mut self.hosts[to];
        let Some(holder) = &mut host.holder else { return };
        match packet {
            Packet::Quota { from, message } => {
                let name = self.hosts[from].name.clone();
                let Some(holder) = &mut self.hosts[to].holder else { return };
                for (peer, message) in holder.receive(&name, message, now) {
                    self.send_quota(to, &peer, message);
                }
            }
            Packet::Heartbeat { from, incarnation, sequence, received, ledger } => {
                let acknowledged =
                    received.iter().find(|it| it.0 == to && it.1 == host.incarnation);
                let acknowledged = acknowledged.map(|it| it.2);
                let name = format!("host-{from}");
                holder.heartbeat_received(&name, incarnation, acknowledged, now);
                if let Some((version, ledger)) = ledger {
                    holder.adopt_ledger(version, ledger, now);
                }
                match host.received.iter_mut().find(|it| it.0 == from && it.1 == incarnation) {
                    Some(it) => it.2 = it.2.max(sequence),
                    None => host.received.push((from, incarnation, sequence)),
                }
            }
            Packet::Answer { incarnation, outcome } => {
                if incarnation == host.incarnation {
                    holder.proposal_done(outcome, now);
                }
            }
            Packet::Read if reaches => match object {
                Some((version, ledger)) => holder.adopt_ledger(version, ledger, now),
                None => holder.ledger_missing(),
            },
            Packet::Read | Packet::Write { .. } => {}
        }
    }

    /// Applies a conditional update; its writer may learn of it late or never.
    fn write(
        &mut self,
        from: usize,
        incarnation: u64,
        sent: Instant,
        proposal: Proposal,
        lost: bool,
    ) {
        let version = self.object.as_ref().map(|it| it.0);
        let reached = self.reaches_platform(from);
        let outcome = if !reached {
            WriteOutcome::Unknown
        } else if version == proposal.base_version {
            self.writes += 1;
            let version = version.unwrap_or_default() + 1;
            self.object = Some((version, proposal.ledger));
            WriteOutcome::Written(version)
        } else {
            let (version, ledger) = self.object.clone().unwrap_or_default();
            WriteOutcome::Conflict(version, ledger)
        };
        let (wait, outcome) = if lost || !reached {
            (Duration::from_secs(1), WriteOutcome::Unknown)
        } else {
            (Duration::from_millis(2), outcome)
        };
        let at = (self.now + wait).max(if lost { sent + wait } else { sent });
        self.packets.push((at, from, Packet::Answer { incarnation, outcome }));
    }

    /// Sends a message of the crate to a host by name.
    fn send_quota(&mut self, from: usize, to: &str, message: Message) {
        self.requests_sent += u64::from(matches!(message, Message::LoanRequest { .. }));
        let to = self.hosts.iter().position(|it| it.name == to).expect("a known peer");
        self.send(from, to, Packet::Quota { from, message });
    }

    /// Puts a packet on the network, which may lose, repeat or delay it.
    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if self.hosts[from].group != self.hosts[to].group || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss));
        for _ in 0..copies {
            let wait = Duration::from_millis((self.latency_ms)(from, to)) + self.lateness();
            self.packets.push((self.now + wait, to, packet.clone()));
        }
    }

    /// Extra delay of a message.
    fn lateness(&mut self) -> Duration {
        let late = self.late > 0.0 && self.rng.random_bool(self.late);
        Duration::from_millis(if late { self.rng.random_range(0..3000) } else { 0 })
    }

    /// Whether a host reaches the platform.
    fn reaches_platform(&self, index: usize) -> bool {
        self.platform_up && self.hosts[index].group == 0 && self.hosts[index].reaches_platform
    }

    /// Whether a process is paused.
    fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until.is_some_and(|it| self.now < it)
    }

    /// Names of the other hosts, nearest first.
    fn peers(&self, index: usize) -> Vec<String> {
        let mut res: Vec<usize> = (0..self.hosts.len()).filter(|it| *it != index).collect();
        res.sort_by_key(|it| (self.latency_ms)(index, *it));
        res.into_iter().map(|it| self.hosts[it].name.clone()).collect()
    }
}

/// Longest time that a request holds a permit.
pub(crate) const MAX_REQUEST_DURATION: Duration = Duration::from_millis(1500);

/// Short leases, so that a case of a few simulated seconds meets all of them.
pub(crate) fn short_leases() -> Settings {
    Settings {
        main_lease: Duration::from_millis(2000),
        main_reclaim_margin: Duration::from_millis(400),
        floor_lease: Duration::from_millis(6000),
        floor_reclaim_margin: Duration::from_millis(400),
        loan_duration: Duration::from_millis(1000),
        refresh_interval: Duration::from_millis(600),
        confirmed_refresh_interval: Duration::from_millis(5000),
        ..Settings::default()
    }
}
