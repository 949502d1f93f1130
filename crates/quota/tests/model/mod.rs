//! Simulation of a small fleet: holders, a lossy network, and a platform with conditional updates.

#![allow(dead_code, reason = "each test program uses only some items of the simulation")]

mod host;
mod packet;

use std::time::Duration;

use kingcupford_config::{Region, Service, Snapshot, Team, VersionId};
use kingcupford_quota::{
    AcquireOutcome, Cap, Holder, Ledger, Message, Proposal, Resource, Settings, WriteOutcome,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use tokio::time::Instant;

use self::{host::Host, packet::Packet};

/// Duration of a simulation step.
pub(crate) const STEP_MS: u64 = 10;

/// Simulated hosts, network and platform.
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) rng: StdRng,
    pub(crate) settings: Settings,
    pub(crate) snapshot: Snapshot,
    /// Caps by resource index.
    pub(crate) caps: Vec<(Resource, Cap)>,
    pub(crate) hosts: Vec<Host>,
    /// One-way latency between two hosts by index.
    pub(crate) latency_ms: fn(usize, usize) -> u64,
    /// Maximum duration of a simulated request that holds a permit.
    pub(crate) max_request_ms: u64,
    /// Probability that a message is lost, and that a message is duplicated.
    pub(crate) loss_probability: f64,
    /// Probability that a message is delayed by up to 3 s.
    pub(crate) delay_probability: f64,
    /// Probability that the response of the platform to a write is lost.
    pub(crate) response_loss_probability: f64,
    pub(crate) platform_up: bool,
    /// Version and content of the ledger in the platform.
    pub(crate) ledger_object: Option<(u64, Ledger)>,
    pub(crate) loan_requests_sent: u64,
    /// Number of ledger writes that took effect.
    pub(crate) applied_writes: u64,
    /// Level of a leaky bucket with the rate of the cap, by resource index, and the time of the
    /// last update. The level must not exceed the burst.
    bucket_levels: Vec<(f64, Instant)>,
    /// Running requests that hold permits: end, resource index, host index and incarnation.
    running_requests: Vec<(Instant, usize, usize, u64)>,
    /// Messages with arrival time and index of the receiving host.
    packets_in_flight: Vec<(Instant, usize, Packet)>,
}

impl Simulation {
    /// Creates hosts that have not started, with three caps: the rates of a large and of a small
    /// team, and region slots.
    pub(crate) fn new(hosts: usize, seed: u64, settings: Settings) -> Self {
        let mut snapshot = Snapshot::default();
        let team = |name: &str| Team {
            name: name.to_owned(),
            rate_per_s: 0.0,
            burst: 0.0,
            when_isolated: kingcupford_config::IsolationPolicy::Serve,
        };
        let large = snapshot.teams.insert("large", team("large"));
        let small = snapshot.teams.insert("small", team("small"));
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
            (Resource::TeamRate(large), Cap::Rate { rate_per_s: 200.0, burst: 100.0 }),
            (Resource::TeamRate(small), Cap::Rate { rate_per_s: 10.0, burst: 7.0 }),
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
            partition: 0,
            reaches_platform: true,
            demand_per_s: vec![0.0; caps.len()],
            due_requests: vec![0.0; caps.len()],
            admitted: 0,
            refused: 0,
            waiting_requests: Vec::new(),
            max_wait: Duration::from_millis(250),
            heartbeat_sequence: 0,
            last_tick: now,
            received_heartbeats: Vec::new(),
        };
        Self {
            max_request_ms: MAX_REQUEST_DURATION.as_millis() as u64,
            now,
            start: now,
            rng: StdRng::seed_from_u64(seed),
            settings,
            snapshot,
            bucket_levels: vec![(0.0, now); caps.len()],
            hosts: (0..hosts).map(host).collect(),
            caps,
            latency_ms: |_, _| 5,
            loss_probability: 0.0,
            delay_probability: 0.0,
            response_loss_probability: 0.0,
            platform_up: true,
            ledger_object: None,
            loan_requests_sent: 0,
            applied_writes: 0,
            running_requests: Vec::new(),
            packets_in_flight: Vec::new(),
        }
    }

    /// Creates a simulation and runs it until all hosts have settled shares and full buckets.
    pub(crate) fn settled(hosts: usize, seed: u64, settings: Settings) -> Self {
        let mut res = Self::new(hosts, seed, settings);
        for host in 0..hosts {
            res.start(host);
        }
        res.run(15_000);
        res
    }

    /// Starts a new process on a host.
    pub(crate) fn start(&mut self, index: usize) {
        let (now, seed) = (self.now, self.rng.random());
        let host = &mut self.hosts[index];
        host.incarnation += 1;
        host.heartbeat_sequence = 0;
        host.received_heartbeats.clear();
        host.waiting_requests.clear();
        host.paused_until = None;
        host.last_tick = now;
        let holder = Holder::new(&host.name, &host.name, host.incarnation, seed, now);
        let mut holder = holder.with_settings(self.settings.clone());
        holder.set_caps(self.caps.clone(), &self.snapshot, now);
        host.holder = Some(holder);
    }

    /// Ends the process of a host without a handover.
    pub(crate) fn kill(&mut self, index: usize) {
        self.hosts[index].holder = None;
    }

    /// Replaces a cap on all running hosts and checks the caps.
    pub(crate) fn set_cap(&mut self, index: usize, cap: Cap) {
        self.caps[index].1 = cap;
        self.bucket_levels[index] = (0.0, self.now);
        for host in &mut self.hosts {
            if let Some(holder) = &mut host.holder {
                holder.set_caps(self.caps.clone(), &self.snapshot, self.now);
            }
        }
        self.check_caps();
    }

    /// Simulates `ms` milliseconds, with a check of all caps after every step.
    pub(crate) fn run(&mut self, ms: u64) {
        for _ in 0..ms / STEP_MS {
            self.now += Duration::from_millis(STEP_MS);
            self.step();
            self.check_caps();
        }
    }

    /// Burst capacity or permits that all running processes together may use.
    pub(crate) fn total_capacity(&mut self, index: usize) -> f64 {
        let (resource, now) = (self.caps[index].0, self.now);
        let holders = self.hosts.iter_mut().filter_map(|it| it.holder.as_mut());
        holders.map(|it| it.local_limit(resource, now).0).sum()
    }

    /// Fraction of the requests of all hosts that were refused since the last call.
    pub(crate) fn take_refused_fraction(&mut self) -> f64 {
        let (mut admitted, mut refused) = (0, 0);
        for host in &mut self.hosts {
            admitted += std::mem::take(&mut host.admitted);
            refused += std::mem::take(&mut host.refused);
        }
        refused as f64 / (admitted + refused).max(1) as f64
    }

    /// Asserts that all running processes together stay within each cap.
    pub(crate) fn check_caps(&mut self) {
        for index in 0..self.caps.len() {
            let (resource, cap) = self.caps[index];
            let (mut capacity, mut rate) = (0.0, 0.0);
            for holder in self.hosts.iter_mut().filter_map(|it| it.holder.as_mut()) {
                let limit = holder.local_limit(resource, self.now);
                capacity += limit.0;
                rate += limit.1;
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
                    let running = self.running_requests.iter().filter(|it| it.1 == index).count();
                    assert!(capacity <= f64::from(permits), "{resource:?}: {capacity} at {at:?}");
                    assert!(running <= permits as usize, "{resource:?}: {running} run at {at:?}");
                }
            }
        }
    }

    /// Runs a step: delivers due messages, ends due requests, then runs each host.
    fn step(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self.packets_in_flight.extract_if(.., |it| it.0 <= now).collect();
        due.sort_by_key(|it| it.0);
        for (_, to, packet) in due {
            self.deliver(to, packet);
        }
        let mut at = 0;
        while at < self.running_requests.len() {
            let (end, resource, host, incarnation) = self.running_requests[at];
            if now < end {
                at += 1;
                continue;
            }
            self.running_requests.swap_remove(at);
            let host = &mut self.hosts[host];
            if host.incarnation == incarnation
                && let Some(holder) = &mut host.holder
            {
                holder.release_permit(self.caps[resource].0, now);
            }
        }
        for index in 0..self.hosts.len() {
            self.step_host(index);
        }
    }

    /// Runs a step of one host.
    fn step_host(&mut self, index: usize) {
        let now = self.now;
        let elapsed_ms = (now - self.start).as_millis() as u64;
        if self.hosts[index].holder.is_none() || self.is_paused(index) {
            return;
        }
        // Requests come first, so that a resumed process admits requests before it notices the
        // pause.
        self.offer_requests(index);
        let peers: Vec<String> = self.peers_by_latency(index);
        let host = &mut self.hosts[index];
        let Some(holder) = &mut host.holder else { return };
        if now - host.last_tick > Duration::from_secs(1) {
            holder.resumed_after_pause(now);
        }
        let mut out = Vec::new();
        if elapsed_ms.is_multiple_of(50) || holder.needs_tick() {
            host.last_tick = now;
            out = holder.tick(now, &peers);
        }
        let proposal = holder.propose_ledger(now);
        let incarnation = host.incarnation;
        for (to, message) in out {
            self.send_message(index, &to, message);
        }
        if let Some(proposal) = proposal {
            let response_lost = self.rng.random_bool(self.response_loss_probability);
            let delay = Duration::from_millis(self.rng.random_range(1..10)) + self.random_delay();
            let write =
                Packet::Write { from: index, incarnation, sent_at: now, proposal, response_lost };
            self.packets_in_flight.push((now + delay, index, write));
        }
        if (elapsed_ms + index as u64 * 70).is_multiple_of(500) {
            self.send_heartbeats(index);
        }
        if (elapsed_ms + index as u64 * 30).is_multiple_of(200) {
            let delay = Duration::from_millis(3) + self.random_delay();
            self.packets_in_flight.push((now + delay, index, Packet::ReadLedger));
        }
    }

    /// Offers due and waiting requests to the holder of a host.
    fn offer_requests(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let mut offers = Vec::new();
        for (resource, end) in std::mem::take(&mut host.waiting_requests) {
            offers.push((resource, end, false));
        }
        for resource in 0..self.caps.len() {
            host.due_requests[resource] += host.demand_per_s[resource] * STEP_MS as f64 / 1000.0;
            while host.due_requests[resource] >= 1.0 {
                host.due_requests[resource] -= 1.0;
                offers.push((resource, now + host.max_wait, true));
            }
        }
        for (at, end, is_first_attempt) in offers {
            let (resource, cap) = self.caps[at];
            let is_permit_cap = matches!(cap, Cap::Permits { .. });
            let host = &mut self.hosts[index];
            let Some(holder) = &mut host.holder else { return };
            let outcome = match (is_permit_cap, is_first_attempt) {
                (true, true) => holder.acquire_permit(resource, now),
                (true, false) => holder.retry_acquire_permit(resource, now),
                (false, true) => holder.acquire_tokens(resource, 1.0, now),
                (false, false) => holder.retry_acquire_tokens(resource, 1.0, now),
            };
            match outcome {
                AcquireOutcome::Acquired => host.admitted += 1,
                AcquireOutcome::Exhausted { retry_after, loan_pending } => {
                    let may_wait = loan_pending || !is_first_attempt || now + retry_after < end;
                    if now < end && may_wait {
                        host.waiting_requests.push((at, end));
                    } else {
                        host.refused += 1;
                    }
                    continue;
                }
            }
            if is_permit_cap {
                let duration =
                    Duration::from_millis(self.rng.random_range(20..self.max_request_ms));
                self.running_requests.push((now + duration, at, index, host.incarnation));
            } else {
                self.check_rate(at);
            }
        }
    }

    /// Counts an admitted request and asserts that no time window of length `T` had more than
    /// `rate * T + burst` admissions.
    fn check_rate(&mut self, index: usize) {
        let (resource, Cap::Rate { rate_per_s, burst }) = self.caps[index] else { return };
        let (level, updated_at) = self.bucket_levels[index];
        let elapsed = (self.now - updated_at).as_secs_f64();
        let level = (level - rate_per_s * elapsed).max(0.0) + 1.0;
        self.bucket_levels[index] = (level, self.now);
        assert!(level <= burst + 1e-3, "{resource:?}: bucket level {level} exceeds the burst");
    }

    /// Sends a heartbeat with the newest known ledger to all other hosts.
    fn send_heartbeats(&mut self, index: usize) {
        let now = self.now;
        let host = &mut self.hosts[index];
        let Some(holder) = &mut host.holder else { return };
        host.heartbeat_sequence += 1;
        holder.heartbeat_sent(host.heartbeat_sequence, now);
        let ledger = holder.ledger().map(|it| (it.0, it.1.clone()));
        let packet = Packet::Heartbeat {
            from: index,
            incarnation: host.incarnation,
            sequence: host.heartbeat_sequence,
            received: host.received_heartbeats.clone(),
            ledger,
        };
        for to in 0..self.hosts.len() {
            if to != index {
                self.send(index, to, packet.clone());
            }
        }
    }

    /// Delivers a message to a host or to the platform.
    fn deliver(&mut self, to: usize, packet: Packet) {
        let now = self.now;
        if let Packet::Write { from, incarnation, sent_at, proposal, response_lost } = packet {
            return self.apply_write(from, incarnation, sent_at, proposal, response_lost);
        }
        if self.is_paused(to) {
            // Messages wait in a receive buffer until the process runs again.
            self.packets_in_flight.push((now + Duration::from_millis(STEP_MS), to, packet));
            return;
        }
        let reaches_platform = self.reaches_platform(to);
        let object = self.ledger_object.clone();
        let host = &mut self.hosts[to];
        let Some(holder) = &mut host.holder else { return };
        match packet {
            Packet::Message { from, message } => {
                let name = self.hosts[from].name.clone();
                let Some(holder) = &mut self.hosts[to].holder else { return };
                for (peer, message) in holder.receive(&name, message, now) {
                    self.send_message(to, &peer, message);
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
                match host
                    .received_heartbeats
                    .iter_mut()
                    .find(|it| it.0 == from && it.1 == incarnation)
                {
                    Some(it) => it.2 = it.2.max(sequence),
                    None => host.received_heartbeats.push((from, incarnation, sequence)),
                }
            }
            Packet::WriteResponse { incarnation, outcome } => {
                if incarnation == host.incarnation {
                    holder.proposal_done(outcome, now);
                }
            }
            Packet::ReadLedger if reaches_platform => match object {
                Some((version, ledger)) => holder.adopt_ledger(version, ledger, now),
                None => holder.ledger_missing(),
            },
            Packet::ReadLedger | Packet::Write { .. } => {}
        }
    }

    /// Applies a conditional update and sends the response to the writer, which reports an unknown
    /// outcome if the response is lost or the platform is unreachable.
    fn apply_write(
        &mut self,
        from: usize,
        incarnation: u64,
        sent_at: Instant,
        proposal: Proposal,
        response_lost: bool,
    ) {
        let version = self.ledger_object.as_ref().map(|it| it.0);
        let reaches_platform = self.reaches_platform(from);
        let outcome = if !reaches_platform {
            WriteOutcome::Unknown
        } else if version == proposal.base_version {
            self.applied_writes += 1;
            let version = version.unwrap_or_default() + 1;
            self.ledger_object = Some((version, proposal.ledger));
            WriteOutcome::Written(version)
        } else {
            let (version, ledger) = self.ledger_object.clone().unwrap_or_default();
            WriteOutcome::Conflict(version, ledger)
        };
        let (delay, outcome) = if response_lost || !reaches_platform {
            (Duration::from_secs(1), WriteOutcome::Unknown)
        } else {
            (Duration::from_millis(2), outcome)
        };
        let at = (self.now + delay).max(if response_lost { sent_at + delay } else { sent_at });
        self.packets_in_flight.push((at, from, Packet::WriteResponse { incarnation, outcome }));
    }

    /// Sends a message between holders to the host named `to`.
    fn send_message(&mut self, from: usize, to: &str, message: Message) {
        self.loan_requests_sent += u64::from(matches!(message, Message::LoanRequest { .. }));
        let to = self.hosts.iter().position(|it| it.name == to).expect("a known peer");
        self.send(from, to, Packet::Message { from, message });
    }

    /// Sends a message over the network, which may lose, duplicate or delay it.
    fn send(&mut self, from: usize, to: usize, packet: Packet) {
        if self.hosts[from].partition != self.hosts[to].partition
            || self.rng.random_bool(self.loss_probability)
        {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.loss_probability));
        for _ in 0..copies {
            let delay = Duration::from_millis((self.latency_ms)(from, to)) + self.random_delay();
            self.packets_in_flight.push((self.now + delay, to, packet.clone()));
        }
    }

    /// Random extra delay of a message.
    fn random_delay(&mut self) -> Duration {
        let is_delayed =
            self.delay_probability > 0.0 && self.rng.random_bool(self.delay_probability);
        Duration::from_millis(if is_delayed { self.rng.random_range(0..3000) } else { 0 })
    }

    fn reaches_platform(&self, index: usize) -> bool {
        self.platform_up && self.hosts[index].partition == 0 && self.hosts[index].reaches_platform
    }

    fn is_paused(&self, index: usize) -> bool {
        self.hosts[index].paused_until.is_some_and(|it| self.now < it)
    }

    /// Names of the other hosts, nearest first.
    fn peers_by_latency(&self, index: usize) -> Vec<String> {
        let mut res: Vec<usize> = (0..self.hosts.len()).filter(|it| *it != index).collect();
        res.sort_by_key(|it| (self.latency_ms)(index, *it));
        res.into_iter().map(|it| self.hosts[it].name.clone()).collect()
    }
}

/// Maximum time that a request of the region slots holds a permit.
pub(crate) const MAX_REQUEST_DURATION: Duration = Duration::from_millis(1500);

/// Settings with short leases, so that all leases expire within a test case of a few simulated
/// seconds.
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
