//! Deterministic simulation of a network of hosts with virtual time: loss, delay, duplication,
//! partitions, crashes, restarts and pauses, with all randomness derived from one seed.

#![allow(dead_code, reason = "each test file uses a different subset")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant as WallInstant},
};

use kingcupford_fleet::{Fleet, HostIdentity, ListedHost, MemberState, Message};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Overhead of a frame on the wire: length and frame header 8, HTTP/2 DATA header 9, TLS record 22,
/// TCP and IP headers 52, and half of an acknowledgement of 52 bytes.
pub(crate) const FRAME_OVERHEAD_BYTES: u64 = 8 + 9 + 22 + 52 + 26;

/// Simulated network with its hosts, the messages in transit and the injected faults.
pub(crate) struct Network {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) rng: SmallRng,
    pub(crate) loss_rate: f64,
    pub(crate) duplication_rate: f64,
    pub(crate) max_jitter: Duration,
    pub(crate) inter_zone_delay: Duration,
    /// Pairs of zones that cannot exchange messages; `*` matches all other zones.
    pub(crate) cut_zones: Vec<(String, String)>,
    /// Pairs of hosts that cannot exchange messages.
    pub(crate) cut_hosts: Vec<(String, String)>,
    pub(crate) is_platform_available: bool,
    pub(crate) listed_hosts: Vec<ListedHost>,
    indices: BTreeMap<String, usize>,
    in_transit: BinaryHeap<Reverse<Packet>>,
    sent_count: u64,
}

/// One host with its traffic and processing time.
pub(crate) struct Host {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) fleet: Fleet,
    pub(crate) up: bool,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) frames_out: u64,
    pub(crate) bytes_out: u64,
    pub(crate) frames_in: u64,
    pub(crate) bytes_in: u64,
    pub(crate) processing_time: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Packet {
    arrives_at: Instant,
    number: u64,
    from: usize,
    /// Incarnation of the sending process, which alone is notified of a refused stream.
    incarnation: u64,
    to: usize,
    kind: u16,
    payload: Vec<u8>,
}

impl Network {
    /// Creates a network from pairs of zone and number of hosts. All hosts are started, have the
    /// platform's list, and are named `{zone}-{number}`.
    pub(crate) fn new(zones: &[(&str, usize)], seed: u64) -> Self {
        let start = Instant::now();
        let mut listed_hosts = Vec::new();
        for (zone, count) in zones {
            for number in 0..*count {
                listed_hosts.push(ListedHost {
                    name: format!("{zone}-{number}"),
                    zone: (*zone).to_owned(),
                    peer_address: ([127, 0, 0, 1], 9000).into(),
                    public_addresses: vec![format!("https://{zone}-{number}.example:8443")],
                    draining: false,
                });
            }
        }
        let mut res = Self {
            now: start,
            start,
            hosts: Vec::new(),
            indices: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            loss_rate: 0.0,
            duplication_rate: 0.0,
            max_jitter: Duration::ZERO,
            inter_zone_delay: Duration::from_millis(35),
            cut_zones: Vec::new(),
            cut_hosts: Vec::new(),
            is_platform_available: true,
            listed_hosts,
            in_transit: BinaryHeap::new(),
            sent_count: 0,
        };
        for listed_host in res.listed_hosts.clone() {
            let fleet = res.start_process(&listed_host, 1);
            res.indices.insert(listed_host.name.clone(), res.hosts.len());
            res.hosts.push(Host {
                name: listed_host.name,
                zone: listed_host.zone,
                fleet,
                up: true,
                paused_until: None,
                frames_out: 0,
                bytes_out: 0,
                frames_in: 0,
                bytes_in: 0,
                processing_time: Duration::ZERO,
            });
        }
        res
    }

    /// Starts a process of a host.
    fn start_process(&mut self, listed_host: &ListedHost, incarnation: u64) -> Fleet {
        let identity = HostIdentity {
            name: listed_host.name.clone(),
            zone: listed_host.zone.clone(),
            // As large as a start time in microseconds, so that encoded sizes are realistic.
            incarnation: 1_700_000_000_000_000 + incarnation,
            peer_address: listed_host.peer_address,
            public_addresses: listed_host.public_addresses.clone(),
        };
        let seed = self.rng.random();
        let mut fleet = Fleet::new(identity, seed, self.now);
        if self.is_platform_available {
            fleet.apply_platform_hosts(&self.listed_hosts, self.now);
        } else {
            // Seeds are a few hosts only.
            fleet =
                fleet.with_seeds(&self.listed_hosts[..self.listed_hosts.len().min(3)], self.now);
        }
        fleet.set_live(self.now);
        fleet
    }

    pub(crate) fn index_of(&self, name: &str) -> usize {
        *self.indices.get(name).expect("host exists")
    }

    pub(crate) fn host_names(&self, zone: &str) -> Vec<String> {
        self.hosts.iter().filter(|it| it.zone == zone).map(|it| it.name.clone()).collect()
    }

    pub(crate) fn fleet(&mut self, name: &str) -> &mut Fleet {
        let index = self.index_of(name);
        &mut self.hosts[index].fleet
    }

    pub(crate) fn state(&self, seen_by: &str, name: &str) -> MemberState {
        self.hosts[self.index_of(seen_by)].fleet.member(name).expect("member is known").state
    }

    pub(crate) fn kill(&mut self, name: &str) {
        let index = self.index_of(name);
        self.hosts[index].up = false;
    }

    pub(crate) fn restart(&mut self, name: &str, incarnation: u64) {
        let index = self.index_of(name);
        let fleet = self.start_process(&self.listed_hosts[index].clone(), incarnation);
        let host = &mut self.hosts[index];
        host.fleet = fleet;
        host.up = true;
        host.paused_until = None;
    }

    pub(crate) fn pause(&mut self, name: &str, time: Duration) {
        let (index, until) = (self.index_of(name), self.now + time);
        self.hosts[index].paused_until = Some(until);
    }

    /// Runs all hosts for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Runs all hosts for a time and calls `check` after each step.
    pub(crate) fn run_with(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK_INTERVAL;
            self.deliver();
            for index in 0..self.hosts.len() {
                if !self.is_running(index) {
                    continue;
                }
                let now = self.now;
                if self.is_platform_available {
                    self.hosts[index].fleet.record_platform_contact(now);
                }
                let started_at = WallInstant::now();
                let messages = self.hosts[index].fleet.tick(now);
                self.hosts[index].processing_time += started_at.elapsed();
                self.send(index, messages, now);
            }
            check(self);
        }
    }

    /// Runs until a condition holds and returns the elapsed time. Panics after `limit`.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        let started_at = self.now;
        while !holds(self) {
            if self.now - started_at >= limit {
                panic!(
                    "condition does not hold after {limit:?}; disagreement: {:?}",
                    self.disagreements()
                );
            }
            self.run(TICK_INTERVAL);
        }
        self.now - started_at
    }

    /// Whether each running host sees the running hosts as live and all others as gone.
    pub(crate) fn has_converged(&self) -> bool {
        let up: Vec<&Host> = self.hosts.iter().filter(|it| it.up).collect();
        up.iter().all(|host| {
            self.hosts.iter().all(|other| {
                let state = host.fleet.member(&other.name).map(|it| it.state);
                state == Some(if other.up { MemberState::Live } else { MemberState::Gone })
            })
        })
    }

    /// Describes the wrong states in the views of running hosts, at most 20, for failure messages.
    fn disagreements(&self) -> Vec<String> {
        let mut res = Vec::new();
        for host in self.hosts.iter().filter(|it| it.up) {
            for other in &self.hosts {
                let state = host.fleet.member(&other.name).map(|it| it.state);
                if state != Some(if other.up { MemberState::Live } else { MemberState::Gone }) {
                    res.push(format!("{} sees {} as {state:?}", host.name, other.name));
                }
            }
        }
        res.truncate(20);
        res
    }

    fn is_running(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        if host.paused_until.is_some_and(|it| it <= self.now) {
            host.paused_until = None;
        }
        host.up && host.paused_until.is_none()
    }

    fn send(&mut self, from: usize, messages: Vec<(String, Message)>, now: Instant) {
        for (to, message) in messages {
            let Some(&to) = self.indices.get(&to) else { continue };
            let payload = message.encode().expect("message fits into a frame");
            let host = &mut self.hosts[from];
            host.frames_out += 1;
            host.bytes_out += payload.len() as u64;
            if self.is_cut(from, to) || self.rng.random_bool(self.loss_rate) {
                continue;
            }
            let copies = if self.rng.random_bool(self.duplication_rate) { 2 } else { 1 };
            for _ in 0..copies {
                let delay = if self.hosts[from].zone == self.hosts[to].zone {
                    Duration::from_millis(1)
                } else {
                    self.inter_zone_delay
                };
                let arrives_at = now + delay + self.max_jitter.mul_f64(self.rng.random());
                self.sent_count += 1;
                self.in_transit.push(Reverse(Packet {
                    arrives_at,
                    number: self.sent_count,
                    from,
                    incarnation: self.hosts[from].fleet.identity().incarnation,
                    to,
                    kind: message.kind(),
                    payload: payload.clone(),
                }));
            }
        }
    }

    /// Delivers due packets in order of arrival. Replies are sent at the packet's arrival time.
    fn deliver(&mut self) {
        while self.in_transit.peek().is_some_and(|it| it.0.arrives_at <= self.now) {
            let Reverse(packet) = self.in_transit.pop().expect("peeked");
            let (from, to, arrived_at) = (packet.from, packet.to, packet.arrives_at);
            if !self.hosts[to].up {
                // The operating system refuses the connection. Refusals are not lost here, since a
                // loss would do no harm.
                let (name, sender) = (self.hosts[to].name.clone(), &mut self.hosts[from]);
                if sender.fleet.identity().incarnation == packet.incarnation {
                    sender.fleet.record_stream_failure(&name, arrived_at);
                }
                continue;
            }
            if self.hosts[to].paused_until.is_some_and(|it| it > self.now) {
                let until = self.hosts[to].paused_until.expect("checked");
                self.in_transit
                    .push(Reverse(Packet { arrives_at: until + TICK_INTERVAL, ..packet }));
                continue;
            }
            let payload = packet.payload;
            let message = Message::decode(packet.kind, &payload);
            let message = message.expect("own encoding decodes").expect("own kinds are known");
            let name = self.hosts[from].name.clone();
            let host = &mut self.hosts[to];
            host.frames_in += 1;
            host.bytes_in += payload.len() as u64;
            let started_at = WallInstant::now();
            let replies = host.fleet.receive(&name, message, arrived_at);
            host.processing_time += started_at.elapsed();
            self.send(to, replies, arrived_at);
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.hosts[a], &self.hosts[b]);
        let matches = |name: &str, pattern: &str| pattern == "*" || name == pattern;
        let are_zones_cut = self.cut_zones.iter().any(|(x, y)| {
            a.zone != b.zone
                && (matches(&a.zone, x) && matches(&b.zone, y)
                    || matches(&b.zone, x) && matches(&a.zone, y))
        });
        are_zones_cut
            || self
                .cut_hosts
                .iter()
                .any(|(x, y)| a.name == *x && b.name == *y || b.name == *x && a.name == *y)
    }
}

pub(crate) fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

pub(crate) fn millis(time_ms: u64) -> Duration {
    Duration::from_millis(time_ms)
}
