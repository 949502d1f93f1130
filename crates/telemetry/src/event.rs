//! The catalogue of log events; `docs/events.md` says what each means and what to do.

use std::fmt;

use strum::{EnumIter, IntoStaticStr};

use crate::budget;

/// A log event; its number never changes its meaning and is never used again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[repr(u16)]
pub enum Event {
    /// The process serves callers.
    HostStarted = 1001,
    /// A graceful shutdown began.
    DrainStarted = 1002,
    /// The process ends and no request was cut.
    DrainFinished = 1003,
    /// The shutdown deadline passed or a second signal came, and requests were cut.
    RequestsCut = 1004,
    /// The process was paused and treats its leases as expired.
    ResumedAfterPause = 1005,
    /// A settings file is not usable.
    SettingsRejected = 1006,
    /// Certificates were read again.
    CertificatesReloaded = 1007,
    /// Certificates could not be read again and the former ones stay in use.
    CertificatesRejected = 1008,
    /// Changed settings are in force.
    SettingsReloaded = 1009,
    /// The process begins to serve; its settings follow.
    ProcessStarted = 1010,
    /// The process ends.
    ProcessStopped = 1011,
    /// Lines of an event were left out, since they came too often.
    LinesLeftOut = 1012,
    /// A configuration version became active.
    ConfigActive = 2001,
    /// A configuration version could not be used.
    ConfigRejected = 2002,
    /// A document older than the known one was offered and ignored.
    ConfigOlderIgnored = 2003,
    /// A chunk of the configuration is missing at every peer and at the platform.
    ChunkMissing = 2004,
    /// The platform does not answer.
    PlatformUnavailable = 3001,
    /// The platform answers again.
    PlatformAvailable = 3002,
    /// A conditional write was answered with a conflict.
    PlatformConflict = 3003,
    /// The outcome of a write is not known yet.
    PlatformWriteUnknown = 3004,
    /// The view of the platform is confirmed and requests are taken.
    ViewConfirmed = 3005,
    /// The view of the platform is too old and requests with keys are refused.
    ViewStale = 3006,
    /// Another host, or this one, reads the platform for the region.
    ReaderChanged = 3007,
    /// A host joined the membership view.
    MemberJoined = 4001,
    /// A host left the membership view.
    MemberGone = 4002,
    /// A host is suspected.
    MemberSuspected = 4003,
    /// This host hears neither the platform nor any other zone.
    Isolated = 4004,
    /// This host hears others again.
    IsolationEnded = 4005,
    /// A connection from or to a peer was refused.
    PeerRefused = 4101,
    /// A peer sent data that cannot be decoded.
    PeerFrameInvalid = 4102,
    /// A connection to a peer was opened.
    PeerConnected = 4103,
    /// A connection to a peer failed.
    PeerFailed = 4104,
    /// The division of shares changed.
    LedgerChanged = 5001,
    /// A dead holder's share was reclaimed.
    ShareReclaimed = 5002,
    /// An upstream instance was ejected on this host's own evidence.
    InstanceEjected = 6001,
    /// An upstream instance takes requests again.
    InstanceReturned = 6002,
    /// An upstream instance registered itself, or started again.
    InstanceRegistered = 6004,
    /// An upstream instance takes no new requests.
    InstanceDraining = 6005,
    /// An upstream instance is no longer registered.
    InstanceGone = 6006,
    /// A registration cannot be used.
    InstanceRejected = 6007,
    /// A request fingerprint was quarantined.
    FingerprintQuarantined = 6003,
    /// This host stopped sending requests to a new version.
    RolloutStopped = 7001,
    /// A rollout changed its stage or state.
    RolloutChanged = 7002,
    /// This host took the controller lease of a rollout.
    ControllerLeaseTaken = 7003,
    /// A rollout's status was written or refused.
    RolloutStatusWritten = 7004,
    /// An order of operators cannot be used.
    OrderRejected = 7005,
    /// Nothing more is sent to the instances of a zone.
    ZoneEvacuated = 7101,
    /// Instances of an evacuated zone take requests again.
    ZoneReturned = 7102,
    /// A request got a response of an instance.
    RequestAnswered = 8001,
    /// A request was refused and did not run.
    RequestRefused = 8002,
    /// A request got no response of an instance and may have run.
    RequestFailed = 8003,
    /// The caller left before the response.
    RequestAbandoned = 8004,
}

impl Event {
    /// The number of the event.
    pub fn code(self) -> u16 {
        self as u16
    }

    /// The level at which the event is logged.
    pub fn level(self) -> log::Level {
        match self {
            Self::SettingsRejected
            | Self::CertificatesRejected
            | Self::ConfigRejected
            | Self::RequestsCut => log::Level::Error,
            Self::ResumedAfterPause
            | Self::ConfigOlderIgnored
            | Self::ChunkMissing
            | Self::PlatformUnavailable
            | Self::PlatformConflict
            | Self::PlatformWriteUnknown
            | Self::MemberGone
            | Self::MemberSuspected
            | Self::Isolated
            | Self::PeerRefused
            | Self::PeerFrameInvalid
            | Self::PeerFailed
            | Self::ShareReclaimed
            | Self::InstanceEjected
            | Self::InstanceRejected
            | Self::OrderRejected
            | Self::ViewStale
            | Self::LinesLeftOut
            | Self::RequestFailed
            | Self::FingerprintQuarantined
            | Self::RolloutStopped => log::Level::Warn,
            Self::HostStarted
            | Self::DrainStarted
            | Self::DrainFinished
            | Self::CertificatesReloaded
            | Self::ConfigActive
            | Self::PlatformAvailable
            | Self::MemberJoined
            | Self::IsolationEnded
            | Self::PeerConnected
            | Self::LedgerChanged
            | Self::InstanceReturned
            | Self::RolloutChanged
            | Self::ControllerLeaseTaken
            | Self::SettingsReloaded
            | Self::ProcessStarted
            | Self::ProcessStopped
            | Self::ViewConfirmed
            | Self::ReaderChanged
            | Self::InstanceRegistered
            | Self::InstanceDraining
            | Self::InstanceGone
            | Self::RolloutStatusWritten
            | Self::ZoneEvacuated
            | Self::ZoneReturned
            | Self::RequestAnswered
            | Self::RequestRefused
            | Self::RequestAbandoned => log::Level::Info,
        }
    }

    /// Logs the event with its number and name.
    pub fn log(self, details: fmt::Arguments<'_>) {
        if !budget::allows(self) {
            return;
        }
        let name: &'static str = self.into();
        log::log!(target: "kingcupford", self.level(), "KC{} {name}: {details}", self.code());
    }
}
