//! The random schedule of what happens to a deployment.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng, seq::IndexedRandom as _};

use crate::{instance::InstanceFault, proxy::Link, store::StoreFault};

/// Something that happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Fault {
    /// A host is told to stop, and starts again.
    StopHost(usize),
    /// A host's process is killed, and starts again.
    KillHost(usize),
    /// Many hosts are killed at the same moment.
    KillHosts,
    /// A host's process is paused.
    PauseHost(usize),
    /// A host is told that its settings changed.
    ReloadHost(usize),
    /// A host's link to the store is harmed.
    StoreLink(usize, Link),
    /// All links to the store are harmed.
    StoreLinks(Link),
    /// The store misbehaves.
    Store(StoreFault),
    /// The store forgets its history.
    Compact,
    /// An instance's link is harmed.
    InstanceLink(usize, Link),
    /// An instance misbehaves.
    Instance(usize, InstanceFault),
    /// An instance leaves, and its address goes to another service.
    InstanceLeaves(usize),
    /// The manifest changes.
    ChangeManifest,
    /// The next key is revoked.
    RevokeKey,
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Event {
    /// Time from the first request.
    pub at: Duration,
    /// For how long it lasts, where it does.
    pub lasts: Duration,
    /// What happens.
    pub fault: Fault,
}

impl Fault {
    /// Whether operators planned it, so that no request may be cut and bounds hold.
    pub(crate) fn is_planned(self) -> bool {
        matches!(
            self,
            Self::StopHost(_)
                | Self::ReloadHost(_)
                | Self::InstanceLeaves(_)
                | Self::ChangeManifest
                | Self::RevokeKey
        )
    }

    /// Some fault.
    fn random(rng: &mut SmallRng, hosts: usize, instances: usize) -> Self {
        let host = rng.random_range(0..hosts);
        let instance = rng.random_range(0..instances);
        match rng.random_range(0..16) {
            0 | 1 => Self::StopHost(host),
            2 => Self::KillHost(host),
            3 => Self::KillHosts,
            4 => Self::PauseHost(host),
            5 => Self::ReloadHost(host),
            6 => Self::StoreLink(host, link(rng)),
            7 => Self::StoreLinks(link(rng)),
            8 => Self::Store(store_fault(rng)),
            9 => Self::Compact,
            10 | 11 => Self::InstanceLink(instance, link(rng)),
            12 => Self::Instance(instance, instance_fault(rng)),
            13 => Self::InstanceLeaves(instance),
            14 => Self::ChangeManifest,
            _ => Self::RevokeKey,
        }
    }
}

/// A schedule: single faults, some of them repeated in series, which overlap.
pub(crate) fn schedule(
    rng: &mut SmallRng,
    length: Duration,
    hosts: usize,
    instances: usize,
) -> Vec<Event> {
    let mut res = Vec::new();
    // A short run has a few faults, a longer one more.
    let count = (length.as_secs() as usize).max(2);
    while res.len() < count {
        let fault = Fault::random(rng, hosts, instances);
        let at = length.mul_f64(rng.random_range(0.0..1.0));
        let lasts = Duration::from_millis(rng.random_range(300..4000));
        let series = if rng.random_range(0..4) == 0 { 3 } else { 1 };
        for step in 0..series {
            let gap = Duration::from_millis(rng.random_range(50..900));
            let at = (at + gap * step).min(length);
            res.push(Event { at, lasts, fault });
        }
    }
    res.sort_by_key(|it| it.at);
    res
}

/// Some harm to a link.
fn link(rng: &mut SmallRng) -> Link {
    let delay = Duration::from_millis(rng.random_range(20..400));
    let all =
        [Link::Delayed(delay), Link::Silent, Link::CutToServer, Link::CutToClient, Link::Reset];
    *all.choose(rng).unwrap_or(&Link::Reset)
}

/// Some fault of the store.
fn store_fault(rng: &mut SmallRng) -> StoreFault {
    let slow = StoreFault::Slow(Duration::from_millis(rng.random_range(100..600)));
    let all = [StoreFault::Busy, slow, StoreFault::LosesAnswers];
    *all.choose(rng).unwrap_or(&StoreFault::Busy)
}

/// Some fault of an instance.
fn instance_fault(rng: &mut SmallRng) -> InstanceFault {
    let all = [InstanceFault::Slow, InstanceFault::Failing, InstanceFault::Shedding];
    *all.choose(rng).unwrap_or(&InstanceFault::Slow)
}
