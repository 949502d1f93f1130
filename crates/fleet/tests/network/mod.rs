//! A small network of fleets with its own clock: loss, delay, duplication, partitions, deaths,
//! restarts and pauses, all drawn from one seed.

#![allow(dead_code, reason = "each test file uses another part")]

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::{Duration, Instant as WallInstant},
};

use kingcupford_fleet::{Fleet, HostIdentity, ListedHost, MemberState, Message};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

/// Time between two ticks of a host.
const TICK: Duration = Duration::from_millis(50);

/// Bytes around a frame on the wire: length and frame head 8, HTTP/2 DATA 9, TLS record 22,
/// TCP and IP 52, and half an acknowledgement of 52 bytes.
pub(crate) const OVERHEAD_BYTES: u64 = 8 + 9 + 22 + 52 + 26;

/// Hosts, messages in transit and faults.
pub(crate) struct Network {
    pub(crate) now: Instant,
    pub(crate) start: Instant,
    pub(crate) hosts: Vec<Host>,
    pub(crate) rng: SmallRng,
    pub(crate) loss: f64,
    pub(crate) duplication: f64,
    pub(crate) jitter: Duration,
    pub(crate) zone_delay: Duration,
    /// Pairs of zones that cannot exchange messages; `*` stands for every other zone.
    pub(crate) cut_zones: Vec<(String, String)>,
    /// Pairs of hosts that cannot exchange messages.
    pub(crate) cut_hosts: Vec<(String, String)>,
    pub(crate) platform: bool,
    pub(crate) candidates: Vec<ListedHost>,
    names: BTreeMap<String, usize>,
    transit: BinaryHeap<Reverse<Transit>>,
    sent: u64,
}

/// One host and what it sent.
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
    pub(crate) busy: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Transit {
    at: Instant,
    number: u64,
    from: usize,
    /// Process that sent it; an answer about a refused stream is only for that process.
    incarnation: u64,
    to: usize,
    kind: u16,
    payload: Vec<u8>,
}

impl Network {
    /// Hosts named after their zones, all started, with the platform's list known to everybody.
    pub(crate) fn new(zones: &[(&str, usize)], seed: u64) -> Self {
        let start = Instant::now();
        let mut candidates = Vec::new();
        for (zone, count) in zones {
            for number in 0..*count {
                candidates.push(ListedHost {
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
            names: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            jitter: Duration::ZERO,
            zone_delay: Duration::from_millis(35),
            cut_zones: Vec::new(),
            cut_hosts: Vec::new(),
            platform: true,
            candidates,
            transit: BinaryHeap::new(),
            sent: 0,
        };
        for candidate in res.candidates.clone() {
            let fleet = res.process(&candidate, 1);
            res.names.insert(candidate.name.clone(), res.hosts.len());
            res.hosts.push(Host {
                name: candidate.name,
                zone: candidate.zone,
                fleet,
                up: true,
                paused_until: None,
                frames_out: 0,
                bytes_out: 0,
                frames_in: 0,
                bytes_in: 0,
                busy: Duration::ZERO,
            });
        }
        res
    }

    /// A new process of a host.
    fn process(&mut self, candidate: &ListedHost, incarnation: u64) -> Fleet {
        let identity = HostIdentity {
            name: candidate.name.clone(),
            zone: candidate.zone.clone(),
            // As large as a start time in microseconds, so that encoded sizes are real.
            incarnation: 1_700_000_000_000_000 + incarnation,
            peer_address: candidate.peer_address,
            public_addresses: candidate.public_addresses.clone(),
        };
        let seed = self.rng.random();
        let mut fleet = Fleet::new(identity, seed, self.now);
        if self.platform {
            fleet.apply_platform_hosts(&self.candidates, self.now);
        } else {
            // The settings name a few hosts, not all.
            fleet = fleet.with_seeds(&self.candidates[..self.candidates.len().min(3)], self.now);
        }
        fleet.set_live(self.now);
        fleet
    }

    pub(crate) fn at(&self, name: &str) -> usize {
        *self.names.get(name).expect("host exists")
    }

    pub(crate) fn names_of(&self, zone: &str) -> Vec<String> {
        self.hosts.iter().filter(|it| it.zone == zone).map(|it| it.name.clone()).collect()
    }

    pub(crate) fn fleet(&mut self, name: &str) -> &mut Fleet {
        let at = self.at(name);
        &mut self.hosts[at].fleet
    }

    pub(crate) fn state(&self, seen_by: &str, name: &str) -> MemberState {
        self.hosts[self.at(seen_by)].fleet.member(name).expect("member is known").state
    }

    pub(crate) fn kill(&mut self, name: &str) {
        let at = self.at(name);
        self.hosts[at].up = false;
    }

    pub(crate) fn restart(&mut self, name: &str, incarnation: u64) {
        let at = self.at(name);
        let fleet = self.process(&self.candidates[at].clone(), incarnation);
        let host = &mut self.hosts[at];
        host.fleet = fleet;
        host.up = true;
        host.paused_until = None;
    }

    pub(crate) fn pause(&mut self, name: &str, time: Duration) {
        let (at, until) = (self.at(name), self.now + time);
        self.hosts[at].paused_until = Some(until);
    }

    /// Runs the hosts for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Runs the hosts for a time and calls a check after each step.
    pub(crate) fn run_with(&mut self, time: Duration, mut check: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.deliver();
            for at in 0..self.hosts.len() {
                if !self.runs(at) {
                    continue;
                }
                let now = self.now;
                if self.platform {
                    self.hosts[at].fleet.record_platform_contact(now);
                }
                let begun = WallInstant::now();
                let messages = self.hosts[at].fleet.tick(now);
                self.hosts[at].busy += begun.elapsed();
                self.post(at, messages, now);
            }
            check(self);
        }
    }

    /// Runs until a condition holds; the time it took, or a failure after the limit.
    pub(crate) fn until(
        &mut self,
        limit: Duration,
        mut holds: impl FnMut(&mut Self) -> bool,
    ) -> Duration {
        let begun = self.now;
        while !holds(self) {
            if self.now - begun >= limit {
                panic!("condition does not hold after {limit:?}; disagreement: {:?}", self.views());
            }
            self.run(TICK);
        }
        self.now - begun
    }

    /// Whether each running host sees every host as it is.
    pub(crate) fn converged(&self) -> bool {
        let up: Vec<&Host> = self.hosts.iter().filter(|it| it.up).collect();
        up.iter().all(|host| {
            self.hosts.iter().all(|other| {
                let state = host.fleet.member(&other.name).map(|it| it.state);
                state == Some(if other.up { MemberState::Live } else { MemberState::Gone })
            })
        })
    }

    /// What running hosts see otherwise than it is, for messages of failures.
    fn views(&self) -> Vec<String> {
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

    fn runs(&mut self, at: usize) -> bool {
        let host = &mut self.hosts[at];
        if host.paused_until.is_some_and(|it| it <= self.now) {
            host.paused_until = None;
        }
        host.up && host.paused_until.is_none()
    }

    fn post(&mut self, from: usize, messages: Vec<(String, Message)>, now: Instant) {
        for (to, message) in messages {
            let Some(&to) = self.names.get(&to) else { continue };
            let payload = message.encode().expect("message fits into a frame");
            let host = &mut self.hosts[from];
            host.frames_out += 1;
            host.bytes_out += payload.len() as u64;
            if self.is_cut(from, to) || self.rng.random_bool(self.loss) {
                continue;
            }
            let copies = if self.rng.random_bool(self.duplication) { 2 } else { 1 };
            for _ in 0..copies {
                let base = if self.hosts[from].zone == self.hosts[to].zone {
                    Duration::from_millis(1)
                } else {
                    self.zone_delay
                };
                let at = now + base + self.jitter.mul_f64(self.rng.random());
                self.sent += 1;
                self.transit.push(Reverse(Transit {
                    at,
                    number: self.sent,
                    from,
                    incarnation: self.hosts[from].fleet.identity().incarnation,
                    to,
                    kind: message.kind(),
                    payload: payload.clone(),
                }));
            }
        }
    }

    /// Delivers what is due, in order of time, with answers at the time of their cause.
    fn deliver(&mut self) {
        while self.transit.peek().is_some_and(|it| it.0.at <= self.now) {
            let Reverse(transit) = self.transit.pop().expect("peeked");
            let (from, to, at) = (transit.from, transit.to, transit.at);
            if !self.hosts[to].up {
                // The machine answers that nothing listens; a lost answer is no harm.
                let (name, sender) = (self.hosts[to].name.clone(), &mut self.hosts[from]);
                if sender.fleet.identity().incarnation == transit.incarnation {
                    sender.fleet.record_stream_failure(&name, at);
                }
                continue;
            }
            if self.hosts[to].paused_until.is_some_and(|it| it > self.now) {
                let until = self.hosts[to].paused_until.expect("checked");
                self.transit.push(Reverse(Transit { at: until + TICK, ..transit }));
                continue;
            }
            let payload = transit.payload;
            let message = Message::decode(transit.kind, &payload);
            let message = message.expect("own encoding decodes").expect("own kinds are known");
            let name = self.hosts[from].name.clone();
            let host = &mut self.hosts[to];
            host.frames_in += 1;
            host.bytes_in += payload.len() as u64;
            let begun = WallInstant::now();
            let answers = host.fleet.receive(&name, message, at);
            host.busy += begun.elapsed();
            self.post(to, answers, at);
        }
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        let (a, b) = (&self.hosts[a], &self.hosts[b]);
        let matches = |name: &str, pattern: &str| pattern == "*" || name == pattern;
        let zones = self.cut_zones.iter().any(|(x, y)| {
            a.zone != b.zone
                && (matches(&a.zone, x) && matches(&b.zone, y)
                    || matches(&b.zone, x) && matches(&a.zone, y))
        });
        zones
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
