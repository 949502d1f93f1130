//! The choice of an instance for one request.

use std::time::Duration;

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use tokio::time::Instant;

use crate::{
    cache_affinity::{CacheAffinity, mix},
    cold_pace::MAX_COLD_SENDERS,
    health::ExchangeFailure,
    heartbeat::ServiceLoad,
    instance::{InstanceKey, LoadReport},
    instance_registry::{Instance, InstanceRegistry},
    locality::{Locality, RegionKey, ZoneKey, ZoneMap},
    manifest::RepeatPolicy,
    members::Members,
    shift::Shifts,
    versions::{ServiceVersions, Side},
};

/// Instances of the own region that may handle one object. A short list that all hosts agree on
/// keeps objects cached where they are asked for, also under load.
const LOCAL_CHOICES: usize = 3;

/// Instances of other regions that may handle one object.
const REMOTE_CHOICES: usize = 2;

/// Cost of the second and each further choice, as a part of the target latency: about what work on
/// an object takes that is not cached. Below it a shorter queue is not worth spreading objects over
/// more caches, which displace each other's objects.
const RANK_COST_PART: f64 = 0.35;

/// Part of the mean time for work that a request in a queue takes: most concern cached objects,
/// while the mean includes the others.
const QUEUED_WORK_PART: f64 = 0.6;

/// Cost of leaving the zone, in milliseconds of latency; traffic between zones is paid for.
const ZONE_COST_MS: f64 = 4.0;

/// Cost of leaving the region, in milliseconds of latency.
const REGION_COST_MS: f64 = 12.0;

/// The costs of leaving for an upload, whose body is a hundred times as long.
const UPLOAD_COST_FACTOR: f64 = 20.0;

/// Part of the target latency up to which a choice may be expected to take.
const TARGET_PART: f64 = 1.5;

/// Part of the target latency for which a request may wait in any case, so that slow work does not
/// forbid all queues.
const MIN_WAIT_PART: f64 = 0.8;

/// Part of the allowed wait left to each further rank of priority, so that the less urgent give
/// way first.
const PRIORITY_PART: f64 = 0.85;

/// Weight of a new observation of the time for work.
const WORK_WEIGHT: f64 = 0.05;

/// Weight of a new observation of an instance's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Time after which half of an instance's slowness is forgotten, so that it is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// Slowness beyond which an observation counts no further.
const MAX_SLOWNESS: f64 = 10.0;

/// First guess of the time for work on a cached object, as a part of the target latency.
const WARM_PART: f64 = 0.35;

/// First guess of the time for other work, as a part of the target latency.
const COLD_PART: f64 = 1.0;

/// Instances of a new version that are used while only few requests are exposed.
const CANARY_INSTANCES: usize = 2;

/// What a refused caller waits before it comes back: a few requests end in that time.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that needs an instance.
#[derive(Debug, Clone, Copy)]
pub struct SelectionQuery<'a> {
    /// Its service.
    pub service: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Hash of the object that it concerns, or of the request.
    pub affinity_hash: u64,
    /// Whether instances cache objects.
    pub has_affinity: bool,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Rank, 0 first.
    pub priority: u32,
    /// Time within which the response is as good as an instant one.
    pub target_latency: Duration,
    /// The only regions that may serve it; all when `None`.
    pub home_regions: Option<&'a [RegionKey]>,
    /// Instances that already had it.
    pub excluded: &'a [InstanceKey],
    /// Side of a rollout.
    pub side: Side,
}

/// What a choice is made among.
#[derive(Clone, Copy)]
pub struct SelectionContext<'a> {
    /// The instances.
    pub instances: &'a InstanceRegistry,
    /// Versions and rollouts.
    pub versions: &'a ServiceVersions,
    /// Zones and regions.
    pub zone_map: &'a ZoneMap,
    /// Rank of this host among the feeders of a cold instance, by the hash of its id and place.
    pub cold_sender_rank: &'a dyn Fn(u64, Locality) -> usize,
    /// The time.
    pub now: Instant,
}

/// A good response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseObservation {
    /// The instance.
    pub key: InstanceKey,
    /// Time from sending to the response.
    pub latency: Duration,
    /// Whether requests waited at the instance.
    pub was_queued: bool,
}

/// The answer to a [`SelectionQuery`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// This instance.
    Instance {
        /// Its key.
        key: InstanceKey,
        /// Expected time to the response.
        expected_latency: Duration,
    },
    /// Every instance that may handle it is full.
    AtCapacity(AtCapacity),
    /// No instance may handle it.
    NoInstance,
}

/// When a refused request may come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtCapacity {
    /// Time to wait.
    pub retry_after: Duration,
}

/// Chooses instances and learns from how they answer.
#[derive(Debug)]
pub struct InstanceSelector {
    /// Objects that instances have cached.
    cache_affinity: CacheAffinity,
    /// Times for work by route name, sorted.
    work: Vec<(String, Work)>,
    /// Zones that get no requests.
    evacuated: Vec<ZoneKey>,
    /// Objects that other regions handle.
    shifts: Shifts,
    /// Breaks ties among requests without an object.
    rng: SmallRng,
}

/// Times for the work of one route.
#[derive(Debug, Clone, Copy)]
struct Work {
    /// On a cached object, in milliseconds.
    warm_ms: f64,
    /// On another one, in milliseconds.
    cold_ms: f64,
    /// On any object, in milliseconds.
    mean_ms: f64,
}

/// An instance that may handle a request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    /// Its key.
    key: InstanceKey,
    /// Place in the ranking of the object, by which all hosts order alike; the smallest is first.
    score: f64,
    /// How far away it is.
    distance: Distance,
}

/// How far away an instance is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    /// In the own zone.
    Zone,
    /// In the own region.
    Region,
    /// In another region.
    Far,
}

/// What a request at a candidate is expected to cost.
#[derive(Debug, Clone, Copy)]
struct Cost {
    /// Time to the response, in milliseconds.
    expected_ms: f64,
    /// Part of it that is spent waiting, in milliseconds.
    wait_ms: f64,
    /// Everything, in milliseconds of latency.
    total_ms: f64,
}

impl InstanceSelector {
    /// A chooser that has learned nothing.
    pub fn new(seed: u64) -> Self {
        Self {
            cache_affinity: CacheAffinity::new(),
            work: Vec::new(),
            evacuated: Vec::new(),
            shifts: Shifts::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the zones that get no requests.
    pub fn set_evacuated_zones(&mut self, zones: Vec<ZoneKey>) {
        self.evacuated = zones;
    }

    /// Zones that get no requests.
    pub fn evacuated_zones(&self) -> &[ZoneKey] {
        &self.evacuated
    }

    /// Moves the regions' shares on.
    pub(crate) fn tick(
        &mut self,
        instances: &InstanceRegistry,
        members: &Members,
        zone_map: &ZoneMap,
        now: Instant,
    ) {
        self.shifts.update(instances, &self.evacuated, members, zone_map, now);
    }

    /// Load of the services in the own region, for the other hosts.
    pub(crate) fn service_loads(&self) -> Vec<ServiceLoad> {
        self.shifts.service_loads()
    }

    /// Part of a service's objects that other regions handle, and the utilization here.
    pub fn shift_state(&self, service: &str) -> Option<(f64, f64)> {
        self.shifts.shift_state(service)
    }

    /// Chooses an instance.
    pub fn select(&mut self, query: &SelectionQuery<'_>, view: &SelectionContext<'_>) -> Selection {
        let affinity_hash =
            if query.has_affinity { query.affinity_hash } else { self.rng.random() };
        let candidates = self.candidates(query, affinity_hash, view);
        if candidates.is_empty() {
            return Selection::NoInstance;
        }
        let mut best: Option<(Candidate, Cost)> = None;
        // One that was ejected may have recovered; it is tried when no other has room.
        for use_ejected in [false, true] {
            for (rank, candidate) in candidates.iter().enumerate() {
                let Some(instance) = view.instances.get(candidate.key) else { continue };
                let is_ejected = instance.health.is_ejected(view.now);
                if is_ejected != use_ejected || !may_feed(instance, view) {
                    continue;
                }
                let cost = self.cost(query, (candidate, instance), rank, affinity_hash, view);
                if cost.wait_ms > allowed_wait_ms(query, &cost) {
                    continue;
                }
                if best.is_none_or(|it| cost.total_ms < it.1.total_ms) {
                    best = Some((*candidate, cost));
                }
            }
            if best.is_some() {
                break;
            }
        }
        match best {
            Some((candidate, cost)) => Selection::Instance {
                key: candidate.key,
                expected_latency: Duration::from_secs_f64(cost.expected_ms / 1000.0),
            },
            None => Selection::AtCapacity(AtCapacity { retry_after: RETRY_AFTER }),
        }
    }

    /// Counts a request that is sent to an instance.
    pub fn record_sent(
        &mut self,
        key: InstanceKey,
        instances: &mut InstanceRegistry,
        (cold_rate_per_s, cold_senders): (f64, usize),
        zone_map: &ZoneMap,
        now: Instant,
    ) {
        let Some(it) = instances.get_mut(key) else { return };
        it.load.record_sent();
        if it.is_cold(now) {
            it.cold_pace.sent(cold_rate_per_s, cold_senders, now);
        }
        let is_far = it.registration.locality.region != zone_map.own_locality().region;
        self.shifts.record_sent(&it.registration.service, is_far, now);
    }

    /// Counts a request that ended at an instance, however it did.
    pub fn record_finished(&mut self, key: InstanceKey, instances: &mut InstanceRegistry) {
        if let Some(it) = instances.get_mut(key) {
            it.load.record_finished();
        }
    }

    /// Takes the load in that an instance told with a response.
    pub fn record_load(
        &mut self,
        key: InstanceKey,
        report: LoadReport,
        instances: &mut InstanceRegistry,
        now: Instant,
    ) {
        if let Some(it) = instances.get_mut(key) {
            it.load.record_report(report, now);
        }
    }

    /// Learns from a good response; answers whether it ends an ejection.
    pub fn record_success(
        &mut self,
        query: &SelectionQuery<'_>,
        observation: &ResponseObservation,
        instances: &mut InstanceRegistry,
        zone_map: &ZoneMap,
        now: Instant,
    ) -> bool {
        let ResponseObservation { key, latency, was_queued } = *observation;
        let is_warm = self.cache_affinity.is_warm(key, query.affinity_hash, now);
        let work = self.work_mut(query);
        let Some(it) = instances.get_mut(key) else { return false };
        let round_trip = zone_map.expected_round_trip(it.registration.locality);
        let work_ms = latency.saturating_sub(round_trip).as_secs_f64() * 1000.0;
        let usual_ms = if is_warm { work.warm_ms } else { work.cold_ms };
        if !was_queued {
            let ratio = (work_ms / usual_ms.max(1.0)).min(MAX_SLOWNESS);
            let slowness = slowness(it, now);
            // An object that turned out to be cached says nothing about the instance.
            if is_warm || ratio > 0.7 {
                it.slowness = slowness * (1.0 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
                it.slowness_at = now;
            }
            if it.slowness < 2.0 {
                let learned = if is_warm { &mut work.warm_ms } else { &mut work.cold_ms };
                *learned += (work_ms - *learned) * WORK_WEIGHT;
            }
        }
        work.mean_ms += (work_ms.min(usual_ms * 2.0) - work.mean_ms) * WORK_WEIGHT;
        let res = it.health.record_success();
        self.cache_affinity.handled(key, query.affinity_hash, now);
        res
    }

    /// Learns from a failed exchange; answers whether the instance is ejected by it.
    pub fn record_failure(
        &mut self,
        key: InstanceKey,
        failure: ExchangeFailure,
        instances: &mut InstanceRegistry,
        now: Instant,
    ) -> bool {
        instances.get_mut(key).is_some_and(|it| it.health.record_failure(failure, now))
    }

    /// The usual time to a response of a route once its objects are cached.
    pub fn mean_service_time(&self, route: &str) -> Option<Duration> {
        let at = self.work.binary_search_by(|it| it.0.as_str().cmp(route)).ok()?;
        Some(Duration::from_secs_f64(self.work[at].1.mean_ms / 1000.0))
    }

    /// The instances that may handle a request, in the order that all hosts of a place agree on.
    fn candidates(
        &self,
        query: &SelectionQuery<'_>,
        affinity_hash: u64,
        view: &SelectionContext<'_>,
    ) -> Vec<Candidate> {
        let mut all: Vec<Candidate> = view
            .instances
            .of_service(query.service)
            .filter(|(key, it)| {
                it.takes_requests()
                    && !query.excluded.contains(key)
                    && !self.evacuated.contains(&it.registration.locality.zone)
                    && query.home_regions.is_none_or(|home_regions| {
                        home_regions.contains(&it.registration.locality.region)
                    })
                    && view.versions.allows(it, query.side)
            })
            .map(|(key, it)| Candidate {
                key,
                score: score(affinity_hash, it.id_hash, it.registration.slots),
                distance: distance(it.registration.locality, view.zone_map.own_locality()),
            })
            .collect();
        let concentrated = query.side == Side::New
            && view
                .versions
                .rollout(query.service)
                .is_some_and(|it| it.uses_few_instances(view.now));
        if concentrated {
            // The same few instances for all objects, so that they see load.
            for it in &mut all {
                let id_hash = view.instances.get(it.key).map_or(0, |it| it.id_hash);
                it.score = score(0, id_hash, 1);
            }
            all.sort_by(|a, b| a.score.total_cmp(&b.score));
            all.truncate(CANARY_INSTANCES);
            return all;
        }
        let is_upload = query.repeat == RepeatPolicy::Upload;
        all.sort_by(|a, b| {
            let group = |it: &Candidate| match it.distance {
                Distance::Region if !is_upload => Distance::Zone,
                other => other,
            };
            group(a).cmp(&group(b)).then(a.score.total_cmp(&b.score))
        });
        let local = all.iter().filter(|it| it.distance != Distance::Far).take(LOCAL_CHOICES);
        let remote = all.iter().filter(|it| it.distance == Distance::Far).take(REMOTE_CHOICES);
        let has_local = all.first().is_some_and(|it| it.distance != Distance::Far);
        if query.has_affinity && self.shifts.is_moved(query.service, affinity_hash) {
            // Its home is there, so that the way costs only its time.
            let remote = remote.map(|it| Candidate { distance: Distance::Zone, ..*it });
            return remote.chain(local.copied()).collect();
        }
        if has_local && !self.shifts.may_spill(query.service) {
            return local.copied().collect();
        }
        local.chain(remote).copied().collect()
    }

    /// What a request at a candidate is expected to cost.
    fn cost(
        &mut self,
        query: &SelectionQuery<'_>,
        (candidate, instance): (&Candidate, &Instance),
        rank: usize,
        affinity_hash: u64,
        view: &SelectionContext<'_>,
    ) -> Cost {
        let SelectionContext { zone_map, now, .. } = *view;
        let is_warm =
            query.has_affinity && self.cache_affinity.is_warm(candidate.key, affinity_hash, now);
        let work = *self.work_mut(query);
        let slowness = slowness(instance, now).max(0.5);
        let work_ms = slowness * if is_warm { work.warm_ms } else { work.cold_ms };
        let slots = f64::from(instance.registration.slots.max(1));
        let excess = instance.load.total_requests(now) + 1.0 - slots;
        let wait_ms = excess.max(0.0) / slots * work.mean_ms * QUEUED_WORK_PART * slowness;
        let round_trip_ms =
            zone_map.expected_round_trip(instance.registration.locality).as_secs_f64() * 1000.0;
        let expected_ms = round_trip_ms + wait_ms + work_ms;
        let factor = if query.repeat == RepeatPolicy::Upload { UPLOAD_COST_FACTOR } else { 1.0 };
        let distance_ms = match candidate.distance {
            Distance::Zone => 0.0,
            Distance::Region => ZONE_COST_MS * factor,
            Distance::Far => REGION_COST_MS * factor,
        };
        let target_ms = query.target_latency.as_secs_f64() * 1000.0;
        // An exchange that fails costs about a whole target latency.
        let failure_ms = instance.health.failure_rate() * target_ms;
        let rank_ms = rank as f64 * RANK_COST_PART * target_ms;
        let total_ms = expected_ms + distance_ms + failure_ms + rank_ms;
        Cost { expected_ms, wait_ms, total_ms }
    }

    /// The times for the work of a route.
    fn work_mut(&mut self, query: &SelectionQuery<'_>) -> &mut Work {
        let at = match self.work.binary_search_by(|it| it.0.as_str().cmp(query.route)) {
            Ok(at) => at,
            Err(at) => {
                let target_ms = query.target_latency.as_secs_f64() * 1000.0;
                let (warm_ms, cold_ms) = (target_ms * WARM_PART, target_ms * COLD_PART);
                let work = Work { warm_ms, cold_ms, mean_ms: (warm_ms + cold_ms) / 2.0 };
                self.work.insert(at, (query.route.to_owned(), work));
                at
            }
        };
        &mut self.work[at].1
    }
}

/// The longest wait that is allowed at a candidate, in milliseconds.
fn allowed_wait_ms(query: &SelectionQuery<'_>, cost: &Cost) -> f64 {
    let target_ms = query.target_latency.as_secs_f64() * 1000.0;
    let work_ms = cost.expected_ms - cost.wait_ms;
    let allowed = (target_ms * TARGET_PART - work_ms).max(target_ms * MIN_WAIT_PART);
    allowed * PRIORITY_PART.powi(query.priority.min(8) as i32)
}

/// Whether an instance may get a request now as far as its coldness goes.
fn may_feed(instance: &Instance, view: &SelectionContext<'_>) -> bool {
    if !instance.is_cold(view.now) {
        return true;
    }
    let rank = (view.cold_sender_rank)(instance.id_hash, instance.registration.locality);
    rank < MAX_COLD_SENDERS && instance.cold_pace.allows(view.now)
}

/// How much longer an instance takes, the longer ago the nearer to 1.
fn slowness(instance: &Instance, now: Instant) -> f64 {
    let age = now.saturating_duration_since(instance.slowness_at).as_secs_f64();
    let kept = 0.5f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64());
    1.0 + (instance.slowness - 1.0) * kept
}

/// Rendezvous score of an instance for an object, weighted by slots; the smallest is first.
fn score(affinity_hash: u64, id_hash: u64, slots: u32) -> f64 {
    let unit = ((mix(affinity_hash ^ id_hash) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(slots.max(1))
}

/// How far away a place is.
fn distance(locality: Locality, own: Locality) -> Distance {
    if locality.zone == own.zone {
        Distance::Zone
    } else if locality.region == own.region {
        Distance::Region
    } else {
        Distance::Far
    }
}
