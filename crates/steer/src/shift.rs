//! Which part of a region's objects is handled in other regions.

use std::time::Duration;

use tokio::time::Instant;

use crate::{
    cache_affinity::mix,
    heartbeat::{ServiceLoad, name_hash},
    instance_registry::{Instance, InstanceRegistry},
    locality::{Locality, RegionKey, ZoneKey, ZoneMap},
    members::Members,
};

/// Utilization of the own region above which objects move to other regions: beyond it queues grow
/// fast.
const HIGH: f64 = 0.8;

/// Utilization below which they come back; an object that moves is not cached where it arrives.
const LOW: f64 = 0.3;

/// How much less utilized a region must be to take objects.
const MIN_DIFFERENCE: f64 = 0.15;

/// Change of the share per second. Deployments allow 0.15 of a region's requests to change their
/// region within 2 s, spills included.
const RATE_PER_S: f64 = 0.035;

/// Part of the expected excess of demand that is moved from the first request on; the rest follows
/// when it shows.
const FIRST_PART: f64 = 0.75;

/// Largest share from the first request on.
const MAX_FIRST_SHARE: f64 = 0.55;

/// Largest share.
const MAX_SHARE: f64 = 0.7;

/// Part of the requests that may leave the region on top of the share, for short queues at home.
const SPILL_PART: f64 = 0.07;

/// How fast hosts of a region take over each other's share, per second.
const AGREEMENT_PER_S: f64 = 1.0;

/// Time constant of the counted requests, the window of the deployments' bound.
const COUNT_TIME: Duration = Duration::from_secs(2);

/// Time for which room that was lost counts as lost; then it is the new usual.
const LOSS_REMEMBERED: Duration = Duration::from_secs(15);

/// Part of the usual room below which instances were lost and any room elsewhere is used.
const LOSS_PART: f64 = 0.85;

/// Distinguishes the hash that moves objects from the one that ranks instances.
const SALT: u64 = 0x7368_6966_7400_0001;

/// The shares of all services in one region.
#[derive(Debug, Default)]
pub(crate) struct Shifts {
    /// Shares by service, sorted.
    services: Vec<(String, Shift)>,
    /// When the shares were last changed.
    updated_at: Option<Instant>,
}

/// One service in the own region.
#[derive(Debug)]
struct Shift {
    /// Hash of the service's name.
    hash: u32,
    /// Part of the objects that other regions handle.
    share: f64,
    /// Requests at the region's instances per slot.
    utilization: f64,
    /// Usual slots of the region's instances.
    usual_slots: f64,
    /// When they were last seen.
    usual_at: Instant,
    /// Whether instances were lost.
    has_loss: bool,
    /// When the first request was sent.
    first_at: Option<Instant>,
    /// Decaying count of requests.
    sent: f64,
    /// Those that left the region.
    sent_far: f64,
    /// When the counts were last brought up to date.
    counted_at: Instant,
}

impl Shifts {
    /// Moves all shares on.
    pub(crate) fn update(
        &mut self,
        instances: &InstanceRegistry,
        evacuated: &[ZoneKey],
        members: &Members,
        zone_map: &ZoneMap,
        now: Instant,
    ) {
        let passed_s = self
            .updated_at
            .replace(now)
            .map_or(0.0, |it| now.saturating_duration_since(it).as_secs_f64().min(1.0));
        for service in instances.services() {
            let at = self.position(service, now);
            let shift = &mut self.services[at].1;
            let own = zone_map.own_locality();
            let usable = |it: &&Instance| {
                it.registration.locality.region == own.region
                    && it.takes_requests()
                    && !it.health.is_ejected(now)
                    && !it.is_cold(now)
                    && !evacuated.contains(&it.registration.locality.zone)
            };
            let local: Vec<&Instance> =
                instances.of_service(service).map(|it| it.1).filter(usable).collect();
            let slots: f64 = local.iter().map(|it| f64::from(it.registration.slots)).sum();
            let load: f64 = local.iter().map(|it| it.load.total_requests(now)).sum();
            shift.note_room(slots, now);
            if shift.first_at.is_none() {
                let all = instances.of_service(service);
                let all: f64 = all.map(|it| f64::from(it.1.registration.slots)).sum();
                shift.share = shift.first_share(slots / all.max(1.0), members, own, now);
            }
            shift.utilization = if slots > 0.0 { load / slots } else { 1.0 };
            if shift.first_at.is_some() {
                shift.step(members, own, passed_s, now);
            }
        }
    }

    /// Whether an object is handled in another region.
    pub(crate) fn is_moved(&self, service: &str, affinity_hash: u64) -> bool {
        let unit = (mix(affinity_hash ^ SALT) >> 11) as f64 / (1u64 << 53) as f64;
        self.shift(service).is_some_and(|it| unit < it.share)
    }

    /// Whether one more request may leave the region although its object has its home here.
    pub(crate) fn may_spill(&self, service: &str) -> bool {
        self.shift(service).is_none_or(|it| {
            it.has_loss || it.sent_far < (it.share + SPILL_PART) * it.sent.max(1.0)
        })
    }

    /// Counts a request.
    pub(crate) fn record_sent(&mut self, service: &str, is_far: bool, now: Instant) {
        let at = self.position(service, now);
        let it = &mut self.services[at].1;
        let passed = now.saturating_duration_since(it.counted_at).as_secs_f64();
        let kept = (-passed / COUNT_TIME.as_secs_f64()).exp();
        it.counted_at = now;
        it.first_at.get_or_insert(now);
        it.sent = it.sent * kept + 1.0;
        it.sent_far = it.sent_far * kept + f64::from(u8::from(is_far));
    }

    /// What the other hosts are told.
    pub(crate) fn service_loads(&self) -> Vec<ServiceLoad> {
        let entries = self.services.iter().map(|(_, it)| ServiceLoad {
            service_hash: it.hash,
            utilization: it.utilization as f32,
            shift_share: it.first_at.map(|_| it.share as f32),
        });
        entries.collect()
    }

    /// The share and the utilization of a service, for logs.
    pub(crate) fn shift_state(&self, service: &str) -> Option<(f64, f64)> {
        self.shift(service).map(|it| (it.share, it.utilization))
    }

    /// A service's share.
    fn shift(&self, service: &str) -> Option<&Shift> {
        let at = self.services.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&self.services[at].1)
    }

    /// Where a service stands, added if it is new.
    fn position(&mut self, service: &str, now: Instant) -> usize {
        match self.services.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => at,
            Err(at) => {
                let shift = Shift {
                    hash: name_hash(service),
                    share: 0.0,
                    utilization: 0.0,
                    usual_slots: 0.0,
                    usual_at: now,
                    has_loss: false,
                    first_at: None,
                    sent: 0.0,
                    sent_far: 0.0,
                    counted_at: now,
                };
                self.services.insert(at, (service.to_owned(), shift));
                at
            }
        }
    }
}

impl Shift {
    /// Notes the slots that can be used.
    fn note_room(&mut self, slots: f64, now: Instant) {
        let is_old = now.saturating_duration_since(self.usual_at) > LOSS_REMEMBERED;
        if slots >= self.usual_slots || is_old {
            self.usual_slots = slots;
            self.usual_at = now;
        }
        self.has_loss = slots < self.usual_slots * LOSS_PART || slots <= 0.0;
    }

    /// The share from the first request on: that of the region's other hosts, else one by the
    /// region's part of the slots and of this system's hosts, which stand where callers are.
    fn first_share(&self, slots_part: f64, members: &Members, own: Locality, now: Instant) -> f64 {
        let near = members.service_loads(self.hash, now);
        let near = near.filter(|it| it.0.region == own.region);
        let near: Vec<f64> = near.filter_map(|it| it.1.shift_share).map(f64::from).collect();
        if !near.is_empty() {
            return near.iter().sum::<f64>() / near.len() as f64;
        }
        let demand_part = members.region_fraction(own);
        let excess = 1.0 - slots_part / demand_part.max(f64::MIN_POSITIVE);
        (excess * FIRST_PART).clamp(0.0, MAX_FIRST_SHARE)
    }

    /// Moves the share by the utilization here and elsewhere, and towards the region's other hosts.
    fn step(&mut self, members: &Members, own: Locality, passed_s: f64, now: Instant) {
        let mut elsewhere: Vec<(RegionKey, f64)> = Vec::new();
        let mut agreed = (0.0, 0.0);
        for (locality, load) in members.service_loads(self.hash, now) {
            if locality.region == own.region {
                if let Some(share) = load.shift_share {
                    agreed = (agreed.0 + f64::from(share), agreed.1 + 1.0);
                }
            } else {
                elsewhere.push((locality.region, f64::from(load.utilization)));
            }
        }
        let least = elsewhere.iter().map(|it| it.1).fold(f64::INFINITY, f64::min);
        let step = RATE_PER_S * passed_s;
        if self.utilization > HIGH && least < self.utilization - MIN_DIFFERENCE {
            self.share += step;
        } else if self.utilization < LOW || least > self.utilization + MIN_DIFFERENCE {
            self.share -= step;
        }
        if agreed.1 > 0.0 {
            let mean = agreed.0 / agreed.1;
            let weight = (AGREEMENT_PER_S * passed_s).min(1.0) / 2.0;
            self.share += ((mean - self.share) * weight).clamp(-step, step);
        }
        self.share = self.share.clamp(0.0, MAX_SHARE);
    }
}
