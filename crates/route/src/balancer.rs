//! Load balancing over the instances of a service.

use std::time::Duration;

use kingcupford_config::{
    ArenaId as _, Instance, InstanceId, RegionId, ServiceId, Snapshot, VersionId, ZoneId,
};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    instance_state::{HealthChange, InstanceState, LoadReport, ramp_up_fraction},
    retry::AttemptOutcome,
};

/// Factor on the weight of instances outside the home zone, since requests to them travel further.
const OTHER_ZONE_FACTOR: f64 = 0.5;

/// Attempts at rejection sampling before all instances of a group are weighed; enough unless most
/// instances are full.
const MAX_SAMPLING_ATTEMPTS: usize = 12;

/// Time without a request after which the caches of a region count as cold.
const COLD_AFTER: Duration = Duration::from_secs(60);

/// Maximum fraction of a version's instances in a region that timeouts and server errors may
/// eject. A fault of the service or of one route fails everywhere and must not eject all instances.
const MAX_EJECTED_FRACTION: f64 = 0.5;

/// A region that may serve a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowedRegion {
    /// Id of the region.
    pub region: RegionId,
    /// This host's share of the service's slots in the region. While the region is cold, only a
    /// fraction of them is used.
    pub share_slots: u32,
}

/// Criteria for the choice of an instance.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Service of the request.
    pub service: ServiceId,
    /// Version of that service.
    pub version: VersionId,
    /// Region of the choosing host, which is never treated as cold.
    pub home_region: RegionId,
    /// Zone of the choosing host, which is preferred inside its region.
    pub home_zone: ZoneId,
    /// Regions that may be used, in order of preference.
    pub regions: &'a [AllowedRegion],
    /// Instances that this request already tried.
    pub excluded: &'a [InstanceId],
    /// Whether the request may be repeated without harm. Such requests probe ejected instances
    /// first.
    pub idempotent: bool,
    /// Time of the choice.
    pub now: Instant,
}

/// Capacity of a service in a region as observed by this host.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceCapacity {
    /// Requests that the instances may run at the same time, limited by their ramp-up. Drained and
    /// ejected instances do not count.
    pub slots: u32,
    /// Slots that are free according to this host's own requests and fresh load reports.
    pub free_slots: u32,
}

/// Chooses instances by load, latency and locality, from what this host observes of each of them.
///
/// Every choice that is used must be recorded with [`Balancer::record_start`] before the next
/// choice, and every recorded start must be followed by one [`Balancer::record_end`].
#[derive(Debug)]
pub struct Balancer {
    rng: SmallRng,
    /// Indexed by instance id; `None` for ids never seen.
    instances: Vec<Option<InstanceState>>,
    /// Sorted by version and region.
    groups: Vec<InstanceGroup>,
    /// Sorted by service and region.
    usages: Vec<RegionUsage>,
    /// Ejected instances in the order of their ejection.
    ejected: Vec<InstanceId>,
}

/// Instances of a version in a region.
#[derive(Debug)]
struct InstanceGroup {
    version: VersionId,
    region: RegionId,
    service: ServiceId,
    instances: Vec<InstanceId>,
    /// Maximum number of slots of one instance.
    max_slots: u32,
    /// Total slots of the instances that are not drained.
    slots: u32,
}

/// Use of a service in a region by this host.
#[derive(Debug)]
struct RegionUsage {
    service: ServiceId,
    region: RegionId,
    /// Requests of this host that run there.
    in_flight: u32,
    /// Time at which a request last started or ended there.
    last_used: Instant,
    /// Time of the first request after the region was cold.
    used_since: Instant,
}

impl Balancer {
    /// Creates a balancer without instances; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            instances: Vec::new(),
            groups: Vec::new(),
            usages: Vec::new(),
            ejected: Vec::new(),
        }
    }

    /// Installs the instances of a snapshot.
    ///
    /// Instances of the first snapshot count as warm, since they ran before this process started.
    pub fn install(&mut self, snapshot: &Snapshot, now: Instant) {
        let is_first = self.instances.is_empty();
        let slot_count = snapshot.instances.slot_count().max(self.instances.len());
        self.instances.resize(slot_count, None);
        self.groups.clear();
        for (index, state) in self.instances.iter_mut().enumerate() {
            let id = InstanceId::from_index(index);
            match (snapshot.instances.value(id), state) {
                (Some(instance), Some(known)) => known.update_declaration(instance, now),
                (Some(instance), unknown) => {
                    *unknown = Some(InstanceState::new(instance, (!is_first).then_some(now)));
                }
                (None, Some(removed)) => removed.accepts_work = false,
                (None, None) => {}
            }
        }
        for (id, instance) in snapshot.instances.iter() {
            self.add_to_group(id, instance);
        }
        let instances = &self.instances;
        self.ejected
            .retain(|it| instances[it.index()].as_ref().is_some_and(InstanceState::is_ejected));
    }

    /// Chooses an instance; returns `None` if no allowed instance has a free slot.
    ///
    /// Regions are tried in order. Inside a region, an ejected instance whose probe is due comes
    /// first, then the cheaper of two random instances, which are sampled by weight.
    pub fn choose(&mut self, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        for allowed in query.regions {
            let Ok(group) = self.group_index(query.version, allowed.region) else { continue };
            if self.groups[group].service != query.service
                || !self.region_has_capacity(group, allowed, query)
            {
                continue;
            }
            let probe = self.instance_to_probe(allowed.region, query);
            let choice = probe.or_else(|| self.choose_in_group(group, query));
            if choice.is_some() {
                return choice;
            }
        }
        None
    }

    /// Records that a request was sent to an instance.
    pub fn record_start(&mut self, instance: InstanceId, now: Instant) {
        let Some(state) = self.state_mut(instance) else { return };
        state.record_start();
        let (service, region) = (state.service, state.region);
        match self.usage_index(service, region) {
            Ok(index) => {
                let usage = &mut self.usages[index];
                if usage.is_cold(now) {
                    usage.used_since = now;
                }
                usage.in_flight += 1;
                usage.last_used = now;
            }
            Err(index) => {
                let usage =
                    RegionUsage { service, region, in_flight: 1, last_used: now, used_since: now };
                self.usages.insert(index, usage);
            }
        }
    }

    /// Records the end of a request that was recorded with [`Balancer::record_start`], which may
    /// eject the instance or end its ejection.
    pub fn record_end(
        &mut self,
        instance: InstanceId,
        outcome: AttemptOutcome,
        latency: Duration,
        now: Instant,
    ) {
        let Some(state) = self.state_mut(instance) else { return };
        let change = state.record_end(outcome, latency, now);
        let (service, region, version) = (state.service, state.region, state.version);
        if let Ok(index) = self.usage_index(service, region) {
            self.usages[index].in_flight = self.usages[index].in_flight.saturating_sub(1);
            self.usages[index].last_used = now;
        }
        match change {
            HealthChange::None => {}
            HealthChange::Returned => self.ejected.retain(|it| *it != instance),
            HealthChange::EjectWithinLimit if !self.may_eject(version, region) => {}
            HealthChange::Eject | HealthChange::EjectWithinLimit => {
                if let Some(state) = self.state_mut(instance) {
                    state.eject(now);
                }
                self.ejected.push(instance);
            }
        }
    }

    /// Records a load report that was measured at `measured_at`; a time in the future counts as
    /// `now`.
    pub fn record_report(
        &mut self,
        instance: InstanceId,
        report: LoadReport,
        measured_at: Instant,
        now: Instant,
    ) {
        if let Some(state) = self.state_mut(instance) {
            state.record_report(report, measured_at.min(now));
        }
    }

    /// Sends an instance no new work until `until`, after which it ramps up again.
    pub fn mark_draining(&mut self, instance: InstanceId, until: Instant) {
        if let Some(state) = self.state_mut(instance) {
            state.record_drain(until);
        }
    }

    /// Returns the capacity of all versions of a service in a region.
    pub fn capacity(&self, service: ServiceId, region: RegionId, now: Instant) -> ServiceCapacity {
        let mut capacity = ServiceCapacity::default();
        let groups = self.groups.iter().filter(|it| it.service == service && it.region == region);
        for id in groups.flat_map(|it| &it.instances) {
            let Some(state) = self.state(*id) else { continue };
            if state.is_ejected() || state.is_draining(now) {
                continue;
            }
            let slots = state.available_slots(now);
            capacity.slots += slots;
            capacity.free_slots += slots.saturating_sub(state.total_in_flight(now));
        }
        capacity
    }

    /// Returns the number of requests of this host that run at an instance.
    pub fn in_flight(&self, instance: InstanceId) -> u32 {
        self.state(instance).map_or(0, |it| it.in_flight)
    }

    /// Returns whether an instance is ejected because of failures.
    pub fn is_ejected(&self, instance: InstanceId) -> bool {
        self.state(instance).is_some_and(InstanceState::is_ejected)
    }

    /// Returns whether an instance takes no new work because of a drain.
    pub fn is_draining(&self, instance: InstanceId, now: Instant) -> bool {
        self.state(instance).is_some_and(|it| it.is_draining(now))
    }

    /// Returns whether a region may get one more request. A cold region other than the home region
    /// ramps up to this host's share.
    fn region_has_capacity(
        &self,
        group: usize,
        allowed: &AllowedRegion,
        query: &ChoiceQuery<'_>,
    ) -> bool {
        if allowed.region == query.home_region {
            return true;
        }
        let slots = self.groups[group].slots.min(allowed.share_slots);
        let usage = self.usage_index(query.service, allowed.region).ok().map(|it| &self.usages[it]);
        let ramp_up_start =
            usage.filter(|it| !it.is_cold(query.now)).map_or(query.now, |it| it.used_since);
        let limit = (f64::from(slots) * ramp_up_fraction(ramp_up_start, query.now)).ceil() as u32;
        usage.map_or(0, |it| it.in_flight) < limit
    }

    /// Returns an ejected instance whose probe is due.
    fn instance_to_probe(&self, region: RegionId, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        let is_due = |id: &InstanceId| {
            let Some(state) = self.state(*id) else { return false };
            state.version == query.version
                && state.region == region
                && state.is_probe_due(query.idempotent, query.now)
                && !query.excluded.contains(id)
        };
        self.ejected.iter().copied().find(is_due)
    }

    fn choose_in_group(&mut self, group: usize, query: &ChoiceQuery<'_>) -> Option<InstanceId> {
        let mut rng = self.rng.clone();
        let choice = self.cheaper_of_two(group, query, &mut rng);
        self.rng = rng;
        choice
    }

    /// Samples two instances and returns the one with the lower cost.
    fn cheaper_of_two(
        &self,
        group: usize,
        query: &ChoiceQuery<'_>,
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        let group = &self.groups[group];
        let first = self.sample(group, query, rng)?;
        let second = self.sample(group, query, rng)?;
        let (a, b) = (self.state(first)?, self.state(second)?);
        let (latency_a, latency_b) = (a.latency_s(query.now), b.latency_s(query.now));
        // An instance without samples is assumed to be as fast as the other one.
        let cost_a = a.cost(query.now, latency_b.unwrap_or(0.0));
        let cost_b = b.cost(query.now, latency_a.unwrap_or(0.0));
        Some(if cost_b < cost_a { second } else { first })
    }

    /// Samples one instance with a probability proportional to its weight: by rejection sampling
    /// first, then by a scan over the weights of all instances.
    fn sample(
        &self,
        group: &InstanceGroup,
        query: &ChoiceQuery<'_>,
        rng: &mut SmallRng,
    ) -> Option<InstanceId> {
        for _ in 0..MAX_SAMPLING_ATTEMPTS {
            let id = group.instances[rng.random_range(0..group.instances.len())];
            let weight = self.weight(id, query);
            if rng.random::<f64>() * f64::from(group.max_slots) < weight {
                return Some(id);
            }
        }
        let total: f64 = group.instances.iter().map(|it| self.weight(*it, query)).sum();
        let mut remaining = rng.random::<f64>() * total;
        let mut last = None;
        for id in &group.instances {
            let weight = self.weight(*id, query);
            if weight <= 0.0 {
                continue;
            }
            last = Some(*id);
            remaining -= weight;
            if remaining < 0.0 {
                break;
            }
        }
        last
    }

    /// Returns the weight of an instance: at most its slots, 0 if it must not be chosen.
    fn weight(&self, id: InstanceId, query: &ChoiceQuery<'_>) -> f64 {
        let Some(state) = self.state(id) else { return 0.0 };
        let free_slots = state.free_slots(query.now);
        if free_slots == 0 || query.excluded.contains(&id) {
            return 0.0;
        }
        let zone_factor = if state.zone == query.home_zone { 1.0 } else { OTHER_ZONE_FACTOR };
        f64::from(free_slots) * state.load_weight(query.now) * zone_factor
    }

    /// Returns whether one more instance of a group may be ejected because of timeouts or server
    /// errors.
    fn may_eject(&self, version: VersionId, region: RegionId) -> bool {
        let Ok(group) = self.group_index(version, region) else { return false };
        let instances = &self.groups[group].instances;
        let ejected = self.ejected.iter().filter(|it| instances.contains(it)).count();
        (ejected + 1) as f64 <= instances.len() as f64 * MAX_EJECTED_FRACTION
    }

    /// Adds an instance to the group of its version and region.
    fn add_to_group(&mut self, id: InstanceId, instance: &Instance) {
        let index = match self.group_index(instance.version, instance.region) {
            Ok(index) => index,
            Err(index) => {
                let group = InstanceGroup {
                    version: instance.version,
                    region: instance.region,
                    service: instance.service,
                    instances: Vec::new(),
                    max_slots: 0,
                    slots: 0,
                };
                self.groups.insert(index, group);
                index
            }
        };
        let group = &mut self.groups[index];
        group.instances.push(id);
        group.max_slots = group.max_slots.max(instance.slots);
        if !instance.draining {
            group.slots = group.slots.saturating_add(instance.slots);
        }
    }

    /// Returns the index of a group, or where to insert it.
    fn group_index(&self, version: VersionId, region: RegionId) -> Result<usize, usize> {
        self.groups.binary_search_by_key(&(version, region), |it| (it.version, it.region))
    }

    /// Returns the index of a usage, or where to insert it.
    fn usage_index(&self, service: ServiceId, region: RegionId) -> Result<usize, usize> {
        self.usages.binary_search_by_key(&(service, region), |it| (it.service, it.region))
    }

    fn state(&self, id: InstanceId) -> Option<&InstanceState> {
        self.instances.get(id.index())?.as_ref()
    }

    fn state_mut(&mut self, id: InstanceId) -> Option<&mut InstanceState> {
        self.instances.get_mut(id.index())?.as_mut()
    }
}

impl RegionUsage {
    /// Returns whether the region was unused for so long that its caches no longer hold data for
    /// this host's callers.
    fn is_cold(&self, now: Instant) -> bool {
        self.in_flight == 0 && now.saturating_duration_since(self.last_used) >= COLD_AFTER
    }
}
