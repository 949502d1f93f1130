//! Active versions of the services and their rollouts.

use std::collections::VecDeque;

use kingcupford_rollout::{LatencyHistogram, VersionSample};
use tokio::time::Instant;

use crate::{
    canary::{Canary, RolloutOrder, RolloutState},
    instance_registry::{Instance, InstanceRegistry},
};

/// Number of superseded orders that are remembered.
const MAX_SUPERSEDED_ORDERS: usize = 64;

/// Latencies retained for each route of a service; beyond it, older ones lose weight.
const MAX_RETAINED_LATENCIES: u64 = 4000;

/// Side of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Side {
    /// Versions other than the target version.
    Old,
    /// The target version.
    New,
}

/// Active versions and rollouts of all services.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    /// Services with their active version, sorted by service.
    active_versions: Vec<(String, String)>,
    /// Rollouts sorted by service.
    rollouts: Vec<Canary>,
    /// Orders that were replaced or removed, oldest first.
    superseded_orders: VecDeque<RolloutOrder>,
    /// Latencies of each service's routes for uncached and for cached keys, sorted by service and
    /// hash of the route's name.
    latencies: Vec<((String, u32), [LatencyHistogram; 2])>,
}

impl ServiceVersions {
    /// Rollout of a service, in any state.
    pub fn rollout(&self, service: &str) -> Option<&Canary> {
        let at = self.position(service).ok()?;
        Some(&self.rollouts[at])
    }

    /// Mutable rollout of a service, in any state.
    pub fn rollout_mut(&mut self, service: &str) -> Option<&mut Canary> {
        let at = self.position(service).ok()?;
        Some(&mut self.rollouts[at])
    }

    /// Mutable rollouts of all services, sorted by service.
    pub fn rollouts_mut(&mut self) -> impl Iterator<Item = &mut Canary> {
        self.rollouts.iter_mut()
    }

    /// Rollouts of all services, sorted by service.
    pub fn rollouts(&self) -> impl Iterator<Item = &Canary> {
        self.rollouts.iter()
    }

    /// Counts an exchange with a side of a service, in its rollout if there is one.
    pub fn record_sample(
        &mut self,
        service: &str,
        route_hash: u32,
        side: Side,
        sample: VersionSample,
    ) {
        if let Some(it) = self.rollout_mut(service) {
            it.record_sample(side, route_hash, sample);
        }
        let VersionSample::Answered { latency, is_cached } = sample else { return };
        if side == Side::New {
            return;
        }
        let find = |it: &((String, u32), [LatencyHistogram; 2])| {
            (it.0.0.as_str(), it.0.1).cmp(&(service, route_hash))
        };
        let at = match self.latencies.binary_search_by(find) {
            Ok(at) => at,
            Err(at) => {
                let key = (service.to_owned(), route_hash);
                self.latencies.insert(at, (key, Default::default()));
                at
            }
        };
        let latencies = &mut self.latencies[at].1[usize::from(is_cached)];
        latencies.record(latency);
        if latencies.count() > MAX_RETAINED_LATENCIES {
            latencies.halve();
        }
    }

    /// Adds a rollout, in place of an earlier one of the same service. The old side starts with the
    /// latencies from before the order.
    pub fn insert_rollout(&mut self, mut canary: Canary) {
        for ((service, route_hash), latencies) in &self.latencies {
            if *service == canary.order().service {
                canary.add_old_latencies(*route_hash, latencies);
            }
        }
        self.superseded_orders.retain(|it| it != canary.order());
        match self.position(&canary.order().service) {
            Ok(at) => {
                let former = std::mem::replace(&mut self.rollouts[at], canary);
                self.record_superseded(former.order().clone());
            }
            Err(at) => self.rollouts.insert(at, canary),
        }
    }

    /// Removes the rollout of a service. The target of a completed rollout becomes the active
    /// version.
    pub fn remove_rollout(&mut self, service: &str) {
        let Ok(at) = self.position(service) else { return };
        let canary = self.rollouts.remove(at);
        if canary.state() == Some(RolloutState::Completed) {
            self.set_active_version(service, canary.order().target_version.clone());
        }
        self.record_superseded(canary.order().clone());
    }

    /// Whether the operator has replaced or removed an order, which a copy from which the platform
    /// was restored may still contain.
    pub fn is_superseded(&self, order: &RolloutOrder) -> bool {
        self.superseded_orders.contains(order)
    }

    fn record_superseded(&mut self, order: RolloutOrder) {
        if self.superseded_orders.len() >= MAX_SUPERSEDED_ORDERS {
            self.superseded_orders.pop_front();
        }
        self.superseded_orders.push_back(order);
    }

    /// Sets the active version of each service to the most common version of its instances, unless
    /// an instance still runs the active version.
    pub fn update_active_versions(&mut self, instances: &InstanceRegistry) {
        for service in instances.services() {
            let service_instances: Vec<&Instance> =
                instances.of_service(service).map(|it| it.1).collect();
            let active = self.active_version(service);
            let is_known = active.is_some_and(|active_version| {
                service_instances.iter().any(|it| it.registration.version == active_version)
            });
            if is_known {
                continue;
            }
            if let Some(version) = self.most_common(service, &service_instances) {
                self.set_active_version(service, version);
            }
        }
    }

    /// Whether an instance may receive requests of a side.
    pub fn allows(&self, instance: &Instance, side: Side) -> bool {
        let version = instance.registration.version.as_str();
        let service = instance.registration.service.as_str();
        if let Some(canary) = self.rollout(service) {
            let is_target = version == canary.order().target_version;
            return match (canary.state(), side) {
                (Some(RolloutState::Completed), _) => is_target,
                (Some(RolloutState::RolledBack), _) | (_, Side::Old) => !is_target,
                (_, Side::New) => is_target,
            };
        }
        self.active_version(service).is_none_or(|it| it == version)
    }

    /// Selects the side for a request; always [`Side::Old`] without a rollout.
    pub fn pick_side(&mut self, service: &str, affinity_hash: u64, now: Instant) -> Side {
        self.rollout_mut(service).map_or(Side::Old, |it| it.pick_side(affinity_hash, now))
    }

    fn active_version(&self, service: &str) -> Option<&str> {
        let at = self.active_versions.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&self.active_versions[at].1)
    }

    fn set_active_version(&mut self, service: &str, version: String) {
        match self.active_versions.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => self.active_versions[at].1 = version,
            Err(at) => self.active_versions.insert(at, (service.to_owned(), version)),
        }
    }

    /// Most common version among the instances, without the target of a rollout that is not
    /// completed.
    fn most_common(&self, service: &str, service_instances: &[&Instance]) -> Option<String> {
        let target = self.rollout(service).filter(|it| it.state() != Some(RolloutState::Completed));
        let target = target.map(|it| it.order().target_version.as_str());
        let mut versions: Vec<&str> = service_instances
            .iter()
            .map(|it| it.registration.version.as_str())
            .filter(|it| target != Some(it))
            .collect();
        versions.sort_unstable();
        let groups = versions.chunk_by(|a, b| a == b);
        let largest = groups.max_by_key(|it| (it.len(), std::cmp::Reverse(it[0])))?;
        Some(largest[0].to_owned())
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.rollouts.binary_search_by(|it| it.order().service.as_str().cmp(service))
    }
}
