//! The choice of an instance.

use std::time::Duration;

use kingcupford_config::{
    Instance, InstanceId, Key as _, RegionId, ServiceId, Snapshot, VersionId, ZoneId,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    observe::{Change, LoadReport, Observation, ramp},
    retry::AttemptOutcome,
};

/// Weight of instances outside the home zone, to which each request has a longer way.
const OTHER_ZONE_FACTOR: f64 = 0.5;

/// Random picks before all instances of a region are weighed; enough unless most are full.
const MAX_PICKS: usize = 12;

/// Time without a request after which a region's caches count as cold.
const COLD_AFTER: Duration = Duration::from_secs(60);

/// Part of a version's instances in a region that timeouts and server errors may eject; a fault of
/// the service or of one route fails everywhere and must not take out all instances.
const MAX_EJECTED_SHARE: f64 = 0.5;

/// A region that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedRegion {
    /// The region.
    pub region: RegionId,
    /// This host's share of the service's slots there, of which a cold region gets a part.
    pub share_slots: u32,
}

/// What an instance is wanted for.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: ServiceId,
    /// The version, which belongs to the service.
    pub version: VersionId,
    /// Region of the choosing host; it is never treated as cold.
    pub home_region: RegionId,
    /// Zone of the choosing host, preferred inside its region.
    pub home_zone: ZoneId,
    /// Regions in the order of preference.
    pub regions: &'a [AllowedRegion],
    /// Instances that this request already tried.
    pub excluded: &'a [InstanceId],
    /// Whether the request may be repeated without harm; such requests probe ejected instances.
    pub idempotent: bool,
    /// The time.
    pub now: Instant,
}

/// Room of a service in a region as this host sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Requests that instances take at the same time, ramp-up included.
    pub slots: u32,
    /// Those that are free, by own counts and fresh reports.
    pub free_slots: u32,
}

/// A host's observations of all instances and the choice among them.
///
/// A chosen instance is announced with [`Balancer::record_start`] before the next choice, and each
/// started request is ended once with [`Balancer::record_end`].
#[derive(Debug)]
pub struct Balancer {
    /// Source of the random choices.
    random: SmallRng,
    /// Observations by instance key, `None` for keys never seen.
    observations: Vec<Option<Observation>>,
    /// Instances of each version and region, sorted by these.
    groups: Vec<Group>,
    /// Use of each service in each region, sorted by these.
    uses: Vec<Use>,
    /// Ejected instances.
    ejected: Vec<InstanceId>,
}

/// The instances of a version in a region.
#[derive(Debug)]
struct Group {
    /// The version.
    version: VersionId,
    /// The region.
    region: RegionId,
    /// The service of the version.
    service: ServiceId,
    /// The instances.
    instances: Vec<InstanceId>,
    /// Most slots of one instance.
    max_slots: u32,
    /// Slots of all instances that are not drained.
    slots: u32,
}

/// Use of a service in a region by this host.
#[derive(Debug)]
struct Use {
    /// The service.
    service: ServiceId,
    /// The region.
    region: RegionId,
    /// Own requests that run there.
    in_flight: u32,
    /// When a request last started or ended there.
    last: Instant,
    /// When use began after a time without requests.
    since: Instant,
}

impl Balancer {
    /// A balancer without instances; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            observations: Vec::new(),
            groups: Vec::new(),
            uses: Vec::new(),
            ejected: Vec::new(),
        }
    }

    /// Takes over the instances of a snapshot.
    ///
    /// Instances of the first snapshot count as warm, since they ran before this process started.
    pub fn install(&mut self, snapshot: &Snapshot, now: Instant) {
        let first = self.observations.is_empty();
        let slot_count = snapshot.instances.slot_count().max(self.observations.len());
        self.observations.resize(slot_count, None);
        self.groups.clear();
        for (index, observation) in self.observations.iter_mut().enumerate() {
            let id = InstanceId::from_index(index);
            match (snapshot.instances.value(id), observation) {
                (Some(instance), Some(known)) => known.declare(instance, now),
                (Some(instance), unknown) => {
                    *unknown = Some(Observation::new(instance, (!first).then_some(now)));
                }
                (None, Some(removed)) => removed.takes_work = false,
                (None, None) => {}
            }
        }
        for (id, instance) in snapshot.instances.iter() {
            self.add_to_group(id, instance);
        }
        let observations = &self.observations;
        self.ejected
            .retain(|it| observations[it.index()].as_ref().is_some_and(|it| it.is_ejected()));
    }

    /// Chooses an instance, `None` when no allowed one has room.
    ///
    /// The regions are tried in order. Inside a region a probe that is due comes first, then the
    /// cheaper of two random picks weighted by room.
    pub fn choose(&mut self, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        for allowed in query.regions {
            let Ok(group) = self.group(query.version, allowed.region) else { continue };
            if self.groups[group].service != query.service
                || !self.takes_more(group, allowed, query)
            {
                continue;
            }
            let probe = self.due_probe(allowed.region, query);
            let choice = probe.or_else(|| self.choose_in(group, query));
            if choice.is_some() {
                return choice;
            }
        }
        None
    }

    /// Counts a request sent to an instance.
    pub fn record_start(&mut self, instance: InstanceId, now: Instant) {
        let Some(observation) = self.observation_mut(instance) else { return };
        observation.started();
        let (service, region) = (observation.service, observation.region);
        match self.use_position(service, region) {
            Ok(at) => {
                let it = &mut self.uses[at];
                if it.is_cold(now) {
                    it.since = now;
                }
                it.in_flight += 1;
                it.last = now;
            }
            Err(at) => {
                let value = Use { service, region, in_flight: 1, last: now, since: now };
                self.uses.insert(at, value);
            }
        }
    }

    /// Counts the end of a request that was started.
    pub fn record_end(
        &mut self,
        instance: InstanceId,
        outcome: AttemptOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(observation) = self.observation_mut(instance) else { return };
        let change = observation.finished(outcome, latency, now);
        let (service, region, version) =
            (observation.service, observation.region, observation.version);
        if let Ok(at) = self.use_position(service, region) {
            self.uses[at].in_flight = self.uses[at].in_flight.saturating_sub(1);
            self.uses[at].last = now;
        }
        match change {
            Change::None => {}
            Change::Returned => self.ejected.retain(|it| *it != instance),
            Change::EjectIfFew if !self.may_eject(version, region) => {}
            Change::Eject | Change::EjectIfFew => {
                if let Some(it) = self.observation_mut(instance) {
                    it.eject(now);
                }
                self.ejected.push(instance);
            }
        }
    }

    /// Takes a load report that was measured at `measured_at`; one from the future counts as new.
    pub fn record_report(
        &mut self,
        instance: InstanceId,
        report: LoadReport,
        measured_at: Instant,
        now: Instant,
    ) {
        if let Some(it) = self.observation_mut(instance) {
            it.report(report, measured_at.min(now));
        }
    }

    /// Gives an instance no new work until a time.
    pub fn mark_draining(&mut self, instance: InstanceId, until: Instant) {
        if let Some(it) = self.observation_mut(instance) {
            it.drain(until);
        }
    }

    /// Room of all versions of a service in a region.
    pub fn capacity(&self, service: ServiceId, region: RegionId, now: Instant) -> ServiceCapacity {
        let mut res = ServiceCapacity::default();
        let groups = self.groups.iter().filter(|it| it.service == service && it.region == region);
        for id in groups.flat_map(|it| &it.instances) {
            let Some(it) = self.observation(*id) else { continue };
            if it.is_ejected() || it.is_draining(now) {
                continue;
            }
            let limit = it.limit(now);
            res.slots += limit;
            res.free_slots += limit.saturating_sub(it.busy(now));
        }
        res
    }

    /// Requests that this host has running at an instance.
    pub fn in_flight(&self, instance: InstanceId) -> u32 {
        self.observation(instance).map_or(0, |it| it.in_flight)
    }

    /// Whether failures keep an instance out of the choice.
    pub fn is_ejected(&self, instance: InstanceId) -> bool {
        self.observation(instance).is_some_and(Observation::is_ejected)
    }

    /// Whether an instance takes no new work because of a drain.
    pub fn is_draining(&self, instance: InstanceId, now: Instant) -> bool {
        self.observation(instance).is_some_and(|it| it.is_draining(now))
    }

    /// Whether a region may get one more request; a cold one gets a rising part of the share.
    fn takes_more(&self, group: usize, allowed: &AllowedRegion, query: &ChoiceQuery<'_>) -> bool {
        if allowed.region == query.home_region {
            return true;
        }
        let slots = self.groups[group].slots.min(allowed.share_slots);
        let usage = self.use_position(query.service, allowed.region).ok().map(|it| &self.uses[it]);
        let since = usage.filter(|it| !it.is_cold(query.now)).map_or(query.now, |it| it.since);
        let limit = (f64::from(slots) * ramp(since, query.now)).ceil() as u32;
        usage.map_or(0, |it| it.in_flight) < limit
    }

    /// An ejected instance whose probe is due.
    fn due_probe(&self, region: RegionId, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        let is_due = |id: &InstanceId| {
            let Some(it) = self.observation(*id) else { return false };
            it.version == query.version
                && it.region == region
                && it.probe_due(query.idempotent, query.now)
                && !query.excluded.contains(id)
        };
        self.ejected.iter().copied().find(is_due)
    }

    /// The cheaper of two random picks.
    fn choose_in(&mut self, group: usize, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        let mut random = self.random.clone();
        let res = self.better_of_two(group, query, &mut random);
        self.random = random;
        res
    }

    /// Draws two instances and answers the one with the lower cost.
    fn better_of_two(
        &self,
        group: usize,
        query: &ChoiceQuery<'_>,
        random: &mut SmallRng,
    ) -> Option<InstanceId> {
        let group = &self.groups[group];
        let first = self.pick(group, query, random)?;
        let second = self.pick(group, query, random)?;
        let (a, b) = (self.observation(first)?, self.observation(second)?);
        let (latency_a, latency_b) = (a.latency_s(query.now), b.latency_s(query.now));
        // An instance without samples is taken to be as fast as the other one.
        let cost_a = a.cost(query.now, latency_b.unwrap_or(0.0));
        let cost_b = b.cost(query.now, latency_a.unwrap_or(0.0));
        Some(if cost_b < cost_a { second } else { first })
    }

    /// Draws one instance with a probability in proportion to its weight.
    fn pick(
        &self,
        group: &Group,
        query: &ChoiceQuery<'_>,
        random: &mut SmallRng,
    ) -> Option<InstanceId> {
        for _ in 0..MAX_PICKS {
            let id = group.instances[random.random_range(0..group.instances.len())];
            let weight = self.weight(id, query);
            if random.random::<f64>() * f64::from(group.max_slots) < weight {
                return Some(id);
            }
        }
        let total: f64 = group.instances.iter().map(|it| self.weight(*it, query)).sum();
        let mut at = random.random::<f64>() * total;
        let mut last = None;
        for id in &group.instances {
            let weight = self.weight(*id, query);
            if weight <= 0.0 {
                continue;
            }
            last = Some(*id);
            at -= weight;
            if at < 0.0 {
                break;
            }
        }
        last
    }

    /// Weight of an instance in the choice, at most its slots, 0 when it must not be chosen.
    fn weight(&self, id: InstanceId, query: &ChoiceQuery<'_>) -> f64 {
        let Some(it) = self.observation(id) else { return 0.0 };
        let room = it.room(query.now);
        if room == 0 || query.excluded.contains(&id) {
            return 0.0;
        }
        let near = if it.zone == query.home_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        f64::from(room) * it.factor(query.now) * near
    }

    /// Whether one more instance of a group may be ejected on uncertain evidence.
    fn may_eject(&self, version: VersionId, region: RegionId) -> bool {
        let Ok(group) = self.group(version, region) else { return false };
        let instances = &self.groups[group].instances;
        let ejected = self.ejected.iter().filter(|it| instances.contains(it)).count();
        (ejected + 1) as f64 <= instances.len() as f64 * MAX_EJECTED_SHARE
    }

    /// Adds an instance to the group of its version and region.
    fn add_to_group(&mut self, id: InstanceId, instance: &Instance) {
        let at = match self.group(instance.version, instance.region) {
            Ok(at) => at,
            Err(at) => {
                let group = Group {
                    version: instance.version,
                    region: instance.region,
                    service: instance.service,
                    instances: Vec::new(),
                    max_slots: 0,
                    slots: 0,
                };
                self.groups.insert(at, group);
                at
            }
        };
        let group = &mut self.groups[at];
        group.instances.push(id);
        group.max_slots = group.max_slots.max(instance.slots);
        if !instance.draining {
            group.slots = group.slots.saturating_add(instance.slots);
        }
    }

    /// Where a group stands, or would stand.
    fn group(&self, version: VersionId, region: RegionId) -> Result<usize, usize> {
        self.groups.binary_search_by_key(&(version, region), |it| (it.version, it.region))
    }

    /// Where the use of a service in a region stands, or would stand.
    fn use_position(&self, service: ServiceId, region: RegionId) -> Result<usize, usize> {
        self.uses.binary_search_by_key(&(service, region), |it| (it.service, it.region))
    }

    /// The observations of an instance.
    fn observation(&self, id: InstanceId) -> Option<&Observation> {
        self.observations.get(id.index())?.as_ref()
    }

    /// The observations of an instance for changes.
    fn observation_mut(&mut self, id: InstanceId) -> Option<&mut Observation> {
        self.observations.get_mut(id.index())?.as_mut()
    }
}

impl Use {
    /// Whether the region was unused for so long that its caches hold nothing of these callers.
    fn is_cold(&self, now: Instant) -> bool {
        self.in_flight == 0 && now.saturating_duration_since(self.last) >= COLD_AFTER
    }
}
