//! Which versions of each service get requests.

use tokio::time::Instant;

use crate::{
    canary::{Canary, RolloutState},
    instance_registry::{Instance, InstanceRegistry},
};

/// Sides of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Side {
    /// The versions before it.
    Old,
    /// Its new version.
    New,
}

/// The versions in use and the rollouts, by service.
#[derive(Debug, Default)]
pub struct ServiceVersions {
    /// The version in use of each service, sorted by service.
    base: Vec<(String, String)>,
    /// Rollouts, sorted by service.
    rollouts: Vec<Canary>,
}

impl ServiceVersions {
    /// The rollout of a service.
    pub fn rollout(&self, service: &str) -> Option<&Canary> {
        let at = self.position(service).ok()?;
        Some(&self.rollouts[at])
    }

    /// The rollout of a service, to be changed.
    pub fn rollout_mut(&mut self, service: &str) -> Option<&mut Canary> {
        let at = self.position(service).ok()?;
        Some(&mut self.rollouts[at])
    }

    /// All rollouts.
    pub fn rollouts_mut(&mut self) -> impl Iterator<Item = &mut Canary> {
        self.rollouts.iter_mut()
    }

    /// All rollouts.
    pub fn rollouts(&self) -> impl Iterator<Item = &Canary> {
        self.rollouts.iter()
    }

    /// Takes a rollout over in place of an earlier one of the service.
    pub fn insert_rollout(&mut self, canary: Canary) {
        match self.position(&canary.order().service) {
            Ok(at) => self.rollouts[at] = canary,
            Err(at) => self.rollouts.insert(at, canary),
        }
    }

    /// Forgets the rollout of a service; a completed one leaves its version in use.
    pub fn remove_rollout(&mut self, service: &str) {
        let Ok(at) = self.position(service) else { return };
        let canary = self.rollouts.remove(at);
        if canary.state() == Some(RolloutState::Completed) {
            self.set_base(service, canary.order().target_version.clone());
        }
    }

    /// Learns the version in use of each service from its instances.
    pub fn update_base_versions(&mut self, instances: &InstanceRegistry) {
        for service in instances.services() {
            let of_service: Vec<&Instance> = instances.of_service(service).map(|it| it.1).collect();
            let in_use = self.base(service);
            let is_known = in_use
                .is_some_and(|base| of_service.iter().any(|it| it.registration.version == base));
            if is_known {
                continue;
            }
            if let Some(version) = self.most_common(service, &of_service) {
                self.set_base(service, version);
            }
        }
    }

    /// Whether an instance may get requests of a side.
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
        self.base(service).is_none_or(|it| it == version)
    }

    /// The side that a request goes to.
    pub fn pick_side(&mut self, service: &str, affinity_hash: u64, now: Instant) -> Side {
        self.rollout_mut(service).map_or(Side::Old, |it| it.pick_side(affinity_hash, now))
    }

    /// The version in use of a service.
    fn base(&self, service: &str) -> Option<&str> {
        let at = self.base.binary_search_by(|it| it.0.as_str().cmp(service)).ok()?;
        Some(&self.base[at].1)
    }

    /// Notes the version in use of a service.
    fn set_base(&mut self, service: &str, version: String) {
        match self.base.binary_search_by(|it| it.0.as_str().cmp(service)) {
            Ok(at) => self.base[at].1 = version,
            Err(at) => self.base.insert(at, (service.to_owned(), version)),
        }
    }

    /// The version that most instances have, the target of a running rollout left out.
    fn most_common(&self, service: &str, of_service: &[&Instance]) -> Option<String> {
        let target = self.rollout(service).filter(|it| it.state() != Some(RolloutState::Completed));
        let target = target.map(|it| it.order().target_version.as_str());
        let mut versions: Vec<&str> = of_service
            .iter()
            .map(|it| it.registration.version.as_str())
            .filter(|it| target != Some(it))
            .collect();
        versions.sort_unstable();
        let groups = versions.chunk_by(|a, b| a == b);
        let largest = groups.max_by_key(|it| (it.len(), std::cmp::Reverse(it[0])))?;
        Some(largest[0].to_owned())
    }

    /// Where the rollout of a service stands, or would stand.
    fn position(&self, service: &str) -> Result<usize, usize> {
        self.rollouts.binary_search_by(|it| it.order().service.as_str().cmp(service))
    }
}
