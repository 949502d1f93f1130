//! Detection of events that hosts log for operators.

use kingcupford_config::InstanceId;
use kingcupford_fleet::MemberState;
use kingcupford_route::QuarantineUpdate;
use tokio::time::{Duration, Instant};

use crate::engine::Engine;

/// Interval at which the states of members and instances are compared with the last known ones.
const COMPARISON_INTERVAL: Duration = Duration::from_millis(500);

/// Event that a host logs for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// The process resumed after a pause.
    ResumedAfterPause,
    /// The named host became live, for the first time or again.
    MemberJoined(String),
    /// The named host is suspected to have failed.
    MemberSuspected(String),
    /// The named host is gone.
    MemberGone(String),
    /// The named instance gets no requests because of failures.
    InstanceEjected(String),
    /// The named instance gets requests again.
    InstanceReturned(String),
    /// This host quarantined a fingerprint after the named instances were lost.
    FingerprintQuarantined(Vec<String>),
    /// This host stopped sending requests to the new version of a service.
    RolloutStopped {
        /// Name of the service.
        service: String,
        /// Reason for the stop.
        reason: String,
    },
    /// A ledger of this version, which divides the shares among the hosts, replaced an older one.
    LedgerChanged(u64),
}

/// Pending events and the states from which further events are detected.
#[derive(Debug, Default)]
pub(crate) struct EventTracker {
    /// Events that were not taken yet.
    pub(crate) pending: Vec<EngineEvent>,
    /// Last known states of members, sorted by name.
    member_states: Vec<(String, MemberState)>,
    /// Last known ejected instances, sorted.
    ejected_instances: Vec<InstanceId>,
    compared_at: Option<Instant>,
}

impl Engine {
    /// Returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<EngineEvent> {
        std::mem::take(&mut self.events.pending)
    }

    /// Records events of members and instances whose state changed.
    pub(crate) fn detect_changes(&mut self, now: Instant) {
        if self.events.compared_at.is_some_and(|it| now < it + COMPARISON_INTERVAL) {
            return;
        }
        self.events.compared_at = Some(now);
        self.detect_member_changes();
        self.detect_ejection_changes();
    }

    /// Records events of the quarantines among updates that are sent to peers.
    pub(crate) fn record_quarantines(&mut self, updates: &[QuarantineUpdate]) {
        for update in updates {
            if let QuarantineUpdate::Quarantined { instances, .. } = update {
                self.events.pending.push(EngineEvent::FingerprintQuarantined(instances.clone()));
            }
        }
    }

    fn detect_member_changes(&mut self) {
        let states: Vec<(String, MemberState)> =
            self.fleet.members().iter().map(|it| (it.name.clone(), it.state)).collect();
        for (name, state) in &states {
            let known = self.events.member_states.binary_search_by(|it| it.0.cmp(name));
            let previous = known.ok().map(|index| self.events.member_states[index].1);
            if previous == Some(*state) {
                continue;
            }
            let event = match state {
                MemberState::Live => EngineEvent::MemberJoined(name.clone()),
                MemberState::Suspected => EngineEvent::MemberSuspected(name.clone()),
                MemberState::Gone => EngineEvent::MemberGone(name.clone()),
                MemberState::Starting | MemberState::Draining => continue,
            };
            self.events.pending.push(event);
        }
        self.events.member_states = states;
    }

    fn detect_ejection_changes(&mut self) {
        let instances = self.snapshot.instances.iter();
        let ejected: Vec<InstanceId> =
            instances.map(|it| it.0).filter(|it| self.balancer.is_ejected(*it)).collect();
        let name = |id: InstanceId| self.snapshot.instances.value(id).map(|it| it.name.clone());
        let known = &self.events.ejected_instances;
        let newly_ejected = ejected.iter().filter(|it| known.binary_search(it).is_err());
        let returned = known.iter().filter(|it| ejected.binary_search(it).is_err());
        let mut events: Vec<EngineEvent> =
            newly_ejected.filter_map(|it| name(*it)).map(EngineEvent::InstanceEjected).collect();
        events.extend(returned.filter_map(|it| name(*it)).map(EngineEvent::InstanceReturned));
        self.events.pending.extend(events);
        self.events.ejected_instances = ejected;
    }
}
