//! Changes that operators are told of in logs.

use kingcupford_config::InstanceId;
use kingcupford_fleet::MemberState;
use kingcupford_route::QuarantineUpdate;
use tokio::time::{Duration, Instant};

use crate::engine::Engine;

/// Time between two comparisons of members and instances with the last known ones.
const COMPARE_EVERY: Duration = Duration::from_millis(500);

/// A change that operators are told of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineEvent {
    /// The process was paused.
    ResumedAfterPause,
    /// A host joined or came back.
    MemberJoined(String),
    /// A host is suspected.
    MemberSuspected(String),
    /// A host is gone.
    MemberGone(String),
    /// An instance gets no requests because of failures.
    InstanceEjected(String),
    /// An instance gets requests again.
    InstanceReturned(String),
    /// A fingerprint was quarantined; it names the instances that were lost.
    FingerprintQuarantined(Vec<String>),
    /// This host stopped a new version of a service.
    RolloutStopped {
        /// The service.
        service: String,
        /// Why.
        reason: String,
    },
    /// The division of shares changed; it carries the version of the ledger.
    LedgerChanged(u64),
}

/// What was told last.
#[derive(Debug, Default)]
pub(crate) struct Told {
    /// Changes that were not taken yet.
    pub(crate) notices: Vec<EngineEvent>,
    /// States of members, sorted by name.
    members: Vec<(String, MemberState)>,
    /// Ejected instances, sorted.
    ejected: Vec<InstanceId>,
    /// When both were compared last.
    compared: Option<Instant>,
}

impl Engine {
    /// Takes the changes since the last call.
    pub fn take_events(&mut self) -> Vec<EngineEvent> {
        std::mem::take(&mut self.told.notices)
    }

    /// Compares members and instances with the last known ones.
    pub(crate) fn compare_told(&mut self, now: Instant) {
        if self.told.compared.is_some_and(|it| now < it + COMPARE_EVERY) {
            return;
        }
        self.told.compared = Some(now);
        self.compare_members();
        self.compare_instances();
    }

    /// Notes quarantines among announcements that are sent to peers.
    pub(crate) fn note_quarantines(&mut self, announcements: &[QuarantineUpdate]) {
        for announcement in announcements {
            if let QuarantineUpdate::Quarantined { instances, .. } = announcement {
                self.told.notices.push(EngineEvent::FingerprintQuarantined(instances.clone()));
            }
        }
    }

    /// Notes changed states of members.
    fn compare_members(&mut self) {
        let states: Vec<(String, MemberState)> =
            self.fleet.members().iter().map(|it| (it.name.clone(), it.state)).collect();
        for (name, state) in &states {
            let known = self.told.members.binary_search_by(|it| it.0.cmp(name));
            let before = known.ok().map(|at| self.told.members[at].1);
            if before == Some(*state) {
                continue;
            }
            let notice = match state {
                MemberState::Live => EngineEvent::MemberJoined(name.clone()),
                MemberState::Suspected => EngineEvent::MemberSuspected(name.clone()),
                MemberState::Gone => EngineEvent::MemberGone(name.clone()),
                MemberState::Starting | MemberState::Draining => continue,
            };
            self.told.notices.push(notice);
        }
        self.told.members = states;
    }

    /// Notes ejected and returned instances.
    fn compare_instances(&mut self) {
        let instances = self.snapshot.instances.iter();
        let ejected: Vec<InstanceId> =
            instances.map(|it| it.0).filter(|it| self.balancer.is_ejected(*it)).collect();
        let name = |id: InstanceId| self.snapshot.instances.value(id).map(|it| it.name.clone());
        let newly = ejected.iter().filter(|it| self.told.ejected.binary_search(it).is_err());
        let back = self.told.ejected.iter().filter(|it| ejected.binary_search(it).is_err());
        let mut notices: Vec<EngineEvent> =
            newly.filter_map(|it| name(*it)).map(EngineEvent::InstanceEjected).collect();
        notices.extend(back.filter_map(|it| name(*it)).map(EngineEvent::InstanceReturned));
        self.told.notices.extend(notices);
        self.told.ejected = ejected;
    }
}
