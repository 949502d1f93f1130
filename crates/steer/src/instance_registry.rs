//! Registry of the instances of all services.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cold_pace::ColdPace,
    health::Health,
    instance::{InstanceKey, InstanceRegistration, ServingState},
    load::{LoadEstimate, MeanLoad},
    locality::RegionKey,
};

/// A registered instance with the observations of this process.
#[derive(Debug)]
pub struct Instance {
    /// Latest registration of the instance.
    pub registration: InstanceRegistration,
    /// Hash of the id, by which all hosts rank the instance alike.
    pub(crate) id_hash: u64,
    pub(crate) load: LoadEstimate,
    pub(crate) health: Health,
    /// Ratio of the instance's service times to the expected ones; 1 is normal.
    pub(crate) slowness: f64,
    pub(crate) slowness_observed_at: Instant,
    pub(crate) cold_until: Option<Instant>,
    pub(crate) cold_pace: ColdPace,
    /// Time at which the instance is removed unless it registers again.
    pub(crate) lapses_at: Option<Instant>,
}

/// Time for which the departure of an instance is remembered: several times the age of a copy from
/// which the platform may be restored.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(60);

/// How to treat the end of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lapse {
    /// The instance deregistered, or stopped renewing its registration.
    Gone,
    /// The registration may have expired because the platform was unavailable. The instance is kept
    /// until this time, so that it can register again.
    Until(Instant),
}

/// Registered instances of all services.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    /// Slots with the number of their uses and their instance.
    arena: Vec<(u32, Option<Instance>)>,
    /// Ids with their slots, sorted by id.
    by_id: Vec<(String, u32)>,
    /// Services with the slots of their instances, sorted by service.
    by_service: Vec<(String, Vec<u32>)>,
    /// Instances that left, oldest first.
    departures: VecDeque<Departure>,
}

/// An instance that left.
#[derive(Debug)]
struct Departure {
    id: String,
    started_unix_ms: Option<u64>,
    sequence: Option<u64>,
    left_at: Instant,
}

/// Effect of a registration on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RegistrationChange {
    /// The instance is new, or restarted under a known id.
    Started,
    /// The instance no longer accepts new requests.
    Draining,
    /// The instance accepts requests again, or became cold.
    Updated,
    /// None of the other changes.
    Unchanged,
}

impl InstanceRegistry {
    /// Adds or updates an instance. A changed start time, address or service means a restart: the
    /// instance gets a new key, and the observations of the old process are dropped.
    pub fn register(
        &mut self,
        registration: InstanceRegistration,
        now: Instant,
    ) -> RegistrationChange {
        let known = self.key(&registration.id);
        let Some(key) = known else {
            self.insert(registration, now);
            return RegistrationChange::Started;
        };
        let Some(instance) = self.get_mut(key) else { return RegistrationChange::Unchanged };
        let old = &instance.registration;
        let restarted = old.started_unix_ms != registration.started_unix_ms
            || old.address != registration.address
            || old.service != registration.service;
        if restarted {
            if let Some(it) = self.remove(key) {
                self.record_departure(&it.registration, now);
            }
            self.insert(registration, now);
            return RegistrationChange::Started;
        }
        let old_state = old.state;
        let new_state = registration.state;
        let new_cold_until =
            (!registration.cold_remaining.is_zero()).then(|| now + registration.cold_remaining);
        let cold_changed = new_cold_until.is_some() && instance.cold_until.is_none();
        instance.cold_until = new_cold_until.max(instance.cold_until.filter(|it| now < *it));
        instance.lapses_at = None;
        instance.registration = registration;
        match (old_state, new_state) {
            (ServingState::Ready, ServingState::Draining) => RegistrationChange::Draining,
            (ServingState::Draining, ServingState::Ready) => RegistrationChange::Updated,
            _ if cold_changed => RegistrationChange::Updated,
            _ => RegistrationChange::Unchanged,
        }
    }

    /// Applies the end of a registration; returns the instance if it was removed.
    pub fn deregister(&mut self, id: &str, lapse: Lapse, now: Instant) -> Option<Instance> {
        let key = self.key(id)?;
        match lapse {
            Lapse::Gone => {
                let instance = self.remove(key)?;
                self.record_departure(&instance.registration, now);
                Some(instance)
            }
            Lapse::Until(at) => {
                let instance = self.get_mut(key)?;
                instance.lapses_at = instance.lapses_at.max(Some(at));
                None
            }
        }
    }

    /// Removes and returns the instances that did not register again in time.
    pub fn expire(&mut self, now: Instant) -> Vec<Instance> {
        let expired: Vec<InstanceKey> = self
            .iter()
            .filter(|it| it.1.lapses_at.is_some_and(|at| at <= now))
            .map(|it| it.0)
            .collect();
        let expired: Vec<Instance> = expired.into_iter().filter_map(|it| self.remove(it)).collect();
        for it in &expired {
            self.record_departure(&it.registration, now);
        }
        expired
    }

    fn record_departure(&mut self, registration: &InstanceRegistration, now: Instant) {
        let is_old =
            |it: &Departure| now.saturating_duration_since(it.left_at) >= DEPARTURE_RETENTION;
        while self.departures.pop_front_if(|it| is_old(it)).is_some() {}
        self.departures.push_back(Departure {
            id: registration.id.clone(),
            started_unix_ms: registration.started_unix_ms,
            sequence: registration.sequence,
            left_at: now,
        });
    }

    /// Whether a registration is older than what is known of the instance: the platform executed an
    /// earlier report late, or was restored from a copy (`is_copied`). In a copy, registrations
    /// without a sequence are outdated if the instance left or is draining.
    pub fn is_outdated(
        &self,
        registration: &InstanceRegistration,
        is_copied: bool,
        now: Instant,
    ) -> bool {
        let precedes = |known: Option<u64>| {
            registration.sequence.zip(known).is_some_and(|(sequence, known)| sequence < known)
        };
        let known = self.key(&registration.id).and_then(|it| self.get(it));
        if let Some(it) = known.map(|it| &it.registration) {
            if it.started_unix_ms == registration.started_unix_ms {
                let is_ready_again =
                    it.state == ServingState::Draining && registration.state == ServingState::Ready;
                return precedes(it.sequence) || is_copied && is_ready_again;
            }
            let starts = registration.started_unix_ms.zip(it.started_unix_ms);
            if starts.is_some_and(|(start, known)| start < known) {
                return true;
            }
        }
        let departures = self.departures.iter().filter(|it| {
            it.id == registration.id
                && it.started_unix_ms == registration.started_unix_ms
                && now.saturating_duration_since(it.left_at) < DEPARTURE_RETENTION
        });
        departures.into_iter().any(|it| is_copied || precedes(it.sequence))
    }

    /// Marks an instance as cold for a time, as reported with a response.
    pub fn set_cold(&mut self, key: InstanceKey, remaining: Duration, now: Instant) {
        if let Some(it) = self.get_mut(key) {
            it.cold_until = Some(now + remaining);
        }
    }

    /// Key of the instance with an id.
    pub fn key(&self, id: &str) -> Option<InstanceKey> {
        let at = self.by_id.binary_search_by(|it| it.0.as_str().cmp(id)).ok()?;
        let slot = self.by_id[at].1;
        Some(InstanceKey { slot, generation: self.arena[slot as usize].0 })
    }

    /// Instance of a key; `None` if it has been removed.
    pub fn get(&self, key: InstanceKey) -> Option<&Instance> {
        let (generation, instance) = self.arena.get(key.slot as usize)?;
        instance.as_ref().filter(|_| *generation == key.generation)
    }

    pub(crate) fn get_mut(&mut self, key: InstanceKey) -> Option<&mut Instance> {
        let (generation, instance) = self.arena.get_mut(key.slot as usize)?;
        instance.as_mut().filter(|_| *generation == key.generation)
    }

    /// All instances with their keys, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &Instance)> {
        self.arena.iter().enumerate().filter_map(|(slot, (generation, instance))| {
            let key = InstanceKey { slot: slot as u32, generation: *generation };
            instance.as_ref().map(|it| (key, it))
        })
    }

    /// Derives the baseline of every load estimate from the mean over the instances of the same
    /// service and region that reported recently.
    pub(crate) fn update_load_baselines(&mut self, now: Instant) {
        for (_, slots) in &self.by_service {
            let mut means: BTreeMap<RegionKey, MeanLoad> = BTreeMap::new();
            let instances = slots.iter().filter_map(|it| self.arena[*it as usize].1.as_ref());
            for it in instances {
                let mean = means.entry(it.registration.locality.region).or_default();
                mean.add(&it.load, it.registration.slots, now);
            }
            for slot in slots {
                let Some(it) = &mut self.arena[*slot as usize].1 else { continue };
                let mean = means.get(&it.registration.locality.region).copied().unwrap_or_default();
                it.load.set_baseline(mean.baseline(it.registration.slots), now);
            }
        }
    }

    /// Instances of a service with their keys, in the order of registration.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (InstanceKey, &'a Instance)> + use<'a> {
        let at = self.by_service.binary_search_by(|it| it.0.as_str().cmp(service));
        let slots = at.map_or(&[][..], |at| self.by_service[at].1.as_slice());
        slots.iter().filter_map(|slot| {
            let (generation, instance) = &self.arena[*slot as usize];
            let key = InstanceKey { slot: *slot, generation: *generation };
            instance.as_ref().map(|it| (key, it))
        })
    }

    /// Names of the services that have instances, sorted.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.iter().filter(|it| !it.1.is_empty()).map(|it| it.0.as_str())
    }

    /// Address and id of an instance; `None` if it has been removed.
    pub fn address_and_id(&self, key: InstanceKey) -> Option<(SocketAddr, &str)> {
        self.get(key).map(|it| (it.registration.address, it.registration.id.as_str()))
    }

    /// Number of registered instances.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no instance is registered.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    fn insert(&mut self, registration: InstanceRegistration, now: Instant) {
        let free = self.arena.iter().position(|it| it.1.is_none());
        let slot = free.unwrap_or_else(|| {
            self.arena.push((0, None));
            self.arena.len() - 1
        });
        let id = registration.id.clone();
        let service = registration.service.clone();
        let cold_until =
            (!registration.cold_remaining.is_zero()).then(|| now + registration.cold_remaining);
        let instance = Instance {
            id_hash: xxh3_64(id.as_bytes()),
            load: LoadEstimate::new(now),
            health: Health::new(),
            slowness: 1.0,
            slowness_observed_at: now,
            cold_until,
            cold_pace: ColdPace::new(now),
            lapses_at: None,
            registration,
        };
        self.arena[slot].0 += 1;
        self.arena[slot].1 = Some(instance);
        let at = self.by_id.partition_point(|it| it.0 < id);
        self.by_id.insert(at, (id, slot as u32));
        let of_service = match self.by_service.binary_search_by(|it| it.0.cmp(&service)) {
            Ok(at) => &mut self.by_service[at].1,
            Err(at) => {
                self.by_service.insert(at, (service, Vec::new()));
                &mut self.by_service[at].1
            }
        };
        of_service.push(slot as u32);
    }

    fn remove(&mut self, key: InstanceKey) -> Option<Instance> {
        let instance = self.arena.get_mut(key.slot as usize)?.1.take()?;
        self.by_id.retain(|it| it.1 != key.slot);
        let service = &instance.registration.service;
        if let Ok(at) = self.by_service.binary_search_by(|it| it.0.cmp(service)) {
            self.by_service[at].1.retain(|it| *it != key.slot);
        }
        Some(instance)
    }
}

impl Instance {
    /// Estimated number of requests of all hosts that run or wait at the instance.
    pub fn total_requests(&self, now: Instant) -> f64 {
        self.load.total_requests(now)
    }

    pub(crate) fn accepts_requests(&self) -> bool {
        self.registration.state == ServingState::Ready
    }

    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|it| now < it)
    }
}
