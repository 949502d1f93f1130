//! Traffic shifts: which share of a region's affinity keys is handled in other regions.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    cache_affinity::mix,
    heartbeat::{ServiceLoad, name_hash},
    instance_registry::{Instance, InstanceRegistry},
    locality::{Locality, RegionKey, ZoneKey, ZoneMap},
    members::Members,
};

/// Utilization of the own region above which affinity keys shift to other regions. Queues grow fast
/// beyond it.
const SHIFT_OUT_UTILIZATION: f64 = 0.8;

/// Utilization of the own region below which affinity keys shift back. The distance to the upper
/// threshold is hysteresis, since a key that moves is not cached at its destination.
const SHIFT_BACK_UTILIZATION: f64 = 0.3;

/// Difference by which another region must be less utilized to receive affinity keys. Keys shift
/// back if all other regions are more utilized by this difference.
const MIN_UTILIZATION_DIFFERENCE: f64 = 0.15;

/// Change of a share per second. Deployments allow 0.15 of a region's requests to change their
/// region within 2 s, including spilled requests.
const SHIFT_SHARE_RATE_PER_S: f64 = 0.035;

/// Upper bound for a share.
const MAX_SHIFT_SHARE: f64 = 0.7;

/// Fraction of the requests that may leave the region in addition to the share, to keep the local
/// queues short.
const SPILL_FRACTION: f64 = 0.07;

/// Rate at which the hosts of a region converge to each other's share.
const CONVERGENCE_PER_S: f64 = 1.0;

/// Time constant of the request counts: the window of the deployments' bound on requests that
/// change their region.
const COUNT_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time for which lost capacity counts as lost. After that the remaining capacity is the baseline.
const CAPACITY_LOSS_RETENTION: Duration = Duration::from_secs(15);

/// Fraction of the baseline capacity below which instances count as lost, so that requests may use
/// any capacity in other regions.
const CAPACITY_LOSS_FRACTION: f64 = 0.85;

/// Makes the hash that selects shifted keys independent of the hash that ranks instances.
const SHIFT_SALT: u64 = 0x7368_6966_7400_0001;

/// Traffic shifts of all services in the own region.
#[derive(Debug, Default)]
pub(crate) struct Shifts {
    /// Shifts sorted by the name of the service.
    services: Vec<(String, ServiceShift)>,
    updated_at: Option<Instant>,
}

/// Traffic shift of one service in the own region.
#[derive(Debug)]
struct ServiceShift {
    service_hash: u32,
    /// Fraction of the affinity keys that other regions handle.
    share: f64,
    /// Requests that run or wait at the region's instances, per slot.
    utilization: f64,
    /// Slots of the region's instances before a loss of capacity.
    baseline_slots: f64,
    /// Time at which `baseline_slots` was last reached or reset.
    baseline_at: Instant,
    has_capacity_loss: bool,
    first_request_at: Option<Instant>,
    /// Decaying count of the requests.
    sent_requests: f64,
    /// Decaying count of the requests that left the region.
    sent_remote: f64,
    counted_at: Instant,
}

impl Shifts {
    /// Updates the shifts of all services that have instances.
    pub(crate) fn update(
        &mut self,
        instances: &InstanceRegistry,
        evacuated: &[ZoneKey],
        members: &Members,
        zone_map: &ZoneMap,
        now: Instant,
    ) {
        let elapsed_s = self
            .updated_at
            .replace(now)
            .map_or(0.0, |it| now.saturating_duration_since(it).as_secs_f64().min(1.0));
        for service in instances.services() {
            let at = self.position(service, now);
            let shift = &mut self.services[at].1;
            let own = zone_map.own_locality();
            let usable = |it: &&Instance| {
                it.registration.locality.region == own.region
                    && it.accepts_requests()
                    && !it.health.is_ejected(now)
                    && !it.is_cold(now)
                    && !evacuated.contains(&it.registration.locality.zone)
            };
            let local: Vec<&Instance> =
                instances.of_service(service).map(|it| it.1).filter(usable).collect();
            let slots: f64 = local.iter().map(|it| f64::from(it.registration.slots)).sum();
            let load: f64 = local.iter().map(|it| it.load.total_requests(now)).sum();
            shift.update_capacity(slots, now);
            if shift.first_request_at.is_none() {
                let all = instances.of_service(service);
                let all: f64 = all.map(|it| f64::from(it.1.registration.slots)).sum();
                shift.share = shift.initial_share(slots / all.max(1.0), members, own, now);
            }
            shift.utilization = if slots > 0.0 { load / slots } else { 1.0 };
            if shift.first_request_at.is_some() {
                shift.step(members, own, elapsed_s, now);
            }
        }
    }

    /// Whether an affinity key is handled in another region.
    pub(crate) fn is_shifted(&self, service: &str, affinity_hash: u64) -> bool {
        let key_fraction = (mix(affinity_hash ^ SHIFT_SALT) >> 11) as f64 / (1u64 << 53) as f64;
        self.shift(service).is_some_and(|it| key_fraction < it.share)
    }

    /// Whether one more request may leave the region although its affinity key is not shifted.
    pub(crate) fn may_spill(&self, service: &str) -> bool {
        self.shift(service).is_none_or(|it| {
            it.has_capacity_loss
                || it.sent_remote < (it.share + SPILL_FRACTION) * it.sent_requests.max(1.0)
        })
    }

    pub(crate) fn record_sent(&mut self, service: &str, is_remote: bool, now: Instant) {
        let at = self.position(service, now);
        let it = &mut self.services[at].1;
        let elapsed = now.saturating_duration_since(it.counted_at).as_secs_f64();
        let decay = (-elapsed / COUNT_TIME_CONSTANT.as_secs_f64()).exp();
        it.counted_at = now;
        it.first_request_at.get_or_insert(now);
        it.sent_requests = it.sent_requests * decay + 1.0;
        it.sent_remote = it.sent_remote * decay + f64::from(u8::from(is_remote));
    }

    /// Loads for the heartbeats.
    pub(crate) fn service_loads(&self) -> Vec<ServiceLoad> {
        let entries = self.services.iter().map(|(_, it)| ServiceLoad {
            service_hash: it.service_hash,
            utilization: it.utilization as f32,
            shift_share: it.first_request_at.map(|_| it.share as f32),
        });
        entries.collect()
    }

    /// Share and utilization of a service.
    pub(crate) fn shift_state(&self, service: &str) -> Option<(f64, f64)> {
        self.shift(service).map(|it| (it.share, it.utilization))
    }

    fn shift(&self, service: &str) -> Option<&ServiceShift> {
        let at = self.services.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&self.services[at].1)
    }

    /// Index of a service, which is added if it is new.
    fn position(&mut self, service: &str, now: Instant) -> usize {
        match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let shift = ServiceShift {
                    service_hash: name_hash(service),
                    share: 0.0,
                    utilization: 0.0,
                    baseline_slots: 0.0,
                    baseline_at: now,
                    has_capacity_loss: false,
                    first_request_at: None,
                    sent_requests: 0.0,
                    sent_remote: 0.0,
                    counted_at: now,
                };
                self.services.insert(at, (service.to_owned(), shift));
                at
            }
        }
    }
}

impl ServiceShift {
    /// Updates the baseline and the loss of capacity from the slots that can be used now.
    fn update_capacity(&mut self, slots: f64, now: Instant) {
        let is_expired = now.saturating_duration_since(self.baseline_at) > CAPACITY_LOSS_RETENTION;
        if slots >= self.baseline_slots || is_expired {
            self.baseline_slots = slots;
            self.baseline_at = now;
        }
        self.has_capacity_loss =
            slots < self.baseline_slots * CAPACITY_LOSS_FRACTION || slots <= 0.0;
    }

    /// Share at the first request: the mean of the shares that other hosts of the region report.
    /// Without such a report, the share follows from the region's fraction of all slots and of this
    /// system's hosts, which are placed where the callers are.
    fn initial_share(
        &self,
        slots_fraction: f64,
        members: &Members,
        own: Locality,
        now: Instant,
    ) -> f64 {
        let local_shares = members.service_loads(self.service_hash, now);
        let local_shares = local_shares.filter(|it| it.0.region == own.region);
        let local_shares: Vec<f64> =
            local_shares.filter_map(|it| it.1.shift_share).map(f64::from).collect();
        if !local_shares.is_empty() {
            return local_shares.iter().sum::<f64>() / local_shares.len() as f64;
        }
        let demand_fraction = members.region_fraction(own);
        let excess = 1.0 - slots_fraction / demand_fraction.max(f64::MIN_POSITIVE);
        excess.clamp(0.0, MAX_SHIFT_SHARE)
    }

    /// Moves the share by the utilization here and in other regions, and toward the shares of the
    /// region's other hosts.
    fn step(&mut self, members: &Members, own: Locality, elapsed_s: f64, now: Instant) {
        let mut remote_utilizations: Vec<(RegionKey, f64)> = Vec::new();
        let mut peer_shares = (0.0, 0.0);
        for (locality, load) in members.service_loads(self.service_hash, now) {
            if locality.region == own.region {
                if let Some(share) = load.shift_share {
                    peer_shares = (peer_shares.0 + f64::from(share), peer_shares.1 + 1.0);
                }
            } else {
                remote_utilizations.push((locality.region, f64::from(load.utilization)));
            }
        }
        let lowest_remote = remote_utilizations.iter().map(|it| it.1).fold(f64::INFINITY, f64::min);
        let step = SHIFT_SHARE_RATE_PER_S * elapsed_s;
        if self.utilization > SHIFT_OUT_UTILIZATION
            && lowest_remote < self.utilization - MIN_UTILIZATION_DIFFERENCE
        {
            self.share += step;
        } else if self.utilization < SHIFT_BACK_UTILIZATION
            || lowest_remote > self.utilization + MIN_UTILIZATION_DIFFERENCE
        {
            self.share -= step;
        }
        if peer_shares.1 > 0.0 {
            let mean = peer_shares.0 / peer_shares.1;
            let weight = (CONVERGENCE_PER_S * elapsed_s).min(1.0) / 2.0;
            self.share += ((mean - self.share) * weight).clamp(-step, step);
        }
        self.share = self.share.clamp(0.0, MAX_SHIFT_SHARE);
    }
}
