//! The catalogue of log events; `docs/events.md` says what each means and what to do.

use std::fmt;

use strum::{EnumIter, IntoStaticStr};

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
    /// A request fingerprint was quarantined.
    FingerprintQuarantined = 6003,
    /// This host stopped sending requests to a new version.
    RolloutStopped = 7001,
    /// A rollout changed its stage or state.
    RolloutChanged = 7002,
    /// This host took the controller lease of a rollout.
    ControllerLeaseTaken = 7003,
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
            | Self::ControllerLeaseTaken => log::Level::Info,
        }
    }

    /// Logs the event with its number and name.
    pub fn log(self, details: fmt::Arguments<'_>) {
        let name: &'static str = self.into();
        log::log!(target: "kingcupford", self.level(), "KC{} {name}: {details}", self.code());
    }
}
