//! The random schedule of the faults and planned operations of a run.

use std::time::Duration;

use rand::{Rng as _, rngs::SmallRng, seq::IndexedRandom as _};

use crate::{
    instance::InstanceFault,
    proxy::LinkFault,
    store::{MAX_COPY_AGE, StoreFault},
};

/// A fault or a planned operation that is applied to a deployment. Numbers are indices of hosts or
/// instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
pub enum Fault {
    /// A host is shut down with SIGTERM and restarted.
    StopHost(usize),
    /// A host is killed with SIGKILL and restarted.
    KillHost(usize),
    /// All hosts but the first are killed at the same moment and restarted.
    KillHosts,
    /// A host is paused with SIGSTOP and resumed.
    PauseHost(usize),
    /// A host is told with SIGHUP to reload its settings.
    ReloadHost(usize),
    /// Connections of a host to the store are disrupted.
    StoreLink(usize, LinkFault),
    /// Connections of all hosts to the store are disrupted.
    StoreLinks(LinkFault),
    /// The store misbehaves towards all hosts.
    Store(StoreFault),
    /// The store discards its change log, so that watches from older revisions fail.
    Compact,
    /// The store is away and comes back from a copy.
    RestoreStore {
        /// Time for which the store is away.
        away_time: Duration,
        /// Age of the copy when the store is back.
        copy_age: Duration,
    },
    /// Connections of all hosts to an instance are disrupted.
    InstanceLink(usize, LinkFault),
    /// An instance misbehaves.
    Instance(usize, InstanceFault),
    /// An instance drains and stops; an instance of the other service then gets its address.
    InstanceLeaves(usize),
    /// A new version of the manifest is written.
    ChangeManifest,
    /// A new version of the manifest revokes the next API key, if any is left to revoke.
    RevokeKey,
}

/// A fault with the time at which it is applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Time from the start of the callers until the fault is applied.
    pub starts_after: Duration,
    /// Time from its start until the fault is removed; unused for faults that are not removed, such
    /// as a kill.
    pub duration: Duration,
    /// The fault to apply.
    pub fault: Fault,
}

impl Fault {
    /// Whether this is a planned operation, during which no request may be cut and the guarantees
    /// with time limits are checked.
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

    fn random(rng: &mut SmallRng, host_count: usize, instance_count: usize) -> Self {
        let host = rng.random_range(0..host_count);
        let instance = rng.random_range(0..instance_count);
        match rng.random_range(0..17) {
            0 | 1 => Self::StopHost(host),
            2 => Self::KillHost(host),
            3 => Self::KillHosts,
            4 => Self::PauseHost(host),
            5 => Self::ReloadHost(host),
            6 => Self::StoreLink(host, random_link_fault(rng)),
            7 => Self::StoreLinks(random_link_fault(rng)),
            8 => Self::Store(random_store_fault(rng)),
            9 => Self::Compact,
            10 | 11 => Self::InstanceLink(instance, random_link_fault(rng)),
            12 => Self::Instance(instance, random_instance_fault(rng)),
            13 => Self::InstanceLeaves(instance),
            14 => Self::ChangeManifest,
            15 => Self::RestoreStore {
                away_time: Duration::from_millis(rng.random_range(1000..2000)),
                copy_age: MAX_COPY_AGE.mul_f64(rng.random_range(0.0..1.0)),
            },
            _ => Self::RevokeKey,
        }
    }
}

/// Draws the faults of a run, sorted by time. Faults may overlap, and about a quarter of them are
/// applied three times in a row. A restoration of the store is followed by a revocation.
pub(crate) fn schedule(
    rng: &mut SmallRng,
    fault_phase: Duration,
    host_count: usize,
    instance_count: usize,
    planned_only: bool,
) -> Vec<ScheduledFault> {
    let mut res = Vec::new();
    // At least one fault per second of the fault phase, and at least two in a very short one.
    let min_count = (fault_phase.as_secs() as usize).max(2);
    while res.len() < min_count {
        let fault = Fault::random(rng, host_count, instance_count);
        if planned_only && !fault.is_planned() {
            continue;
        }
        let first_start = fault_phase.mul_f64(rng.random_range(0.0..1.0));
        let duration = Duration::from_millis(rng.random_range(300..4000));
        let repetitions = if rng.random_range(0..4) == 0 { 3 } else { 1 };
        for repetition in 0..repetitions {
            let gap = Duration::from_millis(rng.random_range(50..900));
            let starts_after = (first_start + gap * repetition).min(fault_phase);
            let fault = match fault {
                Fault::StopHost(host) if planned_only => {
                    Fault::StopHost((host + repetition as usize) % host_count)
                }
                _ => fault,
            };
            res.push(ScheduledFault { starts_after, duration, fault });
        }
        if let Fault::RestoreStore { away_time, copy_age } = fault {
            // A change before the store has reached its old revision again.
            let starts_after =
                first_start + away_time + copy_age.mul_f64(rng.random_range(0.0..1.0));
            let starts_after = starts_after.min(fault_phase);
            res.push(ScheduledFault { starts_after, duration, fault: Fault::RevokeKey });
        }
    }
    res.sort_by_key(|it| it.starts_after);
    res
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    let delay = Duration::from_millis(rng.random_range(20..400));
    let all = [
        LinkFault::Delayed(delay),
        LinkFault::Silent,
        LinkFault::CutToServer,
        LinkFault::CutToClient,
        LinkFault::Reset,
    ];
    *all.choose(rng).unwrap_or(&LinkFault::Reset)
}

fn random_store_fault(rng: &mut SmallRng) -> StoreFault {
    let slow = StoreFault::Slow(Duration::from_millis(rng.random_range(100..600)));
    let all = [StoreFault::Busy, slow, StoreFault::LosesAnswers];
    *all.choose(rng).unwrap_or(&StoreFault::Busy)
}

fn random_instance_fault(rng: &mut SmallRng) -> InstanceFault {
    let all = [InstanceFault::Slow, InstanceFault::Failing, InstanceFault::Shedding];
    *all.choose(rng).unwrap_or(&InstanceFault::Slow)
}
