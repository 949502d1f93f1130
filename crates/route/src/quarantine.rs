//! Quarantine of poison requests, which crash the upstreams that run them.

use std::time::Duration;

use bincode::{Decode, Encode};
use sha2::{Digest as _, Sha256};
use tokio::time::Instant;

/// Number of leading bytes of the body that a fingerprint covers.
const FINGERPRINT_BODY_BYTES: usize = 256;

/// Duration of a quarantine, and retention of a suspect after its last loss or its quarantine.
const QUARANTINE_DURATION: Duration = Duration::from_secs(10 * 60);

/// Number of different instances that must be lost while running a request to quarantine it.
const MIN_LOST_INSTANCES: usize = 2;

/// Maximum number of lost instances recorded per suspect, which bounds its memory.
const MAX_LOST_INSTANCES: usize = 4;

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 4096;

/// Number of pending updates from which on further suspicions are not sent.
const MAX_PENDING_UPDATES: usize = 4096;

/// Number of slots in which successes of fingerprints that are not suspects are counted.
const SUCCESS_SLOTS: usize = 16_384;

/// Half-life of success counts, so that a request that turns bad is found.
const SUCCESS_HALF_LIFE: Duration = Duration::from_secs(30);

/// Time after the crash of an instance during which other requests lose their connections to it.
const CRASH_WINDOW: Duration = Duration::from_secs(5);

/// Maximum number of recorded crashes.
const MAX_CRASHES: usize = 64;

/// Hash of the parts of a request, equal on all hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Fingerprint(
    /// Leading 64 bits of the SHA-256 hash.
    pub u64,
);

/// Message to the peers about a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum QuarantineUpdate {
    /// The connection to an instance was lost while it ran the request.
    Suspected {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Name of the instance.
        instance: String,
    },
    /// The request is quarantined.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// Names of the instances that were lost.
        instances: Vec<String>,
        /// Time until the quarantine ends.
        remaining_ms: u64,
    },
    /// The sending host ended its quarantine of the request, because another fingerprint caused the
    /// losses or because the request succeeded more often than its connections were lost.
    Cleared {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
}

/// Status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// No instance was lost while it ran the request, or the losses have expired or were cleared.
    Clear,
    /// An instance was lost while it ran the request, which is not quarantined.
    Suspected,
    /// The request must not run.
    Quarantined {
        /// End of the quarantine.
        until: Instant,
    },
}

/// Suspected and quarantined fingerprints.
///
/// A fingerprint becomes a suspect when the connection to an instance is lost while it runs the
/// request, and is quarantined after losses at two instances unless it succeeds more often.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    suspects: Vec<Suspect>,
    /// Success counts of fingerprints that are not suspects, each in the slot of its value.
    successes: Vec<SuccessCount>,
    /// Recent crashes by quarantined fingerprints that never succeeded.
    crashes: Vec<Crash>,
    /// Updates that were not yet sent.
    pending_updates: Vec<QuarantineUpdate>,
}

/// A fingerprint whose requests lost connections.
#[derive(Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    /// Names of the instances that were lost.
    lost_instances: Vec<String>,
    /// Number of lost connections.
    losses: u32,
    /// Number of answers.
    successes: u32,
    /// End of its quarantine.
    quarantined_until: Option<Instant>,
    /// Whether this host lost a connection, rather than only its peers.
    has_local_loss: bool,
    /// Whether this host decided and announced its quarantine.
    decided_here: bool,
    /// Time of the last loss or report of one.
    last_loss: Instant,
}

/// Exponentially decaying count of the successes of a fingerprint that is not a suspect.
#[derive(Debug, Clone, Copy)]
struct SuccessCount {
    fingerprint: Fingerprint,
    count: u32,
    /// Time at which `count` was last halved.
    halved_at: Instant,
}

/// Crash of an instance by a quarantined fingerprint.
#[derive(Debug)]
struct Crash {
    /// Name of the instance.
    instance: String,
    detected_at: Instant,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new() -> Self {
        Self::default()
    }

    /// Computes the fingerprint of a request from its team, method, path, body length and the
    /// first 256 bytes of `body_start`; `length` is `None` if the length is not known in advance.
    pub fn fingerprint(
        team: &str,
        method: &str,
        path: &str,
        length: Option<u64>,
        body_start: &[u8],
    ) -> Fingerprint {
        // A cryptographic hash, so that no team can form a request that blocks another's.
        let mut hash = Sha256::new();
        for part in [team, method, path] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update([u8::from(length.is_some())]);
        hash.update(length.unwrap_or(0).to_le_bytes());
        hash.update(&body_start[..body_start.len().min(FINGERPRINT_BODY_BYTES)]);
        let bytes: [u8; 32] = hash.finalize().into();
        Fingerprint(bytes[..8].iter().fold(0, |sum, it| sum << 8 | u64::from(*it)))
    }

    /// Returns whether a fingerprint is clear, suspected or quarantined.
    pub fn status(&self, fingerprint: Fingerprint, now: Instant) -> QuarantineStatus {
        let Ok(index) = self.position(fingerprint) else { return QuarantineStatus::Clear };
        let suspect = &self.suspects[index];
        match suspect.quarantined_until {
            Some(until) if now < until => QuarantineStatus::Quarantined { until },
            _ if suspect.is_expired(now) || suspect.lost_instances.is_empty() => {
                QuarantineStatus::Clear
            }
            _ => QuarantineStatus::Suspected,
        }
    }

    /// Records that the connection to an instance was lost while it ran the request.
    pub fn record_loss(&mut self, fingerprint: Fingerprint, instance: &str, now: Instant) {
        if self.is_collateral(fingerprint, instance, now) {
            return;
        }
        let Some(index) = self.find_or_add_suspect(fingerprint, now) else { return };
        let suspect = &mut self.suspects[index];
        suspect.losses = suspect.losses.saturating_add(1);
        suspect.has_local_loss = true;
        suspect.last_loss = now;
        if suspect.add_instance(instance) && self.pending_updates.len() < MAX_PENDING_UPDATES {
            let instance = instance.to_owned();
            self.pending_updates.push(QuarantineUpdate::Suspected { fingerprint, instance });
        }
        self.evaluate(index, now);
    }

    /// Records that an instance answered the request.
    pub fn record_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        let Ok(index) = self.position(fingerprint) else {
            self.count_success(fingerprint, now);
            return;
        };
        let suspect = &mut self.suspects[index];
        suspect.successes = suspect.successes.saturating_add(1);
        // Requests that were running when the quarantine began may show that it is wrong.
        if suspect.successes > suspect.losses
            && suspect.quarantined_until.take_if(|until| now < *until).is_some()
        {
            self.announce_cleared(index);
        }
    }

    /// Applies an update from a peer.
    pub fn apply_update(&mut self, update: &QuarantineUpdate, now: Instant) {
        match update {
            QuarantineUpdate::Suspected { fingerprint, instance } => {
                if self.is_collateral(*fingerprint, instance, now) {
                    return;
                }
                let Some(index) = self.find_or_add_suspect(*fingerprint, now) else { return };
                let suspect = &mut self.suspects[index];
                if suspect.add_instance(instance) {
                    suspect.losses = suspect.losses.saturating_add(1);
                    suspect.last_loss = now;
                    self.evaluate(index, now);
                }
            }
            QuarantineUpdate::Quarantined { fingerprint, instances, remaining_ms } => {
                let Some(index) = self.find_or_add_suspect(*fingerprint, now) else { return };
                let suspect = &mut self.suspects[index];
                let added = instances.iter().filter(|name| suspect.add_instance(name)).count();
                suspect.losses = suspect.losses.saturating_add(added as u32);
                suspect.last_loss = now;
                if suspect.successes > suspect.losses {
                    return;
                }
                let until = now + Duration::from_millis(*remaining_ms).min(QUARANTINE_DURATION);
                suspect.quarantined_until =
                    Some(suspect.quarantined_until.map_or(until, |it| it.max(until)));
                self.attribute_crashes(index, now);
            }
            QuarantineUpdate::Cleared { fingerprint } => {
                if let Ok(index) = self.position(*fingerprint)
                    && !self.suspects[index].decided_here
                {
                    self.suspects[index].clear_losses();
                }
            }
        }
    }

    /// Returns the updates since the last call, which are to be sent to all peers.
    pub fn take_updates(&mut self) -> Vec<QuarantineUpdate> {
        std::mem::take(&mut self.pending_updates)
    }

    /// Returns the active quarantines as updates for a peer that joined.
    pub fn active_quarantines(&self, now: Instant) -> Vec<QuarantineUpdate> {
        self.suspects.iter().filter_map(|it| it.quarantine_update(now)).collect()
    }

    /// Returns the number of suspects, quarantined ones included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Quarantines a suspect that lost enough instances and did not succeed more often.
    fn evaluate(&mut self, index: usize, now: Instant) {
        let suspect = &mut self.suspects[index];
        let is_quarantined = suspect.quarantined_until.is_some_and(|until| now < until);
        if is_quarantined
            || suspect.lost_instances.len() < MIN_LOST_INSTANCES
            || suspect.successes > suspect.losses
        {
            return;
        }
        suspect.quarantined_until = Some(now + QUARANTINE_DURATION);
        // All peers received the suspicions; only hosts with a loss of their own announce the
        // quarantine.
        if suspect.has_local_loss {
            suspect.decided_here = true;
            self.pending_updates.extend(suspect.quarantine_update(now));
        }
        self.attribute_crashes(index, now);
    }

    /// Attributes the crashes of a quarantined fingerprint that never succeeded to it alone.
    ///
    /// Requests that ran at the same time lost their connections too. Fingerprints that succeeded
    /// elsewhere are cleared; fingerprints that never succeeded stay suspects.
    fn attribute_crashes(&mut self, cause_index: usize, now: Instant) {
        if self.suspects[cause_index].successes > 0 {
            return;
        }
        let cause = &self.suspects[cause_index];
        let (cause, instances) = (cause.fingerprint, cause.lost_instances.clone());
        for instance in &instances {
            if self.crashes.len() == MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(Crash { instance: instance.clone(), detected_at: now });
        }
        for index in (0..self.suspects.len()).rev() {
            let suspect = &self.suspects[index];
            let is_collateral = suspect.fingerprint != cause
                && suspect.successes > 0
                && suspect.lost_instances.iter().all(|it| instances.contains(it));
            if !is_collateral {
                continue;
            }
            if suspect.quarantined_until.is_some_and(|until| now < until) {
                self.announce_cleared(index);
            }
            self.suspects[index].clear_losses();
        }
    }

    /// Returns whether a loss belongs to a recent crash by another fingerprint, because this one
    /// succeeded before.
    fn is_collateral(&mut self, fingerprint: Fingerprint, instance: &str, now: Instant) -> bool {
        self.crashes.retain(|it| now.saturating_duration_since(it.detected_at) < CRASH_WINDOW);
        let has_crashed = self.crashes.iter().any(|it| it.instance == instance);
        has_crashed && self.success_count(fingerprint, now) > 0
    }

    /// Queues the update that a quarantine has ended, if this host announced the quarantine.
    fn announce_cleared(&mut self, index: usize) {
        let suspect = &mut self.suspects[index];
        if std::mem::take(&mut suspect.decided_here) {
            let fingerprint = suspect.fingerprint;
            self.pending_updates.push(QuarantineUpdate::Cleared { fingerprint });
        }
    }

    /// Returns the index of a suspect, which is added if it is new; `None` if active quarantines
    /// take up all places.
    fn find_or_add_suspect(&mut self, fingerprint: Fingerprint, now: Instant) -> Option<usize> {
        if let Ok(index) = self.position(fingerprint) {
            if self.suspects[index].is_expired(now) {
                self.suspects[index] = Suspect::new(fingerprint, 0, now);
            }
            return Some(index);
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|it| !it.is_expired(now));
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            let evictable = self
                .suspects
                .iter()
                .enumerate()
                .filter(|(_, it)| it.quarantined_until.is_none_or(|until| until <= now));
            let (oldest, _) = evictable.min_by_key(|(_, it)| it.last_loss)?;
            self.suspects.remove(oldest);
        }
        let successes = self.success_count(fingerprint, now);
        let index = self.position(fingerprint).unwrap_or_else(|index| index);
        self.suspects.insert(index, Suspect::new(fingerprint, successes, now));
        Some(index)
    }

    fn success_count(&self, fingerprint: Fingerprint, now: Instant) -> u32 {
        if let Ok(index) = self.position(fingerprint) {
            return self.suspects[index].successes;
        }
        let Some(slot) = self.successes.get(success_slot(fingerprint)) else { return 0 };
        if slot.fingerprint == fingerprint { slot.decayed(now).count } else { 0 }
    }

    /// Counts a success of a fingerprint that is not a suspect.
    fn count_success(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.successes.is_empty() {
            let empty = SuccessCount { fingerprint: Fingerprint(0), count: 0, halved_at: now };
            self.successes = vec![empty; SUCCESS_SLOTS];
        }
        let slot = &mut self.successes[success_slot(fingerprint)];
        *slot = slot.decayed(now);
        if slot.fingerprint == fingerprint {
            slot.count = slot.count.saturating_add(1);
        } else if slot.count <= 1 {
            *slot = SuccessCount { fingerprint, count: 1, halved_at: now };
        } else {
            // A rare fingerprint does not displace a popular one.
            slot.count -= 1;
        }
    }

    /// Returns the index of a suspect, or where to insert it.
    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.suspects.binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }
}

impl Suspect {
    fn new(fingerprint: Fingerprint, successes: u32, now: Instant) -> Self {
        Self {
            fingerprint,
            lost_instances: Vec::new(),
            losses: 0,
            successes,
            quarantined_until: None,
            has_local_loss: false,
            decided_here: false,
            last_loss: now,
        }
    }

    /// Adds a lost instance; returns `false` if it was already recorded or no place is left.
    fn add_instance(&mut self, name: &str) -> bool {
        let is_new = self.lost_instances.len() < MAX_LOST_INSTANCES
            && !self.lost_instances.iter().any(|it| it == name);
        if is_new {
            self.lost_instances.push(name.to_owned());
        }
        is_new
    }

    /// Ends the suspicion and any quarantine; the success count stays.
    fn clear_losses(&mut self) {
        self.lost_instances.clear();
        self.losses = 0;
        self.quarantined_until = None;
        self.has_local_loss = false;
        self.decided_here = false;
    }

    /// Returns whether the retention has passed. Until then, one more loss after a quarantine
    /// starts the next one.
    fn is_expired(&self, now: Instant) -> bool {
        now >= self.quarantined_until.unwrap_or(self.last_loss).max(self.last_loss)
            + QUARANTINE_DURATION
    }

    /// Returns the update that announces an active quarantine.
    fn quarantine_update(&self, now: Instant) -> Option<QuarantineUpdate> {
        let until = self.quarantined_until.filter(|it| now < *it)?;
        Some(QuarantineUpdate::Quarantined {
            fingerprint: self.fingerprint,
            instances: self.lost_instances.clone(),
            remaining_ms: u64::try_from((until - now).as_millis()).unwrap_or(u64::MAX),
        })
    }
}

impl SuccessCount {
    /// Returns the count after the halvings that are due.
    fn decayed(self, now: Instant) -> Self {
        let elapsed_s = now.saturating_duration_since(self.halved_at).as_secs();
        let halvings = elapsed_s / SUCCESS_HALF_LIFE.as_secs();
        if halvings == 0 {
            return self;
        }
        let count = self.count.checked_shr(u32::try_from(halvings).unwrap_or(u32::MAX));
        let halved_at = self.halved_at + SUCCESS_HALF_LIFE * halvings.min(1 << 20) as u32;
        Self { count: count.unwrap_or(0), halved_at, ..self }
    }
}

/// Returns the slot that counts the successes of a fingerprint.
fn success_slot(fingerprint: Fingerprint) -> usize {
    (fingerprint.0 % SUCCESS_SLOTS as u64) as usize
}
