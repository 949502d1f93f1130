//! Catalogue of log events. `docs/events.md` lists the meaning of each and what operators do about
//! it.

use std::fmt;

use strum::{EnumIter, IntoStaticStr};

use crate::line_limit;

/// A log event. The code of an event never changes its meaning and is never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[repr(u16)]
pub enum Event {
    /// The host serves callers.
    HostStarted = 1001,
    /// A graceful shutdown started.
    DrainStarted = 1002,
    /// The graceful shutdown completed without aborting a request.
    DrainFinished = 1003,
    /// Requests were aborted because the shutdown deadline passed or a second signal arrived.
    RequestsCut = 1004,
    /// The process resumed after a pause, and treats its leases as expired.
    ResumedAfterPause = 1005,
    /// A settings file was rejected as unreadable or invalid.
    SettingsRejected = 1006,
    /// Changed certificate files were loaded.
    CertificatesReloaded = 1007,
    /// Changed certificate files are unusable; the previous certificates stay in use.
    CertificatesRejected = 1008,
    /// The settings were reloaded; changed ones are active.
    SettingsReloaded = 1009,
    /// The process starts serving; the line contains its settings.
    ProcessStarted = 1010,
    /// The process is about to exit.
    ProcessStopped = 1011,
    /// Lines of an event were suppressed because they exceeded the limit per second.
    LinesLeftOut = 1012,
    /// A process that shuts down has stopped taking requests.
    DrainClosing = 1013,
    /// A configuration version became active.
    ConfigActive = 2001,
    /// A configuration version was rejected as unusable.
    ConfigRejected = 2002,
    /// A configuration document older than the active one was ignored.
    ConfigOlderIgnored = 2003,
    /// A chunk of the configuration is missing on this host and on the platform.
    ChunkMissing = 2004,
    /// The platform does not respond.
    PlatformUnavailable = 3001,
    /// The platform responds again.
    PlatformAvailable = 3002,
    /// A conditional write to the platform failed with a conflict.
    PlatformConflict = 3003,
    /// The outcome of a write to the platform is unknown.
    PlatformWriteUnknown = 3004,
    /// The view of the platform is confirmed, so that requests are accepted.
    ViewConfirmed = 3005,
    /// The view of the platform is stale, so that requests with keys are refused.
    ViewStale = 3006,
    /// The region's reader of the platform changed to another host or to this one.
    ReaderChanged = 3007,
    /// A host became a live member in this host's view, for the first time or again.
    MemberJoined = 4001,
    /// A host is considered gone after a long silence or the end of its process, or is no longer
    /// registered.
    MemberGone = 4002,
    /// A host is suspected to have failed.
    MemberSuspected = 4003,
    /// This host is isolated: it receives nothing from the platform or from another zone.
    Isolated = 4004,
    /// This host is no longer isolated.
    IsolationEnded = 4005,
    /// A connection to a peer could not be established, or a peer's host entry was rejected.
    PeerRefused = 4101,
    /// A peer sent a message that cannot be decoded.
    PeerFrameInvalid = 4102,
    /// A connection to a peer was established.
    PeerConnected = 4103,
    /// A connection to a peer broke, or a message to a peer could not be encoded.
    PeerFailed = 4104,
    /// The ledger, which divides limits into shares, changed.
    LedgerChanged = 5001,
    /// The share of a failed holder was reclaimed.
    ShareReclaimed = 5002,
    /// An upstream instance was ejected because of failures that this host observed itself.
    InstanceEjected = 6001,
    /// The ejection of an upstream instance ended.
    InstanceReturned = 6002,
    /// An upstream instance registered or restarted.
    InstanceRegistered = 6004,
    /// An upstream instance is draining and accepts no new requests.
    InstanceDraining = 6005,
    /// An upstream instance is no longer registered.
    InstanceGone = 6006,
    /// The registration of an upstream instance was rejected as invalid.
    InstanceRejected = 6007,
    /// A request fingerprint was quarantined.
    FingerprintQuarantined = 6003,
    /// This host stopped sending requests to the new version of a rollout.
    RolloutStopped = 7001,
    /// The stage or state of a rollout changed.
    RolloutChanged = 7002,
    /// This host acquired the controller lease of a rollout.
    ControllerLeaseTaken = 7003,
    /// A write of a rollout's status succeeded or failed.
    RolloutStatusWritten = 7004,
    /// An operator's order of a rollout or a zone evacuation was rejected as invalid.
    OrderRejected = 7005,
    /// A zone was evacuated: its instances receive no more requests.
    ZoneEvacuated = 7101,
    /// The evacuation of a zone ended, so that its instances receive requests again.
    ZoneReturned = 7102,
    /// A request was answered with the response of an instance.
    RequestAnswered = 8001,
    /// A request was refused and did not run.
    RequestRefused = 8002,
    /// A request failed without a response of an instance, and may have run.
    RequestFailed = 8003,
    /// The caller disconnected before the response.
    RequestAbandoned = 8004,
    /// The process ended before the response; the request may have run.
    RequestCut = 8005,
    /// A connection of a caller was reset before the response was sent completely, or closed with
    /// bytes of the caller unread, which makes the kernel reset it.
    ResponseCut = 8006,
}

impl Event {
    /// Numeric code, as in `KC1001`.
    pub fn code(self) -> u16 {
        self as u16
    }

    /// Level at which the event is logged.
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
            | Self::RequestCut
            | Self::ResponseCut
            | Self::FingerprintQuarantined
            | Self::RolloutStopped => log::Level::Warn,
            Self::HostStarted
            | Self::DrainStarted
            | Self::DrainClosing
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

    /// Logs the event as `KC{code} {name}: {details}`, unless its lines exceed the limit per
    /// second.
    pub fn log(self, details: fmt::Arguments<'_>) {
        if !line_limit::admit(self) {
            return;
        }
        let name: &'static str = self.into();
        log::log!(target: "kingcupford", self.level(), "KC{} {name}: {details}", self.code());
    }
}
