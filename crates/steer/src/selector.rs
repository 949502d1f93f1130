//! Selection of an instance for a request.

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

/// Instances of the own region that may receive the requests of one affinity key. A short list on
/// which all hosts agree keeps data cached where it is requested, also under load.
const MAX_LOCAL_CANDIDATES: usize = 3;

/// Instances of other regions that may receive the requests of one affinity key.
const MAX_REMOTE_CANDIDATES: usize = 2;

/// Cost of each rank after the first, as a fraction of the target latency. The cost stands for the
/// additional work on a key that is not cached at a further instance. A queue that is shorter by
/// less than this does not justify spreading keys over more caches, where they evict each other.
const RANK_COST_FRACTION: f64 = 0.35;

/// Fraction of the mean service time that a queued request takes. Most queued requests concern
/// cached keys, while the mean includes the others.
const QUEUED_SERVICE_TIME_FRACTION: f64 = 0.6;

/// Cost of leaving the zone as an equivalent latency; traffic between zones is billed.
const CROSS_ZONE_COST_MS: f64 = 4.0;

/// Cost of leaving the region as an equivalent latency.
const CROSS_REGION_COST_MS: f64 = 12.0;

/// Factor on the costs of leaving the zone or region for uploads, whose bodies are a hundred times
/// as long.
const UPLOAD_COST_FACTOR: f64 = 20.0;

/// Multiple of the target latency up to which the expected latency is acceptable.
const MAX_LATENCY_FACTOR: f64 = 1.5;

/// Fraction of the target latency that a request may wait in any case, so that long service times
/// do not rule out queueing.
const MIN_ALLOWED_WAIT_FRACTION: f64 = 0.8;

/// Factor on the allowed wait for each step of lower priority, so that less urgent requests give
/// way first.
const PRIORITY_WAIT_FACTOR: f64 = 0.85;

/// Weight of a new observation in the exponential moving averages of service times.
const SERVICE_TIME_WEIGHT: f64 = 0.05;

/// Weight of a new observation in the exponential moving average of an instance's slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;

/// Half-life of an instance's slowness, so that the instance is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(3);

/// Upper bound for one observation of slowness.
const MAX_SLOWNESS: f64 = 10.0;

/// Initial estimate of the service time for a cached key, as a fraction of the target latency.
const INITIAL_WARM_FRACTION: f64 = 0.35;

/// Initial estimate of the service time for an uncached key, as a fraction of the target latency.
const INITIAL_COLD_FRACTION: f64 = 1.0;

/// Minimum number of instances of a new version that are used while few requests are exposed.
const MIN_CANARY_INSTANCES: usize = 3;

/// Fraction of a new version's instances that are used while few requests are exposed. About equal
/// to the share of the requests, so that the instances are as loaded as the old ones.
const CANARY_INSTANCE_FRACTION: f64 = 0.08;

/// Retry-after time of a request for which no instance has capacity. A few requests end in that
/// time.
const AT_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Request that needs an instance.
#[derive(Debug, Clone, Copy)]
pub struct SelectionQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Name of the route.
    pub route: &'a str,
    /// Hash of the affinity key, or of the path if there is none.
    pub affinity_hash: u64,
    /// Whether instances may have cached data for the affinity key.
    pub has_affinity: bool,
    /// How often the instances may run the request.
    pub repeat: RepeatPolicy,
    /// Priority, 0 is the highest.
    pub priority: u32,
    /// Latency below which an even faster response has no value.
    pub target_latency: Duration,
    /// The only regions that may serve the request; `None` for all regions.
    pub home_regions: Option<&'a [RegionKey]>,
    /// Instances that have already received the request.
    pub excluded: &'a [InstanceKey],
    /// Side of the service's rollout that the request goes to.
    pub side: Side,
}

/// State on which a selection is based.
#[derive(Clone, Copy)]
pub struct SelectionContext<'a> {
    /// Registered instances.
    pub instances: &'a InstanceRegistry,
    /// Active versions and rollouts of the services.
    pub versions: &'a ServiceVersions,
    /// Zones and regions of the deployment.
    pub zone_map: &'a ZoneMap,
    /// Rank of this host as sender to a cold instance, given the hash of the instance's id and its
    /// locality.
    pub cold_sender_rank: &'a dyn Fn(u64, Locality) -> usize,
    /// Time of the selection.
    pub now: Instant,
}

/// Observation of a successful response.
#[derive(Debug, Clone, Copy)]
pub struct ResponseObservation {
    /// Instance that responded.
    pub key: InstanceKey,
    /// Time from sending the request to the response.
    pub latency: Duration,
    /// Whether requests were waiting at the instance.
    pub was_queued: bool,
}

/// Result of [`InstanceSelector::select`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Selection {
    /// An instance was selected.
    Instance {
        /// Key of the instance.
        key: InstanceKey,
        /// Expected time to the response.
        expected_latency: Duration,
    },
    /// No instance that may serve the request has capacity for it.
    AtCapacity(AtCapacity),
    /// No instance may serve the request.
    NoInstance,
}

/// Refusal of a request because no instance has capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AtCapacity {
    /// Time after which to retry.
    pub retry_after: Duration,
}

/// Selects instances and learns from their responses.
#[derive(Debug)]
pub struct InstanceSelector {
    cache_affinity: CacheAffinity,
    /// Service times sorted by the name of the route.
    service_times: Vec<(String, ServiceTimes)>,
    evacuated_zones: Vec<ZoneKey>,
    shifts: Shifts,
    /// Spreads the requests without an affinity key.
    rng: SmallRng,
}

/// Moving averages of a route's service times, without the round trip.
#[derive(Debug, Clone, Copy)]
struct ServiceTimes {
    /// For cached keys.
    warm_ms: f64,
    /// For uncached keys.
    cold_ms: f64,
    /// For all keys, including the time in the instance's queue.
    mean_ms: f64,
}

/// Instance that may receive the request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: InstanceKey,
    /// Score by which all hosts rank the instances of a key alike; the smallest is first.
    rendezvous_score: f64,
    distance: Distance,
}

/// Distance of an instance from this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Distance {
    SameZone,
    SameRegion,
    OtherRegion,
}

/// Expected cost of a request at a candidate.
#[derive(Debug, Clone, Copy)]
struct Cost {
    /// Time to the response.
    expected_latency_ms: f64,
    /// Part of the expected latency that is spent in the queue.
    wait_ms: f64,
    /// All costs as an equivalent latency.
    total_cost_ms: f64,
}

impl InstanceSelector {
    /// Selector without observations; `seed` initializes its random numbers.
    pub fn new(seed: u64) -> Self {
        Self {
            cache_affinity: CacheAffinity::new(),
            service_times: Vec::new(),
            evacuated_zones: Vec::new(),
            shifts: Shifts::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the zones whose instances receive no requests.
    pub fn set_evacuated_zones(&mut self, zones: Vec<ZoneKey>) {
        self.evacuated_zones = zones;
    }

    /// Zones whose instances receive no requests.
    pub fn evacuated_zones(&self) -> &[ZoneKey] {
        &self.evacuated_zones
    }

    /// Updates the traffic shifts.
    pub(crate) fn tick(
        &mut self,
        instances: &InstanceRegistry,
        members: &Members,
        zone_map: &ZoneMap,
        now: Instant,
    ) {
        self.shifts.update(instances, &self.evacuated_zones, members, zone_map, now);
    }

    pub(crate) fn service_loads(&self) -> Vec<ServiceLoad> {
        self.shifts.service_loads()
    }

    /// Share of a service's affinity keys that is shifted to other regions, and the utilization of
    /// the service in this region.
    pub fn shift_state(&self, service: &str) -> Option<(f64, f64)> {
        self.shifts.shift_state(service)
    }

    /// Selects the instance at which the request has the lowest expected cost.
    pub fn select(
        &mut self,
        query: &SelectionQuery<'_>,
        context: &SelectionContext<'_>,
    ) -> Selection {
        let affinity_hash =
            if query.has_affinity { query.affinity_hash } else { self.rng.random() };
        let candidates = self.candidates(query, affinity_hash, context);
        if candidates.is_empty() {
            return Selection::NoInstance;
        }
        let mut best: Option<(Candidate, Cost)> = None;
        // Ejected instances may have recovered, and are tried if no other instance has capacity.
        for use_ejected in [false, true] {
            for (rank, candidate) in candidates.iter().enumerate() {
                let Some(instance) = context.instances.get(candidate.key) else { continue };
                let is_ejected = instance.health.is_ejected(context.now);
                if is_ejected != use_ejected || !allows_cold_send(instance, context) {
                    continue;
                }
                let cost = self.cost(query, (candidate, instance), rank, affinity_hash, context);
                if cost.wait_ms > allowed_wait_ms(query, &cost) {
                    continue;
                }
                if best.is_none_or(|it| cost.total_cost_ms < it.1.total_cost_ms) {
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
                expected_latency: Duration::from_secs_f64(cost.expected_latency_ms / 1000.0),
            },
            None => Selection::AtCapacity(AtCapacity { retry_after: AT_CAPACITY_RETRY_AFTER }),
        }
    }

    /// Counts a request that is being sent to an instance. The pair holds the rate that a cold
    /// instance accepts and the number of hosts that send to one.
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
            it.cold_pace.record_sent(cold_rate_per_s, cold_senders, now);
        }
        let is_remote = it.registration.locality.region != zone_map.own_locality().region;
        self.shifts.record_sent(&it.registration.service, is_remote, now);
    }

    /// Counts the end of a request at an instance, whatever its outcome.
    pub fn record_finished(&mut self, key: InstanceKey, instances: &mut InstanceRegistry) {
        if let Some(it) = instances.get_mut(key) {
            it.load.record_finished();
        }
    }

    /// Records the load that an instance reported with a response.
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

    /// Learns from a successful response; returns whether it ends an ejection of the instance.
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
        let service_times = self.service_times_mut(query);
        let Some(it) = instances.get_mut(key) else { return false };
        let round_trip = zone_map.expected_round_trip(it.registration.locality);
        let service_ms = latency.saturating_sub(round_trip).as_secs_f64() * 1000.0;
        let expected_service_ms =
            if is_warm { service_times.warm_ms } else { service_times.cold_ms };
        if !was_queued {
            let ratio = (service_ms / expected_service_ms.max(1.0)).min(MAX_SLOWNESS);
            let slowness = decayed_slowness(it, now);
            // A fast response for a key that was assumed to be uncached came from a cache, and
            // says nothing about the instance.
            if is_warm || ratio > 0.7 {
                it.slowness = slowness * (1.0 - SLOWNESS_WEIGHT) + ratio * SLOWNESS_WEIGHT;
                it.slowness_observed_at = now;
            }
            if it.slowness < 2.0 {
                let learned =
                    if is_warm { &mut service_times.warm_ms } else { &mut service_times.cold_ms };
                *learned += (service_ms - *learned) * SERVICE_TIME_WEIGHT;
            }
        }
        service_times.mean_ms += (service_ms.min(expected_service_ms * 2.0)
            - service_times.mean_ms)
            * SERVICE_TIME_WEIGHT;
        let res = it.health.record_success();
        self.cache_affinity.record_response(key, query.affinity_hash, now);
        res
    }

    /// Whether an instance is known to have cached an affinity key at the time `sent_at`.
    pub(crate) fn was_cached(
        &self,
        key: InstanceKey,
        affinity_hash: u64,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        let since = self.cache_affinity.warm_since(key, affinity_hash, now);
        since.is_some_and(|it| it <= sent_at)
    }

    /// Learns from a failed exchange; returns whether it ejects the instance.
    pub fn record_failure(
        &mut self,
        key: InstanceKey,
        failure: ExchangeFailure,
        instances: &mut InstanceRegistry,
        now: Instant,
    ) -> bool {
        instances.get_mut(key).is_some_and(|it| it.health.record_failure(failure, now))
    }

    /// Mean service time of a route without the round trip; `None` before the route's first
    /// selection.
    pub fn mean_service_time(&self, route: &str) -> Option<Duration> {
        let at = self.service_times.binary_search_by(|it| it.0.as_str().cmp(route)).ok()?;
        Some(Duration::from_secs_f64(self.service_times[at].1.mean_ms / 1000.0))
    }

    /// Instances that may receive a request, in order of preference. All hosts of a zone agree on
    /// that order.
    fn candidates(
        &self,
        query: &SelectionQuery<'_>,
        affinity_hash: u64,
        context: &SelectionContext<'_>,
    ) -> Vec<Candidate> {
        let mut candidates: Vec<Candidate> = context
            .instances
            .of_service(query.service)
            .filter(|(key, it)| {
                it.accepts_requests()
                    && !query.excluded.contains(key)
                    && !self.evacuated_zones.contains(&it.registration.locality.zone)
                    && query.home_regions.is_none_or(|home_regions| {
                        home_regions.contains(&it.registration.locality.region)
                    })
                    && context.versions.allows(it, query.side)
            })
            .map(|(key, it)| Candidate {
                key,
                rendezvous_score: rendezvous_score(
                    affinity_hash,
                    it.id_hash,
                    it.registration.slots,
                ),
                distance: distance(it.registration.locality, context.zone_map.own_locality()),
            })
            .collect();
        let uses_few_instances = query.side == Side::New
            && context
                .versions
                .rollout(query.service)
                .is_some_and(|it| it.uses_few_instances(context.now));
        if uses_few_instances {
            // Uses the same few instances for all keys, so that they see load.
            for it in &mut candidates {
                let id_hash = context.instances.get(it.key).map_or(0, |it| it.id_hash);
                it.rendezvous_score = rendezvous_score(0, id_hash, 1);
            }
            candidates.sort_by(|a, b| a.rendezvous_score.total_cmp(&b.rendezvous_score));
            let count = (candidates.len() as f64 * CANARY_INSTANCE_FRACTION).round() as usize;
            candidates.truncate(count.max(MIN_CANARY_INSTANCES));
            return candidates;
        }
        let is_upload = query.repeat == RepeatPolicy::Upload;
        candidates.sort_by(|a, b| {
            let sort_distance = |it: &Candidate| match it.distance {
                Distance::SameRegion if !is_upload => Distance::SameZone,
                other => other,
            };
            sort_distance(a)
                .cmp(&sort_distance(b))
                .then(a.rendezvous_score.total_cmp(&b.rendezvous_score))
        });
        let local = candidates
            .iter()
            .filter(|it| it.distance != Distance::OtherRegion)
            .take(MAX_LOCAL_CANDIDATES);
        let remote = candidates
            .iter()
            .filter(|it| it.distance == Distance::OtherRegion)
            .take(MAX_REMOTE_CANDIDATES);
        let has_local = candidates.first().is_some_and(|it| it.distance != Distance::OtherRegion);
        if query.has_affinity && self.shifts.is_shifted(query.service, affinity_hash) {
            // The other region is the home of a shifted key, so that only the round trip counts as
            // cost.
            let remote = remote.map(|it| Candidate { distance: Distance::SameZone, ..*it });
            return remote.chain(local.copied()).collect();
        }
        if has_local && !self.shifts.may_spill(query.service) {
            return local.copied().collect();
        }
        local.chain(remote).copied().collect()
    }

    /// Expected cost of a request at a candidate.
    fn cost(
        &mut self,
        query: &SelectionQuery<'_>,
        (candidate, instance): (&Candidate, &Instance),
        rank: usize,
        affinity_hash: u64,
        context: &SelectionContext<'_>,
    ) -> Cost {
        let SelectionContext { zone_map, now, .. } = *context;
        let is_warm =
            query.has_affinity && self.cache_affinity.is_warm(candidate.key, affinity_hash, now);
        let service_times = *self.service_times_mut(query);
        let slowness = decayed_slowness(instance, now).max(0.5);
        let service_ms =
            slowness * if is_warm { service_times.warm_ms } else { service_times.cold_ms };
        let slots = f64::from(instance.registration.slots.max(1));
        let excess_requests = instance.load.total_requests(now) + 1.0 - slots;
        let wait_ms = excess_requests.max(0.0) / slots
            * service_times.mean_ms
            * QUEUED_SERVICE_TIME_FRACTION
            * slowness;
        let round_trip_ms =
            zone_map.expected_round_trip(instance.registration.locality).as_secs_f64() * 1000.0;
        let expected_latency_ms = round_trip_ms + wait_ms + service_ms;
        let factor = if query.repeat == RepeatPolicy::Upload { UPLOAD_COST_FACTOR } else { 1.0 };
        let distance_cost_ms = match candidate.distance {
            Distance::SameZone => 0.0,
            Distance::SameRegion => CROSS_ZONE_COST_MS * factor,
            Distance::OtherRegion => CROSS_REGION_COST_MS * factor,
        };
        let target_ms = query.target_latency.as_secs_f64() * 1000.0;
        // A failed exchange costs about one target latency.
        let failure_cost_ms = instance.health.failure_rate() * target_ms;
        let rank_cost_ms = rank as f64 * RANK_COST_FRACTION * target_ms;
        let total_cost_ms = expected_latency_ms + distance_cost_ms + failure_cost_ms + rank_cost_ms;
        Cost { expected_latency_ms, wait_ms, total_cost_ms }
    }

    fn service_times_mut(&mut self, query: &SelectionQuery<'_>) -> &mut ServiceTimes {
        let at = match self.service_times.binary_search_by(|it| it.0.as_str().cmp(query.route)) {
            Ok(at) => at,
            Err(at) => {
                let target_ms = query.target_latency.as_secs_f64() * 1000.0;
                let (warm_ms, cold_ms) =
                    (target_ms * INITIAL_WARM_FRACTION, target_ms * INITIAL_COLD_FRACTION);
                let service_times =
                    ServiceTimes { warm_ms, cold_ms, mean_ms: (warm_ms + cold_ms) / 2.0 };
                self.service_times.insert(at, (query.route.to_owned(), service_times));
                at
            }
        };
        &mut self.service_times[at].1
    }
}

fn allowed_wait_ms(query: &SelectionQuery<'_>, cost: &Cost) -> f64 {
    let target_ms = query.target_latency.as_secs_f64() * 1000.0;
    let service_ms = cost.expected_latency_ms - cost.wait_ms;
    let allowed_ms =
        (target_ms * MAX_LATENCY_FACTOR - service_ms).max(target_ms * MIN_ALLOWED_WAIT_FRACTION);
    allowed_ms * PRIORITY_WAIT_FACTOR.powi(query.priority.min(8) as i32)
}

/// Whether the instance may receive a request now as far as its pacing while cold is concerned.
fn allows_cold_send(instance: &Instance, context: &SelectionContext<'_>) -> bool {
    if !instance.is_cold(context.now) {
        return true;
    }
    let rank = (context.cold_sender_rank)(instance.id_hash, instance.registration.locality);
    rank < MAX_COLD_SENDERS && instance.cold_pace.allows_request(context.now)
}

/// Slowness of an instance, which returns to 1 without observations.
fn decayed_slowness(instance: &Instance, now: Instant) -> f64 {
    let age = now.saturating_duration_since(instance.slowness_observed_at).as_secs_f64();
    let decay = 0.5f64.powf(age / SLOWNESS_HALF_LIFE.as_secs_f64());
    1.0 + (instance.slowness - 1.0) * decay
}

/// Rendezvous score of an instance for an affinity key, weighted by slots; the smallest is first.
fn rendezvous_score(affinity_hash: u64, id_hash: u64, slots: u32) -> f64 {
    let unit = ((mix(affinity_hash ^ id_hash) >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -unit.ln() / f64::from(slots.max(1))
}

fn distance(locality: Locality, own: Locality) -> Distance {
    if locality.zone == own.zone {
        Distance::SameZone
    } else if locality.region == own.region {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}
