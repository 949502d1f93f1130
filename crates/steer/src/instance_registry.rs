//! The known instances of all services.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    cold_pace::ColdPace,
    health::Health,
    instance::{InstanceKey, InstanceRegistration, ServingState},
    load::{LoadEstimate, MeanLoad},
    locality::RegionKey,
};

/// An instance with what this process observed of it.
#[derive(Debug)]
pub struct Instance {
    /// What it says of itself.
    pub registration: InstanceRegistration,
    /// Hash of its id, by which all hosts rank it alike.
    pub(crate) id_hash: u64,
    /// Requests at it.
    pub(crate) load: LoadEstimate,
    /// Its health.
    pub(crate) health: Health,
    /// How much longer its requests take than those of its service.
    pub(crate) slowness: f64,
    /// When `slowness` was last observed.
    pub(crate) slowness_at: Instant,
    /// End of the time in which it is cold.
    pub(crate) cold_until: Option<Instant>,
    /// Pace of requests while it is cold.
    pub(crate) cold_pace: ColdPace,
    /// When it counts as gone unless it registers again.
    pub(crate) lapses_at: Option<Instant>,
}

/// Why an instance is no longer registered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lapse {
    /// It left or was silent.
    Gone,
    /// Its entry may have lapsed while the platform was away; it has until then to come back.
    Until(Instant),
}

/// The known instances.
#[derive(Debug, Default)]
pub struct InstanceRegistry {
    /// Instances by slot, with the number of uses of the slot.
    arena: Vec<(u32, Option<Instance>)>,
    /// Ids with their slots, sorted.
    by_id: Vec<(String, u32)>,
    /// Services with the slots of their instances, sorted.
    by_service: Vec<(String, Vec<u32>)>,
}

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RegistrationChange {
    /// It is new, or a new start under a known id.
    Started,
    /// It stopped taking new requests.
    Draining,
    /// It takes requests again, or became cold.
    Updated,
    /// Nothing that matters.
    Unchanged,
}

impl InstanceRegistry {
    /// Takes a registration in.
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
            self.remove(key);
            self.insert(registration, now);
            return RegistrationChange::Started;
        }
        let was = old.state;
        let state = registration.state;
        let cold =
            (!registration.cold_remaining.is_zero()).then(|| now + registration.cold_remaining);
        let cold_changed = cold.is_some() && instance.cold_until.is_none();
        instance.cold_until = cold.max(instance.cold_until.filter(|it| now < *it));
        instance.lapses_at = None;
        instance.registration = registration;
        match (was, state) {
            (ServingState::Ready, ServingState::Draining) => RegistrationChange::Draining,
            (ServingState::Draining, ServingState::Ready) => RegistrationChange::Updated,
            _ if cold_changed => RegistrationChange::Updated,
            _ => RegistrationChange::Unchanged,
        }
    }

    /// Takes the end of a registration in; answers the instance that is gone.
    pub fn deregister(&mut self, id: &str, lapse: Lapse) -> Option<Instance> {
        let key = self.key(id)?;
        match lapse {
            Lapse::Gone => self.remove(key),
            Lapse::Until(at) => {
                let instance = self.get_mut(key)?;
                instance.lapses_at.get_or_insert(at);
                None
            }
        }
    }

    /// Forgets the instances whose time to register again is over, and answers them.
    pub fn expire(&mut self, now: Instant) -> Vec<Instance> {
        let over: Vec<InstanceKey> = self
            .iter()
            .filter(|it| it.1.lapses_at.is_some_and(|at| at <= now))
            .map(|it| it.0)
            .collect();
        over.into_iter().filter_map(|it| self.remove(it)).collect()
    }

    /// Notes that an instance said it is cold.
    pub fn set_cold(&mut self, key: InstanceKey, remaining: Duration, now: Instant) {
        if let Some(it) = self.get_mut(key) {
            it.cold_until = Some(now + remaining);
        }
    }

    /// An instance by its id.
    pub fn key(&self, id: &str) -> Option<InstanceKey> {
        let at = self.by_id.binary_search_by(|it| it.0.as_str().cmp(id)).ok()?;
        let slot = self.by_id[at].1;
        Some(InstanceKey { slot, generation: self.arena[slot as usize].0 })
    }

    /// An instance.
    pub fn get(&self, key: InstanceKey) -> Option<&Instance> {
        let (generation, instance) = self.arena.get(key.slot as usize)?;
        instance.as_ref().filter(|_| *generation == key.generation)
    }

    /// An instance, to be changed.
    pub(crate) fn get_mut(&mut self, key: InstanceKey) -> Option<&mut Instance> {
        let (generation, instance) = self.arena.get_mut(key.slot as usize)?;
        instance.as_mut().filter(|_| *generation == key.generation)
    }

    /// All instances.
    pub fn iter(&self) -> impl Iterator<Item = (InstanceKey, &Instance)> {
        self.arena.iter().enumerate().filter_map(|(slot, (generation, instance))| {
            let key = InstanceKey { slot: slot as u32, generation: *generation };
            instance.as_ref().map(|it| (key, it))
        })
    }

    /// Lets the estimates of instances that have not reported lately return to the mean of their
    /// service in their region.
    pub(crate) fn estimate_loads(&mut self, now: Instant) {
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
                it.load.set_usual(mean.usual(it.registration.slots), now);
            }
        }
    }

    /// The instances of a service.
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

    /// The services that have instances.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.by_service.iter().filter(|it| !it.1.is_empty()).map(|it| it.0.as_str())
    }

    /// The address and id of an instance.
    pub fn address_and_id(&self, key: InstanceKey) -> Option<(SocketAddr, &str)> {
        self.get(key).map(|it| (it.registration.address, it.registration.id.as_str()))
    }

    /// Number of instances.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Adds an instance.
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
            slowness_at: now,
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

    /// Removes an instance.
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
    /// Requests of all hosts that run or wait at it, as far as this one can tell.
    pub fn total_requests(&self, now: Instant) -> f64 {
        self.load.total_requests(now)
    }

    /// Whether it may get new requests at all.
    pub(crate) fn takes_requests(&self) -> bool {
        self.registration.state == ServingState::Ready
    }

    /// Whether it is cold.
    pub(crate) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|it| now < it)
    }
}
