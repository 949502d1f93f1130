//! Quarantine of requests that crash the upstreams that run them.

use std::time::Duration;

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use tokio::time::Instant;

/// Bytes of the body that a fingerprint takes in.
const FIRST_BYTES: usize = 256;

/// How long a fingerprint is blocked, and how long a coincidence is remembered.
const QUARANTINE: Duration = Duration::from_secs(10 * 60);

/// Different instances at which a fingerprint must coincide with a lost connection.
const MIN_INSTANCES: usize = 2;

/// Instances remembered for one fingerprint, which bounds its memory.
const MAX_INSTANCES: usize = 4;

/// Fingerprints with a coincidence that are remembered.
const MAX_SUSPECTS: usize = 4096;

/// Suspicions that wait to be announced; further ones are dropped.
const MAX_WAITING: usize = 4096;

/// Slots in which successes of fingerprints without a coincidence are counted.
const SUCCESS_SLOTS: usize = 16_384;

/// Time after which counted successes are halved, so that a request that turns bad is found.
const SUCCESS_HALF_LIFE: Duration = Duration::from_secs(30);

/// Time around the crash of an instance in which other requests lose their connections to it.
const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Crashes remembered together with the fingerprint that caused them.
const MAX_CRASHES: usize = 64;

/// A value by which equal requests are recognised on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(
    /// The value.
    pub u64,
);

/// What a host tells its peers about a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum QuarantineUpdate {
    /// It coincided with a lost connection at an instance.
    Suspected {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Name of the instance.
        instance: String,
    },
    /// It is quarantined.
    Quarantined {
        /// The fingerprint.
        fingerprint: Fingerprint,
        /// Names of the instances that were lost.
        instances: Vec<String>,
        /// Time until the quarantine ends.
        remaining_ms: u64,
    },
    /// The announcing host found that its losses were those of another fingerprint.
    Cleared {
        /// The fingerprint.
        fingerprint: Fingerprint,
    },
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing against it.
    Clear,
    /// It coincided with a lost instance but is not blocked.
    Suspected,
    /// It must not run.
    Quarantined {
        /// When it may run again.
        until: Instant,
    },
}

/// Fingerprints that coincided with lost connections, and those that are blocked.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Fingerprints with a coincidence, sorted.
    suspects: Vec<Suspect>,
    /// Successes of other fingerprints, each in the slot that its value selects.
    successes: Vec<Success>,
    /// Recent crashes by quarantined fingerprints that never succeeded.
    crashes: Vec<Crash>,
    /// Announcements that were not yet sent.
    waiting: Vec<QuarantineUpdate>,
}

/// A fingerprint with a coincidence.
#[derive(Debug)]
struct Suspect {
    /// The fingerprint.
    fingerprint: Fingerprint,
    /// The lost instances.
    instances: Vec<String>,
    /// Lost connections.
    losses: u32,
    /// Answers.
    successes: u32,
    /// End of its quarantine.
    until: Option<Instant>,
    /// Whether this host lost a connection for it.
    own_loss: bool,
    /// Whether this host decided and announced its quarantine.
    decided_here: bool,
    /// When it was last lost.
    last: Instant,
}

/// Successes of a fingerprint without a coincidence.
#[derive(Debug, Clone, Copy)]
struct Success {
    /// The fingerprint.
    fingerprint: Fingerprint,
    /// Its decaying number of successes.
    count: u32,
    /// When `count` was last halved.
    halved_at: Instant,
}

/// The crash of an instance by a quarantined fingerprint.
#[derive(Debug)]
struct Crash {
    /// Name of the instance.
    instance: String,
    /// When it was found.
    at: Instant,
}

impl Quarantine {
    /// A quarantine without any fingerprint.
    pub fn new() -> Self {
        Self::default()
    }

    /// The fingerprint of a request; only the leading bytes of the body are taken in.
    pub fn fingerprint(
        tenant: &str,
        method: &str,
        path: &str,
        length: Option<u64>,
        first_bytes: &[u8],
    ) -> Fingerprint {
        // A cryptographic hash, so that no tenant can form a request that blocks another's.
        let mut hash = Sha256::new();
        for part in [tenant, method, path] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update([u8::from(length.is_some())]);
        hash.update(length.unwrap_or(0).to_le_bytes());
        hash.update(&first_bytes[..first_bytes.len().min(FIRST_BYTES)]);
        let bytes: [u8; 32] = hash.finalize().into();
        Fingerprint(bytes[..8].iter().fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }

    /// What is known of a fingerprint.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Ok(at) = self.position(fingerprint) else { return QuarantineStatus::Clear };
        let it = &self.suspects[at];
        match it.until {
            Some(until) if now < until => QuarantineStatus::Quarantined { until },
            _ if it.is_over(now) || it.instances.is_empty() => QuarantineStatus::Clear,
            _ => QuarantineStatus::Suspected,
        }
    }

    /// Records that the connection to an instance was lost while it ran the request.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, instance: &str, now: Instant) {
        if self.is_explained(fingerprint, instance, now) {
            return;
        }
        let Some(at) = self.suspect(fingerprint, now) else { return };
        let it = &mut self.suspects[at];
        it.losses = it.losses.saturating_add(1);
        it.own_loss = true;
        it.last = now;
        if it.add_instance(instance) && self.waiting.len() < MAX_WAITING {
            let instance = instance.to_owned();
            self.waiting.push(QuarantineUpdate::Suspected { fingerprint, instance });
        }
        self.judge(at, now);
    }

    /// Records that an instance answered the request.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Ok(at) = self.position(fingerprint) else {
            self.count_success(fingerprint, now);
            return;
        };
        let it = &mut self.suspects[at];
        it.successes = it.successes.saturating_add(1);
        // Requests that were running when it was blocked may show that it is harmless.
        if it.successes > it.losses && it.until.take_if(|until| now < *until).is_some() {
            self.announce_cleared(at);
        }
    }

    /// Takes a peer's announcement.
    pub fn apply_update(&mut self, announcement: &QuarantineUpdate, now: Instant) {
        match announcement {
            QuarantineUpdate::Suspected { fingerprint, instance } => {
                if self.is_explained(*fingerprint, instance, now) {
                    return;
                }
                let Some(at) = self.suspect(*fingerprint, now) else { return };
                let it = &mut self.suspects[at];
                if it.add_instance(instance) {
                    it.losses = it.losses.saturating_add(1);
                    it.last = now;
                    self.judge(at, now);
                }
            }
            QuarantineUpdate::Quarantined { fingerprint, instances, remaining_ms } => {
                let Some(at) = self.suspect(*fingerprint, now) else { return };
                let it = &mut self.suspects[at];
                let added = instances.iter().filter(|name| it.add_instance(name)).count();
                it.losses = it.losses.saturating_add(added as u32);
                it.last = now;
                if it.successes > it.losses {
                    return;
                }
                let until = now + Duration::from_millis(*remaining_ms).min(QUARANTINE);
                it.until = Some(it.until.map_or(until, |it| it.max(until)));
                self.explain(at, now);
            }
            QuarantineUpdate::Cleared { fingerprint } => {
                if let Ok(at) = self.position(*fingerprint)
                    && !self.suspects[at].decided_here
                {
                    self.suspects[at].release();
                }
            }
        }
    }

    /// The announcements to send to all peers since the last call.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        std::mem::take(&mut self.waiting)
    }

    /// The quarantines in force, for a peer that joined.
    pub fn active_quarantines(&self, now: Instant) -> Vec<QuarantineUpdate> {
        self.suspects.iter().filter_map(|it| it.announcement(now)).collect()
    }

    /// Suspects remembered.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no suspect is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Quarantines a suspect that coincided at enough instances and did not succeed more often.
    fn judge(&mut self, at: usize, now: Instant) {
        let it = &mut self.suspects[at];
        let is_blocked = it.until.is_some_and(|until| now < until);
        if is_blocked || it.instances.len() < MIN_INSTANCES || it.successes > it.losses {
            return;
        }
        it.until = Some(now + QUARANTINE);
        // The suspicions went to all peers; only those who lost an instance announce the result.
        if it.own_loss {
            it.decided_here = true;
            self.waiting.extend(it.announcement(now));
        }
        self.explain(at, now);
    }

    /// Attributes the crashes of a quarantined fingerprint that never succeeded to it alone.
    ///
    /// Requests that ran beside it lost their connections too. Those that succeeded elsewhere are
    /// released; those that never did stay suspects.
    fn explain(&mut self, at: usize, now: Instant) {
        if self.suspects[at].successes > 0 {
            return;
        }
        let (cause, instances) = (self.suspects[at].fingerprint, &self.suspects[at].instances);
        let instances = instances.clone();
        for instance in &instances {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash { instance: instance.clone(), at: now });
        }
        for at in (0..self.suspects.len()).rev() {
            let it = &self.suspects[at];
            let is_explained = it.fingerprint != cause
                && it.successes > 0
                && it.instances.iter().all(|it| instances.contains(it));
            if !is_explained {
                continue;
            }
            if it.until.is_some_and(|until| now < until) {
                self.announce_cleared(at);
            }
            self.suspects[at].release();
        }
    }

    /// Whether a loss belongs to a crash by another fingerprint, and this one succeeded before.
    fn is_explained(&mut self, fingerprint: Fingerprint, instance: &str, now: Instant) -> bool {
        self.crashes.retain(|it| now.saturating_duration_since(it.at) < CRASH_WINDOW);
        let is_crash = self.crashes.iter().any(|it| it.instance == instance);
        is_crash && self.success_count(fingerprint, now) > 0
    }

    /// Tells the peers that a fingerprint was released, if they heard of it from here.
    fn announce_cleared(&mut self, at: usize) {
        let it = &mut self.suspects[at];
        if std::mem::take(&mut it.decided_here) {
            self.waiting.push(QuarantineUpdate::Cleared { fingerprint: it.fingerprint });
        }
    }

    /// Where a fingerprint stands among the suspects, added if it is new; `None` when all places
    /// are taken by running quarantines.
    fn suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<usize> {
        if let Ok(at) = self.position(fingerprint) {
            if self.suspects[at].is_over(now) {
                self.suspects[at] = Suspect::new(fingerprint, 0, now);
            }
            return Some(at);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|it| !it.is_over(now));
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            let free = self.suspects.iter().enumerate();
            let free = free.filter(|(_, it)| it.until.is_none_or(|until| until <= now));
            let (oldest, _) = free.min_by_key(|(_, it)| it.last)?;
            self.suspects.remove(oldest);
        }
        let successes = self.success_count(fingerprint, now);
        let at = self.position(fingerprint).unwrap_or_else(|at| at);
        self.suspects.insert(at, Suspect::new(fingerprint, successes, now));
        Some(at)
    }

    /// Successes of a fingerprint.
    fn success_count(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        if let Ok(at) = self.position(fingerprint) {
            return self.suspects[at].successes;
        }
        let Some(slot) = self.successes.get(success_slot(fingerprint)) else { return 0 };
        if slot.fingerprint == fingerprint { slot.halved(now).count } else { 0 }
    }

    /// Counts a success of a fingerprint without a coincidence.
    fn count_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.successes.is_empty() {
            let empty = Success { fingerprint: Fingerprint(0), count: 0, halved_at: now };
            self.successes = vec![empty; SUCCESS_SLOTS];
        }
        let slot = &mut self.successes[success_slot(fingerprint)];
        *slot = slot.halved(now);
        if slot.fingerprint == fingerprint {
            slot.count = slot.count.saturating_add(1);
        } else if slot.count <= 1 {
            *slot = Success { fingerprint, count: 1, halved_at: now };
        } else {
            // A rare fingerprint does not displace a popular one.
            slot.count -= 1;
        }
    }

    /// Where a fingerprint stands, or would stand, among the suspects.
    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }
}

impl Suspect {
    /// A suspect without a loss.
    fn new(fingerprint: Fingerprint, successes: u32, now: Instant) -> Self {
        Self {
            fingerprint,
            instances: Vec::new(),
            losses: 0,
            successes,
            until: None,
            own_loss: false,
            decided_here: false,
            last: now,
        }
    }

    /// Adds a lost instance and answers whether it is new.
    fn add_instance(&mut self, name: &str) -> bool {
        let is_new =
            self.instances.len() < MAX_INSTANCES && !self.instances.iter().any(|it| it == name);
        if is_new {
            self.instances.push(name.to_owned());
        }
        is_new
    }

    /// Drops what stands against it and keeps its successes.
    fn release(&mut self) {
        self.instances.clear();
        self.losses = 0;
        self.until = None;
        self.own_loss = false;
        self.decided_here = false;
    }

    /// Whether it may be forgotten. After a quarantine one more loss blocks it again.
    fn is_over(&self, now: Instant) -> bool {
        now >= self.until.unwrap_or(self.last).max(self.last) + QUARANTINE
    }

    /// The announcement of a quarantine in force.
    fn announcement(&self, now: Instant) -> Option<QuarantineUpdate> {
        let until = self.until.filter(|it| now < *it)?;
        Some(QuarantineUpdate::Quarantined {
            fingerprint: self.fingerprint,
            instances: self.instances.clone(),
            remaining_ms: u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl Success {
    /// The count after the halvings that are due.
    fn halved(self, now: Instant) -> Self {
        let passed = now.saturating_duration_since(self.halved_at).as_secs();
        let halvings = passed / SUCCESS_HALF_LIFE.as_secs();
        if halvings == 0 {
            return self;
        }
        let count = self.count.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX));
        let halved_at = self.halved_at + SUCCESS_HALF_LIFE * halvings.min(1 << 20) as u32;
        Self { count: count.unwrap_or(0), halved_at, ..self }
    }
}

/// The slot that counts the successes of a fingerprint.
fn success_slot(fingerprint: Fingerprint) -> usize {
    (fingerprint.0 % SUCCESS_SLOTS as u64) as usize
}
